#ifndef OPERATOR_INTERNAL_H
#define OPERATOR_INTERNAL_H

struct http_server;

enum {
    TOKEN_MAX_BYTES = 256,
    /* 512 changes with the longest path, key and value fit. */
    DESK_BODY_MAX_BYTES = 256 * 1024,
    HISTORY_LIMIT = 100,
};

/**
 * struct desk - see dat.h
 * @duty: first member
 * @settings: address and name
 * @port: the rest of the instance
 * @token: the operators' token
 * @server: the HTTP server
 * @lock: guards @stopping
 * @changed: signalled when @stopping changes
 * @stopping: stop() was called
 */
struct desk {
    struct duty duty;
    struct desk_settings settings;
    struct desk_port *port;
    char token[TOKEN_MAX_BYTES];
    struct http_server *server;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool stopping;
};

/* token.c */
bool token_read(const char *path, char token[TOKEN_MAX_BYTES],
                struct err *err);
bool token_matches(const char *token, const char *authorization);

/* answer.c: texts freed with free(); NULL with an error. */
char *answer_tree(struct desk_port *port, struct err *err);
char *answer_effective(struct desk_port *port, const char *node,
                       struct err *err);
char *answer_edit(struct desk_port *port, const char *text, size_t bytes,
                  struct err *err);
char *answer_history(struct desk_port *port, const char *after,
                     const char *limit, struct err *err);
char *answer_status(struct desk_port *port, const char *name, struct err *err);
char *answer_counters(struct err *err);

/* endpoints.c */
bool endpoints_add(struct _u_instance *instance, struct desk *desk);

#endif
