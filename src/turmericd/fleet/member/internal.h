#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

enum {
    HELLO_BACKOFF_MAX_MS = 15000,
    GOSSIP_FANOUT = 3,
};

/* send.c; pure. */
int64_t time_earlier(int64_t a, int64_t b);
uint32_t swim_random_below(struct swim *swim, uint32_t bound);
struct member_entry *swim_self_entry(struct swim *swim);
struct member_entry *swim_get_entry(struct swim *swim, struct handle handle);
void swim_message_add(struct swim_message *message,
                      const struct member_entry *entry);
void send_message(struct swim *swim, uint64_t to,
                  struct swim_message *message);
void send_ping(struct swim *swim, uint64_t to, uint64_t sequence);
void send_ack(struct swim *swim, uint64_t to, uint64_t sequence,
              uint64_t subject_id, int64_t revision);
void send_hello(struct swim *swim, uint64_t to);
int swim_random_members(struct swim *swim, uint64_t excluded_id, uint64_t *ids,
                        int max);
void send_gossip(struct swim *swim);
void send_full_list(struct swim *swim, uint64_t to);

/* probe.c; pure. */
void probe_order_insert(struct swim *swim, struct handle handle);
void probe_peer_suspicion(struct swim *swim, uint64_t id, int64_t now_ms);
void probe_receive_ack(struct swim *swim, const struct swim_message *message);
int64_t probes_tick(struct swim *swim, int64_t now_ms);

/* hello.c; pure. */
void hello_set_address(struct swim *swim, const struct member_entry *entry);
void hello_restore_address(struct swim *swim,
                           const struct member_entry *entry);
void hello_schedule(struct member_entry *entry, int64_t backoff_ms,
                    int64_t now_ms);
int64_t hello_tick(struct swim *swim, int64_t now_ms);

/* swim.c; pure. */
void swim_entry_changed(struct swim *swim, uint64_t id,
                        enum entry_change change, int64_t now_ms);

#endif
