/**
 * DOC: What becomes of orders.
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
    ASSUME_MS = 20,      /* an engine's steps end some ms later */
    ADAPTER_MS = 30,     /* an adapter takes 5 to 10 ms, a few at once */
    UNLOAD_MS = 60,      /* without runs to wait for */
    REPORT_LAG_MS = 100, /* a report is as old as this, or older */
    CONFLICT_MS = 200,   /* until the report shows what runs there */
    REFUSED_MS = 5000,   /* the order can't be carried out */
    UNSURE_MS = 300,     /* an order without an answer */
};

static struct plan_engine *
engine_of(struct plan *plan, const struct plan_step *step)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, step->target);

    return engine != NULL && engine->info.born_ms == step->born_ms ? engine
                                                                   : NULL;
}

/**
 * plan_sent() - a step is on its way
 * @plan: the plan
 * @step: the step
 */
void
plan_sent(struct plan *plan, const struct plan_step *step)
{
    struct plan_engine *engine = engine_of(plan, step);

    if (engine == NULL) {
        return;
    }
    if (step->report) {
        engine->reporting = true;
        engine->report_ms = 0;
    }
    else {
        engine->ordering = true;
        engine->ordered = step->action == ORDER_LOAD ? step->item : 0;
    }
}

static struct holdings *
holdings_of(const struct plan *plan, const struct plan_engine *engine)
{
    struct holdings *holdings = g_new0(struct holdings, 1);

    g_strlcpy(holdings->target, engine->info.id, sizeof(holdings->target));
    holdings->started_ms = engine->info.born_ms;
    holdings->sequence = engine->info.sequence;
    holdings->held = engine->info.held;
    holdings->store_loads_max = plan->settings.store_loads_max;
    items_remove(&holdings->held, engine->unloading);
    return holdings;
}

static void
start_load(struct plan *plan, struct plan_engine *engine, uint32_t item,
           int64_t now_ms)
{
    bool from_store;
    int64_t load_ms = room_load_ms(plan, engine, item, &from_store);

    /* An engine accepts a load only when its last order is done. */
    items_remove(&engine->info.held, engine->unloading);
    engine->unloading = 0;
    engine->reserved = 0;
    engine->loading = item;
    engine->loading_store = from_store;
    engine->done_ms = now_ms + load_ms;
    if (from_store) {
        loads_began(plan, engine, now_ms);
    }
    engine->report_ms = engine->done_ms + REPORT_LAG_MS;
    engine->assume_ms = from_store ? 0 : engine->done_ms + ASSUME_MS;
}

/**
 * plan_assumed() - a load that should be done by now
 * @plan: the plan
 * @now_ms: present time
 *
 * Loads from an engine's memory or disk take a known time, and the report lags
 * behind: their end is assumed. The report still decides about room.
 *
 * Return: what an engine holds by now, to be freed with g_free(); NULL when
 * nothing is to be told.
 */
struct holdings *
plan_assumed(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        if (engine->assume_ms != 0 && now_ms >= engine->assume_ms) {
            struct holdings *holdings = holdings_of(plan, engine);

            engine->assume_ms = 0;
            if (engine->loading != 0) {
                items_add(&holdings->held, engine->loading);
                return holdings;
            }
            g_free(holdings);
        }
    }
    return NULL;
}

/* The model and its adapters take their room until the report says that they
 * are gone, as an adapter is loaded beside an unload that is under way. */
static void
start_unload(struct plan *plan, struct plan_engine *engine, uint32_t item,
             int64_t now_ms)
{
    if (item_is_adapter(item)) {
        items_remove(&engine->info.held, item);
        return;
    }
    engine->unloading = item;
    engine->unload_idle = plan_item(plan, item)->running == 0;
    engine->done_ms = now_ms + UNLOAD_MS;
    engine->retry_ms = engine->done_ms;
    engine->report_ms = engine->done_ms + REPORT_LAG_MS;
}

/* Returns whether the engine holds something else by now. */
static bool
accepted(struct plan *plan, struct plan_engine *engine,
         const struct plan_step *step, int64_t now_ms)
{
    engine->info.sequence = step->sequence + 1;
    if (step->action == ORDER_UNLOAD) {
        start_unload(plan, engine, step->item, now_ms);
        return true;
    }
    if (item_is_adapter(step->item)) {
        items_add(&engine->info.held, step->item);
        engine->reserved = 0;
        engine->retry_ms = now_ms + ADAPTER_MS;
        return true;
    }
    start_load(plan, engine, step->item, now_ms);
    return false;
}

/* While an unload that was accepted is under way there is nothing to find
 * out. */
static void
conflict(struct plan_engine *engine, int64_t now_ms)
{
    if (engine->unloading != 0) {
        engine->retry_ms = now_ms + UNLOAD_MS;
        return;
    }
    engine->retry_ms = now_ms + CONFLICT_MS;
    engine->report_ms = now_ms + CONFLICT_MS;
    engine->unsure = true;
}

static void
note_answer(struct plan_engine *engine, bool answered, int64_t now_ms)
{
    if (answered) {
        engine->mute_ms = 0;
    }
    else if (engine->mute_ms == 0) {
        engine->mute_ms = now_ms;
    }
}

static struct holdings *
ordered(struct plan *plan, struct plan_engine *engine, const struct work *work,
        int64_t now_ms)
{
    const struct plan_step *step = &work->step;
    bool changed = false;

    engine->ordering = false;
    engine->ordered = 0;
    if (!work->sent) {
        return NULL;
    }
    note_answer(engine, work->result != ORDER_UNKNOWN, now_ms);
    switch (work->result) {
    case ORDER_ACCEPTED:
        changed = accepted(plan, engine, step, now_ms);
        break;
    case ORDER_HOLDS:
        changed = true;
        if (step->action == ORDER_LOAD) {
            items_add(&engine->info.held, step->item);
        }
        else {
            /* An adapter is dropped at once, which counts as an order. */
            items_remove(&engine->info.held, step->item);
            engine->info.sequence = step->sequence + 1;
        }
        engine->report_ms = now_ms + REPORT_LAG_MS;
        break;
    case ORDER_CONFLICT:
        conflict(engine, now_ms);
        break;
    case ORDER_UNKNOWN:
        engine->retry_ms = now_ms + UNSURE_MS;
        engine->report_ms = now_ms + UNSURE_MS;
        engine->unsure = true;
        break;
    case ORDER_FENCED:
    case ORDER_MISPLACED:
    case ORDER_REFUSED:
        engine->retry_ms = now_ms + REFUSED_MS;
        engine->reserved = 0;
        break;
    }
    return changed ? holdings_of(plan, engine) : NULL;
}

/* A load that has failed tells nothing. */
static void
store_load_ended(struct plan *plan, const struct plan_engine *engine,
                 const struct target_info *info, int64_t now_ms)
{
    const struct gate_model *model = plan_model(plan, engine, engine->loading);

    if (model != NULL && items_have(&info->held, engine->loading)) {
        loads_ended(plan, engine, model->load_ms, now_ms);
    }
}

static struct holdings *
reported(struct plan *plan, struct plan_engine *engine,
         const struct work *work, int64_t now_ms)
{
    const struct target_info *info = &work->info;

    engine->reporting = false;
    note_answer(engine, work->reported, now_ms);
    if (!work->reported) {
        engine->report_ms = now_ms + CONFLICT_MS;
        return NULL;
    }
    if (info->sequence < engine->info.sequence) {
        /* The report is older than the last answer. */
        engine->report_ms = now_ms + REPORT_LAG_MS;
        return NULL;
    }
    engine->info.held = info->held;
    engine->info.strange = info->strange;
    engine->info.sequence = info->sequence;
    if (info->in_memory.count > 0 || info->on_disk.count > 0) {
        engine->info.in_memory = info->in_memory;
        engine->info.on_disk = info->on_disk;
    }
    engine->busy_other =
        info->busy && engine->loading == 0 && engine->unloading == 0;
    if (info->busy) {
        engine->report_ms = now_ms + REPORT_LAG_MS;
        engine->unsure = engine->busy_other;
    }
    else {
        if (engine->loading != 0 && engine->loading_store) {
            store_load_ended(plan, engine, info, now_ms);
        }
        engine->unsure = false;
        engine->loading = 0;
    }
    /* An unload that waits for runs doesn't make an engine busy. */
    if (items_have(&info->held, engine->unloading)) {
        engine->unload_idle = false;
        engine->report_ms = now_ms + REPORT_LAG_MS;
    }
    else {
        engine->unloading = 0;
    }
    return holdings_of(plan, engine);
}

/**
 * plan_done() - a step has come back
 * @plan: the plan
 * @work: the step and what became of it
 * @now_ms: present time
 *
 * Return: what the engine holds by now if that was read or has changed, to be
 * freed with g_free(); else NULL.
 */
struct holdings *
plan_done(struct plan *plan, const struct work *work, int64_t now_ms)
{
    struct plan_engine *engine = engine_of(plan, &work->step);

    if (engine == NULL) {
        return NULL;
    }
    return work->step.report ? reported(plan, engine, work, now_ms)
                             : ordered(plan, engine, work, now_ms);
}
