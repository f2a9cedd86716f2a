#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include <stdatomic.h>

enum {
    READ_BYTES = 16 * 1024,
    FIELDS_MAX = 128,
    /* A caller that does not read its answer stops the target's, before the
     * instance's memory runs out. */
    OUT_PAUSE_BYTES = 256 * 1024,
    HELD_MAX_BYTES = 256 * 1024,
    PENDING_MAX_BYTES = 64 * 1024,
    RELAY_RING = 8192,
    EXCHANGES_MAX = 8192,
};

/* Kinds of descriptors, in the top byte of epoll's data. */
enum watch_kind {
    WATCH_WAKE = 1,
    WATCH_LISTENER,
    WATCH_CLIENT,
    WATCH_UPSTREAM,
};

enum timer_kind { TIMER_CLIENT = 1, TIMER_EXCHANGE, TIMER_UPSTREAM };

enum listener_kind {
    LISTEN_FRONT,
    LISTEN_READY,
    LISTEN_LOOKUP,
    LISTEN_METRICS,
    LISTENERS
};

/* A header field inside the text of its head; the texts end with NUL. */
struct head_field {
    uint32_t name;
    uint32_t value;
};

/**
 * struct head - head of a message while it is parsed
 * @text: target, status text and fields, each ended by a NUL byte
 * @target: offset of a request's target
 * @fields: struct head_field
 * @in_value: the last part was a value
 */
struct head {
    GString *text;
    GArray *fields;
    bool in_value;
    bool open;
};

/**
 * struct client - connection of a caller
 * @kind: listener that accepted it
 * @head: of the request that is being read
 * @body: of the request that is being read
 * @pending: bytes behind the request in progress
 * @out: bytes to be written, from @out_start
 * @exchange: the request in progress; generation 0 for none
 * @whole: a request was read completely
 * @closing: nothing more is read; closed when @out is written
 */
struct client {
    struct timer timer;
    struct handle self;
    int fd;
    enum listener_kind kind;
    http_parser parser;
    struct head head;
    GByteArray *body;
    GByteArray *pending;
    GByteArray *out;
    size_t out_start;
    struct handle exchange;
    bool reading;
    bool whole;
    bool keep;
    bool closing;
    uint32_t events;
};

enum stage {
    STAGE_WAITING, /* for a target */
    STAGE_SENT,    /* to a target, no head of an answer yet */
    STAGE_PASSING, /* the answer's head is judged good */
};

/**
 * struct event_reader - cuts a stream into whole events
 * @partial: bytes of the event that is not complete
 * @last: id of the last event that was passed on; -1 before the first
 * @broken: an event was out of order
 */
struct event_reader {
    GString *partial;
    int64_t last;
    bool broken;
};

/**
 * struct answer - answer that is passed on or held
 * @head: the lines that the caller gets, without framing
 * @body: held until the answer is complete, for answers that are no streams
 * @length: announced length of the body; -1 for none
 * @begun: the caller has got the head
 * @chunked: the caller gets the body in chunks
 */
struct answer {
    int status;
    GString *head;
    GByteArray *body;
    int64_t length;
    bool begun;
    bool chunked;
};

/**
 * struct exchange - one request of a caller, until its answer
 * @sends: times that it was sent to a target
 * @runs: of these, times that it may have run
 * @resumes: runs that went on with a stream
 * @due_ms: final answer by then
 * @look_ms: when the target's silence is looked at; 0 for never
 * @event_ms: when the last event was passed on
 * @gap_ms: longest pause between events so far
 * @queued: it is in the queue of its @item
 */
struct exchange {
    struct timer timer;
    struct handle self;
    struct handle client;
    struct handle upstream;
    struct gate_config *config;
    const struct gate_route *route;
    const struct gate_service *service;
    int service_index;
    struct request_facts facts;
    struct request_needs need;
    int method;
    char *path;
    GString *fields;
    GByteArray *body;
    enum stage stage;
    int sends;
    int runs;
    int resumes;
    int rejects;
    int unreachable;
    bool head_method;
    int64_t arrived_ms;
    int64_t due_ms;
    int64_t sent_ms;
    int64_t first_ms;
    int64_t progress_ms;
    int64_t event_ms;
    int64_t gap_ms;
    struct answer answer;
    struct event_reader events;
    bool queued;
    uint64_t queue_key;
};

/**
 * struct upstream - connection to a target
 * @target: the target
 * @ready: the connection is established
 * @used: requests that were sent on it
 * @no_body: the present answer has none, whatever its length says
 * @other: the present answer belongs to another request
 * @surplus: bytes came that belong to no request
 */
struct upstream {
    struct timer timer;
    struct handle self;
    struct handle target;
    int fd;
    bool ready;
    bool paused;
    http_parser parser;
    struct head head;
    GByteArray *chunk;
    struct answer_facts facts;
    GByteArray *out;
    size_t out_start;
    struct handle exchange;
    int used;
    bool no_body;
    bool head_done;
    bool judged;
    bool other;
    bool complete;
    bool surplus;
    bool keep;
    int64_t keep_ms;
    int64_t idle_since_ms;
    uint32_t events;
};

/**
 * struct relay_target - a target with the connections to it
 * @idle: handles of idle connections, the last used at the end
 * @pauses: between events of its streams, since the last note
 * @pause_ms: their sum
 * @heard_pauses: of other instances, since the last note
 * @heard_pause_ms: their sum
 * @told: requests there by the last note
 * @orders: orders that it had accepted when the holder last told of it
 * @holdings_ms: when that was
 */
struct relay_target {
    struct target_record choose;
    struct handle self;
    GArray *idle;
    int connections;
    uint64_t id_hash;
    int pauses;
    int64_t pause_ms;
    int heard_pauses;
    int64_t heard_pause_ms;
    int told;
    int64_t orders;
    int64_t holdings_ms;
};

enum relay_message_kind {
    RELAY_CONFIG,
    RELAY_CHANGE,
    RELAY_LISTED,
    RELAY_HOLDINGS,
    RELAY_ACTIVITY,
    RELAY_SUM,
    RELAY_OUTLOOK,
    RELAY_MEMBERS,
};

/* The receiver owns @data. */
struct relay_message {
    enum relay_message_kind kind;
    void *data;
};

/* What another instance told of its requests. */
struct peer_load {
    int64_t heard_ms;
    struct activity *activity;
};

/* When an item can be used, as the holder of orders last told. */
struct expectation {
    int64_t heard_ms;
    int64_t ready_ms;
    bool coming;
};

struct relay {
    struct duty duty;
    const struct gate_settings *settings;
    struct dialect *dialect;
    struct relay_port *port;
    uint64_t self_id;
    int epoll_fd;
    int wake_fd;
    atomic_bool stopping;
    atomic_bool leave_asked;
    struct ring ring;
    struct heap timers;
    int listeners[LISTENERS];
    int ports[LISTENERS];
    int64_t accept_again_ms;
    struct table clients;
    struct table exchanges;
    struct table upstreams;
    struct table targets;
    GHashTable *target_ids;    /* id -> handle */
    GHashTable *target_hashes; /* hash of the id -> handle */
    GHashTable *queues;        /* key -> GQueue of handles */
    GHashTable *woken;         /* keys of queues to be looked at */
    GHashTable *budgets;       /* service name -> struct retry_budget */
    GHashTable *loads;         /* instance -> struct peer_load */
    int64_t sum_ms;            /* when a sum was last heard */
    int sum_instances;         /* that it covered */
    GHashTable *arrivals;      /* item -> count since the last note */
    GHashTable *outlook;       /* item -> struct expectation */
    struct gate_config *config;
    bool listed;
    GArray *members;
    struct instance_counts sharers;
    bool leaving;
    int64_t leave_ms;
    int64_t note_ms;
    int64_t regular_note_ms;
    bool note_now;
    uint64_t random;
    unsigned char buffer[READ_BYTES];
};

/* relay.c */
uint64_t relay_random(struct relay *relay);
bool relay_watch(struct relay *relay, int operation, int fd, uint32_t events,
                 enum watch_kind kind, struct handle handle);
int relay_heard(const struct relay *relay);
int relay_instances(struct relay *relay, int64_t now_ms);
void relay_wake(struct relay *relay);

/* head.c */
void head_init(struct head *head);
void head_clear(struct head *head);
void head_reset(struct head *head);
bool head_name(struct head *head, const char *bytes, size_t count);
bool head_value(struct head *head, const char *bytes, size_t count);
void head_start(struct head *head, const char *bytes, size_t count);
void head_end(struct head *head);
const char *head_start_text(const struct head *head);
int head_count(const struct head *head);
const char *head_field_name(const struct head *head, int index);
const char *head_field_value(const struct head *head, int index);
const char *head_find(const struct head *head, const char *name);
bool head_is_hop_field(const struct head *head, const char *name);

/* client.c */
void client_accept(struct relay *relay, enum listener_kind kind,
                   int64_t now_ms);
void client_event(struct relay *relay, struct client *client, uint32_t events,
                  int64_t now_ms);
void client_timer(struct relay *relay, struct client *client, int64_t now_ms);
void client_close(struct relay *relay, struct client *client);
void client_write(struct relay *relay, struct client *client,
                  const void *bytes, size_t count, int64_t now_ms);
void client_answered(struct relay *relay, struct client *client,
                     int64_t now_ms);

/* local.c */
void local_call(struct relay *relay, struct client *client, int64_t now_ms);

/* exchange.c */
void exchange_start(struct relay *relay, struct client *client,
                    int64_t now_ms);
void exchange_dispatch(struct relay *relay, struct exchange *exchange,
                       int64_t now_ms);
void exchange_cancel(struct relay *relay, struct exchange *exchange,
                     int64_t now_ms);
void exchange_end_all(struct relay *relay, bool queued, int64_t now_ms);
void exchange_timer(struct relay *relay, struct exchange *exchange,
                    int64_t now_ms);
void exchange_finish(struct relay *relay, struct exchange *exchange,
                     int64_t now_ms);
void exchange_set_timer(struct relay *relay, struct exchange *exchange);
int exchange_urgency(const struct exchange *exchange);

/* result.c */
void result_unreachable(struct relay *relay, struct exchange *exchange,
                        int64_t now_ms);
bool result_head(struct relay *relay, struct exchange *exchange,
                 struct upstream *upstream, int64_t now_ms);
bool result_body(struct relay *relay, struct exchange *exchange,
                 const unsigned char *bytes, size_t count, int64_t now_ms);
void result_complete(struct relay *relay, struct exchange *exchange,
                     int64_t now_ms);
void result_broken(struct relay *relay, struct exchange *exchange,
                   const char *cause, int64_t now_ms);

/* refuse.c */
void refuse(struct relay *relay, struct exchange *exchange, enum err_kind kind,
            int64_t retry_ms, int64_t now_ms);
void refuse_client(struct relay *relay, struct client *client, int status,
                   const char *reason, int64_t now_ms);

/* answer.c */
void answer_init(struct answer *answer);
void answer_clear(struct answer *answer);
void answer_take_head(struct answer *answer, struct relay *relay,
                      const struct upstream *upstream);
void answer_begin(struct relay *relay, struct exchange *exchange,
                  int64_t length, int64_t now_ms);
void answer_body(struct relay *relay, struct exchange *exchange,
                 const void *bytes, size_t count, int64_t now_ms);
void answer_end(struct relay *relay, struct exchange *exchange,
                int64_t now_ms);

/* events.c */
void events_init(struct event_reader *reader, int64_t last);
void events_clear(struct event_reader *reader);
void events_restart(struct event_reader *reader);
size_t events_add(struct event_reader *reader, const void *bytes, size_t count,
                  GString *whole);

/* queue.c */
void queue_init(struct relay *relay);
void queue_clear(struct relay *relay);
void queue_add(struct relay *relay, struct exchange *exchange);
void queue_remove(struct relay *relay, struct exchange *exchange);
uint64_t queue_key(const char *service, uint32_t item);
void queue_wake_target(struct relay *relay, const struct relay_target *target);
void queue_run(struct relay *relay, int64_t now_ms);

/* hope.c */
void hope_learn(struct relay *relay, const struct outlook *outlook,
                int64_t now_ms);
int64_t hope_look_ms(const struct exchange *exchange);
bool hope_is_gone(struct relay *relay, const struct exchange *exchange,
                  int64_t now_ms, int64_t *retry_ms);

/* upstream.c */
struct upstream *upstream_take(struct relay *relay,
                               struct relay_target *target, bool repeatable,
                               int64_t now_ms);
void upstream_send(struct relay *relay, struct upstream *upstream,
                   struct exchange *exchange, int64_t now_ms);
void upstream_event(struct relay *relay, struct upstream *upstream,
                    uint32_t events, int64_t now_ms);
void upstream_timer(struct relay *relay, struct upstream *upstream,
                    int64_t now_ms);
void upstream_drop(struct relay *relay, struct upstream *upstream);
void upstream_release(struct relay *relay, struct upstream *upstream);
void upstream_detach(struct relay *relay, struct upstream *upstream);
void upstream_broken(struct relay *relay, struct upstream *upstream,
                     const char *reason, int64_t now_ms);
void upstream_become_idle(struct relay *relay, struct upstream *upstream,
                          int64_t now_ms);
void upstream_pause(struct relay *relay, struct upstream *upstream,
                    bool paused);

/* reply.c */
void reply_start(struct upstream *upstream);
void reply_parse(struct relay *relay, struct upstream *upstream,
                 const unsigned char *bytes, size_t count, int64_t now_ms);
void reply_closed(struct relay *relay, struct upstream *upstream,
                  int64_t now_ms);

/* target.c */
struct relay_target *target_find(struct relay *relay, const char *id);
struct relay_target *target_pick(struct relay *relay,
                                 const struct request_needs *need,
                                 int64_t now_ms);
bool target_any(struct relay *relay, const struct request_needs *need);
void target_change(struct relay *relay, const struct target_change *change,
                   int64_t now_ms);
void target_holdings(struct relay *relay, const struct holdings *holdings,
                     int64_t now_ms);
void target_activity(struct relay *relay, struct activity *activity,
                     int64_t now_ms);
void target_forget_loads(struct relay *relay, int64_t now_ms);
void target_sum(struct relay *relay, struct activity *activity,
                int64_t now_ms);

/* note.c */
void note_arrival(struct relay *relay, const struct exchange *exchange);
void note_send(struct relay *relay, int64_t now_ms);

#endif
