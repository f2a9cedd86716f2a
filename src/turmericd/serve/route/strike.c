/**
 * DOC: Detects requests that crash targets.
 *
 * A request whose connection broke is a suspect. It gets a strike when its
 * target is then reported as down, gone or restarted; the suspicion is dropped
 * when the target still runs. The request is refused at STRIKES_MAX strikes.
 * It is delayed while strikes and suspicions together reach STRIKES_MAX, so
 * that one call can't crash a third target before the first two are reported.
 */
#include <glib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"

enum { SUSPECTS_MAX = 4 };

/**
 * struct target_failure - a broken connection or crash during a request
 * @target: id of the target
 * @incarnation: start number of the target's process
 * @at_ms: monotonic
 */
struct target_failure {
    uint64_t target;
    uint64_t incarnation;
    int64_t at_ms;
};

/**
 * struct strike_record - suspicions and strikes of a request
 * @fingerprint: fingerprint of the request
 * @suspects: broken connections that no report has resolved yet
 * @suspect_count: number of valid members of @suspects
 * @strikes: targets that went down
 * @strike_count: number of valid members of @strikes
 * @updated_ms: monotonic; when a suspicion or strike was last added
 */
struct strike_record {
    uint64_t fingerprint;
    struct target_failure suspects[SUSPECTS_MAX];
    int suspect_count;
    struct target_failure strikes[STRIKES_MAX];
    int strike_count;
    int64_t updated_ms;
};

struct strikes {
    GHashTable *records;
};

/**
 * strikes_new() - create an empty table
 *
 * Return: the table, owned by the caller.
 */
struct strikes *
strikes_new(void)
{
    struct strikes *strikes = g_new0(struct strikes, 1);

    strikes->records =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    return strikes;
}

/**
 * strikes_free() - release a table
 * @strikes: the table
 */
void
strikes_free(struct strikes *strikes)
{
    g_hash_table_destroy(strikes->records);
    g_free(strikes);
}

/**
 * strikes_request_count() - number of requests in the table
 * @strikes: the table
 */
int
strikes_request_count(const struct strikes *strikes)
{
    return (int)g_hash_table_size(strikes->records);
}

static struct strike_record *
find_record(const struct strikes *strikes, uint64_t fingerprint)
{
    return g_hash_table_lookup(strikes->records, &fingerprint);
}

static void
remove_oldest(struct strikes *strikes)
{
    GHashTableIter iter;
    gpointer value;
    struct strike_record *oldest = NULL;

    g_hash_table_iter_init(&iter, strikes->records);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct strike_record *record = value;

        if (oldest == NULL || record->updated_ms < oldest->updated_ms) {
            oldest = record;
        }
    }
    g_hash_table_remove(strikes->records, &oldest->fingerprint);
}

static struct strike_record *
find_or_add_record(struct strikes *strikes, uint64_t fingerprint,
                   int64_t now_ms)
{
    struct strike_record *record = find_record(strikes, fingerprint);

    if (record == NULL) {
        if (strikes_request_count(strikes) >= STRIKE_RECORDS_MAX) {
            remove_oldest(strikes);
        }
        record = g_new0(struct strike_record, 1);
        record->fingerprint = fingerprint;
        g_hash_table_insert(strikes->records, &record->fingerprint, record);
    }
    record->updated_ms = now_ms;
    return record;
}

static bool
contains_failure(const struct target_failure *failures, int count,
                 uint64_t target, uint64_t incarnation)
{
    for (int i = 0; i < count; i++) {
        if (failures[i].target == target &&
            failures[i].incarnation == incarnation) {
            return true;
        }
    }
    return false;
}

/**
 * strikes_add_suspect() - record a broken connection during a request
 * @strikes: the table
 * @fingerprint: fingerprint of the request
 * @target: id of the target
 * @incarnation: start number of the target's process at that time
 * @now_ms: current monotonic time
 */
void
strikes_add_suspect(struct strikes *strikes, uint64_t fingerprint,
                    uint64_t target, uint64_t incarnation, int64_t now_ms)
{
    struct strike_record *record =
        find_or_add_record(strikes, fingerprint, now_ms);

    if (record->suspect_count < SUSPECTS_MAX &&
        !contains_failure(record->suspects, record->suspect_count, target,
                          incarnation)) {
        record->suspects[record->suspect_count++] =
            (struct target_failure){target, incarnation, now_ms};
    }
}

/**
 * strikes_add() - add a strike to a request
 * @strikes: the table
 * @fingerprint: fingerprint of the request
 * @target: id of the target that went down
 * @incarnation: start number of the target's process when the request ran
 * @now_ms: current monotonic time
 *
 * Return: false when this strike is known already.
 */
bool
strikes_add(struct strikes *strikes, uint64_t fingerprint, uint64_t target,
            uint64_t incarnation, int64_t now_ms)
{
    struct strike_record *record =
        find_or_add_record(strikes, fingerprint, now_ms);

    if (contains_failure(record->strikes, record->strike_count, target,
                         incarnation)) {
        return false;
    }
    if (record->strike_count == STRIKES_MAX) {
        record->strikes[0] = record->strikes[--record->strike_count];
    }
    record->strikes[record->strike_count++] =
        (struct target_failure){target, incarnation, now_ms};
    counter_add(CTR_STRIKES, 1);
    return true;
}

static bool
has_crashed(const struct target_report *report,
            const struct target_failure *suspect)
{
    return report->state == TARGET_DOWN || report->state == TARGET_GONE ||
           (report->incarnation != 0 && suspect->incarnation != 0 &&
            report->incarnation != suspect->incarnation);
}

/* Drops resolved suspicions. Returns whether the target went down, and in that
 * case sets @incarnation to the one that the request ran on. */
static bool
resolve_suspects(struct strike_record *record,
                 const struct target_report *report, int64_t now_ms,
                 uint64_t *incarnation)
{
    bool crashed = false;
    int kept = 0;

    for (int i = 0; i < record->suspect_count; i++) {
        struct target_failure *suspect = &record->suspects[i];
        int64_t age_ms = now_ms - suspect->at_ms;

        if (suspect->target == report->id && has_crashed(report, suspect)) {
            crashed = true;
            *incarnation = suspect->incarnation;
        }
        else if (age_ms < SUSPECT_TTL_MS && (suspect->target != report->id ||
                                             age_ms < SUSPECT_CLEAR_MS)) {
            record->suspects[kept++] = *suspect;
        }
    }
    record->suspect_count = kept;
    return crashed;
}

/**
 * strikes_apply_report() - resolve suspicions with a report of a target
 * @strikes: the table
 * @report: the report
 * @now_ms: current monotonic time
 * @fingerprints: set to the requests that get a strike
 * @incarnations: set to the start number of the process that each ran on
 * @max: capacity of both arrays
 *
 * Return: number of requests; the caller adds the strikes.
 */
int
strikes_apply_report(struct strikes *strikes,
                     const struct target_report *report, int64_t now_ms,
                     uint64_t *fingerprints, uint64_t *incarnations, int max)
{
    GHashTableIter iter;
    gpointer value;
    int count = 0;

    g_hash_table_iter_init(&iter, strikes->records);
    while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        struct strike_record *record = value;

        if (resolve_suspects(record, report, now_ms, &incarnations[count])) {
            fingerprints[count++] = record->fingerprint;
        }
        else if (record->suspect_count == 0 && record->strike_count == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    return count;
}

static void
expire_failures(struct strike_record *record, int64_t now_ms)
{
    int kept = 0;

    for (int i = 0; i < record->strike_count; i++) {
        if (now_ms - record->strikes[i].at_ms < STRIKE_TTL_MS) {
            record->strikes[kept++] = record->strikes[i];
        }
    }
    record->strike_count = kept;
    kept = 0;
    for (int i = 0; i < record->suspect_count; i++) {
        if (now_ms - record->suspects[i].at_ms < SUSPECT_TTL_MS) {
            record->suspects[kept++] = record->suspects[i];
        }
    }
    record->suspect_count = kept;
}

/**
 * strikes_check() - check whether a request may run
 * @strikes: the table
 * @fingerprint: fingerprint of the request
 * @now_ms: current monotonic time
 *
 * Return: STRIKE_REFUSE after STRIKES_MAX strikes within STRIKE_TTL_MS;
 * STRIKE_DEFER while pending reports may bring the request there.
 */
enum strike_state
strikes_check(struct strikes *strikes, uint64_t fingerprint, int64_t now_ms)
{
    struct strike_record *record = find_record(strikes, fingerprint);

    if (record == NULL) {
        return STRIKE_ALLOW;
    }
    expire_failures(record, now_ms);
    if (record->strike_count >= STRIKES_MAX) {
        return STRIKE_REFUSE;
    }
    if (record->strike_count + record->suspect_count >= STRIKES_MAX) {
        return STRIKE_DEFER;
    }
    if (record->strike_count + record->suspect_count == 0) {
        g_hash_table_remove(strikes->records, &fingerprint);
    }
    return STRIKE_ALLOW;
}
