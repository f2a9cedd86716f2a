#ifndef RELAY_FNS_H
#define RELAY_FNS_H

/* relay.c */
struct relay *relay_new(const struct gate_settings *settings,
                        struct dialect *dialect, struct relay_port *port,
                        struct err *err);
void relay_free(struct relay *relay);
struct duty *relay_duty(struct relay *relay);
int relay_front_port(const struct relay *relay);
int relay_ready_port(const struct relay *relay);
int relay_lookup_port(const struct relay *relay);
int relay_metrics_port(const struct relay *relay);

/* post.c; safe from any thread. */
bool relay_post_config(struct relay *relay, struct gate_config *config);
bool relay_post_target_change(struct relay *relay,
                              const struct target_change *change);
bool relay_post_targets_listed(struct relay *relay);
void relay_post_holdings(struct relay *relay, struct holdings *holdings);
void relay_post_forecast(struct relay *relay, struct load_forecast *forecast);
void relay_post_activity_total(struct relay *relay,
                               struct activity_report *total);
void relay_post_activity(struct relay *relay, struct activity_report *report);
void relay_post_crashes(struct relay *relay, struct crash_report *report);
void relay_post_confirmation(struct relay *relay,
                             const struct confirmation *confirmation);
struct quota_grant;
void relay_post_quota_grant(struct relay *relay,
                            const struct quota_grant *grant);
void relay_post_holder(struct relay *relay);
bool relay_post_members(struct relay *relay, const GArray *members);
void relay_post_drain(struct relay *relay);

/* activity.c */
struct activity_report *activity_report_new(uint64_t instance);
void activity_report_free(struct activity_report *report);
struct load_forecast *load_forecast_new(int count);
void load_forecast_free(struct load_forecast *forecast);

#endif
