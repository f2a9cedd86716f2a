/**
 * DOC: State transitions of the replica record and the engine record.
 *
 * Safety depends on these functions alone, because every write is a
 * compare-and-swap of their result.
 *
 * An item is released only when no order to load it can still take effect.
 * An engine that checks fences rejects earlier orders once it has
 * acknowledged an unload with a higher fence. On an engine that ignores
 * fences, the unload must be recorded after the calls of all senders have
 * ended. A load whose call ended without a response may still be queued in
 * the engine. The engine takes requests in the order of their connections, so
 * only the acknowledgement of an unload sent later proves that no load is
 * left.
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
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

static bool
same_sender(const struct sender *a, const struct sender *b)
{
    return a->member == b->member && a->started_ms == b->started_ms &&
           a->fence == b->fence;
}

/**
 * slot_find() - find the slot of a leaf on an engine
 * @record: replica record
 * @engine: id of the engine
 *
 * Return: the slot or NULL.
 */
const struct replica_slot *
slot_find(const struct replica_record *record, uint64_t engine)
{
    for (int i = 0; i < record->slot_count; i++) {
        if (record->slots[i].engine == engine) {
            return &record->slots[i];
        }
    }
    return NULL;
}

/**
 * slot_add() - add a slot, or announce a new reservation in an existing one
 * @old: replica record
 * @engine: engine that gets the replica
 * @sender: writer, with the fence of the reservation that follows
 * @limit: replicas_max
 * @revision: configuration revision of the writer
 * @next: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_CONFIG_STALE when the configuration of the writer is
 * older than that of the record, ERR_REPLICAS_FULL at the limit,
 * ERR_TABLE_FULL when the record is full.
 */
bool
slot_add(const struct replica_record *old, uint64_t engine,
         const struct sender *sender, int64_t limit, int64_t revision,
         struct replica_record *next, struct err *err)
{
    struct replica_slot *slot;
    bool present = slot_find(old, engine) != NULL;

    if (revision < old->revision) {
        return err_set(
            err, ERR_CONFIG_STALE,
            "%s: record was written at configuration revision %lld, "
            "this member has %lld",
            old->path, (long long)old->revision, (long long)revision);
    }
    if (old->slot_count + (present ? 0 : 1) > limit) {
        return err_set(err, ERR_REPLICAS_FULL, "%s: %d of %lld replicas",
                       old->path, old->slot_count, (long long)limit);
    }
    if (!present && old->slot_count == REPLICA_SLOTS_MAX) {
        return err_set(err, ERR_TABLE_FULL, "%s: replica record is full",
                       old->path);
    }
    if (next != old) {
        *next = *old;
    }
    next->revision = revision;
    slot = (struct replica_slot *)slot_find(next, engine);
    if (slot == NULL) {
        slot = &next->slots[next->slot_count++];
    }
    slot->engine = engine;
    slot->sender = *sender;
    return true;
}

/**
 * slot_remove() - remove a slot
 * @old: replica record
 * @slot: the slot as it was read
 * @next: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_KV_CONFLICT when the slot has changed since.
 */
bool
slot_remove(const struct replica_record *old, const struct replica_slot *slot,
            struct replica_record *next, struct err *err)
{
    const struct replica_slot *found = slot_find(old, slot->engine);
    int index;

    if (found == NULL || !same_sender(&found->sender, &slot->sender)) {
        return err_set(err, ERR_KV_CONFLICT, "%s: replica slot has changed",
                       old->path);
    }
    index = (int)(found - old->slots);
    if (next != old) {
        *next = *old;
    }
    next->slots[index] = next->slots[--next->slot_count];
    return true;
}

/**
 * item_find() - find the item of a leaf in an engine's record
 * @record: engine's record
 * @leaf: id of the leaf
 *
 * Return: the item or NULL.
 */
const struct item *
item_find(const struct engine_record *record, uint64_t leaf)
{
    for (int i = 0; i < record->item_count; i++) {
        if (record->items[i].leaf == leaf) {
            return &record->items[i];
        }
    }
    return NULL;
}

/**
 * item_has_sender() - whether an order of this sender may be in flight
 * @item: the item
 * @sender: member, start time and fence
 */
bool
item_has_sender(const struct item *item, const struct sender *sender)
{
    for (int i = 0; i < item->sender_count; i++) {
        if (same_sender(&item->senders[i], sender)) {
            return true;
        }
    }
    return false;
}

/**
 * reserved_mb() - total memory reserved in an engine's record, in MB
 * @record: engine's record
 */
int64_t
reserved_mb(const struct engine_record *record)
{
    int64_t sum = record->foreign_mb;

    for (int i = 0; i < record->item_count; i++) {
        sum += record->items[i].mb;
    }
    return sum;
}

static struct item *
item_find_mutable(struct engine_record *record, uint64_t leaf)
{
    return (struct item *)item_find(record, leaf);
}

/* Copies the record and returns the item in the copy. */
static struct item *
copy_with_item(const struct engine_record *old, uint64_t leaf,
               struct engine_record *next, struct err *err)
{
    if (item_find(old, leaf) == NULL) {
        err_set(err, ERR_KV_CONFLICT,
                "the engine has no reservation for the leaf");
        return NULL;
    }
    if (next != old) {
        *next = *old;
    }
    return item_find_mutable(next, leaf);
}

static void
drop_item(struct engine_record *record, struct item *item)
{
    *item = record->items[--record->item_count];
}

static void
drop_sender(struct item *item, const struct sender *sender)
{
    for (int i = 0; i < item->sender_count; i++) {
        if (same_sender(&item->senders[i], sender)) {
            item->senders[i] = item->senders[--item->sender_count];
            return;
        }
    }
}

/* An engine that checks fences rejects all orders with a lower fence. */
static void
drop_senders_below(struct item *item, uint64_t fence)
{
    int kept = 0;

    for (int i = 0; i < item->sender_count; i++) {
        if (item->senders[i].fence >= fence) {
            item->senders[kept++] = item->senders[i];
        }
    }
    item->sender_count = kept;
}

/**
 * reserve_update_engine() - record the engine's incarnation and memory
 * @old: engine's record
 * @incarnation: incarnation from a report
 * @memory_mb: memory in MB from the same report
 * @next: filled in
 *
 * A restarted engine has nothing loaded, but orders in flight may still reach
 * it, so items with senders stay, in doubt. A report older than the record
 * changes nothing.
 *
 * Return: whether the record has changed.
 */
bool
reserve_update_engine(const struct engine_record *old, uint64_t incarnation,
                      int64_t memory_mb, struct engine_record *next)
{
    if (next != old) {
        *next = *old;
    }
    if (incarnation == old->incarnation && memory_mb != old->memory_mb) {
        next->memory_mb = memory_mb;
        return true;
    }
    if (incarnation <= old->incarnation) {
        return false;
    }
    next->incarnation = incarnation;
    next->memory_mb = memory_mb;
    next->foreign_mb = 0;
    for (int i = next->item_count - 1; i >= 0; i--) {
        next->items[i].state = ITEM_IN_DOUBT;
        if (next->items[i].sender_count == 0) {
            drop_item(next, &next->items[i]);
        }
    }
    return true;
}

/*
 * Memory in use that no item accounts for. used_mb may or may not include an
 * item that is being loaded or unloaded, so as long as there is one the last
 * known value is kept, unless the excess over all items is larger.
 */
static int64_t
unexplained_mb(const struct engine_record *record,
               const struct target_report *report)
{
    int64_t listed = 0;
    int64_t all = 0;
    bool changing = false;
    int64_t excess;

    for (int i = 0; i < record->item_count; i++) {
        const struct item *item = &record->items[i];

        all += item->mb;
        changing |= item->state != ITEM_LOADED;
        if (report_has(report->loaded, report->loaded_count, item->leaf)) {
            listed += item->mb;
        }
    }
    if (!changing) {
        excess = (int64_t)report->used_mb - listed;
        return excess > 0 ? excess : 0;
    }
    excess = (int64_t)report->used_mb - all;
    return excess > record->foreign_mb ? excess : record->foreign_mb;
}

static bool
base_model_loaded(const struct engine_record *record, uint64_t base_model_id)
{
    const struct item *item = item_find(record, base_model_id);

    return base_model_id == 0 || (item != NULL && item->state == ITEM_LOADED);
}

static bool
check_add(const struct engine_record *record,
          const struct reservation_request *request,
          const struct target_report *report, struct err *err)
{
    if (item_find(record, request->leaf) != NULL) {
        return err_set(err, ERR_KV_CONFLICT, "%s is already reserved on %s",
                       request->path, report->name);
    }
    if (report->incarnation < record->incarnation) {
        return err_set(err, ERR_NO_TARGET,
                       "report of %s is older than its record", report->name);
    }
    if (!base_model_loaded(record, request->base_model_id)) {
        return err_set(err, ERR_NO_TARGET, "base model of %s is not on %s",
                       request->path, report->name);
    }
    if (record->item_count == ENGINE_ITEMS_MAX) {
        return err_set(err, ERR_MEMORY_FULL, "engine record of %s is full",
                       report->name);
    }
    return true;
}

static void
fill_item(struct item *item, const struct reservation_request *request,
          uint64_t fence)
{
    memset(item, 0, sizeof(*item));
    item->leaf = request->leaf;
    strncpy(item->path, request->path, PATH_MAX_BYTES - 1);
    item->mb = request->mb;
    item->state = ITEM_LOADING;
    item->fence = fence;
    item->senders[item->sender_count++] =
        (struct sender){request->member, request->started_ms, fence};
}

/**
 * reserve_add() - reserve memory for a leaf that has no item on the engine
 * @old: engine's record
 * @request: leaf, memory and writer
 * @report: the engine's report
 * @next: filled in; next->fence is the fence of the order
 * @err: filled in on failure
 *
 * Return: false with ERR_MEMORY_FULL when the memory or the record is full,
 * ERR_KV_CONFLICT when the leaf already has an item, ERR_NO_TARGET when the
 * model of an adapter is not loaded or the report is older than the record.
 */
bool
reserve_add(const struct engine_record *old,
            const struct reservation_request *request,
            const struct target_report *report, struct engine_record *next,
            struct err *err)
{
    int64_t sum;

    reserve_update_engine(old, report->incarnation, report->memory_mb, next);
    if (!check_add(next, request, report, err)) {
        return false;
    }
    next->foreign_mb = unexplained_mb(next, report);
    sum = reserved_mb(next);
    if (sum + request->mb > next->memory_mb) {
        return err_set(err, ERR_MEMORY_FULL,
                       "%s: %lld of %lld MB reserved, %s needs %lld",
                       report->name, (long long)sum,
                       (long long)next->memory_mb, request->path,
                       (long long)request->mb);
    }
    next->fence++;
    fill_item(&next->items[next->item_count++], request, next->fence);
    return true;
}

/**
 * reserve_adopt() - record another order to load an existing item
 * @old: engine's record
 * @request: leaf and writer; the item keeps its memory
 * @next: filled in; next->fence is the fence of the order
 * @err: filled in on failure
 *
 * Earlier senders remain, as their orders may still be in flight.
 *
 * Return: false with ERR_KV_CONFLICT without an item, ERR_TABLE_FULL when too
 * many orders may be in flight.
 */
bool
reserve_adopt(const struct engine_record *old,
              const struct reservation_request *request,
              struct engine_record *next, struct err *err)
{
    struct item *item = copy_with_item(old, request->leaf, next, err);

    if (item == NULL) {
        return false;
    }
    if (item->sender_count == ITEM_SENDERS_MAX) {
        return err_set(err, ERR_TABLE_FULL, "%s: too many orders in flight",
                       item->path);
    }
    next->fence++;
    item->fence = next->fence;
    item->state = ITEM_LOADING;
    item->adopted = true;
    item->senders[item->sender_count++] =
        (struct sender){request->member, request->started_ms, next->fence};
    return true;
}

/**
 * reserve_loaded() - record that the engine has confirmed a load
 * @old: engine's record
 * @leaf: id of the leaf
 * @sender: the confirmed order
 * @checks_fence: the engine rejects outdated fences
 * @next: filled in
 * @err: filled in on failure
 *
 * If a newer order was recorded, only the sender is removed.
 *
 * Return: false with ERR_KV_CONFLICT without an item.
 */
bool
reserve_loaded(const struct engine_record *old, uint64_t leaf,
               const struct sender *sender, bool checks_fence,
               struct engine_record *next, struct err *err)
{
    struct item *item = copy_with_item(old, leaf, next, err);

    if (item == NULL) {
        return false;
    }
    drop_sender(item, sender);
    if (checks_fence) {
        drop_senders_below(item, sender->fence);
    }
    if (item->state == ITEM_LOADING && item->fence == sender->fence) {
        item->state = ITEM_LOADED;
    }
    return true;
}

/**
 * reserve_refused() - record that the engine has definitely refused a load
 * @old: engine's record
 * @leaf: id of the leaf
 * @sender: the refused order
 * @next: filled in; without the item when this was its only order
 * @err: filled in on failure
 *
 * An item with earlier orders becomes in doubt, because one of them may have
 * taken effect.
 *
 * Return: false with ERR_KV_CONFLICT without an item.
 */
bool
reserve_refused(const struct engine_record *old, uint64_t leaf,
                const struct sender *sender, struct engine_record *next,
                struct err *err)
{
    struct item *item = copy_with_item(old, leaf, next, err);

    if (item == NULL) {
        return false;
    }
    drop_sender(item, sender);
    if (item->fence != sender->fence) {
        return true;
    }
    if (!item->adopted && item->sender_count == 0) {
        drop_item(next, item);
        return true;
    }
    item->state = ITEM_IN_DOUBT;
    return true;
}

/**
 * reserve_in_doubt() - record that a load ended with an unknown result
 * @old: engine's record
 * @leaf: id of the leaf
 * @sender: the order; it stays in the item
 * @next: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_KV_CONFLICT without an item.
 */
bool
reserve_in_doubt(const struct engine_record *old, uint64_t leaf,
                 const struct sender *sender, struct engine_record *next,
                 struct err *err)
{
    struct item *item = copy_with_item(old, leaf, next, err);

    if (item == NULL) {
        return false;
    }
    if (item->fence == sender->fence) {
        item->state = ITEM_IN_DOUBT;
    }
    return true;
}

/**
 * reserve_settle() - remove senders that have no order in flight
 * @old: engine's record
 * @leaf: id of the leaf
 * @settled: senders; each covers its orders up to its fence
 * @settled_count: number of @settled
 * @next: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_KV_CONFLICT without an item.
 */
bool
reserve_settle(const struct engine_record *old, uint64_t leaf,
               const struct sender *settled, int settled_count,
               struct engine_record *next, struct err *err)
{
    struct item *item = copy_with_item(old, leaf, next, err);

    if (item == NULL) {
        return false;
    }
    for (int s = 0; s < settled_count; s++) {
        for (int i = item->sender_count - 1; i >= 0; i--) {
            const struct sender *sender = &item->senders[i];

            if (sender->member == settled[s].member &&
                sender->started_ms == settled[s].started_ms &&
                sender->fence <= settled[s].fence) {
                item->senders[i] = item->senders[--item->sender_count];
            }
        }
    }
    return true;
}

static bool
has_adapters(const struct engine_record *record, const struct item *base)
{
    size_t length = strlen(base->path);

    for (int i = 0; i < record->item_count; i++) {
        if (strncmp(record->items[i].path, base->path, length) == 0 &&
            record->items[i].path[length] == '/') {
            return true;
        }
    }
    return false;
}

/**
 * reserve_unload() - record an order to unload
 * @old: engine's record, after reserve_settle()
 * @leaf: id of the leaf
 * @checks_fence: the engine rejects outdated fences
 * @next: filled in; next->fence is the fence of the order
 * @err: filled in on failure
 *
 * The item is set to unloading only if the acknowledgement will prove that no
 * order can load it any more; otherwise it is in doubt.
 *
 * Return: false with ERR_KV_CONFLICT without an item, or while adapters of
 * the model have items.
 */
bool
reserve_unload(const struct engine_record *old, uint64_t leaf,
               bool checks_fence, struct engine_record *next, struct err *err)
{
    struct item *item = copy_with_item(old, leaf, next, err);

    if (item == NULL) {
        return false;
    }
    if (has_adapters(next, item)) {
        return err_set(err, ERR_KV_CONFLICT, "%s has adapters on the engine",
                       item->path);
    }
    next->fence++;
    item->fence = next->fence;
    item->state = ITEM_IN_DOUBT;
    if (checks_fence || item->sender_count == 0) {
        item->state = ITEM_UNLOADING;
    }
    return true;
}

/**
 * reserve_unloaded() - record that the engine has acknowledged an unload
 * @old: engine's record
 * @leaf: id of the leaf
 * @fence: fence of the unload
 * @next: filled in; without the item unless it is in doubt
 * @err: filled in on failure
 *
 * Return: false with ERR_KV_CONFLICT without an item, or when a newer order
 * has been recorded.
 */
bool
reserve_unloaded(const struct engine_record *old, uint64_t leaf,
                 uint64_t fence, struct engine_record *next, struct err *err)
{
    struct item *item = copy_with_item(old, leaf, next, err);

    if (item == NULL) {
        return false;
    }
    if (item->fence != fence) {
        return err_set(err, ERR_KV_CONFLICT,
                       "%s: a newer order has been recorded", item->path);
    }
    if (item->state == ITEM_UNLOADING) {
        drop_item(next, item);
    }
    return true;
}

/**
 * reserve_release() - remove an item of an engine that no longer exists
 * @old: engine's record, after reserve_settle()
 * @leaf: id of the leaf
 * @next: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_KV_CONFLICT without an item, or while an order may
 * be in flight.
 */
bool
reserve_release(const struct engine_record *old, uint64_t leaf,
                struct engine_record *next, struct err *err)
{
    struct item *item = copy_with_item(old, leaf, next, err);

    if (item == NULL) {
        return false;
    }
    if (item->sender_count > 0) {
        return err_set(err, ERR_KV_CONFLICT, "%s: %d orders may be in flight",
                       item->path, item->sender_count);
    }
    drop_item(next, item);
    return true;
}

/**
 * reserve_block_announced() - make reservations announced before now fail
 * @old: engine's record
 * @leaf: leaf of a slot without an item
 * @next: filled in
 * @err: filled in on failure
 *
 * The writer of a slot writes its reservation against the revision of the
 * engine's record that it read before the slot. This write changes that
 * revision, so no reservation can follow and the slot can be removed.
 *
 * Return: false with ERR_KV_CONFLICT when the leaf has an item.
 */
bool
reserve_block_announced(const struct engine_record *old, uint64_t leaf,
                        struct engine_record *next, struct err *err)
{
    if (item_find(old, leaf) != NULL) {
        return err_set(err, ERR_KV_CONFLICT,
                       "the engine has a reservation for the leaf");
    }
    if (next != old) {
        *next = *old;
    }
    next->fence++;
    return true;
}
