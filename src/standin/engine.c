/**
 * DOC: Simulated model engine.
 *
 * Executes load and unload orders and reports its status. It records when each
 * replica held memory, so that a test can check the limits on replicas
 * afterwards.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "standin/dat.h"
#include "standin/fns.h"

enum { LOAD_TIMEOUT_S = 600 };

static struct json_object *
keys_to_json(GHashTable *table)
{
    struct json_object *array = json_object_new_array();
    GHashTableIter iterator;
    gpointer key;

    g_hash_table_iter_init(&iterator, table);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        json_object_array_add(array, json_object_new_string(key));
    }
    return array;
}

static int
get_status(const struct _u_request *request, struct _u_response *response,
           void *user_data)
{
    struct engine_role *engine = user_data;
    struct json_object *status = json_object_new_object();
    struct json_object *cached = json_object_new_object();
    int64_t bytes_per_mb = 1024 * 1024;

    (void)request;
    pthread_mutex_lock(&engine->role.lock);
    json_object_object_add(
        status, "incarnation",
        json_object_new_int64((int64_t)engine->incarnation));
    json_object_object_add(
        status, "memory_bytes",
        json_object_new_int64(engine->role.options->memory_mb * bytes_per_mb));
    json_object_object_add(
        status, "used_bytes",
        json_object_new_int64(engine->used_mb * bytes_per_mb));
    json_object_object_add(status, "running",
                           json_object_new_int64(engine->running_requests));
    json_object_object_add(status, "waiting", json_object_new_int64(0));
    json_object_object_add(
        status, "leaving",
        json_object_new_boolean(engine->role.faults.draining));
    json_object_object_add(status, "loaded", keys_to_json(engine->loaded));
    json_object_object_add(cached, "memory", json_object_new_array());
    json_object_object_add(cached, "disk",
                           keys_to_json(engine->cached_on_disk));
    json_object_object_add(status, "cached", cached);
    pthread_mutex_unlock(&engine->role.lock);
    http_reply_json(response, 200, status);
    return U_CALLBACK_COMPLETE;
}

static int
get_models(const struct _u_request *request, struct _u_response *response,
           void *user_data)
{
    struct engine_role *engine = user_data;
    struct json_object *reply = json_object_new_object();
    struct json_object *data = json_object_new_array();
    GHashTableIter iterator;
    gpointer key;

    (void)request;
    pthread_mutex_lock(&engine->role.lock);
    g_hash_table_iter_init(&iterator, engine->loaded);
    while (g_hash_table_iter_next(&iterator, &key, NULL)) {
        struct json_object *model = json_object_new_object();

        json_object_object_add(model, "id", json_object_new_string(key));
        json_object_object_add(model, "object",
                               json_object_new_string("model"));
        json_object_array_add(data, model);
    }
    pthread_mutex_unlock(&engine->role.lock);
    json_object_object_add(reply, "object", json_object_new_string("list"));
    json_object_object_add(reply, "data", data);
    http_reply_json(response, 200, reply);
    return U_CALLBACK_COMPLETE;
}

/* Called with the lock held. Records that a replica now holds memory. */
static void
history_begin_replica(struct engine_role *engine, const char *path)
{
    struct json_object *replica = json_object_new_object();

    json_object_object_add(replica, "model", json_object_new_string(path));
    json_object_object_add(replica, "from_ms",
                           json_object_new_int64(clock_now_ms()));
    json_object_array_add(engine->replica_history, replica);
}

/* Called with the lock held. Ends the oldest open record of the path. */
static void
history_end_replica(struct engine_role *engine, const char *path)
{
    for (size_t i = 0; i < json_object_array_length(engine->replica_history);
         i++) {
        struct json_object *replica =
            json_object_array_get_idx(engine->replica_history, i);

        if (strcmp(json_get_string(replica, "model", ""), path) == 0 &&
            json_get_int64(replica, "to_ms", 0) == 0) {
            json_object_object_add(replica, "to_ms",
                                   json_object_new_int64(clock_now_ms()));
            return;
        }
    }
}

/* Called with the lock held. Rejects an older fencing token than the last. */
static bool
accept_fence(struct engine_role *engine, uint64_t fence)
{
    if (fence < engine->highest_fence && !engine->role.faults.ignore_fence) {
        engine->fences_refused++;
        return false;
    }
    engine->highest_fence = MAX(engine->highest_fence, fence);
    return true;
}

static void
fetch_weights(struct engine_role *engine, int64_t load_ms)
{
    const char *store = engine->role.options->store_address;
    struct err err = {0};
    char url[ADDRESS_MAX_BYTES * 2];
    int status;

    if (store == NULL) {
        role_delay(&engine->role, load_ms);
        return;
    }
    snprintf(url, sizeof(url), "http://%s/weights?ms=%lld", store,
             (long long)load_ms);
    http_call("GET", url, NULL, NULL, LOAD_TIMEOUT_S, &status, NULL, &err);
}

/*
 * Called with the lock held. Waits until no load of the path is in progress.
 * Thus no earlier load is pending after an acknowledged unload, and a second
 * load of the path reserves no memory.
 */
static void
wait_for_load(struct engine_role *engine, const char *path)
{
    while (g_hash_table_contains(engine->loading, path) &&
           !engine->role.stopping) {
        pthread_cond_wait(&engine->role.state_changed, &engine->role.lock);
    }
}

/*
 * Reserves the memory before the weights are fetched, as real engines do that
 * allocate first. Returns an HTTP status, 208 when the model is already
 * loaded, and sets *error when the status is an error.
 */
static unsigned
begin_load(struct engine_role *engine, const char *path, int64_t memory_mb,
           uint64_t fence, const char **error)
{
    unsigned status = 200;

    pthread_mutex_lock(&engine->role.lock);
    wait_for_load(engine, path);
    if (!accept_fence(engine, fence)) {
        *error = "fence_old";
        status = 409;
    }
    else if (engine->role.faults.fail_loads > 0) {
        engine->role.faults.fail_loads--;
        *error = "load_failed";
        status = 500;
    }
    else if (g_hash_table_contains(engine->loaded, path)) {
        status = 208;
    }
    else if (engine->used_mb + memory_mb > engine->role.options->memory_mb) {
        engine->overcommits_refused++;
        *error = "memory_full";
        status = 507;
    }
    else {
        engine->used_mb += memory_mb;
        g_hash_table_add(engine->loading, g_strdup(path));
        history_begin_replica(engine, path);
    }
    pthread_mutex_unlock(&engine->role.lock);
    return status;
}

static void
finish_load(struct engine_role *engine, const char *path, int64_t memory_mb)
{
    pthread_mutex_lock(&engine->role.lock);
    g_hash_table_insert(engine->loaded, g_strdup(path), (gpointer)memory_mb);
    g_hash_table_add(engine->cached_on_disk, g_strdup(path));
    g_hash_table_remove(engine->loading, path);
    engine->loads++;
    pthread_cond_broadcast(&engine->role.state_changed);
    pthread_mutex_unlock(&engine->role.lock);
}

static bool
is_cached_on_disk(struct engine_role *engine, const char *path)
{
    bool cached;

    pthread_mutex_lock(&engine->role.lock);
    cached = g_hash_table_contains(engine->cached_on_disk, path);
    pthread_mutex_unlock(&engine->role.lock);
    return cached;
}

static int
post_load(const struct _u_request *request, struct _u_response *response,
          void *user_data)
{
    struct engine_role *engine = user_data;
    struct err err = {0};
    struct json_object *body = http_body_json(request, &err);
    const char *error = "";
    const char *path;
    int64_t memory_mb;
    int64_t load_ms = engine->role.options->store_load_ms;
    unsigned status;

    if (body == NULL) {
        reply_error(response, 400, err.text);
        return U_CALLBACK_COMPLETE;
    }
    role_begin_request(&engine->role, request);
    path = json_get_string(body, "model", "");
    memory_mb = json_get_int64(body, "memory_mb", 0);
    status = begin_load(engine, path, memory_mb,
                        (uint64_t)json_get_int64(body, "fence", 0), &error);
    if (status == 200) {
        if (is_cached_on_disk(engine, path)) {
            load_ms /= 4;
        }
        fetch_weights(engine, load_ms);
        finish_load(engine, path, memory_mb);
    }
    if (status >= 300) {
        reply_error(response, status, error);
    }
    else {
        http_reply_json(response, 200, json_object_new_object());
    }
    json_object_put(body);
    return role_end_request(&engine->role, response);
}

static int
post_unload(const struct _u_request *request, struct _u_response *response,
            void *user_data)
{
    struct engine_role *engine = user_data;
    struct err err = {0};
    struct json_object *body = http_body_json(request, &err);
    const char *path;
    bool accepted;

    if (body == NULL) {
        reply_error(response, 400, err.text);
        return U_CALLBACK_COMPLETE;
    }
    role_begin_request(&engine->role, request);
    path = json_get_string(body, "model", "");
    pthread_mutex_lock(&engine->role.lock);
    wait_for_load(engine, path);
    accepted =
        accept_fence(engine, (uint64_t)json_get_int64(body, "fence", 0));
    if (accepted && g_hash_table_contains(engine->loaded, path)) {
        engine->used_mb -= (int64_t)g_hash_table_lookup(engine->loaded, path);
        g_hash_table_remove(engine->loaded, path);
        history_end_replica(engine, path);
        engine->unloads++;
    }
    pthread_mutex_unlock(&engine->role.lock);
    if (accepted) {
        http_reply_json(response, 200, json_object_new_object());
    }
    else {
        reply_error(response, 409, "fence_old");
    }
    json_object_put(body);
    return role_end_request(&engine->role, response);
}

static bool
engine_init(struct role *role, struct err *err)
{
    struct engine_role *engine = (struct engine_role *)role;

    (void)err;
    engine->incarnation = (uint64_t)clock_wall_ms();
    engine->replica_history = json_object_new_array();
    engine->loaded =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->loading =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->cached_on_disk =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->known_streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    engine->cancelled_streams =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return role_add_endpoint(role, "GET", "/status", get_status) &&
           role_add_endpoint(role, "GET", "/v1/models", get_models) &&
           role_add_endpoint(role, "POST", "/v1/load", post_load) &&
           role_add_endpoint(role, "POST", "/v1/unload", post_unload) &&
           engine_add_chat(engine);
}

static struct json_object *
engine_stats(struct role *role)
{
    struct engine_role *engine = (struct engine_role *)role;
    struct json_object *stats = json_object_new_object();
    const struct {
        const char *name;
        int64_t value;
    } fields[] = {
        {"loads", engine->loads},
        {"unloads", engine->unloads},
        {"chats", engine->chats},
        {"cancels", engine->cancels},
        {"used_mb", engine->used_mb},
        {"overcommits_refused", engine->overcommits_refused},
        {"fences_refused", engine->fences_refused},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        json_object_object_add(stats, fields[i].name,
                               json_object_new_int64(fields[i].value));
    }
    json_object_object_add(stats, "loaded", keys_to_json(engine->loaded));
    json_object_object_add(stats, "history",
                           json_object_get(engine->replica_history));
    return stats;
}

static const struct role_ops engine_ops = {"engine", engine_init,
                                           engine_stats};

/**
 * engine_role_new() - create a simulated model engine
 * @options: command line
 * @err: filled in on failure
 *
 * Return: the role, or NULL.
 */
struct role *
engine_role_new(const struct standin_options *options, struct err *err)
{
    struct engine_role *engine = g_new0(struct engine_role, 1);

    return role_init(&engine->role, &engine_ops, options, err) ? &engine->role
                                                               : NULL;
}
