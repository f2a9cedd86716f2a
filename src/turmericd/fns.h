#ifndef TURMERICD_FNS_H
#define TURMERICD_FNS_H

/* settings.c */
bool settings_read(const char *file, struct settings *settings,
                   struct err *err);
bool settings_parse(const char *file, const char *text, size_t bytes,
                    struct settings *settings, struct err *err);
char *settings_format(const struct settings *settings);

/* root.c */
bool root_init(struct root *root, const struct settings *settings,
               struct err *err);
void root_free(struct root *root);

/* stateports.c, fleetports.c, serveports.c */
void root_init_state_ports(struct root *root);
void root_init_fleet_ports(struct root *root);
void root_init_serve_ports(struct root *root);
bool root_send(struct root *root, uint64_t member,
               Turmeric__Envelope *envelope);
void root_broadcast(struct root *root, const char *data_centre,
                    Turmeric__Envelope *envelope);

/* dispatch.c */
void root_dispatch(struct root *root, Turmeric__Envelope *envelope);

/* listing.c */
void root_record_listing(struct root *root, uint64_t instance_id,
                         int64_t now_ms);
bool root_instance_gone(struct root *root, uint64_t instance_id);

#endif
