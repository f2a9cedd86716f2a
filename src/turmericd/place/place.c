/**
 * DOC: Placement of models and adapters on engines: the duty.
 *
 * place_duty() is a supervisor with two children: the deciding duty, which
 * owns all state and blocks only on its ring, and the order threads.
 */
#include <glib.h>
#include <stdatomic.h>
#include <stddef.h>
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
    RING_MESSAGES = 4096,
    /* An order sends at most two messages, which must always find room. */
    RING_RESERVED = 2 * (ORDERS_MAX + ORDER_THREADS) + 64,
    TICK_MS = 200,
    TURNS_TICK_MS = 50,
    /* At most 20 scans a second: after a change of members the records of
       all leaves of this instance (18 of 6,050 at 340 members) are read
       within a second, and a whole fleet stays below the limit of reads. */
    SCANS_PER_TICK = 4,
    /* 218,000 hashes a second at 340 members. A want makes its leaf known at
       once, so the rest may take some seconds. */
    OWNERS_PER_TICK = 128,
    /* Finds changes by another member that took itself for the owner. */
    RESCAN_MS = 120000,
    SWEEP_MS = 10000,
    /* Askers repeat their wants every 500 ms. */
    WANT_EXPIRES_MS = 2000,
    MORE_EXPIRES_MS = 10000,
    LEAF_KEPT_MS = 3600000,
};

enum message_kind {
    MESSAGE_WANT,
    MESSAGE_REPORT,
    MESSAGE_USE,
    MESSAGE_ENVELOPE,
    MESSAGE_LOADED,
    MESSAGE_DONE,
};

/**
 * struct message - message to the deciding duty
 * @kind: what it is
 * @leaf: leaf of a use or load
 * @engine: engine of a load
 * @data: owned copy of a want or report, the envelope, or the order
 */
struct message {
    enum message_kind kind;
    uint64_t leaf;
    uint64_t engine;
    void *data;
};

static void
message_free(struct message *message)
{
    switch (message->kind) {
    case MESSAGE_ENVELOPE:
        turmeric__envelope__free_unpacked(message->data, NULL);
        break;
    case MESSAGE_DONE:
        order_free(message->data);
        break;
    default:
        g_free(message->data);
        break;
    }
}

/* Messages from elsewhere leave room for those of the order threads. */
static bool
post(struct place *place, const struct message *message, struct err *err)
{
    if (ring_count(&place->ring) >= RING_MESSAGES - RING_RESERVED) {
        return err_set(err, ERR_RING_FULL, "placement has %d messages to do",
                       RING_MESSAGES - RING_RESERVED);
    }
    return ring_push(&place->ring, message, err);
}

static bool
post_copy(struct place *place, enum message_kind kind, const void *data,
          size_t bytes, struct err *err)
{
    struct message message = {.kind = kind, .data = g_memdup2(data, bytes)};

    if (!post(place, &message, err)) {
        g_free(message.data);
        return false;
    }
    return true;
}

/**
 * place_post_want() - calls of this instance wait for a leaf
 * @place: placement
 * @want: the leaf; repeated while calls wait
 * @err: filled in on failure
 */
bool
place_post_want(struct place *place, const struct want *want, struct err *err)
{
    return post_copy(place, MESSAGE_WANT, want, sizeof(*want), err);
}

/**
 * place_post_report() - a report of a target has come
 * @place: placement
 * @report: of any target
 * @err: filled in on failure
 */
bool
place_post_report(struct place *place, const struct target_report *report,
                  struct err *err)
{
    return post_copy(place, MESSAGE_REPORT, report, sizeof(*report), err);
}

/**
 * place_post_use() - a request was routed to a leaf
 * @place: placement
 * @leaf: id of the leaf
 * @err: filled in on failure
 *
 * Further uses of a leaf within one tick cost one atomic read.
 */
bool
place_post_use(struct place *place, uint64_t leaf, struct err *err)
{
    _Atomic uint64_t *slot = &place->uses[leaf % USE_FILTER_SLOTS];
    struct message message = {.kind = MESSAGE_USE, .leaf = leaf};

    if (atomic_load_explicit(slot, memory_order_relaxed) == leaf) {
        return true;
    }
    atomic_store_explicit(slot, leaf, memory_order_relaxed);
    return post(place, &message, err);
}

/**
 * place_post_envelope() - a message for placement has come from a member
 * @place: placement
 * @envelope: taken when the result is true
 * @err: filled in on failure
 */
bool
place_post_envelope(struct place *place, Turmeric__Envelope *envelope,
                    struct err *err)
{
    struct message message = {.kind = MESSAGE_ENVELOPE, .data = envelope};

    return post(place, &message, err);
}

static struct place *
place_of(struct orders_port *port)
{
    return (struct place *)((char *)port -
                            offsetof(struct place, orders_port));
}

static bool
port_fresh(struct orders_port *port)
{
    struct place_port *outer = place_of(port)->port;

    return outer->ops->fresh(outer);
}

static bool
port_stopping(struct orders_port *port)
{
    return atomic_load(&place_of(port)->stopping);
}

static void
port_loaded(struct orders_port *port, const struct order *order)
{
    struct message message = {.kind = MESSAGE_LOADED,
                              .leaf = order->want.leaf,
                              .engine = order->report.id};

    ring_push(&place_of(port)->ring, &message, NULL);
}

static void
port_done(struct orders_port *port, struct order *order)
{
    struct message message = {.kind = MESSAGE_DONE, .data = order};

    if (!ring_push(&place_of(port)->ring, &message, NULL)) {
        order_free(order);
    }
}

static const struct orders_port_ops orders_port_ops = {
    .fresh = port_fresh,
    .stopping = port_stopping,
    .loaded = port_loaded,
    .done = port_done,
};

static void
handle_want(struct place *place, const struct want *want)
{
    uint64_t owner = place->port->ops->owner(place->port, want->leaf);
    struct leaf *leaf = leaf_get(place, want->leaf, want->path);

    if (owner == place->self) {
        leaf->owned = true;
        leaf_wanted(place, leaf, place->self, want->priority);
        leaf_decide(place, leaf);
        return;
    }
    leaf->priority = want->priority;
    leaf->used_ms = place->now_ms;
    leaf->told_ms = place->now_ms;
    send_want(place, leaf, want->waiting > 0 ? want->waiting : 1);
}

/* Decides again about leaves with a slot on the engine. */
static void
decide_on_report(struct place *place, struct leaf *leaf,
                 const struct target_report *report)
{
    for (int i = 0; i < leaf->view_count; i++) {
        const struct slot_view *view = &leaf->views[i];

        if (view->slot.engine != report->id) {
            continue;
        }
        if (!leaf->busy && view->has_item &&
            view->item.state == ITEM_LOADING &&
            report_has(report->loaded, report->loaded_count, leaf->id)) {
            /* Another member's order has ended; its record says how. */
            leaf->known = false;
        }
        leaf_decide(place, leaf);
        return;
    }
}

static void
find_strays(struct place *place, const struct engine_view *view)
{
    const struct target_report *report = &view->report;

    for (int i = 0; i < report->loaded_count; i++) {
        struct leaf *leaf = leaf_find(place, report->loaded[i]);

        if (leaf != NULL) {
            leaf_stray(place, leaf, view);
        }
    }
}

static void
handle_report(struct place *place, const struct target_report *report)
{
    GPtrArray *list;

    if (report->kind != TARGET_ENGINE) {
        return;
    }
    engine_reported(place, report);
    if (report->state == TARGET_LIVE || report->state == TARGET_DRAINING) {
        find_strays(place, engine_find(place, report->id));
    }
    list = leaves_list(place);
    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];

        if (leaf->owned) {
            decide_on_report(place, leaf, report);
        }
    }
    g_ptr_array_unref(list);
    decide_waiting(place);
}

static void
handle(struct place *place, const struct message *message)
{
    switch (message->kind) {
    case MESSAGE_WANT:
        handle_want(place, message->data);
        break;
    case MESSAGE_REPORT:
        handle_report(place, message->data);
        break;
    case MESSAGE_USE:
        leaf_used(place, message->leaf);
        break;
    case MESSAGE_ENVELOPE:
        place_envelope(place, message->data);
        break;
    case MESSAGE_LOADED:
        order_loaded(place, message->leaf, message->engine);
        break;
    case MESSAGE_DONE:
        order_done(place, message->data);
        break;
    }
}

static void
forget(struct leaf *leaf)
{
    leaf->owned = false;
    leaf->known = false;
    leaf->asker_count = 0;
    leaf->want_ms = 0;
    leaf->moving = false;
    leaf->more = false;
    leaf->settled_count = 0;
    g_free(leaf->views);
    leaf->views = NULL;
    leaf->view_count = 0;
}

/* A leaf that this instance owns from now on counts as used just now. */
static void
check_owner(struct place *place, struct leaf *leaf)
{
    bool owned = place->port->ops->owner(place->port, leaf->id) == place->self;

    if (owned && !leaf->owned) {
        leaf->owned = true;
        leaf->used_ms = place->now_ms;
    }
    else if (!owned && leaf->owned && !leaf->busy) {
        turn_end(place, leaf);
        forget(leaf);
        leaf->told_ms = place->now_ms;
    }
}

/* Looks at a part of the tree in each tick. */
static void
find_own_leaves(struct place *place)
{
    int count = place->tree == NULL ? 0 : tree_node_count(place->tree);
    int looked_at = count < OWNERS_PER_TICK ? count : OWNERS_PER_TICK;

    for (int i = 0; i < looked_at; i++) {
        const struct node *node;

        place->cursor = (place->cursor + 1) % count;
        node = tree_node_at(place->tree, place->cursor);
        if (node_is_leaf(node) && node->settings.kind == TARGET_ENGINE &&
            place->port->ops->owner(place->port, node->id) == place->self) {
            check_owner(place, leaf_get(place, node->id, node->path));
        }
    }
}

static void
expire_wants(struct place *place, struct leaf *leaf)
{
    if (leaf->want_ms != 0 &&
        place->now_ms - leaf->want_ms > WANT_EXPIRES_MS) {
        leaf->want_ms = 0;
        leaf->asker_count = 0;
    }
    if (leaf->more && place->now_ms - leaf->answered_ms > MORE_EXPIRES_MS) {
        leaf->more = false;
    }
}

static bool
needs_scan(const struct place *place, const struct leaf *leaf)
{
    if (leaf->busy || !leaf->owned) {
        return false;
    }
    return !leaf->known || (leaf->view_count > 0 &&
                            place->now_ms - leaf->checked_ms >= RESCAN_MS);
}

static void
tick_leaf(struct place *place, struct leaf *leaf, int *scans)
{
    check_owner(place, leaf);
    expire_wants(place, leaf);
    leaf_tell_use(place, leaf);
    if (leaf->owned && leaf->turn != 0) {
        turn_ask(place, leaf);
    }
    if (!needs_scan(place, leaf)) {
        leaf_decide(place, leaf);
    }
    else if (*scans > 0 && place->now_ms >= leaf->retry_ms) {
        (*scans)--;
        leaf_scan(place, leaf);
    }
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer data)
{
    const struct leaf *leaf = value;
    const struct place *place = data;

    (void)key;
    return !leaf->busy && leaf->want_ms == 0 && leaf->turn == 0 &&
           leaf->view_count == 0 &&
           (leaf_node(place, leaf) == NULL ||
            place->now_ms - leaf->used_ms > LEAF_KEPT_MS) &&
           (leaf->known || !leaf->owned);
}

static void
tick(struct place *place)
{
    GPtrArray *list;
    int scans = SCANS_PER_TICK;

    place->tick_ms = place->now_ms;
    for (int i = 0; i < USE_FILTER_SLOTS; i++) {
        atomic_store_explicit(&place->uses[i], 0, memory_order_relaxed);
    }
    find_own_leaves(place);
    list = leaves_list(place);
    for (guint i = 0; i < list->len; i++) {
        tick_leaf(place, list->pdata[i], &scans);
    }
    g_ptr_array_unref(list);
    engines_expire(place);
    g_hash_table_foreach_remove(place->leaves, is_unused, place);
    if (place->fresh && place->now_ms - place->sweep_ms >= SWEEP_MS) {
        place_sweep(place);
    }
}

/* Pins what the handling of one message decides with. */
static void
begin(struct place *place)
{
    place->now_ms = clock_now_ms();
    place->tree = place->port->ops->tree(place->port);
    place->fresh = place->tree != NULL && place->port->ops->fresh(place->port);
    if (place->started_ms == 0) {
        place->started_ms = place->now_ms;
    }
}

static void
end(struct place *place)
{
    tree_unref(place->tree);
    place->tree = NULL;
}

static int64_t
wait_ms(const struct place *place)
{
    int64_t left = place->tick_ms + TICK_MS - clock_now_ms();

    if (place->turns.count > 0 && left > TURNS_TICK_MS) {
        left = TURNS_TICK_MS;
    }
    return left > 0 ? left : 0;
}

static bool
main_run(struct duty *duty, struct err *err)
{
    struct place *place = ((struct place_main *)duty)->place;
    enum ring_result result = RING_TIMEOUT;
    struct message message;

    (void)err;
    while (result != RING_CLOSED) {
        result = ring_pop(&place->ring, &message, wait_ms(place));
        begin(place);
        if (result == RING_OK) {
            handle(place, &message);
            if (message.kind != MESSAGE_DONE) {
                message_free(&message);
            }
        }
        if (place->now_ms - place->tick_ms >= TICK_MS) {
            tick(place);
        }
        turns_tick(place);
        end(place);
    }
    return true;
}

static void
main_stop(struct duty *duty)
{
    struct place *place = ((struct place_main *)duty)->place;

    atomic_store(&place->stopping, true);
    ring_close(&place->ring);
}

static const struct duty_ops main_ops = {main_run, main_stop};

static void
free_tables(struct place *place)
{
    g_hash_table_unref(place->leaves);
    g_hash_table_unref(place->engines);
    g_free(place->views);
}

/**
 * place_new() - placement of this instance
 * @kv: where the records are
 * @api: orders to engines
 * @self: own member id
 * @start: own start number
 * @port: the rest of the instance
 * @err: filled in on failure
 *
 * Return: to be released with place_free(); NULL on failure.
 */
struct place *
place_new(struct kv *kv, struct engine_api *api, uint64_t self, uint64_t start,
          struct place_port *port, struct err *err)
{
    struct place *place = g_new0(struct place, 1);

    place->port = port;
    place->self = self;
    place->start = start;
    place->orders_port.ops = &orders_port_ops;
    place->main.duty = (struct duty){&main_ops, "place"};
    place->main.place = place;
    if (!ring_init(&place->ring, RING_MESSAGES, sizeof(struct message), err)) {
        g_free(place);
        return NULL;
    }
    if (!orders_init(&place->orders, kv, api, &place->orders_port, err)) {
        ring_free(&place->ring);
        g_free(place);
        return NULL;
    }
    place->leaves =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, leaf_free);
    place->engines =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    supervisor_init(&place->supervisor, "place");
    supervisor_add(&place->supervisor, &place->orders.supervisor.duty);
    supervisor_add(&place->supervisor, &place->main.duty);
    return place;
}

/**
 * place_free() - release a placement whose duty has ended
 * @place: may be NULL
 */
void
place_free(struct place *place)
{
    struct message message;

    if (place == NULL) {
        return;
    }
    while (ring_pop(&place->ring, &message, 0) == RING_OK) {
        message_free(&message);
    }
    orders_free(&place->orders);
    supervisor_free(&place->supervisor);
    free_tables(place);
    ring_free(&place->ring);
    g_free(place);
}

/**
 * place_duty() - the duty to be supervised
 * @place: placement
 */
struct duty *
place_duty(struct place *place)
{
    return &place->supervisor.duty;
}
