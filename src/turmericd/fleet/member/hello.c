/**
 * DOC: Hello messages to candidates and dead instances.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/member/internal.h"

enum {
    HELLO_INTERVAL_MS = 250,
    HELLO_BATCH_MAX = 4,
};

void
hello_set_address(struct swim *swim, const struct member_entry *entry)
{
    swim->port->ops->set_address(swim->port, entry->info.id,
                                 entry->info.peer_address);
}

/* The transport may have dropped the address of an instance that is not an
 * active member. */
void
hello_restore_address(struct swim *swim, const struct member_entry *entry)
{
    if (!member_entry_is_active(entry)) {
        hello_set_address(swim, entry);
    }
}

void
hello_schedule(struct member_entry *entry, int64_t backoff_ms, int64_t now_ms)
{
    entry->hello_backoff_ms = backoff_ms;
    entry->next_hello_ms = now_ms + backoff_ms;
}

static void
hello_retry(struct swim *swim, struct member_entry *entry, int64_t now_ms)
{
    int64_t backoff_ms = entry->hello_backoff_ms * 2;

    hello_schedule(entry,
                   backoff_ms < HELLO_BACKOFF_MAX_MS ? backoff_ms
                                                     : HELLO_BACKOFF_MAX_MS,
                   now_ms);
    hello_restore_address(swim, entry);
    send_hello(swim, entry->info.id);
}

/* Walks the member table from a random slot, so that instances that start
 * together don't all send their first Hello to the same ones. */
static void
hello_send_due(struct swim *swim, int64_t now_ms)
{
    uint32_t first = swim_random_below(swim, MEMBERS_MAX);
    struct member_entry *entry;
    uint32_t cursor = first;
    bool wrapped = false;
    int remaining = HELLO_BATCH_MAX;

    while (remaining > 0 && !(wrapped && cursor >= first)) {
        entry = table_next(&swim->members.entries, &cursor, NULL);
        if (entry == NULL) {
            if (wrapped) {
                break;
            }
            wrapped = true;
            cursor = 0;
            continue;
        }
        if (!member_entry_is_active(entry) && now_ms >= entry->next_hello_ms) {
            hello_retry(swim, entry, now_ms);
            swim->next_hello_ms = now_ms + HELLO_INTERVAL_MS;
            remaining--;
        }
    }
}

/* Sends Hello messages that are due. Dead instances get them too, in case only
 * the network path was broken. Returns the time of the next call. */
int64_t
hello_tick(struct swim *swim, int64_t now_ms)
{
    const struct member_entry *entry;
    uint32_t cursor = 0;
    int64_t next_ms = INT64_MAX;

    if (now_ms >= swim->next_hello_ms) {
        hello_send_due(swim, now_ms);
    }
    while ((entry = table_next(&swim->members.entries, &cursor, NULL)) !=
           NULL) {
        if (!member_entry_is_active(entry)) {
            next_ms = time_earlier(next_ms, entry->next_hello_ms);
        }
    }
    return next_ms > swim->next_hello_ms ? next_ms : swim->next_hello_ms;
}
