/*
 * Tests of teams: keys, the right to accept them, and what the relay does with
 * them. The relay runs in virtual time in the test's thread; target and caller
 * are sockets of the same thread.
 */
#include <arpa/inet.h>
#include <curl/curl.h>
#include <errno.h>
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
    START_MS = 100000,
    REVOCATION_MS = 5000,
    LEASE_MS = 4000,
    MANY_KEYS = 10000,
};

/* Guards against a request that is served without a key it needs, and against
 * one that is refused for good by an instance that may not know its key. */
struct decide_case {
    const char *name;
    struct team_facts facts;
    enum team_verdict verdict;
};

static const struct decide_case decide_cases[] = {
    {"no_teams", {.team = -1}, TEAM_NOT_NEEDED},
    {"public",
     {.has_teams = true, .public = true, .team = -1},
     TEAM_NOT_NEEDED},
    {"known",
     {.has_teams = true, .has_key = true, .team = 0, .lease_valid = true},
     TEAM_KNOWN},
    {"unknown",
     {.has_teams = true, .has_key = true, .team = -1, .lease_valid = true},
     TEAM_KEY_UNKNOWN},
    {"unusable",
     {.has_teams = true,
      .has_key = true,
      .team = 0,
      .unusable = true,
      .lease_valid = true},
     TEAM_UNUSABLE},
    {"unusable_without_lease",
     {.has_teams = true, .has_key = true, .team = 0, .unusable = true},
     TEAM_UNPROVEN},
    {"no_key",
     {.has_teams = true, .team = -1, .lease_valid = true},
     TEAM_KEY_UNKNOWN},
    {"known_without_lease",
     {.has_teams = true, .has_key = true, .team = 0},
     TEAM_UNPROVEN},
    {"unknown_without_lease",
     {.has_teams = true, .has_key = true, .team = -1},
     TEAM_UNPROVEN},
};

static void
test_decide(gconstpointer data)
{
    const struct decide_case *c = data;

    g_assert_cmpint(team_decide(&c->facts), ==, c->verdict);
}

/* Guards against a right that outlasts its proof, and against an older proof
 * that shortens or a late one that extends it. Times in ms. */
struct lease_case {
    const char *name;
    int64_t revocation_ms;
    int64_t confirmed_ms[3]; /* in the order of their arrival; -1 for none */
    int64_t now_ms;
    bool valid;
};

static const struct lease_case lease_cases[] = {
    {"no_limit", 0, {-1, -1, -1}, 0, true},
    {"limit_of_1_ms", 1, {-1, -1, -1}, 0, false},
    {"limit_of_1_ms_ended", 1, {1000, -1, -1}, 1001, false},
    {"never_confirmed", REVOCATION_MS, {-1, -1, -1}, 0, false},
    {"fresh", REVOCATION_MS, {1000, -1, -1}, 1000, true},
    {"last_ms", REVOCATION_MS, {1000, -1, -1}, 1000 + LEASE_MS - 1, true},
    {"ended", REVOCATION_MS, {1000, -1, -1}, 1000 + LEASE_MS, false},
    {"extended", REVOCATION_MS, {1000, 2000, -1}, 1500 + LEASE_MS, true},
    {"older_proof", REVOCATION_MS, {2000, 1000, -1}, 1500 + LEASE_MS, true},
    {"confirmed_at_boot", REVOCATION_MS, {0, -1, -1}, 10, true},
    {"from_the_past",
     REVOCATION_MS,
     {1000, 1001, 1002},
     1002 + LEASE_MS,
     false},
};

static void
test_lease(gconstpointer data)
{
    const struct lease_case *c = data;
    struct key_lease lease;

    key_lease_init(&lease, c->revocation_ms);
    for (int i = 0; i < 3; i++) {
        if (c->confirmed_ms[i] >= 0) {
            key_lease_confirm(&lease, c->confirmed_ms[i]);
        }
    }
    g_assert_cmpint(key_lease_is_valid(&lease, c->now_ms), ==, c->valid);
}

/* Guards against keys that are found for another team, or not at all, among
 * many, and against digests that differ behind the bytes by which they are
 * found only. */
static void
test_find(void)
{
    struct gate_config *config = gate_config_new(0, 0);
    struct key_digest twin;

    config->keys = g_new0(struct team_key, MANY_KEYS + 2);
    for (int i = 0; i < MANY_KEYS; i++) {
        char *key = g_strdup_printf("key-%d", i);

        config->keys[i].digest = key_digest_of(key);
        config->keys[i].team = i;
        g_free(key);
    }
    twin = key_digest_of("key-7");
    for (int i = 0; i < 2; i++) {
        twin.bytes[KEY_DIGEST_BYTES - 1] ^= (unsigned char)(i + 1);
        config->keys[MANY_KEYS + i].digest = twin;
        config->keys[MANY_KEYS + i].team = MANY_KEYS + i;
    }
    config->key_count = MANY_KEYS + 2;
    gate_config_sort_keys(config);
    for (int i = 0; i < MANY_KEYS; i++) {
        char *key = g_strdup_printf("key-%d", i);
        struct key_digest digest = key_digest_of(key);

        g_assert_cmpint(team_find(config, &digest), ==, i);
        g_free(key);
    }
    g_assert_cmpint(team_find(config, &twin), ==, MANY_KEYS + 1);
    twin = key_digest_of("key-10000");
    g_assert_cmpint(team_find(config, &twin), ==, -1);
    gate_config_unref(config);
}

/* Guards against teams that are read wrongly, against a configuration that is
 * rejected for one team, and against a team without the quota that it has. */
struct decode_case {
    const char *name;
    const char *teams; /* JSON; empty for none */
    bool usable;
    bool has_teams;
    const char *read;  /* of the first team */
    const char *fault; /* of the first part that is left out; NULL for none */
};

#define TEAM(rest) ",\"tenants\":[{\"name\":\"a\"," rest "}]"
#define PLAIN "a priority=-1 unit=0 plain=0 rate=0.0 burst=0"
#define NAMELESS "- priority=-1 unit=0 plain=0 rate=0.0 burst=0"

static const struct decode_case decode_cases[] = {
    {"none", "", true, false, "", NULL},
    {"empty", ",\"tenants\":[]", true, true, "", NULL},
    {"whole",
     TEAM("\"api_keys\":[\"k\",\"l\"],\"priority\":1,\"unit\":\"tokens\","
          "\"plain_tokens\":200,\"rate_per_s\":1.5,\"burst\":3"),
     true, true,
     "a priority=1 unit=1 plain=200 rate=1.5 burst=3 keys=2 unusable=0", NULL},
    {"sparse", ",\"tenants\":[{\"name\":\"a\"}]", true, true,
     PLAIN " keys=0 unusable=0", NULL},
    {"fractions",
     TEAM("\"priority\":2.0,\"plain_tokens\":199.5,\"rate_per_s\":2e3,"
          "\"burst\":7.0"),
     true, true,
     "a priority=2 unit=0 plain=200 rate=2000.0 burst=7 keys=0 unusable=0",
     NULL},
    {"nulls",
     TEAM("\"priority\":null,\"unit\":null,\"rate_per_s\":null,"
          "\"api_keys\":null"),
     true, true, PLAIN " keys=0 unusable=0", NULL},
    {"negative_rate", TEAM("\"rate_per_s\":-1"), true, true,
     PLAIN " keys=0 unusable=1", "tenants[0].rate_per_s: "},
    {"rate_text", TEAM("\"rate_per_s\":\"5\""), true, true,
     PLAIN " keys=0 unusable=1", "tenants[0].rate_per_s: "},
    {"rate_1e400", TEAM("\"rate_per_s\":1e400"), true, true,
     PLAIN " keys=0 unusable=1", "tenants[0].rate_per_s: "},
    {"burst_true", TEAM("\"burst\":true"), true, true,
     PLAIN " keys=0 unusable=1", "tenants[0].burst: "},
    {"plain_tokens_text", TEAM("\"plain_tokens\":\"200\""), true, true,
     PLAIN " keys=0 unusable=1", "tenants[0].plain_tokens: "},
    {"unit_requests", TEAM("\"unit\":\"requests\""), true, true,
     PLAIN " keys=0 unusable=0", NULL},
    {"unit_unknown", TEAM("\"unit\":\"bytes\""), true, true,
     PLAIN " keys=0 unusable=1", "tenants[0].unit: "},
    {"unit_number", TEAM("\"unit\":1"), true, true, PLAIN " keys=0 unusable=1",
     "tenants[0].unit: "},
    {"priority_text", TEAM("\"priority\":\"1\""), true, true,
     PLAIN " keys=0 unusable=0", "tenants[0].priority: "},
    {"teams_null", ",\"tenants\":null", true, true, "", "tenants: "},
    {"no_list", ",\"tenants\":{}", false, false, "", NULL},
    {"team_null", ",\"tenants\":[null]", true, true,
     NAMELESS " keys=0 unusable=1", "tenants[0].name: "},
    {"no_name", ",\"tenants\":[{\"api_keys\":[\"k\"]}]", true, true,
     NAMELESS " keys=1 unusable=1", "tenants[0].name: "},
    {"line_break_in_name", ",\"tenants\":[{\"name\":\"a\\r\\nB: c\"}]", true,
     true, NAMELESS " keys=0 unusable=1", "tenants[0].name: "},
    {"space_behind_name", ",\"tenants\":[{\"name\":\"a \"}]", true, true,
     NAMELESS " keys=0 unusable=1", "tenants[0].name: "},
    {"utf8_name", ",\"tenants\":[{\"name\":\"caf\xc3\xa9\"}]", true, true,
     "caf\xc3\xa9 priority=-1 unit=0 plain=0 rate=0.0 burst=0 keys=0 "
     "unusable=0",
     NULL},
    {"name_of_70",
     ",\"tenants\":[{\"name\":\"12345678901234567890123456789012345678901234"
     "56789012345678901234567890\"}]",
     true, true,
     "1234567890123456789012345678901234567890123456789012345678901234567890 "
     "priority=-1 unit=0 plain=0 rate=0.0 burst=0 keys=0 unusable=0",
     NULL},
    {"two_of_one_name",
     ",\"tenants\":[{\"name\":\"a\"},{\"name\":\"a\",\"api_keys\":[\"k\"]}]",
     true, true, PLAIN " keys=1 unusable=0", "tenants[1].name: "},
    {"keys_no_list", TEAM("\"api_keys\":\"k\""), true, true,
     PLAIN " keys=0 unusable=0", "tenants[0].api_key"},
    {"empty_key", TEAM("\"api_keys\":[\"\",\"k\"]"), true, true,
     PLAIN " keys=1 unusable=0", "tenants[0].api_key"},
    {"number_as_key", TEAM("\"api_keys\":[\"k\",1]"), true, true,
     PLAIN " keys=1 unusable=0", "tenants[0].api_key"},
    {"nul_in_key", TEAM("\"api_keys\":[\"k\\u0000l\"]"), true, true,
     PLAIN " keys=0 unusable=0", "tenants[0].api_key"},
    {"short_digest", TEAM("\"api_key_digests\":[\"00\"]"), true, true,
     PLAIN " keys=0 unusable=0", "tenants[0].api_key_digests[0]: "},
};

static void
check_faults(const struct gate_config *config, const char *fault)
{
    if (fault == NULL) {
        g_assert_cmpint(config->fault_count, ==, 0);
        return;
    }
    g_assert_cmpint(config->fault_count, ==, 1);
    g_assert_true(g_str_has_prefix(config->faults[0], fault));
}

static char *
describe_team(const struct gate_config *config)
{
    const struct gate_team *team = config->teams;

    return config->team_count == 0
               ? g_strdup("")
               : g_strdup_printf("%s priority=%d unit=%d plain=%d rate=%.1f "
                                 "burst=%.0f keys=%d unusable=%d",
                                 team->name, team->priority, team->unit,
                                 (int)team->plain_tokens, team->rate_per_s,
                                 team->burst, config->key_count,
                                 team->unusable);
}

static void
test_decode(gconstpointer data)
{
    const struct decode_case *c = data;
    char *text = g_strdup_printf(
        "{\"version\":1,\"routes\":[],\"services\":[]%s}", c->teams);
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(text, strlen(text), &err);
    char *read;

    g_assert_cmpint(config != NULL, ==, c->usable);
    if (config != NULL) {
        read = describe_team(config);
        g_assert_cmpstr(read, ==, c->read);
        g_assert_cmpint(config->has_teams, ==, c->has_teams);
        check_faults(config, c->fault);
        g_free(read);
        gate_config_unref(config);
    }
    else {
        g_assert_cmpint(err.kind, ==, ERR_BAD_JSON);
    }
    g_free(text);
}

/* Guards against keys in messages between instances, and against a document
 * without them that is read as another configuration. */
static void
test_conceal(gconstpointer data)
{
    const struct decode_case *c = data;
    char *text = g_strdup_printf(
        "{\"version\":1,\"routes\":[],\"services\":[]%s}", c->teams);
    char *concealed = platform_conceal_keys(text, strlen(text));
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(concealed, strlen(concealed), &err);
    struct key_digest digest = key_digest_of("k");

    g_assert_null(strstr(concealed, "\"k"));
    g_assert_cmpint(config != NULL, ==, c->usable);
    if (config != NULL) {
        char *read = describe_team(config);

        g_assert_cmpstr(read, ==, c->read);
        g_assert_cmpint(config->has_teams, ==, c->has_teams);
        g_assert_cmpint(team_find(config, &digest), ==,
                        config->key_count > 0 ? config->team_count - 1 : -1);
        check_faults(config, c->fault);
        g_free(read);
        gate_config_unref(config);
    }
    g_free(concealed);
    g_free(text);
}

struct fixture {
    struct gate_settings settings;
    struct relay_port port;
    struct relay *relay;
    bool reported_stopping;
    int listener;
    int target; /* connection of the relay to the target; -1 for none */
    int64_t now_ms;
};

static void
take_activity(struct relay_port *port, struct activity_report *report)
{
    struct fixture *fixture =
        (struct fixture *)((char *)port - offsetof(struct fixture, port));

    fixture->reported_stopping = report->stopping;
    activity_report_free(report);
}

static void
ignore_drained(struct relay_port *port)
{
    (void)port;
}

static const struct relay_port_ops port_ops = {take_activity,  drop_crashes,
                                               drop_leaving,   drop_pause,
                                               ignore_drained, drop_quota};

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
        fixture->now_ms =
            CLAMP(relay_next_due_ms(fixture->relay, fixture->now_ms),
                  fixture->now_ms, end_ms);
        step(fixture, 0);
    }
}

#define TEAM_A "{\"name\":\"a\",\"api_keys\":[\"key-a\",\"old-a\"]}"
#define TEAM_A_LATER "{\"name\":\"a\",\"api_keys\":[\"key-a\"]}"
#define TEAM_B "{\"name\":\"b\",\"api_keys\":[\"key-b\"],\"priority\":0}"
#define TEAMS ",\"tenants\":[" TEAM_A "," TEAM_B "]"
#define TEAMS_LATER ",\"tenants\":[" TEAM_A_LATER "," TEAM_B "]"

static void
post_teams(struct fixture *fixture, int version, const char *teams)
{
    char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":["
        "{\"name\":\"private\",\"host\":\"h\",\"path_prefix\":\"/private/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":20000,\"priority\":2,"
        "\"latency_goal_ms\":5000,\"max_attempts\":2,\"service\":\"s\"},"
        "{\"name\":\"public\",\"host\":\"h\",\"path_prefix\":\"/public/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":20000,\"public\":true,"
        "\"latency_goal_ms\":5000,\"max_attempts\":2,\"service\":\"s\"},"
        "{\"name\":\"broken\",\"host\":\"h\","
        "\"path_prefix\":\"/public/broken/\",\"kind\":\"idempotent\","
        "\"public\":true,\"service\":\"gone\"},"
        "{\"name\":\"idle\",\"host\":\"h\",\"path_prefix\":\"/idle/\","
        "\"kind\":\"idempotent\",\"timeout_ms\":20000,"
        "\"latency_goal_ms\":5000,\"max_attempts\":2,\"service\":\"none\"}],"
        "\"services\":[{\"name\":\"s\"},{\"name\":\"none\"}]%s}",
        version, teams);
    struct err err = {0};
    struct gate_config *config =
        platform_decode_config(text, strlen(text), &err);

    g_assert_cmpstr(err.text, ==, "");
    g_assert_true(relay_post_config(fixture->relay, config));
    gate_config_unref(config);
    g_free(text);
}

static void
confirm(struct fixture *fixture, int version, int64_t boot_ms)
{
    struct confirmation confirmation = {.version = version,
                                        .boot_ms = boot_ms};

    relay_post_confirmation(fixture->relay, &confirmation);
    step(fixture, EVENT_WAIT_MS);
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
fixture_start(struct fixture *fixture, const char *teams)
{
    struct err err = {0};
    int port;

    memset(fixture, 0, sizeof(*fixture));
    fixture->target = -1;
    fixture->now_ms = START_MS;
    fill_settings(&fixture->settings);
    fixture->settings.limits.key_revocation_ms = REVOCATION_MS;
    fixture->port.ops = &port_ops;
    fixture->relay =
        relay_new(&fixture->settings, &platform_dialect, &fixture->port, &err);
    g_assert_nonnull(fixture->relay);
    fixture->listener = listen_any(&port);
    post_target(fixture->relay, 0, port);
    relay_post_targets_listed(fixture->relay);
    post_teams(fixture, 1, teams);
    step(fixture, EVENT_WAIT_MS);
}

static void
fixture_stop(struct fixture *fixture)
{
    relay_free(fixture->relay);
    close(fixture->listener);
    if (fixture->target >= 0) {
        close(fixture->target);
    }
}

/* Steps until bytes arrive, and returns them. */
static char *
read_from(struct fixture *fixture, int fd)
{
    char bytes[8192];
    ssize_t count = -1;

    while (count < 0) {
        count = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (count < 0) {
            g_assert_cmpint(errno, ==, EAGAIN);
            step(fixture, 10);
        }
    }
    return g_strndup(bytes, (gsize)count);
}

/* Waits until either the target has got the request or the caller a response.
 * Returns what arrived, the first byte of which tells which. */
static char *
read_outcome(struct fixture *fixture, int caller)
{
    struct epoll_event event = {.events = EPOLLIN};
    int watch = epoll_create1(0);
    char *text;

    epoll_ctl(watch, EPOLL_CTL_ADD, caller, &event);
    event.data.fd = 1;
    epoll_ctl(watch, EPOLL_CTL_ADD, fixture->listener, &event);
    while (epoll_wait(watch, &event, 1, 0) == 0) {
        step(fixture, 10);
    }
    close(watch);
    if (event.data.fd == 1) {
        fixture->target = accept(fixture->listener, NULL, NULL);
        text = read_from(fixture, fixture->target);
    }
    else {
        text = read_from(fixture, caller);
    }
    return text;
}

/* Guards against a request that reaches a target without a valid key, against
 * a key or another team's name that does, and against refusals of public
 * routes and of deployments without teams. */
struct serve_case {
    const char *name;
    const char *teams;
    const char *path;
    const char *fields;
    int64_t confirmed_ago_ms; /* -1 for never */
    int status;               /* 0: the target gets the request */
    const char *team;         /* line that the target gets; empty for none */
};

#define KEY_A "Key: key-a\r\n"

static const struct serve_case serve_cases[] = {
    {"known", TEAMS, "/private/x", KEY_A, 0, 0, "Tenant: a\r\n"},
    {"known_lower_case", TEAMS, "/private/x", "key: key-a\r\n", 0, 0,
     "Tenant: a\r\n"},
    {"other_team", TEAMS, "/private/x", "Key: key-b\r\nTenant: a\r\n", 0, 0,
     "Tenant: b\r\n"},
    {"no_key", TEAMS, "/private/x", "", 0, 401, ""},
    {"no_key_but_a_name", TEAMS, "/private/x", "Tenant: a\r\n", 0, 401, ""},
    {"unknown_key", TEAMS, "/private/x", "Key: key-c\r\n", 0, 401, ""},
    {"prefix_of_a_key", TEAMS, "/private/x", "Key: key-\r\n", 0, 401, ""},
    {"empty_key", TEAMS, "/private/x", "Key: \r\n", 0, 401, ""},
    {"two_keys", TEAMS, "/private/x", KEY_A "Key: key-b\r\n", 0, 401, ""},
    {"same_key_twice", TEAMS, "/private/x", KEY_A KEY_A, 0, 401, ""},
    {"team_unusable",
     ",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"key-a\"],"
     "\"rate_per_s\":\"5\"}]",
     "/private/x", KEY_A, 0, 503, ""},
    {"team_unusable_public",
     ",\"tenants\":[{\"name\":\"\",\"api_keys\":[\"key-a\"]}]", "/public/x",
     KEY_A, 0, 0, ""},
    {"route_unusable", "", "/public/broken/x", "", 0, 503, ""},
    {"no_teams_left", ",\"tenants\":[]", "/private/x", KEY_A, 0, 401, ""},
    {"listed_in_connection", TEAMS, "/private/x",
     KEY_A "Connection: Key, Tenant\r\n", 0, 0, "Tenant: a\r\n"},
    {"no_route", TEAMS, "/other/x", KEY_A, 0, 404, ""},
    {"never_confirmed", TEAMS, "/private/x", KEY_A, -1, 503, ""},
    {"unknown_key_never_confirmed", TEAMS, "/private/x", "Key: c\r\n", -1, 503,
     ""},
    {"lease_ended", TEAMS, "/private/x", KEY_A, LEASE_MS, 503, ""},
    {"lease_ends", TEAMS, "/private/x", KEY_A, LEASE_MS - 1, 0,
     "Tenant: a\r\n"},
    {"public", TEAMS, "/public/x", "", -1, 0, ""},
    {"public_with_key", TEAMS, "/public/x", KEY_A, 0, 0, "Tenant: a\r\n"},
    {"public_with_key_unproven", TEAMS, "/public/x", KEY_A, -1, 0,
     "Tenant: a\r\n"},
    {"public_with_name", TEAMS, "/public/x", "Tenant: b\r\n", -1, 0, ""},
    {"public_with_unknown_key", TEAMS, "/public/x", "Key: key-c\r\n", -1, 0,
     ""},
    {"no_teams", "", "/private/x", "Tenant: q\r\n", -1, 0, "Tenant: q\r\n"},
};

static char *
request_text(const char *path, const char *fields)
{
    return g_strdup_printf(
        "GET %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n%s\r\n", path, fields);
}

static void
test_serve(gconstpointer data)
{
    const struct serve_case *c = data;
    struct fixture fixture;
    char *request = request_text(c->path, c->fields);
    char *text;
    int caller;

    fixture_start(&fixture, c->teams);
    if (c->confirmed_ago_ms >= 0) {
        confirm(&fixture, 1, START_MS - c->confirmed_ago_ms);
    }
    caller = connect_to(relay_front_port(fixture.relay));
    send_text(caller, request);
    text = read_outcome(&fixture, caller);
    if (c->status == 0) {
        g_assert_true(g_str_has_prefix(text, "GET "));
        g_assert_null(strstr(text, "key-"));
        g_assert_null(strstr(text, "Key:"));
        g_assert_nonnull(strstr(text, c->team));
        g_assert_cmpint(strstr(text, "Tenant:") != NULL, ==,
                        c->team[0] != '\0');
    }
    else {
        g_assert_cmpint(atoi(text + strlen("HTTP/1.1 ")), ==, c->status);
        g_assert_nonnull(strstr(text, "not_run"));
        g_assert_cmpint(fixture.target, ==, -1);
    }
    g_free(text);
    g_free(request);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a queued request whose key was removed and that runs later,
 * and against one that is ended although its key is still there. */
struct removal_case {
    const char *name;
    const char *key;
    const char *teams;
    int status; /* 0: it goes on waiting */
};

static const struct removal_case removal_cases[] = {
    {"removed", "old-a", TEAMS_LATER, 401},
    {"team_removed", "key-b", ",\"tenants\":[" TEAM_A "]", 401},
    {"kept", "key-a", TEAMS_LATER, 0},
    {"teams_reordered", "key-a", ",\"tenants\":[" TEAM_B "," TEAM_A_LATER "]",
     0},
    {"keys_no_longer_needed", "old-a", "", 0},
};

static void
test_removal(gconstpointer data)
{
    const struct removal_case *c = data;
    struct fixture fixture;
    char *field = g_strdup_printf("Key: %s\r\n", c->key);
    char *request = request_text("/idle/x", field);
    char *text;
    int caller;

    fixture_start(&fixture, TEAMS);
    confirm(&fixture, 1, START_MS);
    caller = connect_to(relay_front_port(fixture.relay));
    send_text(caller, request);
    while (g_hash_table_size(fixture.relay->queues) == 0) {
        step(&fixture, EVENT_WAIT_MS);
    }
    post_teams(&fixture, 2, c->teams);
    step(&fixture, EVENT_WAIT_MS);
    g_assert_cmpint((int)g_hash_table_size(fixture.relay->queues), ==,
                    c->status == 0 ? 1 : 0);
    if (c->status != 0) {
        text = read_from(&fixture, caller);
        g_assert_cmpint(atoi(text + strlen("HTTP/1.1 ")), ==, c->status);
        g_free(text);
    }
    g_free(request);
    g_free(field);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against a retry at another target with a key that was removed while
 * the request ran at the first one; it may have run, so that is said. */
static void
test_removal_before_retry(void)
{
    struct fixture fixture;
    char *request = request_text("/private/x", "Key: old-a\r\n");
    char *text;
    int caller;

    fixture_start(&fixture, TEAMS);
    confirm(&fixture, 1, START_MS);
    caller = connect_to(relay_front_port(fixture.relay));
    send_text(caller, request);
    g_free(read_outcome(&fixture, caller));
    post_teams(&fixture, 2, TEAMS_LATER);
    step(&fixture, EVENT_WAIT_MS);
    g_assert_cmpuint(table_count(&fixture.relay->exchanges), ==, 1);
    close(fixture.target);
    fixture.target = -1;
    text = read_from(&fixture, caller);
    g_assert_true(g_str_has_prefix(text, "HTTP/1.1 502 "));
    g_free(text);
    g_free(request);
    close(caller);
    fixture_stop(&fixture);
}

/* Guards against an instance that callers still turn to although it can't
 * accept their keys, and against one that stays out although it can again. */
struct ready_case {
    const char *name;
    const char *teams;
    int version;              /* that is confirmed */
    int64_t confirmed_ago_ms; /* -1 for never */
    int64_t frozen_ms;        /* time that only the boot clock counts */
    bool ready;
};

static const struct ready_case ready_cases[] = {
    {"no_teams", "", 1, -1, 0, true},
    {"never_confirmed", TEAMS, 1, -1, 0, false},
    {"confirmed", TEAMS, 1, 0, 0, true},
    {"older_version_confirmed", TEAMS, 0, 0, 0, false},
    {"ended", TEAMS, 1, LEASE_MS, 0, false},
    {"ended_while_frozen", TEAMS, 1, 100, LEASE_MS, false},
};

static char *
ask_local(struct fixture *fixture, int port, const char *path)
{
    char *request = request_text(path, "");
    int caller = connect_to(port);
    char *text;

    send_text(caller, request);
    text = read_from(fixture, caller);
    g_free(request);
    close(caller);
    return text;
}

static void
add_member(struct fixture *fixture)
{
    GArray *members = g_array_new(FALSE, TRUE, sizeof(struct gate_member));

    g_array_set_size(members, 1);
    g_array_index(members, struct gate_member, 0).id = 77;
    g_strlcpy(g_array_index(members, struct gate_member, 0).front_address,
              "10.9.8.7:1", ADDRESS_MAX_BYTES);
    relay_post_members(fixture->relay, members);
    g_array_free(members, TRUE);
    step(fixture, EVENT_WAIT_MS);
}

static void
test_ready(gconstpointer data)
{
    const struct ready_case *c = data;
    struct fixture fixture;
    char *text;

    fixture_start(&fixture, c->teams);
    add_member(&fixture);
    if (c->confirmed_ago_ms >= 0) {
        confirm(&fixture, c->version, START_MS - c->confirmed_ago_ms);
    }
    fixture.relay->boot_offset_ms = c->frozen_ms;
    advance(&fixture, 1000);
    text =
        ask_local(&fixture, relay_ready_port(fixture.relay), "/v1/readiness");
    g_assert_true(
        g_str_has_prefix(text, c->ready ? "HTTP/1.1 200" : "HTTP/1.1 503"));
    g_free(text);
    text = ask_local(&fixture, relay_lookup_port(fixture.relay),
                     "/v1/resolve?name=h");
    g_assert_nonnull(strstr(text, "10.9.8.7:1"));
    g_assert_cmpint(strstr(text, "127.0.0.1:0") != NULL, ==, c->ready);
    g_free(text);
    g_assert_cmpint(fixture.reported_stopping, ==, !c->ready);
    fixture_stop(&fixture);
}

/* Guards against a lease whose end nobody notices while nothing else happens,
 * and against a thread that wakes for it again and again. */
static void
test_end_is_noticed(void)
{
    struct fixture fixture;

    fixture_start(&fixture, TEAMS);
    confirm(&fixture, 1, START_MS);
    g_assert_true(fixture.relay->accepts_keys);
    advance(&fixture, LEASE_MS - 1);
    g_assert_true(fixture.relay->accepts_keys);
    advance(&fixture, 1);
    g_assert_false(fixture.relay->accepts_keys);
    g_assert_cmpint(team_due_ms(fixture.relay, fixture.now_ms), ==, INT64_MAX);
    fixture_stop(&fixture);
}

/* Guards against the route's priority where the team has one. */
struct priority_case {
    const char *name;
    const char *key;
    int priority;
};

static const struct priority_case priority_cases[] = {
    {"route", "Key: key-a\r\n", 2},
    {"team", "Key: key-b\r\n", 0},
};

static void
test_priority(gconstpointer data)
{
    const struct priority_case *c = data;
    struct fixture fixture;
    char *request = request_text("/private/x", c->key);
    uint32_t cursor = 0;
    struct exchange *exchange;
    char *text;
    int caller;

    fixture_start(&fixture, TEAMS);
    confirm(&fixture, 1, START_MS);
    caller = connect_to(relay_front_port(fixture.relay));
    send_text(caller, request);
    text = read_outcome(&fixture, caller);
    exchange = table_next(&fixture.relay->exchanges, &cursor, NULL);
    g_assert_nonnull(exchange);
    g_assert_cmpint(exchange->priority, ==, c->priority);
    g_free(text);
    g_free(request);
    close(caller);
    fixture_stop(&fixture);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/team/decide", decide_cases, test_decide),
        CASES("/team/lease", lease_cases, test_lease),
        CASES("/team/decode", decode_cases, test_decode),
        CASES("/team/conceal", decode_cases, test_conceal),
        CASES("/team/serve", serve_cases, test_serve),
        CASES("/team/removal", removal_cases, test_removal),
        CASES("/team/ready", ready_cases, test_ready),
        CASES("/team/priority", priority_cases, test_priority),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/team/find", test_find);
    g_test_add_func("/team/removal_before_retry", test_removal_before_retry);
    g_test_add_func("/team/end_is_noticed", test_end_is_noticed);
    return g_test_run();
}
