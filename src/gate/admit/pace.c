/**
 * DOC: How fast a queue moves.
 *
 * The load answered here is a model that more callers want than its engines
 * can serve: each instance sees only its own share of the places that come
 * free, so it measures how often its own queue gets one.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

/* A place comes free each few hundred ms; demand moves within seconds. */
static const double PACE_DECAY_S = 3.0;

/* Time with waiting requests from which on the places in it mean something. */
static const double KNOWN_AFTER_S = 0.5;

/* A place may come at any moment, also when none has come lately. */
static const double PLACES_SLACK = 1.0;

/* From this ratio of arrivals to places on, the queue only grows. */
static const double OVERLOAD_RATIO = 1.3;
static const double OVERLOAD_AFTER_S = 1.0;

/* A few requests more than places are chance. */
static const double OVERLOAD_SLACK = 2.0;

/**
 * pace_advance() - let time pass
 * @pace: the pace
 * @waiting: the queue was not empty since the last call
 * @now_ms: current time
 */
void
pace_advance(struct queue_pace *pace, bool waiting, int64_t now_ms)
{
    double passed_s = (double)(now_ms - pace->updated_ms) / 1000.0;
    double kept = exp(-passed_s / PACE_DECAY_S);

    if (pace->updated_ms != 0 && passed_s > 0.0) {
        pace->arrived *= kept;
        pace->taken *= kept;
        pace->waiting_s *= kept;
        pace->waiting_s += waiting ? PACE_DECAY_S * (1.0 - kept) : 0.0;
    }
    pace->updated_ms = now_ms;
}

/**
 * pace_arrived() - count a request that has no place
 * @pace: the pace, advanced to the present time
 */
void
pace_arrived(struct queue_pace *pace)
{
    pace->arrived += 1.0;
}

/**
 * pace_taken() - count a request of the queue that got a place
 * @pace: the pace, advanced to the present time
 */
void
pace_taken(struct queue_pace *pace)
{
    pace->taken += 1.0;
}

/**
 * pace_is_known() - whether requests have waited long enough to tell the pace
 * @pace: the pace, advanced to the present time
 */
bool
pace_is_known(const struct queue_pace *pace)
{
    return pace->waiting_s >= KNOWN_AFTER_S;
}

/**
 * pace_places_per_s() - places that the queue gets in a second
 * @pace: the pace, advanced to the present time
 *
 * Return: 0 when it is not known.
 */
double
pace_places_per_s(const struct queue_pace *pace)
{
    return pace_is_known(pace) ? (pace->taken + PLACES_SLACK) / pace->waiting_s
                               : 0.0;
}

/**
 * pace_is_overloaded() - whether more requests come than places, lastingly
 * @pace: the pace, advanced to the present time
 */
bool
pace_is_overloaded(const struct queue_pace *pace)
{
    return pace->waiting_s >= OVERLOAD_AFTER_S &&
           pace->arrived > OVERLOAD_RATIO * (pace->taken + OVERLOAD_SLACK);
}
