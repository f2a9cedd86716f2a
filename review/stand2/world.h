/* Small stand-ins for the cases of the second review: the platform's store,
 * engines, and clients, in one process with one poll loop. Gates are started
 * as processes of their own with the command of the deploy file. */
#ifndef WORLD_H
#define WORLD_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum { GATES_MAX = 4, ENGINES_MAX = 12, HELD_MAX = 16, CONTACT_MS = 3000 };

/* A message that is being read from a socket. */
struct message {
    GString *bytes;
    size_t head_bytes; /* 0 while the head is incomplete */
};

enum conn_kind { CONN_STORE, CONN_ENGINE };

struct run;

/* A connection that was accepted. */
struct conn {
    int fd;
    enum conn_kind kind;
    int engine;
    struct message in;
    struct run *run; /* the request that its engine works on */
    bool dead;       /* what comes on it is lost */
    bool watch;      /* a watch waits on it */
    int64_t watch_after;
    int64_t watch_until;
    char watch_prefix[128];
};

/* A request at an engine. */
struct run {
    char id[64];
    char path[64];
    char parts[1024];
    char model[64];
    int events_due;
    int events_sent;
    int first_id; /* behind Last-Event-Id */
    int64_t next_ms;
    int event_ms;
    bool deadly;
    bool plain;
};

struct late_order {
    bool set;
    int64_t at_ms;
    bool load;
    char item[64];
    int64_t expected;
};

struct engine {
    char id[32];
    char service[32];
    char address[32];
    int port;
    int fd; /* -1 while it is down */
    int incarnation;
    int64_t born_ms;
    int64_t back_ms; /* when it starts again; 0 for never */
    int64_t entry_gone_ms;
    char old_id[32];
    bool same_id; /* it starts again under the id that it had */
    int64_t beat_ms;
    int slots;
    char held[HELD_MAX][64];
    int held_count;
    char disk[HELD_MAX][64];
    int disk_count;
    char loading[64];
    int64_t loaded_ms;
    int64_t sequence;
    struct late_order late;
    int crashes;
    int64_t removed_ms; /* when its entry was removed; it serves on */
    int64_t leave_ms;   /* when it goes for good; 0 for not */
};

struct gate {
    int store_fd;        /* the store's listener for this machine */
    bool cut;            /* its path to the store is cut */
    int64_t cut_call_ms; /* last call of its feed that was lost */
    char name[32];
    char ip[32];
    char settings[256];
    pid_t pid;
    int64_t started_ms;
    int64_t start_at_ms; /* when it is to be started again; 0 for not */
    int log_fd;
};

/* A client's attempt. */
struct attempt {
    char id[64];
    char tag[16];
    int gate;
    int fd;
    GString *out;
    size_t sent;
    GString *in;
    int64_t sent_ms;
    int64_t begun_ms; /* first event or body at the client; 0 for none */
    int64_t ended_ms;
    int64_t give_up_ms;
    int status; /* 0 for none */
    int events;
    bool complete;
    bool done;
    /* what engines saw */
    int arrivals;
    int64_t first_arrival_ms;
    int at_engine; /* that got it last */
};

/* world.c */
extern struct engine engines[ENGINES_MAX];
extern int engine_count;
extern struct gate gates[GATES_MAX];
extern int gate_count;
extern GPtrArray *attempts;
extern bool trouble;
int64_t now_ms(void);
int64_t wall_ms(void);
void note(const char *format, ...) __attribute__((format(printf, 1, 2)));
void put_key(const char *key, const char *value, size_t bytes, int64_t lease);
void remove_key(const char *key);
void engine_add(const char *service, int slots);
void engine_crash(int index, int64_t back_after_ms, const char *why);
bool engine_holds(const struct engine *engine, const char *item);
void engine_release(int index, int64_t leave_after_ms);
void gate_add(const char *zone);
void gate_cut(int index, bool cut);
void gate_kill(int index, int64_t start_after_ms);
struct attempt *client_send(int gate, const char *tag, const char *method,
                            const char *path, const char *fields,
                            int deadline_ms);
void wait_until(int64_t at_ms);
bool wait_ready(int64_t limit_ms);

/* what a case decides */
struct scenario {
    const char *name;
    void (*play)(void);
    /* A request has arrived at an engine; fills in the run. */
    void (*arrived)(int engine, struct run *run, struct attempt *attempt);
    /* An order that can be carried out. Returns whether it gets no answer and
     * is carried out later. */
    bool (*order_late)(int engine, bool load, const char *item,
                       int64_t expected);
    /* Events of a deadly run that are sent before its engine crashes. */
    int deadly_events;
};
extern const struct scenario *scenario;
extern int exit_code; /* 0 held, 1 broken, 2 could not run */
extern int64_t start_ms;
extern int lost_with_engines; /* sound requests cut by crashes */
/* Crashes by deadly requests, the last ones left out. */
extern int64_t crash_ms[64];
extern int crash_count;
#endif
