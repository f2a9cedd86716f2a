/**
 * DOC: Retry budget of a service.
 *
 * The deployment limits the retries of all instances together in any window.
 * Each instance uses the ratio of its own requests and an equal share of the
 * fixed allowance. This needs no messages, so the limit also holds when
 * instances can't reach each other. The share is computed from the largest
 * number of instances seen within a window, because the member list can be
 * unavailable for a while.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* The rest is a margin for requests that reach the target in a different
 * window from the one in which they were counted. */
static const double USED_FRACTION = 0.8;

static struct budget_bucket *
bucket_at(struct retry_budget *budget, int64_t window_ms, int64_t now_ms)
{
    int64_t bucket_ms = window_ms / BUDGET_BUCKETS;
    int64_t number = now_ms / (bucket_ms > 0 ? bucket_ms : 1);
    struct budget_bucket *bucket = &budget->buckets[number % BUDGET_BUCKETS];

    if (bucket->start_ms != number * bucket_ms) {
        *bucket = (struct budget_bucket){.start_ms = number * bucket_ms};
    }
    return bucket;
}

/**
 * retry_budget_count_request() - count a request from a caller
 * @budget: budget of the request's service
 * @window_ms: length of the deployment's window
 * @now_ms: current time
 */
void
retry_budget_count_request(struct retry_budget *budget, int64_t window_ms,
                           int64_t now_ms)
{
    bucket_at(budget, window_ms, now_ms)->requests++;
}

/**
 * retry_budget_has_room() - whether a retry may be sent
 * @budget: budget of the request's service
 * @limits: limits of the deployment
 * @instances: number of instances that share the allowance; 0 when unknown,
 *             which leaves no share of it
 * @now_ms: current time
 */
bool
retry_budget_has_room(const struct retry_budget *budget,
                      const struct gate_limits *limits, int instances,
                      int64_t now_ms)
{
    int64_t window_start_ms = now_ms - limits->retry_window_ms;
    int requests = 0;
    int retries = 0;
    double allowed = 0;

    for (int i = 0; i < BUDGET_BUCKETS; i++) {
        if (budget->buckets[i].start_ms > window_start_ms) {
            requests += budget->buckets[i].requests;
            retries += budget->buckets[i].retries;
        }
    }
    allowed = limits->retry_ratio * requests;
    if (instances > 0) {
        allowed += (double)limits->retry_allowance / instances;
    }
    return retries + 1 <= USED_FRACTION * allowed;
}

/**
 * retry_budget_take() - take a retry from the budget
 * @budget: budget of the request's service
 * @limits: limits of the deployment
 * @instances: as for retry_budget_has_room()
 * @now_ms: current time
 *
 * Return: whether the request may be sent again; the retry is counted then.
 */
bool
retry_budget_take(struct retry_budget *budget,
                  const struct gate_limits *limits, int instances,
                  int64_t now_ms)
{
    if (!retry_budget_has_room(budget, limits, instances, now_ms)) {
        return false;
    }
    bucket_at(budget, limits->retry_window_ms, now_ms)->retries++;
    return true;
}
