/* Tests of the path of a call through the front, route and forward duties to
 * two targets. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/fns.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/forward/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "client.h"
#include "serve.h"
#include "target.h"
#include "cases.h"

enum { WORKERS = 4, SEED = 20261204, TARGETS = 2 };

struct fixture {
    struct route_port route_port;
    struct forward_port forward_port;
    struct frontend_port front_port;
    struct tree *tree;
    struct calls *calls;
    struct route *route;
    struct forward *forward;
    struct frontend *front;
    struct supervisor serve;
    pthread_t thread;
    struct target_server targets[TARGETS];
};

static struct fixture fixture;

static bool
on_attempt(struct route_port *port, const struct attempt *attempt,
           struct err *err)
{
    (void)port;
    return forward_post_attempt(fixture.forward, attempt, err);
}

/* Nothing is loaded in this test: a leaf that no target has stays unloaded. */
static bool
on_request_load(struct route_port *port, const struct load_request *request,
                struct err *err)
{
    (void)port;
    (void)request;
    (void)err;
    return true;
}

static void
on_report_use(struct route_port *port, uint64_t leaf)
{
    (void)port;
    (void)leaf;
}

static bool
on_request_claim(struct route_port *port, const struct claim_request *request,
                 struct err *err)
{
    struct claim_result result = {request->call, request->token, ERR_NONE};

    (void)port;
    return route_post_claim_result(fixture.route, &result, err);
}

static void
on_release_claim(struct route_port *port, const struct claim_request *request)
{
    (void)port;
    (void)request;
}

static void
on_strike(struct route_port *port, uint64_t fingerprint, uint64_t target,
          uint64_t incarnation)
{
    (void)port;
    (void)fingerprint;
    (void)target;
    (void)incarnation;
}

static struct tree *
on_route_tree(struct route_port *port)
{
    (void)port;
    return tree_ref(fixture.tree);
}

static void
on_state(struct route_port *port, struct config_state *state)
{
    (void)port;
    state->ready = true;
}

static const struct route_port_ops route_ops = {
    on_attempt,       on_request_load, on_report_use, on_request_claim,
    on_release_claim, on_strike,       on_route_tree, on_state,
};

static void
on_report_result(struct forward_port *port,
                 const struct attempt_result *result)
{
    (void)port;
    g_assert_true(route_post_result(fixture.route, result, NULL));
}

static void
on_report_notice(struct forward_port *port, const struct target_notice *notice)
{
    (void)port;
    (void)notice;
}

static const struct forward_port_ops forward_ops = {on_report_result,
                                                    on_report_notice};

static bool
on_submit(struct frontend_port *port, struct handle call, struct err *err)
{
    (void)port;
    return route_post_call(fixture.route, call, err);
}

static struct tree *
on_front_tree(struct frontend_port *port)
{
    (void)port;
    return tree_ref(fixture.tree);
}

static int
on_members(struct frontend_port *port, struct member_info *infos, int max)
{
    (void)port;
    (void)infos;
    (void)max;
    return 0;
}

static void
on_leave(struct frontend_port *port)
{
    (void)port;
}

static const struct frontend_port_ops front_ops = {on_submit, on_front_tree,
                                                   on_members, on_leave};

static void *
run_serve(void *argument)
{
    struct err err = {0};

    g_assert_true(supervisor_run(argument, &err));
    return NULL;
}

/* The first target is in the same data centre, so it is selected first. */
static void
post_reports(void)
{
    for (int i = 0; i < TARGETS; i++) {
        struct target_report report = {
            .id = (uint64_t)i + 1,
            .service = "s",
            .incarnation = 1,
            .loaded_count = 1,
            .loaded = {hash_text("/s/a")},
        };

        g_strlcpy(report.data_centre, i == 0 ? "x" : "y",
                  sizeof(report.data_centre));
        snprintf(report.address, sizeof(report.address), "127.0.0.1:%d",
                 fixture.targets[i].port);
        g_assert_true(route_post_report(fixture.route, &report, NULL));
    }
}

static void
fixture_open(void)
{
    struct frontend_settings settings = {"127.0.0.1:0", 4096, 0, 3600};

    memset(&fixture, 0, sizeof(fixture));
    fixture.route_port.ops = &route_ops;
    fixture.forward_port.ops = &forward_ops;
    fixture.front_port.ops = &front_ops;
    fixture.tree = test_tree("/s type \"service\"; /s/a type \"model\"");
    fixture.calls = calls_new(WORKERS, NULL);
    fixture.route =
        route_new(fixture.calls, "x", SEED, &fixture.route_port, NULL);
    fixture.forward =
        forward_new(fixture.calls, WORKERS, &fixture.forward_port, NULL);
    fixture.front =
        frontend_new(fixture.calls, &settings, &fixture.front_port, NULL);
    for (int i = 0; i < TARGETS; i++) {
        server_start(&fixture.targets[i]);
    }
    supervisor_init(&fixture.serve, "serve");
    supervisor_add(&fixture.serve, route_duty(fixture.route));
    supervisor_add(&fixture.serve, forward_duty(fixture.forward));
    supervisor_add(&fixture.serve, frontend_duty(fixture.front));
    pthread_create(&fixture.thread, NULL, run_serve, &fixture.serve);
    post_reports();
}

static void
fixture_close(void)
{
    supervisor_stop(&fixture.serve);
    pthread_join(fixture.thread, NULL);
    g_assert_cmpuint(calls_count(fixture.calls), ==, 0);
    for (int i = 0; i < TARGETS; i++) {
        server_stop(&fixture.targets[i]);
    }
    supervisor_free(&fixture.serve);
    frontend_free(fixture.front);
    forward_free(fixture.forward);
    route_free(fixture.route);
    calls_free(fixture.calls);
    tree_unref(fixture.tree);
}

#define SSE "text/event-stream"
#define JSON "application/json"
#define EVENT(text)                                                           \
    "data: {\"choices\":[{\"delta\":{\"content\":\"" text "\"}}]}\n\n"
#define DONE "data: [DONE]\n\n"
#define COMPLETE                                                              \
    RESPONSE(200, JSON, NULL, "{\"text\":\"whole\"}", END_OK, 0, 0)
#define TRUNCATED RESPONSE(200, JSON, NULL, "{\"text\":", END_ABORT, 0, 0)
#define NOT_LOADED                                                            \
    RESPONSE(404, JSON, NULL, "{\"error\":\"not_loaded\"}", END_OK, 0, 0)
#define STREAM(text, end) RESPONSE(200, SSE, NULL, text, end, 0, 0)
#define NO_STREAM                                                             \
    RESPONSE(404, JSON, NULL, "{\"error\":\"unknown_stream\"}", END_OK, 0, 0)

/**
 * struct path_case - a chat request, the targets' responses and the reply
 * @at_most_once: the call has an idempotency key and may run only once
 * @responses: responses of each target
 * @contains: parts of the reply, without chunk framing
 * @complete: the reply has its last chunk
 * @request_counts: number of requests that each target must receive
 */
struct path_case {
    const char *name;
    bool stream;
    bool at_most_once;
    struct canned_response responses[TARGETS][RESPONSES_MAX];
    const char *contains;
    bool complete;
    int request_counts[TARGETS];
};

/* Guards against a response that is lost, duplicated or mixed up between the
 * duties, and against repeating a call that may not be repeated. */
static const struct path_case path_cases[] = {
    {"complete",
     false,
     false,
     {{COMPLETE}, {COMPLETE}},
     "whole",
     true,
     {1, 0}},
    {"not_loaded_then_other",
     false,
     false,
     {{NOT_LOADED}, {COMPLETE}},
     "whole",
     true,
     {1, 1}},
    {"broken_then_other",
     false,
     false,
     {{TRUNCATED}, {COMPLETE}},
     "whole",
     true,
     {1, 1}},
    {"at_most_once",
     false,
     true,
     {{COMPLETE}, {COMPLETE}},
     "whole",
     true,
     {1, 0}},
    {"at_most_once_not_loaded",
     false,
     true,
     {{NOT_LOADED}, {COMPLETE}},
     "whole",
     true,
     {1, 1}},
    {"at_most_once_broken",
     false,
     true,
     {{TRUNCATED, COMPLETE, COMPLETE}, {COMPLETE}},
     "\"outcome\":\"unknown\"",
     false,
     {1, 0}},
    {"stream",
     true,
     false,
     {{STREAM(EVENT("a") EVENT("b") DONE, END_OK)}, {COMPLETE}},
     EVENT("a") EVENT("b") DONE,
     true,
     {1, 0}},
    {"resumed_at_same_target",
     true,
     false,
     {{STREAM(EVENT("a"), END_ABORT), STREAM(EVENT("b") DONE, END_OK)},
      {COMPLETE}},
     EVENT("a") EVENT("b") DONE,
     true,
     {2, 0}},
    {"resumed_at_other_target",
     true,
     false,
     {{STREAM(EVENT("a"), END_ABORT), NO_STREAM, NO_STREAM},
      {STREAM(EVENT("b") DONE, END_OK)}},
     EVENT("a") EVENT("b") DONE,
     true,
     {2, 1}},
    {"resume_fails",
     true,
     false,
     {{STREAM(EVENT("a"), END_ABORT), NO_STREAM, NO_STREAM},
      {STREAM(EVENT("b"), END_ABORT)}},
     EVENT("a") EVENT("b") "event: error\n",
     false,
     {2, 1}},
};

/* The body without chunk framing. */
static char *
decode_chunks(const char *reply)
{
    const char *next = strstr(reply, "\r\n\r\n");
    GString *body = g_string_new(NULL);
    char *end;

    next = next != NULL ? next + 4 : "";
    for (;;) {
        size_t bytes = strtoul(next, &end, 16);

        if (end == next || bytes == 0 || strlen(end) < bytes + 4) {
            return g_string_free(body, FALSE);
        }
        g_string_append_len(body, end + 2, (gssize)bytes);
        next = end + 2 + bytes + 2;
    }
}

static void
test_path(gconstpointer data)
{
    const struct path_case *c = data;
    char *text = test_request(
        c->at_most_once
            ? "POST /v1/chat/completions HTTP/1.1\r\nIdempotency-Key: k1"
            : "POST /v1/chat/completions HTTP/1.1",
        c->stream ? "{\"model\":\"s/a\",\"messages\":[],\"stream\":true}"
                  : "{\"model\":\"s/a\",\"messages\":[]}");
    char *reply;
    char *body;

    fixture_open();
    for (int i = 0; i < TARGETS; i++) {
        memcpy(fixture.targets[i].responses, c->responses[i],
               sizeof(c->responses[i]));
    }
    reply =
        test_read_all(test_connect(frontend_listen_port(fixture.front), text));
    body = decode_chunks(reply);
    if (strstr(c->complete ? body
               : c->stream ? body
                           : reply,
               c->contains) == NULL) {
        g_error("no %s in %s", c->contains, reply);
    }
    g_assert_cmpint(g_str_has_suffix(reply, "\r\n0\r\n\r\n"), ==, c->complete);
    for (int i = 0; i < TARGETS; i++) {
        g_assert_cmpint(atomic_load(&fixture.targets[i].response_count), ==,
                        c->request_counts[i]);
    }
    fixture_close();
    g_free(text);
    g_free(reply);
    g_free(body);
}

/* Guards against a server that waits with select(), which fails for
 * descriptors above 1023. */
static void
test_many_descriptors(void)
{
    enum { SELECT_MAX = 1024, SPARE = 512 };
    struct rlimit limit;
    GArray *fds = g_array_new(FALSE, FALSE, sizeof(int));
    char *text = test_request("POST /v1/chat/completions HTTP/1.1",
                              "{\"model\":\"s/a\",\"messages\":[]}");
    char *reply;
    int fd = 0;

    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = MIN(limit.rlim_max, SELECT_MAX + SPARE);
    g_assert_cmpint(setrlimit(RLIMIT_NOFILE, &limit), ==, 0);
    fixture_open();
    fixture.targets[0].responses[0] = (struct canned_response)COMPLETE;
    while (fd < SELECT_MAX) {
        fd = dup(STDIN_FILENO);
        g_assert_cmpint(fd, >=, 0);
        g_array_append_val(fds, fd);
    }
    reply =
        test_read_all(test_connect(frontend_listen_port(fixture.front), text));
    g_assert_nonnull(strstr(reply, "whole"));
    for (guint i = 0; i < fds->len; i++) {
        close(g_array_index(fds, int, i));
    }
    fixture_close();
    g_array_free(fds, TRUE);
    g_free(text);
    g_free(reply);
}

static const struct cases groups[] = {
    CASES("/path", path_cases, test_path),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/path/many_descriptors", test_many_descriptors);
    return g_test_run();
}
