/**
 * DOC: The tree that an instance holds and the last entries.
 *
 * Revisions only grow. A new revision is built outside the lock that readers
 * take, so a reader never waits for an edit to be applied.
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
entry_free(gpointer data)
{
    struct entry *entry = data;

    edit_free(&entry->edit);
    free(entry->text);
    free(entry);
}

/**
 * window_clear() - forget the entries kept in memory
 * @config: the duty; its write lock is held or nobody else uses it
 */
void
window_clear(struct config *config)
{
    g_queue_clear_full(&config->window, entry_free);
}

static void
window_push(struct config *config, struct entry *entry)
{
    g_queue_push_tail(&config->window, entry);
    if (g_queue_get_length(&config->window) > WINDOW_MAX) {
        entry_free(g_queue_pop_head(&config->window));
    }
}

/**
 * config_pin() - the tree in force
 * @config: the duty
 *
 * Return: a reference for the caller, or NULL when there is no tree yet.
 */
struct tree *
config_pin(struct config *config)
{
    struct tree *tree = NULL;

    pthread_mutex_lock(&config->lock);
    if (config->ready) {
        tree = tree_ref(config->tree);
    }
    pthread_mutex_unlock(&config->lock);
    return tree;
}

/**
 * config_revision() - revision held
 * @config: the duty
 */
int64_t
config_revision(struct config *config)
{
    int64_t revision;

    pthread_mutex_lock(&config->lock);
    revision = tree_revision(config->tree);
    pthread_mutex_unlock(&config->lock);
    return revision;
}

/**
 * config_confirmed_ms() - when the service last confirmed the revision held
 * @config: the duty
 */
int64_t
config_confirmed_ms(struct config *config)
{
    int64_t confirmed_ms;

    pthread_mutex_lock(&config->lock);
    confirmed_ms = config->confirmed_ms;
    pthread_mutex_unlock(&config->lock);
    return confirmed_ms;
}

/**
 * config_read_state() - what the instance knows about its configuration
 * @config: the duty
 * @now_ms: present time
 * @state: filled in
 */
void
config_read_state(struct config *config, int64_t now_ms,
                  struct config_state *state)
{
    pthread_mutex_lock(&config->lock);
    state->revision = tree_revision(config->tree);
    state->ready = config->ready;
    state->age_ms = config_age_ms(config->confirmed_ms, now_ms);
    state->stale = config_is_stale(config->confirmed_ms, now_ms);
    state->behind = config->behind;
    pthread_mutex_unlock(&config->lock);
}

/* Puts a newer tree in force; takes over the reference. */
static void
swap_tree(struct config *config, struct tree *tree, uint64_t entry_hash,
          int64_t confirmed_ms)
{
    struct tree *old;

    pthread_mutex_lock(&config->lock);
    old = config->tree;
    config->tree = tree;
    config->ready = true;
    config->entry_hash = entry_hash;
    config->confirmed_ms = confirmed_ms;
    pthread_mutex_unlock(&config->lock);
    tree_unref(old);
    counter_add(CTR_CONFIG_APPLIED, 1);
}

/**
 * entry_new() - entry from the text of an edit
 * @revision: its number
 * @text: JSON text
 * @bytes: length of @text
 * @share: tell the members of the data centre
 * @err: filled in on failure
 */
struct entry *
entry_new(int64_t revision, const char *text, size_t bytes, bool share,
          struct err *err)
{
    struct entry *entry = calloc(1, sizeof(*entry));

    if (entry == NULL) {
        err_set(err, ERR_NO_MEMORY, "entry of %zu bytes", bytes);
        return NULL;
    }
    entry->revision = revision;
    entry->bytes = bytes;
    entry->share = share;
    entry->text = strndup(text, bytes);
    if (!edit_parse(entry->text, strlen(entry->text), &entry->edit, err)) {
        entry_free(entry);
        return NULL;
    }
    return entry;
}

/* Called with the write lock held; the revision is the next one. */
static bool
apply_entry(struct config *config, struct entry *entry, int64_t confirmed_ms,
            struct err *err)
{
    struct tree *next =
        tree_apply(config->tree, &entry->edit, entry->revision, err);

    if (next == NULL) {
        return false;
    }
    window_push(config, entry);
    swap_tree(config, next, hash_bytes(entry->text, entry->bytes),
              confirmed_ms);
    return true;
}

/**
 * config_adopt_entry() - put the next accepted edit in force
 * @config: the duty
 * @revision: number of the entry
 * @text: JSON text of the edit
 * @bytes: length of @text
 * @confirmed_ms: when the service had this entry as the newest
 * @share: tell the members of the data centre
 * @err: filled in on failure
 *
 * An entry that is already in force is left out. An entry that this version
 * can't apply is not skipped: the instance keeps its tree and becomes stale.
 *
 * Return: false with ERR_NOT_FOUND when an entry before this one is missing,
 * or with the error of the edit.
 */
bool
config_adopt_entry(struct config *config, int64_t revision, const char *text,
                   size_t bytes, int64_t confirmed_ms, bool share,
                   struct err *err)
{
    struct entry *entry;
    bool done = true;
    int64_t own;

    pthread_mutex_lock(&config->write_lock);
    own = config_revision(config);
    if (revision > own + 1) {
        done = err_set(err, ERR_NOT_FOUND,
                       "entry %" PRId64 " follows revision %" PRId64, revision,
                       own);
    }
    else if (revision == own + 1) {
        entry = entry_new(revision, text, bytes, share, err);
        done = entry != NULL && apply_entry(config, entry, confirmed_ms, err);
        if (!done && entry != NULL) {
            entry_free(entry);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return done;
}

/**
 * config_adopt_tree() - put a whole tree in force if it is newer
 * @config: the duty
 * @text: JSON text of a snapshot
 * @bytes: length of @text
 * @confirmed_ms: when the service had this revision as the newest;
 *                TIME_NEVER when that is not known
 * @err: filled in on failure
 */
bool
config_adopt_tree(struct config *config, const char *text, size_t bytes,
                  int64_t confirmed_ms, struct err *err)
{
    struct tree *tree = tree_parse(text, bytes, err);

    if (tree == NULL) {
        return false;
    }
    pthread_mutex_lock(&config->write_lock);
    if (tree_revision(tree) > config_revision(config)) {
        window_clear(config);
        swap_tree(config, tree, 0, confirmed_ms);
        tree = NULL;
    }
    pthread_mutex_unlock(&config->write_lock);
    tree_unref(tree);
    return true;
}

/**
 * config_confirm() - the service holds a revision as its newest
 * @config: the duty
 * @revision: the revision
 * @confirmed_ms: when the service was asked
 *
 * Nothing changes when another revision is held by now.
 */
void
config_confirm(struct config *config, int64_t revision, int64_t confirmed_ms)
{
    pthread_mutex_lock(&config->lock);
    if (tree_revision(config->tree) == revision) {
        config->ready = true;
        if (confirmed_ms > config->confirmed_ms) {
            config->confirmed_ms = confirmed_ms;
        }
    }
    pthread_mutex_unlock(&config->lock);
}

/**
 * config_set_behind() - whether the service holds older data than this
 * instance
 * @config: the duty
 * @behind: it does
 */
void
config_set_behind(struct config *config, bool behind)
{
    int64_t revision;
    bool changed;

    pthread_mutex_lock(&config->lock);
    changed = config->behind != behind;
    config->behind = behind;
    revision = tree_revision(config->tree);
    pthread_mutex_unlock(&config->lock);
    if (behind) {
        counter_add(CTR_CONFIG_OLDER_IGNORED, 1);
    }
    if (changed) {
        log_line(behind ? LOG_PRI_ERR : LOG_PRI_INFO, "config",
                 "event=%s revision=%" PRId64,
                 behind ? "store_behind" : "store_caught_up", revision);
    }
}

/**
 * config_check_entry() - whether the service has the entry of the revision
 * held
 * @config: the duty
 * @revision: number of the entry
 * @text: the service's entry with this number
 * @bytes: length of @text
 *
 * Another thread may have moved on to a later revision; then there is nothing
 * to compare. After a snapshot the entry isn't known yet and the service's one
 * is taken.
 *
 * Return: false when the service has another entry there, so its history is
 * not the one that this instance has followed.
 */
bool
config_check_entry(struct config *config, int64_t revision, const char *text,
                   size_t bytes)
{
    uint64_t hash = hash_bytes(text, bytes);
    bool same = true;

    pthread_mutex_lock(&config->lock);
    if (tree_revision(config->tree) == revision) {
        if (config->entry_hash == 0) {
            config->entry_hash = hash;
        }
        same = config->entry_hash == hash;
    }
    pthread_mutex_unlock(&config->lock);
    return same;
}
