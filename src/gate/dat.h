#ifndef GATE_DAT_H
#define GATE_DAT_H

enum {
    TARGET_ITEMS_MAX = 96,
    MEMBERS_MAX = 512,
    SHARES_MAX = 8,
};

/**
 * struct gate_limits - what the deployment demands of an instance
 * @grace_ms: time between the request to stop and the kill
 * @retry_ratio: repeated sends allowed for each request of a service
 * @retry_extra: repeated sends allowed beside the ratio, all instances
 * together
 * @retry_window_ms: window of the two
 * @address_keep_max_s: callers keep an answer with addresses no longer
 */
struct gate_limits {
    int64_t grace_ms;
    double retry_ratio;
    int retry_extra;
    int64_t retry_window_ms;
    int address_keep_max_s;
};

/**
 * struct gate_settings - what an instance is told at its start
 * @front_address: where callers connect
 * @ready_address: where the platform asks whether we take requests
 * @lookup_address: where callers ask for addresses; empty when not served
 * @peer_address: where other instances connect
 * @metrics_address: where counters are served; empty when not served
 * @store_address: the platform's store
 * @lease_min_ms: shortest lease that the store grants
 * @descriptors_max: descriptors that the process may open
 */
struct gate_settings {
    char name[NAME_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    char front_address[ADDRESS_MAX_BYTES];
    char ready_address[ADDRESS_MAX_BYTES];
    char lookup_address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
    char metrics_address[ADDRESS_MAX_BYTES];
    char store_address[ADDRESS_MAX_BYTES];
    int64_t lease_min_ms;
    int descriptors_max;
    struct gate_limits limits;
};

/*
 * Models and adapters are referred to by the GQuark of their name; an
 * adapter's name is that of its model, a slash and its own. Only names from
 * the configuration are made quarks, so callers can't grow the table.
 */

/**
 * struct gate_model - a model that a service may serve
 * @model: quark of the name
 * @mb: size of the weights
 * @adapter_count: adapters are named by a letter and 1 to this number
 * @adapters: quarks of the adapters' full names
 * @adapter_mb: size of one adapter
 * @load_ms: load from the weight store
 * @memory_ms: load from the engine's memory
 * @disk_ms: load from the engine's disk
 */
struct gate_model {
    uint32_t model;
    double mb;
    int adapter_count;
    uint32_t *adapters;
    double adapter_mb;
    int64_t load_ms;
    int64_t memory_ms;
    int64_t disk_ms;
};

/**
 * struct gate_service - a service with its targets' common properties
 * @connections_max: connections that a target accepts from all callers
 * @models: the models; NULL for a plain service
 * @memory_mb: room for weights and adapters on an engine
 * @adapter_slots: adapters that an engine holds at most
 * @loads_per_s: loads that the weight store allows over all engines
 * @slots: requests that an engine runs at once
 */
struct gate_service {
    char name[NAME_MAX_BYTES];
    int connections_max;
    struct gate_model *models;
    int model_count;
    double memory_mb;
    int adapter_slots;
    double loads_per_s;
    int slots;
};

/**
 * struct gate_share - part of a route's requests that goes to a service
 * @service: index in the configuration's services
 * @weight: relative
 */
struct gate_share {
    int service;
    int weight;
};

/**
 * struct gate_route - what a path prefix of a host is served by
 * @stream: answers are event streams
 * @repeatable: a request may run more than once; for a stream, it may go on
 *              at another engine
 * @timeout_ms: the longest wait that the operator wants
 * @goal_ms: an answer, or its first event, is on time until then
 * @gap_ms: longest pause between events that is on time
 * @priority: 0 is the highest
 * @targets_max: targets that one request may be sent to
 */
struct gate_route {
    char name[NAME_MAX_BYTES];
    char *host;
    char *prefix;
    size_t prefix_bytes;
    bool stream;
    bool repeatable;
    int64_t timeout_ms;
    int64_t goal_ms;
    int64_t gap_ms;
    int priority;
    int targets_max;
    struct gate_share shares[SHARES_MAX];
    int share_count;
};

/**
 * struct gate_config - one version of the operator's configuration
 *
 * Immutable once built; shared by reference count.
 *
 * @version: grows with each change
 * @head_max_bytes: longest request head
 * @body_max_bytes: longest request body
 * @head_timeout_ms: time for a caller to send a head
 * @idle_ms: time that a connection may stay without a request
 */
struct gate_config {
    int references;
    int64_t version;
    struct gate_route *routes;
    int route_count;
    struct gate_service *services;
    int service_count;
    size_t head_max_bytes;
    size_t body_max_bytes;
    int64_t head_timeout_ms;
    int64_t idle_ms;
};

/**
 * struct target_items - what an engine holds
 * @ids: quarks of models and adapters
 */
struct target_items {
    uint32_t ids[TARGET_ITEMS_MAX];
    int count;
};

/**
 * struct target_info - a target as it describes itself
 * @id: name of this start of the target, or of several; see @born_ms
 * @born_ms: wall time of its start; 0 when it doesn't say
 * @leaving: it takes no new work soon
 * @sequence: orders accepted since its start; -1 when it doesn't say
 * @busy: an order is being carried out
 * @strange: it holds something that the configuration doesn't name, whose size
 *           is not known
 * @held: what requests can use, or will within ms
 * @in_memory: weights that load from memory
 * @on_disk: weights that load from disk
 */
struct target_info {
    char id[NAME_MAX_BYTES];
    char service[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    int64_t born_ms;
    bool leaving;
    int slots;
    int64_t sequence;
    bool busy;
    bool strange;
    struct target_items held;
    struct target_items in_memory;
    struct target_items on_disk;
};

/**
 * struct gate_member - another instance, or this one
 * @id: hash of the name
 * @start: wall time of its start
 */
struct gate_member {
    uint64_t id;
    int64_t start;
    char name[NAME_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    char front_address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
};

/**
 * struct store_item - one key of the platform's store
 * @key: the key
 * @value: its bytes, with a NUL byte after them; NULL when deleted
 * @revision: of the last change
 * @created: revision at which the key came into being
 */
struct store_item {
    char *key;
    char *value;
    size_t value_bytes;
    int64_t revision;
    int64_t created;
};

/**
 * struct store_items - answer of a read or a watch
 * @items: owned
 * @revision: the store's revision, from which a watch goes on
 * @more: keys follow behind the last one
 */
struct store_items {
    struct store_item *items;
    int count;
    int64_t revision;
    bool more;
};

/**
 * struct store_write - one conditional write
 * @key: the key
 * @expected: revision that it must have; 0 for absent
 * @value: new value; NULL removes the key
 * @lease: lease that the key ends with; 0 for none
 */
struct store_write {
    const char *key;
    int64_t expected;
    const char *value;
    int64_t lease;
};

struct store;

/**
 * struct store_ops - the platform's store
 * @list: reads a page of the keys with a prefix, behind @after
 * @watch: waits for changes after a revision; fails with ERR_NOT_FOUND when
 *         the store has forgotten that far back
 * @write: writes under a condition; fails with ERR_KV_CONFLICT when the
 *         condition does not hold, with ERR_NOT_FOUND when the lease has
 *         ended, with ERR_KV_DOWN when it may or may not have been done
 * @lease_begin: grants a lease; @ttl_ms is set to the time that applies
 * @lease_keep: renews a lease; fails with ERR_NOT_FOUND when it has ended
 * @lease_end: ends a lease, and removes its keys
 * @stop: ends the call in progress and fails all later ones; called from
 *        another thread
 *
 * Calls block for a bounded time. One thread uses one store object.
 */
struct store_ops {
    bool (*list)(struct store *store, const char *prefix, const char *after,
                 struct store_items *items, struct err *err);
    bool (*watch)(struct store *store, const char *prefix, int64_t after,
                  int64_t wait_ms, struct store_items *items, struct err *err);
    bool (*write)(struct store *store, const struct store_write *write,
                  int64_t *revision, struct err *err);
    bool (*lease_begin)(struct store *store, int64_t *ttl_ms, int64_t *lease,
                        struct err *err);
    bool (*lease_keep)(struct store *store, int64_t lease, struct err *err);
    bool (*lease_end)(struct store *store, int64_t lease, struct err *err);
    void (*stop)(struct store *store);
};

struct store {
    const struct store_ops *ops;
};

/* Longest time that a call to an engine may take, connecting included; it is
 * usually answered within some ms. */
enum { ORDER_CALL_MS = 1000 };

enum order_action { ORDER_LOAD, ORDER_UNLOAD };

/**
 * struct engine_order - an order to an engine
 * @item: quark of the model or adapter
 * @expected: sequence that the engine must be at
 * @fence: grows from holder to holder
 */
struct engine_order {
    enum order_action action;
    char target[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    uint32_t item;
    int64_t expected;
    int64_t fence;
    const char *holder;
};

enum order_result {
    ORDER_ACCEPTED,  /* is being carried out */
    ORDER_HOLDS,     /* there is nothing to do */
    ORDER_CONFLICT,  /* another order runs, or the sequence differs */
    ORDER_FENCED,    /* a newer holder has ordered */
    ORDER_MISPLACED, /* another target has the address */
    ORDER_REFUSED,   /* the engine does not know such an order */
    ORDER_UNKNOWN,   /* no answer: it may be carried out, or later */
};

struct gate_engine;

/**
 * struct gate_engine_ops - orders to engines and their reports
 * @order: gives an order and waits for the answer, ORDER_CALL_MS at most
 * @report: reads what the engine holds; fields that it does not tell stay
 */
struct gate_engine_ops {
    enum order_result (*order)(struct gate_engine *engine,
                               const struct engine_order *order,
                               struct err *err);
    bool (*report)(struct gate_engine *engine, const char *address,
                   struct target_info *info, struct err *err);
};

struct gate_engine {
    const struct gate_engine_ops *ops;
};

enum key_kind { KEY_OTHER, KEY_CONFIG, KEY_TARGET };

/**
 * struct gate_decode_ops - documents of the operator and of targets
 * @key: what a key of the store is; @rest is set to the target's id
 * @config: a configuration; NULL with ERR_BAD_JSON when it can't be read
 * @target: a target's description of itself; false when it names no target
 *          that can be used
 */
struct gate_decode_ops {
    enum key_kind (*key)(const char *key, const char **rest);
    struct gate_config *(*config)(const char *bytes, size_t count,
                                  struct err *err);
    bool (*target)(const char *id, const char *bytes, size_t count,
                   struct target_info *info, struct err *err);
};

enum { GATE_STORES = 2, GATE_ENGINES = 4 };

struct dialect;

/**
 * struct gate_platform - the platform, as the adapter translates it
 * @stores: clients of the store, one for each duty that uses it
 * @engines: clients of engines, one for each worker
 * @decode: documents in the store
 * @dialect: names in requests and answers
 */
struct gate_platform {
    struct store *stores[GATE_STORES];
    struct gate_engine *engines[GATE_ENGINES];
    const struct gate_decode_ops *decode;
    struct dialect *dialect;
};

#endif
