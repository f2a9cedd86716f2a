#ifndef PLACE_PLAN_DAT_H
#define PLACE_PLAN_DAT_H

/**
 * struct plan_settings - how models are placed
 * @store_loads_max: loads from the weight store at the same time; more make
 *                   each other slower, as was seen or is supposed
 */
struct plan_settings {
    int store_loads_max;
};

/**
 * struct plan_engine - an engine as the holder of orders sees it
 * @loading: item that is being loaded; 0 for none
 * @loading_from_store: it comes from the weight store
 * @load_start_ms: since when
 * @concurrent_loads_max: most loads from the weight store at one time since
 * then
 * @unloading: item that is being unloaded; 0 for none
 * @unload_immediate: no request runs there with @unloading, so it goes at once
 * @order_done_ms: when the order that runs should be done
 * @assume_loaded_ms: when the load that runs is taken as done; 0 for not
 * @order_pending: an order was sent and not answered yet
 * @load_pending: its item, if it is a load; else 0
 * @reserved_for: item for which room is made; 0 for none
 * @reserved_until_ms: when the room is given up
 * @next_order_ms: no order before this time
 * @next_report_ms: when its report is to be read; 0 for never
 * @report_pending: its report is being read
 * @in_doubt: an order may be carried out late; its report decides
 * @busy_with_unknown_order: it carries out an order that this instance did not
 * give
 * @unanswered_since_ms: first call without an answer since its last answer; 0
 * for none
 * @running: requests there, of all instances
 */
struct plan_engine {
    struct target_info info;
    bool missing;
    uint32_t loading;
    bool loading_from_store;
    int64_t load_start_ms;
    int concurrent_loads_max;
    uint32_t unloading;
    bool unload_immediate;
    int64_t order_done_ms;
    int64_t assume_loaded_ms;
    bool order_pending;
    uint32_t load_pending;
    uint32_t reserved_for;
    int64_t reserved_until_ms;
    int64_t next_order_ms;
    int64_t next_report_ms;
    bool report_pending;
    bool in_doubt;
    bool busy_with_unknown_order;
    int64_t unanswered_since_ms;
    int running;
};

/**
 * struct plan_item - requests for a model or an adapter, of all instances
 * @requests_per_s: requests a second at @rate_updated_ms; see
 * item_request_rate()
 * @last_request_ms: when it was last asked for
 * @waiting_since_ms: since when requests wait; 0 while none does
 */
struct item_demand {
    uint32_t item;
    int waiting;
    int running;
    double requests_per_s;
    int64_t rate_updated_ms;
    int64_t last_request_ms;
    int64_t waiting_since_ms;
};

/**
 * struct plan - what engines hold and what is asked for
 * @engines: id -> struct plan_engine
 * @items: quark -> struct plan_item
 * @activities: instance -> struct activity
 * @holder_since_ms: when this instance became the holder
 */
struct plan {
    struct plan_settings settings;
    struct gate_config *config;
    GHashTable *engines;
    GHashTable *items;
    GHashTable *activities;
    int64_t holder_since_ms;
    int64_t store_load_start_ms[64];
    int store_load_count;
};

/**
 * struct plan_step - what is to be done next
 * @is_report: read the engine's report; else give the order
 * @reason: why, for the log
 */
struct plan_step {
    bool is_report;
    enum order_action action;
    char target[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    int64_t started_ms;
    uint32_t item;
    int64_t expected_sequence;
    const char *reason;
};

/**
 * enum load_source - where an item may be loaded from
 * @SOURCE_ANY: the weight store, too
 * @SOURCE_LOCAL: the engine's own memory or disk only
 */
enum load_source { SOURCE_ANY, SOURCE_LOCAL };

/**
 * struct choice - an engine for an item
 * @engine: NULL for none
 * @evicted_item: what it has to unload first; 0 for nothing
 * @from_store: the weight store is asked
 * @cost_ms: milliseconds until the item can be used, and more for a busy
 * engine
 */
struct engine_choice {
    struct plan_engine *engine;
    uint32_t evicted_item;
    bool from_store;
    double cost_ms;
};

/**
 * struct work - a step on its way to a worker and back
 * @fence: fencing number of the order
 * @result: what became of an order
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
 * struct place_gate_port_ops - where news of placement go
 * @holdings: taken over; what an engine holds by now
 * @load_forecast: taken over; when engines will have what requests wait for
 */
struct place_gate_port_ops {
    void (*holdings)(struct place_gate_port *port, struct holdings *holdings);
    void (*load_forecast)(struct place_gate_port *port,
                          struct outlook *outlook);
};

struct place_gate_port {
    const struct place_gate_port_ops *ops;
};

enum place_message_kind {
    PLACE_CONFIG,
    PLACE_TARGET_CHANGE,
    PLACE_ACTIVITY,
    PLACE_HOLDINGS,
    PLACE_CALL_DONE,
};

/* The receiver owns @data. */
struct place_message {
    enum place_message_kind kind;
    void *data;
};

enum { ORDER_WORKERS = GATE_ENGINES };

struct place_gate;

/**
 * struct order_worker - duty that sends orders and reads reports
 */
struct order_worker {
    struct duty duty;
    struct place_gate *place;
    struct gate_engine *engine;
};

/**
 * struct place_gate - duty that decides what engines load, if it is its turn
 * @term: whether this instance may order
 * @calls: to the workers
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
    bool was_holder;
    int64_t forecast_sent_ms;
};

#endif
