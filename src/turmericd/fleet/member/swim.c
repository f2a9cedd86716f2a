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
#include "turmericd/fleet/member/internal.h"

enum {
    SUSPECT_MS = 3000,
    DEAD_KEPT_MS = 60000,
    /* A gap this long between two ticks means that this instance did not
     * run: what it believes is old, and the others may have given it up. */
    FROZEN_MS = 2000,
    GREET_WAIT_MS = 1000,
    GREET_DEAD_WAIT_MS = 10000,
};

/* Effects of a change of an entry, whether own or by news. */
void
swim_changed(struct swim *swim, uint64_t id, enum roster_change change,
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
    greet_reach(swim, entry);
    if (entry->info.state == MEMBER_SUSPECT) {
        entry->suspect_ms = now_ms;
        entry->until_ms = now_ms + SUSPECT_MS;
    }
    if (change == ROSTER_NEW) {
        probe_insert(swim, handle);
    }
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
        greet_reach(swim, entry);
    }
    if (entry == NULL) {
        return;
    }
    entry->listed = true;
    if (entry->candidate &&
        strcmp(entry->info.peer_address, info->peer_address) != 0) {
        memcpy(entry->info.peer_address, info->peer_address,
               sizeof(entry->info.peer_address));
        greet_reach(swim, entry);
    }
}

/**
 * swim_leave() - this instance leaves; the news is spread at once
 * @swim: the protocol
 */
void
swim_leave(struct swim *swim)
{
    struct roster_entry *own = swim_own(swim);

    if (own->leaving) {
        return;
    }
    own->leaving = true;
    roster_touch(&swim->roster, own);
    send_spread(swim);
}

/* This instance did not run for a while. */
static void
after_freeze(struct swim *swim, int64_t now_ms)
{
    struct roster_entry *own = swim_own(swim);
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
    count = swim_random_members(swim, 0, ids, SPREAD);
    for (int i = 0; i < count; i++) {
        send_hello(swim, ids[i]);
        send_ping(swim, ids[i], 0);
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
    swim_changed(swim, entry->info.id, ROSTER_DEAD, now_ms);
    return entry->until_ms;
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
        next_ms =
            time_earlier(next_ms, entry_tick(swim, entry, handle, now_ms));
    }
    return time_earlier(next_ms, greet_tick(swim, now_ms));
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
