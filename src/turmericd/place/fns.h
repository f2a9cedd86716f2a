#ifndef PLACE_FNS_H
#define PLACE_FNS_H

struct place *place_new(struct kv *kv, struct engine_api *api,
                        uint64_t self_id, uint64_t started_ms,
                        struct place_port *port, struct err *err);
void place_free(struct place *place);
struct duty *place_duty(struct place *place);
bool place_post_load_request(struct place *place,
                             const struct load_request *request,
                             struct err *err);
bool place_post_report(struct place *place, const struct target_report *report,
                       struct err *err);
/* Resets the idle time of a leaf: a request was routed to it. */
bool place_post_use(struct place *place, uint64_t leaf, struct err *err);
bool place_post_envelope(struct place *place, Turmeric__Envelope *envelope,
                         struct err *err);

/* enginehttp.c */
struct engine_api *engine_http_new(int load_timeout_ms);
void engine_http_free(struct engine_api *api);

#endif
