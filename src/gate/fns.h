#ifndef GATE_FNS_H
#define GATE_FNS_H

struct gate;

/* root.c */
struct gate *gate_new(const struct gate_settings *settings,
                      const struct gate_platform *platform, struct err *err);
void gate_free(struct gate *gate);
bool gate_run(struct gate *gate, struct err *err);
void gate_drain(struct gate *gate);
void gate_stop(struct gate *gate);

#endif
