/*
 * Measures the configuration tree at different sizes: memory, CPU time of a
 * snapshot and of an edit, and bytes written per edit for three storage
 * layouts.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "bench/dat.h"
#include "bench/fns.h"

enum { RUN_COUNT = 21, ADAPTERS_PER_MODEL = 23, EDITS_PER_SNAPSHOT = 256 };

static void
add_change(struct edit *edit, const char *node, const char *key,
           const char *value)
{
    struct edit_change *change = &edit->changes[edit->change_count++];

    g_strlcpy(change->node, node, sizeof(change->node));
    g_strlcpy(change->key, key, sizeof(change->key));
    g_strlcpy(change->value, value, sizeof(change->value));
}

static struct tree *
apply(struct tree *tree, const struct edit *edit)
{
    struct err err = {0};
    struct tree *next = tree_apply(tree, edit, tree_revision(tree) + 1, &err);

    if (next == NULL) {
        fprintf(stderr, "edit was rejected: %s\n", err.text);
        exit(1);
    }
    tree_unref(tree);
    return next;
}

static struct tree *
add_model(struct tree *tree, struct edit *edit, int model, int leaves)
{
    char path[PATH_MAX_BYTES];

    edit->change_count = 0;
    snprintf(path, sizeof(path), "/service/model-%d", model);
    add_change(edit, path, "type", "\"model\"");
    add_change(edit, path, "memory_mb", "2048");
    for (int i = 0; i < ADAPTERS_PER_MODEL && i + 1 < leaves; i++) {
        snprintf(path, sizeof(path), "/service/model-%d/adapter-%d", model, i);
        add_change(edit, path, "type", "\"adapter\"");
        add_change(edit, path, "memory_mb", "64");
    }
    return apply(tree, edit);
}

static struct tree *
build_tree(int leaves, struct edit *edit)
{
    struct tree *tree = tree_new();

    edit->change_count = 0;
    add_change(edit, "/service", "type", "\"service\"");
    tree = apply(tree, edit);
    for (int model = 0; leaves > 0; model++) {
        tree = add_model(tree, edit, model, leaves);
        leaves -= 1 + ADAPTERS_PER_MODEL;
    }
    return tree;
}

static struct tree *
measure_edit(struct tree *tree, struct edit *edit, size_t *entry_bytes)
{
    struct samples samples = {0};
    char value[16];

    for (int i = 0; i < RUN_COUNT; i++) {
        double start;
        char *text;

        edit->change_count = 0;
        snprintf(value, sizeof(value), "%d", 1 + i);
        add_change(edit, "/service/model-0", "priority", i % 2 ? "3" : "4");
        add_change(edit, "/service/model-0", "replicas_max", value);
        text = edit_format(edit);
        *entry_bytes = strlen(text);
        free(text);
        start = cpu_now_us();
        tree = apply(tree, edit);
        sample_add(&samples, cpu_now_us() - start);
    }
    sample_print(&samples, "apply_edit", "us");
    return tree;
}

static size_t
measure_snapshot(struct tree *tree)
{
    struct samples format = {0};
    struct samples parse = {0};
    struct err err = {0};
    size_t bytes = 0;

    for (int i = 0; i < RUN_COUNT; i++) {
        double start = cpu_now_us();
        char *text = tree_format(tree);
        struct tree *parsed;

        sample_add(&format, cpu_now_us() - start);
        bytes = strlen(text);
        start = cpu_now_us();
        parsed = tree_parse(text, bytes, &err);
        sample_add(&parse, cpu_now_us() - start);
        tree_unref(parsed);
        free(text);
    }
    sample_print(&format, "format_snapshot", "us");
    sample_print(&parse, "parse_snapshot", "us");
    return bytes;
}

static void
measure(int leaves)
{
    struct edit edit = {.id = "bench", .author = "bench"};
    size_t before = heap_bytes();
    size_t entry_bytes = 0;
    size_t snapshot_bytes;
    size_t memory_bytes;
    struct tree *tree;

    edit.changes = calloc(EDIT_CHANGES_MAX, sizeof(*edit.changes));
    tree = build_tree(leaves, &edit);
    memory_bytes =
        heap_bytes() - before - EDIT_CHANGES_MAX * sizeof(*edit.changes);
    printf("leaves=%d memory_bytes=%zu per_leaf=%zu\n", leaves, memory_bytes,
           memory_bytes / (size_t)leaves);
    tree = measure_edit(tree, &edit, &entry_bytes);
    snapshot_bytes = measure_snapshot(tree);
    printf("snapshot_bytes=%zu per_leaf=%zu\n", snapshot_bytes,
           snapshot_bytes / (size_t)leaves);
    printf("written_per_edit one_value=%zu key_per_node=%zu journal=%zu\n",
           snapshot_bytes, snapshot_bytes / (size_t)leaves,
           entry_bytes + snapshot_bytes / EDITS_PER_SNAPSHOT);
    printf("read_per_edit_and_reader one_value=%zu journal=%zu\n",
           snapshot_bytes, entry_bytes);
    tree_unref(tree);
    free(edit.changes);
}

int
main(void)
{
    const int sizes[] = {210, 1000, 6050};

    for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
        measure(sizes[i]);
    }
    return 0;
}
