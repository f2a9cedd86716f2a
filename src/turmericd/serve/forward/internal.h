#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

enum {
    BUFFERED_ANSWER_MAX_BYTES = 8 * 1024 * 1024,
    SSE_EVENT_MAX_BYTES = 1024 * 1024,
    /* Longest Retry-After of a target that is followed: a longer one would
     * keep a sound target unused long after an operator has corrected it. */
    RETRY_AFTER_MAX_MS = 600000,
};

/**
 * struct sse_parser - splits a byte stream into complete server-sent events
 * @buffer: received bytes; the next sse_parser_feed() erases consumed ones
 * @consumed: bytes at the start of @buffer that were returned as events
 */
struct sse_parser {
    GString *buffer;
    size_t consumed;
};

/**
 * struct sse_event - one complete event
 * @raw: the event as received, with its blank line; valid until the next
 *       sse_parser_feed()
 * @raw_bytes: length of @raw
 * @data: contents of its data lines; empty when it has none
 * @done: the [DONE] event, which ends a complete answer
 */
struct sse_event {
    const char *raw;
    size_t raw_bytes;
    char *data;
    bool done;
};

/**
 * enum answer_mode - how the body of an answer is forwarded
 * @ANSWER_BUFFER: buffered until it is complete
 * @ANSWER_EVENTS: forwarded in complete events
 * @ANSWER_PASS_THROUGH: larger than BUFFERED_ANSWER_MAX_BYTES, forwarded as it
 *                       is received
 */
enum answer_mode { ANSWER_BUFFER, ANSWER_EVENTS, ANSWER_PASS_THROUGH };

/**
 * enum answer_outcome - what X-Outcome says of the request
 * @ANSWER_OUTCOME_NONE: no such field
 * @ANSWER_OUTCOME_NOT_RUN: the target did not run it
 * @ANSWER_OUTCOME_OTHER: any other value, or values that differ
 */
enum answer_outcome {
    ANSWER_OUTCOME_NONE,
    ANSWER_OUTCOME_NOT_RUN,
    ANSWER_OUTCOME_OTHER,
};

/**
 * enum retry_after - what Retry-After says
 * @RETRY_AFTER_NONE: no such field
 * @RETRY_AFTER_VALID: a time in seconds
 * @RETRY_AFTER_INVALID: anything else, a time beyond RETRY_AFTER_MAX_MS, or
 *                       times that differ
 */
enum retry_after {
    RETRY_AFTER_NONE,
    RETRY_AFTER_VALID,
    RETRY_AFTER_INVALID,
};

/**
 * struct answer - HTTP response of a target, forwarded to a call
 * @calls: table of calls
 * @call: handle of the call
 * @stream: the caller requested server-sent events
 * @keep_text: the text is stored, so that another engine can continue
 * @resumed: the answer continues the one of an earlier attempt
 * @resumed_other_engine: another engine continues, in a stream with its own
 *                        role event
 * @restarted: the engine was to resume its stream and sent the role event,
 *             with which a stream starts
 * @head_known: @status and @content_type are set
 * @status: HTTP status from the target
 * @content_type: content type from the target; empty when it sent none
 * @outcome: what the head says of the request
 * @leaving: the head says that the target leaves
 * @retry_after: kind of the head's Retry-After
 * @retry_after_ms: its time, when it is valid
 * @mode: how the body is forwarded
 * @buffered: body received so far in mode ANSWER_BUFFER
 * @parser: parser of the body in mode ANSWER_EVENTS
 * @event_count: events with data that this attempt has forwarded, or left out
 *               because the caller already has a role event
 * @started: the caller's answer has started
 * @complete: the [DONE] event has been forwarded
 * @caller_gone: the call no longer accepts output
 */
struct answer {
    struct calls *calls;
    struct handle call;
    bool stream;
    bool keep_text;
    bool resumed;
    bool resumed_other_engine;
    bool restarted;
    bool head_known;
    int status;
    char content_type[CALL_CONTENT_TYPE_MAX_BYTES];
    enum answer_outcome outcome;
    bool leaving;
    enum retry_after retry_after;
    int64_t retry_after_ms;
    enum answer_mode mode;
    GString *buffered;
    struct sse_parser parser;
    uint32_t event_count;
    bool started;
    bool complete;
    bool caller_gone;
};

/**
 * enum transfer_end - how an HTTP exchange with a target ended
 * @TRANSFER_COMPLETE: the complete answer was received
 * @TRANSFER_NOT_CONNECTED: no connection, so nothing was sent
 * @TRANSFER_BROKEN: failed after the connection was made
 * @TRANSFER_SILENT: no further byte of the body for too long
 * @TRANSFER_NO_FIRST_BYTE: connected, but no byte of the body by the deadline
 * @TRANSFER_STOPPED: ended because the duty stops
 */
enum transfer_end {
    TRANSFER_COMPLETE,
    TRANSFER_NOT_CONNECTED,
    TRANSFER_BROKEN,
    TRANSFER_SILENT,
    TRANSFER_NO_FIRST_BYTE,
    TRANSFER_STOPPED,
};

/**
 * struct silence - what decides how long a target may be silent
 * @has_first_byte: the first byte of the body has been received
 * @is_last: no other target can continue the answer
 * @last_data_ms: monotonic time of the last part of the body
 * @idle_timeout_ms: longest pause between two parts of the body
 * @deadline_ms: monotonic; deadline of the attempt
 */
struct silence {
    bool has_first_byte;
    bool is_last;
    int64_t last_data_ms;
    int64_t idle_timeout_ms;
    int64_t deadline_ms;
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
void forward_answer_init(struct answer *answer, struct calls *calls,
                         const struct attempt *attempt,
                         const struct call_request *request);
void forward_answer_clear(struct answer *answer);
void answer_set_head(struct answer *answer, int status,
                     const char *content_type);
void answer_reset_fields(struct answer *answer);
void answer_add_field(struct answer *answer, const char *line, size_t bytes);
bool answer_get_notice(const struct answer *answer, int status,
                       struct target_notice *notice);
bool retry_after_parse(const char *value, size_t bytes, int64_t *wait_ms);
bool answer_receive(struct answer *answer, const char *data, size_t bytes);
void forward_answer_end(struct answer *answer, enum transfer_end end,
                        struct attempt_result *result);

/* transfer.c */
struct forward_port;

enum transfer_end transfer_run(CURLM *multi, const struct attempt *attempt,
                               const struct call_request *request,
                               const char *generated_text,
                               struct answer *answer,
                               struct forward_port *port,
                               int64_t idle_timeout_ms, atomic_bool *stopping,
                               char *detail, size_t detail_bytes);
void transfer_cancel(const struct attempt *attempt);
int64_t silence_ends_ms(const struct silence *silence);

struct forward;

/* forward.c: for tests; call it before the duty runs. */
void forward_set_idle_timeout_ms(struct forward *forward,
                                 int64_t idle_timeout_ms);

#endif
