/**
 * DOC: Targets that turn requests away for a time.
 *
 * The load answered here is a target that is full or not ready and says when
 * it will be. It gets nothing until then. The requests that wait for it would
 * all reach it at the end of that time and fill it again, so it gets them back
 * one by one, beside those that it still runs, as many in PAUSE_RETURN_MS as
 * it has slots.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/**
 * pause_holds() - whether a target wants no requests
 * @pause: its pause
 * @now_ms: current time
 */
bool
pause_holds(const struct target_pause *pause, int64_t now_ms)
{
    return pause->since_ms != 0 && now_ms < pause->until_ms;
}

/**
 * pause_is_over() - whether requests have returned to a target
 * @pause: its pause
 * @now_ms: current time
 */
bool
pause_is_over(const struct target_pause *pause, int64_t now_ms)
{
    return pause->since_ms == 0 || now_ms >= pause->until_ms + PAUSE_RETURN_MS;
}

/**
 * pause_place_interval_ms() - time between the places that a target gives
 *                             after its pause
 * @target: the target
 */
int64_t
pause_place_interval_ms(const struct target_record *target)
{
    int64_t interval_ms =
        PAUSE_RETURN_MS / (target->info.slots > 0 ? target->info.slots : 1);

    return interval_ms > 0 ? interval_ms : 1;
}

/**
 * pause_admits() - whether a target may get another request of this instance
 * @target: the target
 * @now_ms: current time
 */
bool
pause_admits(const struct target_record *target, int64_t now_ms)
{
    int64_t returned;

    if (pause_is_over(&target->pause, now_ms)) {
        return true;
    }
    if (pause_holds(&target->pause, now_ms)) {
        return false;
    }
    returned =
        target->pause.kept + 1 +
        (now_ms - target->pause.until_ms) / pause_place_interval_ms(target);
    return target->running < returned;
}

/**
 * pause_next_ms() - when a target may get its next request
 * @target: a target whose pause is not over
 * @now_ms: current time
 */
int64_t
pause_next_ms(const struct target_record *target, int64_t now_ms)
{
    int64_t interval_ms = pause_place_interval_ms(target);
    int64_t until_ms = target->pause.until_ms;

    if (now_ms < until_ms) {
        return until_ms;
    }
    return until_ms + ((now_ms - until_ms) / interval_ms + 1) * interval_ms;
}
