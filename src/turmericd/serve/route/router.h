#ifndef ROUTE_ROUTER_H
#define ROUTE_ROUTER_H

/**
 * struct running_attempt - an attempt that the forward duty runs
 * @routed_call: handle of the routed call
 * @target: id of the target
 * @incarnation: start number of the target's process when the attempt started
 * @report_number: report_number of the target when the attempt started
 * @resume_from: events sent to the caller before this attempt
 * @resume_same_engine: the attempt resumes a stream at the same engine
 */
struct running_attempt {
    struct handle routed_call;
    uint64_t target;
    uint64_t incarnation;
    uint64_t report_number;
    uint32_t resume_from;
    bool resume_same_engine;
};

/**
 * struct router - state of the route duty
 * @calls: table of calls, shared with other duties
 * @port: callbacks
 * @data_centre: data centre of this instance
 * @random: state of the random number generator
 * @sequence: sequence number of the latest routed call
 * @routed_calls: table of struct routed_call
 * @attempts: table of struct running_attempt
 * @by_call: routed calls by the handle of their call
 * @timers: timers of routed calls and leaves
 * @fleet: targets and leaves
 * @abandoned_claims: undecided claims whose calls were refused
 * @strikes: requests during which targets went down
 * @retry_budget: limits retries
 * @queued_count: calls in the queues of all leaves
 * @forward_full: the forward duty refused an attempt in this dispatch
 */
struct router {
    struct calls *calls;
    struct route_port *port;
    char data_centre[NAME_MAX_BYTES];
    uint64_t random;
    uint64_t sequence;
    struct table routed_calls;
    struct table attempts;
    GHashTable *by_call;
    struct heap timers;
    struct fleet fleet;
    struct abandoned_claims abandoned_claims;
    struct strikes *strikes;
    struct retry_budget retry_budget;
    int queued_count;
    bool forward_full;
};

/* routed.c */
struct routed_call *routed_call_find(const struct router *router,
                                     struct handle call);
struct routed_call *routed_call_add(struct router *router,
                                    const struct call_request *request,
                                    struct handle call, struct err *err);
void routed_call_dequeue(struct router *router, struct routed_call *routed);
void routed_call_free(struct router *router, struct routed_call *routed);
void routed_call_refuse(struct router *router, struct routed_call *routed,
                        const struct err *err, enum outcome outcome,
                        int64_t now_ms);
enum outcome routed_call_idle_outcome(const struct routed_call *routed);
void routed_call_enqueue(struct router *router, struct routed_call *routed);
void routed_call_delay(struct router *router, struct routed_call *routed,
                       int64_t until_ms);

/* attempts.c */
bool attempt_start(struct router *router, struct routed_call *routed,
                   struct target *target, int64_t now_ms, struct err *err);
void routed_call_resume_other_engine(struct router *router,
                                     struct routed_call *routed,
                                     int64_t now_ms);
void routed_call_resume_same_engine(struct router *router,
                                    struct routed_call *routed,
                                    int64_t now_ms);

/* dispatch.c */
const struct node *leaf_find_node(const struct tree *tree,
                                  const struct leaf *leaf);
void leaf_refuse_queued(struct router *router, struct leaf *leaf,
                        const struct err *err, int64_t now_ms);
void leaf_dispatch(struct router *router, struct leaf *leaf, int64_t now_ms);
void target_dispatch(struct router *router, const struct target *target,
                     int64_t now_ms);

/* reports.c */
void target_add_strikes(struct router *router,
                        const struct target_report *report, int64_t now_ms);
void target_log_holdoff_end(const struct target *target, const char *source,
                            int64_t now_ms);

/* claims.c */
void routed_call_request_claim(struct router *router,
                               struct routed_call *routed, int64_t now_ms);

#endif
