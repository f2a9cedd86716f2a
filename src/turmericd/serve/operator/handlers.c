/**
 * DOC: Handlers of operators' requests, independent of HTTP.
 *
 * Each returns the response body, freed with free(), or NULL with err set.
 */
#include <errno.h>
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/internal.h"

/* Exceeds the number of keys in the schema. */
enum { EFFECTIVE_VALUES_MAX = 64 };

static const char *const member_state_names[] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_LEAVING] = "leaving",
    [MEMBER_DEAD] = "dead",
};

static char *
serialize_json(struct json_object *json)
{
    char *text = strdup(json_object_to_json_string_ext(
        json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

    json_object_put(json);
    return text;
}

static void
add_string(struct json_object *json, const char *name, const char *text)
{
    json_object_object_add(json, name, json_object_new_string(text));
}

static void
add_number(struct json_object *json, const char *name, int64_t number)
{
    json_object_object_add(json, name, json_object_new_int64(number));
}

static struct tree *
get_tree_ref(struct operator_api_port *port, struct err *err)
{
    struct tree *tree = port->ops->tree_ref(port);

    if (tree == NULL) {
        err_set(err, ERR_NOT_READY, "the settings tree is not loaded yet");
    }
    return tree;
}

/**
 * operator_get_tree() - format the whole tree
 * @port: the rest of the instance
 * @err: filled in on failure
 */
char *
operator_get_tree(struct operator_api_port *port, struct err *err)
{
    struct tree *tree = get_tree_ref(port, err);
    char *text;

    if (tree == NULL) {
        return NULL;
    }
    text = tree_format(tree);
    tree_unref(tree);
    return text;
}

static struct json_object *
format_value(const struct effective_value *value)
{
    struct json_object *json = json_object_new_object();

    add_string(json, "key", value->key);
    json_object_object_add(json, "value", json_tokener_parse(value->value));
    add_string(json, "source", value->source);
    return json;
}

static char *
format_effective(const struct tree *tree, const char *node,
                 const struct effective_value *values, int count)
{
    struct json_object *json = json_object_new_object();
    struct json_object *list = json_object_new_array();

    for (int i = 0; i < count; i++) {
        json_object_array_add(list, format_value(&values[i]));
    }
    add_string(json, "node", node);
    add_number(json, "revision", tree_revision(tree));
    json_object_object_add(json, "values", list);
    return serialize_json(json);
}

/**
 * operator_get_effective() - format a node's values in force and their sources
 * @port: the rest of the instance
 * @node: parameter with the path of the node; NULL when missing
 * @err: filled in on failure
 */
char *
operator_get_effective(struct operator_api_port *port, const char *node,
                       struct err *err)
{
    struct effective_value values[EFFECTIVE_VALUES_MAX];
    struct tree *tree;
    char *text = NULL;
    int count;

    if (node == NULL) {
        err_set(err, ERR_BAD_REQUEST, "the parameter node is missing");
        return NULL;
    }
    tree = get_tree_ref(port, err);
    if (tree == NULL) {
        return NULL;
    }
    count = tree_effective_values(tree, node, values, EFFECTIVE_VALUES_MAX);
    if (count < 0) {
        err_set(err, ERR_NOT_FOUND, "the tree has no node %.150s", node);
    }
    else {
        text = format_effective(tree, node, values, count);
    }
    tree_unref(tree);
    return text;
}

/**
 * operator_post_edit() - parse and apply an edit
 * @port: the rest of the instance
 * @text: request body
 * @bytes: length of @text
 * @err: filled in on failure
 */
char *
operator_post_edit(struct operator_api_port *port, const char *text,
                   size_t bytes, struct err *err)
{
    struct edit edit = {0};
    struct json_object *json;
    int64_t revision = 0;
    char *copy;
    bool applied;

    if (bytes > OPERATOR_BODY_MAX_BYTES) {
        err_set(err, ERR_BODY_TOO_LARGE, "the body is larger than %d bytes",
                OPERATOR_BODY_MAX_BYTES);
        return NULL;
    }
    /* edit_parse() needs a NUL byte after the text. */
    copy = g_strndup(text, bytes);
    applied = edit_parse(copy, bytes, &edit, err) &&
              port->ops->apply_edit(port, &edit, &revision, err);
    g_free(copy);
    if (!applied) {
        edit_free(&edit);
        return NULL;
    }
    json = json_object_new_object();
    add_string(json, "id", edit.id);
    add_number(json, "revision", revision);
    edit_free(&edit);
    return serialize_json(json);
}

/* Parses a number of 0 or more; a missing one gets the default. */
static bool
parse_number_parameter(const char *name, const char *text,
                       int64_t default_number, int64_t *number,
                       struct err *err)
{
    gint64 parsed = 0;

    *number = default_number;
    if (text == NULL) {
        return true;
    }
    if (!g_ascii_string_to_signed(text, 10, 0, INT64_MAX, &parsed, NULL)) {
        return err_set(err, ERR_BAD_REQUEST,
                       "the parameter %s must be a number of 0 or more", name);
    }
    *number = parsed;
    return true;
}

/**
 * operator_get_history() - format accepted edits
 * @port: the rest of the instance
 * @after: revision parameter; NULL starts at the oldest edit that is kept
 * @limit: parameter; NULL for HISTORY_LIMIT_DEFAULT
 * @err: filled in on failure
 */
char *
operator_get_history(struct operator_api_port *port, const char *after,
                     const char *limit, struct err *err)
{
    int64_t revision;
    int64_t count;

    if (!parse_number_parameter("after", after, 0, &revision, err) ||
        !parse_number_parameter("limit", limit, HISTORY_LIMIT_DEFAULT, &count,
                                err)) {
        return NULL;
    }
    return port->ops->list_history(port, revision, (int)MIN(count, INT32_MAX),
                                   err);
}

static struct json_object *
format_member(const char *name, const char *data_centre, const char *state,
              int64_t revision)
{
    struct json_object *json = json_object_new_object();

    add_string(json, "name", name);
    add_string(json, "data_centre", data_centre);
    add_string(json, "state", state);
    add_number(json, "revision", revision);
    return json;
}

/* Uses the local revision for this instance: the member table has the one that
 * it last reported, which may be older. */
static struct json_object *
format_members(struct operator_api_port *port, const char *name,
               int64_t revision)
{
    struct member_info *members = g_new0(struct member_info, MEMBERS_MAX);
    int count = port->ops->list_members(port, members, MEMBERS_MAX);
    struct json_object *list = json_object_new_array();
    bool self_listed = false;

    for (int i = 0; i < count; i++) {
        const struct member_info *info = &members[i];
        bool is_self = strcmp(info->name, name) == 0;

        self_listed = self_listed || is_self;
        json_object_array_add(
            list, format_member(info->name, info->data_centre,
                                member_state_names[info->state],
                                is_self ? revision : info->revision));
    }
    if (!self_listed) {
        json_object_array_add(list,
                              format_member(name, "", "alive", revision));
    }
    g_free(members);
    return list;
}

/**
 * operator_get_status() - format the state of this instance and the members
 * @port: the rest of the instance
 * @name: name of this instance
 * @err: filled in on failure
 */
char *
operator_get_status(struct operator_api_port *port, const char *name,
                    struct err *err)
{
    struct json_object *json = json_object_new_object();
    struct config_state state = {0};
    char *detail = port->ops->get_status(port);

    (void)err;
    port->ops->get_config_state(port, &state);
    add_string(json, "name", name);
    add_number(json, "revision", state.revision);
    json_object_object_add(json, "ready",
                           json_object_new_boolean(state.ready));
    add_number(json, "age_ms", state.age_ms);
    json_object_object_add(json, "stale",
                           json_object_new_boolean(state.stale));
    json_object_object_add(json, "behind",
                           json_object_new_boolean(state.store_behind));
    json_object_object_add(json, "members",
                           format_members(port, name, state.revision));
    json_object_object_add(json, "detail",
                           detail == NULL ? NULL : json_tokener_parse(detail));
    free(detail);
    return serialize_json(json);
}

/**
 * operator_get_counters() - format all counters as lines of "name value"
 * @err: filled in on failure
 */
char *
operator_get_counters(struct err *err)
{
    size_t bytes = counters_format(NULL, 0) + 1;
    /* Counters may gain digits between the two calls. */
    size_t buffer_bytes = 2 * bytes;
    char *text = malloc(buffer_bytes);

    if (text == NULL) {
        err_set(err, ERR_NO_MEMORY, "counters");
        return NULL;
    }
    counters_format(text, buffer_bytes);
    return text;
}
