#ifndef OPERATOR_FNS_H
#define OPERATOR_FNS_H

struct desk *desk_new(const struct desk_settings *settings,
                      struct desk_port *port, struct err *err);
void desk_free(struct desk *desk);
struct duty *desk_duty(struct desk *desk);
int desk_listen_port(const struct desk *desk);

#endif
