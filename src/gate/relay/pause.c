/**
 * DOC: Pauses of targets, from their answers.
 *
 * They are kept by the target's id, beside the table of targets: a target may
 * be removed from that and come back with an older entry.
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
#include "gate/admit/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    STATUS_UNAVAILABLE = 503,
    /* More targets than an instance knows; beyond it an answer says nothing.
     * A pause ends by itself, so that there is room again. */
    PAUSES_MAX = 8192,
};

/**
 * pause_mark() - set the pause of a target
 * @relay: the relay
 * @target: the target
 */
void
pause_mark(struct relay *relay, struct relay_target *target)
{
    const struct pause_notice *notice =
        g_hash_table_lookup(relay->pauses, target->record.info.id);

    target->record.pause =
        notice != NULL ? notice->pause : (struct target_pause){0};
}

static void
log_end(struct pause_notice *notice, const char *source, int64_t now_ms)
{
    notice->ended = true;
    counter_add(CTR_TARGET_PAUSES_ENDED, 1);
    log_line(LOG_PRI_INFO, "relay",
             "event=target_pause_ended target=%s source=%s "
             "age_ms=%" G_GINT64_FORMAT,
             notice->target.id, source,
             (gint64)(now_ms - notice->pause.since_ms));
}

static struct pause_notice *
find_or_add(struct relay *relay, const struct target_identity *target)
{
    struct pause_notice *notice =
        g_hash_table_lookup(relay->pauses, target->id);

    if (notice == NULL && g_hash_table_size(relay->pauses) < PAUSES_MAX) {
        notice = g_new0(struct pause_notice, 1);
        notice->target = *target;
        g_hash_table_insert(relay->pauses, notice->target.id, notice);
    }
    return notice;
}

static void
begin(struct relay *relay, const struct exchange *exchange,
      const struct target_identity *identity, int64_t pause_ms, int64_t now_ms)
{
    struct pause_notice *notice = find_or_add(relay, identity);
    struct relay_target *target = target_find(relay, identity->id);

    log_line(notice != NULL ? LOG_PRI_INFO : LOG_PRI_WARNING, "relay",
             "event=target_paused target=%s address=%s source=answer id=%s "
             "for_ms=%" G_GINT64_FORMAT " replaces=%d stored=%d",
             identity->id, identity->address, exchange->meta.attempt_id,
             (gint64)pause_ms,
             notice != NULL && notice->pause.since_ms != 0 && !notice->ended,
             notice != NULL);
    if (notice == NULL) {
        return;
    }
    counter_add(CTR_TARGET_PAUSES, 1);
    notice->pause.since_ms = now_ms;
    notice->pause.until_ms = now_ms + pause_ms;
    notice->ended = false;
    relay->port->ops->paused(relay->port, identity->id,
                             notice->pause.until_ms);
    if (target != NULL) {
        pause_mark(relay, target);
    }
    if (relay->pause_due_ms == 0 ||
        notice->pause.until_ms < relay->pause_due_ms) {
        relay->pause_due_ms = notice->pause.until_ms;
    }
}

/* The target takes requests at once, whatever it has said before. */
static void
withdraw(struct relay *relay, const char *id, int64_t now_ms)
{
    struct pause_notice *notice = g_hash_table_lookup(relay->pauses, id);
    struct relay_target *target = target_find(relay, id);

    if (notice == NULL) {
        return;
    }
    if (!notice->ended) {
        log_end(notice, "answer", now_ms);
    }
    relay->port->ops->paused(relay->port, id, now_ms);
    g_hash_table_remove(relay->pauses, id);
    if (target != NULL) {
        pause_mark(relay, target);
        queue_mark_target(relay, target);
    }
}

/**
 * pause_read_answer() - learn from an answer how long its target wants no
 *                       requests
 * @relay: the relay
 * @exchange: the request that it answers
 * @upstream: the connection with the head
 * @now_ms: current time
 */
void
pause_read_answer(struct relay *relay, const struct exchange *exchange,
                  const struct upstream *upstream, int64_t now_ms)
{
    const struct answer_meta *meta = &upstream->meta;
    struct target_identity target;

    if (upstream->parser.status_code != STATUS_UNAVAILABLE) {
        return;
    }
    target = target_that_answers(relay, upstream);
    if (meta->pause_invalid) {
        log_line(LOG_PRI_WARNING, "relay",
                 "event=target_pause_ignored target=%s id=%s "
                 "reason=\"no seconds from 0 to %d\"",
                 target.id, exchange->meta.attempt_id,
                 TARGET_PAUSE_MAX_MS / 1000);
    }
    else if (meta->has_pause && meta->pause_ms == 0) {
        withdraw(relay, target.id, now_ms);
    }
    else if (meta->has_pause) {
        begin(relay, exchange, &target, meta->pause_ms, now_ms);
    }
}

/**
 * pause_check_entry() - end the pause of a target that has started again
 * @relay: the relay
 * @entry: an entry, new or old
 * @now_ms: current time
 */
void
pause_check_entry(struct relay *relay, const struct target_info *entry,
                  int64_t now_ms)
{
    struct pause_notice *notice =
        g_hash_table_lookup(relay->pauses, entry->id);

    if (notice == NULL) {
        return;
    }
    if (notice->target.started_ms == TARGET_START_UNKNOWN) {
        notice->target.started_ms = entry->started_ms;
    }
    if (entry->started_ms > notice->target.started_ms) {
        log_end(notice, "restarted", now_ms);
        relay->port->ops->paused(relay->port, entry->id, now_ms);
        g_hash_table_remove(relay->pauses, entry->id);
    }
}

/**
 * pause_learnt_since() - whether the target of a new connection has paused
 * @relay: the relay
 * @upstream: the connection, which has just been established
 * @now_ms: current time
 */
bool
pause_learnt_since(struct relay *relay, const struct upstream *upstream,
                   int64_t now_ms)
{
    const struct pause_notice *notice =
        g_hash_table_lookup(relay->pauses, upstream->peer.id);

    return notice != NULL && pause_holds(&notice->pause, now_ms);
}

/**
 * pause_add_facts() - what the pauses of targets mean for a request's wait
 * @relay: the relay
 * @exchange: the request
 * @facts: filled in when all suitable targets are paused
 * @now_ms: current time
 */
void
pause_add_facts(struct relay *relay, const struct exchange *exchange,
                struct wait_facts *facts, int64_t now_ms)
{
    struct request_needs needs = exchange->needs;
    const struct relay_target *target;
    uint32_t cursor = 0;
    double places_per_ms = 0;
    int64_t until_ms = INT64_MAX;

    if (g_hash_table_size(relay->pauses) == 0) {
        return;
    }
    /* Targets that were tried are tried again after some time. */
    needs.tried_count = 0;
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        if (!target_can_serve(&target->record, &needs)) {
            continue;
        }
        if (pause_is_over(&target->record.pause, now_ms)) {
            return;
        }
        until_ms = MIN(until_ms, target->record.pause.until_ms);
        places_per_ms +=
            1.0 / (double)pause_place_interval_ms(&target->record);
    }
    if (until_ms != INT64_MAX) {
        facts->all_paused = true;
        facts->paused_ms = MAX(until_ms - now_ms, 0);
        facts->place_interval_ms = (int64_t)(1.0 / places_per_ms);
    }
}

/* Returns when the notice is due next; 0 when it can go. */
static int64_t
continue_notice(struct relay *relay, struct pause_notice *notice,
                int64_t now_ms)
{
    struct relay_target *target = target_find(relay, notice->target.id);

    if (pause_holds(&notice->pause, now_ms)) {
        return notice->pause.until_ms;
    }
    if (!notice->ended) {
        log_end(notice, "elapsed", now_ms);
        notice->pause.kept = target != NULL ? target->record.running : 0;
    }
    if (target != NULL) {
        pause_mark(relay, target);
        queue_mark_target(relay, target);
    }
    if (pause_is_over(&notice->pause, now_ms)) {
        return 0;
    }
    return target != NULL ? pause_next_ms(&target->record, now_ms)
                          : notice->pause.until_ms + PAUSE_RETURN_MS;
}

/**
 * pause_work() - let requests return to targets whose pause has ended
 * @relay: the relay
 * @now_ms: current time
 */
void
pause_work(struct relay *relay, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    if (relay->pause_due_ms == 0 || now_ms < relay->pause_due_ms) {
        return;
    }
    relay->pause_due_ms = 0;
    g_hash_table_iter_init(&iter, relay->pauses);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct pause_notice *notice = value;
        int64_t due_ms = continue_notice(relay, notice, now_ms);

        if (due_ms == 0) {
            struct relay_target *target =
                target_find(relay, notice->target.id);

            g_hash_table_iter_remove(&iter);
            if (target != NULL) {
                pause_mark(relay, target);
            }
        }
        else if (relay->pause_due_ms == 0 || due_ms < relay->pause_due_ms) {
            relay->pause_due_ms = due_ms;
        }
    }
    queue_dispatch_marked(relay, now_ms);
}
