/**
 * DOC: What follows from the result of an attempt.
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
note_failure(struct core *core, struct work *work, struct target *target,
             const struct running *running,
             const struct attempt_result *result, int64_t now_ms)
{
    if (result->kind != ATTEMPT_NOT_SENT) {
        work->sent++;
        work->paid_budget = false;
    }
    if (result->kind == ATTEMPT_NOT_SENT && target != NULL) {
        target->avoid_until_ms = now_ms + AVOID_MS;
    }
    if (result->kind == ATTEMPT_NOT_LOADED && target != NULL) {
        fleet_drop_loaded(&core->fleet, target, work->leaf->id);
    }
    if (result->kind == ATTEMPT_BROKEN || result->kind == ATTEMPT_TIMEOUT) {
        work->maybe_ran = true;
    }
    if (result->kind == ATTEMPT_BROKEN) {
        strike_suspect(core->strikes, work->request.fingerprint,
                       running->target, running->incarnation, now_ms);
        if (target != NULL) {
            target_note_strikes(core, &target->report, now_ms);
        }
    }
}

static void
note_events(struct work *work, const struct running *running,
            const struct attempt_result *result)
{
    uint32_t events;

    if (result->events == ATTEMPT_EVENTS_NO_RESUME) {
        work->no_resume = true;
        return;
    }
    events = result->events - running->resume_from;
    work->passed += events;
    work->stream_events =
        running->resume_here ? work->stream_events + events : events;
}

static struct retry
decide_retry(struct core *core, const struct work *work,
             const struct running *running, enum attempt_result_kind kind,
             int64_t now_ms)
{
    struct tree *tree = core->port->ops->tree(core->port);
    const struct node *node = leaf_find_node(tree, work->leaf);
    struct failure failure = {
        .kind = kind,
        .idempotent = work->request.idempotent,
        .maybe_ran = work->maybe_ran,
        .began = work->passed > 0 || work->no_resume,
        .no_resume = work->no_resume,
        .was_resume_here = running->resume_here,
        .attempts = work->attempts,
        .sent = work->sent,
        .attempts_max = node != NULL ? node->settings.attempts_max : 1,
        .has_budget = budget_has_room(&core->budget, now_ms),
    };

    if (tree != NULL) {
        tree_unref(tree);
    }
    return retry_decide(&failure);
}

static void
refuse_after_attempt(struct core *core, struct work *work,
                     const struct retry *retry, int64_t now_ms)
{
    struct err err = {0};

    err_set(&err, retry->kind, "%s: attempt %d: %.160s", work->leaf->path,
            work->attempts, work->last_failure);
    work_refuse(core, work, &err, retry->outcome, now_ms);
}

static void
follow_decision(struct core *core, struct work *work,
                const struct retry *retry, int64_t now_ms)
{
    if (retry->action == RETRY_DONE) {
        work_free(core, work);
        return;
    }
    if (retry->action == RETRY_REFUSE) {
        refuse_after_attempt(core, work, retry, now_ms);
        return;
    }
    counter_add(retry->counter, 1);
    if (retry->spends) {
        budget_spend(&core->budget, now_ms);
    }
    work->resume_here = false;
    if (retry->action == RETRY_RESUME_HERE ||
        retry->action == RETRY_RESUME_ELSEWHERE) {
        work->request.deadline_ms = now_ms + RESUME_MAX_MS;
    }
    if (retry->action == RETRY_RESUME_HERE) {
        work_resume_here(core, work, now_ms);
    }
    else if (retry->action == RETRY_RESUME_ELSEWHERE) {
        work_resume_elsewhere(core, work, now_ms);
    }
    else if (retry->action == RETRY_BACKOFF) {
        work_wait(core, work,
                  now_ms + backoff_ms(work->attempts, &core->random));
    }
    else {
        work_enqueue(core, work);
    }
}

static void
note_reason(const struct attempt_result *result, struct work *work)
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
        snprintf(work->last_failure, sizeof(work->last_failure), "%s: %.200s",
                 names[result->kind], result->text);
    }
    else {
        snprintf(work->last_failure, sizeof(work->last_failure), "%s",
                 names[result->kind]);
    }
}

static void
target_end_attempt(struct target *target, const struct running *running)
{
    target->inflight--;
    if (target->report_number == running->report_number) {
        target->started--;
    }
    else if (target->inflight_at_report > 0) {
        target->inflight_at_report--;
        if (target->report.running > 0) {
            target->report.running--;
        }
    }
}

/**
 * core_result() - an attempt ended
 * @core: routing
 * @result: how
 * @now_ms: present time
 */
void
core_result(struct core *core, const struct attempt_result *result,
            int64_t now_ms)
{
    struct running *slot = table_get(&core->attempts, result->id);
    struct running running;
    struct target *target;
    struct work *work;
    struct leaf *leaf;
    struct retry retry;

    if (slot == NULL) {
        counter_add(CTR_ANSWER_STALE, 1);
        return;
    }
    running = *slot;
    table_free(&core->attempts, result->id);
    target = fleet_target(&core->fleet, running.target);
    if (target != NULL) {
        target_end_attempt(target, &running);
    }
    work = table_get(&core->works, running.work);
    if (work != NULL) {
        leaf = work->leaf;
        note_reason(result, work);
        note_events(work, &running, result);
        note_failure(core, work, target, &running, result, now_ms);
        retry = decide_retry(core, work, &running, result->kind, now_ms);
        follow_decision(core, work, &retry, now_ms);
        leaf_dispatch(core, leaf, now_ms);
    }
    target = fleet_target(&core->fleet, running.target);
    if (target != NULL) {
        target_dispatch(core, target, now_ms);
        fleet_forget_gone(&core->fleet, target);
    }
}
