/**
 * DOC: Parsing of JSON from other processes and from files.
 */
#include <json-c/json.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

enum { JSON_DEPTH_MAX = 32 };

/**
 * json_parse() - parse one complete JSON value; comments are allowed
 * @text: text to parse
 * @bytes: length of @text
 * @err: filled in on failure; its text has the offset of the syntax error
 *
 * Return: a value that the caller releases with json_object_put(), or NULL
 * with ERR_BAD_JSON or ERR_NO_MEMORY.
 */
struct json_object *
json_parse(const char *text, size_t bytes, struct err *err)
{
    struct json_tokener *tokener;
    struct json_object *object;
    enum json_tokener_error result;
    size_t end;

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
    result = json_tokener_get_error(tokener);
    end = json_tokener_get_parse_end(tokener);
    json_tokener_free(tokener);
    while (result == json_tokener_success && end < bytes &&
           (text[end] == ' ' || text[end] == '\n' || text[end] == '\r' ||
            text[end] == '\t' || text[end] == '\0')) {
        end++;
    }
    if (result != json_tokener_success || end < bytes) {
        err_set(err, ERR_BAD_JSON, "%s at byte %zu",
                result == json_tokener_success
                    ? "text after the value"
                    : json_tokener_error_desc(result),
                end);
        json_object_put(object);
        return NULL;
    }
    return object;
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

/**
 * json_get_int64() - get an integer member of an object
 * @object: the object; any other value has no members
 * @key: name of the member
 * @fallback: returned when the member is missing or isn't an integer or a
 *            string
 *
 * Strings are converted, as protobuf's JSON encoding has 64-bit integers as
 * strings.
 */
int64_t
json_get_int64(struct json_object *object, const char *key, int64_t fallback)
{
    struct json_object *member;

    if (!json_object_is_type(object, json_type_object) ||
        !json_object_object_get_ex(object, key, &member)) {
        return fallback;
    }
    if (json_object_is_type(member, json_type_int) ||
        json_object_is_type(member, json_type_string)) {
        return json_object_get_int64(member);
    }
    return fallback;
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
