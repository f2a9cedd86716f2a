/*
 * What the owner of a leaf does, with the real decision functions, and the
 * policies that are compared.
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
    EVICT_AGAIN_MS = 1000,
    BASE_WANTED_MS = 1000,
    /* Kept from this long before the burst until this long after its start. */
    KEEP_AROUND_MS = 300 * 1000,
    /* Running calls per replica above which another one is wanted. */
    BUSY_CALLS = 8,
};

static void
without_caches(struct engine_view *view, int64_t mb, bool evicting)
{
    (void)mb;
    (void)evicting;
    view->report.cached_memory_count = 0;
    view->report.cached_disk_count = 0;
}

/* Makes the least free memory that suffices look like the most. */
static void
best_fit(struct engine_view *view, int64_t mb, bool evicting)
{
    int64_t free_mb = engine_free_mb(view, 0);

    if (!evicting && free_mb >= mb) {
        view->report.memory_mb += (uint32_t)(INT32_MAX / 2 - 2 * free_mb);
    }
}

/* Makes the rank by idle time the only thing that counts. */
static void
by_last_use(struct eviction_candidate *residents, int count)
{
    int *ranks = g_new0(int, count + 1);

    for (int i = 0; i < count; i++) {
        for (int j = 0; j < count; j++) {
            ranks[i] += residents[j].idle_ms > residents[i].idle_ms;
        }
    }
    for (int i = 0; i < count; i++) {
        residents[i].priority = ranks[i];
        residents[i].idle_unload_ms = INT64_MAX;
    }
    g_free(ranks);
}

static int
same_priority(int priority)
{
    (void)priority;
    return 0;
}

static const struct policy_ops present = {NULL, NULL, NULL};
static const struct policy_ops last_use = {NULL, by_last_use, NULL};
static const struct policy_ops no_caches = {without_caches, NULL, NULL};
static const struct policy_ops arrival = {NULL, NULL, same_priority};
static const struct policy_ops fit = {best_fit, NULL, NULL};

const struct policy policies[] = {
    {&present, "present", 0, KEEP_NONE, 0, false, false},
    {&last_use, "evict-last-use", 0, KEEP_NONE, 0, false, false},
    {&no_caches, "no-caches", 0, KEEP_NONE, 0, false, false},
    {&arrival, "turns-by-arrival", 0, KEEP_NONE, 0, false, false},
    {&present, "idle-unload-300", 300, KEEP_NONE, 0, false, false},
    {&present, "idle-unload-600", 600, KEEP_NONE, 0, false, false},
    {&present, "idle-unload-1800", 1800, KEEP_NONE, 0, false, false},
    {&present, "min-all-day", 0, KEEP_ALWAYS, 0, false, false},
    {&present, "min-before-dawn", 0, KEEP_BEFORE, 0, false, false},
    {&present, "spread-replicas", 0, KEEP_NONE, 0, true, false},
    {&fit, "best-fit", 0, KEEP_NONE, 0, false, false},
    {&present, "busy-120s", 0, KEEP_NONE, 120000, false, false},
    {&present, "busy-30s", 0, KEEP_NONE, 30000, false, false},
    {&present, "busy-10s", 0, KEEP_NONE, 10000, false, false},
    {&present, "all-uses-known", 0, KEEP_NONE, 0, false, true},
};
const int policy_count = (int)G_N_ELEMENTS(policies);

static struct engine_view *
seen_by(struct sim *sim, struct engine_view **pointers, int64_t mb,
        bool evicting)
{
    struct engine_view *views = sim->views;

    if (sim->policy->ops->view != NULL) {
        views = g_memdup2(sim->views, sizeof(sim->views));
    }
    for (int i = 0; i < ENGINES; i++) {
        pointers[i] = &views[i];
        if (sim->policy->ops->view != NULL) {
            sim->policy->ops->view(&views[i], mb, evicting);
        }
    }
    return views == sim->views ? NULL : views;
}

static int64_t
kept(const struct sim *sim, int leaf)
{
    int64_t away_ms = sim->now_ms - sim->scenario->dawn_ms;

    if (leaf == 0 && sim->scenario->hot_min > 0) {
        return sim->scenario->hot_min;
    }
    if (sim->policy->keep == KEEP_NONE || !sim->day->before[leaf]) {
        return 0;
    }
    return sim->policy->keep == KEEP_ALWAYS ||
           (away_ms >= -KEEP_AROUND_MS && away_ms <= KEEP_AROUND_MS);
}

static void
fill_slots(const struct sim_leaf *leaf, struct slot_status *slots)
{
    memset(slots, 0, sizeof(*slots) * REPLICAS_MAX);
    for (int i = 0; i < leaf->count; i++) {
        slots[i].engine_state = ENGINE_LIVE;
        slots[i].has_item = true;
        slots[i].state = ITEM_LOADED;
    }
}

static struct leaf_status
facts_of(const struct sim *sim, int leaf)
{
    const struct sim_leaf *about = &sim->leaves[leaf];
    const struct node_settings *settings = &about->node.settings;

    return (struct leaf_status){
        .replicas_max = settings->replicas_max,
        .replicas_min = settings->replicas_min,
        .requested =
            about->waiting > 0 ||
            sim->now_ms<about->base_until_ms, .scale_out = about->count> 0 &&
                about->running > BUSY_CALLS * about->count,
        .idle =
            about->running == 0 && sim->now_ms - about->leaf.last_used_ms >=
                                       settings->idle_unload_s * 1000,
    };
}

/* The owner doesn't know which calls have ended, so it goes by the last use.
 */
static bool
must_stay(struct sim *sim, const struct sim_leaf *leaf,
          const struct engine_view *view)
{
    int64_t busy_ms = sim->policy->busy_ms;
    struct engine_view calm;

    if (sim->now_ms < leaf->base_until_ms) {
        return true;
    }
    sim->place.leaves =
        sim->known[sim->policy->all_known ? OWNERS
                                          : (leaf - sim->leaves) % OWNERS];
    if (busy_ms == 0) {
        return leaf_unevictable(&sim->place, &leaf->leaf, view, &leaf->node);
    }
    if (view->report.running > 0 &&
        sim->now_ms - leaf->leaf.last_used_ms < busy_ms) {
        return true;
    }
    calm = *view;
    calm.report.running = 0;
    return leaf_unevictable(&sim->place, &leaf->leaf, &calm, &leaf->node);
}

static void
add_resident(struct sim *sim, GArray *residents, int leaf, int replica)
{
    const struct sim_leaf *about = &sim->leaves[leaf];
    const struct engine_view *view =
        &sim->views[about->replicas[replica].engine];
    const struct node_settings *settings = &about->node.settings;
    struct eviction_candidate resident = {
        .engine = view->report.id,
        .leaf = about->node.id,
        .base_model_id = about->node.base_model_id,
        .mb = settings->memory_mb,
        .priority = (int)settings->priority,
        .idle_ms = sim->now_ms - about->leaf.last_used_ms,
        .idle_unload_ms = settings->idle_unload_s * 1000,
    };

    resident.unevictable = must_stay(sim, about, view);
    g_array_append_val(residents, resident);
}

/* The owner of a leaf decides about its eviction. */
static void
evict_replica(struct sim *sim, uint64_t engine, uint64_t id)
{
    for (int leaf = 0; leaf < sim->leaf_count; leaf++) {
        struct sim_leaf *about = &sim->leaves[leaf];
        struct slot_status slots[REPLICAS_MAX];

        for (int i = 0; about->node.id == id && i < about->count; i++) {
            struct leaf_status facts = facts_of(sim, leaf);
            struct leaf_action step;

            fill_slots(about, slots);
            slots[i].evict_requested = true;
            step = leaf_next_action(&facts, slots, about->count);
            if (sim->views[about->replicas[i].engine].report.id == engine &&
                about->replicas[i].state == REPLICA_LOADED &&
                step.kind == ACTION_UNLOAD && step.slot == i) {
                replica_unload(sim, leaf, i);
            }
        }
    }
}

static void
make_room(struct sim *sim, struct sim_leaf *leaf,
          const struct engine_requirements *choice)
{
    GArray *residents =
        g_array_new(FALSE, FALSE, sizeof(struct eviction_candidate));
    struct engine_view *pointers[ENGINES];
    struct engine_view *copies = seen_by(sim, pointers, choice->mb, true);
    struct eviction eviction;

    for (int i = 0; i < sim->leaf_count; i++) {
        for (int n = 0; n < sim->leaves[i].count; n++) {
            if (sim->leaves[i].replicas[n].state == REPLICA_LOADED) {
                add_resident(sim, residents, i, n);
            }
        }
    }
    if (sim->policy->ops->residents != NULL) {
        sim->policy->ops->residents(
            (struct eviction_candidate *)(void *)residents->data,
            (int)residents->len);
    }
    if (choose_eviction(
            choice, pointers, ENGINES,
            (const struct eviction_candidate *)(void *)residents->data,
            (int)residents->len, sim->now_ms, &eviction)) {
        leaf->leaf.eviction_requested_ms = sim->now_ms;
        for (int i = 0; i < eviction.count; i++) {
            evict_replica(sim, eviction.engine, eviction.leaves[i]);
        }
    }
    g_free(copies);
    g_array_unref(residents);
}

static void
ask_turn(struct sim *sim, const struct sim_leaf *leaf)
{
    int priority = (int)leaf->node.settings.priority;
    struct load_permit ask = {
        .token = leaf->leaf.permit_token,
        .leaf = leaf->node.id,
        .priority = priority,
        .adapter = leaf->base >= 0,
    };

    if (sim->policy->ops->priority != NULL) {
        ask.priority = sim->policy->ops->priority(priority);
    }
    load_permits_request(&sim->turns, &ask, sim->now_ms, NULL);
}

/* An engine in a data centre that has no replica yet, -1 without one. */
static int
choose_apart(const struct sim *sim, const struct sim_leaf *leaf,
             struct engine_requirements choice, struct engine_view **views)
{
    uint64_t skip[ENGINES];
    int groups = sim->scenario->data_centres;
    int count = 0;

    if (!sim->policy->spread || leaf->count == 0) {
        return -1;
    }
    for (int engine = 0; engine < ENGINES; engine++) {
        for (int i = 0; i < leaf->count; i++) {
            if (engine % groups == leaf->replicas[i].engine % groups) {
                skip[count++] = sim->views[engine].report.id;
                break;
            }
        }
    }
    choice.excluded = skip;
    choice.excluded_count = count;
    return choose_engine(&choice, views, ENGINES, sim->now_ms, NULL);
}

static void
start_load(struct sim *sim, int leaf)
{
    struct sim_leaf *about = &sim->leaves[leaf];
    struct engine_view *pointers[ENGINES];
    struct engine_view *copies;
    uint64_t skip[REPLICAS_MAX];
    struct err err = {0};
    struct engine_requirements choice = {
        .leaf = about->node.id,
        .service = "s",
        .data_centre = "",
        .mb = about->node.settings.memory_mb,
        .base_model_id = about->node.base_model_id,
        .excluded = skip,
        .excluded_count = about->count,
    };
    int engine;

    if (about->base >= 0 && replica_ready(sim, about->base) < 0) {
        sim->leaves[about->base].base_until_ms = sim->now_ms + BASE_WANTED_MS;
        return;
    }
    for (int i = 0; i < about->count; i++) {
        skip[i] = sim->views[about->replicas[i].engine].report.id;
    }
    copies = seen_by(sim, pointers, choice.mb, false);
    engine = choose_apart(sim, about, choice, pointers);
    if (engine < 0) {
        engine = choose_engine(&choice, pointers, ENGINES, sim->now_ms, &err);
    }
    g_free(copies);
    if (engine < 0) {
        load_permits_release(&sim->turns, about->leaf.permit_token);
        about->leaf.permit_granted = false;
        about->leaf.retry_at_ms = sim->now_ms + RETRY_MS;
        if (err.kind == ERR_MEMORY_FULL &&
            sim->now_ms - about->leaf.eviction_requested_ms >=
                EVICT_AGAIN_MS) {
            make_room(sim, about, &choice);
        }
        return;
    }
    if (weights_source_of(&sim->views[engine].report, about->node.id) ==
            WEIGHTS_IN_STORE &&
        !about->leaf.permit_granted) {
        ask_turn(sim, about);
        return;
    }
    replica_add(sim, leaf, engine);
}

/* A turn is kept while its load goes on, and given back when not needed. */
static void
refresh_turn(struct sim *sim, struct sim_leaf *leaf, bool needed)
{
    if (needed && leaf->leaf.permit_granted) {
        ask_turn(sim, leaf);
    }
    if (!needed) {
        load_permits_release(&sim->turns, leaf->leaf.permit_token);
        leaf->leaf.permit_granted = false;
    }
}

static bool
changing(const struct sim_leaf *leaf)
{
    for (int i = 0; i < leaf->count; i++) {
        if (leaf->replicas[i].state != REPLICA_LOADED) {
            return true;
        }
    }
    return false;
}

/**
 * rules_decide() - next step of the owner for a leaf
 * @sim: the day
 * @leaf: index of the leaf
 */
void
rules_decide(struct sim *sim, int leaf)
{
    struct sim_leaf *about = &sim->leaves[leaf];
    struct slot_status slots[REPLICAS_MAX];
    struct leaf_status facts;
    struct leaf_action step;

    about->node.settings.replicas_min = kept(sim, leaf);
    about->leaf.requested_ms = about->waiting > 0 ? sim->now_ms : 0;
    if (changing(about)) {
        refresh_turn(sim, about, true);
        return;
    }
    facts = facts_of(sim, leaf);
    fill_slots(about, slots);
    step = leaf_next_action(&facts, slots, about->count);
    refresh_turn(sim, about, step.kind == ACTION_LOAD);
    if (step.kind == ACTION_LOAD && sim->now_ms >= about->leaf.retry_at_ms) {
        start_load(sim, leaf);
    }
    if (step.kind == ACTION_UNLOAD) {
        replica_unload(sim, leaf, step.slot);
    }
}
