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
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

enum {
    /* The holder tells several times a second; without a word for this long
     * there is none. */
    SILENCE_MS = 1200,
    /* An answer is of use while a part of the caller's time is left. */
    RUN_MS = 800,
    RETRY_MS = 3000, /* a load from the weight store is half done by then */
    /* A caller that comes back has this part of its time left. */
    RETRY_PART = 3,
    /* A wait for an eighth of the goal costs the caller nothing that counts.
     */
    GOAL_PART = 8,
    LOOK_MAX_MS = 300,
    /* Callers' patience with a stream, by the platform's contract. */
    PATIENCE_MS = 2000,
    PATIENCE_GOALS = 4,
    PATIENCE_GAPS = 8,
};

/**
 * hope_learn() - the holder of orders tells when items can be used
 * @relay: the relay
 * @outlook: what it tells
 * @now_ms: present time
 */
void
hope_learn(struct relay *relay, const struct outlook *outlook, int64_t now_ms)
{
    for (int i = 0; i < outlook->count; i++) {
        const struct forecast *forecast = &outlook->items[i];
        struct expectation *known = g_new0(struct expectation, 1);

        known->heard_ms = now_ms;
        known->coming = forecast->coming;
        known->ready_ms = now_ms + forecast->ready_ms;
        g_hash_table_insert(relay->outlook, GUINT_TO_POINTER(forecast->item),
                            known);
    }
}

/**
 * hope_look_ms() - how long a request waits before its hope is looked at
 * @exchange: the request
 */
int64_t
hope_look_ms(const struct exchange *exchange)
{
    return MIN(exchange->route->latency_goal_ms / GOAL_PART, LOOK_MAX_MS);
}

static const struct expectation *
expected(struct relay *relay, const struct exchange *exchange)
{
    const struct request_needs *need = &exchange->need;
    uint32_t item = need->adapter != 0 ? need->adapter : need->model;

    return g_hash_table_lookup(relay->outlook, GUINT_TO_POINTER(item));
}

/* Callers leave a stream that gives no event for some multiples of the times
 * that its route names. */
static int64_t
patience_end_ms(const struct exchange *exchange)
{
    const struct gate_route *route = exchange->route;
    int64_t patience_ms =
        MAX(PATIENCE_MS, PATIENCE_GOALS * route->latency_goal_ms);

    if (!route->stream) {
        return exchange->due_ms;
    }
    patience_ms = MAX(patience_ms, PATIENCE_GAPS * route->interval_goal_ms);
    return MIN(exchange->due_ms, exchange->arrived_ms + patience_ms);
}

/**
 * hope_is_gone() - whether a waiting request should be refused
 * @relay: the relay
 * @exchange: a request that waits
 * @now_ms: present time
 * @retry_ms: set to when the caller should come back, if it is
 */
bool
hope_is_gone(struct relay *relay, const struct exchange *exchange,
             int64_t now_ms, int64_t *retry_ms)
{
    const struct expectation *known = expected(relay, exchange);
    int64_t left_ms = exchange->due_ms - now_ms;
    int64_t stays_ms = patience_end_ms(exchange) - now_ms;
    int64_t wait_ms = RETRY_MS;
    bool gone;

    if (exchange->need.model == 0 || known == NULL ||
        now_ms - known->heard_ms > SILENCE_MS) {
        gone = now_ms - exchange->arrived_ms > SILENCE_MS;
    }
    else if (known->coming) {
        wait_ms = known->ready_ms - now_ms;
        gone = wait_ms + RUN_MS > left_ms || wait_ms > stays_ms;
    }
    else {
        gone = known->heard_ms > exchange->arrived_ms;
    }
    *retry_ms = CLAMP(wait_ms, 1, MAX(left_ms / RETRY_PART, 1));
    return gone;
}
