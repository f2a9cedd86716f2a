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
    enum { STATUS_LINE_BYTES = 12 }; /* "HTTP/1.1 200" */

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

/* Whether @text begins with the head of a response to the request. */
static bool
is_head_of(const char *text, size_t bytes, const char *attempt_id)
{
    const char *end = memmem(text, bytes, head_end, strlen(head_end));
    size_t length = end != NULL ? (size_t)(end - text) : bytes;

    return memmem(text, length, attempt_id, strlen(attempt_id)) != NULL;
}

/**
 * body_holds_response() - whether another response to the same request stands
 * in a body
 * @body: the body
 * @bytes: its length
 * @attempt_id: id of the request
 *
 * A target that answers twice and marks the end of a body by closing the
 * connection leaves open where its body ends; one that breaks off and begins
 * anew fills the length that it has announced with its next response.
 */
bool
body_holds_response(const void *body, size_t bytes, const char *attempt_id)
{
    const char *text = body;
    const char *end = text + bytes;

    if (bytes == 0) {
        return false;
    }
    while ((text = find_status_line(text, (size_t)(end - text))) != NULL) {
        if (is_head_of(text, (size_t)(end - text), attempt_id)) {
            return true;
        }
        text++;
    }
    return false;
}
