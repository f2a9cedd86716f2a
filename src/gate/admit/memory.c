/**
 * DOC: Who may take how much of the memory for requests and responses.
 *
 * A request whose body fits beside all others is read. One that doesn't waits
 * unread, in its connection's window, while others end; when that takes too
 * long, or waiting would itself take too much, it is refused, which is true
 * as it was passed on to nobody. A part is kept for short requests, so they
 * are served beside long ones.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "gate/admit/dat.h"
#include "gate/admit/fns.h"

enum {
    BYTES_PER_MB = 1000 * 1000,
    /* Of the process's memory, this part holds requests and responses. The
     * rest is for the tables of targets and instances, which grow with the
     * deployment, and for fragments of the heap. */
    MEMORY_DIVISOR = 2,
    /* The part that only short requests and responses may use. */
    SHORT_RESERVE_DIVISOR = 8,
    /* Of that part, as much may be in the windows of requests that wait. */
    WINDOWS_DIVISOR = 2 * SHORT_RESERVE_DIVISOR,
    /* One read's worth: such a request was read before it can be refused. */
    SHORT_REQUEST_BYTES = 16 * 1024,
    /* A body without a length is expected to grow by at least this much. */
    GROWTH_MIN_BYTES = 64 * 1024,
    /* A connection passes on at least this much at a time. */
    SHARE_MIN_BYTES = 16 * 1024,
    /* Half of what callers allow: they abandon a request that isn't read
     * within the smaller of 1 s and a third of their time. */
    PAUSE_MAX_MS = 500,
    PAUSE_TIME_DIVISOR = 6,
    RETRY_MIN_MS = 200,
    RETRY_SPREAD_MS = 300,
    RETRY_TIME_DIVISOR = 4,
    /* Refusals with a shorter pause between them are one incident. */
    REFUSING_END_MS = 1000,
};

/**
 * memory_bound() - memory for requests, responses and connections
 * @memory_mb: memory limit of the process; 0 for MEMORY_DEFAULT_MB
 *
 * Return: bytes.
 */
size_t
memory_bound(int memory_mb)
{
    size_t mb = (size_t)(memory_mb > 0 ? memory_mb : MEMORY_DEFAULT_MB);

    return mb * BYTES_PER_MB / MEMORY_DIVISOR;
}

static size_t
long_request_bound(size_t bound)
{
    return bound - bound / SHORT_RESERVE_DIVISOR;
}

/**
 * memory_expected_bytes() - size that a request is expected to have
 * @held: bytes that were read of it
 * @announced: length of its body; -1 for unknown
 *
 * A request without a length is expected to double, so of those the one that
 * holds most is the first for which there is no room.
 */
size_t
memory_expected_bytes(size_t held, int64_t announced)
{
    if (announced >= 0) {
        return MAX(held, (size_t)announced);
    }
    return held <= SHORT_REQUEST_BYTES ? held
                                       : held + MAX(held, GROWTH_MIN_BYTES);
}

/**
 * memory_pause_max_ms() - how long a request may wait unread
 * @deadline_ms: time that its caller waits for a response; -1 for unknown
 */
int64_t
memory_pause_max_ms(int64_t deadline_ms)
{
    if (deadline_ms < 0) {
        return PAUSE_MAX_MS;
    }
    return MIN(PAUSE_MAX_MS, deadline_ms / PAUSE_TIME_DIVISOR);
}

/**
 * memory_decide() - whether the rest of a request is read
 * @facts: the request and what others hold
 * @now_ms: current time
 */
enum memory_verdict
memory_decide(const struct memory_facts *facts, int64_t now_ms)
{
    size_t long_bound = long_request_bound(facts->bound);

    if (facts->expected <= SHORT_REQUEST_BYTES) {
        return facts->others + facts->expected <= facts->bound ? MEMORY_READ
                                                               : MEMORY_REFUSE;
    }
    if (facts->others + facts->expected <= long_bound) {
        return MEMORY_READ;
    }
    if (facts->expected > long_bound ||
        facts->others + facts->held + PAUSED_WINDOW_BYTES >
            facts->bound - facts->bound / WINDOWS_DIVISOR) {
        return MEMORY_REFUSE;
    }
    return facts->paused_ms != 0 &&
                   now_ms - facts->paused_ms >= facts->pause_max_ms
               ? MEMORY_REFUSE
               : MEMORY_PAUSE;
}

/**
 * memory_retry_ms() - when a caller that was refused may try again
 * @deadline_ms: time that it waits for a response; -1 for unknown
 * @spread: from 0 to 1, different for each request
 */
int64_t
memory_retry_ms(int64_t deadline_ms, double spread)
{
    int64_t delay_ms = RETRY_MIN_MS + (int64_t)(RETRY_SPREAD_MS * spread);

    if (deadline_ms >= 0) {
        delay_ms = MIN(delay_ms, deadline_ms / RETRY_TIME_DIVISOR);
    }
    return MAX(delay_ms, 1);
}

/**
 * memory_share() - part of the bound that a connection may always use
 * @bound: see memory_bound()
 * @connections: number of connections
 *
 * All shares together take half of the bound.
 */
size_t
memory_share(size_t bound, size_t connections)
{
    return MAX(bound / 2 / MAX(connections, 1), SHARE_MIN_BYTES);
}

/**
 * memory_is_tight() - whether only short requests and responses have room
 * @charged: bytes that all connections take
 * @bound: see memory_bound()
 */
bool
memory_is_tight(size_t charged, size_t bound)
{
    return charged > long_request_bound(bound);
}

/**
 * memory_stops_answer() - whether to stop reading a response from its target
 * @use: the connection that the response is for
 *
 * Load: callers that take a response more slowly than its target waits for
 * them. @use->read_on lets the response go on at a bounded rate, so that it is
 * kept rather than lost; with little memory left it is not read, and its
 * target may end it.
 */
bool
memory_stops_answer(const struct memory_use *use)
{
    size_t share = memory_share(use->bound, use->connections);

    return use->waiting > MIN(share, use->waiting_max) + use->read_on ||
           (memory_is_tight(use->charged, use->bound) && use->held > share);
}

/**
 * memory_refusing_ended() - whether requests are no longer refused for lack of
 * memory
 * @last_ms: when one was last refused
 * @now_ms: current time
 */
bool
memory_refusing_ended(int64_t last_ms, int64_t now_ms)
{
    return now_ms - last_ms >= REFUSING_END_MS;
}
