#ifndef HTTP_DAT_H
#define HTTP_DAT_H

#include <netinet/in.h>

/**
 * struct http_limits - limits of a server
 * @body_max_bytes: larger bodies reach the handlers cut off one byte above
 *                  this limit, so that a handler can tell
 * @connections_max: connections that are open at the same time
 * @idle_timeout_s: ends connections on which nothing passes; 0 for never
 * @allow_non_utf8: pass on headers and parameters that are no UTF-8
 */
struct http_limits {
    size_t body_max_bytes;
    int connections_max;
    int idle_timeout_s;
    bool allow_non_utf8;
};

/**
 * struct http_server - an ulfius instance bound to one address
 * @instance: ulfius's part; endpoints are added to it before the start
 * @limits: limits of connections and bodies
 * @address: where it listens, with the port that the kernel chose
 * @listen_fd: listening socket; -1 while stopped
 * @running: the server accepts connections
 */
struct http_server {
    struct _u_instance instance;
    struct http_limits limits;
    struct sockaddr_in address;
    int listen_fd;
    bool running;
};

/**
 * struct http_response - answer to a call
 * @status: HTTP status
 * @text: the body, with a NUL byte after it
 * @bytes: length of @text
 */
struct http_response {
    int status;
    char *text;
    size_t bytes;
};

#endif
