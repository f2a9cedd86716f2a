/**
 * DOC: State of the engines as known to this instance.
 *
 * Reports arrive with a delay, so the results of this instance's orders
 * are added to them until the next report.
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
    /* Replicas on a gone engine are removed from the records well within this
       time. */
    GONE_ENGINE_EXPIRES_MS = 600000,
    /* An engine that left the list before this instance started is never
       reported. It counts as gone after the same time as an instance. */
    UNREPORTED_GONE_MS = 120000,
    REPORTS_RECENT_MS = 10000,
};

/**
 * engine_find() - find the view of an engine
 * @place: placement
 * @id: id of the engine
 *
 * Return: the view, or NULL when the engine was never reported.
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

    place->engine_views = g_renew(struct engine_view *, place->engine_views,
                                  g_hash_table_size(place->engines) + 1);
    g_hash_table_iter_init(&iter, place->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        place->engine_views[count++] = value;
    }
    place->engine_view_count = count;
}

/**
 * engine_update() - update the view of an engine from a report
 * @place: placement
 * @report: of any target; reports of plain services are ignored
 */
void
engine_update(struct place *place, const struct target_report *report)
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
    view->reported_ms = place->now_ms;
}

/**
 * engine_add_loaded() - add a leaf loaded by an order to the view of an engine
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
 * engine_drop_loaded() - remove an unloaded leaf from the view of an engine
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
 * engine_state_of() - state of an engine
 * @place: placement
 * @id: id of the engine
 */
enum engine_state
engine_state_of(struct place *place, uint64_t id)
{
    const struct engine_view *view = engine_find(place, id);

    if (view == NULL) {
        bool current = place->now_ms - place->reported_ms <= REPORTS_RECENT_MS;
        bool waited =
            place->now_ms - place->first_message_ms >= UNREPORTED_GONE_MS;

        return current && waited ? ENGINE_GONE : ENGINE_UNKNOWN;
    }
    switch (view->report.state) {
    case TARGET_LIVE:
        return ENGINE_LIVE;
    case TARGET_DRAINING:
        return ENGINE_DRAINING;
    case TARGET_GONE:
        return ENGINE_GONE;
    case TARGET_DOWN:
        break;
    }
    return ENGINE_DOWN;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    const struct engine_view *view = value;
    const struct place *place = data;

    (void)key;
    return view->report.state == TARGET_GONE &&
           place->now_ms - view->reported_ms > GONE_ENGINE_EXPIRES_MS;
}

/**
 * engines_expire() - remove engines that have been gone for long
 * @place: placement
 */
void
engines_expire(struct place *place)
{
    if (g_hash_table_foreach_remove(place->engines, is_expired, place) > 0) {
        list_views(place);
    }
}
