/**
 * DOC: HTTP server on one address, by ulfius.
 */
#include <arpa/inet.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

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

/**
 * http_server_init() - prepare a server
 * @server: the server
 * @address: "IP:PORT"
 * @body_max_bytes: larger bodies reach the handlers cut off one byte above
 *                  this limit, so that a handler can tell
 * @err: filled in on failure
 */
bool
http_server_init(struct http_server *server, const char *address,
                 size_t body_max_bytes, struct err *err)
{
    memset(server, 0, sizeof(*server));
    if (!address_parse(address, &server->bind_address, err)) {
        return false;
    }
    if (ulfius_init_instance(&server->instance,
                             ntohs(server->bind_address.sin_port),
                             &server->bind_address, NULL) != U_OK) {
        return err_set(err, ERR_SETTINGS, "cannot use address \"%s\"",
                       address);
    }
    server->initialised = true;
    server->instance.max_post_body_size = body_max_bytes + 1;
    return true;
}

/**
 * http_server_start() - accept connections
 * @server: the server
 * @err: filled in on failure
 *
 * Return: false with ERR_IO, usually because the address is in use.
 */
bool
http_server_start(struct http_server *server, struct err *err)
{
    if (server->running) {
        return true;
    }
    if (ulfius_start_framework(&server->instance) != U_OK) {
        return err_set(err, ERR_IO, "cannot listen on port %u",
                       server->instance.port);
    }
    server->running = true;
    return true;
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
}

/**
 * http_server_free() - release a stopped server
 * @server: the server
 */
void
http_server_free(struct http_server *server)
{
    http_server_stop(server);
    if (server->initialised) {
        ulfius_clean_instance(&server->instance);
        server->initialised = false;
    }
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
