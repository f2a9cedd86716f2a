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

/* post.c; safe from any thread. */
bool relay_post_config(struct relay *relay, struct gate_config *config);
bool relay_post_change(struct relay *relay,
                       const struct target_change *change);
bool relay_post_listed(struct relay *relay);
void relay_post_holdings(struct relay *relay, struct holdings *holdings);
void relay_post_outlook(struct relay *relay, struct outlook *outlook);
void relay_post_sum(struct relay *relay, struct activity *activity);
void relay_post_activity(struct relay *relay, struct activity *activity);
bool relay_post_members(struct relay *relay, const GArray *members);
void relay_post_leave(struct relay *relay);

/* activity.c */
struct activity *activity_new(uint64_t instance);
void activity_free(struct activity *activity);
struct outlook *outlook_new(int count);
void outlook_free(struct outlook *outlook);

#endif
