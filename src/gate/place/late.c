/**
 * DOC: Orders without an outcome, which may be carried out late.
 *
 * An engine checks the expected sequence of an order when it carries it out.
 * In the process for which the order was made, that check suffices: at that
 * sequence the order fits. An engine that started again under its id counts
 * from 0, holds nothing and knows no fence of before, so it carries the order
 * out whenever its new count reaches the expected one. Orders of the present
 * process are therefore chosen so that late ones fit at the sequence that they
 * expect.
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
    /* Engines carry out an order up to 12 s after it has reached them, which
     * it has when the wait for its response ends. */
    ORDER_LATE_MAX_MS = 12000,
};

/**
 * struct late_loads - what late orders may add to an engine's memory
 * @mb: memory
 * @adapters: adapter slots
 */
struct late_loads {
    double mb;
    int adapters;
};

static struct late_order *
order_at(const struct plan *plan, guint index)
{
    return &g_array_index(plan->late_orders, struct late_order, index);
}

/**
 * late_order_sent() - note that an order was handed to the workers
 * @plan: the plan
 * @step: the order
 */
void
late_order_sent(struct plan *plan, const struct plan_step *step)
{
    struct late_order order = {
        .action = step->action,
        .item = step->item,
        .expected_sequence = step->expected_sequence,
        .until_ms = G_MAXINT64,
    };

    g_strlcpy(order.target, step->target, sizeof(order.target));
    g_array_append_val(plan->late_orders, order);
}

static bool
is_same_order(const struct late_order *order, const struct plan_step *step)
{
    return order->until_ms == G_MAXINT64 && order->item == step->item &&
           order->action == step->action &&
           order->expected_sequence == step->expected_sequence &&
           strcmp(order->target, step->target) == 0;
}

/**
 * late_order_done() - apply the outcome of an order
 * @plan: the plan
 * @call: the order and its outcome
 * @now_ms: current time
 *
 * An order that got a response, or was not sent, is not carried out later.
 */
void
late_order_done(struct plan *plan, const struct engine_call *call,
                int64_t now_ms)
{
    for (guint i = 0; i < plan->late_orders->len; i++) {
        if (!is_same_order(order_at(plan, i), &call->step)) {
            continue;
        }
        if (call->sent && call->result == ORDER_IN_DOUBT) {
            order_at(plan, i)->until_ms = now_ms + ORDER_LATE_MAX_MS;
        }
        else {
            g_array_remove_index_fast(plan->late_orders, i);
        }
        return;
    }
}

/**
 * late_orders_expire() - forget orders that can no longer be carried out
 * @plan: the plan
 * @now_ms: current time
 */
void
late_orders_expire(struct plan *plan, int64_t now_ms)
{
    for (guint i = plan->late_orders->len; i > 0; i--) {
        if (now_ms >= order_at(plan, i - 1)->until_ms) {
            g_array_remove_index_fast(plan->late_orders, i - 1);
        }
    }
}

/**
 * late_order_expects() - whether an order without an outcome expects a
 *                        sequence
 * @plan: the plan
 * @engine: the engine
 * @sequence: the sequence
 * @now_ms: current time
 */
bool
late_order_expects(const struct plan *plan, const struct plan_engine *engine,
                   int64_t sequence, int64_t now_ms)
{
    for (guint i = 0; i < plan->late_orders->len; i++) {
        const struct late_order *order = order_at(plan, i);

        if (order->expected_sequence == sequence && now_ms < order->until_ms &&
            strcmp(order->target, engine->info.id) == 0) {
            return true;
        }
    }
    return false;
}

/* Only one of the orders that expect a sequence can be carried out there. An
 * order that is not a load, or whose item is held, adds nothing. */
static struct late_loads
largest_load(const struct plan *plan, const struct plan_engine *engine,
             const struct item_set *held, int64_t sequence, int64_t now_ms)
{
    struct late_loads largest = {0};

    for (guint i = 0; i < plan->late_orders->len; i++) {
        const struct late_order *order = order_at(plan, i);

        if (order->expected_sequence != sequence ||
            order->action != ORDER_LOAD || now_ms >= order->until_ms ||
            item_set_contains(held, order->item) ||
            strcmp(order->target, engine->info.id) != 0) {
            continue;
        }
        largest.mb =
            MAX(largest.mb, engine_item_mb(plan, engine, order->item));
        largest.adapters =
            MAX(largest.adapters, item_is_adapter(order->item) ? 1 : 0);
    }
    return largest;
}

/* Late orders that expect successive sequences may all be carried out. */
static struct late_loads
loads_from(const struct plan *plan, const struct plan_engine *engine,
           const struct item_set *held, int64_t sequence, int64_t now_ms)
{
    struct late_loads sum = {0};

    for (; late_order_expects(plan, engine, sequence, now_ms); sequence++) {
        struct late_loads largest =
            largest_load(plan, engine, held, sequence, now_ms);

        sum.mb += largest.mb;
        sum.adapters += largest.adapters;
    }
    return sum;
}

static bool
fits(const struct gate_service *service, struct late_loads used,
     struct late_loads late)
{
    return (late.mb <= 0.0 || used.mb + late.mb <= service->memory_mb) &&
           (late.adapters == 0 ||
            used.adapters + late.adapters <= service->adapter_slots);
}

/**
 * late_orders_fit() - whether late orders still fit after a load
 * @plan: the plan
 * @engine: the engine
 * @item: quark of the model or adapter to be loaded
 * @evicted: item that is unloaded before, which counts as an order; 0 for none
 * @now_ms: current time
 *
 * Return: true also when no late order can be carried out after that load.
 */
bool
late_orders_fit(const struct plan *plan, const struct plan_engine *engine,
                uint32_t item, uint32_t evicted, int64_t now_ms)
{
    const struct gate_service *service = plan_engine_service(plan, engine);
    struct item_set held = engine->info.held;
    int64_t sequence = engine->info.sequence;
    struct late_loads used = {
        .mb = engine_used_mb(plan, engine, item),
        .adapters = engine_adapter_count(engine),
    };

    if (plan->late_orders->len == 0 || service == NULL) {
        return true;
    }
    if (!item_is_adapter(item)) {
        item_set_remove(&held, engine->unloading);
    }
    if (evicted != 0) {
        struct late_loads late;

        item_set_remove(&held, evicted);
        late = loads_from(plan, engine, &held, ++sequence, now_ms);
        /* An adapter may be loaded before the unload has ended. */
        if (late.adapters > 0 && !fits(service, used, late)) {
            return false;
        }
        used.mb -= engine_item_mb(plan, engine, evicted);
        used.adapters -= item_is_adapter(evicted) ? 1 : 0;
        if (!fits(service, used, late)) {
            return false;
        }
    }
    item_set_add(&held, item);
    used.mb += engine_item_mb(plan, engine, item);
    used.adapters += item_is_adapter(item) ? 1 : 0;
    return fits(service, used,
                loads_from(plan, engine, &held, sequence + 1, now_ms));
}
