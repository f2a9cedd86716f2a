/**
 * DOC: Claims of calls that may not be repeated.
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
#include "turmericd/serve/route/core.h"

/**
 * claim_ask() - ask for the claim of a work, and again until it is decided
 * @core: routing
 * @work: the work
 * @now_ms: present time
 */
void
claim_ask(struct core *core, struct work *work, int64_t now_ms)
{
    core->port->ops->claim(core->port, &work->request.claim, NULL);
    heap_set(&core->timers, &work->timer,
             MIN(now_ms + CLAIM_REPEAT_MS, work->request.deadline_ms));
}

/* The claim duty may still succeed when it is asked again. */
static bool
is_transient(enum err_kind kind)
{
    return kind == ERR_CLAIM_UNAVAILABLE || kind == ERR_KV_DOWN ||
           kind == ERR_KV_CONFLICT || kind == ERR_RING_FULL ||
           kind == ERR_TIMEOUT || kind == ERR_IO;
}

static void
late_verdict(struct core *core, const struct claim_verdict *verdict)
{
    const struct claim_request *claim =
        orphan_find(&core->orphans, verdict->token);

    if (claim != NULL && verdict->kind == ERR_NONE) {
        core->port->ops->release(core->port, claim);
    }
}

/**
 * core_verdict() - a claim was decided
 * @core: routing
 * @verdict: the decision
 * @now_ms: present time
 */
void
core_verdict(struct core *core, const struct claim_verdict *verdict,
             int64_t now_ms)
{
    struct work *work = work_of_call(core, verdict->call);
    struct err err = {0};

    if (work == NULL || work->request.claim.token != verdict->token) {
        late_verdict(core, verdict);
        return;
    }
    if (work->phase != WORK_CLAIMING || is_transient(verdict->kind)) {
        return;
    }
    if (verdict->kind != ERR_NONE) {
        err_set(&err, verdict->kind, "the claim of the key was refused");
        call_fail(core->calls, work->call, &err,
                  err_info(verdict->kind)->outcome);
        work_free(core, work);
        return;
    }
    work->granted = true;
    work_enqueue(core, work);
    leaf_dispatch(core, work->leaf, now_ms);
}
