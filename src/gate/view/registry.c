/**
 * DOC: Registry of targets, built from their entries in the store.
 *
 * An entry also expires when its target can't renew it because the store is
 * down. If the target still runs, the entry is back soon after the store is,
 * so until then the target is kept as missing.
 *
 * A call of this instance that fails says nothing about the store: its path
 * may be cut, or the store may have cut one watch. An outage that lets entries
 * expire silences the store towards all instances, and all targets: no other
 * instance has been answered, and most entries that were known have expired,
 * or were created anew. Otherwise an entry that vanishes has been removed, and
 * its target takes no more requests.
 *
 * The store may carry out a target's write seconds after it was sent, behind
 * later ones. So an entry that takes back that its target leaves is believed
 * only from another start of the target, and behind an entry that was removed
 * only what was written no earlier. Starts aren't ordered by their times:
 * a target's clock may be set back.
 *
 * When the store, or the path to it, was back is known only between the begin
 * of the last call that failed and the first answer.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"

enum {
    /* Targets rewrite their entries within 2 s after the store is back; the
     * rest is the delay of the watch. */
    EXPIRY_GRACE_MS = 2500,
    /* An entry expires after three heartbeat intervals of silence, of which
     * one may lie before the outage. */
    SILENT_HEARTBEATS_MIN = 2,
    /* Writes are carried out some seconds late at most. */
    LEFT_KEEP_MS = 30000,
    LEFT_MAX = 4096,
};

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
 * @heartbeat_ms: interval at which targets renew their entries
 */
void
registry_init(struct registry *registry, struct registry_port *port,
              int64_t heartbeat_ms)
{
    memset(registry, 0, sizeof(*registry));
    registry->port = port;
    registry->silence_min_ms = SILENT_HEARTBEATS_MIN * heartbeat_ms;
    registry->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    registry->left =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

/**
 * registry_clear() - release the entries of a registry
 * @registry: the registry
 */
void
registry_clear(struct registry *registry)
{
    g_hash_table_destroy(registry->entries);
    g_hash_table_destroy(registry->left);
}

/**
 * registry_store_down() - record that a call to the store has failed
 * @registry: the registry
 * @now_ms: when the call began
 */
void
registry_store_down(struct registry *registry, int64_t now_ms)
{
    registry->failed_ms = now_ms;
    if (!registry->store_down) {
        registry->store_down = true;
        log_line(LOG_PRI_WARNING, "registry",
                 "event=store_lost targets=%u silent_ms=%" G_GINT64_FORMAT,
                 g_hash_table_size(registry->entries),
                 (gint64)(now_ms - registry->contact.heard_ms));
    }
}

/* Entries may have expired: begins to count how many of them have. */
static void
begin_grace(struct registry *registry, int64_t now_ms, int64_t end_ms)
{
    GHashTableIter iter;
    void *value;

    registry->known = 0;
    registry->lapsed = 0;
    registry->restored = false;
    registry->returned_ms = now_ms;
    registry->grace_end_ms = end_ms;
    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct registry_entry *entry = value;

        entry->lapsed = false;
        entry->written = false;
        if (!entry->info.draining && entry->missing_until_ms == 0) {
            registry->known++;
        }
    }
}

/**
 * registry_note_others() - note when the store has answered another instance
 * @registry: the registry
 * @contact: what it says
 * @now_ms: current time
 */
void
registry_note_others(struct registry *registry,
                     const struct store_contact *contact, int64_t now_ms)
{
    if (contact->heard_ms != 0) {
        contact_add(&registry->others, contact->since_ms,
                    MIN(contact->heard_ms, now_ms), registry->silence_min_ms);
    }
}

/* Targets write their entries again soon after the return of the store, which
 * may have been back since the last failed call began. Counted from there, a
 * target that left while the path of this instance was cut is missed no longer
 * than if the return had been noticed at once. */
static void
handle_return(struct registry *registry, int64_t now_ms)
{
    int64_t heard_ms = registry->contact.heard_ms;
    int64_t silent_ms = now_ms - heard_ms;
    bool others_heard = contact_covers(&registry->others, heard_ms, now_ms,
                                       registry->silence_min_ms);
    bool may_have_expired =
        silent_ms >= registry->silence_min_ms && !others_heard;

    log_line(LOG_PRI_INFO, "registry",
             "event=store_regained targets=%u silent_ms=%" G_GINT64_FORMAT
             " may_have_expired=%d others_heard=%d"
             " failed_ago_ms=%" G_GINT64_FORMAT,
             g_hash_table_size(registry->entries), (gint64)silent_ms,
             may_have_expired, others_heard,
             (gint64)(now_ms - registry->failed_ms));
    if (may_have_expired) {
        begin_grace(registry, now_ms, registry->failed_ms + EXPIRY_GRACE_MS);
    }
}

/**
 * registry_store_up() - record that the store has answered
 * @registry: the registry
 * @now_ms: when the response was received; the changes in it follow with the
 *          same time
 */
void
registry_store_up(struct registry *registry, int64_t now_ms)
{
    if (registry->store_down) {
        registry->store_down = false;
        handle_return(registry, now_ms);
    }
    contact_add(&registry->contact, now_ms, now_ms, registry->silence_min_ms);
}

/**
 * registry_restored() - record that the store was restored from an older copy
 * @registry: the registry
 * @now_ms: when the complete list was read that follows
 *
 * Entries that are missing in it may be newer than the copy, so their targets
 * are kept as after an outage. The revisions that are known mean nothing.
 */
void
registry_restored(struct registry *registry, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    begin_grace(registry, now_ms, now_ms + EXPIRY_GRACE_MS);
    registry->restored = true;
    registry->lists_copy = true;
    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct registry_entry *entry = value;

        entry->create_revision = 0;
        if (entry->missing_until_ms != 0) {
            entry->missing_until_ms = registry->grace_end_ms;
        }
    }
}

static bool
in_grace(const struct registry *registry, int64_t now_ms)
{
    return registry->known > 0 && now_ms < registry->grace_end_ms;
}

static void
count_lapse(struct registry *registry, struct registry_entry *entry,
            int64_t now_ms)
{
    if (in_grace(registry, now_ms) && !entry->lapsed &&
        !entry->info.draining && entry->missing_until_ms == 0) {
        entry->lapsed = true;
        registry->lapsed++;
    }
}

/* Whether a vanished entry may have expired in an outage of the store. A long
 * outage lets all entries expire within a heartbeat interval; as long as most
 * of them are there, one that vanishes was removed. After a restore, single
 * ones may be missing. */
static bool
may_be_back(const struct registry *registry,
            const struct registry_entry *entry, int64_t now_ms)
{
    return in_grace(registry, now_ms) && !entry->info.draining &&
           !entry->written &&
           (registry->restored || registry->lapsed * 2 > registry->known);
}

static bool
same_info(const struct target_info *a, const struct target_info *b)
{
    struct target_info copy = *b;

    copy.entry_writes = a->entry_writes;
    return memcmp(a, &copy, sizeof(*a)) == 0;
}

/* Whether a removed target isn't back by an entry. A store that was restored
 * has what was written before: there, an entry of the same count was removed
 * as well, and one of an earlier start is older still. */
static bool
was_removed(const struct registry *registry, const struct left_target *left,
            const struct target_info *info)
{
    if (info->started_ms != left->started_ms) {
        return registry->lists_copy && info->started_ms < left->started_ms;
    }
    return left->draining || info->entry_writes < left->entry_writes ||
           (registry->lists_copy && info->entry_writes == left->entry_writes);
}

/* Whether an entry was written before its target said that it leaves, or
 * before its entry was removed. The target writes it again if that is not
 * so. */
static bool
is_late_write(const struct registry *registry,
              const struct registry_entry *entry,
              const struct target_info *info)
{
    const struct left_target *left;

    if (info->started_ms == 0 || info->draining) {
        return false;
    }
    if (entry != NULL) {
        return !registry->lists_copy &&
               info->started_ms == entry->info.started_ms &&
               entry->info.draining;
    }
    left = g_hash_table_lookup(registry->left, info->id);
    return left != NULL && was_removed(registry, left, info);
}

/* Whether an entry is one of an earlier start of its target, or older than the
 * notice that it stops. The target writes it again if that is not so. */
static bool
is_older_copy(const struct registry *registry,
              const struct registry_entry *entry,
              const struct target_info *info)
{
    const struct target_info *known = &entry->info;

    return registry->lists_copy && (info->started_ms < known->started_ms ||
                                    (info->started_ms == known->started_ms &&
                                     known->draining && !info->draining));
}

static void
note_writes(struct registry_entry *entry, const struct target_info *info)
{
    if (entry->info.started_ms == info->started_ms) {
        entry->info.entry_writes =
            MAX(entry->info.entry_writes, info->entry_writes);
    }
}

/**
 * registry_put() - add or update a target from its entry
 * @registry: the registry
 * @info: the entry, copied; unused bytes must be 0, as the copies are compared
 *        bytewise
 * @create_revision: revision at which the entry was created; 0 if unknown
 * @now_ms: when the entry was read
 */
void
registry_put(struct registry *registry, const struct target_info *info,
             int64_t create_revision, int64_t now_ms)
{
    struct registry_entry *entry =
        g_hash_table_lookup(registry->entries, info->id);
    bool known = entry != NULL;
    bool created_anew;

    if (is_late_write(registry, entry, info)) {
        log_line(LOG_PRI_INFO, "registry",
                 "event=late_write target=%s known=%d writes=%" G_GINT64_FORMAT
                 " born_ms=%" G_GINT64_FORMAT,
                 info->id, known, (gint64)info->entry_writes,
                 (gint64)info->started_ms);
        return;
    }
    if (!known) {
        g_hash_table_remove(registry->left, info->id);
        entry = g_new0(struct registry_entry, 1);
        entry->info = *info;
        entry->create_revision = create_revision;
        g_hash_table_insert(registry->entries, entry->info.id, entry);
    }
    created_anew = entry->create_revision != 0 && create_revision != 0 &&
                   entry->create_revision != create_revision;
    if (created_anew) {
        count_lapse(registry, entry, now_ms);
    }
    entry->written = created_anew || now_ms > registry->returned_ms;
    entry->create_revision = create_revision;
    entry->listed = true;
    entry->vanished = false;
    if (known && entry->missing_until_ms == 0 &&
        (same_info(&entry->info, info) ||
         is_older_copy(registry, entry, info))) {
        note_writes(entry, info);
        return;
    }
    entry->missing_until_ms = 0;
    entry->info = *info;
    notify(registry, TARGET_CHANGED, info);
}

static gboolean
is_long_gone(gpointer id, gpointer left, gpointer now_ms)
{
    (void)id;
    return ((struct left_target *)left)->left_ms + LEFT_KEEP_MS <=
           *(int64_t *)now_ms;
}

static void
remember_left(struct registry *registry, const struct target_info *info,
              int64_t now_ms)
{
    struct left_target *left;

    g_hash_table_foreach_remove(registry->left, is_long_gone, &now_ms);
    if (info->started_ms == 0 ||
        g_hash_table_size(registry->left) >= LEFT_MAX) {
        return;
    }
    left = g_new0(struct left_target, 1);
    left->started_ms = info->started_ms;
    left->entry_writes = info->entry_writes;
    left->draining = info->draining;
    left->left_ms = now_ms;
    g_hash_table_replace(registry->left, g_strdup(info->id), left);
}

static void
remove_entry(struct registry *registry, struct registry_entry *entry,
             int64_t now_ms)
{
    notify(registry, TARGET_GONE, &entry->info);
    remember_left(registry, &entry->info, now_ms);
    g_hash_table_remove(registry->entries, entry->info.id);
}

/**
 * registry_reject() - record that a target's entry names no usable target
 * @registry: the registry
 * @id: id of the target
 * @now_ms: when the entry was read
 *
 * The entry exists, so it has not expired by an outage of the store: a known
 * target of this id is gone at once.
 */
void
registry_reject(struct registry *registry, const char *id, int64_t now_ms)
{
    struct registry_entry *entry = g_hash_table_lookup(registry->entries, id);

    if (entry != NULL) {
        remove_entry(registry, entry, now_ms);
    }
}

static void
vanish(struct registry *registry, struct registry_entry *entry, int64_t now_ms)
{
    count_lapse(registry, entry, now_ms);
    entry->vanished = true;
}

/**
 * registry_delete() - record that a target's entry has vanished
 * @registry: the registry
 * @id: id of the target
 * @now_ms: when this was read
 *
 * Takes effect with registry_settle().
 */
void
registry_delete(struct registry *registry, const char *id, int64_t now_ms)
{
    struct registry_entry *entry = g_hash_table_lookup(registry->entries, id);

    if (entry != NULL) {
        vanish(registry, entry, now_ms);
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
is_vanished(const struct registry_entry *entry, int64_t now_ms)
{
    (void)now_ms;
    return entry->vanished;
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

/* Returns whether the target is kept. */
static bool
settle_entry(struct registry *registry, struct registry_entry *entry,
             int64_t now_ms)
{
    entry->vanished = false;
    if (entry->missing_until_ms != 0) {
        return true;
    }
    if (!may_be_back(registry, entry, now_ms)) {
        remove_entry(registry, entry, now_ms);
        return false;
    }
    entry->missing_until_ms = registry->grace_end_ms;
    notify(registry, TARGET_MISSING, &entry->info);
    return true;
}

/**
 * registry_settle() - decide about the entries that have vanished
 * @registry: the registry
 * @now_ms: when the changes were read
 *
 * To be called after all changes of a response, as only together they tell an
 * outage of the store from the removal of single entries.
 */
void
registry_settle(struct registry *registry, int64_t now_ms)
{
    GPtrArray *vanished = find_entries(registry, is_vanished, now_ms);
    guint kept = 0;

    for (guint i = 0; i < vanished->len; i++) {
        kept += settle_entry(registry, vanished->pdata[i], now_ms) ? 1 : 0;
    }
    if (vanished->len > 0 && in_grace(registry, now_ms)) {
        log_line(LOG_PRI_INFO, "registry",
                 "event=entries_vanished kept=%u removed=%u lapsed=%d known=%d"
                 " returned_ago_ms=%" G_GINT64_FORMAT,
                 kept, vanished->len - kept, registry->lapsed, registry->known,
                 (gint64)(now_ms - registry->returned_ms));
    }
    g_ptr_array_free(vanished, TRUE);
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

/**
 * registry_list_end() - end the list; all other entries have vanished
 * @registry: the registry
 * @now_ms: when the list was read
 */
void
registry_list_end(struct registry *registry, int64_t now_ms)
{
    GPtrArray *unlisted = find_entries(registry, is_not_listed, now_ms);

    for (guint i = 0; i < unlisted->len; i++) {
        vanish(registry, unlisted->pdata[i], now_ms);
    }
    g_ptr_array_free(unlisted, TRUE);
    registry_settle(registry, now_ms);
    registry->lists_copy = false;
}

/**
 * registry_drop_missing() - drop missing targets that did not come back
 * @registry: the registry
 * @now_ms: current time
 *
 * Drops nothing while calls to the store fail, as no return of an entry can be
 * seen then.
 *
 * Return: time at which the next entry is due; 0 for none.
 */
int64_t
registry_drop_missing(struct registry *registry, int64_t now_ms)
{
    int64_t next_ms = 0;
    GPtrArray *overdue;
    GHashTableIter iter;
    void *value;

    if (registry->store_down) {
        return 0;
    }
    overdue = find_entries(registry, is_overdue, now_ms);
    for (guint i = 0; i < overdue->len; i++) {
        remove_entry(registry, overdue->pdata[i], now_ms);
    }
    g_ptr_array_free(overdue, TRUE);
    g_hash_table_iter_init(&iter, registry->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        int64_t due_ms = ((struct registry_entry *)value)->missing_until_ms;

        if (due_ms != 0 && (next_ms == 0 || due_ms < next_ms)) {
            next_ms = due_ms;
        }
    }
    return next_ms;
}
