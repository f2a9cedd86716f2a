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

/**
 * struct claim - duty that appends claims to the shards' journals
 */
struct claim;

#endif
