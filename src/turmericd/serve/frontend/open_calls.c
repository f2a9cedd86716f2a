/**
 * DOC: Calls in progress, so that a stop can wait for them.
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

/* For the refusals of calls that are cut off to reach their callers. */
enum { LAST_WORDS_MS = 2000 };

/**
 * open_reserve() - take a place for a call before it is opened
 * @front: the duty
 * @err: filled in when it is refused
 *
 * Return: false with ERR_STOPPED or ERR_TABLE_FULL.
 */
bool
open_reserve(struct front *front, struct err *err)
{
    bool reserved = false;

    pthread_mutex_lock(&front->lock);
    if (front->refusing) {
        err_set(err, ERR_STOPPED, "the instance stops");
    }
    else if (front->open_count == OPEN_MAX) {
        err_set(err, ERR_TABLE_FULL, "%d calls are open", OPEN_MAX);
    }
    else {
        front->open[front->open_count++] = (struct handle){0};
        reserved = true;
    }
    pthread_mutex_unlock(&front->lock);
    return reserved;
}

/* Called with the lock held. */
static int
find(const struct front *front, struct handle call)
{
    for (int i = 0; i < front->open_count; i++) {
        if (front->open[i].index == call.index &&
            front->open[i].generation == call.generation) {
            return i;
        }
    }
    return -1;
}

static void
remove_entry(struct front *front, struct handle call)
{
    int index;

    pthread_mutex_lock(&front->lock);
    index = find(front, call);
    if (index >= 0) {
        front->open[index] = front->open[--front->open_count];
        pthread_cond_broadcast(&front->changed);
    }
    pthread_mutex_unlock(&front->lock);
}

/**
 * open_release() - give a place back that no call was opened for
 * @front: the duty
 */
void
open_release(struct front *front)
{
    remove_entry(front, (struct handle){0});
}

/**
 * open_add() - a call was opened for a reserved place
 * @front: the duty
 * @call: the call
 */
void
open_add(struct front *front, struct handle call)
{
    int index;

    pthread_mutex_lock(&front->lock);
    index = find(front, (struct handle){0});
    if (index >= 0) {
        front->open[index] = call;
    }
    pthread_mutex_unlock(&front->lock);
}

/**
 * open_remove() - a call was closed
 * @front: the duty
 * @call: the call
 */
void
open_remove(struct front *front, struct handle call)
{
    remove_entry(front, call);
}

/* Called with the lock held. */
static void
refuse_open(struct front *front)
{
    struct err err = {0};

    err_set(&err, ERR_STOPPED, "the instance stops and can't wait longer");
    for (int i = 0; i < front->open_count; i++) {
        call_refuse(front->calls, front->open[i], &err, OUTCOME_UNKNOWN);
    }
}

/* Called with the lock held. */
static void
wait_until_closed(struct front *front, int64_t timeout_ms)
{
    struct timespec deadline = clock_deadline(timeout_ms);
    int result = 0;

    while (front->open_count > 0 && result != ETIMEDOUT) {
        result =
            pthread_cond_timedwait(&front->changed, &front->lock, &deadline);
    }
}

/**
 * open_drain() - refuse new calls and wait for the open ones
 * @front: the duty
 * @timeout_ms: longest wait; what is open then is refused or broken off
 *
 * Return: number of calls that were cut off.
 */
int
open_drain(struct front *front, int64_t timeout_ms)
{
    int cut_off;

    pthread_mutex_lock(&front->lock);
    front->refusing = true;
    wait_until_closed(front, timeout_ms);
    cut_off = front->open_count;
    refuse_open(front);
    wait_until_closed(front, LAST_WORDS_MS);
    pthread_mutex_unlock(&front->lock);
    return cut_off;
}
