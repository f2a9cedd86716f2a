/**
 * DOC: Status of a leaf and its slots, for leaf_next_action().
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum {
    /* The writer of a slot writes its reservation within milliseconds. */
    ORPHAN_SLOT_MS = 2000,
    /* A failed instance is declared dead within 5 s, so a sender that does
       not reply for longer is paused or disconnected. */
    UNRESPONSIVE_MS = 10000,
};

/**
 * leaf_checks_fence() - whether the engines of a leaf reject outdated fences
 * @place: placement
 * @path: path of the leaf, which may have been removed from the tree
 */
bool
leaf_checks_fence(const struct place *place, const char *path)
{
    const struct node *node;
    char service[PATH_MAX_BYTES];
    char *slash;

    g_strlcpy(service, path, sizeof(service));
    slash = strchr(service + 1, '/');
    if (slash != NULL) {
        *slash = '\0';
    }
    node = place->tree == NULL ? NULL : tree_node(place->tree, service);
    return node != NULL && node->settings.checks_fence;
}

/**
 * leaf_replica_limit() - maximum number of replicas of a leaf
 * @node: settings of the leaf; NULL when it is not in the tree
 */
int64_t
leaf_replica_limit(const struct node *node)
{
    if (node == NULL || !node->settings.enabled ||
        node->settings.kind != TARGET_ENGINE) {
        return 0;
    }
    return node->settings.replicas_max;
}

static bool
reported_settled(const struct leaf *leaf, uint64_t engine,
                 const struct sender *sender)
{
    for (int i = 0; i < leaf->settled_count; i++) {
        const struct sender *settled = &leaf->settled[i].sender;

        if (leaf->settled[i].engine == engine &&
            settled->member == sender->member &&
            settled->started_ms == sender->started_ms &&
            settled->fence >= sender->fence) {
            return true;
        }
    }
    return false;
}

/**
 * sender_settled() - whether no order of a sender can be in flight
 * @place: placement
 * @leaf: the leaf; no order of this instance for it is in progress
 * @engine: id of the engine that the order was sent to
 * @sender: the sender
 */
bool
sender_settled(struct place *place, const struct leaf *leaf, uint64_t engine,
               const struct sender *sender)
{
    if (sender->member == place->self_id) {
        return sender->started_ms <= place->started_ms;
    }
    return reported_settled(leaf, engine, sender) ||
           !place->port->ops->member_alive(place->port, sender->member,
                                           sender->started_ms);
}

static void
count_unsettled(struct place *place, const struct leaf *leaf,
                const struct slot_view *view, struct slot_status *status)
{
    for (int i = 0; i < view->item.sender_count; i++) {
        if (!sender_settled(place, leaf, view->slot.engine,
                            &view->item.senders[i])) {
            status->unsettled++;
        }
    }
}

static bool
is_missing(const struct place *place, const struct leaf *leaf,
           const struct engine_view *view)
{
    (void)place;
    return view->reported_ms - leaf->records_read_ms >= REPORT_DELAY_MAX_MS &&
           view->report.loaded_count < REPORT_LOADED_MAX &&
           !report_has(view->report.loaded, view->report.loaded_count,
                       leaf->id);
}

static bool
reports_adapters(const struct place *place, const struct engine_view *view,
                 uint64_t model_id)
{
    const struct target_report *report = &view->report;

    for (int i = 0; place->tree != NULL && i < report->loaded_count; i++) {
        const struct node *node =
            tree_node_by_id(place->tree, report->loaded[i]);

        if (node != NULL && node->base_model_id == model_id) {
            return true;
        }
    }
    return false;
}

/**
 * slot_status_of() - determine the status of a slot
 * @place: placement
 * @leaf: the leaf
 * @slot: the slot as last read
 */
struct slot_status
slot_status_of(struct place *place, const struct leaf *leaf,
               const struct slot_view *slot)
{
    const struct engine_view *view = engine_find(place, slot->slot.engine);
    struct slot_status status = {
        .engine_state = engine_state_of(place, slot->slot.engine),
        .has_item = slot->has_item,
        .state = slot->item.state,
        .checks_fence = leaf_checks_fence(place, leaf->path),
        .unresponsive =
            leaf->unresponsive_since_ms != 0 &&
            place->now_ms - leaf->unresponsive_since_ms >= UNRESPONSIVE_MS,
        .evict_requested = leaf->evict_engine == slot->slot.engine &&
                           place->now_ms < leaf->evict_until_ms,
    };

    status.orphan = !slot->has_item &&
                    (slot->slot.sender.member == place->self_id ||
                     place->now_ms - leaf->records_read_ms >= ORPHAN_SLOT_MS);
    count_unsettled(place, leaf, slot, &status);
    if (view != NULL) {
        status.restarted = view->report.incarnation > slot->incarnation;
        status.missing = is_missing(place, leaf, view);
        status.has_adapters = reports_adapters(place, view, leaf->id);
    }
    return status;
}

/**
 * leaf_status_of() - determine the status of a leaf
 * @place: placement
 * @leaf: the leaf
 * @node: settings of the leaf; NULL when it is not in the tree
 */
struct leaf_status
leaf_status_of(const struct place *place, const struct leaf *leaf,
               const struct node *node)
{
    struct leaf_status status = {
        .replicas_max = leaf_replica_limit(node),
        .requested = leaf->requested_ms != 0,
        .scale_out = leaf->scale_out,
    };

    if (node != NULL) {
        status.replicas_min = node->settings.replicas_min;
        status.idle = place->now_ms - leaf->last_used_ms >=
                      node->settings.idle_unload_s * 1000;
        status.requested |= leaf->relocating && !status.idle;
    }
    if (status.replicas_min > status.replicas_max) {
        status.replicas_min = status.replicas_max;
    }
    return status;
}
