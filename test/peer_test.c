/* Tests of frames and of the duty that moves them between instances. */
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

/* Ends a test that would otherwise hang; no verdict depends on it. */
enum { WATCHDOG_MS = 30000, SENDER = 7, RECEIVED_MAX = 8192 };

enum mutation {
    MUTATE_NOTHING,
    MUTATE_LENGTH,
    MUTATE_VERSION,
    MUTATE_FROM,
    MUTATE_BYTES,
    MUTATE_BOMB,
    MUTATE_CUT,
};

/* Guards against a malformed frame that is accepted, or read as the start of
 * the next one. */
struct frame_case {
    const char *name;
    enum mutation mutation;
    uint64_t value;
    enum frame_result result;
};

static const struct frame_case frame_cases[] = {
    {"good", MUTATE_NOTHING, 0, FRAME_READY},
    {"length_zero", MUTATE_LENGTH, 0, FRAME_BAD},
    {"length_over_limit", MUTATE_LENGTH, PEER_FRAME_MAX_BYTES + 1, FRAME_BAD},
    {"length_all_ones", MUTATE_LENGTH, UINT32_MAX, FRAME_BAD},
    {"length_short", MUTATE_LENGTH, 3, FRAME_BAD},
    {"length_at_limit", MUTATE_LENGTH, PEER_FRAME_MAX_BYTES, FRAME_MORE},
    {"version_older", MUTATE_VERSION, 0, FRAME_BAD},
    {"version_newer", MUTATE_VERSION, 2, FRAME_BAD},
    {"no_sender", MUTATE_FROM, 0, FRAME_BAD},
    {"garbage", MUTATE_BYTES, 0xff, FRAME_BAD},
    {"zero_bytes", MUTATE_BYTES, 0, FRAME_BAD},
    {"bomb_of_empty_messages", MUTATE_BOMB, 0, FRAME_BAD},
    {"cut_in_header", MUTATE_CUT, 3, FRAME_MORE},
    {"cut_after_header", MUTATE_CUT, 4, FRAME_MORE},
    {"cut_in_body", MUTATE_CUT, 9, FRAME_MORE},
};

static GByteArray *
frame_of(uint32_t version, uint64_t from, uint64_t sequence)
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

/* A Ping of 1 MiB that consists of news without content, 2 bytes each. */
static GByteArray *
bomb_frame(void)
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
    envelope.version = PEER_VERSION;
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

    if (c->mutation == MUTATE_BOMB) {
        return bomb_frame();
    }
    frame = frame_of(c->mutation == MUTATE_VERSION ? (uint32_t)c->value
                                                   : PEER_VERSION,
                     c->mutation == MUTATE_FROM ? c->value : SENDER, 1);
    if (c->mutation == MUTATE_LENGTH) {
        memcpy(frame->data, &length, sizeof(length));
    }
    if (c->mutation == MUTATE_BYTES) {
        memset(frame->data + FRAME_HEADER_BYTES, (int)c->value,
               frame->len - FRAME_HEADER_BYTES);
    }
    if (c->mutation == MUTATE_CUT) {
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

    g_assert_true(frame_add(&reader, frame->data, frame->len, &err));
    g_assert_cmpint(frame_next(&reader, &envelope, &err), ==, c->result);
    g_assert_true((envelope != NULL) == (c->result == FRAME_READY));
    g_assert_cmpint(err.kind, ==,
                    c->result == FRAME_BAD ? ERR_BAD_FRAME : ERR_NONE);
    if (envelope != NULL) {
        g_assert_cmpuint(envelope->from, ==, SENDER);
        turmeric__envelope__free_unpacked(envelope, NULL);
    }
    frame_reader_free(&reader);
    g_byte_array_unref(frame);
}

/* Guards against frames that are lost or torn when TCP delivers them in other
 * pieces than they were sent in. */
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
        GByteArray *frame = frame_of(PEER_VERSION, SENDER, i);

        g_byte_array_append(stream, frame->data, frame->len);
        g_byte_array_unref(frame);
    }
    for (size_t at = 0; at < stream->len; at += piece) {
        Turmeric__Envelope *envelope;
        size_t count = MIN(piece, stream->len - at);

        g_assert_true(frame_add(&reader, stream->data + at, count, &err));
        while (frame_next(&reader, &envelope, &err) == FRAME_READY) {
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

/* Guards against a link that reconnects without pause, waits too long, or
 * keeps a connection that makes no progress. Each step is a time and what
 * happens then. */
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
        link_opened(link, 100, step->at_ms);
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

/* Guards against an unreachable member whose queue is never emptied, and
 * against a frame that is cut off in the middle. */
static void
test_link_drops_old(void)
{
    struct peer_link link = {.fd = -1};

    link_push(&link, queued_frame(), 0);
    link_push(&link, queued_frame(), 1000);
    link_closed(&link, 1000);
    g_assert_false(link_wants_connect(&link, 1099));
    g_assert_true(link_wants_connect(&link, 1100));
    g_assert_cmpuint(link_drop_old(&link, 5999), ==, 0);
    g_assert_cmpuint(link_drop_old(&link, 6000), ==, 8);
    link.sent = 1;
    g_assert_cmpuint(link_drop_old(&link, 7000), ==, 0);
    link_closed(&link, 7000);
    g_assert_cmpuint(link_drop_old(&link, 7000), ==, 8);
    g_assert_false(link_wants_connect(&link, 99999));
}

/* An instance: the duty in its thread, and a ring of what it receives. */
struct instance {
    struct peer_port port;
    struct peer *peer;
    pthread_t thread;
    struct ring received;
    struct ring broken;
};

static void
instance_message(struct peer_port *port, Turmeric__Envelope *envelope)
{
    struct instance *instance = (struct instance *)port;

    if (!ring_push(&instance->received, &envelope, NULL)) {
        turmeric__envelope__free_unpacked(envelope, NULL);
    }
}

static void
instance_broken(struct peer_port *port, uint64_t member)
{
    ring_push(&((struct instance *)port)->broken, &member, NULL);
}

static const struct peer_port_ops instance_ops = {instance_message,
                                                  instance_broken};

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
    g_assert_true(
        ring_init(&instance->broken, RECEIVED_MAX, sizeof(uint64_t), &err));
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
    ring_free(&instance->broken);
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
introduce(struct instance *from, uint64_t member, int port)
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

/* Returns the sequence number, or UINT64_MAX after the time. */
static uint64_t
receive_ping(struct instance *instance, uint64_t from, int64_t timeout_ms)
{
    Turmeric__Envelope *envelope;
    uint64_t sequence;

    if (ring_pop(&instance->received, &envelope, timeout_ms) != RING_OK) {
        return UINT64_MAX;
    }
    g_assert_cmpuint(envelope->from, ==, from);
    g_assert_cmpuint(envelope->version, ==, PEER_VERSION);
    sequence = envelope->ping->sequence;
    turmeric__envelope__free_unpacked(envelope, NULL);
    return sequence;
}

/* Guards against lost, doubled or reordered messages between two instances
 * that both send from several threads at once. */
enum { SENDERS = 4, SENT_EACH = 500 };

struct sender {
    struct instance *from;
    uint64_t to;
    uint64_t first;
};

static void *
sender_main(void *argument)
{
    struct sender *sender = argument;

    for (uint64_t i = 0; i < SENT_EACH; i++) {
        g_assert_true(
            send_ping(sender->from, sender->to, sender->first + i, 0, NULL));
    }
    return NULL;
}

static void
receive_all(struct instance *instance, uint64_t from)
{
    uint64_t next[SENDERS] = {0};

    for (int i = 0; i < SENDERS * SENT_EACH; i++) {
        uint64_t sequence = receive_ping(instance, from, WATCHDOG_MS);

        g_assert_cmpuint(sequence, <, SENDERS * SENT_EACH);
        g_assert_cmpuint(sequence % SENT_EACH, ==, next[sequence / SENT_EACH]);
        next[sequence / SENT_EACH]++;
    }
}

static void
test_both_ways(void)
{
    struct instance a;
    struct instance b;
    struct sender senders[2 * SENDERS];
    pthread_t threads[2 * SENDERS];

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    introduce(&a, 2, peer_listen_port(b.peer));
    introduce(&b, 1, peer_listen_port(a.peer));
    for (uint64_t i = 0; i < 2 * SENDERS; i++) {
        senders[i].from = i % 2 == 0 ? &a : &b;
        senders[i].to = i % 2 == 0 ? 2 : 1;
        senders[i].first = i / 2 * SENT_EACH;
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

/* Guards against a send that reports success, or the wrong error, for a
 * message that can't be sent. The duty doesn't run, so nothing drains. */
struct refused_case {
    const char *name;
    bool known;
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
    if (c->known) {
        introduce(&a, 2, peer_listen_port(a.peer));
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

/* Guards against an address that is looked up, cut off or misread. */
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
raw_socket(int port, bool listening, int *listen_port)
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
    introduce(&b, 1, peer_listen_port(a.peer));
    fd = raw_socket(peer_listen_port(a.peer), false, NULL);
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

/* Guards against a slow reader that holds up the other members: its own
 * messages are refused once its queue is full, the others arrive. */
enum { SLOW_CHUNK_BYTES = 128 * 1024, SLOW_SENDS_MAX = 1000 };

static void
test_slow_reader(void)
{
    struct instance a;
    struct instance b;
    struct err err = {0};
    int port;
    int fd = raw_socket(0, true, &port);
    uint64_t sends = 0;

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    introduce(&a, 2, peer_listen_port(b.peer));
    introduce(&a, 3, port);
    while (sends < SLOW_SENDS_MAX && err.kind == ERR_NONE) {
        send_ping(&a, 3, 0, SLOW_CHUNK_BYTES, &err);
        g_assert_true(send_ping(&a, 2, sends, 0, NULL));
        g_assert_cmpuint(receive_ping(&b, 1, WATCHDOG_MS), ==, sends);
        sends++;
    }
    g_assert_cmpint(err.kind, ==, ERR_QUEUE_FULL);
    peer_forget(a.peer, 3);
    introduce(&a, 3, port);
    err_clear(&err);
    g_assert_true(send_ping(&a, 3, 0, SLOW_CHUNK_BYTES, &err));
    close(fd);
    instance_stop(&a);
    instance_stop(&b);
}

/* Waits for the hint that a member has closed or refused a connection. */
static void
assert_broken(struct instance *instance, uint64_t member)
{
    uint64_t broken = 0;

    g_assert_cmpint(ring_pop(&instance->broken, &broken, WATCHDOG_MS), ==,
                    RING_OK);
    g_assert_cmpuint(broken, ==, member);
}

/* Guards against an instance that is never reached again after its restart,
 * at the old address or at a new one, and against a closed or then a refused
 * connection that nobody is told of. The message is sent again because the
 * first ones may be lost with the old connection. */
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
    introduce(&a, 2, port);
    g_assert_true(send_ping(&a, 2, 1, 0, NULL));
    g_assert_cmpuint(receive_ping(&b, 1, WATCHDOG_MS), ==, 1);
    instance_stop(&b);
    assert_broken(&a, 2);
    g_assert_true(send_ping(&a, 2, 2, 0, NULL));
    assert_broken(&a, 2);
    instance_start(&b, 2, c->same_port ? port : 0);
    introduce(&a, 2, peer_listen_port(b.peer));
    g_assert_cmpuint(send_until_received(&a, &b, 2), ==, 2);
    instance_stop(&a);
    instance_stop(&b);
}

/* Guards against room in a queue that isn't given back: the sum of the frames
 * is several times what a queue holds. */
static void
test_room_returns(void)
{
    struct instance a;
    struct instance b;

    instance_start(&a, 1, 0);
    instance_start(&b, 2, 0);
    introduce(&a, 2, peer_listen_port(b.peer));
    for (uint64_t i = 0; i < 10; i++) {
        g_assert_true(send_ping(&a, 2, i, 900 * 1024, NULL));
        g_assert_cmpuint(receive_ping(&b, 1, WATCHDOG_MS), ==, i);
    }
    instance_stop(&a);
    instance_stop(&b);
}

/* Guards against messages that still go to the old address after a member has
 * moved, while something there still accepts them, and against a hint about
 * a connection that this side closed. */
static void
test_moved(void)
{
    struct instance a;
    struct instance old;
    struct instance moved;
    uint64_t broken;

    instance_start(&a, 1, 0);
    instance_start(&old, 2, 0);
    instance_start(&moved, 2, 0);
    introduce(&a, 2, peer_listen_port(old.peer));
    g_assert_true(send_ping(&a, 2, 1, 0, NULL));
    g_assert_cmpuint(receive_ping(&old, 1, WATCHDOG_MS), ==, 1);
    introduce(&a, 2, peer_listen_port(moved.peer));
    g_assert_cmpuint(send_until_received(&a, &moved, 2), ==, 2);
    g_assert_cmpint(ring_pop(&a.broken, &broken, 0), ==, RING_TIMEOUT);
    instance_stop(&a);
    instance_stop(&old);
    instance_stop(&moved);
}

static void
add(const char *group, const char *name, gconstpointer data,
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
        add("frame", frame_cases[i].name, &frame_cases[i], test_frame);
        if (frame_cases[i].result == FRAME_BAD) {
            add("bad_frame_closes", frame_cases[i].name, &frame_cases[i],
                test_bad_frame_closes);
        }
    }
    for (size_t i = 0; i < G_N_ELEMENTS(piece_sizes); i++) {
        char *name = g_strdup_printf("%zu", piece_sizes[i]);

        add("frame_pieces", name, &piece_sizes[i], test_frame_pieces);
        g_free(name);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(link_cases); i++) {
        add("link", link_cases[i].name, &link_cases[i], test_link);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(refused_cases); i++) {
        add("refused", refused_cases[i].name, &refused_cases[i], test_refused);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(address_cases); i++) {
        add("address", address_cases[i].name, &address_cases[i], test_address);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(restart_cases); i++) {
        add("restart", restart_cases[i].name, &restart_cases[i], test_restart);
    }
    g_test_add_func("/peer/link_drops_old", test_link_drops_old);
    g_test_add_func("/peer/both_ways", test_both_ways);
    g_test_add_func("/peer/moved", test_moved);
    g_test_add_func("/peer/room_returns", test_room_returns);
    g_test_add_func("/peer/slow_reader", test_slow_reader);
    return g_test_run();
}
