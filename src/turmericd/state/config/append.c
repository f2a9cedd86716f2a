/**
 * DOC: Edits: validated, rebased and appended to the journal.
 *
 * The key of an entry is created only if it is absent. So an edit whose
 * response was lost can be retried with the same revision without being
 * accepted twice.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/config/internal.h"

enum {
    /* Includes attempts that lost a race and attempts with a lost response. */
    APPEND_ATTEMPTS_MAX = 16,
    UNKNOWN_ATTEMPTS_MAX = 3,
    HISTORY_ENTRIES_MAX = 1000,
};

/* APPEND_PENDING: the edit is not in the journal and nothing found so far
 * prevents it from being appended. APPEND_UNKNOWN: a write or a read was not
 * answered. */
enum append_result {
    APPEND_ACCEPTED,
    APPEND_REFUSED,
    APPEND_PENDING,
    APPEND_UNKNOWN
};

/**
 * struct edit_append - edit that is being appended to the journal
 * @config: configuration duty
 * @edit: the edit
 * @json: text of the journal entry
 * @in_doubt_revision: revision that an unanswered write may still create; 0 if
 *                     there is none
 * @write_sent: this call has sent a write, answered or not
 * @accepted_revision: revision that the edit created
 */
struct edit_append {
    struct config *config;
    const struct edit *edit;
    char *json;
    int64_t in_doubt_revision;
    bool write_sent;
    int64_t accepted_revision;
};

static bool
check_config_usable(struct config *config, int64_t now_ms, struct err *err)
{
    struct config_state state;

    config_read_state(config, now_ms, &state);
    if (!state.ready) {
        return err_set(err, ERR_NOT_READY,
                       "no tree of settings is loaded yet");
    }
    if (state.store_behind) {
        return err_set(err, ERR_CONFIG_BEHIND,
                       "the key-value service holds older data than revision "
                       "%" PRId64,
                       state.revision);
    }
    if (state.stale) {
        return err_set(err, ERR_CONFIG_STALE,
                       "revision %" PRId64
                       " has not been confirmed for %" PRId64 " ms",
                       state.revision, state.age_ms);
    }
    return true;
}

static bool
set_conflict_error(const struct edit *edit, const struct config_entry *entry,
                   struct err *err)
{
    const struct edit_change *change = &edit->changes[0];

    for (int i = 0; i < edit->change_count; i++) {
        struct edit single = {.changes = &edit->changes[i], .change_count = 1};

        if (edit_conflicts(&single, &entry->edit)) {
            change = &edit->changes[i];
            break;
        }
    }
    return err_set(err, ERR_EDIT_CONFLICT,
                   "%.100s: %.40s: changed by %s in revision %" PRId64
                   ", after the base revision %" PRId64,
                   change->node, change->key, entry->edit.author,
                   entry->revision, edit->base_revision);
}

/* Reports whether the entry is this edit, accepted earlier. The same id with
 * other content is refused. */
static enum append_result
match_edit_id(struct edit_append *append, const struct config_entry *entry,
              struct err *err)
{
    if (strcmp(entry->edit.id, append->edit->id) != 0) {
        return APPEND_PENDING;
    }
    if (strcmp(entry->json, append->json) != 0) {
        err_set(err, ERR_EDIT_CONFLICT,
                "id: revision %" PRId64
                " is a different edit with the same id",
                entry->revision);
        return APPEND_REFUSED;
    }
    append->accepted_revision = entry->revision;
    return APPEND_ACCEPTED;
}

/* Called with the write lock held and with all entries after the base revision
 * in memory. */
static enum append_result
check_recent_entries(struct edit_append *append, struct err *err)
{
    const struct edit *edit = append->edit;
    enum append_result result = APPEND_PENDING;
    GList *link;

    for (link = append->config->recent_entries.head;
         link != NULL && result == APPEND_PENDING; link = link->next) {
        result = match_edit_id(append, link->data, err);
    }
    for (link = append->config->recent_entries.head;
         link != NULL && result == APPEND_PENDING; link = link->next) {
        const struct config_entry *entry = link->data;

        if (entry->revision > edit->base_revision &&
            edit_conflicts(edit, &entry->edit)) {
            set_conflict_error(edit, entry, err);
            result = APPEND_REFUSED;
        }
    }
    return result;
}

/* Called with the write lock held. Returns the next revision when no entries
 * are in memory. */
static int64_t
first_recent_revision_locked(struct config *config)
{
    const struct config_entry *first =
        g_queue_peek_head(&config->recent_entries);

    return first != NULL ? first->revision : config_revision(config) + 1;
}

static int64_t
first_recent_revision(struct config *config)
{
    int64_t first;

    pthread_mutex_lock(&config->write_lock);
    first = first_recent_revision_locked(config);
    pthread_mutex_unlock(&config->write_lock);
    return first;
}

/* Called with the write lock held. */
static bool
prepend_entry(struct config *config, int64_t revision, const char *json,
              struct err *err)
{
    struct config_entry *entry =
        config_entry_new(revision, json, strlen(json), false, err);

    if (entry == NULL) {
        return false;
    }
    g_queue_push_head(&config->recent_entries, entry);
    return true;
}

/* Adds older entries in front of the recent ones, unless another thread has
 * added them meanwhile. */
static bool
prepend_entries(struct config *config, int64_t first_revision,
                const struct kv_entries *entries, struct err *err)
{
    bool succeeded = true;

    pthread_mutex_lock(&config->write_lock);
    if (first_recent_revision_locked(config) == first_revision) {
        for (int i = entries->count - 1; i >= 0 && succeeded; i--) {
            succeeded =
                prepend_entry(config, first_revision - entries->count + i,
                              entries->items[i].value, err);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return succeeded;
}

/* Reads entries older than those in memory; an instance that started from a
 * snapshot lacks them. */
static bool
load_older_entries(struct config *config, int64_t first_revision,
                   int64_t wanted_revision, struct err *err)
{
    int64_t start_revision =
        MAX(wanted_revision, first_revision - READ_ENTRIES_MAX);
    char start_key[KV_KEY_MAX_BYTES];
    char end_key[KV_KEY_MAX_BYTES];
    struct kv_entries entries = {0};
    bool succeeded;

    snprintf(start_key, sizeof(start_key), CONFIG_LOG_PREFIX "/%012" PRId64,
             start_revision);
    snprintf(end_key, sizeof(end_key), CONFIG_LOG_PREFIX "/%012" PRId64,
             first_revision);
    if (!kv_range(config->kv, start_key, end_key, READ_ENTRIES_MAX, &entries,
                  err)) {
        return false;
    }
    succeeded =
        entries.count == first_revision - start_revision
            ? prepend_entries(config, first_revision, &entries, err)
            : err_set(err, ERR_EDIT_CONFLICT,
                      "the entries after revision %" PRId64
                      " are no longer kept; if this edit was sent before, "
                      "check whether the tree contains it",
                      wanted_revision - 1);
    kv_entries_free(&entries);
    return succeeded;
}

static enum append_result
check_entries_after_base(struct edit_append *append, struct err *err)
{
    struct config *config = append->config;
    int64_t base_revision = append->edit->base_revision;
    int64_t first_revision = first_recent_revision(config);
    enum append_result result;

    if (base_revision > config_revision(config)) {
        err_set(err, ERR_CONFIG_BEHIND,
                "base revision %" PRId64
                " is newer than the key-value service's newest, %" PRId64,
                base_revision, config_revision(config));
        return APPEND_REFUSED;
    }
    while (first_revision > base_revision + 1) {
        if (!load_older_entries(config, first_revision, base_revision + 1,
                                err)) {
            return APPEND_REFUSED;
        }
        first_revision = first_recent_revision(config);
    }
    pthread_mutex_lock(&config->write_lock);
    result = check_recent_entries(append, err);
    pthread_mutex_unlock(&config->write_lock);
    return result;
}

/* Checks that the edit applies to the current tree. */
static bool
validate_edit(struct edit_append *append, int64_t *next_revision,
              struct err *err)
{
    struct tree *tree = config_tree_ref(append->config);
    struct tree *next_tree;

    *next_revision = tree_revision(tree) + 1;
    next_tree = tree_apply(tree, append->edit, *next_revision, err);
    tree_unref(tree);
    tree_unref(next_tree);
    return next_tree != NULL;
}

/*
 * An instance that is paused before its write may create an entry whose key
 * was removed meanwhile, where no reader looks. Entries are removed only up to
 * a snapshot whose pointer was written before. So an entry that is above the
 * pointer read after the write has been accepted.
 */
static enum append_result
check_entry_retained(struct edit_append *append, int64_t revision,
                     struct err *err)
{
    struct snapshot_pointer pointer;

    if (!snapshot_pointer_read(append->config->kv, &pointer, err)) {
        append->in_doubt_revision = revision;
        return APPEND_UNKNOWN;
    }
    if (revision <= pointer.revision) {
        counter_add(CTR_RETRY_KV_CONFLICT, 1);
        return APPEND_PENDING;
    }
    return APPEND_ACCEPTED;
}

static enum append_result
write_entry(struct edit_append *append, int64_t revision, int64_t now_ms,
            struct err *err)
{
    struct journal journal;
    enum append_result result;

    journal_init(&journal, append->config->kv, CONFIG_LOG_PREFIX);
    journal.next_number = revision;
    append->write_sent = true;
    switch (
        journal_append(&journal, append->json, strlen(append->json), err)) {
    case JOURNAL_APPENDED:
        result = check_entry_retained(append, revision, err);
        if (result != APPEND_ACCEPTED) {
            return result;
        }
        append->in_doubt_revision = 0;
        append->accepted_revision = revision;
        /* Accepted even if the entry can't be applied on this instance. */
        config_apply_entry(append->config, revision, append->json,
                           strlen(append->json), now_ms, true, NULL);
        return APPEND_ACCEPTED;
    case JOURNAL_CONFLICT:
        counter_add(CTR_RETRY_KV_CONFLICT, 1);
        return APPEND_PENDING;
    case JOURNAL_IN_DOUBT:
        counter_add(CTR_RETRY_KV_DOWN, 1);
        append->in_doubt_revision = revision;
        return APPEND_UNKNOWN;
    }
    return APPEND_UNKNOWN;
}

static enum append_result
try_append(struct edit_append *append, int64_t now_ms, struct err *err)
{
    struct config_state state;
    struct err poll_err = {0};
    enum append_result result;
    int64_t next_revision;

    if (!config_poll(append->config, true, now_ms, &poll_err)) {
        err_set(err, ERR_CONFIG_STALE,
                "the newest revision can't be read: %.150s", poll_err.text);
        return APPEND_UNKNOWN;
    }
    config_read_state(append->config, now_ms, &state);
    if (state.store_behind) {
        check_config_usable(append->config, now_ms, err);
        return APPEND_REFUSED;
    }
    if (append->in_doubt_revision > 0 &&
        state.revision >= append->in_doubt_revision) {
        append->in_doubt_revision = 0;
    }
    result = check_entries_after_base(append, err);
    if (result != APPEND_PENDING) {
        return result;
    }
    if (!validate_edit(append, &next_revision, err)) {
        return APPEND_REFUSED;
    }
    return write_entry(append, next_revision, now_ms, err);
}

/* While a write may still take effect, a refusal is reported as an unknown
 * outcome. */
static bool
set_final_error(const struct edit_append *append, struct err *err)
{
    char reason[ERR_TEXT_MAX / 2];

    g_strlcpy(reason, err->text, sizeof(reason));
    if (append->in_doubt_revision > 0) {
        return err_set(err, ERR_KV_DOWN,
                       "it is unknown whether revision %" PRId64
                       " is this edit; send it again with the same id: %s",
                       append->in_doubt_revision, reason);
    }
    if (err->kind == ERR_KV_DOWN) {
        return err_set(err, ERR_CONFIG_STALE,
                       "older entries can't be read: %s", reason);
    }
    return false;
}

static bool
append_with_retries(struct edit_append *append, int64_t now_ms,
                    struct err *err)
{
    enum append_result result = APPEND_PENDING;
    int unknown_attempts = 0;

    for (int i = 0;
         i < APPEND_ATTEMPTS_MAX && unknown_attempts < UNKNOWN_ATTEMPTS_MAX;
         i++) {
        err_clear(err);
        result = try_append(append, now_ms, err);
        if (result == APPEND_ACCEPTED) {
            return true;
        }
        if (result == APPEND_REFUSED) {
            return set_final_error(append, err);
        }
        unknown_attempts += result == APPEND_UNKNOWN;
    }
    if (result == APPEND_PENDING) {
        err_set(err, ERR_EDIT_CONFLICT,
                "gave up after %d attempts, other edits were accepted first",
                APPEND_ATTEMPTS_MAX);
    }
    return set_final_error(append, err);
}

/**
 * config_edit() - append an edit to the journal and apply it
 * @config: configuration duty
 * @edit: the edit; retrying it with the same id accepts it only once
 * @now_ms: current monotonic time
 * @revision: set to the revision that the edit created
 * @err: filled in on failure
 *
 * Return: false with ERR_EDIT_INVALID, ERR_EDIT_CONFLICT, ERR_CONFIG_STALE,
 * ERR_CONFIG_BEHIND or ERR_NOT_READY when the edit was refused, and with
 * ERR_KV_DOWN when it may still be accepted.
 */
bool
config_edit(struct config *config, const struct edit *edit, int64_t now_ms,
            int64_t *revision, struct err *err)
{
    struct edit_append append = {.config = config, .edit = edit};
    struct message notice = {.kind = MESSAGE_EDIT_ACCEPTED};
    struct err append_err = {0};
    bool accepted;

    if (!check_config_usable(config, now_ms, err)) {
        return false;
    }
    pthread_mutex_lock(&config->edit_lock);
    append.json = edit_format(edit);
    accepted = append_with_retries(&append, now_ms, &append_err);
    free(append.json);
    pthread_mutex_unlock(&config->edit_lock);
    if (!accepted) {
        if (err != NULL) {
            *err = append_err;
        }
        return false;
    }
    /* A retry that finds the edit already accepted is not counted again. */
    counter_add(CTR_EDITS_ACCEPTED, append.write_sent ? 1 : 0);
    *revision = append.accepted_revision;
    /* A full ring only delays the announcement to the next tick. */
    ring_push(&config->inbox, &notice, NULL);
    return true;
}

static void
add_history_entry(struct json_object *list, int64_t revision, const char *json)
{
    struct json_object *object = json_tokener_parse(json);

    if (json_object_is_type(object, json_type_object)) {
        json_object_object_add(object, "revision",
                               json_object_new_int64(revision));
        json_object_array_add(list, object);
    }
    else {
        json_object_put(object);
    }
}

/* Returns false when some entries after @after_revision are not in
 * memory. */
static bool
history_from_memory(struct config *config, int64_t after_revision, int limit,
                    struct json_object *list)
{
    bool complete;

    pthread_mutex_lock(&config->write_lock);
    complete = first_recent_revision_locked(config) <= after_revision + 1;
    for (GList *link = config->recent_entries.head; link != NULL && complete;
         link = link->next) {
        const struct config_entry *entry = link->data;

        if (entry->revision > after_revision &&
            json_object_array_length(list) < (size_t)limit) {
            add_history_entry(list, entry->revision, entry->json);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return complete;
}

static bool
history_from_store(struct config *config, int64_t after_revision, int limit,
                   struct json_object *list, struct err *err)
{
    char start_key[KV_KEY_MAX_BYTES];
    struct kv_entries entries = {0};

    snprintf(start_key, sizeof(start_key), CONFIG_LOG_PREFIX "/%012" PRId64,
             after_revision + 1);
    if (!kv_range(config->kv, start_key, CONFIG_LOG_PREFIX "/:", limit,
                  &entries, err)) {
        return false;
    }
    for (int i = 0; i < entries.count; i++) {
        const char *number = strrchr(entries.items[i].key, '/') + 1;

        add_history_entry(list, strtoll(number, NULL, 10),
                          entries.items[i].value);
    }
    kv_entries_free(&entries);
    return true;
}

/**
 * config_history() - list the accepted edits after a revision
 * @config: configuration duty
 * @after_revision: the revision
 * @limit: maximum number of entries
 * @err: filled in on failure
 *
 * Entries that have been removed from the journal are left out.
 *
 * Return: a JSON array that the caller frees with free(), or NULL with the
 * error of kv_range().
 */
char *
config_history(struct config *config, int64_t after_revision, int limit,
               struct err *err)
{
    struct json_object *list = json_object_new_array();
    char *json = NULL;

    after_revision = CLAMP(after_revision, 0, INT64_MAX - 1);
    limit = CLAMP(limit, 1, HISTORY_ENTRIES_MAX);
    if (history_from_memory(config, after_revision, limit, list) ||
        history_from_store(config, after_revision, limit, list, err)) {
        json = strdup(json_object_to_json_string_ext(
            list, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    }
    json_object_put(list);
    return json;
}
