/**
 * DOC: Requests that bring targets down.
 *
 * A request whose connection broke is suspected. It gets a strike when its
 * target is then down or was started anew, and is cleared when the target
 * still runs. While suspicions and strikes together reach the limit, the
 * request is held back, so that one call can't bring down a third target
 * before the reports of the first two are in.
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
 * struct breakage - a target that a request was running on
 */
struct target_failure {
    uint64_t target;
    uint64_t incarnation;
    int64_t at_ms;
};

/**
 * struct entry - what is held against a request
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
 * strikes_new() - empty table
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
 * strikes_count() - number of requests held against
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
 * strike_suspect() - a request was running when its connection broke
 * @strikes: the table
 * @fingerprint: the request
 * @target: where it ran
 * @incarnation: start number of the target at that time
 * @now_ms: present time
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
 * strike_add() - a request brought a target down
 * @strikes: the table
 * @fingerprint: the request
 * @target: the target
 * @incarnation: its start number when the request ran
 * @now_ms: present time
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

/* Returns the incarnation to strike for, through @incarnation. */
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
 * strike_report() - a target was seen
 * @strikes: the table
 * @report: its report
 * @now_ms: present time
 * @fingerprints: set to the requests that deserve a strike
 * @incarnations: set to the start number that each ran on
 * @max: size of both
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

/* Drops what is older than its time. */
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
 * strike_check() - whether a request may run
 * @strikes: the table
 * @fingerprint: the request
 * @now_ms: present time
 *
 * Return: STRIKE_REFUSE after two strikes within 600 s; STRIKE_HOLD while
 * reports are missing that may bring it there.
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
