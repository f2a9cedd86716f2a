/**
 * DOC: Edits: validate, rebase, append to the journal.
 *
 * An entry is created only if absent at its number, so an edit whose answer
 * was lost can be repeated at the same number without being accepted twice.
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
    /* Lost races and lost answers before the edit is given back. */
    APPEND_ATTEMPTS_MAX = 16,
    UNANSWERED_MAX = 3,
    HISTORY_LIMIT_MAX = 1000,
};

enum attempt { ATTEMPT_DONE, ATTEMPT_REFUSED, ATTEMPT_TAKEN, ATTEMPT_UNKNOWN };

/**
 * struct append - an edit on its way into the journal
 * @config: the duty
 * @edit: the edit
 * @text: the entry
 * @open: number at which an unanswered write may still create the entry; 0
 *        when there is none
 * @wrote: this call has sent a write, answered or not
 * @revision: number at which the edit was accepted
 */
struct append {
    struct config *config;
    const struct edit *edit;
    char *text;
    int64_t open;
    bool wrote;
    int64_t revision;
};

static bool
check_state(struct config *config, int64_t now_ms, struct err *err)
{
    struct config_state state;

    config_read_state(config, now_ms, &state);
    if (!state.ready) {
        return err_set(err, ERR_NOT_READY, "no tree of settings is held yet");
    }
    if (state.behind) {
        return err_set(err, ERR_CONFIG_BEHIND,
                       "the key-value service holds older data than revision "
                       "%" PRId64,
                       state.revision);
    }
    if (state.stale) {
        return err_set(err, ERR_CONFIG_STALE,
                       "revision %" PRId64 " was not confirmed for %" PRId64
                       " ms",
                       state.revision, state.age_ms);
    }
    return true;
}

static bool
conflict_error(const struct edit *edit, const struct entry *entry,
               struct err *err)
{
    const struct change *change = &edit->changes[0];

    for (int i = 0; i < edit->change_count; i++) {
        struct edit one = {.changes = &edit->changes[i], .change_count = 1};

        if (edit_conflicts(&one, &entry->edit)) {
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

/* Finds the edit itself among the accepted ones. */
static enum attempt
find_own(struct append *append, const struct entry *entry, struct err *err)
{
    if (strcmp(entry->edit.id, append->edit->id) != 0) {
        return ATTEMPT_TAKEN;
    }
    if (strcmp(entry->text, append->text) != 0) {
        err_set(err, ERR_EDIT_CONFLICT,
                "id: revision %" PRId64 " is another edit with the same id",
                entry->revision);
        return ATTEMPT_REFUSED;
    }
    append->revision = entry->revision;
    return ATTEMPT_DONE;
}

/* Called with the write lock held; the window holds all after the base. */
static enum attempt
check_window(struct append *append, struct err *err)
{
    const struct edit *edit = append->edit;
    enum attempt result = ATTEMPT_TAKEN;
    GList *link;

    for (link = append->config->window.head;
         link != NULL && result == ATTEMPT_TAKEN; link = link->next) {
        result = find_own(append, link->data, err);
    }
    for (link = append->config->window.head;
         link != NULL && result == ATTEMPT_TAKEN; link = link->next) {
        const struct entry *entry = link->data;

        if (entry->revision > edit->base_revision &&
            edit_conflicts(edit, &entry->edit)) {
            conflict_error(edit, entry, err);
            result = ATTEMPT_REFUSED;
        }
    }
    return result;
}

/* Called with the write lock held. Number of the first entry in the window. */
static int64_t
window_first(struct config *config)
{
    const struct entry *first = g_queue_peek_head(&config->window);

    return first != NULL ? first->revision : config_revision(config) + 1;
}

static int64_t
read_window_first(struct config *config)
{
    int64_t first;

    pthread_mutex_lock(&config->write_lock);
    first = window_first(config);
    pthread_mutex_unlock(&config->write_lock);
    return first;
}

/* Called with the write lock held. */
static bool
push_older(struct config *config, int64_t number, const char *text,
           struct err *err)
{
    struct entry *entry = entry_new(number, text, strlen(text), false, err);

    if (entry == NULL) {
        return false;
    }
    g_queue_push_head(&config->window, entry);
    return true;
}

/* Puts entries before the window unless another thread has done so. */
static bool
push_all_older(struct config *config, int64_t first,
               const struct kv_entries *entries, struct err *err)
{
    bool done = true;

    pthread_mutex_lock(&config->write_lock);
    if (window_first(config) == first) {
        for (int i = entries->count - 1; i >= 0 && done; i--) {
            done = push_older(config, first - entries->count + i,
                              entries->items[i].value, err);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return done;
}

/* Reads entries before the window; an instance that started from a snapshot
 * lacks them. */
static bool
extend_window(struct config *config, int64_t first, int64_t wanted,
              struct err *err)
{
    int64_t number = MAX(wanted, first - READ_LIMIT);
    char from[KV_KEY_MAX_BYTES];
    char end[KV_KEY_MAX_BYTES];
    struct kv_entries entries = {0};
    bool done;

    snprintf(from, sizeof(from), CONFIG_LOG "/%012" PRId64, number);
    snprintf(end, sizeof(end), CONFIG_LOG "/%012" PRId64, first);
    if (!kv_range(config->kv, from, end, READ_LIMIT, &entries, err)) {
        return false;
    }
    done = entries.count == first - number
               ? push_all_older(config, first, &entries, err)
               : err_set(err, ERR_EDIT_CONFLICT,
                         "the entries after revision %" PRId64
                         " are no longer kept; if this edit was sent before, "
                         "look whether the tree has it",
                         wanted - 1);
    kv_entries_free(&entries);
    return done;
}

static enum attempt
check_entries(struct append *append, struct err *err)
{
    struct config *config = append->config;
    int64_t base = append->edit->base_revision;
    int64_t first = read_window_first(config);
    enum attempt result;

    if (base > config_revision(config)) {
        err_set(err, ERR_CONFIG_BEHIND,
                "base revision %" PRId64
                " is newer than the service's newest, %" PRId64,
                base, config_revision(config));
        return ATTEMPT_REFUSED;
    }
    while (first > base + 1) {
        if (!extend_window(config, first, base + 1, err)) {
            return ATTEMPT_REFUSED;
        }
        first = read_window_first(config);
    }
    pthread_mutex_lock(&config->write_lock);
    result = check_window(append, err);
    pthread_mutex_unlock(&config->write_lock);
    return result;
}

/* The edit must fit the tree that it will follow. */
static bool
validate(struct append *append, int64_t *next, struct err *err)
{
    struct tree *tree = config_pin(append->config);
    struct tree *after;

    *next = tree_revision(tree) + 1;
    after = tree_apply(tree, append->edit, *next, err);
    tree_unref(tree);
    tree_unref(after);
    return after != NULL;
}

/*
 * An instance that was paused before its write may create an entry whose
 * number has been removed, where no reader looks. Entries are removed only up
 * to a snapshot whose pointer was written before, so an entry above the
 * pointer read after the write is in force.
 */
static enum attempt
check_in_force(struct append *append, int64_t number, struct err *err)
{
    struct base base;

    if (!base_read(append->config->kv, &base, err)) {
        append->open = number;
        return ATTEMPT_UNKNOWN;
    }
    if (number <= base.revision) {
        counter_add(CTR_RETRY_KV_CONFLICT, 1);
        return ATTEMPT_TAKEN;
    }
    return ATTEMPT_DONE;
}

static enum attempt
write_entry(struct append *append, int64_t number, int64_t now_ms,
            struct err *err)
{
    struct journal journal;
    enum attempt result;

    journal_init(&journal, append->config->kv, CONFIG_LOG);
    journal.next = number;
    append->wrote = true;
    switch (
        journal_append(&journal, append->text, strlen(append->text), err)) {
    case JOURNAL_APPENDED:
        result = check_in_force(append, number, err);
        if (result != ATTEMPT_DONE) {
            return result;
        }
        append->open = 0;
        append->revision = number;
        /* The entry is accepted even if it can't be put in force here. */
        config_adopt_entry(append->config, number, append->text,
                           strlen(append->text), now_ms, true, NULL);
        return ATTEMPT_DONE;
    case JOURNAL_TAKEN:
        counter_add(CTR_RETRY_KV_CONFLICT, 1);
        return ATTEMPT_TAKEN;
    case JOURNAL_UNKNOWN:
        counter_add(CTR_RETRY_KV_DOWN, 1);
        append->open = number;
        return ATTEMPT_UNKNOWN;
    }
    return ATTEMPT_UNKNOWN;
}

static enum attempt
attempt_append(struct append *append, int64_t now_ms, struct err *err)
{
    struct config_state state;
    struct err failure = {0};
    enum attempt result;
    int64_t next;

    if (!config_poll(append->config, true, now_ms, &failure)) {
        err_set(err, ERR_CONFIG_STALE,
                "the newest revision can't be read: %.150s", failure.text);
        return ATTEMPT_UNKNOWN;
    }
    config_read_state(append->config, now_ms, &state);
    if (state.behind) {
        check_state(append->config, now_ms, err);
        return ATTEMPT_REFUSED;
    }
    if (append->open > 0 && state.revision >= append->open) {
        append->open = 0;
    }
    result = check_entries(append, err);
    if (result != ATTEMPT_TAKEN) {
        return result;
    }
    if (!validate(append, &next, err)) {
        return ATTEMPT_REFUSED;
    }
    return write_entry(append, next, now_ms, err);
}

/* A write that may still take effect makes every refusal an unknown one. */
static bool
give_up(const struct append *append, struct err *err)
{
    char reason[ERR_TEXT_MAX / 2];

    g_strlcpy(reason, err->text, sizeof(reason));
    if (append->open > 0) {
        return err_set(err, ERR_KV_DOWN,
                       "whether revision %" PRId64 " is this edit is unknown, "
                       "send it again with the same id: %s",
                       append->open, reason);
    }
    if (err->kind == ERR_KV_DOWN) {
        return err_set(err, ERR_CONFIG_STALE,
                       "older entries can't be read: %s", reason);
    }
    return false;
}

static bool
append_edit(struct append *append, int64_t now_ms, struct err *err)
{
    enum attempt result = ATTEMPT_TAKEN;
    int unanswered = 0;

    for (int i = 0; i < APPEND_ATTEMPTS_MAX && unanswered < UNANSWERED_MAX;
         i++) {
        err_clear(err);
        result = attempt_append(append, now_ms, err);
        if (result == ATTEMPT_DONE) {
            return true;
        }
        if (result == ATTEMPT_REFUSED) {
            return give_up(append, err);
        }
        unanswered += result == ATTEMPT_UNKNOWN;
    }
    if (result == ATTEMPT_TAKEN) {
        err_set(err, ERR_EDIT_CONFLICT,
                "other edits were accepted first %d times",
                APPEND_ATTEMPTS_MAX);
    }
    return give_up(append, err);
}

/**
 * config_edit() - make an edit
 * @config: the duty
 * @edit: the edit; sent again with the same id it is accepted only once
 * @now_ms: present time
 * @revision: set to the revision that has the edit
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
    struct append append = {.config = config, .edit = edit};
    struct message wake = {.kind = MESSAGE_EDITED};
    struct err failure = {0};
    bool done;

    if (!check_state(config, now_ms, err)) {
        return false;
    }
    pthread_mutex_lock(&config->edit_lock);
    append.text = edit_format(edit);
    done = append_edit(&append, now_ms, &failure);
    free(append.text);
    pthread_mutex_unlock(&config->edit_lock);
    if (!done) {
        if (err != NULL) {
            *err = failure;
        }
        return false;
    }
    /* An edit that is sent again is counted once. */
    counter_add(CTR_EDITS_ACCEPTED, append.wrote ? 1 : 0);
    *revision = append.revision;
    /* A full ring only delays the announcement to the next tick. */
    ring_push(&config->inbox, &wake, NULL);
    return true;
}

static void
add_history(struct json_object *list, int64_t revision, const char *text)
{
    struct json_object *json = json_tokener_parse(text);

    if (json_object_is_type(json, json_type_object)) {
        json_object_object_add(json, "revision",
                               json_object_new_int64(revision));
        json_object_array_add(list, json);
    }
    else {
        json_object_put(json);
    }
}

/* Returns false when the window doesn't hold all entries after @after. */
static bool
history_from_window(struct config *config, int64_t after, int limit,
                    struct json_object *list)
{
    bool kept;

    pthread_mutex_lock(&config->write_lock);
    kept = window_first(config) <= after + 1;
    for (GList *link = config->window.head; link != NULL && kept;
         link = link->next) {
        const struct entry *entry = link->data;

        if (entry->revision > after &&
            json_object_array_length(list) < (size_t)limit) {
            add_history(list, entry->revision, entry->text);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return kept;
}

static bool
history_from_service(struct config *config, int64_t after, int limit,
                     struct json_object *list, struct err *err)
{
    char from[KV_KEY_MAX_BYTES];
    struct kv_entries entries = {0};

    snprintf(from, sizeof(from), CONFIG_LOG "/%012" PRId64, after + 1);
    if (!kv_range(config->kv, from, CONFIG_LOG "/:", limit, &entries, err)) {
        return false;
    }
    for (int i = 0; i < entries.count; i++) {
        const char *number = strrchr(entries.items[i].key, '/') + 1;

        add_history(list, strtoll(number, NULL, 10), entries.items[i].value);
    }
    kv_entries_free(&entries);
    return true;
}

/**
 * config_history() - accepted edits after a revision
 * @config: the duty
 * @after: the revision
 * @limit: most entries to return
 * @err: filled in on failure
 *
 * Entries that are no longer kept are left out.
 *
 * Return: a JSON array, freed with free(), or NULL.
 */
char *
config_history(struct config *config, int64_t after, int limit,
               struct err *err)
{
    struct json_object *list = json_object_new_array();
    char *text = NULL;

    after = CLAMP(after, 0, INT64_MAX - 1);
    limit = CLAMP(limit, 1, HISTORY_LIMIT_MAX);
    if (history_from_window(config, after, limit, list) ||
        history_from_service(config, after, limit, list, err)) {
        text = strdup(json_object_to_json_string_ext(
            list, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    }
    json_object_put(list);
    return text;
}
