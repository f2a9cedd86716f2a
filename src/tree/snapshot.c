/**
 * DOC: JSON encoding of a whole tree.
 *
 * {"revision": N, "nodes": {"/": {"type": "root", ...}, ...}}; each node has
 * only the keys that are set on it.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "tree/internal.h"

enum { SNAPSHOT_JSON_DEPTH_MAX = 8 };

static struct json_object *
format_node(const struct tree_node *node)
{
    struct json_object *json = json_object_new_object();

    for (int key = 0; key < KEY_COUNT; key++) {
        char text[NAME_MAX_BYTES];

        if ((node->keys_set & 1u << key) != 0) {
            schema_format_value(key, node->values[key], text, sizeof(text));
            json_object_object_add(json, schema_keys[key].name,
                                   json_tokener_parse(text));
        }
    }
    return json;
}

/**
 * tree_format() - encode a tree as JSON
 * @tree: the tree
 *
 * Return: the text, which the caller frees with free().
 */
char *
tree_format(const struct tree *tree)
{
    struct json_object *json = json_object_new_object();
    struct json_object *nodes = json_object_new_object();
    char *text;

    for (int i = 0; i < tree->node_count; i++) {
        json_object_object_add(nodes, tree->nodes[i]->node.path,
                               format_node(tree->nodes[i]));
    }
    json_object_object_add(json, "revision",
                           json_object_new_int64(tree->revision));
    json_object_object_add(json, "nodes", nodes);
    text = strdup(json_object_to_json_string_ext(
        json, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(json);
    return text;
}

static bool
parse_node(GHashTable *drafts, const char *path, struct json_object *json,
           struct err *err)
{
    struct node_draft *draft;

    if (!path_valid(path, err)) {
        return false;
    }
    if (!json_object_is_type(json, json_type_object)) {
        return err_set(err, ERR_EDIT_INVALID, "%.100s: must be an object",
                       path);
    }
    draft = draft_get(drafts, NULL, path);
    json_object_object_foreach(json, name, value)
    {
        int key = schema_find_key(name);

        if (key < 0) {
            return err_set(err, ERR_EDIT_INVALID,
                           "%.100s: %.60s: the schema has no such key", path,
                           name);
        }
        if (!schema_parse_value(
                path, key,
                json_object_to_json_string_ext(value, JSON_C_TO_STRING_PLAIN),
                &draft->values[key], err)) {
            return false;
        }
        draft->keys_set |= 1u << key;
    }
    return true;
}

static struct tree *
parse_nodes(struct json_object *nodes, int64_t revision, struct err *err)
{
    GHashTable *drafts = drafts_new();
    struct tree *tree = NULL;
    bool valid = true;

    json_object_object_foreach(nodes, path, json)
    {
        valid = valid && parse_node(drafts, path, json, err);
    }
    if (valid) {
        const struct node_draft *root = g_hash_table_lookup(drafts, "/");

        if (root == NULL || root->values[KEY_TYPE] != NODE_ROOT) {
            valid = err_set(err, ERR_EDIT_INVALID,
                            "/: type: a tree needs a root of type root");
        }
    }
    if (valid) {
        tree = tree_build(NULL, drafts, revision, err);
    }
    g_hash_table_unref(drafts);
    return tree;
}

/**
 * tree_parse() - decode a tree from JSON
 * @text: JSON text
 * @bytes: length of @text
 * @err: filled in on failure
 *
 * Return: the tree, or NULL with ERR_BAD_JSON or ERR_EDIT_INVALID.
 */
struct tree *
tree_parse(const char *text, size_t bytes, struct err *err)
{
    struct json_tokener *tokener =
        json_tokener_new_ex(SNAPSHOT_JSON_DEPTH_MAX);
    struct json_object *json =
        json_tokener_parse_ex(tokener, text, (int)bytes);
    struct json_object *revision = json_object_object_get(json, "revision");
    struct json_object *nodes = json_object_object_get(json, "nodes");
    struct tree *tree = NULL;

    json_tokener_free(tokener);
    if (!json_object_is_type(nodes, json_type_object) ||
        !json_object_is_type(revision, json_type_int) ||
        json_object_get_int64(revision) < 0) {
        err_set(err, ERR_BAD_JSON, "not a tree with a revision and nodes");
    }
    else {
        tree = parse_nodes(nodes, json_object_get_int64(revision), err);
    }
    json_object_put(json);
    return tree;
}
