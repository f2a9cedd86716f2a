/**
 * DOC: Sends HTTP requests to turmericd and the stand-ins.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "test/cluster/dat.h"
#include "test/cluster/fns.h"

enum { REQUEST_TIMEOUT_S = 60, URL_BYTES = 512 };

static size_t
receive(void *contents, size_t size, size_t count, void *user_data)
{
    struct answer *answer = user_data;
    size_t bytes = size * count;

    g_assert_cmpuint(answer->bytes + bytes, <, sizeof(answer->text));
    memcpy(answer->text + answer->bytes, contents, bytes);
    answer->bytes += bytes;
    answer->text[answer->bytes] = '\0';
    if (answer->on_data != NULL) {
        answer->on_data(answer);
    }
    return bytes;
}

static bool
send_to_port(int port, const char *method, const char *path,
             const char *const headers[][2], const char *body,
             struct answer *answer)
{
    struct _u_request request;
    struct _u_response response;
    char url[URL_BYTES];

    snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", port, path);
    ulfius_init_request(&request);
    ulfius_init_response(&response);
    ulfius_set_request_properties(
        &request, U_OPT_HTTP_VERB, method, U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
        (unsigned long)REQUEST_TIMEOUT_S, U_OPT_HEADER_PARAMETER,
        "Content-Type", "application/json", U_OPT_NONE);
    for (int i = 0; headers != NULL && headers[i][0] != NULL; i++) {
        u_map_put(request.map_header, headers[i][0], headers[i][1]);
    }
    if (body != NULL) {
        ulfius_set_string_body_request(&request, body);
    }
    answer->bytes = 0;
    answer->text[0] = '\0';
    answer->complete = ulfius_send_http_streaming_request(
                           &request, &response, receive, answer) == U_OK;
    answer->status = (int)response.status;
    ulfius_clean_response(&response);
    ulfius_clean_request(&request);
    return answer->complete;
}

/**
 * request_send() - send a request to a process's service port
 * @process: receiver
 * @method: HTTP method
 * @path: path and query
 * @headers: name and value pairs, ended by a NULL name; may be NULL
 * @body: may be NULL
 * @answer: set to the response
 *
 * Return: true when the response is complete.
 */
bool
request_send(struct process *process, const char *method, const char *path,
             const char *const headers[][2], const char *body,
             struct answer *answer)
{
    return send_to_port(process->port, method, path, headers, body, answer);
}

/* Appends the content of one chat completion chunk. */
static void
append_event(GString *text, const char *event)
{
    struct json_object *object = json_tokener_parse(event);
    struct json_object *choices;
    struct json_object *delta;

    if (object != NULL &&
        json_object_object_get_ex(object, "choices", &choices) &&
        json_object_object_get_ex(json_object_array_get_idx(choices, 0),
                                  "delta", &delta)) {
        g_string_append(text, json_get_string(delta, "content", ""));
    }
    json_object_put(object);
}

/**
 * stream_text() - text of a streamed chat response
 * @answer: the response
 *
 * Return: text, freed with g_free(); NULL unless the stream is complete.
 */
char *
stream_text(const struct answer *answer)
{
    char **lines = g_strsplit(answer->text, "\n", -1);
    GString *text = g_string_new(NULL);
    bool done = false;

    for (int i = 0; lines[i] != NULL; i++) {
        if (strcmp(lines[i], "data: [DONE]") == 0) {
            done = true;
        }
        else if (g_str_has_prefix(lines[i], "data: ")) {
            append_event(text, lines[i] + strlen("data: "));
        }
    }
    g_strfreev(lines);
    return g_string_free(text, !done || !answer->complete);
}

static struct json_object *
control_call(struct process *process, const char *method, const char *path,
             const char *body)
{
    struct answer *answer = g_new0(struct answer, 1);
    struct json_object *object = NULL;

    if (send_to_port(process->control_port, method, path, NULL, body,
                     answer) &&
        answer->status == 200) {
        object = json_tokener_parse(answer->text);
    }
    g_free(answer);
    return object;
}

/**
 * process_get_stats() - statistics of a stand-in
 * @process: the stand-in
 *
 * Return: object that the caller puts; NULL without a response.
 */
struct json_object *
process_get_stats(struct process *process)
{
    return control_call(process, "GET", "/stats", NULL);
}

/**
 * process_get_stat() - one counter of a stand-in's statistics
 * @process: the stand-in
 * @key: name of the counter
 *
 * Return: its value, -1 without a response.
 */
int64_t
process_get_stat(struct process *process, const char *key)
{
    struct json_object *stats = process_get_stats(process);
    int64_t value = stats != NULL ? json_get_int64(stats, key, -1) : -1;

    json_object_put(stats);
    return value;
}

/**
 * process_set_faults() - set faults of a stand-in
 * @process: the stand-in
 * @faults: JSON object of fault names and values
 */
void
process_set_faults(struct process *process, const char *faults)
{
    struct json_object *now = control_call(process, "POST", "/faults", faults);

    g_assert_nonnull(now);
    json_object_put(now);
}

/**
 * cluster_unlist() - remove an instance from the platform's list
 * @cluster: the cluster
 * @process: the instance
 */
void
cluster_unlist(struct cluster *cluster, struct process *process)
{
    struct answer *answer = g_new0(struct answer, 1);
    char *path = g_strdup_printf("/instances/%s", process->name);

    g_assert_true(request_send(cluster_find(cluster, PROCESS_LIST, 1),
                               "DELETE", path, NULL, NULL, answer));
    g_free(path);
    g_free(answer);
}

/**
 * cluster_list_draining() - set a target's state to leaving in the platform's
 * list
 * @cluster: the cluster
 * @process: engine or plain target
 */
void
cluster_list_draining(struct cluster *cluster, struct process *process)
{
    bool engine = process->kind == PROCESS_ENGINE;
    struct answer *answer = g_new0(struct answer, 1);
    char *path = g_strdup_printf("/instances/%s", process->name);
    char *body = g_strdup_printf(
        "{\"kind\": \"%s\", \"service\": \"%s\", \"data_centre\": "
        "\"zone-1\", \"address\": \"127.0.0.1:%d\", \"peer_address\": "
        "\"\", \"state\": \"leaving\"}",
        engine ? "engine" : "plain", engine ? "chat" : "orders",
        process->port);

    g_assert_true(request_send(cluster_find(cluster, PROCESS_LIST, 1), "PUT",
                               path, NULL, body, answer));
    g_free(body);
    g_free(path);
    g_free(answer);
}

static const char *const operator_headers[][2] = {
    {"Authorization", "Bearer test-token"}, {NULL, NULL}};

/**
 * cluster_edit() - send an edit to the operator API
 * @entry: entry instance that receives it
 * @changes: JSON array of changes
 * @base_revision: revision that the edit is based on
 * @revision: set to the accepted revision
 * @answer: set to the response
 *
 * Return: true when the edit was accepted.
 */
bool
cluster_edit(struct process *entry, const char *changes, int64_t base_revision,
             int64_t *revision, struct answer *answer)
{
    static int number;
    char *body = g_strdup_printf(
        "{\"id\": \"edit-%d-%d\", \"author\": \"test\", \"base_revision\": "
        "%" G_GINT64_FORMAT ", \"changes\": %s}",
        entry->port, g_atomic_int_add(&number, 1), base_revision, changes);
    bool accepted =
        send_to_port(entry->operator_port, "POST", "/operator/v1/edits",
                     operator_headers, body, answer) &&
        answer->status == 200;

    g_free(body);
    if (accepted) {
        struct json_object *object = json_tokener_parse(answer->text);

        *revision = json_get_int64(object, "revision", 0);
        json_object_put(object);
    }
    return accepted;
}

/**
 * cluster_status() - status of an entry instance
 * @entry: the instance
 *
 * Return: object that the caller puts; NULL without a response.
 */
struct json_object *
cluster_status(struct process *entry)
{
    struct answer *answer = g_new0(struct answer, 1);
    struct json_object *object = NULL;

    if (send_to_port(entry->operator_port, "GET", "/operator/v1/status",
                     operator_headers, NULL, answer) &&
        answer->status == 200) {
        object = json_tokener_parse(answer->text);
    }
    g_free(answer);
    return object;
}
