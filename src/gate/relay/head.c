/**
 * DOC: Start lines and header fields, which the HTTP parser delivers in parts.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>
#include <strings.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* Hop-by-hop fields (RFC 9110, 7.6.1), and the fields of message framing,
 * which is done anew. */
static const char *const hop_fields[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Content-Length",
    "Expect",
    "HTTP2-Settings",
};

/* Fields for all recipients, which a Connection field must not list (RFC 9110,
 * 7.6.1). */
static const char *const end_to_end_fields[] = {
    "Cache-Control",
    "Content-Encoding",
    "Content-Language",
    "Content-Location",
    "Content-Range",
    "Content-Type",
    "Host",
    "Location",
    "Retry-After",
};

void
head_init(struct head *head)
{
    head->text = g_string_new(NULL);
    head->fields = g_array_new(FALSE, FALSE, sizeof(struct head_field));
    head_reset(head);
}

void
head_clear(struct head *head)
{
    g_string_free(head->text, TRUE);
    g_array_free(head->fields, TRUE);
}

void
head_reset(struct head *head)
{
    g_string_truncate(head->text, 0);
    g_array_set_size(head->fields, 0);
    head->value_started = false;
    head->incomplete = true;
}

/* Appends to the request target or the reason phrase. */
void
head_add_start(struct head *head, const char *bytes, size_t count)
{
    g_string_append_len(head->text, bytes, (gssize)count);
}

/* The parser accepts a space between name and colon, which RFC 9112, 5.1
 * forbids: such a field would pass each comparison of names. Trailer fields
 * are dropped, as the head was acted on without them. */
bool
head_add_name(struct head *head, const char *bytes, size_t count)
{
    if (memchr(bytes, ' ', count) != NULL) {
        return false;
    }
    if (!head->incomplete) {
        return true;
    }
    if (head->value_started || head->fields->len == 0) {
        struct head_field field;

        g_string_append_c(head->text, '\0');
        field.name = (uint32_t)head->text->len;
        field.value = 0;
        g_array_append_val(head->fields, field);
        head->value_started = false;
    }
    g_string_append_len(head->text, bytes, (gssize)count);
    return true;
}

bool
head_add_value(struct head *head, const char *bytes, size_t count)
{
    struct head_field *field;

    if (!head->incomplete) {
        return true;
    }
    if (head->fields->len == 0) {
        return false;
    }
    field =
        &g_array_index(head->fields, struct head_field, head->fields->len - 1);
    if (!head->value_started) {
        g_string_append_c(head->text, '\0');
        field->value = (uint32_t)head->text->len;
        head->value_started = true;
    }
    g_string_append_len(head->text, bytes, (gssize)count);
    return true;
}

static void
trim_end(char *value)
{
    size_t bytes = strlen(value);

    while (bytes > 0 &&
           (value[bytes - 1] == ' ' || value[bytes - 1] == '\t')) {
        value[--bytes] = '\0';
    }
}

/* The parser skips empty values, so these point to the text's last NUL, and
 * keeps the spaces behind a value. */
void
head_finish(struct head *head)
{
    for (guint i = 0; i < head->fields->len; i++) {
        struct head_field *field =
            &g_array_index(head->fields, struct head_field, i);

        if (field->value == 0) {
            field->value = (uint32_t)head->text->len;
        }
        trim_end(head->text->str + field->value);
    }
    head->incomplete = false;
}

const char *
head_start_text(const struct head *head)
{
    return head->text->str;
}

int
head_field_count(const struct head *head)
{
    return (int)head->fields->len;
}

const char *
head_field_name(const struct head *head, int index)
{
    return head->text->str +
           g_array_index(head->fields, struct head_field, index).name;
}

const char *
head_field_value(const struct head *head, int index)
{
    return head->text->str +
           g_array_index(head->fields, struct head_field, index).value;
}

const char *
head_find_value(const struct head *head, const char *name)
{
    for (int i = 0; i < head_field_count(head); i++) {
        if (strcasecmp(head_field_name(head, i), name) == 0) {
            return head_field_value(head, i);
        }
    }
    return NULL;
}

/* Whether a line goes over into a status line: a target that breaks off within
 * a line and goes on with its next response makes one head of two. */
bool
head_is_joined(const struct head *head)
{
    return find_status_line(head->text->str, head->text->len) != NULL;
}

static bool
list_names(const char *list, const char *name)
{
    size_t length = strlen(name);

    while (*list != '\0') {
        size_t span;

        list += strspn(list, " \t,");
        span = strcspn(list, " \t,");
        if (span == length && strncasecmp(list, name, span) == 0) {
            return true;
        }
        list += span;
    }
    return false;
}

/* Whether a Connection field lists a field as hop-by-hop. */
static bool
connection_names(const struct head *head, const char *name)
{
    for (int i = 0; i < head_field_count(head); i++) {
        if (strcasecmp(head_field_name(head, i), "Connection") == 0 &&
            list_names(head_field_value(head, i), name)) {
            return true;
        }
    }
    return false;
}

static bool
lists_field(const char *const *fields, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcasecmp(name, fields[i]) == 0) {
            return true;
        }
    }
    return false;
}

/**
 * head_is_hop_by_hop() - whether a field concerns one connection only
 * @head: head with the field
 * @dialect: its fields are for the other end, whatever Connection lists
 * @name: name of the field
 */
bool
head_is_hop_by_hop(const struct head *head, struct dialect *dialect,
                   const char *name)
{
    if (lists_field(hop_fields, G_N_ELEMENTS(hop_fields), name)) {
        return true;
    }
    return connection_names(head, name) &&
           !lists_field(end_to_end_fields, G_N_ELEMENTS(end_to_end_fields),
                        name) &&
           !dialect->ops->defines_field(dialect, name);
}

/**
 * head_is_encoded() - whether the body has an encoding besides chunked framing
 * @head: the head
 */
bool
head_is_encoded(const struct head *head)
{
    for (int i = 0; i < head_field_count(head); i++) {
        const char *name = head_field_name(head, i);

        if (strcasecmp(name, "Content-Encoding") == 0 ||
            (strcasecmp(name, "Transfer-Encoding") == 0 &&
             strcasecmp(head_field_value(head, i), "chunked") != 0)) {
            return true;
        }
    }
    return false;
}
