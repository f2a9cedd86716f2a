#ifndef HTTP_DAT_H
#define HTTP_DAT_H

#include <netinet/in.h>

/**
 * struct http_server - an ulfius instance bound to one address
 * @instance: ulfius's part; endpoints are added to it before the start
 * @bind_address: ulfius keeps a pointer to it
 * @initialised: @instance must be cleaned
 * @running: the server accepts connections
 */
struct http_server {
    struct _u_instance instance;
    struct sockaddr_in bind_address;
    bool initialised;
    bool running;
};

#endif
