#ifndef ROUTE_FNS_H
#define ROUTE_FNS_H

struct route *route_new(struct calls *calls, const char *data_centre,
                        uint64_t seed, struct route_port *port,
                        struct err *err);
void route_free(struct route *route);
struct duty *route_duty(struct route *route);
bool route_post_call(struct route *route, struct handle call, struct err *err);
bool route_post_result(struct route *route,
                       const struct attempt_result *result, struct err *err);
bool route_post_notice(struct route *route, const struct target_notice *notice,
                       struct err *err);
bool route_post_report(struct route *route, const struct target_report *report,
                       struct err *err);
bool route_post_placement(struct route *route,
                          const struct placement *placement, struct err *err);
bool route_post_claim_result(struct route *route,
                             const struct claim_result *result,
                             struct err *err);
bool route_post_strike(struct route *route, uint64_t fingerprint,
                       uint64_t target, uint64_t incarnation, struct err *err);

#endif
