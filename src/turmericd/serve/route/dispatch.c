/**
 * DOC: Gives out the works that wait in the queue of a leaf.
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
 * leaf_find_node() - node of a leaf
 * @tree: the tree; may be NULL
 * @leaf: the leaf
 *
 * Return: NULL when the tree doesn't have it.
 */
const struct node *
leaf_find_node(const struct tree *tree, const struct leaf *leaf)
{
    return tree != NULL ? tree_node_by_id(tree, leaf->id) : NULL;
}

/**
 * leaf_refuse_waiting() - refuse all works in the queue of a leaf
 * @core: routing
 * @leaf: the leaf
 * @err: reason
 * @now_ms: present time
 */
void
leaf_refuse_waiting(struct core *core, struct leaf *leaf,
                    const struct err *err, int64_t now_ms)
{
    struct work *work;

    while ((work = queue_first(leaf)) != NULL) {
        work_refuse(core, work, err, work_idle_outcome(work), now_ms);
    }
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

/* Returns whether the work may run; otherwise it was refused or put off. */
static bool
pass_strikes(struct core *core, struct work *work, int64_t now_ms)
{
    struct err err = {0};

    switch (strike_check(core->strikes, work->request.fingerprint, now_ms)) {
    case STRIKE_CLEAR:
        return true;
    case STRIKE_HOLD:
        work_wait(core, work, now_ms + HOLD_MS);
        return false;
    case STRIKE_REFUSE:
        break;
    }
    err_set(&err, ERR_CRASHES_TARGETS,
            "%d targets went down while they ran this request",
            STRIKES_REFUSE);
    work_refuse(core, work, &err, work_idle_outcome(work), now_ms);
    return false;
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
        if (attempt_start(core, work, target, now_ms, &err)) {
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

/**
 * leaf_dispatch() - give out work of a leaf as its targets have room for it
 * @core: routing
 * @leaf: the leaf
 * @now_ms: present time
 */
void
leaf_dispatch(struct core *core, struct leaf *leaf, int64_t now_ms)
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
    node = leaf_find_node(tree, leaf);
    if (node == NULL) {
        err_set(&err, leaf->plain ? ERR_UNKNOWN_SERVICE : ERR_UNKNOWN_MODEL,
                "%s was removed from the tree", leaf->path);
        leaf_refuse_waiting(core, leaf, &err, now_ms);
    }
    else if (!node->settings.enabled) {
        err_set(&err, ERR_DISABLED, "%s is not enabled", leaf->path);
        leaf_refuse_waiting(core, leaf, &err, now_ms);
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

/**
 * target_dispatch() - give out work of all leaves that a target has loaded
 * @core: routing
 * @target: the target
 * @now_ms: present time
 *
 * Works of other leaves may have waited for the same target.
 */
void
target_dispatch(struct core *core, const struct target *target, int64_t now_ms)
{
    uint64_t loaded[REPORT_LOADED_MAX];
    int count = target->report.loaded_count;

    memcpy(loaded, target->report.loaded, sizeof(loaded));
    for (int i = 0; i < count && core->waiting > 0; i++) {
        leaf_dispatch(core, fleet_leaf(&core->fleet, loaded[i]), now_ms);
    }
}
