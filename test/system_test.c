/*
 * Tests of the whole system as processes, with one kind of failure per case.
 * Each case starts its own cluster on ports chosen by the kernel.
 */
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <signal.h>
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

/* clang-format off */
static const char tree[] =
    "["
    NODE("/chat", "service")
    NODE("/chat/m1", "model")
    NODE("/chat/m2", "model")
    NODE("/chat/m3", "model")
    NODE("/chat/m4", "model")
    NODE("/chat/wide", "model")
    NODE("/orders", "service")
    SET("/orders", "kind", "\"plain\"") ","
    SET("/orders", "repeatable", "false") ","
    SET("/orders", "wait_max_ms", "8000") ","
    SET("/chat", "checks_fence", "true") ","
    SET("/chat", "wait_max_ms", "20000") ","
    SET("/chat/wide", "replicas_max", "4")
    "]";
/* clang-format on */

/* Guards against more than one load, and against responses sent to the wrong
 * caller, when the first requests for a model arrive at all instances at
 * once. */
enum { BURST_CALLERS = 24 };

static void
run_cold_burst(struct cluster *cluster)
{
    struct caller *callers[BURST_CALLERS];

    for (int i = 0; i < BURST_CALLERS; i++) {
        struct process *entry = cluster_find(cluster, PROCESS_ENTRY,
                                             1 + i % cluster->layout->entries);

        callers[i] = caller_new(entry, "m1", 5 + i % 3, i);
        pthread_create(&callers[i]->thread, NULL, run_chat, callers[i]);
    }
    for (int i = 0; i < BURST_CALLERS; i++) {
        pthread_join(callers[i]->thread, NULL);
        assert_chat_complete(callers[i]);
        g_free(callers[i]);
    }
    g_assert_cmpint(sum_engine_stats(cluster, "loads"), ==, 1);
    assert_within_limits(cluster);
}

/* Kills the engine that runs the stream after its third event. It is removed
 * from the platform's list, so that its replica no longer counts against
 * replicas_max. */
static void
kill_running_engine(struct answer *answer)
{
    struct cluster *cluster = answer->context;

    if (g_strrstr(answer->text, "t3") == NULL) {
        return;
    }
    answer->on_data = NULL;
    for (int i = 1; i <= cluster->layout->engines; i++) {
        struct process *engine = cluster_find(cluster, PROCESS_ENGINE, i);
        struct answer *status = g_new0(struct answer, 1);
        struct json_object *object;

        request_send(engine, "GET", "/status", NULL, NULL, status);
        object = json_tokener_parse(status->text);
        if (json_get_int64(object, "running", 0) > 0) {
            cluster_kill(engine, SIGKILL);
            cluster_unlist(cluster, engine);
        }
        json_object_put(object);
        g_free(status);
    }
}

/* Guards against a truncated or duplicated response when an engine dies. */
static void
run_engine_killed(struct cluster *cluster)
{
    struct caller *caller =
        caller_new(cluster_find(cluster, PROCESS_ENTRY, 1), "m1", 40, 1);

    caller->answer.on_data = kill_running_engine;
    caller->answer.context = cluster;
    run_chat(caller);
    assert_chat_complete(caller);
    g_assert_null(caller->answer.on_data);
    g_free(caller);
}

/* Guards against a non-repeatable request that runs twice when copies of it
 * arrive at all instances at the same time. */
enum { DUPLICATE_ORDERS = 18 };

static void
run_order_once(struct cluster *cluster)
{
    struct order *orders[DUPLICATE_ORDERS];
    int confirmed = 0;

    for (int i = 0; i < DUPLICATE_ORDERS; i++) {
        orders[i] =
            order_new(cluster, 1 + i % cluster->layout->entries, "key-1");
        pthread_create(&orders[i]->thread, NULL, send_order, orders[i]);
    }
    for (int i = 0; i < DUPLICATE_ORDERS; i++) {
        pthread_join(orders[i]->thread, NULL);
        confirmed += orders[i]->answer.status == 200;
        if (orders[i]->answer.status != 200) {
            g_assert_cmpint(orders[i]->answer.status, ==, 409);
            g_assert_nonnull(
                strstr(orders[i]->answer.text, "duplicate_request"));
        }
        g_free(orders[i]);
    }
    g_assert_cmpint(confirmed, ==, 1);
    g_assert_cmpint(sum_plain_stats(cluster, "keys"), ==, 1);
    g_assert_cmpint(sum_plain_stats(cluster, "run_twice"), ==, 0);
}

/* Guards against a second run after the target's response was lost, and
 * against reporting a request that ran as "not_run". */
static void
run_order_answer_lost(struct cluster *cluster)
{
    struct order *order = order_new(cluster, 1, "key-2");

    for (int i = 1; i <= cluster->layout->plain_targets; i++) {
        process_set_faults(cluster_find(cluster, PROCESS_PLAIN, i),
                           "{\"lose_answers\": 1}");
    }
    send_order(order);
    g_assert_cmpint(order->answer.status, ==, 502);
    g_assert_nonnull(strstr(order->answer.text, "\"unknown\""));
    g_assert_cmpint(sum_plain_stats(cluster, "keys"), ==, 1);
    order->entry = cluster_find(cluster, PROCESS_ENTRY, 2);
    send_order(order);
    g_assert_cmpint(order->answer.status, ==, 409);
    g_assert_cmpint(sum_plain_stats(cluster, "keys"), ==, 1);
    g_assert_cmpint(sum_plain_stats(cluster, "run_twice"), ==, 0);
    g_free(order);
}

static bool
order_succeeds(void *context)
{
    struct order *order = context;

    send_order(order);
    return order->answer.status == 200;
}

/* Guards against hanging calls and wrong outcomes while the key-value store is
 * down, and against a system that does not recover afterwards. */
static void
run_key_value_down(struct cluster *cluster)
{
    struct process *entry = cluster_find(cluster, PROCESS_ENTRY, 1);
    struct process *kv = cluster_find(cluster, PROCESS_KV, 1);
    struct answer *answer = g_new0(struct answer, 1);
    struct order *order = order_new(cluster, 1, "key-3");
    const char *const deadline[][2] = {{"X-Deadline-Ms", "1500"},
                                       {NULL, NULL}};
    int64_t revision;

    send_and_check(entry, "m1", 4, 1);
    process_set_faults(kv, "{\"down\": true}");
    send_and_check(entry, "m1", 4, 2);
    request_send(entry, "POST", "/v1/chat/completions", deadline,
                 "{\"model\": \"m2\", \"messages\": []}", answer);
    g_assert_cmpint(answer->status, >=, 500);
    g_assert_nonnull(strstr(answer->text, "\"not_run\""));
    send_order(order);
    g_assert_cmpint(order->answer.status, ==, 503);
    g_assert_nonnull(strstr(order->answer.text, "\"not_run\""));
    g_assert_false(cluster_edit(entry, "[" SET("/chat", "priority", "3") "]",
                                1, &revision, answer));
    g_assert_cmpint(sum_plain_stats(cluster, "keys"), ==, 0);
    process_set_faults(kv, "{\"down\": false}");
    g_assert_true(cluster_await(order_succeeds, order));
    send_and_check(entry, "m2", 4, 3);
    g_assert_cmpint(sum_plain_stats(cluster, "run_twice"), ==, 0);
    g_free(order);
    g_free(answer);
}

static void
stop_entry(struct answer *answer)
{
    if (g_strrstr(answer->text, "t3") != NULL) {
        answer->on_data = NULL;
        cluster_kill(answer->context, SIGTERM);
    }
}

/* Guards against a graceful stop that interrupts a running stream. */
static void
run_graceful_stop(struct cluster *cluster)
{
    struct process *entry = cluster_find(cluster, PROCESS_ENTRY, 1);
    struct caller *caller = caller_new(entry, "m1", 150, 1);

    caller->answer.on_data = stop_entry;
    caller->answer.context = entry;
    run_chat(caller);
    assert_chat_complete(caller);
    g_assert_cmpint(cluster_wait_exit(entry), ==, 0);
    send_and_check(cluster_find(cluster, PROCESS_ENTRY, 2), "m1", 4, 2);
    g_free(caller);
}

/* Guards against one crashing request that is retried on every engine. */
enum { CRASHING_SENDS = 6 };

static void
run_crashing_request(struct cluster *cluster)
{
    struct answer *answer = g_new0(struct answer, 1);
    int dead = 0;

    send_and_check(cluster_find(cluster, PROCESS_ENTRY, 1), "wide", 3, 1);
    for (int i = 1; i <= cluster->layout->engines; i++) {
        process_set_faults(cluster_find(cluster, PROCESS_ENGINE, i),
                           "{\"crash_on\": \"poison\"}");
    }
    for (int i = 0; i < CRASHING_SENDS; i++) {
        request_send(
            cluster_find(cluster, PROCESS_ENTRY,
                         1 + i % cluster->layout->entries),
            "POST", "/v1/chat/completions", NULL,
            "{\"model\": \"wide\", \"messages\": [{\"role\": \"user\","
            "\"content\": \"poison\"}]}",
            answer);
        g_assert_cmpint(answer->status, !=, 200);
    }
    g_assert_cmpint(answer->status, ==, 422);
    for (int i = 1; i <= cluster->layout->engines; i++) {
        dead += process_get_stat(cluster_find(cluster, PROCESS_ENGINE, i),
                                 "calls") < 0;
    }
    g_assert_cmpint(dead, <=, 2);
    send_and_check(cluster_find(cluster, PROCESS_ENTRY, 2), "wide", 3, 2);
    g_free(answer);
}

/* Guards against models that stay unloaded after the instance that owns them
 * was killed. */
static void
run_entry_killed(struct cluster *cluster)
{
    struct process *dead = cluster_find(cluster, PROCESS_ENTRY, 2);
    const char *const models[] = {"m1", "m2", "m3", "m4"};

    cluster_kill(dead, SIGKILL);
    cluster_wait_exit(dead);
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        send_and_check(cluster_find(cluster, PROCESS_ENTRY, 1 + 2 * (i % 2)),
                       models[i], 3, (int)i);
    }
    g_assert_cmpint(sum_engine_stats(cluster, "loads"), ==, 4);
    assert_within_limits(cluster);
}

static bool
sees_two_alive(void *context)
{
    struct json_object *status = cluster_status(context);
    struct json_object *members;
    int alive = 0;

    if (status == NULL) {
        return false;
    }
    json_object_object_get_ex(status, "members", &members);
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        alive += strcmp(json_get_string(json_object_array_get_idx(members, i),
                                        "state", ""),
                        "alive") == 0;
    }
    json_object_put(status);
    return alive == 2;
}

/* Guards against a resumed instance that loads models which another instance
 * has loaded meanwhile, or that does not rejoin. */
static void
run_entry_paused(struct cluster *cluster)
{
    struct process *paused = cluster_find(cluster, PROCESS_ENTRY, 2);
    struct process *entry = cluster_find(cluster, PROCESS_ENTRY, 1);
    struct caller *before = caller_new(paused, "m1", 3, 0);

    pthread_create(&before->thread, NULL, run_chat, before);
    cluster_kill(paused, SIGSTOP);
    g_assert_true(cluster_await(sees_two_alive, entry));
    send_and_check(entry, "m1", 3, 1);
    send_and_check(entry, "m2", 3, 2);
    send_and_check(cluster_find(cluster, PROCESS_ENTRY, 3), "m3", 3, 3);
    cluster_kill(paused, SIGCONT);
    pthread_join(before->thread, NULL);
    /* Until it has read the tree again, it refuses requests for models that
     * are not loaded as config_stale and not run. */
    g_assert_true(cluster_await(entry_tree_is_current, paused));
    send_and_check(paused, "m1", 3, 4);
    send_and_check(paused, "m2", 3, 5);
    send_and_check(paused, "m3", 3, 6);
    assert_within_limits(cluster);
    g_free(before);
}

/* Guards against accepting two conflicting edits, and against an accepted edit
 * that an instance does not apply. */
struct racing_edit {
    struct process *entry;
    const char *changes;
    int64_t base_revision;
    int64_t revision;
    bool accepted;
    struct answer answer;
    pthread_t thread;
};

static void *
submit_edit(void *argument)
{
    struct racing_edit *edit = argument;

    edit->accepted =
        cluster_edit(edit->entry, edit->changes, edit->base_revision,
                     &edit->revision, &edit->answer);
    return NULL;
}

struct revision_wait {
    struct cluster *cluster;
    int64_t revision;
};

static bool
revision_in_force(void *context)
{
    struct revision_wait *pending = context;

    for (int i = 1; i <= pending->cluster->layout->entries; i++) {
        struct json_object *status =
            cluster_status(cluster_find(pending->cluster, PROCESS_ENTRY, i));
        int64_t revision = json_get_int64(status, "revision", 0);

        json_object_put(status);
        if (revision < pending->revision) {
            return false;
        }
    }
    return true;
}

static void
run_edit_race(struct cluster *cluster)
{
    struct racing_edit *edits = g_new0(struct racing_edit, 2);
    struct revision_wait pending = {cluster, 0};

    for (int i = 0; i < 2; i++) {
        edits[i].entry = cluster_find(cluster, PROCESS_ENTRY, 1 + i);
        edits[i].base_revision = 1;
        edits[i].changes = i == 0
                               ? "[" SET("/chat/m1", "replicas_max", "2") "]"
                               : "[" SET("/chat/m1", "replicas_max", "3") "]";
        pthread_create(&edits[i].thread, NULL, submit_edit, &edits[i]);
    }
    for (int i = 0; i < 2; i++) {
        pthread_join(edits[i].thread, NULL);
    }
    g_assert_true(edits[0].accepted != edits[1].accepted);
    for (int i = 0; i < 2; i++) {
        if (edits[i].accepted) {
            pending.revision = edits[i].revision;
        }
        else {
            g_assert_cmpint(edits[i].answer.status, ==, 409);
            g_assert_nonnull(strstr(edits[i].answer.text, "edit_conflict"));
        }
    }
    g_assert_true(cluster_await(revision_in_force, &pending));
    g_free(edits);
}

static const struct cluster_layout small_layout = {.engines = 2,
                                                   .engine_memory_mb = 4096,
                                                   .load_ms = 200,
                                                   .token_ms = 10,
                                                   .plain_targets = 2,
                                                   .entries = 3,
                                                   .tree = tree};
static const struct cluster_layout wide_layout = {.engines = 4,
                                                  .engine_memory_mb = 4096,
                                                  .load_ms = 50,
                                                  .token_ms = 5,
                                                  .plain_targets = 0,
                                                  .entries = 3,
                                                  .tree = tree};

static const struct cluster_case cases[] = {
    {"cold_burst", &small_layout, run_cold_burst},
    {"engine_killed", &small_layout, run_engine_killed},
    {"order_once", &small_layout, run_order_once},
    {"order_answer_lost", &small_layout, run_order_answer_lost},
    {"key_value_down", &small_layout, run_key_value_down},
    {"graceful_stop", &small_layout, run_graceful_stop},
    {"crashing_request", &wide_layout, run_crashing_request},
    {"entry_killed", &small_layout, run_entry_killed},
    {"entry_paused", &small_layout, run_entry_paused},
    {"edit_race", &small_layout, run_edit_race},
};

int
main(int argc, char **argv)
{
    return cluster_run_cases(argc, argv, "system", cases, G_N_ELEMENTS(cases));
}
