/**
 * DOC: Facts about a leaf and its slots, for leaf_step().
 */
#include <glib.h>
#include <string.h>

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
#include "turmericd/place/fns.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum {
    /* The slot's taker writes its reservation within milliseconds. */
    ORPHAN_MS = 2000,
    /* Membership declares a dead instance within 5 s, so a sender that is
       silent for longer is paused or cut off. */
    SILENT_MS = 10000,
};

/**
 * leaf_checks_fence() - whether the engines of a leaf refuse old fences
 * @place: placement
 * @path: path of the leaf, which may have left the tree
 */
bool
leaf_checks_fence(const struct place *place, const char *path)
{
    const struct node *node;
    char service[PATH_MAX_BYTES];
    char *slash;

    g_strlcpy(service, path, sizeof(service));
    slash = strchr(service + 1, '/');
    if (slash != NULL) {
        *slash = '\0';
    }
    node = place->tree == NULL ? NULL : tree_node(place->tree, service);
    return node != NULL && node->settings.checks_fence;
}

/**
 * leaf_limit() - replicas that a leaf may have
 * @node: settings of the leaf; NULL when it is not in the tree
 */
int64_t
leaf_limit(const struct node *node)
{
    if (node == NULL || !node->settings.enabled ||
        node->settings.kind != TARGET_ENGINE) {
        return 0;
    }
    return node->settings.replicas_max;
}

static bool
said_settled(const struct leaf *leaf, uint64_t engine,
             const struct sender *sender)
{
    for (int i = 0; i < leaf->settled_count; i++) {
        const struct sender *settled = &leaf->settled[i].sender;

        if (leaf->settled[i].engine == engine &&
            settled->member == sender->member &&
            settled->start == sender->start &&
            settled->fence >= sender->fence) {
            return true;
        }
    }
    return false;
}

/**
 * sender_settled() - whether a sender's order can no longer be on its way
 * @place: placement
 * @leaf: the leaf; no own order for it is under way
 * @engine: engine of the order
 * @sender: the sender
 */
bool
sender_settled(struct place *place, const struct leaf *leaf, uint64_t engine,
               const struct sender *sender)
{
    if (sender->member == place->self) {
        return sender->start <= place->start;
    }
    return said_settled(leaf, engine, sender) ||
           !place->port->ops->member_alive(place->port, sender->member,
                                           sender->start);
}

static void
count_senders(struct place *place, const struct leaf *leaf,
              const struct slot_view *view, struct slot_facts *facts)
{
    for (int i = 0; i < view->item.sender_count; i++) {
        if (!sender_settled(place, leaf, view->slot.engine,
                            &view->item.senders[i])) {
            facts->unsettled++;
        }
    }
}

static bool
is_missing(const struct place *place, const struct leaf *leaf,
           const struct engine_view *view)
{
    (void)place;
    return view->seen_ms - leaf->checked_ms >= REPORT_LATE_MS &&
           view->report.loaded_count < REPORT_LOADED_MAX &&
           !report_has(view->report.loaded, view->report.loaded_count,
                       leaf->id);
}

/**
 * slot_facts_of() - what is known about a slot
 * @place: placement
 * @leaf: the leaf
 * @slot: the slot as last read
 */
struct slot_facts
slot_facts_of(struct place *place, const struct leaf *leaf,
              const struct slot_view *slot)
{
    const struct engine_view *view = engine_find(place, slot->slot.engine);
    struct slot_facts facts = {
        .engine = engine_fact_of(place, slot->slot.engine),
        .has_item = slot->has_item,
        .state = slot->item.state,
        .checks_fence = leaf_checks_fence(place, leaf->path),
        .silent = leaf->silent_ms != 0 &&
                  place->now_ms - leaf->silent_ms >= SILENT_MS,
        .evict = leaf->evict_engine == slot->slot.engine &&
                 place->now_ms < leaf->evict_until_ms,
    };

    facts.orphan =
        !slot->has_item && (slot->slot.by.member == place->self ||
                            place->now_ms - leaf->checked_ms >= ORPHAN_MS);
    count_senders(place, leaf, slot, &facts);
    if (view != NULL) {
        facts.restarted = view->report.incarnation > slot->incarnation;
        facts.missing = is_missing(place, leaf, view);
    }
    return facts;
}

/**
 * leaf_facts_of() - what is known about a leaf
 * @place: placement
 * @leaf: the leaf
 * @node: its settings; NULL when it is not in the tree
 */
struct leaf_facts
leaf_facts_of(const struct place *place, const struct leaf *leaf,
              const struct node *node)
{
    struct leaf_facts facts = {
        .limit = leaf_limit(node),
        .wanted = leaf->want_ms != 0,
        .more = leaf->more,
    };

    if (node != NULL) {
        facts.min = node->settings.replicas_min;
        facts.idle = place->now_ms - leaf->used_ms >=
                     node->settings.idle_unload_s * 1000;
        facts.wanted |= leaf->moving && !facts.idle;
    }
    if (facts.min > facts.limit) {
        facts.min = facts.limit;
    }
    return facts;
}
