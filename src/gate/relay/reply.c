/**
 * DOC: Answers of targets, from bytes to what they mean for requests.
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

enum { KEEP_MARGIN_MS = 700 }; /* a request must not meet the close */

static int
got_status(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    head_start(&upstream->head, bytes, count);
    return 0;
}

static int
got_name(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    return head_name(&upstream->head, bytes, count) ? 0 : -1;
}

static int
got_value(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    return head_value(&upstream->head, bytes, count) ? 0 : -1;
}

static int
got_head(http_parser *parser)
{
    struct upstream *upstream = parser->data;

    head_end(&upstream->head);
    upstream->head_done = true;
    return upstream->no_body ? 1 : 0;
}

static int
got_body(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    g_byte_array_append(upstream->chunk, (const guint8 *)bytes, (guint)count);
    return 0;
}

static int
got_whole(http_parser *parser)
{
    struct upstream *upstream = parser->data;

    upstream->complete = true;
    upstream->keep = http_should_keep_alive(parser);
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_status = got_status,
    .on_header_field = got_name,
    .on_header_value = got_value,
    .on_headers_complete = got_head,
    .on_body = got_body,
    .on_message_complete = got_whole,
};

/**
 * reply_start() - get ready for the next answer
 * @upstream: the connection
 */
void
reply_start(struct upstream *upstream)
{
    http_parser_init(&upstream->parser, HTTP_RESPONSE);
    upstream->parser.data = upstream;
    head_reset(&upstream->head);
    g_byte_array_set_size(upstream->chunk, 0);
    memset(&upstream->facts, 0, sizeof(upstream->facts));
    upstream->head_done = false;
    upstream->judged = false;
    upstream->other = false;
    upstream->complete = false;
}

static void
read_facts(struct relay *relay, struct upstream *upstream)
{
    const struct head *head = &upstream->head;

    for (int i = 0; i < head_count(head); i++) {
        relay->dialect->ops->answer_field(
            relay->dialect, head_field_name(head, i),
            head_field_value(head, i), &upstream->facts);
    }
}

/* The target's Keep-Alive: timeout, in whole seconds. */
static void
read_keep(struct upstream *upstream)
{
    const char *text = head_find(&upstream->head, "Keep-Alive");
    const char *timeout = text != NULL ? strstr(text, "timeout=") : NULL;

    if (timeout != NULL) {
        int64_t seconds = g_ascii_strtoll(timeout + 8, NULL, 10);

        upstream->keep_ms = MAX(seconds * 1000 - KEEP_MARGIN_MS, 0);
    }
}

/* A proven refusal may lack the attempt when the target could not read it. */
static bool
is_unnamed_refusal(const struct upstream *upstream)
{
    const struct answer_facts *facts = &upstream->facts;

    return facts->attempt[0] == '\0' &&
           (facts->not_run || upstream->parser.status_code == 421);
}

/* On a connection that has carried another request, a refusal without an
 * attempt may be a late answer to that one. */
static bool
is_ours(const struct upstream *upstream, const struct exchange *exchange)
{
    if (is_unnamed_refusal(upstream)) {
        return upstream->used <= 1;
    }
    return strcmp(upstream->facts.attempt, exchange->facts.attempt) == 0;
}

/* Returns false when the connection is gone. */
static bool
judge(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    struct handle self = upstream->self;

    upstream->judged = true;
    if (upstream->other || exchange == NULL) {
        return true;
    }
    read_facts(relay, upstream);
    read_keep(upstream);
    if (!is_ours(upstream, exchange)) {
        counter_add(CTR_ANSWER_STALE, 1);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=other_answer id=%s answers=%s status=%d",
                 exchange->facts.attempt, upstream->facts.attempt,
                 (int)upstream->parser.status_code);
        if (is_unnamed_refusal(upstream)) {
            upstream_broken(relay, upstream, "unnamed_refusal", now_ms);
            return false;
        }
        upstream->other = true;
        return true;
    }
    result_head(relay, exchange, upstream, now_ms);
    return table_get(&relay->upstreams, self) != NULL;
}

/* The present answer is whole. Returns false when the connection is gone or
 * has nothing more to read. */
static bool
complete(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);

    if (upstream->other && exchange != NULL) {
        /* Ours is still to come, if the connection stays. */
        if (!upstream->keep) {
            upstream_broken(relay, upstream, "other_answer_closed", now_ms);
            return false;
        }
        reply_start(upstream);
        return true;
    }
    upstream_detach(relay, upstream);
    upstream_become_idle(relay, upstream, now_ms);
    if (exchange != NULL) {
        result_complete(relay, exchange, now_ms);
    }
    return false;
}

/* Passes on what the parser has found. Returns false when the connection is
 * gone or has nothing more to read. */
static bool
progress(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct handle self = upstream->self;
    struct exchange *exchange;

    if (upstream->head_done && !upstream->judged &&
        !judge(relay, upstream, now_ms)) {
        return false;
    }
    exchange = table_get(&relay->exchanges, upstream->exchange);
    if (exchange != NULL && !upstream->other && upstream->chunk->len > 0) {
        result_body(relay, exchange, upstream->chunk->data,
                    upstream->chunk->len, now_ms);
        if (table_get(&relay->upstreams, self) == NULL) {
            return false;
        }
    }
    g_byte_array_set_size(upstream->chunk, 0);
    return !upstream->complete || complete(relay, upstream, now_ms);
}

/**
 * reply_parse() - bytes of an answer came
 * @relay: the relay
 * @upstream: the connection; may be gone afterwards
 * @bytes: the bytes
 * @count: their number
 * @now_ms: present time
 */
void
reply_parse(struct relay *relay, struct upstream *upstream,
            const unsigned char *bytes, size_t count, int64_t now_ms)
{
    do {
        size_t taken = http_parser_execute(&upstream->parser, &parser_settings,
                                           (const char *)bytes, count);
        bool whole = upstream->complete;

        if (whole) {
            http_parser_pause(&upstream->parser, 0);
            upstream->surplus = taken < count && !upstream->other;
        }
        else if (upstream->parser.upgrade ||
                 HTTP_PARSER_ERRNO(&upstream->parser) != HPE_OK) {
            upstream_broken(relay, upstream, "not_http", now_ms);
            return;
        }
        if (!progress(relay, upstream, now_ms)) {
            return;
        }
        bytes += taken;
        count -= taken;
    } while (count > 0);
}

/**
 * reply_closed() - the target has closed the connection
 * @relay: the relay
 * @upstream: the connection; gone afterwards
 * @now_ms: present time
 *
 * An answer without a length is whole then.
 */
void
reply_closed(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    if (upstream->head_done) {
        http_parser_execute(&upstream->parser, &parser_settings, NULL, 0);
        if (upstream->complete) {
            upstream->keep = false;
            progress(relay, upstream, now_ms);
            return;
        }
    }
    upstream_broken(relay, upstream, "closed", now_ms);
}
