/**
 * DOC: Number of instances that share what the deployment allows to all.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/**
 * sharers_count() - so many instances are known now
 * @sharers: the counts
 * @count: this instance included
 * @window_ms: time that a larger count goes on to apply
 * @now_ms: present time
 */
void
sharers_count(struct sharers *sharers, int count, int64_t window_ms,
              int64_t now_ms)
{
    int64_t length_ms = window_ms / BUDGET_BUCKETS;
    int64_t number = now_ms / (length_ms > 0 ? length_ms : 1);
    struct sharers_bucket *bucket =
        &sharers->buckets[number % SHARERS_BUCKETS];

    if (bucket->number != number) {
        *bucket = (struct sharers_bucket){.number = number};
    }
    if (bucket->most < count) {
        bucket->most = count;
    }
}

/**
 * sharers_most() - largest count within the window
 * @sharers: the counts
 * @window_ms: as for sharers_count()
 * @now_ms: present time
 *
 * Return: 0 when none was counted.
 */
int
sharers_most(const struct sharers *sharers, int64_t window_ms, int64_t now_ms)
{
    int64_t length_ms = window_ms / BUDGET_BUCKETS;
    int64_t number = now_ms / (length_ms > 0 ? length_ms : 1);
    int most = 0;

    for (int i = 0; i < SHARERS_BUCKETS; i++) {
        const struct sharers_bucket *bucket = &sharers->buckets[i];

        if (bucket->number > number - SHARERS_BUCKETS && bucket->most > most) {
            most = bucket->most;
        }
    }
    return most;
}
