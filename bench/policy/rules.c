/*
 * Decisions of a leaf's owner, made by the production functions, and the
 * policies under comparison.
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
#include "bench/policy/dat.h"
#include "bench/policy/fns.h"

enum {
    RETRY_MS = 100,
    EVICTION_RETRY_MS = 1000,
    BASE_WANTED_MS = 1000,
    /* PRELOAD_AROUND_BURST keeps models loaded from this long before the
       start of the burst until this long after it. */
    PRELOAD_MARGIN_MS = 300 * 1000,
    /* Running calls per replica above which the owner adds a replica. */
    SCALE_OUT_CALLS = 8,
};

static void
clear_caches(struct engine_view *view, int64_t mb, bool evicting)
{
    (void)mb;
    (void)evicting;
    view->report.cached_memory_count = 0;
    view->report.cached_disk_count = 0;
}

/* Adjusts the reported memory so that the engine with the least sufficient
   free memory ranks as the one with the most. */
static void
prefer_best_fit(struct engine_view *view, int64_t mb, bool evicting)
{
    int64_t free_mb = engine_free_mb(view, 0);

    if (!evicting && free_mb >= mb) {
        view->report.memory_mb += (uint32_t)(INT32_MAX / 2 - 2 * free_mb);
    }
}

/* Makes the rank by idle time the only eviction criterion. */
static void
rank_by_last_use(struct eviction_candidate *candidates, int count)
{
    int *ranks = g_new0(int, count + 1);

    for (int i = 0; i < count; i++) {
        for (int j = 0; j < count; j++) {
            ranks[i] += candidates[j].idle_ms > candidates[i].idle_ms;
        }
    }
    for (int i = 0; i < count; i++) {
        candidates[i].priority = ranks[i];
        candidates[i].idle_unload_ms = INT64_MAX;
    }
    g_free(ranks);
}

static int
ignore_priority(int priority)
{
    (void)priority;
    return 0;
}

static const struct policy_ops current_ops = {NULL, NULL, NULL};
static const struct policy_ops last_use_ops = {NULL, rank_by_last_use, NULL};
static const struct policy_ops no_caches_ops = {clear_caches, NULL, NULL};
static const struct policy_ops arrival_order_ops = {NULL, NULL,
                                                    ignore_priority};
static const struct policy_ops best_fit_ops = {prefer_best_fit, NULL, NULL};

const struct policy policies[] = {
    {&current_ops, "present", 0, PRELOAD_NONE, 0, false, false},
    {&last_use_ops, "evict-last-use", 0, PRELOAD_NONE, 0, false, false},
    {&no_caches_ops, "no-caches", 0, PRELOAD_NONE, 0, false, false},
    {&arrival_order_ops, "turns-by-arrival", 0, PRELOAD_NONE, 0, false, false},
    {&current_ops, "idle-unload-300", 300, PRELOAD_NONE, 0, false, false},
    {&current_ops, "idle-unload-600", 600, PRELOAD_NONE, 0, false, false},
    {&current_ops, "idle-unload-1800", 1800, PRELOAD_NONE, 0, false, false},
    {&current_ops, "min-all-day", 0, PRELOAD_ALL_DAY, 0, false, false},
    {&current_ops, "min-before-dawn", 0, PRELOAD_AROUND_BURST, 0, false,
     false},
    {&current_ops, "spread-replicas", 0, PRELOAD_NONE, 0, true, false},
    {&best_fit_ops, "best-fit", 0, PRELOAD_NONE, 0, false, false},
    {&current_ops, "busy-120s", 0, PRELOAD_NONE, 120000, false, false},
    {&current_ops, "busy-30s", 0, PRELOAD_NONE, 30000, false, false},
    {&current_ops, "busy-10s", 0, PRELOAD_NONE, 10000, false, false},
    {&current_ops, "all-uses-known", 0, PRELOAD_NONE, 0, false, true},
};
const int policy_count = (int)G_N_ELEMENTS(policies);

/* Fills view_pointers with the views as the policy adjusts them. Returns the
   adjusted copies, to be released with g_free(), or NULL without copies. */
static struct engine_view *
adjusted_views(struct sim *sim, struct engine_view **view_pointers, int64_t mb,
               bool evicting)
{
    struct engine_view *views = sim->views;

    if (sim->policy->ops->adjust_view != NULL) {
        views = g_memdup2(sim->views, sizeof(sim->views));
    }
    for (int i = 0; i < ENGINES; i++) {
        view_pointers[i] = &views[i];
        if (sim->policy->ops->adjust_view != NULL) {
            sim->policy->ops->adjust_view(&views[i], mb, evicting);
        }
    }
    return views == sim->views ? NULL : views;
}

static int64_t
effective_replicas_min(const struct sim *sim, int leaf_index)
{
    int64_t since_burst_ms = sim->now_ms - sim->scenario->burst_start_ms;

    if (leaf_index == 0 && sim->scenario->hot_replicas_min > 0) {
        return sim->scenario->hot_replicas_min;
    }
    if (sim->policy->preload == PRELOAD_NONE ||
        !sim->day->used_day_before[leaf_index]) {
        return 0;
    }
    return sim->policy->preload == PRELOAD_ALL_DAY ||
           (since_burst_ms >= -PRELOAD_MARGIN_MS &&
            since_burst_ms <= PRELOAD_MARGIN_MS);
}

static void
fill_slots(const struct sim_leaf *leaf, struct slot_status *slots)
{
    memset(slots, 0, sizeof(*slots) * REPLICAS_MAX);
    for (int i = 0; i < leaf->replica_count; i++) {
        slots[i].engine_state = ENGINE_LIVE;
        slots[i].has_item = true;
        slots[i].state = ITEM_LOADED;
    }
}

static struct leaf_status
sim_leaf_status(const struct sim *sim, int leaf_index)
{
    const struct sim_leaf *leaf = &sim->leaves[leaf_index];
    const struct node_settings *settings = &leaf->node.settings;

    return (struct leaf_status){
        .replicas_max = settings->replicas_max,
        .replicas_min = settings->replicas_min,
        .requested = leaf->waiting > 0 ||
                     sim->now_ms<leaf->base_wanted_until_ms,
                                 .scale_out = leaf->replica_count> 0 &&
                         leaf->running > SCALE_OUT_CALLS * leaf->replica_count,
        .idle = leaf->running == 0 && sim->now_ms - leaf->leaf.last_used_ms >=
                                          settings->idle_unload_s * 1000,
    };
}

/* The owner doesn't know which calls have ended, so it decides by the last
   use. */
static bool
is_unevictable(struct sim *sim, const struct sim_leaf *leaf,
               const struct engine_view *view)
{
    int64_t busy_ms = sim->policy->busy_protect_ms;
    struct engine_view idle_view;

    if (sim->now_ms < leaf->base_wanted_until_ms) {
        return true;
    }
    sim->place.leaves = sim->known_leaves[sim->policy->share_last_use
                                              ? OWNERS
                                              : (leaf - sim->leaves) % OWNERS];
    if (busy_ms == 0) {
        return leaf_unevictable(&sim->place, &leaf->leaf, view, &leaf->node);
    }
    if (view->report.running > 0 &&
        sim->now_ms - leaf->leaf.last_used_ms < busy_ms) {
        return true;
    }
    idle_view = *view;
    idle_view.report.running = 0;
    return leaf_unevictable(&sim->place, &leaf->leaf, &idle_view, &leaf->node);
}

static void
add_candidate(struct sim *sim, GArray *candidates, int leaf_index,
              int replica_index)
{
    const struct sim_leaf *leaf = &sim->leaves[leaf_index];
    const struct engine_view *view =
        &sim->views[leaf->replicas[replica_index].engine];
    const struct node_settings *settings = &leaf->node.settings;
    struct eviction_candidate candidate = {
        .engine = view->report.id,
        .leaf = leaf->node.id,
        .base_model_id = leaf->node.base_model_id,
        .mb = settings->memory_mb,
        .priority = (int)settings->priority,
        .idle_ms = sim->now_ms - leaf->leaf.last_used_ms,
        .idle_unload_ms = settings->idle_unload_s * 1000,
    };

    candidate.unevictable = is_unevictable(sim, leaf, view);
    g_array_append_val(candidates, candidate);
}

/* Asks the owner of the leaf to evict the replica; the owner may refuse. */
static void
evict_replica(struct sim *sim, uint64_t engine, uint64_t id)
{
    for (int leaf_index = 0; leaf_index < sim->leaf_count; leaf_index++) {
        struct sim_leaf *leaf = &sim->leaves[leaf_index];
        struct slot_status slots[REPLICAS_MAX];

        for (int i = 0; leaf->node.id == id && i < leaf->replica_count; i++) {
            struct leaf_status status = sim_leaf_status(sim, leaf_index);
            struct leaf_action action;

            fill_slots(leaf, slots);
            slots[i].evict_requested = true;
            action = leaf_next_action(&status, slots, leaf->replica_count);
            if (sim->views[leaf->replicas[i].engine].report.id == engine &&
                leaf->replicas[i].state == REPLICA_LOADED &&
                action.kind == ACTION_UNLOAD && action.slot == i) {
                replica_start_unload(sim, leaf_index, i);
            }
        }
    }
}

static void
request_evictions(struct sim *sim, struct sim_leaf *leaf,
                  const struct engine_requirements *requirements)
{
    GArray *candidates =
        g_array_new(FALSE, FALSE, sizeof(struct eviction_candidate));
    struct engine_view *view_pointers[ENGINES];
    struct engine_view *copies =
        adjusted_views(sim, view_pointers, requirements->mb, true);
    struct eviction eviction;

    for (int i = 0; i < sim->leaf_count; i++) {
        for (int n = 0; n < sim->leaves[i].replica_count; n++) {
            if (sim->leaves[i].replicas[n].state == REPLICA_LOADED) {
                add_candidate(sim, candidates, i, n);
            }
        }
    }
    if (sim->policy->ops->adjust_candidates != NULL) {
        sim->policy->ops->adjust_candidates(
            (struct eviction_candidate *)(void *)candidates->data,
            (int)candidates->len);
    }
    if (choose_eviction(
            requirements, view_pointers, ENGINES,
            (const struct eviction_candidate *)(void *)candidates->data,
            (int)candidates->len, sim->now_ms, &eviction)) {
        leaf->leaf.eviction_requested_ms = sim->now_ms;
        for (int i = 0; i < eviction.count; i++) {
            evict_replica(sim, eviction.engine, eviction.leaves[i]);
        }
    }
    g_free(copies);
    g_array_unref(candidates);
}

static void
request_permit(struct sim *sim, const struct sim_leaf *leaf)
{
    int priority = (int)leaf->node.settings.priority;
    struct load_permit permit = {
        .token = leaf->leaf.permit_token,
        .leaf = leaf->node.id,
        .priority = priority,
        .adapter = leaf->base_model >= 0,
    };

    if (sim->policy->ops->permit_priority != NULL) {
        permit.priority = sim->policy->ops->permit_priority(priority);
    }
    load_permits_request(&sim->load_permits, &permit, sim->now_ms, NULL);
}

/* Returns the index of an engine in a data centre without a replica of the
   leaf, or -1 if there is none. */
static int
choose_other_data_centre(const struct sim *sim, const struct sim_leaf *leaf,
                         struct engine_requirements requirements,
                         struct engine_view **views)
{
    uint64_t excluded[ENGINES];
    int data_centres = sim->scenario->data_centres;
    int count = 0;

    if (!sim->policy->spread_replicas || leaf->replica_count == 0) {
        return -1;
    }
    for (int engine = 0; engine < ENGINES; engine++) {
        for (int i = 0; i < leaf->replica_count; i++) {
            if (engine % data_centres ==
                leaf->replicas[i].engine % data_centres) {
                excluded[count++] = sim->views[engine].report.id;
                break;
            }
        }
    }
    requirements.excluded = excluded;
    requirements.excluded_count = count;
    return choose_engine(&requirements, views, ENGINES, sim->now_ms, NULL);
}

static void
start_load(struct sim *sim, int leaf_index)
{
    struct sim_leaf *leaf = &sim->leaves[leaf_index];
    struct engine_view *view_pointers[ENGINES];
    struct engine_view *copies;
    uint64_t excluded[REPLICAS_MAX];
    struct err err = {0};
    struct engine_requirements requirements = {
        .leaf = leaf->node.id,
        .service = "s",
        .data_centre = "",
        .mb = leaf->node.settings.memory_mb,
        .base_model_id = leaf->node.base_model_id,
        .excluded = excluded,
        .excluded_count = leaf->replica_count,
    };
    int engine;

    if (leaf->base_model >= 0 &&
        replica_find_ready(sim, leaf->base_model) < 0) {
        sim->leaves[leaf->base_model].base_wanted_until_ms =
            sim->now_ms + BASE_WANTED_MS;
        return;
    }
    for (int i = 0; i < leaf->replica_count; i++) {
        excluded[i] = sim->views[leaf->replicas[i].engine].report.id;
    }
    copies = adjusted_views(sim, view_pointers, requirements.mb, false);
    engine = choose_other_data_centre(sim, leaf, requirements, view_pointers);
    if (engine < 0) {
        engine = choose_engine(&requirements, view_pointers, ENGINES,
                               sim->now_ms, &err);
    }
    g_free(copies);
    if (engine < 0) {
        load_permits_release(&sim->load_permits, leaf->leaf.permit_token);
        leaf->leaf.permit_granted = false;
        leaf->leaf.retry_at_ms = sim->now_ms + RETRY_MS;
        if (err.kind == ERR_MEMORY_FULL &&
            sim->now_ms - leaf->leaf.eviction_requested_ms >=
                EVICTION_RETRY_MS) {
            request_evictions(sim, leaf, &requirements);
        }
        return;
    }
    if (weights_source_of(&sim->views[engine].report, leaf->node.id) ==
            WEIGHTS_IN_STORE &&
        !leaf->leaf.permit_granted) {
        request_permit(sim, leaf);
        return;
    }
    replica_start_load(sim, leaf_index, engine);
}

/* Renews the permit while its load runs; releases it when not needed. */
static void
refresh_permit(struct sim *sim, struct sim_leaf *leaf, bool needed)
{
    if (needed && leaf->leaf.permit_granted) {
        request_permit(sim, leaf);
    }
    if (!needed) {
        load_permits_release(&sim->load_permits, leaf->leaf.permit_token);
        leaf->leaf.permit_granted = false;
    }
}

static bool
has_transition(const struct sim_leaf *leaf)
{
    for (int i = 0; i < leaf->replica_count; i++) {
        if (leaf->replicas[i].state != REPLICA_LOADED) {
            return true;
        }
    }
    return false;
}

/**
 * rules_decide() - choose and start the owner's next action for a leaf
 * @sim: simulation
 * @leaf_index: index of the leaf
 */
void
rules_decide(struct sim *sim, int leaf_index)
{
    struct sim_leaf *leaf = &sim->leaves[leaf_index];
    struct slot_status slots[REPLICAS_MAX];
    struct leaf_status status;
    struct leaf_action action;

    leaf->node.settings.replicas_min = effective_replicas_min(sim, leaf_index);
    leaf->leaf.requested_ms = leaf->waiting > 0 ? sim->now_ms : 0;
    if (has_transition(leaf)) {
        refresh_permit(sim, leaf, true);
        return;
    }
    status = sim_leaf_status(sim, leaf_index);
    fill_slots(leaf, slots);
    action = leaf_next_action(&status, slots, leaf->replica_count);
    refresh_permit(sim, leaf, action.kind == ACTION_LOAD);
    if (action.kind == ACTION_LOAD && sim->now_ms >= leaf->leaf.retry_at_ms) {
        start_load(sim, leaf_index);
    }
    if (action.kind == ACTION_UNLOAD) {
        replica_start_unload(sim, leaf_index, action.slot);
    }
}
