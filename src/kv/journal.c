/**
 * DOC: Journal of consecutively numbered entries in the key-value store.
 *
 * The key of entry N is PREFIX/N with 12 digits. It is created only if absent,
 * so all writers agree on one order. Numbers start at 1 and have no gaps: a
 * reader finds a gap only if old entries were removed before it read them.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"

enum { ENTRY_NUMBER_DIGITS = 12 };

/**
 * journal_init() - set up a journal, positioned at the first entry
 * @journal: the journal
 * @kv: store of the entries; must outlive the journal
 * @prefix: key prefix without the trailing slash
 *
 * A reader that has loaded a snapshot sets @next_number to the number after
 * the last entry of the snapshot.
 */
void
journal_init(struct journal *journal, struct kv *kv, const char *prefix)
{
    memset(journal, 0, sizeof(*journal));
    journal->kv = kv;
    snprintf(journal->prefix, sizeof(journal->prefix), "%s", prefix);
    journal->next_number = 1;
}

/* A key that was cut off here is longer than kv.c allows and is rejected. */
static void
entry_key(const struct journal *journal, int64_t number,
          char key[KV_KEY_MAX_BYTES + ENTRY_NUMBER_DIGITS + 8])
{
    snprintf(key, KV_KEY_MAX_BYTES + ENTRY_NUMBER_DIGITS + 8, "%s/%0*" PRId64,
             journal->prefix, ENTRY_NUMBER_DIGITS, number);
}

/* Returns the number in the key of an entry, or 0 when the key has none. */
static int64_t
entry_number(const struct journal *journal, const char *key)
{
    size_t prefix_bytes = strlen(journal->prefix);
    const char *digits = key + prefix_bytes + 1;

    if (strlen(key) != prefix_bytes + 1 + ENTRY_NUMBER_DIGITS ||
        strspn(digits, "0123456789") != ENTRY_NUMBER_DIGITS) {
        return 0;
    }
    return strtoll(digits, NULL, 10);
}

/* Drops the items from position @count on. */
static void
truncate_entries(struct kv_entries *entries, int count)
{
    for (int i = count; i < entries->count; i++) {
        kv_entry_free(&entries->items[i]);
    }
    entries->count = count;
    entries->more = true;
}

/* Drops the entries behind a gap, which the next read then reports. */
static bool
keep_consecutive(struct journal *journal, struct kv_entries *entries,
                 struct err *err)
{
    for (int i = 0; i < entries->count; i++) {
        const char *key = entries->items[i].key;
        int64_t number = entry_number(journal, key);

        if (number == journal->next_number) {
            journal->next_number++;
        }
        else if (i > 0) {
            truncate_entries(entries, i);
        }
        else {
            return err_set(err, number == 0 ? ERR_INTERNAL : ERR_NOT_FOUND,
                           "journal %s: entry %" PRId64
                           " is missing, found %s",
                           journal->prefix, journal->next_number, key);
        }
    }
    return true;
}

/**
 * journal_read() - read the entries that were not read yet
 * @journal: the journal; @next_number advances past the entries read
 * @limit: maximum number of entries to read
 * @entries: filled in on success, to be freed by kv_entries_free(); @more is
 *           set when there may be further entries
 * @err: filled in on failure; may be NULL
 *
 * Return: false with ERR_NOT_FOUND when the next entry is missing while later
 * ones exist: it was removed, so the reader must load a snapshot.
 */
bool
journal_read(struct journal *journal, int limit, struct kv_entries *entries,
             struct err *err)
{
    char from[KV_KEY_MAX_BYTES + ENTRY_NUMBER_DIGITS + 8];
    char end[KV_KEY_MAX_BYTES + ENTRY_NUMBER_DIGITS + 8];

    entry_key(journal, journal->next_number, from);
    /* ':' follows the digits in ASCII. */
    snprintf(end, sizeof(end), "%s/:", journal->prefix);
    if (!kv_range(journal->kv, from, end, limit, entries, err)) {
        return false;
    }
    if (!keep_consecutive(journal, entries, err)) {
        kv_entries_free(entries);
        return false;
    }
    return true;
}

/* Reads @key after a failed write to find out whose value it has. */
static enum journal_append_result
resolve_append(struct journal *journal, const char *key, const void *value,
               size_t value_bytes, struct err *err)
{
    struct kv_entry entry;
    enum journal_append_result result;

    if (!kv_get(journal->kv, key, &entry, err)) {
        return JOURNAL_IN_DOUBT;
    }
    if (entry.revision == 0) {
        err_set(err, ERR_KV_DOWN, "write of %s may still take effect", key);
        return JOURNAL_IN_DOUBT;
    }
    result = JOURNAL_CONFLICT;
    if (entry.value_bytes == value_bytes &&
        memcmp(entry.value, value, value_bytes) == 0) {
        result = JOURNAL_APPENDED;
    }
    kv_entry_free(&entry);
    return result;
}

/**
 * journal_append() - create the entry with the number journal->next_number
 * @journal: the journal; @next_number advances only if the entry was appended
 * @value: value of the entry; unique, as callers put an id into it
 * @value_bytes: length of @value
 * @err: filled in unless the entry was appended; may be NULL
 *
 * Return: JOURNAL_APPENDED when the entry has this value, also if an earlier
 * call wrote it; JOURNAL_CONFLICT when the entry has another value, so the
 * caller must read it first; JOURNAL_IN_DOUBT when the write may still take
 * effect. After JOURNAL_IN_DOUBT the caller repeats the call with the same
 * value until it gets another result.
 */
enum journal_append_result
journal_append(struct journal *journal, const void *value, size_t value_bytes,
               struct err *err)
{
    char key[KV_KEY_MAX_BYTES + ENTRY_NUMBER_DIGITS + 8];
    struct err failure = {0};
    enum journal_append_result result;

    entry_key(journal, journal->next_number, key);
    if (kv_cas(journal->kv, key, 0, value, value_bytes, NULL, &failure)) {
        journal->next_number++;
        return JOURNAL_APPENDED;
    }
    result = JOURNAL_IN_DOUBT;
    if (failure.kind == ERR_KV_CONFLICT || failure.kind == ERR_KV_DOWN) {
        result = resolve_append(journal, key, value, value_bytes, &failure);
    }
    if (result == JOURNAL_APPENDED) {
        journal->next_number++;
    }
    else if (err != NULL) {
        *err = failure;
    }
    return result;
}
