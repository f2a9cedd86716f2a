/**
 * DOC: Handles the results of orders.
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
    SLOW_RETRY_MS = 1000,
    LOAD_FAILED_PAUSE_MS = 2000,
    LOAD_FAILURES_MAX = 3,
};

/**
 * order_loaded() - handle the confirmation of a load by an engine
 * @place: placement
 * @id: id of the leaf
 * @engine: id of the engine
 *
 * The load is recorded, and order_done() called, later.
 */
void
order_loaded(struct place *place, uint64_t id, uint64_t engine)
{
    struct leaf *leaf = leaf_find(place, id);
    struct placement placement = {.leaf = id, .target = engine};

    engine_add_loaded(place, engine, id);
    if (leaf == NULL) {
        return;
    }
    leaf_release_permit(place, leaf);
    leaf->failures = 0;
    leaf->failed_engine_count = 0;
    leaf->relocating = false;
    leaf->scale_out = false;
    leaf->last_used_ms = place->now_ms;
    leaf_answer(place, leaf, &placement);
    decide_adapters(place, id);
}

static void
store_views(struct place *place, struct leaf *leaf, struct order *order)
{
    struct engine_view *view = engine_find(place, order->report.id);

    leaf->views_valid = order->views_valid;
    if (order->views_valid) {
        g_free(leaf->views);
        leaf->views = order->views;
        leaf->view_count = order->view_count;
        leaf->records_read_ms = place->now_ms;
        order->views = NULL;
    }
    if (view != NULL && order->reserved_mb >= 0) {
        view->reserved_mb = order->reserved_mb;
        view->reserved_read_ms = place->now_ms;
    }
}

static const char *const order_names[] = {"scan",   "load",  "adopt",
                                          "unload", "clear", "sweep"};

static void
log_failure(const struct order *order)
{
    log_line(LOG_PRI_WARNING, "place",
             "event=order_failed order=%s leaf=%s engine=%s error=%s "
             "detail=\"%s\"",
             order_names[order->kind], order->path, order->report.name,
             err_info(order->err.kind)->name, order->err.text);
}

/* Orders that engines may have seen. */
static void
log_order(const struct order *order)
{
    if (order->kind != ORDER_SCAN && order->kind != ORDER_SWEEP) {
        log_line(LOG_PRI_INFO, "place",
                 "event=order order=%s leaf=%s engine=%s stray=%d result=%s "
                 "recorded=%d",
                 order_names[order->kind], order->path, order->report.name,
                 order->stray, err_info(order->err.kind)->name,
                 order->views_valid);
    }
}

static void
add_failed_engine(struct leaf *leaf, uint64_t engine)
{
    if (leaf->failed_engine_count == LEAF_FAILED_ENGINES_MAX) {
        leaf->failed_engine_count = 0;
    }
    leaf->failed_engines[leaf->failed_engine_count++] = engine;
}

static void
load_failed(struct place *place, struct leaf *leaf, const struct order *order)
{
    leaf->failures++;
    add_failed_engine(leaf, order->report.id);
    if (leaf->failures >= LOAD_FAILURES_MAX) {
        leaf_refuse(place, leaf, ERR_LOAD_FAILED, order->err.text);
        leaf->failures = 0;
        leaf->failed_engine_count = 0;
        leaf->retry_at_ms = place->now_ms + LOAD_FAILED_PAUSE_MS;
    }
}

static bool
is_load(const struct order *order)
{
    return order->kind == ORDER_LOAD || order->kind == ORDER_ADOPT;
}

static void
order_failed(struct place *place, struct leaf *leaf, const struct order *order)
{
    leaf->retry_at_ms = place->now_ms + ORDER_RETRY_MS;
    switch (order->err.kind) {
    case ERR_NO_TARGET:
        /* The model of an adapter is in the report but not in the record. */
        if (order->reservation.base_model_id != 0 &&
            leaf_node(place, leaf) != NULL) {
            base_request(place, leaf, leaf_node(place, leaf));
        }
        break;
    case ERR_KV_CONFLICT:
        /* The model was not unloaded because it has adapters on the engine, so
           it counts as used. */
        if (order->kind == ORDER_UNLOAD && leaf->evict_engine == 0) {
            leaf->last_used_ms = place->now_ms;
        }
        break;
    case ERR_MEMORY_FULL:
    case ERR_FENCE_OLD:
    case ERR_REPLICAS_FULL:
        break;
    case ERR_LOAD_FAILED:
    case ERR_IO:
    case ERR_TIMEOUT:
        log_failure(order);
        if (is_load(order)) {
            load_failed(place, leaf, order);
        }
        else {
            leaf->retry_at_ms = place->now_ms + SLOW_RETRY_MS;
        }
        break;
    case ERR_CONFIG_STALE:
        leaf_refuse(place, leaf, ERR_CONFIG_STALE, order->err.text);
        break;
    case ERR_KV_DOWN:
        leaf->retry_at_ms = place->now_ms + SLOW_RETRY_MS;
        break;
    default:
        log_failure(order);
        leaf->retry_at_ms = place->now_ms + SLOW_RETRY_MS;
        break;
    }
}

static void
log_kv_change(struct place *place, const struct order *order)
{
    bool down = order->err.kind == ERR_KV_DOWN;

    if (down != place->kv_down && (down || order->views_valid)) {
        place->kv_down = down;
        log_line(LOG_PRI_WARNING, "place", "event=%s detail=\"%s\"",
                 down ? "records_unavailable" : "records_available",
                 order->err.text);
    }
}

static void
order_succeeded(struct place *place, struct leaf *leaf,
                const struct order *order)
{
    leaf->retry_at_ms = 0;
    if (order->kind != ORDER_UNLOAD) {
        return;
    }
    engine_drop_loaded(place, order->report.id, leaf->id);
    if (leaf->evict_engine == order->report.id) {
        leaf->evict_engine = 0;
    }
    leaf->settled_count = 0;
}

static void
handle_sweep_result(struct place *place, const struct order *order)
{
    place->sweeping = false;
    if (order->err.kind != ERR_NONE) {
        return;
    }
    g_strlcpy(place->sweep_key, order->sweep_key, sizeof(place->sweep_key));
    for (int i = 0; i < order->swept_leaf_count; i++) {
        const struct swept_leaf *swept = &order->swept_leaves[i];

        if (place->port->ops->owner(place->port, swept->id) ==
            place->self_id) {
            struct leaf *leaf = leaf_get(place, swept->id, swept->path);

            leaf->owned = true;
            leaf_decide(place, leaf);
        }
    }
}

/**
 * order_done() - handle the result of an order
 * @place: placement
 * @order: released
 */
void
order_done(struct place *place, struct order *order)
{
    struct leaf *leaf = leaf_find(place, order->reservation.leaf);

    if (order->kind == ORDER_SWEEP) {
        handle_sweep_result(place, order);
    }
    else if (leaf != NULL) {
        log_order(order);
        leaf->order_running = false;
        log_kv_change(place, order);
        store_views(place, leaf, order);
        if (is_load(order)) {
            leaf_release_permit(place, leaf);
        }
        if (order->err.kind == ERR_NONE) {
            order_succeeded(place, leaf, order);
        }
        else {
            order_failed(place, leaf, order);
        }
        leaf_decide(place, leaf);
        if (order->kind == ORDER_UNLOAD) {
            decide_waiting(place);
        }
    }
    order_free(order);
}
