/* See stand3.h. */
#define _GNU_SOURCE
#include "stand3.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Time */

static int64_t
clock_ms(clockid_t id)
{
    struct timespec time;

    clock_gettime(id, &time);
    return (int64_t)time.tv_sec * 1000 + time.tv_nsec / 1000000;
}

int64_t
now_ms(void)
{
    return clock_ms(CLOCK_MONOTONIC);
}

int64_t
wall_ms(void)
{
    return clock_ms(CLOCK_REALTIME);
}

void
sleep_ms(int64_t ms)
{
    struct timespec time = {ms / 1000, (ms % 1000) * 1000000};

    nanosleep(&time, NULL);
}

/* Record */

static FILE *record_file;
static int64_t record_start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

void
record_open(const char *folder)
{
    char *path = g_strdup_printf("%s/record.txt", folder);

    record_file = fopen(path, "w");
    if (record_file == NULL) {
        perror(path);
        exit(2);
    }
    record_start_ms = now_ms();
    g_free(path);
}

void
record(const char *format, ...)
{
    va_list arguments;

    pthread_mutex_lock(&record_lock);
    fprintf(record_file, "%8.3f  ",
            (double)(now_ms() - record_start_ms) / 1000.0);
    va_start(arguments, format);
    vfprintf(record_file, format, arguments);
    va_end(arguments);
    fputc('\n', record_file);
    fflush(record_file);
    pthread_mutex_unlock(&record_lock);
}

/* Wire */

static bool
wire_fill(struct wire *wire)
{
    unsigned char buffer[16384];
    ssize_t count = recv(wire->fd, buffer, sizeof(buffer), 0);

    if (count <= 0) {
        return false;
    }
    g_byte_array_append(wire->in, buffer, (guint)count);
    return true;
}

static char *
wire_line(struct wire *wire)
{
    size_t searched = wire->used;

    for (;;) {
        const char *bytes = (const char *)wire->in->data;
        const char *end =
            wire->in->len > searched
                ? memchr(bytes + searched, '\n', wire->in->len - searched)
                : NULL;

        if (end != NULL) {
            size_t length = (size_t)(end - bytes) - wire->used;
            char *line = g_strndup(bytes + wire->used, length);

            wire->used += length + 1;
            return g_strchomp(line);
        }
        searched = wire->in->len;
        if (wire->in->len - wire->used > HEAD_BYTES_MAX || !wire_fill(wire)) {
            return NULL;
        }
    }
}

static bool
wire_take(struct wire *wire, size_t count, GByteArray *out)
{
    while (wire->in->len - wire->used < count) {
        if (!wire_fill(wire)) {
            return false;
        }
    }
    g_byte_array_append(out, wire->in->data + wire->used, (guint)count);
    wire->used += count;
    return true;
}

static void
wire_compact(struct wire *wire)
{
    g_byte_array_remove_range(wire->in, 0, (guint)wire->used);
    wire->used = 0;
}

static bool
read_chunks(struct wire *wire, GByteArray *body)
{
    for (;;) {
        char *line = wire_line(wire);
        size_t size;
        GByteArray *end;
        bool read;

        if (line == NULL || line[0] == '\0') {
            g_free(line);
            return false;
        }
        size = strtoul(line, NULL, 16);
        g_free(line);
        end = g_byte_array_new();
        read = wire_take(wire, size, body) && wire_take(wire, 2, end);
        g_byte_array_free(end, TRUE);
        if (!read || size == 0) {
            return read;
        }
    }
}

const char *
message_field(const struct message *message, const char *name)
{
    for (int i = 0; i < message->field_count; i++) {
        if (strcasecmp(message->names[i], name) == 0) {
            return message->values[i];
        }
    }
    return NULL;
}

void
message_free(struct message *message)
{
    if (message == NULL) {
        return;
    }
    for (int i = 0; i < message->field_count; i++) {
        g_free(message->names[i]);
        g_free(message->values[i]);
    }
    g_free(message->start);
    g_byte_array_free(message->body, TRUE);
    g_free(message);
}

struct message *
message_read(struct wire *wire, bool is_response)
{
    struct message *message = g_new0(struct message, 1);
    const char *length;
    const char *coding;
    char *line;
    bool whole = true;

    wire_compact(wire);
    message->body = g_byte_array_new();
    message->start = wire_line(wire);
    if (message->start == NULL) {
        message_free(message);
        return NULL;
    }
    while ((line = wire_line(wire)) != NULL && line[0] != '\0') {
        char *colon = strchr(line, ':');

        if (colon != NULL && message->field_count < FIELDS_MAX) {
            *colon = '\0';
            message->names[message->field_count] = g_strdup(line);
            message->values[message->field_count++] =
                g_strdup(g_strchug(colon + 1));
        }
        g_free(line);
    }
    length = message_field(message, "Content-Length");
    coding = message_field(message, "Transfer-Encoding");
    if (line == NULL) {
        whole = false;
    }
    else if (coding != NULL) {
        whole = read_chunks(wire, message->body);
    }
    else if (length != NULL) {
        whole = wire_take(wire, strtoul(length, NULL, 10), message->body);
    }
    else if (is_response) {
        whole = false; /* the machine always marks the end */
    }
    g_free(line);
    if (!whole) {
        message_free(message);
        return NULL;
    }
    return message;
}

bool
wire_write(struct wire *wire, const void *bytes, size_t count)
{
    const char *next = bytes;

    while (count > 0) {
        ssize_t written = send(wire->fd, next, count, MSG_NOSIGNAL);

        if (written <= 0) {
            return false;
        }
        next += written;
        count -= (size_t)written;
    }
    return true;
}

static struct wire *
wire_new(int fd)
{
    struct wire *wire = g_new0(struct wire, 1);
    int on = 1;

    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    wire->fd = fd;
    wire->in = g_byte_array_new();
    return wire;
}

void
wire_close(struct wire *wire)
{
    close(wire->fd);
    g_byte_array_free(wire->in, TRUE);
    g_free(wire);
}

static struct sockaddr_in
address_of(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};

    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

struct wire *
wire_connect(const char *ip, int port, int timeout_ms)
{
    struct sockaddr_in address = address_of(ip, port);
    struct timeval timeout = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return NULL;
    }
    return wire_new(fd);
}

int
listen_on(const char *ip, int port)
{
    struct sockaddr_in address = address_of(ip, port);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 512) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

int
free_port(const char *ip)
{
    int fd = listen_on(ip, 0);
    struct sockaddr_in address;
    socklen_t bytes = sizeof(address);

    if (fd < 0 || getsockname(fd, (struct sockaddr *)&address, &bytes) != 0) {
        fprintf(stderr, "no free port on %s\n", ip);
        exit(2);
    }
    close(fd);
    return ntohs(address.sin_port);
}

struct server {
    int fd;
    void (*serve)(struct wire *wire, void *data);
    void *data;
};

struct session {
    struct server server;
    int fd;
};

static void *
session_main(void *argument)
{
    struct session *session = argument;
    struct wire *wire = wire_new(session->fd);

    session->server.serve(wire, session->server.data);
    wire_close(wire);
    g_free(session);
    return NULL;
}

static void
start_thread(void *(*run)(void *), void *argument)
{
    pthread_t thread;

    if (pthread_create(&thread, NULL, run, argument) != 0) {
        fprintf(stderr, "no thread\n");
        exit(2);
    }
    pthread_detach(thread);
}

static void *
server_main(void *argument)
{
    struct server *server = argument;

    for (;;) {
        int fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);

        if (fd >= 0) {
            struct session *session = g_new0(struct session, 1);

            session->server = *server;
            session->fd = fd;
            start_thread(session_main, session);
        }
    }
    return NULL;
}

static void
start_server(const char *ip, int port,
             void (*serve)(struct wire *wire, void *data), void *data)
{
    struct server *server = g_new0(struct server, 1);

    server->fd = listen_on(ip, port);
    server->serve = serve;
    server->data = data;
    if (server->fd < 0) {
        fprintf(stderr, "cannot listen on %s:%d: %s\n", ip, port,
                strerror(errno));
        exit(2);
    }
    start_thread(server_main, server);
}

void
server_start(const char *ip, int port,
             void (*serve)(struct wire *wire, void *data), void *data)
{
    start_server(ip, port, serve, data);
}

/* Store */

struct item {
    char *key;
    char *value; /* base64; NULL for a deletion */
    int64_t revision;
    int64_t create_revision;
    int64_t lease;
};

struct lease {
    int64_t id;
    int64_t ttl_ms;
    int64_t end_ms;
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    int64_t revision;
    int64_t last_lease;
    GHashTable *items;  /* key -> struct item */
    GPtrArray *history; /* struct item */
    GArray *leases;
    bool turn_away;
    bool names_era;
    int64_t era;
    int64_t copy_revision;
    int64_t copy_last_lease;
    int64_t copied_ms;
    GHashTable *copy_items;
    GArray *copy_leases;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER, .revision = 10};

static void
add_history(const char *key, const char *value, int64_t create_revision,
            int64_t lease)
{
    struct item *item = g_new0(struct item, 1);

    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = ++store.revision;
    item->create_revision =
        create_revision != 0 ? create_revision : store.revision;
    item->lease = lease;
    g_ptr_array_add(store.history, item);
    if (value != NULL) {
        g_hash_table_insert(store.items, item->key, item);
    }
    else {
        g_hash_table_remove(store.items, key);
    }
    pthread_cond_broadcast(&store.changed);
}

static void
put_locked(const char *key, const char *value, int64_t lease)
{
    const struct item *known = g_hash_table_lookup(store.items, key);

    add_history(key, value, known != NULL ? known->create_revision : 0, lease);
}

static void
remove_locked(const char *key)
{
    if (g_hash_table_contains(store.items, key)) {
        add_history(key, NULL, 0, 0);
    }
}

static void
end_lease_locked(int64_t id)
{
    GList *items = g_hash_table_get_values(store.items);

    for (GList *link = items; link != NULL; link = link->next) {
        const struct item *item = link->data;

        if (item->lease == id) {
            remove_locked(item->key);
        }
    }
    g_list_free(items);
    for (guint i = 0; i < store.leases->len; i++) {
        if (g_array_index(store.leases, struct lease, i).id == id) {
            g_array_remove_index_fast(store.leases, i);
            return;
        }
    }
}

static void
expire_locked(void)
{
    for (guint i = store.leases->len; i > 0; i--) {
        struct lease lease = g_array_index(store.leases, struct lease, i - 1);

        if (now_ms() >= lease.end_ms) {
            end_lease_locked(lease.id);
        }
    }
}

static struct lease *
find_lease(int64_t id)
{
    for (guint i = 0; i < store.leases->len; i++) {
        struct lease *lease = &g_array_index(store.leases, struct lease, i);

        if (lease->id == id) {
            return lease;
        }
    }
    return NULL;
}

int64_t
store_put(const char *key, const char *value)
{
    char *encoded = g_base64_encode((const guchar *)value, strlen(value));
    int64_t revision;

    pthread_mutex_lock(&store.lock);
    expire_locked();
    put_locked(key, encoded, 0);
    revision = store.revision;
    pthread_mutex_unlock(&store.lock);
    g_free(encoded);
    return revision;
}

void
store_turn_away(bool turn_away)
{
    pthread_mutex_lock(&store.lock);
    store.turn_away = turn_away;
    pthread_mutex_unlock(&store.lock);
}

void
store_remove(const char *key)
{
    pthread_mutex_lock(&store.lock);
    remove_locked(key);
    pthread_mutex_unlock(&store.lock);
}

void
store_name_era(void)
{
    store.names_era = true;
}

static GHashTable *
copy_of(GHashTable *items)
{
    GHashTable *copy = g_hash_table_new(g_str_hash, g_str_equal);
    GHashTableIter iter;
    void *key;
    void *value;

    g_hash_table_iter_init(&iter, items);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        g_hash_table_insert(copy, key, value);
    }
    return copy;
}

void
store_copy(void)
{
    pthread_mutex_lock(&store.lock);
    expire_locked();
    store.copied_ms = now_ms();
    store.copy_revision = store.revision;
    store.copy_last_lease = store.last_lease;
    store.copy_items = copy_of(store.items);
    store.copy_leases = g_array_new(FALSE, FALSE, sizeof(struct lease));
    g_array_append_vals(store.copy_leases, store.leases->data,
                        store.leases->len);
    pthread_mutex_unlock(&store.lock);
}

void
store_restore(int64_t away_ms)
{
    store_turn_away(true);
    sleep_ms(away_ms);
    pthread_mutex_lock(&store.lock);
    store.revision = store.copy_revision;
    store.last_lease = store.copy_last_lease;
    store.items = copy_of(store.copy_items);
    store.history = g_ptr_array_new();
    store.leases = g_array_new(FALSE, FALSE, sizeof(struct lease));
    for (guint i = 0; i < store.copy_leases->len; i++) {
        struct lease lease =
            g_array_index(store.copy_leases, struct lease, i);

        lease.end_ms += now_ms() - store.copied_ms;
        g_array_append_val(store.leases, lease);
    }
    store.era++;
    store.turn_away = false;
    pthread_mutex_unlock(&store.lock);
}

static struct json_object *
item_json(const struct item *item)
{
    struct json_object *object = json_object_new_object();

    json_object_object_add(object, "key", json_object_new_string(item->key));
    json_object_object_add(object, "revision",
                           json_object_new_int64(item->revision));
    if (item->value == NULL) {
        json_object_object_add(object, "deleted",
                               json_object_new_boolean(true));
        return object;
    }
    json_object_object_add(object, "value",
                           json_object_new_string(item->value));
    json_object_object_add(object, "create_rev",
                           json_object_new_int64(item->create_revision));
    json_object_object_add(object, "lease",
                           json_object_new_int64(item->lease));
    return object;
}

static char *
query_value(const char *query, const char *name)
{
    char **pairs = g_strsplit(query, "&", -1);
    char *found = NULL;

    for (int i = 0; pairs[i] != NULL && found == NULL; i++) {
        size_t length = strlen(name);

        if (strncmp(pairs[i], name, length) == 0 && pairs[i][length] == '=') {
            found = g_uri_unescape_string(pairs[i] + length + 1, NULL);
        }
    }
    g_strfreev(pairs);
    return found != NULL ? found : g_strdup("");
}

static int
compare_items(const void *a, const void *b)
{
    return strcmp((*(struct item *const *)a)->key,
                  (*(struct item *const *)b)->key);
}

static struct json_object *
range_locked(const char *query)
{
    enum { PAGE = 500 };
    char *prefix = query_value(query, "path_prefix");
    char *after = query_value(query, "after");
    GPtrArray *found = g_ptr_array_new();
    struct json_object *list = json_object_new_array();
    struct json_object *answer = json_object_new_object();
    GHashTableIter iter;
    void *value;

    g_hash_table_iter_init(&iter, store.items);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const struct item *item = value;

        if (g_str_has_prefix(item->key, prefix) &&
            strcmp(item->key, after) > 0) {
            g_ptr_array_add(found, value);
        }
    }
    g_ptr_array_sort(found, compare_items);
    for (guint i = 0; i < found->len && i < PAGE; i++) {
        json_object_array_add(list, item_json(found->pdata[i]));
    }
    json_object_object_add(answer, "items", list);
    json_object_object_add(answer, "truncated",
                           json_object_new_boolean(found->len > PAGE));
    g_ptr_array_free(found, TRUE);
    g_free(prefix);
    g_free(after);
    return answer;
}

static struct json_object *
watch_locked(const char *query, const bool *away)
{
    char *prefix = query_value(query, "path_prefix");
    char *after_text = query_value(query, "after");
    char *wait_text = query_value(query, "wait_ms");
    int64_t after = g_ascii_strtoll(after_text, NULL, 10);
    int64_t end_ms = now_ms() + g_ascii_strtoll(wait_text, NULL, 10);
    struct json_object *list = json_object_new_array();
    struct json_object *answer = json_object_new_object();

    while (json_object_array_length(list) == 0) {
        struct timespec until;
        int64_t until_ms = wall_ms() + MIN(MAX(end_ms - now_ms(), 0), 50);

        expire_locked();
        for (guint i = 0; i < store.history->len; i++) {
            const struct item *item = store.history->pdata[i];

            if (item->revision > after &&
                g_str_has_prefix(item->key, prefix)) {
                json_object_array_add(list, item_json(item));
            }
        }
        if (json_object_array_length(list) > 0 || now_ms() >= end_ms ||
            store.turn_away || *away) {
            break;
        }
        until.tv_sec = until_ms / 1000;
        until.tv_nsec = (until_ms % 1000) * 1000000;
        pthread_cond_timedwait(&store.changed, &store.lock, &until);
    }
    json_object_object_add(answer, "events", list);
    g_free(prefix);
    g_free(after_text);
    g_free(wait_text);
    return answer;
}

static int64_t
get_number(struct json_object *object, const char *name)
{
    struct json_object *member = NULL;

    json_object_object_get_ex(object, name, &member);
    return json_object_get_int64(member);
}

static const char *
get_text(struct json_object *object, const char *name)
{
    struct json_object *member = NULL;

    json_object_object_get_ex(object, name, &member);
    return json_object_get_string(member);
}

static size_t
get_list(struct json_object *object, const char *name,
         struct json_object **list)
{
    *list = NULL;
    json_object_object_get_ex(object, name, list);
    return *list != NULL ? json_object_array_length(*list) : 0;
}

static int
transaction_locked(struct json_object *body, struct json_object *answer)
{
    struct json_object *list;
    struct json_object *unmet = json_object_new_array();
    size_t count = get_list(body, "expected", &list);

    for (size_t i = 0; i < count; i++) {
        struct json_object *row = json_object_array_get_idx(list, i);
        const struct item *item =
            g_hash_table_lookup(store.items, get_text(row, "key"));

        if ((item != NULL ? item->revision : 0) !=
            get_number(row, "revision")) {
            if (item != NULL) {
                json_object_array_add(unmet, item_json(item));
            }
            json_object_object_add(answer, "items", unmet);
            return 412;
        }
    }
    json_object_put(unmet);
    count = get_list(body, "puts", &list);
    for (size_t i = 0; i < count; i++) {
        int64_t lease =
            get_number(json_object_array_get_idx(list, i), "lease");

        if (lease != 0 && find_lease(lease) == NULL) {
            return 404;
        }
    }
    for (size_t i = 0; i < count; i++) {
        struct json_object *row = json_object_array_get_idx(list, i);

        put_locked(get_text(row, "key"), get_text(row, "value"),
                   get_number(row, "lease"));
    }
    count = get_list(body, "remove", &list);
    for (size_t i = 0; i < count; i++) {
        remove_locked(
            json_object_get_string(json_object_array_get_idx(list, i)));
    }
    json_object_object_add(answer, "revision",
                           json_object_new_int64(store.revision));
    return 200;
}

static int
lease_call_locked(const char *path, struct json_object *body,
                  struct json_object *answer)
{
    struct lease *lease;

    if (strcmp(path, "/v1/kv-lease") == 0) {
        struct lease added = {.id = ++store.last_lease,
                              .ttl_ms = get_number(body, "ttl_ms")};

        added.end_ms = now_ms() + added.ttl_ms;
        g_array_append_val(store.leases, added);
        json_object_object_add(answer, "lease",
                               json_object_new_int64(added.id));
        json_object_object_add(answer, "ttl_ms",
                               json_object_new_int64(added.ttl_ms));
        return 200;
    }
    lease = find_lease(g_ascii_strtoll(strrchr(path, '/') + 1, NULL, 10));
    if (lease == NULL) {
        return 404;
    }
    if (g_str_has_prefix(path, "/v1/kv-keep/")) {
        lease->end_ms = now_ms() + lease->ttl_ms;
    }
    else {
        end_lease_locked(lease->id);
    }
    return 200;
}

static int64_t
watched_revision(const char *query)
{
    char *text = query_value(query, "after");
    int64_t revision = g_ascii_strtoll(text, NULL, 10);

    g_free(text);
    return revision;
}

static int
store_call_locked(const char *path, const char *query,
                  struct json_object *body, const bool *away,
                  struct json_object **answer)
{
    int status = 200;

    expire_locked();
    *answer = NULL;
    if (store.turn_away || *away) {
        status = 503;
    }
    else if (strcmp(path, "/v1/kv-range") == 0) {
        *answer = range_locked(query);
    }
    else if (strcmp(path, "/v1/kv-watch") == 0) {
        int64_t era = store.era;

        if (watched_revision(query) > store.revision) {
            status = 410;
        }
        else {
            *answer = watch_locked(query, away);
            status = store.turn_away || *away || era != store.era ? 503 : 200;
        }
    }
    else if (strcmp(path, "/v1/kv-txn") == 0) {
        *answer = json_object_new_object();
        status = transaction_locked(body, *answer);
    }
    else if (g_str_has_prefix(path, "/v1/kv-lease") ||
             g_str_has_prefix(path, "/v1/kv-keep/")) {
        *answer = json_object_new_object();
        status = lease_call_locked(path, body, *answer);
    }
    else {
        status = 404;
    }
    if (*answer == NULL) {
        *answer = json_object_new_object();
    }
    json_object_object_add(*answer, "store_revision",
                           json_object_new_int64(store.revision));
    return status;
}

static void
store_serve(struct wire *wire, void *data)
{
    const bool *away = data;
    struct message *request;

    while ((request = message_read(wire, false)) != NULL) {
        char **words = g_strsplit(request->start, " ", 3);
        char **target = g_strsplit(words[1] != NULL ? words[1] : "", "?", 2);
        struct json_object *body = NULL;
        struct json_object *answer;
        const char *text;
        char *era;
        char *head;
        int status;
        bool written;

        if (request->body->len > 0) {
            g_byte_array_append(request->body, (const guint8 *)"", 1);
            body = json_tokener_parse((const char *)request->body->data);
        }
        sleep_ms(4);
        pthread_mutex_lock(&store.lock);
        status = store_call_locked(target[0], target[1] != NULL ? target[1] : "",
                                   body, away, &answer);
        era = store.names_era
                  ? g_strdup_printf("Store-Era: %" G_GINT64_FORMAT "\r\n",
                                    (gint64)store.era)
                  : g_strdup("");
        pthread_mutex_unlock(&store.lock);
        text = json_object_to_json_string_ext(answer, JSON_C_TO_STRING_PLAIN);
        head = g_strdup_printf("HTTP/1.1 %d Status\r\n"
                               "Content-Type: application/json\r\n"
                               "%s"
                               "Content-Length: %zu\r\n\r\n",
                               status, era, strlen(text));
        g_free(era);
        written = wire_write(wire, head, strlen(head)) &&
                  wire_write(wire, text, strlen(text));
        g_free(head);
        json_object_put(answer);
        json_object_put(body);
        g_strfreev(target);
        g_strfreev(words);
        message_free(request);
        if (!written) {
            return;
        }
    }
}

void
store_serve_at(const char *ip, int port, bool *away)
{
    start_server(ip, port, store_serve, away);
}

void
store_start(const char *ip, int port)
{
    static bool nobody;

    pthread_cond_init(&store.changed, NULL);
    store.items = g_hash_table_new(g_str_hash, g_str_equal);
    store.history = g_ptr_array_new();
    store.leases = g_array_new(FALSE, FALSE, sizeof(struct lease));
    store_serve_at(ip, port, &nobody);
}

/* Engines */

bool
engine_answer_whole(struct engine *engine, struct wire *wire,
                    const struct message *request, const char *body,
                    size_t bytes)
{
    char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
                                 "Attempt-Id: %s\r\n"
                                 "Server-Seal: seal.%s\r\n"
                                 "Content-Length: %zu\r\n\r\n",
                                 message_field(request, "Attempt-Id"),
                                 engine->id, bytes);
    bool written = wire_write(wire, head, strlen(head)) &&
                   wire_write(wire, body, bytes);

    g_free(head);
    return written;
}

static bool
refuse_other(struct engine *engine, struct wire *wire)
{
    char *head = g_strdup_printf("HTTP/1.1 421 Misdirected Request\r\n"
                                 "Instance-Id: %s\r\n"
                                 "Content-Length: 0\r\n\r\n",
                                 engine->id);
    bool written = wire_write(wire, head, strlen(head));

    g_free(head);
    return written;
}

static bool
engine_request(struct engine *engine, struct wire *wire,
               const struct message *request)
{
    const char *expected = message_field(request, "Expect-Instance");
    int number;

    if (expected != NULL && strcmp(expected, engine->id) != 0) {
        return refuse_other(engine, wire);
    }
    pthread_mutex_lock(&engine->lock);
    number = ++engine->run_count;
    pthread_mutex_unlock(&engine->lock);
    record("run      %s at %s of %s: %s", message_field(request, "Attempt-Id"),
           engine->id, engine->service, request->start);
    if (engine->answer != NULL) {
        return engine->answer(engine, wire, request, number);
    }
    return engine_answer_whole(engine, wire, request, engine->service,
                               strlen(engine->service));
}

static void
engine_serve(struct wire *wire, void *data)
{
    struct message *request;
    bool goes_on = true;

    while (goes_on && (request = message_read(wire, false)) != NULL) {
        goes_on = engine_request(data, wire, request);
        message_free(request);
    }
}

static void *
engine_beat(void *argument)
{
    enum { HEARTBEAT_MS = 1200 };
    struct engine *engine = argument;
    char *key = g_strdup_printf("servers/%s", engine->id);

    for (;;) {
        char *entry = g_strdup_printf(
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"pos-a\","
            "\"version\":1,\"slots\":6,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"sequence\":%" G_GINT64_FORMAT
            ",\"born\":%" G_GINT64_FORMAT "}",
            engine->service, engine->ip, engine->port,
            (gint64)++engine->entry_writes, (gint64)engine->born);

        if (!engine->silent) {
            store_put(key, entry);
        }
        g_free(entry);
        sleep_ms(HEARTBEAT_MS);
    }
    return NULL;
}

void
engine_start(struct engine *engine, const char *id, const char *service,
             const char *ip)
{
    g_strlcpy(engine->id, id, sizeof(engine->id));
    g_strlcpy(engine->service, service, sizeof(engine->service));
    g_strlcpy(engine->ip, ip, sizeof(engine->ip));
    engine->port = free_port(ip);
    engine->born = wall_ms();
    pthread_mutex_init(&engine->lock, NULL);
    start_server(ip, engine->port, engine_serve, engine);
    start_thread(engine_beat, engine);
}

/* The machine under test */

static void
write_settings(const struct gate *gate, int store_port, const char *more)
{
    int internal = free_port(gate->ip);
    int directory = free_port(gate->ip);
    FILE *file = fopen(gate->settings, "w");

    if (file == NULL) {
        perror(gate->settings);
        exit(2);
    }
    fprintf(
        file,
        "{\"node_name\":\"front-%s\",\"role\":\"entry\","
        "\"machine_class\":\"front\",\"serves\":[\"front\",\"directory\"],"
        "\"ip\":\"%s\",\"zone\":\"pos-a\",\"region\":\"pos\","
        "\"internal_ports\":[%d,%d],\"seeds\":[],\"bootstrap\":true,"
        "\"loss_counted\":false,\"discovery\":\"platform\","
        "\"entry\":\"directory\",\"heartbeat_ms\":1200,"
        "\"zones\":{\"pos-a\":\"pos\"},"
        "\"listen\":{\"front\":\"%s:%d\",\"ready\":\"%s:%d\","
        "\"directory\":\"%s:%d\"},"
        "\"limits\":{\"cpu_share\":0.5,\"cores\":1,\"memory_mb\":520,"
        "\"max_fds\":8200,\"link_mbps\":2000.0,\"disk_mb\":0},"
        "\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,"
        "\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,"
        "\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
        "\"config_apply_ms\":2000,\"downgrade_ms\":250,"
        "\"max_stretch_ms\":5000,\"budget_ratio\":0.2,"
        "\"budget_window_s\":10,\"budget_extra\":58,\"recover_s\":12,"
        "\"pass_ms\":120,\"retry_after_s\":0,\"fencing_required\":false,"
        "\"lease_ms\":3000,\"thaw_ms\":300,\"ceiling_window_s\":5,"
        "\"ceiling_over\":1.1,\"ttl_max_s\":5%s},"
        "\"platform\":{\"address\":\"127.0.0.1:%d\",\"form\":\"kv\","
        "\"writes_per_s\":400,\"reads_per_s\":2000,\"history_s\":20,"
        "\"value_bytes\":1048576,\"ttl_min_ms\":1000}}\n",
        gate->ip, gate->ip, internal, internal + 1, gate->ip, gate->front_port, gate->ip,
        gate->ready_port, gate->ip, directory, more, store_port);
    fclose(file);
}

void
gate_start(struct gate *gate, const char *folder, const char *ip,
           int store_port, const char *more_bounds)
{
    pid_t parent;

    g_strlcpy(gate->ip, ip, sizeof(gate->ip));
    g_snprintf(gate->settings, sizeof(gate->settings), "%s/%s.json", folder,
               ip);
    g_snprintf(gate->log, sizeof(gate->log), "%s/%s.log", folder, ip);
    gate->front_port = free_port(ip);
    gate->ready_port = free_port(ip);
    write_settings(gate, store_port, more_bounds);
    parent = getpid();
    gate->pid = fork();
    if (gate->pid == 0) {
        FILE *log = freopen(gate->log, "a", stdout);

        dup2(fileno(log), STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(127);
        }
        setenv("TURMERICSTALL_CONFIG", gate->settings, 1);
        execl("target/turmericgate", "target/turmericgate", (char *)NULL);
        _exit(127);
    }
}

bool
gate_is_ready(const struct gate *gate, int64_t timeout_ms)
{
    static const char request[] = "GET /v1/readiness HTTP/1.1\r\n"
                                  "Host: platform\r\n\r\n";
    int64_t end_ms = now_ms() + timeout_ms;

    while (now_ms() < end_ms) {
        struct wire *wire = wire_connect(gate->ip, gate->ready_port, 1000);
        struct message *response = NULL;
        bool ready = false;

        if (wire != NULL) {
            if (wire_write(wire, request, strlen(request))) {
                response = message_read(wire, true);
            }
            ready = response != NULL &&
                    strncmp(response->start, "HTTP/1.1 200", 12) == 0;
            message_free(response);
            wire_close(wire);
        }
        if (ready) {
            return true;
        }
        sleep_ms(50);
    }
    return false;
}

void
gate_stop(struct gate *gate)
{
    if (gate->pid > 0) {
        kill(gate->pid, SIGKILL);
        waitpid(gate->pid, NULL, 0);
        gate->pid = 0;
    }
}

char *
new_attempt_id(void)
{
    static int count;

    return g_strdup_printf("%08x%08x", g_random_int(),
                           g_atomic_int_add(&count, 1));
}

int
ask(const struct gate *gate, const char *method, const char *path,
    const char *fields, const char *attempt_id, GByteArray *body)
{
    struct wire *wire = wire_connect(gate->ip, gate->front_port, 5000);
    char *request =
        g_strdup_printf("%s %s HTTP/1.1\r\n"
                        "Host: a.example\r\n"
                        "Attempt-Id: %s\r\n"
                        "Deadline-Ms: 1000\r\n"
                        "%s"
                        "Content-Length: 0\r\n\r\n",
                        method, path, attempt_id, fields);
    struct message *response = NULL;
    int status = 0;

    record("sent     %s: %s %s", attempt_id, method, path);
    if (wire != NULL && wire_write(wire, request, strlen(request))) {
        response = message_read(wire, true);
    }
    if (response != NULL) {
        status = atoi(response->start + strlen("HTTP/1.1 "));
        if (body != NULL) {
            g_byte_array_append(body, response->body->data,
                                response->body->len);
        }
        record("answered %s: %d, seal %s, %u bytes", attempt_id, status,
               message_field(response, "Server-Seal") != NULL
                   ? message_field(response, "Server-Seal")
                   : "none",
               response->body->len);
    }
    else {
        record("answered %s: no whole answer", attempt_id);
    }
    message_free(response);
    if (wire != NULL) {
        wire_close(wire);
    }
    g_free(request);
    return status;
}
