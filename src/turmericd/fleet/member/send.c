/**
 * DOC: Messages that membership sends, and random choices.
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

    swim->random += 0x9e3779b97f4a7c15u;
    z = swim->random;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

uint32_t
swim_random(struct swim *swim, uint32_t bound)
{
    return (uint32_t)(random_next(swim) % bound);
}

struct roster_entry *
swim_own(struct swim *swim)
{
    return table_get(&swim->roster.entries, swim->own);
}

struct roster_entry *
swim_entry(struct swim *swim, struct handle handle)
{
    return table_get(&swim->roster.entries, handle);
}

void
send_add_news(struct swim_message *message, const struct roster_entry *entry)
{
    struct member_info *news = &message->news[message->news_count++];

    *news = entry->info;
    news->state = roster_state(entry);
}

/* A member that is suspected or dead is told so first, for it to refute. */
static void
add_news_about(struct swim *swim, struct swim_message *message, uint64_t to)
{
    const struct roster_entry *entry = roster_find(&swim->roster, to, NULL);

    if (entry != NULL && !entry->candidate &&
        entry->info.state != MEMBER_ALIVE) {
        send_add_news(message, entry);
    }
}

void
send_message(struct swim *swim, uint64_t to, struct swim_message *message)
{
    add_news_about(swim, message, to);
    message->news_count = roster_pick_news(&swim->roster, message->news,
                                           message->news_count, SWIM_NEWS_MAX);
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
send_ack(struct swim *swim, uint64_t to, uint64_t sequence, uint64_t about,
         int64_t revision)
{
    struct swim_message message = {.kind = SWIM_ACK,
                                   .sequence = sequence,
                                   .about = about,
                                   .revision = revision};

    send_message(swim, to, &message);
}

void
send_hello(struct swim *swim, uint64_t to)
{
    struct swim_message message = {.kind = SWIM_HELLO};

    send_add_news(&message, swim_own(swim));
    swim->port->ops->send(swim->port, to, &message);
}

/* Random members other than this one and the one excluded. */
int
swim_random_members(struct swim *swim, uint64_t excluded, uint64_t *ids,
                    int max)
{
    const struct roster_entry *entry;
    uint32_t cursor = 0;
    uint32_t seen = 0;

    while ((entry = table_next(&swim->roster.entries, &cursor, NULL)) !=
           NULL) {
        uint32_t at = seen;

        if (!roster_is_member(entry) || entry->info.id == swim->self ||
            entry->info.id == excluded) {
            continue;
        }
        if (seen >= (uint32_t)max) {
            at = swim_random(swim, seen + 1);
        }
        if (at < (uint32_t)max) {
            ids[at] = entry->info.id;
        }
        seen++;
    }
    return seen < (uint32_t)max ? (int)seen : max;
}

/* Pings random members outside of the probes, to spread urgent news. */
void
send_spread(struct swim *swim)
{
    uint64_t ids[SPREAD];
    int count = swim_random_members(swim, 0, ids, SPREAD);

    for (int i = 0; i < count; i++) {
        send_ping(swim, ids[i], 0);
    }
}

/* Tells an instance all members, in as many messages as that takes. */
void
send_all_members(struct swim *swim, uint64_t to)
{
    struct swim_message message = {.kind = SWIM_ACK, .about = swim->self};
    const struct roster_entry *entry;
    uint32_t cursor = 0;

    message.revision = swim->revision;
    while ((entry = table_next(&swim->roster.entries, &cursor, NULL)) !=
           NULL) {
        if (roster_is_member(entry) && entry->info.id != to) {
            send_add_news(&message, entry);
        }
        if (message.news_count == SWIM_NEWS_MAX) {
            swim->port->ops->send(swim->port, to, &message);
            message.news_count = 0;
        }
    }
    if (message.news_count > 0) {
        swim->port->ops->send(swim->port, to, &message);
    }
}
