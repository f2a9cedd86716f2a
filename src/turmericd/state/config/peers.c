/**
 * DOC: Exchange of the configuration between instances.
 *
 * Relays broadcast each new entry to the members of their data centre and,
 * after each poll, the age of the current revision. An instance that lacks
 * entries requests them from the sender; one that starts asks a few members.
 * Ages are sent as durations, so the clocks of the instances need not agree.
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

enum { PEER_PROTOCOL_VERSION = 1, CANDIDATE_MEMBERS_MAX = 512 };

static Turmeric__Envelope
make_envelope(Turmeric__Envelope__BodyCase body)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;

    envelope.version = PEER_PROTOCOL_VERSION;
    envelope.body_case = body;
    return envelope;
}

static void
fill_entry_message(Turmeric__ConfigEntry *message,
                   const struct config_entry *entry, uint32_t age_ms)
{
    turmeric__config_entry__init(message);
    message->revision = (uint64_t)entry->revision;
    message->edit.data = (uint8_t *)entry->json;
    message->edit.len = entry->json_bytes;
    message->age_ms = age_ms;
}

/**
 * config_broadcast_entry() - broadcast an entry to the data centre
 * @config: configuration duty
 * @entry: the entry
 * @now_ms: current monotonic time
 */
void
config_broadcast_entry(struct config *config, const struct config_entry *entry,
                       int64_t now_ms)
{
    Turmeric__ConfigEntry message;
    Turmeric__Envelope envelope =
        make_envelope(TURMERIC__ENVELOPE__BODY_CONFIG_ENTRY);

    fill_entry_message(&message, entry,
                       config_age_ms(config_confirmed_ms(config), now_ms));
    envelope.config_entry = &message;
    config->port->ops->broadcast(config->port, &envelope);
}

static Turmeric__ConfigFresh
make_freshness(struct config *config, int64_t now_ms)
{
    Turmeric__ConfigFresh message = TURMERIC__CONFIG_FRESH__INIT;
    struct config_state state;

    config_read_state(config, now_ms, &state);
    message.revision = (uint64_t)state.revision;
    message.age_ms = (uint32_t)state.age_ms;
    return message;
}

/**
 * config_broadcast_freshness() - broadcast the current revision and its age
 * @config: configuration duty
 * @now_ms: current monotonic time
 */
void
config_broadcast_freshness(struct config *config, int64_t now_ms)
{
    Turmeric__ConfigFresh message = make_freshness(config, now_ms);
    Turmeric__Envelope envelope =
        make_envelope(TURMERIC__ENVELOPE__BODY_CONFIG_FRESH);

    envelope.config_fresh = &message;
    config->port->ops->broadcast(config->port, &envelope);
}

static void
send_fetch_request(struct config *config, uint64_t member)
{
    Turmeric__ConfigFetch message = TURMERIC__CONFIG_FETCH__INIT;
    Turmeric__Envelope envelope =
        make_envelope(TURMERIC__ENVELOPE__BODY_CONFIG_FETCH);

    message.have_revision = (uint64_t)config_revision(config);
    envelope.config_fetch = &message;
    config->port->ops->send(config->port, member, &envelope);
}

/**
 * config_fetch_from_peers() - request newer entries from a few members
 * @config: configuration duty
 * @now_ms: current monotonic time
 *
 * The choice of members changes with each poll, so that an unresponsive member
 * is not asked every time.
 */
void
config_fetch_from_peers(struct config *config, int64_t now_ms)
{
    uint64_t members[CANDIDATE_MEMBERS_MAX];
    int count = config->port->ops->list_members(config->port, members,
                                                CANDIDATE_MEMBERS_MAX);
    uint64_t key =
        hash_pair(config->schedule.jitter_seed, config->schedule.poll_count);

    if (count == 0 || !schedule_try_fetch(&config->schedule, now_ms)) {
        return;
    }
    config->peer_fetch_rounds++;
    for (int requests = 0; requests < FETCH_MEMBERS_MAX && count > 0;
         requests++) {
        int pick = rendezvous_pick(key, members, count);

        send_fetch_request(config, members[pick]);
        members[pick] = members[--count];
    }
}

static void
fetch_from_member(struct config *config, uint64_t member, int64_t now_ms)
{
    if (schedule_try_fetch(&config->schedule, now_ms)) {
        send_fetch_request(config, member);
    }
}

static int64_t
confirmed_ms_from_age(const struct config *config, uint32_t age_ms,
                      int64_t received_ms, int64_t now_ms)
{
    if (!schedule_trusts_peers(&config->schedule, now_ms) ||
        age_ms == UINT32_MAX) {
        return TIME_NEVER;
    }
    return received_ms - (int64_t)age_ms;
}

static void
handle_freshness(struct config *config, uint64_t sender,
                 const Turmeric__ConfigFresh *message, int64_t received_ms,
                 int64_t now_ms)
{
    int64_t revision = (int64_t)message->revision;
    int64_t confirmed_ms =
        confirmed_ms_from_age(config, message->age_ms, received_ms, now_ms);

    switch (revision_compare(config_revision(config), revision)) {
    case REVISION_OLDER:
        counter_add(CTR_CONFIG_OLDER_IGNORED, 1);
        break;
    case REVISION_SAME:
        config_confirm_revision(config, revision, confirmed_ms);
        schedule_record_peer_confirmation(&config->schedule, confirmed_ms);
        break;
    case REVISION_NEWER:
        fetch_from_member(config, sender, now_ms);
        break;
    }
}

static void
handle_entry(struct config *config, uint64_t sender,
             const Turmeric__ConfigEntry *message, int64_t received_ms,
             int64_t now_ms)
{
    struct err err = {0};
    int64_t confirmed_ms =
        confirmed_ms_from_age(config, message->age_ms, received_ms, now_ms);

    if (config_apply_entry(config, (int64_t)message->revision,
                           (const char *)message->edit.data, message->edit.len,
                           confirmed_ms, false, &err)) {
        schedule_record_peer_confirmation(&config->schedule, confirmed_ms);
    }
    else if (err.kind == ERR_NOT_FOUND) {
        fetch_from_member(config, sender, now_ms);
    }
}

/* Called with the write lock held. */
static bool
has_entries_after(struct config *config, int64_t revision)
{
    const struct config_entry *first =
        g_queue_peek_head(&config->recent_entries);

    return first != NULL && first->revision <= revision + 1 &&
           config_revision(config) - revision <= FETCH_ENTRIES_MAX;
}

static void
send_entry(struct config *config, uint64_t member,
           const struct config_entry *entry, int64_t now_ms)
{
    Turmeric__ConfigEntry message;
    Turmeric__Envelope envelope =
        make_envelope(TURMERIC__ENVELOPE__BODY_CONFIG_ENTRY);

    fill_entry_message(&message, entry,
                       config_age_ms(config_confirmed_ms(config), now_ms));
    envelope.config_entry = &message;
    config->port->ops->send(config->port, member, &envelope);
}

/* Sends the entries that a peer lacks. Returns false, without sending any,
 * when they are not all in memory or are too many. */
static bool
send_entries(struct config *config, uint64_t member, int64_t peer_revision,
             int64_t now_ms)
{
    bool complete;

    pthread_mutex_lock(&config->write_lock);
    complete = has_entries_after(config, peer_revision);
    for (GList *link = config->recent_entries.head; link != NULL && complete;
         link = link->next) {
        const struct config_entry *entry = link->data;

        if (entry->revision > peer_revision) {
            send_entry(config, member, entry, now_ms);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    return complete;
}

static void
send_snapshot(struct config *config, uint64_t member, const struct tree *tree,
              int64_t now_ms)
{
    char *json = tree_format(tree);
    size_t json_bytes = strlen(json);
    uint32_t part_count =
        (uint32_t)((json_bytes + SNAPSHOT_PART_MAX_BYTES - 1) /
                   SNAPSHOT_PART_MAX_BYTES);

    for (uint32_t i = 0; i < part_count; i++) {
        size_t offset = (size_t)i * SNAPSHOT_PART_MAX_BYTES;
        Turmeric__ConfigSnapshot message = TURMERIC__CONFIG_SNAPSHOT__INIT;
        Turmeric__Envelope envelope =
            make_envelope(TURMERIC__ENVELOPE__BODY_CONFIG_SNAPSHOT);

        message.revision = (uint64_t)tree_revision(tree);
        message.part = i;
        message.parts = part_count;
        message.data.data = (uint8_t *)json + offset;
        message.data.len = MIN(json_bytes - offset, SNAPSHOT_PART_MAX_BYTES);
        message.age_ms = config_age_ms(config_confirmed_ms(config), now_ms);
        envelope.config_snapshot = &message;
        config->port->ops->send(config->port, member, &envelope);
    }
    free(json);
}

static void
send_freshness(struct config *config, uint64_t member, int64_t now_ms)
{
    Turmeric__ConfigFresh message = make_freshness(config, now_ms);
    Turmeric__Envelope envelope =
        make_envelope(TURMERIC__ENVELOPE__BODY_CONFIG_FRESH);

    envelope.config_fresh = &message;
    config->port->ops->send(config->port, member, &envelope);
}

static void
handle_fetch_request(struct config *config, uint64_t sender,
                     const Turmeric__ConfigFetch *message, int64_t now_ms)
{
    struct tree *tree = config_tree_ref(config);
    int64_t peer_revision = (int64_t)message->have_revision;

    if (tree == NULL) {
        return;
    }
    if (peer_revision >= tree_revision(tree)) {
        send_freshness(config, sender, now_ms);
    }
    else if (!send_entries(config, sender, peer_revision, now_ms)) {
        send_snapshot(config, sender, tree, now_ms);
    }
    tree_unref(tree);
}

/**
 * snapshot_assembly_reset() - drop the parts received so far
 * @assembly: the snapshot being received
 */
void
snapshot_assembly_reset(struct snapshot_assembly *assembly)
{
    for (int i = 0; i < SNAPSHOT_PARTS_MAX; i++) {
        g_clear_pointer(&assembly->parts[i], g_bytes_unref);
    }
    memset(assembly, 0, sizeof(*assembly));
}

/* Returns the text of the snapshot, or NULL while a part is missing. */
static GString *
snapshot_assembly_join(const struct snapshot_assembly *assembly)
{
    GString *json;

    for (uint32_t i = 0; i < assembly->part_count; i++) {
        if (assembly->parts[i] == NULL) {
            return NULL;
        }
    }
    json = g_string_new(NULL);
    for (uint32_t i = 0; i < assembly->part_count; i++) {
        gsize bytes;
        const char *data = g_bytes_get_data(assembly->parts[i], &bytes);

        g_string_append_len(json, data, (gssize)bytes);
    }
    return json;
}

static GString *
snapshot_assembly_add(struct snapshot_assembly *assembly, uint64_t sender,
                      const Turmeric__ConfigSnapshot *message)
{
    if (assembly->sender != sender ||
        assembly->revision != (int64_t)message->revision ||
        assembly->part_count != message->parts) {
        snapshot_assembly_reset(assembly);
        assembly->sender = sender;
        assembly->revision = (int64_t)message->revision;
        assembly->part_count = message->parts;
    }
    g_clear_pointer(&assembly->parts[message->part], g_bytes_unref);
    assembly->parts[message->part] =
        g_bytes_new(message->data.data, message->data.len);
    return snapshot_assembly_join(assembly);
}

static void
handle_snapshot_part(struct config *config, uint64_t sender,
                     const Turmeric__ConfigSnapshot *message,
                     int64_t received_ms, int64_t now_ms)
{
    GString *json;
    struct err err = {0};

    if (message->parts < 1 || message->parts > SNAPSHOT_PARTS_MAX ||
        message->part >= message->parts) {
        return;
    }
    if (revision_compare(config_revision(config),
                         (int64_t)message->revision) != REVISION_NEWER) {
        counter_add(CTR_CONFIG_OLDER_IGNORED, 1);
        return;
    }
    json = snapshot_assembly_add(&config->assembly, sender, message);
    if (json == NULL) {
        return;
    }
    if (!config_install_snapshot(config, json->str, json->len,
                                 confirmed_ms_from_age(config, message->age_ms,
                                                       received_ms, now_ms),
                                 &err)) {
        log_line(LOG_PRI_WARNING, "config",
                 "event=peer_snapshot_refused from=%016" PRIx64
                 " error=%s detail=\"%s\"",
                 sender, err_info(err.kind)->name, err.text);
    }
    g_string_free(json, TRUE);
    snapshot_assembly_reset(&config->assembly);
}

/**
 * config_handle_envelope() - handle a message from a peer
 * @config: configuration duty
 * @envelope: the message
 * @received_ms: monotonic time of arrival; the age in the message counts from
 *               then
 * @now_ms: current monotonic time
 */
void
config_handle_envelope(struct config *config,
                       const Turmeric__Envelope *envelope, int64_t received_ms,
                       int64_t now_ms)
{
    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_CONFIG_ENTRY:
        handle_entry(config, envelope->from, envelope->config_entry,
                     received_ms, now_ms);
        break;
    case TURMERIC__ENVELOPE__BODY_CONFIG_FRESH:
        handle_freshness(config, envelope->from, envelope->config_fresh,
                         received_ms, now_ms);
        break;
    case TURMERIC__ENVELOPE__BODY_CONFIG_FETCH:
        handle_fetch_request(config, envelope->from, envelope->config_fetch,
                             now_ms);
        break;
    case TURMERIC__ENVELOPE__BODY_CONFIG_SNAPSHOT:
        handle_snapshot_part(config, envelope->from, envelope->config_snapshot,
                             received_ms, now_ms);
        break;
    default:
        break;
    }
}
