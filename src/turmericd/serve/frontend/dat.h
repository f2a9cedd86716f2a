#ifndef FRONTEND_DAT_H
#define FRONTEND_DAT_H

struct frontend_port;

/**
 * struct frontend_port_ops - what the callers' HTTP needs from the rest
 * @submit: hands an open call to the route duty
 * @tree_ref: the tree in force, pinned; NULL when there is none
 * @list_members: the instances that callers may use
 * @announce_drain: this instance stops taking calls; tells the other members
 */
struct frontend_port_ops {
    bool (*submit)(struct frontend_port *port, struct handle call,
                   struct err *err);
    struct tree *(*tree_ref)(struct frontend_port *port);
    int (*list_members)(struct frontend_port *port, struct member_info *infos,
                        int max);
    void (*announce_drain)(struct frontend_port *port);
};

struct frontend_port {
    const struct frontend_port_ops *ops;
};

/**
 * struct frontend_settings - where to listen and the limits
 */
struct frontend_settings {
    char address[ADDRESS_MAX_BYTES];
    int64_t body_max_bytes;
    int64_t address_ttl_s;
    int64_t drain_max_s;
};

/**
 * struct front - duty that serves callers over HTTP
 */
struct frontend;

#endif
