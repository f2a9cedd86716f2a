/**
 * DOC: Parser of event streams.
 *
 * A target may fail in the middle of an event. Only whole events are
 * forwarded, so that another target can resume after the last one.
 */
#include <glib.h>
#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/internal.h"

void
events_init(struct event_reader *reader, int64_t last_id)
{
    reader->partial = g_string_new(NULL);
    reader->scanned = 0;
    reader->last_id = last_id;
    reader->has_gap = false;
    reader->too_long = false;
}

void
events_clear(struct event_reader *reader)
{
    if (reader->partial != NULL) {
        g_string_free(reader->partial, TRUE);
        reader->partial = NULL;
    }
}

/* Prepares for the bytes of another run of the request. */
void
events_restart(struct event_reader *reader)
{
    g_string_truncate(reader->partial, 0);
    reader->scanned = 0;
    reader->has_gap = false;
    reader->too_long = false;
}

/* Length of the first event including its blank line; 0 if incomplete. The
 * end is not within the first @scanned bytes. */
static size_t
event_length(const char *text, size_t bytes, size_t scanned)
{
    for (size_t i = scanned; i + 1 < bytes; i++) {
        if (text[i] != '\n') {
            continue;
        }
        if (text[i + 1] == '\n') {
            return i + 2;
        }
        if (text[i + 1] == '\r' && i + 2 < bytes && text[i + 2] == '\n') {
            return i + 3;
        }
    }
    return 0;
}

/* The event's id; -1 when it has none. */
static int64_t
event_id(const char *text, size_t bytes)
{
    const char *end = text + bytes;

    while (text < end) {
        const char *line_end = memchr(text, '\n', (size_t)(end - text));

        if (line_end == NULL) {
            break;
        }
        if (line_end - text > 3 && strncmp(text, "id:", 3) == 0) {
            return strtoll(text + 3, NULL, 10);
        }
        text = line_end + 1;
    }
    return -1;
}

/* Whether an event carries data. Comments and bare ids keep a connection open
 * but bring the caller nothing. */
static bool
has_data(const char *text, size_t bytes)
{
    const char *end = text + bytes;

    while (text < end) {
        const char *line_end = memchr(text, '\n', (size_t)(end - text));

        if (end - text > 5 && strncmp(text, "data:", 5) == 0) {
            return true;
        }
        if (line_end == NULL) {
            break;
        }
        text = line_end + 1;
    }
    return false;
}

/* Skips events that the caller already has; a gap in the ids makes the stream
 * unusable. */
static bool
accept_event(struct event_reader *reader, int64_t id)
{
    if (id < 0) {
        return true;
    }
    if (id <= reader->last_id) {
        return false;
    }
    if (reader->last_id >= 0 && id != reader->last_id + 1) {
        reader->has_gap = true;
        return false;
    }
    reader->last_id = id;
    return true;
}

/**
 * events_read() - parse bytes of a stream
 * @reader: the stream
 * @bytes: the bytes
 * @count: their number
 * @whole: the events to be forwarded are appended to it
 *
 * Nothing more is read after a gap or an event that is too long.
 *
 * Return: number of events with data appended to @whole.
 */
size_t
events_read(struct event_reader *reader, const void *bytes, size_t count,
            GString *whole)
{
    size_t offset = 0;
    size_t added = 0;
    size_t length;

    g_string_append_len(reader->partial, bytes, (gssize)count);
    while (!reader->has_gap &&
           (length = event_length(reader->partial->str + offset,
                                  reader->partial->len - offset,
                                  reader->scanned)) > 0) {
        const char *event = reader->partial->str + offset;

        if (accept_event(reader, event_id(event, length))) {
            g_string_append_len(whole, event, (gssize)length);
            added += has_data(event, length) ? 1 : 0;
        }
        offset += length;
        reader->scanned = 0;
    }
    g_string_erase(reader->partial, 0, (gssize)offset);
    /* The last two bytes may belong to the end of the event. */
    reader->scanned = reader->partial->len > 2 ? reader->partial->len - 2 : 0;
    reader->too_long = reader->partial->len > EVENT_MAX_BYTES;
    return added;
}

/**
 * events_cut_off() - whether a run that has ended did so within an event
 * @reader: the stream
 *
 * Blank lines and comments after the last event belong to none.
 */
bool
events_cut_off(const struct event_reader *reader)
{
    const char *line = reader->partial->str;

    while (*line != '\0') {
        const char *line_end = strchr(line, '\n');

        if (line_end == NULL ||
            (*line != ':' && *line != '\r' && *line != '\n')) {
            return true;
        }
        line = line_end + 1;
    }
    return line != reader->partial->str + reader->partial->len;
}
