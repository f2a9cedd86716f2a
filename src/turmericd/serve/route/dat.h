#ifndef ROUTE_DAT_H
#define ROUTE_DAT_H

enum { STREAM_ID_MAX_BYTES = 40 };

/* Number of events of an answer that has begun and can't be resumed. */
#define ATTEMPT_EVENTS_NOT_RESUMABLE UINT32_MAX

/**
 * struct attempt - one try to run a call on a target
 * @id: handle in the route duty's table of attempts
 * @call: the call
 * @target: id of the target
 * @address: its address
 * @number: 1 for the first attempt of the call
 * @deadline_ms: monotonic; the first byte must have come by then
 * @stream_id: id under which the engine can resume the stream
 * @resume_from: events already passed to the caller; above 0 the answer goes
 *               on where it broke off
 * @resume_same_engine: the same engine may still hold the stream; else another
 *               engine goes on after the text so far
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
};

enum attempt_result_kind {
    ATTEMPT_OK,          /* the whole answer was passed on */
    ATTEMPT_NOT_SENT,    /* no connection: provably not run */
    ATTEMPT_NOT_LOADED,  /* the engine says the leaf is not loaded: not run */
    ATTEMPT_BUSY,        /* the target refused it before running it */
    ATTEMPT_BROKEN,      /* sent, and no whole answer came */
    ATTEMPT_TIMEOUT,     /* sent, and no first byte by the deadline */
    ATTEMPT_CALLER_GONE, /* the caller closed its connection */
};

/**
 * struct attempt_result - how an attempt ended
 * @id: handle of the attempt
 * @call: the call
 * @target: where it ran
 * @kind: how it ended
 * @events: server-sent events passed to the caller so far, counted from the
 *          attempt's resume_from; ATTEMPT_EVENTS_NO_RESUME when the answer
 *          has begun but is no stream of events
 * @text: detail for a refusal
 */
struct attempt_result {
    struct handle id;
    struct handle call;
    uint64_t target;
    enum attempt_result_kind kind;
    uint32_t events;
    char text[ERR_TEXT_MAX];
};

struct route_port;

/**
 * struct route_port_ops - what routing needs from the rest
 * @start_attempt: hands an attempt to the forward duty
 * @request_load: asks for a leaf to be loaded
 * @report_use: a leaf was used
 * @request_claim: asks for a claim
 * @release_claim: gives a claim back that was provably not run
 * @broadcast_strike: tells the other members of a strike
 * @tree_ref: the tree in force, pinned; NULL when there is none
 * @config_state: age of the configuration
 */
struct route_port_ops {
    bool (*start_attempt)(struct route_port *port,
                          const struct attempt *attempt, struct err *err);
    bool (*request_load)(struct route_port *port, const struct want *want,
                         struct err *err);
    void (*report_use)(struct route_port *port, uint64_t leaf);
    bool (*request_claim)(struct route_port *port,
                          const struct claim_request *request,
                          struct err *err);
    void (*release_claim)(struct route_port *port,
                          const struct claim_request *request);
    void (*broadcast_strike)(struct route_port *port, uint64_t fingerprint,
                             uint64_t target, uint64_t incarnation);
    struct tree *(*tree_ref)(struct route_port *port);
    void (*config_state)(struct route_port *port, struct config_state *state);
};

struct route_port {
    const struct route_port_ops *ops;
};

/**
 * struct route - duty that admits, queues, routes and retries calls
 */
struct route;

#endif
