/**
 * DOC: How long the answers to a kind of request take.
 *
 * The load answered here is a generation: a request announces the longest
 * output that it allows, and most end well before it. So the times of recent
 * answers to requests like it are kept, with the mean interval between the
 * events of the streams among them, against which a target may be slow.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

/* Longer than a burst, shorter than a change of what is asked for. */
static const double DECAY_S = 60.0;

/* Answers from which on their times mean something. */
static const double KNOWN_AFTER = 10.0;

static double
kept_share(const struct run_lengths *lengths, int64_t now_ms)
{
    return exp(-(double)(now_ms - lengths->updated_ms) / 1000.0 / DECAY_S);
}

static void
decay(struct run_lengths *lengths, int64_t now_ms)
{
    double kept = kept_share(lengths, now_ms);

    for (int i = 0; i < RUN_LENGTH_BUCKETS; i++) {
        lengths->counts[i] *= kept;
    }
    lengths->total *= kept;
    lengths->interval_count *= kept;
    lengths->interval_total_ms *= kept;
    lengths->updated_ms = now_ms;
}

static int
bucket_of(double time_ms)
{
    double bucket = time_ms > 1.0
                        ? ceil(log2(time_ms) * RUN_LENGTH_BUCKETS_PER_DOUBLING)
                        : 0;

    return bucket < RUN_LENGTH_BUCKETS - 1 ? (int)bucket
                                           : RUN_LENGTH_BUCKETS - 1;
}

/* Longest time that is below a bucket. */
static int64_t
bucket_start_ms(int bucket)
{
    return bucket > 0 ? (int64_t)exp2((bucket - 1.0) /
                                      RUN_LENGTH_BUCKETS_PER_DOUBLING)
                      : 0;
}

/**
 * run_lengths_add() - count an answer that has ended
 * @lengths: times of answers to requests like it
 * @run_ms: time from its request's sending to its end
 * @interval_ms: mean interval between its events; 0 for none
 * @now_ms: current time
 */
void
run_lengths_add(struct run_lengths *lengths, int64_t run_ms,
                double interval_ms, int64_t now_ms)
{
    decay(lengths, now_ms);
    lengths->counts[bucket_of((double)run_ms)] += 1.0;
    lengths->total += 1.0;
    if (interval_ms > 0.0) {
        lengths->interval_count += 1.0;
        lengths->interval_total_ms += interval_ms;
    }
}

/**
 * run_lengths_known() - whether enough answers were counted lately
 * @lengths: the times
 * @now_ms: current time
 */
bool
run_lengths_known(const struct run_lengths *lengths, int64_t now_ms)
{
    return lengths->total * kept_share(lengths, now_ms) >= KNOWN_AFTER;
}

/**
 * run_lengths_quantile_ms() - time in which a share of the answers ends
 * @lengths: times of answers
 * @share: the share, above 0
 * @now_ms: current time
 *
 * Return: rounded down to a bucket; -1 when too few are known.
 */
int64_t
run_lengths_quantile_ms(const struct run_lengths *lengths, double share,
                        int64_t now_ms)
{
    double ended = 0.0;

    if (!run_lengths_known(lengths, now_ms)) {
        return -1;
    }
    for (int i = 0; i < RUN_LENGTH_BUCKETS; i++) {
        ended += lengths->counts[i];
        if (ended >= share * lengths->total) {
            return bucket_start_ms(i);
        }
    }
    return bucket_start_ms(RUN_LENGTH_BUCKETS - 1);
}

/* How much longer than the others an answer takes at a target. */
static double
slowness(const struct run_lengths *lengths, double interval_ms)
{
    if (lengths->interval_total_ms <= 0.0) {
        return 1.0;
    }
    return fmax(interval_ms * lengths->interval_count /
                    lengths->interval_total_ms,
                1.0);
}

/**
 * run_lengths_late_share() - share of answers that take longer than a time
 * @lengths: times of answers to requests like the one in question
 * @left_ms: the time
 * @interval_ms: mean interval between the events of streams at the target; 0
 * for unknown
 * @now_ms: current time
 *
 * Return: from 0 to 1, rounded up by a bucket; -1 when too few are known.
 */
double
run_lengths_late_share(const struct run_lengths *lengths, int64_t left_ms,
                       double interval_ms, int64_t now_ms)
{
    double late = 0.0;

    if (!run_lengths_known(lengths, now_ms)) {
        return -1.0;
    }
    if (left_ms <= 0) {
        return 1.0;
    }
    for (int i = bucket_of((double)left_ms / slowness(lengths, interval_ms));
         i < RUN_LENGTH_BUCKETS; i++) {
        late += lengths->counts[i];
    }
    return late / lengths->total;
}
