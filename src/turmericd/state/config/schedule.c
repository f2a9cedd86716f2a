/**
 * DOC: Decisions of a relay or follower of the configuration.
 *
 * Pure functions of the state and the present time.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/internal.h"

/**
 * follow_init() - start without any knowledge, so a read is due at once
 * @follow: the state
 * @seed: seed of the jitter
 */
void
follow_init(struct follow *follow, uint64_t seed)
{
    *follow = (struct follow){
        .last_read_ms = TIME_NEVER,
        .last_fresh_ms = TIME_NEVER,
        .distrust_until_ms = TIME_NEVER,
        .last_fetch_ms = TIME_NEVER,
        .seed = seed,
    };
}

/**
 * follow_next_read_ms() - when the next own read of the service is due
 * @follow: the state
 * @relay: this instance reads for its data centre
 *
 * The jitter keeps followers from reading all at once after their relays
 * have failed.
 */
int64_t
follow_next_read_ms(const struct follow *follow, bool relay)
{
    int64_t jitter_ms;
    int64_t silence_ms;
    int64_t again_ms;

    if (relay) {
        return follow->last_read_ms + RELAY_POLL_MS;
    }
    jitter_ms =
        (int64_t)(hash_pair(follow->seed, follow->reads) % FOLLOWER_JITTER_MS);
    silence_ms = follow->last_fresh_ms + FOLLOWER_SILENCE_MS + jitter_ms;
    again_ms = follow->last_read_ms + FOLLOWER_POLL_MS + jitter_ms;
    return silence_ms > again_ms ? silence_ms : again_ms;
}

/**
 * follow_note_read() - an own read starts
 * @follow: the state
 * @now_ms: present time
 */
void
follow_note_read(struct follow *follow, int64_t now_ms)
{
    follow->last_read_ms = now_ms;
    follow->reads++;
}

/**
 * follow_note_fresh() - a peer has confirmed the revision held
 * @follow: the state
 * @confirmed_ms: when the service confirmed it to the peer
 */
void
follow_note_fresh(struct follow *follow, int64_t confirmed_ms)
{
    if (confirmed_ms > follow->last_fresh_ms) {
        follow->last_fresh_ms = confirmed_ms;
    }
}

/**
 * follow_note_wait() - compare a wait for messages with what was asked for
 * @follow: the state
 * @wanted_ms: longest wait asked for
 * @waited_ms: how long it took
 * @now_ms: present time
 *
 * After a pause of the process, messages that were sent before it are still
 * on their way and look fresh although they are not. So freshness from peers
 * doesn't count for a while, and an own read is due.
 */
void
follow_note_wait(struct follow *follow, int64_t wanted_ms, int64_t waited_ms,
                 int64_t now_ms)
{
    if (waited_ms > wanted_ms + PAUSE_MS) {
        follow->distrust_until_ms = now_ms + DISTRUST_MS;
        follow->last_fresh_ms = TIME_NEVER;
    }
}

/**
 * follow_trusts() - whether freshness from a peer counts
 * @follow: the state
 * @now_ms: present time
 */
bool
follow_trusts(const struct follow *follow, int64_t now_ms)
{
    return now_ms >= follow->distrust_until_ms;
}

/**
 * follow_may_fetch() - whether to ask a peer for entries now
 * @follow: the state
 * @now_ms: present time
 *
 * Return: true at most once in FETCH_INTERVAL_MS.
 */
bool
follow_may_fetch(struct follow *follow, int64_t now_ms)
{
    if (now_ms - follow->last_fetch_ms < FETCH_INTERVAL_MS) {
        return false;
    }
    follow->last_fetch_ms = now_ms;
    return true;
}

/**
 * follow_order() - how a revision from outside relates to the one held
 * @own: revision held
 * @theirs: revision from outside
 */
enum revision_order
follow_order(int64_t own, int64_t theirs)
{
    if (theirs < own) {
        return REVISION_OLDER;
    }
    return theirs == own ? REVISION_SAME : REVISION_NEWER;
}

/**
 * config_is_stale() - whether nothing may be decided with the configuration
 * @confirmed_ms: when the service last confirmed the revision held
 * @now_ms: present time
 */
bool
config_is_stale(int64_t confirmed_ms, int64_t now_ms)
{
    return now_ms - confirmed_ms > STALE_AFTER_MS;
}

/**
 * config_age_ms() - time since the service confirmed the revision held
 * @confirmed_ms: when the service last confirmed the revision held
 * @now_ms: present time
 *
 * Return: the age, at most UINT32_MAX, which also stands for never.
 */
uint32_t
config_age_ms(int64_t confirmed_ms, int64_t now_ms)
{
    int64_t age_ms = now_ms - confirmed_ms;

    if (age_ms < 0) {
        return 0;
    }
    return age_ms > UINT32_MAX ? UINT32_MAX : (uint32_t)age_ms;
}
