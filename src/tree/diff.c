/**
 * DOC: Computes the edit that makes a tree match a file.
 *
 * The file is JSON with comments: an object of nodes, each an object of keys.
 * It lists all keys of each node that it names, so a key that is left out is
 * unset.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "tree/internal.h"

enum { FILE_JSON_DEPTH_MAX = 8 };

/**
 * struct diff - changes found so far
 * @tree: current tree
 * @changes: array of struct change
 */
struct diff {
    const struct tree *tree;
    GArray *changes;
};

static void
add_change(struct diff *diff, const char *node, int key, const char *value)
{
    struct edit_change change = {0};

    g_strlcpy(change.node, node, sizeof(change.node));
    g_strlcpy(change.key, schema_keys[key].name, sizeof(change.key));
    g_strlcpy(change.value, value, sizeof(change.value));
    g_array_append_val(diff->changes, change);
}

/* Compares one key; @json is NULL when the file leaves it out. */
static bool
diff_key(struct diff *diff, const char *node, const struct tree_node *old,
         int key, struct json_object *json, struct err *err)
{
    bool set = old != NULL && (old->keys_set & 1u << key) != 0;
    char text[NAME_MAX_BYTES];
    int64_t value;

    if (json == NULL) {
        /* Unsetting the type would remove the node. */
        if (set && key != KEY_TYPE) {
            add_change(diff, node, key, "");
        }
        return true;
    }
    if (!schema_parse_value(
            node, key,
            json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN),
            &value, err)) {
        return false;
    }
    if (!set || old->values[key] != value) {
        schema_format_value(key, value, text, sizeof(text));
        add_change(diff, node, key, text);
    }
    return true;
}

static bool
check_keys(const char *node, struct json_object *json, struct err *err)
{
    if (!json_object_is_type(json, json_type_object)) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: must be an object of keys", node);
    }
    json_object_object_foreach(json, name, value)
    {
        if (schema_find_key(name) < 0) {
            return err_set(err, ERR_EDIT_INVALID,
                           "%.100s: %.60s: the schema has no such key", node,
                           name);
        }
        if (value == NULL) {
            return err_set(err, ERR_EDIT_INVALID,
                           "%.100s: %.60s: null is not allowed, leave the "
                           "key out",
                           node, name);
        }
    }
    return true;
}

static bool
diff_node(struct diff *diff, const char *node, struct json_object *json,
          struct err *err)
{
    int position = tree_position(diff->tree, node);
    const struct tree_node *old =
        position < 0 ? NULL : diff->tree->nodes[position];

    if (!path_valid(node, err) || !check_keys(node, json, err)) {
        return false;
    }
    for (int key = 0; key < KEY_COUNT; key++) {
        if (!diff_key(diff, node, old, key,
                      json_object_object_get(json, schema_keys[key].name),
                      err)) {
            return false;
        }
    }
    return true;
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Compares nodes in path order, which creates parents before children. */
static bool
diff_nodes(struct diff *diff, struct json_object *nodes, struct err *err)
{
    GPtrArray *names = g_ptr_array_new();
    bool done = true;

    json_object_object_foreach(nodes, name, unused)
    {
        (void)unused;
        g_ptr_array_add(names, name);
    }
    g_ptr_array_sort(names, compare_names);
    for (guint i = 0; i < names->len && done; i++) {
        const char *node = g_ptr_array_index(names, i);

        done = diff_node(diff, node, json_object_object_get(nodes, node), err);
    }
    g_ptr_array_unref(names);
    return done;
}

/* Removes nodes that the file doesn't name, children before parents. */
static void
diff_prune(struct diff *diff, struct json_object *nodes)
{
    for (int i = diff->tree->node_count - 1; i > 0; i--) {
        const char *path = diff->tree->nodes[i]->node.path;

        if (!json_object_object_get_ex(nodes, path, NULL)) {
            add_change(diff, path, KEY_TYPE, "");
        }
    }
}

static struct json_object *
parse_file(const char *text, size_t bytes, struct err *err)
{
    struct json_tokener *tokener = json_tokener_new_ex(FILE_JSON_DEPTH_MAX);
    struct json_object *nodes =
        json_tokener_parse_ex(tokener, text, (int)bytes);
    enum json_tokener_error result = json_tokener_get_error(tokener);
    size_t end = json_tokener_get_parse_end(tokener);

    json_tokener_free(tokener);
    if (result != json_tokener_success) {
        err_set(err, ERR_BAD_JSON, "byte %zu: %s", end,
                json_tokener_error_desc(result));
        return NULL;
    }
    if (!json_object_is_type(nodes, json_type_object)) {
        err_set(err, ERR_BAD_JSON, "the file must have one object of nodes");
        json_object_put(nodes);
        return NULL;
    }
    return nodes;
}

/**
 * tree_diff() - compute the edit that makes a tree match a file
 * @tree: current tree
 * @text: contents of the file, JSON with comments
 * @bytes: length of @text
 * @prune: also remove the nodes that the file doesn't name, except the root
 * @edit: its base revision and its changes, possibly none, are filled in;
 *        the caller releases it with edit_free() also after a failure
 * @err: filled in on failure
 *
 * The changes are ordered so that the caller can split them into several
 * edits.
 *
 * Return: false with ERR_BAD_JSON or ERR_EDIT_INVALID.
 */
bool
tree_diff(const struct tree *tree, const char *text, size_t bytes, bool prune,
          struct edit *edit, struct err *err)
{
    struct diff diff = {tree,
                        g_array_new(FALSE, TRUE, sizeof(struct edit_change))};
    struct json_object *nodes = parse_file(text, bytes, err);
    bool done = nodes != NULL && diff_nodes(&diff, nodes, err);

    if (done && prune) {
        diff_prune(&diff, nodes);
    }
    json_object_put(nodes);
    edit->base_revision = tree_revision(tree);
    edit->change_count = (int)diff.changes->len;
    /* edit_free() may call free(): GLib allocates with malloc(). */
    edit->changes =
        (struct edit_change *)(void *)g_array_free(diff.changes, FALSE);
    return done;
}
