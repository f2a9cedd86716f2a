/**
 * DOC: Whether what was received is of one response.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

enum {
    STATUS_LINE_BYTES = 12, /* "HTTP/1.1 200" */
    /* The parser of heads takes no longer one. */
    SCAN_HEAD_MAX_BYTES = 80 * 1024,
};

static const char head_end[] = "\r\n\r\n";

/**
 * find_status_line() - where the first status line of HTTP begins
 * @text: the text
 * @bytes: its length
 *
 * Return: NULL when there is none.
 */
const char *
find_status_line(const char *text, size_t bytes)
{
    for (const char *end = text + bytes;
         end - text >= STATUS_LINE_BYTES &&
         (text = memmem(text, (size_t)(end - text), "HTTP/", 5)) != NULL;
         text++) {
        if (end - text >= STATUS_LINE_BYTES && g_ascii_isdigit(text[5]) &&
            text[6] == '.' && g_ascii_isdigit(text[7]) && text[8] == ' ' &&
            g_ascii_isdigit(text[9]) && g_ascii_isdigit(text[10]) &&
            g_ascii_isdigit(text[11])) {
            return text;
        }
    }
    return NULL;
}

static void
append(struct body_scan *scan, const void *bytes, size_t count)
{
    if (scan->bytes + count > scan->room) {
        scan->room = scan->bytes + count;
        scan->text = g_realloc(scan->text, scan->room);
    }
    memcpy(scan->text + scan->bytes, bytes, count);
    scan->bytes += count;
}

static void
drop(struct body_scan *scan, size_t count)
{
    memmove(scan->text, scan->text + count, scan->bytes - count);
    scan->bytes -= count;
    scan->searched -= MIN(scan->searched, count);
}

/* Whether the head that begins at @at has the id. Sets @end to its end, NULL
 * while it goes on. What was searched for both is not searched again, but for
 * what one of them may have begun in. */
static bool
head_has_id(const struct body_scan *scan, size_t at, const char *attempt_id,
            const char **end)
{
    size_t id_bytes = strlen(attempt_id);
    size_t overlap = MAX(id_bytes, strlen(head_end));
    size_t from = MAX(at, scan->searched - MIN(scan->searched, overlap));
    const char *text = scan->text + from;
    size_t bytes = scan->bytes - from;

    *end = memmem(text, bytes, head_end, strlen(head_end));
    if (*end != NULL) {
        bytes = (size_t)(*end - text);
    }
    return memmem(text, bytes, attempt_id, id_bytes) != NULL;
}

/**
 * body_scan_add() - look for another response to the same request in a body
 * @scan: the scan; zeroed before the first part
 * @bytes: the next part of the body
 * @count: its length; not 0
 * @attempt_id: id of the request
 *
 * A target that answers twice and marks the end of a body by closing the
 * connection leaves open where its body ends; one that breaks off and begins
 * anew fills the length that it has announced with its next response. A head
 * may be split between any two parts: what may be one is kept, at most
 * SCAN_HEAD_MAX_BYTES and a part.
 *
 * Return: whether a status line has come, and behind it, in the same head, the
 * id.
 */
bool
body_scan_add(struct body_scan *scan, const void *bytes, size_t count,
              const char *attempt_id)
{
    const char *line;
    size_t at = 0;

    append(scan, bytes, count);
    while ((line = find_status_line(scan->text + at, scan->bytes - at)) !=
           NULL) {
        const char *end;

        at = (size_t)(line - scan->text);
        if (head_has_id(scan, at, attempt_id, &end)) {
            return true;
        }
        scan->searched = end == NULL ? scan->bytes : 0;
        if (end == NULL && scan->bytes - at < SCAN_HEAD_MAX_BYTES) {
            drop(scan, at);
            return false;
        }
        at++;
    }
    drop(scan, MAX(at, scan->bytes - MIN(scan->bytes, STATUS_LINE_BYTES - 1)));
    return false;
}

/**
 * body_scan_clear() - forget a body
 * @scan: the scan
 */
void
body_scan_clear(struct body_scan *scan)
{
    g_free(scan->text);
    memset(scan, 0, sizeof(*scan));
}
