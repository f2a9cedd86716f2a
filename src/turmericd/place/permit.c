/**
 * DOC: Permits for loads from the weight store, at the member that grants
 * them.
 *
 * The permits are soft state: they limit the load on the weight store, and
 * nothing else depends on them. A requester repeats its request while it waits
 * and while it loads. A member that takes over thus learns the state, and the
 * permits of a requester that has failed expire.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum {
    PERMIT_EXPIRES_MS = 5000, /* five requests, one a second, were missed */
    ADAPTER_PERMITS_MAX = 30, /* above that, each adapter loads more slowly */
    RATE_WINDOW_MS = 1000,
};

static struct load_permit *
find_permit(struct load_permits *permits, uint64_t token)
{
    for (int i = 0; i < permits->count; i++) {
        if (permits->permits[i].token == token) {
            return &permits->permits[i];
        }
    }
    return NULL;
}

/**
 * load_permits_request() - add a request, or renew it when it is repeated
 * @permits: the load permits
 * @request: token, leaf, member, priority and whether it is an adapter
 * @now_ms: current time
 * @err: filled in on failure
 *
 * Return: false with ERR_TABLE_FULL; the requester repeats its request.
 */
bool
load_permits_request(struct load_permits *permits,
                     const struct load_permit *request, int64_t now_ms,
                     struct err *err)
{
    struct load_permit *permit = find_permit(permits, request->token);

    if (permit != NULL) {
        permit->renewed_ms = now_ms;
        permit->priority = request->priority;
        return true;
    }
    if (permits->count == LOAD_PERMITS_MAX) {
        return err_set(err, ERR_TABLE_FULL,
                       "%d load permits are waiting or granted",
                       LOAD_PERMITS_MAX);
    }
    permit = &permits->permits[permits->count++];
    *permit = *request;
    permit->arrival = ++permits->last_arrival;
    permit->renewed_ms = now_ms;
    permit->granted = false;
    return true;
}

static bool
rate_allows(const struct load_permits *permits, int64_t per_s, int64_t now_ms)
{
    uint64_t limit =
        per_s < LOAD_PERMITS_MAX ? (uint64_t)per_s : LOAD_PERMITS_MAX;
    uint64_t earlier;

    if (permits->grant_count < limit) {
        return true;
    }
    earlier = (permits->grant_count - limit) % LOAD_PERMITS_MAX;
    return now_ms - permits->granted_ms[earlier] >= RATE_WINDOW_MS;
}

static int
granted_count(const struct load_permits *permits, bool adapter)
{
    int count = 0;

    for (int i = 0; i < permits->count; i++) {
        if (permits->permits[i].granted &&
            permits->permits[i].adapter == adapter) {
            count++;
        }
    }
    return count;
}

static struct load_permit *
first_waiting(struct load_permits *permits, bool adapter)
{
    struct load_permit *first = NULL;

    for (int i = 0; i < permits->count; i++) {
        struct load_permit *permit = &permits->permits[i];

        if (permit->granted || permit->adapter != adapter) {
            continue;
        }
        if (first == NULL || permit->priority > first->priority ||
            (permit->priority == first->priority &&
             permit->arrival < first->arrival)) {
            first = permit;
        }
    }
    return first;
}

static bool
grant(struct load_permit *permit, struct load_permit *granted)
{
    permit->granted = true;
    *granted = *permit;
    return true;
}

/**
 * load_permits_grant_next() - grant one permit if the limits allow
 * @permits: the load permits
 * @at_once: store_loads_at_once
 * @per_s: store_loads_per_s, for any window of one second
 * @now_ms: current time
 * @granted: filled in
 *
 * Adapters are small, so only the number of their permits is limited.
 *
 * Return: false when no request waits or a limit is reached.
 */
bool
load_permits_grant_next(struct load_permits *permits, int64_t at_once,
                        int64_t per_s, int64_t now_ms,
                        struct load_permit *granted)
{
    struct load_permit *permit = first_waiting(permits, true);

    if (permit != NULL && granted_count(permits, true) < ADAPTER_PERMITS_MAX) {
        return grant(permit, granted);
    }
    permit = first_waiting(permits, false);
    if (permit == NULL || granted_count(permits, false) >= at_once ||
        !rate_allows(permits, per_s, now_ms)) {
        return false;
    }
    permits->granted_ms[permits->grant_count++ % LOAD_PERMITS_MAX] = now_ms;
    return grant(permit, granted);
}

static void
drop_permit(struct load_permits *permits, struct load_permit *permit)
{
    *permit = permits->permits[--permits->count];
}

/**
 * load_permits_release() - remove a permit or request that is no longer needed
 * @permits: the load permits
 * @token: its token
 */
void
load_permits_release(struct load_permits *permits, uint64_t token)
{
    struct load_permit *permit = find_permit(permits, token);

    if (permit != NULL) {
        drop_permit(permits, permit);
    }
}

/**
 * load_permits_expire() - remove permits that were not renewed
 * @permits: the load permits
 * @now_ms: current time
 */
void
load_permits_expire(struct load_permits *permits, int64_t now_ms)
{
    for (int i = permits->count - 1; i >= 0; i--) {
        if (now_ms - permits->permits[i].renewed_ms > PERMIT_EXPIRES_MS) {
            drop_permit(permits, &permits->permits[i]);
        }
    }
}
