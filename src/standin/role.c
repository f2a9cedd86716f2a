/**
 * DOC: Common part of the simulated services: HTTP servers, fault injection
 * and statistics.
 *
 * POST /faults has an address of its own, the control address, so that a fault
 * can be cleared while the service address refuses connections.
 */
#include <errno.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "standin/dat.h"
#include "standin/fns.h"

enum { CRASH_EXIT_CODE = 3, CONNECTIONS_MAX = 1024 };

static const struct http_limits limits = {
    .body_max_bytes = STANDIN_BODY_MAX_BYTES,
    .connections_max = CONNECTIONS_MAX,
};

/* Runs before the handler of each endpoint. */
static int
mark_leaving(const struct _u_request *request, struct _u_response *response,
             void *user_data)
{
    struct role *role = user_data;

    (void)request;
    pthread_mutex_lock(&role->lock);
    if (role->faults.draining) {
        u_map_put(response->map_header, "X-Leaving", "1");
    }
    pthread_mutex_unlock(&role->lock);
    return U_CALLBACK_CONTINUE;
}

/**
 * role_add_endpoint() - add an endpoint to the service address
 * @role: the role
 * @method: HTTP method, or "*" for any
 * @path: path in ulfius's URL format
 * @handler: handler; receives @role as its user data
 */
bool
role_add_endpoint(struct role *role, const char *method, const char *path,
                  int (*handler)(const struct _u_request *request,
                                 struct _u_response *response,
                                 void *user_data))
{
    struct _u_instance *instance = &role->server->instance;

    return ulfius_add_endpoint_by_val(instance, method, NULL, path, 0,
                                      mark_leaving, role) == U_OK &&
           ulfius_add_endpoint_by_val(instance, method, NULL, path, 1, handler,
                                      role) == U_OK;
}

/**
 * reply_error() - set an error response with the body {"error": ...}
 * @response: the response
 * @status: HTTP status
 * @error: machine-readable reason
 */
void
reply_error(struct _u_response *response, unsigned status, const char *error)
{
    struct json_object *body = json_object_new_object();

    json_object_object_add(body, "error", json_object_new_string(error));
    http_reply_json(response, status, body);
}

/**
 * role_delay() - block to simulate work
 * @role: the role
 * @delay_ms: duration; ends early when the role stops
 */
void
role_delay(struct role *role, int64_t delay_ms)
{
    struct timespec deadline = clock_deadline(delay_ms);
    int result = 0;

    pthread_mutex_lock(&role->lock);
    while (!role->stopping && result != ETIMEDOUT) {
        result = pthread_cond_timedwait(&role->state_changed, &role->lock,
                                        &deadline);
    }
    pthread_mutex_unlock(&role->lock);
}

static bool
body_contains(const struct _u_request *request, const char *marker)
{
    return marker[0] != '\0' && request->binary_body_length > 0 &&
           memmem(request->binary_body, request->binary_body_length, marker,
                  strlen(marker)) != NULL;
}

/**
 * role_begin_request() - count a request and apply crash_marker and delay_ms
 * @role: the role
 * @request: the request
 *
 * Return: always true. Ends the process when the body contains the marker.
 */
bool
role_begin_request(struct role *role, const struct _u_request *request)
{
    int64_t delay_ms;

    pthread_mutex_lock(&role->lock);
    role->request_count++;
    delay_ms = role->faults.delay_ms;
    if (body_contains(request, role->faults.crash_marker)) {
        _exit(CRASH_EXIT_CODE);
    }
    pthread_mutex_unlock(&role->lock);
    if (delay_ms > 0) {
        role_delay(role, delay_ms);
    }
    return true;
}

/**
 * role_turn_away() - refuse a request that does not run, if that fault is set
 * @role: the role
 * @response: the response
 *
 * Return: whether the request was refused.
 */
bool
role_turn_away(struct role *role, struct _u_response *response)
{
    struct json_object *body;
    bool refused;

    pthread_mutex_lock(&role->lock);
    refused = role->faults.turn_away > 0;
    if (refused) {
        role->faults.turn_away--;
        if (role->faults.retry_after[0] != '\0') {
            u_map_put(response->map_header, "Retry-After",
                      role->faults.retry_after);
        }
    }
    pthread_mutex_unlock(&role->lock);
    if (refused) {
        body = json_object_new_object();
        json_object_object_add(body, "outcome",
                               json_object_new_string("not_run"));
        http_reply_json(response, 503, body);
    }
    return refused;
}

static ssize_t
fail_stream(void *user_data, uint64_t offset, char *buffer, size_t max)
{
    (void)user_data;
    (void)offset;
    (void)buffer;
    (void)max;
    return U_STREAM_ERROR;
}

/**
 * role_drop_response() - make ulfius close the connection during the response
 * @response: the response
 *
 * Return: the handler's return value for ulfius.
 */
int
role_drop_response(struct _u_response *response)
{
    ulfius_set_stream_response(response, 200, fail_stream, NULL,
                               U_STREAM_SIZE_UNKNOWN, 1024, NULL);
    return U_CALLBACK_COMPLETE;
}

/**
 * role_end_request() - drop the response if that fault is set
 * @role: the role
 * @response: the response
 *
 * Return: the handler's return value for ulfius.
 */
int
role_end_request(struct role *role, struct _u_response *response)
{
    bool drop;

    pthread_mutex_lock(&role->lock);
    drop = role->faults.drop_responses > 0;
    if (drop) {
        role->faults.drop_responses--;
    }
    pthread_mutex_unlock(&role->lock);
    return drop ? role_drop_response(response) : U_CALLBACK_COMPLETE;
}

static struct json_object *
faults_to_json(const struct faults *faults)
{
    struct json_object *object = json_object_new_object();

    json_object_object_add(object, "down",
                           json_object_new_boolean(faults->down));
    json_object_object_add(object, "slow_ms",
                           json_object_new_int64(faults->delay_ms));
    json_object_object_add(object, "lose_answers",
                           json_object_new_int64(faults->drop_responses));
    json_object_object_add(
        object, "lose_writes",
        json_object_new_int64(faults->drop_write_responses));
    json_object_object_add(object, "crash_on",
                           json_object_new_string(faults->crash_marker));
    json_object_object_add(object, "ignore_fence",
                           json_object_new_boolean(faults->ignore_fence));
    json_object_object_add(object, "leaving",
                           json_object_new_boolean(faults->draining));
    json_object_object_add(object, "turn_away",
                           json_object_new_int64(faults->turn_away));
    json_object_object_add(object, "retry_after",
                           json_object_new_string(faults->retry_after));
    json_object_object_add(object, "fail_loads",
                           json_object_new_int64(faults->fail_loads));
    return object;
}

static void
faults_apply_json(struct faults *faults, struct json_object *object)
{
    faults->down = json_get_bool(object, "down", faults->down);
    faults->delay_ms = json_get_int64(object, "slow_ms", faults->delay_ms);
    faults->drop_responses =
        json_get_int64(object, "lose_answers", faults->drop_responses);
    faults->drop_write_responses =
        json_get_int64(object, "lose_writes", faults->drop_write_responses);
    faults->ignore_fence =
        json_get_bool(object, "ignore_fence", faults->ignore_fence);
    faults->draining = json_get_bool(object, "leaving", faults->draining);
    faults->turn_away = json_get_int64(object, "turn_away", faults->turn_away);
    g_strlcpy(faults->retry_after,
              json_get_string(object, "retry_after", faults->retry_after),
              sizeof(faults->retry_after));
    faults->fail_loads =
        json_get_int64(object, "fail_loads", faults->fail_loads);
    g_strlcpy(faults->crash_marker,
              json_get_string(object, "crash_on", faults->crash_marker),
              sizeof(faults->crash_marker));
}

/* Called by the role's thread and by handlers of the control address. */
static bool
set_server_down(struct role *role, bool down, struct err *err)
{
    bool done = true;

    pthread_mutex_lock(&role->server_lock);
    if (down) {
        http_server_stop(role->server);
    }
    else {
        done = http_server_start(role->server, err);
    }
    pthread_mutex_unlock(&role->server_lock);
    return done;
}

static int
post_faults(const struct _u_request *request, struct _u_response *response,
            void *user_data)
{
    struct role *role = user_data;
    struct err err = {0};
    struct json_object *body = http_body_json(request, &err);
    struct json_object *reply;
    bool down;

    if (body == NULL) {
        reply_error(response, 400, err.text);
        return U_CALLBACK_COMPLETE;
    }
    pthread_mutex_lock(&role->lock);
    faults_apply_json(&role->faults, body);
    down = role->faults.down;
    reply = faults_to_json(&role->faults);
    pthread_mutex_unlock(&role->lock);
    json_object_put(body);
    if (!set_server_down(role, down, &err)) {
        json_object_put(reply);
        reply_error(response, 500, err.text);
        return U_CALLBACK_COMPLETE;
    }
    http_reply_json(response, 200, reply);
    return U_CALLBACK_COMPLETE;
}

static int
get_stats(const struct _u_request *request, struct _u_response *response,
          void *user_data)
{
    struct role *role = user_data;
    struct json_object *stats;

    (void)request;
    pthread_mutex_lock(&role->lock);
    stats = role->ops->stats(role);
    json_object_object_add(stats, "calls",
                           json_object_new_int64(role->request_count));
    json_object_object_add(stats, "faults", faults_to_json(&role->faults));
    pthread_mutex_unlock(&role->lock);
    http_reply_json(response, 200, stats);
    return U_CALLBACK_COMPLETE;
}

/**
 * role_init() - initialize a role and its servers
 * @role: the role
 * @ops: operations
 * @options: command line; kept by reference
 * @err: filled in on failure
 */
bool
role_init(struct role *role, const struct role_ops *ops,
          const struct standin_options *options, struct err *err)
{
    role->ops = ops;
    role->options = options;
    role->faults.draining = options->leaving;
    role->faults.turn_away = options->turn_away;
    g_strlcpy(role->faults.retry_after,
              options->retry_after != NULL ? options->retry_after : "",
              sizeof(role->faults.retry_after));
    pthread_mutex_init(&role->lock, NULL);
    pthread_mutex_init(&role->server_lock, NULL);
    cond_init_monotonic(&role->state_changed);
    role->server = http_server_new(options->address, &limits, err);
    if (role->server == NULL || !ops->init(role, err)) {
        return false;
    }
    if (options->control_address == NULL) {
        return true;
    }
    role->control = http_server_new(options->control_address, &limits, err);
    if (role->control == NULL) {
        return false;
    }
    ulfius_add_endpoint_by_val(&role->control->instance, "POST", NULL,
                               "/faults", 0, post_faults, role);
    ulfius_add_endpoint_by_val(&role->control->instance, "GET", NULL, "/stats",
                               0, get_stats, role);
    return true;
}

/**
 * role_start() - start accepting connections
 * @role: the role
 * @err: filled in on failure
 */
bool
role_start(struct role *role, struct err *err)
{
    if (role->options->control_address != NULL &&
        !http_server_start(role->control, err)) {
        return false;
    }
    return set_server_down(role, false, err);
}

/**
 * role_stop() - end simulated delays and free both servers
 * @role: the role
 */
void
role_stop(struct role *role)
{
    pthread_mutex_lock(&role->lock);
    role->stopping = true;
    pthread_cond_broadcast(&role->state_changed);
    pthread_mutex_unlock(&role->lock);
    http_server_free(role->control);
    http_server_free(role->server);
}
