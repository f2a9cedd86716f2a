#ifndef NEWS_FNS_H
#define NEWS_FNS_H

/* roster.c */
void roster_update(GArray *peers, const GArray *members, uint64_t self,
                   int64_t keep_ms, int64_t now_ms);

/* circle.c */
bool circle_heard(struct circle *circle, uint64_t from, int64_t fence,
                  int64_t now_ms);
uint64_t circle_note_to(const struct circle *circle, int64_t now_ms);
bool circle_has_sums(int peers);

/* wire.c */
bool news_send_activity(struct peer *peer, uint64_t member,
                        const struct activity_report *activity,
                        struct err *err);
bool news_send_holdings(struct peer *peer, uint64_t member,
                        const struct holdings *holdings, struct err *err);
bool news_send_outlook(struct peer *peer, uint64_t member,
                       const struct load_forecast *outlook, struct err *err);
struct load_forecast *news_read_outlook(const Turmeric__Envelope *envelope);
bool news_send_sum(struct peer *peer, uint64_t member,
                   const struct activity_report *activity, int64_t fence,
                   struct err *err);
struct activity_report *news_read_sum(const Turmeric__Envelope *envelope);
struct activity_report *news_read_activity(const Turmeric__Envelope *envelope);
struct holdings *news_read_holdings(const Turmeric__Envelope *envelope);

#endif
