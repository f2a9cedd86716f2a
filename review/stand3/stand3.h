/* Stand-ins of the third review: the platform's store, engines and clients, in
 * one process with a thread for each connection. They do what PROTOCOL.md says
 * and no more. */
#ifndef STAND3_H
#define STAND3_H

#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum { HEAD_BYTES_MAX = 64 * 1024, FIELDS_MAX = 64 };

/* A request or a response as it stood on the wire. */
struct message {
    char *start; /* its first line */
    char *names[FIELDS_MAX];
    char *values[FIELDS_MAX];
    int field_count;
    GByteArray *body;
};

/* A buffered connection. */
struct wire {
    int fd;
    GByteArray *in;
    size_t used;
};

struct engine;

/* Answers one request of an engine. Returns false to close the connection. */
typedef bool (*answer_fn)(struct engine *engine, struct wire *wire,
                          const struct message *request, int number);

struct engine {
    char id[32];
    char service[32];
    char ip[32];
    int port;
    int64_t born;
    int64_t entry_writes;
    answer_fn answer; /* NULL: a short whole answer */
    int run_count;
    bool silent; /* it writes nothing to the store any more */
    pthread_mutex_t lock;
};

struct gate {
    char ip[32];
    char settings[256];
    char log[256];
    int front_port;
    int ready_port;
    pid_t pid;
};

/* Time */
int64_t now_ms(void);
int64_t wall_ms(void);
void sleep_ms(int64_t ms);

/* Record */
void record_open(const char *folder);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* Wire */
struct message *message_read(struct wire *wire, bool is_response);
void message_free(struct message *message);
const char *message_field(const struct message *message, const char *name);
bool wire_write(struct wire *wire, const void *bytes, size_t count);
struct wire *wire_connect(const char *ip, int port, int timeout_ms);
void wire_close(struct wire *wire);
int listen_on(const char *ip, int port);
int free_port(const char *ip);
/* Serves each connection in a thread of its own, in place of an engine. */
void server_start(const char *ip, int port,
                  void (*serve)(struct wire *wire, void *data), void *data);

/* Store. store_put() returns when the store has acknowledged the write. */
void store_start(const char *ip, int port);
/* Serves at another port, for machines that are turned away (503) while @away
 * is set. */
void store_serve_at(const char *ip, int port, bool *away);
int64_t store_put(const char *key, const char *value);
/* While set, calls from machines get 503; the operator and the engines are
 * served. */
void store_turn_away(bool turn_away);
/* Removes a key, as the platform does when an engine has left. */
void store_remove(const char *key);
/* The store names its era in all answers from then on. */
void store_name_era(void);
/* Keeps a copy of the store. */
void store_copy(void);
/* The store is away for a moment and comes back from the copy: what was
 * written since is gone, leases too, and the era rises by one. */
void store_restore(int64_t away_ms);

/* Engines */
void engine_start(struct engine *engine, const char *id, const char *service,
                  const char *ip);
bool engine_answer_whole(struct engine *engine, struct wire *wire,
                         const struct message *request, const char *body,
                         size_t bytes);

/* The machine under test */
void gate_start(struct gate *gate, const char *folder, const char *ip,
                int store_port, const char *more_bounds);
bool gate_is_ready(const struct gate *gate, int64_t timeout_ms);
void gate_stop(struct gate *gate);

/* A client's request on a new connection. @fields are whole lines. Returns the
 * status; 0 without a whole response. @body may be NULL. */
int ask(const struct gate *gate, const char *method, const char *path,
        const char *fields, const char *attempt_id, GByteArray *body);
char *new_attempt_id(void);
#endif
