/**
 * DOC: One HTTP exchange with a target.
 *
 * Uses libcurl directly: the HTTP client of ulfius 2.7 reports neither whether
 * a connection was made nor how a transfer failed, and its only timeout is in
 * whole seconds for the whole transfer. The outcome "not run" depends on
 * whether a connection was made, and the first-byte deadline and the idle
 * timeout must be able to end a transfer at any time. Connections are never
 * reused, because libcurl resends a request by itself when a reused connection
 * turns out to be closed, and the target may already have run it.
 */
#include <curl/curl.h>
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
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
    CONNECT_TIMEOUT_MS = 2000,
    CANCEL_TIMEOUT_S = 1,
    URL_MAX_BYTES = ADDRESS_MAX_BYTES + CALL_URL_MAX_BYTES + 16,
    HEADER_MAX_BYTES = 512,
    STATUS_OK = 200,
    STATUS_UNAVAILABLE = 503,
};

/**
 * struct transfer - an exchange in progress
 * @easy: libcurl handle
 * @answer: receives the answer
 * @head: head of the answer
 * @body: body rewritten for an engine, or NULL; owned
 * @headers: header fields of the request; owned
 * @idle_timeout_ms: longest pause between two parts of the answer's body
 * @last_data_ms: monotonic time when the last part of the body was processed
 * @has_first_byte: the first byte of the body has been received
 * @head_ended: the head of the final response is complete
 * @target: id of the target
 * @port: receives what the head says of the target
 */
struct transfer {
    CURL *easy;
    struct answer *answer;
    struct http_head head;
    char *body;
    struct curl_slist *headers;
    int64_t idle_timeout_ms;
    int64_t last_data_ms;
    bool has_first_byte;
    bool head_ended;
    uint64_t target;
    struct forward_port *port;
};

static void
record_head(struct transfer *transfer)
{
    long status = 0;
    char *content_type = NULL;

    if (!transfer->answer->head_known) {
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
        curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_TYPE,
                          &content_type);
        answer_set_head(transfer->answer, (int)status, content_type);
    }
}

static size_t
on_body(char *data, size_t size, size_t count, void *argument)
{
    struct transfer *transfer = argument;
    bool keep_going;

    record_head(transfer);
    transfer->has_first_byte = true;
    keep_going = answer_receive(transfer->answer, data, size * count);
    transfer->last_data_ms = clock_now_ms();
    return keep_going ? size * count : 0;
}

/* The notice doesn't wait for the body: other calls would be sent to a target
 * that leaves as long as a stream lasts. */
static void
end_head(struct transfer *transfer, long status)
{
    struct answer *answer = transfer->answer;
    struct target_notice notice = {
        .target = transfer->target,
        .heard_ms = clock_now_ms(),
    };

    transfer->head_ended = true;
    if (answer_get_notice(answer, (int)status, &notice)) {
        transfer->port->ops->report_notice(transfer->port, &notice);
    }
    if (status == STATUS_UNAVAILABLE &&
        answer->retry_after == RETRY_AFTER_INVALID) {
        counter_add(CTR_HOLDOFF_INVALID, 1);
        log_line(LOG_PRI_WARNING, "forward",
                 "event=retry_after_invalid target=%016" PRIx64 " max_ms=%d",
                 transfer->target, RETRY_AFTER_MAX_MS);
    }
}

static bool
is_blank(const char *line, size_t bytes)
{
    return bytes > 0 && (line[0] == '\r' || line[0] == '\n');
}

/* Also gets the trailers of a chunked body, which say nothing. */
static size_t
on_header(char *data, size_t size, size_t count, void *argument)
{
    struct transfer *transfer = argument;
    size_t bytes = size * count;
    long status = 0;

    if (http_starts_head(data, bytes)) {
        answer_reset_fields(transfer->answer);
    }
    else if (!transfer->head_ended && !is_blank(data, bytes)) {
        answer_add_field(transfer->answer, data, bytes);
    }
    else if (!transfer->head_ended) {
        curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
        if (status >= STATUS_OK && transfer->head.fault == NULL) {
            end_head(transfer, status);
        }
    }
    return http_head_add(&transfer->head, data, bytes) ? bytes : 0;
}

static void add_header(struct transfer *transfer, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_header(struct transfer *transfer, const char *format, ...)
{
    char line[HEADER_MAX_BYTES];
    va_list arguments;

    va_start(arguments, format);
    vsnprintf(line, sizeof(line), format, arguments);
    va_end(arguments);
    transfer->headers = curl_slist_append(transfer->headers, line);
}

static void
set_headers(struct transfer *transfer, const struct attempt *attempt,
            const struct call_request *request)
{
    add_header(transfer, "Expect:");
    if (request->content_type[0] != '\0') {
        add_header(transfer, "Content-Type: %s", request->content_type);
    }
    else {
        add_header(transfer, "Content-Type:");
    }
    if (request->leaf != 0) {
        add_header(transfer, "X-Stream-Id: %s", attempt->stream_id);
    }
    if (attempt->resume_from > 0 && attempt->resume_same_engine) {
        add_header(transfer, "X-Resume-From: %u", attempt->resume_from);
    }
    if (!request->idempotent) {
        add_header(transfer, "Idempotency-Key: %s", request->idempotency_key);
    }
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void
set_body(struct transfer *transfer, const struct call_request *request,
         const char *generated_text)
{
    size_t bytes = request->body_bytes;
    const char *body = (const char *)request->body;

    if (request->leaf != 0) {
        transfer->body =
            body_build_for_engine(request, generated_text, &bytes);
        body = transfer->body;
    }
    if (bytes > 0 || strcmp(request->method, "POST") == 0 ||
        strcmp(request->method, "PUT") == 0) {
        curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)bytes);
        curl_easy_setopt(transfer->easy, CURLOPT_POSTFIELDS,
                         body != NULL ? body : "");
    }
    if (strcmp(request->method, "HEAD") == 0) {
        curl_easy_setopt(transfer->easy, CURLOPT_NOBODY, 1L);
    }
    else {
        curl_easy_setopt(transfer->easy, CURLOPT_CUSTOMREQUEST,
                         request->method);
    }
}

static void
set_options(struct transfer *transfer, const struct attempt *attempt,
            const struct call_request *request, const char *generated_text)
{
    CURL *easy = transfer->easy;
    char url[URL_MAX_BYTES];

    snprintf(url, sizeof(url), "http://%s%s", attempt->address, request->url);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    set_headers(transfer, attempt, request);
    set_body(transfer, request, generated_text);
}

/* The outcome "not run" depends on this, so a connection is ruled out only
 * when there is neither a connect time nor a request byte passed to the
 * socket. */
static bool
was_connected(CURL *easy)
{
    curl_off_t connect_us = 0;
    long request_bytes = 0;

    curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connect_us);
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
    return connect_us > 0 || request_bytes > 0;
}

static enum transfer_end
classify_end(struct transfer *transfer, CURLcode code, char *detail,
             size_t detail_bytes)
{
    if (code == CURLE_OK && http_head_check_end(&transfer->head)) {
        record_head(transfer);
        return TRANSFER_COMPLETE;
    }
    snprintf(detail, detail_bytes, "%s",
             transfer->head.fault != NULL ? transfer->head.fault
                                          : curl_easy_strerror(code));
    return was_connected(transfer->easy) ? TRANSFER_BROKEN
                                         : TRANSFER_NOT_CONNECTED;
}

static enum transfer_end
classify_timeout(const struct transfer *transfer, char *detail,
                 size_t detail_bytes)
{
    if (!was_connected(transfer->easy)) {
        snprintf(detail, detail_bytes, "no connection by the deadline");
        return TRANSFER_NOT_CONNECTED;
    }
    if (!transfer->has_first_byte) {
        snprintf(detail, detail_bytes, "no first byte by the deadline");
        return TRANSFER_NO_FIRST_BYTE;
    }
    snprintf(detail, detail_bytes, "no data from the target for %lld ms",
             (long long)(clock_now_ms() - transfer->last_data_ms));
    return TRANSFER_SILENT;
}

/**
 * silence_ends_ms() - when a silent target loses its call
 * @silence: state of the transfer
 *
 * The deadline applies to the target's first byte, even when the answer is
 * buffered and the caller gets its first byte only when it is complete. A
 * target that falls silent later loses the call after the idle timeout, but
 * not before the deadline when no other target can continue the answer.
 */
int64_t
silence_ends_ms(const struct silence *silence)
{
    int64_t idle_ms = silence->last_data_ms + silence->idle_timeout_ms;

    if (!silence->has_first_byte) {
        return silence->deadline_ms;
    }
    return silence->is_last ? MAX(idle_ms, silence->deadline_ms) : idle_ms;
}

static int64_t
expires_ms(const struct transfer *transfer, const struct attempt *attempt)
{
    struct silence silence = {
        .has_first_byte = transfer->has_first_byte,
        .is_last =
            attempt->is_last || transfer->answer->mode == ANSWER_PASS_THROUGH,
        .last_data_ms = transfer->last_data_ms,
        .idle_timeout_ms = transfer->idle_timeout_ms,
        .deadline_ms = attempt->deadline_ms,
    };

    return silence_ends_ms(&silence);
}

static bool
is_finished(CURLM *multi, CURLcode *code)
{
    int queued_count;
    CURLMsg *message;

    while ((message = curl_multi_info_read(multi, &queued_count)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            *code = message->data.result;
            return true;
        }
    }
    return false;
}

static enum transfer_end
run_loop(CURLM *multi, struct transfer *transfer,
         const struct attempt *attempt, atomic_bool *stopping, char *detail,
         size_t detail_bytes)
{
    CURLcode code = CURLE_OK;
    int running_count = 0;

    for (;;) {
        int64_t remaining_ms;

        curl_multi_perform(multi, &running_count);
        if (is_finished(multi, &code)) {
            return classify_end(transfer, code, detail, detail_bytes);
        }
        remaining_ms = expires_ms(transfer, attempt) - clock_now_ms();
        if (remaining_ms <= 0) {
            return classify_timeout(transfer, detail, detail_bytes);
        }
        if (atomic_load(stopping)) {
            snprintf(detail, detail_bytes, "the instance is stopping");
            return was_connected(transfer->easy) ? TRANSFER_STOPPED
                                                 : TRANSFER_NOT_CONNECTED;
        }
        curl_multi_poll(multi, NULL, 0, (int)remaining_ms, NULL);
    }
}

/**
 * transfer_run() - send a request to a target and receive its answer
 * @multi: libcurl handle; curl_multi_wakeup() makes it check @stopping
 * @attempt: address of the target, deadline and resume position
 * @request: the request
 * @generated_text: text generated so far, which the engine continues, or NULL
 * @answer: receives the answer
 * @port: receives what the answer's head says of the target
 * @idle_timeout_ms: longest pause between two parts of the answer's body
 * @stopping: set by another thread to end the transfer
 * @detail: set to an error text unless TRANSFER_COMPLETE is returned
 * @detail_bytes: size of @detail
 *
 * Return: how the exchange ended. TRANSFER_NOT_CONNECTED guarantees that no
 * byte of the request was sent.
 */
enum transfer_end
transfer_run(CURLM *multi, const struct attempt *attempt,
             const struct call_request *request, const char *generated_text,
             struct answer *answer, struct forward_port *port,
             int64_t idle_timeout_ms, atomic_bool *stopping, char *detail,
             size_t detail_bytes)
{
    struct transfer transfer = {.answer = answer,
                                .port = port,
                                .target = attempt->target,
                                .idle_timeout_ms = idle_timeout_ms};
    enum transfer_end end = TRANSFER_NOT_CONNECTED;

    transfer.easy = curl_easy_init();
    if (transfer.easy == NULL) {
        snprintf(detail, detail_bytes, "no memory for a libcurl handle");
        return end;
    }
    set_options(&transfer, attempt, request, generated_text);
    curl_multi_add_handle(multi, transfer.easy);
    end = run_loop(multi, &transfer, attempt, stopping, detail, detail_bytes);
    curl_multi_remove_handle(multi, transfer.easy);
    curl_easy_cleanup(transfer.easy);
    curl_slist_free_all(transfer.headers);
    free(transfer.body);
    return end;
}

/**
 * transfer_cancel() - ask an engine to stop generating a stream
 * @attempt: attempt that started the stream
 *
 * Best effort: an engine that doesn't respond ends the stream by itself when
 * it detects that the connection is closed.
 */
void
transfer_cancel(const struct attempt *attempt)
{
    struct _u_request request;
    struct _u_response response;
    char url[URL_MAX_BYTES];
    char body[STREAM_ID_MAX_BYTES + 32];

    snprintf(url, sizeof(url), "http://%s/v1/cancel", attempt->address);
    snprintf(body, sizeof(body), "{\"stream_id\":\"%s\"}", attempt->stream_id);
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    ulfius_set_request_properties(
        &request, U_OPT_HTTP_VERB, "POST", U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
        (unsigned long)CANCEL_TIMEOUT_S, U_OPT_HEADER_PARAMETER,
        "Content-Type", "application/json", U_OPT_BINARY_BODY, body,
        strlen(body), U_OPT_NONE);
    ulfius_send_http_request(&request, &response);
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
}
