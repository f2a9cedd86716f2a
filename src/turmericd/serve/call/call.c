/**
 * DOC: Calls in progress, shared by front, route and forward.
 *
 * A table gives out the handles under its own lock. Each slot has a mutex
 * and a condition variable, so calls don't wait for each other.
 */
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"

/* A caller that keeps its connection but doesn't read would hold a thread of
 * the forward duty for ever. */
enum { WRITE_STALL_MS = 60000 };

/**
 * struct slot - one call
 * @lock: guards all other members
 * @changed: broadcast after each change that a thread may wait for
 * @generation: generation of the open call, 0 while the slot is free
 * @phase: how far the call is
 * @began: the head of the answer is known, so a refusal comes too late
 * @request: the caller's request
 * @answer: head of the answer, valid when @began
 * @err: why the call was refused or broke off
 * @outcome: what is known about a refused call
 * @output: ring buffer of CALL_OUTPUT_BYTES, allocated with the answer
 * @head: offset of the oldest byte in @output
 * @held: bytes in @output
 * @text: text of the answer so far, for a resume at another engine
 * @text_lost: @text grew beyond its bound or never could be kept
 */
struct slot {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    uint32_t generation;
    enum call_phase phase;
    bool began;
    struct call_request request;
    struct call_answer answer;
    struct err err;
    enum outcome outcome;
    unsigned char *output;
    size_t head;
    size_t held;
    GString *text;
    bool text_lost;
};

struct calls {
    pthread_mutex_t lock;
    struct table handles;
    struct slot *slots;
    uint32_t capacity;
    int64_t stall_ms;
};

/**
 * calls_new() - table for a number of calls
 * @capacity: most calls open at the same time
 * @err: filled in on failure
 */
struct calls *
calls_new(uint32_t capacity, struct err *err)
{
    struct calls *calls = calloc(1, sizeof(*calls));

    if (calls == NULL) {
        err_set(err, ERR_NO_MEMORY, "table of calls");
        return NULL;
    }
    calls->slots = calloc(capacity, sizeof(*calls->slots));
    if (calls->slots == NULL ||
        !table_init(&calls->handles, capacity, 1, err)) {
        free(calls->slots);
        free(calls);
        err_set(err, ERR_NO_MEMORY, "table of %u calls", capacity);
        return NULL;
    }
    calls->capacity = capacity;
    calls->stall_ms = WRITE_STALL_MS;
    pthread_mutex_init(&calls->lock, NULL);
    for (uint32_t i = 0; i < capacity; i++) {
        pthread_mutex_init(&calls->slots[i].lock, NULL);
        cond_init_monotonic(&calls->slots[i].changed);
    }
    return calls;
}

static void
slot_clear(struct slot *slot)
{
    free(slot->request.body);
    slot->request.body = NULL;
    free(slot->output);
    slot->output = NULL;
    slot->head = 0;
    slot->held = 0;
    if (slot->text != NULL) {
        g_string_free(slot->text, TRUE);
        slot->text = NULL;
    }
    slot->text_lost = false;
    slot->began = false;
    slot->generation = 0;
}

/**
 * calls_free() - release the table; no thread may use it any more
 * @calls: the table; may be NULL
 */
void
calls_free(struct calls *calls)
{
    if (calls == NULL) {
        return;
    }
    for (uint32_t i = 0; i < calls->capacity; i++) {
        slot_clear(&calls->slots[i]);
        pthread_cond_destroy(&calls->slots[i].changed);
        pthread_mutex_destroy(&calls->slots[i].lock);
    }
    pthread_mutex_destroy(&calls->lock);
    table_free_all(&calls->handles);
    free(calls->slots);
    free(calls);
}

/**
 * calls_set_stall_ms() - how long a write waits for a caller that doesn't read
 * @calls: the table; no call is open yet
 * @stall_ms: longest wait for room
 */
void
calls_set_stall_ms(struct calls *calls, int64_t stall_ms)
{
    calls->stall_ms = stall_ms;
}

/**
 * calls_count() - number of open calls
 * @calls: the table
 */
uint32_t
calls_count(struct calls *calls)
{
    uint32_t count;

    pthread_mutex_lock(&calls->lock);
    count = table_count(&calls->handles);
    pthread_mutex_unlock(&calls->lock);
    return count;
}

/* Returns the slot with its lock held, or NULL for a stale handle. */
static struct slot *
slot_lock(struct calls *calls, struct handle call)
{
    struct slot *slot;

    if (call.index >= calls->capacity || call.generation == 0) {
        counter_add(CTR_ANSWER_STALE, 1);
        return NULL;
    }
    slot = &calls->slots[call.index];
    pthread_mutex_lock(&slot->lock);
    if (slot->generation != call.generation) {
        pthread_mutex_unlock(&slot->lock);
        counter_add(CTR_ANSWER_STALE, 1);
        return NULL;
    }
    return slot;
}

static void
slot_unlock(struct slot *slot)
{
    pthread_mutex_unlock(&slot->lock);
}

/**
 * call_open() - enter a caller's request
 * @calls: the table
 * @request: the request; its body belongs to the call on success
 * @call: set to the call's handle
 * @err: filled in on failure
 *
 * Return: false with ERR_TABLE_FULL.
 */
bool
call_open(struct calls *calls, const struct call_request *request,
          struct handle *call, struct err *err)
{
    struct slot *slot;
    void *taken;

    pthread_mutex_lock(&calls->lock);
    taken = table_alloc(&calls->handles, call, err);
    pthread_mutex_unlock(&calls->lock);
    if (taken == NULL) {
        return false;
    }
    slot = &calls->slots[call->index];
    pthread_mutex_lock(&slot->lock);
    slot->generation = call->generation;
    slot->phase = CALL_WAITING;
    slot->request = *request;
    slot->request.claim.call = *call;
    err_clear(&slot->err);
    slot_unlock(slot);
    return true;
}

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

/**
 * call_close() - the caller is served or gone; frees the slot
 * @calls: the table
 * @call: the call
 */
void
call_close(struct calls *calls, struct handle call)
{
    struct slot *slot = slot_lock(calls, call);

    if (slot == NULL) {
        return;
    }
    slot_clear(slot);
    pthread_cond_broadcast(&slot->changed);
    slot_unlock(slot);
    pthread_mutex_lock(&calls->lock);
    table_free(&calls->handles, call);
    pthread_mutex_unlock(&calls->lock);
}

/**
 * call_copy_head() - copy a request without its body
 * @calls: the table
 * @call: the call
 * @request: set to the request, with a NULL body and its real length
 *
 * Return: false for a stale handle.
 */
bool
call_copy_head(struct calls *calls, struct handle call,
               struct call_request *request)
{
    struct slot *slot = slot_lock(calls, call);

    if (slot == NULL) {
        return false;
    }
    *request = slot->request;
    request->body = NULL;
    slot_unlock(slot);
    return true;
}

/**
 * call_copy_request() - copy a request with its body
 * @calls: the table
 * @call: the call
 * @request: set to the copy; release it with call_request_free()
 * @err: filled in on failure
 *
 * Return: false with ERR_STOPPED for a stale handle, or ERR_NO_MEMORY.
 */
bool
call_copy_request(struct calls *calls, struct handle call,
                  struct call_request *request, struct err *err)
{
    struct slot *slot = slot_lock(calls, call);
    bool copied = false;

    if (slot == NULL) {
        return err_set(err, ERR_STOPPED, "the caller is gone");
    }
    *request = slot->request;
    request->body = malloc(slot->request.body_bytes + 1);
    if (request->body == NULL) {
        err_set(err, ERR_NO_MEMORY, "copy of a body of %zu bytes",
                slot->request.body_bytes);
    }
    else {
        if (slot->request.body_bytes > 0) {
            memcpy(request->body, slot->request.body,
                   slot->request.body_bytes);
        }
        request->body[slot->request.body_bytes] = '\0';
        copied = true;
    }
    slot_unlock(slot);
    return copied;
}

/**
 * call_request_free() - release a copied request
 * @request: the copy
 */
void
call_request_free(struct call_request *request)
{
    free(request->body);
    request->body = NULL;
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

/**
 * call_add_text() - keep text of the answer for a resume elsewhere
 * @calls: the table
 * @call: the call
 * @text: more text; NULL when a part is missing, so none may be used
 * @bytes: its length
 */
void
call_add_text(struct calls *calls, struct handle call, const char *text,
              size_t bytes)
{
    struct slot *slot = slot_lock(calls, call);

    if (slot == NULL) {
        return;
    }
    if (slot->text == NULL) {
        slot->text = g_string_new(NULL);
    }
    if (text == NULL || slot->text->len + bytes > CALL_TEXT_MAX_BYTES) {
        slot->text_lost = true;
    }
    else {
        g_string_append_len(slot->text, text, (gssize)bytes);
    }
    slot_unlock(slot);
}

/**
 * call_copy_text() - text of the answer so far
 * @calls: the table
 * @call: the call
 *
 * Return: the text, freed with free(); NULL when it was not kept or the
 * caller is gone.
 */
char *
call_copy_text(struct calls *calls, struct handle call)
{
    struct slot *slot = slot_lock(calls, call);
    char *text = NULL;

    if (slot == NULL) {
        return NULL;
    }
    if (!slot->text_lost) {
        text = strdup(slot->text != NULL ? slot->text->str : "");
    }
    slot_unlock(slot);
    return text;
}
