/**
 * DOC: Whether an instance that stops keeps a request it hasn't sent.
 *
 * The load answered here is a planned stop under traffic. What is sent and
 * doesn't end before the instance does costs its caller all that it has read
 * so far; what is refused as not run costs it a connection to another
 * instance.
 */
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

/* An answer that is cut costs its caller about as many seconds as a refusal
 * costs tenths of one. */
static const double LATE_SHARE_MAX = 0.05;

/**
 * stop_refuses() - whether a request is refused, for another instance to serve
 * @facts: the request and the stop
 * @lengths: lengths of answers to requests like it
 *
 * While no other instance serves callers, or the length of the answer is
 * unknown, an answer that may be cut is better than none.
 */
bool
stop_refuses(const struct stop_facts *facts, const struct run_lengths *lengths)
{
    if (facts->begun || !facts->elsewhere) {
        return false;
    }
    return run_lengths_late_share(lengths, facts->left_ms - facts->wait_ms,
                                  facts->step_ms) > LATE_SHARE_MAX;
}
