/**
 * DOC: What the route duty does with calls, reports, results and verdicts.
 *
 * Every call that is taken is a work. A work has one timer, set to its
 * deadline or to an earlier moment at which it is due; it waits for its
 * claim, in the queue of its leaf, for the end of a backoff, or for the
 * result of an attempt. Only the last has no timer: the forward duty ends
 * each attempt by its deadline.
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

enum { WORKS_MAX = 8192, RESOLVED_MAX = 64 };

/**
 * struct running - an attempt at the forward duty
 */
struct running {
    struct handle work;
    uint64_t target;
    uint64_t incarnation;
    uint64_t report_number;
    uint32_t resume_from;
    bool resume_here;
};

struct core {
    struct calls *calls;
    struct route_port *port;
    char data_centre[NAME_MAX_BYTES];
    uint64_t random;
    uint64_t sequence;
    struct table works;
    struct table attempts;
    GHashTable *by_call;
    struct heap timers;
    struct fleet fleet;
    struct orphans orphans;
    struct strikes *strikes;
    struct budget budget;
    int waiting;
    bool forward_full;
};

static void dispatch(struct core *core, struct leaf *leaf, int64_t now_ms);

/**
 * core_new() - routing without calls and targets
 * @calls: table of calls
 * @data_centre: own data centre
 * @seed: of the random numbers
 * @port: the rest of the instance
 * @err: filled in on failure
 */
struct core *
core_new(struct calls *calls, const char *data_centre, uint64_t seed,
         struct route_port *port, struct err *err)
{
    struct core *core = g_new0(struct core, 1);

    core->calls = calls;
    core->port = port;
    core->random = seed;
    g_strlcpy(core->data_centre, data_centre, sizeof(core->data_centre));
    if (!table_init(&core->works, WORKS_MAX, sizeof(struct work), err)) {
        g_free(core);
        return NULL;
    }
    if (!table_init(&core->attempts, WORKS_MAX, sizeof(struct running), err)) {
        table_free_all(&core->works);
        g_free(core);
        return NULL;
    }
    core->by_call =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    heap_init(&core->timers);
    fleet_init(&core->fleet);
    orphans_init(&core->orphans);
    core->strikes = strikes_new();
    return core;
}

/**
 * core_free() - release routing; calls in progress stay unanswered
 * @core: routing; may be NULL
 */
void
core_free(struct core *core)
{
    if (core == NULL) {
        return;
    }
    strikes_free(core->strikes);
    orphans_clear(&core->orphans);
    fleet_clear(&core->fleet);
    heap_clear(&core->timers);
    g_hash_table_destroy(core->by_call);
    table_free_all(&core->attempts);
    table_free_all(&core->works);
    g_free(core);
}

static gint64
call_key(struct handle call)
{
    return (gint64)((uint64_t)call.index << 32 | call.generation);
}

static struct work *
work_of_call(const struct core *core, struct handle call)
{
    gint64 key = call_key(call);

    return g_hash_table_lookup(core->by_call, &key);
}

static struct work *
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

static void
work_unqueue(struct core *core, struct work *work)
{
    if (work->place != NULL) {
        queue_remove(work);
        core->waiting--;
    }
}

static void
work_free(struct core *core, struct work *work)
{
    gint64 key = call_key(work->call);

    work_unqueue(core, work);
    heap_remove(&core->timers, &work->timer);
    g_hash_table_remove(core->by_call, &key);
    table_free(&core->works, work->self);
}

/* Ends a work. A claim is given back only when the call provably did not
 * run; one that is still asked for is watched for. */
static void
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
    call_refuse(core->calls, work->call, err, outcome);
    work_free(core, work);
}

/* Outcome of a refusal that comes while nothing runs. */
static enum outcome
idle_outcome(const struct work *work)
{
    return work->maybe_ran || work->passed > 0 ? OUTCOME_UNKNOWN
                                               : OUTCOME_NOT_RUN;
}

static void
enqueue(struct core *core, struct work *work)
{
    queue_add(work->leaf, work);
    core->waiting++;
    heap_set(&core->timers, &work->timer, work->request.deadline_ms);
}

static void
wait_until(struct core *core, struct work *work, int64_t until_ms)
{
    work_unqueue(core, work);
    work->phase = WORK_BACKOFF;
    work->not_before_ms = until_ms;
    heap_set(&core->timers, &work->timer,
             MIN(until_ms, work->request.deadline_ms));
}

static void
send_want(struct core *core, struct leaf *leaf, int64_t now_ms)
{
    struct want want = {
        .leaf = leaf->id,
        .priority = queue_priority(leaf),
        .waiting = queue_length(leaf),
    };

    if (leaf->plain || now_ms - leaf->last_want_ms < WANT_INTERVAL_MS) {
        return;
    }
    memcpy(want.path, leaf->path, sizeof(want.path));
    if (core->port->ops->want(core->port, &want, NULL)) {
        leaf->last_want_ms = now_ms;
    }
}

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

/* Returns false when the forward duty can't take the attempt now. */
static bool
start_attempt(struct core *core, struct work *work, struct target *target,
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

/* Returns whether the work may run; otherwise it was refused or put off. */
static bool
pass_strikes(struct core *core, struct work *work, int64_t now_ms)
{
    struct err err = {0};

    switch (strike_check(core->strikes, work->request.fingerprint, now_ms)) {
    case STRIKE_CLEAR:
        return true;
    case STRIKE_HOLD:
        wait_until(core, work, now_ms + HOLD_MS);
        return false;
    case STRIKE_REFUSE:
        break;
    }
    err_set(&err, ERR_CRASHES_TARGETS,
            "%d targets went down while they ran this request",
            STRIKES_REFUSE);
    work_refuse(core, work, &err, idle_outcome(work), now_ms);
    return false;
}

static const struct node *
node_of(const struct tree *tree, const struct leaf *leaf)
{
    return tree != NULL ? tree_node_by_id(tree, leaf->id) : NULL;
}

static void
refuse_waiting(struct core *core, struct leaf *leaf, const struct err *err,
               int64_t now_ms)
{
    struct work *work;

    while ((work = queue_first(leaf)) != NULL) {
        work_refuse(core, work, err, idle_outcome(work), now_ms);
    }
}

/* Returns false when the first work has to go on waiting. */
static bool
dispatch_first(struct core *core, struct leaf *leaf, const struct node *node,
               int64_t now_ms)
{
    struct work *work = queue_first(leaf);
    struct target *target = NULL;
    struct err err = {0};
    struct pick_query query = {
        .data_centre = core->data_centre,
        .tried = work->tried,
        .tried_count = work->tried_count,
        .inflight_max = node->settings.inflight_max,
        .now_ms = now_ms,
    };

    if (!pass_strikes(core, work, now_ms)) {
        return true;
    }
    switch (pick_target((struct target *const *)leaf->holders->pdata,
                        (int)leaf->holders->len, &query, &core->random,
                        &target)) {
    case PICK_OK:
        leaf->reason = ERR_NONE;
        if (start_attempt(core, work, target, now_ms, &err)) {
            return true;
        }
        core->forward_full = true;
        g_strlcpy(work->last_failure, err.text, sizeof(work->last_failure));
        return false;
    case PICK_BUSY:
        g_strlcpy(work->last_failure, "its targets are at inflight_max",
                  sizeof(work->last_failure));
        break;
    case PICK_NONE:
        break;
    }
    send_want(core, leaf, now_ms);
    return false;
}

/* Gives out work of a leaf as its targets have room for it. */
static void
dispatch(struct core *core, struct leaf *leaf, int64_t now_ms)
{
    struct tree *tree;
    const struct node *node;
    struct err err = {0};

    if (queue_length(leaf) == 0) {
        return;
    }
    tree = core->port->ops->tree(core->port);
    if (tree == NULL) {
        return;
    }
    core->forward_full = false;
    node = node_of(tree, leaf);
    if (node == NULL) {
        err_set(&err, leaf->plain ? ERR_UNKNOWN_SERVICE : ERR_UNKNOWN_MODEL,
                "%s was removed from the tree", leaf->path);
        refuse_waiting(core, leaf, &err, now_ms);
    }
    else if (!node->settings.enabled) {
        err_set(&err, ERR_DISABLED, "%s is not enabled", leaf->path);
        refuse_waiting(core, leaf, &err, now_ms);
    }
    else {
        while (queue_length(leaf) > 0 &&
               dispatch_first(core, leaf, node, now_ms)) {
        }
    }
    if (queue_length(leaf) > 0) {
        heap_set(&core->timers, &leaf->timer,
                 now_ms +
                     (core->forward_full ? FULL_RETRY_MS : WANT_INTERVAL_MS));
    }
    tree_unref(tree);
}

static bool
has_live_holder(const struct leaf *leaf)
{
    for (guint i = 0; i < leaf->holders->len; i++) {
        const struct target *target = leaf->holders->pdata[i];

        if (target->report.state == TARGET_LIVE) {
            return true;
        }
    }
    return false;
}

static bool
admit(struct core *core, const struct node *node, const struct leaf *leaf,
      const struct call_request *request, int64_t now_ms, struct err *err)
{
    struct config_state state = {0};
    struct admission admission = {
        .node = node,
        .state = &state,
        .idempotent = request->idempotent,
        .loaded = leaf->plain || has_live_holder(leaf),
        .waiting = queue_length(leaf),
        .deadline_ms = request->deadline_ms,
        .now_ms = now_ms,
    };

    core->port->ops->state(core->port, &state);
    admission.poisonous = strike_check(core->strikes, request->fingerprint,
                                       now_ms) == STRIKE_REFUSE;
    if (!admit_check(&admission, err)) {
        return false;
    }
    orphans_expire(&core->orphans, now_ms);
    if (!request->idempotent && orphans_full(&core->orphans)) {
        return err_set(err, ERR_CLAIM_UNAVAILABLE,
                       "%d claims of refused calls are not yet decided",
                       ORPHANS_MAX);
    }
    return true;
}

static void
ask_claim(struct core *core, struct work *work, int64_t now_ms)
{
    core->port->ops->claim(core->port, &work->request.claim, NULL);
    heap_set(&core->timers, &work->timer,
             MIN(now_ms + CLAIM_REPEAT_MS, work->request.deadline_ms));
}

static bool
take(struct core *core, const struct node *node,
     const struct call_request *request, struct handle call, int64_t now_ms,
     struct err *err)
{
    struct leaf *leaf = fleet_leaf(&core->fleet, node->id);
    struct work *work;

    memcpy(leaf->path, node->path, sizeof(leaf->path));
    leaf->plain = request->leaf == 0;
    if (!admit(core, node, leaf, request, now_ms, err)) {
        return false;
    }
    work = work_add(core, request, call, err);
    if (work == NULL) {
        return false;
    }
    budget_request(&core->budget, now_ms);
    work->leaf = leaf;
    if (request->idempotent) {
        enqueue(core, work);
        dispatch(core, leaf, now_ms);
        return true;
    }
    work->phase = WORK_CLAIMING;
    work->request.claim.call = call;
    work->request.claim.token = random_next(&core->random) | 1;
    ask_claim(core, work, now_ms);
    return true;
}

static const struct node *
node_of_request(const struct tree *tree, const struct call_request *request,
                struct err *err)
{
    const struct node *node;

    if (tree == NULL) {
        err_set(err, ERR_NOT_READY, "no tree of settings yet");
        return NULL;
    }
    node = request->leaf != 0 ? tree_node_by_id(tree, request->leaf)
                              : tree_service(tree, request->service);
    if (node == NULL && request->leaf != 0) {
        err_set(err, ERR_UNKNOWN_MODEL, "%s", request->leaf_path);
    }
    else if (node == NULL) {
        err_set(err, ERR_UNKNOWN_SERVICE, "%s", request->service);
    }
    return node;
}

/**
 * core_call() - a call was opened
 * @core: routing
 * @call: the call
 * @now_ms: present time
 */
void
core_call(struct core *core, struct handle call, int64_t now_ms)
{
    struct call_request request;
    struct err err = {0};
    struct tree *tree;
    const struct node *node;

    if (!call_copy_head(core->calls, call, &request)) {
        return;
    }
    tree = core->port->ops->tree(core->port);
    node = node_of_request(tree, &request, &err);
    if (node == NULL || !take(core, node, &request, call, now_ms, &err)) {
        call_refuse(core->calls, call, &err, err_info(err.kind)->outcome);
    }
    if (tree != NULL) {
        tree_unref(tree);
    }
}

/* Works of other leaves may have waited for the same target. */
static void
dispatch_target(struct core *core, const struct target *target, int64_t now_ms)
{
    uint64_t loaded[REPORT_LOADED_MAX];
    int count = target->report.loaded_count;

    memcpy(loaded, target->report.loaded, sizeof(loaded));
    for (int i = 0; i < count && core->waiting > 0; i++) {
        dispatch(core, fleet_leaf(&core->fleet, loaded[i]), now_ms);
    }
}

static void
strike_down(struct core *core, const struct target_report *report,
            int64_t now_ms)
{
    uint64_t fingerprints[RESOLVED_MAX];
    uint64_t incarnations[RESOLVED_MAX];
    int count;

    do {
        count = strike_report(core->strikes, report, now_ms, fingerprints,
                              incarnations, RESOLVED_MAX);
        for (int i = 0; i < count; i++) {
            if (strike_add(core->strikes, fingerprints[i], report->id,
                           incarnations[i], now_ms)) {
                log_line(LOG_PRI_WARNING, "route",
                         "event=strike request=%016" PRIx64 " target=%s",
                         fingerprints[i], report->name);
                core->port->ops->strike(core->port, fingerprints[i],
                                        report->id, incarnations[i]);
            }
        }
    } while (count == RESOLVED_MAX);
}

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
            strike_down(core, &target->report, now_ms);
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
decide(struct core *core, const struct work *work,
       const struct running *running, enum attempt_result_kind kind,
       int64_t now_ms)
{
    struct tree *tree = core->port->ops->tree(core->port);
    const struct node *node = node_of(tree, work->leaf);
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

/* The caller has part of the answer, so a stream waits for the budget where
 * a call that has not begun is refused. */
static void
resume_elsewhere(struct core *core, struct work *work, int64_t now_ms)
{
    work->resume_here = false;
    work->owes_budget =
        !work->paid_budget && !budget_has_room(&core->budget, now_ms);
    if (work->owes_budget) {
        wait_until(core, work, now_ms + HOLD_MS);
        return;
    }
    if (!work->paid_budget) {
        budget_spend(&core->budget, now_ms);
        work->paid_budget = true;
    }
    enqueue(core, work);
}

static void
resume_here(struct core *core, struct work *work, int64_t now_ms)
{
    struct target *target = fleet_target(&core->fleet, work->last_target);
    struct err err = {0};

    work->resume_here = true;
    if (target == NULL || target->report.state == TARGET_DOWN ||
        target->report.state == TARGET_GONE) {
        resume_elsewhere(core, work, now_ms);
    }
    else if (!start_attempt(core, work, target, now_ms, &err)) {
        wait_until(core, work, now_ms + BACKOFF_MIN_MS);
    }
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
act(struct core *core, struct work *work, const struct retry *retry,
    int64_t now_ms)
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
        resume_here(core, work, now_ms);
    }
    else if (retry->action == RETRY_RESUME_ELSEWHERE) {
        resume_elsewhere(core, work, now_ms);
    }
    else if (retry->action == RETRY_BACKOFF) {
        wait_until(core, work,
                   now_ms + backoff_ms(work->attempts, &core->random));
    }
    else {
        enqueue(core, work);
    }
}

static void
describe(const struct attempt_result *result, struct work *work)
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
count_down(struct target *target, const struct running *running)
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
        count_down(target, &running);
    }
    work = table_get(&core->works, running.work);
    if (work != NULL) {
        leaf = work->leaf;
        describe(result, work);
        note_events(work, &running, result);
        note_failure(core, work, target, &running, result, now_ms);
        retry = decide(core, work, &running, result->kind, now_ms);
        act(core, work, &retry, now_ms);
        dispatch(core, leaf, now_ms);
    }
    target = fleet_target(&core->fleet, running.target);
    if (target != NULL) {
        dispatch_target(core, target, now_ms);
        fleet_forget_gone(&core->fleet, target);
    }
}

/**
 * core_report() - a report of a target came
 * @core: routing
 * @report: the report
 * @now_ms: present time
 */
void
core_report(struct core *core, const struct target_report *report,
            int64_t now_ms)
{
    struct target *target = fleet_report(&core->fleet, report);

    strike_down(core, report, now_ms);
    if (report->kind == TARGET_PLAIN) {
        char path[NAME_MAX_BYTES + 2] = "/";

        g_strlcat(path, report->service, sizeof(path));
        dispatch(core, fleet_leaf(&core->fleet, hash_text(path)), now_ms);
    }
    dispatch_target(core, target, now_ms);
    fleet_forget_gone(&core->fleet, target);
}

static bool
is_final(enum err_kind kind)
{
    return kind == ERR_DISABLED || kind == ERR_UNKNOWN_MODEL;
}

/**
 * core_placement() - the owner of a leaf answered a want
 * @core: routing
 * @placement: its answer
 * @now_ms: present time
 */
void
core_placement(struct core *core, const struct placement *placement,
               int64_t now_ms)
{
    struct leaf *leaf = fleet_leaf(&core->fleet, placement->leaf);
    struct target *target = fleet_target(&core->fleet, placement->target);
    struct err err = {0};

    leaf->reason = placement->kind;
    memcpy(leaf->reason_text, placement->text, sizeof(leaf->reason_text));
    if (placement->kind == ERR_NONE && target != NULL) {
        fleet_add_loaded(&core->fleet, target, placement->leaf);
    }
    if (is_final(placement->kind)) {
        err_set(&err, placement->kind, "%s", placement->text);
        refuse_waiting(core, leaf, &err, now_ms);
    }
    dispatch(core, leaf, now_ms);
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
        call_refuse(core->calls, work->call, &err,
                    err_info(verdict->kind)->outcome);
        work_free(core, work);
        return;
    }
    work->granted = true;
    enqueue(core, work);
    dispatch(core, work->leaf, now_ms);
}

/**
 * core_strike() - another instance saw a request bring a target down
 * @core: routing
 * @fingerprint: the request
 * @target: the target
 * @incarnation: its start number
 * @now_ms: present time
 */
void
core_strike(struct core *core, uint64_t fingerprint, uint64_t target,
            uint64_t incarnation, int64_t now_ms)
{
    strike_add(core->strikes, fingerprint, target, incarnation, now_ms);
}

static void
expire(struct core *core, struct work *work, int64_t now_ms)
{
    const struct leaf *leaf = work->leaf;
    struct err err = {0};

    if (work->phase == WORK_CLAIMING) {
        err_set(&err, ERR_CLAIM_UNAVAILABLE,
                "the key was not claimed by the deadline");
    }
    else if (work->passed > 0) {
        err_set(&err, ERR_TARGET_FAILED, "the stream was not resumed: %.160s",
                work->last_failure);
    }
    else if (leaf->reason != ERR_NONE) {
        err_set(&err, ERR_DEADLINE, "%s is not loaded: %s: %.100s", leaf->path,
                err_info(leaf->reason)->name, leaf->reason_text);
    }
    else if (work->last_failure[0] != '\0') {
        err_set(&err, ERR_DEADLINE, "%s: %.100s", leaf->path,
                work->last_failure);
    }
    else {
        err_set(&err, ERR_DEADLINE, "no target of %s was free", leaf->path);
    }
    work_refuse(core, work, &err, idle_outcome(work), now_ms);
}

static void
work_due(struct core *core, struct work *work, int64_t now_ms)
{
    if (now_ms >= work->request.deadline_ms) {
        expire(core, work, now_ms);
    }
    else if (work->phase == WORK_CLAIMING) {
        ask_claim(core, work, now_ms);
    }
    else if (work->owes_budget) {
        resume_elsewhere(core, work, now_ms);
        dispatch(core, work->leaf, now_ms);
    }
    else if (work->resume_here) {
        resume_here(core, work, now_ms);
        dispatch(core, work->leaf, now_ms);
    }
    else {
        enqueue(core, work);
        dispatch(core, work->leaf, now_ms);
    }
}

/**
 * core_tick() - do what is due
 * @core: routing
 * @now_ms: present time
 */
void
core_tick(struct core *core, int64_t now_ms)
{
    struct timer *timer;

    while ((timer = heap_first(&core->timers)) != NULL &&
           timer->due_ms <= now_ms) {
        heap_remove(&core->timers, timer);
        if (timer->kind == TIMER_WORK) {
            work_due(core, (struct work *)timer, now_ms);
        }
        else {
            dispatch(core, (struct leaf *)timer, now_ms);
        }
    }
}

/**
 * core_wait_ms() - time until something is due
 * @core: routing
 * @now_ms: present time
 *
 * Return: milliseconds; below 0 when nothing is.
 */
int64_t
core_wait_ms(const struct core *core, int64_t now_ms)
{
    const struct timer *timer = heap_first(&core->timers);

    if (timer == NULL) {
        return -1;
    }
    return timer->due_ms > now_ms ? timer->due_ms - now_ms : 0;
}

/**
 * core_stop() - refuse all calls that wait
 * @core: routing
 *
 * The forward duty has stopped by then, so an attempt without a result may
 * have run.
 */
void
core_stop(struct core *core)
{
    struct err err = {0};
    uint32_t cursor = 0;
    struct work *work;

    err_set(&err, ERR_STOPPED, "the instance stops");
    while ((work = table_next(&core->works, &cursor, NULL)) != NULL) {
        enum outcome outcome =
            work->phase == WORK_RUNNING ? OUTCOME_UNKNOWN : idle_outcome(work);

        work_refuse(core, work, &err, outcome, 0);
    }
}
