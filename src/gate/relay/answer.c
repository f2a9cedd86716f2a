/**
 * DOC: Responses to callers, built from those of targets.
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

void
answer_init(struct answer *answer)
{
    answer->head = g_string_new(NULL);
    answer->body = g_byte_array_new();
    answer->content_length = -1;
}

void
answer_clear(struct answer *answer)
{
    g_string_free(answer->head, TRUE);
    g_byte_array_free(answer->body, TRUE);
    body_scan_clear(&answer->scan);
}

/**
 * answer_body_type() - what a response says that its body is
 * @head: head of the response
 */
enum body_type
answer_body_type(const struct head *head)
{
    static const char events[] = "text/event-stream";
    const char *type = head_find_value(head, "Content-Type");

    if (type == NULL) {
        return BODY_UNDECLARED;
    }
    return strcspn(type, "; \t") == strlen(events) &&
                   g_ascii_strncasecmp(type, events, strlen(events)) == 0
               ? BODY_EVENTS
               : BODY_OTHER;
}

/* Copies the status line and the end-to-end header fields. */
void
answer_copy_head(struct answer *answer, struct relay *relay,
                 const struct upstream *upstream)
{
    const struct head *head = &upstream->head;
    const char *length = head_find_value(head, "Content-Length");
    struct answer_meta meta = {0};

    answer->status = (int)upstream->parser.status_code;
    answer->content_length =
        length != NULL ? g_ascii_strtoll(length, NULL, 10) : -1;
    g_string_printf(answer->head, "HTTP/1.1 %d %s\r\n", answer->status,
                    head_start_text(head));
    for (int i = 0; i < head_field_count(head); i++) {
        const char *name = head_field_name(head, i);
        const char *value = head_field_value(head, i);

        if (!head_is_hop_by_hop(head, relay->dialect, name) &&
            relay->dialect->ops->read_answer_field(relay->dialect, name, value,
                                                   &meta) == FIELD_PASS) {
            g_string_append_printf(answer->head, "%s: %s\r\n", name, value);
        }
    }
}

static bool
has_body(const struct exchange *exchange)
{
    int status = exchange->answer.status;

    return !exchange->is_head_request && status != 204 && status != 304;
}

/**
 * answer_send_head() - send the head of a response to the caller
 * @relay: the relay
 * @exchange: the request
 * @body_bytes: length of the body; -1 to send it in chunks
 * @now_ms: current time
 */
void
answer_send_head(struct relay *relay, struct exchange *exchange,
                 int64_t body_bytes, int64_t now_ms)
{
    struct answer *answer = &exchange->answer;
    struct client *client = table_get(&relay->clients, exchange->client);
    GString *text = g_string_new(answer->head->str);

    answer->head_sent = true;
    answer->chunked = body_bytes < 0 && has_body(exchange);
    if (answer->chunked) {
        g_string_append(text, "Transfer-Encoding: chunked\r\n");
    }
    else if (exchange->is_head_request && answer->content_length >= 0) {
        g_string_append_printf(text,
                               "Content-Length: %" G_GINT64_FORMAT "\r\n",
                               (gint64)answer->content_length);
    }
    else if (has_body(exchange)) {
        g_string_append_printf(text,
                               "Content-Length: %" G_GINT64_FORMAT "\r\n",
                               (gint64)body_bytes);
    }
    if (client != NULL) {
        client->keep_alive = client->keep_alive && !relay->draining;
        client_write_persistence(relay, client, text);
        g_string_append(text, "\r\n");
        client_write(relay, client, text->str, text->len, now_ms);
    }
    g_string_free(text, TRUE);
}

/**
 * answer_send_body() - send a part of the body to the caller
 * @relay: the relay
 * @exchange: the request; the head of its response was sent
 * @bytes: the part
 * @count: its length
 * @now_ms: current time
 */
void
answer_send_body(struct relay *relay, struct exchange *exchange,
                 const void *bytes, size_t count, int64_t now_ms)
{
    struct client *client = table_get(&relay->clients, exchange->client);
    GString *chunk;

    if (client == NULL || count == 0) {
        return;
    }
    if (!exchange->answer.chunked) {
        client_write(relay, client, bytes, count, now_ms);
        return;
    }
    chunk = g_string_new(NULL);
    g_string_printf(chunk, "%zx\r\n", count);
    g_string_append_len(chunk, bytes, (gssize)count);
    g_string_append(chunk, "\r\n");
    client_write(relay, client, chunk->str, chunk->len, now_ms);
    g_string_free(chunk, TRUE);
}

/**
 * answer_end() - send the last chunk, if the body is chunked
 * @relay: the relay
 * @exchange: the request; the head of its response was sent
 * @now_ms: current time
 */
void
answer_end(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    static const char last_chunk[] = "0\r\n\r\n";
    struct client *client = table_get(&relay->clients, exchange->client);

    if (client != NULL && exchange->answer.chunked) {
        client_write(relay, client, last_chunk, sizeof(last_chunk) - 1,
                     now_ms);
    }
}
