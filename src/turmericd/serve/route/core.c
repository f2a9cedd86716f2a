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
#include "turmericd/serve/route/core.h"

enum { WORKS_MAX = 8192 };

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

static bool
take_call(struct core *core, const struct node *node,
          const struct call_request *request, struct handle call,
          int64_t now_ms, struct err *err)
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
        work_enqueue(core, work);
        leaf_dispatch(core, leaf, now_ms);
        return true;
    }
    work->phase = WORK_CLAIMING;
    work->request.claim.call = call;
    work->request.claim.token = random_next(&core->random) | 1;
    claim_ask(core, work, now_ms);
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

    if (!call_copy_request_meta(core->calls, call, &request)) {
        return;
    }
    tree = core->port->ops->tree(core->port);
    node = node_of_request(tree, &request, &err);
    if (node == NULL || !take_call(core, node, &request, call, now_ms, &err)) {
        call_fail(core->calls, call, &err, err_info(err.kind)->outcome);
    }
    if (tree != NULL) {
        tree_unref(tree);
    }
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
    work_refuse(core, work, &err, work_idle_outcome(work), now_ms);
}

static void
work_due(struct core *core, struct work *work, int64_t now_ms)
{
    if (now_ms >= work->request.deadline_ms) {
        expire(core, work, now_ms);
    }
    else if (work->phase == WORK_CLAIMING) {
        claim_ask(core, work, now_ms);
    }
    else if (work->owes_budget) {
        work_resume_elsewhere(core, work, now_ms);
        leaf_dispatch(core, work->leaf, now_ms);
    }
    else if (work->resume_here) {
        work_resume_here(core, work, now_ms);
        leaf_dispatch(core, work->leaf, now_ms);
    }
    else {
        work_enqueue(core, work);
        leaf_dispatch(core, work->leaf, now_ms);
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
            leaf_dispatch(core, (struct leaf *)timer, now_ms);
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
        enum outcome outcome = work->phase == WORK_RUNNING
                                   ? OUTCOME_UNKNOWN
                                   : work_idle_outcome(work);

        work_refuse(core, work, &err, outcome, 0);
    }
}
