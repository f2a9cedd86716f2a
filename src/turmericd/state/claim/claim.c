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
    RING_MESSAGES = 4096,
    ASKS_MAX = 8192,
    /* Messages taken before the shards are served again. */
    ROUND_MESSAGES = 1024,
    EXPIRE_INTERVAL_MS = 60000,
    /* Catch-up after a lost append, and the append itself. */
    STOP_STEPS = 4,
    KEY_TIME_BITS = 48,
};

enum message_kind {
    MESSAGE_REQUEST,
    MESSAGE_RELEASE,
    MESSAGE_ASK,
    MESSAGE_REPLY,
};

/**
 * struct message - what the ring carries
 * @kind: which of the members below are valid
 * @request: of this instance's route duty
 * @record: of another member's ask or reply
 * @from: that member
 * @error: verdict of a reply
 */
struct message {
    enum message_kind kind;
    struct claim_request request;
    struct claim_record record;
    uint64_t from;
    enum err_kind error;
};

static void
take_message(struct claim *claim, const struct message *message,
             int64_t now_ms)
{
    switch (message->kind) {
    case MESSAGE_REQUEST:
        claim_ask_open(claim, &message->request, false, now_ms);
        break;
    case MESSAGE_RELEASE:
        claim_ask_open(claim, &message->request, true, now_ms);
        break;
    case MESSAGE_ASK:
        claim_ask_open_for(claim, message->from, &message->record, now_ms);
        break;
    case MESSAGE_REPLY:
        claim_ask_reply(claim, &message->record, message->error, now_ms);
        break;
    }
}

static void
expire_claims(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    if (now_ms < claim->expire_at_ms) {
        return;
    }
    claim->expire_at_ms = now_ms + EXPIRE_INTERVAL_MS;
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        claim_set_expire(&claim->shards[i].set, wall_ms);
    }
}

static void
serve_shards(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        int number = (claim->first_shard + i) % CLAIM_SHARDS;

        claim_shard_step(claim, &claim->shards[number], now_ms, wall_ms);
    }
    claim->first_shard = (claim->first_shard + 1) % CLAIM_SHARDS;
}

/* Time until something is due, for the wait on the ring. */
static int64_t
wait_ms(const struct claim *claim, int64_t now_ms)
{
    int64_t due_ms = claim->expire_at_ms;

    if (table_count(&claim->asks) > 0) {
        due_ms = MIN(due_ms, claim->scan_at_ms);
    }
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        const struct claim_shard *shard = &claim->shards[i];

        if (claim_shard_busy(shard)) {
            due_ms =
                MIN(due_ms, MAX(shard->not_before_ms, claim->kv_retry_at_ms));
        }
    }
    return MAX(due_ms - now_ms, 0);
}

/**
 * claim_round() - do everything that is due without waiting
 * @claim: the duty
 * @now_ms: present time
 * @wall_ms: milliseconds since 1970
 */
void
claim_round(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    struct message message;

    /* ring_pop() waits for the timer's slack even without a timeout. */
    for (int i = 0; i < ROUND_MESSAGES && ring_count(&claim->ring) > 0; i++) {
        if (ring_pop(&claim->ring, &message, 0) == RING_OK) {
            take_message(claim, &message, now_ms);
        }
    }
    claim_asks_scan(claim, now_ms);
    serve_shards(claim, now_ms, wall_ms);
    expire_claims(claim, now_ms, wall_ms);
}

/**
 * claim_drain() - end all claims and write the releases that are left
 * @claim: the duty
 * @now_ms: present time
 * @wall_ms: milliseconds since 1970
 *
 * The number of calls is bounded, and a failed call ends the attempt.
 */
void
claim_drain(struct claim *claim, int64_t now_ms, int64_t wall_ms)
{
    claim_asks_close(claim, now_ms);
    for (int step = 0; step < STOP_STEPS; step++) {
        for (int i = 0; i < CLAIM_SHARDS && claim->kv_delay_ms == 0; i++) {
            claim->shards[i].not_before_ms = now_ms;
            claim_shard_step(claim, &claim->shards[i], now_ms, wall_ms);
        }
    }
}

static bool
claim_run(struct duty *duty, struct err *err)
{
    struct claim *claim = (struct claim *)duty;
    struct message message;
    enum ring_result result = RING_OK;

    (void)err;
    claim->ids = hash_pair(claim->self, (uint64_t)clock_wall_ms());
    while (result != RING_CLOSED) {
        result =
            ring_pop(&claim->ring, &message, wait_ms(claim, clock_now_ms()));
        if (result == RING_OK) {
            take_message(claim, &message, clock_now_ms());
        }
        claim_round(claim, clock_now_ms(), clock_wall_ms());
    }
    claim_drain(claim, clock_now_ms(), clock_wall_ms());
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
    g_hash_table_unref(claim->by_token[0]);
    g_hash_table_unref(claim->by_token[1]);
    table_free_all(&claim->asks);
    ring_free(&claim->ring);
    free(claim);
}

static bool
init_parts(struct claim *claim, struct err *err)
{
    bool done = true;

    claim->by_token[0] = g_hash_table_new(g_int64_hash, g_int64_equal);
    claim->by_token[1] = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        done = claim_shard_init(&claim->shards[i], claim->kv, i, err) && done;
    }
    return done &&
           table_init(&claim->asks, ASKS_MAX, sizeof(struct claim_ask), err);
}

/**
 * claim_new() - create the duty
 * @kv: the key-value service
 * @self: id of this member
 * @port: the fleet and the route duty
 * @err: filled in on failure
 *
 * Return: the duty, or NULL with ERR_NO_MEMORY.
 */
struct claim *
claim_new(struct kv *kv, uint64_t self, struct claim_port *port,
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
    claim->self = self;
    claim->port = port;
    if (!ring_init(&claim->ring, RING_MESSAGES, sizeof(struct message), err)) {
        free(claim);
        return NULL;
    }
    if (!init_parts(claim, err)) {
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
    struct message message = {.kind = MESSAGE_REQUEST, .request = *request};

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
    struct message message = {.kind = MESSAGE_RELEASE, .request = *request};

    return ring_push(&claim->ring, &message, err);
}

static bool
read_hash(const ProtobufCBinaryData *data, struct claim_record *record)
{
    if (data->len != CLAIM_HASH_BYTES) {
        return false;
    }
    memcpy(record->key_hash, data->data, CLAIM_HASH_BYTES);
    return true;
}

static bool
read_ask(const Turmeric__ClaimAsk *ask, struct claim_record *record)
{
    if (!read_hash(&ask->key_hash, record)) {
        return false;
    }
    record->token = ask->token;
    record->key_class = (enum claim_class)ask->key_class;
    record->key_time_ms = ask->key_time_ms;
    record->release = ask->release;
    return ask->key_class <= CLAIM_OPAQUE && ask->key_time_ms >= 0 &&
           ask->key_time_ms < (int64_t)1 << KEY_TIME_BITS &&
           ask->shard == (uint32_t)claim_shard_of(record->key_hash);
}

static bool
read_reply(const Turmeric__ClaimReply *reply, struct message *message)
{
    message->record.token = reply->token;
    message->record.release = reply->release;
    message->error = (enum err_kind)reply->error;
    return read_hash(&reply->key_hash, &message->record) &&
           reply->error < ERR_KIND_COUNT;
}

static bool
read_envelope(const Turmeric__Envelope *envelope, struct message *message)
{
    message->from = envelope->from;
    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_CLAIM_ASK:
        message->kind = MESSAGE_ASK;
        return envelope->from != 0 &&
               read_ask(envelope->claim_ask, &message->record);
    case TURMERIC__ENVELOPE__BODY_CLAIM_REPLY:
        message->kind = MESSAGE_REPLY;
        return read_reply(envelope->claim_reply, message);
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
    struct message message = {0};

    if (!read_envelope(envelope, &message)) {
        return err_set(err, ERR_BAD_FRAME, "claim message of member %016lx",
                       (unsigned long)envelope->from);
    }
    if (!ring_push(&claim->ring, &message, err)) {
        return false;
    }
    turmeric__envelope__free_unpacked(envelope, NULL);
    return true;
}
