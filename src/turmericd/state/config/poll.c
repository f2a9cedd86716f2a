/**
 * DOC: Reads the configuration journal.
 *
 * Each read starts with the entry of the revision held. When the service has
 * it and nothing after it, the revision is confirmed as the newest. When the
 * service lacks it or has another one there, the service's data is older than
 * or different from what was accepted, and the tree held is kept.
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

enum poll_result { POLL_FAILED, POLL_MORE, POLL_NEWEST, POLL_BEHIND };

/* Loads the last snapshot if it is newer than what is held. */
static bool
load_base(struct config *config, struct err *err)
{
    struct base base;

    if (!base_read(config->kv, &base, err)) {
        return false;
    }
    if (base.revision <= config_revision(config)) {
        return true;
    }
    return base_load(config, &base, err);
}

static bool
adopt_entries(struct config *config, int64_t first,
              const struct kv_entries *entries, bool share, int64_t now_ms,
              struct err *err)
{
    for (int i = 0; i < entries->count; i++) {
        const struct kv_entry *entry = &entries->items[i];

        if (!config_adopt_entry(config, first + i, entry->value,
                                entry->value_bytes, now_ms, share, err)) {
            return false;
        }
    }
    return true;
}

static enum poll_result
judge_entries(struct config *config, int64_t own,
              const struct kv_entries *entries, bool share, int64_t now_ms,
              struct err *err)
{
    int64_t first = own > 0 ? own : 1;

    if (own > 0 && (entries->count == 0 ||
                    !config_check_entry(config, own, entries->items[0].value,
                                        entries->items[0].value_bytes))) {
        return POLL_BEHIND;
    }
    if (!adopt_entries(config, first, entries, share, now_ms, err)) {
        return POLL_FAILED;
    }
    if (entries->more) {
        return POLL_MORE;
    }
    config_confirm(
        config, entries->count > 0 ? first + entries->count - 1 : own, now_ms);
    return POLL_NEWEST;
}

/* One range read; a removed entry leads to the snapshot instead. */
static enum poll_result
read_once(struct config *config, bool share, int64_t now_ms, struct err *err)
{
    int64_t own = config_revision(config);
    struct journal journal;
    struct kv_entries entries = {0};
    enum poll_result result;

    journal_init(&journal, config->kv, CONFIG_LOG);
    journal.next = own > 0 ? own : 1;
    if (!journal_read(&journal, READ_LIMIT, &entries, err)) {
        if (err->kind != ERR_NOT_FOUND) {
            return POLL_FAILED;
        }
        err_clear(err);
        if (!load_base(config, err)) {
            return POLL_FAILED;
        }
        return config_revision(config) > own ? POLL_MORE : POLL_BEHIND;
    }
    result = judge_entries(config, own, &entries, share, now_ms, err);
    kv_entries_free(&entries);
    return result;
}

/**
 * config_poll() - read what is new in the service
 * @config: the duty
 * @share: tell the members of the data centre about new entries
 * @now_ms: present time, before the first call
 * @err: filled in on failure
 *
 * Return: false when the service did not answer or an entry can't be applied.
 */
bool
config_poll(struct config *config, bool share, int64_t now_ms, struct err *err)
{
    enum poll_result result = POLL_MORE;

    if (config_revision(config) == 0 && !load_base(config, err)) {
        return false;
    }
    while (result == POLL_MORE) {
        result = read_once(config, share, now_ms, err);
    }
    if (result == POLL_FAILED) {
        return false;
    }
    config_set_behind(config, result == POLL_BEHIND);
    return true;
}
