#ifndef GATE_INTERNAL_H
#define GATE_INTERNAL_H

/* Ports that connect the duties. The port is the first member, so that a
 * callback can get from the port to the gate. */
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

struct gate_quota_port {
    struct quota_port port;
    struct gate *gate;
};

struct gate_peer_port {
    struct peer_port port;
    struct gate *gate;
};

/**
 * struct gate - the supervisor tree of an instance on the platform
 * @settings: borrowed
 * @supervisor: root of the tree
 * @store_supervisor: supervisor of the duties that use the store
 * @self_id: id of this instance
 * @term: term of this instance as the holder
 * @peers_lock: guards @peers, @aggregator and @holder, which threads of
 * several duties use, and @contact_asks
 * @contact_asks: rounds of asks when the store has answered others
 * @peers: struct peer_instance; the instances that messages are sent to
 * @aggregator: source of the activity totals
 * @holder: the instance that grants quotas
 */
struct gate {
    const struct gate_settings *settings;
    struct supervisor supervisor;
    struct supervisor store_supervisor;
    uint64_t self_id;
    struct term term;
    struct feed feed;
    struct lease_keeper lease_keeper;
    struct place_gate place;
    struct quota_duty quota;
    struct peer *peer;
    struct relay *relay;
    struct gate_feed_port feed_port;
    struct gate_relay_port relay_port;
    struct gate_place_port place_port;
    struct gate_quota_port quota_port;
    struct gate_peer_port peer_port;
    pthread_mutex_t peers_lock;
    uint64_t contact_asks;
    GArray *peers;
    struct aggregator aggregator;
    struct holder holder;
};

/* ports.c */
void gate_init_ports(struct gate *gate);

#endif
