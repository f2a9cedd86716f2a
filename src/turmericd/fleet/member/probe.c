/**
 * DOC: Probes of members, and the suspicions that follow.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/member/internal.h"

enum {
    /* A crash is detected within 5 s: with four probes a second from each
     * member, 95% of crashed members are probed within 0.75 s at any size of
     * the fleet; the probe takes 0.6 s and a confirmed suspicion 2 s, which
     * leaves over 1 s for the news. */
    PROBE_INTERVAL_MS = 250,
    DIRECT_MS = 300,
    INDIRECT_MS = 300,
    INDIRECT_PROBES = 2,
    /* Two members that failed to reach a suspect on their own are much less
     * likely to be wrong than one. 2 s still leave it four rounds of urgent
     * news to refute. */
    CONFIRMED_MS = 2000,
    /* Members that probe a suspect on the news of it: enough that the loss of
     * some of them doesn't matter, and few at 340 members. */
    CONFIRMERS = 4,
};

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
        order_swap(swim, i, (int)swim_random(swim, (uint32_t)i + 1));
    }
}

/* A new member gets a random place among those that are still to be probed,
 * so that it needn't wait for the end of a long round. */
void
probe_insert(struct swim *swim, struct handle handle)
{
    int left = swim->order_count - swim->order_next;

    if (swim->order_count == MEMBERS_MAX) {
        return;
    }
    swim->order[swim->order_count++] = handle;
    order_swap(swim, swim->order_count - 1,
               swim->order_next + (int)swim_random(swim, (uint32_t)left + 1));
}

/* Returns false when there is nobody to probe. */
static bool
order_take(struct swim *swim, struct handle *handle)
{
    for (int rounds = 0; rounds < 2; rounds++) {
        while (swim->order_next < swim->order_count) {
            const struct roster_entry *entry;

            *handle = swim->order[swim->order_next++];
            entry = swim_entry(swim, *handle);
            if (entry != NULL && roster_is_member(entry)) {
                return true;
            }
        }
        order_renew(swim);
    }
    return false;
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
    uint64_t id = swim_entry(swim, target)->info.id;
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
void
probe_suspected(struct swim *swim, uint64_t id, int64_t now_ms)
{
    struct handle handle;
    struct roster_entry *entry = roster_find(&swim->roster, id, &handle);

    entry->suspect_news = true;
    if (is_confirmer(swim, id)) {
        probe_begin(swim, handle, now_ms);
    }
}

void
probe_acked(struct swim *swim, const struct swim_message *message)
{
    struct probe *probe = probe_of(swim, message->about);

    if (probe != NULL && probe->sequence == message->sequence) {
        probe->stage = PROBE_IDLE;
    }
}

/* An own failed probe confirms the suspicion of another member. */
static void
confirm(struct roster_entry *entry)
{
    if (entry->info.state == MEMBER_SUSPECT && entry->suspect_news) {
        entry->until_ms =
            time_earlier(entry->until_ms, entry->suspect_ms + CONFIRMED_MS);
    }
}

static void
suspect(struct swim *swim, struct handle target, int64_t now_ms)
{
    struct roster_entry *entry = swim_entry(swim, target);

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
    swim_changed(swim, entry->info.id, ROSTER_SUSPECT, now_ms);
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
    int count =
        swim_random_members(swim, probe->target_id, ids, INDIRECT_PROBES);

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
int64_t
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
            next_ms = time_earlier(next_ms, swim->probes[i].until_ms);
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
