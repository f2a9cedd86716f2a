/**
 * DOC: Connections that this instance opened, one a member, to write on.
 */
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/peer/internal.h"

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
    peer_watch(peer, EPOLL_CTL_MOD, link->fd,
               wanted ? EPOLLIN | EPOLLOUT : EPOLLIN,
               peer_handle_data(link->connection));
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

void
outgoing_writable(struct peer *peer, struct peer_link *link, int64_t now_ms)
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
void
outgoing_readable(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    ssize_t count = recv(link->fd, peer->buffer, READ_BYTES, 0);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    link_broken(peer, link, now_ms, "reason=closed_by_peer");
}

void
outgoing_reset(struct peer *peer, struct peer_link *link)
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

void
outgoing_take(struct peer *peer, struct peer_frame *frame, int64_t now_ms)
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
        outgoing_reset(peer, link);
        link->entry = frame->entry;
        link->version = entry.version;
    }
    link_push(link, frame, now_ms);
    if (link->state == LINK_UP) {
        link_flush(peer, link, now_ms);
    }
}

/* Closes the connections of members that were forgotten or have moved. */
void
outgoing_follow(struct peer *peer, int64_t now_ms)
{
    for (int i = 0; i < PEER_MAX; i++) {
        struct peer_link *link = &peer->links[i];
        struct peer_entry entry;

        if (link->entry.generation == 0) {
            continue;
        }
        if (!directory_read(&peer->directory, link->entry, &entry)) {
            outgoing_reset(peer, link);
        }
        else if (entry.version != link->version) {
            link_close(peer, link, now_ms, "reason=moved");
            link->version = entry.version;
            link->retry_ms = now_ms;
        }
    }
}

void
outgoing_tick(struct peer *peer, struct peer_link *link, int64_t now_ms)
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
