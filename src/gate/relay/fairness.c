/**
 * DOC: What callers were served, for admit/fairness.c.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* A configuration may have any number of models and adapters; at this number
 * all counts are forgotten. */
enum { KEYS_MAX = 4096 };

void
fairness_init(struct relay *relay)
{
    relay->served_shares =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    relay->kind_sizes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void
fairness_clear(struct relay *relay)
{
    g_hash_table_destroy(relay->served_shares);
    g_hash_table_destroy(relay->kind_sizes);
}

static uint64_t
service_key(const struct exchange *exchange)
{
    return hash_text(exchange->service->name);
}

static uint64_t
kind_key(const struct exchange *exchange, const struct gate_route *route)
{
    return hash_pair(service_key(exchange), hash_text(route->name));
}

static uint64_t
item_key(const struct exchange *exchange)
{
    const struct request_needs *needs = &exchange->needs;

    return queue_key(needs->service,
                     needs->adapter != 0 ? needs->adapter : needs->model);
}

static uint64_t
size_key(const struct exchange *exchange)
{
    return hash_pair(kind_key(exchange, exchange->route),
                     (uint64_t)exchange->size_class);
}

static void *
find_or_add(GHashTable *table, uint64_t key, size_t bytes)
{
    void *found = g_hash_table_lookup(table, &key);

    if (found == NULL) {
        if (g_hash_table_size(table) >= KEYS_MAX) {
            g_hash_table_remove_all(table);
        }
        found = g_malloc0(bytes);
        g_hash_table_insert(table, g_memdup2(&key, sizeof(key)), found);
    }
    return found;
}

static double
share_of(struct relay *relay, uint64_t key)
{
    return served_share_of(g_hash_table_lookup(relay->served_shares, &key));
}

/* Largest share of the kinds of the service that have a lower priority. */
static double
less_urgent_share(struct relay *relay, const struct exchange *exchange)
{
    const struct gate_config *config = exchange->config;
    double largest = -1.0;

    for (int i = 0; i < config->route_count; i++) {
        const struct gate_route *route = &config->routes[i];

        if (route->priority > exchange->route->priority) {
            largest = MAX(largest, share_of(relay, kind_key(exchange, route)));
        }
    }
    return largest;
}

/**
 * fairness_peek() - class a request as fairness_enter() would, which is left
 *                   out of the sizes of its kind
 * @relay: the relay
 * @exchange: the request
 */
void
fairness_peek(const struct relay *relay, struct exchange *exchange)
{
    uint64_t key = kind_key(exchange, exchange->route);
    const struct kind_sizes *known =
        g_hash_table_lookup(relay->kind_sizes, &key);
    struct kind_sizes sizes = {0};

    if (known != NULL) {
        sizes = *known;
    }
    exchange->size_class =
        kind_sizes_add(&sizes, request_size(exchange->meta.prompt_tokens,
                                            exchange->meta.max_output_tokens));
    exchange->entered = true;
}

/**
 * fairness_enter() - class a request that is to be served
 * @relay: the relay
 * @exchange: the request
 */
void
fairness_enter(struct relay *relay, struct exchange *exchange)
{
    struct kind_sizes *sizes =
        find_or_add(relay->kind_sizes, kind_key(exchange, exchange->route),
                    sizeof(struct kind_sizes));

    exchange->size_class =
        kind_sizes_add(sizes, request_size(exchange->meta.prompt_tokens,
                                           exchange->meta.max_output_tokens));
    exchange->entered = true;
}

static void
count(struct relay *relay, uint64_t key, bool served, int64_t now_ms)
{
    served_share_add(
        find_or_add(relay->served_shares, key, sizeof(struct served_share)),
        served, now_ms);
}

/**
 * fairness_leave() - count a request that has ended
 * @relay: the relay
 * @exchange: the request; nothing is counted unless it was entered
 * @now_ms: current time
 */
void
fairness_leave(struct relay *relay, const struct exchange *exchange,
               int64_t now_ms)
{
    if (!exchange->entered) {
        return;
    }
    count(relay, service_key(exchange), exchange->served, now_ms);
    count(relay, kind_key(exchange, exchange->route), exchange->served,
          now_ms);
    if (exchange->needs.model != 0) {
        count(relay, item_key(exchange), exchange->served, now_ms);
    }
    if (exchange->size_class != SIZE_USUAL) {
        count(relay, size_key(exchange), exchange->served, now_ms);
    }
}

/**
 * fairness_decide() - whether a request is ranked before others because too
 *                     few of its like are served
 * @relay: the relay
 * @exchange: the request, entered
 */
bool
fairness_decide(struct relay *relay, const struct exchange *exchange)
{
    struct fairness_facts facts = {
        .all = share_of(relay, service_key(exchange)),
        .kind = share_of(relay, kind_key(exchange, exchange->route)),
        .item = exchange->needs.model != 0
                    ? share_of(relay, item_key(exchange))
                    : -1.0,
        .size = exchange->size_class != SIZE_USUAL
                    ? share_of(relay, size_key(exchange))
                    : -1.0,
        .less_urgent = less_urgent_share(relay, exchange),
    };

    return fairness_protects(&facts);
}
