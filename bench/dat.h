#ifndef BENCH_DAT_H
#define BENCH_DAT_H

enum { SAMPLES_MAX = 101 };

/**
 * struct samples - repeated measurements of one figure
 */
struct samples {
    double values[SAMPLES_MAX];
    int count;
};

#endif
