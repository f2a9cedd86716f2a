/**
 * DOC: When engines will have what requests wait for.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/belief/dat.h"
#include "gate/belief/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"

enum { SWAP_MS = 300 }; /* for the item that makes way, and two orders */

/* Time until the engine can use the item; -1 when it isn't coming there. */
static int64_t
ready_ms(const struct plan *plan, const struct plan_engine *engine,
         uint32_t item, int64_t now_ms)
{
    uint32_t model = item_model(item);
    bool from_store;

    if (engine->info.leaving || engine->missing) {
        return -1;
    }
    if (items_have(&engine->info.held, item)) {
        return 0;
    }
    if (engine->loading == item || engine->loading == model) {
        return MAX(engine->done_ms - now_ms, 0) + SWAP_MS;
    }
    if (engine->ordered == item || engine->ordered == model ||
        engine->reserved == item || engine->reserved == model) {
        return room_load_ms(plan, engine, model, &from_store) + SWAP_MS;
    }
    return -1;
}

/* What an engine has near waits for orders of some hundred ms only, though
 * others may come first. -1 when the engine does not have it near. */
static int64_t
near_ms(const struct plan *plan, const struct plan_engine *engine,
        uint32_t model, int64_t now_ms)
{
    bool from_store;
    int64_t load_ms = room_load_ms(plan, engine, model, &from_store);

    if (engine->info.leaving || engine->missing ||
        choice_is_silent(engine, now_ms)) {
        return -1;
    }
    if (items_have(&engine->info.held, model)) {
        return SWAP_MS;
    }
    return from_store ? -1 : 2 * (load_ms + SWAP_MS);
}

static void
look(struct plan *plan, struct item_forecast *forecast, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    uint32_t model = item_model(forecast->item);

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;
        int64_t ready = ready_ms(plan, engine, forecast->item, now_ms);

        if (ready < 0) {
            ready = near_ms(plan, engine, model, now_ms);
        }
        if (ready >= 0 && (!forecast->coming || ready < forecast->ready_ms)) {
            forecast->coming = true;
            forecast->ready_ms = ready;
        }
    }
}

/**
 * plan_outlook() - when engines will have what requests wait for
 * @plan: the plan
 * @now_ms: present time
 *
 * Return: forecasts for all items that are waited for; NULL when none is.
 */
struct load_forecast *
plan_outlook(struct plan *plan, int64_t now_ms)
{
    struct load_forecast *outlook =
        load_forecast_new((int)g_hash_table_size(plan->items));
    GHashTableIter iter;
    void *value;

    outlook->count = 0;
    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_item *item = value;

        if (item->waiting > 0) {
            struct item_forecast *forecast = &outlook->items[outlook->count++];

            forecast->item = item->item;
            look(plan, forecast, now_ms);
        }
    }
    if (outlook->count == 0) {
        load_forecast_free(outlook);
        return NULL;
    }
    return outlook;
}
