/**
 * DOC: Which trait of the requests explains the crashes of targets.
 *
 * The load answered here is one part of many prompts that crashes each target
 * that begins to answer. Parts that other requests share with it are at the
 * same crashes; they differ in that targets also answer without it.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    /* Targets that crash within this time may have one cause outside the
     * requests, such as a loss of power. */
    MOMENT_MS = 150,
    PART_MOMENTS_MIN = 2,
    /* A request that happened to be at a crash is often sent again to where
     * the cause is sent again, so one request proves nothing of its parts. */
    PART_REQUESTS_MIN = 2,
    WHOLE_CRASHES_MIN = 3,
    /* With less, an instance may have missed reports. */
    REFUTING_CRASHES_MIN = 2,
    /* In addition, for a trait that targets have survived before. */
    SOUND_BEFORE_MOMENTS = 2,
};

/* What counts against a trait so far; a bit for each crash of the ledger. */
struct tally {
    struct evidence evidence;
    GHashTable *requests;
    uint64_t crashes;
    int last_moment;
};

G_STATIC_ASSERT(CRASHES_MAX <= 64);

static void
free_tally(void *data)
{
    struct tally *tally = data;

    g_hash_table_destroy(tally->requests);
    g_free(tally);
}

static struct tally *
find_or_add_tally(GHashTable *tallies, const struct trait *trait)
{
    struct tally *tally = g_hash_table_lookup(tallies, &trait->key);

    if (tally == NULL) {
        tally = g_new0(struct tally, 1);
        tally->evidence.trait = *trait;
        tally->requests = g_hash_table_new(g_int64_hash, g_int64_equal);
        tally->last_moment = -1;
        g_hash_table_insert(tallies, &tally->evidence.trait.key, tally);
    }
    return tally;
}

static bool
has_quarantined_part(const struct suspect *suspect,
                     const struct quarantine *quarantine)
{
    for (int i = 0; i < suspect->trait_count; i++) {
        const struct trait *trait = &suspect->traits[i];

        if (trait->depth != WHOLE_REQUEST &&
            quarantine_contains(quarantine, trait->key)) {
            return true;
        }
    }
    return false;
}

/**
 * crash_is_explained() - whether the cause of a crash is known
 * @crash: the crash
 * @quarantine: parts that are known to crash targets
 *
 * Such a crash says nothing about the other parts and requests at it.
 */
bool
crash_is_explained(const struct crash *crash,
                   const struct quarantine *quarantine)
{
    for (int i = 0; i < crash->suspect_count; i++) {
        if (has_quarantined_part(&crash->suspects[i], quarantine)) {
            return true;
        }
    }
    return false;
}

static void
count_suspect(GHashTable *tallies, const struct suspect *suspect,
              const struct sound_memory *sound, int64_t at_ms, int crash,
              int moment)
{
    for (int i = 0; i < suspect->trait_count; i++) {
        const struct trait *trait = &suspect->traits[i];
        struct tally *tally;

        if (sound_at_ms(sound, trait->key) >= at_ms) {
            continue;
        }
        tally = find_or_add_tally(tallies, trait);
        tally->crashes |= UINT64_C(1) << crash;
        tally->evidence.crashes = __builtin_popcountll(tally->crashes);
        tally->evidence.moments += tally->last_moment != moment;
        tally->last_moment = moment;
        g_hash_table_add(tally->requests, (void *)&suspect->request);
        tally->evidence.requests = (int)g_hash_table_size(tally->requests);
    }
}

/* Without @quarantine, explained crashes count, too. */
static GHashTable *
count_all(const struct crash_ledger *ledger, const struct sound_memory *sound,
          const struct quarantine *quarantine, int64_t until_ms)
{
    GHashTable *tallies =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_tally);
    int64_t moment_start_ms = 0;
    int moment = 0;

    for (int i = 0; i < ledger->count; i++) {
        const struct crash *crash = &ledger->crashes[i];

        if (i == 0 || crash->at_ms - moment_start_ms > MOMENT_MS) {
            moment_start_ms = crash->at_ms;
            moment++;
        }
        if (crash->at_ms > until_ms ||
            (quarantine != NULL && crash_is_explained(crash, quarantine))) {
            continue;
        }
        for (int j = 0; j < crash->suspect_count; j++) {
            count_suspect(tallies, &crash->suspects[j], sound, crash->at_ms, i,
                          moment);
        }
    }
    return tallies;
}

static bool
is_enough(const struct evidence *evidence, const struct sound_memory *sound)
{
    int moments_min = PART_MOMENTS_MIN;

    if (sound_at_ms(sound, evidence->trait.key) != 0) {
        moments_min += SOUND_BEFORE_MOMENTS;
    }
    if (evidence->trait.depth == WHOLE_REQUEST) {
        return evidence->crashes >= WHOLE_CRASHES_MIN &&
               evidence->moments >= moments_min;
    }
    return evidence->moments >= moments_min &&
           evidence->requests >= PART_REQUESTS_MIN;
}

static int
other_request_count(const struct tally *tally, const struct tally *whole)
{
    GHashTableIter iter;
    void *request;
    int shared = 0;

    g_hash_table_iter_init(&iter, whole->requests);
    while (g_hash_table_iter_next(&iter, &request, NULL)) {
        shared += g_hash_table_contains(tally->requests, request) ? 1 : 0;
    }
    return tally->evidence.requests - shared;
}

/* Whether another trait that was at all crashes of a part explains them
 * better: a deeper part, as fewer requests have it, or a whole request without
 * which too little is left. If it is not the cause, a crash without it
 * follows. */
static bool
dominates(const struct tally *other, const struct tally *tally)
{
    if ((tally->crashes & ~other->crashes) != 0 ||
        tally->evidence.trait.depth == WHOLE_REQUEST) {
        return false;
    }
    if (other->evidence.trait.depth == WHOLE_REQUEST) {
        return other_request_count(tally, other) < PART_REQUESTS_MIN;
    }
    return other->evidence.trait.depth > tally->evidence.trait.depth;
}

static bool
is_dominated(GHashTable *tallies, const struct tally *tally)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, tallies);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (dominates(value, tally)) {
            return true;
        }
    }
    return false;
}

/* A part explains more than a request. */
static bool
is_better(const struct evidence *evidence, const struct evidence *best)
{
    if (evidence->trait.depth != best->trait.depth) {
        return evidence->trait.depth > best->trait.depth;
    }
    return evidence->crashes > best->crashes;
}

/**
 * blame_find() - find a trait whose requests crash targets
 * @ledger: the crashes
 * @sound: what targets have survived
 * @quarantine: traits that are known already
 * @until_ms: later crashes don't count yet
 * @evidence: set to the trait and what counts against it
 *
 * Return: whether one was found; once it is in @quarantine, another one may
 * follow.
 */
bool
blame_find(const struct crash_ledger *ledger, const struct sound_memory *sound,
           const struct quarantine *quarantine, int64_t until_ms,
           struct evidence *evidence)
{
    GHashTable *tallies = count_all(ledger, sound, quarantine, until_ms);
    GHashTableIter iter;
    void *value;
    bool found = false;

    g_hash_table_iter_init(&iter, tallies);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct tally *tally = value;

        if (!quarantine_contains(quarantine, tally->evidence.trait.key) &&
            is_enough(&tally->evidence, sound) &&
            !is_dominated(tallies, tally) &&
            (!found || is_better(&tally->evidence, evidence))) {
            *evidence = tally->evidence;
            found = true;
        }
    }
    g_hash_table_destroy(tallies);
    return found;
}

/**
 * blame_is_refuted() - whether a part was blamed for what another one did
 * @ledger: the crashes
 * @sound: what targets have survived
 * @trait: the part
 *
 * Return: true when another trait explains all crashes under requests with
 * this one. An instance that had not yet heard of all suspects may have blamed
 * it.
 */
bool
blame_is_refuted(const struct crash_ledger *ledger,
                 const struct sound_memory *sound, const struct trait *trait)
{
    GHashTable *tallies = count_all(ledger, sound, NULL, INT64_MAX);
    const struct tally *tally = g_hash_table_lookup(tallies, &trait->key);
    bool refuted = tally != NULL &&
                   tally->evidence.crashes >= REFUTING_CRASHES_MIN &&
                   is_dominated(tallies, tally);

    g_hash_table_destroy(tallies);
    return refuted;
}
