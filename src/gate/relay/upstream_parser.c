/**
 * DOC: Parser of targets' responses.
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
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* Keeps a request from crossing the target's close of the connection. */
enum { KEEP_ALIVE_MARGIN_MS = 700, KEEP_ALIVE_MAX_S = 24 * 3600 };

static int
on_status(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    head_add_start(&upstream->head, bytes, count);
    return 0;
}

static int
on_header_field(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    return head_add_name(&upstream->head, bytes, count) ? 0 : -1;
}

static int
on_header_value(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    return head_add_value(&upstream->head, bytes, count) ? 0 : -1;
}

/* Whatever its head says (RFC 9112, 6.3). */
static bool
has_no_body(unsigned status)
{
    return status < 200 || status == 204 || status == 304;
}

static enum body_framing
read_framing(const http_parser *parser, bool no_body)
{
    if (no_body || (parser->flags & F_CONTENTLENGTH)) {
        return FRAMED_BY_LENGTH;
    }
    return parser->flags & F_CHUNKED ? FRAMED_IN_CHUNKS : FRAMED_BY_CLOSE;
}

static int
on_headers_complete(http_parser *parser)
{
    struct upstream *upstream = parser->data;
    bool no_body = upstream->no_body || has_no_body(parser->status_code);

    head_finish(&upstream->head);
    upstream->status_kind =
        status_kind(parser->status_code, upstream->interim_count);
    if (upstream->status_kind == STATUS_NONE ||
        head_is_joined(&upstream->head)) {
        return -1;
    }
    upstream->head_complete = true;
    upstream->framing = read_framing(parser, no_body);
    return no_body ? 1 : 0;
}

static int
on_body(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    g_byte_array_append(upstream->body, (const guint8 *)bytes, (guint)count);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct upstream *upstream = parser->data;

    upstream->answer_complete = true;
    upstream->keep_alive = http_should_keep_alive(parser);
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_status = on_status,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

/**
 * upstream_parser_reset() - prepare for the next response
 * @upstream: the connection
 */
void
upstream_parser_reset(struct upstream *upstream)
{
    http_parser_init(&upstream->parser, HTTP_RESPONSE);
    upstream->parser.data = upstream;
    head_reset(&upstream->head);
    g_byte_array_set_size(upstream->body, 0);
    memset(&upstream->meta, 0, sizeof(upstream->meta));
    upstream->status_kind = STATUS_FINAL;
    upstream->head_complete = false;
    upstream->head_handled = false;
    upstream->discarding = false;
    upstream->answer_complete = false;
    upstream->has_extra_bytes = false;
}

static void
read_metadata(struct relay *relay, struct upstream *upstream)
{
    const struct head *head = &upstream->head;

    for (int i = 0; i < head_field_count(head); i++) {
        relay->dialect->ops->read_answer_field(
            relay->dialect, head_field_name(head, i),
            head_field_value(head, i), &upstream->meta);
    }
}

/* Keep-Alive: timeout=, in whole seconds. */
static void
read_keep_alive(struct upstream *upstream)
{
    const char *text = head_find_value(&upstream->head, "Keep-Alive");
    const char *timeout = text != NULL ? strstr(text, "timeout=") : NULL;

    if (timeout != NULL) {
        int64_t seconds =
            CLAMP(g_ascii_strtoll(timeout + 8, NULL, 10), 0, KEEP_ALIVE_MAX_S);

        upstream->keep_alive_ms =
            MAX(seconds * 1000 - KEEP_ALIVE_MARGIN_MS, 0);
    }
}

/* A refusal that proves that the request has not run may lack the attempt id,
 * when the target could not read it. */
static bool
is_refusal_without_id(const struct upstream *upstream)
{
    const struct answer_meta *meta = &upstream->meta;

    return meta->attempt_id[0] == '\0' &&
           (meta->not_run || upstream->parser.status_code == 421);
}

/* On a connection that has served another request, a refusal without an
 * attempt id may be a late response to that one. */
static bool
answers_exchange(const struct upstream *upstream,
                 const struct exchange *exchange)
{
    if (is_refusal_without_id(upstream)) {
        return upstream->request_count <= 1;
    }
    return !upstream->meta.has_two_ids &&
           strcmp(upstream->meta.attempt_id, exchange->meta.attempt_id) == 0;
}

/* Returns false when the connection was closed. */
static bool
handle_head(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    struct handle self = upstream->self;

    upstream->head_handled = true;
    if (upstream->discarding || exchange == NULL) {
        return true;
    }
    if (upstream->status_kind == STATUS_INTERIM) {
        /* The final response follows (RFC 9110, 15.2). */
        upstream->interim_count++;
        upstream->discarding = true;
        return true;
    }
    read_metadata(relay, upstream);
    read_keep_alive(upstream);
    if (!answers_exchange(upstream, exchange)) {
        counter_add(CTR_ANSWER_STALE, 1);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=other_answer id=%s answers=%s status=%d",
                 exchange->meta.attempt_id, upstream->meta.attempt_id,
                 (int)upstream->parser.status_code);
        if (is_refusal_without_id(upstream)) {
            upstream_abort(relay, upstream, "unnamed_refusal", now_ms);
            return false;
        }
        upstream->discarding = true;
        return true;
    }
    leaving_read_answer(relay, exchange, upstream, now_ms);
    pause_read_answer(relay, exchange, upstream, now_ms);
    result_head(relay, exchange, upstream, now_ms);
    return table_get(&relay->upstreams, self) != NULL;
}

/* Handles the end of a response. Returns false when the connection was closed
 * or has nothing more to read. */
static bool
handle_complete(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    enum answer_fault fault;

    if (upstream->discarding && exchange != NULL) {
        /* The response to this request follows, unless the target closes. */
        if (!upstream->keep_alive) {
            upstream_abort(relay, upstream, "other_answer_closed", now_ms);
            return false;
        }
        upstream_parser_reset(upstream);
        return true;
    }
    if (exchange != NULL && (fault = result_fault(exchange)) != FAULT_NONE) {
        result_not_whole(relay, exchange, fault, now_ms);
        return false;
    }
    upstream_detach(relay, upstream);
    upstream_keep_idle(relay, upstream, now_ms);
    if (exchange != NULL) {
        result_complete(relay, exchange, now_ms);
    }
    return false;
}

/* Handles what was parsed. Returns false when the connection was closed or has
 * nothing more to read. */
static bool
deliver(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct handle self = upstream->self;
    struct exchange *exchange;

    if (upstream->head_complete && !upstream->head_handled &&
        !handle_head(relay, upstream, now_ms)) {
        return false;
    }
    exchange = table_get(&relay->exchanges, upstream->exchange);
    if (exchange != NULL && !upstream->discarding && upstream->body->len > 0) {
        result_body(relay, exchange, upstream->body->data, upstream->body->len,
                    now_ms);
        if (table_get(&relay->upstreams, self) == NULL) {
            return false;
        }
        account_settle_upstream(relay, upstream);
    }
    g_byte_array_set_size(upstream->body, 0);
    return !upstream->answer_complete ||
           handle_complete(relay, upstream, now_ms);
}

/* Ends a connection on which no response can follow. */
static void
abort_unreadable(struct relay *relay, struct upstream *upstream,
                 int64_t now_ms)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    const struct relay_target *target =
        table_get(&relay->targets, upstream->target);

    if (upstream->status_kind != STATUS_NONE) {
        upstream_abort(relay, upstream, "not_http", now_ms);
        return;
    }
    counter_add(CTR_ANSWER_BAD_STATUS, 1);
    log_line(LOG_PRI_WARNING, "relay",
             "event=no_status id=%s target=%s status=%03d interim=%d",
             exchange != NULL ? exchange->meta.attempt_id : "-",
             target != NULL ? target->record.info.id : "-",
             (int)upstream->parser.status_code, upstream->interim_count);
    upstream_abort(relay, upstream, "bad_status", now_ms);
}

/**
 * upstream_parser_execute() - parse bytes of a response
 * @relay: the relay
 * @upstream: the connection; may be invalid afterwards
 * @bytes: the bytes
 * @count: their number
 * @now_ms: current time
 */
void
upstream_parser_execute(struct relay *relay, struct upstream *upstream,
                        const unsigned char *bytes, size_t count,
                        int64_t now_ms)
{
    do {
        size_t consumed = http_parser_execute(
            &upstream->parser, &parser_settings, (const char *)bytes, count);
        bool complete = upstream->answer_complete;

        if (complete) {
            http_parser_pause(&upstream->parser, 0);
            upstream->has_extra_bytes = consumed < count;
        }
        else if (upstream->parser.upgrade ||
                 HTTP_PARSER_ERRNO(&upstream->parser) != HPE_OK) {
            abort_unreadable(relay, upstream, now_ms);
            return;
        }
        if (!deliver(relay, upstream, now_ms)) {
            return;
        }
        bytes += consumed;
        count -= consumed;
    } while (count > 0);
}

/**
 * upstream_parser_eof() - handle a connection that the target has closed
 * @relay: the relay
 * @upstream: the connection; invalid afterwards
 * @now_ms: current time
 *
 * The close completes a response without a length.
 */
void
upstream_parser_eof(struct relay *relay, struct upstream *upstream,
                    int64_t now_ms)
{
    crash_connection_ended(relay, upstream, now_ms);
    if (upstream->head_complete) {
        http_parser_execute(&upstream->parser, &parser_settings, NULL, 0);
        if (upstream->answer_complete) {
            upstream->keep_alive = false;
            deliver(relay, upstream, now_ms);
            return;
        }
    }
    upstream_abort(relay, upstream, "closed", now_ms);
}
