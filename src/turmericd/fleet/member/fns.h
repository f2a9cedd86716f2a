#ifndef MEMBER_FNS_H
#define MEMBER_FNS_H

struct member *member_new(const struct member_info *self, uint64_t seed,
                          struct member_port *port, struct err *err);
void member_free(struct member *member);
struct duty *member_duty(struct member *member);
/* Takes ownership of the envelope only when it returns true. */
bool member_post_envelope(struct member *member, Turmeric__Envelope *envelope,
                          struct err *err);
/* Reports an instance that the instance list or the settings name. */
bool member_post_listed(struct member *member, const struct member_info *info,
                        struct err *err);
/* Reports that another instance has closed or refused a connection. */
bool member_post_connection_broken(struct member *member, uint64_t id,
                                   struct err *err);
void member_set_revision(struct member *member, int64_t revision);
void member_announce_leaving(struct member *member);

/* Safe from any thread. Live means alive or suspect, and not leaving. */
uint64_t member_self_id(const struct member *member);
uint64_t member_owner(struct member *member, uint64_t key);
int member_rank(struct member *member, uint64_t key, const char *data_centre);
int member_live_ids(struct member *member, const char *data_centre,
                    uint64_t *ids, int max);
int member_list(struct member *member, struct member_info *infos, int max);

/* table.c; pure. */
bool member_table_init(struct member_table *members, struct err *err);
void member_table_free(struct member_table *members);
struct member_entry *member_table_find(struct member_table *members,
                                       uint64_t id, struct handle *handle);
struct member_entry *member_table_add(struct member_table *members,
                                      const struct member_info *info,
                                      struct handle *handle);
void member_table_remove(struct member_table *members, struct handle handle);
void member_table_mark_changed(struct member_table *members,
                               struct member_entry *entry);
enum entry_change member_table_apply(struct member_table *members,
                                     const struct member_info *update);
enum member_state member_entry_state(const struct member_entry *entry);
bool member_entry_is_active(const struct member_entry *entry);
int member_table_pick_updates(struct member_table *members,
                              struct member_info *updates, int count, int max);

/* swim.c, receive.c, probe.c; pure. */
bool swim_init(struct swim *swim, const struct member_info *self,
               uint64_t seed, struct swim_port *port, struct err *err);
void swim_free(struct swim *swim);
void swim_receive(struct swim *swim, uint64_t from,
                  const struct swim_message *message, int64_t now_ms);
void swim_add_listed(struct swim *swim, const struct member_info *info,
                     int64_t now_ms);
void swim_connection_broken(struct swim *swim, uint64_t id, int64_t now_ms);
void swim_leave(struct swim *swim);
int64_t swim_tick(struct swim *swim, int64_t now_ms);

/* wire.c; pure. */
void swim_encode(const struct swim_message *message,
                 void (*handle)(Turmeric__Envelope *envelope, void *argument),
                 void *argument);
bool swim_decode(const Turmeric__Envelope *envelope,
                 struct swim_message *message, struct err *err);

#endif
