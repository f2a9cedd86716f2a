/*
 * Simulates the engines, their caches and the weight store.
 *
 * A load takes time in proportion to the model's memory. From the store, four
 * concurrent loads reach the store's rate, and more share it. From an engine's
 * disk a load takes half that time, and the loads of the engine share the
 * disk; from the engine's memory it takes a tenth.
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
    STORE_FULL_SPEED_LOADS = 4,
    STORE_FULL_SPEED_ADAPTERS = 30,
    ADAPTER_LOAD_MS = 8,
    MODEL_MB = 2048,
    ADAPTER_MB = 64,
    /* Room for five models of the default size and eight adapters. */
    ENGINE_MB = 5 * MODEL_MB + 8 * ADAPTER_MB,
    MEMORY_CACHE_MODELS = 2,
    DISK_CACHE_MODELS = 8,
    DISK_DIVISOR = 2,
    MEMORY_DIVISOR = 10,
    UNLOAD_MS = 100,
};

static void
cache_add(uint64_t *ids, uint16_t *count, int max, uint64_t id)
{
    int position = 0;

    while (position < *count && ids[position] != id) {
        position++;
    }
    if (position == *count && *count < max) {
        (*count)++;
    }
    else if (position == *count) {
        position = max - 1;
    }
    memmove(&ids[1], &ids[0], sizeof(ids[0]) * (size_t)position);
    ids[0] = id;
}

static void
init_leaf(struct sim *sim, int index)
{
    const struct scenario *scenario = sim->scenario;
    struct sim_leaf *leaf = &sim->leaves[index];
    struct node *node = &leaf->node;
    struct node_settings *settings = &node->settings;
    int model = index < MODELS ? index : (index - MODELS) % 5;

    leaf->base_model = index < MODELS ? -1 : model;
    g_snprintf(node->path, sizeof(node->path), "/s/leaf-%d", index);
    g_strlcpy(node->service, "s", sizeof(node->service));
    node->id = hash_text(node->path);
    node->base_model_id =
        leaf->base_model < 0 ? 0 : sim->leaves[model].node.id;
    settings->enabled = true;
    settings->replicas_max = model == 0 ? 4 : scenario->replicas_max;
    settings->memory_mb = leaf->base_model >= 0 ? ADAPTER_MB
                          : model % 5 == 4      ? MODEL_MB * 2
                          : model % 5 == 3      ? MODEL_MB / 2
                                                : MODEL_MB;
    settings->idle_unload_s = sim->policy->idle_unload_s != 0
                                  ? sim->policy->idle_unload_s
                                  : scenario->idle_unload_s;
    settings->priority = model == 0 ? 9 : 5;
    settings->wait_max_ms = scenario->wait_max_ms;
    if (model >= 1 && model <= 3) {
        settings->priority = scenario->job_priority;
        settings->wait_max_ms = scenario->job_wait_max_ms;
    }
    leaf->leaf.id = node->id;
    leaf->leaf.owned = true;
    leaf->leaf.permit_token = (uint64_t)index + 1;
    leaf->leaf.last_used_ms = -DAY_MS;
}

static void
init_engine(struct sim *sim, int index, GRand *rand)
{
    struct target_report *report = &sim->views[index].report;
    /* Disk caches are filled unevenly, from nearly empty to full. */
    int cached = g_rand_int_range(rand, 1, DISK_CACHE_MODELS + 1);

    g_snprintf(report->name, sizeof(report->name), "engine-%d", index);
    report->id = hash_text(report->name);
    g_strlcpy(report->service, "s", sizeof(report->service));
    g_snprintf(report->data_centre, sizeof(report->data_centre), "dc-%d",
               index % sim->scenario->data_centres);
    report->kind = TARGET_ENGINE;
    report->state = TARGET_LIVE;
    report->memory_mb = ENGINE_MB;
    for (int i = 0; i < cached; i++) {
        int model = g_rand_int_range(rand, 0, MODELS);

        cache_add(report->cached_disk, &report->cached_disk_count,
                  DISK_CACHE_MODELS, sim->leaves[model].node.id);
    }
}

/**
 * fleet_init() - set up leaves, and engines with partly filled disk caches
 * @sim: zeroed except for the scenario and the policy
 */
void
fleet_init(struct sim *sim)
{
    GRand *rand = g_rand_new_with_seed(1);

    sim->leaf_count = MODELS + sim->scenario->adapters;
    for (int i = 0; i <= OWNERS; i++) {
        sim->known_leaves[i] = g_hash_table_new(g_int64_hash, g_int64_equal);
    }
    for (int i = 0; i < sim->leaf_count; i++) {
        struct leaf *leaf = &sim->leaves[i].leaf;

        init_leaf(sim, i);
        g_hash_table_insert(sim->known_leaves[i % OWNERS], &leaf->id, leaf);
        g_hash_table_insert(sim->known_leaves[OWNERS], &leaf->id, leaf);
    }
    for (int i = 0; i < ENGINES; i++) {
        init_engine(sim, i, rand);
    }
    g_rand_free(rand);
}

static double
load_ms(const struct sim *sim, const struct sim_leaf *leaf,
        enum weights_source source)
{
    double store_ms = (double)STORE_FULL_SPEED_LOADS * 1000.0 /
                      (double)sim->scenario->store_loads_per_s *
                      (double)leaf->node.settings.memory_mb / MODEL_MB;

    if (leaf->base_model >= 0) {
        return ADAPTER_LOAD_MS;
    }
    switch (source) {
    case WEIGHTS_IN_MEMORY:
        return store_ms / MEMORY_DIVISOR;
    case WEIGHTS_ON_DISK:
        return store_ms / DISK_DIVISOR;
    default:
        return store_ms;
    }
}

/**
 * leaf_idle_mb() - memory of a leaf's loaded replicas, in MB; 0 while it runs
 * calls
 * @leaf: leaf
 */
int64_t
leaf_idle_mb(const struct sim_leaf *leaf)
{
    int64_t mb = 0;

    for (int i = 0; i < leaf->replica_count && leaf->running == 0; i++) {
        if (leaf->replicas[i].state == REPLICA_LOADED) {
            mb += leaf->node.settings.memory_mb;
        }
    }
    return mb;
}

/**
 * replica_find_ready() - index of the loaded replica whose engine has the
 * fewest running requests, or -1
 * @sim: simulation
 * @leaf_index: index of the leaf
 */
int
replica_find_ready(const struct sim *sim, int leaf_index)
{
    const struct sim_leaf *leaf = &sim->leaves[leaf_index];
    int best = -1;

    for (int i = 0; i < leaf->replica_count; i++) {
        const struct replica *replica = &leaf->replicas[i];

        if (replica->state == REPLICA_LOADED &&
            (best < 0 ||
             sim->views[replica->engine].report.running <
                 sim->views[leaf->replicas[best].engine].report.running)) {
            best = i;
        }
    }
    return best;
}

/**
 * replica_start_load() - add a replica that is loading
 * @sim: simulation
 * @leaf_index: index of the leaf
 * @engine: index of the engine
 */
void
replica_start_load(struct sim *sim, int leaf_index, int engine)
{
    struct sim_leaf *leaf = &sim->leaves[leaf_index];
    struct target_report *report = &sim->views[engine].report;
    struct replica *replica = &leaf->replicas[leaf->replica_count++];

    replica->engine = engine;
    replica->state = REPLICA_LOADING;
    replica->source = weights_source_of(report, leaf->node.id);
    replica->remaining_ms = load_ms(sim, leaf, replica->source);
    leaf->leaf.view_count = leaf->replica_count;
    report->used_mb += (uint32_t)leaf->node.settings.memory_mb;
    sim->store_loads +=
        replica->source == WEIGHTS_IN_STORE && leaf->base_model < 0;
    sim->transitions++;
    if (report->used_mb > report->memory_mb ||
        leaf->replica_count > leaf->node.settings.replicas_max) {
        sim->limit_violations++;
    }
}

/**
 * replica_start_unload() - start to unload a loaded replica
 * @sim: simulation
 * @leaf_index: index of the leaf
 * @replica_index: index of the replica
 */
void
replica_start_unload(struct sim *sim, int leaf_index, int replica_index)
{
    struct sim_leaf *leaf = &sim->leaves[leaf_index];
    struct replica *replica = &leaf->replicas[replica_index];
    struct target_report *report = &sim->views[replica->engine].report;

    sim->idle_mb -= leaf_idle_mb(leaf);
    replica->state = REPLICA_UNLOADING;
    replica->remaining_ms = UNLOAD_MS;
    sim->idle_mb += leaf_idle_mb(leaf);
    sim->transitions++;
    for (int i = 0; i < report->loaded_count; i++) {
        if (report->loaded[i] == leaf->node.id) {
            report->loaded[i] = report->loaded[--report->loaded_count];
        }
    }
}

/**
 * replica_remove() - remove a replica and release its memory
 * @sim: simulation
 * @leaf_index: index of the leaf
 * @replica_index: index of the replica
 */
void
replica_remove(struct sim *sim, int leaf_index, int replica_index)
{
    struct sim_leaf *leaf = &sim->leaves[leaf_index];
    struct replica *replica = &leaf->replicas[replica_index];

    sim->idle_mb -= leaf_idle_mb(leaf);
    sim->transitions -= replica->state != REPLICA_LOADED;
    sim->views[replica->engine].report.used_mb -=
        (uint32_t)leaf->node.settings.memory_mb;
    *replica = leaf->replicas[--leaf->replica_count];
    leaf->leaf.view_count = leaf->replica_count;
    sim->idle_mb += leaf_idle_mb(leaf);
}

static void
finish_transition(struct sim *sim, int leaf_index, int replica_index)
{
    struct sim_leaf *leaf = &sim->leaves[leaf_index];
    struct replica *replica = &leaf->replicas[replica_index];
    struct target_report *report = &sim->views[replica->engine].report;

    if (replica->state == REPLICA_UNLOADING) {
        if (leaf->base_model < 0) {
            cache_add(report->cached_memory, &report->cached_memory_count,
                      MEMORY_CACHE_MODELS, leaf->node.id);
        }
        replica_remove(sim, leaf_index, replica_index);
        return;
    }
    sim->idle_mb -= leaf_idle_mb(leaf);
    replica->state = REPLICA_LOADED;
    sim->transitions--;
    report->loaded[report->loaded_count++] = leaf->node.id;
    if (leaf->base_model < 0) {
        cache_add(report->cached_disk, &report->cached_disk_count,
                  DISK_CACHE_MODELS, leaf->node.id);
    }
    leaf->leaf.last_used_ms = sim->now_ms;
    leaf->leaf.permit_granted = false;
    load_permits_release(&sim->load_permits, leaf->leaf.permit_token);
    sim->idle_mb += leaf_idle_mb(leaf);
}

/* Concurrent loads: models and adapters from the store, and by disk. */
struct active_loads {
    int store_models;
    int store_adapters;
    int disk_loads[ENGINES];
};

static void
count_active_loads(const struct sim *sim, struct active_loads *active)
{
    for (int leaf_index = 0; leaf_index < sim->leaf_count; leaf_index++) {
        const struct sim_leaf *leaf = &sim->leaves[leaf_index];

        for (int i = 0; i < leaf->replica_count; i++) {
            const struct replica *replica = &leaf->replicas[i];

            if (replica->state != REPLICA_LOADING) {
                continue;
            }
            active->disk_loads[replica->engine] +=
                replica->source == WEIGHTS_ON_DISK;
            if (replica->source == WEIGHTS_IN_STORE) {
                active->store_models += leaf->base_model < 0;
                active->store_adapters += leaf->base_model >= 0;
            }
        }
    }
}

static double
load_speed(const struct sim *sim, const struct sim_leaf *leaf,
           const struct replica *replica, const struct active_loads *active)
{
    int full_speed = leaf->base_model < 0 ? STORE_FULL_SPEED_LOADS
                                          : STORE_FULL_SPEED_ADAPTERS;
    int concurrent =
        leaf->base_model < 0 ? active->store_models : active->store_adapters;

    if (replica->state == REPLICA_UNLOADING ||
        replica->source == WEIGHTS_IN_MEMORY) {
        return 1;
    }
    if (replica->source == WEIGHTS_ON_DISK) {
        return 1.0 / active->disk_loads[replica->engine];
    }
    return concurrent > full_speed ? sim->store_speed * full_speed / concurrent
                                   : sim->store_speed;
}

/**
 * fleet_advance() - advance loads and unloads by one time step
 * @sim: simulation; now_ms is the end of the step
 * @ms: length of the step
 */
void
fleet_advance(struct sim *sim, int64_t ms)
{
    struct active_loads active = {0};

    if (sim->transitions == 0) {
        return;
    }
    count_active_loads(sim, &active);
    for (int leaf_index = 0; leaf_index < sim->leaf_count; leaf_index++) {
        struct sim_leaf *leaf = &sim->leaves[leaf_index];

        for (int i = leaf->replica_count - 1; i >= 0; i--) {
            struct replica *replica = &leaf->replicas[i];

            /* An engine finishes running requests before it unloads. */
            if (replica->state == REPLICA_LOADED ||
                (replica->state == REPLICA_UNLOADING && leaf->running > 0)) {
                continue;
            }
            replica->remaining_ms -=
                (double)ms * load_speed(sim, leaf, replica, &active);
            if (replica->remaining_ms <= 0) {
                finish_transition(sim, leaf_index, i);
            }
        }
    }
}
