/**
 * DOC: Time in which a target wants no requests of this instance.
 *
 * A target that refuses a request may say for how long it wants no others. The
 * calls that waited for the end of that time don't all start at once then:
 * the target gets as many as it ran when it refused, spread over
 * HOLDOFF_RETURN_MS.
 */
#include <glib.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"

/**
 * holdoff_begin() - begin the time, or replace one that runs
 * @holdoff: state of the target
 * @wait_ms: its length
 * @places: requests of this instance that ran at the target
 * @now_ms: monotonic; when the target refused the request
 *
 * The places of a time that is replaced are kept when they are more: while it
 * ran, the requests before it ended and no others started.
 */
void
holdoff_begin(struct holdoff *holdoff, int64_t wait_ms, uint32_t places,
              int64_t now_ms)
{
    uint32_t before = holdoff->active ? holdoff->places : 0;

    *holdoff = (struct holdoff){
        .active = true,
        .since_ms = now_ms,
        .until_ms = now_ms + wait_ms,
        .places = MAX(MAX(places, before), 1),
    };
}

/**
 * holdoff_allows_ms() - when the target may get the next request
 * @holdoff: state of the target
 *
 * Return: monotonic time; 0 when it is not held off.
 */
int64_t
holdoff_allows_ms(const struct holdoff *holdoff)
{
    if (!holdoff->active) {
        return 0;
    }
    return holdoff->until_ms +
           (int64_t)holdoff->started * HOLDOFF_RETURN_MS / holdoff->places;
}

/**
 * holdoff_count_start() - count a request that starts at the target
 * @holdoff: state of the target
 * @now_ms: current monotonic time
 *
 * Return: whether the target is no longer held off from now on.
 */
bool
holdoff_count_start(struct holdoff *holdoff, int64_t now_ms)
{
    bool ends =
        holdoff->active && (++holdoff->started >= holdoff->places ||
                            now_ms - holdoff->until_ms >= HOLDOFF_RETURN_MS);

    holdoff->active &= !ends;
    return ends;
}

/**
 * holdoff_earliest_ms() - when the first live target may get a request
 * @leaf: leaf or plain service that the targets serve
 * @now_ms: current monotonic time
 *
 * Return: monotonic time; 0 when no target is live or one isn't held off.
 */
int64_t
holdoff_earliest_ms(const struct leaf *leaf, int64_t now_ms)
{
    int64_t earliest_ms = 0;

    for (guint i = 0; i < leaf->targets->len; i++) {
        const struct target *target = leaf->targets->pdata[i];
        int64_t allows_ms = holdoff_allows_ms(&target->holdoff);

        if (target->report.state != TARGET_LIVE) {
            continue;
        }
        if (allows_ms <= now_ms) {
            return 0;
        }
        if (earliest_ms == 0 || allows_ms < earliest_ms) {
            earliest_ms = allows_ms;
        }
    }
    return earliest_ms;
}

/**
 * holdoff_retry_after_s() - time until the first live target may get a request
 * @leaf: leaf or plain service that the targets serve
 * @now_ms: current monotonic time
 *
 * Return: seconds, rounded up; 0 when no target is live or one isn't held off.
 */
int
holdoff_retry_after_s(const struct leaf *leaf, int64_t now_ms)
{
    int64_t earliest_ms = holdoff_earliest_ms(leaf, now_ms);

    return earliest_ms == 0 ? 0 : (int)((earliest_ms - now_ms + 999) / 1000);
}
