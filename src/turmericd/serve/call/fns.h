#ifndef CALL_FNS_H
#define CALL_FNS_H

struct calls *calls_new(uint32_t capacity, struct err *err);
void calls_free(struct calls *calls);
/* Limits how long call_write() waits for a caller that doesn't read. */
void calls_set_write_timeout_ms(struct calls *calls, int64_t write_timeout_ms);
uint32_t calls_count(struct calls *calls);

/* Caller's side (frontend). Takes ownership of request->body on success. */
bool call_open(struct calls *calls, const struct call_request *request,
               struct handle *call, struct err *err);
enum call_phase call_wait_answer(struct calls *calls, struct handle call,
                                 struct call_answer_head *head,
                                 struct err *err);
/* Error of a call that was refused or cut off; false when it was neither. */
bool call_get_failure(struct calls *calls, struct handle call, struct err *err,
                      enum outcome *outcome);
/* Blocks for output; 0 at the end of a complete answer, -1 when cut off. */
ssize_t call_read(struct calls *calls, struct handle call, char *buffer,
                  size_t bytes);
/* Frees the slot; later use of the handle is rejected as stale. */
void call_close(struct calls *calls, struct handle call);

/* Serving side (route, forward). */
bool call_copy_request(struct calls *calls, struct handle call,
                       struct call_request *request, struct err *err);
bool call_copy_request_meta(struct calls *calls, struct handle call,
                            struct call_request *request);
void call_request_free(struct call_request *request);
bool call_start_answer(struct calls *calls, struct handle call,
                       const struct call_answer_head *head);
/* Blocks while the output buffer is full and the call is open. */
bool call_write(struct calls *calls, struct handle call, const void *data,
                size_t bytes);
bool call_end_answer(struct calls *calls, struct handle call, bool complete);
/* Refuses a call. An answer that has started is cut off instead; a stream then
 * ends with an error event. */
bool call_fail(struct calls *calls, struct handle call, const struct err *err,
               enum outcome outcome);
/* Text of a streamed answer, from which another engine can continue. */
void call_append_text(struct calls *calls, struct handle call,
                      const char *text, size_t bytes);
bool call_text_is_complete(struct calls *calls, struct handle call);
char *call_copy_text(struct calls *calls, struct handle call);

#endif
