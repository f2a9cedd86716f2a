#ifndef FRONTEND_DAT_H
#define FRONTEND_DAT_H

struct frontend_port;

/**
 * struct frontend_port_ops - what the frontend needs from the instance
 * @submit: queues an open call for the route duty
 * @tree_ref: returns a reference to the tree in force, released by the
 *            frontend with tree_unref(); NULL when there is none
 * @list_members: lists the instances that callers may use
 * @announce_drain: tells the other members that this instance stops accepting
 *                  calls
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
 * struct frontend_settings - listen address and limits
 * @address: IP:PORT; port 0 lets the kernel choose
 * @body_max_bytes: largest request body
 * @address_ttl_s: how long callers may cache a list of addresses; a stopping
 *                 instance accepts new calls for this long
 * @drain_max_s: longest wait for open calls before a stop aborts them
 */
struct frontend_settings {
    char address[ADDRESS_MAX_BYTES];
    int64_t body_max_bytes;
    int64_t address_ttl_s;
    int64_t drain_max_s;
};

/**
 * struct frontend - duty that serves callers over HTTP
 */
struct frontend;

#endif
