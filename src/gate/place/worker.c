/**
 * DOC: Duty that sends orders and reads reports, one call at a time.
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

static const char *const result_names[] = {
    [ORDER_ACCEPTED] = "accepted",      [ORDER_NOOP] = "holds",
    [ORDER_CONFLICT] = "conflict",      [ORDER_FENCED] = "fenced",
    [ORDER_WRONG_TARGET] = "misplaced", [ORDER_REFUSED] = "refused",
    [ORDER_IN_DOUBT] = "unknown",
};

static void
read_report(struct order_worker *worker, struct engine_call *call)
{
    struct err err = {0};

    call->reported = worker->engine->ops->report(
        worker->engine, call->step.address, &call->info, &err);
    if (!call->reported) {
        counter_add(CTR_REPORTS_FAILED, 1);
    }
    if (!call->reported && !call->step.silent) {
        log_line(LOG_PRI_WARNING, "order",
                 "event=no_report target=%s reason=\"%s\"", call->step.target,
                 err.text);
    }
}

/* Checks the lease just before sending, so that an order of a former holder
 * does not overlap with those of its successor. */
static void
send_order(struct order_worker *worker, struct engine_call *call)
{
    const struct plan_step *step = &call->step;
    struct engine_order order = {
        .action = step->action,
        .item = step->item,
        .expected_sequence = step->expected_sequence,
        .holder = worker->place->instance_name,
    };
    struct err err = {0};
    int64_t start_ms;

    g_strlcpy(order.target, step->target, sizeof(order.target));
    g_strlcpy(order.address, step->address, sizeof(order.address));
    if (!term_begin_order(worker->place->term, clock_boot_ms(),
                          &order.fence)) {
        log_line(LOG_PRI_INFO, "order", "event=not_sent target=%s item=%s",
                 step->target, g_quark_to_string(step->item));
        return;
    }
    call->sent = true;
    call->fence = order.fence;
    start_ms = clock_now_ms();
    call->result = worker->engine->ops->order(worker->engine, &order, &err);
    term_end_order(worker->place->term);
    histogram_add(HIST_ORDER, clock_now_ms() - start_ms);
    counter_add(CTR_ORDERS, 1);
    if (call->result > ORDER_NOOP) {
        counter_add(CTR_ORDERS_FAILED, 1);
    }
    log_line(LOG_PRI_INFO, "order",
             "event=order action=%s target=%s item=%s reason=%s "
             "expected=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT
             " result=%s detail=\"%s\"",
             step->action == ORDER_LOAD ? "load" : "unload", step->target,
             g_quark_to_string(step->item), step->reason,
             (gint64)step->expected_sequence, (gint64)order.fence,
             result_names[call->result], err.text);
}

static bool
run(struct duty *duty, struct err *err)
{
    struct order_worker *worker = (struct order_worker *)duty;
    struct place_gate *place = worker->place;
    struct engine_call *call;

    while (ring_pop(&place->calls, &call, -1) == RING_OK) {
        struct place_message message = {.kind = PLACE_CALL_DONE, .data = call};

        if (call->step.is_report) {
            read_report(worker, call);
        }
        else {
            send_order(worker, call);
        }
        if (!ring_push(&place->messages, &message, err)) {
            g_free(call);
        }
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&((struct order_worker *)duty)->place->calls);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * order_worker_init() - initialize a worker
 * @worker: the worker
 * @place: the duty that makes the decisions
 * @engine: client used by this worker only
 */
void
order_worker_init(struct order_worker *worker, struct place_gate *place,
                  struct gate_engine *engine)
{
    worker->duty.ops = &duty_ops;
    worker->duty.name = "order";
    worker->place = place;
    worker->engine = engine;
}
