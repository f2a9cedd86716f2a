/**
 * DOC: Settings of the process: JSON with comments, validated against a
 * schema.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stddef.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/dat.h"
#include "turmericd/fns.h"

enum setting_type { SETTING_NAME, SETTING_ADDRESS, SETTING_TEXT, SETTING_INT };

/**
 * struct setting - row of the schema
 * @key: key in the file
 * @type: type of the value
 * @offset: offset of the field in struct settings
 * @size: size of the field in bytes
 * @min: smallest integer allowed
 * @max: largest integer allowed
 * @default_value: value of an integer that the file does not set
 * @required: the file must set the key; only for text
 */
struct setting {
    const char *key;
    enum setting_type type;
    size_t offset;
    size_t size;
    int64_t min;
    int64_t max;
    int64_t default_value;
    bool required;
};

#define TEXT(key, type, required)                                             \
    {                                                                         \
#key, type, offsetof(struct settings, key),                           \
            sizeof(((struct settings *)0)->key), 0, 0, 0, required            \
    }
#define INTEGER(key, min, max, default_value)                                 \
    {                                                                         \
#key, SETTING_INT, offsetof(struct settings, key), sizeof(int64_t),   \
            min, max, default_value, false                                    \
    }

static const struct setting schema[] = {
    TEXT(name, SETTING_NAME, true),
    TEXT(data_centre, SETTING_NAME, true),
    TEXT(address, SETTING_ADDRESS, true),
    TEXT(peer_address, SETTING_ADDRESS, true),
    TEXT(desk_address, SETTING_ADDRESS, true),
    TEXT(token_file, SETTING_TEXT, true),
    TEXT(key_value_url, SETTING_TEXT, true),
    TEXT(list_url, SETTING_TEXT, true),
    INTEGER(key_value_timeout_ms, 100, 60000, 1000),
    INTEGER(list_interval_ms, 100, 60000, 1000),
    INTEGER(poll_interval_ms, 100, 60000, 1000),
    INTEGER(poll_timeout_ms, 100, 60000, 1000),
    INTEGER(load_timeout_ms, 1000, 3600000, 300000),
    INTEGER(body_max_bytes, 1024, 1048576, 1048576),
    INTEGER(keep_s, 1, 300, 5),
    INTEGER(drain_max_s, 1, 3600, 300),
    INTEGER(calls_max, 16, 65536, 4096),
    INTEGER(forward_workers, 1, 256, 256),
};

static const struct setting *
find_setting(const char *key)
{
    for (size_t i = 0; i < G_N_ELEMENTS(schema); i++) {
        if (strcmp(schema[i].key, key) == 0) {
            return &schema[i];
        }
    }
    return NULL;
}

static bool
is_valid_name(const char *text)
{
    return text[0] != '\0' &&
           strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789._-") ==
               strlen(text);
}

static bool
set_text(const struct setting *setting, const char *file, const char *text,
         struct settings *settings, struct err *err)
{
    struct sockaddr_in address;
    struct err address_err;

    if (text == NULL || text[0] == '\0' || strlen(text) >= setting->size) {
        return err_set(err, ERR_SETTINGS,
                       "%s: \"%s\" must be a string of 1 to %zu bytes", file,
                       setting->key, setting->size - 1);
    }
    if (setting->type == SETTING_NAME && !is_valid_name(text)) {
        return err_set(
            err, ERR_SETTINGS,
            "%s: \"%s\" is \"%s\"; allowed characters are a-z 0-9 . _ -", file,
            setting->key, text);
    }
    if (setting->type == SETTING_ADDRESS &&
        !address_parse(text, &address, &address_err)) {
        return err_set(err, ERR_SETTINGS, "%s: \"%s\": %s", file, setting->key,
                       address_err.text);
    }
    g_strlcpy((char *)settings + setting->offset, text, setting->size);
    return true;
}

static bool
set_integer(const struct setting *setting, const char *file,
            struct json_object *value, struct settings *settings,
            struct err *err)
{
    int64_t number;

    errno = 0;
    number = json_object_get_int64(value);
    if (!json_object_is_type(value, json_type_int) || errno != 0 ||
        number < setting->min || number > setting->max) {
        return err_set(err, ERR_SETTINGS,
                       "%s: \"%s\" must be an integer from %" PRId64
                       " to %" PRId64,
                       file, setting->key, setting->min, setting->max);
    }
    *(int64_t *)((char *)settings + setting->offset) = number;
    return true;
}

static bool
set_value(const char *file, const char *key, struct json_object *value,
          struct settings *settings, struct err *err)
{
    const struct setting *setting = find_setting(key);

    if (setting == NULL) {
        return err_set(err, ERR_SETTINGS,
                       "%s: \"%s\" is unknown; turmericd(8) lists the keys",
                       file, key);
    }
    if (setting->type == SETTING_INT) {
        return set_integer(setting, file, value, settings, err);
    }
    return set_text(setting, file,
                    json_object_is_type(value, json_type_string)
                        ? json_object_get_string(value)
                        : NULL,
                    settings, err);
}

static bool
check_required_keys(const char *file, struct json_object *object,
                    struct err *err)
{
    for (size_t i = 0; i < G_N_ELEMENTS(schema); i++) {
        if (schema[i].required &&
            !json_object_object_get_ex(object, schema[i].key, NULL)) {
            return err_set(err, ERR_SETTINGS, "%s: \"%s\" is missing", file,
                           schema[i].key);
        }
    }
    return true;
}

/* Returns the line of a syntax error, whose text gives the byte offset. */
static int
syntax_error_line(const char *text, size_t bytes, const char *error_text)
{
    const char *position = g_strrstr(error_text, "at byte ");
    size_t offset = position != NULL
                        ? (size_t)g_ascii_strtoull(position + 8, NULL, 10)
                        : 0;
    int line = 1;

    for (size_t i = 0; i < offset && i < bytes; i++) {
        line += text[i] == '\n';
    }
    return line;
}

/**
 * settings_parse() - parse and validate settings
 * @file: file name for error messages
 * @text: JSON with comments
 * @bytes: length of @text
 * @settings: filled in, with defaults for keys that are not set
 * @err: filled in on failure
 *
 * Return: false on an error, with ERR_SETTINGS and a text that names the file,
 * the key or line, and what is allowed.
 */
bool
settings_parse(const char *file, const char *text, size_t bytes,
               struct settings *settings, struct err *err)
{
    struct err json_err = {0};
    struct json_object *object = json_parse(text, bytes, &json_err);
    bool valid = true;

    memset(settings, 0, sizeof(*settings));
    for (size_t i = 0; i < G_N_ELEMENTS(schema); i++) {
        if (schema[i].type == SETTING_INT) {
            *(int64_t *)((char *)settings + schema[i].offset) =
                schema[i].default_value;
        }
    }
    if (object == NULL) {
        return err_set(err, ERR_SETTINGS, "%s:%d: %s", file,
                       syntax_error_line(text, bytes, json_err.text),
                       json_err.text);
    }
    if (!json_object_is_type(object, json_type_object)) {
        json_object_put(object);
        return err_set(err, ERR_SETTINGS, "%s: must be a JSON object", file);
    }
    json_object_object_foreach(object, key, value)
    {
        valid = valid && set_value(file, key, value, settings, err);
    }
    valid = valid && check_required_keys(file, object, err);
    json_object_put(object);
    return valid;
}

/**
 * settings_read() - read and validate a settings file
 * @file: path of the file
 * @settings: filled in
 * @err: filled in on failure
 *
 * Return: false on an error, with ERR_SETTINGS.
 */
bool
settings_read(const char *file, struct settings *settings, struct err *err)
{
    GError *error = NULL;
    char *text;
    size_t bytes;
    bool valid;

    if (!g_file_get_contents(file, &text, &bytes, &error)) {
        err_set(err, ERR_SETTINGS, "%s", error->message);
        g_error_free(error);
        return false;
    }
    valid = settings_parse(file, text, bytes, settings, err);
    g_free(text);
    return valid;
}

/**
 * settings_format() - format the effective settings as JSON
 * @settings: validated settings
 *
 * Return: the text, to be freed with g_free().
 */
char *
settings_format(const struct settings *settings)
{
    struct json_object *object = json_object_new_object();
    char *text;

    for (size_t i = 0; i < G_N_ELEMENTS(schema); i++) {
        const char *value = (const char *)settings + schema[i].offset;

        json_object_object_add(
            object, schema[i].key,
            schema[i].type == SETTING_INT
                ? json_object_new_int64(*(const int64_t *)value)
                : json_object_new_string(value));
    }
    text = g_strdup(json_object_to_json_string_ext(
        object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(object);
    return text;
}
