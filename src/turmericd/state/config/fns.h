#ifndef CONFIG_FNS_H
#define CONFIG_FNS_H

struct config *config_new(struct kv *kv, uint64_t seed,
                          struct config_port *port, struct err *err);
void config_free(struct config *config);
struct duty *config_duty(struct config *config);
bool config_post_envelope(struct config *config, Turmeric__Envelope *envelope,
                          struct err *err);

/* The functions below are safe to call from any thread. */
struct tree *config_tree_ref(struct config *config);
void config_read_state(struct config *config, int64_t now_ms,
                       struct config_state *state);
/* Blocks on the key-value store. */
bool config_edit(struct config *config, const struct edit *edit,
                 int64_t now_ms, int64_t *revision, struct err *err);
/* Blocks on the key-value store when older entries are needed. Returns a
 * JSON array that the caller releases with free(). */
char *config_history(struct config *config, int64_t after_revision, int limit,
                     struct err *err);

#endif
