/**
 * DOC: Builds the next tree from the present one and the changed nodes.
 *
 * What a change doesn't touch is shared with the present tree, so a change of
 * one value of a leaf costs one copied node and one array of pointers.
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
 * struct plan - nodes of the next tree, sorted by path
 * @count: number of nodes
 * @olds: node of the present tree, or NULL for a new one
 * @drafts: change of the node, or NULL
 */
struct plan {
    int count;
    struct tree_node **olds;
    struct draft **drafts;
};

/**
 * drafts_new() - empty table of drafts by path
 */
GHashTable *
drafts_new(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/**
 * draft_get() - draft of a node, made from the present tree when needed
 * @drafts: table of drafts
 * @tree: present tree; may be NULL
 * @path: valid path of the node
 */
struct draft *
draft_get(GHashTable *drafts, const struct tree *tree, const char *path)
{
    struct draft *draft = g_hash_table_lookup(drafts, path);

    if (draft != NULL) {
        return draft;
    }
    draft = g_new0(struct draft, 1);
    g_strlcpy(draft->path, path, sizeof(draft->path));
    draft->position = tree == NULL ? -1 : tree_position(tree, path);
    if (draft->position >= 0) {
        const struct tree_node *old = tree->nodes[draft->position];

        draft->own = old->own;
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
 * path_valid() - whether a text is a path of the tree
 * @path: the text
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
fits_under(enum node_type type, enum node_type parent)
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
check_draft(const struct tree *base, const struct draft *draft,
            struct err *err)
{
    enum node_type type = (enum node_type)draft->values[KEY_TYPE];

    if ((draft->own & 1u << KEY_TYPE) == 0) {
        return err_set(err, ERR_EDIT_INVALID,
                       "%.100s: type: no such node; set its type to create it",
                       draft->path);
    }
    if (draft->removed) {
        return true;
    }
    if (draft->position >= 0 &&
        base->nodes[draft->position]->node.type != type) {
        return err_set(
            err, ERR_EDIT_INVALID,
            "%.100s: type: the node is a %s; remove it and create "
            "it again to change its type",
            draft->path,
            schema_type_name(base->nodes[draft->position]->node.type));
    }
    for (int key = 0; key < KEY_COUNT; key++) {
        if ((draft->own & 1u << key) != 0 &&
            !schema_allows(draft->path, key, type, err)) {
            return false;
        }
    }
    return true;
}

/* Counts new and removed nodes; false when a draft is invalid. */
static bool
check_drafts(const struct tree *base, GHashTable *drafts, int *added,
             int *removed, struct err *err)
{
    GHashTableIter iterator;
    gpointer value;

    *added = 0;
    *removed = 0;
    g_hash_table_iter_init(&iterator, drafts);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const struct draft *draft = value;

        if (!check_draft(base, draft, err)) {
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
    const struct draft *const *first = a;
    const struct draft *const *second = b;

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
plan_add(struct plan *plan, struct tree_node *old, struct draft *draft)
{
    if (draft != NULL && draft->removed) {
        return;
    }
    plan->olds[plan->count] = old;
    plan->drafts[plan->count] = draft;
    plan->count++;
}

/* Merges the present nodes and the drafts, both sorted by path. */
static void
make_plan(const struct tree *base, GHashTable *drafts, int added,
          struct plan *plan)
{
    GPtrArray *sorted = sorted_drafts(drafts);
    int base_count = base == NULL ? 0 : base->count;
    guint next = 0;

    plan->count = 0;
    plan->olds = g_new(struct tree_node *, base_count + added);
    plan->drafts = g_new(struct draft *, base_count + added);
    for (int i = 0; i < base_count; i++) {
        struct tree_node *old = base->nodes[i];
        struct draft *draft = NULL;

        while (next < sorted->len) {
            struct draft *candidate = g_ptr_array_index(sorted, next);

            if (candidate->position >= i) {
                draft = candidate->position == i ? candidate : NULL;
                break;
            }
            if (candidate->position < 0 &&
                strcmp(candidate->path, old->node.path) > 0) {
                break;
            }
            plan_add(plan, NULL, candidate);
            next++;
        }
        next += draft != NULL;
        plan_add(plan, old, draft);
    }
    for (; next < sorted->len; next++) {
        plan_add(plan, NULL, g_ptr_array_index(sorted, next));
    }
    g_ptr_array_unref(sorted);
}

static const char *
plan_path(const struct plan *plan, int i)
{
    return plan->olds[i] != NULL ? plan->olds[i]->node.path
                                 : plan->drafts[i]->path;
}

static enum node_type
plan_type(const struct plan *plan, int i)
{
    return plan->olds[i] != NULL
               ? plan->olds[i]->node.type
               : (enum node_type)plan->drafts[i]->values[KEY_TYPE];
}

static struct tree_index *
index_new(int count)
{
    struct tree_index *index = g_new0(struct tree_index, 1);

    atomic_init(&index->refs, 1);
    index->paths = g_string_chunk_new(4096);
    index->by_path = g_hash_table_new(g_str_hash, g_str_equal);
    index->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    index->by_name = g_hash_table_new(g_str_hash, g_str_equal);
    index->ids = g_new0(gint64, count);
    index->parents = g_new0(int, count);
    return index;
}

static void
index_name(struct tree_index *index, const char *path, int i)
{
    const char *name = strrchr(path, '/') + 1;
    bool known = g_hash_table_contains(index->by_name, name);

    g_hash_table_insert(index->by_name, (gpointer)name,
                        GINT_TO_POINTER(known ? NAME_AMBIGUOUS : i));
}

/* Adds node i; its parent is in the index already when it exists. */
static bool
index_add(struct tree_index *index, const struct plan *plan, int i,
          struct err *err)
{
    const char *path = g_string_chunk_insert(index->paths, plan_path(plan, i));
    enum node_type type = plan_type(plan, i);
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
        if (!fits_under(type, plan_type(plan, GPOINTER_TO_INT(position)))) {
            return err_set(
                err, ERR_EDIT_INVALID,
                "%.100s: type: a %s does not fit under a %s", path,
                schema_type_name(type),
                schema_type_name(plan_type(plan, GPOINTER_TO_INT(position))));
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
        index_name(index, path, i);
    }
    return true;
}

static bool
make_index(struct tree *tree, const struct plan *plan, struct err *err)
{
    tree->index = index_new(plan->count);
    for (int i = 0; i < plan->count; i++) {
        if (!index_add(tree->index, plan, i, err)) {
            return false;
        }
    }
    return true;
}

static struct tree_node *
node_copy(const struct tree_node *old, const struct draft *draft)
{
    struct tree_node *node = g_new0(struct tree_node, 1);

    if (old != NULL) {
        memcpy(node, old, sizeof(*node));
    }
    if (draft != NULL) {
        node->own = draft->own;
        memcpy(node->values, draft->values, sizeof(node->values));
    }
    atomic_init(&node->refs, 1);
    return node;
}

/* Fills in what follows from the path and the parent. */
static void
place_node(struct tree_node *node, const char *path,
           const struct tree_node *parent)
{
    const char *name = strrchr(path, '/') + 1;
    struct node *public = &node->node;

    g_strlcpy(public->path, path, sizeof(public->path));
    public->id = hash_text(path);
    public->type = (enum node_type)node->values[KEY_TYPE];
    if (parent == NULL) {
        return;
    }
    g_strlcpy(public->service, parent->node.service, NAME_MAX_BYTES);
    g_strlcpy(public->data_centre, parent->node.data_centre, NAME_MAX_BYTES);
    if (public->type == NODE_SERVICE) {
        g_strlcpy(public->service, name, NAME_MAX_BYTES);
    }
    else if (public->type == NODE_DATA_CENTRE) {
        g_strlcpy(public->data_centre, name, NAME_MAX_BYTES);
    }
    else if (public->type == NODE_ADAPTER) {
        public->base = parent->node.id;
    }
}

static void
inherit(const struct tree_node *node, const struct tree_node *parent,
        struct node_settings *settings)
{
    if (parent == NULL) {
        schema_defaults(settings);
    }
    else {
        memcpy(settings, &parent->node.settings, sizeof(*settings));
    }
    for (int key = KEY_TYPE + 1; key < KEY_COUNT; key++) {
        if ((node->own & 1u << key) != 0) {
            schema_store(settings, key, node->values[key]);
        }
    }
}

/*
 * Makes node i of the next tree; @inherits says that the parent's settings
 * changed. Returns whether the node's settings changed.
 */
static bool
make_node(struct tree *tree, const struct plan *plan, int i, bool inherits)
{
    struct tree_node *old = plan->olds[i];
    const struct draft *draft = plan->drafts[i];
    int parent_position = tree->index->parents[i];
    const struct tree_node *parent =
        parent_position < 0 ? NULL : tree->nodes[parent_position];
    struct tree_node *node;

    if (draft == NULL && !inherits) {
        refs_add(&old->refs);
        tree->nodes[i] = old;
        return false;
    }
    node = node_copy(old, draft);
    if (old == NULL) {
        place_node(node, draft->path, parent);
    }
    inherit(node, parent, &node->node.settings);
    tree->nodes[i] = node;
    return old == NULL || memcmp(&node->node.settings, &old->node.settings,
                                 sizeof(node->node.settings)) != 0;
}

static void
make_nodes(struct tree *tree, const struct plan *plan)
{
    bool *changed = g_new0(bool, plan->count);

    for (int i = 0; i < plan->count; i++) {
        int parent = tree->index->parents[i];

        changed[i] = make_node(tree, plan, i, parent >= 0 && changed[parent]);
    }
    g_free(changed);
}

/**
 * tree_build() - next tree from the present one and drafts
 * @base: present tree; NULL for none
 * @drafts: table of drafts
 * @revision: revision of the next tree
 * @err: filled in on failure
 *
 * Return: the tree, or NULL with ERR_EDIT_INVALID.
 */
struct tree *
tree_build(const struct tree *base, GHashTable *drafts, int64_t revision,
           struct err *err)
{
    struct tree *tree;
    struct plan plan;
    int added;
    int removed;

    if (!check_drafts(base, drafts, &added, &removed, err)) {
        return NULL;
    }
    make_plan(base, drafts, added, &plan);
    tree = g_new0(struct tree, 1);
    atomic_init(&tree->refs, 1);
    tree->revision = revision;
    tree->count = plan.count;
    tree->nodes = g_new0(struct tree_node *, plan.count);
    if (base != NULL && added == 0 && removed == 0) {
        tree->index = base->index;
        refs_add(&tree->index->refs);
        make_nodes(tree, &plan);
    }
    else if (make_index(tree, &plan, err)) {
        make_nodes(tree, &plan);
    }
    else {
        tree_unref(tree);
        tree = NULL;
    }
    g_free(plan.olds);
    g_free(plan.drafts);
    return tree;
}
