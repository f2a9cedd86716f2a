/**
 * DOC: What is asked for, summed over the instances.
 */
#include <glib.h>
#include <math.h>
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

/* Notes come several times a second; an instance that is silent for as long
 * has stopped, or its requests have ended. */
enum { ACTIVITY_EXPIRY_MS = 4000 };

/* Demand moves within seconds, and a busy model is asked for several times a
 * second. */
static const double RATE_DECAY_MS = 4000.0;

/**
 * plan_item() - requests for an item
 * @plan: the plan
 * @item: quark of a model or adapter
 *
 * Return: never NULL; it stays the plan's.
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
 * item_request_rate() - how often an item was asked for lately
 * @item: the item
 * @now_ms: present time
 *
 * Return: requests a second.
 */
double
item_request_rate(const struct item_demand *item, int64_t now_ms)
{
    return item->requests_per_s *
           exp(-(double)(now_ms - item->rate_updated_ms) / RATE_DECAY_MS);
}

static void
add_rate(struct item_demand *item, int arrived, int64_t now_ms)
{
    item->requests_per_s =
        item_request_rate(item, now_ms) + arrived * 1000.0 / RATE_DECAY_MS;
    item->rate_updated_ms = now_ms;
}

/* Adds or takes back what an instance told; a model is used by the requests
 * for its adapters, too. */
static void
add_counts(struct plan *plan, const struct item_activity *note, int sign)
{
    struct item_demand *item = plan_demand(plan, note->item);
    uint32_t model = item_model(note->item);

    item->waiting += sign * note->waiting;
    item->running += sign * note->running;
    if (model != note->item && model != 0) {
        plan_demand(plan, model)->running += sign * note->running;
    }
}

static void
record_arrivals(struct plan *plan, const struct item_activity *note,
                int64_t now_ms)
{
    struct item_demand *item = plan_demand(plan, note->item);
    uint32_t model = item_model(note->item);

    add_rate(item, note->arrived, now_ms);
    item->last_request_ms = now_ms;
    if (model != note->item && model != 0) {
        plan_demand(plan, model)->last_request_ms = now_ms;
        add_rate(plan_demand(plan, model), note->arrived, now_ms);
    }
    if (item->waiting > 0 && item->waiting_since_ms == 0) {
        item->waiting_since_ms = now_ms - note->oldest_ms;
    }
}

static void
clear_waiting_since(struct plan *plan)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct item_demand *item = value;

        if (item->waiting <= 0) {
            item->waiting_since_ms = 0;
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
        const struct activity *note = value;

        for (int i = 0; i < note->target_count; i++) {
            int sum = GPOINTER_TO_INT(
                g_hash_table_lookup(sums, &note->targets[i].target));

            g_hash_table_insert(
                sums, &note->targets[i].target,
                GINT_TO_POINTER(sum + note->targets[i].running));
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
subtract_counts(struct plan *plan, const struct activity *activity)
{
    for (int i = 0; i < activity->item_count; i++) {
        add_counts(plan, &activity->items[i], -1);
    }
}

/**
 * plan_expire_activities() - forget what silent instances told
 * @plan: the plan
 * @now_ms: present time
 */
void
plan_expire_activities(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    bool forgotten = false;

    g_hash_table_iter_init(&iter, plan->activities);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct activity *activity = value;

        if (now_ms - activity->heard_ms > ACTIVITY_EXPIRY_MS) {
            log_line(LOG_PRI_INFO, "place",
                     "event=note_forgotten instance=%016" G_GINT64_MODIFIER
                     "x items=%d",
                     activity->instance, activity->item_count);
            subtract_counts(plan, activity);
            g_hash_table_iter_remove(&iter);
            forgotten = true;
        }
    }
    if (forgotten) {
        clear_waiting_since(plan);
        update_running(plan);
    }
}

/**
 * plan_apply_activity() - an instance tells of its requests
 * @plan: the plan
 * @activity: taken over
 * @now_ms: present time
 */
void
plan_apply_activity(struct plan *plan, struct activity *activity,
                    int64_t now_ms)
{
    struct activity *before =
        g_hash_table_lookup(plan->activities, &activity->instance);

    activity->heard_ms = now_ms;
    if (before != NULL) {
        subtract_counts(plan, before);
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
