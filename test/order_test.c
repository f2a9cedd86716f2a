/* Tests of the place duty against a store and engines in memory. */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
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
    ENGINES_MAX = 4,
    NODES_MAX = 3,
    LATE_MAX = 16,
    WANT_REPEAT_MS = 500,
    GHOST = 77,
};

enum load_mode {
    LOAD_NORMAL,
    LOAD_HELD,
    LOAD_ANSWER_LOST,
    LOAD_ORDER_LATE,
    LOAD_REFUSED,
};

/* An order that the network still holds. */
struct late {
    char path[PATH_MAX_BYTES];
    int64_t mb;
    uint64_t fence;
};

/*
 * An engine that aborts the test when it is asked to hold more memory than it
 * has. Fences are kept per leaf, as the engine's API names the leaf.
 */
struct engine {
    uint64_t id;
    char name[NAME_MAX_BYTES];
    int64_t memory_mb;
    bool checks_fence;
    uint64_t incarnation;
    enum target_state state;
    enum load_mode mode;
    GHashTable *loaded;
    GHashTable *fences;
    GHashTable *cached;
    struct late late[LATE_MAX];
    int late_count;
    int loads;
    int unloads;
    int held;
};

struct world;

/* One instance. */
struct node_under_test {
    struct place_port port;
    struct world *world;
    uint64_t self;
    struct place *place;
    struct supervisor supervisor;
    pthread_t thread;
    bool running;
    struct ring placed;
    _Atomic bool fresh;
    int unanswered; /* wants that were posted and not answered one by one */
};

/* The store counts as one of the fakes: it signals each of its calls. */
struct world {
    struct kv kv;
    struct engine_api api;
    struct kv_memory store;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    struct engine engines[ENGINES_MAX];
    int engine_count;
    struct node_under_test nodes[NODES_MAX];
    int node_count;
    struct tree *tree;
    uint64_t owner;
    int64_t limit;
    bool ghost_alive;
    int settles;
    int store_held;
    bool hold_store;
};

static void
changed(struct world *world)
{
    pthread_cond_broadcast(&world->changed);
}

static struct world *
world_of_kv(struct kv *kv)
{
    return (struct world *)kv;
}

/* A slow store: calls wait until the test lets them go on. */
static void
pass_store_gate(struct world *world)
{
    pthread_mutex_lock(&world->lock);
    world->store_held++;
    changed(world);
    while (world->hold_store) {
        pthread_cond_wait(&world->changed, &world->lock);
    }
    world->store_held--;
    pthread_mutex_unlock(&world->lock);
}

static void
signal_store(struct world *world)
{
    pthread_mutex_lock(&world->lock);
    changed(world);
    pthread_mutex_unlock(&world->lock);
}

static bool
gate_get(struct kv *kv, const char *key, struct kv_entry *entry,
         struct err *err)
{
    struct world *world = world_of_kv(kv);

    pass_store_gate(world);
    return world->store.kv.ops->get(&world->store.kv, key, entry, err);
}

static bool
gate_range(struct kv *kv, const char *from, const char *end, int limit,
           struct kv_entries *entries, struct err *err)
{
    struct world *world = world_of_kv(kv);

    pass_store_gate(world);
    return world->store.kv.ops->range(&world->store.kv, from, end, limit,
                                      entries, err);
}

static bool
gate_cas(struct kv *kv, const char *key, int64_t expected, const void *value,
         size_t value_bytes, int64_t *revision, struct err *err)
{
    struct world *world = world_of_kv(kv);
    bool ok;

    pass_store_gate(world);
    ok = world->store.kv.ops->cas(&world->store.kv, key, expected, value,
                                  value_bytes, revision, err);
    signal_store(world);
    return ok;
}

static const struct kv_ops gate_ops = {
    .get = gate_get,
    .range = gate_range,
    .cas = gate_cas,
};

static int64_t
used_mb(const struct engine *engine)
{
    GHashTableIter iter;
    gpointer value;
    int64_t sum = 0;

    g_hash_table_iter_init(&iter, engine->loaded);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        sum += GPOINTER_TO_INT(value);
    }
    return sum;
}

/* Called with the lock held. */
static int
replicas(const struct world *world, const char *path)
{
    int count = 0;

    for (int i = 0; i < world->engine_count; i++) {
        count += g_hash_table_contains(world->engines[i].loaded, path) ? 1 : 0;
    }
    return count;
}

/* Called with the lock held. Aborts when an invariant is broken. */
static void
check_invariants(const struct world *world, const char *path)
{
    for (int i = 0; i < world->engine_count; i++) {
        const struct engine *engine = &world->engines[i];

        g_assert_cmpint(used_mb(engine), <=, engine->memory_mb);
    }
    g_assert_cmpint(replicas(world, path), <=, world->limit);
}

static bool
fence_passes(struct engine *engine, const char *path, uint64_t fence,
             struct err *err)
{
    uint64_t seen =
        (uint64_t)GPOINTER_TO_SIZE(g_hash_table_lookup(engine->fences, path));

    if (engine->checks_fence && fence < seen) {
        return err_set(err, ERR_FENCE_OLD, "%s: fence", path);
    }
    if (fence > seen) {
        g_hash_table_insert(engine->fences, g_strdup(path),
                            GSIZE_TO_POINTER(fence));
    }
    return true;
}

/* Called with the lock held. What the engine does with an order to load. */
static bool
apply_load(struct world *world, struct engine *engine, const char *path,
           int64_t mb, uint64_t fence, struct err *err)
{
    if (!fence_passes(engine, path, fence, err)) {
        return false;
    }
    engine->loads++;
    g_hash_table_insert(engine->loaded, g_strdup(path), GINT_TO_POINTER(mb));
    check_invariants(world, path);
    return true;
}

/*
 * Called with the lock held. Executes what the network still holds. The calls
 * of these orders have ended, so they come before any order sent now.
 */
static void
deliver_late(struct world *world, struct engine *engine)
{
    for (int i = 0; i < engine->late_count; i++) {
        const struct late *late = &engine->late[i];

        apply_load(world, engine, late->path, late->mb, late->fence, NULL);
    }
    engine->late_count = 0;
}

static void
take_ended_orders(struct world *world, struct engine *engine)
{
    if (!engine->checks_fence) {
        deliver_late(world, engine);
    }
}

static struct engine *
engine_at(struct world *world, const char *address)
{
    for (int i = 0; i < world->engine_count; i++) {
        if (strcmp(world->engines[i].name, address) == 0) {
            return &world->engines[i];
        }
    }
    g_assert_not_reached();
    return NULL;
}

/* Called with the lock held. */
static void
fill_report(const struct engine *engine, struct target_report *report)
{
    GHashTableIter iter;
    gpointer key;

    memset(report, 0, sizeof(*report));
    report->id = engine->id;
    g_strlcpy(report->name, engine->name, sizeof(report->name));
    g_strlcpy(report->service, "mind", sizeof(report->service));
    g_strlcpy(report->data_centre, "nemom", sizeof(report->data_centre));
    g_strlcpy(report->address, engine->name, sizeof(report->address));
    report->kind = TARGET_ENGINE;
    report->state = engine->state;
    report->incarnation = engine->incarnation;
    report->memory_mb = (uint32_t)engine->memory_mb;
    report->used_mb = (uint32_t)used_mb(engine);
    g_hash_table_iter_init(&iter, engine->loaded);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        report->loaded[report->loaded_count++] = hash_text(key);
    }
    g_hash_table_iter_init(&iter, engine->cached);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        report->cached_memory[report->cached_memory_count++] = hash_text(key);
    }
}

/* Called with the lock held: reports come in the order of the changes. */
static void
report_all(struct world *world)
{
    for (int n = 0; n < world->node_count; n++) {
        for (int i = 0; i < world->engine_count; i++) {
            struct target_report report;

            fill_report(&world->engines[i], &report);
            if (world->nodes[n].running) {
                place_post_report(world->nodes[n].place, &report, NULL);
            }
        }
    }
    changed(world);
}

static bool
fake_load(struct engine_api *api, const char *address, const char *path,
          int64_t memory_mb, uint64_t fence, struct err *err)
{
    struct world *world =
        (struct world *)((char *)api - offsetof(struct world, api));
    struct engine *engine = engine_at(world, address);
    struct late *late;
    bool ok = false;

    pthread_mutex_lock(&world->lock);
    engine->held++;
    changed(world);
    while (engine->mode == LOAD_HELD) {
        pthread_cond_wait(&world->changed, &world->lock);
    }
    engine->held--;
    switch (engine->mode) {
    case LOAD_REFUSED:
        err_set(err, ERR_LOAD_FAILED, "refused");
        break;
    case LOAD_ORDER_LATE:
        g_assert_cmpint(engine->late_count, <, LATE_MAX);
        late = &engine->late[engine->late_count++];
        g_strlcpy(late->path, path, sizeof(late->path));
        late->mb = memory_mb;
        late->fence = fence;
        err_set(err, ERR_TIMEOUT, "no answer");
        break;
    case LOAD_ANSWER_LOST:
        apply_load(world, engine, path, memory_mb, fence, err);
        err_set(err, ERR_IO, "answer lost");
        break;
    default:
        ok = apply_load(world, engine, path, memory_mb, fence, err);
        break;
    }
    report_all(world);
    pthread_mutex_unlock(&world->lock);
    return ok;
}

static bool
fake_unload(struct engine_api *api, const char *address, const char *path,
            uint64_t fence, struct err *err)
{
    struct world *world =
        (struct world *)((char *)api - offsetof(struct world, api));
    struct engine *engine = engine_at(world, address);
    bool ok;

    pthread_mutex_lock(&world->lock);
    ok = fence_passes(engine, path, fence, err);
    if (ok) {
        take_ended_orders(world, engine);
        engine->unloads++;
        g_hash_table_remove(engine->loaded, path);
    }
    report_all(world);
    pthread_mutex_unlock(&world->lock);
    return ok;
}

static const struct engine_api_ops fake_api_ops = {fake_load, fake_unload};

static struct node_under_test *
node_of(struct place_port *port)
{
    return (struct node_under_test *)port;
}

static void
fake_placed(struct place_port *port, const struct placement *placement)
{
    ring_push(&node_of(port)->placed, placement, NULL);
}

/* An owner of 0 makes every instance take itself for the owner. */
static uint64_t
fake_owner(struct place_port *port, uint64_t leaf)
{
    struct world *world = node_of(port)->world;
    uint64_t owner;

    (void)leaf;
    pthread_mutex_lock(&world->lock);
    owner = world->owner;
    pthread_mutex_unlock(&world->lock);
    return owner == 0 ? node_of(port)->self : owner;
}

static bool
fake_send(struct place_port *port, uint64_t member,
          Turmeric__Envelope *envelope)
{
    struct world *world = node_of(port)->world;
    size_t bytes = turmeric__envelope__get_packed_size(envelope);
    uint8_t *packed = g_malloc(bytes);
    Turmeric__Envelope *copy;
    bool sent = false;

    turmeric__envelope__pack(envelope, packed);
    copy = turmeric__envelope__unpack(NULL, bytes, packed);
    g_free(packed);
    pthread_mutex_lock(&world->lock);
    if (envelope->body_case == TURMERIC__ENVELOPE__BODY_SETTLE) {
        world->settles++;
        changed(world);
    }
    for (int i = 0; i < world->node_count; i++) {
        if (world->nodes[i].self == member && world->nodes[i].running) {
            sent = place_post_envelope(world->nodes[i].place, copy, NULL);
        }
    }
    pthread_mutex_unlock(&world->lock);
    if (!sent) {
        turmeric__envelope__free_unpacked(copy, NULL);
    }
    return sent;
}

static struct tree *
fake_tree(struct place_port *port)
{
    struct world *world = node_of(port)->world;
    struct tree *tree;

    pthread_mutex_lock(&world->lock);
    tree = tree_ref(world->tree);
    pthread_mutex_unlock(&world->lock);
    return tree;
}

static bool
fake_fresh(struct place_port *port)
{
    return node_of(port)->fresh;
}

static bool
fake_member_alive(struct place_port *port, uint64_t member, uint64_t start)
{
    struct world *world = node_of(port)->world;
    bool alive;

    (void)start;
    pthread_mutex_lock(&world->lock);
    alive = member != GHOST || world->ghost_alive;
    pthread_mutex_unlock(&world->lock);
    return alive;
}

static const struct place_port_ops fake_port_ops = {
    .placed = fake_placed,
    .owner = fake_owner,
    .send = fake_send,
    .tree = fake_tree,
    .fresh = fake_fresh,
    .member_alive = fake_member_alive,
};

/* Changes the tree; "node key value" for each change. */
static void
set_tree(struct world *world, const char *const *lines, int count)
{
    struct change changes[32];
    struct edit edit = {.id = "e", .author = "a", .changes = changes};
    struct tree *tree;
    struct tree *old;
    struct err err = {0};

    memset(changes, 0, sizeof(changes));
    for (int i = 0; i < count; i++) {
        gchar **parts = g_strsplit(lines[i], " ", 3);

        g_strlcpy(changes[i].node, parts[0], sizeof(changes[i].node));
        g_strlcpy(changes[i].key, parts[1], sizeof(changes[i].key));
        g_strlcpy(changes[i].value, parts[2], sizeof(changes[i].value));
        g_strfreev(parts);
    }
    edit.change_count = count;
    pthread_mutex_lock(&world->lock);
    old = world->tree;
    tree = tree_apply(old, &edit, tree_revision(old) + 1, &err);
    if (tree == NULL) {
        g_error("tree: %s", err.text);
    }
    world->tree = tree;
    pthread_mutex_unlock(&world->lock);
    tree_unref(old);
}

#define LEAF "/mind/wheat"
#define RIVAL "/mind/rye"
#define ADAPTER "/mind/wheat/caterers"

static const char *const base_tree[] = {
    "/mind type \"service\"",
    "/mind/wheat type \"model\"",
    "/mind/rye type \"model\"",
    "/mind/wheat/caterers type \"adapter\"",
    "/mind/wheat memory_mb 60",
    "/mind/rye memory_mb 60",
    "/mind/wheat/caterers memory_mb 10",
};

static void
world_init(struct world *world, int engines, bool checks_fence)
{
    memset(world, 0, sizeof(*world));
    world->kv.ops = &gate_ops;
    world->api.ops = &fake_api_ops;
    kv_memory_init(&world->store);
    pthread_mutex_init(&world->lock, NULL);
    cond_init_monotonic(&world->changed);
    world->tree = tree_new();
    world->limit = 1;
    world->ghost_alive = true;
    world->engine_count = engines;
    for (int i = 0; i < engines; i++) {
        struct engine *engine = &world->engines[i];

        snprintf(engine->name, sizeof(engine->name), "engine-%d", i);
        engine->id = hash_text(engine->name);
        engine->memory_mb = 100;
        engine->checks_fence = checks_fence;
        engine->incarnation = 1;
        engine->loaded =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        engine->fences =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        engine->cached =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    }
    set_tree(world, base_tree, G_N_ELEMENTS(base_tree));
    if (checks_fence) {
        const char *line = "/mind checks_fence true";

        set_tree(world, &line, 1);
    }
}

static void *
run_node(void *argument)
{
    struct node_under_test *node = argument;
    struct err err = {0};

    g_assert_true(supervisor_run(&node->supervisor, &err));
    return NULL;
}

static struct node_under_test *
start_node(struct world *world)
{
    struct node_under_test *node = &world->nodes[world->node_count];

    node->port.ops = &fake_port_ops;
    node->world = world;
    node->self = (uint64_t)world->node_count + 1;
    node->fresh = true;
    g_assert_true(
        ring_init(&node->placed, 1024, sizeof(struct placement), NULL));
    node->place =
        place_new(&world->kv, &world->api, node->self, 1, &node->port, NULL);
    g_assert_nonnull(node->place);
    supervisor_init(&node->supervisor, "test");
    supervisor_add(&node->supervisor, place_duty(node->place));
    pthread_create(&node->thread, NULL, run_node, node);
    pthread_mutex_lock(&world->lock);
    world->node_count++;
    node->running = true;
    report_all(world);
    pthread_mutex_unlock(&world->lock);
    return node;
}

static void
stop_node(struct node_under_test *node)
{
    struct world *world = node->world;

    pthread_mutex_lock(&world->lock);
    node->running = false;
    pthread_mutex_unlock(&world->lock);
    supervisor_stop(&node->supervisor);
    pthread_join(node->thread, NULL);
    supervisor_free(&node->supervisor);
    place_free(node->place);
    ring_free(&node->placed);
}

static void
world_free(struct world *world)
{
    for (int i = 0; i < world->node_count; i++) {
        if (world->nodes[i].running) {
            stop_node(&world->nodes[i]);
        }
    }
    for (int i = 0; i < world->engine_count; i++) {
        g_hash_table_unref(world->engines[i].loaded);
        g_hash_table_unref(world->engines[i].fences);
        g_hash_table_unref(world->engines[i].cached);
    }
    tree_unref(world->tree);
    kv_memory_free(&world->store);
    pthread_cond_destroy(&world->changed);
    pthread_mutex_destroy(&world->lock);
}

static void
post_want(struct node_under_test *node, const char *path)
{
    struct want want = {.leaf = hash_text(path), .priority = 5, .waiting = 1};

    g_strlcpy(want.path, path, sizeof(want.path));
    g_assert_true(place_post_want(node->place, &want, NULL));
    node->unanswered++;
}

/* Repeats the want, as the route duty does, until there is an answer. */
static struct placement
want_leaf(struct node_under_test *node, const char *path)
{
    struct placement placement;

    post_want(node, path);
    for (;;) {
        enum ring_result result =
            ring_pop(&node->placed, &placement, WANT_REPEAT_MS);

        if (result == RING_OK) {
            node->unanswered--;
        }
        if (result == RING_OK && placement.leaf == hash_text(path)) {
            return placement;
        }
        if (result == RING_TIMEOUT) {
            post_want(node, path);
        }
    }
}

/* Callers go on waiting while there is no room. */
static struct placement
want_room(struct node_under_test *node, const char *path)
{
    struct placement placement;

    do {
        placement = want_leaf(node, path);
    } while (placement.kind == ERR_MEMORY_FULL);
    return placement;
}

static void
lock(struct world *world)
{
    pthread_mutex_lock(&world->lock);
}

static void
unlock(struct world *world)
{
    pthread_mutex_unlock(&world->lock);
}

/* Called with the lock held. */
static void
wait_change(struct world *world)
{
    pthread_cond_wait(&world->changed, &world->lock);
}

static struct engine_record *
read_engine_record(struct world *world, const struct engine *engine)
{
    struct engine_record *record = g_new0(struct engine_record, 1);
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    struct err err = {0};

    record_key(key, sizeof(key), "engines", engine->id);
    g_assert_true(kv_get(&world->store.kv, key, &entry, NULL));
    if (entry.revision != 0) {
        g_assert_true(engine_decode(entry.value, engine->id, record, &err));
    }
    kv_entry_free(&entry);
    return record;
}

static int
slot_count(struct world *world, const char *path)
{
    struct replica_record *record = g_new0(struct replica_record, 1);
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    struct err err = {0};
    int count;

    record_key(key, sizeof(key), "replicas", hash_text(path));
    g_assert_true(kv_get(&world->store.kv, key, &entry, NULL));
    if (entry.revision != 0) {
        g_assert_true(
            replica_decode(entry.value, hash_text(path), record, &err));
    }
    kv_entry_free(&entry);
    count = record->slot_count;
    g_free(record);
    return count;
}

/* Waits until the leaf has no slot and no engine counts memory for it. */
static void
wait_released(struct world *world, const char *path)
{
    bool released = false;

    lock(world);
    while (!released) {
        released = slot_count(world, path) == 0;
        for (int i = 0; i < world->engine_count; i++) {
            struct engine_record *record =
                read_engine_record(world, &world->engines[i]);

            released &= item_find(record, hash_text(path)) == NULL;
            g_free(record);
        }
        if (!released) {
            wait_change(world);
        }
    }
    unlock(world);
}

/* Called with the lock held. */
static void
set_state(struct world *world, int engine, enum target_state state)
{
    world->engines[engine].state = state;
    report_all(world);
}

static void
set_mode(struct world *world, int engine, enum load_mode mode)
{
    lock(world);
    world->engines[engine].mode = mode;
    changed(world);
    unlock(world);
}

static void
wait_replicas(struct world *world, const char *path, int count)
{
    lock(world);
    while (replicas(world, path) != count) {
        wait_change(world);
    }
    unlock(world);
}

/* Waits until the engine's record has the leaf in this state. */
static void
wait_item(struct world *world, int engine, const char *path,
          enum item_state state)
{
    bool reached = false;

    lock(world);
    while (!reached) {
        struct engine_record *record =
            read_engine_record(world, &world->engines[engine]);
        const struct item *item = item_find(record, hash_text(path));

        reached = item != NULL && item->state == state;
        g_free(record);
        if (!reached) {
            wait_change(world);
        }
    }
    unlock(world);
}

/* Guards against a wanted leaf that is never loaded or never answered, also
   when answers of the store or of the engine get lost. */
struct load_case {
    const char *name;
    bool checks_fence;
    int lose_answers;
    int fail_calls;
    enum load_mode mode;
    int refusals;
    const char *path;
};

static const struct load_case load_cases[] = {
    {"plain", false, 0, 0, LOAD_NORMAL, 0, LEAF},
    {"fences", true, 0, 0, LOAD_NORMAL, 0, LEAF},
    {"adapter_loads_its_model_first", false, 0, 0, LOAD_NORMAL, 0, ADAPTER},
    {"first_write_unanswered", false, 1, 0, LOAD_NORMAL, 0, LEAF},
    {"two_writes_unanswered", false, 2, 0, LOAD_NORMAL, 0, LEAF},
    {"all_writes_unanswered", true, 3, 0, LOAD_NORMAL, 0, LEAF},
    {"store_down_at_first", false, 0, 30, LOAD_NORMAL, 0, LEAF},
    {"engine_answer_lost", false, 0, 0, LOAD_ANSWER_LOST, 1, LEAF},
    {"engine_answer_lost_fences", true, 0, 0, LOAD_ANSWER_LOST, 1, LEAF},
    {"order_late", false, 0, 0, LOAD_ORDER_LATE, 1, LEAF},
    {"order_late_fences", true, 0, 0, LOAD_ORDER_LATE, 1, LEAF},
    {"refused", false, 0, 0, LOAD_REFUSED, 1, LEAF},
};

static void
test_load(gconstpointer data)
{
    const struct load_case *c = data;
    const char *line = "/mind idle_unload_s 1";
    struct world world;
    struct node_under_test *node;
    struct placement placement;

    world_init(&world, 1, c->checks_fence);
    set_tree(&world, &line, 1);
    world.store.lose_answers = c->lose_answers;
    world.store.fail_calls = c->fail_calls;
    world.engines[0].mode = c->mode;
    node = start_node(&world);
    for (int i = 0; i < c->refusals; i++) {
        placement = want_leaf(node, c->path);
        g_assert_cmpint(placement.kind, ==, ERR_LOAD_FAILED);
    }
    set_mode(&world, 0, LOAD_NORMAL);
    placement = want_leaf(node, c->path);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    g_assert_cmpuint(placement.target, ==, world.engines[0].id);
    lock(&world);
    g_assert_cmpint(replicas(&world, c->path), ==, 1);
    deliver_late(&world, &world.engines[0]);
    unlock(&world);
    wait_released(&world, c->path);
    lock(&world);
    deliver_late(&world, &world.engines[0]);
    g_assert_cmpint(replicas(&world, c->path), ==, 0);
    unlock(&world);
    world_free(&world);
}

static bool
plain_fresh(struct orders_port *port)
{
    (void)port;
    return true;
}

static void
plain_loaded(struct orders_port *port, const struct order *order)
{
    (void)port;
    (void)order;
}

static const struct orders_port_ops plain_port_ops = {
    .fresh = plain_fresh,
    .loaded = plain_loaded,
};

/* Guards against an order that trusts a decision made before another member
   changed the records. Both orders are decided on an empty store, and the
   second runs after the first. */
struct outdated_case {
    const char *name;
    const char *path;
    int engine;
    int64_t limit;
    int64_t revision;
    enum err_kind kind;
    int loads;
};

static const struct outdated_case outdated_cases[] = {
    {"last_replica", LEAF, 1, 1, 1, ERR_REPLICAS_FULL, 1},
    {"same_slot", LEAF, 0, 1, 1, ERR_KV_CONFLICT, 1},
    {"second_replica", LEAF, 1, 2, 1, ERR_NONE, 2},
    {"last_memory", RIVAL, 0, 1, 1, ERR_MEMORY_FULL, 1},
    {"other_memory", RIVAL, 1, 1, 1, ERR_NONE, 2},
    {"older_configuration", LEAF, 1, 2, 0, ERR_CONFIG_STALE, 1},
};

static struct order *
decide_load(struct world *world, const char *path, int engine, uint64_t member)
{
    struct order *order = g_new0(struct order, 1);

    order->kind = ORDER_LOAD;
    g_strlcpy(order->path, path, sizeof(order->path));
    order->want =
        (struct reservation){hash_text(path), order->path, 60, 0, member, 1};
    order->limit = 1;
    order->revision = 1;
    fill_report(&world->engines[engine], &order->report);
    return order;
}

static void
test_outdated(gconstpointer data)
{
    const struct outdated_case *c = data;
    struct orders_port port = {&plain_port_ops};
    struct orders orders = {.port = &port};
    struct world world;
    struct order *first;
    struct order *second;

    world_init(&world, 2, false);
    world.limit = c->limit;
    orders.kv = &world.kv;
    orders.api = &world.api;
    first = decide_load(&world, LEAF, 0, 1);
    second = decide_load(&world, c->path, c->engine, 2);
    second->limit = c->limit;
    second->revision = c->revision;
    order_execute(&orders, first);
    g_assert_cmpint(first->err.kind, ==, ERR_NONE);
    order_execute(&orders, second);
    g_assert_cmpint(second->err.kind, ==, c->kind);
    g_assert_cmpint(world.engines[0].loads + world.engines[1].loads, ==,
                    c->loads);
    g_assert_cmpint(slot_count(&world, LEAF), <=, c->limit);
    order_free(first);
    order_free(second);
    world_free(&world);
}

/* Guards against an order that doesn't recognise its own write and fails, or
   that sends although its reservation is not known to be written. */
struct lost_case {
    const char *name;
    int lose_answers;
    int fail_calls;
    enum err_kind kind;
    int loads;
};

static const struct lost_case lost_cases[] = {
    {"none", 0, 0, ERR_NONE, 1},
    {"slot", 1, 0, ERR_NONE, 1},
    {"slot_and_reservation", 2, 0, ERR_NONE, 1},
    {"all", 3, 0, ERR_NONE, 1},
    {"first_calls_fail", 0, 5, ERR_NONE, 1},
    {"store_down", 0, 1000, ERR_KV_DOWN, 0},
};

static void
test_lost(gconstpointer data)
{
    const struct lost_case *c = data;
    struct orders_port port = {&plain_port_ops};
    struct orders orders = {.port = &port};
    struct world world;
    struct order *order;

    world_init(&world, 1, false);
    orders.kv = &world.kv;
    orders.api = &world.api;
    world.store.lose_answers = c->lose_answers;
    world.store.fail_calls = c->fail_calls;
    order = decide_load(&world, LEAF, 0, 1);
    order_execute(&orders, order);
    g_assert_cmpint(order->err.kind, ==, c->kind);
    g_assert_cmpint(world.engines[0].loads, ==, c->loads);
    world.store.fail_calls = 0;
    g_assert_cmpint(slot_count(&world, LEAF), ==, c->loads);
    if (c->loads > 0) {
        g_assert_cmpint(order->views[0].item.state, ==, ITEM_LOADED);
        g_assert_cmpint(order->views[0].item.sender_count, ==, 0);
    }
    order_free(order);
    world_free(&world);
}

/* Guards against a read of an order that a thread may have ended and freed:
   what is handed over is gone for the one that hands it over. */
struct handover_case {
    const char *name;
    bool full;
};

static const struct handover_case handover_cases[] = {
    {"taken", false},
    {"ring_full", true},
};

static void
test_handover(gconstpointer data)
{
    const struct handover_case *c = data;
    struct orders orders = {.kv = NULL};
    struct order *first = g_new0(struct order, 1);
    struct order *order = g_new0(struct order, 1);
    struct err err = {0};

    g_assert_true(ring_init(&orders.ring, 1, sizeof(struct order *), &err));
    supervisor_init(&orders.supervisor, "orders");
    if (c->full) {
        g_assert_true(orders_push(&orders, &first, &err));
    }
    g_assert_cmpint(orders_push(&orders, &order, &err), ==, !c->full);
    g_assert_cmpint(order != NULL, ==, c->full);
    if (order != NULL) {
        order_free(order);
    }
    if (first != NULL) {
        order_free(first);
    }
    orders_free(&orders);
}

/* Guards against two owners that together exceed replicas_max or the memory
   of an engine. The fakes abort the test when that happens. */
struct race_case {
    const char *name;
    int engines;
    const char *paths[2];
    bool checks_fence;
    int lose_answers;
};

static const struct race_case race_cases[] = {
    {"last_replica", 2, {LEAF, LEAF}, false, 0},
    {"last_replica_fences", 2, {LEAF, LEAF}, true, 0},
    {"last_replica_one_engine", 1, {LEAF, LEAF}, false, 0},
    {"last_replica_answers_lost", 2, {LEAF, LEAF}, false, 4},
    {"last_memory", 1, {LEAF, RIVAL}, false, 0},
    {"last_memory_answers_lost", 1, {LEAF, RIVAL}, true, 4},
};

static void
test_race(gconstpointer data)
{
    const struct race_case *c = data;
    struct world world;
    struct node_under_test *nodes[2];
    uint64_t targets[2];

    world_init(&world, c->engines, c->checks_fence);
    world.store.lose_answers = c->lose_answers;
    for (int i = 0; i < 2; i++) {
        nodes[i] = start_node(&world);
    }
    for (int i = 0; i < 2; i++) {
        post_want(nodes[i], c->paths[i]);
    }
    for (int i = 0; i < 2; i++) {
        struct placement placement = want_room(nodes[i], c->paths[i]);

        g_assert_cmpint(placement.kind, ==, ERR_NONE);
        targets[i] = placement.target;
    }
    if (strcmp(c->paths[0], c->paths[1]) == 0) {
        g_assert_cmpuint(targets[0], ==, targets[1]);
    }
    world_free(&world);
}

/* What an instance leaves behind that died between the reservation and the
   order. Its order may still come. */
static void
leave_reservation(struct world *world, int engine, bool slot_only)
{
    struct engine_record *record = g_new0(struct engine_record, 1);
    struct replica_record *replica = g_new0(struct replica_record, 1);
    struct sender ghost = {GHOST, 1, 1};
    struct reservation want = {hash_text(LEAF), LEAF, 60, 0, GHOST, 1};
    struct target_report report;
    char key[KV_KEY_MAX_BYTES];
    int64_t revision;
    char *text;

    replica->leaf = want.leaf;
    g_strlcpy(replica->path, LEAF, sizeof(replica->path));
    g_assert_true(slot_add(replica, world->engines[engine].id, &ghost, 1, 1,
                           replica, NULL));
    text = replica_encode(replica);
    record_key(key, sizeof(key), "replicas", want.leaf);
    kv_cas(&world->store.kv, key, 0, text, strlen(text), &revision, NULL);
    g_free(text);
    record->engine = world->engines[engine].id;
    fill_report(&world->engines[engine], &report);
    g_assert_true(reserve_add(record, &want, &report, record, NULL));
    text = engine_encode(record);
    record_key(key, sizeof(key), "engines", record->engine);
    if (!slot_only) {
        kv_cas(&world->store.kv, key, 0, text, strlen(text), &revision, NULL);
    }
    g_free(text);
    g_free(record);
    g_free(replica);
}

/* The order of the dead or paused sender arrives. */
static void
deliver_ghost_order(struct world *world, int engine)
{
    lock(world);
    apply_load(world, &world->engines[engine], LEAF, 60, 1, NULL);
    report_all(world);
    unlock(world);
}

/* Guards against a reservation of a dead owner that is kept for ever, and
   against one that is released while its order can still arrive. */
struct left_case {
    const char *name;
    bool checks_fence;
    bool slot_only;
    bool wanted;
    bool alive;
};

static const struct left_case left_cases[] = {
    {"dead_wanted", false, false, true, false},
    {"dead_wanted_fences", true, false, true, false},
    {"dead_unwanted", false, false, false, false},
    {"dead_unwanted_fences", true, false, false, false},
    {"slot_without_reservation", false, true, false, false},
    {"slot_without_reservation_wanted", false, true, true, false},
    {"paused_unwanted", false, false, false, true},
    {"paused_unwanted_fences", true, false, false, true},
};

/* Waits until the owner has unloaded the leaf and asks the sender again, or
   has given up the slot. */
static void
wait_asked_after_unload(struct world *world)
{
    int settles;

    lock(world);
    while (world->engines[0].unloads == 0) {
        wait_change(world);
    }
    settles = world->settles;
    while (world->settles == settles && slot_count(world, LEAF) > 0) {
        wait_change(world);
    }
    unlock(world);
}

static void
check_paused(struct world *world, const struct left_case *c)
{
    if (c->checks_fence) {
        /* The unload with a higher fence makes the late order harmless. */
        wait_released(world, LEAF);
        deliver_ghost_order(world, 0);
        lock(world);
        g_assert_cmpint(replicas(world, LEAF), ==, 0);
        unlock(world);
        return;
    }
    wait_asked_after_unload(world);
    deliver_ghost_order(world, 0);
    lock(world);
    g_assert_cmpint(slot_count(world, LEAF), ==, 1);
    world->ghost_alive = false;
    unlock(world);
    wait_released(world, LEAF);
}

static void
test_left(gconstpointer data)
{
    const struct left_case *c = data;
    struct world world;
    struct node_under_test *node;

    world_init(&world, 2, c->checks_fence);
    world.ghost_alive = c->alive;
    leave_reservation(&world, 0, c->slot_only);
    node = start_node(&world);
    if (c->wanted) {
        g_assert_cmpint(want_leaf(node, LEAF).kind, ==, ERR_NONE);
        wait_replicas(&world, LEAF, 1);
    }
    else if (c->alive) {
        check_paused(&world, c);
    }
    else {
        wait_released(&world, LEAF);
        wait_replicas(&world, LEAF, 0);
    }
    world_free(&world);
}

/* Guards against an owner that repeats what a live member is just loading. */
static void
test_new_owner_waits(void)
{
    struct world world;
    struct node_under_test *old;
    struct node_under_test *new;

    world_init(&world, 1, false);
    world.owner = 1;
    world.engines[0].mode = LOAD_HELD;
    old = start_node(&world);
    new = start_node(&world);
    post_want(old, LEAF);
    lock(&world);
    while (world.engines[0].held == 0) {
        wait_change(&world);
    }
    world.owner = 2;
    unlock(&world);
    post_want(new, LEAF);
    lock(&world);
    while (world.settles == 0 && world.engines[0].held < 2) {
        wait_change(&world);
    }
    unlock(&world);
    set_mode(&world, 0, LOAD_NORMAL);
    g_assert_cmpint(want_leaf(new, LEAF).kind, ==, ERR_NONE);
    lock(&world);
    g_assert_cmpint(world.engines[0].loads, ==, 1);
    unlock(&world);
    world_free(&world);
}

/* Guards against a want that is lost between an asker and the owner. */
static void
test_remote_want(void)
{
    struct world world;
    struct node_under_test *asker;

    world_init(&world, 2, false);
    world.owner = 1;
    start_node(&world);
    asker = start_node(&world);
    g_assert_cmpint(want_leaf(asker, LEAF).kind, ==, ERR_NONE);
    world_free(&world);
}

/* Guards against decisions with an unconfirmed configuration, and against a
   duty that stands still while the store is slow. */
static void
test_stale(void)
{
    struct world world;
    struct node_under_test *node;
    struct placement placement;
    int older;

    world_init(&world, 1, false);
    world.hold_store = true;
    node = start_node(&world);
    post_want(node, LEAF);
    lock(&world);
    while (world.store_held == 0) {
        wait_change(&world);
    }
    unlock(&world);
    node->fresh = false;
    g_assert_cmpint(want_leaf(node, RIVAL).kind, ==, ERR_CONFIG_STALE);
    lock(&world);
    world.hold_store = false;
    changed(&world);
    unlock(&world);
    g_assert_cmpint(want_leaf(node, LEAF).kind, ==, ERR_CONFIG_STALE);
    g_assert_cmpint(world.store.writes, ==, 0);
    older = node->unanswered;
    node->fresh = true;
    /* Wants from before may still be answered as they were decided then. */
    do {
        placement = want_leaf(node, LEAF);
    } while (placement.kind == ERR_CONFIG_STALE && older-- > 0);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    world_free(&world);
}

/* Guards against replicas that stay where they may no longer be. */
struct move_case {
    const char *name;
    const char *lines[3];
    enum target_state state;
    bool restart;
    int before;
    int after;
};

static const struct move_case move_cases[] = {
    {"disabled", {"/mind/wheat enabled false"}, TARGET_LIVE, false, 1, 0},
    {"removed",
     {"/mind/wheat/caterers type ", "/mind/wheat type "},
     TARGET_LIVE,
     false,
     1,
     0},
    {"leaving", {NULL}, TARGET_DRAINING, false, 1, 1},
    {"restarted", {NULL}, TARGET_LIVE, true, 1, 0},
};

static void
change_world(struct world *world, const struct move_case *c, int engine)
{
    int lines = 0;

    while (c->lines[lines] != NULL) {
        lines++;
    }
    if (lines > 0) {
        set_tree(world, c->lines, lines);
    }
    lock(world);
    if (c->restart) {
        world->engines[engine].incarnation++;
        g_hash_table_remove_all(world->engines[engine].loaded);
        g_hash_table_remove_all(world->engines[engine].fences);
    }
    set_state(world, engine, c->state);
    unlock(world);
}

static void
test_move(gconstpointer data)
{
    const struct move_case *c = data;
    struct world world;
    struct node_under_test *node;
    struct placement placement;
    int engine;

    world_init(&world, 2, false);
    node = start_node(&world);
    placement = want_leaf(node, LEAF);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    engine = placement.target == world.engines[0].id ? 0 : 1;
    wait_item(&world, engine, LEAF, ITEM_LOADED);
    change_world(&world, c, engine);
    if (c->after == 0) {
        wait_released(&world, LEAF);
        wait_replicas(&world, LEAF, 0);
    }
    else {
        wait_item(&world, 1 - engine, LEAF, ITEM_LOADED);
        wait_replicas(&world, LEAF, 1);
    }
    world_free(&world);
}

/* Guards against a replica that is lost with its engine and keeps the slot,
   and against a slot that is freed while the engine may still be there. */
static void
test_gone(void)
{
    struct world world;
    struct node_under_test *node;
    struct placement placement;
    int engine;

    world_init(&world, 2, false);
    node = start_node(&world);
    placement = want_leaf(node, LEAF);
    engine = placement.target == world.engines[0].id ? 0 : 1;
    wait_item(&world, engine, LEAF, ITEM_LOADED);
    lock(&world);
    set_state(&world, engine, TARGET_DOWN);
    unlock(&world);
    post_want(node, LEAF);
    lock(&world);
    g_hash_table_remove_all(world.engines[engine].loaded);
    set_state(&world, engine, TARGET_GONE);
    unlock(&world);
    do {
        placement = want_leaf(node, LEAF);
    } while (placement.target == world.engines[engine].id);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    g_assert_cmpuint(placement.target, ==, world.engines[1 - engine].id);
    world_free(&world);
}

/* Guards against replicas_min and a lowered replicas_max without effect. */
static void
test_replicas(void)
{
    const char *up[] = {"/mind/wheat replicas_max 2",
                        "/mind/wheat replicas_min 2"};
    const char *down[] = {"/mind/wheat replicas_min 1",
                          "/mind/wheat replicas_max 1"};
    struct world world;

    world_init(&world, 3, false);
    world.limit = 2;
    set_tree(&world, up, 2);
    start_node(&world);
    wait_replicas(&world, LEAF, 2);
    set_tree(&world, down, 2);
    wait_replicas(&world, LEAF, 1);
    world_free(&world);
}

/* Guards against a cold leaf that waits for ever beside an idle one, and
   against an eviction that breaks replicas_min. */
static void
test_evict(void)
{
    const char *line = "/mind/rye replicas_min 1";
    struct world world;
    struct node_under_test *other;
    struct node_under_test *node;

    world_init(&world, 2, false);
    set_tree(&world, &line, 1);
    world.owner = 2;
    other = start_node(&world);
    node = start_node(&world);
    wait_replicas(&world, RIVAL, 1);
    g_assert_cmpint(want_leaf(other, LEAF).kind, ==, ERR_NONE);
    set_tree(&world,
             (const char *const[]){"/mind/oat type \"model\"",
                                   "/mind/oat memory_mb 60"},
             2);
    g_assert_cmpint(want_room(node, "/mind/oat").kind, ==, ERR_NONE);
    lock(&world);
    g_assert_cmpint(replicas(&world, LEAF), ==, 0);
    g_assert_cmpint(replicas(&world, RIVAL), ==, 1);
    unlock(&world);
    world_free(&world);
}

/* Guards against a replica without a record that stays loaded, and against
   the unload of one that was reserved in the meantime. */
static void
test_stray(void)
{
    struct orders_port port = {&plain_port_ops};
    struct orders orders = {.port = &port};
    struct world world;
    struct node_under_test *node;
    struct placement placement;
    struct order *order;
    bool loaded = true;

    world_init(&world, 1, false);
    orders.kv = &world.kv;
    orders.api = &world.api;
    order = decide_load(&world, LEAF, 0, 1);
    order_execute(&orders, order);
    g_assert_cmpint(order->err.kind, ==, ERR_NONE);
    order_free(order);
    order = decide_load(&world, LEAF, 0, 1);
    order->kind = ORDER_UNLOAD;
    order->stray = true;
    order_execute(&orders, order);
    g_assert_cmpint(order->err.kind, ==, ERR_KV_CONFLICT);
    g_assert_cmpint(world.engines[0].unloads, ==, 0);
    order_free(order);
    apply_load(&world, &world.engines[0], RIVAL, 30, 1, NULL);
    node = start_node(&world);
    while (loaded) {
        lock(&world);
        loaded = replicas(&world, RIVAL) > 0;
        report_all(&world);
        unlock(&world);
        ring_pop(&node->placed, &placement, WANT_REPEAT_MS);
    }
    world_free(&world);
}

/* Guards against invariants that hold only in the order of the other tests.
   Faults and wants come from the seed; the interleaving is free. */
static const unsigned random_seeds[] = {1, 20261204, 77};

enum { RANDOM_ROUNDS = 60 };

static void
set_faults(struct world *world, int lose_answers, int fail_calls)
{
    pthread_mutex_lock(&world->store.lock);
    world->store.lose_answers = lose_answers;
    world->store.fail_calls = fail_calls;
    pthread_mutex_unlock(&world->store.lock);
}

static void
random_round(struct world *world, GRand *random,
             struct node_under_test *const *nodes)
{
    static const char *const paths[] = {LEAF, RIVAL, ADAPTER};
    static const enum load_mode modes[] = {LOAD_NORMAL, LOAD_ANSWER_LOST,
                                           LOAD_ORDER_LATE, LOAD_REFUSED};
    int engine = g_rand_int_range(random, 0, world->engine_count);
    struct placement placement;

    set_faults(world, g_rand_int_range(random, 0, 3),
               g_rand_int_range(random, 0, 2));
    set_mode(world, engine, modes[g_rand_int_range(random, 0, 4)]);
    post_want(nodes[g_rand_int_range(random, 0, 2)],
              paths[g_rand_int_range(random, 0, 3)]);
    ring_pop(&nodes[0]->placed, &placement, g_rand_int_range(random, 0, 40));
    lock(world);
    if (!world->engines[0].checks_fence && g_rand_boolean(random)) {
        deliver_late(world, &world->engines[engine]);
    }
    unlock(world);
}

static void
test_random(gconstpointer data)
{
    unsigned seed = *(const unsigned *)data;
    GRand *random = g_rand_new_with_seed(seed);
    const char *line = "/mind idle_unload_s 1";
    struct world world;
    struct node_under_test *nodes[2];

    g_test_message("seed %u", seed);
    world_init(&world, 2, seed % 2 == 0);
    set_tree(&world, &line, 1);
    nodes[0] = start_node(&world);
    nodes[1] = start_node(&world);
    for (int i = 0; i < RANDOM_ROUNDS; i++) {
        random_round(&world, random, nodes);
    }
    set_faults(&world, 0, 0);
    set_mode(&world, 0, LOAD_NORMAL);
    set_mode(&world, 1, LOAD_NORMAL);
    wait_released(&world, LEAF);
    wait_released(&world, RIVAL);
    wait_released(&world, ADAPTER);
    g_rand_free(random);
    world_free(&world);
}

static void
add(const char *group, const char *name, gconstpointer data,
    GTestDataFunc function)
{
    char *path = g_strdup_printf("/order/%s/%s", group, name);

    g_test_add_data_func(path, data, function);
    g_free(path);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(load_cases); i++) {
        add("load", load_cases[i].name, &load_cases[i], test_load);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(outdated_cases); i++) {
        add("outdated", outdated_cases[i].name, &outdated_cases[i],
            test_outdated);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(lost_cases); i++) {
        add("lost", lost_cases[i].name, &lost_cases[i], test_lost);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(handover_cases); i++) {
        add("handover", handover_cases[i].name, &handover_cases[i],
            test_handover);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(race_cases); i++) {
        add("race", race_cases[i].name, &race_cases[i], test_race);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(left_cases); i++) {
        add("left", left_cases[i].name, &left_cases[i], test_left);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(move_cases); i++) {
        add("move", move_cases[i].name, &move_cases[i], test_move);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(random_seeds); i++) {
        char name[32];

        snprintf(name, sizeof(name), "seed_%u", random_seeds[i]);
        add("random", name, &random_seeds[i], test_random);
    }
    g_test_add_func("/order/new_owner_waits", test_new_owner_waits);
    g_test_add_func("/order/remote_want", test_remote_want);
    g_test_add_func("/order/stale", test_stale);
    g_test_add_func("/order/gone", test_gone);
    g_test_add_func("/order/replicas", test_replicas);
    g_test_add_func("/order/evict", test_evict);
    g_test_add_func("/order/stray", test_stray);
    return g_test_run();
}
