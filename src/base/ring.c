/**
 * DOC: Bounded message queues between threads.
 *
 * A push to a full ring fails at once, so that the sender can reject its own
 * work with a typed error instead of blocking or dropping it.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"

/**
 * ring_init() - initialize a ring
 * @ring: the ring
 * @capacity: maximum number of messages
 * @message_bytes: size of a message
 * @err: filled in on failure
 *
 * Return: false with ERR_NO_MEMORY when the allocation fails.
 */
bool
ring_init(struct ring *ring, uint32_t capacity, size_t message_bytes,
          struct err *err)
{
    memset(ring, 0, sizeof(*ring));
    ring->messages = calloc(capacity, message_bytes);
    if (ring->messages == NULL) {
        return err_set(err, ERR_NO_MEMORY,
                       "cannot allocate a ring of %u messages", capacity);
    }
    ring->capacity = capacity;
    ring->message_bytes = message_bytes;
    pthread_mutex_init(&ring->lock, NULL);
    cond_init_monotonic(&ring->not_empty);
    return true;
}

/**
 * ring_free() - free a ring that no thread uses any more
 * @ring: the ring
 */
void
ring_free(struct ring *ring)
{
    free(ring->messages);
    ring->messages = NULL;
    pthread_cond_destroy(&ring->not_empty);
    pthread_mutex_destroy(&ring->lock);
}

static unsigned char *
slot_at(struct ring *ring, uint32_t offset)
{
    uint32_t index = (ring->head + offset) % ring->capacity;

    return ring->messages + (size_t)index * ring->message_bytes;
}

/**
 * ring_push() - append a message without blocking
 * @ring: the ring
 * @message: message of the ring's message size; copied
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
        err_set(err, ERR_RING_FULL, "ring is full with %u messages",
                ring->capacity);
    }
    else {
        memcpy(slot_at(ring, ring->count), message, ring->message_bytes);
        ring->count++;
        pushed = true;
        pthread_cond_signal(&ring->not_empty);
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
            pthread_cond_wait(&ring->not_empty, &ring->lock);
        }
        else {
            result = pthread_cond_timedwait(&ring->not_empty, &ring->lock,
                                            &deadline);
        }
    }
}

/**
 * ring_pop() - remove the oldest message, waiting until there is one
 * @ring: the ring
 * @message: buffer for the message
 * @timeout_ms: longest wait; 0 doesn't wait, below 0 waits without limit
 *
 * Messages left in a closed ring can still be popped.
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
 * ring_close() - reject further messages and wake all waiting threads
 * @ring: the ring
 */
void
ring_close(struct ring *ring)
{
    pthread_mutex_lock(&ring->lock);
    ring->closed = true;
    pthread_cond_broadcast(&ring->not_empty);
    pthread_mutex_unlock(&ring->lock);
}

/**
 * ring_count() - number of queued messages
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
