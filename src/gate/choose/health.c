/**
 * DOC: What the answers of a target say about its health.
 *
 * Health checks take a place at the target and are charged, and they stay good
 * at targets that fail part of their requests. Requests tell more.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/* One failure in ten answers moves a target's cost by a third of its places;
 * ten good answers forget two thirds of it. */
static const double WEIGHT = 0.1;

enum {
    AVOID_MS = 500,      /* a target that restarts is back after seconds */
    AVOID_MAX_MS = 4000, /* an outage of some seconds is noticed to be over */
};

/**
 * health_unreachable() - no connection could be made
 * @health: of the target
 * @now_ms: present time
 */
void
health_unreachable(struct target_health *health, int64_t now_ms)
{
    int64_t avoid_ms = AVOID_MS;

    for (int i = 0; i < health->row && avoid_ms < AVOID_MAX_MS; i++) {
        avoid_ms *= 2;
    }
    health->row++;
    health->avoid_until_ms = now_ms + avoid_ms;
}

/**
 * health_failed() - a request failed at the target
 * @health: of the target
 */
void
health_failed(struct target_health *health)
{
    health->failures += WEIGHT * (1.0 - health->failures);
}

/**
 * health_answered() - a request was answered as it should be
 * @health: of the target
 */
void
health_answered(struct target_health *health)
{
    health->failures -= WEIGHT * health->failures;
    health->row = 0;
    health->avoid_until_ms = 0;
}
