/**
 * DOC: Endpoints for callers.
 *
 * Each connection has a thread, which waits for the answer of its call and
 * then reads its output.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/frontend/internal.h"

enum {
    STREAM_BLOCK_BYTES = 16 * 1024,
    METRICS_MAX_BYTES = 16 * 1024,
    HTTP_OK = 200,
    HTTP_NO_CONTENT = 204,
    HTTP_NOT_MODIFIED = 304,
    HTTP_UNAVAILABLE = 503,
};

/**
 * struct output - an answer on its way to a caller
 * @front: the duty
 * @call: the call
 * @events: it is a stream of server-sent events
 * @error: event that ends a broken stream
 * @error_sent: bytes of @error that were sent
 */
struct output {
    struct front *front;
    struct handle call;
    bool events;
    char *error;
    size_t error_sent;
};

static const char *
header(const struct _u_request *request, const char *name)
{
    return u_map_get_case(request->map_header, name);
}

static int
send_problem(struct _u_response *response, const struct err *err,
             enum outcome outcome)
{
    char seconds[16];
    char *text = problem_format(err, outcome);
    int retry_after_s = problem_retry_after_s(err->kind);

    ulfius_set_string_body_response(response,
                                    (unsigned)err_info(err->kind)->status,
                                    text != NULL ? text : "");
    u_map_put(response->map_header, "Content-Type",
              "application/problem+json");
    if (retry_after_s > 0) {
        snprintf(seconds, sizeof(seconds), "%d", retry_after_s);
        u_map_put(response->map_header, "Retry-After", seconds);
    }
    free(text);
    return U_CALLBACK_COMPLETE;
}

static int
send_refusal(struct _u_response *response, const struct err *err)
{
    return send_problem(response, err, err_info(err->kind)->outcome);
}

static int
send_text(struct _u_response *response, int status, const char *type,
          const char *text)
{
    ulfius_set_string_body_response(response, (unsigned)status,
                                    text != NULL ? text : "");
    u_map_put(response->map_header, "Content-Type", type);
    return U_CALLBACK_COMPLETE;
}

static void
close_call(struct front *front, struct handle call)
{
    call_close(front->calls, call);
    open_remove(front, call);
}

static char *
error_event(struct output *output)
{
    struct err err = {0};
    enum outcome outcome = OUTCOME_UNKNOWN;
    char *problem;
    char *event = NULL;

    if (!call_refusal(output->front->calls, output->call, &err, &outcome)) {
        err_set(&err, ERR_TARGET_FAILED, "the answer broke off");
    }
    problem = problem_format(&err, outcome);
    if (problem != NULL &&
        asprintf(&event, "event: error\ndata: %s\n\n", problem) < 0) {
        event = NULL;
    }
    free(problem);
    return event;
}

/* Ends a broken answer: without the last chunk nobody takes it for whole. */
static ssize_t
read_error(struct output *output, char *buffer, size_t max)
{
    size_t left;

    if (output->error == NULL && output->error_sent == 0) {
        output->error = error_event(output);
    }
    if (output->error == NULL || !output->events) {
        return U_STREAM_ERROR;
    }
    left = strlen(output->error) - output->error_sent;
    if (left == 0) {
        return U_STREAM_ERROR;
    }
    left = left < max ? left : max;
    memcpy(buffer, output->error + output->error_sent, left);
    output->error_sent += left;
    return (ssize_t)left;
}

static ssize_t
read_output(void *data, uint64_t offset, char *buffer, size_t max)
{
    struct output *output = data;
    ssize_t count;

    (void)offset;
    count = call_read(output->front->calls, output->call, buffer, max);
    if (count > 0) {
        return count;
    }
    return count == 0 ? U_STREAM_END : read_error(output, buffer, max);
}

static void
free_output(void *data)
{
    struct output *output = data;

    close_call(output->front, output->call);
    free(output->error);
    free(output);
}

static bool
has_no_body(const struct _u_request *request, int status)
{
    return status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED ||
           strcmp(request->http_verb, "HEAD") == 0;
}

static int
send_answer(const struct _u_request *request, struct _u_response *response,
            struct front *front, struct handle call,
            const struct call_answer *answer)
{
    struct output *output = calloc(1, sizeof(*output));
    struct err err = {0};

    if (output == NULL) {
        close_call(front, call);
        err_set(&err, ERR_NO_MEMORY, "answer");
        return send_problem(response, &err, OUTCOME_UNKNOWN);
    }
    output->front = front;
    output->call = call;
    output->events = strncmp(answer->content_type, "text/event-stream",
                             strlen("text/event-stream")) == 0;
    if (answer->content_type[0] != '\0') {
        u_map_put(response->map_header, "Content-Type", answer->content_type);
    }
    if (has_no_body(request, answer->status)) {
        ulfius_set_empty_body_response(response, (unsigned)answer->status);
        free_output(output);
        return U_CALLBACK_COMPLETE;
    }
    if (ulfius_set_stream_response(
            response, (unsigned)answer->status, read_output, free_output,
            U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, output) != U_OK) {
        free_output(output);
        return U_CALLBACK_ERROR;
    }
    return U_CALLBACK_COMPLETE;
}

static int
run_call(const struct _u_request *request, struct _u_response *response,
         struct front *front, struct handle call)
{
    struct call_answer answer;
    struct err err = {0};
    enum outcome outcome = OUTCOME_UNKNOWN;

    if (!front->port->ops->submit(front->port, call, &err)) {
        close_call(front, call);
        return send_refusal(response, &err);
    }
    if (call_wait_answer(front->calls, call, &answer, &err) != CALL_REFUSED) {
        return send_answer(request, response, front, call, &answer);
    }
    call_refusal(front->calls, call, &err, &outcome);
    close_call(front, call);
    return send_problem(response, &err, outcome);
}

typedef bool check_function(const struct tree *tree,
                            const struct incoming *incoming,
                            const struct moment *moment,
                            struct call_request *request, struct err *err);

static bool
check_size(const struct front *front, const struct _u_request *request,
           struct err *err)
{
    const char *length = header(request, "Content-Length");
    int64_t limit = front->settings.body_max_bytes;
    int64_t announced = length != NULL ? strtoll(length, NULL, 10) : 0;

    if (announced > limit || (int64_t)request->binary_body_length > limit) {
        return err_set(err, ERR_BODY_TOO_LARGE,
                       "the body is longer than %lld bytes", (long long)limit);
    }
    return true;
}

static bool
check_request(struct front *front, const struct _u_request *request,
              check_function *check, struct call_request *made,
              struct err *err)
{
    struct incoming incoming = {
        .method = request->http_verb,
        .url = request->http_url,
        .content_type = header(request, "Content-Type"),
        .key = header(request, "Idempotency-Key"),
        .deadline = header(request, "X-Deadline-Ms"),
        .body = request->binary_body,
        .body_bytes = request->binary_body_length,
    };
    struct moment moment = {clock_now_ms(), clock_wall_ms()};
    struct tree *tree;
    bool checked;

    if (!check_size(front, request, err)) {
        return false;
    }
    tree = front->port->ops->tree(front->port);
    if (tree == NULL) {
        return err_set(err, ERR_NOT_READY, "no tree of settings yet");
    }
    checked = check(tree, &incoming, &moment, made, err);
    tree_unref(tree);
    return checked;
}

static int
take_call(const struct _u_request *request, struct _u_response *response,
          struct front *front, check_function *check)
{
    struct call_request made;
    struct handle call;
    struct err err = {0};

    counter_add(CTR_CALLS, 1);
    if (!open_reserve(front, &err)) {
        return send_refusal(response, &err);
    }
    if (!check_request(front, request, check, &made, &err)) {
        open_release(front);
        return send_refusal(response, &err);
    }
    if (!call_open(front->calls, &made, &call, &err)) {
        call_request_free(&made);
        open_release(front);
        return send_refusal(response, &err);
    }
    open_add(front, call);
    return run_call(request, response, front, call);
}

static int
on_chat(const struct _u_request *request, struct _u_response *response,
        void *data)
{
    return take_call(request, response, data, request_chat);
}

static int
on_plain(const struct _u_request *request, struct _u_response *response,
         void *data)
{
    return take_call(request, response, data, request_plain);
}

static bool
is_leaving(struct front *front)
{
    bool leaving;

    pthread_mutex_lock(&front->lock);
    leaving = front->leaving;
    pthread_mutex_unlock(&front->lock);
    return leaving;
}

/* Returns false when the tree doesn't have the service. */
static bool
check_service(struct front *front, const char *service, struct err *err)
{
    struct tree *tree;
    bool known;

    if (service == NULL || service[0] == '\0') {
        return true;
    }
    tree = front->port->ops->tree(front->port);
    if (tree == NULL) {
        return err_set(err, ERR_NOT_READY, "no tree of settings yet");
    }
    known = tree_service(tree, service) != NULL;
    tree_unref(tree);
    if (!known) {
        err_set(err, ERR_UNKNOWN_SERVICE, "no service \"%.100s\" in the tree",
                service);
    }
    return known;
}

static int
on_address(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct front *front = data;
    const char *data_centre = u_map_get(request->map_url, "data_centre");
    struct member_info *members;
    struct err err = {0};
    char *text = NULL;
    int count;

    if (!check_service(front, u_map_get(request->map_url, "service"), &err)) {
        return send_refusal(response, &err);
    }
    members = calloc(MEMBERS_MAX, sizeof(*members));
    if (members != NULL) {
        count = front->port->ops->members(front->port, members, MEMBERS_MAX);
        text = list_addresses(
            members, count, data_centre != NULL ? data_centre : "",
            is_leaving(front) ? front->settings.address : NULL,
            front->settings.keep_s);
    }
    free(members);
    send_text(response, HTTP_OK, "application/json", text);
    free(text);
    return U_CALLBACK_COMPLETE;
}

static int
on_models(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct front *front = data;
    struct tree *tree = front->port->ops->tree(front->port);
    struct err err = {0};
    char *text;

    (void)request;
    if (tree == NULL) {
        err_set(&err, ERR_NOT_READY, "no tree of settings yet");
        return send_refusal(response, &err);
    }
    text = list_models(tree);
    tree_unref(tree);
    send_text(response, HTTP_OK, "application/json", text);
    free(text);
    return U_CALLBACK_COMPLETE;
}

static int
on_health(const struct _u_request *request, struct _u_response *response,
          void *data)
{
    struct front *front = data;
    struct tree *tree = front->port->ops->tree(front->port);

    (void)request;
    if (tree == NULL) {
        return send_text(response, HTTP_UNAVAILABLE, "text/plain",
                         "not ready\n");
    }
    tree_unref(tree);
    if (is_leaving(front)) {
        return send_text(response, HTTP_UNAVAILABLE, "text/plain",
                         "leaving\n");
    }
    return send_text(response, HTTP_OK, "text/plain", "ok\n");
}

static int
on_metrics(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    char *text = malloc(METRICS_MAX_BYTES);

    (void)request;
    (void)data;
    if (text != NULL) {
        counters_format(text, METRICS_MAX_BYTES);
    }
    send_text(response, HTTP_OK, "text/plain", text);
    free(text);
    return U_CALLBACK_COMPLETE;
}

static int
on_unknown(const struct _u_request *request, struct _u_response *response,
           void *data)
{
    struct err err = {0};

    (void)data;
    err_set(&err, ERR_NOT_FOUND, "%.16s %.150s is not served",
            request->http_verb, request->http_url);
    return send_refusal(response, &err);
}

/**
 * handlers_add() - endpoints of the duty
 * @instance: server of ulfius
 * @front: the duty
 */
bool
handlers_add(struct _u_instance *instance, struct front *front)
{
    static const struct {
        const char *method;
        const char *prefix;
        const char *format;
        int (*handler)(const struct _u_request *, struct _u_response *,
                       void *);
    } endpoints[] = {
        {"POST", "/v1/chat/completions", NULL, on_chat},
        {"*", "/v1/services", "/*", on_plain},
        {"GET", "/v1/address", NULL, on_address},
        {"GET", "/v1/models", NULL, on_models},
        {"GET", "/healthz", NULL, on_health},
        {"GET", "/metrics", NULL, on_metrics},
    };
    bool added = true;

    for (size_t i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
        added =
            ulfius_add_endpoint_by_val(
                instance, endpoints[i].method, endpoints[i].prefix,
                endpoints[i].format, 0, endpoints[i].handler, front) == U_OK &&
            added;
    }
    return ulfius_set_default_endpoint(instance, on_unknown, front) == U_OK &&
           added;
}
