#ifndef MEMBER_INTERNAL_H
#define MEMBER_INTERNAL_H

enum {
    GREET_WAIT_MAX_MS = 15000,
    SPREAD = 3,
};

/* send.c; pure. */
int64_t time_earlier(int64_t a, int64_t b);
uint32_t swim_random(struct swim *swim, uint32_t bound);
struct roster_entry *swim_own(struct swim *swim);
struct roster_entry *swim_entry(struct swim *swim, struct handle handle);
void send_add_news(struct swim_message *message,
                   const struct roster_entry *entry);
void send_message(struct swim *swim, uint64_t to,
                  struct swim_message *message);
void send_ping(struct swim *swim, uint64_t to, uint64_t sequence);
void send_ack(struct swim *swim, uint64_t to, uint64_t sequence,
              uint64_t about, int64_t revision);
void send_hello(struct swim *swim, uint64_t to);
int swim_random_members(struct swim *swim, uint64_t excluded, uint64_t *ids,
                        int max);
void send_spread(struct swim *swim);
void send_all_members(struct swim *swim, uint64_t to);

/* probe.c; pure. */
void probe_insert(struct swim *swim, struct handle handle);
void probe_suspected(struct swim *swim, uint64_t id, int64_t now_ms);
void probe_acked(struct swim *swim, const struct swim_message *message);
int64_t probes_tick(struct swim *swim, int64_t now_ms);

/* hello.c; pure. */
void greet_reach(struct swim *swim, const struct roster_entry *entry);
void greet_reach_again(struct swim *swim, const struct roster_entry *entry);
void greet_later(struct roster_entry *entry, int64_t wait_ms, int64_t now_ms);
int64_t greet_tick(struct swim *swim, int64_t now_ms);

/* swim.c; pure. */
void swim_changed(struct swim *swim, uint64_t id, enum roster_change change,
                  int64_t now_ms);

#endif
