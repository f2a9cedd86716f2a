/**
 * DOC: Quotas of teams: requests are counted before they are sent, and wait
 * for a grant, or are refused.
 *
 * A request that waits for a grant is in no queue for a target.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/relay/internal.h"

/* Callers are spread over as long again as they are asked to wait, within
 * these bounds. */
enum { SPREAD_MIN_MS = 100, SPREAD_MAX_MS = 1000 };

/**
 * quota_init() - initialize
 * @relay: the relay
 */
void
quota_init(struct relay *relay)
{
    relay->spend = g_new0(struct spend, 1);
    spend_init(relay->spend, clock_wall_ms());
    spend_set_bounds(relay->spend, &relay->settings->limits);
    g_queue_init(&relay->quota_waiting);
}

/**
 * quota_clear() - release
 * @relay: the relay
 */
void
quota_clear(struct relay *relay)
{
    struct handle *handle;

    if (relay->spend == NULL) {
        return;
    }
    while ((handle = g_queue_pop_head(&relay->quota_waiting)) != NULL) {
        g_free(handle);
    }
    spend_clear(relay->spend);
    g_free(relay->spend);
}

static int64_t
units_of(const struct exchange *exchange)
{
    const struct request_meta *meta = &exchange->meta;
    int64_t tokens = MAX((int64_t)meta->prompt_tokens, 0) +
                     MAX((int64_t)meta->max_output_tokens, 0);

    if (exchange->team->unit == QUOTA_REQUESTS) {
        return 1;
    }
    return tokens > 0 ? tokens : exchange->team->plain_tokens;
}

static void
log_fallback(struct relay *relay, int64_t boot_ms)
{
    struct spend *spend = relay->spend;

    if (!spend->fallback) {
        spend->fallback = true;
        counter_add(CTR_QUOTA_FALLBACKS, 1);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=quota_fallback unanswered_ms=%" G_GINT64_FORMAT
                 " granted_ago_ms=%" G_GINT64_FORMAT " instances=%d",
                 (gint64)(boot_ms - spend->unanswered_ms),
                 spend->answered_ms >= 0
                     ? (gint64)(boot_ms - spend->answered_ms)
                     : (gint64)-1,
                 spend->instances);
    }
}

static void
log_decision(const struct exchange *exchange, const char *event,
             int64_t boot_ms)
{
    const struct spend_team *team = exchange->quota;

    log_line(LOG_PRI_INFO, "relay",
             "event=%s id=%s team=%s units=%" G_GINT64_FORMAT
             " spent=%" G_GINT64_FORMAT " limit=%" G_GINT64_FORMAT
             " grant_age_ms=%" G_GINT64_FORMAT " room_ms=%" G_GINT64_FORMAT,
             event, exchange->meta.attempt_id, exchange->team->name,
             (gint64)exchange->quota_units, (gint64)team->spent,
             (gint64)team->limit,
             team->granted_ms >= 0 ? (gint64)(boot_ms - team->granted_ms)
                                   : (gint64)-1,
             team->room_at_ms > 0 ? (gint64)MAX(team->room_at_ms - boot_ms, 0)
                                  : (gint64)-1);
}

static void
stop_waiting(struct relay *relay, struct exchange *exchange)
{
    if (!exchange->quota_waiting) {
        return;
    }
    exchange->quota_waiting = false;
    spend_leave(relay->spend, exchange->quota);
    for (GList *link = relay->quota_waiting.head; link != NULL;
         link = link->next) {
        const struct handle *handle = link->data;

        if (handle->index == exchange->self.index) {
            g_free(link->data);
            g_queue_delete_link(&relay->quota_waiting, link);
            break;
        }
    }
}

/* When the caller of a request refused for SPEND_NO_ROOM or SPEND_UNKNOWN may
 * return. */
static int64_t
retry_delay_ms(struct relay *relay, const struct exchange *exchange,
               enum spend_verdict verdict, int64_t now_ms)
{
    int64_t boot_ms = relay_boot_ms(relay, now_ms);
    int64_t retry_ms =
        spend_retry_ms(exchange->quota, verdict, exchange->quota_units,
                       exchange->deadline_ms - now_ms, boot_ms);
    uint64_t spread =
        verdict == SPEND_UNKNOWN
            ? (uint64_t)MAX(retry_ms, 1)
            : (uint64_t)CLAMP(retry_ms, SPREAD_MIN_MS, SPREAD_MAX_MS);

    return retry_ms + (int64_t)(relay_random(relay) % spread);
}

static enum err_kind
refusal_of(enum spend_verdict verdict)
{
    return verdict == SPEND_NO_ROOM ? ERR_QUOTA : ERR_QUOTA_UNKNOWN;
}

static void
refuse_for_quota(struct relay *relay, struct exchange *exchange,
                 enum spend_verdict verdict, int64_t now_ms)
{
    int64_t retry_ms = retry_delay_ms(relay, exchange, verdict, now_ms);

    log_decision(exchange, "quota_refuses", relay_boot_ms(relay, now_ms));
    if (verdict == SPEND_NO_ROOM) {
        spend_turn_away(exchange->quota, exchange->quota_units);
    }
    refuse(relay, exchange, refusal_of(verdict), retry_ms, now_ms);
}

static void
note_charged(struct exchange *exchange, int64_t boot_ms)
{
    exchange->quota_ms = boot_ms;
    counter_add(CTR_QUOTA_GRANTED, 1);
}

static void
start_to_wait(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    exchange->quota_waiting = true;
    g_queue_push_tail(&relay->quota_waiting,
                      g_memdup2(&exchange->self, sizeof(exchange->self)));
    spend_join(relay->spend, exchange->quota);
    counter_add(CTR_QUOTA_WAITED, 1);
    heap_set(&relay->timers, &exchange->timer,
             MIN(now_ms + QUOTA_WAIT_MS, exchange->deadline_ms));
}

/* Finds the quota of a request, and what it counts as. */
static void
describe(const struct relay *relay, struct exchange *exchange)
{
    exchange->quota =
        exchange->team != NULL && exchange->team->rate_per_s > 0.0
            ? spend_find(relay->spend, hash_text(exchange->team->name))
            : NULL;
    exchange->quota_units = exchange->quota != NULL ? units_of(exchange) : 0;
}

/* Spends the units of a request if it may be sent on now. It waits behind
 * those of its team that do. */
static enum spend_verdict
try_to_spend(struct relay *relay, const struct exchange *exchange,
             int64_t boot_ms)
{
    return exchange->quota->waiting > 0
               ? SPEND_WAIT
               : spend_try(relay->spend, exchange->quota,
                           exchange->quota_units, boot_ms);
}

static void
fill_view(struct quota_view *view, const struct spend_team *team,
          int64_t boot_ms)
{
    bool granted =
        team->granted_ms >= 0 && boot_ms < team->granted_ms + QUOTA_GRANT_MS;

    view->limited = true;
    view->left = granted ? MAX(team->limit - team->spent, 0) : 0;
    view->rate_per_s = team->rate_per_s;
    view->burst = team->burst;
    view->waiting = team->waiting;
    view->grant_age_ms =
        team->granted_ms >= 0 ? boot_ms - team->granted_ms : -1;
    view->room_ms =
        team->room_at_ms > 0 ? MAX(team->room_at_ms - boot_ms, 0) : -1;
}

/**
 * quota_peek() - what quota_admit() would do with a request
 * @relay: the relay
 * @exchange: the request, with its team
 * @now_ms: current time
 *
 * Spends from a copy of the team's account.
 */
struct quota_view
quota_peek(struct relay *relay, const struct exchange *exchange,
           int64_t now_ms)
{
    int64_t boot_ms = relay_boot_ms(relay, now_ms);
    struct exchange request = *exchange;
    struct quota_view view = {.refusal = ERR_NONE};
    struct spend_team team;
    enum spend_verdict verdict;

    describe(relay, &request);
    if (request.quota == NULL) {
        return view;
    }
    team = *request.quota;
    fill_view(&view, &team, boot_ms);
    view.units = request.quota_units;
    request.quota = &team;
    verdict = try_to_spend(relay, &request, boot_ms);
    view.waits = verdict == SPEND_WAIT;
    if (verdict == SPEND_NO_ROOM || verdict == SPEND_UNKNOWN) {
        view.refusal = refusal_of(verdict);
        view.retry_ms = retry_delay_ms(relay, &request, verdict, now_ms);
    }
    return view;
}

/**
 * quota_admit() - count a request that has just arrived
 * @relay: the relay
 * @exchange: the request, with its team; invalid afterwards if refused
 * @now_ms: current time
 *
 * Return: whether it may be sent; otherwise it waits or is refused.
 */
bool
quota_admit(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    int64_t boot_ms = relay_boot_ms(relay, now_ms);
    enum spend_verdict verdict;

    describe(relay, exchange);
    if (exchange->quota == NULL) {
        return true;
    }
    spend_meter(exchange->quota, exchange->quota_units, boot_ms);
    verdict = try_to_spend(relay, exchange, boot_ms);
    if (spend_is_cut(relay->spend, boot_ms)) {
        log_fallback(relay, boot_ms);
    }
    if (verdict == SPEND_WAIT) {
        start_to_wait(relay, exchange, now_ms);
        return false;
    }
    if (verdict != SPEND_CHARGED) {
        refuse_for_quota(relay, exchange, verdict, now_ms);
        return false;
    }
    note_charged(exchange, boot_ms);
    return true;
}

/* Ends the wait of a request as its verdict says. */
static void
resume(struct relay *relay, struct exchange *exchange,
       enum spend_verdict verdict, int64_t now_ms)
{
    stop_waiting(relay, exchange);
    if (verdict == SPEND_NO_ROOM || verdict == SPEND_UNKNOWN) {
        refuse_for_quota(relay, exchange, verdict, now_ms);
        return;
    }
    if (verdict == SPEND_CHARGED) {
        note_charged(exchange, relay_boot_ms(relay, now_ms));
    }
    log_decision(exchange, "quota_waited", relay_boot_ms(relay, now_ms));
    exchange_begin(relay, exchange, now_ms);
}

/* Gives a team's waiting requests what there is, in their order. */
static void
retry_team(struct relay *relay, struct spend_team *team, int64_t now_ms)
{
    int64_t boot_ms = relay_boot_ms(relay, now_ms);
    GArray *waiting = g_array_new(FALSE, FALSE, sizeof(struct handle));
    bool blocked = false;

    for (GList *link = relay->quota_waiting.head; link != NULL;
         link = link->next) {
        g_array_append_vals(waiting, link->data, 1);
    }
    for (guint i = 0; i < waiting->len && !blocked; i++) {
        struct exchange *exchange = table_get(
            &relay->exchanges, g_array_index(waiting, struct handle, i));
        enum spend_verdict verdict;

        if (exchange == NULL || !exchange->quota_waiting ||
            exchange->quota != team) {
            continue;
        }
        verdict =
            spend_try(relay->spend, team, exchange->quota_units, boot_ms);
        blocked = verdict == SPEND_WAIT;
        if (!blocked) {
            resume(relay, exchange, verdict, now_ms);
        }
    }
    g_array_free(waiting, TRUE);
}

static void
retry_all(struct relay *relay, int64_t now_ms)
{
    GHashTableIter iter;
    struct spend_team *team;

    g_hash_table_iter_init(&iter, relay->spend->teams);
    while (relay->spend->waiting > 0 &&
           g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        if (team->waiting > 0) {
            retry_team(relay, team, now_ms);
        }
    }
}

/**
 * quota_handle_timer() - end the wait of a request that has got no grant
 * @relay: the relay
 * @exchange: a request that waits for a grant; may be invalid afterwards
 * @now_ms: current time
 */
void
quota_handle_timer(struct relay *relay, struct exchange *exchange,
                   int64_t now_ms)
{
    int64_t boot_ms = relay_boot_ms(relay, now_ms);
    enum spend_verdict verdict = spend_try_last(
        relay->spend, exchange->quota, exchange->quota_units, boot_ms);

    if (spend_is_cut(relay->spend, boot_ms)) {
        log_fallback(relay, boot_ms);
    }
    resume(relay, exchange, verdict, now_ms);
}

/**
 * quota_end() - take back the units of a request that has ended and not run
 * @relay: the relay
 * @exchange: the request
 * @now_ms: current time
 */
void
quota_end(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    stop_waiting(relay, exchange);
    if (exchange->quota_ms != 0 && exchange->runs == 0) {
        spend_return(exchange->quota, exchange->quota_units,
                     exchange->quota_ms, relay_boot_ms(relay, now_ms));
        exchange->quota_ms = 0;
        counter_add(CTR_QUOTA_RETURNED, 1);
    }
}

/**
 * quota_apply_config() - apply the quotas of a new configuration
 * @relay: the relay, with its new configuration
 * @now_ms: current time
 */
void
quota_apply_config(struct relay *relay, int64_t now_ms)
{
    spend_set_config(relay->spend, relay->config);
    retry_all(relay, now_ms);
}

/**
 * quota_apply_members() - apply the member list
 * @relay: the relay
 * @now_ms: current time
 */
void
quota_apply_members(struct relay *relay, int64_t now_ms)
{
    spend_set_members(relay->spend, (int)relay->members->len,
                      relay_boot_ms(relay, now_ms));
}

/**
 * quota_apply_holder() - ask the new holder
 * @relay: the relay
 */
void
quota_apply_holder(struct relay *relay)
{
    spend_set_holder(relay->spend);
}

/**
 * quota_apply_grant() - apply the holder's answer to an ask
 * @relay: the relay
 * @grant: the answer
 * @now_ms: current time
 */
void
quota_apply_grant(struct relay *relay, const struct quota_grant *grant,
                  int64_t now_ms)
{
    int64_t boot_ms = relay_boot_ms(relay, now_ms);

    if (!spend_apply(relay->spend, grant, boot_ms)) {
        return;
    }
    counter_add(CTR_QUOTA_GRANTS, 1);
    if (relay->spend->fallback && boot_ms - grant->sent_ms < QUOTA_GRANT_MS) {
        relay->spend->fallback = false;
        counter_add(CTR_QUOTA_FALLBACKS_ENDED, 1);
        log_line(LOG_PRI_INFO, "relay",
                 "event=quota_regained fence=%" G_GINT64_FORMAT
                 " instances=%d age_ms=%" G_GINT64_FORMAT,
                 (gint64)grant->fence, grant->instances,
                 (gint64)(boot_ms - grant->sent_ms));
    }
    retry_all(relay, now_ms);
}

/**
 * quota_due_ms() - when the next ask is due
 * @relay: the relay
 * @now_ms: current time
 *
 * Return: a time; INT64_MAX for none.
 */
int64_t
quota_due_ms(const struct relay *relay, int64_t now_ms)
{
    int64_t due_ms =
        spend_ask_due_ms(relay->spend, relay_boot_ms(relay, now_ms));

    return due_ms == INT64_MAX ? due_ms : due_ms - relay->boot_offset_ms;
}

static void
name_waiting(struct relay *relay)
{
    for (GList *link = relay->quota_waiting.head; link != NULL;
         link = link->next) {
        const struct handle *handle = link->data;
        const struct exchange *exchange =
            table_get(&relay->exchanges, *handle);

        spend_want(exchange->quota, exchange->quota_units);
    }
}

/**
 * quota_work() - send an ask when it is due
 * @relay: the relay
 * @now_ms: current time
 */
void
quota_work(struct relay *relay, int64_t now_ms)
{
    int64_t boot_ms = relay_boot_ms(relay, now_ms);

    if (boot_ms < spend_ask_due_ms(relay->spend, boot_ms)) {
        return;
    }
    name_waiting(relay);
    counter_add(CTR_QUOTA_ASKS, 1);
    relay->port->ops->quota(relay->port, spend_ask(relay->spend, boot_ms));
}
