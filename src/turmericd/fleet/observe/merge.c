/**
 * DOC: Merges polls, peers' reports and the platform's list into one report.
 *
 * The list lags behind the targets, so polls take precedence over it: a list
 * adds a target at once, but several consecutive lists must lack the target
 * before it is removed.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"

enum {
    CONSECUTIVE_MISSING_MAX = 3,
    CONSECUTIVE_FAILURES_MAX = 2,
    /* A target that no report confirmed for this long is polled by each
     * instance that needs it. */
    REPORT_STALE_MS = 10000,
    /* Unchanged load reports are repeated at this interval, so that members
     * can tell an unchanged target from a reporter that has failed. */
    LOAD_BROADCAST_INTERVAL_MS = 5000,
    /* Full reports are repeated for members that lost one. With 15 targets
     * per member, 20 members per data centre and 300 bytes per report, an
     * interval of 30 s costs 3 KB/s; 5 s would cost 17 KB/s, more than the
     * limit of 14 KB/s. */
    FULL_BROADCAST_INTERVAL_MS = 30000,
    /* At an instance that polls the target, a poll newer than this takes
     * precedence over a peer's report. */
    LOCAL_POLL_FRESH_MS = 2000,
    /* A target that said that it leaves is remembered for this long after it
     * is gone from the list, so that an older list can't bring it back. */
    LEAVING_KEEP_MS = 3600000,
};

/**
 * merge_init() - set up a target that no report has confirmed
 * @observed: the target
 * @report: report of the target; owned by @observed from now on
 * @now_ms: current time
 */
void
merge_init(struct observed_target *observed, struct target_report *report,
           int64_t now_ms)
{
    memset(observed, 0, sizeof(*observed));
    observed->report = report;
    observed->confirmed_ms = now_ms - REPORT_STALE_MS;
    observed->poll_succeeded_ms = now_ms - LOCAL_POLL_FRESH_MS;
    observed->next_poll_ms = now_ms;
}

static enum target_state
derive_state(const struct observed_target *observed)
{
    if (observed->consecutive_missing >= CONSECUTIVE_MISSING_MAX) {
        return TARGET_GONE;
    }
    if (observed->unreachable) {
        return TARGET_DOWN;
    }
    return observed->listed_draining || observed->reported_draining ||
                   observed->leaving
               ? TARGET_DRAINING
               : TARGET_LIVE;
}

/* Returns whether the state changed. */
static bool
update_state(struct observed_target *observed)
{
    enum target_state state = derive_state(observed);
    bool changed = state != observed->report->state;

    observed->report->state = state;
    return changed;
}

static bool
replace_text(char *to, const char *from, size_t bytes)
{
    if (strcmp(to, from) == 0) {
        return false;
    }
    memcpy(to, from, bytes);
    return true;
}

static bool
copy_identity(struct target_report *report,
              const struct listed_instance *listed)
{
    enum target_kind kind =
        listed->kind == LISTED_PLAIN ? TARGET_PLAIN : TARGET_ENGINE;
    bool changed = kind != report->kind;

    report->kind = kind;
    changed |= replace_text(report->service, listed->service, NAME_MAX_BYTES);
    changed |=
        replace_text(report->data_centre, listed->data_centre, NAME_MAX_BYTES);
    changed |=
        replace_text(report->address, listed->address, ADDRESS_MAX_BYTES);
    return changed;
}

/**
 * merge_list_record() - apply the target's record in the platform's list
 * @observed: the target
 * @record: record of the target
 */
bool
merge_list_record(struct observed_target *observed,
                  const struct listed_instance *record)
{
    bool changed = copy_identity(observed->report, record);

    observed->consecutive_missing = 0;
    observed->listed_draining = record->draining;
    changed |= update_state(observed);
    return changed;
}

/**
 * merge_list_absence() - count a list that does not name the target
 * @observed: the target
 */
bool
merge_list_absence(struct observed_target *observed)
{
    if (observed->consecutive_missing < CONSECUTIVE_MISSING_MAX) {
        observed->consecutive_missing++;
    }
    return update_state(observed);
}

/**
 * merge_answer_leaving() - apply an answer in which the target says it leaves
 * @observed: the target
 * @heard_ms: when the answer came
 *
 * Lists and reports of peers may be older than the answer, and so may be the
 * incarnation that is known here. Only the target's own word ends it: the
 * status that a poll of this instance got which started later.
 *
 * Return: whether the target was not known to leave before.
 */
bool
merge_answer_leaving(struct observed_target *observed, int64_t heard_ms)
{
    bool begins = !observed->leaving;

    if (begins) {
        observed->leaving = true;
        observed->leaving_since_ms = heard_ms;
    }
    if (begins || heard_ms > observed->leaving_heard_ms) {
        observed->leaving_heard_ms = heard_ms;
    }
    update_state(observed);
    return begins;
}

/**
 * merge_keeps_gone() - whether to remember a target that the list lacks
 * @observed: the target
 * @now_ms: current time
 */
bool
merge_keeps_gone(const struct observed_target *observed, int64_t now_ms)
{
    return observed->leaving &&
           now_ms - observed->leaving_heard_ms < LEAVING_KEEP_MS;
}

/* Copies the fields of a status: all but the identity and the state. */
static void
copy_status(struct target_report *report, const struct target_report *status)
{
    report->incarnation = status->incarnation;
    report->memory_mb = status->memory_mb;
    report->used_mb = status->used_mb;
    report->running = status->running;
    report->waiting = status->waiting;
    report->loaded_count = status->loaded_count;
    report->cached_memory_count = status->cached_memory_count;
    report->cached_disk_count = status->cached_disk_count;
    memcpy(report->loaded, status->loaded, sizeof(report->loaded));
    memcpy(report->cached_memory, status->cached_memory,
           sizeof(report->cached_memory));
    memcpy(report->cached_disk, status->cached_disk,
           sizeof(report->cached_disk));
}

/**
 * merge_poll_status() - apply the status that a local poll returned
 * @observed: the target
 * @status: status of the target
 * @now_ms: current time
 *
 * Return: true, so that each poll is reported: the route duty counts its own
 * requests since the last report.
 */
bool
merge_poll_status(struct observed_target *observed,
                  const struct target_report *status, int64_t now_ms)
{
    if (observed->poll_started_ms > observed->leaving_heard_ms) {
        observed->leaving = false;
    }
    copy_status(observed->report, status);
    observed->reported_draining = status->state == TARGET_DRAINING;
    observed->unreachable = false;
    observed->consecutive_failures = 0;
    observed->poll_succeeded_ms = now_ms;
    observed->confirmed_ms = now_ms;
    update_state(observed);
    return true;
}

/**
 * merge_poll_failure() - count a failed local poll
 * @observed: the target
 */
bool
merge_poll_failure(struct observed_target *observed)
{
    if (observed->consecutive_failures < CONSECUTIVE_FAILURES_MAX) {
        observed->consecutive_failures++;
    }
    if (observed->consecutive_failures == CONSECUTIVE_FAILURES_MAX) {
        observed->unreachable = true;
    }
    return update_state(observed);
}

/* Returns whether the report is a late one of an earlier process of the
 * target. A smaller incarnation is accepted once the current report is stale,
 * because a clock that was set back gives a restarted engine a smaller one. */
static bool
from_older_process(const struct observed_target *observed,
                   const struct target_report *report, int64_t now_ms)
{
    return report->incarnation < observed->report->incarnation &&
           !merge_is_stale(observed, now_ms);
}

static bool
polled_recently(const struct observed_target *observed, int64_t now_ms)
{
    return now_ms - observed->poll_succeeded_ms < LOCAL_POLL_FRESH_MS;
}

/* A target reports only once that it drains, so the state is accepted even
 * though a slightly older local poll takes precedence; the next local poll
 * corrects a wrong one. */
static bool
accept_draining(struct observed_target *observed,
                const struct target_report *report)
{
    if (report->state != TARGET_DRAINING) {
        return false;
    }
    observed->reported_draining = true;
    return update_state(observed);
}

/**
 * merge_peer_report() - apply a report that a peer sent
 * @observed: the target
 * @report: report of the peer
 * @load_only: only state, running and waiting are set
 * @polled_here: whether this instance is the one that polls the target
 * @now_ms: current time
 *
 * Elsewhere a poll was made once, when no report was at hand, and a report is
 * the newer of the two. A load report is ignored while the target is stale, so
 * a member that missed the full report polls the target itself.
 *
 * Return: false when the report is ignored.
 */
bool
merge_peer_report(struct observed_target *observed,
                  const struct target_report *report, bool load_only,
                  bool polled_here, int64_t now_ms)
{
    if (!load_only && from_older_process(observed, report, now_ms)) {
        return false;
    }
    if (polled_here && polled_recently(observed, now_ms) &&
        (load_only || report->incarnation <= observed->report->incarnation)) {
        return accept_draining(observed, report);
    }
    if (load_only && merge_is_stale(observed, now_ms)) {
        return false;
    }
    if (load_only) {
        observed->report->running = report->running;
        observed->report->waiting = report->waiting;
    }
    else {
        copy_status(observed->report, report);
    }
    observed->reported_draining = report->state == TARGET_DRAINING;
    observed->unreachable = report->state == TARGET_DOWN;
    observed->confirmed_ms = now_ms;
    observed->consecutive_failures = 0;
    update_state(observed);
    return true;
}

/**
 * merge_is_stale() - whether no poll confirmed the report recently
 * @observed: the target
 * @now_ms: current time
 */
bool
merge_is_stale(const struct observed_target *observed, int64_t now_ms)
{
    return now_ms - observed->confirmed_ms >= REPORT_STALE_MS;
}

/**
 * merge_needs_own_poll() - whether to poll a target that a peer should poll
 * @observed: the target
 * @now_ms: current time
 *
 * A peer's report can't show that a target which said here that it leaves has
 * changed its mind: it may be older.
 */
bool
merge_needs_own_poll(const struct observed_target *observed, int64_t now_ms)
{
    return observed->leaving || merge_is_stale(observed, now_ms);
}

static uint64_t
hash_ids(uint64_t hash, const uint64_t *ids, uint16_t count)
{
    return hash_pair(hash, hash_bytes(ids, count * sizeof(*ids)));
}

/* Hash of all but the state and the load; never 0. */
static uint64_t
content_hash(const struct target_report *report)
{
    const uint64_t numbers[] = {
        report->kind,    report->incarnation,  report->memory_mb,
        report->used_mb, report->loaded_count, report->cached_memory_count,
    };
    uint64_t hash = hash_bytes(numbers, sizeof(numbers));

    hash = hash_pair(hash, hash_text(report->service));
    hash = hash_pair(hash, hash_text(report->data_centre));
    hash = hash_pair(hash, hash_text(report->address));
    hash = hash_ids(hash, report->loaded, report->loaded_count);
    hash = hash_ids(hash, report->cached_memory, report->cached_memory_count);
    hash = hash_ids(hash, report->cached_disk, report->cached_disk_count);
    return hash == 0 ? 1 : hash;
}

/**
 * merge_broadcast_needed() - report to broadcast after a local poll
 * @observed: the target
 * @now_ms: current time
 */
enum broadcast_kind
merge_broadcast_needed(const struct observed_target *observed, int64_t now_ms)
{
    const struct target_report *report = observed->report;
    const struct broadcast_state *last = &observed->last_broadcast;

    if (report->state == TARGET_GONE) {
        return BROADCAST_NONE;
    }
    if (last->content_hash != content_hash(report) ||
        now_ms - last->full_sent_ms >= FULL_BROADCAST_INTERVAL_MS) {
        return BROADCAST_FULL;
    }
    if (last->state != report->state || last->running != report->running ||
        last->waiting != report->waiting ||
        now_ms - last->sent_ms >= LOAD_BROADCAST_INTERVAL_MS) {
        return BROADCAST_LOAD;
    }
    return BROADCAST_NONE;
}

/**
 * merge_broadcast_sent() - record a broadcast to the data centre
 * @observed: the target
 * @kind: report that was sent
 * @now_ms: current time
 */
void
merge_broadcast_sent(struct observed_target *observed,
                     enum broadcast_kind kind, int64_t now_ms)
{
    struct broadcast_state *last = &observed->last_broadcast;

    if (kind == BROADCAST_NONE) {
        return;
    }
    last->state = observed->report->state;
    last->running = observed->report->running;
    last->waiting = observed->report->waiting;
    last->sent_ms = now_ms;
    if (kind == BROADCAST_FULL) {
        last->content_hash = content_hash(observed->report);
        last->full_sent_ms = now_ms;
    }
}
