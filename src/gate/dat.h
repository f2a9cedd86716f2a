#ifndef GATE_DAT_H
#define GATE_DAT_H

enum {
    TARGET_ITEMS_MAX = 96,
    /* A key of the store has at most 200 bytes; each of these is, or may be, a
     * part of one. */
    TARGET_ID_BYTES = 201,
    SERVICE_NAME_BYTES = 201,
};

/**
 * struct gate_limits - limits that the deployment sets for an instance
 * @stop_grace_ms: time between the request to stop and the kill
 * @retry_ratio: retries allowed per request of a service
 * @retry_allowance: retries allowed in addition to the ratio, over all
 *                   instances
 * @retry_window_ms: sliding window in which retries are counted
 * @address_ttl_max_s: longest time that callers may cache addresses
 * @key_revocation_ms: time after which a removed key is refused by every
 *                     instance, in contact with the store or not; 0 when only
 *                     instances in contact have to
 * @change_apply_ms: time after which each instance that reaches the store goes
 *                   by a change of the configuration or of a target; 0 when
 *                   unlimited
 * @quota_window_ms: sliding window in which the teams' quotas hold
 * @quota_over: share of a quota by which it may be exceeded in the window
 * @quota_slack: units by which it may be exceeded besides
 */
struct gate_limits {
    int64_t stop_grace_ms;
    double retry_ratio;
    int retry_allowance;
    int64_t retry_window_ms;
    int address_ttl_max_s;
    int64_t key_revocation_ms;
    int64_t change_apply_ms;
    int64_t quota_window_ms;
    double quota_over;
    double quota_slack;
};

/**
 * struct gate_settings - startup settings of an instance
 * @name: name of the instance
 * @zone: data centre of the instance
 * @front_address: listens for callers' requests
 * @readiness_address: listens for the platform's readiness checks
 * @lookup_address: listens for address lookups of callers; empty to disable
 * @peer_address: listens for other instances
 * @metrics_address: serves the counters; empty to disable
 * @store_address: address of the platform's store
 * @value_max_bytes: longest value that the store keeps; 0 for unknown
 * @lease_ttl_min_ms: shortest time to live of a lease that the store grants
 * @heartbeat_ms: interval at which targets renew their entries in the store
 * @descriptors_max: limit of open file descriptors of the process
 * @memory_mb: memory limit of the process in MB; 0 for a default
 * @link_mbps: bandwidth of the machine's link in Mbit/s; 0 for unknown
 * @cpu_cores: processor time that the machine gives, in cores; 0 for unknown
 * @limits: limits of the deployment
 */
struct gate_settings {
    char name[NAME_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    char front_address[ADDRESS_MAX_BYTES];
    char readiness_address[ADDRESS_MAX_BYTES];
    char lookup_address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
    char metrics_address[ADDRESS_MAX_BYTES];
    char store_address[ADDRESS_MAX_BYTES];
    int64_t value_max_bytes;
    int64_t lease_ttl_min_ms;
    int64_t heartbeat_ms;
    int descriptors_max;
    int memory_mb;
    int link_mbps;
    double cpu_cores;
    struct gate_limits limits;
};

/*
 * An item is a model or an adapter and is identified by the GQuark of its
 * name; an adapter's name is "MODEL/ADAPTER". Only names from the
 * configuration are interned, so callers can't grow the quark table.
 */

/* Size of an item whose size is unknown: no engine has room for it. */
#define ITEM_MB_UNKNOWN 1e12

/**
 * struct gate_model - a model of a service
 * @model: quark of the name
 * @weights_mb: size of the weights in MB; ITEM_MB_UNKNOWN for unknown
 * @adapter_count: number of adapters; they are named by a letter and a number
 *                 from 1 to this one
 * @adapters: quarks of the adapters' full names; owned
 * @adapter_mb: size of one adapter in MB; ITEM_MB_UNKNOWN for unknown
 * @store_load_ms: time of a load from the weight store
 * @memory_load_ms: time of a load from the engine's memory
 * @disk_load_ms: time of a load from the engine's disk
 */
struct gate_model {
    uint32_t model;
    double weights_mb;
    int adapter_count;
    uint32_t *adapters;
    double adapter_mb;
    int64_t store_load_ms;
    int64_t memory_load_ms;
    int64_t disk_load_ms;
};

/**
 * struct gate_service - a service and the common properties of its targets
 * @name: name of the service
 * @connections_max: connections that a target accepts from all clients
 * @token_capacity: tokens that the requests at an engine may have together; 0
 *                  for unknown
 * @models: models of the service, owned; NULL for a plain service
 * @model_count: number of @models
 * @memory_mb: capacity of an engine for weights and adapters, in MB
 * @adapter_slots: maximum number of adapters on an engine
 * @loads_per_s: rate limit of the weight store for loads, over all engines
 * @slots: requests that an engine runs concurrently
 */
struct gate_service {
    char name[SERVICE_NAME_BYTES];
    int connections_max;
    int token_capacity;
    struct gate_model *models;
    int model_count;
    double memory_mb;
    int adapter_slots;
    double loads_per_s;
    int slots;
};

/**
 * struct gate_share - weighted share of a route's requests for a service
 * @service: index in gate_config.services
 * @weight: weight relative to the other shares of the route
 */
struct gate_share {
    int service;
    int64_t weight;
};

/**
 * struct gate_route - policy for the requests to a path prefix of a host
 * @name: name of the route; owned
 * @host: host name, compared without case; owned
 * @prefix: path prefix; owned
 * @prefix_bytes: length of @prefix
 * @stream: responses are event streams
 * @retryable: a request may run more than once; a stream may be resumed at
 *             another engine
 * @timeout_ms: longest time that a request may take, set by the operator
 * @latency_goal_ms: latency objective of a response, or of its first event
 * @interval_goal_ms: longest interval between events that meets the objective
 * @priority: 0 is the highest
 * @attempts_max: maximum number of targets that a request is sent to
 * @public: requests need no key
 * @unusable: a part of it that can't be done without can't be used, so its
 *            requests are refused
 * @shares: services that requests are split over; owned
 * @share_count: number of @shares
 */
struct gate_route {
    char *name;
    char *host;
    char *prefix;
    size_t prefix_bytes;
    bool stream;
    bool retryable;
    int64_t timeout_ms;
    int64_t latency_goal_ms;
    int64_t interval_goal_ms;
    int priority;
    int attempts_max;
    bool public;
    bool unusable;
    struct gate_share *shares;
    int share_count;
};

enum { KEY_DIGEST_BYTES = 32 };

/**
 * struct key_digest - SHA-256 digest of a team's key
 *
 * Keys are not kept, so that no log line or memory dump shows one.
 */
struct key_digest {
    unsigned char bytes[KEY_DIGEST_BYTES];
};

/**
 * struct team_key - a key of the configuration
 * @digest: its digest
 * @team: index in gate_config.teams
 */
struct team_key {
    struct key_digest digest;
    int team;
};

enum quota_unit { QUOTA_REQUESTS, QUOTA_TOKENS };

/**
 * struct gate_team - callers with common keys, priority and quota
 * @name: its name; owned
 * @priority: 0 is the highest; replaces that of the route; -1 for none
 * @unit: what the quota counts
 * @plain_tokens: tokens that a request without a token count counts as
 * @rate_per_s: units per second, over all instances; 0 for no limit
 * @burst: units beyond the rate
 * @unusable: its name or its quota can't be used, so its requests are refused
 */
struct gate_team {
    char *name;
    int priority;
    enum quota_unit unit;
    int64_t plain_tokens;
    double rate_per_s;
    double burst;
    bool unusable;
};

/**
 * struct gate_config - one version of the operator's configuration
 *
 * Immutable once built; shared by reference count.
 *
 * @reference_count: number of owners; changed atomically
 * @version: increases with each change
 * @routes: owned; sorted by gate_config_sort_routes()
 * @route_count: number of @routes
 * @services: owned
 * @service_count: number of @services
 * @has_teams: requests need a key, except on public routes
 * @teams: owned
 * @team_count: number of @teams
 * @keys: owned; sorted by gate_config_sort_keys()
 * @key_count: number of @keys
 * @head_max_bytes: longest request head
 * @body_max_bytes: longest request body
 * @head_timeout_ms: time for a caller to send a request head
 * @idle_timeout_ms: time after which an idle connection is closed
 * @faults: "PLACE: REASON" of the first parts of the document that can't be
 *          used and were left out; ends with NULL; owned; NULL for none
 * @fault_count: number of all of them
 * @missing: places of the first members that have a default for want of a
 *           figure, separated by spaces; owned; NULL for none
 * @missing_count: number of all of them
 */
struct gate_config {
    int reference_count;
    int64_t version;
    struct gate_route *routes;
    int route_count;
    struct gate_service *services;
    int service_count;
    bool has_teams;
    struct gate_team *teams;
    int team_count;
    struct team_key *keys;
    int key_count;
    size_t head_max_bytes;
    size_t body_max_bytes;
    int64_t head_timeout_ms;
    int64_t idle_timeout_ms;
    char **faults;
    int fault_count;
    char *missing;
    int missing_count;
};

/**
 * struct confirmation - proof that a configuration was the newest at some time
 * @version: its version
 * @boot_ms: the time, by clock_boot_ms()
 */
struct confirmation {
    int64_t version;
    int64_t boot_ms;
};

/**
 * struct item_set - set of models and adapters
 * @ids: quarks of the items, in no order
 * @count: number of @ids
 */
struct item_set {
    uint32_t ids[TARGET_ITEMS_MAX];
    int count;
};

/**
 * struct target_info - a target's description of itself
 * @id: name of this start of the target; when several starts share it,
 *      @started_ms tells them apart
 * @service: name of the service that it belongs to
 * @address: where it takes requests
 * @zone: its data centre
 * @started_ms: wall time of its start; 0 when not reported
 * @entry_writes: times that its entry was written since its start, this one
 *                included; 0 when not reported
 * @draining: it is about to stop and takes no new requests
 * @slots: requests that it runs concurrently
 * @sequence: number of orders accepted since its start; -1 when not reported
 * @order_running: an order is in progress
 * @has_unknown_items: it holds items that are missing from the configuration,
 *                     or can't be read, so that their size is unknown
 * @cut_items: items for which the sets below had no room
 * @unreadable_items: items whose names can't be read
 * @held: items that requests can use now, or within milliseconds
 * @in_memory: weights that can be loaded from its memory
 * @on_disk: weights that can be loaded from its disk
 */
struct target_info {
    char id[TARGET_ID_BYTES];
    char service[SERVICE_NAME_BYTES];
    char address[ADDRESS_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    int64_t started_ms;
    int64_t entry_writes;
    bool draining;
    int slots;
    int64_t sequence;
    bool order_running;
    bool has_unknown_items;
    int cut_items;
    int unreadable_items;
    struct item_set held;
    struct item_set in_memory;
    struct item_set on_disk;
};

/**
 * struct gate_member - an instance in the member list; also this one
 * @id: hash of the name
 * @started_ms: wall time of its start
 * @link_mbps: bandwidth of its link in Mbit/s; 0 for unknown
 * @name: name of the instance
 * @zone: its data centre
 * @front_address: where it takes callers' requests
 * @peer_address: where it takes connections of other instances
 */
struct gate_member {
    uint64_t id;
    int64_t started_ms;
    int link_mbps;
    char name[NAME_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    char front_address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
};

/* The largest integer that all JSON encoders keep exactly. */
#define STORE_REVISION_MAX (INT64_C(1) << 53)

/* A fencing token has the era above 40 bits of revision, and JSON keeps 53
 * bits of an integer. */
enum { STORE_ERA_BITS = 13, STORE_ERA_MAX = (1 << STORE_ERA_BITS) - 1 };

/**
 * struct store_item - a key of the platform's store with its value
 * @key: owned
 * @value: the value with a terminating NUL byte, owned; NULL when the key was
 *         deleted
 * @value_bytes: length of @value without the NUL byte
 * @revision: revision of the last change
 * @create_revision: revision at which the key was created
 */
struct store_item {
    char *key;
    char *value;
    size_t value_bytes;
    int64_t revision;
    int64_t create_revision;
};

/**
 * struct store_items - result of a list or a watch
 * @items: owned
 * @count: number of @items
 * @revision: the store's revision, after which a watch can continue
 * @received_ms: when the response was received, by clock_now_ms(); 0 if
 *               unknown
 * @more: the list continues after the last key
 */
struct store_items {
    struct store_item *items;
    int count;
    int64_t revision;
    int64_t received_ms;
    bool more;
};

/**
 * struct store_write - a conditional write
 * @key: the key
 * @expected_revision: revision that the key must have; 0 for an absent key
 * @value: new value; NULL deletes the key
 * @lease: lease that the key is attached to; 0 for none
 */
struct store_write {
    const char *key;
    int64_t expected_revision;
    const char *value;
    int64_t lease;
};

struct store;

/**
 * struct store_ops - operations of the platform's store
 * @list: reads a page of the keys with a prefix, after the key @after
 * @watch: waits for changes after a revision; fails with ERR_NOT_FOUND when
 *         the store has compacted that revision, or when the changes are more
 *         than a response may have, and with ERR_BAD_JSON when the response
 *         can't be read
 * @write: writes conditionally; fails with ERR_KV_CONFLICT when the condition
 *         does not hold, with ERR_NOT_FOUND when the lease has expired, and
 *         with ERR_KV_DOWN when it is unknown whether the write took place
 * @lease_grant: requests a lease; sets @ttl_ms to the granted time
 * @lease_renew: renews a lease; fails with ERR_NOT_FOUND when it has expired
 * @lease_revoke: revokes a lease and deletes its keys
 * @stop: aborts the call in progress and fails all later ones; the only
 *        operation that may be called from another thread
 *
 * Calls block for a bounded time. A store object belongs to one thread.
 */
struct store_ops {
    bool (*list)(struct store *store, const char *prefix, const char *after,
                 struct store_items *items, struct err *err);
    bool (*watch)(struct store *store, const char *prefix, int64_t after,
                  int64_t wait_ms, struct store_items *items, struct err *err);
    bool (*write)(struct store *store, const struct store_write *write,
                  int64_t *revision, struct err *err);
    bool (*lease_grant)(struct store *store, int64_t *ttl_ms, int64_t *lease,
                        struct err *err);
    bool (*lease_renew)(struct store *store, int64_t lease, struct err *err);
    bool (*lease_revoke)(struct store *store, int64_t lease, struct err *err);
    void (*stop)(struct store *store);
};

/**
 * struct store - client of the platform's store
 * @ops: its operations
 * @era: era that the last response named; one higher each time the store is
 *       restored from an older copy; 0 while the store names none
 * @names_era: the last response named one, which may be 0
 */
struct store {
    const struct store_ops *ops;
    int64_t era;
    bool names_era;
};

/* Timeout of a call to an engine, including the connect; engines usually
 * respond within a few milliseconds. */
enum { ORDER_TIMEOUT_MS = 1000 };

enum order_action { ORDER_LOAD, ORDER_UNLOAD };

/**
 * struct engine_order - an order to load or unload an item
 * @action: what the engine is to do
 * @target: id of the engine
 * @address: address of the engine
 * @item: quark of the model or adapter
 * @expected_sequence: sequence that the engine must have
 * @fence: fencing token; increases with each holder
 * @holder: name of the holder that gives the order; borrowed
 */
struct engine_order {
    enum order_action action;
    char target[TARGET_ID_BYTES];
    char address[ADDRESS_MAX_BYTES];
    uint32_t item;
    int64_t expected_sequence;
    int64_t fence;
    const char *holder;
};

enum order_result {
    ORDER_ACCEPTED, /* in progress */
    ORDER_NOOP,     /* the engine is already in the requested state */
    ORDER_CONFLICT, /* another order is in progress, or the sequence differs */
    ORDER_FENCED,   /* the engine has seen a newer fencing token */
    ORDER_WRONG_TARGET, /* a different target answers at the address */
    ORDER_REFUSED,      /* the engine rejects the order as invalid */
    ORDER_IN_DOUBT,     /* no response; it may run now or later */
};

struct gate_engine;

/**
 * struct gate_engine_ops - operations of an engine's client
 * @order: sends an order and waits up to ORDER_TIMEOUT_MS for the response
 * @report: reads the engine's state; leaves fields that the engine does not
 *          report unchanged
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
 * struct gate_decode_ops - decoders of the documents in the store
 * @key: classifies a key; sets @rest to the id of the target
 * @config: decodes a configuration; the caller owns the reference; NULL with
 *          ERR_BAD_JSON when it is invalid
 * @conceal: the document of a configuration with digests in place of the keys,
 *           to be freed by the caller; one that can't be read if it can't
 * @target: decodes a target's description of itself; false when it describes
 *          no usable target
 */
struct gate_decode_ops {
    enum key_kind (*key)(const char *key, const char **rest);
    struct gate_config *(*config)(const char *bytes, size_t count,
                                  struct err *err);
    char *(*conceal)(const char *bytes, size_t count);
    bool (*target)(const char *id, const char *bytes, size_t count,
                   struct target_info *info, struct err *err);
};

enum { GATE_STORE_CLIENTS = 2, GATE_ENGINE_CLIENTS = 4 };

struct dialect;

/**
 * struct gate_platform - interface to the platform, implemented by its adapter
 * @stores: clients of the store, one per duty that uses it
 * @engines: clients of engines, one per worker
 * @decode: decoders of the documents in the store
 * @dialect: encoding of the header fields in requests and responses
 */
struct gate_platform {
    struct store *stores[GATE_STORE_CLIENTS];
    struct gate_engine *engines[GATE_ENGINE_CLIENTS];
    const struct gate_decode_ops *decode;
    struct dialect *dialect;
};

#endif
