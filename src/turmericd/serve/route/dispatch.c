/**
 * DOC: Starts attempts for the calls that wait in the queue of a leaf.
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

/**
 * leaf_find_node() - find the node of a leaf or plain service
 * @tree: configuration tree; may be NULL
 * @leaf: the leaf
 *
 * Return: the node, owned by the tree; NULL when the tree doesn't have it.
 */
const struct node *
leaf_find_node(const struct tree *tree, const struct leaf *leaf)
{
    return tree != NULL ? tree_node_by_id(tree, leaf->id) : NULL;
}

/**
 * leaf_refuse_queued() - refuse all calls in the queue of a leaf
 * @router: the router
 * @leaf: the leaf
 * @err: reason
 * @now_ms: current monotonic time
 */
void
leaf_refuse_queued(struct router *router, struct leaf *leaf,
                   const struct err *err, int64_t now_ms)
{
    struct routed_call *routed;

    while ((routed = queue_first(leaf)) != NULL) {
        routed_call_refuse(router, routed, err,
                           routed_call_idle_outcome(routed), now_ms);
    }
}

/* Whether a load may still bring another target in time; how long it takes
 * isn't known here. */
static bool
may_be_loaded(const struct leaf *leaf, const struct node *node)
{
    return !leaf->plain && leaf->placement_error == ERR_NONE &&
           leaf->targets->len < node->settings.replicas_max;
}

/* Refuses the queued calls whose deadlines come before any target wants
 * requests again. A stream that has begun is kept: its caller would lose it.
 */
static void
refuse_held_off(struct router *router, struct leaf *leaf,
                const struct node *node, int64_t now_ms)
{
    int64_t earliest_ms = holdoff_earliest_ms(leaf, now_ms);
    GSequenceIter *next = g_sequence_get_begin_iter(leaf->queue);
    struct err err = {0};

    if (earliest_ms == 0 || may_be_loaded(leaf, node)) {
        return;
    }
    err_set(&err, ERR_NO_TARGET,
            "each target of %s wants no requests for %lld ms", leaf->path,
            (long long)(earliest_ms - now_ms));
    err.retry_after_s = holdoff_retry_after_s(leaf, now_ms);
    while (!g_sequence_iter_is_end(next)) {
        struct routed_call *routed = g_sequence_get(next);

        next = g_sequence_iter_next(next);
        if (routed->request.deadline_ms <= earliest_ms &&
            routed->events_delivered == 0) {
            routed_call_refuse(router, routed, &err,
                               routed_call_idle_outcome(routed), now_ms);
        }
    }
}

static void
send_load_request(struct router *router, struct leaf *leaf, int64_t now_ms)
{
    struct load_request request = {
        .leaf = leaf->id,
        .priority = queue_priority(leaf),
        .waiting = queue_length(leaf),
    };

    if (leaf->plain ||
        now_ms - leaf->last_load_request_ms < LOAD_REQUEST_INTERVAL_MS) {
        return;
    }
    memcpy(request.path, leaf->path, sizeof(request.path));
    if (router->port->ops->request_load(router->port, &request, NULL)) {
        leaf->last_load_request_ms = now_ms;
    }
}

/* Returns whether the call may run; otherwise it was refused or delayed. */
static bool
check_strikes(struct router *router, struct routed_call *routed,
              int64_t now_ms)
{
    struct err err = {0};

    switch (
        strikes_check(router->strikes, routed->request.fingerprint, now_ms)) {
    case STRIKE_ALLOW:
        return true;
    case STRIKE_DEFER:
        routed_call_delay(router, routed, now_ms + DEFER_MS);
        return false;
    case STRIKE_REFUSE:
        break;
    }
    err_set(&err, ERR_CRASHES_TARGETS,
            "%d targets went down while running this request", STRIKES_MAX);
    routed_call_refuse(router, routed, &err, routed_call_idle_outcome(routed),
                       now_ms);
    return false;
}

/* Returns false when the first call must stay in the queue. */
static bool
dispatch_first(struct router *router, struct leaf *leaf,
               const struct node *node, int64_t now_ms)
{
    struct routed_call *routed = queue_first(leaf);
    struct target *target = NULL;
    struct err err = {0};
    struct pick_query query = {
        .data_centre = router->data_centre,
        .tried = routed->tried,
        .tried_count = routed->tried_count,
        .inflight_max = node->settings.inflight_max,
        .now_ms = now_ms,
    };

    if (!check_strikes(router, routed, now_ms)) {
        return true;
    }
    switch (pick_target((struct target *const *)leaf->targets->pdata,
                        (int)leaf->targets->len, &query, &router->random,
                        &target)) {
    case PICK_OK:
        leaf->placement_error = ERR_NONE;
        if (attempt_start(router, routed, target, now_ms, &err)) {
            return true;
        }
        router->forward_full = true;
        g_strlcpy(routed->last_failure, err.text,
                  sizeof(routed->last_failure));
        return false;
    case PICK_BUSY:
        g_strlcpy(routed->last_failure, "all targets are at inflight_max",
                  sizeof(routed->last_failure));
        break;
    case PICK_NONE:
        break;
    }
    send_load_request(router, leaf, now_ms);
    refuse_held_off(router, leaf, node, now_ms);
    return false;
}

/* A held-off target may want requests again before the next load request. */
static int64_t
next_dispatch_ms(const struct router *router, const struct leaf *leaf,
                 int64_t now_ms)
{
    int64_t earliest_ms = holdoff_earliest_ms(leaf, now_ms);
    int64_t interval_ms = router->forward_full ? FORWARD_FULL_RETRY_MS
                                               : LOAD_REQUEST_INTERVAL_MS;

    return earliest_ms == 0 ? now_ms + interval_ms
                            : MIN(now_ms + interval_ms, earliest_ms);
}

/**
 * leaf_dispatch() - start queued calls of a leaf while targets have capacity
 * @router: the router
 * @leaf: the leaf
 * @now_ms: current monotonic time
 *
 * Requests a load when calls are left without a target. Refuses the queue when
 * the leaf was removed or disabled.
 */
void
leaf_dispatch(struct router *router, struct leaf *leaf, int64_t now_ms)
{
    struct tree *tree;
    const struct node *node;
    struct err err = {0};

    if (queue_length(leaf) == 0) {
        return;
    }
    tree = router->port->ops->tree_ref(router->port);
    if (tree == NULL) {
        return;
    }
    router->forward_full = false;
    node = leaf_find_node(tree, leaf);
    if (node == NULL) {
        err_set(&err, leaf->plain ? ERR_UNKNOWN_SERVICE : ERR_UNKNOWN_MODEL,
                "%s was removed from the configuration", leaf->path);
        leaf_refuse_queued(router, leaf, &err, now_ms);
    }
    else if (!node->settings.enabled) {
        err_set(&err, ERR_DISABLED, "%s is disabled", leaf->path);
        leaf_refuse_queued(router, leaf, &err, now_ms);
    }
    else {
        while (queue_length(leaf) > 0 &&
               dispatch_first(router, leaf, node, now_ms)) {
        }
    }
    if (queue_length(leaf) > 0) {
        heap_set(&router->timers, &leaf->timer,
                 next_dispatch_ms(router, leaf, now_ms));
    }
    tree_unref(tree);
}

/**
 * target_dispatch() - dispatch all leaves that a target has loaded
 * @router: the router
 * @target: the target
 * @now_ms: current monotonic time
 *
 * Calls of other leaves may have waited for capacity of the same target.
 */
void
target_dispatch(struct router *router, const struct target *target,
                int64_t now_ms)
{
    uint64_t loaded[REPORT_LOADED_MAX];
    int count = target->report.loaded_count;

    memcpy(loaded, target->report.loaded, sizeof(loaded));
    for (int i = 0; i < count && router->queued_count > 0; i++) {
        leaf_dispatch(router, fleet_get_leaf(&router->fleet, loaded[i]),
                      now_ms);
    }
}
