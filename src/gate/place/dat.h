#ifndef PLACE_PLAN_DAT_H
#define PLACE_PLAN_DAT_H

/**
 * struct plan_settings - limits that the planner keeps to
 * @store_loads_max: concurrent loads from the weight store; more would slow
 *                   each other down, see store_limit.c
 */
struct plan_settings {
    int store_loads_max;
};

/**
 * struct plan_engine - state of an engine, as the lease holder sees it
 * @info: last known description, updated by accepted orders
 * @missing: its registry entry expired while the store was unreachable
 * @leaves: it has said in an answer that it leaves, whatever its entry says
 * @paused_until_ms: until when it wants no requests of this instance
 * @loading: item that is being loaded; 0 for none
 * @loading_from_store: the load comes from the weight store
 * @load_start_ms: start of the last load from the weight store
 * @concurrent_loads_max: highest number of concurrent loads from the weight
 *                        store since @load_start_ms
 * @unloading: item that is being unloaded; 0 for none
 * @unload_immediate: no running request delays the unload
 * @order_done_ms: expected end of the order in progress
 * @assume_loaded_ms: when to assume that the load in progress has finished;
 *                    0 for never
 * @order_pending: an order was sent and has no answer yet
 * @pending_load: item of the pending order if that is a load; else 0
 * @reserved_for: item for which memory is kept free; 0 for none
 * @reserved_until_ms: end of that reservation
 * @next_order_ms: earliest time of the next order
 * @next_report_ms: when to read its next report; 0 for never
 * @report_pending: its report is being read
 * @in_doubt: an order may still take effect, or the engine has restarted and
 *            its entry has yet to arrive; the next report decides
 * @busy_with_unknown_order: it executes an order that this instance did not
 *                           send
 * @settled_sequence: from this sequence on, no earlier order with an unknown
 *                    outcome can still be carried out
 * @certain_sequence: sequence after the last order that certainly counts
 * @adapter_unloads: adapters whose unload was accepted, or has an unknown
 *                   outcome; reports may list them while it waits for requests
 * @adapter_unloads_sequence: sequence after the last of these unloads
 * @assumed_order_ms: when info.sequence was last set to a number that is only
 *                    assumed; 0 when it is certain
 * @unanswered_since_ms: first call that failed since the last answer; 0 for
 *                       none
 * @running: requests running there, sent by all instances
 * @late_hold: memory is left free for a late order; see late_next_hold()
 * @restarted_ms: when this instance learned that it runs again under an id
 *                that it had before; 0 for never
 */
struct plan_engine {
    struct target_info info;
    bool missing;
    bool leaves;
    int64_t paused_until_ms;
    uint32_t loading;
    bool loading_from_store;
    int64_t load_start_ms;
    int concurrent_loads_max;
    uint32_t unloading;
    bool unload_immediate;
    int64_t order_done_ms;
    int64_t assume_loaded_ms;
    bool order_pending;
    uint32_t pending_load;
    uint32_t reserved_for;
    int64_t reserved_until_ms;
    int64_t next_order_ms;
    int64_t next_report_ms;
    bool report_pending;
    bool in_doubt;
    bool busy_with_unknown_order;
    int64_t settled_sequence;
    int64_t certain_sequence;
    struct item_set adapter_unloads;
    int64_t adapter_unloads_sequence;
    int64_t assumed_order_ms;
    int64_t unanswered_since_ms;
    int running;
    bool late_hold;
    int64_t restarted_ms;
};

/**
 * struct departed_engine - engine that has left the list
 * @started_ms: wall time of its last start
 * @gone_ms: when it left
 */
struct departed_engine {
    int64_t started_ms;
    int64_t gone_ms;
};

/**
 * struct item_copies - engines that have an item, or will; see
 * plan_count_copies()
 * @held: engines that hold it
 * @busy: of these, engines with few free slots
 * @coming_soon: engines that load it from a local copy, or make room for it
 * @coming_from_store: engines that load it from the weight store
 * @local: other engines with a local copy
 */
struct item_copies {
    int held;
    int busy;
    int coming_soon;
    int coming_from_store;
    int local;
};

/**
 * struct item_demand - requests for a model or an adapter, of all instances
 * @item: quark of the model or adapter
 * @waiting: requests without a target
 * @running: requests at targets; for a model those of its adapters, too
 * @requests_per_s: rate at @rate_updated_ms; see item_request_rate()
 * @last_request_ms: time of the last request
 * @waiting_since_ms: arrival of the oldest waiting request when the wait
 *                    began; 0 while none waits
 * @copies: engines that have it, at the present step
 */
struct item_demand {
    uint32_t item;
    int waiting;
    int running;
    double requests_per_s;
    int64_t rate_updated_ms;
    int64_t last_request_ms;
    int64_t waiting_since_ms;
    struct item_copies copies;
};

/**
 * struct late_order - order whose outcome is not known
 * @target: engine to which it was sent, whichever process runs there now
 * @expected_sequence: the engine carries it out at this sequence only
 * @until_ms: end of the time in which it may be carried out; G_MAXINT64 while
 *            the call lasts
 */
struct late_order {
    char target[TARGET_ID_BYTES];
    enum order_action action;
    uint32_t item;
    int64_t expected_sequence;
    int64_t until_ms;
};

/**
 * struct late_hold - begin or end of a time in which an engine's memory is
 * left free for an order that may be carried out late
 * @begins: whether it begins
 * @item: item of the order; 0 for any, of a former holder
 * @expected_sequence: of the order; -1 for any
 * @sequence: orders that the engine has accepted
 * @left_ms: longest time that it lasts
 */
struct late_hold {
    char target[TARGET_ID_BYTES];
    bool begins;
    uint32_t item;
    int64_t expected_sequence;
    int64_t sequence;
    int64_t left_ms;
};

/**
 * struct plan - state of the engines and demand for items
 * @config: may be NULL; one reference is held
 * @engines: target id -> struct plan_engine
 * @departed: target id -> struct departed_engine, of the last seconds
 * @late_orders: orders of this instance without an outcome, as struct
 *               late_order; kept when an engine leaves or restarts
 * @items: quark -> struct item_demand
 * @activities: instance id -> struct activity_report, its last one
 * @fence: fencing token of the term at the last check; 0 while this instance
 *         isn't the lease holder
 * @leaving: ids of targets that have said in answers that they leave
 * @holder_since_ms: when this instance became the lease holder
 * @store_load_start_ms: start times of the last loads from the weight store,
 *                       a ring indexed by @store_load_count
 * @store_load_count: loads from the weight store started so far
 */
struct plan {
    struct plan_settings settings;
    struct gate_config *config;
    GHashTable *engines;
    GHashTable *departed;
    GArray *late_orders;
    GHashTable *items;
    GHashTable *activities;
    int64_t fence;
    GHashTable *leaving;
    int64_t holder_since_ms;
    int64_t store_load_start_ms[64];
    int store_load_count;
};

/**
 * struct plan_step - the next call to an engine
 * @is_report: read the engine's report instead of sending an order
 * @silent: the engine didn't answer the last call, which was logged
 * @started_ms: wall time of the engine's start
 * @expected_sequence: orders that the engine must have accepted so far
 * @reason: static text for the log
 */
struct plan_step {
    bool is_report;
    bool silent;
    enum order_action action;
    char target[TARGET_ID_BYTES];
    char address[ADDRESS_MAX_BYTES];
    int64_t started_ms;
    uint32_t item;
    int64_t expected_sequence;
    const char *reason;
};

enum {
    EVICT_IDLE_MS = 600, /* requests come in bursts */
    /* Requests that have waited for an item for half of the shortest time
     * that a caller waits for its stream take the place of one of several
     * replicas of another item, also while requests run there. */
    STARVED_MS = 1000,
    EVICT_STARVED_IDLE_MS = 0,
    /* For an unload that waits for running requests. */
    SLOW_UNLOAD_MS = 3000,
};

/**
 * enum load_source - where an item may be loaded from
 * @SOURCE_ANY: local copies and the weight store
 * @SOURCE_LOCAL: the engine's memory or disk only
 */
enum load_source { SOURCE_ANY, SOURCE_LOCAL };

/**
 * struct engine_choice - an engine for an item
 * @engine: NULL for none
 * @evicted_item: item that it must unload first; 0 for none
 * @from_store: the load comes from the weight store
 * @cost_ms: estimated time until the item is usable, plus penalties for
 *           running requests and evictions
 */
struct engine_choice {
    struct plan_engine *engine;
    uint32_t evicted_item;
    bool from_store;
    double cost_ms;
};

/**
 * struct engine_call - a step that a worker executes, and its outcome
 * @fence: fencing token of the order
 * @sent: the order was sent; false when the lease was lost before
 * @result: outcome of an order
 * @reported: the report was read into @info
 */
struct engine_call {
    struct plan_step step;
    int64_t fence;
    bool sent;
    enum order_result result;
    bool reported;
    struct target_info info;
};

struct place_gate_port;

/**
 * struct place_gate_port_ops - callbacks of the planner
 * @holdings: an engine's held items have changed; takes ownership of
 *            @holdings
 * @load_forecast: expected load times of waited-for items; takes ownership of
 *                 @forecast
 */
struct place_gate_port_ops {
    void (*holdings)(struct place_gate_port *port, struct holdings *holdings);
    void (*load_forecast)(struct place_gate_port *port,
                          struct load_forecast *forecast);
};

struct place_gate_port {
    const struct place_gate_port_ops *ops;
};

enum place_message_kind {
    PLACE_CONFIG,
    PLACE_TARGET_CHANGE,
    PLACE_ACTIVITY,
    PLACE_HOLDINGS,
    PLACE_LEAVING,
    PLACE_PAUSED,
    PLACE_CALL_DONE,
};

/**
 * struct place_leaving - what is learnt about the stop of a target
 * @target: id of the target
 * @leaves: whether it leaves
 */
struct place_leaving {
    char target[TARGET_ID_BYTES];
    bool leaves;
};

/**
 * struct place_pause - what a target has said about the requests it wants
 * @target: id of the target
 * @until_ms: it wants none until then
 */
struct place_pause {
    char target[TARGET_ID_BYTES];
    int64_t until_ms;
};

/* Ownership of @data passes to the receiver. */
struct place_message {
    enum place_message_kind kind;
    void *data;
};

enum { ORDER_WORKERS = GATE_ENGINE_CLIENTS };

struct place_gate;

/**
 * struct order_worker - duty that sends orders and reads reports
 * @engine: client used by this worker only
 */
struct order_worker {
    struct duty duty;
    struct place_gate *place;
    struct gate_engine *engine;
};

/**
 * struct place_gate - duty that decides what engines load
 * @instance_name: of this instance
 * @term: tells whether this instance holds the lease that allows orders
 * @messages: input from all threads, see enum place_message_kind
 * @calls: pointers to struct engine_call for the workers
 * @pending_calls: calls queued or in progress
 * @forecast_sent_ms: when the last load forecast was made
 */
struct place_gate {
    struct duty duty;
    struct supervisor supervisor;
    const char *instance_name;
    struct term *term;
    struct place_gate_port *port;
    struct ring messages;
    struct ring calls;
    struct plan plan;
    struct order_worker workers[ORDER_WORKERS];
    int pending_calls;
    int64_t forecast_sent_ms;
};

#endif
