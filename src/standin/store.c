/**
 * DOC: Simulated weight store.
 *
 * GET /weights?ms=N takes N ms while at most full_speed_downloads run, and
 * proportionally longer with more concurrent downloads.
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
    int64_t active_downloads;
    int64_t active_downloads_max;
};

static int
get_weights(const struct _u_request *request, struct _u_response *response,
            void *user_data)
{
    struct store_role *store = user_data;
    const char *duration_text = u_map_get(request->map_url, "ms");
    int64_t delay_ms =
        duration_text != NULL ? strtoll(duration_text, NULL, 10) : 0;
    int64_t full_speed_downloads = store->role.options->full_speed_downloads;

    role_begin_request(&store->role, request);
    pthread_mutex_lock(&store->role.lock);
    store->active_downloads++;
    store->active_downloads_max =
        MAX(store->active_downloads_max, store->active_downloads);
    if (store->active_downloads > full_speed_downloads) {
        delay_ms = delay_ms * store->active_downloads / full_speed_downloads;
    }
    pthread_mutex_unlock(&store->role.lock);
    role_delay(&store->role, delay_ms);
    pthread_mutex_lock(&store->role.lock);
    store->active_downloads--;
    pthread_mutex_unlock(&store->role.lock);
    http_reply_json(response, 200, json_object_new_object());
    return role_end_request(&store->role, response);
}

static bool
store_init(struct role *role, struct err *err)
{
    (void)err;
    return role_add_endpoint(role, "GET", "/weights", get_weights);
}

static struct json_object *
store_stats(struct role *role)
{
    struct store_role *store = (struct store_role *)role;
    struct json_object *stats = json_object_new_object();

    json_object_object_add(stats, "active",
                           json_object_new_int64(store->active_downloads));
    json_object_object_add(stats, "active_max",
                           json_object_new_int64(store->active_downloads_max));
    return stats;
}

static const struct role_ops store_ops = {"store", store_init, store_stats};

/**
 * store_role_new() - create a simulated weight store
 * @options: command line
 * @err: filled in on failure
 *
 * Return: the role, or NULL.
 */
struct role *
store_role_new(const struct standin_options *options, struct err *err)
{
    struct store_role *store = g_new0(struct store_role, 1);

    return role_init(&store->role, &store_ops, options, err) ? &store->role
                                                             : NULL;
}
