/**
 * DOC: Duty that watches the store for changes of the configuration, targets,
 * instances and the holder.
 *
 * One watch covers all keys. Targets write continually, so a watch returns at
 * once. A delay between two calls coalesces many changes into one response,
 * because each call is charged; share.c says which instances call.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"

enum {
    WATCH_TIMEOUT_MS =
        2000, /* bounds how long a lost connection goes unnoticed */
    WATCH_NO_WAIT_MS = 1,
    /* Other instances wait for the end of the call to prove that what they
     * know is recent, several times within their limit. */
    WATCH_ASKED_MS = 200,
    BACKOFF_MIN_MS = 100,
    BACKOFF_MAX_MS = 800, /* recovery of the store is noticed within 1 s */
    LIST_PAGES_MAX = 64,
    INBOX_MESSAGES_MAX = 256, /* asks arrive while a call is in progress */
    REJECTED_MAX = 1024,      /* entries with a log line of their own */
};

static void
queue_target_change(struct registry_port *port,
                    const struct target_change *change)
{
    struct feed *feed =
        (struct feed *)((char *)port - offsetof(struct feed, registry_port));

    outbox_add_target_change(&feed->outbox, change);
}

static const struct registry_port_ops registry_ops = {queue_target_change};

/* Returns whether a log line is due: one for each entry until it can be read
 * again, as it may be written each few hundred ms. */
static bool
add_rejected(struct feed *feed, const struct store_item *item)
{
    counter_add(CTR_ENTRIES_REJECTED, 1);
    return g_hash_table_size(feed->rejected) < REJECTED_MAX &&
           g_hash_table_add(feed->rejected, g_strdup(item->key));
}

static void
log_config_unreadable(const struct feed *feed, const struct store_item *item,
                      const struct err *err)
{
    log_line(LOG_PRI_ERR, "feed",
             "event=config_unreadable revision=%" G_GINT64_FORMAT
             " kept_version=%" G_GINT64_FORMAT " reason=\"%s\"",
             (gint64)item->revision, (gint64)feed->config_version, err->text);
}

/* A configuration of which parts can't be used is in force all the same. */
static void
log_config_faults(const struct gate_config *config)
{
    if (config->missing_count > 0) {
        log_line(LOG_PRI_INFO, "feed",
                 "event=config_missing version=%" G_GINT64_FORMAT
                 " members=%d defaults_of=\"%s\"",
                 (gint64)config->version, config->missing_count,
                 config->missing);
    }
    if (config->fault_count == 0) {
        return;
    }
    counter_add(CTR_CONFIG_PARTS_UNUSABLE, (uint64_t)config->fault_count);
    log_line(LOG_PRI_ERR, "feed",
             "event=config_partly_used version=%" G_GINT64_FORMAT
             " unusable=%d",
             (gint64)config->version, config->fault_count);
    for (char **fault = config->faults; *fault != NULL; fault++) {
        log_line(LOG_PRI_ERR, "feed",
                 "event=config_part_unusable version=%" G_GINT64_FORMAT
                 " part=\"%s\"",
                 (gint64)config->version, *fault);
    }
}

static void
apply_config(struct feed *feed, const struct store_item *item)
{
    struct err err = {0};
    struct gate_config *config =
        feed->decode->config(item->value, item->value_bytes, &err);

    feed->config_unreadable = config == NULL;
    feed->stored_version = config != NULL ? config->version : 0;
    if (config == NULL) {
        if (add_rejected(feed, item)) {
            log_config_unreadable(feed, item, &err);
        }
        return;
    }
    g_hash_table_remove(feed->rejected, item->key);
    if (config->version <= feed->config_version) {
        gate_config_unref(config);
        return;
    }
    log_config_faults(config);
    feed->config_version = config->version;
    feed->fresh.version_max = MAX(feed->fresh.version_max, config->version);
    outbox_set_config(&feed->outbox, config);
}

/* Logs once that a target holds items that can't be known here. */
static void
note_unknown_items(struct feed *feed, const struct store_item *item,
                   const struct target_info *info)
{
    if (info->cut_items == 0 && info->unreadable_items == 0) {
        g_hash_table_remove(feed->partial, item->key);
        return;
    }
    if (g_hash_table_size(feed->partial) < REJECTED_MAX &&
        g_hash_table_add(feed->partial, g_strdup(item->key))) {
        log_line(LOG_PRI_WARNING, "feed",
                 "event=target_items_unknown target=%s cut=%d unreadable=%d "
                 "limit=%d",
                 info->id, info->cut_items, info->unreadable_items,
                 TARGET_ITEMS_MAX);
    }
}

static void
apply_target(struct feed *feed, const char *id, const struct store_item *item,
             int64_t now_ms)
{
    struct target_info info;
    struct err err = {0};

    memset(&info, 0, sizeof(info));
    if (feed->decode->target(id, item->value, item->value_bytes, &info,
                             &err)) {
        g_hash_table_remove(feed->rejected, item->key);
        note_unknown_items(feed, item, &info);
        registry_put(&feed->registry, &info, item->create_revision, now_ms);
        return;
    }
    registry_reject(&feed->registry, id, now_ms);
    if (add_rejected(feed, item)) {
        log_line(LOG_PRI_WARNING, "feed",
                 "event=target_unreadable target=%s revision=%" G_GINT64_FORMAT
                 " reason=\"%s\"",
                 id, (gint64)item->revision, err.text);
    }
}

static void
reject_member(struct feed *feed, const struct store_item *item,
              const struct err *err)
{
    if (g_hash_table_remove(feed->members, item->key)) {
        feed->members_changed = true;
    }
    if (add_rejected(feed, item)) {
        log_line(LOG_PRI_WARNING, "feed",
                 "event=member_unreadable key=%s reason=\"%s\"", item->key,
                 err->text);
    }
}

static void
apply_member(struct feed *feed, const struct store_item *item)
{
    struct gate_member *member = g_new0(struct gate_member, 1);
    struct err err = {0};

    if (!member_parse(item->value, item->value_bytes, member, &err)) {
        reject_member(feed, item, &err);
        g_free(member);
        return;
    }
    g_hash_table_remove(feed->rejected, item->key);
    log_line(LOG_PRI_INFO, "feed",
             "event=member name=%s front=%s revision=%" G_GINT64_FORMAT,
             member->name, member->front_address, (gint64)item->revision);
    g_hash_table_insert(feed->members, g_strdup(item->key), member);
    feed->members_changed = true;
}

static void
apply_holder(struct feed *feed, const struct store_item *item)
{
    struct holder holder = {.era = feed->era};

    if (item->value != NULL) {
        g_strlcpy(holder.name, item->value, sizeof(holder.name));
        holder.fence = era_fence(feed->era, item->create_revision);
    }
    outbox_set_holder(&feed->outbox, &holder);
}

static void
apply_item(struct feed *feed, const struct store_item *item, int64_t now_ms)
{
    const char *id = NULL;

    switch (feed->decode->key(item->key, &id)) {
    case KEY_CONFIG:
        apply_config(feed, item);
        return;
    case KEY_TARGET:
        apply_target(feed, id, item, now_ms);
        return;
    case KEY_OTHER:
        break;
    }
    if (g_str_has_prefix(item->key, member_prefix)) {
        apply_member(feed, item);
    }
    else if (strcmp(item->key, holder_key) == 0) {
        apply_holder(feed, item);
    }
}

static void
apply_deletion(struct feed *feed, const struct store_item *item,
               int64_t now_ms)
{
    const char *id = NULL;

    enum key_kind kind = feed->decode->key(item->key, &id);

    g_hash_table_remove(feed->rejected, item->key);
    g_hash_table_remove(feed->partial, item->key);
    if (kind == KEY_TARGET) {
        registry_delete(&feed->registry, id, now_ms);
    }
    else if (kind == KEY_CONFIG) {
        feed->stored_version = 0;
    }
    else if (g_hash_table_remove(feed->members, item->key)) {
        log_line(LOG_PRI_INFO, "feed", "event=member_gone key=%s", item->key);
        feed->members_changed = true;
    }
    else if (strcmp(item->key, holder_key) == 0) {
        apply_holder(feed, item);
    }
}

static void
queue_members(struct feed *feed)
{
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct gate_member));
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, feed->members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_array_append_vals(members, value, 1);
    }
    outbox_set_members(&feed->outbox, members);
}

/* Whether the store has the configuration that is known here. A store that was
 * restored may have an older one, and a newer one may be missing in it. */
static bool
config_is_stored(const struct feed *feed)
{
    return feed->era == 0 || feed->stored_version >= feed->config_version;
}

/* The confirmation follows the configuration in the receivers' rings. */
static void
deliver_confirmation(struct feed *feed)
{
    struct confirmation confirmation = {.version = feed->config_version,
                                        .boot_ms = feed->confirmed_ms};

    if (feed->confirmed_ms < 0 || feed->outbox.config != NULL ||
        feed->config_unreadable || feed->config_version == 0 ||
        feed->config_version < feed->fresh.version_max ||
        !config_is_stored(feed)) {
        return;
    }
    feed->confirmed_ms = -1;
    feed->port->ops->confirmed(feed->port, &confirmation);
}

static void
deliver_changes(struct feed *feed)
{
    if (feed->members_changed) {
        feed->members_changed = false;
        share_update(&feed->share, feed->members, &feed->self);
        queue_members(feed);
    }
    if (!outbox_deliver(&feed->outbox, feed->port)) {
        log_line(LOG_PRI_WARNING, "feed",
                 "event=news_kept version=%" G_GINT64_FORMAT " targets=%u",
                 (gint64)feed->config_version,
                 g_hash_table_size(feed->outbox.target_changes));
    }
    deliver_confirmation(feed);
}

/* What was known from the revisions of the earlier era means nothing in the
 * new one. What targets, instances and the operator have written stays in use
 * until the list of all keys replaces it. */
static void
begin_era(struct feed *feed)
{
    const struct holder unknown = {.era = feed->era, .unknown = true};

    counter_add(CTR_STORE_RESTORED, 1);
    log_line(LOG_PRI_WARNING, "feed",
             "event=store_restored era=%" G_GINT64_FORMAT
             " revision=%" G_GINT64_FORMAT " version=%" G_GINT64_FORMAT,
             (gint64)feed->era, (gint64)feed->known_revision,
             (gint64)feed->config_version);
    feed->known_revision = 0;
    feed->restored = true;
    feed->stored_version = 0;
    outbox_set_holder(&feed->outbox, &unknown);
}

/* Whether the answer of a call is to be used. A failure may name an era as
 * well. */
static bool
accept_answer(struct feed *feed, bool succeeded, struct err *err)
{
    enum era_news news = era_note(&feed->era, feed->store->era);

    if (news == ERA_FALLEN) {
        return err_set(err, ERR_KV_DOWN,
                       "answer of era %" G_GINT64_FORMAT
                       " in era %" G_GINT64_FORMAT,
                       (gint64)feed->store->era, (gint64)feed->era);
    }
    /* Nothing is known before the first list. */
    if (news == ERA_RISEN && feed->targets_listed) {
        begin_era(feed);
    }
    return succeeded;
}

static void
note_store_up(struct feed *feed, int64_t now_ms)
{
    registry_store_up(&feed->registry, now_ms);
    atomic_store(&feed->contact.since_ms, feed->registry.contact.since_ms);
    atomic_store(&feed->contact.heard_ms, feed->registry.contact.heard_ms);
}

/* The pages are not a consistent snapshot, so the watch starts at the first
 * page's revision. */
static bool
list_pages(struct feed *feed, GArray *pages, struct err *err)
{
    char *after = g_strdup("");
    bool succeeded = true;
    bool more = true;
    int64_t era = 0;

    for (int i = 0; succeeded && more && i < LIST_PAGES_MAX; i++) {
        struct store_items page = {0};

        succeeded = accept_answer(
            feed, feed->store->ops->list(feed->store, "", after, &page, err),
            err);
        if (succeeded && i > 0 && feed->era != era) {
            succeeded = err_set(err, ERR_KV_DOWN,
                                "the store was restored while it was listed");
        }
        era = feed->era;
        if (succeeded) {
            more = page.more && page.count > 0;
            if (page.count > 0) {
                g_free(after);
                after = g_strdup(page.items[page.count - 1].key);
            }
            g_array_append_val(pages, page);
        }
        else {
            store_items_clear(&page);
        }
    }
    g_free(after);
    if (succeeded && more) {
        return err_set(err, ERR_TABLE_FULL,
                       "the store has more than %d pages of keys",
                       LIST_PAGES_MAX);
    }
    return succeeded;
}

static void
apply_pages(struct feed *feed, GArray *pages, int64_t now_ms)
{
    const struct holder nobody = {.era = feed->era};

    if (feed->restored) {
        feed->restored = false;
        registry_restored(&feed->registry, now_ms);
    }
    registry_list_begin(&feed->registry);
    g_hash_table_remove_all(feed->members);
    g_hash_table_remove_all(feed->rejected);
    g_hash_table_remove_all(feed->partial);
    outbox_set_holder(&feed->outbox, &nobody);
    feed->members_changed = true;
    feed->stored_version = 0;
    for (guint p = 0; p < pages->len; p++) {
        struct store_items *page =
            &g_array_index(pages, struct store_items, p);

        for (int i = 0; i < page->count; i++) {
            apply_item(feed, &page->items[i], now_ms);
        }
    }
    registry_list_end(&feed->registry, now_ms);
    feed->known_revision =
        g_array_index(pages, struct store_items, 0).revision;
}

static bool
list_all(struct feed *feed, int64_t *now_ms, struct err *err)
{
    GArray *pages = g_array_new(FALSE, FALSE, sizeof(struct store_items));
    bool succeeded = list_pages(feed, pages, err);

    if (succeeded) {
        *now_ms = MAX(*now_ms,
                      g_array_index(pages, struct store_items, pages->len - 1)
                          .received_ms);
        note_store_up(feed, *now_ms);
        apply_pages(feed, pages, *now_ms);
        log_line(LOG_PRI_INFO, "feed",
                 "event=listed revision=%" G_GINT64_FORMAT
                 " version=%" G_GINT64_FORMAT " members=%u",
                 (gint64)feed->known_revision, (gint64)feed->config_version,
                 g_hash_table_size(feed->members));
        if (!feed->targets_listed) {
            feed->targets_listed = true;
            feed->outbox.targets_listed = true;
        }
    }
    for (guint i = 0; i < pages->len; i++) {
        store_items_clear(&g_array_index(pages, struct store_items, i));
    }
    g_array_free(pages, TRUE);
    return succeeded;
}

static void
apply_changes(struct feed *feed, const struct store_items *items,
              int64_t now_ms)
{
    for (int i = 0; i < items->count; i++) {
        const struct store_item *item = &items->items[i];

        if (item->revision <= feed->known_revision) {
            continue;
        }
        if (item->value != NULL) {
            apply_item(feed, item, now_ms);
        }
        else {
            apply_deletion(feed, item, now_ms);
        }
    }
    registry_settle(&feed->registry, now_ms);
    feed->known_revision = MAX(feed->known_revision, items->revision);
}

/* Messages between instances hold no keys of teams in clear text. */
static void
conceal_keys(const struct feed *feed, struct store_items *items)
{
    for (int i = 0; i < items->count; i++) {
        struct store_item *item = &items->items[i];
        const char *id = NULL;
        char *concealed;

        if (item->value == NULL ||
            feed->decode->key(item->key, &id) != KEY_CONFIG) {
            continue;
        }
        concealed = feed->decode->conceal(item->value, item->value_bytes);
        g_free(item->value);
        item->value = concealed;
        item->value_bytes = strlen(concealed);
    }
}

static bool
watch_changes(struct feed *feed, int64_t *now_ms, int64_t wait_ms,
              struct err *err)
{
    struct store_changes changes = {.after = feed->known_revision};

    int64_t era = feed->era;
    bool succeeded = accept_answer(
        feed,
        feed->store->ops->watch(feed->store, "", feed->known_revision, wait_ms,
                                &changes.items, err),
        err);

    /* The revision may exist again, with other changes behind it. */
    if (succeeded && feed->era != era) {
        succeeded = err_set(err, ERR_NOT_FOUND, "the store was restored");
    }
    if (!succeeded) {
        store_items_clear(&changes.items);
        return false;
    }
    store_items_keep_last(&changes.items);
    *now_ms = MAX(*now_ms, changes.items.received_ms);
    note_store_up(feed, *now_ms);
    apply_changes(feed, &changes.items, *now_ms);
    if (share_passes_on(&feed->share, feed->fresh.asks->len > 0, *now_ms,
                        *now_ms + feed->boot_offset_ms)) {
        changes.fresh = fresh_take_asks(&feed->fresh);
        changes.era = feed->era;
        changes.config_version = feed->config_version;
        conceal_keys(feed, &changes.items);
        feed->port->ops->changes_read(feed->port, &changes);
        g_array_free(changes.fresh, TRUE);
    }
    store_items_clear(&changes.items);
    return true;
}

/* Whether the same watch would fail again: its history is gone, or its
 * response is too long or can't be read. A list of all keys comes in pages. */
static bool
watch_cannot_succeed(const struct feed *feed, const struct err *err)
{
    return feed->known_revision != 0 &&
           (err->kind == ERR_NOT_FOUND || err->kind == ERR_BAD_JSON);
}

static int64_t
handle_failure(struct feed *feed, const struct err *err, int64_t now_ms)
{
    if (feed->restored && err->kind == ERR_NOT_FOUND) {
        return 0;
    }
    if (watch_cannot_succeed(feed, err)) {
        log_line(LOG_PRI_WARNING, "feed",
                 "event=history_lost after=%" G_GINT64_FORMAT " reason=\"%s\"",
                 (gint64)feed->known_revision, err->text);
        feed->known_revision = 0;
        return 0;
    }
    if (!feed->registry.store_down) {
        log_line(LOG_PRI_WARNING, "feed", "event=store_failed reason=\"%s\"",
                 err->text);
    }
    registry_store_down(&feed->registry, now_ms);
    feed->port->ops->ask_contact(feed->port);
    feed->backoff_ms =
        MIN(MAX(feed->backoff_ms * 2, BACKOFF_MIN_MS), BACKOFF_MAX_MS);
    return feed->backoff_ms;
}

/* How long a watch waits for changes. While a call waits, the return of the
 * store may go unnoticed until its timeout, so after a failure it doesn't
 * wait. */
static int64_t
watch_wait_ms(const struct feed *feed, int64_t now_ms, int64_t due_ms)
{
    int64_t longest_ms =
        feed->fresh.asks->len > 0 ? WATCH_ASKED_MS : WATCH_TIMEOUT_MS;

    if (feed->registry.store_down) {
        return WATCH_NO_WAIT_MS;
    }
    return due_ms == 0 ? longest_ms
                       : CLAMP(due_ms - now_ms, WATCH_NO_WAIT_MS, longest_ms);
}

/* Logs that messages of others are no longer enough: none came, they prove
 * nothing recent, or they don't connect. */
static void
note_calling(struct feed *feed, int64_t now_ms)
{
    if (feed->calling || !feed->share.sharing || feed->share.rank == 0) {
        return;
    }
    feed->calling = true;
    log_line(LOG_PRI_INFO, "feed",
             "event=calls_store rank=%d silent_ms=%" G_GINT64_FORMAT
             " revision=%" G_GINT64_FORMAT,
             feed->share.rank,
             feed->share.heard_ms != 0
                 ? (gint64)(now_ms - feed->share.heard_ms)
                 : -1,
             (gint64)feed->known_revision);
}

/* Logs that messages of others are enough again. */
static void
note_heard(struct feed *feed, const struct store_changes *changes)
{
    if (feed->calling) {
        feed->calling = false;
        log_line(
            LOG_PRI_INFO, "feed",
            "event=hears_changes member=%016" G_GINT64_MODIFIER
            "x rank=%d known=%" G_GINT64_FORMAT " revision=%" G_GINT64_FORMAT,
            (guint64)changes->from, feed->share.rank,
            (gint64)feed->known_revision, (gint64)changes->items.revision);
    }
}

/* Logs by which way a newer configuration came: read by @from, 0 for this
 * instance. */
static void
log_config_read(const struct feed *feed, int64_t before, uint64_t from)
{
    if (feed->config_version != before) {
        log_line(LOG_PRI_INFO, "feed",
                 "event=config_read version=%" G_GINT64_FORMAT
                 " before=%" G_GINT64_FORMAT " member=%016" G_GINT64_MODIFIER
                 "x rank=%d revision=%" G_GINT64_FORMAT,
                 (gint64)feed->config_version, (gint64)before, (guint64)from,
                 feed->share.rank, (gint64)feed->known_revision);
    }
}

/* All changes up to a time are known. */
static void
note_proof(struct feed *feed, int64_t boot_ms)
{
    feed->confirmed_ms = MAX(feed->confirmed_ms, boot_ms);
    feed->share.proven_ms = MAX(feed->share.proven_ms, boot_ms);
}

/* Sets @now_ms to the time of the response. A watch ends at @due_ms, 0 for
 * none. Returns milliseconds until the next call. */
static int64_t
call_store(struct feed *feed, int64_t *now_ms, int64_t due_ms)
{
    struct err err = {0};
    int64_t wait_ms = watch_wait_ms(feed, *now_ms, due_ms);
    int64_t sent_ms = *now_ms + feed->boot_offset_ms;
    int64_t version = feed->config_version;
    bool succeeded;

    note_calling(feed, *now_ms);
    succeeded = feed->known_revision == 0
                    ? list_all(feed, now_ms, &err)
                    : watch_changes(feed, now_ms, wait_ms, &err);
    if (!succeeded) {
        return handle_failure(feed, &err, *now_ms);
    }
    log_config_read(feed, version, 0);
    feed->backoff_ms = 0;
    note_proof(feed, sent_ms);
    return share_delay_ms(&feed->share, (int)g_hash_table_size(feed->members));
}

/* Delivers what has changed. Returns milliseconds until the next poll, which
 * is not later than the next missing target is due. */
static int64_t
deliver_and_wait(struct feed *feed, int64_t now_ms, int64_t wait_ms)
{
    int64_t due_ms = registry_drop_missing(&feed->registry, now_ms);

    deliver_changes(feed);
    return due_ms == 0 ? wait_ms : MIN(wait_ms, due_ms - now_ms);
}

/**
 * feed_poll() - read the store's changes once, unless another instance passes
 *               them on, and deliver them
 * @feed: the feed
 * @now_ms: current time by clock_now_ms()
 *
 * Return: milliseconds until the next poll.
 */
int64_t
feed_poll(struct feed *feed, int64_t now_ms)
{
    int64_t wait_ms =
        share_call_at_ms(&feed->share, feed->boot_offset_ms) - now_ms;
    int64_t due_ms = registry_drop_missing(&feed->registry, now_ms);

    if (wait_ms <= 0) {
        wait_ms = call_store(feed, &now_ms, due_ms);
    }
    return deliver_and_wait(feed, now_ms, wait_ms);
}

/* Whether changes show that the store has answered since this instance failed
 * to reach it: something new is in them, or they answer an ask that was sent
 * since. A message may be older than the failure. */
static bool
shows_return(const struct feed *feed, const struct store_changes *changes,
             int64_t answer_ms)
{
    return changes->items.revision > feed->known_revision ||
           answer_ms - feed->boot_offset_ms >= feed->registry.failed_ms;
}

static void
take_connected(struct feed *feed, const struct store_changes *changes,
               int64_t now_ms)
{
    int64_t version = feed->config_version;
    int64_t answer_ms =
        fresh_answer_ms(changes, feed->self.id, now_ms + feed->boot_offset_ms);

    note_heard(feed, changes);
    feed->share.heard_ms = now_ms;
    feed->backoff_ms = 0;
    if (shows_return(feed, changes, answer_ms)) {
        note_store_up(feed, now_ms);
    }
    apply_changes(feed, &changes->items, now_ms);
    fresh_note_source(&feed->fresh, changes->from, now_ms);
    note_proof(feed, answer_ms);
    log_config_read(feed, version, changes->from);
}

/**
 * feed_take_changes() - apply changes that another instance has passed on
 * @feed: the feed
 * @changes: ownership is taken
 * @now_ms: current time by clock_now_ms()
 *
 * Changes that don't connect to what is known are ignored; the next poll then
 * calls the store. Those that end before what is known are old, and count for
 * nothing.
 *
 * Return: milliseconds until the next poll.
 */
int64_t
feed_take_changes(struct feed *feed, struct store_changes *changes,
                  int64_t now_ms)
{
    int64_t call_at_ms;

    feed->fresh.version_max =
        MAX(feed->fresh.version_max, changes->config_version);
    if (!share_connects(changes, feed->known_revision, feed->era)) {
        feed->share.heard_ms = 0;
    }
    else if (changes->items.revision >= feed->known_revision) {
        take_connected(feed, changes, now_ms);
    }
    store_changes_free(changes);
    call_at_ms = share_call_at_ms(&feed->share, feed->boot_offset_ms);
    return deliver_and_wait(feed, now_ms, MAX(call_at_ms - now_ms, 0));
}

/**
 * feed_post_changes() - hand over changes that another instance has passed on
 * @feed: the feed
 * @changes: ownership is taken; dropped when the inbox is full
 *
 * Callable from any thread.
 */
void
feed_post_changes(struct feed *feed, struct store_changes *changes)
{
    struct feed_message message = {.kind = FEED_CHANGES, .changes = changes};
    struct err err = {0};

    if (!ring_push(&feed->inbox, &message, &err)) {
        refusal_add(err.kind);
        store_changes_free(changes);
    }
}

/**
 * feed_post_ask() - hand over another instance's question whether its
 *                   configuration is the newest
 * @feed: the feed
 * @ask: copied; dropped when the inbox is full
 *
 * Callable from any thread.
 */
void
feed_post_ask(struct feed *feed, const struct fresh_ask *ask)
{
    struct feed_message message = {.kind = FEED_FRESH_ASK, .ask = *ask};
    struct err err = {0};

    if (!ring_push(&feed->inbox, &message, &err)) {
        refusal_add(err.kind);
    }
}

/**
 * feed_post_contact() - hand over when the store has answered another instance
 * @feed: the feed
 * @contact: copied; dropped when the inbox is full
 *
 * Callable from any thread.
 */
void
feed_post_contact(struct feed *feed, const struct store_contact *contact)
{
    struct feed_message message = {.kind = FEED_CONTACT, .contact = *contact};
    struct err err = {0};

    if (!ring_push(&feed->inbox, &message, &err)) {
        refusal_add(err.kind);
    }
}

/**
 * feed_contact() - when the store has answered this instance
 * @feed: the feed
 *
 * Callable from any thread.
 *
 * Return: by clock_now_ms(); all 0 for never.
 */
struct store_contact
feed_contact(const struct feed *feed)
{
    struct store_contact contact = {
        .since_ms = atomic_load(&feed->contact.since_ms),
        .heard_ms = atomic_load(&feed->contact.heard_ms),
    };

    return contact;
}

/* An instance that calls the store in any case proves it by its calls. */
static bool
needs_proof(const struct feed *feed)
{
    return feed->key_revocation_ms != 0 ||
           (feed->share.sharing && feed->share.rank > 0 &&
            feed->share.proof_max_ms > 0);
}

/**
 * feed_ask() - ask for proof that what is known is recent, if that is due
 * @feed: the feed
 * @now_ms: current time by clock_now_ms()
 *
 * Return: when the next ask is due; INT64_MAX for none.
 */
int64_t
feed_ask(struct feed *feed, int64_t now_ms)
{
    struct fresh *fresh = &feed->fresh;

    if (!needs_proof(feed)) {
        return INT64_MAX;
    }
    if (fresh_ask_due_ms(fresh, now_ms) <= now_ms) {
        fresh->asked_ms = now_ms;
        feed->port->ops->ask_fresh(feed->port, fresh->source,
                                   now_ms + feed->boot_offset_ms);
    }
    return fresh_ask_due_ms(fresh, now_ms);
}

/* Returns when the store is to be called next. */
static int64_t
handle_changes(struct feed *feed, struct store_changes *changes,
               int64_t next_poll_ms, int64_t now_ms)
{
    int64_t wait_ms = feed_take_changes(feed, changes, now_ms);

    return feed->share.rank == 0 ? next_poll_ms : clock_now_ms() + wait_ms;
}

/* Returns when the store is to be called next. */
static int64_t
handle_message(struct feed *feed, const struct feed_message *message,
               int64_t next_poll_ms, int64_t now_ms)
{
    switch (message->kind) {
    case FEED_CHANGES:
        return handle_changes(feed, message->changes, next_poll_ms, now_ms);
    case FEED_FRESH_ASK:
        fresh_add_ask(&feed->fresh, &message->ask);
        break;
    case FEED_CONTACT:
        registry_note_others(&feed->registry, &message->contact, now_ms);
        break;
    }
    return next_poll_ms;
}

static bool
run(struct duty *duty, struct err *err)
{
    struct feed *feed = (struct feed *)duty;
    struct feed_message message;
    enum ring_result result;
    int64_t next_poll_ms = 0;
    int64_t now_ms = clock_now_ms();

    (void)err;
    while ((result = ring_pop(
                &feed->inbox, &message,
                MAX(MIN(next_poll_ms, feed_ask(feed, now_ms)) - now_ms, 0))) !=
           RING_CLOSED) {
        now_ms = clock_now_ms();
        feed->boot_offset_ms = clock_boot_ms() - now_ms;
        if (result == RING_OK) {
            next_poll_ms =
                handle_message(feed, &message, next_poll_ms, now_ms);
        }
        else if (now_ms >= next_poll_ms) {
            next_poll_ms = feed_poll(feed, now_ms);
            next_poll_ms += clock_now_ms();
        }
        now_ms = clock_now_ms();
    }
    return true;
}

static void
stop(struct duty *duty)
{
    struct feed *feed = (struct feed *)duty;

    ring_close(&feed->inbox);
    feed->store->ops->stop(feed->store);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * feed_init() - initialize the duty
 * @feed: the feed
 * @settings: of this instance; kept by reference
 * @store: used by this duty only; kept by reference
 * @decode: decodes keys, configuration and targets; kept by reference
 * @port: receives the changes; kept by reference
 * @err: filled in on failure
 */
bool
feed_init(struct feed *feed, const struct gate_settings *settings,
          struct store *store, const struct gate_decode_ops *decode,
          struct feed_port *port, struct err *err)
{
    memset(feed, 0, sizeof(*feed));
    feed->duty.ops = &duty_ops;
    feed->duty.name = "feed";
    feed->self.id = hash_text(settings->name);
    feed->self.link_mbps = settings->link_mbps;
    g_strlcpy(feed->self.zone, settings->zone, sizeof(feed->self.zone));
    feed->key_revocation_ms = settings->limits.key_revocation_ms;
    /* 0 means no limit, in both. */
    feed->share.proof_max_ms = (settings->limits.change_apply_ms + 1) / 2;
    feed->confirmed_ms = -1;
    fresh_init(&feed->fresh);
    feed->store = store;
    feed->decode = decode;
    feed->port = port;
    feed->registry_port.ops = &registry_ops;
    registry_init(&feed->registry, &feed->registry_port,
                  settings->heartbeat_ms);
    outbox_init(&feed->outbox);
    feed->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    feed->rejected =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    feed->partial =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return ring_init(&feed->inbox, INBOX_MESSAGES_MAX,
                     sizeof(struct feed_message), err);
}

/**
 * feed_clear() - release the duty's resources after it has stopped
 * @feed: the feed
 */
void
feed_clear(struct feed *feed)
{
    struct feed_message message;

    while (ring_pop(&feed->inbox, &message, 0) == RING_OK) {
        if (message.kind == FEED_CHANGES) {
            store_changes_free(message.changes);
        }
    }
    registry_clear(&feed->registry);
    outbox_clear(&feed->outbox);
    g_hash_table_destroy(feed->members);
    g_hash_table_destroy(feed->rejected);
    g_hash_table_destroy(feed->partial);
    fresh_clear(&feed->fresh);
    ring_free(&feed->inbox);
}
