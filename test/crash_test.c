/*
 * Tests of requests that crash targets, in virtual time: the test's thread
 * runs the relay's event loop over real connections, and is caller and
 * targets.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <curl/curl.h>
#include <glib.h>
#include <http_parser.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "relay_fixture.h"

enum {
    TARGETS = 12,
    CONNECTIONS_MAX = 32,
    EVENTS_MAX = 64,
    EVENT_WAIT_MS = 10,
    ROUNDS_MAX = 2000, /* real time, for an answer that must come */
    PAUSE_MS = 400,    /* between requests */
    PROBE_IN_MS = 60000,
};

#define HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"
#define STREAM_HEAD                                                           \
    HEAD "Content-Type: text/event-stream\r\n"                                \
         "Transfer-Encoding: chunked\r\n\r\n"
#define UNFRAMED_HEAD HEAD "Content-Type: text/event-stream\r\n\r\n"
#define UNFRAMED_EVENT "id: 1\ndata: a\n\n"
#define EVENT1 "f\r\nid: 1\ndata: a\n\n\r\n"
#define EVENT2 "f\r\nid: 2\ndata: b\n\n\r\n"
#define STREAM STREAM_HEAD EVENT1 EVENT2 "0\r\n\r\n"
#define STREAM_REST STREAM_HEAD EVENT2 "0\r\n\r\n"

/* Parts whose requests targets leave without an answer, or without its end. */
#define HELD "bad:"
#define BEGUN "cafe:"

/* How a target ends the connection of a request that it doesn't answer. */
enum ending {
    ENDS_ALL,
    ENDS_AFTER_HEAD,
    ENDS_AFTER_EVENT,
    ENDS_AFTER_EVENTS,
    ENDS_UNLESS_RESUMED, /* after an event; the rest is complete */
    ENDS_UNFRAMED, /* after an event, as a response without a length ends */
    ENDS_CONNECTION,
    ENDS_AND_REFUSES, /* new connections */
};

struct target {
    int listener; /* -1 after a crash */
    int connections[CONNECTIONS_MAX];
    int count;
};

struct world {
    struct gate_settings settings;
    struct relay_port port;
    struct relay *relay;
    struct target targets[TARGETS];
    const char *deadly; /* in the header field that lists the parts */
    enum ending ending;
    int target_count;
    int requests_deadly; /* that reached targets */
    int held;            /* requests that targets leave without an answer */
    int64_t now_ms;
};

static void
drop_activity(struct relay_port *port, struct activity_report *report)
{
    (void)port;
    activity_report_free(report);
}

static void
ignore_drained(struct relay_port *port)
{
    (void)port;
}

static const struct relay_port_ops port_ops = {drop_activity,  drop_crashes,
                                               drop_leaving,   drop_pause,
                                               ignore_drained, drop_quota};

static int
listener_port(int fd)
{
    struct sockaddr_in address = {0};
    socklen_t bytes = sizeof(address);

    getsockname(fd, (struct sockaddr *)&address, &bytes);
    return ntohs(address.sin_port);
}

static int
listen_any(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)), ==,
                    0);
    g_assert_cmpint(listen(fd, 64), ==, 0);
    *port = listener_port(fd);
    return fd;
}

static void
world_start(struct world *world, int target_count)
{
    struct gate_config *config = parse_config();
    struct err err = {0};
    int port;

    world->now_ms = 100000;
    world->target_count = target_count;
    fill_settings(&world->settings);
    world->port.ops = &port_ops;
    world->relay =
        relay_new(&world->settings, &platform_dialect, &world->port, &err);
    g_assert_nonnull(world->relay);
    g_assert_true(relay_post_config(world->relay, config));
    gate_config_unref(config);
    for (int i = 0; i < world->target_count; i++) {
        world->targets[i].listener = listen_any(&port);
        post_target(world->relay, i, port);
    }
    relay_post_targets_listed(world->relay);
}

static void
end_connections(struct target *target)
{
    for (int i = 0; i < target->count; i++) {
        close(target->connections[i]);
    }
    target->count = 0;
}

static void
crash(struct target *target)
{
    end_connections(target);
    close(target->listener);
    target->listener = -1;
}

static void
world_stop(struct world *world)
{
    relay_free(world->relay);
    for (int i = 0; i < world->target_count; i++) {
        end_connections(&world->targets[i]);
        if (world->targets[i].listener >= 0) {
            close(world->targets[i].listener);
        }
    }
}

static int
crash_count(const struct world *world)
{
    int count = 0;

    for (int i = 0; i < world->target_count; i++) {
        count += world->targets[i].listener < 0;
    }
    return count;
}

static void
accept_all(struct target *target)
{
    int fd;

    while (target->listener >= 0 && target->count < CONNECTIONS_MAX &&
           (fd = accept(target->listener, NULL, NULL)) >= 0) {
        target->connections[target->count++] = fd;
    }
}

static bool
is_deadly(const struct world *world, const char *request)
{
    const char *field = strstr(request, "Prompt-Prefix: ");

    if (world->ending == ENDS_UNLESS_RESUMED &&
        strstr(request, "Last-Event-Id: ") != NULL) {
        return false;
    }
    return field != NULL && strstr(field, world->deadly) != NULL;
}

static void
end_under_request(struct world *world, struct target *target, int index)
{
    world->requests_deadly++;
    switch (world->ending) {
    case ENDS_CONNECTION:
        close(target->connections[index]);
        target->connections[index] = target->connections[--target->count];
        break;
    case ENDS_AND_REFUSES:
        close(target->connections[index]);
        target->connections[index] = target->connections[--target->count];
        close(target->listener);
        target->listener = -1;
        break;
    case ENDS_AFTER_HEAD:
        send_text(target->connections[index], HEAD "\r\n");
        crash(target);
        break;
    case ENDS_AFTER_EVENT:
    case ENDS_UNLESS_RESUMED:
        send_text(target->connections[index], STREAM_HEAD EVENT1);
        crash(target);
        break;
    case ENDS_AFTER_EVENTS:
        send_text(target->connections[index], STREAM_HEAD EVENT1 EVENT2);
        crash(target);
        break;
    case ENDS_UNFRAMED:
        send_text(target->connections[index], UNFRAMED_HEAD UNFRAMED_EVENT);
        crash(target);
        break;
    case ENDS_ALL:
        crash(target);
        break;
    }
}

/* A request of these tests comes in one piece. */
static void
serve(struct world *world, struct target *target)
{
    char bytes[4096];

    accept_all(target);
    for (int i = 0; i < target->count; i++) {
        ssize_t count = recv(target->connections[i], bytes, sizeof(bytes) - 1,
                             MSG_DONTWAIT);

        if (count == 0) {
            close(target->connections[i]);
            target->connections[i--] = target->connections[--target->count];
        }
        if (count <= 0) {
            continue;
        }
        bytes[count] = '\0';
        if (is_deadly(world, bytes)) {
            end_under_request(world, target, i);
            return;
        }
        if (strstr(bytes, HELD) != NULL || strstr(bytes, BEGUN) != NULL) {
            world->held++;
            if (strstr(bytes, BEGUN) != NULL) {
                send_text(target->connections[i], STREAM_HEAD EVENT1);
            }
            continue;
        }
        send_text(target->connections[i],
                  strstr(bytes, "Last-Event-Id: ") != NULL ? STREAM_REST
                                                           : STREAM);
    }
}

static void
step(struct world *world, int wait_ms)
{
    struct epoll_event events[EVENTS_MAX];
    int count =
        epoll_wait(world->relay->epoll_fd, events, EVENTS_MAX, wait_ms);

    relay_handle_events(world->relay, events, count, world->now_ms);
    for (int i = 0; i < world->target_count; i++) {
        serve(world, &world->targets[i]);
    }
}

static void
pass_time(struct world *world, int64_t duration_ms)
{
    int64_t end_ms = world->now_ms + duration_ms;

    while (world->now_ms < end_ms) {
        world->now_ms += 10;
        step(world, 0);
    }
}

/* "f.a.1" lists the parts f, a and 1. Returns the caller's connection. */
static int
send_request_to(struct world *world, const char *route, const char *parts)
{
    char **ids = g_strsplit(parts, ".", -1);
    char *list = g_strjoinv(":10,", ids);
    char *text = g_strdup_printf("GET /%s/1 HTTP/1.1\r\nHost: h\r\n"
                                 "Connection: close\r\nAttempt-Id: a\r\n"
                                 "Prompt-Prefix: %s:10\r\n\r\n",
                                 route, list);
    int caller = connect_to(relay_front_port(world->relay));

    send_text(caller, text);
    g_free(text);
    g_free(list);
    g_strfreev(ids);
    return caller;
}

static int
send_request(struct world *world, const char *parts)
{
    return send_request_to(world, "stream", parts);
}

/* Returns the status that the caller got; 0 for a closed connection. */
static int
request(struct world *world, const char *parts)
{
    int caller = send_request(world, parts);
    char answer[4096] = {0};
    size_t bytes = 0;
    ssize_t count = -1;

    for (int round = 0; count != 0; round++) {
        g_assert_cmpint(round, <, ROUNDS_MAX);
        step(world, EVENT_WAIT_MS);
        count = recv(caller, answer + bytes, sizeof(answer) - 1 - bytes,
                     MSG_DONTWAIT);
        bytes += count > 0 ? (size_t)count : 0;
    }
    close(caller);
    return bytes > 0 ? atoi(answer + strlen("HTTP/1.1 ")) : 0;
}

/*
 * Guards against requests that crash one target after the other because each
 * is taken for the first of its kind, and against sound requests that are
 * refused because they share parts with them.
 *
 * Steps: parts of a request, ":" and the status that its caller must get, "-"
 * for any.
 */
struct crash_case {
    const char *name;
    const char *deadly; /* in the list of parts */
    enum ending ending;
    const char *steps;
    int crashes_max;
    int reached_max; /* deadly requests that targets received */
};

static const struct crash_case crash_cases[] = {
    {"part_in_many_requests", "dead:", ENDS_ALL,
     "f.a.1:200 f.dead.2:- f.a.3:200 f.dead.4:- f.a.5:200 f.dead.6:503 "
     "f.dead.7:503 f.b.8:200 f.a.dead.9:503 f.a.10:200",
     4, 4},
    {"part_behind_shared_ones", "dead:", ENDS_ALL,
     "f.a.1:200 f.a.dead.2:- f.a.dead.3:- f.a.4:200 f.a.dead.5:503 f.a.6:200",
     4, 4},
    {"part_of_other_callers", "dead:", ENDS_ALL,
     "f.dead.1:- e.dead.2:- f.a.3:200 e.a.4:200 c.dead.5:503 c.a.6:200", 4, 4},
    {"first_part", "dead:", ENDS_ALL,
     "dead.a.1:- dead.b.2:- dead.c.3:503 f.a.4:200", 4, 4},
    {"after_the_head", "dead:", ENDS_AFTER_HEAD,
     "f.a.1:200 f.dead.2:- f.dead.3:- f.dead.4:503 f.a.5:200", 4, 4},
    {"behind_the_first_event", "dead:", ENDS_AFTER_EVENT,
     "f.a.1:200 f.dead.2:- f.dead.3:- f.a.4:200 f.dead.5:503 f.a.6:200", 4, 4},
    {"behind_two_events", "dead:", ENDS_AFTER_EVENTS,
     "f.a.1:200 f.dead.2:- f.dead.3:- f.a.4:200 f.dead.5:503 f.a.6:200", 4, 4},
    {"rest_is_answered", "dead:", ENDS_UNLESS_RESUMED,
     "f.a.1:200 f.dead.2:200 f.dead.3:200 f.a.4:200 f.dead.5:503 f.a.6:200", 2,
     2},
    {"behind_an_unframed_event", "dead:", ENDS_UNFRAMED,
     "f.a.1:200 f.dead.2:- f.dead.3:- f.a.4:200 f.dead.5:503 f.a.6:200", 4, 4},
    {"one_request_again", ",1:", ENDS_ALL,
     "f.a.2:200 f.a.1:- f.a.1:- f.a.1:503 f.a.1:503 f.a.3:200", 4, 4},
    {"connections_only", "dead:", ENDS_CONNECTION,
     "f.a.1:200 f.dead.2:502 f.dead.3:502 f.dead.4:502 f.dead.5:502 "
     "f.a.6:200",
     0, 8},
};

static void
play(struct world *world, const char *step_text)
{
    char **step_parts = g_strsplit(step_text, ":", 2);
    int status = request(world, step_parts[0]);

    if (strcmp(step_parts[1], "-") != 0 && atoi(step_parts[1]) != status) {
        g_test_message("request %s got %d", step_text, status);
        g_test_fail();
    }
    g_strfreev(step_parts);
    pass_time(world, PAUSE_MS);
}

static void
test_crash(gconstpointer data)
{
    const struct crash_case *c = data;
    struct world world = {.deadly = c->deadly, .ending = c->ending};
    char **steps = g_strsplit(c->steps, " ", -1);

    world_start(&world, TARGETS);
    for (int i = 0; steps[i] != NULL; i++) {
        play(&world, steps[i]);
    }
    g_assert_cmpint(crash_count(&world), <=, c->crashes_max);
    g_assert_cmpint(world.requests_deadly, <=, c->reached_max);
    g_strfreev(steps);
    world_stop(&world);
}

static void
post_verdict(struct world *world, uint64_t key, int level, int64_t probe_in_ms)
{
    struct crash_report *report = crash_report_new();
    struct trait_verdict verdict = {
        .traits = {{{key, 1}}, 1},
        .since_ms = world->now_ms,
        .probe_ms = world->now_ms + probe_in_ms,
        .seen_ms = world->now_ms,
        .level = level,
    };

    g_array_append_val(report->verdicts, verdict);
    relay_post_crashes(world->relay, report);
}

/*
 * Guards against a request that still crashes its target although the instance
 * knows better by now: one that waits, one that its target has not begun; and
 * against a stream being cut that has shown to be sound, or that may show that
 * a doubtful verdict (@level below 0) is wrong.
 */
struct learnt_case {
    const char *name;
    const char *route;
    const char *parts;
    uint64_t key;
    int level;
    bool held;          /* at a target */
    const char *answer; /* beginning; "" when the request goes on */
    const char *field;  /* of the answer; NULL for none */
};

static const struct learnt_case learnt_cases[] = {
    {"not_begun", "stream", "f.bad.1", 0xbad, 0, true, "HTTP/1.1 502",
     "\"outcome\":\"unknown\""},
    {"waiting", "empty", "f.bad.1", 0xbad, 0, false, "HTTP/1.1 503",
     "\"outcome\":\"not_run\""},
    {"retry_after", "empty", "f.bad.1", 0xbad, 0, false, "HTTP/1.1 503",
     "Retry-After: 59."},
    {"begun", "stream", "f.cafe.1", 0xcafe, 0, true, "", NULL},
    {"other_part", "stream", "f.bad.1", 0xdead, 0, true, "", NULL},
    {"doubtful_not_begun", "stream", "f.bad.1", 0xbad, -1, true, "", NULL},
    {"doubtful_waiting", "empty", "f.bad.1", 0xbad, -1, false, "HTTP/1.1 503",
     "\"outcome\":\"not_run\""},
    {"own_part", "stream", "f.a.bad", 0xbad, 0, true, "", NULL},
};

/* What the caller has received beyond the beginning of a stream. */
static char *
receive_answer(struct world *world, int caller)
{
    char bytes[4096];
    GString *text = g_string_new(NULL);
    ssize_t count;

    pass_time(world, PAUSE_MS);
    while ((count = recv(caller, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
        g_string_append_len(text, bytes, count);
    }
    if (count == 0 && text->len == 0) {
        g_string_assign(text, "closed");
    }
    return g_string_free(text, FALSE);
}

static void
test_learnt(gconstpointer data)
{
    const struct learnt_case *c = data;
    struct world world = {.deadly = "none", .ending = ENDS_ALL};
    int caller;
    char *text;

    world_start(&world, 1);
    caller = send_request_to(&world, c->route, c->parts);
    while (c->held && world.held == 0) {
        step(&world, EVENT_WAIT_MS);
    }
    text = receive_answer(&world, caller);
    g_free(text);
    post_verdict(&world, c->key, c->level, PROBE_IN_MS);
    text = receive_answer(&world, caller);
    g_assert_cmpstr(c->answer[0] != '\0' ? "" : text, ==, "");
    g_assert_true(g_str_has_prefix(text, c->answer));
    g_assert_true(c->field == NULL || strstr(text, c->field) != NULL);
    g_free(text);
    close(caller);
    world_stop(&world);
}

/* Guards against a request that is let through to see whether it still crashes
 * targets, and is then sent to a second one. */
static void
test_probe(void)
{
    struct world world = {.deadly = "dead:", .ending = ENDS_ALL};
    int status;

    world_start(&world, TARGETS);
    post_verdict(&world, 0xdead, 0, 0);
    status = request(&world, "f.dead.1");
    g_assert_cmpint(status, ==, 502);
    pass_time(&world, PAUSE_MS);
    status = request(&world, "f.dead.2");
    g_assert_cmpint(status, ==, 503);
    g_assert_cmpint(crash_count(&world), ==, 1);
    world_stop(&world);
}

/* Guards against crashes that are not noticed because a target is back before
 * a connection is refused. */
static void
test_restarted(void)
{
    struct world world = {.deadly = "dead:", .ending = ENDS_CONNECTION};
    struct target_change change = {.kind = TARGET_CHANGED};
    static const char *const requests[] = {"f.dead.1", "f.a.2", "f.dead.3"};
    int port;

    world_start(&world, 1);
    port = listener_port(world.targets[0].listener);
    g_strlcpy(change.info.id, "i-0", sizeof(change.info.id));
    g_strlcpy(change.info.service, "s", sizeof(change.info.service));
    g_strlcpy(change.info.zone, "z", sizeof(change.info.zone));
    g_snprintf(change.info.address, ADDRESS_MAX_BYTES, "127.0.0.1:%d", port);
    change.info.slots = 8;
    for (size_t i = 0; i < G_N_ELEMENTS(requests); i++) {
        int caller = send_request(&world, requests[i]);

        pass_time(&world, PAUSE_MS);
        change.info.started_ms++;
        relay_post_target_change(world.relay, &change);
        pass_time(&world, PAUSE_MS);
        close(caller);
    }
    g_assert_true(quarantine_names(&world.relay->crashes->quarantine, 0xdead));
    world_stop(&world);
}

/* Guards against a target at its limit of connections, which refuses new ones,
 * that counts as crashed while it serves others. */
static void
test_full_target(void)
{
    struct world world = {.deadly = "dead:", .ending = ENDS_AND_REFUSES};
    int caller;
    int held;

    world_start(&world, 1);
    held = send_request(&world, "f.bad.1");
    while (world.held == 0) {
        step(&world, EVENT_WAIT_MS);
    }
    caller = send_request(&world, "f.dead.2");
    while (world.requests_deadly == 0) {
        step(&world, EVENT_WAIT_MS);
    }
    pass_time(&world, PAUSE_MS);
    g_assert_cmpint(world.relay->crashes->crashes.count, ==, 0);
    close(held);
    close(caller);
    world_stop(&world);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/crash/relay", crash_cases, test_crash),
        CASES("/crash/learnt", learnt_cases, test_learnt),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/crash/full_target", test_full_target);
    g_test_add_func("/crash/probe", test_probe);
    g_test_add_func("/crash/restarted", test_restarted);
    return g_test_run();
}
