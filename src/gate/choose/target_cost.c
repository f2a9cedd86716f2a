/**
 * DOC: Selection of a request's target by cost.
 *
 * The target with the lowest cost gets the request. A cost of 1 is the load of
 * a target whose slots are all taken.
 */
#include <math.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

/* Traffic between data centres is billed, but a load that is lower by two
 * requests is worth more: the cost is a sixteenth of a target's slots. */
static const double ZONE_COST = 0.0625;

/* Processing a shared prompt again takes as long as the steps of two
 * requests. */
static const double AFFINITY_COST = 0.0625;

/* A target whose mean interval just meets the objective costs as much as one
 * without a free slot. */
static const double INTERVAL_COST = 1.0;

/* A target that fails every request costs more than one with twice as many
 * requests as slots. */
static const double FAILURE_COST = 3.0;
/* An answer that ends at its deadline is lost as one that fails. */
static const double LATE_COST = 3.0;
static const double MISSING_COST = 2.0;
static const double BACKOFF_COST = 8.0;

/* Requests beyond the number of slots wait in the target's own queue, since
 * the target knows first when a slot becomes free. */
static const double BEYOND_SLOTS = 0.5;

/* Streams run for seconds, so that few of them end in the time that a report
 * takes. The others would wait in the target in an order that knows neither
 * goals nor what else waits. The value did best in simulation, see
 * docs/design/overload.md. */
static const double STREAM_BEYOND_SLOTS = 0.0625;

/**
 * target_can_serve() - whether a target is eligible for a request
 * @target: the target
 * @needs: needs of the request
 */
bool
target_can_serve(const struct target_record *target,
                 const struct request_needs *needs)
{
    uint64_t id;

    if (target_is_leaving(target) ||
        strcmp(target->info.service, needs->service) != 0) {
        return false;
    }
    if (needs->model != 0 &&
        !item_set_contains(&target->info.held, needs->model)) {
        return false;
    }
    if (needs->adapter != 0 &&
        !item_set_contains(&target->info.held, needs->adapter)) {
        return false;
    }
    id = hash_text(target->info.id);
    for (int i = 0; i < needs->tried_count; i++) {
        if (needs->tried[i] == id) {
            return false;
        }
    }
    return true;
}

/**
 * target_late_share() - share of answers like a request's that would not end
 *                       in time at a target
 * @target: the target
 * @needs: needs of the request
 * @now_ms: current time
 *
 * Return: from 0 to 1; -1 when the length of the answers is unknown.
 */
double
target_late_share(const struct target_record *target,
                  const struct request_needs *needs, int64_t now_ms)
{
    const struct finish_facts *finish = &needs->finish;

    if (finish->events_max <= 0.0) {
        return -1.0;
    }
    return finish_late_share(
        finish, event_intervals_expected_ms(&target->intervals, now_ms),
        (double)(finish->deadline_ms - now_ms));
}

/**
 * target_cost() - cost of sending a request to a target
 * @target: a target that can serve the request
 * @needs: needs of the request
 * @now_ms: current time
 *
 * Return: the cost; the lowest one is best.
 */
double
target_cost(const struct target_record *target,
            const struct request_needs *needs, int64_t now_ms)
{
    int slots = target->info.slots > 0 ? target->info.slots : 1;
    double cost =
        (double)(target->running + target->running_elsewhere) / slots;

    if (strcmp(target->info.zone, needs->zone) != 0) {
        cost += ZONE_COST;
    }
    if (needs->affinity != 0) {
        uint64_t rank = hash_pair(needs->affinity, hash_text(target->info.id));

        cost += AFFINITY_COST * ((double)(rank >> 11) / (double)(1ULL << 53));
    }
    if (needs->interval_goal_ms > 0) {
        cost += INTERVAL_COST *
                event_intervals_mean_ms(&target->intervals, now_ms) /
                (double)needs->interval_goal_ms;
    }
    cost += LATE_COST * fmax(target_late_share(target, needs, now_ms), 0.0);
    if (target->missing) {
        cost += MISSING_COST;
    }
    if (now_ms < target->health.backoff_until_ms) {
        cost += BACKOFF_COST;
    }
    return cost + FAILURE_COST * target->health.failure_rate;
}

/* Requests beyond the slots of a target that it gets from this instance. */
static double
places_beyond_slots(const struct request_needs *needs, int slots)
{
    if (needs->interval_goal_ms > 0 && needs->finish.events_done <= 0.0) {
        return fmax(STREAM_BEYOND_SLOTS * slots, 1.0);
    }
    return BEYOND_SLOTS * slots;
}

/**
 * target_has_capacity() - whether a target can take another request
 * @target: the target
 * @needs: needs of the request
 */
bool
target_has_capacity(const struct target_record *target,
                    const struct request_needs *needs)
{
    int slots = target->info.slots > 0 ? target->info.slots : 1;

    return target->running + target->running_elsewhere <
           slots + places_beyond_slots(needs, slots);
}

/**
 * target_holds_off() - whether a request rather waits than goes to a target
 * @target: a target that can serve the request and has capacity
 * @needs: needs of the request
 * @now_ms: current time
 *
 * A stream that goes on is not held.
 */
bool
target_holds_off(const struct target_record *target,
                 const struct request_needs *needs, int64_t now_ms)
{
    bool has_free_slot =
        target->running + target->running_elsewhere < target->info.slots;

    return !has_free_slot && needs->finish.events_done <= 0.0 &&
           finish_is_held(target_late_share(target, needs, now_ms), false);
}
