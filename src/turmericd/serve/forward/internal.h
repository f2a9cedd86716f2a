#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

enum {
    BUFFERED_ANSWER_MAX_BYTES = 8 * 1024 * 1024,
    SSE_EVENT_MAX_BYTES = 1024 * 1024,
};

/**
 * struct sse - splits a byte stream into complete server-sent events
 * @buffer: bytes that are not yet taken
 * @consumed: bytes of @buffer that the last event covered
 */
struct sse_parser {
    GString *buffer;
    size_t consumed;
};

/**
 * struct sse_event - one complete event
 * @raw: the event as received, with its blank line; valid until the next call
 * @raw_bytes: its length
 * @data: content of its data lines; empty when it has none
 * @done: the event that ends a whole answer
 */
struct sse_event {
    const char *raw;
    size_t raw_bytes;
    char *data;
    bool done;
};

/**
 * enum answer_mode - what happens to the body of an answer
 * @ANSWER_BUFFER: kept until it is whole
 * @ANSWER_EVENTS: complete events are passed on
 * @ANSWER_PASS_THROUGH: too large to keep, passed on as it comes
 */
enum answer_mode { ANSWER_BUFFER, ANSWER_EVENTS, ANSWER_PASS_THROUGH };

/**
 * struct answer - an answer on its way from a target to a call
 * @calls: table of calls
 * @call: the call
 * @stream: the caller asked for events
 * @keep_text: the text is kept so that another engine can go on
 * @resumed: the answer goes on where an earlier attempt broke off
 * @resumed_elsewhere: another engine goes on, which starts a stream of its own
 * @head_known: status and content type are filled in
 * @status: HTTP status of the target
 * @content_type: content type of the target's answer
 * @not_run: the target said in a header that it did not run the request
 * @mode: what happens to the body
 * @buffered: body so far in mode ANSWER_BUFFER
 * @parser: splitter in mode ANSWER_EVENTS
 * @event_count: events passed on, counted from where this attempt started
 * @started: the call's answer has begun
 * @complete: the event that ends the answer has been passed on
 * @caller_gone: the caller closed its connection
 */
struct answer {
    struct calls *calls;
    struct handle call;
    bool stream;
    bool keep_text;
    bool resumed;
    bool resumed_elsewhere;
    bool head_known;
    int status;
    char content_type[CALL_CONTENT_TYPE_MAX_BYTES];
    bool not_run;
    enum answer_mode mode;
    GString *buffered;
    struct sse_parser parser;
    uint32_t event_count;
    bool started;
    bool complete;
    bool caller_gone;
};

/**
 * enum transfer_end - how a transfer with a target ended
 */
enum transfer_end {
    TRANSFER_COMPLETE,
    TRANSFER_NOT_CONNECTED,
    TRANSFER_BROKEN,
    TRANSFER_NO_FIRST_BYTE,
    TRANSFER_STOPPED,
};

/* sse.c */
void sse_parser_init(struct sse_parser *parser);
void sse_parser_clear(struct sse_parser *parser);
bool sse_parser_feed(struct sse_parser *parser, const char *data,
                     size_t bytes);
bool sse_parser_next(struct sse_parser *parser, struct sse_event *event);

/* body.c */
char *body_build_for_engine(const struct call_request *request,
                            const char *generated_text, size_t *bytes);
bool body_parse_delta(const char *data, bool *text_only, char **text);
bool body_has_member(const char *body, size_t bytes, const char *key,
                     const char *value);

/* answer.c */
void answer_init(struct answer *answer, struct calls *calls,
                 const struct attempt *attempt,
                 const struct call_request *request);
void answer_clear(struct answer *answer);
void answer_set_head(struct answer *answer, int status,
                     const char *content_type);
bool answer_receive(struct answer *answer, const char *data, size_t bytes);
void answer_end(struct answer *answer, enum transfer_end end,
                struct attempt_result *result);

/* transfer.c */
enum transfer_end transfer_run(CURLM *multi, const struct attempt *attempt,
                               const struct call_request *request,
                               const char *generated_text,
                               struct answer *answer, int64_t idle_timeout_ms,
                               atomic_bool *stopping, char *detail,
                               size_t detail_bytes);
void transfer_cancel(const struct attempt *attempt);

struct forward;

/* forward.c: for tests; before the duty runs. */
void forward_set_idle_timeout_ms(struct forward *forward,
                                 int64_t idle_timeout_ms);

#endif
