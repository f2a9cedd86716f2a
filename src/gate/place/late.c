/**
 * DOC: Orders without an outcome, which may be carried out late.
 *
 * An engine checks the expected sequence of an order when it carries it out.
 * In the process for which the order was made, that check suffices: at that
 * sequence the order fits. An engine that started again under its id counts
 * from 0, holds nothing and knows no fence of before, so it carries the order
 * out whenever its new count reaches the expected one. Orders of the present
 * process are therefore chosen so that late ones fit at the sequence that they
 * expect. No order can be chosen in time against late ones that expect 0, 1
 * and so on, so these are sent only if all of them fit an empty engine.
 *
 * A new holder does not know the late orders of the former one. It assumes
 * that one may be under way to each engine that has restarted lately, of any
 * item and for any sequence.
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
    /* Another instance may learn of a restart so much later than this one. */
    RESTART_NEWS_MS = 2000,
    /* From when a former holder sent its last order to a former process. */
    FORMER_ORDER_MAX_MS =
        RESTART_NEWS_MS + ORDER_TIMEOUT_MS + ORDER_LATE_MAX_MS,
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

static gboolean
is_long_gone(gpointer id, gpointer value, gpointer now)
{
    const struct departed_engine *departed = value;

    (void)id;
    return *(const int64_t *)now - departed->gone_ms >= FORMER_ORDER_MAX_MS;
}

/**
 * late_engine_departed() - note that an engine has left the list
 * @plan: the plan
 * @engine: the engine
 * @now_ms: current time
 */
void
late_engine_departed(struct plan *plan, const struct plan_engine *engine,
                     int64_t now_ms)
{
    struct departed_engine departed = {engine->info.started_ms, now_ms};

    g_hash_table_foreach_remove(plan->departed, is_long_gone, &now_ms);
    g_hash_table_insert(plan->departed, g_strdup(engine->info.id),
                        g_memdup2(&departed, sizeof(departed)));
}

/**
 * late_engine_returned() - whether an engine that is new in the list was there
 *                          before as another process
 * @plan: the plan
 * @info: the engine
 */
bool
late_engine_returned(struct plan *plan, const struct target_info *info)
{
    const struct departed_engine *departed =
        g_hash_table_lookup(plan->departed, info->id);
    bool returned =
        departed != NULL && departed->started_ms != info->started_ms;

    g_hash_table_remove(plan->departed, info->id);
    return returned;
}

/* A former holder sent no order after the begin of the present term, and none
 * for a former process once it knew of the restart. */
static bool
former_order_possible(const struct plan *plan,
                      const struct plan_engine *engine, int64_t now_ms)
{
    return engine->restarted_ms != 0 &&
           now_ms < MIN(engine->restarted_ms, plan->holder_since_ms) +
                        FORMER_ORDER_MAX_MS;
}

static bool
known_order_expects(const struct plan *plan, const struct plan_engine *engine,
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

/**
 * late_order_expects() - whether an order without an outcome may expect a
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
    return known_order_expects(plan, engine, sequence, now_ms) ||
           former_order_possible(plan, engine, now_ms);
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

/* The largest item that a former holder may have ordered. */
static struct late_loads
former_load(const struct plan *plan, const struct plan_engine *engine,
            const struct item_set *held, int64_t now_ms)
{
    const struct gate_service *service = plan_engine_service(plan, engine);
    struct late_loads largest = {0};

    if (!former_order_possible(plan, engine, now_ms)) {
        return largest;
    }
    for (int i = 0; i < service->model_count; i++) {
        const struct gate_model *model = &service->models[i];

        if (!item_set_contains(held, model->model) &&
            model->weights_mb < ITEM_MB_UNKNOWN) {
            largest.mb = MAX(largest.mb, model->weights_mb);
        }
        if (model->adapter_mb < ITEM_MB_UNKNOWN) {
            largest.mb = MAX(largest.mb, model->adapter_mb);
        }
    }
    largest.adapters = service->adapter_slots > 0 ? 1 : 0;
    return largest;
}

static struct late_loads
add_loads(struct late_loads a, struct late_loads b)
{
    return (struct late_loads){a.mb + b.mb, a.adapters + b.adapters};
}

/* Late orders that expect successive sequences may all be carried out. */
static struct late_loads
known_loads_from(const struct plan *plan, const struct plan_engine *engine,
                 const struct item_set *held, int64_t sequence, int64_t now_ms)
{
    struct late_loads sum = {0};

    for (; known_order_expects(plan, engine, sequence, now_ms); sequence++) {
        sum =
            add_loads(sum, largest_load(plan, engine, held, sequence, now_ms));
    }
    return sum;
}

static struct late_loads
loads_from(const struct plan *plan, const struct plan_engine *engine,
           const struct item_set *held, int64_t sequence, int64_t now_ms)
{
    return add_loads(former_load(plan, engine, held, now_ms),
                     known_loads_from(plan, engine, held, sequence, now_ms));
}

static bool
fits(const struct gate_service *service, struct late_loads used,
     struct late_loads late)
{
    return (late.mb <= 0.0 || used.mb + late.mb <= service->memory_mb) &&
           (late.adapters == 0 ||
            used.adapters + late.adapters <= service->adapter_slots);
}

/* Whether a load, once it is late itself, fits together with the late orders
 * that a new process of the engine would carry out one after the other from
 * its start on, before this instance can order anything there. */
static bool
fits_after_restart(const struct plan *plan, const struct plan_engine *engine,
                   uint32_t item, int64_t sequence, int64_t now_ms)
{
    struct late_loads used = {
        .mb = engine_item_mb(plan, engine, item),
        .adapters = item_is_adapter(item) ? 1 : 0,
    };
    struct item_set held = {0};
    struct late_loads late;

    item_set_add(&held, item);
    late = known_loads_from(plan, engine, &held, sequence + 1, now_ms);
    for (int64_t before = 0; before < sequence; before++) {
        if (!known_order_expects(plan, engine, before, now_ms)) {
            return true;
        }
        late =
            add_loads(late, largest_load(plan, engine, &held, before, now_ms));
    }
    return fits(plan_engine_service(plan, engine), used, late);
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

    if (service == NULL || (plan->late_orders->len == 0 &&
                            !former_order_possible(plan, engine, now_ms))) {
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
                loads_from(plan, engine, &held, sequence + 1, now_ms)) &&
           fits_after_restart(plan, engine, item, sequence, now_ms);
}

/* Whether the wait for a response has ended, and the engine has yet to reach
 * the expected sequence: the order was made for a former process, or for a
 * sequence that was only assumed. */
static bool
is_ahead(const struct late_order *order, const struct plan_engine *engine,
         int64_t now_ms)
{
    return order->action == ORDER_LOAD && now_ms < order->until_ms &&
           order->until_ms != G_MAXINT64 &&
           order->expected_sequence > engine->info.sequence &&
           strcmp(order->target, engine->info.id) == 0;
}

/* Fills in the late order that lasts longest. Returns false when there is
 * none. */
static bool
find_hold(const struct plan *plan, const struct plan_engine *engine,
          int64_t now_ms, struct late_hold *hold)
{
    int64_t until_ms = now_ms;

    if (engine->info.sequence < 0) {
        return false;
    }
    if (former_order_possible(plan, engine, now_ms)) {
        until_ms = MIN(engine->restarted_ms, plan->holder_since_ms) +
                   FORMER_ORDER_MAX_MS;
        hold->item = 0;
        hold->expected_sequence = -1;
    }
    for (guint i = 0; i < plan->late_orders->len; i++) {
        const struct late_order *order = order_at(plan, i);

        if (is_ahead(order, engine, now_ms) && order->until_ms > until_ms) {
            until_ms = order->until_ms;
            hold->item = order->item;
            hold->expected_sequence = order->expected_sequence;
        }
    }
    hold->left_ms = until_ms - now_ms;
    return until_ms > now_ms;
}

/**
 * late_hold_left_ms() - how long memory may be left free for a late order
 * @plan: the plan
 * @engine: the engine
 * @now_ms: current time
 *
 * Return: 0 when it is not.
 */
int64_t
late_hold_left_ms(const struct plan *plan, const struct plan_engine *engine,
                  int64_t now_ms)
{
    struct late_hold hold;

    return find_hold(plan, engine, now_ms, &hold) ? hold.left_ms : 0;
}

/**
 * late_next_hold() - the next engine for which the need to leave memory free
 *                    for a late order has begun or ended
 * @plan: the plan
 * @now_ms: current time
 * @hold: filled in
 *
 * Return: false when there is none.
 */
bool
late_next_hold(struct plan *plan, int64_t now_ms, struct late_hold *hold)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        memset(hold, 0, sizeof(*hold));
        hold->begins =
            plan->fence != 0 && find_hold(plan, engine, now_ms, hold);
        if (hold->begins != engine->late_hold) {
            engine->late_hold = hold->begins;
            hold->sequence = engine->info.sequence;
            g_strlcpy(hold->target, engine->info.id, sizeof(hold->target));
            return true;
        }
    }
    return false;
}
