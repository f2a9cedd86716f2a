/**
 * DOC: Targets by their latest reports, and the leaves that they serve.
 */
#include <glib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"

static void
leaf_free(gpointer data)
{
    struct leaf *leaf = data;

    g_sequence_free(leaf->queue);
    g_ptr_array_free(leaf->targets, TRUE);
    g_free(leaf);
}

/**
 * target_table_init() - initialise an empty table
 * @table: the table
 */
void
target_table_init(struct target_table *table)
{
    table->targets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    table->leaves =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, leaf_free);
}

/**
 * target_table_clear() - release all targets and leaves
 * @table: the table
 */
void
target_table_clear(struct target_table *table)
{
    g_hash_table_destroy(table->leaves);
    g_hash_table_destroy(table->targets);
}

/**
 * target_table_get_leaf() - get a leaf or plain service, added when missing
 * @table: the table
 * @id: id of the leaf, or of the plain service's node
 *
 * Return: the leaf, owned by the table.
 */
struct leaf *
target_table_get_leaf(struct target_table *table, uint64_t id)
{
    struct leaf *leaf = g_hash_table_lookup(table->leaves, &id);

    if (leaf == NULL) {
        leaf = g_new0(struct leaf, 1);
        leaf->timer.kind = TIMER_LEAF;
        leaf->id = id;
        leaf->queue = g_sequence_new(NULL);
        leaf->targets = g_ptr_array_new();
        leaf->last_load_request_ms = INT64_MIN / 2;
        leaf->last_use_report_ms = INT64_MIN / 2;
        g_hash_table_insert(table->leaves, &leaf->id, leaf);
    }
    return leaf;
}

/**
 * target_table_find() - find a target by its id
 * @table: the table
 * @id: id of the target
 *
 * Return: the target, owned by the table; NULL when it is unknown.
 */
struct target *
target_table_find(const struct target_table *table, uint64_t id)
{
    return g_hash_table_lookup(table->targets, &id);
}

static uint64_t
service_id(const struct target_report *report)
{
    char path[NAME_MAX_BYTES + 2] = "/";

    g_strlcat(path, report->service, sizeof(path));
    return hash_text(path);
}

static void
unlink_target(struct target_table *table, struct target *target)
{
    const struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        g_ptr_array_remove(
            target_table_get_leaf(table, report->loaded[i])->targets, target);
    }
    if (report->kind == TARGET_PLAIN) {
        g_ptr_array_remove(
            target_table_get_leaf(table, service_id(report))->targets, target);
    }
}

static void
link_target(struct target_table *table, struct target *target)
{
    const struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        g_ptr_array_add(
            target_table_get_leaf(table, report->loaded[i])->targets, target);
    }
    if (report->kind == TARGET_PLAIN) {
        g_ptr_array_add(
            target_table_get_leaf(table, service_id(report))->targets, target);
    }
}

/**
 * target_table_update() - apply a report, adding the target when it is new
 * @table: the table
 * @report: the report, copied
 *
 * Return: the target, owned by the table.
 */
struct target *
target_table_update(struct target_table *table,
                    const struct target_report *report)
{
    struct target *target = target_table_find(table, report->id);

    if (target == NULL) {
        target = g_new0(struct target, 1);
        target->report.id = report->id;
        g_hash_table_insert(table->targets, &target->report.id, target);
    }
    else {
        unlink_target(table, target);
    }
    target->report = *report;
    target->inflight_at_report = target->inflight;
    target->started_since_report = 0;
    target->report_number++;
    link_target(table, target);
    return target;
}

/**
 * target_table_add_loaded() - record a load before a report shows it
 * @table: the table
 * @target: the target
 * @leaf: id of the loaded leaf
 */
void
target_table_add_loaded(struct target_table *table, struct target *target,
                        uint64_t leaf)
{
    struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        if (report->loaded[i] == leaf) {
            return;
        }
    }
    if (report->loaded_count < REPORT_LOADED_MAX) {
        report->loaded[report->loaded_count++] = leaf;
        g_ptr_array_add(target_table_get_leaf(table, leaf)->targets, target);
    }
}

/**
 * target_table_remove_loaded() - record that a target lacks a leaf
 * @table: the table
 * @target: the target
 * @leaf: id of the leaf
 */
void
target_table_remove_loaded(struct target_table *table, struct target *target,
                           uint64_t leaf)
{
    struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        if (report->loaded[i] == leaf) {
            report->loaded[i] = report->loaded[--report->loaded_count];
            g_ptr_array_remove(target_table_get_leaf(table, leaf)->targets,
                               target);
            return;
        }
    }
}

/**
 * target_table_remove_gone() - remove a target that has left and is idle
 * @table: the table
 * @target: the target; invalid afterwards when it was removed
 *
 * A target stays while attempts of this instance run on it.
 */
void
target_table_remove_gone(struct target_table *table, struct target *target)
{
    if (target->report.state == TARGET_GONE && target->inflight == 0) {
        unlink_target(table, target);
        g_hash_table_remove(table->targets, &target->report.id);
    }
}
