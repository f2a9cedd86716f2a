#ifndef FRONTEND_INTERNAL_H
#define FRONTEND_INTERNAL_H

enum { OPEN_MAX = 4096 };

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
 * @leaving: callers are told to use other instances
 * @refusing: new calls are refused
 * @open: calls in progress
 * @open_count: how many
 */
struct front {
    struct duty duty;
    struct calls *calls;
    struct front_settings settings;
    struct front_port *port;
    struct http_server *server;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool stopping;
    bool leaving;
    bool refusing;
    struct handle *open;
    int open_count;
};

/**
 * struct incoming - a caller's request as it came
 * @method: HTTP method
 * @url: path and query
 * @content_type: header field, NULL when missing
 * @key: Idempotency-Key, NULL when missing
 * @deadline: X-Deadline-Ms, NULL when missing
 * @body: the body
 * @body_bytes: its length
 */
struct incoming {
    const char *method;
    const char *url;
    const char *content_type;
    const char *key;
    const char *deadline;
    const void *body;
    size_t body_bytes;
};

/**
 * struct moment - present time, for what the caller's key and deadline need
 * @now_ms: monotonic
 * @wall_ms: since 1970
 */
struct moment {
    int64_t now_ms;
    int64_t wall_ms;
};

/* request.c: checks a request; allocates its body on success. */
bool request_chat(const struct tree *tree, const struct incoming *incoming,
                  const struct moment *moment, struct call_request *request,
                  struct err *err);
bool request_plain(const struct tree *tree, const struct incoming *incoming,
                   const struct moment *moment, struct call_request *request,
                   struct err *err);

/* list.c: JSON texts, freed with free(). */
char *list_models(const struct tree *tree);
char *list_addresses(const struct member_info *members, int count,
                     const char *data_centre, const char *without,
                     int64_t keep_s);

/* problem.c */
int problem_retry_after_s(enum err_kind kind);

/* open.c: calls in progress, for the graceful stop. */
bool open_reserve(struct front *front, struct err *err);
void open_release(struct front *front);
void open_add(struct front *front, struct handle call);
void open_remove(struct front *front, struct handle call);
int open_drain(struct front *front, int64_t timeout_ms);

/* handler.c */
struct _u_instance;
bool handlers_add(struct _u_instance *instance, struct front *front);

#endif
