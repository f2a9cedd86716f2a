/* Search for orders that exceed an engine's memory, in virtual time. */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"

/*
 * Two instances take turns as the lease holder and place models on engines
 * that behave as the users' pages say. Reports are old, responses get lost,
 * orders without a response are carried out seconds later, unloads wait for
 * runs, and a holder is paused with results and messages on their way. An
 * engine restarts under its id, so orders for its former process reach it,
 * too.
 */
enum {
    INSTANCES = 2,
    ENGINES = 3,
    MODELS = 7,
    ADAPTERS = 3,
    MEMORY_MB = 130,
    ADAPTER_SLOTS = 2,
    ADAPTER_MB = 1,
    COMING_MAX = 4, /* adapters in transit to an engine */
    SNAPSHOTS = 16, /* states that a report may still show */
    REPORT_AGE_MS = 400,
    LATE_MS = 12000, /* longest delay of an order, from its arrival */
    TICK_MS = 50,
    DEMAND_MS = 300,
    DAY_MS = 40000,
    LEASE_MS = 3000,
    CALLS_AT_ONCE = 8,
};

static const int weights_mb[MODELS] = {60, 60, 60, 60, 60, 30, 100};

/**
 * struct limit_case - how often each kind of trouble comes
 * @name: name of the case
 * @pauses: pauses of the holder in 10 s, in percent
 * @lost: responses to orders that get lost, in percent
 * @slow_unloads: unloads that wait for runs, in percent
 * @late_views: messages between instances that a cut link delays, in percent
 * @restarts: restarts of an engine in 10 s, in percent
 * @holds_first: an engine checks whether an order already holds before it
 *               compares the sequence
 * @first: first seed
 * @count: number of seeds; those that once found a fault are among them
 */
struct limit_case {
    const char *name;
    int pauses;
    int lost;
    int slow_unloads;
    int late_views;
    int restarts;
    bool holds_first;
    uint32_t first;
    uint32_t count;
};

static const struct limit_case limit_cases[] = {
    {"calm", 0, 0, 0, 0, 0, false, 1, 3},
    {"responses_lost", 0, 20, 10, 0, 0, false, 1, 6},
    {"responses_lost_and_repeated", 0, 20, 10, 0, 0, true, 36, 6},
    {"unloads_wait", 0, 0, 60, 0, 0, false, 1, 6},
    {"holder_paused", 150, 0, 30, 0, 0, false, 1, 6},
    {"holder_paused_and_responses_lost", 150, 20, 30, 0, 0, true, 105, 22},
    {"views_delayed", 150, 5, 30, 20, 0, false, 67, 6},
    {"engines_restart", 100, 0, 30, 5, 100, false, 126, 6},
    {"engines_restart_and_responses_lost", 0, 20, 30, 0, 100, false, 1, 80},
    {"engines_restart_and_holder_paused", 150, 20, 30, 0, 100, true, 200, 40},
    {"holder_resumes_in_a_new_term", 150, 20, 30, 0, 100, true, 10438, 4},
    {"report_precedes_the_entry", 150, 20, 30, 0, 100, true, 24815, 1},
    {"late_orders_in_a_row", 0, 20, 30, 0, 100, false, 22049, 1},
    {"unload_repeated_after_a_wait", 150, 20, 30, 0, 100, true, 27875, 1},
    {"unload_repeated_after_a_lost_one", 150, 20, 30, 0, 100, true, 28215, 1},
    {"unload_repeated_after_a_conflict", 150, 20, 30, 0, 100, true, 28494, 3},
};

/**
 * struct engine_state - what a report can show
 * @at_ms: since when
 * @sequence: orders accepted
 * @held: held items, and adapters on their way
 * @busy: a model is being loaded
 */
struct engine_state {
    int64_t at_ms;
    int64_t sequence;
    struct item_set held;
    bool busy;
};

/**
 * struct model_engine - an engine as the pages describe it
 * @state: the present state
 * @snapshots: the last states, a ring indexed by @snapshot_count
 * @snapshot_count: states recorded since its start
 * @started_ms: its start; tells its processes apart
 * @on_disk: models that it had
 * @coming: adapters on their way
 * @coming_done_ms: when each arrives
 * @loading: model that is being loaded; 0 for none
 * @unloading: item whose unload waits; 0 for none
 * @done_ms: end of that order
 */
struct model_engine {
    struct engine_state state;
    struct engine_state snapshots[SNAPSHOTS];
    int snapshot_count;
    int64_t started_ms;
    struct item_set on_disk;
    struct item_set coming;
    int64_t coming_done_ms[COMING_MAX];
    uint32_t loading;
    uint32_t unloading;
    int64_t done_ms;
};

enum event_kind {
    EVENT_ORDER,  /* an order reaches an engine */
    EVENT_RESULT, /* a call's outcome reaches the instance that made it */
    EVENT_VIEW,   /* an instance's view of an engine reaches another one */
    EVENT_ENTRY,  /* an engine's registry entry reaches an instance */
    EVENT_TICK,   /* an instance plans its next steps */
    EVENT_DEMAND, /* demand changes; a trouble may begin */
};

struct event {
    enum event_kind kind;
    int64_t at_ms;
    int number; /* of two at the same time, the one made first comes first */
    int instance;
    int engine;
    bool lost; /* no response will be received */
    struct engine_call call;
    struct holdings view;
    struct target_info info;
};

/**
 * struct instance - one instance's plan
 * @plan: the plan
 * @paused_until_ms: what reaches it before waits until then
 * @view_free_ms: when its link to the other instance delivers again
 */
struct instance {
    struct plan plan;
    int64_t paused_until_ms;
    int64_t view_free_ms;
};

/**
 * struct search - one day
 * @c: the case
 * @seed: printed on failure
 * @rand: seeded with @seed
 * @events: pointers to struct event
 * @event_count: events made so far
 * @holder: instance that holds the lease; -1 for none
 * @term: fencing token of the term
 * @lease_free_ms: when the next instance may take the lease
 * @loads: accepted loads
 * @conflicts: refused orders
 * @late: views that reached the holder
 */
struct search {
    const struct limit_case *c;
    uint32_t seed;
    GRand *rand;
    GPtrArray *events;
    int event_count;
    int64_t now_ms;
    struct model_engine engines[ENGINES];
    struct instance instances[INSTANCES];
    int holder;
    int64_t term;
    int64_t lease_free_ms;
    int loads;
    int conflicts;
    int late;
};

static bool
chance(struct search *search, int percent)
{
    return g_rand_int_range(search->rand, 0, 100) < percent;
}

static int64_t
between(struct search *search, int from, int to)
{
    return g_rand_int_range(search->rand, from, to + 1);
}

static struct event *
add_event(struct search *search, enum event_kind kind, int64_t delay_ms)
{
    struct event *event = g_new0(struct event, 1);

    event->kind = kind;
    event->at_ms = search->now_ms + delay_ms;
    event->number = search->event_count++;
    g_ptr_array_add(search->events, event);
    return event;
}

static uint32_t
model_item(int model)
{
    char *name = g_strdup_printf("m%d", model + 1);
    uint32_t item = g_quark_from_string(name);

    g_free(name);
    return item;
}

static uint32_t
adapter_item(int model, int adapter)
{
    char *name = g_strdup_printf("m%d/a%d", model + 1, adapter + 1);
    uint32_t item = g_quark_from_string(name);

    g_free(name);
    return item;
}

static uint32_t
random_item(struct search *search)
{
    int model = (int)between(search, 0, MODELS - 1);

    return chance(search, 40)
               ? adapter_item(model, (int)between(search, 0, ADAPTERS - 1))
               : model_item(model);
}

static int
item_mb(uint32_t item)
{
    const char *name = g_quark_to_string(item);

    return item_is_adapter(item) ? ADAPTER_MB : weights_mb[name[1] - '1'];
}

static struct gate_config *
make_config(void)
{
    GString *text = g_string_new(NULL);
    struct err err = {0};
    struct gate_config *config;

    g_string_printf(
        text,
        "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"s\","
        "\"engine\":{\"slots\":10,\"weights_mb\":%d,\"adapter_slots\":%d,"
        "\"loads_per_s\":20,\"models\":[",
        MEMORY_MB, ADAPTER_SLOTS);
    for (int i = 0; i < MODELS; i++) {
        g_string_append_printf(
            text,
            "%s{\"name\":\"m%d\",\"weights_mb\":%d,\"load_s\":1.5,"
            "\"warm_s\":0.3,\"disk_s\":0.5,\"adapters\":%d,\"adapter_mb\":%d}",
            i > 0 ? "," : "", i + 1, weights_mb[i], ADAPTERS, ADAPTER_MB);
    }
    g_string_append(text, "]}}]}");
    config = platform_decode_config(text->str, text->len, &err);
    g_assert_nonnull(config);
    g_string_free(text, TRUE);
    return config;
}

static void
fill_info(const struct search *search, int number, struct target_info *info)
{
    const struct model_engine *engine = &search->engines[number];

    memset(info, 0, sizeof(*info));
    g_snprintf(info->id, sizeof(info->id), "i-%d", number);
    g_strlcpy(info->service, "s", sizeof(info->service));
    g_strlcpy(info->address, "a", sizeof(info->address));
    info->slots = 10;
    info->started_ms = engine->started_ms;
    info->held = engine->state.held;
    info->sequence = -1;
}

/* Engine */

static void
record_state(struct model_engine *engine, int64_t at_ms)
{
    engine->state.at_ms = at_ms;
    engine->state.busy = engine->loading != 0;
    engine->snapshots[engine->snapshot_count++ % SNAPSHOTS] = engine->state;
}

static void
finish_adapters(struct model_engine *engine, int64_t now_ms)
{
    for (int i = engine->coming.count - 1; i >= 0; i--) {
        if (now_ms >= engine->coming_done_ms[i]) {
            engine->coming_done_ms[i] =
                engine->coming_done_ms[engine->coming.count - 1];
            engine->coming.ids[i] = engine->coming.ids[--engine->coming.count];
        }
    }
}

/* Adapters on their way count as held from the order on. */
static void
engine_advance(struct model_engine *engine, int64_t now_ms)
{
    finish_adapters(engine, now_ms);
    if ((engine->loading == 0 && engine->unloading == 0) ||
        now_ms < engine->done_ms) {
        return;
    }
    if (engine->loading != 0) {
        item_set_add(&engine->state.held, engine->loading);
        item_set_add(&engine->on_disk, engine->loading);
    }
    if (engine->unloading != 0) {
        item_set_remove(&engine->state.held, engine->unloading);
    }
    engine->loading = 0;
    engine->unloading = 0;
    record_state(engine, engine->done_ms);
}

static bool
exceeds_memory(const struct model_engine *engine, uint32_t item)
{
    int mb = item_mb(item);
    int adapters = item_is_adapter(item) ? 1 : 0;

    for (int i = 0; i < engine->state.held.count; i++) {
        mb += item_mb(engine->state.held.ids[i]);
        adapters += item_is_adapter(engine->state.held.ids[i]) ? 1 : 0;
    }
    return mb > MEMORY_MB || adapters > ADAPTER_SLOTS;
}

static enum order_result
engine_load(struct search *search, struct model_engine *engine, uint32_t item)
{
    if (item_is_adapter(item) &&
        !item_set_contains(&engine->state.held, item_model(item))) {
        return ORDER_WRONG_TARGET;
    }
    if (item_is_adapter(item) && engine->coming.count == COMING_MAX) {
        return ORDER_CONFLICT;
    }
    if (exceeds_memory(engine, item)) {
        g_error("seed %u of %s: an engine is ordered to load %s beyond its "
                "memory at %" G_GINT64_FORMAT " ms",
                search->seed, search->c->name, g_quark_to_string(item),
                search->now_ms);
    }
    search->loads++;
    engine->state.sequence++;
    if (item_is_adapter(item)) {
        engine->coming_done_ms[engine->coming.count] =
            search->now_ms + between(search, 5, 300);
        item_set_add(&engine->coming, item);
        item_set_add(&engine->state.held, item);
    }
    else {
        engine->loading = item;
        engine->done_ms =
            search->now_ms +
            (item_set_contains(&engine->on_disk, item) ? 500 : 1500) +
            between(search, 0, 200);
    }
    record_state(engine, search->now_ms);
    return ORDER_ACCEPTED;
}

/* An adapter that no request uses is unloaded at once. */
static enum order_result
engine_unload(struct search *search, struct model_engine *engine,
              uint32_t item)
{
    bool waits = chance(search, search->c->slow_unloads);

    engine->state.sequence++;
    if (item_is_adapter(item) && !waits) {
        item_set_remove(&engine->state.held, item);
        record_state(engine, search->now_ms);
        return ORDER_NOOP;
    }
    engine->unloading = item;
    engine->done_ms = search->now_ms + (waits ? between(search, 50, 4000)
                                              : between(search, 2, 40));
    record_state(engine, search->now_ms);
    return ORDER_ACCEPTED;
}

static enum order_result
engine_order(struct search *search, struct model_engine *engine,
             const struct plan_step *step)
{
    bool load = step->action == ORDER_LOAD;
    bool holds;

    engine_advance(engine, search->now_ms);
    holds = item_set_contains(&engine->state.held, step->item) == load;
    if (search->c->holds_first && holds) {
        return ORDER_NOOP;
    }
    if (engine->loading != 0 || engine->unloading != 0 ||
        step->expected_sequence != engine->state.sequence) {
        search->conflicts++;
        return ORDER_CONFLICT;
    }
    if (holds) {
        return ORDER_NOOP;
    }
    return load ? engine_load(search, engine, step->item)
                : engine_unload(search, engine, step->item);
}

static void
engine_report(struct search *search, int number, struct engine_call *call)
{
    struct model_engine *engine = &search->engines[number];
    int64_t as_of_ms = search->now_ms - between(search, 0, REPORT_AGE_MS);
    int newest;
    int oldest;

    engine_advance(engine, search->now_ms);
    newest = engine->snapshot_count - 1;
    oldest = MAX(0, newest - SNAPSHOTS + 1);
    while (newest > oldest &&
           engine->snapshots[newest % SNAPSHOTS].at_ms > as_of_ms) {
        newest--;
    }
    fill_info(search, number, &call->info);
    call->info.held = engine->snapshots[newest % SNAPSHOTS].held;
    call->info.sequence = engine->snapshots[newest % SNAPSHOTS].sequence;
    call->info.order_running = engine->snapshots[newest % SNAPSHOTS].busy;
    call->info.on_disk = engine->on_disk;
    call->reported = true;
}

static void
engine_restart(struct search *search, int number)
{
    struct model_engine *engine = &search->engines[number];
    struct item_set on_disk = engine->on_disk;

    memset(engine, 0, sizeof(*engine));
    engine->on_disk = on_disk;
    engine->started_ms = search->now_ms + 1;
    record_state(engine, search->now_ms);
    for (int i = 0; i < INSTANCES; i++) {
        struct event *event =
            add_event(search, EVENT_ENTRY, between(search, 10, 2000));

        event->instance = i;
        event->engine = number;
        fill_info(search, number, &event->info);
    }
}

/* Instances */

/* Views travel over one connection, so they keep their order. */
static void
send_view(struct search *search, int from, struct holdings *holdings)
{
    struct instance *instance = &search->instances[from];
    struct event *event;

    if (holdings == NULL) {
        return;
    }
    if (chance(search, search->c->late_views)) {
        instance->view_free_ms = search->now_ms + between(search, 500, 6000);
    }
    event = add_event(search, EVENT_VIEW,
                      MAX(instance->view_free_ms - search->now_ms, 0) + 2);
    event->instance = 1 - from;
    event->view = *holdings;
    g_free(holdings);
}

static void
send_step(struct search *search, int from, const struct plan_step *step)
{
    bool lost = !step->is_report && chance(search, search->c->lost);
    struct event *event =
        add_event(search, EVENT_ORDER,
                  lost && chance(search, 50) ? between(search, 5, LATE_MS)
                                             : between(search, 1, 10));

    event->instance = from;
    event->engine = step->target[2] - '0';
    event->call.step = *step;
    event->call.sent = true;
    event->lost = lost;
    if (lost) {
        struct event *result =
            add_event(search, EVENT_RESULT, ORDER_TIMEOUT_MS);

        result->instance = from;
        result->call = event->call;
        result->call.result = ORDER_IN_DOUBT;
    }
}

static void
reach_engine(struct search *search, struct event *event)
{
    struct model_engine *engine = &search->engines[event->engine];
    struct event *result;

    if (event->call.step.is_report) {
        engine_report(search, event->engine, &event->call);
    }
    else {
        event->call.result = engine_order(search, engine, &event->call.step);
    }
    if (!event->lost) {
        result = add_event(search, EVENT_RESULT, between(search, 1, 20));
        result->instance = event->instance;
        result->call = event->call;
    }
}

static void
tick(struct search *search, int number)
{
    struct plan *plan = &search->instances[number].plan;
    bool is_holder = search->holder == number;
    struct plan_step step;
    struct holdings *holdings;

    plan_set_term(plan, is_holder ? search->term : 0, search->now_ms);
    for (int i = 0; is_holder && i < CALLS_AT_ONCE &&
                    plan_next_step(plan, search->now_ms, &step);
         i++) {
        plan_step_sent(plan, &step);
        send_step(search, number, &step);
    }
    while (is_holder &&
           (holdings = plan_assume_loaded(plan, search->now_ms)) != NULL) {
        send_view(search, number, holdings);
    }
    add_event(search, EVENT_TICK, TICK_MS)->instance = number;
}

/* What is on its way from the holder at that moment arrives after the pause;
 * what reaches it later has timed out by then. */
static void
pause_holder(struct search *search)
{
    struct instance *instance = &search->instances[search->holder];
    int64_t pause_ms = between(search, LEASE_MS + 500, LEASE_MS + 4000);

    instance->paused_until_ms = search->now_ms + pause_ms;
    instance->view_free_ms =
        MAX(instance->view_free_ms, instance->paused_until_ms);
    for (guint i = 0; i < search->events->len; i++) {
        struct event *event = search->events->pdata[i];

        if (event->kind == EVENT_VIEW && event->instance != search->holder) {
            event->at_ms = MAX(event->at_ms, instance->view_free_ms);
        }
    }
    search->lease_free_ms = search->now_ms + LEASE_MS;
    search->holder = -1;
}

static void
change_demand(struct search *search)
{
    struct item_activity items[6] = {0};

    for (size_t i = 0; i < G_N_ELEMENTS(items); i++) {
        items[i].item = random_item(search);
        items[i].arrived = 1;
        items[i].waiting = chance(search, 50) ? 1 : 0;
        items[i].running = chance(search, 30) ? 1 : 0;
    }
    for (int i = 0; i < INSTANCES; i++) {
        struct activity_report *activity = activity_report_new(1);

        activity->items = g_memdup2(items, sizeof(items));
        activity->item_count = G_N_ELEMENTS(items);
        plan_apply_activity(&search->instances[i].plan, activity,
                            search->now_ms);
    }
    if (search->holder < 0 && search->now_ms >= search->lease_free_ms) {
        search->holder =
            search->instances[0].paused_until_ms > search->now_ms ? 1 : 0;
        search->term++;
    }
    else if (search->holder >= 0 &&
             chance(search, search->c->pauses * DEMAND_MS / 10000)) {
        pause_holder(search);
    }
    if (chance(search, search->c->restarts * DEMAND_MS / 10000)) {
        engine_restart(search, (int)between(search, 0, ENGINES - 1));
    }
    add_event(search, EVENT_DEMAND, DEMAND_MS);
}

static void
apply_entry(struct search *search, struct plan *plan,
            const struct target_info *info)
{
    struct target_change change = {.kind = TARGET_CHANGED, .info = *info};

    plan_apply_target_change(plan, &change, search->now_ms);
}

/* Returns whether the event waits for the end of a pause. */
static bool
postpone(struct search *search, struct event *event)
{
    const struct instance *instance = &search->instances[event->instance];
    bool in_instance = event->kind == EVENT_RESULT ||
                       event->kind == EVENT_VIEW ||
                       event->kind == EVENT_ENTRY || event->kind == EVENT_TICK;

    if (!in_instance || search->now_ms >= instance->paused_until_ms) {
        return false;
    }
    if (event->kind == EVENT_RESULT && chance(search, 70)) {
        event->call.result = ORDER_IN_DOUBT;
        event->call.reported = false;
    }
    event->at_ms = instance->paused_until_ms;
    return true;
}

static void
run_event(struct search *search, struct event *event)
{
    struct plan *plan = &search->instances[event->instance].plan;

    switch (event->kind) {
    case EVENT_ORDER:
        reach_engine(search, event);
        break;
    case EVENT_RESULT:
        send_view(search, event->instance,
                  plan_step_done(plan, &event->call, search->now_ms));
        break;
    case EVENT_VIEW:
        search->late += plan->fence != 0 ? 1 : 0;
        plan_apply_holdings(plan, &event->view);
        break;
    case EVENT_ENTRY:
        apply_entry(search, plan, &event->info);
        break;
    case EVENT_TICK:
        tick(search, event->instance);
        break;
    case EVENT_DEMAND:
        change_demand(search);
        break;
    }
}

static struct event *
take_next(struct search *search)
{
    guint next = 0;

    for (guint i = 1; i < search->events->len; i++) {
        const struct event *event = search->events->pdata[i];
        const struct event *first = search->events->pdata[next];

        if (event->at_ms < first->at_ms ||
            (event->at_ms == first->at_ms && event->number < first->number)) {
            next = i;
        }
    }
    return g_ptr_array_steal_index_fast(search->events, next);
}

static void
begin_day(struct search *search)
{
    search->rand = g_rand_new_with_seed(search->seed);
    search->events = g_ptr_array_new_with_free_func(g_free);
    search->holder = 0;
    search->term = 1;
    for (int i = 0; i < INSTANCES; i++) {
        plan_init(&search->instances[i].plan);
        plan_set_config(&search->instances[i].plan, make_config());
        add_event(search, EVENT_TICK, 1 + i)->instance = i;
    }
    for (int e = 0; e < ENGINES; e++) {
        struct target_info info;

        search->engines[e].started_ms = 1;
        item_set_add(&search->engines[e].state.held, model_item(e));
        record_state(&search->engines[e], 0);
        fill_info(search, e, &info);
        for (int i = 0; i < INSTANCES; i++) {
            apply_entry(search, &search->instances[i].plan, &info);
        }
    }
    add_event(search, EVENT_DEMAND, DEMAND_MS);
}

static void
play_day(struct search *search)
{
    begin_day(search);
    while (search->now_ms < DAY_MS) {
        struct event *event = take_next(search);

        search->now_ms = MAX(search->now_ms, event->at_ms);
        if (postpone(search, event)) {
            g_ptr_array_add(search->events, event);
            continue;
        }
        run_event(search, event);
        g_free(event);
    }
    for (int i = 0; i < INSTANCES; i++) {
        plan_clear(&search->instances[i].plan);
    }
    g_ptr_array_free(search->events, TRUE);
    g_rand_free(search->rand);
}

static uint32_t
setting(const char *name, uint32_t otherwise)
{
    const char *text = g_getenv(name);

    return text != NULL ? (uint32_t)g_ascii_strtoull(text, NULL, 10)
                        : otherwise;
}

/* Guards against a choice of a load that trusts an outdated view of an
 * engine's memory. LIMIT_FIRST and LIMIT_COUNT play other seeds. */
static void
test_limit(gconstpointer data)
{
    const struct limit_case *c = data;
    uint32_t first = setting("LIMIT_FIRST", c->first);
    uint32_t count = setting("LIMIT_COUNT", c->count);
    int loads = 0;
    int conflicts = 0;
    int late = 0;

    for (uint32_t i = 0; i < count; i++) {
        struct search *search = g_new0(struct search, 1);

        search->c = c;
        search->seed = first + i;
        play_day(search);
        loads += search->loads;
        conflicts += search->conflicts;
        late += search->late;
        g_free(search);
    }
    g_test_message("%s: seeds %u to %u, %d loads, %d conflicts, %d late views",
                   c->name, first, first + count - 1, loads, conflicts, late);
    g_assert_cmpint(loads, >, 0);
    g_assert_true(c->lost + c->slow_unloads == 0 || conflicts > 0);
    g_assert_true(c->pauses == 0 || late > 0);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/plan_limit/search", limit_cases, test_limit),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
