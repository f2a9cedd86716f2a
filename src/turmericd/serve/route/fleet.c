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
 * fleet_init() - initialize an empty fleet
 * @fleet: the fleet
 */
void
fleet_init(struct fleet *fleet)
{
    fleet->targets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    fleet->leaves =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, leaf_free);
}

/**
 * fleet_clear() - release all targets and leaves
 * @fleet: the fleet
 */
void
fleet_clear(struct fleet *fleet)
{
    g_hash_table_destroy(fleet->leaves);
    g_hash_table_destroy(fleet->targets);
}

/**
 * fleet_get_leaf() - get a leaf or plain service, added when missing
 * @fleet: the fleet
 * @id: id of the leaf, or of the plain service's node
 *
 * Return: the leaf, owned by the fleet.
 */
struct leaf *
fleet_get_leaf(struct fleet *fleet, uint64_t id)
{
    struct leaf *leaf = g_hash_table_lookup(fleet->leaves, &id);

    if (leaf == NULL) {
        leaf = g_new0(struct leaf, 1);
        leaf->timer.kind = TIMER_LEAF;
        leaf->id = id;
        leaf->queue = g_sequence_new(NULL);
        leaf->targets = g_ptr_array_new();
        leaf->last_load_request_ms = INT64_MIN / 2;
        leaf->last_use_report_ms = INT64_MIN / 2;
        g_hash_table_insert(fleet->leaves, &leaf->id, leaf);
    }
    return leaf;
}

/**
 * fleet_find_target() - find a target by its id
 * @fleet: the fleet
 * @id: id of the target
 *
 * Return: the target, owned by the fleet; NULL when it is unknown.
 */
struct target *
fleet_find_target(const struct fleet *fleet, uint64_t id)
{
    return g_hash_table_lookup(fleet->targets, &id);
}

static uint64_t
service_node_id(const struct target_report *report)
{
    char path[NAME_MAX_BYTES + 2] = "/";

    g_strlcat(path, report->service, sizeof(path));
    return hash_text(path);
}

static void
unlink_target(struct fleet *fleet, struct target *target)
{
    const struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        g_ptr_array_remove(fleet_get_leaf(fleet, report->loaded[i])->targets,
                           target);
    }
    if (report->kind == TARGET_PLAIN) {
        g_ptr_array_remove(
            fleet_get_leaf(fleet, service_node_id(report))->targets, target);
    }
}

static void
link_target(struct fleet *fleet, struct target *target)
{
    const struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        g_ptr_array_add(fleet_get_leaf(fleet, report->loaded[i])->targets,
                        target);
    }
    if (report->kind == TARGET_PLAIN) {
        g_ptr_array_add(
            fleet_get_leaf(fleet, service_node_id(report))->targets, target);
    }
}

/**
 * fleet_update_target() - apply a report, adding the target when it is new
 * @fleet: the fleet
 * @report: the report, copied
 *
 * Return: the target, owned by the fleet.
 */
struct target *
fleet_update_target(struct fleet *fleet, const struct target_report *report)
{
    struct target *target = fleet_find_target(fleet, report->id);

    if (target == NULL) {
        target = g_new0(struct target, 1);
        target->report.id = report->id;
        g_hash_table_insert(fleet->targets, &target->report.id, target);
    }
    else {
        unlink_target(fleet, target);
    }
    target->report = *report;
    target->inflight_at_report = target->inflight;
    target->started_since_report = 0;
    target->report_number++;
    link_target(fleet, target);
    return target;
}

/**
 * fleet_add_loaded() - record a load before a report shows it
 * @fleet: the fleet
 * @target: the target
 * @leaf: id of the loaded leaf
 */
void
fleet_add_loaded(struct fleet *fleet, struct target *target, uint64_t leaf)
{
    struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        if (report->loaded[i] == leaf) {
            return;
        }
    }
    if (report->loaded_count < REPORT_LOADED_MAX) {
        report->loaded[report->loaded_count++] = leaf;
        g_ptr_array_add(fleet_get_leaf(fleet, leaf)->targets, target);
    }
}

/**
 * fleet_remove_loaded() - record that a target lacks a leaf
 * @fleet: the fleet
 * @target: the target
 * @leaf: id of the leaf
 */
void
fleet_remove_loaded(struct fleet *fleet, struct target *target, uint64_t leaf)
{
    struct target_report *report = &target->report;

    for (int i = 0; i < report->loaded_count; i++) {
        if (report->loaded[i] == leaf) {
            report->loaded[i] = report->loaded[--report->loaded_count];
            g_ptr_array_remove(fleet_get_leaf(fleet, leaf)->targets, target);
            return;
        }
    }
}

/**
 * fleet_remove_gone() - remove a target that has left and is idle
 * @fleet: the fleet
 * @target: the target; invalid afterwards when it was removed
 *
 * A target stays while attempts of this instance run on it.
 */
void
fleet_remove_gone(struct fleet *fleet, struct target *target)
{
    if (target->report.state == TARGET_GONE && target->inflight == 0) {
        unlink_target(fleet, target);
        g_hash_table_remove(fleet->targets, &target->report.id);
    }
}
