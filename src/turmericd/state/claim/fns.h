#ifndef CLAIM_FNS_H
#define CLAIM_FNS_H

struct claim *claim_new(struct kv *kv, uint64_t self, struct claim_port *port,
                        struct err *err);
void claim_free(struct claim *claim);
struct duty *claim_duty(struct claim *claim);
bool claim_post_request(struct claim *claim,
                        const struct claim_request *request, struct err *err);
bool claim_post_release(struct claim *claim,
                        const struct claim_request *request, struct err *err);
bool claim_post_envelope(struct claim *claim, Turmeric__Envelope *envelope,
                         struct err *err);

/* key.c: pure; checks a key and fills in its hash, class and time. */
bool claim_key_parse(const char *service, const char *key, int64_t wall_ms,
                     struct claim_request *request, struct err *err);

#endif
