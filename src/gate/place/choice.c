/**
 * DOC: The engine on which an item can be used soonest.
 */
#include <glib.h>
#include <string.h>

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
    LOADS_WINDOW_MS = 1000, /* the weight store's limit is for a second */
    /* An order without a load takes less, and so does finding out what became
     * of one. */
    SHORT_WAIT_MS = 600,
    /* An unload that waits for runs, or room that is made for another item. */
    LONG_WAIT_MS = 3000,
    /* Notes on what is asked for reach a new holder within it. */
    LEARN_MS = 500,
    SILENCE_MS = 1500, /* several reports are asked for within it */
};

/* A swap on an engine with a copy beats one from the store by far, and a busy
 * engine is worth avoiding only between equals. */
static const double RUNNING_COST_MS = 30.0;
static const double VICTIM_COST_MS = 150.0;

static bool
is_free(const struct plan_engine *engine, uint32_t item, int64_t now_ms)
{
    bool unloading = engine->unloading != 0 &&
                     (item_is_adapter(item) || !engine->unload_idle);

    return !engine->info.draining && !engine->missing && !engine->ordering &&
           !engine->unsure && engine->loading == 0 && !unloading &&
           now_ms >= engine->retry_ms && engine->info.sequence >= 0;
}

/**
 * choice_is_silent() - whether an engine has not answered calls for a while
 * @engine: the engine
 * @now_ms: present time
 *
 * It may be gone, and what it was ordered may never be done.
 */
bool
choice_is_silent(const struct plan_engine *engine, int64_t now_ms)
{
    return engine->mute_ms != 0 && now_ms - engine->mute_ms > SILENCE_MS;
}

/**
 * choice_store_loads() - loads from the weight store that run or were ordered
 * @plan: the plan
 * @now_ms: present time
 */
int
choice_store_loads(const struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    int count = 0;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;

        bool from_store = engine->busy_other ||
                          (engine->loading != 0 && engine->loading_store);

        if (engine->ordered != 0) {
            room_load_ms(plan, engine, engine->ordered, &from_store);
        }
        count += from_store && !choice_is_silent(engine, now_ms) ? 1 : 0;
    }
    return count;
}

static bool
may_load_from_store(const struct plan *plan, const struct plan_engine *engine,
                    int64_t now_ms)
{
    const struct gate_service *service = plan_service(plan, engine);
    int recent = 0;

    for (int i = 0;
         i < MIN(plan->load_starts, (int)G_N_ELEMENTS(plan->load_start_ms));
         i++) {
        recent += now_ms - plan->load_start_ms[i] < LOADS_WINDOW_MS ? 1 : 0;
    }
    return now_ms - plan->begin_ms >= LEARN_MS &&
           choice_store_loads(plan, now_ms) < plan->settings.store_loads_max &&
           recent + 1 <= service->loads_per_s;
}

/* Whether an engine may get an item, now or later. */
static bool
may_get(struct plan *plan, const struct plan_engine *engine, uint32_t item)
{
    if (plan_service(plan, engine) == NULL || engine->info.draining ||
        engine->missing || plan_model(plan, engine, item) == NULL ||
        item_set_contains(&engine->info.held, item)) {
        return false;
    }
    return !item_is_adapter(item) ||
           item_set_contains(&engine->info.held, item_model(item));
}

static bool
reserved_for_other(const struct plan_engine *engine, uint32_t item,
                   int64_t now_ms)
{
    return engine->reserved != 0 && engine->reserved != item &&
           now_ms < engine->reserved_until_ms;
}

/**
 * choice_suits() - whether an engine can be ordered to load an item now
 * @plan: the plan
 * @engine: the engine
 * @item: quark of a model or adapter
 * @now_ms: present time
 */
bool
choice_suits(struct plan *plan, const struct plan_engine *engine,
             uint32_t item, int64_t now_ms)
{
    return may_get(plan, engine, item) && is_free(engine, item, now_ms) &&
           !reserved_for_other(engine, item, now_ms);
}

/* Sets the victim and the cost. Returns false when there is no room. */
static bool
weigh(struct plan *plan, struct choice *choice, uint32_t item, int64_t idle_ms,
      int64_t now_ms)
{
    choice->cost =
        (double)room_load_ms(plan, choice->engine, item, &choice->from_store) +
        RUNNING_COST_MS * choice->engine->running;
    if (room_for(plan, choice->engine, item)) {
        return true;
    }
    choice->victim = room_victim(plan, choice->engine, item, idle_ms, now_ms);
    choice->cost += VICTIM_COST_MS;
    return choice->victim != 0;
}

/* Time until an engine that is not free can be ordered. */
static int64_t
free_in_ms(const struct plan_engine *engine, uint32_t item, int64_t now_ms)
{
    if (engine->loading != 0) {
        return MAX(engine->done_ms - now_ms, 0) + SHORT_WAIT_MS;
    }
    if (engine->unloading != 0 && !engine->unload_idle) {
        return LONG_WAIT_MS;
    }
    return reserved_for_other(engine, item, now_ms) ? LONG_WAIT_MS
                                                    : SHORT_WAIT_MS;
}

/* Whether an engine that has a copy, but is not free now, will have the item
 * sooner than the weight store can bring it. */
static bool
copy_is_sooner(struct plan *plan, uint32_t item, double cost, int64_t idle_ms,
               int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct choice choice = {.engine = value};

        if (may_get(plan, choice.engine, item) &&
            !choice_suits(plan, choice.engine, item, now_ms) &&
            !choice_is_silent(choice.engine, now_ms) &&
            weigh(plan, &choice, item, idle_ms, now_ms) &&
            !choice.from_store &&
            choice.cost + (double)free_in_ms(choice.engine, item, now_ms) <
                cost) {
            return true;
        }
    }
    return false;
}

/**
 * choice_make() - the engine on which an item can be used soonest
 * @plan: the plan
 * @item: quark of a model or adapter
 * @source: whether the weight store may be asked
 * @idle_ms: only items that were not asked for as long make way
 * @now_ms: present time
 *
 * A load from the weight store takes many seconds and holds up others, so an
 * engine with a copy is waited for.
 *
 * Return: no engine when none can be ordered now, or should be.
 */
struct choice
choice_make(struct plan *plan, uint32_t item, enum choice_source source,
            int64_t idle_ms, int64_t now_ms)
{
    struct choice best = {0};
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct choice choice = {.engine = value};

        if (!choice_suits(plan, choice.engine, item, now_ms) ||
            !weigh(plan, &choice, item, idle_ms, now_ms)) {
            continue;
        }
        if (choice.from_store &&
            (source == SOURCE_NEAR ||
             !may_load_from_store(plan, choice.engine, now_ms))) {
            continue;
        }
        if (best.engine == NULL || choice.cost < best.cost) {
            best = choice;
        }
    }
    if (best.engine != NULL && best.from_store &&
        copy_is_sooner(plan, item, best.cost, idle_ms, now_ms)) {
        best.engine = NULL;
    }
    return best;
}
