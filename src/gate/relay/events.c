/**
 * DOC: Parser of event streams.
 *
 * A target may fail in the middle of an event. Only whole events are
 * forwarded, so that another target can resume after the last one.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* The largest ids fit into 64 bits. */
enum { ID_DIGITS_MAX = 18 };

void
events_init(struct event_reader *reader, int64_t last_id)
{
    reader->partial = g_string_new(NULL);
    reader->scanned = 0;
    reader->last_id = last_id;
    reader->run_id = -1;
    reader->verdict = EVENT_PASS;
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
    reader->run_id = -1;
    reader->verdict = EVENT_PASS;
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

/* What stands before a blank line, as far as it was read. */
struct block {
    struct stream_event event;
    bool has_own_fields; /* of the event-stream format */
    bool has_other_fields;
};

/* Ids are plain decimal numbers of at most ID_DIGITS_MAX digits. Returns -1
 * for any other value. */
static int64_t
parse_id(const char *value, size_t bytes)
{
    int64_t id = 0;

    if (bytes == 0 || bytes > ID_DIGITS_MAX) {
        return -1;
    }
    for (size_t i = 0; i < bytes; i++) {
        if (!g_ascii_isdigit(value[i])) {
            return -1;
        }
        id = id * 10 + (value[i] - '0');
    }
    return id;
}

static bool
is_field_name(const char *name, size_t bytes)
{
    for (size_t i = 0; i < bytes; i++) {
        if (!g_ascii_isalnum(name[i]) && name[i] != '-' && name[i] != '_') {
            return false;
        }
    }
    return bytes > 0;
}

static bool
name_is(const char *name, size_t bytes, const char *expected)
{
    return bytes == strlen(expected) && memcmp(name, expected, bytes) == 0;
}

/* Returns false when the field can't belong to the event. Fields that the
 * event-stream format doesn't have stand before its own: behind them is the
 * text of an error, or a head, that follows an event that was cut off. */
static bool
add_field(struct block *block, const char *name, size_t name_bytes,
          const char *value, size_t value_bytes)
{
    struct stream_event *event = &block->event;

    if (name_is(name, name_bytes, "id")) {
        bool is_first = event->id < 0;

        block->has_own_fields = true;
        event->id = parse_id(value, value_bytes);
        return is_first && event->id >= 0;
    }
    if (name_is(name, name_bytes, "data")) {
        block->has_own_fields = true;
        event->has_data = true;
        return true;
    }
    if (name_is(name, name_bytes, "event") ||
        name_is(name, name_bytes, "retry")) {
        block->has_own_fields = true;
        return true;
    }
    block->has_other_fields = true;
    return !block->has_own_fields && is_field_name(name, name_bytes);
}

static bool
add_line(struct block *block, const char *line, size_t bytes)
{
    const char *colon = memchr(line, ':', bytes);
    size_t name_bytes = colon != NULL ? (size_t)(colon - line) : bytes;
    size_t value_start = MIN(name_bytes + 1, bytes);

    if (bytes == 0 || colon == line) {
        return true;
    }
    if (value_start < bytes && line[value_start] == ' ') {
        value_start++;
    }
    return add_field(block, line, name_bytes, line + value_start,
                     bytes - value_start);
}

/* Reads what stands before a blank line. */
static struct stream_event
parse_event(const char *text, size_t bytes)
{
    struct block block = {.event = {.valid = true, .id = -1}};
    const char *end = text + bytes;

    while (text < end) {
        const char *line_end = memchr(text, '\n', (size_t)(end - text));
        size_t length = (size_t)(line_end - text);

        if (length > 0 && text[length - 1] == '\r') {
            length--;
        }
        block.event.valid =
            add_line(&block, text, length) && block.event.valid;
        text = line_end + 1;
    }
    if (block.has_other_fields && block.event.id < 0) {
        block.event.valid = false;
    }
    return block.event;
}

/**
 * events_broken() - whether nothing more can be read of a run
 * @reader: the stream
 */
bool
events_broken(const struct event_reader *reader)
{
    return reader->verdict >= EVENT_INVALID;
}

/* Returns the number of events with data appended to @whole, 0 or 1. */
static size_t
read_event(struct event_reader *reader, const char *text, size_t bytes,
           GString *whole)
{
    struct stream_event event = parse_event(text, bytes);

    reader->verdict =
        stream_event_verdict(&event, reader->last_id, reader->run_id);
    if (events_broken(reader)) {
        return 0;
    }
    reader->run_id = MAX(reader->run_id, event.id);
    if (reader->verdict == EVENT_SKIP) {
        return 0;
    }
    reader->last_id = MAX(reader->last_id, event.id);
    g_string_append_len(whole, text, (gssize)bytes);
    return event.has_data ? 1 : 0;
}

/**
 * events_read() - parse bytes of a stream
 * @reader: the stream
 * @bytes: the bytes
 * @count: their number
 * @whole: the events to be forwarded are appended to it
 *
 * Nothing more is read after an event that breaks the run off.
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
    while (!events_broken(reader) &&
           (length = event_length(reader->partial->str + offset,
                                  reader->partial->len - offset,
                                  reader->scanned)) > 0) {
        added +=
            read_event(reader, reader->partial->str + offset, length, whole);
        offset += length;
        reader->scanned = 0;
    }
    g_string_erase(reader->partial, 0, (gssize)offset);
    /* The last two bytes may belong to the end of the event. */
    reader->scanned = reader->partial->len > 2 ? reader->partial->len - 2 : 0;
    if (!events_broken(reader) && reader->partial->len > EVENT_MAX_BYTES) {
        reader->verdict = EVENT_TOO_LONG;
    }
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
        bool is_blank = *line == '\n' || strncmp(line, "\r\n", 2) == 0;

        if (line_end == NULL || (*line != ':' && !is_blank)) {
            return true;
        }
        line = line_end + 1;
    }
    return line != reader->partial->str + reader->partial->len;
}
