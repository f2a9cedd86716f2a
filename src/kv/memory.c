/**
 * DOC: In-memory key-value store for tests.
 *
 * It sorts keys and assigns revisions as etcd does. Two fault counters make
 * calls fail without effect, or take effect without a response.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"

struct stored_value {
    char *value;
    size_t value_bytes;
    int64_t revision;
};

static struct kv_memory *
memory_of(struct kv *kv)
{
    return (struct kv_memory *)kv;
}

static void
stored_value_free(gpointer data)
{
    struct stored_value *stored = data;

    free(stored->value);
    g_free(stored);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    return strcmp(a, b);
}

/* Appends the NUL byte that struct kv_entry requires. */
static char *
copy_value(const void *value, size_t bytes)
{
    char *copy = g_malloc(bytes + 1);

    if (bytes > 0) {
        memcpy(copy, value, bytes);
    }
    copy[bytes] = '\0';
    return copy;
}

static struct stored_value *
stored_value_new(const void *value, size_t value_bytes, int64_t revision)
{
    struct stored_value *stored = g_new0(struct stored_value, 1);

    stored->value = copy_value(value, value_bytes);
    stored->value_bytes = value_bytes;
    stored->revision = revision;
    return stored;
}

static void
fill_entry(struct kv_entry *entry, const char *key,
           const struct stored_value *stored)
{
    g_strlcpy(entry->key, key, sizeof(entry->key));
    if (stored != NULL) {
        entry->value = copy_value(stored->value, stored->value_bytes);
        entry->value_bytes = stored->value_bytes;
        entry->revision = stored->revision;
    }
}

/* Called with the lock held. Returns false when the call must fail. */
static bool
inject_fault(int *fault, struct err *err)
{
    if (*fault <= 0) {
        return true;
    }
    (*fault)--;
    return err_set(err, ERR_KV_DOWN, "injected fault");
}

static bool
memory_get(struct kv *kv, const char *key, struct kv_entry *entry,
           struct err *err)
{
    struct kv_memory *memory = memory_of(kv);
    bool done;

    pthread_mutex_lock(&memory->lock);
    memory->reads++;
    done = inject_fault(&memory->fail_calls, err);
    if (done) {
        fill_entry(entry, key, g_tree_lookup(memory->entries, key));
    }
    pthread_mutex_unlock(&memory->lock);
    return done;
}

/* Called with the lock held. */
static void
read_range(GTree *tree, const char *from, const char *end, int limit,
           struct kv_entries *entries)
{
    GTreeNode *node = g_tree_lower_bound(tree, from);

    while (node != NULL && strcmp(g_tree_node_key(node), end) < 0) {
        struct kv_entry *items = entries->items;

        if (entries->count == limit) {
            entries->more = true;
            return;
        }
        items = g_realloc_n(items, (gsize)entries->count + 1, sizeof(*items));
        entries->items = items;
        memset(&items[entries->count], 0, sizeof(*items));
        fill_entry(&items[entries->count], g_tree_node_key(node),
                   g_tree_node_value(node));
        entries->count++;
        node = g_tree_node_next(node);
    }
}

static bool
memory_range(struct kv *kv, const char *from, const char *end, int limit,
             struct kv_entries *entries, struct err *err)
{
    struct kv_memory *memory = memory_of(kv);
    bool done;

    pthread_mutex_lock(&memory->lock);
    memory->reads++;
    done = inject_fault(&memory->fail_calls, err);
    if (done) {
        read_range(memory->entries, from, end, limit, entries);
    }
    pthread_mutex_unlock(&memory->lock);
    return done;
}

/* Called with the lock held. */
static bool
compare_and_swap(struct kv_memory *memory, const char *key,
                 int64_t expected_revision, const void *value,
                 size_t value_bytes, struct err *err)
{
    struct stored_value *old = g_tree_lookup(memory->entries, key);
    int64_t current_revision = old == NULL ? 0 : old->revision;

    if (current_revision != expected_revision) {
        return err_set(err, ERR_KV_CONFLICT, "%s has revision %ld, not %ld",
                       key, (long)current_revision, (long)expected_revision);
    }
    g_tree_replace(memory->entries, g_strdup(key),
                   stored_value_new(value, value_bytes, ++memory->revision));
    return true;
}

static bool
memory_cas(struct kv *kv, const char *key, int64_t expected_revision,
           const void *value, size_t value_bytes, int64_t *revision,
           struct err *err)
{
    struct kv_memory *memory = memory_of(kv);
    bool done;

    pthread_mutex_lock(&memory->lock);
    memory->writes++;
    done = inject_fault(&memory->fail_calls, err) &&
           compare_and_swap(memory, key, expected_revision, value, value_bytes,
                            err);
    *revision = memory->revision;
    if (done) {
        done = inject_fault(&memory->lose_responses, err);
    }
    pthread_mutex_unlock(&memory->lock);
    return done;
}

/* Called with the lock held. */
static void
remove_range(GTree *tree, const char *from, const char *end)
{
    GTreeNode *node = g_tree_lower_bound(tree, from);

    while (node != NULL && strcmp(g_tree_node_key(node), end) < 0) {
        g_tree_remove(tree, g_tree_node_key(node));
        node = g_tree_lower_bound(tree, from);
    }
}

static bool
memory_remove(struct kv *kv, const char *from, const char *end,
              struct err *err)
{
    struct kv_memory *memory = memory_of(kv);
    bool done;

    pthread_mutex_lock(&memory->lock);
    memory->writes++;
    done = inject_fault(&memory->fail_calls, err);
    if (done) {
        remove_range(memory->entries, from, end);
        memory->revision++;
        done = inject_fault(&memory->lose_responses, err);
    }
    pthread_mutex_unlock(&memory->lock);
    return done;
}

static const struct kv_ops memory_ops = {
    .get = memory_get,
    .range = memory_range,
    .cas = memory_cas,
    .remove = memory_remove,
};

/**
 * kv_memory_init() - set up an empty store
 * @memory: the store
 */
void
kv_memory_init(struct kv_memory *memory)
{
    memset(memory, 0, sizeof(*memory));
    memory->kv.ops = &memory_ops;
    pthread_mutex_init(&memory->lock, NULL);
    memory->entries =
        g_tree_new_full(compare_keys, NULL, g_free, stored_value_free);
}

/**
 * kv_memory_free() - release a store that no thread uses any more
 * @memory: the store
 */
void
kv_memory_free(struct kv_memory *memory)
{
    g_tree_unref(memory->entries);
    memory->entries = NULL;
    pthread_mutex_destroy(&memory->lock);
}
