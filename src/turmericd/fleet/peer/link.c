/**
 * DOC: Queue, state and timers of one outgoing connection.
 */
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"

enum {
    BACKOFF_MIN_MS = 100,
    BACKOFF_MAX_MS = 5000,
    CONNECT_TIMEOUT_MS = 2000,
    WRITE_TIMEOUT_MS = 5000,
    /* Longer than the longest backoff; by then the sender has retried or
     * given up, so an older frame is useless. */
    FRAME_AGE_MAX_MS = 6000,
    /* A connection that lasted this long resets the backoff. */
    BACKOFF_RESET_MS = 5000,
    /* Limits the bytes per link_write() call, so that one fast reader
     * doesn't delay the other connections. */
    WRITE_BATCH_BYTES = 256 * 1024,
};

/**
 * link_push() - append a frame to the queue
 * @link: the link
 * @frame: the frame; owned by the link from now on
 * @now_ms: current time
 */
void
link_push(struct peer_link *link, struct peer_frame *frame, int64_t now_ms)
{
    frame->queued_ms = now_ms;
    frame->next = NULL;
    if (link->head == NULL) {
        link->head = frame;
        link->progress_ms = now_ms;
    }
    else {
        link->tail->next = frame;
    }
    link->tail = frame;
}

static size_t
pop_head(struct peer_link *link)
{
    struct peer_frame *frame = link->head;
    size_t count = frame->count;

    link->head = frame->next;
    link->head_sent_bytes = 0;
    free(frame->bytes);
    free(frame);
    return count;
}

/**
 * link_drop_expired() - drop frames that were queued for too long
 * @link: the link
 * @now_ms: current time
 *
 * A partly written frame stays, because the receiver would read the next frame
 * as its remainder.
 *
 * Return: bytes dropped.
 */
size_t
link_drop_expired(struct peer_link *link, int64_t now_ms)
{
    size_t dropped = 0;

    while (link->head != NULL && link->head_sent_bytes == 0 &&
           now_ms - link->head->queued_ms >= FRAME_AGE_MAX_MS) {
        counter_add(CTR_PEER_DROPPED, 1);
        dropped += pop_head(link);
    }
    return dropped;
}

/**
 * link_drop_all() - drop all frames
 * @link: the link, without a connection
 *
 * Return: bytes dropped.
 */
size_t
link_drop_all(struct peer_link *link)
{
    size_t dropped = 0;

    while (link->head != NULL) {
        counter_add(CTR_PEER_DROPPED, 1);
        dropped += pop_head(link);
    }
    return dropped;
}

static bool
is_transient_error(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/**
 * link_write() - write queued frames until the socket would block
 * @link: the link, connected
 * @now_ms: current time
 * @written: receives the total length of the frames that were completed
 *
 * Stops after WRITE_BATCH_BYTES.
 *
 * Return: false when the connection is broken.
 */
bool
link_write(struct peer_link *link, int64_t now_ms, size_t *written)
{
    size_t batch_bytes = 0;

    *written = 0;
    while (link->head != NULL && batch_bytes < WRITE_BATCH_BYTES) {
        const struct peer_frame *frame = link->head;
        ssize_t sent =
            send(link->fd, frame->bytes + link->head_sent_bytes,
                 frame->count - link->head_sent_bytes, MSG_NOSIGNAL);

        if (sent < 0) {
            return is_transient_error(errno);
        }
        link->head_sent_bytes += (size_t)sent;
        batch_bytes += (size_t)sent;
        link->progress_ms = now_ms;
        counter_add(CTR_PEER_BYTES_OUT, (uint64_t)sent);
        if (link->head_sent_bytes == frame->count) {
            counter_add(CTR_PEER_FRAMES_OUT, 1);
            *written += pop_head(link);
        }
    }
    return true;
}

static void
link_set_state(struct peer_link *link, enum link_state state, int64_t now_ms)
{
    link->state = state;
    link->state_since_ms = now_ms;
}

/**
 * link_connect_started() - record that a connection attempt has started
 * @link: the link
 * @fd: socket of the connection
 * @now_ms: current time
 */
void
link_connect_started(struct peer_link *link, int fd, int64_t now_ms)
{
    link->fd = fd;
    link->head_sent_bytes = 0;
    link_set_state(link, LINK_CONNECTING, now_ms);
}

/**
 * link_connected() - record that the connection is established
 * @link: the link
 * @now_ms: current time
 */
void
link_connected(struct peer_link *link, int64_t now_ms)
{
    link->progress_ms = now_ms;
    link_set_state(link, LINK_CONNECTED, now_ms);
}

/**
 * link_closed() - record that the connection was closed or not established
 * @link: the link
 * @now_ms: current time
 *
 * Starts the backoff. A partly written frame is written again from its start,
 * because the receiver discards an incomplete frame with its connection.
 */
void
link_closed(struct peer_link *link, int64_t now_ms)
{
    if (link->state == LINK_CONNECTED &&
        now_ms - link->state_since_ms >= BACKOFF_RESET_MS) {
        link->backoff_ms = 0;
    }
    link->backoff_ms =
        link->backoff_ms == 0 ? BACKOFF_MIN_MS : link->backoff_ms * 2;
    if (link->backoff_ms > BACKOFF_MAX_MS) {
        link->backoff_ms = BACKOFF_MAX_MS;
    }
    link->retry_ms = now_ms + link->backoff_ms;
    link->fd = -1;
    link->head_sent_bytes = 0;
    link_set_state(link, LINK_BACKOFF, now_ms);
}

/**
 * link_connect_due() - whether to connect now for the queued frames
 * @link: the link
 * @now_ms: current time
 */
bool
link_connect_due(const struct peer_link *link, int64_t now_ms)
{
    if (link->head == NULL) {
        return false;
    }
    return link->state == LINK_IDLE ||
           (link->state == LINK_BACKOFF && now_ms >= link->retry_ms);
}

/**
 * link_timed_out() - whether connecting or writing exceeded its timeout
 * @link: the link
 * @now_ms: current time
 */
bool
link_timed_out(const struct peer_link *link, int64_t now_ms)
{
    if (link->state == LINK_CONNECTING) {
        return now_ms - link->state_since_ms >= CONNECT_TIMEOUT_MS;
    }
    return link->state == LINK_CONNECTED && link->head != NULL &&
           now_ms - link->progress_ms >= WRITE_TIMEOUT_MS;
}

/**
 * link_next_timer_ms() - when the link's next timer expires
 * @link: the link
 *
 * Return: the time, or INT64_MAX without a timer.
 */
int64_t
link_next_timer_ms(const struct peer_link *link)
{
    if (link->state == LINK_CONNECTING) {
        return link->state_since_ms + CONNECT_TIMEOUT_MS;
    }
    if (link->head == NULL) {
        return INT64_MAX;
    }
    if (link->state == LINK_CONNECTED) {
        return link->progress_ms + WRITE_TIMEOUT_MS;
    }
    return link->state == LINK_BACKOFF ? link->retry_ms : link->state_since_ms;
}
