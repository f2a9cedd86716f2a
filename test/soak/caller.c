/* Callers, who keep connections open and judge what they get. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

enum {
    DEADLINE_MS = 3000,
    LATE_MS = 1000, /* an answer that comes later than this is missing */
    PAUSE_MAX_MS = 30,
    BYTES = 4096,
    FRESH_PERCENT = 25,
};

/* What a route promises. */
struct kind_case {
    const char *path;
    bool once;
    bool stream;
    bool model;
};

static const struct kind_case kind_cases[KINDS] = {
    [KIND_ONCE] = {"/once/", true, false, false},
    [KIND_SAFE] = {"/safe/", false, false, false},
    [KIND_STREAM] = {"/stream/", false, true, false},
    [KIND_CHAT] = {"/chat/", true, true, true},
    [KIND_CONFIG] = {"/config/", false, false, false},
};

/* One request and what was known when it was sent. */
struct
try {
    enum kind kind;
    struct soak_gate *gate;
    char attempt[NAME_MAX_BYTES];
    int64_t sent_ms;
    int64_t version;
    int64_t version_ms;
    int starts;
};

struct caller_state {
    struct soak *soak;
    int number;
    GRand *random;
    int fds[GATES];
    int64_t seen[GATES]; /* newest version that a process showed */
    int seen_starts[GATES];
    int count;
};

static int
got_name(http_parser *parser, const char *bytes, size_t count)
{
    struct reply *reply = parser->data;

    /* A field's value follows its name at once in what is read here. */
    reply->sealed =
        reply->sealed || (count == strlen("Server-Seal") &&
                          strncasecmp(bytes, "Server-Seal", count) == 0);
    reply->attempt[0] =
        count == strlen("Attempt-Id") &&
                strncasecmp(bytes, "Attempt-Id", count) == 0
            ? '?'
            : (reply->attempt[0] == '?' ? '\0' : reply->attempt[0]);
    return 0;
}

static int
got_value(http_parser *parser, const char *bytes, size_t count)
{
    struct reply *reply = parser->data;

    if (reply->attempt[0] == '?') {
        g_strlcpy(reply->attempt, bytes,
                  MIN(count + 1, sizeof(reply->attempt)));
    }
    return 0;
}

static int
got_body(http_parser *parser, const char *bytes, size_t count)
{
    struct reply *reply = parser->data;

    g_string_append_len(reply->body, bytes, (gssize)count);
    return 0;
}

static int
got_whole(http_parser *parser)
{
    struct reply *reply = parser->data;

    reply->status = (int)parser->status_code;
    reply->keep = http_should_keep_alive(parser);
    reply->whole = true;
    return 0;
}

static int
got_head(http_parser *parser)
{
    ((struct reply *)parser->data)->status = (int)parser->status_code;
    return 0;
}

/* Returns false when nothing whole had come by @end_ms. */
static bool
reply_read(int fd, int64_t end_ms, struct reply *reply)
{
    static const http_parser_settings settings = {
        .on_header_field = got_name,
        .on_header_value = got_value,
        .on_headers_complete = got_head,
        .on_body = got_body,
        .on_message_complete = got_whole,
    };
    http_parser parser;
    char bytes[BYTES];

    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = reply;
    while (!reply->whole) {
        struct pollfd wait = {.fd = fd, .events = POLLIN};
        int64_t left_ms = end_ms - clock_now_ms();
        ssize_t count;

        if (left_ms <= 0 || poll(&wait, 1, (int)left_ms) <= 0) {
            return false;
        }
        count = recv(fd, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            http_parser_execute(&parser, &settings, NULL, 0);
            return true;
        }
        http_parser_execute(&parser, &settings, bytes, (size_t)count);
        if (HTTP_PARSER_ERRNO(&parser) != HPE_OK) {
            reply->status = -1;
            return true;
        }
    }
    return true;
}

static int
dial(int port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Whether no fault touched the gate while the request was there, or shortly
 * before. */
static bool
was_calm(struct soak *soak, const struct try *try)
{
    bool calm;

    pthread_mutex_lock(&soak->lock);
    calm = try->gate->trouble_ms < try->sent_ms - CONTACT_MS;
    pthread_mutex_unlock(&soak->lock);
    return calm;
}

static char *
expected_body(const struct try *try, int service)
{
    GString *text = g_string_new(NULL);

    if (!kind_cases[try->kind].stream) {
        g_string_printf(text, "%s by p%d", try->attempt, service);
    }
    for (int i = 0; kind_cases[try->kind].stream && i < STREAM_EVENTS; i++) {
        g_string_append_printf(text, "id: %d\ndata: %s:%d\n\n", i,
                               try->attempt, i);
    }
    return g_string_free(text, FALSE);
}

static bool
body_is(const struct try *try, const struct reply *reply, int service)
{
    char *text = expected_body(try, service);
    bool same = strcmp(text, reply->body->str) == 0;

    g_free(text);
    return same;
}

/* A version is in force on all calm gates within a bound, and a process never
 * goes back to an older one. */
static void
check_version(struct caller_state *state, const struct try *try,
              const struct reply *reply)
{
    struct soak *soak = state->soak;
    int number = try->gate->number;
    bool older = body_is(try, reply, (int)((try->version + 1) % 2));
    bool changed;
    bool store_calm;

    pthread_mutex_lock(&soak->lock);
    changed = soak->config_version != try->version;
    store_calm = soak->store_trouble_ms < try->version_ms - CONTACT_MS;
    pthread_mutex_unlock(&soak->lock);
    if (!older && !body_is(try, reply, (int)(try->version % 2))) {
        soak_fail(soak, "MIXED: %s gets \"%.60s\"", try->attempt,
                  reply->body->str);
    }
    if (!older) {
        state->seen[number] = try->version;
        state->seen_starts[number] = try->starts;
        return;
    }
    if (changed) {
        return;
    }
    if (state->seen[number] == try->version &&
        state->seen_starts[number] == try->starts &&
        try->sent_ms - try->version_ms > REVERT_MS) {
        soak_fail(soak, "CONFIG: gate %d goes back from version %d", number,
                  (int)try->version);
    }
    if (store_calm && was_calm(soak, try) &&
        try->sent_ms - try->version_ms > CONFIG_MS) {
        soak_fail(soak, "CONFIG: gate %d has no version %d", number,
                  (int)try->version);
    }
}

static void
check_success(struct caller_state *state, const struct try *try,
              const struct reply *reply)
{
    struct soak *soak = state->soak;

    if (!reply->whole) {
        return;
    }
    if (!reply->sealed || strcmp(reply->attempt, try->attempt) != 0) {
        soak_fail(soak, "MIXED: %s gets the answer of \"%s\"%s", try->attempt,
                  reply->attempt, reply->sealed ? "" : ", unsigned");
    }
    if (try->kind == KIND_CONFIG) {
        check_version(state, try, reply);
    }
    else if (!body_is(try, reply, try->kind == KIND_ONCE ? 0 : 1)) {
        soak_fail(soak, "%s: %s gets \"%.60s\"",
                  kind_cases[try->kind].stream ? "ORDER" : "MIXED",
                  try->attempt, reply->body->str);
    }
    pthread_mutex_lock(&soak->lock);
    soak->served++;
    if (soak->calm_ms != 0 && try->sent_ms > soak->calm_ms) {
        soak->recovered[try->gate->number][try->kind] = true;
    }
    pthread_mutex_unlock(&soak->lock);
}

static void
check_reply(struct caller_state *state, const struct try *try,
            const struct reply *reply)
{
    switch (reply->status) {
    case -1:
        soak_fail(state->soak, "MIXED: %s gets no HTTP", try->attempt);
        break;
    case 200:
        check_success(state, try, reply);
        break;
    case 408:
    case 421:
    case 429:
    case 503:
        if (kind_cases[try->kind].once) {
            soak_note_refused(state->soak, try->attempt);
        }
        break;
    case 400:
    case 401:
    case 403:
    case 404:
        soak_fail(state->soak, "DENIED: %s gets %d", try->attempt,
                  reply->status);
        break;
    default:
        break;
    }
}

static char *
model_fields(GRand *random)
{
    int model = g_rand_int_range(random, 1, MODELS + 1);
    int adapter = g_rand_int_range(random, 0, 3);
    char *suffix =
        adapter > 0 ? g_strdup_printf("/a%d", adapter) : g_strdup("");
    char *text = g_strdup_printf("Model: m%d%s\r\nToken-Count: 100,40\r\n",
                                 model, suffix);

    g_free(suffix);
    return text;
}

static char *
request_text(struct caller_state *state, const struct try *try)
{
    const struct kind_case *kind = &kind_cases[try->kind];
    char *model = kind->model ? model_fields(state->random) : g_strdup("");
    char *text = g_strdup_printf("GET %s1 HTTP/1.1\r\nHost: h\r\n"
                                 "Attempt-Id: %s\r\nDeadline-Ms: %d\r\n"
                                 "%s\r\n",
                                 kind->path, try->attempt, DEADLINE_MS, model);

    g_free(model);
    return text;
}

static void
begin_try(struct caller_state *state, struct try *try)
{
    struct soak *soak = state->soak;

    try->kind = (enum kind)g_rand_int_range(state->random, 0, KINDS);
    try->gate = &soak->gates[g_rand_int_range(state->random, 0, GATES)];
    g_snprintf(try->attempt, sizeof(try->attempt), "c%d-%d", state->number,
               state->count++);
    pthread_mutex_lock(&soak->lock);
    soak->asked++;
    try->version = soak->config_version;
    try->version_ms = soak->config_ms;
    try->starts = try->gate->starts;
    pthread_mutex_unlock(&soak->lock);
    try->sent_ms = clock_now_ms();
}

static void
ask(struct caller_state *state)
{
    struct try try = {0};
    struct reply reply = {.body = g_string_new(NULL)};
    char *text;
    int *fd;

    begin_try(state, &try);
    fd = &state->fds[try.gate->number];
    if (*fd >= 0 && g_rand_int_range(state->random, 0, 100) < FRESH_PERCENT) {
        close(*fd);
        *fd = -1;
    }
    if (*fd < 0) {
        *fd = dial(try.gate->front->port);
    }
    text = request_text(state, &try);
    if (*fd >= 0 &&
        send(*fd, text, strlen(text), MSG_NOSIGNAL) == (ssize_t)strlen(text)) {
        if (reply_read(*fd, try.sent_ms + DEADLINE_MS + LATE_MS, &reply)) {
            check_reply(state, &try, &reply);
        }
        else if (was_calm(state->soak, &try)) {
            soak_fail(state->soak, "LATE: %s has no answer from gate %d",
                      try.attempt, try.gate->number);
        }
    }
    if (*fd >= 0 && (!reply.whole || !reply.keep)) {
        close(*fd);
        *fd = -1;
    }
    g_string_free(reply.body, TRUE);
    g_free(text);
}

/* Runs until the soak stops. */
static void *
run(void *argument)
{
    struct caller_state *state = argument;

    for (int i = 0; i < GATES; i++) {
        state->fds[i] = -1;
    }
    while (!atomic_load(&state->soak->stopping)) {
        ask(state);
        soak_pause(g_rand_int_range(state->random, 1, PAUSE_MAX_MS));
    }
    for (int i = 0; i < GATES; i++) {
        if (state->fds[i] >= 0) {
            close(state->fds[i]);
        }
    }
    g_rand_free(state->random);
    g_free(state);
    return NULL;
}

void
soak_caller_start(struct soak *soak, int number, pthread_t *thread)
{
    struct caller_state *state = g_new0(struct caller_state, 1);

    state->soak = soak;
    state->number = number;
    state->random =
        g_rand_new_with_seed((guint32)soak->seed * 31u + (guint32)number);
    g_assert_cmpint(pthread_create(thread, NULL, run, state), ==, 0);
    /* The thread frees its state. */
    /* cppcheck-suppress memleak */
}
