/**
 * DOC: Schema of the configuration tree.
 *
 * A table gives the type, range and default of each key and the node types
 * that may set it. Values are stored as integers: a bool is 0 or 1, a kind or
 * a node type is its enumerator.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "tree/internal.h"

enum {
    ON_ROOT = 1 << NODE_ROOT,
    ON_SERVICE = 1 << NODE_SERVICE,
    ON_DATA_CENTRE = 1 << NODE_DATA_CENTRE,
    ON_ANY = ON_ROOT | ON_SERVICE | ON_DATA_CENTRE | 1 << NODE_MODEL |
             1 << NODE_ADAPTER,
    ALLOWED_TEXT_BYTES = 64,
};

#define FIELD(name) offsetof(struct node_settings, name)

const struct schema_key schema_keys[KEY_COUNT] = {
    [KEY_TYPE] = {"type", VALUE_NODE_TYPE, NODE_ROOT, NODE_ADAPTER, NODE_ROOT,
                  ON_ANY, 0},
    [KEY_KIND] = {"kind", VALUE_KIND, TARGET_ENGINE, TARGET_PLAIN,
                  TARGET_ENGINE, ON_ROOT | ON_SERVICE, FIELD(kind)},
    [KEY_ENABLED] = {"enabled", VALUE_BOOL, 0, 1, 1, ON_ANY, FIELD(enabled)},
    [KEY_REPLICAS_MAX] = {"replicas_max", VALUE_INT, 0, 10000, 1, ON_ANY,
                          FIELD(replicas_max)},
    [KEY_REPLICAS_MIN] = {"replicas_min", VALUE_INT, 0, 100, 0, ON_ANY,
                          FIELD(replicas_min)},
    [KEY_MEMORY_MB] = {"memory_mb", VALUE_INT, 1, 4194304, 1024, ON_ANY,
                       FIELD(memory_mb)},
    [KEY_IDLE_UNLOAD_S] = {"idle_unload_s", VALUE_INT, 1, 86400, 600, ON_ANY,
                           FIELD(idle_unload_s)},
    [KEY_PRIORITY] = {"priority", VALUE_INT, 0, 9, 5, ON_ANY, FIELD(priority)},
    [KEY_WAIT_MAX_MS] = {"wait_max_ms", VALUE_INT, 10, 3600000, 30000, ON_ANY,
                         FIELD(wait_max_ms)},
    [KEY_QUEUE_MAX] = {"queue_max", VALUE_INT, 1, 100000, 256, ON_ANY,
                       FIELD(queue_max)},
    [KEY_INFLIGHT_MAX] = {"inflight_max", VALUE_INT, 1, 100000, 64, ON_ANY,
                          FIELD(inflight_max)},
    [KEY_ATTEMPTS_MAX] = {"attempts_max", VALUE_INT, 1, 10, 3, ON_ANY,
                          FIELD(attempts_max)},
    [KEY_REPEATABLE] = {"repeatable", VALUE_BOOL, 0, 1, 1, ON_ANY,
                        FIELD(repeatable)},
    [KEY_CHECKS_FENCE] = {"checks_fence", VALUE_BOOL, 0, 1, 0,
                          ON_ROOT | ON_SERVICE | ON_DATA_CENTRE,
                          FIELD(checks_fence)},
    [KEY_STALE_SERVE_S] = {"stale_serve_s", VALUE_INT, 0, 86400, 3600, ON_ANY,
                           FIELD(stale_serve_s)},
    [KEY_STORE_LOADS_AT_ONCE] = {"store_loads_at_once", VALUE_INT, 1, 10000, 4,
                                 ON_ROOT, FIELD(store_loads_at_once)},
    [KEY_STORE_LOADS_PER_S] = {"store_loads_per_s", VALUE_INT, 1, 10000, 6,
                               ON_ROOT, FIELD(store_loads_per_s)},
};

static const char *const type_names[] = {
    [NODE_ROOT] = "root",       [NODE_SERVICE] = "service",
    [NODE_MODEL] = "model",     [NODE_DATA_CENTRE] = "data_centre",
    [NODE_ADAPTER] = "adapter",
};

static const char *const kind_names[] = {
    [TARGET_ENGINE] = "engine",
    [TARGET_PLAIN] = "plain",
};

/**
 * schema_type_name() - get the name of a node type
 * @type: the type
 */
const char *
schema_type_name(enum node_type type)
{
    return type_names[type];
}

/**
 * schema_find_key() - find a key by name
 * @name: name of the key
 *
 * Return: enum key_id, or -1 when the schema has no such key.
 */
int
schema_find_key(const char *name)
{
    for (int i = 0; i < KEY_COUNT; i++) {
        if (strcmp(schema_keys[i].name, name) == 0) {
            return i;
        }
    }
    return -1;
}

static int
find_name_index(const char *const *names, int count, const char *name)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    return -1;
}

/* Describes the allowed values of a key for error messages. */
static void
describe_allowed(const struct schema_key *key, char *text, size_t bytes)
{
    switch (key->type) {
    case VALUE_NODE_TYPE:
        snprintf(text, bytes, "service, data_centre, model or adapter");
        break;
    case VALUE_KIND:
        snprintf(text, bytes, "engine or plain");
        break;
    case VALUE_BOOL:
        snprintf(text, bytes, "true or false");
        break;
    case VALUE_INT:
        snprintf(text, bytes, "an integer of %" PRId64 "..%" PRId64, key->min,
                 key->max);
        break;
    }
}

/* Returns -1 when the JSON value doesn't have the type of the key. */
static int64_t
value_from_json(const struct schema_key *key, struct json_object *value)
{
    const char *name = json_object_get_string(value);

    switch (key->type) {
    case VALUE_NODE_TYPE:
        return json_object_is_type(value, json_type_string)
                   ? find_name_index(type_names, G_N_ELEMENTS(type_names),
                                     name)
                   : -1;
    case VALUE_KIND:
        return json_object_is_type(value, json_type_string)
                   ? find_name_index(kind_names, G_N_ELEMENTS(kind_names),
                                     name)
                   : -1;
    case VALUE_BOOL:
        return json_object_is_type(value, json_type_boolean)
                   ? json_object_get_boolean(value)
                   : -1;
    case VALUE_INT:
        return json_object_is_type(value, json_type_int)
                   ? json_object_get_int64(value)
                   : -1;
    }
    return -1;
}

/**
 * schema_parse_value() - convert a value from JSON and check it
 * @node: path of the node, for the error text
 * @key: enum key_id
 * @text: JSON text of the value
 * @value: set to the value as an integer
 * @err: filled in on failure
 *
 * Return: false with ERR_EDIT_INVALID whose text names the allowed values.
 */
bool
schema_parse_value(const char *node, int key, const char *text, int64_t *value,
                   struct err *err)
{
    const struct schema_key *schema = &schema_keys[key];
    struct json_object *json = json_tokener_parse(text);
    int64_t converted = json == NULL ? -1 : value_from_json(schema, json);
    char canonical[NAME_MAX_BYTES] = "";
    char allowed[ALLOWED_TEXT_BYTES];

    json_object_put(json);
    /* No key allows a negative value, so -1 also stands for a wrong type. */
    if (converted >= schema->min && converted <= schema->max) {
        schema_format_value(key, converted, canonical, sizeof(canonical));
    }
    /* The parser ignores text after the value, so the texts are compared. */
    if (strcmp(canonical, text) != 0) {
        describe_allowed(schema, allowed, sizeof(allowed));
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: %s: %.40s is not allowed, use %s", node,
                       schema->name, text, allowed);
    }
    *value = converted;
    return true;
}

/**
 * schema_format_value() - convert a value to JSON
 * @key: enum key_id
 * @value: the value as an integer
 * @text: set to the JSON text
 * @bytes: size of @text
 */
void
schema_format_value(int key, int64_t value, char *text, size_t bytes)
{
    switch (schema_keys[key].type) {
    case VALUE_NODE_TYPE:
        snprintf(text, bytes, "\"%s\"", type_names[value]);
        break;
    case VALUE_KIND:
        snprintf(text, bytes, "\"%s\"", kind_names[value]);
        break;
    case VALUE_BOOL:
        snprintf(text, bytes, "%s", value != 0 ? "true" : "false");
        break;
    case VALUE_INT:
        snprintf(text, bytes, "%" PRId64, value);
        break;
    }
}

/**
 * schema_set_field() - set the field of a key in settings
 * @settings: the settings
 * @key: enum key_id; KEY_TYPE has no field and is ignored
 * @value: the value as an integer
 */
void
schema_set_field(struct node_settings *settings, int key, int64_t value)
{
    char *field = (char *)settings + schema_keys[key].offset;

    switch (schema_keys[key].type) {
    case VALUE_NODE_TYPE:
        break;
    case VALUE_KIND:
        *(enum target_kind *)field = (enum target_kind)value;
        break;
    case VALUE_BOOL:
        *(bool *)field = value != 0;
        break;
    case VALUE_INT:
        *(int64_t *)field = value;
        break;
    }
}

/**
 * schema_get_field() - get the field of a key in settings
 * @settings: the settings
 * @key: enum key_id; KEY_TYPE has no field
 *
 * Return: the value as an integer, 0 for KEY_TYPE.
 */
int64_t
schema_get_field(const struct node_settings *settings, int key)
{
    const char *field = (const char *)settings + schema_keys[key].offset;

    switch (schema_keys[key].type) {
    case VALUE_KIND:
        return *(const enum target_kind *)field;
    case VALUE_BOOL:
        return *(const bool *)field;
    case VALUE_INT:
        return *(const int64_t *)field;
    case VALUE_NODE_TYPE:
        break;
    }
    return 0;
}

/**
 * schema_set_defaults() - set all settings to their defaults
 * @settings: filled in
 */
void
schema_set_defaults(struct node_settings *settings)
{
    memset(settings, 0, sizeof(*settings));
    for (int i = KEY_TYPE + 1; i < KEY_COUNT; i++) {
        schema_set_field(settings, i, schema_keys[i].default_value);
    }
}

/**
 * schema_check_type() - check that a node type may set a key
 * @node: path of the node, for the error text
 * @key: enum key_id
 * @type: type of the node
 * @err: filled in on failure
 *
 * Return: false with ERR_EDIT_INVALID whose text names the allowed types.
 */
bool
schema_check_type(const char *node, int key, enum node_type type,
                  struct err *err)
{
    char types[ALLOWED_TEXT_BYTES] = "";

    if ((schema_keys[key].allowed_types & 1u << type) != 0) {
        return true;
    }
    for (int i = NODE_ROOT; i <= NODE_ADAPTER; i++) {
        if ((schema_keys[key].allowed_types & 1u << i) != 0) {
            g_strlcat(types, types[0] == '\0' ? "" : ", ", sizeof(types));
            g_strlcat(types, type_names[i], sizeof(types));
        }
    }
    return err_set(err, ERR_EDIT_INVALID,
                   "%.100s: %s: a %s may not set this key, only %s", node,
                   schema_keys[key].name, type_names[type], types);
}
