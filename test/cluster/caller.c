/**
 * DOC: Sends chats and orders, and checks the stand-ins' statistics.
 */
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
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

static char *
expected_text(const char *question, int tokens)
{
    GString *text = g_string_new(question);

    g_string_append(text, ":");
    for (int i = 1; i <= tokens; i++) {
        g_string_append_printf(text, " t%d", i);
    }
    return g_string_free(text, FALSE);
}

/**
 * run_chat() - thread function that sends a chat request
 * @argument: struct caller
 */
void *
run_chat(void *argument)
{
    struct caller *caller = argument;
    char *body = g_strdup_printf(
        "{\"model\": \"%s\", \"stream\": true, \"max_tokens\": %d, "
        "\"messages\": [{\"role\": \"user\", \"content\": \"%s\"}]}",
        caller->model, caller->tokens, caller->prompt);

    char *deadline = g_strdup_printf("%d", caller->deadline_ms);
    const char *const headers[][2] = {{"X-Deadline-Ms", deadline},
                                      {NULL, NULL}};
    int64_t start_ms = clock_now_ms();

    request_send(caller->entry, "POST", "/v1/chat/completions",
                 caller->deadline_ms > 0 ? headers : NULL, body,
                 &caller->answer);
    caller->elapsed_ms = clock_now_ms() - start_ms;
    g_free(deadline);
    g_free(body);
    return NULL;
}

/**
 * caller_new() - create a streamed chat request
 * @entry: entry instance that receives it
 * @model: name of the model below the service "chat"
 * @tokens: length of the response
 * @number: makes its prompt unique
 *
 * Return: the request, freed with g_free().
 */
struct caller *
caller_new(struct process *entry, const char *model, int tokens, int number)
{
    struct caller *caller = g_new0(struct caller, 1);

    caller->entry = entry;
    caller->model = model;
    caller->tokens = tokens;
    snprintf(caller->prompt, sizeof(caller->prompt), "question-%d", number);
    return caller;
}

/**
 * chat_is_complete() - whether the response is complete and matches the prompt
 * @caller: the caller
 */
bool
chat_is_complete(const struct caller *caller)
{
    char *text = stream_text(&caller->answer);
    char *expected = expected_text(caller->prompt, caller->tokens);
    bool complete = g_strcmp0(text, expected) == 0;

    g_free(expected);
    g_free(text);
    return complete;
}

/**
 * assert_chat_complete() - check that the response is complete and matches
 * the prompt
 * @caller: the caller
 */
void
assert_chat_complete(struct caller *caller)
{
    char *text = stream_text(&caller->answer);
    char *expected = expected_text(caller->prompt, caller->tokens);

    if (text == NULL) {
        g_test_message("response: HTTP %d %s", caller->answer.status,
                       caller->answer.text);
    }
    g_assert_cmpstr(text, ==, expected);
    g_free(expected);
    g_free(text);
}

/**
 * send_and_check() - send a chat and check that its response is complete
 * @entry: entry instance that receives it
 * @model: name of the model
 * @tokens: length of the response
 * @number: makes the prompt unique
 */
void
send_and_check(struct process *entry, const char *model, int tokens,
               int number)
{
    struct caller *caller = caller_new(entry, model, tokens, number);

    run_chat(caller);
    assert_chat_complete(caller);
    g_free(caller);
}

/**
 * sum_engine_stats() - sum of a counter over the running engines
 * @cluster: the cluster
 * @key: name of the counter
 */
int64_t
sum_engine_stats(struct cluster *cluster, const char *key)
{
    int64_t sum = 0;

    for (int i = 1; i <= cluster->layout->engines; i++) {
        sum += MAX(
            process_get_stat(cluster_find(cluster, PROCESS_ENGINE, i), key),
            0);
    }
    return sum;
}

/**
 * peak_replicas() - highest number of replicas of a model that were in memory
 * at the same time
 * @history: replicas of all engines, with from_ms and to_ms
 * @model: name of the model
 */
int
peak_replicas(struct json_object *history, const char *model)
{
    int most = 0;

    for (size_t i = 0; i < json_object_array_length(history); i++) {
        struct json_object *at = json_object_array_get_idx(history, i);
        int64_t moment = json_get_int64(at, "from_ms", 0);
        int replicas = 0;

        for (size_t j = 0; j < json_object_array_length(history); j++) {
            struct json_object *replica =
                json_object_array_get_idx(history, j);

            replicas +=
                strcmp(json_get_string(replica, "model", ""), model) == 0 &&
                json_get_int64(replica, "from_ms", 0) <= moment &&
                json_get_int64(replica, "to_ms", INT64_MAX) > moment;
        }
        most = MAX(most, replicas);
    }
    return most;
}

/* All replicas that the running engines have had since their start. */
static struct json_object *
collect_history(struct cluster *cluster)
{
    struct json_object *all = json_object_new_array();

    for (int i = 1; i <= cluster->layout->engines; i++) {
        struct json_object *stats =
            process_get_stats(cluster_find(cluster, PROCESS_ENGINE, i));
        struct json_object *history;

        if (stats != NULL &&
            json_object_object_get_ex(stats, "history", &history)) {
            for (size_t j = 0; j < json_object_array_length(history); j++) {
                json_object_array_add(
                    all,
                    json_object_get(json_object_array_get_idx(history, j)));
            }
        }
        json_object_put(stats);
    }
    return all;
}

/**
 * assert_within_limits() - check memory and replica limits
 * @cluster: the cluster
 *
 * No engine received a load beyond its memory, and no model with replicas_max
 * 1 was on two engines at once, counted from the start of a load.
 */
void
assert_within_limits(struct cluster *cluster)
{
    static const char *const models[] = {"chat/m1", "chat/m2", "chat/m3",
                                         "chat/m4"};
    struct json_object *history = collect_history(cluster);

    g_assert_cmpint(sum_engine_stats(cluster, "overcommits_refused"), ==, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        g_assert_cmpint(peak_replicas(history, models[i]), <=, 1);
    }
    json_object_put(history);
}

/**
 * send_order() - thread function that sends a request to the plain service
 * @argument: struct order
 */
void *
send_order(void *argument)
{
    struct order *order = argument;
    const char *const headers[][2] = {{"Idempotency-Key", order->key},
                                      {NULL, NULL}};

    request_send(order->entry, "POST", "/v1/services/orders/orders", headers,
                 "{\"amount\": 300}", &order->answer);
    return NULL;
}

/**
 * order_new() - create a request to the plain service without sending it
 * @cluster: the cluster
 * @entry: number of the entry instance that receives it
 * @key: Idempotency-Key, kept by reference
 *
 * Return: the request, freed with g_free().
 */
struct order *
order_new(struct cluster *cluster, int entry, const char *key)
{
    struct order *order = g_new0(struct order, 1);

    order->entry = cluster_find(cluster, PROCESS_ENTRY, entry);
    order->key = key;
    return order;
}

/**
 * sum_plain_stats() - sum of a counter over the plain targets
 * @cluster: the cluster
 * @stat: name of the counter
 */
int64_t
sum_plain_stats(struct cluster *cluster, const char *stat)
{
    int64_t sum = 0;

    for (int i = 1; i <= cluster->layout->plain_targets; i++) {
        sum += process_get_stat(cluster_find(cluster, PROCESS_PLAIN, i), stat);
    }
    return sum;
}

/**
 * entry_tree_is_current() - whether an entry instance has the current tree
 * @context: the process, for cluster_await()
 */
bool
entry_tree_is_current(void *context)
{
    struct json_object *status = cluster_status(context);
    bool fresh = status != NULL && !json_get_bool(status, "stale", true);

    json_object_put(status);
    return fresh;
}
