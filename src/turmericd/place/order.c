/**
 * DOC: Order threads, which do the blocking steps of loads and unloads.
 *
 * An order writes its records before it sends anything, and sends only when
 * both writes are known to have taken effect. A write without an answer is
 * repeated from a fresh read until the own sender and fence are seen in the
 * record or another writer has made the write impossible.
 *
 * A slot names the fence of the reservation that follows it, and the
 * reservation is written against the revision of the engine's record that was
 * read before the slot was written. So whoever has read the slot and then
 * changes the engine's record may remove the slot: the reservation can no
 * longer appear.
 */
#include <glib.h>
#include <stdio.h>
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
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

/* Conflicts come from other leaves on the same engine; more than a few in a
   row mean that the duty should choose again. */
enum { ATTEMPTS_MAX = 8 };

/**
 * struct work - an order being executed
 * @orders: the pool
 * @order: the order
 * @replica: record of the leaf as last read or written
 * @replica_revision: its revision in the key-value service
 * @engine: record of the engine as last read or written
 * @engine_revision: its revision in the key-value service
 * @next_replica: the next state of @replica
 * @next_engine: the next state of @engine
 * @slot: slot of the leaf on the engine, read before the engine's record was
 *        last changed
 * @has_slot: @slot is valid
 * @sender: own order
 */
struct work {
    struct orders *orders;
    struct order *order;
    struct replica_record replica;
    int64_t replica_revision;
    struct engine_record engine;
    int64_t engine_revision;
    struct replica_record next_replica;
    struct engine_record next_engine;
    struct replica_slot slot;
    bool has_slot;
    struct sender sender;
};

static bool
read_replica(struct work *work, struct err *err)
{
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    bool ok = true;

    record_key(key, sizeof(key), "replicas", work->order->want.leaf);
    if (!kv_get(work->orders->kv, key, &entry, err)) {
        return false;
    }
    work->replica_revision = entry.revision;
    if (entry.revision == 0) {
        memset(&work->replica, 0, sizeof(work->replica));
        work->replica.leaf = work->order->want.leaf;
        g_strlcpy(work->replica.path, work->order->path, PATH_MAX_BYTES);
    }
    else {
        ok = replica_decode(entry.value, work->order->want.leaf,
                            &work->replica, err);
    }
    kv_entry_free(&entry);
    return ok;
}

static bool
read_engine(struct work *work, uint64_t engine, struct err *err)
{
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    bool ok = true;

    record_key(key, sizeof(key), "engines", engine);
    if (!kv_get(work->orders->kv, key, &entry, err)) {
        return false;
    }
    work->engine_revision = entry.revision;
    if (entry.revision == 0) {
        memset(&work->engine, 0, sizeof(work->engine));
        work->engine.engine = engine;
    }
    else {
        ok = engine_decode(entry.value, engine, &work->engine, err);
    }
    kv_entry_free(&entry);
    return ok;
}

static bool
count_retry(const struct err *err)
{
    bool conflict = err->kind == ERR_KV_CONFLICT;

    if (!conflict && err->kind != ERR_KV_DOWN) {
        return false;
    }
    counter_add(conflict ? CTR_RETRY_KV_CONFLICT : CTR_RETRY_KV_DOWN, 1);
    return true;
}

static bool
write_replica(struct work *work, struct err *err)
{
    char *text = replica_encode(&work->next_replica);
    char key[KV_KEY_MAX_BYTES];
    int64_t revision = 0;
    bool ok;

    record_key(key, sizeof(key), "replicas", work->order->want.leaf);
    ok = kv_cas(work->orders->kv, key, work->replica_revision, text,
                strlen(text), &revision, err);
    if (ok) {
        work->replica = work->next_replica;
        work->replica_revision = revision;
    }
    g_free(text);
    return ok;
}

/* Writes nothing when the record has the wanted content already. */
static bool
write_engine(struct work *work, struct err *err)
{
    char *old = engine_encode(&work->engine);
    char *text = engine_encode(&work->next_engine);
    char key[KV_KEY_MAX_BYTES];
    int64_t revision = work->engine_revision;
    bool ok = true;

    record_key(key, sizeof(key), "engines", work->engine.engine);
    if (strcmp(old, text) != 0) {
        ok = kv_cas(work->orders->kv, key, work->engine_revision, text,
                    strlen(text), &revision, err);
    }
    if (ok) {
        work->engine = work->next_engine;
        work->engine_revision = revision;
    }
    g_free(old);
    g_free(text);
    return ok;
}

typedef bool (*transition)(struct work *work, struct err *err);

/*
 * Applies a transition to the engine's record until it is written. The
 * transition sees the outcome of an own write whose answer was lost.
 */
static bool
change_engine(struct work *work, transition apply, struct err *err)
{
    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        err_clear(err);
        if (!read_engine(work, work->order->report.id, err)) {
            if (!count_retry(err)) {
                return false;
            }
            continue;
        }
        if (!apply(work, err)) {
            return false;
        }
        if (write_engine(work, err)) {
            return true;
        }
        if (!count_retry(err)) {
            return false;
        }
    }
    return false;
}

/* Removes the slot as read before, unless someone has written it since. */
static void
give_back_slot(struct work *work)
{
    struct err err = {0};

    for (int i = 0; i < ATTEMPTS_MAX && work->has_slot; i++) {
        err_clear(&err);
        if (!read_replica(work, &err)) {
            if (!count_retry(&err)) {
                return;
            }
            continue;
        }
        if (!slot_remove(&work->replica, &work->slot, &work->next_replica,
                         &err) ||
            write_replica(work, &err) || !count_retry(&err)) {
            return;
        }
    }
}

static void
remember_slot(struct work *work)
{
    const struct replica_slot *slot =
        slot_find(&work->replica, work->order->report.id);

    work->has_slot = slot != NULL;
    if (slot != NULL) {
        work->slot = *slot;
    }
}

static bool
fresh(const struct work *work, struct err *err)
{
    struct orders_port *port = work->orders->port;

    return port->ops->fresh(port) ||
           err_set(err, ERR_CONFIG_STALE,
                   "the configuration held is not confirmed");
}

static bool
same_slot(const struct replica_slot *a, const struct replica_slot *b)
{
    return a->engine == b->engine && a->by.member == b->by.member &&
           a->by.start == b->by.start && a->by.fence == b->by.fence;
}

/* Takes the slot that announces the reservation in work->next_engine. */
static bool
announce(struct work *work, struct err *err)
{
    const struct order *order = work->order;
    struct replica_slot slot = {order->report.id, work->sender};
    const struct replica_slot *found = slot_find(&work->replica, slot.engine);

    work->slot = slot;
    work->has_slot = true;
    if (found != NULL && same_slot(found, &slot)) {
        return true;
    }
    return slot_add(&work->replica, slot.engine, &slot.by, order->limit,
                    order->revision, &work->next_replica, err) &&
           write_replica(work, err);
}

enum step_result { STEP_DONE, STEP_AGAIN, STEP_FAILED };

static enum step_result
retry_or_fail(const struct err *err)
{
    return count_retry(err) ? STEP_AGAIN : STEP_FAILED;
}

/* The engine's record is read before the slot is written; see above. */
static enum step_result
try_reserve(struct work *work, struct err *err)
{
    const struct order *order = work->order;
    const struct item *item;

    if (!read_engine(work, order->report.id, err) ||
        !read_replica(work, err)) {
        return retry_or_fail(err);
    }
    item = item_find(&work->engine, order->want.leaf);
    if (item != NULL && item_sent_by(item, &work->sender)) {
        return STEP_DONE;
    }
    if (!reserve_add(&work->engine, &order->want, &order->report,
                     &work->next_engine, err)) {
        return STEP_FAILED;
    }
    work->sender.fence = work->next_engine.fence;
    if (!announce(work, err) || !write_engine(work, err)) {
        return retry_or_fail(err);
    }
    return STEP_DONE;
}

static enum step_result
try_adopt(struct work *work, struct err *err)
{
    const struct order *order = work->order;
    const struct item *item;

    if (!read_replica(work, err) ||
        !read_engine(work, order->report.id, err)) {
        return retry_or_fail(err);
    }
    remember_slot(work);
    item = item_find(&work->engine, order->want.leaf);
    if (item != NULL && item_sent_by(item, &work->sender)) {
        return STEP_DONE;
    }
    reserve_restart(&work->engine, order->report.incarnation,
                    order->report.memory_mb, &work->next_engine);
    if (!work->has_slot) {
        err_set(err, ERR_REPLICAS_FULL, "%s: the slot was given back",
                order->path);
        return STEP_FAILED;
    }
    if (!reserve_settle(&work->next_engine, order->want.leaf, order->settled,
                        order->settled_count, &work->next_engine, err) ||
        !reserve_adopt(&work->next_engine, &order->want, &work->next_engine,
                       err)) {
        return STEP_FAILED;
    }
    work->sender.fence = work->next_engine.fence;
    if (!write_engine(work, err)) {
        return retry_or_fail(err);
    }
    return STEP_DONE;
}

static bool
reserve(struct work *work, struct err *err)
{
    bool adopt = work->order->kind == ORDER_ADOPT;
    enum step_result result = STEP_AGAIN;

    for (int i = 0; i < ATTEMPTS_MAX && result == STEP_AGAIN; i++) {
        err_clear(err);
        result = adopt ? try_adopt(work, err) : try_reserve(work, err);
    }
    return result == STEP_DONE;
}

static bool
apply_loaded(struct work *work, struct err *err)
{
    return reserve_loaded(&work->engine, work->order->want.leaf, &work->sender,
                          work->order->checks_fence, &work->next_engine, err);
}

static bool
apply_refused(struct work *work, struct err *err)
{
    return reserve_refused(&work->engine, work->order->want.leaf,
                           &work->sender, &work->next_engine, err);
}

static bool
apply_doubt(struct work *work, struct err *err)
{
    return reserve_doubt(&work->engine, work->order->want.leaf, &work->sender,
                         &work->next_engine, err);
}

static bool
item_gone(const struct work *work)
{
    return item_find(&work->engine, work->order->want.leaf) == NULL;
}

static bool
definite(enum err_kind kind)
{
    return kind == ERR_FENCE_OLD || kind == ERR_LOAD_FAILED ||
           kind == ERR_CONFIG_STALE;
}

/* Writes down how the load has ended. The order's error is kept. */
static void
conclude_load(struct work *work)
{
    struct orders_port *port = work->orders->port;
    enum err_kind kind = work->order->err.kind;
    struct err err = {0};

    if (kind == ERR_NONE) {
        counter_add(CTR_LOADS, 1);
        port->ops->loaded(port, work->order);
        change_engine(work, apply_loaded, &err);
    }
    else if (definite(kind)) {
        change_engine(work, apply_refused, &err);
        if (err.kind == ERR_NONE && item_gone(work)) {
            give_back_slot(work);
        }
    }
    else {
        counter_add(CTR_LOADS_DOUBT, 1);
        change_engine(work, apply_doubt, &err);
    }
}

static void
execute_load(struct work *work)
{
    struct order *order = work->order;
    struct engine_api *api = work->orders->api;
    const struct item *item;

    if (!fresh(work, &order->err) || !reserve(work, &order->err)) {
        return;
    }
    if (order->kind == ORDER_ADOPT) {
        counter_add(CTR_LOADS_ADOPTED, 1);
    }
    item = item_find(&work->engine, order->want.leaf);
    err_clear(&order->err);
    if (fresh(work, &order->err)) {
        api->ops->load(api, order->report.address, order->path, item->mb,
                       work->sender.fence, &order->err);
    }
    conclude_load(work);
}

static bool
apply_unload(struct work *work, struct err *err)
{
    const struct order *order = work->order;
    uint64_t leaf = order->want.leaf;

    reserve_restart(&work->engine, order->report.incarnation,
                    order->report.memory_mb, &work->next_engine);
    if (item_find(&work->next_engine, leaf) == NULL) {
        return reserve_pass(&work->next_engine, leaf, &work->next_engine, err);
    }
    if (order->stray) {
        return err_set(err, ERR_KV_CONFLICT, "%s has been reserved since",
                       order->path);
    }
    if (!reserve_settle(&work->next_engine, leaf, order->settled,
                        order->settled_count, &work->next_engine, err)) {
        return false;
    }
    if (order->gone) {
        return reserve_release(&work->next_engine, leaf, &work->next_engine,
                               err);
    }
    return reserve_unload(&work->next_engine, leaf, order->checks_fence,
                          &work->next_engine, err);
}

static bool
apply_unloaded(struct work *work, struct err *err)
{
    if (item_gone(work)) {
        work->next_engine = work->engine;
        return true;
    }
    return reserve_unloaded(&work->engine, work->order->want.leaf,
                            work->sender.fence, &work->next_engine, err);
}

static bool
send_unload(struct work *work)
{
    struct order *order = work->order;
    struct engine_api *api = work->orders->api;

    work->sender.fence = work->engine.fence;
    return fresh(work, &order->err) &&
           api->ops->unload(api, order->report.address, order->path,
                            work->sender.fence, &order->err);
}

static void
execute_unload(struct work *work)
{
    struct order *order = work->order;

    if (!fresh(work, &order->err) || !read_replica(work, &order->err)) {
        return;
    }
    remember_slot(work);
    if (!change_engine(work, apply_unload, &order->err)) {
        return;
    }
    if (order->stray || !item_gone(work)) {
        if (!send_unload(work)) {
            return;
        }
        counter_add(CTR_UNLOADS, 1);
        if (!change_engine(work, apply_unloaded, &order->err)) {
            return;
        }
    }
    if (item_gone(work)) {
        give_back_slot(work);
    }
}

static bool
apply_clear(struct work *work, struct err *err)
{
    const struct order *order = work->order;

    reserve_restart(&work->engine, order->report.incarnation,
                    order->report.memory_mb, &work->next_engine);
    if (item_find(&work->next_engine, order->want.leaf) != NULL) {
        return true;
    }
    return reserve_pass(&work->next_engine, order->want.leaf,
                        &work->next_engine, err);
}

static void
execute_clear(struct work *work)
{
    struct order *order = work->order;

    if (!fresh(work, &order->err) || !read_replica(work, &order->err)) {
        return;
    }
    remember_slot(work);
    if (work->has_slot && change_engine(work, apply_clear, &order->err) &&
        item_gone(work)) {
        give_back_slot(work);
    }
}

static bool
read_view(struct work *work, int index, struct err *err)
{
    struct slot_view *view = &work->order->views[index];
    const struct item *item;

    view->slot = work->replica.slots[index];
    if (!read_engine(work, view->slot.engine, err)) {
        return false;
    }
    item = item_find(&work->engine, work->order->want.leaf);
    view->incarnation = work->engine.incarnation;
    view->has_item = item != NULL;
    if (item != NULL) {
        view->item = *item;
    }
    if (view->slot.engine == work->order->report.id) {
        work->order->reserved_mb = reserved_mb(&work->engine);
    }
    return true;
}

/* Reads what is true after the order, for the decisions that follow. */
static void
read_views(struct work *work)
{
    struct order *order = work->order;
    struct err err = {0};
    bool ok = read_replica(work, &err);

    if (ok) {
        order->view_count = work->replica.slot_count;
        order->views =
            g_new0(struct slot_view, (gsize)work->replica.slot_count);
    }
    for (int i = 0; ok && i < order->view_count; i++) {
        ok = read_view(work, i, &err);
    }
    order->read = ok;
    if (!ok && order->err.kind == ERR_NONE) {
        order->err = err;
    }
}

static void
sweep_entry(struct order *order, const struct kv_entry *entry)
{
    struct replica_record *record = g_new0(struct replica_record, 1);
    struct swept *swept = &order->swept[order->swept_count];
    const char *id = strrchr(entry->key, '/');
    struct err err = {0};
    bool ok = id != NULL;

    if (ok) {
        swept->leaf = g_ascii_strtoull(id + 1, NULL, 16);
        ok = replica_decode(entry->value, swept->leaf, record, &err) &&
             record->slot_count > 0;
    }
    if (ok) {
        g_strlcpy(swept->path, record->path, PATH_MAX_BYTES);
        order->swept_count++;
    }
    g_free(record);
}

/* Reads one page of replica records, to find those of removed leaves. */
static void
execute_sweep(struct orders *orders, struct order *order)
{
    struct kv_entries entries = {0};

    if (!kv_range(orders->kv, order->from, "/turmeric/replicas0",
                  SWEEP_LEAVES_MAX, &entries, &order->err)) {
        return;
    }
    order->swept = g_new0(struct swept, SWEEP_LEAVES_MAX);
    for (int i = 0; i < entries.count && i < SWEEP_LEAVES_MAX; i++) {
        sweep_entry(order, &entries.items[i]);
    }
    if (entries.more && entries.count > 0) {
        /* The smallest key after the last one read. */
        snprintf(order->from, sizeof(order->from), "%s!",
                 entries.items[entries.count - 1].key);
    }
    else {
        order->from[0] = '\0';
    }
    kv_entries_free(&entries);
}

/**
 * order_execute() - do the blocking steps of an order
 * @orders: where the records and engines are
 * @order: the order; err, views and reserved_mb are filled in
 */
void
order_execute(struct orders *orders, struct order *order)
{
    struct work *work;

    if (order->kind == ORDER_SWEEP) {
        execute_sweep(orders, order);
        return;
    }
    work = g_new0(struct work, 1);
    work->orders = orders;
    work->order = order;
    work->sender = (struct sender){order->want.member, order->want.start, 0};
    order->reserved_mb = -1;
    switch (order->kind) {
    case ORDER_SCAN:
    case ORDER_SWEEP:
        break;
    case ORDER_LOAD:
    case ORDER_ADOPT:
        execute_load(work);
        break;
    case ORDER_UNLOAD:
        execute_unload(work);
        break;
    case ORDER_CLEAR:
        execute_clear(work);
        break;
    }
    if (order->report.id != 0 && work->engine.engine == order->report.id) {
        order->reserved_mb = reserved_mb(&work->engine);
    }
    read_views(work);
    g_free(work);
}

/**
 * order_free() - release an order and its result
 * @order: may be NULL
 */
void
order_free(struct order *order)
{
    if (order != NULL) {
        g_free(order->views);
        g_free(order->swept);
        g_free(order);
    }
}

static bool
worker_run(struct duty *duty, struct err *err)
{
    struct orders *orders = ((struct order_worker *)duty)->orders;
    struct order *order;

    (void)err;
    while (ring_pop(&orders->ring, &order, -1) == RING_OK) {
        if (orders->port->ops->stopping(orders->port)) {
            err_set(&order->err, ERR_STOPPED, "the instance is stopping");
        }
        else {
            order_execute(orders, order);
        }
        orders->port->ops->done(orders->port, order);
    }
    return true;
}

static void
worker_stop(struct duty *duty)
{
    ring_close(&((struct order_worker *)duty)->orders->ring);
}

static const struct duty_ops worker_ops = {worker_run, worker_stop};

/**
 * orders_init() - set up the pool; its supervisor is a duty to be run
 * @orders: the pool
 * @kv: where the records are
 * @api: orders to engines
 * @port: whom to tell
 * @err: filled in on failure
 */
bool
orders_init(struct orders *orders, struct kv *kv, struct engine_api *api,
            struct orders_port *port, struct err *err)
{
    orders->kv = kv;
    orders->api = api;
    orders->port = port;
    if (!ring_init(&orders->ring, ORDERS_MAX, sizeof(struct order *), err)) {
        return false;
    }
    supervisor_init(&orders->supervisor, "orders");
    for (int i = 0; i < ORDER_THREADS; i++) {
        orders->workers[i].duty = (struct duty){&worker_ops, "order"};
        orders->workers[i].orders = orders;
        supervisor_add(&orders->supervisor, &orders->workers[i].duty);
    }
    return true;
}

/**
 * orders_free() - release a pool whose threads have ended
 * @orders: the pool
 */
void
orders_free(struct orders *orders)
{
    struct order *order;

    while (ring_pop(&orders->ring, &order, 0) == RING_OK) {
        order_free(order);
    }
    supervisor_free(&orders->supervisor);
    ring_free(&orders->ring);
}

/**
 * orders_push() - hand an order to the threads
 * @orders: the pool
 * @order: taken and set to NULL when the result is true, as a thread may end
 *         and free it before this returns
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
orders_push(struct orders *orders, struct order **order, struct err *err)
{
    struct order *handed = *order;

    *order = NULL;
    if (ring_push(&orders->ring, &handed, err)) {
        return true;
    }
    *order = handed;
    return false;
}
