/* Measures membership in the simulated fleet: bytes that a member sends and
 * CPU time that it takes per second, and how fast a crash, and a leaving
 * member after a partition, are noticed. Arguments choose sizes of the fleet.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"

#include "../test/member_sim.h"

enum {
    RUNS = 5,
    STEADY_S = 30,
    SETTLE_MS = 120000,
    CONVERGE_MAX_MS = 120000,
    DETECT_MAX_MS = 60000,
    CRASHES = 10,
    CLOSED_CRASHES = 4,
    CRASHES_MAX = RUNS * CRASHES,
    PARTITION_MS = 100000,
    HEALED_MS = 2000,
    LEAVE_RUNS = 10,
    LEAVE_MAX_MS = 30000,
};

struct samples {
    double values[CRASHES_MAX];
    int count;
};

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static void
sample(struct samples *samples, double value)
{
    samples->values[samples->count++] = value;
}

static double
quantile(struct samples *samples, double q)
{
    qsort(samples->values, (size_t)samples->count, sizeof(double), compare);
    return samples->values[(int)(q * (samples->count - 1) + 0.5)];
}

static void
print(const char *name, struct samples *samples, const char *unit)
{
    printf("  %-32s median %9.1f  min %9.1f  p95 %9.1f  max %9.1f  %s (%d)\n",
           name, quantile(samples, 0.5), quantile(samples, 0),
           quantile(samples, 0.95), quantile(samples, 1), unit,
           samples->count);
}

static double
cpu_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
reset_bytes(struct sim *sim)
{
    for (int i = 0; i < sim->count; i++) {
        sim->nodes[i].bytes_out = 0;
    }
}

static double
bytes_mean(const struct sim *sim)
{
    double sum = 0;

    for (int i = 0; i < sim->count; i++) {
        sum += (double)sim->nodes[i].bytes_out;
    }
    return sum / sim->count;
}

static double
bytes_most(const struct sim *sim)
{
    uint64_t most = 0;

    for (int i = 0; i < sim->count; i++) {
        most = MAX(most, sim->nodes[i].bytes_out);
    }
    return (double)most;
}

/* Figures of one size of fleet. */
struct figures {
    struct samples cold_most;
    struct samples converge;
    struct samples steady;
    struct samples steady_most;
    struct samples cpu;
    struct samples first;
    struct samples all;
    struct samples closed_all;
};

static void
measure_cold(struct sim *sim, struct figures *figures)
{
    reset_bytes(sim);
    sim_run(sim, 1000);
    sample(&figures->cold_most, bytes_most(sim));
    sample(&figures->converge,
           1000.0 + (double)sim_converge(sim, CONVERGE_MAX_MS));
}

static void
measure_steady(struct sim *sim, struct figures *figures)
{
    double start_us;

    sim_run(sim, SETTLE_MS);
    reset_bytes(sim);
    start_us = cpu_us();
    sim_run(sim, STEADY_S * 1000);
    sample(&figures->cpu,
           (cpu_us() - start_us) / ((double)sim->count * STEADY_S));
    sample(&figures->steady, bytes_mean(sim) / STEADY_S);
    sample(&figures->steady_most, bytes_most(sim) / STEADY_S);
}

static void
measure_crash(struct sim *sim, struct figures *figures, uint64_t start,
              bool closed)
{
    int victim = g_rand_int_range(sim->random, 0, sim->count);
    struct sim_node *node = &sim->nodes[victim];
    int64_t first_ms;
    int64_t all_ms;

    sim_run(sim, g_rand_int_range(sim->random, 0, 1000));
    sim_node_crash(node);
    if (closed) {
        sim_node_closed(sim, node);
    }
    first_ms = sim_until(sim, node, MEMBER_DEAD, 1, DETECT_MAX_MS);
    all_ms = sim_until(sim, node, MEMBER_DEAD, sim->count - 1, DETECT_MAX_MS);
    if (closed) {
        sample(&figures->closed_all, (double)(first_ms + all_ms));
    }
    else {
        sample(&figures->first, (double)first_ms);
        sample(&figures->all, (double)(first_ms + all_ms));
    }
    sim_node_start(sim, node, start, true);
    sim_converge(sim, CONVERGE_MAX_MS);
    sim_run(sim, 10000);
}

static bool
takes_calls(struct sim *sim, const struct sim_node *about)
{
    for (int i = 0; i < sim->count; i++) {
        const struct roster_entry *entry =
            roster_find(&sim->nodes[i].swim.roster, about->info.id, NULL);

        if (i != about->index && entry != NULL && roster_is_member(entry) &&
            !entry->leaving) {
            return true;
        }
    }
    return false;
}

/* Time until no member believes any more that the leaving one takes calls.
 * The news of a whole half that came back is still being sent. */
static double
leave_ms(struct sim *sim)
{
    struct sim_node *node = &sim->nodes[sim->count / 2];
    int64_t start_ms;
    int64_t last_ms;

    sim->partitioned = true;
    sim_run(sim, PARTITION_MS);
    sim->partitioned = false;
    sim_run(sim, HEALED_MS);
    swim_leave(&node->swim);
    start_ms = last_ms = sim->now_ms;
    while (sim->now_ms - start_ms < LEAVE_MAX_MS) {
        sim_run(sim, 10);
        if (takes_calls(sim, node)) {
            last_ms = sim->now_ms;
        }
    }
    return (double)(last_ms - start_ms);
}

static void
measure_leave(int members)
{
    struct samples samples = {0};

    for (int run = 0; run < LEAVE_RUNS; run++) {
        struct sim *sim = sim_new(members, (uint32_t)(3000 + run), 0, true);

        sim_converge(sim, CONVERGE_MAX_MS);
        sample(&samples, leave_ms(sim));
        sim_free(sim);
    }
    printf("%d members, %d runs, seeds 3000 to %d\n", members, LEAVE_RUNS,
           3000 + LEAVE_RUNS - 1);
    print("left after partition", &samples, "ms");
}

static void
measure(int members)
{
    struct figures figures = {0};

    for (int run = 0; run < RUNS; run++) {
        struct sim *sim = sim_new(members, (uint32_t)(1000 + run), 0, true);

        measure_cold(sim, &figures);
        measure_steady(sim, &figures);
        for (int crash = 0; crash < CRASHES + CLOSED_CRASHES; crash++) {
            measure_crash(sim, &figures, (uint64_t)(2000 + crash),
                          crash >= CRASHES);
        }
        sim_free(sim);
    }
    printf("%d members, %d runs, seeds 1000 to %d\n", members, RUNS,
           1000 + RUNS - 1);
    print("steady, mean member", &figures.steady, "B/s");
    print("steady, busiest member", &figures.steady_most, "B/s");
    print("CPU a member second", &figures.cpu, "us");
    print("first second, busiest", &figures.cold_most, "B");
    print("all started know all", &figures.converge, "ms");
    print("crash until first dead", &figures.first, "ms");
    print("crash until all dead", &figures.all, "ms");
    print("closed until all dead", &figures.closed_all, "ms");
}

int
main(int argc, char **argv)
{
    static const int sizes[] = {5, 40, 340};

    for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS(sizes); i++) {
        measure(sizes[i]);
        measure_leave(sizes[i]);
        fflush(stdout);
    }
    for (int i = 1; i < argc; i++) {
        measure_leave(CLAMP(atoi(argv[i]), 2, MEMBERS_MAX));
    }
    return 0;
}
