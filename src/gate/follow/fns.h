#ifndef FOLLOW_FNS_H
#define FOLLOW_FNS_H

/* store.c */
void store_items_clear(struct store_items *items);
void store_items_keep_last(struct store_items *items);
void store_changes_free(struct store_changes *changes);

/* era.c */
enum era_news era_note(int64_t *known, int64_t answered);
int64_t era_fence(int64_t era, int64_t revision);

/* share.c */
void share_update(struct share *share, GHashTable *members,
                  const struct gate_member *self);
bool share_connects(const struct store_changes *changes, int64_t known,
                    int64_t era);
int64_t share_call_at_ms(const struct share *share, int64_t boot_offset_ms);
bool share_passes_on(const struct share *share, bool asked, int64_t now_ms,
                     int64_t boot_ms);
int64_t share_delay_ms(const struct share *share, int members);

/* fresh.c */
void fresh_init(struct fresh *fresh);
void fresh_clear(struct fresh *fresh);
void fresh_add_ask(struct fresh *fresh, const struct fresh_ask *ask);
GArray *fresh_take_asks(struct fresh *fresh);
void fresh_note_source(struct fresh *fresh, uint64_t source, int64_t now_ms);
int64_t fresh_ask_due_ms(const struct fresh *fresh, int64_t now_ms);
int64_t fresh_answer_ms(const struct store_changes *changes, uint64_t self_id,
                        int64_t boot_ms);

/* member.c */
extern const char member_prefix[];
extern const char holder_key[];
char *member_format(const struct gate_member *member);
bool member_parse(const char *bytes, size_t count, struct gate_member *member,
                  struct err *err);

/* outbox.c */
void outbox_init(struct outbox *outbox);
void outbox_clear(struct outbox *outbox);
void outbox_set_config(struct outbox *outbox, struct gate_config *config);
void outbox_add_target_change(struct outbox *outbox,
                              const struct target_change *change);
void outbox_set_members(struct outbox *outbox, GArray *members);
void outbox_set_holder(struct outbox *outbox, const struct holder *holder);
bool outbox_deliver(struct outbox *outbox, struct feed_port *port);

/* feed.c */
bool feed_init(struct feed *feed, const struct gate_settings *settings,
               struct store *store, const struct gate_decode_ops *decode,
               struct feed_port *port, struct err *err);
void feed_clear(struct feed *feed);
int64_t feed_poll(struct feed *feed, int64_t now_ms);
int64_t feed_take_changes(struct feed *feed, struct store_changes *changes,
                          int64_t now_ms);
void feed_post_changes(struct feed *feed, struct store_changes *changes);
int64_t feed_ask(struct feed *feed, int64_t now_ms);
void feed_post_ask(struct feed *feed, const struct fresh_ask *ask);
void feed_post_contact(struct feed *feed, const struct store_contact *contact);
struct store_contact feed_contact(const struct feed *feed);

/* lease_keeper.c */
bool lease_keeper_init(struct lease_keeper *keeper, struct store *store,
                       const struct gate_settings *settings, struct term *term,
                       struct err *err);
void lease_keeper_clear(struct lease_keeper *keeper);
bool lease_keeper_post_holder(struct lease_keeper *keeper,
                              const struct holder *holder);
void lease_keeper_post_shutdown(struct lease_keeper *keeper);
void lease_keeper_set_holder(struct lease_keeper *keeper,
                             const struct holder *holder, int64_t boot_ms);
void lease_keeper_shut_down(struct lease_keeper *keeper, int64_t boot_ms);
int64_t lease_keeper_tick(struct lease_keeper *keeper, int64_t boot_ms);
bool term_begin_order(struct term *term, int64_t boot_ms, int64_t *fence);
void term_end_order(struct term *term);
bool term_is_valid(struct term *term, int64_t boot_ms, int64_t *fence);
int64_t term_grants_fence(struct term *term, int64_t boot_ms);

#endif
