/*
 * Size of full and of load-only target reports, and processor time to pack and
 * unpack them.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "bench/dat.h"
#include "bench/fns.h"

enum { RUNS = 21, ITERATIONS = 2000, TARGET_COUNT = 15, LOADED_LEAVES = 8 };

static uint64_t loaded_ids[LOADED_LEAVES];

static void
fill_report(Turmeric__TargetReport *report, bool load_only, uint64_t id)
{
    turmeric__target_report__init(report);
    report->id = id;
    report->running = 12;
    report->waiting = 3;
    report->load_only = load_only;
    if (load_only) {
        return;
    }
    report->name = "engine-0001";
    report->service = "oven-mind";
    report->data_centre = "kazhakoottam";
    report->address = "10.0.12.34:8000";
    report->incarnation = 1796370628419;
    report->memory_mb = 81920;
    report->used_mb = 40960;
    report->loaded = loaded_ids;
    report->n_loaded = LOADED_LEAVES;
    report->cached_disk = loaded_ids;
    report->n_cached_disk = LOADED_LEAVES;
}

static void
measure(const char *name, bool load_only)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Reports reports = TURMERIC__REPORTS__INIT;
    Turmeric__TargetReport items[TARGET_COUNT];
    Turmeric__TargetReport *pointers[TARGET_COUNT];
    struct samples samples = {0};
    unsigned char buffer[65536];
    size_t bytes = 0;

    for (int i = 0; i < TARGET_COUNT; i++) {
        fill_report(&items[i], load_only, hash_pair(1, (uint64_t)i));
        pointers[i] = &items[i];
    }
    reports.reports = pointers;
    reports.n_reports = TARGET_COUNT;
    envelope.version = 1;
    envelope.from = hash_text("entry");
    envelope.body_case = TURMERIC__ENVELOPE__BODY_REPORTS;
    envelope.reports = &reports;
    for (int run = 0; run < RUNS; run++) {
        double start = cpu_now_us();

        for (int i = 0; i < ITERATIONS; i++) {
            Turmeric__Envelope *copy;

            bytes = turmeric__envelope__pack(&envelope, buffer);
            copy = turmeric__envelope__unpack(NULL, bytes, buffer);
            turmeric__envelope__free_unpacked(copy, NULL);
        }
        sample_add(&samples,
                   (cpu_now_us() - start) / ITERATIONS / TARGET_COUNT);
    }
    printf("%s bytes_per_report=%.1f\n", name, (double)bytes / TARGET_COUNT);
    sample_print(&samples, name, "us_per_report_packed_and_unpacked");
}

int
main(void)
{
    for (int i = 0; i < LOADED_LEAVES; i++) {
        loaded_ids[i] = hash_pair(2, (uint64_t)i);
    }
    measure("load_only", true);
    measure("full", false);
    return 0;
}
