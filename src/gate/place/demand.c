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
enum { NOTE_OLD_MS = 4000 };

/* Demand moves within seconds, and a busy model is asked for several times a
 * second. */
static const double RATE_MS = 4000.0;

/**
 * plan_item() - requests for an item
 * @plan: the plan
 * @item: quark of a model or adapter
 *
 * Return: never NULL; it stays the plan's.
 */
struct plan_item *
plan_item(struct plan *plan, uint32_t item)
{
    void *key = GUINT_TO_POINTER(item);
    struct plan_item *found = g_hash_table_lookup(plan->items, key);

    if (found == NULL) {
        found = g_new0(struct plan_item, 1);
        found->item = item;
        g_hash_table_insert(plan->items, key, found);
    }
    return found;
}

/**
 * plan_rate() - how often an item was asked for lately
 * @item: the item
 * @now_ms: present time
 *
 * Return: requests a second.
 */
double
plan_rate(const struct plan_item *item, int64_t now_ms)
{
    return item->rate * exp(-(double)(now_ms - item->rate_ms) / RATE_MS);
}

static void
add_rate(struct plan_item *item, int arrived, int64_t now_ms)
{
    item->rate = plan_rate(item, now_ms) + arrived * 1000.0 / RATE_MS;
    item->rate_ms = now_ms;
}

/* Adds or takes back what an instance told; a model is used by the requests
 * for its adapters, too. */
static void
count(struct plan *plan, const struct item_activity *note, int sign)
{
    struct plan_item *item = plan_item(plan, note->item);
    uint32_t model = item_model(note->item);

    item->waiting += sign * note->waiting;
    item->running += sign * note->running;
    if (model != note->item && model != 0) {
        plan_item(plan, model)->running += sign * note->running;
    }
}

static void
touch(struct plan *plan, const struct item_activity *note, int64_t now_ms)
{
    struct plan_item *item = plan_item(plan, note->item);
    uint32_t model = item_model(note->item);

    add_rate(item, note->arrived, now_ms);
    item->used_ms = now_ms;
    if (model != note->item && model != 0) {
        plan_item(plan, model)->used_ms = now_ms;
        add_rate(plan_item(plan, model), note->arrived, now_ms);
    }
    if (item->waiting > 0 && item->wanted_ms == 0) {
        item->wanted_ms = now_ms - note->oldest_wait_ms;
    }
}

static void
end_wants(struct plan *plan)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_item *item = value;

        if (item->waiting <= 0) {
            item->wanted_ms = 0;
        }
    }
}

static void
sum_running(struct plan *plan)
{
    GHashTable *sums = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->notes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct activity_report *note = value;

        for (int i = 0; i < note->target_count; i++) {
            int sum = GPOINTER_TO_INT(
                g_hash_table_lookup(sums, &note->targets[i].target_hash));

            g_hash_table_insert(
                sums, &note->targets[i].target_hash,
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
take_back(struct plan *plan, const struct activity_report *activity)
{
    for (int i = 0; i < activity->item_count; i++) {
        count(plan, &activity->items[i], -1);
    }
}

/**
 * plan_forget_notes() - forget what silent instances told
 * @plan: the plan
 * @now_ms: present time
 */
void
plan_forget_notes(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    bool forgotten = false;

    g_hash_table_iter_init(&iter, plan->notes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct activity_report *activity = value;

        if (now_ms - activity->received_ms > NOTE_OLD_MS) {
            log_line(LOG_PRI_INFO, "place",
                     "event=note_forgotten instance=%016" G_GINT64_MODIFIER
                     "x items=%d",
                     activity->instance, activity->item_count);
            take_back(plan, activity);
            g_hash_table_iter_remove(&iter);
            forgotten = true;
        }
    }
    if (forgotten) {
        end_wants(plan);
        sum_running(plan);
    }
}

/**
 * plan_activity() - an instance tells of its requests
 * @plan: the plan
 * @activity: taken over
 * @now_ms: present time
 */
void
plan_activity(struct plan *plan, struct activity_report *activity,
              int64_t now_ms)
{
    struct activity_report *before =
        g_hash_table_lookup(plan->notes, &activity->instance);

    activity->received_ms = now_ms;
    if (before != NULL) {
        take_back(plan, before);
    }
    for (int i = 0; i < activity->item_count; i++) {
        count(plan, &activity->items[i], 1);
    }
    for (int i = 0; i < activity->item_count; i++) {
        touch(plan, &activity->items[i], now_ms);
    }
    g_hash_table_insert(
        plan->notes,
        g_memdup2(&activity->instance, sizeof(activity->instance)), activity);
    end_wants(plan);
    sum_running(plan);
}
