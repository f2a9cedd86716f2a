/**
 * DOC: Mean interval between the events of a target's streams.
 *
 * Targets differ in speed, and one that runs two models alternates between
 * their steps, so its number of requests says little about its speed.
 */
#include <math.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* Streams last some seconds; older intervals belong to other streams. */
static const double DECAY_TIME_MS = 2000.0;

/* Speeds of targets differ for as long as they run, but slow spells end within
 * some seconds. */
static const double USUAL_DECAY_TIME_MS = 20000.0;

/* Intervals of length 0 that are added to the mean, so that a slow target that
 * gets no requests is tried again. */
static const double PRIOR_COUNT = 5.0;

static double
decay_factor(const struct event_intervals *intervals, int64_t now_ms)
{
    return exp(-(double)(now_ms - intervals->updated_ms) / DECAY_TIME_MS);
}

static double
usual_decay_factor(const struct event_intervals *intervals, int64_t now_ms)
{
    return exp(-(double)(now_ms - intervals->updated_ms) /
               USUAL_DECAY_TIME_MS);
}

/**
 * event_intervals_add() - add measured intervals
 * @intervals: intervals of the target
 * @count: number of new intervals
 * @total_ms: sum of the new intervals
 * @now_ms: current time
 */
void
event_intervals_add(struct event_intervals *intervals, int count,
                    int64_t total_ms, int64_t now_ms)
{
    double factor = decay_factor(intervals, now_ms);
    double usual_factor = usual_decay_factor(intervals, now_ms);

    intervals->usual_count = intervals->usual_count * usual_factor + count;
    intervals->usual_total_ms =
        intervals->usual_total_ms * usual_factor + (double)total_ms;
    intervals->count = intervals->count * factor + count;
    intervals->total_ms = intervals->total_ms * factor + (double)total_ms;
    intervals->updated_ms = now_ms;
}

/**
 * event_intervals_mean_ms() - recent mean interval of a target
 * @intervals: intervals of the target
 * @now_ms: current time
 *
 * Return: milliseconds; decays to 0 while no streams run.
 */
double
event_intervals_mean_ms(const struct event_intervals *intervals,
                        int64_t now_ms)
{
    double factor = decay_factor(intervals, now_ms);

    return intervals->total_ms * factor /
           (intervals->count * factor + PRIOR_COUNT);
}

/**
 * event_intervals_expected_ms() - interval that a stream of some seconds would
 *                                 have at a target
 * @intervals: intervals of the target
 * @now_ms: current time
 *
 * A target that no streams run at is as fast as it was before, until that is
 * long ago.
 *
 * Return: milliseconds; 0 when it is unknown.
 */
double
event_intervals_expected_ms(const struct event_intervals *intervals,
                            int64_t now_ms)
{
    double factor = decay_factor(intervals, now_ms);

    if (intervals->count * factor >= PRIOR_COUNT) {
        return intervals->total_ms / intervals->count;
    }
    factor = usual_decay_factor(intervals, now_ms);
    return intervals->usual_total_ms * factor /
           (intervals->usual_count * factor + PRIOR_COUNT);
}
