/* Tests of the frontend: request validation, refusals, responses, stop. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/types.h>
#include <unistd.h>

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
#include "serve.h"
#include "client.h"
#include "cases.h"
#include "support.h"

enum { BODY_MAX = 400 };

static const char tree_text[] =
    "/s type \"service\"; /s priority 6; /s wait_max_ms 2000; "
    "/s/a type \"model\"; /s/off type \"model\"; /s/off enabled false; "
    "/p type \"service\"; /p kind \"plain\"; "
    "/once type \"service\"; /once kind \"plain\"; /once repeatable false";

/* How the fake route duty responds to a call. */
enum route_response {
    RESPONSE_COMPLETE,       /* sends "hello" and finishes */
    RESPONSE_EVENTS,         /* sends two events and finishes */
    RESPONSE_EVENTS_ABORTED, /* sends one event and aborts */
    RESPONSE_TEXT_ABORTED,   /* sends part of a text and aborts */
    RESPONSE_NO_CONTENT,     /* sends 204 */
    RESPONSE_REFUSED,        /* refuses with ERR_DEADLINE */
    RESPONSE_HELD_OFF,       /* refuses with a Retry-After of its own */
    RESPONSE_RING_FULL,      /* fails to queue the call */
    RESPONSE_UNFINISHED,     /* sends one event, keeps the call open */
};

struct fixture {
    struct frontend_port port;
    struct calls *calls;
    struct frontend *frontend;
    struct tree *tree;
    enum route_response response;
    GString *submitted;
    struct handle unfinished_call;
    struct ring drain_events;
    pthread_t thread;
};

static void
record_call(struct fixture *fixture, struct handle call)
{
    struct call_request request;
    struct err err = {0};

    g_assert_true(call_copy_request(fixture->calls, call, &request, &err));
    g_string_append_printf(
        fixture->submitted, "%s%s %s %s %s%s%s p%d %dms %s", request.service,
        request.leaf != 0 ? request.leaf_path : "", request.method,
        request.url, request.stream ? "stream " : "",
        request.idempotent ? "idempotent" : "keyed ", request.idempotency_key,
        request.priority, (int)(request.deadline_ms - request.arrival_ms),
        request.leaf != 0 ? "" : (char *)request.body);
    call_request_free(&request);
}

static void
write_response(struct fixture *fixture, struct handle call, int status,
               const char *type, const char *text)
{
    struct call_answer_head head = {.status = status};

    g_strlcpy(head.content_type, type, sizeof(head.content_type));
    call_start_answer(fixture->calls, call, &head);
    call_write(fixture->calls, call, text, strlen(text));
}

static bool
on_submit(struct frontend_port *port, struct handle call, struct err *err)
{
    struct fixture *fixture = (struct fixture *)port;
    struct err refusal = {0};

    record_call(fixture, call);
    switch (fixture->response) {
    case RESPONSE_COMPLETE:
        write_response(fixture, call, 200, "text/plain", "hello");
        return call_end_answer(fixture->calls, call, true);
    case RESPONSE_EVENTS:
        write_response(fixture, call, 200, "text/event-stream", "data: a\n\n");
        write_response(fixture, call, 200, "text/event-stream",
                       "data: [DONE]\n\n");
        return call_end_answer(fixture->calls, call, true);
    case RESPONSE_NO_CONTENT:
        write_response(fixture, call, 204, "", "");
        return call_end_answer(fixture->calls, call, true);
    case RESPONSE_EVENTS_ABORTED:
        write_response(fixture, call, 200, "text/event-stream", "data: a\n\n");
        return call_end_answer(fixture->calls, call, false);
    case RESPONSE_TEXT_ABORTED:
        write_response(fixture, call, 200, "text/plain", "half");
        return call_end_answer(fixture->calls, call, false);
    case RESPONSE_REFUSED:
        err_set(&refusal, ERR_DEADLINE, "nothing was free");
        return call_fail(fixture->calls, call, &refusal, OUTCOME_UNKNOWN);
    case RESPONSE_HELD_OFF:
        err_set(&refusal, ERR_NO_TARGET, "no target wants it");
        refusal.retry_after_s = 77;
        return call_fail(fixture->calls, call, &refusal, OUTCOME_NOT_RUN);
    case RESPONSE_UNFINISHED:
        fixture->unfinished_call = call;
        fixture->response = RESPONSE_COMPLETE;
        write_response(fixture, call, 200, "text/event-stream", "data: a\n\n");
        return true;
    case RESPONSE_RING_FULL:
        break;
    }
    return err_set(err, ERR_RING_FULL, "full");
}

static struct tree *
on_tree_ref(struct frontend_port *port)
{
    struct tree *tree = ((struct fixture *)port)->tree;

    return tree != NULL ? tree_ref(tree) : NULL;
}

static int
on_list_members(struct frontend_port *port, struct member_info *infos, int max)
{
    static const struct member_info members[] = {
        {.address = "127.0.0.1:0", .data_centre = "x", .state = MEMBER_ALIVE},
        {.address = "10.0.0.2:1", .data_centre = "y", .state = MEMBER_ALIVE},
        {.address = "10.0.0.3:1", .data_centre = "x", .state = MEMBER_LEAVING},
        {.address = "10.0.0.4:1", .data_centre = "x", .state = MEMBER_DEAD},
    };

    (void)port;
    g_assert_cmpint(max, >=, (int)G_N_ELEMENTS(members));
    memcpy(infos, members, sizeof(members));
    return G_N_ELEMENTS(members);
}

static void
on_announce_drain(struct frontend_port *port)
{
    int event = 1;

    ring_push(&((struct fixture *)port)->drain_events, &event, NULL);
}

static const struct frontend_port_ops ops = {
    on_submit, on_tree_ref, on_list_members, on_announce_drain};

static void
fixture_open(struct fixture *fixture, int64_t address_ttl_s,
             int64_t drain_max_s)
{
    struct frontend_settings settings = {
        .address = "127.0.0.1:0",
        .body_max_bytes = BODY_MAX,
        .address_ttl_s = address_ttl_s,
        .drain_max_s = drain_max_s,
    };
    struct err err = {0};

    memset(fixture, 0, sizeof(*fixture));
    fixture->port.ops = &ops;
    fixture->calls = calls_new(8, NULL);
    fixture->tree = test_tree(tree_text);
    fixture->submitted = g_string_new(NULL);
    ring_init(&fixture->drain_events, 4, sizeof(int), NULL);
    fixture->frontend =
        frontend_new(fixture->calls, &settings, &fixture->port, &err);
    g_assert_cmpstr(err.text, ==, "");
    test_duty_start(frontend_duty(fixture->frontend), &fixture->thread);
}

static void
request_stop(struct fixture *fixture)
{
    struct duty *duty = frontend_duty(fixture->frontend);

    duty->ops->stop(duty);
}

static void
fixture_close(struct fixture *fixture)
{
    test_duty_stop(frontend_duty(fixture->frontend), fixture->thread);
    g_assert_cmpuint(calls_count(fixture->calls), ==, 0);
    frontend_free(fixture->frontend);
    calls_free(fixture->calls);
    tree_unref(fixture->tree);
    ring_free(&fixture->drain_events);
    g_string_free(fixture->submitted, TRUE);
}

static char *
send_request(struct fixture *fixture, const char *head, const char *body)
{
    char *text = test_request(head, body);
    int fd = test_connect(frontend_listen_port(fixture->frontend), text);

    g_free(text);
    shutdown(fd, SHUT_WR);
    return test_read_all(fd);
}

#define CHAT "POST /v1/chat/completions HTTP/1.1"
#define MESSAGES "\"messages\":[]"
#define LONG_KEY                                                              \
    "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"  \
    "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"  \
    "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"  \
    "kkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkkk"

/**
 * struct request_case - a request and its expected result
 * @refusal: name of the refusal, NULL when it is taken
 * @status: expected status
 * @submitted: the call as the route duty sees it; NULL when it must see none
 */
struct request_case {
    const char *name;
    const char *head;
    const char *body;
    int status;
    const char *refusal;
    const char *submitted;
};

/* Guards against a request that is accepted although it is malformed, too
 * large or may run twice, and against one that is altered before it reaches
 * the route duty. */
static const struct request_case request_cases[] = {
    {"chat", CHAT, "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions idempotent p6 2000ms "},
    {"chat_short_name", CHAT, "{\"model\":\"a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions idempotent p6 2000ms "},
    {"chat_stream", CHAT, "{\"model\":\"s/a\"," MESSAGES ",\"stream\":true}",
     200, NULL,
     "s/s/a POST /v1/chat/completions stream idempotent p6 2000ms "},
    {"lower_priority", CHAT, "{\"model\":\"s/a\"," MESSAGES ",\"priority\":2}",
     200, NULL, "s/s/a POST /v1/chat/completions idempotent p2 2000ms "},
    {"higher_priority_is_clipped", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"priority\":9}", 200, NULL,
     "s/s/a POST /v1/chat/completions idempotent p6 2000ms "},
    {"negative_priority_is_clipped", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"priority\":-1}", 200, NULL,
     "s/s/a POST /v1/chat/completions idempotent p0 2000ms "},
    {"shorter_deadline", CHAT "\r\nX-Deadline-Ms: 700",
     "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions idempotent p6 700ms "},
    {"longer_deadline_is_clipped", CHAT "\r\nX-Deadline-Ms: 70000",
     "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions idempotent p6 2000ms "},
    {"keyed_chat", CHAT "\r\nidempotency-key: order-1",
     "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions keyed order-1 p6 2000ms "},
    {"plain", "POST /v1/services/p/orders/7?x=a%20b HTTP/1.1", "some=body",
     200, NULL, "p POST /orders/7?x=a%20b idempotent p5 30000ms some=body"},
    {"plain_root", "GET /v1/services/p/ HTTP/1.1", "", 200, NULL,
     "p GET / idempotent p5 30000ms "},
    {"plain_key", "POST /v1/services/once/o HTTP/1.1\r\nIdempotency-Key: k-7",
     "x", 200, NULL, "once POST /o keyed k-7 p5 30000ms x"},
    {"plain_get_needs_no_key", "GET /v1/services/once/o HTTP/1.1", "", 200,
     NULL, "once GET /o idempotent p5 30000ms "},
    {"key_missing", "POST /v1/services/once/o HTTP/1.1", "x", 400,
     "key_missing", NULL},
    {"key_missing_delete", "DELETE /v1/services/once/o HTTP/1.1", "", 400,
     "key_missing", NULL},
    {"key_empty", "POST /v1/services/once/o HTTP/1.1\r\nIdempotency-Key: ",
     "x", 400, "key_bad", NULL},
    {"key_too_long",
     "POST /v1/services/once/o HTTP/1.1\r\nIdempotency-Key: " LONG_KEY, "x",
     400, "key_bad", NULL},
    {"key_not_printable",
     "POST /v1/services/once/o HTTP/1.1\r\nIdempotency-Key: \xc3\x28", "x",
     400, "key_bad", NULL},
    {"unknown_service", "GET /v1/services/nope/o HTTP/1.1", "", 404,
     "unknown_service", NULL},
    {"engine_service_is_not_plain", "GET /v1/services/s/o HTTP/1.1", "", 404,
     "unknown_service", NULL},
    {"json_empty", CHAT, "", 400, "bad_json", NULL},
    {"json_malformed", CHAT, "{\"model\":", 400, "bad_json", NULL},
    {"json_trailing", CHAT, "{\"model\":\"s/a\"," MESSAGES "} {}", 400,
     "bad_json", NULL},
    {"json_array", CHAT, "[1]", 400, "bad_json", NULL},
    {"json_invalid_utf8", CHAT, "{\"model\":\"\xff\"," MESSAGES "}", 400,
     "bad_json", NULL},
    {"model_missing", CHAT, "{" MESSAGES "}", 400, "bad_request", NULL},
    {"model_unknown", CHAT, "{\"model\":\"s/z\"," MESSAGES "}", 404,
     "unknown_model", NULL},
    {"messages_missing", CHAT, "{\"model\":\"s/a\"}", 400, "bad_request",
     NULL},
    {"stream_not_boolean", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"stream\":1}", 400, "bad_request",
     NULL},
    {"priority_not_integer", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"priority\":\"9\"}", 400, "bad_request",
     NULL},
    {"deadline_not_a_number", CHAT "\r\nX-Deadline-Ms: soon",
     "{\"model\":\"s/a\"," MESSAGES "}", 400, "bad_request", NULL},
    {"deadline_zero", CHAT "\r\nX-Deadline-Ms: 0",
     "{\"model\":\"s/a\"," MESSAGES "}", 400, "bad_request", NULL},
    {"body_declared_too_large", CHAT "\r\nContent-Length: 401",
     "{\"model\":\"s/a\"," MESSAGES
     "                                                                   "
     "                                                                   "
     "                                                                   "
     "                                                                   "
     "                                                                   "
     "                                     }",
     413, "body_too_large", NULL},
    {"body_in_chunks_too_large", CHAT "\r\nTransfer-Encoding: chunked",
     "f0\r\n{\"model\":\"s/a\"," MESSAGES
     ",\"x\":\"0123456789012345678901234567890123456789012345678901234567890"
     "123456789012345678901234567890123456789012345678901234567890123456789"
     "012345678901234567890123456789012345678901234567890123456789012345678"
     "9012345\r\nc7\r\n"
     "012345678901234567890123456789012345678901234567890123456789012345678"
     "901234567890123456789012345678901234567890123456789012345678901234567"
     "89012345678901234567890123456789012345678901234567890123456\"}\r\n0\r\n"
     "\r\n",
     413, "body_too_large", NULL},
    {"body_truncated", CHAT "\r\nContent-Length: 100", "{\"model\":\"s/a\"}",
     0, NULL, NULL},
    {"wrong_method", "GET /v1/chat/completions HTTP/1.1", "", 404, "not_found",
     NULL},
    {"wrong_path", "GET /v2 HTTP/1.1", "", 404, "not_found", NULL},
};

static void
check_problem(const char *reply, const char *name)
{
    char *type =
        g_strdup_printf("\"type\":\"urn:turmericstall:refusal:%s\"", name);
    const char *expected[] = {type,           "\"title\":",
                              "\"status\":",  "\"detail\":",
                              "\"counter\":", "\"outcome\":",
                              "\"remedy\":",  "application/problem+json"};

    for (size_t i = 0; i < G_N_ELEMENTS(expected); i++) {
        if (strstr(reply, expected[i]) == NULL) {
            g_error("reply without %s: %s", expected[i], reply);
        }
    }
    g_free(type);
}

static void
check_request(gconstpointer data)
{
    const struct request_case *c = data;
    uint64_t refused_before =
        c->refusal != NULL ? refusal_read(err_kind_by_name(c->refusal)) : 0;
    static struct fixture fixture;
    char *reply;
    int status = 0;

    fixture_open(&fixture, 0, 10);
    reply = send_request(&fixture, c->head, c->body);
    sscanf(reply, "HTTP/1.1 %d", &status);
    g_assert_cmpint(status, ==, c->status);
    g_assert_cmpstr(fixture.submitted->str, ==,
                    c->submitted != NULL ? c->submitted : "");
    if (c->refusal != NULL) {
        check_problem(reply, c->refusal);
        g_assert_cmpuint(refusal_read(err_kind_by_name(c->refusal)), ==,
                         refused_before + 1);
    }
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against a body that is parsed only up to its first NUL byte. */
static void
test_nul_byte(void)
{
    static const char body[] = "{\"model\":\"s/a\"," MESSAGES "}\0{";
    struct tree *tree = test_tree(tree_text);
    struct incoming_request incoming = {
        .method = "POST",
        .body = body,
        .body_bytes = sizeof(body) - 1,
    };
    struct clock_reading now = {0, 0};
    struct call_request request;
    struct err err = {0};

    g_assert_false(request_parse_chat(tree, &incoming, &now, &request, &err));
    g_assert_cmpint(err.kind, ==, ERR_BAD_JSON);
    tree_unref(tree);
}

/* Guards against an aborted response that looks complete to the caller, and
 * against a refusal that omits the reason, the outcome or Retry-After. */
struct response_case {
    const char *name;
    enum route_response response;
    const char *contains[4];
    bool last_chunk;
};

static const struct response_case response_cases[] = {
    {"complete", RESPONSE_COMPLETE, {"200 OK", "text/plain", "hello"}, true},
    {"events",
     RESPONSE_EVENTS,
     {"text/event-stream", "data: a\n\n", "data: [DONE]\n\n"},
     true},
    {"events_aborted",
     RESPONSE_EVENTS_ABORTED,
     {"data: a\n\n",
      "event: error\ndata: {\"type\":", "\"outcome\":\"unknown\""},
     false},
    {"text_aborted", RESPONSE_TEXT_ABORTED, {"half"}, false},
    {"no_content", RESPONSE_NO_CONTENT, {"HTTP/1.1 204 "}, false},
    {"refused",
     RESPONSE_REFUSED,
     {"504 ", "Retry-After: 5", "\"outcome\":\"unknown\"", "nothing was free"},
     false},
    {"held_off",
     RESPONSE_HELD_OFF,
     {"503 ", "Retry-After: 77", "\"outcome\":\"not_run\"", "no_target"},
     false},
    {"ring_full",
     RESPONSE_RING_FULL,
     {"503 ", "Retry-After: 1", "\"outcome\":\"not_run\"", "ring_full"},
     false},
};

static void
test_response(gconstpointer data)
{
    const struct response_case *c = data;
    static struct fixture fixture;
    char *reply;

    fixture_open(&fixture, 0, 10);
    fixture.response = c->response;
    reply = send_request(&fixture, CHAT, "{\"model\":\"s/a\"," MESSAGES "}");
    for (int i = 0; i < 4 && c->contains[i] != NULL; i++) {
        if (strstr(reply, c->contains[i]) == NULL) {
            g_error("reply without %s: %s", c->contains[i], reply);
        }
    }
    g_assert_cmpint(g_str_has_suffix(reply, "\r\n0\r\n\r\n"), ==,
                    c->last_chunk);
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against lists with models or instances that callers can't use. */
struct get_case {
    const char *name;
    const char *head;
    const char *contains;
};

static const struct get_case get_cases[] = {
    {"models", "GET /v1/models HTTP/1.1",
     "{\"object\":\"list\",\"data\":[{\"id\":\"s/a\",\"object\":\"model\","
     "\"owned_by\":\"s\"}]}"},
    {"address", "GET /v1/address?service=s&data_centre=y HTTP/1.1",
     "{\"addresses\":[\"10.0.0.2:1\",\"127.0.0.1:0\"],\"keep_s\":0}"},
    {"address_unknown_service", "GET /v1/address?service=z HTTP/1.1",
     "unknown_service"},
    {"health", "GET /healthz HTTP/1.1", "ok\n"},
    {"metrics", "GET /metrics HTTP/1.1",
     "refused_total{reason=\"queue_full\"}"},
};

static void
test_get(gconstpointer data)
{
    const struct get_case *c = data;
    static struct fixture fixture;
    char *reply;

    fixture_open(&fixture, 0, 10);
    reply = send_request(&fixture, c->head, "");
    if (strstr(reply, c->contains) == NULL) {
        g_error("reply without %s: %s", c->contains, reply);
    }
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against an instance that accepts calls before it has a tree. */
static void
test_not_ready(void)
{
    static struct fixture fixture;
    char *reply;

    fixture_open(&fixture, 0, 10);
    tree_unref(fixture.tree);
    fixture.tree = NULL;
    reply = send_request(&fixture, CHAT, "{\"model\":\"s/a\"," MESSAGES "}");
    check_problem(reply, "not_ready");
    g_free(reply);
    reply = send_request(&fixture, "GET /healthz HTTP/1.1", "");
    g_assert_true(g_str_has_prefix(reply, "HTTP/1.1 503"));
    g_free(reply);
    fixture_close(&fixture);
}

static char *
read_until(int fd, const char *text)
{
    GString *reply = g_string_new(NULL);
    char byte;

    while (strstr(reply->str, text) == NULL) {
        g_assert_cmpint(read(fd, &byte, 1), ==, 1);
        g_string_append_c(reply, byte);
    }
    return g_string_free(reply, FALSE);
}

/* Starts a call that stays open; returns its connection. */
static int
start_unfinished_call(struct fixture *fixture)
{
    char *text =
        test_request(CHAT, "{\"model\":\"s/a\"," MESSAGES ",\"stream\":true}");
    int fd;

    fixture->response = RESPONSE_UNFINISHED;
    fd = test_connect(frontend_listen_port(fixture->frontend), text);
    g_free(text);
    g_free(read_until(fd, "data: a\n\n"));
    return fd;
}

/* Guards against a stop that aborts an open call, accepts new calls, or still
 * lists the address of the instance. */
static void
test_graceful_stop(void)
{
    static struct fixture fixture;
    char *reply = NULL;
    int event;
    int fd;

    fixture_open(&fixture, 0, 3600);
    fd = start_unfinished_call(&fixture);
    request_stop(&fixture);
    g_assert_cmpint(ring_pop(&fixture.drain_events, &event, -1), ==, RING_OK);
    reply = send_request(&fixture, "GET /v1/address HTTP/1.1", "");
    g_assert_nonnull(strstr(reply, "{\"addresses\":[\"10.0.0.2:1\"]"));
    do {
        g_free(reply);
        reply =
            send_request(&fixture, CHAT, "{\"model\":\"s/a\"," MESSAGES "}");
    } while (g_str_has_prefix(reply, "HTTP/1.1 200"));
    check_problem(reply, "stopped");
    g_free(reply);
    call_write(fixture.calls, fixture.unfinished_call, "data: b\n\n", 9);
    call_end_answer(fixture.calls, fixture.unfinished_call, true);
    reply = test_read_all(fd);
    g_assert_nonnull(strstr(reply, "data: b\n\n"));
    g_assert_true(g_str_has_suffix(reply, "\r\n0\r\n\r\n"));
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against a stop that waits forever for an open call. */
static void
test_drain_timeout(void)
{
    static struct fixture fixture;
    char *reply;
    int fd;

    fixture_open(&fixture, 0, 0);
    fd = start_unfinished_call(&fixture);
    request_stop(&fixture);
    reply = test_read_all(fd);
    g_assert_nonnull(strstr(reply, "event: error\n"));
    g_assert_nonnull(strstr(reply, "refusal:stopped"));
    g_assert_false(g_str_has_suffix(reply, "\r\n0\r\n\r\n"));
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against an instance that stops while callers still cache its
 * address. */
static void
test_address_ttl(void)
{
    static struct fixture fixture;
    int64_t start_ms;

    fixture_open(&fixture, 1, 0);
    start_ms = clock_now_ms();
    fixture_close(&fixture);
    g_assert_cmpint(clock_now_ms() - start_ms, >=, 1000);
}

/* Guards against a call that stays open after its caller disconnected. */
static void
test_caller_disconnects(void)
{
    static struct fixture fixture;
    int fd;

    fixture_open(&fixture, 0, 3600);
    fd = start_unfinished_call(&fixture);
    close(fd);
    while (
        call_write(fixture.calls, fixture.unfinished_call, "data: b\n\n", 9)) {
    }
    fixture_close(&fixture);
}

static const struct cases case_groups[] = {
    CASES("/frontend/request", request_cases, check_request),
    CASES("/frontend/response", response_cases, test_response),
    CASES("/frontend/get", get_cases, test_get),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(case_groups, G_N_ELEMENTS(case_groups));
    g_test_add_func("/frontend/nul_byte", test_nul_byte);
    g_test_add_func("/frontend/not_ready", test_not_ready);
    g_test_add_func("/frontend/graceful_stop", test_graceful_stop);
    g_test_add_func("/frontend/drain_timeout", test_drain_timeout);
    g_test_add_func("/frontend/address_ttl", test_address_ttl);
    g_test_add_func("/frontend/caller_disconnects", test_caller_disconnects);
    return g_test_run();
}
