#ifndef FORWARD_DAT_H
#define FORWARD_DAT_H

struct forward_port;

/**
 * struct forward_port_ops - whom the forward duty tells
 * @report_result: an attempt ended; must not be lost, so it blocks until it is
 * taken
 */
struct forward_port_ops {
    void (*report_result)(struct forward_port *port,
                          const struct attempt_result *result);
};

struct forward_port {
    const struct forward_port_ops *ops;
};

/**
 * struct forward - duty that supervises the threads which call targets
 */
struct forward;

#endif
