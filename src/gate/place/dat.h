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
 * @loading_store: it comes from the weight store
 * @load_start_ms: since when
 * @load_beside: most loads from the weight store at one time since then
 * @unloading: item that is being unloaded; 0 for none
 * @unload_idle: no request runs there with @unloading, so it goes at once
 * @done_ms: when the order that runs should be done
 * @assume_ms: when the load that runs is taken as done; 0 for not
 * @ordering: an order was sent and not answered yet
 * @ordered: its item, if it is a load; else 0
 * @reserved: item for which room is made; 0 for none
 * @reserved_until_ms: when the room is given up
 * @retry_ms: no order before this time
 * @report_ms: when its report is to be read; 0 for never
 * @reporting: its report is being read
 * @unsure: an order may be carried out late; its report decides
 * @busy_other: it carries out an order that this instance did not give
 * @mute_ms: first call without an answer since its last answer; 0 for none
 * @running: requests there, of all instances
 */
struct plan_engine {
    struct target_info info;
    bool missing;
    uint32_t loading;
    bool loading_store;
    int64_t load_start_ms;
    int load_beside;
    uint32_t unloading;
    bool unload_idle;
    int64_t done_ms;
    int64_t assume_ms;
    bool ordering;
    uint32_t ordered;
    uint32_t reserved;
    int64_t reserved_until_ms;
    int64_t retry_ms;
    int64_t report_ms;
    bool reporting;
    bool unsure;
    bool busy_other;
    int64_t mute_ms;
    int running;
};

/**
 * struct plan_item - requests for a model or an adapter, of all instances
 * @rate: requests a second at @rate_ms; see plan_rate()
 * @used_ms: when it was last asked for
 * @wanted_ms: since when requests wait; 0 while none does
 */
struct plan_item {
    uint32_t item;
    int waiting;
    int running;
    double rate;
    int64_t rate_ms;
    int64_t used_ms;
    int64_t wanted_ms;
};

/**
 * struct plan - what engines hold and what is asked for
 * @engines: id -> struct plan_engine
 * @items: quark -> struct plan_item
 * @notes: instance -> struct activity
 * @begin_ms: when this instance became the holder
 */
struct plan {
    struct plan_settings settings;
    struct gate_config *config;
    GHashTable *engines;
    GHashTable *items;
    GHashTable *notes;
    int64_t begin_ms;
    int64_t load_start_ms[64];
    int load_starts;
};

/**
 * struct plan_step - what is to be done next
 * @report: read the engine's report; else give the order
 * @reason: why, for the log
 */
struct plan_step {
    bool report;
    enum order_action action;
    char target[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    int64_t born_ms;
    uint32_t item;
    int64_t sequence;
    const char *reason;
};

/**
 * enum choice_source - where an item may be loaded from
 * @SOURCE_ANY: the weight store, too
 * @SOURCE_NEAR: the engine's own memory or disk only
 */
enum choice_source { SOURCE_ANY, SOURCE_NEAR };

/**
 * struct choice - an engine for an item
 * @engine: NULL for none
 * @victim: what it has to unload first; 0 for nothing
 * @from_store: the weight store is asked
 * @cost: milliseconds until the item can be used, and more for a busy engine
 */
struct choice {
    struct plan_engine *engine;
    uint32_t victim;
    bool from_store;
    double cost;
};

/**
 * struct work - a step on its way to a worker and back
 * @fence: fencing number of the order
 * @result: what became of an order
 * @reported: the report was read into @info
 */
struct work {
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
 * @outlook: taken over; when engines will have what requests wait for
 */
struct place_gate_port_ops {
    void (*holdings)(struct place_gate_port *port, struct holdings *holdings);
    void (*outlook)(struct place_gate_port *port,
                    struct load_forecast *outlook);
};

struct place_gate_port {
    const struct place_gate_port_ops *ops;
};

enum place_message_kind {
    PLACE_CONFIG,
    PLACE_CHANGE,
    PLACE_ACTIVITY,
    PLACE_HOLDINGS,
    PLACE_DONE,
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
 * @work: to the workers
 */
struct place_gate {
    struct duty duty;
    struct supervisor supervisor;
    const char *name;
    struct term *term;
    struct place_gate_port *port;
    struct ring ring;
    struct ring work;
    struct plan plan;
    struct order_worker workers[ORDER_WORKERS];
    int in_flight;
    bool held;
    int64_t outlook_ms;
};

#endif
