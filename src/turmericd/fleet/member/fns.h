#ifndef MEMBER_FNS_H
#define MEMBER_FNS_H

struct member *member_new(const struct member_info *self, uint64_t seed,
                          struct member_port *port, struct err *err);
void member_free(struct member *member);
struct duty *member_duty(struct member *member);
/* Takes ownership of the envelope only when it returns true. */
bool member_post_envelope(struct member *member, Turmeric__Envelope *envelope,
                          struct err *err);
/* An instance that the platform's list or the settings name. */
bool member_post_listed(struct member *member, const struct member_info *info,
                        struct err *err);
void member_set_revision(struct member *member, int64_t revision);
void member_announce_leaving(struct member *member);

/* Safe from any thread. Live means alive or suspect, and not leaving. */
uint64_t member_self(const struct member *member);
uint64_t member_owner(struct member *member, uint64_t key);
int member_rank(struct member *member, uint64_t key, const char *data_centre);
int member_live_ids(struct member *member, const char *data_centre,
                    uint64_t *ids, int max);
int member_list(struct member *member, struct member_info *infos, int max);

#endif
