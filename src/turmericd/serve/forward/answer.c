/**
 * DOC: Forwards a target's answer to its call and classifies how it ended.
 *
 * Any answer but a stream is buffered up to BUFFERED_ANSWER_MAX_BYTES and
 * forwarded only when it is complete, so that the request can be retried until
 * then. A stream is forwarded in complete events, so that it can be resumed
 * after each of them.
 */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/forward/internal.h"

enum {
    STATUS_OK = 200,
    STATUS_MULTIPLE_CHOICES = 300,
    STATUS_NOT_FOUND = 404,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503
};

/**
 * forward_answer_init() - set up the answer to an attempt
 * @answer: the answer, released with forward_answer_clear()
 * @calls: table of calls
 * @attempt: the attempt
 * @request: the request of the call
 */
void
forward_answer_init(struct answer *answer, struct calls *calls,
                    const struct attempt *attempt,
                    const struct call_request *request)
{
    memset(answer, 0, sizeof(*answer));
    answer->calls = calls;
    answer->call = attempt->call;
    answer->stream = request->stream;
    answer->keep_text =
        request->stream && request->idempotent && request->leaf != 0;
    answer->resumed = attempt->resume_from > 0;
    answer->resumed_other_engine =
        answer->resumed && !attempt->resume_same_engine;
    answer->started = answer->resumed;
    answer->buffered = g_string_new(NULL);
    sse_parser_init(&answer->parser);
}

/**
 * forward_answer_clear() - release the buffers of an answer
 * @answer: the answer
 */
void
forward_answer_clear(struct answer *answer)
{
    g_string_free(answer->buffered, TRUE);
    sse_parser_clear(&answer->parser);
}

static bool
is_event_stream(const struct answer *answer)
{
    static const char type[] = "text/event-stream";

    return answer->status >= STATUS_OK &&
           answer->status < STATUS_MULTIPLE_CHOICES &&
           g_ascii_strncasecmp(answer->content_type, type, sizeof(type) - 1) ==
               0;
}

/**
 * answer_set_head() - store the head of the answer and choose its mode
 * @answer: the answer
 * @status: HTTP status
 * @content_type: value of Content-Type; NULL when the target sent none
 */
void
answer_set_head(struct answer *answer, int status, const char *content_type)
{
    answer->head_known = true;
    answer->status = status;
    snprintf(answer->content_type, sizeof(answer->content_type), "%s",
             content_type != NULL ? content_type : "");
    if (answer->stream && is_event_stream(answer)) {
        answer->mode = ANSWER_EVENTS;
    }
}

/**
 * answer_reset_fields() - forget the fields of an interim response
 * @answer: the answer
 */
void
answer_reset_fields(struct answer *answer)
{
    answer->outcome = ANSWER_OUTCOME_NONE;
    answer->leaving = false;
    answer->retry_after = RETRY_AFTER_NONE;
}

/* Only "not_run" in all such fields proves that the request did not run. */
static void
add_outcome(struct answer *answer, const char *value, size_t bytes)
{
    static const char not_run[] = "not_run";
    bool is_not_run = bytes == sizeof(not_run) - 1 &&
                      g_ascii_strncasecmp(value, not_run, bytes) == 0;

    if (!is_not_run) {
        answer->outcome = ANSWER_OUTCOME_OTHER;
    }
    else if (answer->outcome == ANSWER_OUTCOME_NONE) {
        answer->outcome = ANSWER_OUTCOME_NOT_RUN;
    }
}

/**
 * retry_after_parse() - read a number of seconds, with or without a fraction
 * @value: the value, not terminated
 * @bytes: its length
 * @wait_ms: set to the time, rounded up
 *
 * Return: false for anything else and for more than RETRY_AFTER_MAX_MS.
 */
bool
retry_after_parse(const char *value, size_t bytes, int64_t *wait_ms)
{
    int64_t unit_us = 1000000;
    int64_t us = 0;
    bool in_fraction = false;

    for (size_t i = 0; i < bytes; i++) {
        if (value[i] == '.' && !in_fraction && i > 0 && i + 1 < bytes) {
            in_fraction = true;
        }
        else if (!g_ascii_isdigit(value[i])) {
            return false;
        }
        else if (in_fraction) {
            unit_us /= 10;
            us += (value[i] - '0') * unit_us;
        }
        else if (us <= RETRY_AFTER_MAX_MS * 1000LL) {
            us = us * 10 + (value[i] - '0') * unit_us;
        }
    }
    *wait_ms = (us + 999) / 1000;
    return bytes > 0 && *wait_ms <= RETRY_AFTER_MAX_MS;
}

static void
add_retry_after(struct answer *answer, const char *value, size_t bytes)
{
    int64_t wait_ms;
    bool valid = retry_after_parse(value, bytes, &wait_ms);

    if (!valid || (answer->retry_after != RETRY_AFTER_NONE &&
                   answer->retry_after_ms != wait_ms)) {
        answer->retry_after = RETRY_AFTER_INVALID;
    }
    else if (answer->retry_after == RETRY_AFTER_NONE) {
        answer->retry_after = RETRY_AFTER_VALID;
        answer->retry_after_ms = wait_ms;
    }
}

/**
 * answer_add_field() - store a header field that says something of the target
 * @answer: the answer
 * @line: line of the head, not terminated
 * @bytes: its length
 */
void
answer_add_field(struct answer *answer, const char *line, size_t bytes)
{
    const char *value;
    size_t value_bytes;

    if ((value = http_field_value(line, bytes, "X-Outcome", &value_bytes)) !=
        NULL) {
        add_outcome(answer, value, value_bytes);
    }
    else if ((value = http_field_value(line, bytes, "X-Leaving",
                                       &value_bytes)) != NULL) {
        answer->leaving |= value_bytes == 1 && value[0] == '1';
    }
    else if ((value = http_field_value(line, bytes, "Retry-After",
                                       &value_bytes)) != NULL) {
        add_retry_after(answer, value, value_bytes);
    }
}

/**
 * answer_get_notice() - what a complete head says of its target
 * @answer: the answer
 * @status: HTTP status
 * @notice: leaving, holds_off and holdoff_ms are set
 *
 * Return: whether it says anything.
 */
bool
answer_get_notice(const struct answer *answer, int status,
                  struct target_notice *notice)
{
    notice->leaving = answer->leaving;
    notice->holds_off = status == STATUS_UNAVAILABLE &&
                        answer->retry_after == RETRY_AFTER_VALID;
    notice->holdoff_ms = notice->holds_off ? answer->retry_after_ms : 0;
    return notice->leaving || notice->holds_off;
}

static bool
start_answer(struct answer *answer)
{
    struct call_answer_head head = {.status = answer->status};

    if (answer->started) {
        return true;
    }
    memcpy(head.content_type, answer->content_type, sizeof(head.content_type));
    answer->started = call_start_answer(answer->calls, answer->call, &head);
    answer->caller_gone = !answer->started;
    return answer->started;
}

static bool
forward_bytes(struct answer *answer, const char *data, size_t bytes)
{
    if (!start_answer(answer)) {
        return false;
    }
    if (!call_write(answer->calls, answer->call, data, bytes)) {
        answer->caller_gone = true;
        return false;
    }
    return true;
}

static bool
forward_event(struct answer *answer, const struct sse_event *event)
{
    bool text_only = true;
    bool role_only = false;
    char *text = NULL;
    bool forwarded;

    if (answer->keep_text && !event->done && event->data[0] != '\0') {
        role_only = body_parse_delta(event->data, &text_only, &text);
    }
    if (role_only && answer->resumed_other_engine) {
        /* The caller already has the role event of the first engine. */
        forwarded = true;
    }
    else if (role_only && answer->resumed && answer->event_count == 0) {
        answer->restarted = true;
        forwarded = false;
    }
    else {
        forwarded = forward_bytes(answer, event->raw, event->raw_bytes);
    }
    if (forwarded && text != NULL) {
        call_append_text(answer->calls, answer->call, text_only ? text : NULL,
                         strlen(text));
    }
    if (forwarded && event->data[0] != '\0') {
        answer->event_count++;
        answer->complete = event->done;
    }
    free(text);
    return forwarded;
}

static bool
forward_events(struct answer *answer, const char *data, size_t bytes)
{
    struct sse_event event;
    bool keep_going = sse_parser_feed(&answer->parser, data, bytes);

    while (keep_going && !answer->complete &&
           sse_parser_next(&answer->parser, &event)) {
        keep_going = forward_event(answer, &event);
        g_free(event.data);
    }
    return keep_going && !answer->complete;
}

static bool
buffer_bytes(struct answer *answer, const char *data, size_t bytes)
{
    g_string_append_len(answer->buffered, data, (gssize)bytes);
    if (answer->buffered->len <= BUFFERED_ANSWER_MAX_BYTES ||
        answer->resumed) {
        return answer->buffered->len <= BUFFERED_ANSWER_MAX_BYTES;
    }
    answer->mode = ANSWER_PASS_THROUGH;
    return forward_bytes(answer, answer->buffered->str, answer->buffered->len);
}

/**
 * answer_receive() - process a part of the body
 * @answer: the answer
 * @data: the part
 * @bytes: length of @data
 *
 * Return: false when the transfer must end: the answer is complete, exceeds a
 * limit, or its caller is gone.
 */
bool
answer_receive(struct answer *answer, const char *data, size_t bytes)
{
    switch (answer->mode) {
    case ANSWER_EVENTS:
        return forward_events(answer, data, bytes);
    case ANSWER_PASS_THROUGH:
        return forward_bytes(answer, data, bytes);
    case ANSWER_BUFFER:
        break;
    }
    return buffer_bytes(answer, data, bytes);
}

static bool
is_not_loaded(const struct answer *answer)
{
    return answer->status == STATUS_NOT_FOUND &&
           body_has_member(answer->buffered->str, answer->buffered->len,
                           "error", "not_loaded");
}

static bool
has_outcome(const struct answer *answer, const char *outcome)
{
    return body_has_member(answer->buffered->str, answer->buffered->len,
                           "outcome", outcome);
}

/* A target that names the time in which it wants no requests has turned this
 * one away, unless it says that the request ran or may have run. */
static bool
is_turned_away(const struct answer *answer)
{
    return answer->status == STATUS_UNAVAILABLE &&
           answer->retry_after == RETRY_AFTER_VALID &&
           !has_outcome(answer, "ran") && !has_outcome(answer, "unknown");
}

static bool
is_busy(const struct answer *answer)
{
    return (answer->status == STATUS_UNAVAILABLE ||
            answer->status == STATUS_TOO_MANY) &&
           (answer->outcome == ANSWER_OUTCOME_NOT_RUN ||
            (answer->outcome == ANSWER_OUTCOME_NONE &&
             (has_outcome(answer, "not_run") || is_turned_away(answer))));
}

static enum attempt_result_kind
finish_answer(struct answer *answer)
{
    if (!start_answer(answer)) {
        return ATTEMPT_CALLER_GONE;
    }
    if (answer->mode == ANSWER_BUFFER &&
        !call_write(answer->calls, answer->call, answer->buffered->str,
                    answer->buffered->len)) {
        return ATTEMPT_CALLER_GONE;
    }
    return call_end_answer(answer->calls, answer->call, true)
               ? ATTEMPT_OK
               : ATTEMPT_CALLER_GONE;
}

static enum attempt_result_kind
classify_complete(struct answer *answer, struct attempt_result *result)
{
    if (answer->mode == ANSWER_PASS_THROUGH) {
        return finish_answer(answer);
    }
    if (answer->mode == ANSWER_EVENTS) {
        snprintf(result->text, sizeof(result->text),
                 "the stream ended without [DONE]");
        return ATTEMPT_BROKEN;
    }
    if (is_not_loaded(answer)) {
        return ATTEMPT_NOT_LOADED;
    }
    if (is_busy(answer)) {
        return ATTEMPT_BUSY;
    }
    if (answer->resumed) {
        snprintf(result->text, sizeof(result->text),
                 "the target answered the resume request with status %d",
                 answer->status);
        return ATTEMPT_BROKEN;
    }
    return finish_answer(answer);
}

/**
 * forward_answer_end() - classify an answer after its transfer
 * @answer: the answer
 * @end: how the transfer ended
 * @result: kind is set, @answer's events are added to events, and text is set
 *          for some kinds
 */
void
forward_answer_end(struct answer *answer, enum transfer_end end,
                   struct attempt_result *result)
{
    if (answer->caller_gone) {
        result->kind = ATTEMPT_CALLER_GONE;
    }
    else if (answer->complete) {
        result->kind = finish_answer(answer);
    }
    else if (end == TRANSFER_COMPLETE) {
        result->kind = classify_complete(answer, result);
    }
    else if (end == TRANSFER_NOT_CONNECTED) {
        result->kind = ATTEMPT_NOT_SENT;
    }
    else if (end == TRANSFER_NO_FIRST_BYTE) {
        result->kind = ATTEMPT_TIMEOUT;
    }
    else {
        result->kind = ATTEMPT_BROKEN;
        result->silent = end == TRANSFER_SILENT;
    }
    if (answer->restarted) {
        snprintf(result->text, sizeof(result->text),
                 "the engine sent the stream from its start");
    }
    result->events += answer->event_count;
    if (answer->mode == ANSWER_PASS_THROUGH &&
        result->kind == ATTEMPT_BROKEN) {
        result->events = ATTEMPT_EVENTS_NOT_RESUMABLE;
    }
}
