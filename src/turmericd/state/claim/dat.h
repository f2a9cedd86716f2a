#ifndef CLAIM_DAT_H
#define CLAIM_DAT_H

enum {
    CLAIM_SHARDS = 8,
    CLAIM_KEY_MAX_BYTES = 255,
    CLAIM_OPAQUE_MAX = 200000,
};

enum claim_class { CLAIM_UUIDV7, CLAIM_OPAQUE };

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
    enum claim_class key_class;
    int64_t key_time_ms;
};

/**
 * struct claim_verdict - answer to a claim
 * @call: the call that asked
 * @token: token of the ask
 * @kind: ERR_NONE when granted, else why not
 */
struct claim_verdict {
    struct handle call;
    uint64_t token;
    enum err_kind kind;
};

struct claim_port;

/**
 * struct claim_port_ops - what claims need from the fleet
 * @verdict: tells the route duty
 * @owner: member that appends to a shard
 * @send: sends a message to a member; the envelope stays the caller's
 * @fresh: whether the configuration held is fresh enough to claim
 */
struct claim_port_ops {
    void (*verdict)(struct claim_port *port,
                    const struct claim_verdict *verdict);
    uint64_t (*owner)(struct claim_port *port, int shard);
    bool (*send)(struct claim_port *port, uint64_t member,
                 Turmeric__Envelope *envelope);
    bool (*fresh)(struct claim_port *port);
};

struct claim_port {
    const struct claim_port_ops *ops;
};

enum {
    CLAIM_HASH_BYTES = 16,
    /* Bounds a busy owner's memory; 8 shards take 37 claims/s all day. */
    CLAIM_TIMED_MAX = 400000,
    /* Tokens whose late claims are still recognised as given back. */
    CLAIM_RELEASED_MAX = 4096,
    CLAIM_BATCH_MAX = 1024,
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
    enum claim_class key_class;
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
 * @released: tokens given back, at most CLAIM_RELEASED_MAX
 * @release_order: the same tokens, oldest first
 * @counts: live claims of each enum claim_class
 */
struct claim_set {
    struct _GHashTable *live;
    struct _GHashTable *released;
    struct _GQueue *release_order;
    uint32_t counts[2];
};

/**
 * enum claim_decision - what a record needs
 * @CLAIM_APPEND: must be appended before it counts
 * @CLAIM_HELD: stands already
 * @CLAIM_REFUSED: can't be granted
 */
enum claim_decision { CLAIM_APPEND, CLAIM_HELD, CLAIM_REFUSED };

struct kv;
struct journal;

/**
 * struct claim_store - a shard's journal and its base in the service
 * @kv: the service
 * @shard: number of the shard
 * @journal: entries after the base
 * @trusted: entries below were in place when the base was last read
 * @base: last entry that the base contains; 0 without a base
 * @base_revision: revision of the pointer to the base
 * @loaded: false when the set must be built again from the base
 * @unchecked: an own entry was appended and the base not read since
 * @bytes: length of the entries after the base, as far as read
 */
struct claim_store {
    struct kv *kv;
    int shard;
    struct journal *journal;
    int64_t trusted;
    int64_t base;
    int64_t base_revision;
    bool loaded;
    bool unchecked;
    size_t bytes;
};

/**
 * struct claim_shard - group commit of a shard
 * @set: the claims
 * @store: where they are kept
 * @queue: handles of asks that wait for a batch
 * @staged: handles of the asks in the batch
 * @batch: records of the batch; none when no batch is under way
 * @encoded: the batch as written; repeats must write the same bytes
 * @encoded_bytes: length of @encoded
 * @not_before_ms: earliest time of the next append
 * @confirmed_ms: when @set was last known to be complete
 * @compact_at_ms: earliest time of the next compaction
 * @failed: the last attempt to read or append failed
 */
struct claim_shard {
    struct claim_set set;
    struct claim_store store;
    struct _GArray *queue;
    struct handle staged[CLAIM_BATCH_MAX];
    struct claim_record records[CLAIM_BATCH_MAX];
    struct claim_batch batch;
    unsigned char *encoded;
    size_t encoded_bytes;
    int64_t not_before_ms;
    int64_t confirmed_ms;
    int64_t compact_at_ms;
    bool failed;
};

/**
 * struct claim_ask - a claim or release that has no answer yet
 * @self: handle of this ask
 * @call: the waiting call, when it is one of this instance
 * @record: what is asked for
 * @from: member that asks; 0 for this instance
 * @deadline_ms: when the ask is given up
 * @resend_at_ms: when the owner is asked again
 * @unanswered: messages to owners without a reply
 * @here: waits in this instance's queue of the shard
 * @staged: part of a batch that may have been written
 */
struct claim_ask {
    struct handle self;
    struct handle call;
    struct claim_record record;
    uint64_t from;
    int64_t deadline_ms;
    int64_t resend_at_ms;
    uint32_t unanswered;
    bool here;
    bool staged;
};

/**
 * struct claim - duty that appends claims to the shards' journals
 * @duty: first member
 * @kv: the key-value service
 * @self: id of this member
 * @port: the fleet and the route duty
 * @ring: messages from other duties
 * @asks: struct claim_ask
 * @by_token: asks by token; claims and releases apart
 * @shards: group commit of each shard
 * @ids: source of batch ids
 * @kv_retry_at_ms: no call of the service before this time
 * @kv_delay_ms: pause after the last failure; 0 while the service answers
 * @scan_at_ms: when the asks' deadlines are looked at
 * @expire_at_ms: when expired claims are removed
 * @first_shard: shard that is served first in the next round
 *
 * Only the files of this folder use the members.
 */
struct claim {
    struct duty duty;
    struct kv *kv;
    uint64_t self;
    struct claim_port *port;
    struct ring ring;
    struct table asks;
    struct _GHashTable *by_token[2];
    struct claim_shard shards[CLAIM_SHARDS];
    uint64_t ids;
    int64_t kv_retry_at_ms;
    int64_t kv_delay_ms;
    int64_t scan_at_ms;
    int64_t expire_at_ms;
    int first_shard;
};

#endif
