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
    /* A peer that vanished without closing is noticed on an idle connection
     * after 10 s + 3 * 3 s, and after 10 s while data is unacknowledged. */
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
parse_v4(const char *host, const char *port, struct sockaddr_storage *address,
         socklen_t *bytes)
{
    struct sockaddr_in *v4 = (struct sockaddr_in *)address;

    v4->sin_family = AF_INET;
    *bytes = sizeof(*v4);
    return inet_pton(AF_INET, host, &v4->sin_addr) == 1 &&
           parse_port(port, &v4->sin_port);
}

static bool
parse_v6(char *host, const char *port, struct sockaddr_storage *address,
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
 * socket_address() - parse "IPv4:port" or "[IPv6]:port"
 * @text: the address; names are not looked up
 * @address: receives the address
 * @bytes: receives its length
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS.
 */
bool
socket_address(const char *text, struct sockaddr_storage *address,
               socklen_t *bytes, struct err *err)
{
    char host[ADDRESS_MAX_BYTES];
    char *colon;
    bool parsed = false;

    memset(address, 0, sizeof(*address));
    snprintf(host, sizeof(host), "%s", text);
    colon = strrchr(host, ':');
    if (colon != NULL) {
        *colon = '\0';
        parsed = host[0] == '[' ? parse_v6(host, colon + 1, address, bytes)
                                : parse_v4(host, colon + 1, address, bytes);
    }
    return parsed || err_set(err, ERR_SETTINGS,
                             "\"%.80s\" is no IP address with a port", text);
}

static int
bound_port(int fd)
{
    struct sockaddr_storage address;
    socklen_t bytes = sizeof(address);

    if (getsockname(fd, (struct sockaddr *)&address, &bytes) != 0) {
        return 0;
    }
    return address.ss_family == AF_INET6
               ? ntohs(((struct sockaddr_in6 *)&address)->sin6_port)
               : ntohs(((struct sockaddr_in *)&address)->sin_port);
}

/**
 * socket_listen() - open a listening socket
 * @text: address; port 0 lets the kernel choose
 * @port: receives the port
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

    if (!socket_address(text, &address, &bytes, err)) {
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
 * socket_prepare() - set the options of a connection between instances
 * @fd: the socket
 *
 * Options that the kernel refuses only delay the detection of a dead peer.
 */
void
socket_prepare(int fd)
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
 * socket_connect() - begin to connect
 * @text: address
 * @err: filled in on failure
 *
 * Return: the socket, which becomes writable when connected, or -1 with
 * ERR_SETTINGS or ERR_IO.
 */
int
socket_connect(const char *text, struct err *err)
{
    struct sockaddr_storage address;
    socklen_t bytes;
    int fd;

    if (!socket_address(text, &address, &bytes, err)) {
        return -1;
    }
    fd = socket(address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC,
                0);
    if (fd < 0) {
        err_set(err, ERR_IO, "socket: %s", strerror(errno));
        return -1;
    }
    socket_prepare(fd);
    if (connect(fd, (struct sockaddr *)&address, bytes) != 0 &&
        errno != EINPROGRESS) {
        err_set(err, ERR_IO, "connect to %s: %s", text, strerror(errno));
        close(fd);
        return -1;
    }
    return fd;
}
