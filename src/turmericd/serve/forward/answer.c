/**
 * DOC: Passes an answer from a target to its call and judges how it ended.
 *
 * What can be sent again is passed on only when it is whole; a stream is
 * passed on by complete events, so that it can be resumed after any of them.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/forward/internal.h"

enum {
    STATUS_OK = 200,
    STATUS_NOT_FOUND = 404,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503
};

/**
 * answer_init() - expect an answer
 * @answer: the answer
 * @calls: table of calls
 * @attempt: the attempt
 * @request: the call's request
 */
void
answer_init(struct answer *answer, struct calls *calls,
            const struct attempt *attempt, const struct call_request *request)
{
    memset(answer, 0, sizeof(*answer));
    answer->calls = calls;
    answer->call = attempt->call;
    answer->stream = request->stream;
    answer->keep_text =
        request->stream && request->idempotent && request->leaf != 0;
    answer->resumed = attempt->resume_from > 0;
    answer->elsewhere = answer->resumed && !attempt->resume_same_engine;
    answer->began = answer->resumed;
    answer->held = g_string_new(NULL);
    sse_init(&answer->sse);
}

/**
 * answer_clear() - release an answer
 * @answer: the answer
 */
void
answer_clear(struct answer *answer)
{
    g_string_free(answer->held, TRUE);
    sse_clear(&answer->sse);
}

/**
 * answer_head() - the head of the answer has come
 * @answer: the answer
 * @status: HTTP status
 * @type: content type; may be NULL
 */
void
answer_head(struct answer *answer, int status, const char *type)
{
    answer->head_known = true;
    answer->status = status;
    snprintf(answer->content_type, sizeof(answer->content_type), "%s",
             type != NULL ? type : "");
    if (answer->stream && status == STATUS_OK &&
        g_str_has_prefix(answer->content_type, "text/event-stream")) {
        answer->mode = ANSWER_EVENTS;
    }
}

static bool
start(struct answer *answer)
{
    struct call_answer head = {.status = answer->status};

    if (answer->began) {
        return true;
    }
    memcpy(head.content_type, answer->content_type, sizeof(head.content_type));
    answer->began = call_start_answer(answer->calls, answer->call, &head);
    answer->caller_gone = !answer->began;
    return answer->began;
}

static bool
pass_on(struct answer *answer, const char *data, size_t bytes)
{
    if (!start(answer)) {
        return false;
    }
    if (!call_write(answer->calls, answer->call, data, bytes)) {
        answer->caller_gone = true;
        return false;
    }
    return true;
}

static bool
pass_event(struct answer *answer, const struct sse_event *event)
{
    bool text_known = true;
    bool opening = false;
    char *text = NULL;
    bool passed;

    if (answer->keep_text && !event->done && event->data[0] != '\0') {
        opening = body_delta(event->data, &text_known, &text);
    }
    if (opening && answer->elsewhere) {
        /* The caller has seen the opening of the first engine. */
        passed = true;
    }
    else {
        passed = pass_on(answer, event->raw, event->raw_bytes);
    }
    if (passed && text != NULL) {
        call_add_text(answer->calls, answer->call, text_known ? text : NULL,
                      strlen(text));
    }
    if (passed && event->data[0] != '\0') {
        answer->events++;
        answer->whole = event->done;
    }
    free(text);
    return passed;
}

static bool
pass_events(struct answer *answer, const char *data, size_t bytes)
{
    struct sse_event event;
    bool going = sse_feed(&answer->sse, data, bytes);

    while (going && !answer->whole && sse_next(&answer->sse, &event)) {
        going = pass_event(answer, &event);
        g_free(event.data);
    }
    return going && !answer->whole;
}

static bool
hold(struct answer *answer, const char *data, size_t bytes)
{
    g_string_append_len(answer->held, data, (gssize)bytes);
    if (answer->held->len <= HELD_ANSWER_MAX_BYTES || answer->resumed) {
        return answer->held->len <= HELD_ANSWER_MAX_BYTES;
    }
    answer->mode = ANSWER_PASS;
    return pass_on(answer, answer->held->str, answer->held->len);
}

/**
 * answer_data() - more of the body has come
 * @answer: the answer
 * @data: the bytes
 * @bytes: how many
 *
 * Return: false when the transfer shall end.
 */
bool
answer_data(struct answer *answer, const char *data, size_t bytes)
{
    switch (answer->mode) {
    case ANSWER_EVENTS:
        return pass_events(answer, data, bytes);
    case ANSWER_PASS:
        return pass_on(answer, data, bytes);
    case ANSWER_HOLD:
        break;
    }
    return hold(answer, data, bytes);
}

static bool
is_not_loaded(const struct answer *answer)
{
    return answer->status == STATUS_NOT_FOUND &&
           body_says(answer->held->str, answer->held->len, "error",
                     "not_loaded");
}

static bool
is_busy(const struct answer *answer)
{
    return (answer->status == STATUS_UNAVAILABLE ||
            answer->status == STATUS_TOO_MANY) &&
           (answer->not_run || body_says(answer->held->str, answer->held->len,
                                         "outcome", "not_run"));
}

static enum attempt_result_kind
finish(struct answer *answer)
{
    if (!start(answer)) {
        return ATTEMPT_CALLER_GONE;
    }
    if (answer->mode == ANSWER_HOLD &&
        !call_write(answer->calls, answer->call, answer->held->str,
                    answer->held->len)) {
        return ATTEMPT_CALLER_GONE;
    }
    return call_finish(answer->calls, answer->call, true)
               ? ATTEMPT_OK
               : ATTEMPT_CALLER_GONE;
}

static enum attempt_result_kind
judge_complete(struct answer *answer, struct attempt_result *result)
{
    if (answer->mode == ANSWER_PASS) {
        return finish(answer);
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
                 "the target answered a resume with status %d",
                 answer->status);
        return ATTEMPT_BROKEN;
    }
    return finish(answer);
}

/**
 * answer_end() - the transfer is over
 * @answer: the answer
 * @end: how it ended
 * @result: its kind, events and, for some kinds, text are filled in
 */
void
answer_end(struct answer *answer, enum transfer_end end,
           struct attempt_result *result)
{
    if (answer->caller_gone) {
        result->kind = ATTEMPT_CALLER_GONE;
    }
    else if (answer->whole) {
        result->kind = finish(answer);
    }
    else if (end == TRANSFER_COMPLETE) {
        result->kind = judge_complete(answer, result);
    }
    else if (end == TRANSFER_NOT_CONNECTED) {
        result->kind = ATTEMPT_NOT_SENT;
    }
    else if (end == TRANSFER_NO_FIRST_BYTE) {
        result->kind = ATTEMPT_TIMEOUT;
    }
    else {
        result->kind = ATTEMPT_BROKEN;
    }
    result->events += answer->events;
    if (answer->mode == ANSWER_PASS && result->kind == ATTEMPT_BROKEN) {
        result->events = ATTEMPT_EVENTS_NOT_RESUMABLE;
    }
}
