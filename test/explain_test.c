/*
 * Tests of GET /route and "turmericctl route". The relay runs in virtual time
 * in the test's thread; targets and callers are sockets of the same thread.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/wait.h>
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
#include "gate/team/dat.h"
#include "gate/team/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/relay/internal.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "relay_fixture.h"

enum {
    EVENTS_MAX = 64,
    EVENT_WAIT_MS = 5000, /* real time, for events that must come */
    POLL_MS = 10,
    START_MS = 100000,
    BOOT_AHEAD_MS = 50000,
    REVOCATION_MS = 5000,
    LONG_MS = 60000,
    TARGETS = 2,
    SLOTS = 8,
    TOKEN_CAPACITY = 1000,
};

static char *program;

#define ROUTE(name, kind, more)                                               \
    "{\"name\":\"" name "\",\"host\":\"h\",\"path_prefix\":\"/" name "/\","   \
    "\"kind\":\"" kind "\",\"timeout_ms\":20000,"                             \
    "\"latency_goal_ms\":500,\"max_attempts\":2," more "}"
#define PUBLIC "\"public\":true,"
#define SERVICE "\"service\":\"s\""
#define NO_SERVICE "\"split\":[{\"service\":\"s\",\"weight\":0}]"

static const char *const routes[] = {
    ROUTE("private", "idempotent", SERVICE),
    ROUTE("public", "idempotent", PUBLIC SERVICE),
    ROUTE("closed", "idempotent", PUBLIC NO_SERVICE),
    ROUTE("stream", "stream", "\"resumable\":true," PUBLIC SERVICE),
    ROUTE("none", "idempotent", PUBLIC "\"service\":\"none\""),
    ROUTE("model", "idempotent", PUBLIC "\"service\":\"llm\""),
    NULL,
};

static const char others_text[] =
    "\"services\":[{\"name\":\"s\"},{\"name\":\"none\"},"
    "{\"name\":\"llm\",\"engine\":{\"models\":[{\"name\":\"m\"}]}}],"
    "\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"key-a\"]},"
    "{\"name\":\"q\",\"api_keys\":[\"key-q\"],\"rate_per_s\":1000,"
    "\"burst\":1000,\"unit\":\"tokens\",\"plain_tokens\":7}]";

struct fixture {
    struct gate_settings settings;
    struct relay_port port;
    struct relay *relay;
    int listeners[TARGETS];
    int64_t now_ms;
    struct quota_ask *ask; /* the last one; NULL for none */
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

static void
keep_ask(struct relay_port *port, struct quota_ask *ask)
{
    struct fixture *fixture =
        (struct fixture *)((char *)port - offsetof(struct fixture, port));

    g_clear_pointer(&fixture->ask, quota_ask_free);
    fixture->ask = ask;
}

static const struct relay_port_ops port_ops = {drop_activity,  drop_crashes,
                                               drop_leaving,   drop_pause,
                                               ignore_drained, keep_ask};

static void
step(struct fixture *fixture, int wait_ms)
{
    struct epoll_event events[EVENTS_MAX];
    int count =
        epoll_wait(fixture->relay->epoll_fd, events, EVENTS_MAX, wait_ms);

    relay_handle_events(fixture->relay, events, count, fixture->now_ms);
}

static void
advance(struct fixture *fixture, int64_t duration_ms)
{
    int64_t end_ms = fixture->now_ms + duration_ms;

    while (fixture->now_ms < end_ms) {
        int64_t due_ms = relay_next_due_ms(fixture->relay, fixture->now_ms);

        fixture->now_ms = CLAMP(due_ms, fixture->now_ms, end_ms);
        step(fixture, 0);
        if (due_ms <= fixture->now_ms) {
            fixture->now_ms++;
        }
    }
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

static void
post_config(struct fixture *fixture)
{
    char *list = g_strjoinv(",", (char **)routes);
    char *text = g_strdup_printf("{\"version\":1,\"routes\":[%s],%s}", list,
                                 others_text);
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(text, strlen(text), &err);

    g_assert_cmpstr(err.text, ==, "");
    for (int i = 0; i < config->service_count; i++) {
        config->services[i].token_capacity = TOKEN_CAPACITY;
    }
    g_assert_true(relay_post_config(fixture->relay, config));
    gate_config_unref(config);
    g_free(text);
    g_free(list);
}

static void
fixture_start(struct fixture *fixture, bool configured)
{
    struct err err = {0};

    memset(fixture, 0, sizeof(*fixture));
    fixture->now_ms = START_MS;
    fill_settings(&fixture->settings);
    g_strlcpy(fixture->settings.metrics_address, "127.0.0.1:0",
              ADDRESS_MAX_BYTES);
    fixture->settings.limits.key_revocation_ms = REVOCATION_MS;
    fixture->port.ops = &port_ops;
    fixture->relay =
        relay_new(&fixture->settings, &platform_dialect, &fixture->port, &err);
    g_assert_nonnull(fixture->relay);
    fixture->relay->boot_offset_ms = BOOT_AHEAD_MS;
    for (int i = 0; i < TARGETS; i++) {
        int port;

        fixture->listeners[i] = listen_any(&port);
        post_target(fixture->relay, i, port);
    }
    relay_post_targets_listed(fixture->relay);
    if (configured) {
        post_config(fixture);
    }
    step(fixture, EVENT_WAIT_MS);
}

static void
fixture_stop(struct fixture *fixture)
{
    relay_free(fixture->relay);
    for (int i = 0; i < TARGETS; i++) {
        close(fixture->listeners[i]);
    }
    g_clear_pointer(&fixture->ask, quota_ask_free);
}

static void
prove_keys(struct fixture *fixture)
{
    struct confirmation confirmation = {
        .version = 1, .boot_ms = fixture->now_ms + BOOT_AHEAD_MS};

    relay_post_confirmation(fixture->relay, &confirmation);
    step(fixture, EVENT_WAIT_MS);
}

static struct target_record *
record_of(struct fixture *fixture, const char *id)
{
    return &target_find(fixture->relay, id)->record;
}

static void
load_first(struct fixture *fixture)
{
    record_of(fixture, "i-0")->running_elsewhere = 3;
}

static void
load_second(struct fixture *fixture)
{
    record_of(fixture, "i-1")->running_elsewhere = 3;
}

static void
put_in_backoff(struct fixture *fixture)
{
    load_second(fixture);
    record_of(fixture, "i-0")->health.backoff_until_ms = START_MS + 1;
}

static void
leave_first(struct fixture *fixture)
{
    load_second(fixture);
    record_of(fixture, "i-0")->leaving_ms = START_MS;
}

static void
fill_memory(struct fixture *fixture)
{
    load_second(fixture);
    record_of(fixture, "i-0")->tokens_elsewhere = 900;
}

/* A pause is kept beside the table of targets, too. */
static void
pause_target(struct fixture *fixture, const char *id)
{
    struct pause_notice *notice = g_new0(struct pause_notice, 1);
    struct relay_target *target = target_find(fixture->relay, id);

    notice->target = target_identity_of(&target->record.info);
    notice->pause.since_ms = START_MS;
    notice->pause.until_ms = START_MS + LONG_MS;
    g_hash_table_insert(fixture->relay->pauses, notice->target.id, notice);
    pause_mark(fixture->relay, target);
}

static void
pause_first(struct fixture *fixture)
{
    load_second(fixture);
    pause_target(fixture, "i-0");
}

static void
pause_both(struct fixture *fixture)
{
    pause_target(fixture, "i-0");
    pause_target(fixture, "i-1");
}

static void
fill_both(struct fixture *fixture)
{
    record_of(fixture, "i-0")->running_elsewhere = 2 * SLOTS;
    record_of(fixture, "i-1")->running_elsewhere = 2 * SLOTS;
}

/* Answers to the stream route have 41 events for 280 tokens. */
static void
learn_answers(struct fixture *fixture, int first_interval_ms,
              int second_interval_ms)
{
    enum { ANSWERS = 20, EVENTS = 100 };
    struct finish_history *history = g_new0(struct finish_history, 1);
    uint64_t key = hash_text("stream");

    for (int i = 0; i < ANSWERS; i++) {
        const struct finish_answer answer = {41, 280, 300, 100.0};

        finish_history_add(history, &answer, fixture->now_ms);
    }
    g_hash_table_insert(fixture->relay->finishes, g_memdup2(&key, sizeof(key)),
                        history);
    event_intervals_add(&record_of(fixture, "i-0")->intervals, EVENTS,
                        (int64_t)EVENTS * first_interval_ms, fixture->now_ms);
    event_intervals_add(&record_of(fixture, "i-1")->intervals, EVENTS,
                        (int64_t)EVENTS * second_interval_ms, fixture->now_ms);
}

/* Both targets have a place behind others, the first one too slow. */
static void
slow_first(struct fixture *fixture)
{
    learn_answers(fixture, 100, 10);
    record_of(fixture, "i-0")->running_elsewhere = SLOTS;
    record_of(fixture, "i-1")->running_elsewhere = SLOTS + 1;
}

/* The answer would end after this instance, and another one serves. */
static void
stop_early(struct fixture *fixture)
{
    GArray *members = g_array_new(FALSE, TRUE, sizeof(struct gate_member));

    g_array_set_size(members, 1);
    g_array_index(members, struct gate_member, 0).id = 77;
    g_strlcpy(g_array_index(members, struct gate_member, 0).front_address,
              "10.9.8.7:1", ADDRESS_MAX_BYTES);
    relay_post_members(fixture->relay, members);
    g_array_free(members, TRUE);
    step(fixture, EVENT_WAIT_MS);
    learn_answers(fixture, 200, 200);
    fixture->relay->draining = true;
    fixture->relay->drain_started_ms = START_MS;
}

/* Sends a request and waits until the relay has read it. */
static int
call(struct fixture *fixture, const char *text)
{
    int caller = connect_to(relay_front_port(fixture->relay));
    uint64_t before = counter_read(CTR_CALLS);

    send_text(caller, text);
    while (counter_read(CTR_CALLS) == before) {
        step(fixture, EVENT_WAIT_MS);
    }
    return caller;
}

/* Half a second in which two requests got places and fifty came; one of them
 * waits, whose connection ends with the relay. */
static void
overload(struct fixture *fixture)
{
    struct queue_pace *pace;
    struct exchange *exchange;
    uint32_t cursor = 0;
    int caller;

    fill_both(fixture);
    caller = call(fixture, "GET /public/w HTTP/1.1\r\nHost: h\r\n"
                           "Attempt-Id: w\r\n\r\n");
    exchange = table_next(&fixture->relay->exchanges, &cursor, NULL);
    g_assert_true(exchange->queued);
    pace = queue_pace_of(fixture->relay, exchange, fixture->now_ms);
    pace->arrived = 50.0;
    pace->taken = 2.0;
    pace->waiting_s = 2.0;
    g_assert_cmpint(caller, >=, 0);
}

static void
stop_late(struct fixture *fixture)
{
    fixture->relay->draining = true;
    fixture->relay->drain_started_ms = START_MS - 3200;
}

static void
quarantine(struct fixture *fixture)
{
    uint64_t request = hash_pair(hash_text("/public/x"), hash_text(""));
    struct trait_set traits = {
        {{hash_pair(request, hash_bytes(NULL, 0)), WHOLE_REQUEST}}, 1};

    quarantine_begin(&fixture->relay->crashes->quarantine, &traits, false,
                     fixture->now_ms);
    /* Work that is due because of it isn't done beside the question. */
    advance(fixture, 1);
}

static struct spend_team *
limited_team(struct fixture *fixture)
{
    return spend_find(fixture->relay->spend, hash_text("q"));
}

static void
grant_some(struct fixture *fixture)
{
    prove_keys(fixture);
    limited_team(fixture)->granted_ms = fixture->now_ms + BOOT_AHEAD_MS;
    limited_team(fixture)->limit = 200;
}

static void
use_up_quota(struct fixture *fixture)
{
    prove_keys(fixture);
    limited_team(fixture)->ask_at_ms = INT64_MAX;
    limited_team(fixture)->room_at_ms = fixture->now_ms + BOOT_AHEAD_MS + 3000;
}

/* The holder doesn't answer an ask. */
static void
lose_holder(struct fixture *fixture)
{
    int caller;

    prove_keys(fixture);
    caller = call(fixture, "GET /private/w HTTP/1.1\r\nHost: h\r\n"
                           "Attempt-Id: w\r\nKey: key-q\r\n\r\n");
    advance(fixture, QUOTA_WAIT_MS + 1);
    close(caller);
    while (table_count(&fixture->relay->exchanges) > 0) {
        step(fixture, EVENT_WAIT_MS);
    }
}

/* Time in which callers' connections are kept for want of a configuration. */
static void
pass_start(struct fixture *fixture)
{
    advance(fixture, FRONT_HOLD_MS + 100);
}

/* Guards against an explanation that differs from what then happens to the
 * same request, and against one that changes what happens. */
struct explain_case {
    const char *name;
    void (*prepare)(struct fixture *fixture); /* NULL for nothing */
    const char *path;
    const char *query;
    const char *fields;
    const char *verdict;
    const char *outcome; /* target or reason; empty when it waits */
    bool unconfigured;
};

static const struct explain_case explain_cases[] = {
    {"second", load_first, "/public/x", "", "", "sent", "i-1", false},
    {"first", load_second, "/public/x", "", "", "sent", "i-0", false},
    {"backoff", put_in_backoff, "/public/x", "", "", "sent", "i-1", false},
    {"leaving", leave_first, "/public/x", "", "", "sent", "i-1", false},
    {"paused", pause_first, "/public/x", "", "", "sent", "i-1", false},
    {"memory", fill_memory, "/public/x", "&prompt_tokens=150&output_tokens=50",
     "Token-Count: 150,50\r\n", "sent", "i-1", false},
    {"full", fill_both, "/public/x", "", "", "waits", "", false},
    {"no_targets", NULL, "/none/x", "", "", "waits", "", false},
    {"granted", grant_some, "/private/x",
     "&team=q&prompt_tokens=150&output_tokens=50",
     "Key: key-q\r\nToken-Count: 150,50\r\n", "sent", "i-0", false},
    {"beyond_grant", grant_some, "/private/x",
     "&team=q&prompt_tokens=150&output_tokens=51",
     "Key: key-q\r\nToken-Count: 150,51\r\n", "waits_for_grant", "", false},
    {"other_team", grant_some, "/private/x", "&team=a", "Key: key-a\r\n",
     "sent", "i-0", false},
    {"not_ready", pass_start, "/public/x", "", "", "refused", "not_ready",
     true},
    {"not_found", NULL, "/other/x", "", "", "refused", "not_found", false},
    {"key_unknown", prove_keys, "/private/x", "", "", "refused", "key_unknown",
     false},
    {"team_unknown", prove_keys, "/private/x", "&team=z", "Key: key-z\r\n",
     "refused", "key_unknown", false},
    {"keys_unproven", NULL, "/private/x", "&team=a", "Key: key-a\r\n",
     "refused", "keys_unproven", false},
    {"quota", use_up_quota, "/private/x", "&team=q", "Key: key-q\r\n",
     "refused", "quota", false},
    {"quota_unknown", lose_holder, "/private/x", "&team=q", "Key: key-q\r\n",
     "refused", "quota_unknown", false},
    {"stopped", stop_late, "/public/x", "", "", "refused", "stopped", false},
    {"would_not_end", stop_early, "/stream/x",
     "&prompt_tokens=700&output_tokens=280", "Token-Count: 700,280\r\n",
     "refused", "stopped", false},
    {"held_off", slow_first, "/stream/x",
     "&prompt_tokens=700&output_tokens=280&deadline_ms=3000",
     "Token-Count: 700,280\r\nDeadline-Ms: 3000\r\n", "sent", "i-1", false},
    {"no_service", NULL, "/closed/x", "", "", "refused", "no_target", false},
    {"unknown_model", NULL, "/model/x", "&model=absent-1",
     "Model: absent-1\r\n", "refused", "unknown_model", false},
    {"known_model", NULL, "/model/x", "&model=m", "Model: m\r\n", "waits", "",
     false},
    {"too_many_tokens", NULL, "/public/x",
     "&prompt_tokens=1000&output_tokens=1", "Token-Count: 1000,1\r\n",
     "refused", "no_target", false},
    {"deadline", NULL, "/public/x", "&deadline_ms=0", "Deadline-Ms: 0\r\n",
     "refused", "deadline", false},
    {"quarantined", quarantine, "/public/x", "", "", "refused", "quarantined",
     false},
    {"too_late", pause_both, "/public/x", "", "", "refused", "too_late",
     false},
    {"shed", overload, "/public/x", "", "", "refused", "shed", false},
};

static char *
read_answer(struct fixture *fixture, int fd)
{
    char bytes[16384];
    ssize_t count = -1;

    while ((count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT)) < 0) {
        g_assert_cmpint(errno, ==, EAGAIN);
        step(fixture, POLL_MS);
    }
    return g_strndup(bytes, (gsize)count);
}

static struct json_object *
ask(struct fixture *fixture, const char *path, const char *query)
{
    char *request = g_strdup_printf(
        "GET /route?host=h&path=%s%s HTTP/1.1\r\nHost: x\r\n\r\n", path,
        query);
    int caller = connect_to(relay_metrics_port(fixture->relay));
    struct json_object *json;
    char *text;

    send_text(caller, request);
    text = read_answer(fixture, caller);
    g_test_message("%s", text);
    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 200"));
    g_assert_null(strstr(text, "key-"));
    json = json_tokener_parse(strstr(text, "\r\n\r\n") + 4);
    g_assert_nonnull(json);
    close(caller);
    while (table_count(&fixture->relay->clients) >
           table_count(&fixture->relay->exchanges)) {
        step(fixture, EVENT_WAIT_MS);
    }
    g_free(text);
    g_free(request);
    return json;
}

static void
add_table(GByteArray *state, GHashTable *table, size_t bytes)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, table);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_byte_array_append(state, value, (guint)bytes);
    }
}

/* All that a request may count, charge, queue or take. */
static GByteArray *
copy_state(struct fixture *fixture)
{
    struct relay *relay = fixture->relay;
    GByteArray *state = g_byte_array_new();
    char counters[65536];
    uint32_t sizes[] = {
        g_hash_table_size(relay->queues),
        g_hash_table_size(relay->marked_queues),
        g_hash_table_size(relay->arrivals),
        table_count(&relay->exchanges),
        table_count(&relay->upstreams),
        (uint32_t)g_queue_get_length(&relay->quota_waiting),
        (uint32_t)relay->report_soon,
    };

    g_byte_array_append(state, (void *)counters,
                        (guint)counters_format(counters, sizeof(counters)));
    g_byte_array_append(state, (void *)sizes, sizeof(sizes));
    g_byte_array_append(state, (void *)&relay->random_state,
                        sizeof(relay->random_state));
    g_byte_array_append(state, (void *)relay->spend, sizeof(*relay->spend));
    g_byte_array_append(state, (void *)&relay->crashes->quarantine,
                        sizeof(relay->crashes->quarantine));
    add_table(state, relay->spend->teams, sizeof(struct spend_team));
    add_table(state, relay->paces, sizeof(struct queue_pace));
    add_table(state, relay->kind_sizes, sizeof(struct kind_sizes));
    add_table(state, relay->served_shares, sizeof(struct served_share));
    add_table(state, relay->retry_budgets, sizeof(struct retry_budget));
    for (int i = 0; i < TARGETS; i++) {
        char id[NAME_MAX_BYTES];

        g_snprintf(id, sizeof(id), "i-%d", i);
        g_byte_array_append(state, (void *)record_of(fixture, id),
                            sizeof(struct target_record));
    }
    return state;
}

static const char *
text_of(struct json_object *json, const char *name)
{
    struct json_object *value = json_object_object_get(json, name);

    return value != NULL ? json_object_get_string(value) : "";
}

static void
expect_refusal(const char *answer, struct json_object *json)
{
    char *reason = g_strdup_printf("refusal:%s\"", text_of(json, "reason"));
    const char *retry = strstr(answer, "Retry-After: ");

    g_assert_cmpint(atoi(answer + strlen("HTTP/1.1 ")), ==,
                    atoi(text_of(json, "status")));
    g_assert_nonnull(strstr(answer, reason));
    g_assert_cmpfloat_with_epsilon(
        retry != NULL ? g_ascii_strtod(retry + 13, NULL) : 0.0,
        g_ascii_strtod(text_of(json, "retry_ms"), NULL) / 1000.0, 0.0001);
    g_free(reason);
}

static struct exchange *
find_request(struct fixture *fixture)
{
    struct exchange *exchange;
    uint32_t cursor = 0;

    while ((exchange = table_next(&fixture->relay->exchanges, &cursor,
                                  NULL)) != NULL) {
        if (strcmp(exchange->meta.attempt_id, "a") == 0) {
            return exchange;
        }
    }
    return NULL;
}

/* Compares an explanation with what has become of the request. */
static void
expect_same(struct fixture *fixture, int caller, struct json_object *json)
{
    const struct exchange *exchange = find_request(fixture);
    const char *verdict = text_of(json, "verdict");
    const struct relay_target *target;
    char *answer;

    if (exchange == NULL) {
        answer = read_answer(fixture, caller);
        g_test_message("%s", answer);
        g_assert_cmpstr(verdict, ==, "refused");
        expect_refusal(answer, json);
        g_free(answer);
    }
    else if (exchange->quota_waiting || exchange->queued) {
        g_assert_cmpstr(verdict, ==,
                        exchange->queued ? "waits" : "waits_for_grant");
    }
    else {
        target = table_get(&fixture->relay->targets, exchange->target);
        g_assert_nonnull(target);
        g_assert_cmpstr(verdict, ==, "sent");
        g_assert_cmpstr(target->record.info.id, ==, text_of(json, "target"));
    }
}

static void
test_explain(gconstpointer data)
{
    const struct explain_case *c = data;
    struct fixture fixture;
    struct json_object *json;
    GByteArray *before;
    GByteArray *after;
    char *request = g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h:80\r\nAttempt-Id: a\r\n%s\r\n", c->path,
        c->fields);
    int caller;

    fixture_start(&fixture, !c->unconfigured);
    if (c->prepare != NULL) {
        c->prepare(&fixture);
    }
    before = copy_state(&fixture);
    json = ask(&fixture, c->path, c->query);
    after = copy_state(&fixture);
    g_assert_cmpmem(before->data, before->len, after->data, after->len);
    g_assert_cmpstr(text_of(json, "verdict"), ==, c->verdict);
    g_assert_cmpstr(
        text_of(json, strcmp(c->verdict, "sent") == 0 ? "target" : "reason"),
        ==, c->outcome);
    caller = call(&fixture, request);
    expect_same(&fixture, caller, json);
    close(caller);
    g_byte_array_unref(before);
    g_byte_array_unref(after);
    json_object_put(json);
    g_free(request);
    fixture_stop(&fixture);
}

/* Guards against a target that is named without the reason why it isn't
 * taken, or with another's. */
struct fails_case {
    const char *name;
    void (*prepare)(struct fixture *fixture);
    const char *path;
    const char *query;
    const char *fails; /* of target i-0 */
};

static const struct fails_case fails_cases[] = {
    {"none", load_second, "/public/x", "", "[]"},
    {"backoff", put_in_backoff, "/public/x", "", "[\"backoff\"]"},
    {"leaving", leave_first, "/public/x", "", "[\"leaving\"]"},
    {"pause", pause_first, "/public/x", "", "[\"pause\"]"},
    {"capacity", fill_both, "/public/x", "", "[\"capacity\"]"},
    {"memory", fill_memory, "/public/x", "&prompt_tokens=150&output_tokens=50",
     "[\"memory\"]"},
    {"hold_off", slow_first, "/stream/x",
     "&prompt_tokens=700&output_tokens=280&deadline_ms=3000",
     "[\"hold_off\"]"},
};

static void
test_fails(gconstpointer data)
{
    const struct fails_case *c = data;
    struct fixture fixture;
    struct json_object *json;
    struct json_object *targets;
    const char *fails = NULL;

    fixture_start(&fixture, true);
    c->prepare(&fixture);
    json = ask(&fixture, c->path, c->query);
    targets = json_object_object_get(json, "targets");
    g_assert_cmpuint(json_object_array_length(targets), ==, TARGETS);
    for (size_t i = 0; i < TARGETS; i++) {
        struct json_object *target = json_object_array_get_idx(targets, i);

        if (strcmp(text_of(target, "target"), "i-0") == 0) {
            fails = json_object_to_json_string_ext(
                json_object_object_get(target, "fails"),
                JSON_C_TO_STRING_PLAIN);
        }
    }
    g_assert_cmpstr(fails, ==, c->fails);
    json_object_put(json);
    fixture_stop(&fixture);
}

/* Guards against a request for a misspelt query that is explained as another,
 * and against an explanation on the callers' address. */
struct query_case {
    const char *name;
    const char *target;
    int status;
};

static const struct query_case query_cases[] = {
    {"valid", "GET /route?host=h&path=/public/x", 200},
    {"encoded", "GET /route?host=h&path=%2Fpublic%2Fx", 200},
    {"no_query", "GET /route", 404},
    {"no_host", "GET /route?path=/public/x", 400},
    {"no_path", "GET /route?host=h", 400},
    {"unknown_parameter", "GET /route?host=h&path=/x&modell=m", 400},
    {"no_number", "GET /route?host=h&path=/x&prompt_tokens=many", 400},
    {"negative", "GET /route?host=h&path=/x&deadline_ms=-1", 400},
    {"bad_encoding", "GET /route?host=h&path=/%zz", 400},
    {"post", "POST /route?host=h&path=/public/x", 404},
};

static void
test_query(gconstpointer data)
{
    const struct query_case *c = data;
    struct fixture fixture;
    char *request =
        g_strdup_printf("%s HTTP/1.1\r\nHost: x\r\n\r\n", c->target);
    char *text;
    int caller;

    fixture_start(&fixture, true);
    caller = connect_to(relay_metrics_port(fixture.relay));
    send_text(caller, request);
    text = read_answer(&fixture, caller);
    g_assert_cmpint(atoi(text + strlen("HTTP/1.1 ")), ==, c->status);
    g_free(text);
    g_free(request);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against exit codes that scripts can't tell apart, and against a table
 * without the reasons. */
struct program_case {
    const char *name;
    void (*prepare)(struct fixture *fixture);
    const char *arguments;
    int exit_code;
    const char *output;
};

static const struct program_case program_cases[] = {
    {"sent", load_first, "h /public/x", 0, "verdict: sent to i-1\n"},
    {"reason", put_in_backoff, "h /public/x", 0, "  backoff\n"},
    {"higher_cost", load_first, "h /public/x", 0, "  higher_cost\n"},
    {"waits", fill_both, "h /public/x", 0, "verdict: waits for a target\n"},
    {"json", load_first, "--json h /public/x", 0, "\"verdict\":\"sent\""},
    {"refused", load_first, "h /public/x deadline_ms=0", 1,
     "verdict: refused, deadline, status 503"},
    {"team", prove_keys, "h /private/x team=a", 0, "verdict: sent to"},
};

/* Runs the program while the relay serves it. */
static int
run_program(struct fixture *fixture, char **argv, char **output)
{
    GString *text = g_string_new(NULL);
    char bytes[4096];
    ssize_t count;
    GPid pid;
    int status;
    int out;

    g_assert_true(
        g_spawn_async_with_pipes(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                 NULL, NULL, &pid, NULL, &out, NULL, NULL));
    while (waitpid(pid, &status, WNOHANG) == 0) {
        step(fixture, POLL_MS);
    }
    while ((count = read(out, bytes, sizeof(bytes))) > 0) {
        g_string_append_len(text, bytes, count);
    }
    close(out);
    g_assert_true(WIFEXITED(status));
    *output = g_string_free(text, FALSE);
    return WEXITSTATUS(status);
}

static void
test_program(gconstpointer data)
{
    const struct program_case *c = data;
    struct fixture fixture;
    char *command_line;
    char **argv;
    char *output;
    int code;

    fixture_start(&fixture, true);
    c->prepare(&fixture);
    command_line =
        g_strdup_printf("%s route --address 127.0.0.1:%d %s", program,
                        relay_metrics_port(fixture.relay), c->arguments);
    argv = g_strsplit(command_line, " ", -1);
    code = run_program(&fixture, argv, &output);
    g_test_message("%s", output);
    g_assert_cmpint(code, ==, c->exit_code);
    g_assert_nonnull(strstr(output, c->output));
    g_free(output);
    g_strfreev(argv);
    g_free(command_line);
    fixture_stop(&fixture);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/explain/same", explain_cases, test_explain),
        CASES("/explain/fails", fails_cases, test_fails),
        CASES("/explain/query", query_cases, test_query),
        CASES("/explain/program", program_cases, test_program),
    };
    char *directory;
    int result;

    g_test_init(&argc, &argv, NULL);
    directory = g_path_get_dirname(argv[0]);
    program = g_build_filename(directory, "..", "turmericctl", NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    result = g_test_run();
    g_free(directory);
    g_free(program);
    return result;
}
