/**
 * DOC: Works: calls that the route duty takes care of.
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

static gint64
call_key(struct handle call)
{
    return (gint64)((uint64_t)call.index << 32 | call.generation);
}

/**
 * work_of_call() - work of a call
 * @core: routing
 * @call: the call
 *
 * Return: NULL when the call is not taken, or has ended.
 */
struct work *
work_of_call(const struct core *core, struct handle call)
{
    gint64 key = call_key(call);

    return g_hash_table_lookup(core->by_call, &key);
}

/**
 * work_add() - work for a call that was admitted
 * @core: routing
 * @request: the request without its body
 * @call: the call
 * @err: filled in on failure
 *
 * Return: NULL with ERR_TABLE_FULL.
 */
struct work *
work_add(struct core *core, const struct call_request *request,
         struct handle call, struct err *err)
{
    struct handle self;
    struct work *work = table_alloc(&core->works, &self, err);
    gint64 *key;

    if (work == NULL) {
        return NULL;
    }
    key = g_new(gint64, 1);
    *key = call_key(call);
    g_hash_table_replace(core->by_call, key, work);
    work->timer.kind = TIMER_WORK;
    work->self = self;
    work->call = call;
    work->request = *request;
    work->sequence = ++core->sequence;
    work->stream_id = random_next(&core->random);
    return work;
}

/**
 * work_unqueue() - take a work out of its leaf's queue if it is there
 * @core: routing
 * @work: the work
 */
void
work_unqueue(struct core *core, struct work *work)
{
    if (work->place != NULL) {
        queue_remove(work);
        core->waiting--;
    }
}

/**
 * work_free() - release a work with its timer and its place in the queue
 * @core: routing
 * @work: the work
 */
void
work_free(struct core *core, struct work *work)
{
    gint64 key = call_key(work->call);

    work_unqueue(core, work);
    heap_remove(&core->timers, &work->timer);
    g_hash_table_remove(core->by_call, &key);
    table_free(&core->works, work->self);
}

/**
 * work_refuse() - refuse the call of a work and release the work
 * @core: routing
 * @work: the work
 * @err: reason
 * @outcome: whether the call ran
 * @now_ms: present time
 *
 * A claim is given back only when the call provably did not run; one that is
 * still asked for is watched for.
 */
void
work_refuse(struct core *core, struct work *work, const struct err *err,
            enum outcome outcome, int64_t now_ms)
{
    if (!work->request.idempotent && outcome == OUTCOME_NOT_RUN) {
        if (work->granted) {
            core->port->ops->release(core->port, &work->request.claim);
        }
        else if (work->phase == WORK_CLAIMING) {
            orphan_add(&core->orphans, &work->request.claim, now_ms);
        }
    }
    call_fail(core->calls, work->call, err, outcome);
    work_free(core, work);
}

/**
 * work_idle_outcome() - outcome of a refusal that comes while nothing runs
 * @work: the work
 */
enum outcome
work_idle_outcome(const struct work *work)
{
    return work->maybe_ran || work->passed > 0 ? OUTCOME_UNKNOWN
                                               : OUTCOME_NOT_RUN;
}

/**
 * work_enqueue() - let a work wait for a target until its deadline
 * @core: routing
 * @work: the work
 */
void
work_enqueue(struct core *core, struct work *work)
{
    queue_add(work->leaf, work);
    core->waiting++;
    heap_set(&core->timers, &work->timer, work->request.deadline_ms);
}

/**
 * work_wait() - put a work off
 * @core: routing
 * @work: the work
 * @until_ms: end of the wait; its deadline may come earlier
 */
void
work_wait(struct core *core, struct work *work, int64_t until_ms)
{
    work_unqueue(core, work);
    work->phase = WORK_BACKOFF;
    work->not_before_ms = until_ms;
    heap_set(&core->timers, &work->timer,
             MIN(until_ms, work->request.deadline_ms));
}
