/**
 * DOC: Connections and their registration with epoll.
 */
#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/peer/internal.h"

uint64_t
peer_epoll_data(struct handle handle)
{
    return (uint64_t)handle.generation << 32 | handle.index;
}

struct handle
peer_epoll_handle(uint64_t data)
{
    struct handle handle = {(uint32_t)data, (uint32_t)(data >> 32)};

    return handle;
}

bool
peer_epoll_ctl(struct peer *peer, int operation, int fd, uint32_t events,
               uint64_t data)
{
    struct epoll_event event = {.events = events, .data.u64 = data};

    return epoll_ctl(peer->epoll_fd, operation, fd, &event) == 0;
}

void
peer_wake(struct peer *peer)
{
    uint64_t one = 1;

    /* EAGAIN means that the counter is full, so a wake-up is pending. */
    if (write(peer->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN) {
        log_line(LOG_PRI_ERR, "peer", "event=wake_failed detail=\"%s\"",
                 strerror(errno));
    }
}

void
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

struct connection *
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
    if (!peer_epoll_ctl(peer, EPOLL_CTL_ADD, fd, events,
                        peer_epoll_data(*handle))) {
        err_set(err, ERR_IO, "epoll_ctl: %s", strerror(errno));
        connection_close(peer, *handle);
        return NULL;
    }
    return connection;
}
