#ifndef PEER_FNS_H
#define PEER_FNS_H

/* frame.c */
bool frame_pack(const Turmeric__Envelope *envelope, uint64_t from,
                unsigned char **bytes, size_t *count, struct err *err);
void frame_reader_free(struct frame_reader *reader);
bool frame_reader_append(struct frame_reader *reader, const void *bytes,
                         size_t count, struct err *err);
enum frame_result frame_reader_next(struct frame_reader *reader,
                                    Turmeric__Envelope **envelope,
                                    struct err *err);

/* directory.c */
bool directory_init(struct peer_directory *directory, struct err *err);
void directory_free(struct peer_directory *directory);
bool directory_set_address(struct peer_directory *directory, uint64_t member,
                           const char *address, struct err *err);
void directory_remove(struct peer_directory *directory, uint64_t member);
bool directory_reserve(struct peer_directory *directory, uint64_t member,
                       size_t bytes, struct handle *entry, struct err *err);
void directory_release(struct peer_directory *directory, struct handle entry,
                       size_t bytes);
bool directory_get(struct peer_directory *directory, struct handle handle,
                   struct peer_entry *entry);
bool directory_clear_changed(struct peer_directory *directory);

/* link.c */
void link_push(struct peer_link *link, struct peer_frame *frame,
               int64_t now_ms);
size_t link_drop_expired(struct peer_link *link, int64_t now_ms);
size_t link_drop_all(struct peer_link *link);
bool link_write(struct peer_link *link, int64_t now_ms, size_t *written);
void link_connect_started(struct peer_link *link, int fd, int64_t now_ms);
void link_connected(struct peer_link *link, int64_t now_ms);
void link_closed(struct peer_link *link, int64_t now_ms);
bool link_connect_due(const struct peer_link *link, int64_t now_ms);
bool link_timed_out(const struct peer_link *link, int64_t now_ms);
int64_t link_next_timer_ms(const struct peer_link *link);

/* peer.c; peer_send() may be called from any thread. */
struct peer *peer_new(const char *listen_address, uint64_t self_id,
                      struct peer_port *port, struct err *err);
void peer_free(struct peer *peer);
struct duty *peer_duty(struct peer *peer);
int peer_listen_port(const struct peer *peer);
void peer_set_port(struct peer *peer, struct peer_port *port);
bool peer_set_address(struct peer *peer, uint64_t member, const char *address);
void peer_remove_member(struct peer *peer, uint64_t member);
bool peer_send(struct peer *peer, uint64_t member,
               Turmeric__Envelope *envelope, struct err *err);

#endif
