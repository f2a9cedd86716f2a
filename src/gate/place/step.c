/**
 * DOC: The next step of the plan.
 *
 * Items with waiting requests come first, then further replicas of loaded
 * models, then models without a local copy on any engine: once an engine has
 * loaded a model, its disk keeps it, and the next load takes a fraction of the
 * time.
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
    EVICT_IDLE_MS = 600,       /* requests come in bursts */
    PRELOAD_IDLE_MS = 4000,    /* no eviction of used items for a preload */
    RESERVATION_MS = 3000,     /* the evicted item's requests end by then */
    IN_DOUBT_REPORT_MS = 600,  /* delay of the report of an engine in doubt */
    HOLDINGS_RECHECK_MS = 400, /* requests wait although the item is held */
    /* Engines slow down when more than this share of their slots is in use. */
    BUSY_PERCENT = 60,
    REPLICA_PERCENT = 65,
};

/* A model is loaded ahead above this number of requests that are expected
 * during a load from the weight store; refused requests count, too. */
static const double DEMAND_MIN = 0.3;

static void
fill_step(struct plan_step *step, const struct plan_engine *engine,
          enum order_action action, uint32_t item, const char *reason)
{
    memset(step, 0, sizeof(*step));
    step->action = action;
    step->item = item;
    step->expected_sequence = engine->info.sequence;
    step->started_ms = engine->info.started_ms;
    step->reason = reason;
    g_strlcpy(step->target, engine->info.id, sizeof(step->target));
    g_strlcpy(step->address, engine->info.address, sizeof(step->address));
}

static bool
next_report(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        if (plan_engine_service(plan, engine) != NULL &&
            !engine->report_pending && !engine->order_pending &&
            engine->next_report_ms != 0 && now_ms >= engine->next_report_ms) {
            fill_step(step, engine, ORDER_LOAD, 0, "report");
            step->is_report = true;
            return true;
        }
    }
    return false;
}

/* How soon an item that is being loaded somewhere will be usable. */
enum arrival { ARRIVAL_NONE, ARRIVAL_FROM_STORE, ARRIVAL_SOON };

/* Counts the engines that hold an item, and sets how many of those are busy
 * and whether the item is being loaded or has memory reserved. An engine that
 * is unresponsive to this instance only still runs requests, so it counts. */
static int
count_holding_engines(struct plan *plan, uint32_t item, int64_t now_ms,
                      enum arrival *arrival, int *busy)
{
    GHashTableIter iter;
    void *value;
    int count = 0;

    *arrival = ARRIVAL_NONE;
    *busy = 0;
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;
        int slots = MAX(engine->info.slots, 1);

        if (engine->info.draining || engine->missing ||
            (engine_is_unresponsive(engine, now_ms) && engine->running == 0)) {
            continue;
        }
        if (engine->loading == item && engine->loading_from_store) {
            *arrival = MAX(*arrival, ARRIVAL_FROM_STORE);
        }
        else if (engine->loading == item || engine->reserved_for == item ||
                 engine->pending_load == item) {
            *arrival = ARRIVAL_SOON;
        }
        else if (item_set_contains(&engine->info.held, item) &&
                 engine->unloading != item) {
            count++;
            *busy += engine->running * 100 > slots * BUSY_PERCENT ? 1 : 0;
        }
    }
    return count;
}

static bool
order_load(struct plan *plan, uint32_t item, enum load_source source,
           int64_t idle_ms, const char *reason, int64_t now_ms,
           struct plan_step *step)
{
    struct engine_choice choice =
        choose_fastest_engine(plan, item, source, idle_ms, now_ms);
    struct plan_engine *engine = choice.engine;

    if (engine == NULL) {
        return false;
    }
    if (choice.evicted_item != 0) {
        engine->reserved_for = item;
        engine->reserved_until_ms = now_ms + RESERVATION_MS;
        fill_step(step, engine, ORDER_UNLOAD, choice.evicted_item, reason);
        return true;
    }
    fill_step(step, engine, ORDER_LOAD, item, reason);
    return true;
}

/* Loads an item for which another one was evicted. */
static bool
next_reserved(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;
        uint32_t item = engine->reserved_for;

        if (item == 0) {
            continue;
        }
        if (now_ms >= engine->reserved_until_ms) {
            engine->reserved_for = 0;
            continue;
        }
        if (!engine_can_load(plan, engine, item, now_ms)) {
            continue;
        }
        if (engine_has_room(plan, engine, item)) {
            fill_step(step, engine, ORDER_LOAD, item, "reserved");
            return true;
        }
    }
    return false;
}

/* Requests still wait although engines should hold the item: their reports are
 * read again. */
static void
recheck_holding_engines(struct plan *plan, const struct item_demand *wanted,
                        int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    if (now_ms - wanted->waiting_since_ms < HOLDINGS_RECHECK_MS) {
        return;
    }
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        if (item_set_contains(&engine->info.held, wanted->item) &&
            engine->next_report_ms == 0) {
            engine->next_report_ms = now_ms + HOLDINGS_RECHECK_MS;
        }
    }
}

/* Lower ranks are ordered first. */
struct wanted_item {
    const struct item_demand *demand;
    int rank;
    double expected_requests;
};

/* Whether some engine holds a model, has a local copy or will load it. */
static bool
is_local_or_loading(struct plan *plan, uint32_t model)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;

        if (!engine->info.draining && !engine->missing &&
            (engine->loading == model || engine->reserved_for == model ||
             engine->pending_load == model ||
             item_set_contains(&engine->info.held, model) ||
             item_set_contains(&engine->info.in_memory, model) ||
             item_set_contains(&engine->info.on_disk, model))) {
            return true;
        }
    }
    return false;
}

static int64_t
store_load_ms(const struct plan *plan, uint32_t item)
{
    for (int s = 0; s < plan->config->service_count; s++) {
        const struct gate_model *model = gate_service_find_model(
            &plan->config->services[s], item_model(item));

        if (model != NULL) {
            return model->store_load_ms;
        }
    }
    return 0;
}

/* Requests waiting, plus those expected during a load from the weight store.
 * The rate includes refused requests, which callers send again. */
static double
expected_requests(const struct plan *plan, const struct item_demand *demand,
                  int64_t now_ms)
{
    double load_s = (double)store_load_ms(plan, demand->item) / 1000.0;

    return demand->waiting + item_request_rate(demand, now_ms) * load_s;
}

static bool
is_wanted(const struct plan *plan, const struct item_demand *demand,
          int64_t now_ms)
{
    return demand->waiting > 0 ||
           (!item_is_adapter(demand->item) &&
            expected_requests(plan, demand, now_ms) > DEMAND_MIN);
}

static int
compare_wanted(const void *a, const void *b)
{
    const struct wanted_item *left = a;
    const struct wanted_item *right = b;

    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    if (left->expected_requests != right->expected_requests) {
        return left->expected_requests > right->expected_requests ? -1 : 1;
    }
    return left->demand->item < right->demand->item ? -1 : 1;
}

/* Adapters load in some ms, local copies in less than a second, models from
 * the weight store in many seconds: the fastest loads are ordered first. */
static GArray *
wanted_items(struct plan *plan, int64_t now_ms)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct wanted_item));
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item_demand *demand = value;
        struct wanted_item wanted = {
            .demand = demand,
            .expected_requests = expected_requests(plan, demand, now_ms)};

        if (!is_wanted(plan, demand, now_ms)) {
            continue;
        }
        if (!item_is_adapter(demand->item)) {
            wanted.rank = is_local_or_loading(plan, demand->item) ? 1 : 2;
        }
        if (demand->waiting > 0 || wanted.rank == 2) {
            g_array_append_val(list, wanted);
        }
    }
    g_array_sort(list, compare_wanted);
    return list;
}

static bool
order_wanted(struct plan *plan, const struct item_demand *wanted,
             int64_t now_ms, struct plan_step *step)
{
    uint32_t item = wanted->item;
    uint32_t model = item_model(item);
    enum arrival arrival;
    int busy;
    int count = count_holding_engines(plan, item, now_ms, &arrival, &busy);

    if (arrival == ARRIVAL_SOON) {
        return false;
    }
    if (count > busy && wanted->waiting == 0) {
        return false;
    }
    if (count > busy) {
        recheck_holding_engines(plan, wanted, now_ms);
        return false;
    }
    if (order_load(plan, item,
                   arrival == ARRIVAL_FROM_STORE ? SOURCE_LOCAL : SOURCE_ANY,
                   EVICT_IDLE_MS, "wanted", now_ms, step)) {
        return true;
    }
    if (model == item ||
        count_holding_engines(plan, model, now_ms, &arrival, &busy) > 0 ||
        arrival != ARRIVAL_NONE) {
        return false;
    }
    return order_load(plan, model, SOURCE_ANY, EVICT_IDLE_MS, "wanted_base",
                      now_ms, step);
}

static bool
next_wanted(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GArray *list = wanted_items(plan, now_ms);
    bool found = false;

    for (guint i = 0; i < list->len && !found; i++) {
        found = order_wanted(plan,
                             g_array_index(list, struct wanted_item, i).demand,
                             now_ms, step);
    }
    g_array_free(list, TRUE);
    return found;
}

/* Requests share an engine's steps, so long prompts of some delay the events
 * of others: a model gets another replica well before its slots are full. */
static int
replicas_needed(const struct item_demand *demand,
                const struct gate_service *service)
{
    return 1 +
           demand->running * 100 / (MAX(service->slots, 1) * REPLICA_PERCENT);
}

static bool
next_replica(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item_demand *demand = value;
        enum arrival arrival;
        int busy;
        int count;

        if (demand->running == 0 || item_is_adapter(demand->item) ||
            now_ms - demand->last_request_ms > PRELOAD_IDLE_MS) {
            continue;
        }
        count =
            count_holding_engines(plan, demand->item, now_ms, &arrival, &busy);
        for (int s = 0; s < plan->config->service_count; s++) {
            const struct gate_service *service = &plan->config->services[s];

            if (arrival == ARRIVAL_NONE &&
                gate_service_find_model(service, demand->item) != NULL &&
                count < replicas_needed(demand, service) &&
                order_load(plan, demand->item, SOURCE_ANY, PRELOAD_IDLE_MS,
                           "replica", now_ms, step)) {
                return true;
            }
        }
    }
    return false;
}

static bool
next_preload(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    if (plan_store_loads(plan, now_ms) >= plan->settings.store_loads_max) {
        return false;
    }
    for (int s = 0; s < plan->config->service_count; s++) {
        const struct gate_service *service = &plan->config->services[s];

        for (int m = 0; m < service->model_count; m++) {
            uint32_t model = service->models[m].model;

            if (!is_local_or_loading(plan, model) &&
                order_load(plan, model, SOURCE_ANY, PRELOAD_IDLE_MS, "preload",
                           now_ms, step)) {
                return true;
            }
        }
    }
    return false;
}

/* Schedules a report for each order that is overdue or in doubt. */
static void
schedule_overdue_reports(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        if (engine->report_pending) {
            continue;
        }
        if ((engine->loading != 0 || engine->unloading != 0) &&
            engine->next_report_ms == 0 && now_ms > engine->order_done_ms) {
            engine->next_report_ms = now_ms;
        }
        if (engine->in_doubt && engine->next_report_ms == 0) {
            engine->next_report_ms = now_ms + IN_DOUBT_REPORT_MS;
        }
    }
}

/**
 * plan_next_step() - the next step to execute
 * @plan: the plan
 * @now_ms: current time
 * @step: filled in
 *
 * Return: false when there is nothing to do at present.
 */
bool
plan_next_step(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    if (plan->config == NULL) {
        return false;
    }
    plan_expire_activities(plan, now_ms);
    schedule_overdue_reports(plan, now_ms);
    return next_report(plan, now_ms, step) ||
           next_reserved(plan, now_ms, step) ||
           next_wanted(plan, now_ms, step) ||
           next_replica(plan, now_ms, step) ||
           next_preload(plan, now_ms, step);
}
