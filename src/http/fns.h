#ifndef HTTP_FNS_H
#define HTTP_FNS_H

/* server.c */
bool address_parse(const char *address, struct sockaddr_in *socket_address,
                   struct err *err);
struct http_server *http_server_new(const char *address,
                                    const struct http_limits *limits,
                                    struct err *err);
bool http_server_start(struct http_server *server, struct err *err);
void http_server_stop(struct http_server *server);
void http_server_free(struct http_server *server);
int http_server_port(const struct http_server *server);
void http_reply_json(struct _u_response *response, unsigned status,
                     struct json_object *body);
struct json_object *http_body_json(const struct _u_request *request,
                                   struct err *err);

/* json.c */
struct json_object *json_parse(const char *text, size_t bytes,
                               struct err *err);
char *json_prune(const char *text, size_t bytes, size_t depth_max,
                 size_t *pruned_bytes);
struct json_object *json_parse_pruned(const char *text, size_t bytes,
                                      struct err *err);
struct json_object *json_get_member(struct json_object *object,
                                    const char *key);
const char *json_get_string(struct json_object *object, const char *key,
                            const char *fallback);
int64_t json_get_int64(struct json_object *object, const char *key,
                       int64_t fallback);
double json_get_double(struct json_object *object, const char *key,
                       double fallback);
bool json_get_bool(struct json_object *object, const char *key, bool fallback);

/* rule.c */
extern const struct json_rule_ops json_rule_integer;
extern const struct json_rule_ops json_rule_count;
extern const struct json_rule_ops json_rule_number;
extern const struct json_rule_ops json_rule_boolean;
extern const struct json_rule_ops json_rule_text;
extern const struct json_rule_ops json_rule_string;
extern const struct json_rule_ops json_rule_address;
bool json_rules_read(struct json_object *object,
                     const struct json_place *place,
                     const struct json_rule *rules, size_t count, void *out,
                     struct json_faults *faults);
bool json_read_number(struct json_object *member, double *number,
                      struct err *err);
void json_fault(struct json_faults *faults, const struct json_place *place,
                const char *key, const char *reason);
void json_faults_clear(struct json_faults *faults);

/* head.c */
const char *http_field_value(const char *line, size_t bytes, const char *name,
                             size_t *value_bytes);
bool http_status_is_valid(int status);
bool http_starts_head(const char *line, size_t bytes);
bool http_head_add(struct http_head *head, const char *line, size_t bytes);
bool http_head_check_end(struct http_head *head);
size_t http_head_receive(char *line, size_t size, size_t count, void *data);

/* client.c */
bool http_call_text(const char *method, const char *url,
                    const char *const headers[][2], const char *body,
                    int timeout_s, struct http_response *response,
                    struct err *err);
bool http_call(const char *method, const char *url,
               const char *const headers[][2], const char *body, int timeout_s,
               int *status, struct json_object **json, struct err *err);

#endif
