/**
 * DOC: Immutable configuration tree with reference counts.
 *
 * Nodes are sorted by path, so a parent comes before its children. A tree
 * shares unchanged nodes with the tree that it was built from, and the lookup
 * tables too if no node was added or removed.
 */
#include <glib.h>
#include <stdatomic.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "tree/internal.h"

/**
 * refcount_inc() - add a reference
 * @refcount: reference count
 */
void
refcount_inc(atomic_int *refcount)
{
    atomic_fetch_add_explicit(refcount, 1, memory_order_relaxed);
}

/**
 * refcount_dec() - drop a reference
 * @refcount: reference count
 *
 * Return: true when it was the last one and the caller must free the object.
 */
bool
refcount_dec(atomic_int *refcount)
{
    return atomic_fetch_sub_explicit(refcount, 1, memory_order_acq_rel) == 1;
}

/**
 * tree_new() - create a tree of revision 0 that has only the root
 */
struct tree *
tree_new(void)
{
    GHashTable *drafts = drafts_new();
    struct node_draft *root = draft_get(drafts, NULL, "/");
    struct tree *tree;

    root->keys_set = 1u << KEY_TYPE;
    root->values[KEY_TYPE] = NODE_ROOT;
    tree = tree_build(NULL, drafts, 0, NULL);
    g_hash_table_unref(drafts);
    return tree;
}

/**
 * tree_ref() - take a reference
 * @tree: the tree
 *
 * Return: @tree.
 */
struct tree *
tree_ref(struct tree *tree)
{
    refcount_inc(&tree->refcount);
    return tree;
}

static void
index_unref(struct tree_index *index)
{
    if (!refcount_dec(&index->refcount)) {
        return;
    }
    g_hash_table_unref(index->by_path);
    g_hash_table_unref(index->by_id);
    g_hash_table_unref(index->by_name);
    g_string_chunk_free(index->paths);
    g_free(index->ids);
    g_free(index->parents);
    g_free(index);
}

/**
 * tree_unref() - release a reference; the last one frees the tree
 * @tree: the tree; may be NULL
 */
void
tree_unref(struct tree *tree)
{
    if (tree == NULL || !refcount_dec(&tree->refcount)) {
        return;
    }
    for (int i = 0; i < tree->node_count; i++) {
        if (tree->nodes[i] != NULL &&
            refcount_dec(&tree->nodes[i]->refcount)) {
            g_free(tree->nodes[i]);
        }
    }
    index_unref(tree->index);
    g_free(tree->nodes);
    g_free(tree);
}

/**
 * tree_revision() - get the revision of a tree
 * @tree: the tree
 */
int64_t
tree_revision(const struct tree *tree)
{
    return tree->revision;
}

/**
 * tree_node_count() - number of nodes including the root
 * @tree: the tree
 */
int
tree_node_count(const struct tree *tree)
{
    return tree->node_count;
}

/**
 * tree_position() - find the position of a node
 * @tree: the tree
 * @path: path of the node
 *
 * Return: index into the sorted nodes, or -1 when there is no such node.
 */
int
tree_position(const struct tree *tree, const char *path)
{
    gpointer position;

    if (!g_hash_table_lookup_extended(tree->index->by_path, path, NULL,
                                      &position)) {
        return -1;
    }
    return GPOINTER_TO_INT(position);
}

/**
 * tree_node_at() - get a node by position
 * @tree: the tree
 * @index: 0 for the root, up to tree_node_count() - 1
 *
 * Return: the node, which lives as long as the tree, or NULL.
 */
const struct node *
tree_node_at(const struct tree *tree, int index)
{
    if (index < 0 || index >= tree->node_count) {
        return NULL;
    }
    return &tree->nodes[index]->node;
}

/**
 * tree_node() - get a node by path
 * @tree: the tree
 * @path: path of the node
 *
 * Return: the node, which lives as long as the tree, or NULL.
 */
const struct node *
tree_node(const struct tree *tree, const char *path)
{
    return tree_node_at(tree, tree_position(tree, path));
}

/**
 * tree_node_by_id() - get a node by id
 * @tree: the tree
 * @id: hash_text() of the path
 *
 * Return: the node, which lives as long as the tree, or NULL.
 */
const struct node *
tree_node_by_id(const struct tree *tree, uint64_t id)
{
    gint64 key = (gint64)id;
    gpointer position;

    if (!g_hash_table_lookup_extended(tree->index->by_id, &key, NULL,
                                      &position)) {
        return NULL;
    }
    return tree_node_at(tree, GPOINTER_TO_INT(position));
}

/**
 * tree_leaf() - find the leaf for a model name in a request
 * @tree: the tree
 * @model: path without the leading slash, or only its last name if that is
 *         unique among the leaves
 *
 * Return: the leaf, which lives as long as the tree, or NULL.
 */
const struct node *
tree_leaf(const struct tree *tree, const char *model)
{
    char path[PATH_MAX_BYTES] = "/";
    const struct node *node = NULL;
    gpointer position;

    if (g_strlcat(path, model, sizeof(path)) < sizeof(path)) {
        node = tree_node(tree, path);
    }
    if (node == NULL && g_hash_table_lookup_extended(tree->index->by_name,
                                                     model, NULL, &position)) {
        node = tree_node_at(tree, GPOINTER_TO_INT(position));
    }
    return node != NULL && node_is_leaf(node) ? node : NULL;
}

/**
 * tree_service() - get the node of a service
 * @tree: the tree
 * @service: name of the service
 *
 * Return: the node, which lives as long as the tree, or NULL.
 */
const struct node *
tree_service(const struct tree *tree, const char *service)
{
    char path[PATH_MAX_BYTES] = "/";
    const struct node *node;

    if (g_strlcat(path, service, sizeof(path)) >= sizeof(path)) {
        return NULL;
    }
    node = tree_node(tree, path);
    return node != NULL && node->type == NODE_SERVICE ? node : NULL;
}

/**
 * node_is_leaf() - whether replicas of the node can be loaded
 * @node: the node
 */
bool
node_is_leaf(const struct node *node)
{
    return node->type == NODE_MODEL || node->type == NODE_ADAPTER;
}

/* Returns the position of the nearest node, the node itself or an ancestor,
 * that sets the key; -1 when none does. */
static int
find_source(const struct tree *tree, int position, int key)
{
    while (position >= 0 &&
           (tree->nodes[position]->keys_set & 1u << key) == 0) {
        position = tree->index->parents[position];
    }
    return position;
}

/**
 * tree_effective_values() - list the values in force for all keys of a node
 * @tree: the tree
 * @path: path of the node
 * @values: filled in
 * @max: number of elements in @values
 *
 * Return: number of values, or -1 when there is no such node.
 */
int
tree_effective_values(const struct tree *tree, const char *path,
                      struct effective_value *values, int max)
{
    int position = tree_position(tree, path);
    const struct node *node = tree_node_at(tree, position);
    int count = 0;

    if (node == NULL) {
        return -1;
    }
    for (int key = 0; key < KEY_COUNT && count < max; key++) {
        struct effective_value *value = &values[count++];
        int source = find_source(tree, position, key);
        int64_t number = key == KEY_TYPE
                             ? (int64_t)node->type
                             : schema_get_field(&node->settings, key);

        g_strlcpy(value->key, schema_keys[key].name, sizeof(value->key));
        schema_format_value(key, number, value->value, sizeof(value->value));
        g_strlcpy(value->source,
                  source < 0 ? "default" : tree->nodes[source]->node.path,
                  sizeof(value->source));
    }
    return count;
}
