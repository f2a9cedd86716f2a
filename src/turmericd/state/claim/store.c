/**
 * DOC: Journal and snapshot of a shard in the key-value store.
 *
 * Entry N of the journal has the key /turmeric/claims/SHARD/N. A compaction
 * writes the claims that result from entries 1..S as a snapshot, in parts,
 * sets the snapshot pointer /turmeric/claim-bases/SHARD/current to S by
 * compare-and-swap, and only then removes entries 1..S.
 *
 * An instance that was paused during a compaction could create a removed entry
 * number again, and others could read that entry. So an entry that was read or
 * written at number N is valid only if the pointer, read afterwards, is below
 * N. A number is removed only after the pointer has reached it, and the
 * pointer never decreases, so a verified entry is the one that all instances
 * read. When the verification fails, the snapshot is loaded again.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"

enum {
    READ_ENTRIES_MAX = 64,
    /* Attempts to catch up while compactions interfere; then the caller tries
     * again later. */
    RELOADS_MAX = 4,
    COMPACTION_ENTRIES_MIN = 4096,
    COMPACTION_BYTES_MIN = 32 * 1024 * 1024,
    /* 16,384 records of 33 bytes stay below the store's limit of 1 MiB for a
     * value. */
    SNAPSHOT_PART_RECORDS = 16384,
    SNAPSHOT_PARTS_MAX = 64,
    POINTER_VERSION = 1,
};

/**
 * struct snapshot_pointer - value of the key that names the current snapshot
 * @last_entry: number of the last entry that the snapshot contains; 0 without
 *              a snapshot
 * @id: id of the compaction that wrote the snapshot
 * @part_count: number of parts of the snapshot
 */
struct snapshot_pointer {
    int64_t last_entry;
    uint64_t id;
    uint32_t part_count;
};

static void
make_pointer_key(const struct claim_store *store, char key[KV_KEY_MAX_BYTES])
{
    snprintf(key, KV_KEY_MAX_BYTES, "/turmeric/claim-bases/%d/current",
             store->shard);
}

static void
make_part_key(const struct claim_store *store,
              const struct snapshot_pointer *pointer, uint32_t part,
              char key[KV_KEY_MAX_BYTES])
{
    snprintf(key, KV_KEY_MAX_BYTES,
             "/turmeric/claim-bases/%d/%012" PRId64 "-%016" PRIx64 "/%04u",
             store->shard, pointer->last_entry, pointer->id, part);
}

/**
 * claim_store_init() - initialize the store of a shard without reading
 * @store: the store
 * @kv: the key-value store
 * @shard: number of the shard
 * @err: filled in on failure
 *
 * Return: false with ERR_NO_MEMORY.
 */
bool
claim_store_init(struct claim_store *store, struct kv *kv, int shard,
                 struct err *err)
{
    char prefix[KV_KEY_MAX_BYTES];

    memset(store, 0, sizeof(*store));
    store->kv = kv;
    store->shard = shard;
    store->journal = g_try_new0(struct journal, 1);
    if (store->journal == NULL) {
        return err_set(err, ERR_NO_MEMORY,
                       "cannot allocate the journal of shard %d", shard);
    }
    snprintf(prefix, sizeof(prefix), "/turmeric/claims/%d", shard);
    journal_init(store->journal, kv, prefix);
    return true;
}

/**
 * claim_store_free() - free the memory of a store
 * @store: the store
 */
void
claim_store_free(struct claim_store *store)
{
    g_free(store->journal);
    store->journal = NULL;
}

static bool
parse_pointer(const struct kv_entry *entry, struct snapshot_pointer *pointer,
              struct err *err)
{
    int version = 0;
    int parsed_bytes = 0;

    memset(pointer, 0, sizeof(*pointer));
    if (entry->revision == 0) {
        return true;
    }
    if (sscanf(entry->value, "%d %" SCNd64 " %" SCNx64 " %u%n", &version,
               &pointer->last_entry, &pointer->id, &pointer->part_count,
               &parsed_bytes) != 4 ||
        (size_t)parsed_bytes != entry->value_bytes ||
        version != POINTER_VERSION || pointer->last_entry < 1 ||
        pointer->part_count > SNAPSHOT_PARTS_MAX) {
        return err_set(
            err, ERR_INTERNAL,
            "snapshot pointer %s is damaged or of an unknown version",
            entry->key);
    }
    return true;
}

/* Fails when the key-value store has gone back to older data. */
static bool
read_pointer(struct claim_store *store, struct snapshot_pointer *pointer,
             struct err *err)
{
    char key[KV_KEY_MAX_BYTES];
    struct kv_entry entry;
    bool ok;

    make_pointer_key(store, key);
    if (!kv_get(store->kv, key, &entry, err)) {
        return false;
    }
    ok = parse_pointer(&entry, pointer, err);
    kv_entry_free(&entry);
    if (ok && pointer->last_entry < store->snapshot_last) {
        return err_set(
            err, ERR_CONFIG_BEHIND,
            "snapshot of shard %d went back from %" PRId64 " to %" PRId64,
            store->shard, store->snapshot_last, pointer->last_entry);
    }
    if (ok) {
        store->snapshot_last = pointer->last_entry;
        store->pointer_revision = entry.revision;
    }
    return ok;
}

/* Verifies entries against the pointer as the head of this file describes. */
static bool
verify_entries(struct claim_store *store, struct err *err)
{
    struct snapshot_pointer pointer;

    if (!read_pointer(store, &pointer, err)) {
        return false;
    }
    if (pointer.last_entry >= store->verified_next) {
        store->set_valid = false;
    }
    else {
        store->verified_next = store->journal->next_number;
    }
    return true;
}

static bool
apply_encoded_batch(struct claim_set *set, const struct kv_entry *entry,
                    struct err *err)
{
    struct claim_batch batch;

    if (!claim_batch_decode(entry->value, entry->value_bytes, &batch, err)) {
        return false;
    }
    for (uint32_t i = 0; i < batch.count; i++) {
        claim_set_apply(set, &batch.records[i]);
    }
    claim_batch_free(&batch);
    return true;
}

static bool
load_snapshot_part(struct claim_store *store,
                   const struct snapshot_pointer *pointer, uint32_t part,
                   struct claim_set *set, struct err *err)
{
    char key[KV_KEY_MAX_BYTES];
    struct kv_entry entry;
    bool ok;

    make_part_key(store, pointer, part, key);
    if (!kv_get(store->kv, key, &entry, err)) {
        return false;
    }
    if (entry.revision == 0) {
        return err_set(err, ERR_NOT_FOUND,
                       "snapshot part %s was removed by a compaction", key);
    }
    ok = apply_encoded_batch(set, &entry, err);
    kv_entry_free(&entry);
    return ok;
}

static bool
load_snapshot(struct claim_store *store, struct claim_set *set,
              struct err *err)
{
    struct snapshot_pointer pointer;

    claim_set_clear(set);
    if (!read_pointer(store, &pointer, err)) {
        return false;
    }
    for (uint32_t part = 0; part < pointer.part_count; part++) {
        if (!load_snapshot_part(store, &pointer, part, set, err)) {
            return false;
        }
    }
    store->journal->next_number = pointer.last_entry + 1;
    store->verified_next = store->journal->next_number;
    store->journal_bytes = 0;
    store->set_valid = true;
    return true;
}

static bool
apply_entries(struct claim_store *store, struct claim_set *set,
              const struct kv_entries *entries, struct err *err)
{
    for (int i = 0; i < entries->count; i++) {
        if (!apply_encoded_batch(set, &entries->items[i], err)) {
            /* The set contains entries that were not verified. */
            store->set_valid = false;
            return false;
        }
        store->journal_bytes += entries->items[i].value_bytes;
    }
    return true;
}

static bool
read_entries(struct claim_store *store, struct claim_set *set, struct err *err)
{
    bool more = true;

    while (more) {
        struct kv_entries entries;
        bool ok;

        if (!journal_read(store->journal, READ_ENTRIES_MAX, &entries, err)) {
            return false;
        }
        more = entries.more;
        ok = apply_entries(store, set, &entries, err);
        kv_entries_free(&entries);
        if (!ok) {
            return false;
        }
    }
    return true;
}

/* Reads the journal from the snapshot or from where the last read ended. */
static bool
read_journal(struct claim_store *store, struct claim_set *set, struct err *err)
{
    if (!store->set_valid && !load_snapshot(store, set, err)) {
        return false;
    }
    return read_entries(store, set, err) && verify_entries(store, err);
}

/**
 * claim_store_catch_up() - apply the rest of the journal to the set
 * @store: the store
 * @set: claims of the shard; only valid when the function returns true
 * @err: filled in on failure
 *
 * Return: false with ERR_KV_CONFLICT or ERR_NOT_FOUND when compactions
 * interfered, or with another error when reading failed.
 */
bool
claim_store_catch_up(struct claim_store *store, struct claim_set *set,
                     struct err *err)
{
    struct err failure = {0};

    for (int i = 0; i < RELOADS_MAX; i++) {
        err_clear(&failure);
        if (read_journal(store, set, &failure) && store->set_valid) {
            return true;
        }
        if (failure.kind != ERR_NONE && failure.kind != ERR_NOT_FOUND) {
            break;
        }
        /* A compaction ran during the read: start from its snapshot. */
        store->set_valid = false;
    }
    if (failure.kind == ERR_NONE) {
        err_set(&failure, ERR_KV_CONFLICT, "shard %d is being compacted",
                store->shard);
    }
    if (err != NULL) {
        *err = failure;
    }
    return false;
}

/**
 * claim_store_append() - append an entry after a successful catch-up
 * @store: the store
 * @value: the entry
 * @bytes: length of @value
 * @err: filled in unless JOURNAL_APPENDED is returned
 *
 * Return: JOURNAL_APPENDED when the entry is valid: the caller applies it to
 * the set. JOURNAL_CONFLICT when it is not: the caller catches up and decides
 * again. JOURNAL_IN_DOUBT when the outcome is unknown: the caller must repeat
 * the call with the same value.
 */
enum journal_append_result
claim_store_append(struct claim_store *store, const void *value, size_t bytes,
                   struct err *err)
{
    enum journal_append_result result = JOURNAL_APPENDED;

    if (!store->append_unverified) {
        result = journal_append(store->journal, value, bytes, err);
    }
    if (result != JOURNAL_APPENDED) {
        return result;
    }
    store->append_unverified = true;
    if (!verify_entries(store, err)) {
        return JOURNAL_IN_DOUBT;
    }
    store->append_unverified = false;
    if (!store->set_valid) {
        err_set(err, ERR_KV_CONFLICT,
                "shard %d was compacted during the append", store->shard);
        return JOURNAL_CONFLICT;
    }
    store->journal_bytes += bytes;
    return JOURNAL_APPENDED;
}

/**
 * claim_store_needs_compaction() - whether the journal has become too long
 * @store: the store
 */
bool
claim_store_needs_compaction(const struct claim_store *store)
{
    return store->set_valid && !store->append_unverified &&
           (store->verified_next - store->snapshot_last >
                COMPACTION_ENTRIES_MIN ||
            store->journal_bytes > COMPACTION_BYTES_MIN);
}

static bool
write_snapshot_part(struct claim_store *store,
                    const struct snapshot_pointer *pointer, uint32_t part,
                    struct claim_record *records, uint32_t count,
                    struct err *err)
{
    struct claim_batch batch = {pointer->id, records, count};
    size_t bytes = claim_batch_bytes(count);
    unsigned char *encoded = g_malloc(bytes);
    char key[KV_KEY_MAX_BYTES];
    bool ok;

    claim_batch_encode(&batch, encoded);
    make_part_key(store, pointer, part, key);
    ok = kv_cas(store->kv, key, 0, encoded, bytes, NULL, err);
    g_free(encoded);
    return ok;
}

static bool
write_snapshot(struct claim_store *store, struct snapshot_pointer *pointer,
               const struct claim_set *set, struct err *err)
{
    uint32_t count;
    struct claim_record *records = claim_set_export(set, &count);
    bool ok = true;

    if (count > SNAPSHOT_PARTS_MAX * SNAPSHOT_PART_RECORDS) {
        ok = err_set(err, ERR_CLAIMS_FULL, "snapshot would have %u records",
                     count);
    }
    for (uint32_t first = 0; ok && first < count;
         first += SNAPSHOT_PART_RECORDS) {
        uint32_t part_records =
            MIN(count - first, (uint32_t)SNAPSHOT_PART_RECORDS);

        ok = write_snapshot_part(store, pointer, pointer->part_count,
                                 records + first, part_records, err);
        pointer->part_count++;
    }
    g_free(records);
    return ok;
}

static bool
write_pointer(struct claim_store *store,
              const struct snapshot_pointer *pointer, int64_t expected,
              struct err *err)
{
    char key[KV_KEY_MAX_BYTES];
    char value[80];
    int bytes = snprintf(value, sizeof(value), "%d %" PRId64 " %" PRIx64 " %u",
                         POINTER_VERSION, pointer->last_entry, pointer->id,
                         pointer->part_count);

    make_pointer_key(store, key);
    return kv_cas(store->kv, key, expected, value, (size_t)bytes,
                  &store->pointer_revision, err);
}

/* Removes the entries and parts that the snapshot replaces. The parts of this
 * and later snapshots sort after the removed range. */
static bool
remove_compacted(struct claim_store *store, int64_t last_entry,
                 struct err *err)
{
    char from[KV_KEY_MAX_BYTES];
    char end[KV_KEY_MAX_BYTES];

    snprintf(from, sizeof(from), "/turmeric/claims/%d/%012d", store->shard, 0);
    snprintf(end, sizeof(end), "/turmeric/claims/%d/%012" PRId64, store->shard,
             last_entry + 1);
    if (!kv_remove(store->kv, from, end, err)) {
        return false;
    }
    snprintf(from, sizeof(from), "/turmeric/claim-bases/%d/%012d",
             store->shard, 0);
    snprintf(end, sizeof(end), "/turmeric/claim-bases/%d/%012" PRId64,
             store->shard, last_entry);
    return kv_remove(store->kv, from, end, err);
}

/**
 * claim_store_compact() - write a snapshot and remove what it replaces
 * @store: the store, directly after a successful catch-up or append
 * @set: claims of the shard
 * @id: unique to this compaction
 * @err: filled in on failure
 *
 * A failure at any point leaves a valid snapshot with the entries after it;
 * the next compaction removes what this one left.
 */
bool
claim_store_compact(struct claim_store *store, const struct claim_set *set,
                    uint64_t id, struct err *err)
{
    struct snapshot_pointer current;
    struct snapshot_pointer pointer = {.last_entry = store->verified_next - 1,
                                       .id = id};
    int64_t expected;

    if (!read_pointer(store, &current, err)) {
        return false;
    }
    expected = store->pointer_revision;
    if (current.last_entry >= pointer.last_entry) {
        return err_set(err, ERR_KV_CONFLICT, "shard %d has a newer snapshot",
                       store->shard);
    }
    if (!write_snapshot(store, &pointer, set, err) ||
        !write_pointer(store, &pointer, expected, err)) {
        return false;
    }
    store->snapshot_last = pointer.last_entry;
    store->journal_bytes = 0;
    return remove_compacted(store, pointer.last_entry, err);
}
