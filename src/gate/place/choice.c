/**
 * DOC: Choice of the engine on which an item is usable soonest.
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
    LOAD_RATE_WINDOW_MS = 1000, /* loads_per_s counts per second */
    /* Upper bound for an order without a load, and for finding out the outcome
     * of an order in doubt. */
    SHORT_ORDER_MS = 600,
    /* A new holder has the activity reports of all instances by then. */
    HOLDER_WARMUP_MS = 500,
    UNRESPONSIVE_MS = 1500, /* covers several attempts to read the report */
};

/* Both are small against a load from the weight store: an engine with a local
 * copy wins even if it must evict, and running requests decide only between
 * engines that are otherwise equal. */
static const double RUNNING_COST_MS = 30.0;
static const double EVICTION_COST_MS = 150.0;

/**
 * engine_is_leaving() - whether an engine is about to stop
 * @engine: the engine
 */
bool
engine_is_leaving(const struct plan_engine *engine)
{
    return engine->info.draining || engine->leaves;
}

static bool
accepts_orders(const struct plan_engine *engine, uint32_t item, int64_t now_ms)
{
    bool unloading = engine->unloading != 0 &&
                     (item_is_adapter(item) || !engine->unload_immediate);

    return !engine_is_leaving(engine) && !engine->missing &&
           !engine->order_pending && !engine->in_doubt &&
           engine->loading == 0 && !unloading &&
           now_ms >= engine->next_order_ms && engine->info.sequence >= 0;
}

/**
 * engine_is_unresponsive() - whether an engine has not answered for a while
 * @engine: the engine
 * @now_ms: current time
 *
 * Such an engine may be gone, and its accepted orders may never complete.
 */
bool
engine_is_unresponsive(const struct plan_engine *engine, int64_t now_ms)
{
    return engine->unanswered_since_ms != 0 &&
           now_ms - engine->unanswered_since_ms > UNRESPONSIVE_MS;
}

/* The item that an engine loads or is about to load; 0 for none. Memory is
 * reserved for an item while another one is unloaded for it. */
static uint32_t
ordered_item(const struct plan_engine *engine, int64_t now_ms)
{
    if (engine->pending_load != 0) {
        return engine->pending_load;
    }
    return now_ms < engine->reserved_until_ms ? engine->reserved_for : 0;
}

static bool
loads_from_store(const struct plan *plan, const struct plan_engine *engine,
                 int64_t now_ms)
{
    uint32_t item = ordered_item(engine, now_ms);
    bool from_store = false;

    if (engine->busy_with_unknown_order) {
        return true;
    }
    if (engine->loading != 0) {
        return engine->loading_from_store;
    }
    if (item != 0) {
        engine_load_ms(plan, engine, item, &from_store);
    }
    return from_store;
}

/**
 * plan_store_loads() - number of loads from the weight store, running, ordered
 *                      or to be ordered when there is room
 * @plan: the plan
 * @now_ms: current time
 *
 * An engine that executes an unknown order counts as one; unresponsive engines
 * don't count.
 */
int
plan_store_loads(const struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    int count = 0;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;

        count += loads_from_store(plan, engine, now_ms) &&
                         !engine_is_unresponsive(engine, now_ms)
                     ? 1
                     : 0;
    }
    return count;
}

static bool
may_load_from_store(const struct plan *plan, const struct plan_engine *engine,
                    int64_t now_ms)
{
    const struct gate_service *service = plan_engine_service(plan, engine);
    int recent = 0;

    for (int i = 0; i < MIN(plan->store_load_count,
                            (int)G_N_ELEMENTS(plan->store_load_start_ms));
         i++) {
        recent += now_ms - plan->store_load_start_ms[i] < LOAD_RATE_WINDOW_MS
                      ? 1
                      : 0;
    }
    return now_ms - plan->holder_since_ms >= HOLDER_WARMUP_MS &&
           plan_store_loads(plan, now_ms) < plan->settings.store_loads_max &&
           recent + 1 <= service->loads_per_s;
}

/* Whether an engine could load an item once it accepts orders. */
static bool
may_load(struct plan *plan, const struct plan_engine *engine, uint32_t item)
{
    if (plan_engine_service(plan, engine) == NULL ||
        engine_is_leaving(engine) || engine->missing ||
        plan_engine_model(plan, engine, item) == NULL ||
        item_set_contains(&engine->info.held, item)) {
        return false;
    }
    return !item_is_adapter(item) ||
           item_set_contains(&engine->info.held, item_model(item));
}

static bool
is_reserved_for_other(const struct plan_engine *engine, uint32_t item,
                      int64_t now_ms)
{
    return engine->reserved_for != 0 && engine->reserved_for != item &&
           now_ms < engine->reserved_until_ms;
}

/**
 * engine_can_load() - whether an engine can be ordered to load an item now
 * @plan: the plan
 * @engine: the engine
 * @item: quark of a model or adapter
 * @now_ms: current time
 *
 * Memory is not checked; see engine_has_room().
 */
bool
engine_can_load(struct plan *plan, const struct plan_engine *engine,
                uint32_t item, int64_t now_ms)
{
    return may_load(plan, engine, item) &&
           accepts_orders(engine, item, now_ms) &&
           !is_reserved_for_other(engine, item, now_ms);
}

/* Sets the item to evict and the cost. Returns false when memory is short and
 * nothing can be evicted. */
static bool
estimate_cost(struct plan *plan, struct engine_choice *choice, uint32_t item,
              int64_t idle_ms, int64_t now_ms)
{
    choice->cost_ms = (double)engine_load_ms(plan, choice->engine, item,
                                             &choice->from_store) +
                      RUNNING_COST_MS * choice->engine->running;
    if (engine_has_room(plan, choice->engine, item, now_ms)) {
        return true;
    }
    choice->evicted_item =
        engine_eviction_candidate(plan, choice->engine, item, idle_ms, now_ms);
    choice->cost_ms += EVICTION_COST_MS;
    return choice->evicted_item != 0;
}

/* Estimated time until a busy engine accepts an order. */
static int64_t
orderable_in_ms(const struct plan_engine *engine, uint32_t item,
                int64_t now_ms)
{
    if (engine->loading != 0) {
        return MAX(engine->order_done_ms - now_ms, 0) + SHORT_ORDER_MS;
    }
    if (engine->unloading != 0 && !engine->unload_immediate) {
        return SLOW_UNLOAD_MS;
    }
    return is_reserved_for_other(engine, item, now_ms) ? SLOW_UNLOAD_MS
                                                       : SHORT_ORDER_MS;
}

/* Whether a busy engine with a local copy will have the item sooner than a
 * load from the weight store that costs @cost_ms. */
static bool
local_copy_is_faster(struct plan *plan, uint32_t item, double cost_ms,
                     int64_t idle_ms, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct engine_choice choice = {.engine = value};

        if (may_load(plan, choice.engine, item) &&
            !engine_can_load(plan, choice.engine, item, now_ms) &&
            !engine_is_unresponsive(choice.engine, now_ms) &&
            estimate_cost(plan, &choice, item, idle_ms, now_ms) &&
            !choice.from_store &&
            choice.cost_ms +
                    (double)orderable_in_ms(choice.engine, item, now_ms) <
                cost_ms) {
            return true;
        }
    }
    return false;
}

/**
 * choose_fastest_engine() - the engine on which an item is usable soonest
 * @plan: the plan
 * @item: quark of a model or adapter
 * @source: whether the weight store may be used
 * @idle_ms: only items without a request for this long may be evicted
 * @now_ms: current time
 *
 * A load from the weight store takes many seconds and delays other loads, so
 * a busy engine with a local copy is preferred if it is faster.
 *
 * Return: the choice; its engine is NULL when no engine can take the order
 * now, or when waiting for a local copy is faster.
 */
struct engine_choice
choose_fastest_engine(struct plan *plan, uint32_t item,
                      enum load_source source, int64_t idle_ms, int64_t now_ms)
{
    struct engine_choice best = {0};
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct engine_choice choice = {.engine = value};

        if (!engine_can_load(plan, choice.engine, item, now_ms) ||
            !estimate_cost(plan, &choice, item, idle_ms, now_ms)) {
            continue;
        }
        if (choice.from_store &&
            (source == SOURCE_LOCAL ||
             !may_load_from_store(plan, choice.engine, now_ms))) {
            continue;
        }
        if (best.engine == NULL || choice.cost_ms < best.cost_ms) {
            best = choice;
        }
    }
    if (best.engine != NULL && best.from_store &&
        local_copy_is_faster(plan, item, best.cost_ms, idle_ms, now_ms)) {
        best.engine = NULL;
    }
    return best;
}
