#ifndef KV_FNS_H
#define KV_FNS_H

/* kv.c */
bool kv_get(struct kv *kv, const char *key, struct kv_entry *entry,
            struct err *err);
bool kv_range(struct kv *kv, const char *from, const char *end, int limit,
              struct kv_entries *entries, struct err *err);
bool kv_cas(struct kv *kv, const char *key, int64_t expected_revision,
            const void *value, size_t value_bytes, int64_t *revision,
            struct err *err);
bool kv_remove(struct kv *kv, const char *from, const char *end,
               struct err *err);
void kv_entry_free(struct kv_entry *entry);
void kv_entries_free(struct kv_entries *entries);

/* etcd.c */
void kv_etcd_init(struct kv_etcd *etcd, const char *url, int timeout_ms);

/* memory.c */
void kv_memory_init(struct kv_memory *memory);
void kv_memory_free(struct kv_memory *memory);

/* journal.c */
void journal_init(struct journal *journal, struct kv *kv, const char *prefix);
bool journal_read(struct journal *journal, int limit,
                  struct kv_entries *entries, struct err *err);
enum journal_append_result journal_append(struct journal *journal,
                                          const void *value,
                                          size_t value_bytes, struct err *err);

#endif
