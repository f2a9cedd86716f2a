/**
 * DOC: Duty that sends orders and reads reports, one at a time.
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
read_report(struct order_worker *worker, struct work *work)
{
    struct err err = {0};

    work->reported = worker->engine->ops->report(
        worker->engine, work->step.address, &work->info, &err);
    if (!work->reported) {
        log_line(LOG_PRI_WARNING, "order",
                 "event=no_report target=%s reason=\"%s\"", work->step.target,
                 err.text);
    }
}

/* The term is looked at as late as can be: an order of a former holder must
 * not meet one of the next. */
static void
give_order(struct order_worker *worker, struct work *work)
{
    const struct plan_step *step = &work->step;
    struct engine_order order = {
        .action = step->action,
        .item = step->item,
        .expected_sequence = step->sequence,
        .holder = worker->place->name,
    };
    struct err err = {0};
    int64_t start_ms;

    g_strlcpy(order.target, step->target, sizeof(order.target));
    g_strlcpy(order.address, step->address, sizeof(order.address));
    if (!term_holds(worker->place->term, clock_boot_ms(), &order.fence)) {
        log_line(LOG_PRI_INFO, "order", "event=not_sent target=%s item=%s",
                 step->target, g_quark_to_string(step->item));
        return;
    }
    work->sent = true;
    work->fence = order.fence;
    start_ms = clock_now_ms();
    work->result = worker->engine->ops->order(worker->engine, &order, &err);
    histogram_add(HIST_ORDER, clock_now_ms() - start_ms);
    counter_add(CTR_ORDERS, 1);
    if (work->result > ORDER_NOOP) {
        counter_add(CTR_ORDERS_FAILED, 1);
    }
    log_line(LOG_PRI_INFO, "order",
             "event=order action=%s target=%s item=%s reason=%s "
             "expected=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT
             " result=%s detail=\"%s\"",
             step->action == ORDER_LOAD ? "load" : "unload", step->target,
             g_quark_to_string(step->item), step->reason,
             (gint64)step->sequence, (gint64)order.fence,
             result_names[work->result], err.text);
}

static bool
run(struct duty *duty, struct err *err)
{
    struct order_worker *worker = (struct order_worker *)duty;
    struct place_gate *place = worker->place;
    struct work *work;

    while (ring_pop(&place->work, &work, -1) == RING_OK) {
        struct place_message message = {.kind = PLACE_DONE, .data = work};

        if (work->step.report) {
            read_report(worker, work);
        }
        else {
            give_order(worker, work);
        }
        if (!ring_push(&place->ring, &message, err)) {
            g_free(work);
        }
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&((struct order_worker *)duty)->place->work);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * order_worker_init() - set a worker up
 * @worker: the worker
 * @place: the duty that decides
 * @engine: used by this worker only
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
