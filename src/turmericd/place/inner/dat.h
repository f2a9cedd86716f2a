#ifndef PLACE_INNER_DAT_H
#define PLACE_INNER_DAT_H

enum {
    REPLICA_SLOTS_MAX = 512,
    ENGINE_ITEMS_MAX = 128,
    ITEM_SENDERS_MAX = 8,
    ORDER_SETTLED_MAX = 32,
};

/**
 * struct sender - an order to load, identified by its sender and fence
 * @member: instance that sent the order
 * @started_ms: start time of that instance
 * @fence: fence of the order
 */
struct sender {
    uint64_t member;
    uint64_t started_ms;
    uint64_t fence;
};

enum item_state { ITEM_LOADING, ITEM_LOADED, ITEM_UNLOADING, ITEM_IN_DOUBT };

/**
 * struct item - memory of an engine reserved for a leaf
 * @leaf: id of the leaf
 * @path: path of the leaf, for orders after it was removed from the tree
 * @mb: reserved memory in MB
 * @state: ITEM_IN_DOUBT while an earlier order may still load the leaf
 * @fence: fence of the newest order
 * @adopted: more than one order to load has been recorded
 * @sender_count: number of valid @senders
 * @senders: orders to load that may still be in flight
 */
struct item {
    uint64_t leaf;
    char path[PATH_MAX_BYTES];
    int64_t mb;
    enum item_state state;
    uint64_t fence;
    bool adopted;
    int sender_count;
    struct sender senders[ITEM_SENDERS_MAX];
};

/**
 * struct engine_record - memory reservations on an engine
 * @engine: id of the engine
 * @fence: highest fence issued for the engine
 * @incarnation: highest incarnation of the engine seen by a writer
 * @memory_mb: memory for models in MB, as last reported by the engine
 * @foreign_mb: memory in use that no item accounts for, in MB
 * @item_count: number of valid @items
 * @items: one for each leaf with memory reserved
 */
struct engine_record {
    uint64_t engine;
    uint64_t fence;
    uint64_t incarnation;
    int64_t memory_mb;
    int64_t foreign_mb;
    int item_count;
    struct item items[ENGINE_ITEMS_MAX];
};

/**
 * struct replica_slot - one replica of a leaf, loaded or planned
 * @engine: id of the engine
 * @sender: writer of the slot, with the fence of the reservation that follows
 */
struct replica_slot {
    uint64_t engine;
    struct sender sender;
};

/**
 * struct replica_record - replicas of a leaf
 * @leaf: id of the leaf
 * @path: path of the leaf
 * @revision: configuration revision used by the last writer
 * @slot_count: number of valid @slots
 * @slots: at most replicas_max when written; more after it was lowered
 */
struct replica_record {
    uint64_t leaf;
    char path[PATH_MAX_BYTES];
    int64_t revision;
    int slot_count;
    struct replica_slot slots[REPLICA_SLOTS_MAX];
};

/**
 * struct reservation_request - request to reserve memory on an engine
 * @leaf: id of the leaf
 * @path: path of the leaf
 * @mb: memory in MB
 * @base_model_id: id of the model of an adapter, else 0
 * @member: instance that writes the reservation
 * @started_ms: start time of that instance
 */
struct reservation_request {
    uint64_t leaf;
    const char *path;
    int64_t mb;
    uint64_t base_model_id;
    uint64_t member;
    uint64_t started_ms;
};

enum weights_source { WEIGHTS_IN_MEMORY, WEIGHTS_ON_DISK, WEIGHTS_IN_STORE };

/**
 * struct engine_view - state of an engine as known to this instance
 * @report: newest report, updated with the results of this
 *          instance's orders
 * @reported_ms: when the report arrived
 * @reserved_mb: reserved memory in MB according to the engine's record
 * @reserved_read_ms: when @reserved_mb was updated; old values are not used
 */
struct engine_view {
    struct target_report report;
    int64_t reported_ms;
    int64_t reserved_mb;
    int64_t reserved_read_ms;
};

/**
 * struct engine_requirements - what an engine needs to load a leaf
 * @leaf: id of the leaf
 * @service: service that the engine must belong to
 * @data_centre: data centre that the engine must be in; empty for any
 * @mb: memory of a replica in MB
 * @base_model_id: id of the model of an adapter, else 0
 * @excluded: engines that have the leaf or failed to load it
 * @excluded_count: number of valid ids in @excluded
 */
struct engine_requirements {
    uint64_t leaf;
    const char *service;
    const char *data_centre;
    int64_t mb;
    uint64_t base_model_id;
    const uint64_t *excluded;
    int excluded_count;
};

/**
 * struct eviction_candidate - a loaded leaf that might be evicted
 * @engine: id of the engine
 * @leaf: id of the leaf
 * @base_model_id: id of the model of an adapter, else 0
 * @mb: memory in MB
 * @priority: 9 is the highest
 * @idle_ms: time since the last request
 * @idle_unload_ms: idle time after which the leaf is unloaded in any case
 * @unevictable: requests may be running, or replicas_min would be violated
 */
struct eviction_candidate {
    uint64_t engine;
    uint64_t leaf;
    uint64_t base_model_id;
    int64_t mb;
    int priority;
    int64_t idle_ms;
    int64_t idle_unload_ms;
    bool unevictable;
};

enum { EVICTION_LEAVES_MAX = 16 };

/**
 * struct eviction - leaves to unload from an engine to free memory
 * @engine: id of the engine
 * @count: number of valid @leaves
 * @leaves: ids in the order of unloading, adapters before their model
 */
struct eviction {
    uint64_t engine;
    int count;
    uint64_t leaves[EVICTION_LEAVES_MAX];
};

enum { LOAD_PERMITS_MAX = 1024 };

/**
 * struct load_permit - permission to load from the weight store
 * @token: unique, chosen by the requester
 * @leaf: id of the leaf to load
 * @member: requester
 * @priority: 9 is the highest
 * @arrival: sequence number of the request
 * @renewed_ms: when the requester last repeated its request
 * @adapter: the leaf is an adapter; adapters have a separate limit
 * @granted: the load may run
 */
struct load_permit {
    uint64_t token;
    uint64_t leaf;
    uint64_t member;
    int priority;
    uint64_t arrival;
    int64_t renewed_ms;
    bool adapter;
    bool granted;
};

/**
 * struct load_permits - all load permits, at the member that grants them
 * @permits: waiting and granted
 * @count: number of valid @permits
 * @last_arrival: sequence number of the newest request
 * @grant_count: number of grants that count towards the rate limit
 * @granted_ms: times of the last @grant_count grants, as a circular buffer
 */
struct load_permits {
    struct load_permit permits[LOAD_PERMITS_MAX];
    int count;
    uint64_t last_arrival;
    uint64_t grant_count;
    int64_t granted_ms[LOAD_PERMITS_MAX];
};

enum order_kind {
    ORDER_SCAN,
    ORDER_LOAD,
    ORDER_ADOPT,
    ORDER_UNLOAD,
    ORDER_CLEAR,
    ORDER_SWEEP,
};

enum { SWEEP_LEAVES_MAX = 64 };

/**
 * struct swept_leaf - a leaf that has a replica record
 * @id: id of the leaf
 * @path: path of the leaf
 */
struct swept_leaf {
    uint64_t id;
    char path[PATH_MAX_BYTES];
};

/**
 * struct slot_view - a replica slot with the item of its engine
 * @slot: the slot
 * @has_item: the engine's record has an item for the leaf
 * @item: that item
 * @incarnation: incarnation in the engine's record
 */
struct slot_view {
    struct replica_slot slot;
    bool has_item;
    struct item item;
    uint64_t incarnation;
};

/**
 * struct order - a job for the order threads, and its result
 * @kind: what to do
 * @reservation: leaf, memory and writer
 * @path: storage of the path in @reservation
 * @limit: replicas_max
 * @revision: configuration revision that the decision was based on
 * @checks_fence: the engine rejects outdated fences
 * @engine_gone: the engine no longer exists
 * @stray: the engine has the leaf although no record says so
 * @report: the engine's report when the order was decided
 * @settled: senders known to have no order in flight
 * @settled_count: number of valid @settled
 * @permit_token: token of the load permit, 0 without one
 * @err: result; ERR_NONE on success
 * @views_valid: the records were read after the order; @views are valid
 * @views: owned; one for each slot
 * @view_count: number of @views
 * @reserved_mb: reserved memory of the engine in MB, -1 when it was not read
 * @sweep_key: for a sweep the first key, replaced by the next one; empty at
 *             the end
 * @swept_leaves: owned; leaves found by a sweep
 * @swept_leaf_count: number of @swept_leaves
 */
struct order {
    enum order_kind kind;
    struct reservation_request reservation;
    char path[PATH_MAX_BYTES];
    int64_t limit;
    int64_t revision;
    bool checks_fence;
    bool engine_gone;
    bool stray;
    struct target_report report;
    struct sender settled[ORDER_SETTLED_MAX];
    int settled_count;
    uint64_t permit_token;
    struct err err;
    bool views_valid;
    struct slot_view *views;
    int view_count;
    int64_t reserved_mb;
    char sweep_key[KV_KEY_MAX_BYTES + 1];
    struct swept_leaf *swept_leaves;
    int swept_leaf_count;
};

struct orders_port;

/**
 * struct orders_port_ops - callbacks of the order threads
 * @config_fresh: whether orders may be sent
 * @stopping: whether queued orders are to be returned unexecuted
 * @loaded: the engine has confirmed a load; called before it is recorded
 * @done: the order has ended; takes ownership of the order
 */
struct orders_port_ops {
    bool (*config_fresh)(struct orders_port *port);
    bool (*stopping)(struct orders_port *port);
    void (*loaded)(struct orders_port *port, const struct order *order);
    void (*done)(struct orders_port *port, struct order *order);
};

struct orders_port {
    const struct orders_port_ops *ops;
};

enum {
    /* Delay before the next order for a leaf after a failed one. */
    ORDER_RETRY_MS = 100,
    /* Longest delay between the end of an order and the arrival of a report
       that was polled before it. */
    REPORT_DELAY_MAX_MS = 3000,
};

enum { ORDER_THREADS = 12, ORDERS_MAX = 256 };

struct orders;

/**
 * struct order_worker - one order thread
 */
struct order_worker {
    struct duty duty;
    struct orders *orders;
};

/**
 * struct orders - thread pool for the blocking steps of orders
 * @supervisor: runs the workers; first member, so that the pool is a duty
 * @ring: pointers to queued orders
 * @workers: the threads
 * @kv: key-value store that holds the records
 * @api: sends orders to engines
 * @port: callbacks
 */
struct orders {
    struct supervisor supervisor;
    struct ring ring;
    struct order_worker workers[ORDER_THREADS];
    struct kv *kv;
    struct engine_api *api;
    struct orders_port *port;
};

enum engine_state {
    ENGINE_UNKNOWN,
    ENGINE_LIVE,
    ENGINE_DRAINING,
    ENGINE_DOWN,
    ENGINE_GONE,
};

/**
 * struct slot_status - status of one replica slot
 * @engine_state: state of the engine
 * @has_item: the engine's record has an item for the leaf
 * @state: state of the item
 * @unsettled: number of the item's senders that may have an order in flight
 * @unresponsive: the senders have not replied for UNRESPONSIVE_MS
 * @checks_fence: the engine rejects outdated fences
 * @orphan: no item, and no member is about to write one
 * @restarted: the engine runs with a newer incarnation than its record has
 * @missing: loaded according to the record, but not to the engine's report
 * @evict_requested: the memory is needed for another leaf
 * @has_adapters: the engine reports adapters of the leaf
 */
struct slot_status {
    enum engine_state engine_state;
    bool has_item;
    enum item_state state;
    int unsettled;
    bool unresponsive;
    bool checks_fence;
    bool orphan;
    bool restarted;
    bool missing;
    bool evict_requested;
    bool has_adapters;
};

/**
 * struct leaf_status - status of a leaf
 * @replicas_max: replicas_max; 0 when disabled or not in the tree
 * @replicas_min: replicas_min, at most @replicas_max
 * @requested: calls wait for the leaf
 * @scale_out: calls wait although a replica is loaded
 * @idle: not used for idle_unload_s
 */
struct leaf_status {
    int64_t replicas_max;
    int64_t replicas_min;
    bool requested;
    bool scale_out;
    bool idle;
};

enum action_kind {
    ACTION_NONE,
    ACTION_LOAD,
    ACTION_ADOPT,
    ACTION_UNLOAD,
    ACTION_CLEAR,
    ACTION_QUERY_SENDERS,
};

/**
 * struct leaf_action - next action for a leaf
 * @kind: what to do
 * @slot: index of the slot; -1 for ACTION_LOAD and ACTION_NONE
 */
struct leaf_action {
    enum action_kind kind;
    int slot;
};

/**
 * struct settled_sender - a sender that has confirmed that its orders ended
 * @engine: id of the engine that the fence belongs to
 * @sender: the sender; its orders up to this fence have ended
 */
struct settled_sender {
    uint64_t engine;
    struct sender sender;
};

enum {
    LEAF_REQUESTERS_MAX = 32,
    LEAF_FAILED_ENGINES_MAX = 8,
    RECENT_USE_SLOTS = 1024,
};

/**
 * struct leaf - state of a leaf as known to this instance
 * @id: id of the leaf
 * @path: path of the leaf
 * @owned: this instance decides about the leaf
 * @views_valid: the records have been read; @views are valid
 * @order_running: an order is in progress
 * @records_read_ms: when the records were read
 * @views: owned; slots with their items
 * @view_count: number of @views
 * @requesters: members that wait for a reply
 * @requester_count: number of @requesters
 * @priority: highest priority of the waiting calls
 * @requested_ms: newest load request; 0 when no calls wait
 * @waiting_since_ms: first load request of the calls that wait
 * @answered_ms: when a load request was last answered with a replica
 * @scale_out: load requests continue after replies, so the present replicas
 *             are not enough
 * @relocating: unloaded from a draining engine while in use
 * @last_used_ms: last known use
 * @use_reported_ms: when the owner was last notified of a use
 * @retry_at_ms: no new order before this time
 * @failures: consecutive failed loads
 * @failed_engines: engines that failed to load the leaf
 * @failed_engine_count: number of @failed_engines
 * @permit_token: token of the load permit; 0 without one
 * @permit_granted: the permit was granted
 * @permit_requested_ms: when the permit was last requested
 * @settled: senders that have confirmed that they have no order in flight
 * @settled_count: number of @settled
 * @senders_queried_ms: when the senders were last queried
 * @unresponsive_since_ms: first query, or last reply of a sender; 0 when none
 *                         was queried
 * @evict_engine: engine to unload the leaf from for another one; 0 when none
 * @evict_until_ms: end of that eviction request
 * @evict_sent_ms: when the owner was last requested to evict this leaf
 * @eviction_requested_ms: when leaves were last evicted to load this one
 * @base_requested_ms: when the base model was last requested
 * @stray_engine: engine that has reported the leaf without a slot
 */
struct leaf {
    uint64_t id;
    char path[PATH_MAX_BYTES];
    bool owned;
    bool views_valid;
    bool order_running;
    int64_t records_read_ms;
    struct slot_view *views;
    int view_count;
    uint64_t requesters[LEAF_REQUESTERS_MAX];
    int requester_count;
    int priority;
    int64_t requested_ms;
    int64_t waiting_since_ms;
    int64_t answered_ms;
    bool scale_out;
    bool relocating;
    int64_t last_used_ms;
    int64_t use_reported_ms;
    int64_t retry_at_ms;
    int failures;
    uint64_t failed_engines[LEAF_FAILED_ENGINES_MAX];
    int failed_engine_count;
    uint64_t permit_token;
    bool permit_granted;
    int64_t permit_requested_ms;
    struct settled_sender settled[ORDER_SETTLED_MAX];
    int settled_count;
    int64_t senders_queried_ms;
    int64_t unresponsive_since_ms;
    uint64_t evict_engine;
    int64_t evict_until_ms;
    int64_t evict_sent_ms;
    int64_t eviction_requested_ms;
    int64_t base_requested_ms;
    uint64_t stray_engine;
};

/**
 * struct place_main - the duty that decides; child of struct place
 */
struct place_main {
    struct duty duty;
    struct place *place;
};

/**
 * struct place - placement: the deciding duty and the order threads
 * @supervisor: first member, so that placement is one duty
 * @orders_port: port of @orders
 * @main: the deciding duty
 * @orders: the order threads
 * @ring: messages to the deciding duty
 * @port: services of the rest of the instance
 * @self_id: id of this instance
 * @started_ms: start time of this instance
 * @stopping: queued orders are returned unexecuted
 * @recent_uses: leaves whose use was posted since the last tick
 * @leaves: struct leaf by id
 * @engines: struct engine_view by id
 * @engine_views: the values of @engines as an array
 * @engine_view_count: number of @engine_views
 * @load_permits: load permits granted by this instance
 * @last_permit_token: counter for the tokens of this instance's requests
 * @tree: referenced while a message is handled; NULL without one
 * @config_fresh: whether loads and unloads are allowed, while a message is
 *                handled
 * @now_ms: current time, while a message is handled
 * @first_message_ms: time of the first message or tick
 * @reported_ms: last report of any engine
 * @tick_ms: last tick
 * @owner_cursor: index of the next tree node whose owner is checked
 * @sweep_key: first key of the next sweep
 * @sweep_ms: last sweep
 * @sweeping: a sweep is in progress
 * @kv_down: the last order could not reach the key-value store
 */
struct place {
    struct supervisor supervisor;
    struct orders_port orders_port;
    struct place_main main;
    struct orders orders;
    struct ring ring;
    struct place_port *port;
    uint64_t self_id;
    uint64_t started_ms;
    _Atomic bool stopping;
    _Atomic uint64_t recent_uses[RECENT_USE_SLOTS];
    GHashTable *leaves;
    GHashTable *engines;
    struct engine_view **engine_views;
    int engine_view_count;
    struct load_permits load_permits;
    uint64_t last_permit_token;
    struct tree *tree;
    bool config_fresh;
    int64_t now_ms;
    int64_t first_message_ms;
    int64_t reported_ms;
    int64_t tick_ms;
    int owner_cursor;
    char sweep_key[KV_KEY_MAX_BYTES + 1];
    int64_t sweep_ms;
    bool sweeping;
    bool kv_down;
};

#endif
