/* Measures membership in a simulated fleet: bytes sent and CPU time used by a
 * member per second, and the time until a crash, and until a leaving member
 * after a partition, are known. Arguments set the sizes of the fleet for the
 * latter. */
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
    FLEET_RUNS = 5,
    STEADY_S = 30,
    SETTLE_MS = 120000,
    CONVERGE_MAX_MS = 120000,
    DETECT_MAX_MS = 60000,
    CRASHES = 10,
    CRASHES_WITH_CLOSE = 4,
    CRASHES_MAX = FLEET_RUNS * CRASHES,
    PARTITION_MS = 100000,
    HEAL_MS = 2000,
    LEAVE_RUNS = 10,
    LEAVE_MAX_MS = 30000,
};

struct samples {
    double values[CRASHES_MAX];
    int count;
};

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static void
samples_add(struct samples *samples, double value)
{
    samples->values[samples->count++] = value;
}

static double
quantile(struct samples *samples, double q)
{
    qsort(samples->values, (size_t)samples->count, sizeof(double),
          compare_doubles);
    return samples->values[(int)(q * (samples->count - 1) + 0.5)];
}

static void
print_samples(const char *name, struct samples *samples, const char *unit)
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
reset_bytes_out(struct sim *sim)
{
    for (int i = 0; i < sim->count; i++) {
        sim->nodes[i].bytes_out = 0;
    }
}

static double
mean_bytes_out(const struct sim *sim)
{
    double sum = 0;

    for (int i = 0; i < sim->count; i++) {
        sum += (double)sim->nodes[i].bytes_out;
    }
    return sum / sim->count;
}

static double
max_bytes_out(const struct sim *sim)
{
    uint64_t max = 0;

    for (int i = 0; i < sim->count; i++) {
        max = MAX(max, sim->nodes[i].bytes_out);
    }
    return (double)max;
}

/* Results for one size of the fleet. */
struct fleet_results {
    struct samples startup_max_bytes;
    struct samples convergence_ms;
    struct samples mean_bytes_per_s;
    struct samples max_bytes_per_s;
    struct samples cpu_us_per_s;
    struct samples first_detection_ms;
    struct samples full_detection_ms;
    struct samples closed_full_detection_ms;
};

static void
measure_startup(struct sim *sim, struct fleet_results *results)
{
    reset_bytes_out(sim);
    sim_run(sim, 1000);
    samples_add(&results->startup_max_bytes, max_bytes_out(sim));
    samples_add(&results->convergence_ms,
                1000.0 + (double)sim_converge(sim, CONVERGE_MAX_MS));
}

static void
measure_steady(struct sim *sim, struct fleet_results *results)
{
    double start_us;

    sim_run(sim, SETTLE_MS);
    reset_bytes_out(sim);
    start_us = cpu_us();
    sim_run(sim, STEADY_S * 1000);
    samples_add(&results->cpu_us_per_s,
                (cpu_us() - start_us) / ((double)sim->count * STEADY_S));
    samples_add(&results->mean_bytes_per_s, mean_bytes_out(sim) / STEADY_S);
    samples_add(&results->max_bytes_per_s, max_bytes_out(sim) / STEADY_S);
}

static void
measure_crash(struct sim *sim, struct fleet_results *results,
              uint64_t started_ms, bool closed)
{
    int index = g_rand_int_range(sim->random, 0, sim->count);
    struct sim_node *node = &sim->nodes[index];
    int64_t first_ms;
    int64_t all_ms;

    sim_run(sim, g_rand_int_range(sim->random, 0, 1000));
    sim_node_crash(node);
    if (closed) {
        sim_node_close_connections(sim, node);
    }
    first_ms = sim_run_until_seen(sim, node, MEMBER_DEAD, 1, DETECT_MAX_MS);
    all_ms = sim_run_until_seen(sim, node, MEMBER_DEAD, sim->count - 1,
                                DETECT_MAX_MS);
    if (closed) {
        samples_add(&results->closed_full_detection_ms,
                    (double)(first_ms + all_ms));
    }
    else {
        samples_add(&results->first_detection_ms, (double)first_ms);
        samples_add(&results->full_detection_ms, (double)(first_ms + all_ms));
    }
    sim_node_start(sim, node, started_ms, true);
    sim_converge(sim, CONVERGE_MAX_MS);
    sim_run(sim, 10000);
}

static bool
any_member_routes_to(struct sim *sim, const struct sim_node *subject)
{
    for (int i = 0; i < sim->count; i++) {
        const struct member_entry *entry = member_table_find(
            &sim->nodes[i].swim.members, subject->info.id, NULL);

        if (i != subject->index && entry != NULL &&
            member_entry_is_active(entry) && !entry->leaving) {
            return true;
        }
    }
    return false;
}

/* Time until no member sees the leaving one as able to take calls. Meanwhile,
 * updates about the half of the fleet that has rejoined are still being sent.
 */
static double
leave_propagation_ms(struct sim *sim)
{
    struct sim_node *node = &sim->nodes[sim->count / 2];
    int64_t start_ms;
    int64_t last_ms;

    sim->partitioned = true;
    sim_run(sim, PARTITION_MS);
    sim->partitioned = false;
    sim_run(sim, HEAL_MS);
    swim_leave(&node->swim);
    start_ms = last_ms = sim->now_ms;
    while (sim->now_ms - start_ms < LEAVE_MAX_MS) {
        sim_run(sim, 10);
        if (any_member_routes_to(sim, node)) {
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
        samples_add(&samples, leave_propagation_ms(sim));
        sim_free(sim);
    }
    printf("%d members, %d runs, seeds 3000 to %d\n", members, LEAVE_RUNS,
           3000 + LEAVE_RUNS - 1);
    print_samples("leaving known after partition", &samples, "ms");
}

static void
measure_fleet(int members)
{
    struct fleet_results results = {0};

    for (int run = 0; run < FLEET_RUNS; run++) {
        struct sim *sim = sim_new(members, (uint32_t)(1000 + run), 0, true);

        measure_startup(sim, &results);
        measure_steady(sim, &results);
        for (int crash = 0; crash < CRASHES + CRASHES_WITH_CLOSE; crash++) {
            measure_crash(sim, &results, (uint64_t)(2000 + crash),
                          crash >= CRASHES);
        }
        sim_free(sim);
    }
    printf("%d members, %d runs, seeds 1000 to %d\n", members, FLEET_RUNS,
           1000 + FLEET_RUNS - 1);
    print_samples("steady, mean member", &results.mean_bytes_per_s, "B/s");
    print_samples("steady, busiest member", &results.max_bytes_per_s, "B/s");
    print_samples("CPU per member and second", &results.cpu_us_per_s, "us");
    print_samples("first second, busiest member", &results.startup_max_bytes,
                  "B");
    print_samples("start until converged", &results.convergence_ms, "ms");
    print_samples("crash until first detection", &results.first_detection_ms,
                  "ms");
    print_samples("crash until all detected", &results.full_detection_ms,
                  "ms");
    print_samples("closed until all detected",
                  &results.closed_full_detection_ms, "ms");
}

int
main(int argc, char **argv)
{
    static const int sizes[] = {5, 40, 340};

    for (size_t i = 0; argc == 1 && i < G_N_ELEMENTS(sizes); i++) {
        measure_fleet(sizes[i]);
        measure_leave(sizes[i]);
        fflush(stdout);
    }
    for (int i = 1; i < argc; i++) {
        measure_leave(CLAMP(atoi(argv[i]), 2, MEMBERS_MAX));
    }
    return 0;
}
