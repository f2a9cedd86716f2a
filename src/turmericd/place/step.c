/**
 * DOC: Next step for a leaf, from facts about its slots.
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
 * slot_usable() - whether requests can be routed to a replica
 * @slot: the slot
 */
bool
slot_usable(const struct slot_facts *slot)
{
    return slot->has_item && slot->state == ITEM_LOADED &&
           slot->engine == ENGINE_LIVE && !slot->restarted && !slot->missing;
}

static bool
reachable(const struct slot_facts *slot)
{
    return slot->engine == ENGINE_LIVE || slot->engine == ENGINE_LEAVING;
}

static int
usable_count(const struct slot_facts *slots, int count)
{
    int usable = 0;

    for (int i = 0; i < count; i++) {
        usable += slot_usable(&slots[i]) ? 1 : 0;
    }
    return usable;
}

/* The later a slot goes when there are more than replicas_max. */
static int
worth(const struct slot_facts *slot)
{
    if (slot_usable(slot)) {
        return 3;
    }
    if (slot->has_item && slot->state == ITEM_LOADING) {
        return 2;
    }
    return slot->engine == ENGINE_LEAVING ? 1 : 0;
}

/* Whether this slot is one of the replicas above replicas_max. */
static bool
in_excess(const struct leaf_facts *leaf, const struct slot_facts *slots,
          int count, int index)
{
    int before = 0;

    for (int i = 0; i < count; i++) {
        int difference = worth(&slots[i]) - worth(&slots[index]);

        if (difference > 0 || (difference == 0 && i < index)) {
            before++;
        }
    }
    return before >= leaf->limit;
}

static bool
needs_leaf(const struct leaf_facts *leaf, const struct slot_facts *slots,
           int count)
{
    return leaf->wanted || usable_count(slots, count) < leaf->min;
}

/* A leaving engine keeps its replica while another one can be loaded first. */
static bool
leaves_now(const struct leaf_facts *leaf, const struct slot_facts *slots,
           int count)
{
    return count >= leaf->limit || usable_count(slots, count) > 0 ||
           (leaf->idle && !needs_leaf(leaf, slots, count));
}

static bool
loaded_must_go(const struct leaf_facts *leaf, const struct slot_facts *slots,
               int count, int index)
{
    const struct slot_facts *slot = &slots[index];

    if (in_excess(leaf, slots, count, index) || slot->missing) {
        return true;
    }
    if (slot->engine == ENGINE_LEAVING) {
        return leaves_now(leaf, slots, count);
    }
    if (leaf->wanted || usable_count(slots, count) <= leaf->min) {
        return false;
    }
    return slot->evict || leaf->idle;
}

/*
 * Senders are asked before anything is sent after their orders: the engine
 * may be carrying one out, and a second load of the same leaf could count its
 * memory twice there. A sender that stays silent may be paused.
 */
static bool
wait_for_senders(const struct slot_facts *slot)
{
    return slot->unsettled > 0 && !slot->silent;
}

/* An item that is not known to be loaded and that nobody needs. */
static enum step_kind
step_back(const struct slot_facts *slot)
{
    if (slot->state == ITEM_UNLOADING) {
        return STEP_UNLOAD;
    }
    if (wait_for_senders(slot)) {
        return STEP_SETTLE;
    }
    if (slot->state == ITEM_DOUBT && slot->unsettled > 0 &&
        !slot->checks_fence) {
        return STEP_SETTLE;
    }
    return STEP_UNLOAD;
}

static enum step_kind
unfinished_step(const struct leaf_facts *leaf, const struct slot_facts *slots,
                int count, int index)
{
    const struct slot_facts *slot = &slots[index];

    if (in_excess(leaf, slots, count, index) ||
        slot->engine == ENGINE_LEAVING || !needs_leaf(leaf, slots, count)) {
        return step_back(slot);
    }
    /* Adopting forgets settled senders and adds one. */
    if (wait_for_senders(slot) || slot->unsettled == RESERVE_SENDERS_MAX) {
        return STEP_SETTLE;
    }
    return STEP_ADOPT;
}

static enum step_kind
slot_step(const struct leaf_facts *leaf, const struct slot_facts *slots,
          int count, int index)
{
    const struct slot_facts *slot = &slots[index];

    if (!slot->has_item) {
        return slot->orphan ? STEP_CLEAR : STEP_NONE;
    }
    if (slot->engine == ENGINE_GONE) {
        return slot->unsettled > 0 ? STEP_SETTLE : STEP_UNLOAD;
    }
    if (!reachable(slot)) {
        return STEP_NONE;
    }
    if (slot->restarted) {
        return STEP_CLEAR;
    }
    if (slot->state != ITEM_LOADED) {
        return unfinished_step(leaf, slots, count, index);
    }
    return loaded_must_go(leaf, slots, count, index) ? STEP_UNLOAD : STEP_NONE;
}

static bool
needs_another(const struct leaf_facts *leaf, const struct slot_facts *slots,
              int count)
{
    int usable = usable_count(slots, count);

    if (count >= leaf->limit) {
        return false;
    }
    for (int i = 0; i < count; i++) {
        if (slots[i].engine == ENGINE_LEAVING && usable == 0 && !leaf->idle) {
            return true;
        }
    }
    return usable < leaf->min || (leaf->wanted && usable == 0) ||
           (leaf->more && usable > 0);
}

/**
 * leaf_step() - next step for a leaf
 * @leaf: the leaf
 * @slots: its slots
 * @count: how many
 *
 * A replica that callers need comes first, then everything that has to be
 * loaded again, unloaded or cleaned up; questions to senders come last, as
 * they change no record.
 */
struct step
leaf_step(const struct leaf_facts *leaf, const struct slot_facts *slots,
          int count)
{
    struct step settle = {STEP_NONE, -1};

    if (needs_another(leaf, slots, count)) {
        return (struct step){STEP_LOAD, -1};
    }
    for (int i = 0; i < count; i++) {
        struct step step = {slot_step(leaf, slots, count, i), i};

        if (step.kind == STEP_SETTLE) {
            settle = step;
        }
        else if (step.kind != STEP_NONE) {
            return step;
        }
    }
    return settle;
}
