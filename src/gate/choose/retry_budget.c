/**
 * DOC: Budget of repeated sends to a service.
 *
 * The deployment bounds the repeats of all instances together in any window.
 * Each instance keeps to the ratio of its own requests and to its part of the
 * constant, so no messages are needed and the bound holds when instances
 * can't reach each other. The parts are cut by the largest number of instances
 * known within a window, as the list of them can be lost for a while.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* The rest is left for requests that arrive just outside of the window in
 * which the target sees them. */
static const double USED_PART = 0.8;

static struct budget_bucket *
bucket_at(struct repeat_budget *budget, int64_t window_ms, int64_t now_ms)
{
    int64_t length_ms = window_ms / BUDGET_BUCKETS;
    int64_t number = now_ms / (length_ms > 0 ? length_ms : 1);
    struct budget_bucket *bucket = &budget->buckets[number % BUDGET_BUCKETS];

    if (bucket->start_ms != number * length_ms) {
        *bucket = (struct budget_bucket){.start_ms = number * length_ms};
    }
    return bucket;
}

/**
 * repeats_count_request() - a caller's request came in
 * @budget: of the request's service
 * @window_ms: window that the deployment counts in
 * @now_ms: present time
 */
void
repeats_count_request(struct repeat_budget *budget, int64_t window_ms,
                      int64_t now_ms)
{
    bucket_at(budget, window_ms, now_ms)->requests++;
}

/**
 * repeats_take() - ask to send a request once more
 * @budget: of the request's service
 * @limits: what the deployment allows
 * @instances: instances that share the constant part; 0 when they are not
 *             known, and there is no part to take then
 * @now_ms: present time
 *
 * Return: whether it may be sent; if so, the send is counted.
 */
bool
repeats_take(struct repeat_budget *budget, const struct gate_limits *limits,
             int instances, int64_t now_ms)
{
    int64_t from_ms = now_ms - limits->retry_window_ms;
    int requests = 0;
    int repeats = 0;
    double allowed = 0;

    for (int i = 0; i < BUDGET_BUCKETS; i++) {
        if (budget->buckets[i].start_ms > from_ms) {
            requests += budget->buckets[i].requests;
            repeats += budget->buckets[i].repeats;
        }
    }
    allowed = limits->retry_ratio * requests;
    if (instances > 0) {
        allowed += (double)limits->retry_extra / instances;
    }
    if (repeats + 1 > USED_PART * allowed) {
        return false;
    }
    bucket_at(budget, limits->retry_window_ms, now_ms)->repeats++;
    return true;
}
