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
    TELL_INTERVAL_MS = 1000,
    /* A newcomer is told all members by those it greets. When a whole fleet
     * starts at once everybody is a newcomer, so each instance limits how
     * often it does that; the rest is learned from news. */
    INTRODUCE_INTERVAL_MS = 500,
    SPREAD_INTERVAL_MS = 500,
};

static void
refute(struct swim *swim, const struct member_info *news)
{
    struct roster_entry *own = swim_own(swim);

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
            swim_changed(swim, news->id, change, now_ms);
        }
        if (change == ROSTER_SUSPECT) {
            probe_suspected(swim, news->id, now_ms);
        }
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
    greet_reach_again(swim, entry);
    send_add_news(&ack, swim_own(swim));
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
    greet_reach_again(swim, entry);
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
    greet_reach_again(swim, entry);
    send_ping(swim, entry->info.id, 0);
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
    greet_reach_again(swim, target);
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
        send_spread(swim);
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
