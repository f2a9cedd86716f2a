/**
 * DOC: How long a target's streams pause between events.
 *
 * Targets differ in speed, and one that runs two models does the steps of both
 * in turn, so the number of requests says little about how slow it is.
 */
#include <math.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* A stream lasts some seconds; older pauses tell of other streams. */
static const double DECAY_MS = 2000.0;

/* Pauses of no length that a target begins with, so that one that is not used
 * any more is tried again. */
static const double PRIOR_PAUSES = 5.0;

static double
decay(const struct target_pace *pace, int64_t now_ms)
{
    return exp(-(double)(now_ms - pace->learnt_ms) / DECAY_MS);
}

/**
 * pace_learn() - pauses were seen at a target
 * @pace: of the target
 * @pauses: their number
 * @pause_ms: their sum
 * @now_ms: present time
 */
void
pace_learn(struct target_pace *pace, int pauses, int64_t pause_ms,
           int64_t now_ms)
{
    double part = decay(pace, now_ms);

    pace->pauses = pace->pauses * part + pauses;
    pace->pause_ms = pace->pause_ms * part + (double)pause_ms;
    pace->learnt_ms = now_ms;
}

/**
 * pace_ms() - usual pause between events at a target
 * @pace: of the target
 * @now_ms: present time
 *
 * Return: milliseconds; towards 0 when no streams ran lately.
 */
double
pace_ms(const struct target_pace *pace, int64_t now_ms)
{
    double part = decay(pace, now_ms);

    return pace->pause_ms * part / (pace->pauses * part + PRIOR_PAUSES);
}
