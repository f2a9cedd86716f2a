#ifndef PLACE_INNER_DAT_H
#define PLACE_INNER_DAT_H

enum {
    REPLICA_SLOTS_MAX = 512,
    ENGINE_ITEMS_MAX = 128,
    ITEM_SENDERS_MAX = 8,
    ORDER_SETTLED_MAX = 32,
};

/**
 * struct sender - an order that may still be in flight to an engine
 * @member: instance that sends it
 * @start: start number of that instance
 * @fence: fence of the order
 */
struct sender {
    uint64_t member;
    uint64_t start;
    uint64_t fence;
};

enum item_state { ITEM_LOADING, ITEM_LOADED, ITEM_UNLOADING, ITEM_IN_DOUBT };

/**
 * struct item - memory of an engine that is counted for a leaf
 * @leaf: id of the leaf
 * @path: its path, for orders after the leaf has left the tree
 * @mb: memory
 * @state: ITEM_IN_DOUBT when a late order may still load the leaf
 * @fence: fence of the newest order
 * @adopted: more than one order to load was written
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
 * struct engine_record - reservations of an engine
 * @engine: id of the engine
 * @fence: highest fence given out
 * @incarnation: newest start number of the engine that a writer has seen
 * @memory_mb: memory for models that the engine last reported
 * @foreign_mb: memory in use that no item explains
 * @item_count: number of valid @items
 * @items: reservations
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
 * struct replica_slot - place of one replica
 * @engine: engine that has or gets the replica
 * @sender: who took the slot; its fence is that of the reservation to be
 * written
 */
struct replica_slot {
    uint64_t engine;
    struct sender sender;
};

/**
 * struct replica_record - replicas of a leaf
 * @leaf: id of the leaf
 * @path: its path
 * @revision: configuration revision of the newest writer
 * @slot_count: number of valid @slots
 * @slots: at most replicas_max, unless an operator has lowered it
 */
struct replica_record {
    uint64_t leaf;
    char path[PATH_MAX_BYTES];
    int64_t revision;
    int slot_count;
    struct replica_slot slots[REPLICA_SLOTS_MAX];
};

/**
 * struct reservation - request for memory of an engine
 * @leaf: id of the leaf
 * @path: its path
 * @mb: memory
 * @base: for an adapter the id of its model, else 0
 * @member: writer
 * @start: start number of the writer
 */
struct reservation_request {
    uint64_t leaf;
    const char *path;
    int64_t mb;
    uint64_t base;
    uint64_t member;
    uint64_t start;
};

enum weights_source { WEIGHTS_IN_MEMORY, WEIGHTS_ON_DISK, WEIGHTS_IN_STORE };

/**
 * struct engine_view - what this instance knows about an engine
 * @report: newest report, corrected by own orders since
 * @reported_ms: when the report came
 * @reserved_mb: sum of the engine's record when last read
 * @reserved_read_ms: when it was read; older knowledge isn't used
 */
struct engine_view {
    struct target_report report;
    int64_t reported_ms;
    int64_t reserved_mb;
    int64_t reserved_read_ms;
};

/**
 * struct choice - what an engine is chosen for
 * @leaf: the leaf
 * @service: service that the engine must belong to
 * @data_centre: pin, empty when none
 * @mb: memory of a replica
 * @base: for an adapter the id of its model, else 0
 * @excluded: engines that hold the leaf already or have just refused
 * @excluded_count: number of valid ids in @excluded
 */
struct engine_requirements {
    uint64_t leaf;
    const char *service;
    const char *data_centre;
    int64_t mb;
    uint64_t base;
    const uint64_t *excluded;
    int excluded_count;
};

/**
 * struct resident - a loaded leaf that might be evicted
 * @engine: where it is
 * @leaf: the leaf
 * @base: for an adapter the id of its model, else 0
 * @mb: memory
 * @priority: 9 is the highest
 * @idle_ms: time without a request
 * @idle_unload_ms: time after which it is to be unloaded anyway
 * @unevictable: has running requests, or its replicas_min would not be kept
 */
struct eviction_candidate {
    uint64_t engine;
    uint64_t leaf;
    uint64_t base;
    int64_t mb;
    int priority;
    int64_t idle_ms;
    int64_t idle_unload_ms;
    bool unevictable;
};

enum { EVICTION_LEAVES_MAX = 16 };

/**
 * struct eviction - leaves to unload so that another one fits
 * @engine: where
 * @count: number of valid @leaves
 * @leaves: adapters before their model
 */
struct eviction {
    uint64_t engine;
    int count;
    uint64_t leaves[EVICTION_LEAVES_MAX];
};

enum { LOAD_PERMITS_MAX = 1024 };

/**
 * struct turn - one load from the weight store, waiting or under way
 * @token: chosen by the asker, unique
 * @leaf: what is loaded
 * @member: who asks
 * @priority: 9 is the highest
 * @arrival: order of arrival
 * @renewed_ms: when the asker last repeated its question
 * @adapter: adapters have a limit of their own
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
 * struct turns - loads from the weight store, at the member that grants them
 * @permits: waiting and granted
 * @count: number of valid @permits
 * @last_arrival: last order of arrival
 * @grant_count: number of grants that count for the rate
 * @granted_ms: times of the last ones, a ring
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
 * struct swept - a leaf that has a replica record
 * @id: id of the leaf
 * @path: its path
 */
struct swept_leaf {
    uint64_t id;
    char path[PATH_MAX_BYTES];
};

/**
 * struct slot_view - a slot with the item of its engine
 * @slot: the slot
 * @has_item: the engine's record has an item for the leaf
 * @item: that item
 * @incarnation: of the engine's record
 */
struct slot_view {
    struct replica_slot slot;
    bool has_item;
    struct item item;
    uint64_t incarnation;
};

/**
 * struct order - one job of the order threads and its result
 * @kind: what to do
 * @reservation: leaf, memory and writer
 * @path: storage of the path in @reservation
 * @limit: replicas_max
 * @revision: configuration revision of the decision
 * @checks_fence: the engine refuses old fences
 * @engine_gone: the engine no longer exists
 * @stray: the engine has the leaf although no record says so
 * @report: the engine as known when the order was decided
 * @settled: senders known to have no order in flight
 * @settled_count: number of valid ids in @settled
 * @permit_token: token at the weight store, 0 when none
 * @err: result; ERR_NONE when done
 * @views_valid: the records were read after the order; @views are valid
 * @views: owned; one for each slot
 * @view_count: number of @views
 * @reserved_mb: sum of the engine's record, -1 when not read
 * @sweep_key: for a sweep the key to start from, afterwards the next one;
 * empty at the end
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
 * struct orders_port_ops - whom the order threads tell
 * @config_fresh: whether orders may be sent
 * @stopping: whether orders that wait are to be given back
 * @loaded: the engine has confirmed a load; called before the records say so
 * @done: the order has ended; takes the order
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
    /* Pause before an order for a leaf is tried again. */
    ORDER_RETRY_MS = 100,
    /* A report polled before an order ended may come this much after it. */
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
 * struct orders - pool of threads for the blocking steps of orders
 * @supervisor: runs the workers; first member, so that it is a duty
 * @ring: pointers to orders
 * @workers: the threads
 * @kv: where the records are
 * @api: orders to engines
 * @port: whom to tell
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
    ENGINE_LEAVING,
    ENGINE_DOWN,
    ENGINE_GONE,
};

/**
 * struct slot_status - what is known about one slot of a leaf
 * @engine_state: state of the engine
 * @has_item: the engine's record has an item for the leaf
 * @state: state of the item
 * @unsettled: senders of the item that may have an order in flight
 * @unresponsive: senders were asked and have not answered for long
 * @checks_fence: the engine refuses old fences
 * @orphan: a slot without an item that nobody is about to reserve
 * @restarted: the engine runs with a newer incarnation than its record has
 * @missing: loaded according to the record, but not to the engine's report
 * @evict_requested: another leaf needs the memory
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
};

/**
 * struct leaf_status - what is known about a leaf
 * @replicas_max: replicas_max; 0 when disabled or not in the tree
 * @replicas_min: replicas_min
 * @requested: callers wait for it
 * @scale_out: callers wait although a replica is loaded
 * @idle: unused for idle_unload_s
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
    ACTION_ASK_SENDERS,
};

/**
 * struct step - next step for a leaf
 * @kind: what to do
 * @slot: index of the slot, -1 for a load
 */
struct leaf_action {
    enum action_kind kind;
    int slot;
};

/**
 * struct settled - a sender that has said that its orders have ended
 * @engine: engine that the fence belongs to
 * @sender: the sender; orders up to its fence
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
 * struct leaf - what this instance knows about a leaf
 * @id: id
 * @path: path
 * @owned: this instance decides about it
 * @views_valid: the records have been read; @views are valid
 * @busy: an order is under way
 * @records_read_ms: when the records were read
 * @views: owned; slots with their items
 * @view_count: number of @views
 * @requesters: members that wait for an answer
 * @requester_count: number of @requesters
 * @priority: highest priority of the waiting calls
 * @requested_ms: last want; 0 when nobody waits
 * @waiting_since_ms: first want of those that wait
 * @answered_ms: when a want was last answered with a replica
 * @scale_out: wants go on after answers, so more replicas are needed
 * @relocating: unloaded from a leaving engine while in use
 * @last_used_ms: last use that this instance knows of
 * @use_reported_ms: last time that the owner was told of a use
 * @retry_at_ms: no new order before
 * @failures: loads that failed since the last success
 * @failed_engines: engines that failed to load it
 * @failed_engine_count: number of @failed_engines
 * @permit_token: token at the weight store; 0 without one
 * @permit_granted: the turn was granted
 * @permit_requested_ms: when the turn was last asked for
 * @settled: senders that have said that they have no order in flight
 * @settled_count: number of @settled
 * @senders_asked_ms: when senders were last asked
 * @unresponsive_since_ms: since when no asked sender has answered; 0 when none
 * was asked
 * @evict_engine: engine to unload it from for another leaf; 0 when none
 * @evict_until_ms: until when that is wanted
 * @victim_requested_ms: as a victim: when its owner was asked to unload it
 * @eviction_requested_ms: when eviction was last asked for to load it
 * @base_requested_ms: when the base model was last wanted
 * @stray_engine: engine that has reported the leaf without a slot
 */
struct leaf {
    uint64_t id;
    char path[PATH_MAX_BYTES];
    bool owned;
    bool views_valid;
    bool busy;
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
    int64_t senders_asked_ms;
    int64_t unresponsive_since_ms;
    uint64_t evict_engine;
    int64_t evict_until_ms;
    int64_t victim_requested_ms;
    int64_t eviction_requested_ms;
    int64_t base_requested_ms;
    uint64_t stray_engine;
};

/**
 * struct place_main - duty that decides; child of struct place
 */
struct place_main {
    struct duty duty;
    struct place *place;
};

/**
 * struct place - placement: the deciding duty and the order threads
 * @supervisor: first member, so that the whole is one duty
 * @orders_port: first member of the port given to @orders
 * @main: the deciding duty
 * @orders: the order threads
 * @ring: messages to the deciding duty
 * @port: the rest of the instance
 * @self: own member id
 * @start: own start number
 * @stopping: waiting orders are given back
 * @recent_uses: leaves whose use was posted since the last tick
 * @leaves: struct leaf by id
 * @engines: struct engine_view by id
 * @engine_views: the values of @engines, for the functions that choose
 * @engine_view_count: number of @engine_views
 * @load_permits: turns at the weight store that this instance grants
 * @last_permit_token: last token given out
 * @tree: pinned while a message is handled; NULL without one
 * @config_fresh: whether decisions are allowed, while a message is handled
 * @now_ms: present time, while a message is handled
 * @started_ms: first tick
 * @reported_ms: last report of any engine
 * @tick_ms: last tick
 * @owner_cursor: next node of the tree whose owner is checked
 * @sweep_key: where the sweep of replica records goes on
 * @sweep_ms: last sweep
 * @sweeping: a sweep is under way
 * @kv_down: the last order could not reach the records
 */
struct place {
    struct supervisor supervisor;
    struct orders_port orders_port;
    struct place_main main;
    struct orders orders;
    struct ring ring;
    struct place_port *port;
    uint64_t self;
    uint64_t start;
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
    int64_t started_ms;
    int64_t reported_ms;
    int64_t tick_ms;
    int owner_cursor;
    char sweep_key[KV_KEY_MAX_BYTES + 1];
    int64_t sweep_ms;
    bool sweeping;
    bool kv_down;
};

#endif
