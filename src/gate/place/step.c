/**
 * DOC: The next step of the plan.
 *
 * Items that requests wait for and models with too few replicas come first,
 * then a second copy of models in demand, then models without a copy on any
 * engine: once an engine has loaded a model, its disk keeps it, and the next
 * load takes a fraction of the time.
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
    PRELOAD_IDLE_MS = 4000,    /* no eviction of used items for a preload */
    RESERVATION_MS = 3000,     /* the evicted item's requests end by then */
    IN_DOUBT_REPORT_MS = 600,  /* delay of the report of an engine in doubt */
    HOLDINGS_RECHECK_MS = 400, /* requests wait although the item is held */
    /* The engine wants no requests of this instance, which explains the wait;
     * those of other instances may wait for an item that it lacks. */
    PAUSED_RECHECK_MS = 2000,
    /* Requests that a model without another copy would lose while it is
     * fetched from the weight store again. */
    SPARE_LOSS_MIN = 20,
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
            step->silent = engine->unanswered_since_ms != 0;
            return true;
        }
    }
    return false;
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

/* Whether an unload waits for requests, which may run for many seconds. If the
 * reservation ended before, a replica would be unloaded on another engine for
 * the same item. */
static bool
is_being_emptied(const struct plan_engine *engine, int64_t now_ms)
{
    return engine->unloading != 0 && !engine->unload_immediate &&
           !engine_is_leaving(engine) && !engine->missing &&
           !engine_is_unresponsive(engine, now_ms);
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
        if (is_being_emptied(engine, now_ms)) {
            engine->reserved_until_ms = now_ms + RESERVATION_MS;
            continue;
        }
        if (now_ms >= engine->reserved_until_ms) {
            engine->reserved_for = 0;
            continue;
        }
        if (!engine_can_load(plan, engine, item, now_ms)) {
            continue;
        }
        if (engine_has_room(plan, engine, item, now_ms)) {
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
            engine->next_report_ms =
                MAX(now_ms + HOLDINGS_RECHECK_MS,
                    MIN(engine->paused_until_ms, now_ms + PAUSED_RECHECK_MS));
        }
    }
}

/* Lower ranks are ordered first, and of these a starved item with a local
 * copy, whose load takes less than a second, before replicas of busy ones. */
struct wanted_item {
    const struct item_demand *demand;
    int rank;
    bool starved;
    int needed;
    double unserved;
};

static const struct gate_service *
service_of_model(const struct plan *plan, uint32_t model)
{
    for (int s = 0; s < plan->config->service_count; s++) {
        if (gate_service_find_model(&plan->config->services[s], model) !=
            NULL) {
            return &plan->config->services[s];
        }
    }
    return NULL;
}

static double
store_load_s(const struct gate_service *service, uint32_t model)
{
    const struct gate_model *found = gate_service_find_model(service, model);

    return found != NULL ? (double)found->store_load_ms / 1000.0 : 0.0;
}

/* Requests waiting, plus those expected during a load from the weight store.
 * The rate includes refused requests, which callers send again. */
static double
expected_requests(const struct plan *plan, const struct item_demand *demand,
                  int64_t now_ms)
{
    const struct gate_service *service =
        service_of_model(plan, item_model(demand->item));
    double load_s = service != NULL
                        ? store_load_s(service, item_model(demand->item))
                        : 0.0;

    return demand->waiting + item_request_rate(demand, now_ms) * load_s;
}

static bool
is_wanted(const struct plan *plan, const struct item_demand *demand,
          int64_t now_ms)
{
    if (demand->waiting > 0) {
        return true;
    }
    if (item_is_adapter(demand->item)) {
        return false;
    }
    return expected_requests(plan, demand, now_ms) > DEMAND_MIN ||
           (demand->running > 0 &&
            now_ms - demand->last_request_ms <= PRELOAD_IDLE_MS);
}

/* Engines that should hold an item that requests wait for. One more than the
 * busy ones may help at once even when the demand does not last. */
static int
wanted_count(const struct plan *plan, const struct item_demand *demand,
             const double *hold_s, int64_t now_ms)
{
    const struct gate_service *service =
        service_of_model(plan, item_model(demand->item));
    int needed = 1;

    if (service != NULL && !item_is_adapter(demand->item)) {
        needed =
            replicas_needed(demand, hold_s[service - plan->config->services],
                            service->slots, now_ms);
    }
    if (demand->waiting > 0 && demand->copies.held == demand->copies.busy) {
        needed = MAX(needed, demand->copies.held + 1);
    }
    return needed;
}

static int
compare_wanted(const void *a, const void *b)
{
    const struct wanted_item *left = a;
    const struct wanted_item *right = b;

    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    if (left->starved != right->starved) {
        return left->starved ? -1 : 1;
    }
    if (left->unserved != right->unserved) {
        return left->unserved > right->unserved ? -1 : 1;
    }
    return left->demand->item < right->demand->item ? -1 : 1;
}

/* Expected requests that the engines which hold or load an item leave
 * unserved. */
static double
unserved_requests(const struct plan *plan, const struct wanted_item *wanted,
                  int64_t now_ms)
{
    const struct item_copies *copies = &wanted->demand->copies;
    int ready = MIN(copies->held + copies_coming(copies), wanted->needed);

    return expected_requests(plan, wanted->demand, now_ms) *
           (wanted->needed - ready) / wanted->needed;
}

/* Whether an item that no request waits for at present should be loaded. One
 * that has a local copy is not: it is there soon enough when it is wanted, and
 * would take the place of others. */
static bool
is_short(const struct wanted_item *wanted)
{
    const struct item_copies *copies = &wanted->demand->copies;

    return (copies->held > 0 || copies->local == 0) &&
           copies->held + copies_coming(copies) < wanted->needed;
}

/* How long a request runs at a target of each service. With hundreds of models
 * it is computed once rather than for each of them. */
static double *
service_hold_s(const struct plan *plan, int64_t now_ms)
{
    double *hold_s = g_new0(double, plan->config->service_count);

    for (int s = 0; s < plan->config->service_count; s++) {
        hold_s[s] = plan_hold_s(plan, &plan->config->services[s], now_ms);
    }
    return hold_s;
}

/* Adapters load in some ms, local copies in less than a second, models from
 * the weight store in many seconds: the fastest loads are ordered first, and
 * replicas that no request waits for last. */
static GArray *
wanted_items(struct plan *plan, int64_t now_ms)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct wanted_item));
    double *hold_s = service_hold_s(plan, now_ms);
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item_demand *demand = value;
        struct wanted_item wanted = {.demand = demand};

        if (!is_wanted(plan, demand, now_ms)) {
            continue;
        }
        wanted.needed = wanted_count(plan, demand, hold_s, now_ms);
        wanted.unserved = unserved_requests(plan, &wanted, now_ms);
        wanted.starved =
            demand->copies.local > 0 && item_is_starved(demand, now_ms);
        if (!item_is_adapter(demand->item)) {
            wanted.rank = demand->copies.local > 0 ? 1 : 2;
        }
        if (demand->waiting == 0 && demand->copies.held > 0) {
            wanted.rank = 3;
        }
        if (demand->waiting > 0 || is_short(&wanted)) {
            g_array_append_val(list, wanted);
        }
    }
    g_free(hold_s);
    g_array_sort(list, compare_wanted);
    return list;
}

static int64_t
evict_idle_ms(const struct item_demand *demand, int64_t now_ms)
{
    if (item_is_starved(demand, now_ms)) {
        return EVICT_STARVED_IDLE_MS;
    }
    return demand->waiting > 0 ? EVICT_IDLE_MS : PRELOAD_IDLE_MS;
}

static bool
order_wanted(struct plan *plan, const struct wanted_item *wanted,
             int64_t now_ms, struct plan_step *step)
{
    const struct item_demand *demand = wanted->demand;
    const struct item_copies *copies = &demand->copies;
    uint32_t item = demand->item;
    uint32_t model = item_model(item);
    bool enough = copies->held + copies_coming(copies) >= wanted->needed;
    int64_t idle_ms = evict_idle_ms(demand, now_ms);

    if (enough && (copies->held > 0 || copies->coming_soon > 0)) {
        if (copies->held > copies->busy && demand->waiting > 0) {
            recheck_holding_engines(plan, demand, now_ms);
        }
        return false;
    }
    if (order_load(plan, item, enough ? SOURCE_LOCAL : SOURCE_ANY, idle_ms,
                   copies->held > 0 ? "replica" : "wanted", now_ms, step)) {
        return true;
    }
    if (model == item || copies->held > 0 || copies_coming(copies) > 0) {
        return false;
    }
    copies = &plan_demand(plan, model)->copies;
    return copies->held == 0 && copies_coming(copies) == 0 &&
           order_load(plan, model, SOURCE_ANY, idle_ms, "wanted_base", now_ms,
                      step);
}

static bool
next_wanted(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GArray *list = wanted_items(plan, now_ms);
    bool found = false;

    for (guint i = 0; i < list->len && !found; i++) {
        found = order_wanted(plan, &g_array_index(list, struct wanted_item, i),
                             now_ms, step);
    }
    g_array_free(list, TRUE);
    return found;
}

static bool
needs_spare(const struct plan *plan, const struct item_demand *demand,
            int64_t now_ms)
{
    const struct item_copies *copies = &demand->copies;

    return !item_is_adapter(demand->item) && copies->held > 0 &&
           copies->held + copies_coming(copies) + copies->local < 2 &&
           expected_requests(plan, demand, now_ms) >= SPARE_LOSS_MIN;
}

/* A second copy of a model in demand, so that the loss of an engine does not
 * take the model away for the time of a load from the weight store. One load
 * stays free for models that requests wait for. */
static bool
next_spare(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    const struct item_demand *best = NULL;
    GHashTableIter iter;
    void *value;

    if (plan_store_loads(plan, now_ms) + 1 >= plan->settings.store_loads_max) {
        return false;
    }
    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item_demand *demand = value;

        if (needs_spare(plan, demand, now_ms) &&
            (best == NULL || item_request_rate(demand, now_ms) >
                                 item_request_rate(best, now_ms))) {
            best = demand;
        }
    }
    return best != NULL && order_load(plan, best->item, SOURCE_ANY,
                                      PRELOAD_IDLE_MS, "spare", now_ms, step);
}

static bool
is_anywhere(const struct item_copies *copies)
{
    return copies->held + copies_coming(copies) + copies->local > 0;
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

            if (!is_anywhere(&plan_demand(plan, model)->copies) &&
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
    late_orders_expire(plan, now_ms);
    schedule_overdue_reports(plan, now_ms);
    plan_count_copies(plan, now_ms);
    return next_report(plan, now_ms, step) ||
           next_reserved(plan, now_ms, step) ||
           next_wanted(plan, now_ms, step) || next_spare(plan, now_ms, step) ||
           next_preload(plan, now_ms, step);
}
