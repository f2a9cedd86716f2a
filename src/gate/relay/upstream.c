/**
 * DOC: Connections to targets.
 *
 * A connection serves one request at a time and is kept for the next one.
 * Responses are matched to requests by their attempt id, as a target may send
 * one late or twice; so a connection carries an attempt id once only.
 */
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    CONNECT_TIMEOUT_MS = 1000, /* a lost packet is sent again by then */
    /* The target is unreachable when sent data or a probe is not acknowledged
     * by then. A sound one may be silent for a second or so. */
    ACK_TIMEOUT_MS = 2500,
    TCP_KEEP_ALIVE_S = 1, /* a dead peer is detected after 3 s */
    TCP_KEEP_ALIVE_PROBES = 2,
    /* For targets that announce no Keep-Alive timeout. */
    DEFAULT_KEEP_ALIVE_MS = 8000,
    /* A connection that was idle for longer may have been dropped without
     * notice, which only a retryable request can risk. */
    FRESH_IDLE_MS = 1500,
};

static void
update_epoll_events(struct relay *relay, struct upstream *upstream)
{
    uint32_t events = upstream->paused ? 0 : EPOLLIN;

    if (!upstream->connected || upstream->output.waiting > 0) {
        events |= EPOLLOUT;
    }
    if (events != upstream->epoll_events) {
        upstream->epoll_events = events;
        relay_epoll_ctl(relay, EPOLL_CTL_MOD, upstream->fd, events,
                        WATCH_UPSTREAM, upstream->self);
    }
}

static void
set_options(int fd)
{
    int on = 1;
    int interval_s = TCP_KEEP_ALIVE_S;
    int probes = TCP_KEEP_ALIVE_PROBES;
    unsigned ack_timeout_ms = ACK_TIMEOUT_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
               sizeof(interval_s));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
               sizeof(ack_timeout_ms));
}

static struct upstream *
connect_to(struct relay *relay, struct relay_target *target, int64_t now_ms)
{
    struct handle handle;
    struct err err = {0};
    struct upstream *upstream = table_alloc(&relay->upstreams, &handle, &err);
    int fd = -1;

    if (upstream != NULL) {
        fd = socket_connect(target->record.info.address, &err);
    }
    if (fd < 0) {
        log_line(LOG_PRI_WARNING, "relay",
                 "event=no_connection target=%s address=%s reason=%s",
                 target->record.info.id, target->record.info.address,
                 err.text);
        if (upstream != NULL) {
            table_free(&relay->upstreams, handle);
            health_connect_failed(&target->record.health, now_ms);
        }
        return NULL;
    }
    set_options(fd);
    upstream->self = handle;
    upstream->target = target->self;
    upstream->peer = target_identity_of(&target->record.info);
    upstream->fd = fd;
    upstream->timer.kind = TIMER_UPSTREAM;
    upstream->keep_alive_ms = DEFAULT_KEEP_ALIVE_MS;
    head_init(&upstream->head);
    upstream->body = g_byte_array_new();
    upstream->epoll_events = EPOLLOUT;
    relay_epoll_ctl(relay, EPOLL_CTL_ADD, fd, upstream->epoll_events,
                    WATCH_UPSTREAM, handle);
    heap_set(&relay->timers, &upstream->timer, now_ms + CONNECT_TIMEOUT_MS);
    target->connections++;
    counter_add(CTR_CONNECTS, 1);
    return upstream;
}

static void
remove_idle(struct relay_target *target, struct handle handle)
{
    for (guint i = 0; i < target->idle->len; i++) {
        if (g_array_index(target->idle, struct handle, i).index ==
            handle.index) {
            g_array_remove_index(target->idle, i);
            return;
        }
    }
}

/* Bytes that no request is waiting for: a target that answers twice, or one
 * that is out of step with its requests. */
static void
log_extra_bytes(struct relay *relay, const struct upstream *upstream,
                const char *place)
{
    const struct relay_target *target =
        table_get(&relay->targets, upstream->target);

    counter_add(CTR_ANSWER_EXTRA, 1);
    log_line(LOG_PRI_WARNING, "relay",
             "event=extra_bytes target=%s connection=%u.%u use=%d place=%s",
             target != NULL ? target->record.info.id : "-",
             upstream->self.index, upstream->self.generation,
             upstream->request_count, place);
}

/* A connection that the target has closed, or on which bytes arrived that
 * belong to no request, can't be used. */
static bool
is_reusable(struct relay *relay, const struct upstream *upstream)
{
    char byte;
    ssize_t count = recv(upstream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

    if (count > 0) {
        log_extra_bytes(relay, upstream, "idle");
    }
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* A request that comes again carries the same attempt id, so a second copy of
 * its first response would pass as the response to it. */
static bool
has_carried(const struct exchange *exchange, struct handle connection)
{
    for (int i = 0; i < exchange->sent_on_count; i++) {
        const struct handle *sent_on = &exchange->sent_on[i];

        if (sent_on->index == connection.index &&
            sent_on->generation == connection.generation) {
            return true;
        }
    }
    return exchange->sent_on_count == SENT_ON_MAX;
}

/* The connection used last that may carry the request; -1 for none. */
static int
find_idle(const struct relay_target *target, const struct exchange *exchange)
{
    for (int i = (int)target->idle->len - 1; i >= 0; i--) {
        if (!has_carried(exchange,
                         g_array_index(target->idle, struct handle, i))) {
            return i;
        }
    }
    return -1;
}

/**
 * upstream_acquire() - get an idle or a new connection to a target
 * @relay: the relay
 * @target: the target
 * @exchange: the request, which the connection has not carried before
 * @now_ms: current time
 *
 * Return: a connection without a request; NULL when none can be made.
 */
struct upstream *
upstream_acquire(struct relay *relay, struct relay_target *target,
                 const struct exchange *exchange, int64_t now_ms)
{
    int index;

    while ((index = find_idle(target, exchange)) >= 0) {
        struct upstream *upstream =
            table_get(&relay->upstreams,
                      g_array_index(target->idle, struct handle, index));

        if (upstream != NULL && !exchange->route->retryable &&
            now_ms - upstream->idle_since_ms > FRESH_IDLE_MS) {
            break;
        }
        g_array_remove_index(target->idle, (guint)index);
        if (upstream != NULL && is_reusable(relay, upstream)) {
            heap_remove(&relay->timers, &upstream->timer);
            return upstream;
        }
        if (upstream != NULL) {
            upstream_close(relay, upstream);
        }
    }
    return connect_to(relay, target, now_ms);
}

/**
 * upstream_detach() - separate a connection from its request
 * @relay: the relay
 * @upstream: the connection
 */
void
upstream_detach(struct relay *relay, struct upstream *upstream)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    if (exchange != NULL) {
        exchange->upstream = (struct handle){0};
    }
    if (upstream->exchange.generation != 0 && target != NULL) {
        target->record.running--;
        target->record.tokens -= upstream->tokens;
        queue_mark_target(relay, target);
    }
    upstream->exchange = (struct handle){0};
    upstream->paused = false;
}

/**
 * upstream_close() - close a connection, which cancels its request at the
 * target
 * @relay: the relay
 * @upstream: the connection; invalid afterwards
 */
void
upstream_close(struct relay *relay, struct upstream *upstream)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    crash_connection_closed(relay, upstream);
    upstream_detach(relay, upstream);
    if (target != NULL) {
        remove_idle(target, upstream->self);
        target->connections--;
    }
    heap_remove(&relay->timers, &upstream->timer);
    close(upstream->fd);
    head_clear(&upstream->head);
    g_byte_array_free(upstream->body, TRUE);
    output_clear(&upstream->output);
    table_free(&relay->upstreams, upstream->self);
}

/**
 * upstream_discard_rest() - detach the request and discard the rest of the
 * response
 * @relay: the relay
 * @upstream: the connection, in the middle of a response
 * @now_ms: current time
 *
 * Only for responses that end soon, as the rest is still received. A target
 * that has not read its request whole can't get another on the connection,
 * which is closed: nobody would be charged for the body that it still holds.
 */
void
upstream_discard_rest(struct relay *relay, struct upstream *upstream,
                      int64_t now_ms)
{
    if (upstream->output.waiting > 0) {
        upstream_close(relay, upstream);
        return;
    }
    upstream_detach(relay, upstream);
    upstream->discarding = true;
    heap_set(&relay->timers, &upstream->timer, now_ms + CONNECT_TIMEOUT_MS);
}

static void
write_request(struct relay *relay, struct upstream *upstream,
              struct exchange *exchange, const char *target_id, int64_t now_ms)
{
    GString *head = g_string_new(NULL);
    size_t body_bytes = g_bytes_get_size(exchange->body);
    struct forward_meta meta = {
        .target_id = target_id,
        .left_ms = exchange->deadline_ms - now_ms,
        .urgency = exchange_urgency(exchange),
        .last_event_id = exchange->events.last_id,
        .team = exchange->team != NULL ? exchange->team->name : NULL,
    };

    g_string_printf(head, "%s %s HTTP/1.1\r\n",
                    http_method_str((enum http_method)exchange->method),
                    exchange->path);
    g_string_append_len(head, exchange->header_fields->str,
                        (gssize)exchange->header_fields->len);
    relay->dialect->ops->write_request_fields(relay->dialect, &meta, head);
    if (body_bytes > 0 || exchange->method == HTTP_POST ||
        exchange->method == HTTP_PUT || exchange->method == HTTP_PATCH) {
        g_string_append_printf(head, "Content-Length: %zu\r\n", body_bytes);
    }
    g_string_append(head, "\r\n");
    output_append(&upstream->output, head->str, head->len);
    output_append_shared(&upstream->output, exchange->body);
    g_string_free(head, TRUE);
}

/**
 * upstream_send() - send a request
 * @relay: the relay
 * @upstream: a connection without a request
 * @exchange: the request
 * @now_ms: current time
 */
void
upstream_send(struct relay *relay, struct upstream *upstream,
              struct exchange *exchange, int64_t now_ms)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    upstream_parser_reset(upstream);
    upstream->no_body = exchange->is_head_request;
    upstream->interim_count = 0;
    upstream->exchange = exchange->self;
    exchange->upstream = upstream->self;
    if (exchange->sent_on_count < SENT_ON_MAX) {
        exchange->sent_on[exchange->sent_on_count++] = upstream->self;
    }
    target->record.running++;
    upstream->tokens = exchange->needs.tokens;
    target->record.tokens += upstream->tokens;
    write_request(relay, upstream, exchange, target->record.info.id, now_ms);
    if (upstream->connected) {
        upstream->request_count++;
        /* epoll reports a broken connection next. */
        if (!output_flush(&upstream->output, upstream->fd)) {
            output_clear(&upstream->output);
        }
    }
    update_epoll_events(relay, upstream);
}

/**
 * upstream_exists_to() - whether any connection to a target is established
 * @relay: the relay
 * @target: the target
 */
bool
upstream_exists_to(const struct relay *relay,
                   const struct relay_target *target)
{
    const struct upstream *upstream;
    uint32_t cursor = 0;

    while ((upstream = table_next(&relay->upstreams, &cursor, NULL)) != NULL) {
        if (upstream->connected &&
            table_get(&relay->targets, upstream->target) == target) {
            return true;
        }
    }
    return false;
}

/**
 * upstream_ask() - make a connection to see whether a target is there
 * @relay: the relay
 * @target: the target
 * @now_ms: current time
 *
 * The connection is kept for the next request.
 */
void
upstream_ask(struct relay *relay, struct relay_target *target, int64_t now_ms)
{
    struct upstream *upstream = connect_to(relay, target, now_ms);

    if (upstream != NULL) {
        upstream_parser_reset(upstream);
        upstream->keep_alive = true;
    }
}

/* Sends a request elsewhere of which no byte was sent. */
static void
take_back(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);

    upstream_close(relay, upstream);
    if (exchange != NULL) {
        exchange->sends--;
        exchange->runs--;
        result_unreachable(relay, exchange, now_ms);
    }
}

static void
connect_failed(struct relay *relay, struct upstream *upstream,
               const char *reason, int64_t now_ms)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);

    if (target != NULL) {
        health_connect_failed(&target->record.health, now_ms);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=unreachable target=%s address=%s reason=%s row=%d "
                 "id=%s",
                 target->record.info.id, target->record.info.address, reason,
                 target->record.health.connect_failures,
                 exchange != NULL ? exchange->meta.attempt_id : "-");
    }
    take_back(relay, upstream, now_ms);
}

/**
 * upstream_abort() - end a connection whose response is incomplete
 * @relay: the relay
 * @upstream: the connection; invalid afterwards
 * @reason: for the log
 * @now_ms: current time
 */
void
upstream_abort(struct relay *relay, struct upstream *upstream,
               const char *reason, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);

    if (exchange != NULL) {
        result_aborted(relay, exchange, reason, now_ms);
    }
    else {
        upstream_close(relay, upstream);
    }
}

/**
 * upstream_keep_idle() - keep a connection for the next request, or close it
 * @relay: the relay
 * @upstream: the connection after a complete response; may be invalid
 * afterwards
 * @now_ms: current time
 */
void
upstream_keep_idle(struct relay *relay, struct upstream *upstream,
                   int64_t now_ms)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    if (upstream->has_extra_bytes) {
        log_extra_bytes(relay, upstream, "behind_response");
    }
    if (target == NULL || !upstream->keep_alive || upstream->has_extra_bytes ||
        upstream->keep_alive_ms <= 0 || target_is_leaving(&target->record) ||
        upstream->output.waiting > 0) {
        upstream_close(relay, upstream);
        return;
    }
    upstream_parser_reset(upstream);
    upstream->idle_since_ms = now_ms;
    g_array_append_val(target->idle, upstream->self);
    heap_set(&relay->timers, &upstream->timer,
             now_ms + upstream->keep_alive_ms);
    update_epoll_events(relay, upstream);
}

/* Returns false when the connection was closed or has no request. */
static bool
finish_connect(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    int error = 0;
    socklen_t bytes = sizeof(error);

    getsockopt(upstream->fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
    if (error != 0) {
        struct handle target = upstream->target;

        connect_failed(relay, upstream, strerror(error), now_ms);
        if (error == ECONNREFUSED) {
            crash_connection_refused(relay, table_get(&relay->targets, target),
                                     now_ms);
        }
        return false;
    }
    if (upstream->exchange.generation != 0 &&
        (leaving_learnt_since(relay, upstream) ||
         pause_learnt_since(relay, upstream, now_ms))) {
        take_back(relay, upstream, now_ms);
        return false;
    }
    upstream->connected = true;
    crash_connection_made(table_get(&relay->targets, upstream->target));
    heap_remove(&relay->timers, &upstream->timer);
    if (upstream->exchange.generation == 0) {
        upstream_keep_idle(relay, upstream, now_ms);
        return false;
    }
    upstream->request_count++;
    return true;
}

static void
receive(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    ssize_t count =
        recv(upstream->fd, relay->buffer, sizeof(relay->buffer), MSG_DONTWAIT);

    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count == 0) {
        upstream_parser_eof(relay, upstream, now_ms);
    }
    else if (count < 0 && errno == ETIMEDOUT) {
        upstream_abort(relay, upstream, "unreachable", now_ms);
    }
    else if (count < 0) {
        crash_connection_ended(relay, upstream, now_ms);
        upstream_abort(relay, upstream, "reset", now_ms);
    }
    else if (upstream->exchange.generation == 0 && !upstream->discarding) {
        log_extra_bytes(relay, upstream, "idle");
        upstream_close(relay, upstream);
    }
    else {
        upstream_parser_execute(relay, upstream, relay->buffer, (size_t)count,
                                now_ms);
    }
}

/**
 * upstream_handle_event() - handle an epoll event of a connection
 * @relay: the relay
 * @upstream: the connection; may be invalid afterwards
 * @events: epoll's events
 * @now_ms: current time
 */
void
upstream_handle_event(struct relay *relay, struct upstream *upstream,
                      uint32_t events, int64_t now_ms)
{
    struct handle self = upstream->self;

    if (!upstream->connected && !finish_connect(relay, upstream, now_ms)) {
        return;
    }
    /* Data received before a reset can still be read. */
    if (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
        receive(relay, upstream, now_ms);
        upstream = table_get(&relay->upstreams, self);
    }
    if (upstream == NULL) {
        return;
    }
    if (!output_flush(&upstream->output, upstream->fd)) {
        crash_connection_ended(relay, upstream, now_ms);
        upstream_abort(relay, upstream, "reset", now_ms);
        return;
    }
    update_epoll_events(relay, upstream);
}

/**
 * upstream_handle_timer() - handle a connect timeout, the end of the idle time
 * or a discarded response that takes too long
 * @relay: the relay
 * @upstream: the connection; invalid afterwards
 * @now_ms: current time
 */
void
upstream_handle_timer(struct relay *relay, struct upstream *upstream,
                      int64_t now_ms)
{
    if (!upstream->connected) {
        connect_failed(relay, upstream, "no answer", now_ms);
    }
    else {
        upstream_close(relay, upstream);
    }
}

/**
 * upstream_set_paused() - stop or resume reading a response
 * @relay: the relay
 * @upstream: the connection
 * @paused: whether to stop
 */
void
upstream_set_paused(struct relay *relay, struct upstream *upstream,
                    bool paused)
{
    upstream->paused = paused;
    update_epoll_events(relay, upstream);
}
