#ifndef STANDIN_FNS_H
#define STANDIN_FNS_H

/* role.c */
bool role_init(struct role *role, const struct role_ops *ops,
               const struct standin_options *options, struct err *err);
bool role_start(struct role *role, struct err *err);
void role_stop(struct role *role);
bool role_add_endpoint(struct role *role, const char *method, const char *path,
                       int (*handler)(const struct _u_request *request,
                                      struct _u_response *response,
                                      void *user_data));
void role_delay(struct role *role, int64_t delay_ms);
bool role_begin_request(struct role *role, const struct _u_request *request);
bool role_turn_away(struct role *role, struct _u_response *response);
int role_drop_response(struct _u_response *response);
int role_end_request(struct role *role, struct _u_response *response);
void reply_error(struct _u_response *response, unsigned status,
                 const char *error);

/* kv.c, engine.c, plain.c, list.c, store.c */
struct role *kv_role_new(const struct standin_options *options,
                         struct err *err);
struct role *engine_role_new(const struct standin_options *options,
                             struct err *err);
struct role *plain_role_new(const struct standin_options *options,
                            struct err *err);
struct role *list_role_new(const struct standin_options *options,
                           struct err *err);
struct role *store_role_new(const struct standin_options *options,
                            struct err *err);

/* chat.c */
bool engine_add_chat(struct engine_role *engine);

/* duty.c */
bool standin_init(struct standin *standin, struct role *role, struct err *err);

#endif
