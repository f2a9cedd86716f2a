/**
 * DOC: Whether a body that ends with its connection is one response's.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

static const char status_line[] = "HTTP/1.";
static const char head_end[] = "\r\n\r\n";

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
 * in a body without a length
 * @body: the body
 * @bytes: its length
 * @attempt_id: id of the request
 *
 * A target that answers twice and marks the end of a body by closing the
 * connection leaves open where its body ends.
 */
bool
body_holds_response(const void *body, size_t bytes, const char *attempt_id)
{
    const char *text = body;
    const char *end = text + bytes;

    if (bytes == 0) {
        return false;
    }
    while ((text = memmem(text, (size_t)(end - text), status_line,
                          strlen(status_line))) != NULL) {
        if (is_head_of(text, (size_t)(end - text), attempt_id)) {
            return true;
        }
        text += strlen(status_line);
    }
    return false;
}
