#ifndef CHOOSE_FNS_H
#define CHOOSE_FNS_H

/* target_cost.c */
bool target_can_serve(const struct target_record *target,
                      const struct request_needs *needs);
double target_cost(const struct target_record *target,
                   const struct request_needs *needs, int64_t now_ms);
double target_late_share(const struct target_record *target,
                         const struct request_needs *needs, int64_t now_ms);
bool target_holds_off(const struct target_record *target,
                      const struct request_needs *needs, int64_t now_ms);
bool target_has_capacity(const struct target_record *target,
                         const struct request_needs *needs);

/* pause.c */
bool pause_holds(const struct target_pause *pause, int64_t now_ms);
bool pause_is_over(const struct target_pause *pause, int64_t now_ms);
bool pause_admits(const struct target_record *target, int64_t now_ms);
int64_t pause_place_interval_ms(const struct target_record *target);
int64_t pause_next_ms(const struct target_record *target, int64_t now_ms);

/* leaving.c */
bool target_is_leaving(const struct target_record *target);
enum leaving_end leaving_apply_entry(struct leaving_notice *notice,
                                     const struct target_info *entry);

/* health.c */
void health_connect_failed(struct target_health *health, int64_t now_ms);
void health_request_failed(struct target_health *health);
void health_request_succeeded(struct target_health *health);

/* memory.c */
bool target_memory_fits(const struct request_needs *needs);
bool target_memory_admits(const struct target_record *target,
                          const struct request_needs *needs,
                          const struct token_view *view);

/* verdict.c */
enum status_kind status_kind(int status, int interim_count);
enum verdict response_verdict(const struct response_facts *facts);

/* silence.c */
int64_t silence_limit_ms(const struct gate_route *route);
enum silence_choice silence_choose(const struct silence_facts *facts);
bool silence_is_final(enum silence_choice choice);
const char *silence_reason(enum silence_choice choice);

/* stream.c */
bool stream_continues(const struct stream_facts *facts);
enum event_verdict stream_event_verdict(const struct stream_event *event,
                                        int64_t last_id, int64_t run_id);
enum answer_fault stream_end_fault(const struct stream_end *end);

/* whole.c */
const char *find_status_line(const char *text, size_t bytes);
bool body_scan_add(struct body_scan *scan, const void *bytes, size_t count,
                   const char *attempt_id);
void body_scan_clear(struct body_scan *scan);

/* retry_budget.c */
void retry_budget_count_request(struct retry_budget *budget, int64_t window_ms,
                                int64_t now_ms);
bool retry_budget_has_room(const struct retry_budget *budget,
                           const struct gate_limits *limits, int instances,
                           int64_t now_ms);
bool retry_budget_take(struct retry_budget *budget,
                       const struct gate_limits *limits, int instances,
                       int64_t now_ms);

/* event_intervals.c */
void event_intervals_add(struct event_intervals *intervals, int count,
                         int64_t total_ms, int64_t now_ms);
double event_intervals_expected_ms(const struct event_intervals *intervals,
                                   int64_t now_ms);
double event_intervals_mean_ms(const struct event_intervals *intervals,
                               int64_t now_ms);

/* instance_counts.c */
void instance_counts_record(struct instance_counts *counts, int count,
                            int64_t window_ms, int64_t now_ms);
int instance_counts_max(const struct instance_counts *counts,
                        int64_t window_ms, int64_t now_ms);

#endif
