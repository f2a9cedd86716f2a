#ifndef ADMIT_DAT_H
#define ADMIT_DAT_H

#include <stddef.h>

/**
 * struct queue_pace - how fast requests come to a queue and leave it
 * @arrived: requests that had to wait, decayed
 * @taken: requests that got a place, decayed
 * @waiting_s: time in which the queue was not empty, decayed
 * @updated_ms: when these were last decayed; 0 before the first request
 */
struct queue_pace {
    double arrived;
    double taken;
    double waiting_s;
    int64_t updated_ms;
};

/**
 * enum load_state - what is known of the item that a request waits for
 * @LOAD_UNKNOWN: the lease holder has not said
 * @LOAD_EXPECTED: it is held somewhere or will be
 * @LOAD_NOT_EXPECTED: it is nowhere and not on its way
 */
enum load_state { LOAD_UNKNOWN, LOAD_EXPECTED, LOAD_NOT_EXPECTED };

/**
 * struct wait_facts - what decides whether a request should wait for a place
 * @begun: its caller has a part of the answer, which a refusal would end
 * @waited_ms: time since it arrived
 * @ahead: requests before it in the queue
 * @load: whether its item will be there
 * @ready_in_ms: with LOAD_EXPECTED, time until the item can be used
 * @protected: too few of its like are served
 * @known_since_arrival: @load was learned after the request arrived
 * @all_paused: all suitable targets want no requests for a time, or take them
 * back one by one after it
 * @paused_ms: with @all_paused, time until the first of them takes one
 * @place_interval_ms: with @all_paused, time between the places that they then
 * give
 * @left_ms: time until its deadline
 * @run_ms: shortest time in which it probably runs; -1 when unknown
 * @late_share: share of answers like its that would not end in time at the
 * best target; -1 when unknown
 * @patience_ms: time until its caller gives up
 * @goal_ms: time until its latency objective is missed
 */
struct wait_facts {
    bool begun;
    int64_t waited_ms;
    int ahead;
    enum load_state load;
    int64_t ready_in_ms;
    bool known_since_arrival;
    bool protected;
    bool all_paused;
    int64_t paused_ms;
    int64_t place_interval_ms;
    int64_t left_ms;
    int64_t run_ms;
    double late_share;
    int64_t patience_ms;
    int64_t goal_ms;
};

/**
 * enum wait_reason - why a request without a place is refused
 * @WAIT_NONE: it is not
 * @WAIT_NO_LOAD: its item is nowhere and not on its way
 * @WAIT_NO_HOLDER: nobody has said for long whether its item will be there
 * @WAIT_TOO_LATE: its place would come too late
 * @WAIT_OVERLOAD: its place would come after its goal while more requests
 * come than places
 */
enum wait_reason {
    WAIT_NONE,
    WAIT_NO_LOAD,
    WAIT_NO_HOLDER,
    WAIT_TOO_LATE,
    WAIT_OVERLOAD,
};

/**
 * struct wait_decision - what to do with a request that has no place
 * @refuse: refuse it now
 * @reason: why it is refused
 * @expected_ms: expected time until it has a place; -1 when unknown
 * @retry_ms: when refused, the delay after which the caller may try again
 */
struct wait_decision {
    bool refuse;
    enum wait_reason reason;
    int64_t expected_ms;
    int64_t retry_ms;
};

enum {
    RUN_LENGTH_BUCKETS = 64,
    RUN_LENGTH_BUCKETS_PER_DOUBLING = 4,
};

/**
 * struct run_lengths - times of recent answers to requests of one kind
 * @counts: answers by the logarithm of their time in ms, decayed
 * @total: sum of @counts
 * @interval_count: answers with a mean interval between events, decayed
 * @interval_total_ms: sum of these intervals, decayed
 * @updated_ms: when these were last decayed
 */
struct run_lengths {
    double counts[RUN_LENGTH_BUCKETS];
    double total;
    double interval_count;
    double interval_total_ms;
    int64_t updated_ms;
};

/**
 * struct served_share - requests of some kind, and those that were served
 * @asked: requests that have ended, decayed
 * @served: requests that got their whole answer, decayed
 * @updated_ms: when these were last decayed
 */
struct served_share {
    double asked;
    double served;
    int64_t updated_ms;
};

/**
 * enum size_class - size of a request among those of its kind
 * @SIZE_USUAL: others
 * @SIZE_LARGE: the fifth below the largest tenth
 * @SIZE_LARGEST: the largest tenth
 */
enum size_class { SIZE_USUAL, SIZE_LARGE, SIZE_LARGEST, SIZE_CLASSES };

/**
 * struct kind_sizes - limits between the sizes of a kind's requests
 * @large: size that three in ten exceed; 0 before the first
 * @largest: size that one in ten exceeds; 0 before the first
 */
struct kind_sizes {
    double large;
    double largest;
};

/**
 * struct fairness_facts - shares of requests that were served; -1 for unknown
 * @all: of the service
 * @kind: of the request's kind
 * @item: for its model or adapter
 * @size: of its kind and size, other than the usual
 * @less_urgent: largest of the kinds of the service with a lower priority
 */
struct fairness_facts {
    double all;
    double kind;
    double item;
    double size;
    double less_urgent;
};

/**
 * struct rank_facts - what decides which waiting request gets a place first
 * @priority: of its team or its route; 0 is the highest
 * @begun: its caller has a part of the answer
 * @protected: too few of its like are served
 * @arrived_ms: when it arrived
 * @goal_due_ms: latest time of a start that meets its latency objective
 * @last_start_ms: latest time of a start from which its caller gets the answer
 * @work_ms: how long its answer is expected to run; 0 when unknown
 */
struct rank_facts {
    int priority;
    bool begun;
    bool protected;
    int64_t arrived_ms;
    int64_t goal_due_ms;
    int64_t last_start_ms;
    double work_ms;
};

/**
 * enum rank_urgency - what a delay costs the caller of a waiting request
 * @RANK_IN_TIME: it is in time if it is served now
 * @RANK_LOST_LATER: it is late, and not served at all if not now
 * @RANK_LATE: it is late, and may be served as well later, or can't be
 */
enum rank_urgency { RANK_IN_TIME, RANK_LOST_LATER, RANK_LATE };

/**
 * struct rank - place of a waiting request among others at one time
 * @priority: as in struct rank_facts; 0 for a protected one
 * @protected: too few of its like are served
 * @urgency: what a delay costs
 * @work: doublings of the time that its answer runs
 * @arrived_ms: when it arrived
 * @last_start_ms: as in struct rank_facts
 * @overdue: it has waited for half of the time in which it can be served
 */
struct rank {
    int priority;
    bool protected;
    enum rank_urgency urgency;
    int work;
    int64_t arrived_ms;
    int64_t last_start_ms;
    bool overdue;
};

/**
 * struct stop_facts - what decides whether a stopping instance sends a request
 * @begun: its caller has a part of the answer, which a refusal would end
 * @may_have_run: a target may have run it
 * @elsewhere: another instance serves callers
 * @wait_ms: expected time until it can be sent
 * @left_ms: time until the instance ends all answers
 * @interval_ms: mean interval between events at its target; 0 for unknown
 * @late_share: from finish_late_share() for its target and the end of the
 * instance; -1 when unknown
 */
struct stop_facts {
    bool begun;
    bool may_have_run;
    bool elsewhere;
    int64_t wait_ms;
    int64_t left_ms;
    double interval_ms;
    double late_share;
};

/**
 * struct stop_decision - whether a stopping instance refuses a request
 * @refuse: refuse it now
 * @late_share: share of recent answers like it that would not end in time; -1
 * when unknown
 */
struct stop_decision {
    bool refuse;
    double late_share;
};

enum {
    /* The memory limit of the process when the settings have none. */
    MEMORY_DEFAULT_MB = 256,
    /* Bytes that a caller may have in flight to a connection that isn't
     * read. */
    PAUSED_WINDOW_BYTES = 64 * 1024,
    /* A target ends a response that stays unread for some seconds. A read of
     * a window's size lets it go on, also where segments are as large. */
    READ_ON_MS = 500,
    READ_ON_BYTES = 64 * 1024,
};

/**
 * enum memory_verdict - what to do with a request that is being read
 * @MEMORY_READ: read on
 * @MEMORY_PAUSE: leave the rest unread until there is room
 * @MEMORY_REFUSE: refuse it
 */
enum memory_verdict { MEMORY_READ, MEMORY_PAUSE, MEMORY_REFUSE };

/**
 * struct memory_facts - what decides whether a request is read
 * @bound: bytes that all connections may take
 * @others: bytes that the other connections take
 * @held: bytes that the connection holds
 * @expected: bytes that it will hold when the request is complete
 * @paused_ms: since when it is not read; 0 while it is
 * @pause_max_ms: how long it may be left unread
 */
struct memory_facts {
    size_t bound;
    size_t others;
    size_t held;
    size_t expected;
    int64_t paused_ms;
    int64_t pause_max_ms;
};

/**
 * struct memory_use - what decides whether a response is read
 * @bound: bytes that all connections may take
 * @charged: bytes that they take
 * @connections: their number
 * @held: bytes of the response that the connection holds
 * @waiting: of these, bytes that the caller has not taken
 * @waiting_max: most bytes that may wait for a caller
 * @read_on: bytes that may wait beyond that, since the target would end a
 * response that is not read
 */
struct memory_use {
    size_t bound;
    size_t charged;
    size_t connections;
    size_t held;
    size_t waiting;
    size_t waiting_max;
    size_t read_on;
};

#endif
