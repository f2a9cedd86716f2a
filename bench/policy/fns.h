#ifndef BENCH_POLICY_FNS_H
#define BENCH_POLICY_FNS_H

/* day.c */
void day_generate(struct day *day, const struct scenario *scenario,
                  uint32_t seed);

/* fleet.c */
void fleet_init(struct sim *sim);
void fleet_advance(struct sim *sim, int64_t ms);
void replica_start_load(struct sim *sim, int leaf_index, int engine);
void replica_start_unload(struct sim *sim, int leaf_index, int replica_index);
void replica_remove(struct sim *sim, int leaf_index, int replica_index);
int replica_find_ready(const struct sim *sim, int leaf_index);
int64_t leaf_idle_mb(const struct sim_leaf *leaf);

/* rules.c */
extern const struct policy policies[];
extern const int policy_count;
void rules_decide(struct sim *sim, int leaf_index);

#endif
