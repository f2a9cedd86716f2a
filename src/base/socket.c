/**
 * DOC: TCP sockets.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"

enum {
    LISTEN_BACKLOG = 512,
    /* Detects a peer that disappeared without closing: on an idle connection
     * after 10 s + 3 * 3 s, with unacknowledged data after 10 s. */
    KEEPALIVE_IDLE_S = 10,
    KEEPALIVE_INTERVAL_S = 3,
    KEEPALIVE_PROBES = 3,
    UNACKNOWLEDGED_MAX_MS = 10000,
    PORT_MAX = 65535,
};

static bool
parse_port(const char *text, in_port_t *port)
{
    unsigned int value = 0;

    if (*text == '\0') {
        return false;
    }
    for (; *text != '\0'; text++) {
        if (*text < '0' || *text > '9') {
            return false;
        }
        value = value * 10 + (unsigned int)(*text - '0');
        if (value > PORT_MAX) {
            return false;
        }
    }
    *port = htons((in_port_t)value);
    return true;
}

static bool
parse_ipv4(const char *host, const char *port,
           struct sockaddr_storage *address, socklen_t *bytes)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)address;

    v4->sin_family = AF_INET;
    *bytes = sizeof(*v4);
    return inet_pton(AF_INET, host, &v4->sin_addr) == 1 &&
           parse_port(port, &v4->sin_port);
}

static bool
parse_ipv6(char *host, const char *port, struct sockaddr_storage *address,
           socklen_t *bytes)
{
    struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;
    size_t length = strlen(host);

    if (length < 2 || host[length - 1] != ']') {
        return false;
    }
    host[length - 1] = '\0';
    v6->sin6_family = AF_INET6;
    *bytes = sizeof(*v6);
    return inet_pton(AF_INET6, host + 1, &v6->sin6_addr) == 1 &&
           parse_port(port, &v6->sin6_port);
}

/**
 * socket_parse_address() - parse "IPv4:port" or "[IPv6]:port"
 * @text: numeric address; host names are not resolved
 * @address: set to the address
 * @address_bytes: set to its length
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS when @text is no such address.
 */
bool
socket_parse_address(const char *text, struct sockaddr_storage *address,
                     socklen_t *address_bytes, struct err *err)
{
    char host[ADDRESS_MAX_BYTES];
    char *colon;
    bool parsed = false;

    memset(address, 0, sizeof(*address));
    snprintf(host, sizeof(host), "%s", text);
    colon = strrchr(host, ':');
    if (colon != NULL) {
        *colon = '\0';
        parsed = host[0] == '['
                     ? parse_ipv6(host, colon + 1, address, address_bytes)
                     : parse_ipv4(host, colon + 1, address, address_bytes);
    }
    return parsed ||
           err_set(err, ERR_SETTINGS,
                   "\"%.80s\" is not an IP address with a port", text);
}

static int
port_of(const struct sockaddr_storage *address)
{
    return address->ss_family == AF_INET6
               ? ntohs(((const struct sockaddr_in6 *)address)->sin6_port)
               : ntohs(((const struct sockaddr_in *)address)->sin_port);
}

/**
 * socket_check_address() - check that an address can be connected to
 * @text: as for socket_parse_address(), with a port other than 0
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS when @text is no such address.
 */
bool
socket_check_address(const char *text, struct err *err)
{
    struct sockaddr_storage address;
    socklen_t bytes;

    if (!socket_parse_address(text, &address, &bytes, err)) {
        return false;
    }
    return port_of(&address) != 0 ||
           err_set(err, ERR_SETTINGS, "\"%.80s\" has port 0", text);
}

static int
bound_port(int fd)
{
    struct sockaddr_storage address;
    socklen_t bytes = sizeof(address);

    if (getsockname(fd, (struct sockaddr *)&address, &bytes) != 0) {
        return 0;
    }
    return port_of(&address);
}

/**
 * socket_listen() - open a non-blocking listening socket
 * @text: address; with port 0 the kernel chooses a free port
 * @port: set to the bound port
 * @err: filled in on failure
 *
 * Return: the socket, or -1 with ERR_SETTINGS or ERR_IO.
 */
int
socket_listen(const char *text, int *port, struct err *err)
{
    struct sockaddr_storage address;
    socklen_t bytes;
    int one = 1;
    int fd;

    if (!socket_parse_address(text, &address, &bytes, err)) {
        return -1;
    }
    fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                0);
    if (fd < 0) {
        err_set(err, ERR_IO, "socket: %s", strerror(errno));
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&address, bytes) != 0 ||
        listen(fd, LISTEN_BACKLOG) != 0) {
        err_set(err, ERR_IO, "listen on %s: %s", text, strerror(errno));
        close(fd);
        return -1;
    }
    *port = bound_port(fd);
    return fd;
}

/**
 * socket_set_options() - set TCP_NODELAY, keepalive and the user timeout
 * @fd: socket of a connection between instances
 *
 * Errors are ignored: without these options the connection works, but a dead
 * peer is detected later.
 */
void
socket_set_options(int fd)
{
    int one = 1;
    int idle = KEEPALIVE_IDLE_S;
    int interval = KEEPALIVE_INTERVAL_S;
    int probes = KEEPALIVE_PROBES;
    unsigned int unacknowledged = UNACKNOWLEDGED_MAX_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
               sizeof(unacknowledged));
}

/**
 * socket_connect() - start a non-blocking connect
 * @text: address
 * @err: filled in on failure
 *
 * Return: the socket, which becomes writable once connected, or -1 with
 * ERR_SETTINGS or ERR_IO.
 */
int
socket_connect(const char *text, struct err *err)
{
    struct sockaddr_storage address;
    socklen_t bytes;
    int fd;

    if (!socket_parse_address(text, &address, &bytes, err)) {
        return -1;
    }
    fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                0);
    if (fd < 0) {
        err_set(err, ERR_IO, "socket: %s", strerror(errno));
        return -1;
    }
    socket_set_options(fd);
    if (connect(fd, (struct sockaddr *)&address, bytes) != 0 &&
        errno != EINPROGRESS) {
        err_set(err, ERR_IO, "connect to %s: %s", text, strerror(errno));
        close(fd);
        return -1;
    }
    return fd;
}
