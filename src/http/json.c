/**
 * DOC: Parsing of JSON from other processes and from files.
 */
#include <errno.h>
#include <glib.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

enum { JSON_DEPTH_MAX = 32 };

static struct json_object *
parse(const char *text, size_t bytes, enum json_tokener_error *result,
      struct err *err)
{
    struct json_tokener *tokener;
    struct json_object *object;
    size_t end;

    *result = json_tokener_error_parse_unexpected;
    /* The parser takes the length as an int. */
    if (bytes > INT32_MAX) {
        err_set(err, ERR_BAD_JSON, "%zu bytes are too many", bytes);
        return NULL;
    }
    tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    if (tokener == NULL) {
        err_set(err, ERR_NO_MEMORY, "JSON parser");
        return NULL;
    }
    object = json_tokener_parse_ex(tokener, text, (int)bytes);
    *result = json_tokener_get_error(tokener);
    end = json_tokener_get_parse_end(tokener);
    json_tokener_free(tokener);
    while (*result == json_tokener_success && end < bytes &&
           (text[end] == ' ' || text[end] == '\n' || text[end] == '\r' ||
            text[end] == '\t' || text[end] == '\0')) {
        end++;
    }
    if (*result != json_tokener_success || end < bytes) {
        err_set(err, ERR_BAD_JSON, "%s at byte %zu",
                *result == json_tokener_success
                    ? "text after the value"
                    : json_tokener_error_desc(*result),
                end);
        json_object_put(object);
        return NULL;
    }
    return object;
}

/**
 * json_parse() - parse one complete JSON value; comments are allowed
 * @text: text to parse
 * @bytes: length of @text
 * @err: filled in on failure; its text has the offset of the syntax error
 *
 * Fails for values nested JSON_DEPTH_MAX levels deep or more, as
 * json_object_put() needs stack for each level.
 *
 * Return: a value that the caller releases with json_object_put(), or NULL
 * with ERR_BAD_JSON or ERR_NO_MEMORY.
 */
struct json_object *
json_parse(const char *text, size_t bytes, struct err *err)
{
    enum json_tokener_error result;

    return parse(text, bytes, &result, err);
}

/* Returns the end of the string or comment that begins at @at, or of the
 * single character there. */
static size_t
token_end(const char *text, size_t bytes, size_t at)
{
    const char *close;
    char quote = text[at];

    if (quote == '"' || quote == '\'') {
        for (at++; at < bytes && text[at] != quote; at++) {
            at += text[at] == '\\' ? 1 : 0;
        }
        return MIN(at + 1, bytes);
    }
    if (quote != '/' || at + 1 == bytes) {
        return at + 1;
    }
    close = text[at + 1] == '*' ? "*/" : "\n";
    close = memmem(text + at + 2, bytes - at - 2, close, strlen(close));
    if (text[at + 1] != '*') {
        return close != NULL ? (size_t)(close - text) : bytes;
    }
    return close != NULL ? (size_t)(close - text) + 2 : bytes;
}

/**
 * json_prune() - copy JSON with null for each value that is nested too deeply
 * @text: the JSON text
 * @bytes: length of @text
 * @depth_max: depth at which a parser refuses the text
 * @pruned_bytes: set to the length of the copy
 *
 * Return: the copy, to be freed with g_free().
 */
char *
json_prune(const char *text, size_t bytes, size_t depth_max,
           size_t *pruned_bytes)
{
    GString *pruned = g_string_sized_new(bytes);
    size_t depth = 0;
    size_t end;

    for (size_t at = 0; at < bytes; at = end) {
        char c = text[at];

        end = token_end(text, bytes, at);
        if ((c == '[' || c == '{') && ++depth == depth_max) {
            g_string_append(pruned, "null");
        }
        if (depth < depth_max) {
            g_string_append_len(pruned, text + at, (gssize)(end - at));
        }
        if ((c == ']' || c == '}') && depth > 0) {
            depth--;
        }
    }
    *pruned_bytes = pruned->len;
    return g_string_free(pruned, FALSE);
}

/**
 * json_parse_pruned() - parse like json_parse(), with null for each value that
 * is nested JSON_DEPTH_MAX levels deep or more
 * @text: text to parse
 * @bytes: length of @text
 * @err: filled in on failure
 *
 * For lists whose items come from several writers: one that nests too deeply
 * must not cost the others.
 *
 * Return: as json_parse().
 */
struct json_object *
json_parse_pruned(const char *text, size_t bytes, struct err *err)
{
    enum json_tokener_error result;
    struct json_object *object = parse(text, bytes, &result, err);
    size_t pruned_bytes;
    char *pruned;

    if (result != json_tokener_error_depth) {
        return object;
    }
    if (err != NULL) {
        err_clear(err);
    }
    pruned = json_prune(text, bytes, JSON_DEPTH_MAX, &pruned_bytes);
    object = parse(pruned, pruned_bytes, &result, err);
    g_free(pruned);
    return object;
}

/**
 * json_get_member() - get a member of an object
 * @object: the object; any other value has no members
 * @key: name of the member
 *
 * Return: the member, owned by the object; NULL if it is missing or null.
 */
struct json_object *
json_get_member(struct json_object *object, const char *key)
{
    struct json_object *member = NULL;

    if (json_object_is_type(object, json_type_object)) {
        json_object_object_get_ex(object, key, &member);
    }
    return member;
}

/**
 * json_get_string() - get a string member of an object
 * @object: the object; any other value has no members
 * @key: name of the member
 * @fallback: returned when the member is missing, isn't a string, or has a NUL
 *            byte, at which C would end it
 *
 * Return: text that is valid as long as @object, or @fallback.
 */
const char *
json_get_string(struct json_object *object, const char *key,
                const char *fallback)
{
    struct json_object *member;

    if (json_object_is_type(object, json_type_object) &&
        json_object_object_get_ex(object, key, &member) &&
        json_object_is_type(member, json_type_string) &&
        strlen(json_object_get_string(member)) ==
            (size_t)json_object_get_string_len(member)) {
        return json_object_get_string(member);
    }
    return fallback;
}

/* Reads a text of a whole number, and nothing else. */
static bool
parse_integer(const char *text, int64_t *number)
{
    char *end;

    errno = 0;
    *number = g_ascii_strtoll(text, &end, 10);
    return end != text && *end == '\0' && errno == 0;
}

/**
 * json_get_int64() - get an integer member of an object
 * @object: the object; any other value has no members
 * @key: name of the member
 * @fallback: returned when the member is missing or is no whole number within
 *            63 bits
 *
 * Texts are converted, as protobuf's JSON encoding has 64-bit integers as
 * texts. Documents of other programs are read by json_rules_read(), which says
 * what can't be used.
 */
int64_t
json_get_int64(struct json_object *object, const char *key, int64_t fallback)
{
    struct json_object *member = NULL;
    int64_t number;
    double value;

    if (!json_object_is_type(object, json_type_object) ||
        !json_object_object_get_ex(object, key, &member)) {
        return fallback;
    }
    switch (json_object_get_type(member)) {
    case json_type_int:
        /* The library returns these for numbers beyond them, too. */
        number = json_object_get_int64(member);
        return number != INT64_MAX && number != INT64_MIN ? number : fallback;
    case json_type_double:
        value = json_object_get_double(member);
        return value == floor(value) && fabs(value) < 9e18 ? (int64_t)value
                                                           : fallback;
    case json_type_string:
        return parse_integer(json_object_get_string(member), &number)
                   ? number
                   : fallback;
    default:
        return fallback;
    }
}

/**
 * json_get_bool() - get a boolean member of an object
 * @object: the object; any other value has no members
 * @key: name of the member
 * @fallback: returned when the member is missing or isn't a boolean
 */
bool
json_get_bool(struct json_object *object, const char *key, bool fallback)
{
    struct json_object *member;

    if (json_object_is_type(object, json_type_object) &&
        json_object_object_get_ex(object, key, &member) &&
        json_object_is_type(member, json_type_boolean)) {
        return json_object_get_boolean(member);
    }
    return fallback;
}

/**
 * json_get_double() - get a number member of an object, integer or not
 * @object: the object; any other value has no members
 * @key: name of the member
 * @fallback: returned when the member is missing or isn't a number
 */
double
json_get_double(struct json_object *object, const char *key, double fallback)
{
    struct json_object *member;

    if (json_object_is_type(object, json_type_object) &&
        json_object_object_get_ex(object, key, &member) &&
        (json_object_is_type(member, json_type_double) ||
         json_object_is_type(member, json_type_int))) {
        return json_object_get_double(member);
    }
    return fallback;
}
