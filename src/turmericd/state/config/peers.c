/**
 * DOC: The configuration between instances.
 *
 * Relays tell the members of their data centre each new entry and, after each
 * read, how fresh the revision is. An instance that has missed something asks
 * the sender; one that starts asks a few members. Age is passed as a duration,
 * so the clocks of instances need not agree.
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

enum { PEER_PROTOCOL = 1, ASK_MEMBERS_MAX = 512 };

static Turmeric__Envelope
envelope_of(Turmeric__Envelope__BodyCase body)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;

    envelope.version = PEER_PROTOCOL;
    envelope.body_case = body;
    return envelope;
}

static void
fill_entry(Turmeric__ConfigEntry *message, const struct entry *entry,
           uint32_t age_ms)
{
    turmeric__config_entry__init(message);
    message->revision = (uint64_t)entry->revision;
    message->edit.data = (uint8_t *)entry->text;
    message->edit.len = entry->bytes;
    message->age_ms = age_ms;
}

/**
 * config_share_entry() - tell the data centre a new entry
 * @config: the duty
 * @entry: the entry
 * @now_ms: present time
 */
void
config_share_entry(struct config *config, const struct entry *entry,
                   int64_t now_ms)
{
    Turmeric__ConfigEntry message;
    Turmeric__Envelope envelope =
        envelope_of(TURMERIC__ENVELOPE__BODY_CONFIG_ENTRY);

    fill_entry(&message, entry,
               config_age_ms(config_confirmed_ms(config), now_ms));
    envelope.config_entry = &message;
    config->port->ops->share(config->port, &envelope);
}

static Turmeric__ConfigFresh
fresh_message(struct config *config, int64_t now_ms)
{
    Turmeric__ConfigFresh message = TURMERIC__CONFIG_FRESH__INIT;
    struct config_state state;

    config_read_state(config, now_ms, &state);
    message.revision = (uint64_t)state.revision;
    message.age_ms = (uint32_t)state.age_ms;
    return message;
}

/**
 * config_share_fresh() - tell the data centre how fresh the revision is
 * @config: the duty
 * @now_ms: present time
 */
void
config_share_fresh(struct config *config, int64_t now_ms)
{
    Turmeric__ConfigFresh message = fresh_message(config, now_ms);
    Turmeric__Envelope envelope =
        envelope_of(TURMERIC__ENVELOPE__BODY_CONFIG_FRESH);

    envelope.config_fresh = &message;
    config->port->ops->share(config->port, &envelope);
}

static void
send_fetch(struct config *config, uint64_t member)
{
    Turmeric__ConfigFetch message = TURMERIC__CONFIG_FETCH__INIT;
    Turmeric__Envelope envelope =
        envelope_of(TURMERIC__ENVELOPE__BODY_CONFIG_FETCH);

    message.have_revision = (uint64_t)config_revision(config);
    envelope.config_fetch = &message;
    config->port->ops->send(config->port, member, &envelope);
}

/**
 * config_ask_peers() - ask a few members for a newer tree
 * @config: the duty
 * @now_ms: present time
 *
 * The members asked differ with each own read, so that one that doesn't
 * answer is not asked for ever.
 */
void
config_ask_peers(struct config *config, int64_t now_ms)
{
    uint64_t members[ASK_MEMBERS_MAX];
    int count =
        config->port->ops->members(config->port, members, ASK_MEMBERS_MAX);
    uint64_t key = hash_pair(config->follow.seed, config->follow.reads);

    if (count == 0 || !follow_may_fetch(&config->follow, now_ms)) {
        return;
    }
    config->peers_asked++;
    for (int asked = 0; asked < FETCH_MEMBERS_MAX && count > 0; asked++) {
        int pick = rendezvous_pick(key, members, count);

        send_fetch(config, members[pick]);
        members[pick] = members[--count];
    }
}

static void
fetch_from(struct config *config, uint64_t member, int64_t now_ms)
{
    if (follow_may_fetch(&config->follow, now_ms)) {
        send_fetch(config, member);
    }
}

static int64_t
confirmed_from_age(const struct config *config, uint32_t age_ms,
                   int64_t posted_ms, int64_t now_ms)
{
    if (!follow_trusts(&config->follow, now_ms) || age_ms == UINT32_MAX) {
        return TIME_NEVER;
    }
    return posted_ms - (int64_t)age_ms;
}

static void
receive_fresh(struct config *config, uint64_t from,
              const Turmeric__ConfigFresh *message, int64_t posted_ms,
              int64_t now_ms)
{
    int64_t revision = (int64_t)message->revision;
    int64_t confirmed_ms =
        confirmed_from_age(config, message->age_ms, posted_ms, now_ms);

    switch (follow_order(config_revision(config), revision)) {
    case REVISION_OLDER:
        counter_add(CTR_CONFIG_OLDER_IGNORED, 1);
        break;
    case REVISION_SAME:
        config_confirm(config, revision, confirmed_ms);
        follow_note_fresh(&config->follow, confirmed_ms);
        break;
    case REVISION_NEWER:
        fetch_from(config, from, now_ms);
        break;
    }
}

static void
receive_entry(struct config *config, uint64_t from,
              const Turmeric__ConfigEntry *message, int64_t posted_ms,
              int64_t now_ms)
{
    struct err err = {0};
    int64_t confirmed_ms =
        confirmed_from_age(config, message->age_ms, posted_ms, now_ms);

    if (config_adopt_entry(config, (int64_t)message->revision,
                           (const char *)message->edit.data, message->edit.len,
                           confirmed_ms, false, &err)) {
        follow_note_fresh(&config->follow, confirmed_ms);
    }
    else if (err.kind == ERR_NOT_FOUND) {
        fetch_from(config, from, now_ms);
    }
}

/* Called with the write lock held. */
static bool
keeps_entries_after(struct config *config, int64_t have)
{
    const struct entry *first = g_queue_peek_head(&config->window);

    return first != NULL && first->revision <= have + 1 &&
           config_revision(config) - have <= FETCH_ENTRIES_MAX;
}

static void
send_entry(struct config *config, uint64_t member, const struct entry *entry,
           int64_t now_ms)
{
    Turmeric__ConfigEntry message;
    Turmeric__Envelope envelope =
        envelope_of(TURMERIC__ENVELOPE__BODY_CONFIG_ENTRY);

    fill_entry(&message, entry,
               config_age_ms(config_confirmed_ms(config), now_ms));
    envelope.config_entry = &message;
    config->port->ops->send(config->port, member, &envelope);
}

/* Sends the entries that a peer lacks; false when some are not kept. */
static bool
send_entries(struct config *config, uint64_t member, int64_t have,
             int64_t now_ms)
{
    bool kept;

    pthread_mutex_lock(&config->write_lock);
    kept = keeps_entries_after(config, have);
    for (GList *link = config->window.head; link != NULL && kept;
         link = link->next) {
        const struct entry *entry = link->data;

        if (entry->revision > have) {
            send_entry(config, member, entry, now_ms);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return kept;
}

static void
send_tree(struct config *config, uint64_t member, const struct tree *tree,
          int64_t now_ms)
{
    char *text = tree_format(tree);
    size_t bytes = strlen(text);
    uint32_t parts = (uint32_t)((bytes + SNAPSHOT_PART_MAX_BYTES - 1) /
                                SNAPSHOT_PART_MAX_BYTES);

    for (uint32_t i = 0; i < parts; i++) {
        size_t offset = (size_t)i * SNAPSHOT_PART_MAX_BYTES;
        Turmeric__ConfigSnapshot message = TURMERIC__CONFIG_SNAPSHOT__INIT;
        Turmeric__Envelope envelope =
            envelope_of(TURMERIC__ENVELOPE__BODY_CONFIG_SNAPSHOT);

        message.revision = (uint64_t)tree_revision(tree);
        message.part = i;
        message.parts = parts;
        message.data.data = (uint8_t *)text + offset;
        message.data.len = MIN(bytes - offset, SNAPSHOT_PART_MAX_BYTES);
        message.age_ms = config_age_ms(config_confirmed_ms(config), now_ms);
        envelope.config_snapshot = &message;
        config->port->ops->send(config->port, member, &envelope);
    }
    free(text);
}

static void
send_fresh(struct config *config, uint64_t member, int64_t now_ms)
{
    Turmeric__ConfigFresh message = fresh_message(config, now_ms);
    Turmeric__Envelope envelope =
        envelope_of(TURMERIC__ENVELOPE__BODY_CONFIG_FRESH);

    envelope.config_fresh = &message;
    config->port->ops->send(config->port, member, &envelope);
}

static void
receive_fetch(struct config *config, uint64_t from,
              const Turmeric__ConfigFetch *message, int64_t now_ms)
{
    struct tree *tree = config_pin(config);
    int64_t have = (int64_t)message->have_revision;

    if (tree == NULL) {
        return;
    }
    if (have >= tree_revision(tree)) {
        send_fresh(config, from, now_ms);
    }
    else if (!send_entries(config, from, have, now_ms)) {
        send_tree(config, from, tree, now_ms);
    }
    tree_unref(tree);
}

/**
 * assembly_reset() - drop the parts received so far
 * @assembly: the parts
 */
void
assembly_reset(struct assembly *assembly)
{
    for (int i = 0; i < SNAPSHOT_PARTS_MAX; i++) {
        g_clear_pointer(&assembly->data[i], g_bytes_unref);
    }
    memset(assembly, 0, sizeof(*assembly));
}

/* Returns the whole text when no part is missing, else NULL. */
static GString *
assembly_text(const struct assembly *assembly)
{
    GString *text;

    for (uint32_t i = 0; i < assembly->parts; i++) {
        if (assembly->data[i] == NULL) {
            return NULL;
        }
    }
    text = g_string_new(NULL);
    for (uint32_t i = 0; i < assembly->parts; i++) {
        gsize bytes;
        const char *data = g_bytes_get_data(assembly->data[i], &bytes);

        g_string_append_len(text, data, (gssize)bytes);
    }
    return text;
}

static GString *
assembly_add(struct assembly *assembly, uint64_t from,
             const Turmeric__ConfigSnapshot *message)
{
    if (assembly->from != from ||
        assembly->revision != (int64_t)message->revision ||
        assembly->parts != message->parts) {
        assembly_reset(assembly);
        assembly->from = from;
        assembly->revision = (int64_t)message->revision;
        assembly->parts = message->parts;
    }
    g_clear_pointer(&assembly->data[message->part], g_bytes_unref);
    assembly->data[message->part] =
        g_bytes_new(message->data.data, message->data.len);
    return assembly_text(assembly);
}

static void
receive_snapshot(struct config *config, uint64_t from,
                 const Turmeric__ConfigSnapshot *message, int64_t posted_ms,
                 int64_t now_ms)
{
    GString *text;
    struct err err = {0};

    if (message->parts < 1 || message->parts > SNAPSHOT_PARTS_MAX ||
        message->part >= message->parts) {
        return;
    }
    if (follow_order(config_revision(config), (int64_t)message->revision) !=
        REVISION_NEWER) {
        counter_add(CTR_CONFIG_OLDER_IGNORED, 1);
        return;
    }
    text = assembly_add(&config->assembly, from, message);
    if (text == NULL) {
        return;
    }
    if (!config_adopt_tree(
            config, text->str, text->len,
            confirmed_from_age(config, message->age_ms, posted_ms, now_ms),
            &err)) {
        log_line(LOG_PRI_WARNING, "config",
                 "event=peer_snapshot_refused from=%016" PRIx64
                 " error=%s detail=\"%s\"",
                 from, err_info(err.kind)->name, err.text);
    }
    g_string_free(text, TRUE);
    assembly_reset(&config->assembly);
}

/**
 * config_receive() - handle a message of a peer
 * @config: the duty
 * @envelope: the message
 * @posted_ms: when it arrived; its age counts from then
 * @now_ms: present time
 */
void
config_receive(struct config *config, const Turmeric__Envelope *envelope,
               int64_t posted_ms, int64_t now_ms)
{
    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_CONFIG_ENTRY:
        receive_entry(config, envelope->from, envelope->config_entry,
                      posted_ms, now_ms);
        break;
    case TURMERIC__ENVELOPE__BODY_CONFIG_FRESH:
        receive_fresh(config, envelope->from, envelope->config_fresh,
                      posted_ms, now_ms);
        break;
    case TURMERIC__ENVELOPE__BODY_CONFIG_FETCH:
        receive_fetch(config, envelope->from, envelope->config_fetch, now_ms);
        break;
    case TURMERIC__ENVELOPE__BODY_CONFIG_SNAPSHOT:
        receive_snapshot(config, envelope->from, envelope->config_snapshot,
                         posted_ms, now_ms);
        break;
    default:
        break;
    }
}
