/*
 * Tests of what targets say about themselves in their answers, in virtual
 * time: the test's thread runs the relay's event loop over real connections
 * and passes the time. Targets and callers are sockets of the same thread.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <http_parser.h>
#include <json-c/json.h>
#include <netinet/in.h>
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
#include "gate/choose/fns.h"
#include "gate/admit/dat.h"
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
    EVENT_WAIT_MS = 1000, /* real time, for events that must come */
    ROUNDS_MAX = 20,
    SETTLE_ROUNDS_MAX = 1000,
    CONNECTIONS_MAX = 64,
    STARTED_MS = 5, /* of the first target */
    FREEZE_MS = 60000,
    /* A request that waits is looked at again by then. */
    RECHECK_MS = 400,
};

struct world {
    struct gate_settings settings;
    struct relay_port port;
    struct relay *relay;
    int listener; /* of the first target */
    int target_port;
    int connections[CONNECTIONS_MAX]; /* of the relay to the first target */
    int connection_count;
    int told_planner;      /* more often that a target leaves than that not */
    int64_t told_pause_ms; /* end of the pause that the planner was told */
    int64_t now_ms;
};

static void
drop_activity(struct relay_port *port, struct activity_report *report)
{
    (void)port;
    activity_report_free(report);
}

static void
count_leaving(struct relay_port *port, const char *target, bool leaves)
{
    struct world *world =
        (struct world *)((char *)port - offsetof(struct world, port));

    (void)target;
    world->told_planner += leaves ? 1 : -1;
}

static void
keep_pause(struct relay_port *port, const char *target, int64_t until_ms)
{
    struct world *world =
        (struct world *)((char *)port - offsetof(struct world, port));

    if (strcmp(target, "A") == 0) {
        world->told_pause_ms = until_ms;
    }
}

static void
ignore_drained(struct relay_port *port)
{
    (void)port;
}

static const struct relay_port_ops port_ops = {drop_activity,  drop_crashes,
                                               count_leaving,  keep_pause,
                                               ignore_drained, drop_quota};

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
    fcntl(fd, F_SETFL, O_NONBLOCK);
    return fd;
}

static void
post_entry(struct world *world, const char *id, int port, int started_ms,
           bool draining, enum target_change_kind kind)
{
    struct target_change change = {.kind = kind};

    g_strlcpy(change.info.id, id, sizeof(change.info.id));
    g_strlcpy(change.info.service, "s", sizeof(change.info.service));
    g_strlcpy(change.info.zone, "z", sizeof(change.info.zone));
    g_snprintf(change.info.address, ADDRESS_MAX_BYTES, "127.0.0.1:%d", port);
    change.info.slots = 4;
    change.info.started_ms = started_ms;
    change.info.draining = draining;
    relay_post_target_change(world->relay, &change);
}

static void
step(struct world *world, int wait_ms)
{
    struct epoll_event events[EVENTS_MAX];
    int count =
        epoll_wait(world->relay->epoll_fd, events, EVENTS_MAX, wait_ms);

    relay_handle_events(world->relay, events, count, world->now_ms);
}

static void
advance(struct world *world, int64_t duration_ms)
{
    int64_t end_ms = world->now_ms + duration_ms;

    while (world->now_ms < end_ms) {
        int64_t due_ms = relay_next_due_ms(world->relay, world->now_ms);

        world->now_ms = CLAMP(due_ms, world->now_ms, end_ms);
        step(world, 0);
    }
}

static void
world_start(struct world *world)
{
    struct gate_config *config;
    struct err err = {0};

    memset(world, 0, sizeof(*world));
    world->now_ms = 100000;
    fill_settings(&world->settings);
    world->port.ops = &port_ops;
    world->relay =
        relay_new(&world->settings, &platform_dialect, &world->port, &err);
    g_assert_nonnull(world->relay);
    world->listener = listen_any(&world->target_port);
    config = parse_config();
    g_assert_true(relay_post_config(world->relay, config));
    gate_config_unref(config);
    post_entry(world, "A", world->target_port, STARTED_MS, false,
               TARGET_CHANGED);
    relay_post_targets_listed(world->relay);
    step(world, EVENT_WAIT_MS);
}

static void
world_stop(struct world *world)
{
    relay_free(world->relay);
    close(world->listener);
    for (int i = 0; i < world->connection_count; i++) {
        close(world->connections[i]);
    }
}

/* Returns the caller's connection. */
static int
send_request(struct world *world, const char *path, const char *id)
{
    uint64_t calls = counter_read(CTR_CALLS);
    int caller = connect_to(relay_front_port(world->relay));
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\n\r\n", path, id);

    send_text(caller, request);
    g_free(request);
    for (int i = 0; counter_read(CTR_CALLS) == calls; i++) {
        g_assert_cmpint(i, <, ROUNDS_MAX);
        step(world, EVENT_WAIT_MS);
    }
    return caller;
}

/* Accepts what the relay has connected. */
static void
accept_connections(struct world *world)
{
    int fd;

    while ((fd = accept(world->listener, NULL, NULL)) >= 0) {
        g_assert_cmpint(world->connection_count, <, CONNECTIONS_MAX);
        world->connections[world->connection_count++] = fd;
    }
}

static bool
is_readable(int fd)
{
    char byte;
    ssize_t count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Waits for a request at the first target and reads it. Returns its
 * connection. */
static int
receive_request(struct world *world)
{
    char bytes[4096];

    for (int i = 0; i < ROUNDS_MAX; i++) {
        accept_connections(world);
        for (int j = 0; j < world->connection_count; j++) {
            if (is_readable(world->connections[j]) &&
                recv(world->connections[j], bytes, sizeof(bytes), 0) > 0) {
                return world->connections[j];
            }
        }
        step(world, EVENT_WAIT_MS);
    }
    g_assert_not_reached();
}

/* Writes as a target, and waits until the relay has counted it. */
static void
answer(struct world *world, int connection, const char *text,
       enum counter counter)
{
    uint64_t before = counter_read(counter);

    send_text(connection, text);
    for (int i = 0; counter_read(counter) == before; i++) {
        g_assert_cmpint(i, <, ROUNDS_MAX);
        step(world, EVENT_WAIT_MS);
    }
}

static bool
has_id(const struct exchange *exchange, const char *id)
{
    return strcmp(exchange->meta.attempt_id, id) == 0;
}

static const struct exchange *
find_exchange(struct world *world, const char *id)
{
    const struct exchange *exchange;
    uint32_t cursor = 0;

    while ((exchange = table_next(&world->relay->exchanges, &cursor, NULL)) !=
               NULL &&
           !has_id(exchange, id)) {
    }
    return exchange;
}

/* The target that has a request; "wait" or "end" when none has. */
static const char *
place_of(struct world *world, const char *id)
{
    const struct exchange *exchange = find_exchange(world, id);
    const struct relay_target *target;

    if (exchange == NULL) {
        return "end";
    }
    target = table_get(&world->relay->targets, exchange->target);
    return exchange->stage != STAGE_WAITING && target != NULL
               ? target->record.info.id
               : "wait";
}

static bool
has_closed(int fd)
{
    char byte;

    fcntl(fd, F_SETFL, O_NONBLOCK);
    return recv(fd, &byte, 1, 0) == 0;
}

/*
 * Guards against requests that reach a target after it has said that it
 * leaves, and against a target that is kept out for ever. The first request is
 * answered, then the script is played, then a second request comes. Commands:
 *   !    the first target answers the first request
 *   d    the store says that it is draining
 *   l    the store lists it as it was
 *   m g  its entry is missing, is gone
 *   s    it has started again under its id
 *   n o  another target at its address, started later, earlier
 *   x    the other target is gone
 *   f    the instance is frozen for a minute
 *   w    some time passes
 */
struct leaving_case {
    const char *name;
    const char *path;
    const char *answer;
    const char *script;
    const char *place; /* of the second request */
    bool ends;         /* the notice, so that the planner is told so */
};

#define LEAVES "Attempt-Id: a\r\nServer-Leaving: 1\r\n"
#define ANSWER_200                                                            \
    "HTTP/1.1 200 OK\r\n" LEAVES "Server-Seal: s\r\n"                         \
    "Content-Length: 2\r\n\r\nok"
#define ANSWER_500                                                            \
    "HTTP/1.1 500 Failed\r\n" LEAVES "Server-Seal: s\r\n"                     \
    "Content-Length: 0\r\n\r\n"
#define ANSWER_503                                                            \
    "HTTP/1.1 503 Busy\r\n" LEAVES "Not-Executed: 1\r\n"                      \
    "Content-Length: 0\r\n\r\n"
#define ANSWER_421                                                            \
    "HTTP/1.1 421 Misdirected\r\n" LEAVES "Instance-Id: %s\r\n"               \
    "Content-Length: 0\r\n\r\n"
#define REFUSAL_WITHOUT_ID                                                    \
    "HTTP/1.1 503 Busy\r\nServer-Leaving: 1\r\nNot-Executed: 1\r\n"           \
    "Content-Length: 0\r\n\r\n"
#define ANSWER_STREAM                                                         \
    "HTTP/1.1 200 OK\r\n" LEAVES "Server-Seal: s\r\n"                         \
    "Content-Type: text/event-stream\r\n\r\nid: 0\ndata: a\n\n"
#define PATH_ONCE "/once/1"
#define PATH_SAFE "/safe/1"

static const struct leaving_case leaving_cases[] = {
    {"success", PATH_ONCE, ANSWER_200, "!w", "wait", false},
    {"failure", PATH_ONCE, ANSWER_500, "!w", "wait", false},
    {"failure_of_a_safe_request", PATH_SAFE, ANSWER_500, "!w", "wait", false},
    {"refusal", PATH_ONCE, ANSWER_503, "!w", "wait", false},
    {"refusal_without_an_id", PATH_ONCE, REFUSAL_WITHOUT_ID, "!w", "wait",
     false},
    {"head_of_a_stream", "/stream/1", ANSWER_STREAM, "!w", "wait", false},
    {"the_store_said_it_before", PATH_ONCE, ANSWER_200, "d!lw", "wait", false},
    {"the_store_says_it_then_not", PATH_ONCE, ANSWER_200, "!dlw", "wait",
     false},
    {"listed_still", PATH_ONCE, ANSWER_200, "!lwl", "wait", false},
    {"missing_then_listed", PATH_ONCE, ANSWER_200, "!mlw", "wait", false},
    {"gone_then_listed", PATH_ONCE, ANSWER_200, "!glw", "wait", false},
    {"gone_before_its_answer", PATH_ONCE, ANSWER_200, "g!lw", "wait", false},
    {"freeze", PATH_ONCE, ANSWER_200, "!flw", "wait", false},
    {"new_start", PATH_ONCE, ANSWER_200, "!sw", "A", true},
    {"new_target_at_the_address", PATH_ONCE, ANSWER_200, "!n", "B", false},
    {"new_target_at_the_address_of_one_gone", PATH_ONCE, ANSWER_200, "!gn",
     "B", true},
    {"new_target_then_the_old_listed", PATH_ONCE, ANSWER_200, "!nl", "B",
     false},
    {"older_target_at_the_address", PATH_ONCE, ANSWER_200, "!ogw", "B", false},
    {"older_target_gone", PATH_ONCE, ANSWER_200, "!oxlw", "wait", false},
};

static void
run_command(struct world *world, const struct leaving_case *c, int connection,
            char command)
{
    int port = world->target_port;

    switch (command) {
    case '!':
        answer(world, connection, c->answer, CTR_TARGET_LEAVES);
        break;
    case 'd':
    case 'l':
        post_entry(world, "A", port, STARTED_MS, command == 'd',
                   TARGET_CHANGED);
        break;
    case 'm':
        post_entry(world, "A", port, STARTED_MS, false, TARGET_MISSING);
        break;
    case 'g':
        post_entry(world, "A", port, STARTED_MS, false, TARGET_GONE);
        break;
    case 's':
        post_entry(world, "A", port, STARTED_MS + 1, false, TARGET_CHANGED);
        break;
    case 'n':
    case 'o':
        post_entry(world, "B", port, STARTED_MS + (command == 'n' ? 1 : -1),
                   false, TARGET_CHANGED);
        break;
    case 'x':
        post_entry(world, "B", port, STARTED_MS - 1, false, TARGET_GONE);
        break;
    case 'f':
        world->now_ms += FREEZE_MS;
        break;
    default:
        advance(world, RECHECK_MS);
        return;
    }
    step(world, 0);
}

static void
test_leaving(gconstpointer data)
{
    const struct leaving_case *c = data;
    const struct exchange *first;
    struct world world;
    int callers[2];
    int connection;

    world_start(&world);
    callers[0] = send_request(&world, c->path, "a");
    connection = receive_request(&world);
    for (const char *command = c->script; *command != '\0'; command++) {
        run_command(&world, c, connection, *command);
    }
    first = find_exchange(&world, "a");
    g_assert_true(first == NULL || first->sends == 1);
    callers[1] = send_request(&world, c->path, "b");
    g_assert_cmpstr(place_of(&world, "b"), ==, c->place);
    advance(&world, RECHECK_MS);
    g_assert_cmpstr(place_of(&world, "b"), ==, c->place);
    g_assert_cmpint(world.told_planner, ==, c->ends ? 0 : 1);
    close(callers[0]);
    close(callers[1]);
    world_stop(&world);
}

/* Guards against a notice that is taken from an answer that is not the
 * target's own to that request. */
struct foreign_case {
    const char *name;
    const char *answer; /* to request b */
    enum counter counter;
    const char *place; /* of a later request */
};

#define OWN(id)                                                               \
    "HTTP/1.1 200 OK\r\nAttempt-Id: " id "\r\nServer-Seal: s\r\n"             \
    "Content-Length: 2\r\n\r\nok"

static const struct foreign_case foreign_cases[] = {
    {"late_second_copy", ANSWER_200 OWN("b"), CTR_ANSWERS, "A"},
    {"copy_behind_the_answer", OWN("b") ANSWER_200, CTR_ANSWER_EXTRA, "A"},
    {"refusal_without_an_id", REFUSAL_WITHOUT_ID, CTR_ANSWER_STALE, "A"},
    {"interim_answer",
     "HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n" OWN("b"),
     CTR_ANSWERS, "A"},
    {"other_value",
     "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nServer-Seal: s\r\n"
     "Server-Leaving: 0\r\nContent-Length: 2\r\n\r\nok",
     CTR_ANSWERS, "A"},
    {"of_another_target",
     "HTTP/1.1 421 Misdirected\r\nAttempt-Id: b\r\nServer-Leaving: 1\r\n"
     "Instance-Id: C\r\nContent-Length: 0\r\n\r\n",
     CTR_TARGET_LEAVES, "A"},
};

static void
test_foreign(gconstpointer data)
{
    const struct foreign_case *c = data;
    struct world world;
    int callers[3];

    world_start(&world);
    callers[0] = send_request(&world, PATH_ONCE, "a");
    answer(&world, receive_request(&world), OWN("a"), CTR_ANSWERS);
    callers[1] = send_request(&world, PATH_ONCE, "b");
    answer(&world, receive_request(&world), c->answer, c->counter);
    advance(&world, 1000);
    callers[2] = send_request(&world, PATH_ONCE, "c");
    advance(&world, RECHECK_MS);
    g_assert_cmpstr(place_of(&world, "c"), ==, c->place);
    for (int i = 0; i < 3; i++) {
        close(callers[i]);
    }
    world_stop(&world);
}

/* Guards against an idle connection to a target that leaves, on which the next
 * request would reach it. */
static void
test_idle(void)
{
    struct world world;
    int callers[2];
    int connections[2];

    world_start(&world);
    callers[0] = send_request(&world, PATH_ONCE, "a");
    connections[0] = receive_request(&world);
    callers[1] = send_request(&world, PATH_ONCE, "b");
    connections[1] = receive_request(&world);
    g_assert_cmpint(connections[0], !=, connections[1]);
    answer(&world, connections[1], OWN("b"), CTR_ANSWERS);
    g_assert_false(has_closed(connections[1]));
    answer(&world, connections[0], ANSWER_200, CTR_ANSWERS);
    g_assert_true(has_closed(connections[0]));
    g_assert_true(has_closed(connections[1]));
    close(callers[0]);
    close(callers[1]);
    world_stop(&world);
}

/* Moves the event of a connection that is not established to the end. */
static void
put_connect_last(struct world *world, struct epoll_event *events, int count)
{
    for (int i = 0; i < count - 1; i++) {
        struct handle handle = {
            .index = (uint32_t)(events[i].data.u64 >> 32 & 0xffffff),
            .generation = (uint32_t)events[i].data.u64,
        };
        const struct upstream *upstream =
            table_get(&world->relay->upstreams, handle);

        if (events[i].data.u64 >> 56 == WATCH_UPSTREAM &&
            !upstream->connected) {
            struct epoll_event last = events[count - 1];

            events[count - 1] = events[i];
            events[i] = last;
            return;
        }
    }
}

/* Guards against a request that is sent on a connection that is established
 * after the target has said that it leaves or wants no requests, in an answer
 * or by its entry. */
struct connecting_case {
    const char *name;
    const char *answer; /* NULL: the entry changes */
    enum target_change_kind change;
    bool draining;
};

static const struct connecting_case connecting_cases[] = {
    {"leaving", ANSWER_200, TARGET_CHANGED, false},
    {"pause",
     "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"
     "Retry-After: 30\r\nContent-Length: 0\r\n\r\n",
     TARGET_CHANGED, false},
    {"entry_draining", NULL, TARGET_CHANGED, true},
    {"entry_gone", NULL, TARGET_GONE, false},
};

static void
test_connecting(gconstpointer data)
{
    const struct connecting_case *c = data;

    struct epoll_event events[EVENTS_MAX];
    struct world world;
    int callers[2];
    int other_port;
    int other;
    int count;

    world_start(&world);
    other = listen_any(&other_port);
    callers[0] = send_request(&world, PATH_ONCE, "a");
    if (c->answer != NULL) {
        send_text(receive_request(&world), c->answer);
    }
    /* The request is read while the answer waits in the socket. */
    callers[1] = connect_to(relay_front_port(world.relay));
    send_text(callers[1],
              "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\n\r\n");
    for (int i = 0; find_exchange(&world, "b") == NULL; i++) {
        g_assert_cmpint(i, <, ROUNDS_MAX);
        count = epoll_wait(world.relay->epoll_fd, events, EVENTS_MAX,
                           EVENT_WAIT_MS);
        for (int j = 0; j < count; j++) {
            if (events[j].data.u64 >> 56 != WATCH_UPSTREAM) {
                relay_handle_events(world.relay, &events[j], 1, world.now_ms);
            }
        }
    }
    g_assert_cmpstr(place_of(&world, "b"), ==, "A");
    post_entry(&world, "C", other_port, STARTED_MS, false, TARGET_CHANGED);
    if (c->answer == NULL) {
        post_entry(&world, "A", world.target_port, STARTED_MS, c->draining,
                   c->change);
    }
    count = epoll_wait(world.relay->epoll_fd, events, EVENTS_MAX, 0);
    put_connect_last(&world, events, count);
    relay_handle_events(world.relay, events, count, world.now_ms);
    g_assert_cmpstr(place_of(&world, "b"), ==, "C");
    g_assert_cmpint(find_exchange(&world, "b")->runs, ==, 1);
    close(callers[0]);
    close(callers[1]);
    close(other);
    world_stop(&world);
}

/* Guards against a stream that is cut because its target leaves, and against
 * one that goes on there after the target has broken off. */
static void
test_stream(void)
{
    struct world world;
    int connection;
    int caller;

    world_start(&world);
    caller = send_request(&world, "/stream/1", "a");
    connection = receive_request(&world);
    answer(&world, connection, ANSWER_STREAM, CTR_TARGET_LEAVES);
    for (int i = 1; i < 6; i++) {
        char *event = g_strdup_printf("id: %d\ndata: a\n\n", i);

        advance(&world, 1000);
        send_text(connection, event);
        step(&world, EVENT_WAIT_MS);
        g_free(event);
        g_assert_cmpstr(place_of(&world, "a"), ==, "A");
    }
    for (int i = 0; i < world.connection_count; i++) {
        shutdown(world.connections[i], SHUT_RDWR);
    }
    for (int i = 0; strcmp(place_of(&world, "a"), "A") == 0; i++) {
        g_assert_cmpint(i, <, ROUNDS_MAX);
        step(&world, EVENT_WAIT_MS);
    }
    advance(&world, 2 * RECHECK_MS);
    g_assert_cmpstr(place_of(&world, "a"), !=, "A");
    close(caller);
    world_stop(&world);
}

/*
 * Guards against requests that reach a target in the time for which it has
 * turned requests away, against times that are added up or taken from
 * something else than a number of seconds, and against a target that is never
 * used again.
 */
struct pause_case {
    const char *name;
    const char *answers[2]; /* Retry-After of one request after the other */
    enum counter counter;   /* that the last one changes */
    const char *script;     /* as for struct leaving_case */
    int64_t pause_ms;       /* after the last answer */
};

static const struct pause_case pause_cases[] = {
    {"none", {"0", NULL}, CTR_RETRY_BUSY, "", 0},
    {"none_after_some", {"3", "0"}, CTR_TARGET_PAUSES_ENDED, "", 0},
    {"fraction", {"0.25", NULL}, CTR_TARGET_PAUSES, "", 250},
    {"fraction_of_a_millisecond",
     {"0.2501", NULL},
     CTR_TARGET_PAUSES,
     "",
     251},
    {"seconds", {"3", NULL}, CTR_TARGET_PAUSES, "", 3000},
    {"the_longest", {"3600", NULL}, CTR_TARGET_PAUSES, "", 3600000},
    {"huge", {"1000000000", NULL}, CTR_RETRY_BUSY, "", 0},
    {"digits_without_end",
     {"99999999999999999999999999999999999999", NULL},
     CTR_RETRY_BUSY,
     "",
     0},
    {"negative", {"-1", NULL}, CTR_RETRY_BUSY, "", 0},
    {"date", {"Sun, 06 Nov 1994 08:49:37 GMT", NULL}, CTR_RETRY_BUSY, "", 0},
    {"two_values", {"3, 4", NULL}, CTR_RETRY_BUSY, "", 0},
    {"two_fields", {"3\r\nRetry-After: 4", NULL}, CTR_RETRY_BUSY, "", 0},
    {"exponent", {"1e3", NULL}, CTR_RETRY_BUSY, "", 0},
    {"empty", {"", NULL}, CTR_RETRY_BUSY, "", 0},
    {"longer_one_replaces", {"0.25", "3"}, CTR_TARGET_PAUSES, "", 3000},
    {"shorter_one_replaces", {"3", "0.25"}, CTR_TARGET_PAUSES, "", 250},
    {"malformed_one_leaves_the_first",
     {"3", "soon"},
     CTR_RETRY_BUSY,
     "",
     3000},
    {"listed_again", {"3", NULL}, CTR_TARGET_PAUSES, "l", 3000},
    {"gone_then_listed", {"3", NULL}, CTR_TARGET_PAUSES, "gl", 3000},
    {"started_again", {"3", NULL}, CTR_TARGET_PAUSES, "s", 0},
    {"freeze", {"3", NULL}, CTR_TARGET_PAUSES, "f", 0},
};

static char *
format_refusal(const char *id, const char *retry_after)
{
    return g_strdup_printf("HTTP/1.1 503 Busy\r\nAttempt-Id: %s\r\n"
                           "Not-Executed: 1\r\nRetry-After: %s\r\n"
                           "Content-Length: 0\r\n\r\n",
                           id, retry_after);
}

/* Closes a caller's connection and waits until its request is given up. */
static void
cancel(struct world *world, int caller, const char *id)
{
    close(caller);
    for (int i = 0; find_exchange(world, id) != NULL; i++) {
        g_assert_cmpint(i, <, ROUNDS_MAX);
        step(world, EVENT_WAIT_MS);
    }
}

/* Sends a request and gives it up. Returns whether it went to a target. */
static bool
goes_to_target(struct world *world)
{
    int caller = send_request(world, PATH_ONCE, "probe");
    bool sent = strcmp(place_of(world, "probe"), "A") == 0;

    cancel(world, caller, "probe");
    return sent;
}

static void
test_pause(gconstpointer data)
{
    static const char *const ids[] = {"a", "b"};
    const struct pause_case *c = data;
    struct world world;
    int callers[2];
    int connections[2];
    int count = c->answers[1] != NULL ? 2 : 1;

    world_start(&world);
    for (int i = 0; i < count; i++) {
        callers[i] = send_request(&world, PATH_ONCE, ids[i]);
        connections[i] = receive_request(&world);
    }
    for (int i = 0; i < count; i++) {
        char *refusal = format_refusal(ids[i], c->answers[i]);

        answer(&world, connections[i], refusal,
               i == count - 1 ? c->counter : CTR_TARGET_PAUSES);
        g_free(refusal);
        if (find_exchange(&world, ids[i]) != NULL) {
            cancel(&world, callers[i], ids[i]);
        }
        else {
            close(callers[i]);
        }
    }
    for (const char *command = c->script; *command != '\0'; command++) {
        run_command(&world, NULL, -1, *command);
    }
    /* A freeze passes the end, which the planner knows without being told. */
    if (strchr(c->script, 'f') == NULL) {
        g_assert_cmpint(MAX(world.told_pause_ms - world.now_ms, 0), ==,
                        c->pause_ms);
    }
    if (c->pause_ms > 0) {
        g_assert_false(goes_to_target(&world));
        advance(&world, c->pause_ms - 1);
        g_assert_false(goes_to_target(&world));
        advance(&world, 1);
    }
    g_assert_true(goes_to_target(&world));
    world_stop(&world);
}

/* Guards against a time that is taken from an answer that is none of the
 * target's own, or no refusal. */
static const struct foreign_case foreign_pause_cases[] = {
    {"late_second_copy",
     "HTTP/1.1 503 Busy\r\nAttempt-Id: a\r\nNot-Executed: 1\r\n"
     "Retry-After: 30\r\nContent-Length: 0\r\n\r\n" OWN("b"),
     CTR_ANSWERS, "A"},
    {"failure",
     "HTTP/1.1 500 Failed\r\nAttempt-Id: b\r\nServer-Seal: s\r\n"
     "Retry-After: 30\r\nContent-Length: 0\r\n\r\n",
     CTR_ANSWERS, "A"},
    {"of_another_target",
     "HTTP/1.1 503 Busy\r\nAttempt-Id: b\r\nNot-Executed: 1\r\n"
     "Instance-Id: C\r\nRetry-After: 30\r\nContent-Length: 0\r\n\r\n",
     CTR_TARGET_PAUSES, "A"},
};

/* Guards against callers that all reach a target when its time ends, and
 * against such that wait in vain. */
struct return_case {
    const char *name;
    const char *deadline_ms; /* of each caller */
    int served;              /* of RETURN_CALLERS */
};

enum {
    RETURN_CALLERS = 40,
    TARGET_PAUSE_MS = 3000,
    TARGET_RUN_MS = 100,
    TARGET_SLOTS = 4, /* see post_entry() */
    CALLER_INTERVAL_MS = 10,
};

static const struct return_case return_cases[] = {
    {"patient_callers", "20000", RETURN_CALLERS},
    {"callers_that_leave_before_its_end", "2500", 0},
};

struct caller {
    int fd;
    int64_t came_ms;
    int64_t done_ms; /* 0 before its answer */
    bool served;
    double retry_after_s;
};

/* Reads the answers that have come. */
static void
read_answers(struct world *world, struct caller *callers)
{
    char text[2048];

    for (int i = 0; i < RETURN_CALLERS; i++) {
        ssize_t bytes;

        if (callers[i].fd <= 0 || callers[i].done_ms != 0 ||
            !is_readable(callers[i].fd)) {
            continue;
        }
        bytes = recv(callers[i].fd, text, sizeof(text) - 1, 0);
        g_assert_cmpint(bytes, >, 0);
        text[bytes] = '\0';
        callers[i].done_ms = world->now_ms;
        callers[i].served = g_str_has_prefix(text, "HTTP/1.1 200");
        if (!callers[i].served) {
            const char *field = strstr(text, "Retry-After: ");

            g_assert_nonnull(field);
            callers[i].retry_after_s = g_ascii_strtod(field + 13, NULL);
        }
    }
}

/* Requests that have arrived at the target, each with its time. */
struct run {
    int connection;
    int64_t arrived_ms;
    char id[8];
};

/* Takes in what has arrived at the target. Returns how much. */
static int
take_arrivals(struct world *world, GArray *runs)
{
    char text[2048];
    int count = 0;

    accept_connections(world);
    for (int i = 0; i < world->connection_count; i++) {
        struct run run = {.connection = world->connections[i],
                          .arrived_ms = world->now_ms};
        ssize_t bytes =
            recv(run.connection, text, sizeof(text) - 1, MSG_DONTWAIT);
        const char *id;

        if (bytes <= 0) {
            continue;
        }
        text[bytes] = '\0';
        id = strstr(text, "Attempt-Id: ") + 12;
        g_strlcpy(run.id, id, MIN(strcspn(id, "\r") + 1, sizeof(run.id)));
        g_array_append_val(runs, run);
        count++;
    }
    return count;
}

/* Answers what has run for long enough. */
static void
end_runs(struct world *world, GArray *runs)
{
    while (runs->len > 0 &&
           world->now_ms - g_array_index(runs, struct run, 0).arrived_ms >=
               TARGET_RUN_MS) {
        struct run *run = &g_array_index(runs, struct run, 0);
        char *text = g_strdup_printf(
            "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n"
            "Content-Length: 2\r\n\r\nok",
            run->id);

        answer(world, run->connection, text, CTR_ANSWERS);
        g_free(text);
        g_array_remove_index(runs, 0);
    }
}

/* Lets all that is in the sockets arrive. */
static void
settle(struct world *world)
{
    struct epoll_event event;

    for (int i = 0; epoll_wait(world->relay->epoll_fd, &event, 1, 0) > 0;
         i++) {
        g_assert_cmpint(i, <, SETTLE_ROUNDS_MAX);
        step(world, 0);
    }
}

static void
send_caller(struct world *world, const struct return_case *c,
            struct caller *caller, int number)
{
    uint64_t calls = counter_read(CTR_CALLS);
    char *request = g_strdup_printf(
        "GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: c%d\r\n"
        "Deadline-Ms: %s\r\n\r\n",
        number, c->deadline_ms);

    caller->fd = connect_to(relay_front_port(world->relay));
    caller->came_ms = world->now_ms;
    send_text(caller->fd, request);
    g_free(request);
    for (int i = 0; counter_read(CTR_CALLS) == calls; i++) {
        g_assert_cmpint(i, <, ROUNDS_MAX);
        step(world, EVENT_WAIT_MS);
    }
}

static void
check_callers(const struct return_case *c, const struct caller *callers,
              int64_t until_ms)
{
    int64_t worst_refused_ms = 0;
    int64_t worst_served_ms = 0;
    int served = 0;

    for (int i = 0; i < RETURN_CALLERS; i++) {
        int64_t waited_ms = callers[i].done_ms - callers[i].came_ms;
        double left_s = (double)(until_ms - callers[i].came_ms) / 1000.0;

        g_assert_cmpint(callers[i].done_ms, !=, 0);
        if (callers[i].served) {
            served++;
            worst_served_ms = MAX(worst_served_ms, waited_ms);
            continue;
        }
        worst_refused_ms = MAX(worst_refused_ms, waited_ms);
        /* Not before the target takes requests, nor much after. */
        g_assert_cmpfloat(callers[i].retry_after_s, >=, left_s);
        g_assert_cmpfloat(callers[i].retry_after_s, <=, left_s + 2.0);
    }
    g_test_message("served %d of %d, worst wait %d ms, of a refused one %d ms",
                   served, RETURN_CALLERS, (int)worst_served_ms,
                   (int)worst_refused_ms);
    g_assert_cmpint(served, ==, c->served);
    g_assert_cmpint(worst_refused_ms, <=, 2 * CALLER_INTERVAL_MS);
}

static void
test_return(gconstpointer data)
{
    const struct return_case *c = data;
    struct caller callers[RETURN_CALLERS] = {0};
    GArray *runs = g_array_new(FALSE, TRUE, sizeof(struct run));
    struct world world;
    int64_t until_ms;
    char *refusal;
    int first;
    int come = 0;

    world_start(&world);
    first = send_request(&world, PATH_ONCE, "a");
    refusal = format_refusal("a", "3");
    answer(&world, receive_request(&world), refusal, CTR_TARGET_PAUSES);
    g_free(refusal);
    cancel(&world, first, "a");
    until_ms = world.now_ms + TARGET_PAUSE_MS;
    for (int round = 0; world.now_ms < until_ms + 8000; round++) {
        int64_t since_ms;
        int arrived;

        if (come < RETURN_CALLERS) {
            send_caller(&world, c, &callers[come], come);
            come++;
        }
        settle(&world);
        arrived = take_arrivals(&world, runs);
        since_ms = world.now_ms - until_ms;
        g_assert_true(since_ms >= 0 || arrived == 0);
        if (since_ms >= 0 && since_ms < PAUSE_RETURN_MS) {
            g_assert_cmpint(
                (int)runs->len, <=,
                1 + (int)(since_ms * TARGET_SLOTS / PAUSE_RETURN_MS));
        }
        end_runs(&world, runs);
        read_answers(&world, callers);
        advance(&world, CALLER_INTERVAL_MS);
    }
    check_callers(c, callers, until_ms);
    for (int i = 0; i < RETURN_CALLERS; i++) {
        close(callers[i].fd);
    }
    g_array_free(runs, TRUE);
    world_stop(&world);
}

/* Guards against callers that wait for the wrong one of several targets that
 * have all turned requests away, or are sent away for longer than needed. */
static void
test_all_pause(void)
{
    struct world world;
    char *refusal;
    char *text;
    int callers[2];
    char bytes[2048] = "";

    world_start(&world);
    post_entry(&world, "B", world.target_port, STARTED_MS, false,
               TARGET_CHANGED);
    step(&world, EVENT_WAIT_MS);
    callers[0] = send_request(&world, PATH_ONCE, "a");
    for (int i = 0; i < 2; i++) {
        refusal = format_refusal("a", i == 0 ? "5" : "2");
        answer(&world, receive_request(&world), refusal, CTR_TARGET_PAUSES);
        g_free(refusal);
    }
    g_assert_cmpstr(place_of(&world, "a"), ==, "wait");
    callers[1] = connect_to(relay_front_port(world.relay));
    text = g_strdup("GET /once/1 HTTP/1.1\r\nHost: h\r\nAttempt-Id: b\r\n"
                    "Deadline-Ms: 1500\r\n\r\n");
    send_text(callers[1], text);
    g_free(text);
    for (int i = 0; !is_readable(callers[1]); i++) {
        g_assert_cmpint(i, <, ROUNDS_MAX);
        step(&world, EVENT_WAIT_MS);
    }
    g_assert_cmpint(recv(callers[1], bytes, sizeof(bytes) - 1, 0), >, 0);
    g_assert_true(g_str_has_prefix(bytes, "HTTP/1.1 503"));
    g_assert_cmpfloat(
        g_ascii_strtod(strstr(bytes, "Retry-After: ") + 13, NULL), >=, 2.0);
    g_assert_cmpfloat(
        g_ascii_strtod(strstr(bytes, "Retry-After: ") + 13, NULL), <=, 3.5);
    advance(&world, 1999);
    g_assert_cmpstr(place_of(&world, "a"), ==, "wait");
    advance(&world, 1);
    g_assert_cmpstr(place_of(&world, "a"), ==, "B");
    close(callers[0]);
    close(callers[1]);
    world_stop(&world);
}

/* Guards against a request that waits for the end of another target's pause
 * although the one that turned it away is free again. */
static void
test_free_beside_pause(void)
{
    struct world world;
    char *refusal = format_refusal("a", "10");
    char *free_one;
    int callers[2];

    world_start(&world);
    post_entry(&world, "B", world.target_port, STARTED_MS, false,
               TARGET_CHANGED);
    step(&world, EVENT_WAIT_MS);
    callers[0] = send_request(&world, PATH_ONCE, "a");
    answer(&world, receive_request(&world), refusal, CTR_TARGET_PAUSES);
    receive_request(&world);
    free_one = g_strdup(place_of(&world, "a"));
    callers[1] = send_request(&world, PATH_ONCE, "b");
    answer(&world, receive_request(&world),
           "HTTP/1.1 503 Busy\r\nAttempt-Id: b\r\nNot-Executed: 1\r\n"
           "Content-Length: 0\r\n\r\n",
           CTR_RETRY_BUSY);
    g_assert_cmpstr(place_of(&world, "b"), ==, "wait");
    advance(&world, 500);
    g_assert_cmpstr(place_of(&world, "b"), ==, free_one);
    close(callers[0]);
    close(callers[1]);
    g_free(refusal);
    g_free(free_one);
    world_stop(&world);
}

static const struct cases groups[] = {
    CASES("/notice/connecting", connecting_cases, test_connecting),
    CASES("/notice/pause", pause_cases, test_pause),
    CASES("/notice/foreign_pause", foreign_pause_cases, test_foreign),
    CASES("/notice/return", return_cases, test_return),
    CASES("/notice/leaving", leaving_cases, test_leaving),
    CASES("/notice/foreign", foreign_cases, test_foreign),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/notice/idle", test_idle);
    g_test_add_func("/notice/stream", test_stream);
    g_test_add_func("/notice/all_pause", test_all_pause);
    g_test_add_func("/notice/free_beside_pause", test_free_beside_pause);
    return g_test_run();
}
