#ifndef CHOOSE_FNS_H
#define CHOOSE_FNS_H

/* pick.c */
bool choose_can_serve(const struct choose_target *target,
                      const struct choose_need *need);
double choose_cost(const struct choose_target *target,
                   const struct choose_need *need, int64_t now_ms);
bool choose_has_room(const struct choose_target *target);

/* health.c */
void health_unreachable(struct target_health *health, int64_t now_ms);
void health_failed(struct target_health *health);
void health_answered(struct target_health *health);

/* verdict.c */
enum verdict verdict_of(const struct verdict_facts *facts);

/* budget.c */
void repeats_count_request(struct repeat_budget *budget, int64_t window_ms,
                           int64_t now_ms);
bool repeats_take(struct repeat_budget *budget,
                  const struct gate_limits *limits, int instances,
                  int64_t now_ms);

/* pace.c */
void pace_learn(struct target_pace *pace, int pauses, int64_t pause_ms,
                int64_t now_ms);
double pace_ms(const struct target_pace *pace, int64_t now_ms);

/* sharers.c */
void sharers_count(struct sharers *sharers, int count, int64_t window_ms,
                   int64_t now_ms);
int sharers_most(const struct sharers *sharers, int64_t window_ms,
                 int64_t now_ms);

#endif
