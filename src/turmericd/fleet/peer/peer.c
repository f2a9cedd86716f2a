/**
 * DOC: Duty that moves frames between instances.
 *
 * One thread serves every connection with epoll. Each instance writes on the
 * connection that it opened and reads on those that others opened, so two
 * instances that connect at the same moment need no agreement about which
 * connection to keep.
 */
#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"

enum {
    RING_FRAMES = 4096,
    CONNECTIONS_MAX = 2 * PEER_MAX,
    EVENTS_MAX = 64,
    READ_BYTES = 64 * 1024,
    /* Pause before accepting again when no descriptor or slot is left; the
     * listening socket would otherwise wake the thread without end. */
    ACCEPT_PAUSE_MS = 1000,
    ACCEPT_TURN = 64,
};

/* epoll data of the descriptors that are no connections; a connection's data
 * is its handle, whose generation is never 0. */
enum { DATA_WAKE = 0, DATA_LISTEN = 1 };

/* A connection: a received one has a reader, an own one belongs to a link. */
struct connection {
    int fd;
    bool outgoing;
    bool writable_wanted;
    uint32_t link;
    struct frame_reader reader;
};

struct peer {
    struct duty duty;
    uint64_t self;
    struct peer_port *port;
    int listen_fd;
    int listen_port;
    int wake_fd;
    int epoll_fd;
    atomic_bool stopping;
    struct ring ring;
    struct peer_directory directory;
    struct table connections;
    struct peer_link links[PEER_MAX];
    int64_t accept_again_ms;
    unsigned char buffer[READ_BYTES];
};

static uint64_t
data_of(struct handle handle)
{
    return (uint64_t)handle.generation << 32 | handle.index;
}

static struct handle
handle_of(uint64_t data)
{
    struct handle handle = {(uint32_t)data, (uint32_t)(data >> 32)};

    return handle;
}

static bool
watch(struct peer *peer, int operation, int fd, uint32_t events, uint64_t data)
{
    struct epoll_event event = {.events = events, .data.u64 = data};

    return epoll_ctl(peer->epoll_fd, operation, fd, &event) == 0;
}

static void
wake(struct peer *peer)
{
    uint64_t one = 1;

    /* The write fails only when the counter is full: a wake-up is pending. */
    if (write(peer->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN) {
        log_line(LOG_PRI_ERR, "peer", "event=wake_failed detail=\"%s\"",
                 strerror(errno));
    }
}

static void
connection_close(struct peer *peer, struct handle handle)
{
    struct connection *connection = table_get(&peer->connections, handle);

    if (connection == NULL) {
        return;
    }
    close(connection->fd);
    frame_reader_free(&connection->reader);
    table_free(&peer->connections, handle);
}

static struct connection *
connection_open(struct peer *peer, int fd, uint32_t events,
                struct handle *handle, struct err *err)
{
    struct connection *connection;

    connection = table_alloc(&peer->connections, handle, err);
    if (connection == NULL) {
        close(fd);
        return NULL;
    }
    connection->fd = fd;
    if (!watch(peer, EPOLL_CTL_ADD, fd, events, data_of(*handle))) {
        err_set(err, ERR_IO, "epoll: %s", strerror(errno));
        connection_close(peer, *handle);
        return NULL;
    }
    return connection;
}

static void
log_link(const struct peer_entry *entry, const char *event, const char *detail)
{
    log_line(LOG_PRI_INFO, "peer", "event=%s member=%016llx address=%s %s",
             event, (unsigned long long)entry->member, entry->address, detail);
}

static void
link_close(struct peer *peer, struct peer_link *link, int64_t now_ms,
           const char *reason)
{
    struct peer_entry entry;

    if (link->state == LINK_UP &&
        directory_read(&peer->directory, link->entry, &entry)) {
        log_link(&entry, "disconnected", reason);
    }
    connection_close(peer, link->connection);
    link_closed(link, now_ms);
}

/* Closes a link whose other side has closed or refused the connection. */
static void
link_broken(struct peer *peer, struct peer_link *link, int64_t now_ms,
            const char *reason)
{
    struct peer_entry entry;

    if (directory_read(&peer->directory, link->entry, &entry)) {
        peer->port->ops->broken(peer->port, entry.member);
    }
    link_close(peer, link, now_ms, reason);
}

static void
link_connect(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    struct peer_entry entry;
    struct err err = {0};
    struct connection *connection;
    int fd;

    if (!directory_read(&peer->directory, link->entry, &entry)) {
        return;
    }
    link->version = entry.version;
    fd = socket_connect(entry.address, &err);
    if (fd < 0) {
        link_closed(link, now_ms);
        return;
    }
    connection =
        connection_open(peer, fd, EPOLLIN | EPOLLOUT, &link->connection, &err);
    if (connection == NULL) {
        log_link(&entry, "connect_failed", err.text);
        link_closed(link, now_ms);
        return;
    }
    connection->outgoing = true;
    connection->writable_wanted = true;
    connection->link = (uint32_t)(link - peer->links);
    link_opened(link, fd, now_ms);
}

static void
want_writable(struct peer *peer, struct peer_link *link)
{
    struct connection *connection;
    bool wanted = link->head != NULL;

    connection = table_get(&peer->connections, link->connection);
    if (connection == NULL || connection->writable_wanted == wanted) {
        return;
    }
    connection->writable_wanted = wanted;
    watch(peer, EPOLL_CTL_MOD, link->fd, wanted ? EPOLLIN | EPOLLOUT : EPOLLIN,
          data_of(link->connection));
}

static void
link_flush(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    size_t written;
    bool whole = link_write(link, now_ms, &written);

    if (written > 0) {
        directory_release(&peer->directory, link->entry, written);
    }
    if (!whole) {
        link_broken(peer, link, now_ms, "reason=write");
        return;
    }
    want_writable(peer, link);
}

static void
link_writable(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    struct peer_entry entry;
    int error = 0;
    socklen_t bytes = sizeof(error);

    if (link->state == LINK_CONNECTING) {
        getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
        if (error == ECONNREFUSED || error == ECONNRESET) {
            link_broken(peer, link, now_ms, "");
            return;
        }
        if (error != 0) {
            link_close(peer, link, now_ms, "");
            return;
        }
        link_connected(link, now_ms);
        if (directory_read(&peer->directory, link->entry, &entry)) {
            log_link(&entry, "connected", "");
        }
    }
    link_flush(peer, link, now_ms);
}

/* Nothing is ever received on an own connection but its end. */
static void
link_readable(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    ssize_t count = recv(link->fd, peer->buffer, READ_BYTES, 0);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    link_broken(peer, link, now_ms, "reason=closed_by_peer");
}

static void
bad_frame(const struct connection *connection, const struct err *err)
{
    refusal_add(ERR_BAD_FRAME);
    log_line(LOG_PRI_WARNING, "peer",
             "event=closed fd=%d error=%s detail=\"%s\"", connection->fd,
             err_info(err->kind)->name, err->text);
}

static void
deliver(struct peer *peer, Turmeric__Envelope *envelope)
{
    counter_add(CTR_PEER_FRAMES_IN, 1);
    if (envelope->body_case == TURMERIC__ENVELOPE__BODY__NOT_SET) {
        counter_add(CTR_PEER_DROPPED, 1);
        turmeric__envelope__free_unpacked(envelope, NULL);
        return;
    }
    peer->port->ops->message(peer->port, envelope);
}

static void
decode(struct peer *peer, struct handle handle, struct connection *connection)
{
    Turmeric__Envelope *envelope = NULL;
    struct err err = {0};
    enum frame_result result;

    result = frame_next(&connection->reader, &envelope, &err);
    while (result == FRAME_READY) {
        deliver(peer, envelope);
        result = frame_next(&connection->reader, &envelope, &err);
    }
    if (result == FRAME_BAD) {
        bad_frame(connection, &err);
        connection_close(peer, handle);
    }
}

static void
receive(struct peer *peer, struct handle handle, struct connection *connection)
{
    struct err err = {0};
    ssize_t count = recv(connection->fd, peer->buffer, READ_BYTES, 0);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0 ||
        !frame_add(&connection->reader, peer->buffer, (size_t)count, &err)) {
        connection_close(peer, handle);
        return;
    }
    counter_add(CTR_PEER_BYTES_IN, (uint64_t)count);
    decode(peer, handle, connection);
}

static void
accept_pause(struct peer *peer, int64_t now_ms, const char *reason)
{
    log_line(LOG_PRI_WARNING, "peer", "event=accept_paused detail=\"%s\"",
             reason);
    peer->accept_again_ms = now_ms + ACCEPT_PAUSE_MS;
    watch(peer, EPOLL_CTL_MOD, peer->listen_fd, 0, DATA_LISTEN);
}

static void
accept_resume(struct peer *peer, int64_t now_ms)
{
    if (peer->accept_again_ms != 0 && now_ms >= peer->accept_again_ms) {
        peer->accept_again_ms = 0;
        watch(peer, EPOLL_CTL_MOD, peer->listen_fd, EPOLLIN, DATA_LISTEN);
    }
}

/* Returns whether to accept another one. */
static bool
accept_one(struct peer *peer, int64_t now_ms)
{
    struct handle handle;
    struct err err = {0};
    int fd;

    if (table_count(&peer->connections) == CONNECTIONS_MAX) {
        accept_pause(peer, now_ms, "too many connections");
        return false;
    }
    fd = accept4(peer->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOMEM ||
            errno == ENOBUFS) {
            accept_pause(peer, now_ms, strerror(errno));
        }
        return errno == ECONNABORTED || errno == EINTR;
    }
    socket_prepare(fd);
    if (connection_open(peer, fd, EPOLLIN, &handle, &err) == NULL) {
        counter_add(CTR_PEER_DROPPED, 1);
    }
    return true;
}

static void
accept_ready(struct peer *peer, int64_t now_ms)
{
    for (int i = 0; i < ACCEPT_TURN && accept_one(peer, now_ms); i++) {
    }
}

static void
link_reset(struct peer *peer, struct peer_link *link)
{
    size_t dropped;

    connection_close(peer, link->connection);
    dropped = link_drop_all(link);
    directory_release(&peer->directory, link->entry, dropped);
    memset(link, 0, sizeof(*link));
    link->fd = -1;
}

static bool
same_handle(struct handle a, struct handle b)
{
    return a.index == b.index && a.generation == b.generation;
}

static void
frame_take(struct peer *peer, struct peer_frame *frame, int64_t now_ms)
{
    struct peer_link *link = &peer->links[frame->entry.index];
    struct peer_entry entry;

    if (!directory_read(&peer->directory, frame->entry, &entry)) {
        counter_add(CTR_PEER_DROPPED, 1);
        free(frame->bytes);
        free(frame);
        return;
    }
    if (!same_handle(link->entry, frame->entry)) {
        link_reset(peer, link);
        link->entry = frame->entry;
        link->version = entry.version;
    }
    link_push(link, frame, now_ms);
    if (link->state == LINK_UP) {
        link_flush(peer, link, now_ms);
    }
}

static void
wake_ready(struct peer *peer, int64_t now_ms)
{
    uint64_t count;
    struct peer_frame *frame;

    if (read(peer->wake_fd, &count, sizeof(count)) < 0) {
        return;
    }
    for (int i = 0; i < RING_FRAMES; i++) {
        if (ring_pop(&peer->ring, &frame, 0) != RING_OK) {
            return;
        }
        frame_take(peer, frame, now_ms);
    }
    wake(peer);
}

static void
connection_ready(struct peer *peer, struct handle handle, uint32_t events,
                 int64_t now_ms)
{
    struct connection *connection = table_get(&peer->connections, handle);
    struct peer_link *link;

    if (connection == NULL) {
        return;
    }
    if (!connection->outgoing) {
        receive(peer, handle, connection);
        return;
    }
    link = &peer->links[connection->link];
    if (link->state == LINK_UP && (events & (EPOLLIN | EPOLLHUP | EPOLLERR))) {
        link_readable(peer, link, now_ms);
    }
    else {
        link_writable(peer, link, now_ms);
    }
}

static void
event_ready(struct peer *peer, const struct epoll_event *event, int64_t now_ms)
{
    struct handle handle = handle_of(event->data.u64);

    if (handle.generation != 0) {
        connection_ready(peer, handle, event->events, now_ms);
    }
    else if (event->data.u64 == DATA_WAKE) {
        wake_ready(peer, now_ms);
    }
    else {
        accept_ready(peer, now_ms);
    }
}

/* Closes the connections of members that were forgotten or have moved. */
static void
links_follow_directory(struct peer *peer, int64_t now_ms)
{
    for (int i = 0; i < PEER_MAX; i++) {
        struct peer_link *link = &peer->links[i];
        struct peer_entry entry;

        if (link->entry.generation == 0) {
            continue;
        }
        if (!directory_read(&peer->directory, link->entry, &entry)) {
            link_reset(peer, link);
        }
        else if (entry.version != link->version) {
            link_close(peer, link, now_ms, "reason=moved");
            link->version = entry.version;
            link->retry_ms = now_ms;
        }
    }
}

static void
link_tick(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    size_t dropped;

    if (link_timed_out(link, now_ms)) {
        link_close(peer, link, now_ms, "reason=timeout");
    }
    if (link->state != LINK_UP) {
        dropped = link_drop_old(link, now_ms);
        if (dropped > 0) {
            directory_release(&peer->directory, link->entry, dropped);
        }
    }
    if (link_wants_connect(link, now_ms)) {
        link_connect(peer, link, now_ms);
    }
}

/* Serves the timers and returns the time until the next one, or -1. */
static int
tick(struct peer *peer, int64_t now_ms)
{
    int64_t deadline = INT64_MAX;

    accept_resume(peer, now_ms);
    if (directory_take_changed(&peer->directory)) {
        links_follow_directory(peer, now_ms);
    }
    for (int i = 0; i < PEER_MAX; i++) {
        struct peer_link *link = &peer->links[i];

        if (link->entry.generation != 0) {
            link_tick(peer, link, now_ms);
            if (link_deadline(link) < deadline) {
                deadline = link_deadline(link);
            }
        }
    }
    if (peer->accept_again_ms != 0 && peer->accept_again_ms < deadline) {
        deadline = peer->accept_again_ms;
    }
    if (deadline == INT64_MAX) {
        return -1;
    }
    return deadline > now_ms ? (int)(deadline - now_ms) : 0;
}

static bool
poll_open(struct peer *peer, struct err *err)
{
    peer->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (peer->epoll_fd < 0) {
        return err_set(err, ERR_IO, "epoll: %s", strerror(errno));
    }
    if (!watch(peer, EPOLL_CTL_ADD, peer->wake_fd, EPOLLIN, DATA_WAKE) ||
        !watch(peer, EPOLL_CTL_ADD, peer->listen_fd, EPOLLIN, DATA_LISTEN)) {
        return err_set(err, ERR_IO, "epoll: %s", strerror(errno));
    }
    return true;
}

static void
poll_close(struct peer *peer)
{
    uint32_t cursor = 0;
    struct handle handle;

    for (int i = 0; i < PEER_MAX; i++) {
        link_reset(peer, &peer->links[i]);
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
poll_loop(struct peer *peer, struct err *err)
{
    struct epoll_event events[EVENTS_MAX];

    while (!atomic_load(&peer->stopping)) {
        int timeout_ms = tick(peer, clock_now_ms());
        int count = epoll_wait(peer->epoll_fd, events, EVENTS_MAX, timeout_ms);

        if (count < 0 && errno != EINTR) {
            return err_set(err, ERR_IO, "epoll: %s", strerror(errno));
        }
        for (int i = 0; i < count; i++) {
            event_ready(peer, &events[i], clock_now_ms());
        }
    }
    return true;
}

static bool
peer_run(struct duty *duty, struct err *err)
{
    struct peer *peer = (struct peer *)duty;
    bool done;

    peer->accept_again_ms = 0;
    done = poll_open(peer, err) && poll_loop(peer, err);
    poll_close(peer);
    return done;
}

static void
peer_stop(struct duty *duty)
{
    struct peer *peer = (struct peer *)duty;

    atomic_store(&peer->stopping, true);
    ring_close(&peer->ring);
    wake(peer);
}

static const struct duty_ops peer_duty_ops = {peer_run, peer_stop};

static void
links_init(struct peer *peer)
{
    for (int i = 0; i < PEER_MAX; i++) {
        peer->links[i].fd = -1;
    }
}

static bool
peer_init(struct peer *peer, const char *listen_address, struct err *err)
{
    if (!ring_init(&peer->ring, RING_FRAMES, sizeof(struct peer_frame *),
                   err)) {
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
    table_free_all(&peer->connections);
free_directory:
    directory_free(&peer->directory);
free_ring:
    ring_free(&peer->ring);
    return false;
}

/**
 * peer_new() - create the duty and open its listening socket
 * @listen_address: IP address and port; port 0 lets the kernel choose
 * @self: id of this instance
 * @port: where received messages go; may be set later by peer_set_port()
 * @err: filled in on failure
 */
struct peer *
peer_new(const char *listen_address, uint64_t self, struct peer_port *port,
         struct err *err)
{
    struct peer *peer = calloc(1, sizeof(*peer));

    if (peer == NULL) {
        err_set(err, ERR_NO_MEMORY, "peer duty");
        return NULL;
    }
    peer->duty.ops = &peer_duty_ops;
    peer->duty.name = "peer";
    peer->self = self;
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
 * peer_free() - release the duty after it has stopped
 * @peer: the duty; may be NULL
 */
void
peer_free(struct peer *peer)
{
    struct peer_frame *frame;

    if (peer == NULL) {
        return;
    }
    while (ring_pop(&peer->ring, &frame, 0) == RING_OK) {
        free(frame->bytes);
        free(frame);
    }
    close(peer->listen_fd);
    close(peer->wake_fd);
    table_free_all(&peer->connections);
    directory_free(&peer->directory);
    ring_free(&peer->ring);
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
 * peer_set_port() - set where received messages go
 * @peer: the duty, not running
 * @port: the receiver
 */
void
peer_set_port(struct peer *peer, struct peer_port *port)
{
    peer->port = port;
}

/**
 * peer_set_address() - tell the address of a member
 * @peer: the duty
 * @member: id of the member
 * @address: IP address and port
 *
 * A changed address closes the connection to the old one.
 *
 * Return: false when the address is unusable or PEER_MAX members are known.
 */
bool
peer_set_address(struct peer *peer, uint64_t member, const char *address)
{
    struct err err = {0};

    if (!directory_set(&peer->directory, member, address, &err)) {
        log_line(LOG_PRI_WARNING, "peer",
                 "event=address_refused member=%016llx error=%s detail=\"%s\"",
                 (unsigned long long)member, err_info(err.kind)->name,
                 err.text);
        return false;
    }
    wake(peer);
    return true;
}

/**
 * peer_forget() - drop a member, its connection and its queue
 * @peer: the duty
 * @member: id of the member
 */
void
peer_forget(struct peer *peer, uint64_t member)
{
    directory_forget(&peer->directory, member);
    wake(peer);
}

static struct peer_frame *
frame_new(struct peer *peer, const Turmeric__Envelope *envelope,
          struct err *err)
{
    struct peer_frame *frame = calloc(1, sizeof(*frame));

    if (frame == NULL) {
        err_set(err, ERR_NO_MEMORY, "frame");
        return NULL;
    }
    if (!frame_pack(envelope, peer->self, &frame->bytes, &frame->count, err)) {
        free(frame);
        return NULL;
    }
    return frame;
}

static bool
frame_hand_over(struct peer *peer, uint64_t member, struct peer_frame *frame,
                struct err *err)
{
    if (!directory_reserve(&peer->directory, member, frame->count,
                           &frame->entry, err)) {
        return false;
    }
    if (!ring_push(&peer->ring, &frame, err)) {
        directory_release(&peer->directory, frame->entry, frame->count);
        return false;
    }
    wake(peer);
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
 * A message that is accepted may still be lost when the connection breaks;
 * it is never received twice.
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
    if (!frame_hand_over(peer, member, frame, err)) {
        counter_add(CTR_PEER_DROPPED, 1);
        free(frame->bytes);
        free(frame);
        return false;
    }
    return true;
}
