#ifndef BENCH_FNS_H
#define BENCH_FNS_H

/* sample.c */
void sample_add(struct samples *samples, double value);
double sample_median(struct samples *samples);
void sample_print(struct samples *samples, const char *name, const char *unit);
double cpu_now_us(void);
size_t heap_bytes(void);

#endif
