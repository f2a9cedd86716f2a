/**
 * DOC: Polls the configuration journal in the key-value store.
 *
 * Each read starts at the entry of the current revision. If that entry matches
 * and is the last one, the current revision is confirmed as the newest. If it
 * is missing or differs, the store's data is older than or different from
 * the accepted edits, and the current tree is kept.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/internal.h"

enum poll_result {
    POLL_FAILED,
    POLL_MORE,
    POLL_UP_TO_DATE,
    POLL_STORE_BEHIND
};

/* Loads the last snapshot if it is newer than the current revision. */
static bool
load_newer_snapshot(struct config *config, struct err *err)
{
    struct snapshot_pointer pointer;

    if (!snapshot_pointer_read(config->kv, &pointer, err)) {
        return false;
    }
    if (pointer.revision <= config_revision(config)) {
        return true;
    }
    return config_load_snapshot(config, &pointer, err);
}

static bool
apply_range(struct config *config, int64_t first_revision,
            const struct kv_entries *entries, bool broadcast, int64_t now_ms,
            struct err *err)
{
    for (int i = 0; i < entries->count; i++) {
        const struct kv_entry *entry = &entries->items[i];

        if (!config_apply_entry(config, first_revision + i, entry->value,
                                entry->value_bytes, now_ms, broadcast, err)) {
            return false;
        }
    }
    return true;
}

static enum poll_result
check_and_apply_range(struct config *config, int64_t current_revision,
                      const struct kv_entries *entries, bool broadcast,
                      int64_t now_ms, struct err *err)
{
    int64_t first_revision = current_revision > 0 ? current_revision : 1;

    if (current_revision > 0 &&
        (entries->count == 0 ||
         !config_entry_matches(config, current_revision,
                               entries->items[0].value,
                               entries->items[0].value_bytes))) {
        return POLL_STORE_BEHIND;
    }
    if (!apply_range(config, first_revision, entries, broadcast, now_ms,
                     err)) {
        return POLL_FAILED;
    }
    if (entries->more) {
        return POLL_MORE;
    }
    config_confirm_revision(config,
                            entries->count > 0
                                ? first_revision + entries->count - 1
                                : current_revision,
                            now_ms);
    return POLL_UP_TO_DATE;
}

/* Reads one range of entries. If the entry of the current revision was
 * removed, loads the snapshot instead. */
static enum poll_result
poll_once(struct config *config, bool broadcast, int64_t now_ms,
          struct err *err)
{
    int64_t current_revision = config_revision(config);
    struct journal journal;
    struct kv_entries entries = {0};
    enum poll_result result;

    journal_init(&journal, config->kv, CONFIG_LOG_PREFIX);
    journal.next_number = current_revision > 0 ? current_revision : 1;
    if (!journal_read(&journal, READ_ENTRIES_MAX, &entries, err)) {
        if (err->kind != ERR_NOT_FOUND) {
            return POLL_FAILED;
        }
        err_clear(err);
        if (!load_newer_snapshot(config, err)) {
            return POLL_FAILED;
        }
        return config_revision(config) > current_revision ? POLL_MORE
                                                          : POLL_STORE_BEHIND;
    }
    result = check_and_apply_range(config, current_revision, &entries,
                                   broadcast, now_ms, err);
    kv_entries_free(&entries);
    return result;
}

/**
 * config_poll() - apply what is new in the key-value store
 * @config: configuration duty
 * @broadcast: broadcast new entries to the members of the data centre
 * @now_ms: monotonic time before the first read
 * @err: filled in on failure
 *
 * Return: false when the store did not respond or an entry can't be applied.
 */
bool
config_poll(struct config *config, bool broadcast, int64_t now_ms,
            struct err *err)
{
    enum poll_result result = POLL_MORE;

    if (config_revision(config) == 0 && !load_newer_snapshot(config, err)) {
        return false;
    }
    while (result == POLL_MORE) {
        result = poll_once(config, broadcast, now_ms, err);
    }
    if (result == POLL_FAILED) {
        return false;
    }
    config_set_store_behind(config, result == POLL_STORE_BEHIND);
    return true;
}
