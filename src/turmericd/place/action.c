/**
 * DOC: Next action for a leaf, from the status of its slots.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

/**
 * slot_usable() - whether requests can be routed to the replica of a slot
 * @slot: the slot
 */
bool
slot_usable(const struct slot_status *slot)
{
    return slot->has_item && slot->state == ITEM_LOADED &&
           slot->engine_state == ENGINE_LIVE && !slot->restarted &&
           !slot->missing;
}

static bool
is_reachable(const struct slot_status *slot)
{
    return slot->engine_state == ENGINE_LIVE ||
           slot->engine_state == ENGINE_DRAINING;
}

static int
usable_count(const struct slot_status *slots, int count)
{
    int usable = 0;

    for (int i = 0; i < count; i++) {
        usable += slot_usable(&slots[i]) ? 1 : 0;
    }
    return usable;
}

/* Above replicas_max the slots with the lowest rank are removed first. A model
 * can't be unloaded from an engine that holds adapters of it. */
static int
retention_rank(const struct slot_status *slot)
{
    if (slot_usable(slot)) {
        return slot->has_adapters ? 4 : 3;
    }
    if (slot->has_item && slot->state == ITEM_LOADING) {
        return 2;
    }
    return slot->engine_state == ENGINE_DRAINING ? 1 : 0;
}

/* Whether this slot is to be removed because replicas_max is exceeded. */
static bool
is_excess(const struct leaf_status *leaf, const struct slot_status *slots,
          int count, int index)
{
    int before = 0;

    for (int i = 0; i < count; i++) {
        int difference =
            retention_rank(&slots[i]) - retention_rank(&slots[index]);

        if (difference > 0 || (difference == 0 && i < index)) {
            before++;
        }
    }
    return before >= leaf->replicas_max;
}

static bool
is_needed(const struct leaf_status *leaf, const struct slot_status *slots,
          int count)
{
    return leaf->requested || usable_count(slots, count) < leaf->replicas_min;
}

/* A replica on a draining engine stays while another can be loaded first. */
static bool
draining_can_unload(const struct leaf_status *leaf,
                    const struct slot_status *slots, int count)
{
    return count >= leaf->replicas_max || usable_count(slots, count) > 0 ||
           (leaf->idle && !is_needed(leaf, slots, count));
}

static bool
loaded_must_unload(const struct leaf_status *leaf,
                   const struct slot_status *slots, int count, int index)
{
    const struct slot_status *slot = &slots[index];

    if (is_excess(leaf, slots, count, index) || slot->missing) {
        return true;
    }
    if (slot->engine_state == ENGINE_DRAINING) {
        return draining_can_unload(leaf, slots, count);
    }
    if (leaf->requested || usable_count(slots, count) <= leaf->replicas_min) {
        return false;
    }
    return slot->evict_requested || leaf->idle;
}

/*
 * Senders are queried before another order is sent: the engine may still be
 * executing theirs, and could count the memory of the leaf twice after a
 * second load. A sender that does not reply may be paused; it is not waited
 * for.
 */
static bool
must_query_senders(const struct slot_status *slot)
{
    return slot->unsettled > 0 && !slot->unresponsive;
}

/* Action for a slot that is not needed and not known to be loaded. */
static enum action_kind
unneeded_action(const struct slot_status *slot)
{
    if (slot->state == ITEM_UNLOADING) {
        return ACTION_UNLOAD;
    }
    if (must_query_senders(slot)) {
        return ACTION_QUERY_SENDERS;
    }
    if (slot->state == ITEM_IN_DOUBT && slot->unsettled > 0 &&
        !slot->checks_fence) {
        return ACTION_QUERY_SENDERS;
    }
    return ACTION_UNLOAD;
}

static enum action_kind
unfinished_action(const struct leaf_status *leaf,
                  const struct slot_status *slots, int count, int index)
{
    const struct slot_status *slot = &slots[index];

    if (is_excess(leaf, slots, count, index) ||
        slot->engine_state == ENGINE_DRAINING ||
        !is_needed(leaf, slots, count)) {
        return unneeded_action(slot);
    }
    /* ACTION_ADOPT removes settled senders and adds one. */
    if (must_query_senders(slot) || slot->unsettled == ITEM_SENDERS_MAX) {
        return ACTION_QUERY_SENDERS;
    }
    return ACTION_ADOPT;
}

static enum action_kind
slot_action(const struct leaf_status *leaf, const struct slot_status *slots,
            int count, int index)
{
    const struct slot_status *slot = &slots[index];

    if (!slot->has_item) {
        return slot->orphan ? ACTION_CLEAR : ACTION_NONE;
    }
    if (slot->engine_state == ENGINE_GONE) {
        return slot->unsettled > 0 ? ACTION_QUERY_SENDERS : ACTION_UNLOAD;
    }
    if (!is_reachable(slot)) {
        return ACTION_NONE;
    }
    if (slot->restarted) {
        return ACTION_CLEAR;
    }
    if (slot->state != ITEM_LOADED) {
        return unfinished_action(leaf, slots, count, index);
    }
    return loaded_must_unload(leaf, slots, count, index) ? ACTION_UNLOAD
                                                         : ACTION_NONE;
}

static bool
needs_new_replica(const struct leaf_status *leaf,
                  const struct slot_status *slots, int count)
{
    int usable = usable_count(slots, count);

    if (count >= leaf->replicas_max) {
        return false;
    }
    for (int i = 0; i < count; i++) {
        if (slots[i].engine_state == ENGINE_DRAINING && usable == 0 &&
            !leaf->idle) {
            return true;
        }
    }
    return usable < leaf->replicas_min || (leaf->requested && usable == 0) ||
           (leaf->scale_out && usable > 0);
}

/**
 * leaf_next_action() - select the next action for a leaf
 * @leaf: the leaf
 * @slots: its slots
 * @count: number of @slots
 *
 * A replica that calls wait for comes first, then slots to be loaded again,
 * unloaded or cleared. Queries to senders come last, as they change no record.
 */
struct leaf_action
leaf_next_action(const struct leaf_status *leaf,
                 const struct slot_status *slots, int count)
{
    struct leaf_action ask_senders = {ACTION_NONE, -1};

    if (needs_new_replica(leaf, slots, count)) {
        return (struct leaf_action){ACTION_LOAD, -1};
    }
    for (int i = 0; i < count; i++) {
        struct leaf_action action = {slot_action(leaf, slots, count, i), i};

        if (action.kind == ACTION_QUERY_SENDERS) {
            ask_senders = action;
        }
        else if (action.kind != ACTION_NONE) {
            return action;
        }
    }
    return ask_senders;
}
