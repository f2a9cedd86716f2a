/**
 * DOC: Connections that this instance opened, one per member, used only for
 * writing.
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

    if (link->state == LINK_CONNECTED &&
        directory_get(&peer->directory, link->entry, &entry)) {
        log_link(&entry, "disconnected", reason);
    }
    connection_close(peer, link->connection);
    link_closed(link, now_ms);
}

/* Closes a link after the member closed or refused the connection. */
static void
link_broken_by_peer(struct peer *peer, struct peer_link *link, int64_t now_ms,
                    const char *reason)
{
    struct peer_entry entry;

    if (directory_get(&peer->directory, link->entry, &entry)) {
        peer->port->ops->connection_broken(peer->port, entry.member);
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

    if (!directory_get(&peer->directory, link->entry, &entry)) {
        return;
    }
    link->address_version = entry.address_version;
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
    connection->is_outgoing = true;
    connection->polls_writable = true;
    connection->link_index = (uint32_t)(link - peer->links);
    link_connect_started(link, fd, now_ms);
}

static void
update_epoll_events(struct peer *peer, struct peer_link *link)
{
    struct connection *connection;
    bool writable = link->head != NULL;

    connection = table_get(&peer->connections, link->connection);
    if (connection == NULL || connection->polls_writable == writable) {
        return;
    }
    connection->polls_writable = writable;
    peer_epoll_ctl(peer, EPOLL_CTL_MOD, link->fd,
                   writable ? EPOLLIN | EPOLLOUT : EPOLLIN,
                   peer_epoll_data(link->connection));
}

static void
link_flush_queue(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    size_t written;
    bool open = link_write(link, now_ms, &written);

    if (written > 0) {
        directory_release(&peer->directory, link->entry, written);
    }
    if (!open) {
        link_broken_by_peer(peer, link, now_ms, "reason=write");
        return;
    }
    update_epoll_events(peer, link);
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
            link_broken_by_peer(peer, link, now_ms, "");
            return;
        }
        if (error != 0) {
            link_close(peer, link, now_ms, "");
            return;
        }
        link_connected(link, now_ms);
        if (directory_get(&peer->directory, link->entry, &entry)) {
            log_link(&entry, "connected", "");
        }
    }
    link_flush_queue(peer, link, now_ms);
}

/* A member never sends on this connection, so readable means closed. */
void
outgoing_readable(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    ssize_t count = recv(link->fd, peer->buffer, READ_BYTES, 0);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    link_broken_by_peer(peer, link, now_ms, "reason=closed_by_peer");
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
outgoing_enqueue(struct peer *peer, struct peer_frame *frame, int64_t now_ms)
{
    struct peer_link *link = &peer->links[frame->entry.index];
    struct peer_entry entry;

    if (!directory_get(&peer->directory, frame->entry, &entry)) {
        counter_add(CTR_PEER_DROPPED, 1);
        free(frame->bytes);
        free(frame);
        return;
    }
    if (!same_handle(link->entry, frame->entry)) {
        outgoing_reset(peer, link);
        link->entry = frame->entry;
        link->address_version = entry.address_version;
    }
    link_push(link, frame, now_ms);
    if (link->state == LINK_CONNECTED) {
        link_flush_queue(peer, link, now_ms);
    }
}

/* Closes connections to members that were removed or changed their address. */
void
outgoing_apply_directory(struct peer *peer, int64_t now_ms)
{
    for (int i = 0; i < PEERS_MAX; i++) {
        struct peer_link *link = &peer->links[i];
        struct peer_entry entry;

        if (link->entry.generation == 0) {
            continue;
        }
        if (!directory_get(&peer->directory, link->entry, &entry)) {
            outgoing_reset(peer, link);
        }
        else if (entry.address_version != link->address_version) {
            link_close(peer, link, now_ms, "reason=moved");
            link->address_version = entry.address_version;
            link->retry_ms = now_ms;
        }
    }
}

void
outgoing_run_timers(struct peer *peer, struct peer_link *link, int64_t now_ms)
{
    size_t dropped;

    if (link_timed_out(link, now_ms)) {
        link_close(peer, link, now_ms, "reason=timeout");
    }
    if (link->state != LINK_CONNECTED) {
        dropped = link_drop_expired(link, now_ms);
        if (dropped > 0) {
            directory_release(&peer->directory, link->entry, dropped);
        }
    }
    if (link_connect_due(link, now_ms)) {
        link_connect(peer, link, now_ms);
    }
}
