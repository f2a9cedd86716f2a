#ifndef ROUTE_INTERNAL_H
#define ROUTE_INTERNAL_H

enum {
    TRIED_TARGETS_MAX = 10,
    RETRY_BUDGET_WINDOW_S = 10,
    RETRY_BUDGET_PERCENT = 10,
    RETRY_BUDGET_MIN = 32,
    STRIKES_MAX = 2,
    STRIKE_TTL_MS = 600000,
    STRIKE_RECORDS_MAX = 4096,
    /* Age at which a report of the running target clears a suspicion.
     * Targets are polled once a second and a report may be a second late, so
     * an earlier one may predate the broken connection. */
    SUSPECT_CLEAR_MS = 3000,
    SUSPECT_TTL_MS = 30000,
    LOAD_REQUEST_INTERVAL_MS = 500,
    /* A busy forward worker is usually free within tens of milliseconds. */
    FORWARD_FULL_RETRY_MS = 50,
    USE_REPORT_INTERVAL_MS = 1000,
    CLAIM_RETRY_MS = 500,
    BACKOFF_MIN_MS = 50,
    BACKOFF_MAX_MS = 2000,
    RESUME_TIMEOUT_MS = 30000,
    CONNECT_BACKOFF_MS = 1000,
    ABANDONED_CLAIM_TTL_MS = 60000,
    ABANDONED_CLAIMS_MAX = 4096,
    DEFER_MS = 200,
    /* Time in which a target that was held off gets back as many requests as
     * it had. */
    HOLDOFF_RETURN_MS = 1000,
};

enum timer_kind { TIMER_CALL, TIMER_LEAF };

/**
 * struct holdoff - time in which a target wants no requests of this instance
 * @active: the time runs, or not all @places are used again
 * @since_ms: monotonic; when the target refused a request
 * @until_ms: monotonic; end of the time
 * @places: requests that the target gets back in HOLDOFF_RETURN_MS
 * @started: requests that started after the time
 */
struct holdoff {
    bool active;
    int64_t since_ms;
    int64_t until_ms;
    uint32_t places;
    uint32_t started;
};

/**
 * struct target - a target and the attempts of this instance on it
 * @report: latest report, corrected by later results and placements
 * @inflight: attempts of this instance that run
 * @inflight_at_report: attempts that ran when the report arrived, less those
 *                      that have ended since
 * @started_since_report: attempts that started after the report and still run
 * @report_number: number of reports received
 * @backoff_until_ms: monotonic; a connection failed, so it isn't used before
 * @holdoff: time in which the target wants no requests
 */
struct target {
    struct target_report report;
    uint32_t inflight;
    uint32_t inflight_at_report;
    uint32_t started_since_report;
    uint64_t report_number;
    int64_t backoff_until_ms;
    struct holdoff holdoff;
};

/**
 * struct leaf - a leaf or plain service that calls are routed to
 * @timer: next check of the queue; first member
 * @id: id of the leaf, or of the plain service's node
 * @path: path of the node
 * @plain: a plain service, which is never loaded
 * @queue: calls that wait for a target, by priority, then by arrival
 * @targets: targets that serve it
 * @last_load_request_ms: monotonic; when a load was last requested
 * @last_use_report_ms: monotonic; when its use was last reported
 * @placement_error: why the last placement failed; ERR_NONE when it succeeded
 * @placement_error_text: detail of @placement_error
 */
struct leaf {
    struct timer timer;
    uint64_t id;
    char path[PATH_MAX_BYTES];
    bool plain;
    GSequence *queue;
    GPtrArray *targets;
    int64_t last_load_request_ms;
    int64_t last_use_report_ms;
    enum err_kind placement_error;
    char placement_error_text[ERR_TEXT_MAX];
};

enum routed_phase {
    ROUTED_CLAIMING,
    ROUTED_QUEUED,
    ROUTED_DELAYED,
    ROUTED_RUNNING
};

/**
 * struct routed_call - state of a call in the route duty
 * @timer: next moment at which something is due; first member
 * @id: handle in the table of routed calls
 * @call: the call
 * @leaf: leaf or plain service that it calls
 * @phase: what it waits for
 * @queue_position: position in the leaf's queue while ROUTED_QUEUED
 * @sequence: order of arrival
 * @request: the request without its body
 * @claim_granted: the claim is in effect
 * @maybe_ran: an attempt failed after it was sent, so the call may have run
 * @attempts: attempts made
 * @attempts_sent: attempts whose connection succeeded
 * @tried: ids of the targets of its attempts
 * @tried_count: number of valid ids in @tried
 * @stream_id: random part of the stream ids
 * @stream_number: number of the current stream; part of its id
 * @events_delivered: events sent to the caller
 * @stream_events: events received from the current stream
 * @not_resumable: part of the answer was sent and it can't be resumed
 * @resume_same_engine: the next attempt resumes the stream at @last_target
 * @awaits_budget: waits for the retry budget before another engine resumes
 * @budget_charged: the retry budget was charged for this resume and isn't
 *                  charged again when a connection is refused
 * @last_target: id of the target of the last attempt
 * @delayed_until_ms: monotonic; end of the delay while ROUTED_DELAYED
 * @last_failure: why the last attempt failed
 */
struct routed_call {
    struct timer timer;
    struct handle id;
    struct handle call;
    struct leaf *leaf;
    enum routed_phase phase;
    GSequenceIter *queue_position;
    uint64_t sequence;
    struct call_request request;
    bool claim_granted;
    bool maybe_ran;
    int attempts;
    int attempts_sent;
    uint64_t tried[TRIED_TARGETS_MAX];
    int tried_count;
    uint64_t stream_id;
    int stream_number;
    uint32_t events_delivered;
    uint32_t stream_events;
    bool not_resumable;
    bool resume_same_engine;
    bool awaits_budget;
    bool budget_charged;
    uint64_t last_target;
    int64_t delayed_until_ms;
    char last_failure[ERR_TEXT_MAX];
};

/**
 * struct admission - input of admission_check()
 * @node: node of the leaf or plain service
 * @state: age of the configuration
 * @idempotent: the call may run more than once
 * @loaded: a live target serves the leaf, or it is a plain service
 * @crashes_targets: the request has reached STRIKES_MAX
 * @waiting: calls in the queue of the leaf
 * @deadline_ms: deadline of the call, monotonic
 * @now_ms: current monotonic time
 */
struct admission {
    const struct node *node;
    const struct config_state *state;
    bool idempotent;
    bool loaded;
    bool crashes_targets;
    int64_t waiting;
    int64_t deadline_ms;
    int64_t now_ms;
};

enum pick_result { PICK_OK, PICK_NONE, PICK_BUSY };

/**
 * struct pick_query - what a call requires of a target
 * @data_centre: preferred data centre
 * @tried: ids of targets that this call was tried on
 * @tried_count: number of valid ids in @tried
 * @inflight_max: most requests that a target may run at once
 * @now_ms: current monotonic time
 */
struct pick_query {
    const char *data_centre;
    const uint64_t *tried;
    int tried_count;
    int64_t inflight_max;
    int64_t now_ms;
};

/**
 * struct retry_budget - requests and retries in one-second buckets
 * @bucket_s: second that each bucket counts, monotonic
 * @requests: requests admitted
 * @retries: retries made
 */
struct retry_budget {
    int64_t bucket_s[RETRY_BUDGET_WINDOW_S];
    uint32_t requests[RETRY_BUDGET_WINDOW_S];
    uint32_t retries[RETRY_BUDGET_WINDOW_S];
};

/**
 * struct failure - a failed attempt and the state of its call
 * @kind: how the attempt ended
 * @idempotent: the call may run more than once
 * @maybe_ran: this or an earlier attempt may have run
 * @response_started: part of the answer was sent to the caller
 * @not_resumable: that answer can't be resumed
 * @resumed_same_engine: the attempt resumed a stream at the same engine
 * @attempts: attempts made
 * @attempts_sent: attempts whose connection succeeded, with this one
 * @attempts_max: limit of @attempts_sent
 * @budget_available: the retry budget allows another attempt
 * @silent: the attempt was ended because its target was silent
 */
struct failure {
    enum attempt_result_kind kind;
    bool idempotent;
    bool maybe_ran;
    bool response_started;
    bool not_resumable;
    bool resumed_same_engine;
    int attempts;
    int attempts_sent;
    int64_t attempts_max;
    bool budget_available;
    bool silent;
};

enum retry_action {
    RETRY_DONE,
    RETRY_QUEUE,
    RETRY_BACKOFF,
    RETRY_AWAIT_BUDGET,
    RETRY_RESUME_SAME_ENGINE,
    RETRY_RESUME_OTHER_ENGINE,
    RETRY_REFUSE,
};

/**
 * struct retry - decision after an attempt
 * @action: what to do
 * @counter: counter of the reason for a retry
 * @uses_budget: the retry counts against the retry budget
 * @kind: reason of a refusal
 * @outcome: whether a refused call has run
 */
struct retry {
    enum retry_action action;
    enum counter counter;
    bool uses_budget;
    enum err_kind kind;
    enum outcome outcome;
};

/**
 * struct fleet - all known targets and the leaves that they serve
 * @targets: struct target by id
 * @leaves: struct leaf by id
 */
struct fleet {
    GHashTable *targets;
    GHashTable *leaves;
};

/**
 * struct abandoned_claims - undecided claims whose calls were refused
 * @by_token: struct abandoned_claim by token
 */
struct abandoned_claims {
    GHashTable *by_token;
};

enum strike_state { STRIKE_ALLOW, STRIKE_DEFER, STRIKE_REFUSE };

struct strikes;

/* queue.c */
void call_queue_add(struct leaf *leaf, struct routed_call *routed);
void call_queue_remove(struct routed_call *routed);
struct routed_call *queue_first(const struct leaf *leaf);
int queue_length(const struct leaf *leaf);
int queue_priority(const struct leaf *leaf);

/* admit.c */
bool admission_check(const struct admission *admission, struct err *err);

/* pick.c */
uint64_t random_next(uint64_t *state);
enum pick_result pick_target(struct target *const *targets, int count,
                             const struct pick_query *query, uint64_t *random,
                             struct target **picked);

/* holdoff.c */
void holdoff_begin(struct holdoff *holdoff, int64_t wait_ms, uint32_t places,
                   int64_t now_ms);
int64_t holdoff_allows_ms(const struct holdoff *holdoff);
bool holdoff_count_start(struct holdoff *holdoff, int64_t now_ms);
int64_t holdoff_earliest_ms(const struct leaf *leaf, int64_t now_ms);
int holdoff_retry_after_s(const struct leaf *leaf, int64_t now_ms);

/* retry.c */
void retry_budget_add_request(struct retry_budget *budget, int64_t now_ms);
bool retry_budget_allows(const struct retry_budget *budget, int64_t now_ms);
void retry_budget_add_retry(struct retry_budget *budget, int64_t now_ms);
int64_t retry_backoff_ms(int attempts, uint64_t *random);
struct retry retry_decide(const struct failure *failure);

/* strike.c */
struct strikes *strikes_new(void);
void strikes_free(struct strikes *strikes);
void strikes_add_suspect(struct strikes *strikes, uint64_t fingerprint,
                         uint64_t target, uint64_t incarnation,
                         int64_t now_ms);
bool strikes_add(struct strikes *strikes, uint64_t fingerprint,
                 uint64_t target, uint64_t incarnation, int64_t now_ms);
int strikes_apply_report(struct strikes *strikes,
                         const struct target_report *report, int64_t now_ms,
                         uint64_t *fingerprints, uint64_t *incarnations,
                         int max);
enum strike_state strikes_check(struct strikes *strikes, uint64_t fingerprint,
                                int64_t now_ms);
int strikes_request_count(const struct strikes *strikes);

/* fleet.c */
void fleet_init(struct fleet *fleet);
void fleet_clear(struct fleet *fleet);
struct leaf *fleet_get_leaf(struct fleet *fleet, uint64_t id);
struct target *fleet_find_target(const struct fleet *fleet, uint64_t id);
struct target *fleet_update_target(struct fleet *fleet,
                                   const struct target_report *report);
void fleet_add_loaded(struct fleet *fleet, struct target *target,
                      uint64_t leaf);
void fleet_remove_loaded(struct fleet *fleet, struct target *target,
                         uint64_t leaf);
void fleet_remove_gone(struct fleet *fleet, struct target *target);

/* abandoned.c */
void abandoned_claims_init(struct abandoned_claims *claims);
void abandoned_claims_clear(struct abandoned_claims *claims);
bool abandoned_claims_full(const struct abandoned_claims *claims);
void abandoned_claims_add(struct abandoned_claims *claims,
                          const struct claim_request *claim, int64_t now_ms);
const struct claim_request *
abandoned_claims_find(const struct abandoned_claims *claims, uint64_t token);
void abandoned_claims_expire(struct abandoned_claims *claims, int64_t now_ms);

/* router.c: decisions of the duty; the time is an argument. */
struct router;
struct router *router_new(struct calls *calls, const char *data_centre,
                          uint64_t seed, struct route_port *port,
                          struct err *err);
void router_free(struct router *router);
void router_handle_call(struct router *router, struct handle call,
                        int64_t now_ms);
void router_handle_result(struct router *router,
                          const struct attempt_result *result, int64_t now_ms);
void router_handle_notice(struct router *router,
                          const struct target_notice *notice);
void router_handle_report(struct router *router,
                          const struct target_report *report, int64_t now_ms);
void router_handle_placement(struct router *router,
                             const struct placement *placement,
                             int64_t now_ms);
void router_handle_claim_result(struct router *router,
                                const struct claim_result *result,
                                int64_t now_ms);
void router_handle_strike(struct router *router, uint64_t fingerprint,
                          uint64_t target, uint64_t incarnation,
                          int64_t now_ms);
void router_tick(struct router *router, int64_t now_ms);
int64_t router_wait_ms(const struct router *router, int64_t now_ms);
void router_stop(struct router *router);

#endif
