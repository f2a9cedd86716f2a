/**
 * DOC: Starts attempts at the forward duty, and resumes streams by them.
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
tell_use(struct core *core, struct leaf *leaf, int64_t now_ms)
{
    if (!leaf->plain && now_ms - leaf->last_use_ms >= USE_INTERVAL_MS) {
        leaf->last_use_ms = now_ms;
        core->port->ops->use(core->port, leaf->id);
    }
}

static void
fill_attempt(const struct work *work, const struct target *target,
             int64_t now_ms, struct attempt *attempt)
{
    attempt->call = work->call;
    attempt->target = target->report.id;
    memcpy(attempt->address, target->report.address, sizeof(attempt->address));
    attempt->number = work->attempts + 1;
    attempt->deadline_ms =
        work->passed > 0 ? now_ms + RESUME_MAX_MS : work->request.deadline_ms;
    attempt->resume_here = work->resume_here;
    attempt->resume_from =
        work->resume_here ? work->stream_events : work->passed;
    snprintf(attempt->stream_id, sizeof(attempt->stream_id),
             "%016" PRIx64 "-%d", work->stream_id, work->stream_number);
}

static void
note_tried(struct work *work, uint64_t target)
{
    if (work->tried_count < TRIED_MAX) {
        work->tried[work->tried_count++] = target;
    }
    work->last_target = target;
}

/**
 * attempt_start() - hand an attempt to the forward duty
 * @core: routing
 * @work: the work
 * @target: where it runs
 * @now_ms: present time
 * @err: filled in on failure
 *
 * Return: false when the forward duty can't take the attempt now.
 */
bool
attempt_start(struct core *core, struct work *work, struct target *target,
              int64_t now_ms, struct err *err)
{
    struct attempt attempt = {0};
    struct running *running = table_alloc(&core->attempts, &attempt.id, err);

    if (running == NULL) {
        return false;
    }
    if (!work->resume_here) {
        work->stream_number++;
    }
    fill_attempt(work, target, now_ms, &attempt);
    *running = (struct running){
        .work = work->self,
        .target = target->report.id,
        .incarnation = target->report.incarnation,
        .report_number = target->report_number,
        .resume_from = attempt.resume_from,
        .resume_here = attempt.resume_here,
    };
    if (!core->port->ops->attempt(core->port, &attempt, err)) {
        table_free(&core->attempts, attempt.id);
        return false;
    }
    work_unqueue(core, work);
    heap_remove(&core->timers, &work->timer);
    work->phase = WORK_RUNNING;
    work->attempts++;
    note_tried(work, target->report.id);
    target->inflight++;
    target->started++;
    tell_use(core, work->leaf, now_ms);
    return true;
}

/**
 * work_resume_elsewhere() - resume a stream at another engine
 * @core: routing
 * @work: the work
 * @now_ms: present time
 *
 * The caller has part of the answer, so a stream waits for the budget where a
 * call that has not begun is refused.
 */
void
work_resume_elsewhere(struct core *core, struct work *work, int64_t now_ms)
{
    work->resume_here = false;
    work->owes_budget =
        !work->paid_budget && !budget_has_room(&core->budget, now_ms);
    if (work->owes_budget) {
        work_wait(core, work, now_ms + HOLD_MS);
        return;
    }
    if (!work->paid_budget) {
        budget_spend(&core->budget, now_ms);
        work->paid_budget = true;
    }
    work_enqueue(core, work);
}

/**
 * work_resume_here() - resume a stream at the engine that it broke off at
 * @core: routing
 * @work: the work
 * @now_ms: present time
 */
void
work_resume_here(struct core *core, struct work *work, int64_t now_ms)
{
    struct target *target = fleet_target(&core->fleet, work->last_target);
    struct err err = {0};

    work->resume_here = true;
    if (target == NULL || target->report.state == TARGET_DOWN ||
        target->report.state == TARGET_GONE) {
        work_resume_elsewhere(core, work, now_ms);
    }
    else if (!attempt_start(core, work, target, now_ms, &err)) {
        work_wait(core, work, now_ms + BACKOFF_MIN_MS);
    }
}
