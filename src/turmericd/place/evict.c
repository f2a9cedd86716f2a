/**
 * DOC: Eviction of idle leaves for one that fits nowhere.
 *
 * The member that needs room chooses; the owner of each leaf decides, because
 * the owner knows all uses of it.
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
#include "turmericd/place/fns.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum {
    /* A request that was just routed shows in the report of a later second. */
    IDLE_SHORTEST_MS = 3000,
    /* Reports count running requests per engine, not per leaf. On a busy
       engine a leaf used within this time may be the one that runs. */
    RUNNING_LONGEST_MS = 120000,
    /* Pause between attempts, so that an unload can finish first. */
    EVICT_AGAIN_MS = 1000,
    /* An owner that has not unloaded by then has refused. */
    EVICT_REFUSED_MS = 5000,
};

/*
 * At most as many leaves are in use as the engine runs requests, and those
 * used last are the likeliest. A wrong guess interrupts nothing: the engine
 * lets running requests finish before it unloads.
 */
static bool
used_early(struct place *place, const struct leaf *leaf,
           const struct engine_view *view)
{
    const struct target_report *report = &view->report;
    uint32_t later = 0;

    for (int i = 0; i < report->loaded_count; i++) {
        const struct leaf *other = leaf_find(place, report->loaded[i]);

        later += other != NULL && other->used_ms > leaf->used_ms;
    }
    return later >= report->running + report->waiting;
}

static bool
may_run(struct place *place, const struct leaf *leaf,
        const struct engine_view *view, int64_t unload_ms)
{
    int64_t longest =
        unload_ms < RUNNING_LONGEST_MS ? unload_ms : RUNNING_LONGEST_MS;

    if (used_early(place, leaf, view)) {
        longest = longest < IDLE_SHORTEST_MS ? longest : IDLE_SHORTEST_MS;
    }
    return place->now_ms - leaf->used_ms < longest;
}

/**
 * leaf_fixed() - whether a replica must stay
 * @place: placement
 * @leaf: the leaf; NULL when this instance knows nothing of it
 * @view: the engine
 * @node: settings of the leaf
 */
bool
leaf_fixed(struct place *place, const struct leaf *leaf,
           const struct engine_view *view, const struct node *node)
{
    int64_t unload_ms = node->settings.idle_unload_s * 1000;

    if (leaf == NULL) {
        return node->settings.replicas_min > 0;
    }
    if (leaf->want_ms != 0 || leaf->moving ||
        may_run(place, leaf, view, unload_ms)) {
        return true;
    }
    if (leaf->owned && leaf->view_count > node->settings.replicas_min) {
        return false;
    }
    return node->settings.replicas_min > 0;
}

static bool
refused_lately(const struct place *place, const struct leaf *leaf)
{
    return leaf != NULL && leaf->evict_asked_ms != 0 &&
           place->now_ms - leaf->evict_asked_ms < EVICT_REFUSED_MS;
}

static void
add_resident(struct place *place, GArray *residents,
             const struct engine_view *view, uint64_t id)
{
    const struct node *node = tree_node_by_id(place->tree, id);
    const struct leaf *leaf = leaf_find(place, id);
    struct resident resident = {.engine = view->report.id, .leaf = id};

    /* What is not in the tree is unloaded by its owner in any case. */
    if (node == NULL) {
        return;
    }
    resident.base = node->base;
    resident.mb = node->settings.memory_mb;
    resident.priority = (int)node->settings.priority;
    resident.idle_unload_ms = node->settings.idle_unload_s * 1000;
    resident.idle_ms =
        leaf == NULL ? resident.idle_unload_ms : place->now_ms - leaf->used_ms;
    resident.fixed =
        leaf_fixed(place, leaf, view, node) || refused_lately(place, leaf);
    g_array_append_val(residents, resident);
}

static GArray *
list_residents(struct place *place)
{
    GArray *residents = g_array_new(FALSE, FALSE, sizeof(struct resident));

    for (int i = 0; i < place->view_count; i++) {
        const struct target_report *report = &place->views[i]->report;

        for (int n = 0; n < report->loaded_count; n++) {
            add_resident(place, residents, place->views[i], report->loaded[n]);
        }
    }
    return residents;
}

static void
ask_owners(struct place *place, const struct eviction *eviction)
{
    for (int i = 0; i < eviction->count; i++) {
        uint64_t id = eviction->leaves[i];
        const struct node *node = tree_node_by_id(place->tree, id);
        struct leaf *victim = leaf_get(place, id, node->path);

        victim->evict_asked_ms = place->now_ms;
        send_evict(place, eviction->engine, id);
    }
}

/**
 * evict_for() - make room for a leaf that fits nowhere
 * @place: placement
 * @leaf: the leaf
 * @choice: what it needs
 */
void
evict_for(struct place *place, struct leaf *leaf, const struct choice *choice)
{
    struct eviction eviction;
    GArray *residents;

    if (leaf->evicting_ms != 0 &&
        place->now_ms - leaf->evicting_ms < EVICT_AGAIN_MS) {
        return;
    }
    residents = list_residents(place);
    if (choose_eviction(choice, place->views, place->view_count,
                        (const struct resident *)(void *)residents->data,
                        (int)residents->len, place->now_ms, &eviction)) {
        leaf->evicting_ms = place->now_ms;
        ask_owners(place, &eviction);
    }
    g_array_unref(residents);
}
