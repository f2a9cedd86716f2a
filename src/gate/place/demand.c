/**
 * DOC: Demand for items, added up over all instances.
 */
#include <glib.h>
#include <math.h>
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

/* Activity reports come several times a second; an instance without one for
 * this long has stopped or has no requests left. */
enum { ACTIVITY_EXPIRY_MS = 4000 };

/* Time constant of the request rate's exponential decay: demand changes within
 * seconds, and a busy model gets several requests a second. */
static const double RATE_DECAY_MS = 4000.0;

/**
 * plan_demand() - demand for an item, created when it is unknown
 * @plan: the plan
 * @item: quark of a model or adapter
 *
 * Return: never NULL; owned by the plan.
 */
struct item_demand *
plan_demand(struct plan *plan, uint32_t item)
{
    void *key = GUINT_TO_POINTER(item);
    struct item_demand *found = g_hash_table_lookup(plan->items, key);

    if (found == NULL) {
        found = g_new0(struct item_demand, 1);
        found->item = item;
        g_hash_table_insert(plan->items, key, found);
    }
    return found;
}

/**
 * item_request_rate() - recent request rate of an item
 * @demand: the item's demand
 * @now_ms: current time
 *
 * Return: requests per second, as an exponentially decaying average.
 */
double
item_request_rate(const struct item_demand *demand, int64_t now_ms)
{
    return demand->requests_per_s *
           exp(-(double)(now_ms - demand->rate_updated_ms) / RATE_DECAY_MS);
}

/**
 * item_waited_ms() - how long requests have waited for an item without pause
 * @demand: the item's demand
 * @now_ms: current time
 */
int64_t
item_waited_ms(const struct item_demand *demand, int64_t now_ms)
{
    return demand->waiting > 0 && demand->waiting_since_ms != 0
               ? now_ms - demand->waiting_since_ms
               : 0;
}

/**
 * item_is_starved() - whether requests have waited too long for an item that
 *                     no engine holds
 * @demand: the item's demand
 * @now_ms: current time
 */
bool
item_is_starved(const struct item_demand *demand, int64_t now_ms)
{
    return demand->copies.held == 0 &&
           item_waited_ms(demand, now_ms) >= STARVED_MS;
}

static void
add_rate(struct item_demand *demand, int arrived, int64_t now_ms)
{
    demand->requests_per_s =
        item_request_rate(demand, now_ms) + arrived * 1000.0 / RATE_DECAY_MS;
    demand->rate_updated_ms = now_ms;
}

/* Adds (sign 1) or subtracts (-1) the counts of an activity report. Requests
 * for an adapter run on its model, too. */
static void
add_counts(struct plan *plan, const struct item_activity *activity, int sign)
{
    struct item_demand *demand = plan_demand(plan, activity->item);
    uint32_t model = item_model(activity->item);

    demand->waiting += sign * activity->waiting;
    demand->running += sign * activity->running;
    if (model != activity->item && model != 0) {
        plan_demand(plan, model)->running += sign * activity->running;
    }
}

static void
record_arrivals(struct plan *plan, const struct item_activity *activity,
                int64_t now_ms)
{
    struct item_demand *demand = plan_demand(plan, activity->item);
    uint32_t model = item_model(activity->item);

    add_rate(demand, activity->arrived, now_ms);
    demand->last_request_ms = now_ms;
    if (model != activity->item && model != 0) {
        plan_demand(plan, model)->last_request_ms = now_ms;
        add_rate(plan_demand(plan, model), activity->arrived, now_ms);
    }
    if (demand->waiting > 0 && demand->waiting_since_ms == 0) {
        demand->waiting_since_ms = now_ms - activity->oldest_wait_ms;
    }
}

static void
clear_waiting_since(struct plan *plan)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct item_demand *demand = value;

        if (demand->waiting <= 0) {
            demand->waiting_since_ms = 0;
        }
    }
}

static void
update_running(struct plan *plan)
{
    GHashTable *sums = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->activities);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct activity_report *activity = value;

        for (int i = 0; i < activity->target_count; i++) {
            int sum = GPOINTER_TO_INT(
                g_hash_table_lookup(sums, &activity->targets[i].target_hash));

            g_hash_table_insert(
                sums, &activity->targets[i].target_hash,
                GINT_TO_POINTER(sum + activity->targets[i].running));
        }
    }
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;
        uint64_t id = hash_text(engine->info.id);

        engine->running = GPOINTER_TO_INT(g_hash_table_lookup(sums, &id));
    }
    g_hash_table_destroy(sums);
}

static void
subtract_counts(struct plan *plan, const struct activity_report *activity)
{
    for (int i = 0; i < activity->item_count; i++) {
        add_counts(plan, &activity->items[i], -1);
    }
}

/**
 * plan_expire_activities() - drop the counts of instances that stopped
 *                            reporting
 * @plan: the plan
 * @now_ms: current time
 */
void
plan_expire_activities(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    bool expired = false;

    g_hash_table_iter_init(&iter, plan->activities);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct activity_report *activity = value;

        if (now_ms - activity->received_ms > ACTIVITY_EXPIRY_MS) {
            log_line(LOG_PRI_INFO, "place",
                     "event=note_forgotten instance=%016" G_GINT64_MODIFIER
                     "x items=%d",
                     activity->instance, activity->item_count);
            subtract_counts(plan, activity);
            g_hash_table_iter_remove(&iter);
            expired = true;
        }
    }
    if (expired) {
        clear_waiting_since(plan);
        update_running(plan);
    }
}

/**
 * plan_apply_activity() - replace an instance's activity report
 * @plan: the plan
 * @activity: ownership is taken
 * @now_ms: current time
 */
void
plan_apply_activity(struct plan *plan, struct activity_report *activity,
                    int64_t now_ms)
{
    struct activity_report *previous =
        g_hash_table_lookup(plan->activities, &activity->instance);

    activity->received_ms = now_ms;
    if (previous != NULL) {
        subtract_counts(plan, previous);
    }
    for (int i = 0; i < activity->item_count; i++) {
        add_counts(plan, &activity->items[i], 1);
    }
    for (int i = 0; i < activity->item_count; i++) {
        record_arrivals(plan, &activity->items[i], now_ms);
    }
    g_hash_table_insert(
        plan->activities,
        g_memdup2(&activity->instance, sizeof(activity->instance)), activity);
    clear_waiting_since(plan);
    update_running(plan);
}
