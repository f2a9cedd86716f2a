/**
 * DOC: Connections of callers.
 *
 * A connection serves one request at a time. Bytes that follow the request in
 * progress are kept until it is answered. The connection stays watched in the
 * meantime, so that a caller that disconnects is noticed at once.
 */
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    ACCEPT_BATCH_MAX = 64, /* then other connections are served */
    ACCEPT_PAUSE_MS = 100, /* after which descriptors may be free */
    /* The defaults apply until the first configuration is known. */
    DEFAULT_HEAD_TIMEOUT_MS = 3000,
    DEFAULT_IDLE_TIMEOUT_MS = 15000,
    DEFAULT_HEAD_MAX_BYTES = 16384,
    DEFAULT_BODY_MAX_BYTES = 1024 * 1024,
    /* Callers use a connection for four fifths of its idle time, so that their
     * requests don't cross its close. */
    IDLE_USE_FIFTHS = 4,
    /* A caller that takes nothing of its answer for so long has gone. The
     * limits of a configuration are for requests and idle connections. */
    OUTPUT_STALL_MS = 15000,
    /* A larger room of a body is given back after its request. */
    BODY_ROOM_KEPT_BYTES = 4096,
    /* A caller that sends its request before it reads can't see the refusal
     * earlier, and would get a reset instead of it. */
    DISCARD_MAX_MS = 1000,
};

static size_t
body_max(const struct relay *relay)
{
    return relay->config != NULL ? relay->config->body_max_bytes
                                 : (size_t)DEFAULT_BODY_MAX_BYTES;
}

static size_t
head_max(const struct relay *relay)
{
    return relay->config != NULL ? relay->config->head_max_bytes
                                 : (size_t)DEFAULT_HEAD_MAX_BYTES;
}

static int64_t
idle_timeout_ms(const struct relay *relay)
{
    return relay->config != NULL ? relay->config->idle_timeout_ms
                                 : DEFAULT_IDLE_TIMEOUT_MS;
}

static int64_t
head_timeout_ms(const struct relay *relay)
{
    return relay->config != NULL ? relay->config->head_timeout_ms
                                 : DEFAULT_HEAD_TIMEOUT_MS;
}

static int
on_url(http_parser *parser, const char *bytes, size_t count)
{
    struct client *client = parser->data;

    head_add_start(&client->head, bytes, count);
    return 0;
}

static int
on_header_field(http_parser *parser, const char *bytes, size_t count)
{
    struct client *client = parser->data;

    return head_add_name(&client->head, bytes, count) ? 0 : -1;
}

static int
on_header_value(http_parser *parser, const char *bytes, size_t count)
{
    struct client *client = parser->data;

    return head_add_value(&client->head, bytes, count) ? 0 : -1;
}

static int
on_headers_complete(http_parser *parser)
{
    struct client *client = parser->data;

    head_finish(&client->head);
    client->head_complete = true;
    return 0;
}

static int
on_body(http_parser *parser, const char *bytes, size_t count)
{
    struct client *client = parser->data;

    g_byte_array_append(client->body, (const guint8 *)bytes, (guint)count);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    struct client *client = parser->data;

    client->request_complete = true;
    client->keep_alive = http_should_keep_alive(parser);
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_header_field,
    .on_header_value = on_header_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

static void
reset_request(struct client *client)
{
    http_parser_init(&client->parser, HTTP_REQUEST);
    client->parser.data = client;
    head_reset(&client->head);
    if (client->body->len > BODY_ROOM_KEPT_BYTES) {
        g_byte_array_free(client->body, TRUE);
        client->body = g_byte_array_new();
    }
    g_byte_array_set_size(client->body, 0);
    account_request_ended(client);
    client->request_complete = false;
    client->head_complete = false;
    client->request_started = false;
}

static void
update_epoll_events(struct relay *relay, struct client *client)
{
    uint32_t events = EPOLLRDHUP;

    if (client->output.waiting > 0) {
        events |= EPOLLOUT;
    }
    if (client->closing ? client->discard_left > 0
                        : client->memory.paused_ms == 0 &&
                              client->pending->len < PENDING_MAX_BYTES) {
        events |= EPOLLIN;
    }
    if (events != client->epoll_events) {
        client->epoll_events = events;
        relay_epoll_ctl(relay, EPOLL_CTL_MOD, client->fd, events, WATCH_CLIENT,
                        client->self);
    }
}

static int64_t
idle_due_ms(const struct relay *relay, const struct client *client)
{
    return client->idle_since_ms +
           MAX(idle_timeout_ms(relay), client->announced_idle_ms);
}

/**
 * client_write_persistence() - write the fields on whether and how long the
 * connection can be used for another request
 * @relay: the relay
 * @client: the connection
 * @text: head of a response; the fields are appended
 */
void
client_write_persistence(struct relay *relay, struct client *client,
                         GString *text)
{
    int64_t use_s = idle_timeout_ms(relay) * IDLE_USE_FIFTHS / 5 / 1000;

    if (!client->keep_alive) {
        g_string_append(text, "Connection: close\r\n");
    }
    else if (use_s > 0) {
        client->announced_idle_ms = idle_timeout_ms(relay);
        g_string_append_printf(text,
                               "Connection: keep-alive\r\n"
                               "Keep-Alive: timeout=%" G_GINT64_FORMAT "\r\n",
                               (gint64)use_s);
    }
}

static void
set_timer(struct relay *relay, struct client *client, int64_t now_ms)
{
    int64_t due_ms;

    if (client->exchange.generation != 0) {
        heap_remove(&relay->timers, &client->timer);
        return;
    }
    if (client->discard_left > 0) {
        due_ms = client->discard_end_ms;
    }
    else if (client->memory.paused_ms != 0) {
        due_ms = client->memory.paused_ms + client->memory.pause_max_ms;
    }
    else if (client->request_started && !client->closing) {
        due_ms = reading_due_ms(&client->reading, head_timeout_ms(relay));
    }
    else if (client->output.waiting > 0) {
        due_ms = now_ms + OUTPUT_STALL_MS;
    }
    else {
        client->idle_since_ms = now_ms;
        due_ms = idle_due_ms(relay, client);
    }
    heap_set(&relay->timers, &client->timer, due_ms);
}

static void
add_client(struct relay *relay, enum listener_kind kind, int fd,
           int64_t now_ms)
{
    struct handle handle;
    struct err err = {0};
    struct client *client = table_alloc(&relay->clients, &handle, &err);
    int on = 1;

    if (client == NULL) {
        refusal_add(ERR_TABLE_FULL);
        close(fd);
        return;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    client->self = handle;
    client->fd = fd;
    client->listener = kind;
    client->timer.kind = TIMER_CLIENT;
    head_init(&client->head);
    client->body = g_byte_array_new();
    client->pending = g_byte_array_new();
    client->epoll_events = EPOLLIN | EPOLLRDHUP;
    reset_request(client);
    relay_epoll_ctl(relay, EPOLL_CTL_ADD, fd, client->epoll_events,
                    WATCH_CLIENT, handle);
    account_settle(relay, client);
    set_timer(relay, client, now_ms);
}

/**
 * client_accept() - accept the pending connections of a listener
 * @relay: the relay
 * @kind: the listener
 * @now_ms: current time
 */
void
client_accept(struct relay *relay, enum listener_kind kind, int64_t now_ms)
{
    for (int i = 0; i < ACCEPT_BATCH_MAX; i++) {
        int fd = accept4(relay->listeners[kind], NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC);

        if (fd >= 0) {
            add_client(relay, kind, fd, now_ms);
            continue;
        }
        if (errno == EMFILE || errno == ENFILE) {
            refusal_add(ERR_TABLE_FULL);
            relay_pause_accepting(relay, now_ms + ACCEPT_PAUSE_MS);
        }
        if (errno != ECONNABORTED && errno != EINTR) {
            return;
        }
    }
}

/**
 * client_close() - close a connection and cancel its request
 * @relay: the relay
 * @client: the connection; invalid afterwards
 * @now_ms: current time
 */
void
client_close(struct relay *relay, struct client *client, int64_t now_ms)
{
    struct exchange *exchange = table_get(&relay->exchanges, client->exchange);

    client->exchange = (struct handle){0};
    account_remove(relay, client);
    heap_remove(&relay->timers, &client->timer);
    close(client->fd);
    head_clear(&client->head);
    g_byte_array_free(client->body, TRUE);
    g_byte_array_free(client->pending, TRUE);
    output_clear(&client->output);
    table_free(&relay->clients, client->self);
    if (exchange != NULL) {
        exchange->client = (struct handle){0};
        exchange_cancel(relay, exchange, now_ms);
    }
}

/**
 * client_update_pause() - stop or resume reading a response from its target
 * @relay: the relay
 * @client: the caller
 *
 * Reading stops while the caller has much to read, also when the caller never
 * reads and its connection has no event.
 */
void
client_update_pause(struct relay *relay, const struct client *client)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, client->exchange);
    struct upstream *upstream =
        exchange != NULL ? table_get(&relay->upstreams, exchange->upstream)
                         : NULL;

    if (upstream != NULL) {
        upstream_set_paused(relay, upstream,
                            account_stops_answer(relay, client));
    }
}

/* Closes a finished connection, else updates what is watched. Shuts down the
 * writing end first, so that the response isn't lost to a reset when the
 * caller is still sending. Returns whether the client still exists. */
static bool
close_or_update(struct relay *relay, struct client *client, int64_t now_ms)
{
    if (client->closing && client->output.waiting == 0 &&
        client->discard_left == 0 && client->exchange.generation == 0) {
        shutdown(client->fd, SHUT_WR);
        client_close(relay, client, now_ms);
        return false;
    }
    account_settle(relay, client);
    client_update_pause(relay, client);
    update_epoll_events(relay, client);
    return true;
}

/**
 * client_write() - send bytes to a caller
 * @relay: the relay
 * @client: the connection; valid until its next event even when it is broken
 * @bytes: the bytes
 * @count: their number
 * @now_ms: current time
 */
void
client_write(struct relay *relay, struct client *client, const void *bytes,
             size_t count, int64_t now_ms)
{
    bool empty = client->output.waiting == 0;

    (void)now_ms;
    output_append(&client->output, bytes, count);
    if (empty && !output_flush(&client->output, client->fd)) {
        /* epoll reports the broken connection next, which closes it. */
        output_clear(&client->output);
    }
    account_settle(relay, client);
    client_update_pause(relay, client);
    update_epoll_events(relay, client);
}

static void
handle_request(struct relay *relay, struct client *client, int64_t now_ms)
{
    if (head_start_text(&client->head)[0] != '/') {
        refuse_client(relay, client, 400, "bad_target", now_ms);
    }
    else if (client->listener != LISTEN_FRONT) {
        local_serve(relay, client, now_ms);
    }
    else if (account_admits(relay, client, now_ms)) {
        exchange_start(relay, client, now_ms);
    }
}

/**
 * client_announced_bytes() - length of the body that a request announces
 * @client: its connection
 *
 * Return: bytes; -1 while the head is incomplete or for a body in chunks.
 */
int64_t
client_announced_bytes(const struct client *client)
{
    const http_parser *parser = &client->parser;

    if (!client->head_complete || (parser->flags & F_CHUNKED)) {
        return -1;
    }
    if (!(parser->flags & F_CONTENTLENGTH)) {
        return 0;
    }
    /* The parser counts down what has arrived. */
    return (int64_t)MIN(parser->content_length + client->body->len,
                        (uint64_t)INT64_MAX / 2);
}

/**
 * client_discard_rest() - read and drop the rest of a request that is refused
 * @client: its connection
 * @now_ms: current time
 */
void
client_discard_rest(struct client *client, int64_t now_ms)
{
    int64_t announced = client_announced_bytes(client);

    client->discard_left =
        announced < 0 ? SIZE_MAX : (size_t)announced - client->body->len;
    client->discard_end_ms = now_ms + DISCARD_MAX_MS;
    g_byte_array_free(client->body, TRUE);
    client->body = g_byte_array_new();
}

/* Refuses what can't be read or exceeds a limit. Returns whether it did. A
 * request to change the protocol may be ignored (RFC 9110, 7.8), and ends as
 * its length says; what follows a CONNECT is not for this server. */
static bool
refuse_unreadable(struct relay *relay, struct client *client, int64_t now_ms)
{
    enum http_errno parser_error = HTTP_PARSER_ERRNO(&client->parser);

    if (client->head.text->len > head_max(relay)) {
        refuse_client(relay, client, 431, "head_too_large", now_ms);
    }
    else if (client->body->len > body_max(relay)) {
        refuse_client(relay, client, 413, "body_too_large", now_ms);
    }
    else if (client_announced_bytes(client) > (int64_t)body_max(relay)) {
        client_discard_rest(client, now_ms);
        refuse_client(relay, client, 413, "body_too_large", now_ms);
    }
    else if (client->head_complete && client->parser.method == HTTP_CONNECT) {
        refuse_client(relay, client, 400, "no_tunnel", now_ms);
    }
    else if (parser_error != HPE_OK && !client->request_complete) {
        refuse_client(relay, client, 400, http_errno_name(parser_error),
                      now_ms);
    }
    else {
        return false;
    }
    client->request_complete = false;
    return true;
}

static void
record_progress(struct client *client, int64_t now_ms)
{
    if (!client->request_started) {
        client->request_started = true;
        client->reading =
            (struct reading_progress){.start_ms = MAX(now_ms, 1)};
    }
    if (client->head_complete && client->reading.head_end_ms == 0) {
        client->reading.head_end_ms = MAX(now_ms, 1);
    }
    client->reading.body_bytes = client->body->len;
}

/* Parses up to the end of one request; returns the bytes consumed. */
static size_t
parse_request(struct relay *relay, struct client *client, const void *bytes,
              size_t count, int64_t now_ms)
{
    size_t consumed =
        http_parser_execute(&client->parser, &parser_settings, bytes, count);

    record_progress(client, now_ms);
    if (refuse_unreadable(relay, client, now_ms) ||
        !client->request_complete) {
        return count;
    }
    http_parser_pause(&client->parser, 0);
    return consumed;
}

/* Parses requests until one is in progress and stores the remaining bytes.
 * Returns whether the client still exists. */
static bool
process_input(struct relay *relay, struct client *client,
              const unsigned char *bytes, size_t count, int64_t now_ms)
{
    struct handle self = client->self;

    while (count > 0 && !client->closing && client->exchange.generation == 0) {
        size_t consumed = parse_request(relay, client, bytes, count, now_ms);

        bytes += consumed;
        count -= consumed;
        if (client->request_complete) {
            handle_request(relay, client, now_ms);
            if (table_get(&relay->clients, self) == NULL) {
                return false;
            }
            if (client->exchange.generation == 0) {
                reset_request(client);
            }
        }
    }
    if (!client->closing) {
        g_byte_array_append(client->pending, bytes, (guint)count);
    }
    return true;
}

static void
discard(struct client *client, size_t count)
{
    client->discard_left -= MIN(client->discard_left, count);
}

/* Returns whether the client still exists. */
static bool
receive(struct relay *relay, struct client *client, int64_t now_ms)
{
    ssize_t count =
        recv(client->fd, relay->buffer, sizeof(relay->buffer), MSG_DONTWAIT);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return true;
    }
    if (count <= 0) {
        client_close(relay, client, now_ms);
        return false;
    }
    if (client->closing) {
        discard(client, (size_t)count);
        return true;
    }
    if (client->exchange.generation != 0) {
        g_byte_array_append(client->pending, relay->buffer, (guint)count);
        return true;
    }
    return process_input(relay, client, relay->buffer, (size_t)count, now_ms);
}

/**
 * client_handle_event() - handle an epoll event of a connection
 * @relay: the relay
 * @client: the connection; may be invalid afterwards
 * @events: epoll's events
 * @now_ms: current time
 */
void
client_handle_event(struct relay *relay, struct client *client,
                    uint32_t events, int64_t now_ms)
{
    if (events & (EPOLLERR | EPOLLHUP)) {
        client_close(relay, client, now_ms);
        return;
    }
    if ((events & EPOLLOUT) && !output_flush(&client->output, client->fd)) {
        client_close(relay, client, now_ms);
        return;
    }
    if ((events & EPOLLRDHUP) &&
        (client->exchange.generation != 0 || client->memory.paused_ms != 0)) {
        client_close(relay, client, now_ms);
        return;
    }
    if ((events & (EPOLLIN | EPOLLRDHUP)) && client->memory.paused_ms == 0 &&
        !receive(relay, client, now_ms)) {
        return;
    }
    account_read_on(relay, client, now_ms);
    if (close_or_update(relay, client, now_ms)) {
        set_timer(relay, client, now_ms);
    }
}

/**
 * client_handle_timer() - handle an idle connection, a request that is sent
 * too slowly or an answer that isn't read
 * @relay: the relay
 * @client: the connection; may be invalid afterwards
 * @now_ms: current time
 */
void
client_handle_timer(struct relay *relay, struct client *client, int64_t now_ms)
{
    if (client->memory.paused_ms != 0) {
        client_resume(relay, client, now_ms);
        return;
    }
    if (client->request_started && !client->closing) {
        refuse_client(relay, client, 408, "head_timeout", now_ms);
        if (close_or_update(relay, client, now_ms)) {
            set_timer(relay, client, now_ms);
        }
        return;
    }
    if (client->output.waiting > 0) {
        counter_add(CTR_ANSWER_UNREAD, 1);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=answer_unread connection=%u.%u bytes=%zu "
                 "stalled_ms=%d",
                 client->self.index, client->self.generation,
                 client->output.waiting, OUTPUT_STALL_MS);
    }
    else if (!client->closing && idle_due_ms(relay, client) > now_ms) {
        /* A configuration with a longer idle time has come since. */
        heap_set(&relay->timers, &client->timer, idle_due_ms(relay, client));
        return;
    }
    client_close(relay, client, now_ms);
}

/**
 * client_resume() - read a request on that was paused, if there is room, or
 * refuse it if it has waited too long
 * @relay: the relay
 * @client: the connection; may be invalid afterwards
 * @now_ms: current time
 */
void
client_resume(struct relay *relay, struct client *client, int64_t now_ms)
{
    account_read_on(relay, client, now_ms);
    if (close_or_update(relay, client, now_ms)) {
        set_timer(relay, client, now_ms);
    }
}

/**
 * client_exchange_done() - continue after the response to a request
 * @relay: the relay
 * @client: the connection; may be invalid afterwards
 * @now_ms: current time
 */
void
client_exchange_done(struct relay *relay, struct client *client,
                     int64_t now_ms)
{
    GByteArray *pending = client->pending;
    struct handle self = client->self;

    client->exchange = (struct handle){0};
    if (!client->keep_alive) {
        client->closing = true;
    }
    reset_request(client);
    if (pending->len > 0 && !client->closing) {
        client->pending = g_byte_array_new();
        process_input(relay, client, pending->data, pending->len, now_ms);
        g_byte_array_free(pending, TRUE);
        client = table_get(&relay->clients, self);
        if (client == NULL) {
            return;
        }
        account_read_on(relay, client, now_ms);
    }
    if (close_or_update(relay, client, now_ms)) {
        set_timer(relay, client, now_ms);
    }
}
