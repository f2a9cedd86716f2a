/*
 * Generates the requests of one simulated day.
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
    BASE_MODELS = 5,
    BURST_MS = 60000,
    CHAT_MIN_MS = 2000,
    CHAT_MAX_MS = 8000,
    JOB_MIN_MS = 30000,
    JOB_MAX_MS = 90000,
    JOB_WINDOW_MS = 3600 * 1000,
    /* Probability, in tenths, that a model of the burst was also in the
       previous day's burst. */
    USED_DAY_BEFORE_IN_10 = 9,
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

/* A third of the calls to a base model are for one of its adapters. */
static int
random_leaf(GRand *rand, const struct scenario *scenario, int model)
{
    int adapter;

    if (model >= BASE_MODELS || g_rand_int_range(rand, 0, 3) > 0) {
        return model;
    }
    adapter = g_rand_int_range(rand, 0, scenario->adapters / BASE_MODELS);
    return MODELS + adapter * BASE_MODELS + model;
}

static void
add_chat(struct day *day, const struct scenario *scenario, GRand *rand,
         int model, int64_t at_ms)
{
    add_call(day, random_leaf(rand, scenario, model), at_ms,
             g_rand_int_range(rand, CHAT_MIN_MS, CHAT_MAX_MS));
}

static void
add_burst(struct day *day, const struct scenario *scenario, GRand *rand)
{
    int order[MODELS];

    for (int i = 0; i < MODELS; i++) {
        int j = g_rand_int_range(rand, 0, i + 1);

        order[i] = order[j];
        order[j] = i;
    }
    for (int i = 0; i < scenario->burst_models; i++) {
        int64_t first_ms =
            scenario->burst_start_ms +
            g_rand_int_range(rand, 0, (gint32)scenario->burst_spread_ms);
        bool used_before =
            g_rand_int_range(rand, 0, 10) < USED_DAY_BEFORE_IN_10;

        day->used_day_before[used_before ? order[i]
                                         : order[MODELS - 1 - i % 10]] = true;
        add_chat(day, scenario, rand, order[i], first_ms);
        for (int n = 1; n < scenario->burst_calls_per_model; n++) {
            add_chat(day, scenario, rand, order[i],
                     first_ms + g_rand_int_range(rand, 0, BURST_MS));
        }
    }
}

static void
add_hot_model(struct day *day, const struct scenario *scenario, GRand *rand)
{
    for (int n = 0; n < scenario->hot_burst_calls; n++) {
        add_chat(day, scenario, rand, 0,
                 scenario->burst_start_ms +
                     g_rand_int_range(rand, 0, BURST_MS));
    }
}

static void
add_daytime(struct day *day, const struct scenario *scenario, GRand *rand)
{
    int64_t span_ms = scenario->day_end_ms - scenario->burst_start_ms;

    for (int model = 0; model < MODELS; model++) {
        /* Skewed load: a few models get most of the calls. */
        int calls = DAY_CALLS_MEAN * 4 / (1 + model % 10);

        for (int n = 0; n < calls; n++) {
            add_chat(day, scenario, rand, model,
                     scenario->burst_start_ms +
                         (int64_t)(g_rand_double(rand) * (double)span_ms));
        }
    }
    for (int n = 0; n < NIGHT_CALLS; n++) {
        add_chat(day, scenario, rand, g_rand_int_range(rand, 0, MODELS),
                 g_rand_int_range(rand, 0, DAY_MS));
    }
}

static void
add_jobs(struct day *day, const struct scenario *scenario, GRand *rand)
{
    for (int n = 0; n < scenario->job_count; n++) {
        add_call(day, g_rand_int_range(rand, 1, 4),
                 scenario->job_start_ms +
                     g_rand_int_range(rand, 0, JOB_WINDOW_MS),
                 g_rand_int_range(rand, JOB_MIN_MS, JOB_MAX_MS));
    }
    for (int i = 0; i < scenario->batch_models; i++) {
        int64_t at_ms =
            scenario->day_end_ms + g_rand_int_range(rand, 0, BATCH_MS / 2);

        for (int n = 0; n < BATCH_CALLS; n++) {
            add_call(day, MODELS - 1 - i,
                     at_ms + g_rand_int_range(rand, 0, BATCH_MS / 6),
                     g_rand_int_range(rand, JOB_MIN_MS, JOB_MAX_MS));
        }
    }
}

static gint
compare_arrival(gconstpointer a, gconstpointer b)
{
    const struct call *x = a;
    const struct call *y = b;

    return (x->at_ms > y->at_ms) - (x->at_ms < y->at_ms);
}

/**
 * day_generate() - generate the requests of a day
 * @day: overwritten; the caller releases @day->calls with g_array_unref()
 * @scenario: simulated deployment
 * @seed: equal seeds give equal days
 */
void
day_generate(struct day *day, const struct scenario *scenario, uint32_t seed)
{
    GRand *rand = g_rand_new_with_seed(seed);

    memset(day, 0, sizeof(*day));
    day->calls = g_array_new(FALSE, FALSE, sizeof(struct call));
    add_burst(day, scenario, rand);
    add_hot_model(day, scenario, rand);
    add_daytime(day, scenario, rand);
    add_jobs(day, scenario, rand);
    g_array_sort(day->calls, compare_arrival);
    g_rand_free(rand);
}
