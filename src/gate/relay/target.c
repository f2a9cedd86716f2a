/**
 * DOC: Targets, and what this instance knows of their load.
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
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* Reports arrive several times a second; an instance without one for this long
 * has stopped or can't reach this one. */
enum {
    REPORT_STALE_MS = 3000,
    /* After this time an instance no longer counts as sharing the retry
     * budget; their largest number still counts for one more window. */
    REPORT_EXPIRY_MS = 10000,
    /* Totals arrive several times a second. While they do, reports come only
     * from instances that the holder doesn't reach, and are not added up. */
    TOTAL_STALE_MS = 1200,
    /* Holdings from the holder are newer than the targets' entries, which a
     * slow store delivers late; after this time there may be no holder. */
    HOLDINGS_STALE_MS = 5000,
};

/**
 * target_find() - find a target by its id
 * @relay: the relay
 * @id: the id
 *
 * Return: the target, or NULL.
 */
struct relay_target *
target_find(struct relay *relay, const char *id)
{
    struct handle *handle = g_hash_table_lookup(relay->target_ids, id);

    return handle != NULL ? table_get(&relay->targets, *handle) : NULL;
}

/* Instances whose reports are fresh, with this one. */
static int
count_heard(const struct relay *relay, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;
    int heard = 1;

    g_hash_table_iter_init(&iter, relay->peer_reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct peer_report *peer = value;

        heard += now_ms - peer->received_ms <= REPORT_STALE_MS ? 1 : 0;
    }
    /* A new holder's totals or the others' reports come a moment after the
     * last total of the former holder has become stale. */
    return now_ms - relay->total_received_ms <= REPORT_STALE_MS
               ? MAX(heard, relay->total_instance_count)
               : heard;
}

static bool
has_memory(const struct relay_target *target,
           const struct request_needs *needs, const struct token_view *fleet)
{
    struct token_view view = *fleet;

    view.unreported = target->record.tokens - target->known_tokens;
    return target_memory_admits(&target->record, needs, &view);
}

/**
 * target_fleet() - what is known of other instances, for target_passes()
 * @relay: the relay
 * @needs: what the request needs
 * @now_ms: current time
 */
struct token_view
target_fleet(const struct relay *relay, const struct request_needs *needs,
             int64_t now_ms)
{
    struct token_view fleet = {0};

    if (needs->token_capacity > 0) {
        fleet.heard = count_heard(relay, now_ms);
        fleet.instances = MAX(fleet.heard, (int)relay->members->len);
    }
    return fleet;
}

/**
 * target_passes() - whether a target passes one test of target_select()
 * @target: the target
 * @test: the test
 * @needs: what the request needs
 * @fleet: from target_fleet()
 * @now_ms: current time
 */
bool
target_passes(const struct relay_target *target, enum target_test test,
              const struct request_needs *needs,
              const struct token_view *fleet, int64_t now_ms)
{
    const struct target_record *record = &target->record;

    switch (test) {
    case TEST_SERVES:
        return target_can_serve(record, needs);
    case TEST_BACKOFF:
        return now_ms >= record->health.backoff_until_ms;
    case TEST_CAPACITY:
        return target_has_capacity(record, needs);
    case TEST_MEMORY:
        return has_memory(target, needs, fleet);
    case TEST_PAUSE:
        return pause_admits(record, now_ms);
    case TEST_HOLD_OFF:
        return !target_holds_off(record, needs, now_ms);
    case TARGET_TEST_COUNT:
        break;
    }
    return false;
}

static bool
passes_all(const struct relay_target *target,
           const struct request_needs *needs, const struct token_view *fleet,
           int64_t now_ms)
{
    int test = 0;

    while (
        test < TARGET_TEST_COUNT &&
        target_passes(target, (enum target_test)test, needs, fleet, now_ms)) {
        test++;
    }
    return test == TARGET_TEST_COUNT;
}

/**
 * target_select() - select the target with the lowest cost for a request
 * @relay: the relay
 * @needs: what the request needs
 * @now_ms: current time
 *
 * Return: the target; NULL when none can take the request now.
 */
struct relay_target *
target_select(struct relay *relay, const struct request_needs *needs,
              int64_t now_ms)
{
    struct relay_target *best = NULL;
    struct relay_target *target;
    struct token_view fleet = target_fleet(relay, needs, now_ms);
    double best_cost = 0.0;
    uint32_t cursor = 0;

    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        double cost;

        if (!passes_all(target, needs, &fleet, now_ms)) {
            continue;
        }
        cost = target_cost(&target->record, needs, now_ms);
        if (best == NULL || cost < best_cost) {
            best = target;
            best_cost = cost;
        }
    }
    return best;
}

/**
 * target_least_late_share() - share of answers like a request's that would not
 *                             end in time at the best target
 * @relay: the relay
 * @needs: what the request needs
 * @now_ms: current time
 *
 * Return: from 0 to 1, of the targets that hold what it needs, busy or not; -1
 * when it is unknown.
 */
double
target_least_late_share(struct relay *relay, const struct request_needs *needs,
                        int64_t now_ms)
{
    struct relay_target *target;
    uint32_t cursor = 0;
    double least = 2.0;

    if (needs->finish.events_max <= 0.0) {
        return -1.0;
    }
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        if (target_can_serve(&target->record, needs)) {
            least =
                MIN(least, target_late_share(&target->record, needs, now_ms));
        }
    }
    return least <= 1.0 ? least : -1.0;
}

/**
 * target_exists_for() - whether any target, busy or not, can serve a request
 * @relay: the relay
 * @needs: what the request needs
 * @now_ms: current time
 */
bool
target_exists_for(struct relay *relay, const struct request_needs *needs,
                  int64_t now_ms)
{
    struct relay_target *target;
    uint32_t cursor = 0;

    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        if (target_can_serve(&target->record, needs) &&
            target_memory_fits(needs) &&
            !pause_holds(&target->record.pause, now_ms)) {
            return true;
        }
    }
    return false;
}

static struct relay_target *
add_target(struct relay *relay, const struct target_info *info)
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

/**
 * target_close_idle() - close the idle connections to a target
 * @relay: the relay
 * @target: the target
 */
void
target_close_idle(struct relay *relay, struct relay_target *target)
{
    while (target->idle->len > 0) {
        struct handle handle = g_array_index(target->idle, struct handle, 0);

        upstream_close(relay, table_get(&relay->upstreams, handle));
    }
}

/* Requests that run at the target continue: it may still complete them. */
static void
remove_target(struct relay *relay, struct relay_target *target)
{
    target_close_idle(relay, target);
    g_array_free(target->idle, TRUE);
    g_hash_table_remove(relay->target_ids, target->record.info.id);
    g_hash_table_remove(relay->target_hashes, &target->id_hash);
    table_free(&relay->targets, target->self);
}

static void
reset_target(struct relay *relay, struct relay_target *target)
{
    target_close_idle(relay, target);
    target->order_sequence = 0;
    target->holdings_received_ms = 0;
    target->doubt_ms = 0;
    memset(&target->record.health, 0, sizeof(target->record.health));
    memset(&target->record.intervals, 0, sizeof(target->record.intervals));
}

static void
update_target(struct relay *relay, const struct target_info *info,
              int64_t now_ms)
{
    struct relay_target *target = target_find(relay, info->id);
    struct item_set held = info->held;

    if (target == NULL) {
        target = add_target(relay, info);
    }
    else if (target->record.info.started_ms != info->started_ms ||
             strcmp(target->record.info.address, info->address) != 0) {
        crash_target_restarted(relay, target, now_ms);
        reset_target(relay, target);
    }
    else if (target->holdings_received_ms != 0 &&
             now_ms - target->holdings_received_ms < HOLDINGS_STALE_MS) {
        /* The last holdings are newer than the entry. */
        held = target->record.info.held;
    }
    if (target == NULL) {
        return;
    }
    target->record.info = *info;
    target->record.info.held = held;
    target->record.missing = false;
    leaving_mark(relay, target);
    pause_mark(relay, target);
    if (target_is_leaving(&target->record)) {
        target_close_idle(relay, target);
    }
    queue_mark_target(relay, target);
}

static const char *const change_names[] = {
    [TARGET_CHANGED] = "target_changed",
    [TARGET_MISSING] = "target_missing",
    [TARGET_GONE] = "target_gone",
};

/* Whether a change says something new. Entries are written each few hundred ms
 * also when only their counts have changed. */
static bool
is_news(const struct relay_target *target, const struct target_change *change)
{
    const struct target_info *known =
        target != NULL ? &target->record.info : NULL;
    const struct target_info *info = &change->info;

    return known == NULL || change->kind != TARGET_CHANGED ||
           target->record.missing || known->draining != info->draining ||
           known->started_ms != info->started_ms ||
           known->slots != info->slots ||
           strcmp(known->address, info->address) != 0 ||
           strcmp(known->service, info->service) != 0;
}

static void
log_change(const struct relay_target *target,
           const struct target_change *change)
{
    if (!is_news(target, change)) {
        counter_add(CTR_TARGET_UNCHANGED, 1);
        return;
    }
    log_line(LOG_PRI_INFO, "relay",
             "event=%s target=%s service=%s address=%s leaving=%d "
             "born_ms=%" G_GINT64_FORMAT " held=%d running=%d",
             change_names[change->kind], change->info.id, change->info.service,
             change->info.address, change->info.draining,
             (gint64)change->info.started_ms, change->info.held.count,
             target != NULL ? target->record.running : 0);
}

/**
 * target_apply_change() - apply a change of the list of targets
 * @relay: the relay
 * @change: the change
 * @now_ms: current time
 */
void
target_apply_change(struct relay *relay, const struct target_change *change,
                    int64_t now_ms)
{
    struct relay_target *target = target_find(relay, change->info.id);

    log_change(target, change);
    if (change->kind != TARGET_GONE) {
        leaving_check_entry(relay, &change->info, now_ms);
        pause_check_entry(relay, &change->info, now_ms);
    }
    switch (change->kind) {
    case TARGET_CHANGED:
        update_target(relay, &change->info, now_ms);
        break;
    case TARGET_MISSING:
        update_target(relay, &change->info, now_ms);
        target = target_find(relay, change->info.id);
        if (target != NULL) {
            target->record.missing = true;
        }
        break;
    case TARGET_GONE:
        if (target != NULL) {
            remove_target(relay, target);
        }
        break;
    }
}

/**
 * target_apply_holdings() - apply the holder's view of what a target has
 * loaded
 * @relay: the relay
 * @holdings: the view; ignored when it is older than the last one
 * @now_ms: current time
 */
void
target_apply_holdings(struct relay *relay, const struct holdings *holdings,
                      int64_t now_ms)
{
    struct relay_target *target = target_find(relay, holdings->target);

    if (target == NULL ||
        target->record.info.started_ms != holdings->started_ms ||
        holdings->sequence < target->order_sequence) {
        return;
    }
    target->holdings_received_ms = now_ms;
    if (target->order_sequence == holdings->sequence &&
        item_set_equal(&target->record.info.held, &holdings->held)) {
        counter_add(CTR_HOLDINGS_UNCHANGED, 1);
    }
    else {
        log_line(LOG_PRI_INFO, "relay",
                 "event=holdings target=%s sequence=%" G_GINT64_FORMAT
                 " held=%d",
                 holdings->target, (gint64)holdings->sequence,
                 holdings->held.count);
    }
    target->order_sequence = holdings->sequence;
    target->record.info.held = holdings->held;
    queue_mark_target(relay, target);
}

static void
set_elsewhere(struct relay *relay, struct relay_target *target, int running,
              int64_t tokens)
{
    bool decreased = running < target->record.running_elsewhere ||
                     tokens < target->record.tokens_elsewhere;

    target->record.running_elsewhere = running;
    target->record.tokens_elsewhere = tokens;
    if (decreased) {
        queue_mark_target(relay, target);
    }
}

static bool
is_listed(const struct relay *relay, uint64_t instance)
{
    for (guint i = 0; i < relay->members->len; i++) {
        if (g_array_index(relay->members, struct gate_member, i).id ==
            instance) {
            return true;
        }
    }
    return false;
}

/* An instance that is frozen sends nothing, but its requests are still at the
 * engines. One that has died is listed for a few seconds only. */
static void
add_activity(GHashTable *sums, const struct target_activity *entry, bool stale)
{
    struct target_activity *sum =
        g_hash_table_lookup(sums, &entry->target_hash);

    if (sum == NULL) {
        sum = g_new0(struct target_activity, 1);
        sum->target_hash = entry->target_hash;
        g_hash_table_insert(sums, &sum->target_hash, sum);
    }
    sum->running += stale ? 0 : entry->running;
    sum->tokens += entry->tokens;
}

static void
sum_peer_reports(struct relay *relay, int64_t now_ms)
{
    struct relay_target *target;
    uint32_t cursor = 0;
    GHashTable *sums =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, relay->peer_reports);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct peer_report *peer = value;

        bool stale = now_ms - peer->received_ms > REPORT_STALE_MS;

        if (stale && !is_listed(relay, peer->report->instance)) {
            continue;
        }
        for (int i = 0; i < peer->report->target_count; i++) {
            add_activity(sums, &peer->report->targets[i], stale);
        }
    }
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        const struct target_activity *sum =
            g_hash_table_lookup(sums, &target->id_hash);

        set_elsewhere(relay, target, sum != NULL ? sum->running : 0,
                      sum != NULL ? sum->tokens : 0);
    }
    g_hash_table_destroy(sums);
}

static gboolean
has_expired(void *key, void *value, void *now_ms)
{
    (void)key;
    return *(const int64_t *)now_ms -
               ((struct peer_report *)value)->received_ms >
           REPORT_EXPIRY_MS;
}

/**
 * target_expire_reports() - drop the reports of instances that have stopped
 * @relay: the relay
 * @now_ms: current time
 */
void
target_expire_reports(struct relay *relay, int64_t now_ms)
{
    g_hash_table_foreach_remove(relay->peer_reports, has_expired, &now_ms);
    if (now_ms - relay->total_received_ms > REPORT_EXPIRY_MS) {
        relay->total_instance_count = 0;
    }
}

static void
add_peer_intervals(struct relay *relay, const struct activity_report *report,
                   int64_t now_ms)
{
    for (int i = 0; i < report->target_count; i++) {
        const struct target_activity *entry = &report->targets[i];
        const struct handle *handle =
            g_hash_table_lookup(relay->target_hashes, &entry->target_hash);
        struct relay_target *target =
            handle != NULL ? table_get(&relay->targets, *handle) : NULL;

        if (target != NULL && entry->interval_count > 0) {
            event_intervals_add(&target->record.intervals,
                                entry->interval_count, entry->interval_sum_ms,
                                now_ms);
            target->peer_interval_count += entry->interval_count;
            target->peer_interval_sum_ms += entry->interval_sum_ms;
        }
    }
}

/**
 * target_apply_report() - apply another instance's activity report
 * @relay: the relay
 * @report: takes ownership
 * @now_ms: current time
 */
void
target_apply_report(struct relay *relay, struct activity_report *report,
                    int64_t now_ms)
{
    struct peer_report *peer =
        g_hash_table_lookup(relay->peer_reports, &report->instance);

    if (peer == NULL) {
        peer = g_new0(struct peer_report, 1);
        g_hash_table_insert(
            relay->peer_reports,
            g_memdup2(&report->instance, sizeof(report->instance)), peer);
    }
    add_peer_intervals(relay, report, now_ms);
    activity_report_free(peer->report);
    peer->report = report;
    peer->received_ms = now_ms;
    if (now_ms - relay->total_received_ms > TOTAL_STALE_MS) {
        sum_peer_reports(relay, now_ms);
    }
}

/**
 * target_apply_total() - apply the holder's total over all instances
 * @relay: the relay
 * @total: with @totals only; takes ownership
 * @now_ms: current time
 *
 * The total includes what this instance last reported. Its running requests
 * are subtracted; its event intervals are not, and so count twice.
 */
void
target_apply_total(struct relay *relay, struct activity_report *total,
                   int64_t now_ms)
{
    GHashTable *by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
    struct relay_target *target;
    uint32_t cursor = 0;

    relay->total_received_ms = now_ms;
    relay->total_instance_count = total->instance_count;
    for (int i = 0; i < total->total_count; i++) {
        g_hash_table_insert(by_hash, &total->totals[i].target_hash,
                            &total->totals[i]);
    }
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        const struct target_activity *entry =
            g_hash_table_lookup(by_hash, &target->id_hash);

        set_elsewhere(
            relay, target,
            entry != NULL ? MAX(entry->running - target->reported_running, 0)
                          : 0,
            entry != NULL ? MAX(entry->tokens - target->reported_tokens, 0)
                          : 0);
        if (entry != NULL && entry->interval_count > 0) {
            event_intervals_add(&target->record.intervals,
                                entry->interval_count, entry->interval_sum_ms,
                                now_ms);
        }
    }
    g_hash_table_destroy(by_hash);
    activity_report_free(total);
}
