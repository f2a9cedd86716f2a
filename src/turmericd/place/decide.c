/**
 * DOC: Decisions about the leaves that this instance owns.
 *
 * Nothing here blocks: the order threads access the records and engines and
 * return their results as messages. Each leaf has at most one order in
 * progress.
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
    EVICT_REQUEST_EXPIRES_MS = 5000,
    /* Load requests repeated between these times after a reply mean that the
       loaded replicas have no room for the calls. */
    SCALE_OUT_REPEAT_MAX_MS = 2000,
    SCALE_OUT_REPEAT_MIN_MS = 400,
};

static const struct engine_view *
least_loaded_engine(struct place *place, const struct leaf *leaf,
                    const struct slot_status *statuses)
{
    const struct engine_view *best = NULL;

    for (int i = 0; i < leaf->view_count; i++) {
        const struct engine_view *view =
            engine_find(place, leaf->views[i].slot.engine);

        if (slot_usable(&statuses[i]) &&
            (best == NULL ||
             view->report.running + view->report.waiting <
                 best->report.running + best->report.waiting)) {
            best = view;
        }
    }
    return best;
}

/* Replies to the requesters if a replica is loaded. */
static void
answer_with_replica(struct place *place, struct leaf *leaf,
                    const struct slot_status *statuses)
{
    const struct engine_view *view =
        least_loaded_engine(place, leaf, statuses);
    struct placement placement = {.leaf = leaf->id};
    int64_t since_answer_ms = place->now_ms - leaf->answered_ms;

    if (view == NULL) {
        return;
    }
    leaf->relocating = false;
    leaf->failures = 0;
    if (leaf->requested_ms == 0) {
        return;
    }
    if (leaf->answered_ms != 0 && since_answer_ms >= SCALE_OUT_REPEAT_MIN_MS &&
        since_answer_ms <= SCALE_OUT_REPEAT_MAX_MS) {
        leaf->scale_out = true;
    }
    placement.target = view->report.id;
    leaf_answer(place, leaf, &placement);
}

static bool
refuse_unplaceable(struct place *place, struct leaf *leaf,
                   const struct node *node)
{
    if (leaf->requested_ms == 0) {
        return false;
    }
    if (node == NULL) {
        leaf_refuse(place, leaf, ERR_UNKNOWN_MODEL, leaf->path);
    }
    else if (!node->settings.enabled) {
        leaf_refuse(place, leaf, ERR_DISABLED, leaf->path);
    }
    else if (leaf_replica_limit(node) == 0) {
        leaf_refuse(place, leaf, ERR_REPLICAS_FULL, leaf->path);
    }
    else {
        return false;
    }
    return true;
}

static void
start_action(struct place *place, struct leaf *leaf, const struct node *node,
             const struct leaf_action *action)
{
    const struct slot_view *slot =
        action->slot < 0 ? NULL : &leaf->views[action->slot];

    switch (action->kind) {
    case ACTION_NONE:
        break;
    case ACTION_LOAD:
        leaf_load(place, leaf, node);
        break;
    case ACTION_ADOPT:
        slot_order_submit(place, leaf, ORDER_ADOPT, slot);
        break;
    case ACTION_UNLOAD:
        leaf->relocating |=
            node != NULL && slot->item.state == ITEM_LOADED &&
            engine_state_of(place, slot->slot.engine) == ENGINE_DRAINING &&
            place->now_ms - leaf->last_used_ms <
                node->settings.idle_unload_s * 1000;
        slot_order_submit(place, leaf, ORDER_UNLOAD, slot);
        break;
    case ACTION_CLEAR:
        slot_order_submit(place, leaf, ORDER_CLEAR, slot);
        break;
    case ACTION_QUERY_SENDERS:
        slot_query_senders(place, leaf, slot);
        break;
    }
}

static void
decide_with_records(struct place *place, struct leaf *leaf)
{
    const struct node *node = leaf_node(place, leaf);
    struct slot_status *statuses =
        g_new0(struct slot_status, (gsize)leaf->view_count + 1);
    struct leaf_status status;
    struct leaf_action action;
    int unsettled = 0;

    for (int i = 0; i < leaf->view_count; i++) {
        statuses[i] = slot_status_of(place, leaf, &leaf->views[i]);
        unsettled += statuses[i].unsettled;
    }
    if (unsettled == 0) {
        leaf->unresponsive_since_ms = 0;
    }
    if (!refuse_unplaceable(place, leaf, node)) {
        answer_with_replica(place, leaf, statuses);
    }
    if (!place->config_fresh && leaf->requested_ms != 0) {
        leaf_refuse(place, leaf, ERR_CONFIG_STALE,
                    "loads wait until the configuration is confirmed");
    }
    if (place->config_fresh && place->now_ms >= leaf->retry_at_ms) {
        status = leaf_status_of(place, leaf, node);
        action = leaf_next_action(&status, statuses, leaf->view_count);
        start_action(place, leaf, node, &action);
    }
    if (leaf->requested_ms == 0 && !leaf->order_running && !leaf->relocating &&
        (node == NULL || node->settings.replicas_min == 0)) {
        leaf_release_permit(place, leaf);
    }
    g_free(statuses);
}

/**
 * leaf_decide() - start the next action for a leaf, if this instance owns it
 * @place: placement
 * @leaf: the leaf
 */
void
leaf_decide(struct place *place, struct leaf *leaf)
{
    if (!leaf->owned) {
        return;
    }
    if (!leaf->views_valid && !place->config_fresh &&
        leaf->requested_ms != 0) {
        leaf_refuse(place, leaf, ERR_CONFIG_STALE,
                    "loads wait until the configuration is confirmed");
    }
    if (leaf->order_running) {
        return;
    }
    if (leaf->views_valid) {
        decide_with_records(place, leaf);
    }
    else if (place->now_ms >= leaf->retry_at_ms) {
        leaf_scan(place, leaf);
    }
}

/**
 * decide_adapters() - decide about adapters that waited for their model
 * @place: placement
 * @base_model_id: id of the model, which is loaded now
 */
void
decide_adapters(struct place *place, uint64_t base_model_id)
{
    GPtrArray *list = leaves_list(place);

    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];
        const struct node *node = leaf_node(place, leaf);

        if (node != NULL && node->base_model_id == base_model_id &&
            leaf->requested_ms != 0) {
            leaf->retry_at_ms = 0;
            leaf_decide(place, leaf);
        }
    }
    g_ptr_array_unref(list);
}

/**
 * decide_waiting() - decide again about all leaves with waiting calls
 * @place: placement
 *
 * Called when an engine may have free memory for leaves that fitted nowhere.
 */
void
decide_waiting(struct place *place)
{
    GPtrArray *list = leaves_list(place);

    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];

        if (leaf->owned && !leaf->order_running && leaf->requested_ms != 0) {
            leaf->retry_at_ms = 0;
            leaf_decide(place, leaf);
        }
    }
    g_ptr_array_unref(list);
}

/**
 * leaf_evict() - unload a leaf from an engine if it is idle
 * @place: placement
 * @id: id of the leaf
 * @engine: id of the engine
 */
void
leaf_evict(struct place *place, uint64_t id, uint64_t engine)
{
    struct leaf *leaf = leaf_find(place, id);
    const struct engine_view *view = engine_find(place, engine);
    const struct node *node = leaf == NULL ? NULL : leaf_node(place, leaf);

    if (leaf == NULL || view == NULL || node == NULL || !leaf->owned ||
        leaf_unevictable(place, leaf, view, node)) {
        return;
    }
    leaf->evict_engine = engine;
    leaf->evict_until_ms = place->now_ms + EVICT_REQUEST_EXPIRES_MS;
    leaf->retry_at_ms = 0;
    if (!leaf_has_slot(leaf, engine)) {
        leaf->views_valid = false;
    }
    leaf_decide(place, leaf);
}
