/**
 * DOC: Table of the calls in progress, shared by frontend, route and
 * forward.
 *
 * Handles are allocated under the table's lock. Each slot has its own mutex
 * and condition variable, so that calls don't block each other.
 */
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
#include "turmericd/serve/call/internal.h"

/* Without a limit, a caller that keeps its connection open but doesn't read
 * would block a worker thread of the forward duty forever. */
enum { CALL_WRITE_TIMEOUT_MS = 60000 };

/**
 * calls_new() - create a table of calls
 * @capacity: maximum number of calls open at the same time
 * @err: set to ERR_NO_MEMORY on failure
 *
 * Return: the table, released with calls_free(); NULL on failure.
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
    calls->write_timeout_ms = CALL_WRITE_TIMEOUT_MS;
    pthread_mutex_init(&calls->lock, NULL);
    for (uint32_t i = 0; i < capacity; i++) {
        pthread_mutex_init(&calls->slots[i].lock, NULL);
        cond_init_monotonic(&calls->slots[i].changed);
    }
    return calls;
}

static void
call_slot_clear(struct call_slot *slot)
{
    free(slot->request.body);
    slot->request.body = NULL;
    free(slot->output);
    slot->output = NULL;
    slot->output_start = 0;
    slot->output_used = 0;
    if (slot->text != NULL) {
        g_string_free(slot->text, TRUE);
        slot->text = NULL;
    }
    slot->text_incomplete = false;
    slot->answer_started = false;
    slot->generation = 0;
}

/**
 * calls_free() - release a table that no thread uses any more
 * @calls: table of calls; may be NULL
 */
void
calls_free(struct calls *calls)
{
    if (calls == NULL) {
        return;
    }
    for (uint32_t i = 0; i < calls->capacity; i++) {
        call_slot_clear(&calls->slots[i]);
        pthread_cond_destroy(&calls->slots[i].changed);
        pthread_mutex_destroy(&calls->slots[i].lock);
    }
    pthread_mutex_destroy(&calls->lock);
    table_destroy(&calls->handles);
    free(calls->slots);
    free(calls);
}

/**
 * calls_set_write_timeout_ms() - set the timeout of call_write()
 * @calls: table of calls, in which no call is open yet
 * @write_timeout_ms: longest wait for free space in the output buffer, after
 *                    which the call fails with ERR_TIMEOUT
 */
void
calls_set_write_timeout_ms(struct calls *calls, int64_t write_timeout_ms)
{
    calls->write_timeout_ms = write_timeout_ms;
}

/**
 * calls_count() - number of open calls
 * @calls: table of calls
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

/**
 * call_slot_lock() - lock the slot of a call
 * @calls: table of calls
 * @call: handle of the call
 *
 * Return: the slot with its lock held; NULL for a stale handle, which is
 * counted.
 */
struct call_slot *
call_slot_lock(struct calls *calls, struct handle call)
{
    struct call_slot *slot;

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

/**
 * call_slot_unlock() - release the lock acquired by call_slot_lock()
 * @slot: the slot
 */
void
call_slot_unlock(struct call_slot *slot)
{
    pthread_mutex_unlock(&slot->lock);
}

/**
 * call_open() - allocate a call for a caller's request
 * @calls: table of calls
 * @request: the request, copied; on success the call takes ownership of its
 *           body
 * @call: set to the handle of the call
 * @err: set to ERR_TABLE_FULL on failure
 *
 * Return: false when the table is full.
 */
bool
call_open(struct calls *calls, const struct call_request *request,
          struct handle *call, struct err *err)
{
    struct call_slot *slot;
    void *allocated;

    pthread_mutex_lock(&calls->lock);
    allocated = table_alloc(&calls->handles, call, err);
    pthread_mutex_unlock(&calls->lock);
    if (allocated == NULL) {
        return false;
    }
    slot = &calls->slots[call->index];
    pthread_mutex_lock(&slot->lock);
    slot->generation = call->generation;
    slot->phase = CALL_WAITING;
    slot->request = *request;
    slot->request.claim.call = *call;
    err_clear(&slot->err);
    call_slot_unlock(slot);
    return true;
}

/**
 * call_close() - free the slot of a call whose caller is served or gone
 * @calls: table of calls
 * @call: handle of the call, which is stale from now on
 */
void
call_close(struct calls *calls, struct handle call)
{
    struct call_slot *slot = call_slot_lock(calls, call);

    if (slot == NULL) {
        return;
    }
    call_slot_clear(slot);
    pthread_cond_broadcast(&slot->changed);
    call_slot_unlock(slot);
    pthread_mutex_lock(&calls->lock);
    table_free(&calls->handles, call);
    pthread_mutex_unlock(&calls->lock);
}

/**
 * call_copy_request_meta() - copy a request without its body
 * @calls: table of calls
 * @call: handle of the call
 * @request: set to the request; body is NULL, body_bytes its real length
 *
 * Return: false for a stale handle.
 */
bool
call_copy_request_meta(struct calls *calls, struct handle call,
                       struct call_request *request)
{
    struct call_slot *slot = call_slot_lock(calls, call);

    if (slot == NULL) {
        return false;
    }
    *request = slot->request;
    request->body = NULL;
    call_slot_unlock(slot);
    return true;
}

/**
 * call_copy_request() - copy a request with its body
 * @calls: table of calls
 * @call: handle of the call
 * @request: set to the copy, released with call_request_free()
 * @err: set on failure: ERR_STOPPED for a stale handle, or ERR_NO_MEMORY
 *
 * Return: false on failure.
 */
bool
call_copy_request(struct calls *calls, struct handle call,
                  struct call_request *request, struct err *err)
{
    struct call_slot *slot = call_slot_lock(calls, call);
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
    call_slot_unlock(slot);
    return copied;
}

/**
 * call_request_free() - release the body of a copied request
 * @request: copy made by call_copy_request()
 */
void
call_request_free(struct call_request *request)
{
    free(request->body);
    request->body = NULL;
}

/**
 * call_append_text() - append to the text generated so far
 * @calls: table of calls
 * @call: handle of the call
 * @text: text to append; NULL when a part of the answer can't be stored as
 *        text, which makes the stored text unusable
 * @bytes: length of @text
 */
void
call_append_text(struct calls *calls, struct handle call, const char *text,
                 size_t bytes)
{
    struct call_slot *slot = call_slot_lock(calls, call);

    if (slot == NULL) {
        return;
    }
    if (slot->text == NULL) {
        slot->text = g_string_new(NULL);
    }
    if (text == NULL || slot->text->len + bytes > CALL_TEXT_MAX_BYTES) {
        slot->text_incomplete = true;
    }
    else {
        g_string_append_len(slot->text, text, (gssize)bytes);
    }
    call_slot_unlock(slot);
}

/**
 * call_text_is_complete() - whether another engine can continue the text
 * @calls: table of calls
 * @call: handle of the call
 */
bool
call_text_is_complete(struct calls *calls, struct handle call)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    bool complete;

    if (slot == NULL) {
        return false;
    }
    complete = !slot->text_incomplete;
    call_slot_unlock(slot);
    return complete;
}

/**
 * call_copy_text() - copy the text generated so far
 * @calls: table of calls
 * @call: handle of the call
 *
 * Return: the text, freed with free(); NULL when it is incomplete, the caller
 * is gone or there is no memory.
 */
char *
call_copy_text(struct calls *calls, struct handle call)
{
    struct call_slot *slot = call_slot_lock(calls, call);
    char *text = NULL;

    if (slot == NULL) {
        return NULL;
    }
    if (!slot->text_incomplete) {
        text = strdup(slot->text != NULL ? slot->text->str : "");
    }
    call_slot_unlock(slot);
    return text;
}
