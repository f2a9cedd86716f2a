/**
 * DOC: Decides when a relay or follower polls and which peer reports count.
 *
 * The decisions depend only on the arguments; nothing here reads a clock or
 * does I/O.
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
 * schedule_init() - initialize the schedule; the first poll is due at once
 * @schedule: the schedule
 * @seed: seed of the jitter
 */
void
schedule_init(struct poll_schedule *schedule, uint64_t seed)
{
    *schedule = (struct poll_schedule){
        .last_poll_ms = TIME_NEVER,
        .last_peer_confirmed_ms = TIME_NEVER,
        .distrust_peers_until_ms = TIME_NEVER,
        .last_fetch_ms = TIME_NEVER,
        .jitter_seed = seed,
    };
}

/**
 * schedule_next_poll_ms() - when this instance polls the store next
 * @schedule: the schedule
 * @relay: this instance polls on behalf of its data centre
 *
 * The jitter keeps the followers of failed relays from polling all at once.
 *
 * Return: monotonic time in ms; in the past when a poll is due.
 */
int64_t
schedule_next_poll_ms(const struct poll_schedule *schedule, bool relay)
{
    int64_t jitter_ms;
    int64_t timeout_due_ms;
    int64_t interval_due_ms;

    if (relay) {
        return schedule->last_poll_ms + RELAY_POLL_INTERVAL_MS;
    }
    jitter_ms =
        (int64_t)(hash_pair(schedule->jitter_seed, schedule->poll_count) %
                  FOLLOWER_POLL_JITTER_MS);
    timeout_due_ms = schedule->last_peer_confirmed_ms +
                     PEER_CONFIRMATION_TIMEOUT_MS + jitter_ms;
    interval_due_ms =
        schedule->last_poll_ms + FOLLOWER_POLL_INTERVAL_MS + jitter_ms;
    return timeout_due_ms > interval_due_ms ? timeout_due_ms : interval_due_ms;
}

/**
 * schedule_record_poll() - record the start of a poll
 * @schedule: the schedule
 * @now_ms: current monotonic time
 */
void
schedule_record_poll(struct poll_schedule *schedule, int64_t now_ms)
{
    schedule->last_poll_ms = now_ms;
    schedule->poll_count++;
}

/**
 * schedule_record_peer_confirmation() - record that a peer confirmed the
 * current revision
 * @schedule: the schedule
 * @confirmed_ms: when the store confirmed it to the peer, as local monotonic
 *                time
 */
void
schedule_record_peer_confirmation(struct poll_schedule *schedule,
                                  int64_t confirmed_ms)
{
    if (confirmed_ms > schedule->last_peer_confirmed_ms) {
        schedule->last_peer_confirmed_ms = confirmed_ms;
    }
}

/**
 * schedule_detect_pause() - detect a pause of the process from a long wait
 * @schedule: the schedule
 * @timeout_ms: longest wait requested
 * @waited_ms: actual duration of the wait
 * @now_ms: current monotonic time
 *
 * Messages sent before a pause of the process arrive after it and look fresh
 * although they are not. So freshness reported by peers is ignored for
 * PEER_DISTRUST_MS after a pause, and a poll becomes due.
 */
void
schedule_detect_pause(struct poll_schedule *schedule, int64_t timeout_ms,
                      int64_t waited_ms, int64_t now_ms)
{
    if (waited_ms > timeout_ms + PAUSE_THRESHOLD_MS) {
        schedule->distrust_peers_until_ms = now_ms + PEER_DISTRUST_MS;
        schedule->last_peer_confirmed_ms = TIME_NEVER;
    }
}

/**
 * schedule_trusts_peers() - whether freshness reported by peers counts
 * @schedule: the schedule
 * @now_ms: current monotonic time
 */
bool
schedule_trusts_peers(const struct poll_schedule *schedule, int64_t now_ms)
{
    return now_ms >= schedule->distrust_peers_until_ms;
}

/**
 * schedule_try_fetch() - limit the rate of requests for entries to peers
 * @schedule: the schedule
 * @now_ms: current monotonic time
 *
 * Return: whether a request may be sent now; true at most once per
 * FETCH_INTERVAL_MIN_MS.
 */
bool
schedule_try_fetch(struct poll_schedule *schedule, int64_t now_ms)
{
    if (now_ms - schedule->last_fetch_ms < FETCH_INTERVAL_MIN_MS) {
        return false;
    }
    schedule->last_fetch_ms = now_ms;
    return true;
}

/**
 * revision_compare() - how a peer's revision relates to the current one
 * @local: current revision of this instance
 * @remote: revision reported by a peer
 */
enum revision_order
revision_compare(int64_t local, int64_t remote)
{
    if (remote < local) {
        return REVISION_OLDER;
    }
    return remote == local ? REVISION_SAME : REVISION_NEWER;
}

/**
 * config_is_stale() - whether the configuration is too old to base decisions
 * on
 * @confirmed_ms: when the store last confirmed the current revision
 * @now_ms: current monotonic time
 */
bool
config_is_stale(int64_t confirmed_ms, int64_t now_ms)
{
    return now_ms - confirmed_ms > STALE_AFTER_MS;
}

/**
 * config_age_ms() - time since the store confirmed the current revision
 * @confirmed_ms: when the store last confirmed the current revision
 * @now_ms: current monotonic time
 *
 * Return: age in ms, from 0 to UINT32_MAX; UINT32_MAX also means that the
 * revision was never confirmed.
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
