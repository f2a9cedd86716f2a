/**
 * DOC: Routed calls: state of each admitted call until it is answered.
 */
#include <glib.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"
#include "turmericd/serve/route/router.h"

static gint64
call_key(struct handle call)
{
    return (gint64)((uint64_t)call.index << 32 | call.generation);
}

/**
 * routed_call_find() - find the routed call of a call
 * @router: the router
 * @call: the call
 *
 * Return: NULL when the call was not admitted or has ended.
 */
struct routed_call *
routed_call_find(const struct router *router, struct handle call)
{
    gint64 key = call_key(call);

    return g_hash_table_lookup(router->by_call, &key);
}

/**
 * routed_call_add() - add a routed call for an admitted call
 * @router: the router
 * @request: the request without its body, copied
 * @call: the call
 * @err: set on failure
 *
 * Return: the routed call, owned by the router; NULL with ERR_TABLE_FULL.
 */
struct routed_call *
routed_call_add(struct router *router, const struct call_request *request,
                struct handle call, struct err *err)
{
    struct handle id;
    struct routed_call *routed = table_alloc(&router->routed_calls, &id, err);
    gint64 *key;

    if (routed == NULL) {
        return NULL;
    }
    key = g_new(gint64, 1);
    *key = call_key(call);
    g_hash_table_replace(router->by_call, key, routed);
    routed->timer.kind = TIMER_CALL;
    routed->id = id;
    routed->call = call;
    routed->request = *request;
    routed->sequence = ++router->sequence;
    routed->stream_id = random_next(&router->random);
    return routed;
}

/**
 * routed_call_dequeue() - remove a call from its leaf's queue if it is there
 * @router: the router
 * @routed: the routed call
 */
void
routed_call_dequeue(struct router *router, struct routed_call *routed)
{
    if (routed->queue_position != NULL) {
        call_queue_remove(routed);
        router->queued_count--;
    }
}

/**
 * routed_call_free() - remove a routed call with its timer and queue entry
 * @router: the router
 * @routed: the routed call
 */
void
routed_call_free(struct router *router, struct routed_call *routed)
{
    gint64 key = call_key(routed->call);

    routed_call_dequeue(router, routed);
    heap_remove(&router->timers, &routed->timer);
    g_hash_table_remove(router->by_call, &key);
    table_free(&router->routed_calls, routed->id);
}

/**
 * routed_call_refuse() - refuse a call and release its routed call
 * @router: the router
 * @routed: the routed call
 * @err: reason
 * @outcome: whether the call has run
 * @now_ms: current monotonic time
 *
 * Releases the claim only when the call provably did not run. A claim that is
 * not decided yet is recorded as abandoned.
 */
void
routed_call_refuse(struct router *router, struct routed_call *routed,
                   const struct err *err, enum outcome outcome, int64_t now_ms)
{
    if (!routed->request.idempotent && outcome == OUTCOME_NOT_RUN) {
        if (routed->claim_granted) {
            router->port->ops->release_claim(router->port,
                                             &routed->request.claim);
        }
        else if (routed->phase == ROUTED_CLAIMING) {
            abandoned_claims_add(&router->abandoned_claims,
                                 &routed->request.claim, now_ms);
        }
    }
    call_fail(router->calls, routed->call, err, outcome);
    routed_call_free(router, routed);
}

/**
 * routed_call_idle_outcome() - outcome of a call without a running attempt
 * @routed: the routed call
 */
enum outcome
routed_call_idle_outcome(const struct routed_call *routed)
{
    return routed->maybe_ran || routed->events_delivered > 0 ? OUTCOME_UNKNOWN
                                                             : OUTCOME_NOT_RUN;
}

/**
 * routed_call_enqueue() - queue a call for a target until its deadline
 * @router: the router
 * @routed: the routed call
 */
void
routed_call_enqueue(struct router *router, struct routed_call *routed)
{
    call_queue_add(routed->leaf, routed);
    router->queued_count++;
    heap_set(&router->timers, &routed->timer, routed->request.deadline_ms);
}

/**
 * routed_call_delay() - delay a call
 * @router: the router
 * @routed: the routed call
 * @until_ms: monotonic; the deadline may come earlier
 */
void
routed_call_delay(struct router *router, struct routed_call *routed,
                  int64_t until_ms)
{
    routed_call_dequeue(router, routed);
    routed->phase = ROUTED_DELAYED;
    routed->delayed_until_ms = until_ms;
    heap_set(&router->timers, &routed->timer,
             MIN(until_ms, routed->request.deadline_ms));
}
