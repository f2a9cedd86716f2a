#ifndef TREE_DAT_H
#define TREE_DAT_H

enum { EDIT_CHANGES_MAX = 512, EDIT_ID_MAX_BYTES = 64, AUTHOR_MAX_BYTES = 64 };

enum node_type {
    NODE_ROOT,
    NODE_SERVICE,
    NODE_DATA_CENTRE,
    NODE_MODEL,
    NODE_ADAPTER,
};

enum target_kind { TARGET_ENGINE, TARGET_PLAIN };

/**
 * struct node_settings - effective values of a node after inheritance
 *
 * Units are in the names; the ranges are in the schema table of schema.c.
 */
struct node_settings {
    enum target_kind kind;
    bool enabled;
    bool repeatable;
    bool checks_fence;
    int64_t replicas_max;
    int64_t replicas_min;
    int64_t memory_mb;
    int64_t idle_unload_s;
    int64_t priority;
    int64_t wait_max_ms;
    int64_t queue_max;
    int64_t inflight_max;
    int64_t attempts_max;
    int64_t stale_serve_s;
    int64_t store_loads_at_once;
    int64_t store_loads_per_s;
};

/**
 * struct node - one node of the tree with its effective settings
 * @id: hash_text() of the path
 * @path: "/" or "/service/..."
 * @type: kind of node
 * @service: name of the service, empty for the root
 * @data_centre: data centre that a leaf is pinned to, empty when none
 * @base: for an adapter the id of its model, else 0
 * @settings: effective settings
 */
struct node {
    uint64_t id;
    char path[PATH_MAX_BYTES];
    enum node_type type;
    char service[NAME_MAX_BYTES];
    char data_centre[NAME_MAX_BYTES];
    uint64_t base;
    struct node_settings settings;
};

/**
 * struct change - one change of an edit
 * @node: path
 * @key: key of the schema
 * @value: JSON text of the value; empty to unset the key. Unsetting "type"
 *         removes the node, which must have no children.
 */
struct change {
    char node[PATH_MAX_BYTES];
    char key[NAME_MAX_BYTES];
    char value[NAME_MAX_BYTES];
};

/**
 * struct edit - an atomic set of changes
 * @id: chosen by the writer; recognises its own entry after a lost answer
 * @author: who made it
 * @base_revision: revision of the tree that the author saw
 * @changes: owned
 * @change_count: number of changes
 */
struct edit {
    char id[EDIT_ID_MAX_BYTES];
    char author[AUTHOR_MAX_BYTES];
    int64_t base_revision;
    struct change *changes;
    int change_count;
};

/**
 * struct tree - immutable once published; shared by reference count
 */
struct tree;

/**
 * struct effective_value - one key of a node, for operators
 * @key: key of the schema
 * @value: JSON text
 * @source: path of the node that the value comes from, "default" when none
 */
struct effective_value {
    char key[NAME_MAX_BYTES];
    char value[NAME_MAX_BYTES];
    char source[PATH_MAX_BYTES];
};

#endif
