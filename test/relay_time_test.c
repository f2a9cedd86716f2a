/*
 * Tests of the relay in virtual time: the test's thread runs its event loop
 * over real connections and passes the time. Targets and callers are sockets
 * of the same thread.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <http_parser.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
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
    EVENTS_MAX = 64,
    EVENT_WAIT_MS = 5000, /* real time, for events that must come */
    HEAD_TIMEOUT_MS = 3000,
    GRACE_MS = 8000,
    DISCARD_MS = 1000, /* for the rest of a response that is discarded */
};

#define REQUEST(path)                                                         \
    "GET " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n"
#define ANSWER_HEAD "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"

struct fixture {
    struct gate_settings settings;
    struct relay_port port;
    struct relay *relay;
    int reports;
    int target_listener;
    int target; /* connection of the relay to the target; -1 for none */
    int64_t now_ms;
};

static void
count_activity(struct relay_port *port, struct activity_report *report)
{
    struct fixture *fixture =
        (struct fixture *)((char *)port - offsetof(struct fixture, port));

    fixture->reports++;
    activity_report_free(report);
}

static void
ignore_drained(struct relay_port *port)
{
    (void)port;
}

static const struct relay_port_ops port_ops = {count_activity, drop_crashes,
                                               drop_leaving,   drop_pause,
                                               ignore_drained, drop_quota};

static void
post_limits(struct relay *relay, int version, int idle_timeout_ms)
{
    char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"once\",\"host\":\"h\",\"path_prefix\":\"/once/\","
        "\"kind\":\"non_idempotent\",\"timeout_ms\":20000,"
        "\"latency_goal_ms\":500,\"max_attempts\":1,\"service\":\"s\"},"
        "{\"name\":\"stream\",\"host\":\"h\",\"path_prefix\":\"/stream/\","
        "\"kind\":\"stream\",\"resumable\":true,\"timeout_ms\":20000,"
        "\"latency_goal_ms\":500,\"gap_aim_ms\":300,\"max_attempts\":1,"
        "\"service\":\"s\"},"
        "{\"name\":\"twice\",\"host\":\"h\",\"path_prefix\":\"/twice/\","
        "\"kind\":\"stream\",\"resumable\":true,\"timeout_ms\":20000,"
        "\"latency_goal_ms\":500,\"gap_aim_ms\":300,\"max_attempts\":2,"
        "\"service\":\"s\"},"
        "{\"name\":\"safe\",\"host\":\"h\",\"path_prefix\":\"/safe/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":20000,"
        "\"latency_goal_ms\":150,\"max_attempts\":2,\"service\":\"s\"}],"
        "\"services\":[{\"name\":\"s\"}],"
        "\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":100000,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":%d}}",
        version, idle_timeout_ms);
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(text, strlen(text), &err);

    g_assert_cmpstr(err.text, ==, "");
    g_assert_true(relay_post_config(relay, config));
    gate_config_unref(config);
    g_free(text);
}

static void
post_config(struct relay *relay)
{
    post_limits(relay, 1, 15000);
}

static int
listen_any(int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)), ==,
                    0);
    g_assert_cmpint(listen(fd, 16), ==, 0);
    getsockname(fd, (struct sockaddr *)&address, &bytes);
    *port = ntohs(address.sin_port);
    return fd;
}

/* Returns the listener of the target. */
static int
add_target(struct fixture *fixture, int index)
{
    int port;
    int listener = listen_any(&port);

    post_target(fixture->relay, index, port);
    relay_post_targets_listed(fixture->relay);
    return listener;
}

static void
fixture_start_without_config(struct fixture *fixture)
{
    struct err err = {0};

    memset(fixture, 0, sizeof(*fixture));
    fixture->target = -1;
    fixture->now_ms = 100000;
    fill_settings(&fixture->settings);
    fixture->port.ops = &port_ops;
    fixture->relay =
        relay_new(&fixture->settings, &platform_dialect, &fixture->port, &err);
    g_assert_nonnull(fixture->relay);
    fixture->target_listener = add_target(fixture, 0);
}

static void
fixture_start(struct fixture *fixture)
{
    fixture_start_without_config(fixture);
    post_config(fixture->relay);
}

static void
fixture_stop(struct fixture *fixture)
{
    relay_free(fixture->relay);
    close(fixture->target_listener);
    if (fixture->target >= 0) {
        close(fixture->target);
    }
}

/* Handles the events that are there, and all that is due. Returns false when
 * the relay says that the process may end. */
static bool
step(struct fixture *fixture, int wait_ms)
{
    struct epoll_event events[EVENTS_MAX];
    int count =
        epoll_wait(fixture->relay->epoll_fd, events, EVENTS_MAX, wait_ms);

    return relay_handle_events(fixture->relay, events, count, fixture->now_ms);
}

/* Runs the relay from one due time to the next. Returns how often it woke. */
static int
advance(struct fixture *fixture, int64_t duration_ms)
{
    int64_t end_ms = fixture->now_ms + duration_ms;
    int wakeups = 0;

    while (fixture->now_ms < end_ms) {
        int64_t due_ms = relay_next_due_ms(fixture->relay, fixture->now_ms);

        g_assert_cmpint(wakeups, <, 100000);
        fixture->now_ms = CLAMP(due_ms, fixture->now_ms, end_ms);
        step(fixture, 0);
        wakeups++;
    }
    return wakeups;
}

static int
connect_caller(struct fixture *fixture)
{
    return connect_to(relay_front_port(fixture->relay));
}

static bool
is_readable(int fd)
{
    char byte;
    ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Sends a request and accepts the relay's connection to the target. */
static void
send_request(struct fixture *fixture, int caller, const char *request)
{
    send_text(caller, request);
    while (fixture->target < 0) {
        step(fixture, EVENT_WAIT_MS);
        if (table_count(&fixture->relay->upstreams) > 0) {
            fixture->target = accept(fixture->target_listener, NULL, NULL);
        }
    }
    while (!is_readable(fixture->target)) {
        step(fixture, EVENT_WAIT_MS);
    }
}

static void
answer(struct fixture *fixture, const char *text)
{
    send_text(fixture->target, text);
    step(fixture, EVENT_WAIT_MS);
}

static char *
read_some(int caller)
{
    char bytes[4096];
    ssize_t count = recv(caller, bytes, sizeof(bytes), 0);

    g_assert_cmpint(count, >, 0);
    return g_strndup(bytes, (gsize)count);
}

/* Waits for the end of the caller's connection and returns what it got. */
static char *
read_to_end(struct fixture *fixture, int caller)
{
    GString *text = g_string_new(NULL);
    char bytes[4096];
    ssize_t count = 1;

    for (int rounds = 0; count != 0; rounds++) {
        g_assert_cmpint(rounds, <, 100000);
        step(fixture, 0);
        count = recv(caller, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count > 0) {
            g_string_append_len(text, bytes, count);
        }
        else if (count < 0 && errno != EAGAIN) {
            break;
        }
    }
    return g_string_free(text, FALSE);
}

/* Guards against a thread that wakes again and again while nothing is due. */
static void
test_idle_wakeups(void)
{
    struct fixture fixture;
    int wakeups;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    advance(&fixture, 1000);
    fixture.reports = 0;
    wakeups = advance(&fixture, 2500);
    g_assert_cmpint(fixture.reports, ==, 10);
    g_assert_cmpint(wakeups, <=, fixture.reports + 1);
    fixture_stop(&fixture);
}

/* Guards against the same while a request has just started to wait. */
static void
test_waiting_wakeups(void)
{
    struct fixture fixture;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    advance(&fixture, 1000);
    fixture.relay->report_soon = true;
    g_assert_cmpint(advance(&fixture, 20), <=, 2);
    g_assert_cmpint(fixture.relay->last_report_ms, <=, fixture.now_ms);
    fixture_stop(&fixture);
}

/* Guards against a connection that can't be accepted, for lack of descriptors,
 * waking the thread until one is free, and against one that is forgotten. */
static void
test_no_descriptors(void)
{
    struct rlimit before;
    struct rlimit limit;
    struct epoll_event event;
    struct fixture fixture;
    int caller;
    int free_fd;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = socket(AF_INET, SOCK_STREAM, 0);
    free_fd = open("/dev/null", O_RDONLY);
    close(free_fd);
    getrlimit(RLIMIT_NOFILE, &before);
    limit = before;
    limit.rlim_cur = (rlim_t)free_fd;
    setrlimit(RLIMIT_NOFILE, &limit);
    close(caller);
    caller = connect_caller(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    g_assert_cmpint(table_count(&fixture.relay->clients), ==, 0);
    g_assert_cmpint(epoll_wait(fixture.relay->epoll_fd, &event, 1, 0), ==, 0);
    g_assert_cmpint(advance(&fixture, 90), <=, 2);
    setrlimit(RLIMIT_NOFILE, &before);
    advance(&fixture, 100);
    g_assert_cmpint(table_count(&fixture.relay->clients), ==, 1);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against requests that are refused in the first moments after a start,
 * and against callers that are kept waiting when no configuration comes. */
static void
test_start(void)
{
    struct fixture fixture;
    int64_t start_ms;
    char *text;
    int caller;

    fixture_start_without_config(&fixture);
    caller = connect_caller(&fixture);
    send_text(caller, REQUEST("/once/1"));
    start_ms = fixture.now_ms;
    step(&fixture, 0);
    advance(&fixture, FRONT_HOLD_MS - 1);
    g_assert_cmpint(table_count(&fixture.relay->clients), ==, 0);
    post_config(fixture.relay);
    while (table_count(&fixture.relay->upstreams) == 0) {
        step(&fixture, EVENT_WAIT_MS);
    }
    g_assert_cmpint(fixture.now_ms - start_ms, <, FRONT_HOLD_MS);
    close(caller);
    fixture_stop(&fixture);

    fixture_start_without_config(&fixture);
    caller = connect_caller(&fixture);
    send_text(caller, REQUEST("/once/1"));
    step(&fixture, 0);
    advance(&fixture, FRONT_HOLD_MS);
    while (!is_readable(caller)) {
        step(&fixture, EVENT_WAIT_MS);
    }
    text = read_some(caller);
    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(text, "Retry-After: 0.300"));
    g_free(text);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against leaks when a listener can't be opened. */
static void
test_no_listener(void)
{
    struct gate_settings settings = {0};
    struct err err = {0};

    fill_settings(&settings);
    g_strlcpy(settings.lookup_address, "no address", ADDRESS_MAX_BYTES);
    g_assert_null(relay_new(&settings, &platform_dialect, NULL, &err));
    g_assert_cmpint(err.kind, !=, ERR_NONE);
}

/* Guards against a request that arrives a byte at a time and occupies its
 * connection for ever, and against a slow but sound upload that is cut. */
struct reading_case {
    const char *name;
    const char *start;  /* sent at once */
    const char *repeat; /* then sent each @pause_ms */
    int64_t pause_ms;
    int count;
    const char *prefix; /* of the answer; NULL when none is due */
};

#define UPLOAD                                                                \
    "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"                   \
    "Content-Length: 20000\r\n\r\n"
#define BYTES_10 "0123456789"
#define BYTES_100                                                             \
    BYTES_10 BYTES_10 BYTES_10 BYTES_10 BYTES_10 BYTES_10 BYTES_10 BYTES_10   \
        BYTES_10 BYTES_10
#define BYTES_1000                                                            \
    BYTES_100 BYTES_100 BYTES_100 BYTES_100 BYTES_100 BYTES_100 BYTES_100     \
        BYTES_100 BYTES_100 BYTES_100

static const struct reading_case reading_cases[] = {
    {"head_by_bytes", "GET /once/1 HTTP/1.1\r\nX: ", "y", 1000, 5,
     "HTTP/1.1 408"},
    {"body_by_bytes", UPLOAD, "y", 1000, 5, "HTTP/1.1 408"},
    {"slow_upload", UPLOAD, BYTES_1000, 900, 12, NULL},
    {"chunk_sizes",
     "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "1;x=y\r\nz\r\n", 1000, 5, "HTTP/1.1 408"},
};

static void
test_reading(gconstpointer data)
{
    const struct reading_case *c = data;
    struct fixture fixture;
    char *text;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_text(caller, c->start);
    step(&fixture, EVENT_WAIT_MS);
    step(&fixture, EVENT_WAIT_MS);
    for (int i = 0; i < c->count && !is_readable(caller); i++) {
        advance(&fixture, c->pause_ms);
        if (!is_readable(caller)) {
            send_text(caller, c->repeat);
            step(&fixture, EVENT_WAIT_MS);
        }
    }
    if (c->prefix == NULL) {
        g_assert_false(is_readable(caller));
    }
    else {
        g_assert_true(is_readable(caller));
        text = read_to_end(&fixture, caller);
        g_assert_true(g_str_has_prefix(text, c->prefix));
        g_free(text);
    }
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a limit that does not hold when a request arrives in one
 * read. */
struct limit_case {
    const char *name;
    int field_bytes;
    int body_bytes;
    const char *prefix;
};

static const struct limit_case limit_cases[] = {
    {"head", 5000, 0, "HTTP/1.1 431"},
    {"body", 0, 100001, "HTTP/1.1 413"},
};

static void
test_limit(gconstpointer data)
{
    const struct limit_case *c = data;
    struct fixture fixture;
    char *field = g_strnfill((gsize)c->field_bytes, 'x');
    char *body = g_strnfill((gsize)c->body_bytes, 'y');
    char *request = g_strdup_printf(
        "POST /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nX: %s\r\n"
        "Content-Length: %d\r\n\r\n%s",
        field, c->body_bytes, body);
    char *text;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_text(caller, request);
    text = read_to_end(&fixture, caller);
    g_assert_true(g_str_has_prefix(text, c->prefix));
    g_free(text);
    g_free(request);
    g_free(body);
    g_free(field);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a slow but sound stream that is cut, and against a stalled
 * one that stays where it is, beyond its deadline or although another target
 * has room, because bytes without data still arrive. */
struct stall_case {
    const char *name;
    const char *path;
    bool has_other;
    const char *repeat; /* a chunk that the target sends each @pause_ms */
    int64_t pause_ms;
    int count;
    int64_t cut_ms; /* silence after which its run ends; 0 for never */
};

enum { STREAM_TIMEOUT_MS = 20000 };

#define SLOW_EVENT "10\r\nid: %02d\ndata: a\n\n\r\n"
#define COMMENT "3\r\n:\n\n\r\n"
#define ID_ONLY "8\r\nid: %02d\n\n\r\n"
#define HALF_EVENT "8\r\ndata: x\n\r\n"

static const struct stall_case stall_cases[] = {
    {"slow_events", "/stream/1", true, SLOW_EVENT, 1900, 8, 0},
    {"comments", "/stream/1", true, COMMENT, 500, 50, STREAM_TIMEOUT_MS},
    {"ids_only", "/stream/1", true, ID_ONLY, 500, 50, STREAM_TIMEOUT_MS},
    {"half_events", "/stream/1", true, HALF_EVENT, 500, 50, STREAM_TIMEOUT_MS},
    {"comments_elsewhere", "/twice/1", true, COMMENT, 500, 8, 1200},
    {"ids_only_elsewhere", "/twice/1", true, ID_ONLY, 500, 8, 1200},
    {"half_events_elsewhere", "/twice/1", true, HALF_EVENT, 500, 8, 1200},
    {"comments_alone", "/twice/1", false, COMMENT, 500, 50, STREAM_TIMEOUT_MS},
};

static bool
is_closed(int fd)
{
    char bytes[READ_BUFFER_BYTES];
    ssize_t count;

    while ((count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) > 0) {
    }
    return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

static void
test_stall(gconstpointer data)
{
    const struct stall_case *c = data;
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n", c->path);
    struct fixture fixture;
    int64_t cut_ms = 0;
    int64_t start_ms;
    int other = -1;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, request);
    if (c->has_other) {
        other = add_target(&fixture, 1);
        step(&fixture, EVENT_WAIT_MS);
    }
    answer(&fixture, ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n"
                                 "10\r\nid: 00\ndata: a\n\n\r\n");
    start_ms = fixture.now_ms;
    for (int i = 1; i <= c->count && cut_ms == 0; i++) {
        char *chunk = g_strdup_printf(c->repeat, i);

        advance(&fixture, c->pause_ms);
        if (is_closed(fixture.target)) {
            cut_ms = fixture.now_ms - start_ms;
        }
        else {
            answer(&fixture, chunk);
        }
        g_free(chunk);
    }
    if (c->cut_ms == 0) {
        g_assert_cmpint(cut_ms, ==, 0);
    }
    else {
        g_assert_cmpint(cut_ms, >=, c->cut_ms);
        g_assert_cmpint(cut_ms, <, c->cut_ms + c->pause_ms);
    }
    close(caller);
    if (c->has_other) {
        close(other);
    }
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against a caller that leaves because the target it was sent to stays
 * silent, although another one could have answered in time, and against a
 * request that is taken back without need. */
struct move_case {
    const char *name;
    const char *start; /* sent by the first target; NULL for nothing */
    bool has_other;
    int64_t move_ms; /* silence after which the request moves; 0 for never */
};

static const struct move_case move_cases[] = {
    {"before_the_first_event", NULL, true, 1200},
    {"in_mid_stream",
     ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n"
                 "10\r\nid: 00\ndata: a\n\n\r\n",
     true, 1200},
    {"no_other_target", NULL, false, 0},
};

static void
test_move(gconstpointer data)
{
    const struct move_case *c = data;
    struct fixture fixture;
    int other = -1;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/twice/1"));
    if (c->has_other) {
        other = add_target(&fixture, 1);
        fcntl(other, F_SETFL, O_NONBLOCK);
        step(&fixture, EVENT_WAIT_MS);
    }
    if (c->start != NULL) {
        answer(&fixture, c->start);
    }
    if (c->move_ms == 0) {
        advance(&fixture, 2300);
        g_assert_cmpint(table_count(&fixture.relay->upstreams), ==, 1);
    }
    else {
        advance(&fixture, c->move_ms - 50);
        g_assert_cmpint(accept(other, NULL, NULL), <, 0);
        advance(&fixture, 100);
        close(fixture.target);
        fcntl(other, F_SETFL, 0);
        fixture.target = accept(other, NULL, NULL);
        while (!is_readable(fixture.target)) {
            step(&fixture, EVENT_WAIT_MS);
        }
        close(other);
    }
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against an answer that is ended because its target is silent, when
 * the request can't go elsewhere or another target turns it away. */
struct silence_case {
    const char *name;
    const char *path;
    const char *start; /* sent by the target; NULL for nothing */
    int events;        /* then sent 1 s apart */
    bool has_budget;
    int refusals; /* by any target, once the request has moved */
    int64_t silence_ms;
    const char *rest; /* then sent by the target */
    const char *end;  /* of what the caller gets */
};

#define STREAM_HEAD ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define EVENT_CHUNK "10\r\nid: %02d\ndata: a\n\n\r\n"
#define REST_EVENT(id) "10\r\nid: " id "\ndata: z\n\n\r\n0\r\n\r\n"
#define NOT_RUN                                                               \
    "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"               \
    "Content-Length: 0\r\n\r\n"

static const struct silence_case silence_cases[] = {
    {"no_attempt_left", "/stream/1", STREAM_HEAD, 1, true, 0, 3000,
     REST_EVENT("01"), "0\r\n\r\n"},
    {"no_budget", "/twice/1", STREAM_HEAD, 1, false, 0, 1500, REST_EVENT("01"),
     "0\r\n\r\n"},
    {"no_budget_before_the_head", "/twice/1", NULL, 0, false, 0, 1500,
     STREAM_HEAD REST_EVENT("00"), "0\r\n\r\n"},
    {"no_budget_for_a_body", "/safe/1", NULL, 0, false, 0, 1500,
     ANSWER_HEAD "Content-Length: 4\r\n\r\nwhat", "what"},
    {"turned_away_elsewhere", "/twice/1", STREAM_HEAD, 4, true, 1, 1250,
     REST_EVENT("04"), "0\r\n\r\n"},
    {"turned_away_often", "/twice/1", STREAM_HEAD, 1, true, 6, 1250,
     REST_EVENT("01"), "0\r\n\r\n"},
};

static void
read_until(struct fixture *fixture, int caller, const char *end)
{
    GString *text = g_string_new(NULL);
    char bytes[4096];

    while (!g_str_has_suffix(text->str, end)) {
        ssize_t count;

        step(fixture, 0);
        count = recv(caller, bytes, sizeof(bytes), MSG_DONTWAIT);
        g_assert_true(count > 0 || (count < 0 && errno == EAGAIN));
        g_string_append_len(text, bytes, MAX(count, 0));
    }
    g_assert_true(g_str_has_prefix(text->str, "HTTP/1.1 200"));
    g_string_free(text, TRUE);
}

/* Waits for a connection of the relay to either target, and a request on it.
 */
static int
accept_either(struct fixture *fixture, int other)
{
    int connection = -1;

    fcntl(fixture->target_listener, F_SETFL, O_NONBLOCK);
    fcntl(other, F_SETFL, O_NONBLOCK);
    for (int i = 0; connection < 0 && i < 60; i++) {
        connection = accept(fixture->target_listener, NULL, NULL);
        if (connection < 0) {
            connection = accept(other, NULL, NULL);
        }
        if (connection < 0) {
            advance(fixture, 10);
        }
    }
    g_assert_cmpint(connection, >=, 0);
    while (!is_readable(connection)) {
        step(fixture, EVENT_WAIT_MS);
    }
    return connection;
}

/* The targets turn the request away, then one takes it. */
static void
turn_away(struct fixture *fixture, int other, int refusals)
{
    for (int i = 0; i < refusals; i++) {
        int connection = accept_either(fixture, other);

        send_text(connection, NOT_RUN);
        step(fixture, EVENT_WAIT_MS);
        close(connection);
    }
    close(fixture->target);
    fixture->target = accept_either(fixture, other);
    answer(fixture, STREAM_HEAD);
}

static void
test_silence(gconstpointer data)
{
    const struct silence_case *c = data;
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n", c->path);
    struct fixture fixture;
    int other;
    int caller;

    fixture_start(&fixture);
    if (!c->has_budget) {
        fixture.settings.limits.retry_ratio = 0;
        fixture.settings.limits.retry_allowance = 0;
    }
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, request);
    other = add_target(&fixture, 1);
    fcntl(other, F_SETFL, O_NONBLOCK);
    step(&fixture, EVENT_WAIT_MS);
    if (c->start != NULL) {
        answer(&fixture, c->start);
    }
    for (int i = 0; i < c->events; i++) {
        char *chunk = g_strdup_printf(EVENT_CHUNK, i);

        advance(&fixture, 1000);
        answer(&fixture, chunk);
        g_free(chunk);
    }
    advance(&fixture, c->silence_ms);
    if (c->refusals > 0) {
        turn_away(&fixture, other, c->refusals);
    }
    else {
        g_assert_cmpint(accept(other, NULL, NULL), <, 0);
        g_assert_cmpint(table_count(&fixture.relay->upstreams), ==, 1);
    }
    answer(&fixture, c->rest);
    read_until(&fixture, caller, c->end);
    close(caller);
    close(other);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against a request that is taken from a target that was silent and has
 * gone on, or never was: bytes of a body are progress. */
struct trickle_case {
    const char *name;
    int64_t silence_ms; /* before the first byte */
    int64_t other_ms;   /* when another target has room */
};

static const struct trickle_case trickle_cases[] = {
    {"from_the_start", 50, 0},
    {"after_a_silence", 1000, 1300},
};

static void
test_trickle(gconstpointer data)
{
    const struct trickle_case *c = data;
    struct fixture fixture;
    int64_t start_ms;
    int other = -1;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/safe/1"));
    start_ms = fixture.now_ms;
    advance(&fixture, c->silence_ms);
    answer(&fixture, ANSWER_HEAD "Content-Length: 40\r\n\r\n");
    for (int i = 0; i < 40; i++) {
        if (other < 0 && fixture.now_ms - start_ms >= c->other_ms) {
            other = add_target(&fixture, 1);
            fcntl(other, F_SETFL, O_NONBLOCK);
            step(&fixture, EVENT_WAIT_MS);
        }
        advance(&fixture, 50);
        g_assert_false(is_closed(fixture.target));
        answer(&fixture, "x");
    }
    read_until(&fixture, caller, "xxxx");
    g_assert_cmpint(other, >=, 0);
    g_assert_cmpint(accept(other, NULL, NULL), <, 0);
    close(caller);
    close(other);
    fixture_stop(&fixture);
}

static const struct exchange *
find_exchange(const struct fixture *fixture, const char *id)
{
    const struct exchange *exchange;
    uint32_t cursor = 0;

    while ((exchange = table_next(&fixture->relay->exchanges, &cursor,
                                  NULL)) != NULL) {
        if (strcmp(exchange->meta.attempt_id, id) == 0) {
            return exchange;
        }
    }
    return NULL;
}

static void
set_budget(struct fixture *fixture, double ratio, int allowance)
{
    fixture->settings.limits.retry_ratio = ratio;
    fixture->settings.limits.retry_allowance = allowance;
}

/* Starts a stream and breaks it off when no retry may be sent. */
static int
start_broken_stream(struct fixture *fixture)
{
    int caller;

    fixture_start(fixture);
    set_budget(fixture, 0, 0);
    step(fixture, EVENT_WAIT_MS);
    caller = connect_caller(fixture);
    send_request(fixture, caller, REQUEST("/twice/1"));
    answer(fixture, STREAM_HEAD "10\r\nid: 00\ndata: a\n\n\r\n");
    close(fixture->target);
    fixture->target = -1;
    step(fixture, EVENT_WAIT_MS);
    return caller;
}

/* Sends requests until one waits for a place, and returns its number. */
static int
fill_target(struct fixture *fixture, int callers[], int count_max)
{
    for (int i = 0; i < count_max; i++) {
        char *id = g_strdup_printf("x%d", i);
        char *request = g_strdup_printf(
            "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n\r\n", id);
        const struct exchange *exchange = NULL;

        callers[i] = connect_caller(fixture);
        send_text(callers[i], request);
        while ((exchange = find_exchange(fixture, id)) == NULL) {
            step(fixture, EVENT_WAIT_MS);
        }
        g_free(id);
        g_free(request);
        if (exchange->queued) {
            return i;
        }
    }
    return -1;
}

/* Guards against a place that goes to the first request in the queue, which
 * has missed its goal, although another one would meet its own with it, or
 * although its route is hardly served. */
struct order_case {
    const char *name;
    int64_t first_waits_ms;
    int served; /* of ten requests of the second one's route, all others are */
    bool second_goes;
};

static const struct order_case order_cases[] = {
    {"arrival", 0, 10, false},
    {"late", 600, 10, true},
    {"protected", 0, 1, true},
};

static void
count_served(struct fixture *fixture, uint64_t key, int served)
{
    struct served_share *share = g_new0(struct served_share, 1);

    for (int i = 0; i < 10; i++) {
        served_share_add(share, i < served, fixture->now_ms);
    }
    g_hash_table_insert(fixture->relay->served_shares,
                        g_memdup2(&key, sizeof(key)), share);
}

static void
test_order(gconstpointer data)
{
    enum { CALLERS_MAX = 30 };
    const struct order_case *c = data;
    struct fixture fixture;
    int callers[CALLERS_MAX];
    int urgent;
    int last;
    char *id;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    last = fill_target(&fixture, callers, CALLERS_MAX);
    g_assert_cmpint(last, >, 0);
    id = g_strdup_printf("x%d", last);
    advance(&fixture, c->first_waits_ms);
    count_served(&fixture, hash_text("s"), 10);
    count_served(&fixture, hash_pair(hash_text("s"), hash_text("safe")),
                 c->served);
    urgent = connect_caller(&fixture);
    send_text(urgent,
              "GET /safe/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: u\r\n\r\n");
    while (find_exchange(&fixture, "u") == NULL) {
        step(&fixture, EVENT_WAIT_MS);
    }
    g_assert_true(find_exchange(&fixture, "u")->queued);
    close(callers[0]);
    while (find_exchange(&fixture, "x0") != NULL) {
        step(&fixture, EVENT_WAIT_MS);
    }
    g_assert_cmpint(find_exchange(&fixture, "u")->stage, ==,
                    c->second_goes ? STAGE_SENT : STAGE_WAITING);
    g_assert_cmpint(find_exchange(&fixture, id)->stage, ==,
                    c->second_goes ? STAGE_WAITING : STAGE_SENT);
    for (int i = 1; i <= last; i++) {
        close(callers[i]);
    }
    close(urgent);
    g_free(id);
    fixture_stop(&fixture);
}

/* Guards against requests that don't count in the shares of what is served. */
static void
test_shares(void)
{
    struct fixture fixture;
    uint64_t key = hash_text("s");
    const struct served_share *share;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    for (int i = 0; i < 2; i++) {
        caller = connect_caller(&fixture);
        send_request(&fixture, caller, REQUEST("/once/1"));
        while (find_exchange(&fixture, "a") == NULL) {
            step(&fixture, EVENT_WAIT_MS);
        }
        if (i == 0) {
            answer(&fixture, ANSWER_HEAD "Content-Length: 4\r\n\r\nwhat");
            read_until(&fixture, caller, "what");
        }
        close(caller);
        while (find_exchange(&fixture, "a") != NULL) {
            step(&fixture, EVENT_WAIT_MS);
        }
    }
    share = g_hash_table_lookup(fixture.relay->served_shares, &key);
    g_assert_nonnull(share);
    g_assert_cmpfloat_with_epsilon(share->asked, 2.0, 0.01);
    g_assert_cmpfloat_with_epsilon(share->served, 1.0, 0.01);
    fixture_stop(&fixture);
}

/* Guards against a request that waits although it can't end in time anywhere,
 * or although those before it take the places that come within its goal, and
 * against one that is refused although it can. The target is full, its events
 * come every 100 ms, and answers use all of their longest output of an event
 * for 7 tokens. */
struct full_case {
    const char *name;
    const char *path;
    const char *fields;
    bool overloaded;
    const char *reason; /* of the refusal; NULL when it waits */
};

static const struct full_case full_cases[] = {
    {"ends_in_time", "/stream/1",
     "Token-Count: 700,280\r\nDeadline-Ms: 9000\r\n", false, NULL},
    {"too_late", "/stream/1", "Token-Count: 700,2800\r\nDeadline-Ms: 9000\r\n",
     false, "too_late"},
    {"length_unknown", "/stream/1", "Deadline-Ms: 9000\r\n", false, NULL},
    {"shed", "/safe/1", "", true, "shed"},
    {"shed_stream", "/stream/1", "Token-Count: 700,28\r\n", true, "shed"},
};

static void
learn_answers(struct fixture *fixture)
{
    struct relay *relay = fixture->relay;
    struct relay_target *target = target_find(relay, "i-0");
    struct finish_history *history = g_new0(struct finish_history, 1);
    uint64_t key = hash_text("stream");

    for (int i = 0; i < 20; i++) {
        const struct finish_answer answer = {41, 280, 300, 100.0};

        finish_history_add(history, &answer, fixture->now_ms);
    }
    g_hash_table_insert(relay->finishes, g_memdup2(&key, sizeof(key)),
                        history);
    event_intervals_add(&target->record.intervals, 100, 10000,
                        fixture->now_ms);
}

/* Half a second in which two requests got places and fifty came. */
static void
overload(struct fixture *fixture, const char *id)
{
    struct queue_pace *pace = queue_pace_of(
        fixture->relay, find_exchange(fixture, id), fixture->now_ms);

    pace->arrived = 50.0;
    pace->taken = 2.0;
    pace->waiting_s = 2.0;
}

static void
test_full(gconstpointer data)
{
    enum { CALLERS_MAX = 30 };
    const struct full_case *c = data;
    struct fixture fixture;
    int callers[CALLERS_MAX];
    char *request = g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\n"
                                    "Attempt-Id: u\r\n%s\r\n",
                                    c->path, c->fields);
    char *last_id;
    char *text;
    int caller;
    int last;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    learn_answers(&fixture);
    last = fill_target(&fixture, callers, CALLERS_MAX);
    g_assert_cmpint(last, >, 0);
    last_id = g_strdup_printf("x%d", last);
    if (c->overloaded) {
        overload(&fixture, last_id);
    }
    caller = connect_caller(&fixture);
    send_text(caller, request);
    while (find_exchange(&fixture, "u") == NULL && !is_readable(caller)) {
        step(&fixture, EVENT_WAIT_MS);
    }
    g_assert_cmpint(find_exchange(&fixture, "u") == NULL, ==,
                    c->reason != NULL);
    if (c->reason != NULL) {
        text = read_some(caller);
        g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
        g_assert_nonnull(strstr(text, c->reason));
        g_assert_nonnull(strstr(text, "not_run"));
        g_free(text);
    }
    else {
        g_assert_true(find_exchange(&fixture, "u")->queued);
    }
    for (int i = 0; i <= last; i++) {
        close(callers[i]);
    }
    close(caller);
    g_free(last_id);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against a begun stream that ends, or keeps a free place from the
 * requests behind it, while it waits for the retry budget. */
static void
test_budget_wait(void)
{
    enum { CALLERS_MAX = 30 };
    struct fixture fixture;
    int callers[CALLERS_MAX];
    int caller = start_broken_stream(&fixture);
    int last = fill_target(&fixture, callers, CALLERS_MAX);
    char *id = g_strdup_printf("x%d", last);

    g_assert_cmpint(last, >, 0);
    close(callers[0]);
    while (find_exchange(&fixture, "x0") != NULL) {
        step(&fixture, EVENT_WAIT_MS);
    }
    g_assert_cmpint(find_exchange(&fixture, id)->stage, ==, STAGE_SENT);
    set_budget(&fixture, 0.2, 50);
    close(callers[1]);
    advance(&fixture, 300);
    g_assert_cmpint(find_exchange(&fixture, "a")->stage, ==, STAGE_SENT);
    for (int i = 0; i <= last; i++) {
        if (i > 1) {
            close(callers[i]);
        }
    }
    close(caller);
    g_free(id);
    fixture_stop(&fixture);
}

/* Guards against a begun stream that ends with its caller's patience not
 * spent, and against one that is kept for a caller that has given up. */
static void
test_patience(void)
{
    enum { PATIENCE_MS = 2400 };
    struct fixture fixture;
    int caller = start_broken_stream(&fixture);

    advance(&fixture, PATIENCE_MS);
    g_assert_nonnull(find_exchange(&fixture, "a"));
    advance(&fixture, 1000);
    g_assert_null(find_exchange(&fixture, "a"));
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a request that counts as run at a target to which no
 * connection was made: it would have an attempt less. */
static void
test_unconnected(void)
{
    enum { WAITING = 8 }; /* more than the kernel accepts for the target */
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);
    int silent = socket(AF_INET, SOCK_STREAM, 0);
    int waiting[WAITING];
    const struct exchange *exchange;
    struct fixture fixture;
    int other;
    int caller;

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    g_assert_cmpint(bind(silent, (struct sockaddr *)&address, bytes), ==, 0);
    g_assert_cmpint(listen(silent, 0), ==, 0);
    getsockname(silent, (struct sockaddr *)&address, &bytes);
    for (int i = 0; i < WAITING; i++) {
        waiting[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(waiting[i], (struct sockaddr *)&address, bytes);
    }
    fixture_start(&fixture);
    post_target(fixture.relay, 0, ntohs(address.sin_port));
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_text(caller, REQUEST("/safe/1"));
    while (find_exchange(&fixture, "a") == NULL) {
        step(&fixture, EVENT_WAIT_MS);
    }
    other = add_target(&fixture, 1);
    step(&fixture, EVENT_WAIT_MS);
    exchange = find_exchange(&fixture, "a");
    advance(&fixture, 460);
    g_assert_cmpint(exchange->sends, ==, 1);
    g_assert_cmpint(exchange->runs, ==, 1);
    for (int i = 0; i < WAITING; i++) {
        close(waiting[i]);
    }
    close(silent);
    close(caller);
    close(other);
    fixture_stop(&fixture);
}

#define ONCE REQUEST("/once/1")
#define OTHER_ROUTE REQUEST("/safe/1")

static void
post_others(struct fixture *fixture, int count, int stopping)
{
    GArray *members = g_array_new(FALSE, TRUE, sizeof(struct gate_member));
    struct gate_member self = {0};

    g_strlcpy(self.front_address, fixture->settings.front_address,
              sizeof(self.front_address));
    g_array_append_val(members, self);
    for (int i = 0; i < count; i++) {
        struct gate_member member = {.id = (uint64_t)i + 1};

        g_snprintf(member.front_address, sizeof(member.front_address),
                   "127.0.0.2:%d", 8000 + i);
        g_array_append_val(members, member);
    }
    for (int i = 0; i < stopping; i++) {
        struct activity_report *report = activity_report_new((uint64_t)i + 1);

        report->stopping = true;
        relay_post_activity(fixture->relay, report);
    }
    g_assert_true(relay_post_members(fixture->relay, members));
    g_array_free(members, TRUE);
    step(fixture, EVENT_WAIT_MS);
}

static void
play_text(struct fixture *fixture, const char *request, int64_t duration_ms,
          const char *text)
{
    int caller = connect_caller(fixture);

    send_request(fixture, caller, request);
    g_free(read_some(fixture->target));
    advance(fixture, duration_ms);
    answer(fixture, text);
    while (!is_readable(caller)) {
        step(fixture, EVENT_WAIT_MS);
    }
    close(caller);
    step(fixture, EVENT_WAIT_MS);
}

/* Has a request answered after some time. */
static void
play_answer(struct fixture *fixture, const char *request, int64_t duration_ms)
{
    play_text(fixture, request, duration_ms,
              ANSWER_HEAD "Content-Length: 2\r\n\r\nok");
}

/* Guards against a planned stop that ends a begun stream before the last sixth
 * of the grace, because it waits for a target then. */
static void
test_stop_begun(void)
{
    struct target_change gone = {.kind = TARGET_GONE};
    struct fixture fixture;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    post_others(&fixture, 1, 0);
    for (int i = 0; i < 30; i++) {
        play_answer(&fixture, OTHER_ROUTE, 4000);
    }
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/twice/1"));
    relay_post_drain(fixture.relay);
    step(&fixture, EVENT_WAIT_MS);
    answer(&fixture, STREAM_HEAD "10\r\nid: 00\ndata: a\n\n\r\n");
    for (int i = 1; i <= 4; i++) {
        char *chunk = g_strdup_printf(EVENT_CHUNK, i);

        advance(&fixture, 1150);
        answer(&fixture, chunk);
        g_free(chunk);
    }
    g_strlcpy(gone.info.id, "i-0", sizeof(gone.info.id));
    relay_post_target_change(fixture.relay, &gone);
    step(&fixture, EVENT_WAIT_MS);
    close(fixture.target);
    fixture.target = -1;
    step(&fixture, EVENT_WAIT_MS);
    g_assert_nonnull(find_exchange(&fixture, "a"));
    g_assert_true(find_exchange(&fixture, "a")->queued);
    advance(&fixture, GRACE_MS * 5 / 6 - 4 * 1150);
    g_assert_nonnull(find_exchange(&fixture, "a"));
    close(caller);
    fixture_stop(&fixture);
}

/* Another instance reports that the request crashes targets. */
static void
blame(struct fixture *fixture, const char *id)
{
    struct crash_report *report = crash_report_new();
    struct trait_verdict verdict = {
        .traits = {{{find_exchange(fixture, id)->fingerprint, WHOLE_REQUEST}},
                   1},
        .since_ms = fixture->now_ms,
        .seen_ms = fixture->now_ms,
        .probe_ms = fixture->now_ms + 60000,
    };

    g_array_append_val(report->verdicts, verdict);
    crash_apply_report(fixture->relay, report, fixture->now_ms);
}

/* Guards against a begun stream that is taken from its silent target and then
 * refused, because it is known to crash targets. */
static void
test_blamed_silence(void)
{
    struct fixture fixture;
    int other;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/twice/1"));
    other = add_target(&fixture, 1);
    step(&fixture, EVENT_WAIT_MS);
    answer(&fixture, STREAM_HEAD "10\r\nid: 00\ndata: a\n\n\r\n");
    blame(&fixture, "a");
    advance(&fixture, 1500);
    g_assert_false(is_closed(fixture.target));
    answer(&fixture, REST_EVENT("01"));
    read_until(&fixture, caller, "0\r\n\r\n");
    close(caller);
    close(other);
    fixture_stop(&fixture);
}

/* Guards against an answer that is ended by a verdict on its request after its
 * target has begun it. */
static void
test_verdict_on_body(void)
{
    enum { SENT_BYTES = 300000 };
    char *body = g_strnfill(SENT_BYTES, 'z');
    char *last = g_strnfill(10000, 'y');
    struct fixture fixture;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/once/1"));
    answer(&fixture, ANSWER_HEAD "Content-Length: 310000\r\n\r\n");
    send_text(fixture.target, body);
    while (!find_exchange(&fixture, "a")->answer.head_sent) {
        step(&fixture, EVENT_WAIT_MS);
    }
    blame(&fixture, "a");
    step(&fixture, 0);
    send_text(fixture.target, last);
    read_until(&fixture, caller, "yyyy");
    close(caller);
    g_free(body);
    g_free(last);
    fixture_stop(&fixture);
}

/* Guards against a target that is blamed for the pause of a caller that reads
 * slowly. */
static void
test_slow_reader(void)
{
    char *data = g_strnfill(8000, 'x');
    struct fixture fixture;
    struct upstream *upstream;
    uint32_t cursor = 0;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/stream/1"));
    answer(&fixture, ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n");
    upstream = table_next(&fixture.relay->upstreams, &cursor, NULL);
    for (int i = 1; !upstream->paused; i++) {
        char *event = g_strdup_printf("id: %d\ndata: %s\n\n", i, data);
        char *chunk = g_strdup_printf("%zx\r\n%s\r\n", strlen(event), event);

        answer(&fixture, chunk);
        g_free(chunk);
        g_free(event);
    }
    advance(&fixture, 10000);
    g_assert_cmpint(table_count(&fixture.relay->upstreams), ==, 1);
    advance(&fixture, 10000);
    g_assert_cmpint(table_count(&fixture.relay->upstreams), ==, 0);
    close(caller);
    g_free(data);
    fixture_stop(&fixture);
}

/* Guards against bytes without end that take memory without bound, and against
 * an answer that claims that the request has not run. */
struct endless_case {
    const char *name;
    const char *path;
    const char *start;
    const char *repeat; /* sent until the relay closes the connection */
    size_t bytes_max;   /* that the relay may take before it closes */
    const char *prefix; /* of what the caller gets */
};

enum { PARSER_HEAD_MAX_BYTES = 80 * 1024 };

static const struct endless_case endless_cases[] = {
    {"event", "/stream/1", ANSWER_HEAD "\r\ndata: ", BYTES_1000,
     EVENT_MAX_BYTES, "HTTP/1.1 502"},
    {"event_lines", "/stream/1", ANSWER_HEAD "\r\n", "data: x\n",
     EVENT_MAX_BYTES, "HTTP/1.1 502"},
    {"no_answer", "/once/1", "", BYTES_1000, 1024, "HTTP/1.1 502"},
    {"header_line", "/once/1", "HTTP/1.1 200 OK\r\nX: ", BYTES_1000,
     PARSER_HEAD_MAX_BYTES, "HTTP/1.1 502"},
    {"header_lines", "/once/1", "HTTP/1.1 200 OK\r\n", "X: y\r\n",
     PARSER_HEAD_MAX_BYTES, "HTTP/1.1 502"},
    {"reason", "/once/1", "HTTP/1.1 200 ", BYTES_1000, PARSER_HEAD_MAX_BYTES,
     "HTTP/1.1 502"},
    {"chunk_extension", "/once/1",
     ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n1;", BYTES_1000,
     PARSER_HEAD_MAX_BYTES, "HTTP/1.1 502"},
    {"chunk_size", "/once/1", ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n",
     "0000000000", PARSER_HEAD_MAX_BYTES, "HTTP/1.1 502"},
    {"trailer", "/once/1",
     ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n",
     PARSER_HEAD_MAX_BYTES, "HTTP/1.1 502"},
};

static void
test_endless(gconstpointer data)
{
    const struct endless_case *c = data;
    struct fixture fixture;
    size_t sent = 0;
    char *request =
        g_strdup_printf("GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"
                        "Connection: close\r\n\r\n",
                        c->path);
    char *text;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, request);
    if (c->start[0] != '\0') {
        answer(&fixture, c->start);
    }
    while (table_count(&fixture.relay->upstreams) > 0) {
        g_assert_cmpuint(sent, <=, c->bytes_max + READ_BUFFER_BYTES);
        answer(&fixture, c->repeat);
        sent += strlen(c->repeat);
    }
    text = read_to_end(&fixture, caller);
    g_assert_true(g_str_has_prefix(text, c->prefix));
    g_assert_null(strstr(text, "not_run"));
    g_free(text);
    g_free(request);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a request that is reset because nobody reads it while the
 * other duties of a stopping process end. */
struct ending_case {
    const char *name;
    const char *before;  /* sent before the stop */
    const char *request; /* sent when the process has been told to end */
};

static const struct ending_case ending_cases[] = {
    {"kept_connection", REQUEST("/nowhere/1"), REQUEST("/once/1")},
    {"new_connection", NULL, REQUEST("/once/1")},
    {"requests_in_a_row", REQUEST("/nowhere/1"),
     REQUEST("/once/1") REQUEST("/once/2")},
};

/* Runs the relay's own thread, which takes the time from the clock. */
struct running {
    struct gate_settings settings;
    struct relay_port port;
    struct relay *relay;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool drained;
    pthread_t thread;
};

static void
note_drained(struct relay_port *port)
{
    struct running *running =
        (struct running *)((char *)port - offsetof(struct running, port));

    pthread_mutex_lock(&running->lock);
    running->drained = true;
    pthread_cond_signal(&running->changed);
    pthread_mutex_unlock(&running->lock);
}

static void
drop_activity(struct relay_port *port, struct activity_report *report)
{
    (void)port;
    activity_report_free(report);
}

static const struct relay_port_ops running_ops = {drop_activity, drop_crashes,
                                                  drop_leaving,  drop_pause,
                                                  note_drained,  drop_quota};

static void *
run_relay(void *argument)
{
    struct duty *duty = relay_duty(argument);
    struct err err = {0};

    g_assert_true(duty->ops->run(duty, &err));
    return NULL;
}

static void
running_start(struct running *running)
{
    struct err err = {0};

    memset(running, 0, sizeof(*running));
    pthread_mutex_init(&running->lock, NULL);
    pthread_cond_init(&running->changed, NULL);
    fill_settings(&running->settings);
    running->settings.limits.stop_grace_ms = 100;
    running->port.ops = &running_ops;
    running->relay =
        relay_new(&running->settings, &platform_dialect, &running->port, &err);
    g_assert_nonnull(running->relay);
    post_config(running->relay);
    pthread_create(&running->thread, NULL, run_relay, running->relay);
}

static void
running_drain(struct running *running)
{
    relay_post_drain(running->relay);
    pthread_mutex_lock(&running->lock);
    while (!running->drained) {
        pthread_cond_wait(&running->changed, &running->lock);
    }
    pthread_mutex_unlock(&running->lock);
}

static void
running_stop(struct running *running)
{
    struct duty *duty = relay_duty(running->relay);

    duty->ops->stop(duty);
    pthread_join(running->thread, NULL);
}

static void
running_free(struct running *running)
{
    relay_free(running->relay);
    pthread_mutex_destroy(&running->lock);
    pthread_cond_destroy(&running->changed);
}

static void
test_ending(gconstpointer data)
{
    const struct ending_case *c = data;
    struct timeval wait = {.tv_sec = EVENT_WAIT_MS / 1000};
    struct running running;
    char *text;
    int caller;

    running_start(&running);
    caller = connect_to(relay_front_port(running.relay));
    setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    if (c->before != NULL) {
        send_text(caller, c->before);
        g_free(read_some(caller));
    }
    running_drain(&running);
    send_text(caller, c->request);
    text = read_some(caller);
    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(text, "not_run"));
    g_assert_nonnull(strstr(text, "Connection: close"));
    g_free(text);
    close(caller);
    running_stop(&running);
    running_free(&running);
}

/* Guards against a kept connection that stays open unread between the end of
 * the relay and that of the process. */
static void
test_ended(void)
{
    struct timeval wait = {.tv_sec = EVENT_WAIT_MS / 1000};
    struct running running;
    char byte;
    int caller;

    running_start(&running);
    caller = connect_to(relay_front_port(running.relay));
    setsockopt(caller, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    send_text(caller, REQUEST("/nowhere/1"));
    g_free(read_some(caller));
    running_drain(&running);
    running_stop(&running);
    g_assert_cmpint(recv(caller, &byte, 1, 0), ==, 0);
    close(caller);
    running_free(&running);
}

/* Guards against requests that are cut off by a planned stop: connections that
 * the kernel has accepted, that were not read, or whose request was read in
 * part. */
struct stop_case {
    const char *name;
    bool accepted; /* by the relay, before the stop */
    const char *before;
    int64_t pause_ms;
    const char *after; /* sent @pause_ms after the listener was closed */
};

static const struct stop_case stop_cases[] = {
    {"in_accept_queue", false, REQUEST("/once/1"), 0, NULL},
    {"unread", true, NULL, 50, REQUEST("/once/1")},
    {"read_in_part", true, "GET /once/1 HTTP/1.1\r\nHost: h\r\n", 400,
     "Attempt-Id: a\r\n\r\n"},
};

static void
test_stop(gconstpointer data)
{
    const struct stop_case *c = data;
    struct fixture fixture;
    int caller = -1;
    char *text;
    bool running = true;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    relay_post_drain(fixture.relay);
    step(&fixture, EVENT_WAIT_MS);
    advance(&fixture, 3400);
    caller = connect_caller(&fixture);
    if (c->accepted) {
        step(&fixture, EVENT_WAIT_MS);
    }
    if (c->before != NULL) {
        send_text(caller, c->before);
    }
    if (c->before != NULL && c->accepted) {
        step(&fixture, EVENT_WAIT_MS);
    }
    /* The listener is closed before its event is handled. */
    fixture.now_ms += 100;
    g_assert_true(relay_handle_events(fixture.relay, NULL, 0, fixture.now_ms));
    for (int64_t i = 0; i < c->pause_ms; i += 10) {
        fixture.now_ms += 10;
        running = running && step(&fixture, 0);
    }
    g_assert_true(running);
    if (c->after != NULL) {
        send_text(caller, c->after);
    }
    while (running && !is_readable(caller)) {
        fixture.now_ms += 10;
        running = step(&fixture, 0);
    }
    text = read_to_end(&fixture, caller);
    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(text, "not_run"));
    g_free(text);
    while (running) {
        fixture.now_ms += 10;
        running = step(&fixture, 0);
    }
    g_assert_cmpint(fixture.now_ms - fixture.relay->drain_started_ms, <,
                    GRACE_MS);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a stopping instance that sends a request whose answer can't
 * end before the instance does, and against one that refuses what can. */
struct stop_length_case {
    const char *name;
    int others;         /* instances in the member list besides this one */
    int stopping;       /* of these, those that report that they stop */
    const char *taught; /* request of the answers before the stop */
    int64_t taught_ms;  /* length of these answers; 0 for none */
    int64_t at_ms;      /* from the start of the stop */
    int64_t wait_ms;    /* no target has a place until then */
    bool sent;
};

static const struct stop_length_case stop_length_cases[] = {
    {"long_late", 1, 0, ONCE, 4500, 2700, 0, false},
    {"long_early", 1, 0, ONCE, 4500, 1500, 0, true},
    {"short_late", 1, 0, ONCE, 50, 2700, 0, true},
    {"long_waited", 1, 0, ONCE, 4500, 100, 4000, false},
    {"short_waited", 1, 0, ONCE, 50, 100, 4000, true},
    {"no_other_instance", 0, 0, ONCE, 4500, 2700, 0, true},
    {"close_to_the_bound", 1, 0, ONCE, 4500, 1950, 0, true},
    /* It would end after all are refused, and before the process ends. */
    {"within_the_last_answers", 1, 0, ONCE, 4500, 2130, 0, false},
    {"unknown_length", 1, 0, ONCE, 0, 2700, 0, true},
    {"known_for_the_service", 1, 0, OTHER_ROUTE, 4500, 2700, 0, false},
    {"others_stop_too", 2, 2, ONCE, 4500, 2700, 0, true},
    {"one_other_stops", 2, 1, ONCE, 4500, 2700, 0, false},
};

/* Whether the target or the caller gets something first. */
static bool
target_gets_request(struct fixture *fixture, int caller)
{
    while (!is_readable(caller)) {
        if (fixture->target < 0 &&
            table_count(&fixture->relay->upstreams) > 0) {
            fixture->target = accept(fixture->target_listener, NULL, NULL);
        }
        if (fixture->target >= 0 && is_readable(fixture->target)) {
            return true;
        }
        advance(fixture, 10);
    }
    return false;
}

static void
test_stop_length(gconstpointer data)
{
    const struct stop_length_case *c = data;
    struct target_change gone = {.kind = TARGET_GONE};
    struct fixture fixture;
    int listener = -1;
    bool sent;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    for (int i = 0; c->taught_ms > 0 && i < 20; i++) {
        play_answer(&fixture, c->taught, c->taught_ms);
    }
    if (fixture.target >= 0) {
        close(fixture.target);
        fixture.target = -1;
        step(&fixture, EVENT_WAIT_MS);
    }
    post_others(&fixture, c->others, c->stopping);
    relay_post_drain(fixture.relay);
    step(&fixture, EVENT_WAIT_MS);
    if (c->wait_ms > 0) {
        g_strlcpy(gone.info.id, "i-0", sizeof(gone.info.id));
        relay_post_target_change(fixture.relay, &gone);
        step(&fixture, EVENT_WAIT_MS);
    }
    advance(&fixture, c->at_ms);
    caller = connect_caller(&fixture);
    send_text(caller, ONCE);
    if (c->wait_ms > 0) {
        step(&fixture, EVENT_WAIT_MS);
        advance(&fixture, c->wait_ms - c->at_ms);
        g_assert_cmpint(is_readable(caller), ==, !c->sent);
        listener = fixture.target_listener;
        fixture.target_listener = add_target(&fixture, 1);
    }
    sent = target_gets_request(&fixture, caller);
    if (!sent) {
        char *text = read_some(caller);

        g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
        g_assert_nonnull(strstr(text, "not_run"));
        g_free(text);
    }
    g_assert_cmpint(sent, ==, c->sent);
    close(caller);
    if (listener >= 0) {
        close(listener);
    }
    fixture_stop(&fixture);
}

/* Guards against a request that waits for a target which wants none for a
 * time, so that its answer can't end before the instance does. */
struct stop_wait_case {
    const char *name;
    const char *answer; /* of the target to the request */
    bool refused;
};

#define TURNED_AWAY(seconds)                                                  \
    "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"               \
    "Retry-After: " seconds "\r\nContent-Length: 0\r\n\r\n"

static const struct stop_wait_case stop_wait_cases[] = {
    {"long_wait", TURNED_AWAY("4"), true},
    {"short_wait", TURNED_AWAY("1"), false},
};

static void
test_stop_wait(gconstpointer data)
{
    const struct stop_wait_case *c = data;
    struct fixture fixture;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    for (int i = 0; i < 30; i++) {
        play_answer(&fixture, OTHER_ROUTE, 4500);
    }
    post_others(&fixture, 1, 0);
    relay_post_drain(fixture.relay);
    step(&fixture, EVENT_WAIT_MS);
    advance(&fixture, 100);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, OTHER_ROUTE);
    answer(&fixture, c->answer);
    g_assert_cmpint(find_exchange(&fixture, "a") == NULL, ==, c->refused);
    if (c->refused) {
        char *text = read_some(caller);

        g_assert_true(g_str_has_prefix(text, "HTTP/1.1 503"));
        g_assert_nonnull(strstr(text, "refusal:stopped"));
        g_assert_nonnull(strstr(text, "not_run"));
        g_free(text);
    }
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a stopping instance that takes a request for one of another
 * length: by answers that tell nothing of it, as failures and the rest of a
 * stream that was resumed, or by those to another kind of request. */
enum taught_kind { TAUGHT_BODY, TAUGHT_STREAM, TAUGHT_RESUMED, TAUGHT_ERROR };

struct taught {
    int count;
    enum taught_kind kind;
    const char *request;
    int64_t duration_ms;
};

enum { TAUGHT_MAX = 2 };

struct lengths_case {
    const char *name;
    struct taught taught[TAUGHT_MAX];
    const char *request;
    bool sent;
};

#define COUNTED(path, count)                                                  \
    "GET " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"                   \
    "Token-Count: " count "\r\n\r\n"
#define CONTINUED(path)                                                       \
    "GET " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"                   \
    "Last-Event-Id: 0\r\n\r\n"
#define TWICE REQUEST("/twice/1")
#define SMALL COUNTED("/once/1", "10,100")
#define LARGE COUNTED("/once/1", "10,4000")

static const struct lengths_case lengths_cases[] = {
    {"streams", {{40, TAUGHT_STREAM, TWICE, 50}}, TWICE, true},
    {"long_streams", {{20, TAUGHT_STREAM, TWICE, 4500}}, TWICE, false},
    {"resumed_runs",
     {{40, TAUGHT_STREAM, TWICE, 50}, {5, TAUGHT_RESUMED, TWICE, 4500}},
     TWICE,
     true},
    {"resumed_by_the_caller",
     {{40, TAUGHT_STREAM, TWICE, 50},
      {5, TAUGHT_STREAM, CONTINUED("/twice/1"), 4500}},
     TWICE,
     true},
    {"failures",
     {{40, TAUGHT_BODY, ONCE, 50}, {5, TAUGHT_ERROR, ONCE, 4500}},
     ONCE,
     true},
    {"other_route",
     {{20, TAUGHT_BODY, OTHER_ROUTE, 4500}, {40, TAUGHT_BODY, ONCE, 50}},
     ONCE,
     true},
    {"other_route_is_short",
     {{40, TAUGHT_BODY, OTHER_ROUTE, 50}, {20, TAUGHT_BODY, ONCE, 4500}},
     ONCE,
     false},
    {"other_output_limit",
     {{20, TAUGHT_BODY, LARGE, 4500}, {40, TAUGHT_BODY, SMALL, 50}},
     SMALL,
     true},
    {"output_limit",
     {{40, TAUGHT_BODY, SMALL, 50}, {20, TAUGHT_BODY, LARGE, 4500}},
     LARGE,
     false},
};

/* Has a stream played that ends after some time. */
static void
play_stream(struct fixture *fixture, const struct taught *taught)
{
    const char *rest = strstr(taught->request, "Last-Event-Id") != NULL
                           ? REST_EVENT("01")
                           : REST_EVENT("00");
    int caller = connect_caller(fixture);

    send_request(fixture, caller, taught->request);
    g_free(read_some(fixture->target));
    advance(fixture, taught->duration_ms);
    answer(fixture, STREAM_HEAD);
    answer(fixture, rest);
    read_until(fixture, caller, "0\r\n\r\n");
    close(caller);
    step(fixture, EVENT_WAIT_MS);
}

/* Has a stream played whose first run ends with an event that doesn't follow,
 * and whose second one takes some time. */
static void
play_resumed(struct fixture *fixture, const struct taught *taught)
{
    int caller = connect_caller(fixture);

    send_request(fixture, caller, taught->request);
    g_free(read_some(fixture->target));
    answer(fixture, STREAM_HEAD "10\r\nid: 00\ndata: a\n\n\r\n");
    answer(fixture, REST_EVENT("05"));
    close(fixture->target);
    while (find_exchange(fixture, "a")->sends < 2) {
        advance(fixture, 10);
    }
    g_assert_cmpint(find_exchange(fixture, "a")->resumes, ==, 1);
    fixture->target = accept(fixture->target_listener, NULL, NULL);
    while (!is_readable(fixture->target)) {
        step(fixture, EVENT_WAIT_MS);
    }
    g_free(read_some(fixture->target));
    advance(fixture, taught->duration_ms);
    answer(fixture, STREAM_HEAD);
    answer(fixture, REST_EVENT("01"));
    read_until(fixture, caller, "0\r\n\r\n");
    close(caller);
    step(fixture, EVENT_WAIT_MS);
}

static void
play_taught(struct fixture *fixture, const struct taught *taught)
{
    switch (taught->kind) {
    case TAUGHT_BODY:
        play_answer(fixture, taught->request, taught->duration_ms);
        break;
    case TAUGHT_STREAM:
        play_stream(fixture, taught);
        break;
    case TAUGHT_RESUMED:
        play_resumed(fixture, taught);
        break;
    case TAUGHT_ERROR:
        play_text(fixture, taught->request, taught->duration_ms,
                  "HTTP/1.1 500 Failed\r\nAttempt-Id: a\r\n"
                  "Server-Seal: s\r\nContent-Length: 2\r\n\r\nno");
        break;
    }
}

/* Asks late in a stop: what takes 4.5 s would not end. */
static void
assert_late_request(struct fixture *fixture, const char *request, bool sent)
{
    int caller;

    close(fixture->target);
    fixture->target = -1;
    step(fixture, EVENT_WAIT_MS);
    post_others(fixture, 1, 0);
    relay_post_drain(fixture->relay);
    step(fixture, EVENT_WAIT_MS);
    advance(fixture, 2700);
    caller = connect_caller(fixture);
    send_text(caller, request);
    g_assert_cmpint(target_gets_request(fixture, caller), ==, sent);
    close(caller);
}

static void
test_lengths(gconstpointer data)
{
    const struct lengths_case *c = data;
    struct fixture fixture;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    for (int i = 0; i < TAUGHT_MAX; i++) {
        for (int n = 0; n < c->taught[i].count; n++) {
            play_taught(&fixture, &c->taught[i]);
        }
    }
    assert_late_request(&fixture, c->request, c->sent);
    fixture_stop(&fixture);
}

/* Guards against a stream that a stopping instance sends to a target on which
 * it would not end, as the intervals between its events are long there. */
struct stop_interval_case {
    const char *name;
    int64_t target_interval_ms; /* by the reports of other instances */
    bool sent;
};

static const struct stop_interval_case stop_interval_cases[] = {
    {"as_fast", 100, true},
    {"ten_times_as_slow", 1000, false},
};

/* Has a stream of six events played, 100 ms apart. */
static void
play_events(struct fixture *fixture)
{
    int caller = connect_caller(fixture);

    send_request(fixture, caller, TWICE);
    g_free(read_some(fixture->target));
    answer(fixture, STREAM_HEAD);
    for (int i = 0; i < 5; i++) {
        char *chunk = g_strdup_printf(EVENT_CHUNK, i);

        answer(fixture, chunk);
        advance(fixture, 100);
        g_free(chunk);
    }
    answer(fixture, REST_EVENT("05"));
    read_until(fixture, caller, "0\r\n\r\n");
    close(caller);
    step(fixture, EVENT_WAIT_MS);
}

static void
test_stop_interval(gconstpointer data)
{
    const struct stop_interval_case *c = data;
    struct target_activity activity = {
        .target_hash = hash_text("i-0"),
        .interval_count = 100000,
        .interval_sum_ms = 100000 * c->target_interval_ms,
    };
    struct activity_report *report = activity_report_new(7);
    struct fixture fixture;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    for (int i = 0; i < 40; i++) {
        play_events(&fixture);
    }
    report->targets = g_memdup2(&activity, sizeof(activity));
    report->target_count = 1;
    relay_post_activity(fixture.relay, report);
    step(&fixture, EVENT_WAIT_MS);
    assert_late_request(&fixture, TWICE, c->sent);
    fixture_stop(&fixture);
}

/* Guards against callers that are sent to an instance that has said that it
 * stops, and against none when all have. */
struct lookup_case {
    const char *name;
    int others;
    int stopping;
    bool draining;
    const char *addresses;
};

static const struct lookup_case lookup_cases[] = {
    {"none_stops", 2, 0, false,
     "[\"127.0.0.1:0\",\"127.0.0.2:8000\",\"127.0.0.2:8001\"]"},
    {"one_stops", 2, 1, false, "[\"127.0.0.1:0\",\"127.0.0.2:8001\"]"},
    {"others_stop", 2, 2, false, "[\"127.0.0.1:0\"]"},
    {"this_stops", 2, 1, true, "[\"127.0.0.2:8001\"]"},
    {"all_stop", 2, 2, true, "[\"127.0.0.2:8000\",\"127.0.0.2:8001\"]"},
};

static void
test_lookup(gconstpointer data)
{
    const struct lookup_case *c = data;
    struct fixture fixture;
    int caller;
    char *text;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    post_others(&fixture, c->others, c->stopping);
    if (c->draining) {
        relay_post_drain(fixture.relay);
        step(&fixture, EVENT_WAIT_MS);
    }
    caller = connect_to(relay_lookup_port(fixture.relay));
    send_text(caller, "GET /v1/resolve?name=h HTTP/1.1\r\nHost: h\r\n\r\n");
    while (!is_readable(caller)) {
        step(&fixture, EVENT_WAIT_MS);
    }
    text = read_some(caller);
    g_assert_nonnull(strstr(text, c->addresses));
    g_free(text);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a request that has run and is given up during a stop although
 * it may go on: at its silent target, or at another one. */
struct stop_run_case {
    const char *name;
    int short_answers; /* of 30, 50 ms long; the others take 4.5 s */
    const char *failure;
    bool moves;
};

static const struct stop_run_case stop_run_cases[] = {
    {"silent_would_not_end", 0, NULL, false},
    {"silent_would_end", 27, NULL, true},
    {"failed_would_end", 27,
     "HTTP/1.1 500 Failed\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"
     "Content-Length: 0\r\n\r\n",
     true},
    {"failed_would_not_end", 0,
     "HTTP/1.1 500 Failed\r\nAttempt-Id: a\r\nServer-Seal: s\r\n"
     "Content-Length: 0\r\n\r\n",
     false},
};

static void
test_stop_run(gconstpointer data)
{
    const struct stop_run_case *c = data;
    struct fixture fixture;
    int connection = -1;
    int other;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    post_others(&fixture, 1, 0);
    for (int i = 0; i < 30; i++) {
        play_answer(&fixture, OTHER_ROUTE, i < c->short_answers ? 50 : 4500);
    }
    close(fixture.target);
    fixture.target = -1;
    step(&fixture, EVENT_WAIT_MS);
    relay_post_drain(fixture.relay);
    step(&fixture, EVENT_WAIT_MS);
    advance(&fixture, 2000);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, OTHER_ROUTE);
    other = add_target(&fixture, 1);
    fcntl(other, F_SETFL, O_NONBLOCK);
    step(&fixture, EVENT_WAIT_MS);
    advance(&fixture, 440);
    if (c->failure != NULL) {
        answer(&fixture, c->failure);
    }
    for (int i = 0; connection < 0 && i < 100; i++) {
        advance(&fixture, 10);
        connection = accept(other, NULL, NULL);
    }
    g_assert_cmpint(connection >= 0, ==, c->moves);
    if (!c->moves && c->failure == NULL) {
        answer(&fixture, ANSWER_HEAD "Content-Length: 4\r\n\r\nwhat");
        read_until(&fixture, caller, "what");
    }
    else if (!c->moves) {
        char *text = read_some(caller);

        g_assert_true(g_str_has_prefix(text, "HTTP/1.1 500"));
        g_free(text);
    }
    if (connection >= 0) {
        close(connection);
    }
    close(caller);
    close(other);
    fixture_stop(&fixture);
}

/*
 * Guards against requests that come late in a planned stop, are sent to a
 * target and then cut off without an answer, or are cut off while there is
 * time left, whatever the grace period is.
 */
struct late_case {
    const char *name;
    int64_t grace_ms;
    int64_t at_ms;     /* from the start of the stop */
    int64_t answer_ms; /* from the request on; -1 for never */
    const char *prefix;
};

static const struct late_case late_cases[] = {
    {"early", 8000, 100, 50, "HTTP/1.1 200"},
    {"just_admitted", 8000, 2960, 50, "HTTP/1.1 200"},
    {"just_admitted_slow", 8000, 2960, 3600, "HTTP/1.1 200"},
    {"just_admitted_silent", 8000, 2960, -1, "HTTP/1.1 502"},
    {"too_late", 8000, 3100, 50, "HTTP/1.1 503"},
    {"short_early", 2000, 100, 50, "HTTP/1.1 200"},
    {"short_slow", 2000, 100, 1550, "HTTP/1.1 200"},
    {"short_just_admitted", 2000, 710, 900, "HTTP/1.1 200"},
    {"short_silent", 2000, 710, -1, "HTTP/1.1 502"},
    {"short_too_late", 2000, 800, 50, "HTTP/1.1 503"},
    {"long_early", 30000, 100, 20000, "HTTP/1.1 200"},
    {"long_too_late", 30000, 3100, 50, "HTTP/1.1 503"},
};

static void
test_late(gconstpointer data)
{
    const struct late_case *c = data;
    struct fixture fixture;
    bool answered = false;
    bool running = true;
    int64_t sent_ms;
    char *text;
    int caller;

    fixture_start(&fixture);
    fixture.settings.limits.stop_grace_ms = c->grace_ms;
    step(&fixture, EVENT_WAIT_MS);
    relay_post_drain(fixture.relay);
    step(&fixture, EVENT_WAIT_MS);
    advance(&fixture, c->at_ms);
    caller = connect_caller(&fixture);
    send_text(caller, REQUEST("/once/1"));
    sent_ms = fixture.now_ms;
    while (running) {
        fixture.now_ms += 10;
        running = step(&fixture, 0);
        if (fixture.target < 0 && table_count(&fixture.relay->upstreams) > 0) {
            fixture.target = accept(fixture.target_listener, NULL, NULL);
        }
        if (!answered && c->answer_ms >= 0 && fixture.target >= 0 &&
            fixture.now_ms - sent_ms >= c->answer_ms) {
            answered = true;
            send_text(fixture.target,
                      ANSWER_HEAD "Content-Length: 2\r\n\r\nok");
        }
    }
    g_assert_cmpint(fixture.now_ms - fixture.relay->drain_started_ms, <,
                    c->grace_ms);
    text = read_some(caller);
    if (!g_str_has_prefix(text, c->prefix)) {
        g_test_message("got %s", text);
        g_test_fail();
    }
    g_free(text);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a connection being kept on which the beginning of a second
 * copy was discarded together with a response: its rest would stand before the
 * next response. */
struct discard_case {
    const char *name;
    const char *path;
    const char *head;
    const char *rest;
    bool kept;
};

#define REFUSAL_HEAD                                                          \
    "HTTP/1.1 503 B\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"                  \
    "Content-Length: 4\r\n\r\n"
#define FAILURE_HEAD                                                          \
    "HTTP/1.1 500 E\r\nAttempt-Id: a\r\nContent-Length: 4\r\n\r\n"

static const struct discard_case discard_cases[] = {
    {"refusal", REQUEST("/once/1"), REFUSAL_HEAD, "busy", true},
    {"refusal_and_copy", REQUEST("/once/1"), REFUSAL_HEAD,
     "busyHTTP/1.1 503 B\r\n", false},
    {"failure_and_copy", REQUEST("/twice/1"), FAILURE_HEAD,
     "failHTTP/1.1 500 E\r\n", false},
};

static void
test_discard(gconstpointer data)
{
    const struct discard_case *c = data;
    struct fixture fixture;
    int listener;
    int caller;

    fixture_start(&fixture);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, c->path);
    g_free(read_some(fixture.target));
    listener = add_target(&fixture, 1);
    step(&fixture, EVENT_WAIT_MS);
    answer(&fixture, c->head);
    answer(&fixture, c->rest);
    g_assert_cmpint(is_readable(fixture.target), ==, !c->kept);
    close(caller);
    close(listener);
    fixture_stop(&fixture);
}

/* Guards against a connection that is kept for ever for the rest of a response
 * that is discarded, and against one that is closed before the rest came. */
struct discard_time_case {
    const char *name;
    const char *path;
    const char *head;
    int64_t wait_ms; /* without a byte of the rest */
    bool closed;
};

static const struct discard_time_case discard_time_cases[] = {
    {"refusal_in_time", REQUEST("/once/1"), REFUSAL_HEAD, DISCARD_MS - 1,
     false},
    {"refusal_too_late", REQUEST("/once/1"), REFUSAL_HEAD, DISCARD_MS, true},
    {"failure_in_time", REQUEST("/twice/1"), FAILURE_HEAD, DISCARD_MS - 1,
     false},
    {"failure_too_late", REQUEST("/twice/1"), FAILURE_HEAD, DISCARD_MS, true},
};

static void
test_discard_time(gconstpointer data)
{
    const struct discard_time_case *c = data;
    struct fixture fixture;
    int caller;

    fixture_start(&fixture);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, c->path);
    g_free(read_some(fixture.target));
    answer(&fixture, c->head);
    advance(&fixture, c->wait_ms);
    g_assert_cmpint(is_readable(fixture.target), ==, c->closed);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a response that is counted as broken by the question whether
 * it is whole, asked here before its end. */
struct fault_case {
    const char *name;
    const char *path;
    const char *text; /* what the target has written */
    enum answer_fault fault;
};

#define CHUNKED_STREAM ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n"

static const struct fault_case fault_cases[] = {
    {"whole", REQUEST("/stream/1"),
     CHUNKED_STREAM "f\r\nid: 1\ndata: a\n\n\r\n", FAULT_NONE},
    {"cut_off", REQUEST("/stream/1"),
     CHUNKED_STREAM "e\r\nid: 1\ndata: a\n\r\n", FAULT_CUT_OFF},
    {"ended_early", REQUEST("/stream/1"), ANSWER_HEAD "\r\n",
     FAULT_ENDED_EARLY},
    {"body", REQUEST("/once/1"), ANSWER_HEAD "Content-Length: 99\r\n\r\npart",
     FAULT_NONE},
};

static void
test_fault(gconstpointer data)
{
    const struct fault_case *c = data;
    struct fixture fixture;
    uint32_t cursor = 0;
    const struct exchange *exchange;
    uint64_t count;
    int caller;

    fixture_start(&fixture);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, c->path);
    g_free(read_some(fixture.target));
    answer(&fixture, c->text);
    count = counter_read(CTR_STREAM_CUT_OFF);
    exchange = table_next(&fixture.relay->exchanges, &cursor, NULL);
    g_assert_nonnull(exchange);
    g_assert_cmpint(result_fault(exchange), ==, c->fault);
    g_assert_cmpuint(counter_read(CTR_STREAM_CUT_OFF), ==, count);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a body that goes on behind a second response, of which the
 * caller might get the announced length, and against one that counts as a
 * broken stream. */
struct second_case {
    const char *name;
    const char *text; /* what the target has written */
    bool ended;       /* the request, with 502 */
};

static const struct second_case second_cases[] = {
    {"none", ANSWER_HEAD "Content-Length: 99\r\n\r\npart", false},
    {"length", ANSWER_HEAD "Content-Length: 99\r\n\r\npart" ANSWER_HEAD, true},
    {"close", ANSWER_HEAD "\r\npart" ANSWER_HEAD, true},
    {"of_another_request",
     ANSWER_HEAD "\r\npartHTTP/1.1 200 OK\r\nAttempt-Id: other\r\n\r\n",
     false},
};

static void
test_second(gconstpointer data)
{
    const struct second_case *c = data;
    uint64_t count = counter_read(CTR_STREAM_CUT_OFF);
    struct fixture fixture;
    uint32_t cursor = 0;
    char *text;
    int caller;

    fixture_start(&fixture);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/once/1"));
    g_free(read_some(fixture.target));
    answer(&fixture, c->text);
    g_assert_cmpint(table_next(&fixture.relay->exchanges, &cursor, NULL) ==
                        NULL,
                    ==, c->ended);
    g_assert_cmpint(is_readable(caller), ==, c->ended);
    g_assert_cmpuint(counter_read(CTR_STREAM_CUT_OFF), ==, count);
    if (c->ended) {
        text = read_some(caller);
        g_assert_true(g_str_has_prefix(text, "HTTP/1.1 502"));
        g_free(text);
    }
    close(caller);
    fixture_stop(&fixture);
}

/* Sends events to a caller that doesn't read, and the end of the stream with
 * the one that fills its output. */
static void
fill_and_end(struct fixture *fixture, const struct client *client)
{
    char *data = g_strnfill(8000, 'x');
    bool is_last = false;

    for (int id = 1; !is_last; id++) {
        char *event = g_strdup_printf("id: %d\ndata: %s\n\n", id, data);
        char *chunk;

        is_last = client->output.waiting > OUTPUT_PAUSE_BYTES - strlen(event);
        chunk = g_strdup_printf("%zx\r\n%s\r\n%s", strlen(event), event,
                                is_last ? "0\r\n\r\n" : "");
        answer(fixture, chunk);
        g_free(chunk);
        g_free(event);
    }
    g_free(data);
}

/* Guards against an answer without an end of which everything that was passed
 * on stays in memory, because its caller reads steadily but always lags
 * behind. */
struct lag_case {
    const char *name;
    const char *path;
    const char *head;
    const char *format; /* of a piece, with a number and text */
};

enum {
    LAG_TEXT_BYTES = 4000,
    LAG_TOTAL_BYTES = 4 * 1024 * 1024,
    LAG_MIN_BYTES = 64 * 1024, /* then the caller reads */
};

static const struct lag_case lag_cases[] = {
    {"stream", REQUEST("/stream/1"), ANSWER_HEAD "\r\n",
     "id: %d\ndata: %s\n\n"},
    {"body", REQUEST("/once/1"), ANSWER_HEAD "\r\n", "%d %s"},
};

static void
read_bytes(int fd, size_t count)
{
    char buffer[8192];

    while (count > 0) {
        ssize_t part =
            recv(fd, buffer, MIN(count, sizeof(buffer)), MSG_DONTWAIT);

        if (part <= 0) {
            return;
        }
        count -= (size_t)part;
    }
}

static void
test_lag(gconstpointer data)
{
    const struct lag_case *c = data;
    char *text = g_strnfill(LAG_TEXT_BYTES, 'x');
    const struct client *client;
    struct fixture fixture;
    uint32_t cursor = 0;
    size_t sent = 0;
    int caller;

    fixture_start(&fixture);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, c->path);
    g_free(read_some(fixture.target));
    answer(&fixture, c->head);
    client = table_next(&fixture.relay->clients, &cursor, NULL);
    for (int id = 1; sent < LAG_TOTAL_BYTES; id++) {
        char *piece = g_strdup_printf(c->format, id, text);

        while (client->output.waiting > LAG_MIN_BYTES) {
            read_bytes(caller, LAG_TEXT_BYTES);
            step(&fixture, 0);
        }
        answer(&fixture, piece);
        sent += strlen(piece);
        g_free(piece);
        g_assert_cmpuint(client->output.held, <=, 2 * OUTPUT_PAUSE_BYTES);
    }
    g_free(text);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against an idle connection on which nothing is read any more, because
 * its last response filled the output of a caller that reads slowly. */
static void
test_idle_after_pause(void)
{
    struct fixture fixture;
    uint32_t cursor = 0;
    int caller;

    fixture_start(&fixture);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/stream/1"));
    g_free(read_some(fixture.target));
    answer(&fixture, ANSWER_HEAD "Transfer-Encoding: chunked\r\n\r\n");
    fill_and_end(&fixture, table_next(&fixture.relay->clients, &cursor, NULL));
    answer(&fixture, "bytes that no request waits for");
    g_assert_true(is_readable(fixture.target));
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against the kernel ending a connection to a sound target that takes
 * or acknowledges nothing for a second or so. */
static void
test_transport_silence(void)
{
    enum { SOUND_SILENCE_MS = 2000 };
    struct fixture fixture;
    const struct upstream *upstream;
    unsigned timeout_ms = 0;
    socklen_t bytes = sizeof(timeout_ms);
    uint32_t cursor = 0;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, REQUEST("/once/1"));
    upstream = table_next(&fixture.relay->upstreams, &cursor, NULL);
    getsockopt(upstream->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
               &bytes);
    g_assert_cmpuint(timeout_ms, >, SOUND_SILENCE_MS);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against an answer that is cut off because its caller pauses for
 * longer than the limits of a new configuration allow between two requests,
 * and against one that is kept for a caller that has gone. */
struct unread_case {
    const char *name;
    const char *request;
    int idle_timeout_ms; /* by a configuration that comes meanwhile */
    int64_t pause_ms;
    bool closed;
};

#define CLOSE_REQUEST(path)                                                   \
    "GET " path " HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n"                   \
    "Connection: close\r\n\r\n"

static const struct unread_case unread_cases[] = {
    {"idle_time_lowered", REQUEST("/stream/1"), 1000, 5000, false},
    {"last_on_its_connection", CLOSE_REQUEST("/stream/1"), 15000, 5000, false},
    {"caller_gone", REQUEST("/stream/1"), 30000, 16000, true},
};

static void
test_unread(gconstpointer data)
{
    const struct unread_case *c = data;
    struct fixture fixture;
    uint32_t cursor = 0;
    int caller;

    fixture_start(&fixture);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    send_request(&fixture, caller, c->request);
    post_limits(fixture.relay, 2, c->idle_timeout_ms);
    step(&fixture, EVENT_WAIT_MS);
    answer(&fixture, STREAM_HEAD);
    fill_and_end(&fixture, table_next(&fixture.relay->clients, &cursor, NULL));
    advance(&fixture, c->pause_ms);
    if (c->closed) {
        g_assert_cmpint(table_count(&fixture.relay->clients), ==, 0);
    }
    else {
        read_until(&fixture, caller, "0\r\n\r\n");
    }
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a connection that is closed at the idle time of an older
 * configuration, or of a planned stop, while its caller goes by a longer one,
 * and against one that isn't closed. */
struct idle_case {
    const char *name;
    const char *path;
    const char *announced; /* to the caller, in whole seconds; NULL for none */
    int idle_timeout_ms;   /* when the connection becomes idle */
    int later_ms;          /* by a configuration that comes then */
    int64_t open_ms;       /* it is open until then, and closed 1 s later */
    bool stopping;         /* a planned stop starts before the answer ends */
};

static const struct idle_case idle_cases[] = {
    {"same", "/once/1", "timeout=4\r\n", 5000, 5000, 4900, false},
    {"raised", "/once/1", "timeout=4\r\n", 5000, 10000, 9900, false},
    {"lowered", "/once/1", "timeout=4\r\n", 5000, 1000, 4900, false},
    {"lowered_in_mid_stream", "/stream/1", "timeout=4\r\n", 5000, 1000, 4900,
     false},
    {"short", "/once/1", NULL, 1200, 1200, 1100, false},
    {"refusal", "/nowhere/1", "timeout=4\r\n", 5000, 5000, 4900, false},
    {"stop_in_mid_stream", "/stream/1", "timeout=4\r\n", 5000, 5000, 4900,
     true},
};

static void
test_idle_time(gconstpointer data)
{
    const struct idle_case *c = data;
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n\r\n", c->path);
    struct fixture fixture;
    char *text;
    int caller;

    fixture_start(&fixture);
    post_limits(fixture.relay, 2, c->idle_timeout_ms);
    step(&fixture, EVENT_WAIT_MS);
    caller = connect_caller(&fixture);
    if (strcmp(c->path, "/once/1") == 0) {
        send_request(&fixture, caller, request);
        answer(&fixture, ANSWER_HEAD "Content-Length: 4\r\n\r\nwhat");
    }
    else if (strcmp(c->path, "/stream/1") == 0) {
        send_request(&fixture, caller, request);
        answer(&fixture, STREAM_HEAD "10\r\nid: 00\ndata: a\n\n\r\n");
    }
    else {
        send_text(caller, request);
    }
    while (!is_readable(caller)) {
        step(&fixture, EVENT_WAIT_MS);
    }
    text = read_some(caller);
    if (c->announced != NULL) {
        g_assert_nonnull(strstr(text, c->announced));
    }
    else {
        g_assert_null(strstr(text, "Keep-Alive:"));
    }
    g_free(text);
    post_limits(fixture.relay, 3, c->later_ms);
    step(&fixture, EVENT_WAIT_MS);
    if (c->stopping) {
        relay_post_drain(fixture.relay);
        step(&fixture, EVENT_WAIT_MS);
    }
    if (strcmp(c->path, "/stream/1") == 0) {
        answer(&fixture, REST_EVENT("01"));
    }
    advance(&fixture, c->open_ms);
    g_assert_cmpint(table_count(&fixture.relay->clients), ==, 1);
    advance(&fixture, 1000);
    g_assert_cmpint(table_count(&fixture.relay->clients), ==, 0);
    close(caller);
    g_free(request);
    fixture_stop(&fixture);
}

static const struct cases groups[] = {
    CASES("/relay_time/reading", reading_cases, test_reading),
    CASES("/relay_time/limit", limit_cases, test_limit),
    CASES("/relay_time/stall", stall_cases, test_stall),
    CASES("/relay_time/move", move_cases, test_move),
    CASES("/relay_time/silence", silence_cases, test_silence),
    CASES("/relay_time/trickle", trickle_cases, test_trickle),
    CASES("/relay_time/endless", endless_cases, test_endless),
    CASES("/relay_time/lag", lag_cases, test_lag),
    CASES("/relay_time/unread", unread_cases, test_unread),
    CASES("/relay_time/idle_time", idle_cases, test_idle_time),
    CASES("/relay_time/ending", ending_cases, test_ending),
    CASES("/relay_time/stop", stop_cases, test_stop),
    CASES("/relay_time/late", late_cases, test_late),
    CASES("/relay_time/order", order_cases, test_order),
    CASES("/relay_time/full", full_cases, test_full),
    CASES("/relay_time/stop_length", stop_length_cases, test_stop_length),
    CASES("/relay_time/stop_run", stop_run_cases, test_stop_run),
    CASES("/relay_time/stop_wait", stop_wait_cases, test_stop_wait),
    CASES("/relay_time/stop_interval", stop_interval_cases,
          test_stop_interval),
    CASES("/relay_time/lengths", lengths_cases, test_lengths),
    CASES("/relay_time/lookup", lookup_cases, test_lookup),
    CASES("/relay_time/discard", discard_cases, test_discard),
    CASES("/relay_time/fault", fault_cases, test_fault),
    CASES("/relay_time/second", second_cases, test_second),
    CASES("/relay_time/discard_time", discard_time_cases, test_discard_time),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/relay_time/idle_wakeups", test_idle_wakeups);
    g_test_add_func("/relay_time/waiting_wakeups", test_waiting_wakeups);
    g_test_add_func("/relay_time/no_descriptors", test_no_descriptors);
    g_test_add_func("/relay_time/start", test_start);
    g_test_add_func("/relay_time/no_listener", test_no_listener);
    g_test_add_func("/relay_time/budget_wait", test_budget_wait);
    g_test_add_func("/relay_time/shares", test_shares);
    g_test_add_func("/relay_time/patience", test_patience);
    g_test_add_func("/relay_time/unconnected", test_unconnected);
    g_test_add_func("/relay_time/stop_begun", test_stop_begun);
    g_test_add_func("/relay_time/ended", test_ended);
    g_test_add_func("/relay_time/blamed_silence", test_blamed_silence);
    g_test_add_func("/relay_time/verdict_on_body", test_verdict_on_body);
    g_test_add_func("/relay_time/slow_reader", test_slow_reader);
    g_test_add_func("/relay_time/transport_silence", test_transport_silence);
    g_test_add_func("/relay_time/idle_after_pause", test_idle_after_pause);
    return g_test_run();
}
