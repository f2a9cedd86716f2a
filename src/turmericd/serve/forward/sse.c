/**
 * DOC: Splits a stream of bytes into complete server-sent events.
 */
#include <curl/curl.h>
#include <glib.h>
#include <stdatomic.h>
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

/**
 * sse_parser_init() - set up a parser
 * @parser: the parser, released with sse_parser_clear()
 */
void
sse_parser_init(struct sse_parser *parser)
{
    parser->buffer = g_string_new(NULL);
    parser->consumed = 0;
}

/**
 * sse_parser_clear() - release the buffer of a parser
 * @parser: the parser
 */
void
sse_parser_clear(struct sse_parser *parser)
{
    if (parser->buffer != NULL) {
        g_string_free(parser->buffer, TRUE);
        parser->buffer = NULL;
    }
}

/**
 * sse_parser_feed() - append received bytes
 * @parser: the parser
 * @data: the bytes
 * @bytes: length of @data
 *
 * Call sse_parser_next() until it returns false before appending more.
 *
 * Return: false when an incomplete event exceeds SSE_EVENT_MAX_BYTES.
 */
bool
sse_parser_feed(struct sse_parser *parser, const char *data, size_t bytes)
{
    g_string_erase(parser->buffer, 0, (gssize)parser->consumed);
    parser->consumed = 0;
    g_string_append_len(parser->buffer, data, (gssize)bytes);
    return parser->buffer->len - bytes <= SSE_EVENT_MAX_BYTES;
}

/* Length of a line with its newline; 0 while the line is incomplete. */
static size_t
line_bytes(const char *line, const char *end)
{
    const char *newline = memchr(line, '\n', (size_t)(end - line));

    return newline == NULL ? 0 : (size_t)(newline - line) + 1;
}

static bool
is_blank(const char *line, size_t bytes)
{
    return bytes == 1 || (bytes == 2 && line[0] == '\r');
}

static void
add_data_line(GString *data, const char *line, size_t bytes)
{
    static const char prefix[] = "data:";
    const size_t prefix_bytes = sizeof(prefix) - 1;

    if (bytes <= prefix_bytes || memcmp(line, prefix, prefix_bytes) != 0) {
        return;
    }
    line += prefix_bytes;
    bytes -= prefix_bytes;
    while (bytes > 0 && (line[bytes - 1] == '\n' || line[bytes - 1] == '\r')) {
        bytes--;
    }
    if (bytes > 0 && line[0] == ' ') {
        line++;
        bytes--;
    }
    if (data->len > 0) {
        g_string_append_c(data, '\n');
    }
    g_string_append_len(data, line, (gssize)bytes);
}

/**
 * sse_parser_next() - return the next complete event
 * @parser: the parser
 * @event: set to the event; its data is freed with g_free()
 *
 * Return: false when the buffer holds no complete event.
 */
bool
sse_parser_next(struct sse_parser *parser, struct sse_event *event)
{
    const char *start = parser->buffer->str + parser->consumed;
    const char *end = parser->buffer->str + parser->buffer->len;
    const char *line = start;
    GString *data = g_string_new(NULL);
    size_t bytes;

    while ((bytes = line_bytes(line, end)) > 0) {
        if (is_blank(line, bytes)) {
            event->raw = start;
            event->raw_bytes = (size_t)(line - start) + bytes;
            event->data = g_string_free(data, FALSE);
            event->done = strcmp(event->data, "[DONE]") == 0;
            parser->consumed += event->raw_bytes;
            return true;
        }
        add_data_line(data, line, bytes);
        line += bytes;
    }
    g_string_free(data, TRUE);
    return false;
}
