#ifndef CLUSTER_FNS_H
#define CLUSTER_FNS_H

/* cluster.c */
struct cluster *cluster_start(const struct cluster_layout *layout);
void cluster_stop(struct cluster *cluster);
struct process *cluster_find(struct cluster *cluster, enum process_kind kind,
                             int number);
void cluster_restart(struct cluster *cluster, struct process *process);
void cluster_kill(struct process *process, int signal_number);
int cluster_wait_exit(struct process *process);
bool cluster_await_agreement(struct cluster *cluster);
bool cluster_await(bool (*condition)(void *context), void *context);
void cluster_set_program_directory(const char *test_program);

/* request.c */
bool request_send(struct process *process, const char *method,
                  const char *path, const char *const headers[][2],
                  const char *body, struct answer *answer);
char *stream_text(const struct answer *answer);
struct json_object *process_get_stats(struct process *process);
int64_t process_get_stat(struct process *process, const char *key);
void process_set_faults(struct process *process, const char *faults);
void cluster_unlist(struct cluster *cluster, struct process *process);
void cluster_list_draining(struct cluster *cluster, struct process *process);
bool cluster_edit(struct process *entry, const char *changes,
                  int64_t base_revision, int64_t *revision,
                  struct answer *answer);
struct json_object *cluster_status(struct process *entry);

/* caller.c */
void *run_chat(void *argument);
struct caller *caller_new(struct process *entry, const char *model, int tokens,
                          int number);
bool chat_is_complete(const struct caller *caller);
void assert_chat_complete(struct caller *caller);
void send_and_check(struct process *entry, const char *model, int tokens,
                    int number);
int peak_replicas(struct json_object *history, const char *model);
int64_t sum_engine_stats(struct cluster *cluster, const char *key);
void assert_within_limits(struct cluster *cluster);
void *send_order(void *argument);
struct order *order_new(struct cluster *cluster, int entry, const char *key);
int64_t sum_plain_stats(struct cluster *cluster, const char *stat);
bool entry_tree_is_current(void *context);

/* cases.c */
int cluster_run_cases(int argc, char **argv, const char *group,
                      const struct cluster_case *cases, size_t count);

#endif
