#ifndef CLAIM_DAT_H
#define CLAIM_DAT_H

enum {
    CLAIM_SHARDS = 8,
    CLAIM_KEY_MAX_BYTES = 255,
    CLAIM_OPAQUE_MAX = 200000,
};

enum claim_key_class { CLAIM_KEY_UUIDV7, CLAIM_KEY_OPAQUE };

/**
 * struct claim_request - a claim for one call
 * @call: the waiting call
 * @token: random, chosen once per call; repeats of the same ask carry it
 * @key_hash: hash of service and key
 * @key_class: whether the key carries its time
 * @key_time_ms: time in a UUIDv7 key, milliseconds since 1970
 */
struct claim_request {
    struct handle call;
    uint64_t token;
    unsigned char key_hash[16];
    enum claim_key_class key_class;
    int64_t key_time_ms;
};

/**
 * struct claim_verdict - answer to a claim
 * @call: the call that asked
 * @token: token of the ask
 * @kind: ERR_NONE when granted, else why not
 */
struct claim_result {
    struct handle call;
    uint64_t token;
    enum err_kind kind;
};

struct claim_port;

/**
 * struct claim_port_ops - what claims need from the fleet
 * @report_result: tells the route duty
 * @shard_owner: member that appends to a shard
 * @send: sends a message to a member; the envelope stays the caller's
 * @config_fresh: whether the configuration held is fresh enough to claim
 */
struct claim_port_ops {
    void (*report_result)(struct claim_port *port,
                          const struct claim_result *verdict);
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
    /* Bounds a busy owner's memory; 8 shards take 37 claims/s all day. */
    CLAIM_UUIDV7_MAX = 400000,
    /* Tokens whose late claims are still recognised as given back. */
    CLAIM_RELEASED_TOKENS_MAX = 4096,
    CLAIM_BATCH_RECORDS_MAX = 1024,
};

/**
 * struct claim_record - one claim or release in a shard's journal
 * @key_hash: hash of service and key
 * @token: token of the call
 * @key_time_ms: time in a UUIDv7 key
 * @key_class: whether the key carries its time
 * @release: gives the claim of the token back
 */
struct claim_record {
    unsigned char key_hash[CLAIM_HASH_BYTES];
    uint64_t token;
    int64_t key_time_ms;
    enum claim_key_class key_class;
    bool release;
};

/**
 * struct claim_batch - records that share an entry of the journal
 * @id: makes the entry differ from every other one
 * @records: owned when filled in by claim_batch_decode()
 * @count: number of records
 */
struct claim_batch {
    uint64_t id;
    struct claim_record *records;
    uint32_t count;
};

/**
 * struct claim_set - live claims of a shard, as its journal gives them
 * @live: struct claim_record by key hash
 * @released: tokens given back, at most CLAIM_RELEASED_TOKENS_MAX
 * @released_order: the same tokens, oldest first
 * @live_counts: live claims of each enum claim_key_class
 */
struct claim_set {
    struct _GHashTable *live;
    struct _GHashTable *released;
    struct _GQueue *released_order;
    uint32_t live_counts[2];
};

/**
 * enum claim_decision - what a record needs
 * @CLAIM_APPEND: must be appended before it counts
 * @CLAIM_IN_EFFECT: stands already
 * @CLAIM_REFUSED: can't be granted
 */
enum claim_decision { CLAIM_APPEND, CLAIM_IN_EFFECT, CLAIM_REFUSED };

struct kv;
struct journal;

/**
 * struct claim_store - a shard's journal and its base in the service
 * @kv: the service
 * @shard: number of the shard
 * @journal: entries after the base
 * @verified_next: entries below were in place when the base was last read
 * @snapshot_last: last entry that the base contains; 0 without a base
 * @pointer_revision: revision of the pointer to the base
 * @loaded: false when the set must be built again from the base
 * @append_unverified: an own entry was appended and the base not read since
 * @journal_bytes: length of the entries after the base, as far as read
 */
struct claim_store {
    struct kv *kv;
    int shard;
    struct journal *journal;
    int64_t verified_next;
    int64_t snapshot_last;
    int64_t pointer_revision;
    bool loaded;
    bool append_unverified;
    size_t journal_bytes;
};

/**
 * struct claim_shard - group commit of a shard
 * @set: the claims
 * @store: where they are kept
 * @queue: handles of asks that wait for a batch
 * @batch_operations: handles of the asks in the batch
 * @batch: records of the batch; none when no batch is under way
 * @encoded: the batch as written; repeats must write the same bytes
 * @encoded_bytes: length of @encoded
 * @next_append_at_ms: earliest time of the next append
 * @caught_up_at_ms: when @set was last known to be complete
 * @next_compaction_at_ms: earliest time of the next compaction
 * @failed: the last attempt to read or append failed
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
    bool failed;
};

/**
 * struct claim_ask - a claim or release that has no answer yet
 * @handle: handle of this ask
 * @call: the waiting call, when it is one of this instance
 * @record: what is asked for
 * @requester: member that asks; 0 for this instance
 * @deadline_ms: when the ask is given up
 * @resend_at_ms: when the owner is asked again
 * @unanswered_sends: messages to owners without a reply
 * @queued_locally: waits in this instance's queue of the shard
 * @in_batch: part of a batch that may have been written
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
 * @kv: the key-value service
 * @self_id: id of this member
 * @port: the fleet and the route duty
 * @ring: messages from other duties
 * @operations: struct claim_ask
 * @operations_by_token: asks by token; claims and releases apart
 * @shards: group commit of each shard
 * @batch_id_counter: source of batch ids
 * @kv_retry_at_ms: no call of the service before this time
 * @kv_retry_delay_ms: pause after the last failure; 0 while the service
 * answers
 * @deadline_check_at_ms: when the asks' deadlines are looked at
 * @expiry_check_at_ms: when expired claims are removed
 * @first_shard: shard that is served first in the next round
 *
 * Only the files of this folder use the members.
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
    int64_t deadline_check_at_ms;
    int64_t expiry_check_at_ms;
    int first_shard;
};

#endif
