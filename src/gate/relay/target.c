/**
 * DOC: Targets and what this instance knows of them.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

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

/* Others tell their counts several times a second; an instance that has not
 * been heard for this long has stopped, or can't reach us. */
enum {
    LOAD_OLD_MS = 3000,
    /* Beyond it, an instance is none of those that share a budget; the largest
     * number of them counts for a window more. */
    LOAD_FORGET_MS = 10000,
    /* Sums come several times a second; notes that are heard beside them are
     * those of instances that the holder does not reach. */
    SUM_OLD_MS = 1200,
    /* The holder of orders tells more than entries, which a slow store hands
     * over late; after this time there may be no holder. */
    HOLDINGS_MS = 5000,
};

/**
 * target_find() - target by id
 * @relay: the relay
 * @id: its id
 *
 * Return: the target, or NULL.
 */
struct relay_target *
target_find(struct relay *relay, const char *id)
{
    struct handle *handle = g_hash_table_lookup(relay->target_ids, id);

    return handle != NULL ? table_get(&relay->targets, *handle) : NULL;
}

/**
 * target_pick() - the best target for a request
 * @relay: the relay
 * @need: what the request needs
 * @now_ms: present time
 *
 * Return: NULL when no target can take it at present.
 */
struct relay_target *
target_pick(struct relay *relay, const struct request_needs *need,
            int64_t now_ms)
{
    struct relay_target *best = NULL;
    struct relay_target *target;
    double best_cost = 0.0;
    uint32_t cursor = 0;

    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        double cost;

        if (!target_can_serve(&target->choose, need) ||
            now_ms < target->choose.health.backoff_until_ms ||
            !target_has_capacity(&target->choose)) {
            continue;
        }
        cost = target_cost(&target->choose, need, now_ms);
        if (best == NULL || cost < best_cost) {
            best = target;
            best_cost = cost;
        }
    }
    return best;
}

/**
 * target_any() - whether some target could serve a request, busy or not
 * @relay: the relay
 * @need: what the request needs
 */
bool
target_any(struct relay *relay, const struct request_needs *need)
{
    struct relay_target *target;
    uint32_t cursor = 0;

    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        if (target_can_serve(&target->choose, need)) {
            return true;
        }
    }
    return false;
}

static struct relay_target *
add(struct relay *relay, const struct target_info *info)
{
    struct handle handle;
    struct err err = {0};
    struct relay_target *target = table_alloc(&relay->targets, &handle, &err);

    if (target == NULL) {
        log_line(LOG_PRI_ERR, "relay", "event=target_left_out target=%s %s",
                 info->id, err.text);
        return NULL;
    }
    target->self = handle;
    target->idle = g_array_new(FALSE, FALSE, sizeof(struct handle));
    target->id_hash = hash_text(info->id);
    g_hash_table_insert(relay->target_ids, g_strdup(info->id),
                        g_memdup2(&handle, sizeof(handle)));
    g_hash_table_insert(relay->target_hashes,
                        g_memdup2(&target->id_hash, sizeof(target->id_hash)),
                        g_memdup2(&handle, sizeof(handle)));
    return target;
}

static void
drop_idle(struct relay *relay, struct relay_target *target)
{
    while (target->idle->len > 0) {
        struct handle handle = g_array_index(target->idle, struct handle, 0);

        upstream_drop(relay, table_get(&relay->upstreams, handle));
    }
}

/* Requests that run at the target go on: it may serve them to their end. */
static void
forget(struct relay *relay, struct relay_target *target)
{
    drop_idle(relay, target);
    g_array_free(target->idle, TRUE);
    g_hash_table_remove(relay->target_ids, target->choose.info.id);
    g_hash_table_remove(relay->target_hashes, &target->id_hash);
    table_free(&relay->targets, target->self);
}

static void
restarted(struct relay *relay, struct relay_target *target)
{
    drop_idle(relay, target);
    target->orders = 0;
    target->holdings_ms = 0;
    memset(&target->choose.health, 0, sizeof(target->choose.health));
    memset(&target->choose.intervals, 0, sizeof(target->choose.intervals));
}

static void
update(struct relay *relay, const struct target_info *info, int64_t now_ms)
{
    struct relay_target *target = target_find(relay, info->id);
    struct item_set held = info->held;

    if (target == NULL) {
        target = add(relay, info);
    }
    else if (target->choose.info.started_ms != info->started_ms ||
             strcmp(target->choose.info.address, info->address) != 0) {
        restarted(relay, target);
    }
    else if (target->holdings_ms != 0 &&
             now_ms - target->holdings_ms < HOLDINGS_MS) {
        /* What the holder of orders told is newer than the entry. */
        held = target->choose.info.held;
    }
    if (target == NULL) {
        return;
    }
    target->choose.info = *info;
    target->choose.info.held = held;
    target->choose.missing = false;
    if (info->draining) {
        drop_idle(relay, target);
    }
    queue_wake_target(relay, target);
}

static const char *const change_names[] = {
    [TARGET_CHANGED] = "target_changed",
    [TARGET_MISSING] = "target_missing",
    [TARGET_GONE] = "target_gone",
};

/**
 * target_change() - the list of targets has changed
 * @relay: the relay
 * @change: the change
 * @now_ms: present time
 */
void
target_change(struct relay *relay, const struct target_change *change,
              int64_t now_ms)
{
    struct relay_target *target = target_find(relay, change->info.id);

    log_line(LOG_PRI_INFO, "relay",
             "event=%s target=%s service=%s address=%s leaving=%d "
             "born_ms=%" G_GINT64_FORMAT " held=%d running=%d",
             change_names[change->kind], change->info.id, change->info.service,
             change->info.address, change->info.draining,
             (gint64)change->info.started_ms, change->info.held.count,
             target != NULL ? target->choose.running : 0);
    switch (change->kind) {
    case TARGET_CHANGED:
        update(relay, &change->info, now_ms);
        break;
    case TARGET_MISSING:
        update(relay, &change->info, now_ms);
        target = target_find(relay, change->info.id);
        if (target != NULL) {
            target->choose.missing = true;
        }
        break;
    case TARGET_GONE:
        if (target != NULL) {
            forget(relay, target);
        }
        break;
    }
}

/**
 * target_holdings() - the holder of orders tells what a target holds
 * @relay: the relay
 * @holdings: what it holds
 * @now_ms: present time
 */
void
target_holdings(struct relay *relay, const struct holdings *holdings,
                int64_t now_ms)
{
    struct relay_target *target = target_find(relay, holdings->target);

    if (target == NULL ||
        target->choose.info.started_ms != holdings->born_ms ||
        holdings->sequence < target->orders) {
        return;
    }
    target->orders = holdings->sequence;
    target->holdings_ms = now_ms;
    target->choose.info.held = holdings->held;
    log_line(LOG_PRI_INFO, "relay",
             "event=holdings target=%s sequence=%" G_GINT64_FORMAT " held=%d",
             holdings->target, (gint64)holdings->sequence,
             holdings->held.count);
    queue_wake_target(relay, target);
}

static void
set_elsewhere(struct relay *relay, struct relay_target *target, int count)
{
    bool less = count < target->choose.running_elsewhere;

    target->choose.running_elsewhere = count;
    if (less) {
        queue_wake_target(relay, target);
    }
}

static void
sum_loads(struct relay *relay, int64_t now_ms)
{
    struct relay_target *target;
    uint32_t cursor = 0;
    GHashTable *sums = g_hash_table_new(g_int64_hash, g_int64_equal);
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, relay->loads);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer_load *load = value;

        if (now_ms - load->heard_ms > LOAD_OLD_MS) {
            continue;
        }
        for (int i = 0; i < load->activity->target_count; i++) {
            struct target_activity *item = &load->activity->targets[i];
            int sum =
                GPOINTER_TO_INT(g_hash_table_lookup(sums, &item->target));

            g_hash_table_insert(sums, &item->target,
                                GINT_TO_POINTER(sum + item->running));
        }
    }
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        set_elsewhere(
            relay, target,
            GPOINTER_TO_INT(g_hash_table_lookup(sums, &target->id_hash)));
    }
    g_hash_table_destroy(sums);
}

static gboolean
is_forgotten(void *key, void *value, void *now_ms)
{
    (void)key;
    return *(const int64_t *)now_ms - ((struct peer_load *)value)->heard_ms >
           LOAD_FORGET_MS;
}

/**
 * target_forget_loads() - forget what instances told that are gone
 * @relay: the relay
 * @now_ms: present time
 */
void
target_forget_loads(struct relay *relay, int64_t now_ms)
{
    g_hash_table_foreach_remove(relay->loads, is_forgotten, &now_ms);
    if (now_ms - relay->sum_ms > LOAD_FORGET_MS) {
        relay->sum_instances = 0;
    }
}

static void
learn_paces(struct relay *relay, const struct activity *activity,
            int64_t now_ms)
{
    for (int i = 0; i < activity->target_count; i++) {
        const struct target_activity *item = &activity->targets[i];
        const struct handle *handle =
            g_hash_table_lookup(relay->target_hashes, &item->target);
        struct relay_target *target =
            handle != NULL ? table_get(&relay->targets, *handle) : NULL;

        if (target != NULL && item->pauses > 0) {
            event_intervals_add(&target->choose.intervals, item->pauses,
                                item->pause_ms, now_ms);
            target->heard_pauses += item->pauses;
            target->heard_pause_ms += item->pause_ms;
        }
    }
}

/**
 * target_activity() - another instance tells of its requests
 * @relay: the relay
 * @activity: taken over
 * @now_ms: present time
 */
void
target_activity(struct relay *relay, struct activity *activity, int64_t now_ms)
{
    struct peer_load *load =
        g_hash_table_lookup(relay->loads, &activity->instance);

    if (load == NULL) {
        load = g_new0(struct peer_load, 1);
        g_hash_table_insert(
            relay->loads,
            g_memdup2(&activity->instance, sizeof(activity->instance)), load);
    }
    learn_paces(relay, activity, now_ms);
    activity_free(load->activity);
    load->activity = activity;
    load->heard_ms = now_ms;
    if (now_ms - relay->sum_ms > SUM_OLD_MS) {
        sum_loads(relay, now_ms);
    }
}

/**
 * target_sum() - the holder of orders tells the requests of all instances
 * @relay: the relay
 * @activity: with sums only; released
 * @now_ms: present time
 *
 * The sum has this instance's requests as it last told them, and its pauses,
 * which weigh twice then.
 */
void
target_sum(struct relay *relay, struct activity *activity, int64_t now_ms)
{
    GHashTable *sums = g_hash_table_new(g_int64_hash, g_int64_equal);
    struct relay_target *target;
    uint32_t cursor = 0;

    relay->sum_ms = now_ms;
    relay->sum_instances = activity->instances;
    for (int i = 0; i < activity->sum_count; i++) {
        g_hash_table_insert(sums, &activity->sums[i].target,
                            &activity->sums[i]);
    }
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        const struct target_activity *sum =
            g_hash_table_lookup(sums, &target->id_hash);

        set_elsewhere(relay, target,
                      sum != NULL ? MAX(sum->running - target->told, 0) : 0);
        if (sum != NULL && sum->pauses > 0) {
            event_intervals_add(&target->choose.intervals, sum->pauses,
                                sum->pause_ms, now_ms);
        }
    }
    g_hash_table_destroy(sums);
    activity_free(activity);
}
