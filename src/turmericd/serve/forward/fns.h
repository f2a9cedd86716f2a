#ifndef FORWARD_FNS_H
#define FORWARD_FNS_H

struct forward *forward_new(struct calls *calls, int workers,
                            struct forward_port *port, struct err *err);
void forward_free(struct forward *forward);
struct duty *forward_duty(struct forward *forward);
bool forward_post_attempt(struct forward *forward,
                          const struct attempt *attempt, struct err *err);

#endif
