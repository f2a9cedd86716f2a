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
 * sse_init() - set up a splitter
 * @sse: the splitter
 */
void
sse_init(struct sse *sse)
{
    sse->pending = g_string_new(NULL);
    sse->taken = 0;
}

/**
 * sse_clear() - release a splitter
 * @sse: the splitter
 */
void
sse_clear(struct sse *sse)
{
    if (sse->pending != NULL) {
        g_string_free(sse->pending, TRUE);
        sse->pending = NULL;
    }
}

/**
 * sse_feed() - add bytes
 * @sse: the splitter
 * @data: the bytes
 * @bytes: how many
 *
 * Call sse_next() until it returns false before feeding more.
 *
 * Return: false when an event is longer than SSE_EVENT_MAX_BYTES.
 */
bool
sse_feed(struct sse *sse, const char *data, size_t bytes)
{
    g_string_erase(sse->pending, 0, (gssize)sse->taken);
    sse->taken = 0;
    g_string_append_len(sse->pending, data, (gssize)bytes);
    return sse->pending->len - bytes <= SSE_EVENT_MAX_BYTES;
}

static size_t
line_bytes(const char *line, const char *end)
{
    const char *stop = memchr(line, '\n', (size_t)(end - line));

    return stop == NULL ? 0 : (size_t)(stop - line) + 1;
}

static bool
is_blank(const char *line, size_t bytes)
{
    return bytes == 1 || (bytes == 2 && line[0] == '\r');
}

static void
add_data_line(GString *data, const char *line, size_t bytes)
{
    static const char field[] = "data:";
    const size_t skip = sizeof(field) - 1;

    if (bytes <= skip || memcmp(line, field, skip) != 0) {
        return;
    }
    line += skip;
    bytes -= skip;
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
 * sse_next() - take the next complete event
 * @sse: the splitter
 * @event: set to the event; its data is freed with g_free()
 *
 * Return: false when no complete event is left.
 */
bool
sse_next(struct sse *sse, struct sse_event *event)
{
    const char *start = sse->pending->str + sse->taken;
    const char *end = sse->pending->str + sse->pending->len;
    const char *line = start;
    GString *data = g_string_new(NULL);
    size_t bytes;

    while ((bytes = line_bytes(line, end)) > 0) {
        if (is_blank(line, bytes)) {
            event->raw = start;
            event->raw_bytes = (size_t)(line - start) + bytes;
            event->data = g_string_free(data, FALSE);
            event->done = strcmp(event->data, "[DONE]") == 0;
            sse->taken += event->raw_bytes;
            return true;
        }
        add_data_line(data, line, bytes);
        line += bytes;
    }
    g_string_free(data, TRUE);
    return false;
}
