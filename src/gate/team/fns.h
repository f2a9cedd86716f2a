#ifndef TEAM_FNS_H
#define TEAM_FNS_H

/* key.c */
struct key_digest key_digest_of(const char *key);
int team_find(const struct gate_config *config,
              const struct key_digest *digest);

/* lease.c */
void key_lease_init(struct key_lease *lease, int64_t revocation_ms);
bool key_lease_confirm(struct key_lease *lease, int64_t confirmed_ms);
bool key_lease_is_valid(const struct key_lease *lease, int64_t boot_ms);
int64_t key_lease_end_ms(const struct key_lease *lease);

/* decide.c */
enum team_verdict team_decide(const struct team_facts *facts);

#endif
