#ifndef OPERATOR_INTERNAL_H
#define OPERATOR_INTERNAL_H

struct http_server;

enum {
    OPERATOR_TOKEN_MAX_BYTES = 256,
    /* Room for 512 changes with the longest path, key and value. */
    OPERATOR_BODY_MAX_BYTES = 256 * 1024,
    HISTORY_LIMIT_DEFAULT = 100,
};

/**
 * struct operator_api - duty that serves operators over HTTP
 * @duty: first member
 * @settings: listen address, token file and instance name
 * @port: the rest of the instance
 * @token: the operators' token
 * @server: HTTP server
 * @lock: guards @stopping
 * @changed: signalled when @stopping changes
 * @stopping: the duty's stop() was called
 */
struct operator_api {
    struct duty duty;
    struct operator_api_settings settings;
    struct operator_api_port *port;
    char token[OPERATOR_TOKEN_MAX_BYTES];
    struct http_server *server;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool stopping;
};

/* token.c */
bool operator_token_read(const char *path,
                         char token[OPERATOR_TOKEN_MAX_BYTES],
                         struct err *err);
bool operator_token_matches(const char *token, const char *authorization);

/* handlers.c: returns a body freed with free(), or NULL with err set. */
char *operator_get_tree(struct operator_api_port *port, struct err *err);
char *operator_get_effective(struct operator_api_port *port, const char *node,
                             struct err *err);
char *operator_post_edit(struct operator_api_port *port, const char *text,
                         size_t bytes, struct err *err);
char *operator_get_history(struct operator_api_port *port, const char *after,
                           const char *limit, struct err *err);
char *operator_get_status(struct operator_api_port *port, const char *name,
                          struct err *err);
char *operator_get_counters(struct err *err);

/* endpoints.c */
bool operator_add_endpoints(struct _u_instance *instance,
                            struct operator_api *api);

#endif
