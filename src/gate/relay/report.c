/**
 * DOC: Activity reports on this instance's requests.
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
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* A report has arrived by then. */
enum { KNOWN_SPAN_MS = 250 };

static uint32_t
needed_item(const struct exchange *exchange)
{
    const struct request_needs *needs = &exchange->needs;

    return needs->adapter != 0 ? needs->adapter : needs->model;
}

/**
 * report_arrival() - count a request for a model or adapter
 * @relay: the relay
 * @exchange: the request
 */
void
report_arrival(struct relay *relay, const struct exchange *exchange)
{
    void *key = GUINT_TO_POINTER(needed_item(exchange));
    int count = GPOINTER_TO_INT(g_hash_table_lookup(relay->arrivals, key));

    if (key != NULL) {
        g_hash_table_insert(relay->arrivals, key, GINT_TO_POINTER(count + 1));
    }
}

static struct item_activity *
find_or_add_item(GHashTable *index, GArray *items, uint32_t item)
{
    void *key = GUINT_TO_POINTER(item);
    guint position = GPOINTER_TO_UINT(g_hash_table_lookup(index, key));

    if (position == 0) {
        struct item_activity item_report = {.item = item};

        g_array_append_val(items, item_report);
        position = items->len;
        g_hash_table_insert(index, key, GUINT_TO_POINTER(position));
    }
    return &g_array_index(items, struct item_activity, position - 1);
}

static void
count_exchange(GHashTable *index, GArray *items,
               const struct exchange *exchange, int64_t now_ms)
{
    struct item_activity *item;

    if (needed_item(exchange) == 0) {
        return;
    }
    item = find_or_add_item(index, items, needed_item(exchange));
    if (exchange->queued) {
        item->waiting++;
        item->oldest_wait_ms =
            MAX(item->oldest_wait_ms, now_ms - exchange->arrived_ms);
    }
    else {
        item->running++;
    }
}

static void
fill_items(struct relay *relay, struct activity_report *report, int64_t now_ms)
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
        find_or_add_item(index, items, GPOINTER_TO_UINT(key))->arrived =
            GPOINTER_TO_INT(count);
    }
    g_hash_table_remove_all(relay->arrivals);
    while ((exchange = table_next(&relay->exchanges, &cursor, NULL)) != NULL) {
        count_exchange(index, items, exchange, now_ms);
    }
    g_hash_table_destroy(index);
    report->item_count = (int)items->len;
    report->items = (struct item_activity *)g_array_free(items, FALSE);
}

/* Moves the event intervals since the last periodic report into this one. */
static void
take_intervals(struct relay_target *target, struct target_activity *own,
               struct target_activity *total, int64_t now_ms)
{
    own->interval_count = target->interval_count;
    own->interval_sum_ms = target->interval_sum_ms;
    total->interval_count =
        target->interval_count + target->peer_interval_count;
    total->interval_sum_ms =
        target->interval_sum_ms + target->peer_interval_sum_ms;
    event_intervals_add(&target->record.intervals, own->interval_count,
                        own->interval_sum_ms, now_ms);
    target->interval_count = 0;
    target->interval_sum_ms = 0;
    target->peer_interval_count = 0;
    target->peer_interval_sum_ms = 0;
}

/* After a request has started to wait, reports follow each other faster than
 * they arrive. */
static void
record_known_tokens(struct relay_target *target, int64_t now_ms)
{
    int64_t tokens = target->record.tokens;

    target->reported_tokens = tokens;
    if (now_ms - target->span_start_ms >= KNOWN_SPAN_MS) {
        target->known_tokens = MIN(target->span_tokens, tokens);
        target->span_tokens = tokens;
        target->span_start_ms = now_ms;
        return;
    }
    target->span_tokens = MIN(target->span_tokens, tokens);
    target->known_tokens = MIN(target->known_tokens, tokens);
}

static void
fill_targets(struct relay *relay, struct activity_report *report,
             int64_t now_ms)
{
    GArray *targets =
        g_array_new(FALSE, FALSE, sizeof(struct target_activity));
    GArray *totals = g_array_new(FALSE, FALSE, sizeof(struct target_activity));
    struct relay_target *target;
    uint32_t cursor = 0;

    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        const struct target_record *record = &target->record;
        struct target_activity own = {.target_hash = target->id_hash,
                                      .running = record->running,
                                      .tokens = record->tokens};
        struct target_activity total = {
            .target_hash = target->id_hash,
            .running = record->running + record->running_elsewhere,
            .tokens = record->tokens + record->tokens_elsewhere,
        };

        if (report->periodic) {
            take_intervals(target, &own, &total, now_ms);
        }
        target->reported_running = own.running;
        record_known_tokens(target, now_ms);
        if (own.running > 0 || own.interval_count > 0) {
            g_array_append_val(targets, own);
        }
        if (total.running > 0 || total.interval_count > 0) {
            g_array_append_val(totals, total);
        }
    }
    report->target_count = (int)targets->len;
    report->targets = (struct target_activity *)g_array_free(targets, FALSE);
    report->total_count = (int)totals->len;
    report->totals = (struct target_activity *)g_array_free(totals, FALSE);
    report->instance_count = relay_reporting_count(relay);
}

/**
 * report_send() - send an activity report, if one is due
 * @relay: the relay
 * @now_ms: current time
 *
 * A report follows soon after a request starts to wait for a target.
 */
void
report_send(struct relay *relay, int64_t now_ms)
{
    struct activity_report *report;

    if (now_ms < report_due_ms(relay)) {
        return;
    }
    relay->last_report_ms = now_ms;
    relay->report_soon = false;
    report = activity_report_new(relay->self_id);
    report->stopping = relay->draining || !team_accepts_keys(relay, now_ms);
    report->periodic =
        now_ms - relay->last_periodic_report_ms >= report_period_ms(relay);
    if (report->periodic) {
        relay->last_periodic_report_ms = now_ms;
        target_expire_reports(relay, now_ms);
    }
    fill_items(relay, report, now_ms);
    fill_targets(relay, report, now_ms);
    relay->port->ops->activity(relay->port, report);
}
