/* Stand-ins of the users' platform for the scripts of this review: store,
 * engines, clients, and a link that can be cut. They do what the pages of the
 * platform say, and start the project's own program as a process. */
#ifndef STAND_H
#define STAND_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* common */
int64_t now_ms(void);
void pause_ms(int64_t ms);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
void stand_init(int argc, char **argv);
bool stand_trouble(void);
const char *stand_ip(int number);
extern const char *stand_zone;
extern const char *stand_region;
_Noreturn void stand_finish(int code);
_Noreturn void stand_cannot_run(const char *why);

/* HTTP server: a thread for each connection */
struct request {
    char method[16];
    char path[512];
    char *head; /* header lines, each ended by a line feed */
    char *body;
    size_t body_bytes;
    int fd;
};

struct server {
    char address[64];
    int fd;
    void (*handle)(struct request *request, void *data);
    void *data;
    atomic_bool closed; /* refuses connections and ends those that are open */
};

struct server *server_start(const char *ip,
                            void (*handle)(struct request *, void *),
                            void *data);
struct server *server_start_again(const struct server *before);
void server_stop(struct server *server);
const char *request_field(const struct request *request, const char *name,
                          char *out, size_t bytes);
bool reply(struct request *request, int status, const char *fields,
           const char *body, size_t body_bytes);

/* store */
void store_start(const char *ip, int64_t history_ms);
const char *store_address(void);
int64_t store_put(const char *key, const char *value);
int64_t store_remove(const char *key);
void store_cut_next_watch(void);
bool store_watch_is_to_be_cut(void);

/* link between a machine and the store */
struct link {
    char address[64];
    char to[64];
    int fd;
    atomic_bool cut;
    atomic_bool resets; /* a cut resets connections instead of holding them */
    atomic_long last_reset_ms;
};

struct link *link_start(const char *ip, const char *to);

/* engines */
struct engine {
    char id[64];
    char service[64];
    char zone[32];
    char state[16];
    struct server *server;
    int work_ms;
    int slots;
    atomic_int runs;
    atomic_bool listed;
    atomic_bool stopped;
    atomic_long sequence;
    char models[8][64]; /* names of what it holds */
    int model_count;
    int load_ms;
    char loading[64];
    int64_t loaded_at_ms;
    long orders;
    int64_t born_ms;
    char disk[8][64]; /* copies that a restart preserves */
    int disk_count;
    double model_mb; /* size of each model */
    double weights_mb;
    const char *late_model; /* its load is left unanswered, carried out late */
    int late_ms;
    int over_memory; /* loads that did not fit: the engine crashes */
    int events;      /* of a stream; 0 for a whole body */
    int event_gap_ms;
    bool endless; /* a stream goes on until the other side closes */
    void (*arrived)(struct engine *engine, const char *attempt,
                    const char *path);
};

struct engine *engine_new(const char *id, const char *service, int work_ms);
void engine_start(struct engine *engine, const char *ip);
void engine_unlist(struct engine *engine);
void engine_exit(struct engine *engine);
void engine_crash(struct engine *engine);
void engine_start_again(struct engine *engine);

/* gates */
struct gate {
    char name[32];
    char ip[32];
    char settings[256];
    char log[256];
    char front[64];
    char ready[64];
    int memory_mb;
    pid_t pid;
};

void gate_configure(struct gate *gate, const char *name, const char *ip,
                    const char *store, int memory_mb);
void gate_start(struct gate *gate);
void gate_signal(struct gate *gate, int signal_number);
bool gate_is_ready(struct gate *gate);
void gate_wait_ready(struct gate *gate, int64_t timeout_ms);
long gate_rss_kb(const struct gate *gate);
void gate_reap(struct gate *gate);

/* clients */
struct answer {
    int status; /* 0: the connection ended without a whole answer */
    bool sealed;
    bool closes;
    char body[512];
};

int client_connect(const char *address);
int client_connect_small(const char *address, int buffer_bytes);
bool client_send(int fd, const char *method, const char *host,
                 const char *path, const char *attempt, int deadline_ms,
                 const char *fields, const char *body, size_t body_bytes);
void client_read(int fd, int timeout_ms, struct answer *answer);
long client_read_slowly(int fd, int timeout_ms, int bytes_per_ms);
void client_call(const char *address, const char *method, const char *path,
                 const char *attempt, int deadline_ms, const char *fields,
                 const char *body, size_t body_bytes, struct answer *answer);

#define HOST "ficu95.example"

#endif
