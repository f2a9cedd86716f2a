/**
 * DOC: Claim duty: at most one call is sent for each Idempotency-Key.
 *
 * The duty's thread takes asks from its ring, decides them on the claims that
 * a shard's journal gives, and appends new claims in batches. A claim counts
 * once its entry stands in the journal; who owns the shard only decides who
 * does the work.
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
    /* Messages taken before the shards are served again. */
    TICK_MESSAGES_MAX = 1024,
    EXPIRY_CHECK_INTERVAL_MS = 60000,
    /* Catch-up after a lost append, and the append itself. */
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
 * struct message - what the ring carries
 * @kind: which of the members below are valid
 * @request: of this instance's route duty
 * @record: of another member's ask or reply
 * @from: that member
 * @error: verdict of a reply
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

/* Time until something is due, for the wait on the ring. */
static int64_t
time_until_due_ms(const struct claim *claim, int64_t now_ms)
{
    int64_t due_ms = claim->expiry_check_at_ms;

    if (table_count(&claim->operations) > 0) {
        due_ms = MIN(due_ms, claim->deadline_check_at_ms);
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
 * claim_tick() - do everything that is due without waiting
 * @claim: the duty
 * @now_ms: present time
 * @wall_ms: milliseconds since 1970
 */
void
claim_tick(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    struct claim_message message;

    /* ring_pop() waits for the timer's slack even without a timeout. */
    for (int i = 0; i < TICK_MESSAGES_MAX && ring_count(&claim->ring) > 0;
         i++) {
        if (ring_pop(&claim->ring, &message, 0) == RING_OK) {
            handle_message(claim, &message, now_ms);
        }
    }
    claim_operations_check_deadlines(claim, now_ms);
    process_shards(claim, now_ms, wall_ms);
    remove_expired_claims(claim, now_ms, wall_ms);
}

/**
 * claim_shut_down() - end all claims and write the releases that are left
 * @claim: the duty
 * @now_ms: present time
 * @wall_ms: milliseconds since 1970
 *
 * The number of calls is bounded, and a failed call ends the attempt.
 */
void
claim_shut_down(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    claim_operations_shut_down(claim, now_ms);
    for (int step = 0; step < SHUTDOWN_PASSES; step++) {
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
 * claim_free() - release a duty that has stopped
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
    table_free_all(&claim->operations);
    ring_free(&claim->ring);
    free(claim);
}

static bool
init_members(struct claim *claim, struct err *err)
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
 * @kv: the key-value service
 * @self_id: id of this member
 * @port: the fleet and the route duty
 * @err: filled in on failure
 *
 * Return: the duty, or NULL with ERR_NO_MEMORY.
 */
struct claim *
claim_new(struct kv *kv, uint64_t self_id, struct claim_port *port,
          struct err *err)
{
    struct claim *claim = calloc(1, sizeof(*claim));

    if (claim == NULL) {
        err_set(err, ERR_NO_MEMORY, "claim duty");
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
    if (!init_members(claim, err)) {
        claim_free(claim);
        return NULL;
    }
    return claim;
}

/**
 * claim_duty() - the duty for the supervisor
 * @claim: the duty
 */
struct duty *
claim_duty(struct claim *claim)
{
    return &claim->duty;
}

/**
 * claim_post_request() - ask for a claim, from any thread
 * @claim: the duty
 * @request: the claim, copied
 * @err: filled in on failure
 *
 * The port gets one verdict, within 5 s unless the key-value service hangs.
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED; there is no verdict then.
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
 * claim_post_release() - give a claim back, from any thread
 * @claim: the duty
 * @request: the claim, copied; no target has been or will be sent the call
 * @err: filled in on failure
 *
 * A claim that has no verdict yet is ended with ERR_CLAIM_UNAVAILABLE.
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
 * claim_post_envelope() - hand over a message of another member
 * @claim: the duty
 * @envelope: ClaimAsk or ClaimReply; freed here when the function returns
 *            true
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
        return err_set(err, ERR_BAD_FRAME, "claim message of member %016lx",
                       (unsigned long)envelope->from);
    }
    if (!ring_push(&claim->ring, &message, err)) {
        return false;
    }
    turmeric__envelope__free_unpacked(envelope, NULL);
    return true;
}
