/**
 * DOC: Bounded output buffer of an answer, between its writer and its reader.
 */
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/call/internal.h"

static size_t
output_read(struct call_slot *slot, char *buffer, size_t bytes)
{
    size_t count = bytes < slot->output_used ? bytes : slot->output_used;
    size_t contiguous = CALL_OUTPUT_BUFFER_BYTES - slot->output_start;

    contiguous = count < contiguous ? count : contiguous;
    memcpy(buffer, slot->output + slot->output_start, contiguous);
    memcpy(buffer + contiguous, slot->output, count - contiguous);
    slot->output_start =
        (slot->output_start + count) % CALL_OUTPUT_BUFFER_BYTES;
    slot->output_used -= count;
    return count;
}

static size_t
output_append(struct call_slot *slot, const unsigned char *data, size_t bytes)
{
    size_t free_bytes = CALL_OUTPUT_BUFFER_BYTES - slot->output_used;
    size_t count = bytes < free_bytes ? bytes : free_bytes;
    size_t write_offset =
        (slot->output_start + slot->output_used) % CALL_OUTPUT_BUFFER_BYTES;
    size_t contiguous = CALL_OUTPUT_BUFFER_BYTES - write_offset;

    contiguous = count < contiguous ? count : contiguous;
    memcpy(slot->output + write_offset, data, contiguous);
    memcpy(slot->output, data + contiguous, count - contiguous);
    slot->output_used += count;
    return count;
}

/**
 * call_read() - read output of the answer; blocks until there is some
 * @calls: table of calls
 * @call: handle of the call
 * @buffer: destination
 * @bytes: size of @buffer
 *
 * Return: number of bytes read; 0 at the end of a complete answer; -1 when
 * the call has failed and all its output has been read, or the handle is
 * stale.
 */
ssize_t
call_read(struct calls *calls, struct handle call, char *buffer, size_t bytes)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    ssize_t result = -1;

    if (slot == NULL) {
        return -1;
    }
    while (slot->generation == call.generation && slot->output_used == 0 &&
           (slot->phase == CALL_WAITING || slot->phase == CALL_ANSWERING)) {
        pthread_cond_wait(&slot->changed, &slot->lock);
    }
    if (slot->generation == call.generation) {
        if (slot->output_used > 0) {
            result = (ssize_t)output_read(slot, buffer, bytes);
            pthread_cond_broadcast(&slot->changed);
        }
        else if (slot->phase == CALL_DONE) {
            result = 0;
        }
    }
    call_slot_unlock(slot);
    return result;
}

static bool
is_answering(const struct call_slot *slot, struct handle call)
{
    return slot->generation == call.generation &&
           slot->phase == CALL_ANSWERING;
}

/* Returns false when the call has ended, or fails here on a timeout. */
static bool
wait_for_space(struct call_slot *slot, struct handle call,
               int64_t write_timeout_ms)
{
    struct timespec deadline = clock_deadline(write_timeout_ms);
    int result = 0;

    while (is_answering(slot, call) &&
           slot->output_used == CALL_OUTPUT_BUFFER_BYTES &&
           result != ETIMEDOUT) {
        result =
            pthread_cond_timedwait(&slot->changed, &slot->lock, &deadline);
    }
    if (is_answering(slot, call) &&
        slot->output_used == CALL_OUTPUT_BUFFER_BYTES) {
        slot->phase = CALL_FAILED;
        slot->outcome = OUTCOME_UNKNOWN;
        err_set(&slot->err, ERR_TIMEOUT,
                "the caller stopped reading the answer");
        pthread_cond_broadcast(&slot->changed);
    }
    return is_answering(slot, call);
}

/**
 * call_write() - write output of the answer; blocks while the buffer is full
 * @calls: table of calls
 * @call: handle of the call
 * @data: the output
 * @bytes: length of @data
 *
 * Return: false when the caller is gone or doesn't read, or the answer is not
 * in progress; part of the output may have been written then.
 */
bool
call_write(struct calls *calls, struct handle call, const void *data,
           size_t bytes)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    const unsigned char *next = data;
    bool answering;

    if (slot == NULL) {
        return false;
    }
    answering = is_answering(slot, call);
    while (answering && bytes > 0) {
        size_t count = output_append(slot, next, bytes);

        next += count;
        bytes -= count;
        if (count > 0) {
            pthread_cond_broadcast(&slot->changed);
        }
        if (bytes > 0) {
            answering = wait_for_space(slot, call, calls->write_timeout_ms);
        }
    }
    call_slot_unlock(slot);
    return answering;
}
