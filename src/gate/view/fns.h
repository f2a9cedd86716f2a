#ifndef VIEW_FNS_H
#define VIEW_FNS_H

/* config.c */
struct gate_config *gate_config_new(int routes, int services);
struct gate_config *gate_config_ref(struct gate_config *config);
void gate_config_unref(struct gate_config *config);
void gate_config_sort_routes(struct gate_config *config);
void gate_config_sort_keys(struct gate_config *config);
const struct gate_route *
gate_config_match_route(const struct gate_config *config, const char *host,
                        const char *path);
int gate_route_pick_service(const struct gate_route *route, uint64_t random);
const struct gate_service *
gate_config_find_service(const struct gate_config *config, const char *name);
const struct gate_model *
gate_service_find_model(const struct gate_service *service, uint32_t model);

/* item_set.c */
bool item_set_add(struct item_set *items, uint32_t id);
bool item_set_contains(const struct item_set *items, uint32_t id);
bool item_set_remove(struct item_set *items, uint32_t id);
bool item_set_equal(const struct item_set *a, const struct item_set *b);
uint32_t item_model(uint32_t item);
bool item_is_adapter(uint32_t item);

/* contact.c */
void contact_add(struct store_contact *contact, int64_t since_ms,
                 int64_t heard_ms, int64_t silence_ms);
bool contact_covers(const struct store_contact *contact, int64_t from_ms,
                    int64_t to_ms, int64_t silence_ms);

/* registry.c */
void registry_init(struct registry *registry, struct registry_port *port,
                   int64_t heartbeat_ms);
void registry_clear(struct registry *registry);
void registry_store_down(struct registry *registry, int64_t now_ms);
void registry_note_others(struct registry *registry,
                          const struct store_contact *contact, int64_t now_ms);
void registry_store_up(struct registry *registry, int64_t now_ms);
void registry_restored(struct registry *registry, int64_t now_ms);
void registry_list_begin(struct registry *registry);
void registry_list_end(struct registry *registry, int64_t now_ms);
void registry_put(struct registry *registry, const struct target_info *info,
                  int64_t create_revision, int64_t now_ms);
void registry_reject(struct registry *registry, const char *id,
                     int64_t now_ms);
void registry_delete(struct registry *registry, const char *id,
                     int64_t now_ms);
void registry_settle(struct registry *registry, int64_t now_ms);
int64_t registry_drop_missing(struct registry *registry, int64_t now_ms);

#endif
