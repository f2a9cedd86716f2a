/**
 * DOC: How many loads the weight store carries at the same time.
 *
 * Beyond a number that the configuration does not tell, each load takes longer
 * in proportion. Fewer at a time bring as much, and the first of them sooner.
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

enum { STORE_LOADS_MAX = 4 }; /* until more is known */

/* A load that takes this many times as long as configured was slowed by
 * others; engines differ in speed by less. */
static const double SLOWED = 1.4;

/* A load that takes less was not slowed at all. */
static const double UNSLOWED = 1.15;

/* Others began and ended meanwhile, so the estimate is a little low. */
static const double ROUND_UP = 0.3;

/**
 * loads_init() - nothing is known of the weight store
 * @plan: the plan
 */
void
loads_init(struct plan *plan)
{
    plan->settings.store_loads_max = STORE_LOADS_MAX;
}

/**
 * loads_began() - an engine loads from the weight store
 * @plan: the plan
 * @engine: the engine
 * @now_ms: present time
 */
void
loads_began(struct plan *plan, struct plan_engine *engine, int64_t now_ms)
{
    int place = plan->load_starts % (int)G_N_ELEMENTS(plan->load_start_ms);
    int count = choice_store_loads(plan, now_ms);
    GHashTableIter iter;
    void *value;

    plan->load_start_ms[place] = now_ms;
    plan->load_starts++;
    engine->load_start_ms = now_ms;
    engine->load_beside = 0;
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *other = value;

        if (other->loading != 0 && other->loading_store) {
            other->load_beside = MAX(other->load_beside, count);
        }
    }
}

/**
 * loads_ended() - an engine has done a load from the weight store
 * @plan: the plan
 * @engine: the engine
 * @load_ms: time that the load takes alone
 * @now_ms: present time, at most a report's lag after the end
 */
void
loads_ended(struct plan *plan, const struct plan_engine *engine,
            int64_t load_ms, int64_t now_ms)
{
    int before = plan->settings.store_loads_max;
    double part;

    if (load_ms <= 0 || engine->load_start_ms == 0) {
        return;
    }
    part = (double)(now_ms - engine->load_start_ms) / (double)load_ms;
    if (part > SLOWED && engine->load_beside > 1) {
        plan->settings.store_loads_max =
            CLAMP((int)(engine->load_beside / part + ROUND_UP), 1, before);
    }
    else if (part < UNSLOWED && engine->load_beside >= before) {
        plan->settings.store_loads_max = MIN(before + 1, STORE_LOADS_MAX);
    }
    if (plan->settings.store_loads_max != before) {
        log_line(
            LOG_PRI_INFO, "place",
            "event=store_loads max=%d before=%d target=%s took_ms=%" G_GINT64_FORMAT
            " alone_ms=%" G_GINT64_FORMAT " beside=%d",
            plan->settings.store_loads_max, before, engine->info.id,
            (gint64)(now_ms - engine->load_start_ms), (gint64)load_ms,
            engine->load_beside);
    }
}
