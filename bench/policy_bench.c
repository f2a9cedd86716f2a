/*
 * Compares placement policies over simulated days in virtual time, with the
 * real functions that choose engines, evictions, turns and steps. One line a
 * deployment, fault and policy.
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
    /* Time step while something loads or waits. */
    STEP_MS = 50,
    SWEEP_MS = 10000,
    /* Engines fail this long after the start of the burst, and it takes the
       observers about two seconds to see it. */
    FAULT_MS = 7000,
    SLOW_STORE = 4,
    LONG_MS = 2000,
};

static const struct scenario scenarios[] = {
    {
        .name = "vellayani",
        .data_centres = 4,
        .adapters = 100,
        .replicas_max = 2,
        .hot_min = 2,
        .hot_calls = 200,
        .idle_unload_s = 1800,
        .wait_max_ms = 20000,
        .store_per_s = 7,
        .dawn_ms = 4 * HOUR_MS + 30 * MINUTE_MS,
        .dawn_models = 70,
        .dawn_calls = 10,
        .dawn_spread_ms = 10000,
        .day_end_ms = 18 * HOUR_MS,
        .plan_priority = 3,
        .plan_wait_ms = 120000,
        .plan_at_ms = 4 * HOUR_MS + 10 * MINUTE_MS,
        .plans = 40,
    },
    {
        .name = "cascadura",
        .data_centres = 3,
        .adapters = 90,
        .replicas_max = 1,
        .idle_unload_s = 300,
        .wait_max_ms = 30000,
        .store_per_s = 6,
        .dawn_ms = 6 * HOUR_MS,
        .dawn_models = 30,
        .dawn_calls = 6,
        .dawn_spread_ms = 30000,
        .day_end_ms = 18 * HOUR_MS,
        .plan_priority = 2,
        .plan_wait_ms = 600000,
        .plan_at_ms = 20 * HOUR_MS,
        .plans = 100,
        .batch_models = 40,
    },
};

static const char *const fault_names[] = {"none", "engine-lost", "store-slow",
                                          "dc-lost"};

static bool
is_job(const struct sim *sim, const struct call *call)
{
    const struct sim_leaf *leaf = &sim->leaves[call->leaf];

    return leaf->node.settings.wait_max_ms > sim->scenario->wait_max_ms;
}

static void
mark_running(struct sim *sim, int leaf, int more)
{
    for (int i = leaf; i >= 0; i = sim->leaves[i].base) {
        struct sim_leaf *about = &sim->leaves[i];

        sim->idle_mb -= leaf_idle_mb(about);
        about->running += more;
        about->leaf.last_used_ms = sim->now_ms;
        sim->idle_mb += leaf_idle_mb(about);
    }
}

static void
start_call(struct sim *sim, struct call call, int replica)
{
    double waited = (double)(sim->now_ms - call.at_ms);

    call.engine = sim->leaves[call.leaf].replicas[replica].engine;
    call.end_ms = sim->now_ms + call.run_ms;
    sim->views[call.engine].report.running++;
    mark_running(sim, call.leaf, 1);
    if (call.cold) {
        g_array_append_val(sim->waits[is_job(sim, &call)], waited);
    }
    g_array_append_val(sim->running, call);
}

static void
end_call(struct sim *sim, guint index)
{
    const struct call *call = &g_array_index(sim->running, struct call, index);

    sim->views[call->engine].report.running--;
    mark_running(sim, call->leaf, -1);
    g_array_remove_index_fast(sim->running, index);
}

static void
end_calls(struct sim *sim)
{
    for (guint i = sim->running->len; i-- > 0;) {
        if (g_array_index(sim->running, struct call, i).end_ms <=
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
    g_array_append_val(sim->waiting, call);
}

static void
serve_waiting(struct sim *sim)
{
    for (guint i = 0; i < sim->waiting->len;) {
        struct call call = g_array_index(sim->waiting, struct call, i);
        double waited = (double)(sim->now_ms - call.at_ms);
        struct sim_leaf *leaf = &sim->leaves[call.leaf];
        int replica = replica_ready(sim, call.leaf);

        if (replica < 0 && waited < (double)leaf->node.settings.wait_max_ms) {
            i++;
            continue;
        }
        leaf->waiting--;
        if (replica >= 0) {
            start_call(sim, call, replica);
        }
        else {
            sim->refused[is_job(sim, &call)]++;
            g_array_append_val(sim->waits[is_job(sim, &call)], waited);
        }
        g_array_remove_index(sim->waiting, i);
    }
}

static void
lose_engine(struct sim *sim, int engine)
{
    sim->views[engine].report.state = TARGET_GONE;
    for (guint i = sim->running->len; i-- > 0;) {
        struct call call = g_array_index(sim->running, struct call, i);

        if (call.engine == engine) {
            end_call(sim, i);
            call.at_ms = sim->now_ms;
            queue_call(sim, call);
        }
    }
    for (int leaf = 0; leaf < sim->leaf_count; leaf++) {
        for (int i = sim->leaves[leaf].count - 1; i >= 0; i--) {
            if (sim->leaves[leaf].replicas[i].engine == engine) {
                replica_drop(sim, leaf, i);
            }
        }
    }
}

/* The one with the most loaded leaves is lost: the worst case. */
static void
lose_fullest(struct sim *sim, int groups)
{
    int loaded[ENGINES] = {0};
    int most = 0;

    for (int i = 0; i < ENGINES; i++) {
        loaded[i % groups] += sim->views[i].report.loaded_count;
    }
    for (int i = 1; i < groups; i++) {
        most = loaded[i] > loaded[most] ? i : most;
    }
    for (int i = most; i < ENGINES; i += groups) {
        lose_engine(sim, i);
    }
}

static void
fail(struct sim *sim)
{
    if (sim->fault == FAULT_ENGINE) {
        lose_fullest(sim, ENGINES);
    }
    if (sim->fault == FAULT_DATA_CENTRE) {
        lose_fullest(sim, sim->scenario->data_centres);
    }
}

static void
decide(struct sim *sim, bool all)
{
    struct load_permit turn;

    /* Adapters come first, so that the models they need are decided too. */
    for (int i = sim->leaf_count - 1; i >= 0; i--) {
        const struct sim_leaf *leaf = &sim->leaves[i];

        if (all || leaf->waiting > 0 || leaf->leaf.permit_granted ||
            sim->now_ms < leaf->base_until_ms ||
            (leaf->node.settings.replicas_min > leaf->count &&
             sim->turns.count > 0)) {
            rules_decide(sim, i);
        }
    }
    load_permits_expire(&sim->turns, sim->now_ms);
    while (load_permits_grant_next(&sim->turns, 4, sim->scenario->store_per_s,
                                   sim->now_ms, &turn)) {
        sim->leaves[turn.token - 1].leaf.permit_granted = true;
        rules_decide(sim, (int)turn.token - 1);
    }
}

static int64_t
next_ms(const struct sim *sim, guint next_call)
{
    int64_t next = (sim->now_ms / SWEEP_MS + 1) * SWEEP_MS;

    if (sim->loads > 0 || sim->waiting->len > 0 || sim->turns.count > 0) {
        return sim->now_ms + STEP_MS;
    }
    if (next_call < sim->day->calls->len) {
        next =
            MIN(next,
                g_array_index(sim->day->calls, struct call, next_call).at_ms);
    }
    for (guint i = 0; i < sim->running->len; i++) {
        next = MIN(next, g_array_index(sim->running, struct call, i).end_ms);
    }
    return MAX(next, sim->now_ms + 1);
}

static guint
admit_calls(struct sim *sim, guint next)
{
    for (; next < sim->day->calls->len; next++) {
        struct call call = g_array_index(sim->day->calls, struct call, next);
        int replica = replica_ready(sim, call.leaf);

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
    int64_t fail_ms = sim->scenario->dawn_ms + FAULT_MS;
    guint next_call = 0;

    fleet_init(sim);
    while (sim->now_ms < DAY_MS) {
        int64_t before_ms = sim->now_ms;

        sim->now_ms = next_ms(sim, next_call);
        sim->place.now_ms = sim->now_ms;
        sim->idle_mb_ms +=
            (double)sim->idle_mb * (double)(sim->now_ms - before_ms);
        fleet_advance(sim, sim->now_ms - before_ms);
        end_calls(sim);
        if (before_ms < fail_ms && sim->now_ms >= fail_ms) {
            fail(sim);
        }
        next_call = admit_calls(sim, next_call);
        serve_waiting(sim);
        decide(sim, sim->now_ms / SWEEP_MS != before_ms / SWEEP_MS);
    }
}

/**
 * struct figures - one line of the table
 * @waits: cold starts of all days, of chats and of long jobs
 * @refused: of all days, of chats and of long jobs
 * @worst: 99th percentile of the chats of each day
 * @idle_h: idle accelerator hours of all days
 * @remote: loads from the weight store of all days
 * @broken: limits exceeded on all days
 */
struct figures {
    GArray *waits[2];
    int refused[2];
    double worst[DAYS];
    double idle_h;
    int remote;
    int broken;
};

static int
count_long(const GArray *waits)
{
    int count = 0;

    for (guint i = 0; i < waits->len; i++) {
        count += g_array_index(waits, double, i) > LONG_MS;
    }
    return count;
}

static gint
by_value(gconstpointer a, gconstpointer b)
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
    g_array_sort(values, by_value);
    return g_array_index(values, double,
                         (values->len - 1) * (guint)percent / 100);
}

static void
add_day(struct figures *figures, struct sim *sim, int day)
{
    figures->worst[day] = percentile(sim->waits[0], 99);
    for (int i = 0; i < 2; i++) {
        g_array_append_vals(figures->waits[i], sim->waits[i]->data,
                            sim->waits[i]->len);
        figures->refused[i] += sim->refused[i];
    }
    figures->idle_h +=
        sim->idle_mb_ms / sim->views[0].report.memory_mb / HOUR_MS;
    figures->remote += sim->remote;
    figures->broken += sim->broken;
}

static void
run_one(const struct scenario *scenario, enum fault fault,
        const struct policy *policy, const struct day *day,
        struct figures *figures, int index)
{
    struct sim *sim = g_new0(struct sim, 1);

    sim->scenario = scenario;
    sim->fault = fault;
    sim->policy = policy;
    sim->day = day;
    sim->store_speed = fault == FAULT_STORE ? 1.0 / SLOW_STORE : 1.0;
    sim->waiting = g_array_new(FALSE, FALSE, sizeof(struct call));
    sim->running = g_array_new(FALSE, FALSE, sizeof(struct call));
    for (int i = 0; i < 2; i++) {
        sim->waits[i] = g_array_new(FALSE, FALSE, sizeof(double));
    }
    run_day(sim);
    add_day(figures, sim, index);
    for (int i = 0; i < 2; i++) {
        g_array_unref(sim->waits[i]);
    }
    for (int i = 0; i <= OWNERS; i++) {
        g_hash_table_unref(sim->known[i]);
    }
    g_array_unref(sim->waiting);
    g_array_unref(sim->running);
    g_free(sim);
}

static void
print_line(const struct scenario *scenario, enum fault fault,
           const struct policy *policy, struct figures *figures)
{
    double least = figures->worst[0];
    double most = figures->worst[0];

    for (int i = 1; i < DAYS; i++) {
        least = MIN(least, figures->worst[i]);
        most = MAX(most, figures->worst[i]);
    }
    printf(
        "%-9s %-11s %-17s %5u %6.2f %6.2f %6.2f %6.2f-%5.2f %4d %4d %6.2f %4d "
        "%6.1f %5d %3d\n",
        scenario->name, fault_names[fault], policy->name,
        figures->waits[0]->len / DAYS,
        percentile(figures->waits[0], 50) / 1000,
        percentile(figures->waits[0], 95) / 1000,
        percentile(figures->waits[0], 99) / 1000, least / 1000, most / 1000,
        count_long(figures->waits[0]) / DAYS, figures->refused[0],
        percentile(figures->waits[1], 95) / 1000, figures->refused[1],
        figures->idle_h / DAYS, figures->remote / DAYS, figures->broken);
}

static void
compare(const struct scenario *scenario, enum fault fault,
        const struct day *days)
{
    for (int i = 0; i < policy_count; i++) {
        struct figures figures = {0};

        if (policies[i].idle_unload_s == scenario->idle_unload_s) {
            continue; /* the same as the first line */
        }
        for (int n = 0; n < 2; n++) {
            figures.waits[n] = g_array_new(FALSE, FALSE, sizeof(double));
        }
        for (int day = 0; day < DAYS; day++) {
            run_one(scenario, fault, &policies[i], &days[day], &figures, day);
        }
        print_line(scenario, fault, &policies[i], &figures);
        for (int n = 0; n < 2; n++) {
            g_array_unref(figures.waits[n]);
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
            day_fill(&days[day], &scenarios[i], SEED + (guint32)day);
        }
        for (int fault = FAULT_NONE; fault <= FAULT_DATA_CENTRE; fault++) {
            compare(&scenarios[i], (enum fault)fault, days);
        }
        for (int day = 0; day < DAYS; day++) {
            g_array_unref(days[day].calls);
        }
    }
    return 0;
}
