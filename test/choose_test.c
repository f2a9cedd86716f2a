/* Tests of what the gate decides about a request: where, again, or not. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "cases.h"

/* Guards against a caller that is told "not run" of a request that may have
 * run, and against a success without the target's signature. */
struct verdict_case {
    const char *name;
    struct verdict_facts facts;
    enum verdict verdict;
};

static const struct verdict_case verdict_cases[] = {
    {"success", {200, false, true, false}, VERDICT_PASS},
    {"unsigned_once", {200, false, false, false}, VERDICT_FAILED},
    {"unsigned_repeatable", {200, false, false, true}, VERDICT_AGAIN},
    {"proven_not_run", {503, true, false, false}, VERDICT_NOT_RUN},
    {"misdirected", {421, false, false, false}, VERDICT_NOT_RUN},
    {"claimed_busy_once", {503, false, true, false}, VERDICT_FAILED},
    {"claimed_too_many_once", {429, false, true, false}, VERDICT_FAILED},
    {"claimed_timeout_once", {408, false, true, false}, VERDICT_FAILED},
    {"error_once", {500, false, true, false}, VERDICT_PASS},
    {"error_repeatable", {500, false, true, true}, VERDICT_AGAIN},
    {"deadline_once", {504, false, true, false}, VERDICT_PASS},
    {"caller_fault", {400, false, true, true}, VERDICT_PASS},
    {"redirect", {302, false, true, true}, VERDICT_PASS},
};

static void
test_verdict(gconstpointer data)
{
    const struct verdict_case *c = data;

    g_assert_cmpint(verdict_of(&c->facts), ==, c->verdict);
}

/* Guards against repeats of all instances together beyond what the deployment
 * allows in its window. */
struct budget_case {
    const char *name;
    int requests;
    int instances;
    int64_t request_ms;
    int allowed_at_most;
    int allowed_at_least;
};

static const struct budget_case budget_cases[] = {
    {"idle_alone", 0, 1, 0, 50, 30},
    {"idle_of_five", 0, 5, 0, 10, 6},
    {"busy_alone", 1000, 1, 0, 250, 150},
    {"old_requests_do_not_count", 1000, 1, -10001, 50, 30},
    {"unknown_instances", 0, 0, 0, 0, 0},
    {"unknown_instances_busy", 1000, 0, 0, 200, 120},
};

static void
test_budget(gconstpointer data)
{
    const struct budget_case *c = data;
    struct gate_limits limits = {
        .retry_ratio = 0.2, .retry_extra = 50, .retry_window_ms = 10000};
    struct repeat_budget budget = {0};
    int64_t now_ms = 1000000;
    int allowed = 0;

    for (int i = 0; i < c->requests; i++) {
        repeats_count_request(&budget, limits.retry_window_ms,
                              now_ms + c->request_ms);
    }
    while (allowed < 10000 &&
           repeats_take(&budget, &limits, c->instances, now_ms)) {
        allowed++;
    }
    g_assert_cmpint(allowed, <=, c->allowed_at_most);
    g_assert_cmpint(allowed, >=, c->allowed_at_least);
}

/* Guards against repeats that come again within a sliding window: whenever a
 * window is laid, it holds no more than allowed. */
static void
test_budget_slides(void)
{
    struct gate_limits limits = {
        .retry_ratio = 0.0, .retry_extra = 50, .retry_window_ms = 10000};
    struct repeat_budget budget = {0};
    GArray *taken = g_array_new(FALSE, FALSE, sizeof(int64_t));

    for (int64_t now_ms = 0; now_ms < 60000; now_ms += 37) {
        if (repeats_take(&budget, &limits, 1, now_ms)) {
            g_array_append_val(taken, now_ms);
        }
    }
    for (guint i = 0; i + 50 < taken->len; i++) {
        g_assert_cmpint(g_array_index(taken, int64_t, i + 50) -
                            g_array_index(taken, int64_t, i),
                        >=, 10000);
    }
    g_assert_cmpuint(taken->len, >, 100);
    g_array_free(taken, TRUE);
}

/*
 * Guards against an instance that takes the whole constant of the budget when
 * the store has lost the list of instances.
 *
 * Counts are known at 0 s and from then each second.
 */
struct sharers_case {
    const char *name;
    const char *counts; /* one digit a second */
    int most;           /* at the end */
};

static const struct sharers_case sharers_cases[] = {
    {"never_known", "", 0},      {"steady", "555", 5},
    {"list_lost", "5551111", 5}, {"list_lost_for_long", "5111111111111", 1},
    {"more_come", "1115", 5},
};

static void
test_sharers(gconstpointer data)
{
    const struct sharers_case *c = data;
    struct sharers sharers = {0};
    int64_t now_ms = 1000000;

    for (const char *count = c->counts; *count != '\0'; count++) {
        now_ms += 1000;
        sharers_count(&sharers, *count - '0', 10000, now_ms);
    }
    g_assert_cmpint(sharers_most(&sharers, 10000, now_ms), ==, c->most);
}

/* Guards against requests at targets that can't, or should not, serve them. */
struct pick_case {
    const char *name;
    bool leaving;
    const char *service;
    const char *held;
    const char *model;
    const char *adapter;
    bool tried;
    bool can;
};

static const struct pick_case pick_cases[] = {
    {"plain", false, "s", NULL, NULL, NULL, false, true},
    {"other_service", false, "t", NULL, NULL, NULL, false, false},
    {"leaving", true, "s", NULL, NULL, NULL, false, false},
    {"tried", false, "s", NULL, NULL, NULL, true, false},
    {"model", false, "s", "m", "m", NULL, false, true},
    {"model_missing", false, "s", NULL, "m", NULL, false, false},
    {"adapter_missing", false, "s", "m", "m", "m/a1", false, false},
};

static void
test_pick(gconstpointer data)
{
    const struct pick_case *c = data;
    struct choose_target target = {.info = {.slots = 4}};
    struct choose_need need = {.service = "s", .zone = "z"};

    g_strlcpy(target.info.id, "i-1", sizeof(target.info.id));
    g_strlcpy(target.info.service, c->service, sizeof(target.info.service));
    target.info.leaving = c->leaving;
    if (c->held != NULL) {
        items_add(&target.info.held, g_quark_from_string(c->held));
    }
    need.model = g_quark_from_string(c->model);
    need.adapter = g_quark_from_string(c->adapter);
    if (c->tried) {
        need.tried[need.tried_count++] = hash_text("i-1");
    }
    g_assert_cmpint(choose_can_serve(&target, &need), ==, c->can);
}

/* Guards against the worse of two targets. The first must be cheaper. */
struct cost_case {
    const char *name;
    struct choose_target better;
    struct choose_target worse;
};

static const struct cost_case cost_cases[] = {
    {"load", {.running = 1}, {.running = 3}},
    {"load_elsewhere", {.elsewhere = 1}, {.elsewhere = 3}},
    {"load_beats_zone", {.info = {.zone = "y"}}, {.running = 3}},
    {"failures", {.running = 8}, {.health = {.failures = 0.9}}},
    {"missing", {.running = 8}, {.missing = true}},
    {"unreachable", {.missing = true}, {.health = {.avoid_until_ms = 2}}},
    {"slow_streams",
     {.running = 2, .pace = {.pause_ms = 3000, .pauses = 100}},
     {.pace = {.pause_ms = 24000, .pauses = 100}}},
    {"load_beats_one_pause",
     {.pace = {.pause_ms = 240, .pauses = 1}},
     {.running = 2}},
};

static void
test_cost(gconstpointer data)
{
    const struct cost_case *c = data;
    struct choose_target better = c->better;
    struct choose_target worse = c->worse;
    struct choose_need need = {.service = "s", .zone = "z", .gap_ms = 300};

    better.info.slots = 8;
    worse.info.slots = 8;
    g_assert_cmpfloat(choose_cost(&better, &need, 1), <,
                      choose_cost(&worse, &need, 1));
}

/* Guards against a slow target that is never tried again. */
static void
test_pace(void)
{
    struct target_pace pace = {0};

    g_assert_cmpfloat(pace_ms(&pace, 1000), ==, 0.0);
    pace_learn(&pace, 95, 19000, 1000);
    g_assert_cmpfloat(pace_ms(&pace, 1000), >=, 180.0);
    g_assert_cmpfloat(pace_ms(&pace, 1000), <=, 200.0);
    g_assert_cmpfloat(pace_ms(&pace, 11000), <, 50.0);
}

/* Guards against a target that is given up for good, or tried all the time. */
static void
test_health(void)
{
    struct target_health health = {0};

    health_unreachable(&health, 1000);
    g_assert_cmpint(health.avoid_until_ms, ==, 1500);
    for (int i = 0; i < 20; i++) {
        health_unreachable(&health, 1000);
    }
    g_assert_cmpint(health.avoid_until_ms, ==, 5000);
    health_answered(&health);
    g_assert_cmpint(health.avoid_until_ms, ==, 0);
    for (int i = 0; i < 100; i++) {
        health_failed(&health);
    }
    g_assert_cmpfloat(health.failures, <=, 1.0);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/choose/verdict", verdict_cases, test_verdict),
        CASES("/choose/budget", budget_cases, test_budget),
        CASES("/choose/sharers", sharers_cases, test_sharers),
        CASES("/choose/pick", pick_cases, test_pick),
        CASES("/choose/cost", cost_cases, test_cost),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/choose/budget_slides", test_budget_slides);
    g_test_add_func("/choose/pace", test_pace);
    g_test_add_func("/choose/health", test_health);
    return g_test_run();
}
