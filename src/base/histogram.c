/**
 * DOC: Latency histograms of the process, in Prometheus' text form.
 */
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>

#include "base/dat.h"
#include "base/fns.h"

enum { BUCKETS = 13 };

/* Upper bounds in ms; callers' goals lie between 100 and 3000. */
static const int bounds[BUCKETS] = {1,   2,   5,    10,   20,   50,   100,
                                    200, 500, 1000, 2000, 5000, 10000};

static const char *const names[HISTOGRAM_COUNT] = {
#define X(id, name) [id] = name,
    HISTOGRAMS(X)
#undef X
};

static atomic_uint_fast64_t buckets[HISTOGRAM_COUNT][BUCKETS];
static atomic_uint_fast64_t counts[HISTOGRAM_COUNT];
static atomic_uint_fast64_t sums[HISTOGRAM_COUNT];

/**
 * histogram_add() - count a latency
 * @histogram: which one
 * @ms: the latency; below 0 counts as 0
 */
void
histogram_add(enum histogram histogram, int64_t ms)
{
    uint64_t value = ms > 0 ? (uint64_t)ms : 0;

    for (int i = 0; i < BUCKETS; i++) {
        if (value <= (uint64_t)bounds[i]) {
            atomic_fetch_add(&buckets[histogram][i], 1);
        }
    }
    atomic_fetch_add(&counts[histogram], 1);
    atomic_fetch_add(&sums[histogram], value);
}

static size_t
format_one(int histogram, char *buffer, size_t bytes)
{
    const char *name = names[histogram];
    uint64_t count = atomic_load(&counts[histogram]);
    size_t used = 0;

    for (int i = 0; i < BUCKETS; i++) {
        used += (size_t)snprintf(
            used < bytes ? buffer + used : NULL,
            used < bytes ? bytes - used : 0,
            "%s_bucket{le=\"%d\"} %" PRIu64 "\n", name, bounds[i],
            (uint64_t)atomic_load(&buckets[histogram][i]));
    }
    used += (size_t)snprintf(
        used < bytes ? buffer + used : NULL, used < bytes ? bytes - used : 0,
        "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %" PRIu64
        "\n%s_count %" PRIu64 "\n",
        name, count, name, (uint64_t)atomic_load(&sums[histogram]), name,
        count);
    return used;
}

/**
 * histograms_format() - write all histograms
 * @buffer: where to write
 * @bytes: size of @buffer
 *
 * Return: length of the full text, which may exceed @bytes.
 */
size_t
histograms_format(char *buffer, size_t bytes)
{
    size_t used = 0;

    for (int i = 0; i < HISTOGRAM_COUNT; i++) {
        used += format_one(i, used < bytes ? buffer + used : NULL,
                           used < bytes ? bytes - used : 0);
    }
    return used;
}
