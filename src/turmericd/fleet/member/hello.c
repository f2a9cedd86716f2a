/**
 * DOC: Greetings of candidates, and of dead instances.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/member/internal.h"

enum {
    GREET_INTERVAL_MS = 250,
    GREET_MAX = 4,
};

void
greet_reach(struct swim *swim, const struct roster_entry *entry)
{
    swim->port->ops->address(swim->port, entry->info.id,
                             entry->info.peer_address);
}

/* The address of an instance that is no member may have been forgotten. */
void
greet_reach_again(struct swim *swim, const struct roster_entry *entry)
{
    if (!roster_is_member(entry)) {
        greet_reach(swim, entry);
    }
}

void
greet_later(struct roster_entry *entry, int64_t wait_ms, int64_t now_ms)
{
    entry->hello_wait_ms = wait_ms;
    entry->hello_ms = now_ms + wait_ms;
}

static void
greet(struct swim *swim, struct roster_entry *entry, int64_t now_ms)
{
    int64_t wait_ms = entry->hello_wait_ms * 2;

    greet_later(entry,
                wait_ms < GREET_WAIT_MAX_MS ? wait_ms : GREET_WAIT_MAX_MS,
                now_ms);
    greet_reach_again(swim, entry);
    send_hello(swim, entry->info.id);
}

/* Walks the roster from a random slot on, so that instances that start
 * together don't all greet the same ones first. */
static void
greet_due(struct swim *swim, int64_t now_ms)
{
    uint32_t first = swim_random(swim, MEMBERS_MAX);
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
int64_t
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
            next_ms = time_earlier(next_ms, entry->hello_ms);
        }
    }
    return next_ms > swim->hello_ms ? next_ms : swim->hello_ms;
}
