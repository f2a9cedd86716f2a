/**
 * DOC: Received messages of membership, and refutations.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/member/internal.h"

enum {
    STATE_PING_INTERVAL_MS = 1000,
    /* A newcomer is told all members by those it greets. When a whole fleet
     * starts at once everybody is a newcomer, so each instance limits how
     * often it does that; the rest is learned from news. */
    FULL_LIST_INTERVAL_MS = 500,
    GOSSIP_INTERVAL_MS = 500,
};

static void
refute_update(struct swim *swim, const struct member_info *news)
{
    struct member_entry *own = swim_self_entry(swim);

    if (news->started_ms > own->info.started_ms) {
        /* A later process runs under this name; it is the one that counts. */
        return;
    }
    if (news->started_ms < own->info.started_ms) {
        /* Touched only once the last round of news has gone out, so that
         * many old reports don't repeat it without end. */
        if (own->transmit_count >= SWIM_UPDATES_MAX) {
            member_table_mark_changed(&swim->members, own);
        }
        return;
    }
    if (news->state != MEMBER_SUSPECT && news->state != MEMBER_DEAD) {
        return;
    }
    if (news->refutation >= own->info.refutation) {
        own->info.refutation = news->refutation + 1;
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
        const struct member_info *news = &message->updates[i];
        enum entry_change change = ENTRY_UNCHANGED;

        if (news->id == swim->self_id) {
            refute_update(swim, news);
        }
        else {
            change = member_table_apply(&swim->members, news);
            swim_entry_changed(swim, news->id, change, now_ms);
        }
        if (change == ENTRY_SUSPECT) {
            probe_peer_suspicion(swim, news->id, now_ms);
        }
    }
}

static bool
is_known_process(struct swim *swim, uint64_t id, uint64_t start)
{
    const struct member_entry *entry =
        member_table_find(&swim->members, id, NULL);

    return entry != NULL && member_entry_is_active(entry) &&
           entry->info.started_ms == start;
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
        struct indirect_ping *relay = &swim->indirect_pings[i];

        if (relay->sequence == message->sequence && relay->sequence != 0 &&
            relay->target_id == from) {
            send_ack(swim, relay->requester_id, relay->requester_sequence,
                     from, message->revision);
            relay->sequence = 0;
        }
    }
}

/* An instance that is believed to be suspect or dead speaks. */
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
    struct indirect_ping *relay =
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
    relay->sequence = ++swim->last_sequence;
    relay->target_id = message->subject_id;
    relay->requester_id = from;
    relay->requester_sequence = message->sequence;
    hello_restore_address(swim, target);
    send_ping(swim, message->subject_id, relay->sequence);
}

/* News of a change of state is passed on at once. With the probes alone it
 * took 4 s from the first of 340 simulated members to the last, leaving took
 * 8 s, and at 5% loss a refutation reached some of 40 after their 3 s of
 * suspicion. A new member isn't urgent: when a whole fleet starts, each
 * instance learns of all others. */
static void
gossip_urgent_update(struct swim *swim, int64_t now_ms)
{
    if (swim->urgent_update && now_ms >= swim->next_gossip_ms) {
        swim->next_gossip_ms = now_ms + GOSSIP_INTERVAL_MS;
        send_gossip(swim);
    }
}

/**
 * swim_receive() - a message has arrived
 * @swim: the protocol
 * @from: id of the sender
 * @message: the message
 * @now_ms: present time
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
