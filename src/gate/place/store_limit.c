/**
 * DOC: Limit on concurrent loads from the weight store.
 *
 * Beyond some number of concurrent loads, which the configuration does not
 * state, each load slows down in proportion. Fewer loads at a time give the
 * same throughput, and the first ones finish sooner. The limit is estimated
 * from the duration of finished loads.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"

enum {
    /* Too few at first cost little: the next load starts when one finishes
     * early. Too many make the first ones finish late, all together. */
    STORE_LOADS_START = 2,
    STORE_LOADS_MAX = 16,
};

/* A load that took more than this multiple of its configured time was slowed
 * by others; speed differences between engines are smaller. */
static const double SLOWED_RATIO = 1.4;

/* A load below this multiple was not slowed. */
static const double UNSLOWED_RATIO = 1.15;

/* Other loads started and ended during the load, so the estimate is slightly
 * low. */
static const double ROUND_UP_PART = 0.3;

/**
 * store_limit_init() - set the initial limit
 * @plan: the plan
 */
void
store_limit_init(struct plan *plan)
{
    plan->settings.store_loads_max = STORE_LOADS_START;
}

/**
 * store_limit_load_started() - record the start of a load from the weight
 *                              store
 * @plan: the plan
 * @engine: the engine, with its load set
 * @now_ms: current time
 */
void
store_limit_load_started(struct plan *plan, struct plan_engine *engine,
                         int64_t now_ms)
{
    int slot =
        plan->store_load_count % (int)G_N_ELEMENTS(plan->store_load_start_ms);
    int concurrent_loads = plan_store_loads(plan, now_ms);
    GHashTableIter iter;
    void *value;

    plan->store_load_start_ms[slot] = now_ms;
    plan->store_load_count++;
    engine->load_start_ms = now_ms;
    engine->concurrent_loads_max = 0;
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *other = value;

        if (other->loading != 0 && other->loading_from_store) {
            other->concurrent_loads_max =
                MAX(other->concurrent_loads_max, concurrent_loads);
        }
    }
}

/**
 * store_limit_load_finished() - adjust the limit after a load from the weight
 *                               store
 * @plan: the plan
 * @engine: the engine
 * @load_ms: configured time of the load without others beside it
 * @now_ms: current time, at most a report's lag after the end
 */
void
store_limit_load_finished(struct plan *plan, const struct plan_engine *engine,
                          int64_t load_ms, int64_t now_ms)
{
    int previous_max = plan->settings.store_loads_max;
    double duration_ratio;

    if (load_ms <= 0 || engine->load_start_ms == 0) {
        return;
    }
    duration_ratio =
        (double)(now_ms - engine->load_start_ms) / (double)load_ms;
    if (duration_ratio > SLOWED_RATIO && engine->concurrent_loads_max > 1) {
        plan->settings.store_loads_max =
            CLAMP((int)(engine->concurrent_loads_max / duration_ratio +
                        ROUND_UP_PART),
                  1, previous_max);
    }
    else if (duration_ratio < UNSLOWED_RATIO &&
             engine->concurrent_loads_max >= previous_max) {
        plan->settings.store_loads_max =
            MIN(previous_max + 1, STORE_LOADS_MAX);
    }
    if (plan->settings.store_loads_max != previous_max) {
        log_line(
            LOG_PRI_INFO, "place",
            "event=store_loads max=%d before=%d target=%s took_ms=%" G_GINT64_FORMAT
            " alone_ms=%" G_GINT64_FORMAT " beside=%d",
            plan->settings.store_loads_max, previous_max, engine->info.id,
            (gint64)(now_ms - engine->load_start_ms), (gint64)load_ms,
            engine->concurrent_loads_max);
    }
}
