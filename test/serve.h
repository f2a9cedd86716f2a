/* Helpers for the tests of src/turmericd/serve. */
#ifndef TEST_SERVE_H
#define TEST_SERVE_H

/* Builds a settings tree from changes written as "NODE KEY VALUE; ...". */
static inline struct tree *
test_tree(const char *text)
{
    struct edit edit = {.id = "test", .author = "test"};
    char **parts = g_strsplit(text, "; ", -1);
    struct tree *empty = tree_new();
    struct tree *tree;
    struct err err = {0};

    edit.changes = calloc(g_strv_length(parts), sizeof(struct edit_change));
    for (; parts[edit.change_count] != NULL; edit.change_count++) {
        struct edit_change *change = &edit.changes[edit.change_count];
        char **words = g_strsplit(parts[edit.change_count], " ", 3);

        g_strlcpy(change->node, words[0], sizeof(change->node));
        g_strlcpy(change->key, words[1], sizeof(change->key));
        g_strlcpy(change->value, words[2], sizeof(change->value));
        g_strfreev(words);
    }
    tree = tree_apply(empty, &edit, 1, &err);
    g_assert_cmpstr(err.text, ==, "");
    edit_free(&edit);
    g_strfreev(parts);
    tree_unref(empty);
    return tree;
}

#endif
