/*
 * Models of the engines, their caches and the weight store.
 *
 * A load takes a time in proportion to the memory: from the store the time
 * that gives its rate with four at once, slower beyond; from an engine's disk
 * half of it, shared by the loads of that engine; from memory a tenth.
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
    STORE_AT_ONCE = 4,
    ADAPTERS_AT_ONCE = 30,
    ADAPTER_MS = 8,
    USUAL_MB = 2048,
    ADAPTER_MB = 64,
    /* Five usual models and some adapters. */
    ENGINE_MB = 5 * USUAL_MB + 8 * ADAPTER_MB,
    MEMORY_CACHE = 2,
    DISK_CACHE = 8,
    DISK_DIVISOR = 2,
    MEMORY_DIVISOR = 10,
    UNLOAD_MS = 100,
};

static void
cache_add(uint64_t *ids, uint16_t *count, int max, uint64_t id)
{
    int at = 0;

    while (at < *count && ids[at] != id) {
        at++;
    }
    if (at == *count && *count < max) {
        (*count)++;
    }
    else if (at == *count) {
        at = max - 1;
    }
    memmove(&ids[1], &ids[0], sizeof(ids[0]) * (size_t)at);
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

    leaf->base = index < MODELS ? -1 : model;
    g_snprintf(node->path, sizeof(node->path), "/s/leaf-%d", index);
    g_strlcpy(node->service, "s", sizeof(node->service));
    node->id = hash_text(node->path);
    node->base_model_id = leaf->base < 0 ? 0 : sim->leaves[model].node.id;
    settings->enabled = true;
    settings->replicas_max = model == 0 ? 4 : scenario->replicas_max;
    settings->memory_mb = leaf->base >= 0  ? ADAPTER_MB
                          : model % 5 == 4 ? USUAL_MB * 2
                          : model % 5 == 3 ? USUAL_MB / 2
                                           : USUAL_MB;
    settings->idle_unload_s = sim->policy->idle_unload_s != 0
                                  ? sim->policy->idle_unload_s
                                  : scenario->idle_unload_s;
    settings->priority = model == 0 ? 9 : 5;
    settings->wait_max_ms = scenario->wait_max_ms;
    if (model >= 1 && model <= 3) {
        settings->priority = scenario->plan_priority;
        settings->wait_max_ms = scenario->plan_wait_ms;
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
    /* Caches are uneven: some engines have a full disk, some a nearly empty
       one. */
    int disk = g_rand_int_range(rand, 1, DISK_CACHE + 1);

    g_snprintf(report->name, sizeof(report->name), "engine-%d", index);
    report->id = hash_text(report->name);
    g_strlcpy(report->service, "s", sizeof(report->service));
    g_snprintf(report->data_centre, sizeof(report->data_centre), "dc-%d",
               index % sim->scenario->data_centres);
    report->kind = TARGET_ENGINE;
    report->state = TARGET_LIVE;
    report->memory_mb = ENGINE_MB;
    for (int i = 0; i < disk; i++) {
        int model = g_rand_int_range(rand, 0, MODELS);

        cache_add(report->cached_disk, &report->cached_disk_count, DISK_CACHE,
                  sim->leaves[model].node.id);
    }
}

/**
 * fleet_init() - engines without loaded leaves, with unevenly filled caches
 * @sim: the day
 */
void
fleet_init(struct sim *sim)
{
    GRand *rand = g_rand_new_with_seed(1);

    sim->leaf_count = MODELS + sim->scenario->adapters;
    for (int i = 0; i <= OWNERS; i++) {
        sim->known[i] = g_hash_table_new(g_int64_hash, g_int64_equal);
    }
    for (int i = 0; i < sim->leaf_count; i++) {
        struct leaf *leaf = &sim->leaves[i].leaf;

        init_leaf(sim, i);
        g_hash_table_insert(sim->known[i % OWNERS], &leaf->id, leaf);
        g_hash_table_insert(sim->known[OWNERS], &leaf->id, leaf);
    }
    for (int i = 0; i < ENGINES; i++) {
        init_engine(sim, i, rand);
    }
    g_rand_free(rand);
}

static double
load_ms(const struct sim *sim, const struct sim_leaf *leaf,
        enum weights_source from)
{
    double usual = (double)STORE_AT_ONCE * 1000.0 /
                   (double)sim->scenario->store_per_s *
                   (double)leaf->node.settings.memory_mb / USUAL_MB;

    if (leaf->base >= 0) {
        return ADAPTER_MS;
    }
    switch (from) {
    case WEIGHTS_IN_MEMORY:
        return usual / MEMORY_DIVISOR;
    case WEIGHTS_ON_DISK:
        return usual / DISK_DIVISOR;
    default:
        return usual;
    }
}

/**
 * leaf_idle_mb() - memory that a leaf holds without a request
 * @leaf: the leaf
 */
int64_t
leaf_idle_mb(const struct sim_leaf *leaf)
{
    int64_t mb = 0;

    for (int i = 0; i < leaf->count && leaf->running == 0; i++) {
        if (leaf->replicas[i].state == REPLICA_LOADED) {
            mb += leaf->node.settings.memory_mb;
        }
    }
    return mb;
}

/**
 * replica_ready() - index of the loaded replica on the engine with the fewest
 * running requests, -1 without one
 * @sim: the day
 * @leaf: index of the leaf
 */
int
replica_ready(const struct sim *sim, int leaf)
{
    const struct sim_leaf *about = &sim->leaves[leaf];
    int best = -1;

    for (int i = 0; i < about->count; i++) {
        const struct replica *replica = &about->replicas[i];

        if (replica->state == REPLICA_LOADED &&
            (best < 0 ||
             sim->views[replica->engine].report.running <
                 sim->views[about->replicas[best].engine].report.running)) {
            best = i;
        }
    }
    return best;
}

/**
 * replica_add() - start a load
 * @sim: the day
 * @leaf: index of the leaf
 * @engine: index of the engine
 */
void
replica_add(struct sim *sim, int leaf, int engine)
{
    struct sim_leaf *about = &sim->leaves[leaf];
    struct target_report *report = &sim->views[engine].report;
    struct replica *replica = &about->replicas[about->count++];

    replica->engine = engine;
    replica->state = REPLICA_LOADING;
    replica->from = weights_source_of(report, about->node.id);
    replica->left_ms = load_ms(sim, about, replica->from);
    about->leaf.view_count = about->count;
    report->used_mb += (uint32_t)about->node.settings.memory_mb;
    sim->remote += replica->from == WEIGHTS_IN_STORE && about->base < 0;
    sim->loads++;
    if (report->used_mb > report->memory_mb ||
        about->count > about->node.settings.replicas_max) {
        sim->broken++;
    }
}

/**
 * replica_unload() - start an unload
 * @sim: the day
 * @leaf: index of the leaf
 * @replica: index of the replica
 */
void
replica_unload(struct sim *sim, int leaf, int replica)
{
    struct sim_leaf *about = &sim->leaves[leaf];
    struct replica *gone = &about->replicas[replica];
    struct target_report *report = &sim->views[gone->engine].report;

    sim->idle_mb -= leaf_idle_mb(about);
    gone->state = REPLICA_UNLOADING;
    gone->left_ms = UNLOAD_MS;
    sim->idle_mb += leaf_idle_mb(about);
    sim->loads++;
    for (int i = 0; i < report->loaded_count; i++) {
        if (report->loaded[i] == about->node.id) {
            report->loaded[i] = report->loaded[--report->loaded_count];
        }
    }
}

/**
 * replica_drop() - a replica no longer uses memory
 * @sim: the day
 * @leaf: index of the leaf
 * @replica: index of the replica
 */
void
replica_drop(struct sim *sim, int leaf, int replica)
{
    struct sim_leaf *about = &sim->leaves[leaf];
    struct replica *gone = &about->replicas[replica];

    sim->idle_mb -= leaf_idle_mb(about);
    sim->loads -= gone->state != REPLICA_LOADED;
    sim->views[gone->engine].report.used_mb -=
        (uint32_t)about->node.settings.memory_mb;
    *gone = about->replicas[--about->count];
    about->leaf.view_count = about->count;
    sim->idle_mb += leaf_idle_mb(about);
}

static void
finish(struct sim *sim, int leaf, int index)
{
    struct sim_leaf *about = &sim->leaves[leaf];
    struct replica *replica = &about->replicas[index];
    struct target_report *report = &sim->views[replica->engine].report;

    if (replica->state == REPLICA_UNLOADING) {
        if (about->base < 0) {
            cache_add(report->cached_memory, &report->cached_memory_count,
                      MEMORY_CACHE, about->node.id);
        }
        replica_drop(sim, leaf, index);
        return;
    }
    sim->idle_mb -= leaf_idle_mb(about);
    replica->state = REPLICA_LOADED;
    sim->loads--;
    report->loaded[report->loaded_count++] = about->node.id;
    if (about->base < 0) {
        cache_add(report->cached_disk, &report->cached_disk_count, DISK_CACHE,
                  about->node.id);
    }
    about->leaf.last_used_ms = sim->now_ms;
    about->leaf.permit_granted = false;
    load_permits_release(&sim->turns, about->leaf.permit_token);
    sim->idle_mb += leaf_idle_mb(about);
}

/* Loads under way: models and adapters from the store, and per disk. */
struct shares {
    int models;
    int adapters;
    int disk[ENGINES];
};

static void
count_shares(const struct sim *sim, struct shares *shares)
{
    for (int leaf = 0; leaf < sim->leaf_count; leaf++) {
        const struct sim_leaf *about = &sim->leaves[leaf];

        for (int i = 0; i < about->count; i++) {
            const struct replica *replica = &about->replicas[i];

            if (replica->state != REPLICA_LOADING) {
                continue;
            }
            shares->disk[replica->engine] += replica->from == WEIGHTS_ON_DISK;
            if (replica->from == WEIGHTS_IN_STORE) {
                shares->models += about->base < 0;
                shares->adapters += about->base >= 0;
            }
        }
    }
}

static double
speed(const struct sim *sim, const struct sim_leaf *leaf,
      const struct replica *replica, const struct shares *shares)
{
    int at_once = leaf->base < 0 ? STORE_AT_ONCE : ADAPTERS_AT_ONCE;
    int active = leaf->base < 0 ? shares->models : shares->adapters;

    if (replica->state == REPLICA_UNLOADING ||
        replica->from == WEIGHTS_IN_MEMORY) {
        return 1;
    }
    if (replica->from == WEIGHTS_ON_DISK) {
        return 1.0 / shares->disk[replica->engine];
    }
    return active > at_once ? sim->store_speed * at_once / active
                            : sim->store_speed;
}

/**
 * fleet_advance() - let loads and unloads go on
 * @sim: the day; the time is that of the end of the step
 * @ms: length of the step
 */
void
fleet_advance(struct sim *sim, int64_t ms)
{
    struct shares shares = {0};

    if (sim->loads == 0) {
        return;
    }
    count_shares(sim, &shares);
    for (int leaf = 0; leaf < sim->leaf_count; leaf++) {
        struct sim_leaf *about = &sim->leaves[leaf];

        for (int i = about->count - 1; i >= 0; i--) {
            struct replica *replica = &about->replicas[i];

            /* An engine lets running requests finish before it unloads. */
            if (replica->state == REPLICA_LOADED ||
                (replica->state == REPLICA_UNLOADING && about->running > 0)) {
                continue;
            }
            replica->left_ms -=
                (double)ms * speed(sim, about, replica, &shares);
            if (replica->left_ms <= 0) {
                finish(sim, leaf, i);
            }
        }
    }
}
