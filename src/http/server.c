/**
 * DOC: HTTP server on one address, by ulfius.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

enum {
    LISTEN_BACKLOG = 1024,
    /* Handlers keep what is large on the heap; the default of 8 MiB for each
     * of thousands of threads would exhaust the address space of a small
     * instance. */
    THREAD_STACK_BYTES = 512 * 1024,
    /* Without MHD_USE_POLL the server waits with select(), which fails for
     * descriptors above 1023. */
    DAEMON_FLAGS = MHD_USE_THREAD_PER_CONNECTION |
                   MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
};

/**
 * address_parse() - read "IP:PORT"
 * @address: the text
 * @socket_address: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS when it is no IPv4 address with a port.
 */
bool
address_parse(const char *address, struct sockaddr_in *socket_address,
              struct err *err)
{
    char ip[ADDRESS_MAX_BYTES];
    const char *colon = strrchr(address, ':');
    char *end;
    long port;

    if (colon == NULL || (size_t)(colon - address) >= sizeof(ip)) {
        return err_set(err, ERR_SETTINGS, "address \"%s\" is not IP:PORT",
                       address);
    }
    memcpy(ip, address, (size_t)(colon - address));
    ip[colon - address] = '\0';
    port = strtol(colon + 1, &end, 10);
    memset(socket_address, 0, sizeof(*socket_address));
    socket_address->sin_family = AF_INET;
    if (*end != '\0' || end == colon + 1 || port < 0 || port > 65535 ||
        inet_pton(AF_INET, ip, &socket_address->sin_addr) != 1) {
        return err_set(err, ERR_SETTINGS, "address \"%s\" is not IP:PORT",
                       address);
    }
    socket_address->sin_port = htons((uint16_t)port);
    return true;
}

static void
close_socket(struct http_server *server)
{
    if (server->listen_fd >= 0) {
        close(server->listen_fd);
        server->listen_fd = -1;
    }
}

/* Opens the listening socket and notes the port that the kernel chose. */
static bool
open_socket(struct http_server *server, struct err *err)
{
    struct sockaddr *address = (struct sockaddr *)&server->address;
    socklen_t bytes = sizeof(server->address);
    int one = 1;

    server->listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (server->listen_fd < 0) {
        return err_set(err, ERR_IO, "socket: %s", strerror(errno));
    }
    setsockopt(server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(server->listen_fd, address, bytes) != 0 ||
        listen(server->listen_fd, LISTEN_BACKLOG) != 0 ||
        getsockname(server->listen_fd, address, &bytes) != 0) {
        err_set(err, ERR_IO, "listen on port %d: %s",
                ntohs(server->address.sin_port), strerror(errno));
        close_socket(server);
        return false;
    }
    return true;
}

/**
 * http_server_new() - prepare a server and bind its address
 * @address: "IP:PORT"; port 0 lets the kernel choose
 * @limits: limits of its connections and bodies, copied
 * @err: filled in on failure
 *
 * Connections wait until http_server_start() is called.
 *
 * Return: NULL with ERR_SETTINGS when the address is wrong, with ERR_IO when
 * it can't be used.
 */
struct http_server *
http_server_new(const char *address, const struct http_limits *limits,
                struct err *err)
{
    struct http_server *server = calloc(1, sizeof(*server));

    if (server == NULL) {
        err_set(err, ERR_NO_MEMORY, "HTTP server");
        return NULL;
    }
    server->limits = *limits;
    if (!address_parse(address, &server->address, err) ||
        !open_socket(server, err)) {
        free(server);
        return NULL;
    }
    if (ulfius_init_instance(&server->instance,
                             (unsigned)http_server_port(server), NULL,
                             NULL) != U_OK) {
        err_set(err, ERR_IO, "cannot set up the server on %s", address);
        close_socket(server);
        free(server);
        return NULL;
    }
    /* One byte more tells a body that is too large from one that fits. */
    server->instance.max_post_body_size = limits->body_max_bytes + 1;
    server->instance.allowed_post_processor = U_POST_PROCESS_NONE;
    server->instance.check_utf8 = !limits->any_bytes;
    return server;
}

static bool
start_daemon(struct http_server *server, struct err *err)
{
    int fd = dup(server->listen_fd);
    struct MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)mhd_request_completed, NULL},
        {MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)ulfius_uri_logger, NULL},
        {MHD_OPTION_LISTEN_SOCKET, fd, NULL},
        {MHD_OPTION_THREAD_STACK_SIZE, THREAD_STACK_BYTES, NULL},
        {MHD_OPTION_CONNECTION_LIMIT, server->limits.connections_max, NULL},
        {MHD_OPTION_CONNECTION_TIMEOUT, server->limits.idle_s, NULL},
        {MHD_OPTION_END, 0, NULL},
    };

    if (fd < 0) {
        return err_set(err, ERR_IO, "dup: %s", strerror(errno));
    }
    if (ulfius_start_framework_with_mhd_options(
            &server->instance, DAEMON_FLAGS, options) != U_OK) {
        close(fd);
        return err_set(err, ERR_IO, "cannot start the server on port %d",
                       http_server_port(server));
    }
    return true;
}

/**
 * http_server_start() - accept connections
 * @server: the server; its handlers are added to its instance before
 * @err: filled in on failure
 *
 * A server that was stopped listens at the same port again.
 *
 * Return: false with ERR_IO, usually because the address is in use.
 */
bool
http_server_start(struct http_server *server, struct err *err)
{
    if (server->running) {
        return true;
    }
    if (server->listen_fd < 0 && !open_socket(server, err)) {
        return false;
    }
    server->running = start_daemon(server, err);
    return server->running;
}

/**
 * http_server_stop() - close the listening socket and all connections
 * @server: the server
 */
void
http_server_stop(struct http_server *server)
{
    if (server->running) {
        ulfius_stop_framework(&server->instance);
        server->running = false;
    }
    /* Otherwise new connections would wait in the backlog for ever. */
    close_socket(server);
}

/**
 * http_server_free() - stop and release a server
 * @server: the server; may be NULL
 */
void
http_server_free(struct http_server *server)
{
    if (server == NULL) {
        return;
    }
    http_server_stop(server);
    ulfius_clean_instance(&server->instance);
    free(server);
}

/**
 * http_server_port() - port that the server listens on
 * @server: the server
 */
int
http_server_port(const struct http_server *server)
{
    return ntohs(server->address.sin_port);
}

/**
 * http_reply_json() - answer with a JSON value
 * @response: ulfius's response
 * @status: HTTP status
 * @body: the value; its reference is taken over
 */
void
http_reply_json(struct _u_response *response, unsigned status,
                struct json_object *body)
{
    const char *text =
        json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

    ulfius_set_string_body_response(response, status, text);
    u_map_put(response->map_header, "Content-Type", "application/json");
    json_object_put(body);
}

/**
 * http_body_json() - body of a request as JSON object
 * @request: ulfius's request
 * @err: filled in on failure
 *
 * Return: an object that the caller puts, or NULL with ERR_BAD_JSON.
 */
struct json_object *
http_body_json(const struct _u_request *request, struct err *err)
{
    struct json_object *object;

    if (request->binary_body_length == 0) {
        err_set(err, ERR_BAD_JSON, "the body is empty");
        return NULL;
    }
    object =
        json_parse(request->binary_body, request->binary_body_length, err);
    if (object != NULL && !json_object_is_type(object, json_type_object)) {
        err_set(err, ERR_BAD_JSON, "the body is no JSON object");
        json_object_put(object);
        return NULL;
    }
    return object;
}
