/**
 * DOC: Simulated platform list of live and leaving instances.
 *
 * GET /instances returns the list as it was list_delay_ms ago, to simulate a
 * list that lags behind. PUT and DELETE /instances/NAME change the list.
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

/* The list as of since_ms, as JSON text. */
struct list_version {
    int64_t since_ms;
    char *text;
};

struct list_role {
    struct role role;
    struct json_object *instances;
    GQueue versions;
};

/* Called with the lock held. */
static void
record_version(struct list_role *list, int64_t now_ms)
{
    struct list_version *version = g_new(struct list_version, 1);
    struct json_object *array = json_object_new_array();

    json_object_object_foreach(list->instances, name, instance)
    {
        (void)name;
        json_object_array_add(array, json_object_get(instance));
    }
    version->since_ms = now_ms;
    version->text = g_strdup(json_object_to_json_string(array));
    json_object_put(array);
    g_queue_push_tail(&list->versions, version);
}

/* Called with the lock held. Frees the versions older than the result. */
static const char *
version_at(struct list_role *list, int64_t when_ms)
{
    struct list_version *oldest;

    while (g_queue_get_length(&list->versions) > 1 &&
           ((struct list_version *)g_queue_peek_nth(&list->versions, 1))
                   ->since_ms <= when_ms) {
        oldest = g_queue_pop_head(&list->versions);
        g_free(oldest->text);
        g_free(oldest);
    }
    oldest = g_queue_peek_head(&list->versions);
    return oldest->text;
}

static int
get_instances(const struct _u_request *request, struct _u_response *response,
              void *user_data)
{
    struct list_role *list = user_data;
    int64_t now_ms = clock_now_ms();

    role_begin_request(&list->role, request);
    pthread_mutex_lock(&list->role.lock);
    ulfius_set_string_body_response(
        response, 200,
        version_at(list, now_ms - list->role.options->list_delay_ms));
    pthread_mutex_unlock(&list->role.lock);
    u_map_put(response->map_header, "Content-Type", "application/json");
    return role_end_request(&list->role, response);
}

static int
put_instance(const struct _u_request *request, struct _u_response *response,
             void *user_data)
{
    struct list_role *list = user_data;
    const char *name = u_map_get(request->map_url, "name");
    struct err err = {0};
    struct json_object *body = http_body_json(request, &err);

    if (body == NULL) {
        reply_error(response, 400, err.text);
        return U_CALLBACK_COMPLETE;
    }
    json_object_object_add(body, "name", json_object_new_string(name));
    pthread_mutex_lock(&list->role.lock);
    json_object_object_add(list->instances, name, body);
    record_version(list, clock_now_ms());
    pthread_mutex_unlock(&list->role.lock);
    http_reply_json(response, 200, json_object_new_object());
    return U_CALLBACK_COMPLETE;
}

static int
delete_instance(const struct _u_request *request, struct _u_response *response,
                void *user_data)
{
    struct list_role *list = user_data;

    pthread_mutex_lock(&list->role.lock);
    json_object_object_del(list->instances,
                           u_map_get(request->map_url, "name"));
    record_version(list, clock_now_ms());
    pthread_mutex_unlock(&list->role.lock);
    http_reply_json(response, 200, json_object_new_object());
    return U_CALLBACK_COMPLETE;
}

static bool
read_instances_file(struct list_role *list, const char *file, struct err *err)
{
    struct json_object *array;
    char *text;
    size_t bytes;

    if (!g_file_get_contents(file, &text, &bytes, NULL)) {
        return err_set(err, ERR_SETTINGS, "cannot read %s", file);
    }
    array = json_parse(text, bytes, err);
    g_free(text);
    if (array == NULL || !json_object_is_type(array, json_type_array)) {
        json_object_put(array);
        return err_set(err, ERR_SETTINGS, "%s does not contain a JSON array",
                       file);
    }
    for (size_t i = 0; i < json_object_array_length(array); i++) {
        struct json_object *instance = json_object_array_get_idx(array, i);

        json_object_object_add(list->instances,
                               json_get_string(instance, "name", ""),
                               json_object_get(instance));
    }
    json_object_put(array);
    return true;
}

static bool
list_init(struct role *role, struct err *err)
{
    struct list_role *list = (struct list_role *)role;

    list->instances = json_object_new_object();
    g_queue_init(&list->versions);
    if (role->options->instances_file != NULL &&
        !read_instances_file(list, role->options->instances_file, err)) {
        return false;
    }
    record_version(list, 0);
    return role_add_endpoint(role, "GET", "/instances", get_instances) &&
           role_add_endpoint(role, "PUT", "/instances/:name", put_instance) &&
           role_add_endpoint(role, "DELETE", "/instances/:name",
                             delete_instance);
}

static struct json_object *
list_stats(struct role *role)
{
    struct list_role *list = (struct list_role *)role;
    struct json_object *stats = json_object_new_object();

    json_object_object_add(
        stats, "instances",
        json_object_new_int(json_object_object_length(list->instances)));
    return stats;
}

static const struct role_ops list_ops = {"list", list_init, list_stats};

/**
 * list_role_new() - create a simulated list of instances
 * @options: command line
 * @err: filled in on failure
 *
 * Return: the role, or NULL.
 */
struct role *
list_role_new(const struct standin_options *options, struct err *err)
{
    struct list_role *list = g_new0(struct list_role, 1);

    return role_init(&list->role, &list_ops, options, err) ? &list->role
                                                           : NULL;
}
