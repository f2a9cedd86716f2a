/* Tests of the pure functions of placement, and of orders over HTTP. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum { A = 101, B = 102, ENGINE = 7 };

static const struct sender from_a = {A, 1, 1};
static const struct sender from_b = {B, 1, 2};

/* Guards against a damaged record that is accepted, or read as empty. */
struct decode_case {
    const char *name;
    const char *from;
    const char *to;
};

static const struct decode_case decode_cases[] = {
    {"whole", "", ""},
    {"cut_off", "]}", ""},
    {"no_version", "\"version\":1,", ""},
    {"other_version", "\"version\":1", "\"version\":2"},
    {"other_engine", "0000000000000007", "0000000000000008"},
    {"short_id", "0000000000000007", "7"},
    {"no_items", "\"items\"", "\"other\""},
    {"negative_mb", "\"mb\":60", "\"mb\":-60"},
    {"text_mb", "\"mb\":60", "\"mb\":\"60\""},
    {"unknown_state", "\"loading\"", "\"asleep\""},
    {"no_senders", "\"senders\":[{", "\"senders\":{\"a\":[{"},
    {"path_of_other_leaf", "/s/m", "/s/n"},
    {"item_above_fence", "\"fence\":1,\"incarnation\"",
     "\"fence\":0,\"incarnation\""},
    {"not_an_object", "{\"version\"", "[{\"version\""},
};

static struct reservation_request
request_for(const char *path, int64_t mb, const char *base, uint64_t member)
{
    struct reservation_request request = {
        .leaf = hash_text(path),
        .path = path,
        .mb = mb,
        .base_model_id = base == NULL ? 0 : hash_text(base),
        .member = member,
        .started_ms = 1,
    };

    return request;
}

static struct target_report
report_for(uint64_t id, uint32_t memory_mb, uint32_t used_mb)
{
    struct target_report report = {
        .id = id,
        .service = "s",
        .kind = TARGET_ENGINE,
        .state = TARGET_LIVE,
        .incarnation = 1,
        .memory_mb = memory_mb,
        .used_mb = used_mb,
    };

    return report;
}

static struct engine_record *
record_with(const char *path, int64_t mb, uint64_t member)
{
    struct engine_record *record = g_new0(struct engine_record, 1);
    struct reservation_request request = request_for(path, mb, NULL, member);
    struct target_report report = report_for(ENGINE, 100, 0);

    record->engine = ENGINE;
    g_assert_true(reserve_add(record, &request, &report, record, NULL));
    return record;
}

static char *
replace(const char *text, const char *from, const char *to)
{
    gchar **parts;
    char *result;

    if (from[0] == '\0') {
        return g_strdup(text);
    }
    parts = g_strsplit(text, from, 2);
    g_assert_nonnull(parts[1]);
    result = g_strjoin(to, parts[0], parts[1], NULL);
    g_strfreev(parts);
    return result;
}

static void
test_decode(gconstpointer data)
{
    const struct decode_case *c = data;
    struct engine_record *record = record_with("/s/m", 60, A);
    struct engine_record *copy = g_new0(struct engine_record, 1);
    char *text = engine_encode(record);
    char *damaged = replace(text, c->from, c->to);
    struct err err = {0};
    bool whole = c->from[0] == '\0';

    g_assert_true(engine_decode(damaged, ENGINE, copy, &err) == whole);
    if (whole) {
        char *again = engine_encode(copy);

        g_assert_cmpstr(again, ==, text);
        g_free(again);
    }
    else {
        g_assert_cmpint(err.kind, ==, ERR_BAD_JSON);
    }
    g_free(damaged);
    g_free(text);
    g_free(copy);
    g_free(record);
}

/* Guards against a replica record that loses or duplicates a slot. */
static void
test_replica_record(void)
{
    struct replica_record *record = g_new0(struct replica_record, 1);
    struct replica_record *copy = g_new0(struct replica_record, 1);
    struct err err = {0};
    char *text;
    char *twice;

    record->leaf = hash_text("/s/m");
    g_strlcpy(record->path, "/s/m", sizeof(record->path));
    slot_add(record, 1, &from_a, 2, 5, record, &err);
    slot_add(record, 2, &from_b, 2, 6, record, &err);
    text = replica_encode(record);
    g_assert_true(replica_decode(text, record->leaf, copy, &err));
    g_assert_cmpint(copy->slot_count, ==, 2);
    g_assert_cmpint(copy->revision, ==, 6);
    g_assert_cmpuint(slot_find(copy, 2)->sender.member, ==, B);
    twice = replace(text, "0000000000000002", "0000000000000001");
    g_assert_false(replica_decode(twice, record->leaf, copy, &err));
    g_assert_cmpint(err.kind, ==, ERR_BAD_JSON);
    g_assert_false(replica_decode(text, record->leaf + 1, copy, &err));
    g_free(twice);
    g_free(text);
    g_free(copy);
    g_free(record);
}

/* Guards against a slot above replicas_max or from an old configuration. */
struct slot_case {
    const char *name;
    int present;
    uint64_t engine;
    int64_t limit;
    int64_t revision;
    enum err_kind kind;
    int slots;
};

static const struct slot_case slot_cases[] = {
    {"first", 0, 1, 1, 10, ERR_NONE, 1},
    {"at_limit", 1, 2, 1, 10, ERR_REPLICAS_FULL, 1},
    {"below_limit", 1, 2, 2, 10, ERR_NONE, 2},
    {"announced_again", 1, 1, 1, 10, ERR_NONE, 1},
    {"limit_lowered", 2, 1, 1, 10, ERR_REPLICAS_FULL, 2},
    {"none_allowed", 0, 1, 0, 10, ERR_REPLICAS_FULL, 0},
    {"older_configuration", 0, 1, 1, 9, ERR_CONFIG_STALE, 0},
    {"newer_configuration", 0, 1, 1, 11, ERR_NONE, 1},
};

static void
test_slot(gconstpointer data)
{
    const struct slot_case *c = data;
    struct replica_record *record = g_new0(struct replica_record, 1);
    struct err err = {0};

    record->revision = 10;
    for (int i = 0; i < c->present; i++) {
        slot_add(record, (uint64_t)i + 1, &from_a, 99, 10, record, NULL);
    }
    slot_add(record, c->engine, &from_b, c->limit, c->revision, record, &err);
    g_assert_cmpint(err.kind, ==, c->kind);
    g_assert_cmpint(record->slot_count, ==, c->slots);
    if (c->kind == ERR_NONE) {
        struct replica_slot older = {c->engine, from_a};
        struct replica_slot present = {c->engine, from_b};

        g_assert_cmpint(record->revision, ==, c->revision);
        g_assert_false(slot_remove(record, &older, record, &err));
        g_assert_true(slot_remove(record, &present, record, &err));
    }
    g_free(record);
}

/* Guards against memory that is reserved twice. The record has an item of 60
   MB for /s/m, of 100 MB. */
struct add_case {
    const char *name;
    const char *path;
    int64_t mb;
    const char *base;
    uint32_t used_mb;
    bool listed;
    bool loaded;
    uint64_t incarnation;
    enum err_kind kind;
};

static const struct add_case add_cases[] = {
    {"fits", "/s/n", 40, NULL, 0, false, false, 1, ERR_NONE},
    {"one_too_many", "/s/n", 41, NULL, 0, false, false, 1, ERR_MEMORY_FULL},
    {"same_leaf", "/s/m", 1, NULL, 0, false, false, 1, ERR_KV_CONFLICT},
    {"used_is_known", "/s/n", 40, NULL, 60, true, true, 1, ERR_NONE},
    {"used_above_known", "/s/n", 40, NULL, 61, true, true, 1, ERR_MEMORY_FULL},
    {"used_by_others", "/s/n", 40, NULL, 10, false, true, 1, ERR_MEMORY_FULL},
    {"used_while_loading", "/s/n", 40, NULL, 60, false, false, 1, ERR_NONE},
    {"model_loading", "/s/m/a", 1, "/s/m", 0, false, false, 1, ERR_NO_TARGET},
    {"model_loaded", "/s/m/a", 1, "/s/m", 60, true, true, 1, ERR_NONE},
    {"model_missing", "/s/n/a", 1, "/s/n", 0, false, false, 1, ERR_NO_TARGET},
    {"old_report", "/s/n", 1, NULL, 0, false, false, 0, ERR_NO_TARGET},
    {"restarted", "/s/n", 100, NULL, 0, false, true, 2, ERR_NONE},
    {"restarted_in_flight", "/s/n", 41, NULL, 0, false, false, 2,
     ERR_MEMORY_FULL},
};

static void
test_add(gconstpointer data)
{
    const struct add_case *c = data;
    struct engine_record *record = record_with("/s/m", 60, A);
    struct reservation_request request =
        request_for(c->path, c->mb, c->base, B);
    struct target_report report = report_for(ENGINE, 100, c->used_mb);
    struct err err = {0};

    if (c->loaded) {
        reserve_loaded(record, hash_text("/s/m"), &from_a, false, record,
                       NULL);
    }
    if (c->listed) {
        report.loaded[report.loaded_count++] = hash_text("/s/m");
    }
    report.incarnation = c->incarnation;
    reserve_add(record, &request, &report, record, &err);
    g_assert_cmpint(err.kind, ==, c->kind);
    if (c->kind == ERR_NONE) {
        g_assert_cmpuint(record->fence, ==, 2);
        g_assert_cmpint(reserved_mb(record), <=, 100);
    }
    g_free(record);
}

/* Guards against an item that is released while an order can still load it,
   and against one that is never released. Each letter is a transition. */
struct transition_case {
    const char *name;
    const char *transitions;
    bool checks_fence;
    const char *state;
    int senders;
};

/*
 * a: A's load is confirmed      A: refused      x: ends without a response
 * o: B adopts the item          b: B's load is confirmed    B: refused
 * s: A's order has ended        t: B's order has ended
 * u: unload is recorded         U: unload is acknowledged
 * r: the engine restarts        g: release, as the engine is gone
 */
static const struct transition_case transition_cases[] = {
    {"loaded", "a", false, "loaded", 0},
    {"refused", "A", false, "none", 0},
    {"no_answer", "x", false, "doubt", 1},
    {"unloaded", "auU", false, "none", 0},
    {"unload_unacknowledged", "au", false, "unloading", 0},
    {"late_order_ignores", "uU", false, "doubt", 1},
    {"late_order_checked", "uU", true, "none", 0},
    {"settled_then_unloaded", "xsuU", false, "none", 0},
    {"settled_after_unload", "xuUs", false, "doubt", 0},
    {"ends_during_unload", "uaU", false, "doubt", 0},
    {"settled_and_unloaded_again", "xuUsuU", false, "none", 0},
    {"adopted", "ob", false, "loaded", 1},
    {"adopted_checked", "ob", true, "loaded", 0},
    {"adopted_first_ends_too", "oba", false, "loaded", 0},
    {"adopted_first_ends_first", "oa", false, "loading", 1},
    {"adopted_refused", "oB", false, "doubt", 1},
    {"adopted_both_refused", "oAB", false, "doubt", 0},
    {"adopted_unloaded", "obuU", false, "doubt", 1},
    {"adopted_settled_unloaded", "obsuU", false, "none", 0},
    {"adopted_unload_overtaken", "uoU", false, "loading", 2},
    {"restart_loaded", "ar", false, "none", 0},
    {"restart_in_flight", "r", false, "doubt", 1},
    {"restart_in_flight_checked", "r", true, "doubt", 1},
    {"restart_then_confirmed", "ra", false, "doubt", 0},
    {"gone_in_flight", "g", false, "loading", 1},
    {"gone_settled", "sg", false, "none", 0},
};

static void
apply_transition(struct engine_record *record, char step, bool checks_fence,
                 uint64_t *unload_fence)
{
    uint64_t leaf = hash_text("/s/m");
    struct reservation_request request = request_for("/s/m", 60, NULL, B);

    switch (step) {
    case 'a':
        reserve_loaded(record, leaf, &from_a, checks_fence, record, NULL);
        break;
    case 'A':
        reserve_refused(record, leaf, &from_a, record, NULL);
        break;
    case 'x':
        reserve_in_doubt(record, leaf, &from_a, record, NULL);
        break;
    case 'o':
        g_assert_true(reserve_adopt(record, &request, record, NULL));
        break;
    case 'b':
        reserve_loaded(record, leaf, &from_b, checks_fence, record, NULL);
        break;
    case 'B':
        reserve_refused(record, leaf, &from_b, record, NULL);
        break;
    case 's':
        reserve_settle(record, leaf, &from_a, 1, record, NULL);
        break;
    case 't':
        reserve_settle(record, leaf, &from_b, 1, record, NULL);
        break;
    case 'u':
        reserve_unload(record, leaf, checks_fence, record, NULL);
        *unload_fence = record->fence;
        break;
    case 'U':
        reserve_unloaded(record, leaf, *unload_fence, record, NULL);
        break;
    case 'r':
        reserve_update_engine(record, record->incarnation + 1, 100, record);
        break;
    case 'g':
        reserve_release(record, leaf, record, NULL);
        break;
    default:
        g_assert_not_reached();
    }
}

static void
test_transition(gconstpointer data)
{
    static const char *const names[] = {"loading", "loaded", "unloading",
                                        "doubt"};
    const struct transition_case *c = data;
    struct engine_record *record = record_with("/s/m", 60, A);
    const struct item *item;
    uint64_t unload_fence = 0;

    for (const char *step = c->transitions; *step != '\0'; step++) {
        apply_transition(record, *step, c->checks_fence, &unload_fence);
    }
    item = item_find(record, hash_text("/s/m"));
    g_assert_cmpstr(item == NULL ? "none" : names[item->state], ==, c->state);
    g_assert_cmpint(item == NULL ? 0 : item->sender_count, ==, c->senders);
    g_assert_cmpint(reserved_mb(record), ==, item == NULL ? 0 : 60);
    g_free(record);
}

/* Guards against a model that is unloaded while its adapters are loaded. */
static void
test_unload_model(void)
{
    struct engine_record *record = record_with("/s/m", 60, A);
    struct reservation_request request = request_for("/s/m/a", 1, "/s/m", B);
    struct target_report report = report_for(ENGINE, 100, 60);
    struct err err = {0};

    reserve_loaded(record, hash_text("/s/m"), &from_a, false, record, NULL);
    report.loaded[report.loaded_count++] = hash_text("/s/m");
    g_assert_true(reserve_add(record, &request, &report, record, NULL));
    g_assert_false(
        reserve_unload(record, hash_text("/s/m"), false, record, &err));
    g_assert_cmpint(err.kind, ==, ERR_KV_CONFLICT);
    g_assert_false(
        reserve_block_announced(record, hash_text("/s/m"), record, &err));
    g_assert_true(
        reserve_block_announced(record, hash_text("/s/n"), record, &err));
    g_free(record);
}

/* Guards against the selection of an engine although a better one is
   available. The leaf needs 50 MB on an engine of service s. */
struct engine_row {
    uint32_t used_mb;
    enum target_state state;
    const char *service;
    const char *data_centre;
    char cached;
    int loaded;
    uint32_t running;
    bool base;
};

struct choose_case {
    const char *name;
    struct engine_row rows[2];
    const char *pin;
    bool adapter;
    bool exclude_first;
    int chosen;
    enum err_kind kind;
};

#define ROW(used)                                                             \
    {                                                                         \
        used, TARGET_LIVE, "s", "x", '-', 0, 0, false                         \
    }

static const struct choose_case choose_cases[] = {
    {"most_free", {ROW(40), ROW(10)}, "", false, false, 1, ERR_NONE},
    {"fits_one", {ROW(60), ROW(50)}, "", false, false, 1, ERR_NONE},
    {"fits_none", {ROW(60), ROW(51)}, "", false, false, -1, ERR_MEMORY_FULL},
    {"cached_in_memory",
     {{40, TARGET_LIVE, "s", "x", 'm', 0, 0, false},
      {0, TARGET_LIVE, "s", "x", 'd', 0, 0, false}},
     "",
     false,
     false,
     0,
     ERR_NONE},
    {"cached_on_disk",
     {{40, TARGET_LIVE, "s", "x", 'd', 0, 0, false}, ROW(0)},
     "",
     false,
     false,
     0,
     ERR_NONE},
    {"cached_but_full",
     {{60, TARGET_LIVE, "s", "x", 'm', 0, 0, false}, ROW(0)},
     "",
     false,
     false,
     1,
     ERR_NONE},
    {"fewer_leaves",
     {{0, TARGET_LIVE, "s", "x", '-', 3, 0, false},
      {0, TARGET_LIVE, "s", "x", '-', 2, 9, false}},
     "",
     false,
     false,
     1,
     ERR_NONE},
    {"less_running",
     {{0, TARGET_LIVE, "s", "x", '-', 1, 4, false},
      {0, TARGET_LIVE, "s", "x", '-', 1, 5, false}},
     "",
     false,
     false,
     0,
     ERR_NONE},
    {"leaving",
     {{0, TARGET_DRAINING, "s", "x", '-', 0, 0, false}, ROW(50)},
     "",
     false,
     false,
     1,
     ERR_NONE},
    {"down",
     {{0, TARGET_DOWN, "s", "x", '-', 0, 0, false}, ROW(50)},
     "",
     false,
     false,
     1,
     ERR_NONE},
    {"other_service",
     {{0, TARGET_LIVE, "t", "x", '-', 0, 0, false}, ROW(50)},
     "",
     false,
     false,
     1,
     ERR_NONE},
    {"pinned",
     {ROW(0), {50, TARGET_LIVE, "s", "y", '-', 0, 0, false}},
     "y",
     false,
     false,
     1,
     ERR_NONE},
    {"pinned_nowhere", {ROW(0), ROW(0)}, "z", false, false, -1, ERR_NO_TARGET},
    {"with_model",
     {ROW(0), {50, TARGET_LIVE, "s", "x", '-', 0, 0, true}},
     "",
     true,
     false,
     1,
     ERR_NONE},
    {"without_model", {ROW(0), ROW(0)}, "", true, false, -1, ERR_NO_TARGET},
    {"skipped", {ROW(0), ROW(50)}, "", false, true, 1, ERR_NONE},
};

static void
fill_view(struct engine_view *view, const struct engine_row *row, uint64_t id)
{
    struct target_report *report = &view->report;

    memset(view, 0, sizeof(*view));
    *report = report_for(id, 100, row->used_mb);
    report->state = row->state;
    g_strlcpy(report->service, row->service, sizeof(report->service));
    g_strlcpy(report->data_centre, row->data_centre,
              sizeof(report->data_centre));
    report->running = row->running;
    if (row->cached == 'm') {
        report->cached_memory[report->cached_memory_count++] = A;
    }
    if (row->cached == 'd') {
        report->cached_disk[report->cached_disk_count++] = A;
    }
    for (int i = 0; i < row->loaded; i++) {
        report->loaded[report->loaded_count++] = (uint64_t)i + 1000;
    }
    if (row->base) {
        report->loaded[report->loaded_count++] = B;
    }
}

static void
test_choose(gconstpointer data)
{
    const struct choose_case *c = data;
    struct engine_view views[2];
    struct engine_view *pointers[2] = {&views[0], &views[1]};
    uint64_t skip = 1;
    struct engine_requirements required = {
        .leaf = A,
        .service = "s",
        .data_centre = c->pin,
        .mb = 50,
        .base_model_id = c->adapter ? B : 0,
        .excluded = &skip,
        .excluded_count = c->exclude_first ? 1 : 0,
    };
    struct err err = {0};

    fill_view(&views[0], &c->rows[0], 1);
    fill_view(&views[1], &c->rows[1], 2);
    g_assert_cmpint(choose_engine(&required, pointers, 2, 0, &err), ==,
                    c->chosen);
    g_assert_cmpint(err.kind, ==, c->kind);
}

/* Guards against the eviction of an unevictable leaf, or of the wrong one.
   Engine 1 has no free memory; 50 MB are needed. */
struct evict_case {
    const char *name;
    struct eviction_candidate candidates[4];
    int count;
    bool found;
    uint64_t leaves[3];
};

static const struct evict_case evict_cases[] = {
    {"overdue_first",
     {{1, 11, 0, 50, 0, 10, 100, false}, {1, 12, 0, 50, 9, 200, 100, false}},
     2,
     true,
     {12}},
    {"lowest_priority",
     {{1, 11, 0, 50, 5, 90, 100, false}, {1, 12, 0, 50, 4, 10, 100, false}},
     2,
     true,
     {12}},
    {"longest_idle",
     {{1, 11, 0, 50, 5, 20, 100, false}, {1, 12, 0, 50, 5, 10, 100, false}},
     2,
     true,
     {11}},
    {"unevictable",
     {{1, 11, 0, 50, 5, 200, 100, true}, {1, 12, 0, 50, 9, 10, 100, false}},
     2,
     true,
     {12}},
    {"all_unevictable", {{1, 11, 0, 90, 5, 200, 100, true}}, 1, false, {0}},
    {"not_enough", {{1, 11, 0, 49, 5, 200, 100, false}}, 1, false, {0}},
    {"two_small",
     {{1, 11, 0, 30, 5, 20, 100, false}, {1, 12, 0, 30, 5, 10, 100, false}},
     2,
     true,
     {11, 12}},
    {"adapters_evicted_first",
     {{1, 11, 0, 50, 1, 90, 100, false}, {1, 12, 11, 5, 1, 10, 100, false}},
     2,
     true,
     {12, 11}},
    {"adapter_in_use",
     {{1, 11, 0, 50, 1, 90, 100, false}, {1, 12, 11, 5, 1, 10, 100, true}},
     2,
     false,
     {0}},
    {"on_another_engine", {{2, 11, 0, 90, 5, 200, 100, false}}, 1, false, {0}},
};

static void
test_evict(gconstpointer data)
{
    const struct evict_case *c = data;
    static const struct engine_row full = ROW(100);
    struct engine_view view;
    struct engine_view *pointer = &view;
    struct engine_requirements required = {
        .leaf = A, .service = "s", .data_centre = "", .mb = 50};
    struct eviction eviction = {0};
    int count = 0;

    fill_view(&view, &full, 1);
    g_assert_true(choose_eviction(&required, &pointer, 1, c->candidates,
                                  c->count, 0, &eviction) == c->found);
    while (count < 3 && c->leaves[count] != 0) {
        g_assert_cmpuint(eviction.leaves[count], ==, c->leaves[count]);
        count++;
    }
    g_assert_cmpint(eviction.count, ==, count);
}

/* Guards against an idle leaf that is reported as unevictable, and against the
   eviction of a leaf with running requests. The result is for leaf A; leaf B
   was used earlier or later. */
struct unevictable_case {
    const char *name;
    int64_t idle_ms;
    int64_t other_idle_ms;
    bool other_here;
    uint32_t running;
    uint32_t waiting;
    bool unevictable;
};

static const struct unevictable_case unevictable_cases[] = {
    {"used_last", 10000, 20000, true, 1, 0, true},
    {"used_earlier", 20000, 10000, true, 1, 0, false},
    {"both_may_run", 20000, 10000, true, 2, 0, true},
    {"waiting_counts", 20000, 10000, true, 1, 1, true},
    {"used_just_now", 2000, 1000, true, 1, 0, true},
    {"on_another_engine", 20000, 10000, false, 1, 0, true},
};

static void
test_unevictable(gconstpointer data)
{
    const struct unevictable_case *c = data;
    const int64_t now_ms = 1000000;
    struct place *place = g_new0(struct place, 1);
    struct leaf leaves[2] = {
        {.id = A, .owned = true, .view_count = 1},
        {.id = B, .owned = true, .view_count = 1},
    };
    struct node node = {.settings.idle_unload_s = 600};
    struct engine_view view;

    fill_view(&view, &(struct engine_row)ROW(50), 1);
    view.report.running = c->running;
    view.report.waiting = c->waiting;
    view.report.loaded[view.report.loaded_count++] = A;
    if (c->other_here) {
        view.report.loaded[view.report.loaded_count++] = B;
    }
    leaves[0].last_used_ms = now_ms - c->idle_ms;
    leaves[1].last_used_ms = now_ms - c->other_idle_ms;
    place->now_ms = now_ms;
    place->leaves = g_hash_table_new(g_int64_hash, g_int64_equal);
    g_hash_table_insert(place->leaves, &leaves[0].id, &leaves[0]);
    g_hash_table_insert(place->leaves, &leaves[1].id, &leaves[1]);
    g_assert_true(leaf_unevictable(place, &leaves[0], &view, &node) ==
                  c->unevictable);
    g_hash_table_unref(place->leaves);
    g_free(place);
}

/* Guards against loads from the weight store above its limits, and against
   permits that a failed requester keeps. A step is an event and the tokens
   granted after it; the limits are 2 at once and 3 a second. */
struct permit_step {
    int64_t at_ms;
    char event; /* a: request, A: of an adapter, d: release, t: expire */
    uint64_t token;
    int priority;
    uint64_t granted[3];
};

struct permit_case {
    const char *name;
    struct permit_step steps[6];
};

static const struct permit_case permit_cases[] = {
    {"at_once",
     {{0, 'a', 1, 5, {1}},
      {0, 'a', 2, 5, {2}},
      {0, 'a', 3, 5, {0}},
      {10, 'd', 1, 0, {3}}}},
    {"priority",
     {{0, 'a', 1, 5, {1}},
      {0, 'a', 2, 5, {2}},
      {0, 'a', 3, 5, {0}},
      {0, 'a', 4, 9, {0}},
      {0, 'd', 1, 0, {4}}}},
    {"arrival",
     {{0, 'a', 1, 5, {1}},
      {0, 'a', 2, 5, {2}},
      {0, 'a', 4, 5, {0}},
      {0, 'a', 3, 5, {0}},
      {0, 'd', 2, 0, {4}}}},
    {"rate",
     {{0, 'a', 1, 5, {1}},
      {0, 'd', 1, 0, {0}},
      {100, 'a', 2, 5, {2}},
      {200, 'a', 3, 5, {3}},
      {900, 'd', 2, 0, {0}},
      {999, 'a', 4, 5, {0}}}},
    {"rate_passes",
     {{0, 'a', 1, 5, {1}},
      {100, 'a', 2, 5, {2}},
      {200, 'd', 1, 0, {0}},
      {300, 'a', 3, 5, {3}},
      {400, 'd', 2, 0, {0}},
      {1000, 'a', 4, 5, {4}}}},
    {"expires",
     {{0, 'a', 1, 5, {1}},
      {0, 'a', 2, 5, {2}},
      {3000, 'a', 3, 5, {0}},
      {3000, 'a', 1, 5, {0}},
      {5001, 't', 0, 0, {3}}}},
    {"adapters_separate",
     {{0, 'a', 1, 5, {1}},
      {0, 'a', 2, 5, {2}},
      {0, 'A', 3, 1, {3}},
      {0, 'A', 4, 1, {4}}}},
};

static void
apply_permit_event(struct load_permits *permits,
                   const struct permit_step *step)
{
    struct load_permit request = {.token = step->token,
                                  .leaf = step->token,
                                  .priority = step->priority,
                                  .adapter = step->event == 'A'};

    switch (step->event) {
    case 'a':
    case 'A':
        g_assert_true(
            load_permits_request(permits, &request, step->at_ms, NULL));
        break;
    case 'd':
        load_permits_release(permits, step->token);
        break;
    default:
        load_permits_expire(permits, step->at_ms);
        break;
    }
}

static void
test_permit(gconstpointer data)
{
    const struct permit_case *c = data;
    struct load_permits *permits = g_new0(struct load_permits, 1);

    for (int i = 0; i < 6 && c->steps[i].event != '\0'; i++) {
        const struct permit_step *step = &c->steps[i];
        struct load_permit permit;

        apply_permit_event(permits, step);
        for (int n = 0; step->granted[n] != 0; n++) {
            g_assert_true(
                load_permits_grant_next(permits, 2, 3, step->at_ms, &permit));
            g_assert_cmpuint(permit.token, ==, step->granted[n]);
        }
        g_assert_false(
            load_permits_grant_next(permits, 2, 3, step->at_ms, &permit));
    }
    g_free(permits);
}

/* Guards against a wrong next action for a leaf. */
struct action_case {
    const char *name;
    struct leaf_status leaf;
    struct slot_status slots[2];
    int count;
    enum action_kind kind;
    int slot;
};

#define LIVE_LOADED                                                           \
    {                                                                         \
        .engine_state = ENGINE_LIVE, .has_item = true, .state = ITEM_LOADED   \
    }
#define LIVE(...)                                                             \
    {                                                                         \
        .engine_state = ENGINE_LIVE, .has_item = true, __VA_ARGS__            \
    }

static const struct action_case action_cases[] = {
    {"unrequested", {.replicas_max = 1}, {{0}}, 0, ACTION_NONE, -1},
    {"requested",
     {.replicas_max = 1, .requested = true},
     {{0}},
     0,
     ACTION_LOAD,
     -1},
    {"requested_disabled",
     {.replicas_max = 0, .requested = true},
     {{0}},
     0,
     ACTION_NONE,
     -1},
    {"min", {.replicas_max = 1, .replicas_min = 1}, {{0}}, 0, ACTION_LOAD, -1},
    {"scale_out",
     {.replicas_max = 2, .requested = true, .scale_out = true},
     {LIVE_LOADED},
     1,
     ACTION_LOAD,
     -1},
    {"scale_out_at_limit",
     {.replicas_max = 1, .requested = true, .scale_out = true},
     {LIVE_LOADED},
     1,
     ACTION_NONE,
     -1},
    {"used", {.replicas_max = 1}, {LIVE_LOADED}, 1, ACTION_NONE, -1},
    {"idle",
     {.replicas_max = 1, .idle = true},
     {LIVE_LOADED},
     1,
     ACTION_UNLOAD,
     0},
    {"idle_min",
     {.replicas_max = 1, .replicas_min = 1, .idle = true},
     {LIVE_LOADED},
     1,
     ACTION_NONE,
     -1},
    {"idle_requested",
     {.replicas_max = 1, .idle = true, .requested = true},
     {LIVE_LOADED},
     1,
     ACTION_NONE,
     -1},
    {"disabled",
     {.replicas_max = 0, .requested = true},
     {LIVE_LOADED},
     1,
     ACTION_UNLOAD,
     0},
    {"excess_keeps_loaded",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_IN_DOUBT), LIVE_LOADED},
     2,
     ACTION_UNLOAD,
     0},
    /* A lowered replicas_max had no effect: the replica with an adapter was
     * chosen, whose unload was refused each time. */
    {"excess_keeps_adapters",
     {.replicas_max = 1},
     {LIVE_LOADED, LIVE(.state = ITEM_LOADED, .has_adapters = true)},
     2,
     ACTION_UNLOAD,
     0},
    {"excess_last",
     {.replicas_max = 1},
     {LIVE_LOADED, LIVE_LOADED},
     2,
     ACTION_UNLOAD,
     1},
    {"evicted",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_LOADED, .evict_requested = true)},
     1,
     ACTION_UNLOAD,
     0},
    {"missing",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_LOADED, .missing = true)},
     1,
     ACTION_UNLOAD,
     0},
    {"restarted",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_LOADED, .restarted = true)},
     1,
     ACTION_CLEAR,
     0},
    {"orphan",
     {.replicas_max = 1},
     {{.engine_state = ENGINE_LIVE, .orphan = true}},
     1,
     ACTION_CLEAR,
     0},
    {"being_reserved",
     {.replicas_max = 1},
     {{.engine_state = ENGINE_LIVE}},
     1,
     ACTION_NONE,
     -1},
    {"loading_requested",
     {.replicas_max = 1, .requested = true},
     {LIVE(.state = ITEM_LOADING)},
     1,
     ACTION_ADOPT,
     0},
    {"loading_unrequested",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_LOADING)},
     1,
     ACTION_UNLOAD,
     0},
    {"sender_asked_first",
     {.replicas_max = 1, .requested = true},
     {LIVE(.state = ITEM_LOADING, .unsettled = 1)},
     1,
     ACTION_QUERY_SENDERS,
     0},
    {"unresponsive_requested",
     {.replicas_max = 1, .requested = true},
     {LIVE(.state = ITEM_IN_DOUBT, .unsettled = 1, .unresponsive = true)},
     1,
     ACTION_ADOPT,
     0},
    {"unresponsive_unrequested",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_LOADING, .unsettled = 1, .unresponsive = true)},
     1,
     ACTION_UNLOAD,
     0},
    {"in_doubt_kept",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_IN_DOUBT, .unsettled = 1, .unresponsive = true)},
     1,
     ACTION_QUERY_SENDERS,
     0},
    {"in_doubt_checked",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_IN_DOUBT, .unsettled = 1, .unresponsive = true,
           .checks_fence = true)},
     1,
     ACTION_UNLOAD,
     0},
    {"in_doubt_settled",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_IN_DOUBT)},
     1,
     ACTION_UNLOAD,
     0},
    {"unload_again",
     {.replicas_max = 1},
     {LIVE(.state = ITEM_UNLOADING)},
     1,
     ACTION_UNLOAD,
     0},
    {"down",
     {.replicas_max = 1, .requested = true},
     {{.engine_state = ENGINE_DOWN, .has_item = true, .state = ITEM_LOADED}},
     1,
     ACTION_NONE,
     -1},
    {"gone",
     {.replicas_max = 1},
     {{.engine_state = ENGINE_GONE, .has_item = true, .state = ITEM_LOADED}},
     1,
     ACTION_UNLOAD,
     0},
    {"gone_in_flight",
     {.replicas_max = 1},
     {{.engine_state = ENGINE_GONE, .has_item = true, .unsettled = 1}},
     1,
     ACTION_QUERY_SENDERS,
     0},
    {"leaving_loads_elsewhere",
     {.replicas_max = 2},
     {{.engine_state = ENGINE_DRAINING,
       .has_item = true,
       .state = ITEM_LOADED}},
     1,
     ACTION_LOAD,
     -1},
    {"leaving_at_limit",
     {.replicas_max = 1},
     {{.engine_state = ENGINE_DRAINING,
       .has_item = true,
       .state = ITEM_LOADED}},
     1,
     ACTION_UNLOAD,
     0},
    {"leaving_moved",
     {.replicas_max = 2},
     {{.engine_state = ENGINE_DRAINING,
       .has_item = true,
       .state = ITEM_LOADED},
      LIVE_LOADED},
     2,
     ACTION_UNLOAD,
     0},
};

static void
test_action(gconstpointer data)
{
    const struct action_case *c = data;
    struct leaf_action action = leaf_next_action(&c->leaf, c->slots, c->count);

    g_assert_cmpint(action.kind, ==, c->kind);
    g_assert_cmpint(action.slot, ==, c->slot);
}

/* Guards against a use that a full queue refuses and that counts as posted
 * from then on: its leaf would be evicted as idle. */
static void
test_use_refused(void)
{
    struct place_port port = {0};
    struct place *place = place_new(NULL, NULL, 1, 1, &port, NULL);
    uint64_t leaf = 1;

    while (place_post_use(place, leaf, NULL)) {
        leaf++;
    }
    g_assert_cmpuint(leaf, >, 1);
    g_assert_false(place_post_use(place, leaf, NULL));
    place_free(place);
}

/* Guards against a response of an engine that is misinterpreted. */
struct http_case {
    const char *name;
    const char *answer;
    bool unload;
    enum err_kind kind;
};

#define ANSWER(status, length, body)                                          \
    "HTTP/1.1 " status " X\r\nContent-Length: " length "\r\n\r\n" body

static const struct http_case http_cases[] = {
    {"loaded", ANSWER("200", "2", "{}"), false, ERR_NONE},
    {"loaded_by_something_else", ANSWER("200", "2", "ok"), false, ERR_IO},
    {"loaded_without_body", ANSWER("200", "0", ""), false, ERR_IO},
    {"encoded",
     "HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\n"
     "Content-Length: 2\r\n\r\n{}",
     false, ERR_IO},
    {"redirected",
     "HTTP/1.1 307 X\r\nLocation: /v1/load\r\n"
     "Content-Length: 2\r\n\r\n{}",
     false, ERR_IO},
    {"part", ANSWER("206", "2", "{}"), false, ERR_IO},
    {"old_fence", ANSWER("409", "21", "{\"error\":\"fence_old\"}"), false,
     ERR_FENCE_OLD},
    {"other_conflict", ANSWER("409", "16", "{\"error\":\"busy\"}"), false,
     ERR_LOAD_FAILED},
    {"memory_full", ANSWER("507", "23", "{\"error\":\"memory_full\"}"), false,
     ERR_LOAD_FAILED},
    {"refused_without_body", ANSWER("503", "0", ""), false, ERR_IO},
    {"refused_by_something_else", ANSWER("502", "5", "<html"), false, ERR_IO},
    {"cut_in_head", "HTTP/1.1 404 X\r\nContent-Type: a\r\n", true, ERR_IO},
    {"broken", "HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n{}", false, ERR_IO},
    {"nothing", "", false, ERR_IO},
    {"no_answer", NULL, false, ERR_TIMEOUT},
    {"unloaded", ANSWER("200", "2", "{}"), true, ERR_NONE},
    {"not_loaded", ANSWER("404", "22", "{\"error\":\"not_loaded\"}"), true,
     ERR_NONE},
    {"load_not_found", ANSWER("404", "22", "{\"error\":\"not_loaded\"}"),
     false, ERR_LOAD_FAILED},
    {"unload_old_fence", ANSWER("409", "21", "{\"error\":\"fence_old\"}"),
     true, ERR_FENCE_OLD},
};

struct server {
    int listener;
    const char *answer;
    char request[4096];
};

static void *
serve_once(void *argument)
{
    struct server *server = argument;
    int connection = accept(server->listener, NULL, NULL);
    size_t used = 0;
    ssize_t got = 1;
    char byte;

    while (got > 0 && strchr(server->request, '}') == NULL) {
        got = read(connection, server->request + used,
                   sizeof(server->request) - used - 1);
        used += got > 0 ? (size_t)got : 0;
    }
    if (server->answer == NULL) {
        /* Waits until the client gives up. */
        while (read(connection, &byte, 1) > 0) {
        }
        close(connection);
        return NULL;
    }
    g_assert_cmpint(write(connection, server->answer, strlen(server->answer)),
                    ==, (ssize_t)strlen(server->answer));
    close(connection);
    return NULL;
}

/* Listens on an ephemeral port and returns it. */
static int
listen_any(struct server *server)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(server->listener, 4), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &bytes);
    return ntohs(address.sin_port);
}

static void
test_http(gconstpointer data)
{
    const struct http_case *c = data;
    struct server server = {.answer = c->answer};
    struct engine_api *api = engine_http_new(c->answer == NULL ? 1000 : 30000);
    char address[ADDRESS_MAX_BYTES];
    struct err err = {0};
    pthread_t thread;

    snprintf(address, sizeof(address), "127.0.0.1:%d", listen_any(&server));
    pthread_create(&thread, NULL, serve_once, &server);
    if (c->unload) {
        api->ops->unload(api, address, "/s/m", 8, &err);
    }
    else {
        api->ops->load(api, address, "/s/m", 60, 8, &err);
    }
    pthread_join(thread, NULL);
    g_assert_cmpint(err.kind, ==, c->kind);
    g_assert_nonnull(strstr(server.request,
                            c->unload ? "POST /v1/unload" : "POST /v1/load"));
    g_assert_nonnull(strstr(server.request, "\"model\":\"s/m\""));
    g_assert_nonnull(strstr(server.request, "\"fence\":8"));
    close(server.listener);
    engine_http_free(api);
}

static void
add(const char *group, const char *name, gconstpointer data,
    GTestDataFunc function)
{
    char *path = g_strdup_printf("/place/%s/%s", group, name);

    g_test_add_data_func(path, data, function);
    g_free(path);
}

#define ADD_ALL(group, cases, function)                                       \
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {                        \
        add(group, (cases)[i].name, &(cases)[i], function);                   \
    }

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    ADD_ALL("decode", decode_cases, test_decode)
    ADD_ALL("slot", slot_cases, test_slot)
    ADD_ALL("add", add_cases, test_add)
    ADD_ALL("transition", transition_cases, test_transition)
    ADD_ALL("choose", choose_cases, test_choose)
    ADD_ALL("evict", evict_cases, test_evict)
    ADD_ALL("unevictable", unevictable_cases, test_unevictable)
    ADD_ALL("permit", permit_cases, test_permit)
    ADD_ALL("action", action_cases, test_action)
    ADD_ALL("http", http_cases, test_http)
    g_test_add_func("/place/replica_record", test_replica_record);
    g_test_add_func("/place/unload_model", test_unload_model);
    g_test_add_func("/place/use_refused", test_use_refused);
    return g_test_run();
}
