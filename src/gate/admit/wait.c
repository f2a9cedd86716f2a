/**
 * DOC: Whether a request without a place should wait for one.
 *
 * The load answered here is a queue behind an engine that is full, or behind
 * a model that is being loaded. A request that waits and then fails has cost
 * its caller the time to try elsewhere, so it is refused as soon as it is
 * known that it can't be served in time. What can still be served is not
 * refused. When more requests come than places, for longer, those that are
 * kept are served in time, rather than all of them late.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

enum {
    /* The holder sends forecasts several times a second; without one for this
     * long, there is no holder. The next one begins within some seconds, for
     * which a part of the callers' time may be spent. */
    UNKNOWN_WAIT_MIN_MS = 1200,
    UNKNOWN_WAIT_DIVISOR = 3,
    /* Time for the request to run once it has a place, until the length of
     * the answers to its kind is known. */
    RUN_RESERVE_MS = 800,
    /* A load from the weight store is half done by then. */
    UNKNOWN_RETRY_MS = 3000,
    /* The advised delay is at most the remaining time divided by this, so
     * that a caller that tries again still has time left. */
    RETRY_TIME_DIVISOR = 3,
    /* Callers that are refused while all targets are paused come back over
     * this time, as long as the targets take to be in full use again. */
    PAUSED_SPREAD_MS = 1000,
};

/* Estimates vary by about this factor with a few places in some seconds. A
 * request that was told to wait is sent away only when the estimate is worse
 * by as much. */
static const double UNCERTAINTY = 1.5;

/* Fewer places than this in the time that the pace covers say nothing of when
 * the next one comes. */
static const double PACE_TAKEN_MIN = 1.0;

/* A caller's share of the time until its place that it stays away at least;
 * the rest spreads those that were refused together. */
static const double RETRY_PART_MIN = 0.5;

/**
 * expected_wait_ms() - time until a request gets a place
 * @facts: the request
 * @pace: pace of its queue, advanced to the present time
 *
 * Return: the time; -1 when nothing is known of it.
 */
int64_t
expected_wait_ms(const struct wait_facts *facts, const struct queue_pace *pace)
{
    double places_per_s = pace_places_per_s(pace);

    if (facts->all_paused) {
        return facts->paused_ms + facts->ahead * facts->place_interval_ms;
    }
    if (facts->load == LOAD_EXPECTED && facts->ready_in_ms > 0) {
        return facts->ready_in_ms;
    }
    if (!pace_is_known(pace)) {
        return facts->load == LOAD_EXPECTED ? 0 : -1;
    }
    return (int64_t)((facts->ahead + 1) * 1000.0 / places_per_s);
}

static int64_t
longest_useful_wait_ms(const struct wait_facts *facts)
{
    int64_t run_ms = facts->run_ms >= 0 ? facts->run_ms : RUN_RESERVE_MS;

    return MIN(facts->left_ms - run_ms, facts->patience_ms);
}

static int64_t
longest_unknown_wait_ms(const struct wait_facts *facts)
{
    int64_t useful_ms = facts->waited_ms + longest_useful_wait_ms(facts);

    return MAX(useful_ms / UNKNOWN_WAIT_DIVISOR, UNKNOWN_WAIT_MIN_MS);
}

/* The delay is a part of the time until a place, different for each caller. */
static int64_t
retry_delay_ms(const struct wait_facts *facts, int64_t expected_ms,
               double spread)
{
    int64_t most_ms = MAX(facts->left_ms / RETRY_TIME_DIVISOR, 1);
    int64_t delay_ms =
        MIN(expected_ms >= 0 ? expected_ms : UNKNOWN_RETRY_MS, most_ms);
    double part = RETRY_PART_MIN + (1.0 - RETRY_PART_MIN) * spread;

    /* A caller that comes earlier is refused again. */
    if (facts->all_paused) {
        return expected_ms + (int64_t)(spread * PAUSED_SPREAD_MS) + 1;
    }
    return MAX((int64_t)((double)delay_ms * part), 1);
}

/* Whether the pace tells only how long the request has waited: it is the next
 * one, and no place has come since it has been. A place may come at any
 * moment, as for a model with few requests on engines that others keep busy.
 */
static bool
is_next_without_pace(const struct wait_facts *facts,
                     const struct queue_pace *pace)
{
    return facts->waited_ms > 0 && facts->ahead == 0 &&
           pace->taken < PACE_TAKEN_MIN && !pace_is_overloaded(pace);
}

static enum wait_reason
judge_place(const struct wait_facts *facts, const struct queue_pace *pace,
            int64_t expected_ms)
{
    int64_t useful_ms = longest_useful_wait_ms(facts);
    int64_t goal_ms = MAX(facts->goal_ms, 0);
    double margin = facts->waited_ms > 0 ? UNCERTAINTY : 1.0;

    if (is_next_without_pace(facts, pace)) {
        return useful_ms <= 0 ? WAIT_TOO_LATE : WAIT_NONE;
    }
    if ((double)expected_ms > (double)useful_ms * margin) {
        return WAIT_TOO_LATE;
    }
    return pace_is_overloaded(pace) && !facts->protected &&
                   (double)expected_ms > (double)goal_ms * margin
               ? WAIT_OVERLOAD
               : WAIT_NONE;
}

static enum wait_reason
judge(const struct wait_facts *facts, const struct queue_pace *pace,
      int64_t expected_ms)
{
    int64_t useful_ms = longest_useful_wait_ms(facts);

    if (facts->begun) {
        return facts->patience_ms <= 0 ? WAIT_TOO_LATE : WAIT_NONE;
    }
    if (facts->all_paused) {
        return expected_ms > useful_ms ? WAIT_TOO_LATE : WAIT_NONE;
    }
    if (finish_is_hopeless(facts->late_share)) {
        return WAIT_TOO_LATE;
    }
    if (facts->load == LOAD_NOT_EXPECTED) {
        return facts->known_since_arrival ? WAIT_NO_LOAD : WAIT_NONE;
    }
    if (facts->load == LOAD_UNKNOWN &&
        facts->waited_ms > longest_unknown_wait_ms(facts)) {
        return WAIT_NO_HOLDER;
    }
    if (expected_ms < 0) {
        return WAIT_NONE;
    }
    if (facts->load == LOAD_EXPECTED && facts->ready_in_ms > 0) {
        return expected_ms > useful_ms ? WAIT_TOO_LATE : WAIT_NONE;
    }
    return judge_place(facts, pace, expected_ms);
}

/**
 * decide_wait() - whether a request without a place waits or is refused
 * @facts: the request
 * @pace: pace of its queue, advanced to the present time
 * @spread: from 0 to 1, different for each request
 */
struct wait_decision
decide_wait(const struct wait_facts *facts, const struct queue_pace *pace,
            double spread)
{
    struct wait_decision decision = {
        .expected_ms = expected_wait_ms(facts, pace),
    };

    decision.reason = judge(facts, pace, decision.expected_ms);
    decision.refuse = decision.reason != WAIT_NONE;
    /* A place doesn't help a request that would end late at every target; a
     * slow spell of the targets ends in some seconds. */
    decision.retry_ms = retry_delay_ms(
        facts,
        finish_is_hopeless(facts->late_share) ? -1 : decision.expected_ms,
        spread);
    return decision;
}
