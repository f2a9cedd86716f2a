/* Tests of placement with an in-memory key-value service and fake engines. */
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
    INSTANCES_MAX = 3,
    DELAYED_ORDERS_MAX = 16,
    REQUEST_REPEAT_MS = 500,
    /* Each comes after a wait of 2 s. */
    NO_ROOM_REPLIES_MAX = 8,
    FORMER_OWNER = 77,
};

enum load_mode {
    LOAD_NORMAL,
    LOAD_HELD,
    LOAD_RESPONSE_LOST,
    LOAD_ORDER_DELAYED,
    LOAD_REFUSED,
};

/* An order delayed in the network after its call has ended. */
struct delayed_order {
    char path[PATH_MAX_BYTES];
    int64_t mb;
    uint64_t fence;
};

/*
 * A fake engine. The test aborts when its memory is exceeded. Fences are
 * checked per leaf, because an order names the leaf.
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
    struct delayed_order delayed[DELAYED_ORDERS_MAX];
    int delayed_count;
    int loads;
    int unloads;
    int held_loads;
};

struct fixture;

/* An instance under test, with its supervisor in a thread. */
struct instance {
    struct place_port port;
    struct fixture *fixture;
    uint64_t self;
    struct place *place;
    struct supervisor supervisor;
    pthread_t thread;
    bool running;
    struct ring placed;
    _Atomic bool config_fresh;
    int unanswered; /* load requests posted less replies received */
};

/* Fake surroundings of the instances; the key-value service signals each
   write through @changed. */
struct fixture {
    struct kv kv;
    struct engine_api api;
    struct kv_memory memory_kv;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    struct engine engines[ENGINES_MAX];
    int engine_count;
    struct instance instances[INSTANCES_MAX];
    int instance_count;
    struct tree *tree;
    uint64_t owner;
    int64_t limit;
    bool former_owner_alive;
    int settle_queries;
    int held_kv_calls;
    bool hold_kv_calls;
};

static void
signal_change(struct fixture *fixture)
{
    pthread_cond_broadcast(&fixture->changed);
}

static struct fixture *
fixture_of_kv(struct kv *kv)
{
    return (struct fixture *)kv;
}

/* Simulates a slow key-value service: calls block while @hold_kv_calls. */
static void
wait_while_held(struct fixture *fixture)
{
    pthread_mutex_lock(&fixture->lock);
    fixture->held_kv_calls++;
    signal_change(fixture);
    while (fixture->hold_kv_calls) {
        pthread_cond_wait(&fixture->changed, &fixture->lock);
    }
    fixture->held_kv_calls--;
    pthread_mutex_unlock(&fixture->lock);
}

static void
signal_change_locked(struct fixture *fixture)
{
    pthread_mutex_lock(&fixture->lock);
    signal_change(fixture);
    pthread_mutex_unlock(&fixture->lock);
}

static bool
slow_get(struct kv *kv, const char *key, struct kv_entry *entry,
         struct err *err)
{
    struct fixture *fixture = fixture_of_kv(kv);

    wait_while_held(fixture);
    return fixture->memory_kv.kv.ops->get(&fixture->memory_kv.kv, key, entry,
                                          err);
}

static bool
slow_range(struct kv *kv, const char *from, const char *end, int limit,
           struct kv_entries *entries, struct err *err)
{
    struct fixture *fixture = fixture_of_kv(kv);

    wait_while_held(fixture);
    return fixture->memory_kv.kv.ops->range(&fixture->memory_kv.kv, from, end,
                                            limit, entries, err);
}

static bool
slow_cas(struct kv *kv, const char *key, int64_t expected, const void *value,
         size_t value_bytes, int64_t *revision, struct err *err)
{
    struct fixture *fixture = fixture_of_kv(kv);
    bool ok;

    wait_while_held(fixture);
    ok = fixture->memory_kv.kv.ops->cas(&fixture->memory_kv.kv, key, expected,
                                        value, value_bytes, revision, err);
    signal_change_locked(fixture);
    return ok;
}

static const struct kv_ops slow_kv_ops = {
    .get = slow_get,
    .range = slow_range,
    .cas = slow_cas,
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
replicas(const struct fixture *fixture, const char *path)
{
    int count = 0;

    for (int i = 0; i < fixture->engine_count; i++) {
        count +=
            g_hash_table_contains(fixture->engines[i].loaded, path) ? 1 : 0;
    }
    return count;
}

/* Called with the lock held. Aborts when an invariant is broken. */
static void
check_invariants(const struct fixture *fixture, const char *path)
{
    for (int i = 0; i < fixture->engine_count; i++) {
        const struct engine *engine = &fixture->engines[i];

        g_assert_cmpint(used_mb(engine), <=, engine->memory_mb);
    }
    g_assert_cmpint(replicas(fixture, path), <=, fixture->limit);
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

/* Called with the lock held. Executes an order to load. */
static bool
apply_load(struct fixture *fixture, struct engine *engine, const char *path,
           int64_t mb, uint64_t fence, struct err *err)
{
    if (!fence_passes(engine, path, fence, err)) {
        return false;
    }
    engine->loads++;
    g_hash_table_insert(engine->loaded, g_strdup(path), GINT_TO_POINTER(mb));
    check_invariants(fixture, path);
    return true;
}

/*
 * Called with the lock held. Executes the delayed orders. Their calls have
 * ended, so they are executed before any order sent from now on.
 */
static void
deliver_delayed(struct fixture *fixture, struct engine *engine)
{
    for (int i = 0; i < engine->delayed_count; i++) {
        const struct delayed_order *delayed = &engine->delayed[i];

        apply_load(fixture, engine, delayed->path, delayed->mb, delayed->fence,
                   NULL);
    }
    engine->delayed_count = 0;
}

static void
deliver_ended_orders(struct fixture *fixture, struct engine *engine)
{
    if (!engine->checks_fence) {
        deliver_delayed(fixture, engine);
    }
}

static struct engine *
engine_at(struct fixture *fixture, const char *address)
{
    for (int i = 0; i < fixture->engine_count; i++) {
        if (strcmp(fixture->engines[i].name, address) == 0) {
            return &fixture->engines[i];
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

/* Called with the lock held, so that reports are in the order of changes. */
static void
report_all(struct fixture *fixture)
{
    for (int n = 0; n < fixture->instance_count; n++) {
        for (int i = 0; i < fixture->engine_count; i++) {
            struct target_report report;

            fill_report(&fixture->engines[i], &report);
            if (fixture->instances[n].running) {
                place_post_report(fixture->instances[n].place, &report, NULL);
            }
        }
    }
    signal_change(fixture);
}

static bool
fake_load(struct engine_api *api, const char *address, const char *path,
          int64_t memory_mb, uint64_t fence, struct err *err)
{
    struct fixture *fixture =
        (struct fixture *)((char *)api - offsetof(struct fixture, api));
    struct engine *engine = engine_at(fixture, address);
    struct delayed_order *delayed;
    bool ok = false;

    pthread_mutex_lock(&fixture->lock);
    engine->held_loads++;
    signal_change(fixture);
    while (engine->mode == LOAD_HELD) {
        pthread_cond_wait(&fixture->changed, &fixture->lock);
    }
    engine->held_loads--;
    switch (engine->mode) {
    case LOAD_REFUSED:
        err_set(err, ERR_LOAD_FAILED, "refused");
        break;
    case LOAD_ORDER_DELAYED:
        g_assert_cmpint(engine->delayed_count, <, DELAYED_ORDERS_MAX);
        delayed = &engine->delayed[engine->delayed_count++];
        g_strlcpy(delayed->path, path, sizeof(delayed->path));
        delayed->mb = memory_mb;
        delayed->fence = fence;
        err_set(err, ERR_TIMEOUT, "no answer");
        break;
    case LOAD_RESPONSE_LOST:
        apply_load(fixture, engine, path, memory_mb, fence, err);
        err_set(err, ERR_IO, "answer lost");
        break;
    default:
        ok = apply_load(fixture, engine, path, memory_mb, fence, err);
        break;
    }
    report_all(fixture);
    pthread_mutex_unlock(&fixture->lock);
    return ok;
}

static bool
fake_unload(struct engine_api *api, const char *address, const char *path,
            uint64_t fence, struct err *err)
{
    struct fixture *fixture =
        (struct fixture *)((char *)api - offsetof(struct fixture, api));
    struct engine *engine = engine_at(fixture, address);
    bool ok;

    pthread_mutex_lock(&fixture->lock);
    ok = fence_passes(engine, path, fence, err);
    if (ok) {
        deliver_ended_orders(fixture, engine);
        engine->unloads++;
        g_hash_table_remove(engine->loaded, path);
    }
    report_all(fixture);
    pthread_mutex_unlock(&fixture->lock);
    return ok;
}

static const struct engine_api_ops fake_api_ops = {fake_load, fake_unload};

static struct instance *
instance_of(struct place_port *port)
{
    return (struct instance *)port;
}

static void
fake_report_placement(struct place_port *port,
                      const struct placement *placement)
{
    ring_push(&instance_of(port)->placed, placement, NULL);
}

/* With an owner of 0 each instance considers itself the owner. */
static uint64_t
fake_owner(struct place_port *port, uint64_t leaf)
{
    struct fixture *fixture = instance_of(port)->fixture;
    uint64_t owner;

    (void)leaf;
    pthread_mutex_lock(&fixture->lock);
    owner = fixture->owner;
    pthread_mutex_unlock(&fixture->lock);
    return owner == 0 ? instance_of(port)->self : owner;
}

static bool
fake_send(struct place_port *port, uint64_t member,
          Turmeric__Envelope *envelope)
{
    struct fixture *fixture = instance_of(port)->fixture;
    size_t bytes = turmeric__envelope__get_packed_size(envelope);
    uint8_t *packed = g_malloc(bytes);
    Turmeric__Envelope *copy;
    bool sent = false;

    turmeric__envelope__pack(envelope, packed);
    copy = turmeric__envelope__unpack(NULL, bytes, packed);
    g_free(packed);
    pthread_mutex_lock(&fixture->lock);
    if (envelope->body_case == TURMERIC__ENVELOPE__BODY_SETTLE) {
        fixture->settle_queries++;
        signal_change(fixture);
    }
    for (int i = 0; i < fixture->instance_count; i++) {
        if (fixture->instances[i].self == member &&
            fixture->instances[i].running) {
            sent =
                place_post_envelope(fixture->instances[i].place, copy, NULL);
        }
    }
    pthread_mutex_unlock(&fixture->lock);
    if (!sent) {
        turmeric__envelope__free_unpacked(copy, NULL);
    }
    return sent;
}

static struct tree *
fake_tree(struct place_port *port)
{
    struct fixture *fixture = instance_of(port)->fixture;
    struct tree *tree;

    pthread_mutex_lock(&fixture->lock);
    tree = tree_ref(fixture->tree);
    pthread_mutex_unlock(&fixture->lock);
    return tree;
}

static bool
fake_config_fresh(struct place_port *port)
{
    return instance_of(port)->config_fresh;
}

static bool
fake_member_alive(struct place_port *port, uint64_t member, uint64_t start)
{
    struct fixture *fixture = instance_of(port)->fixture;
    bool alive;

    (void)start;
    pthread_mutex_lock(&fixture->lock);
    alive = member != FORMER_OWNER || fixture->former_owner_alive;
    pthread_mutex_unlock(&fixture->lock);
    return alive;
}

static const struct place_port_ops fake_port_ops = {
    .report_placement = fake_report_placement,
    .owner = fake_owner,
    .send = fake_send,
    .tree_ref = fake_tree,
    .config_fresh = fake_config_fresh,
    .member_alive = fake_member_alive,
};

/* Changes the tree; each line is "node key value". */
static void
change_tree(struct fixture *fixture, const char *const *lines, int count)
{
    struct edit_change changes[32];
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
    pthread_mutex_lock(&fixture->lock);
    old = fixture->tree;
    tree = tree_apply(old, &edit, tree_revision(old) + 1, &err);
    if (tree == NULL) {
        g_error("tree: %s", err.text);
    }
    fixture->tree = tree;
    pthread_mutex_unlock(&fixture->lock);
    tree_unref(old);
}

#define LEAF "/mind/wheat"
#define OTHER_LEAF "/mind/rye"
#define ADAPTER "/mind/wheat/caterers"

static const char *const initial_tree[] = {
    "/mind type \"service\"",
    "/mind/wheat type \"model\"",
    "/mind/rye type \"model\"",
    "/mind/wheat/caterers type \"adapter\"",
    "/mind/wheat memory_mb 60",
    "/mind/rye memory_mb 60",
    "/mind/wheat/caterers memory_mb 10",
};

static void
fixture_init(struct fixture *fixture, int engines, bool checks_fence)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->kv.ops = &slow_kv_ops;
    fixture->api.ops = &fake_api_ops;
    kv_memory_init(&fixture->memory_kv);
    pthread_mutex_init(&fixture->lock, NULL);
    cond_init_monotonic(&fixture->changed);
    fixture->tree = tree_new();
    fixture->limit = 1;
    fixture->former_owner_alive = true;
    fixture->engine_count = engines;
    for (int i = 0; i < engines; i++) {
        struct engine *engine = &fixture->engines[i];

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
    change_tree(fixture, initial_tree, G_N_ELEMENTS(initial_tree));
    if (checks_fence) {
        const char *change = "/mind checks_fence true";

        change_tree(fixture, &change, 1);
    }
}

static void *
run_instance(void *argument)
{
    struct instance *instance = argument;
    struct err err = {0};

    g_assert_true(supervisor_run(&instance->supervisor, &err));
    return NULL;
}

static struct instance *
start_instance(struct fixture *fixture)
{
    struct instance *instance = &fixture->instances[fixture->instance_count];

    instance->port.ops = &fake_port_ops;
    instance->fixture = fixture;
    instance->self = (uint64_t)fixture->instance_count + 1;
    instance->config_fresh = true;
    g_assert_true(
        ring_init(&instance->placed, 1024, sizeof(struct placement), NULL));
    instance->place = place_new(&fixture->kv, &fixture->api, instance->self, 1,
                                &instance->port, NULL);
    g_assert_nonnull(instance->place);
    supervisor_init(&instance->supervisor, "test");
    supervisor_add(&instance->supervisor, place_duty(instance->place));
    pthread_create(&instance->thread, NULL, run_instance, instance);
    pthread_mutex_lock(&fixture->lock);
    fixture->instance_count++;
    instance->running = true;
    report_all(fixture);
    pthread_mutex_unlock(&fixture->lock);
    return instance;
}

static void
stop_instance(struct instance *instance)
{
    struct fixture *fixture = instance->fixture;

    pthread_mutex_lock(&fixture->lock);
    instance->running = false;
    pthread_mutex_unlock(&fixture->lock);
    supervisor_stop(&instance->supervisor);
    pthread_join(instance->thread, NULL);
    supervisor_free(&instance->supervisor);
    place_free(instance->place);
    ring_free(&instance->placed);
}

static void
fixture_free(struct fixture *fixture)
{
    for (int i = 0; i < fixture->instance_count; i++) {
        if (fixture->instances[i].running) {
            stop_instance(&fixture->instances[i]);
        }
    }
    for (int i = 0; i < fixture->engine_count; i++) {
        g_hash_table_unref(fixture->engines[i].loaded);
        g_hash_table_unref(fixture->engines[i].fences);
        g_hash_table_unref(fixture->engines[i].cached);
    }
    tree_unref(fixture->tree);
    kv_memory_free(&fixture->memory_kv);
    pthread_cond_destroy(&fixture->changed);
    pthread_mutex_destroy(&fixture->lock);
}

static void
post_load_request(struct instance *instance, const char *path)
{
    struct load_request request = {
        .leaf = hash_text(path), .priority = 5, .waiting = 1};

    g_strlcpy(request.path, path, sizeof(request.path));
    g_assert_true(place_post_load_request(instance->place, &request, NULL));
    instance->unanswered++;
}

/* Repeats the load request, as the route duty does, until there is a reply. */
static struct placement
request_leaf(struct instance *instance, const char *path)
{
    struct placement placement;

    post_load_request(instance, path);
    for (;;) {
        enum ring_result result =
            ring_pop(&instance->placed, &placement, REQUEST_REPEAT_MS);

        if (result == RING_OK) {
            instance->unanswered--;
        }
        if (result == RING_OK && placement.leaf == hash_text(path)) {
            return placement;
        }
        if (result == RING_TIMEOUT) {
            post_load_request(instance, path);
        }
    }
}

/* Repeats the load request while no engine has enough memory. */
static struct placement
request_until_room(struct instance *instance, const char *path)
{
    struct placement placement;
    int replies = 0;

    do {
        placement = request_leaf(instance, path);
        if (++replies > NO_ROOM_REPLIES_MAX) {
            g_error("instance %d: %d replies \"memory full\" for %s",
                    (int)instance->self, replies, path);
        }
    } while (placement.kind == ERR_MEMORY_FULL);
    return placement;
}

static void
lock(struct fixture *fixture)
{
    pthread_mutex_lock(&fixture->lock);
}

static void
unlock(struct fixture *fixture)
{
    pthread_mutex_unlock(&fixture->lock);
}

/* Called with the lock held. */
static void
wait_change(struct fixture *fixture)
{
    pthread_cond_wait(&fixture->changed, &fixture->lock);
}

static struct engine_record *
read_engine_record(struct fixture *fixture, const struct engine *engine)
{
    struct engine_record *record = g_new0(struct engine_record, 1);
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    struct err err = {0};

    record_key(key, sizeof(key), "engines", engine->id);
    g_assert_true(kv_get(&fixture->memory_kv.kv, key, &entry, NULL));
    if (entry.revision != 0) {
        g_assert_true(engine_decode(entry.value, engine->id, record, &err));
    }
    kv_entry_free(&entry);
    return record;
}

static int
slot_count(struct fixture *fixture, const char *path)
{
    struct replica_record *record = g_new0(struct replica_record, 1);
    struct kv_entry entry = {0};
    char key[KV_KEY_MAX_BYTES];
    struct err err = {0};
    int count;

    record_key(key, sizeof(key), "replicas", hash_text(path));
    g_assert_true(kv_get(&fixture->memory_kv.kv, key, &entry, NULL));
    if (entry.revision != 0) {
        g_assert_true(
            replica_decode(entry.value, hash_text(path), record, &err));
    }
    kv_entry_free(&entry);
    count = record->slot_count;
    g_free(record);
    return count;
}

/* Waits until the leaf has no slot and no item in any engine's record. */
static void
wait_released(struct fixture *fixture, const char *path)
{
    bool released = false;

    lock(fixture);
    while (!released) {
        released = slot_count(fixture, path) == 0;
        for (int i = 0; i < fixture->engine_count; i++) {
            struct engine_record *record =
                read_engine_record(fixture, &fixture->engines[i]);

            released &= item_find(record, hash_text(path)) == NULL;
            g_free(record);
        }
        if (!released) {
            wait_change(fixture);
        }
    }
    unlock(fixture);
}

/* Called with the lock held. */
static void
set_state(struct fixture *fixture, int engine, enum target_state state)
{
    fixture->engines[engine].state = state;
    report_all(fixture);
}

static void
set_mode(struct fixture *fixture, int engine, enum load_mode mode)
{
    lock(fixture);
    fixture->engines[engine].mode = mode;
    signal_change(fixture);
    unlock(fixture);
}

static void
wait_replicas(struct fixture *fixture, const char *path, int count)
{
    lock(fixture);
    while (replicas(fixture, path) != count) {
        wait_change(fixture);
    }
    unlock(fixture);
}

/* Waits until the leaf's item in the engine's record is in this state. */
static void
wait_item(struct fixture *fixture, int engine, const char *path,
          enum item_state state)
{
    bool reached = false;

    lock(fixture);
    while (!reached) {
        struct engine_record *record =
            read_engine_record(fixture, &fixture->engines[engine]);
        const struct item *item = item_find(record, hash_text(path));

        reached = item != NULL && item->state == state;
        g_free(record);
        if (!reached) {
            wait_change(fixture);
        }
    }
    unlock(fixture);
}

/* Guards against a requested leaf that is not loaded or gets no reply, also
   when responses of the key-value service or of the engine are lost. */
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
    {"kv_down_at_first", false, 0, 30, LOAD_NORMAL, 0, LEAF},
    {"engine_answer_lost", false, 0, 0, LOAD_RESPONSE_LOST, 1, LEAF},
    {"engine_answer_lost_fences", true, 0, 0, LOAD_RESPONSE_LOST, 1, LEAF},
    {"order_late", false, 0, 0, LOAD_ORDER_DELAYED, 1, LEAF},
    {"order_late_fences", true, 0, 0, LOAD_ORDER_DELAYED, 1, LEAF},
    {"refused", false, 0, 0, LOAD_REFUSED, 1, LEAF},
};

static void
test_load(gconstpointer data)
{
    const struct load_case *c = data;
    const char *change = "/mind idle_unload_s 1";
    struct fixture fixture;
    struct instance *instance;
    struct placement placement;

    fixture_init(&fixture, 1, c->checks_fence);
    change_tree(&fixture, &change, 1);
    fixture.memory_kv.lose_responses = c->lose_answers;
    fixture.memory_kv.fail_calls = c->fail_calls;
    fixture.engines[0].mode = c->mode;
    instance = start_instance(&fixture);
    for (int i = 0; i < c->refusals; i++) {
        placement = request_leaf(instance, c->path);
        g_assert_cmpint(placement.kind, ==, ERR_LOAD_FAILED);
    }
    set_mode(&fixture, 0, LOAD_NORMAL);
    placement = request_leaf(instance, c->path);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    g_assert_cmpuint(placement.target, ==, fixture.engines[0].id);
    lock(&fixture);
    g_assert_cmpint(replicas(&fixture, c->path), ==, 1);
    deliver_delayed(&fixture, &fixture.engines[0]);
    unlock(&fixture);
    wait_released(&fixture, c->path);
    lock(&fixture);
    deliver_delayed(&fixture, &fixture.engines[0]);
    g_assert_cmpint(replicas(&fixture, c->path), ==, 0);
    unlock(&fixture);
    fixture_free(&fixture);
}

static bool
always_fresh(struct orders_port *port)
{
    (void)port;
    return true;
}

static void
ignore_loaded(struct orders_port *port, const struct order *order)
{
    (void)port;
    (void)order;
}

static const struct orders_port_ops port_ops_without_duty = {
    .config_fresh = always_fresh,
    .loaded = ignore_loaded,
};

/* Guards against an order that relies on a decision made before another member
   changed the records. Both orders are decided before any record is written,
   and the second runs after the first. */
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
    {"last_memory", OTHER_LEAF, 0, 1, 1, ERR_MEMORY_FULL, 1},
    {"other_memory", OTHER_LEAF, 1, 1, 1, ERR_NONE, 2},
    {"older_configuration", LEAF, 1, 2, 0, ERR_CONFIG_STALE, 1},
};

static struct order *
decide_load(struct fixture *fixture, const char *path, int engine,
            uint64_t member)
{
    struct order *order = g_new0(struct order, 1);

    order->kind = ORDER_LOAD;
    g_strlcpy(order->path, path, sizeof(order->path));
    order->reservation = (struct reservation_request){
        hash_text(path), order->path, 60, 0, member, 1};
    order->limit = 1;
    order->revision = 1;
    fill_report(&fixture->engines[engine], &order->report);
    return order;
}

static void
test_outdated(gconstpointer data)
{
    const struct outdated_case *c = data;
    struct orders_port port = {&port_ops_without_duty};
    struct orders orders = {.port = &port};
    struct fixture fixture;
    struct order *first;
    struct order *second;

    fixture_init(&fixture, 2, false);
    fixture.limit = c->limit;
    orders.kv = &fixture.kv;
    orders.api = &fixture.api;
    first = decide_load(&fixture, LEAF, 0, 1);
    second = decide_load(&fixture, c->path, c->engine, 2);
    second->limit = c->limit;
    second->revision = c->revision;
    order_execute(&orders, first);
    g_assert_cmpint(first->err.kind, ==, ERR_NONE);
    order_execute(&orders, second);
    g_assert_cmpint(second->err.kind, ==, c->kind);
    g_assert_cmpint(fixture.engines[0].loads + fixture.engines[1].loads, ==,
                    c->loads);
    g_assert_cmpint(slot_count(&fixture, LEAF), <=, c->limit);
    order_free(first);
    order_free(second);
    fixture_free(&fixture);
}

/* Guards against an order that fails because it does not recognise its own
   write, and against one that is sent although its reservation may not have
   been written. */
struct lost_response_case {
    const char *name;
    int lose_answers;
    int fail_calls;
    enum err_kind kind;
    int loads;
};

static const struct lost_response_case lost_response_cases[] = {
    {"none", 0, 0, ERR_NONE, 1},
    {"slot", 1, 0, ERR_NONE, 1},
    {"slot_and_reservation", 2, 0, ERR_NONE, 1},
    {"all", 3, 0, ERR_NONE, 1},
    {"first_calls_fail", 0, 5, ERR_NONE, 1},
    {"kv_down", 0, 1000, ERR_KV_DOWN, 0},
};

static void
test_lost_responses(gconstpointer data)
{
    const struct lost_response_case *c = data;
    struct orders_port port = {&port_ops_without_duty};
    struct orders orders = {.port = &port};
    struct fixture fixture;
    struct order *order;

    fixture_init(&fixture, 1, false);
    orders.kv = &fixture.kv;
    orders.api = &fixture.api;
    fixture.memory_kv.lose_responses = c->lose_answers;
    fixture.memory_kv.fail_calls = c->fail_calls;
    order = decide_load(&fixture, LEAF, 0, 1);
    order_execute(&orders, order);
    g_assert_cmpint(order->err.kind, ==, c->kind);
    g_assert_cmpint(fixture.engines[0].loads, ==, c->loads);
    fixture.memory_kv.fail_calls = 0;
    g_assert_cmpint(slot_count(&fixture, LEAF), ==, c->loads);
    if (c->loads > 0) {
        g_assert_cmpint(order->views[0].item.state, ==, ITEM_LOADED);
        g_assert_cmpint(order->views[0].item.sender_count, ==, 0);
    }
    order_free(order);
    fixture_free(&fixture);
}

/* Guards against a use after free of a submitted order: an order thread may
   release it before orders_submit() returns, so the pointer is set to NULL. */
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
        g_assert_true(orders_submit(&orders, &first, &err));
    }
    g_assert_cmpint(orders_submit(&orders, &order, &err), ==, !c->full);
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
   of an engine. The fake engines abort the test when that happens. */
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
    {"last_memory", 1, {LEAF, OTHER_LEAF}, false, 0},
    {"last_memory_answers_lost", 1, {LEAF, OTHER_LEAF}, true, 4},
};

static void
test_race(gconstpointer data)
{
    const struct race_case *c = data;
    struct fixture fixture;
    struct instance *instances[2];
    uint64_t targets[2];

    fixture_init(&fixture, c->engines, c->checks_fence);
    fixture.memory_kv.lose_responses = c->lose_answers;
    for (int i = 0; i < 2; i++) {
        instances[i] = start_instance(&fixture);
    }
    for (int i = 0; i < 2; i++) {
        post_load_request(instances[i], c->paths[i]);
    }
    for (int i = 0; i < 2; i++) {
        struct placement placement =
            request_until_room(instances[i], c->paths[i]);

        g_assert_cmpint(placement.kind, ==, ERR_NONE);
        targets[i] = placement.target;
    }
    if (strcmp(c->paths[0], c->paths[1]) == 0) {
        g_assert_cmpuint(targets[0], ==, targets[1]);
    }
    fixture_free(&fixture);
}

/* Writes the records of a leaf that another owner has loaded. */
static void
write_loaded_replica(struct fixture *fixture, int engine, const char *path)
{
    struct engine_record *record = g_new0(struct engine_record, 1);
    struct replica_record *replica = g_new0(struct replica_record, 1);
    struct sender owner = {FORMER_OWNER, 1, 1};
    struct reservation_request request = {hash_text(path), path, 60, 0,
                                          FORMER_OWNER,    1};
    struct target_report report;
    char key[KV_KEY_MAX_BYTES];
    int64_t revision;
    char *text;

    replica->leaf = request.leaf;
    g_strlcpy(replica->path, path, sizeof(replica->path));
    g_assert_true(slot_add(replica, fixture->engines[engine].id, &owner, 1, 1,
                           replica, NULL));
    record->engine = fixture->engines[engine].id;
    fill_report(&fixture->engines[engine], &report);
    report.used_mb = 0;
    g_assert_true(reserve_add(record, &request, &report, record, NULL));
    g_assert_true(
        reserve_loaded(record, request.leaf, &owner, false, record, NULL));
    text = engine_encode(record);
    record_key(key, sizeof(key), "engines", record->engine);
    kv_cas(&fixture->memory_kv.kv, key, 0, text, strlen(text), &revision,
           NULL);
    g_free(text);
    text = replica_encode(replica);
    record_key(key, sizeof(key), "replicas", request.leaf);
    kv_cas(&fixture->memory_kv.kv, key, 0, text, strlen(text), &revision,
           NULL);
    g_free(text);
    g_free(record);
    g_free(replica);
}

/* Guards against an instance that refuses calls for a leaf for lack of memory
 * while another one has loaded it: the instance had read the records before,
 * and the engine's report that lists the leaf had come before the records. */
static void
test_loaded_by_other(void)
{
    struct fixture fixture;
    struct instance *instance;
    struct placement placement;

    fixture_init(&fixture, 1, false);
    g_hash_table_add(fixture.engines[0].loaded, g_strdup(LEAF));
    instance = start_instance(&fixture);
    placement = request_leaf(instance, LEAF);
    g_assert_cmpint(placement.kind, ==, ERR_MEMORY_FULL);
    write_loaded_replica(&fixture, 0, LEAF);
    placement = request_until_room(instance, LEAF);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    g_assert_cmpuint(placement.target, ==, fixture.engines[0].id);
    fixture_free(&fixture);
}

/* Writes the records of an owner that failed between its reservation and its
   order, which may still arrive. */
static void
write_abandoned_reservation(struct fixture *fixture, int engine,
                            bool slot_only)
{
    struct engine_record *record = g_new0(struct engine_record, 1);
    struct replica_record *replica = g_new0(struct replica_record, 1);
    struct sender former_owner = {FORMER_OWNER, 1, 1};
    struct reservation_request request = {hash_text(LEAF), LEAF, 60, 0,
                                          FORMER_OWNER,    1};
    struct target_report report;
    char key[KV_KEY_MAX_BYTES];
    int64_t revision;
    char *text;

    replica->leaf = request.leaf;
    g_strlcpy(replica->path, LEAF, sizeof(replica->path));
    g_assert_true(slot_add(replica, fixture->engines[engine].id, &former_owner,
                           1, 1, replica, NULL));
    text = replica_encode(replica);
    record_key(key, sizeof(key), "replicas", request.leaf);
    kv_cas(&fixture->memory_kv.kv, key, 0, text, strlen(text), &revision,
           NULL);
    g_free(text);
    record->engine = fixture->engines[engine].id;
    fill_report(&fixture->engines[engine], &report);
    g_assert_true(reserve_add(record, &request, &report, record, NULL));
    text = engine_encode(record);
    record_key(key, sizeof(key), "engines", record->engine);
    if (!slot_only) {
        kv_cas(&fixture->memory_kv.kv, key, 0, text, strlen(text), &revision,
               NULL);
    }
    g_free(text);
    g_free(record);
    g_free(replica);
}

/* Executes the order of the failed or paused former owner. */
static void
deliver_former_owner_order(struct fixture *fixture, int engine)
{
    lock(fixture);
    apply_load(fixture, &fixture->engines[engine], LEAF, 60, 1, NULL);
    report_all(fixture);
    unlock(fixture);
}

/* Guards against a reservation of a failed owner that is never released, and
   against one that is released while its order can still arrive. */
struct abandoned_case {
    const char *name;
    bool checks_fence;
    bool slot_only;
    bool requested;
    bool alive;
};

static const struct abandoned_case abandoned_cases[] = {
    {"failed_requested", false, false, true, false},
    {"failed_requested_fences", true, false, true, false},
    {"failed_unrequested", false, false, false, false},
    {"failed_unrequested_fences", true, false, false, false},
    {"slot_without_reservation", false, true, false, false},
    {"slot_without_reservation_requested", false, true, true, false},
    {"paused_unrequested", false, false, false, true},
    {"paused_unrequested_fences", true, false, false, true},
};

/* Waits until the owner has unloaded the leaf and queries the sender again, or
   has removed the slot. */
static void
wait_query_after_unload(struct fixture *fixture)
{
    int settle_queries;

    lock(fixture);
    while (fixture->engines[0].unloads == 0) {
        wait_change(fixture);
    }
    settle_queries = fixture->settle_queries;
    while (fixture->settle_queries == settle_queries &&
           slot_count(fixture, LEAF) > 0) {
        wait_change(fixture);
    }
    unlock(fixture);
}

static void
check_paused(struct fixture *fixture, const struct abandoned_case *c)
{
    if (c->checks_fence) {
        /* The unload had a higher fence, so the late order is rejected. */
        wait_released(fixture, LEAF);
        deliver_former_owner_order(fixture, 0);
        lock(fixture);
        g_assert_cmpint(replicas(fixture, LEAF), ==, 0);
        unlock(fixture);
        return;
    }
    wait_query_after_unload(fixture);
    deliver_former_owner_order(fixture, 0);
    lock(fixture);
    g_assert_cmpint(slot_count(fixture, LEAF), ==, 1);
    fixture->former_owner_alive = false;
    unlock(fixture);
    wait_released(fixture, LEAF);
}

static void
test_abandoned(gconstpointer data)
{
    const struct abandoned_case *c = data;
    struct fixture fixture;
    struct instance *instance;

    fixture_init(&fixture, 2, c->checks_fence);
    fixture.former_owner_alive = c->alive;
    write_abandoned_reservation(&fixture, 0, c->slot_only);
    instance = start_instance(&fixture);
    if (c->requested) {
        g_assert_cmpint(request_leaf(instance, LEAF).kind, ==, ERR_NONE);
        wait_replicas(&fixture, LEAF, 1);
    }
    else if (c->alive) {
        check_paused(&fixture, c);
    }
    else {
        wait_released(&fixture, LEAF);
        wait_replicas(&fixture, LEAF, 0);
    }
    fixture_free(&fixture);
}

/* Guards against a new owner that repeats the load of a running member. */
static void
test_new_owner_waits(void)
{
    struct fixture fixture;
    struct instance *old;
    struct instance *new;

    fixture_init(&fixture, 1, false);
    fixture.owner = 1;
    fixture.engines[0].mode = LOAD_HELD;
    old = start_instance(&fixture);
    new = start_instance(&fixture);
    post_load_request(old, LEAF);
    lock(&fixture);
    while (fixture.engines[0].held_loads == 0) {
        wait_change(&fixture);
    }
    fixture.owner = 2;
    unlock(&fixture);
    post_load_request(new, LEAF);
    lock(&fixture);
    while (fixture.settle_queries == 0 && fixture.engines[0].held_loads < 2) {
        wait_change(&fixture);
    }
    unlock(&fixture);
    set_mode(&fixture, 0, LOAD_NORMAL);
    g_assert_cmpint(request_leaf(new, LEAF).kind, ==, ERR_NONE);
    lock(&fixture);
    g_assert_cmpint(fixture.engines[0].loads, ==, 1);
    unlock(&fixture);
    fixture_free(&fixture);
}

/* Guards against a load request lost between the requester and the owner. */
static void
test_remote_request(void)
{
    struct fixture fixture;
    struct instance *requester;

    fixture_init(&fixture, 2, false);
    fixture.owner = 1;
    start_instance(&fixture);
    requester = start_instance(&fixture);
    g_assert_cmpint(request_leaf(requester, LEAF).kind, ==, ERR_NONE);
    fixture_free(&fixture);
}

/* Guards against decisions with an unconfirmed configuration, and against a
   duty that blocks while the key-value service is slow. */
static void
test_config_stale(void)
{
    struct fixture fixture;
    struct instance *instance;
    struct placement placement;
    int older;

    fixture_init(&fixture, 1, false);
    fixture.hold_kv_calls = true;
    instance = start_instance(&fixture);
    post_load_request(instance, LEAF);
    lock(&fixture);
    while (fixture.held_kv_calls == 0) {
        wait_change(&fixture);
    }
    unlock(&fixture);
    instance->config_fresh = false;
    g_assert_cmpint(request_leaf(instance, OTHER_LEAF).kind, ==,
                    ERR_CONFIG_STALE);
    lock(&fixture);
    fixture.hold_kv_calls = false;
    signal_change(&fixture);
    unlock(&fixture);
    g_assert_cmpint(request_leaf(instance, LEAF).kind, ==, ERR_CONFIG_STALE);
    g_assert_cmpint(fixture.memory_kv.writes, ==, 0);
    older = instance->unanswered;
    instance->config_fresh = true;
    /* Replies to earlier load requests may still refuse them as stale. */
    do {
        placement = request_leaf(instance, LEAF);
    } while (placement.kind == ERR_CONFIG_STALE && older-- > 0);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    fixture_free(&fixture);
}

/* Guards against a replica that is kept although its leaf was disabled or
   removed, or its engine is leaving or has restarted. */
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
change_conditions(struct fixture *fixture, const struct move_case *c,
                  int engine)
{
    int lines = 0;

    while (c->lines[lines] != NULL) {
        lines++;
    }
    if (lines > 0) {
        change_tree(fixture, c->lines, lines);
    }
    lock(fixture);
    if (c->restart) {
        fixture->engines[engine].incarnation++;
        g_hash_table_remove_all(fixture->engines[engine].loaded);
        g_hash_table_remove_all(fixture->engines[engine].fences);
    }
    set_state(fixture, engine, c->state);
    unlock(fixture);
}

static void
test_move(gconstpointer data)
{
    const struct move_case *c = data;
    struct fixture fixture;
    struct instance *instance;
    struct placement placement;
    int engine;

    fixture_init(&fixture, 2, false);
    instance = start_instance(&fixture);
    placement = request_leaf(instance, LEAF);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    engine = placement.target == fixture.engines[0].id ? 0 : 1;
    wait_item(&fixture, engine, LEAF, ITEM_LOADED);
    change_conditions(&fixture, c, engine);
    if (c->after == 0) {
        wait_released(&fixture, LEAF);
        wait_replicas(&fixture, LEAF, 0);
    }
    else {
        wait_item(&fixture, 1 - engine, LEAF, ITEM_LOADED);
        wait_replicas(&fixture, LEAF, 1);
    }
    fixture_free(&fixture);
}

/* Guards against a slot that is kept after its engine is gone, and against one
   that is removed while the engine may still be running. */
static void
test_gone(void)
{
    struct fixture fixture;
    struct instance *instance;
    struct placement placement;
    int engine;

    fixture_init(&fixture, 2, false);
    instance = start_instance(&fixture);
    placement = request_leaf(instance, LEAF);
    engine = placement.target == fixture.engines[0].id ? 0 : 1;
    wait_item(&fixture, engine, LEAF, ITEM_LOADED);
    lock(&fixture);
    set_state(&fixture, engine, TARGET_DOWN);
    unlock(&fixture);
    post_load_request(instance, LEAF);
    lock(&fixture);
    g_hash_table_remove_all(fixture.engines[engine].loaded);
    set_state(&fixture, engine, TARGET_GONE);
    unlock(&fixture);
    do {
        placement = request_leaf(instance, LEAF);
    } while (placement.target == fixture.engines[engine].id);
    g_assert_cmpint(placement.kind, ==, ERR_NONE);
    g_assert_cmpuint(placement.target, ==, fixture.engines[1 - engine].id);
    fixture_free(&fixture);
}

/* Guards against replicas_min or a lowered replicas_max being ignored. */
static void
test_replicas(void)
{
    const char *up[] = {"/mind/wheat replicas_max 2",
                        "/mind/wheat replicas_min 2"};
    const char *down[] = {"/mind/wheat replicas_min 1",
                          "/mind/wheat replicas_max 1"};
    struct fixture fixture;

    fixture_init(&fixture, 3, false);
    fixture.limit = 2;
    change_tree(&fixture, up, 2);
    start_instance(&fixture);
    wait_replicas(&fixture, LEAF, 2);
    change_tree(&fixture, down, 2);
    wait_replicas(&fixture, LEAF, 1);
    fixture_free(&fixture);
}

/* Guards against a leaf that is never loaded although an idle one could be
   evicted, and against an eviction that violates replicas_min. */
static void
test_evict(void)
{
    const char *change = "/mind/rye replicas_min 1";
    struct fixture fixture;
    struct instance *other;
    struct instance *instance;

    fixture_init(&fixture, 2, false);
    change_tree(&fixture, &change, 1);
    fixture.owner = 2;
    other = start_instance(&fixture);
    instance = start_instance(&fixture);
    wait_replicas(&fixture, OTHER_LEAF, 1);
    g_assert_cmpint(request_leaf(other, LEAF).kind, ==, ERR_NONE);
    change_tree(&fixture,
                (const char *const[]){"/mind/oat type \"model\"",
                                      "/mind/oat memory_mb 60"},
                2);
    g_assert_cmpint(request_until_room(instance, "/mind/oat").kind, ==,
                    ERR_NONE);
    lock(&fixture);
    g_assert_cmpint(replicas(&fixture, LEAF), ==, 0);
    g_assert_cmpint(replicas(&fixture, OTHER_LEAF), ==, 1);
    unlock(&fixture);
    fixture_free(&fixture);
}

/* Guards against a loaded replica without a record that is not unloaded, and
   against the unload of one that was reserved in the meantime. */
static void
test_stray(void)
{
    struct orders_port port = {&port_ops_without_duty};
    struct orders orders = {.port = &port};
    struct fixture fixture;
    struct instance *instance;
    struct placement placement;
    struct order *order;
    bool loaded = true;

    fixture_init(&fixture, 1, false);
    orders.kv = &fixture.kv;
    orders.api = &fixture.api;
    order = decide_load(&fixture, LEAF, 0, 1);
    order_execute(&orders, order);
    g_assert_cmpint(order->err.kind, ==, ERR_NONE);
    order_free(order);
    order = decide_load(&fixture, LEAF, 0, 1);
    order->kind = ORDER_UNLOAD;
    order->stray = true;
    order_execute(&orders, order);
    g_assert_cmpint(order->err.kind, ==, ERR_KV_CONFLICT);
    g_assert_cmpint(fixture.engines[0].unloads, ==, 0);
    order_free(order);
    apply_load(&fixture, &fixture.engines[0], OTHER_LEAF, 30, 1, NULL);
    instance = start_instance(&fixture);
    while (loaded) {
        lock(&fixture);
        loaded = replicas(&fixture, OTHER_LEAF) > 0;
        report_all(&fixture);
        unlock(&fixture);
        ring_pop(&instance->placed, &placement, REQUEST_REPEAT_MS);
    }
    fixture_free(&fixture);
}

/* Guards against violations of the invariants in sequences that the other
   tests do not cover. The seed determines the faults and load requests, but
   not the interleaving of the threads. */
static const unsigned random_seeds[] = {1, 20261204, 77};

enum { RANDOM_ROUNDS = 60 };

static void
set_faults(struct fixture *fixture, int lose_answers, int fail_calls)
{
    pthread_mutex_lock(&fixture->memory_kv.lock);
    fixture->memory_kv.lose_responses = lose_answers;
    fixture->memory_kv.fail_calls = fail_calls;
    pthread_mutex_unlock(&fixture->memory_kv.lock);
}

static void
random_round(struct fixture *fixture, GRand *random,
             struct instance *const *instances)
{
    static const char *const paths[] = {LEAF, OTHER_LEAF, ADAPTER};
    static const enum load_mode modes[] = {LOAD_NORMAL, LOAD_RESPONSE_LOST,
                                           LOAD_ORDER_DELAYED, LOAD_REFUSED};
    int engine = g_rand_int_range(random, 0, fixture->engine_count);
    struct placement placement;

    set_faults(fixture, g_rand_int_range(random, 0, 3),
               g_rand_int_range(random, 0, 2));
    set_mode(fixture, engine, modes[g_rand_int_range(random, 0, 4)]);
    post_load_request(instances[g_rand_int_range(random, 0, 2)],
                      paths[g_rand_int_range(random, 0, 3)]);
    ring_pop(&instances[0]->placed, &placement,
             g_rand_int_range(random, 0, 40));
    lock(fixture);
    if (!fixture->engines[0].checks_fence && g_rand_boolean(random)) {
        deliver_delayed(fixture, &fixture->engines[engine]);
    }
    unlock(fixture);
}

static void
test_random(gconstpointer data)
{
    unsigned seed = *(const unsigned *)data;
    GRand *random = g_rand_new_with_seed(seed);
    const char *change = "/mind idle_unload_s 1";
    struct fixture fixture;
    struct instance *instances[2];

    g_test_message("seed %u", seed);
    fixture_init(&fixture, 2, seed % 2 == 0);
    change_tree(&fixture, &change, 1);
    instances[0] = start_instance(&fixture);
    instances[1] = start_instance(&fixture);
    for (int i = 0; i < RANDOM_ROUNDS; i++) {
        random_round(&fixture, random, instances);
    }
    set_faults(&fixture, 0, 0);
    set_mode(&fixture, 0, LOAD_NORMAL);
    set_mode(&fixture, 1, LOAD_NORMAL);
    wait_released(&fixture, LEAF);
    wait_released(&fixture, OTHER_LEAF);
    wait_released(&fixture, ADAPTER);
    g_rand_free(random);
    fixture_free(&fixture);
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
    for (size_t i = 0; i < G_N_ELEMENTS(lost_response_cases); i++) {
        add("lost_response", lost_response_cases[i].name,
            &lost_response_cases[i], test_lost_responses);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(handover_cases); i++) {
        add("handover", handover_cases[i].name, &handover_cases[i],
            test_handover);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(race_cases); i++) {
        add("race", race_cases[i].name, &race_cases[i], test_race);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(abandoned_cases); i++) {
        add("abandoned", abandoned_cases[i].name, &abandoned_cases[i],
            test_abandoned);
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
    g_test_add_func("/order/remote_request", test_remote_request);
    g_test_add_func("/order/config_stale", test_config_stale);
    g_test_add_func("/order/loaded_by_other", test_loaded_by_other);
    g_test_add_func("/order/gone", test_gone);
    g_test_add_func("/order/replicas", test_replicas);
    g_test_add_func("/order/evict", test_evict);
    g_test_add_func("/order/stray", test_stray);
    return g_test_run();
}
