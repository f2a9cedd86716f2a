/**
 * DOC: Claim duty: at most one call is sent for each Idempotency-Key.
 *
 * The duty's thread takes claims and releases from its ring, decides them by
 * the claims already in the shard's journal, and appends new ones in batches.
 * A claim takes effect when its entry is in the journal. Safety does not
 * depend on who owns a shard: ownership only selects the instance that
 * appends.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"

enum {
    RING_MESSAGES_MAX = 4096,
    OPERATIONS_MAX = 8192,
    /* Limits the messages that are handled before the shards are processed. */
    TICK_MESSAGES_MAX = 1024,
    EXPIRY_CHECK_INTERVAL_MS = 60000,
    /* Enough for a lost append, the catch-up after it and a new append. */
    SHUTDOWN_PASSES = 4,
    KEY_TIME_BITS = 48,
};

enum claim_message_kind {
    MESSAGE_CLAIM,
    MESSAGE_RELEASE,
    MESSAGE_PEER_REQUEST,
    MESSAGE_PEER_REPLY,
};

/**
 * struct claim_message - message on the duty's ring
 * @kind: selects the valid fields
 * @request: claim or release of this instance's route duty
 * @record: claim or release in a request or reply of another instance
 * @sender: id of that instance
 * @error: result in a reply
 */
struct claim_message {
    enum claim_message_kind kind;
    struct claim_request request;
    struct claim_record record;
    uint64_t sender;
    enum err_kind error;
};

static void
handle_message(struct claim *claim, const struct claim_message *message,
               int64_t now_ms)
{
    switch (message->kind) {
    case MESSAGE_CLAIM:
        claim_operation_open(claim, &message->request, false, now_ms);
        break;
    case MESSAGE_RELEASE:
        claim_operation_open(claim, &message->request, true, now_ms);
        break;
    case MESSAGE_PEER_REQUEST:
        claim_operation_open_remote(claim, message->sender, &message->record,
                                    now_ms);
        break;
    case MESSAGE_PEER_REPLY:
        claim_operation_handle_reply(claim, &message->record, message->error,
                                     now_ms);
        break;
    }
}

static void
remove_expired_claims(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    if (now_ms < claim->expiry_check_at_ms) {
        return;
    }
    claim->expiry_check_at_ms = now_ms + EXPIRY_CHECK_INTERVAL_MS;
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        claim_set_remove_expired(&claim->shards[i].set, wall_ms);
    }
}

static void
process_shards(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        int shard = (claim->first_shard + i) % CLAIM_SHARDS;

        claim_shard_process(claim, &claim->shards[shard], now_ms, wall_ms);
    }
    claim->first_shard = (claim->first_shard + 1) % CLAIM_SHARDS;
}

/* Timeout of the wait on the ring. */
static int64_t
time_until_due_ms(const struct claim *claim, int64_t now_ms)
{
    int64_t due_ms = claim->expiry_check_at_ms;

    if (table_count(&claim->operations) > 0) {
        due_ms = MIN(due_ms, claim->timer_check_at_ms);
    }
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        const struct claim_shard *shard = &claim->shards[i];

        if (claim_shard_has_work(shard)) {
            due_ms = MIN(due_ms,
                         MAX(shard->next_append_at_ms, claim->kv_retry_at_ms));
        }
    }
    return MAX(due_ms - now_ms, 0);
}

/**
 * claim_tick() - handle queued messages and do the work that is due
 * @claim: the duty
 * @now_ms: monotonic time
 * @wall_ms: milliseconds since 1970
 *
 * Does not wait for messages; calls to the key-value store block.
 */
void
claim_tick(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    struct claim_message message;

    /* ring_count() first: ring_pop() waits for the kernel's timer slack even
     * with a timeout of 0. */
    for (int i = 0; i < TICK_MESSAGES_MAX && ring_count(&claim->ring) > 0;
         i++) {
        if (ring_pop(&claim->ring, &message, 0) == RING_OK) {
            handle_message(claim, &message, now_ms);
        }
    }
    claim_operations_check_timers(claim, now_ms);
    process_shards(claim, now_ms, wall_ms);
    remove_expired_claims(claim, now_ms, wall_ms);
}

/**
 * claim_shut_down() - end all claims and write the remaining releases
 * @claim: the duty
 * @now_ms: monotonic time
 * @wall_ms: milliseconds since 1970
 *
 * The number of calls to the key-value store is bounded, and none is made
 * while the store is down.
 */
void
claim_shut_down(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    claim_operations_shut_down(claim, now_ms);
    for (int pass = 0; pass < SHUTDOWN_PASSES; pass++) {
        for (int i = 0; i < CLAIM_SHARDS && claim->kv_retry_delay_ms == 0;
             i++) {
            claim->shards[i].next_append_at_ms = now_ms;
            claim_shard_process(claim, &claim->shards[i], now_ms, wall_ms);
        }
    }
}

static bool
claim_run(struct duty *duty, struct err *err)
{
    struct claim *claim = (struct claim *)duty;
    struct claim_message message;
    enum ring_result result = RING_OK;

    (void)err;
    claim->batch_id_counter =
        hash_pair(claim->self_id, (uint64_t)clock_wall_ms());
    while (result != RING_CLOSED) {
        result = ring_pop(&claim->ring, &message,
                          time_until_due_ms(claim, clock_now_ms()));
        if (result == RING_OK) {
            handle_message(claim, &message, clock_now_ms());
        }
        claim_tick(claim, clock_now_ms(), clock_wall_ms());
    }
    claim_shut_down(claim, clock_now_ms(), clock_wall_ms());
    return true;
}

static void
claim_stop(struct duty *duty)
{
    ring_close(&((struct claim *)duty)->ring);
}

static const struct duty_ops claim_ops = {claim_run, claim_stop};

/**
 * claim_free() - free a stopped duty
 * @claim: the duty; may be NULL
 */
void
claim_free(struct claim *claim)
{
    if (claim == NULL) {
        return;
    }
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        claim_shard_free(&claim->shards[i]);
    }
    g_hash_table_unref(claim->operations_by_token[0]);
    g_hash_table_unref(claim->operations_by_token[1]);
    table_destroy(&claim->operations);
    ring_free(&claim->ring);
    free(claim);
}

static bool
init_tables(struct claim *claim, struct err *err)
{
    bool ok = true;

    claim->operations_by_token[0] =
        g_hash_table_new(g_int64_hash, g_int64_equal);
    claim->operations_by_token[1] =
        g_hash_table_new(g_int64_hash, g_int64_equal);
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        ok = claim_shard_init(&claim->shards[i], claim->kv, i, err) && ok;
    }
    return ok && table_init(&claim->operations, OPERATIONS_MAX,
                            sizeof(struct claim_operation), err);
}

/**
 * claim_new() - create the duty
 * @kv: the key-value store; must outlive the duty
 * @self_id: id of this instance
 * @port: callbacks to the other duties; must outlive the duty
 * @err: filled in on failure
 *
 * Return: the duty, to be freed by claim_free(), or NULL with ERR_NO_MEMORY.
 */
struct claim *
claim_new(struct kv *kv, uint64_t self_id, struct claim_port *port,
          struct err *err)
{
    struct claim *claim = calloc(1, sizeof(*claim));

    if (claim == NULL) {
        err_set(err, ERR_NO_MEMORY, "cannot allocate the claim duty");
        return NULL;
    }
    claim->duty.ops = &claim_ops;
    claim->duty.name = "claim";
    claim->kv = kv;
    claim->self_id = self_id;
    claim->port = port;
    if (!ring_init(&claim->ring, RING_MESSAGES_MAX,
                   sizeof(struct claim_message), err)) {
        free(claim);
        return NULL;
    }
    if (!init_tables(claim, err)) {
        claim_free(claim);
        return NULL;
    }
    return claim;
}

/**
 * claim_duty() - base object to be registered with the supervisor
 * @claim: the duty, which keeps ownership
 */
struct duty *
claim_duty(struct claim *claim)
{
    return &claim->duty;
}

/**
 * claim_post_request() - request a claim; callable from any thread
 * @claim: the duty
 * @request: the claim, copied
 * @err: filled in on failure
 *
 * The result is reported to the port once, within 5 s unless a call to the
 * key-value store hangs.
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED; no result is reported then.
 */
bool
claim_post_request(struct claim *claim, const struct claim_request *request,
                   struct err *err)
{
    struct claim_message message = {.kind = MESSAGE_CLAIM,
                                    .request = *request};

    return ring_push(&claim->ring, &message, err);
}

/**
 * claim_post_release() - release a claim; callable from any thread
 * @claim: the duty
 * @request: the claim, copied; the call must not have been sent to a target
 *           and must not be sent later
 * @err: filled in on failure
 *
 * A claim that is still in progress ends with ERR_CLAIM_UNAVAILABLE.
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
claim_post_release(struct claim *claim, const struct claim_request *request,
                   struct err *err)
{
    struct claim_message message = {.kind = MESSAGE_RELEASE,
                                    .request = *request};

    return ring_push(&claim->ring, &message, err);
}

static bool
decode_key_hash(const ProtobufCBinaryData *data, struct claim_record *record)
{
    if (data->len != CLAIM_HASH_BYTES) {
        return false;
    }
    memcpy(record->key_hash, data->data, CLAIM_HASH_BYTES);
    return true;
}

static bool
decode_claim_ask(const Turmeric__ClaimAsk *ask, struct claim_record *record)
{
    if (!decode_key_hash(&ask->key_hash, record)) {
        return false;
    }
    record->token = ask->token;
    record->key_class = (enum claim_key_class)ask->key_class;
    record->key_time_ms = ask->key_time_ms;
    record->release = ask->release;
    return ask->key_class <= CLAIM_KEY_OPAQUE && ask->key_time_ms >= 0 &&
           ask->key_time_ms < (int64_t)1 << KEY_TIME_BITS &&
           ask->shard == (uint32_t)claim_shard_of(record->key_hash);
}

static bool
decode_claim_reply(const Turmeric__ClaimReply *reply,
                   struct claim_message *message)
{
    message->record.token = reply->token;
    message->record.release = reply->release;
    message->error = (enum err_kind)reply->error;
    return decode_key_hash(&reply->key_hash, &message->record) &&
           reply->error < ERR_KIND_COUNT;
}

static bool
decode_envelope(const Turmeric__Envelope *envelope,
                struct claim_message *message)
{
    message->sender = envelope->from;
    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_CLAIM_ASK:
        message->kind = MESSAGE_PEER_REQUEST;
        return envelope->from != 0 &&
               decode_claim_ask(envelope->claim_ask, &message->record);
    case TURMERIC__ENVELOPE__BODY_CLAIM_REPLY:
        message->kind = MESSAGE_PEER_REPLY;
        return decode_claim_reply(envelope->claim_reply, message);
    default:
        return false;
    }
}

/**
 * claim_post_envelope() - post a message of another instance
 * @claim: the duty
 * @envelope: ClaimAsk or ClaimReply; freed when the function returns true,
 *            else still the caller's
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_FRAME, ERR_RING_FULL or ERR_STOPPED.
 */
bool
claim_post_envelope(struct claim *claim, Turmeric__Envelope *envelope,
                    struct err *err)
{
    struct claim_message message = {0};

    if (!decode_envelope(envelope, &message)) {
        return err_set(err, ERR_BAD_FRAME,
                       "malformed claim message from instance %016lx",
                       (unsigned long)envelope->from);
    }
    if (!ring_push(&claim->ring, &message, err)) {
        return false;
    }
    turmeric__envelope__free_unpacked(envelope, NULL);
    return true;
}
