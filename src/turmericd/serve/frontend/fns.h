#ifndef FRONTEND_FNS_H
#define FRONTEND_FNS_H

struct frontend *frontend_new(struct calls *calls,
                              const struct frontend_settings *settings,
                              struct frontend_port *port, struct err *err);
void frontend_free(struct frontend *frontend);
struct duty *frontend_duty(struct frontend *frontend);
/* The port in use; chosen by the kernel when the address has port 0. */
int frontend_listen_port(const struct frontend *frontend);

/* problem.c: formats a refusal as application/problem+json and counts it. */
char *problem_format(const struct err *err, enum outcome outcome);

#endif
