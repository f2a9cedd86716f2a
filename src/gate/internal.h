#ifndef GATE_INTERNAL_H
#define GATE_INTERNAL_H

/* Ports that connect the duties; each is the first member, so that a port's
 * function finds the gate behind it. */
struct gate_feed_port {
    struct feed_port port;
    struct gate *gate;
};

struct gate_relay_port {
    struct relay_port port;
    struct gate *gate;
};

struct gate_place_port {
    struct place_gate_port port;
    struct gate *gate;
};

struct gate_peer_port {
    struct peer_port port;
    struct gate *gate;
};

/**
 * struct gate - the supervisor tree of an instance on the platform
 * @peers_lock: guards @peers and @circle, which several duties' threads use
 * @peers: struct news_peer, the other instances
 */
struct gate {
    const struct gate_settings *settings;
    struct supervisor supervisor;
    struct supervisor follow;
    uint64_t self_id;
    struct term term;
    struct feed feed;
    struct lease_keeper tenure;
    struct place_gate place;
    struct peer *peer;
    struct relay *relay;
    struct gate_feed_port feed_port;
    struct gate_relay_port relay_port;
    struct gate_place_port place_port;
    struct gate_peer_port peer_port;
    pthread_mutex_t peers_lock;
    GArray *peers;
    struct circle circle;
};

/* ports.c */
void gate_init_ports(struct gate *gate);

#endif
