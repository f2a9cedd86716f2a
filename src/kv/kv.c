/**
 * DOC: Interface of the key-value store.
 *
 * All calls go through these functions, which count them and check the lengths
 * of keys and values before an adapter is called.
 */
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"

static bool
check_key(const char *key, struct err *err)
{
    size_t bytes = strlen(key);

    if (bytes == 0 || bytes >= KV_KEY_MAX_BYTES) {
        return err_set(err, ERR_BAD_REQUEST, "key of %zu bytes, allowed 1..%d",
                       bytes, KV_KEY_MAX_BYTES - 1);
    }
    return true;
}

static bool
check_range(const char *from, const char *end, struct err *err)
{
    if (!check_key(from, err) || !check_key(end, err)) {
        return false;
    }
    if (strcmp(from, end) >= 0) {
        return err_set(err, ERR_BAD_REQUEST, "range %s..%s is empty", from,
                       end);
    }
    return true;
}

/* A conflict is a valid response, so it isn't counted as a failed call. */
static bool
count_call(bool done, const struct err *result, struct err *err)
{
    counter_add(CTR_KV_CALLS, 1);
    if (!done && result->kind != ERR_KV_CONFLICT) {
        counter_add(CTR_KV_FAILED, 1);
    }
    if (!done && err != NULL) {
        *err = *result;
    }
    return done;
}

/**
 * kv_get() - read one key
 * @kv: the store
 * @key: the key
 * @entry: filled in on success, to be freed by kv_entry_free(); revision 0
 *         when the key is absent
 * @err: filled in on failure; may be NULL
 */
bool
kv_get(struct kv *kv, const char *key, struct kv_entry *entry, struct err *err)
{
    struct err result = {0};

    memset(entry, 0, sizeof(*entry));
    if (!check_key(key, err)) {
        return false;
    }
    return count_call(kv->ops->get(kv, key, entry, &result), &result, err);
}

/**
 * kv_range() - read a range of keys in ascending order
 * @kv: the store
 * @from: first key of the range
 * @end: end of the range, exclusive
 * @limit: maximum number of keys to read, at least 1
 * @entries: filled in on success, to be freed by kv_entries_free()
 * @err: filled in on failure; may be NULL
 */
bool
kv_range(struct kv *kv, const char *from, const char *end, int limit,
         struct kv_entries *entries, struct err *err)
{
    struct err result = {0};

    memset(entries, 0, sizeof(*entries));
    if (!check_range(from, end, err)) {
        return false;
    }
    if (limit < 1) {
        return err_set(err, ERR_BAD_REQUEST, "limit %d", limit);
    }
    return count_call(kv->ops->range(kv, from, end, limit, entries, &result),
                      &result, err);
}

/**
 * kv_cas() - write a key if it still has an expected revision
 * @kv: the store
 * @key: the key
 * @expected_revision: revision that the key must have; 0 if it must be absent
 * @value: new value
 * @value_bytes: length of @value
 * @revision: set to the new revision on success; may be NULL
 * @err: filled in on failure; may be NULL
 *
 * Return: false with ERR_KV_CONFLICT when the key has another revision, and
 * with ERR_KV_DOWN when the write may have taken effect or may still do so.
 */
bool
kv_cas(struct kv *kv, const char *key, int64_t expected_revision,
       const void *value, size_t value_bytes, int64_t *revision,
       struct err *err)
{
    struct err result = {0};
    int64_t written = 0;
    bool done;

    if (!check_key(key, err)) {
        return false;
    }
    if (value_bytes > KV_VALUE_MAX_BYTES) {
        return err_set(err, ERR_BAD_REQUEST, "value of %zu bytes for %s",
                       value_bytes, key);
    }
    done = kv->ops->cas(kv, key, expected_revision, value, value_bytes,
                        &written, &result);
    if (done && revision != NULL) {
        *revision = written;
    }
    return count_call(done, &result, err);
}

/**
 * kv_remove() - delete a range of keys
 * @kv: the store
 * @from: first key of the range
 * @end: end of the range, exclusive
 * @err: filled in on failure; may be NULL
 */
bool
kv_remove(struct kv *kv, const char *from, const char *end, struct err *err)
{
    struct err result = {0};

    if (!check_range(from, end, err)) {
        return false;
    }
    return count_call(kv->ops->remove(kv, from, end, &result), &result, err);
}

/**
 * kv_entry_free() - release the value of an entry
 * @entry: the entry; may be zeroed
 */
void
kv_entry_free(struct kv_entry *entry)
{
    free(entry->value);
    entry->value = NULL;
    entry->value_bytes = 0;
}

/**
 * kv_entries_free() - release the result of a range read
 * @entries: the result; may be zeroed
 */
void
kv_entries_free(struct kv_entries *entries)
{
    for (int i = 0; i < entries->count; i++) {
        kv_entry_free(&entries->items[i]);
    }
    free(entries->items);
    memset(entries, 0, sizeof(*entries));
}
