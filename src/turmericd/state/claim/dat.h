#ifndef CLAIM_DAT_H
#define CLAIM_DAT_H

enum {
    CLAIM_SHARDS = 8,
    CLAIM_KEY_MAX_BYTES = 255,
    CLAIM_OPAQUE_MAX = 200000,
};

enum claim_key_class { CLAIM_KEY_UUIDV7, CLAIM_KEY_OPAQUE };

/**
 * struct claim_request - claim of an idempotency key for one call
 * @call: call that waits for the result
 * @token: random, chosen once per call; retries carry the same token
 * @key_hash: hash of service and key
 * @key_class: whether the key contains a timestamp
 * @key_time_ms: timestamp of a UUIDv7 key, milliseconds since 1970; else 0
 */
struct claim_request {
    struct handle call;
    uint64_t token;
    unsigned char key_hash[16];
    enum claim_key_class key_class;
    int64_t key_time_ms;
};

/**
 * struct claim_result - outcome of a claim request
 * @call: call that made the request
 * @token: token of the request
 * @kind: ERR_NONE when the claim was granted, else the reason for the refusal
 */
struct claim_result {
    struct handle call;
    uint64_t token;
    enum err_kind kind;
};

struct claim_port;

/**
 * struct claim_port_ops - functions that the claim duty needs from others
 * @report_result: passes a result to the route duty, which copies it
 * @shard_owner: id of the instance that appends to a shard, 0 if none is known
 * @send: sends a message to another instance; the claim duty keeps ownership
 *        of the envelope; false when it was not sent
 * @config_fresh: whether the current configuration is recent enough to claim
 */
struct claim_port_ops {
    void (*report_result)(struct claim_port *port,
                          const struct claim_result *result);
    uint64_t (*shard_owner)(struct claim_port *port, int shard);
    bool (*send)(struct claim_port *port, uint64_t instance_id,
                 Turmeric__Envelope *envelope);
    bool (*config_fresh)(struct claim_port *port);
};

struct claim_port {
    const struct claim_port_ops *ops;
};

enum {
    CLAIM_HASH_BYTES = 16,
    /* Limits the memory of an instance that owns busy shards. 8 shards hold
     * the claims of 24 h at 37 claims/s. */
    CLAIM_UUIDV7_MAX = 400000,
    /* A claim that arrives after its release is refused only while its token
     * is among the last released ones. */
    CLAIM_RELEASED_TOKENS_MAX = 4096,
    CLAIM_BATCH_RECORDS_MAX = 1024,
};

/**
 * struct claim_record - one claim or release in a shard's journal
 * @key_hash: hash of service and key
 * @token: token of the call
 * @key_time_ms: timestamp of a UUIDv7 key, milliseconds since 1970
 * @key_class: whether the key contains a timestamp
 * @release: releases the claim of the token instead of claiming the key
 */
struct claim_record {
    unsigned char key_hash[CLAIM_HASH_BYTES];
    uint64_t token;
    int64_t key_time_ms;
    enum claim_key_class key_class;
    bool release;
};

/**
 * struct claim_batch - records that are written as one journal entry
 * @id: unique, so that no two entries have the same bytes
 * @records: owned when filled in by claim_batch_decode()
 * @count: number of records
 */
struct claim_batch {
    uint64_t id;
    struct claim_record *records;
    uint32_t count;
};

/**
 * struct claim_set - claims of a shard, built from its journal
 * @live: claims that were not released, struct claim_record by key hash
 * @released_tokens: tokens of the last releases, at most
 *                   CLAIM_RELEASED_TOKENS_MAX
 * @released_token_order: the same tokens, oldest first
 * @live_counts: number of live claims by enum claim_key_class
 */
struct claim_set {
    struct _GHashTable *live;
    struct _GHashTable *released_tokens;
    struct _GQueue *released_token_order;
    uint32_t live_counts[2];
};

/**
 * enum claim_decision - what to do with a claim or release
 * @CLAIM_APPEND: append it to the journal; it takes effect then
 * @CLAIM_IN_EFFECT: nothing, the journal already contains it
 * @CLAIM_REFUSED: refuse it
 */
enum claim_decision { CLAIM_APPEND, CLAIM_IN_EFFECT, CLAIM_REFUSED };

struct kv;
struct journal;

/**
 * struct claim_store - journal and snapshot of a shard in the key-value store
 * @kv: the key-value store
 * @shard: number of the shard
 * @journal: entries after the snapshot
 * @verified_next: number after the last entry that was verified against the
 *                 snapshot pointer
 * @snapshot_last: number of the last entry that the snapshot contains; 0
 *                 without a snapshot
 * @pointer_revision: revision of the snapshot pointer's key
 * @set_valid: false when the set must be rebuilt from the snapshot
 * @append_unverified: an entry was appended here and the snapshot pointer not
 *                     read since
 * @journal_bytes: total length of the entries read after the snapshot
 */
struct claim_store {
    struct kv *kv;
    int shard;
    struct journal *journal;
    int64_t verified_next;
    int64_t snapshot_last;
    int64_t pointer_revision;
    bool set_valid;
    bool append_unverified;
    size_t journal_bytes;
};

/**
 * struct claim_shard - group commit of a shard
 * @set: claims of the shard
 * @store: journal and snapshot of the shard
 * @queue: handles of the operations that wait for a batch
 * @batch_operations: handles of the operations in @batch
 * @batch_records: records of @batch
 * @batch: batch that is being appended; empty when there is none
 * @encoded: @batch as written; a retry must write the same bytes
 * @encoded_bytes: length of @encoded
 * @next_append_at_ms: no read or append before this time
 * @caught_up_at_ms: when @set was last known to contain the whole journal
 * @next_compaction_at_ms: no compaction before this time
 * @kv_failing: the last attempt to read or append failed
 */
struct claim_shard {
    struct claim_set set;
    struct claim_store store;
    struct _GArray *queue;
    struct handle batch_operations[CLAIM_BATCH_RECORDS_MAX];
    struct claim_record batch_records[CLAIM_BATCH_RECORDS_MAX];
    struct claim_batch batch;
    unsigned char *encoded;
    size_t encoded_bytes;
    int64_t next_append_at_ms;
    int64_t caught_up_at_ms;
    int64_t next_compaction_at_ms;
    bool kv_failing;
};

/**
 * struct claim_operation - claim or release in progress
 * @handle: handle of this operation
 * @call: call that waits for the result of a claim of this instance
 * @record: the claim or release
 * @requester: id of the instance that requested it; 0 for this instance
 * @deadline_ms: when it times out; a release of this instance never does
 * @resend_at_ms: when the request is sent to the shard's owner again
 * @unanswered_sends: number of requests sent to owners without a reply
 * @queued_locally: is in this instance's queue of the shard
 * @in_batch: is part of a batch that may have been written
 */
struct claim_operation {
    struct handle handle;
    struct handle call;
    struct claim_record record;
    uint64_t requester;
    int64_t deadline_ms;
    int64_t resend_at_ms;
    uint32_t unanswered_sends;
    bool queued_locally;
    bool in_batch;
};

/**
 * struct claim - duty that appends claims to the shards' journals
 * @duty: first member
 * @kv: the key-value store
 * @self_id: id of this instance
 * @port: callbacks to the other duties
 * @ring: messages from other threads
 * @operations: table of struct claim_operation
 * @operations_by_token: operations by token; claims at 0, releases at 1
 * @shards: group commit of each shard
 * @batch_id_counter: hashed into the ids of batches and compactions
 * @kv_retry_at_ms: no call to the key-value store before this time
 * @kv_retry_delay_ms: delay after the last failed call; 0 after a success
 * @timer_check_at_ms: when the operations' timers are checked next
 * @expiry_check_at_ms: when expired claims are removed next
 * @first_shard: shard that the next tick processes first
 *
 * Private: only the files of this folder access the fields.
 */
struct claim {
    struct duty duty;
    struct kv *kv;
    uint64_t self_id;
    struct claim_port *port;
    struct ring ring;
    struct table operations;
    struct _GHashTable *operations_by_token[2];
    struct claim_shard shards[CLAIM_SHARDS];
    uint64_t batch_id_counter;
    int64_t kv_retry_at_ms;
    int64_t kv_retry_delay_ms;
    int64_t timer_check_at_ms;
    int64_t expiry_check_at_ms;
    int first_shard;
};

#endif
