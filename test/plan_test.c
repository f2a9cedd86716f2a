/* Tests of the decisions about what engines load. */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/belief/dat.h"
#include "gate/belief/fns.h"
#include "gate/follow/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"

/*
 * Guards against orders that an engine crashes on, the same load on several
 * engines, and demand that nobody serves.
 *
 * An engine has room for two models (m1 to m7) and two adapters (m1/a1 ...);
 * loads take 6 s, from memory 0.4 s, from disk 0.8 s. Words of a script:
 *   t=MS            time
 *   e1:ITEMS        engine 1's entry says that it holds ITEMS
 *   e1:ITEMS:born   the same of a new start
 *   g1              engine 1 is gone
 *   r1:SEQ:ITEMS    a report of engine 1; with ":busy" or ":disk=ITEMS" added
 *   f1              the report of engine 1 can't be read
 *   w:ITEM=N        N requests wait for ITEM; w:ITEM:run=N run
 *   n               the next step is taken and written down
 *   a h c u x       the last order is accepted, holds already, is refused as a
 *                   conflict, is not answered, was not sent
 *   begin           this instance becomes the holder
 */
struct plan_case {
    const char *name;
    const char *script;
    const char *steps;
};

static const struct plan_case plan_cases[] = {
    {"report_before_orders", "e1: w:m1=1 n n", "report1 -"},
    {"wanted", "e1: n r1:0: w:m1=1 n", "report1 load1:m1@0"},
    {"wanted_adapter", "e1:m1 n r1:0:m1 w:m1/a1=1 n", "report1 load1:m1/a1@0"},
    {"adapter_needs_base", "e1: n r1:0: w:m1/a1=1 n", "report1 load1:m1@0"},
    {"no_room_swaps", "e1:m1,m2 n r1:0:m1,m2 t=9000 w:m3=1 n a t=9100 n",
     "report1 unload1:m1@0 load1:m3@1"},
    {"used_model_stays",
     "e1:m1,m2 n r1:0:m1,m2 t=9000 w:m1:run=1 w:m2:run=1 w:m3=1 n",
     "report1 -"},
    {"one_engine_a_model", "e1: e2: n n r1:0: r2:0: w:m1=1 n n",
     "report2 report1 load2:m1@0 -"},
    {"coming_is_not_ordered_again", "e1: e2: n n r1:0: r2:0: w:m1=1 n a n",
     "report2 report1 load2:m1@0 -"},
    {"disk_before_store", "e1: e2: n n r1:0: r2:0::disk=m1 w:m1=1 n",
     "report2 report1 load2:m1@0"},
    {"memory_counts_load_in_progress",
     "e1:m1 n r1:0:m1 w:m2=1 n a w:m2=0 w:m3=1 n", "report1 load1:m2@0 -"},
    {"stale_entry_makes_no_room",
     "e1:m1 n r1:0:m1 w:m2=1 n a t=7000 r1:1:m1,m2 w:m2=0 "
     "t=9000 e1:m1 w:m3=1 w:m1:run=1 w:m2:run=1 n n",
     "report1 load1:m2@0 report1 -"},
    {"old_report_makes_no_room",
     "e1:m1 n r1:0:m1 w:m2=1 n a t=7000 r1:1:m1,m2 w:m2=0 "
     "t=9000 e1:m1 n r1:0:m1 w:m3=1 w:m1:run=1 w:m2:run=1 n",
     "report1 load1:m2@0 report1 -"},
    {"adapters_on_their_way_count",
     "e1:m1 n r1:0:m1 w:m1/a1=1 n a t=100 w:m1/a1=0 w:m1/a1:run=1 "
     "w:m1/a2=1 n a t=200 w:m1/a2=0 w:m1/a2:run=1 w:m1/a3=1 n",
     "report1 load1:m1/a1@0 load1:m1/a2@1 -"},
    {"idle_adapter_makes_way",
     "e1:m1,m1/a1,m1/a2 n r1:0:m1,m1/a1,m1/a2 t=9000 w:m1/a3=1 n h t=9050 n",
     "report1 unload1:m1/a1@0 load1:m1/a3@1"},
    {"adapters_of_a_leaving_model_count",
     "e1:m1,m2,m2/a1,m2/a2 n r1:0:m1,m2,m2/a1,m2/a2 t=9000 w:m1:run=1 "
     "w:m1:run=0 w:m3=1 n a w:m3=0 w:m1/a1=1 t=12100 n n r1:1:m1 n",
     "report1 unload1:m2@0 report1 - load1:m1/a1@1"},
    {"unload_waits_for_runs",
     "e1:m1,m2 n r1:0:m1,m2 t=9000 w:m3=1 n a t=9200 n r1:1:m1,m2 n "
     "t=9400 n r1:1:m2 n",
     "report1 unload1:m1@0 report1 - report1 load1:m3@1"},
    {"conflict_during_unload",
     "e1:m1,m2 n r1:0:m1,m2 t=9000 w:m3=1 n a t=9100 n c n t=9165 n r1:1:m2 "
     "n",
     "report1 unload1:m1@0 load1:m3@1 - report1 load1:m3@1"},
    {"conflict_is_looked_up", "e1: n r1:0: w:m1=1 n c n t=300 n r1:4: n",
     "report1 load1:m1@0 - report1 load1:m1@4"},
    {"no_answer_is_looked_up", "e1: n r1:0: w:m1=1 n u n t=400 n r1:1:m1 n",
     "report1 load1:m1@0 - report1 -"},
    {"busy_engine_waits", "e1: n r1:3::busy w:m1=1 n t=400 n r1:3: n",
     "report1 - report1 load1:m1@3"},
    {"not_sent_is_decided_again", "e1: n r1:0: w:m1=1 n x n",
     "report1 load1:m1@0 load1:m1@0"},
    {"new_holder_reports_first", "e1: n r1:0: begin w:m1=1 n n r1:2: t=600 n",
     "report1 report1 - load1:m1@2"},
    {"restarted_engine", "e1:m1 n r1:5:m1 e1::born w:m1=1 n r1:0: n",
     "report1 report1 load1:m1@0"},
    {"gone_engine", "e1: e2: n n r1:0: r2:0: g1 w:m1=1 n",
     "report2 report1 load2:m1@0"},
    {"unknown_holdings_bar_loads", "e1: n r1:0:other w:m1=1 n", "report1 -"},
    {"loads_of_the_former_holder_count",
     "e1: e2: e3: e4: e5: n n n n n r1:0::busy r2:0::busy r3:0::busy "
     "r4:0: r5:0: w:m1=1 w:m2=1 n a n",
     "report5 report2 report4 report1 report3 load5:m1@0 -"},
    {"new_holder_hears_demand_before_the_store",
     "e1: n r1:0: t=2000 begin n r1:0: w:m1=1 n t=2600 n",
     "report1 report1 - load1:m1@0"},
    {"store_loads_are_bounded",
     "e1: e2: e3: e4: e5: n n n n n r1:0: r2:0: r3:0: r4:0: r5:0: "
     "w:m1=1 w:m2=1 w:m3=1 w:m4=1 w:m5=1 n a n a n a n a n",
     "report5 report2 report4 report1 report3 load5:m1@0 load2:m2@0 "
     "load4:m3@0 load1:m4@0 -"},
    {"engine_with_a_copy_is_waited_for",
     "e1: e2: n n r1:0::disk=m1 r2:0: w:m1=1 n c n t=300 n r1:4::disk=m1 n",
     "report2 report1 load1:m1@0 - report1 load1:m1@4"},
    {"silent_engine_is_not_waited_for",
     "e1: e2: n n r1:0::disk=m1 r2:0: w:m1=1 n u n t=2000 n n",
     "report2 report1 load1:m1@0 - report1 load2:m1@0"},
    {"engine_without_a_report_is_not_waited_for",
     "e1: e2: n n r1:0::disk=m1 r2:0: begin n n f1 r2:0: w:m1=1 n t=2000 n n",
     "report2 report1 report2 report1 - report1 load2:m1@0"},
    {"load_on_a_silent_engine_is_ordered_again",
     "e1: e2: n n r1:0: r2:0: w:m1=1 n a t=7000 n f2 t=9000 n f2 w:m1=1 n",
     "report2 report1 load2:m1@0 report2 report2 load1:m1@0"},
    {"silent_engines_hold_no_places_at_the_store",
     "e1: e2: e3: e4: e5: n n n n n r1:0::busy r2:0::busy r3:0::busy "
     "r4:0::busy r5:0: t=200 n n n n f1 f2 f3 f4 t=2000 n n n n f1 f2 f3 f4 "
     "w:m1=1 n",
     "report5 report2 report4 report1 report3 report2 report4 report1 report3 "
     "report2 report4 report1 report3 load5:m1@0"},
    {"copy_beats_a_load_under_way",
     "e1: e2: n n r1:0: r2:0: w:m1=1 n a r1:0::disk=m1 n n",
     "report2 report1 load2:m1@0 load1:m1@0 -"},
    {"engine_with_a_copy_is_busy_for_long",
     "e1: n r1:0::disk=m1 w:m2=1 n a w:m2=0 e2: n r2:0: w:m1=1 n",
     "report1 load1:m2@0 report2 load2:m1@0"},
    {"slowed_loads_are_fewer",
     "e1: e2: e3: e4: e5: n n n n n r1:0: r2:0: r3:0: r4:0: r5:0: "
     "w:m1=1 w:m2=1 w:m3=1 w:m4=1 n a n a n a n a "
     "t=12100 n n n n r5:1:m1 r2:1:m2 r4:1:m3 r1:1:m4 "
     "w:m1=0 w:m2=0 w:m3=0 w:m4=0 w:m5=1 w:m6=1 w:m7=1 n a n a n",
     "report5 report2 report4 report1 report3 load5:m1@0 load2:m2@0 "
     "load4:m3@0 load1:m4@0 report5 report2 report4 report1 "
     "load5:m5@1 load2:m6@1 -"},
    {"note_of_a_silent_instance_is_forgotten", "e1: n r1:0: w:m1=1 t=6000 n",
     "report1 -"},
    {"most_wanted_first", "e1: n r1:0: w:m1=1 w:m2=5 n", "report1 load1:m2@0"},
    {"crowded_model_gets_a_replica",
     "e1:m1 e2: n n r1:0:m1 r2:0: w:m1:run=9 n", "report2 report1 load2:m1@0"},
};

struct plan_bench {
    struct plan plan;
    struct plan_step last;
    struct item_activity items[16];
    int item_count;
    GString *steps;
    int64_t now_ms;
};

static struct gate_config *
seven_models(void)
{
    GString *text = g_string_new(
        "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
        "\"engine\":{\"slots\":10,\"weights_mb\":130,\"adapter_slots\":2,"
        "\"loads_per_s\":20,\"models\":[");
    struct err err = {0};
    struct gate_config *config;

    for (int i = 1; i <= 7; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"m%d\",\"weights_mb\":60,\"load_s\":6,"
            "\"warm_s\":0.4,\"disk_s\":0.8,\"adapters\":3,\"adapter_mb\":1}",
            i > 1 ? "," : "", i);
    }
    g_string_append(text, "]}}]}");
    config = platform_config(text->str, text->len, &err);
    g_assert_nonnull(config);
    g_string_free(text, TRUE);
    return config;
}

static void
read_names(const char *text, struct target_items *items, bool *strange)
{
    char **names = g_strsplit(text, ",", -1);

    for (int i = 0; names[i] != NULL; i++) {
        uint32_t item = g_quark_try_string(names[i]);

        if (names[i][0] != '\0' && item == 0) {
            *strange = true;
        }
        else if (item != 0) {
            items_add(items, item);
        }
    }
    g_strfreev(names);
}

static void
fill_info(struct target_info *info, char number)
{
    memset(info, 0, sizeof(*info));
    g_snprintf(info->id, sizeof(info->id), "i-%c", number);
    g_strlcpy(info->service, "s", sizeof(info->service));
    g_strlcpy(info->address, "a", sizeof(info->address));
    info->slots = 10;
    info->sequence = -1;
    info->born_ms = 1;
}

static void
put_entry(struct plan_bench *bench, char number, char **parts)
{
    struct target_change change = {.kind = TARGET_CHANGED};

    fill_info(&change.info, number);
    read_names(parts[1], &change.info.held, &change.info.strange);
    if (parts[2] != NULL) {
        change.info.born_ms = 2;
    }
    plan_change(&bench->plan, &change, bench->now_ms);
}

static void
put_report(struct plan_bench *bench, char number, char **parts)
{
    struct plan_engine *engine;
    struct work work = {.reported = true};

    fill_info(&work.info, number);
    engine = g_hash_table_lookup(bench->plan.engines, work.info.id);
    work.step.report = true;
    work.step.born_ms = engine->info.born_ms;
    g_strlcpy(work.step.target, work.info.id, sizeof(work.step.target));
    work.info.sequence = g_ascii_strtoll(parts[1], NULL, 10);
    read_names(parts[2], &work.info.held, &work.info.strange);
    if (parts[3] != NULL && strcmp(parts[3], "busy") == 0) {
        work.info.busy = true;
    }
    if (parts[3] != NULL && g_str_has_prefix(parts[3], "disk=")) {
        read_names(parts[3] + 5, &work.info.on_disk, &work.info.strange);
    }
    g_free(plan_done(&bench->plan, &work, bench->now_ms));
}

static void
fail_report(struct plan_bench *bench, char number)
{
    struct work work = {.reported = false};

    fill_info(&work.info, number);
    work.step.report = true;
    work.step.born_ms = work.info.born_ms;
    g_strlcpy(work.step.target, work.info.id, sizeof(work.step.target));
    g_free(plan_done(&bench->plan, &work, bench->now_ms));
}

static struct item_activity *
activity_of(struct plan_bench *bench, const char *name)
{
    uint32_t item = g_quark_from_string(name);

    for (int i = 0; i < bench->item_count; i++) {
        if (bench->items[i].item == item) {
            return &bench->items[i];
        }
    }
    bench->items[bench->item_count].item = item;
    return &bench->items[bench->item_count++];
}

static void
put_activity(struct plan_bench *bench, const char *word)
{
    char **sides = g_strsplit(word, "=", 2);
    char **names = g_strsplit(sides[0], ":", -1);
    struct item_activity *item = activity_of(bench, names[1]);
    struct activity_report *activity = activity_report_new(1);
    int number = atoi(sides[1]);

    if (names[2] != NULL) {
        item->running = number;
        item->waiting = 0;
    }
    else {
        item->waiting = number;
    }
    activity->items = g_memdup2(bench->items, sizeof(bench->items[0]) *
                                                  (size_t)bench->item_count);
    activity->item_count = bench->item_count;
    plan_activity(&bench->plan, activity, bench->now_ms);
    g_strfreev(names);
    g_strfreev(sides);
}

static void
take_step(struct plan_bench *bench)
{
    struct plan_step *step = &bench->last;

    if (bench->steps->len > 0) {
        g_string_append_c(bench->steps, ' ');
    }
    /* Guesses about what may be asked for are not under test. */
    if (!plan_next(&bench->plan, bench->now_ms, step) ||
        (!step->report && strcmp(step->reason, "preload") == 0)) {
        g_string_append_c(bench->steps, '-');
        return;
    }
    plan_sent(&bench->plan, step);
    if (step->report) {
        g_string_append_printf(bench->steps, "report%c", step->target[2]);
        return;
    }
    g_string_append_printf(bench->steps, "%s%c:%s@%d",
                           step->action == ORDER_LOAD ? "load" : "unload",
                           step->target[2], g_quark_to_string(step->item),
                           (int)step->sequence);
}

static void
end_order(struct plan_bench *bench, char letter)
{
    struct work work = {.step = bench->last, .sent = letter != 'x'};

    switch (letter) {
    case 'a':
        work.result = ORDER_ACCEPTED;
        break;
    case 'h':
        work.result = ORDER_HOLDS;
        break;
    case 'c':
        work.result = ORDER_CONFLICT;
        break;
    default:
        work.result = ORDER_UNKNOWN;
        break;
    }
    g_free(plan_done(&bench->plan, &work, bench->now_ms));
}

static void
remove_engine(struct plan_bench *bench, char number)
{
    struct target_change change = {.kind = TARGET_GONE};

    fill_info(&change.info, number);
    plan_change(&bench->plan, &change, bench->now_ms);
}

static void
play_word(struct plan_bench *bench, const char *word)
{
    char **parts = g_strsplit(word, ":", -1);

    if (g_str_has_prefix(word, "t=")) {
        bench->now_ms = g_ascii_strtoll(word + 2, NULL, 10);
    }
    else if (strcmp(word, "begin") == 0) {
        plan_begin(&bench->plan, bench->now_ms);
    }
    else if (word[0] == 'e') {
        put_entry(bench, word[1], parts);
    }
    else if (word[0] == 'r') {
        put_report(bench, word[1], parts);
    }
    else if (word[0] == 'f') {
        fail_report(bench, word[1]);
    }
    else if (word[0] == 'w') {
        put_activity(bench, word);
    }
    else if (word[0] == 'g') {
        remove_engine(bench, word[1]);
    }
    else if (word[0] == 'n') {
        take_step(bench);
    }
    else {
        end_order(bench, word[0]);
    }
    g_strfreev(parts);
}

static void
test_plan(gconstpointer data)
{
    const struct plan_case *c = data;
    struct plan_bench bench = {.now_ms = 1};
    char **words = g_strsplit(c->script, " ", -1);

    plan_init(&bench.plan);
    plan_config(&bench.plan, seven_models());
    bench.steps = g_string_new(NULL);
    for (int i = 0; words[i] != NULL; i++) {
        play_word(&bench, words[i]);
    }
    g_assert_cmpstr(bench.steps->str, ==, c->steps);
    g_strfreev(words);
    g_string_free(bench.steps, TRUE);
    plan_clear(&bench.plan);
}

/* Guards against requests that are held for a model that isn't coming, or
 * refused while it is. */
struct outlook_case {
    const char *name;
    const char *script;
    const char *item;
    bool told;
    bool coming;
    int64_t at_most_ms;
};

static const struct outlook_case outlook_cases[] = {
    {"nobody_waits", "e1: n r1:0:", "m1", false, false, 0},
    {"not_coming", "e1: n r1:0: w:m1=1", "m1", true, false, 0},
    {"loading", "e1: n r1:0: w:m1=1 n a", "m1", true, true, 6500},
    {"half_loaded", "e1: n r1:0: w:m1=1 n a t=3000", "m1", true, true, 3500},
    {"on_disk", "e1: n r1:0::disk=m1 w:m1=1", "m1", true, true, 2500},
    {"on_the_disk_of_a_silent_engine",
     "e1: n r1:0::disk=m1 w:m1=1 n u n t=2000", "m1", true, false, 0},
    {"held", "e1:m1 n r1:0:m1 w:m1=1", "m1", true, true, 0},
    {"adapter_of_held", "e1:m1 n r1:0:m1 w:m1/a1=1", "m1/a1", true, true,
     1000},
};

static void
test_outlook(gconstpointer data)
{
    const struct outlook_case *c = data;
    struct plan_bench bench = {.now_ms = 1};
    char **words = g_strsplit(c->script, " ", -1);
    struct load_forecast *outlook;

    plan_init(&bench.plan);
    plan_config(&bench.plan, seven_models());
    bench.steps = g_string_new(NULL);
    for (int i = 0; words[i] != NULL; i++) {
        play_word(&bench, words[i]);
    }
    outlook = plan_outlook(&bench.plan, bench.now_ms);
    g_assert_cmpint(outlook != NULL, ==, c->told);
    if (outlook != NULL) {
        g_assert_cmpint(outlook->count, ==, 1);
        g_assert_cmpint(outlook->items[0].item, ==,
                        g_quark_try_string(c->item));
        g_assert_cmpint(outlook->items[0].coming, ==, c->coming);
        g_assert_cmpint(outlook->items[0].ready_ms, <=, c->at_most_ms);
    }
    load_forecast_free(outlook);
    g_strfreev(words);
    g_string_free(bench.steps, TRUE);
    plan_clear(&bench.plan);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/plan/step", plan_cases, test_plan),
        CASES("/plan/outlook", outlook_cases, test_outlook),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
