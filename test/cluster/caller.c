/**
 * DOC: Callers of the system, and what the stand-ins saw of their calls.
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
 * chat() - thread function that sends a caller's chat
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
 * caller_new() - a caller that streams a chat
 * @entry: instance to ask
 * @model: name of the model below the service "chat"
 * @tokens: length of the answer
 * @number: tells its question from those of others
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
 * chat_is_complete() - whether the caller holds the whole answer to its own
 * question
 * @caller: the caller
 */
bool
chat_is_complete(const struct caller *caller)
{
    char *text = stream_text(&caller->answer);
    char *expected = expected_text(caller->prompt, caller->tokens);
    bool whole = g_strcmp0(text, expected) == 0;

    g_free(expected);
    g_free(text);
    return whole;
}

/**
 * assert_chat_complete() - the caller holds the whole answer to its own
 * question
 * @caller: the caller
 */
void
assert_chat_complete(struct caller *caller)
{
    char *text = stream_text(&caller->answer);
    char *expected = expected_text(caller->prompt, caller->tokens);

    if (text == NULL) {
        g_test_message("answer: HTTP %d %s", caller->answer.status,
                       caller->answer.text);
    }
    g_assert_cmpstr(text, ==, expected);
    g_free(expected);
    g_free(text);
}

/**
 * ask() - one chat that must be answered whole
 * @entry: instance to ask
 * @model: name of the model
 * @tokens: length of the answer
 * @number: tells the question from others
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
 * sum_engine_stats() - sum of a statistic over the engines that run
 * @cluster: the cluster
 * @key: name of the number
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
 * peak_replicas() - most replicas of a model that held memory at one time
 * @history: replicas of all engines
 * @model: name of the model
 */
int
peak_replicas(struct json_object *history, const char *model)
{
    int most = 0;

    for (size_t i = 0; i < json_object_array_length(history); i++) {
        struct json_object *at = json_object_array_get_idx(history, i);
        int64_t moment = json_number(at, "from_ms", 0);
        int held = 0;

        for (size_t j = 0; j < json_object_array_length(history); j++) {
            struct json_object *replica =
                json_object_array_get_idx(history, j);

            held += strcmp(json_text(replica, "model", ""), model) == 0 &&
                    json_number(replica, "from_ms", 0) <= moment &&
                    json_number(replica, "to_ms", INT64_MAX) > moment;
        }
        most = MAX(most, held);
    }
    return most;
}

/* Replicas that the engines that still run ever held. */
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
 * assert_within_limits() - engines were never asked for too much
 * @cluster: the cluster
 *
 * No engine was ever asked for memory that it lacks, and no model with
 * replicas_max 1 was ever on two engines, counted from the start of a load.
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
 * send_order() - thread function that sends an order
 * @argument: struct order
 */
void *
send_order(void *argument)
{
    struct order *order = argument;
    const char *const headers[][2] = {{"Idempotency-Key", order->key},
                                      {NULL, NULL}};

    request_send(order->entry, "POST", "/v1/services/orders/orders", headers,
                 "{\"appam\": 300}", &order->answer);
    return NULL;
}

/**
 * order_new() - an order that is not sent yet
 * @cluster: the cluster
 * @entry: number of the instance to ask
 * @key: Idempotency-Key, kept by reference
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
 * sum_plain_stats() - sum of a statistic over the plain targets
 * @cluster: the cluster
 * @stat: name of the number
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
 * entry_tree_is_current() - condition: an entry holds the newest tree
 * @context: the entry
 */
bool
entry_tree_is_current(void *context)
{
    struct json_object *status = cluster_status(context);
    bool fresh = status != NULL && !json_flag(status, "stale", true);

    json_object_put(status);
    return fresh;
}
