/**
 * DOC: Connections to targets.
 *
 * A connection carries one request at a time and is kept for the next one.
 * Answers are told apart by the attempt that they name, as a target may send
 * one late or twice.
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
#include "gate/belief/dat.h"
#include "gate/belief/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/relay/internal.h"

enum {
    CONNECT_MS = 1000, /* a lost packet is sent again within it */
    SILENCE_MS = 1500, /* sent bytes are acknowledged by then, or the
                        * target is unreachable */
    KEEP_ALIVE_S = 1,  /* a silent peer is noticed after 3 s */
    KEEP_ALIVE_PROBES = 2,
    KEEP_MS = 8000,       /* for targets that don't tell how long they keep */
    KEEP_MARGIN_MS = 700, /* a request on its way must not meet the close */
    FRESH_MS = 1500, /* an idle connection may be dropped without notice */
};

static int
got_status(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    head_start(&upstream->head, bytes, count);
    return 0;
}

static int
got_name(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    return head_name(&upstream->head, bytes, count) ? 0 : -1;
}

static int
got_value(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    return head_value(&upstream->head, bytes, count) ? 0 : -1;
}

static int
got_head(http_parser *parser)
{
    struct upstream *upstream = parser->data;

    head_end(&upstream->head);
    upstream->head_done = true;
    return upstream->no_body ? 1 : 0;
}

static int
got_body(http_parser *parser, const char *bytes, size_t count)
{
    struct upstream *upstream = parser->data;

    g_byte_array_append(upstream->chunk, (const guint8 *)bytes, (guint)count);
    return 0;
}

static int
got_whole(http_parser *parser)
{
    struct upstream *upstream = parser->data;

    upstream->complete = true;
    upstream->keep = http_should_keep_alive(parser);
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_status = got_status,
    .on_header_field = got_name,
    .on_header_value = got_value,
    .on_headers_complete = got_head,
    .on_body = got_body,
    .on_message_complete = got_whole,
};

static void
start_answer(struct upstream *upstream)
{
    http_parser_init(&upstream->parser, HTTP_RESPONSE);
    upstream->parser.data = upstream;
    head_reset(&upstream->head);
    g_byte_array_set_size(upstream->chunk, 0);
    memset(&upstream->facts, 0, sizeof(upstream->facts));
    upstream->head_done = false;
    upstream->judged = false;
    upstream->other = false;
    upstream->complete = false;
}

static void
watch(struct relay *relay, struct upstream *upstream)
{
    uint32_t events = upstream->paused ? 0 : EPOLLIN;

    if (!upstream->ready || upstream->out->len > upstream->out_start) {
        events |= EPOLLOUT;
    }
    if (events != upstream->events) {
        upstream->events = events;
        relay_watch(relay, EPOLL_CTL_MOD, upstream->fd, events, WATCH_UPSTREAM,
                    upstream->self);
    }
}

static void
set_options(int fd)
{
    int on = 1;
    int idle = KEEP_ALIVE_S;
    int probes = KEEP_ALIVE_PROBES;
    unsigned silence = SILENCE_MS;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence, sizeof(silence));
}

static struct upstream *
connect_to(struct relay *relay, struct relay_target *target, int64_t now_ms)
{
    struct handle handle;
    struct err err = {0};
    struct upstream *upstream = table_alloc(&relay->upstreams, &handle, &err);
    int fd = -1;

    if (upstream != NULL) {
        fd = socket_connect(target->choose.info.address, &err);
    }
    if (fd < 0) {
        log_line(LOG_PRI_WARNING, "relay",
                 "event=no_connection target=%s address=%s reason=%s",
                 target->choose.info.id, target->choose.info.address,
                 err.text);
        if (upstream != NULL) {
            table_free(&relay->upstreams, handle);
            health_unreachable(&target->choose.health, now_ms);
        }
        return NULL;
    }
    set_options(fd);
    upstream->self = handle;
    upstream->target = target->self;
    upstream->fd = fd;
    upstream->timer.kind = TIMER_UPSTREAM;
    upstream->keep_ms = KEEP_MS;
    head_init(&upstream->head);
    upstream->chunk = g_byte_array_new();
    upstream->out = g_byte_array_new();
    upstream->events = EPOLLOUT;
    relay_watch(relay, EPOLL_CTL_ADD, fd, upstream->events, WATCH_UPSTREAM,
                handle);
    heap_set(&relay->timers, &upstream->timer, now_ms + CONNECT_MS);
    target->connections++;
    counter_add(CTR_CONNECTS, 1);
    return upstream;
}

static void
forget_idle(struct relay_target *target, struct handle handle)
{
    for (guint i = 0; i < target->idle->len; i++) {
        if (g_array_index(target->idle, struct handle, i).index ==
            handle.index) {
            g_array_remove_index(target->idle, i);
            return;
        }
    }
}

/* A connection that the target has closed, or on which bytes came that belong
 * to no request, can't be used. */
static bool
is_quiet(const struct upstream *upstream)
{
    char byte;

    return recv(upstream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

/**
 * upstream_take() - a connection to a target, kept or new
 * @relay: the relay
 * @target: the target
 * @repeatable: the request may be sent again if the connection turns out to
 *              have been dropped without notice
 * @now_ms: present time
 *
 * Return: a connection without a request; NULL when none can be made.
 */
struct upstream *
upstream_take(struct relay *relay, struct relay_target *target,
              bool repeatable, int64_t now_ms)
{
    while (target->idle->len > 0) {
        struct handle handle =
            g_array_index(target->idle, struct handle, target->idle->len - 1);
        struct upstream *upstream = table_get(&relay->upstreams, handle);

        if (upstream != NULL && !repeatable &&
            now_ms - upstream->idle_since_ms > FRESH_MS) {
            break;
        }
        g_array_set_size(target->idle, target->idle->len - 1);
        if (upstream != NULL && is_quiet(upstream)) {
            heap_remove(&relay->timers, &upstream->timer);
            return upstream;
        }
        if (upstream != NULL) {
            upstream_drop(relay, upstream);
        }
    }
    return connect_to(relay, target, now_ms);
}

/* The request is no longer the connection's. */
static void
detach(struct relay *relay, struct upstream *upstream)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    if (exchange != NULL) {
        exchange->upstream = (struct handle){0};
    }
    if (upstream->exchange.generation != 0 && target != NULL) {
        target->choose.running--;
        queue_wake_target(relay, target);
    }
    upstream->exchange = (struct handle){0};
}

/**
 * upstream_drop() - close a connection; a target drops its request then
 * @relay: the relay
 * @upstream: the connection; gone afterwards
 */
void
upstream_drop(struct relay *relay, struct upstream *upstream)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    detach(relay, upstream);
    if (target != NULL) {
        forget_idle(target, upstream->self);
        target->connections--;
    }
    heap_remove(&relay->timers, &upstream->timer);
    close(upstream->fd);
    head_clear(&upstream->head);
    g_byte_array_free(upstream->chunk, TRUE);
    g_byte_array_free(upstream->out, TRUE);
    table_free(&relay->upstreams, upstream->self);
}

/**
 * upstream_release() - the request needs the rest of the answer no longer
 * @relay: the relay
 * @upstream: the connection, in the middle of an answer
 *
 * Only for answers that end soon: the rest is read and discarded.
 */
void
upstream_release(struct relay *relay, struct upstream *upstream)
{
    detach(relay, upstream);
    upstream->other = true;
    heap_set(&relay->timers, &upstream->timer, clock_now_ms() + CONNECT_MS);
}

static bool
flush(struct upstream *upstream)
{
    while (upstream->out_start < upstream->out->len) {
        ssize_t sent =
            send(upstream->fd, upstream->out->data + upstream->out_start,
                 upstream->out->len - upstream->out_start,
                 MSG_NOSIGNAL | MSG_DONTWAIT);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent < 0) {
            return errno == EAGAIN || errno == EWOULDBLOCK;
        }
        upstream->out_start += (size_t)sent;
    }
    g_byte_array_set_size(upstream->out, 0);
    upstream->out_start = 0;
    return true;
}

static void
write_request(struct relay *relay, struct upstream *upstream,
              struct exchange *exchange, const char *target, int64_t now_ms)
{
    GString *head = g_string_new(NULL);
    struct send_facts facts = {
        .target = target,
        .left_ms = exchange->due_ms - now_ms,
        .urgency = exchange_urgency(exchange),
        .last_event = exchange->events.last,
    };

    g_string_printf(head, "%s %s HTTP/1.1\r\n",
                    http_method_str((enum http_method)exchange->method),
                    exchange->path);
    g_string_append_len(head, exchange->fields->str,
                        (gssize)exchange->fields->len);
    relay->dialect->ops->send(relay->dialect, &facts, head);
    if (exchange->body->len > 0 || exchange->method == HTTP_POST ||
        exchange->method == HTTP_PUT || exchange->method == HTTP_PATCH) {
        g_string_append_printf(head, "Content-Length: %u\r\n",
                               exchange->body->len);
    }
    g_string_append(head, "\r\n");
    g_byte_array_append(upstream->out, (const guint8 *)head->str,
                        (guint)head->len);
    g_byte_array_append(upstream->out, exchange->body->data,
                        exchange->body->len);
    g_string_free(head, TRUE);
}

/**
 * upstream_send() - send a request
 * @relay: the relay
 * @upstream: a connection without a request
 * @exchange: the request
 * @now_ms: present time
 */
void
upstream_send(struct relay *relay, struct upstream *upstream,
              struct exchange *exchange, int64_t now_ms)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    start_answer(upstream);
    upstream->no_body = exchange->head_method;
    upstream->exchange = exchange->self;
    exchange->upstream = upstream->self;
    target->choose.running++;
    write_request(relay, upstream, exchange, target->choose.info.id, now_ms);
    if (upstream->ready) {
        upstream->used++;
        /* A broken connection is reported by its next event. */
        if (!flush(upstream)) {
            g_byte_array_set_size(upstream->out, 0);
            upstream->out_start = 0;
        }
    }
    watch(relay, upstream);
}

/* Nothing of the request has left this instance. */
static void
connect_failed(struct relay *relay, struct upstream *upstream,
               const char *reason, int64_t now_ms)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);

    if (target != NULL) {
        health_unreachable(&target->choose.health, now_ms);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=unreachable target=%s address=%s reason=%s row=%d "
                 "id=%s",
                 target->choose.info.id, target->choose.info.address, reason,
                 target->choose.health.row,
                 exchange != NULL ? exchange->facts.attempt : "-");
    }
    upstream_drop(relay, upstream);
    if (exchange != NULL) {
        exchange->sends--;
        exchange->runs--;
        result_unreachable(relay, exchange, now_ms);
    }
}

static void
broken(struct relay *relay, struct upstream *upstream, const char *reason,
       int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);

    if (exchange != NULL) {
        result_broken(relay, exchange, reason, now_ms);
    }
    else {
        upstream_drop(relay, upstream);
    }
}

/* Returns false when the connection is gone. */
static bool
finish_connect(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    int error = 0;
    socklen_t bytes = sizeof(error);

    getsockopt(upstream->fd, SOL_SOCKET, SO_ERROR, &error, &bytes);
    if (error != 0) {
        connect_failed(relay, upstream, strerror(error), now_ms);
        return false;
    }
    upstream->ready = true;
    upstream->used++;
    heap_remove(&relay->timers, &upstream->timer);
    return true;
}

static void
read_facts(struct relay *relay, struct upstream *upstream)
{
    const struct head *head = &upstream->head;

    for (int i = 0; i < head_count(head); i++) {
        relay->dialect->ops->answer_field(
            relay->dialect, head_field_name(head, i),
            head_field_value(head, i), &upstream->facts);
    }
}

/* The target's Keep-Alive: timeout, in whole seconds. */
static void
read_keep(struct upstream *upstream)
{
    const char *text = head_find(&upstream->head, "Keep-Alive");
    const char *timeout = text != NULL ? strstr(text, "timeout=") : NULL;

    if (timeout != NULL) {
        int64_t seconds = g_ascii_strtoll(timeout + 8, NULL, 10);

        upstream->keep_ms = MAX(seconds * 1000 - KEEP_MARGIN_MS, 0);
    }
}

/* A proven refusal may lack the attempt when the target could not read it. */
static bool
is_ours(const struct upstream *upstream, const struct exchange *exchange)
{
    const struct answer_facts *facts = &upstream->facts;

    if (facts->attempt[0] != '\0') {
        return strcmp(facts->attempt, exchange->facts.attempt) == 0;
    }
    return facts->not_run || upstream->parser.status_code == 421;
}

/* Returns false when the connection is gone. */
static bool
judge(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    struct handle self = upstream->self;

    upstream->judged = true;
    if (upstream->other || exchange == NULL) {
        return true;
    }
    read_facts(relay, upstream);
    read_keep(upstream);
    if (!is_ours(upstream, exchange)) {
        counter_add(CTR_ANSWER_STALE, 1);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=other_answer id=%s answers=%s status=%d",
                 exchange->facts.attempt, upstream->facts.attempt,
                 (int)upstream->parser.status_code);
        upstream->other = true;
        return true;
    }
    result_head(relay, exchange, upstream, now_ms);
    return table_get(&relay->upstreams, self) != NULL;
}

static void
become_idle(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct relay_target *target = table_get(&relay->targets, upstream->target);

    if (target == NULL || !upstream->keep || upstream->surplus ||
        upstream->keep_ms <= 0 || target->choose.info.leaving ||
        upstream->out->len > upstream->out_start) {
        upstream_drop(relay, upstream);
        return;
    }
    start_answer(upstream);
    upstream->idle_since_ms = now_ms;
    g_array_append_val(target->idle, upstream->self);
    heap_set(&relay->timers, &upstream->timer, now_ms + upstream->keep_ms);
    watch(relay, upstream);
}

/* The present answer is whole. Returns false when the connection is gone or
 * has nothing more to read. */
static bool
complete(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);

    if (upstream->other && exchange != NULL) {
        /* Ours is still to come, if the connection stays. */
        if (!upstream->keep) {
            broken(relay, upstream, "other_answer_closed", now_ms);
            return false;
        }
        start_answer(upstream);
        return true;
    }
    detach(relay, upstream);
    become_idle(relay, upstream, now_ms);
    if (exchange != NULL) {
        result_complete(relay, exchange, now_ms);
    }
    return false;
}

/* Passes on what the parser has found. Returns false when the connection is
 * gone or has nothing more to read. */
static bool
progress(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    struct handle self = upstream->self;
    struct exchange *exchange;

    if (upstream->head_done && !upstream->judged &&
        !judge(relay, upstream, now_ms)) {
        return false;
    }
    exchange = table_get(&relay->exchanges, upstream->exchange);
    if (exchange != NULL && !upstream->other && upstream->chunk->len > 0) {
        result_body(relay, exchange, upstream->chunk->data,
                    upstream->chunk->len, now_ms);
        if (table_get(&relay->upstreams, self) == NULL) {
            return false;
        }
    }
    g_byte_array_set_size(upstream->chunk, 0);
    return !upstream->complete || complete(relay, upstream, now_ms);
}

static void
parse(struct relay *relay, struct upstream *upstream,
      const unsigned char *bytes, size_t count, int64_t now_ms)
{
    do {
        size_t taken = http_parser_execute(&upstream->parser, &parser_settings,
                                           (const char *)bytes, count);
        bool whole = upstream->complete;

        if (whole) {
            http_parser_pause(&upstream->parser, 0);
            upstream->surplus = taken < count && !upstream->other;
        }
        else if (upstream->parser.upgrade ||
                 HTTP_PARSER_ERRNO(&upstream->parser) != HPE_OK) {
            broken(relay, upstream, "not_http", now_ms);
            return;
        }
        if (!progress(relay, upstream, now_ms)) {
            return;
        }
        bytes += taken;
        count -= taken;
    } while (count > 0);
}

/* The target has closed the connection; an answer without a length is whole
 * then. */
static void
closed(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    if (upstream->head_done) {
        http_parser_execute(&upstream->parser, &parser_settings, NULL, 0);
        if (upstream->complete) {
            upstream->keep = false;
            progress(relay, upstream, now_ms);
            return;
        }
    }
    broken(relay, upstream, "closed", now_ms);
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
        closed(relay, upstream, now_ms);
    }
    else if (count < 0) {
        broken(relay, upstream, errno == ETIMEDOUT ? "unreachable" : "reset",
               now_ms);
    }
    else if (upstream->exchange.generation == 0 && !upstream->other) {
        upstream_drop(relay, upstream);
    }
    else {
        parse(relay, upstream, relay->buffer, (size_t)count, now_ms);
    }
}

/**
 * upstream_event() - the connection is made, readable, writable or broken
 * @relay: the relay
 * @upstream: the connection; may be gone afterwards
 * @events: epoll's events
 * @now_ms: present time
 */
void
upstream_event(struct relay *relay, struct upstream *upstream, uint32_t events,
               int64_t now_ms)
{
    struct handle self = upstream->self;

    if (!upstream->ready && !finish_connect(relay, upstream, now_ms)) {
        return;
    }
    /* Data that came before a reset is still there to be read. */
    if (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
        receive(relay, upstream, now_ms);
        upstream = table_get(&relay->upstreams, self);
    }
    if (upstream == NULL) {
        return;
    }
    if (!flush(upstream)) {
        broken(relay, upstream, "reset", now_ms);
        return;
    }
    watch(relay, upstream);
}

/**
 * upstream_timer() - no connection in time, or it was idle long enough
 * @relay: the relay
 * @upstream: the connection; gone afterwards
 * @now_ms: present time
 */
void
upstream_timer(struct relay *relay, struct upstream *upstream, int64_t now_ms)
{
    if (!upstream->ready) {
        connect_failed(relay, upstream, "no answer", now_ms);
    }
    else {
        upstream_drop(relay, upstream);
    }
}

/**
 * upstream_pause() - stop or go on reading an answer
 * @relay: the relay
 * @upstream: the connection
 * @paused: whether to stop
 */
void
upstream_pause(struct relay *relay, struct upstream *upstream, bool paused)
{
    upstream->paused = paused;
    watch(relay, upstream);
}
