/**
 * DOC: Which requests are served too seldom for the benefit of others.
 *
 * The load answered here is one that exceeds the places for long. What costs
 * callers least is refused first, and would be refused always: the largest
 * requests of a kind, a kind of low priority, a model or adapter that few ask
 * for. Each instance counts what it was asked and what it has served, and
 * ranks requests first whose like are served less often than they must be.
 */
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

/* Counts fall to a third in this time. It is twice as long as the time between
 * two requests for a rarely requested model. */
static const double DECAY_S = 120.0;

/* With fewer requests a share is mostly chance. */
static const double KNOWN_AFTER = 4.0;

/* What the requests of a kind, model or adapter, and the largest of a kind,
 * must get at least, of the share of all and of their kind: the required
 * bounds of docs/hard-load.md, part C. They are ranked first before it comes
 * to that. */
static const double ITEM_SHARE_MIN = 0.25;
static const double LARGE_SHARE_MIN = 0.5;
static const double MARGIN = 1.5;

/* A kind may be served less often than a less urgent one by 5 in 100 at most
 * (docs/hard-load.md, part C); half of it leaves time to correct. */
static const double LESS_URGENT_SLACK = 0.025;

/* Sizes that this share of the requests of a kind exceeds. */
static const double LARGEST_SHARE = 0.1;
static const double LARGE_SHARE = 0.3;

/* Weight of an output token in the size of a request, as in the customers'
 * value of a generation (docs/hard-load.md). It is not measured at engines. */
static const double OUTPUT_TOKEN_SIZE = 10.0;

/* Part of a limit by which one request moves it, so that the limit tracks a
 * quantile of the sizes without a list of them. */
static const double LIMIT_STEP = 0.1;

static void
decay(struct served_share *share, int64_t now_ms)
{
    double kept =
        exp(-(double)(now_ms - share->updated_ms) / 1000.0 / DECAY_S);

    share->asked *= kept;
    share->served *= kept;
    share->updated_ms = now_ms;
}

/**
 * served_share_add() - count a request that has ended
 * @share: share of the requests like it
 * @served: its caller has got the whole answer
 * @now_ms: current time
 */
void
served_share_add(struct served_share *share, bool served, int64_t now_ms)
{
    decay(share, now_ms);
    share->asked += 1.0;
    share->served += served ? 1.0 : 0.0;
}

/**
 * served_share_of() - share of the requests that were served
 * @share: the counts; NULL for none
 *
 * Return: -1 when too few were asked lately.
 */
double
served_share_of(const struct served_share *share)
{
    return share != NULL && share->asked >= KNOWN_AFTER
               ? share->served / share->asked
               : -1.0;
}

/**
 * request_size() - size of a request, in tokens of a prompt
 * @prompt_tokens: length of its prompt
 * @max_tokens: its longest output
 */
double
request_size(int prompt_tokens, int max_tokens)
{
    return prompt_tokens + OUTPUT_TOKEN_SIZE * max_tokens;
}

/* A limit that a share of the sizes exceeds. */
static double
follow(double limit, double size, double share)
{
    if (limit <= 0.0) {
        return size;
    }
    return size > limit ? limit * (1.0 + LIMIT_STEP * (1.0 - share))
                        : limit * (1.0 - LIMIT_STEP * share);
}

/**
 * kind_sizes_add() - count the size of a request and class it
 * @sizes: sizes of its kind
 * @size: from request_size(); 0 when unknown
 *
 * Return: its class.
 */
enum size_class
kind_sizes_add(struct kind_sizes *sizes, double size)
{
    enum size_class class = SIZE_USUAL;

    if (size <= 0.0) {
        return SIZE_USUAL;
    }
    if (size > sizes->largest && sizes->largest > 0.0) {
        class = SIZE_LARGEST;
    }
    else if (size > sizes->large && sizes->large > 0.0) {
        class = SIZE_LARGE;
    }
    sizes->largest = follow(sizes->largest, size, LARGEST_SHARE);
    sizes->large = follow(sizes->large, size, LARGE_SHARE);
    return class;
}

/* Whether a kind is served less often than one of lower priority. */
static bool
is_passed_over(const struct fairness_facts *facts)
{
    return facts->kind >= 0.0 && facts->less_urgent >= 0.0 &&
           facts->kind < facts->less_urgent - LESS_URGENT_SLACK;
}

static bool
is_below(double share, double of, double least)
{
    return share >= 0.0 && of >= 0.0 && share < of * least * MARGIN;
}

/**
 * fairness_protects() - whether a request is ranked before others because too
 *                       few of its like are served
 * @facts: shares of its like
 */
bool
fairness_protects(const struct fairness_facts *facts)
{
    return is_below(facts->kind, facts->all, ITEM_SHARE_MIN) ||
           is_below(facts->item, facts->all, ITEM_SHARE_MIN) ||
           is_below(facts->size, facts->kind, LARGE_SHARE_MIN) ||
           is_passed_over(facts);
}
