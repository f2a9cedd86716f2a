/**
 * DOC: How long the answers to a kind of request are.
 *
 * The load answered here is a generation: a request announces the longest
 * output that it allows, and most end well before it. So the lengths of recent
 * answers to requests like it are kept, counted in steps: a target that is
 * slower takes as many, each for longer.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

/* Longer than a burst, shorter than a change of what is asked for. */
static const double DECAY_S = 60.0;

/* Answers from which on their lengths mean something. */
static const double KNOWN_AFTER = 10.0;

static void
decay(struct run_lengths *lengths, int64_t now_ms)
{
    double kept =
        exp(-(double)(now_ms - lengths->updated_ms) / 1000.0 / DECAY_S);

    for (int i = 0; i < RUN_LENGTH_BUCKETS; i++) {
        lengths->counts[i] *= kept;
    }
    lengths->total *= kept;
    lengths->step_total_ms *= kept;
    lengths->updated_ms = now_ms;
}

static int
bucket_of(double steps)
{
    double bucket =
        steps > 1.0 ? ceil(log2(steps) * RUN_LENGTH_BUCKETS_PER_DOUBLING) : 0;

    return bucket < RUN_LENGTH_BUCKETS - 1 ? (int)bucket
                                           : RUN_LENGTH_BUCKETS - 1;
}

/**
 * run_lengths_add() - count an answer that has ended
 * @lengths: lengths of answers to requests like it
 * @run_ms: time from its request's sending to its end
 * @step_ms: mean time of its steps; at least 1 is taken
 * @now_ms: current time
 */
void
run_lengths_add(struct run_lengths *lengths, int64_t run_ms, double step_ms,
                int64_t now_ms)
{
    double length_ms = fmax(step_ms, 1.0);

    decay(lengths, now_ms);
    lengths->counts[bucket_of((double)run_ms / length_ms)] += 1.0;
    lengths->total += 1.0;
    lengths->step_total_ms += length_ms;
}

/**
 * run_lengths_known() - whether enough answers were counted
 * @lengths: the lengths
 */
bool
run_lengths_known(const struct run_lengths *lengths)
{
    return lengths->total >= KNOWN_AFTER;
}

/**
 * run_lengths_late_share() - share of answers that take longer than a time
 * @lengths: lengths of answers to requests like the one in question
 * @left_ms: the time
 * @step_ms: mean time of a step at the target; 0 for unknown
 *
 * Return: from 0 to 1, rounded up by a bucket; -1 when too few are known.
 */
double
run_lengths_late_share(const struct run_lengths *lengths, int64_t left_ms,
                       double step_ms)
{
    double late = 0.0;
    double mean_ms;

    if (!run_lengths_known(lengths)) {
        return -1.0;
    }
    if (left_ms <= 0) {
        return 1.0;
    }
    mean_ms = lengths->step_total_ms / lengths->total;
    for (int i = bucket_of((double)left_ms / fmax(step_ms, mean_ms));
         i < RUN_LENGTH_BUCKETS; i++) {
        late += lengths->counts[i];
    }
    return late / lengths->total;
}
