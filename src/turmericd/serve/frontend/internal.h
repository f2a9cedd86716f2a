#ifndef FRONTEND_INTERNAL_H
#define FRONTEND_INTERNAL_H

enum { OPEN_CALLS_MAX = 4096 };

/**
 * struct frontend - duty that serves callers over HTTP
 * @duty: first member
 * @calls: table of calls
 * @settings: listen address and limits
 * @port: the rest of the instance
 * @server: HTTP server
 * @lock: guards the members below
 * @changed: broadcast when one of them changes
 * @stopping: the duty's stop() was called
 * @draining: address lists leave this instance out and /healthz fails;
 *            calls are accepted until @refusing_calls
 * @refusing_calls: new calls are refused
 * @open_calls: calls in progress; {0} for a reserved entry without a call
 * @open_call_count: entries in use in @open_calls
 */
struct frontend {
    struct duty duty;
    struct calls *calls;
    struct frontend_settings settings;
    struct frontend_port *port;
    struct http_server *server;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool stopping;
    bool draining;
    bool refusing_calls;
    struct handle *open_calls;
    int open_call_count;
};

/**
 * struct incoming_request - a caller's request before it is checked
 * @method: HTTP method
 * @url: path and query string
 * @content_type: Content-Type, NULL when missing
 * @idempotency_key: Idempotency-Key, NULL when missing
 * @deadline: X-Deadline-Ms, NULL when missing
 * @body: request body; may contain NUL bytes
 * @body_bytes: length of @body
 */
struct incoming_request {
    const char *method;
    const char *url;
    const char *content_type;
    const char *idempotency_key;
    const char *deadline;
    const void *body;
    size_t body_bytes;
};

/**
 * struct clock_reading - current time on both clocks
 * @monotonic_ms: monotonic clock, for deadlines
 * @wall_ms: milliseconds since 1970, for the age of idempotency keys
 */
struct clock_reading {
    int64_t monotonic_ms;
    int64_t wall_ms;
};

/* request.c: checks a request; on success request->body is allocated. */
bool request_parse_chat(const struct tree *tree,
                        const struct incoming_request *incoming,
                        const struct clock_reading *now,
                        struct call_request *request, struct err *err);
bool request_parse_plain(const struct tree *tree,
                         const struct incoming_request *incoming,
                         const struct clock_reading *now,
                         struct call_request *request, struct err *err);

/* list.c: returns JSON text, freed by the caller with free(). */
char *list_models(const struct tree *tree);
char *list_addresses(const struct member_info *members, int count,
                     const char *data_centre, const char *excluded_address,
                     int64_t address_ttl_s);

/* problem.c */
int problem_retry_after_s(const struct err *err);

/* open_calls.c: tracks calls in progress for the graceful stop. */
bool open_calls_reserve(struct frontend *frontend, struct err *err);
void open_calls_release(struct frontend *frontend);
void open_calls_add(struct frontend *frontend, struct handle call);
void open_calls_remove(struct frontend *frontend, struct handle call);
int open_calls_drain(struct frontend *frontend, int64_t timeout_ms);

/* handler.c */
struct _u_instance;
bool frontend_add_endpoints(struct _u_instance *instance,
                            struct frontend *frontend);

#endif
