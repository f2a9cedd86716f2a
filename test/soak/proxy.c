/* Forwards connections on loopback and injects link faults. */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

enum { DELAY_MS = 400, TICK_MS = 20, BUFFER_BYTES = 16384, EVENTS = 64 };

/* One direction: bytes are read from one socket, buffered, and written to the
 * other. */
struct flow {
    GByteArray *buffered;
    int64_t due_ms;
    bool ended;
    bool reset; /* ends with a reset */
};

/* Index 0 is the client's socket, 1 the server's. */
struct pair {
    struct link *link;
    int fds[2];
    struct flow flows[2];    /* by the socket that is read */
    struct spoiler *spoiler; /* of the server's bytes; may be NULL */
    bool dead;
};

struct proxy {
    pthread_t thread;
    pthread_mutex_t lock;
    atomic_bool stopping;
    struct link links[LINKS_MAX];
    int link_count;
    GPtrArray *pairs;
    int spoil_percents[SPOIL_COUNT];
    GRand *random;
};

static void
reset_on_close(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
pair_free(void *data)
{
    struct pair *pair = data;

    for (int i = 0; i < 2; i++) {
        if (pair->dead) {
            reset_on_close(pair->fds[i]);
        }
        close(pair->fds[i]);
        g_byte_array_free(pair->flows[i].buffered, TRUE);
    }
    if (pair->spoiler != NULL) {
        spoiler_free(pair->spoiler);
    }
    g_free(pair);
}

static bool
forwards_from(const struct link *link, int end)
{
    switch (link->mode) {
    case LINK_BLOCK_REQUESTS:
        return end == 1;
    case LINK_BLOCK_RESPONSES:
        return end == 0;
    case LINK_BLOCK_BOTH:
        return false;
    default:
        return true;
    }
}

/* Buffers bytes read from @end, spoilt if they are the server's. */
static void
buffer_bytes(struct pair *pair, int end, guint8 *bytes, size_t count)
{
    struct flow *flow = &pair->flows[end];
    enum spoil_close close;

    if (pair->spoiler == NULL || end == 0) {
        g_byte_array_append(flow->buffered, bytes, (guint)count);
        if (pair->spoiler != NULL) {
            spoiler_request_arrived(pair->spoiler, pair->flows[1].buffered);
        }
        return;
    }
    close = spoiler_forward(pair->spoiler, bytes, count, flow->buffered);
    flow->ended = close != SPOIL_CLOSE_NONE;
    flow->reset = close == SPOIL_CLOSE_RESET;
}

static void
read_end(struct pair *pair, int end, int64_t now_ms)
{
    struct flow *flow = &pair->flows[end];
    guint8 bytes[BUFFER_BYTES];
    ssize_t count;

    /* Blocked bytes stay in the kernel and arrive once the link recovers, as
     * retransmissions do on a real link. */
    if (flow->ended || flow->buffered->len > 4 * BUFFER_BYTES ||
        !forwards_from(pair->link, end)) {
        return;
    }
    count = recv(pair->fds[end], bytes, sizeof(bytes), MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count < 0) {
        pair->dead = true;
    }
    else if (count == 0) {
        flow->ended = true;
        flow->reset = end == 1 && pair->spoiler != NULL &&
                      spoiler_in_unframed_body(pair->spoiler);
    }
    else if (pair->link->mode == LINK_RESET_ON_RESPONSE && end == 1) {
        pair->dead = true;
    }
    else {
        buffer_bytes(pair, end, bytes, (size_t)count);
        flow->due_ms =
            pair->link->mode == LINK_DELAY ? now_ms + DELAY_MS : now_ms;
    }
}

static void
write_end(struct pair *pair, int end, int64_t now_ms)
{
    struct flow *flow = &pair->flows[end];
    int to = pair->fds[1 - end];
    ssize_t count;

    if (flow->buffered->len > 0 && now_ms >= flow->due_ms) {
        count = send(to, flow->buffered->data, flow->buffered->len,
                     MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count > 0) {
            g_byte_array_remove_range(flow->buffered, 0, (guint)count);
        }
        else if (errno != EAGAIN && errno != EINTR) {
            pair->dead = true;
        }
    }
    if (flow->ended && flow->buffered->len == 0 &&
        forwards_from(pair->link, end)) {
        if (flow->reset) {
            pair->dead = true;
        }
        else {
            shutdown(to, SHUT_WR);
        }
    }
}

static int
connect_server(const char *server)
{
    struct sockaddr_in address;
    struct err err = {0};
    int fd;

    if (server[0] == '\0' || !address_parse(server, &address, &err)) {
        return -1;
    }
    /* A full backlog drops the first packet, and a connect that waited for the
     * next one, 1 s later, would hold up all links. */
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
accept_link(struct proxy *proxy, struct link *link)
{
    int client = accept4(link->fd, NULL, NULL, SOCK_CLOEXEC);
    struct pair *pair;
    int server;

    if (client < 0) {
        return;
    }
    server = connect_server(link->server);
    if (server < 0) {
        reset_on_close(client);
        close(client);
        return;
    }
    pair = g_new0(struct pair, 1);
    pair->link = link;
    pair->fds[0] = client;
    pair->fds[1] = server;
    pair->flows[0].buffered = g_byte_array_new();
    pair->flows[1].buffered = g_byte_array_new();
    if (link->spoils) {
        pair->spoiler = spoiler_new(proxy->spoil_percents, proxy->random);
    }
    g_ptr_array_add(proxy->pairs, pair);
}

static void
serve_pair(struct pair *pair, int64_t now_ms)
{
    for (int end = 0; end < 2 && !pair->dead; end++) {
        read_end(pair, end, now_ms);
        write_end(pair, end, now_ms);
    }
    if (pair->link->mode == LINK_RESET ||
        (pair->flows[0].ended && pair->flows[1].ended)) {
        pair->dead = true;
    }
}

/* Waits level-triggered on all sockets. The set is small, so it is rebuilt for
 * each wait. Releases the lock while it waits. */
static void
wait_for_bytes(struct proxy *proxy)
{
    struct epoll_event events[EVENTS];
    int epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    bool has_buffered = false;

    for (int i = 0; i < proxy->link_count; i++) {
        struct epoll_event event = {.events = EPOLLIN};

        epoll_ctl(epoll_fd, EPOLL_CTL_ADD, proxy->links[i].fd, &event);
    }
    for (guint i = 0; i < proxy->pairs->len; i++) {
        struct pair *pair = proxy->pairs->pdata[i];

        for (int end = 0; end < 2; end++) {
            struct epoll_event event = {.events = EPOLLIN};

            has_buffered = has_buffered || pair->flows[end].buffered->len > 0;
            if (!pair->flows[end].ended && forwards_from(pair->link, end)) {
                epoll_ctl(epoll_fd, EPOLL_CTL_ADD, pair->fds[end], &event);
            }
        }
    }
    pthread_mutex_unlock(&proxy->lock);
    epoll_wait(epoll_fd, events, EVENTS, has_buffered ? 1 : TICK_MS);
    pthread_mutex_lock(&proxy->lock);
    close(epoll_fd);
}

static void *
run(void *argument)
{
    struct proxy *proxy = argument;

    pthread_mutex_lock(&proxy->lock);
    while (!atomic_load(&proxy->stopping)) {
        int64_t now_ms = clock_now_ms();

        for (int i = 0; i < proxy->link_count; i++) {
            accept_link(proxy, &proxy->links[i]);
        }
        for (guint i = proxy->pairs->len; i > 0; i--) {
            struct pair *pair = proxy->pairs->pdata[i - 1];

            serve_pair(pair, now_ms);
            if (pair->dead) {
                g_ptr_array_remove_index_fast(proxy->pairs, i - 1);
            }
        }
        for (int i = 0; i < proxy->link_count; i++) {
            if (proxy->links[i].mode == LINK_RESET) {
                proxy->links[i].mode = LINK_PASS;
            }
        }
        wait_for_bytes(proxy);
    }
    pthread_mutex_unlock(&proxy->lock);
    return NULL;
}

struct proxy *
proxy_new(uint64_t seed)
{
    struct proxy *proxy = g_new0(struct proxy, 1);

    pthread_mutex_init(&proxy->lock, NULL);
    proxy->random = g_rand_new_with_seed((guint32)seed * 31u + CALLERS);
    proxy->pairs = g_ptr_array_new_with_free_func(pair_free);
    g_assert_cmpint(pthread_create(&proxy->thread, NULL, run, proxy), ==, 0);
    return proxy;
}

void
proxy_free(struct proxy *proxy)
{
    atomic_store(&proxy->stopping, true);
    pthread_join(proxy->thread, NULL);
    g_ptr_array_free(proxy->pairs, TRUE);
    for (int i = 0; i < proxy->link_count; i++) {
        close(proxy->links[i].fd);
    }
    g_rand_free(proxy->random);
    pthread_mutex_destroy(&proxy->lock);
    g_free(proxy);
}

struct link *
proxy_add_link(struct proxy *proxy, bool spoils)
{
    struct err err = {0};
    struct link *link;

    pthread_mutex_lock(&proxy->lock);
    g_assert_cmpint(proxy->link_count, <, LINKS_MAX);
    link = &proxy->links[proxy->link_count];
    link->fd = socket_listen("127.0.0.1:0", &link->port, &err);
    g_assert_cmpint(link->fd, >=, 0);
    link->spoils = spoils;
    proxy->link_count++;
    pthread_mutex_unlock(&proxy->lock);
    return link;
}

/* Resets the connections to the previous server. */
void
proxy_set_server(struct proxy *proxy, struct link *link, const char *server)
{
    pthread_mutex_lock(&proxy->lock);
    g_strlcpy(link->server, server, sizeof(link->server));
    if (link->mode == LINK_PASS) {
        link->mode = LINK_RESET;
    }
    pthread_mutex_unlock(&proxy->lock);
}

void
proxy_set_mode(struct proxy *proxy, struct link *link, enum link_mode mode)
{
    pthread_mutex_lock(&proxy->lock);
    link->mode = mode;
    pthread_mutex_unlock(&proxy->lock);
}

/* Sets the share of the engines' responses that are spoilt so. */
void
proxy_set_spoiling(struct proxy *proxy, enum spoil_kind kind, int percent)
{
    pthread_mutex_lock(&proxy->lock);
    proxy->spoil_percents[kind] = percent;
    pthread_mutex_unlock(&proxy->lock);
}
