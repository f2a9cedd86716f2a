/**
 * DOC: Number of instances that share the deployment's limits.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/**
 * instance_counts_record() - record the present number of instances
 * @counts: the counts
 * @count: this instance included
 * @window_ms: time for which a larger count is remembered
 * @now_ms: current time
 */
void
instance_counts_record(struct instance_counts *counts, int count,
                       int64_t window_ms, int64_t now_ms)
{
    int64_t bucket_ms = window_ms / BUDGET_BUCKETS;
    int64_t number = now_ms / (bucket_ms > 0 ? bucket_ms : 1);
    struct instance_counts_bucket *bucket =
        &counts->buckets[number % INSTANCE_COUNTS_BUCKETS];

    if (bucket->number != number) {
        *bucket = (struct instance_counts_bucket){.number = number};
    }
    if (bucket->max < count) {
        bucket->max = count;
    }
}

/**
 * instance_counts_max() - largest count within the window
 * @counts: the counts
 * @window_ms: as for instance_counts_record()
 * @now_ms: current time
 *
 * Return: 0 when none was counted.
 */
int
instance_counts_max(const struct instance_counts *counts, int64_t window_ms,
                    int64_t now_ms)
{
    int64_t bucket_ms = window_ms / BUDGET_BUCKETS;
    int64_t number = now_ms / (bucket_ms > 0 ? bucket_ms : 1);
    int max = 0;

    for (int i = 0; i < INSTANCE_COUNTS_BUCKETS; i++) {
        const struct instance_counts_bucket *bucket = &counts->buckets[i];

        if (bucket->number > number - INSTANCE_COUNTS_BUCKETS &&
            bucket->max > max) {
            max = bucket->max;
        }
    }
    return max;
}
