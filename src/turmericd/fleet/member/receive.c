/**
 * DOC: Handles received messages of the membership protocol.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/member/internal.h"

enum {
    STATE_PING_INTERVAL_MS = 1000,
    /* A new member gets the full member list in answer to its Hello. When a
     * whole fleet starts at once, every member is new, so each instance
     * limits how often it sends the list; the rest spreads by updates. */
    FULL_LIST_INTERVAL_MS = 500,
    GOSSIP_INTERVAL_MS = 500,
};

static void
refute_update(struct swim *swim, const struct member_info *update)
{
    struct member_entry *own = swim_self_entry(swim);

    if (update->started_ms > own->info.started_ms) {
        /* A later process runs under this name and takes precedence. */
        return;
    }
    if (update->started_ms < own->info.started_ms) {
        /* Marked again only after the last round of transmissions, so that
         * many updates about an earlier process don't prolong it
         * forever. */
        if (own->transmit_count >= SWIM_UPDATES_MAX) {
            member_table_mark_changed(&swim->members, own);
        }
        return;
    }
    if (update->state != MEMBER_SUSPECT && update->state != MEMBER_DEAD) {
        return;
    }
    if (update->refutation >= own->info.refutation) {
        own->info.refutation = update->refutation + 1;
        member_table_mark_changed(&swim->members, own);
        swim->just_refuted = true;
        swim->urgent_update = true;
    }
}

static void
apply_updates(struct swim *swim, const struct swim_message *message,
              int64_t now_ms)
{
    for (int i = 0; i < message->update_count; i++) {
        const struct member_info *update = &message->updates[i];
        enum entry_change change = ENTRY_UNCHANGED;

        if (update->id == swim->self_id) {
            refute_update(swim, update);
        }
        else {
            change = member_table_apply(&swim->members, update);
            swim_entry_changed(swim, update->id, change, now_ms);
        }
        if (change == ENTRY_SUSPECT) {
            probe_peer_suspicion(swim, update->id, now_ms);
        }
    }
}

static bool
is_known_process(struct swim *swim, uint64_t id, uint64_t started_ms)
{
    const struct member_entry *entry =
        member_table_find(&swim->members, id, NULL);

    return entry != NULL && member_entry_is_active(entry) &&
           entry->info.started_ms == started_ms;
}

static void
receive_hello(struct swim *swim, uint64_t from,
              const struct swim_message *message, int64_t now_ms)
{
    struct swim_message ack = {.kind = SWIM_ACK,
                               .subject_id = swim->self_id,
                               .revision = swim->revision};
    const struct member_entry *entry;
    bool known;

    if (message->update_count != 1 || message->updates[0].id != from) {
        return;
    }
    known = is_known_process(swim, from, message->updates[0].started_ms);
    apply_updates(swim, message, now_ms);
    entry = member_table_find(&swim->members, from, NULL);
    if (entry == NULL) {
        return;
    }
    hello_restore_address(swim, entry);
    swim_message_add(&ack, swim_self_entry(swim));
    send_message(swim, from, &ack);
    if (!known && member_entry_is_active(entry) &&
        now_ms >= swim->next_full_list_ms) {
        swim->next_full_list_ms = now_ms + FULL_LIST_INTERVAL_MS;
        send_full_list(swim, from);
    }
}

static void
receive_ping(struct swim *swim, uint64_t from,
             const struct swim_message *message, int64_t now_ms)
{
    struct member_entry *entry;

    apply_updates(swim, message, now_ms);
    entry = member_table_find(&swim->members, from, NULL);
    if (entry == NULL) {
        return;
    }
    entry->info.revision = message->revision;
    if (entry->candidate) {
        entry->next_hello_ms = now_ms;
    }
    hello_restore_address(swim, entry);
    send_ack(swim, from, message->sequence, swim->self_id, swim->revision);
}

static void
answer_requester(struct swim *swim, uint64_t from,
                 const struct swim_message *message)
{
    for (int i = 0; i < SWIM_INDIRECT_PINGS_MAX; i++) {
        struct indirect_ping *ping = &swim->indirect_pings[i];

        if (ping->sequence == message->sequence && ping->sequence != 0 &&
            ping->target_id == from) {
            send_ack(swim, ping->requester_id, ping->requester_sequence, from,
                     message->revision);
            ping->sequence = 0;
        }
    }
}

/* Pings an instance that answers although it is recorded as suspect or dead:
 * the Ping carries that state, for the instance to refute. */
static void
ping_with_state(struct swim *swim, struct member_entry *entry, int64_t now_ms)
{
    if (entry->candidate || entry->info.state == MEMBER_ALIVE ||
        now_ms - entry->state_sent_ms < STATE_PING_INTERVAL_MS) {
        return;
    }
    entry->state_sent_ms = now_ms;
    hello_restore_address(swim, entry);
    send_ping(swim, entry->info.id, 0);
}

static void
receive_ack(struct swim *swim, uint64_t from,
            const struct swim_message *message, int64_t now_ms)
{
    struct member_entry *entry;

    apply_updates(swim, message, now_ms);
    probe_receive_ack(swim, message);
    entry = member_table_find(&swim->members, message->subject_id, NULL);
    if (entry != NULL && message->revision > entry->info.revision) {
        entry->info.revision = message->revision;
    }
    if (from != message->subject_id) {
        return;
    }
    answer_requester(swim, from, message);
    if (swim->just_refuted && entry != NULL) {
        send_ping(swim, from, 0);
    }
    else if (entry != NULL) {
        ping_with_state(swim, entry, now_ms);
    }
}

static void
receive_ping_req(struct swim *swim, uint64_t from,
                 const struct swim_message *message, int64_t now_ms)
{
    struct indirect_ping *ping =
        &swim->indirect_pings[swim->indirect_ping_next];
    const struct member_entry *target;

    apply_updates(swim, message, now_ms);
    target = member_table_find(&swim->members, message->subject_id, NULL);
    if (target == NULL || target->candidate ||
        message->subject_id == swim->self_id) {
        return;
    }
    swim->indirect_ping_next =
        (swim->indirect_ping_next + 1) % SWIM_INDIRECT_PINGS_MAX;
    ping->sequence = ++swim->last_sequence;
    ping->target_id = message->subject_id;
    ping->requester_id = from;
    ping->requester_sequence = message->sequence;
    hello_restore_address(swim, target);
    send_ping(swim, message->subject_id, ping->sequence);
}

/* Sends urgent updates, those of a changed state, to random members at once.
 * With the probes alone, an update took 4 s from the first of 340 simulated
 * members to the last and a leaving announcement 8 s, and at 5% loss a
 * refutation reached some of 40 members only after their 3 s suspicion had
 * ended. A new member is not urgent: when a whole fleet starts, each instance
 * learns of all others. */
static void
gossip_urgent_update(struct swim *swim, int64_t now_ms)
{
    if (swim->urgent_update && now_ms >= swim->next_gossip_ms) {
        swim->next_gossip_ms = now_ms + GOSSIP_INTERVAL_MS;
        send_gossip(swim);
    }
}

/**
 * swim_receive() - handle a message
 * @swim: the protocol
 * @from: id of the sending instance
 * @message: the message
 * @now_ms: current time
 */
void
swim_receive(struct swim *swim, uint64_t from,
             const struct swim_message *message, int64_t now_ms)
{
    if (from == swim->self_id) {
        return;
    }
    swim->just_refuted = false;
    swim->urgent_update = false;
    switch (message->kind) {
    case SWIM_HELLO:
        receive_hello(swim, from, message, now_ms);
        break;
    case SWIM_PING:
        receive_ping(swim, from, message, now_ms);
        break;
    case SWIM_ACK:
        receive_ack(swim, from, message, now_ms);
        break;
    case SWIM_PING_REQ:
        receive_ping_req(swim, from, message, now_ms);
        break;
    }
    gossip_urgent_update(swim, now_ms);
}
