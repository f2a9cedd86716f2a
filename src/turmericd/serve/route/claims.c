/**
 * DOC: Claims of calls that must run at most once.
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

/**
 * routed_call_request_claim() - request the claim of a call
 * @router: the router
 * @routed: the routed call
 * @now_ms: current monotonic time
 *
 * The call's timer repeats the request until the claim is decided or the
 * deadline passes.
 */
void
routed_call_request_claim(struct router *router, struct routed_call *routed,
                          int64_t now_ms)
{
    router->port->ops->request_claim(router->port, &routed->request.claim,
                                     NULL);
    heap_set(&router->timers, &routed->timer,
             MIN(now_ms + CLAIM_RETRY_MS, routed->request.deadline_ms));
}

/* A repeated request may still be granted after these errors. */
static bool
is_retryable(enum err_kind kind)
{
    return kind == ERR_CLAIM_UNAVAILABLE || kind == ERR_KV_DOWN ||
           kind == ERR_KV_CONFLICT || kind == ERR_RING_FULL ||
           kind == ERR_TIMEOUT || kind == ERR_IO;
}

static void
release_late_grant(struct router *router, const struct claim_result *result)
{
    const struct claim_request *claim =
        abandoned_claims_find(&router->abandoned_claims, result->token);

    if (claim != NULL && result->kind == ERR_NONE) {
        router->port->ops->release_claim(router->port, claim);
    }
}

/**
 * router_handle_claim_result() - handle the decision on a claim
 * @router: the router
 * @result: the decision
 * @now_ms: current monotonic time
 *
 * Releases a claim that was granted after its call was refused.
 */
void
router_handle_claim_result(struct router *router,
                           const struct claim_result *result, int64_t now_ms)
{
    struct routed_call *routed = routed_call_find(router, result->call);
    struct err err = {0};

    if (routed == NULL || routed->request.claim.token != result->token) {
        release_late_grant(router, result);
        return;
    }
    if (routed->phase != ROUTED_CLAIMING || is_retryable(result->kind)) {
        return;
    }
    if (result->kind != ERR_NONE) {
        err_set(&err, result->kind,
                "the claim of the idempotency key was refused");
        call_fail(router->calls, routed->call, &err,
                  err_info(result->kind)->outcome);
        routed_call_free(router, routed);
        return;
    }
    routed->claim_granted = true;
    routed_call_enqueue(router, routed);
    leaf_dispatch(router, routed->leaf, now_ms);
}
