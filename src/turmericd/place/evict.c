/**
 * DOC: Eviction of idle leaves for one that fits nowhere.
 *
 * The member that needs memory selects the leaves. The owner of each leaf
 * decides about its eviction, because it knows all uses of the leaf.
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
    /* A request that was just routed appears only in a later report. */
    IDLE_MIN_MS = 3000,
    /* Reports count running requests per engine, not per leaf. On a busy
       engine any leaf used within this time may have running requests. */
    RUN_MAX_MS = 120000,
    /* Delay between evictions for a leaf, so that an unload can end first. */
    EVICT_RETRY_MS = 1000,
    /* An owner that has not unloaded the leaf by then has refused. */
    EVICT_REPLY_MAX_MS = 5000,
};

/*
 * An engine has at most as many leaves in use as requests, probably those used
 * last. A wrong estimate interrupts no request: the engine lets running
 * requests finish before it unloads a leaf.
 */
static bool
used_too_early_to_run(struct place *place, const struct leaf *leaf,
                      const struct engine_view *view)
{
    const struct target_report *report = &view->report;
    uint32_t used_later = 0;

    for (int i = 0; i < report->loaded_count; i++) {
        const struct leaf *other = leaf_find(place, report->loaded[i]);

        used_later +=
            other != NULL && other->last_used_ms > leaf->last_used_ms;
    }
    return used_later >= report->running + report->waiting;
}

static bool
may_be_running(struct place *place, const struct leaf *leaf,
               const struct engine_view *view, int64_t unload_ms)
{
    int64_t longest = unload_ms < RUN_MAX_MS ? unload_ms : RUN_MAX_MS;

    if (used_too_early_to_run(place, leaf, view)) {
        longest = longest < IDLE_MIN_MS ? longest : IDLE_MIN_MS;
    }
    return place->now_ms - leaf->last_used_ms < longest;
}

/**
 * leaf_unevictable() - whether a replica must not be evicted
 * @place: placement
 * @leaf: the leaf; NULL when this instance has no state of it
 * @view: the engine
 * @node: settings of the leaf
 */
bool
leaf_unevictable(struct place *place, const struct leaf *leaf,
                 const struct engine_view *view, const struct node *node)
{
    int64_t unload_ms = node->settings.idle_unload_s * 1000;

    if (leaf == NULL) {
        return node->settings.replicas_min > 0;
    }
    if (leaf->requested_ms != 0 || leaf->relocating ||
        may_be_running(place, leaf, view, unload_ms)) {
        return true;
    }
    if (leaf->owned && leaf->view_count > node->settings.replicas_min) {
        return false;
    }
    return node->settings.replicas_min > 0;
}

static bool
refused_recently(const struct place *place, const struct leaf *leaf)
{
    return leaf != NULL && leaf->evict_sent_ms != 0 &&
           place->now_ms - leaf->evict_sent_ms < EVICT_REPLY_MAX_MS;
}

static void
add_candidate(struct place *place, GArray *candidates,
              const struct engine_view *view, uint64_t id)
{
    const struct node *node = tree_node_by_id(place->tree, id);
    const struct leaf *leaf = leaf_find(place, id);
    struct eviction_candidate candidate = {.engine = view->report.id,
                                           .leaf = id};

    /* A leaf that is not in the tree is unloaded by its owner anyway. */
    if (node == NULL) {
        return;
    }
    candidate.base_model_id = node->base_model_id;
    candidate.mb = node->settings.memory_mb;
    candidate.priority = (int)node->settings.priority;
    candidate.idle_unload_ms = node->settings.idle_unload_s * 1000;
    candidate.idle_ms = leaf == NULL ? candidate.idle_unload_ms
                                     : place->now_ms - leaf->last_used_ms;
    candidate.unevictable = leaf_unevictable(place, leaf, view, node) ||
                            refused_recently(place, leaf);
    g_array_append_val(candidates, candidate);
}

static GArray *
list_candidates(struct place *place)
{
    GArray *candidates =
        g_array_new(FALSE, FALSE, sizeof(struct eviction_candidate));

    for (int i = 0; i < place->engine_view_count; i++) {
        const struct target_report *report = &place->engine_views[i]->report;

        for (int n = 0; n < report->loaded_count; n++) {
            add_candidate(place, candidates, place->engine_views[i],
                          report->loaded[n]);
        }
    }
    return candidates;
}

static void
request_evictions(struct place *place, const struct eviction *eviction)
{
    for (int i = 0; i < eviction->count; i++) {
        uint64_t id = eviction->leaves[i];
        const struct node *node = tree_node_by_id(place->tree, id);
        struct leaf *evicted = leaf_get(place, id, node->path);

        evicted->evict_sent_ms = place->now_ms;
        send_evict(place, eviction->engine, id);
    }
}

/**
 * evict_for_leaf() - request evictions for a leaf that fits nowhere
 * @place: placement
 * @leaf: the leaf
 * @required: what the leaf needs
 */
void
evict_for_leaf(struct place *place, struct leaf *leaf,
               const struct engine_requirements *required)
{
    struct eviction eviction;
    GArray *candidates;

    if (leaf->eviction_requested_ms != 0 &&
        place->now_ms - leaf->eviction_requested_ms < EVICT_RETRY_MS) {
        return;
    }
    candidates = list_candidates(place);
    if (choose_eviction(
            required, place->engine_views, place->engine_view_count,
            (const struct eviction_candidate *)(void *)candidates->data,
            (int)candidates->len, place->now_ms, &eviction)) {
        leaf->eviction_requested_ms = place->now_ms;
        request_evictions(place, &eviction);
    }
    g_array_unref(candidates);
}
