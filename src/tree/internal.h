#ifndef TREE_INTERNAL_H
#define TREE_INTERNAL_H

/* Keys of the schema, in the order in which operators see them. */
enum key_id {
    KEY_TYPE,
    KEY_KIND,
    KEY_ENABLED,
    KEY_REPLICAS_MAX,
    KEY_REPLICAS_MIN,
    KEY_MEMORY_MB,
    KEY_IDLE_UNLOAD_S,
    KEY_PRIORITY,
    KEY_WAIT_MAX_MS,
    KEY_QUEUE_MAX,
    KEY_INFLIGHT_MAX,
    KEY_ATTEMPTS_MAX,
    KEY_REPEATABLE,
    KEY_CHECKS_FENCE,
    KEY_STALE_SERVE_S,
    KEY_STORE_LOADS_AT_ONCE,
    KEY_STORE_LOADS_PER_S,
    KEY_COUNT
};

enum value_type { VALUE_NODE_TYPE, VALUE_KIND, VALUE_BOOL, VALUE_INT };

/**
 * struct schema_key - one key of the schema
 * @name: name in edits and snapshots
 * @type: type of the value
 * @min: smallest value
 * @max: largest value
 * @fallback: value when no node up to the root sets it
 * @node_types: bit (1 << enum node_type) for each type that may set it
 * @offset: place in struct node_settings
 */
struct schema_key {
    const char *name;
    enum value_type type;
    int64_t min;
    int64_t max;
    int64_t fallback;
    unsigned node_types;
    size_t offset;
};

/**
 * struct tree_node - node with the keys that it sets itself
 * @node: public part; first member
 * @refs: number of trees that share the node
 * @own: bit (1 << enum key_id) for each key that the node sets
 * @values: values of these keys
 */
struct tree_node {
    struct node node;
    atomic_int refs;
    uint32_t own;
    int64_t values[KEY_COUNT];
};

/**
 * struct tree_index - lookup tables shared by trees with the same nodes
 * @refs: number of trees that share the index
 * @paths: storage of the strings that are keys of the tables
 * @by_path: path to position
 * @by_id: id to position
 * @by_name: last name of a leaf to position, NAME_AMBIGUOUS when not unique
 * @ids: storage of the keys of @by_id
 * @parents: position of each node's parent; -1 for the root
 */
struct tree_index {
    atomic_int refs;
    GStringChunk *paths;
    GHashTable *by_path;
    GHashTable *by_id;
    GHashTable *by_name;
    gint64 *ids;
    int *parents;
};

enum { NAME_AMBIGUOUS = -1 };

struct tree {
    atomic_int refs;
    int64_t revision;
    struct tree_index *index;
    int count;
    struct tree_node **nodes;
};

/**
 * struct draft - a node that an edit changes
 * @path: path of the node
 * @position: position in the present tree; -1 when the node is new
 * @removed: the edit removes the node
 * @own: keys set after the edit
 * @changed: keys that the edit sets
 * @values: values of the keys in @own
 */
struct draft {
    char path[PATH_MAX_BYTES];
    int position;
    bool removed;
    uint32_t own;
    uint32_t changed;
    int64_t values[KEY_COUNT];
};

/* schema.c */
extern const struct schema_key schema_keys[KEY_COUNT];
int schema_find(const char *name);
bool schema_parse(const char *node, int key, const char *text, int64_t *value,
                  struct err *err);
void schema_format(int key, int64_t value, char *text, size_t bytes);
void schema_defaults(struct node_settings *settings);
void schema_store(struct node_settings *settings, int key, int64_t value);
int64_t schema_load(const struct node_settings *settings, int key);
bool schema_allows(const char *node, int key, enum node_type type,
                   struct err *err);
const char *schema_type_name(enum node_type type);

/* tree.c */
void refs_add(atomic_int *refs);
bool refs_drop(atomic_int *refs);
int tree_position(const struct tree *tree, const char *path);
bool path_valid(const char *path, struct err *err);

/* build.c */
GHashTable *drafts_new(void);
struct draft *draft_get(GHashTable *drafts, const struct tree *tree,
                        const char *path);
struct tree *tree_build(const struct tree *base, GHashTable *drafts,
                        int64_t revision, struct err *err);

#endif
