/**
 * DOC: Set of a shard's claims and encoding of batches; no I/O.
 *
 * The set depends only on the records of the journal and their order, so all
 * instances that have read the same entries have the same claims. A key
 * belongs to the first token that claims it until that token releases it.
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
    BATCH_VERSION = 1,
    BATCH_HEADER_BYTES = 1 + 8 + 4,
    RECORD_BYTES = 1 + CLAIM_HASH_BYTES + 8 + 8,
    RECORD_FLAG_OPAQUE = 1,
    RECORD_FLAG_RELEASE = 2,
};

enum {
    KEY_AGE_MAX_MS = 24 * 60 * 60 * 1000,
    /* Clocks may be off by 5 minutes: the clock of the instance that removes
     * a claim may be ahead and that of the one that checks a key's age
     * behind, so claims are retained for twice the skew. */
    CLOCK_SKEW_MAX_MS = 5 * 60 * 1000,
    RETENTION_MS = KEY_AGE_MAX_MS + 2 * CLOCK_SKEW_MAX_MS,
};

/**
 * claim_shard_of() - number of the shard that contains a key
 * @key_hash: hash of service and key
 *
 * Must never change: existing claims are stored under these shard numbers.
 */
int
claim_shard_of(const unsigned char key_hash[CLAIM_HASH_BYTES])
{
    return key_hash[CLAIM_HASH_BYTES - 1] % CLAIM_SHARDS;
}

/**
 * claim_key_time_expired() - whether a UUIDv7 key is too old to be claimed
 * @key_time_ms: timestamp of the key, milliseconds since 1970
 * @wall_ms: current time, milliseconds since 1970
 */
bool
claim_key_time_expired(int64_t key_time_ms, int64_t wall_ms)
{
    return wall_ms - key_time_ms > KEY_AGE_MAX_MS;
}

/* The key hash is the first field of a record; its first bytes serve as the
 * hash value. */
static guint
hash_record_key(gconstpointer key)
{
    guint hash;

    memcpy(&hash, key, sizeof(hash));
    return hash;
}

static gboolean
record_keys_equal(gconstpointer a, gconstpointer b)
{
    return memcmp(a, b, CLAIM_HASH_BYTES) == 0;
}

/**
 * claim_set_init() - initialize an empty set
 * @set: the set
 */
void
claim_set_init(struct claim_set *set)
{
    memset(set, 0, sizeof(*set));
    set->live = g_hash_table_new_full(hash_record_key, record_keys_equal,
                                      g_free, NULL);
    set->released_tokens =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    set->released_token_order = g_queue_new();
}

/**
 * claim_set_free() - free the memory of a set
 * @set: the set
 */
void
claim_set_free(struct claim_set *set)
{
    g_queue_free(set->released_token_order);
    g_hash_table_unref(set->released_tokens);
    g_hash_table_unref(set->live);
}

/**
 * claim_set_clear() - remove all claims and released tokens
 * @set: the set
 */
void
claim_set_clear(struct claim_set *set)
{
    g_queue_clear(set->released_token_order);
    g_hash_table_remove_all(set->released_tokens);
    g_hash_table_remove_all(set->live);
    memset(set->live_counts, 0, sizeof(set->live_counts));
}

static bool
is_released(const struct claim_set *set, uint64_t token)
{
    return g_hash_table_contains(set->released_tokens, &token);
}

static bool
is_class_full(const struct claim_set *set, enum claim_key_class key_class)
{
    uint32_t max =
        key_class == CLAIM_KEY_OPAQUE ? CLAIM_OPAQUE_MAX : CLAIM_UUIDV7_MAX;

    return set->live_counts[key_class] >= max;
}

/**
 * claim_set_decide() - decide a claim or release
 * @set: claims of the shard
 * @record: the claim or release
 * @wall_ms: current time, milliseconds since 1970
 * @kind: set to the reason when the claim is refused, else to ERR_NONE
 *
 * A released token is never granted again: its call was refused already, so
 * nothing would release the claim a second time.
 */
enum claim_decision
claim_set_decide(const struct claim_set *set,
                 const struct claim_record *record, int64_t wall_ms,
                 enum err_kind *kind)
{
    const struct claim_record *live;

    *kind = ERR_NONE;
    if (record->release) {
        return is_released(set, record->token) ? CLAIM_IN_EFFECT
                                               : CLAIM_APPEND;
    }
    live = g_hash_table_lookup(set->live, record);
    if (live != NULL && live->token == record->token) {
        return CLAIM_IN_EFFECT;
    }
    if (live != NULL) {
        *kind = ERR_DUPLICATE;
    }
    else if (is_released(set, record->token)) {
        *kind = ERR_CLAIM_UNAVAILABLE;
    }
    else if (record->key_class == CLAIM_KEY_UUIDV7 &&
             claim_key_time_expired(record->key_time_ms, wall_ms)) {
        *kind = ERR_KEY_EXPIRED;
    }
    else if (is_class_full(set, record->key_class)) {
        *kind = ERR_CLAIMS_FULL;
    }
    return *kind == ERR_NONE ? CLAIM_APPEND : CLAIM_REFUSED;
}

static void
add_released_token(struct claim_set *set, uint64_t token)
{
    uint64_t *stored_token;

    if (is_released(set, token)) {
        return;
    }
    if (g_hash_table_size(set->released_tokens) == CLAIM_RELEASED_TOKENS_MAX) {
        g_hash_table_remove(set->released_tokens,
                            g_queue_pop_head(set->released_token_order));
    }
    stored_token = g_new(uint64_t, 1);
    *stored_token = token;
    g_hash_table_add(set->released_tokens, stored_token);
    g_queue_push_tail(set->released_token_order, stored_token);
}

/**
 * claim_set_apply() - apply the next record of the journal
 * @set: the set
 * @record: the record, copied
 *
 * The limits are not checked: all instances must apply the same records.
 */
void
claim_set_apply(struct claim_set *set, const struct claim_record *record)
{
    const struct claim_record *live = g_hash_table_lookup(set->live, record);

    if (record->release) {
        if (live != NULL && live->token == record->token) {
            set->live_counts[live->key_class]--;
            g_hash_table_remove(set->live, record);
        }
        add_released_token(set, record->token);
        return;
    }
    if (live != NULL || is_released(set, record->token)) {
        return;
    }
    set->live_counts[record->key_class]++;
    g_hash_table_add(set->live, g_memdup2(record, sizeof(*record)));
}

/**
 * claim_set_remove_expired() - remove claims whose keys are too old
 * @set: the set
 * @wall_ms: current time, milliseconds since 1970
 *
 * Return: number of claims removed.
 */
uint32_t
claim_set_remove_expired(struct claim_set *set, int64_t wall_ms)
{
    GHashTableIter iter;
    gpointer key;
    uint32_t removed = 0;

    g_hash_table_iter_init(&iter, set->live);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        const struct claim_record *live = key;

        if (live->key_class == CLAIM_KEY_UUIDV7 &&
            wall_ms - live->key_time_ms > RETENTION_MS) {
            g_hash_table_iter_remove(&iter);
            removed++;
        }
    }
    set->live_counts[CLAIM_KEY_UUIDV7] -= removed;
    return removed;
}

/**
 * claim_set_export() - list the records that rebuild the set
 * @set: the set
 * @count: set to the number of records
 *
 * Return: array of records, to be freed by g_free().
 */
struct claim_record *
claim_set_export(const struct claim_set *set, uint32_t *count)
{
    uint32_t total =
        g_hash_table_size(set->live) + g_hash_table_size(set->released_tokens);
    struct claim_record *records = g_new0(struct claim_record, total + 1);
    GHashTableIter iter;
    gpointer key;

    *count = 0;
    g_hash_table_iter_init(&iter, set->live);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        records[(*count)++] = *(const struct claim_record *)key;
    }
    for (GList *item = set->released_token_order->head; item != NULL;
         item = item->next) {
        records[*count].token = *(const uint64_t *)item->data;
        records[*count].release = true;
        (*count)++;
    }
    return records;
}

/**
 * claim_batch_bytes() - length of an encoded batch
 * @count: number of records
 */
size_t
claim_batch_bytes(uint32_t count)
{
    return BATCH_HEADER_BYTES + (size_t)count * RECORD_BYTES;
}

static unsigned char *
put_big_endian(unsigned char *out, uint64_t value, int bytes)
{
    for (int i = 0; i < bytes; i++) {
        out[i] = (unsigned char)(value >> (8 * (bytes - 1 - i)));
    }
    return out + bytes;
}

static uint64_t
get_big_endian(const unsigned char *in, int bytes)
{
    uint64_t value = 0;

    for (int i = 0; i < bytes; i++) {
        value = value << 8 | in[i];
    }
    return value;
}

static unsigned char *
encode_record(unsigned char *out, const struct claim_record *record)
{
    *out = (record->key_class == CLAIM_KEY_OPAQUE ? RECORD_FLAG_OPAQUE : 0) |
           (record->release ? RECORD_FLAG_RELEASE : 0);
    out++;
    memcpy(out, record->key_hash, CLAIM_HASH_BYTES);
    out += CLAIM_HASH_BYTES;
    out = put_big_endian(out, record->token, 8);
    return put_big_endian(out, (uint64_t)record->key_time_ms, 8);
}

static bool
decode_record(const unsigned char *in, struct claim_record *record)
{
    unsigned char flags = *in;

    record->key_class =
        flags & RECORD_FLAG_OPAQUE ? CLAIM_KEY_OPAQUE : CLAIM_KEY_UUIDV7;
    record->release = (flags & RECORD_FLAG_RELEASE) != 0;
    memcpy(record->key_hash, in + 1, CLAIM_HASH_BYTES);
    record->token = get_big_endian(in + 1 + CLAIM_HASH_BYTES, 8);
    record->key_time_ms =
        (int64_t)get_big_endian(in + 1 + CLAIM_HASH_BYTES + 8, 8);
    return (flags & ~(RECORD_FLAG_OPAQUE | RECORD_FLAG_RELEASE)) == 0;
}

/**
 * claim_batch_encode() - encode a batch
 * @batch: the batch
 * @out: buffer of claim_batch_bytes() bytes
 *
 * Layout, big-endian: version (1 byte), id (8), number of records (4); for
 * each record flags (1), key hash (16), token (8), timestamp of the key (8).
 */
void
claim_batch_encode(const struct claim_batch *batch, unsigned char *out)
{
    out = put_big_endian(out, BATCH_VERSION, 1);
    out = put_big_endian(out, batch->id, 8);
    out = put_big_endian(out, batch->count, 4);
    for (uint32_t i = 0; i < batch->count; i++) {
        out = encode_record(out, &batch->records[i]);
    }
}

/**
 * claim_batch_decode() - decode a batch
 * @data: encoded batch
 * @bytes: length of @data
 * @batch: filled in on success, to be freed by claim_batch_free()
 * @err: filled in on failure
 *
 * Return: false with ERR_INTERNAL when the batch is damaged or was written by
 * a newer version. Callers must not skip it, as that would lose claims.
 */
bool
claim_batch_decode(const void *data, size_t bytes, struct claim_batch *batch,
                   struct err *err)
{
    const unsigned char *in = data;

    memset(batch, 0, sizeof(*batch));
    if (bytes < BATCH_HEADER_BYTES || in[0] != BATCH_VERSION) {
        return err_set(
            err, ERR_INTERNAL,
            "batch of %zu bytes is truncated or of an unknown version", bytes);
    }
    batch->id = get_big_endian(in + 1, 8);
    batch->count = (uint32_t)get_big_endian(in + 9, 4);
    if (bytes != claim_batch_bytes(batch->count)) {
        return err_set(err, ERR_INTERNAL,
                       "batch length of %zu bytes does not match %u records",
                       bytes, batch->count);
    }
    batch->records = g_new0(struct claim_record, batch->count + 1);
    in += BATCH_HEADER_BYTES;
    for (uint32_t i = 0; i < batch->count; i++, in += RECORD_BYTES) {
        if (!decode_record(in, &batch->records[i])) {
            claim_batch_free(batch);
            return err_set(err, ERR_INTERNAL,
                           "record %u of a batch has unknown flags", i);
        }
    }
    return true;
}

/**
 * claim_batch_free() - free the records of a decoded batch
 * @batch: the batch
 */
void
claim_batch_free(struct claim_batch *batch)
{
    g_free(batch->records);
    batch->records = NULL;
}
