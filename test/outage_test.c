/*
 * Tests of the whole system as processes, under combined failures of targets,
 * the weight store, the key-value store and instances. Each case starts its
 * own cluster and checks the system's invariants.
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
#define TREE(checks_fence)                                                    \
    "["                                                                       \
    NODE("/chat", "service")                                                  \
    NODE("/chat/m1", "model")                                                 \
    NODE("/chat/m2", "model")                                                 \
    NODE("/chat/m3", "model")                                                 \
    NODE("/chat/m4", "model")                                                 \
    NODE("/orders", "service")                                                \
    SET("/orders", "kind", "\"plain\"") ","                                   \
    SET("/orders", "repeatable", "false") ","                                 \
    SET("/orders", "wait_max_ms", "8000") ","                                 \
    SET("/chat", "checks_fence", checks_fence) ","                            \
    SET("/chat", "wait_max_ms", "20000")                                      \
    "]"
/* clang-format on */

static const char *const models[] = {"m1", "m2", "m3", "m4"};

enum { PAUSED_DEADLINE_MS = 12000 };
enum {
    TARGETS_OF_ORDERS = 2,
    DRAIN_PROPAGATION_MS = 3000,
    CALLS_AFTER_DRAIN = 12,
    LONG_TOKENS = 450
};

static struct process *
any_entry(struct cluster *cluster, int number)
{
    return cluster_find(cluster, PROCESS_ENTRY,
                        1 + number % cluster->layout->entries);
}

/* Sends an order with a unique key; returns the HTTP status. */
static int
order_once(struct cluster *cluster, int number)
{
    char *key = g_strdup_printf("order-%d", number);
    struct order *order =
        order_new(cluster, 1 + number % cluster->layout->entries, key);
    int status;

    send_order(order);
    status = order->answer.status;
    g_free(order);
    g_free(key);
    return status;
}

static void
call_chat(struct cluster *cluster, int number)
{
    send_and_check(any_entry(cluster, number), "m1", 3, number);
}

static void
call_orders(struct cluster *cluster, int number)
{
    g_assert_cmpint(order_once(cluster, number), ==, 200);
}

struct busy_target {
    struct cluster *cluster;
    enum process_kind kind;
    const char *stat;
    struct process *process;
};

/* Condition: the counter of some target is above zero. Sets @process to that
 * target. */
static bool
find_busy_target(void *context)
{
    struct busy_target *busy = context;
    int count = busy->kind == PROCESS_ENGINE
                    ? busy->cluster->layout->engines
                    : busy->cluster->layout->plain_targets;

    for (int i = 1; i <= count; i++) {
        busy->process = cluster_find(busy->cluster, busy->kind, i);
        if (process_get_stat(busy->process, busy->stat) > 0) {
            return true;
        }
    }
    return false;
}

/* Keeps calling until all instances must know that the target drains, then
 * checks that it receives no further calls. */
static void
assert_no_new_calls(struct cluster *cluster, struct process *target,
                    const char *stat,
                    void (*call)(struct cluster *cluster, int number))
{
    int64_t end_ms = clock_now_ms() + DRAIN_PROPAGATION_MS;
    int64_t before;
    int number = 0;

    while (clock_now_ms() < end_ms) {
        call(cluster, ++number);
    }
    before = process_get_stat(target, stat);
    for (int i = 0; i < CALLS_AFTER_DRAIN; i++) {
        call(cluster, ++number);
    }
    g_assert_cmpint(before, >, 0);
    g_assert_cmpint(process_get_stat(target, stat), ==, before);
}

static void
announce_drain(struct cluster *cluster, struct process *target, bool listed)
{
    if (listed) {
        cluster_list_draining(cluster, target);
    }
    else {
        process_set_faults(target, "{\"leaving\": true}");
    }
}

/* Guards against calls to a draining engine, against interrupting the stream
 * that runs there, and against a model that is not moved to another engine. */
static void
check_engine_draining(struct cluster *cluster, bool listed)
{
    struct caller *running =
        caller_new(any_entry(cluster, 0), "m1", LONG_TOKENS, 0);
    struct busy_target busy = {cluster, PROCESS_ENGINE, "chats", NULL};

    pthread_create(&running->thread, NULL, run_chat, running);
    g_assert_true(cluster_await(find_busy_target, &busy));
    announce_drain(cluster, busy.process, listed);
    assert_no_new_calls(cluster, busy.process, "chats", call_chat);
    pthread_join(running->thread, NULL);
    assert_chat_complete(running);
    assert_within_limits(cluster);
    g_free(running);
}

static void
run_engine_draining(struct cluster *cluster)
{
    check_engine_draining(cluster, false);
}

static void
run_engine_listed_draining(struct cluster *cluster)
{
    check_engine_draining(cluster, true);
}

/* Guards against orders to a draining plain target, and against losing the
 * orders that run there. */
static void
check_plain_draining(struct cluster *cluster, bool listed)
{
    static const char *const keys[] = {"a", "b", "c", "d", "e", "f"};
    struct order *orders[G_N_ELEMENTS(keys)];
    struct busy_target busy = {cluster, PROCESS_PLAIN, "calls", NULL};

    for (int i = 1; i <= cluster->layout->plain_targets; i++) {
        process_set_faults(cluster_find(cluster, PROCESS_PLAIN, i),
                           "{\"slow_ms\": 1000}");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        orders[i] = order_new(cluster, 1 + (int)i % 3, keys[i]);
        pthread_create(&orders[i]->thread, NULL, send_order, orders[i]);
    }
    g_assert_true(cluster_await(find_busy_target, &busy));
    announce_drain(cluster, busy.process, listed);
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        pthread_join(orders[i]->thread, NULL);
        g_assert_cmpint(orders[i]->answer.status, ==, 200);
        g_free(orders[i]);
    }
    for (int i = 1; i <= cluster->layout->plain_targets; i++) {
        process_set_faults(cluster_find(cluster, PROCESS_PLAIN, i),
                           "{\"slow_ms\": 0}");
    }
    assert_no_new_calls(cluster, busy.process, "calls", call_orders);
    g_assert_cmpint(sum_plain_stats(cluster, "run_twice"), ==, 0);
}

static void
run_plain_draining(struct cluster *cluster)
{
    check_plain_draining(cluster, false);
}

static void
run_plain_listed_draining(struct cluster *cluster)
{
    check_plain_draining(cluster, true);
}

enum { TURNED_AWAY_ORDERS = 15, TURNED_AWAY_MAX = 2 };

/* Guards against requests that an instance sends to targets while they want
 * none, and against an order refused so that is not reported as not run. */
static void
run_plain_turned_away(struct cluster *cluster)
{
    int64_t before[TARGETS_OF_ORDERS];

    call_orders(cluster, 0);
    for (int i = 0; i < TARGETS_OF_ORDERS; i++) {
        struct process *target = cluster_find(cluster, PROCESS_PLAIN, i + 1);

        process_set_faults(target,
                           "{\"turn_away\": 1000, \"retry_after\": \"500\"}");
        before[i] = process_get_stat(target, "calls");
    }
    for (int i = 0; i < TURNED_AWAY_ORDERS; i++) {
        char *key = g_strdup_printf("turned-away-%d", i);
        struct order *order = order_new(cluster, 1, key);

        send_order(order);
        g_assert_cmpint(order->answer.status, ==, 503);
        g_assert_nonnull(strstr(order->answer.text, "\"not_run\""));
        g_free(order);
        g_free(key);
    }
    for (int i = 0; i < TARGETS_OF_ORDERS; i++) {
        struct process *target = cluster_find(cluster, PROCESS_PLAIN, i + 1);

        g_assert_cmpint(process_get_stat(target, "calls") - before[i], <=,
                        TURNED_AWAY_MAX);
    }
}

static void
set_plain_faults(struct cluster *cluster, const char *faults)
{
    for (int i = 1; i <= TARGETS_OF_ORDERS; i++) {
        process_set_faults(cluster_find(cluster, PROCESS_PLAIN, i), faults);
    }
}

struct leaving_check {
    struct cluster *cluster;
    int orders;
};

/* Condition: an instance has learnt from an answer that its target leaves. A
 * poll may be first, and then no request is sent there. */
static bool
answer_told_leaving(void *context)
{
    struct leaving_check *check = context;
    struct answer *answer = g_new0(struct answer, 1);
    const char *begun;
    bool told;

    set_plain_faults(check->cluster, "{\"leaving\": true}");
    order_once(check->cluster,
               check->cluster->layout->entries * ++check->orders);
    set_plain_faults(check->cluster, "{\"leaving\": false}");
    g_assert_true(request_send(cluster_find(check->cluster, PROCESS_ENTRY, 1),
                               "GET", "/metrics", NULL, NULL, answer));
    begun = strstr(answer->text, "\ntarget_leaving_begun_total ");
    told = begun != NULL && atoi(strchr(begun + 1, ' ')) > 0;
    g_free(answer);
    return told;
}

static bool
orders_are_served(void *context)
{
    struct leaving_check *check = context;

    return order_once(check->cluster, check->cluster->layout->entries *
                                          ++check->orders) == 200;
}

/* Guards against an answer whose word that its target leaves is lost, and
 * against a target that is never used again after it stayed. */
static void
run_plain_stays(struct cluster *cluster)
{
    struct leaving_check check = {cluster, 0};

    call_orders(cluster, 0);
    g_assert_true(cluster_await(answer_told_leaving, &check));
    g_assert_true(cluster_await(orders_are_served, &check));
}

/* Guards against calls that exceed their deadline, or that are refused without
 * the outcome not_run, when the weight store is too slow for their loads. */
enum { STORE_BURST = 24, STORE_DEADLINE_MS = 3000, ANSWER_SLACK_MS = 1000 };

static void
run_store_slow(struct cluster *cluster)
{
    struct caller *callers[STORE_BURST];
    struct answer *answer = g_new0(struct answer, 1);
    struct process *store = cluster_find(cluster, PROCESS_STORE, 1);
    int64_t revision;
    int refused = 0;

    g_assert_true(cluster_edit(any_entry(cluster, 0),
                               "[" SET("/", "store_loads_at_once", "1") "]", 1,
                               &revision, answer));
    process_set_faults(store, "{\"slow_ms\": 1500}");
    for (int i = 0; i < STORE_BURST; i++) {
        callers[i] = caller_new(any_entry(cluster, i), models[i % 4], 3, i);
        callers[i]->deadline_ms = STORE_DEADLINE_MS;
        pthread_create(&callers[i]->thread, NULL, run_chat, callers[i]);
    }
    for (int i = 0; i < STORE_BURST; i++) {
        pthread_join(callers[i]->thread, NULL);
        g_assert_cmpint(callers[i]->elapsed_ms, <=,
                        STORE_DEADLINE_MS + ANSWER_SLACK_MS);
        if (!chat_is_complete(callers[i])) {
            g_assert_cmpint(callers[i]->answer.status, >=, 400);
            g_assert_nonnull(strstr(callers[i]->answer.text, "\"not_run\""));
            refused++;
        }
        g_free(callers[i]);
    }
    g_assert_cmpint(refused, >, 0);
    process_set_faults(store, "{\"slow_ms\": 0}");
    for (int i = 0; i < 4; i++) {
        send_and_check(any_entry(cluster, i), models[i], 3, STORE_BURST + i);
    }
    assert_within_limits(cluster);
    g_free(answer);
}

static bool
two_loads_run(void *context)
{
    return sum_engine_stats(context, "used_mb") >= 2048;
}

struct model_request {
    struct process *entry;
    const char *model;
};

static bool
model_is_served(void *context)
{
    struct model_request *request = context;
    struct caller *caller = caller_new(request->entry, request->model, 3, 99);
    bool complete;

    run_chat(caller);
    complete = chat_is_complete(caller);
    g_free(caller);
    return complete;
}

static void
assert_all_served(struct cluster *cluster, int entry)
{
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        struct model_request request = {
            cluster_find(cluster, PROCESS_ENTRY, entry), models[i]};

        g_assert_true(cluster_await(model_is_served, &request));
    }
}

/* Guards against a second replica, or a model that is never served again, when
 * an instance is paused during its loads and the engines ignore fencing
 * tokens. The loads take longer than the 5 s in which members detect the
 * pause. */
static void
check_owner_paused(struct cluster *cluster, int number)
{
    struct process *paused = cluster_find(cluster, PROCESS_ENTRY, number);
    int other = 1 + number % cluster->layout->entries;
    struct caller *callers[G_N_ELEMENTS(models)];

    for (int i = 1; i <= cluster->layout->engines; i++) {
        process_set_faults(cluster_find(cluster, PROCESS_ENGINE, i),
                           "{\"ignore_fence\": true}");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        callers[i] = caller_new(cluster_find(cluster, PROCESS_ENTRY, other),
                                models[i], 3, (int)i);
        callers[i]->deadline_ms = PAUSED_DEADLINE_MS;
        pthread_create(&callers[i]->thread, NULL, run_chat, callers[i]);
    }
    g_assert_true(cluster_await(two_loads_run, cluster));
    cluster_kill(paused, SIGSTOP);
    for (size_t i = 0; i < G_N_ELEMENTS(models); i++) {
        pthread_join(callers[i]->thread, NULL);
        if (!chat_is_complete(callers[i])) {
            g_assert_nonnull(strstr(callers[i]->answer.text, "\"not_run\""));
        }
        g_free(callers[i]);
    }
    cluster_kill(paused, SIGCONT);
    g_assert_true(cluster_await(entry_tree_is_current, paused));
    assert_all_served(cluster, number);
    assert_all_served(cluster, other);
    assert_within_limits(cluster);
}

static void
run_owner_paused_1(struct cluster *cluster)
{
    check_owner_paused(cluster, 1);
}

static void
run_owner_paused_2(struct cluster *cluster)
{
    check_owner_paused(cluster, 2);
}

static void
run_owner_paused_3(struct cluster *cluster)
{
    check_owner_paused(cluster, 3);
}

/* Guards against an order or an edit that takes effect twice, and against a
 * load beyond the limits, when responses of the key-value store are lost. */
enum { LOSSES_MAX = 5 };

static int64_t
newest_revision(struct cluster *cluster)
{
    int64_t newest = 0;

    for (int i = 0; i < cluster->layout->entries; i++) {
        struct json_object *status = cluster_status(any_entry(cluster, i));

        newest = MAX(newest, json_get_int64(status, "revision", 0));
        json_object_put(status);
    }
    return newest;
}

/* Checks that an order ran if it was confirmed, and that it did not run if it
 * was refused as not_run. */
static void
assert_order_outcome(struct cluster *cluster, int number)
{
    int64_t before = sum_plain_stats(cluster, "keys");
    char *key = g_strdup_printf("outcome-%d", number);
    struct order *order = order_new(cluster, 1 + number % 3, key);

    send_order(order);
    if (order->answer.status == 200) {
        g_assert_cmpint(sum_plain_stats(cluster, "keys"), ==, before + 1);
    }
    else if (strstr(order->answer.text, "\"not_run\"") != NULL) {
        g_assert_cmpint(sum_plain_stats(cluster, "keys"), ==, before);
    }
    else {
        g_assert_nonnull(strstr(order->answer.text, "\"unknown\""));
    }
    g_free(order);
    g_free(key);
}

/* Checks that an edit takes effect at most once, and not if it was refused as
 * not_run. */
static void
assert_edit_outcome(struct cluster *cluster, int number)
{
    char *changes =
        g_strdup_printf("[" SET("/chat/m1", "priority", "%d") "]", number);
    struct answer *answer = g_new0(struct answer, 1);
    int64_t before = newest_revision(cluster);
    int64_t after = 0;

    if (cluster_edit(any_entry(cluster, number), changes, before, &after,
                     answer)) {
        g_assert_cmpint(after, ==, before + 1);
    }
    else if (strstr(answer->text, "\"not_run\"") != NULL) {
        g_assert_cmpint(newest_revision(cluster), ==, before);
    }
    g_assert_cmpint(newest_revision(cluster), <=, before + 1);
    g_free(answer);
    g_free(changes);
}

static void
assert_chat_outcome(struct cluster *cluster, int number)
{
    struct caller *caller =
        caller_new(any_entry(cluster, number), models[number % 4], 3, number);

    run_chat(caller);
    if (!chat_is_complete(caller)) {
        g_assert_nonnull(strstr(caller->answer.text, "\"not_run\""));
    }
    g_free(caller);
}

/* Sets the fault again before each call, as polls consume lost responses. */
static void
lose_during_each_call(struct cluster *cluster, const char *fault)
{
    static void (*const calls[])(struct cluster * cluster, int number) = {
        assert_order_outcome, assert_edit_outcome, assert_chat_outcome};
    static int number;

    for (int losses = 1; losses <= LOSSES_MAX; losses++) {
        char *faults = g_strdup_printf("{\"%s\": %d}", fault, losses);

        number++;
        for (size_t i = 0; i < G_N_ELEMENTS(calls); i++) {
            process_set_faults(cluster_find(cluster, PROCESS_KV, 1), faults);
            calls[i](cluster, number);
        }
        g_free(faults);
    }
}

static bool
new_order_succeeds(void *context)
{
    static int number = 1000;

    return order_once(context, ++number) == 200;
}

static void
run_answers_lost(struct cluster *cluster)
{
    lose_during_each_call(cluster, "lose_answers");
    lose_during_each_call(cluster, "lose_writes");
    process_set_faults(cluster_find(cluster, PROCESS_KV, 1),
                       "{\"lose_answers\": 0, \"lose_writes\": 0}");
    g_assert_true(cluster_await(new_order_succeeds, cluster));
    assert_all_served(cluster, 1);
    g_assert_cmpint(sum_plain_stats(cluster, "run_twice"), ==, 0);
    assert_within_limits(cluster);
}

static bool
order_was_run(void *context)
{
    return sum_plain_stats(context, "keys") > 0;
}

/* Guards against a second run of an order whose entry instance was killed
 * while a target executed it. */
static void
run_order_instance_killed(struct cluster *cluster)
{
    struct order *order = order_new(cluster, 1, "key-4");
    struct order *again = order_new(cluster, 2, "key-4");
    struct busy_target busy = {cluster, PROCESS_PLAIN, "calls", NULL};

    for (int i = 1; i <= cluster->layout->plain_targets; i++) {
        process_set_faults(cluster_find(cluster, PROCESS_PLAIN, i),
                           "{\"slow_ms\": 2000}");
    }
    pthread_create(&order->thread, NULL, send_order, order);
    g_assert_true(cluster_await(find_busy_target, &busy));
    cluster_kill(order->entry, SIGKILL);
    cluster_wait_exit(order->entry);
    pthread_join(order->thread, NULL);
    for (int i = 0; i < 2; i++) {
        send_order(again);
        g_assert_cmpint(again->answer.status, ==, 409);
        g_assert_nonnull(strstr(again->answer.text, "\"unknown\""));
        g_assert_true(cluster_await(order_was_run, cluster));
    }
    g_assert_cmpint(sum_plain_stats(cluster, "calls"), ==, 1);
    g_assert_cmpint(sum_plain_stats(cluster, "run_twice"), ==, 0);
    g_free(order);
    g_free(again);
}

/* Guards against an instance that can't start without the key-value store
 * although its peers have the tree. */
static void
run_restart_without_kv(struct cluster *cluster)
{
    struct process *kv = cluster_find(cluster, PROCESS_KV, 1);
    struct process *restarted = cluster_find(cluster, PROCESS_ENTRY, 2);
    struct model_request request = {restarted, "m1"};

    send_and_check(cluster_find(cluster, PROCESS_ENTRY, 1), "m1", 3, 1);
    process_set_faults(kv, "{\"down\": true}");
    cluster_kill(restarted, SIGKILL);
    cluster_wait_exit(restarted);
    cluster_restart(cluster, restarted);
    g_assert_true(cluster_await(model_is_served, &request));
    send_and_check(cluster_find(cluster, PROCESS_ENTRY, 1), "m1", 3, 2);
    process_set_faults(kv, "{\"down\": false}");
    g_assert_true(cluster_await(entry_tree_is_current, restarted));
    send_and_check(restarted, "m2", 3, 3);
    assert_within_limits(cluster);
}

/* Guards against a loaded model that no instance serves: the key-value service
 * is lost while an engine loads, so the load is not recorded and only the
 * engine's status names the model. */
static void
run_kv_lost_during_load(struct cluster *cluster)
{
    struct process *kv = cluster_find(cluster, PROCESS_KV, 1);
    struct caller *caller =
        caller_new(cluster_find(cluster, PROCESS_ENTRY, 1), "m1", 3, 1);
    struct model_request request = {cluster_find(cluster, PROCESS_ENTRY, 2),
                                    "m1"};
    struct busy_target busy = {cluster, PROCESS_ENGINE, "used_mb", NULL};

    process_set_faults(cluster_find(cluster, PROCESS_STORE, 1),
                       "{\"slow_ms\": 1000}");
    pthread_create(&caller->thread, NULL, run_chat, caller);
    g_assert_true(cluster_await(find_busy_target, &busy));
    process_set_faults(kv, "{\"down\": true}");
    pthread_join(caller->thread, NULL);
    g_assert_true(cluster_await(model_is_served, &request));
    send_and_check(cluster_find(cluster, PROCESS_ENTRY, 1), "m1", 3, 2);
    process_set_faults(kv, "{\"down\": false}");
    g_assert_true(cluster_await(entry_tree_is_current, request.entry));
    send_and_check(request.entry, "m2", 3, 3);
    assert_within_limits(cluster);
    g_free(caller);
}

/* Guards against truncated responses and a second replica when an engine
 * restarts empty at the same address during a burst, and against a retry
 * budget that is too small for a small deployment that loses one engine. */
enum { RESTART_BURST = 18, RESTART_TOKENS = 60 };

static void
run_engine_restarted(struct cluster *cluster)
{
    struct caller *callers[RESTART_BURST];
    struct busy_target busy = {cluster, PROCESS_ENGINE, "chats", NULL};

    for (int i = 0; i < RESTART_BURST; i++) {
        callers[i] =
            caller_new(any_entry(cluster, i), "m1", RESTART_TOKENS, i);
        pthread_create(&callers[i]->thread, NULL, run_chat, callers[i]);
    }
    g_assert_true(cluster_await(find_busy_target, &busy));
    cluster_kill(busy.process, SIGKILL);
    cluster_wait_exit(busy.process);
    cluster_restart(cluster, busy.process);
    for (int i = 0; i < RESTART_BURST; i++) {
        pthread_join(callers[i]->thread, NULL);
        assert_chat_complete(callers[i]);
        g_free(callers[i]);
    }
    assert_within_limits(cluster);
}

/* A client that looks up the addresses, caches them for keep_s and sends
 * requests continuously. */
enum { ROLLING_CALLERS = 6, ROLLING_TOKENS = 10, ROLLING_TRIES = 8 };

struct rolling_caller {
    struct cluster *cluster;
    int number;
    gint *stop;
    struct process entries[8]; /* only port is used */
    int entry_count;
    int64_t addresses_expire_ms;
    int answered;
    int failed;
    char failure[256];
    pthread_t thread;
};

static bool
read_addresses(struct rolling_caller *rolling, struct process *from)
{
    struct answer *answer = g_new0(struct answer, 1);
    struct json_object *object = NULL;
    struct json_object *addresses = NULL;
    bool found;

    if (request_send(from, "GET", "/v1/address?service=chat", NULL, NULL,
                     answer) &&
        answer->status == 200) {
        object = json_tokener_parse(answer->text);
    }
    found = object != NULL &&
            json_object_object_get_ex(object, "addresses", &addresses) &&
            json_object_array_length(addresses) > 0;
    if (found) {
        rolling->entry_count = 0;
        for (size_t i = 0; i < json_object_array_length(addresses); i++) {
            const char *text = json_object_get_string(
                json_object_array_get_idx(addresses, i));

            rolling->entries[rolling->entry_count++].port =
                atoi(strchr(text, ':') + 1);
        }
        rolling->addresses_expire_ms =
            clock_now_ms() + 1000 * json_get_int64(object, "keep_s", 0);
    }
    json_object_put(object);
    g_free(answer);
    return found;
}

/* Asks the cached instances first, then those of the settings. */
static void
refresh_addresses(struct rolling_caller *rolling)
{
    for (int i = 0; i < rolling->entry_count; i++) {
        if (read_addresses(rolling, &rolling->entries[i])) {
            return;
        }
    }
    for (int i = 0; i < rolling->cluster->layout->entries; i++) {
        if (read_addresses(rolling, any_entry(rolling->cluster, i))) {
            return;
        }
    }
}

/* Retries only calls refused as not_run, at another address. */
static bool
send_rolling(struct rolling_caller *rolling, int number)
{
    struct caller *caller = caller_new(NULL, "m1", ROLLING_TOKENS, number);
    bool complete = false;
    bool retry = true;

    for (int i = 0; i < ROLLING_TRIES && retry && !complete; i++) {
        if (clock_now_ms() >= rolling->addresses_expire_ms) {
            refresh_addresses(rolling);
        }
        caller->entry = &rolling->entries[(number + i) % rolling->entry_count];
        run_chat(caller);
        complete = chat_is_complete(caller);
        retry = strstr(caller->answer.text, "\"not_run\"") != NULL;
    }
    if (!complete) {
        snprintf(rolling->failure, sizeof(rolling->failure),
                 "port %d: HTTP %d %.200s", caller->entry->port,
                 caller->answer.status, caller->answer.text);
    }
    g_free(caller);
    return complete;
}

static void *
run_rolling_caller(void *argument)
{
    struct rolling_caller *rolling = argument;

    while (g_atomic_int_get(rolling->stop) == 0) {
        if (send_rolling(rolling, rolling->number +
                                      ROLLING_CALLERS * rolling->answered)) {
            rolling->answered++;
        }
        else {
            rolling->failed++;
        }
    }
    return NULL;
}

/* Guards against calls that fail during a rolling restart of all instances. */
static void
run_rolling_replacement(struct cluster *cluster)
{
    struct rolling_caller *callers =
        g_new0(struct rolling_caller, ROLLING_CALLERS);
    gint stop = 0;

    send_and_check(any_entry(cluster, 0), "m1", 3, 0);
    for (int i = 0; i < ROLLING_CALLERS; i++) {
        callers[i].cluster = cluster;
        callers[i].number = i;
        callers[i].stop = &stop;
        pthread_create(&callers[i].thread, NULL, run_rolling_caller,
                       &callers[i]);
    }
    for (int i = 1; i <= cluster->layout->entries; i++) {
        struct process *entry = cluster_find(cluster, PROCESS_ENTRY, i);

        cluster_kill(entry, SIGTERM);
        g_assert_cmpint(cluster_wait_exit(entry), ==, 0);
        cluster_restart(cluster, entry);
        g_assert_true(cluster_await_agreement(cluster));
    }
    g_atomic_int_set(&stop, 1);
    for (int i = 0; i < ROLLING_CALLERS; i++) {
        pthread_join(callers[i].thread, NULL);
        g_assert_cmpstr(callers[i].failure, ==, "");
        g_assert_cmpint(callers[i].failed, ==, 0);
        g_assert_cmpint(callers[i].answered, >, 0);
    }
    assert_within_limits(cluster);
    g_free(callers);
}

static const struct cluster_layout small_layout = {.engines = 2,
                                                   .engine_memory_mb = 4096,
                                                   .load_ms = 200,
                                                   .token_ms = 10,
                                                   .plain_targets =
                                                       TARGETS_OF_ORDERS,
                                                   .entries = 3,
                                                   .tree = TREE("true")};
static const struct cluster_layout unfenced_layout = {.engines = 2,
                                                      .engine_memory_mb = 4096,
                                                      .load_ms = 7000,
                                                      .token_ms = 5,
                                                      .plain_targets = 0,
                                                      .entries = 3,
                                                      .tree = TREE("false")};

static const struct cluster_case cases[] = {
    {"engine_leaving", &small_layout, run_engine_draining},
    {"engine_listed_leaving", &small_layout, run_engine_listed_draining},
    {"plain_leaving", &small_layout, run_plain_draining},
    {"plain_listed_leaving", &small_layout, run_plain_listed_draining},
    {"plain_turned_away", &small_layout, run_plain_turned_away},
    {"plain_stays", &small_layout, run_plain_stays},
    {"store_slow", &small_layout, run_store_slow},
    {"owner_paused_1", &unfenced_layout, run_owner_paused_1},
    {"owner_paused_2", &unfenced_layout, run_owner_paused_2},
    {"owner_paused_3", &unfenced_layout, run_owner_paused_3},
    {"answers_lost", &small_layout, run_answers_lost},
    {"order_instance_killed", &small_layout, run_order_instance_killed},
    {"restart_without_kv", &small_layout, run_restart_without_kv},
    {"kv_lost_during_load", &small_layout, run_kv_lost_during_load},
    {"engine_restarted", &small_layout, run_engine_restarted},
    {"rolling_replacement", &small_layout, run_rolling_replacement},
};

int
main(int argc, char **argv)
{
    return cluster_run_cases(argc, argv, "outage", cases, G_N_ELEMENTS(cases));
}
