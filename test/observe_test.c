/* Tests of the parsing and merging of polls, peers' reports and the list. */
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

/* Limit for a test that would otherwise hang; no result depends on it. */
enum { WATCHDOG_MS = 30000 };

/* Guards against a status that is decoded wrongly or crashes the parser. */
struct status_case {
    const char *name;
    const char *text;
    enum err_kind error;
    struct target_report expected;
    uint64_t skipped;
};

#define PATH_OF_40 "/s/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
#define PATH_OF_200 PATH_OF_40 PATH_OF_40 PATH_OF_40 PATH_OF_40 PATH_OF_40

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
     {.running = 1, .state = TARGET_DRAINING},
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
     "{\"loaded\": [\"/s/m\", \"" PATH_OF_200 "\"]}",
     ERR_NONE,
     {.loaded_count = 1},
     1},
    {"leaf_without_slash",
     "{\"loaded\": [\"s/m\", \"s/m/a\"],"
     " \"cached\": {\"memory\": [\"s/n\"], \"disk\": [\"s/o\"]}}",
     ERR_NONE,
     {.loaded_count = 2, .cached_memory_count = 1, .cached_disk_count = 1},
     0},
    {"leaf_not_a_name",
     "{\"loaded\": [\"\", 7, null, {}, \"/s/m\"]}",
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
    {"truncated", "{\"running\": 1", ERR_BAD_JSON, {0}, 0},
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

/* Guards against a buffer overflow by more leaves than a report holds. */
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

/* Guards against an invalid record that is accepted or hides valid ones. */
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
#define TEXT_OF_70                                                            \
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx"

#define NEST_14(value) "[[[[[[[[[[[[[[" value "]]]]]]]]]]]]]]"
#define OPEN_100                                                              \
    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["                      \
    "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[["
#define CLOSE_100                                                             \
    "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"                      \
    "]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]"

static const struct list_case list_cases[] = {
    {"empty", "[]", ERR_NONE, 0, 0},
    {"both", "[" ENGINE ", " ENTRY "]", ERR_NONE, 2, 0},
    {"not_an_object", "[1, null, \"x\", [], " ENGINE "]", ERR_NONE, 1, 4},
    {"empty_record", "[{}, " ENGINE "]", ERR_NONE, 1, 1},
    {"name_too_long",
     "[" RECORD("\"" TEXT_OF_70 "\"", "\"engine\"", "\"s\"", "\"1.1.1.1:1\"",
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
    {"deep_15", "[{\"name\":" NEST_14("1") "}, " ENGINE "]", ERR_NONE, 1, 1},
    {"deep_30", "[{\"name\":" NEST_14(NEST_14("1")) "}, " ENGINE "]", ERR_NONE,
     1, 1},
    {"deep_100", "[{\"x\":" OPEN_100 "1" CLOSE_100 "}, " ENGINE "]", ERR_NONE,
     1, 1},
    {"port_0",
     "[" RECORD("\"a\"", "\"plain\"", "\"s\"", "\"1.1.1.1:0\"",
                "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"port_99999",
     "[" RECORD("\"a\"", "\"plain\"", "\"s\"", "\"1.1.1.1:99999\"",
                "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"port_missing",
     "[" RECORD("\"a\"", "\"plain\"", "\"s\"", "\"1.1.1.1\"", "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"address_of_colons",
     "[" RECORD("\"a\"", "\"plain\"", "\"s\"", "\"::::\"", "\"live\"") "]",
     ERR_NONE, 0, 1},
    {"object", "{}", ERR_BAD_JSON, 0, 0},
    {"truncated", "[" ENGINE, ERR_BAD_JSON, 0, 0},
    {"text", "instances", ERR_BAD_JSON, 0, 0},
};

static void
test_list(gconstpointer data)
{
    const struct list_case *c = data;
    struct instance_list list;
    struct err err = {0};

    g_assert_true(instance_list_parse(c->text, strlen(c->text), &list, &err) ==
                  (c->error == ERR_NONE));
    g_assert_cmpint(err.kind, ==, c->error);
    g_assert_cmpint(list.count, ==, c->count);
    g_assert_cmpint(list.skipped, ==, c->skipped);
    if (list.count > 0) {
        g_assert_cmpstr(list.records[0].name, ==, "e1");
        g_assert_cmpint(list.records[0].kind, ==, LISTED_ENGINE);
        g_assert_cmpstr(list.records[0].address, ==, "10.0.0.1:80");
        g_assert_false(list.records[0].draining);
    }
    if (list.count > 1) {
        g_assert_cmpint(list.records[1].kind, ==, LISTED_ENTRY);
        g_assert_cmpstr(list.records[1].peer_address, ==, "[fd00::2]:81");
        g_assert_true(list.records[1].draining);
    }
    instance_list_free(&list);
}

/* Guards against a target that counts as live though it drains or fails its
 * polls, and against one that counts as down after a single lost response.
 * Each step is an event, its time and the expected result. */
enum merge_op {
    STEP_END,
    STEP_LISTED,
    STEP_LISTED_DRAINING,
    STEP_MISSING,
    STEP_STATUS,
    STEP_STATUS_DRAINING,
    STEP_POLL_FAILED,
    STEP_PEER,
    STEP_PEER_DRAINING,
    STEP_PEER_DOWN,
    STEP_PEER_LOAD,
    STEP_LEAVING,        /* an answer says that the target leaves */
    STEP_EARLIER_STATUS, /* of a poll that started 500 ms before */
    STEP_PEER_POLLS,     /* a peer's report; this instance does not poll */
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
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_LISTED, 1000, 0, false, TARGET_LIVE, 0},
      {STEP_STATUS, 1000, 5, true, TARGET_LIVE, 5}}},
    {"gone_after_3_lists",
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_MISSING, 1000, 0, false, TARGET_LIVE, 0},
      {STEP_MISSING, 2000, 0, false, TARGET_LIVE, 0},
      {STEP_MISSING, 3000, 0, true, TARGET_GONE, 0}}},
    {"gone_needs_3_consecutive",
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_MISSING, 1000, 0, false, TARGET_LIVE, 0},
      {STEP_MISSING, 2000, 0, false, TARGET_LIVE, 0},
      {STEP_LISTED, 3000, 0, false, TARGET_LIVE, 0},
      {STEP_MISSING, 4000, 0, false, TARGET_LIVE, 0},
      {STEP_MISSING, 5000, 0, false, TARGET_LIVE, 0}}},
    {"gone_though_it_responds",
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_MISSING, 1000, 0, false, TARGET_LIVE, 0},
      {STEP_STATUS, 1500, 5, true, TARGET_LIVE, 5},
      {STEP_MISSING, 2000, 0, false, TARGET_LIVE, 5},
      {STEP_MISSING, 3000, 0, true, TARGET_GONE, 5}}},
    {"draining_by_list",
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_LISTED_DRAINING, 1000, 0, true, TARGET_DRAINING, 0},
      {STEP_STATUS, 1500, 5, true, TARGET_DRAINING, 5},
      {STEP_LISTED, 2000, 0, true, TARGET_LIVE, 5}}},
    {"draining_by_status",
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_STATUS_DRAINING, 1000, 5, true, TARGET_DRAINING, 5},
      {STEP_LISTED, 2000, 0, false, TARGET_DRAINING, 5},
      {STEP_STATUS, 3000, 6, true, TARGET_LIVE, 6}}},
    {"draining_by_peer",
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_PEER_DRAINING, 1000, 5, true, TARGET_DRAINING, 5}}},
    {"draining_by_peer_after_local_poll",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_DRAINING, 100, 5, true, TARGET_DRAINING, 5},
      {STEP_STATUS, 1000, 5, true, TARGET_LIVE, 5}}},
    {"draining_of_older_process",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_DRAINING, 100, 4, false, TARGET_LIVE, 5}}},
    {"down_after_2_polls",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_POLL_FAILED, 1000, 0, false, TARGET_LIVE, 5},
      {STEP_POLL_FAILED, 2000, 0, true, TARGET_DOWN, 5},
      {STEP_POLL_FAILED, 3000, 0, false, TARGET_DOWN, 5},
      {STEP_STATUS, 4000, 6, true, TARGET_LIVE, 6}}},
    {"down_needs_2_consecutive",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_POLL_FAILED, 1000, 0, false, TARGET_LIVE, 5},
      {STEP_STATUS, 2000, 5, true, TARGET_LIVE, 5},
      {STEP_POLL_FAILED, 3000, 0, false, TARGET_LIVE, 5}}},
    {"down_by_peer",
     {{STEP_PEER, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_DOWN, 1000, 5, true, TARGET_DOWN, 5},
      {STEP_LISTED, 1000, 0, true, TARGET_DOWN, 5},
      {STEP_PEER, 2000, 5, true, TARGET_LIVE, 5}}},
    {"peer_with_older_process",
     {{STEP_PEER, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_DOWN, 1000, 4, false, TARGET_LIVE, 5},
      {STEP_PEER, 2000, 6, true, TARGET_LIVE, 6}}},
    {"incarnation_went_back",
     {{STEP_PEER, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER, 9999, 4, false, TARGET_LIVE, 5},
      {STEP_PEER, 10000, 4, true, TARGET_LIVE, 4}}},
    {"local_poll_precedes_peer",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_DOWN, 1999, 5, false, TARGET_LIVE, 5},
      {STEP_PEER_LOAD, 1999, 0, false, TARGET_LIVE, 5},
      {STEP_PEER, 1999, 6, true, TARGET_LIVE, 6}}},
    {"local_poll_expires",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_DOWN, 2000, 5, true, TARGET_DOWN, 5}}},
    {"single_poll_does_not_precede_peer",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_POLLS, 1400, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_POLLS, 1500, 4, false, TARGET_LIVE, 5}}},
    {"load_without_content",
     {{STEP_LISTED, 0, 0, true, TARGET_LIVE, 0},
      {STEP_PEER_LOAD, 1000, 0, false, TARGET_LIVE, 0},
      {STEP_PEER, 2000, 5, true, TARGET_LIVE, 5},
      {STEP_PEER_LOAD, 3000, 0, true, TARGET_LIVE, 5}}},
};

/* Guards against a target that is used again after it said that it leaves,
 * because of a state that is older or not its own, and against one that is
 * never used again. */
static const struct merge_case leaving_cases[] = {
    {"holds_against_lists",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_LEAVING, 500, 0, true, TARGET_DRAINING, 5},
      {STEP_LISTED, 900, 0, true, TARGET_DRAINING, 5},
      {STEP_LISTED, 90000, 0, false, TARGET_DRAINING, 5}}},
    {"holds_against_peers",
     {{STEP_PEER_POLLS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_LEAVING, 500, 0, true, TARGET_DRAINING, 5},
      {STEP_PEER_POLLS, 600, 5, true, TARGET_DRAINING, 5},
      {STEP_PEER_POLLS, 20000, 4, true, TARGET_DRAINING, 4}}},
    {"holds_against_an_earlier_poll",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_LEAVING, 800, 0, true, TARGET_DRAINING, 5},
      {STEP_EARLIER_STATUS, 1300, 5, true, TARGET_DRAINING, 5},
      {STEP_EARLIER_STATUS, 1301, 5, true, TARGET_LIVE, 5}}},
    {"renewed_by_each_answer",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_LEAVING, 500, 0, true, TARGET_DRAINING, 5},
      {STEP_LEAVING, 1500, 0, false, TARGET_DRAINING, 5},
      {STEP_LEAVING, 1400, 0, false, TARGET_DRAINING, 5},
      {STEP_EARLIER_STATUS, 2000, 5, true, TARGET_DRAINING, 5}}},
    {"own_later_word",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_LEAVING, 500, 0, true, TARGET_DRAINING, 5},
      {STEP_STATUS_DRAINING, 1000, 5, true, TARGET_DRAINING, 5},
      {STEP_STATUS, 2000, 5, true, TARGET_LIVE, 5}}},
    {"holds_against_a_later_process",
     {{STEP_PEER_POLLS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_LEAVING, 500, 0, true, TARGET_DRAINING, 5},
      {STEP_PEER_POLLS, 1000, 6, true, TARGET_DRAINING, 6},
      {STEP_EARLIER_STATUS, 1000, 6, true, TARGET_DRAINING, 6},
      {STEP_STATUS, 2000, 6, true, TARGET_LIVE, 6}}},
    {"back_in_an_older_list",
     {{STEP_STATUS, 0, 5, true, TARGET_LIVE, 5},
      {STEP_LEAVING, 500, 0, true, TARGET_DRAINING, 5},
      {STEP_MISSING, 1000, 0, false, TARGET_DRAINING, 5},
      {STEP_MISSING, 2000, 0, false, TARGET_DRAINING, 5},
      {STEP_MISSING, 3000, 0, true, TARGET_GONE, 5},
      {STEP_LISTED, 4000, 0, true, TARGET_DRAINING, 5}}},
};

/* Guards against a target that left and is forgotten while a list may still
 * be late, and against one that is remembered forever. */
struct keep_case {
    const char *name;
    bool leaving;
    int64_t after_ms;
    bool kept;
};

static const struct keep_case keep_cases[] = {
    {"did_not_leave", false, 0, false},
    {"left", true, 3599999, true},
    {"left_long_ago", true, 3600000, false},
};

static void
test_keep(gconstpointer data)
{
    const struct keep_case *c = data;
    struct target_report report = {0};
    struct observed_target observed;

    merge_init(&observed, &report, 0);
    if (c->leaving) {
        g_assert_true(merge_answer_leaving(&observed, 100));
    }
    g_assert_true(merge_keeps_gone(&observed, 100 + c->after_ms) == c->kept);
}

/* Guards against a target that stays, but is never used again where another
 * instance polls it. */
struct own_poll_case {
    const char *name;
    bool leaving;
    int64_t age_ms;
    bool needed;
};

static const struct own_poll_case own_poll_cases[] = {
    {"reported", false, 9999, false},
    {"stale", false, 10000, true},
    {"leaving", true, 0, true},
};

static void
test_own_poll(gconstpointer data)
{
    const struct own_poll_case *c = data;
    struct target_report report = {0};
    struct observed_target observed;

    merge_init(&observed, &report, 0);
    g_assert_true(merge_peer_report(&observed, &report, false, false, 1000));
    if (c->leaving) {
        g_assert_true(merge_answer_leaving(&observed, 1000));
    }
    g_assert_true(merge_needs_own_poll(&observed, 1000 + c->age_ms) ==
                  c->needed);
}

static const struct listed_instance listed_record = {
    .kind = LISTED_ENGINE,
    .name = "e1",
    .service = "s",
    .data_centre = "d",
    .address = "10.0.0.1:80",
};

static bool
apply_step(struct observed_target *observed, const struct merge_step *step)
{
    struct target_report report = {.incarnation = step->incarnation};
    struct listed_instance listed = listed_record;

    listed.draining = step->op == STEP_LISTED_DRAINING;
    observed->poll_started_ms =
        step->now_ms - (step->op == STEP_EARLIER_STATUS ? 500 : 0);
    if (step->op == STEP_STATUS_DRAINING || step->op == STEP_PEER_DRAINING) {
        report.state = TARGET_DRAINING;
    }
    if (step->op == STEP_PEER_DOWN) {
        report.state = TARGET_DOWN;
    }
    switch (step->op) {
    case STEP_LISTED:
    case STEP_LISTED_DRAINING:
        return merge_list_record(observed, &listed);
    case STEP_MISSING:
        return merge_list_absence(observed);
    case STEP_LEAVING:
        return merge_answer_leaving(observed, step->now_ms);
    case STEP_STATUS:
    case STEP_EARLIER_STATUS:
    case STEP_STATUS_DRAINING:
        return merge_poll_status(observed, &report, step->now_ms);
    case STEP_POLL_FAILED:
        return merge_poll_failure(observed);
    default:
        return merge_peer_report(observed, &report, step->op == STEP_PEER_LOAD,
                                 step->op != STEP_PEER_POLLS, step->now_ms);
    }
}

static void
test_merge(gconstpointer data)
{
    const struct merge_case *c = data;
    struct target_report report = {0};
    struct observed_target observed;

    merge_init(&observed, &report, 0);
    for (int i = 0; c->steps[i].op != STEP_END; i++) {
        const struct merge_step *step = &c->steps[i];

        g_assert_true(apply_step(&observed, step) == step->changed);
        g_assert_cmpint(report.state, ==, step->state);
        g_assert_cmpuint(report.incarnation, ==, step->incarnation_after);
    }
}

/* Guards against a change that is not broadcast, and against unchanged reports
 * that waste bandwidth. */
struct broadcast_case {
    const char *name;
    int64_t after_ms;
    uint32_t running;
    uint16_t loaded_count;
    enum target_state state;
    enum broadcast_kind needed;
    uint64_t leaf;
};

static const struct broadcast_case broadcast_cases[] = {
    {"unchanged", 1000, 1, 1, TARGET_LIVE, BROADCAST_NONE, 0},
    {"unchanged_4999", 4999, 1, 1, TARGET_LIVE, BROADCAST_NONE, 0},
    {"unchanged_5000", 5000, 1, 1, TARGET_LIVE, BROADCAST_LOAD, 0},
    {"load", 1000, 2, 1, TARGET_LIVE, BROADCAST_LOAD, 0},
    {"state", 1000, 1, 1, TARGET_DRAINING, BROADCAST_LOAD, 0},
    {"content", 1000, 1, 2, TARGET_LIVE, BROADCAST_FULL, 0},
    {"full_repeated", 30000, 1, 1, TARGET_LIVE, BROADCAST_FULL, 0},
    {"other_leaf", 1000, 1, 1, TARGET_LIVE, BROADCAST_FULL, 8},
    {"gone", 1000, 1, 2, TARGET_GONE, BROADCAST_NONE, 0},
};

static void
test_broadcast(gconstpointer data)
{
    const struct broadcast_case *c = data;
    struct target_report report = {.running = 1, .loaded_count = 1};
    struct observed_target observed;

    merge_init(&observed, &report, 0);
    g_assert_cmpint(merge_broadcast_needed(&observed, 0), ==, BROADCAST_FULL);
    merge_broadcast_sent(&observed, BROADCAST_FULL, 0);
    report.running = c->running;
    report.loaded_count = c->loaded_count;
    report.loaded[0] = c->leaf;
    report.state = c->state;
    g_assert_cmpint(merge_broadcast_needed(&observed, c->after_ms), ==,
                    c->needed);
}

/* Guards against an invalid report of a peer that is accepted. */
enum wire_fault {
    WIRE_VALID,
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
    {"good", WIRE_VALID, true},
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
corrupt_report(Turmeric__TargetReport *packed, enum wire_fault fault)
{
    static char long_text[] = TEXT_OF_70;
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
    corrupt_report(&packed, c->fault);
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

/* HTTP stub that sends one body in every response, or never responds. */
struct http_stub {
    int fd;
    int port;
    pthread_t thread;
    char *body;
};

static void
http_stub_respond(struct http_stub *stub, int fd)
{
    char request[2048];
    const char *body = g_atomic_pointer_get(&stub->body);
    char *response = g_strdup_printf("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                                     "Content-Length: %zu\r\n\r\n%s",
                                     strlen(body), body);

    if (recv(fd, request, sizeof(request), 0) > 0) {
        send(fd, response, strlen(response), MSG_NOSIGNAL);
    }
    g_free(response);
}

static void *
http_stub_main(void *argument)
{
    struct http_stub *stub = argument;
    int fd = accept(stub->fd, NULL, NULL);

    while (fd >= 0) {
        http_stub_respond(stub, fd);
        shutdown(fd, SHUT_RDWR);
        close(fd);
        fd = accept(stub->fd, NULL, NULL);
    }
    return NULL;
}

static void
http_stub_start(struct http_stub *stub, char *body)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    stub->fd = socket(AF_INET, SOCK_STREAM, 0);
    stub->body = body;
    g_assert_cmpint(bind(stub->fd, (struct sockaddr *)&address, bytes), ==, 0);
    g_assert_cmpint(listen(stub->fd, 64), ==, 0);
    getsockname(stub->fd, (struct sockaddr *)&address, &bytes);
    stub->port = ntohs(address.sin_port);
    if (body != NULL) {
        pthread_create(&stub->thread, NULL, http_stub_main, stub);
    }
}

static void
http_stub_stop(struct http_stub *stub)
{
    shutdown(stub->fd, SHUT_RDWR);
    if (stub->body != NULL) {
        pthread_join(stub->thread, NULL);
    }
    close(stub->fd);
    g_free(stub->body);
}

/* Records the calls of the port in rings. */
struct port_recorder {
    struct observe_port port;
    struct ring reports;
    struct ring entries;
    struct ring broadcasts;
};

static void
recorder_target_reported(struct observe_port *port,
                         const struct target_report *report)
{
    ring_push(&((struct port_recorder *)port)->reports, report, NULL);
}

static void
recorder_entry_listed(struct observe_port *port,
                      const struct member_info *info)
{
    ring_push(&((struct port_recorder *)port)->entries, info, NULL);
}

static bool
recorder_polls_target(struct observe_port *port, uint64_t target,
                      const char *data_centre)
{
    (void)port;
    (void)target;
    return strcmp(data_centre, "d") == 0;
}

static void
recorder_broadcast(struct observe_port *port, const char *data_centre,
                   Turmeric__Envelope *envelope)
{
    uint64_t id = envelope->reports->reports[0]->id;

    g_assert_cmpstr(data_centre, ==, "d");
    ring_push(&((struct port_recorder *)port)->broadcasts, &id, NULL);
}

static const struct observe_port_ops recorder_ops = {
    recorder_target_reported, recorder_entry_listed, recorder_polls_target,
    recorder_broadcast};

static void *
observe_main(void *argument)
{
    struct duty *duty = argument;
    struct err err = {0};

    return duty->ops->run(duty, &err) ? argument : NULL;
}

static void
wait_for_report(struct port_recorder *recorder, const char *name,
                enum target_state state, uint64_t incarnation)
{
    struct target_report report = {0};

    while (report.id != hash_text(name) || report.state != state ||
           report.incarnation != incarnation) {
        g_assert_cmpint(ring_pop(&recorder->reports, &report, WATCHDOG_MS), ==,
                        RING_OK);
    }
}

static void
post_draining_report(struct observe *observe, const char *name)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Reports body = TURMERIC__REPORTS__INIT;
    Turmeric__TargetReport packed;
    Turmeric__TargetReport *list[] = {&packed};
    struct target_report report = {.service = "s",
                                   .data_centre = "far",
                                   .address = "127.0.0.1:1",
                                   .state = TARGET_DRAINING,
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

/* Guards against unresponsive targets that delay the polls of others or are
 * never reported as down, a poll or a peer's report that is not reported, and
 * lost entry instances. In "poll_blocked", polls of the unresponsive targets
 * last until their socket is closed, and the good target must be polled in the
 * meantime. */
struct duty_case {
    const char *name;
    int poll_timeout_ms;
    bool close_unresponsive;
};

static const struct duty_case duty_cases[] = {
    {"poll_times_out", 1000, false},
    {"poll_blocked", 4 * WATCHDOG_MS, true},
};

static char *
list_text(int good_port, int unresponsive_port)
{
    static const char record[] =
        "{\"name\": \"%s\", \"kind\": \"%s\", \"service\": \"s\", "
        "\"data_centre\": \"d\", \"address\": \"127.0.0.1:%d\", "
        "\"state\": \"live\"}";
    GString *text = g_string_new("[" ENTRY ", ");

    g_string_append_printf(text, record, "unresponsive1", "plain",
                           unresponsive_port);
    g_string_append(text, ", ");
    g_string_append_printf(text, record, "unresponsive2", "engine",
                           unresponsive_port);
    g_string_append(text, ", ");
    g_string_append_printf(text, record, "good", "engine", good_port);
    g_string_append(text, "]");
    return g_string_free(text, FALSE);
}

static void
recorder_init(struct port_recorder *recorder)
{
    recorder->port.ops = &recorder_ops;
    ring_init(&recorder->reports, 4096, sizeof(struct target_report), NULL);
    ring_init(&recorder->entries, 4096, sizeof(struct member_info), NULL);
    ring_init(&recorder->broadcasts, 4096, sizeof(uint64_t), NULL);
}

static void
recorder_free(struct port_recorder *recorder)
{
    ring_free(&recorder->reports);
    ring_free(&recorder->entries);
    ring_free(&recorder->broadcasts);
}

static void
assert_published(struct port_recorder *recorder, struct observe *observe)
{
    struct member_info info;
    uint64_t id;

    g_assert_cmpint(ring_pop(&recorder->entries, &info, WATCHDOG_MS), ==,
                    RING_OK);
    g_assert_cmpstr(info.name, ==, "t1");
    g_assert_cmpint(info.state, ==, MEMBER_LEAVING);
    g_assert_cmpint(ring_pop(&recorder->broadcasts, &id, WATCHDOG_MS), ==,
                    RING_OK);
    g_assert_true(id == hash_text("good") ||
                  id == hash_text("unresponsive1") ||
                  id == hash_text("unresponsive2"));
    post_draining_report(observe, "far");
    wait_for_report(recorder, "far", TARGET_DRAINING, 3);
}

static void
test_duty(gconstpointer data)
{
    const struct duty_case *c = data;
    struct http_stub good;
    struct http_stub unresponsive;
    struct http_stub list;
    struct port_recorder recorder;
    struct observe_settings settings = {.list_interval_ms = 100,
                                        .poll_interval_ms = 100};
    struct observe *observe;
    pthread_t thread;

    recorder_init(&recorder);
    http_stub_start(&good, g_strdup("{\"incarnation\": 77, \"running\": 1}"));
    http_stub_start(&unresponsive, NULL);
    http_stub_start(&list, list_text(good.port, unresponsive.port));
    settings.poll_timeout_ms = c->poll_timeout_ms;
    snprintf(settings.list_url, sizeof(settings.list_url),
             "http://127.0.0.1:%d", list.port);
    observe = observe_new(&settings, &recorder.port, NULL);
    pthread_create(&thread, NULL, observe_main, observe_duty(observe));
    for (int i = 0; i < 5; i++) {
        wait_for_report(&recorder, "good", TARGET_LIVE, 77);
    }
    if (c->close_unresponsive) {
        http_stub_stop(&unresponsive);
    }
    wait_for_report(&recorder, "unresponsive1", TARGET_DOWN, 0);
    assert_published(&recorder, observe);
    observe_duty(observe)->ops->stop(observe_duty(observe));
    pthread_join(thread, NULL);
    observe_free(observe);
    http_stub_stop(&good);
    http_stub_stop(&list);
    if (!c->close_unresponsive) {
        http_stub_stop(&unresponsive);
    }
    recorder_free(&recorder);
}

/* Guards against an unreadable list that removes targets, against a target
 * that stays after the list dropped it, and against another server's response
 * that is taken as the status of an engine that holds nothing. */
static void
test_list_unreadable(void)
{
    struct http_stub good;
    struct http_stub list;
    struct port_recorder recorder;
    struct observe_settings settings = {.list_interval_ms = 20,
                                        .poll_interval_ms = 20,
                                        .poll_timeout_ms = WATCHDOG_MS};
    struct observe *observe;
    struct target_report report;
    uint64_t failed;
    pthread_t thread;
    char *readable;
    char *malformed = g_strdup("[{\"name\": ");
    char *empty = g_strdup("[]");
    char *status = g_strdup("{\"incarnation\": 77}");
    char *other = g_strdup("{}");

    recorder_init(&recorder);
    http_stub_start(&good, status);
    readable = g_strdup_printf(
        "[{\"name\": \"good\", \"kind\": \"engine\", \"service\": \"s\", "
        "\"data_centre\": \"d\", \"address\": \"127.0.0.1:%d\", "
        "\"state\": \"live\"}]",
        good.port);
    http_stub_start(&list, readable);
    snprintf(settings.list_url, sizeof(settings.list_url),
             "http://127.0.0.1:%d", list.port);
    observe = observe_new(&settings, &recorder.port, NULL);
    pthread_create(&thread, NULL, observe_main, observe_duty(observe));
    wait_for_report(&recorder, "good", TARGET_LIVE, 77);
    g_atomic_pointer_set(&good.body, other);
    do {
        g_assert_cmpint(ring_pop(&recorder.reports, &report, WATCHDOG_MS), ==,
                        RING_OK);
        g_assert_cmpuint(report.incarnation, ==, 77);
    } while (report.state != TARGET_DOWN);
    g_atomic_pointer_set(&good.body, status);
    wait_for_report(&recorder, "good", TARGET_LIVE, 77);
    failed = counter_read(CTR_POLLS_FAILED);
    g_atomic_pointer_set(&list.body, malformed);
    while (counter_read(CTR_POLLS_FAILED) < failed + 6) {
        g_assert_cmpint(ring_pop(&recorder.reports, &report, WATCHDOG_MS), ==,
                        RING_OK);
        g_assert_cmpint(report.state, ==, TARGET_LIVE);
    }
    g_atomic_pointer_set(&list.body, empty);
    wait_for_report(&recorder, "good", TARGET_GONE, 77);
    observe_duty(observe)->ops->stop(observe_duty(observe));
    pthread_join(thread, NULL);
    observe_free(observe);
    http_stub_stop(&good);
    http_stub_stop(&list);
    recorder_free(&recorder);
    g_free(readable);
    g_free(malformed);
    g_free(other);
}

/* Guards against a target that said that it leaves and is used again because
 * an older list names it once more, and, where another instance polls it,
 * against one that is never used again although it stays. */
static void
test_leaving_duty(void)
{
    struct http_stub target;
    struct http_stub list;
    struct port_recorder recorder;
    struct observe_settings settings = {.list_interval_ms = 20,
                                        .poll_interval_ms = 20,
                                        .poll_timeout_ms = WATCHDOG_MS};
    struct observe *observe;
    struct target_report report;
    pthread_t thread;
    char *listed;
    char *empty = g_strdup("[]");
    char *live = g_strdup("{\"incarnation\": 77}");
    char *leaving = g_strdup("{\"incarnation\": 77, \"leaving\": true}");

    recorder_init(&recorder);
    http_stub_start(&target, live);
    listed = g_strdup_printf(
        "[{\"name\": \"e1\", \"kind\": \"engine\", \"service\": \"s\", "
        "\"data_centre\": \"far\", \"address\": \"127.0.0.1:%d\", "
        "\"state\": \"live\"}]",
        target.port);
    http_stub_start(&list, listed);
    snprintf(settings.list_url, sizeof(settings.list_url),
             "http://127.0.0.1:%d", list.port);
    observe = observe_new(&settings, &recorder.port, NULL);
    pthread_create(&thread, NULL, observe_main, observe_duty(observe));
    wait_for_report(&recorder, "e1", TARGET_LIVE, 77);
    g_atomic_pointer_set(&target.body, leaving);
    g_assert_true(
        observe_post_leaving(observe, hash_text("e1"), clock_now_ms(), NULL));
    wait_for_report(&recorder, "e1", TARGET_DRAINING, 77);
    g_atomic_pointer_set(&list.body, empty);
    wait_for_report(&recorder, "e1", TARGET_GONE, 77);
    g_atomic_pointer_set(&list.body, listed);
    do {
        g_assert_cmpint(ring_pop(&recorder.reports, &report, WATCHDOG_MS), ==,
                        RING_OK);
    } while (report.state == TARGET_GONE);
    g_assert_cmpint(report.state, ==, TARGET_DRAINING);
    g_atomic_pointer_set(&target.body, live);
    wait_for_report(&recorder, "e1", TARGET_LIVE, 77);
    observe_duty(observe)->ops->stop(observe_duty(observe));
    pthread_join(thread, NULL);
    observe_free(observe);
    http_stub_stop(&target);
    http_stub_stop(&list);
    recorder_free(&recorder);
    g_free(empty);
    g_free(leaving);
}

static void
add_case_test(const char *group, const char *name, gconstpointer data,
              GTestDataFunc function)
{
    char *path = g_strdup_printf("/observe/%s/%s", group, name);

    g_test_add_data_func(path, data, function);
    g_free(path);
}

#define ADD_CASES(group, cases, function)                                     \
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                        \
        add_case_test(group, cases[i].name, &cases[i], function);             \
    }

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD_CASES("status", status_cases, test_status)
    ADD_CASES("list", list_cases, test_list)
    ADD_CASES("merge", merge_cases, test_merge)
    ADD_CASES("leaving", leaving_cases, test_merge)
    ADD_CASES("keep", keep_cases, test_keep)
    ADD_CASES("own_poll", own_poll_cases, test_own_poll)
    ADD_CASES("broadcast", broadcast_cases, test_broadcast)
    ADD_CASES("wire", wire_cases, test_wire)
    ADD_CASES("duty", duty_cases, test_duty)
    g_test_add_func("/observe/leaving_duty", test_leaving_duty);
    g_test_add_func("/observe/list_unreadable", test_list_unreadable);
    g_test_add_func("/observe/status_too_many", test_status_too_many);
    return g_test_run();
}
