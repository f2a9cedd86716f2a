/**
 * DOC: State of the answer to a call: started, complete, refused or cut off.
 */
#include <glib.h>
#include <stdlib.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/call/internal.h"

/**
 * call_wait_answer() - wait until the answer starts or the call is refused
 * @calls: table of calls
 * @call: handle of the call
 * @head: set to the head of the answer, unless CALL_FAILED is returned
 * @err: set to the error when CALL_FAILED is returned; may be NULL
 *
 * Return: CALL_FAILED when the call failed before its answer started, else
 * CALL_ANSWERING or CALL_DONE.
 */
enum call_phase
call_wait_answer(struct calls *calls, struct handle call,
                 struct call_answer_head *head, struct err *err)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    enum call_phase phase = CALL_FAILED;

    if (slot == NULL) {
        err_set(err, ERR_INTERNAL, "call handle is stale");
        return CALL_FAILED;
    }
    while (slot->generation == call.generation &&
           slot->phase == CALL_WAITING) {
        pthread_cond_wait(&slot->changed, &slot->lock);
    }
    if (slot->generation != call.generation) {
        err_set(err, ERR_INTERNAL, "the call was closed while it waited");
    }
    else if (!slot->answer_started) {
        if (err != NULL) {
            *err = slot->err;
        }
    }
    else {
        *head = slot->answer_head;
        phase = slot->phase == CALL_FAILED ? CALL_ANSWERING : slot->phase;
    }
    call_slot_unlock(slot);
    return phase;
}

/**
 * call_get_failure() - error of a call that was refused or cut off
 * @calls: table of calls
 * @call: handle of the call
 * @err: set to the error
 * @outcome: set to whether the request may have run
 *
 * Return: false when the call has not failed or the handle is stale.
 */
bool
call_get_failure(struct calls *calls, struct handle call, struct err *err,
                 enum outcome *outcome)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    bool failed;

    if (slot == NULL) {
        return false;
    }
    failed = slot->phase == CALL_FAILED;
    if (failed) {
        *err = slot->err;
        *outcome = slot->outcome;
    }
    call_slot_unlock(slot);
    return failed;
}

/**
 * call_start_answer() - set the head of the answer and allocate its buffer
 * @calls: table of calls
 * @call: handle of the call
 * @head: head of the answer, copied
 *
 * Return: false when the caller is gone, the call has failed, its answer has
 * already started, or there is no memory for the output buffer.
 */
bool
call_start_answer(struct calls *calls, struct handle call,
                  const struct call_answer_head *head)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    bool started = false;

    if (slot == NULL) {
        return false;
    }
    if (slot->phase == CALL_WAITING) {
        slot->output = malloc(CALL_OUTPUT_BUFFER_BYTES);
        started = slot->output != NULL;
    }
    if (started) {
        slot->answer_head = *head;
        slot->answer_started = true;
        slot->phase = CALL_ANSWERING;
        pthread_cond_broadcast(&slot->changed);
    }
    call_slot_unlock(slot);
    return started;
}

/**
 * call_end_answer() - end an answer that has started
 * @calls: table of calls
 * @call: handle of the call
 * @complete: false when the answer was cut off and can't be resumed
 *
 * Return: false when the caller is gone or no answer was in progress.
 */
bool
call_end_answer(struct calls *calls, struct handle call, bool complete)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    bool ended;

    if (slot == NULL) {
        return false;
    }
    ended = slot->phase == CALL_ANSWERING;
    if (ended && complete) {
        slot->phase = CALL_DONE;
        counter_add(CTR_ANSWERS, 1);
    }
    else if (ended) {
        slot->phase = CALL_FAILED;
        slot->outcome = OUTCOME_UNKNOWN;
        err_set(&slot->err, ERR_TARGET_FAILED,
                "the answer ended before it was complete");
    }
    pthread_cond_broadcast(&slot->changed);
    call_slot_unlock(slot);
    return ended;
}

/**
 * call_fail() - refuse a call, or cut off an answer that has started
 * @calls: table of calls
 * @call: handle of the call
 * @err: the error, copied
 * @outcome: whether the request may have run
 *
 * Return: false when the caller is gone or the call has already ended.
 */
bool
call_fail(struct calls *calls, struct handle call, const struct err *err,
          enum outcome outcome)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    bool failed;

    if (slot == NULL) {
        return false;
    }
    failed = slot->phase == CALL_WAITING || slot->phase == CALL_ANSWERING;
    if (failed) {
        slot->phase = CALL_FAILED;
        slot->err = *err;
        slot->outcome = outcome;
        pthread_cond_broadcast(&slot->changed);
    }
    call_slot_unlock(slot);
    return failed;
}
