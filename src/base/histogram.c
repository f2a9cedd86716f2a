/**
 * DOC: Process-wide latency histograms in the Prometheus text format.
 */
#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>

#include "base/dat.h"
#include "base/fns.h"

enum { BUCKET_COUNT = 13 };

/* Upper bounds; callers' latency goals lie between 100 and 3000 ms. */
static const int bucket_bounds_ms[BUCKET_COUNT] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

static const char *const histogram_names[HISTOGRAM_COUNT] = {
#define X(id, name) [id] = name,
    HISTOGRAMS(X)
#undef X
};

static atomic_uint_fast64_t buckets[HISTOGRAM_COUNT][BUCKET_COUNT];
static atomic_uint_fast64_t counts[HISTOGRAM_COUNT];
static atomic_uint_fast64_t sums_ms[HISTOGRAM_COUNT];

/**
 * histogram_add() - record a latency
 * @histogram: the histogram
 * @latency_ms: the latency; below 0 counts as 0
 */
void
histogram_add(enum histogram histogram, int64_t latency_ms)
{
    uint64_t value = latency_ms > 0 ? (uint64_t)latency_ms : 0;

    for (int i = 0; i < BUCKET_COUNT; i++) {
        if (value <= (uint64_t)bucket_bounds_ms[i]) {
            atomic_fetch_add(&buckets[histogram][i], 1);
        }
    }
    atomic_fetch_add(&counts[histogram], 1);
    atomic_fetch_add(&sums_ms[histogram], value);
}

static size_t
format_histogram(int histogram, char *buffer, size_t bytes)
{
    const char *name = histogram_names[histogram];
    uint64_t count = atomic_load(&counts[histogram]);
    size_t used = 0;

    for (int i = 0; i < BUCKET_COUNT; i++) {
        used += (size_t)snprintf(
            used < bytes ? buffer + used : NULL,
            used < bytes ? bytes - used : 0,
            "%s_bucket{le=\"%d\"} %" PRIu64 "\n", name, bucket_bounds_ms[i],
            (uint64_t)atomic_load(&buckets[histogram][i]));
    }
    used += (size_t)snprintf(
        used < bytes ? buffer + used : NULL, used < bytes ? bytes - used : 0,
        "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %" PRIu64
        "\n%s_count %" PRIu64 "\n",
        name, count, name, (uint64_t)atomic_load(&sums_ms[histogram]), name,
        count);
    return used;
}

/**
 * histograms_format() - format all histograms
 * @buffer: output buffer
 * @bytes: size of @buffer
 *
 * Return: length of the complete text, which may exceed @bytes.
 */
size_t
histograms_format(char *buffer, size_t bytes)
{
    size_t used = 0;

    for (int i = 0; i < HISTOGRAM_COUNT; i++) {
        used += format_histogram(i, used < bytes ? buffer + used : NULL,
                                 used < bytes ? bytes - used : 0);
    }
    return used;
}
