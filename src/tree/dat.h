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
 * The schema table in schema.c gives the range and the default of each value.
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
 * @type: type of the node
 * @service: name of the service, empty for the root
 * @data_centre: data centre that a leaf is pinned to, empty when none
 * @base_model_id: id of the model that an adapter extends, 0 for other nodes
 * @settings: effective settings
 */
struct node {
    uint64_t id;
    char path[PATH_MAX_BYTES];
    enum node_type type;
    char service[NAME_MAX_BYTES];
    char data_centre[NAME_MAX_BYTES];
    uint64_t base_model_id;
    struct node_settings settings;
};

/**
 * struct edit_change - sets or unsets one key of one node
 * @node: path of the node
 * @key: name of a key in the schema
 * @value: JSON text of the value; empty to unset the key. Unsetting "type"
 *         removes the node, which must have no children.
 */
struct edit_change {
    char node[PATH_MAX_BYTES];
    char key[NAME_MAX_BYTES];
    char value[NAME_MAX_BYTES];
};

/**
 * struct edit - set of changes that take effect together
 * @id: chosen by the writer to recognize its own entry after a lost response
 * @author: who made the edit
 * @base_revision: revision of the tree that the author edited
 * @changes: owned by the edit
 * @change_count: number of changes
 */
struct edit {
    char id[EDIT_ID_MAX_BYTES];
    char author[AUTHOR_MAX_BYTES];
    int64_t base_revision;
    struct edit_change *changes;
    int change_count;
};

/**
 * struct tree - immutable configuration tree with a reference count
 */
struct tree;

/**
 * struct effective_value - value in force for one key of a node
 * @key: name of the key in the schema
 * @value: JSON text
 * @source: path of the node that sets the value, or "default"
 */
struct effective_value {
    char key[NAME_MAX_BYTES];
    char value[NAME_MAX_BYTES];
    char source[PATH_MAX_BYTES];
};

#endif
