/**
 * DOC: Notes to other duties and instances on this instance's requests.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

/* Others choose targets by these counts, whose error is what arrives within
 * the interval: a few requests a target. */
enum {
    NOTE_MS = 250,
    NOTE_SOON_MS = 20,
    /* Notes that are summed up reach others in two steps, and are few. */
    NOTE_SUMMED_MS = 150,
};

static uint32_t
item_of(const struct exchange *exchange)
{
    const struct request_needs *need = &exchange->need;

    return need->adapter != 0 ? need->adapter : need->model;
}

/**
 * note_arrival() - count a request for a model
 * @relay: the relay
 * @exchange: the request
 */
void
note_arrival(struct relay *relay, const struct exchange *exchange)
{
    void *key = GUINT_TO_POINTER(item_of(exchange));
    int count = GPOINTER_TO_INT(g_hash_table_lookup(relay->arrivals, key));

    if (key != NULL) {
        g_hash_table_insert(relay->arrivals, key, GINT_TO_POINTER(count + 1));
    }
}

static struct item_activity *
item_at(GHashTable *index, GArray *items, uint32_t item)
{
    void *key = GUINT_TO_POINTER(item);
    guint place = GPOINTER_TO_UINT(g_hash_table_lookup(index, key));

    if (place == 0) {
        struct item_activity activity = {.item = item};

        g_array_append_val(items, activity);
        place = items->len;
        g_hash_table_insert(index, key, GUINT_TO_POINTER(place));
    }
    return &g_array_index(items, struct item_activity, place - 1);
}

static void
add_exchange(GHashTable *index, GArray *items, const struct exchange *exchange,
             int64_t now_ms)
{
    struct item_activity *item;

    if (item_of(exchange) == 0) {
        return;
    }
    item = item_at(index, items, item_of(exchange));
    if (exchange->queued) {
        item->waiting++;
        item->oldest_ms = MAX(item->oldest_ms, now_ms - exchange->arrived_ms);
    }
    else {
        item->running++;
    }
}

static void
fill_items(struct relay *relay, struct activity *activity, int64_t now_ms)
{
    GHashTable *index = g_hash_table_new(NULL, NULL);
    GArray *items = g_array_new(FALSE, FALSE, sizeof(struct item_activity));
    GHashTableIter iter;
    struct exchange *exchange;
    uint32_t cursor = 0;
    void *key;
    void *count;

    g_hash_table_iter_init(&iter, relay->arrivals);
    while (g_hash_table_iter_next(&iter, &key, &count)) {
        item_at(index, items, GPOINTER_TO_UINT(key))->arrived =
            GPOINTER_TO_INT(count);
    }
    g_hash_table_remove_all(relay->arrivals);
    while ((exchange = table_next(&relay->exchanges, &cursor, NULL)) != NULL) {
        add_exchange(index, items, exchange, now_ms);
    }
    g_hash_table_destroy(index);
    activity->item_count = (int)items->len;
    activity->items = (struct item_activity *)g_array_free(items, FALSE);
}

/* The pauses since the last regular note, which starts them anew. */
static void
take_pauses(struct relay_target *target, struct target_activity *item,
            struct target_activity *sum, int64_t now_ms)
{
    item->pauses = target->pauses;
    item->pause_ms = target->pause_ms;
    sum->pauses = target->pauses + target->heard_pauses;
    sum->pause_ms = target->pause_ms + target->heard_pause_ms;
    event_intervals_add(&target->choose.intervals, item->pauses,
                        item->pause_ms, now_ms);
    target->pauses = 0;
    target->pause_ms = 0;
    target->heard_pauses = 0;
    target->heard_pause_ms = 0;
}

static void
fill_targets(struct relay *relay, struct activity *activity, int64_t now_ms)
{
    GArray *targets =
        g_array_new(FALSE, FALSE, sizeof(struct target_activity));
    GArray *sums = g_array_new(FALSE, FALSE, sizeof(struct target_activity));
    struct relay_target *target;
    uint32_t cursor = 0;

    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        struct target_activity item = {.target = target->id_hash,
                                       .running = target->choose.running};
        struct target_activity sum = {.target = target->id_hash,
                                      .running =
                                          target->choose.running +
                                          target->choose.running_elsewhere};

        if (activity->regular) {
            take_pauses(target, &item, &sum, now_ms);
        }
        target->told = item.running;
        if (item.running > 0 || item.pauses > 0) {
            g_array_append_val(targets, item);
        }
        if (sum.running > 0 || sum.pauses > 0) {
            g_array_append_val(sums, sum);
        }
    }
    activity->target_count = (int)targets->len;
    activity->targets = (struct target_activity *)g_array_free(targets, FALSE);
    activity->sum_count = (int)sums->len;
    activity->sums = (struct target_activity *)g_array_free(sums, FALSE);
    activity->instances = relay_heard(relay);
}

static int64_t
usual_note_ms(const struct relay *relay)
{
    return relay->members->len >= SUM_INSTANCES_MIN ? NOTE_SUMMED_MS : NOTE_MS;
}

/**
 * note_send() - tell what this instance has to do, if it is time
 * @relay: the relay
 * @now_ms: present time
 *
 * A request that starts to wait for a model is told at once.
 */
void
note_send(struct relay *relay, int64_t now_ms)
{
    int64_t usual_ms = usual_note_ms(relay);
    int64_t wait_ms = relay->note_now ? NOTE_SOON_MS : usual_ms;
    struct activity *activity;

    if (now_ms - relay->note_ms < wait_ms) {
        return;
    }
    relay->note_ms = now_ms;
    relay->note_now = false;
    activity = activity_new(relay->self_id);
    activity->regular = now_ms - relay->regular_note_ms >= usual_ms;
    if (activity->regular) {
        relay->regular_note_ms = now_ms;
        target_forget_loads(relay, now_ms);
    }
    fill_items(relay, activity, now_ms);
    fill_targets(relay, activity, now_ms);
    relay->port->ops->activity(relay->port, activity);
}
