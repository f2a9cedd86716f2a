/* Faults from outside: what they are, when they begin and when they end. */
#include <glib.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

enum {
    ACTIVE_MAX = 5,
    GAP_MAX_MS = 700,
    SHORT_MS = 400,
    LONG_MS = 6000, /* twice the leases of the holder and the engines */
    TICK_MS = 20,
    ENGINE_TICK_MS = 400,
    SLOW_MS = 400,
    LEAVE_MS = 5000,
    FOREVER_MS = 60000,
    CALM_SEEDS = 3, /* each third seed strikes engines only */
};

struct fault;

/**
 * struct fault_ops - a kind of fault
 * @spares_gates: no gate and not the store is struck, so that promises that
 *                hold for calm ones only are put to the test
 * @targets: number of things that it can strike
 * @end: undoes it; false when it has to wait
 */
struct fault_ops {
    const char *name;
    bool spares_gates;
    int targets;
    void (*begin)(struct soak *soak, struct fault *fault);
    bool (*end)(struct soak *soak, struct fault *fault);
};

struct fault {
    const struct fault_ops *ops;
    int target;
    enum link_mode mode;
    int64_t end_ms;
};

static void
trouble(struct soak *soak, struct soak_gate *gate, int64_t until_ms)
{
    pthread_mutex_lock(&soak->lock);
    gate->trouble_ms = until_ms;
    pthread_mutex_unlock(&soak->lock);
}

static void
store_trouble(struct soak *soak, int64_t until_ms)
{
    pthread_mutex_lock(&soak->lock);
    soak->store_trouble_ms = until_ms;
    pthread_mutex_unlock(&soak->lock);
}

static struct soak_gate *
gate_of(struct soak *soak, const struct fault *fault)
{
    return &soak->gates[fault->target % GATES];
}

static struct soak_engine *
engine_of(struct soak *soak, const struct fault *fault)
{
    return &soak->engines[fault->target % ENGINES];
}

static void
begin_kill(struct soak *soak, struct fault *fault)
{
    trouble(soak, gate_of(soak, fault), INT64_MAX);
    soak_gate_signal(gate_of(soak, fault), SIGKILL);
}

static void
begin_term(struct soak *soak, struct fault *fault)
{
    trouble(soak, gate_of(soak, fault), INT64_MAX);
    soak_gate_signal(gate_of(soak, fault), SIGCONT);
    soak_gate_signal(gate_of(soak, fault), SIGTERM);
}

static bool
end_restart(struct soak *soak, struct fault *fault)
{
    struct soak_gate *gate = gate_of(soak, fault);

    if (!soak_gate_ended(soak, gate)) {
        return false;
    }
    soak_gate_start(soak, gate);
    trouble(soak, gate, clock_now_ms());
    return true;
}

static void
begin_pause(struct soak *soak, struct fault *fault)
{
    trouble(soak, gate_of(soak, fault), INT64_MAX);
    soak_gate_signal(gate_of(soak, fault), SIGSTOP);
}

static bool
end_pause(struct soak *soak, struct fault *fault)
{
    soak_gate_signal(gate_of(soak, fault), SIGCONT);
    pthread_mutex_lock(&soak->lock);
    gate_of(soak, fault)->thawed_ms = clock_now_ms();
    pthread_mutex_unlock(&soak->lock);
    trouble(soak, gate_of(soak, fault), clock_now_ms());
    return true;
}

static void
begin_reload(struct soak *soak, struct fault *fault)
{
    soak_gate_signal(gate_of(soak, fault), SIGHUP);
}

static bool
end_nothing(struct soak *soak, struct fault *fault)
{
    (void)soak;
    (void)fault;
    return true;
}

static void
draw_mode(struct soak *soak, struct fault *fault)
{
    fault->mode =
        (enum link_mode)g_rand_int_range(soak->random, LINK_DELAY, LINK_MODES);
}

static void
begin_front_link(struct soak *soak, struct fault *fault)
{
    draw_mode(soak, fault);
    trouble(soak, gate_of(soak, fault), INT64_MAX);
    proxy_mode(soak->proxy, gate_of(soak, fault)->front, fault->mode);
}

static bool
end_front_link(struct soak *soak, struct fault *fault)
{
    proxy_mode(soak->proxy, gate_of(soak, fault)->front, LINK_PASS);
    trouble(soak, gate_of(soak, fault), clock_now_ms());
    return true;
}

static void
begin_store_link(struct soak *soak, struct fault *fault)
{
    draw_mode(soak, fault);
    trouble(soak, gate_of(soak, fault), INT64_MAX);
    proxy_mode(soak->proxy, gate_of(soak, fault)->store, fault->mode);
}

static bool
end_store_link(struct soak *soak, struct fault *fault)
{
    proxy_mode(soak->proxy, gate_of(soak, fault)->store, LINK_PASS);
    trouble(soak, gate_of(soak, fault), clock_now_ms());
    return true;
}

static void
begin_engine_link(struct soak *soak, struct fault *fault)
{
    draw_mode(soak, fault);
    proxy_mode(soak->proxy, engine_of(soak, fault)->link, fault->mode);
}

static bool
end_engine_link(struct soak *soak, struct fault *fault)
{
    proxy_mode(soak->proxy, engine_of(soak, fault)->link, LINK_PASS);
    return true;
}

static void
begin_answers_lost(struct soak *soak, struct fault *fault)
{
    fault->mode = LINK_NO_ANSWER;
    proxy_mode(soak->proxy, engine_of(soak, fault)->link, fault->mode);
}

static void
begin_crash(struct soak *soak, struct fault *fault)
{
    soak_engine_stop(engine_of(soak, fault));
}

static bool
end_crash(struct soak *soak, struct fault *fault)
{
    soak_engine_start(engine_of(soak, fault));
    return true;
}

static void
begin_leave(struct soak *soak, struct fault *fault)
{
    struct soak_engine *engine = engine_of(soak, fault);

    fault->end_ms = clock_now_ms() + LEAVE_MS;
    soak_engine_tick(engine, clock_now_ms());
    pthread_mutex_lock(&soak->lock);
    engine->leaving_ms = clock_now_ms();
    pthread_mutex_unlock(&soak->lock);
    soak_engine_tick(engine, clock_now_ms());
}

static bool
end_leave(struct soak *soak, struct fault *fault)
{
    struct soak_engine *engine = engine_of(soak, fault);
    char *key = g_strdup_printf("servers/%s", engine->id);

    soak_store_delete(soak->store, key);
    soak_engine_stop(engine);
    soak_engine_start(engine);
    g_free(key);
    return true;
}

static void
begin_away(struct soak *soak, struct fault *fault)
{
    (void)fault;
    store_trouble(soak, INT64_MAX);
    soak_store_away(soak->store, true);
}

static bool
end_away(struct soak *soak, struct fault *fault)
{
    (void)fault;
    soak_store_away(soak->store, false);
    store_trouble(soak, clock_now_ms());
    return true;
}

static void
begin_slow(struct soak *soak, struct fault *fault)
{
    (void)fault;
    store_trouble(soak, INT64_MAX);
    soak_store_slow(soak->store, SLOW_MS);
}

static bool
end_slow(struct soak *soak, struct fault *fault)
{
    (void)fault;
    soak_store_slow(soak->store, 0);
    store_trouble(soak, clock_now_ms());
    return true;
}

static void
begin_lose(struct soak *soak, struct fault *fault)
{
    (void)fault;
    store_trouble(soak, INT64_MAX);
    soak_store_lose(soak->store, g_rand_int_range(soak->random, 1, 10));
}

static bool
end_lose(struct soak *soak, struct fault *fault)
{
    (void)fault;
    soak_store_lose(soak->store, 0);
    store_trouble(soak, clock_now_ms());
    return true;
}

static void
begin_forget(struct soak *soak, struct fault *fault)
{
    (void)fault;
    soak_store_forget(soak->store);
}

static void
begin_config(struct soak *soak, struct fault *fault)
{
    (void)fault;
    soak_write_config(soak);
}

static const struct fault_ops kinds[] = {
    {"gate_kill", false, GATES, begin_kill, end_restart},
    {"gate_term", false, GATES, begin_term, end_restart},
    {"gate_pause", false, GATES, begin_pause, end_pause},
    {"gate_reload", true, GATES, begin_reload, end_nothing},
    {"front_link", false, GATES, begin_front_link, end_front_link},
    {"store_link", false, GATES, begin_store_link, end_store_link},
    {"engine_link", true, ENGINES, begin_engine_link, end_engine_link},
    {"answers_lost", true, ENGINES, begin_answers_lost, end_engine_link},
    {"engine_crash", true, ENGINES, begin_crash, end_crash},
    {"engine_leave", true, ENGINES, begin_leave, end_leave},
    {"store_away", false, 1, begin_away, end_away},
    {"store_slow", false, 1, begin_slow, end_slow},
    {"store_lose", false, 1, begin_lose, end_lose},
    {"store_forget", true, 1, begin_forget, end_nothing},
    {"config", true, 1, begin_config, end_nothing},
};

/* Faults of one kind strike a thing once at a time, and a process has one
 * fault that starts it again. */
static bool
collides(const GArray *active, const struct fault *fault)
{
    for (guint i = 0; i < active->len; i++) {
        const struct fault *other = &g_array_index(active, struct fault, i);
        bool same_end = other->ops->end == fault->ops->end ||
                        (other->ops->begin == begin_leave &&
                         fault->ops->begin == begin_crash) ||
                        (other->ops->begin == begin_crash &&
                         fault->ops->begin == begin_leave) ||
                        (other->ops->end == end_restart &&
                         fault->ops->begin == begin_pause);

        if (same_end && other->target == fault->target) {
            return true;
        }
    }
    return false;
}

static void
begin_fault(struct soak *soak, GArray *active)
{
    struct fault fault = {
        .ops = &kinds[g_rand_int_range(soak->random, 0, G_N_ELEMENTS(kinds))]};

    fault.target = g_rand_int_range(soak->random, 0, fault.ops->targets);
    fault.end_ms =
        clock_now_ms() + g_rand_int_range(soak->random, SHORT_MS, LONG_MS);
    if (active->len >= ACTIVE_MAX || collides(active, &fault) ||
        (soak->seed % CALM_SEEDS == 0 && !fault.ops->spares_gates)) {
        return;
    }
    fault.ops->begin(soak, &fault);
    soak->faults++;
    g_test_message("%d ms: %s %d mode %d for %d ms",
                   (int)(clock_now_ms() - soak->start_ms), fault.ops->name,
                   fault.target, (int)fault.mode,
                   (int)(fault.end_ms - clock_now_ms()));
    g_array_append_val(active, fault);
}

static void
end_faults(struct soak *soak, GArray *active, int64_t now_ms)
{
    for (guint i = active->len; i > 0; i--) {
        struct fault *fault = &g_array_index(active, struct fault, i - 1);

        if (now_ms >= fault->end_ms && fault->ops->end(soak, fault)) {
            g_array_remove_index_fast(active, i - 1);
        }
    }
}

static void
tick_engines(struct soak *soak, int64_t *due_ms, int64_t now_ms)
{
    if (now_ms < *due_ms) {
        return;
    }
    *due_ms = now_ms + ENGINE_TICK_MS;
    for (int i = 0; i < ENGINES; i++) {
        soak_engine_tick(&soak->engines[i], now_ms);
    }
}

/* Strikes until a time, or until a promise is broken, then ends all faults. */
void
soak_faults(struct soak *soak, int64_t until_ms)
{
    GArray *active = g_array_new(FALSE, FALSE, sizeof(struct fault));
    int64_t next_ms = clock_now_ms();
    int64_t engines_ms = 0;
    int64_t now_ms;

    while ((now_ms = clock_now_ms()) < until_ms || active->len > 0) {
        end_faults(soak, active,
                   now_ms >= until_ms ? now_ms + FOREVER_MS : now_ms);
        tick_engines(soak, &engines_ms, now_ms);
        for (int i = 0; i < GATES; i++) {
            soak_gate_ended(soak, &soak->gates[i]);
        }
        if (now_ms < until_ms && now_ms >= next_ms) {
            begin_fault(soak, active);
            next_ms = now_ms + g_rand_int_range(soak->random, 50, GAP_MAX_MS);
        }
        soak_pause(TICK_MS);
    }
    g_array_free(active, TRUE);
}
