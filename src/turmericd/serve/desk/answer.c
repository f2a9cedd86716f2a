/**
 * DOC: Answers to operators, apart from HTTP.
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
#include "turmericd/serve/desk/dat.h"
#include "turmericd/serve/desk/internal.h"

/* More than the schema has keys. */
enum { VALUES_MAX = 64 };

static const char *const state_names[] = {
    [MEMBER_ALIVE] = "alive",
    [MEMBER_SUSPECT] = "suspect",
    [MEMBER_LEAVING] = "leaving",
    [MEMBER_DEAD] = "dead",
};

static char *
take_text(struct json_object *json)
{
    char *text = strdup(json_object_to_json_string_ext(
        json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

    json_object_put(json);
    return text;
}

static void
add_text(struct json_object *json, const char *name, const char *text)
{
    json_object_object_add(json, name, json_object_new_string(text));
}

static void
add_number(struct json_object *json, const char *name, int64_t number)
{
    json_object_object_add(json, name, json_object_new_int64(number));
}

static struct tree *
pin_tree(struct desk_port *port, struct err *err)
{
    struct tree *tree = port->ops->tree(port);

    if (tree == NULL) {
        err_set(err, ERR_NOT_READY, "no tree of settings is held yet");
    }
    return tree;
}

/**
 * answer_tree() - the whole tree
 * @port: the rest of the instance
 * @err: filled in on failure
 */
char *
answer_tree(struct desk_port *port, struct err *err)
{
    struct tree *tree = pin_tree(port, err);
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

    add_text(json, "key", value->key);
    json_object_object_add(json, "value", json_tokener_parse(value->value));
    add_text(json, "source", value->source);
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
    add_text(json, "node", node);
    add_number(json, "revision", tree_revision(tree));
    json_object_object_add(json, "values", list);
    return take_text(json);
}

/**
 * answer_effective() - values in force at a node and where they come from
 * @port: the rest of the instance
 * @node: path; NULL when the request has none
 * @err: filled in on failure
 */
char *
answer_effective(struct desk_port *port, const char *node, struct err *err)
{
    struct effective_value values[VALUES_MAX];
    struct tree *tree;
    char *text = NULL;
    int count;

    if (node == NULL) {
        err_set(err, ERR_BAD_REQUEST, "the parameter node is missing");
        return NULL;
    }
    tree = pin_tree(port, err);
    if (tree == NULL) {
        return NULL;
    }
    count = tree_effective_values(tree, node, values, VALUES_MAX);
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
 * answer_edit() - make an edit
 * @port: the rest of the instance
 * @text: body of the request
 * @bytes: length of @text
 * @err: filled in on failure
 */
char *
answer_edit(struct desk_port *port, const char *text, size_t bytes,
            struct err *err)
{
    struct edit edit = {0};
    struct json_object *json;
    int64_t revision = 0;
    char *copy;
    bool done;

    if (bytes > DESK_BODY_MAX_BYTES) {
        err_set(err, ERR_BODY_TOO_LARGE, "the body is larger than %d bytes",
                DESK_BODY_MAX_BYTES);
        return NULL;
    }
    /* The parser needs a NUL byte after the text. */
    copy = g_strndup(text, bytes);
    done = edit_parse(copy, bytes, &edit, err) &&
           port->ops->edit(port, &edit, &revision, err);
    g_free(copy);
    if (!done) {
        edit_free(&edit);
        return NULL;
    }
    json = json_object_new_object();
    add_text(json, "id", edit.id);
    add_number(json, "revision", revision);
    edit_free(&edit);
    return take_text(json);
}

/* Reads a number of 0 or more; a missing one is the fallback. */
static bool
parse_number(const char *name, const char *text, int64_t fallback,
             int64_t *number, struct err *err)
{
    gint64 parsed = 0;

    *number = fallback;
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
 * answer_history() - accepted edits
 * @port: the rest of the instance
 * @after: parameter; NULL for the oldest that are kept
 * @limit: parameter; NULL for HISTORY_LIMIT
 * @err: filled in on failure
 */
char *
answer_history(struct desk_port *port, const char *after, const char *limit,
               struct err *err)
{
    int64_t revision;
    int64_t count;

    if (!parse_number("after", after, 0, &revision, err) ||
        !parse_number("limit", limit, HISTORY_LIMIT, &count, err)) {
        return NULL;
    }
    return port->ops->history(port, revision, (int)MIN(count, INT32_MAX), err);
}

static struct json_object *
format_member(const char *name, const char *data_centre, const char *state,
              int64_t revision)
{
    struct json_object *json = json_object_new_object();

    add_text(json, "name", name);
    add_text(json, "data_centre", data_centre);
    add_text(json, "state", state);
    add_number(json, "revision", revision);
    return json;
}

/* This instance's own revision is newer than the one it last reported. */
static struct json_object *
format_members(struct desk_port *port, const char *name, int64_t revision)
{
    struct member_info *infos = g_new0(struct member_info, MEMBERS_MAX);
    int count = port->ops->members(port, infos, MEMBERS_MAX);
    struct json_object *list = json_object_new_array();
    bool listed = false;

    for (int i = 0; i < count; i++) {
        const struct member_info *info = &infos[i];
        bool self = strcmp(info->name, name) == 0;

        listed = listed || self;
        json_object_array_add(list,
                              format_member(info->name, info->data_centre,
                                            state_names[info->state],
                                            self ? revision : info->revision));
    }
    if (!listed) {
        json_object_array_add(list,
                              format_member(name, "", "alive", revision));
    }
    g_free(infos);
    return list;
}

/**
 * answer_status() - state of this instance and the members
 * @port: the rest of the instance
 * @name: name of this instance
 * @err: filled in on failure
 */
char *
answer_status(struct desk_port *port, const char *name, struct err *err)
{
    struct json_object *json = json_object_new_object();
    struct config_state state = {0};
    char *detail = port->ops->status(port);

    (void)err;
    port->ops->state(port, &state);
    add_text(json, "name", name);
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
    return take_text(json);
}

/**
 * answer_counters() - all counters, one "name value" a line
 * @err: filled in on failure
 */
char *
answer_counters(struct err *err)
{
    size_t bytes = counters_format(NULL, 0) + 1;
    /* Counters may get longer by a digit between the two calls. */
    size_t room = 2 * bytes;
    char *text = malloc(room);

    if (text == NULL) {
        err_set(err, ERR_NO_MEMORY, "counters");
        return NULL;
    }
    counters_format(text, room);
    return text;
}
