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
/* Another instance has closed or refused a connection. */
bool member_post_broken(struct member *member, uint64_t id, struct err *err);
void member_set_revision(struct member *member, int64_t revision);
void member_announce_leaving(struct member *member);

/* Safe from any thread. Live means alive or suspect, and not leaving. */
uint64_t member_self(const struct member *member);
uint64_t member_owner(struct member *member, uint64_t key);
int member_rank(struct member *member, uint64_t key, const char *data_centre);
int member_live_ids(struct member *member, const char *data_centre,
                    uint64_t *ids, int max);
int member_list(struct member *member, struct member_info *infos, int max);

/* table.c; pure. */
bool roster_init(struct roster *roster, struct err *err);
void roster_free(struct roster *roster);
struct roster_entry *roster_find(struct roster *roster, uint64_t id,
                                 struct handle *handle);
struct roster_entry *roster_add(struct roster *roster,
                                const struct member_info *info,
                                struct handle *handle);
void roster_remove(struct roster *roster, struct handle handle);
void roster_touch(struct roster *roster, struct roster_entry *entry);
enum roster_change roster_apply(struct roster *roster,
                                const struct member_info *news);
enum member_state roster_state(const struct roster_entry *entry);
bool roster_is_member(const struct roster_entry *entry);
int roster_pick_news(struct roster *roster, struct member_info *news,
                     int count, int max);

/* swim.c, receive.c, probe.c; pure. */
bool swim_init(struct swim *swim, const struct member_info *self,
               uint64_t seed, struct swim_port *port, struct err *err);
void swim_free(struct swim *swim);
void swim_receive(struct swim *swim, uint64_t from,
                  const struct swim_message *message, int64_t now_ms);
void swim_listed(struct swim *swim, const struct member_info *info,
                 int64_t now_ms);
void swim_broken(struct swim *swim, uint64_t id, int64_t now_ms);
void swim_leave(struct swim *swim);
int64_t swim_tick(struct swim *swim, int64_t now_ms);

/* wire.c; pure. */
void swim_with_envelope(const struct swim_message *message,
                        void (*use)(Turmeric__Envelope *envelope,
                                    void *argument),
                        void *argument);
bool swim_unpack(const Turmeric__Envelope *envelope,
                 struct swim_message *message, struct err *err);

#endif
