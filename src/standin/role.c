/**
 * DOC: What all stand-ins have in common: addresses, faults, statistics.
 *
 * Faults are switched with POST /faults on the control address, so they can
 * be switched back while the role's own address refuses connections.
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

/**
 * role_endpoint() - add an endpoint to the role's own address
 * @role: the role
 * @method: HTTP method, or "*"
 * @path: URL format of ulfius
 * @handler: handler; gets @role as user data
 */
bool
role_endpoint(struct role *role, const char *method, const char *path,
              int (*handler)(const struct _u_request *request,
                             struct _u_response *response, void *user_data))
{
    return ulfius_add_endpoint_by_val(&role->server->instance, method, NULL,
                                      path, 0, handler, role) == U_OK;
}

/**
 * reply_error() - answer with {"error": ...}
 * @response: ulfius's response
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
 * role_delay() - simulate work that takes time
 * @role: the role
 * @delay_ms: how long; ends early when the role stops
 */
void
role_delay(struct role *role, int64_t delay_ms)
{
    struct timespec deadline = clock_deadline(delay_ms);
    int result = 0;

    pthread_mutex_lock(&role->lock);
    while (!role->stopping && result != ETIMEDOUT) {
        result = pthread_cond_timedwait(&role->wake, &role->lock, &deadline);
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
 * role_begin_call() - count a call and apply the faults that come before it
 * @role: the role
 * @request: the call
 *
 * Return: always true; a marked request ends the process.
 */
bool
role_begin_call(struct role *role, const struct _u_request *request)
{
    int64_t slow_ms;

    pthread_mutex_lock(&role->lock);
    role->calls++;
    slow_ms = role->faults.slow_ms;
    if (body_contains(request, role->faults.crash_on)) {
        _exit(CRASH_EXIT_CODE);
    }
    pthread_mutex_unlock(&role->lock);
    if (slow_ms > 0) {
        role_delay(role, slow_ms);
    }
    return true;
}

static ssize_t
broken_stream(void *user_data, uint64_t offset, char *buffer, size_t max)
{
    (void)user_data;
    (void)offset;
    (void)buffer;
    (void)max;
    return U_STREAM_ERROR;
}

/**
 * role_lose_answer() - break the connection instead of answering
 * @response: the answer
 *
 * Return: what the handler returns to ulfius.
 */
int
role_lose_answer(struct _u_response *response)
{
    ulfius_set_stream_response(response, 200, broken_stream, NULL,
                               U_STREAM_SIZE_UNKNOWN, 1024, NULL);
    return U_CALLBACK_COMPLETE;
}

/**
 * role_end_call() - lose the answer when the faults say so
 * @role: the role
 * @response: the answer
 *
 * Return: what the handler returns to ulfius.
 */
int
role_end_call(struct role *role, struct _u_response *response)
{
    bool lose;

    pthread_mutex_lock(&role->lock);
    lose = role->faults.lose_answers > 0;
    if (lose) {
        role->faults.lose_answers--;
    }
    pthread_mutex_unlock(&role->lock);
    return lose ? role_lose_answer(response) : U_CALLBACK_COMPLETE;
}

static struct json_object *
faults_format(const struct faults *faults)
{
    struct json_object *o = json_object_new_object();

    json_object_object_add(o, "down", json_object_new_boolean(faults->down));
    json_object_object_add(o, "slow_ms",
                           json_object_new_int64(faults->slow_ms));
    json_object_object_add(o, "lose_answers",
                           json_object_new_int64(faults->lose_answers));
    json_object_object_add(o, "lose_writes",
                           json_object_new_int64(faults->lose_writes));
    json_object_object_add(o, "crash_on",
                           json_object_new_string(faults->crash_on));
    json_object_object_add(o, "ignore_fence",
                           json_object_new_boolean(faults->ignore_fence));
    json_object_object_add(o, "leaving",
                           json_object_new_boolean(faults->leaving));
    json_object_object_add(o, "fail_loads",
                           json_object_new_int64(faults->fail_loads));
    return o;
}

static void
faults_update(struct faults *faults, struct json_object *o)
{
    faults->down = json_get_bool(o, "down", faults->down);
    faults->slow_ms = json_get_int64(o, "slow_ms", faults->slow_ms);
    faults->lose_answers =
        json_get_int64(o, "lose_answers", faults->lose_answers);
    faults->lose_writes =
        json_get_int64(o, "lose_writes", faults->lose_writes);
    faults->ignore_fence =
        json_get_bool(o, "ignore_fence", faults->ignore_fence);
    faults->leaving = json_get_bool(o, "leaving", faults->leaving);
    faults->fail_loads = json_get_int64(o, "fail_loads", faults->fail_loads);
    g_strlcpy(faults->crash_on,
              json_get_string(o, "crash_on", faults->crash_on),
              sizeof(faults->crash_on));
}

/* The role's thread and requests on the control address switch the server. */
static bool
switch_server(struct role *role, bool down, struct err *err)
{
    bool done = true;

    pthread_mutex_lock(&role->switch_lock);
    if (down) {
        http_server_stop(role->server);
    }
    else {
        done = http_server_start(role->server, err);
    }
    pthread_mutex_unlock(&role->switch_lock);
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
    faults_update(&role->faults, body);
    down = role->faults.down;
    reply = faults_format(&role->faults);
    pthread_mutex_unlock(&role->lock);
    json_object_put(body);
    if (!switch_server(role, down, &err)) {
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
    json_object_object_add(stats, "calls", json_object_new_int64(role->calls));
    json_object_object_add(stats, "faults", faults_format(&role->faults));
    pthread_mutex_unlock(&role->lock);
    http_reply_json(response, 200, stats);
    return U_CALLBACK_COMPLETE;
}

/**
 * role_init() - set up what all roles share
 * @role: the role
 * @ops: its behaviour
 * @options: command line, kept by reference
 * @err: filled in on failure
 */
bool
role_init(struct role *role, const struct role_ops *ops,
          const struct options *options, struct err *err)
{
    role->ops = ops;
    role->options = options;
    pthread_mutex_init(&role->lock, NULL);
    pthread_mutex_init(&role->switch_lock, NULL);
    cond_init_monotonic(&role->wake);
    role->server = http_server_new(options->address, &limits, err);
    if (role->server == NULL || !ops->prepare(role, err)) {
        return false;
    }
    if (options->control == NULL) {
        return true;
    }
    role->control = http_server_new(options->control, &limits, err);
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
 * role_start() - accept connections
 * @role: the role
 * @err: filled in on failure
 */
bool
role_start(struct role *role, struct err *err)
{
    if (role->options->control != NULL &&
        !http_server_start(role->control, err)) {
        return false;
    }
    return switch_server(role, false, err);
}

/**
 * role_stop() - end simulated delays and close both addresses
 * @role: the role
 */
void
role_stop(struct role *role)
{
    pthread_mutex_lock(&role->lock);
    role->stopping = true;
    pthread_cond_broadcast(&role->wake);
    pthread_mutex_unlock(&role->lock);
    http_server_free(role->control);
    http_server_free(role->server);
}
