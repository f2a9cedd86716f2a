/**
 * DOC: The list of targets, as the store's entries tell it.
 *
 * Entries also vanish when targets can't renew them because the store is
 * away. Such an entry is back soon after the store's return if its target
 * lives, so until then the target is kept as missing.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"

/* Targets write their entries within 2 s of the store's return; the rest is
 * the time that a change takes to be seen. */
enum { LAPSE_MS = 2500 };

static void
tell(struct registry *registry, enum change_kind kind,
     const struct target_info *info)
{
    struct target_change change = {.kind = kind, .info = *info};

    registry->port->ops->changed(registry->port, &change);
}

/**
 * registry_init() - empty list
 * @registry: the list
 * @port: who is told of changes
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
 * registry_clear() - release the list
 * @registry: the list
 */
void
registry_clear(struct registry *registry)
{
    g_hash_table_destroy(registry->entries);
}

/**
 * registry_store_away() - the store does not answer
 * @registry: the list
 * @now_ms: present time
 */
void
registry_store_away(struct registry *registry, int64_t now_ms)
{
    if (!registry->away) {
        registry->away = true;
        log_line(LOG_PRI_WARNING, "registry",
                 "event=store_lost targets=%u now_ms=%" G_GINT64_FORMAT,
                 g_hash_table_size(registry->entries), (gint64)now_ms);
    }
}

/**
 * registry_store_back() - the store answers again
 * @registry: the list
 * @now_ms: present time
 */
void
registry_store_back(struct registry *registry, int64_t now_ms)
{
    if (registry->away) {
        registry->away = false;
        registry->lapse_until_ms = now_ms + LAPSE_MS;
        log_line(LOG_PRI_INFO, "registry",
                 "event=store_regained targets=%u lapse_ms=%d",
                 g_hash_table_size(registry->entries), LAPSE_MS);
    }
}

static bool
same_info(const struct target_info *a, const struct target_info *b)
{
    return memcmp(a, b, sizeof(*a)) == 0;
}

/**
 * registry_put() - a target's entry was written
 * @registry: the list
 * @info: what it says; unused bytes are zero
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
    tell(registry, TARGET_CHANGED, info);
}

static void
entry_lost(struct registry *registry, struct registry_entry *entry,
           int64_t now_ms)
{
    if (now_ms < registry->lapse_until_ms && !entry->info.leaving) {
        if (entry->missing_until_ms == 0) {
            entry->missing_until_ms = registry->lapse_until_ms;
            tell(registry, TARGET_MISSING, &entry->info);
        }
        return;
    }
    tell(registry, TARGET_GONE, &entry->info);
    g_hash_table_remove(registry->entries, entry->info.id);
}

/**
 * registry_delete() - a target's entry is gone
 * @registry: the list
 * @id: the target
 * @now_ms: present time
 */
void
registry_delete(struct registry *registry, const char *id, int64_t now_ms)
{
    struct registry_entry *entry = g_hash_table_lookup(registry->entries, id);

    if (entry != NULL) {
        entry_lost(registry, entry, now_ms);
    }
}

/**
 * registry_list_begin() - a whole list follows by registry_put()
 * @registry: the list
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
entries_where(struct registry *registry,
              bool (*match)(const struct registry_entry *entry,
                            int64_t now_ms),
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
not_listed(const struct registry_entry *entry, int64_t now_ms)
{
    (void)now_ms;
    return !entry->listed;
}

static bool
overdue(const struct registry_entry *entry, int64_t now_ms)
{
    return entry->missing_until_ms != 0 && now_ms >= entry->missing_until_ms;
}

static void
lose_all(struct registry *registry, GPtrArray *entries, int64_t now_ms)
{
    for (guint i = 0; i < entries->len; i++) {
        entry_lost(registry, entries->pdata[i], now_ms);
    }
    g_ptr_array_free(entries, TRUE);
}

/**
 * registry_list_end() - the whole list was put
 * @registry: the list
 * @now_ms: present time
 */
void
registry_list_end(struct registry *registry, int64_t now_ms)
{
    lose_all(registry, entries_where(registry, not_listed, now_ms), now_ms);
}

/**
 * registry_tick() - drop lapsed entries that did not come back
 * @registry: the list
 * @now_ms: present time
 *
 * While the store is away nobody can come back, so nothing is dropped.
 *
 * Return: when the next entry is due; 0 when none is.
 */
int64_t
registry_tick(struct registry *registry, int64_t now_ms)
{
    int64_t next_ms = 0;
    GHashTableIter iter;
    void *value;

    if (registry->away) {
        return 0;
    }
    lose_all(registry, entries_where(registry, overdue, now_ms), now_ms);
    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        int64_t due_ms = ((struct registry_entry *)value)->missing_until_ms;

        if (due_ms != 0 && (next_ms == 0 || due_ms < next_ms)) {
            next_ms = due_ms;
        }
    }
    return next_ms;
}
