/* Tests of target selection, retries and the classification of responses. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
#include "cases.h"

/* Guards against a status that is no response and counts as one, or as an
 * interim one behind which the response is then awaited. */
struct status_case {
    const char *name;
    int status;
    int interim_count;
    enum status_kind kind;
};

static const struct status_case status_cases[] = {
    {"negative", -1, 0, STATUS_NONE},
    {"zero", 0, 0, STATUS_NONE},
    {"below_interim", 99, 0, STATUS_NONE},
    {"continue", 100, 0, STATUS_INTERIM},
    {"switching", 101, 0, STATUS_NONE},
    {"early_hints", 103, 0, STATUS_INTERIM},
    {"last_interim", 199, 0, STATUS_INTERIM},
    {"interim_allowed", 103, 15, STATUS_INTERIM},
    {"interim_too_many", 103, 16, STATUS_NONE},
    {"final_after_interim", 200, 16, STATUS_FINAL},
    {"success", 200, 0, STATUS_FINAL},
    {"last", 599, 0, STATUS_FINAL},
    {"above", 600, 0, STATUS_NONE},
    {"three_digits", 999, 0, STATUS_NONE},
};

static void
test_status(gconstpointer data)
{
    const struct status_case *c = data;

    g_assert_cmpint(status_kind(c->status, c->interim_count), ==, c->kind);
}

/* Guards against a response that claims that a request has not run when it may
 * have, and against a success without the target's signature. */
struct verdict_case {
    const char *name;
    struct response_facts facts;
    enum verdict verdict;
};

static const struct verdict_case verdict_cases[] = {
    {"success", {200, false, true, false, false}, VERDICT_PASS},
    {"unsigned_once", {200, false, false, false, false}, VERDICT_FAILED},
    {"unsigned_repeatable", {200, false, false, true, false}, VERDICT_RETRY},
    {"proven_not_run", {503, true, false, false, false}, VERDICT_NOT_RUN},
    {"misdirected", {421, false, false, false, false}, VERDICT_NOT_RUN},
    {"unproven_busy_once", {503, false, true, false, false}, VERDICT_FAILED},
    {"unproven_too_many_once",
     {429, false, true, false, false},
     VERDICT_FAILED},
    {"unproven_timeout_once",
     {408, false, true, false, false},
     VERDICT_FAILED},
    {"error_once", {500, false, true, false, false}, VERDICT_PASS},
    {"error_repeatable", {500, false, true, true, false}, VERDICT_RETRY},
    {"deadline_once", {504, false, true, false, false}, VERDICT_PASS},
    {"caller_fault", {400, false, true, true, false}, VERDICT_PASS},
    {"redirect", {302, false, true, true, false}, VERDICT_PASS},
    {"encoded_once", {200, false, true, false, true}, VERDICT_FAILED},
    {"encoded_repeatable", {200, false, true, true, true}, VERDICT_RETRY},
    {"encoded_error_once", {500, false, true, false, true}, VERDICT_FAILED},
    {"encoded_caller_fault", {400, false, true, true, true}, VERDICT_FAILED},
    {"encoded_refusal", {503, true, true, false, true}, VERDICT_NOT_RUN},
    {"success_not_run_once", {200, true, true, false, false}, VERDICT_FAILED},
    {"success_not_run_repeatable",
     {200, true, true, true, false},
     VERDICT_RETRY},
};

static void
test_verdict(gconstpointer data)
{
    const struct verdict_case *c = data;

    g_assert_cmpint(response_verdict(&c->facts), ==, c->verdict);
}

/* Guards against a request that is taken from a silent target although it is
 * not certain that another one gets it. */
struct silence_case {
    const char *name;
    struct silence_facts facts;
    enum silence_choice choice;
};

#define CAN_MOVE                                                              \
    .may_run_again = true, .target_has_room = true, .budget_has_room = true

static const struct silence_case silence_cases[] = {
    {"can_move", {CAN_MOVE}, SILENCE_MOVE},
    {"begun_stream",
     {CAN_MOVE, .has_begun = true, .is_stream = true},
     SILENCE_MOVE},
    {"begun_body", {CAN_MOVE, .has_begun = true}, SILENCE_BEGUN},
    {"one_run",
     {.target_has_room = true, .budget_has_room = true},
     SILENCE_ONE_RUN},
    {"blamed", {CAN_MOVE, .is_blamed = true}, SILENCE_BLAMED},
    {"no_target",
     {.may_run_again = true, .budget_has_room = true},
     SILENCE_NO_TARGET},
    {"would_not_end",
     {CAN_MOVE, .would_not_end = true},
     SILENCE_WOULD_NOT_END},
    {"no_budget",
     {.may_run_again = true, .target_has_room = true},
     SILENCE_NO_BUDGET},
};

static void
test_silence(gconstpointer data)
{
    const struct silence_case *c = data;

    g_assert_cmpint(silence_choose(&c->facts), ==, c->choice);
}

/* Guards against a body that ends with its connection being passed on together
 * with the response behind it, and against refusing a text about HTTP. */
struct body_case {
    const char *name;
    const char *body;
    bool holds_response;
};

static const struct body_case body_cases[] = {
    {"empty", "", false},
    {"text", "all", false},
    {"id_alone", "request a-1 is done\r\n\r\n", false},
    {"other_response", "all HTTP/1.1 200 OK\r\nId: a-2\r\n\r\n", false},
    {"id_behind_head", "HTTP/1.1 200 OK\r\n\r\na-1", false},
    {"request", "GET /a HTTP/1.1\r\nId: a-1\r\n\r\n", false},
    {"second_response", "allHTTP/1.1 200 OK\r\nId: a-1\r\n\r\nall", true},
    {"cut_in_its_head", "allHTTP/1.1 200 OK\r\nId: a-1\r\n", true},
    {"behind_another", "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 200\r\nId: a-1\r\n\r\n",
     true},
};

/* Whether the body is found to hold a response, read in parts of which the
 * first has @first bytes and the others @next. */
static bool
scan_body(const char *body, size_t first, size_t next)
{
    struct body_scan scan = {0};
    size_t bytes = strlen(body);
    bool found = false;

    for (size_t at = 0; at < bytes && !found;) {
        size_t count = MIN(at == 0 ? first : next, bytes - at);

        found = body_scan_add(&scan, body + at, count, "a-1");
        at += count;
    }
    body_scan_clear(&scan);
    return found;
}

static void
test_body(gconstpointer data)
{
    const struct body_case *c = data;

    for (size_t first = 1; first <= MAX(strlen(c->body), 1); first++) {
        g_assert_cmpint(scan_body(c->body, first, SIZE_MAX), ==,
                        c->holds_response);
        g_assert_cmpint(scan_body(c->body, first, 1), ==, c->holds_response);
        g_assert_cmpint(scan_body(c->body, first, 7), ==, c->holds_response);
    }
}

/* Guards against memory for a body that passes, and against a response that is
 * missed behind many bytes. */
struct long_scan_case {
    const char *name;
    const char *unit; /* repeated */
    int repeats;
    const char *end;
    bool holds_response;
    size_t room_max;
};

static const struct long_scan_case long_scan_cases[] = {
    {"text", "0123456789abcdef", 1000000, "", false, 32},
    {"second_response", "0123456789abcdef", 1000000,
     "HTTP/1.1 200 OK\r\nId: a-1\r\n\r\n", true, 64},
    {"status_lines", "HTTP/1.1 200 OK\r\n\r\n", 100000, "", false, 64},
    {"head_without_end", "HTTP/1.1 200 OK\r\n", 20000, "", false, 82 * 1024},
    {"response_behind_heads", "HTTP/1.1 200 OK\r\n", 20000,
     "HTTP/1.1 200 OK\r\nId: a-1\r\n\r\n", true, 82 * 1024},
};

static void
test_long_scan(gconstpointer data)
{
    const struct long_scan_case *c = data;
    struct body_scan scan = {0};
    bool found = false;

    for (int i = 0; i < c->repeats && !found; i++) {
        found = body_scan_add(&scan, c->unit, strlen(c->unit), "a-1");
    }
    g_assert_false(found);
    if (c->end[0] != '\0') {
        found = body_scan_add(&scan, c->end, strlen(c->end), "a-1");
    }
    g_assert_cmpint(found, ==, c->holds_response);
    g_assert_cmpuint(scan.room, <=, c->room_max);
    body_scan_clear(&scan);
}

/* Guards against instances whose retries together exceed the deployment's
 * limit for a window. */
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
    {"idle_five_instances", 0, 5, 0, 10, 6},
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
        .retry_ratio = 0.2, .retry_allowance = 50, .retry_window_ms = 10000};
    struct retry_budget budget = {0};
    int64_t now_ms = 1000000;
    int allowed = 0;

    for (int i = 0; i < c->requests; i++) {
        retry_budget_count_request(&budget, limits.retry_window_ms,
                                   now_ms + c->request_ms);
    }
    while (allowed < 10000 &&
           retry_budget_take(&budget, &limits, c->instances, now_ms)) {
        allowed++;
    }
    g_assert_cmpint(allowed, <=, c->allowed_at_most);
    g_assert_cmpint(allowed, >=, c->allowed_at_least);
}

/* Guards against a budget that is refilled within a window: no window,
 * wherever it starts, may hold more retries than allowed. */
static void
test_budget_window(void)
{
    struct gate_limits limits = {
        .retry_ratio = 0.0, .retry_allowance = 50, .retry_window_ms = 10000};
    struct retry_budget budget = {0};
    GArray *taken = g_array_new(FALSE, FALSE, sizeof(int64_t));

    for (int64_t now_ms = 0; now_ms < 60000; now_ms += 37) {
        if (retry_budget_take(&budget, &limits, 1, now_ms)) {
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
 * Guards against an instance that uses the whole retry allowance because the
 * store has lost the member list.
 *
 * The number of instances is recorded once a second.
 */
struct instance_counts_case {
    const char *name;
    const char *counts; /* one digit per second */
    int max;            /* at the end */
};

static const struct instance_counts_case instance_counts_cases[] = {
    {"never_recorded", "", 0},
    {"steady", "555", 5},
    {"list_lost", "5551111", 5},
    {"list_lost_beyond_window", "5111111111111", 1},
    {"more_instances", "1115", 5},
};

static void
test_instance_counts(gconstpointer data)
{
    const struct instance_counts_case *c = data;
    struct instance_counts counts = {0};
    int64_t now_ms = 1000000;

    for (const char *count = c->counts; *count != '\0'; count++) {
        now_ms += 1000;
        instance_counts_record(&counts, *count - '0', 10000, now_ms);
    }
    g_assert_cmpint(instance_counts_max(&counts, 10000, now_ms), ==, c->max);
}

/* Guards against a notice of a target that leaves which an older entry ends,
 * and against one that keeps a new start of a target out for ever. Steps are
 * entries: a letter for the id, the start, and @ for the address of target a,
 * else # for another. */
struct leaving_case {
    const char *name;
    int64_t started_ms; /* of target a */
    const char *entries;
    const char *ends; /* . holds, r restarted, x replaced */
};

static const struct leaving_case leaving_cases[] = {
    {"listed_still", 5, "a5@a5@", ".."},
    {"listed_as_before_its_start", 5, "a4@", "."},
    {"new_start", 5, "a6@", "r"},
    {"new_start_elsewhere", 5, "a6#", "r"},
    {"replaced", 5, "b6@", "x"},
    {"replaced_by_an_older_one", 5, "b4@b5@", ".."},
    {"other_target_elsewhere", 5, "b6#", "."},
    {"unknown_start", TARGET_START_UNKNOWN, "b6@a5@a5@a6@", "...r"},
};

static void
test_leaving(gconstpointer data)
{
    const struct leaving_case *c = data;
    struct leaving_notice notice = {
        .target = {.id = "a", .address = "here"},
        .learnt_ms = 1,
    };

    notice.target.started_ms = c->started_ms;
    for (int i = 0; c->ends[i] != '\0'; i++) {
        const char *entry = c->entries + 3 * i;
        struct target_info info = {
            .id = {entry[0]},
            .started_ms = entry[1] - '0',
        };

        g_strlcpy(info.address, entry[2] == '@' ? "here" : "there",
                  sizeof(info.address));
        g_assert_cmpint(".rx"[leaving_apply_entry(&notice, &info)], ==,
                        c->ends[i]);
    }
}

/* Guards against requests in a target's pause, against all that waited going
 * there at its end, and against a target that never gets as many again. */
struct pause_case {
    const char *name;
    int64_t since_ms;
    int64_t until_ms;
    int kept;
    int slots;
    int running;
    int64_t now_ms;
    bool admits;
    int64_t next_ms; /* 0 when the pause is over */
};

static const struct pause_case pause_cases[] = {
    {"never", 0, 0, 0, 4, 9, 10, true, 0},
    {"begins", 10, 1010, 0, 4, 0, 10, false, 1010},
    {"last_moment", 10, 1010, 0, 4, 0, 1009, false, 1010},
    {"first_returns", 10, 1010, 0, 4, 0, 1010, true, 1260},
    {"second_waits", 10, 1010, 0, 4, 1, 1259, false, 1260},
    {"second_returns", 10, 1010, 0, 4, 1, 1260, true, 1510},
    {"one_slot", 10, 1010, 0, 1, 1, 2009, false, 2010},
    {"no_slots_known", 10, 1010, 0, 0, 0, 1010, true, 2010},
    {"many_slots", 10, 1010, 0, 5000, 600, 1500, false, 1501},
    {"over", 10, 1010, 0, 4, 9, 2010, true, 0},
    {"beside_those_that_run", 10, 1010, 6, 4, 6, 1010, true, 1260},
    {"second_beside_those_that_run", 10, 1010, 6, 4, 7, 1259, false, 1260},
};

static void
test_pause(gconstpointer data)
{
    const struct pause_case *c = data;
    struct target_record target = {
        .info = {.slots = c->slots},
        .running = c->running,
        .pause = {.since_ms = c->since_ms,
                  .until_ms = c->until_ms,
                  .kept = c->kept},
    };

    g_assert_cmpint(pause_admits(&target, c->now_ms), ==, c->admits);
    g_assert_cmpint(pause_is_over(&target.pause, c->now_ms), ==,
                    c->next_ms == 0);
    if (c->next_ms != 0) {
        g_assert_cmpint(pause_next_ms(&target, c->now_ms), ==, c->next_ms);
    }
}

/* Guards against requests that are sent to a target that can't serve them. */
struct serve_case {
    const char *name;
    bool draining;
    int64_t leaving_ms;
    const char *service;
    const char *held;
    const char *model;
    const char *adapter;
    bool tried;
    bool can_serve;
};

static const struct serve_case serve_cases[] = {
    {"plain", false, 0, "s", NULL, NULL, NULL, false, true},
    {"other_service", false, 0, "t", NULL, NULL, NULL, false, false},
    {"draining", true, 0, "s", NULL, NULL, NULL, false, false},
    {"said_that_it_leaves", false, 1, "s", NULL, NULL, NULL, false, false},
    {"tried", false, 0, "s", NULL, NULL, NULL, true, false},
    {"model", false, 0, "s", "m", "m", NULL, false, true},
    {"model_missing", false, 0, "s", NULL, "m", NULL, false, false},
    {"adapter_missing", false, 0, "s", "m", "m", "m/a1", false, false},
};

static void
test_serve(gconstpointer data)
{
    const struct serve_case *c = data;
    struct target_record target = {.info = {.slots = 4}};
    struct request_needs needs = {.service = "s", .zone = "z"};

    g_strlcpy(target.info.id, "i-1", sizeof(target.info.id));
    g_strlcpy(target.info.service, c->service, sizeof(target.info.service));
    target.info.draining = c->draining;
    target.leaving_ms = c->leaving_ms;
    if (c->held != NULL) {
        item_set_add(&target.info.held, g_quark_from_string(c->held));
    }
    needs.model = g_quark_from_string(c->model);
    needs.adapter = g_quark_from_string(c->adapter);
    if (c->tried) {
        needs.tried[needs.tried_count++] = hash_text("i-1");
    }
    g_assert_cmpint(target_can_serve(&target, &needs), ==, c->can_serve);
}

/* Guards against a choice of the worse of two targets: the better one must
 * have the lower cost. */
struct cost_case {
    const char *name;
    struct target_record better;
    struct target_record worse;
};

static const struct cost_case cost_cases[] = {
    {"load", {.running = 1}, {.running = 3}},
    {"load_elsewhere", {.running_elsewhere = 1}, {.running_elsewhere = 3}},
    {"load_beats_zone", {.info = {.zone = "y"}}, {.running = 3}},
    {"failures", {.running = 8}, {.health = {.failure_rate = 0.9}}},
    {"missing", {.running = 8}, {.missing = true}},
    {"unreachable", {.missing = true}, {.health = {.backoff_until_ms = 2}}},
    {"slow_streams",
     {.running = 2, .intervals = {.total_ms = 3000, .count = 100}},
     {.intervals = {.total_ms = 24000, .count = 100}}},
    {"load_beats_one_pause",
     {.intervals = {.total_ms = 240, .count = 1}},
     {.running = 2}},
};

static void
test_cost(gconstpointer data)
{
    const struct cost_case *c = data;
    struct target_record better = c->better;
    struct target_record worse = c->worse;
    struct request_needs needs = {
        .service = "s", .zone = "z", .interval_goal_ms = 300};

    better.info.slots = 8;
    worse.info.slots = 8;
    g_assert_cmpfloat(target_cost(&better, &needs, 1), <,
                      target_cost(&worse, &needs, 1));
}

/* Guards against a long answer at an engine where it can't end in time, and
 * against short ones that leave the fast engines to no one. All answers use
 * their longest output of 40 events; engines have 8 slots. */
struct late_case {
    const char *name;
    double events_max;
    int64_t left_ms;
    int slow_running;
    int fast_running;
    bool takes_fast;
};

static const struct late_case late_cases[] = {
    {"long_answer_goes_to_the_fast_one", 40, 3000, 2, 6, true},
    {"long_answer_with_much_time_goes_to_the_idle_one", 40, 20000, 0, 6,
     false},
    {"short_answer_goes_to_the_idle_one", 4, 3000, 0, 6, false},
    {"short_answer_keeps_the_fast_one", 4, 3000, 4, 4, true},
    {"late_everywhere", 400, 3000, 0, 6, false},
    {"unknown_length", 0, 3000, 0, 6, false},
};

static void
test_late(gconstpointer data)
{
    const struct late_case *c = data;
    struct target_record slow = {.info = {.id = "slow", .zone = "z"}};
    struct target_record fast = {.info = {.id = "fast", .zone = "z"}};
    struct request_needs needs = {
        .service = "s",
        .zone = "z",
        .interval_goal_ms = 300,
        .finish = {.deadline_ms = 1 + c->left_ms,
                   .events_max = c->events_max,
                   .first_ms = 400,
                   .interval_ms = 80,
                   .longer = {1, 1, 1, 1, 1, 1, 1, 0}},
    };

    slow.info.slots = 8;
    slow.running = c->slow_running;
    event_intervals_add(&slow.intervals, 100, 12000, 1);
    fast.info.slots = 8;
    fast.running = c->fast_running;
    event_intervals_add(&fast.intervals, 100, 4000, 1);
    g_assert_cmpint(target_cost(&fast, &needs, 1) <
                        target_cost(&slow, &needs, 1),
                    ==, c->takes_fast);
}

/* Guards against streams that wait in a target in an order which knows neither
 * goals nor what else waits, and against slots that stay free. */
struct capacity_case {
    const char *name;
    int slots;
    int64_t interval_goal_ms;
    double events_done;
    int places;
};

static const struct capacity_case capacity_cases[] = {
    {"plain", 6, 0, 0, 9},
    {"streams", 32, 300, 0, 34},
    {"streams_with_few_slots", 8, 300, 0, 9},
    {"stream_that_goes_on", 32, 300, 7, 48},
    {"unknown_slots", 0, 300, 0, 2},
};

static void
test_capacity(gconstpointer data)
{
    const struct capacity_case *c = data;
    struct target_record target = {.info = {.slots = c->slots}};
    struct request_needs needs = {
        .interval_goal_ms = c->interval_goal_ms,
        .finish = {.events_done = c->events_done},
    };

    while (target_has_capacity(&target, &needs)) {
        target.running++;
    }
    g_assert_cmpint(target.running, ==, c->places);
}

/* Guards against an idle slow engine that is taken for a fast one, and against
 * one that is slow for ever. */
static void
test_expected_interval(void)
{
    struct event_intervals intervals = {0};

    g_assert_cmpfloat(event_intervals_expected_ms(&intervals, 1000), ==, 0.0);
    event_intervals_add(&intervals, 100, 12000, 1000);
    g_assert_cmpfloat(event_intervals_expected_ms(&intervals, 1000), ==,
                      120.0);
    g_assert_cmpfloat(event_intervals_expected_ms(&intervals, 11000), >,
                      100.0);
    g_assert_cmpfloat(event_intervals_expected_ms(&intervals, 121000), <,
                      10.0);
}

/* Guards against a slow target that is never used again. */
static void
test_intervals(void)
{
    struct event_intervals intervals = {0};

    g_assert_cmpfloat(event_intervals_mean_ms(&intervals, 1000), ==, 0.0);
    event_intervals_add(&intervals, 95, 19000, 1000);
    g_assert_cmpfloat(event_intervals_mean_ms(&intervals, 1000), >=, 180.0);
    g_assert_cmpfloat(event_intervals_mean_ms(&intervals, 1000), <=, 200.0);
    g_assert_cmpfloat(event_intervals_mean_ms(&intervals, 11000), <, 50.0);
}

/* Guards against an unreachable target that is never tried again, or that is
 * tried without a delay. */
static void
test_health(void)
{
    struct target_health health = {0};

    health_connect_failed(&health, 1000);
    g_assert_cmpint(health.backoff_until_ms, ==, 1500);
    for (int i = 0; i < 20; i++) {
        health_connect_failed(&health, 1000);
    }
    g_assert_cmpint(health.backoff_until_ms, ==, 5000);
    health_request_succeeded(&health);
    g_assert_cmpint(health.backoff_until_ms, ==, 0);
    for (int i = 0; i < 100; i++) {
        health_request_failed(&health);
    }
    g_assert_cmpfloat(health.failure_rate, <=, 1.0);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/choose/status", status_cases, test_status),
        CASES("/choose/verdict", verdict_cases, test_verdict),
        CASES("/choose/silence", silence_cases, test_silence),
        CASES("/choose/body", body_cases, test_body),
        CASES("/choose/long_scan", long_scan_cases, test_long_scan),
        CASES("/choose/budget", budget_cases, test_budget),
        CASES("/choose/instance_counts", instance_counts_cases,
              test_instance_counts),
        CASES("/choose/leaving", leaving_cases, test_leaving),
        CASES("/choose/pause", pause_cases, test_pause),
        CASES("/choose/can_serve", serve_cases, test_serve),
        CASES("/choose/cost", cost_cases, test_cost),
        CASES("/choose/late", late_cases, test_late),
        CASES("/choose/capacity", capacity_cases, test_capacity),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/choose/budget_window", test_budget_window);
    g_test_add_func("/choose/event_intervals", test_intervals);
    g_test_add_func("/choose/expected_interval", test_expected_interval);
    g_test_add_func("/choose/health", test_health);
    return g_test_run();
}
