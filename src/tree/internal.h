#ifndef TREE_INTERNAL_H
#define TREE_INTERNAL_H

/* Keys of the schema in the order of the output for operators. */
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
 * @name: name of the key in edits and snapshots
 * @type: type of the value
 * @min: smallest value
 * @max: largest value
 * @default_value: value when neither the node nor an ancestor sets the key
 * @allowed_types: bit (1 << enum node_type) for each node type that may set it
 * @offset: offset of the field in struct node_settings, in bytes
 */
struct schema_key {
    const char *name;
    enum value_type type;
    int64_t min;
    int64_t max;
    int64_t default_value;
    unsigned allowed_types;
    size_t offset;
};

/**
 * struct tree_node - node with the keys that are set on it
 * @node: public part; first member
 * @refcount: number of trees that refer to the node
 * @keys_set: bit (1 << enum key_id) for each key that is set on the node
 * @values: values of the keys in @keys_set
 */
struct tree_node {
    struct node node;
    atomic_int refcount;
    uint32_t keys_set;
    int64_t values[KEY_COUNT];
};

/**
 * struct tree_index - lookup tables shared by trees with the same nodes
 * @refcount: number of trees that refer to the index
 * @paths: owns the path strings that the tables use as keys
 * @by_path: maps a path to the position in struct tree
 * @by_id: maps a node's id to the position
 * @by_name: maps the last name of a leaf's path to the position, or to
 *           NAME_AMBIGUOUS when several leaves have that name
 * @ids: owns the keys of @by_id
 * @parents: position of each node's parent; -1 for the root
 */
struct tree_index {
    atomic_int refcount;
    GStringChunk *paths;
    GHashTable *by_path;
    GHashTable *by_id;
    GHashTable *by_name;
    gint64 *ids;
    int *parents;
};

enum { NAME_AMBIGUOUS = -1 };

struct tree {
    atomic_int refcount;
    int64_t revision;
    struct tree_index *index;
    int node_count;
    struct tree_node **nodes;
};

/**
 * struct node_draft - state of a changed node in the next tree
 * @path: path of the node
 * @position: position in the current tree; -1 when the node is new
 * @removed: the edit removes the node
 * @keys_set: bits of the keys that are set after the edit
 * @keys_changed: bits of the keys that the edit sets
 * @values: values of the keys in @keys_set
 */
struct node_draft {
    char path[PATH_MAX_BYTES];
    int position;
    bool removed;
    uint32_t keys_set;
    uint32_t keys_changed;
    int64_t values[KEY_COUNT];
};

/* schema.c */
extern const struct schema_key schema_keys[KEY_COUNT];
int schema_find_key(const char *name);
bool schema_parse_value(const char *node, int key, const char *text,
                        int64_t *value, struct err *err);
void schema_format_value(int key, int64_t value, char *text, size_t bytes);
void schema_set_defaults(struct node_settings *settings);
void schema_set_field(struct node_settings *settings, int key, int64_t value);
int64_t schema_get_field(const struct node_settings *settings, int key);
bool schema_check_type(const char *node, int key, enum node_type type,
                       struct err *err);
const char *schema_type_name(enum node_type type);

/* tree.c */
void refcount_inc(atomic_int *refcount);
bool refcount_dec(atomic_int *refcount);
int tree_position(const struct tree *tree, const char *path);
bool path_valid(const char *path, struct err *err);

/* build.c */
GHashTable *drafts_new(void);
struct node_draft *draft_get(GHashTable *drafts, const struct tree *tree,
                             const char *path);
struct tree *tree_build(const struct tree *current, GHashTable *drafts,
                        int64_t revision, struct err *err);

#endif
