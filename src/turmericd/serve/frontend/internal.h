#ifndef FRONTEND_INTERNAL_H
#define FRONTEND_INTERNAL_H

enum { OPEN_CALLS_MAX = 4096 };

/**
 * struct front - duty that serves callers over HTTP
 * @duty: first member
 * @calls: table of calls
 * @settings: limits
 * @port: the rest of the instance
 * @server: the HTTP server
 * @lock: guards the members below
 * @changed: broadcast when one of them changes
 * @stopping: stop() was called
 * @draining: callers are told to use other instances
 * @refusing_calls: new calls are refused
 * @open_calls: calls in progress
 * @open_call_count: how many
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
 * struct incoming - a caller's request as it came
 * @method: HTTP method
 * @url: path and query
 * @content_type: header field, NULL when missing
 * @idempotency_key: Idempotency-Key, NULL when missing
 * @deadline: X-Deadline-Ms, NULL when missing
 * @body: the body
 * @body_bytes: its length
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
 * struct moment - present time, for what the caller's key and deadline need
 * @monotonic_ms: monotonic
 * @wall_ms: since 1970
 */
struct clock_reading {
    int64_t monotonic_ms;
    int64_t wall_ms;
};

/* request.c: checks a request; allocates its body on success. */
bool request_parse_chat(const struct tree *tree,
                        const struct incoming_request *incoming,
                        const struct clock_reading *now,
                        struct call_request *request, struct err *err);
bool request_parse_plain(const struct tree *tree,
                         const struct incoming_request *incoming,
                         const struct clock_reading *now,
                         struct call_request *request, struct err *err);

/* list.c: JSON texts, freed with free(). */
char *list_models(const struct tree *tree);
char *list_addresses(const struct member_info *members, int count,
                     const char *data_centre, const char *excluded_address,
                     int64_t address_ttl_s);

/* problem.c */
int problem_retry_after_s(enum err_kind kind);

/* open.c: calls in progress, for the graceful stop. */
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
