/**
 * DOC: Requests whose target is silent.
 *
 * A sound target may be silent for a second or so, and its silence doesn't
 * tell whether it will answer. A request is taken back only when another
 * target can take it now and nothing else forbids that; otherwise it stays
 * until its target goes on or its deadline ends it.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

enum {
    /* A retryable request moves after the larger of the time and the multiple
     * of its latency goal. */
    LIMIT_MIN_MS = 400,
    LIMIT_GOALS = 3,
    /* A target may preempt a stream for about 1 s. */
    STREAM_LIMIT_MIN_MS = 1200,
};

/**
 * silence_limit_ms() - how long a target may be silent before a request is
 * sent to another one
 * @route: route of the request
 *
 * Well before callers give up, so that they are served.
 *
 * Return: the time; 0 when requests of the route run once only.
 */
int64_t
silence_limit_ms(const struct gate_route *route)
{
    if (!route->retryable) {
        return 0;
    }
    if (route->stream) {
        return MAX(route->latency_goal_ms, STREAM_LIMIT_MIN_MS);
    }
    return MAX(route->latency_goal_ms * LIMIT_GOALS, LIMIT_MIN_MS);
}

/**
 * silence_choose() - whether a request stays at a silent target
 * @facts: the request, silent for silence_limit_ms()
 *
 * Once it is taken back, its answer can't go on where it was.
 */
enum silence_choice
silence_choose(const struct silence_facts *facts)
{
    if (!facts->may_run_again) {
        return SILENCE_ONE_RUN;
    }
    if (facts->has_begun && !facts->is_stream) {
        return SILENCE_BEGUN;
    }
    if (facts->is_blamed) {
        return SILENCE_BLAMED;
    }
    if (!facts->target_has_room) {
        return SILENCE_NO_TARGET;
    }
    if (facts->would_not_end) {
        return SILENCE_WOULD_NOT_END;
    }
    return facts->budget_has_room ? SILENCE_MOVE : SILENCE_NO_BUDGET;
}

/**
 * silence_is_final() - whether the choice stays the same for this run
 * @choice: the choice
 */
bool
silence_is_final(enum silence_choice choice)
{
    return choice == SILENCE_ONE_RUN || choice == SILENCE_BEGUN;
}

/**
 * silence_reason() - name of a choice in the log
 * @choice: the choice
 */
const char *
silence_reason(enum silence_choice choice)
{
    static const char *const names[] = {
        [SILENCE_MOVE] = "moves",
        [SILENCE_ONE_RUN] = "one_run",
        [SILENCE_BEGUN] = "begun",
        [SILENCE_BLAMED] = "blamed",
        [SILENCE_NO_TARGET] = "no_target",
        [SILENCE_NO_BUDGET] = "no_budget",
        [SILENCE_WOULD_NOT_END] = "would_not_end",
    };

    return names[choice];
}
