#ifndef CLAIM_FNS_H
#define CLAIM_FNS_H

struct claim *claim_new(struct kv *kv, uint64_t self_id,
                        struct claim_port *port, struct err *err);
void claim_free(struct claim *claim);
struct duty *claim_duty(struct claim *claim);
bool claim_post_request(struct claim *claim,
                        const struct claim_request *request, struct err *err);
bool claim_post_release(struct claim *claim,
                        const struct claim_request *request, struct err *err);
/* Takes ownership of the envelope only when it returns true. */
bool claim_post_envelope(struct claim *claim, Turmeric__Envelope *envelope,
                         struct err *err);

/* claim.c: parts of the duty's loop that tests call directly. */
void claim_tick(struct claim *claim, int64_t now_ms, int64_t wall_ms);
void claim_shut_down(struct claim *claim, int64_t now_ms, int64_t wall_ms);

/* key.c: parsing of Idempotency-Key values; pure functions. */
bool claim_key_parse(const char *service, const char *key, int64_t wall_ms,
                     struct claim_request *request, struct err *err);

/* set.c: claims of a shard and the encoding of batches; pure functions. */
int claim_shard_of(const unsigned char key_hash[CLAIM_HASH_BYTES]);
bool claim_key_time_expired(int64_t key_time_ms, int64_t wall_ms);
void claim_set_init(struct claim_set *set);
void claim_set_free(struct claim_set *set);
void claim_set_clear(struct claim_set *set);
enum claim_decision claim_set_decide(const struct claim_set *set,
                                     const struct claim_record *record,
                                     int64_t wall_ms, enum err_kind *kind);
void claim_set_apply(struct claim_set *set, const struct claim_record *record);
uint32_t claim_set_remove_expired(struct claim_set *set, int64_t wall_ms);
struct claim_record *claim_set_export(const struct claim_set *set,
                                      uint32_t *count);
size_t claim_batch_bytes(uint32_t count);
void claim_batch_encode(const struct claim_batch *batch, unsigned char *out);
bool claim_batch_decode(const void *data, size_t bytes,
                        struct claim_batch *batch, struct err *err);
void claim_batch_free(struct claim_batch *batch);

/* store.c: journal and snapshot of a shard. */
bool claim_store_init(struct claim_store *store, struct kv *kv, int shard,
                      struct err *err);
void claim_store_free(struct claim_store *store);
bool claim_store_catch_up(struct claim_store *store, struct claim_set *set,
                          struct err *err);
enum journal_append_result claim_store_append(struct claim_store *store,
                                              const void *value, size_t bytes,
                                              struct err *err);
bool claim_store_needs_compaction(const struct claim_store *store);
bool claim_store_compact(struct claim_store *store,
                         const struct claim_set *set, uint64_t id,
                         struct err *err);

/* commit.c: group commit of a shard. */
bool claim_shard_init(struct claim_shard *shard, struct kv *kv,
                      int shard_number, struct err *err);
void claim_shard_free(struct claim_shard *shard);
bool claim_shard_has_work(const struct claim_shard *shard);
void claim_shard_process(struct claim *claim, struct claim_shard *shard,
                         int64_t now_ms, int64_t wall_ms);

/* operation.c: claims and releases in progress. */
void claim_operation_open(struct claim *claim,
                          const struct claim_request *request, bool release,
                          int64_t now_ms);
void claim_operation_open_remote(struct claim *claim, uint64_t requester,
                                 const struct claim_record *record,
                                 int64_t now_ms);
void claim_operation_handle_reply(struct claim *claim,
                                  const struct claim_record *record,
                                  enum err_kind kind, int64_t now_ms);
void claim_operation_finish(struct claim *claim,
                            struct claim_operation *operation,
                            enum err_kind kind, int64_t now_ms);
void claim_operation_enqueue(struct claim *claim,
                             struct claim_operation *operation);
void claim_operations_check_timers(struct claim *claim, int64_t now_ms);
void claim_operations_shut_down(struct claim *claim, int64_t now_ms);

#endif
