#ifndef ROUTE_INTERNAL_H
#define ROUTE_INTERNAL_H

enum {
    TRIED_MAX = 10,
    BUDGET_SECONDS = 10,
    BUDGET_PERCENT = 10,
    BUDGET_MIN = 32,
    STRIKES_REFUSE = 2,
    STRIKE_REFUSE_MS = 600000,
    STRIKE_ENTRIES_MAX = 4096,
    /* A poll each second and a lag of one: an older report may show the
     * target as it was before the connection broke. */
    SUSPECT_CLEAR_MS = 3000,
    SUSPECT_MAX_MS = 30000,
    WANT_INTERVAL_MS = 500,
    /* All workers are busy; answers end within tens of milliseconds. */
    FULL_RETRY_MS = 50,
    USE_INTERVAL_MS = 1000,
    CLAIM_REPEAT_MS = 500,
    BACKOFF_MIN_MS = 50,
    BACKOFF_MAX_MS = 2000,
    RESUME_MAX_MS = 30000,
    AVOID_MS = 1000,
    ORPHAN_KEEP_MS = 60000,
    ORPHANS_MAX = 4096,
    HOLD_MS = 200,
};

enum timer_kind { TIMER_WORK, TIMER_LEAF };

/**
 * struct target - a target with what this instance has running there
 * @report: latest report
 * @inflight: own attempts running
 * @inflight_at_report: own attempts running when the report came
 * @started: own attempts running that started since the report
 * @report_number: counts reports
 * @avoid_until_ms: refused a connection; not used until then
 */
struct target {
    struct target_report report;
    uint32_t inflight;
    uint32_t inflight_at_report;
    uint32_t started;
    uint64_t report_number;
    int64_t avoid_until_ms;
};

/**
 * struct leaf - a leaf or a plain service that calls are routed to
 * @timer: when to look at the queue again; first member
 * @id: id of the leaf, or of the service's node
 * @path: path of the node
 * @plain: a plain service, which is never loaded
 * @queue: works that wait for a target, by priority, then arrival
 * @holders: targets that have it
 * @last_want_ms: when it was last asked for
 * @last_use_ms: when its use was last told
 * @reason: why the last placement failed; ERR_NONE when it didn't
 * @reason_text: detail of @reason
 */
struct leaf {
    struct timer timer;
    uint64_t id;
    char path[PATH_MAX_BYTES];
    bool plain;
    GSequence *queue;
    GPtrArray *holders;
    int64_t last_want_ms;
    int64_t last_use_ms;
    enum err_kind reason;
    char reason_text[ERR_TEXT_MAX];
};

enum work_phase { WORK_CLAIMING, WORK_QUEUED, WORK_BACKOFF, WORK_RUNNING };

/**
 * struct work - a call that the route duty takes care of
 * @timer: next moment at which something is due; first member
 * @self: own handle
 * @call: the call
 * @leaf: where it goes
 * @phase: what it waits for
 * @place: position in the leaf's queue while WORK_QUEUED
 * @sequence: order of arrival
 * @request: the request without its body
 * @granted: the claim is held
 * @maybe_ran: an attempt broke, so "not run" can't be said any more
 * @attempts: attempts made
 * @sent: attempts that reached a target
 * @tried: targets of the attempts
 * @tried_count: number of them
 * @stream_id: random part of the stream's id
 * @stream_number: streams opened for this call
 * @passed: events passed to the caller
 * @stream_events: events taken from the present stream
 * @no_resume: the answer has begun and can't be resumed
 * @resume_here: the next attempt resumes the stream at @last_target
 * @owes_budget: a resume at another engine waits for the retry budget
 * @paid_budget: that resume is paid for until it reaches a target
 * @last_target: target of the last attempt
 * @not_before_ms: end of a backoff
 * @last_failure: how the last attempt failed
 */
struct work {
    struct timer timer;
    struct handle self;
    struct handle call;
    struct leaf *leaf;
    enum work_phase phase;
    GSequenceIter *place;
    uint64_t sequence;
    struct call_request request;
    bool granted;
    bool maybe_ran;
    int attempts;
    int sent;
    uint64_t tried[TRIED_MAX];
    int tried_count;
    uint64_t stream_id;
    int stream_number;
    uint32_t passed;
    uint32_t stream_events;
    bool no_resume;
    bool resume_here;
    bool owes_budget;
    bool paid_budget;
    uint64_t last_target;
    int64_t not_before_ms;
    char last_failure[ERR_TEXT_MAX];
};

/**
 * struct admission - what the decision to take a call depends on
 */
struct admission {
    const struct node *node;
    const struct config_state *state;
    bool idempotent;
    bool loaded;
    bool poisonous;
    int64_t waiting;
    int64_t deadline_ms;
    int64_t now_ms;
};

enum pick_result { PICK_OK, PICK_NONE, PICK_BUSY };

/**
 * struct pick_query - what a call asks of a target
 */
struct pick_query {
    const char *data_centre;
    const uint64_t *tried;
    int tried_count;
    int64_t inflight_max;
    int64_t now_ms;
};

/**
 * struct budget - requests and retries of the last seconds
 */
struct budget {
    int64_t second[BUDGET_SECONDS];
    uint32_t requests[BUDGET_SECONDS];
    uint32_t retries[BUDGET_SECONDS];
};

/**
 * struct failure - an attempt that did not succeed, and its call
 * @kind: how it ended
 * @idempotent: the call may be repeated
 * @maybe_ran: this or an earlier attempt may have run
 * @began: the caller has part of the answer
 * @no_resume: and it can't be resumed
 * @was_resume_here: the attempt resumed at the same engine
 * @attempts: attempts made
 * @sent: attempts that reached a target, with this one
 * @attempts_max: most attempts that reach a target
 * @has_budget: the retry budget allows another attempt
 */
struct failure {
    enum attempt_result_kind kind;
    bool idempotent;
    bool maybe_ran;
    bool began;
    bool no_resume;
    bool was_resume_here;
    int attempts;
    int sent;
    int64_t attempts_max;
    bool has_budget;
};

enum retry_action {
    RETRY_DONE,
    RETRY_QUEUE,
    RETRY_BACKOFF,
    RETRY_RESUME_HERE,
    RETRY_RESUME_ELSEWHERE,
    RETRY_REFUSE,
};

/**
 * struct retry - what to do after an attempt
 * @action: what to do
 * @counter: counts the reason of a retry
 * @spends: the retry counts against the budget
 * @kind: reason of a refusal
 * @outcome: what is known about a refused request
 */
struct retry {
    enum retry_action action;
    enum counter counter;
    bool spends;
    enum err_kind kind;
    enum outcome outcome;
};

/**
 * struct fleet - targets, and which leaf is where
 * @targets: by id
 * @leaves: by id
 */
struct fleet {
    GHashTable *targets;
    GHashTable *leaves;
};

/**
 * struct orphans - claims that were asked for by calls refused since
 * @by_token: the claims
 */
struct orphans {
    GHashTable *by_token;
};

enum strike_state { STRIKE_CLEAR, STRIKE_HOLD, STRIKE_REFUSE };

struct strikes;

/* queue.c */
void queue_add(struct leaf *leaf, struct work *work);
void queue_remove(struct work *work);
struct work *queue_first(const struct leaf *leaf);
int queue_length(const struct leaf *leaf);
int queue_priority(const struct leaf *leaf);

/* admit.c */
bool admit_check(const struct admission *admission, struct err *err);

/* pick.c */
uint64_t random_next(uint64_t *state);
enum pick_result pick_target(struct target *const *targets, int count,
                             const struct pick_query *query, uint64_t *random,
                             struct target **picked);

/* retry.c */
void budget_request(struct budget *budget, int64_t now_ms);
bool budget_has_room(const struct budget *budget, int64_t now_ms);
void budget_spend(struct budget *budget, int64_t now_ms);
int64_t backoff_ms(int attempts, uint64_t *random);
struct retry retry_decide(const struct failure *failure);

/* strike.c */
struct strikes *strikes_new(void);
void strikes_free(struct strikes *strikes);
void strike_suspect(struct strikes *strikes, uint64_t fingerprint,
                    uint64_t target, uint64_t incarnation, int64_t now_ms);
bool strike_add(struct strikes *strikes, uint64_t fingerprint, uint64_t target,
                uint64_t incarnation, int64_t now_ms);
int strike_report(struct strikes *strikes, const struct target_report *report,
                  int64_t now_ms, uint64_t *fingerprints,
                  uint64_t *incarnations, int max);
enum strike_state strike_check(struct strikes *strikes, uint64_t fingerprint,
                               int64_t now_ms);
int strikes_count(const struct strikes *strikes);

/* fleet.c */
void fleet_init(struct fleet *fleet);
void fleet_clear(struct fleet *fleet);
struct leaf *fleet_leaf(struct fleet *fleet, uint64_t id);
struct target *fleet_target(const struct fleet *fleet, uint64_t id);
struct target *fleet_report(struct fleet *fleet,
                            const struct target_report *report);
void fleet_add_loaded(struct fleet *fleet, struct target *target,
                      uint64_t leaf);
void fleet_drop_loaded(struct fleet *fleet, struct target *target,
                       uint64_t leaf);
void fleet_forget_gone(struct fleet *fleet, struct target *target);

/* orphan.c */
void orphans_init(struct orphans *orphans);
void orphans_clear(struct orphans *orphans);
bool orphans_full(const struct orphans *orphans);
void orphan_add(struct orphans *orphans, const struct claim_request *claim,
                int64_t now_ms);
const struct claim_request *orphan_find(const struct orphans *orphans,
                                        uint64_t token);
void orphans_expire(struct orphans *orphans, int64_t now_ms);

/* core.c: the decisions of the duty, with the time as an argument. */
struct core;
struct core *core_new(struct calls *calls, const char *data_centre,
                      uint64_t seed, struct route_port *port, struct err *err);
void core_free(struct core *core);
void core_call(struct core *core, struct handle call, int64_t now_ms);
void core_result(struct core *core, const struct attempt_result *result,
                 int64_t now_ms);
void core_report(struct core *core, const struct target_report *report,
                 int64_t now_ms);
void core_placement(struct core *core, const struct placement *placement,
                    int64_t now_ms);
void core_verdict(struct core *core, const struct claim_result *verdict,
                  int64_t now_ms);
void core_strike(struct core *core, uint64_t fingerprint, uint64_t target,
                 uint64_t incarnation, int64_t now_ms);
void core_tick(struct core *core, int64_t now_ms);
int64_t core_wait_ms(const struct core *core, int64_t now_ms);
void core_stop(struct core *core);

#endif
