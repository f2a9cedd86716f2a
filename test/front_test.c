/* Tests of callers' HTTP: checks, refusals, answers, graceful stop. */
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
#include "turmericd/serve/front/dat.h"
#include "turmericd/serve/front/fns.h"
#include "turmericd/serve/front/internal.h"
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

/* What the route duty of the test does with a call. */
enum serve {
    SERVE_WHOLE,  /* answers "hello" */
    SERVE_EVENTS, /* answers two events */
    SERVE_BREAK,  /* answers one event and breaks off */
    SERVE_CUT,    /* answers half a text and breaks off */
    SERVE_EMPTY,  /* answers 204 */
    SERVE_REFUSE, /* refuses with ERR_DEADLINE */
    SERVE_FULL,   /* does not take it */
    SERVE_HOLD,   /* answers one event and leaves the call open */
};

struct fixture {
    struct front_port port;
    struct calls *calls;
    struct front *front;
    struct tree *tree;
    enum serve serve;
    GString *taken;
    struct handle held;
    struct ring events;
    pthread_t thread;
};

static void
note_call(struct fixture *fixture, struct handle call)
{
    struct call_request request;
    struct err err = {0};

    g_assert_true(call_copy_request(fixture->calls, call, &request, &err));
    g_string_append_printf(
        fixture->taken, "%s%s %s %s %s%s%s p%d %dms %s", request.service,
        request.leaf != 0 ? request.leaf_path : "", request.method,
        request.url, request.stream ? "stream " : "",
        request.idempotent ? "again" : "once ", request.idempotency_key,
        request.priority, (int)(request.deadline_ms - request.arrival_ms),
        request.leaf != 0 ? "" : (char *)request.body);
    call_request_free(&request);
}

static void
answer(struct fixture *fixture, struct handle call, int status,
       const char *type, const char *text)
{
    struct call_answer_head head = {.status = status};

    g_strlcpy(head.content_type, type, sizeof(head.content_type));
    call_start_answer(fixture->calls, call, &head);
    call_write(fixture->calls, call, text, strlen(text));
}

static bool
on_submit(struct front_port *port, struct handle call, struct err *err)
{
    struct fixture *fixture = (struct fixture *)port;
    struct err refusal = {0};

    note_call(fixture, call);
    switch (fixture->serve) {
    case SERVE_WHOLE:
        answer(fixture, call, 200, "text/plain", "hello");
        return call_end_answer(fixture->calls, call, true);
    case SERVE_EVENTS:
        answer(fixture, call, 200, "text/event-stream", "data: a\n\n");
        answer(fixture, call, 200, "text/event-stream", "data: [DONE]\n\n");
        return call_end_answer(fixture->calls, call, true);
    case SERVE_EMPTY:
        answer(fixture, call, 204, "", "");
        return call_end_answer(fixture->calls, call, true);
    case SERVE_BREAK:
        answer(fixture, call, 200, "text/event-stream", "data: a\n\n");
        return call_end_answer(fixture->calls, call, false);
    case SERVE_CUT:
        answer(fixture, call, 200, "text/plain", "half");
        return call_end_answer(fixture->calls, call, false);
    case SERVE_REFUSE:
        err_set(&refusal, ERR_DEADLINE, "nothing was free");
        return call_fail(fixture->calls, call, &refusal, OUTCOME_UNKNOWN);
    case SERVE_HOLD:
        fixture->held = call;
        fixture->serve = SERVE_WHOLE;
        answer(fixture, call, 200, "text/event-stream", "data: a\n\n");
        return true;
    case SERVE_FULL:
        break;
    }
    return err_set(err, ERR_RING_FULL, "full");
}

static struct tree *
on_tree(struct front_port *port)
{
    struct tree *tree = ((struct fixture *)port)->tree;

    return tree != NULL ? tree_ref(tree) : NULL;
}

static int
on_members(struct front_port *port, struct member_info *infos, int max)
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
on_leave(struct front_port *port)
{
    int event = 1;

    ring_push(&((struct fixture *)port)->events, &event, NULL);
}

static const struct front_port_ops ops = {on_submit, on_tree, on_members,
                                          on_leave};

static void
fixture_open(struct fixture *fixture, int64_t keep_s, int64_t drain_max_s)
{
    struct front_settings settings = {
        .address = "127.0.0.1:0",
        .body_max_bytes = BODY_MAX,
        .keep_s = keep_s,
        .drain_max_s = drain_max_s,
    };
    struct err err = {0};

    memset(fixture, 0, sizeof(*fixture));
    fixture->port.ops = &ops;
    fixture->calls = calls_new(8, NULL);
    fixture->tree = test_tree(tree_text);
    fixture->taken = g_string_new(NULL);
    ring_init(&fixture->events, 4, sizeof(int), NULL);
    fixture->front =
        front_new(fixture->calls, &settings, &fixture->port, &err);
    g_assert_cmpstr(err.text, ==, "");
    test_duty_start(front_duty(fixture->front), &fixture->thread);
}

static void
stop(struct fixture *fixture)
{
    struct duty *duty = front_duty(fixture->front);

    duty->ops->stop(duty);
}

static void
fixture_close(struct fixture *fixture)
{
    test_duty_stop(front_duty(fixture->front), fixture->thread);
    g_assert_cmpuint(calls_count(fixture->calls), ==, 0);
    front_free(fixture->front);
    calls_free(fixture->calls);
    tree_unref(fixture->tree);
    ring_free(&fixture->events);
    g_string_free(fixture->taken, TRUE);
}

static char *
ask(struct fixture *fixture, const char *head, const char *body)
{
    char *text = test_request(head, body);
    int fd = test_connect(front_listen_port(fixture->front), text);

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
 * struct request_case - a request and what becomes of it
 * @refusal: name of the refusal, NULL when it is taken
 * @status: expected status
 * @taken: the call as the route duty sees it; NULL when it must see none
 */
struct request_case {
    const char *name;
    const char *head;
    const char *body;
    int status;
    const char *refusal;
    const char *taken;
};

/* Guards against a request that is taken although it is malformed, too large
 * or may run twice, and against one that is changed on its way. */
static const struct request_case request_cases[] = {
    {"chat", CHAT, "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions again p6 2000ms "},
    {"chat_short_name", CHAT, "{\"model\":\"a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions again p6 2000ms "},
    {"chat_stream", CHAT, "{\"model\":\"s/a\"," MESSAGES ",\"stream\":true}",
     200, NULL, "s/s/a POST /v1/chat/completions stream again p6 2000ms "},
    {"lower_priority", CHAT, "{\"model\":\"s/a\"," MESSAGES ",\"priority\":2}",
     200, NULL, "s/s/a POST /v1/chat/completions again p2 2000ms "},
    {"higher_priority_is_clipped", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"priority\":9}", 200, NULL,
     "s/s/a POST /v1/chat/completions again p6 2000ms "},
    {"negative_priority_is_clipped", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"priority\":-1}", 200, NULL,
     "s/s/a POST /v1/chat/completions again p0 2000ms "},
    {"shorter_deadline", CHAT "\r\nX-Deadline-Ms: 700",
     "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions again p6 700ms "},
    {"longer_deadline_is_clipped", CHAT "\r\nX-Deadline-Ms: 70000",
     "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions again p6 2000ms "},
    {"keyed_chat", CHAT "\r\nidempotency-key: order-1",
     "{\"model\":\"s/a\"," MESSAGES "}", 200, NULL,
     "s/s/a POST /v1/chat/completions once order-1 p6 2000ms "},
    {"plain", "POST /v1/services/p/orders/7?x=a%20b HTTP/1.1", "some=body",
     200, NULL, "p POST /orders/7?x=a%20b again p5 30000ms some=body"},
    {"plain_root", "GET /v1/services/p/ HTTP/1.1", "", 200, NULL,
     "p GET / again p5 30000ms "},
    {"plain_key", "POST /v1/services/once/o HTTP/1.1\r\nIdempotency-Key: k-7",
     "x", 200, NULL, "once POST /o once k-7 p5 30000ms x"},
    {"plain_get_needs_no_key", "GET /v1/services/once/o HTTP/1.1", "", 200,
     NULL, "once GET /o again p5 30000ms "},
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
    {"engines_are_no_plain_service", "GET /v1/services/s/o HTTP/1.1", "", 404,
     "unknown_service", NULL},
    {"json_empty", CHAT, "", 400, "bad_json", NULL},
    {"json_malformed", CHAT, "{\"model\":", 400, "bad_json", NULL},
    {"json_trailing", CHAT, "{\"model\":\"s/a\"," MESSAGES "} {}", 400,
     "bad_json", NULL},
    {"json_array", CHAT, "[1]", 400, "bad_json", NULL},
    {"json_bad_utf8", CHAT, "{\"model\":\"\xff\"," MESSAGES "}", 400,
     "bad_json", NULL},
    {"model_missing", CHAT, "{" MESSAGES "}", 400, "bad_request", NULL},
    {"model_unknown", CHAT, "{\"model\":\"s/z\"," MESSAGES "}", 404,
     "unknown_model", NULL},
    {"messages_missing", CHAT, "{\"model\":\"s/a\"}", 400, "bad_request",
     NULL},
    {"stream_no_boolean", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"stream\":1}", 400, "bad_request",
     NULL},
    {"priority_no_integer", CHAT,
     "{\"model\":\"s/a\"," MESSAGES ",\"priority\":\"9\"}", 400, "bad_request",
     NULL},
    {"deadline_bad", CHAT "\r\nX-Deadline-Ms: soon",
     "{\"model\":\"s/a\"," MESSAGES "}", 400, "bad_request", NULL},
    {"deadline_zero", CHAT "\r\nX-Deadline-Ms: 0",
     "{\"model\":\"s/a\"," MESSAGES "}", 400, "bad_request", NULL},
    {"body_announced_too_large", CHAT "\r\nContent-Length: 401",
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
    char *member =
        g_strdup_printf("\"type\":\"urn:turmericstall:refusal:%s\"", name);
    const char *members[] = {member,         "\"title\":",
                             "\"status\":",  "\"detail\":",
                             "\"counter\":", "\"outcome\":",
                             "\"remedy\":",  "application/problem+json"};

    for (size_t i = 0; i < G_N_ELEMENTS(members); i++) {
        if (strstr(reply, members[i]) == NULL) {
            g_error("no %s in %s", members[i], reply);
        }
    }
    g_free(member);
}

static void
check_request(gconstpointer data)
{
    const struct request_case *c = data;
    uint64_t refused =
        c->refusal != NULL ? refusal_read(err_kind_by_name(c->refusal)) : 0;
    static struct fixture fixture;
    char *reply;
    int status = 0;

    fixture_open(&fixture, 0, 10);
    reply = ask(&fixture, c->head, c->body);
    sscanf(reply, "HTTP/1.1 %d", &status);
    g_assert_cmpint(status, ==, c->status);
    g_assert_cmpstr(fixture.taken->str, ==, c->taken != NULL ? c->taken : "");
    if (c->refusal != NULL) {
        check_problem(reply, c->refusal);
        g_assert_cmpuint(refusal_read(err_kind_by_name(c->refusal)), ==,
                         refused + 1);
    }
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against a body that is read only up to a NUL byte. */
static void
test_nul_byte(void)
{
    static const char body[] = "{\"model\":\"s/a\"," MESSAGES "}\0{";
    struct tree *tree = test_tree(tree_text);
    struct incoming incoming = {
        .method = "POST",
        .body = body,
        .body_bytes = sizeof(body) - 1,
    };
    struct moment moment = {0, 0};
    struct call_request request;
    struct err err = {0};

    g_assert_false(request_chat(tree, &incoming, &moment, &request, &err));
    g_assert_cmpint(err.kind, ==, ERR_BAD_JSON);
    tree_unref(tree);
}

/* Guards against a broken answer that a caller takes for whole, and against a
 * refusal that says less than is known. */
struct answer_case {
    const char *name;
    enum serve serve;
    const char *contains[4];
    bool last_chunk;
};

static const struct answer_case answer_cases[] = {
    {"whole", SERVE_WHOLE, {"200 OK", "text/plain", "hello"}, true},
    {"events",
     SERVE_EVENTS,
     {"text/event-stream", "data: a\n\n", "data: [DONE]\n\n"},
     true},
    {"broken_events",
     SERVE_BREAK,
     {"data: a\n\n",
      "event: error\ndata: {\"type\":", "\"outcome\":\"unknown\""},
     false},
    {"broken_text", SERVE_CUT, {"half"}, false},
    {"empty", SERVE_EMPTY, {"HTTP/1.1 204 "}, false},
    {"refused",
     SERVE_REFUSE,
     {"504 ", "Retry-After: 5", "\"outcome\":\"unknown\"", "nothing was free"},
     false},
    {"not_taken",
     SERVE_FULL,
     {"503 ", "Retry-After: 1", "\"outcome\":\"not_run\"", "ring_full"},
     false},
};

static void
test_answer(gconstpointer data)
{
    const struct answer_case *c = data;
    static struct fixture fixture;
    char *reply;

    fixture_open(&fixture, 0, 10);
    fixture.serve = c->serve;
    reply = ask(&fixture, CHAT, "{\"model\":\"s/a\"," MESSAGES "}");
    for (int i = 0; i < 4 && c->contains[i] != NULL; i++) {
        if (strstr(reply, c->contains[i]) == NULL) {
            g_error("no %s in %s", c->contains[i], reply);
        }
    }
    g_assert_cmpint(g_str_has_suffix(reply, "\r\n0\r\n\r\n"), ==,
                    c->last_chunk);
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against lists that name what callers can't use. */
struct list_case {
    const char *name;
    const char *head;
    const char *contains;
};

static const struct list_case list_cases[] = {
    {"models", "GET /v1/models HTTP/1.1",
     "{\"object\":\"list\",\"data\":[{\"id\":\"s/a\",\"object\":\"model\","
     "\"owned_by\":\"s\"}]}"},
    {"address", "GET /v1/address?service=s&data_centre=y HTTP/1.1",
     "{\"addresses\":[\"10.0.0.2:1\",\"127.0.0.1:0\"],\"keep_s\":0}"},
    {"address_unknown", "GET /v1/address?service=z HTTP/1.1",
     "unknown_service"},
    {"health", "GET /healthz HTTP/1.1", "ok\n"},
    {"metrics", "GET /metrics HTTP/1.1",
     "refused_total{reason=\"queue_full\"}"},
};

static void
test_list(gconstpointer data)
{
    const struct list_case *c = data;
    static struct fixture fixture;
    char *reply;

    fixture_open(&fixture, 0, 10);
    reply = ask(&fixture, c->head, "");
    if (strstr(reply, c->contains) == NULL) {
        g_error("no %s in %s", c->contains, reply);
    }
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against an instance that serves by a tree that it doesn't have. */
static void
test_not_ready(void)
{
    static struct fixture fixture;
    char *reply;

    fixture_open(&fixture, 0, 10);
    tree_unref(fixture.tree);
    fixture.tree = NULL;
    reply = ask(&fixture, CHAT, "{\"model\":\"s/a\"," MESSAGES "}");
    check_problem(reply, "not_ready");
    g_free(reply);
    reply = ask(&fixture, "GET /healthz HTTP/1.1", "");
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

/* Opens a call that stays open; returns its connection. */
static int
open_call(struct fixture *fixture)
{
    char *text =
        test_request(CHAT, "{\"model\":\"s/a\"," MESSAGES ",\"stream\":true}");
    int fd;

    fixture->serve = SERVE_HOLD;
    fd = test_connect(front_listen_port(fixture->front), text);
    g_free(text);
    g_free(read_until(fd, "data: a\n\n"));
    return fd;
}

/* Guards against a stop that cuts a call off, that takes new calls, or that
 * goes on naming the instance to callers. */
static void
test_graceful_stop(void)
{
    static struct fixture fixture;
    char *reply = NULL;
    int event;
    int fd;

    fixture_open(&fixture, 0, 3600);
    fd = open_call(&fixture);
    stop(&fixture);
    g_assert_cmpint(ring_pop(&fixture.events, &event, -1), ==, RING_OK);
    reply = ask(&fixture, "GET /v1/address HTTP/1.1", "");
    g_assert_nonnull(strstr(reply, "{\"addresses\":[\"10.0.0.2:1\"]"));
    do {
        g_free(reply);
        reply = ask(&fixture, CHAT, "{\"model\":\"s/a\"," MESSAGES "}");
    } while (g_str_has_prefix(reply, "HTTP/1.1 200"));
    check_problem(reply, "stopped");
    g_free(reply);
    call_write(fixture.calls, fixture.held, "data: b\n\n", 9);
    call_end_answer(fixture.calls, fixture.held, true);
    reply = test_read_all(fd);
    g_assert_nonnull(strstr(reply, "data: b\n\n"));
    g_assert_true(g_str_has_suffix(reply, "\r\n0\r\n\r\n"));
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against a stop that never ends because of one call. */
static void
test_drain_max(void)
{
    static struct fixture fixture;
    char *reply;
    int fd;

    fixture_open(&fixture, 0, 0);
    fd = open_call(&fixture);
    stop(&fixture);
    reply = test_read_all(fd);
    g_assert_nonnull(strstr(reply, "event: error\n"));
    g_assert_nonnull(strstr(reply, "refusal:stopped"));
    g_assert_false(g_str_has_suffix(reply, "\r\n0\r\n\r\n"));
    g_free(reply);
    fixture_close(&fixture);
}

/* Guards against an instance that is gone while callers keep its address. */
static void
test_keep(void)
{
    static struct fixture fixture;
    int64_t start_ms;

    fixture_open(&fixture, 1, 0);
    start_ms = clock_now_ms();
    fixture_close(&fixture);
    g_assert_cmpint(clock_now_ms() - start_ms, >=, 1000);
}

/* Guards against a table of calls that stays full of callers who left. */
static void
test_caller_leaves(void)
{
    static struct fixture fixture;
    int fd;

    fixture_open(&fixture, 0, 3600);
    fd = open_call(&fixture);
    close(fd);
    while (call_write(fixture.calls, fixture.held, "data: b\n\n", 9)) {
    }
    fixture_close(&fixture);
}

static const struct cases groups[] = {
    CASES("/front/request", request_cases, check_request),
    CASES("/front/answer", answer_cases, test_answer),
    CASES("/front/list", list_cases, test_list),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/front/nul_byte", test_nul_byte);
    g_test_add_func("/front/not_ready", test_not_ready);
    g_test_add_func("/front/graceful_stop", test_graceful_stop);
    g_test_add_func("/front/drain_max", test_drain_max);
    g_test_add_func("/front/keep", test_keep);
    g_test_add_func("/front/caller_leaves", test_caller_leaves);
    return g_test_run();
}
