/* Targets that send scripted responses, for tests of the relay. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "script.h"

struct connection {
    struct scripted_target *script;
    int fd;
    char *last_response;
};

/* Reads one request with its body; NULL at the end of the connection. */
static char *
read_request(int fd)
{
    GString *text = g_string_new(NULL);
    size_t wanted = 0;
    char byte;

    while (wanted == 0 || text->len < wanted) {
        if (recv(fd, &byte, 1, 0) != 1) {
            g_string_free(text, TRUE);
            return NULL;
        }
        g_string_append_c(text, byte);
        if (wanted == 0 && g_str_has_suffix(text->str, "\r\n\r\n")) {
            const char *length = strcasestr(text->str, "content-length:");

            wanted = text->len +
                     (length != NULL ? strtoul(length + 15, NULL, 10) : 0);
        }
    }
    return g_string_free(text, FALSE);
}

static char *
request_attempt_id(const char *request)
{
    const char *field = strcasestr(request, "attempt-id:");
    char *value;

    if (field == NULL) {
        return g_strdup("none");
    }
    value = g_strndup(field + 11, strcspn(field + 11, "\r"));
    return g_strstrip(value);
}

static const char *
next_answer(struct scripted_target *script, char *request)
{
    const char *answer;
    guint number;

    pthread_mutex_lock(&script->lock);
    number = script->requests->len;
    g_ptr_array_add(script->requests, request);
    answer = script->answers[0];
    for (guint i = 0; answer != NULL && i < number; i++) {
        answer = script->answers[i + 1];
    }
    pthread_cond_broadcast(&script->changed);
    pthread_mutex_unlock(&script->lock);
    return answer;
}

static void
reset(int fd)
{
    struct linger linger = {.l_onoff = 1, .l_linger = 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

static void
wait_for_close(struct scripted_target *script, int fd)
{
    char byte;

    while (recv(fd, &byte, 1, 0) > 0) {
    }
    pthread_mutex_lock(&script->lock);
    script->closed_by_peer++;
    pthread_cond_broadcast(&script->changed);
    pthread_mutex_unlock(&script->lock);
}

static char *
replace(const char *text, const char *name, const char *value)
{
    char **parts = g_strsplit(text, name, -1);
    char *replaced = g_strjoinv(value, parts);

    g_strfreev(parts);
    return replaced;
}

/* Returns whether the connection stays open. */
static bool
send_answer(struct connection *connection, const char *answer,
            const char *attempt)
{
    struct scripted_target *script = connection->script;
    int fd = connection->fd;
    char *with_id = replace(answer, "%ID%", attempt);
    char *text = replace(
        with_id, "%LATE%",
        connection->last_response != NULL ? connection->last_response : "");
    char *mark = strstr(text, "<");
    size_t bytes = mark != NULL ? (size_t)(mark - text) : strlen(text);
    bool goes_on = mark == NULL;

    if (send(fd, text, bytes, MSG_NOSIGNAL) < 0) {
        goes_on = false;
    }
    if (mark != NULL && strcmp(mark, "<reset>") == 0) {
        reset(fd);
    }
    if (mark != NULL && strcmp(mark, "<hold>") == 0) {
        wait_for_close(script, fd);
    }
    g_free(connection->last_response);
    connection->last_response = replace(with_id, "%LATE%", "");
    g_free(with_id);
    g_free(text);
    return goes_on;
}

static void *
serve(void *data)
{
    struct connection *connection = data;
    struct scripted_target *script = connection->script;
    bool goes_on = true;
    char *request;

    while (goes_on && (request = read_request(connection->fd)) != NULL) {
        char *attempt = request_attempt_id(request);
        const char *answer = next_answer(script, request);

        goes_on = answer != NULL && send_answer(connection, answer, attempt);
        g_free(attempt);
    }
    pthread_mutex_lock(&script->lock);
    for (guint i = 0; i < script->sockets->len; i++) {
        if (g_array_index(script->sockets, int, i) == connection->fd) {
            g_array_remove_index_fast(script->sockets, i);
            break;
        }
    }
    close(connection->fd);
    pthread_mutex_unlock(&script->lock);
    g_free(connection->last_response);
    g_free(connection);
    return NULL;
}

/* Called with the lock held. */
static void
start_thread(struct scripted_target *script, void *(*run)(void *data),
             void *data)
{
    pthread_t thread;

    g_assert_cmpint(pthread_create(&thread, NULL, run, data), ==, 0);
    g_array_append_val(script->threads, thread);
}

/* Listeners may start more threads while they are joined. */
static void
join_all(struct scripted_target *script)
{
    for (guint i = 0;; i++) {
        pthread_t thread = 0;
        bool found;

        pthread_mutex_lock(&script->lock);
        found = i < script->threads->len;
        if (found) {
            thread = g_array_index(script->threads, pthread_t, i);
        }
        pthread_mutex_unlock(&script->lock);
        if (!found) {
            return;
        }
        pthread_join(thread, NULL);
    }
}

struct listener {
    struct scripted_target *script;
    int fd;
};

static void *
accept_all(void *data)
{
    struct listener *listener = data;
    struct scripted_target *script = listener->script;
    int fd;

    while ((fd = accept(listener->fd, NULL, NULL)) >= 0) {
        struct connection *connection = g_new0(struct connection, 1);

        connection->script = script;
        connection->fd = fd;
        pthread_mutex_lock(&script->lock);
        script->connections++;
        g_array_append_val(script->sockets, fd);
        start_thread(script, serve, connection);
        pthread_mutex_unlock(&script->lock);
    }
    g_free(listener);
    return NULL;
}

/* Starts @targets listeners that share one list of responses. */
void
script_start(struct scripted_target *script, const char *const *answers,
             int targets)
{
    struct err err = {0};

    memset(script, 0, sizeof(*script));
    script->answers = answers;
    pthread_mutex_init(&script->lock, NULL);
    pthread_cond_init(&script->changed, NULL);
    script->requests = g_ptr_array_new_with_free_func(g_free);
    script->threads = g_array_new(FALSE, FALSE, sizeof(pthread_t));
    script->sockets = g_array_new(FALSE, FALSE, sizeof(int));
    for (int i = 0; i < SCRIPT_TARGETS_MAX; i++) {
        struct listener *listener;

        script->listeners[i] = -1;
        if (i >= targets) {
            continue;
        }
        script->listeners[i] =
            socket_listen("127.0.0.1:0", &script->ports[i], &err);
        g_assert_cmpint(script->listeners[i], >=, 0);
        /* Blocking mode, as a thread waits in accept(). */
        g_assert_cmpint(fcntl(script->listeners[i], F_SETFL, 0), ==, 0);
        listener = g_new0(struct listener, 1);
        listener->script = script;
        listener->fd = dup(script->listeners[i]);
        pthread_mutex_lock(&script->lock);
        start_thread(script, accept_all, listener);
        pthread_mutex_unlock(&script->lock);
    }
}

/* Closes all connections and joins all threads. */
void
script_stop(struct scripted_target *script)
{
    for (int i = 0; i < SCRIPT_TARGETS_MAX; i++) {
        if (script->listeners[i] >= 0) {
            shutdown(script->listeners[i], SHUT_RDWR);
            close(script->listeners[i]);
        }
    }
    pthread_mutex_lock(&script->lock);
    for (guint i = 0; i < script->sockets->len; i++) {
        shutdown(g_array_index(script->sockets, int, i), SHUT_RDWR);
    }
    pthread_mutex_unlock(&script->lock);
    join_all(script);
    g_array_free(script->threads, TRUE);
    g_ptr_array_free(script->requests, TRUE);
    g_array_free(script->sockets, TRUE);
    pthread_mutex_destroy(&script->lock);
    pthread_cond_destroy(&script->changed);
}

int
script_request_count(struct scripted_target *script)
{
    int count;

    pthread_mutex_lock(&script->lock);
    count = (int)script->requests->len;
    pthread_mutex_unlock(&script->lock);
    return count;
}

void
script_wait_requests(struct scripted_target *script, int count)
{
    pthread_mutex_lock(&script->lock);
    while ((int)script->requests->len < count) {
        pthread_cond_wait(&script->changed, &script->lock);
    }
    pthread_mutex_unlock(&script->lock);
}

void
script_wait_closed(struct scripted_target *script, int count)
{
    pthread_mutex_lock(&script->lock);
    while (script->closed_by_peer < count) {
        pthread_cond_wait(&script->changed, &script->lock);
    }
    pthread_mutex_unlock(&script->lock);
}

int
script_connection_count(struct scripted_target *script)
{
    int count;

    pthread_mutex_lock(&script->lock);
    count = script->connections;
    pthread_mutex_unlock(&script->lock);
    return count;
}

/* The request with this index in order of arrival; owned by @script. */
const char *
script_get_request(struct scripted_target *script, int index)
{
    const char *request;

    pthread_mutex_lock(&script->lock);
    request = script->requests->pdata[index];
    pthread_mutex_unlock(&script->lock);
    return request;
}
