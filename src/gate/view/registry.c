/**
 * DOC: Registry of targets, built from their entries in the store.
 *
 * An entry also expires when its target can't renew it because the store is
 * unreachable. If the target still runs, the entry is back soon after the
 * store is, so until then the target is kept as missing.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"

/* Targets rewrite their entries within 2 s after the store is back; the rest
 * is the delay of the watch. */
enum { EXPIRY_GRACE_MS = 2500 };

static void
notify(struct registry *registry, enum target_change_kind kind,
       const struct target_info *info)
{
    struct target_change change = {.kind = kind, .info = *info};

    registry->port->ops->changed(registry->port, &change);
}

/**
 * registry_init() - initialize an empty registry
 * @registry: the registry
 * @port: receiver of changes; borrowed
 */
void
registry_init(struct registry *registry, struct registry_port *port)
{
    memset(registry, 0, sizeof(*registry));
    registry->port = port;
    registry->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

/**
 * registry_clear() - release the entries of a registry
 * @registry: the registry
 */
void
registry_clear(struct registry *registry)
{
    g_hash_table_destroy(registry->entries);
}

/**
 * registry_store_down() - record that the store does not answer
 * @registry: the registry
 * @now_ms: current time
 */
void
registry_store_down(struct registry *registry, int64_t now_ms)
{
    if (!registry->store_down) {
        registry->store_down = true;
        log_line(LOG_PRI_WARNING, "registry",
                 "event=store_lost targets=%u now_ms=%" G_GINT64_FORMAT,
                 g_hash_table_size(registry->entries), (gint64)now_ms);
    }
}

/**
 * registry_store_up() - record that the store answers
 * @registry: the registry
 * @now_ms: current time
 */
void
registry_store_up(struct registry *registry, int64_t now_ms)
{
    if (registry->store_down) {
        registry->store_down = false;
        registry->expiry_grace_until_ms = now_ms + EXPIRY_GRACE_MS;
        log_line(LOG_PRI_INFO, "registry",
                 "event=store_regained targets=%u lapse_ms=%d",
                 g_hash_table_size(registry->entries), EXPIRY_GRACE_MS);
    }
}

static bool
same_info(const struct target_info *a, const struct target_info *b)
{
    return memcmp(a, b, sizeof(*a)) == 0;
}

/**
 * registry_put() - add or update a target from its entry
 * @registry: the registry
 * @info: the entry, copied; unused bytes must be 0, as the copies are compared
 *        bytewise
 */
void
registry_put(struct registry *registry, const struct target_info *info)
{
    struct registry_entry *entry =
        g_hash_table_lookup(registry->entries, info->id);
    bool known = entry != NULL;

    if (!known) {
        entry = g_new0(struct registry_entry, 1);
        entry->info = *info;
        g_hash_table_insert(registry->entries, entry->info.id, entry);
    }
    entry->listed = true;
    if (known && entry->missing_until_ms == 0 &&
        same_info(&entry->info, info)) {
        return;
    }
    entry->missing_until_ms = 0;
    entry->info = *info;
    notify(registry, TARGET_CHANGED, info);
}

static void
remove_entry(struct registry *registry, struct registry_entry *entry)
{
    notify(registry, TARGET_GONE, &entry->info);
    g_hash_table_remove(registry->entries, entry->info.id);
}

/**
 * registry_reject() - record that a target's entry names no usable target
 * @registry: the registry
 * @id: id of the target
 *
 * The entry exists, so it has not expired by an outage of the store: a known
 * target of this id is gone at once.
 */
void
registry_reject(struct registry *registry, const char *id)
{
    struct registry_entry *entry = g_hash_table_lookup(registry->entries, id);

    if (entry != NULL) {
        remove_entry(registry, entry);
    }
}

static void
handle_vanished(struct registry *registry, struct registry_entry *entry,
                int64_t now_ms)
{
    if (now_ms < registry->expiry_grace_until_ms && !entry->info.draining) {
        if (entry->missing_until_ms == 0) {
            entry->missing_until_ms = registry->expiry_grace_until_ms;
            notify(registry, TARGET_MISSING, &entry->info);
        }
        return;
    }
    remove_entry(registry, entry);
}

/**
 * registry_delete() - record that a target's entry has vanished
 * @registry: the registry
 * @id: id of the target
 * @now_ms: current time
 */
void
registry_delete(struct registry *registry, const char *id, int64_t now_ms)
{
    struct registry_entry *entry = g_hash_table_lookup(registry->entries, id);

    if (entry != NULL) {
        handle_vanished(registry, entry, now_ms);
    }
}

/**
 * registry_list_begin() - begin a complete list of registry_put() calls
 * @registry: the registry
 */
void
registry_list_begin(struct registry *registry)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((struct registry_entry *)value)->listed = false;
    }
}

static GPtrArray *
find_entries(struct registry *registry,
             bool (*match)(const struct registry_entry *entry, int64_t now_ms),
             int64_t now_ms)
{
    GPtrArray *found = g_ptr_array_new();
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (match(value, now_ms)) {
            g_ptr_array_add(found, value);
        }
    }
    return found;
}

static bool
is_not_listed(const struct registry_entry *entry, int64_t now_ms)
{
    (void)now_ms;
    return !entry->listed;
}

static bool
is_overdue(const struct registry_entry *entry, int64_t now_ms)
{
    return entry->missing_until_ms != 0 && now_ms >= entry->missing_until_ms;
}

static void
handle_all_vanished(struct registry *registry, GPtrArray *entries,
                    int64_t now_ms)
{
    for (guint i = 0; i < entries->len; i++) {
        handle_vanished(registry, entries->pdata[i], now_ms);
    }
    g_ptr_array_free(entries, TRUE);
}

/**
 * registry_list_end() - end the list; all other entries have vanished
 * @registry: the registry
 * @now_ms: current time
 */
void
registry_list_end(struct registry *registry, int64_t now_ms)
{
    handle_all_vanished(registry,
                        find_entries(registry, is_not_listed, now_ms), now_ms);
}

/**
 * registry_drop_missing() - drop missing targets that did not come back
 * @registry: the registry
 * @now_ms: current time
 *
 * Drops nothing while the store is unreachable, as no entry can return then.
 *
 * Return: time at which the next entry is due; 0 for none.
 */
int64_t
registry_drop_missing(struct registry *registry, int64_t now_ms)
{
    int64_t next_ms = 0;
    GHashTableIter iter;
    void *value;

    if (registry->store_down) {
        return 0;
    }
    handle_all_vanished(registry, find_entries(registry, is_overdue, now_ms),
                        now_ms);
    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        int64_t due_ms = ((struct registry_entry *)value)->missing_until_ms;

        if (due_ms != 0 && (next_ms == 0 || due_ms < next_ms)) {
            next_ms = due_ms;
        }
    }
    return next_ms;
}
