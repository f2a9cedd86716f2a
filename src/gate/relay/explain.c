/**
 * DOC: Where a request would go now, and why, without sending it.
 *
 * The request is asked about as an exchange that is in no table, by the
 * functions that serve requests. What these would change is changed in copies.
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
#include "gate/team/dat.h"
#include "gate/relay/internal.h"
#include "gate/relay/explain.h"

static void
describe_target(struct relay *relay, const struct relay_target *target,
                const struct request_needs *needs, int64_t now_ms,
                struct explained_target *row)
{
    struct token_view fleet = target_fleet(relay, needs, now_ms);
    const struct target_record *record = &target->record;

    g_strlcpy(row->id, record->info.id, sizeof(row->id));
    g_strlcpy(row->address, record->info.address, sizeof(row->address));
    g_strlcpy(row->zone, record->info.zone, sizeof(row->zone));
    for (int test = 0; test < TARGET_TEST_COUNT; test++) {
        if (!target_passes(target, (enum target_test)test, needs, &fleet,
                           now_ms)) {
            row->failed |= 1U << test;
        }
    }
    row->leaving = target_is_leaving(record);
    row->missing = record->missing;
    row->cost = target_cost(record, needs, now_ms);
    row->running = record->running + record->running_elsewhere;
    row->slots = record->info.slots;
    row->tokens = record->tokens + record->tokens_elsewhere;
    row->interval_ms = event_intervals_mean_ms(&record->intervals, now_ms);
    row->late_share = target_late_share(record, needs, now_ms);
    row->failure_rate = record->health.failure_rate;
    row->backoff_ms = MAX(record->health.backoff_until_ms - now_ms, 0);
    row->pause_ms = pause_holds(&record->pause, now_ms)
                        ? record->pause.until_ms - now_ms
                        : 0;
}

static int
compare_costs(const void *a, const void *b)
{
    const struct explained_target *one = a;
    const struct explained_target *other = b;

    return (one->cost > other->cost) - (one->cost < other->cost);
}

static void
describe_targets(struct relay *relay, const struct exchange *exchange,
                 int64_t now_ms, struct explanation *explanation)
{
    const struct relay_target *target;
    uint32_t cursor = 0;

    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        struct explained_target row = {0};

        if (g_str_equal(target->record.info.service,
                        exchange->service->name)) {
            describe_target(relay, target, &exchange->needs, now_ms, &row);
            g_array_append_val(explanation->targets, row);
        }
    }
    g_array_sort(explanation->targets, compare_costs);
}

static void
describe_wait(struct relay *relay, struct exchange *exchange, int64_t now_ms,
              struct explanation *explanation)
{
    explanation->has_service = true;
    explanation->queue_waiting_count = queue_waiting_count(relay, exchange);
    explanation->pace = queue_peek_pace(relay, exchange, now_ms);
    pace_arrived(&explanation->pace);
    explanation->wait = forecast_facts(relay, exchange, now_ms);
    explanation->decision = decide_wait(&explanation->wait, &explanation->pace,
                                        forecast_spread(relay));
}

static void
describe_request(const struct exchange *exchange, int64_t now_ms,
                 struct explanation *explanation)
{
    if (exchange->route != NULL) {
        g_strlcpy(explanation->route, exchange->route->name,
                  sizeof(explanation->route));
    }
    if (exchange->service != NULL) {
        g_strlcpy(explanation->service, exchange->service->name,
                  sizeof(explanation->service));
    }
    if (exchange->team != NULL) {
        g_strlcpy(explanation->team, exchange->team->name,
                  sizeof(explanation->team));
    }
    explanation->priority = exchange->priority;
    explanation->config_version =
        exchange->config != NULL ? exchange->config->version : 0;
    explanation->left_ms = MAX(exchange->deadline_ms - now_ms, 0);
    explanation->tokens = exchange->needs.tokens;
    explanation->token_capacity = exchange->needs.token_capacity;
}

static void
set_refusal(struct explanation *explanation, enum err_kind kind,
            int64_t retry_ms)
{
    explanation->verdict = EXPLAIN_REFUSED;
    explanation->refusal = kind;
    explanation->status = refusal_status(kind, false);
    explanation->retry_ms = retry_ms;
}

static void
mark_chosen(struct explanation *explanation, const struct relay_target *target)
{
    explanation->verdict = EXPLAIN_SENT;
    g_strlcpy(explanation->target, target->record.info.id,
              sizeof(explanation->target));
    for (guint i = 0; i < explanation->targets->len; i++) {
        struct explained_target *row =
            &g_array_index(explanation->targets, struct explained_target, i);

        row->chosen = g_str_equal(row->id, explanation->target);
    }
}

/* As exchange_dispatch() decides without a place. */
static void
decide_without_target(struct relay *relay, const struct exchange *exchange,
                      int64_t now_ms, struct explanation *explanation)
{
    const struct wait_decision *decision = &explanation->decision;

    explanation->verdict = EXPLAIN_WAITS;
    if (decision->refuse) {
        set_refusal(explanation, exchange_refusal_kind(exchange, decision),
                    decision->retry_ms);
    }
    else if (drain_decide(relay, exchange, NULL, MAX(decision->expected_ms, 0),
                          now_ms)
                 .refuse) {
        set_refusal(explanation, ERR_STOPPED, DRAIN_RETRY_MS);
    }
}

/* As exchange_dispatch() decides on a request that has just arrived. */
static void
decide_dispatch(struct relay *relay, struct exchange *exchange, int64_t now_ms,
                struct explanation *explanation)
{
    const struct relay_target *target =
        target_select(relay, &exchange->needs, now_ms);
    int64_t retry_ms = 0;

    if (now_ms >= exchange->deadline_ms) {
        set_refusal(explanation, ERR_DEADLINE, 0);
    }
    else if (crash_would_refuse(relay, exchange, now_ms, &retry_ms)) {
        set_refusal(explanation, ERR_QUARANTINED, retry_ms);
    }
    else if (exchange_is_used_up(exchange)) {
        set_refusal(explanation, ERR_NO_TARGET, BUDGET_RETRY_MS);
    }
    else if (target == NULL) {
        decide_without_target(relay, exchange, now_ms, explanation);
    }
    else if (drain_decide(relay, exchange, target, 0, now_ms).refuse) {
        set_refusal(explanation, ERR_STOPPED, DRAIN_RETRY_MS);
    }
    else if (queue_has_marked(relay)) {
        explanation->verdict = EXPLAIN_WAITS;
    }
    else {
        mark_chosen(explanation, target);
    }
}

/* As exchange_start() decides. */
static void
decide(struct relay *relay, struct exchange *exchange,
       const struct admission *admission, int64_t now_ms,
       struct explanation *explanation)
{
    if (admission->refusal != ERR_NONE) {
        set_refusal(explanation, admission->refusal, admission->retry_ms);
        explanation->too_many_tokens = admission->too_many_tokens;
    }
    else if (explanation->quota.refusal != ERR_NONE) {
        set_refusal(explanation, explanation->quota.refusal,
                    explanation->quota.retry_ms);
    }
    else if (explanation->quota.waits) {
        explanation->verdict = EXPLAIN_WAITS_FOR_GRANT;
    }
    else {
        decide_dispatch(relay, exchange, now_ms, explanation);
    }
}

static void
fill_exchange(struct relay *relay, const struct explain_query *query,
              int64_t now_ms, struct exchange *exchange)
{
    struct request_meta *meta = &exchange->meta;

    exchange->config = relay->config;
    exchange->path = query->path;
    exchange->arrived_ms = now_ms;
    exchange->deadline_ms = now_ms;
    exchange->body = g_bytes_new(NULL, 0);
    meta->deadline_ms = query->deadline_ms;
    meta->last_event_id = -1;
    meta->prompt_tokens = (int)query->prompt_tokens;
    meta->max_output_tokens = (int)query->output_tokens;
    meta->has_key = query->team[0] != '\0';
    g_strlcpy(meta->item, query->item, sizeof(meta->item));
}

static void
explain(struct relay *relay, const struct explain_query *query, int64_t now_ms,
        struct exchange *exchange, struct explanation *explanation)
{
    int team =
        relay->config != NULL ? team_by_name(relay->config, query->team) : -1;
    struct admission admission =
        exchange_check(relay, exchange, query->host, team, now_ms);

    describe_request(exchange, now_ms, explanation);
    if (exchange->service != NULL) {
        exchange->fingerprint = crash_fingerprint(exchange);
        if (admission.refusal == ERR_NONE) {
            explanation->quota = quota_peek(relay, exchange, now_ms);
        }
        fairness_peek(relay, exchange);
        lengths_describe_finish(relay, exchange, now_ms);
        forecast_describe(relay, exchange, now_ms);
        describe_wait(relay, exchange, now_ms, explanation);
        describe_targets(relay, exchange, now_ms, explanation);
    }
    decide(relay, exchange, &admission, now_ms, explanation);
}

/**
 * explain_request() - where a request would go now, and why
 * @relay: the relay; left as it is
 * @query: the request
 * @now_ms: current time
 * @explanation: filled in; explanation_clear() releases it
 *
 * The same random numbers are used as by the next request.
 */
void
explain_request(struct relay *relay, const struct explain_query *query,
                int64_t now_ms, struct explanation *explanation)
{
    struct exchange *exchange = g_new0(struct exchange, 1);
    uint64_t random_state = relay->random_state;

    *explanation = (struct explanation){.refusal = ERR_NONE};
    explanation->targets =
        g_array_new(FALSE, FALSE, sizeof(struct explained_target));
    fill_exchange(relay, query, now_ms, exchange);
    explain(relay, query, now_ms, exchange, explanation);
    relay->random_state = random_state;
    events_clear(&exchange->events);
    g_bytes_unref(exchange->body);
    g_free(exchange);
}

/**
 * explanation_clear() - release an explanation
 * @explanation: the explanation
 */
void
explanation_clear(struct explanation *explanation)
{
    g_array_free(explanation->targets, TRUE);
}
