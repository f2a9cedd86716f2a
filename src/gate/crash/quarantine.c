/**
 * DOC: Traits whose requests are refused because they crash targets.
 *
 * What crashed targets may become harmless with other weights or settings, and
 * a verdict may be wrong. After some time one request is let through at one
 * instance; the time doubles with each target that it costs.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    FIRST_PROBE_MS = 120 * 1000,
    LEVEL_MAX = 5, /* about an hour */
    /* A request that waits and runs for longer counts as lost. */
    PROBE_TIMEOUT_MS = 30 * 1000,
};

static int64_t
probe_delay_ms(int level)
{
    return (int64_t)FIRST_PROBE_MS << MIN(level, LEVEL_MAX);
}

/**
 * quarantine_find() - find the verdict on a trait
 * @quarantine: the quarantine
 * @key: key of the trait
 *
 * Return: the verdict, or NULL.
 */
struct trait_verdict *
quarantine_find(struct quarantine *quarantine, uint64_t key)
{
    for (int i = 0; i < quarantine->count; i++) {
        if (quarantine->verdicts[i].trait.key == key) {
            return &quarantine->verdicts[i];
        }
    }
    return NULL;
}

/**
 * quarantine_contains() - whether there is a verdict on a trait
 * @quarantine: the quarantine
 * @key: key of the trait
 */
bool
quarantine_contains(const struct quarantine *quarantine, uint64_t key)
{
    return quarantine_find((struct quarantine *)quarantine, key) != NULL;
}

/**
 * quarantine_match() - find a verdict on a request
 * @quarantine: the quarantine
 * @traits: traits of the request
 *
 * Return: the verdict, or NULL.
 */
struct trait_verdict *
quarantine_match(struct quarantine *quarantine,
                 const struct trait_list *traits)
{
    for (int i = 0; i < quarantine->count; i++) {
        if (trait_list_contains(traits, quarantine->verdicts[i].trait.key)) {
            return &quarantine->verdicts[i];
        }
    }
    return NULL;
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

/**
 * quarantine_add() - add a verdict, or merge it with the known one
 * @quarantine: the quarantine; when it is full, the verdict whose trait was
 * seen least recently is dropped
 * @verdict: the verdict
 *
 * Return: whether the trait is new.
 */
bool
quarantine_add(struct quarantine *quarantine,
               const struct trait_verdict *verdict)
{
    struct trait_verdict *known =
        quarantine_find(quarantine, verdict->trait.key);

    if (known != NULL && verdict->level > known->level) {
        known->level = verdict->level;
        known->since_ms = verdict->since_ms;
        known->probe_ms = verdict->probe_ms;
        known->probing_until_ms = 0;
    }
    if (known != NULL) {
        return false;
    }
    if (quarantine->count == VERDICTS_MAX) {
        remove_least_seen(quarantine);
    }
    quarantine->verdicts[quarantine->count++] = *verdict;
    return true;
}

/**
 * quarantine_begin() - refuse requests with a trait from now on
 * @quarantine: the quarantine
 * @trait: the trait
 * @now_ms: current time
 *
 * Return: whether the trait is new.
 */
bool
quarantine_begin(struct quarantine *quarantine, const struct trait *trait,
                 int64_t now_ms)
{
    struct trait_verdict verdict = {
        .trait = *trait,
        .since_ms = now_ms,
        .probe_ms = now_ms + probe_delay_ms(0),
        .seen_ms = now_ms,
    };

    return quarantine_add(quarantine, &verdict);
}

/**
 * quarantine_probe_crashed() - handle a crash under a request with a verdict
 * @quarantine: the quarantine
 * @key: key of the trait
 * @at_ms: when the target crashed
 * @now_ms: current time
 *
 * Return: whether it was a probe, which extends the verdict. Requests that
 * were on their way when the verdict came crash targets, too.
 */
bool
quarantine_probe_crashed(struct quarantine *quarantine, uint64_t key,
                         int64_t at_ms, int64_t now_ms)
{
    struct trait_verdict *verdict = quarantine_find(quarantine, key);

    if (verdict == NULL || at_ms < verdict->probe_ms) {
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
 * quarantine_lift() - end a verdict on a trait that a target has survived
 * @quarantine: the quarantine
 * @key: key of the trait
 * @sound_ms: when it survived
 *
 * Return: whether there was one from before @sound_ms.
 */
bool
quarantine_lift(struct quarantine *quarantine, uint64_t key, int64_t sound_ms)
{
    struct trait_verdict *verdict = quarantine_find(quarantine, key);

    if (verdict == NULL || verdict->since_ms > sound_ms) {
        return false;
    }
    quarantine_remove(quarantine, verdict);
    return true;
}

/**
 * quarantine_decide() - whether a request with a quarantined trait may run
 * @verdict: the verdict on the trait
 * @may_probe: this instance is the one that lets a request through
 * @now_ms: current time
 * @retry_ms: when refused, set to the time until the next probe
 */
enum quarantine_action
quarantine_decide(struct trait_verdict *verdict, bool may_probe,
                  int64_t now_ms, int64_t *retry_ms)
{
    verdict->seen_ms = now_ms;
    if (may_probe && now_ms >= verdict->probe_ms &&
        now_ms >= verdict->probing_until_ms) {
        verdict->probing_until_ms = now_ms + PROBE_TIMEOUT_MS;
        return QUARANTINE_PROBE;
    }
    *retry_ms = MAX(verdict->probe_ms - now_ms, PROBE_TIMEOUT_MS);
    return QUARANTINE_REFUSE;
}
