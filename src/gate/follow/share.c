/**
 * DOC: Which instances call the store.
 *
 * Every change is a call for every instance that watches, and calls are
 * charged and limited. Where there are many instances, one of each data centre
 * watches, and passes on what it reads. The others apply it only if it
 * connects to what they know, and call the store themselves, one after the
 * other, when nothing was passed on for a while. A message that arrives says
 * nothing about the time at which the store was read, nor one that reaches
 * others about this instance. So each of them also calls the store when it has
 * no proof (fresh.c) that its knowledge is recent. Within
 * change_apply_ms / 2 + RANK_SPREAD_MS an instance that reaches the store has
 * called it.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"

enum {
    /* With fewer instances the calls are few, and one that is stopped or cut
     * off would delay a larger part of the others. */
    SHARING_MEMBERS_MIN = 9,
    /* Some messages may be lost. */
    HEARD_MAX_AGE_MS = 1200,
    /* Instances that hear nothing call the store one after the other, so that
     * most hear from the first of them. The first ones may be gone, so the
     * last one's turn is bounded as well. */
    RANK_STEP_MS = 150,
    RANK_SPREAD_MS = 600,
    /* Delay between two watches: 25 ms per instance that calls limit all of
     * them together to 40 calls/s, because each call is charged. The bounds,
     * which take precedence, are a fifth and a half of the time in which
     * deployments expect a change to apply. */
    DELAY_MS_PER_CALLER = 25,
    DELAY_MIN_MS = 400,
    DELAY_MAX_MS = 1000,
};

/* Whether an instance calls the store before another one of its data centre:
 * what it passes on goes over its link as often as there are others. */
static bool
calls_before(const struct gate_member *a, const struct gate_member *b)
{
    return a->link_mbps != b->link_mbps ? a->link_mbps > b->link_mbps
                                        : a->id < b->id;
}

/**
 * share_update() - update from the member list
 * @share: updated, but for @heard_ms
 * @members: store key -> struct gate_member
 * @self: this instance, listed or not; its id, data centre and link
 */
void
share_update(struct share *share, GHashTable *members,
             const struct gate_member *self)
{
    GHashTable *zones = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    void *value;

    share->rank = 0;
    share->zone_members = 0;
    g_hash_table_iter_init(&iter, members);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct gate_member *member = value;

        g_hash_table_add(zones, member->zone);
        if (strcmp(member->zone, self->zone) == 0) {
            share->zone_members++;
            share->rank += calls_before(member, self) ? 1 : 0;
        }
    }
    share->data_centres = (int)g_hash_table_size(zones);
    share->sharing = g_hash_table_size(members) >= SHARING_MEMBERS_MIN;
    g_hash_table_destroy(zones);
}

/**
 * share_connects() - whether changes continue what is known
 * @changes: changes that another instance has read
 * @known: revision up to which this instance knows all; 0 for nothing
 * @era: era of the store in which it does; its revisions mean nothing in
 *       another one
 */
bool
share_connects(const struct store_changes *changes, int64_t known, int64_t era)
{
    int64_t revision = changes->items.revision;

    return known != 0 && changes->era == era && changes->after > 0 &&
           changes->after <= known && revision >= changes->after &&
           revision <= STORE_REVISION_MAX;
}

/* How long after the first one this instance calls the store. */
static int64_t
turn_ms(const struct share *share)
{
    int64_t step_ms =
        MIN(RANK_STEP_MS, RANK_SPREAD_MS / MAX(share->zone_members, 1));

    return share->rank * step_ms;
}

/**
 * share_call_at_ms() - when this instance should call the store itself
 * @share: the share
 * @boot_offset_ms: by how much clock_boot_ms() is ahead of clock_now_ms()
 *
 * Return: a time by clock_now_ms(); 0 when it should call in any case.
 */
int64_t
share_call_at_ms(const struct share *share, int64_t boot_offset_ms)
{
    int64_t due_ms = share->heard_ms + HEARD_MAX_AGE_MS;

    if (!share->sharing || share->rank == 0 || share->heard_ms == 0) {
        return 0;
    }
    if (share->proof_max_ms > 0) {
        due_ms = MIN(due_ms,
                     share->proven_ms - boot_offset_ms + share->proof_max_ms);
    }
    return due_ms + turn_ms(share);
}

static bool
is_recent(const struct share *share, int64_t boot_ms)
{
    return share->proof_max_ms == 0 ||
           boot_ms - share->proven_ms < 2 * share->proof_max_ms;
}

/**
 * share_passes_on() - whether what this instance reads is for others, too
 * @share: the share, as before the call
 * @asked: others wait for an answer of this instance
 * @now_ms: when the call ended
 * @boot_ms: the same by clock_boot_ms()
 *
 * While another instance is heard, it passes on what all need. What an
 * instance has missed that was out of touch, the others know; it may be long.
 */
bool
share_passes_on(const struct share *share, bool asked, int64_t now_ms,
                int64_t boot_ms)
{
    bool is_reader = share->rank == 0 || asked || share->heard_ms == 0 ||
                     now_ms - share->heard_ms >= HEARD_MAX_AGE_MS;

    return share->sharing && is_reader && is_recent(share, boot_ms);
}

/**
 * share_delay_ms() - delay between two calls of an instance
 * @share: the share
 * @members: number of instances
 */
int64_t
share_delay_ms(const struct share *share, int members)
{
    int callers = share->sharing ? share->data_centres : members;

    return CLAMP((int64_t)callers * DELAY_MS_PER_CALLER, DELAY_MIN_MS,
                 DELAY_MAX_MS);
}
