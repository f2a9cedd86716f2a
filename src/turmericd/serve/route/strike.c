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
struct breakage {
    uint64_t target;
    uint64_t incarnation;
    int64_t at_ms;
};

/**
 * struct entry - what is held against a request
 */
struct entry {
    uint64_t fingerprint;
    struct breakage suspects[SUSPECTS_MAX];
    int suspect_count;
    struct breakage strikes[STRIKES_REFUSE];
    int strike_count;
    int64_t touched_ms;
};

struct strikes {
    GHashTable *entries;
};

/**
 * strikes_new() - empty table
 */
struct strikes *
strikes_new(void)
{
    struct strikes *strikes = g_new0(struct strikes, 1);

    strikes->entries =
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
    g_hash_table_destroy(strikes->entries);
    g_free(strikes);
}

/**
 * strikes_count() - number of requests held against
 * @strikes: the table
 */
int
strikes_count(const struct strikes *strikes)
{
    return (int)g_hash_table_size(strikes->entries);
}

static struct entry *
find(const struct strikes *strikes, uint64_t fingerprint)
{
    return g_hash_table_lookup(strikes->entries, &fingerprint);
}

static void
drop_oldest(struct strikes *strikes)
{
    GHashTableIter iter;
    gpointer value;
    struct entry *oldest = NULL;

    g_hash_table_iter_init(&iter, strikes->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct entry *entry = value;

        if (oldest == NULL || entry->touched_ms < oldest->touched_ms) {
            oldest = entry;
        }
    }
    g_hash_table_remove(strikes->entries, &oldest->fingerprint);
}

static struct entry *
find_or_add(struct strikes *strikes, uint64_t fingerprint, int64_t now_ms)
{
    struct entry *entry = find(strikes, fingerprint);

    if (entry == NULL) {
        if (strikes_count(strikes) >= STRIKE_ENTRIES_MAX) {
            drop_oldest(strikes);
        }
        entry = g_new0(struct entry, 1);
        entry->fingerprint = fingerprint;
        g_hash_table_insert(strikes->entries, &entry->fingerprint, entry);
    }
    entry->touched_ms = now_ms;
    return entry;
}

static bool
holds(const struct breakage *list, int count, uint64_t target,
      uint64_t incarnation)
{
    for (int i = 0; i < count; i++) {
        if (list[i].target == target && list[i].incarnation == incarnation) {
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
strike_suspect(struct strikes *strikes, uint64_t fingerprint, uint64_t target,
               uint64_t incarnation, int64_t now_ms)
{
    struct entry *entry = find_or_add(strikes, fingerprint, now_ms);

    if (entry->suspect_count < SUSPECTS_MAX &&
        !holds(entry->suspects, entry->suspect_count, target, incarnation)) {
        entry->suspects[entry->suspect_count++] =
            (struct breakage){target, incarnation, now_ms};
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
strike_add(struct strikes *strikes, uint64_t fingerprint, uint64_t target,
           uint64_t incarnation, int64_t now_ms)
{
    struct entry *entry = find_or_add(strikes, fingerprint, now_ms);

    if (holds(entry->strikes, entry->strike_count, target, incarnation)) {
        return false;
    }
    if (entry->strike_count == STRIKES_REFUSE) {
        entry->strikes[0] = entry->strikes[--entry->strike_count];
    }
    entry->strikes[entry->strike_count++] =
        (struct breakage){target, incarnation, now_ms};
    counter_add(CTR_STRIKES, 1);
    return true;
}

static bool
has_fallen(const struct target_report *report, const struct breakage *suspect)
{
    return report->state == TARGET_DOWN || report->state == TARGET_GONE ||
           (report->incarnation != 0 && suspect->incarnation != 0 &&
            report->incarnation != suspect->incarnation);
}

/* Returns the incarnation to strike for, through @incarnation. */
static bool
settle(struct entry *entry, const struct target_report *report, int64_t now_ms,
       uint64_t *incarnation)
{
    bool fallen = false;
    int kept = 0;

    for (int i = 0; i < entry->suspect_count; i++) {
        struct breakage *suspect = &entry->suspects[i];
        int64_t age_ms = now_ms - suspect->at_ms;

        if (suspect->target == report->id && has_fallen(report, suspect)) {
            fallen = true;
            *incarnation = suspect->incarnation;
        }
        else if (age_ms < SUSPECT_MAX_MS && (suspect->target != report->id ||
                                             age_ms < SUSPECT_CLEAR_MS)) {
            entry->suspects[kept++] = *suspect;
        }
    }
    entry->suspect_count = kept;
    return fallen;
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
strike_report(struct strikes *strikes, const struct target_report *report,
              int64_t now_ms, uint64_t *fingerprints, uint64_t *incarnations,
              int max)
{
    GHashTableIter iter;
    gpointer value;
    int count = 0;

    g_hash_table_iter_init(&iter, strikes->entries);
    while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
        struct entry *entry = value;

        if (settle(entry, report, now_ms, &incarnations[count])) {
            fingerprints[count++] = entry->fingerprint;
        }
        else if (entry->suspect_count == 0 && entry->strike_count == 0) {
            g_hash_table_iter_remove(&iter);
        }
    }
    return count;
}

/* Drops what is older than its time. */
static void
expire(struct entry *entry, int64_t now_ms)
{
    int kept = 0;

    for (int i = 0; i < entry->strike_count; i++) {
        if (now_ms - entry->strikes[i].at_ms < STRIKE_REFUSE_MS) {
            entry->strikes[kept++] = entry->strikes[i];
        }
    }
    entry->strike_count = kept;
    kept = 0;
    for (int i = 0; i < entry->suspect_count; i++) {
        if (now_ms - entry->suspects[i].at_ms < SUSPECT_MAX_MS) {
            entry->suspects[kept++] = entry->suspects[i];
        }
    }
    entry->suspect_count = kept;
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
strike_check(struct strikes *strikes, uint64_t fingerprint, int64_t now_ms)
{
    struct entry *entry = find(strikes, fingerprint);

    if (entry == NULL) {
        return STRIKE_CLEAR;
    }
    expire(entry, now_ms);
    if (entry->strike_count >= STRIKES_REFUSE) {
        return STRIKE_REFUSE;
    }
    if (entry->strike_count + entry->suspect_count >= STRIKES_REFUSE) {
        return STRIKE_HOLD;
    }
    if (entry->strike_count + entry->suspect_count == 0) {
        g_hash_table_remove(strikes->entries, &fingerprint);
    }
    return STRIKE_CLEAR;
}
