/**
 * DOC: The next order.
 *
 * What requests wait for comes first, then further replicas of what is asked
 * for most, then models that no engine has near: once an engine has read a
 * model, its disk keeps it, and the next load takes a fraction of the time.
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
    VICTIM_IDLE_MS = 600,   /* requests come in clumps */
    PRELOAD_IDLE_MS = 4000, /* what is used is not given up for a guess */
    RESERVE_MS = 3000,      /* runs at the item that makes way end by then */
    LATE_MS = 600,          /* an engine in doubt is looked at again */
    DOUBT_MS = 400,         /* requests wait for what should be there */
    /* Requests beyond this part of its places make an engine slow. */
    BUSY_PERCENT = 60,
    CROWDED_PERCENT = 65,
};

/* A third of a request that is expected or was refused lately. */
static const double DEMAND_MIN = 0.3;

static void
fill(struct plan_step *step, const struct plan_engine *engine,
     enum order_action action, uint32_t item, const char *reason)
{
    memset(step, 0, sizeof(*step));
    step->action = action;
    step->item = item;
    step->sequence = engine->info.sequence;
    step->born_ms = engine->info.started_ms;
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

        if (plan_service(plan, engine) != NULL && !engine->reporting &&
            !engine->ordering && engine->report_ms != 0 &&
            now_ms >= engine->report_ms) {
            fill(step, engine, ORDER_LOAD, 0, "report");
            step->report = true;
            return true;
        }
    }
    return false;
}

/* How an item is on its way to some engine. */
enum coming { COMING_NOT, COMING_FROM_STORE, COMING_SOON };

/* Engines that hold an item, and whether one is loading it or makes room for
 * it. One that is silent only to this instance still runs requests. */
static int
holders(struct plan *plan, uint32_t item, int64_t now_ms, enum coming *coming,
        int *busy)
{
    GHashTableIter iter;
    void *value;
    int count = 0;

    *coming = COMING_NOT;
    *busy = 0;
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;
        int slots = MAX(engine->info.slots, 1);

        if (engine->info.draining || engine->missing ||
            (choice_is_silent(engine, now_ms) && engine->running == 0)) {
            continue;
        }
        if (engine->loading == item && engine->loading_store) {
            *coming = MAX(*coming, COMING_FROM_STORE);
        }
        else if (engine->loading == item || engine->reserved == item ||
                 engine->ordered == item) {
            *coming = COMING_SOON;
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
order_for(struct plan *plan, uint32_t item, enum choice_source source,
          int64_t idle_ms, const char *reason, int64_t now_ms,
          struct plan_step *step)
{
    struct choice choice = choice_make(plan, item, source, idle_ms, now_ms);
    struct plan_engine *engine = choice.engine;

    if (engine == NULL) {
        return false;
    }
    if (choice.victim != 0) {
        engine->reserved = item;
        engine->reserved_until_ms = now_ms + RESERVE_MS;
        fill(step, engine, ORDER_UNLOAD, choice.victim, reason);
        return true;
    }
    fill(step, engine, ORDER_LOAD, item, reason);
    return true;
}

/* Room that was made for an item is used. */
static bool
next_reserved(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;
        uint32_t item = engine->reserved;

        if (item == 0) {
            continue;
        }
        if (now_ms >= engine->reserved_until_ms) {
            engine->reserved = 0;
            continue;
        }
        if (!choice_suits(plan, engine, item, now_ms)) {
            continue;
        }
        if (room_for(plan, engine, item)) {
            fill(step, engine, ORDER_LOAD, item, "reserved");
            return true;
        }
    }
    return false;
}

/* The report of an engine that should have what requests wait for. */
static void
doubt_holders(struct plan *plan, const struct plan_item *wanted,
              int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    if (now_ms - wanted->wanted_ms < DOUBT_MS) {
        return;
    }
    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        if (item_set_contains(&engine->info.held, wanted->item) &&
            engine->report_ms == 0) {
            engine->report_ms = now_ms + DOUBT_MS;
        }
    }
}

struct wanted {
    const struct plan_item *item;
    int rank;
    double demand;
};

/* Whether some engine has the weights, or soon will. */
static bool
is_near(struct plan *plan, uint32_t model)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_engine *engine = value;

        if (!engine->info.draining && !engine->missing &&
            (engine->loading == model || engine->reserved == model ||
             engine->ordered == model ||
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

/* How much an item is asked for: what waits, and what comes in the time of a
 * load from the weight store. Requests that were refused come back. */
static double
demand(const struct plan *plan, const struct plan_item *item, int64_t now_ms)
{
    double load_s = (double)store_load_ms(plan, item->item) / 1000.0;

    return item->waiting + plan_rate(item, now_ms) * load_s;
}

static bool
is_wanted(const struct plan *plan, const struct plan_item *item,
          int64_t now_ms)
{
    return item->waiting > 0 || (!item_is_adapter(item->item) &&
                                 demand(plan, item, now_ms) > DEMAND_MIN);
}

static int
compare_wanted(const void *a, const void *b)
{
    const struct wanted *left = a;
    const struct wanted *right = b;

    if (left->rank != right->rank) {
        return left->rank < right->rank ? -1 : 1;
    }
    if (left->demand != right->demand) {
        return left->demand > right->demand ? -1 : 1;
    }
    return left->item->item < right->item->item ? -1 : 1;
}

/* Adapters take some ms, copies at hand less than a second, the weight store
 * many seconds: what is quick goes first. */
static GArray *
wanted_items(struct plan *plan, int64_t now_ms)
{
    GArray *list = g_array_new(FALSE, FALSE, sizeof(struct wanted));
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_item *item = value;
        struct wanted wanted = {.item = item,
                                .demand = demand(plan, item, now_ms)};

        if (!is_wanted(plan, item, now_ms)) {
            continue;
        }
        if (!item_is_adapter(item->item)) {
            wanted.rank = is_near(plan, item->item) ? 1 : 2;
        }
        if (item->waiting > 0 || wanted.rank == 2) {
            g_array_append_val(list, wanted);
        }
    }
    g_array_sort(list, compare_wanted);
    return list;
}

static bool
order_wanted(struct plan *plan, const struct plan_item *wanted, int64_t now_ms,
             struct plan_step *step)
{
    uint32_t item = wanted->item;
    uint32_t model = item_model(item);
    enum coming coming;
    int busy;
    int count = holders(plan, item, now_ms, &coming, &busy);

    if (coming == COMING_SOON) {
        return false;
    }
    if (count > busy && wanted->waiting == 0) {
        return false;
    }
    if (count > busy) {
        doubt_holders(plan, wanted, now_ms);
        return false;
    }
    if (order_for(plan, item,
                  coming == COMING_FROM_STORE ? SOURCE_NEAR : SOURCE_ANY,
                  VICTIM_IDLE_MS, "wanted", now_ms, step)) {
        return true;
    }
    if (model == item || holders(plan, model, now_ms, &coming, &busy) > 0 ||
        coming != COMING_NOT) {
        return false;
    }
    return order_for(plan, model, SOURCE_ANY, VICTIM_IDLE_MS, "wanted_base",
                     now_ms, step);
}

static bool
next_wanted(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GArray *list = wanted_items(plan, now_ms);
    bool found = false;

    for (guint i = 0; i < list->len && !found; i++) {
        found = order_wanted(plan, g_array_index(list, struct wanted, i).item,
                             now_ms, step);
    }
    g_array_free(list, TRUE);
    return found;
}

/* Requests share an engine's steps, so long prompts of some hold up the events
 * of the others: a model gets another replica long before its places are
 * taken. */
static int
replicas_wanted(const struct plan_item *item,
                const struct gate_service *service)
{
    return 1 +
           item->running * 100 / (MAX(service->slots, 1) * CROWDED_PERCENT);
}

static bool
next_replica(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct plan_item *item = value;
        enum coming coming;
        int busy;
        int count;

        if (item->running == 0 || item_is_adapter(item->item) ||
            now_ms - item->used_ms > PRELOAD_IDLE_MS) {
            continue;
        }
        count = holders(plan, item->item, now_ms, &coming, &busy);
        for (int s = 0; s < plan->config->service_count; s++) {
            const struct gate_service *service = &plan->config->services[s];

            if (coming == COMING_NOT &&
                gate_service_find_model(service, item->item) != NULL &&
                count < replicas_wanted(item, service) &&
                order_for(plan, item->item, SOURCE_ANY, PRELOAD_IDLE_MS,
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
    if (choice_store_loads(plan, now_ms) >= plan->settings.store_loads_max) {
        return false;
    }
    for (int s = 0; s < plan->config->service_count; s++) {
        const struct gate_service *service = &plan->config->services[s];

        for (int m = 0; m < service->model_count; m++) {
            uint32_t model = service->models[m].model;

            if (!is_near(plan, model) &&
                order_for(plan, model, SOURCE_ANY, PRELOAD_IDLE_MS, "preload",
                          now_ms, step)) {
                return true;
            }
        }
    }
    return false;
}

/* An order that should be done and isn't is looked at. */
static void
look_at_late(struct plan *plan, int64_t now_ms)
{
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, plan->engines);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct plan_engine *engine = value;

        if (engine->reporting) {
            continue;
        }
        if ((engine->loading != 0 || engine->unloading != 0) &&
            engine->report_ms == 0 && now_ms > engine->done_ms) {
            engine->report_ms = now_ms;
        }
        if (engine->unsure && engine->report_ms == 0) {
            engine->report_ms = now_ms + LATE_MS;
        }
    }
}

/**
 * plan_next() - the next thing to do
 * @plan: the plan
 * @now_ms: present time
 * @step: filled in
 *
 * Return: false when there is nothing to do at present.
 */
bool
plan_next(struct plan *plan, int64_t now_ms, struct plan_step *step)
{
    if (plan->config == NULL) {
        return false;
    }
    plan_forget_notes(plan, now_ms);
    look_at_late(plan, now_ms);
    return next_report(plan, now_ms, step) ||
           next_reserved(plan, now_ms, step) ||
           next_wanted(plan, now_ms, step) ||
           next_replica(plan, now_ms, step) ||
           next_preload(plan, now_ms, step);
}
