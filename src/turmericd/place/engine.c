/**
 * DOC: What this instance knows about the engines.
 *
 * Reports lag, so own orders correct them until the next report comes.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum {
    /* Replicas on a gone engine are cleaned up well within this time. */
    GONE_KEPT_MS = 600000,
    /* An engine that left the list before this instance started is never
       reported; the time is that after which gone instances are believed. */
    ABSENT_GRACE_MS = 120000,
    REPORTS_CURRENT_MS = 10000,
};

/**
 * engine_find() - view of an engine
 * @place: placement
 * @id: id of the engine
 *
 * Return: the view or NULL when it was never reported.
 */
struct engine_view *
engine_find(struct place *place, uint64_t id)
{
    return g_hash_table_lookup(place->engines, &id);
}

static void
list_views(struct place *place)
{
    GHashTableIter iter;
    gpointer value;
    int count = 0;

    place->views = g_renew(struct engine_view *, place->views,
                           g_hash_table_size(place->engines) + 1);
    g_hash_table_iter_init(&iter, place->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        place->views[count++] = value;
    }
    place->view_count = count;
}

/**
 * engine_reported() - a report has come
 * @place: placement
 * @report: of any target; plain services are left out
 */
void
engine_reported(struct place *place, const struct target_report *report)
{
    struct engine_view *view = engine_find(place, report->id);

    if (report->kind != TARGET_ENGINE) {
        return;
    }
    place->reported_ms = place->now_ms;
    if (view == NULL) {
        view = g_new0(struct engine_view, 1);
        view->report.id = report->id;
        g_hash_table_insert(place->engines, &view->report.id, view);
        list_views(place);
    }
    if (report->incarnation > view->report.incarnation) {
        view->reserved_mb = 0;
    }
    view->report = *report;
    view->seen_ms = place->now_ms;
}

/**
 * engine_add_loaded() - an order has loaded a leaf
 * @place: placement
 * @engine: id of the engine
 * @leaf: id of the leaf
 */
void
engine_add_loaded(struct place *place, uint64_t engine, uint64_t leaf)
{
    struct engine_view *view = engine_find(place, engine);
    struct target_report *report = view == NULL ? NULL : &view->report;

    if (report == NULL || report->loaded_count == REPORT_LOADED_MAX ||
        report_has(report->loaded, report->loaded_count, leaf)) {
        return;
    }
    report->loaded[report->loaded_count++] = leaf;
}

/**
 * engine_drop_loaded() - an order has unloaded a leaf
 * @place: placement
 * @engine: id of the engine
 * @leaf: id of the leaf
 */
void
engine_drop_loaded(struct place *place, uint64_t engine, uint64_t leaf)
{
    struct engine_view *view = engine_find(place, engine);
    struct target_report *report = view == NULL ? NULL : &view->report;
    const struct node *node;

    if (report == NULL) {
        return;
    }
    node = place->tree == NULL ? NULL : tree_node_by_id(place->tree, leaf);
    for (int i = 0; i < report->loaded_count; i++) {
        if (report->loaded[i] != leaf) {
            continue;
        }
        report->loaded[i] = report->loaded[--report->loaded_count];
        if (node != NULL && report->used_mb >= node->settings.memory_mb) {
            report->used_mb -= (uint32_t)node->settings.memory_mb;
        }
        return;
    }
}

/**
 * engine_fact_of() - state of an engine
 * @place: placement
 * @id: id of the engine
 */
enum engine_fact
engine_fact_of(struct place *place, uint64_t id)
{
    const struct engine_view *view = engine_find(place, id);

    if (view == NULL) {
        bool current =
            place->now_ms - place->reported_ms <= REPORTS_CURRENT_MS;
        bool waited = place->now_ms - place->started_ms >= ABSENT_GRACE_MS;

        return current && waited ? ENGINE_GONE : ENGINE_UNKNOWN;
    }
    switch (view->report.state) {
    case TARGET_LIVE:
        return ENGINE_LIVE;
    case TARGET_DRAINING:
        return ENGINE_LEAVING;
    case TARGET_GONE:
        return ENGINE_GONE;
    case TARGET_DOWN:
        break;
    }
    return ENGINE_DOWN;
}

static gboolean
is_old(gpointer key, gpointer value, gpointer data)
{
    const struct engine_view *view = value;
    const struct place *place = data;

    (void)key;
    return view->report.state == TARGET_GONE &&
           place->now_ms - view->seen_ms > GONE_KEPT_MS;
}

/**
 * engines_expire() - forget engines that have been gone for long
 * @place: placement
 */
void
engines_expire(struct place *place)
{
    if (g_hash_table_foreach_remove(place->engines, is_old, place) > 0) {
        list_views(place);
    }
}
