/**
 * DOC: Stand-in for the weight store.
 *
 * GET /weights?ms=N takes N ms while at most at_once downloads run, and
 * proportionally longer beyond that.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "standin/dat.h"
#include "standin/fns.h"

struct store_role {
    struct role role;
    int64_t active;
    int64_t active_max;
};

static int
get_weights(const struct _u_request *request, struct _u_response *response,
            void *user_data)
{
    struct store_role *store = user_data;
    const char *ms = u_map_get(request->map_url, "ms");
    int64_t delay_ms = ms != NULL ? strtoll(ms, NULL, 10) : 0;
    int64_t at_once = store->role.options->at_once;

    role_begin_call(&store->role, request);
    pthread_mutex_lock(&store->role.lock);
    store->active++;
    store->active_max = MAX(store->active_max, store->active);
    if (store->active > at_once) {
        delay_ms = delay_ms * store->active / at_once;
    }
    pthread_mutex_unlock(&store->role.lock);
    role_delay(&store->role, delay_ms);
    pthread_mutex_lock(&store->role.lock);
    store->active--;
    pthread_mutex_unlock(&store->role.lock);
    http_reply_json(response, 200, json_object_new_object());
    return role_end_call(&store->role, response);
}

static bool
store_prepare(struct role *role, struct err *err)
{
    (void)err;
    return role_endpoint(role, "GET", "/weights", get_weights);
}

static struct json_object *
store_stats(struct role *role)
{
    struct store_role *store = (struct store_role *)role;
    struct json_object *stats = json_object_new_object();

    json_object_object_add(stats, "active",
                           json_object_new_int64(store->active));
    json_object_object_add(stats, "active_max",
                           json_object_new_int64(store->active_max));
    return stats;
}

static const struct role_ops store_ops = {"store", store_prepare, store_stats};

/**
 * store_role_new() - weight store
 * @options: command line
 * @err: filled in on failure
 *
 * Return: the role, or NULL.
 */
struct role *
store_role_new(const struct options *options, struct err *err)
{
    struct store_role *store = g_new0(struct store_role, 1);

    return role_init(&store->role, &store_ops, options, err) ? &store->role
                                                             : NULL;
}
