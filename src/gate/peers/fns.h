#ifndef PEERS_FNS_H
#define PEERS_FNS_H

/* peer_list.c */
void peer_list_update(GArray *peers, const GArray *members, uint64_t self_id,
                      int64_t keep_ms, int64_t now_ms);

uint64_t peer_list_find_holder(const GArray *peers, uint64_t self_id,
                               const char *self_name, const char *holder);

/* aggregator.c */
bool aggregator_accept_total(struct aggregator *aggregator, uint64_t from,
                             int64_t fence, int64_t now_ms);
uint64_t aggregator_report_to(const struct aggregator *aggregator,
                              int64_t now_ms);
bool aggregator_in_use(int peers);

/* messages.c */
bool peers_send_activity(struct peer *peer, uint64_t member,
                         const struct activity_report *activity,
                         struct err *err);
bool peers_send_holdings(struct peer *peer, uint64_t member,
                         const struct holdings *holdings, struct err *err);
bool peers_send_forecast(struct peer *peer, uint64_t member,
                         const struct load_forecast *forecast,
                         struct err *err);
bool peers_send_ask(struct peer *peer, uint64_t member, int64_t sent_ms,
                    struct err *err);
struct fresh_ask peers_decode_ask(const Turmeric__Envelope *envelope);
bool peers_send_changes(struct peer *peer, uint64_t member,
                        const struct store_changes *changes, struct err *err);
struct store_changes *peers_decode_changes(const Turmeric__Envelope *envelope);
struct load_forecast *
peers_decode_forecast(const Turmeric__Envelope *envelope);
bool peers_send_total(struct peer *peer, uint64_t member,
                      const struct activity_report *total, int64_t fence,
                      struct err *err);
struct activity_report *peers_decode_total(const Turmeric__Envelope *envelope);
struct activity_report *
peers_decode_activity(const Turmeric__Envelope *envelope);
struct holdings *peers_decode_holdings(const Turmeric__Envelope *envelope);
bool peers_send_contact_ask(struct peer *peer, uint64_t member, int64_t now_ms,
                            struct err *err);
void peers_encode_contact(const Turmeric__GateContactAsk *ask,
                          const struct store_contact *contact, int64_t now_ms,
                          Turmeric__GateContact *body);
bool peers_send_contact(struct peer *peer, uint64_t member,
                        Turmeric__GateContact *body, struct err *err);
struct store_contact peers_decode_contact(const Turmeric__GateContact *body,
                                          int64_t now_ms);

/* quota.c */
struct quota_ask;
struct quota_grant;
Turmeric__GateQuotaAsk *peers_encode_quota_ask(const struct quota_ask *ask);
void peers_free_quota_ask(Turmeric__GateQuotaAsk *body);
bool peers_send_quota_ask(struct peer *peer, uint64_t member,
                          const struct quota_ask *ask, struct err *err);
struct quota_ask *peers_decode_quota_ask(const Turmeric__Envelope *envelope);
Turmeric__GateQuotaGrant *
peers_encode_quota_grant(const struct quota_grant *grant);
void peers_free_quota_grant(Turmeric__GateQuotaGrant *body);
bool peers_send_quota_grant(struct peer *peer, uint64_t member,
                            const struct quota_grant *grant, struct err *err);
void peers_decode_quota_grant(const Turmeric__Envelope *envelope,
                              struct quota_grant *grant);

/* crashes.c */
struct crash_report;
Turmeric__GateCrashes *peers_encode_crashes(const struct crash_report *report,
                                            int64_t now_ms);
void peers_free_crashes(Turmeric__GateCrashes *body);
bool peers_send_crashes(struct peer *peer, uint64_t member,
                        Turmeric__GateCrashes *body, struct err *err);
struct crash_report *peers_decode_crashes(const Turmeric__Envelope *envelope,
                                          int64_t now_ms);

#endif
