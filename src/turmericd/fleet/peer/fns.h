#ifndef PEER_FNS_H
#define PEER_FNS_H

struct peer *peer_new(const char *listen_address, uint64_t self,
                      struct peer_port *port, struct err *err);
void peer_free(struct peer *peer);
struct duty *peer_duty(struct peer *peer);
int peer_listen_port(const struct peer *peer);
void peer_set_port(struct peer *peer, struct peer_port *port);
bool peer_set_address(struct peer *peer, uint64_t member, const char *address);
void peer_forget(struct peer *peer, uint64_t member);
bool peer_send(struct peer *peer, uint64_t member,
               Turmeric__Envelope *envelope, struct err *err);

#endif
