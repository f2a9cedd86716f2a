#ifndef FRONTEND_FNS_H
#define FRONTEND_FNS_H

struct front *front_new(struct calls *calls,
                        const struct front_settings *settings,
                        struct front_port *port, struct err *err);
void front_free(struct front *front);
struct duty *front_duty(struct front *front);
/* Port that the kernel chose when the address says port 0. */
int front_listen_port(const struct front *front);

/* problem.c: application/problem+json for a refusal; counts it. */
char *problem_format(const struct err *err, enum outcome outcome);

#endif
