#ifndef ADMIT_DAT_H
#define ADMIT_DAT_H

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
 * @waited_ms: time since it arrived
 * @ahead: requests before it in the queue
 * @load: whether its item will be there
 * @ready_in_ms: with LOAD_EXPECTED, time until the item can be used
 * @known_since_arrival: @load was learned after the request arrived
 * @all_paused: all suitable targets want no requests for a time, or take them
 * back one by one after it
 * @paused_ms: with @all_paused, time until the first of them takes one
 * @place_interval_ms: with @all_paused, time between the places that they then
 * give
 * @left_ms: time until its deadline
 * @patience_ms: time until its caller gives up
 * @goal_ms: time until its latency objective is missed
 */
struct wait_facts {
    int64_t waited_ms;
    int ahead;
    enum load_state load;
    int64_t ready_in_ms;
    bool known_since_arrival;
    bool all_paused;
    int64_t paused_ms;
    int64_t place_interval_ms;
    int64_t left_ms;
    int64_t patience_ms;
    int64_t goal_ms;
};

/**
 * struct wait_decision - what to do with a request that has no place
 * @refuse: refuse it now
 * @expected_ms: expected time until it has a place; -1 when unknown
 * @retry_ms: when refused, the delay after which the caller may try again
 */
struct wait_decision {
    bool refuse;
    int64_t expected_ms;
    int64_t retry_ms;
};

#endif
