/**
 * DOC: Handles calls, results of attempts, reports of targets and timers.
 *
 * A routed call waits for its claim, in the queue of its leaf, for the end of
 * a delay, or for the result of an attempt. Its timer is set to its deadline
 * or to an earlier moment at which it is due. A running attempt needs no
 * timer: the forward duty ends each attempt by its deadline.
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
#include "turmericd/serve/route/router.h"

enum { ROUTED_CALLS_MAX = 8192 };

/**
 * router_new() - create a router without calls and targets
 * @calls: table of calls; must outlive the router
 * @data_centre: data centre of this instance, copied
 * @seed: seed of the random number generator
 * @port: callbacks; must outlive the router
 * @err: set on failure
 *
 * Return: the router, owned by the caller; NULL when a table can't be
 * allocated.
 */
struct router *
router_new(struct calls *calls, const char *data_centre, uint64_t seed,
           struct route_port *port, struct err *err)
{
    struct router *router = g_new0(struct router, 1);

    router->calls = calls;
    router->port = port;
    router->random = seed;
    g_strlcpy(router->data_centre, data_centre, sizeof(router->data_centre));
    if (!table_init(&router->routed_calls, ROUTED_CALLS_MAX,
                    sizeof(struct routed_call), err)) {
        g_free(router);
        return NULL;
    }
    if (!table_init(&router->attempts, ROUTED_CALLS_MAX,
                    sizeof(struct running_attempt), err)) {
        table_destroy(&router->routed_calls);
        g_free(router);
        return NULL;
    }
    router->by_call =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    heap_init(&router->timers);
    fleet_init(&router->fleet);
    abandoned_claims_init(&router->abandoned_claims);
    router->strikes = strikes_new();
    return router;
}

/**
 * router_free() - release a router; calls in progress are not answered
 * @router: the router; may be NULL
 */
void
router_free(struct router *router)
{
    if (router == NULL) {
        return;
    }
    strikes_free(router->strikes);
    abandoned_claims_clear(&router->abandoned_claims);
    fleet_clear(&router->fleet);
    heap_clear(&router->timers);
    g_hash_table_destroy(router->by_call);
    table_destroy(&router->attempts);
    table_destroy(&router->routed_calls);
    g_free(router);
}

static bool
has_live_target(const struct leaf *leaf)
{
    for (guint i = 0; i < leaf->targets->len; i++) {
        const struct target *target = leaf->targets->pdata[i];

        if (target->report.state == TARGET_LIVE) {
            return true;
        }
    }
    return false;
}

static bool
is_admissible(struct router *router, const struct node *node,
              const struct leaf *leaf, const struct call_request *request,
              int64_t now_ms, struct err *err)
{
    struct config_state state = {0};
    struct admission admission = {
        .node = node,
        .state = &state,
        .idempotent = request->idempotent,
        .loaded = leaf->plain || has_live_target(leaf),
        .waiting = queue_length(leaf),
        .deadline_ms = request->deadline_ms,
        .now_ms = now_ms,
    };

    router->port->ops->get_config_state(router->port, &state);
    admission.crashes_targets =
        strikes_check(router->strikes, request->fingerprint, now_ms) ==
        STRIKE_REFUSE;
    if (!admission_check(&admission, err)) {
        return false;
    }
    abandoned_claims_expire(&router->abandoned_claims, now_ms);
    if (!request->idempotent &&
        abandoned_claims_full(&router->abandoned_claims)) {
        return err_set(err, ERR_CLAIM_UNAVAILABLE,
                       "claims of %d refused calls are still undecided",
                       ABANDONED_CLAIMS_MAX);
    }
    return true;
}

static bool
accept_call(struct router *router, const struct node *node,
            const struct call_request *request, struct handle call,
            int64_t now_ms, struct err *err)
{
    struct leaf *leaf = fleet_get_leaf(&router->fleet, node->id);
    struct routed_call *routed;

    memcpy(leaf->path, node->path, sizeof(leaf->path));
    leaf->plain = request->leaf == 0;
    if (!is_admissible(router, node, leaf, request, now_ms, err)) {
        return false;
    }
    routed = routed_call_add(router, request, call, err);
    if (routed == NULL) {
        return false;
    }
    retry_budget_add_request(&router->retry_budget, now_ms);
    routed->leaf = leaf;
    if (request->idempotent) {
        routed_call_enqueue(router, routed);
        leaf_dispatch(router, leaf, now_ms);
        return true;
    }
    routed->phase = ROUTED_CLAIMING;
    routed->request.claim.call = call;
    routed->request.claim.token = random_next(&router->random) | 1;
    routed_call_request_claim(router, routed, now_ms);
    return true;
}

static const struct node *
find_node(const struct tree *tree, const struct call_request *request,
          struct err *err)
{
    const struct node *node;

    if (tree == NULL) {
        err_set(err, ERR_NOT_READY, "no configuration has been received yet");
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
 * router_handle_call() - admit and route a new call, or refuse it
 * @router: the router
 * @call: the call
 * @now_ms: current monotonic time
 */
void
router_handle_call(struct router *router, struct handle call, int64_t now_ms)
{
    struct call_request request;
    struct err err = {0};
    struct tree *tree;
    const struct node *node;

    if (!call_copy_request_meta(router->calls, call, &request)) {
        return;
    }
    tree = router->port->ops->tree_ref(router->port);
    node = find_node(tree, &request, &err);
    if (node == NULL ||
        !accept_call(router, node, &request, call, now_ms, &err)) {
        call_fail(router->calls, call, &err, err_info(err.kind)->outcome);
    }
    if (tree != NULL) {
        tree_unref(tree);
    }
}

static void
refuse_expired(struct router *router, struct routed_call *routed,
               int64_t now_ms)
{
    const struct leaf *leaf = routed->leaf;
    struct err err = {0};

    if (routed->phase == ROUTED_CLAIMING) {
        err_set(&err, ERR_CLAIM_UNAVAILABLE,
                "the idempotency key was not claimed by the deadline");
    }
    else if (routed->events_delivered > 0) {
        err_set(&err, ERR_TARGET_FAILED,
                "the stream could not be resumed: %.160s",
                routed->last_failure);
    }
    else if (leaf->placement_error != ERR_NONE) {
        err_set(&err, ERR_DEADLINE, "%s is not loaded: %s: %.100s", leaf->path,
                err_info(leaf->placement_error)->name,
                leaf->placement_error_text);
    }
    else if (routed->last_failure[0] != '\0') {
        err_set(&err, ERR_DEADLINE, "%s: %.100s", leaf->path,
                routed->last_failure);
    }
    else {
        err_set(&err, ERR_DEADLINE,
                "no target of %s had capacity by the deadline", leaf->path);
    }
    routed_call_refuse(router, routed, &err, routed_call_idle_outcome(routed),
                       now_ms);
}

static void
handle_due_call(struct router *router, struct routed_call *routed,
                int64_t now_ms)
{
    if (now_ms >= routed->request.deadline_ms) {
        refuse_expired(router, routed, now_ms);
    }
    else if (routed->phase == ROUTED_CLAIMING) {
        routed_call_request_claim(router, routed, now_ms);
    }
    else if (routed->awaits_budget) {
        routed_call_resume_other_engine(router, routed, now_ms);
        leaf_dispatch(router, routed->leaf, now_ms);
    }
    else if (routed->resume_same_engine) {
        routed_call_resume_same_engine(router, routed, now_ms);
        leaf_dispatch(router, routed->leaf, now_ms);
    }
    else {
        routed_call_enqueue(router, routed);
        leaf_dispatch(router, routed->leaf, now_ms);
    }
}

/**
 * router_tick() - run the timers that are due
 * @router: the router
 * @now_ms: current monotonic time
 */
void
router_tick(struct router *router, int64_t now_ms)
{
    struct timer *timer;

    while ((timer = heap_first(&router->timers)) != NULL &&
           timer->due_ms <= now_ms) {
        heap_remove(&router->timers, timer);
        if (timer->kind == TIMER_CALL) {
            handle_due_call(router, (struct routed_call *)timer, now_ms);
        }
        else {
            leaf_dispatch(router, (struct leaf *)timer, now_ms);
        }
    }
}

/**
 * router_wait_ms() - time until the next timer is due
 * @router: the router
 * @now_ms: current monotonic time
 *
 * Return: milliseconds, 0 when a timer is due; -1 when there is none.
 */
int64_t
router_wait_ms(const struct router *router, int64_t now_ms)
{
    const struct timer *timer = heap_first(&router->timers);

    if (timer == NULL) {
        return -1;
    }
    return timer->due_ms > now_ms ? timer->due_ms - now_ms : 0;
}

/**
 * router_stop() - refuse all calls
 * @router: the router
 *
 * The forward duty has stopped before, so a call without a result of its
 * attempt may have run.
 */
void
router_stop(struct router *router)
{
    struct err err = {0};
    uint32_t cursor = 0;
    struct routed_call *routed;

    err_set(&err, ERR_STOPPED, "the instance is shutting down");
    while ((routed = table_next(&router->routed_calls, &cursor, NULL)) !=
           NULL) {
        enum outcome outcome = routed->phase == ROUTED_RUNNING
                                   ? OUTCOME_UNKNOWN
                                   : routed_call_idle_outcome(routed);

        routed_call_refuse(router, routed, &err, outcome, 0);
    }
}
