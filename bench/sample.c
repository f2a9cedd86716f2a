/**
 * DOC: Samples with median and range, processor time, heap in use.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/dat.h"
#include "bench/dat.h"
#include "bench/fns.h"

/**
 * sample_add() - record a measurement
 * @samples: ignores the value when SAMPLES_MAX are recorded
 * @value: the measurement
 */
void
sample_add(struct samples *samples, double value)
{
    if (samples->count < SAMPLES_MAX) {
        samples->values[samples->count++] = value;
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double difference = *(const double *)a - *(const double *)b;

    return (difference > 0) - (difference < 0);
}

/**
 * sample_median() - median of the measurements; the upper one of an even count
 * @samples: at least one measurement; sorted by the call
 */
double
sample_median(struct samples *samples)
{
    qsort(samples->values, (size_t)samples->count, sizeof(double),
          compare_doubles);
    return samples->values[samples->count / 2];
}

/**
 * sample_print() - print median, minimum, maximum and number of runs
 * @samples: at least one measurement
 * @name: name of the figure
 * @unit: its unit
 */
void
sample_print(struct samples *samples, const char *name, const char *unit)
{
    double median = sample_median(samples);

    printf("%s median=%.3f min=%.3f max=%.3f unit=%s runs=%d\n", name, median,
           samples->values[0], samples->values[samples->count - 1], unit,
           samples->count);
}

/**
 * cpu_now_us() - processor time used by the process, in microseconds
 */
double
cpu_now_us(void)
{
    struct timespec now;

    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

/**
 * heap_bytes() - bytes allocated from the heap
 */
size_t
heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();

    return info.uordblks + info.hblkhd;
}
