/*
 * Compares placement policies over simulated days in virtual time. Engines,
 * evictions, load permits and leaf actions are chosen by the production
 * functions. Prints one line for each deployment, fault and policy.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

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
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"
#include "bench/policy/dat.h"
#include "bench/policy/fns.h"

enum {
    SEED = 20261204,
    DAYS = 3,
    HOUR_MS = 3600 * 1000,
    MINUTE_MS = 60 * 1000,
    /* Time step while leaves load or unload, or calls wait. */
    STEP_MS = 50,
    SWEEP_INTERVAL_MS = 10000,
    /* From the start of the burst to the loss of engines, which observers
       take about two seconds to detect. */
    FAULT_DELAY_MS = 7000,
    STORE_SLOWDOWN = 4,
    LONG_WAIT_MS = 2000,
};

static const struct scenario scenarios[] = {
    {
        .name = "vellayani",
        .data_centres = 4,
        .adapters = 100,
        .replicas_max = 2,
        .hot_replicas_min = 2,
        .hot_burst_calls = 200,
        .idle_unload_s = 1800,
        .wait_max_ms = 20000,
        .store_loads_per_s = 7,
        .burst_start_ms = 4 * HOUR_MS + 30 * MINUTE_MS,
        .burst_models = 70,
        .burst_calls_per_model = 10,
        .burst_spread_ms = 10000,
        .day_end_ms = 18 * HOUR_MS,
        .job_priority = 3,
        .job_wait_max_ms = 120000,
        .job_start_ms = 4 * HOUR_MS + 10 * MINUTE_MS,
        .job_count = 40,
    },
    {
        .name = "cascadura",
        .data_centres = 3,
        .adapters = 90,
        .replicas_max = 1,
        .idle_unload_s = 300,
        .wait_max_ms = 30000,
        .store_loads_per_s = 6,
        .burst_start_ms = 6 * HOUR_MS,
        .burst_models = 30,
        .burst_calls_per_model = 6,
        .burst_spread_ms = 30000,
        .day_end_ms = 18 * HOUR_MS,
        .job_priority = 2,
        .job_wait_max_ms = 600000,
        .job_start_ms = 20 * HOUR_MS,
        .job_count = 100,
        .batch_models = 40,
    },
};

static const char *const fault_names[] = {"none", "engine-lost", "store-slow",
                                          "dc-lost"};

static bool
is_long_job(const struct sim *sim, const struct call *call)
{
    const struct sim_leaf *leaf = &sim->leaves[call->leaf];

    return leaf->node.settings.wait_max_ms > sim->scenario->wait_max_ms;
}

static void
add_running(struct sim *sim, int leaf_index, int change)
{
    for (int i = leaf_index; i >= 0; i = sim->leaves[i].base_model) {
        struct sim_leaf *leaf = &sim->leaves[i];

        sim->idle_mb -= leaf_idle_mb(leaf);
        leaf->running += change;
        leaf->leaf.last_used_ms = sim->now_ms;
        sim->idle_mb += leaf_idle_mb(leaf);
    }
}

static void
start_call(struct sim *sim, struct call call, int replica)
{
    double waited = (double)(sim->now_ms - call.at_ms);

    call.engine = sim->leaves[call.leaf].replicas[replica].engine;
    call.end_ms = sim->now_ms + call.run_ms;
    sim->views[call.engine].report.running++;
    add_running(sim, call.leaf, 1);
    if (call.cold) {
        g_array_append_val(sim->cold_waits_ms[is_long_job(sim, &call)],
                           waited);
    }
    g_array_append_val(sim->running_calls, call);
}

static void
end_call(struct sim *sim, guint index)
{
    const struct call *call =
        &g_array_index(sim->running_calls, struct call, index);

    sim->views[call->engine].report.running--;
    add_running(sim, call->leaf, -1);
    g_array_remove_index_fast(sim->running_calls, index);
}

static void
end_calls(struct sim *sim)
{
    for (guint i = sim->running_calls->len; i-- > 0;) {
        if (g_array_index(sim->running_calls, struct call, i).end_ms <=
            sim->now_ms) {
            end_call(sim, i);
        }
    }
}

static void
queue_call(struct sim *sim, struct call call)
{
    call.cold = true;
    sim->leaves[call.leaf].waiting++;
    g_array_append_val(sim->waiting_calls, call);
}

static void
serve_waiting(struct sim *sim)
{
    for (guint i = 0; i < sim->waiting_calls->len;) {
        struct call call = g_array_index(sim->waiting_calls, struct call, i);
        double waited = (double)(sim->now_ms - call.at_ms);
        struct sim_leaf *leaf = &sim->leaves[call.leaf];
        int replica = replica_find_ready(sim, call.leaf);

        if (replica < 0 && waited < (double)leaf->node.settings.wait_max_ms) {
            i++;
            continue;
        }
        leaf->waiting--;
        if (replica >= 0) {
            start_call(sim, call, replica);
        }
        else {
            sim->refused_calls[is_long_job(sim, &call)]++;
            g_array_append_val(sim->cold_waits_ms[is_long_job(sim, &call)],
                               waited);
        }
        g_array_remove_index(sim->waiting_calls, i);
    }
}

static void
lose_engine(struct sim *sim, int engine)
{
    sim->views[engine].report.state = TARGET_GONE;
    for (guint i = sim->running_calls->len; i-- > 0;) {
        struct call call = g_array_index(sim->running_calls, struct call, i);

        if (call.engine == engine) {
            end_call(sim, i);
            call.at_ms = sim->now_ms;
            queue_call(sim, call);
        }
    }
    for (int leaf = 0; leaf < sim->leaf_count; leaf++) {
        for (int i = sim->leaves[leaf].replica_count - 1; i >= 0; i--) {
            if (sim->leaves[leaf].replicas[i].engine == engine) {
                replica_remove(sim, leaf, i);
            }
        }
    }
}

/* Loses the group with the most loaded leaves, which is the worst case. */
static void
lose_most_loaded_group(struct sim *sim, int groups)
{
    int loaded[ENGINES] = {0};
    int worst = 0;

    for (int i = 0; i < ENGINES; i++) {
        loaded[i % groups] += sim->views[i].report.loaded_count;
    }
    for (int i = 1; i < groups; i++) {
        worst = loaded[i] > loaded[worst] ? i : worst;
    }
    for (int i = worst; i < ENGINES; i += groups) {
        lose_engine(sim, i);
    }
}

static void
inject_fault(struct sim *sim)
{
    if (sim->fault == FAULT_ENGINE) {
        lose_most_loaded_group(sim, ENGINES);
    }
    if (sim->fault == FAULT_DATA_CENTRE) {
        lose_most_loaded_group(sim, sim->scenario->data_centres);
    }
}

static void
decide_leaves(struct sim *sim, bool all)
{
    struct load_permit permit;

    /* Adapters come first: their decisions request loads of base models, which
       are then decided in the same pass. */
    for (int i = sim->leaf_count - 1; i >= 0; i--) {
        const struct sim_leaf *leaf = &sim->leaves[i];

        if (all || leaf->waiting > 0 || leaf->leaf.permit_granted ||
            sim->now_ms < leaf->base_wanted_until_ms ||
            (leaf->node.settings.replicas_min > leaf->replica_count &&
             sim->load_permits.count > 0)) {
            rules_decide(sim, i);
        }
    }
    load_permits_expire(&sim->load_permits, sim->now_ms);
    while (load_permits_grant_next(&sim->load_permits, 4,
                                   sim->scenario->store_loads_per_s,
                                   sim->now_ms, &permit)) {
        sim->leaves[permit.token - 1].leaf.permit_granted = true;
        rules_decide(sim, (int)permit.token - 1);
    }
}

static int64_t
next_event_ms(const struct sim *sim, guint next_call)
{
    int64_t next = (sim->now_ms / SWEEP_INTERVAL_MS + 1) * SWEEP_INTERVAL_MS;

    if (sim->transitions > 0 || sim->waiting_calls->len > 0 ||
        sim->load_permits.count > 0) {
        return sim->now_ms + STEP_MS;
    }
    if (next_call < sim->day->calls->len) {
        next =
            MIN(next,
                g_array_index(sim->day->calls, struct call, next_call).at_ms);
    }
    for (guint i = 0; i < sim->running_calls->len; i++) {
        next = MIN(next,
                   g_array_index(sim->running_calls, struct call, i).end_ms);
    }
    return MAX(next, sim->now_ms + 1);
}

static guint
admit_calls(struct sim *sim, guint next)
{
    for (; next < sim->day->calls->len; next++) {
        struct call call = g_array_index(sim->day->calls, struct call, next);
        int replica = replica_find_ready(sim, call.leaf);

        if (call.at_ms > sim->now_ms) {
            break;
        }
        if (replica >= 0) {
            start_call(sim, call, replica);
        }
        else {
            queue_call(sim, call);
        }
    }
    return next;
}

static void
run_day(struct sim *sim)
{
    int64_t fail_ms = sim->scenario->burst_start_ms + FAULT_DELAY_MS;
    guint next_call = 0;

    fleet_init(sim);
    while (sim->now_ms < DAY_MS) {
        int64_t before_ms = sim->now_ms;

        sim->now_ms = next_event_ms(sim, next_call);
        sim->place.now_ms = sim->now_ms;
        sim->idle_mb_ms +=
            (double)sim->idle_mb * (double)(sim->now_ms - before_ms);
        fleet_advance(sim, sim->now_ms - before_ms);
        end_calls(sim);
        if (before_ms < fail_ms && sim->now_ms >= fail_ms) {
            inject_fault(sim);
        }
        next_call = admit_calls(sim, next_call);
        serve_waiting(sim);
        decide_leaves(sim, sim->now_ms / SWEEP_INTERVAL_MS !=
                               before_ms / SWEEP_INTERVAL_MS);
    }
}

/**
 * struct policy_results - results of a policy, one line of the table
 * @cold_waits_ms: waits of cold calls on all days: [0] chats, [1] long jobs
 * @refused_calls: calls refused on all days: [0] chats, [1] long jobs
 * @p99_by_day_ms: 99th percentile of the waits of each day's cold chats
 * @idle_accelerator_h: idle accelerator hours, sum of all days
 * @store_loads: loads from the weight store, sum of all days
 * @limit_violations: times that a limit was exceeded, sum of all days
 */
struct policy_results {
    GArray *cold_waits_ms[2];
    int refused_calls[2];
    double p99_by_day_ms[DAYS];
    double idle_accelerator_h;
    int store_loads;
    int limit_violations;
};

static int
count_long_waits(const GArray *waits)
{
    int count = 0;

    for (guint i = 0; i < waits->len; i++) {
        count += g_array_index(waits, double, i) > LONG_WAIT_MS;
    }
    return count;
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    const double *x = a;
    const double *y = b;

    return (*x > *y) - (*x < *y);
}

static double
percentile(GArray *values, int percent)
{
    if (values->len == 0) {
        return 0;
    }
    g_array_sort(values, compare_doubles);
    return g_array_index(values, double,
                         (values->len - 1) * (guint)percent / 100);
}

static void
add_day_results(struct policy_results *results, struct sim *sim, int day)
{
    results->p99_by_day_ms[day] = percentile(sim->cold_waits_ms[0], 99);
    for (int i = 0; i < 2; i++) {
        g_array_append_vals(results->cold_waits_ms[i],
                            sim->cold_waits_ms[i]->data,
                            sim->cold_waits_ms[i]->len);
        results->refused_calls[i] += sim->refused_calls[i];
    }
    results->idle_accelerator_h +=
        sim->idle_mb_ms / sim->views[0].report.memory_mb / HOUR_MS;
    results->store_loads += sim->store_loads;
    results->limit_violations += sim->limit_violations;
}

static void
run_policy_day(const struct scenario *scenario, enum fault fault,
               const struct policy *policy, const struct day *day,
               struct policy_results *results, int day_index)
{
    struct sim *sim = g_new0(struct sim, 1);

    sim->scenario = scenario;
    sim->fault = fault;
    sim->policy = policy;
    sim->day = day;
    sim->store_speed = fault == FAULT_STORE ? 1.0 / STORE_SLOWDOWN : 1.0;
    sim->waiting_calls = g_array_new(FALSE, FALSE, sizeof(struct call));
    sim->running_calls = g_array_new(FALSE, FALSE, sizeof(struct call));
    for (int i = 0; i < 2; i++) {
        sim->cold_waits_ms[i] = g_array_new(FALSE, FALSE, sizeof(double));
    }
    run_day(sim);
    add_day_results(results, sim, day_index);
    for (int i = 0; i < 2; i++) {
        g_array_unref(sim->cold_waits_ms[i]);
    }
    for (int i = 0; i <= OWNERS; i++) {
        g_hash_table_unref(sim->known_leaves[i]);
    }
    g_array_unref(sim->waiting_calls);
    g_array_unref(sim->running_calls);
    g_free(sim);
}

static void
print_results(const struct scenario *scenario, enum fault fault,
              const struct policy *policy, struct policy_results *results)
{
    double lowest = results->p99_by_day_ms[0];
    double highest = results->p99_by_day_ms[0];

    for (int i = 1; i < DAYS; i++) {
        lowest = MIN(lowest, results->p99_by_day_ms[i]);
        highest = MAX(highest, results->p99_by_day_ms[i]);
    }
    printf(
        "%-9s %-11s %-17s %5u %6.2f %6.2f %6.2f %6.2f-%5.2f %4d %4d %6.2f %4d "
        "%6.1f %5d %3d\n",
        scenario->name, fault_names[fault], policy->name,
        results->cold_waits_ms[0]->len / DAYS,
        percentile(results->cold_waits_ms[0], 50) / 1000,
        percentile(results->cold_waits_ms[0], 95) / 1000,
        percentile(results->cold_waits_ms[0], 99) / 1000, lowest / 1000,
        highest / 1000, count_long_waits(results->cold_waits_ms[0]) / DAYS,
        results->refused_calls[0],
        percentile(results->cold_waits_ms[1], 95) / 1000,
        results->refused_calls[1], results->idle_accelerator_h / DAYS,
        results->store_loads / DAYS, results->limit_violations);
}

static void
compare_policies(const struct scenario *scenario, enum fault fault,
                 const struct day *days)
{
    for (int i = 0; i < policy_count; i++) {
        struct policy_results results = {0};

        if (policies[i].idle_unload_s == scenario->idle_unload_s) {
            continue; /* equal to the first policy */
        }
        for (int n = 0; n < 2; n++) {
            results.cold_waits_ms[n] =
                g_array_new(FALSE, FALSE, sizeof(double));
        }
        for (int day = 0; day < DAYS; day++) {
            run_policy_day(scenario, fault, &policies[i], &days[day], &results,
                           day);
        }
        print_results(scenario, fault, &policies[i], &results);
        for (int n = 0; n < 2; n++) {
            g_array_unref(results.cold_waits_ms[n]);
        }
    }
}

int
main(void)
{
    printf("seed %d, %d days; times in s; cold: chats a day that found no "
           "loaded replica; a refused call counts with its whole wait; >2s: "
           "chats a day that waited longer; ref: "
           "refused on all days; job: long jobs; idle: idle accelerator hours "
           "a day; store: loads from the store a day; over: times that a "
           "limit was exceeded\n",
           SEED, DAYS);
    printf(
        "%-9s %-11s %-17s %5s %6s %6s %6s %12s %4s %4s %6s %4s %6s %5s %3s\n",
        "scenario", "fault", "policy", "cold", "p50", "p95", "p99",
        "p99-by-day", ">2s", "ref", "jobp95", "ref", "idle", "store", "over");
    for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
        struct day days[DAYS];

        for (int day = 0; day < DAYS; day++) {
            day_generate(&days[day], &scenarios[i], SEED + (guint32)day);
        }
        for (int fault = FAULT_NONE; fault <= FAULT_DATA_CENTRE; fault++) {
            compare_policies(&scenarios[i], (enum fault)fault, days);
        }
        for (int day = 0; day < DAYS; day++) {
            g_array_unref(days[day].calls);
        }
    }
    return 0;
}
