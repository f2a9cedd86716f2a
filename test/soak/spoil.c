/* Spoils responses of an engine on their way to a gate. */
#include <glib.h>
#include <http_parser.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "base/dat.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

enum {
    STREAM_BYTES = STREAM_EVENTS * 30, /* about the body of a whole stream */
    LATE_COPIES_MAX = 3,
};

/**
 * struct spoil_ops - one way to spoil a response
 * @begin: edits the head that is forwarded; may be NULL
 * @end: called behind the whole response; may be NULL
 * @encodes: the body's bytes are replaced by others
 * @unframed: the body is forwarded without a length or chunks
 */
struct spoil_ops {
    void (*begin)(struct spoiler *spoiler, GString *head);
    void (*end)(struct spoiler *spoiler);
    bool encodes;
    bool unframed;
};

/**
 * struct spoiler - reads the responses on one connection of an engine
 * @ops: how the response in progress is spoilt; NULL if it is not
 * @head: head of the response, while it is received
 * @raw: the response so far, as the engine sent it
 * @late: bytes written in front of the next @late_count responses, each once
 * its request has arrived
 * @left: bytes to forward before the connection ends; negative for all
 * @drops: nothing more of the response is forwarded
 * @close: how the connection ends after @left bytes or the whole response
 * @closed: how it has ended
 */
struct spoiler {
    const struct spoil_ops *ops;
    const int *percents;
    GRand *random;
    http_parser parser;
    GString *head;
    GByteArray *raw;
    GByteArray *late;
    GByteArray *out;
    int late_count;
    int64_t left;
    bool in_body;
    bool complete;
    bool drops;
    bool awaits_request;
    enum spoil_close close;
    enum spoil_close closed;
};

static const char *const not_http[] = {
    "\x01\x02\x03\xff\xfe", "200 OK\r\n\r\n",
    "HTTP/9.x 200\r\n\r\n", "\r\n\r\n",
    "<html>busy</html>\n",
};

static const char *const interims[] = {
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n",
};

static void
forward(struct spoiler *spoiler, const void *bytes, size_t count)
{
    if (spoiler->drops) {
        return;
    }
    if (spoiler->left >= 0) {
        count = MIN(count, (size_t)spoiler->left);
        spoiler->left -= (int64_t)count;
    }
    g_byte_array_append(spoiler->out, bytes, (guint)count);
    if (spoiler->left == 0) {
        spoiler->closed = spoiler->close;
        spoiler->drops = true;
    }
}

static void
remove_field(GString *head, const char *name)
{
    char *start = g_strdup_printf("\r\n%s:", name);
    const char *found = strstr(head->str, start);

    if (found != NULL) {
        g_string_erase(head, found - head->str,
                       strstr(found + 2, "\r\n") - found);
    }
    g_free(start);
}

static void
add_field(GString *head, const char *field)
{
    g_string_insert(head, (gssize)head->len - 2, field);
}

static void
encode(struct spoiler *spoiler, GString *head)
{
    (void)spoiler;
    add_field(head, "Content-Encoding: gzip\r\n");
}

static void
remove_seal(struct spoiler *spoiler, GString *head)
{
    (void)spoiler;
    remove_field(head, "Server-Seal");
}

/* The copy of the attempt id must not make the interim response pass for the
 * final one. */
static void
add_interim(struct spoiler *spoiler, GString *head)
{
    int number =
        g_rand_int_range(spoiler->random, 0, G_N_ELEMENTS(interims) + 1);
    const char *id = strstr(head->str, "Attempt-Id:");
    char *text;

    if (number < (int)G_N_ELEMENTS(interims) || id == NULL) {
        g_string_prepend(head, interims[number % G_N_ELEMENTS(interims)]);
        return;
    }
    text = g_strdup_printf("HTTP/1.1 103 Early Hints\r\n%.*s\r\n\r\n",
                           (int)strcspn(id, "\r"), id);
    g_string_prepend(head, text);
    g_free(text);
}

static void
replace_by_junk(struct spoiler *spoiler, GString *head)
{
    int number = g_rand_int_range(spoiler->random, 0, G_N_ELEMENTS(not_http));

    g_string_assign(head, not_http[number]);
    if (g_rand_boolean(spoiler->random)) {
        spoiler->left = (int64_t)head->len;
        spoiler->close = SPOIL_CLOSE_FIN;
    }
}

static int
body_bytes(const struct spoiler *spoiler)
{
    return spoiler->parser.flags & F_CHUNKED
               ? STREAM_BYTES
               : (int)MIN(spoiler->parser.content_length, INT32_MAX);
}

/* Draws whether it breaks off in the head or in the body. */
static void
break_off(struct spoiler *spoiler, GString *head)
{
    int body = body_bytes(spoiler);

    spoiler->left =
        body == 0 || g_rand_boolean(spoiler->random)
            ? g_rand_int_range(spoiler->random, 1, (int)head->len)
            : (int)head->len + g_rand_int_range(spoiler->random, 0, body);
}

static void
break_off_with_fin(struct spoiler *spoiler, GString *head)
{
    spoiler->close = SPOIL_CLOSE_FIN;
    break_off(spoiler, head);
}

static void
break_off_with_reset(struct spoiler *spoiler, GString *head)
{
    spoiler->close = SPOIL_CLOSE_RESET;
    break_off(spoiler, head);
}

static void
remove_length(struct spoiler *spoiler, GString *head)
{
    remove_field(head, "Content-Length");
    remove_field(head, "Transfer-Encoding");
    spoiler->close = SPOIL_CLOSE_FIN;
}

/* Without a length only the reset tells that the body isn't whole. */
static void
remove_length_and_break_off(struct spoiler *spoiler, GString *head)
{
    int body = body_bytes(spoiler);

    remove_length(spoiler, head);
    spoiler->close = SPOIL_CLOSE_RESET;
    spoiler->left =
        (int64_t)head->len + g_rand_int_range(spoiler->random, 0, body + 1);
}

static void
repeat(struct spoiler *spoiler)
{
    forward(spoiler, spoiler->raw->data, spoiler->raw->len);
}

/* Appends the beginning of the response, or bytes that are no response. */
static void
append_extra_bytes(struct spoiler *spoiler, GByteArray *to)
{
    int number =
        g_rand_int_range(spoiler->random, 0, 2 * G_N_ELEMENTS(not_http));

    if (number < (int)G_N_ELEMENTS(not_http)) {
        g_byte_array_append(to, (const guint8 *)not_http[number],
                            (guint)strlen(not_http[number]));
        return;
    }
    g_byte_array_append(
        to, spoiler->raw->data,
        (guint)g_rand_int_range(spoiler->random, 1, (int)spoiler->raw->len));
}

static void
add_extra_bytes(struct spoiler *spoiler)
{
    append_extra_bytes(spoiler, spoiler->out);
}

static void
add_extra_bytes_late(struct spoiler *spoiler)
{
    g_byte_array_set_size(spoiler->late, 0);
    append_extra_bytes(spoiler, spoiler->late);
    spoiler->late_count = 1;
}

static void
repeat_late(struct spoiler *spoiler)
{
    g_byte_array_set_size(spoiler->late, 0);
    g_byte_array_append(spoiler->late, spoiler->raw->data, spoiler->raw->len);
    spoiler->late_count =
        g_rand_int_range(spoiler->random, 1, LATE_COPIES_MAX + 1);
}

static const struct spoil_ops spoil_kinds[SPOIL_COUNT] = {
    [SPOIL_REPEATED] = {NULL, repeat, false, false},
    [SPOIL_REPEATED_LATE] = {NULL, repeat_late, false, false},
    [SPOIL_EXTRA_BYTES] = {NULL, add_extra_bytes, false, false},
    [SPOIL_EXTRA_BYTES_LATE] = {NULL, add_extra_bytes_late, false, false},
    [SPOIL_ENCODED] = {encode, NULL, true, false},
    [SPOIL_UNSIGNED] = {remove_seal, NULL, false, false},
    [SPOIL_INTERIM] = {add_interim, NULL, false, false},
    [SPOIL_NOT_HTTP] = {replace_by_junk, NULL, false, false},
    [SPOIL_BROKEN_FIN] = {break_off_with_fin, NULL, false, false},
    [SPOIL_BROKEN_RESET] = {break_off_with_reset, NULL, false, false},
    [SPOIL_UNFRAMED] = {remove_length, NULL, false, true},
    [SPOIL_UNFRAMED_RESET] = {remove_length_and_break_off, NULL, false, true},
};

/* While responses are repeated late, all refusals are: only few requests come
 * again over the connection on which they were refused. */
static const struct spoil_ops *
draw_kind(const struct spoiler *spoiler)
{
    int first = g_rand_int_range(spoiler->random, 0, SPOIL_COUNT);

    if (spoiler->percents[SPOIL_REPEATED_LATE] > 0 &&
        strstr(spoiler->head->str, "\r\nNot-Executed:") != NULL) {
        return &spoil_kinds[SPOIL_REPEATED_LATE];
    }
    for (int i = 0; i < SPOIL_COUNT; i++) {
        int kind = (first + i) % SPOIL_COUNT;

        if (g_rand_int_range(spoiler->random, 0, 100) <
            spoiler->percents[kind]) {
            return &spoil_kinds[kind];
        }
    }
    return NULL;
}

static int
on_body(http_parser *parser, const char *bytes, size_t count)
{
    struct spoiler *spoiler = parser->data;

    if (spoiler->ops != NULL && spoiler->ops->encodes) {
        for (size_t i = 0; i < count; i++) {
            ((char *)bytes)[i] ^= 0x55;
        }
    }
    if (spoiler->ops != NULL && spoiler->ops->unframed) {
        forward(spoiler, bytes, count);
    }
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    ((struct spoiler *)parser->data)->complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
finish_response(struct spoiler *spoiler)
{
    if (spoiler->ops != NULL && spoiler->ops->end != NULL) {
        spoiler->ops->end(spoiler);
    }
    if (spoiler->ops != NULL && spoiler->closed == SPOIL_CLOSE_NONE &&
        spoiler->left < 0) {
        spoiler->closed = spoiler->close;
    }
    spoiler->ops = NULL;
    spoiler->in_body = false;
    spoiler->awaits_request = true;
    g_string_truncate(spoiler->head, 0);
    g_byte_array_set_size(spoiler->raw, 0);
}

static void
start_response(struct spoiler *spoiler)
{
    http_parser_init(&spoiler->parser, HTTP_RESPONSE);
    spoiler->parser.data = spoiler;
    spoiler->complete = false;
    spoiler->drops = false;
    spoiler->left = -1;
    spoiler->close = SPOIL_CLOSE_NONE;
    http_parser_execute(&spoiler->parser, &parser_settings, spoiler->head->str,
                        spoiler->head->len);
    spoiler->ops = draw_kind(spoiler);
    if (spoiler->ops != NULL && spoiler->ops->begin != NULL) {
        spoiler->ops->begin(spoiler, spoiler->head);
    }
    forward(spoiler, spoiler->head->str, spoiler->head->len);
    spoiler->drops =
        spoiler->drops || spoiler->ops == &spoil_kinds[SPOIL_NOT_HTTP];
    spoiler->in_body = true;
}

static size_t
read_head(struct spoiler *spoiler, const guint8 *bytes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_string_append_c(spoiler->head, (char)bytes[i]);
        g_byte_array_append(spoiler->raw, &bytes[i], 1);
        if (g_str_has_suffix(spoiler->head->str, "\r\n\r\n")) {
            start_response(spoiler);
            return i + 1;
        }
    }
    return count;
}

static size_t
read_body(struct spoiler *spoiler, guint8 *bytes, size_t count)
{
    size_t used = http_parser_execute(&spoiler->parser, &parser_settings,
                                      (const char *)bytes, count);

    g_byte_array_append(spoiler->raw, bytes, (guint)used);
    if (spoiler->ops == NULL || !spoiler->ops->unframed) {
        forward(spoiler, bytes, used);
    }
    return used;
}

/**
 * spoiler_forward() - handle bytes of the engine
 * @spoiler: the connection
 * @bytes: the bytes; may be changed
 * @count: their number
 * @out: what is to be forwarded is appended to it
 *
 * Return: how the connection ends behind @out.
 */
enum spoil_close
spoiler_forward(struct spoiler *spoiler, guint8 *bytes, size_t count,
                GByteArray *out)
{
    spoiler->out = out;
    while (count > 0 && spoiler->closed == SPOIL_CLOSE_NONE) {
        size_t used = spoiler->in_body ? read_body(spoiler, bytes, count)
                                       : read_head(spoiler, bytes, count);

        if (spoiler->in_body && spoiler->complete) {
            finish_response(spoiler);
        }
        bytes += used;
        count -= used;
    }
    return spoiler->closed;
}

/* Called when bytes of a request arrive; appends what goes before its
 * response. */
void
spoiler_request_arrived(struct spoiler *spoiler, GByteArray *out)
{
    if (spoiler->awaits_request && spoiler->late_count > 0) {
        spoiler->late_count--;
        g_byte_array_append(out, spoiler->late->data, spoiler->late->len);
    }
    spoiler->awaits_request = false;
}

/* Whether the engine's close would make an incomplete body look complete. */
bool
spoiler_in_unframed_body(const struct spoiler *spoiler)
{
    return spoiler->in_body && spoiler->ops != NULL && spoiler->ops->unframed;
}

/* @percents: shares of the responses to spoil, by enum spoil_kind */
struct spoiler *
spoiler_new(const int *percents, GRand *random)
{
    struct spoiler *spoiler = g_new0(struct spoiler, 1);

    spoiler->percents = percents;
    spoiler->random = random;
    spoiler->head = g_string_new(NULL);
    spoiler->raw = g_byte_array_new();
    spoiler->late = g_byte_array_new();
    return spoiler;
}

void
spoiler_free(struct spoiler *spoiler)
{
    g_string_free(spoiler->head, TRUE);
    g_byte_array_free(spoiler->raw, TRUE);
    g_byte_array_free(spoiler->late, TRUE);
    g_free(spoiler);
}
