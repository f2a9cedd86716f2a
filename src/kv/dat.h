#ifndef KV_DAT_H
#define KV_DAT_H

enum { KV_KEY_MAX_BYTES = 200, KV_VALUE_MAX_BYTES = 1024 * 1024 };

/**
 * struct kv_entry - one key with its value
 * @key: the key
 * @value: owned by the entry; followed by a NUL byte
 * @value_bytes: length of @value without the NUL byte
 * @revision: store revision of the last write; 0 when the key is absent
 */
struct kv_entry {
    char key[KV_KEY_MAX_BYTES];
    char *value;
    size_t value_bytes;
    int64_t revision;
};

/**
 * struct kv_entries - result of a range read, sorted by key
 * @items: owned; released by kv_entries_free()
 * @count: number of items
 * @more: the limit was reached and the range has further keys
 */
struct kv_entries {
    struct kv_entry *items;
    int count;
    bool more;
};

struct kv;

/**
 * struct kv_ops - interface of a key-value store with compare-and-swap
 * @get: reads one key; succeeds with revision 0 when the key is absent
 * @range: reads the keys from @from up to but not including @end
 * @cas: writes @key if it has the revision @expected_revision; 0: if absent
 * @remove: deletes the keys from @from up to but not including @end
 *
 * Calls block for at most the adapter's timeout and may be made from any
 * thread. A failed cas has kind ERR_KV_CONFLICT when the store reported a
 * conflict, and ERR_KV_DOWN when there was no valid response: the write may
 * then have taken effect or may still do so.
 */
struct kv_ops {
    bool (*get)(struct kv *kv, const char *key, struct kv_entry *entry,
                struct err *err);
    bool (*range)(struct kv *kv, const char *from, const char *end, int limit,
                  struct kv_entries *entries, struct err *err);
    bool (*cas)(struct kv *kv, const char *key, int64_t expected_revision,
                const void *value, size_t value_bytes, int64_t *revision,
                struct err *err);
    bool (*remove)(struct kv *kv, const char *from, const char *end,
                   struct err *err);
};

struct kv {
    const struct kv_ops *ops;
};

/**
 * struct kv_etcd - adapter for the etcd v3 JSON gateway
 * @kv: interface; first member
 * @url: base URL of the gateway
 * @timeout_ms: timeout of a call, rounded up to whole seconds
 */
struct kv_etcd {
    struct kv kv;
    char url[ADDRESS_MAX_BYTES];
    int timeout_ms;
};

/**
 * struct kv_memory - in-memory store for tests
 * @kv: interface; first member
 * @lock: protects the members below
 * @entries: GTree of the stored values by key
 * @revision: revision of the last write
 * @fail_calls: number of next calls that fail with ERR_KV_DOWN without effect
 * @lose_responses: number of next writes that take effect but fail with
 *                  ERR_KV_DOWN
 * @writes: number of cas and remove calls
 * @reads: number of get and range calls
 */
struct kv_memory {
    struct kv kv;
    pthread_mutex_t lock;
    void *entries;
    int64_t revision;
    int fail_calls;
    int lose_responses;
    int writes;
    int reads;
};

/**
 * struct journal - consecutively numbered entries under a key prefix
 * @kv: store of the entries; not owned
 * @prefix: key prefix without the trailing slash
 * @next_number: number of the first entry not read yet; the first entry has 1
 */
struct journal {
    struct kv *kv;
    char prefix[KV_KEY_MAX_BYTES];
    int64_t next_number;
};

enum journal_append_result {
    JOURNAL_APPENDED,
    JOURNAL_CONFLICT,
    JOURNAL_IN_DOUBT,
};

#endif
