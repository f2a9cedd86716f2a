#ifndef FRONTEND_DAT_H
#define FRONTEND_DAT_H

struct front_port;

/**
 * struct front_port_ops - what the callers' HTTP needs from the rest
 * @submit: hands an open call to the route duty
 * @tree: the tree in force, pinned; NULL when there is none
 * @members: the instances that callers may use
 * @leave: this instance stops taking calls; tells the other members
 */
struct front_port_ops {
    bool (*submit)(struct front_port *port, struct handle call,
                   struct err *err);
    struct tree *(*tree)(struct front_port *port);
    int (*members)(struct front_port *port, struct member_info *infos,
                   int max);
    void (*leave)(struct front_port *port);
};

struct front_port {
    const struct front_port_ops *ops;
};

/**
 * struct front_settings - where to listen and the limits
 */
struct front_settings {
    char address[ADDRESS_MAX_BYTES];
    int64_t body_max_bytes;
    int64_t keep_s;
    int64_t drain_max_s;
};

/**
 * struct front - duty that serves callers over HTTP
 */
struct front;

#endif
