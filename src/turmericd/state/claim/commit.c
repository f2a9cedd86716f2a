/**
 * DOC: Group commit of the claims of a shard.
 *
 * A shard appends one batch at a time. While the outcome of an append is
 * unknown, the same bytes are written again to the same entry number, so the
 * batch can't be appended twice, and the shard decides no other operation.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"

enum {
    /* 8 shards append at most 200 times a second, half of what the key-value
     * store sustains. */
    APPEND_INTERVAL_MS = 40,
    /* A refusal is based on a set that is at most this old. */
    SET_AGE_MAX_MS = 1000,
    KV_RETRY_MIN_MS = 100,
    KV_RETRY_MAX_MS = 1000,
    SHARD_RETRY_MS = 1000,
    COMPACTION_RETRY_MS = 10000,
};

/* Makes any set too old. Half of the minimum, so that the difference to the
 * current time can't overflow. */
static const int64_t DISTANT_PAST_MS = INT64_MIN / 2;

/**
 * claim_shard_init() - initialize the group commit of a shard
 * @shard: the shard, zeroed
 * @kv: the key-value store
 * @shard_number: number of the shard
 * @err: filled in on failure
 *
 * Return: false with ERR_NO_MEMORY; claim_shard_free() is needed even then.
 */
bool
claim_shard_init(struct claim_shard *shard, struct kv *kv, int shard_number,
                 struct err *err)
{
    claim_set_init(&shard->set);
    shard->queue = g_array_new(FALSE, FALSE, sizeof(struct handle));
    shard->batch.records = shard->batch_records;
    shard->encoded = g_malloc(claim_batch_bytes(CLAIM_BATCH_RECORDS_MAX));
    shard->caught_up_at_ms = DISTANT_PAST_MS;
    shard->next_append_at_ms = DISTANT_PAST_MS;
    shard->next_compaction_at_ms = DISTANT_PAST_MS;
    return claim_store_init(&shard->store, kv, shard_number, err);
}

/**
 * claim_shard_free() - free the memory of a shard
 * @shard: the shard
 */
void
claim_shard_free(struct claim_shard *shard)
{
    claim_store_free(&shard->store);
    g_free(shard->encoded);
    g_array_free(shard->queue, TRUE);
    claim_set_free(&shard->set);
}

/**
 * claim_shard_has_work() - whether operations are queued or being appended
 * @shard: the shard
 */
bool
claim_shard_has_work(const struct claim_shard *shard)
{
    return shard->queue->len > 0 || shard->batch.count > 0;
}

static void
record_kv_success(struct claim *claim, struct claim_shard *shard)
{
    if (claim->kv_retry_delay_ms > 0 || shard->kv_failing) {
        log_line(LOG_PRI_INFO, "claim", "event=store_up shard=%d",
                 shard->store.shard);
    }
    claim->kv_retry_delay_ms = 0;
    shard->kv_failing = false;
}

/* ERR_KV_DOWN delays all shards, so that the thread waits for one call's
 * timeout per retry and not for one per shard. */
static void
record_kv_failure(struct claim *claim, struct claim_shard *shard,
                  const struct err *err, int64_t now_ms)
{
    if (!shard->kv_failing) {
        log_line(LOG_PRI_WARNING, "claim",
                 "event=store_down shard=%d error=%s detail=\"%s\"",
                 shard->store.shard, err_info(err->kind)->name, err->text);
    }
    shard->kv_failing = true;
    if (err->kind != ERR_KV_DOWN) {
        shard->next_append_at_ms = now_ms + SHARD_RETRY_MS;
        return;
    }
    counter_add(CTR_RETRY_KV_DOWN, 1);
    claim->kv_retry_delay_ms =
        CLAMP(claim->kv_retry_delay_ms * 2, KV_RETRY_MIN_MS, KV_RETRY_MAX_MS);
    claim->kv_retry_at_ms = now_ms + claim->kv_retry_delay_ms;
}

static bool
catch_up_if_stale(struct claim *claim, struct claim_shard *shard,
                  int64_t now_ms)
{
    struct err err = {0};

    if (shard->store.set_valid &&
        now_ms - shard->caught_up_at_ms < SET_AGE_MAX_MS) {
        return true;
    }
    if (!claim_store_catch_up(&shard->store, &shard->set, &err)) {
        shard->caught_up_at_ms = DISTANT_PAST_MS;
        record_kv_failure(claim, shard, &err, now_ms);
        return false;
    }
    shard->caught_up_at_ms = now_ms;
    record_kv_success(claim, shard);
    return true;
}

static void
add_to_batch(struct claim_shard *shard, struct claim_operation *operation)
{
    uint32_t index = shard->batch.count++;

    shard->batch_records[index] = operation->record;
    shard->batch_operations[index] = operation->handle;
    operation->in_batch = true;
}

static void
decide_operation(struct claim *claim, struct claim_shard *shard,
                 struct claim_operation *operation, int64_t now_ms,
                 int64_t wall_ms)
{
    enum err_kind kind;

    switch (
        claim_set_decide(&shard->set, &operation->record, wall_ms, &kind)) {
    case CLAIM_APPEND:
        add_to_batch(shard, operation);
        break;
    case CLAIM_IN_EFFECT:
    case CLAIM_REFUSED:
        claim_operation_finish(claim, operation, kind, now_ms);
        break;
    }
}

/* Finishes the operations that need no append and batches the others. */
static void
fill_batch(struct claim *claim, struct claim_shard *shard, int64_t now_ms,
           int64_t wall_ms)
{
    GArray *queue = shard->queue;
    guint taken_count = 0;

    while (taken_count < queue->len &&
           shard->batch.count < CLAIM_BATCH_RECORDS_MAX) {
        struct handle handle =
            g_array_index(queue, struct handle, taken_count);
        struct claim_operation *operation =
            table_get(&claim->operations, handle);

        taken_count++;
        if (operation != NULL) {
            decide_operation(claim, shard, operation, now_ms, wall_ms);
        }
    }
    g_array_remove_range(queue, 0, taken_count);
    if (shard->batch.count > 0) {
        shard->batch.id = hash_pair(claim->self_id, ++claim->batch_id_counter);
        shard->encoded_bytes = claim_batch_bytes(shard->batch.count);
        claim_batch_encode(&shard->batch, shard->encoded);
    }
}

/* A batch may contain several claims of one key. The first record takes the
 * key; deciding again after all records are applied refuses the others. */
static void
finish_batched_operation(struct claim *claim, struct claim_shard *shard,
                         struct claim_operation *operation, int64_t now_ms,
                         int64_t wall_ms)
{
    enum err_kind kind;

    operation->in_batch = false;
    if (claim_set_decide(&shard->set, &operation->record, wall_ms, &kind) ==
        CLAIM_APPEND) {
        kind = ERR_CLAIM_UNAVAILABLE;
    }
    claim_operation_finish(claim, operation, kind, now_ms);
}

static void
compact_if_due(struct claim *claim, struct claim_shard *shard, int64_t now_ms,
               int64_t wall_ms)
{
    struct err err = {0};

    if (now_ms < shard->next_compaction_at_ms ||
        !claim_store_needs_compaction(&shard->store)) {
        return;
    }
    claim_set_remove_expired(&shard->set, wall_ms);
    if (!claim_store_compact(
            &shard->store, &shard->set,
            hash_pair(claim->self_id, ++claim->batch_id_counter), &err)) {
        shard->next_compaction_at_ms = now_ms + COMPACTION_RETRY_MS;
    }
}

static void
finish_batch(struct claim *claim, struct claim_shard *shard, int64_t now_ms,
             int64_t wall_ms)
{
    uint32_t count = shard->batch.count;

    counter_add(CTR_CLAIM_APPENDS, 1);
    shard->caught_up_at_ms = now_ms;
    for (uint32_t i = 0; i < count; i++) {
        claim_set_apply(&shard->set, &shard->batch_records[i]);
    }
    shard->batch.count = 0;
    for (uint32_t i = 0; i < count; i++) {
        struct claim_operation *operation =
            table_get(&claim->operations, shard->batch_operations[i]);

        if (operation != NULL) {
            finish_batched_operation(claim, shard, operation, now_ms, wall_ms);
        }
    }
    compact_if_due(claim, shard, now_ms, wall_ms);
}

/* The batch was not appended: its operations are decided again after the set
 * has caught up. */
static void
requeue_batch(struct claim *claim, struct claim_shard *shard)
{
    counter_add(CTR_RETRY_KV_CONFLICT, 1);
    shard->caught_up_at_ms = DISTANT_PAST_MS;
    for (uint32_t i = 0; i < shard->batch.count; i++) {
        struct claim_operation *operation =
            table_get(&claim->operations, shard->batch_operations[i]);

        if (operation != NULL) {
            operation->in_batch = false;
        }
    }
    g_array_prepend_vals(shard->queue, shard->batch_operations,
                         shard->batch.count);
    shard->batch.count = 0;
}

static void
append_batch(struct claim *claim, struct claim_shard *shard, int64_t now_ms,
             int64_t wall_ms)
{
    struct err err = {0};

    shard->next_append_at_ms = now_ms + APPEND_INTERVAL_MS;
    switch (claim_store_append(&shard->store, shard->encoded,
                               shard->encoded_bytes, &err)) {
    case JOURNAL_APPENDED:
        record_kv_success(claim, shard);
        finish_batch(claim, shard, now_ms, wall_ms);
        break;
    case JOURNAL_CONFLICT:
        requeue_batch(claim, shard);
        break;
    case JOURNAL_IN_DOUBT:
        record_kv_failure(claim, shard, &err, now_ms);
        break;
    }
}

/**
 * claim_shard_process() - decide queued operations and append a batch
 * @claim: the duty
 * @shard: one of its shards
 * @now_ms: monotonic time
 * @wall_ms: milliseconds since 1970
 *
 * Does nothing before the shard's next append or the key-value store's retry
 * is due.
 */
void
claim_shard_process(struct claim *claim, struct claim_shard *shard,
                    int64_t now_ms, int64_t wall_ms)
{
    if (!claim_shard_has_work(shard) || now_ms < shard->next_append_at_ms ||
        now_ms < claim->kv_retry_at_ms) {
        return;
    }
    if (shard->batch.count == 0) {
        if (!catch_up_if_stale(claim, shard, now_ms)) {
            return;
        }
        fill_batch(claim, shard, now_ms, wall_ms);
    }
    if (shard->batch.count > 0) {
        append_batch(claim, shard, now_ms, wall_ms);
    }
}
