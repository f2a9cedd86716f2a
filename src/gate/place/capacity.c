/**
 * DOC: Memory of engines, and choice of the item to evict.
 *
 * An engine crashes when it is ordered to load more than fits, so items of
 * orders that may still take effect count as held.
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

/**
 * engine_item_mb() - memory that an item takes
 * @plan: the plan
 * @engine: the engine
 * @item: quark of a model or adapter
 *
 * Return: 0 for an item that the engine's service does not have.
 */
double
engine_item_mb(const struct plan *plan, const struct plan_engine *engine,
               uint32_t item)
{
    const struct gate_model *model = plan_engine_model(plan, engine, item);

    if (model == NULL) {
        return 0.0;
    }
    return item_is_adapter(item) ? model->adapter_mb : model->weights_mb;
}

/**
 * engine_used_mb() - memory used by held items and the order in progress
 * @plan: the plan
 * @engine: the engine
 * @item: item to be loaded; for a model, an item that is being unloaded is not
 *        counted, as engines accept a model only after the unload
 */
double
engine_used_mb(const struct plan *plan, const struct plan_engine *engine,
               uint32_t item)
{
    struct item_set held = engine->info.held;
    double used_mb = 0.0;

    if (!item_is_adapter(item)) {
        item_set_remove(&held, engine->unloading);
    }
    for (int i = 0; i < held.count; i++) {
        used_mb += engine_item_mb(plan, engine, held.ids[i]);
    }
    if (engine->loading != 0 && !item_set_contains(&held, engine->loading)) {
        used_mb += engine_item_mb(plan, engine, engine->loading);
    }
    return used_mb;
}

/**
 * engine_adapter_count() - adapters that are held or being loaded
 * @engine: the engine
 */
int
engine_adapter_count(const struct plan_engine *engine)
{
    const struct item_set *held = &engine->info.held;
    int count = 0;

    for (int i = 0; i < held->count; i++) {
        count += item_is_adapter(held->ids[i]) ? 1 : 0;
    }
    if (item_is_adapter(engine->loading) &&
        !item_set_contains(held, engine->loading)) {
        count++;
    }
    return count;
}

/* Whether the size of all held items is known, apart from one that is or will
 * be unloaded, 0 for none. A model may be held that the configuration no
 * longer has. */
static bool
are_sizes_known(const struct plan *plan, const struct plan_engine *engine,
                uint32_t unloaded)
{
    struct item_set held = engine->info.held;

    if (unloaded != 0) {
        item_set_remove(&held, unloaded);
    }
    for (int i = 0; i < held.count; i++) {
        if (plan_engine_model(plan, engine, held.ids[i]) == NULL) {
            return false;
        }
    }
    return !engine->info.has_unknown_items;
}

/**
 * engine_has_room() - whether an engine can load an item without an eviction
 * @plan: the plan
 * @engine: the engine
 * @item: quark of a model or adapter
 * @now_ms: current time
 *
 * Return: false also when it holds items of unknown size, when an adapter's
 * model is not held, or when a late order would no longer fit.
 */
bool
engine_has_room(const struct plan *plan, const struct plan_engine *engine,
                uint32_t item, int64_t now_ms)
{
    const struct gate_service *service = plan_engine_service(plan, engine);

    if (service == NULL ||
        !are_sizes_known(plan, engine,
                         item_is_adapter(item) ? 0 : engine->unloading) ||
        engine_used_mb(plan, engine, item) +
                engine_item_mb(plan, engine, item) >
            service->memory_mb ||
        !late_orders_fit(plan, engine, item, 0, now_ms)) {
        return false;
    }
    if (!item_is_adapter(item)) {
        return true;
    }
    return item_set_contains(&engine->info.held, item_model(item)) &&
           engine_adapter_count(engine) < service->adapter_slots;
}

/* Whether the other engines that hold an item have slots for its requests,
 * with those that wait, at some instance for reasons of its own. */
static bool
others_suffice(const struct plan *plan, const struct plan_engine *engine,
               const struct item_demand *demand)
{
    const struct gate_service *service = plan_engine_service(plan, engine);

    return service != NULL && demand->copies.held > 1 &&
           demand->running + demand->waiting <=
               (demand->copies.held - 1) * service->slots;
}

static bool
is_evictable(struct plan *plan, const struct plan_engine *engine,
             uint32_t candidate, int64_t idle_ms, int64_t now_ms)
{
    const struct item_demand *demand = plan_demand(plan, candidate);

    if (idle_ms == EVICT_STARVED_IDLE_MS &&
        others_suffice(plan, engine, demand)) {
        return true;
    }
    if (demand->waiting > 0) {
        return false;
    }
    if (demand->copies.held > 1 && item_request_rate(demand, now_ms) < 1.0 &&
        demand->running == 0) {
        return true;
    }
    return demand->running == 0 &&
           now_ms - demand->last_request_ms >= MAX(idle_ms, EVICT_IDLE_MS);
}

/* A model that is smaller than what is missing would be unloaded in vain, as
 * would any item beside one of unknown size. */
static bool
makes_room(const struct plan *plan, const struct plan_engine *engine,
           uint32_t candidate, uint32_t item, int64_t now_ms)
{
    const struct gate_service *service = plan_engine_service(plan, engine);

    return late_orders_fit(plan, engine, item, candidate, now_ms) &&
           are_sizes_known(plan, engine, candidate) &&
           (item_is_adapter(item) ||
            (service != NULL &&
             engine_used_mb(plan, engine, item) -
                     engine_item_mb(plan, engine, candidate) +
                     engine_item_mb(plan, engine, item) <=
                 service->memory_mb));
}

/**
 * engine_eviction_candidate() - item that an engine can unload for another
 * @plan: the plan
 * @engine: the engine
 * @item: quark of the model or adapter that needs the memory
 * @idle_ms: minimum time without a request; items with several replicas may
 *           go sooner. With EVICT_STARVED_IDLE_MS, a replica goes also while
 *           requests run there, if the others have slots for them
 * @now_ms: current time
 *
 * Return: quark of the least recently requested item of the same kind whose
 * unload makes enough room; 0 when none can be evicted.
 */
uint32_t
engine_eviction_candidate(struct plan *plan, const struct plan_engine *engine,
                          uint32_t item, int64_t idle_ms, int64_t now_ms)
{
    const struct item_set *held = &engine->info.held;
    uint32_t best = 0;
    int64_t oldest_ms = 0;

    for (int i = 0; i < held->count; i++) {
        uint32_t candidate = held->ids[i];
        int64_t requested_ms = plan_demand(plan, candidate)->last_request_ms;

        if (item_is_adapter(candidate) != item_is_adapter(item) ||
            candidate == item_model(item) || candidate == engine->unloading ||
            (best != 0 && requested_ms >= oldest_ms) ||
            !is_evictable(plan, engine, candidate, idle_ms, now_ms) ||
            !makes_room(plan, engine, candidate, item, now_ms)) {
            continue;
        }
        best = candidate;
        oldest_ms = requested_ms;
    }
    return best;
}

/**
 * engine_load_ms() - expected duration of a load on an engine
 * @plan: the plan
 * @engine: the engine
 * @item: quark of a model or adapter
 * @from_store: set to whether the load comes from the weight store
 *
 * Return: 0 for adapters and unknown models.
 */
int64_t
engine_load_ms(const struct plan *plan, const struct plan_engine *engine,
               uint32_t item, bool *from_store)
{
    const struct gate_model *model = plan_engine_model(plan, engine, item);

    *from_store = false;
    if (model == NULL || item_is_adapter(item)) {
        return 0;
    }
    if (item_set_contains(&engine->info.in_memory, item)) {
        return model->memory_load_ms;
    }
    if (item_set_contains(&engine->info.on_disk, item)) {
        return model->disk_load_ms;
    }
    *from_store = true;
    return model->store_load_ms;
}
