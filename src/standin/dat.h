#ifndef STANDIN_DAT_H
#define STANDIN_DAT_H

#include <glib.h>

enum {
    STANDIN_BODY_MAX_BYTES = 4 * 1024 * 1024,
    CRASH_MARKER_MAX_BYTES = 64,
    RETRY_AFTER_MAX_BYTES = 64,
};

/**
 * struct faults - injected faults, set with POST /faults
 * @down: the service address refuses connections
 * @delay_ms: delay added to each request
 * @drop_responses: number of further requests that are executed, but whose
 *                  connection is closed instead of a response
 * @drop_write_responses: kv: like @drop_responses, but only for writes
 * @crash_marker: a request whose body contains this text ends the process
 * @ignore_fence: engine: orders with an old fencing token are accepted
 * @draining: the target says in all its answers that it leaves
 * @turn_away: number of further requests that are refused and not run
 * @retry_after: value of Retry-After in these refusals; empty to omit it
 * @fail_loads: engine: number of further loads that fail
 */
struct faults {
    bool down;
    int64_t delay_ms;
    int64_t drop_responses;
    int64_t drop_write_responses;
    char crash_marker[CRASH_MARKER_MAX_BYTES];
    bool ignore_fence;
    bool draining;
    int64_t turn_away;
    char retry_after[RETRY_AFTER_MAX_BYTES];
    int64_t fail_loads;
};

/**
 * struct standin_options - command line
 * @address: service address
 * @control_address: address of POST /faults and GET /stats, or NULL
 * @instances_file: list: JSON file with the initial instances, or NULL
 * @store_address: engine: address of the weight store, or NULL
 * @store_load_ms: engine: time of a load from the weight store
 * @token_ms: engine: time to generate a token
 * @answer_tokens: engine: tokens per answer, unless max_tokens overrides it
 * @leaving: engine, plain: @draining from the start
 * @turn_away: engine, plain: @turn_away at the start
 * @retry_after: engine, plain: @retry_after at the start
 * @list_delay_ms: list: delay after which a change becomes visible
 * @full_speed_downloads: store: concurrent downloads that run at full speed
 */
struct standin_options {
    const char *role;
    const char *name;
    const char *address;
    const char *control_address;
    const char *instances_file;
    const char *store_address;
    int64_t memory_mb;
    int64_t store_load_ms;
    int64_t token_ms;
    int64_t answer_tokens;
    bool leaving;
    int64_t turn_away;
    const char *retry_after;
    int64_t list_delay_ms;
    int64_t full_speed_downloads;
};

struct role;

/**
 * struct role_ops - operations of a simulated service
 * @init: initializes the role's state and adds its endpoints
 * @stats: returns the role's statistics for GET /stats; called with the lock
 *         held
 */
struct role_ops {
    const char *name;
    bool (*init)(struct role *role, struct err *err);
    struct json_object *(*stats)(struct role *role);
};

/**
 * struct role - simulated service; the first member of its implementations
 * @ops: operations; must be the first member
 * @server: HTTP server on the service address
 * @control: HTTP server on the control address, or NULL
 * @lock: guards @faults and the role's state
 * @server_lock: serializes starting and stopping @server
 * @state_changed: signalled when the role stops, which ends simulated delays,
 *                 and when an engine finishes a load
 */
struct role {
    const struct role_ops *ops;
    const struct standin_options *options;
    struct http_server *server;
    struct http_server *control;
    struct faults faults;
    pthread_mutex_t lock;
    pthread_mutex_t server_lock;
    pthread_cond_t state_changed;
    bool stopping;
    int64_t request_count;
};

/**
 * struct engine_role - simulated model engine
 * @incarnation: wall time of the start, in milliseconds
 * @highest_fence: highest fencing token of an accepted order
 * @used_mb: memory of loaded models and of models being loaded
 *
 * The role's lock guards all members.
 */
struct engine_role {
    struct role role;
    uint64_t incarnation;
    GHashTable *loaded;            /* model path -> memory in MB */
    GHashTable *loading;           /* set of model paths being loaded */
    GHashTable *cached_on_disk;    /* set of model paths */
    GHashTable *known_streams;     /* set of stream ids */
    GHashTable *cancelled_streams; /* set of stream ids */
    uint64_t highest_fence;
    int64_t used_mb;
    int64_t running_requests;
    int64_t loads;
    int64_t unloads;
    int64_t overcommits_refused;
    int64_t fences_refused;
    int64_t chats;
    int64_t cancels;
    struct json_object *replica_history; /* array, one object per replica */
};

/**
 * struct standin - duty that runs a role
 * @stop_ring: closed to stop the duty; carries no messages
 */
struct standin {
    struct duty duty;
    struct role *role;
    struct ring stop_ring;
};

#endif
