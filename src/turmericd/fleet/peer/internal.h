#ifndef PEER_INTERNAL_H
#define PEER_INTERNAL_H

#include <stdatomic.h>

enum {
    CONNECTIONS_MAX = 2 * PEER_MAX,
    READ_BYTES = 64 * 1024,
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

/* connection.c */
uint64_t peer_handle_data(struct handle handle);
struct handle peer_handle(uint64_t data);
bool peer_watch(struct peer *peer, int operation, int fd, uint32_t events,
                uint64_t data);
void peer_wake(struct peer *peer);
void connection_close(struct peer *peer, struct handle handle);
struct connection *connection_open(struct peer *peer, int fd, uint32_t events,
                                   struct handle *handle, struct err *err);

/* outgoing.c */
void outgoing_writable(struct peer *peer, struct peer_link *link,
                       int64_t now_ms);
void outgoing_readable(struct peer *peer, struct peer_link *link,
                       int64_t now_ms);
void outgoing_reset(struct peer *peer, struct peer_link *link);
void outgoing_take(struct peer *peer, struct peer_frame *frame,
                   int64_t now_ms);
void outgoing_follow(struct peer *peer, int64_t now_ms);
void outgoing_tick(struct peer *peer, struct peer_link *link, int64_t now_ms);

/* incoming.c */
void incoming_receive(struct peer *peer, struct handle handle,
                      struct connection *connection);
void incoming_resume(struct peer *peer, int64_t now_ms);
void incoming_accept(struct peer *peer, int64_t now_ms);

#endif
