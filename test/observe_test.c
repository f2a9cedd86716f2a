/* Tests of what is made of targets' answers, peers' reports and the list. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"

/* Ends a test that would otherwise hang; no verdict depends on it. */
enum { WATCHDOG_MS = 30000 };

/* Guards against a status that is misread, or that breaks the parser. */
struct status_case {
    const char *name;
    const char *text;
    enum err_kind error;
    struct target_report expected;
    uint64_t skipped;
};

#define P40 "/s/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define P200 P40 P40 P40 P40 P40

static const struct status_case status_cases[] = {
    {"full",
     "{\"incarnation\": 9007199254740993, \"memory_bytes\": 85899345920,"
     " \"used_bytes\": 1048577, \"loaded\": [\"/s/m\", \"/s/m/a\"],"
     " \"cached\": {\"memory\": [\"/s/n\"], \"disk\": [\"/s/o\", \"/s/p\"]},"
     " \"running\": 3, \"waiting\": 4, \"leaving\": false}",
     ERR_NONE,
     {.incarnation = 9007199254740993,
      .memory_mb = 81920,
      .used_mb = 2,
      .running = 3,
      .waiting = 4,
      .loaded_count = 2,
      .cached_memory_count = 1,
      .cached_disk_count = 2},
     0},
    {"plain_service",
     "{\"running\": 1, \"leaving\": true}",
     ERR_NONE,
     {.running = 1, .state = TARGET_LEAVING},
     0},
    {"empty_object", "{}", ERR_NONE, {0}, 0},
    {"unknown_keys",
     "{\"x\": [[{}]], \"running\": 2}",
     ERR_NONE,
     {.running = 2},
     0},
    {"number_clamped",
     "{\"waiting\": 99999999999}",
     ERR_NONE,
     {.waiting = UINT32_MAX},
     0},
    {"leaf_too_long",
     "{\"loaded\": [\"/s/m\", \"" P200 "\"]}",
     ERR_NONE,
     {.loaded_count = 1},
     1},
    {"leaf_without_slash",
     "{\"loaded\": [\"m\", \"\", 7, null, \"/s/m\"]}",
     ERR_NONE,
     {.loaded_count = 1},
     4},
    {"leaf_with_nul",
     "{\"loaded\": [\"/s/m\\u0000x\"]}",
     ERR_NONE,
     {.loaded_count = 0},
     1},
    {"leaf_with_newline",
     "{\"loaded\": [\"/s/m\\n\"]}",
     ERR_NONE,
     {.loaded_count = 0},
     1},
    {"empty_text", "", ERR_BAD_JSON, {0}, 0},
    {"cut_off", "{\"running\": 1", ERR_BAD_JSON, {0}, 0},
    {"trailing", "{} {}", ERR_BAD_JSON, {0}, 0},
    {"array", "[]", ERR_BAD_JSON, {0}, 0},
    {"null", "null", ERR_BAD_JSON, {0}, 0},
    {"negative", "{\"running\": -1}", ERR_BAD_JSON, {0}, 0},
    {"fraction", "{\"running\": 1.5}", ERR_BAD_JSON, {0}, 0},
    {"number_as_text", "{\"running\": \"1\"}", ERR_BAD_JSON, {0}, 0},
    {"leaving_as_number", "{\"leaving\": 1}", ERR_BAD_JSON, {0}, 0},
    {"loaded_object", "{\"loaded\": {}}", ERR_BAD_JSON, {0}, 0},
    {"cached_array", "{\"cached\": []}", ERR_BAD_JSON, {0}, 0},
    {"cached_memory_text",
     "{\"cached\": {\"memory\": \"/s/m\"}}",
     ERR_BAD_JSON,
     {0},
     0},
    {"deep",
     "{\"a\":[[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]]}",
     ERR_BAD_JSON,
     {0},
     0},
};

static void
test_status(gconstpointer data)
{
    const struct status_case *c = data;
    struct target_report report;
    struct err err = {0};
    uint64_t skipped = counter_read(CTR_POLLS_FAILED);

    g_assert_true(status_parse(c->text, strlen(c->text), &report, &err) ==
                  (c->error == ERR_NONE));
    g_assert_cmpint(err.kind, ==, c->error);
    if (c->error != ERR_NONE) {
        return;
    }
    g_assert_cmpuint(report.incarnation, ==, c->expected.incarnation);
    g_assert_cmpuint(report.memory_mb, ==, c->expected.memory_mb);
    g_assert_cmpuint(report.used_mb, ==, c->expected.used_mb);
    g_assert_cmpuint(report.running, ==, c->expected.running);
    g_assert_cmpuint(report.waiting, ==, c->expected.waiting);
    g_assert_cmpint(report.state, ==, c->expected.state);
    g_assert_cmpuint(report.loaded_count, ==, c->expected.loaded_count);
    g_assert_cmpuint(report.cached_memory_count, ==,
                     c->expected.cached_memory_count);
    g_assert_cmpuint(report.cached_disk_count, ==,
                     c->expected.cached_disk_count);
    for (int i = 0; i < report.loaded_count; i++) {
        g_assert_cmpuint(report.loaded[i], ==,
                         hash_text(i == 0 ? "/s/m" : "/s/m/a"));
    }
    g_assert_cmpuint(counter_read(CTR_POLLS_FAILED) - skipped, ==, c->skipped);
}

/* Guards against more leaves than a report holds. */
static void
test_status_too_many(void)
{
    GString *text = g_string_new("{\"loaded\": [\"/s/m0\"");
    struct target_report report;
    struct err err = {0};

    for (int i = 1; i < REPORT_LOADED_MAX + 5; i++) {
        g_string_append_printf(text, ", \"/s/m%d\"", i);
    }
    g_string_append(text, "]}");
    g_assert_true(status_parse(text->str, text->len, &report, &err));
    g_assert_cmpuint(report.loaded_count, ==, REPORT_LOADED_MAX);
    g_assert_cmpuint(report.cached_memory_count, ==, 0);
    g_string_free(text, TRUE);
}

/* Guards against a bad record that hides the good ones, or is taken over. */
struct list_case {
    const char *name;
    const char *text;
    enum err_kind error;
    int count;
    int skipped;
};

#define ENGINE                                                                \
    "{\"name\": \"e1\", \"kind\": \"engine\", \"service\": \"s\","            \
    " \"data_centre\": \"d\", \"address\": \"10.0.0.1:80\","                  \
    " \"state\": \"live\"}"
#define ENTRY                                                                 \
    "{\"name\": \"t1\", \"kind\": \"entry\", \"service\": \"\","              \
    " \"data_centre\": \"d\", \"address\": \"10.0.0.2:80\","                  \
    " \"peer_address\": \"[fd00::2]:81\", \"state\": \"leaving\"}"
#define RECORD(name, kind, service, address, state)                           \
    "{\"name\": " name ", \"kind\": " kind ", \"service\": " service          \
    ", \"data_centre\": \"d\", \"address\": " address ", \"state\": " state   \
    "}"
#define X70                                                                   \
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

static const struct list_case list_cases[] = {
    {"empty", "[]", ERR_NONE, 0, 0},
    {"both", "[" ENGINE ", " ENTRY "]", ERR_NONE, 2, 0},
    {"no_object", "[1, null, \"x\", [], " ENGINE "]", ERR_NONE, 1, 4},
    {"empty_record", "[{}, " ENGINE "]", ERR_NONE, 1, 1},
    {"name_too_long",
     "[" RECORD("\"" X70 "\"", "\"engine\"", "\"s\"", "\"1.1.1.1:1\"",
                "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"name_of_64",
     "[" RECORD(
         "\"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"
         "xxxx\"",
         "\"engine\"", "\"s\"", "\"1.1.1.1:1\"", "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"name_empty",
     "[" RECORD("\"\"", "\"engine\"", "\"s\"", "\"1.1.1.1:1\"",
                "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"name_with_space",
     "[" RECORD("\"a b\"", "\"engine\"", "\"s\"", "\"1.1.1.1:1\"",
                "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"name_number",
     "[" RECORD("7", "\"engine\"", "\"s\"", "\"1.1.1.1:1\"", "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"unknown_kind",
     "[" RECORD("\"a\"", "\"disk\"", "\"s\"", "\"1.1.1.1:1\"", "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"unknown_state",
     "[" RECORD("\"a\"", "\"plain\"", "\"s\"", "\"1.1.1.1:1\"",
                "\"dead\"") "]",
     ERR_NONE, 0, 1},
    {"no_service",
     "[" RECORD("\"a\"", "\"plain\"", "\"\"", "\"1.1.1.1:1\"", "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"address_with_path",
     "[" RECORD("\"a\"", "\"plain\"", "\"s\"", "\"1.1.1.1:1/x\"",
                "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"address_with_user",
     "[" RECORD("\"a\"", "\"plain\"", "\"s\"", "\"x@1.1.1.1:1\"",
                "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"entry_without_peer_address",
     "[" RECORD("\"a\"", "\"entry\"", "\"\"", "\"1.1.1.1:1\"", "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"object", "{}", ERR_BAD_JSON, 0, 0},
    {"cut_off", "[" ENGINE, ERR_BAD_JSON, 0, 0},
    {"text", "instances", ERR_BAD_JSON, 0, 0},
};

static void
test_list(gconstpointer data)
{
    const struct list_case *c = data;
    struct list list;
    struct err err = {0};

    g_assert_true(list_parse(c->text, strlen(c->text), &list, &err) ==
                  (c->error == ERR_NONE));
    g_assert_cmpint(err.kind, ==, c->error);
    g_assert_cmpint(list.count, ==, c->count);
    g_assert_cmpint(list.skipped, ==, c->skipped);
    if (list.count > 0) {
        g_assert_cmpstr(list.records[0].name, ==, "e1");
        g_assert_cmpint(list.records[0].kind, ==, LISTED_ENGINE);
        g_assert_cmpstr(list.records[0].address, ==, "10.0.0.1:80");
        g_assert_false(list.records[0].leaving);
    }
    if (list.count > 1) {
        g_assert_cmpint(list.records[1].kind, ==, LISTED_ENTRY);
        g_assert_cmpstr(list.records[1].peer_address, ==, "[fd00::2]:81");
        g_assert_true(list.records[1].leaving);
    }
    list_free(&list);
}

/* Guards against a target that keeps receiving requests though it leaves or
 * doesn't answer, or that is given up for one lost answer. Each step is what
 * happens, when, and the state after it. */
enum merge_op {
    END,
    LISTED,
    LISTED_LEAVING,
    MISSING,
    STATUS,
    STATUS_LEAVING,
    FAILED,
    PEER,
    PEER_LEAVING,
    PEER_DOWN,
    PEER_LOAD,
};

struct merge_step {
    enum merge_op op;
    int64_t now_ms;
    uint64_t incarnation;
    bool changed;
    enum target_state state;
    uint64_t incarnation_after;
};

struct merge_case {
    const char *name;
    struct merge_step steps[10];
};

static const struct merge_case merge_cases[] = {
    {"list_and_status",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {LISTED, 1000, 0, false, TARGET_LIVE, 0},
      {STATUS, 1000, 5, true, TARGET_LIVE, 5}}},
    {"gone_after_3_reads",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {MISSING, 1000, 0, false, TARGET_LIVE, 0},
      {MISSING, 2000, 0, false, TARGET_LIVE, 0},
      {MISSING, 3000, 0, true, TARGET_GONE, 0}}},
    {"gone_needs_3_in_a_row",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {MISSING, 1000, 0, false, TARGET_LIVE, 0},
      {MISSING, 2000, 0, false, TARGET_LIVE, 0},
      {LISTED, 3000, 0, false, TARGET_LIVE, 0},
      {MISSING, 4000, 0, false, TARGET_LIVE, 0},
      {MISSING, 5000, 0, false, TARGET_LIVE, 0}}},
    {"gone_though_it_answers",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {MISSING, 1000, 0, false, TARGET_LIVE, 0},
      {STATUS, 1500, 5, true, TARGET_LIVE, 5},
      {MISSING, 2000, 0, false, TARGET_LIVE, 5},
      {MISSING, 3000, 0, true, TARGET_GONE, 5}}},
    {"leaving_by_list",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {LISTED_LEAVING, 1000, 0, true, TARGET_LEAVING, 0},
      {STATUS, 1500, 5, true, TARGET_LEAVING, 5},
      {LISTED, 2000, 0, true, TARGET_LIVE, 5}}},
    {"leaving_by_status",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STATUS_LEAVING, 1000, 5, true, TARGET_LEAVING, 5},
      {LISTED, 2000, 0, false, TARGET_LEAVING, 5},
      {STATUS, 3000, 6, true, TARGET_LIVE, 6}}},
    {"leaving_by_peer",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {PEER_LEAVING, 1000, 5, true, TARGET_LEAVING, 5}}},
    {"leaving_by_peer_after_own_poll",
     {{STATUS, 0, 5, true, TARGET_LIVE, 5},
      {PEER_LEAVING, 100, 5, true, TARGET_LEAVING, 5},
      {STATUS, 1000, 5, true, TARGET_LIVE, 5}}},
    {"leaving_of_older_process",
     {{STATUS, 0, 5, true, TARGET_LIVE, 5},
      {PEER_LEAVING, 100, 4, false, TARGET_LIVE, 5}}},
    {"down_after_2_polls",
     {{STATUS, 0, 5, true, TARGET_LIVE, 5},
      {FAILED, 1000, 0, false, TARGET_LIVE, 5},
      {FAILED, 2000, 0, true, TARGET_DOWN, 5},
      {FAILED, 3000, 0, false, TARGET_DOWN, 5},
      {STATUS, 4000, 6, true, TARGET_LIVE, 6}}},
    {"down_needs_2_in_a_row",
     {{STATUS, 0, 5, true, TARGET_LIVE, 5},
      {FAILED, 1000, 0, false, TARGET_LIVE, 5},
      {STATUS, 2000, 5, true, TARGET_LIVE, 5},
      {FAILED, 3000, 0, false, TARGET_LIVE, 5}}},
    {"down_by_peer",
     {{PEER, 0, 5, true, TARGET_LIVE, 5},
      {PEER_DOWN, 1000, 5, true, TARGET_DOWN, 5},
      {LISTED, 1000, 0, true, TARGET_DOWN, 5},
      {PEER, 2000, 5, true, TARGET_LIVE, 5}}},
    {"peer_with_older_process",
     {{PEER, 0, 5, true, TARGET_LIVE, 5},
      {PEER_DOWN, 1000, 4, false, TARGET_LIVE, 5},
      {PEER, 2000, 6, true, TARGET_LIVE, 6}}},
    {"start_number_went_back",
     {{PEER, 0, 5, true, TARGET_LIVE, 5},
      {PEER, 9999, 4, false, TARGET_LIVE, 5},
      {PEER, 10000, 4, true, TARGET_LIVE, 4}}},
    {"own_poll_beats_peer",
     {{STATUS, 0, 5, true, TARGET_LIVE, 5},
      {PEER_DOWN, 1999, 5, false, TARGET_LIVE, 5},
      {PEER_LOAD, 1999, 0, false, TARGET_LIVE, 5},
      {PEER, 1999, 6, true, TARGET_LIVE, 6}}},
    {"own_poll_grows_old",
     {{STATUS, 0, 5, true, TARGET_LIVE, 5},
      {PEER_DOWN, 2000, 5, true, TARGET_DOWN, 5}}},
    {"load_without_content",
     {{LISTED, 0, 0, true, TARGET_LIVE, 0},
      {PEER_LOAD, 1000, 0, false, TARGET_LIVE, 0},
      {PEER, 2000, 5, true, TARGET_LIVE, 5},
      {PEER_LOAD, 3000, 0, true, TARGET_LIVE, 5}}},
};

static const struct listed listed_record = {
    .kind = LISTED_ENGINE,
    .name = "e1",
    .service = "s",
    .data_centre = "d",
    .address = "10.0.0.1:80",
};

static bool
merge_step(struct observed *observed, const struct merge_step *step)
{
    struct target_report report = {.incarnation = step->incarnation};
    struct listed listed = listed_record;

    listed.leaving = step->op == LISTED_LEAVING;
    if (step->op == STATUS_LEAVING || step->op == PEER_LEAVING) {
        report.state = TARGET_LEAVING;
    }
    if (step->op == PEER_DOWN) {
        report.state = TARGET_DOWN;
    }
    switch (step->op) {
    case LISTED:
    case LISTED_LEAVING:
        return merge_listed(observed, &listed);
    case MISSING:
        return merge_missing(observed);
    case STATUS:
    case STATUS_LEAVING:
        return merge_status(observed, &report, step->now_ms);
    case FAILED:
        return merge_failed(observed);
    default:
        return merge_peer(observed, &report, step->op == PEER_LOAD,
                          step->now_ms);
    }
}

static void
test_merge(gconstpointer data)
{
    const struct merge_case *c = data;
    struct target_report report = {0};
    struct observed observed;

    merge_init(&observed, &report, 0);
    for (int i = 0; c->steps[i].op != END; i++) {
        const struct merge_step *step = &c->steps[i];

        g_assert_true(merge_step(&observed, step) == step->changed);
        g_assert_cmpint(report.state, ==, step->state);
        g_assert_cmpuint(report.incarnation, ==, step->incarnation_after);
    }
}

/* Guards against a change that isn't shared, and against unchanged reports
 * that use up the bandwidth. */
struct share_case {
    const char *name;
    int64_t after_ms;
    uint32_t running;
    uint16_t loaded_count;
    enum target_state state;
    enum share share;
    uint64_t leaf;
};

static const struct share_case share_cases[] = {
    {"unchanged", 1000, 1, 1, TARGET_LIVE, SHARE_NOTHING, 0},
    {"unchanged_4999", 4999, 1, 1, TARGET_LIVE, SHARE_NOTHING, 0},
    {"unchanged_5000", 5000, 1, 1, TARGET_LIVE, SHARE_LOAD, 0},
    {"load", 1000, 2, 1, TARGET_LIVE, SHARE_LOAD, 0},
    {"state", 1000, 1, 1, TARGET_LEAVING, SHARE_LOAD, 0},
    {"content", 1000, 1, 2, TARGET_LIVE, SHARE_FULL, 0},
    {"repeated_in_full", 30000, 1, 1, TARGET_LIVE, SHARE_FULL, 0},
    {"other_leaf", 1000, 1, 1, TARGET_LIVE, SHARE_FULL, 8},
    {"gone", 1000, 1, 2, TARGET_GONE, SHARE_NOTHING, 0},
};

static void
test_share(gconstpointer data)
{
    const struct share_case *c = data;
    struct target_report report = {.running = 1, .loaded_count = 1};
    struct observed observed;

    merge_init(&observed, &report, 0);
    g_assert_cmpint(merge_share(&observed, 0), ==, SHARE_FULL);
    merge_shared(&observed, SHARE_FULL, 0);
    report.running = c->running;
    report.loaded_count = c->loaded_count;
    report.loaded[0] = c->leaf;
    report.state = c->state;
    g_assert_cmpint(merge_share(&observed, c->after_ms), ==, c->share);
}

/* Guards against a report of a peer that is taken over unchecked. */
enum wire_fault {
    WIRE_GOOD,
    WIRE_LOAD_ONLY,
    WIRE_STATE,
    WIRE_KIND,
    WIRE_ID,
    WIRE_NAME_LONG,
    WIRE_NAME_EMPTY,
    WIRE_ADDRESS_LONG,
    WIRE_SERVICE_LONG,
    WIRE_LOADED_MANY,
    WIRE_MEMORY_MANY,
    WIRE_DISK_MANY,
};

struct wire_case {
    const char *name;
    enum wire_fault fault;
    bool accepted;
};

static const struct wire_case wire_cases[] = {
    {"good", WIRE_GOOD, true},
    {"load_only", WIRE_LOAD_ONLY, true},
    {"state", WIRE_STATE, false},
    {"kind", WIRE_KIND, false},
    {"id", WIRE_ID, false},
    {"name_long", WIRE_NAME_LONG, false},
    {"name_empty", WIRE_NAME_EMPTY, false},
    {"address_long", WIRE_ADDRESS_LONG, false},
    {"service_long", WIRE_SERVICE_LONG, false},
    {"loaded_many", WIRE_LOADED_MANY, false},
    {"memory_many", WIRE_MEMORY_MANY, false},
    {"disk_many", WIRE_DISK_MANY, false},
};

static void
wire_break(Turmeric__TargetReport *packed, enum wire_fault fault)
{
    static char long_text[] = X70;
    static uint64_t ids[REPORT_LOADED_MAX + 1];

    switch (fault) {
    case WIRE_STATE:
        packed->state = TARGET_GONE;
        break;
    case WIRE_KIND:
        packed->kind = 2;
        break;
    case WIRE_ID:
        packed->id++;
        break;
    case WIRE_NAME_LONG:
        packed->name = long_text;
        packed->id = hash_text(long_text);
        break;
    case WIRE_NAME_EMPTY:
        packed->name = (char *)"";
        packed->id = hash_text("");
        break;
    case WIRE_ADDRESS_LONG:
        packed->address = long_text;
        break;
    case WIRE_SERVICE_LONG:
        packed->service = long_text;
        break;
    case WIRE_LOADED_MANY:
        packed->loaded = ids;
        packed->n_loaded = REPORT_LOADED_MAX + 1;
        break;
    case WIRE_MEMORY_MANY:
        packed->cached_memory = ids;
        packed->n_cached_memory = REPORT_CACHED_MAX + 1;
        break;
    case WIRE_DISK_MANY:
        packed->cached_disk = ids;
        packed->n_cached_disk = REPORT_CACHED_MAX + 1;
        break;
    default:
        break;
    }
}

static void
test_wire(gconstpointer data)
{
    const struct wire_case *c = data;
    struct target_report report = {
        .name = "e1",
        .service = "s",
        .data_centre = "d",
        .address = "10.0.0.1:80",
        .kind = TARGET_PLAIN,
        .state = TARGET_DOWN,
        .incarnation = 5,
        .memory_mb = 6,
        .used_mb = 7,
        .running = 8,
        .waiting = 9,
        .loaded_count = 2,
        .cached_memory_count = 1,
        .cached_disk_count = 1,
        .loaded = {10, 11},
        .cached_memory = {12},
        .cached_disk = {13},
    };
    struct target_report expected;
    struct target_report unpacked;
    Turmeric__TargetReport packed;
    struct err err = {0};

    report.id = hash_text(report.name);
    expected = report;
    report_pack(&report, c->fault == WIRE_LOAD_ONLY, &packed);
    wire_break(&packed, c->fault);
    g_assert_true(report_unpack(&packed, &unpacked, &err) == c->accepted);
    g_assert_cmpint(err.kind, ==, c->accepted ? ERR_NONE : ERR_BAD_FRAME);
    if (c->fault == WIRE_LOAD_ONLY) {
        memset(&expected, 0, sizeof(expected));
        expected.id = report.id;
        expected.state = TARGET_DOWN;
        expected.running = 8;
        expected.waiting = 9;
        g_assert_cmpuint(turmeric__target_report__get_packed_size(&packed), <=,
                         24);
    }
    if (c->accepted) {
        g_assert_cmpmem(&unpacked, sizeof(unpacked), &expected,
                        sizeof(expected));
    }
}

/* A stand-in that answers every request with one body, or never answers. */
struct web {
    int fd;
    int port;
    pthread_t thread;
    char *body;
};

static void
web_answer(struct web *web, int fd)
{
    char request[2048];
    const char *body = g_atomic_pointer_get(&web->body);
    char *answer = g_strdup_printf("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                   "Content-Length: %zu\r\n\r\n%s",
                                   strlen(body), body);

    if (recv(fd, request, sizeof(request), 0) > 0) {
        send(fd, answer, strlen(answer), MSG_NOSIGNAL);
    }
    g_free(answer);
}

static void *
web_main(void *argument)
{
    struct web *web = argument;
    int fd = accept(web->fd, NULL, NULL);

    while (fd >= 0) {
        web_answer(web, fd);
        shutdown(fd, SHUT_RDWR);
        close(fd);
        fd = accept(web->fd, NULL, NULL);
    }
    return NULL;
}

static void
web_start(struct web *web, char *body)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    web->fd = socket(AF_INET, SOCK_STREAM, 0);
    web->body = body;
    g_assert_cmpint(bind(web->fd, (struct sockaddr *)&address, bytes), ==, 0);
    g_assert_cmpint(listen(web->fd, 64), ==, 0);
    getsockname(web->fd, (struct sockaddr *)&address, &bytes);
    web->port = ntohs(address.sin_port);
    if (body != NULL) {
        pthread_create(&web->thread, NULL, web_main, web);
    }
}

static void
web_stop(struct web *web)
{
    shutdown(web->fd, SHUT_RDWR);
    if (web->body != NULL) {
        pthread_join(web->thread, NULL);
    }
    close(web->fd);
    g_free(web->body);
}

/* What observation reports, in a ring, and what it shares, as a count. */
struct watcher {
    struct observe_port port;
    struct ring reports;
    struct ring listed;
    struct ring shared;
};

static void
watch_report(struct observe_port *port, const struct target_report *report)
{
    ring_push(&((struct watcher *)port)->reports, report, NULL);
}

static void
watch_listed(struct observe_port *port, const struct member_info *info)
{
    ring_push(&((struct watcher *)port)->listed, info, NULL);
}

static bool
watch_owns(struct observe_port *port, uint64_t target, const char *data_centre)
{
    (void)port;
    (void)target;
    return strcmp(data_centre, "d") == 0;
}

static void
watch_share(struct observe_port *port, const char *data_centre,
            Turmeric__Envelope *envelope)
{
    uint64_t id = envelope->reports->reports[0]->id;

    g_assert_cmpstr(data_centre, ==, "d");
    ring_push(&((struct watcher *)port)->shared, &id, NULL);
}

static const struct observe_port_ops watcher_ops = {watch_report, watch_listed,
                                                    watch_owns, watch_share};

static void *
observe_main(void *argument)
{
    struct duty *duty = argument;
    struct err err = {0};

    return duty->ops->run(duty, &err) ? argument : NULL;
}

static void
wait_for_report(struct watcher *watcher, const char *name,
                enum target_state state, uint64_t incarnation)
{
    struct target_report report = {0};

    while (report.id != hash_text(name) || report.state != state ||
           report.incarnation != incarnation) {
        g_assert_cmpint(ring_pop(&watcher->reports, &report, WATCHDOG_MS), ==,
                        RING_OK);
    }
}

static void
post_leaving(struct observe *observe, const char *name)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Reports body = TURMERIC__REPORTS__INIT;
    Turmeric__TargetReport packed;
    Turmeric__TargetReport *list[] = {&packed};
    struct target_report report = {.service = "s",
                                   .data_centre = "far",
                                   .address = "127.0.0.1:1",
                                   .state = TARGET_LEAVING,
                                   .incarnation = 3};
    uint8_t bytes[512];
    size_t count;

    g_strlcpy(report.name, name, sizeof(report.name));
    report.id = hash_text(name);
    report_pack(&report, false, &packed);
    body.n_reports = 1;
    body.reports = list;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_REPORTS;
    envelope.reports = &body;
    count = turmeric__envelope__pack(&envelope, bytes);
    g_assert_true(observe_post_envelope(
        observe, turmeric__envelope__unpack(NULL, count, bytes), NULL));
}

/* Guards against silent targets that hold up the others or are never down, a
 * target's answer or a peer's report that isn't told, and entries of the list
 * that are lost. In "held_up" the polls of the silent targets last until
 * their sockets are closed, so the good one must be polled meanwhile. */
struct duty_case {
    const char *name;
    int poll_timeout_ms;
    bool close_silent;
};

static const struct duty_case duty_cases[] = {
    {"time_out", 1000, false},
    {"held_up", 4 * WATCHDOG_MS, true},
};

static char *
list_text(int good_port, int silent_port)
{
    static const char record[] =
        "{\"name\": \"%s\", \"kind\": \"%s\", \"service\": \"s\", "
        "\"data_centre\": \"d\", \"address\": \"127.0.0.1:%d\", "
        "\"state\": \"live\"}";
    GString *text = g_string_new("[" ENTRY ", ");

    g_string_append_printf(text, record, "silent1", "plain", silent_port);
    g_string_append(text, ", ");
    g_string_append_printf(text, record, "silent2", "engine", silent_port);
    g_string_append(text, ", ");
    g_string_append_printf(text, record, "good", "engine", good_port);
    g_string_append(text, "]");
    return g_string_free(text, FALSE);
}

static void
watcher_init(struct watcher *watcher)
{
    watcher->port.ops = &watcher_ops;
    ring_init(&watcher->reports, 4096, sizeof(struct target_report), NULL);
    ring_init(&watcher->listed, 4096, sizeof(struct member_info), NULL);
    ring_init(&watcher->shared, 4096, sizeof(uint64_t), NULL);
}

static void
watcher_free(struct watcher *watcher)
{
    ring_free(&watcher->reports);
    ring_free(&watcher->listed);
    ring_free(&watcher->shared);
}

static void
check_told(struct watcher *watcher, struct observe *observe)
{
    struct member_info info;
    uint64_t id;

    g_assert_cmpint(ring_pop(&watcher->listed, &info, WATCHDOG_MS), ==,
                    RING_OK);
    g_assert_cmpstr(info.name, ==, "t1");
    g_assert_cmpint(info.state, ==, MEMBER_LEAVING);
    g_assert_cmpint(ring_pop(&watcher->shared, &id, WATCHDOG_MS), ==, RING_OK);
    g_assert_true(id == hash_text("good") || id == hash_text("silent1") ||
                  id == hash_text("silent2"));
    post_leaving(observe, "far");
    wait_for_report(watcher, "far", TARGET_LEAVING, 3);
}

static void
test_duty(gconstpointer data)
{
    const struct duty_case *c = data;
    struct web good;
    struct web silent;
    struct web list;
    struct watcher watcher;
    struct observe_settings settings = {.list_interval_ms = 100,
                                        .poll_interval_ms = 100};
    struct observe *observe;
    pthread_t thread;

    watcher_init(&watcher);
    web_start(&good, g_strdup("{\"incarnation\": 77, \"running\": 1}"));
    web_start(&silent, NULL);
    web_start(&list, list_text(good.port, silent.port));
    settings.poll_timeout_ms = c->poll_timeout_ms;
    snprintf(settings.list_url, sizeof(settings.list_url),
             "http://127.0.0.1:%d", list.port);
    observe = observe_new(&settings, &watcher.port, NULL);
    pthread_create(&thread, NULL, observe_main, observe_duty(observe));
    for (int i = 0; i < 5; i++) {
        wait_for_report(&watcher, "good", TARGET_LIVE, 77);
    }
    if (c->close_silent) {
        web_stop(&silent);
    }
    wait_for_report(&watcher, "silent1", TARGET_DOWN, 0);
    check_told(&watcher, observe);
    observe_duty(observe)->ops->stop(observe_duty(observe));
    pthread_join(thread, NULL);
    observe_free(observe);
    web_stop(&good);
    web_stop(&list);
    if (!c->close_silent) {
        web_stop(&silent);
    }
    watcher_free(&watcher);
}

/* Guards against a list that can't be read but removes targets, and against a
 * target that stays although the list has dropped it. */
static void
test_list_unreadable(void)
{
    struct web good;
    struct web list;
    struct watcher watcher;
    struct observe_settings settings = {.list_interval_ms = 20,
                                        .poll_interval_ms = 20,
                                        .poll_timeout_ms = WATCHDOG_MS};
    struct observe *observe;
    struct target_report report;
    uint64_t failed;
    pthread_t thread;
    char *readable;
    char *broken = g_strdup("[{\"name\": ");
    char *empty = g_strdup("[]");

    watcher_init(&watcher);
    web_start(&good, g_strdup("{\"incarnation\": 77}"));
    readable = g_strdup_printf(
        "[{\"name\": \"good\", \"kind\": \"engine\", \"service\": \"s\", "
        "\"data_centre\": \"d\", \"address\": \"127.0.0.1:%d\", "
        "\"state\": \"live\"}]",
        good.port);
    web_start(&list, readable);
    snprintf(settings.list_url, sizeof(settings.list_url),
             "http://127.0.0.1:%d", list.port);
    observe = observe_new(&settings, &watcher.port, NULL);
    pthread_create(&thread, NULL, observe_main, observe_duty(observe));
    wait_for_report(&watcher, "good", TARGET_LIVE, 77);
    failed = counter_read(CTR_POLLS_FAILED);
    g_atomic_pointer_set(&list.body, broken);
    while (counter_read(CTR_POLLS_FAILED) < failed + 6) {
        g_assert_cmpint(ring_pop(&watcher.reports, &report, WATCHDOG_MS), ==,
                        RING_OK);
        g_assert_cmpint(report.state, ==, TARGET_LIVE);
    }
    g_atomic_pointer_set(&list.body, empty);
    wait_for_report(&watcher, "good", TARGET_GONE, 77);
    observe_duty(observe)->ops->stop(observe_duty(observe));
    pthread_join(thread, NULL);
    observe_free(observe);
    web_stop(&good);
    web_stop(&list);
    watcher_free(&watcher);
    g_free(readable);
    g_free(broken);
}

static void
add(const char *group, const char *name, gconstpointer data,
    GTestDataFunc function)
{
    char *path = g_strdup_printf("/observe/%s/%s", group, name);

    g_test_add_data_func(path, data, function);
    g_free(path);
}

#define ADD_CASES(group, cases, function)                                     \
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                        \
        add(group, cases[i].name, &cases[i], function);                       \
    }

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD_CASES("status", status_cases, test_status)
    ADD_CASES("list", list_cases, test_list)
    ADD_CASES("merge", merge_cases, test_merge)
    ADD_CASES("share", share_cases, test_share)
    ADD_CASES("wire", wire_cases, test_wire)
    ADD_CASES("duty", duty_cases, test_duty)
    g_test_add_func("/observe/list_unreadable", test_list_unreadable);
    g_test_add_func("/observe/status_too_many", test_status_too_many);
    return g_test_run();
}
