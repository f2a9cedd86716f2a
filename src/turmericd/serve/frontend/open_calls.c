/**
 * DOC: Tracks calls in progress, so that a graceful stop can wait for them.
 */
#include <errno.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/frontend/internal.h"

/* Time for the refusals of aborted calls to reach their callers. */
enum { REFUSAL_SEND_MS = 2000 };

/**
 * open_calls_reserve() - reserve an entry for a call before it is opened
 * @frontend: the duty
 * @err: filled in when the call is refused
 *
 * Return: false with ERR_STOPPED or ERR_TABLE_FULL.
 */
bool
open_calls_reserve(struct frontend *frontend, struct err *err)
{
    bool reserved = false;

    pthread_mutex_lock(&frontend->lock);
    if (frontend->refusing_calls) {
        err_set(err, ERR_STOPPED, "the instance is stopping");
    }
    else if (frontend->open_call_count == OPEN_CALLS_MAX) {
        err_set(err, ERR_TABLE_FULL, "the limit of %d open calls is reached",
                OPEN_CALLS_MAX);
    }
    else {
        frontend->open_calls[frontend->open_call_count++] = (struct handle){0};
        reserved = true;
    }
    pthread_mutex_unlock(&frontend->lock);
    return reserved;
}

/* Called with the lock held. */
static int
find_open_call(const struct frontend *frontend, struct handle call)
{
    for (int i = 0; i < frontend->open_call_count; i++) {
        if (frontend->open_calls[i].index == call.index &&
            frontend->open_calls[i].generation == call.generation) {
            return i;
        }
    }
    return -1;
}

static void
remove_open_call(struct frontend *frontend, struct handle call)
{
    int index;

    pthread_mutex_lock(&frontend->lock);
    index = find_open_call(frontend, call);
    if (index >= 0) {
        frontend->open_calls[index] =
            frontend->open_calls[--frontend->open_call_count];
        pthread_cond_broadcast(&frontend->changed);
    }
    pthread_mutex_unlock(&frontend->lock);
}

/**
 * open_calls_release() - release a reserved entry whose call was not opened
 * @frontend: the duty
 */
void
open_calls_release(struct frontend *frontend)
{
    remove_open_call(frontend, (struct handle){0});
}

/**
 * open_calls_add() - record an opened call in a reserved entry
 * @frontend: the duty
 * @call: the opened call
 */
void
open_calls_add(struct frontend *frontend, struct handle call)
{
    int index;

    pthread_mutex_lock(&frontend->lock);
    index = find_open_call(frontend, (struct handle){0});
    if (index >= 0) {
        frontend->open_calls[index] = call;
    }
    pthread_mutex_unlock(&frontend->lock);
}

/**
 * open_calls_remove() - remove the entry of a closed call
 * @frontend: the duty
 * @call: the closed call
 */
void
open_calls_remove(struct frontend *frontend, struct handle call)
{
    remove_open_call(frontend, call);
}

/* Called with the lock held. */
static void
refuse_open_calls(struct frontend *frontend)
{
    struct err err = {0};

    err_set(&err, ERR_STOPPED,
            "the instance is stopping; the drain timeout has passed");
    for (int i = 0; i < frontend->open_call_count; i++) {
        call_fail(frontend->calls, frontend->open_calls[i], &err,
                  OUTCOME_UNKNOWN);
    }
}

/* Called with the lock held. */
static void
wait_until_all_closed(struct frontend *frontend, int64_t timeout_ms)
{
    struct timespec deadline = clock_deadline(timeout_ms);
    int result = 0;

    while (frontend->open_call_count > 0 && result != ETIMEDOUT) {
        result = pthread_cond_timedwait(&frontend->changed, &frontend->lock,
                                        &deadline);
    }
}

/**
 * open_calls_drain() - refuse new calls and wait for open ones to close
 * @frontend: the duty
 * @timeout_ms: longest wait; calls that are still open then are refused, or
 *              aborted when their response has started
 *
 * Return: number of calls that were aborted.
 */
int
open_calls_drain(struct frontend *frontend, int64_t timeout_ms)
{
    int aborted_count;

    pthread_mutex_lock(&frontend->lock);
    frontend->refusing_calls = true;
    wait_until_all_closed(frontend, timeout_ms);
    aborted_count = frontend->open_call_count;
    refuse_open_calls(frontend);
    wait_until_all_closed(frontend, REFUSAL_SEND_MS);
    pthread_mutex_unlock(&frontend->lock);
    return aborted_count;
}
