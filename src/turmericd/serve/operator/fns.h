#ifndef OPERATOR_FNS_H
#define OPERATOR_FNS_H

struct operator_api *
operator_api_new(const struct operator_api_settings *settings,
                 struct operator_api_port *port, struct err *err);
void operator_api_free(struct operator_api *api);
struct duty *operator_api_duty(struct operator_api *api);
int operator_api_listen_port(const struct operator_api *api);

#endif
