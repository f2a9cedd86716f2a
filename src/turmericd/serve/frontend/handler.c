/**
 * DOC: HTTP endpoints for callers.
 *
 * Each connection has a thread, which waits for the response to its call to
 * start and then streams the output of the call.
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
 * struct response_stream - state of a response body that is streamed to a
 * caller
 * @frontend: the duty
 * @call: the call
 * @is_event_stream: the body consists of server-sent events
 * @error_event: last event of an aborted stream; NULL until it is needed
 * @error_bytes_sent: bytes of @error_event already sent
 */
struct response_stream {
    struct frontend *frontend;
    struct handle call;
    bool is_event_stream;
    char *error_event;
    size_t error_bytes_sent;
};

static const char *
request_header(const struct _u_request *request, const char *name)
{
    return u_map_get_case(request->map_header, name);
}

static int
send_problem(struct _u_response *response, const struct err *err,
             enum outcome outcome)
{
    char seconds[16];
    char *text = problem_format(err, outcome);
    int retry_after_s = problem_retry_after_s(err);

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
close_call(struct frontend *frontend, struct handle call)
{
    call_close(frontend->calls, call);
    open_calls_remove(frontend, call);
}

static char *
make_error_event(struct response_stream *stream)
{
    struct err err = {0};
    enum outcome outcome = OUTCOME_UNKNOWN;
    char *problem;
    char *event = NULL;

    if (!call_get_failure(stream->frontend->calls, stream->call, &err,
                          &outcome)) {
        err_set(&err, ERR_TARGET_FAILED, "the response was aborted");
    }
    problem = problem_format(&err, outcome);
    if (problem != NULL &&
        asprintf(&event, "event: error\ndata: %s\n\n", problem) < 0) {
        event = NULL;
    }
    free(problem);
    return event;
}

/* Ends an aborted response. The terminating chunk is omitted, so that the
 * caller can tell that the response is incomplete. */
static ssize_t
read_error_event(struct response_stream *stream, char *buffer, size_t max)
{
    size_t remaining;

    if (stream->error_event == NULL && stream->error_bytes_sent == 0) {
        stream->error_event = make_error_event(stream);
    }
    if (stream->error_event == NULL || !stream->is_event_stream) {
        return U_STREAM_ERROR;
    }
    remaining = strlen(stream->error_event) - stream->error_bytes_sent;
    if (remaining == 0) {
        return U_STREAM_ERROR;
    }
    remaining = remaining < max ? remaining : max;
    memcpy(buffer, stream->error_event + stream->error_bytes_sent, remaining);
    stream->error_bytes_sent += remaining;
    return (ssize_t)remaining;
}

static ssize_t
response_stream_read(void *data, uint64_t offset, char *buffer, size_t max)
{
    struct response_stream *stream = data;
    ssize_t count;

    (void)offset;
    count = call_read(stream->frontend->calls, stream->call, buffer, max);
    if (count > 0) {
        return count;
    }
    return count == 0 ? U_STREAM_END : read_error_event(stream, buffer, max);
}

static void
response_stream_free(void *data)
{
    struct response_stream *stream = data;

    close_call(stream->frontend, stream->call);
    free(stream->error_event);
    free(stream);
}

static bool
has_no_body(const struct _u_request *request, int status)
{
    return status == HTTP_NO_CONTENT || status == HTTP_NOT_MODIFIED ||
           strcmp(request->http_verb, "HEAD") == 0;
}

static int
stream_answer(const struct _u_request *request, struct _u_response *response,
              struct frontend *frontend, struct handle call,
              const struct call_answer_head *answer)
{
    struct response_stream *stream = calloc(1, sizeof(*stream));
    struct err err = {0};

    if (stream == NULL) {
        close_call(frontend, call);
        err_set(&err, ERR_NO_MEMORY, "response");
        return send_problem(response, &err, OUTCOME_UNKNOWN);
    }
    stream->frontend = frontend;
    stream->call = call;
    stream->is_event_stream =
        strncmp(answer->content_type, "text/event-stream",
                strlen("text/event-stream")) == 0;
    if (answer->content_type[0] != '\0') {
        u_map_put(response->map_header, "Content-Type", answer->content_type);
    }
    if (has_no_body(request, answer->status)) {
        ulfius_set_empty_body_response(response, (unsigned)answer->status);
        response_stream_free(stream);
        return U_CALLBACK_COMPLETE;
    }
    if (ulfius_set_stream_response(response, (unsigned)answer->status,
                                   response_stream_read, response_stream_free,
                                   U_STREAM_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                   stream) != U_OK) {
        response_stream_free(stream);
        return U_CALLBACK_ERROR;
    }
    return U_CALLBACK_COMPLETE;
}

static int
serve_call(const struct _u_request *request, struct _u_response *response,
           struct frontend *frontend, struct handle call)
{
    struct call_answer_head answer;
    struct err err = {0};
    enum outcome outcome = OUTCOME_UNKNOWN;

    if (!frontend->port->ops->submit(frontend->port, call, &err)) {
        close_call(frontend, call);
        return send_refusal(response, &err);
    }
    if (call_wait_answer(frontend->calls, call, &answer, &err) !=
        CALL_FAILED) {
        return stream_answer(request, response, frontend, call, &answer);
    }
    call_get_failure(frontend->calls, call, &err, &outcome);
    close_call(frontend, call);
    return send_problem(response, &err, outcome);
}

typedef bool request_parser(const struct tree *tree,
                            const struct incoming_request *incoming,
                            const struct clock_reading *now,
                            struct call_request *request, struct err *err);

static bool
check_body_size(const struct frontend *frontend,
                const struct _u_request *request, struct err *err)
{
    const char *content_length = request_header(request, "Content-Length");
    int64_t max_bytes = frontend->settings.body_max_bytes;
    int64_t declared_bytes =
        content_length != NULL ? strtoll(content_length, NULL, 10) : 0;

    if (declared_bytes > max_bytes ||
        (int64_t)request->binary_body_length > max_bytes) {
        return err_set(err, ERR_BODY_TOO_LARGE,
                       "the body is longer than %lld bytes",
                       (long long)max_bytes);
    }
    return true;
}

static bool
parse_request(struct frontend *frontend, const struct _u_request *request,
              request_parser *parser, struct call_request *parsed_call,
              struct err *err)
{
    struct incoming_request incoming = {
        .method = request->http_verb,
        .url = request->http_url,
        .content_type = request_header(request, "Content-Type"),
        .idempotency_key = request_header(request, "Idempotency-Key"),
        .deadline = request_header(request, "X-Deadline-Ms"),
        .body = request->binary_body,
        .body_bytes = request->binary_body_length,
    };
    struct clock_reading now = {clock_now_ms(), clock_wall_ms()};
    struct tree *tree;
    bool parsed;

    if (!check_body_size(frontend, request, err)) {
        return false;
    }
    tree = frontend->port->ops->tree_ref(frontend->port);
    if (tree == NULL) {
        return err_set(err, ERR_NOT_READY,
                       "the settings tree is not loaded yet");
    }
    parsed = parser(tree, &incoming, &now, parsed_call, err);
    tree_unref(tree);
    return parsed;
}

static int
accept_call(const struct _u_request *request, struct _u_response *response,
            struct frontend *frontend, request_parser *parser)
{
    struct call_request parsed_call;
    struct handle call;
    struct err err = {0};

    counter_add(CTR_CALLS, 1);
    if (!open_calls_reserve(frontend, &err)) {
        return send_refusal(response, &err);
    }
    if (!parse_request(frontend, request, parser, &parsed_call, &err)) {
        open_calls_release(frontend);
        return send_refusal(response, &err);
    }
    if (!call_open(frontend->calls, &parsed_call, &call, &err)) {
        call_request_free(&parsed_call);
        open_calls_release(frontend);
        return send_refusal(response, &err);
    }
    open_calls_add(frontend, call);
    return serve_call(request, response, frontend, call);
}

static int
on_chat(const struct _u_request *request, struct _u_response *response,
        void *data)
{
    return accept_call(request, response, data, request_parse_chat);
}

static int
on_plain_service(const struct _u_request *request,
                 struct _u_response *response, void *data)
{
    return accept_call(request, response, data, request_parse_plain);
}

static bool
is_draining(struct frontend *frontend)
{
    bool draining;

    pthread_mutex_lock(&frontend->lock);
    draining = frontend->draining;
    pthread_mutex_unlock(&frontend->lock);
    return draining;
}

/* Accepts a missing service name; fails when the tree has no such service. */
static bool
check_service(struct frontend *frontend, const char *service, struct err *err)
{
    struct tree *tree;
    bool known;

    if (service == NULL || service[0] == '\0') {
        return true;
    }
    tree = frontend->port->ops->tree_ref(frontend->port);
    if (tree == NULL) {
        return err_set(err, ERR_NOT_READY,
                       "the settings tree is not loaded yet");
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
    struct frontend *frontend = data;
    const char *data_centre = u_map_get(request->map_url, "data_centre");
    struct member_info *members;
    struct err err = {0};
    char *text = NULL;
    int count;

    if (!check_service(frontend, u_map_get(request->map_url, "service"),
                       &err)) {
        return send_refusal(response, &err);
    }
    members = calloc(MEMBERS_MAX, sizeof(*members));
    if (members != NULL) {
        count = frontend->port->ops->list_members(frontend->port, members,
                                                  MEMBERS_MAX);
        text = list_addresses(
            members, count, data_centre != NULL ? data_centre : "",
            is_draining(frontend) ? frontend->settings.address : NULL,
            frontend->settings.address_ttl_s);
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
    struct frontend *frontend = data;
    struct tree *tree = frontend->port->ops->tree_ref(frontend->port);
    struct err err = {0};
    char *text;

    (void)request;
    if (tree == NULL) {
        err_set(&err, ERR_NOT_READY, "the settings tree is not loaded yet");
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
    struct frontend *frontend = data;
    struct tree *tree = frontend->port->ops->tree_ref(frontend->port);

    (void)request;
    if (tree == NULL) {
        return send_text(response, HTTP_UNAVAILABLE, "text/plain",
                         "not ready\n");
    }
    tree_unref(tree);
    if (is_draining(frontend)) {
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
    err_set(&err, ERR_NOT_FOUND, "no endpoint %.16s %.150s",
            request->http_verb, request->http_url);
    return send_refusal(response, &err);
}

/**
 * frontend_add_endpoints() - register the callers' endpoints
 * @instance: ulfius server
 * @frontend: the duty
 *
 * Return: false when an endpoint could not be added.
 */
bool
frontend_add_endpoints(struct _u_instance *instance, struct frontend *frontend)
{
    static const struct {
        const char *method;
        const char *prefix;
        const char *format;
        int (*handler)(const struct _u_request *, struct _u_response *,
                       void *);
    } endpoints[] = {
        {"POST", "/v1/chat/completions", NULL, on_chat},
        {"*", "/v1/services", "/*", on_plain_service},
        {"GET", "/v1/address", NULL, on_address},
        {"GET", "/v1/models", NULL, on_models},
        {"GET", "/healthz", NULL, on_health},
        {"GET", "/metrics", NULL, on_metrics},
    };
    bool added = true;

    for (size_t i = 0; i < sizeof(endpoints) / sizeof(endpoints[0]); i++) {
        added = ulfius_add_endpoint_by_val(
                    instance, endpoints[i].method, endpoints[i].prefix,
                    endpoints[i].format, 0, endpoints[i].handler,
                    frontend) == U_OK &&
                added;
    }
    return ulfius_set_default_endpoint(instance, on_unknown, frontend) ==
               U_OK &&
           added;
}
