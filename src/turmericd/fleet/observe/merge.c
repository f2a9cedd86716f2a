/**
 * DOC: Decides what polls, peers' reports and the list mean for a target.
 *
 * Polls take precedence over the list, which lags: the list adds a target at
 * once, and removes it only after it was missing several times.
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
    MISSING_READS_MAX = 3,
    FAILED_POLLS_MAX = 2,
    /* A target without news for this long is polled by whoever needs it. */
    UNKNOWN_AFTER_MS = 10000,
    /* Unchanged reports are repeated this often, so that members can tell
     * them from a reporter that has died. */
    SHARE_LOAD_MS = 5000,
    /* Full reports are repeated for members that have lost one. At 15 targets
     * a member and 20 members a data centre, 300 bytes each 30 s are 3 KB/s,
     * while each 5 s they would be 17 KB/s, over the limit of 14 KB/s. */
    SHARE_FULL_MS = 30000,
    /* An own poll that is younger than this knows more than a peer. */
    OWN_POLL_FRESH_MS = 2000,
};

/**
 * merge_init() - begin to observe a target
 * @observed: the target
 * @report: its report, owned by @observed from now on
 * @now_ms: present time
 */
void
merge_init(struct observed *observed, struct target_report *report,
           int64_t now_ms)
{
    memset(observed, 0, sizeof(*observed));
    observed->report = report;
    observed->known_ms = now_ms - UNKNOWN_AFTER_MS;
    observed->polled_ms = now_ms - OWN_POLL_FRESH_MS;
    observed->poll_ms = now_ms;
}

static enum target_state
state_of(const struct observed *observed)
{
    if (observed->missing_reads >= MISSING_READS_MAX) {
        return TARGET_GONE;
    }
    if (observed->down) {
        return TARGET_DOWN;
    }
    return observed->listed_leaving || observed->said_leaving ? TARGET_LEAVING
                                                              : TARGET_LIVE;
}

/* Returns whether the state changed. */
static bool
update_state(struct observed *observed)
{
    enum target_state state = state_of(observed);
    bool changed = state != observed->report->state;

    observed->report->state = state;
    return changed;
}

static bool
copy_text(char *to, const char *from, size_t bytes)
{
    if (strcmp(to, from) == 0) {
        return false;
    }
    memcpy(to, from, bytes);
    return true;
}

static bool
copy_identity(struct target_report *report, const struct listed *listed)
{
    enum target_kind kind =
        listed->kind == LISTED_PLAIN ? TARGET_PLAIN : TARGET_ENGINE;
    bool changed = kind != report->kind;

    report->kind = kind;
    changed |= copy_text(report->service, listed->service, NAME_MAX_BYTES);
    changed |=
        copy_text(report->data_centre, listed->data_centre, NAME_MAX_BYTES);
    changed |= copy_text(report->address, listed->address, ADDRESS_MAX_BYTES);
    return changed;
}

/**
 * merge_listed() - the list names the target
 * @observed: the target
 * @listed: its record
 */
bool
merge_listed(struct observed *observed, const struct listed *listed)
{
    bool changed = copy_identity(observed->report, listed);

    observed->missing_reads = 0;
    observed->listed_leaving = listed->leaving;
    changed |= update_state(observed);
    return changed;
}

/**
 * merge_missing() - a list that was read doesn't name the target
 * @observed: the target
 */
bool
merge_missing(struct observed *observed)
{
    if (observed->missing_reads < MISSING_READS_MAX) {
        observed->missing_reads++;
    }
    return update_state(observed);
}

/* Copies what a status tells, which is all but the identity and the state. */
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
 * merge_status() - an own poll succeeded
 * @observed: the target
 * @status: what it answered
 * @now_ms: present time
 *
 * Return: true; each poll is told, because the route duty counts its own
 * requests from the last report on.
 */
bool
merge_status(struct observed *observed, const struct target_report *status,
             int64_t now_ms)
{
    copy_status(observed->report, status);
    observed->said_leaving = status->state == TARGET_LEAVING;
    observed->down = false;
    observed->failed_polls = 0;
    observed->polled_ms = now_ms;
    observed->known_ms = now_ms;
    update_state(observed);
    return true;
}

/**
 * merge_failed() - an own poll failed
 * @observed: the target
 */
bool
merge_failed(struct observed *observed)
{
    if (observed->failed_polls < FAILED_POLLS_MAX) {
        observed->failed_polls++;
    }
    if (observed->failed_polls == FAILED_POLLS_MAX) {
        observed->down = true;
    }
    return update_state(observed);
}

/* A report of an older process of the target arrives late. It is believed
 * only when nothing newer has been heard for a while, because an engine may
 * come back with a smaller start number after its clock was set. */
static bool
from_older_process(const struct observed *observed,
                   const struct target_report *report, int64_t now_ms)
{
    return report->incarnation < observed->report->incarnation &&
           !merge_unknown(observed, now_ms);
}

static bool
polled_lately(const struct observed *observed, int64_t now_ms)
{
    return now_ms - observed->polled_ms < OWN_POLL_FRESH_MS;
}

/* A target says only once that it leaves, so this counts even against an own
 * poll that is a little older; the next own poll corrects a wrong one. */
static bool
take_leaving(struct observed *observed, const struct target_report *report)
{
    if (report->state != TARGET_LEAVING) {
        return false;
    }
    observed->said_leaving = true;
    return update_state(observed);
}

/**
 * merge_peer() - a peer reports the target
 * @observed: the target
 * @report: what it reports
 * @load_only: only state, running and waiting are set
 * @now_ms: present time
 *
 * A report of the load doesn't make a target known whose content has never
 * been told, so a member that missed the full report polls by itself.
 *
 * Return: false when the report is ignored.
 */
bool
merge_peer(struct observed *observed, const struct target_report *report,
           bool load_only, int64_t now_ms)
{
    if (!load_only && from_older_process(observed, report, now_ms)) {
        return false;
    }
    if (polled_lately(observed, now_ms) &&
        (load_only || report->incarnation <= observed->report->incarnation)) {
        return take_leaving(observed, report);
    }
    if (load_only && merge_unknown(observed, now_ms)) {
        return false;
    }
    if (load_only) {
        observed->report->running = report->running;
        observed->report->waiting = report->waiting;
    }
    else {
        copy_status(observed->report, report);
    }
    observed->said_leaving = report->state == TARGET_LEAVING;
    observed->down = report->state == TARGET_DOWN;
    observed->known_ms = now_ms;
    observed->failed_polls = 0;
    update_state(observed);
    return true;
}

/**
 * merge_unknown() - whether nobody has reported the target lately
 * @observed: the target
 * @now_ms: present time
 */
bool
merge_unknown(const struct observed *observed, int64_t now_ms)
{
    return now_ms - observed->known_ms >= UNKNOWN_AFTER_MS;
}

static uint64_t
hash_ids(uint64_t hash, const uint64_t *ids, uint16_t count)
{
    return hash_pair(hash, hash_bytes(ids, count * sizeof(*ids)));
}

/* Hash of everything but the state and the load; never 0. */
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
 * merge_share() - what to tell the data centre after an own poll
 * @observed: the target
 * @now_ms: present time
 */
enum share
merge_share(const struct observed *observed, int64_t now_ms)
{
    const struct target_report *report = observed->report;
    const struct shared *shared = &observed->shared;

    if (report->state == TARGET_GONE) {
        return SHARE_NOTHING;
    }
    if (shared->content != content_hash(report) ||
        now_ms - shared->full_ms >= SHARE_FULL_MS) {
        return SHARE_FULL;
    }
    if (shared->state != report->state || shared->running != report->running ||
        shared->waiting != report->waiting ||
        now_ms - shared->told_ms >= SHARE_LOAD_MS) {
        return SHARE_LOAD;
    }
    return SHARE_NOTHING;
}

/**
 * merge_shared() - the data centre has been told
 * @observed: the target
 * @share: what was told
 * @now_ms: present time
 */
void
merge_shared(struct observed *observed, enum share share, int64_t now_ms)
{
    struct shared *shared = &observed->shared;

    if (share == SHARE_NOTHING) {
        return;
    }
    shared->state = observed->report->state;
    shared->running = observed->report->running;
    shared->waiting = observed->report->waiting;
    shared->told_ms = now_ms;
    if (share == SHARE_FULL) {
        shared->content = content_hash(observed->report);
        shared->full_ms = now_ms;
    }
}
