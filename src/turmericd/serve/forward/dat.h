#ifndef FORWARD_DAT_H
#define FORWARD_DAT_H

struct forward_port;

/**
 * struct forward_port_ops - callbacks of the forward duty
 * @report_result: reports the end of an attempt; blocks until the result is
 *                 accepted, because no result may be lost
 */
struct forward_port_ops {
    void (*report_result)(struct forward_port *port,
                          const struct attempt_result *result);
};

struct forward_port {
    const struct forward_port_ops *ops;
};

/**
 * struct forward - duty that supervises the threads that send requests to
 * targets
 */
struct forward;

#endif
