/**
 * DOC: The current tree of an instance and the newest journal entries.
 *
 * Revisions only increase. A new tree is built without holding the lock that
 * readers take, so a reader never waits while an edit is applied.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/config/internal.h"

static void
config_entry_free(gpointer data)
{
    struct config_entry *entry = data;

    edit_free(&entry->edit);
    free(entry->json);
    free(entry);
}

/**
 * recent_entries_clear() - free the journal entries kept in memory
 * @config: configuration duty; the caller holds its write lock or is its only
 *          user
 */
void
recent_entries_clear(struct config *config)
{
    g_queue_clear_full(&config->recent_entries, config_entry_free);
}

static void
recent_entries_push(struct config *config, struct config_entry *entry)
{
    g_queue_push_tail(&config->recent_entries, entry);
    if (g_queue_get_length(&config->recent_entries) > RECENT_ENTRIES_MAX) {
        config_entry_free(g_queue_pop_head(&config->recent_entries));
    }
}

/**
 * config_tree_ref() - get the current tree
 * @config: configuration duty
 *
 * Return: a reference that the caller releases with tree_unref(), or NULL when
 * the instance has no tree yet.
 */
struct tree *
config_tree_ref(struct config *config)
{
    struct tree *tree = NULL;

    pthread_mutex_lock(&config->state_lock);
    if (config->ready) {
        tree = tree_ref(config->tree);
    }
    pthread_mutex_unlock(&config->state_lock);
    return tree;
}

/**
 * config_revision() - current revision
 * @config: configuration duty
 */
int64_t
config_revision(struct config *config)
{
    int64_t revision;

    pthread_mutex_lock(&config->state_lock);
    revision = tree_revision(config->tree);
    pthread_mutex_unlock(&config->state_lock);
    return revision;
}

/**
 * config_confirmed_ms() - when the store last confirmed the current revision
 * @config: configuration duty
 *
 * Return: monotonic time in ms, or TIME_NEVER.
 */
int64_t
config_confirmed_ms(struct config *config)
{
    int64_t confirmed_ms;

    pthread_mutex_lock(&config->state_lock);
    confirmed_ms = config->confirmed_ms;
    pthread_mutex_unlock(&config->state_lock);
    return confirmed_ms;
}

/**
 * config_read_state() - read the state of the configuration
 * @config: configuration duty
 * @now_ms: current monotonic time
 * @state: filled in
 */
void
config_read_state(struct config *config, int64_t now_ms,
                  struct config_state *state)
{
    pthread_mutex_lock(&config->state_lock);
    state->revision = tree_revision(config->tree);
    state->ready = config->ready;
    state->age_ms = config_age_ms(config->confirmed_ms, now_ms);
    state->stale = config_is_stale(config->confirmed_ms, now_ms);
    state->store_behind = config->store_behind;
    pthread_mutex_unlock(&config->state_lock);
}

/* Makes a newer tree the current one. Takes ownership of the reference. */
static void
install_tree(struct config *config, struct tree *tree, uint64_t entry_hash,
             int64_t confirmed_ms)
{
    struct tree *previous;

    pthread_mutex_lock(&config->state_lock);
    previous = config->tree;
    config->tree = tree;
    config->ready = true;
    config->last_entry_hash = entry_hash;
    config->confirmed_ms = confirmed_ms;
    pthread_mutex_unlock(&config->state_lock);
    tree_unref(previous);
    counter_add(CTR_CONFIG_APPLIED, 1);
}

/**
 * config_entry_new() - create an entry from the text of an edit
 * @revision: revision that the edit creates
 * @json: text of the edit; copied
 * @json_bytes: length of @json
 * @broadcast: broadcast the entry to the members of the data centre
 * @err: filled in on failure
 *
 * Return: an entry owned by the caller, or NULL with ERR_NO_MEMORY or the
 * error of edit_parse().
 */
struct config_entry *
config_entry_new(int64_t revision, const char *json, size_t json_bytes,
                 bool broadcast, struct err *err)
{
    struct config_entry *entry = calloc(1, sizeof(*entry));

    if (entry == NULL) {
        err_set(err, ERR_NO_MEMORY, "configuration entry of %zu bytes",
                json_bytes);
        return NULL;
    }
    entry->revision = revision;
    entry->json_bytes = json_bytes;
    entry->broadcast = broadcast;
    entry->json = strndup(json, json_bytes);
    if (!edit_parse(entry->json, strlen(entry->json), &entry->edit, err)) {
        config_entry_free(entry);
        return NULL;
    }
    return entry;
}

/* Called with the write lock held, with the entry that follows the current
 * revision. Takes ownership of the entry on success. */
static bool
apply_to_tree(struct config *config, struct config_entry *entry,
              int64_t confirmed_ms, struct err *err)
{
    struct tree *next_tree =
        tree_apply(config->tree, &entry->edit, entry->revision, err);

    if (next_tree == NULL) {
        return false;
    }
    recent_entries_push(config, entry);
    install_tree(config, next_tree, hash_bytes(entry->json, entry->json_bytes),
                 confirmed_ms);
    return true;
}

/**
 * config_apply_entry() - apply an accepted edit to the current tree
 * @config: configuration duty
 * @revision: revision that the edit creates
 * @json: text of the edit
 * @json_bytes: length of @json
 * @confirmed_ms: monotonic time at which the store had this entry as its
 *                newest
 * @broadcast: broadcast the entry to the members of the data centre
 * @err: filled in on failure
 *
 * An entry that was applied before is ignored. An entry that this version
 * can't apply is not skipped: the instance keeps its tree, which becomes
 * stale.
 *
 * Return: false with ERR_NOT_FOUND when an earlier entry is missing, or with
 * the error of the edit.
 */
bool
config_apply_entry(struct config *config, int64_t revision, const char *json,
                   size_t json_bytes, int64_t confirmed_ms, bool broadcast,
                   struct err *err)
{
    struct config_entry *entry;
    bool succeeded = true;
    int64_t current_revision;

    pthread_mutex_lock(&config->write_lock);
    current_revision = config_revision(config);
    if (revision > current_revision + 1) {
        succeeded = err_set(err, ERR_NOT_FOUND,
                            "entries are missing between entry %" PRId64
                            " and revision %" PRId64,
                            revision, current_revision);
    }
    else if (revision == current_revision + 1) {
        entry = config_entry_new(revision, json, json_bytes, broadcast, err);
        succeeded =
            entry != NULL && apply_to_tree(config, entry, confirmed_ms, err);
        if (!succeeded && entry != NULL) {
            config_entry_free(entry);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return succeeded;
}

/**
 * config_install_snapshot() - replace the current tree by a newer snapshot
 * @config: configuration duty
 * @json: text of the snapshot
 * @json_bytes: length of @json
 * @confirmed_ms: monotonic time at which the store had this revision as its
 *                newest; TIME_NEVER when unknown
 * @err: filled in on failure
 *
 * A snapshot that is not newer than the current tree is ignored.
 *
 * Return: false with the error of tree_parse().
 */
bool
config_install_snapshot(struct config *config, const char *json,
                        size_t json_bytes, int64_t confirmed_ms,
                        struct err *err)
{
    struct tree *tree = tree_parse(json, json_bytes, err);

    if (tree == NULL) {
        return false;
    }
    pthread_mutex_lock(&config->write_lock);
    if (tree_revision(tree) > config_revision(config)) {
        recent_entries_clear(config);
        install_tree(config, tree, 0, confirmed_ms);
        tree = NULL;
    }
    pthread_mutex_unlock(&config->write_lock);
    tree_unref(tree);
    return true;
}

/**
 * config_confirm_revision() - record that a revision is the store's newest
 * @config: configuration duty
 * @revision: the revision
 * @confirmed_ms: monotonic time before the store was read
 *
 * Does nothing if the current revision has changed in the meantime.
 */
void
config_confirm_revision(struct config *config, int64_t revision,
                        int64_t confirmed_ms)
{
    pthread_mutex_lock(&config->state_lock);
    if (tree_revision(config->tree) == revision) {
        config->ready = true;
        if (confirmed_ms > config->confirmed_ms) {
            config->confirmed_ms = confirmed_ms;
        }
    }
    pthread_mutex_unlock(&config->state_lock);
}

/**
 * config_set_store_behind() - record whether the store lacks the current
 * revision
 * @config: configuration duty
 * @store_behind: the store lacks it or has another entry there
 */
void
config_set_store_behind(struct config *config, bool store_behind)
{
    int64_t revision;
    bool changed;

    pthread_mutex_lock(&config->state_lock);
    changed = config->store_behind != store_behind;
    config->store_behind = store_behind;
    revision = tree_revision(config->tree);
    pthread_mutex_unlock(&config->state_lock);
    if (store_behind) {
        counter_add(CTR_CONFIG_OLDER_IGNORED, 1);
    }
    if (changed) {
        log_line(store_behind ? LOG_PRI_ERR : LOG_PRI_INFO, "config",
                 "event=%s revision=%" PRId64,
                 store_behind ? "store_behind" : "store_caught_up", revision);
    }
}

/**
 * config_entry_matches() - compare the store's entry with the current
 * revision
 * @config: configuration duty
 * @revision: revision of the entry
 * @json: the store's entry of that revision
 * @json_bytes: length of @json
 *
 * If another thread has changed the current revision, there is nothing to
 * compare. After a snapshot was installed the entry is unknown, so the
 * store's entry is accepted.
 *
 * Return: false when the store's entry differs, so its history is not the
 * one that this instance has applied.
 */
bool
config_entry_matches(struct config *config, int64_t revision, const char *json,
                     size_t json_bytes)
{
    uint64_t hash = hash_bytes(json, json_bytes);
    bool matches = true;

    pthread_mutex_lock(&config->state_lock);
    if (tree_revision(config->tree) == revision) {
        if (config->last_entry_hash == 0) {
            config->last_entry_hash = hash;
        }
        matches = config->last_entry_hash == hash;
    }
    pthread_mutex_unlock(&config->state_lock);
    return matches;
}
