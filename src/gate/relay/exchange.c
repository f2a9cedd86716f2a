/**
 * DOC: Requests, from their arrival to their final response.
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
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    QUEUE_RECHECK_MS = 250, /* some targets recover without a message */
    REJECTS_MAX = 3,        /* each retry adds load to a busy service */
    CONNECT_FAILURES_MAX = 6,
    SILENCE_RECHECK_MS = 100, /* another target may have become free */
    URGENCY_MAX = 9,
    NOT_READY_RETRY_MS = 300, /* the store answers by then, if it does */
};

/* Callers of routes with a longer goal accept delays of an order of magnitude
 * more, so their requests can wait behind others. */
static const int64_t URGENT_GOAL_MS = 1000;

static void
set_needs(struct relay *relay, struct exchange *exchange)
{
    struct request_needs *needs = &exchange->needs;
    const struct request_meta *meta = &exchange->meta;
    uint32_t item = 0;

    needs->service = exchange->service->name;
    needs->zone = relay->settings->zone;
    needs->interval_goal_ms =
        exchange->route->stream ? exchange->route->interval_goal_ms : 0;
    needs->token_capacity = exchange->service->token_capacity;
    needs->tokens =
        (int64_t)MAX(meta->prompt_tokens, 0) + MAX(meta->max_output_tokens, 0);
    if (exchange->service->model_count == 0 || meta->item[0] == '\0') {
        return;
    }
    item = g_quark_try_string(meta->item);
    needs->model = item_model(item);
    needs->adapter = item_is_adapter(item) ? item : 0;
    if (meta->part_count > 1) {
        needs->affinity = meta->parts[meta->part_count - 2].id | 1;
    }
}

static void
mark_tried(struct exchange *exchange, const struct relay_target *target)
{
    struct request_needs *needs = &exchange->needs;

    if (needs->tried_count < TRIED_MAX) {
        needs->tried[needs->tried_count++] = target->id_hash;
    }
}

static bool
has_teams(const struct exchange *exchange)
{
    return exchange->config != NULL && exchange->config->has_teams;
}

/* Returns false when a field is invalid or the attempt id is missing. */
static bool
read_header_fields(struct relay *relay, struct exchange *exchange,
                   const struct head *head)
{
    exchange->meta.deadline_ms = -1;
    exchange->meta.last_event_id = -1;
    for (int i = 0; i < head_field_count(head); i++) {
        const char *name = head_field_name(head, i);
        const char *value = head_field_value(head, i);
        enum field_action action;

        if (head_is_hop_by_hop(head, relay->dialect, name)) {
            continue;
        }
        action = relay->dialect->ops->read_request_field(
            relay->dialect, name, value, &exchange->meta);
        if (action == FIELD_INVALID) {
            return false;
        }
        if (action == FIELD_PASS ||
            (action == FIELD_TEAM && !has_teams(exchange))) {
            g_string_append_printf(exchange->header_fields, "%s: %s\r\n", name,
                                   value);
        }
    }
    return exchange->meta.attempt_id[0] != '\0';
}

static struct exchange *
create_exchange(struct relay *relay, struct client *client, int64_t now_ms)
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
    exchange->is_head_request = client->parser.method == HTTP_HEAD;
    exchange->path = g_strdup(head_start_text(&client->head));
    exchange->header_fields = g_string_new(NULL);
    exchange->body = g_byte_array_free_to_bytes(client->body);
    client->body = g_byte_array_new();
    exchange->config = gate_config_ref(relay->config);
    answer_init(&exchange->answer);
    client->exchange = handle;
    return exchange;
}

/* Finds route and service. Returns ERR_NONE or why the request is refused. */
static enum err_kind
find_route(struct relay *relay, struct exchange *exchange, const char *host)
{
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
    if (exchange->route->unusable) {
        return ERR_ROUTE_UNUSABLE;
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
set_deadline(struct exchange *exchange)
{
    int64_t timeout_ms = exchange->route->timeout_ms;

    if (exchange->meta.deadline_ms >= 0 &&
        exchange->meta.deadline_ms < timeout_ms) {
        timeout_ms = exchange->meta.deadline_ms;
    }
    exchange->deadline_ms = exchange->arrived_ms + timeout_ms;
    events_init(&exchange->events, exchange->meta.last_event_id);
}

static struct retry_budget *
retry_budget_of(struct relay *relay, const struct exchange *exchange)
{
    struct retry_budget *budget =
        g_hash_table_lookup(relay->retry_budgets, exchange->service->name);

    if (budget == NULL) {
        budget = g_new0(struct retry_budget, 1);
        g_hash_table_insert(relay->retry_budgets,
                            g_strdup(exchange->service->name), budget);
    }
    return budget;
}

/* ERR_BODY_TOO_LARGE would blame a body whose length is allowed. The refusal
 * names no time: only another configuration would change it. */
static void
refuse_too_many_tokens(struct relay *relay, struct exchange *exchange,
                       int64_t now_ms)
{
    counter_add(CTR_TOKENS_TOO_MANY, 1);
    log_line(LOG_PRI_WARNING, "relay",
             "event=too_many_tokens id=%s service=%s tokens=%" G_GINT64_FORMAT
             " capacity=%" G_GINT64_FORMAT,
             exchange->meta.attempt_id, exchange->service->name,
             (gint64)exchange->needs.tokens,
             (gint64)exchange->needs.token_capacity);
    refuse(relay, exchange, ERR_NO_TARGET, 0, now_ms);
}

/* Places have come free for which others wait: the request is ranked among
 * them, and checked at once if it gets none. */
static void
compete(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    lengths_describe_finish(relay, exchange, now_ms);
    forecast_describe(relay, exchange, now_ms);
    pace_arrived(queue_pace_of(relay, exchange, now_ms));
    queue_add(relay, exchange);
    queue_mark(relay, exchange);
    heap_set(&relay->timers, &exchange->timer, now_ms);
}

/**
 * exchange_check() - find route, needs and team of a request that has arrived
 * @relay: the relay
 * @exchange: the request, with its configuration, path and meta; filled in
 * @host: its host, with a port or without; NULL for none
 * @team: index of its team in the configuration; -1 for none
 * @now_ms: current time
 *
 * Return: whether it is refused before its quota and the targets are looked
 * at.
 */
struct admission
exchange_check(struct relay *relay, struct exchange *exchange,
               const char *host, int team, int64_t now_ms)
{
    struct admission admission = {
        .refusal = find_route(relay, exchange, host),
    };

    if (admission.refusal != ERR_NONE) {
        admission.retry_ms =
            admission.refusal == ERR_NOT_READY ? NOT_READY_RETRY_MS : 0;
        return admission;
    }
    set_deadline(exchange);
    set_needs(relay, exchange);
    admission.refusal = team_admit(relay, exchange, team, now_ms);
    if (admission.refusal != ERR_NONE) {
        admission.retry_ms =
            admission.refusal == ERR_KEYS_UNPROVEN ? team_retry_ms(relay) : 0;
    }
    else if (!drain_admits(relay, now_ms)) {
        admission.refusal = ERR_STOPPED;
        admission.retry_ms = DRAIN_RETRY_MS;
    }
    else if (exchange->service->model_count > 0 &&
             exchange->needs.model == 0) {
        admission.refusal = ERR_UNKNOWN_MODEL;
    }
    else if (!target_memory_fits(&exchange->needs)) {
        admission.refusal = ERR_NO_TARGET;
        admission.too_many_tokens = true;
    }
    return admission;
}

/**
 * exchange_start() - start the request that a caller has sent
 * @relay: the relay
 * @client: the connection, with a complete request
 * @now_ms: current time
 */
void
exchange_start(struct relay *relay, struct client *client, int64_t now_ms)
{
    struct exchange *exchange = create_exchange(relay, client, now_ms);
    struct admission admission;
    int team;

    if (exchange == NULL) {
        refuse_client(relay, client, 503, "table_full", now_ms);
        return;
    }
    counter_add(CTR_CALLS, 1);
    exchange->deadline_ms = now_ms;
    if (!read_header_fields(relay, exchange, &client->head)) {
        refuse(relay, exchange, ERR_BAD_REQUEST, 0, now_ms);
        return;
    }
    team = exchange->config != NULL
               ? team_by_key(exchange->config, &exchange->meta)
               : -1;
    admission = exchange_check(
        relay, exchange, head_find_value(&client->head, "Host"), team, now_ms);
    if (admission.too_many_tokens) {
        refuse_too_many_tokens(relay, exchange, now_ms);
        return;
    }
    if (admission.refusal != ERR_NONE) {
        refuse(relay, exchange, admission.refusal, admission.retry_ms, now_ms);
        return;
    }
    exchange->fingerprint = crash_fingerprint(exchange);
    if (quota_admit(relay, exchange, now_ms)) {
        exchange_begin(relay, exchange, now_ms);
    }
}

/**
 * exchange_begin() - look for a target for a request that may be served
 * @relay: the relay
 * @exchange: the request; may be invalid afterwards
 * @now_ms: current time
 */
void
exchange_begin(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    retry_budget_count_request(retry_budget_of(relay, exchange),
                               relay->settings->limits.retry_window_ms,
                               now_ms);
    report_arrival(relay, exchange);
    fairness_enter(relay, exchange);
    if (queue_has_marked(relay) &&
        target_select(relay, &exchange->needs, now_ms) != NULL) {
        compete(relay, exchange, now_ms);
        return;
    }
    exchange_dispatch(relay, exchange, now_ms);
}

/* Whether the kind of the request and its attempts allow another run. */
static bool
may_run_again(const struct exchange *exchange)
{
    return exchange->route->retryable &&
           exchange->runs < exchange->route->attempts_max;
}

/**
 * exchange_set_timer() - set the timer to the next check of a request
 * @relay: the relay
 * @exchange: the request
 */
void
exchange_set_timer(struct relay *relay, struct exchange *exchange)
{
    int64_t due_ms = exchange->deadline_ms;
    int64_t limit_ms = silence_limit_ms(exchange->route);

    if (exchange->queued) {
        due_ms =
            MIN(due_ms,
                MAX(exchange->arrived_ms + forecast_check_delay_ms(exchange),
                    exchange->last_progress_ms + QUEUE_RECHECK_MS));
    }
    else if (may_run_again(exchange)) {
        due_ms = MIN(due_ms, exchange->last_progress_ms + limit_ms);
    }
    heap_set(&relay->timers, &exchange->timer, due_ms);
}

/* Refuses a request that is left to another instance during a stop. Returns
 * whether it did. */
static bool
refuse_if_too_long(struct relay *relay, struct exchange *exchange,
                   const struct relay_target *target, int64_t wait_ms,
                   int64_t now_ms)
{
    struct stop_decision decision =
        drain_decide(relay, exchange, target, wait_ms, now_ms);

    if (!decision.refuse) {
        return false;
    }
    counter_add(CTR_STOP_TOO_LONG, 1);
    log_line(LOG_PRI_INFO, "relay",
             "event=would_not_end id=%s stopping_ms=%" G_GINT64_FORMAT
             " wait_ms=%" G_GINT64_FORMAT " late_share=%.2f",
             exchange->meta.attempt_id,
             (gint64)(now_ms - relay->drain_started_ms), (gint64)wait_ms,
             decision.late_share);
    refuse(relay, exchange, ERR_STOPPED, DRAIN_RETRY_MS, now_ms);
    return true;
}

/**
 * exchange_refusal_kind() - why a request is refused that isn't to wait
 * @exchange: the request
 * @decision: of decide_wait()
 */
enum err_kind
exchange_refusal_kind(const struct exchange *exchange,
                      const struct wait_decision *decision)
{
    if (exchange->runs > 0) {
        return ERR_TARGET_FAILED;
    }
    switch (decision->reason) {
    case WAIT_TOO_LATE:
        return ERR_TOO_LATE;
    case WAIT_OVERLOAD:
        return ERR_SHED;
    default:
        return ERR_NO_TARGET;
    }
}

static const char *const wait_events[] = {
    [WAIT_NONE] = "not_worth_waiting",
    [WAIT_NO_LOAD] = "not_worth_waiting",
    [WAIT_NO_HOLDER] = "not_worth_waiting",
    [WAIT_TOO_LATE] = "too_late",
    [WAIT_OVERLOAD] = "shed",
};

/* Refuses a request without a place that isn't worth waiting for one. Returns
 * whether it did. */
static bool
refuse_if_hopeless(struct relay *relay, struct exchange *exchange,
                   const struct wait_decision *decision, int64_t now_ms)
{
    if (!decision->refuse) {
        return refuse_if_too_long(relay, exchange, NULL,
                                  MAX(decision->expected_ms, 0), now_ms);
    }
    log_line(LOG_PRI_INFO, "relay",
             "event=%s id=%s expected_ms=%" G_GINT64_FORMAT
             " late_share=%.2f ahead=%d waited_ms=%" G_GINT64_FORMAT
             " left_ms=%" G_GINT64_FORMAT " priority=%d"
             " retry_ms=%" G_GINT64_FORMAT,
             wait_events[decision->reason], exchange->meta.attempt_id,
             (gint64)decision->expected_ms,
             target_least_late_share(relay, &exchange->needs, now_ms),
             queue_ahead(relay, exchange, now_ms),
             (gint64)(now_ms - exchange->arrived_ms),
             (gint64)(exchange->deadline_ms - now_ms), exchange->priority,
             (gint64)decision->retry_ms);
    refuse(relay, exchange, exchange_refusal_kind(exchange, decision),
           decision->retry_ms, now_ms);
    return true;
}

/* Whether a target would take the request if it had memory for it. */
static bool
waits_for_memory(struct relay *relay, const struct exchange *exchange,
                 int64_t now_ms)
{
    struct request_needs needs = exchange->needs;

    needs.token_capacity = 0;
    return exchange->needs.token_capacity > 0 &&
           target_select(relay, &needs, now_ms) != NULL;
}

static void
start_to_wait(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    bool for_memory = waits_for_memory(relay, exchange, now_ms);

    counter_add(CTR_TOKENS_HELD_UP, for_memory ? 1 : 0);
    log_line(LOG_PRI_INFO, "relay",
             "event=waiting id=%s service=%s item=%s sends=%d "
             "left_ms=%" G_GINT64_FORMAT " for_memory=%d "
             "tokens=%" G_GINT64_FORMAT " work_ms=%.0f late_share=%.2f "
             "protected=%d",
             exchange->meta.attempt_id, exchange->service->name,
             exchange->meta.item, exchange->sends,
             (gint64)(exchange->deadline_ms - now_ms), for_memory,
             (gint64)exchange->needs.tokens, exchange->work_ms,
             target_least_late_share(relay, &exchange->needs, now_ms),
             exchange->protected);
    counter_add(CTR_WAITS, 1);
    if (exchange->protected) {
        counter_add(CTR_WAITS_PROTECTED, 1);
    }
    queue_add(relay, exchange);
    relay->report_soon = true;
}

static void
wait_for_target(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    struct wait_decision decision;

    if (!exchange->queued) {
        exchange->last_progress_ms = now_ms;
        forecast_describe(relay, exchange, now_ms);
        pace_arrived(queue_pace_of(relay, exchange, now_ms));
        decision = forecast_decide(relay, exchange, now_ms);
        if (refuse_if_hopeless(relay, exchange, &decision, now_ms)) {
            return;
        }
        start_to_wait(relay, exchange, now_ms);
    }
    exchange_set_timer(relay, exchange);
}

/**
 * exchange_urgency() - priority that a target should give a request
 * @exchange: the request
 *
 * Return: 0 for the most urgent to 9.
 */
int
exchange_urgency(const struct exchange *exchange)
{
    int level = exchange->priority * 2 +
                (exchange->route->latency_goal_ms > URGENT_GOAL_MS ? 1 : 0);

    return MIN(level, URGENCY_MAX);
}

static void
send_to(struct relay *relay, struct exchange *exchange,
        struct relay_target *target, int64_t now_ms)
{
    struct upstream *upstream =
        upstream_acquire(relay, target, exchange, now_ms);

    if (upstream == NULL) {
        result_unreachable(relay, exchange, now_ms);
        return;
    }
    mark_tried(exchange, target);
    exchange->target = target->self;
    exchange->stage = STAGE_SENT;
    exchange->sends++;
    exchange->runs++;
    exchange->run_events = 0;
    exchange->run_began_ms = 0;
    exchange->run_resumed = exchange->events.last_id >= 0;
    exchange->run_survived = false;
    exchange->sent_ms = now_ms;
    exchange->last_progress_ms = now_ms;
    log_line(
        LOG_PRI_INFO, "relay",
        "event=sent id=%s target=%s service=%s item=%s send=%d "
        "running=%d elsewhere=%d pace_ms=%.0f late_share=%.2f failures=%.2f urgency=%d "
        "connection=%u.%u use=%d "
        "waited_ms=%" G_GINT64_FORMAT " version=%" G_GINT64_FORMAT
        " last_event=%" G_GINT64_FORMAT " prompt_tokens=%d output_tokens=%d",
        exchange->meta.attempt_id, target->record.info.id,
        exchange->service->name, exchange->meta.item, exchange->sends,
        target->record.running, target->record.running_elsewhere,
        event_intervals_mean_ms(&target->record.intervals, now_ms),
        target_late_share(&target->record, &exchange->needs, now_ms),
        target->record.health.failure_rate, exchange_urgency(exchange),
        upstream->self.index, upstream->self.generation,
        upstream->request_count + 1, (gint64)(now_ms - exchange->arrived_ms),
        (gint64)exchange->config->version, (gint64)exchange->events.last_id,
        exchange->meta.prompt_tokens, exchange->meta.max_output_tokens);
    upstream_send(relay, upstream, exchange, now_ms);
    exchange_set_timer(relay, exchange);
}

/* Whether targets have turned the request away, or were not reached, so often
 * that another attempt at once would only add load. */
static bool
was_turned_away_often(const struct exchange *exchange)
{
    return exchange->rejects > REJECTS_MAX ||
           exchange->connect_failures > CONNECT_FAILURES_MAX;
}

/**
 * exchange_is_used_up() - whether no further attempt is allowed, whichever
 *                         target is there
 * @exchange: the request
 *
 * A begun stream, which a refusal would end, has one more after each pause.
 */
bool
exchange_is_used_up(const struct exchange *exchange)
{
    return exchange->runs >= exchange->route->attempts_max ||
           (was_turned_away_often(exchange) && !exchange->answer.head_sent);
}

static bool
take_retry_budget(struct relay *relay, struct exchange *exchange,
                  int64_t now_ms)
{
    return exchange->sends == 0 ||
           retry_budget_take(retry_budget_of(relay, exchange),
                             &relay->settings->limits,
                             relay_budget_instances(relay, now_ms), now_ms);
}

static bool
has_retry_budget(struct relay *relay, const struct exchange *exchange,
                 int64_t now_ms)
{
    return retry_budget_has_room(
        retry_budget_of(relay, exchange), &relay->settings->limits,
        relay_budget_instances(relay, now_ms), now_ms);
}

/* Lets a begun stream pause that could be sent, but not now. It is in no
 * queue, where it would keep a free place from those behind it. */
static void
pause_begun(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    queue_remove(relay, exchange);
    exchange->pausing = true;
    heap_set(&relay->timers, &exchange->timer,
             MIN(now_ms + QUEUE_RECHECK_MS, exchange->deadline_ms));
}

/* Returns whether a begun stream pauses before it is sent again. */
static bool
must_pause(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    bool has_paused = exchange->pausing;

    exchange->pausing = false;
    return exchange->answer.head_sent &&
           ((was_turned_away_often(exchange) && !has_paused) ||
            !has_retry_budget(relay, exchange, now_ms));
}

/* The target that can take a request now, or NULL. */
static struct relay_target *
select_target(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    struct relay_target *target =
        target_select(relay, &exchange->needs, now_ms);

    if (target == NULL && exchange->queued &&
        exchange->needs.tried_count > 0 &&
        !target_exists_for(relay, &exchange->needs, now_ms)) {
        /* All suitable targets were tried, but some time ago: try them again.
         */
        exchange->needs.tried_count = 0;
        target = target_select(relay, &exchange->needs, now_ms);
    }
    return target;
}

/**
 * exchange_dispatch() - send a request to a target, or queue it
 * @relay: the relay
 * @exchange: a request that is at no target; may be invalid afterwards
 * @now_ms: current time
 */
void
exchange_dispatch(struct relay *relay, struct exchange *exchange,
                  int64_t now_ms)
{
    struct relay_target *target;

    if (now_ms >= exchange->deadline_ms) {
        refuse(relay, exchange, ERR_DEADLINE, 0, now_ms);
        return;
    }
    if (team_refuses(relay, exchange, now_ms) ||
        crash_refuses(relay, exchange, now_ms)) {
        return;
    }
    if (exchange_is_used_up(exchange)) {
        refuse(relay, exchange,
               exchange->runs > 0 ? ERR_TARGET_FAILED : ERR_NO_TARGET,
               BUDGET_RETRY_MS, now_ms);
        return;
    }
    lengths_describe_finish(relay, exchange, now_ms);
    target = select_target(relay, exchange, now_ms);
    if (target == NULL) {
        wait_for_target(relay, exchange, now_ms);
        return;
    }
    if (refuse_if_too_long(relay, exchange, target, 0, now_ms)) {
        return;
    }
    if (must_pause(relay, exchange, now_ms)) {
        pause_begun(relay, exchange, now_ms);
        return;
    }
    queue_take(relay, exchange, now_ms);
    if (!take_retry_budget(relay, exchange, now_ms)) {
        refuse(relay, exchange, ERR_RETRY_BUDGET, BUDGET_RETRY_MS, now_ms);
        return;
    }
    send_to(relay, exchange, target, now_ms);
}

/**
 * exchange_finish() - release a request that has its final response
 * @relay: the relay
 * @exchange: the request; invalid afterwards
 * @now_ms: current time
 */
void
exchange_finish(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    struct client *client = table_get(&relay->clients, exchange->client);
    struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);

    queue_remove(relay, exchange);
    quota_end(relay, exchange, now_ms);
    fairness_leave(relay, exchange, now_ms);
    heap_remove(&relay->timers, &exchange->timer);
    if (upstream != NULL) {
        upstream_close(relay, upstream);
    }
    gate_config_unref(exchange->config);
    g_free(exchange->path);
    g_string_free(exchange->header_fields, TRUE);
    g_bytes_unref(exchange->body);
    answer_clear(&exchange->answer);
    events_clear(&exchange->events);
    table_free(&relay->exchanges, exchange->self);
    if (client != NULL) {
        client_exchange_done(relay, client, now_ms);
    }
}

/**
 * exchange_cancel() - end a request whose caller has disconnected
 * @relay: the relay
 * @exchange: the request; invalid afterwards
 * @now_ms: current time
 */
void
exchange_cancel(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    log_line(
        LOG_PRI_INFO, "relay",
        "event=caller_left id=%s sends=%d begun=%d age_ms=%" G_GINT64_FORMAT,
        exchange->meta.attempt_id, exchange->sends, exchange->answer.head_sent,
        (gint64)(now_ms - exchange->arrived_ms));
    exchange_finish(relay, exchange, now_ms);
}

/**
 * exchange_refuse_all() - refuse requests before the process stops
 * @relay: the relay
 * @queued: refuse only those that wait for a target or a grant, of which no
 * caller has a part of the answer
 * @now_ms: current time
 */
void
exchange_refuse_all(struct relay *relay, bool queued, int64_t now_ms)
{
    struct exchange *exchange;
    uint32_t cursor = 0;

    while ((exchange = table_next(&relay->exchanges, &cursor, NULL)) != NULL) {
        if (!queued || exchange->quota_waiting ||
            (exchange->queued && !exchange->answer.head_sent)) {
            refuse(relay, exchange, ERR_STOPPED, DRAIN_RETRY_MS, now_ms);
        }
    }
}

static void
recheck_waiting(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    struct relay_target *target;
    struct wait_decision decision;

    /* The next check. A dispatch between them doesn't put it off. */
    exchange->last_progress_ms = now_ms;
    forecast_describe(relay, exchange, now_ms);
    target = target_select(relay, &exchange->needs, now_ms);
    if (exchange->answer.head_sent || target == NULL) {
        decision = forecast_decide(relay, exchange, now_ms);
        if (refuse_if_hopeless(relay, exchange, &decision, now_ms)) {
            return;
        }
    }
    if (target != NULL && exchange->queued) {
        /* The place goes to whichever request ranks first. */
        queue_mark_target(relay, target);
        exchange_set_timer(relay, exchange);
        return;
    }
    exchange_dispatch(relay, exchange, now_ms);
}

/* Whether bytes of the request may have reached its target. */
static bool
is_connected(struct relay *relay, const struct exchange *exchange)
{
    const struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);

    return upstream == NULL || upstream->connected;
}

/* Whether another run at a target would not end before the deadline, or before
 * this instance does. */
static bool
would_not_end(struct relay *relay, const struct exchange *exchange,
              const struct relay_target *target, int64_t now_ms)
{
    return finish_is_hopeless(
               target_late_share(&target->record, &exchange->needs, now_ms)) ||
           (is_connected(relay, exchange) &&
            drain_decide(relay, exchange, target, 0, now_ms).refuse);
}

static enum silence_choice
choose_for_silence(struct relay *relay, struct exchange *exchange,
                   int64_t now_ms)
{
    const struct relay_target *target;
    struct silence_facts facts = {
        .may_run_again =
            may_run_again(exchange) && !was_turned_away_often(exchange),
        .has_begun = exchange->answer.head_sent,
        .is_stream = result_is_stream(exchange),
        .is_blamed = crash_is_blamed(relay, exchange),
        .budget_has_room = has_retry_budget(relay, exchange, now_ms),
    };

    lengths_describe_finish(relay, exchange, now_ms);
    target = target_select(relay, &exchange->needs, now_ms);
    facts.target_has_room = target != NULL;
    facts.would_not_end =
        target != NULL && would_not_end(relay, exchange, target, now_ms);
    return silence_choose(&facts);
}

/* One line for each silence, with the first reason to stay. */
static void
log_stay(struct exchange *exchange, enum silence_choice choice, int64_t now_ms)
{
    if (exchange->stayed_since_ms == exchange->last_progress_ms) {
        return;
    }
    exchange->stayed_since_ms = exchange->last_progress_ms;
    counter_add(CTR_SILENCE_STAYED, 1);
    log_line(LOG_PRI_INFO, "relay",
             "event=stays id=%s reason=%s runs=%d begun=%d "
             "silent_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT,
             exchange->meta.attempt_id, silence_reason(choice), exchange->runs,
             exchange->answer.head_sent,
             (gint64)(now_ms - exchange->last_progress_ms),
             (gint64)(exchange->deadline_ms - now_ms));
}

static void
take_back(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    if (!is_connected(relay, exchange)) {
        exchange->sends--;
        exchange->runs--;
    }
    result_aborted(relay, exchange, "silent", now_ms);
}

static void
handle_silence(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    enum silence_choice choice;

    if (now_ms - exchange->last_progress_ms <
        silence_limit_ms(exchange->route)) {
        exchange_set_timer(relay, exchange);
        return;
    }
    choice = choose_for_silence(relay, exchange, now_ms);
    if (choice == SILENCE_MOVE) {
        take_back(relay, exchange, now_ms);
        return;
    }
    log_stay(exchange, choice, now_ms);
    heap_set(&relay->timers, &exchange->timer,
             silence_is_final(choice)
                 ? exchange->deadline_ms
                 : MIN(now_ms + SILENCE_RECHECK_MS, exchange->deadline_ms));
}

/* The target can't send while its caller has much to read, which says nothing
 * about the target. */
static bool
is_paused(struct relay *relay, const struct exchange *exchange)
{
    const struct upstream *upstream =
        table_get(&relay->upstreams, exchange->upstream);

    return upstream != NULL && upstream->paused;
}

/**
 * exchange_handle_timer() - handle a deadline, a queue check or a target that
 * makes no progress
 * @relay: the relay
 * @exchange: the request; may be invalid afterwards
 * @now_ms: current time
 */
void
exchange_handle_timer(struct relay *relay, struct exchange *exchange,
                      int64_t now_ms)
{
    if (now_ms >= exchange->deadline_ms) {
        refuse(relay, exchange, ERR_DEADLINE, 0, now_ms);
    }
    else if (exchange->quota_waiting) {
        quota_handle_timer(relay, exchange, now_ms);
    }
    else if (exchange->queued || exchange->pausing) {
        recheck_waiting(relay, exchange, now_ms);
    }
    else if (is_paused(relay, exchange)) {
        exchange->last_progress_ms = now_ms;
        exchange_set_timer(relay, exchange);
    }
    else {
        handle_silence(relay, exchange, now_ms);
    }
}
