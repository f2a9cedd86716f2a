/**
 * DOC: Which target a request goes to.
 *
 * Each target has a cost, and the cheapest one is chosen. The unit is the load
 * of a target whose places are all taken.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* Bytes between zones are charged, but two requests fewer at a target are
 * worth more: a sixteenth of its places. */
static const double ZONE_COST = 0.0625;

/* Reading a shared prompt again takes as long as the steps of two requests. */
static const double AFFINITY_COST = 0.0625;

/* A target whose usual pause is the longest that is on time is worth avoiding
 * like one that is full. */
static const double PACE_COST = 1.0;

/* A target that fails each request is worse than one twice full. */
static const double FAILURE_COST = 3.0;
static const double MISSING_COST = 2.0;
static const double AVOID_COST = 8.0;

/* Requests beyond the places wait in the target's own queue, which knows when
 * a place is free earlier than we do. */
static const double QUEUE_RATIO = 1.5;

/**
 * choose_can_serve() - whether a target may get a request at all
 * @target: the target
 * @need: what the request needs
 */
bool
choose_can_serve(const struct choose_target *target,
                 const struct choose_need *need)
{
    uint64_t id;

    if (target->info.leaving ||
        strcmp(target->info.service, need->service) != 0) {
        return false;
    }
    if (need->model != 0 && !items_have(&target->info.held, need->model)) {
        return false;
    }
    if (need->adapter != 0 && !items_have(&target->info.held, need->adapter)) {
        return false;
    }
    id = hash_text(target->info.id);
    for (int i = 0; i < need->tried_count; i++) {
        if (need->tried[i] == id) {
            return false;
        }
    }
    return true;
}

/**
 * choose_cost() - how bad a target is for a request
 * @target: a target that can serve it
 * @need: what the request needs
 * @now_ms: present time
 */
double
choose_cost(const struct choose_target *target, const struct choose_need *need,
            int64_t now_ms)
{
    int slots = target->info.slots > 0 ? target->info.slots : 1;
    double cost = (double)(target->running + target->elsewhere) / slots;

    if (strcmp(target->info.zone, need->zone) != 0) {
        cost += ZONE_COST;
    }
    if (need->affinity != 0) {
        uint64_t rank = hash_pair(need->affinity, hash_text(target->info.id));

        cost += AFFINITY_COST * ((double)(rank >> 11) / (double)(1ULL << 53));
    }
    if (need->gap_ms > 0) {
        cost +=
            PACE_COST * pace_ms(&target->pace, now_ms) / (double)need->gap_ms;
    }
    if (target->missing) {
        cost += MISSING_COST;
    }
    if (now_ms < target->health.avoid_until_ms) {
        cost += AVOID_COST;
    }
    return cost + FAILURE_COST * target->health.failures;
}

/**
 * choose_has_room() - whether a target should get another request
 * @target: the target
 */
bool
choose_has_room(const struct choose_target *target)
{
    int slots = target->info.slots > 0 ? target->info.slots : 1;

    return target->running + target->elsewhere < QUEUE_RATIO * slots;
}
