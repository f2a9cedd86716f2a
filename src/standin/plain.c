/**
 * DOC: Simulated plain service, such as an order or booking service.
 *
 * POST /orders counts its executions per Idempotency-Key, so that a test
 * detects a request that was executed twice. GET on any other path is an
 * idempotent lookup.
 */
#include <glib.h>
#include <json-c/json.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "standin/dat.h"
#include "standin/fns.h"

struct plain_role {
    struct role role;
    uint64_t incarnation;
    GHashTable *runs_by_key;
    int64_t keys_run_twice;
    int64_t running_requests;
};

static int
get_status(const struct _u_request *request, struct _u_response *response,
           void *user_data)
{
    struct plain_role *plain = user_data;
    struct json_object *status = json_object_new_object();

    (void)request;
    pthread_mutex_lock(&plain->role.lock);
    json_object_object_add(status, "incarnation",
                           json_object_new_int64((int64_t)plain->incarnation));
    json_object_object_add(status, "running",
                           json_object_new_int64(plain->running_requests));
    json_object_object_add(status, "waiting", json_object_new_int64(0));
    json_object_object_add(
        status, "leaving",
        json_object_new_boolean(plain->role.faults.draining));
    pthread_mutex_unlock(&plain->role.lock);
    http_reply_json(response, 200, status);
    return U_CALLBACK_COMPLETE;
}

/* Called with the lock held. */
static int64_t
count_run(struct plain_role *plain, const char *key)
{
    int64_t runs = 1 + (int64_t)g_hash_table_lookup(plain->runs_by_key, key);

    g_hash_table_insert(plain->runs_by_key, g_strdup(key), (gpointer)runs);
    if (runs == 2) {
        plain->keys_run_twice++;
    }
    return runs;
}

static int
post_order(const struct _u_request *request, struct _u_response *response,
           void *user_data)
{
    struct plain_role *plain = user_data;
    const char *key = u_map_get_case(request->map_header, "Idempotency-Key");
    struct json_object *reply;
    int64_t runs;

    role_begin_request(&plain->role, request);
    if (role_turn_away(&plain->role, response)) {
        return role_end_request(&plain->role, response);
    }
    reply = json_object_new_object();
    pthread_mutex_lock(&plain->role.lock);
    runs = count_run(plain, key != NULL ? key : "");
    pthread_mutex_unlock(&plain->role.lock);
    json_object_object_add(reply, "confirmed",
                           json_object_new_string(key != NULL ? key : ""));
    json_object_object_add(reply, "runs", json_object_new_int64(runs));
    json_object_object_add(reply, "by",
                           json_object_new_string(plain->role.options->name));
    http_reply_json(response, 200, reply);
    return role_end_request(&plain->role, response);
}

static int
lookup(const struct _u_request *request, struct _u_response *response,
       void *user_data)
{
    struct plain_role *plain = user_data;
    struct json_object *reply;

    role_begin_request(&plain->role, request);
    if (role_turn_away(&plain->role, response)) {
        return role_end_request(&plain->role, response);
    }
    reply = json_object_new_object();
    json_object_object_add(reply, "path",
                           json_object_new_string(request->http_url));
    json_object_object_add(reply, "by",
                           json_object_new_string(plain->role.options->name));
    http_reply_json(response, 200, reply);
    return role_end_request(&plain->role, response);
}

static bool
plain_init(struct role *role, struct err *err)
{
    struct plain_role *plain = (struct plain_role *)role;

    (void)err;
    plain->incarnation = (uint64_t)clock_wall_ms();
    plain->runs_by_key =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return role_add_endpoint(role, "GET", "/status", get_status) &&
           role_add_endpoint(role, "POST", "/orders", post_order) &&
           role_add_endpoint(role, "GET", "*", lookup);
}

static struct json_object *
plain_stats(struct role *role)
{
    struct plain_role *plain = (struct plain_role *)role;
    struct json_object *stats = json_object_new_object();

    json_object_object_add(
        stats, "keys",
        json_object_new_int64(g_hash_table_size(plain->runs_by_key)));
    json_object_object_add(stats, "run_twice",
                           json_object_new_int64(plain->keys_run_twice));
    return stats;
}

static const struct role_ops plain_ops = {"plain", plain_init, plain_stats};

/**
 * plain_role_new() - create a simulated plain service
 * @options: command line
 * @err: filled in on failure
 *
 * Return: the role, or NULL.
 */
struct role *
plain_role_new(const struct standin_options *options, struct err *err)
{
    struct plain_role *plain = g_new0(struct plain_role, 1);

    return role_init(&plain->role, &plain_ops, options, err) ? &plain->role
                                                             : NULL;
}
