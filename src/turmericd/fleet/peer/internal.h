#ifndef PEER_INTERNAL_H
#define PEER_INTERNAL_H

#include <stdatomic.h>

enum {
    CONNECTIONS_MAX = 2 * PEERS_MAX,
    READ_BYTES = 64 * 1024,
};

/* epoll data of the descriptors that are not connections. The data of a
 * connection is its handle, whose generation is never 0. */
enum { EPOLL_DATA_WAKE = 0, EPOLL_DATA_LISTEN = 1 };

/* An open connection: an accepted one uses the reader, an outgoing one belongs
 * to a link. */
struct connection {
    int fd;
    bool is_outgoing;
    bool polls_writable;
    uint32_t link_index;
    struct frame_reader reader;
};

struct peer {
    struct duty duty;
    uint64_t self_id;
    struct peer_port *port;
    int listen_fd;
    int listen_port;
    int wake_fd;
    int epoll_fd;
    atomic_bool stopping;
    struct ring queued_frames;
    struct peer_directory directory;
    struct table connections;
    struct peer_link links[PEERS_MAX];
    int64_t accept_resume_ms;
    unsigned char buffer[READ_BYTES];
};

/* connection.c */
uint64_t peer_epoll_data(struct handle handle);
struct handle peer_epoll_handle(uint64_t data);
bool peer_epoll_ctl(struct peer *peer, int operation, int fd, uint32_t events,
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
void outgoing_enqueue(struct peer *peer, struct peer_frame *frame,
                      int64_t now_ms);
void outgoing_apply_directory(struct peer *peer, int64_t now_ms);
void outgoing_run_timers(struct peer *peer, struct peer_link *link,
                         int64_t now_ms);

/* incoming.c */
void incoming_receive(struct peer *peer, struct handle handle,
                      struct connection *connection);
void incoming_resume_accept(struct peer *peer, int64_t now_ms);
void incoming_accept(struct peer *peer, int64_t now_ms);

#endif
