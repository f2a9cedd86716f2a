/**
 * DOC: Forecast of when waited-for items will be usable.
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

enum { SWAP_ORDERS_MS = 300 }; /* an eviction and two orders */

/* Time until the engine accepts an order: it loads one model at a time, which
 * takes many seconds from the weight store. */
static int64_t
busy_ms(const struct plan_engine *engine, int64_t now_ms)
{
    if (engine->loading != 0) {
        return MAX(engine->order_done_ms - now_ms, 0);
    }
    return engine->unloading != 0 && !engine->unload_immediate ? SLOW_UNLOAD_MS
                                                               : 0;
}

/* Time until the item is usable on the engine; -1 when it is neither held nor
 * ordered there. */
static int64_t
ordered_ready_ms(const struct plan *plan, const struct plan_engine *engine,
                 uint32_t item, int64_t now_ms)
{
    uint32_t model = item_model(item);
    bool from_store;

    if (engine_is_leaving(engine) || engine->missing) {
        return -1;
    }
    if (item_set_contains(&engine->info.held, item)) {
        return 0;
    }
    if (engine->loading == item || engine->loading == model) {
        return MAX(engine->order_done_ms - now_ms, 0) + SWAP_ORDERS_MS;
    }
    if (engine->pending_load == item || engine->pending_load == model ||
        engine->reserved_for == item || engine->reserved_for == model) {
        return busy_ms(engine, now_ms) +
               engine_load_ms(plan, engine, model, &from_store) +
               SWAP_ORDERS_MS;
    }
    return -1;
}

/* Time until the engine has room for an item; -1 when all that it holds is in
 * use and has been for as long as requests run. */
static int64_t
room_ms(struct plan *plan, const struct plan_engine *engine, uint32_t item,
        int64_t waited_ms, int64_t now_ms)
{
    int64_t starved_in_ms = MAX(STARVED_MS - waited_ms, 0);
    int64_t hold_ms = late_hold_left_ms(plan, engine, now_ms);

    if (engine_has_room(plan, engine, item, now_ms) ||
        engine_eviction_candidate(plan, engine, item, EVICT_IDLE_MS, now_ms) !=
            0) {
        return 0;
    }
    if (engine_eviction_candidate(plan, engine, item, EVICT_STARVED_IDLE_MS,
                                  now_ms) != 0) {
        return starved_in_ms;
    }
    if (hold_ms > 0) {
        return hold_ms;
    }
    return waited_ms < SLOW_UNLOAD_MS ? SLOW_UNLOAD_MS - waited_ms : -1;
}

/* Time until an engine can use an item whose model it holds or has a local
 * copy of; -1 when it has neither, or no room, or not before @best_ms. Loads
 * of a local copy take a few hundred ms; the time is doubled because other
 * orders may go first. */
static int64_t
local_ready_ms(struct plan *plan, const struct plan_engine *engine,
               const struct item_demand *demand, int64_t best_ms,
               int64_t now_ms)
{
    uint32_t model = item_model(demand->item);
    bool is_held = item_set_contains(&engine->info.held, model);
    bool from_store = false;
    int64_t ready_ms = SWAP_ORDERS_MS + busy_ms(engine, now_ms);
    int64_t wait_ms;

    if (engine_is_leaving(engine) || engine->missing ||
        engine_is_unresponsive(engine, now_ms) || ready_ms >= best_ms) {
        return -1;
    }
    if (!is_held) {
        int64_t load_ms = engine_load_ms(plan, engine, model, &from_store);

        ready_ms += 2 * load_ms + SWAP_ORDERS_MS;
    }
    if (from_store || ready_ms >= best_ms) {
        return -1;
    }
    wait_ms = room_ms(plan, engine, is_held ? demand->item : model,
                      item_waited_ms(demand, now_ms), now_ms);
    return wait_ms < 0 ? -1 : wait_ms + ready_ms;
}

/* With 200 items on 60 engines, what an engine has room for takes most of the
 * time, so it is asked only where the item may be there sooner. */
static void
forecast_item(struct plan *plan, struct item_forecast *forecast,
              const struct item_demand *demand, int64_t now_ms)
{
    int64_t best_ms = G_MAXINT64;
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (best_ms > 0 && g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;
        int64_t ready = ordered_ready_ms(plan, engine, forecast->item, now_ms);

        if (ready < 0) {
            ready = local_ready_ms(plan, engine, demand, best_ms, now_ms);
        }
        if (ready >= 0) {
            best_ms = MIN(best_ms, ready);
        }
    }
    forecast->expected = best_ms < G_MAXINT64;
    forecast->ready_ms = forecast->expected ? best_ms : 0;
}

/**
 * plan_forecast_loads() - when waited-for items will be usable
 * @plan: the plan
 * @now_ms: current time
 *
 * Return: forecasts for all items with waiting requests, to be freed with
 * load_forecast_free(); NULL when there are none.
 */
struct load_forecast *
plan_forecast_loads(struct plan *plan, int64_t now_ms)
{
    struct load_forecast *forecast =
        load_forecast_new((int)g_hash_table_size(plan->items));
    GHashTableIter iter;
    void *value;

    forecast->count = 0;
    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item_demand *demand = value;

        if (demand->waiting > 0) {
            struct item_forecast *item = &forecast->items[forecast->count++];

            item->item = demand->item;
            forecast_item(plan, item, demand, now_ms);
        }
    }
    if (forecast->count == 0) {
        load_forecast_free(forecast);
        return NULL;
    }
    return forecast;
}
