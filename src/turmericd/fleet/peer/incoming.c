/**
 * DOC: Connections that other instances opened, to read on.
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
    /* Pause before accepting again when no descriptor or slot is left; the
     * listening socket would otherwise wake the thread without end. */
    ACCEPT_PAUSE_MS = 1000,
    ACCEPT_TURN = 64,
};

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

void
incoming_receive(struct peer *peer, struct handle handle,
                 struct connection *connection)
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
    peer_watch(peer, EPOLL_CTL_MOD, peer->listen_fd, 0, DATA_LISTEN);
}

void
incoming_resume(struct peer *peer, int64_t now_ms)
{
    if (peer->accept_again_ms != 0 && now_ms >= peer->accept_again_ms) {
        peer->accept_again_ms = 0;
        peer_watch(peer, EPOLL_CTL_MOD, peer->listen_fd, EPOLLIN, DATA_LISTEN);
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
    socket_set_options(fd);
    if (connection_open(peer, fd, EPOLLIN, &handle, &err) == NULL) {
        counter_add(CTR_PEER_DROPPED, 1);
    }
    return true;
}

void
incoming_accept(struct peer *peer, int64_t now_ms)
{
    for (int i = 0; i < ACCEPT_TURN && accept_one(peer, now_ms); i++) {
    }
}
