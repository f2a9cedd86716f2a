/**
 * DOC: Queue and timers of one outgoing connection.
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
    /* Frames older than the longest backoff are of no use to their sender,
     * who has asked again or given up. */
    FRAME_AGE_MAX_MS = 6000,
    /* A connection that lasted this long starts the backoff anew. */
    STABLE_MS = 5000,
    /* Most bytes written in one turn, so that one fast reader doesn't hold
     * up the other connections. */
    WRITE_TURN_BYTES = 256 * 1024,
};

/**
 * link_push() - add a frame to the queue
 * @link: the link
 * @frame: the frame; the link owns it from now on
 * @now_ms: present time
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
    link->sent = 0;
    free(frame->bytes);
    free(frame);
    return count;
}

/**
 * link_drop_old() - drop frames that have waited too long
 * @link: the link
 * @now_ms: present time
 *
 * A frame that is partly written stays, or the receiver would read the next
 * frame as its rest.
 *
 * Return: bytes dropped.
 */
size_t
link_drop_old(struct peer_link *link, int64_t now_ms)
{
    size_t dropped = 0;

    while (link->head != NULL && link->sent == 0 &&
           now_ms - link->head->queued_ms >= FRAME_AGE_MAX_MS) {
        counter_add(CTR_PEER_DROPPED, 1);
        dropped += pop_head(link);
    }
    return dropped;
}

/**
 * link_drop_all() - drop every frame
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
may_continue(int error)
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR;
}

/**
 * link_write() - write as much as the connection takes in one turn
 * @link: the link, connected
 * @now_ms: present time
 * @written: receives the bytes of the frames that are complete
 *
 * Return: false when the connection is broken.
 */
bool
link_write(struct peer_link *link, int64_t now_ms, size_t *written)
{
    size_t turn = 0;

    *written = 0;
    while (link->head != NULL && turn < WRITE_TURN_BYTES) {
        const struct peer_frame *frame = link->head;
        ssize_t sent = send(link->fd, frame->bytes + link->sent,
                            frame->count - link->sent, MSG_NOSIGNAL);

        if (sent < 0) {
            return may_continue(errno);
        }
        link->sent += (size_t)sent;
        turn += (size_t)sent;
        link->progress_ms = now_ms;
        counter_add(CTR_PEER_BYTES_OUT, (uint64_t)sent);
        if (link->sent == frame->count) {
            counter_add(CTR_PEER_FRAMES_OUT, 1);
            *written += pop_head(link);
        }
    }
    return true;
}

static void
link_enter(struct peer_link *link, enum link_state state, int64_t now_ms)
{
    link->state = state;
    link->state_ms = now_ms;
}

/**
 * link_opened() - a connection is being made
 * @link: the link
 * @fd: its socket
 * @now_ms: present time
 */
void
link_opened(struct peer_link *link, int fd, int64_t now_ms)
{
    link->fd = fd;
    link->sent = 0;
    link_enter(link, LINK_CONNECTING, now_ms);
}

/**
 * link_connected() - the connection is made
 * @link: the link
 * @now_ms: present time
 */
void
link_connected(struct peer_link *link, int64_t now_ms)
{
    link->progress_ms = now_ms;
    link_enter(link, LINK_UP, now_ms);
}

/**
 * link_closed() - the connection has ended or could not be made
 * @link: the link
 * @now_ms: present time
 *
 * A frame that was partly written is written again from its start: the
 * receiver has discarded the part together with the connection.
 */
void
link_closed(struct peer_link *link, int64_t now_ms)
{
    if (link->state == LINK_UP && now_ms - link->state_ms >= STABLE_MS) {
        link->backoff_ms = 0;
    }
    link->backoff_ms =
        link->backoff_ms == 0 ? BACKOFF_MIN_MS : link->backoff_ms * 2;
    if (link->backoff_ms > BACKOFF_MAX_MS) {
        link->backoff_ms = BACKOFF_MAX_MS;
    }
    link->retry_ms = now_ms + link->backoff_ms;
    link->fd = -1;
    link->sent = 0;
    link_enter(link, LINK_WAITING, now_ms);
}

/**
 * link_wants_connect() - whether it is time to connect
 * @link: the link
 * @now_ms: present time
 */
bool
link_wants_connect(const struct peer_link *link, int64_t now_ms)
{
    if (link->head == NULL) {
        return false;
    }
    return link->state == LINK_IDLE ||
           (link->state == LINK_WAITING && now_ms >= link->retry_ms);
}

/**
 * link_timed_out() - whether the connection must be given up
 * @link: the link
 * @now_ms: present time
 */
bool
link_timed_out(const struct peer_link *link, int64_t now_ms)
{
    if (link->state == LINK_CONNECTING) {
        return now_ms - link->state_ms >= CONNECT_TIMEOUT_MS;
    }
    return link->state == LINK_UP && link->head != NULL &&
           now_ms - link->progress_ms >= WRITE_TIMEOUT_MS;
}

/**
 * link_deadline() - when the link next needs attention
 * @link: the link
 *
 * Return: a time, or INT64_MAX.
 */
int64_t
link_deadline(const struct peer_link *link)
{
    if (link->state == LINK_CONNECTING) {
        return link->state_ms + CONNECT_TIMEOUT_MS;
    }
    if (link->head == NULL) {
        return INT64_MAX;
    }
    if (link->state == LINK_UP) {
        return link->progress_ms + WRITE_TIMEOUT_MS;
    }
    return link->state == LINK_WAITING ? link->retry_ms : link->state_ms;
}
