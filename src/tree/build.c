/**
 * DOC: Builds the next tree from the current one and the changed nodes.
 *
 * Unchanged nodes are shared with the current tree, so changing one value of a
 * leaf costs one copied node and one array of pointers.
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
 * struct node_list - nodes of the next tree, sorted by path
 * @count: number of nodes
 * @old_nodes: node of the current tree; NULL for a new node
 * @drafts: draft of the node; NULL for an unchanged node
 */
struct node_list {
    int count;
    struct tree_node **old_nodes;
    struct node_draft **drafts;
};

/**
 * drafts_new() - create an empty table of drafts by path
 */
GHashTable *
drafts_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/**
 * draft_get() - get the draft of a node, created from the current tree if new
 * @drafts: table of drafts
 * @tree: current tree; may be NULL
 * @path: valid path of the node
 */
struct node_draft *
draft_get(GHashTable *drafts, const struct tree *tree, const char *path)
{
    struct node_draft *draft = g_hash_table_lookup(drafts, path);

    if (draft != NULL) {
        return draft;
    }
    draft = g_new0(struct node_draft, 1);
    g_strlcpy(draft->path, path, sizeof(draft->path));
    draft->position = tree == NULL ? -1 : tree_position(tree, path);
    if (draft->position >= 0) {
        const struct tree_node *old = tree->nodes[draft->position];

        draft->keys_set = old->keys_set;
        memcpy(draft->values, old->values, sizeof(draft->values));
    }
    g_hash_table_insert(drafts, draft->path, draft);
    return draft;
}

static bool
name_valid(const char *name, size_t length)
{
    if (length == 0 || length >= NAME_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (!g_ascii_islower(name[i]) && !g_ascii_isdigit(name[i]) &&
            strchr("._-", name[i]) == NULL) {
            return false;
        }
    }
    return true;
}

/**
 * path_valid() - check the syntax of a node's path
 * @path: path to check
 * @err: filled in on failure
 *
 * Return: false with ERR_EDIT_INVALID.
 */
bool
path_valid(const char *path, struct err *err)
{
    const char *name = path;

    if (strcmp(path, "/") == 0) {
        return true;
    }
    if (strlen(path) >= PATH_MAX_BYTES) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s...: node: the path is longer than %d bytes",
                       path, PATH_MAX_BYTES - 1);
    }
    while (*name == '/') {
        size_t length = strcspn(name + 1, "/");

        if (!name_valid(name + 1, length)) {
            break;
        }
        name += 1 + length;
    }
    if (*name != '\0' || name == path) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: node: not a path; use /NAME/NAME with names "
                       "of 1..%d of a-z 0-9 . _ -",
                       path, NAME_MAX_BYTES - 1);
    }
    return true;
}

/* Writes the path of the parent of a node other than the root. */
static void
parent_path(const char *path, char *parent)
{
    char *slash;

    g_strlcpy(parent, path, PATH_MAX_BYTES);
    slash = strrchr(parent, '/');
    slash[slash == parent ? 1 : 0] = '\0';
}

static bool
type_allowed_under(enum node_type type, enum node_type parent)
{
    switch (type) {
    case NODE_ROOT:
        return false;
    case NODE_SERVICE:
        return parent == NODE_ROOT;
    case NODE_DATA_CENTRE:
        return parent == NODE_SERVICE;
    case NODE_MODEL:
        return parent == NODE_SERVICE || parent == NODE_DATA_CENTRE;
    case NODE_ADAPTER:
        return parent == NODE_MODEL;
    }
    return false;
}

static bool
check_draft(const struct tree *current, const struct node_draft *draft,
            struct err *err)
{
    enum node_type type = (enum node_type)draft->values[KEY_TYPE];

    if ((draft->keys_set & 1u << KEY_TYPE) == 0) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: type: no such node; set its type to create it",
                       draft->path);
    }
    if (draft->removed) {
        return true;
    }
    if (draft->position >= 0 &&
        current->nodes[draft->position]->node.type != type) {
        return err_set(
            err, ERR_EDIT_INVALID,
            "%.100s: type: the node is a %s; remove it and create "
            "it again to change its type",
            draft->path,
            schema_type_name(current->nodes[draft->position]->node.type));
    }
    for (int key = 0; key < KEY_COUNT; key++) {
        if ((draft->keys_set & 1u << key) != 0 &&
            !schema_check_type(draft->path, key, type, err)) {
            return false;
        }
    }
    return true;
}

/* Counts new and removed nodes; false when a draft is invalid. */
static bool
check_drafts(const struct tree *current, GHashTable *drafts, int *added,
             int *removed, struct err *err)
{
    GHashTableIter iterator;
    gpointer value;

    *added = 0;
    *removed = 0;
    g_hash_table_iter_init(&iterator, drafts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct node_draft *draft = value;

        if (!check_draft(current, draft, err)) {
            return false;
        }
        *added += draft->position < 0 && !draft->removed;
        *removed += draft->position >= 0 && draft->removed;
    }
    return true;
}

static int
compare_drafts(gconstpointer a, gconstpointer b)
{
    const struct node_draft *const *first = a;
    const struct node_draft *const *second = b;

    return strcmp((*first)->path, (*second)->path);
}

static GPtrArray *
sorted_drafts(GHashTable *drafts)
{
    GPtrArray *sorted = g_ptr_array_new();
    GHashTableIter iterator;
    gpointer draft;

    g_hash_table_iter_init(&iterator, drafts);
    while (g_hash_table_iter_next(&iterator, NULL, &draft)) {
        g_ptr_array_add(sorted, draft);
    }
    g_ptr_array_sort(sorted, compare_drafts);
    return sorted;
}

static void
node_list_add(struct node_list *list, struct tree_node *old,
              struct node_draft *draft)
{
    if (draft != NULL && draft->removed) {
        return;
    }
    list->old_nodes[list->count] = old;
    list->drafts[list->count] = draft;
    list->count++;
}

/* Merges the nodes of the current tree and the drafts, both sorted by path. */
static void
merge_drafts(const struct tree *current, GHashTable *drafts, int added,
             struct node_list *list)
{
    GPtrArray *sorted = sorted_drafts(drafts);
    int current_count = current == NULL ? 0 : current->node_count;
    guint next = 0;

    list->count = 0;
    list->old_nodes = g_new(struct tree_node *, current_count + added);
    list->drafts = g_new(struct node_draft *, current_count + added);
    for (int i = 0; i < current_count; i++) {
        struct tree_node *old = current->nodes[i];
        struct node_draft *draft = NULL;

        while (next < sorted->len) {
            struct node_draft *candidate = g_ptr_array_index(sorted, next);

            if (candidate->position >= i) {
                draft = candidate->position == i ? candidate : NULL;
                break;
            }
            if (candidate->position < 0 &&
                strcmp(candidate->path, old->node.path) > 0) {
                break;
            }
            node_list_add(list, NULL, candidate);
            next++;
        }
        next += draft != NULL;
        node_list_add(list, old, draft);
    }
    for (; next < sorted->len; next++) {
        node_list_add(list, NULL, g_ptr_array_index(sorted, next));
    }
    g_ptr_array_unref(sorted);
}

static const char *
node_list_path(const struct node_list *list, int i)
{
    return list->old_nodes[i] != NULL ? list->old_nodes[i]->node.path
                                      : list->drafts[i]->path;
}

static enum node_type
node_list_type(const struct node_list *list, int i)
{
    return list->old_nodes[i] != NULL
               ? list->old_nodes[i]->node.type
               : (enum node_type)list->drafts[i]->values[KEY_TYPE];
}

static struct tree_index *
index_new(int count)
{
    struct tree_index *index = g_new0(struct tree_index, 1);

    atomic_init(&index->refcount, 1);
    index->paths = g_string_chunk_new(4096);
    index->by_path = g_hash_table_new(g_str_hash, g_str_equal);
    index->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    index->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    index->ids = g_new0(gint64, count);
    index->parents = g_new0(int, count);
    return index;
}

static void
index_add_name(struct tree_index *index, const char *path, int i)
{
    const char *name = strrchr(path, '/') + 1;
    bool duplicate = g_hash_table_contains(index->by_name, name);

    g_hash_table_insert(index->by_name, (gpointer)name,
                        GINT_TO_POINTER(duplicate ? NAME_AMBIGUOUS : i));
}

/* Adds node i. Nodes are added in path order, so its parent is in the index
 * unless it doesn't exist. */
static bool
index_add(struct tree_index *index, const struct node_list *list, int i,
          struct err *err)
{
    const char *path =
        g_string_chunk_insert(index->paths, node_list_path(list, i));
    enum node_type type = node_list_type(list, i);
    char parent[PATH_MAX_BYTES];
    gpointer position = GINT_TO_POINTER(-1);

    if (i > 0) {
        parent_path(path, parent);
        if (!g_hash_table_lookup_extended(index->by_path, parent, NULL,
                                          &position)) {
            return err_set(err, ERR_EDIT_INVALID,
                           "%.100s: type: the parent does not exist or is "
                           "removed; it must be there",
                           path);
        }
        if (!type_allowed_under(
                type, node_list_type(list, GPOINTER_TO_INT(position)))) {
            return err_set(err, ERR_EDIT_INVALID,
                           "%.100s: type: a %s does not fit under a %s", path,
                           schema_type_name(type),
                           schema_type_name(node_list_type(
                               list, GPOINTER_TO_INT(position))));
        }
    }
    index->parents[i] = GPOINTER_TO_INT(position);
    index->ids[i] = (gint64)hash_text(path);
    g_hash_table_insert(index->by_path, (gpointer)path, GINT_TO_POINTER(i));
    if (!g_hash_table_insert(index->by_id, &index->ids[i],
                             GINT_TO_POINTER(i))) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: node: its id equals that of another node; "
                       "choose another name",
                       path);
    }
    if (type == NODE_MODEL || type == NODE_ADAPTER) {
        index_add_name(index, path, i);
    }
    return true;
}

static bool
build_index(struct tree *tree, const struct node_list *list, struct err *err)
{
    tree->index = index_new(list->count);
    for (int i = 0; i < list->count; i++) {
        if (!index_add(tree->index, list, i, err)) {
            return false;
        }
    }
    return true;
}

static struct tree_node *
node_copy(const struct tree_node *old, const struct node_draft *draft)
{
    struct tree_node *node = g_new0(struct tree_node, 1);

    if (old != NULL) {
        memcpy(node, old, sizeof(*node));
    }
    if (draft != NULL) {
        node->keys_set = draft->keys_set;
        memcpy(node->values, draft->values, sizeof(node->values));
    }
    atomic_init(&node->refcount, 1);
    return node;
}

/* Sets the members that derive from the path and the parent. */
static void
init_identity(struct tree_node *node, const char *path,
              const struct tree_node *parent)
{
    const char *name = strrchr(path, '/') + 1;
    struct node *fields = &node->node;

    g_strlcpy(fields->path, path, sizeof(fields->path));
    fields->id = hash_text(path);
    fields->type = (enum node_type)node->values[KEY_TYPE];
    if (parent == NULL) {
        return;
    }
    g_strlcpy(fields->service, parent->node.service, NAME_MAX_BYTES);
    g_strlcpy(fields->data_centre, parent->node.data_centre, NAME_MAX_BYTES);
    if (fields->type == NODE_SERVICE) {
        g_strlcpy(fields->service, name, NAME_MAX_BYTES);
    }
    else if (fields->type == NODE_DATA_CENTRE) {
        g_strlcpy(fields->data_centre, name, NAME_MAX_BYTES);
    }
    else if (fields->type == NODE_ADAPTER) {
        fields->base_model_id = parent->node.id;
    }
}

static void
compute_settings(const struct tree_node *node, const struct tree_node *parent,
                 struct node_settings *settings)
{
    if (parent == NULL) {
        schema_set_defaults(settings);
    }
    else {
        memcpy(settings, &parent->node.settings, sizeof(*settings));
    }
    for (int key = KEY_TYPE + 1; key < KEY_COUNT; key++) {
        if ((node->keys_set & 1u << key) != 0) {
            schema_set_field(settings, key, node->values[key]);
        }
    }
}

/*
 * Builds node i of the next tree; @parent_changed says that the settings of
 * its parent changed. Returns whether the node's settings changed.
 */
static bool
build_node(struct tree *tree, const struct node_list *list, int i,
           bool parent_changed)
{
    struct tree_node *old = list->old_nodes[i];
    const struct node_draft *draft = list->drafts[i];
    int parent_position = tree->index->parents[i];
    const struct tree_node *parent =
        parent_position < 0 ? NULL : tree->nodes[parent_position];
    struct tree_node *node;

    if (draft == NULL && !parent_changed) {
        refcount_inc(&old->refcount);
        tree->nodes[i] = old;
        return false;
    }
    node = node_copy(old, draft);
    if (old == NULL) {
        init_identity(node, draft->path, parent);
    }
    compute_settings(node, parent, &node->node.settings);
    tree->nodes[i] = node;
    return old == NULL || memcmp(&node->node.settings, &old->node.settings,
                                 sizeof(node->node.settings)) != 0;
}

static void
build_nodes(struct tree *tree, const struct node_list *list)
{
    bool *changed = g_new0(bool, list->count);

    for (int i = 0; i < list->count; i++) {
        int parent = tree->index->parents[i];

        changed[i] = build_node(tree, list, i, parent >= 0 && changed[parent]);
    }
    g_free(changed);
}

/**
 * tree_build() - build the next tree from the current one and drafts
 * @current: current tree; NULL for none
 * @drafts: table of drafts
 * @revision: revision of the next tree
 * @err: filled in on failure
 *
 * Return: the tree, or NULL with ERR_EDIT_INVALID.
 */
struct tree *
tree_build(const struct tree *current, GHashTable *drafts, int64_t revision,
           struct err *err)
{
    struct tree *tree;
    struct node_list list;
    int added;
    int removed;

    if (!check_drafts(current, drafts, &added, &removed, err)) {
        return NULL;
    }
    merge_drafts(current, drafts, added, &list);
    tree = g_new0(struct tree, 1);
    atomic_init(&tree->refcount, 1);
    tree->revision = revision;
    tree->node_count = list.count;
    tree->nodes = g_new0(struct tree_node *, list.count);
    if (current != NULL && added == 0 && removed == 0) {
        tree->index = current->index;
        refcount_inc(&tree->index->refcount);
        build_nodes(tree, &list);
    }
    else if (build_index(tree, &list, err)) {
        build_nodes(tree, &list);
    }
    else {
        tree_unref(tree);
        tree = NULL;
    }
    g_free(list.old_nodes);
    g_free(list.drafts);
    return tree;
}
