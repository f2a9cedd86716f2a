/*
 * Processor time of the search for a second response in the bodies that pass,
 * beside that of one search in the whole body.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "bench/dat.h"
#include "bench/fns.h"

enum { RUNS = 21, BYTES_PER_RUN = 64 * 1024 * 1024, READ_BYTES = 16 * 1024 };

static const char attempt_id[] = "9c41d07be2a35f68";

static bool
scan_in_parts(const char *body, size_t bytes)
{
    struct body_scan scan = {0};
    bool found = false;

    for (size_t at = 0; at < bytes; at += READ_BYTES) {
        found |= body_scan_add(&scan, body + at, MIN(bytes - at, READ_BYTES),
                               attempt_id);
    }
    body_scan_clear(&scan);
    return found;
}

static bool
scan_whole(const char *body, size_t bytes)
{
    return find_status_line(body, bytes) != NULL;
}

static void
measure(const char *name, size_t bytes,
        bool (*scan)(const char *body, size_t bytes), const char *unit)
{
    char *body = g_strnfill(bytes, 'H');
    int repeats = (int)(BYTES_PER_RUN / bytes);
    struct samples samples = {0};
    int found = 0;

    for (int run = 0; run < RUNS; run++) {
        double start = cpu_now_us();

        for (int i = 0; i < repeats; i++) {
            found += scan(body, bytes) ? 1 : 0;
        }
        sample_add(&samples,
                   (cpu_now_us() - start) / ((double)bytes * repeats / 1e6));
    }
    if (found != 0) {
        printf("%s: %d bodies were taken for two\n", name, found);
    }
    sample_print(&samples, name, unit);
    g_free(body);
}

int
main(void)
{
    static const struct {
        const char *name;
        size_t bytes;
    } bodies[] = {
        {"1_kb", 1000},
        {"150_kb", 150 * 1000},
        {"16_mb", 16 * 1000 * 1000},
    };

    for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++) {
        measure(bodies[i].name, bodies[i].bytes, scan_whole,
                "us_per_mb_whole");
        measure(bodies[i].name, bodies[i].bytes, scan_in_parts,
                "us_per_mb_in_parts");
    }
    return 0;
}
