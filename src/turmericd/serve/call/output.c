/**
 * DOC: Output of answers: a bounded buffer between writer and reader.
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
output_take(struct slot *slot, char *buffer, size_t bytes)
{
    size_t count = bytes < slot->held ? bytes : slot->held;
    size_t first = CALL_OUTPUT_BYTES - slot->head;

    first = count < first ? count : first;
    memcpy(buffer, slot->output + slot->head, first);
    memcpy(buffer + first, slot->output, count - first);
    slot->head = (slot->head + count) % CALL_OUTPUT_BYTES;
    slot->held -= count;
    return count;
}

static size_t
output_put(struct slot *slot, const unsigned char *data, size_t bytes)
{
    size_t room = CALL_OUTPUT_BYTES - slot->held;
    size_t count = bytes < room ? bytes : room;
    size_t tail = (slot->head + slot->held) % CALL_OUTPUT_BYTES;
    size_t first = CALL_OUTPUT_BYTES - tail;

    first = count < first ? count : first;
    memcpy(slot->output + tail, data, first);
    memcpy(slot->output, data + first, count - first);
    slot->held += count;
    return count;
}

/**
 * call_read() - take output of the answer, waiting for some
 * @calls: the table
 * @call: the call
 * @buffer: where to copy it
 * @bytes: most bytes to copy
 *
 * Return: number of bytes; 0 at the end of a whole answer; -1 when the
 * answer broke off, after all output before the break was read.
 */
ssize_t
call_read(struct calls *calls, struct handle call, char *buffer, size_t bytes)
{
    struct slot *slot = slot_lock(calls, call);
    ssize_t result = -1;

    if (slot == NULL) {
        return -1;
    }
    while (slot->generation == call.generation && slot->held == 0 &&
           (slot->phase == CALL_WAITING || slot->phase == CALL_ANSWERING)) {
        pthread_cond_wait(&slot->changed, &slot->lock);
    }
    if (slot->generation == call.generation) {
        if (slot->held > 0) {
            result = (ssize_t)output_take(slot, buffer, bytes);
            pthread_cond_broadcast(&slot->changed);
        }
        else if (slot->phase == CALL_DONE) {
            result = 0;
        }
    }
    slot_unlock(slot);
    return result;
}

static bool
is_open(const struct slot *slot, struct handle call)
{
    return slot->generation == call.generation &&
           slot->phase == CALL_ANSWERING;
}

/* Returns false when the call ended, or was ended because no room came. */
static bool
wait_for_room(struct slot *slot, struct handle call, int64_t stall_ms)
{
    struct timespec deadline = clock_deadline(stall_ms);
    int result = 0;

    while (is_open(slot, call) && slot->held == CALL_OUTPUT_BYTES &&
           result != ETIMEDOUT) {
        result =
            pthread_cond_timedwait(&slot->changed, &slot->lock, &deadline);
    }
    if (is_open(slot, call) && slot->held == CALL_OUTPUT_BYTES) {
        slot->phase = CALL_REFUSED;
        slot->outcome = OUTCOME_UNKNOWN;
        err_set(&slot->err, ERR_TIMEOUT, "the caller did not read");
        pthread_cond_broadcast(&slot->changed);
    }
    return is_open(slot, call);
}

/**
 * call_write() - add output; waits while the buffer is full
 * @calls: the table
 * @call: the call
 * @data: the output
 * @bytes: its length
 *
 * Return: false when the caller is gone or doesn't read, or the call is at
 * its end; part of the output may have been taken then.
 */
bool
call_write(struct calls *calls, struct handle call, const void *data,
           size_t bytes)
{
    struct slot *slot = slot_lock(calls, call);
    const unsigned char *next = data;
    bool open;

    if (slot == NULL) {
        return false;
    }
    open = is_open(slot, call);
    while (open && bytes > 0) {
        size_t count = output_put(slot, next, bytes);

        next += count;
        bytes -= count;
        if (count > 0) {
            pthread_cond_broadcast(&slot->changed);
        }
        if (bytes > 0) {
            open = wait_for_room(slot, call, calls->stall_ms);
        }
    }
    slot_unlock(slot);
    return open;
}
