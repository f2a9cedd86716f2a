/**
 * DOC: Whether an instance that stops sends a request to a target.
 *
 * The load answered here is a planned stop under traffic. What is sent and
 * doesn't end before the instance does costs its caller all that it has read
 * so far; what is refused as not run costs it a connection to another
 * instance. One that may have run can't be refused as not run, so it is given
 * up only when it is more likely to be cut than to end.
 */
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

static const double LATE_SHARE_MAX = 0.05;
static const double LATE_SHARE_MAX_AFTER_RUN = 0.5;

/**
 * stop_decide() - whether a request is refused, for another instance to serve
 * @facts: the request and the stop
 * @lengths: times of answers to requests like it, for one without a finish
 * forecast; NULL for none
 * @now_ms: current time
 *
 * While no other instance serves callers, or the length of the answer is
 * unknown, an answer that may be cut is better than none.
 */
struct stop_decision
stop_decide(const struct stop_facts *facts, const struct run_lengths *lengths,
            int64_t now_ms)
{
    struct stop_decision decision = {.late_share = -1.0};

    if (facts->begun || !facts->elsewhere) {
        return decision;
    }
    decision.late_share = facts->late_share;
    if (decision.late_share < 0.0 && lengths != NULL) {
        decision.late_share =
            run_lengths_late_share(lengths, facts->left_ms - facts->wait_ms,
                                   facts->interval_ms, now_ms);
    }
    decision.refuse =
        decision.late_share >
        (facts->may_have_run ? LATE_SHARE_MAX_AFTER_RUN : LATE_SHARE_MAX);
    return decision;
}
