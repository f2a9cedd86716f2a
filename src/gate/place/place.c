/**
 * DOC: Duty that decides what engines load.
 *
 * Every instance tracks the demand, but only the lease holder sends orders.
 * A new holder therefore knows the demand at once.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"

enum {
    MESSAGES_MAX = 4096,
    /* Reserved for workers' results, which must not be lost, and for posts
     * that race between the count and the push. */
    RESULTS_RESERVE = 64,
    HOLDER_TICK_MS = 50, /* loads from memory take a few hundred ms */
    IDLE_TICK_MS = 1000,
    CALLS_MAX = 256,
    /* A request that has waited for an eighth of its latency goal is refused
     * or kept on the strength of the last forecast. */
    FORECAST_INTERVAL_MS = 100,
};

static void
handle_message(struct place_gate *place, struct place_message *message,
               int64_t now_ms)
{
    struct holdings *holdings;

    switch (message->kind) {
    case PLACE_CONFIG:
        plan_set_config(&place->plan, message->data);
        break;
    case PLACE_TARGET_CHANGE:
        plan_apply_target_change(&place->plan, message->data, now_ms);
        g_free(message->data);
        break;
    case PLACE_ACTIVITY:
        plan_apply_activity(&place->plan, message->data, now_ms);
        break;
    case PLACE_HOLDINGS:
        plan_apply_holdings(&place->plan, message->data);
        g_free(message->data);
        break;
    case PLACE_LEAVING:
        plan_apply_leaving(&place->plan, message->data);
        g_free(message->data);
        break;
    case PLACE_PAUSED:
        plan_apply_pause(&place->plan, message->data);
        g_free(message->data);
        break;
    case PLACE_CALL_DONE:
        place->pending_calls--;
        holdings = plan_step_done(&place->plan, message->data, now_ms);
        g_free(message->data);
        if (holdings != NULL) {
            place->port->ops->holdings(place->port, holdings);
        }
        break;
    }
}

/* Returns false when no worker can take the call, which is then planned again
 * in the next round. */
static bool
queue_call(struct place_gate *place, const struct plan_step *step)
{
    struct engine_call *call = g_new0(struct engine_call, 1);
    struct err err = {0};

    call->step = *step;
    call->info.sequence = -1;
    if (!ring_push(&place->calls, &call, &err)) {
        refusal_add(err.kind);
        g_free(call);
        return false;
    }
    plan_step_sent(&place->plan, step);
    place->pending_calls++;
    return true;
}

static void
log_late_holds(struct plan *plan, int64_t now_ms)
{
    struct late_hold hold;

    while (late_next_hold(plan, now_ms, &hold)) {
        if (!hold.begins) {
            log_line(LOG_PRI_INFO, "place",
                     "event=memory_free target=%s sequence=%" G_GINT64_FORMAT,
                     hold.target, (gint64)hold.sequence);
            continue;
        }
        counter_add(CTR_MEMORY_HOLDS, 1);
        log_line(LOG_PRI_INFO, "place",
                 "event=memory_held target=%s sequence=%" G_GINT64_FORMAT
                 " item=%s expected=%" G_GINT64_FORMAT
                 " left_ms=%" G_GINT64_FORMAT,
                 hold.target, (gint64)hold.sequence,
                 hold.item != 0 ? g_quark_to_string(hold.item) : "any",
                 (gint64)hold.expected_sequence, (gint64)hold.left_ms);
    }
}

static void
run_plan(struct place_gate *place, int64_t now_ms)
{
    struct plan_step step;
    struct holdings *holdings;
    int64_t fence = 0;
    bool is_holder = term_is_valid(place->term, clock_boot_ms(), &fence);

    plan_set_term(&place->plan, is_holder ? fence : 0, now_ms);
    log_late_holds(&place->plan, now_ms);
    while (is_holder && place->pending_calls < ORDER_WORKERS * 2 &&
           plan_next_step(&place->plan, now_ms, &step) &&
           queue_call(place, &step)) {
    }
    while (is_holder &&
           (holdings = plan_assume_loaded(&place->plan, now_ms)) != NULL) {
        place->port->ops->holdings(place->port, holdings);
    }
    if (is_holder &&
        now_ms - place->forecast_sent_ms >= FORECAST_INTERVAL_MS) {
        struct load_forecast *forecast =
            plan_forecast_loads(&place->plan, now_ms);

        place->forecast_sent_ms = now_ms;
        if (forecast != NULL) {
            place->port->ops->load_forecast(place->port, forecast);
        }
    }
}

static bool
run(struct duty *duty, struct err *err)
{
    struct place_gate *place =
        (struct place_gate *)((char *)duty -
                              offsetof(struct place_gate, duty));
    struct place_message message;
    enum ring_result result;

    (void)err;
    while ((result = ring_pop(&place->messages, &message,
                              place->plan.fence != 0 ? HOLDER_TICK_MS
                                                     : IDLE_TICK_MS)) !=
           RING_CLOSED) {
        while (result == RING_OK) {
            handle_message(place, &message, clock_now_ms());
            result = ring_pop(&place->messages, &message, 0);
        }
        run_plan(place, clock_now_ms());
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&((struct place_gate *)duty)->messages);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * place_gate_init() - initialize the duty and its workers
 * @place: the duty
 * @name: of this instance, kept by reference
 * @term: the lease that allows orders, kept by reference
 * @engines: ORDER_WORKERS clients, one for each worker
 * @port: callbacks, kept by reference
 * @err: filled in on failure
 *
 * Return: false on failure.
 */
bool
place_gate_init(struct place_gate *place, const char *name, struct term *term,
                struct gate_engine *engines[], struct place_gate_port *port,
                struct err *err)
{
    memset(place, 0, sizeof(*place));
    place->duty.ops = &duty_ops;
    place->duty.name = "place";
    place->instance_name = name;
    place->term = term;
    place->port = port;
    plan_init(&place->plan);
    supervisor_init(&place->supervisor, "place");
    supervisor_add(&place->supervisor, &place->duty);
    for (int i = 0; i < ORDER_WORKERS; i++) {
        order_worker_init(&place->workers[i], place, engines[i]);
        supervisor_add(&place->supervisor, &place->workers[i].duty);
    }
    return ring_init(&place->messages, MESSAGES_MAX,
                     sizeof(struct place_message), err) &&
           ring_init(&place->calls, CALLS_MAX, sizeof(struct engine_call *),
                     err);
}

static void
discard_queued(struct place_gate *place)
{
    struct place_message message;
    struct engine_call *call;

    while (ring_pop(&place->messages, &message, 0) == RING_OK) {
        handle_message(place, &message, 0);
    }
    while (ring_pop(&place->calls, &call, 0) == RING_OK) {
        g_free(call);
    }
}

/**
 * place_gate_clear() - release the duty after it has stopped
 * @place: the duty
 */
void
place_gate_clear(struct place_gate *place)
{
    discard_queued(place);
    plan_clear(&place->plan);
    ring_free(&place->messages);
    ring_free(&place->calls);
    supervisor_free(&place->supervisor);
}

static bool
post(struct place_gate *place, enum place_message_kind kind, void *data)
{
    struct place_message message = {.kind = kind, .data = data};
    struct err err = {0};
    bool has_room =
        ring_count(&place->messages) < MESSAGES_MAX - RESULTS_RESERVE ||
        err_set(&err, ERR_RING_FULL, "queue is full (%d messages)",
                MESSAGES_MAX);

    if (!has_room || !ring_push(&place->messages, &message, &err)) {
        refusal_add(err.kind);
        log_line(LOG_PRI_ERR, "place", "event=news_lost kind=%d reason=\"%s\"",
                 kind, err.text);
        return false;
    }
    return true;
}

/**
 * place_gate_post_config() - post a new configuration
 * @place: the duty
 * @config: a reference is taken
 *
 * Return: false when the ring is full.
 */
bool
place_gate_post_config(struct place_gate *place, struct gate_config *config)
{
    bool posted = post(place, PLACE_CONFIG, gate_config_ref(config));

    if (!posted) {
        gate_config_unref(config);
    }
    return posted;
}

/**
 * place_gate_post_target_change() - post a change in the list of targets
 * @place: the duty
 * @change: copied
 *
 * Return: false when the ring is full.
 */
bool
place_gate_post_target_change(struct place_gate *place,
                              const struct target_change *change)
{
    struct target_change *copy = g_memdup2(change, sizeof(*change));
    bool posted = post(place, PLACE_TARGET_CHANGE, copy);

    if (!posted) {
        g_free(copy);
    }
    return posted;
}

/**
 * place_gate_post_activity() - post an instance's activity report
 * @place: the duty
 * @activity: ownership is taken; dropped when the ring is full
 */
void
place_gate_post_activity(struct place_gate *place,
                         struct activity_report *activity)
{
    if (!post(place, PLACE_ACTIVITY, activity)) {
        activity_report_free(activity);
    }
}

/**
 * place_gate_post_holdings() - post the held items of an engine, as the
 *                              lease holder reports them
 * @place: the duty
 * @holdings: ownership is taken; dropped when the ring is full
 */
void
place_gate_post_holdings(struct place_gate *place, struct holdings *holdings)
{
    if (!post(place, PLACE_HOLDINGS, holdings)) {
        g_free(holdings);
    }
}

/**
 * place_gate_post_leaving() - post what a target has said about its stop
 * @place: the duty
 * @target: id of the target
 * @leaves: whether it leaves
 */
void
place_gate_post_leaving(struct place_gate *place, const char *target,
                        bool leaves)
{
    struct place_leaving *news = g_new0(struct place_leaving, 1);

    g_strlcpy(news->target, target, sizeof(news->target));
    news->leaves = leaves;
    if (!post(place, PLACE_LEAVING, news)) {
        g_free(news);
    }
}

/**
 * place_gate_post_pause() - post what a target has said about the requests
 *                           that it wants
 * @place: the duty
 * @target: id of the target
 * @until_ms: it wants none until then
 */
void
place_gate_post_pause(struct place_gate *place, const char *target,
                      int64_t until_ms)
{
    struct place_pause *pause = g_new0(struct place_pause, 1);

    g_strlcpy(pause->target, target, sizeof(pause->target));
    pause->until_ms = until_ms;
    if (!post(place, PLACE_PAUSED, pause)) {
        g_free(pause);
    }
}
