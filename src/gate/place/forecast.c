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
        return engine_load_ms(plan, engine, model, &from_store) +
               SWAP_ORDERS_MS;
    }
    return -1;
}

/* Time until an engine can use a model that it holds or has a local copy of;
 * -1 when it has neither. Loads of a local copy take a few hundred ms; the
 * time is doubled because other orders may go first. */
static int64_t
local_ready_ms(struct plan *plan, const struct plan_engine *engine,
               uint32_t model, int64_t now_ms)
{
    bool from_store;
    int64_t load_ms = engine_load_ms(plan, engine, model, &from_store);
    int64_t hold_ms = 0;

    if (engine_is_leaving(engine) || engine->missing ||
        engine_is_unresponsive(engine, now_ms)) {
        return -1;
    }
    if (item_set_contains(&engine->info.held, model)) {
        return SWAP_ORDERS_MS;
    }
    if (!late_orders_fit(plan, engine, model, 0, now_ms) &&
        engine_eviction_candidate(plan, engine, model, EVICT_IDLE_MS,
                                  now_ms) == 0) {
        hold_ms = late_hold_left_ms(plan, engine, now_ms);
    }
    return from_store ? -1 : 2 * (load_ms + SWAP_ORDERS_MS) + hold_ms;
}

static void
forecast_item(struct plan *plan, struct item_forecast *forecast,
              int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    uint32_t model = item_model(forecast->item);

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;
        int64_t ready = ordered_ready_ms(plan, engine, forecast->item, now_ms);

        if (ready < 0) {
            ready = local_ready_ms(plan, engine, model, now_ms);
        }
        if (ready >= 0 &&
            (!forecast->expected || ready < forecast->ready_ms)) {
            forecast->expected = true;
            forecast->ready_ms = ready;
        }
    }
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
            forecast_item(plan, item, now_ms);
        }
    }
    if (forecast->count == 0) {
        load_forecast_free(forecast);
        return NULL;
    }
    return forecast;
}
