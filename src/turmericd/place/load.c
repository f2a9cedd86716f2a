/**
 * DOC: Loads a leaf: its model first, an engine with room, a turn at the
 * store.
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
    BASE_REPEAT_MS = 500,
    /* Callers hear why they wait only when it lasts: right after a start no
       engine has been reported yet, and an eviction may make room. */
    NO_ROOM_MS = 2000,
};

static bool
base_loaded(const struct place *place, const struct node *node)
{
    for (int i = 0; i < place->view_count; i++) {
        const struct target_report *report = &place->views[i]->report;

        if (report->state == TARGET_LIVE &&
            strcmp(report->service, node->service) == 0 &&
            report_has(report->loaded, report->loaded_count, node->base)) {
            return true;
        }
    }
    return false;
}

/**
 * base_want() - want the model of an adapter, which is loaded first
 * @place: placement
 * @leaf: the adapter
 * @node: its settings
 */
void
base_want(struct place *place, struct leaf *leaf, const struct node *node)
{
    const struct node *base = tree_node_by_id(place->tree, node->base);
    struct leaf *state;

    if (base == NULL || place->now_ms - leaf->base_ms < BASE_REPEAT_MS) {
        return;
    }
    leaf->base_ms = place->now_ms;
    state = leaf_get(place, base->id, base->path);
    if (state->priority < leaf->priority || state->want_ms == 0) {
        state->priority = leaf->priority;
    }
    send_want(place, state, 1);
}

static bool
can_ever_fit(const struct place *place, const struct node *node)
{
    bool any = false;

    for (int i = 0; i < place->view_count; i++) {
        const struct target_report *report = &place->views[i]->report;

        if (strcmp(report->service, node->service) != 0 ||
            report->state == TARGET_GONE) {
            continue;
        }
        any = true;
        if (report->memory_mb >= node->settings.memory_mb) {
            return true;
        }
    }
    return !any;
}

static void
no_room(struct place *place, struct leaf *leaf, const struct node *node,
        const struct choice *choice, const struct err *err)
{
    bool hopeless = !can_ever_fit(place, node);

    turn_end(place, leaf);
    leaf->retry_ms = place->now_ms + ORDER_RETRY_MS;
    if (err->kind == ERR_NO_TARGET && leaf->skip_count > 0) {
        /* Every engine has failed once; they are tried again. */
        leaf->skip_count = 0;
        return;
    }
    if (err->kind == ERR_MEMORY_FULL) {
        evict_for(place, leaf, choice);
    }
    if (leaf->asker_count > 0 &&
        (hopeless || place->now_ms - leaf->since_ms >= NO_ROOM_MS)) {
        int64_t want_ms = leaf->want_ms;

        /* The callers go on waiting, so the leaf stays wanted. */
        leaf_refuse(place, leaf, err->kind, err->text);
        leaf->want_ms = want_ms;
        leaf->since_ms = place->now_ms;
    }
}

static int
skipped_engines(const struct leaf *leaf, uint64_t *skip, int max)
{
    int count = 0;

    for (int i = 0; i < leaf->view_count && count < max; i++) {
        skip[count++] = leaf->views[i].slot.engine;
    }
    for (int i = 0; i < leaf->skip_count && count < max; i++) {
        skip[count++] = leaf->skip[i];
    }
    return count;
}

static void
push_load(struct place *place, struct leaf *leaf, struct engine_view *view)
{
    struct order *order = order_new(place, leaf, ORDER_LOAD);
    int64_t mb = order->want.mb;

    order->report = view->report;
    if (order_issue(place, leaf, &order)) {
        /* Until the record is read again, the choice for the next leaf must
           know of this one. */
        int64_t used = (int64_t)view->report.memory_mb -
                       engine_free_mb(view, place->now_ms);

        view->reserved_mb = used + mb;
        view->reserved_ms = place->now_ms;
    }
}

/**
 * load_start() - load one more replica, as far as is possible now
 * @place: placement
 * @leaf: the leaf
 * @node: its settings
 */
void
load_start(struct place *place, struct leaf *leaf, const struct node *node)
{
    uint64_t skip[REPLICA_SLOTS_MAX];
    struct err err = {0};
    struct choice choice = {
        .leaf = leaf->id,
        .service = node->service,
        .data_centre = node->data_centre,
        .mb = node->settings.memory_mb,
        .base = node->base,
        .skip = skip,
    };
    int index;

    if (leaf->want_ms == 0) {
        leaf->priority = (int)node->settings.priority;
    }
    if (node->base != 0 && !base_loaded(place, node)) {
        base_want(place, leaf, node);
        return;
    }
    choice.skip_count = skipped_engines(leaf, skip, REPLICA_SLOTS_MAX);
    index = choose_engine(&choice, place->views, place->view_count,
                          place->now_ms, &err);
    if (index < 0) {
        no_room(place, leaf, node, &choice, &err);
        return;
    }
    if (checkpoint_of(&place->views[index]->report, leaf->id) ==
            CHECKPOINT_REMOTE &&
        !leaf->granted) {
        turn_ask(place, leaf);
        return;
    }
    push_load(place, leaf, place->views[index]);
}
