#ifndef PLACE_DAT_H
#define PLACE_DAT_H

/**
 * struct load_request - calls wait for a leaf that is not loaded
 * @leaf: id of the leaf
 * @path: path of the leaf
 * @priority: highest priority of the waiting calls
 * @waiting: number of waiting calls
 */
struct load_request {
    uint64_t leaf;
    char path[PATH_MAX_BYTES];
    int priority;
    int waiting;
};

/**
 * struct placement - reply to a load request
 * @leaf: id of the leaf
 * @target: engine that has loaded the leaf; 0 when the request was refused
 * @kind: ERR_NONE, or the reason for the refusal
 * @text: detail of a refusal
 */
struct placement {
    uint64_t leaf;
    uint64_t target;
    enum err_kind kind;
    char text[ERR_TEXT_MAX];
};

struct place_port;

/**
 * struct place_port_ops - services that placement uses
 * @report_placement: passes a reply to the route duty of this instance
 * @owner: member that decides about a leaf or, for hash_text("store"), about
 *         load permits
 * @send: sends a message to a member; the caller keeps the envelope
 * @tree_ref: settings tree in force, to be released with tree_unref(); NULL
 *            when there is none
 * @config_fresh: whether the configuration is recent enough to load or unload
 * @member_alive: whether the process of @member that started at @started_ms
 *                still runs; false only when the instance has been missing
 *                from the platform's list for the grace time or runs as a
 *                process with a later start time
 */
struct place_port_ops {
    void (*report_placement)(struct place_port *port,
                             const struct placement *placement);
    uint64_t (*owner)(struct place_port *port, uint64_t leaf);
    bool (*send)(struct place_port *port, uint64_t member,
                 Turmeric__Envelope *envelope);
    struct tree *(*tree_ref)(struct place_port *port);
    bool (*config_fresh)(struct place_port *port);
    bool (*member_alive)(struct place_port *port, uint64_t member,
                         uint64_t started_ms);
};

struct place_port {
    const struct place_port_ops *ops;
};

struct engine_api;

/**
 * struct engine_api_ops - orders to an engine
 * @load: loads a model or adapter and returns when it is loaded; @memory_mb
 *        is the memory reserved for it. ERR_FENCE_OLD when the engine refused
 *        the fence, ERR_LOAD_FAILED when it refused the load, ERR_TIMEOUT or
 *        ERR_IO when the outcome is unknown
 * @unload: frees the memory of a leaf after its running requests have ended;
 *          the same errors
 */
struct engine_api_ops {
    bool (*load)(struct engine_api *api, const char *address, const char *path,
                 int64_t memory_mb, uint64_t fence, struct err *err);
    bool (*unload)(struct engine_api *api, const char *address,
                   const char *path, uint64_t fence, struct err *err);
};

struct engine_api {
    const struct engine_api_ops *ops;
};

/**
 * struct place - duty that decides about loads and unloads
 */
struct place;

#endif
