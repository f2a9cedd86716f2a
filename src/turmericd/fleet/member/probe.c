/**
 * DOC: Probes of members, and suspicions of members that fail them.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/member/internal.h"

enum {
    /* A crash must be detected within 5 s. With four probes per second from
     * each member, 95% of crashed members are probed within 0.75 s at any
     * fleet size; the probe takes 0.6 s and a confirmed suspicion 2 s, which
     * leaves over 1 s to spread the update. */
    PROBE_INTERVAL_MS = 250,
    DIRECT_PROBE_MS = 300,
    INDIRECT_PROBE_MS = 300,
    INDIRECT_PROBE_MEMBERS = 2,
    /* Two members whose probes failed independently are much less likely to
     * be wrong than one. 2 s still leave the suspect four gossip rounds to
     * refute. */
    CONFIRMED_SUSPICION_MS = 2000,
    /* Members that probe a suspect when they learn of the suspicion: enough
     * that a few lost probes don't matter, and few at 340 members. */
    CONFIRMING_MEMBERS = 4,
};

static void
probe_order_swap(struct swim *swim, int a, int b)
{
    struct handle handle = swim->probe_order[a];

    swim->probe_order[a] = swim->probe_order[b];
    swim->probe_order[b] = handle;
}

static void
probe_order_shuffle(struct swim *swim)
{
    const struct member_entry *entry;
    struct handle handle;
    uint32_t cursor = 0;

    swim->probe_order_count = 0;
    swim->probe_order_next = 0;
    while ((entry = table_next(&swim->members.entries, &cursor, &handle)) !=
           NULL) {
        if (member_entry_is_active(entry) && entry->info.id != swim->self_id) {
            swim->probe_order[swim->probe_order_count++] = handle;
        }
    }
    for (int i = swim->probe_order_count - 1; i > 0; i--) {
        probe_order_swap(swim, i,
                         (int)swim_random_below(swim, (uint32_t)i + 1));
    }
}

/* Inserts a new member at a random place among those still to be probed in
 * this round, because a round is long in a large fleet. */
void
probe_order_insert(struct swim *swim, struct handle handle)
{
    int remaining = swim->probe_order_count - swim->probe_order_next;

    if (swim->probe_order_count == MEMBERS_MAX) {
        return;
    }
    swim->probe_order[swim->probe_order_count++] = handle;
    probe_order_swap(
        swim, swim->probe_order_count - 1,
        swim->probe_order_next +
            (int)swim_random_below(swim, (uint32_t)remaining + 1));
}

/* Takes the next member to probe. Returns false when there is none. */
static bool
probe_order_take(struct swim *swim, struct handle *handle)
{
    for (int rounds = 0; rounds < 2; rounds++) {
        while (swim->probe_order_next < swim->probe_order_count) {
            const struct member_entry *entry;

            *handle = swim->probe_order[swim->probe_order_next++];
            entry = swim_get_entry(swim, *handle);
            if (entry != NULL && member_entry_is_active(entry)) {
                return true;
            }
        }
        probe_order_shuffle(swim);
    }
    return false;
}

static struct probe *
probe_find(struct swim *swim, uint64_t id)
{
    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        struct probe *probe = &swim->probes[i];

        if (probe->stage != PROBE_IDLE && probe->target_id == id) {
            return probe;
        }
    }
    return NULL;
}

static struct probe *
probe_find_idle(struct swim *swim)
{
    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        if (swim->probes[i].stage == PROBE_IDLE) {
            return &swim->probes[i];
        }
    }
    return NULL;
}

/* Returns NULL when the target is being probed already or no slot is free. */
static struct probe *
probe_begin(struct swim *swim, struct handle target, int64_t now_ms)
{
    uint64_t id = swim_get_entry(swim, target)->info.id;
    struct probe *probe = probe_find_idle(swim);

    if (probe == NULL || probe_find(swim, id) != NULL) {
        return NULL;
    }
    probe->target_handle = target;
    probe->target_id = id;
    probe->stage = PROBE_DIRECT;
    probe->sequence = ++swim->last_sequence;
    probe->deadline_ms = now_ms + DIRECT_PROBE_MS;
    send_ping(swim, id, probe->sequence);
    return probe;
}

/* Whether this instance is among the first CONFIRMING_MEMBERS in the
 * rendezvous order of a suspect. */
static bool
confirms_suspicion(struct swim *swim, uint64_t suspect)
{
    const struct member_entry *entry;
    uint64_t ids[MEMBERS_MAX];
    uint32_t cursor = 0;
    int count = 0;

    while ((entry = table_next(&swim->members.entries, &cursor, NULL)) !=
           NULL) {
        if (member_entry_is_active(entry) && entry->info.id != suspect) {
            ids[count++] = entry->info.id;
        }
    }
    return rendezvous_rank(suspect, ids, count, swim->self_id) <
           CONFIRMING_MEMBERS;
}

/* Handles a suspicion by another member: some members probe the suspect at
 * once to confirm it. */
void
probe_peer_suspicion(struct swim *swim, uint64_t id, int64_t now_ms)
{
    struct handle handle;
    struct member_entry *entry =
        member_table_find(&swim->members, id, &handle);

    entry->suspected_by_peer = true;
    if (confirms_suspicion(swim, id)) {
        probe_begin(swim, handle, now_ms);
    }
}

void
probe_receive_ack(struct swim *swim, const struct swim_message *message)
{
    struct probe *probe = probe_find(swim, message->subject_id);

    if (probe != NULL && probe->sequence == message->sequence) {
        probe->stage = PROBE_IDLE;
    }
}

/* A failed probe by this instance confirms the suspicion of another one. */
static void
confirm_suspicion(struct member_entry *entry)
{
    if (entry->info.state == MEMBER_SUSPECT && entry->suspected_by_peer) {
        entry->expires_ms = time_earlier(
            entry->expires_ms, entry->suspected_ms + CONFIRMED_SUSPICION_MS);
    }
}

static void
suspect_member(struct swim *swim, struct handle target, int64_t now_ms)
{
    struct member_entry *entry = swim_get_entry(swim, target);

    if (entry == NULL || entry->candidate) {
        return;
    }
    if (entry->info.state != MEMBER_ALIVE) {
        confirm_suspicion(entry);
        return;
    }
    entry->suspected_by_peer = false;
    entry->info.state = MEMBER_SUSPECT;
    member_table_mark_changed(&swim->members, entry);
    swim_entry_changed(swim, entry->info.id, ENTRY_SUSPECT, now_ms);
    send_ping(swim, entry->info.id, 0);
}

static void
probe_next_member(struct swim *swim, int64_t now_ms)
{
    struct handle target;

    swim->next_probe_ms = now_ms + PROBE_INTERVAL_MS;
    if (probe_order_take(swim, &target)) {
        probe_begin(swim, target, now_ms);
    }
}

/* Besides the PingReqs, sends the target a Hello, as it may have dropped this
 * instance, and another Ping, as two members have no third one to ask. */
static void
probe_begin_indirect(struct swim *swim, struct probe *probe, int64_t now_ms)
{
    uint64_t ids[INDIRECT_PROBE_MEMBERS];
    int count = swim_random_members(swim, probe->target_id, ids,
                                    INDIRECT_PROBE_MEMBERS);

    probe->stage = PROBE_INDIRECT;
    probe->deadline_ms = now_ms + INDIRECT_PROBE_MS;
    for (int i = 0; i < count; i++) {
        struct swim_message message = {.kind = SWIM_PING_REQ,
                                       .sequence = probe->sequence,
                                       .subject_id = probe->target_id};

        send_message(swim, ids[i], &message);
    }
    send_hello(swim, probe->target_id);
    send_ping(swim, probe->target_id, probe->sequence);
}

static void
probe_tick(struct swim *swim, struct probe *probe, int64_t now_ms)
{
    if (probe->stage == PROBE_DIRECT && now_ms >= probe->deadline_ms) {
        probe_begin_indirect(swim, probe, now_ms);
    }
    else if (probe->stage == PROBE_INDIRECT && now_ms >= probe->deadline_ms) {
        probe->stage = PROBE_IDLE;
        suspect_member(swim, probe->target_handle, now_ms);
    }
}

/* Returns the time of the next call. */
int64_t
probes_tick(struct swim *swim, int64_t now_ms)
{
    int64_t next_ms;

    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        probe_tick(swim, &swim->probes[i], now_ms);
    }
    if (now_ms >= swim->next_probe_ms) {
        probe_next_member(swim, now_ms);
    }
    next_ms = swim->next_probe_ms;
    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        if (swim->probes[i].stage != PROBE_IDLE) {
            next_ms = time_earlier(next_ms, swim->probes[i].deadline_ms);
        }
    }
    return next_ms;
}

/**
 * swim_connection_broken() - probe an instance that has closed or refused a
 * connection
 * @swim: the protocol
 * @id: the instance
 * @now_ms: current time
 *
 * The probe starts at once, directly and indirectly. One broken connection
 * says nothing about those of others, so only a failed probe raises a
 * suspicion.
 */
void
swim_connection_broken(struct swim *swim, uint64_t id, int64_t now_ms)
{
    struct handle handle;
    const struct member_entry *entry =
        member_table_find(&swim->members, id, &handle);
    struct probe *probe = probe_find(swim, id);

    if (entry == NULL || id == swim->self_id || entry->candidate ||
        entry->info.state != MEMBER_ALIVE) {
        return;
    }
    if (probe == NULL) {
        probe = probe_begin(swim, handle, now_ms);
    }
    if (probe != NULL && probe->stage == PROBE_DIRECT) {
        probe_begin_indirect(swim, probe, now_ms);
    }
}
