/**
 * DOC: Duty that decides what engines load.
 *
 * Each instance follows what is asked for; only the holder of the right to
 * order acts on it, so that a new holder knows the demand at once.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/belief/dat.h"
#include "gate/belief/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"

enum {
    PLACE_RING = 4096,
    /* Left to workers, whose results must not be lost, and to posts that meet
     * between the count and the push. */
    DONE_ROOM = 64,
    STEP_MS = 50, /* loads from memory take some hundred ms */
    IDLE_MS = 1000,
    WORK_RING = 256,
    OUTLOOK_MS = 100, /* callers are told within an eighth of their goal */
};

static void
take_message(struct place_gate *place, struct place_message *message,
             int64_t now_ms)
{
    struct holdings *holdings;

    switch (message->kind) {
    case PLACE_CONFIG:
        plan_config(&place->plan, message->data);
        break;
    case PLACE_CHANGE:
        plan_change(&place->plan, message->data, now_ms);
        g_free(message->data);
        break;
    case PLACE_ACTIVITY:
        plan_activity(&place->plan, message->data, now_ms);
        break;
    case PLACE_HOLDINGS:
        plan_holdings(&place->plan, message->data);
        g_free(message->data);
        break;
    case PLACE_DONE:
        place->in_flight--;
        holdings = plan_done(&place->plan, message->data, now_ms);
        g_free(message->data);
        if (holdings != NULL) {
            place->port->ops->holdings(place->port, holdings);
        }
        break;
    }
}

static void
give_work(struct place_gate *place, const struct plan_step *step)
{
    struct work *work = g_new0(struct work, 1);
    struct err err = {0};

    work->step = *step;
    work->info.sequence = -1;
    plan_sent(&place->plan, step);
    if (ring_push(&place->work, &work, &err)) {
        place->in_flight++;
    }
    else {
        g_free(work);
    }
}

static void
act(struct place_gate *place, int64_t now_ms)
{
    struct plan_step step;
    struct holdings *holdings;
    bool holds = term_holds(place->term, clock_boot_ms(), NULL);

    if (holds && !place->held) {
        plan_begin(&place->plan, now_ms);
    }
    place->held = holds;
    while (holds && place->in_flight < ORDER_WORKERS * 2 &&
           plan_next(&place->plan, now_ms, &step)) {
        give_work(place, &step);
    }
    while (holds && (holdings = plan_assumed(&place->plan, now_ms)) != NULL) {
        place->port->ops->holdings(place->port, holdings);
    }
    if (holds && now_ms - place->outlook_ms >= OUTLOOK_MS) {
        struct load_forecast *outlook = plan_outlook(&place->plan, now_ms);

        place->outlook_ms = now_ms;
        if (outlook != NULL) {
            place->port->ops->outlook(place->port, outlook);
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
    while ((result = ring_pop(&place->ring, &message,
                              place->held ? STEP_MS : IDLE_MS)) !=
           RING_CLOSED) {
        while (result == RING_OK) {
            take_message(place, &message, clock_now_ms());
            result = ring_pop(&place->ring, &message, 0);
        }
        act(place, clock_now_ms());
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&((struct place_gate *)duty)->ring);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * place_gate_init() - set the duty and its workers up
 * @place: the duty
 * @name: of this instance, kept by reference
 * @term: whether this instance may order, kept by reference
 * @engines: one for each of ORDER_WORKERS workers
 * @port: where news go, kept by reference
 * @err: filled in on failure
 */
bool
place_gate_init(struct place_gate *place, const char *name, struct term *term,
                struct gate_engine *engines[], struct place_gate_port *port,
                struct err *err)
{
    memset(place, 0, sizeof(*place));
    place->duty.ops = &duty_ops;
    place->duty.name = "place";
    place->name = name;
    place->term = term;
    place->port = port;
    plan_init(&place->plan);
    supervisor_init(&place->supervisor, "place");
    supervisor_add(&place->supervisor, &place->duty);
    for (int i = 0; i < ORDER_WORKERS; i++) {
        order_worker_init(&place->workers[i], place, engines[i]);
        supervisor_add(&place->supervisor, &place->workers[i].duty);
    }
    return ring_init(&place->ring, PLACE_RING, sizeof(struct place_message),
                     err) &&
           ring_init(&place->work, WORK_RING, sizeof(struct work *), err);
}

static void
drain(struct place_gate *place)
{
    struct place_message message;
    struct work *work;

    while (ring_pop(&place->ring, &message, 0) == RING_OK) {
        take_message(place, &message, 0);
    }
    while (ring_pop(&place->work, &work, 0) == RING_OK) {
        g_free(work);
    }
}

/**
 * place_gate_clear() - release the duty after it has stopped
 * @place: the duty
 */
void
place_gate_clear(struct place_gate *place)
{
    drain(place);
    plan_clear(&place->plan);
    ring_free(&place->ring);
    ring_free(&place->work);
    supervisor_free(&place->supervisor);
}

static bool
post(struct place_gate *place, enum place_message_kind kind, void *data)
{
    struct place_message message = {.kind = kind, .data = data};
    struct err err = {0};
    bool room =
        ring_count(&place->ring) < PLACE_RING - DONE_ROOM ||
        err_set(&err, ERR_RING_FULL, "ring holds %d messages", PLACE_RING);

    if (!room || !ring_push(&place->ring, &message, &err)) {
        refusal_add(err.kind);
        log_line(LOG_PRI_ERR, "place", "event=news_lost kind=%d reason=\"%s\"",
                 kind, err.text);
        return false;
    }
    return true;
}

/**
 * place_gate_post_config() - a configuration is in force
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
 * place_gate_post_change() - the list of targets has changed
 * @place: the duty
 * @change: copied
 *
 * Return: false when the ring is full.
 */
bool
place_gate_post_change(struct place_gate *place,
                       const struct target_change *change)
{
    struct target_change *copy = g_memdup2(change, sizeof(*change));
    bool posted = post(place, PLACE_CHANGE, copy);

    if (!posted) {
        g_free(copy);
    }
    return posted;
}

/**
 * place_gate_post_activity() - an instance tells of its requests
 * @place: the duty
 * @activity: taken over
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
 * place_gate_post_holdings() - the holder tells what an engine holds
 * @place: the duty
 * @holdings: taken over
 */
void
place_gate_post_holdings(struct place_gate *place, struct holdings *holdings)
{
    if (!post(place, PLACE_HOLDINGS, holdings)) {
        g_free(holdings);
    }
}
