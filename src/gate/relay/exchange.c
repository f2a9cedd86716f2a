/**
 * DOC: Requests, from their arrival to their final answer.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

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
    QUEUE_LOOK_MS = 250,   /* targets come back without a message at times */
    BUDGET_RETRY_MS = 500, /* some of the budget's window has passed */
    REJECTS_MAX = 3,       /* each one is a repeat at a busy service */
    UNREACHABLE_MAX = 6,
    PATIENCE_MS = 400,         /* for an answer that may be asked for again */
    PATIENCE_GOALS = 3,        /* or this many times the route's goal */
    STREAM_PATIENCE_MS = 2000, /* a target preempts streams for about 1 s */
    STREAM_PATIENCE_GOALS = 4,
    URGENCY_MAX = 9,
    LEAVE_RETRY_MS = 50,  /* at another instance */
    LEAVE_TAKE_MS = 3000, /* requests that come later may not be served
                           * whole before the process is killed */
};

/* Where the time that a caller accepts is an order of magnitude longer, the
 * request can wait behind others. */
static const int64_t URGENT_GOAL_MS = 1000;

static void
set_need(struct relay *relay, struct exchange *exchange)
{
    struct request_needs *need = &exchange->need;
    const struct request_facts *facts = &exchange->facts;
    uint32_t item = 0;

    need->service = exchange->service->name;
    need->zone = relay->settings->zone;
    need->interval_goal_ms =
        exchange->route->stream ? exchange->route->interval_goal_ms : 0;
    if (exchange->service->model_count == 0 || facts->item[0] == '\0') {
        return;
    }
    item = g_quark_try_string(facts->item);
    need->model = item_model(item);
    need->adapter = item_is_adapter(item) ? item : 0;
    if (facts->part_count > 1) {
        need->affinity = facts->parts[facts->part_count - 2].id | 1;
    }
}

static void
add_tried(struct exchange *exchange, const struct relay_target *target)
{
    struct request_needs *need = &exchange->need;

    if (need->tried_count < TRIED_MAX) {
        need->tried[need->tried_count++] = target->id_hash;
    }
}

/* Takes the fields over; returns false when one can't be read. */
static bool
take_fields(struct relay *relay, struct exchange *exchange,
            const struct head *head)
{
    exchange->facts.deadline_ms = -1;
    exchange->facts.last_event = -1;
    for (int i = 0; i < head_count(head); i++) {
        const char *name = head_field_name(head, i);
        const char *value = head_field_value(head, i);
        enum field_use use;

        if (head_is_hop_field(head, name)) {
            continue;
        }
        use = relay->dialect->ops->request_field(relay->dialect, name, value,
                                                 &exchange->facts);
        if (use == FIELD_BAD) {
            return false;
        }
        if (use == FIELD_PASS) {
            g_string_append_printf(exchange->fields, "%s: %s\r\n", name,
                                   value);
        }
    }
    return exchange->facts.attempt[0] != '\0';
}

static struct exchange *
create(struct relay *relay, struct client *client, int64_t now_ms)
{
    struct handle handle;
    struct err err = {0};
    struct exchange *exchange = table_alloc(&relay->exchanges, &handle, &err);

    if (exchange == NULL) {
        return NULL;
    }
    exchange->self = handle;
    exchange->timer.kind = TIMER_EXCHANGE;
    exchange->client = client->self;
    exchange->arrived_ms = now_ms;
    exchange->method = (int)client->parser.method;
    exchange->head_method = client->parser.method == HTTP_HEAD;
    exchange->path = g_strdup(head_start_text(&client->head));
    exchange->fields = g_string_new(NULL);
    exchange->body = client->body;
    client->body = g_byte_array_new();
    exchange->config = gate_config_ref(relay->config);
    answer_init(&exchange->answer);
    client->exchange = handle;
    return exchange;
}

/* Finds route and service. Returns ERR_NONE or why the request is refused. */
static enum err_kind
find_route(struct relay *relay, struct exchange *exchange,
           const struct head *head)
{
    const char *host = head_find(head, "Host");
    char *name;

    if (exchange->config == NULL) {
        return ERR_NOT_READY;
    }
    if (host == NULL) {
        return ERR_BAD_REQUEST;
    }
    name = g_strndup(host, strcspn(host, ":"));
    exchange->route =
        gate_config_match_route(exchange->config, name, exchange->path);
    g_free(name);
    if (exchange->route == NULL) {
        return ERR_NOT_FOUND;
    }
    exchange->service_index =
        gate_route_pick_service(exchange->route, relay_random(relay));
    if (exchange->service_index < 0) {
        return ERR_NO_TARGET;
    }
    exchange->service = &exchange->config->services[exchange->service_index];
    return ERR_NONE;
}

static void
set_due(struct exchange *exchange)
{
    int64_t wait_ms = exchange->route->timeout_ms;

    if (exchange->facts.deadline_ms >= 0 &&
        exchange->facts.deadline_ms < wait_ms) {
        wait_ms = exchange->facts.deadline_ms;
    }
    exchange->due_ms = exchange->arrived_ms + wait_ms;
    events_init(&exchange->events, exchange->facts.last_event);
}

static struct retry_budget *
budget_of(struct relay *relay, const struct exchange *exchange)
{
    struct retry_budget *budget =
        g_hash_table_lookup(relay->budgets, exchange->service->name);

    if (budget == NULL) {
        budget = g_new0(struct retry_budget, 1);
        g_hash_table_insert(relay->budgets, g_strdup(exchange->service->name),
                            budget);
    }
    return budget;
}

/**
 * exchange_start() - begin with the request that a caller has sent
 * @relay: the relay
 * @client: the connection with a whole request
 * @now_ms: present time
 */
void
exchange_start(struct relay *relay, struct client *client, int64_t now_ms)
{
    struct exchange *exchange = create(relay, client, now_ms);
    enum err_kind refusal;

    if (exchange == NULL) {
        refuse_client(relay, client, 503, "table_full", now_ms);
        return;
    }
    counter_add(CTR_CALLS, 1);
    exchange->due_ms = now_ms;
    if (!take_fields(relay, exchange, &client->head)) {
        refuse(relay, exchange, ERR_BAD_REQUEST, 0, now_ms);
        return;
    }
    refusal = find_route(relay, exchange, &client->head);
    if (refusal != ERR_NONE) {
        refuse(relay, exchange, refusal, 0, now_ms);
        return;
    }
    set_due(exchange);
    set_need(relay, exchange);
    if (relay->leaving && now_ms - relay->leave_ms > LEAVE_TAKE_MS) {
        refuse(relay, exchange, ERR_STOPPED, LEAVE_RETRY_MS, now_ms);
        return;
    }
    if (exchange->service->model_count > 0 && exchange->need.model == 0) {
        refuse(relay, exchange, ERR_UNKNOWN_MODEL, 0, now_ms);
        return;
    }
    retry_budget_count_request(budget_of(relay, exchange),
                               relay->settings->limits.retry_window_ms,
                               now_ms);
    note_arrival(relay, exchange);
    exchange_dispatch(relay, exchange, now_ms);
}

static int64_t
patience_ms(const struct exchange *exchange)
{
    const struct gate_route *route = exchange->route;
    int64_t wait_ms;

    if (!route->retryable) {
        return 0;
    }
    if (route->stream) {
        wait_ms = route->latency_goal_ms * STREAM_PATIENCE_GOALS;
        return MAX(wait_ms, STREAM_PATIENCE_MS);
    }
    wait_ms = route->latency_goal_ms * PATIENCE_GOALS;
    return MAX(wait_ms, PATIENCE_MS);
}

/**
 * exchange_set_timer() - wake up when the request must be looked at
 * @relay: the relay
 * @exchange: the request
 */
void
exchange_set_timer(struct relay *relay, struct exchange *exchange)
{
    int64_t due_ms = exchange->due_ms;
    int64_t patience = patience_ms(exchange);

    if (exchange->queued) {
        due_ms = MIN(due_ms, MAX(exchange->arrived_ms + hope_look_ms(exchange),
                                 exchange->progress_ms + QUEUE_LOOK_MS));
    }
    else if (patience > 0) {
        due_ms = MIN(due_ms, exchange->progress_ms + patience);
    }
    heap_set(&relay->timers, &exchange->timer, due_ms);
}

static void
wait_for_target(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    exchange->progress_ms = now_ms;
    if (!exchange->queued) {
        log_line(LOG_PRI_INFO, "relay",
                 "event=waiting id=%s service=%s item=%s sends=%d "
                 "left_ms=%" G_GINT64_FORMAT,
                 exchange->facts.attempt, exchange->service->name,
                 exchange->facts.item, exchange->sends,
                 (gint64)(exchange->due_ms - now_ms));
        queue_add(relay, exchange);
        relay->note_now = true;
    }
    exchange_set_timer(relay, exchange);
}

/**
 * exchange_urgency() - how soon a target should serve a request
 * @exchange: the request
 *
 * Return: 0 for the most urgent to 9.
 */
int
exchange_urgency(const struct exchange *exchange)
{
    int level = exchange->route->priority * 2 +
                (exchange->route->latency_goal_ms > URGENT_GOAL_MS ? 1 : 0);

    return MIN(level, URGENCY_MAX);
}

static void
send_to(struct relay *relay, struct exchange *exchange,
        struct relay_target *target, int64_t now_ms)
{
    struct upstream *upstream =
        upstream_take(relay, target, exchange->route->retryable, now_ms);

    if (upstream == NULL) {
        result_unreachable(relay, exchange, now_ms);
        return;
    }
    add_tried(exchange, target);
    exchange->stage = STAGE_SENT;
    exchange->sends++;
    exchange->runs++;
    exchange->sent_ms = now_ms;
    exchange->progress_ms = now_ms;
    log_line(LOG_PRI_INFO, "relay",
             "event=sent id=%s target=%s service=%s item=%s send=%d "
             "running=%d elsewhere=%d pace_ms=%.0f failures=%.2f urgency=%d "
             "new=%d "
             "waited_ms=%" G_GINT64_FORMAT " version=%" G_GINT64_FORMAT
             " last_event=%" G_GINT64_FORMAT,
             exchange->facts.attempt, target->choose.info.id,
             exchange->service->name, exchange->facts.item, exchange->sends,
             target->choose.running, target->choose.running_elsewhere,
             event_intervals_mean_ms(&target->choose.intervals, now_ms),
             target->choose.health.failure_rate, exchange_urgency(exchange),
             upstream->used == 0, (gint64)(now_ms - exchange->arrived_ms),
             (gint64)exchange->config->version, (gint64)exchange->events.last);
    upstream_send(relay, upstream, exchange, now_ms);
    exchange_set_timer(relay, exchange);
}

static bool
may_send(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    if (exchange->runs >= exchange->route->attempts_max ||
        exchange->rejects > REJECTS_MAX ||
        exchange->unreachable > UNREACHABLE_MAX) {
        refuse(relay, exchange,
               exchange->runs > 0 ? ERR_TARGET_FAILED : ERR_NO_TARGET,
               BUDGET_RETRY_MS, now_ms);
        return false;
    }
    if (exchange->sends > 0 &&
        !retry_budget_take(budget_of(relay, exchange),
                           &relay->settings->limits,
                           relay_instances(relay, now_ms), now_ms)) {
        refuse(relay, exchange, ERR_RETRY_BUDGET, BUDGET_RETRY_MS, now_ms);
        return false;
    }
    return true;
}

/**
 * exchange_dispatch() - send a request to a target, or let it wait for one
 * @relay: the relay
 * @exchange: a request that is at no target; may be gone afterwards
 * @now_ms: present time
 */
void
exchange_dispatch(struct relay *relay, struct exchange *exchange,
                  int64_t now_ms)
{
    struct relay_target *target;

    if (now_ms >= exchange->due_ms) {
        refuse(relay, exchange, ERR_DEADLINE, 0, now_ms);
        return;
    }
    target = target_pick(relay, &exchange->need, now_ms);
    if (target == NULL && exchange->queued && exchange->need.tried_count > 0 &&
        !target_any(relay, &exchange->need)) {
        /* Each target that could serve it has had it, some time ago. */
        exchange->need.tried_count = 0;
        target = target_pick(relay, &exchange->need, now_ms);
    }
    if (target == NULL) {
        wait_for_target(relay, exchange, now_ms);
        return;
    }
    queue_remove(relay, exchange);
    if (may_send(relay, exchange, now_ms)) {
        send_to(relay, exchange, target, now_ms);
    }
}

/**
 * exchange_finish() - forget a request that has its final answer
 * @relay: the relay
 * @exchange: the request; gone afterwards
 * @now_ms: present time
 */
void
exchange_finish(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    struct client *client = table_get(&relay->clients, exchange->client);
    struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);

    queue_remove(relay, exchange);
    heap_remove(&relay->timers, &exchange->timer);
    if (upstream != NULL) {
        upstream_drop(relay, upstream);
    }
    gate_config_unref(exchange->config);
    g_free(exchange->path);
    g_string_free(exchange->fields, TRUE);
    g_byte_array_free(exchange->body, TRUE);
    answer_clear(&exchange->answer);
    events_clear(&exchange->events);
    table_free(&relay->exchanges, exchange->self);
    if (client != NULL) {
        client_answered(relay, client, now_ms);
    }
}

/**
 * exchange_cancel() - the caller has left
 * @relay: the relay
 * @exchange: its request; gone afterwards
 * @now_ms: present time
 */
void
exchange_cancel(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    log_line(
        LOG_PRI_INFO, "relay",
        "event=caller_left id=%s sends=%d begun=%d age_ms=%" G_GINT64_FORMAT,
        exchange->facts.attempt, exchange->sends, exchange->answer.begun,
        (gint64)(now_ms - exchange->arrived_ms));
    exchange_finish(relay, exchange, now_ms);
}

/**
 * exchange_end_all() - answer requests before the process stops
 * @relay: the relay
 * @queued: only those that no target has
 * @now_ms: present time
 */
void
exchange_end_all(struct relay *relay, bool queued, int64_t now_ms)
{
    struct exchange *exchange;
    uint32_t cursor = 0;

    while ((exchange = table_next(&relay->exchanges, &cursor, NULL)) != NULL) {
        if (!queued || exchange->queued) {
            refuse(relay, exchange, ERR_STOPPED, LEAVE_RETRY_MS, now_ms);
        }
    }
}

static void
look_at_waiting(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    int64_t retry_ms;

    if (target_pick(relay, &exchange->need, now_ms) == NULL &&
        hope_is_gone(relay, exchange, now_ms, &retry_ms)) {
        refuse(relay, exchange,
               exchange->runs > 0 ? ERR_TARGET_FAILED : ERR_NO_TARGET,
               retry_ms, now_ms);
        return;
    }
    exchange_dispatch(relay, exchange, now_ms);
}

/**
 * exchange_timer() - the deadline, or a target that has been silent too long
 * @relay: the relay
 * @exchange: the request; may be gone afterwards
 * @now_ms: present time
 */
void
exchange_timer(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    if (now_ms >= exchange->due_ms) {
        refuse(relay, exchange, ERR_DEADLINE, 0, now_ms);
    }
    else if (exchange->queued) {
        look_at_waiting(relay, exchange, now_ms);
    }
    else {
        result_broken(relay, exchange, "silent", now_ms);
    }
}
