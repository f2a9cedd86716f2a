/**
 * DOC: What explains the crashes of targets.
 *
 * The load answered here is one part of many prompts that crashes each target
 * that begins to answer. Parts that other requests share with it are at the
 * same crashes; they differ in that targets also answer without it. The
 * explanation is computed anew from all that is known, so that one that was
 * made with less is replaced. docs/design/crashing-parts.md has the rule.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    MOMENTS_MIN = 2,
    /* For a trait that targets have survived before. */
    SOUND_MOMENTS_MIN = 4,
    /* A request that happened to be at a crash is often sent again to where
     * the cause is sent again, so one request proves less of its traits. */
    REQUESTS_MIN = 2,
    ONE_REQUEST_CRASHES_MIN = 3,
    /* With less, an instance may have missed reports. */
    REFUTING_CRASHES_MIN = 2,
};

static bool
is_enough(const struct evidence *evidence)
{
    int moments_min = evidence->known_sound ? SOUND_MOMENTS_MIN : MOMENTS_MIN;

    return evidence->moments >= moments_min &&
           (evidence->requests >= REQUESTS_MIN ||
            evidence->crashes >= ONE_REQUEST_CRASHES_MIN);
}

/* Whether a trait is in fewer requests at the same crashes, and so less likely
 * to be there by chance. A request that is sent on when its target crashes is
 * at two crashes by itself, so two requests don't outweigh it yet. */
static bool
is_rarer(const struct evidence *other, const struct evidence *evidence)
{
    return other->sightings < evidence->sightings ||
           (other->requests == 1 && evidence->requests == 2);
}

/* Whether another trait, in other requests, explains the crashes of @evidence
 * better. One at more crashes, or that was never sound, is a candidate that
 * comes first. */
static bool
is_better(const struct inquiry *inquiry, const struct tally *other,
          const struct tally *tally, const struct evidence *evidence)
{
    struct evidence rival;

    if (other == tally || other->known_sound != tally->known_sound ||
        (evidence->mask & ~other->mask) != 0 ||
        inquiry_go_together(inquiry, &other->trait, &evidence->traits,
                            evidence->mask)) {
        return false;
    }
    rival = inquiry_weigh(inquiry, other, evidence->mask);
    return is_rarer(&rival, evidence);
}

static bool
has_better(const struct inquiry *inquiry, const struct tally *tally,
           const struct evidence *evidence)
{
    GHashTableIter iter;
    void *other;

    g_hash_table_iter_init(&iter, inquiry->tallies);
    while (g_hash_table_iter_next(&iter, NULL, &other)) {
        if (is_better(inquiry, other, tally, evidence)) {
            return true;
        }
    }
    return false;
}

/* Ends with the key, so that all instances look in the same order. */
static int
compare_sightings(const void *a, const void *b)
{
    const struct evidence *first = a;
    const struct evidence *second = b;
    const struct trait *trait = &first->traits.traits[0];
    const struct trait *other = &second->traits.traits[0];

    if (first->sightings != second->sightings) {
        return first->sightings - second->sightings;
    }
    if (first->requests != second->requests) {
        return first->requests - second->requests;
    }
    if (trait->depth != other->depth) {
        return other->depth - trait->depth;
    }
    return trait->key < other->key ? -1 : trait->key > other->key;
}

static int
compare_candidates(const void *a, const void *b)
{
    const struct evidence *first = a;
    const struct evidence *second = b;

    if (first->known_sound != second->known_sound) {
        return first->known_sound ? 1 : -1;
    }
    if (first->moments != second->moments) {
        return second->moments - first->moments;
    }
    if (first->crashes != second->crashes) {
        return second->crashes - first->crashes;
    }
    if ((first->requests == 1) != (second->requests == 1)) {
        return first->requests == 1 ? 1 : -1;
    }
    return compare_sightings(first, second);
}

/* Adds what can't be told apart from the trait by its crashes; what is rarer
 * first, as not all that goes with the trait may go with each other. */
static void
add_companions(const struct inquiry *inquiry, const struct tally *tally,
               struct evidence *evidence)
{
    GArray *companions = g_array_new(FALSE, FALSE, sizeof(struct evidence));
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, inquiry->tallies);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct tally *other = value;

        if (other != tally && other->known_sound == tally->known_sound &&
            (evidence->mask & ~other->mask) == 0) {
            struct evidence companion =
                inquiry_weigh(inquiry, other, evidence->mask);

            g_array_append_val(companions, companion);
        }
    }
    g_array_sort(companions, compare_sightings);
    for (guint i = 0; i < companions->len; i++) {
        const struct trait *trait =
            &g_array_index(companions, struct evidence, i).traits.traits[0];

        if (inquiry_go_together(inquiry, trait, &evidence->traits,
                                evidence->mask)) {
            trait_set_add(&evidence->traits, trait);
        }
    }
    g_array_free(companions, TRUE);
}

static GArray *
list_candidates(const struct inquiry *inquiry)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct evidence));
    GHashTableIter iter;
    void *tally;

    g_hash_table_iter_init(&iter, inquiry->tallies);
    while (g_hash_table_iter_next(&iter, NULL, &tally)) {
        struct evidence evidence = inquiry_weigh(inquiry, tally, UINT64_MAX);

        if (is_enough(&evidence)) {
            g_array_append_val(candidates, evidence);
        }
    }
    g_array_sort(candidates, compare_candidates);
    return candidates;
}

static void
add_explanation(const struct inquiry *inquiry, const struct trait *trait,
                uint64_t *explained, struct explanations *explanations)
{
    const struct tally *tally =
        g_hash_table_lookup(inquiry->tallies, &trait->key);
    struct evidence evidence = inquiry_weigh(inquiry, tally, ~*explained);

    if (is_enough(&evidence) && !has_better(inquiry, tally, &evidence)) {
        add_companions(inquiry, tally, &evidence);
        evidence.contrasted = inquiry_is_contrasted(inquiry, &evidence);
        *explained |= inquiry_crashes_by(inquiry, &evidence.traits);
        explanations->found[explanations->count++] = evidence;
    }
}

/* Crashes by what is quarantined for other crashes than those known here. */
static uint64_t
explained_elsewhere(const struct inquiry *inquiry,
                    const struct quarantine *quarantine)
{
    uint64_t explained = 0;

    for (int i = 0; i < quarantine->count; i++) {
        uint64_t mask =
            inquiry_crashes_by(inquiry, &quarantine->verdicts[i].traits);

        if (__builtin_popcountll(mask) < REFUTING_CRASHES_MIN) {
            explained |= mask;
        }
    }
    return explained;
}

/**
 * blame_find() - find what explains crashes
 * @ledger: the crashes
 * @sound: what targets have survived
 * @quarantine: explanations of crashes that may not be known here
 * @until_ms: later crashes don't count yet
 * @explanations: set to traits whose requests crash targets
 */
void
blame_find(const struct crash_ledger *ledger, const struct sound_memory *sound,
           const struct quarantine *quarantine, int64_t until_ms,
           struct explanations *explanations)
{
    struct inquiry inquiry;
    GArray *candidates;
    uint64_t explained;

    inquiry_begin(&inquiry, ledger, sound, until_ms);
    candidates = list_candidates(&inquiry);
    explained = explained_elsewhere(&inquiry, quarantine);
    explanations->count = 0;
    for (guint i = 0;
         i < candidates->len && explanations->count < EXPLANATIONS_MAX; i++) {
        const struct evidence *candidate =
            &g_array_index(candidates, struct evidence, i);

        add_explanation(&inquiry, &candidate->traits.traits[0], &explained,
                        explanations);
    }
    g_array_free(candidates, TRUE);
    inquiry_end(&inquiry);
}

static bool
is_same_set(const struct trait_set *a, const struct trait_set *b)
{
    return trait_set_includes(a, b) && trait_set_includes(b, a);
}

static bool
is_found(const struct explanations *explanations,
         const struct trait_set *traits)
{
    for (int i = 0; i < explanations->count; i++) {
        if (is_same_set(&explanations->found[i].traits, traits)) {
            return true;
        }
    }
    return false;
}

/**
 * blame_is_refuted() - whether other traits explain what a verdict blames
 * @ledger: the crashes
 * @explanations: what explains them now
 * @verdict: the verdict
 */
bool
blame_is_refuted(const struct crash_ledger *ledger,
                 const struct explanations *explanations,
                 const struct trait_verdict *verdict)
{
    struct inquiry inquiry = {.ledger = ledger, .until_ms = INT64_MAX};
    const struct trait_set *blamed = &verdict->traits;
    uint64_t mask = inquiry_crashes_by(&inquiry, blamed);

    if (__builtin_popcountll(mask) < REFUTING_CRASHES_MIN ||
        is_found(explanations, blamed)) {
        return false;
    }
    for (int i = 0; i < explanations->count; i++) {
        const struct trait_set *found = &explanations->found[i].traits;

        if (!(verdict->learnt && trait_set_includes(found, blamed)) &&
            (mask & ~inquiry_crashes_by(&inquiry, found)) == 0) {
            return true;
        }
    }
    return false;
}
