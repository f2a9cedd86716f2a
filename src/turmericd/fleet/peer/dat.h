#ifndef PEER_DAT_H
#define PEER_DAT_H

enum {
    PEER_VERSION = 1,
    PEER_FRAME_MAX_BYTES = 1024 * 1024,
    PEER_MAX = 512,
};

struct peer_port;

/**
 * struct peer_port_ops - where received messages go
 * @message: takes ownership of @envelope in every case; called in the peer
 *           duty's thread and must not block
 */
struct peer_port_ops {
    void (*message)(struct peer_port *port, Turmeric__Envelope *envelope);
};

struct peer_port {
    const struct peer_port_ops *ops;
};

/**
 * struct peer - duty that moves frames between instances over TCP
 *
 * Opaque to others; peer_new() creates it.
 */
struct peer;

#endif
