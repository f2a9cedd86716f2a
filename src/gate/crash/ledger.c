/**
 * DOC: Recent crashes of targets, with the requests that may have caused them.
 *
 * Each instance that had requests at a target reports those whose runs were
 * new. The reports on one start of a target are one crash, in whichever
 * order and however often they arrive.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    /* Crashes that requests cause come less than this time apart, unless such
     * requests are so rare that they do little harm. */
    CRASH_TTL_MS = 120 * 1000,
};

/**
 * crash_clear() - release the suspects of a crash
 * @crash: the crash
 */
void
crash_clear(struct crash *crash)
{
    for (int i = 0; i < crash->suspect_count; i++) {
        g_free(crash->suspects[i].traits);
    }
    g_free(crash->suspects);
}

/**
 * crash_is_same() - whether a crash is that of a start of a target
 * @crash: the crash
 * @target: hash of the target's id
 * @started_ms: wall time of the start
 */
bool
crash_is_same(const struct crash *crash, uint64_t target, int64_t started_ms)
{
    return crash->target == target && crash->started_ms == started_ms;
}

/**
 * ledger_remove() - drop a crash
 * @ledger: the ledger
 * @crash: a crash of the ledger
 */
void
ledger_remove(struct crash_ledger *ledger, struct crash *crash)
{
    struct crash *end = &ledger->crashes[ledger->count];

    crash_clear(crash);
    memmove(crash, crash + 1, (size_t)(end - crash - 1) * sizeof(*crash));
    ledger->count--;
}

/**
 * ledger_clear() - release all crashes
 * @ledger: the ledger, empty afterwards
 */
void
ledger_clear(struct crash_ledger *ledger)
{
    while (ledger->count > 0) {
        ledger_remove(ledger, &ledger->crashes[0]);
    }
}

/**
 * ledger_expire_after() - drop crashes that are older than a time
 * @ledger: the ledger
 * @ttl_ms: the time
 * @now_ms: current time
 */
void
ledger_expire_after(struct crash_ledger *ledger, int64_t ttl_ms,
                    int64_t now_ms)
{
    while (ledger->count > 0 && now_ms - ledger->crashes[0].at_ms > ttl_ms) {
        ledger_remove(ledger, &ledger->crashes[0]);
    }
}

/**
 * ledger_expire() - drop crashes that are too old to count as evidence
 * @ledger: the ledger
 * @now_ms: current time
 */
void
ledger_expire(struct crash_ledger *ledger, int64_t now_ms)
{
    ledger_expire_after(ledger, CRASH_TTL_MS, now_ms);
}

/**
 * ledger_find() - find the crash of a start of a target
 * @ledger: the ledger
 * @target: hash of the target's id
 * @started_ms: wall time of the start
 *
 * Return: the crash, valid until the next change of the ledger; or NULL.
 */
struct crash *
ledger_find(struct crash_ledger *ledger, uint64_t target, int64_t started_ms)
{
    for (int i = 0; i < ledger->count; i++) {
        if (crash_is_same(&ledger->crashes[i], target, started_ms)) {
            return &ledger->crashes[i];
        }
    }
    return NULL;
}

static struct crash *
insert(struct crash_ledger *ledger, const struct crash *crash)
{
    int place = ledger->count;

    while (place > 0 && ledger->crashes[place - 1].at_ms > crash->at_ms) {
        place--;
    }
    memmove(&ledger->crashes[place + 1], &ledger->crashes[place],
            (size_t)(ledger->count - place) * sizeof(*crash));
    ledger->crashes[place] = *crash;
    ledger->count++;
    return &ledger->crashes[place];
}

/**
 * ledger_add() - find a crash, or add it
 * @ledger: the ledger; when it is full, the oldest crash is dropped
 * @target: hash of the target's id
 * @started_ms: wall time of the target's start
 * @at_ms: when it crashed
 *
 * Return: the crash, valid until the next call.
 */
struct crash *
ledger_add(struct crash_ledger *ledger, uint64_t target, int64_t started_ms,
           int64_t at_ms)
{
    struct crash crash = {
        .target = target,
        .started_ms = started_ms,
        .at_ms = at_ms,
    };

    struct crash *known = ledger_find(ledger, target, started_ms);

    if (known != NULL) {
        return known;
    }
    if (ledger->count == CRASHES_MAX) {
        ledger_remove(ledger, &ledger->crashes[0]);
    }
    return insert(ledger, &crash);
}

static bool
suspect_has(const struct suspect *suspect, uint64_t key)
{
    for (int i = 0; i < suspect->trait_count; i++) {
        if (suspect->traits[i].key == key) {
            return true;
        }
    }
    return false;
}

/* Two requests of a session may be at one target, with other parts. */
static bool
is_known_suspect(const struct crash *crash, uint64_t request,
                 const struct trait *traits, int trait_count)
{
    for (int i = 0; i < crash->suspect_count; i++) {
        const struct suspect *known = &crash->suspects[i];
        int shared = 0;

        for (int j = 0; j < trait_count && known->request == request; j++) {
            shared += suspect_has(known, traits[j].key) ? 1 : 0;
        }
        if (known->request == request && shared == trait_count) {
            return true;
        }
    }
    return false;
}

/**
 * crash_add_suspect() - add a request whose run was new
 * @crash: the crash
 * @request: identifies the request
 * @traits: copied
 * @trait_count: number of @traits
 *
 * Return: false when the request is known already or there is no room.
 */
bool
crash_add_suspect(struct crash *crash, uint64_t request,
                  const struct trait *traits, int trait_count)
{
    struct suspect *suspect;

    if (crash->suspect_count == CRASH_SUSPECTS_MAX ||
        is_known_suspect(crash, request, traits, trait_count)) {
        return false;
    }
    crash->suspects =
        g_renew(struct suspect, crash->suspects, crash->suspect_count + 1);
    suspect = &crash->suspects[crash->suspect_count++];
    suspect->request = request;
    suspect->trait_count = MIN(trait_count, TRAITS_MAX);
    suspect->traits =
        g_memdup2(traits, (size_t)suspect->trait_count * sizeof(struct trait));
    return true;
}

/**
 * crash_add_suspects() - add the suspects of a report on the same crash
 * @crash: the crash
 * @from: copied
 *
 * Return: number of suspects that were new.
 */
int
crash_add_suspects(struct crash *crash, const struct crash *from)
{
    int added = 0;

    for (int i = 0; i < from->suspect_count; i++) {
        const struct suspect *suspect = &from->suspects[i];

        added += crash_add_suspect(crash, suspect->request, suspect->traits,
                                   suspect->trait_count);
    }
    return added;
}

static bool
has_suspect(const struct crash *crash, uint64_t key)
{
    for (int i = 0; i < crash->suspect_count; i++) {
        if (suspect_has(&crash->suspects[i], key)) {
            return true;
        }
    }
    return false;
}

/**
 * ledger_suspects() - whether a trait is under suspicion
 * @ledger: the ledger
 * @sound: what targets have survived
 * @key: key of the trait
 *
 * Return: true when a request with the trait was at a target that crashed, and
 * none has begun since.
 */
bool
ledger_suspects(const struct crash_ledger *ledger,
                const struct sound_memory *sound, uint64_t key)
{
    int64_t acquitted_ms = sound_at_ms(sound, key);

    for (int i = ledger->count - 1; i >= 0; i--) {
        const struct crash *crash = &ledger->crashes[i];

        if (crash->at_ms <= acquitted_ms) {
            break;
        }
        if (has_suspect(crash, key)) {
            return true;
        }
    }
    return false;
}
