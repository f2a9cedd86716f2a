#ifndef BASE_FNS_H
#define BASE_FNS_H

#include <sys/socket.h>

/* err.c */
const struct err_info *err_info(enum err_kind kind);
enum err_kind err_kind_by_name(const char *name);
const char *outcome_name(enum outcome outcome);
bool err_set(struct err *err, enum err_kind kind, const char *format, ...)
    __attribute__((format(printf, 3, 4)));
void err_clear(struct err *err);

/* counter.c */
void counter_add(enum counter counter, uint64_t amount);
void refusal_add(enum err_kind kind);
uint64_t counter_read(enum counter counter);
uint64_t refusal_read(enum err_kind kind);
const char *counter_name(enum counter counter);
size_t counters_format(char *buffer, size_t bytes);

/* histogram.c */
void histogram_add(enum histogram histogram, int64_t latency_ms);
size_t histograms_format(char *buffer, size_t bytes);

/* log.c */
enum log_priority { LOG_PRI_ERR = 3, LOG_PRI_WARNING = 4, LOG_PRI_INFO = 6 };
void log_line(enum log_priority priority, const char *component,
              const char *format, ...) __attribute__((format(printf, 3, 4)));

/* clock.c */
int64_t clock_now_ms(void);
int64_t clock_boot_ms(void);
int64_t clock_wall_ms(void);
struct timespec clock_deadline(int64_t timeout_ms);
void cond_init_monotonic(pthread_cond_t *cond);

/* hash.c */
uint64_t hash_bytes(const void *data, size_t bytes);
uint64_t hash_text(const char *text);
uint64_t hash_pair(uint64_t a, uint64_t b);
void hash_128(const void *data, size_t bytes, unsigned char out[16]);
int rendezvous_pick(uint64_t key, const uint64_t *member_ids, int count);
int rendezvous_rank(uint64_t key, const uint64_t *member_ids, int count,
                    uint64_t member_id);

/* ring.c */
bool ring_init(struct ring *ring, uint32_t capacity, size_t message_bytes,
               struct err *err);
void ring_free(struct ring *ring);
bool ring_push(struct ring *ring, const void *message, struct err *err);
enum ring_result ring_pop(struct ring *ring, void *message,
                          int64_t timeout_ms);
void ring_close(struct ring *ring);
uint32_t ring_count(struct ring *ring);

/* heap.c */
void heap_init(struct heap *heap);
void heap_clear(struct heap *heap);
void heap_set(struct heap *heap, struct timer *timer, int64_t due_ms);
void heap_remove(struct heap *heap, struct timer *timer);
struct timer *heap_first(const struct heap *heap);

/* table.c */
bool table_init(struct table *table, uint32_t capacity, size_t slot_bytes,
                struct err *err);
void table_destroy(struct table *table);
void *table_alloc(struct table *table, struct handle *handle, struct err *err);
void *table_get(const struct table *table, struct handle handle);
bool table_free(struct table *table, struct handle handle);
uint32_t table_count(const struct table *table);
void *table_next(const struct table *table, uint32_t *cursor,
                 struct handle *handle);

/* socket.c */
bool socket_parse_address(const char *text, struct sockaddr_storage *address,
                          socklen_t *address_bytes, struct err *err);
bool socket_check_address(const char *text, struct err *err);
int socket_listen(const char *text, int *port, struct err *err);
int socket_connect(const char *text, struct err *err);
void socket_set_options(int fd);

/* supervisor.c */
void supervisor_init(struct supervisor *supervisor, const char *name);
void supervisor_add(struct supervisor *supervisor, struct duty *duty);
bool supervisor_run(struct supervisor *supervisor, struct err *err);
void supervisor_stop(struct supervisor *supervisor);
void supervisor_free(struct supervisor *supervisor);

#endif
