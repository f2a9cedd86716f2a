/**
 * DOC: What is known about the wait of a request, for admit/wait.c.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    /* The holder sends forecasts several times a second; when none has
     * arrived for this long, there is no holder. */
    FORECAST_EXPIRY_MS = 1200,
    /* A wait of an eighth of the latency goal does not matter to callers. */
    CHECK_GOAL_DIVISOR = 8,
    CHECK_DELAY_MAX_MS = 300,
    /* The platform's contract: callers give up a stream without events after
     * the largest of this time and the multiples of its latency goal and of
     * its interval goal. */
    STREAM_TIMEOUT_MS = 2000,
    STREAM_TIMEOUT_GOALS = 4,
    STREAM_TIMEOUT_INTERVALS = 8,
    /* A caller gets an event later than it is sent. */
    CALLER_LAG_MS = 500,
};

/* A request that ends in time with less than this chance takes a place for
 * which others wait. */
static const double SHORT_RUN_SHARE = 0.25;

/**
 * forecast_store() - store a forecast from the lease holder
 * @relay: the relay
 * @forecast: the forecast
 * @now_ms: current time
 */
void
forecast_store(struct relay *relay, const struct load_forecast *forecast,
               int64_t now_ms)
{
    for (int i = 0; i < forecast->count; i++) {
        const struct item_forecast *item = &forecast->items[i];
        struct known_forecast *known = g_new0(struct known_forecast, 1);

        known->received_ms = now_ms;
        known->expected = item->expected;
        known->ready_ms = now_ms + item->ready_ms;
        g_hash_table_insert(relay->forecasts, GUINT_TO_POINTER(item->item),
                            known);
    }
}

/**
 * forecast_check_delay_ms() - how long a request waits before it is checked
 * @exchange: the request
 */
int64_t
forecast_check_delay_ms(const struct exchange *exchange)
{
    return MIN(exchange->route->latency_goal_ms / CHECK_GOAL_DIVISOR,
               CHECK_DELAY_MAX_MS);
}

static const struct known_forecast *
forecast_of(struct relay *relay, const struct exchange *exchange)
{
    const struct request_needs *needs = &exchange->needs;
    uint32_t item = needs->adapter != 0 ? needs->adapter : needs->model;

    return g_hash_table_lookup(relay->forecasts, GUINT_TO_POINTER(item));
}

/* How long callers wait for the next event of a stream. */
static int64_t
stream_patience_ms(const struct gate_route *route)
{
    int64_t patience_ms =
        MAX(STREAM_TIMEOUT_MS, STREAM_TIMEOUT_GOALS * route->latency_goal_ms);

    return MAX(patience_ms,
               STREAM_TIMEOUT_INTERVALS * route->interval_goal_ms);
}

/* When the caller gives up: at the deadline, or earlier for a stream whose
 * first or next event doesn't come. */
static int64_t
caller_timeout_at_ms(const struct exchange *exchange)
{
    int64_t waits_since_ms = exchange->arrived_ms;

    if (!exchange->route->stream) {
        return exchange->deadline_ms;
    }
    if (exchange->answer.head_sent) {
        waits_since_ms =
            MAX(waits_since_ms, exchange->last_event_ms) + CALLER_LAG_MS;
    }
    return MIN(exchange->deadline_ms,
               waits_since_ms + stream_patience_ms(exchange->route));
}

static void
add_load(struct relay *relay, const struct exchange *exchange,
         struct wait_facts *facts, int64_t now_ms)
{
    const struct known_forecast *known = forecast_of(relay, exchange);

    if (exchange->needs.model == 0 || known == NULL ||
        now_ms - known->received_ms > FORECAST_EXPIRY_MS) {
        /* A target has all that the request needs except a place. */
        if (target_exists_for(relay, &exchange->needs, now_ms)) {
            facts->load = LOAD_EXPECTED;
        }
        return;
    }
    facts->load = known->expected ? LOAD_EXPECTED : LOAD_NOT_EXPECTED;
    facts->ready_in_ms = MAX(known->ready_ms - now_ms, 0);
    facts->known_since_arrival = known->received_ms > exchange->arrived_ms;
}

/**
 * forecast_is_ready() - whether a request waits for a place only
 * @relay: the relay
 * @exchange: the request
 * @now_ms: current time
 *
 * Return: false while its item is being loaded.
 */
bool
forecast_is_ready(struct relay *relay, const struct exchange *exchange,
                  int64_t now_ms)
{
    struct wait_facts facts = {0};

    add_load(relay, exchange, &facts, now_ms);
    return facts.load == LOAD_UNKNOWN ||
           (facts.load == LOAD_EXPECTED && facts.ready_in_ms == 0);
}

/* Time in which at least SHORT_RUN_SHARE of the answers like this one end; -1
 * when unknown. */
static int64_t
shortest_run_ms(struct relay *relay, const struct exchange *exchange,
                int64_t now_ms)
{
    const struct run_lengths *lengths = lengths_of(relay, exchange, now_ms);

    return lengths != NULL
               ? run_lengths_quantile_ms(lengths, SHORT_RUN_SHARE, now_ms)
               : -1;
}

/**
 * forecast_describe() - fill in what ranks a request among others
 * @relay: the relay
 * @exchange: the request, described by lengths_describe_finish()
 * @now_ms: current time
 */
void
forecast_describe(struct relay *relay, struct exchange *exchange,
                  int64_t now_ms)
{
    int64_t run_ms = MAX(shortest_run_ms(relay, exchange, now_ms), 0);

    exchange->goal_due_ms = exchange->arrived_ms +
                            exchange->route->latency_goal_ms -
                            (int64_t)exchange->needs.finish.first_ms;
    exchange->last_start_ms =
        MIN(caller_timeout_at_ms(exchange), exchange->deadline_ms - run_ms);
    exchange->protected =
        exchange->entered && fairness_decide(relay, exchange);
    exchange->work_ms = finish_work_ms(&exchange->needs.finish);
}

/**
 * forecast_facts() - what decides whether a request waits for a target
 * @relay: the relay
 * @exchange: the request, queued or about to be
 * @now_ms: current time
 */
struct wait_facts
forecast_facts(struct relay *relay, const struct exchange *exchange,
               int64_t now_ms)
{
    struct wait_facts facts = {
        .begun = exchange->answer.head_sent,
        .protected = exchange->protected,
        .waited_ms = exchange->queued ? now_ms - exchange->arrived_ms : 0,
        .ahead = queue_ahead(relay, exchange, now_ms),
        .left_ms = exchange->deadline_ms - now_ms,
        .run_ms = shortest_run_ms(relay, exchange, now_ms),
        .late_share = target_least_late_share(relay, &exchange->needs, now_ms),
        .patience_ms = caller_timeout_at_ms(exchange) - now_ms,
        .goal_ms =
            exchange->arrived_ms + exchange->route->latency_goal_ms - now_ms,
    };

    add_load(relay, exchange, &facts, now_ms);
    pause_add_facts(relay, exchange, &facts, now_ms);
    return facts;
}

/**
 * forecast_spread() - what spreads the delays of refused callers
 * @relay: the relay
 *
 * Return: from 0 to 1.
 */
double
forecast_spread(struct relay *relay)
{
    return (double)(relay_random(relay) >> 11) / (double)(1ULL << 53);
}

/**
 * forecast_decide() - whether a request without a target waits or is refused
 * @relay: the relay
 * @exchange: the request, queued or about to be
 * @now_ms: current time
 */
struct wait_decision
forecast_decide(struct relay *relay, const struct exchange *exchange,
                int64_t now_ms)
{
    struct wait_facts facts = forecast_facts(relay, exchange, now_ms);

    return decide_wait(&facts, queue_pace_of(relay, exchange, now_ms),
                       forecast_spread(relay));
}
