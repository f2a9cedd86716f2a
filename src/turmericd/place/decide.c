/**
 * DOC: Decisions about the leaves that this instance owns.
 *
 * Nothing here blocks: records and engines are reached by the order threads,
 * whose results come back as messages. One order at a time is under way for a
 * leaf.
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
    EVICT_WANTED_MS = 5000,
    /* Wants repeated within this time after an answer mean that the present
       replicas have no room for the callers. */
    MORE_WITHIN_MS = 2000,
    MORE_AFTER_MS = 400,
};

static const struct engine_view *
least_loaded(struct place *place, const struct leaf *leaf,
             const struct slot_facts *facts)
{
    const struct engine_view *best = NULL;

    for (int i = 0; i < leaf->view_count; i++) {
        const struct engine_view *view =
            engine_find(place, leaf->views[i].slot.engine);

        if (slot_usable(&facts[i]) &&
            (best == NULL ||
             view->report.running + view->report.waiting <
                 best->report.running + best->report.waiting)) {
            best = view;
        }
    }
    return best;
}

/* Answers those who wait when a replica is loaded. */
static void
answer_usable(struct place *place, struct leaf *leaf,
              const struct slot_facts *facts)
{
    const struct engine_view *view = least_loaded(place, leaf, facts);
    struct placement placement = {.leaf = leaf->id};
    int64_t since_ms = place->now_ms - leaf->answered_ms;

    if (view == NULL) {
        return;
    }
    leaf->moving = false;
    leaf->failures = 0;
    if (leaf->want_ms == 0) {
        return;
    }
    if (leaf->answered_ms != 0 && since_ms >= MORE_AFTER_MS &&
        since_ms <= MORE_WITHIN_MS) {
        leaf->more = true;
    }
    placement.target = view->report.id;
    leaf_answer(place, leaf, &placement);
}

static bool
refuse_unplaceable(struct place *place, struct leaf *leaf,
                   const struct node *node)
{
    if (leaf->want_ms == 0) {
        return false;
    }
    if (node == NULL) {
        leaf_refuse(place, leaf, ERR_UNKNOWN_MODEL, leaf->path);
    }
    else if (!node->settings.enabled) {
        leaf_refuse(place, leaf, ERR_DISABLED, leaf->path);
    }
    else if (leaf_limit(node) == 0) {
        leaf_refuse(place, leaf, ERR_REPLICAS_FULL, leaf->path);
    }
    else {
        return false;
    }
    return true;
}

static void
take_step(struct place *place, struct leaf *leaf, const struct node *node,
          const struct step *step)
{
    const struct slot_view *slot =
        step->slot < 0 ? NULL : &leaf->views[step->slot];

    switch (step->kind) {
    case STEP_NONE:
        break;
    case STEP_LOAD:
        load_start(place, leaf, node);
        break;
    case STEP_ADOPT:
        slot_order_issue(place, leaf, ORDER_ADOPT, slot);
        break;
    case STEP_UNLOAD:
        leaf->moving |=
            node != NULL && slot->item.state == ITEM_LOADED &&
            engine_fact_of(place, slot->slot.engine) == ENGINE_LEAVING &&
            place->now_ms - leaf->used_ms <
                node->settings.idle_unload_s * 1000;
        slot_order_issue(place, leaf, ORDER_UNLOAD, slot);
        break;
    case STEP_CLEAR:
        slot_order_issue(place, leaf, ORDER_CLEAR, slot);
        break;
    case STEP_SETTLE:
        senders_ask(place, leaf, slot);
        break;
    }
}

static void
decide_known(struct place *place, struct leaf *leaf)
{
    const struct node *node = leaf_node(place, leaf);
    struct slot_facts *facts =
        g_new0(struct slot_facts, (gsize)leaf->view_count + 1);
    struct leaf_facts about;
    struct step step;
    int unsettled = 0;

    for (int i = 0; i < leaf->view_count; i++) {
        facts[i] = slot_facts_of(place, leaf, &leaf->views[i]);
        unsettled += facts[i].unsettled;
    }
    if (unsettled == 0) {
        leaf->silent_ms = 0;
    }
    if (!refuse_unplaceable(place, leaf, node)) {
        answer_usable(place, leaf, facts);
    }
    if (!place->fresh && leaf->want_ms != 0) {
        leaf_refuse(place, leaf, ERR_CONFIG_STALE,
                    "loads wait until the configuration is confirmed");
    }
    if (place->fresh && place->now_ms >= leaf->retry_ms) {
        about = leaf_facts_of(place, leaf, node);
        step = leaf_step(&about, facts, leaf->view_count);
        take_step(place, leaf, node, &step);
    }
    if (leaf->want_ms == 0 && !leaf->busy && !leaf->moving &&
        (node == NULL || node->settings.replicas_min == 0)) {
        turn_end(place, leaf);
    }
    g_free(facts);
}

/**
 * leaf_decide() - take the next step for a leaf, if this instance owns it
 * @place: placement
 * @leaf: the leaf
 */
void
leaf_decide(struct place *place, struct leaf *leaf)
{
    if (!leaf->owned) {
        return;
    }
    if (!leaf->known && !place->fresh && leaf->want_ms != 0) {
        leaf_refuse(place, leaf, ERR_CONFIG_STALE,
                    "loads wait until the configuration is confirmed");
    }
    if (leaf->busy) {
        return;
    }
    if (leaf->known) {
        decide_known(place, leaf);
    }
    else if (place->now_ms >= leaf->retry_ms) {
        leaf_scan(place, leaf);
    }
}

/**
 * base_ready() - a model is loaded, for which adapters may wait
 * @place: placement
 * @base: id of the model
 */
void
base_ready(struct place *place, uint64_t base)
{
    GPtrArray *list = leaves_list(place);

    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];
        const struct node *node = leaf_node(place, leaf);

        if (node != NULL && node->base == base && leaf->want_ms != 0) {
            leaf->retry_ms = 0;
            leaf_decide(place, leaf);
        }
    }
    g_ptr_array_unref(list);
}

/**
 * decide_waiting() - room may have been made for leaves that fitted nowhere
 * @place: placement
 */
void
decide_waiting(struct place *place)
{
    GPtrArray *list = leaves_list(place);

    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];

        if (leaf->owned && !leaf->busy && leaf->want_ms != 0) {
            leaf->retry_ms = 0;
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
        leaf_fixed(place, leaf, view, node)) {
        return;
    }
    leaf->evict_engine = engine;
    leaf->evict_until_ms = place->now_ms + EVICT_WANTED_MS;
    leaf->retry_ms = 0;
    if (!leaf_has_slot(leaf, engine)) {
        leaf->known = false;
    }
    leaf_decide(place, leaf);
}
