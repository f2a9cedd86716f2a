#ifndef RELAY_INTERNAL_H
#define RELAY_INTERNAL_H

#include <stdatomic.h>

struct run_lengths;
struct spend;
struct spend_team;
struct quota_grant;
struct stop_decision;
struct wait_decision;

enum {
    READ_BUFFER_BYTES = 16 * 1024,
    /* Reading from the target stops while its caller has this much output
     * to read, which bounds the instance's memory. */
    OUTPUT_PAUSE_BYTES = 256 * 1024,
    BUFFERED_BODY_MAX_BYTES = 256 * 1024,
    PENDING_MAX_BYTES = 64 * 1024,
    RELAY_RING_MESSAGES = 8192,
    EXCHANGES_MAX = 8192,
    SENT_ON_MAX = 16, /* a request that was sent more often gets new ones */
    /* A longer event is no event of a target: reading it would take memory
     * without end. */
    EVENT_MAX_BYTES = 256 * 1024,
    /* The configuration is read within a few hundred ms of the start. Until
     * then the kernel keeps callers' connections, as no request could be
     * routed; after it they are refused. */
    FRONT_HOLD_MS = 400,
    /* Connections that were accepted last have sent their request by then. */
    DRAIN_READ_MS = 200,
};

/* Kinds of descriptors, in the top byte of epoll's data. */
enum watch_kind {
    WATCH_WAKE = 1,
    WATCH_LISTENER,
    WATCH_CLIENT,
    WATCH_UPSTREAM,
};

/* Times after which the caller of a refused request may return. */
enum {
    BUDGET_RETRY_MS = 500, /* a part of the budget's window has passed */
    DRAIN_RETRY_MS = 50,   /* at another instance */
};

enum timer_kind { TIMER_CLIENT = 1, TIMER_EXCHANGE, TIMER_UPSTREAM };

enum listener_kind {
    LISTEN_FRONT,
    LISTEN_READY,
    LISTEN_LOOKUP,
    LISTEN_METRICS,
    LISTENER_COUNT
};

/* Offsets of a header field in the text of its head; both strings end with a
 * NUL byte. */
struct head_field {
    uint32_t name;
    uint32_t value;
};

/**
 * struct head - start line and header fields of a message being parsed
 * @text: request target or reason phrase, then names and values of the
 * fields, each ended by a NUL byte
 * @fields: struct head_field
 * @value_started: the parser delivered a part of a value last
 */
struct head {
    GString *text;
    GArray *fields;
    bool value_started;
    bool incomplete;
};

/**
 * struct output - bytes that wait to be written, in blocks
 * @first: the block that is written next, from @start; NULL for none
 * @last: the block that is filled
 * @start: bytes of @first that are written
 * @waiting: bytes that are not written
 * @held: memory of the blocks in bytes, without what is shared
 */
struct output {
    struct output_block *first;
    struct output_block *last;
    size_t start;
    size_t waiting;
    size_t held;
};

/**
 * struct reading_progress - a request that is being read
 * @start_ms: when its first byte arrived
 * @head_end_ms: when its head was complete; 0 before
 * @body_bytes: bytes of its body so far
 */
struct reading_progress {
    int64_t start_ms;
    int64_t head_end_ms;
    size_t body_bytes;
};

/**
 * struct client_memory - memory that a caller's connection takes
 * @charge: bytes that it takes in the account
 * @reserved: bytes that the request being read may take; 0 before it was
 * admitted
 * @paused_ms: since when the request is not read for lack of memory; 0 while
 * it is
 * @pause_max_ms: how long it may be left unread
 * @read_on: bytes of a response that may wait beyond the limit
 */
struct client_memory {
    size_t charge;
    size_t reserved;
    int64_t paused_ms;
    int64_t pause_max_ms;
    size_t read_on;
};

/**
 * struct memory_account - memory that all callers' connections take
 * @bound: most bytes that they may take
 * @charged: bytes that they take
 * @paused: handles of connections that are not read, the first paused first
 * @room_freed: some connection takes less than before
 * @answers_stopped: some response is not read because of the bound
 * @answers_waiting: some response is not read
 * @read_on_ms: when such responses are read on; 0 while there is none
 * @refusing: requests are refused
 * @refused: since the refusing began
 * @last_refusal_ms: when one was last refused
 */
struct memory_account {
    size_t bound;
    size_t charged;
    GArray *paused;
    bool room_freed;
    bool answers_stopped;
    bool answers_waiting;
    int64_t read_on_ms;
    bool refusing;
    int refused;
    int64_t last_refusal_ms;
};

/**
 * struct client - connection of a caller
 * @listener: listener that accepted it
 * @head: of the request that is being read
 * @body: of the request that is being read
 * @pending: bytes received after the request in progress
 * @output: bytes to be written
 * @exchange: the request in progress; generation 0 for none
 * @request_started: bytes of a request were read that is not answered yet
 * @head_complete: its head was read completely
 * @request_complete: a request was read completely
 * @reading: how long it has taken to arrive
 * @memory: what it takes in the account
 * @closing: nothing more is read; closed when @output is written
 * @idle_since_ms: when the connection became idle, if it is
 * @announced_idle_ms: idle time by which its caller goes; 0 for none
 * @discard_left: bytes of a refused request that are still read and dropped,
 * so that its caller gets the response instead of a reset
 * @discard_end_ms: when that ends
 */
struct client {
    struct timer timer;
    struct handle self;
    int fd;
    enum listener_kind listener;
    http_parser parser;
    struct head head;
    GByteArray *body;
    GByteArray *pending;
    struct output output;
    struct handle exchange;
    bool request_started;
    bool head_complete;
    bool request_complete;
    struct reading_progress reading;
    struct client_memory memory;
    bool keep_alive;
    bool closing;
    int64_t idle_since_ms;
    int64_t announced_idle_ms;
    size_t discard_left;
    int64_t discard_end_ms;
    uint32_t epoll_events;
};

enum exchange_stage {
    STAGE_WAITING,    /* no target has the request */
    STAGE_SENT,       /* the target has not sent a response head yet */
    STAGE_FORWARDING, /* the response is forwarded to the caller */
};

/**
 * struct event_reader - splits an event stream into events
 * @partial: bytes of the incomplete event
 * @scanned: bytes of @partial known not to contain its end
 * @last_id: id of the last event forwarded; -1 before the first
 * @run_id: id of the last event of the run; -1 before the first
 * @verdict: on the last event of the run
 */
struct event_reader {
    GString *partial;
    size_t scanned;
    int64_t last_id;
    int64_t run_id;
    enum event_verdict verdict;
};

/* How the end of a body is marked. */
enum body_framing { FRAMED_BY_LENGTH, FRAMED_IN_CHUNKS, FRAMED_BY_CLOSE };

/**
 * struct answer - response that is forwarded or buffered
 * @head: status line and header fields for the caller, without framing
 * @body: buffered until the response is complete, except for event streams
 * @scan: search for another response in the body, which is no stream
 * @content_length: length that the target announced; -1 for none
 * @framing: of the last response to it
 * @body_type: type of the last response to it
 * @head_sent: the head was sent to the caller
 * @chunked: the body is sent to the caller in chunks
 */
struct answer {
    int status;
    GString *head;
    GByteArray *body;
    struct body_scan scan;
    int64_t content_length;
    enum body_framing framing;
    enum body_type body_type;
    bool head_sent;
    bool chunked;
};

/**
 * struct exchange - a caller's request until its final response
 * @sent_on: connections that it was sent on
 * @target: the target that it was last sent to
 * @sends: times that it was sent to a target
 * @runs: of these, times that it may have run
 * @resumes: runs that resumed a stream
 * @rejects: times that a target rejected it without running it
 * @connect_failures: times that no connection to a target could be made
 * @deadline_ms: when the final response is due
 * @last_progress_ms: when it was last queued or sent, or a part of its
 * response arrived
 * @stayed_since_ms: the silence since then is in the log; 0 for none
 * @last_event_ms: when the last event was forwarded
 * @longest_interval_ms: longest interval between events so far
 * @goal_due_ms: latest start that meets its latency goal, as far as is known
 * @last_start_ms: latest start from which its caller gets the whole answer
 * @size_class: enum size_class
 * @entered: it counts in the shares of what is served
 * @served: its caller has got the whole answer
 * @protected: too few of its like are served
 * @work_ms: how long its answer is expected to run; 0 when unknown
 * @queued: it waits in the queue with the key @queue_key
 * @pausing: it is a begun stream that waits in no queue to be sent again
 * @fingerprint: hash of the request, the same when a caller repeats it
 * @run_events: events of the present run
 * @run_began_ms: when the first of them, or byte of a body, was read; 0 for
 * not yet
 * @run_resumed: it goes on where another run has ended
 * @run_survived: its target has survived the present run's beginning
 * @probe_key: trait of a verdict that the request may have, to see whether it
 * still crashes targets; 0 for none
 * @team: of its key, in @config; NULL for none
 * @priority: of its team or its route; 0 is the highest
 * @quota: of its team; NULL for no limit
 * @quota_units: that it counts as
 * @quota_ms: when they were spent; 0 for not yet, or no longer
 * @quota_waiting: it waits for a grant, in no queue for a target
 */
struct exchange {
    struct timer timer;
    struct handle self;
    struct handle client;
    struct handle upstream;
    struct handle target;
    struct gate_config *config;
    const struct gate_route *route;
    const struct gate_service *service;
    int service_index;
    struct request_meta meta;
    struct request_needs needs;
    int method;
    char *path;
    GString *header_fields;
    GBytes *body;
    enum exchange_stage stage;
    struct handle sent_on[SENT_ON_MAX];
    int sent_on_count;
    int sends;
    int runs;
    int resumes;
    int rejects;
    int connect_failures;
    bool is_head_request;
    int64_t arrived_ms;
    int64_t deadline_ms;
    int64_t sent_ms;
    int64_t first_byte_ms;
    int64_t last_progress_ms;
    int64_t stayed_since_ms;
    int64_t last_event_ms;
    int64_t longest_interval_ms;
    struct answer answer;
    struct event_reader events;
    int64_t goal_due_ms;
    int64_t last_start_ms;
    double work_ms;
    int size_class;
    bool entered;
    bool served;
    bool protected;
    bool queued;
    bool pausing;
    uint64_t queue_key;
    uint64_t fingerprint;
    int run_events;
    int64_t run_began_ms;
    bool run_resumed;
    bool run_survived;
    uint64_t probe_key;
    const struct gate_team *team;
    int priority;
    struct spend_team *quota;
    int64_t quota_units;
    int64_t quota_ms;
    bool quota_waiting;
};

/**
 * struct upstream - connection to a target
 * @target: the target
 * @peer: the target when the connection was made, also after it is removed
 * @connected: the connection is established
 * @paused: reading is stopped while the caller's output is full
 * @body: part of the body that was parsed but not yet forwarded
 * @request_count: requests that were sent on it
 * @tokens: prompt and maximum output of the current request
 * @framing: of the current response
 * @no_body: the request's response has no body, whatever its length says
 * @status_kind: of the head that was read last
 * @interim_count: interim responses to the current request
 * @head_handled: the head of the current response was acted on
 * @discarding: the current response belongs to another request, or its request
 * was detached
 * @has_extra_bytes: bytes arrived after the response
 */
struct upstream {
    struct timer timer;
    struct handle self;
    struct handle target;
    struct target_identity peer;
    int fd;
    bool connected;
    bool paused;
    http_parser parser;
    struct head head;
    GByteArray *body;
    struct answer_meta meta;
    struct output output;
    struct handle exchange;
    int request_count;
    int64_t tokens;
    enum body_framing framing;
    bool no_body;
    enum status_kind status_kind;
    int interim_count;
    bool head_complete;
    bool head_handled;
    bool discarding;
    bool answer_complete;
    bool has_extra_bytes;
    bool keep_alive;
    int64_t keep_alive_ms;
    int64_t idle_since_ms;
    uint32_t epoll_events;
};

/**
 * struct relay_target - a target with the connections to it
 * @idle: handles of idle connections, the last used at the end
 * @interval_count: number of event intervals of this instance's streams since
 * the last periodic report
 * @interval_sum_ms: sum of these intervals
 * @peer_interval_count: number of event intervals that other instances
 * reported since then
 * @peer_interval_sum_ms: sum of these intervals
 * @reported_running: requests there in the last report
 * @reported_tokens: their tokens
 * @known_tokens: fewest tokens in the reports of the last and the present span
 * of KNOWN_SPAN_MS, of which the others know at least that many
 * @span_tokens: fewest in those of the present span, since @span_start_ms
 * @order_sequence: orders that it had accepted at the last holdings message
 * @holdings_received_ms: when that message arrived; 0 for never
 * @doubt_ms: when it ended a connection before its answer, which may be a
 * crash; 0 for never
 * @asked_ms: when a connection was last made to see if it is there
 */
struct relay_target {
    struct target_record record;
    struct handle self;
    GArray *idle;
    int connections;
    uint64_t id_hash;
    int interval_count;
    int64_t interval_sum_ms;
    int peer_interval_count;
    int64_t peer_interval_sum_ms;
    int reported_running;
    int64_t reported_tokens;
    int64_t known_tokens;
    int64_t span_tokens;
    int64_t span_start_ms;
    int64_t order_sequence;
    int64_t holdings_received_ms;
    int64_t doubt_ms;
    int64_t asked_ms;
};

enum relay_message_kind {
    RELAY_CONFIG,
    RELAY_TARGET_CHANGE,
    RELAY_TARGETS_LISTED,
    RELAY_HOLDINGS,
    RELAY_ACTIVITY,
    RELAY_ACTIVITY_TOTAL,
    RELAY_FORECAST,
    RELAY_MEMBERS,
    RELAY_CRASHES,
    RELAY_CONFIRMED,
    RELAY_QUOTA_GRANT,
    RELAY_HOLDER,
};

/* The receiver owns @data. */
struct relay_message {
    enum relay_message_kind kind;
    void *data;
};

/**
 * struct admission - first part of the decision on a request
 * @refusal: why it is refused; ERR_NONE while it isn't
 * @retry_ms: after which its caller may try again; 0 for no advice
 * @too_many_tokens: no engine has room for it
 */
struct admission {
    enum err_kind refusal;
    int64_t retry_ms;
    bool too_many_tokens;
};

/**
 * struct quota_view - what its quota would mean for a request that comes now
 * @limited: its team has a quota; the rest is only valid then
 * @refusal: why it would be refused; ERR_NONE when it would not
 * @retry_ms: when refused, the time after which its caller may try again
 * @waits: it would wait for a grant
 * @units: that it counts as
 * @left: units that this instance may spend without a message
 * @rate_per_s: of the team, over all instances
 * @burst: units beyond the rate
 * @waiting: requests of the team that wait for a grant
 * @grant_age_ms: of the last grant; -1 for none
 * @room_ms: time until the holder expects room; -1 when it expects none
 */
struct quota_view {
    bool limited;
    enum err_kind refusal;
    int64_t retry_ms;
    bool waits;
    int64_t units;
    int64_t left;
    double rate_per_s;
    double burst;
    int waiting;
    int64_t grant_age_ms;
    int64_t room_ms;
};

/**
 * enum target_test - tests that a target must pass, in this order
 * @TEST_SERVES: it is of the service, stays, holds the items, was not tried
 * @TEST_BACKOFF: connections to it don't fail
 * @TEST_CAPACITY: it has a place
 * @TEST_MEMORY: it has memory for the tokens
 * @TEST_PAUSE: it wants requests
 * @TEST_HOLD_OFF: the answer would probably end in time
 */
enum target_test {
    TEST_SERVES,
    TEST_BACKOFF,
    TEST_CAPACITY,
    TEST_MEMORY,
    TEST_PAUSE,
    TEST_HOLD_OFF,
    TARGET_TEST_COUNT
};

/* Last activity report of another instance. */
struct peer_report {
    int64_t received_ms;
    struct activity_report *report;
};

/* Last forecast for an item from the lease holder. */
struct known_forecast {
    int64_t received_ms;
    int64_t ready_ms;
    bool expected;
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
    atomic_bool drain_requested;
    struct ring ring;
    struct heap timers;
    int listeners[LISTENER_COUNT];
    int ports[LISTENER_COUNT];
    bool front_open;          /* callers' connections are accepted */
    int64_t first_event_ms;   /* when the event loop started; 0 before */
    int64_t accept_resume_ms; /* 0 while the listeners are watched */
    int64_t last_accept_ms;   /* when the listener was closed by a drain */
    struct table clients;
    struct table exchanges;
    struct table upstreams;
    struct table targets;
    struct memory_account memory;
    GHashTable *target_ids;    /* id -> handle */
    GHashTable *target_hashes; /* hash of the id -> handle */
    GHashTable *queues;        /* key -> GQueue of handles */
    GHashTable *paces;         /* key -> struct queue_pace */
    GHashTable *marked_queues; /* keys of queues to be dispatched */
    int places_since_overdue;  /* given since an overdue request got one */
    GHashTable *retry_budgets; /* service name -> struct retry_budget */
    GHashTable *peer_reports;  /* instance -> struct peer_report */
    int64_t total_received_ms; /* when a total last arrived */
    int total_instance_count;  /* instances in that total */
    GHashTable *arrivals;      /* item -> count since the last report */
    GHashTable *forecasts;     /* item -> struct known_forecast */
    GHashTable *run_lengths;   /* kind or service -> struct run_lengths */
    GHashTable *finishes;      /* route or service -> struct finish_history */
    GHashTable *served_shares; /* key -> struct served_share */
    GHashTable *kind_sizes;    /* route -> struct kind_sizes */
    GHashTable *leaving;       /* id -> struct leaving_notice */
    GHashTable *pauses;        /* id -> struct pause_notice */
    int64_t pause_due_ms;      /* when pause_work() is due; 0 for never */
    struct gate_config *config;
    /* By how much clock_boot_ms() is ahead of the time of events. */
    int64_t boot_offset_ms;
    struct key_lease key_lease;
    bool accepts_keys; /* as it was last logged and reported */
    struct spend *spend;
    GQueue quota_waiting; /* handles, the longest waiting first */
    bool targets_listed;
    GArray *members;
    struct instance_counts instance_counts;
    bool draining;
    int64_t drain_started_ms;
    bool drained; /* the process may end, and has been told so */
    int64_t last_report_ms;
    int64_t last_periodic_report_ms;
    bool report_soon;
    struct crash_watch *crashes; /* owned */
    int64_t event_ms;            /* time of the events being handled */
    int64_t crash_check_ms;      /* when a doubt is to be looked at */
    bool crash_news;             /* evidence or verdicts have changed */
    uint64_t random_state;
    unsigned char buffer[READ_BUFFER_BYTES];
};

/* relay.c */
uint64_t relay_random(struct relay *relay);
bool relay_epoll_ctl(struct relay *relay, int operation, int fd,
                     uint32_t events, enum watch_kind kind,
                     struct handle handle);
int64_t relay_boot_ms(const struct relay *relay, int64_t now_ms);
int relay_reporting_count(const struct relay *relay);
int relay_budget_instances(struct relay *relay, int64_t now_ms);
void relay_wake(struct relay *relay);
void relay_stop_listening(struct relay *relay, enum listener_kind kind);
void relay_pause_accepting(struct relay *relay, int64_t resume_ms);
struct epoll_event;
bool relay_handle_events(struct relay *relay, const struct epoll_event *events,
                         int count, int64_t now_ms);

/* due.c */
int64_t report_period_ms(const struct relay *relay);
int64_t report_due_ms(const struct relay *relay);
int64_t relay_next_due_ms(const struct relay *relay, int64_t now_ms);

/**
 * struct drain_schedule - steps of a planned stop, from its start
 * @admit_ms: requests are sent to targets until then
 * @accept_ms: connections are accepted until then
 * @refuse_queued_ms: then requests that wait are refused
 * @refuse_all_ms: then all requests are refused
 * @exit_ms: then the process ends, whatever is left
 */
struct drain_schedule {
    int64_t admit_ms;
    int64_t accept_ms;
    int64_t refuse_queued_ms;
    int64_t refuse_all_ms;
    int64_t exit_ms;
};

/* drain.c */
struct drain_schedule drain_schedule(int64_t grace_ms);
bool drain_admits(const struct relay *relay, int64_t now_ms);
struct stop_decision drain_decide(struct relay *relay,
                                  const struct exchange *exchange,
                                  const struct relay_target *target,
                                  int64_t wait_ms, int64_t now_ms);
void drain_start(struct relay *relay, int64_t now_ms);
bool drain_continue(struct relay *relay, int64_t now_ms);
int64_t drain_due_ms(const struct relay *relay, int64_t now_ms);

/* reading.c */
int64_t reading_due_ms(const struct reading_progress *progress,
                       int64_t timeout_ms);

/* head.c */
void head_init(struct head *head);
void head_clear(struct head *head);
void head_reset(struct head *head);
bool head_add_name(struct head *head, const char *bytes, size_t count);
bool head_add_value(struct head *head, const char *bytes, size_t count);
void head_add_start(struct head *head, const char *bytes, size_t count);
void head_finish(struct head *head);
const char *head_start_text(const struct head *head);
int head_field_count(const struct head *head);
const char *head_field_name(const struct head *head, int index);
const char *head_field_value(const struct head *head, int index);
const char *head_find_value(const struct head *head, const char *name);
bool head_is_encoded(const struct head *head);
bool head_is_hop_by_hop(const struct head *head, struct dialect *dialect,
                        const char *name);
bool head_is_joined(const struct head *head);

/* output.c */
void output_clear(struct output *output);
void output_append(struct output *output, const void *bytes, size_t count);
void output_append_shared(struct output *output, GBytes *bytes);
bool output_flush(struct output *output, int fd);

/* account.c */
void account_init(struct relay *relay);
void account_clear(struct relay *relay);
void account_settle(struct relay *relay, struct client *client);
void account_settle_upstream(struct relay *relay,
                             const struct upstream *upstream);
void account_remove(struct relay *relay, struct client *client);
bool account_stops_answer(struct relay *relay, const struct client *client);
size_t account_buffered_max(const struct relay *relay);
bool account_admits(struct relay *relay, struct client *client,
                    int64_t now_ms);
void account_read_on(struct relay *relay, struct client *client,
                     int64_t now_ms);
void account_request_ended(struct client *client);
void account_work(struct relay *relay, int64_t now_ms);

/* client.c */
void client_resume(struct relay *relay, struct client *client, int64_t now_ms);
int64_t client_announced_bytes(const struct client *client);
void client_discard_rest(struct client *client, int64_t now_ms);
void client_update_pause(struct relay *relay, const struct client *client);
void client_accept(struct relay *relay, enum listener_kind kind,
                   int64_t now_ms);
void client_handle_event(struct relay *relay, struct client *client,
                         uint32_t events, int64_t now_ms);
void client_handle_timer(struct relay *relay, struct client *client,
                         int64_t now_ms);
void client_close(struct relay *relay, struct client *client, int64_t now_ms);
void client_write_persistence(struct relay *relay, struct client *client,
                              GString *text);
void client_write(struct relay *relay, struct client *client,
                  const void *bytes, size_t count, int64_t now_ms);
void client_exchange_done(struct relay *relay, struct client *client,
                          int64_t now_ms);

/* local.c */
bool member_is_stopping(const struct relay *relay,
                        const struct gate_member *member);
bool member_is_self(const struct relay *relay,
                    const struct gate_member *member);
void local_serve(struct relay *relay, struct client *client, int64_t now_ms);

/* exchange.c */
struct admission exchange_check(struct relay *relay, struct exchange *exchange,
                                const char *host, int team, int64_t now_ms);
enum err_kind exchange_refusal_kind(const struct exchange *exchange,
                                    const struct wait_decision *decision);
bool exchange_is_used_up(const struct exchange *exchange);
void exchange_start(struct relay *relay, struct client *client,
                    int64_t now_ms);
void exchange_begin(struct relay *relay, struct exchange *exchange,
                    int64_t now_ms);
void exchange_dispatch(struct relay *relay, struct exchange *exchange,
                       int64_t now_ms);
void exchange_cancel(struct relay *relay, struct exchange *exchange,
                     int64_t now_ms);
void exchange_refuse_all(struct relay *relay, bool queued, int64_t now_ms);
void exchange_handle_timer(struct relay *relay, struct exchange *exchange,
                           int64_t now_ms);
void exchange_finish(struct relay *relay, struct exchange *exchange,
                     int64_t now_ms);
void exchange_set_timer(struct relay *relay, struct exchange *exchange);
int exchange_urgency(const struct exchange *exchange);

/* result.c */
void result_unreachable(struct relay *relay, struct exchange *exchange,
                        int64_t now_ms);
bool result_is_stream(const struct exchange *exchange);
bool result_head(struct relay *relay, struct exchange *exchange,
                 struct upstream *upstream, int64_t now_ms);
bool result_body(struct relay *relay, struct exchange *exchange,
                 const unsigned char *bytes, size_t count, int64_t now_ms);
enum answer_fault result_fault(const struct exchange *exchange);
void result_not_whole(struct relay *relay, struct exchange *exchange,
                      enum answer_fault fault, int64_t now_ms);
void result_complete(struct relay *relay, struct exchange *exchange,
                     int64_t now_ms);
void result_aborted(struct relay *relay, struct exchange *exchange,
                    const char *event, int64_t now_ms);

/* refuse.c */
int refusal_status(enum err_kind kind, bool may_have_run);
void refuse(struct relay *relay, struct exchange *exchange, enum err_kind kind,
            int64_t retry_ms, int64_t now_ms);
void refuse_for_memory(struct relay *relay, struct client *client,
                       int64_t retry_ms, int64_t now_ms);
void refuse_client(struct relay *relay, struct client *client, int status,
                   const char *reason, int64_t now_ms);

/* answer.c */
void answer_init(struct answer *answer);
void answer_clear(struct answer *answer);
enum body_type answer_body_type(const struct head *head);
void answer_copy_head(struct answer *answer, struct relay *relay,
                      const struct upstream *upstream);
void answer_send_head(struct relay *relay, struct exchange *exchange,
                      int64_t body_bytes, int64_t now_ms);
void answer_send_body(struct relay *relay, struct exchange *exchange,
                      const void *bytes, size_t count, int64_t now_ms);
void answer_end(struct relay *relay, struct exchange *exchange,
                int64_t now_ms);

/* events.c */
void events_init(struct event_reader *reader, int64_t last_id);
void events_clear(struct event_reader *reader);
void events_restart(struct event_reader *reader);
size_t events_read(struct event_reader *reader, const void *bytes,
                   size_t count, GString *whole);
bool events_broken(const struct event_reader *reader);
bool events_cut_off(const struct event_reader *reader);

struct wait_decision;
struct wait_facts;
struct queue_pace;

/* queue.c */
void queue_init(struct relay *relay);
void queue_clear(struct relay *relay);
void queue_add(struct relay *relay, struct exchange *exchange);
void queue_remove(struct relay *relay, struct exchange *exchange);
void queue_take(struct relay *relay, struct exchange *exchange,
                int64_t now_ms);
int queue_ahead(struct relay *relay, const struct exchange *exchange,
                int64_t now_ms);
struct queue_pace *queue_pace_of(struct relay *relay,
                                 const struct exchange *exchange,
                                 int64_t now_ms);
struct queue_pace queue_peek_pace(struct relay *relay,
                                  const struct exchange *exchange,
                                  int64_t now_ms);
int queue_waiting_count(const struct relay *relay,
                        const struct exchange *exchange);
uint64_t queue_key(const char *service, uint32_t item);
void queue_mark_target(struct relay *relay, const struct relay_target *target);
void queue_mark(struct relay *relay, const struct exchange *exchange);
bool queue_has_marked(const struct relay *relay);
void queue_dispatch_marked(struct relay *relay, int64_t now_ms);

/* team.c */
void team_update(struct relay *relay, int64_t now_ms);
int64_t team_due_ms(const struct relay *relay, int64_t now_ms);
bool team_accepts_keys(const struct relay *relay, int64_t now_ms);
int team_by_key(const struct gate_config *config,
                const struct request_meta *meta);
int team_by_name(const struct gate_config *config, const char *name);
enum err_kind team_admit(struct relay *relay, struct exchange *exchange,
                         int team, int64_t now_ms);
bool team_refuses(struct relay *relay, struct exchange *exchange,
                  int64_t now_ms);
void team_apply_config(struct relay *relay, int64_t now_ms);
void team_confirm(struct relay *relay, const struct confirmation *confirmation,
                  int64_t now_ms);
int64_t team_retry_ms(struct relay *relay);

/* quota.c */
void quota_init(struct relay *relay);
void quota_clear(struct relay *relay);
struct quota_view quota_peek(struct relay *relay,
                             const struct exchange *exchange, int64_t now_ms);
bool quota_admit(struct relay *relay, struct exchange *exchange,
                 int64_t now_ms);
void quota_end(struct relay *relay, struct exchange *exchange, int64_t now_ms);
void quota_handle_timer(struct relay *relay, struct exchange *exchange,
                        int64_t now_ms);
void quota_apply_config(struct relay *relay, int64_t now_ms);
void quota_apply_members(struct relay *relay, int64_t now_ms);
void quota_apply_holder(struct relay *relay);
void quota_apply_grant(struct relay *relay, const struct quota_grant *grant,
                       int64_t now_ms);
int64_t quota_due_ms(const struct relay *relay, int64_t now_ms);
void quota_work(struct relay *relay, int64_t now_ms);

/* fairness.c */
void fairness_init(struct relay *relay);
void fairness_clear(struct relay *relay);
void fairness_peek(const struct relay *relay, struct exchange *exchange);
void fairness_enter(struct relay *relay, struct exchange *exchange);
void fairness_leave(struct relay *relay, const struct exchange *exchange,
                    int64_t now_ms);
bool fairness_decide(struct relay *relay, const struct exchange *exchange);

/* lengths.c */
void lengths_init(struct relay *relay);
void lengths_clear(struct relay *relay);
const struct run_lengths *lengths_of(struct relay *relay,
                                     const struct exchange *exchange,
                                     int64_t now_ms);
void lengths_describe_finish(struct relay *relay, struct exchange *exchange,
                             int64_t now_ms);
void lengths_record(struct relay *relay, const struct exchange *exchange,
                    int64_t now_ms);

/* forecast.c */
void forecast_store(struct relay *relay, const struct load_forecast *forecast,
                    int64_t now_ms);
int64_t forecast_check_delay_ms(const struct exchange *exchange);
bool forecast_is_ready(struct relay *relay, const struct exchange *exchange,
                       int64_t now_ms);
void forecast_describe(struct relay *relay, struct exchange *exchange,
                       int64_t now_ms);
struct wait_facts forecast_facts(struct relay *relay,
                                 const struct exchange *exchange,
                                 int64_t now_ms);
double forecast_spread(struct relay *relay);
struct wait_decision forecast_decide(struct relay *relay,
                                     const struct exchange *exchange,
                                     int64_t now_ms);

/* upstream.c */
struct upstream *upstream_acquire(struct relay *relay,
                                  struct relay_target *target,
                                  const struct exchange *exchange,
                                  int64_t now_ms);
void upstream_send(struct relay *relay, struct upstream *upstream,
                   struct exchange *exchange, int64_t now_ms);
bool upstream_exists_to(const struct relay *relay,
                        const struct relay_target *target);
void upstream_ask(struct relay *relay, struct relay_target *target,
                  int64_t now_ms);
void upstream_handle_event(struct relay *relay, struct upstream *upstream,
                           uint32_t events, int64_t now_ms);
void upstream_handle_timer(struct relay *relay, struct upstream *upstream,
                           int64_t now_ms);
void upstream_close(struct relay *relay, struct upstream *upstream);
void upstream_discard_rest(struct relay *relay, struct upstream *upstream,
                           int64_t now_ms);
void upstream_detach(struct relay *relay, struct upstream *upstream);
void upstream_abort(struct relay *relay, struct upstream *upstream,
                    const char *reason, int64_t now_ms);
void upstream_keep_idle(struct relay *relay, struct upstream *upstream,
                        int64_t now_ms);
void upstream_set_paused(struct relay *relay, struct upstream *upstream,
                         bool paused);

/* upstream_parser.c */
void upstream_parser_reset(struct upstream *upstream);
void upstream_parser_execute(struct relay *relay, struct upstream *upstream,
                             const unsigned char *bytes, size_t count,
                             int64_t now_ms);
void upstream_parser_eof(struct relay *relay, struct upstream *upstream,
                         int64_t now_ms);

/* target.c */
struct relay_target *target_find(struct relay *relay, const char *id);
struct token_view target_fleet(const struct relay *relay,
                               const struct request_needs *needs,
                               int64_t now_ms);
bool target_passes(const struct relay_target *target, enum target_test test,
                   const struct request_needs *needs,
                   const struct token_view *fleet, int64_t now_ms);
struct relay_target *target_select(struct relay *relay,
                                   const struct request_needs *needs,
                                   int64_t now_ms);
double target_least_late_share(struct relay *relay,
                               const struct request_needs *needs,
                               int64_t now_ms);
bool target_exists_for(struct relay *relay, const struct request_needs *needs,
                       int64_t now_ms);
void target_close_idle(struct relay *relay, struct relay_target *target);
void target_apply_change(struct relay *relay,
                         const struct target_change *change, int64_t now_ms);
void target_apply_holdings(struct relay *relay,
                           const struct holdings *holdings, int64_t now_ms);
void target_apply_report(struct relay *relay, struct activity_report *report,
                         int64_t now_ms);
void target_expire_reports(struct relay *relay, int64_t now_ms);
void target_apply_total(struct relay *relay, struct activity_report *total,
                        int64_t now_ms);

/* leaving.c */
struct target_identity target_identity_of(const struct target_info *info);
struct target_identity target_that_answers(struct relay *relay,
                                           const struct upstream *upstream);
void leaving_read_answer(struct relay *relay, const struct exchange *exchange,
                         const struct upstream *upstream, int64_t now_ms);
void leaving_check_entry(struct relay *relay, const struct target_info *entry,
                         int64_t now_ms);
void leaving_mark(struct relay *relay, struct relay_target *target);
bool leaving_learnt_since(struct relay *relay,
                          const struct upstream *upstream);

/* pause.c */
void pause_read_answer(struct relay *relay, const struct exchange *exchange,
                       const struct upstream *upstream, int64_t now_ms);
void pause_check_entry(struct relay *relay, const struct target_info *entry,
                       int64_t now_ms);
void pause_mark(struct relay *relay, struct relay_target *target);
bool pause_learnt_since(struct relay *relay, const struct upstream *upstream,
                        int64_t now_ms);
void pause_add_facts(struct relay *relay, const struct exchange *exchange,
                     struct wait_facts *facts, int64_t now_ms);
void pause_work(struct relay *relay, int64_t now_ms);

/* crash.c */
uint64_t crash_fingerprint(const struct exchange *exchange);
void crash_connection_closed(struct relay *relay,
                             const struct upstream *upstream);
void crash_connection_ended(struct relay *relay,
                            const struct upstream *upstream, int64_t now_ms);
void crash_connection_refused(struct relay *relay, struct relay_target *target,
                              int64_t now_ms);
void crash_connection_made(struct relay_target *target);
void crash_target_restarted(struct relay *relay, struct relay_target *target,
                            int64_t now_ms);
void crash_run_went_on(struct relay *relay, struct exchange *exchange,
                       bool complete, int64_t now_ms);
bool crash_is_blamed(struct relay *relay, const struct exchange *exchange);
bool crash_would_refuse(struct relay *relay, const struct exchange *exchange,
                        int64_t now_ms, int64_t *retry_ms);
bool crash_refuses(struct relay *relay, struct exchange *exchange,
                   int64_t now_ms);
void crash_apply_report(struct relay *relay, struct crash_report *report,
                        int64_t now_ms);
void crash_work(struct relay *relay, int64_t now_ms);
int64_t crash_due_ms(const struct relay *relay, int64_t now_ms);

/* report.c */
void report_arrival(struct relay *relay, const struct exchange *exchange);
void report_send(struct relay *relay, int64_t now_ms);

#endif
