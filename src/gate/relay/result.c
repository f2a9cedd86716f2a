/**
 * DOC: Results of requests at targets, and retries.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/admit/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

static struct relay_target *
target_of(struct relay *relay, const struct exchange *exchange)
{
    return table_get(&relay->targets, exchange->target);
}

static void
log_result(const struct exchange *exchange, const char *event,
           const struct relay_target *target, int status, int64_t now_ms)
{
    log_line(LOG_PRI_INFO, "relay",
             "event=%s id=%s target=%s status=%d sends=%d runs=%d begun=%d "
             "last_event=%" G_GINT64_FORMAT " since_sent_ms=%" G_GINT64_FORMAT
             " age_ms=%" G_GINT64_FORMAT,
             event, exchange->meta.attempt_id,
             target != NULL ? target->record.info.id : "-", status,
             exchange->sends, exchange->runs, exchange->answer.head_sent,
             (gint64)exchange->events.last_id,
             (gint64)(now_ms - exchange->sent_ms),
             (gint64)(now_ms - exchange->arrived_ms));
}

/* Takes the request off its target. Unless the connection is closed, the rest
 * of the response is discarded and the connection used again. */
static void
detach_upstream(struct relay *relay, struct exchange *exchange,
                bool close_connection, int64_t now_ms)
{
    struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);

    exchange->upstream = (struct handle){0};
    exchange->stage = STAGE_WAITING;
    if (upstream == NULL) {
        return;
    }
    if (close_connection) {
        upstream_close(relay, upstream);
    }
    else {
        upstream_discard_rest(relay, upstream, now_ms);
    }
}

/**
 * result_is_stream() - whether the response to a request is an event stream
 * @exchange: the request
 */
bool
result_is_stream(const struct exchange *exchange)
{
    return exchange->route->stream && exchange->answer.status < 300 &&
           exchange->answer.body_type != BODY_OTHER;
}

/* Dispatches the request again, or refuses it when it may not run again. */
static void
retry(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    bool may_retry = exchange->runs == 0 || exchange->route->retryable;

    events_restart(&exchange->events);
    if (exchange->answer.head_sent) {
        may_retry = exchange->route->retryable && result_is_stream(exchange);
        exchange->resumes++;
    }
    if (!may_retry) {
        refuse(relay, exchange, ERR_TARGET_FAILED, 0, now_ms);
        return;
    }
    exchange_dispatch(relay, exchange, now_ms);
}

/**
 * result_unreachable() - handle a request that could not be sent to its target
 * @relay: the relay
 * @exchange: the request, of which no target has seen anything; may be invalid
 * afterwards
 * @now_ms: current time
 */
void
result_unreachable(struct relay *relay, struct exchange *exchange,
                   int64_t now_ms)
{
    exchange->connect_failures++;
    counter_add(CTR_RETRY_CONNECT, 1);
    detach_upstream(relay, exchange, true, now_ms);
    retry(relay, exchange, now_ms);
}

/* The target says that it doesn't have the model: removes it from the local
 * view of the target until the next update. */
static void
correct_holdings(struct relay_target *target, const struct exchange *exchange,
                 const struct answer_meta *meta, int64_t now_ms)
{
    uint32_t item = exchange->needs.adapter != 0 ? exchange->needs.adapter
                                                 : exchange->needs.model;

    if (meta->target_id[0] != '\0' &&
        strcmp(meta->target_id, target->record.info.id) != 0) {
        health_connect_failed(&target->record.health, now_ms);
    }
    else if (item != 0) {
        item_set_remove(&target->record.info.held, item);
    }
}

static void
handle_not_run(struct relay *relay, struct exchange *exchange,
               struct upstream *upstream, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);
    int status = (int)upstream->parser.status_code;

    log_result(exchange, "rejected", target, status, now_ms);
    if (target != NULL && status == 421) {
        correct_holdings(target, exchange, &upstream->meta, now_ms);
    }
    counter_add(CTR_RETRY_BUSY, 1);
    exchange->runs--;
    exchange->rejects++;
    detach_upstream(relay, exchange, false, now_ms);
    retry(relay, exchange, now_ms);
}

static const char *
failure_event(const struct response_facts *facts)
{
    return facts->encoded ? "encoded" : "failed";
}

/* The rest of a failure is short; that of a success can be a whole stream. */
static void
handle_run_failed(struct relay *relay, struct exchange *exchange,
                  const struct response_facts *facts, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);

    log_result(exchange, failure_event(facts), target, facts->status, now_ms);
    if (target != NULL) {
        health_request_failed(&target->record.health);
    }
    counter_add(CTR_RETRY_BROKEN, 1);
    detach_upstream(relay, exchange, facts->status < 300, now_ms);
    retry(relay, exchange, now_ms);
}

/* The response does not go on with the stream that its caller has begun to
 * read. */
static void
handle_not_continued(struct relay *relay, struct exchange *exchange,
                     int status, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);

    log_result(exchange, "not_continued", target, status, now_ms);
    if (target != NULL && (status < 300 || status >= 500)) {
        health_request_failed(&target->record.health);
    }
    counter_add(CTR_STREAM_NOT_CONTINUED, 1);
    /* The body of a success may be long. */
    detach_upstream(relay, exchange, status < 300, now_ms);
    retry(relay, exchange, now_ms);
}

static void
accept_answer(struct relay *relay, struct exchange *exchange,
              struct upstream *upstream, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);
    int status = (int)upstream->parser.status_code;

    if (target != NULL && status < 500) {
        health_request_succeeded(&target->record.health);
    }
    else if (target != NULL) {
        health_request_failed(&target->record.health);
    }
    exchange->stage = STAGE_FORWARDING;
    exchange->last_progress_ms = now_ms;
    exchange->answer.framing = upstream->framing;
    exchange->answer.body_type = answer_body_type(&upstream->head);
    if (exchange->answer.head->len == 0) {
        answer_copy_head(&exchange->answer, relay, upstream);
    }
    if (exchange->sends > 1 || status >= 300) {
        log_result(exchange, "answer", target, status, now_ms);
    }
}

/* Whether the request may run once more; if not, a failure that the target
 * reported is forwarded as it is. */
static bool
can_retry(struct relay *relay, const struct exchange *exchange, int64_t now_ms)
{
    return exchange->runs < exchange->route->attempts_max &&
           target_exists_for(relay, &exchange->needs, now_ms) &&
           !drain_decide(relay, exchange, NULL, 0, now_ms).refuse;
}

static bool
continues_stream(const struct exchange *exchange,
                 const struct upstream *upstream)
{
    struct stream_facts facts = {
        .begun_status = exchange->answer.status,
        .status = (int)upstream->parser.status_code,
        .body_type = answer_body_type(&upstream->head),
    };

    return stream_continues(&facts);
}

/**
 * result_head() - handle the head of a response
 * @relay: the relay
 * @exchange: the request; may be invalid afterwards
 * @upstream: the connection with the head
 * @now_ms: current time
 *
 * Return: whether the response is forwarded.
 */
bool
result_head(struct relay *relay, struct exchange *exchange,
            struct upstream *upstream, int64_t now_ms)
{
    struct response_facts facts = {
        .status = (int)upstream->parser.status_code,
        .not_run = upstream->meta.not_run,
        .signed_by_target = upstream->meta.signed_by_target,
        .retryable = exchange->route->retryable,
        .encoded = head_is_encoded(&upstream->head),
    };
    enum verdict verdict = response_verdict(&facts);

    if (facts.encoded) {
        counter_add(CTR_ANSWER_ENCODED, 1);
    }
    if (verdict == VERDICT_RETRY && facts.signed_by_target && !facts.encoded &&
        facts.status >= 500 && facts.status != 503 &&
        !exchange->answer.head_sent && !can_retry(relay, exchange, now_ms)) {
        verdict = VERDICT_PASS;
    }
    if (exchange->answer.head_sent && verdict != VERDICT_NOT_RUN &&
        (verdict != VERDICT_PASS || !continues_stream(exchange, upstream))) {
        handle_not_continued(relay, exchange, facts.status, now_ms);
        return false;
    }
    switch (verdict) {
    case VERDICT_PASS:
        accept_answer(relay, exchange, upstream, now_ms);
        return true;
    case VERDICT_NOT_RUN:
        handle_not_run(relay, exchange, upstream, now_ms);
        return false;
    case VERDICT_RETRY:
        handle_run_failed(relay, exchange, &facts, now_ms);
        return false;
    case VERDICT_FAILED:
        break;
    }
    log_result(exchange, failure_event(&facts), target_of(relay, exchange),
               facts.status, now_ms);
    refuse(relay, exchange, ERR_TARGET_FAILED, 0, now_ms);
    return false;
}

static const char *
framing_name(enum body_framing framing)
{
    static const char *const names[] = {
        [FRAMED_BY_LENGTH] = "length",
        [FRAMED_IN_CHUNKS] = "chunks",
        [FRAMED_BY_CLOSE] = "close",
    };

    return names[framing];
}

static void
set_first_byte_time(struct exchange *exchange, int64_t now_ms)
{
    if (exchange->first_byte_ms == 0) {
        exchange->first_byte_ms = now_ms;
    }
}

static void
set_run_began(struct exchange *exchange, int64_t now_ms)
{
    if (exchange->run_began_ms == 0) {
        exchange->run_began_ms = now_ms;
    }
}

static void
count_interval(struct relay *relay, struct exchange *exchange,
               int64_t interval_ms)
{
    struct relay_target *target = target_of(relay, exchange);

    if (target != NULL) {
        target->interval_count++;
        target->interval_sum_ms += interval_ms;
    }
}

/* Only events with data count as progress of the target. */
static void
record_event(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    if (exchange->first_byte_ms != 0) {
        int64_t interval_ms = now_ms - exchange->last_event_ms;

        exchange->longest_interval_ms =
            MAX(exchange->longest_interval_ms, interval_ms);
        count_interval(relay, exchange, interval_ms);
    }
    exchange->run_events++;
    set_run_began(exchange, now_ms);
    crash_run_went_on(relay, exchange, false, now_ms);
    exchange->last_event_ms = now_ms;
    set_first_byte_time(exchange, now_ms);
    exchange->last_progress_ms = now_ms;
    exchange_set_timer(relay, exchange);
}

static bool
forward_events(struct relay *relay, struct exchange *exchange,
               const unsigned char *bytes, size_t count, int64_t now_ms)
{
    GString *whole = g_string_new(NULL);

    if (events_read(&exchange->events, bytes, count, whole) > 0) {
        record_event(relay, exchange, now_ms);
    }
    if (whole->len > 0) {
        if (!exchange->answer.head_sent) {
            answer_send_head(relay, exchange, -1, now_ms);
        }
        answer_send_body(relay, exchange, whole->str, whole->len, now_ms);
    }
    g_string_free(whole, TRUE);
    return !events_broken(&exchange->events);
}

static const char *
verdict_name(enum event_verdict verdict)
{
    static const char *const names[] = {
        [EVENT_INVALID] = "event_invalid",
        [EVENT_GAP] = "event_gap",
        [EVENT_REPEATED] = "event_repeated",
        [EVENT_TOO_LONG] = "event_too_long",
    };

    return names[verdict];
}

/**
 * result_body() - handle a part of a response's body
 * @relay: the relay
 * @exchange: the request; may be invalid afterwards
 * @bytes: the part
 * @count: its length
 * @now_ms: current time
 *
 * Return: whether the response continues.
 */
bool
result_body(struct relay *relay, struct exchange *exchange,
            const unsigned char *bytes, size_t count, int64_t now_ms)
{
    struct answer *answer = &exchange->answer;

    if (result_is_stream(exchange)) {
        if (!forward_events(relay, exchange, bytes, count, now_ms)) {
            counter_add(CTR_STREAM_BAD_EVENT, 1);
            result_aborted(relay, exchange,
                           verdict_name(exchange->events.verdict), now_ms);
            return false;
        }
        return true;
    }
    if (body_scan_add(&answer->scan, bytes, count,
                      exchange->meta.attempt_id)) {
        result_not_whole(relay, exchange, FAULT_SECOND_RESPONSE, now_ms);
        return false;
    }
    set_first_byte_time(exchange, now_ms);
    set_run_began(exchange, now_ms);
    exchange->last_progress_ms = now_ms;
    if (answer->head_sent) {
        answer_send_body(relay, exchange, bytes, count, now_ms);
        return true;
    }
    g_byte_array_append(answer->body, bytes, (guint)count);
    if (answer->body->len > account_buffered_max(relay)) {
        answer_send_head(relay, exchange, answer->content_length, now_ms);
        answer_send_body(relay, exchange, answer->body->data,
                         answer->body->len, now_ms);
        g_byte_array_set_size(answer->body, 0);
    }
    return true;
}

static enum answer_fault
stream_fault(const struct exchange *exchange)
{
    const struct answer *answer = &exchange->answer;
    struct stream_end end = {
        .cut_off = events_cut_off(&exchange->events),
        .marked = answer->framing != FRAMED_BY_CLOSE,
        .declared = answer->body_type == BODY_EVENTS,
        .begun = answer->head_sent,
        .last_id = exchange->events.last_id,
        .run_id = exchange->events.run_id,
    };

    return stream_end_fault(&end);
}

/**
 * result_fault() - why a response that has ended is not whole
 * @exchange: the request
 *
 * What stands in a body that is no stream was looked at as it passed.
 */
enum answer_fault
result_fault(const struct exchange *exchange)
{
    return result_is_stream(exchange) ? stream_fault(exchange) : FAULT_NONE;
}

static const char *
fault_name(enum answer_fault fault)
{
    static const char *const names[] = {
        [FAULT_CUT_OFF] = "cut_off",
        [FAULT_ENDED_EARLY] = "ended_early",
        [FAULT_SECOND_RESPONSE] = "second_response",
    };

    return names[fault];
}

/**
 * result_not_whole() - handle a response that has ended and is not whole
 * @relay: the relay
 * @exchange: the request; may be invalid afterwards
 * @fault: why not
 * @now_ms: current time
 */
void
result_not_whole(struct relay *relay, struct exchange *exchange,
                 enum answer_fault fault, int64_t now_ms)
{
    if (fault != FAULT_SECOND_RESPONSE) {
        counter_add(CTR_STREAM_CUT_OFF, 1);
    }
    result_aborted(relay, exchange, fault_name(fault), now_ms);
}

/* Whether a complete response shows that its target survives such requests. */
static bool
proves_survival(const struct exchange *exchange)
{
    return exchange->answer.framing != FRAMED_BY_CLOSE &&
           !exchange->run_resumed;
}

/**
 * result_complete() - handle the end of a complete response
 * @relay: the relay
 * @exchange: the request, detached from its connection; may be invalid
 * afterwards
 * @now_ms: current time
 *
 * A stream may have broken off although its response is complete.
 */
void
result_complete(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    struct answer *answer = &exchange->answer;
    GString *rest = exchange->events.partial;

    if (result_is_stream(exchange)) {
        if (!answer->head_sent) {
            answer_send_head(relay, exchange, -1, now_ms);
        }
        answer_send_body(relay, exchange, rest->str, rest->len, now_ms);
    }
    else if (!answer->head_sent) {
        answer_send_head(relay, exchange, (int64_t)answer->body->len, now_ms);
        answer_send_body(relay, exchange, answer->body->data,
                         answer->body->len, now_ms);
    }
    answer_end(relay, exchange, now_ms);
    if (answer->status < 300) {
        crash_run_went_on(relay, exchange, proves_survival(exchange), now_ms);
    }
    counter_add(CTR_ANSWERS, 1);
    if (exchange->first_byte_ms != 0) {
        histogram_add(HIST_FIRST_BYTE,
                      exchange->first_byte_ms - exchange->arrived_ms);
    }
    histogram_add(HIST_REQUEST_TOTAL, now_ms - exchange->arrived_ms);
    histogram_add(HIST_QUEUE_WAIT, exchange->sent_ms - exchange->arrived_ms);
    lengths_record(relay, exchange, now_ms);
    exchange->served = answer->status < 300;
    log_line(LOG_PRI_INFO, "relay",
             "event=answered id=%s status=%d sends=%d resumes=%d "
             "waited_ms=%" G_GINT64_FORMAT " first_ms=%" G_GINT64_FORMAT
             " gap_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT
             " goal_ms=%" G_GINT64_FORMAT " item=%s framing=%s event_reads=%d",
             exchange->meta.attempt_id, answer->status, exchange->sends,
             exchange->resumes,
             (gint64)(exchange->sent_ms - exchange->arrived_ms),
             exchange->first_byte_ms != 0
                 ? (gint64)(exchange->first_byte_ms - exchange->arrived_ms)
                 : (gint64)-1,
             (gint64)exchange->longest_interval_ms,
             (gint64)(now_ms - exchange->arrived_ms),
             (gint64)exchange->route->latency_goal_ms, exchange->meta.item,
             framing_name(answer->framing), exchange->run_events);
    exchange_finish(relay, exchange, now_ms);
}

/**
 * result_aborted() - handle a response that failed before it was complete
 * @relay: the relay
 * @exchange: the request; may be invalid afterwards
 * @event: name of the event for the log
 * @now_ms: current time
 */
void
result_aborted(struct relay *relay, struct exchange *exchange,
               const char *event, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);

    log_result(exchange, event, target, 0, now_ms);
    if (target != NULL) {
        health_request_failed(&target->record.health);
    }
    counter_add(
        exchange->answer.head_sent ? CTR_RETRY_RESUME : CTR_RETRY_BROKEN, 1);
    if (!exchange->answer.head_sent) {
        g_byte_array_set_size(exchange->answer.body, 0);
        body_scan_clear(&exchange->answer.scan);
        g_string_truncate(exchange->answer.head, 0);
    }
    detach_upstream(relay, exchange, true, now_ms);
    retry(relay, exchange, now_ms);
}
