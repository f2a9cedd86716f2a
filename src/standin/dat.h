#ifndef STANDIN_DAT_H
#define STANDIN_DAT_H

#include <glib.h>

enum { STANDIN_BODY_MAX_BYTES = 4 * 1024 * 1024, MARKER_MAX_BYTES = 64 };

/**
 * struct faults - faults that are switched on over HTTP while it runs
 * @down: the role's address refuses connections
 * @slow_ms: added to each call
 * @lose_answers: number of calls that take effect and lose their answer
 * @lose_writes: kv: number of writes that take effect and lose their answer
 * @crash_on: a request whose body contains this text ends the process
 * @ignore_fence: orders with an old fencing number are carried out
 * @leaving: the target reports itself as leaving
 * @fail_loads: number of loads that fail
 */
struct faults {
    bool down;
    int64_t slow_ms;
    int64_t lose_answers;
    int64_t lose_writes;
    char crash_on[MARKER_MAX_BYTES];
    bool ignore_fence;
    bool leaving;
    int64_t fail_loads;
};

/**
 * struct options - command line
 */
struct options {
    const char *role;
    const char *name;
    const char *address;
    const char *control;
    const char *file;
    const char *store;
    int64_t memory_mb;
    int64_t load_ms;
    int64_t token_ms;
    int64_t tokens;
    int64_t lag_ms;
    int64_t at_once;
};

struct role;

/**
 * struct role_ops - what a role adds to the common server
 * @prepare: adds the role's endpoints
 * @status: JSON object for GET /stats on the control address
 */
struct role_ops {
    const char *name;
    bool (*prepare)(struct role *role, struct err *err);
    struct json_object *(*stats)(struct role *role);
};

/**
 * struct role - a stand-in for one part of the platform
 * @ops: behaviour; first member of every role
 * @lock: guards @faults and the role's own state
 * @switch_lock: guards starting and stopping @server
 * @wake: broadcast at the stop, so that simulated delays end early
 */
struct role {
    const struct role_ops *ops;
    const struct options *options;
    struct http_server *server;
    struct http_server *control;
    struct faults faults;
    pthread_mutex_t lock;
    pthread_mutex_t switch_lock;
    pthread_cond_t wake;
    bool stopping;
    int64_t calls;
};

/**
 * struct engine_role - model engine
 *
 * Everything is guarded by the role's lock.
 */
struct engine_role {
    struct role role;
    uint64_t incarnation;
    GHashTable *loaded;  /* path -> memory in MB */
    GHashTable *loading; /* path -> itself, while its weights are fetched */
    GHashTable *cached;  /* path -> itself */
    GHashTable *streams; /* stream id -> itself */
    GHashTable *cancelled;
    uint64_t fence;
    int64_t used_mb;
    int64_t running;
    int64_t loads;
    int64_t unloads;
    int64_t overcommits_refused;
    int64_t fences_refused;
    int64_t chats;
    int64_t cancels;
    struct json_object *history; /* one object for each replica ever held */
};

/**
 * struct standin - duty that runs a role
 */
struct standin {
    struct duty duty;
    struct role *role;
    struct ring stop;
};

#endif
