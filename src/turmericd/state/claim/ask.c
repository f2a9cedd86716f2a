/**
 * DOC: Asks for claims and releases that have no answer yet.
 *
 * An ask of this instance goes to the owner of its shard, again and again
 * with the same token, or into the own queue when this member is the owner.
 * A claim that ends without a grant although a batch may hold it turns into
 * a release, which is repeated until it is known to be written.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"

enum {
    CLAIM_DEADLINE_MS = 5000,
    CLAIM_RESEND_MS = 500,
    /* Releases can be many after an outage and are in no hurry. */
    RELEASE_RESEND_MS = 2000,
    SCAN_MS = 50,
    /* The rest of the table stays free for releases. */
    CLAIMS_PENDING_MAX = 6144,
};

static struct claim_ask *
find_ask(struct claim *claim, uint64_t token, bool release)
{
    return g_hash_table_lookup(claim->by_token[release], &token);
}

static struct claim_ask *
open_ask(struct claim *claim, const struct claim_record *record, uint64_t from,
         int64_t now_ms, struct err *err)
{
    struct handle handle;
    struct claim_ask *ask;

    if (!record->release && table_count(&claim->asks) >= CLAIMS_PENDING_MAX) {
        err_set(err, ERR_TABLE_FULL, "%d claims are pending",
                CLAIMS_PENDING_MAX);
        return NULL;
    }
    ask = table_alloc(&claim->asks, &handle, err);
    if (ask == NULL) {
        return NULL;
    }
    if (table_count(&claim->asks) == 1) {
        claim->scan_at_ms = now_ms + SCAN_MS;
    }
    ask->self = handle;
    ask->record = *record;
    ask->from = from;
    ask->deadline_ms = now_ms + CLAIM_DEADLINE_MS;
    g_hash_table_insert(claim->by_token[record->release], &ask->record.token,
                        ask);
    return ask;
}

static void
close_ask(struct claim *claim, struct claim_ask *ask)
{
    g_hash_table_remove(claim->by_token[ask->record.release],
                        &ask->record.token);
    table_free(&claim->asks, ask->self);
}

static bool
send_ask(struct claim *claim, uint64_t owner, const struct claim_ask *ask)
{
    const struct claim_record *record = &ask->record;
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__ClaimAsk body = TURMERIC__CLAIM_ASK__INIT;

    body.key_hash.data = (uint8_t *)record->key_hash;
    body.key_hash.len = CLAIM_HASH_BYTES;
    body.token = record->token;
    body.key_class = record->key_class;
    body.key_time_ms = record->key_time_ms;
    body.release = record->release;
    body.shard = (uint32_t)claim_shard_of(record->key_hash);
    envelope.version = PEER_PROTOCOL_VERSION;
    envelope.from = claim->self;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_CLAIM_ASK;
    envelope.claim_ask = &body;
    return claim->port->ops->send(claim->port, owner, &envelope);
}

static void
send_reply(struct claim *claim, uint64_t member,
           const struct claim_record *record, enum err_kind kind)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__ClaimReply body = TURMERIC__CLAIM_REPLY__INIT;

    body.key_hash.data = (uint8_t *)record->key_hash;
    body.key_hash.len = CLAIM_HASH_BYTES;
    body.token = record->token;
    body.error = kind;
    body.release = record->release;
    envelope.version = PEER_PROTOCOL_VERSION;
    envelope.from = claim->self;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_CLAIM_REPLY;
    envelope.claim_reply = &body;
    /* A lost reply is made up for by the next repeat of the ask. */
    claim->port->ops->send(claim->port, member, &envelope);
}

/**
 * claim_ask_enqueue() - put an ask into the own queue of its shard
 * @claim: the duty
 * @ask: the ask
 */
void
claim_ask_enqueue(struct claim *claim, struct claim_ask *ask)
{
    int number = claim_shard_of(ask->record.key_hash);

    ask->here = true;
    g_array_append_val(claim->shards[number].queue, ask->self);
}

/* Ownership only saves work, so a member without an owner acts itself. */
static void
route_ask(struct claim *claim, struct claim_ask *ask, int64_t now_ms)
{
    int number = claim_shard_of(ask->record.key_hash);
    uint64_t owner = claim->port->ops->owner(claim->port, number);

    if (owner == 0 || owner == claim->self) {
        claim_ask_enqueue(claim, ask);
        return;
    }
    if (send_ask(claim, owner, ask)) {
        ask->unanswered++;
    }
    ask->resend_at_ms =
        now_ms + (ask->record.release ? RELEASE_RESEND_MS : CLAIM_RESEND_MS);
}

static void
open_release(struct claim *claim, const struct claim_record *record,
             int64_t now_ms)
{
    struct claim_record release = *record;
    struct claim_ask *ask;
    struct err err = {0};

    release.release = true;
    if (find_ask(claim, release.token, true) != NULL) {
        return;
    }
    ask = open_ask(claim, &release, 0, now_ms, &err);
    if (ask == NULL) {
        refusal_add(err.kind);
        log_line(LOG_PRI_WARNING, "claim",
                 "event=release_dropped detail=\"%s\"", err.text);
        return;
    }
    route_ask(claim, ask, now_ms);
}

static void
tell_route(struct claim *claim, struct handle call, uint64_t token,
           enum err_kind kind)
{
    struct claim_verdict verdict = {call, token, kind};

    if (kind == ERR_NONE) {
        counter_add(CTR_CLAIMS, 1);
    }
    claim->port->ops->verdict(claim->port, &verdict);
}

/* Ends a claim of this instance. The slot is freed first, so that there is
 * always one for the release. */
static void
end_claim(struct claim *claim, struct claim_ask *ask, enum err_kind kind,
          int64_t now_ms)
{
    struct claim_record record = ask->record;
    struct handle call = ask->call;
    bool may_stand = ask->staged || ask->unanswered > 0;

    close_ask(claim, ask);
    tell_route(claim, call, record.token, kind);
    if (kind != ERR_NONE && may_stand) {
        open_release(claim, &record, now_ms);
    }
}

/**
 * claim_ask_answer() - end an ask
 * @claim: the duty
 * @ask: the ask; its slot is freed
 * @kind: ERR_NONE when the claim is granted or the release written
 * @now_ms: present time
 */
void
claim_ask_answer(struct claim *claim, struct claim_ask *ask,
                 enum err_kind kind, int64_t now_ms)
{
    if (ask->from != 0) {
        send_reply(claim, ask->from, &ask->record, kind);
        close_ask(claim, ask);
    }
    else if (ask->record.release) {
        counter_add(CTR_CLAIMS_RELEASED, 1);
        close_ask(claim, ask);
    }
    else {
        end_claim(claim, ask, kind, now_ms);
    }
}

static struct claim_record
record_of(const struct claim_request *request, bool release)
{
    struct claim_record record = {
        .token = request->token,
        .key_time_ms = request->key_time_ms,
        .key_class = request->key_class,
        .release = release,
    };

    memcpy(record.key_hash, request->key_hash, CLAIM_HASH_BYTES);
    return record;
}

static void
open_claim(struct claim *claim, const struct claim_request *request,
           int64_t now_ms)
{
    struct claim_record record = record_of(request, false);
    struct claim_ask *ask = find_ask(claim, record.token, false);
    struct err err = {0};

    if (ask != NULL && ask->from == 0) {
        ask->call = request->call;
        return;
    }
    if (ask != NULL || find_ask(claim, record.token, true) != NULL) {
        /* Another member uses the token, or it is being given back and must
         * not be granted again. */
        tell_route(claim, request->call, record.token, ERR_CLAIM_UNAVAILABLE);
        return;
    }
    if (!claim->port->ops->fresh(claim->port)) {
        tell_route(claim, request->call, record.token, ERR_CONFIG_STALE);
        return;
    }
    ask = open_ask(claim, &record, 0, now_ms, &err);
    if (ask == NULL) {
        tell_route(claim, request->call, record.token, err.kind);
        return;
    }
    ask->call = request->call;
    route_ask(claim, ask, now_ms);
}

/**
 * claim_ask_open() - take an ask of this instance
 * @claim: the duty
 * @request: the claim
 * @release: gives the claim back; the call will not be sent
 * @now_ms: present time
 */
void
claim_ask_open(struct claim *claim, const struct claim_request *request,
               bool release, int64_t now_ms)
{
    struct claim_record record = record_of(request, true);
    struct claim_ask *pending;

    if (!release) {
        open_claim(claim, request, now_ms);
        return;
    }
    pending = find_ask(claim, request->token, false);
    if (pending != NULL && pending->from == 0) {
        end_claim(claim, pending, ERR_CLAIM_UNAVAILABLE, now_ms);
        return;
    }
    open_release(claim, &record, now_ms);
}

/**
 * claim_ask_open_for() - take an ask of another member
 * @claim: the duty
 * @from: the member
 * @record: the claim or release
 * @now_ms: present time
 *
 * Any member may append, so it doesn't matter who owns the shard now.
 */
void
claim_ask_open_for(struct claim *claim, uint64_t from,
                   const struct claim_record *record, int64_t now_ms)
{
    struct claim_ask *ask = find_ask(claim, record->token, record->release);
    struct err err = {0};

    if (ask != NULL) {
        return;
    }
    ask = open_ask(claim, record, from, now_ms, &err);
    if (ask == NULL) {
        send_reply(claim, from, record, err.kind);
        return;
    }
    claim_ask_enqueue(claim, ask);
}

/**
 * claim_ask_reply() - take an owner's reply
 * @claim: the duty
 * @record: key hash, token and whether it answers a release
 * @kind: ERR_NONE or the reason of the refusal
 * @now_ms: present time
 */
void
claim_ask_reply(struct claim *claim, const struct claim_record *record,
                enum err_kind kind, int64_t now_ms)
{
    struct claim_ask *ask = find_ask(claim, record->token, record->release);

    if (ask == NULL || ask->from != 0 ||
        memcmp(ask->record.key_hash, record->key_hash, CLAIM_HASH_BYTES) !=
            0) {
        return;
    }
    if (ask->unanswered > 0) {
        ask->unanswered--;
    }
    /* A release that was refused is sent again. */
    if (!record->release || kind == ERR_NONE) {
        claim_ask_answer(claim, ask, kind, now_ms);
    }
}

static void
scan_ask(struct claim *claim, struct claim_ask *ask, int64_t now_ms)
{
    bool own = ask->from == 0;

    if (now_ms >= ask->deadline_ms && !own) {
        /* The member asks again or releases the claim itself. */
        close_ask(claim, ask);
    }
    else if (now_ms >= ask->deadline_ms && !ask->record.release) {
        end_claim(claim, ask, ERR_CLAIM_UNAVAILABLE, now_ms);
    }
    else if (own && !ask->here && now_ms >= ask->resend_at_ms) {
        route_ask(claim, ask, now_ms);
    }
}

/* Keeps the queue as short as the table while the service is down. */
static void
prune_queue(struct claim *claim, GArray *queue)
{
    guint kept = 0;

    for (guint i = 0; i < queue->len; i++) {
        struct handle handle = g_array_index(queue, struct handle, i);

        if (table_get(&claim->asks, handle) != NULL) {
            g_array_index(queue, struct handle, kept) = handle;
            kept++;
        }
    }
    g_array_set_size(queue, kept);
}

/**
 * claim_asks_scan() - look at deadlines and repeats, when it is time to
 * @claim: the duty
 * @now_ms: present time
 */
void
claim_asks_scan(struct claim *claim, int64_t now_ms)
{
    struct claim_ask *ask;
    uint32_t cursor = 0;

    if (now_ms < claim->scan_at_ms) {
        return;
    }
    claim->scan_at_ms = now_ms + SCAN_MS;
    while ((ask = table_next(&claim->asks, &cursor, NULL)) != NULL) {
        scan_ask(claim, ask, now_ms);
    }
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        prune_queue(claim, claim->shards[i].queue);
    }
}

/**
 * claim_asks_close() - end all claims when the duty stops
 * @claim: the duty
 * @now_ms: present time
 *
 * Releases move to the own queues: replies of owners no longer arrive.
 */
void
claim_asks_close(struct claim *claim, int64_t now_ms)
{
    struct claim_ask *ask;
    uint32_t cursor = 0;

    while ((ask = table_next(&claim->asks, &cursor, NULL)) != NULL) {
        if (ask->from != 0) {
            close_ask(claim, ask);
        }
        else if (!ask->record.release) {
            end_claim(claim, ask, ERR_CLAIM_UNAVAILABLE, now_ms);
        }
    }
    cursor = 0;
    while ((ask = table_next(&claim->asks, &cursor, NULL)) != NULL) {
        if (!ask->here) {
            claim_ask_enqueue(claim, ask);
        }
    }
}
