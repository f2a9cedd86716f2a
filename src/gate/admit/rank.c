/**
 * DOC: The order in which waiting requests get the places of a target.
 *
 * The load answered here is a target whose requests for all of its models,
 * of several kinds, exceed its places. A place goes to the highest priority,
 * then to a request that would be in time: a delay makes it late, or takes the
 * time that it may still wait. Of those that are late already, the ones that
 * are lost otherwise come first. Among late ones less work comes first, since
 * more callers are served by it; else the first to arrive. With less work
 * first among those in time, each that arrives would go before a larger or
 * more patient one until that is late, too. Before all of them come those of
 * which too few are served; see fairness.c.
 *
 * None waits without end: a request that has waited for half of the time in
 * which it can be served is overdue, and one place in eight goes to the
 * overdue ones, whatever their rank.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

enum {
    /* Waiting requests are looked at again after this time at the latest. */
    HORIZON_MS = 250,
    OVERDUE_DIVISOR = 2,
    OVERDUE_TURN = 8,
};

static enum rank_urgency
urgency_of(const struct rank_facts *facts, int64_t now_ms)
{
    if (facts->begun || now_ms <= facts->goal_due_ms) {
        return RANK_IN_TIME;
    }
    return now_ms <= facts->last_start_ms &&
                   facts->last_start_ms < now_ms + HORIZON_MS
               ? RANK_LOST_LATER
               : RANK_LATE;
}

/**
 * rank_of() - rank of a waiting request
 * @facts: the request
 * @now_ms: current time
 */
struct rank
rank_of(const struct rank_facts *facts, int64_t now_ms)
{
    int64_t useful_ms = facts->last_start_ms - facts->arrived_ms;

    return (struct rank){
        .priority = facts->protected ? 0 : facts->priority,
        .protected = facts->protected,
        .urgency = urgency_of(facts, now_ms),
        .work = facts->work_ms >= 1.0 ? ilogb(facts->work_ms) : 0,
        .arrived_ms = facts->arrived_ms,
        .last_start_ms = facts->last_start_ms,
        .overdue = now_ms - facts->arrived_ms >= useful_ms / OVERDUE_DIVISOR &&
                   now_ms <= facts->last_start_ms,
    };
}

/**
 * rank_compare() - order of two requests
 * @a: rank of the first
 * @b: rank of the second, of the same time
 *
 * Return: below 0 when the first gets a place before the second, above 0 when
 * after it, 0 when it doesn't matter.
 */
int
rank_compare(const struct rank *a, const struct rank *b)
{
    if (a->priority != b->priority) {
        return a->priority < b->priority ? -1 : 1;
    }
    if (a->protected != b->protected) {
        return a->protected ? -1 : 1;
    }
    if (a->urgency != b->urgency) {
        return a->urgency < b->urgency ? -1 : 1;
    }
    if (a->urgency != RANK_IN_TIME && a->work != b->work) {
        return a->work < b->work ? -1 : 1;
    }
    if (a->arrived_ms != b->arrived_ms) {
        return a->arrived_ms < b->arrived_ms ? -1 : 1;
    }
    return 0;
}

/**
 * rank_compare_overdue() - order of two overdue requests
 * @a: rank of the first
 * @b: rank of the second
 *
 * Return: as of rank_compare(); the one that is lost first comes first.
 */
int
rank_compare_overdue(const struct rank *a, const struct rank *b)
{
    if (a->last_start_ms != b->last_start_ms) {
        return a->last_start_ms < b->last_start_ms ? -1 : 1;
    }
    return rank_compare(a, b);
}

/**
 * rank_is_overdue_turn() - whether the next place goes to an overdue request
 * @places: places since an overdue request last got one
 */
bool
rank_is_overdue_turn(int places)
{
    return places >= OVERDUE_TURN - 1;
}
