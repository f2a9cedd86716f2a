#ifndef ADMIT_FNS_H
#define ADMIT_FNS_H

/* pace.c */
void pace_advance(struct queue_pace *pace, bool waiting, int64_t now_ms);
void pace_arrived(struct queue_pace *pace);
void pace_taken(struct queue_pace *pace);
bool pace_is_known(const struct queue_pace *pace);
double pace_places_per_s(const struct queue_pace *pace);
bool pace_is_overloaded(const struct queue_pace *pace);

/* wait.c */
int64_t expected_wait_ms(const struct wait_facts *facts,
                         const struct queue_pace *pace);
struct wait_decision decide_wait(const struct wait_facts *facts,
                                 const struct queue_pace *pace, double spread);

/* run_lengths.c */
void run_lengths_add(struct run_lengths *lengths, int64_t run_ms,
                     double interval_ms, int64_t now_ms);
bool run_lengths_known(const struct run_lengths *lengths, int64_t now_ms);
int64_t run_lengths_quantile_ms(const struct run_lengths *lengths,
                                double share, int64_t now_ms);
double run_lengths_late_share(const struct run_lengths *lengths,
                              int64_t left_ms, double interval_ms,
                              int64_t now_ms);

/* finish.c */
struct finish_facts;
struct finish_history;
struct finish_answer;
void finish_history_add(struct finish_history *history,
                        const struct finish_answer *answer, int64_t now_ms);
bool finish_history_known(const struct finish_history *history,
                          int64_t now_ms);
void finish_describe(const struct finish_history *history, int max_tokens,
                     int64_t now_ms, struct finish_facts *facts);
double finish_late_share(const struct finish_facts *facts, double interval_ms,
                         double left_ms);
bool finish_is_hopeless(double late_share);
bool finish_is_held(double late_share, bool has_free_slot);
double finish_work_ms(const struct finish_facts *facts);

/* fairness.c */
void served_share_add(struct served_share *share, bool served, int64_t now_ms);
double served_share_of(const struct served_share *share);
double request_size(int prompt_tokens, int max_tokens);
enum size_class kind_sizes_add(struct kind_sizes *sizes, double size);
bool fairness_protects(const struct fairness_facts *facts);

/* rank.c */
struct rank rank_of(const struct rank_facts *facts, int64_t now_ms);
int rank_compare(const struct rank *a, const struct rank *b);
int rank_compare_overdue(const struct rank *a, const struct rank *b);
bool rank_is_overdue_turn(int places);

/* stop.c */
struct stop_decision stop_decide(const struct stop_facts *facts,
                                 const struct run_lengths *lengths,
                                 int64_t now_ms);

/* memory.c */
size_t memory_bound(int memory_mb);
size_t memory_expected_bytes(size_t held, int64_t announced);
int64_t memory_pause_max_ms(int64_t deadline_ms);
enum memory_verdict memory_decide(const struct memory_facts *facts,
                                  int64_t now_ms);
int64_t memory_retry_ms(int64_t deadline_ms, double spread);
size_t memory_share(size_t bound, size_t connections);
bool memory_is_tight(size_t charged, size_t bound);
bool memory_stops_answer(const struct memory_use *use);
bool memory_refusing_ended(int64_t last_ms, int64_t now_ms);

#endif
