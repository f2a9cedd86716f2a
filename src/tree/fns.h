#ifndef TREE_FNS_H
#define TREE_FNS_H

/* tree.c */
struct tree *tree_new(void);
struct tree *tree_ref(struct tree *tree);
void tree_unref(struct tree *tree);
int64_t tree_revision(const struct tree *tree);
int tree_node_count(const struct tree *tree);
const struct node *tree_node(const struct tree *tree, const char *path);
const struct node *tree_node_by_id(const struct tree *tree, uint64_t id);
const struct node *tree_node_at(const struct tree *tree, int index);
const struct node *tree_leaf(const struct tree *tree, const char *model);
const struct node *tree_service(const struct tree *tree, const char *service);
bool node_is_leaf(const struct node *node);
int tree_effective_values(const struct tree *tree, const char *path,
                          struct effective_value *values, int max);

/* edit.c */
struct tree *tree_apply(const struct tree *tree, const struct edit *edit,
                        int64_t revision, struct err *err);
bool edit_conflicts(const struct edit *edit, const struct edit *later);
bool edit_parse(const char *text, size_t bytes, struct edit *edit,
                struct err *err);
char *edit_format(const struct edit *edit);
void edit_free(struct edit *edit);

/* diff.c: the resulting edit may have more than EDIT_CHANGES_MAX changes. */
bool tree_diff(const struct tree *tree, const char *text, size_t bytes,
               bool prune, struct edit *edit, struct err *err);

/* snapshot.c */
char *tree_format(const struct tree *tree);
struct tree *tree_parse(const char *text, size_t bytes, struct err *err);

#endif
