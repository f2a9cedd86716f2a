/**
 * DOC: Claims and releases in progress.
 *
 * An operation of this instance is sent to the owner of its shard, and resent
 * with the same token until there is a reply, or is queued locally when this
 * instance is the owner. A claim that is not granted although it may have been
 * written is followed by a release, which is retried until it is known to be
 * written.
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
    /* Longer than for claims: releases can be many after an outage, and no
     * call waits for them. */
    RELEASE_RESEND_MS = 2000,
    TIMER_CHECK_INTERVAL_MS = 50,
    /* Leaves the rest of the table to releases. */
    CLAIM_OPERATIONS_MAX = 6144,
};

static struct claim_operation *
find_operation(struct claim *claim, uint64_t token, bool release)
{
    return g_hash_table_lookup(claim->operations_by_token[release], &token);
}

static struct claim_operation *
open_operation(struct claim *claim, const struct claim_record *record,
               uint64_t requester, int64_t now_ms, struct err *err)
{
    struct handle handle;
    struct claim_operation *operation;

    if (!record->release &&
        table_count(&claim->operations) >= CLAIM_OPERATIONS_MAX) {
        err_set(err, ERR_TABLE_FULL, "%d claims and releases are in progress",
                CLAIM_OPERATIONS_MAX);
        return NULL;
    }
    operation = table_alloc(&claim->operations, &handle, err);
    if (operation == NULL) {
        return NULL;
    }
    if (table_count(&claim->operations) == 1) {
        claim->timer_check_at_ms = now_ms + TIMER_CHECK_INTERVAL_MS;
    }
    operation->handle = handle;
    operation->record = *record;
    operation->requester = requester;
    operation->deadline_ms = now_ms + CLAIM_DEADLINE_MS;
    g_hash_table_insert(claim->operations_by_token[record->release],
                        &operation->record.token, operation);
    return operation;
}

static void
close_operation(struct claim *claim, struct claim_operation *operation)
{
    g_hash_table_remove(claim->operations_by_token[operation->record.release],
                        &operation->record.token);
    table_free(&claim->operations, operation->handle);
}

static bool
send_request(struct claim *claim, uint64_t owner,
             const struct claim_operation *operation)
{
    const struct claim_record *record = &operation->record;
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
    envelope.from = claim->self_id;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_CLAIM_ASK;
    envelope.claim_ask = &body;
    return claim->port->ops->send(claim->port, owner, &envelope);
}

static void
send_reply(struct claim *claim, uint64_t requester,
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
    envelope.from = claim->self_id;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_CLAIM_REPLY;
    envelope.claim_reply = &body;
    /* Not retried: after a lost reply the requester sends the request again.
     */
    claim->port->ops->send(claim->port, requester, &envelope);
}

/**
 * claim_operation_enqueue() - add an operation to the local queue of its shard
 * @claim: the duty
 * @operation: the operation
 */
void
claim_operation_enqueue(struct claim *claim, struct claim_operation *operation)
{
    int shard = claim_shard_of(operation->record.key_hash);

    operation->queued_locally = true;
    g_array_append_val(claim->shards[shard].queue, operation->handle);
}

/* Any instance may append; ownership only avoids conflicts. So an instance
 * that knows no owner appends itself. */
static void
dispatch_operation(struct claim *claim, struct claim_operation *operation,
                   int64_t now_ms)
{
    int shard = claim_shard_of(operation->record.key_hash);
    uint64_t owner = claim->port->ops->shard_owner(claim->port, shard);

    if (owner == 0 || owner == claim->self_id) {
        claim_operation_enqueue(claim, operation);
        return;
    }
    if (send_request(claim, owner, operation)) {
        operation->unanswered_sends++;
    }
    operation->resend_at_ms =
        now_ms +
        (operation->record.release ? RELEASE_RESEND_MS : CLAIM_RESEND_MS);
}

static void
open_release(struct claim *claim, const struct claim_record *record,
             int64_t now_ms)
{
    struct claim_record release = *record;
    struct claim_operation *operation;
    struct err err = {0};

    release.release = true;
    if (find_operation(claim, release.token, true) != NULL) {
        return;
    }
    operation = open_operation(claim, &release, 0, now_ms, &err);
    if (operation == NULL) {
        refusal_add(err.kind);
        log_line(LOG_PRI_WARNING, "claim",
                 "event=release_dropped detail=\"%s\"", err.text);
        return;
    }
    dispatch_operation(claim, operation, now_ms);
}

static void
report_result(struct claim *claim, struct handle call, uint64_t token,
              enum err_kind kind)
{
    struct claim_result result = {call, token, kind};

    if (kind == ERR_NONE) {
        counter_add(CTR_CLAIMS, 1);
    }
    claim->port->ops->report_result(claim->port, &result);
}

/* Ends a claim of this instance. Its slot is freed first, so that the release
 * finds a free one. */
static void
finish_claim(struct claim *claim, struct claim_operation *operation,
             enum err_kind kind, int64_t now_ms)
{
    struct claim_record record = operation->record;
    struct handle call = operation->call;
    bool may_be_written =
        operation->in_batch || operation->unanswered_sends > 0;

    close_operation(claim, operation);
    report_result(claim, call, record.token, kind);
    if (kind != ERR_NONE && may_be_written) {
        open_release(claim, &record, now_ms);
    }
}

/**
 * claim_operation_finish() - end an operation and report its result
 * @claim: the duty
 * @operation: the operation; freed
 * @kind: ERR_NONE when the claim is granted or the release written
 * @now_ms: monotonic time
 */
void
claim_operation_finish(struct claim *claim, struct claim_operation *operation,
                       enum err_kind kind, int64_t now_ms)
{
    if (operation->requester != 0) {
        send_reply(claim, operation->requester, &operation->record, kind);
        close_operation(claim, operation);
    }
    else if (operation->record.release) {
        counter_add(CTR_CLAIMS_RELEASED, 1);
        close_operation(claim, operation);
    }
    else {
        finish_claim(claim, operation, kind, now_ms);
    }
}

static struct claim_record
make_record(const struct claim_request *request, bool release)
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
    struct claim_record record = make_record(request, false);
    struct claim_operation *operation =
        find_operation(claim, record.token, false);
    struct err err = {0};

    if (operation != NULL && operation->requester == 0) {
        operation->call = request->call;
        return;
    }
    if (operation != NULL ||
        find_operation(claim, record.token, true) != NULL) {
        /* Another instance uses the token, or its claim is being released
         * and must not be granted again. */
        report_result(claim, request->call, record.token,
                      ERR_CLAIM_UNAVAILABLE);
        return;
    }
    if (!claim->port->ops->config_fresh(claim->port)) {
        report_result(claim, request->call, record.token, ERR_CONFIG_STALE);
        return;
    }
    operation = open_operation(claim, &record, 0, now_ms, &err);
    if (operation == NULL) {
        report_result(claim, request->call, record.token, err.kind);
        return;
    }
    operation->call = request->call;
    dispatch_operation(claim, operation, now_ms);
}

/**
 * claim_operation_open() - start a claim or release of this instance
 * @claim: the duty
 * @request: the claim
 * @release: releases the claim; its call was not and will not be sent
 * @now_ms: monotonic time
 *
 * A repeated request joins the operation that is in progress. A release ends a
 * claim that is in progress.
 */
void
claim_operation_open(struct claim *claim, const struct claim_request *request,
                     bool release, int64_t now_ms)
{
    struct claim_record record = make_record(request, true);
    struct claim_operation *pending;

    if (!release) {
        open_claim(claim, request, now_ms);
        return;
    }
    pending = find_operation(claim, request->token, false);
    if (pending != NULL && pending->requester == 0) {
        finish_claim(claim, pending, ERR_CLAIM_UNAVAILABLE, now_ms);
        return;
    }
    open_release(claim, &record, now_ms);
}

/**
 * claim_operation_open_remote() - start a claim or release of another instance
 * @claim: the duty
 * @requester: id of that instance
 * @record: the claim or release, copied
 * @now_ms: monotonic time
 *
 * Does not check that this instance owns the shard, as any instance may
 * append.
 */
void
claim_operation_open_remote(struct claim *claim, uint64_t requester,
                            const struct claim_record *record, int64_t now_ms)
{
    struct claim_operation *operation =
        find_operation(claim, record->token, record->release);
    struct err err = {0};

    if (operation != NULL) {
        return;
    }
    operation = open_operation(claim, record, requester, now_ms, &err);
    if (operation == NULL) {
        send_reply(claim, requester, record, err.kind);
        return;
    }
    claim_operation_enqueue(claim, operation);
}

/**
 * claim_operation_handle_reply() - handle the reply of a shard's owner
 * @claim: the duty
 * @record: the claim or release; only key hash, token and release are valid
 * @kind: ERR_NONE or the reason for the refusal
 * @now_ms: monotonic time
 */
void
claim_operation_handle_reply(struct claim *claim,
                             const struct claim_record *record,
                             enum err_kind kind, int64_t now_ms)
{
    struct claim_operation *operation =
        find_operation(claim, record->token, record->release);

    if (operation == NULL || operation->requester != 0 ||
        memcmp(operation->record.key_hash, record->key_hash,
               CLAIM_HASH_BYTES) != 0) {
        return;
    }
    if (operation->unanswered_sends > 0) {
        operation->unanswered_sends--;
    }
    /* A release that the owner refused stays open and is sent again. */
    if (!record->release || kind == ERR_NONE) {
        claim_operation_finish(claim, operation, kind, now_ms);
    }
}

static void
check_timers(struct claim *claim, struct claim_operation *operation,
             int64_t now_ms)
{
    bool is_local = operation->requester == 0;

    if (now_ms >= operation->deadline_ms && !is_local) {
        /* The requester sends it again or releases the claim itself. */
        close_operation(claim, operation);
    }
    else if (now_ms >= operation->deadline_ms && !operation->record.release) {
        finish_claim(claim, operation, ERR_CLAIM_UNAVAILABLE, now_ms);
    }
    else if (is_local && !operation->queued_locally &&
             now_ms >= operation->resend_at_ms) {
        dispatch_operation(claim, operation, now_ms);
    }
}

/* While the key-value store is down, the queue would grow with operations that
 * have timed out. */
static void
remove_closed_operations(struct claim *claim, GArray *queue)
{
    guint kept_count = 0;

    for (guint i = 0; i < queue->len; i++) {
        struct handle handle = g_array_index(queue, struct handle, i);

        if (table_get(&claim->operations, handle) != NULL) {
            g_array_index(queue, struct handle, kept_count) = handle;
            kept_count++;
        }
    }
    g_array_set_size(queue, kept_count);
}

/**
 * claim_operations_check_timers() - end overdue claims and resend requests
 * @claim: the duty
 * @now_ms: monotonic time
 *
 * Does nothing before the next check is due.
 */
void
claim_operations_check_timers(struct claim *claim, int64_t now_ms)
{
    struct claim_operation *operation;
    uint32_t cursor = 0;

    if (now_ms < claim->timer_check_at_ms) {
        return;
    }
    claim->timer_check_at_ms = now_ms + TIMER_CHECK_INTERVAL_MS;
    while ((operation = table_next(&claim->operations, &cursor, NULL)) !=
           NULL) {
        check_timers(claim, operation, now_ms);
    }
    for (int i = 0; i < CLAIM_SHARDS; i++) {
        remove_closed_operations(claim, claim->shards[i].queue);
    }
}

/**
 * claim_operations_shut_down() - end all claims when the duty stops
 * @claim: the duty
 * @now_ms: monotonic time
 *
 * Releases are queued locally, since replies of owners no longer arrive.
 */
void
claim_operations_shut_down(struct claim *claim, int64_t now_ms)
{
    struct claim_operation *operation;
    uint32_t cursor = 0;

    while ((operation = table_next(&claim->operations, &cursor, NULL)) !=
           NULL) {
        if (operation->requester != 0) {
            close_operation(claim, operation);
        }
        else if (!operation->record.release) {
            finish_claim(claim, operation, ERR_CLAIM_UNAVAILABLE, now_ms);
        }
    }
    cursor = 0;
    while ((operation = table_next(&claim->operations, &cursor, NULL)) !=
           NULL) {
        if (!operation->queued_locally) {
            claim_operation_enqueue(claim, operation);
        }
    }
}
