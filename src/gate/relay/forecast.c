/**
 * DOC: Load forecasts, which tell whether a queued request can still be
 * served.
 *
 * A request that waits and then fails has cost its caller the time to try
 * elsewhere, so it is refused as soon as its model is known not to be ready
 * in time.
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
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

enum {
    /* The holder sends forecasts several times a second; when none has
     * arrived for this long, there is no holder. */
    FORECAST_EXPIRY_MS = 1200,
    /* Time for the request to run once its model is ready. */
    RUN_RESERVE_MS = 800,
    /* A load from the weight store is half done by then. */
    DEFAULT_RETRY_MS = 3000,
    /* The advised delay is at most the remaining time divided by this, so
     * that a caller that tries again still has time left. */
    RETRY_TIME_DIVISOR = 3,
    /* A wait of an eighth of the latency goal does not matter to callers. */
    CHECK_GOAL_DIVISOR = 8,
    CHECK_DELAY_MAX_MS = 300,
    /* The platform's contract: callers give up a stream without events after
     * the largest of this time and the multiples of its latency goal and of
     * its interval goal. */
    STREAM_TIMEOUT_MS = 2000,
    STREAM_TIMEOUT_GOALS = 4,
    STREAM_TIMEOUT_INTERVALS = 8,
};

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

/* When the caller gives up: at the deadline, or earlier for a stream that has
 * sent no event. */
static int64_t
caller_timeout_at_ms(const struct exchange *exchange)
{
    const struct gate_route *route = exchange->route;
    int64_t timeout_ms =
        MAX(STREAM_TIMEOUT_MS, STREAM_TIMEOUT_GOALS * route->latency_goal_ms);

    if (!route->stream) {
        return exchange->deadline_ms;
    }
    timeout_ms =
        MAX(timeout_ms, STREAM_TIMEOUT_INTERVALS * route->interval_goal_ms);
    return MIN(exchange->deadline_ms, exchange->arrived_ms + timeout_ms);
}

/**
 * forecast_rules_out() - whether a queued request should be refused
 * @relay: the relay
 * @exchange: a queued request
 * @now_ms: current time
 * @retry_ms: set to the delay after which the caller should try again
 */
bool
forecast_rules_out(struct relay *relay, const struct exchange *exchange,
                   int64_t now_ms, int64_t *retry_ms)
{
    const struct known_forecast *known = forecast_of(relay, exchange);
    int64_t left_ms = exchange->deadline_ms - now_ms;
    int64_t caller_left_ms = caller_timeout_at_ms(exchange) - now_ms;
    int64_t wait_ms = DEFAULT_RETRY_MS;
    bool refuse_now;

    if (exchange->needs.model == 0 || known == NULL ||
        now_ms - known->received_ms > FORECAST_EXPIRY_MS) {
        refuse_now = now_ms - exchange->arrived_ms > FORECAST_EXPIRY_MS;
    }
    else if (known->expected) {
        wait_ms = known->ready_ms - now_ms;
        refuse_now =
            wait_ms + RUN_RESERVE_MS > left_ms || wait_ms > caller_left_ms;
    }
    else {
        refuse_now = known->received_ms > exchange->arrived_ms;
    }
    *retry_ms = CLAMP(wait_ms, 1, MAX(left_ms / RETRY_TIME_DIVISOR, 1));
    return refuse_now;
}
