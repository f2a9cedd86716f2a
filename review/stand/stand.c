#define _GNU_SOURCE
#include "stand.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <json-c/json.h>

/* ---- common ---- */

static FILE *record_file;
static int64_t start_ms;
static char directory[128];
static char repository[256];
static bool trouble = true;
const char *stand_zone = "pos-a";
const char *stand_region = "pos";
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct gate *gates[8];
static int gate_count;

int64_t
now_ms(void)
{
    struct timespec time;

    clock_gettime(CLOCK_MONOTONIC, &time);
    return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

void
pause_ms(int64_t ms)
{
    if (ms > 0) {
        poll(NULL, 0, (int)ms);
    }
}

void
record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%9.3f s  ", (double)(now_ms() - start_ms) / 1000.0);
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

/* argv: the folder of the case, the repository, a temporary folder */
void
stand_init(int argc, char **argv)
{
    char path[512];
    const char *value = getenv("TROUBLE");

    if (argc != 4) {
        fprintf(stderr, "usage: %s CASE REPOSITORY TEMPORARY\n", argv[0]);
        exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    trouble = value == NULL || strcmp(value, "0") != 0;
    start_ms = now_ms();
    snprintf(path, sizeof(path), "%s/record.txt", argv[1]);
    record_file = fopen(path, "w");
    if (record_file == NULL) {
        perror(path);
        exit(2);
    }
    snprintf(repository, sizeof(repository), "%s", argv[2]);
    snprintf(directory, sizeof(directory), "%s", argv[3]);
    record("begin, %s the disruption", trouble ? "with" : "without");
}

bool
stand_trouble(void)
{
    return trouble;
}

/* Each run has loopback addresses of its own, as the program's port for its
 * metrics is fixed. */
const char *
stand_ip(int number)
{
    static char texts[16][32];
    int pid = (int)getpid();

    snprintf(texts[number % 16], sizeof(texts[0]), "127.%d.%d.%d",
             60 + pid / 200 % 150, 1 + pid % 200, 1 + number % 200);
    return texts[number % 16];
}

_Noreturn void
stand_finish(int code)
{
    for (int i = 0; i < gate_count; i++) {
        if (gates[i]->pid > 0) {
            kill(gates[i]->pid, SIGKILL);
            gate_reap(gates[i]);
        }
    }
    record("end: exit code %d (%s)", code,
           code == 0   ? "the rule held"
           : code == 1 ? "the rule was broken"
                       : "the case could not run");
    exit(code);
}

_Noreturn void
stand_cannot_run(const char *why)
{
    record("cannot run: %s", why);
    fprintf(stderr, "cannot run: %s\n", why);
    stand_finish(2);
}

static void
start_thread(void *(*run)(void *), void *data)
{
    pthread_attr_t attributes;
    pthread_t thread;

    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attributes, run, data) != 0) {
        stand_cannot_run("no thread");
    }
    pthread_attr_destroy(&attributes);
}

/* ---- sockets ---- */

static int
listen_at(const char *ip, int port, char *address, size_t bytes)
{
    struct sockaddr_in in = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    socklen_t length = sizeof(in);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    inet_pton(AF_INET, ip, &in.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 || bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
        listen(fd, 512) != 0) {
        stand_cannot_run("cannot listen");
    }
    getsockname(fd, (struct sockaddr *)&in, &length);
    snprintf(address, bytes, "%s:%d", ip, ntohs(in.sin_port));
    return fd;
}

/* The kernel chooses the port. */
static int
listen_on(const char *ip, char *address, size_t bytes)
{
    return listen_at(ip, 0, address, bytes);
}

int
client_connect(const char *address)
{
    return client_connect_small(address, 0);
}

/* With a receive buffer of its own size, which bounds the window, and with
 * segments as on Ethernet instead of the loopback's of 64 KB; 0 for the
 * system's. */
int
client_connect_small(const char *address, int buffer_bytes)
{
    const int segment_bytes = 1448;
    struct sockaddr_in in = {.sin_family = AF_INET};
    char ip[64];
    char *colon;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    snprintf(ip, sizeof(ip), "%s", address);
    colon = strchr(ip, ':');
    *colon = '\0';
    inet_pton(AF_INET, ip, &in.sin_addr);
    in.sin_port = htons((uint16_t)atoi(colon + 1));
    if (buffer_bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                   sizeof(buffer_bytes));
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
                   sizeof(segment_bytes));
    }
    if (connect(fd, (struct sockaddr *)&in, sizeof(in)) != 0) {
        close(fd);
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

static bool
send_all(int fd, const char *bytes, size_t count)
{
    while (count > 0) {
        ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);

        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            return false;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
    return true;
}

/* ---- HTTP ---- */

/* Finds a field in header lines; NULL when there is none. */
static const char *
find_field(const char *head, const char *name, char *out, size_t bytes)
{
    size_t length = strlen(name);
    const char *line = head;

    while (line != NULL && *line != '\0') {
        const char *end = strchr(line, '\n');

        if (strncasecmp(line, name, length) == 0 && line[length] == ':') {
            const char *value = line + length + 1;
            size_t count;

            while (*value == ' ') {
                value++;
            }
            count = end != NULL ? (size_t)(end - value) : strlen(value);
            while (count > 0 && isspace((unsigned char)value[count - 1])) {
                count--;
            }
            if (count >= bytes) {
                count = bytes - 1;
            }
            memcpy(out, value, count);
            out[count] = '\0';
            return out;
        }
        line = end != NULL ? end + 1 : NULL;
    }
    return NULL;
}

const char *
request_field(const struct request *request, const char *name, char *out,
              size_t bytes)
{
    return find_field(request->head, name, out, bytes);
}

/* A buffered reader of one connection. */
struct reader {
    int fd;
    char *bytes;
    size_t count;
    size_t room;
    int64_t until_ms; /* 0 for no limit */
};

static bool
fill(struct reader *reader)
{
    ssize_t got;

    if (reader->until_ms != 0) {
        struct pollfd wait = {.fd = reader->fd, .events = POLLIN};
        int64_t left_ms = reader->until_ms - now_ms();

        if (left_ms <= 0 || poll(&wait, 1, (int)left_ms) <= 0) {
            return false;
        }
    }
    if (reader->room - reader->count < 65536) {
        reader->room = reader->room * 2 + 131072;
        reader->bytes = realloc(reader->bytes, reader->room);
    }
    got = recv(reader->fd, reader->bytes + reader->count,
               reader->room - reader->count - 1, 0);
    if (got <= 0) {
        return false;
    }
    reader->count += (size_t)got;
    reader->bytes[reader->count] = '\0';
    return true;
}

static void
consume(struct reader *reader, size_t count)
{
    memmove(reader->bytes, reader->bytes + count, reader->count - count);
    reader->count -= count;
    reader->bytes[reader->count] = '\0';
}

/* Returns the length of the head, 0 when the connection ended. */
static size_t
read_head(struct reader *reader)
{
    for (;;) {
        char *end = reader->count > 0
                        ? memmem(reader->bytes, reader->count, "\r\n\r\n", 4)
                        : NULL;

        if (end != NULL) {
            return (size_t)(end - reader->bytes) + 4;
        }
        if (!fill(reader)) {
            return 0;
        }
    }
}

struct connection {
    struct server *server;
    int fd;
};

static void *
serve_connection(void *data)
{
    struct connection *connection = data;
    struct server *server = connection->server;
    struct reader reader = {.fd = connection->fd};
    size_t head;

    while (!atomic_load(&server->closed) && (head = read_head(&reader)) > 0) {
        struct request request = {.fd = connection->fd};
        char value[32];
        char *line_end = strstr(reader.bytes, "\r\n");

        sscanf(reader.bytes, "%15s %511s", request.method, request.path);
        request.head = strndup(line_end + 2,
                               head - (size_t)(line_end + 2 - reader.bytes));
        if (request_field(&request, "Content-Length", value, sizeof(value)) !=
            NULL) {
            request.body_bytes = (size_t)atoll(value);
        }
        consume(&reader, head);
        while (reader.count < request.body_bytes && fill(&reader)) {
        }
        if (reader.count < request.body_bytes ||
            atomic_load(&server->closed)) {
            free(request.head);
            break;
        }
        request.body = strndup(reader.bytes, request.body_bytes);
        consume(&reader, request.body_bytes);
        server->handle(&request, server->data);
        free(request.head);
        free(request.body);
        if (request.fd < 0) {
            break;
        }
    }
    close(connection->fd);
    free(reader.bytes);
    free(connection);
    return NULL;
}

static void *
accept_connections(void *data)
{
    struct server *server = data;

    while (!atomic_load(&server->closed)) {
        int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);
        struct connection *connection;
        int on = 1;

        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        connection = calloc(1, sizeof(*connection));
        connection->server = server;
        connection->fd = fd;
        start_thread(serve_connection, connection);
    }
    return NULL;
}

struct server *
server_start(const char *ip, void (*handle)(struct request *, void *),
             void *data)
{
    struct server *server = calloc(1, sizeof(*server));

    server->handle = handle;
    server->data = data;
    server->fd = listen_on(ip, server->address, sizeof(server->address));
    start_thread(accept_connections, server);
    return server;
}

/* A server at the address of one that was stopped. */
struct server *
server_start_again(const struct server *before)
{
    struct server *server = calloc(1, sizeof(*server));
    char ip[64];
    char *colon;

    snprintf(ip, sizeof(ip), "%s", before->address);
    colon = strchr(ip, ':');
    *colon = '\0';
    server->handle = before->handle;
    server->data = before->data;
    server->fd = listen_at(ip, atoi(colon + 1), server->address,
                           sizeof(server->address));
    start_thread(accept_connections, server);
    return server;
}

void
server_stop(struct server *server)
{
    atomic_store(&server->closed, true);
    shutdown(server->fd, SHUT_RDWR);
    close(server->fd);
}

bool
reply(struct request *request, int status, const char *fields,
      const char *body, size_t body_bytes)
{
    char head[1024];
    int length =
        snprintf(head, sizeof(head),
                 "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n", status,
                 fields, body_bytes);

    return send_all(request->fd, head, (size_t)length) &&
           send_all(request->fd, body, body_bytes);
}

/* ---- store ---- */

struct item {
    char *key;
    char *value; /* base64; NULL in the history for a deletion */
    int64_t revision;
    int64_t create_revision;
    int64_t lease;
    int64_t at_ms;
};

struct lease {
    int64_t id;
    int64_t ttl_ms;
    int64_t until_ms;
};

enum { ITEMS_MAX = 2048, EVENTS_MAX = 65536, LEASES_MAX = 4096 };

static struct item items[ITEMS_MAX];
static int item_count;
static struct item events[EVENTS_MAX];
static int event_count;
static struct lease leases[LEASES_MAX];
static int lease_count;
static int64_t revision = 100;
static int64_t dropped_revision; /* the history up to it is gone */
static int64_t history_kept_ms;
static int64_t last_lease = 7000;
static struct server *store_server;
static atomic_bool cut_watch;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static char *
encode_base64(const char *text)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t bytes = strlen(text);
    char *out = malloc(bytes / 3 * 4 + 8);
    size_t used = 0;

    for (size_t i = 0; i < bytes; i += 3) {
        unsigned v = (unsigned char)text[i] << 16;

        v |= i + 1 < bytes ? (unsigned)(unsigned char)text[i + 1] << 8 : 0;
        v |= i + 2 < bytes ? (unsigned)(unsigned char)text[i + 2] : 0;
        out[used++] = digits[v >> 18];
        out[used++] = digits[v >> 12 & 63];
        out[used++] = i + 1 < bytes ? digits[v >> 6 & 63] : '=';
        out[used++] = i + 2 < bytes ? digits[v & 63] : '=';
    }
    out[used] = '\0';
    return out;
}

static struct item *
find_item(const char *key)
{
    for (int i = 0; i < item_count; i++) {
        if (strcmp(items[i].key, key) == 0) {
            return &items[i];
        }
    }
    return NULL;
}

static void
add_event(const struct item *item, bool deleted)
{
    struct item *event;

    while (event_count > 0 && (now_ms() - events[0].at_ms > history_kept_ms ||
                               event_count == EVENTS_MAX)) {
        dropped_revision = events[0].revision;
        free(events[0].key);
        free(events[0].value);
        event_count--;
        memmove(events, events + 1, (size_t)event_count * sizeof(events[0]));
    }
    event = &events[event_count++];
    event->key = strdup(item->key);
    event->value = deleted ? NULL : strdup(item->value);
    event->revision = revision;
    event->create_revision = item->create_revision;
    event->lease = item->lease;
    event->at_ms = now_ms();
    pthread_cond_broadcast(&store_changed);
}

/* Takes over the value. The items stay in the order of their keys. */
static void
put_item(const char *key, char *value, int64_t lease)
{
    struct item *item = find_item(key);
    int place = item_count;

    revision++;
    if (item == NULL) {
        if (item_count == ITEMS_MAX) {
            stand_cannot_run("store is full");
        }
        while (place > 0 && strcmp(items[place - 1].key, key) > 0) {
            place--;
        }
        memmove(items + place + 1, items + place,
                (size_t)(item_count - place) * sizeof(items[0]));
        item_count++;
        item = &items[place];
        *item = (struct item){.key = strdup(key), .create_revision = revision};
    }
    free(item->value);
    item->value = value;
    item->revision = revision;
    item->lease = lease;
    add_event(item, false);
}

static void
remove_item(struct item *item)
{
    revision++;
    add_event(item, true);
    free(item->key);
    free(item->value);
    item_count--;
    memmove(item, item + 1,
            (size_t)(&items[item_count] - item) * sizeof(*item));
}

static void
end_lease(int64_t id)
{
    for (int i = item_count - 1; i >= 0; i--) {
        if (items[i].lease == id) {
            remove_item(&items[i]);
        }
    }
}

static struct lease *
find_lease(int64_t id)
{
    for (int i = 0; i < lease_count; i++) {
        if (leases[i].id == id && leases[i].until_ms > now_ms()) {
            return &leases[i];
        }
    }
    return NULL;
}

static void *
expire_leases(void *data)
{
    (void)data;
    for (;;) {
        pthread_mutex_lock(&store_lock);
        for (int i = lease_count - 1; i >= 0; i--) {
            if (leases[i].until_ms <= now_ms()) {
                end_lease(leases[i].id);
                leases[i] = leases[--lease_count];
            }
        }
        pthread_mutex_unlock(&store_lock);
        pause_ms(10);
    }
    return NULL;
}

int64_t
store_put(const char *key, const char *value)
{
    int64_t at;

    pthread_mutex_lock(&store_lock);
    put_item(key, encode_base64(value), 0);
    at = now_ms();
    pthread_mutex_unlock(&store_lock);
    return at;
}

int64_t
store_remove(const char *key)
{
    struct item *item;
    int64_t at;

    pthread_mutex_lock(&store_lock);
    item = find_item(key);
    if (item != NULL) {
        remove_item(item);
    }
    at = now_ms();
    pthread_mutex_unlock(&store_lock);
    return at;
}

/* The next watch that waits is cut. */
void
store_cut_next_watch(void)
{
    atomic_store(&cut_watch, true);
    pthread_mutex_lock(&store_lock);
    pthread_cond_broadcast(&store_changed);
    pthread_mutex_unlock(&store_lock);
}

bool
store_watch_is_to_be_cut(void)
{
    return atomic_load(&cut_watch);
}

static void
query_value(const char *path, const char *name, char *out, size_t bytes)
{
    const char *at = strchr(path, '?');
    size_t length = strlen(name);

    out[0] = '\0';
    while (at != NULL) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            size_t used = 0;

            for (at += length + 1;
                 *at != '\0' && *at != '&' && used + 1 < bytes; at++) {
                if (*at == '%') {
                    char hex[3] = {at[1], at[2], '\0'};

                    out[used++] = (char)strtol(hex, NULL, 16);
                    at += 2;
                }
                else {
                    out[used++] = *at;
                }
            }
            out[used] = '\0';
            return;
        }
        at = strchr(at, '&');
    }
}

static void
print_item(FILE *out, const struct item *item, bool first)
{
    if (item->value == NULL) {
        fprintf(out, "%s{\"key\":\"%s\",\"revision\":%lld,\"deleted\":true}",
                first ? "" : ",", item->key, (long long)item->revision);
        return;
    }
    fprintf(out,
            "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
            "\"create_rev\":%lld,\"lease\":%lld}",
            first ? "" : ",", item->key, item->value,
            (long long)item->revision, (long long)item->create_revision,
            (long long)item->lease);
}

static const char json_fields[] = "Content-Type: application/json\r\n";

static void
finish_text(struct request *request, int status, FILE *out, char **text,
            size_t *bytes)
{
    fclose(out);
    pthread_mutex_unlock(&store_lock);
    reply(request, status, json_fields, *text, *bytes);
    free(*text);
}

/* Pages of at most 500 items or 1 MB. */
static void
serve_range(struct request *request)
{
    char prefix[256];
    char after[256];
    char *text;
    size_t bytes;
    size_t used = 0;
    int count = 0;
    bool truncated = false;
    FILE *out = open_memstream(&text, &bytes);

    query_value(request->path, "path_prefix", prefix, sizeof(prefix));
    query_value(request->path, "after", after, sizeof(after));
    pthread_mutex_lock(&store_lock);
    fputs("{\"items\":[", out);
    for (int i = 0; i < item_count && !truncated; i++) {
        if (strncmp(items[i].key, prefix, strlen(prefix)) != 0 ||
            strcmp(items[i].key, after) <= 0) {
            continue;
        }
        if (count == 500 || used > 1000 * 1000) {
            truncated = true;
            break;
        }
        print_item(out, &items[i], count++ == 0);
        used += strlen(items[i].value);
    }
    fprintf(out, "],\"truncated\":%s,\"store_revision\":%lld}",
            truncated ? "true" : "false", (long long)revision);
    finish_text(request, 200, out, &text, &bytes);
}

static bool
has_event(const char *prefix, int64_t after)
{
    for (int i = event_count - 1; i >= 0 && events[i].revision > after; i--) {
        if (strncmp(events[i].key, prefix, strlen(prefix)) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns as soon as there is an event, with all events behind "after". */
static void
serve_watch(struct request *request)
{
    char prefix[256];
    char number[32];
    char *text;
    size_t bytes;
    int64_t after;
    int64_t until_ms;
    int count = 0;
    FILE *out;

    query_value(request->path, "path_prefix", prefix, sizeof(prefix));
    query_value(request->path, "after", number, sizeof(number));
    after = atoll(number);
    query_value(request->path, "wait_ms", number, sizeof(number));
    until_ms = now_ms() + atoll(number);
    pthread_mutex_lock(&store_lock);
    while (after >= dropped_revision && !has_event(prefix, after) &&
           now_ms() < until_ms && !atomic_load(&cut_watch)) {
        struct timespec time;

        clock_gettime(CLOCK_REALTIME, &time);
        time.tv_nsec += 20 * 1000 * 1000;
        if (time.tv_nsec >= 1000000000) {
            time.tv_nsec -= 1000000000;
            time.tv_sec++;
        }
        pthread_cond_timedwait(&store_changed, &store_lock, &time);
    }
    if (!has_event(prefix, after) && atomic_exchange(&cut_watch, false)) {
        pthread_mutex_unlock(&store_lock);
        record("store: cuts a watch that waits");
        request->fd = -1;
        return;
    }
    out = open_memstream(&text, &bytes);
    if (after < dropped_revision) {
        fputs("{}", out);
        finish_text(request, 410, out, &text, &bytes);
        record("store: 410 to a watch after %lld", (long long)after);
        return;
    }
    fputs("{\"events\":[", out);
    for (int i = 0; i < event_count; i++) {
        if (events[i].revision > after &&
            strncmp(events[i].key, prefix, strlen(prefix)) == 0) {
            print_item(out, &events[i], count++ == 0);
        }
    }
    fprintf(out, "],\"store_revision\":%lld}", (long long)revision);
    fflush(out);
    if (bytes > 2 * 1000 * 1000) {
        record("store: answers a watch after %lld with %d events, %zu bytes",
               (long long)after, count, bytes);
    }
    finish_text(request, 200, out, &text, &bytes);
}

static int64_t
member(struct json_object *object, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(object, key, &value);
    return json_object_get_int64(value);
}

static const char *
member_text(struct json_object *object, const char *key)
{
    struct json_object *value = NULL;

    json_object_object_get_ex(object, key, &value);
    return json_object_get_string(value);
}

static size_t
list_of(struct json_object *object, const char *key, struct json_object **list)
{
    *list = NULL;
    json_object_object_get_ex(object, key, list);
    return *list != NULL ? json_object_array_length(*list) : 0;
}

static int
apply_transaction(struct json_object *body)
{
    struct json_object *list;
    size_t count = list_of(body, "expected", &list);

    for (size_t i = 0; i < count; i++) {
        struct json_object *row = json_object_array_get_idx(list, i);
        struct item *item = find_item(member_text(row, "key"));

        if ((item != NULL ? item->revision : 0) != member(row, "revision")) {
            return 412;
        }
    }
    count = list_of(body, "puts", &list);
    for (size_t i = 0; i < count; i++) {
        int64_t lease = member(json_object_array_get_idx(list, i), "lease");

        if (lease != 0 && find_lease(lease) == NULL) {
            return 404;
        }
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *put = json_object_array_get_idx(list, i);

        put_item(member_text(put, "key"), strdup(member_text(put, "value")),
                 member(put, "lease"));
    }
    count = list_of(body, "remove", &list);
    for (size_t i = 0; i < count; i++) {
        struct item *item = find_item(
            json_object_get_string(json_object_array_get_idx(list, i)));

        if (item != NULL) {
            remove_item(item);
        }
    }
    return 200;
}

static void
reply_number(struct request *request, int status, const char *name,
             int64_t number, int64_t ttl_ms)
{
    char text[128];
    int length = snprintf(text, sizeof(text), "{\"%s\":%lld,\"ttl_ms\":%lld}",
                          name, (long long)number, (long long)ttl_ms);

    reply(request, status, json_fields, text, (size_t)length);
}

static void
serve_lease(struct request *request)
{
    struct json_object *body = json_tokener_parse(request->body);
    int64_t ttl_ms = member(body, "ttl_ms");
    int64_t id;

    ttl_ms = ttl_ms < 1000 ? 1000 : ttl_ms;
    pthread_mutex_lock(&store_lock);
    id = ++last_lease;
    leases[lease_count++] = (struct lease){
        .id = id, .ttl_ms = ttl_ms, .until_ms = now_ms() + ttl_ms};
    pthread_mutex_unlock(&store_lock);
    json_object_put(body);
    reply_number(request, 200, "lease", id, ttl_ms);
}

static void
serve_lease_call(struct request *request, int64_t id, bool ends)
{
    struct lease *lease;
    int64_t ttl_ms = 0;

    pthread_mutex_lock(&store_lock);
    lease = find_lease(id);
    if (lease != NULL) {
        ttl_ms = lease->ttl_ms;
        lease->until_ms = ends ? 0 : now_ms() + ttl_ms;
    }
    pthread_mutex_unlock(&store_lock);
    reply_number(request, lease != NULL ? 200 : 404, "lease", id, ttl_ms);
}

static void
handle_store_call(struct request *request, void *data)
{
    (void)data;
    if (strncmp(request->path, "/v1/kv-range?", 13) == 0) {
        serve_range(request);
    }
    else if (strncmp(request->path, "/v1/kv-watch?", 13) == 0) {
        serve_watch(request);
    }
    else if (strcmp(request->path, "/v1/kv-txn") == 0) {
        struct json_object *body = json_tokener_parse(request->body);
        int64_t now_revision;
        int status;

        pthread_mutex_lock(&store_lock);
        status = apply_transaction(body);
        now_revision = revision;
        pthread_mutex_unlock(&store_lock);
        json_object_put(body);
        reply_number(request, status, "revision", now_revision, 0);
    }
    else if (strcmp(request->path, "/v1/kv-lease") == 0) {
        serve_lease(request);
    }
    else if (strncmp(request->path, "/v1/kv-keep/", 12) == 0) {
        serve_lease_call(request, atoll(request->path + 12), false);
    }
    else if (strncmp(request->path, "/v1/kv-lease-end/", 17) == 0) {
        serve_lease_call(request, atoll(request->path + 17), true);
    }
    else {
        reply(request, 404, json_fields, "{}", 2);
    }
}

void
store_start(const char *ip, int64_t history_ms)
{
    history_kept_ms = history_ms;
    store_server = server_start(ip, handle_store_call, NULL);
    start_thread(expire_leases, NULL);
}

const char *
store_address(void)
{
    return store_server->address;
}

/* ---- link ---- */

struct pair {
    struct link *link;
    int fd;
};

static bool
pass_on(int from, int to)
{
    char bytes[65536];
    ssize_t count = recv(from, bytes, sizeof(bytes), 0);

    return count > 0 && send_all(to, bytes, (size_t)count);
}

static bool
has_left(int fd)
{
    struct pollfd state = {.fd = fd, .events = POLLRDHUP};

    return poll(&state, 1, 0) > 0;
}

/* Ends a connection with a reset while the link is cut so. */
static bool
is_reset(struct pair *pair)
{
    struct linger at_once = {.l_onoff = 1, .l_linger = 0};

    if (!atomic_load(&pair->link->cut) || !atomic_load(&pair->link->resets)) {
        return false;
    }
    setsockopt(pair->fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    atomic_store(&pair->link->last_reset_ms, now_ms());
    return true;
}

/* While the link is cut, bytes of both directions are held up; those of a
 * caller that has closed meanwhile are lost. */
static void *
run_pair(void *data)
{
    struct pair *pair = data;
    struct pollfd wait[2] = {{.events = POLLIN}, {.events = POLLIN}};
    bool open = true;

    wait[0].fd = pair->fd;
    wait[1].fd = -1;
    while (atomic_load(&pair->link->cut) &&
           !atomic_load(&pair->link->resets)) {
        pause_ms(5);
    }
    open = !is_reset(pair) && !has_left(pair->fd);
    if (open) {
        wait[1].fd = client_connect(pair->link->to);
        open = wait[1].fd >= 0;
    }
    while (open) {
        if (is_reset(pair)) {
            open = false;
            continue;
        }
        if (atomic_load(&pair->link->cut)) {
            pause_ms(5);
            open = atomic_load(&pair->link->cut) || !has_left(pair->fd);
            continue;
        }
        if (poll(wait, 2, 5) > 0 && !atomic_load(&pair->link->cut)) {
            open = (wait[0].revents == 0 || pass_on(wait[0].fd, wait[1].fd)) &&
                   (wait[1].revents == 0 || pass_on(wait[1].fd, wait[0].fd));
        }
    }
    close(pair->fd);
    if (wait[1].fd >= 0) {
        close(wait[1].fd);
    }
    free(pair);
    return NULL;
}

static void *
accept_pairs(void *data)
{
    struct link *link = data;

    for (;;) {
        int fd = accept4(link->fd, NULL, NULL, SOCK_CLOEXEC);

        if (fd >= 0) {
            struct pair *pair = calloc(1, sizeof(*pair));

            pair->link = link;
            pair->fd = fd;
            start_thread(run_pair, pair);
        }
    }
    return NULL;
}

struct link *
link_start(const char *ip, const char *to)
{
    struct link *link = calloc(1, sizeof(*link));

    snprintf(link->to, sizeof(link->to), "%s", to);
    link->fd = listen_on(ip, link->address, sizeof(link->address));
    start_thread(accept_pairs, link);
    return link;
}

/* ---- engines ---- */

static pthread_mutex_t engine_lock = PTHREAD_MUTEX_INITIALIZER;

/* A load that was ordered has ended. */
static void
finish_load(struct engine *engine)
{
    if (engine->loading[0] != '\0' && now_ms() >= engine->loaded_at_ms) {
        memcpy(engine->models[engine->model_count++], engine->loading,
               sizeof(engine->loading));
        engine->loading[0] = '\0';
        record("engine %s: holds %s", engine->id,
               engine->models[engine->model_count - 1]);
    }
}

static bool
holds(struct engine *engine, const char *model)
{
    bool found = false;

    pthread_mutex_lock(&engine_lock);
    finish_load(engine);
    for (int i = 0; i < engine->model_count; i++) {
        found = found || strcmp(engine->models[i], model) == 0;
    }
    pthread_mutex_unlock(&engine_lock);
    return found;
}

static size_t
print_names(char *out, size_t bytes, char names[][64], int count,
            const char *format)
{
    size_t used = (size_t)snprintf(out, bytes, "[");

    for (int i = 0; i < count; i++) {
        used +=
            (size_t)snprintf(out + used, bytes - used, "%s", i > 0 ? "," : "");
        used += (size_t)snprintf(out + used, bytes - used, format, names[i]);
    }
    return used + (size_t)snprintf(out + used, bytes - used, "]");
}

/* What an entry and a report say of the engine's models and its start */
static void
print_models(struct engine *engine, char *out, size_t bytes)
{
    size_t used;

    pthread_mutex_lock(&engine_lock);
    finish_load(engine);
    used = print_names(out, bytes, engine->models, engine->model_count,
                       "{\"name\":\"%s\",\"version\":1,\"adapters\":[]}");
    used += (size_t)snprintf(out + used, bytes - used,
                             ",\"born\":%lld,\"at_hand\":{\"in_memory\":[],"
                             "\"on_disk\":",
                             (long long)engine->born_ms);
    used += print_names(out + used, bytes - used, engine->disk,
                        engine->disk_count, "\"%s\"");
    snprintf(out + used, bytes - used, "}");
    pthread_mutex_unlock(&engine_lock);
}

static void
write_entry(struct engine *engine)
{
    char key[128];
    char models[1024];
    char value[2048];

    print_models(engine, models, sizeof(models));
    snprintf(key, sizeof(key), "servers/%s", engine->id);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
             "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":%s,"
             "\"sequence\":%ld}",
             engine->service, engine->server->address, engine->zone,
             engine->slots, engine->state, models,
             atomic_fetch_add(&engine->sequence, 1));
    store_put(key, value);
}

static void *
beat(void *data)
{
    struct engine *engine = data;

    while (!atomic_load(&engine->stopped)) {
        pause_ms(1200);
        if (atomic_load(&engine->listed)) {
            write_entry(engine);
        }
    }
    return NULL;
}

static int
find_model(const struct engine *engine, const char *model)
{
    for (int i = 0; i < engine->model_count; i++) {
        if (strcmp(engine->models[i], model) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
is_on_disk(const struct engine *engine, const char *model)
{
    for (int i = 0; i < engine->disk_count; i++) {
        if (strcmp(engine->disk[i], model) == 0) {
            return true;
        }
    }
    return false;
}

/* Carries an order out. @expected is -1 when the order has none. */
static int
carry_out(struct engine *engine, bool is_load, const char *model,
          int64_t expected)
{
    bool overloaded = false;
    int status = 202;
    int index;

    pthread_mutex_lock(&engine_lock);
    finish_load(engine);
    index = find_model(engine, model);
    if (is_load == (index >= 0)) {
        status = 200;
    }
    else if (engine->loading[0] != '\0' ||
             (expected >= 0 && expected != engine->orders)) {
        status = 409;
    }
    else if (is_load) {
        engine->orders++;
        overloaded =
            engine->model_mb * (engine->model_count + 1) > engine->weights_mb;
        snprintf(engine->loading, sizeof(engine->loading), "%s", model);
        engine->loaded_at_ms =
            now_ms() + (is_on_disk(engine, model) ? 1200 : engine->load_ms);
    }
    else {
        engine->orders++;
        memmove(engine->models[index], engine->models[index + 1],
                (size_t)(engine->model_count - index - 1) *
                    sizeof(engine->models[0]));
        engine->model_count--;
    }
    pthread_mutex_unlock(&engine_lock);
    record("engine %s: order %s %s expected %lld -> %d, %ld orders%s",
           engine->id, is_load ? "load" : "unload", model, (long long)expected,
           status, engine->orders,
           overloaded ? "  <- more than weights_mb holds: crashes" : "");
    if (overloaded) {
        engine->over_memory++;
        engine_crash(engine);
    }
    return status;
}

struct late_order {
    struct engine *engine;
    char model[64];
    int64_t expected;
};

static void *
carry_out_late(void *data)
{
    struct late_order *order = data;

    pause_ms(order->engine->late_ms);
    if (!atomic_load(&order->engine->stopped)) {
        record("engine %s: carries out the order that it left unanswered",
               order->engine->id);
        carry_out(order->engine, true, order->model, order->expected);
    }
    free(order);
    return NULL;
}

/* Returns false when the order is left unanswered. */
static bool
take_order(struct engine *engine, struct json_object *order, int *status)
{
    const char *model = member_text(order, "model");
    bool is_load = strcmp(member_text(order, "operation"), "load") == 0;
    struct json_object *value = NULL;
    int64_t expected = -1;

    if (json_object_object_get_ex(order, "expected", &value)) {
        expected = json_object_get_int64(value);
    }
    if (is_load && engine->late_model != NULL &&
        strcmp(model, engine->late_model) == 0) {
        struct late_order *late = calloc(1, sizeof(*late));

        record("engine %s: order load %s expected %lld is left unanswered",
               engine->id, model, (long long)expected);
        engine->late_model = NULL;
        late->engine = engine;
        late->expected = expected;
        snprintf(late->model, sizeof(late->model), "%s", model);
        start_thread(carry_out_late, late);
        pause_ms(2000);
        return false;
    }
    *status = carry_out(engine, is_load, model, expected);
    return true;
}

/* Events without an end, as fast as the other side takes them. */
static void
send_endless(struct engine *engine, struct request *request)
{
    enum { DATA_BYTES = 240000 };
    char *event = malloc(DATA_BYTES + 256);
    long number = 1;
    bool open = true;

    while (open && !atomic_load(&engine->stopped)) {
        char head[64];
        int id = snprintf(event, 64, "id: %ld\ndata: ", number++);
        int length;

        memset(event + id, 'x', DATA_BYTES);
        memcpy(event + id + DATA_BYTES, "\n\n\r\n", 4);
        length = snprintf(head, sizeof(head), "%x\r\n", id + DATA_BYTES + 2);
        open = send_all(request->fd, head, (size_t)length) &&
               send_all(request->fd, event, (size_t)(id + DATA_BYTES + 4));
    }
    free(event);
    request->fd = -1;
}

/* Events of a stream, in chunks. An engine that exits cuts it off. */
static void
send_events(struct engine *engine, struct request *request, const char *fields)
{
    char text[1024];
    int length = snprintf(text, sizeof(text),
                          "HTTP/1.1 200 OK\r\n%sContent-Type: "
                          "text/event-stream\r\nTransfer-Encoding: "
                          "chunked\r\n\r\n",
                          fields);
    bool open = send_all(request->fd, text, (size_t)length);

    if (open && engine->endless) {
        send_endless(engine, request);
        return;
    }
    for (int i = 1; open && i <= engine->events; i++) {
        char event[64];
        int bytes =
            snprintf(event, sizeof(event), "id: %d\ndata: piece %d\n\n", i, i);

        length = snprintf(text, sizeof(text), "%x\r\n%s\r\n", bytes, event);
        open = !atomic_load(&engine->stopped) &&
               send_all(request->fd, text, (size_t)length);
        pause_ms(engine->event_gap_ms);
    }
    if (!open || atomic_load(&engine->stopped) ||
        !send_all(request->fd, "0\r\n\r\n", 5)) {
        request->fd = -1;
    }
}

static void
run_request(struct engine *engine, struct request *request)
{
    char attempt[128];
    char fields[512];
    char body[256];
    int length;

    request_field(request, "Attempt-Id", attempt, sizeof(attempt));
    if (engine->arrived != NULL) {
        engine->arrived(engine, attempt, request->path);
    }
    atomic_fetch_add(&engine->runs, 1);
    pause_ms(engine->work_ms);
    if (atomic_load(&engine->stopped)) {
        request->fd = -1;
        return;
    }
    snprintf(fields, sizeof(fields),
             "Attempt-Id: %s\r\nServer-Seal: 3e1b.%s\r\nInstance-Id: %s\r\n",
             attempt, engine->id, engine->id);
    if (engine->events > 0) {
        send_events(engine, request, fields);
        return;
    }
    length =
        snprintf(body, sizeof(body), "%s of %s", engine->id, engine->service);
    reply(request, 200, fields, body, (size_t)length);
}

static void
handle_engine_call(struct request *request, void *data)
{
    struct engine *engine = data;
    char value[128];
    char models[1024];
    char text[2048];
    int length;

    if (request_field(request, "Expect-Instance", value, sizeof(value)) !=
            NULL &&
        strcmp(value, engine->id) != 0) {
        snprintf(text, sizeof(text), "Instance-Id: %s\r\n", engine->id);
        reply(request, 421, text, "", 0);
    }
    else if (strcmp(request->path, "/v1/report") == 0) {
        print_models(engine, models, sizeof(models));
        length =
            snprintf(text, sizeof(text),
                     "{\"stage\":\"both\",\"models\":%s,\"busy\":%s,"
                     "\"sequence\":%ld,\"waiting_count\":0,"
                     "\"running_count\":0,\"kv_used\":0,"
                     "\"kv_total\":90000,\"handles\":0}",
                     models, engine->loading[0] != '\0' ? "true" : "false",
                     engine->orders);
        reply(request, 200, json_fields, text, (size_t)length);
    }
    else if (strcmp(request->path, "/v1/order") == 0) {
        struct json_object *order = json_tokener_parse(request->body);
        int status;

        if (take_order(engine, order, &status)) {
            reply(request, status, json_fields, "{}", 2);
        }
        else {
            request->fd = -1;
        }
        json_object_put(order);
    }
    else if (request_field(request, "Attempt-Id", value, sizeof(value)) ==
             NULL) {
        reply(request, 400, "Not-Executed: 1\r\n", "", 0);
    }
    else if (request_field(request, "Model", value, sizeof(value)) != NULL &&
             !holds(engine, value)) {
        request_field(request, "Attempt-Id", value, sizeof(value));
        snprintf(text, sizeof(text),
                 "Attempt-Id: %s\r\nNot-Executed: 1\r\nInstance-Id: %s\r\n",
                 value, engine->id);
        reply(request, 421, text, "", 0);
    }
    else {
        run_request(engine, request);
    }
}

struct engine *
engine_new(const char *id, const char *service, int work_ms)
{
    struct engine *engine = calloc(1, sizeof(*engine));

    snprintf(engine->id, sizeof(engine->id), "%s", id);
    snprintf(engine->service, sizeof(engine->service), "%s", service);
    snprintf(engine->zone, sizeof(engine->zone), "%s", stand_zone);
    snprintf(engine->state, sizeof(engine->state), "ready");
    engine->work_ms = work_ms;
    engine->slots = 6;
    engine->born_ms = (int64_t)time(NULL) * 1000;
    return engine;
}

void
engine_start(struct engine *engine, const char *ip)
{
    atomic_store(&engine->listed, true);
    engine->server = server_start(ip, handle_engine_call, engine);
    write_entry(engine);
    start_thread(beat, engine);
}

/* The engine leaves without a report of it: its entry is removed. */
void
engine_unlist(struct engine *engine)
{
    char key[128];

    atomic_store(&engine->listed, false);
    snprintf(key, sizeof(key), "servers/%s", engine->id);
    store_remove(key);
}

void
engine_exit(struct engine *engine)
{
    atomic_store(&engine->stopped, true);
    server_stop(engine->server);
}

/* The engine ends at once and says nothing; its entry stays until it
 * expires. */
void
engine_crash(struct engine *engine)
{
    record("engine %s: crashes", engine->id);
    atomic_store(&engine->listed, false);
    engine_exit(engine);
}

/* The engine starts again under its id and at its address: it holds and knows
 * nothing of before, and its disk is preserved. */
void
engine_start_again(struct engine *engine)
{
    pthread_mutex_lock(&engine_lock);
    engine->model_count = 0;
    engine->loading[0] = '\0';
    engine->orders = 0;
    engine->born_ms = (int64_t)time(NULL) * 1000;
    pthread_mutex_unlock(&engine_lock);
    atomic_store(&engine->sequence, 0);
    atomic_store(&engine->stopped, false);
    engine->server = server_start_again(engine->server);
    atomic_store(&engine->listed, true);
    record("engine %s: starts again", engine->id);
    write_entry(engine);
    start_thread(beat, engine);
}

/* ---- gates ---- */

static int
port_of(const char *address)
{
    return atoi(strchr(address, ':') + 1);
}

void
gate_configure(struct gate *gate, const char *name, const char *ip,
               const char *store, int memory_mb)
{
    char directory_address[64];
    char peer[64];
    FILE *file;
    int fds[4];

    memset(gate, 0, sizeof(*gate));
    snprintf(gate->name, sizeof(gate->name), "%s", name);
    snprintf(gate->ip, sizeof(gate->ip), "%s", ip);
    snprintf(gate->settings, sizeof(gate->settings), "%s/%s.json", directory,
             name);
    snprintf(gate->log, sizeof(gate->log), "%s/%s.log", directory, name);
    gate->memory_mb = memory_mb;
    /* Ports that are free now, and differ. */
    fds[0] = listen_on(ip, gate->front, sizeof(gate->front));
    fds[1] = listen_on(ip, gate->ready, sizeof(gate->ready));
    fds[2] = listen_on(ip, directory_address, sizeof(directory_address));
    fds[3] = listen_on(ip, peer, sizeof(peer));
    for (int i = 0; i < 4; i++) {
        close(fds[i]);
    }
    file = fopen(gate->settings, "w");
    if (file == NULL) {
        stand_cannot_run("cannot write settings");
    }
    fprintf(
        file,
        "{\"node_name\":\"%s\",\"role\":\"entry\",\"machine_class\":\"front\","
        "\"serves\":[\"front\",\"directory\"],\"ip\":\"%s\","
        "\"zone\":\"%s\",\"region\":\"%s\",\"zones\":{\"%s\":\"%s\"},"
        "\"listen\":{\"front\":\"%s\",\"ready\":\"%s\",\"directory\":\"%s\"},"
        "\"internal_ports\":[%d,%d],\"seeds\":[],\"bootstrap\":true,"
        "\"loss_counted\":false,\"limits\":{\"cpu_share\":0.5,\"cores\":1,"
        "\"memory_mb\":%d,\"max_fds\":4100,\"link_mbps\":1000.0,"
        "\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
        "\"entry\":\"directory\",\"heartbeat_ms\":1200,\"contracts\":[\"base\","
        "\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\","
        "\"stream\",\"engine\",\"platform\"],\"fault_tolerance\":{"
        "\"machines\":2,\"zones\":0,\"regions\":0},\"bounds\":{"
        "\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,"
        "\"ack_ms\":4000,\"catch_up_s\":4,\"drain_ms\":2000,\"grace_s\":8,"
        "\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"downgrade_ms\":250,"
        "\"max_stretch_ms\":5000,\"budget_ratio\":0.2,\"budget_window_s\":10,"
        "\"budget_extra\":58,\"recover_s\":12,\"pass_ms\":120,"
        "\"retry_after_s\":0,\"fencing_required\":false,\"lease_ms\":3000,"
        "\"thaw_ms\":300,\"ceiling_window_s\":5,\"ceiling_over\":1.1,"
        "\"ttl_max_s\":5},\"platform\":{\"address\":\"%s\",\"form\":\"kv\","
        "\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
        "\"value_bytes\":1048576,\"ttl_min_ms\":1000}}\n",
        name, ip, stand_zone, stand_region, stand_zone, stand_region,
        gate->front, gate->ready, directory_address, port_of(peer),
        port_of(peer) + 15, memory_mb, store);
    fclose(file);
    gates[gate_count++] = gate;
}

void
gate_start(struct gate *gate)
{
    char program[320];
    char variable[320];
    int log;

    snprintf(program, sizeof(program), "%s/target/turmericgate", repository);
    if (access(program, X_OK) != 0) {
        stand_cannot_run("target/turmericgate is not built");
    }
    snprintf(variable, sizeof(variable), "TURMERICSTALL_CONFIG=%s",
             gate->settings);
    gate->pid = fork();
    if (gate->pid == 0) {
        char *arguments[] = {(char *)"target/turmericgate", NULL};
        char *variables[] = {variable, (char *)"PATH=/usr/bin:/bin", NULL};

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        log = open(gate->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(log, 1);
        dup2(log, 2);
        if (chdir(repository) == 0) {
            execve(program, arguments, variables);
        }
        _exit(127);
    }
    record("gate %s: started, front %s", gate->name, gate->front);
}

void
gate_signal(struct gate *gate, int signal_number)
{
    record("gate %s: signal %d", gate->name, signal_number);
    kill(gate->pid, signal_number);
}

void
gate_reap(struct gate *gate)
{
    int status;

    if (gate->pid > 0 && waitpid(gate->pid, &status, 0) == gate->pid) {
        gate->pid = 0;
    }
}

bool
gate_is_ready(struct gate *gate)
{
    struct answer answer;

    client_call(gate->ready, "GET", "/v1/readiness", "-", 0, "", "", 0,
                &answer);
    return answer.status == 200;
}

void
gate_wait_ready(struct gate *gate, int64_t timeout_ms)
{
    int64_t until_ms = now_ms() + timeout_ms;

    while (!gate_is_ready(gate)) {
        if (now_ms() > until_ms) {
            stand_cannot_run("the gate is not ready in time");
        }
        pause_ms(50);
    }
    record("gate %s: ready", gate->name);
}

long
gate_rss_kb(const struct gate *gate)
{
    char path[64];
    char line[256];
    long kb = 0;
    FILE *file;

    snprintf(path, sizeof(path), "/proc/%d/status", (int)gate->pid);
    file = fopen(path, "r");
    while (file != NULL && fgets(line, sizeof(line), file) != NULL) {
        if (sscanf(line, "VmRSS: %ld kB", &kb) == 1) {
            break;
        }
    }
    if (file != NULL) {
        fclose(file);
    }
    return kb;
}

/* ---- clients ---- */

bool
client_send(int fd, const char *method, const char *host, const char *path,
            const char *attempt, int deadline_ms, const char *fields,
            const char *body, size_t body_bytes)
{
    char head[1024];
    int length =
        snprintf(head, sizeof(head), "%s %s HTTP/1.1\r\nHost: %s\r\n%s",
                 method, path, host, fields);

    if (deadline_ms > 0) {
        length += snprintf(head + length, sizeof(head) - (size_t)length,
                           "Attempt-Id: %s\r\nDeadline-Ms: %d\r\n", attempt,
                           deadline_ms);
    }
    if (body_bytes > 0 || strcmp(method, "POST") == 0) {
        length += snprintf(head + length, sizeof(head) - (size_t)length,
                           "Content-Length: %zu\r\n", body_bytes);
    }
    length += snprintf(head + length, sizeof(head) - (size_t)length, "\r\n");
    return send_all(fd, head, (size_t)length) &&
           send_all(fd, body, body_bytes);
}

/* Reads one answer; chunked bodies are read up to the last chunk. */
void
client_read(int fd, int timeout_ms, struct answer *answer)
{
    struct reader reader = {.fd = fd, .until_ms = now_ms() + timeout_ms};
    char value[64];
    size_t head;
    char *fields;
    bool chunked;
    size_t length = 0;

    memset(answer, 0, sizeof(*answer));
    head = read_head(&reader);
    if (head == 0) {
        free(reader.bytes);
        return;
    }
    fields = strndup(reader.bytes, head);
    answer->sealed =
        find_field(fields, "Server-Seal", value, sizeof(value)) != NULL;
    answer->closes =
        find_field(fields, "Connection", value, sizeof(value)) != NULL &&
        strcasecmp(value, "close") == 0;
    chunked =
        find_field(fields, "Transfer-Encoding", value, sizeof(value)) != NULL;
    if (find_field(fields, "Content-Length", value, sizeof(value)) != NULL) {
        length = (size_t)atoll(value);
    }
    while (chunked ? memmem(reader.bytes + head, reader.count - head,
                            "0\r\n\r\n", 5) == NULL
                   : reader.count < head + length) {
        if (!fill(&reader)) {
            free(fields);
            free(reader.bytes);
            return;
        }
    }
    answer->status = atoi(fields + 9);
    snprintf(answer->body, sizeof(answer->body), "%.*s",
             (int)(chunked ? reader.count - head : length),
             reader.bytes + head);
    free(fields);
    free(reader.bytes);
}

/* Reads at a steady rate until the end; returns the bytes read. */
long
client_read_slowly(int fd, int timeout_ms, int bytes_per_ms)
{
    int64_t start = now_ms();
    char bytes[65536];
    long total = 0;
    ssize_t count = 1;

    while (count > 0 && now_ms() - start < timeout_ms) {
        if (total > (now_ms() - start + 5) * bytes_per_ms) {
            pause_ms(2);
            continue;
        }
        count = recv(fd, bytes, sizeof(bytes), 0);
        total += count > 0 ? count : 0;
        if (count > 0 && memmem(bytes, (size_t)count, "\r\n0\r\n\r\n", 7)) {
            break;
        }
    }
    return total;
}

void
client_call(const char *address, const char *method, const char *path,
            const char *attempt, int deadline_ms, const char *fields,
            const char *body, size_t body_bytes, struct answer *answer)
{
    int fd = client_connect(address);

    memset(answer, 0, sizeof(*answer));
    if (fd < 0) {
        return;
    }
    if (client_send(fd, method, HOST, path, attempt, deadline_ms, fields, body,
                    body_bytes)) {
        client_read(fd, deadline_ms > 0 ? deadline_ms : 1000, answer);
    }
    close(fd);
}
