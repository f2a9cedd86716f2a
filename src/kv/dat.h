#ifndef KV_DAT_H
#define KV_DAT_H

enum { KV_KEY_MAX_BYTES = 200, KV_VALUE_MAX_BYTES = 1024 * 1024 };

/**
 * struct kv_entry - one key with its value
 * @key: the key
 * @value: owned by the entry; always followed by a NUL byte
 * @value_bytes: length of the value
 * @revision: changes with each write; 0 when the key is absent
 */
struct kv_entry {
    char key[KV_KEY_MAX_BYTES];
    char *value;
    size_t value_bytes;
    int64_t revision;
};

/**
 * struct kv_entries - result of a range read, in order of the keys
 * @items: owned; released by kv_entries_free()
 * @count: number of items
 * @more: the limit cut the range short
 */
struct kv_entries {
    struct kv_entry *items;
    int count;
    bool more;
};

struct kv;

/**
 * struct kv_ops - a key-value service with compare-and-swap
 * @get: reads one key; an absent key is success with revision 0
 * @range: reads keys from @from up to but not including @end
 * @cas: writes @key if its revision is still @expected (0: absent)
 * @remove: deletes keys from @from up to but not including @end
 *
 * All calls block for at most the adapter's timeout and may be made from
 * any thread. A failed cas has kind ERR_KV_CONFLICT when the service said so,
 * and ERR_KV_DOWN when it did not answer: the write may then have taken
 * effect, at once or a little later.
 */
struct kv_ops {
    bool (*get)(struct kv *kv, const char *key, struct kv_entry *entry,
                struct err *err);
    bool (*range)(struct kv *kv, const char *from, const char *end, int limit,
                  struct kv_entries *entries, struct err *err);
    bool (*cas)(struct kv *kv, const char *key, int64_t expected,
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
 * @kv: first member
 * @url: base URL
 * @timeout_ms: longest wait of a call
 */
struct kv_etcd {
    struct kv kv;
    char url[ADDRESS_MAX_BYTES];
    int timeout_ms;
};

/**
 * struct kv_memory - adapter in memory, for tests
 * @kv: first member
 * @fail_calls: the next calls fail with ERR_KV_DOWN without effect
 * @lose_answers: the next writes take effect and fail with ERR_KV_DOWN
 */
struct kv_memory {
    struct kv kv;
    pthread_mutex_t lock;
    void *entries;
    int64_t revision;
    int fail_calls;
    int lose_answers;
    int writes;
    int reads;
};

/**
 * struct journal - consecutive entries under a prefix of the service
 * @kv: where it lives
 * @prefix: key prefix without the trailing slash
 * @next: number of the first entry not read yet; entries start at 1
 */
struct journal {
    struct kv *kv;
    char prefix[KV_KEY_MAX_BYTES];
    int64_t next;
};

enum journal_append_result {
    JOURNAL_APPENDED,
    JOURNAL_TAKEN,
    JOURNAL_UNKNOWN,
};

#endif
