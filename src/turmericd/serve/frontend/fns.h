#ifndef FRONTEND_FNS_H
#define FRONTEND_FNS_H

struct frontend *frontend_new(struct calls *calls,
                              const struct frontend_settings *settings,
                              struct frontend_port *port, struct err *err);
void frontend_free(struct frontend *frontend);
struct duty *frontend_duty(struct frontend *frontend);
/* Port that the kernel chose when the address says port 0. */
int frontend_listen_port(const struct frontend *frontend);

/* problem.c: application/problem+json for a refusal; counts it. */
char *problem_format(const struct err *err, enum outcome outcome);

#endif
