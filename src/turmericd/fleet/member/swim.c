/**
 * DOC: Membership protocol: probes, suspicions, refutations, greetings.
 *
 * Only decisions: the time and the random seed are arguments, and effects go
 * through a port, so that a whole fleet can be simulated in one thread.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"

enum {
    /* A crash is detected within 5 s: with four probes a second from each
     * member, 95% of crashed members are probed within 0.75 s at any size of
     * the fleet; the probe takes 0.6 s and a confirmed suspicion 2 s, which
     * leaves over 1 s for the news. */
    PROBE_INTERVAL_MS = 250,
    DIRECT_MS = 300,
    INDIRECT_MS = 300,
    INDIRECT_PROBES = 2,
    SUSPECT_MS = 3000,
    /* Two members that failed to reach a suspect on their own are much less
     * likely to be wrong than one. 2 s still leave it four rounds of urgent
     * news to refute. */
    CONFIRMED_MS = 2000,
    /* Members that probe a suspect on the news of it: enough that the loss of
     * some of them doesn't matter, and few at 340 members. */
    CONFIRMERS = 4,
    DEAD_KEPT_MS = 60000,
    /* A gap this long between two ticks means that this instance did not
     * run: what it believes is old, and the others may have given it up. */
    FROZEN_MS = 2000,
    GREET_INTERVAL_MS = 250,
    GREET_MAX = 4,
    GREET_WAIT_MS = 1000,
    GREET_WAIT_MAX_MS = 15000,
    GREET_DEAD_WAIT_MS = 10000,
    TELL_INTERVAL_MS = 1000,
    /* A newcomer is told all members by those it greets. When a whole fleet
     * starts at once everybody is a newcomer, so each instance limits how
     * often it does that; the rest is learned from news. */
    INTRODUCE_INTERVAL_MS = 500,
    SPREAD_INTERVAL_MS = 500,
    SPREAD = 3,
};

static int64_t
earlier(int64_t a, int64_t b)
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

static uint32_t
random_below(struct swim *swim, uint32_t bound)
{
    return (uint32_t)(random_next(swim) % bound);
}

static struct roster_entry *
own_entry(struct swim *swim)
{
    return table_get(&swim->roster.entries, swim->own);
}

static struct roster_entry *
entry_of(struct swim *swim, struct handle handle)
{
    return table_get(&swim->roster.entries, handle);
}

static void
add_news(struct swim_message *message, const struct roster_entry *entry)
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
        add_news(message, entry);
    }
}

static void
send_message(struct swim *swim, uint64_t to, struct swim_message *message)
{
    add_news_about(swim, message, to);
    message->news_count = roster_pick_news(&swim->roster, message->news,
                                           message->news_count, SWIM_NEWS_MAX);
    swim->port->ops->send(swim->port, to, message);
}

static void
send_ping(struct swim *swim, uint64_t to, uint64_t sequence)
{
    struct swim_message message = {
        .kind = SWIM_PING, .sequence = sequence, .revision = swim->revision};

    send_message(swim, to, &message);
}

static void
send_ack(struct swim *swim, uint64_t to, uint64_t sequence, uint64_t about,
         int64_t revision)
{
    struct swim_message message = {.kind = SWIM_ACK,
                                   .sequence = sequence,
                                   .about = about,
                                   .revision = revision};

    send_message(swim, to, &message);
}

static void
send_hello(struct swim *swim, uint64_t to)
{
    struct swim_message message = {.kind = SWIM_HELLO};

    add_news(&message, own_entry(swim));
    swim->port->ops->send(swim->port, to, &message);
}

/* Random members other than this one and the one excluded. */
static int
random_members(struct swim *swim, uint64_t excluded, uint64_t *ids, int max)
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
            at = random_below(swim, seen + 1);
        }
        if (at < (uint32_t)max) {
            ids[at] = entry->info.id;
        }
        seen++;
    }
    return seen < (uint32_t)max ? (int)seen : max;
}

/* Pings random members outside of the probes, to spread urgent news. */
static void
spread(struct swim *swim)
{
    uint64_t ids[SPREAD];
    int count = random_members(swim, 0, ids, SPREAD);

    for (int i = 0; i < count; i++) {
        send_ping(swim, ids[i], 0);
    }
}

static void
order_swap(struct swim *swim, int a, int b)
{
    struct handle handle = swim->order[a];

    swim->order[a] = swim->order[b];
    swim->order[b] = handle;
}

static void
order_renew(struct swim *swim)
{
    const struct roster_entry *entry;
    struct handle handle;
    uint32_t cursor = 0;

    swim->order_count = 0;
    swim->order_next = 0;
    while ((entry = table_next(&swim->roster.entries, &cursor, &handle)) !=
           NULL) {
        if (roster_is_member(entry) && entry->info.id != swim->self) {
            swim->order[swim->order_count++] = handle;
        }
    }
    for (int i = swim->order_count - 1; i > 0; i--) {
        order_swap(swim, i, (int)random_below(swim, (uint32_t)i + 1));
    }
}

/* A new member gets a random place among those that are still to be probed,
 * so that it needn't wait for the end of a long round. */
static void
order_insert(struct swim *swim, struct handle handle)
{
    int left = swim->order_count - swim->order_next;

    if (swim->order_count == MEMBERS_MAX) {
        return;
    }
    swim->order[swim->order_count++] = handle;
    order_swap(swim, swim->order_count - 1,
               swim->order_next + (int)random_below(swim, (uint32_t)left + 1));
}

/* Returns false when there is nobody to probe. */
static bool
order_take(struct swim *swim, struct handle *handle)
{
    for (int rounds = 0; rounds < 2; rounds++) {
        while (swim->order_next < swim->order_count) {
            const struct roster_entry *entry;

            *handle = swim->order[swim->order_next++];
            entry = entry_of(swim, *handle);
            if (entry != NULL && roster_is_member(entry)) {
                return true;
            }
        }
        order_renew(swim);
    }
    return false;
}

static void
reach(struct swim *swim, const struct roster_entry *entry)
{
    swim->port->ops->address(swim->port, entry->info.id,
                             entry->info.peer_address);
}

/* The address of an instance that is no member may have been forgotten. */
static void
reach_again(struct swim *swim, const struct roster_entry *entry)
{
    if (!roster_is_member(entry)) {
        reach(swim, entry);
    }
}

static void
greet_later(struct roster_entry *entry, int64_t wait_ms, int64_t now_ms)
{
    entry->hello_wait_ms = wait_ms;
    entry->hello_ms = now_ms + wait_ms;
}

/* Effects of a change of an entry, whether own or by news. */
static void
after_change(struct swim *swim, uint64_t id, enum roster_change change,
             int64_t now_ms)
{
    struct handle handle;
    struct roster_entry *entry = roster_find(&swim->roster, id, &handle);

    if (entry == NULL || change == ROSTER_SAME) {
        return;
    }
    swim->urgent = swim->urgent || change != ROSTER_NEW;
    if (change == ROSTER_LEAVING) {
        return;
    }
    if (change == ROSTER_DEAD) {
        counter_add(CTR_MEMBER_DEAD, 1);
        entry->until_ms = now_ms + DEAD_KEPT_MS;
        greet_later(entry, GREET_DEAD_WAIT_MS, now_ms);
        swim->port->ops->forget(swim->port, id);
        return;
    }
    reach(swim, entry);
    if (entry->info.state == MEMBER_SUSPECT) {
        entry->suspect_ms = now_ms;
        entry->until_ms = now_ms + SUSPECT_MS;
    }
    if (change == ROSTER_NEW) {
        order_insert(swim, handle);
    }
}

static struct probe *
probe_of(struct swim *swim, uint64_t id)
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
probe_idle(struct swim *swim)
{
    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        if (swim->probes[i].stage == PROBE_IDLE) {
            return &swim->probes[i];
        }
    }
    return NULL;
}

/* Returns NULL when the target is being probed or too many others are. */
static struct probe *
probe_begin(struct swim *swim, struct handle target, int64_t now_ms)
{
    uint64_t id = entry_of(swim, target)->info.id;
    struct probe *probe = probe_idle(swim);

    if (probe == NULL || probe_of(swim, id) != NULL) {
        return NULL;
    }
    probe->target = target;
    probe->target_id = id;
    probe->stage = PROBE_DIRECT;
    probe->sequence = ++swim->sequence;
    probe->until_ms = now_ms + DIRECT_MS;
    send_ping(swim, id, probe->sequence);
    return probe;
}

/* Whether this instance is among the first in the order for a suspect. */
static bool
is_confirmer(struct swim *swim, uint64_t suspect)
{
    const struct roster_entry *entry;
    uint64_t ids[MEMBERS_MAX];
    uint32_t cursor = 0;
    int count = 0;

    while ((entry = table_next(&swim->roster.entries, &cursor, NULL)) !=
           NULL) {
        if (roster_is_member(entry) && entry->info.id != suspect) {
            ids[count++] = entry->info.id;
        }
    }
    return rendezvous_rank(suspect, ids, count, swim->self) < CONFIRMERS;
}

/* Another member suspects one; some probe it at once, to confirm that. */
static void
suspected_by_news(struct swim *swim, uint64_t id, int64_t now_ms)
{
    struct handle handle;
    struct roster_entry *entry = roster_find(&swim->roster, id, &handle);

    entry->suspect_news = true;
    if (is_confirmer(swim, id)) {
        probe_begin(swim, handle, now_ms);
    }
}

static void
refute(struct swim *swim, const struct member_info *news)
{
    struct roster_entry *own = own_entry(swim);

    if (news->start > own->info.start) {
        /* A later process runs under this name; it is the one that counts. */
        return;
    }
    if (news->start < own->info.start) {
        /* Touched only once the last round of news has gone out, so that
         * many old reports don't repeat it without end. */
        if (own->sends >= SWIM_NEWS_MAX) {
            roster_touch(&swim->roster, own);
        }
        return;
    }
    if (news->state != MEMBER_SUSPECT && news->state != MEMBER_DEAD) {
        return;
    }
    if (news->refutation >= own->info.refutation) {
        own->info.refutation = news->refutation + 1;
        roster_touch(&swim->roster, own);
        swim->refuted = true;
        swim->urgent = true;
    }
}

static void
apply_news(struct swim *swim, const struct swim_message *message,
           int64_t now_ms)
{
    for (int i = 0; i < message->news_count; i++) {
        const struct member_info *news = &message->news[i];
        enum roster_change change = ROSTER_SAME;

        if (news->id == swim->self) {
            refute(swim, news);
        }
        else {
            change = roster_apply(&swim->roster, news);
            after_change(swim, news->id, change, now_ms);
        }
        if (change == ROSTER_SUSPECT) {
            suspected_by_news(swim, news->id, now_ms);
        }
    }
}

/* Tells an instance all members, in as many messages as that takes. */
static void
send_all_members(struct swim *swim, uint64_t to)
{
    struct swim_message message = {.kind = SWIM_ACK, .about = swim->self};
    const struct roster_entry *entry;
    uint32_t cursor = 0;

    message.revision = swim->revision;
    while ((entry = table_next(&swim->roster.entries, &cursor, NULL)) !=
           NULL) {
        if (roster_is_member(entry) && entry->info.id != to) {
            add_news(&message, entry);
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

static bool
knows_start(struct swim *swim, uint64_t id, uint64_t start)
{
    const struct roster_entry *entry = roster_find(&swim->roster, id, NULL);

    return entry != NULL && roster_is_member(entry) &&
           entry->info.start == start;
}

static void
receive_hello(struct swim *swim, uint64_t from,
              const struct swim_message *message, int64_t now_ms)
{
    struct swim_message ack = {
        .kind = SWIM_ACK, .about = swim->self, .revision = swim->revision};
    const struct roster_entry *entry;
    bool known;

    if (message->news_count != 1 || message->news[0].id != from) {
        return;
    }
    known = knows_start(swim, from, message->news[0].start);
    apply_news(swim, message, now_ms);
    entry = roster_find(&swim->roster, from, NULL);
    if (entry == NULL) {
        return;
    }
    reach_again(swim, entry);
    add_news(&ack, own_entry(swim));
    send_message(swim, from, &ack);
    if (!known && roster_is_member(entry) && now_ms >= swim->introduce_ms) {
        swim->introduce_ms = now_ms + INTRODUCE_INTERVAL_MS;
        send_all_members(swim, from);
    }
}

static void
receive_ping(struct swim *swim, uint64_t from,
             const struct swim_message *message, int64_t now_ms)
{
    struct roster_entry *entry;

    apply_news(swim, message, now_ms);
    entry = roster_find(&swim->roster, from, NULL);
    if (entry == NULL) {
        return;
    }
    entry->info.revision = message->revision;
    if (entry->candidate) {
        entry->hello_ms = now_ms;
    }
    reach_again(swim, entry);
    send_ack(swim, from, message->sequence, swim->self, swim->revision);
}

static void
answer_asker(struct swim *swim, uint64_t from,
             const struct swim_message *message)
{
    for (int i = 0; i < SWIM_RELAYS_MAX; i++) {
        struct relay *relay = &swim->relays[i];

        if (relay->sequence == message->sequence && relay->sequence != 0 &&
            relay->target == from) {
            send_ack(swim, relay->asker, relay->asker_sequence, from,
                     message->revision);
            relay->sequence = 0;
        }
    }
}

/* An instance that is believed to be suspect or dead speaks. */
static void
tell_what_is_believed(struct swim *swim, struct roster_entry *entry,
                      int64_t now_ms)
{
    if (entry->candidate || entry->info.state == MEMBER_ALIVE ||
        now_ms - entry->told_ms < TELL_INTERVAL_MS) {
        return;
    }
    entry->told_ms = now_ms;
    reach_again(swim, entry);
    send_ping(swim, entry->info.id, 0);
}

static void
probe_acked(struct swim *swim, const struct swim_message *message)
{
    struct probe *probe = probe_of(swim, message->about);

    if (probe != NULL && probe->sequence == message->sequence) {
        probe->stage = PROBE_IDLE;
    }
}

static void
receive_ack(struct swim *swim, uint64_t from,
            const struct swim_message *message, int64_t now_ms)
{
    struct roster_entry *entry;

    apply_news(swim, message, now_ms);
    probe_acked(swim, message);
    entry = roster_find(&swim->roster, message->about, NULL);
    if (entry != NULL && message->revision > entry->info.revision) {
        entry->info.revision = message->revision;
    }
    if (from != message->about) {
        return;
    }
    answer_asker(swim, from, message);
    if (swim->refuted && entry != NULL) {
        send_ping(swim, from, 0);
    }
    else if (entry != NULL) {
        tell_what_is_believed(swim, entry, now_ms);
    }
}

static void
receive_ping_req(struct swim *swim, uint64_t from,
                 const struct swim_message *message, int64_t now_ms)
{
    struct relay *relay = &swim->relays[swim->relay_next];
    const struct roster_entry *target;

    apply_news(swim, message, now_ms);
    target = roster_find(&swim->roster, message->about, NULL);
    if (target == NULL || target->candidate || message->about == swim->self) {
        return;
    }
    swim->relay_next = (swim->relay_next + 1) % SWIM_RELAYS_MAX;
    relay->sequence = ++swim->sequence;
    relay->target = message->about;
    relay->asker = from;
    relay->asker_sequence = message->sequence;
    reach_again(swim, target);
    send_ping(swim, message->about, relay->sequence);
}

/* News of a change of state is passed on at once. With the probes alone it
 * took 4 s from the first of 340 simulated members to the last, leaving took
 * 8 s, and at 5% loss a refutation reached some of 40 after their 3 s of
 * suspicion. A new member isn't urgent: when a whole fleet starts, each
 * instance learns of all others. */
static void
spread_urgent(struct swim *swim, int64_t now_ms)
{
    if (swim->urgent && now_ms >= swim->spread_ms) {
        swim->spread_ms = now_ms + SPREAD_INTERVAL_MS;
        spread(swim);
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
    if (from == swim->self) {
        return;
    }
    swim->refuted = false;
    swim->urgent = false;
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
    spread_urgent(swim, now_ms);
}

/**
 * swim_listed() - the list or the settings name an instance
 * @swim: the protocol
 * @info: its record; the start number is not used
 * @now_ms: present time
 *
 * The instance becomes a candidate that is greeted, and a member once it has
 * been heard of, because the list lags.
 */
void
swim_listed(struct swim *swim, const struct member_info *info, int64_t now_ms)
{
    struct roster_entry *entry = roster_find(&swim->roster, info->id, NULL);
    struct handle handle;

    if (info->id == swim->self) {
        return;
    }
    if (entry == NULL && info->state != MEMBER_LEAVING) {
        entry = roster_add(&swim->roster, info, &handle);
        if (entry == NULL) {
            return;
        }
        entry->info.start = 0;
        entry->info.refutation = 0;
        entry->info.state = MEMBER_ALIVE;
        entry->candidate = true;
        entry->hello_ms = now_ms;
        entry->hello_wait_ms = GREET_WAIT_MS;
        reach(swim, entry);
    }
    if (entry == NULL) {
        return;
    }
    entry->listed = true;
    if (entry->candidate &&
        strcmp(entry->info.peer_address, info->peer_address) != 0) {
        memcpy(entry->info.peer_address, info->peer_address,
               sizeof(entry->info.peer_address));
        reach(swim, entry);
    }
}

/**
 * swim_leave() - this instance leaves; the news is spread at once
 * @swim: the protocol
 */
void
swim_leave(struct swim *swim)
{
    struct roster_entry *own = own_entry(swim);

    if (own->leaving) {
        return;
    }
    own->leaving = true;
    roster_touch(&swim->roster, own);
    spread(swim);
}

/* This instance did not run for a while. */
static void
after_freeze(struct swim *swim, int64_t now_ms)
{
    struct roster_entry *own = own_entry(swim);
    struct roster_entry *entry;
    uint32_t cursor = 0;
    uint64_t ids[SPREAD];
    int count;

    log_line(LOG_PRI_WARNING, "member", "event=woke frozen_ms=%lld",
             (long long)(now_ms - swim->tick_ms));
    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        swim->probes[i].stage = PROBE_IDLE;
    }
    swim->probe_ms = now_ms;
    while ((entry = table_next(&swim->roster.entries, &cursor, NULL)) !=
           NULL) {
        if (entry->info.state == MEMBER_SUSPECT) {
            entry->suspect_ms = now_ms;
            entry->until_ms = now_ms + SUSPECT_MS;
        }
    }
    own->info.refutation++;
    roster_touch(&swim->roster, own);
    count = random_members(swim, 0, ids, SPREAD);
    for (int i = 0; i < count; i++) {
        send_hello(swim, ids[i]);
        send_ping(swim, ids[i], 0);
    }
}

/* An own failed probe confirms the suspicion of another member. */
static void
confirm(struct roster_entry *entry)
{
    if (entry->info.state == MEMBER_SUSPECT && entry->suspect_news) {
        entry->until_ms =
            earlier(entry->until_ms, entry->suspect_ms + CONFIRMED_MS);
    }
}

static void
suspect(struct swim *swim, struct handle target, int64_t now_ms)
{
    struct roster_entry *entry = entry_of(swim, target);

    if (entry == NULL || entry->candidate) {
        return;
    }
    if (entry->info.state != MEMBER_ALIVE) {
        confirm(entry);
        return;
    }
    entry->suspect_news = false;
    entry->info.state = MEMBER_SUSPECT;
    roster_touch(&swim->roster, entry);
    after_change(swim, entry->info.id, ROSTER_SUSPECT, now_ms);
    send_ping(swim, entry->info.id, 0);
}

static void
probe_start(struct swim *swim, int64_t now_ms)
{
    struct handle target;

    swim->probe_ms = now_ms + PROBE_INTERVAL_MS;
    if (order_take(swim, &target)) {
        probe_begin(swim, target, now_ms);
    }
}

/* Besides the indirect probes, the target is greeted and pinged again: it may
 * have forgotten this instance, and among two there is no third to ask. */
static void
probe_indirect(struct swim *swim, struct probe *probe, int64_t now_ms)
{
    uint64_t ids[INDIRECT_PROBES];
    int count = random_members(swim, probe->target_id, ids, INDIRECT_PROBES);

    probe->stage = PROBE_INDIRECT;
    probe->until_ms = now_ms + INDIRECT_MS;
    for (int i = 0; i < count; i++) {
        struct swim_message message = {.kind = SWIM_PING_REQ,
                                       .sequence = probe->sequence,
                                       .about = probe->target_id};

        send_message(swim, ids[i], &message);
    }
    send_hello(swim, probe->target_id);
    send_ping(swim, probe->target_id, probe->sequence);
}

static void
probe_tick(struct swim *swim, struct probe *probe, int64_t now_ms)
{
    if (probe->stage == PROBE_DIRECT && now_ms >= probe->until_ms) {
        probe_indirect(swim, probe, now_ms);
    }
    else if (probe->stage == PROBE_INDIRECT && now_ms >= probe->until_ms) {
        probe->stage = PROBE_IDLE;
        suspect(swim, probe->target, now_ms);
    }
}

/* Returns the time at which the probes need attention next. */
static int64_t
probes_tick(struct swim *swim, int64_t now_ms)
{
    int64_t next_ms;

    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        probe_tick(swim, &swim->probes[i], now_ms);
    }
    if (now_ms >= swim->probe_ms) {
        probe_start(swim, now_ms);
    }
    next_ms = swim->probe_ms;
    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        if (swim->probes[i].stage != PROBE_IDLE) {
            next_ms = earlier(next_ms, swim->probes[i].until_ms);
        }
    }
    return next_ms;
}

/**
 * swim_broken() - another instance has closed or refused a connection
 * @swim: the protocol
 * @id: the instance
 * @now_ms: present time
 *
 * It is probed at once, directly and indirectly. One broken link says nothing
 * about the links of others, so only the probe can raise a suspicion.
 */
void
swim_broken(struct swim *swim, uint64_t id, int64_t now_ms)
{
    struct handle handle;
    const struct roster_entry *entry = roster_find(&swim->roster, id, &handle);
    struct probe *probe = probe_of(swim, id);

    if (entry == NULL || id == swim->self || entry->candidate ||
        entry->info.state != MEMBER_ALIVE) {
        return;
    }
    if (probe == NULL) {
        probe = probe_begin(swim, handle, now_ms);
    }
    if (probe != NULL && probe->stage == PROBE_DIRECT) {
        probe_indirect(swim, probe, now_ms);
    }
}

static void
dead_expired(struct swim *swim, struct roster_entry *entry,
             struct handle handle, int64_t now_ms)
{
    if (!entry->listed) {
        swim->port->ops->forget(swim->port, entry->info.id);
        roster_remove(&swim->roster, handle);
        return;
    }
    entry->candidate = true;
    entry->leaving = false;
    entry->info.state = MEMBER_ALIVE;
    entry->info.start = 0;
    entry->info.refutation = 0;
    greet_later(entry, GREET_WAIT_MAX_MS, now_ms);
    swim->roster.published = false;
}

/* Returns the time at which the entry needs attention next. */
static int64_t
entry_tick(struct swim *swim, struct roster_entry *entry, struct handle handle,
           int64_t now_ms)
{
    if (entry->candidate || entry->info.state == MEMBER_ALIVE) {
        return INT64_MAX;
    }
    if (now_ms < entry->until_ms) {
        return entry->until_ms;
    }
    if (entry->info.state == MEMBER_DEAD) {
        dead_expired(swim, entry, handle, now_ms);
        return INT64_MAX;
    }
    entry->info.state = MEMBER_DEAD;
    roster_touch(&swim->roster, entry);
    after_change(swim, entry->info.id, ROSTER_DEAD, now_ms);
    return entry->until_ms;
}

static void
greet(struct swim *swim, struct roster_entry *entry, int64_t now_ms)
{
    int64_t wait_ms = entry->hello_wait_ms * 2;

    greet_later(entry,
                wait_ms < GREET_WAIT_MAX_MS ? wait_ms : GREET_WAIT_MAX_MS,
                now_ms);
    reach_again(swim, entry);
    send_hello(swim, entry->info.id);
}

/* Walks the roster from a random slot on, so that instances that start
 * together don't all greet the same ones first. */
static void
greet_due(struct swim *swim, int64_t now_ms)
{
    uint32_t first = random_below(swim, MEMBERS_MAX);
    struct roster_entry *entry;
    uint32_t cursor = first;
    bool wrapped = false;
    int left = GREET_MAX;

    while (left > 0 && !(wrapped && cursor >= first)) {
        entry = table_next(&swim->roster.entries, &cursor, NULL);
        if (entry == NULL) {
            if (wrapped) {
                break;
            }
            wrapped = true;
            cursor = 0;
            continue;
        }
        if (!roster_is_member(entry) && now_ms >= entry->hello_ms) {
            greet(swim, entry, now_ms);
            swim->hello_ms = now_ms + GREET_INTERVAL_MS;
            left--;
        }
    }
}

/* Greets candidates, and dead instances in case only the path was broken.
 * Returns the time of the next greeting. */
static int64_t
greet_tick(struct swim *swim, int64_t now_ms)
{
    const struct roster_entry *entry;
    uint32_t cursor = 0;
    int64_t next_ms = INT64_MAX;

    if (now_ms >= swim->hello_ms) {
        greet_due(swim, now_ms);
    }
    while ((entry = table_next(&swim->roster.entries, &cursor, NULL)) !=
           NULL) {
        if (!roster_is_member(entry)) {
            next_ms = earlier(next_ms, entry->hello_ms);
        }
    }
    return next_ms > swim->hello_ms ? next_ms : swim->hello_ms;
}

/**
 * swim_tick() - serve the timers
 * @swim: the protocol
 * @now_ms: present time
 *
 * Return: time of the next call.
 */
int64_t
swim_tick(struct swim *swim, int64_t now_ms)
{
    struct roster_entry *entry;
    struct handle handle;
    uint32_t cursor = 0;
    int64_t next_ms;

    if (swim->tick_ms != 0 && now_ms - swim->tick_ms >= FROZEN_MS) {
        after_freeze(swim, now_ms);
    }
    swim->tick_ms = now_ms;
    next_ms = probes_tick(swim, now_ms);
    while ((entry = table_next(&swim->roster.entries, &cursor, &handle)) !=
           NULL) {
        next_ms = earlier(next_ms, entry_tick(swim, entry, handle, now_ms));
    }
    return earlier(next_ms, greet_tick(swim, now_ms));
}

/**
 * swim_init() - begin to take part
 * @swim: the protocol
 * @self: this instance
 * @seed: seed of the random numbers
 * @port: effects
 * @err: filled in on failure
 */
bool
swim_init(struct swim *swim, const struct member_info *self, uint64_t seed,
          struct swim_port *port, struct err *err)
{
    struct roster_entry *own;

    memset(swim, 0, sizeof(*swim));
    if (!roster_init(&swim->roster, err)) {
        return false;
    }
    swim->port = port;
    swim->self = self->id;
    swim->random = seed;
    own = roster_add(&swim->roster, self, &swim->own);
    own->info.state = MEMBER_ALIVE;
    own->leaving = false;
    roster_touch(&swim->roster, own);
    return true;
}

/**
 * swim_free() - release the protocol's state
 * @swim: the protocol
 */
void
swim_free(struct swim *swim)
{
    roster_free(&swim->roster);
}
