/**
 * DOC: What engines hold, as the holder of orders sees it.
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

static void
free_activity(void *activity)
{
    activity_report_free(activity);
}

/**
 * plan_init() - empty plan
 * @plan: the plan
 */
void
plan_init(struct plan *plan)
{
    memset(plan, 0, sizeof(*plan));
    plan->begin_ms = G_MININT32; /* long before the clock's start */
    loads_init(plan);
    plan->engines =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    plan->items = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    plan->notes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                        free_activity);
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
    g_hash_table_destroy(plan->items);
    g_hash_table_destroy(plan->notes);
}

/**
 * plan_config() - a configuration is in force
 * @plan: the plan
 * @config: one reference is taken over
 */
void
plan_config(struct plan *plan, struct gate_config *config)
{
    gate_config_unref(plan->config);
    plan->config = config;
}

/**
 * plan_service() - service of an engine
 * @plan: the plan
 * @engine: the engine
 *
 * Return: the service, or NULL when the configuration has none with models.
 */
const struct gate_service *
plan_service(const struct plan *plan, const struct plan_engine *engine)
{
    const struct gate_service *service;

    if (plan->config == NULL) {
        return NULL;
    }
    service = gate_config_service(plan->config, engine->info.service);
    return service != NULL && service->model_count > 0 ? service : NULL;
}

/**
 * plan_model() - the model that an item needs on an engine
 * @plan: the plan
 * @engine: the engine
 * @item: quark of a model or adapter
 *
 * Return: the model, or NULL when its service has none such.
 */
const struct gate_model *
plan_model(const struct plan *plan, const struct plan_engine *engine,
           uint32_t item)
{
    const struct gate_service *service = plan_service(plan, engine);

    return service != NULL ? gate_service_model(service, item_model(item))
                           : NULL;
}

static void
forget_orders(struct plan_engine *engine)
{
    engine->loading = 0;
    engine->assume_ms = 0;
    engine->unloading = 0;
    engine->reserved = 0;
    engine->unsure = false;
    engine->busy_other = false;
}

static void
start_engine(struct plan_engine *engine, const struct target_info *info,
             int64_t now_ms)
{
    engine->mute_ms = 0;
    engine->info = *info;
    engine->unsure = true;
    engine->report_ms = now_ms;
}

/*
 * An entry doesn't say which orders it has seen, and a slow store hands it
 * over late. It must not make room on an engine, so it only shows that a load
 * is done; whatever else differs is looked up in the report, which counts the
 * orders.
 */
static void
refresh(struct plan_engine *engine, const struct target_info *info,
        int64_t now_ms)
{
    struct target_info before = engine->info;

    engine->info = *info;
    engine->info.sequence = before.sequence;
    engine->info.held = before.held;
    engine->info.in_memory = before.in_memory;
    engine->info.on_disk = before.on_disk;
    if (engine->loading != 0 && items_have(&info->held, engine->loading)) {
        items_add(&engine->info.held, engine->loading);
        engine->loading = 0;
    }
    if (!items_equal(&engine->info.held, &info->held) &&
        engine->report_ms == 0) {
        engine->report_ms = now_ms;
    }
}

static void
update(struct plan *plan, const struct target_info *info, int64_t now_ms)
{
    struct plan_engine *engine = g_hash_table_lookup(plan->engines, info->id);

    if (engine == NULL) {
        engine = g_new0(struct plan_engine, 1);
        start_engine(engine, info, now_ms);
        g_hash_table_insert(plan->engines, engine->info.id, engine);
        return;
    }
    engine->missing = false;
    if (engine->info.born_ms != info->born_ms) {
        forget_orders(engine);
        start_engine(engine, info, now_ms);
        return;
    }
    refresh(engine, info, now_ms);
}

/**
 * plan_change() - the list of targets has changed
 * @plan: the plan
 * @change: the change
 * @now_ms: present time
 */
void
plan_change(struct plan *plan, const struct target_change *change,
            int64_t now_ms)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, change->info.id);

    switch (change->kind) {
    case TARGET_CHANGED:
        update(plan, &change->info, now_ms);
        break;
    case TARGET_MISSING:
        update(plan, &change->info, now_ms);
        engine = g_hash_table_lookup(plan->engines, change->info.id);
        engine->missing = true;
        break;
    case TARGET_GONE:
        g_hash_table_remove(plan->engines, change->info.id);
        break;
    }
}

/**
 * plan_holdings() - another instance, the holder, tells what an engine holds
 * @plan: the plan
 * @holdings: what it holds
 */
void
plan_holdings(struct plan *plan, const struct holdings *holdings)
{
    struct plan_engine *engine =
        g_hash_table_lookup(plan->engines, holdings->target);

    if (holdings->store_loads_max > 0) {
        plan->settings.store_loads_max = holdings->store_loads_max;
    }
    if (engine != NULL && engine->info.born_ms == holdings->started_ms &&
        holdings->sequence >= engine->info.sequence) {
        engine->info.held = holdings->held;
        engine->info.sequence = holdings->sequence;
    }
}

/**
 * plan_begin() - this instance has become the holder
 * @plan: the plan
 * @now_ms: present time
 *
 * Orders of the former holder may still run, so each engine's report is read
 * before it is ordered anything.
 */
void
plan_begin(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    plan->begin_ms = now_ms;
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        forget_orders(engine);
        engine->ordering = false;
        engine->ordered = 0;
        engine->reporting = false;
        engine->report_ms = now_ms;
        engine->unsure = true;
        engine->mute_ms = 0;
    }
}
