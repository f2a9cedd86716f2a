/* Tests of the configuration tree: schema, inheritance, edits, snapshots. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "cases.h"

/* A fixed seed makes each run use the same edits. */
enum { RANDOM_SEED = 20261204 };

/* Applies changes written as "NODE KEY VALUE; ..."; a change without a value
 * unsets the key. */
static struct tree *
apply_changes(const struct tree *tree, const char *text, struct err *err)
{
    struct edit edit = {.id = "test", .author = "test"};
    char **parts = g_strsplit(text, "; ", -1);
    struct tree *next;

    edit.changes = calloc(g_strv_length(parts), sizeof(struct edit_change));
    for (; parts[edit.change_count] != NULL; edit.change_count++) {
        struct edit_change *change = &edit.changes[edit.change_count];
        char **words = g_strsplit(parts[edit.change_count], " ", 3);

        g_strlcpy(change->node, words[0], sizeof(change->node));
        g_strlcpy(change->key, words[1], sizeof(change->key));
        if (words[2] != NULL) {
            g_strlcpy(change->value, words[2], sizeof(change->value));
        }
        g_strfreev(words);
    }
    next = tree_apply(tree, &edit, tree_revision(tree) + 1, err);
    edit_free(&edit);
    g_strfreev(parts);
    return next;
}

/* Returns a tree with a service that has a data centre, models inside and
 * outside the data centre, and an adapter. */
static struct tree *
new_sample_tree(void)
{
    struct tree *empty = tree_new();
    struct err err = {0};
    struct tree *tree = apply_changes(
        empty,
        "/ priority 4; /om type \"service\"; /om wait_max_ms 2000; "
        "/om/kov type \"data_centre\"; /om/kov replicas_max 3; "
        "/om/kov/chat type \"model\"; /om/kov/chat memory_mb 900; "
        "/om/chat type \"model\"; /om/plans type \"model\"; "
        "/om/plans/menu type \"adapter\"; /om/plans/menu memory_mb 20",
        &err);

    g_assert_cmpstr(err.text, ==, "");
    g_assert_nonnull(tree);
    tree_unref(empty);
    return tree;
}

/* Guards against an invalid edit that is accepted, that changes the tree, or
 * whose error doesn't name the node, the key and what is allowed. */
struct edit_case {
    const char *name;
    const char *changes;
    const char *node;
    const char *key;
    const char *allowed;
};

static const struct edit_case edit_cases[] = {
    {"above_range", "/om priority 10", "/om", "priority", "0..9"},
    {"below_range", "/om wait_max_ms 9", "/om", "wait_max_ms", "10..3600000"},
    {"negative", "/om replicas_max -1", "/om", "replicas_max", "0..10000"},
    {"overflow", "/om memory_mb 99999999999999999999", "/om", "memory_mb",
     "1..4194304"},
    {"fraction", "/om priority 4.5", "/om", "priority", "integer"},
    {"exponent", "/om priority 1e0", "/om", "priority", "integer"},
    {"text_for_number", "/om priority \"4\"", "/om", "priority", "integer"},
    {"number_for_bool", "/om enabled 1", "/om", "enabled", "true or false"},
    {"null", "/om enabled null", "/om", "enabled", "true or false"},
    {"two_values", "/om priority 4 5", "/om", "priority", "integer"},
    {"not_json", "/om priority {", "/om", "priority", "integer"},
    {"unknown_key", "/om colour 1", "/om", "colour", "no such key"},
    {"unknown_kind", "/om kind \"gpu\"", "/om", "kind", "engine or plain"},
    {"unknown_type", "/x type \"zone\"", "/x", "type", "adapter"},
    {"second_root", "/x type \"root\"", "/x", "type", "does not fit"},
    {"model_at_root", "/x type \"model\"", "/x", "type", "does not fit"},
    {"adapter_in_service", "/om/x type \"adapter\"", "/om/x", "type",
     "does not fit"},
    {"service_in_service", "/om/x type \"service\"", "/om/x", "type",
     "does not fit"},
    {"model_in_adapter", "/om/plans/menu/x type \"model\"", "/om/plans/menu/x",
     "type", "does not fit"},
    {"no_parent", "/no/x type \"model\"", "/no/x", "type", "parent"},
    {"no_node", "/om/none priority 3", "/om/none", "type", "no such node"},
    {"remove_none", "/om/none type", "/om/none", "type", "no such node"},
    {"unset_of_none", "/om/none priority", "/om/none", "type", "no such node"},
    {"remove_parent", "/om/plans type", "/om/plans/menu", "type", "parent"},
    {"remove_root", "/ type", "/", "type", "root"},
    {"change_type", "/om/chat type \"data_centre\"", "/om/chat", "type",
     "remove it"},
    {"remove_and_set", "/om/chat type; /om/chat priority 3", "/om/chat",
     "type", "removes"},
    {"key_twice", "/om priority 3; /om priority 4", "/om", "priority",
     "twice"},
    {"root_only", "/om store_loads_per_s 3", "/om", "store_loads_per_s",
     "only root"},
    {"kind_on_model", "/om/chat kind \"plain\"", "/om/chat", "kind",
     "root, service"},
    {"upper_case", "/om/Chat type \"model\"", "/om/Chat", "node", "a-z"},
    {"empty_name", "/om//x type \"model\"", "/om//x", "node", "a-z"},
    {"trailing_slash", "/om/ type \"model\"", "/om/", "node", "a-z"},
    {"relative", "om priority 3", "om", "node", "/NAME"},
    {"space_in_name", "/om/a\tb type \"model\"", "/om/a\tb", "node", "a-z"},
    {"long_name",
     "/om/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa "
     "type \"model\"",
     "/om/aaaaaaa", "node", "1..63"},
    {"good_then_bad", "/om priority 3; /om/chat priority 10", "/om/chat",
     "priority", "0..9"},
};

static void
test_edit_rejected(gconstpointer data)
{
    const struct edit_case *c = data;
    struct tree *tree = new_sample_tree();
    char *before = tree_format(tree);
    char *after;
    struct err err = {0};

    g_assert_null(apply_changes(tree, c->changes, &err));
    g_assert_cmpint(err.kind, ==, ERR_EDIT_INVALID);
    g_assert_nonnull(strstr(err.text, c->node));
    g_assert_nonnull(strstr(err.text, c->key));
    g_assert_nonnull(strstr(err.text, c->allowed));
    after = tree_format(tree);
    g_assert_cmpstr(before, ==, after);
    free(before);
    free(after);
    tree_unref(tree);
}

/* Guards against an effective value that is inherited from the wrong node. */
struct value_case {
    const char *name;
    const char *changes;
    const char *node;
    const char *key;
    const char *value;
    const char *source;
};

static const struct value_case value_cases[] = {
    {"default", NULL, "/om/chat", "queue_max", "256", "default"},
    {"from_root", NULL, "/om/plans/menu", "priority", "4", "/"},
    {"from_service", NULL, "/om/kov/chat", "wait_max_ms", "2000", "/om"},
    {"from_data_centre", NULL, "/om/kov/chat", "replicas_max", "3", "/om/kov"},
    {"own_value", NULL, "/om/plans/menu", "memory_mb", "20", "/om/plans/menu"},
    {"type", NULL, "/om/plans/menu", "type", "\"adapter\"", "/om/plans/menu"},
    {"range_ends", "/om priority 9; /om replicas_max 0", "/om/chat",
     "priority", "9", "/om"},
    {"set_on_root", "/ queue_max 7", "/om/plans/menu", "queue_max", "7", "/"},
    {"set_on_parent", "/om/plans priority 8", "/om/plans/menu", "priority",
     "8", "/om/plans"},
    {"not_from_sibling", "/om/plans priority 8", "/om/chat", "priority", "4",
     "/"},
    {"unset_uses_default", "/om wait_max_ms", "/om/kov/chat", "wait_max_ms",
     "30000", "default"},
    {"unset_of_unset", "/om/chat priority", "/om/chat", "priority", "4", "/"},
    {"kind", "/om kind \"plain\"", "/om/chat", "kind", "\"plain\"", "/om"},
    {"bool", "/om enabled false", "/om/kov/chat", "enabled", "false", "/om"},
    {"child_before_parent",
     "/s/m/a priority 1; /s/m/a type \"adapter\"; /s/m type \"model\"; "
     "/s type \"service\"; /s priority 2",
     "/s/m", "priority", "2", "/s"},
    {"removed_with_child", "/om/plans/menu type; /om/plans type", "/om/chat",
     "priority", "4", "/"},
    {"siblings_sort_before_children",
     "/om-x type \"service\"; /om.x type \"service\"", "/om/plans/menu",
     "memory_mb", "20", "/om/plans/menu"},
};

static const struct effective_value *
find_value(const struct effective_value *values, int count, const char *key)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(values[i].key, key) == 0) {
            return &values[i];
        }
    }
    g_assert_not_reached();
}

static void
test_effective(gconstpointer data)
{
    const struct value_case *c = data;
    struct tree *tree = new_sample_tree();
    struct effective_value values[32] = {0};
    const struct effective_value *value;
    struct err err = {0};

    if (c->changes != NULL) {
        struct tree *next = apply_changes(tree, c->changes, &err);

        g_assert_cmpstr(err.text, ==, "");
        tree_unref(tree);
        tree = next;
    }
    value = find_value(
        values,
        tree_effective_values(tree, c->node, values, G_N_ELEMENTS(values)),
        c->key);
    g_assert_cmpstr(value->value, ==, c->value);
    g_assert_cmpstr(value->source, ==, c->source);
    g_assert_cmpint(tree_effective_values(tree, "/none", values, 32), ==, -1);
    tree_unref(tree);
}

/* Guards against a model name in a request that finds no leaf or a wrong one.
 */
struct leaf_case {
    const char *name;
    const char *model;
    const char *path;
};

static const struct leaf_case leaf_cases[] = {
    {"path", "om/kov/chat", "/om/kov/chat"},
    {"unique_name", "menu", "/om/plans/menu"},
    {"ambiguous_name", "chat", NULL},
    {"not_a_leaf", "om/kov", NULL},
    {"service_name", "om", NULL},
    {"unknown", "other", NULL},
    {"empty", "", NULL},
    {"leading_slash", "/om/chat", NULL},
};

static void
test_leaf(gconstpointer data)
{
    const struct leaf_case *c = data;
    struct tree *tree = new_sample_tree();
    const struct node *leaf = tree_leaf(tree, c->model);

    g_assert_cmpstr(leaf == NULL ? NULL : leaf->path, ==, c->path);
    if (leaf != NULL) {
        g_assert_true(tree_node_by_id(tree, leaf->id) == leaf);
        g_assert_true(tree_node(tree, leaf->path) == leaf);
        g_assert_cmpstr(leaf->service, ==, "om");
    }
    tree_unref(tree);
}

/* Guards against a leaf without its data centre or the id of its base model.
 */
static void
test_placement_fields(void)
{
    struct tree *tree = new_sample_tree();
    const struct node *pinned = tree_leaf(tree, "om/kov/chat");
    const struct node *adapter = tree_leaf(tree, "menu");

    g_assert_cmpstr(pinned->data_centre, ==, "kov");
    g_assert_cmpstr(adapter->data_centre, ==, "");
    g_assert_cmpuint(adapter->base_model_id, ==, tree_leaf(tree, "plans")->id);
    g_assert_cmpuint(pinned->base_model_id, ==, 0);
    g_assert_nonnull(tree_service(tree, "om"));
    g_assert_null(tree_service(tree, "om/chat"));
    tree_unref(tree);
}

/* Guards against an edit that copies unchanged nodes, or changes nodes of the
 * tree that it was applied to. */
static void
test_sharing(void)
{
    struct tree *tree = new_sample_tree();
    struct tree *next = apply_changes(tree, "/om/plans priority 7", NULL);

    g_assert_nonnull(next);
    g_assert_true(tree_node(tree, "/om/chat") == tree_node(next, "/om/chat"));
    g_assert_true(tree_node(tree, "/om") == tree_node(next, "/om"));
    g_assert_cmpint(tree_node(tree, "/om/plans/menu")->settings.priority, ==,
                    4);
    g_assert_cmpint(tree_node(next, "/om/plans/menu")->settings.priority, ==,
                    7);
    tree_unref(tree);
    g_assert_cmpstr(tree_leaf(next, "menu")->path, ==, "/om/plans/menu");
    tree_unref(next);
}

/* Guards against lost updates, and against rejecting unrelated edits. */
struct conflict_case {
    const char *name;
    struct edit_change mine;
    struct edit_change later;
    bool conflict;
};

static const struct conflict_case conflict_cases[] = {
    {"same_key", {"/a", "priority", "1"}, {"/a", "priority", "2"}, true},
    {"same_value", {"/a", "priority", "1"}, {"/a", "priority", "1"}, true},
    {"set_unset", {"/a", "priority", "1"}, {"/a", "priority", ""}, true},
    {"other_key", {"/a", "priority", "1"}, {"/a", "enabled", "true"}, false},
    {"other_node", {"/a", "priority", "1"}, {"/a/b", "priority", "1"}, false},
    {"later_removes", {"/a", "priority", "1"}, {"/a", "type", ""}, true},
    {"mine_removes", {"/a", "type", ""}, {"/a", "priority", "1"}, true},
    {"both_create",
     {"/a", "type", "\"model\""},
     {"/a", "type", "\"model\""},
     true},
    {"later_creates",
     {"/a", "priority", "1"},
     {"/a", "type", "\"model\""},
     false},
};

static void
test_conflict(gconstpointer data)
{
    const struct conflict_case *c = data;
    struct edit_change other = {"/z", "priority", "1"};
    struct edit_change changes[] = {other, c->mine};
    struct edit_change later_changes[] = {c->later};
    struct edit mine = {.changes = changes, .change_count = 2};
    struct edit later = {.changes = later_changes, .change_count = 1};

    g_assert_true(edit_conflicts(&mine, &later) == c->conflict);
}

/* Guards against a malformed edit that is accepted or crashes the parser. */
struct parse_case {
    const char *name;
    const char *text;
    enum err_kind kind;
};

#define EDIT(changes)                                                         \
    "{\"id\":\"i\",\"author\":\"a\",\"base_revision\":3,\"changes\":" changes \
    "}"
#define CHANGE(rest) EDIT("[{\"node\":\"/a\",\"key\":\"priority\"" rest "}]")

static const struct parse_case parse_cases[] = {
    {"good", CHANGE(",\"value\":4"), ERR_NONE},
    {"good_unset", CHANGE(",\"unset\":true"), ERR_NONE},
    {"good_blanks", "  " CHANGE(",\"value\":4") " \r\n", ERR_NONE},
    {"empty", "", ERR_BAD_JSON},
    {"blank", "  ", ERR_BAD_JSON},
    {"cut", "{\"id\":\"i\",", ERR_BAD_JSON},
    {"cut_string", "{\"id\":\"i", ERR_BAD_JSON},
    {"array", "[]", ERR_BAD_JSON},
    {"number", "7", ERR_BAD_JSON},
    {"null", "null", ERR_BAD_JSON},
    {"trailing", CHANGE(",\"value\":4") " x", ERR_BAD_JSON},
    {"two_objects", CHANGE(",\"value\":4") "{}", ERR_BAD_JSON},
    {"trailing_comma", "{\"id\":\"i\",}", ERR_BAD_JSON},
    {"single_quotes", "{'id':'i'}", ERR_BAD_JSON},
    {"bad_utf8", "{\"id\":\"\xff\xfe\"}", ERR_BAD_JSON},
    {"too_deep", CHANGE(",\"value\":[[[[[[[[1]]]]]]]]"), ERR_BAD_JSON},
    {"empty_object", "{}", ERR_EDIT_INVALID},
    {"no_changes", EDIT("[]"), ERR_EDIT_INVALID},
    {"changes_object", EDIT("{}"), ERR_EDIT_INVALID},
    {"change_number", EDIT("[1]"), ERR_EDIT_INVALID},
    {"change_null", EDIT("[null]"), ERR_EDIT_INVALID},
    {"change_empty", EDIT("[{}]"), ERR_EDIT_INVALID},
    {"no_value", CHANGE(""), ERR_EDIT_INVALID},
    {"value_and_unset", CHANGE(",\"value\":4,\"unset\":true"),
     ERR_EDIT_INVALID},
    {"unset_false", CHANGE(",\"unset\":false"), ERR_EDIT_INVALID},
    {"unset_text", CHANGE(",\"unset\":\"true\""), ERR_EDIT_INVALID},
    {"misspelt_member", CHANGE(",\"valeu\":4"), ERR_EDIT_INVALID},
    {"node_number", EDIT("[{\"node\":1,\"key\":\"k\",\"value\":1}]"),
     ERR_EDIT_INVALID},
    {"node_nul", EDIT("[{\"node\":\"/a\\u0000b\",\"key\":\"k\",\"value\":1}]"),
     ERR_EDIT_INVALID},
    {"key_empty", EDIT("[{\"node\":\"/a\",\"key\":\"\",\"value\":1}]"),
     ERR_EDIT_INVALID},
    {"value_too_long",
     CHANGE(
         ",\"value\":\"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "aaaaaaaaaaaaaaaaa\""),
     ERR_EDIT_INVALID},
    {"revision_negative",
     "{\"id\":\"i\",\"author\":\"a\",\"base_revision\":-1,\"changes\":[]}",
     ERR_EDIT_INVALID},
    {"revision_text",
     "{\"id\":\"i\",\"author\":\"a\",\"base_revision\":\"3\",\"changes\":[]}",
     ERR_EDIT_INVALID},
    {"id_empty", "{\"id\":\"\"}", ERR_EDIT_INVALID},
    {"author_newline", "{\"author\":\"a\\nb\"}", ERR_EDIT_INVALID},
    {"id_missing",
     "{\"author\":\"a\",\"base_revision\":1,\"changes\":[{\"node\":\"/\","
     "\"key\":\"priority\",\"value\":1}]}",
     ERR_EDIT_INVALID},
    {"unknown_member", "{\"id\":\"i\",\"force\":true}", ERR_EDIT_INVALID},
};

static void
test_parse(gconstpointer data)
{
    const struct parse_case *c = data;
    struct edit edit;
    struct err err = {0};
    bool parsed = edit_parse(c->text, strlen(c->text), &edit, &err);

    g_assert_cmpint(err.kind, ==, c->kind);
    g_assert_true(parsed == (c->kind == ERR_NONE));
    g_assert_true(parsed || strlen(err.text) > 5);
    edit_free(&edit);
}

/* Guards against accepting an edit with bytes after a NUL byte. */
static void
test_parse_nul(void)
{
    static const char text[] = CHANGE(",\"value\":4") "\0x";
    struct edit edit;
    struct err err = {0};

    g_assert_false(edit_parse(text, sizeof(text) - 1, &edit, &err));
    g_assert_cmpint(err.kind, ==, ERR_BAD_JSON);
    edit_free(&edit);
}

/* Guards against an edit that differs after encoding and decoding. */
static void
test_edit_round_trip(void)
{
    struct edit_change changes[] = {{"/om", "type", "\"service\""},
                                    {"/om", "priority", "9"},
                                    {"/om/x", "enabled", "false"},
                                    {"/om/y", "type", ""}};
    struct edit edit = {"id-1", "mira \"m\"", 41, changes, 4};
    struct edit decoded;
    char *text = edit_format(&edit);

    g_assert_true(edit_parse(text, strlen(text), &decoded, NULL));
    g_assert_cmpstr(decoded.id, ==, edit.id);
    g_assert_cmpstr(decoded.author, ==, edit.author);
    g_assert_cmpint(decoded.base_revision, ==, edit.base_revision);
    g_assert_cmpint(decoded.change_count, ==, edit.change_count);
    g_assert_cmpmem(decoded.changes, sizeof(changes), changes,
                    sizeof(changes));
    edit_free(&decoded);
    free(text);
}

/* Guards against a truncated or altered edit that crashes the parser. */
static void
test_parse_mutations(void)
{
    static const char text[] =
        EDIT("[{\"node\":\"/a\",\"key\":\"priority\",\"value\":4},"
             "{\"node\":\"/a/b\",\"key\":\"type\",\"value\":\"model\"}]");
    static const char bytes[] = "{}[]\",:\\0-e\x01\xff";
    const guint32 seed = RANDOM_SEED;
    GRand *random = g_rand_new_with_seed(seed);
    struct tree *tree = new_sample_tree();

    g_test_message("seed %u", seed);
    for (int round = 0; round < 4000; round++) {
        char copy[sizeof(text)];
        int length = g_rand_int_range(random, 1, sizeof(text));
        struct edit edit;
        struct err err = {0};

        memcpy(copy, text, sizeof(text));
        copy[g_rand_int_range(random, 0, length)] =
            bytes[g_rand_int_range(random, 0, sizeof(bytes) - 1)];
        copy[length] = '\0';
        if (edit_parse(copy, (size_t)length, &edit, &err)) {
            tree_unref(tree_apply(tree, &edit, 9, &err));
        }
        else {
            g_assert_cmpint(err.kind, !=, ERR_NONE);
        }
        edit_free(&edit);
    }
    tree_unref(tree);
    g_rand_free(random);
}

static void
assert_same_trees(const struct tree *a, const struct tree *b)
{
    g_assert_cmpint(tree_node_count(a), ==, tree_node_count(b));
    g_assert_cmpint(tree_revision(a), ==, tree_revision(b));
    for (int i = 0; i < tree_node_count(a); i++) {
        const struct node *x = tree_node_at(a, i);
        const struct node *y = tree_node_at(b, i);

        g_assert_cmpstr(x->path, ==, y->path);
        g_assert_cmpmem(x, sizeof(*x), y, sizeof(*y));
        g_assert_true(tree_node(a, x->path) == x);
        g_assert_true(tree_node_by_id(a, x->id) == x);
    }
}

/* Returns a random change, in most cases a valid one. */
static char *
random_change(GRand *random)
{
    static const char *const nodes[] = {
        "/",        "/om",       "/om/kov",        "/om/kov/chat",
        "/om/chat", "/om/plans", "/om/plans/menu", "/s",
        "/s/m",     "/s/m/a",    "/s/d",           "/s/d/m"};
    static const char *const types[] = {
        "root",  "service", "data_centre", "model",
        "model", "model",   "adapter",     "service",
        "model", "adapter", "data_centre", "model"};
    static const char *const keys[] = {"priority", "replicas_max"};
    int node = g_rand_int_range(random, 0, G_N_ELEMENTS(nodes));
    const char *key = keys[g_rand_int_range(random, 0, 2)];

    switch (g_rand_int_range(random, 0, 5)) {
    case 0:
        return g_strdup_printf("%s type \"%s\"", nodes[node], types[node]);
    case 1:
        return g_strdup_printf("%s type", nodes[node]);
    case 2:
        return g_strdup_printf("%s %s", nodes[node], key);
    default:
        return g_strdup_printf("%s %s %d", nodes[node], key,
                               g_rand_int_range(random, 0, 10));
    }
}

/* Guards against a tree built by edits that differs from the tree decoded from
 * its snapshot. */
static void
test_edits_equal_snapshot(void)
{
    const guint32 seed = RANDOM_SEED;
    GRand *random = g_rand_new_with_seed(seed);
    struct tree *tree = new_sample_tree();
    int applied = 0;

    g_test_message("seed %u", seed);
    for (int round = 0; round < 1500; round++) {
        char *first = random_change(random);
        char *second = random_change(random);
        char *changes = g_strjoin("; ", first, second, NULL);
        struct tree *next = apply_changes(tree, changes, NULL);

        if (next != NULL) {
            char *text = tree_format(next);
            struct tree *decoded = tree_parse(text, strlen(text), NULL);

            g_assert_nonnull(decoded);
            assert_same_trees(next, decoded);
            tree_unref(decoded);
            free(text);
            tree_unref(tree);
            tree = next;
            applied++;
        }
        g_free(first);
        g_free(second);
        g_free(changes);
    }
    g_assert_cmpint(applied, >, 100);
    tree_unref(tree);
    g_rand_free(random);
}

/* Guards against accepting an invalid snapshot. */
static const struct parse_case snapshot_cases[] = {
    {"good", "{\"revision\":2,\"nodes\":{\"/\":{\"type\":\"root\"}}}",
     ERR_NONE},
    {"empty", "", ERR_BAD_JSON},
    {"cut", "{\"revision\":2,\"nodes\":{\"/\":{\"type\":\"root\"",
     ERR_BAD_JSON},
    {"no_revision", "{\"nodes\":{\"/\":{\"type\":\"root\"}}}", ERR_BAD_JSON},
    {"no_root", "{\"revision\":2,\"nodes\":{}}", ERR_EDIT_INVALID},
    {"root_type", "{\"revision\":2,\"nodes\":{\"/\":{\"type\":\"model\"}}}",
     ERR_EDIT_INVALID},
    {"orphan",
     "{\"revision\":2,\"nodes\":{\"/\":{\"type\":\"root\"},\"/a/b\":"
     "{\"type\":\"model\"}}}",
     ERR_EDIT_INVALID},
    {"no_type",
     "{\"revision\":2,\"nodes\":{\"/\":{\"type\":\"root\"},\"/a\":{}}}",
     ERR_EDIT_INVALID},
    {"unknown_key",
     "{\"revision\":2,\"nodes\":{\"/\":{\"type\":\"root\",\"x\":1}}}",
     ERR_EDIT_INVALID},
};

static void
test_snapshot_parse(gconstpointer data)
{
    const struct parse_case *c = data;
    struct err err = {0};
    struct tree *tree = tree_parse(c->text, strlen(c->text), &err);

    g_assert_cmpint(err.kind, ==, c->kind);
    g_assert_true((tree != NULL) == (c->kind == ERR_NONE));
    tree_unref(tree);
}

/* Guards against a diff that has too many, too few or wrong changes. */
struct diff_case {
    const char *name;
    const char *file;
    bool prune;
    const char *changes;
    enum err_kind kind;
};

static const struct diff_case diff_cases[] = {
    {"nothing", "{}", false, "", ERR_NONE},
    {"same", "{\"/om/kov/chat\": {\"type\": \"model\", \"memory_mb\": 900}}",
     false, "", ERR_NONE},
    {"comment", "/* a */ {// b\n}", false, "", ERR_NONE},
    {"value", "{\"/om/kov/chat\": {\"type\": \"model\", \"memory_mb\": 7}}",
     false, "/om/kov/chat memory_mb 7", ERR_NONE},
    {"left_out_key", "{\"/om/kov/chat\": {\"type\": \"model\"}}", false,
     "/om/kov/chat memory_mb", ERR_NONE},
    {"left_out_type", "{\"/om/kov/chat\": {\"memory_mb\": 900}}", false, "",
     ERR_NONE},
    {"root", "{\"/\": {\"priority\": 5}}", false, "/ priority 5", ERR_NONE},
    {"new_child_first",
     "{\"/s/m\": {\"type\": \"model\"}, \"/s\": {\"type\": \"service\"}}",
     false, "/s type \"service\"; /s/m type \"model\"", ERR_NONE},
    {"type_before_keys",
     "{\"/s\": {\"enabled\": false, \"type\": \"service\"}}", false,
     "/s type \"service\"; /s enabled false", ERR_NONE},
    {"prune",
     "{\"/om\": {\"type\": \"service\", \"wait_max_ms\": 2000}, \"/om/plans\":"
     " {\"type\": \"model\"}}",
     true,
     "/om/plans/menu type; /om/kov/chat type; /om/kov type; /om/chat type",
     ERR_NONE},
    {"bad_json", "{", false, "", ERR_BAD_JSON},
    {"array", "[]", false, "", ERR_BAD_JSON},
    {"node_not_object", "{\"/om\": 3}", false, "", ERR_EDIT_INVALID},
    {"unknown_key", "{\"/om\": {\"colour\": 3}}", false, "", ERR_EDIT_INVALID},
    {"bad_value", "{\"/om\": {\"priority\": 10}}", false, "",
     ERR_EDIT_INVALID},
    {"null_value", "{\"/om\": {\"priority\": null}}", false, "",
     ERR_EDIT_INVALID},
    {"bad_path", "{\"om\": {}}", false, "", ERR_EDIT_INVALID},
};

/* Writes changes in the format that apply_changes() reads. */
static char *
format_changes(const struct edit *edit)
{
    GString *text = g_string_new(NULL);

    for (int i = 0; i < edit->change_count; i++) {
        const struct edit_change *change = &edit->changes[i];

        g_string_append_printf(text, "%s%s %s", i == 0 ? "" : "; ",
                               change->node, change->key);
        if (change->value[0] != '\0') {
            g_string_append_printf(text, " %s", change->value);
        }
    }
    return g_string_free(text, FALSE);
}

static void
test_diff(gconstpointer data)
{
    const struct diff_case *c = data;
    struct tree *tree = new_sample_tree();
    struct edit edit = {.id = "diff", .author = "test"};
    struct err err = {0};
    char *text;

    g_assert_true(tree_diff(tree, c->file, strlen(c->file), c->prune, &edit,
                            &err) == (c->kind == ERR_NONE));
    g_assert_cmpint(err.kind, ==, c->kind);
    if (c->kind == ERR_NONE) {
        text = format_changes(&edit);
        g_assert_cmpstr(text, ==, c->changes);
        g_free(text);
        g_assert_cmpint(edit.base_revision, ==, tree_revision(tree));
    }
    if (edit.change_count > 0 && c->kind == ERR_NONE) {
        struct tree *next = tree_apply(tree, &edit, 9, &err);

        g_assert_cmpstr(err.text, ==, "");
        tree_unref(next);
    }
    edit_free(&edit);
    tree_unref(tree);
}

static const struct cases groups[] = {
    CASES("/tree/edit_rejected", edit_cases, test_edit_rejected),
    CASES("/tree/effective", value_cases, test_effective),
    CASES("/tree/leaf", leaf_cases, test_leaf),
    CASES("/tree/conflict", conflict_cases, test_conflict),
    CASES("/tree/parse", parse_cases, test_parse),
    CASES("/tree/diff", diff_cases, test_diff),
    CASES("/tree/snapshot", snapshot_cases, test_snapshot_parse),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/tree/placement_fields", test_placement_fields);
    g_test_add_func("/tree/sharing", test_sharing);
    g_test_add_func("/tree/edit_round_trip", test_edit_round_trip);
    g_test_add_func("/tree/parse_nul", test_parse_nul);
    g_test_add_func("/tree/parse_mutations", test_parse_mutations);
    g_test_add_func("/tree/edits_equal_snapshot", test_edits_equal_snapshot);
    return g_test_run();
}
