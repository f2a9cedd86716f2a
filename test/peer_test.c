/* Tests of frames, links and the duty that sends them between instances. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"

/* WATCHDOG_MS limits a test that would otherwise hang; no result depends on
 * it. */
enum { WATCHDOG_MS = 30000, SENDER = 7, RECEIVED_MAX = 8192 };

enum mutation {
    MUTATE_NOTHING,
    MUTATE_LENGTH,
    MUTATE_VERSION,
    MUTATE_FROM,
    MUTATE_BYTES,
    MUTATE_MANY_EMPTY,
    MUTATE_TRUNCATE,
};

/* Guards against a malformed frame that is accepted or shifts the start of the
 * next frame. */
struct frame_case {
    const char *name;
    enum mutation mutation;
    uint64_t value;
    enum frame_result result;
};

static const struct frame_case frame_cases[] = {
    {"valid", MUTATE_NOTHING, 0, FRAME_READY},
    {"length_zero", MUTATE_LENGTH, 0, FRAME_INVALID},
    {"length_over_limit", MUTATE_LENGTH, PEER_FRAME_MAX_BYTES + 1,
     FRAME_INVALID},
    {"length_all_ones", MUTATE_LENGTH, UINT32_MAX, FRAME_INVALID},
    {"length_short", MUTATE_LENGTH, 3, FRAME_INVALID},
    {"length_at_limit", MUTATE_LENGTH, PEER_FRAME_MAX_BYTES, FRAME_INCOMPLETE},
    {"version_older", MUTATE_VERSION, 0, FRAME_INVALID},
    {"version_newer", MUTATE_VERSION, 2, FRAME_INVALID},
    {"no_sender", MUTATE_FROM, 0, FRAME_INVALID},
    {"garbage", MUTATE_BYTES, 0xff, FRAME_INVALID},
    {"zero_bytes", MUTATE_BYTES, 0, FRAME_INVALID},
    {"many_empty_messages", MUTATE_MANY_EMPTY, 0, FRAME_INVALID},
    {"truncated_in_header", MUTATE_TRUNCATE, 3, FRAME_INCOMPLETE},
    {"truncated_after_header", MUTATE_TRUNCATE, 4, FRAME_INCOMPLETE},
    {"truncated_in_body", MUTATE_TRUNCATE, 9, FRAME_INCOMPLETE},
};

static GByteArray *
encode_ping_frame(uint32_t version, uint64_t from, uint64_t sequence)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Ping ping = TURMERIC__PING__INIT;
    GByteArray *frame = g_byte_array_new();
    guint32 length;

    ping.sequence = sequence;
    envelope.version = version;
    envelope.from = from;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_PING;
    envelope.ping = &ping;
    length = (guint32)turmeric__envelope__get_packed_size(&envelope);
    g_byte_array_set_size(frame, FRAME_HEADER_BYTES + length);
    length = htonl(length);
    memcpy(frame->data, &length, sizeof(length));
    turmeric__envelope__pack(&envelope, frame->data + FRAME_HEADER_BYTES);
    return frame;
}

/* A Ping of almost 1 MiB that consists of empty MemberNews of 2 bytes each. */
static GByteArray *
many_empty_frame(void)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Ping ping = TURMERIC__PING__INIT;
    Turmeric__MemberNews empty = TURMERIC__MEMBER_NEWS__INIT;
    GByteArray *frame = g_byte_array_new();
    guint32 length;

    ping.n_news = PEER_FRAME_MAX_BYTES / 2 - 100;
    ping.news = g_new(Turmeric__MemberNews *, ping.n_news);
    for (size_t i = 0; i < ping.n_news; i++) {
        ping.news[i] = &empty;
    }
    envelope.version = PEER_PROTOCOL_VERSION;
    envelope.from = SENDER;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_PING;
    envelope.ping = &ping;
    length = (guint32)turmeric__envelope__get_packed_size(&envelope);
    g_assert_cmpuint(length, <=, PEER_FRAME_MAX_BYTES);
    g_byte_array_set_size(frame, FRAME_HEADER_BYTES + length);
    turmeric__envelope__pack(&envelope, frame->data + FRAME_HEADER_BYTES);
    length = htonl(length);
    memcpy(frame->data, &length, sizeof(length));
    g_free(ping.news);
    return frame;
}

static GByteArray *
mutated_frame(const struct frame_case *c)
{
    GByteArray *frame;
    guint32 length = htonl((guint32)c->value);

    if (c->mutation == MUTATE_MANY_EMPTY) {
        return many_empty_frame();
    }
    frame = encode_ping_frame(
        c->mutation == MUTATE_VERSION ? (uint32_t)c->value
                                      : PEER_PROTOCOL_VERSION,
        c->mutation == MUTATE_FROM ? c->value : SENDER, 1);
    if (c->mutation == MUTATE_LENGTH) {
        memcpy(frame->data, &length, sizeof(length));
    }
    if (c->mutation == MUTATE_BYTES) {
        memset(frame->data + FRAME_HEADER_BYTES, (int)c->value,
               frame->len - FRAME_HEADER_BYTES);
    }
    if (c->mutation == MUTATE_TRUNCATE) {
        g_byte_array_set_size(frame, (guint)c->value);
    }
    return frame;
}

static void
test_frame(gconstpointer data)
{
    const struct frame_case *c = data;
    GByteArray *frame = mutated_frame(c);
    struct frame_reader reader = {0};
    struct err err = {0};
    Turmeric__Envelope *envelope = NULL;

    g_assert_true(frame_reader_append(&reader, frame->data, frame->len, &err));
    g_assert_cmpint(frame_reader_next(&reader, &envelope, &err), ==,
                    c->result);
    g_assert_true((envelope != NULL) == (c->result == FRAME_READY));
    g_assert_cmpint(err.kind, ==,
                    c->result == FRAME_INVALID ? ERR_BAD_FRAME : ERR_NONE);
    if (envelope != NULL) {
        g_assert_cmpuint(envelope->from, ==, SENDER);
        turmeric__envelope__free_unpacked(envelope, NULL);
    }
    frame_reader_free(&reader);
    g_byte_array_unref(frame);
}

/* Guards against frames that are lost or corrupted when TCP splits or joins
 * them. */
static const size_t piece_sizes[] = {1, 2, 3, 4, 5, 7, 16, 21, 64, 1000};

static void
test_frame_pieces(gconstpointer data)
{
    size_t piece = *(const size_t *)data;
    GByteArray *stream = g_byte_array_new();
    struct frame_reader reader = {0};
    struct err err = {0};
    uint64_t expected = 0;

    for (uint64_t i = 0; i < 50; i++) {
        GByteArray *frame =
            encode_ping_frame(PEER_PROTOCOL_VERSION, SENDER, i);

        g_byte_array_append(stream, frame->data, frame->len);
        g_byte_array_unref(frame);
    }
    for (size_t at = 0; at < stream->len; at += piece) {
        Turmeric__Envelope *envelope;
        size_t count = MIN(piece, stream->len - at);

        g_assert_true(
            frame_reader_append(&reader, stream->data + at, count, &err));
        while (frame_reader_next(&reader, &envelope, &err) == FRAME_READY) {
            g_assert_cmpuint(envelope->ping->sequence, ==, expected);
            expected++;
            turmeric__envelope__free_unpacked(envelope, NULL);
        }
        g_assert_cmpint(err.kind, ==, ERR_NONE);
    }
    g_assert_cmpuint(expected, ==, 50);
    frame_reader_free(&reader);
    g_byte_array_unref(stream);
}

/* Guards against a link that reconnects without backoff, backs off for too
 * long or keeps a connection that makes no progress. Events of the steps: 'o'
 * starts to connect, 'u' connects, 'x' closes, 'q' queues a frame, 't' only
 * checks. */
struct link_step {
    char event;
    int64_t at_ms;
    int64_t backoff_ms;
    bool timed_out;
};

struct link_case {
    const char *name;
    struct link_step steps[10];
};

static const struct link_case link_cases[] = {
    {"backoff_doubles_to_5_s",
     {{'x', 0, 100, false},
      {'x', 100, 200, false},
      {'x', 300, 400, false},
      {'x', 700, 800, false},
      {'x', 1500, 1600, false},
      {'x', 3100, 3200, false},
      {'x', 6300, 5000, false},
      {'x', 11300, 5000, false}}},
    {"short_connection_keeps_backoff",
     {{'x', 0, 100, false},
      {'u', 100, 100, false},
      {'x', 200, 200, false},
      {'u', 400, 200, false},
      {'x', 5399, 400, false}}},
    {"stable_connection_resets_backoff",
     {{'x', 0, 100, false},
      {'x', 100, 200, false},
      {'u', 300, 200, false},
      {'x', 5300, 100, false}}},
    {"connect_times_out",
     {{'o', 0, 0, false}, {'t', 1999, 0, false}, {'t', 2000, 0, true}}},
    {"idle_connection_stays",
     {{'u', 0, 0, false}, {'t', 4999, 0, false}, {'t', 99999, 0, false}}},
    {"write_times_out",
     {{'u', 0, 0, false},
      {'q', 70000, 0, false},
      {'t', 74999, 0, false},
      {'t', 75000, 0, true}}},
};

static struct peer_frame *
queued_frame(void)
{
    struct peer_frame *frame = calloc(1, sizeof(*frame));

    frame->bytes = malloc(8);
    frame->count = 8;
    return frame;
}

static void
link_step(struct peer_link *link, const struct link_step *step)
{
    if (step->event == 'o' || step->event == 'u') {
        link_connect_started(link, 100, step->at_ms);
    }
    if (step->event == 'u') {
        link_connected(link, step->at_ms);
    }
    if (step->event == 'x') {
        link_closed(link, step->at_ms);
    }
    if (step->event == 'q') {
        link_push(link, queued_frame(), step->at_ms);
    }
}

static void
test_link(gconstpointer data)
{
    const struct link_case *c = data;
    struct peer_link link = {.fd = -1};

    for (int i = 0; c->steps[i].event != 0; i++) {
        link_step(&link, &c->steps[i]);
        g_assert_cmpint(link.backoff_ms, ==, c->steps[i].backoff_ms);
        g_assert_true(link_timed_out(&link, c->steps[i].at_ms) ==
                      c->steps[i].timed_out);
    }
    link_drop_all(&link);
}

/* Guards against expired frames that stay queued for an unreachable member,
 * and against dropping a partly written frame. */
static void
test_link_drops_expired(void)
{
    struct peer_link link = {.fd = -1};

    link_push(&link, queued_frame(), 0);
    link_push(&link, queued_frame(), 1000);
    link_closed(&link, 1000);
    g_assert_false(link_connect_due(&link, 1099));
    g_assert_true(link_connect_due(&link, 1100));
    g_assert_cmpuint(link_drop_expired(&link, 5999), ==, 0);
    g_assert_cmpuint(link_drop_expired(&link, 6000), ==, 8);
    link.head_sent_bytes = 1;
    g_assert_cmpuint(link_drop_expired(&link, 7000), ==, 0);
    link_closed(&link, 7000);
    g_assert_cmpuint(link_drop_expired(&link, 7000), ==, 8);
    g_assert_false(link_connect_due(&link, 99999));
}

/* An instance: the duty, its thread, and rings that record its callbacks. */
struct instance {
    struct peer_port port;
    struct peer *peer;
    pthread_t thread;
    struct ring received;
    struct ring broken_members;
};

static void
instance_deliver(struct peer_port *port, Turmeric__Envelope *envelope)
{
    struct instance *instance = (struct instance *)port;

    if (!ring_push(&instance->received, &envelope, NULL)) {
        turmeric__envelope__free_unpacked(envelope, NULL);
    }
}

static void
instance_connection_broken(struct peer_port *port, uint64_t member)
{
    ring_push(&((struct instance *)port)->broken_members, &member, NULL);
}

static const struct peer_port_ops instance_ops = {instance_deliver,
                                                  instance_connection_broken};

static void *
instance_main(void *argument)
{
    struct duty *duty = argument;
    struct err err = {0};

    return duty->ops->run(duty, &err) ? argument : NULL;
}

static void
instance_new(struct instance *instance, uint64_t id, int port)
{
    struct err err = {0};
    char *address = g_strdup_printf("127.0.0.1:%d", port);

    instance->port.ops = &instance_ops;
    g_assert_true(ring_init(&instance->received, RECEIVED_MAX,
                            sizeof(Turmeric__Envelope *), &err));
    g_assert_true(ring_init(&instance->broken_members, RECEIVED_MAX,
                            sizeof(uint64_t), &err));
    instance->peer = peer_new(address, id, &instance->port, &err);
    g_assert_cmpstr(err.text, ==, "");
    g_assert_nonnull(instance->peer);
    g_free(address);
}

static void
instance_start(struct instance *instance, uint64_t id, int port)
{
    instance_new(instance, id, port);
    pthread_create(&instance->thread, NULL, instance_main,
                   peer_duty(instance->peer));
}

static void
instance_free(struct instance *instance)
{
    Turmeric__Envelope *envelope;

    peer_free(instance->peer);
    while (ring_pop(&instance->received, &envelope, 0) == RING_OK) {
        turmeric__envelope__free_unpacked(envelope, NULL);
    }
    ring_free(&instance->received);
    ring_free(&instance->broken_members);
}

static void
instance_stop(struct instance *instance)
{
    struct duty *duty = peer_duty(instance->peer);
    void *result;

    duty->ops->stop(duty);
    pthread_join(instance->thread, &result);
    g_assert_nonnull(result);
    instance_free(instance);
}

static void
set_peer_address(struct instance *from, uint64_t member, int port)
{
    char *address = g_strdup_printf("127.0.0.1:%d", port);

    g_assert_true(peer_set_address(from->peer, member, address));
    g_free(address);
}

static bool
send_ping(struct instance *from, uint64_t to, uint64_t sequence,
          size_t padding, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Ping ping = TURMERIC__PING__INIT;
    Turmeric__MemberNews news = TURMERIC__MEMBER_NEWS__INIT;
    Turmeric__MemberNews *list[] = {&news};
    bool sent;

    news.name = g_strnfill(padding, 'x');
    ping.sequence = sequence;
    ping.n_news = padding > 0 ? 1 : 0;
    ping.news = list;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_PING;
    envelope.ping = &ping;
    sent = peer_send(from->peer, to, &envelope, err);
    g_free(news.name);
    return sent;
}

/* Returns the sequence number, or UINT64_MAX after the timeout. */
static uint64_t
receive_ping(struct instance *instance, uint64_t from, int64_t timeout_ms)
{
    Turmeric__Envelope *envelope;
    uint64_t sequence;

    if (ring_pop(&instance->received, &envelope, timeout_ms) != RING_OK) {
        return UINT64_MAX;
    }
    g_assert_cmpuint(envelope->from, ==, from);
    g_assert_cmpuint(envelope->version, ==, PEER_PROTOCOL_VERSION);
    sequence = envelope->ping->sequence;
    turmeric__envelope__free_unpacked(envelope, NULL);
    return sequence;
}

/* Guards against lost, duplicated or reordered messages between two instances
 * that both send from several threads. */
enum { SENDERS = 4, MESSAGES_PER_SENDER = 500 };

struct sender {
    struct instance *from;
    uint64_t to;
    uint64_t first_sequence;
};

static void *
sender_main(void *argument)
{
    struct sender *sender = argument;

    for (uint64_t i = 0; i < MESSAGES_PER_SENDER; i++) {
        g_assert_true(send_ping(sender->from, sender->to,
                                sender->first_sequence + i, 0, NULL));
    }
    return NULL;
}

static void
receive_all(struct instance *instance, uint64_t from)
{
    uint64_t next[SENDERS] = {0};

    for (int i = 0; i < SENDERS * MESSAGES_PER_SENDER; i++) {
        uint64_t sequence = receive_ping(instance, from, WATCHDOG_MS);

        g_assert_cmpuint(sequence, <, SENDERS * MESSAGES_PER_SENDER);
        g_assert_cmpuint(sequence % MESSAGES_PER_SENDER, ==,
                         next[sequence / MESSAGES_PER_SENDER]);
        next[sequence / MESSAGES_PER_SENDER]++;
    }
}

static void
test_bidirectional(void)
{
    struct instance a;
    struct instance b;
    struct sender senders[2 * SENDERS];
    pthread_t threads[2 * SENDERS];

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    set_peer_address(&a, 2, peer_listen_port(b.peer));
    set_peer_address(&b, 1, peer_listen_port(a.peer));
    for (uint64_t i = 0; i < 2 * SENDERS; i++) {
        senders[i].from = i % 2 == 0 ? &a : &b;
        senders[i].to = i % 2 == 0 ? 2 : 1;
        senders[i].first_sequence = i / 2 * MESSAGES_PER_SENDER;
        pthread_create(&threads[i], NULL, sender_main, &senders[i]);
    }
    receive_all(&a, 2);
    receive_all(&b, 1);
    for (int i = 0; i < 2 * SENDERS; i++) {
        pthread_join(threads[i], NULL);
    }
    instance_stop(&a);
    instance_stop(&b);
}

/* Guards against a send that reports success or the wrong error for a message
 * that can't be sent. The duty doesn't run, so the queues only grow. */
struct refused_case {
    const char *name;
    bool address_known;
    size_t padding;
    int sends;
    bool stopped;
    enum err_kind last_error;
};

static const struct refused_case refused_cases[] = {
    {"accepted", true, 0, 1, false, ERR_NONE},
    {"no_address", false, 0, 1, false, ERR_NO_TARGET},
    {"too_large", true, PEER_FRAME_MAX_BYTES, 1, false, ERR_BODY_TOO_LARGE},
    {"queue_almost_full", true, 600 * 1024, 3, false, ERR_NONE},
    {"queue_full", true, 600 * 1024, 4, false, ERR_QUEUE_FULL},
    {"ring_almost_full", true, 0, 4096, false, ERR_NONE},
    {"ring_full", true, 0, 4097, false, ERR_RING_FULL},
    {"stopped", true, 0, 1, true, ERR_STOPPED},
};

static void
test_refused(gconstpointer data)
{
    const struct refused_case *c = data;
    struct instance a;
    struct duty *duty;
    struct err err = {0};

    instance_new(&a, 1, 0);
    duty = peer_duty(a.peer);
    if (c->address_known) {
        set_peer_address(&a, 2, peer_listen_port(a.peer));
    }
    if (c->stopped) {
        duty->ops->stop(duty);
    }
    for (int i = 0; i < c->sends; i++) {
        g_assert_cmpint(err.kind, ==, ERR_NONE);
        send_ping(&a, 2, 0, c->padding, &err);
    }
    g_assert_cmpint(err.kind, ==, c->last_error);
    instance_free(&a);
}

/* Guards against an address that is resolved by name, truncated or misparsed.
 */
struct address_case {
    const char *name;
    const char *address;
    bool usable;
};

static const struct address_case address_cases[] = {
    {"v4", "10.1.2.3:7000", true},
    {"v6", "[fd00::1]:7000", true},
    {"name", "localhost:7000", false},
    {"no_port", "10.1.2.3", false},
    {"empty_port", "10.1.2.3:", false},
    {"large_port", "10.1.2.3:65536", false},
    {"signed_port", "10.1.2.3:+80", false},
    {"v6_without_brackets", "fd00::1:7000", false},
    {"open_bracket", "[fd00::1:7000", false},
    {"empty", "", false},
    {"long",
     "10.1.2.3:0000000000000000000000000000000000000000000000000000000007000",
     false},
};

static void
test_address(gconstpointer data)
{
    const struct address_case *c = data;
    struct instance a;

    instance_new(&a, 1, 0);
    g_assert_true(peer_set_address(a.peer, 2, c->address) == c->usable);
    instance_free(&a);
}

static int
open_raw_socket(int port, bool listening, int *listen_port)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);
    int small = 4096;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)port);
    if (listening) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
        g_assert_cmpint(bind(fd, (struct sockaddr *)&address, bytes), ==, 0);
        g_assert_cmpint(listen(fd, 8), ==, 0);
        getsockname(fd, (struct sockaddr *)&address, &bytes);
        *listen_port = ntohs(address.sin_port);
    }
    else {
        g_assert_cmpint(connect(fd, (struct sockaddr *)&address, bytes), ==,
                        0);
    }
    return fd;
}

/* Guards against a connection that stays open after a malformed frame, and
 * against a malformed frame that ends the duty. */
static void
test_bad_frame_closes(gconstpointer data)
{
    const struct frame_case *c = data;
    GByteArray *frame = mutated_frame(c);
    struct instance a;
    struct instance b;
    uint64_t before = refusal_read(ERR_BAD_FRAME);
    char byte;
    int fd;

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    set_peer_address(&b, 1, peer_listen_port(a.peer));
    fd = open_raw_socket(peer_listen_port(a.peer), false, NULL);
    g_assert_cmpint(send(fd, frame->data, frame->len, MSG_NOSIGNAL), ==,
                    frame->len);
    g_assert_cmpint(recv(fd, &byte, 1, 0), <=, 0);
    g_assert_cmpuint(refusal_read(ERR_BAD_FRAME), ==, before + 1);
    g_assert_true(send_ping(&b, 1, 5, 0, NULL));
    g_assert_cmpuint(receive_ping(&a, 2, WATCHDOG_MS), ==, 5);
    close(fd);
    instance_stop(&a);
    instance_stop(&b);
    g_byte_array_unref(frame);
}

/* Guards against a slow reader that delays the messages to other members: only
 * messages to itself are refused once its queue is full. */
enum { SLOW_CHUNK_BYTES = 128 * 1024, SLOW_SENDS_MAX = 1000 };

static void
test_slow_reader(void)
{
    struct instance a;
    struct instance b;
    struct err err = {0};
    int port;
    int fd = open_raw_socket(0, true, &port);
    uint64_t sends = 0;

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    set_peer_address(&a, 2, peer_listen_port(b.peer));
    set_peer_address(&a, 3, port);
    while (sends < SLOW_SENDS_MAX && err.kind == ERR_NONE) {
        send_ping(&a, 3, 0, SLOW_CHUNK_BYTES, &err);
        g_assert_true(send_ping(&a, 2, sends, 0, NULL));
        g_assert_cmpuint(receive_ping(&b, 1, WATCHDOG_MS), ==, sends);
        sends++;
    }
    g_assert_cmpint(err.kind, ==, ERR_QUEUE_FULL);
    peer_remove_member(a.peer, 3);
    set_peer_address(&a, 3, port);
    err_clear(&err);
    g_assert_true(send_ping(&a, 3, 0, SLOW_CHUNK_BYTES, &err));
    close(fd);
    instance_stop(&a);
    instance_stop(&b);
}

/* Waits for the callback about a closed or refused connection. */
static void
assert_connection_broken(struct instance *instance, uint64_t member)
{
    uint64_t broken = 0;

    g_assert_cmpint(ring_pop(&instance->broken_members, &broken, WATCHDOG_MS),
                    ==, RING_OK);
    g_assert_cmpuint(broken, ==, member);
}

/* Guards against an instance that stays unreachable after its restart, at the
 * old or a new address, and against a closed or then refused connection that
 * is not reported. The message is repeated because the first ones may be lost
 * with the old connection. */
struct restart_case {
    const char *name;
    bool same_port;
};

static const struct restart_case restart_cases[] = {
    {"same_address", true},
    {"new_address", false},
};

static uint64_t
send_until_received(struct instance *from, struct instance *to,
                    uint64_t sequence)
{
    uint64_t received = UINT64_MAX;
    int64_t end_ms = clock_now_ms() + WATCHDOG_MS;

    while (received == UINT64_MAX && clock_now_ms() < end_ms) {
        g_assert_true(send_ping(from, 2, sequence, 0, NULL));
        received = receive_ping(to, 1, 200);
    }
    return received;
}

static void
test_restart(gconstpointer data)
{
    const struct restart_case *c = data;
    struct instance a;
    struct instance b;
    int port;

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    port = peer_listen_port(b.peer);
    set_peer_address(&a, 2, port);
    g_assert_true(send_ping(&a, 2, 1, 0, NULL));
    g_assert_cmpuint(receive_ping(&b, 1, WATCHDOG_MS), ==, 1);
    instance_stop(&b);
    assert_connection_broken(&a, 2);
    g_assert_true(send_ping(&a, 2, 2, 0, NULL));
    assert_connection_broken(&a, 2);
    instance_start(&b, 2, c->same_port ? port : 0);
    set_peer_address(&a, 2, peer_listen_port(b.peer));
    g_assert_cmpuint(send_until_received(&a, &b, 2), ==, 2);
    instance_stop(&a);
    instance_stop(&b);
}

/* Guards against queue space that is not released: the frames together exceed
 * the size of a queue several times. */
static void
test_queue_space_released(void)
{
    struct instance a;
    struct instance b;

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    set_peer_address(&a, 2, peer_listen_port(b.peer));
    for (uint64_t i = 0; i < 10; i++) {
        g_assert_true(send_ping(&a, 2, i, 900 * 1024, NULL));
        g_assert_cmpuint(receive_ping(&b, 1, WATCHDOG_MS), ==, i);
    }
    instance_stop(&a);
    instance_stop(&b);
}

/* Guards against messages that still go to a member's old address while a
 * process there still accepts them, and against a connection_broken callback
 * for a connection that this side closed. */
static void
test_address_change(void)
{
    struct instance a;
    struct instance old_instance;
    struct instance new_instance;
    uint64_t broken;

    instance_start(&a, 1, 0);
    instance_start(&old_instance, 2, 0);
    instance_start(&new_instance, 2, 0);
    set_peer_address(&a, 2, peer_listen_port(old_instance.peer));
    g_assert_true(send_ping(&a, 2, 1, 0, NULL));
    g_assert_cmpuint(receive_ping(&old_instance, 1, WATCHDOG_MS), ==, 1);
    set_peer_address(&a, 2, peer_listen_port(new_instance.peer));
    g_assert_cmpuint(send_until_received(&a, &new_instance, 2), ==, 2);
    g_assert_cmpint(ring_pop(&a.broken_members, &broken, 0), ==, RING_TIMEOUT);
    instance_stop(&a);
    instance_stop(&old_instance);
    instance_stop(&new_instance);
}

static void
add_case_test(const char *group, const char *name, gconstpointer data,
              GTestDataFunc function)
{
    char *path = g_strdup_printf("/peer/%s/%s", group, name);

    g_test_add_data_func(path, data, function);
    g_free(path);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(frame_cases); i++) {
        add_case_test("frame", frame_cases[i].name, &frame_cases[i],
                      test_frame);
        if (frame_cases[i].result == FRAME_INVALID) {
            add_case_test("bad_frame_closes", frame_cases[i].name,
                          &frame_cases[i], test_bad_frame_closes);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(piece_sizes); i++) {
        char *name = g_strdup_printf("%zu", piece_sizes[i]);

        add_case_test("frame_pieces", name, &piece_sizes[i],
                      test_frame_pieces);
        g_free(name);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(link_cases); i++) {
        add_case_test("link", link_cases[i].name, &link_cases[i], test_link);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(refused_cases); i++) {
        add_case_test("refused", refused_cases[i].name, &refused_cases[i],
                      test_refused);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(address_cases); i++) {
        add_case_test("address", address_cases[i].name, &address_cases[i],
                      test_address);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(restart_cases); i++) {
        add_case_test("restart", restart_cases[i].name, &restart_cases[i],
                      test_restart);
    }
    g_test_add_func("/peer/link_drops_expired", test_link_drops_expired);
    g_test_add_func("/peer/bidirectional", test_bidirectional);
    g_test_add_func("/peer/address_change", test_address_change);
    g_test_add_func("/peer/queue_space_released", test_queue_space_released);
    g_test_add_func("/peer/slow_reader", test_slow_reader);
    return g_test_run();
}
