/**
 * DOC: Membership protocol (SWIM): state changes and timers.
 *
 * It only decides: the time and the random seed are arguments, and effects go
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
    SUSPICION_MS = 3000,
    DEAD_RETENTION_MS = 60000,
    /* A gap this long between two ticks means that this instance did not
     * run: its view is out of date, and the others may have declared it
     * dead. */
    PAUSE_MIN_MS = 2000,
    HELLO_BACKOFF_MIN_MS = 1000,
    HELLO_DEAD_BACKOFF_MS = 10000,
};

/* Handles a change of an entry, by this instance or by an update. */
void
swim_entry_changed(struct swim *swim, uint64_t id, enum entry_change change,
                   int64_t now_ms)
{
    struct handle handle;
    struct member_entry *entry =
        member_table_find(&swim->members, id, &handle);

    if (entry == NULL || change == ENTRY_UNCHANGED) {
        return;
    }
    swim->urgent_update = swim->urgent_update || change != ENTRY_NEW;
    if (change == ENTRY_LEAVING) {
        return;
    }
    if (change == ENTRY_DEAD) {
        counter_add(CTR_MEMBER_DEAD, 1);
        entry->expires_ms = now_ms + DEAD_RETENTION_MS;
        hello_schedule(entry, HELLO_DEAD_BACKOFF_MS, now_ms);
        swim->port->ops->drop_peer(swim->port, id);
        return;
    }
    hello_set_address(swim, entry);
    if (entry->info.state == MEMBER_SUSPECT) {
        entry->suspected_ms = now_ms;
        entry->expires_ms = now_ms + SUSPICION_MS;
    }
    if (change == ENTRY_NEW) {
        probe_order_insert(swim, handle);
    }
}

/**
 * swim_add_listed() - add an instance that the instance list or the
 * settings name
 * @swim: the protocol
 * @info: its record; the start time is not used
 * @now_ms: current time
 *
 * The instance becomes a candidate, and a member only once it has been heard
 * of, because the list lags behind.
 */
void
swim_add_listed(struct swim *swim, const struct member_info *info,
                int64_t now_ms)
{
    struct member_entry *entry =
        member_table_find(&swim->members, info->id, NULL);
    struct handle handle;

    if (info->id == swim->self_id) {
        return;
    }
    if (entry == NULL && info->state != MEMBER_LEAVING) {
        entry = member_table_add(&swim->members, info, &handle);
        if (entry == NULL) {
            return;
        }
        entry->info.started_ms = 0;
        entry->info.refutation = 0;
        entry->info.state = MEMBER_ALIVE;
        entry->candidate = true;
        entry->next_hello_ms = now_ms;
        entry->hello_backoff_ms = HELLO_BACKOFF_MIN_MS;
        hello_set_address(swim, entry);
    }
    if (entry == NULL) {
        return;
    }
    entry->listed = true;
    if (entry->candidate &&
        strcmp(entry->info.peer_address, info->peer_address) != 0) {
        memcpy(entry->info.peer_address, info->peer_address,
               sizeof(entry->info.peer_address));
        hello_set_address(swim, entry);
    }
}

/**
 * swim_leave() - announce at once that this instance leaves
 * @swim: the protocol
 */
void
swim_leave(struct swim *swim)
{
    struct member_entry *own = swim_self_entry(swim);

    if (own->leaving) {
        return;
    }
    own->leaving = true;
    member_table_mark_changed(&swim->members, own);
    send_gossip(swim);
}

/* Runs after this instance was paused. The suspects get their whole time to
 * refute again, and the other members learn that this instance is alive. */
static void
resume_after_pause(struct swim *swim, int64_t now_ms)
{
    struct member_entry *own = swim_self_entry(swim);
    struct member_entry *entry;
    uint32_t cursor = 0;
    uint64_t ids[GOSSIP_FANOUT];
    int count;

    log_line(LOG_PRI_WARNING, "member", "event=woke frozen_ms=%lld",
             (long long)(now_ms - swim->last_tick_ms));
    for (int i = 0; i < SWIM_PROBES_MAX; i++) {
        swim->probes[i].stage = PROBE_IDLE;
    }
    swim->next_probe_ms = now_ms;
    while ((entry = table_next(&swim->members.entries, &cursor, NULL)) !=
           NULL) {
        if (entry->info.state == MEMBER_SUSPECT) {
            entry->suspected_ms = now_ms;
            entry->expires_ms = now_ms + SUSPICION_MS;
        }
    }
    own->info.refutation++;
    member_table_mark_changed(&swim->members, own);
    count = swim_random_members(swim, 0, ids, GOSSIP_FANOUT);
    for (int i = 0; i < count; i++) {
        send_hello(swim, ids[i]);
        send_ping(swim, ids[i], 0);
    }
}

static void
expire_dead(struct swim *swim, struct member_entry *entry,
            struct handle handle, int64_t now_ms)
{
    if (!entry->listed) {
        swim->port->ops->drop_peer(swim->port, entry->info.id);
        member_table_remove(&swim->members, handle);
        return;
    }
    entry->candidate = true;
    entry->leaving = false;
    entry->info.state = MEMBER_ALIVE;
    entry->info.started_ms = 0;
    entry->info.refutation = 0;
    hello_schedule(entry, HELLO_BACKOFF_MAX_MS, now_ms);
    swim->members.published = false;
}

/* Returns the time at which the entry needs attention next. */
static int64_t
entry_tick(struct swim *swim, struct member_entry *entry, struct handle handle,
           int64_t now_ms)
{
    if (entry->candidate || entry->info.state == MEMBER_ALIVE) {
        return INT64_MAX;
    }
    if (now_ms < entry->expires_ms) {
        return entry->expires_ms;
    }
    if (entry->info.state == MEMBER_DEAD) {
        expire_dead(swim, entry, handle, now_ms);
        return INT64_MAX;
    }
    entry->info.state = MEMBER_DEAD;
    member_table_mark_changed(&swim->members, entry);
    swim_entry_changed(swim, entry->info.id, ENTRY_DEAD, now_ms);
    return entry->expires_ms;
}

/**
 * swim_tick() - handle expired timers
 * @swim: the protocol
 * @now_ms: current time
 *
 * Return: time of the next call.
 */
int64_t
swim_tick(struct swim *swim, int64_t now_ms)
{
    struct member_entry *entry;
    struct handle handle;
    uint32_t cursor = 0;
    int64_t next_ms;

    if (swim->last_tick_ms != 0 &&
        now_ms - swim->last_tick_ms >= PAUSE_MIN_MS) {
        resume_after_pause(swim, now_ms);
    }
    swim->last_tick_ms = now_ms;
    next_ms = probes_tick(swim, now_ms);
    while ((entry = table_next(&swim->members.entries, &cursor, &handle)) !=
           NULL) {
        next_ms =
            time_earlier(next_ms, entry_tick(swim, entry, handle, now_ms));
    }
    return time_earlier(next_ms, hello_tick(swim, now_ms));
}

/**
 * swim_init() - initialize the protocol with this instance as the only member
 * @swim: the protocol
 * @self: this instance
 * @seed: seed of the random numbers
 * @port: effects of the protocol
 * @err: filled in on failure
 */
bool
swim_init(struct swim *swim, const struct member_info *self, uint64_t seed,
          struct swim_port *port, struct err *err)
{
    struct member_entry *own;

    memset(swim, 0, sizeof(*swim));
    if (!member_table_init(&swim->members, err)) {
        return false;
    }
    swim->port = port;
    swim->self_id = self->id;
    swim->random_state = seed;
    own = member_table_add(&swim->members, self, &swim->self_handle);
    own->info.state = MEMBER_ALIVE;
    own->leaving = false;
    member_table_mark_changed(&swim->members, own);
    return true;
}

/**
 * swim_free() - release the state of the protocol
 * @swim: the protocol
 */
void
swim_free(struct swim *swim)
{
    member_table_free(&swim->members);
}
