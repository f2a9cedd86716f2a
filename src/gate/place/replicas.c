/**
 * DOC: How many engines a model needs, and how many have it.
 *
 * The load answered here is a model whose demand grows within seconds, because
 * callers move to it or an engine that holds it is lost, while every other
 * engine must fetch it from the weight store for many seconds. A replica
 * ordered only when the present ones are full comes too late, and one at a
 * time never catches up.
 */
#include <glib.h>
#include <math.h>

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
    /* Engines slow down when more than this share of their slots is in use. */
    BUSY_PERCENT = 60,
    /* Requests share an engine's steps, so long prompts of some delay the
     * events of others: another replica is needed well before all slots are
     * full. */
    REPLICA_PERCENT = 65,
};

/* Until enough requests have run to tell. */
static const double DEFAULT_HOLD_S = 0.5;
static const double HOLD_RATE_MIN = 2.0;

/* A new model gets no replicas for what its rate may become within the time
 * that its first copy takes to load. */
static const int REPLICAS_AT_ONCE_MAX = 8;

/* An engine that is unresponsive to this instance only still runs requests, so
 * it counts. */
static bool
can_serve(const struct plan_engine *engine, int64_t now_ms)
{
    return !engine_is_leaving(engine) && !engine->missing &&
           (!engine_is_unresponsive(engine, now_ms) || engine->running > 0);
}

static void
count_held(struct plan *plan, const struct plan_engine *engine)
{
    const struct item_set *held = &engine->info.held;
    int slots = MAX(engine->info.slots, 1);
    bool busy = engine->running * 100 > slots * BUSY_PERCENT;

    for (int i = 0; i < held->count; i++) {
        struct item_copies *copies = &plan_demand(plan, held->ids[i])->copies;

        if (engine->unloading != held->ids[i] &&
            engine->loading != held->ids[i]) {
            copies->held++;
            copies->busy += busy ? 1 : 0;
        }
    }
}

static void
count_coming(struct plan *plan, const struct plan_engine *engine)
{
    const uint32_t items[] = {engine->loading, engine->pending_load,
                              engine->reserved_for};
    bool from_store;

    for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
        struct item_copies *copies;

        if (items[i] == 0 || (i > 0 && items[i] == items[i - 1])) {
            continue;
        }
        copies = &plan_demand(plan, items[i])->copies;
        engine_load_ms(plan, engine, items[i], &from_store);
        if (i == 0) {
            from_store = engine->loading_from_store;
        }
        copies->coming_from_store += from_store ? 1 : 0;
        copies->coming_soon += from_store ? 0 : 1;
    }
}

static void
count_local_set(struct plan *plan, const struct plan_engine *engine,
                const struct item_set *local, const struct item_set *counted)
{
    for (int i = 0; i < local->count; i++) {
        uint32_t item = local->ids[i];

        if (!item_set_contains(&engine->info.held, item) &&
            engine->loading != item &&
            (counted == NULL || !item_set_contains(counted, item))) {
            plan_demand(plan, item)->copies.local++;
        }
    }
}

/**
 * plan_count_copies() - count the engines that have or will have each item
 * @plan: the plan; fills in the copies of all demands
 * @now_ms: current time
 */
void
plan_count_copies(struct plan *plan, int64_t now_ms)
{
    static const struct item_copies none = {0};
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct item_demand *)value)->copies = none;
    }
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;

        if (can_serve(engine, now_ms)) {
            count_held(plan, engine);
            count_coming(plan, engine);
            count_local_set(plan, engine, &engine->info.in_memory, NULL);
            count_local_set(plan, engine, &engine->info.on_disk,
                            &engine->info.in_memory);
        }
    }
}

/**
 * plan_hold_s() - how long a request runs at a target of a service
 * @plan: the plan
 * @service: the service
 * @now_ms: current time
 *
 * By Little's law, over the models that no request waits for: the requests
 * running at once, divided by those that come in a second.
 */
double
plan_hold_s(const struct plan *plan, const struct gate_service *service,
            int64_t now_ms)
{
    double rate = 0.0;
    int running = 0;

    for (int m = 0; m < service->model_count; m++) {
        const struct item_demand *demand = g_hash_table_lookup(
            plan->items, GUINT_TO_POINTER(service->models[m].model));

        if (demand != NULL && demand->waiting == 0 && demand->running > 0) {
            rate += item_request_rate(demand, now_ms);
            running += demand->running;
        }
    }
    return rate >= HOLD_RATE_MIN ? running / rate : DEFAULT_HOLD_S;
}

/**
 * replicas_needed() - engines that a model needs for its demand
 * @demand: the demand
 * @hold_s: how long a request runs
 * @slots: requests that an engine runs at once
 * @now_ms: current time
 *
 * Requests that wait are not added: they are the past, and their rate counts
 * already. Refused requests count in the rate, and callers send them again.
 */
int
replicas_needed(const struct item_demand *demand, double hold_s, int slots,
                int64_t now_ms)
{
    double at_once = item_request_rate(demand, now_ms) * hold_s;
    int needed;

    at_once = MAX(at_once, (double)demand->running);
    needed =
        1 + (int)floor(at_once * 100.0 / (MAX(slots, 1) * REPLICA_PERCENT));
    return MIN(needed, demand->copies.held + REPLICAS_AT_ONCE_MAX);
}

/**
 * copies_coming() - engines that are loading an item or will
 * @copies: copies of the item
 */
int
copies_coming(const struct item_copies *copies)
{
    return copies->coming_soon + copies->coming_from_store;
}
