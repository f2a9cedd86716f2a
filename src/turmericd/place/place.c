/**
 * DOC: Duty that places models and adapters on engines.
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
    /* Each order posts at most two messages, which must never be rejected. */
    RING_ORDER_RESERVE = 2 * (ORDERS_MAX + ORDER_THREADS) + 64,
    TICK_MS = 200,
    PERMITS_TICK_MS = 50,
    /* 20 scans a second read the records of all leaves that an instance owns
       (18 of 6,050 with 340 members) within a second after a change of
       members, and keep a whole fleet below the read limit of the key-value
       store. */
    SCANS_PER_TICK_MAX = 4,
    /* 218,000 hashes a second with 340 members. A load request adds its leaf
       at once, so finding the other leaves may take some seconds. */
    OWNER_CHECKS_PER_TICK = 128,
    /* Detects changes by another member that considered itself the owner. */
    RECORDS_REREAD_MS = 120000,
    SWEEP_MS = 10000,
    /* Requesters repeat their requests every 500 ms. */
    REQUEST_EXPIRES_MS = 2000,
    SCALE_OUT_EXPIRES_MS = 10000,
    UNUSED_LEAF_EXPIRES_MS = 3600000,
};

enum message_kind {
    MESSAGE_LOAD_REQUEST,
    MESSAGE_REPORT,
    MESSAGE_USE,
    MESSAGE_ENVELOPE,
    MESSAGE_LOADED,
    MESSAGE_DONE,
};

/**
 * struct message - message to the deciding duty
 * @kind: kind of message
 * @leaf: leaf of MESSAGE_USE and MESSAGE_LOADED
 * @engine: engine of MESSAGE_LOADED
 * @data: owned: copy of a load request or report, envelope, or order
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

/* Rejects messages that would use the room reserved for order results. */
static bool
post_message(struct place *place, const struct message *message,
             struct err *err)
{
    if (ring_count(&place->ring) >= RING_MESSAGES - RING_ORDER_RESERVE) {
        return err_set(err, ERR_RING_FULL, "placement queue holds %d messages",
                       RING_MESSAGES - RING_ORDER_RESERVE);
    }
    return ring_push(&place->ring, message, err);
}

static bool
post_copy(struct place *place, enum message_kind kind, const void *data,
          size_t bytes, struct err *err)
{
    struct message message = {.kind = kind, .data = g_memdup2(data, bytes)};

    if (!post_message(place, &message, err)) {
        g_free(message.data);
        return false;
    }
    return true;
}

/**
 * place_post_load_request() - post that calls of this instance wait for a leaf
 * @place: placement
 * @request: copied; to be repeated every 500 ms while calls wait
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
place_post_load_request(struct place *place,
                        const struct load_request *request, struct err *err)
{
    return post_copy(place, MESSAGE_LOAD_REQUEST, request, sizeof(*request),
                     err);
}

/**
 * place_post_report() - post a report of a target
 * @place: placement
 * @report: copied; reports of plain services are ignored
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
place_post_report(struct place *place, const struct target_report *report,
                  struct err *err)
{
    return post_copy(place, MESSAGE_REPORT, report, sizeof(*report), err);
}

/**
 * place_post_use() - post that a request was routed to a leaf
 * @place: placement
 * @leaf: id of the leaf
 * @err: filled in on failure
 *
 * Repeated uses of a leaf within one tick cost one atomic read.
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
place_post_use(struct place *place, uint64_t leaf, struct err *err)
{
    _Atomic uint64_t *slot = &place->recent_uses[leaf % RECENT_USE_SLOTS];
    struct message message = {.kind = MESSAGE_USE, .leaf = leaf};

    if (atomic_load_explicit(slot, memory_order_relaxed) == leaf) {
        return true;
    }
    if (!post_message(place, &message, err)) {
        return false;
    }
    atomic_store_explicit(slot, leaf, memory_order_relaxed);
    return true;
}

/**
 * place_post_envelope() - post a message of another member
 * @place: placement
 * @envelope: taken over on success
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
place_post_envelope(struct place *place, Turmeric__Envelope *envelope,
                    struct err *err)
{
    struct message message = {.kind = MESSAGE_ENVELOPE, .data = envelope};

    return post_message(place, &message, err);
}

static struct place *
place_of(struct orders_port *port)
{
    return (struct place *)((char *)port -
                            offsetof(struct place, orders_port));
}

static bool
port_config_fresh(struct orders_port *port)
{
    struct place_port *outer = place_of(port)->port;

    return outer->ops->config_fresh(outer);
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
                              .leaf = order->reservation.leaf,
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
    .config_fresh = port_config_fresh,
    .stopping = port_stopping,
    .loaded = port_loaded,
    .done = port_done,
};

static void
handle_load_request(struct place *place, const struct load_request *request)
{
    uint64_t owner = place->port->ops->owner(place->port, request->leaf);
    struct leaf *leaf = leaf_get(place, request->leaf, request->path);

    if (owner == place->self_id) {
        leaf->owned = true;
        leaf_add_requester(place, leaf, place->self_id, request->priority);
        leaf_decide(place, leaf);
        return;
    }
    leaf->priority = request->priority;
    leaf->last_used_ms = place->now_ms;
    leaf->use_reported_ms = place->now_ms;
    send_load_request(place, leaf,
                      request->waiting > 0 ? request->waiting : 1);
}

/* Decides about a leaf again if it has a slot on the reported engine. */
static void
decide_for_report(struct place *place, struct leaf *leaf,
                  const struct target_report *report)
{
    for (int i = 0; i < leaf->view_count; i++) {
        const struct slot_view *view = &leaf->views[i];

        if (view->slot.engine != report->id) {
            continue;
        }
        if (!leaf->order_running && view->has_item &&
            view->item.state == ITEM_LOADING &&
            report_has(report->loaded, report->loaded_count, leaf->id)) {
            /* The order of another member has ended; reads its result. */
            leaf->views_valid = false;
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
            leaf_handle_stray(place, leaf, view);
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
    engine_update(place, report);
    if (report->state == TARGET_LIVE || report->state == TARGET_DRAINING) {
        find_strays(place, engine_find(place, report->id));
    }
    list = leaves_list(place);
    for (guint i = 0; i < list->len; i++) {
        struct leaf *leaf = list->pdata[i];

        if (leaf->owned) {
            decide_for_report(place, leaf, report);
        }
    }
    g_ptr_array_unref(list);
    decide_waiting(place);
}

static void
handle_message(struct place *place, const struct message *message)
{
    switch (message->kind) {
    case MESSAGE_LOAD_REQUEST:
        handle_load_request(place, message->data);
        break;
    case MESSAGE_REPORT:
        handle_report(place, message->data);
        break;
    case MESSAGE_USE:
        leaf_record_use(place, message->leaf);
        break;
    case MESSAGE_ENVELOPE:
        place_handle_envelope(place, message->data);
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
reset_owner_state(struct leaf *leaf)
{
    leaf->owned = false;
    leaf->views_valid = false;
    leaf->requester_count = 0;
    leaf->requested_ms = 0;
    leaf->relocating = false;
    leaf->scale_out = false;
    leaf->settled_count = 0;
    g_free(leaf->views);
    leaf->views = NULL;
    leaf->view_count = 0;
}

/* A leaf counts as used at the time when this instance becomes its owner. */
static void
update_ownership(struct place *place, struct leaf *leaf)
{
    bool owned =
        place->port->ops->owner(place->port, leaf->id) == place->self_id;

    if (owned && !leaf->owned) {
        leaf->owned = true;
        leaf->last_used_ms = place->now_ms;
    }
    else if (!owned && leaf->owned && !leaf->order_running) {
        leaf_release_permit(place, leaf);
        reset_owner_state(leaf);
        leaf->use_reported_ms = place->now_ms;
    }
}

/* Checks the owners of some tree nodes in each tick. */
static void
find_own_leaves(struct place *place)
{
    int count = place->tree == NULL ? 0 : tree_node_count(place->tree);
    int checks = count < OWNER_CHECKS_PER_TICK ? count : OWNER_CHECKS_PER_TICK;

    for (int i = 0; i < checks; i++) {
        const struct node *node;

        place->owner_cursor = (place->owner_cursor + 1) % count;
        node = tree_node_at(place->tree, place->owner_cursor);
        if (node_is_leaf(node) && node->settings.kind == TARGET_ENGINE &&
            place->port->ops->owner(place->port, node->id) == place->self_id) {
            update_ownership(place, leaf_get(place, node->id, node->path));
        }
    }
}

static void
expire_requests(struct place *place, struct leaf *leaf)
{
    if (leaf->requested_ms != 0 &&
        place->now_ms - leaf->requested_ms > REQUEST_EXPIRES_MS) {
        leaf->requested_ms = 0;
        leaf->requester_count = 0;
    }
    if (leaf->scale_out &&
        place->now_ms - leaf->answered_ms > SCALE_OUT_EXPIRES_MS) {
        leaf->scale_out = false;
    }
}

static bool
needs_scan(const struct place *place, const struct leaf *leaf)
{
    if (leaf->order_running || !leaf->owned) {
        return false;
    }
    return !leaf->views_valid ||
           (leaf->view_count > 0 &&
            place->now_ms - leaf->records_read_ms >= RECORDS_REREAD_MS);
}

static void
tick_leaf(struct place *place, struct leaf *leaf, int *scans)
{
    update_ownership(place, leaf);
    expire_requests(place, leaf);
    leaf_report_use(place, leaf);
    if (leaf->owned && leaf->permit_token != 0) {
        leaf_request_permit(place, leaf);
    }
    if (!needs_scan(place, leaf)) {
        leaf_decide(place, leaf);
    }
    else if (*scans > 0 && place->now_ms >= leaf->retry_at_ms) {
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
    return !leaf->order_running && leaf->requested_ms == 0 &&
           leaf->permit_token == 0 && leaf->view_count == 0 &&
           (leaf_node(place, leaf) == NULL ||
            place->now_ms - leaf->last_used_ms > UNUSED_LEAF_EXPIRES_MS) &&
           (leaf->views_valid || !leaf->owned);
}

static void
tick(struct place *place)
{
    GPtrArray *list;
    int scans = SCANS_PER_TICK_MAX;

    place->tick_ms = place->now_ms;
    for (int i = 0; i < RECENT_USE_SLOTS; i++) {
        atomic_store_explicit(&place->recent_uses[i], 0, memory_order_relaxed);
    }
    find_own_leaves(place);
    list = leaves_list(place);
    for (guint i = 0; i < list->len; i++) {
        tick_leaf(place, list->pdata[i], &scans);
    }
    g_ptr_array_unref(list);
    engines_expire(place);
    g_hash_table_foreach_remove(place->leaves, is_unused, place);
    if (place->config_fresh && place->now_ms - place->sweep_ms >= SWEEP_MS) {
        place_sweep(place);
    }
}

/* Takes the time, tree and configuration state for handling one message. */
static void
begin_message(struct place *place)
{
    place->now_ms = clock_now_ms();
    place->tree = place->port->ops->tree_ref(place->port);
    place->config_fresh =
        place->tree != NULL && place->port->ops->config_fresh(place->port);
    if (place->first_message_ms == 0) {
        place->first_message_ms = place->now_ms;
    }
}

static void
end_message(struct place *place)
{
    tree_unref(place->tree);
    place->tree = NULL;
}

static int64_t
next_tick_in_ms(const struct place *place)
{
    int64_t left = place->tick_ms + TICK_MS - clock_now_ms();

    if (place->load_permits.count > 0 && left > PERMITS_TICK_MS) {
        left = PERMITS_TICK_MS;
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
        result = ring_pop(&place->ring, &message, next_tick_in_ms(place));
        begin_message(place);
        if (result == RING_OK) {
            handle_message(place, &message);
            if (message.kind != MESSAGE_DONE) {
                message_free(&message);
            }
        }
        if (place->now_ms - place->tick_ms >= TICK_MS) {
            tick(place);
        }
        place_grant_permits(place);
        end_message(place);
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
    g_free(place->engine_views);
}

/**
 * place_new() - create the placement of this instance
 * @kv: key-value store that holds the records
 * @api: sends orders to engines
 * @self_id: id of this instance
 * @started_ms: start time of this instance
 * @port: services of the rest of the instance
 * @err: filled in on failure
 *
 * @kv, @api and @port stay the caller's and must outlive the placement.
 *
 * Return: to be released with place_free(); NULL on failure.
 */
struct place *
place_new(struct kv *kv, struct engine_api *api, uint64_t self_id,
          uint64_t started_ms, struct place_port *port, struct err *err)
{
    struct place *place = g_new0(struct place, 1);

    place->port = port;
    place->self_id = self_id;
    place->started_ms = started_ms;
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
 * place_duty() - duty to be supervised
 * @place: placement, which keeps the duty
 */
struct duty *
place_duty(struct place *place)
{
    return &place->supervisor.duty;
}
