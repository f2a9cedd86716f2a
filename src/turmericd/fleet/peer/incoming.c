/**
 * DOC: Connections accepted from other instances, used only for reading.
 */
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/peer/internal.h"

enum {
    /* Delay before accepting again after descriptors or table entries ran
     * out; the readable listening socket would otherwise keep waking the
     * thread. */
    ACCEPT_RETRY_MS = 1000,
    ACCEPT_BATCH_MAX = 64,
};

static void
log_invalid_frame(const struct connection *connection, const struct err *err)
{
    refusal_add(ERR_BAD_FRAME);
    log_line(LOG_PRI_WARNING, "peer",
             "event=closed fd=%d error=%s detail=\"%s\"", connection->fd,
             err_info(err->kind)->name, err->text);
}

static void
deliver_envelope(struct peer *peer, Turmeric__Envelope *envelope)
{
    counter_add(CTR_PEER_FRAMES_IN, 1);
    if (envelope->body_case == TURMERIC__ENVELOPE__BODY__NOT_SET) {
        counter_add(CTR_PEER_DROPPED, 1);
        turmeric__envelope__free_unpacked(envelope, NULL);
        return;
    }
    peer->port->ops->deliver(peer->port, envelope);
}

static void
decode_frames(struct peer *peer, struct handle handle,
              struct connection *connection)
{
    Turmeric__Envelope *envelope = NULL;
    struct err err = {0};
    enum frame_result result;

    result = frame_reader_next(&connection->reader, &envelope, &err);
    while (result == FRAME_READY) {
        deliver_envelope(peer, envelope);
        result = frame_reader_next(&connection->reader, &envelope, &err);
    }
    if (result == FRAME_INVALID) {
        log_invalid_frame(connection, &err);
        connection_close(peer, handle);
    }
}

void
incoming_receive(struct peer *peer, struct handle handle,
                 struct connection *connection)
{
    struct err err = {0};
    ssize_t count = recv(connection->fd, peer->buffer, READ_BYTES, 0);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0 || !frame_reader_append(&connection->reader, peer->buffer,
                                           (size_t)count, &err)) {
        connection_close(peer, handle);
        return;
    }
    counter_add(CTR_PEER_BYTES_IN, (uint64_t)count);
    decode_frames(peer, handle, connection);
}

static void
pause_accept(struct peer *peer, int64_t now_ms, const char *reason)
{
    log_line(LOG_PRI_WARNING, "peer", "event=accept_paused detail=\"%s\"",
             reason);
    peer->accept_resume_ms = now_ms + ACCEPT_RETRY_MS;
    peer_epoll_ctl(peer, EPOLL_CTL_MOD, peer->listen_fd, 0, EPOLL_DATA_LISTEN);
}

void
incoming_resume_accept(struct peer *peer, int64_t now_ms)
{
    if (peer->accept_resume_ms != 0 && now_ms >= peer->accept_resume_ms) {
        peer->accept_resume_ms = 0;
        peer_epoll_ctl(peer, EPOLL_CTL_MOD, peer->listen_fd, EPOLLIN,
                       EPOLL_DATA_LISTEN);
    }
}

/* Returns whether to try to accept another connection. */
static bool
accept_one(struct peer *peer, int64_t now_ms)
{
    struct handle handle;
    struct err err = {0};
    int fd;

    if (table_count(&peer->connections) == CONNECTIONS_MAX) {
        pause_accept(peer, now_ms, "too many connections");
        return false;
    }
    fd = accept4(peer->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        if (errno == EMFILE || errno == ENFILE || errno == ENOMEM ||
            errno == ENOBUFS) {
            pause_accept(peer, now_ms, strerror(errno));
        }
        return errno == ECONNABORTED || errno == EINTR;
    }
    socket_set_options(fd);
    if (connection_open(peer, fd, EPOLLIN, &handle, &err) == NULL) {
        counter_add(CTR_PEER_DROPPED, 1);
    }
    return true;
}

void
incoming_accept(struct peer *peer, int64_t now_ms)
{
    for (int i = 0; i < ACCEPT_BATCH_MAX && accept_one(peer, now_ms); i++) {
    }
}
