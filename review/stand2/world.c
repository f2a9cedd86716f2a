/* See world.h. */
#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum {
    BEAT_MS = 1200,
    SILENT_BEATS = 3,
    LOAD_MS = 6000,
    DISK_LOAD_MS = 1000,
    ADAPTER_LOAD_MS = 10,
    WEIGHTS_MB = 72700,
    ENGINE_MB = 200000,
    ADAPTER_MB = 40,
    ADAPTER_SLOTS = 8,
};

struct key {
    char *name;
    char *value; /* base64 */
    int64_t revision;
    int64_t created;
    int64_t lease;
};

struct change {
    char *name;
    char *value; /* NULL for a deletion */
    int64_t revision;
    int64_t created;
    int64_t lease;
};

struct lease {
    int64_t id;
    int64_t ttl_ms;
    int64_t until_ms;
};

struct engine engines[ENGINES_MAX];
int engine_count;
struct gate gates[GATES_MAX];
int gate_count;
GPtrArray *attempts;
bool trouble = true;
const struct scenario *scenario;
int exit_code = 2;
int64_t start_ms;
int lost_with_engines;
int64_t crash_ms[64];
int crash_count;

static GPtrArray *keys;    /* struct key, by name */
static GPtrArray *changes; /* struct change */
static GPtrArray *leases;
static GPtrArray *conns;
static int64_t revision = 1;
static int64_t next_lease = 100;
static FILE *record;
static char folder[256];

int64_t
now_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_MONOTONIC, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

int64_t
wall_ms(void)
{
    struct timespec t;

    clock_gettime(CLOCK_REALTIME, &t);
    return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

void
note(const char *format, ...)
{
    va_list arguments;

    fprintf(record, "%8.3f  ", (double)(now_ms() - start_ms) / 1000.0);
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
}

static int
listen_on(const char *ip, int port, int *bound)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    socklen_t length = sizeof(address);
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, ip, &address.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    getsockname(fd, (struct sockaddr *)&address, &length);
    *bound = ntohs(address.sin_port);
    return fd;
}

/* --- messages --- */

static const char *
field(const struct message *message, const char *name, char *out, size_t size)
{
    const char *line = message->bytes->str;
    const char *end = line + message->head_bytes;
    size_t length = strlen(name);

    out[0] = '\0';
    while (line < end) {
        const char *next = memmem(line, (size_t)(end - line), "\r\n", 2);

        if (next == NULL) {
            break;
        }
        if ((size_t)(next - line) > length && line[length] == ':' &&
            strncasecmp(line, name, length) == 0) {
            const char *value = line + length + 1;

            while (value < next && *value == ' ') {
                value++;
            }
            g_strlcpy(out, value, MIN(size, (size_t)(next - value) + 1));
            return out;
        }
        line = next + 2;
    }
    return NULL;
}

/* Length of a whole request at the start; 0 while it is incomplete. */
static size_t
request_length(struct message *message)
{
    char length[32];

    if (message->head_bytes == 0) {
        const char *end =
            memmem(message->bytes->str, message->bytes->len, "\r\n\r\n", 4);

        if (end == NULL) {
            return 0;
        }
        message->head_bytes = (size_t)(end - message->bytes->str) + 4;
    }
    field(message, "Content-Length", length, sizeof(length));
    if (message->bytes->len < message->head_bytes + (size_t)atol(length)) {
        return 0;
    }
    return message->head_bytes + (size_t)atol(length);
}

static void
write_all(int fd, const char *bytes, size_t count)
{
    while (count > 0) {
        ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);

        if (sent < 0 && errno == EAGAIN) {
            struct pollfd wait = {.fd = fd, .events = POLLOUT};

            if (poll(&wait, 1, 200) <= 0) {
                return;
            }
            continue;
        }
        if (sent <= 0) {
            return;
        }
        bytes += sent;
        count -= (size_t)sent;
    }
}

static void
respond(struct conn *conn, int status, const char *fields, const char *body)
{
    char *text = g_strdup_printf("HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n"
                                 "Content-Type: application/json\r\n\r\n%s",
                                 status, fields, strlen(body), body);

    write_all(conn->fd, text, strlen(text));
    g_free(text);
}

/* --- the store --- */

static struct key *
find_key(const char *name, guint *index)
{
    for (guint i = 0; i < keys->len; i++) {
        struct key *key = keys->pdata[i];

        if (strcmp(key->name, name) == 0) {
            *index = i;
            return key;
        }
    }
    return NULL;
}

static void
add_change(const char *name, const char *value, int64_t created, int64_t lease)
{
    struct change *change = g_new0(struct change, 1);

    change->name = g_strdup(name);
    change->value = g_strdup(value);
    change->revision = revision;
    change->created = created;
    change->lease = lease;
    g_ptr_array_add(changes, change);
}

static gint
compare_keys(gconstpointer a, gconstpointer b)
{
    return strcmp((*(struct key *const *)a)->name,
                  (*(struct key *const *)b)->name);
}

static void
put_base64(const char *name, const char *value, int64_t lease)
{
    guint index;
    struct key *key = find_key(name, &index);

    revision++;
    if (key == NULL) {
        key = g_new0(struct key, 1);
        key->name = g_strdup(name);
        key->created = revision;
        g_ptr_array_add(keys, key);
        g_ptr_array_sort(keys, compare_keys);
    }
    g_free(key->value);
    key->value = g_strdup(value);
    key->revision = revision;
    key->lease = lease;
    add_change(name, value, key->created, lease);
}

void
put_key(const char *key, const char *value, size_t bytes, int64_t lease)
{
    char *encoded = g_base64_encode((const guchar *)value, bytes);

    put_base64(key, encoded, lease);
    g_free(encoded);
}

void
remove_key(const char *name)
{
    guint index;

    if (find_key(name, &index) != NULL) {
        revision++;
        add_change(name, NULL, 0, 0);
        g_ptr_array_remove_index(keys, index);
    }
}

static void
end_lease(struct lease *lease)
{
    for (guint i = keys->len; i > 0; i--) {
        struct key *key = keys->pdata[i - 1];

        if (key->lease == lease->id) {
            note("store: lease %" G_GINT64_FORMAT " ends, %s is removed",
                 lease->id, key->name);
            remove_key(key->name);
        }
    }
    g_ptr_array_remove(leases, lease);
}

static struct lease *
find_lease(int64_t id)
{
    for (guint i = 0; i < leases->len; i++) {
        struct lease *lease = leases->pdata[i];

        if (lease->id == id) {
            return lease;
        }
    }
    return NULL;
}

static struct json_object *
item_json(const char *name, const char *value, int64_t item_revision,
          int64_t created, int64_t lease)
{
    struct json_object *item = json_object_new_object();

    json_object_object_add(item, "key", json_object_new_string(name));
    json_object_object_add(item, "revision",
                           json_object_new_int64(item_revision));
    if (value == NULL) {
        json_object_object_add(item, "deleted", json_object_new_boolean(true));
        return item;
    }
    json_object_object_add(item, "value", json_object_new_string(value));
    json_object_object_add(item, "create_rev", json_object_new_int64(created));
    json_object_object_add(item, "lease", json_object_new_int64(lease));
    return item;
}

static void
respond_json(struct conn *conn, int status, struct json_object *body)
{
    respond(conn, status, "",
            json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN));
    json_object_put(body);
}

static void
query(const char *path, const char *name, char *out, size_t size)
{
    char *wanted = g_strdup_printf("%s=", name);
    const char *at = strchr(path, '?');

    out[0] = '\0';
    while (at != NULL) {
        at++;
        if (g_str_has_prefix(at, wanted)) {
            char *raw = g_strndup(at + strlen(wanted),
                                  strcspn(at + strlen(wanted), "&"));
            char *text = g_uri_unescape_string(raw, NULL);

            g_strlcpy(out, text != NULL ? text : "", size);
            g_free(raw);
            g_free(text);
            break;
        }
        at = strchr(at, '&');
    }
    g_free(wanted);
}

static void
serve_range(struct conn *conn, const char *path)
{
    struct json_object *body = json_object_new_object();
    struct json_object *list = json_object_new_array();
    char prefix[128];
    char after[256];

    query(path, "path_prefix", prefix, sizeof(prefix));
    query(path, "after", after, sizeof(after));
    for (guint i = 0; i < keys->len; i++) {
        const struct key *key = keys->pdata[i];

        if (g_str_has_prefix(key->name, prefix) &&
            strcmp(key->name, after) > 0) {
            json_object_array_add(list, item_json(key->name, key->value,
                                                  key->revision, key->created,
                                                  key->lease));
        }
    }
    json_object_object_add(body, "items", list);
    json_object_object_add(body, "truncated", json_object_new_boolean(false));
    json_object_object_add(body, "store_revision",
                           json_object_new_int64(revision));
    respond_json(conn, 200, body);
}

/* Returns whether the watch was answered. */
static bool
answer_watch(struct conn *conn, bool timed_out)
{
    struct json_object *list = json_object_new_array();
    struct json_object *body;

    for (guint i = 0; i < changes->len; i++) {
        const struct change *change = changes->pdata[i];

        if (change->revision > conn->watch_after &&
            g_str_has_prefix(change->name, conn->watch_prefix)) {
            json_object_array_add(
                list, item_json(change->name, change->value, change->revision,
                                change->created, change->lease));
        }
    }
    if (json_object_array_length(list) == 0 && !timed_out) {
        json_object_put(list);
        return false;
    }
    body = json_object_new_object();
    json_object_object_add(body, "events", list);
    json_object_object_add(body, "store_revision",
                           json_object_new_int64(revision));
    conn->watch = false;
    respond_json(conn, 200, body);
    return true;
}

static void
serve_txn(struct conn *conn, const char *text)
{
    struct json_object *request = json_tokener_parse(text);
    struct json_object *list;
    struct json_object *failed = json_object_new_array();
    struct json_object *body;
    guint index;

    if (json_object_object_get_ex(request, "expected", &list)) {
        for (size_t i = 0; i < json_object_array_length(list); i++) {
            struct json_object *row = json_object_array_get_idx(list, i);
            const char *name =
                json_object_get_string(json_object_object_get(row, "key"));
            int64_t wanted =
                json_object_get_int64(json_object_object_get(row, "revision"));
            const struct key *key = find_key(name, &index);

            if ((key != NULL ? key->revision : 0) != wanted) {
                if (key != NULL) {
                    json_object_array_add(
                        failed, item_json(key->name, key->value, key->revision,
                                          key->created, key->lease));
                }
                body = json_object_new_object();
                json_object_object_add(body, "items", failed);
                respond_json(conn, 412, body);
                json_object_put(request);
                return;
            }
        }
    }
    json_object_put(failed);
    if (json_object_object_get_ex(request, "puts", &list)) {
        for (size_t i = 0; i < json_object_array_length(list); i++) {
            struct json_object *put = json_object_array_get_idx(list, i);
            int64_t lease =
                json_object_get_int64(json_object_object_get(put, "lease"));

            if (lease != 0 && find_lease(lease) == NULL) {
                respond(conn, 404, "", "{}");
                json_object_put(request);
                return;
            }
            note("store: put %s",
                 json_object_get_string(json_object_object_get(put, "key")));
            put_base64(
                json_object_get_string(json_object_object_get(put, "key")),
                json_object_get_string(json_object_object_get(put, "value")),
                lease);
        }
    }
    if (json_object_object_get_ex(request, "remove", &list)) {
        for (size_t i = 0; i < json_object_array_length(list); i++) {
            remove_key(
                json_object_get_string(json_object_array_get_idx(list, i)));
        }
    }
    json_object_put(request);
    body = json_object_new_object();
    json_object_object_add(body, "revision", json_object_new_int64(revision));
    respond_json(conn, 200, body);
}

static void
serve_lease(struct conn *conn, const char *text)
{
    struct json_object *request = json_tokener_parse(text);
    struct lease *lease = g_new0(struct lease, 1);
    char body[128];

    lease->id = next_lease++;
    lease->ttl_ms =
        MAX(json_object_get_int64(json_object_object_get(request, "ttl_ms")),
            1000);
    lease->until_ms = now_ms() + lease->ttl_ms;
    g_ptr_array_add(leases, lease);
    json_object_put(request);
    g_snprintf(body, sizeof(body),
               "{\"lease\":%" G_GINT64_FORMAT ",\"ttl_ms\":%" G_GINT64_FORMAT
               "}",
               lease->id, lease->ttl_ms);
    respond(conn, 200, "", body);
}

static void
serve_store(struct conn *conn, const char *method, const char *path,
            const char *body)
{
    char text[128];

    if (g_str_has_prefix(path, "/v1/kv-range")) {
        serve_range(conn, path);
    }
    else if (g_str_has_prefix(path, "/v1/kv-watch")) {
        query(path, "path_prefix", conn->watch_prefix,
              sizeof(conn->watch_prefix));
        query(path, "after", text, sizeof(text));
        conn->watch_after = atoll(text);
        query(path, "wait_ms", text, sizeof(text));
        conn->watch_until = now_ms() + atoll(text);
        conn->watch = true;
        answer_watch(conn, false);
    }
    else if (strcmp(path, "/v1/kv-txn") == 0) {
        serve_txn(conn, body);
    }
    else if (strcmp(path, "/v1/kv-lease") == 0) {
        serve_lease(conn, body);
    }
    else if (g_str_has_prefix(path, "/v1/kv-keep/")) {
        struct lease *lease = find_lease(atoll(path + 12));

        if (lease != NULL) {
            lease->until_ms = now_ms() + lease->ttl_ms;
        }
        respond(conn, lease != NULL ? 200 : 404, "",
                lease != NULL ? "{\"ttl_ms\":3000}" : "{}");
    }
    else if (strcmp(method, "DELETE") == 0 &&
             g_str_has_prefix(path, "/v1/kv-lease-end/")) {
        struct lease *lease = find_lease(atoll(path + 17));

        respond(conn, lease != NULL ? 200 : 404, "", "{}");
        if (lease != NULL) {
            end_lease(lease);
        }
    }
    else {
        respond(conn, 404, "", "{}");
    }
}

/* --- engines --- */

bool
engine_holds(const struct engine *engine, const char *item)
{
    for (int i = 0; i < engine->held_count; i++) {
        if (strcmp(engine->held[i], item) == 0) {
            return true;
        }
    }
    return false;
}

static void
models_json(const struct engine *engine, struct json_object *out)
{
    struct json_object *models = json_object_new_array();
    struct json_object *at_hand = json_object_new_object();
    struct json_object *disk = json_object_new_array();

    for (int i = 0; i < engine->held_count; i++) {
        struct json_object *model;
        struct json_object *adapters;

        if (strchr(engine->held[i], '/') != NULL) {
            continue;
        }
        model = json_object_new_object();
        adapters = json_object_new_array();
        for (int j = 0; j < engine->held_count; j++) {
            const char *slash = strchr(engine->held[j], '/');

            if (slash != NULL &&
                strncmp(engine->held[j], engine->held[i],
                        (size_t)(slash - engine->held[j])) == 0) {
                json_object_array_add(adapters,
                                      json_object_new_string(slash + 1));
            }
        }
        json_object_object_add(model, "name",
                               json_object_new_string(engine->held[i]));
        json_object_object_add(model, "version", json_object_new_int(1));
        json_object_object_add(model, "adapters", adapters);
        json_object_array_add(models, model);
    }
    json_object_object_add(out, "models", models);
    for (int i = 0; i < engine->disk_count; i++) {
        json_object_array_add(disk, json_object_new_string(engine->disk[i]));
    }
    json_object_object_add(at_hand, "in_memory", json_object_new_array());
    json_object_object_add(at_hand, "on_disk", disk);
    json_object_object_add(out, "at_hand", at_hand);
}

static void
engine_beat(struct engine *engine)
{
    struct json_object *entry = json_object_new_object();
    char *key = g_strdup_printf("servers/%s", engine->id);
    const char *text;

    json_object_object_add(entry, "service",
                           json_object_new_string(engine->service));
    json_object_object_add(entry, "address",
                           json_object_new_string(engine->address));
    json_object_object_add(entry, "zone", json_object_new_string("za"));
    json_object_object_add(entry, "version", json_object_new_string("v1"));
    json_object_object_add(entry, "slots", json_object_new_int(engine->slots));
    json_object_object_add(entry, "state", json_object_new_string("ready"));
    json_object_object_add(entry, "cold_remaining_ms", json_object_new_int(0));
    json_object_object_add(entry, "stage", json_object_new_string("both"));
    json_object_object_add(entry, "born",
                           json_object_new_int64(engine->born_ms));
    json_object_object_add(entry, "sequence",
                           json_object_new_int64(now_ms() / BEAT_MS));
    models_json(engine, entry);
    text = json_object_to_json_string_ext(entry, JSON_C_TO_STRING_PLAIN);
    put_key(key, text, strlen(text), 0);
    engine->beat_ms = now_ms();
    json_object_put(entry);
    g_free(key);
}

static void
engine_start(struct engine *engine)
{
    int port;

    engine->fd = listen_on("127.0.0.1", engine->port, &port);
    if (engine->fd < 0) {
        engine->back_ms = now_ms() + 50;
        return;
    }
    engine->port = port;
    engine->back_ms = 0;
    engine->born_ms = wall_ms();
    engine->sequence = 0;
    engine->loading[0] = '\0';
    if (engine->incarnation == 0 || !engine->same_id) {
        g_strlcpy(engine->old_id, engine->id, sizeof(engine->old_id));
        g_snprintf(engine->id, sizeof(engine->id), "i-%02d%04x%02d",
                   (int)(engine - engines), (unsigned)getpid() & 0xffff,
                   engine->incarnation);
    }
    engine->incarnation++;
    g_snprintf(engine->address, sizeof(engine->address), "127.0.0.1:%d",
               engine->port);
    engine_beat(engine);
    if (engine->incarnation > 1) {
        note("engine %s is back at %s", engine->id, engine->address);
    }
}

void
engine_add(const char *service, int slots)
{
    struct engine *engine = &engines[engine_count++];

    g_strlcpy(engine->service, service, sizeof(engine->service));
    engine->slots = slots;
    engine->fd = -1;
    engine->back_ms = 1;
    engine->late.at_ms = INT64_MAX;
}

static void
reset(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(fd);
}

static struct attempt *
find_attempt(const char *id)
{
    for (guint i = 0; i < attempts->len; i++) {
        struct attempt *attempt = attempts->pdata[i];

        if (strcmp(attempt->id, id) == 0) {
            return attempt;
        }
    }
    return NULL;
}

static void
conn_free(struct conn *conn)
{
    g_string_free(conn->in.bytes, TRUE);
    g_free(conn->run);
    g_free(conn);
}

void
engine_crash(int index, int64_t back_after_ms, const char *why)
{
    struct engine *engine = &engines[index];
    char cause[64];
    int cut = 0;

    /* It may stand in a run that is released below. */
    g_strlcpy(cause, why, sizeof(cause));
    if (engine->fd < 0) {
        return;
    }
    close(engine->fd);
    engine->fd = -1;
    for (guint i = conns->len; i > 0; i--) {
        struct conn *conn = conns->pdata[i - 1];

        if (conn->kind == CONN_ENGINE && conn->engine == index) {
            if (conn->run != NULL && !conn->run->deadly) {
                cut++;
            }
            reset(conn->fd);
            conn_free(conn);
            g_ptr_array_remove_index(conns, i - 1);
        }
    }
    lost_with_engines += cut;
    engine->crashes++;
    engine->held_count = 0; /* it starts empty; the disk stays */
    engine->entry_gone_ms = now_ms() + SILENT_BEATS * BEAT_MS;
    engine->back_ms = now_ms() + back_after_ms;
    note("engine %s crashes (%s), with %d other requests at work", engine->id,
         cause, cut);
}

/* The engine leaves without a word: its entry is removed, and it serves on for
 * a while. */
void
engine_release(int index, int64_t leave_after_ms)
{
    struct engine *engine = &engines[index];
    char *key = g_strdup_printf("servers/%s", engine->id);

    engine->removed_ms = now_ms();
    engine->leave_ms = now_ms() + leave_after_ms;
    remove_key(key);
    note("engine %s: its entry is removed, it serves on for %" G_GINT64_FORMAT
         " ms",
         engine->id, leave_after_ms);
    g_free(key);
}

static double
used_mb(const struct engine *engine)
{
    double mb = 0;

    for (int i = 0; i < engine->held_count; i++) {
        mb += strchr(engine->held[i], '/') != NULL ? ADAPTER_MB : WEIGHTS_MB;
    }
    return mb + (engine->loading[0] != '\0' ? WEIGHTS_MB : 0);
}

static void
drop_item(struct engine *engine, const char *item)
{
    size_t length = strlen(item);

    for (int i = engine->held_count; i > 0; i--) {
        char *held = engine->held[i - 1];

        if (strcmp(held, item) == 0 ||
            (strncmp(held, item, length) == 0 && held[length] == '/')) {
            memmove(held, engine->held[i],
                    (size_t)(engine->held_count - i) *
                        sizeof(engine->held[0]));
            engine->held_count--;
        }
    }
}

/* Carries an order out whose conditions hold. Returns its status. */
static int
carry_out(int index, bool load, const char *item, int64_t expected)
{
    struct engine *engine = &engines[index];
    bool adapter = strchr(item, '/') != NULL;

    if (load == engine_holds(engine, item) &&
        strcmp(engine->loading, item) != 0) {
        return 200;
    }
    if (engine->loading[0] != '\0' ||
        (expected >= 0 && expected != engine->sequence)) {
        return 409;
    }
    if (load &&
        used_mb(engine) + (adapter ? ADAPTER_MB : WEIGHTS_MB) > ENGINE_MB) {
        note("LIMIT: engine %s (sequence %" G_GINT64_FORMAT
             ") is ordered to load %s beside %.0f MB of %d MB",
             engine->id, engine->sequence, item, used_mb(engine), ENGINE_MB);
        exit_code = 1;
        engine_crash(index, 3000, "more weights than it has memory for");
        return 0;
    }
    engine->sequence++;
    if (!load) {
        drop_item(engine, item);
        return adapter ? 200 : 202;
    }
    if (adapter) {
        g_strlcpy(engine->held[engine->held_count++], item,
                  sizeof(engine->held[0]));
        return 202;
    }
    g_strlcpy(engine->loading, item, sizeof(engine->loading));
    engine->loaded_ms = now_ms() + LOAD_MS;
    for (int i = 0; i < engine->disk_count; i++) {
        if (strcmp(engine->disk[i], item) == 0) {
            engine->loaded_ms = now_ms() + DISK_LOAD_MS;
        }
    }
    return 202;
}

static void
serve_order(struct conn *conn, const char *text)
{
    struct engine *engine = &engines[conn->engine];
    struct json_object *request = json_tokener_parse(text);
    struct json_object *member;
    const char *model =
        json_object_get_string(json_object_object_get(request, "model"));
    bool load = strcmp(json_object_get_string(
                           json_object_object_get(request, "operation")),
                       "load") == 0;
    int64_t expected = -1;
    char item[64];
    int status;

    if (json_object_object_get_ex(request, "expected", &member)) {
        expected = json_object_get_int64(member);
    }
    if (json_object_object_get_ex(request, "adapter", &member)) {
        g_snprintf(item, sizeof(item), "%s/%s", model,
                   json_object_get_string(member));
    }
    else {
        g_strlcpy(item, model, sizeof(item));
    }
    if (scenario->order_late != NULL && trouble && !engine->late.set &&
        scenario->order_late(conn->engine, load, item, expected)) {
        engine->late.set = true;
        engine->late.load = load;
        engine->late.expected = expected;
        g_strlcpy(engine->late.item, item, sizeof(engine->late.item));
        note("engine %s: order %s %s expected=%" G_GINT64_FORMAT
             " gets no answer, to be carried out in %" G_GINT64_FORMAT " ms",
             engine->id, load ? "load" : "unload", item, expected,
             engine->late.at_ms - now_ms());
        json_object_put(request);
        return;
    }
    status = carry_out(conn->engine, load, item, expected);
    note(
        "engine %d %s: order %s %s expected=%" G_GINT64_FORMAT
        " by %s fence %s -> %d, sequence %" G_GINT64_FORMAT,
        conn->engine, engine->id, load ? "load" : "unload", item, expected,
        json_object_get_string(json_object_object_get(request, "holder")),
        json_object_get_string(json_object_object_get(request, "fence_token")),
        status, engine->sequence);
    json_object_put(request);
    if (status != 0) { /* the connection went with a crash */
        respond(conn, status, "", "{}");
    }
}

static void
serve_report(struct conn *conn)
{
    struct engine *engine = &engines[conn->engine];
    struct json_object *body = json_object_new_object();

    json_object_object_add(body, "stage", json_object_new_string("both"));
    json_object_object_add(body, "born",
                           json_object_new_int64(engine->born_ms));
    json_object_object_add(
        body, "busy", json_object_new_boolean(engine->loading[0] != '\0'));
    json_object_object_add(body, "sequence",
                           json_object_new_int64(engine->sequence));
    json_object_object_add(body, "waiting_count", json_object_new_int(0));
    json_object_object_add(body, "running_count", json_object_new_int(0));
    json_object_object_add(body, "kv_used", json_object_new_int(0));
    json_object_object_add(body, "kv_total", json_object_new_int(119151));
    json_object_object_add(body, "handles", json_object_new_int(0));
    models_json(engine, body);
    respond_json(conn, 200, body);
}

static void
serve_run(struct conn *conn, const char *path)
{
    struct engine *engine = &engines[conn->engine];
    struct run *run = g_new0(struct run, 1);
    struct attempt *attempt;
    char text[128];

    field(&conn->in, "Attempt-Id", run->id, sizeof(run->id));
    field(&conn->in, "Prompt-Prefix", run->parts, sizeof(run->parts));
    field(&conn->in, "Model", run->model, sizeof(run->model));
    g_strlcpy(run->path, path, sizeof(run->path));
    field(&conn->in, "Expect-Instance", text, sizeof(text));
    if (text[0] != '\0' && strcmp(text, engine->id) != 0) {
        g_snprintf(text, sizeof(text),
                   "Attempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\n",
                   run->id, engine->id);
        respond(conn, 421, text, "");
        g_free(run);
        return;
    }
    if (run->model[0] != '\0' && !engine_holds(engine, run->model)) {
        g_snprintf(text, sizeof(text), "Attempt-Id: %s\r\nNot-Executed: 1\r\n",
                   run->id);
        respond(conn, 421, text, "");
        g_free(run);
        return;
    }
    attempt = find_attempt(run->id);
    if (attempt != NULL) {
        attempt->arrivals++;
        attempt->at_engine = conn->engine;
        if (attempt->first_arrival_ms == 0) {
            attempt->first_arrival_ms = now_ms();
        }
    }
    field(&conn->in, "Last-Event-Id", text, sizeof(text));
    run->first_id = text[0] != '\0' ? atoi(text) + 1 : 1;
    run->events_due = 7 - run->first_id;
    run->event_ms = 40;
    run->next_ms = now_ms() + 60;
    scenario->arrived(conn->engine, run, attempt);
    conn->run = run;
}

static void
serve_engine(struct conn *conn, const char *method, const char *path,
             const char *body)
{
    char text[128];

    (void)method;
    if (strcmp(path, "/v1/order") == 0) {
        field(&conn->in, "Expect-Instance", text, sizeof(text));
        if (text[0] != '\0' && strcmp(text, engines[conn->engine].id) != 0) {
            respond(conn, 421, "", "{}");
        }
        else {
            serve_order(conn, body);
        }
    }
    else if (strcmp(path, "/v1/report") == 0) {
        serve_report(conn);
    }
    else if (strcmp(path, "/health") == 0) {
        g_snprintf(text, sizeof(text), "Instance-Id: %s\r\n",
                   engines[conn->engine].id);
        respond(conn, 200, text, "{}");
    }
    else {
        serve_run(conn, path);
    }
}

/* Returns false when the engine has crashed. */
static bool
run_step(struct conn *conn)
{
    struct run *run = conn->run;
    char event[128];
    char text[512];

    if (run->deadly && run->events_sent >= scenario->deadly_events) {
        if (crash_count < (int)G_N_ELEMENTS(crash_ms)) {
            crash_ms[crash_count] = now_ms();
        }
        crash_count++;
        engine_crash(conn->engine, 3000, run->id);
        return false;
    }
    text[0] = '\0';
    if (run->events_sent == 0) {
        g_snprintf(text, sizeof(text),
                   "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\n"
                   "Server-Seal: seal.%s\r\nContent-Type: text/event-stream"
                   "\r\nTransfer-Encoding: chunked\r\n\r\n",
                   run->id, run->id);
    }
    run->events_sent++;
    g_snprintf(event, sizeof(event), "id: %d\ndata: %s-%d\n\n",
               run->first_id + run->events_sent - 1, run->id,
               run->first_id + run->events_sent - 1);
    g_snprintf(text + strlen(text), sizeof(text) - strlen(text),
               "%zx\r\n%s\r\n", strlen(event), event);
    if (run->events_sent == run->events_due) {
        g_strlcat(text, "0\r\n\r\n", sizeof(text));
    }
    write_all(conn->fd, text, strlen(text));
    run->next_ms = now_ms() + run->event_ms;
    if (run->events_sent == run->events_due) {
        g_clear_pointer(&conn->run, g_free);
    }
    return true;
}

static void
engines_work(void)
{
    int64_t now = now_ms();

    for (int i = 0; i < engine_count; i++) {
        struct engine *engine = &engines[i];

        if (engine->entry_gone_ms != 0 && now >= engine->entry_gone_ms) {
            char *key = g_strdup_printf(
                "servers/%s", engine->fd >= 0 ? engine->old_id : engine->id);

            engine->entry_gone_ms = 0;
            if (engine->fd < 0 || !engine->same_id) {
                remove_key(key);
            }
            g_free(key);
        }
        if (engine->fd < 0 && engine->back_ms != 0 && now >= engine->back_ms) {
            engine_start(engine);
        }
        if (engine->fd < 0) {
            continue;
        }
        if (engine->loading[0] != '\0' && now >= engine->loaded_ms) {
            bool on_disk = false;

            g_strlcpy(engine->held[engine->held_count++], engine->loading,
                      sizeof(engine->held[0]));
            for (int j = 0; j < engine->disk_count; j++) {
                on_disk |= strcmp(engine->disk[j], engine->loading) == 0;
            }
            if (!on_disk) {
                g_strlcpy(engine->disk[engine->disk_count++], engine->loading,
                          sizeof(engine->disk[0]));
            }
            engine->loading[0] = '\0';
            if (engine->removed_ms == 0) {
                engine_beat(engine);
            }
        }
        if (engine->late.set && now >= engine->late.at_ms) {
            int status;

            engine->late.set = false;
            engine->late.at_ms = INT64_MAX;
            note("engine %s: the late order %s %s expected=%" G_GINT64_FORMAT
                 " is looked at, sequence %" G_GINT64_FORMAT,
                 engine->id, engine->late.load ? "load" : "unload",
                 engine->late.item, engine->late.expected, engine->sequence);
            status = carry_out(i, engine->late.load, engine->late.item,
                               engine->late.expected);
            note("engine %s: the late order ends with %d", engine->id, status);
            if (engine->fd < 0) {
                continue;
            }
        }
        if (engine->leave_ms != 0 && now >= engine->leave_ms) {
            engine->leave_ms = 0;
            engine_crash(i, 0, "it leaves for good");
            engine->back_ms = 0;
            engine->entry_gone_ms = 0;
            continue;
        }
        if (engine->removed_ms == 0 && now - engine->beat_ms >= BEAT_MS) {
            engine_beat(engine);
        }
    }
    for (guint i = 0; i < conns->len; i++) {
        struct conn *conn = conns->pdata[i];

        if (conn->run != NULL && now >= conn->run->next_ms &&
            !run_step(conn)) {
            break;
        }
    }
}

/* --- gates --- */

/* The gate's ports are the same on all machines, so each has an address of its
 * own. */
static bool
is_free(const char *ip)
{
    static const int ports[] = {8149, 8141, 8143, 7380, 9464};
    bool all = true;

    for (size_t i = 0; i < G_N_ELEMENTS(ports); i++) {
        int port;
        int fd = listen_on(ip, ports[i], &port);

        all = all && fd >= 0;
        if (fd >= 0) {
            close(fd);
        }
    }
    return all;
}

void
gate_add(const char *zone)
{
    struct gate *gate = &gates[gate_count];
    int store_port = 0;
    FILE *file;

    g_snprintf(gate->name, sizeof(gate->name), "front-%s-%d", zone,
               gate_count + 1);
    for (int i = 0; i < 100; i++) {
        g_snprintf(gate->ip, sizeof(gate->ip), "127.%d.%d.%d",
                   100 + ((getpid() >> 8) + i) % 100, 1 + getpid() % 250,
                   gate_count + 1);
        if (is_free(gate->ip)) {
            break;
        }
    }
    g_snprintf(gate->settings, sizeof(gate->settings), "%s/%s.json", folder,
               gate->name);
    file = fopen(gate->settings, "w");
    gate->store_fd = listen_on("127.0.0.1", 0, &store_port);
    fprintf(
        file,
        "{\"node_name\":\"%s\",\"role\":\"entry\",\"machine_class\":\"front\","
        "\"serves\":[\"front\",\"directory\"],\"ip\":\"%s\",\"zone\":\"%s\","
        "\"region\":\"ra\",\"zones\":{\"za\":\"ra\"},\"listen\":{"
        "\"front\":\"%s:8149\",\"ready\":\"%s:8141\",\"directory\":\"%s:8143\"}"
        ",\"internal_ports\":[7380,7395],\"seeds\":[],\"bootstrap\":true,"
        "\"loss_counted\":false,\"limits\":{\"cpu_share\":0.5,\"cores\":1,"
        "\"memory_mb\":520,\"max_fds\":8200,\"link_mbps\":2000.0,\"disk_mb\":0}"
        ",\"fault_tolerance\":{\"machines\":2,\"zones\":0,\"regions\":0},"
        "\"discovery\":\"platform\",\"entry\":\"directory\","
        "\"heartbeat_ms\":1200,\"contracts\":[\"base\",\"drain\",\"config\","
        "\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\","
        "\"platform\"],\"bounds\":{\"seed_lag_s\":3,\"reuse_after_s\":2,"
        "\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,"
        "\"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,"
        "\"config_apply_ms\":2000,\"downgrade_ms\":250,"
        "\"max_stretch_ms\":5000,\"budget_ratio\":0.2,\"budget_window_s\":10,"
        "\"budget_extra\":58,\"recover_s\":12,\"pass_ms\":120,"
        "\"retry_after_s\":0,\"fencing_required\":false,\"lease_ms\":3000,"
        "\"thaw_ms\":300,\"ceiling_window_s\":5,\"ceiling_over\":1.1,"
        "\"ttl_max_s\":5},\"platform\":{\"address\":\"127.0.0.1:%d\","
        "\"form\":\"kv\",\"writes_per_s\":400,\"reads_per_s\":2000,"
        "\"history_s\":20,\"value_bytes\":1048576,\"ttl_min_ms\":1000}}\n",
        gate->name, gate->ip, zone, gate->ip, gate->ip, gate->ip, store_port);
    fclose(file);
    gate->start_at_ms = 1;
    gate_count++;
}

static void
gate_start(struct gate *gate)
{
    char *log = g_strdup_printf("%s/%s.log", folder, gate->name);
    char *variable =
        g_strdup_printf("TURMERICSTALL_CONFIG=%s", gate->settings);
    char *environment[] = {variable, (char *)"PATH=/usr/bin:/bin", NULL};
    char *arguments[] = {(char *)"target/turmericgate", NULL};
    pid_t parent = getpid();

    gate->pid = fork();
    if (gate->pid == 0) {
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) {
            _exit(1);
        }
        dup2(fd, 1);
        dup2(fd, 2);
        execve(arguments[0], arguments, environment);
        _exit(127);
    }
    gate->started_ms = now_ms();
    gate->start_at_ms = 0;
    note("gate %s starts, process %d", gate->name, (int)gate->pid);
    g_free(log);
    g_free(variable);
}

/* Cuts the path between a machine and the store, or heals it. What was sent
 * meanwhile is lost. */
void
gate_cut(int index, bool cut)
{
    gates[index].cut = cut;
    gates[index].cut_call_ms = 0;
    for (guint i = 0; cut && i < conns->len; i++) {
        struct conn *conn = conns->pdata[i];

        conn->dead |= conn->kind == CONN_STORE && conn->engine == index;
    }
    note("gate %s %s the store", gates[index].name,
         cut ? "is cut off from" : "reaches again");
}

void
gate_kill(int index, int64_t start_after_ms)
{
    struct gate *gate = &gates[index];

    kill(gate->pid, SIGKILL);
    waitpid(gate->pid, NULL, 0);
    note("gate %s is killed", gate->name);
    gate->pid = 0;
    gate->start_at_ms = now_ms() + start_after_ms;
}

static void
gates_work(void)
{
    int64_t now = now_ms();

    for (int i = 0; i < gate_count; i++) {
        int status;

        if (gates[i].start_at_ms != 0 && now >= gates[i].start_at_ms) {
            gate_start(&gates[i]);
        }
        if (gates[i].pid > 0 &&
            waitpid(gates[i].pid, &status, WNOHANG) == gates[i].pid) {
            note("gate %s ended by itself, status %d", gates[i].name, status);
            gates[i].pid = 0;
            exit_code = 2;
        }
    }
}

/* --- clients --- */

static int
connect_to(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    inet_pton(AF_INET, ip, &address.sin_addr);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

struct attempt *
client_send(int gate, const char *tag, const char *method, const char *path,
            const char *fields, int deadline_ms)
{
    static int count;
    struct attempt *attempt = g_new0(struct attempt, 1);
    const char *body = strcmp(method, "POST") == 0 ? "hello" : "";

    g_snprintf(attempt->id, sizeof(attempt->id), "%s%05x%04d", tag,
               (unsigned)getpid(), ++count);
    g_strlcpy(attempt->tag, tag, sizeof(attempt->tag));
    attempt->gate = gate;
    attempt->fd = connect_to(gates[gate].ip, 8149);
    attempt->in = g_string_new(NULL);
    attempt->out = g_string_new(NULL);
    g_string_printf(attempt->out,
                    "%s %s HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: %s\r\n"
                    "Deadline-Ms: %d\r\n%sContent-Length: %zu\r\n\r\n%s",
                    method, path, attempt->id, deadline_ms, fields,
                    strlen(body), body);
    attempt->sent_ms = now_ms();
    attempt->give_up_ms = now_ms() + deadline_ms + 500;
    attempt->at_engine = -1;
    attempt->done = attempt->fd < 0;
    g_ptr_array_add(attempts, attempt);
    return attempt;
}

static void
attempt_end(struct attempt *attempt, const char *how)
{
    close(attempt->fd);
    attempt->done = true;
    attempt->ended_ms = now_ms();
    note("client: %s at %s, sent %.3f, status %d, %d events, %s, %s, reached "
         "engines %d times",
         attempt->id, gates[attempt->gate].name,
         (double)(attempt->sent_ms - start_ms) / 1000.0, attempt->status,
         attempt->events, attempt->complete ? "complete" : "not complete", how,
         attempt->arrivals);
}

static void
attempt_read(struct attempt *attempt)
{
    const char *text = attempt->in->str;
    const char *end = strstr(text, "\r\n\r\n");
    const char *at;
    int events = 0;

    if (end == NULL) {
        return;
    }
    attempt->status = atoi(text + 9);
    for (at = end; (at = strstr(at, "\ndata: ")) != NULL; at++) {
        events++;
    }
    attempt->events = events;
    if (events > 0 && attempt->begun_ms == 0) {
        attempt->begun_ms = now_ms();
    }
    if (strstr(text, "Transfer-Encoding: chunked") != NULL) {
        attempt->complete =
            g_str_has_suffix(attempt->in->str, "\r\n0\r\n\r\n");
    }
    else {
        const char *length = strcasestr(text, "Content-Length: ");

        attempt->complete =
            length != NULL && strlen(end + 4) >= (size_t)atol(length + 16);
    }
    if (attempt->complete) {
        attempt_end(attempt, "answered");
    }
}

static void
attempt_event(struct attempt *attempt, short events)
{
    char buffer[8192];
    ssize_t count;

    if (attempt->sent < attempt->out->len && (events & POLLOUT)) {
        count = send(attempt->fd, attempt->out->str + attempt->sent,
                     attempt->out->len - attempt->sent, MSG_NOSIGNAL);
        if (count > 0) {
            attempt->sent += (size_t)count;
        }
        else if (errno != EAGAIN) {
            attempt_end(attempt, "no connection");
            return;
        }
    }
    if (events & (POLLIN | POLLHUP | POLLERR)) {
        count = recv(attempt->fd, buffer, sizeof(buffer), 0);
        if (count > 0) {
            g_string_append_len(attempt->in, buffer, count);
            attempt_read(attempt);
        }
        else if (count == 0 || errno != EAGAIN) {
            attempt_end(attempt,
                        attempt->sent > 0 ? "closed" : "no connection");
        }
    }
}

/* --- the loop --- */

static void
accept_all(int fd, enum conn_kind kind, int engine)
{
    for (;;) {
        int accepted = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        struct conn *conn;
        int one = 1;

        if (accepted < 0) {
            return;
        }
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        conn = g_new0(struct conn, 1);
        conn->fd = accepted;
        conn->kind = kind;
        conn->engine = engine;
        conn->dead = kind == CONN_STORE && gates[engine].cut;
        conn->in.bytes = g_string_new(NULL);
        g_ptr_array_add(conns, conn);
    }
}

static bool
is_conn(const struct conn *conn)
{
    return g_ptr_array_find(conns, conn, NULL);
}

static void
conn_event(struct conn *conn)
{
    char buffer[65536];
    ssize_t count = recv(conn->fd, buffer, sizeof(buffer), 0);
    size_t length;

    if (count < 0 && errno == EAGAIN) {
        return;
    }
    if (count <= 0) {
        close(conn->fd);
        g_ptr_array_remove(conns, conn);
        conn_free(conn);
        return;
    }
    g_string_append_len(conn->in.bytes, buffer, count);
    if (conn->dead) {
        if (strstr(conn->in.bytes->str, "/v1/kv-watch") != NULL) {
            gates[conn->engine].cut_call_ms = now_ms();
        }
        return;
    }
    while (conn->run == NULL && (length = request_length(&conn->in)) > 0) {
        char method[16] = "";
        char path[512] = "";
        char *body = g_strndup(conn->in.bytes->str + conn->in.head_bytes,
                               length - conn->in.head_bytes);

        sscanf(conn->in.bytes->str, "%15s %511s", method, path);
        if (conn->kind == CONN_STORE) {
            serve_store(conn, method, path, body);
        }
        else {
            serve_engine(conn, method, path, body);
        }
        g_free(body);
        if (!is_conn(conn)) {
            return;
        }
        g_string_erase(conn->in.bytes, 0, (gssize)length);
        conn->in.head_bytes = 0;
    }
}

static void
timers(void)
{
    int64_t now = now_ms();

    for (guint i = leases->len; i > 0; i--) {
        struct lease *lease = leases->pdata[i - 1];

        if (now >= lease->until_ms) {
            end_lease(lease);
        }
    }
    engines_work();
    gates_work();
    for (guint i = 0; i < conns->len; i++) {
        struct conn *conn = conns->pdata[i];

        if (conn->watch && !conn->dead) {
            answer_watch(conn, now >= conn->watch_until);
        }
    }
    for (guint i = 0; i < attempts->len; i++) {
        struct attempt *attempt = attempts->pdata[i];

        if (!attempt->done && now >= attempt->give_up_ms) {
            attempt_end(attempt, "client gives up");
        }
    }
}

static void
loop_once(void)
{
    struct pollfd polled[4096];
    void *owners[4096];
    int count = 0;
    int listeners;

    for (int i = 0; i < GATES_MAX; i++) {
        polled[count++] = (struct pollfd){
            .fd = i < gate_count ? gates[i].store_fd : -1, .events = POLLIN};
    }
    for (int i = 0; i < engine_count; i++) {
        polled[count++] =
            (struct pollfd){.fd = engines[i].fd, .events = POLLIN};
    }
    listeners = count;
    for (guint i = 0; i < conns->len && count < 2000; i++) {
        struct conn *conn = conns->pdata[i];

        owners[count] = conn;
        polled[count++] = (struct pollfd){.fd = conn->fd, .events = POLLIN};
    }
    int first_attempt = count;

    for (guint i = 0; i < attempts->len && count < 4000; i++) {
        struct attempt *attempt = attempts->pdata[i];

        if (!attempt->done) {
            owners[count] = attempt;
            polled[count++] = (struct pollfd){
                .fd = attempt->fd,
                .events = attempt->sent < attempt->out->len ? POLLIN | POLLOUT
                                                            : POLLIN};
        }
    }
    poll(polled, (nfds_t)count, 5);
    for (int i = first_attempt; i < count; i++) {
        if (polled[i].revents != 0) {
            attempt_event(owners[i], polled[i].revents);
        }
    }
    for (int i = listeners; i < first_attempt; i++) {
        if (polled[i].revents != 0 && is_conn(owners[i])) {
            conn_event(owners[i]);
        }
    }
    for (int i = 0; i < gate_count; i++) {
        if (polled[i].revents != 0 && polled[i].fd == gates[i].store_fd) {
            accept_all(gates[i].store_fd, CONN_STORE, i);
        }
    }
    for (int i = 0; i < engine_count; i++) {
        if (polled[GATES_MAX + i].revents != 0 &&
            engines[i].fd == polled[GATES_MAX + i].fd) {
            accept_all(engines[i].fd, CONN_ENGINE, i);
        }
    }
    timers();
}

void
wait_until(int64_t at_ms)
{
    while (now_ms() < at_ms) {
        loop_once();
    }
}

/* Whether each gate answers its readiness check with 200. */
bool
wait_ready(int64_t limit_ms)
{
    int64_t end = now_ms() + limit_ms;
    int ready = 0;

    while (ready < gate_count && now_ms() < end) {
        int64_t until = now_ms() + 200;
        char buffer[512] = "";
        int fd = connect_to(gates[ready].ip, 8141);

        wait_until(now_ms() + 50);
        if (fd >= 0) {
            static const char ask[] = "GET /v1/readiness HTTP/1.1\r\n"
                                      "Host: x\r\n\r\n";

            send(fd, ask, sizeof(ask) - 1, MSG_NOSIGNAL);
            wait_until(until);
            recv(fd, buffer, sizeof(buffer) - 1, 0);
            close(fd);
        }
        if (g_str_has_prefix(buffer, "HTTP/1.1 200")) {
            ready++;
        }
    }
    return ready == gate_count;
}

static void
end_all(void)
{
    for (int i = 0; i < gate_count; i++) {
        if (gates[i].pid > 0) {
            kill(gates[i].pid, SIGKILL);
            waitpid(gates[i].pid, NULL, 0);
        }
    }
}

extern const struct scenario *const scenarios[];

int
main(int argc, char **argv)
{
    if (argc != 4) {
        fprintf(stderr, "usage: world CASE FOLDER RECORD\n");
        return 2;
    }
    for (int i = 0; scenarios[i] != NULL; i++) {
        if (strcmp(scenarios[i]->name, argv[1]) == 0) {
            scenario = scenarios[i];
        }
    }
    record = fopen(argv[3], "w");
    if (scenario == NULL || record == NULL) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    trouble = getenv("TROUBLE") == NULL || strcmp(getenv("TROUBLE"), "0") != 0;
    g_strlcpy(folder, argv[2], sizeof(folder));
    start_ms = now_ms();
    keys = g_ptr_array_new();
    changes = g_ptr_array_new();
    leases = g_ptr_array_new();
    conns = g_ptr_array_new();
    attempts = g_ptr_array_new();
    note("case %s, %s disruption", scenario->name,
         trouble ? "with the" : "without the");
    scenario->play();
    end_all();
    note("result: %s", exit_code == 1   ? "the rule is broken"
                       : exit_code == 0 ? "the rule held"
                                        : "the case could not run");
    fclose(record);
    return exit_code;
}
