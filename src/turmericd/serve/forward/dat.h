#ifndef FORWARD_DAT_H
#define FORWARD_DAT_H

struct forward_port;

/**
 * struct forward_port_ops - callbacks of the forward duty
 * @report_result: reports the end of an attempt; blocks until the result is
 *                 accepted, because no result may be lost
 * @report_notice: reports what the head of an answer says of its target, as
 *                 soon as it is received
 */
struct forward_port_ops {
    void (*report_result)(struct forward_port *port,
                          const struct attempt_result *result);
    void (*report_notice)(struct forward_port *port,
                          const struct target_notice *notice);
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
