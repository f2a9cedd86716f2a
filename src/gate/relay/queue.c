/**
 * DOC: Queues of requests that wait for a target.
 *
 * There is one queue for each service and item. Whatever may end a wait only
 * marks the queues; queue_dispatch_marked() sends their requests, ranked
 * together by admit/rank.c, after all events of an epoll round, so that no
 * dispatch runs inside another.
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

static void
free_queue(void *queue)
{
    g_queue_free_full(queue, g_free);
}

void
queue_init(struct relay *relay)
{
    relay->queues =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, free_queue);
    relay->paces =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    relay->marked_queues =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

void
queue_clear(struct relay *relay)
{
    g_hash_table_destroy(relay->queues);
    g_hash_table_destroy(relay->paces);
    g_hash_table_destroy(relay->marked_queues);
}

uint64_t
queue_key(const char *service, uint32_t item)
{
    return hash_pair(hash_text(service), item);
}

static uint64_t
exchange_queue_key(const struct exchange *exchange)
{
    const struct request_needs *need = &exchange->needs;

    return queue_key(need->service,
                     need->adapter != 0 ? need->adapter : need->model);
}

static struct rank
rank_exchange(const struct exchange *exchange, int64_t now_ms)
{
    struct rank_facts facts = {
        .priority = exchange->priority,
        .begun = exchange->answer.head_sent,
        .protected = exchange->protected,
        .arrived_ms = exchange->arrived_ms,
        .goal_due_ms = exchange->goal_due_ms,
        .last_start_ms = exchange->last_start_ms,
        .work_ms = exchange->work_ms,
    };

    return rank_of(&facts, now_ms);
}

static GQueue *
find_or_add_queue(struct relay *relay, uint64_t key)
{
    GQueue *queue = g_hash_table_lookup(relay->queues, &key);

    if (queue == NULL) {
        queue = g_queue_new();
        g_hash_table_insert(relay->queues, g_memdup2(&key, sizeof(key)),
                            queue);
    }
    return queue;
}

static void
advance_pace(struct relay *relay, const struct exchange *exchange,
             struct queue_pace *pace, int64_t now_ms)
{
    uint64_t key = exchange_queue_key(exchange);

    pace_advance(pace,
                 g_hash_table_contains(relay->queues, &key) &&
                     forecast_is_ready(relay, exchange, now_ms),
                 now_ms);
}

/**
 * queue_pace_of() - pace of the queue of a request
 * @relay: the relay
 * @exchange: the request
 * @now_ms: current time
 *
 * Return: the pace at @now_ms; owned by the relay.
 */
struct queue_pace *
queue_pace_of(struct relay *relay, const struct exchange *exchange,
              int64_t now_ms)
{
    uint64_t key = exchange_queue_key(exchange);
    struct queue_pace *pace = g_hash_table_lookup(relay->paces, &key);

    if (pace == NULL) {
        pace = g_new0(struct queue_pace, 1);
        g_hash_table_insert(relay->paces, g_memdup2(&key, sizeof(key)), pace);
    }
    advance_pace(relay, exchange, pace, now_ms);
    return pace;
}

/**
 * queue_peek_pace() - pace of the queue of a request, left as it is
 * @relay: the relay
 * @exchange: the request
 * @now_ms: current time
 *
 * Return: what queue_pace_of() would find at @now_ms.
 */
struct queue_pace
queue_peek_pace(struct relay *relay, const struct exchange *exchange,
                int64_t now_ms)
{
    uint64_t key = exchange_queue_key(exchange);
    const struct queue_pace *known = g_hash_table_lookup(relay->paces, &key);
    struct queue_pace pace = {0};

    if (known != NULL) {
        pace = *known;
    }
    advance_pace(relay, exchange, &pace, now_ms);
    return pace;
}

/**
 * queue_waiting_count() - requests in the queue of a request
 * @relay: the relay
 * @exchange: the request, in the queue or not
 */
int
queue_waiting_count(const struct relay *relay, const struct exchange *exchange)
{
    uint64_t key = exchange_queue_key(exchange);
    const GQueue *queue = g_hash_table_lookup(relay->queues, &key);

    return queue != NULL ? (int)queue->length : 0;
}

/**
 * queue_ahead() - requests of its queue that get a place before another
 * @relay: the relay
 * @exchange: the request, in its queue or not
 * @now_ms: current time
 *
 * What other queues take of the same targets is in the pace of the queue.
 */
int
queue_ahead(struct relay *relay, const struct exchange *exchange,
            int64_t now_ms)
{
    uint64_t key = exchange_queue_key(exchange);
    GQueue *queue = g_hash_table_lookup(relay->queues, &key);
    struct rank rank = rank_exchange(exchange, now_ms);
    int count = 0;

    for (GList *link = queue != NULL ? queue->head : NULL; link != NULL;
         link = link->next) {
        const struct exchange *other =
            table_get(&relay->exchanges, *(struct handle *)link->data);
        struct rank other_rank;

        if (other == exchange || other == NULL) {
            continue;
        }
        other_rank = rank_exchange(other, now_ms);
        count += rank_compare(&other_rank, &rank) <= 0 ? 1 : 0;
    }
    return count;
}

/**
 * queue_add() - queue a request
 * @relay: the relay
 * @exchange: the request
 */
void
queue_add(struct relay *relay, struct exchange *exchange)
{
    GQueue *queue = find_or_add_queue(relay, exchange_queue_key(exchange));

    g_queue_push_tail(queue,
                      g_memdup2(&exchange->self, sizeof(exchange->self)));
    exchange->queued = true;
    exchange->queue_key = exchange_queue_key(exchange);
}

/**
 * queue_remove() - take a request out of its queue, if it is in one
 * @relay: the relay
 * @exchange: the request
 */
void
queue_remove(struct relay *relay, struct exchange *exchange)
{
    GQueue *queue;

    if (!exchange->queued) {
        return;
    }
    exchange->queued = false;
    queue = g_hash_table_lookup(relay->queues, &exchange->queue_key);
    for (GList *link = queue->head; link != NULL; link = link->next) {
        struct handle *handle = link->data;

        if (handle->index == exchange->self.index) {
            g_free(handle);
            g_queue_delete_link(queue, link);
            break;
        }
    }
    if (queue->length == 0) {
        g_hash_table_remove(relay->queues, &exchange->queue_key);
    }
}

/**
 * queue_take() - take a request that has got a place out of its queue
 * @relay: the relay
 * @exchange: the request
 * @now_ms: current time
 */
void
queue_take(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    if (exchange->queued) {
        pace_taken(queue_pace_of(relay, exchange, now_ms));
        queue_remove(relay, exchange);
    }
}

static void
mark_queue(struct relay *relay, uint64_t key)
{
    if (g_hash_table_contains(relay->queues, &key)) {
        g_hash_table_add(relay->marked_queues, g_memdup2(&key, sizeof(key)));
    }
}

/**
 * queue_mark() - mark the queue of a request
 * @relay: the relay
 * @exchange: a request in a queue
 */
void
queue_mark(struct relay *relay, const struct exchange *exchange)
{
    mark_queue(relay, exchange->queue_key);
}

/**
 * queue_has_marked() - whether waiting requests may get places in this round
 * @relay: the relay
 */
bool
queue_has_marked(const struct relay *relay)
{
    return g_hash_table_size(relay->marked_queues) > 0;
}

/**
 * queue_mark_target() - mark the queues that a target can serve
 * @relay: the relay
 * @target: a target that may have become available
 */
void
queue_mark_target(struct relay *relay, const struct relay_target *target)
{
    const struct target_info *info = &target->record.info;

    if (g_hash_table_size(relay->queues) == 0) {
        return;
    }
    mark_queue(relay, queue_key(info->service, 0));
    for (int i = 0; i < info->held.count; i++) {
        mark_queue(relay, queue_key(info->service, info->held.ids[i]));
    }
}

/* A waiting request of a marked queue. */
struct candidate {
    struct rank rank;
    struct handle self;
    uint64_t queue_key;
    bool done;
};

static int
compare_candidates(const void *a, const void *b)
{
    return rank_compare(&((const struct candidate *)a)->rank,
                        &((const struct candidate *)b)->rank);
}

static void
add_candidates(struct relay *relay, GArray *candidates, uint64_t key,
               int64_t now_ms)
{
    GQueue *queue = g_hash_table_lookup(relay->queues, &key);

    for (GList *link = queue != NULL ? queue->head : NULL; link != NULL;
         link = link->next) {
        struct candidate candidate = {
            .self = *(struct handle *)link->data,
            .queue_key = key,
        };
        const struct exchange *exchange =
            table_get(&relay->exchanges, candidate.self);

        if (exchange != NULL) {
            candidate.rank = rank_exchange(exchange, now_ms);
            g_array_append_val(candidates, candidate);
        }
    }
}

/* The waiting requests of the marked queues by rank. The marks are taken
 * away. */
static GArray *
take_candidates(struct relay *relay, int64_t now_ms)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(struct candidate));
    GHashTableIter iter;
    void *key;

    g_hash_table_iter_init(&iter, relay->marked_queues);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        add_candidates(relay, candidates, *(uint64_t *)key, now_ms);
    }
    g_hash_table_remove_all(relay->marked_queues);
    g_array_sort(candidates, compare_candidates);
    return candidates;
}

static struct candidate *
candidate_at(GArray *candidates, guint index)
{
    return &g_array_index(candidates, struct candidate, index);
}

/* Leaves out the other requests of a queue. */
static void
finish_queue(GArray *candidates, uint64_t queue_key)
{
    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate = candidate_at(candidates, i);

        candidate->done |= candidate->queue_key == queue_key;
    }
}

static struct candidate *
first_overdue(GArray *candidates)
{
    struct candidate *best = NULL;

    for (guint i = 0; i < candidates->len; i++) {
        struct candidate *candidate = candidate_at(candidates, i);

        if (!candidate->done && candidate->rank.overdue &&
            (best == NULL ||
             rank_compare_overdue(&candidate->rank, &best->rank) < 0)) {
            best = candidate;
        }
    }
    return best;
}

/* The next request to get a place; NULL when there is none left. All before
 * the first are done. */
static struct candidate *
next_candidate(const struct relay *relay, GArray *candidates, guint *first)
{
    struct candidate *overdue =
        rank_is_overdue_turn(relay->places_since_overdue)
            ? first_overdue(candidates)
            : NULL;

    if (overdue != NULL) {
        return overdue;
    }
    while (*first < candidates->len &&
           candidate_at(candidates, *first)->done) {
        (*first)++;
    }
    return *first < candidates->len ? candidate_at(candidates, *first) : NULL;
}

/* Whether a request that could not be sent shows that its queue gets no place.
 * One for which targets were tried, or that is held back from full targets
 * because it would end late there, says nothing of the others. */
static bool
queue_gets_none(struct relay *relay, const struct exchange *exchange,
                int64_t now_ms)
{
    struct request_needs needs = exchange->needs;

    if (needs.tried_count > 0) {
        return false;
    }
    needs.finish.events_max = 0.0;
    return exchange->needs.finish.events_max <= 0.0 ||
           target_select(relay, &needs, now_ms) == NULL;
}

/* Sends a request if a target can take it now. */
static void
dispatch_candidate(struct relay *relay, GArray *candidates,
                   const struct candidate *candidate, int64_t now_ms)
{
    struct exchange *exchange = table_get(&relay->exchanges, candidate->self);

    if (exchange == NULL || !exchange->queued) {
        return;
    }
    exchange_dispatch(relay, exchange, now_ms);
    exchange = table_get(&relay->exchanges, candidate->self);
    if (exchange == NULL) {
        return;
    }
    if (!exchange->queued) {
        relay->places_since_overdue =
            candidate->rank.overdue ? 0 : relay->places_since_overdue + 1;
    }
    else if (queue_gets_none(relay, exchange, now_ms)) {
        finish_queue(candidates, candidate->queue_key);
    }
}

/**
 * queue_dispatch_marked() - dispatch the requests of the marked queues
 * @relay: the relay
 * @now_ms: current time
 *
 * Queues that were marked together compete for places, so their requests are
 * sent in one order.
 */
void
queue_dispatch_marked(struct relay *relay, int64_t now_ms)
{
    while (g_hash_table_size(relay->marked_queues) > 0) {
        GArray *candidates = take_candidates(relay, now_ms);
        struct candidate *next;
        guint first = 0;

        while ((next = next_candidate(relay, candidates, &first)) != NULL) {
            next->done = true;
            dispatch_candidate(relay, candidates, next, now_ms);
        }
        g_array_free(candidates, TRUE);
    }
}
