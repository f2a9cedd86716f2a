/**
 * DOC: Traits whose requests are refused because they crash targets.
 *
 * Traits that can't be told apart are blamed together: a request with only
 * some of them runs, and tells. What crashed targets may become harmless with
 * other weights or settings, and a verdict may be wrong. After some time one
 * request is let through at one instance; the time doubles with each target
 * that it costs. It is short while a verdict is doubtful.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    FIRST_PROBE_MS = 120 * 1000,
    LEVEL_MAX = 5, /* about an hour */
    /* Two early probes: callers of a sound part are refused until then, and
     * each one costs a target where the verdict is right. */
    DOUBTFUL_LEVEL = -2,
    EARLY_PROBE_MS = 5 * 1000,
    SECOND_EARLY_PROBE_MS = 30 * 1000,
    /* A request that waits and runs for longer counts as lost. */
    PROBE_TIMEOUT_MS = 30 * 1000,
    EARLY_PROBE_TIMEOUT_MS = 5 * 1000,
    /* A probe that survives ends the verdict within this time. */
    EARLY_RESULT_MS = 2000,
    PROBERS_DOUBLE_MS = 1000,
    PROBERS_DOUBLINGS_MAX = 10,
};

static int64_t
probe_delay_ms(int level)
{
    if (level < 0) {
        return level == DOUBTFUL_LEVEL ? EARLY_PROBE_MS
                                       : SECOND_EARLY_PROBE_MS;
    }
    return (int64_t)FIRST_PROBE_MS << MIN(level, LEVEL_MAX);
}

/**
 * quarantine_names() - whether a trait is in a verdict, alone or with others
 * @quarantine: the quarantine
 * @key: key of the trait
 */
bool
quarantine_names(const struct quarantine *quarantine, uint64_t key)
{
    for (int i = 0; i < quarantine->count; i++) {
        if (trait_set_contains(&quarantine->verdicts[i].traits, key)) {
            return true;
        }
    }
    return false;
}

/**
 * quarantine_find() - find the verdict on some traits
 * @quarantine: the quarantine
 * @traits: the traits
 *
 * Return: the verdict on just these, or NULL.
 */
struct trait_verdict *
quarantine_find(struct quarantine *quarantine, const struct trait_set *traits)
{
    for (int i = 0; i < quarantine->count; i++) {
        const struct trait_set *known = &quarantine->verdicts[i].traits;

        if (trait_set_includes(known, traits) &&
            trait_set_includes(traits, known)) {
            return &quarantine->verdicts[i];
        }
    }
    return NULL;
}

/**
 * quarantine_covers() - whether requests with some traits are refused
 * @quarantine: the quarantine
 * @traits: the traits
 */
bool
quarantine_covers(const struct quarantine *quarantine,
                  const struct trait_set *traits)
{
    for (int i = 0; i < quarantine->count; i++) {
        if (trait_set_includes(traits, &quarantine->verdicts[i].traits)) {
            return true;
        }
    }
    return false;
}

/**
 * quarantine_match() - find the verdicts on a request
 * @quarantine: the quarantine
 * @traits: traits of the request
 * @count: set to the number of verdicts; may be NULL
 *
 * Return: the first one, or NULL.
 */
struct trait_verdict *
quarantine_match(struct quarantine *quarantine,
                 const struct trait_list *traits, int *count)
{
    struct trait_verdict *first = NULL;
    int matches = 0;

    for (int i = 0; i < quarantine->count; i++) {
        struct trait_verdict *verdict = &quarantine->verdicts[i];

        if (traits_include(traits->traits, traits->count, &verdict->traits)) {
            first = first != NULL ? first : verdict;
            matches++;
        }
    }
    if (count != NULL) {
        *count = matches;
    }
    return first;
}

static void
remove_least_seen(struct quarantine *quarantine)
{
    int least = 0;

    for (int i = 1; i < quarantine->count; i++) {
        if (quarantine->verdicts[i].seen_ms <
            quarantine->verdicts[least].seen_ms) {
            least = i;
        }
    }
    quarantine->verdicts[least] = quarantine->verdicts[--quarantine->count];
}

static void
merge(struct trait_verdict *known, const struct trait_verdict *verdict)
{
    if (verdict->level > known->level) {
        known->level = verdict->level;
        known->since_ms = verdict->since_ms;
        known->probe_ms = verdict->probe_ms;
        known->probing_until_ms = 0;
    }
}

/* Drops verdicts whose requests @traits refuses as well. */
static void
remove_covered(struct quarantine *quarantine, const struct trait_set *traits)
{
    for (int i = quarantine->count - 1; i >= 0; i--) {
        if (trait_set_includes(&quarantine->verdicts[i].traits, traits)) {
            quarantine_remove(quarantine, &quarantine->verdicts[i]);
        }
    }
}

/**
 * quarantine_add() - add a verdict, or merge it with the known one
 * @quarantine: the quarantine; when it is full, the verdict that least
 * recently refused a request is dropped
 * @verdict: the verdict
 *
 * Return: whether it refuses requests that were not refused before.
 */
bool
quarantine_add(struct quarantine *quarantine,
               const struct trait_verdict *verdict)
{
    struct trait_verdict *known =
        quarantine_find(quarantine, &verdict->traits);

    if (known != NULL) {
        merge(known, verdict);
        return false;
    }
    if (quarantine_covers(quarantine, &verdict->traits)) {
        return false;
    }
    remove_covered(quarantine, &verdict->traits);
    if (quarantine->count == VERDICTS_MAX) {
        remove_least_seen(quarantine);
    }
    quarantine->verdicts[quarantine->count++] = *verdict;
    return true;
}

/**
 * quarantine_begin() - refuse requests with some traits from now on
 * @quarantine: the quarantine
 * @traits: the traits
 * @doubtful: the verdict is to be tried soon
 * @now_ms: current time
 *
 * Return: whether it refuses requests that were not refused before.
 */
bool
quarantine_begin(struct quarantine *quarantine, const struct trait_set *traits,
                 bool doubtful, int64_t now_ms)
{
    int level = doubtful ? DOUBTFUL_LEVEL : 0;
    struct trait_verdict verdict = {
        .traits = *traits,
        .since_ms = now_ms,
        .probe_ms = now_ms + probe_delay_ms(level),
        .seen_ms = now_ms,
        .level = level,
    };

    return quarantine_add(quarantine, &verdict);
}

/**
 * quarantine_probe_crashed() - handle a crash under a request with a verdict
 * @verdict: the verdict
 * @at_ms: when the target crashed
 * @now_ms: current time
 *
 * Return: whether it was a probe, which extends the verdict. Requests that
 * were on their way when the verdict came crash targets, too.
 */
bool
quarantine_probe_crashed(struct trait_verdict *verdict, int64_t at_ms,
                         int64_t now_ms)
{
    if (at_ms < verdict->probe_ms) {
        return false;
    }
    verdict->level = MIN(verdict->level + 1, LEVEL_MAX);
    verdict->since_ms = now_ms;
    verdict->probe_ms = now_ms + probe_delay_ms(verdict->level);
    verdict->probing_until_ms = 0;
    return true;
}

/**
 * quarantine_remove() - drop a verdict
 * @quarantine: the quarantine
 * @verdict: a verdict of the quarantine
 */
void
quarantine_remove(struct quarantine *quarantine, struct trait_verdict *verdict)
{
    *verdict = quarantine->verdicts[--quarantine->count];
}

/**
 * quarantine_lift() - let off a trait that a target has survived
 * @quarantine: the quarantine
 * @key: key of the trait
 * @sound_ms: when it survived
 *
 * What remains of a verdict is refused without the trait, too.
 *
 * Return: number of verdicts from before @sound_ms that this ends.
 */
int
quarantine_lift(struct quarantine *quarantine, uint64_t key, int64_t sound_ms)
{
    int ended = 0;

    for (int i = quarantine->count - 1; i >= 0; i--) {
        struct trait_verdict verdict;

        /* Verdicts that others cover have gone, too. */
        if (i >= quarantine->count) {
            continue;
        }
        verdict = quarantine->verdicts[i];
        if (verdict.since_ms > sound_ms ||
            !trait_set_remove(&verdict.traits, key)) {
            continue;
        }
        quarantine_remove(quarantine, &quarantine->verdicts[i]);
        if (verdict.traits.count == 0) {
            ended++;
        }
        else {
            quarantine_add(quarantine, &verdict);
        }
    }
    return ended;
}

/**
 * quarantine_probers() - how many instances may let a request through
 * @verdict: the verdict
 * @now_ms: current time
 *
 * Return: one; for a doubtful verdict twice as many after each second, as its
 * requests may come at few instances.
 */
int
quarantine_probers(const struct trait_verdict *verdict, int64_t now_ms)
{
    int64_t doublings = MAX(now_ms - verdict->probe_ms, 0) / PROBERS_DOUBLE_MS;

    return verdict->level < 0 ? 1 << MIN(doublings, PROBERS_DOUBLINGS_MAX) : 1;
}

/**
 * quarantine_decide() - whether a request with quarantined traits may run
 * @verdict: the verdict on the request
 * @may_probe: this instance may let a request through
 * @now_ms: current time
 * @retry_ms: when refused, set to the time until the next probe
 */
enum quarantine_action
quarantine_decide(struct trait_verdict *verdict, bool may_probe,
                  int64_t now_ms, int64_t *retry_ms)
{
    bool early = verdict->level < 0;
    int64_t probe_in_ms = MAX(verdict->probe_ms - now_ms, 0);

    verdict->seen_ms = now_ms;
    if (may_probe && probe_in_ms == 0 && now_ms >= verdict->probing_until_ms) {
        verdict->probing_until_ms =
            now_ms + (early ? EARLY_PROBE_TIMEOUT_MS : PROBE_TIMEOUT_MS);
        return QUARANTINE_PROBE;
    }
    *retry_ms = early ? probe_in_ms + EARLY_RESULT_MS
                      : MAX(probe_in_ms, PROBE_TIMEOUT_MS);
    return QUARANTINE_REFUSE;
}
