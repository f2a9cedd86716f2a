/**
 * DOC: Passive health checks: a target's health from the results of requests.
 *
 * Active health checks occupy a slot at the target and are billed, and they
 * succeed at targets that fail only some requests.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* Weight of one result in the moving average. One failure in ten results
 * raises a target's cost by a third of its slots; ten successes in a row
 * reduce the average by two thirds. */
static const double AVERAGE_WEIGHT = 0.1;

enum {
    BACKOFF_MIN_MS = 500, /* a restarting target is back within seconds */
    /* Limits the delay until the end of a longer outage is noticed. */
    BACKOFF_MAX_MS = 4000,
};

/**
 * health_connect_failed() - record a failed connect; extends the backoff
 * @health: health of the target
 * @now_ms: current time
 */
void
health_connect_failed(struct target_health *health, int64_t now_ms)
{
    int64_t backoff_ms = BACKOFF_MIN_MS;

    for (int i = 0;
         i < health->connect_failures && backoff_ms < BACKOFF_MAX_MS; i++) {
        backoff_ms *= 2;
    }
    health->connect_failures++;
    health->backoff_until_ms = now_ms + backoff_ms;
}

/**
 * health_request_failed() - record a request that failed at the target
 * @health: health of the target
 */
void
health_request_failed(struct target_health *health)
{
    health->failure_rate += AVERAGE_WEIGHT * (1.0 - health->failure_rate);
}

/**
 * health_request_succeeded() - record a success; ends the backoff
 * @health: health of the target
 */
void
health_request_succeeded(struct target_health *health)
{
    health->failure_rate -= AVERAGE_WEIGHT * health->failure_rate;
    health->connect_failures = 0;
    health->backoff_until_ms = 0;
}
