/**
 * DOC: Order threads, which run the blocking steps of loads and unloads.
 *
 * A load writes the replica record and the engine record before it is sent,
 * and is sent only when both writes are known to have taken effect. After a
 * write without a response the record is read again and the write repeated,
 * until the record contains this order's sender and fence or another writer
 * has made the write impossible.
 *
 * A slot contains the fence of the reservation that follows it. The
 * reservation is written against the revision of the engine's record that was
 * read before the slot was written. A member that reads the slot and then
 * changes the engine's record may therefore remove the slot: the reservation
 * can no longer be written.
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

/* Conflicts are caused by other leaves on the same engine. After several
   consecutive ones the duty should select an engine again. */
enum { WRITE_ATTEMPTS_MAX = 8 };

/**
 * struct order_context - an order in execution
 * @orders: the pool
 * @order: the order
 * @replica: replica record of the leaf as last read or written
 * @replica_revision: its revision in the key-value store
 * @engine: record of the engine as last read or written
 * @engine_revision: its revision in the key-value store
 * @next_replica: @replica with the changes to be written
 * @next_engine: @engine with the changes to be written
 * @slot: slot of the leaf on the engine, read before the engine's record was
 *        last changed
 * @has_slot: @slot is valid
 * @sender: identifies this order
 */
struct order_context {
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
read_replica(struct order_context *ctx, struct err *err)
{
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    bool ok = true;

    record_key(key, sizeof(key), "replicas", ctx->order->reservation.leaf);
    if (!kv_get(ctx->orders->kv, key, &entry, err)) {
        return false;
    }
    ctx->replica_revision = entry.revision;
    if (entry.revision == 0) {
        memset(&ctx->replica, 0, sizeof(ctx->replica));
        ctx->replica.leaf = ctx->order->reservation.leaf;
        g_strlcpy(ctx->replica.path, ctx->order->path, PATH_MAX_BYTES);
    }
    else {
        ok = replica_decode(entry.value, ctx->order->reservation.leaf,
                            &ctx->replica, err);
    }
    kv_entry_free(&entry);
    return ok;
}

static bool
read_engine(struct order_context *ctx, uint64_t engine, struct err *err)
{
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    bool ok = true;

    record_key(key, sizeof(key), "engines", engine);
    if (!kv_get(ctx->orders->kv, key, &entry, err)) {
        return false;
    }
    ctx->engine_revision = entry.revision;
    if (entry.revision == 0) {
        memset(&ctx->engine, 0, sizeof(ctx->engine));
        ctx->engine.engine = engine;
    }
    else {
        ok = engine_decode(entry.value, engine, &ctx->engine, err);
    }
    kv_entry_free(&entry);
    return ok;
}

static bool
count_if_retryable(const struct err *err)
{
    bool conflict = err->kind == ERR_KV_CONFLICT;

    if (!conflict && err->kind != ERR_KV_DOWN) {
        return false;
    }
    counter_add(conflict ? CTR_RETRY_KV_CONFLICT : CTR_RETRY_KV_DOWN, 1);
    return true;
}

static bool
write_replica(struct order_context *ctx, struct err *err)
{
    char *text = replica_encode(&ctx->next_replica);
    char key[KV_KEY_MAX_BYTES];
    int64_t revision = 0;
    bool ok;

    record_key(key, sizeof(key), "replicas", ctx->order->reservation.leaf);
    ok = kv_cas(ctx->orders->kv, key, ctx->replica_revision, text,
                strlen(text), &revision, err);
    if (ok) {
        ctx->replica = ctx->next_replica;
        ctx->replica_revision = revision;
    }
    g_free(text);
    return ok;
}

/* Skips the write if the record already has the new content. */
static bool
write_engine(struct order_context *ctx, struct err *err)
{
    char *old = engine_encode(&ctx->engine);
    char *text = engine_encode(&ctx->next_engine);
    char key[KV_KEY_MAX_BYTES];
    int64_t revision = ctx->engine_revision;
    bool ok = true;

    record_key(key, sizeof(key), "engines", ctx->engine.engine);
    if (strcmp(old, text) != 0) {
        ok = kv_cas(ctx->orders->kv, key, ctx->engine_revision, text,
                    strlen(text), &revision, err);
    }
    if (ok) {
        ctx->engine = ctx->next_engine;
        ctx->engine_revision = revision;
    }
    g_free(old);
    g_free(text);
    return ok;
}

typedef bool (*transition)(struct order_context *ctx, struct err *err);

/*
 * Reads the engine's record, applies a transition and writes it, with retries.
 * After a write of its own without a response the transition is applied to the
 * record as that write left it.
 */
static bool
change_engine(struct order_context *ctx, transition apply, struct err *err)
{
    for (int i = 0; i < WRITE_ATTEMPTS_MAX; i++) {
        err_clear(err);
        if (!read_engine(ctx, ctx->order->report.id, err)) {
            if (!count_if_retryable(err)) {
                return false;
            }
            continue;
        }
        if (!apply(ctx, err)) {
            return false;
        }
        if (write_engine(ctx, err)) {
            return true;
        }
        if (!count_if_retryable(err)) {
            return false;
        }
    }
    return false;
}

/* Removes the slot unless another member has written it since it was read. */
static void
give_back_slot(struct order_context *ctx)
{
    struct err err = {0};

    for (int i = 0; i < WRITE_ATTEMPTS_MAX && ctx->has_slot; i++) {
        err_clear(&err);
        if (!read_replica(ctx, &err)) {
            if (!count_if_retryable(&err)) {
                return;
            }
            continue;
        }
        if (!slot_remove(&ctx->replica, &ctx->slot, &ctx->next_replica,
                         &err) ||
            write_replica(ctx, &err) || !count_if_retryable(&err)) {
            return;
        }
    }
}

static void
find_slot(struct order_context *ctx)
{
    const struct replica_slot *slot =
        slot_find(&ctx->replica, ctx->order->report.id);

    ctx->has_slot = slot != NULL;
    if (slot != NULL) {
        ctx->slot = *slot;
    }
}

static bool
check_config_fresh(const struct order_context *ctx, struct err *err)
{
    struct orders_port *port = ctx->orders->port;

    return port->ops->config_fresh(port) ||
           err_set(err, ERR_CONFIG_STALE,
                   "the configuration of this instance is not confirmed");
}

static bool
same_slot(const struct replica_slot *a, const struct replica_slot *b)
{
    return a->engine == b->engine && a->sender.member == b->sender.member &&
           a->sender.started_ms == b->sender.started_ms &&
           a->sender.fence == b->sender.fence;
}

/* Writes the slot that announces the reservation in ctx->next_engine. */
static bool
take_slot(struct order_context *ctx, struct err *err)
{
    const struct order *order = ctx->order;
    struct replica_slot slot = {order->report.id, ctx->sender};
    const struct replica_slot *found = slot_find(&ctx->replica, slot.engine);

    ctx->slot = slot;
    ctx->has_slot = true;
    if (found != NULL && same_slot(found, &slot)) {
        return true;
    }
    return slot_add(&ctx->replica, slot.engine, &slot.sender, order->limit,
                    order->revision, &ctx->next_replica, err) &&
           write_replica(ctx, err);
}

enum attempt { TRY_DONE, TRY_AGAIN, TRY_FAILED };

static enum attempt
retry_or_fail(const struct err *err)
{
    return count_if_retryable(err) ? TRY_AGAIN : TRY_FAILED;
}

/* Reads the engine's record before it writes the slot; see the DOC above. */
static enum attempt
try_reserve(struct order_context *ctx, struct err *err)
{
    const struct order *order = ctx->order;
    const struct item *item;

    if (!read_engine(ctx, order->report.id, err) || !read_replica(ctx, err)) {
        return retry_or_fail(err);
    }
    item = item_find(&ctx->engine, order->reservation.leaf);
    if (item != NULL && item_has_sender(item, &ctx->sender)) {
        return TRY_DONE;
    }
    if (!reserve_add(&ctx->engine, &order->reservation, &order->report,
                     &ctx->next_engine, err)) {
        return TRY_FAILED;
    }
    ctx->sender.fence = ctx->next_engine.fence;
    if (!take_slot(ctx, err) || !write_engine(ctx, err)) {
        return retry_or_fail(err);
    }
    return TRY_DONE;
}

static enum attempt
try_adopt(struct order_context *ctx, struct err *err)
{
    const struct order *order = ctx->order;
    const struct item *item;

    if (!read_replica(ctx, err) || !read_engine(ctx, order->report.id, err)) {
        return retry_or_fail(err);
    }
    find_slot(ctx);
    item = item_find(&ctx->engine, order->reservation.leaf);
    if (item != NULL && item_has_sender(item, &ctx->sender)) {
        return TRY_DONE;
    }
    reserve_update_engine(&ctx->engine, order->report.incarnation,
                          order->report.memory_mb, &ctx->next_engine);
    if (!ctx->has_slot) {
        err_set(err, ERR_REPLICAS_FULL, "%s: the replica slot was removed",
                order->path);
        return TRY_FAILED;
    }
    if (!reserve_settle(&ctx->next_engine, order->reservation.leaf,
                        order->settled, order->settled_count,
                        &ctx->next_engine, err) ||
        !reserve_adopt(&ctx->next_engine, &order->reservation,
                       &ctx->next_engine, err)) {
        return TRY_FAILED;
    }
    ctx->sender.fence = ctx->next_engine.fence;
    if (!write_engine(ctx, err)) {
        return retry_or_fail(err);
    }
    return TRY_DONE;
}

static bool
reserve(struct order_context *ctx, struct err *err)
{
    bool is_adopt = ctx->order->kind == ORDER_ADOPT;
    enum attempt result = TRY_AGAIN;

    for (int i = 0; i < WRITE_ATTEMPTS_MAX && result == TRY_AGAIN; i++) {
        err_clear(err);
        result = is_adopt ? try_adopt(ctx, err) : try_reserve(ctx, err);
    }
    return result == TRY_DONE;
}

static bool
apply_loaded(struct order_context *ctx, struct err *err)
{
    return reserve_loaded(&ctx->engine, ctx->order->reservation.leaf,
                          &ctx->sender, ctx->order->checks_fence,
                          &ctx->next_engine, err);
}

static bool
apply_refused(struct order_context *ctx, struct err *err)
{
    return reserve_refused(&ctx->engine, ctx->order->reservation.leaf,
                           &ctx->sender, &ctx->next_engine, err);
}

static bool
apply_in_doubt(struct order_context *ctx, struct err *err)
{
    return reserve_in_doubt(&ctx->engine, ctx->order->reservation.leaf,
                            &ctx->sender, &ctx->next_engine, err);
}

static bool
item_released(const struct order_context *ctx)
{
    return item_find(&ctx->engine, ctx->order->reservation.leaf) == NULL;
}

static bool
is_refusal(enum err_kind kind)
{
    return kind == ERR_FENCE_OLD || kind == ERR_LOAD_FAILED ||
           kind == ERR_CONFIG_STALE;
}

/* Records the result of the load. The order's error is not changed. */
static void
record_load_result(struct order_context *ctx)
{
    struct orders_port *port = ctx->orders->port;
    enum err_kind kind = ctx->order->err.kind;
    struct err err = {0};

    if (kind == ERR_NONE) {
        counter_add(CTR_LOADS, 1);
        port->ops->loaded(port, ctx->order);
        change_engine(ctx, apply_loaded, &err);
    }
    else if (is_refusal(kind)) {
        change_engine(ctx, apply_refused, &err);
        if (err.kind == ERR_NONE && item_released(ctx)) {
            give_back_slot(ctx);
        }
    }
    else {
        counter_add(CTR_LOADS_IN_DOUBT, 1);
        change_engine(ctx, apply_in_doubt, &err);
    }
}

static void
execute_load(struct order_context *ctx)
{
    struct order *order = ctx->order;
    struct engine_api *api = ctx->orders->api;
    const struct item *item;

    if (!check_config_fresh(ctx, &order->err) || !reserve(ctx, &order->err)) {
        return;
    }
    if (order->kind == ORDER_ADOPT) {
        counter_add(CTR_LOADS_ADOPTED, 1);
    }
    item = item_find(&ctx->engine, order->reservation.leaf);
    err_clear(&order->err);
    if (check_config_fresh(ctx, &order->err)) {
        api->ops->load(api, order->report.address, order->path, item->mb,
                       ctx->sender.fence, &order->err);
    }
    record_load_result(ctx);
}

static bool
apply_unload(struct order_context *ctx, struct err *err)
{
    const struct order *order = ctx->order;
    uint64_t leaf = order->reservation.leaf;

    reserve_update_engine(&ctx->engine, order->report.incarnation,
                          order->report.memory_mb, &ctx->next_engine);
    if (item_find(&ctx->next_engine, leaf) == NULL) {
        return reserve_block_announced(&ctx->next_engine, leaf,
                                       &ctx->next_engine, err);
    }
    if (order->stray) {
        return err_set(err, ERR_KV_CONFLICT,
                       "%s has been reserved in the meantime", order->path);
    }
    if (!reserve_settle(&ctx->next_engine, leaf, order->settled,
                        order->settled_count, &ctx->next_engine, err)) {
        return false;
    }
    if (order->engine_gone) {
        return reserve_release(&ctx->next_engine, leaf, &ctx->next_engine,
                               err);
    }
    return reserve_unload(&ctx->next_engine, leaf, order->checks_fence,
                          &ctx->next_engine, err);
}

static bool
apply_unloaded(struct order_context *ctx, struct err *err)
{
    if (item_released(ctx)) {
        ctx->next_engine = ctx->engine;
        return true;
    }
    return reserve_unloaded(&ctx->engine, ctx->order->reservation.leaf,
                            ctx->sender.fence, &ctx->next_engine, err);
}

static bool
send_unload(struct order_context *ctx)
{
    struct order *order = ctx->order;
    struct engine_api *api = ctx->orders->api;

    ctx->sender.fence = ctx->engine.fence;
    return check_config_fresh(ctx, &order->err) &&
           api->ops->unload(api, order->report.address, order->path,
                            ctx->sender.fence, &order->err);
}

static void
execute_unload(struct order_context *ctx)
{
    struct order *order = ctx->order;

    if (!check_config_fresh(ctx, &order->err) ||
        !read_replica(ctx, &order->err)) {
        return;
    }
    find_slot(ctx);
    if (!change_engine(ctx, apply_unload, &order->err)) {
        return;
    }
    if (order->stray || !item_released(ctx)) {
        if (!send_unload(ctx)) {
            return;
        }
        counter_add(CTR_UNLOADS, 1);
        if (!change_engine(ctx, apply_unloaded, &order->err)) {
            return;
        }
    }
    if (item_released(ctx)) {
        give_back_slot(ctx);
    }
}

static bool
apply_clear(struct order_context *ctx, struct err *err)
{
    const struct order *order = ctx->order;

    reserve_update_engine(&ctx->engine, order->report.incarnation,
                          order->report.memory_mb, &ctx->next_engine);
    if (item_find(&ctx->next_engine, order->reservation.leaf) != NULL) {
        return true;
    }
    return reserve_block_announced(&ctx->next_engine, order->reservation.leaf,
                                   &ctx->next_engine, err);
}

static void
execute_clear(struct order_context *ctx)
{
    struct order *order = ctx->order;

    if (!check_config_fresh(ctx, &order->err) ||
        !read_replica(ctx, &order->err)) {
        return;
    }
    find_slot(ctx);
    if (ctx->has_slot && change_engine(ctx, apply_clear, &order->err) &&
        item_released(ctx)) {
        give_back_slot(ctx);
    }
}

static bool
read_view(struct order_context *ctx, int index, struct err *err)
{
    struct slot_view *view = &ctx->order->views[index];
    const struct item *item;

    view->slot = ctx->replica.slots[index];
    if (!read_engine(ctx, view->slot.engine, err)) {
        return false;
    }
    item = item_find(&ctx->engine, ctx->order->reservation.leaf);
    view->incarnation = ctx->engine.incarnation;
    view->has_item = item != NULL;
    if (item != NULL) {
        view->item = *item;
    }
    if (view->slot.engine == ctx->order->report.id) {
        ctx->order->reserved_mb = reserved_mb(&ctx->engine);
    }
    return true;
}

/* Reads the records after the order, for the next decision. */
static void
read_views(struct order_context *ctx)
{
    struct order *order = ctx->order;
    struct err err = {0};
    bool ok = read_replica(ctx, &err);

    if (ok) {
        order->view_count = ctx->replica.slot_count;
        order->views =
            g_new0(struct slot_view, (gsize)ctx->replica.slot_count);
    }
    for (int i = 0; ok && i < order->view_count; i++) {
        ok = read_view(ctx, i, &err);
    }
    order->views_valid = ok;
    if (!ok && order->err.kind == ERR_NONE) {
        order->err = err;
    }
}

static void
add_swept_leaf(struct order *order, const struct kv_entry *entry)
{
    struct replica_record *record = g_new0(struct replica_record, 1);
    struct swept_leaf *swept = &order->swept_leaves[order->swept_leaf_count];
    const char *id = strrchr(entry->key, '/');
    struct err err = {0};
    bool ok = id != NULL;

    if (ok) {
        swept->id = g_ascii_strtoull(id + 1, NULL, 16);
        ok = replica_decode(entry->value, swept->id, record, &err) &&
             record->slot_count > 0;
    }
    if (ok) {
        g_strlcpy(swept->path, record->path, PATH_MAX_BYTES);
        order->swept_leaf_count++;
    }
    g_free(record);
}

/* Reads one page of replica records to find leaves removed from the tree. */
static void
execute_sweep(struct orders *orders, struct order *order)
{
    struct kv_entries entries = {0};

    if (!kv_range(orders->kv, order->sweep_key, "/turmeric/replicas0",
                  SWEEP_LEAVES_MAX, &entries, &order->err)) {
        return;
    }
    order->swept_leaves = g_new0(struct swept_leaf, SWEEP_LEAVES_MAX);
    for (int i = 0; i < entries.count && i < SWEEP_LEAVES_MAX; i++) {
        add_swept_leaf(order, &entries.items[i]);
    }
    if (entries.more && entries.count > 0) {
        /* Sorts after the last key read and before all later ones. */
        snprintf(order->sweep_key, sizeof(order->sweep_key), "%s!",
                 entries.items[entries.count - 1].key);
    }
    else {
        order->sweep_key[0] = '\0';
    }
    kv_entries_free(&entries);
}

/**
 * order_execute() - run the blocking steps of an order
 * @orders: the pool, with the key-value store and the engine API
 * @order: the order; the result fields are filled in
 */
void
order_execute(struct orders *orders, struct order *order)
{
    struct order_context *ctx;

    if (order->kind == ORDER_SWEEP) {
        execute_sweep(orders, order);
        return;
    }
    ctx = g_new0(struct order_context, 1);
    ctx->orders = orders;
    ctx->order = order;
    ctx->sender = (struct sender){order->reservation.member,
                                  order->reservation.started_ms, 0};
    order->reserved_mb = -1;
    switch (order->kind) {
    case ORDER_SCAN:
    case ORDER_SWEEP:
        break;
    case ORDER_LOAD:
    case ORDER_ADOPT:
        execute_load(ctx);
        break;
    case ORDER_UNLOAD:
        execute_unload(ctx);
        break;
    case ORDER_CLEAR:
        execute_clear(ctx);
        break;
    }
    if (order->report.id != 0 && ctx->engine.engine == order->report.id) {
        order->reserved_mb = reserved_mb(&ctx->engine);
    }
    read_views(ctx);
    g_free(ctx);
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
        g_free(order->swept_leaves);
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
 * orders_init() - initialise the pool; its supervisor is a duty to be run
 * @orders: the pool
 * @kv: key-value store that holds the records
 * @api: sends orders to engines
 * @port: callbacks
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
 * orders_submit() - queue an order for the threads
 * @orders: the pool
 * @order: on success taken over and set to NULL, as a thread may execute and
 *         release it before this function returns
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
orders_submit(struct orders *orders, struct order **order, struct err *err)
{
    struct order *submitted = *order;

    *order = NULL;
    if (ring_push(&orders->ring, &submitted, err)) {
        return true;
    }
    *order = submitted;
    return false;
}
