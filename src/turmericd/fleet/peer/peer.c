/**
 * DOC: Duty that sends and receives frames between instances.
 *
 * One thread serves all connections with epoll. An instance writes only on
 * connections that it opened and reads only on those that it accepted, so two
 * instances that connect to each other at the same time need not agree on
 * which connection to keep.
 */
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/peer/internal.h"

enum {
    QUEUED_FRAMES_MAX = 4096,
    EPOLL_EVENTS_MAX = 64,
};

static void
handle_wakeup(struct peer *peer, int64_t now_ms)
{
    uint64_t count;
    struct peer_frame *frame;

    if (read(peer->wake_fd, &count, sizeof(count)) < 0) {
        return;
    }
    for (int i = 0; i < QUEUED_FRAMES_MAX; i++) {
        if (ring_pop(&peer->queued_frames, &frame, 0) != RING_OK) {
            return;
        }
        outgoing_enqueue(peer, frame, now_ms);
    }
    peer_wake(peer);
}

static void
handle_connection_event(struct peer *peer, struct handle handle,
                        uint32_t events, int64_t now_ms)
{
    struct connection *connection = table_get(&peer->connections, handle);
    struct peer_link *link;

    if (connection == NULL) {
        return;
    }
    if (!connection->is_outgoing) {
        incoming_receive(peer, handle, connection);
        return;
    }
    link = &peer->links[connection->link_index];
    if (link->state == LINK_CONNECTED &&
        (events & (EPOLLIN | EPOLLHUP | EPOLLERR))) {
        outgoing_readable(peer, link, now_ms);
    }
    else {
        outgoing_writable(peer, link, now_ms);
    }
}

static void
handle_event(struct peer *peer, const struct epoll_event *event,
             int64_t now_ms)
{
    struct handle handle = peer_epoll_handle(event->data.u64);

    if (handle.generation != 0) {
        handle_connection_event(peer, handle, event->events, now_ms);
    }
    else if (event->data.u64 == EPOLL_DATA_WAKE) {
        handle_wakeup(peer, now_ms);
    }
    else {
        incoming_accept(peer, now_ms);
    }
}

/* Runs expired timers and returns the time in ms until the next one, or -1. */
static int
run_timers(struct peer *peer, int64_t now_ms)
{
    int64_t deadline = INT64_MAX;

    incoming_resume_accept(peer, now_ms);
    if (directory_clear_changed(&peer->directory)) {
        outgoing_apply_directory(peer, now_ms);
    }
    for (int i = 0; i < PEERS_MAX; i++) {
        struct peer_link *link = &peer->links[i];

        if (link->entry.generation != 0) {
            outgoing_run_timers(peer, link, now_ms);
            if (link_next_timer_ms(link) < deadline) {
                deadline = link_next_timer_ms(link);
            }
        }
    }
    if (peer->accept_resume_ms != 0 && peer->accept_resume_ms < deadline) {
        deadline = peer->accept_resume_ms;
    }
    if (deadline == INT64_MAX) {
        return -1;
    }
    return deadline > now_ms ? (int)(deadline - now_ms) : 0;
}

static bool
open_epoll(struct peer *peer, struct err *err)
{
    peer->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (peer->epoll_fd < 0) {
        return err_set(err, ERR_IO, "epoll failed: %s", strerror(errno));
    }
    if (!peer_epoll_ctl(peer, EPOLL_CTL_ADD, peer->wake_fd, EPOLLIN,
                        EPOLL_DATA_WAKE) ||
        !peer_epoll_ctl(peer, EPOLL_CTL_ADD, peer->listen_fd, EPOLLIN,
                        EPOLL_DATA_LISTEN)) {
        return err_set(err, ERR_IO, "epoll failed: %s", strerror(errno));
    }
    return true;
}

static void
close_epoll(struct peer *peer)
{
    uint32_t cursor = 0;
    struct handle handle;

    for (int i = 0; i < PEERS_MAX; i++) {
        outgoing_reset(peer, &peer->links[i]);
    }
    while (table_next(&peer->connections, &cursor, &handle) != NULL) {
        connection_close(peer, handle);
    }
    if (peer->epoll_fd >= 0) {
        close(peer->epoll_fd);
        peer->epoll_fd = -1;
    }
}

static bool
event_loop(struct peer *peer, struct err *err)
{
    struct epoll_event events[EPOLL_EVENTS_MAX];

    while (!atomic_load(&peer->stopping)) {
        int timeout_ms = run_timers(peer, clock_now_ms());
        int count =
            epoll_wait(peer->epoll_fd, events, EPOLL_EVENTS_MAX, timeout_ms);

        if (count < 0 && errno != EINTR) {
            return err_set(err, ERR_IO, "epoll failed: %s", strerror(errno));
        }
        for (int i = 0; i < count; i++) {
            handle_event(peer, &events[i], clock_now_ms());
        }
    }
    return true;
}

static bool
peer_run(struct duty *duty, struct err *err)
{
    struct peer *peer = (struct peer *)duty;
    bool done;

    peer->accept_resume_ms = 0;
    done = open_epoll(peer, err) && event_loop(peer, err);
    close_epoll(peer);
    return done;
}

static void
peer_stop(struct duty *duty)
{
    struct peer *peer = (struct peer *)duty;

    atomic_store(&peer->stopping, true);
    ring_close(&peer->queued_frames);
    peer_wake(peer);
}

static const struct duty_ops peer_duty_ops = {peer_run, peer_stop};

static void
links_init(struct peer *peer)
{
    for (int i = 0; i < PEERS_MAX; i++) {
        peer->links[i].fd = -1;
    }
}

static bool
peer_init(struct peer *peer, const char *listen_address, struct err *err)
{
    if (!ring_init(&peer->queued_frames, QUEUED_FRAMES_MAX,
                   sizeof(struct peer_frame *), err)) {
        return false;
    }
    if (!directory_init(&peer->directory, err)) {
        goto free_ring;
    }
    if (!table_init(&peer->connections, CONNECTIONS_MAX,
                    sizeof(struct connection), err)) {
        goto free_directory;
    }
    peer->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (peer->wake_fd < 0) {
        err_set(err, ERR_IO, "eventfd: %s", strerror(errno));
        goto free_connections;
    }
    peer->listen_fd = socket_listen(listen_address, &peer->listen_port, err);
    if (peer->listen_fd < 0) {
        goto close_wake;
    }
    return true;

close_wake:
    close(peer->wake_fd);
free_connections:
    table_destroy(&peer->connections);
free_directory:
    directory_free(&peer->directory);
free_ring:
    ring_free(&peer->queued_frames);
    return false;
}

/**
 * peer_new() - create the duty and open its listening socket
 * @listen_address: IP address and port; port 0 lets the kernel choose
 * @self_id: id of this instance
 * @port: callbacks; may be set later by peer_set_port()
 * @err: filled in on failure
 */
struct peer *
peer_new(const char *listen_address, uint64_t self_id, struct peer_port *port,
         struct err *err)
{
    struct peer *peer = calloc(1, sizeof(*peer));

    if (peer == NULL) {
        err_set(err, ERR_NO_MEMORY, "cannot allocate the peer duty");
        return NULL;
    }
    peer->duty.ops = &peer_duty_ops;
    peer->duty.name = "peer";
    peer->self_id = self_id;
    peer->port = port;
    peer->epoll_fd = -1;
    links_init(peer);
    if (!peer_init(peer, listen_address, err)) {
        free(peer);
        return NULL;
    }
    return peer;
}

/**
 * peer_free() - free the duty after it has stopped
 * @peer: the duty; may be NULL
 */
void
peer_free(struct peer *peer)
{
    struct peer_frame *frame;

    if (peer == NULL) {
        return;
    }
    while (ring_pop(&peer->queued_frames, &frame, 0) == RING_OK) {
        free(frame->bytes);
        free(frame);
    }
    close(peer->listen_fd);
    close(peer->wake_fd);
    table_destroy(&peer->connections);
    directory_free(&peer->directory);
    ring_free(&peer->queued_frames);
    free(peer);
}

/**
 * peer_duty() - the duty for a supervisor
 * @peer: the duty
 */
struct duty *
peer_duty(struct peer *peer)
{
    return &peer->duty;
}

/**
 * peer_listen_port() - port that the duty listens on
 * @peer: the duty
 */
int
peer_listen_port(const struct peer *peer)
{
    return peer->listen_port;
}

/**
 * peer_set_port() - set the callbacks
 * @peer: the duty, not running
 * @port: callbacks
 */
void
peer_set_port(struct peer *peer, struct peer_port *port)
{
    peer->port = port;
}

/**
 * peer_set_address() - add a member or change its address
 * @peer: the duty
 * @member: id of the member
 * @address: IP address and port
 *
 * A change closes the connection to the old address.
 *
 * Return: false when the address is invalid or the directory is full.
 */
bool
peer_set_address(struct peer *peer, uint64_t member, const char *address)
{
    struct err err = {0};

    if (!directory_set_address(&peer->directory, member, address, &err)) {
        log_line(LOG_PRI_WARNING, "peer",
                 "event=address_refused member=%016llx error=%s detail=\"%s\"",
                 (unsigned long long)member, err_info(err.kind)->name,
                 err.text);
        return false;
    }
    peer_wake(peer);
    return true;
}

/**
 * peer_remove_member() - remove a member, its connection and its queue
 * @peer: the duty
 * @member: id of the member
 */
void
peer_remove_member(struct peer *peer, uint64_t member)
{
    directory_remove(&peer->directory, member);
    peer_wake(peer);
}

static struct peer_frame *
frame_new(struct peer *peer, const Turmeric__Envelope *envelope,
          struct err *err)
{
    struct peer_frame *frame = calloc(1, sizeof(*frame));

    if (frame == NULL) {
        err_set(err, ERR_NO_MEMORY, "cannot allocate a frame");
        return NULL;
    }
    if (!frame_pack(envelope, peer->self_id, &frame->bytes, &frame->count,
                    err)) {
        free(frame);
        return NULL;
    }
    return frame;
}

static bool
submit_frame(struct peer *peer, uint64_t member, struct peer_frame *frame,
             struct err *err)
{
    if (!directory_reserve(&peer->directory, member, frame->count,
                           &frame->entry, err)) {
        return false;
    }
    if (!ring_push(&peer->queued_frames, &frame, err)) {
        directory_release(&peer->directory, frame->entry, frame->count);
        return false;
    }
    peer_wake(peer);
    return true;
}

/**
 * peer_send() - send a message to a member; callable from any thread
 * @peer: the duty
 * @member: id of the member
 * @envelope: the message, packed before the call returns; its version and
 *            sender are set here
 * @err: filled in on failure
 *
 * An accepted message may still be lost when the connection breaks; it is
 * never received twice.
 *
 * Return: false with ERR_NO_TARGET, ERR_QUEUE_FULL, ERR_RING_FULL,
 * ERR_BODY_TOO_LARGE, ERR_NO_MEMORY or ERR_STOPPED; nothing is sent then.
 */
bool
peer_send(struct peer *peer, uint64_t member, Turmeric__Envelope *envelope,
          struct err *err)
{
    struct peer_frame *frame = frame_new(peer, envelope, err);

    if (frame == NULL) {
        return false;
    }
    if (!submit_frame(peer, member, frame, err)) {
        counter_add(CTR_PEER_DROPPED, 1);
        free(frame->bytes);
        free(frame);
        return false;
    }
    return true;
}
