/**
 * DOC: What targets make of requests.
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
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

static struct relay_target *
target_of(struct relay *relay, const struct exchange *exchange)
{
    struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);

    return upstream != NULL ? table_get(&relay->targets, upstream->target)
                            : NULL;
}

static void
log_result(const struct exchange *exchange, const char *event,
           const struct relay_target *target, int status, int64_t now_ms)
{
    log_line(LOG_PRI_INFO, "relay",
             "event=%s id=%s target=%s status=%d sends=%d runs=%d begun=%d "
             "last_event=%" G_GINT64_FORMAT " since_sent_ms=%" G_GINT64_FORMAT
             " age_ms=%" G_GINT64_FORMAT,
             event, exchange->facts.attempt,
             target != NULL ? target->choose.info.id : "-", status,
             exchange->sends, exchange->runs, exchange->answer.begun,
             (gint64)exchange->events.last,
             (gint64)(now_ms - exchange->sent_ms),
             (gint64)(now_ms - exchange->arrived_ms));
}

/* The request is at no target any more; the rest of an answer is discarded
 * so that the connection can be used again. */
static void
leave_upstream(struct relay *relay, struct exchange *exchange, bool drop)
{
    struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);

    exchange->upstream = (struct handle){0};
    exchange->stage = STAGE_WAITING;
    if (upstream == NULL) {
        return;
    }
    if (drop) {
        upstream_drop(relay, upstream);
    }
    else {
        upstream_release(relay, upstream);
    }
}

/* Tries another target, or gives up when the request may not run again. */
static void
run_again(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    bool may_repeat = exchange->runs == 0 || exchange->route->retryable;

    if (exchange->answer.begun) {
        may_repeat = exchange->route->retryable && exchange->route->stream;
        exchange->resumes++;
        events_restart(&exchange->events);
    }
    if (!may_repeat) {
        refuse(relay, exchange, ERR_TARGET_FAILED, 0, now_ms);
        return;
    }
    exchange_dispatch(relay, exchange, now_ms);
}

/**
 * result_unreachable() - a request could not be sent; no target has seen it
 * @relay: the relay
 * @exchange: the request; may be gone afterwards
 * @now_ms: present time
 */
void
result_unreachable(struct relay *relay, struct exchange *exchange,
                   int64_t now_ms)
{
    exchange->unreachable++;
    counter_add(CTR_RETRY_CONNECT, 1);
    leave_upstream(relay, exchange, true);
    run_again(relay, exchange, now_ms);
}

/* The target says that it has not got the model: what is believed of it is
 * wrong until it is told anew. */
static void
correct_holdings(struct relay_target *target, const struct exchange *exchange,
                 const struct answer_facts *facts, int64_t now_ms)
{
    uint32_t item = exchange->need.adapter != 0 ? exchange->need.adapter
                                                : exchange->need.model;

    if (facts->target[0] != '\0' &&
        strcmp(facts->target, target->choose.info.id) != 0) {
        health_connect_failed(&target->choose.health, now_ms);
    }
    else if (item != 0) {
        item_set_remove(&target->choose.info.held, item);
    }
}

static void
not_run(struct relay *relay, struct exchange *exchange,
        struct upstream *upstream, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);
    int status = (int)upstream->parser.status_code;

    log_result(exchange, "rejected", target, status, now_ms);
    if (target != NULL && status == 421) {
        correct_holdings(target, exchange, &upstream->facts, now_ms);
    }
    counter_add(CTR_RETRY_BUSY, 1);
    exchange->runs--;
    exchange->rejects++;
    leave_upstream(relay, exchange, false);
    run_again(relay, exchange, now_ms);
}

static void
run_failed(struct relay *relay, struct exchange *exchange, int status,
           int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);

    log_result(exchange, "failed", target, status, now_ms);
    if (target != NULL) {
        health_request_failed(&target->choose.health);
    }
    counter_add(CTR_RETRY_BROKEN, 1);
    leave_upstream(relay, exchange, false);
    run_again(relay, exchange, now_ms);
}

static void
accept_answer(struct relay *relay, struct exchange *exchange,
              struct upstream *upstream, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);
    int status = (int)upstream->parser.status_code;

    if (target != NULL && status < 500) {
        health_request_succeeded(&target->choose.health);
    }
    else if (target != NULL) {
        health_request_failed(&target->choose.health);
    }
    exchange->stage = STAGE_PASSING;
    exchange->progress_ms = now_ms;
    if (exchange->answer.head->len == 0) {
        answer_take_head(&exchange->answer, relay, upstream);
    }
    if (exchange->sends > 1 || status >= 300) {
        log_result(exchange, "answer", target, status, now_ms);
    }
}

/* Whether another run is possible; else a failure of the target is passed on
 * as it is. */
static bool
can_run_again(struct relay *relay, const struct exchange *exchange)
{
    return exchange->runs < exchange->route->attempts_max &&
           target_any(relay, &exchange->need);
}

/**
 * result_head() - the head of an answer came
 * @relay: the relay
 * @exchange: the request; may be gone afterwards
 * @upstream: the connection with the head
 * @now_ms: present time
 *
 * Return: whether the answer is passed on.
 */
bool
result_head(struct relay *relay, struct exchange *exchange,
            struct upstream *upstream, int64_t now_ms)
{
    struct response_facts facts = {
        .status = (int)upstream->parser.status_code,
        .not_run = upstream->facts.not_run,
        .signed_by_target = upstream->facts.sealed,
        .retryable = exchange->route->retryable,
    };
    enum verdict verdict = response_verdict(&facts);

    if (verdict == VERDICT_RETRY && facts.signed_by_target &&
        facts.status >= 500 && facts.status != 503 &&
        !exchange->answer.begun && !can_run_again(relay, exchange)) {
        verdict = VERDICT_PASS;
    }
    if (exchange->answer.begun && verdict == VERDICT_PASS &&
        facts.status >= 300) {
        verdict = VERDICT_FAILED;
    }
    switch (verdict) {
    case VERDICT_PASS:
        accept_answer(relay, exchange, upstream, now_ms);
        return true;
    case VERDICT_NOT_RUN:
        not_run(relay, exchange, upstream, now_ms);
        return false;
    case VERDICT_RETRY:
        run_failed(relay, exchange, facts.status, now_ms);
        return false;
    case VERDICT_FAILED:
        break;
    }
    log_result(exchange, "failed", target_of(relay, exchange), facts.status,
               now_ms);
    refuse(relay, exchange, ERR_TARGET_FAILED, 0, now_ms);
    return false;
}

static bool
is_event_stream(const struct exchange *exchange)
{
    return exchange->route->stream && exchange->answer.status < 300;
}

static void
first_bytes(struct exchange *exchange, int64_t now_ms)
{
    if (exchange->first_ms == 0) {
        exchange->first_ms = now_ms;
    }
}

static void
count_pause(struct relay *relay, struct exchange *exchange, int64_t pause_ms)
{
    struct relay_target *target = target_of(relay, exchange);

    if (target != NULL) {
        target->pauses++;
        target->pause_ms += pause_ms;
    }
}

static bool
pass_events(struct relay *relay, struct exchange *exchange,
            const unsigned char *bytes, size_t count, int64_t now_ms)
{
    GString *whole = g_string_new(NULL);

    if (events_add(&exchange->events, bytes, count, whole) > 0) {
        if (exchange->first_ms != 0) {
            exchange->gap_ms =
                MAX(exchange->gap_ms, now_ms - exchange->event_ms);
            count_pause(relay, exchange, now_ms - exchange->event_ms);
        }
        exchange->event_ms = now_ms;
        first_bytes(exchange, now_ms);
        exchange->progress_ms = now_ms;
        if (!exchange->answer.begun) {
            answer_begin(relay, exchange, -1, now_ms);
        }
        answer_body(relay, exchange, whole->str, whole->len, now_ms);
        exchange_set_timer(relay, exchange);
    }
    g_string_free(whole, TRUE);
    return !exchange->events.broken;
}

/**
 * result_body() - a part of an answer's body came
 * @relay: the relay
 * @exchange: the request; may be gone afterwards
 * @bytes: the part
 * @count: its length
 * @now_ms: present time
 *
 * Return: whether the answer goes on.
 */
bool
result_body(struct relay *relay, struct exchange *exchange,
            const unsigned char *bytes, size_t count, int64_t now_ms)
{
    struct answer *answer = &exchange->answer;

    if (is_event_stream(exchange)) {
        if (!pass_events(relay, exchange, bytes, count, now_ms)) {
            result_broken(relay, exchange, "event_gap", now_ms);
            return false;
        }
        return true;
    }
    first_bytes(exchange, now_ms);
    exchange->progress_ms = now_ms;
    if (answer->begun) {
        answer_body(relay, exchange, bytes, count, now_ms);
        return true;
    }
    g_byte_array_append(answer->body, bytes, (guint)count);
    if (answer->body->len > HELD_MAX_BYTES) {
        answer_begin(relay, exchange, answer->length, now_ms);
        answer_body(relay, exchange, answer->body->data, answer->body->len,
                    now_ms);
        g_byte_array_set_size(answer->body, 0);
    }
    return true;
}

/**
 * result_complete() - an answer is whole
 * @relay: the relay
 * @exchange: the request, detached from its connection; gone afterwards
 * @now_ms: present time
 */
void
result_complete(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    struct answer *answer = &exchange->answer;
    GString *rest = exchange->events.partial;

    if (!answer->begun) {
        answer_begin(relay, exchange, (int64_t)answer->body->len, now_ms);
        answer_body(relay, exchange, answer->body->data, answer->body->len,
                    now_ms);
    }
    if (is_event_stream(exchange) && rest->len > 0) {
        answer_body(relay, exchange, rest->str, rest->len, now_ms);
    }
    answer_end(relay, exchange, now_ms);
    counter_add(CTR_ANSWERS, 1);
    if (exchange->first_ms != 0) {
        histogram_add(HIST_FIRST_BYTE,
                      exchange->first_ms - exchange->arrived_ms);
    }
    histogram_add(HIST_WHOLE, now_ms - exchange->arrived_ms);
    histogram_add(HIST_WAIT, exchange->sent_ms - exchange->arrived_ms);
    log_line(LOG_PRI_INFO, "relay",
             "event=answered id=%s status=%d sends=%d resumes=%d "
             "waited_ms=%" G_GINT64_FORMAT " first_ms=%" G_GINT64_FORMAT
             " gap_ms=%" G_GINT64_FORMAT " age_ms=%" G_GINT64_FORMAT
             " goal_ms=%" G_GINT64_FORMAT " item=%s",
             exchange->facts.attempt, answer->status, exchange->sends,
             exchange->resumes,
             (gint64)(exchange->sent_ms - exchange->arrived_ms),
             exchange->first_ms != 0
                 ? (gint64)(exchange->first_ms - exchange->arrived_ms)
                 : (gint64)-1,
             (gint64)exchange->gap_ms, (gint64)(now_ms - exchange->arrived_ms),
             (gint64)exchange->route->latency_goal_ms, exchange->facts.item);
    exchange_finish(relay, exchange, now_ms);
}

/**
 * result_broken() - the target's answer ended before it was whole
 * @relay: the relay
 * @exchange: the request; may be gone afterwards
 * @cause: what happened
 * @now_ms: present time
 */
void
result_broken(struct relay *relay, struct exchange *exchange,
              const char *cause, int64_t now_ms)
{
    struct relay_target *target = target_of(relay, exchange);

    log_result(exchange, cause, target, 0, now_ms);
    if (target != NULL) {
        health_request_failed(&target->choose.health);
    }
    counter_add(exchange->answer.begun ? CTR_RETRY_RESUME : CTR_RETRY_BROKEN,
                1);
    if (!exchange->answer.begun) {
        g_byte_array_set_size(exchange->answer.body, 0);
        g_string_truncate(exchange->answer.head, 0);
    }
    leave_upstream(relay, exchange, true);
    run_again(relay, exchange, now_ms);
}
