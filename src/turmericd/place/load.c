/**
 * DOC: Steps before a load: the model of an adapter, an engine with free
 * memory, and a load permit for the weight store.
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
    BASE_REQUEST_REPEAT_MS = 500,
    /* Callers get the reason for a wait only after this time, as right after
       a start no engine has been reported and an eviction may free memory. */
    NO_ROOM_REPORT_MS = 2000,
    /* Records that disagree with a report are read again after this time. */
    RECORDS_DOUBT_MS = 500,
};

static bool
base_loaded(const struct place *place, const struct node *node)
{
    for (int i = 0; i < place->engine_view_count; i++) {
        const struct target_report *report = &place->engine_views[i]->report;

        if (report->state == TARGET_LIVE &&
            strcmp(report->service, node->service) == 0 &&
            report_has(report->loaded, report->loaded_count,
                       node->base_model_id)) {
            return true;
        }
    }
    return false;
}

/**
 * base_request() - request the model of an adapter, which must be loaded first
 * @place: placement
 * @leaf: the adapter
 * @node: settings of the adapter
 */
void
base_request(struct place *place, struct leaf *leaf, const struct node *node)
{
    const struct node *base =
        tree_node_by_id(place->tree, node->base_model_id);
    struct leaf *state;

    if (base == NULL ||
        place->now_ms - leaf->base_requested_ms < BASE_REQUEST_REPEAT_MS) {
        return;
    }
    leaf->base_requested_ms = place->now_ms;
    state = leaf_get(place, base->id, base->path);
    if (state->priority < leaf->priority || state->requested_ms == 0) {
        state->priority = leaf->priority;
    }
    send_load_request(place, state, 1);
}

static bool
fits_any_engine(const struct place *place, const struct node *node)
{
    bool any = false;

    for (int i = 0; i < place->engine_view_count; i++) {
        const struct target_report *report = &place->engine_views[i]->report;

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

static bool
is_loaded_without_slot(const struct place *place, const struct leaf *leaf)
{
    for (int i = 0; i < place->engine_view_count; i++) {
        const struct target_report *report = &place->engine_views[i]->report;

        if (report_has(report->loaded, report->loaded_count, leaf->id) &&
            !leaf_has_slot(leaf, report->id)) {
            return true;
        }
    }
    return false;
}

/* Another member may have loaded the leaf since the records were read: then
 * the memory that is missing is the leaf's own. */
static void
doubt_records(const struct place *place, struct leaf *leaf)
{
    if (place->now_ms - leaf->records_read_ms >= RECORDS_DOUBT_MS &&
        is_loaded_without_slot(place, leaf)) {
        leaf->views_valid = false;
    }
}

static void
handle_no_engine(struct place *place, struct leaf *leaf,
                 const struct node *node,
                 const struct engine_requirements *required,
                 const struct err *err)
{
    bool never_fits = !fits_any_engine(place, node);

    leaf_release_permit(place, leaf);
    leaf->retry_at_ms = place->now_ms + ORDER_RETRY_MS;
    if (err->kind == ERR_NO_TARGET && leaf->failed_engine_count > 0) {
        /* All engines have failed once; they are tried again. */
        leaf->failed_engine_count = 0;
        return;
    }
    if (err->kind == ERR_MEMORY_FULL) {
        evict_for_leaf(place, leaf, required);
        doubt_records(place, leaf);
    }
    if (leaf->requester_count > 0 &&
        (never_fits ||
         place->now_ms - leaf->waiting_since_ms >= NO_ROOM_REPORT_MS)) {
        int64_t requested_ms = leaf->requested_ms;

        /* The calls continue to wait, so the load request is kept. */
        leaf_refuse(place, leaf, err->kind, err->text);
        leaf->requested_ms = requested_ms;
        leaf->waiting_since_ms = place->now_ms;
    }
}

static int
list_excluded_engines(const struct leaf *leaf, uint64_t *excluded, int max)
{
    int count = 0;

    for (int i = 0; i < leaf->view_count && count < max; i++) {
        excluded[count++] = leaf->views[i].slot.engine;
    }
    for (int i = 0; i < leaf->failed_engine_count && count < max; i++) {
        excluded[count++] = leaf->failed_engines[i];
    }
    return count;
}

static void
submit_load(struct place *place, struct leaf *leaf, struct engine_view *view)
{
    struct order *order = order_new(place, leaf, ORDER_LOAD);
    int64_t mb = order->reservation.mb;

    order->report = view->report;
    if (order_submit(place, leaf, &order)) {
        /* Counts this leaf in the selection of an engine for the next one,
           until the record is read again. */
        int64_t used = (int64_t)view->report.memory_mb -
                       engine_free_mb(view, place->now_ms);

        view->reserved_mb = used + mb;
        view->reserved_read_ms = place->now_ms;
    }
}

/**
 * leaf_load() - load another replica, or take the next step towards that
 * @place: placement
 * @leaf: the leaf
 * @node: settings of the leaf
 */
void
leaf_load(struct place *place, struct leaf *leaf, const struct node *node)
{
    uint64_t excluded[REPLICA_SLOTS_MAX];
    struct err err = {0};
    struct engine_requirements required = {
        .leaf = leaf->id,
        .service = node->service,
        .data_centre = node->data_centre,
        .mb = node->settings.memory_mb,
        .base_model_id = node->base_model_id,
        .excluded = excluded,
    };
    int index;

    if (leaf->requested_ms == 0) {
        leaf->priority = (int)node->settings.priority;
    }
    if (node->base_model_id != 0 && !base_loaded(place, node)) {
        base_request(place, leaf, node);
        return;
    }
    required.excluded_count =
        list_excluded_engines(leaf, excluded, REPLICA_SLOTS_MAX);
    index = choose_engine(&required, place->engine_views,
                          place->engine_view_count, place->now_ms, &err);
    if (index < 0) {
        handle_no_engine(place, leaf, node, &required, &err);
        return;
    }
    if (weights_source_of(&place->engine_views[index]->report, leaf->id) ==
            WEIGHTS_IN_STORE &&
        !leaf->permit_granted) {
        leaf_request_permit(place, leaf);
        return;
    }
    submit_load(place, leaf, place->engine_views[index]);
}
