#ifndef TURMERICCTL_FNS_H
#define TURMERICCTL_FNS_H

/* client.c */
bool client_read_token(struct options *options, struct err *err);
void client_request(const struct options *options, const char *method,
                    const char *path, const char *body,
                    struct response *response);
struct json_object *client_get_json(const struct options *options,
                                    const char *path, enum exit_code *code);
char *client_get_text(const struct options *options, const char *path,
                      enum exit_code *code);
enum exit_code client_print_failure(const struct options *options,
                                    const struct response *response);
struct json_object *response_json(const struct response *response);
void response_free(struct response *response);

/* read.c */
enum exit_code command_get(struct options *options);
enum exit_code command_show(struct options *options);
enum exit_code command_history(struct options *options);
enum exit_code command_status(struct options *options);
enum exit_code command_counters(struct options *options);

/* change.c */
enum exit_code command_set(struct options *options);
enum exit_code command_unset(struct options *options);
enum exit_code command_apply(struct options *options);

/* why.c */
enum exit_code command_why(struct options *options);

/* route.c */
enum exit_code command_route(struct options *options);

/* wait.c */
void wait_block_signals(void);
bool wait_for_signal(int64_t duration_ms);
enum exit_code wait_until_in_force(const struct options *options,
                                   int64_t revision,
                                   struct json_object *result);

/* print.c */
void text_table_init(struct text_table *table, int columns, ...);
void text_table_add_row(struct text_table *table, ...);
void text_table_print(struct text_table *table);
const char *json_member_text(struct json_object *json, const char *name);
int64_t json_member_number(struct json_object *json, const char *name);
void print_json(struct json_object *json);

#endif
