/**
 * DOC: The evidence of a ledger of crashes, by trait.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    /* Targets that crash within this time may have one cause outside the
     * requests, such as a loss of power. */
    MOMENT_MS = 150,
};

G_STATIC_ASSERT(CRASHES_MAX <= 64);

static void
free_tally(void *data)
{
    struct tally *tally = data;

    g_array_free(tally->sightings, TRUE);
    g_free(tally);
}

static struct tally *
find_or_add_tally(struct inquiry *inquiry, const struct trait *trait)
{
    struct tally *tally = g_hash_table_lookup(inquiry->tallies, &trait->key);

    if (tally == NULL) {
        tally = g_new0(struct tally, 1);
        tally->trait = *trait;
        tally->known_sound = sound_at_ms(inquiry->sound, trait->key) != 0;
        tally->sightings = g_array_new(FALSE, FALSE, sizeof(struct sighting));
        g_hash_table_insert(inquiry->tallies, &tally->trait.key, tally);
    }
    return tally;
}

static bool
is_open(const struct inquiry *inquiry, uint64_t key, int crash)
{
    return sound_at_ms(inquiry->sound, key) <
           inquiry->ledger->crashes[crash].at_ms;
}

static void
count_suspect(struct inquiry *inquiry, const struct suspect *suspect,
              int crash)
{
    struct sighting sighting = {suspect->request, crash};

    for (int i = 0; i < suspect->trait_count; i++) {
        const struct trait *trait = &suspect->traits[i];

        if (is_open(inquiry, trait->key, crash)) {
            struct tally *tally = find_or_add_tally(inquiry, trait);

            tally->mask |= UINT64_C(1) << crash;
            g_array_append_val(tally->sightings, sighting);
        }
    }
}

/**
 * inquiry_begin() - count the evidence of a ledger
 * @inquiry: to be released with inquiry_end()
 * @ledger: the crashes; borrowed
 * @sound: what targets have survived; borrowed
 * @until_ms: later crashes don't count yet
 */
void
inquiry_begin(struct inquiry *inquiry, const struct crash_ledger *ledger,
              const struct sound_memory *sound, int64_t until_ms)
{
    int64_t moment_start_ms = 0;
    int moment = 0;

    inquiry->ledger = ledger;
    inquiry->sound = sound;
    inquiry->until_ms = until_ms;
    inquiry->tallies =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_tally);
    for (int i = 0; i < ledger->count; i++) {
        const struct crash *crash = &ledger->crashes[i];

        if (i == 0 || crash->at_ms - moment_start_ms > MOMENT_MS) {
            moment_start_ms = crash->at_ms;
            moment++;
        }
        inquiry->moments[i] = moment;
        for (int j = 0; j < crash->suspect_count && crash->at_ms <= until_ms;
             j++) {
            count_suspect(inquiry, &crash->suspects[j], i);
        }
    }
}

/**
 * inquiry_end() - release the evidence
 * @inquiry: the evidence
 */
void
inquiry_end(struct inquiry *inquiry)
{
    g_hash_table_destroy(inquiry->tallies);
}

static int
count_moments(const struct inquiry *inquiry, uint64_t mask)
{
    int last = 0;
    int count = 0;

    for (int i = 0; i < inquiry->ledger->count; i++) {
        if ((mask >> i & 1) != 0 && inquiry->moments[i] != last) {
            last = inquiry->moments[i];
            count++;
        }
    }
    return count;
}

static void
count_sightings(const struct tally *tally, struct evidence *evidence)
{
    GHashTable *requests = g_hash_table_new(g_int64_hash, g_int64_equal);

    evidence->sightings = 0;
    for (guint i = 0; i < tally->sightings->len; i++) {
        struct sighting *sighting =
            &g_array_index(tally->sightings, struct sighting, i);

        if ((evidence->mask >> sighting->crash & 1) != 0) {
            g_hash_table_add(requests, &sighting->request);
            evidence->sightings++;
        }
    }
    evidence->requests = (int)g_hash_table_size(requests);
    g_hash_table_destroy(requests);
}

/**
 * inquiry_weigh() - what speaks against a trait
 * @inquiry: the evidence
 * @tally: of the trait
 * @mask: the crashes that count
 */
struct evidence
inquiry_weigh(const struct inquiry *inquiry, const struct tally *tally,
              uint64_t mask)
{
    struct evidence evidence = {
        .known_sound = tally->known_sound,
        .mask = tally->mask & mask,
    };

    trait_set_add(&evidence.traits, &tally->trait);
    evidence.crashes = __builtin_popcountll(evidence.mask);
    evidence.moments = count_moments(inquiry, evidence.mask);
    count_sightings(tally, &evidence);
    return evidence;
}

static bool
suspect_has(const struct suspect *suspect, const struct trait_set *traits)
{
    return traits_include(suspect->traits, suspect->trait_count, traits);
}

/**
 * crash_may_be_by() - whether a request with some traits was at a crash
 * @crash: the crash
 * @traits: the traits
 */
bool
crash_may_be_by(const struct crash *crash, const struct trait_set *traits)
{
    for (int i = 0; i < crash->suspect_count; i++) {
        if (suspect_has(&crash->suspects[i], traits)) {
            return true;
        }
    }
    return false;
}

/**
 * inquiry_crashes_by() - the crashes that requests with some traits were at
 * @inquiry: the evidence
 * @traits: the traits, acquitted or not
 */
uint64_t
inquiry_crashes_by(const struct inquiry *inquiry,
                   const struct trait_set *traits)
{
    uint64_t mask = 0;

    for (int i = 0; i < inquiry->ledger->count; i++) {
        const struct crash *crash = &inquiry->ledger->crashes[i];

        if (crash->at_ms <= inquiry->until_ms &&
            crash_may_be_by(crash, traits)) {
            mask |= UINT64_C(1) << i;
        }
    }
    return mask;
}

static bool
all_open(const struct inquiry *inquiry, const struct trait_set *traits,
         int crash)
{
    for (int i = 0; i < traits->count; i++) {
        if (!is_open(inquiry, traits->traits[i].key, crash)) {
            return false;
        }
    }
    return true;
}

/**
 * inquiry_go_together() - whether crashes can't tell a trait from others
 * @inquiry: the evidence
 * @trait: the trait
 * @set: the others
 * @mask: the crashes
 *
 * Return: true when a request with all of them was at each crash, and none of
 * them has been acquitted since.
 */
bool
inquiry_go_together(const struct inquiry *inquiry, const struct trait *trait,
                    const struct trait_set *set, uint64_t mask)
{
    struct trait_set traits = *set;

    trait_set_add(&traits, trait);
    for (int i = 0; i < inquiry->ledger->count; i++) {
        if ((mask >> i & 1) != 0 &&
            !(all_open(inquiry, &traits, i) &&
              crash_may_be_by(&inquiry->ledger->crashes[i], &traits))) {
            return false;
        }
    }
    return true;
}

static bool
has_acquitted_part(const struct inquiry *inquiry,
                   const struct suspect *suspect, int crash)
{
    for (int i = 0; i < suspect->trait_count; i++) {
        const struct trait *trait = &suspect->traits[i];

        if (trait->depth >= 0 && !is_open(inquiry, trait->key, crash)) {
            return true;
        }
    }
    return false;
}

/**
 * inquiry_is_contrasted() - whether targets have survived another part since
 * @inquiry: the evidence
 * @evidence: traits, and crashes
 */
bool
inquiry_is_contrasted(const struct inquiry *inquiry,
                      const struct evidence *evidence)
{
    for (int i = 0; i < inquiry->ledger->count; i++) {
        const struct crash *crash = &inquiry->ledger->crashes[i];

        for (int j = 0;
             j < crash->suspect_count && (evidence->mask >> i & 1) != 0; j++) {
            if (suspect_has(&crash->suspects[j], &evidence->traits) &&
                has_acquitted_part(inquiry, &crash->suspects[j], i)) {
                return true;
            }
        }
    }
    return false;
}
