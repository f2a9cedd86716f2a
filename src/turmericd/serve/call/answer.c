/**
 * DOC: How far the answer to a call is: begun, whole, refused or broken off.
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
 * call_wait_answer() - wait until the answer begins or the call is refused
 * @calls: the table
 * @call: the call
 * @answer: set to the head of the answer
 * @err: set to the reason of a refusal; may be NULL
 *
 * Return: CALL_REFUSED, or another phase when the answer has begun.
 */
enum call_phase
call_wait_answer(struct calls *calls, struct handle call,
                 struct call_answer *answer, struct err *err)
{
    struct slot *slot = slot_lock(calls, call);
    enum call_phase phase = CALL_REFUSED;

    if (slot == NULL) {
        err_set(err, ERR_INTERNAL, "the call is not open");
        return CALL_REFUSED;
    }
    while (slot->generation == call.generation &&
           slot->phase == CALL_WAITING) {
        pthread_cond_wait(&slot->changed, &slot->lock);
    }
    if (slot->generation != call.generation) {
        err_set(err, ERR_INTERNAL, "the call was closed");
    }
    else if (!slot->began) {
        if (err != NULL) {
            *err = slot->err;
        }
    }
    else {
        *answer = slot->answer;
        phase = slot->phase == CALL_REFUSED ? CALL_ANSWERING : slot->phase;
    }
    slot_unlock(slot);
    return phase;
}

/**
 * call_refusal() - why a call was refused or broke off
 * @calls: the table
 * @call: the call
 * @err: set to the reason
 * @outcome: set to what is known about the request
 *
 * Return: false when the call is neither refused nor broken.
 */
bool
call_refusal(struct calls *calls, struct handle call, struct err *err,
             enum outcome *outcome)
{
    struct slot *slot = slot_lock(calls, call);
    bool refused;

    if (slot == NULL) {
        return false;
    }
    refused = slot->phase == CALL_REFUSED;
    if (refused) {
        *err = slot->err;
        *outcome = slot->outcome;
    }
    slot_unlock(slot);
    return refused;
}

/**
 * call_start_answer() - the head of the answer is known
 * @calls: the table
 * @call: the call
 * @answer: the head
 *
 * Return: false when the caller is gone, or when the call is refused or its
 * answer has begun already.
 */
bool
call_start_answer(struct calls *calls, struct handle call,
                  const struct call_answer *answer)
{
    struct slot *slot = slot_lock(calls, call);
    bool started = false;

    if (slot == NULL) {
        return false;
    }
    if (slot->phase == CALL_WAITING) {
        slot->output = malloc(CALL_OUTPUT_BYTES);
        started = slot->output != NULL;
    }
    if (started) {
        slot->answer = *answer;
        slot->began = true;
        slot->phase = CALL_ANSWERING;
        pthread_cond_broadcast(&slot->changed);
    }
    slot_unlock(slot);
    return started;
}

/**
 * call_finish() - the answer has ended
 * @calls: the table
 * @call: the call
 * @whole: false when it broke off and will not go on
 *
 * Return: false when the caller is gone or no answer was in progress.
 */
bool
call_finish(struct calls *calls, struct handle call, bool whole)
{
    struct slot *slot = slot_lock(calls, call);
    bool finished;

    if (slot == NULL) {
        return false;
    }
    finished = slot->phase == CALL_ANSWERING;
    if (finished && whole) {
        slot->phase = CALL_DONE;
        counter_add(CTR_ANSWERS, 1);
    }
    else if (finished) {
        slot->phase = CALL_REFUSED;
        slot->outcome = OUTCOME_UNKNOWN;
        err_set(&slot->err, ERR_TARGET_FAILED, "the answer broke off");
    }
    pthread_cond_broadcast(&slot->changed);
    slot_unlock(slot);
    return finished;
}

/**
 * call_refuse() - refuse a call, or end an answer that has begun as broken
 * @calls: the table
 * @call: the call
 * @err: reason
 * @outcome: what is known about the request
 *
 * Return: false when the caller is gone or the call has already ended.
 */
bool
call_refuse(struct calls *calls, struct handle call, const struct err *err,
            enum outcome outcome)
{
    struct slot *slot = slot_lock(calls, call);
    bool refused;

    if (slot == NULL) {
        return false;
    }
    refused = slot->phase == CALL_WAITING || slot->phase == CALL_ANSWERING;
    if (refused) {
        slot->phase = CALL_REFUSED;
        slot->err = *err;
        slot->outcome = outcome;
        pthread_cond_broadcast(&slot->changed);
    }
    slot_unlock(slot);
    return refused;
}
