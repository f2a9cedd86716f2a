/**
 * DOC: Times of recent answers, by route and by what its requests allow.
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
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

/* A configuration may have any number of routes; at this number all are
 * forgotten. */
enum { KEYS_MAX = 1024 };

void
lengths_init(struct relay *relay)
{
    relay->run_lengths =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    relay->finishes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void
lengths_clear(struct relay *relay)
{
    g_hash_table_destroy(relay->run_lengths);
    g_hash_table_destroy(relay->finishes);
}

/* Requests of a route whose output limits have the same number of bits are of
 * one kind. */
static uint64_t
kind_of(const struct exchange *exchange)
{
    return hash_pair(hash_text(exchange->route->name),
                     g_bit_storage((gulong)exchange->meta.max_output_tokens));
}

/* All requests to a service, which a kind with few answers is taken for. */
static uint64_t
service_of(const struct exchange *exchange)
{
    return hash_text(exchange->service->name);
}

/**
 * lengths_of() - times of the answers to requests like one
 * @relay: the relay
 * @exchange: the request
 * @now_ms: current time
 *
 * Return: owned by the relay; NULL when none has ended yet.
 */
const struct run_lengths *
lengths_of(struct relay *relay, const struct exchange *exchange,
           int64_t now_ms)
{
    uint64_t kind = kind_of(exchange);
    uint64_t service = service_of(exchange);
    const struct run_lengths *lengths =
        g_hash_table_lookup(relay->run_lengths, &kind);

    return lengths != NULL && run_lengths_known(lengths, now_ms)
               ? lengths
               : g_hash_table_lookup(relay->run_lengths, &service);
}

static void
count(struct relay *relay, uint64_t key, int64_t run_ms, double interval_ms,
      int64_t now_ms)
{
    struct run_lengths *lengths =
        g_hash_table_lookup(relay->run_lengths, &key);

    if (lengths == NULL) {
        if (g_hash_table_size(relay->run_lengths) >= KEYS_MAX) {
            g_hash_table_remove_all(relay->run_lengths);
        }
        lengths = g_new0(struct run_lengths, 1);
        g_hash_table_insert(relay->run_lengths, g_memdup2(&key, sizeof(key)),
                            lengths);
    }
    run_lengths_add(lengths, run_ms, interval_ms, now_ms);
}

static uint64_t
route_of(const struct exchange *exchange)
{
    return hash_text(exchange->route->name);
}

/**
 * lengths_describe_finish() - what the forecasts of a request's end need
 * @relay: the relay
 * @exchange: the request; its needs are updated
 * @now_ms: current time
 */
void
lengths_describe_finish(struct relay *relay, struct exchange *exchange,
                        int64_t now_ms)
{
    struct finish_facts *facts = &exchange->needs.finish;
    const struct finish_history *history;
    uint64_t key = route_of(exchange);

    facts->deadline_ms = exchange->deadline_ms;
    facts->events_done = (double)MAX(exchange->events.last_id + 1, 0);
    facts->events_max = 0.0;
    if (!exchange->route->stream || exchange->meta.max_output_tokens <= 0) {
        return;
    }
    history = g_hash_table_lookup(relay->finishes, &key);
    if (history == NULL || !finish_history_known(history, now_ms)) {
        key = service_of(exchange);
        history = g_hash_table_lookup(relay->finishes, &key);
    }
    finish_describe(history, exchange->meta.max_output_tokens, now_ms, facts);
}

static void
count_finish(struct relay *relay, uint64_t key,
             const struct finish_answer *answer, int64_t now_ms)
{
    struct finish_history *history =
        g_hash_table_lookup(relay->finishes, &key);

    if (history == NULL) {
        if (g_hash_table_size(relay->finishes) >= KEYS_MAX) {
            g_hash_table_remove_all(relay->finishes);
        }
        history = g_new0(struct finish_history, 1);
        g_hash_table_insert(relay->finishes, g_memdup2(&key, sizeof(key)),
                            history);
    }
    finish_history_add(history, answer, now_ms);
}

/* Mean interval between the events of a run; 0 for one without. */
static double
mean_interval_ms(const struct exchange *exchange)
{
    return exchange->run_events > 1
               ? (double)(exchange->last_event_ms - exchange->first_byte_ms) /
                     (exchange->run_events - 1)
               : 0.0;
}

static void
record_finish(struct relay *relay, const struct exchange *exchange,
              double interval_ms, int64_t now_ms)
{
    const struct finish_answer answer = {
        .events = exchange->run_events,
        .max_tokens = exchange->meta.max_output_tokens,
        .first_ms = exchange->first_byte_ms - exchange->sent_ms,
        .interval_ms = interval_ms,
    };

    count_finish(relay, route_of(exchange), &answer, now_ms);
    count_finish(relay, service_of(exchange), &answer, now_ms);
}

/**
 * lengths_record() - count the answer to a request that has ended whole
 * @relay: the relay
 * @exchange: the request
 * @now_ms: current time
 *
 * A stream that was resumed, here or by its caller, tells a part of its time.
 */
void
lengths_record(struct relay *relay, const struct exchange *exchange,
               int64_t now_ms)
{
    int64_t run_ms = now_ms - exchange->sent_ms;
    double interval_ms = mean_interval_ms(exchange);

    if (exchange->answer.status < 300 && exchange->resumes == 0 &&
        exchange->meta.last_event_id < 0 && !exchange->is_head_request) {
        count(relay, kind_of(exchange), run_ms, interval_ms, now_ms);
        count(relay, service_of(exchange), run_ms, interval_ms, now_ms);
        if (exchange->route->stream) {
            record_finish(relay, exchange, interval_ms, now_ms);
        }
    }
}
