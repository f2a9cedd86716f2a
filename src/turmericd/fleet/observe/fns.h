#ifndef OBSERVE_FNS_H
#define OBSERVE_FNS_H

struct observe *observe_new(const struct observe_settings *settings,
                            struct observe_port *port, struct err *err);
void observe_free(struct observe *observe);
struct duty *observe_duty(struct observe *observe);
/* Takes ownership of the envelope only when it returns true. */
bool observe_post_envelope(struct observe *observe,
                           Turmeric__Envelope *envelope, struct err *err);
/* Pure; used for polls and by tests. */
bool status_parse(const char *text, size_t bytes, struct target_report *report,
                  struct err *err);

#endif
