#ifndef TURMERICCTL_FNS_H
#define TURMERICCTL_FNS_H

/* client.c */
bool client_read_token(struct ctl *ctl, struct err *err);
void client_call(const struct ctl *ctl, const char *method, const char *path,
                 const char *body, struct reply *reply);
struct json_object *client_get(const struct ctl *ctl, const char *path,
                               enum exit_code *code);
char *client_get_text(const struct ctl *ctl, const char *path,
                      enum exit_code *code);
enum exit_code client_report(const struct ctl *ctl, const struct reply *reply);
struct json_object *reply_json(const struct reply *reply);
void reply_free(struct reply *reply);

/* read.c */
enum exit_code command_get(struct ctl *ctl);
enum exit_code command_show(struct ctl *ctl);
enum exit_code command_history(struct ctl *ctl);
enum exit_code command_status(struct ctl *ctl);
enum exit_code command_counters(struct ctl *ctl);

/* change.c */
enum exit_code command_set(struct ctl *ctl);
enum exit_code command_unset(struct ctl *ctl);
enum exit_code command_apply(struct ctl *ctl);

/* why.c */
enum exit_code command_why(struct ctl *ctl);

/* wait.c */
void wait_init(void);
bool wait_ms(int64_t duration_ms);
enum exit_code wait_in_force(const struct ctl *ctl, int64_t revision,
                             struct json_object *result);

/* print.c */
void rows_init(struct rows *rows, int columns, ...);
void rows_add(struct rows *rows, ...);
void rows_print(struct rows *rows);
const char *member_text(struct json_object *json, const char *name);
int64_t member_number(struct json_object *json, const char *name);
void print_json(struct json_object *json);

#endif
