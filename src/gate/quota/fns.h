#ifndef QUOTA_FNS_H
#define QUOTA_FNS_H

/* message.c */
struct quota_ask *quota_ask_new(void);
void quota_ask_free(struct quota_ask *ask);
void quota_grant_init(struct quota_grant *grant);
void quota_grant_clear(struct quota_grant *grant);

/* bucket.c */
void bucket_init(struct bucket *bucket, int64_t now_ms);
void bucket_empty(struct bucket *bucket, int64_t now_ms);
double bucket_capacity(const struct bucket *bucket);
void bucket_set(struct bucket *bucket, double rate_per_s, double burst);
void bucket_advance(struct bucket *bucket, double reserved_per_s, double held,
                    int64_t now_ms);
double bucket_needed(const struct bucket *bucket, int64_t units);
void bucket_take(struct bucket *bucket, double units);
void bucket_put_back(struct bucket *bucket, double units, double held);
int64_t bucket_room_ms(const struct bucket *bucket, double reserved_per_s,
                       double units);
void bucket_promise(struct bucket *bucket, double units);

/* granter.c */
void granter_init(struct granter *granter);
void granter_clear(struct granter *granter);
void granter_set_config(struct granter *granter,
                        const struct gate_config *config, int64_t now_ms);
void granter_set_members(struct granter *granter, const uint64_t *ids,
                         int count, int64_t now_ms);
void granter_set_term(struct granter *granter, int64_t fence, int64_t now_ms);
void granter_tick(struct granter *granter, int64_t now_ms);
bool granter_answer(struct granter *granter, uint64_t member,
                    const struct quota_ask *ask, int64_t now_ms,
                    struct quota_grant *grant);

/* spend.c */
void spend_init(struct spend *spend, int64_t start);
void spend_set_bounds(struct spend *spend, const struct gate_limits *limits);
void spend_set_members(struct spend *spend, int count, int64_t boot_ms);
void spend_clear(struct spend *spend);
void spend_set_config(struct spend *spend, const struct gate_config *config);
void spend_set_holder(struct spend *spend);
struct spend_team *spend_find(const struct spend *spend, uint64_t team);
enum spend_verdict spend_try(struct spend *spend, struct spend_team *team,
                             int64_t units, int64_t boot_ms);
enum spend_verdict spend_try_last(struct spend *spend, struct spend_team *team,
                                  int64_t units, int64_t boot_ms);
int64_t spend_retry_ms(const struct spend_team *team,
                       enum spend_verdict verdict, int64_t units,
                       int64_t left_ms, int64_t boot_ms);
void spend_turn_away(struct spend_team *team, int64_t units);
void spend_meter(struct spend_team *team, int64_t units, int64_t boot_ms);
void spend_join(struct spend *spend, struct spend_team *team);
void spend_leave(struct spend *spend, struct spend_team *team);
void spend_return(struct spend_team *team, int64_t units, int64_t charged_ms,
                  int64_t boot_ms);
bool spend_is_cut(const struct spend *spend, int64_t boot_ms);
int64_t spend_ask_due_ms(const struct spend *spend, int64_t boot_ms);
void spend_want(struct spend_team *team, int64_t units);
struct quota_ask *spend_ask(struct spend *spend, int64_t boot_ms);
bool spend_apply(struct spend *spend, const struct quota_grant *grant,
                 int64_t boot_ms);

/* duty.c */
bool quota_duty_init(struct quota_duty *quota, struct term *term,
                     struct quota_port *port, struct err *err);
void quota_duty_clear(struct quota_duty *quota);
bool quota_post_config(struct quota_duty *quota, struct gate_config *config);
bool quota_post_members(struct quota_duty *quota, const GArray *members);
void quota_post_ask(struct quota_duty *quota, uint64_t member,
                    struct quota_ask *ask);

#endif
