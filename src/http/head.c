/**
 * DOC: Checks of the heads of responses that libcurl receives.
 *
 * libcurl passes on encoded bodies as they are, parts of bodies, and bodies
 * whose length is ambiguous. No caller asks for any of these, so the bytes
 * aren't the body that was asked for. libcurl limits the length of a head.
 */
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

enum {
    STATUS_FIRST = 100,
    STATUS_SWITCHING_PROTOCOLS = 101,
    STATUS_OK = 200,
    STATUS_PARTIAL_CONTENT = 206,
    STATUS_LAST = 599,
    /* Without a bound, interim responses are read until the deadline. */
    INTERIM_MAX = 16,
};

/**
 * http_field_value() - value of a header line with the given name
 * @line: the line, not terminated
 * @bytes: its length
 * @name: name of the field, in any case
 * @value_bytes: set to the length of the value, without spaces around it
 *
 * Return: the start of the value in @line; NULL for another field.
 */
const char *
http_field_value(const char *line, size_t bytes, const char *name,
                 size_t *value_bytes)
{
    size_t name_bytes = strlen(name);
    const char *start = line + name_bytes + 1;
    const char *end = line + bytes;

    if (bytes <= name_bytes || line[name_bytes] != ':' ||
        g_ascii_strncasecmp(line, name, name_bytes) != 0) {
        return NULL;
    }
    while (start < end && g_ascii_isspace(*start)) {
        start++;
    }
    while (end > start && g_ascii_isspace(end[-1])) {
        end--;
    }
    *value_bytes = (size_t)(end - start);
    return start;
}

/**
 * http_starts_head() - whether a header line is a status line
 * @line: the line, not terminated
 * @bytes: its length
 *
 * Interim responses have heads of their own, whose fields say nothing about
 * the response that follows.
 */
bool
http_starts_head(const char *line, size_t bytes)
{
    return bytes > 5 && memcmp(line, "HTTP/", 5) == 0;
}

/**
 * http_status_is_valid() - whether a status is one of a response
 * @status: the status
 *
 * Targets and stores that fail may send others (RFC 9110, 15).
 */
bool
http_status_is_valid(int status)
{
    return status >= STATUS_FIRST && status <= STATUS_LAST;
}

static int
read_status(const char *line, size_t bytes)
{
    const char *space = memchr(line, ' ', bytes);
    size_t rest = space != NULL ? (size_t)(line + bytes - space) : 0;
    int status = 0;

    for (size_t i = 1; i < rest && g_ascii_isdigit(space[i]) && i <= 3; i++) {
        status = status * 10 + (space[i] - '0');
    }
    return status;
}

static bool
is_blank(const char *line, size_t bytes)
{
    return bytes > 0 && (line[0] == '\r' || line[0] == '\n');
}

static void
check_status(struct http_head *head, int status)
{
    head->status = status;
    head->is_whole = false;
    if (!http_status_is_valid(status)) {
        head->fault = "the response has no valid status";
    }
    else if (status < STATUS_OK && head->interim_count++ == INTERIM_MAX) {
        head->fault = "too many interim responses";
    }
    else if (status == STATUS_SWITCHING_PROTOCOLS) {
        head->fault = "the response switches the protocol";
    }
    else if (status == STATUS_PARTIAL_CONTENT) {
        head->fault = "the response has a part of the body";
    }
}

static void
check_length(struct http_head *head, const char *value, size_t bytes)
{
    size_t digits = 0;

    while (digits < bytes && g_ascii_isdigit(value[digits])) {
        digits++;
    }
    if (bytes == 0 || digits < bytes || bytes >= sizeof(head->length)) {
        head->fault = "the response has an invalid Content-Length";
    }
    else if (head->length[0] != '\0' &&
             (strlen(head->length) != bytes ||
              memcmp(head->length, value, bytes) != 0)) {
        head->fault = "the response has two lengths";
    }
    else {
        memcpy(head->length, value, bytes);
        head->length[bytes] = '\0';
    }
}

/* No comparison matches "Name :", which libcurl may still act on. */
static bool
has_space_in_name(const char *line, size_t bytes)
{
    const char *colon = memchr(line, ':', bytes);

    return colon != NULL && memchr(line, ' ', (size_t)(colon - line)) != NULL;
}

/**
 * http_head_add() - check the next line of a response's head
 * @head: all zero before the first line
 * @line: the line as libcurl passes it on, not terminated
 * @bytes: its length
 *
 * Return: false when the response can't be used; the reason is in
 * @head->fault.
 */
bool
http_head_add(struct http_head *head, const char *line, size_t bytes)
{
    const char *value;
    size_t value_bytes;

    if (http_starts_head(line, bytes)) {
        head->length[0] = '\0';
        check_status(head, read_status(line, bytes));
    }
    else if (is_blank(line, bytes)) {
        head->is_whole = head->status >= STATUS_OK;
    }
    else if (has_space_in_name(line, bytes)) {
        head->fault = "the response has a space in a field name";
    }
    else if (http_field_value(line, bytes, "Content-Encoding", &value_bytes) !=
             NULL) {
        head->fault = "the response's body is encoded";
    }
    else if ((value = http_field_value(line, bytes, "Content-Length",
                                       &value_bytes)) != NULL) {
        check_length(head, value, value_bytes);
    }
    return head->fault == NULL;
}

/**
 * http_head_check_end() - check the head of a response that has ended
 * @head: the head
 *
 * libcurl takes a connection that is closed within a head for the end of a
 * response without a body.
 *
 * Return: false when the response can't be used; the reason is in
 * @head->fault.
 */
bool
http_head_check_end(struct http_head *head)
{
    if (head->fault == NULL && !head->is_whole) {
        head->fault = "the response ends within its head";
    }
    return head->fault == NULL;
}

/**
 * http_head_receive() - CURLOPT_HEADERFUNCTION that checks the head
 * @line: the line, not terminated
 * @size: 1
 * @count: its length
 * @data: struct http_head, all zero before the call
 *
 * Return: less than @count, which ends the transfer, when the response can't
 * be used.
 */
size_t
http_head_receive(char *line, size_t size, size_t count, void *data)
{
    return http_head_add(data, line, size * count) ? size * count : 0;
}
