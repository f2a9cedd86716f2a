/**
 * DOC: Outcomes of orders and reports.
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
    ASSUME_LOADED_DELAY_MS = 20, /* engines finish a load some ms late */
    ADAPTER_LOAD_MS = 30,    /* one takes 5 to 10 ms; a few may run at once */
    IDLE_UNLOAD_MS = 60,     /* with no running requests to wait for */
    REPORT_LAG_MS = 100,     /* reports are at least this old when read */
    CONFLICT_RETRY_MS = 200, /* until the report shows the conflicting order */
    REFUSED_RETRY_MS = 5000, /* the engine can't execute the order */
    NO_ANSWER_RETRY_MS = 300, /* until a report shows what happened */
    /* A report that was asked for before an order has ended by then, and what
     * it says is some hundred ms older. */
    REPORT_AGE_MAX_MS = 2000,
};

static struct plan_engine *
find_engine(struct plan *plan, const struct plan_step *step)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, step->target);

    return engine != NULL && engine->info.started_ms == step->started_ms
               ? engine
               : NULL;
}

/**
 * plan_step_sent() - note that a step was handed to the workers
 * @plan: the plan
 * @step: the step
 */
void
plan_step_sent(struct plan *plan, const struct plan_step *step)
{
    struct plan_engine *engine = find_engine(plan, step);

    if (!step->is_report) {
        late_order_sent(plan, step);
    }
    if (engine == NULL) {
        return;
    }
    if (step->is_report) {
        engine->report_pending = true;
        engine->next_report_ms = 0;
    }
    else {
        engine->order_pending = true;
        engine->pending_load = step->action == ORDER_LOAD ? step->item : 0;
    }
}

static struct holdings *
make_holdings(const struct plan *plan, const struct plan_engine *engine)
{
    struct holdings *holdings = g_new0(struct holdings, 1);

    g_strlcpy(holdings->target, engine->info.id, sizeof(holdings->target));
    holdings->started_ms = engine->info.started_ms;
    holdings->sequence = engine->info.sequence;
    holdings->held = engine->info.held;
    holdings->store_loads_max = plan->settings.store_loads_max;
    item_set_remove(&holdings->held, engine->unloading);
    return holdings;
}

static void
start_load(struct plan *plan, struct plan_engine *engine, uint32_t item,
           int64_t now_ms)
{
    bool from_store;
    int64_t load_ms = engine_load_ms(plan, engine, item, &from_store);

    /* An engine accepts a load only after its previous order has finished. */
    item_set_remove(&engine->info.held, engine->unloading);
    engine->unloading = 0;
    engine->reserved_for = 0;
    engine->loading = item;
    engine->loading_from_store = from_store;
    engine->order_done_ms = now_ms + load_ms;
    if (from_store) {
        store_limit_load_started(plan, engine, now_ms);
    }
    engine->next_report_ms = engine->order_done_ms + REPORT_LAG_MS;
    engine->assume_loaded_ms =
        from_store ? 0 : engine->order_done_ms + ASSUME_LOADED_DELAY_MS;
}

/**
 * plan_assume_loaded() - the next load that is assumed to have finished
 * @plan: the plan
 * @now_ms: current time
 *
 * Loads from an engine's memory or disk take a known time, while reports lag
 * behind, so requests may use the item before a report confirms it. The plan's
 * own view of the engine's memory still waits for the report.
 *
 * Return: the engine's held items including the loaded one, to be freed with
 * g_free(); NULL when no load is due.
 */
struct holdings *
plan_assume_loaded(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        if (engine->assume_loaded_ms != 0 &&
            now_ms >= engine->assume_loaded_ms) {
            struct holdings *holdings = make_holdings(plan, engine);

            engine->assume_loaded_ms = 0;
            if (engine->loading != 0) {
                item_set_add(&holdings->held, engine->loading);
                return holdings;
            }
            g_free(holdings);
        }
    }
    return NULL;
}

/* The model and its adapters count as used memory until a report shows that
 * they are gone: an adapter may be loaded while the unload is in progress. */
static void
start_unload(struct plan *plan, struct plan_engine *engine, uint32_t item,
             int64_t now_ms)
{
    if (item_is_adapter(item)) {
        item_set_remove(&engine->info.held, item);
        return;
    }
    engine->unloading = item;
    engine->unload_immediate = plan_demand(plan, item)->running == 0;
    engine->order_done_ms = now_ms + IDLE_UNLOAD_MS;
    engine->next_order_ms = engine->order_done_ms;
    engine->next_report_ms = engine->order_done_ms + REPORT_LAG_MS;
}

static void
note_adapter_unload(struct plan_engine *engine, const struct plan_step *step)
{
    if (step->action == ORDER_UNLOAD && item_is_adapter(step->item)) {
        item_set_add(&engine->adapter_unloads, step->item);
        engine->adapter_unloads_sequence =
            MAX(engine->adapter_unloads_sequence, step->expected_sequence + 1);
    }
}

static void
sequence_is(struct plan_engine *engine, int64_t sequence)
{
    engine->info.sequence = sequence;
    engine->certain_sequence = sequence;
    engine->assumed_order_ms = 0;
}

/* Returns whether the engine's held items have changed. */
static bool
order_accepted(struct plan *plan, struct plan_engine *engine,
               const struct plan_step *step, int64_t now_ms)
{
    sequence_is(engine, step->expected_sequence + 1);
    engine->settled_sequence = engine->info.sequence;
    if (step->action == ORDER_UNLOAD) {
        note_adapter_unload(engine, step);
        start_unload(plan, engine, step->item, now_ms);
        return true;
    }
    if (item_is_adapter(step->item)) {
        item_set_add(&engine->info.held, step->item);
        item_set_remove(&engine->adapter_unloads, step->item);
        engine->reserved_for = 0;
        engine->next_order_ms = now_ms + ADAPTER_LOAD_MS;
        return true;
    }
    start_load(plan, engine, step->item, now_ms);
    return false;
}

/* Only an adapter is unloaded at once, which counts as an order. The unload of
 * what was gone before gets the same response and doesn't count. Then an order
 * with an unknown outcome may have advanced the sequence to the same number,
 * and only a report shows what it did. An earlier unload of the adapter may
 * have waited for requests until now. Returns whether the engine's held items
 * have changed. */
static bool
unload_already_done(const struct plan *plan, struct plan_engine *engine,
                    const struct plan_step *step, int64_t now_ms)
{
    if (step->expected_sequence < engine->settled_sequence ||
        item_set_contains(&engine->adapter_unloads, step->item) ||
        late_order_expects(plan, engine, step->expected_sequence, now_ms)) {
        engine->in_doubt = true;
        return false;
    }
    item_set_remove(&engine->info.held, step->item);
    if (item_is_adapter(step->item)) {
        engine->info.sequence = step->expected_sequence + 1;
        engine->assumed_order_ms = now_ms;
    }
    return true;
}

/* During an accepted unload the cause of the conflict is known, so no report
 * is needed. */
static void
order_conflicted(struct plan_engine *engine, int64_t now_ms)
{
    if (engine->unloading != 0) {
        engine->next_order_ms = now_ms + IDLE_UNLOAD_MS;
        return;
    }
    engine->next_order_ms = now_ms + CONFLICT_RETRY_MS;
    engine->next_report_ms = now_ms + CONFLICT_RETRY_MS;
    engine->in_doubt = true;
}

static void
record_answer(struct plan_engine *engine, bool answered, int64_t now_ms)
{
    if (answered) {
        engine->unanswered_since_ms = 0;
    }
    else if (engine->unanswered_since_ms == 0) {
        engine->unanswered_since_ms = now_ms;
    }
}

static struct holdings *
order_done(struct plan *plan, struct plan_engine *engine,
           const struct engine_call *call, int64_t now_ms)
{
    const struct plan_step *step = &call->step;
    bool changed = false;

    engine->order_pending = false;
    engine->pending_load = 0;
    if (!call->sent) {
        return NULL;
    }
    record_answer(engine, call->result != ORDER_IN_DOUBT, now_ms);
    switch (call->result) {
    case ORDER_ACCEPTED:
        changed = order_accepted(plan, engine, step, now_ms);
        break;
    case ORDER_NOOP:
        engine->next_report_ms = now_ms + REPORT_LAG_MS;
        changed = true;
        if (step->action == ORDER_UNLOAD) {
            changed = unload_already_done(plan, engine, step, now_ms);
        }
        else {
            item_set_add(&engine->info.held, step->item);
        }
        break;
    case ORDER_CONFLICT:
        order_conflicted(engine, now_ms);
        break;
    case ORDER_IN_DOUBT:
        engine->settled_sequence =
            MAX(engine->settled_sequence, step->expected_sequence + 1);
        note_adapter_unload(engine, step);
        engine->next_order_ms = now_ms + NO_ANSWER_RETRY_MS;
        engine->next_report_ms = now_ms + NO_ANSWER_RETRY_MS;
        engine->in_doubt = true;
        break;
    case ORDER_FENCED:
    case ORDER_WRONG_TARGET:
    case ORDER_REFUSED:
        engine->next_order_ms = now_ms + REFUSED_RETRY_MS;
        engine->reserved_for = 0;
        break;
    }
    return changed ? make_holdings(plan, engine) : NULL;
}

/* A failed load says nothing about the weight store's speed. */
static void
store_load_done(struct plan *plan, const struct plan_engine *engine,
                const struct target_info *info, int64_t now_ms)
{
    const struct gate_model *model =
        plan_engine_model(plan, engine, engine->loading);

    if (model != NULL && item_set_contains(&info->held, engine->loading)) {
        store_limit_load_finished(plan, engine, model->store_load_ms, now_ms);
    }
}

/* Whether another process of the engine than the known one made a report. A
 * report or an entry may be the older one of the two, so only an entry tells
 * of a restart. */
static bool
is_of_other_process(const struct plan_engine *engine,
                    const struct target_info *info)
{
    return info->started_ms != 0 && engine->info.started_ms != 0 &&
           info->started_ms != engine->info.started_ms;
}

/* Whether a report is from before the last order that counts. An order that
 * was only assumed to count is taken back once no report can be that old. */
static bool
is_outdated(const struct plan_engine *engine, const struct target_info *info,
            int64_t now_ms)
{
    bool assumed = engine->assumed_order_ms != 0 &&
                   now_ms - engine->assumed_order_ms >= REPORT_AGE_MAX_MS;

    return info->sequence <
           (assumed ? engine->certain_sequence : engine->info.sequence);
}

static struct holdings *
report_done(struct plan *plan, struct plan_engine *engine,
            const struct engine_call *call, int64_t now_ms)
{
    const struct target_info *info = &call->info;

    engine->report_pending = false;
    record_answer(engine, call->reported, now_ms);
    if (!call->reported) {
        engine->next_report_ms = now_ms + CONFLICT_RETRY_MS;
        return NULL;
    }
    if (is_of_other_process(engine, info)) {
        engine->next_report_ms = now_ms + REPORT_LAG_MS;
        engine->in_doubt = true;
        return NULL;
    }
    if (is_outdated(engine, info, now_ms)) {
        engine->next_report_ms = now_ms + REPORT_LAG_MS;
        return NULL;
    }
    engine->info.held = info->held;
    engine->info.has_unknown_items = info->has_unknown_items;
    sequence_is(engine, info->sequence);
    /* An engine accepts an order only after an unload has ended. */
    if (info->sequence > engine->adapter_unloads_sequence) {
        engine->adapter_unloads.count = 0;
    }
    if (info->in_memory.count > 0 || info->on_disk.count > 0) {
        engine->info.in_memory = info->in_memory;
        engine->info.on_disk = info->on_disk;
    }
    /* An order that runs after the unload has ended is not the unload. */
    engine->busy_with_unknown_order =
        info->order_running && engine->loading == 0 &&
        !item_set_contains(&info->held, engine->unloading);
    if (info->order_running) {
        engine->next_report_ms = now_ms + REPORT_LAG_MS;
        engine->in_doubt = engine->busy_with_unknown_order;
    }
    else {
        if (engine->loading != 0 && engine->loading_from_store) {
            store_load_done(plan, engine, info, now_ms);
        }
        engine->in_doubt = false;
        engine->loading = 0;
    }
    /* An unload that waits for running requests does not make an engine report
     * that it is busy. */
    if (item_set_contains(&info->held, engine->unloading)) {
        engine->unload_immediate = false;
        engine->next_report_ms = now_ms + REPORT_LAG_MS;
    }
    else {
        engine->unloading = 0;
    }
    return make_holdings(plan, engine);
}

/**
 * plan_step_done() - apply the outcome of a step
 * @plan: the plan
 * @call: the step and its outcome
 * @now_ms: current time
 *
 * Return: the engine's held items if they were read or have changed, to be
 * freed with g_free(); else NULL.
 */
struct holdings *
plan_step_done(struct plan *plan, const struct engine_call *call,
               int64_t now_ms)
{
    struct plan_engine *engine = find_engine(plan, &call->step);

    if (!call->step.is_report) {
        late_order_done(plan, call, now_ms);
    }
    if (engine == NULL) {
        return NULL;
    }
    return call->step.is_report ? report_done(plan, engine, call, now_ms)
                                : order_done(plan, engine, call, now_ms);
}
