/*
 * Callers of one simulated day.
 */
#include <glib.h>
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
    BASES = 5,
    BURST_MS = 60000,
    CHAT_MIN_MS = 2000,
    CHAT_MAX_MS = 8000,
    PLAN_MIN_MS = 30000,
    PLAN_MAX_MS = 90000,
    PLAN_WINDOW_MS = 3600 * 1000,
    /* A model of the burst is used again the next day with 9 of 10. */
    REPEATED_IN_10 = 9,
    DAY_CALLS_MEAN = 30,
    NIGHT_CALLS = 40,
    BATCH_CALLS = 20,
    BATCH_MS = 6 * 3600 * 1000,
};

static void
add_call(struct day *day, int leaf, int64_t at_ms, int64_t run_ms)
{
    struct call call = {.at_ms = at_ms, .leaf = leaf, .run_ms = run_ms};

    if (at_ms >= 0 && at_ms < DAY_MS) {
        g_array_append_val(day->calls, call);
    }
}

/* Some calls to the models with adapters are for one of the adapters. */
static int
some_leaf(GRand *rand, const struct scenario *scenario, int model)
{
    int nth;

    if (model >= BASES || g_rand_int_range(rand, 0, 3) > 0) {
        return model;
    }
    nth = g_rand_int_range(rand, 0, scenario->adapters / BASES);
    return MODELS + nth * BASES + model;
}

static void
add_chat(struct day *day, const struct scenario *scenario, GRand *rand,
         int model, int64_t at_ms)
{
    add_call(day, some_leaf(rand, scenario, model), at_ms,
             g_rand_int_range(rand, CHAT_MIN_MS, CHAT_MAX_MS));
}

static void
add_dawn(struct day *day, const struct scenario *scenario, GRand *rand)
{
    int order[MODELS];

    for (int i = 0; i < MODELS; i++) {
        int j = g_rand_int_range(rand, 0, i + 1);

        order[i] = order[j];
        order[j] = i;
    }
    for (int i = 0; i < scenario->dawn_models; i++) {
        int64_t first_ms =
            scenario->dawn_ms +
            g_rand_int_range(rand, 0, (gint32)scenario->dawn_spread_ms);
        bool repeated = g_rand_int_range(rand, 0, 10) < REPEATED_IN_10;

        day->before[repeated ? order[i] : order[MODELS - 1 - i % 10]] = true;
        add_chat(day, scenario, rand, order[i], first_ms);
        for (int n = 1; n < scenario->dawn_calls; n++) {
            add_chat(day, scenario, rand, order[i],
                     first_ms + g_rand_int_range(rand, 0, BURST_MS));
        }
    }
}

static void
add_hot(struct day *day, const struct scenario *scenario, GRand *rand)
{
    for (int n = 0; n < scenario->hot_calls; n++) {
        add_chat(day, scenario, rand, 0,
                 scenario->dawn_ms + g_rand_int_range(rand, 0, BURST_MS));
    }
}

static void
add_daytime(struct day *day, const struct scenario *scenario, GRand *rand)
{
    int64_t span_ms = scenario->day_end_ms - scenario->dawn_ms;

    for (int model = 0; model < MODELS; model++) {
        /* A few models get most of the calls. */
        int calls = DAY_CALLS_MEAN * 4 / (1 + model % 10);

        for (int n = 0; n < calls; n++) {
            add_chat(day, scenario, rand, model,
                     scenario->dawn_ms +
                         (int64_t)(g_rand_double(rand) * (double)span_ms));
        }
    }
    for (int n = 0; n < NIGHT_CALLS; n++) {
        add_chat(day, scenario, rand, g_rand_int_range(rand, 0, MODELS),
                 g_rand_int_range(rand, 0, DAY_MS));
    }
}

static void
add_plans(struct day *day, const struct scenario *scenario, GRand *rand)
{
    for (int n = 0; n < scenario->plans; n++) {
        add_call(day, g_rand_int_range(rand, 1, 4),
                 scenario->plan_at_ms +
                     g_rand_int_range(rand, 0, PLAN_WINDOW_MS),
                 g_rand_int_range(rand, PLAN_MIN_MS, PLAN_MAX_MS));
    }
    for (int i = 0; i < scenario->batch_models; i++) {
        int64_t at_ms =
            scenario->day_end_ms + g_rand_int_range(rand, 0, BATCH_MS / 2);

        for (int n = 0; n < BATCH_CALLS; n++) {
            add_call(day, MODELS - 1 - i,
                     at_ms + g_rand_int_range(rand, 0, BATCH_MS / 6),
                     g_rand_int_range(rand, PLAN_MIN_MS, PLAN_MAX_MS));
        }
    }
}

static gint
by_arrival(gconstpointer a, gconstpointer b)
{
    const struct call *x = a;
    const struct call *y = b;

    return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/**
 * day_fill() - callers of a day
 * @day: filled in
 * @scenario: deployment
 * @seed: the same seed gives the same day
 */
void
day_fill(struct day *day, const struct scenario *scenario, uint32_t seed)
{
    GRand *rand = g_rand_new_with_seed(seed);

    memset(day, 0, sizeof(*day));
    day->calls = g_array_new(FALSE, FALSE, sizeof(struct call));
    add_dawn(day, scenario, rand);
    add_hot(day, scenario, rand);
    add_daytime(day, scenario, rand);
    add_plans(day, scenario, rand);
    g_array_sort(day->calls, by_arrival);
    g_rand_free(rand);
}
