/**
 * DOC: Submits orders to the order threads, and queries to their senders.
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
    SENDERS_QUERY_REPEAT_MS = 1000,
};

/**
 * order_new() - create an order with the settings in force
 * @place: placement
 * @leaf: the leaf
 * @kind: what to do
 *
 * Return: to be passed to order_submit() or released with order_free().
 */
struct order *
order_new(struct place *place, const struct leaf *leaf, enum order_kind kind)
{
    const struct node *node = leaf_node(place, leaf);
    struct order *order = g_new0(struct order, 1);

    order->kind = kind;
    g_strlcpy(order->path, leaf->path, PATH_MAX_BYTES);
    order->reservation.leaf = leaf->id;
    order->reservation.path = order->path;
    order->reservation.member = place->self_id;
    order->reservation.started_ms = place->started_ms;
    order->limit = leaf_replica_limit(node);
    order->revision = place->tree == NULL ? 0 : tree_revision(place->tree);
    order->checks_fence = leaf_checks_fence(place, leaf->path);
    if (node != NULL) {
        order->reservation.mb = node->settings.memory_mb;
        order->reservation.base_model_id = node->base_model_id;
    }
    return order;
}

/**
 * order_submit() - submit an order to the order threads
 * @place: placement
 * @leaf: the leaf; its order_running is set until the order has ended
 * @order: taken over in every case, and set to NULL
 */
bool
order_submit(struct place *place, struct leaf *leaf, struct order **order)
{
    struct err err = {0};

    if (!orders_submit(&place->orders, order, &err)) {
        refusal_add(err.kind);
        order_free(*order);
        *order = NULL;
        leaf->retry_at_ms = place->now_ms + ORDER_RETRY_MS;
        return false;
    }
    leaf->order_running = true;
    return true;
}

/**
 * leaf_scan() - submit an order that reads the records of a leaf
 * @place: placement
 * @leaf: the leaf
 */
void
leaf_scan(struct place *place, struct leaf *leaf)
{
    struct order *order = order_new(place, leaf, ORDER_SCAN);

    order_submit(place, leaf, &order);
}

/**
 * slot_order_submit() - submit an order for a slot
 * @place: placement
 * @leaf: the leaf
 * @kind: what to do
 * @slot: the slot as last read
 */
void
slot_order_submit(struct place *place, struct leaf *leaf, enum order_kind kind,
                  const struct slot_view *slot)
{
    const struct engine_view *view = engine_find(place, slot->slot.engine);
    struct order *order = order_new(place, leaf, kind);

    order->report.id = slot->slot.engine;
    if (view != NULL) {
        order->report = view->report;
    }
    order->engine_gone =
        engine_state_of(place, slot->slot.engine) == ENGINE_GONE;
    for (int i = 0; i < slot->item.sender_count; i++) {
        const struct sender *sender = &slot->item.senders[i];

        if (sender_settled(place, leaf, slot->slot.engine, sender)) {
            order->settled[order->settled_count++] = *sender;
        }
    }
    order_submit(place, leaf, &order);
}

/**
 * slot_query_senders() - query whether the orders of the senders of a slot
 * have ended
 * @place: placement
 * @leaf: the leaf
 * @slot: the slot as last read
 */
void
slot_query_senders(struct place *place, struct leaf *leaf,
                   const struct slot_view *slot)
{
    if (place->now_ms - leaf->senders_queried_ms < SENDERS_QUERY_REPEAT_MS) {
        return;
    }
    leaf->senders_queried_ms = place->now_ms;
    if (leaf->unresponsive_since_ms == 0) {
        leaf->unresponsive_since_ms = place->now_ms;
    }
    for (int i = 0; i < slot->item.sender_count; i++) {
        const struct sender *sender = &slot->item.senders[i];

        if (!sender_settled(place, leaf, slot->slot.engine, sender)) {
            send_settle_query(place, sender, slot->slot.engine, leaf->id);
        }
    }
}

/**
 * leaf_has_slot() - whether the leaf has a slot on the engine
 * @leaf: the leaf
 * @engine: id of the engine
 */
bool
leaf_has_slot(const struct leaf *leaf, uint64_t engine)
{
    for (int i = 0; i < leaf->view_count; i++) {
        if (leaf->views[i].slot.engine == engine) {
            return true;
        }
    }
    return false;
}

/**
 * leaf_handle_stray() - handle a leaf that an engine reports without a slot
 * @place: placement
 * @leaf: the leaf
 * @engine: the engine
 *
 * First reads the records again, as another member may have loaded the leaf.
 * If it still has no slot when it is next reported, it is unloaded.
 */
void
leaf_handle_stray(struct place *place, struct leaf *leaf,
                  const struct engine_view *engine)
{
    struct order *order;
    uint64_t id = engine->report.id;

    if (!leaf->owned || !leaf->views_valid || leaf->order_running ||
        !place->config_fresh ||
        place->now_ms - leaf->records_read_ms < REPORT_DELAY_MAX_MS ||
        leaf_has_slot(leaf, id)) {
        return;
    }
    if (leaf->stray_engine != id) {
        leaf->stray_engine = id;
        leaf_scan(place, leaf);
        return;
    }
    leaf->stray_engine = 0;
    order = order_new(place, leaf, ORDER_UNLOAD);
    order->report = engine->report;
    order->stray = true;
    log_line(LOG_PRI_WARNING, "place", "event=stray_replica leaf=%s engine=%s",
             leaf->path, engine->report.name);
    order_submit(place, leaf, &order);
}

/**
 * place_sweep() - submit an order that reads the next page of replica records
 * @place: placement
 *
 * Finds the records of leaves that were removed from the tree while their
 * owner was not running.
 */
void
place_sweep(struct place *place)
{
    struct order *order;
    struct err err = {0};

    if (place->sweeping) {
        return;
    }
    order = g_new0(struct order, 1);
    order->kind = ORDER_SWEEP;
    g_strlcpy(order->sweep_key,
              place->sweep_key[0] != '\0' ? place->sweep_key
                                          : "/turmeric/replicas/",
              sizeof(order->sweep_key));
    if (!orders_submit(&place->orders, &order, &err)) {
        order_free(order);
        return;
    }
    place->sweeping = true;
    place->sweep_ms = place->now_ms;
}
