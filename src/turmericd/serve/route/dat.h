#ifndef ROUTE_DAT_H
#define ROUTE_DAT_H

enum { STREAM_ID_MAX_BYTES = 40 };

/* attempt_result.events of a partial answer that can't be resumed. */
#define ATTEMPT_EVENTS_NOT_RESUMABLE UINT32_MAX

/**
 * struct attempt - one attempt to run a call on a target
 * @id: handle in the route duty's table of attempts
 * @call: the call
 * @target: id of the target
 * @address: address of the target
 * @number: 1 for the first attempt of the call
 * @deadline_ms: monotonic; the first byte of the answer must arrive by then
 * @stream_id: id under which the engine can resume the stream
 * @resume_from: events already sent to the caller, after which the answer
 *               continues; 0 for a new answer
 * @resume_same_engine: resume the stream that the same engine may still keep;
 *                      otherwise another engine continues the text generated
 *                      so far
 * @is_last: no other attempt can follow, so a silent target keeps the call
 *           until @deadline_ms
 */
struct attempt {
    struct handle id;
    struct handle call;
    uint64_t target;
    char address[ADDRESS_MAX_BYTES];
    int number;
    int64_t deadline_ms;
    char stream_id[STREAM_ID_MAX_BYTES];
    uint32_t resume_from;
    bool resume_same_engine;
    bool is_last;
};

enum attempt_result_kind {
    ATTEMPT_OK,          /* the complete answer was sent to the caller */
    ATTEMPT_NOT_SENT,    /* connection failed: provably not run */
    ATTEMPT_NOT_LOADED,  /* the engine lacks the leaf: not run */
    ATTEMPT_BUSY,        /* the target refused the call: not run */
    ATTEMPT_BROKEN,      /* sent; the answer is missing or incomplete */
    ATTEMPT_TIMEOUT,     /* sent; no first byte by the deadline */
    ATTEMPT_CALLER_GONE, /* the caller closed its connection */
};

/**
 * struct attempt_result - how an attempt ended
 * @id: handle of the attempt
 * @call: the call
 * @target: id of the target
 * @kind: how the attempt ended
 * @events: server-sent events sent to the caller so far, counted on from the
 *          attempt's resume_from; ATTEMPT_EVENTS_NOT_RESUMABLE when the caller
 *          has part of an answer that is no event stream
 * @silent: ATTEMPT_BROKEN because the target sent nothing for too long; its
 *          connection did not break
 * @text: detail of a failure; may be empty
 */
struct attempt_result {
    struct handle id;
    struct handle call;
    uint64_t target;
    enum attempt_result_kind kind;
    uint32_t events;
    bool silent;
    char text[ERR_TEXT_MAX];
};

/**
 * struct target_notice - what the head of an answer says of its target
 * @target: id of the target
 * @heard_ms: monotonic; when the head was received
 * @leaving: the target leaves
 * @holds_off: the target wants no requests of this instance for @holdoff_ms
 * @holdoff_ms: from @heard_ms on
 */
struct target_notice {
    uint64_t target;
    int64_t heard_ms;
    bool leaving;
    bool holds_off;
    int64_t holdoff_ms;
};

struct route_port;

/**
 * struct route_port_ops - callbacks of the route duty
 * @start_attempt: queues an attempt at the forward duty; false with @err when
 *                 it can't take one now
 * @request_load: asks the placement duty to load a leaf
 * @report_use: tells the placement duty that a leaf is in use
 * @request_claim: asks the claim duty for a claim
 * @release_claim: returns the claim of a call that provably did not run
 * @broadcast_strike: sends a strike to the other instances
 * @tree_ref: returns a reference to the configuration tree in force, which the
 *            caller releases with tree_unref(); NULL when there is none
 * @get_config_state: reads the age of the configuration
 */
struct route_port_ops {
    bool (*start_attempt)(struct route_port *port,
                          const struct attempt *attempt, struct err *err);
    bool (*request_load)(struct route_port *port,
                         const struct load_request *request, struct err *err);
    void (*report_use)(struct route_port *port, uint64_t leaf);
    bool (*request_claim)(struct route_port *port,
                          const struct claim_request *request,
                          struct err *err);
    void (*release_claim)(struct route_port *port,
                          const struct claim_request *request);
    void (*broadcast_strike)(struct route_port *port, uint64_t fingerprint,
                             uint64_t target, uint64_t incarnation);
    struct tree *(*tree_ref)(struct route_port *port);
    void (*get_config_state)(struct route_port *port,
                             struct config_state *state);
};

struct route_port {
    const struct route_port_ops *ops;
};

/**
 * struct route - duty that admits, queues, routes and retries calls
 */
struct route;

#endif
