/**
 * DOC: Handles the results of attempts.
 */
#include <glib.h>
#include <stdio.h>
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
record_failure(struct router *router, struct routed_call *routed,
               struct target *target, const struct running_attempt *running,
               const struct attempt_result *result, int64_t now_ms)
{
    if (result->kind != ATTEMPT_NOT_SENT) {
        routed->attempts_sent++;
        routed->budget_charged = false;
    }
    if (result->kind == ATTEMPT_NOT_SENT && target != NULL) {
        target->backoff_until_ms = now_ms + CONNECT_BACKOFF_MS;
    }
    if (result->kind == ATTEMPT_NOT_LOADED && target != NULL) {
        fleet_remove_loaded(&router->fleet, target, routed->leaf->id);
    }
    if (result->kind == ATTEMPT_BROKEN || result->kind == ATTEMPT_TIMEOUT) {
        routed->maybe_ran = true;
    }
    /* A target that falls silent and then fails its polls need not have
     * crashed: both may come from one cut of the network. */
    if (result->kind == ATTEMPT_BROKEN && !result->silent) {
        strikes_add_suspect(router->strikes, routed->request.fingerprint,
                            running->target, running->incarnation, now_ms);
        if (target != NULL) {
            target_add_strikes(router, &target->report, now_ms);
        }
    }
}

static void
record_events(struct routed_call *routed,
              const struct running_attempt *running,
              const struct attempt_result *result)
{
    uint32_t events;

    if (result->events == ATTEMPT_EVENTS_NOT_RESUMABLE) {
        routed->not_resumable = true;
        return;
    }
    events = result->events - running->resume_from;
    routed->events_delivered += events;
    routed->stream_events =
        running->resume_same_engine ? routed->stream_events + events : events;
}

static struct retry
decide_retry(struct router *router, const struct routed_call *routed,
             const struct running_attempt *running,
             const struct attempt_result *result, int64_t now_ms)
{
    struct tree *tree = router->port->ops->tree_ref(router->port);
    const struct node *node = leaf_find_node(tree, routed->leaf);
    struct failure failure = {
        .kind = result->kind,
        .silent = result->silent,
        .idempotent = routed->request.idempotent,
        .maybe_ran = routed->maybe_ran,
        .response_started =
            routed->events_delivered > 0 || routed->not_resumable,
        .not_resumable = routed->not_resumable,
        .resumed_same_engine = running->resume_same_engine,
        .attempts = routed->attempts,
        .attempts_sent = routed->attempts_sent,
        .attempts_max = node != NULL ? node->settings.attempts_max : 1,
        .budget_available = retry_budget_allows(&router->retry_budget, now_ms),
    };

    if (tree != NULL) {
        tree_unref(tree);
    }
    return retry_decide(&failure);
}

static void
refuse_after_attempt(struct router *router, struct routed_call *routed,
                     const struct retry *retry, int64_t now_ms)
{
    struct err err = {0};

    err_set(&err, retry->kind, "%s: attempt %d: %.160s", routed->leaf->path,
            routed->attempts, routed->last_failure);
    if (retry->outcome == OUTCOME_NOT_RUN) {
        err.retry_after_s = holdoff_retry_after_s(routed->leaf, now_ms);
    }
    routed_call_refuse(router, routed, &err, retry->outcome, now_ms);
}

static void
apply_decision(struct router *router, struct routed_call *routed,
               const struct retry *retry, int64_t now_ms)
{
    if (retry->action == RETRY_DONE) {
        routed_call_free(router, routed);
        return;
    }
    if (retry->action == RETRY_REFUSE) {
        refuse_after_attempt(router, routed, retry, now_ms);
        return;
    }
    counter_add(retry->counter, 1);
    if (retry->uses_budget) {
        retry_budget_add_retry(&router->retry_budget, now_ms);
    }
    routed->resume_same_engine = false;
    if (retry->action == RETRY_RESUME_SAME_ENGINE ||
        retry->action == RETRY_RESUME_OTHER_ENGINE) {
        routed->request.deadline_ms =
            MAX(routed->request.deadline_ms, now_ms + RESUME_TIMEOUT_MS);
    }
    if (retry->action == RETRY_RESUME_SAME_ENGINE) {
        routed_call_resume_same_engine(router, routed, now_ms);
    }
    else if (retry->action == RETRY_RESUME_OTHER_ENGINE ||
             retry->action == RETRY_AWAIT_BUDGET) {
        routed_call_resume_other_engine(router, routed, now_ms);
    }
    else if (retry->action == RETRY_BACKOFF) {
        routed_call_delay(
            router, routed,
            now_ms + retry_backoff_ms(routed->attempts, &router->random));
    }
    else {
        routed_call_enqueue(router, routed);
    }
}

static void
record_failure_text(const struct attempt_result *result,
                    struct routed_call *routed)
{
    static const char *const names[] = {
        [ATTEMPT_OK] = "whole",
        [ATTEMPT_NOT_SENT] = "no connection",
        [ATTEMPT_NOT_LOADED] = "not loaded",
        [ATTEMPT_BUSY] = "busy",
        [ATTEMPT_BROKEN] = "connection broke",
        [ATTEMPT_TIMEOUT] = "no first byte by the deadline",
        [ATTEMPT_CALLER_GONE] = "the caller is gone",
    };

    if (result->text[0] != '\0') {
        snprintf(routed->last_failure, sizeof(routed->last_failure),
                 "%s: %.200s", names[result->kind], result->text);
    }
    else {
        snprintf(routed->last_failure, sizeof(routed->last_failure), "%s",
                 names[result->kind]);
    }
}

static void
target_end_attempt(struct target *target,
                   const struct running_attempt *running)
{
    target->inflight--;
    if (target->report_number == running->report_number) {
        target->started_since_report--;
    }
    else if (target->inflight_at_report > 0) {
        target->inflight_at_report--;
        if (target->report.running > 0) {
            target->report.running--;
        }
    }
}

/**
 * router_handle_result() - handle the end of an attempt
 * @router: the router
 * @result: how the attempt ended
 * @now_ms: current monotonic time
 */
void
router_handle_result(struct router *router,
                     const struct attempt_result *result, int64_t now_ms)
{
    struct running_attempt *running_slot =
        table_get(&router->attempts, result->id);
    struct running_attempt running;
    struct target *target;
    struct routed_call *routed;
    struct leaf *leaf;
    struct retry retry;

    if (running_slot == NULL) {
        counter_add(CTR_ANSWER_STALE, 1);
        return;
    }
    running = *running_slot;
    table_free(&router->attempts, result->id);
    target = fleet_find_target(&router->fleet, running.target);
    if (target != NULL) {
        target_end_attempt(target, &running);
    }
    routed = table_get(&router->routed_calls, running.routed_call);
    if (routed != NULL) {
        leaf = routed->leaf;
        record_failure_text(result, routed);
        record_events(routed, &running, result);
        record_failure(router, routed, target, &running, result, now_ms);
        retry = decide_retry(router, routed, &running, result, now_ms);
        apply_decision(router, routed, &retry, now_ms);
        leaf_dispatch(router, leaf, now_ms);
    }
    target = fleet_find_target(&router->fleet, running.target);
    if (target != NULL) {
        target_dispatch(router, target, now_ms);
        fleet_remove_gone(&router->fleet, target);
    }
}
