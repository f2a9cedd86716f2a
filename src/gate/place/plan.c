/**
 * DOC: State of the engines, as the lease holder sees it.
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

static void
free_activity(void *activity)
{
    activity_report_free(activity);
}

/**
 * plan_init() - initialize an empty plan
 * @plan: the plan
 */
void
plan_init(struct plan *plan)
{
    memset(plan, 0, sizeof(*plan));
    plan->holder_since_ms = G_MININT32; /* long before the clock's start */
    store_limit_init(plan);
    plan->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    plan->departed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    plan->late_orders = g_array_new(FALSE, FALSE, sizeof(struct late_order));
    plan->items = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    plan->activities = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                             g_free, free_activity);
    plan->leaving =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/**
 * plan_clear() - release a plan
 * @plan: the plan
 */
void
plan_clear(struct plan *plan)
{
    gate_config_unref(plan->config);
    g_hash_table_destroy(plan->engines);
    g_hash_table_destroy(plan->departed);
    g_array_free(plan->late_orders, TRUE);
    g_hash_table_destroy(plan->items);
    g_hash_table_destroy(plan->activities);
    g_hash_table_destroy(plan->leaving);
}

/**
 * plan_set_config() - replace the configuration
 * @plan: the plan
 * @config: one reference is taken over
 */
void
plan_set_config(struct plan *plan, struct gate_config *config)
{
    gate_config_unref(plan->config);
    plan->config = config;
}

/**
 * plan_engine_service() - service of an engine
 * @plan: the plan
 * @engine: the engine
 *
 * Return: the service; NULL when the configuration has no such service or it
 * has no models.
 */
const struct gate_service *
plan_engine_service(const struct plan *plan, const struct plan_engine *engine)
{
    const struct gate_service *service;

    if (plan->config == NULL) {
        return NULL;
    }
    service = gate_config_find_service(plan->config, engine->info.service);
    return service != NULL && service->model_count > 0 ? service : NULL;
}

/**
 * plan_engine_model() - the model that an item needs on an engine
 * @plan: the plan
 * @engine: the engine
 * @item: quark of a model or adapter
 *
 * Return: the model; NULL when the engine's service does not have it.
 */
const struct gate_model *
plan_engine_model(const struct plan *plan, const struct plan_engine *engine,
                  uint32_t item)
{
    const struct gate_service *service = plan_engine_service(plan, engine);

    return service != NULL ? gate_service_find_model(service, item_model(item))
                           : NULL;
}

/* Calls in progress are forgotten, too: their outcomes are about an earlier
 * process of the engine or an earlier term, and the next report is newer.
 * Their orders may still be carried out, see late.c. */
static void
clear_orders(struct plan_engine *engine)
{
    engine->loading = 0;
    engine->assume_loaded_ms = 0;
    engine->unloading = 0;
    engine->reserved_for = 0;
    engine->in_doubt = false;
    engine->busy_with_unknown_order = false;
    engine->order_pending = false;
    engine->pending_load = 0;
    engine->report_pending = false;
    engine->settled_sequence = G_MAXINT64;
}

static void
reset_engine(struct plan_engine *engine, const struct target_info *info,
             int64_t now_ms)
{
    engine->unanswered_since_ms = 0;
    engine->assumed_order_ms = 0;
    engine->adapter_unloads.count = 0;
    engine->adapter_unloads_sequence = 0;
    engine->info = *info;
    engine->in_doubt = true;
    engine->next_report_ms = now_ms;
}

/*
 * A registry entry carries no order sequence, and a slow store delivers it
 * late, so it must never free memory in the plan. It only confirms that the
 * load in progress has finished. Any other difference schedules a report,
 * which carries the sequence.
 */
static void
refresh_engine(struct plan_engine *engine, const struct target_info *info,
               int64_t now_ms)
{
    struct target_info before = engine->info;

    engine->info = *info;
    engine->info.sequence = before.sequence;
    engine->info.held = before.held;
    engine->info.in_memory = before.in_memory;
    engine->info.on_disk = before.on_disk;
    if (engine->loading != 0 &&
        item_set_contains(&info->held, engine->loading)) {
        item_set_add(&engine->info.held, engine->loading);
        engine->loading = 0;
    }
    if (!item_set_equal(&engine->info.held, &info->held) &&
        engine->next_report_ms == 0) {
        engine->next_report_ms = now_ms;
    }
}

static void
update_engine(struct plan *plan, const struct target_info *info,
              int64_t now_ms)
{
    struct plan_engine *engine = g_hash_table_lookup(plan->engines, info->id);

    if (engine == NULL) {
        engine = g_new0(struct plan_engine, 1);
        engine->leaves = g_hash_table_contains(plan->leaving, info->id);
        reset_engine(engine, info, now_ms);
        engine->restarted_ms = late_engine_returned(plan, info) ? now_ms : 0;
        g_hash_table_insert(plan->engines, engine->info.id, engine);
        return;
    }
    engine->missing = false;
    if (engine->info.started_ms != info->started_ms) {
        clear_orders(engine);
        reset_engine(engine, info, now_ms);
        engine->restarted_ms = now_ms;
        return;
    }
    refresh_engine(engine, info, now_ms);
}

/**
 * plan_apply_target_change() - apply a change in the list of targets
 * @plan: the plan
 * @change: the change
 * @now_ms: current time
 */
void
plan_apply_target_change(struct plan *plan, const struct target_change *change,
                         int64_t now_ms)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, change->info.id);

    switch (change->kind) {
    case TARGET_CHANGED:
        update_engine(plan, &change->info, now_ms);
        break;
    case TARGET_MISSING:
        update_engine(plan, &change->info, now_ms);
        engine = g_hash_table_lookup(plan->engines, change->info.id);
        engine->missing = true;
        break;
    case TARGET_GONE:
        if (engine != NULL) {
            late_engine_departed(plan, engine, now_ms);
        }
        g_hash_table_remove(plan->engines, change->info.id);
        break;
    }
}

/**
 * plan_apply_leaving() - apply what a target has said about its stop
 * @plan: the plan
 * @news: what was learnt; it outlives the target's entry
 */
void
plan_apply_leaving(struct plan *plan, const struct place_leaving *news)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, news->target);

    if (news->leaves) {
        g_hash_table_add(plan->leaving, g_strdup(news->target));
    }
    else {
        g_hash_table_remove(plan->leaving, news->target);
    }
    if (engine != NULL) {
        engine->leaves = news->leaves;
    }
}

/**
 * plan_apply_pause() - apply what a target has said about the requests that it
 *                      wants
 * @plan: the plan
 * @pause: what was learnt
 */
void
plan_apply_pause(struct plan *plan, const struct place_pause *pause)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, pause->target);

    if (engine != NULL) {
        engine->paused_until_ms = pause->until_ms;
    }
}

/**
 * plan_apply_holdings() - apply held items as the lease holder reports them
 * @plan: the plan
 * @holdings: held items of an engine; ignored if older than the known ones
 *
 * A view with the same sequence may still be older: it lacks items that were
 * being loaded. The holder therefore trusts the engine's reports only. A view
 * that arrives during its term is a former holder's, delayed by a cut link or
 * a pause.
 */
void
plan_apply_holdings(struct plan *plan, const struct holdings *holdings)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, holdings->target);

    if (plan->fence != 0) {
        return;
    }
    if (holdings->store_loads_max > 0) {
        plan->settings.store_loads_max = holdings->store_loads_max;
    }
    if (engine != NULL && engine->info.started_ms == holdings->started_ms &&
        holdings->sequence >= engine->info.sequence) {
        engine->info.held = holdings->held;
        engine->info.sequence = holdings->sequence;
    }
}

/* Orders of the previous holder may still be in progress, so each engine's
 * report is read before the engine gets an order. What is known of its
 * sequence may have been an assumption of that holder. */
static void
begin_term(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    plan->holder_since_ms = now_ms;
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        clear_orders(engine);
        engine->next_report_ms = now_ms;
        engine->in_doubt = true;
        engine->unanswered_since_ms = 0;
        engine->certain_sequence = 0;
        engine->assumed_order_ms = now_ms;
    }
}

/**
 * plan_set_term() - note whether this instance is the lease holder
 * @plan: the plan
 * @fence: fencing token of its term; 0 when it isn't the holder
 * @now_ms: current time
 *
 * An instance that was paused may find itself the holder of a new term without
 * having noticed that another one had one in between; the fence tells.
 */
void
plan_set_term(struct plan *plan, int64_t fence, int64_t now_ms)
{
    if (fence != 0 && fence != plan->fence) {
        begin_term(plan, now_ms);
    }
    plan->fence = fence;
}
