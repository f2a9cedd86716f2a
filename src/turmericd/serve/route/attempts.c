/**
 * DOC: Starts attempts at the forward duty and resumes broken streams.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
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

static void
report_use(struct router *router, struct leaf *leaf, int64_t now_ms)
{
    if (!leaf->plain &&
        now_ms - leaf->last_use_report_ms >= USE_REPORT_INTERVAL_MS) {
        leaf->last_use_report_ms = now_ms;
        router->port->ops->report_use(router->port, leaf->id);
    }
}

static bool
is_last_attempt(struct router *router, const struct routed_call *routed)
{
    struct tree *tree = router->port->ops->tree_ref(router->port);
    const struct node *node = leaf_find_node(tree, routed->leaf);
    bool is_last = !routed->request.idempotent || node == NULL ||
                   routed->attempts_sent + 1 >= node->settings.attempts_max;

    if (tree != NULL) {
        tree_unref(tree);
    }
    return is_last;
}

/* A resumed stream leaves a silent engine early only while another one may
 * resume it; otherwise the end of the attempt would end the answer. */
static int64_t
attempt_deadline_ms(const struct routed_call *routed, bool is_last,
                    int64_t now_ms)
{
    int64_t resume_ms = now_ms + RESUME_TIMEOUT_MS;

    if (routed->events_delivered == 0) {
        return routed->request.deadline_ms;
    }
    return is_last ? MAX(resume_ms, routed->request.deadline_ms) : resume_ms;
}

static void
fill_attempt(const struct routed_call *routed, const struct target *target,
             bool is_last, int64_t now_ms, struct attempt *attempt)
{
    attempt->call = routed->call;
    attempt->target = target->report.id;
    memcpy(attempt->address, target->report.address, sizeof(attempt->address));
    attempt->number = routed->attempts + 1;
    attempt->is_last = is_last;
    attempt->deadline_ms = attempt_deadline_ms(routed, is_last, now_ms);
    attempt->resume_same_engine = routed->resume_same_engine;
    attempt->resume_from = routed->resume_same_engine
                               ? routed->stream_events
                               : routed->events_delivered;
    snprintf(attempt->stream_id, sizeof(attempt->stream_id),
             "%016" PRIx64 "-%d", routed->stream_id, routed->stream_number);
}

static void
add_tried(struct routed_call *routed, uint64_t target)
{
    if (routed->tried_count < TRIED_TARGETS_MAX) {
        routed->tried[routed->tried_count++] = target;
    }
    routed->last_target = target;
}

/**
 * attempt_start() - hand an attempt to the forward duty
 * @router: the router
 * @routed: the routed call
 * @target: target to run it on
 * @now_ms: current monotonic time
 * @err: set on failure
 *
 * Return: false when the forward duty can't take the attempt now; the call
 * then keeps its phase and timer.
 */
bool
attempt_start(struct router *router, struct routed_call *routed,
              struct target *target, int64_t now_ms, struct err *err)
{
    struct attempt attempt = {0};
    struct running_attempt *running =
        table_alloc(&router->attempts, &attempt.id, err);

    if (running == NULL) {
        return false;
    }
    if (!routed->resume_same_engine) {
        routed->stream_number++;
    }
    fill_attempt(routed, target, is_last_attempt(router, routed), now_ms,
                 &attempt);
    *running = (struct running_attempt){
        .routed_call = routed->id,
        .target = target->report.id,
        .incarnation = target->report.incarnation,
        .report_number = target->report_number,
        .resume_from = attempt.resume_from,
        .resume_same_engine = attempt.resume_same_engine,
    };
    if (!router->port->ops->start_attempt(router->port, &attempt, err)) {
        table_free(&router->attempts, attempt.id);
        return false;
    }
    routed_call_dequeue(router, routed);
    heap_remove(&router->timers, &routed->timer);
    routed->phase = ROUTED_RUNNING;
    routed->attempts++;
    add_tried(routed, target->report.id);
    target->inflight++;
    if (holdoff_count_start(&target->holdoff, now_ms)) {
        target_log_holdoff_end(target, "time", now_ms);
    }
    target->started_since_report++;
    report_use(router, routed->leaf, now_ms);
    return true;
}

/**
 * routed_call_resume_other_engine() - continue a call at another engine
 * @router: the router
 * @routed: the routed call
 * @now_ms: current monotonic time
 *
 * When the retry budget is used up, the call waits for it: part of the answer
 * was sent already, or its target was merely silent. Other calls are refused.
 */
void
routed_call_resume_other_engine(struct router *router,
                                struct routed_call *routed, int64_t now_ms)
{
    routed->resume_same_engine = false;
    routed->awaits_budget =
        !routed->budget_charged &&
        !retry_budget_allows(&router->retry_budget, now_ms);
    if (routed->awaits_budget) {
        routed_call_delay(router, routed, now_ms + DEFER_MS);
        return;
    }
    if (!routed->budget_charged) {
        retry_budget_add_retry(&router->retry_budget, now_ms);
        routed->budget_charged = true;
    }
    routed_call_enqueue(router, routed);
}

static bool
is_down(const struct target *target)
{
    return target == NULL || target->report.state == TARGET_DOWN ||
           target->report.state == TARGET_GONE;
}

/**
 * routed_call_resume_same_engine() - resume a stream where it broke off
 * @router: the router
 * @routed: the routed call
 * @now_ms: current monotonic time
 *
 * Falls back to another engine when the engine is down, and when it leaves or
 * wants no requests at present. A stream that no other engine can continue
 * ends at one that leaves, and waits for one that wants no requests.
 */
void
routed_call_resume_same_engine(struct router *router,
                               struct routed_call *routed, int64_t now_ms)
{
    struct target *target =
        fleet_find_target(&router->fleet, routed->last_target);
    int64_t allows_ms =
        target != NULL ? holdoff_allows_ms(&target->holdoff) : 0;
    struct err err = {0};

    routed->resume_same_engine = true;
    if (is_down(target) ||
        ((target->report.state != TARGET_LIVE || allows_ms > now_ms) &&
         call_text_is_complete(router->calls, routed->call))) {
        routed_call_resume_other_engine(router, routed, now_ms);
    }
    else if (allows_ms > now_ms) {
        routed_call_delay(router, routed, allows_ms);
    }
    else if (!attempt_start(router, routed, target, now_ms, &err)) {
        routed_call_delay(router, routed, now_ms + BACKOFF_MIN_MS);
    }
}
