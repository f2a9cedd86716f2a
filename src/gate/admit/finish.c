/**
 * DOC: When a request would end at a target.
 *
 * The load answered here is a generation that runs until its deadline at a
 * slow engine and is lost there, while a fast engine runs short ones. A
 * request announces its longest output in tokens; how many tokens an event
 * holds, and which part of the longest output the answers to a kind of request
 * use, is learnt from the answers that end. The rest is the time to the first
 * event, the interval between events at the target, and the time left.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

/* Longer than a burst, shorter than a change of what is asked for. */
static const double DECAY_S = 60.0;

/* Tokens in an event change with the engines' version only. */
static const double EVENT_SIZE_DECAY_S = 600.0;

/* Answers from which on their parts of the longest output mean something. */
static const double KNOWN_AFTER = 10.0;

/* A target reads prompts faster or slower than others by as much as its events
 * come, but not beyond this factor: the rest is chance. */
static const double SPEED_RATIO_MAX = 4.0;

/* A slot serves the next request in its place twenty times as often. */
static const double HOPELESS_SHARE = 0.95;

/* At a full target others wait for the slot that a late answer takes. */
static const double HELD_SHARE = 0.25;

static double
kept_share(const struct finish_history *history, int64_t now_ms)
{
    return exp(-(double)(now_ms - history->updated_ms) / 1000.0 / DECAY_S);
}

static void
decay(struct finish_history *history, int64_t now_ms)
{
    double kept = kept_share(history, now_ms);

    for (int i = 0; i < FINISH_PARTS; i++) {
        history->counts[i] *= kept;
    }
    history->total *= kept;
    history->first_total_ms *= kept;
    history->interval_count *= kept;
    history->interval_total_ms *= kept;
    history->events_per_token *= pow(kept, DECAY_S / EVENT_SIZE_DECAY_S);
    history->updated_ms = now_ms;
}

/* The last event of an answer may be partly filled. */
static double
events_per_token(int events, int max_tokens)
{
    return (double)(events - 1) / max_tokens;
}

static double
longest_events(const struct finish_history *history, int max_tokens)
{
    return ceil(history->events_per_token * max_tokens) + 1.0;
}

/* The longest output has become more events: the answers that were counted
 * have used a smaller part of it. Else one answer with smaller events would
 * make all others seem longer than they were. */
static void
use_more_events(struct finish_history *history, double events)
{
    double ratio = history->events_per_token / events;
    double counts[FINISH_PARTS] = {0};

    for (int i = 0; i < FINISH_PARTS; i++) {
        counts[(int)((i + 0.5) * ratio)] += history->counts[i];
    }
    memcpy(history->counts, counts, sizeof(counts));
    history->events_per_token = events;
}

/**
 * finish_history_add() - count an answer that has ended whole
 * @history: answers to requests like it
 * @answer: the answer
 * @now_ms: current time
 *
 * Answers without a token limit or with less than two events are left out.
 */
void
finish_history_add(struct finish_history *history,
                   const struct finish_answer *answer, int64_t now_ms)
{
    double events;
    double part;

    if (answer->max_tokens <= 0 || answer->events < 2) {
        return;
    }
    decay(history, now_ms);
    events = events_per_token(answer->events, answer->max_tokens);
    if (events > history->events_per_token) {
        use_more_events(history, events);
    }
    part = answer->events / longest_events(history, answer->max_tokens);
    history->counts[(int)fmin(part * FINISH_PARTS, FINISH_PARTS - 1)] += 1.0;
    history->total += 1.0;
    history->first_total_ms += (double)answer->first_ms;
    history->interval_count += 1.0;
    history->interval_total_ms += answer->interval_ms;
}

/**
 * finish_history_known() - whether enough answers were counted lately
 * @history: the answers
 * @now_ms: current time
 */
bool
finish_history_known(const struct finish_history *history, int64_t now_ms)
{
    return history->total * kept_share(history, now_ms) >= KNOWN_AFTER;
}

/**
 * finish_describe() - what the forecasts of a request's end need
 * @history: answers to requests like it; NULL for none
 * @max_tokens: its longest output
 * @now_ms: current time
 * @facts: all but its deadline and what it has got is filled in
 */
void
finish_describe(const struct finish_history *history, int max_tokens,
                int64_t now_ms, struct finish_facts *facts)
{
    double longer;

    facts->events_max = 0.0;
    if (history == NULL || max_tokens <= 0 ||
        !finish_history_known(history, now_ms)) {
        return;
    }
    facts->events_max = longest_events(history, max_tokens);
    facts->first_ms = history->first_total_ms / history->total;
    facts->interval_ms = history->interval_total_ms / history->interval_count;
    longer = history->total;
    for (int i = 0; i < FINISH_PARTS; i++) {
        longer -= history->counts[i];
        facts->longer[i] = (float)fmax(longer / history->total, 0.0);
    }
}

/* Share of answers that use more than a part of the longest output. */
static double
longer_than(const struct finish_facts *facts, double part)
{
    double position = fmax(part, 0.0) * FINISH_PARTS;
    int bucket = (int)fmin(position, FINISH_PARTS);
    double above = bucket > 0 ? (double)facts->longer[bucket - 1] : 1.0;

    if (bucket >= FINISH_PARTS) {
        return 0.0;
    }
    return above -
           (above - (double)facts->longer[bucket]) * (position - bucket);
}

/* Time to the first event at a target with this interval between events. */
static double
first_event_ms(const struct finish_facts *facts, double interval_ms)
{
    double ratio = facts->interval_ms > 0.0 && interval_ms > 0.0
                       ? interval_ms / facts->interval_ms
                       : 1.0;

    ratio = fmin(fmax(ratio, 1.0 / SPEED_RATIO_MAX), SPEED_RATIO_MAX);
    return facts->first_ms * ratio;
}

/**
 * finish_late_share() - share of answers like a request's that would not end
 *                       in time at a target
 * @facts: the request
 * @interval_ms: interval between the target's events; 0 for unknown
 * @left_ms: time until the answer must have ended, from its sending
 *
 * Return: from 0 to 1; -1 when the length of the answers is unknown.
 */
double
finish_late_share(const struct finish_facts *facts, double interval_ms,
                  double left_ms)
{
    double done = facts->events_done;
    double left_events;
    double remaining;

    if (facts->events_max <= 0.0) {
        return -1.0;
    }
    left_ms -= first_event_ms(facts, interval_ms);
    if (left_ms <= 0.0) {
        return 1.0;
    }
    if (interval_ms <= 0.0) {
        return 0.0;
    }
    left_events = left_ms / interval_ms;
    if (done + left_events >= facts->events_max) {
        return 0.0;
    }
    remaining = longer_than(facts, done / facts->events_max);
    return remaining > 0.0
               ? longer_than(facts, (done + left_events) / facts->events_max) /
                     remaining
               : 0.0;
}

/**
 * finish_work_ms() - how long a request's answer is expected to run at a
 *                    target of the usual speed
 * @facts: the request
 *
 * Return: 0 when it is unknown.
 */
double
finish_work_ms(const struct finish_facts *facts)
{
    double part = 0.5 / FINISH_PARTS;

    if (facts->events_max <= 0.0) {
        return 0.0;
    }
    for (int i = 0; i < FINISH_PARTS; i++) {
        part += (double)facts->longer[i] / FINISH_PARTS;
    }
    return facts->first_ms +
           fmax(part * facts->events_max - facts->events_done, 0.0) *
               facts->interval_ms;
}

/**
 * finish_is_hopeless() - whether a request that waits for a place is refused
 * @late_share: the least of finish_late_share() for the targets that may take
 * it; below 0 when unknown
 */
bool
finish_is_hopeless(double late_share)
{
    return late_share >= HOPELESS_SHARE;
}

/**
 * finish_is_held() - whether a request waits for a better place than a target
 *                    that could take it
 * @late_share: from finish_late_share() for that target
 * @has_free_slot: no other request has to wait for it there
 *
 * Where a slot is free, an answer that may be late costs nobody anything.
 */
bool
finish_is_held(double late_share, bool has_free_slot)
{
    return late_share >= HELD_SHARE && !has_free_slot;
}
