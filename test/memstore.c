/* A store in memory with leases, for tests of what follows the store. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "memstore.h"

struct memstore_item {
    char *key;
    char *value;
    int64_t revision;
    int64_t create_revision;
    int64_t lease;
};

struct memstore_lease {
    int64_t expires_ms;
    int64_t ttl_ms;
};

static void
free_item(void *data)
{
    struct memstore_item *item = data;

    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static struct memstore_item *
find_item(struct memstore *memory, const char *key)
{
    for (guint i = 0; i < memory->items->len; i++) {
        struct memstore_item *item = memory->items->pdata[i];

        if (strcmp(item->key, key) == 0) {
            return item;
        }
    }
    return NULL;
}

static void
record_event(struct memstore *memory, const struct memstore_item *item,
             const char *value)
{
    struct memstore_item *event = g_new0(struct memstore_item, 1);

    *event = *item;
    event->key = g_strdup(item->key);
    event->value = g_strdup(value);
    event->revision = memory->revision;
    g_ptr_array_add(memory->events, event);
}

void
memstore_put(struct memstore *memory, const char *key, const char *value,
             int64_t lease)
{
    struct memstore_item *item = find_item(memory, key);

    memory->revision++;
    if (item == NULL) {
        item = g_new0(struct memstore_item, 1);
        item->key = g_strdup(key);
        item->create_revision = memory->revision;
        g_ptr_array_add(memory->items, item);
    }
    g_free(item->value);
    item->value = g_strdup(value);
    item->revision = memory->revision;
    item->lease = lease;
    record_event(memory, item, value);
}

void
memstore_delete(struct memstore *memory, const char *key)
{
    struct memstore_item *item = find_item(memory, key);

    if (item != NULL) {
        memory->revision++;
        record_event(memory, item, NULL);
        g_ptr_array_remove(memory->items, item);
    }
}

static void
remove_lease(struct memstore *memory, int64_t lease)
{
    for (guint i = memory->items->len; i > 0; i--) {
        struct memstore_item *item = memory->items->pdata[i - 1];

        if (item->lease == lease) {
            memstore_delete(memory, item->key);
        }
    }
    g_hash_table_remove(memory->leases, &lease);
}

/* Time until a key ends with its lease; 0 when there is no such key. */
int64_t
memstore_remaining_ms(struct memstore *memory, const char *key)
{
    struct memstore_item *item = find_item(memory, key);
    struct memstore_lease *lease =
        item != NULL ? g_hash_table_lookup(memory->leases, &item->lease)
                     : NULL;

    return lease != NULL ? lease->expires_ms - memory->now_ms : 0;
}

/* Moves the store's clock; leases that are not renewed end. */
void
memstore_set_time(struct memstore *memory, int64_t now_ms)
{
    GHashTableIter iter;
    void *key;
    void *value;
    int64_t ended = 1;

    memory->now_ms = now_ms;
    while (ended != 0) {
        ended = 0;
        g_hash_table_iter_init(&iter, memory->leases);
        while (g_hash_table_iter_next(&iter, &key, &value)) {
            if (((struct memstore_lease *)value)->expires_ms <= now_ms) {
                ended = *(int64_t *)key;
                break;
            }
        }
        if (ended != 0) {
            remove_lease(memory, ended);
        }
    }
}

static bool
is_down(struct memstore *memory, struct err *err)
{
    if (memory->down) {
        err_set(err, ERR_KV_DOWN, "down");
    }
    return memory->down;
}

static void
copy_item(struct store_item *out, const struct memstore_item *item)
{
    out->key = g_strdup(item->key);
    out->value = g_strdup(item->value);
    out->value_bytes = item->value != NULL ? strlen(item->value) : 0;
    out->revision = item->revision;
    out->create_revision = item->create_revision;
}

static bool
store_list(struct store *store, const char *prefix, const char *after,
           struct store_items *items, struct err *err)
{
    struct memstore *memory = (struct memstore *)store;

    (void)after;
    if (is_down(memory, err)) {
        return false;
    }
    items->items = g_new0(struct store_item, memory->items->len + 1);
    items->revision = memory->revision;
    for (guint i = 0; i < memory->items->len; i++) {
        struct memstore_item *item = memory->items->pdata[i];

        if (g_str_has_prefix(item->key, prefix)) {
            copy_item(&items->items[items->count++], item);
        }
    }
    return true;
}

static bool
store_watch(struct store *store, const char *prefix, int64_t after,
            int64_t wait_ms, struct store_items *items, struct err *err)
{
    struct memstore *memory = (struct memstore *)store;

    (void)wait_ms;
    if (is_down(memory, err)) {
        return false;
    }
    if (after <= memory->compacted_revision) {
        return err_set(err, ERR_NOT_FOUND, "forgotten");
    }
    items->items = g_new0(struct store_item, memory->events->len + 1);
    items->revision = memory->revision;
    for (guint i = 0; i < memory->events->len; i++) {
        struct memstore_item *event = memory->events->pdata[i];

        if (event->revision > after && g_str_has_prefix(event->key, prefix)) {
            copy_item(&items->items[items->count++], event);
        }
    }
    return true;
}

static bool
store_write(struct store *store, const struct store_write *write,
            int64_t *revision, struct err *err)
{
    struct memstore *memory = (struct memstore *)store;
    struct memstore_item *item = find_item(memory, write->key);

    memory->write_count++;
    if (is_down(memory, err)) {
        return false;
    }
    if (memory->drop_writes > 0) {
        memory->drop_writes--;
        return err_set(err, ERR_KV_DOWN, "not done");
    }
    if (write->lease != 0 &&
        !g_hash_table_contains(memory->leases, &write->lease)) {
        return err_set(err, ERR_NOT_FOUND, "lease");
    }
    if ((item != NULL ? item->revision : 0) != write->expected_revision) {
        return err_set(err, ERR_KV_CONFLICT, "changed");
    }
    memstore_put(memory, write->key, write->value, write->lease);
    *revision = memory->revision;
    if (memory->lose_responses > 0) {
        memory->lose_responses--;
        return err_set(err, ERR_KV_DOWN, "answer lost");
    }
    return true;
}

static bool
store_lease_grant(struct store *store, int64_t *ttl_ms, int64_t *lease,
                  struct err *err)
{
    struct memstore *memory = (struct memstore *)store;
    struct memstore_lease *new_lease;

    if (is_down(memory, err)) {
        return false;
    }
    new_lease = g_new0(struct memstore_lease, 1);
    new_lease->ttl_ms = *ttl_ms;
    new_lease->expires_ms = memory->now_ms + *ttl_ms;
    *lease = ++memory->next_lease;
    g_hash_table_insert(memory->leases, g_memdup2(lease, sizeof(*lease)),
                        new_lease);
    return true;
}

static bool
store_lease_renew(struct store *store, int64_t lease, struct err *err)
{
    struct memstore *memory = (struct memstore *)store;
    struct memstore_lease *known = g_hash_table_lookup(memory->leases, &lease);

    if (is_down(memory, err)) {
        return false;
    }
    if (known == NULL) {
        return err_set(err, ERR_NOT_FOUND, "lease");
    }
    known->expires_ms = memory->now_ms + known->ttl_ms;
    return true;
}

static bool
store_lease_revoke(struct store *store, int64_t lease, struct err *err)
{
    struct memstore *memory = (struct memstore *)store;

    if (is_down(memory, err)) {
        return false;
    }
    remove_lease(memory, lease);
    return true;
}

static void
store_stop(struct store *store)
{
    (void)store;
}

static const struct store_ops ops = {
    store_list,        store_watch,        store_write, store_lease_grant,
    store_lease_renew, store_lease_revoke, store_stop,
};

void
memstore_init(struct memstore *memory)
{
    memset(memory, 0, sizeof(*memory));
    memory->store.ops = &ops;
    memory->items = g_ptr_array_new_with_free_func(free_item);
    memory->events = g_ptr_array_new_with_free_func(free_item);
    memory->leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    memory->revision = 1;
}

void
memstore_clear(struct memstore *memory)
{
    g_ptr_array_free(memory->items, TRUE);
    g_ptr_array_free(memory->events, TRUE);
    g_hash_table_destroy(memory->leases);
}
