/**
 * DOC: Sends messages of the membership protocol and makes random choices.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/member/internal.h"

int64_t
time_earlier(int64_t a, int64_t b)
{
    return a < b ? a : b;
}

static uint64_t
random_next(struct swim *swim)
{
    uint64_t z;

    swim->random_state += 0x9e3779b97f4a7c15u;
    z = swim->random_state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

uint32_t
swim_random_below(struct swim *swim, uint32_t bound)
{
    return (uint32_t)(random_next(swim) % bound);
}

struct member_entry *
swim_self_entry(struct swim *swim)
{
    return table_get(&swim->members.entries, swim->self_handle);
}

struct member_entry *
swim_get_entry(struct swim *swim, struct handle handle)
{
    return table_get(&swim->members.entries, handle);
}

void
swim_message_add(struct swim_message *message,
                 const struct member_entry *entry)
{
    struct member_info *update = &message->updates[message->update_count++];

    *update = entry->info;
    update->state = member_entry_state(entry);
}

/* A suspect or dead recipient gets its own state as the first update, so that
 * it can refute. */
static void
add_recipient_state(struct swim *swim, struct swim_message *message,
                    uint64_t to)
{
    const struct member_entry *entry =
        member_table_find(&swim->members, to, NULL);

    if (entry != NULL && !entry->candidate &&
        entry->info.state != MEMBER_ALIVE) {
        swim_message_add(message, entry);
    }
}

void
send_message(struct swim *swim, uint64_t to, struct swim_message *message)
{
    add_recipient_state(swim, message, to);
    message->update_count =
        member_table_pick_updates(&swim->members, message->updates,
                                  message->update_count, SWIM_UPDATES_MAX);
    swim->port->ops->send(swim->port, to, message);
}

void
send_ping(struct swim *swim, uint64_t to, uint64_t sequence)
{
    struct swim_message message = {
        .kind = SWIM_PING, .sequence = sequence, .revision = swim->revision};

    send_message(swim, to, &message);
}

void
send_ack(struct swim *swim, uint64_t to, uint64_t sequence,
         uint64_t subject_id, int64_t revision)
{
    struct swim_message message = {.kind = SWIM_ACK,
                                   .sequence = sequence,
                                   .subject_id = subject_id,
                                   .revision = revision};

    send_message(swim, to, &message);
}

void
send_hello(struct swim *swim, uint64_t to)
{
    struct swim_message message = {.kind = SWIM_HELLO};

    swim_message_add(&message, swim_self_entry(swim));
    swim->port->ops->send(swim->port, to, &message);
}

/* Chooses random active members other than this one and @excluded_id. Returns
 * their number. */
int
swim_random_members(struct swim *swim, uint64_t excluded_id, uint64_t *ids,
                    int max)
{
    const struct member_entry *entry;
    uint32_t cursor = 0;
    uint32_t seen = 0;

    while ((entry = table_next(&swim->members.entries, &cursor, NULL)) !=
           NULL) {
        uint32_t index = seen;

        if (!member_entry_is_active(entry) ||
            entry->info.id == swim->self_id || entry->info.id == excluded_id) {
            continue;
        }
        if (seen >= (uint32_t)max) {
            index = swim_random_below(swim, seen + 1);
        }
        if (index < (uint32_t)max) {
            ids[index] = entry->info.id;
        }
        seen++;
    }
    return seen < (uint32_t)max ? (int)seen : max;
}

/* Pings random members, apart from the probes, to spread urgent updates. */
void
send_gossip(struct swim *swim)
{
    uint64_t ids[GOSSIP_FANOUT];
    int count = swim_random_members(swim, 0, ids, GOSSIP_FANOUT);

    for (int i = 0; i < count; i++) {
        send_ping(swim, ids[i], 0);
    }
}

/* Sends the full member list, in as many messages as that takes. */
void
send_full_list(struct swim *swim, uint64_t to)
{
    struct swim_message message = {.kind = SWIM_ACK,
                                   .subject_id = swim->self_id};
    const struct member_entry *entry;
    uint32_t cursor = 0;

    message.revision = swim->revision;
    while ((entry = table_next(&swim->members.entries, &cursor, NULL)) !=
           NULL) {
        if (member_entry_is_active(entry) && entry->info.id != to) {
            swim_message_add(&message, entry);
        }
        if (message.update_count == SWIM_UPDATES_MAX) {
            swim->port->ops->send(swim->port, to, &message);
            message.update_count = 0;
        }
    }
    if (message.update_count > 0) {
        swim->port->ops->send(swim->port, to, &message);
    }
}
