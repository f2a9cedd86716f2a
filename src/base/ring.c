/**
 * DOC: Bounded rings between threads.
 *
 * A full ring refuses at once, so that the sender can refuse its own work by
 * name instead of waiting or dropping it.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"

/**
 * ring_init() - set up a ring
 * @ring: the ring
 * @capacity: most messages it holds
 * @message_bytes: size of a message
 * @err: filled in on failure
 *
 * Return: false with ERR_NO_MEMORY when memory is short.
 */
bool
ring_init(struct ring *ring, uint32_t capacity, size_t message_bytes,
          struct err *err)
{
    memset(ring, 0, sizeof(*ring));
    ring->messages = calloc(capacity, message_bytes);
    if (ring->messages == NULL) {
        return err_set(err, ERR_NO_MEMORY, "ring of %u messages", capacity);
    }
    ring->capacity = capacity;
    ring->message_bytes = message_bytes;
    pthread_mutex_init(&ring->lock, NULL);
    cond_init_monotonic(&ring->ready);
    return true;
}

/**
 * ring_free() - release a ring that no thread uses any more
 * @ring: the ring
 */
void
ring_free(struct ring *ring)
{
    free(ring->messages);
    ring->messages = NULL;
    pthread_cond_destroy(&ring->ready);
    pthread_mutex_destroy(&ring->lock);
}

static unsigned char *
slot_at(struct ring *ring, uint32_t offset)
{
    uint32_t index = (ring->head + offset) % ring->capacity;

    return ring->messages + (size_t)index * ring->message_bytes;
}

/**
 * ring_push() - add a message
 * @ring: the ring
 * @message: message_bytes bytes, copied
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED; the message is not added.
 */
bool
ring_push(struct ring *ring, const void *message, struct err *err)
{
    bool pushed = false;

    pthread_mutex_lock(&ring->lock);
    if (ring->closed) {
        err_set(err, ERR_STOPPED, "ring is closed");
    }
    else if (ring->count == ring->capacity) {
        err_set(err, ERR_RING_FULL, "ring holds %u messages", ring->capacity);
    }
    else {
        memcpy(slot_at(ring, ring->count), message, ring->message_bytes);
        ring->count++;
        pushed = true;
        pthread_cond_signal(&ring->ready);
    }
    pthread_mutex_unlock(&ring->lock);
    return pushed;
}

static void
wait_for_message(struct ring *ring, int64_t timeout_ms)
{
    struct timespec deadline = {0};
    int result = 0;

    if (timeout_ms >= 0) {
        deadline = clock_deadline(timeout_ms);
    }
    while (ring->count == 0 && !ring->closed && result != ETIMEDOUT) {
        if (timeout_ms < 0) {
            pthread_cond_wait(&ring->ready, &ring->lock);
        }
        else {
            result =
                pthread_cond_timedwait(&ring->ready, &ring->lock, &deadline);
        }
    }
}

/**
 * ring_pop() - take the oldest message, waiting for one
 * @ring: the ring
 * @message: where to copy it
 * @timeout_ms: longest wait; 0 doesn't wait, below 0 waits without limit
 *
 * A closed ring still gives out what it holds.
 *
 * Return: RING_OK, RING_TIMEOUT, or RING_CLOSED when closed and empty.
 */
enum ring_result
ring_pop(struct ring *ring, void *message, int64_t timeout_ms)
{
    enum ring_result result = RING_OK;

    pthread_mutex_lock(&ring->lock);
    wait_for_message(ring, timeout_ms);
    if (ring->count > 0) {
        memcpy(message, slot_at(ring, 0), ring->message_bytes);
        ring->head = (ring->head + 1) % ring->capacity;
        ring->count--;
    }
    else {
        result = ring->closed ? RING_CLOSED : RING_TIMEOUT;
    }
    pthread_mutex_unlock(&ring->lock);
    return result;
}

/**
 * ring_close() - refuse further messages and wake all waiting threads
 * @ring: the ring
 */
void
ring_close(struct ring *ring)
{
    pthread_mutex_lock(&ring->lock);
    ring->closed = true;
    pthread_cond_broadcast(&ring->ready);
    pthread_mutex_unlock(&ring->lock);
}

/**
 * ring_count() - number of messages held
 * @ring: the ring
 */
uint32_t
ring_count(struct ring *ring)
{
    uint32_t count;

    pthread_mutex_lock(&ring->lock);
    count = ring->count;
    pthread_mutex_unlock(&ring->lock);
    return count;
}
