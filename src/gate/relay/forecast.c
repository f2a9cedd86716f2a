/**
 * DOC: Whether a request that waits for a model can still be served.
 *
 * A request that is held and then fails has cost its caller the time in which
 * it could have turned elsewhere, so it is refused as soon as it is known that
 * its model will not be there in time.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/belief/dat.h"
#include "gate/belief/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

enum {
    /* The holder tells several times a second; without a word for this long
     * there is none. */
    FORECAST_EXPIRY_MS = 1200,
    /* An answer is of use while a part of the caller's time is left. */
    RUN_RESERVE_MS = 800,
    DEFAULT_RETRY_MS =
        3000, /* a load from the weight store is half done by then */
    /* A caller that comes back has this part of its time left. */
    RETRY_TIME_DIVISOR = 3,
    /* A wait for an eighth of the goal costs the caller nothing that counts.
     */
    CHECK_GOAL_DIVISOR = 8,
    CHECK_DELAY_MAX_MS = 300,
    /* Callers' patience with a stream, by the platform's contract. */
    STREAM_TIMEOUT_MS = 2000,
    STREAM_TIMEOUT_GOALS = 4,
    STREAM_TIMEOUT_GAPS = 8,
};

/**
 * hope_learn() - the holder of orders tells when items can be used
 * @relay: the relay
 * @item: what it tells
 * @now_ms: present time
 */
void
forecast_store(struct relay *relay, const struct load_forecast *forecast,
               int64_t now_ms)
{
    for (int i = 0; i < forecast->count; i++) {
        const struct item_forecast *item = &forecast->items[i];
        struct known_forecast *known = g_new0(struct known_forecast, 1);

        known->received_ms = now_ms;
        known->coming = item->coming;
        known->ready_ms = now_ms + item->ready_ms;
        g_hash_table_insert(relay->forecasts, GUINT_TO_POINTER(item->item),
                            known);
    }
}

/**
 * hope_look_ms() - how long a request waits before its hope is looked at
 * @exchange: the request
 */
int64_t
forecast_check_delay_ms(const struct exchange *exchange)
{
    return MIN(exchange->route->goal_ms / CHECK_GOAL_DIVISOR,
               CHECK_DELAY_MAX_MS);
}

static const struct known_forecast *
forecast_of(struct relay *relay, const struct exchange *exchange)
{
    const struct choose_need *need = &exchange->need;
    uint32_t item = need->adapter != 0 ? need->adapter : need->model;

    return g_hash_table_lookup(relay->forecasts, GUINT_TO_POINTER(item));
}

/* Callers leave a stream that gives no event for some multiples of the times
 * that its route names. */
static int64_t
caller_timeout_at_ms(const struct exchange *exchange)
{
    const struct gate_route *route = exchange->route;
    int64_t timeout_ms =
        MAX(STREAM_TIMEOUT_MS, STREAM_TIMEOUT_GOALS * route->goal_ms);

    if (!route->stream) {
        return exchange->deadline_ms;
    }
    timeout_ms = MAX(timeout_ms, STREAM_TIMEOUT_GAPS * route->gap_ms);
    return MIN(exchange->deadline_ms, exchange->arrived_ms + timeout_ms);
}

/**
 * hope_is_gone() - whether a waiting request should be refused
 * @relay: the relay
 * @exchange: a request that waits
 * @now_ms: present time
 * @retry_ms: set to when the caller should come back, if it is
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

    if (exchange->need.model == 0 || known == NULL ||
        now_ms - known->received_ms > FORECAST_EXPIRY_MS) {
        refuse_now = now_ms - exchange->arrived_ms > FORECAST_EXPIRY_MS;
    }
    else if (known->coming) {
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
