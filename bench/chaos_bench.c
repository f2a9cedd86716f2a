/*
 * Runs the system under random faults for a minute: instances and engines are
 * killed, paused and restarted; the key-value store goes down, drops responses
 * and slows down. Callers keep sending chats and orders and retry refused
 * requests at another instance. Prints the outcomes of the calls and the
 * figures that show violated invariants. Faults are derived from the printed
 * seed, but their effect depends on timing, so this is not a test.
 *
 * Usage: chaos_bench [SEED [SECONDS [FAULT]]]; FAULT selects one kind of
 * fault.
 */
#include <glib.h>
#include <json-c/json.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
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
#include "bench/dat.h"
#include "bench/fns.h"

enum {
    ENTRIES = 4,
    ENGINES = 4,
    PLAINS = 2,
    MODELS = 6,
    CHAT_CALLERS = 6,
    ORDER_CALLERS = 3,
    ANSWER_TOKENS = 20,
    ATTEMPTS_MAX = 12,
    SECONDS = 60,
    FAULT_INTERVAL_MS = 2500,
    FAULT_DURATION_MS = 1800,
    LATENCIES_MAX = 20000,
};

/* Outcomes of the calls of all callers. */
struct tally {
    atomic_int complete;
    atomic_int incomplete;
    atomic_int mismatched;
    atomic_int refused_attempts;
    atomic_int unreachable_attempts;
    atomic_int abandoned;
    atomic_int orders;
    atomic_int confirmed;
    atomic_int duplicates;
    atomic_int unknown;
    atomic_int latency_count;
    int latencies_ms[LATENCIES_MAX];
};

struct chaos {
    struct cluster *cluster;
    struct tally tally;
    atomic_bool stop;
    /* Replicas on all engines, including killed ones. */
    struct json_object *history;
    int faults;
};

struct client {
    struct chaos *chaos;
    int number;
    uint64_t random;
    pthread_t thread;
};

static char tree_edits[4096];

static uint64_t
next_random(uint64_t *state)
{
    *state = hash_pair(*state, 0x9e3779b97f4a7c15);
    return *state;
}

static void
wait_ms(int64_t duration_ms)
{
    int64_t end_ms = clock_now_ms() + duration_ms;
    int64_t left;

    while ((left = end_ms - clock_now_ms()) > 0) {
        poll(NULL, 0, (int)left);
    }
}

static void
build_tree(void)
{
    GString *text = g_string_new("[");

    for (int i = 1; i <= MODELS; i++) {
        g_string_append_printf(text,
                               "{\"node\": \"/chat/m%d\", \"key\": \"type\", "
                               "\"value\": \"model\"},",
                               i);
    }
    g_string_append(
        text,
        "{\"node\": \"/chat\", \"key\": \"type\", \"value\": \"service\"},"
        "{\"node\": \"/chat\", \"key\": \"checks_fence\", \"value\": true},"
        "{\"node\": \"/chat\", \"key\": \"wait_max_ms\", \"value\": 10000},"
        "{\"node\": \"/orders\", \"key\": \"type\", \"value\": \"service\"},"
        "{\"node\": \"/orders\", \"key\": \"kind\", \"value\": \"plain\"},"
        "{\"node\": \"/orders\", \"key\": \"wait_max_ms\", \"value\": 4000},"
        "{\"node\": \"/orders\", \"key\": \"repeatable\", \"value\": false}]");
    g_strlcpy(tree_edits, text->str, sizeof(tree_edits));
    g_string_free(text, TRUE);
}

static struct process *
random_entry(struct client *client)
{
    int number = 1 + (int)(next_random(&client->random) % ENTRIES);

    return cluster_find(client->chaos->cluster, PROCESS_ENTRY, number);
}

static void
record_latency(struct tally *tally, int64_t since_ms)
{
    int index = atomic_fetch_add(&tally->latency_count, 1);

    if (index < LATENCIES_MAX) {
        tally->latencies_ms[index] = (int)(clock_now_ms() - since_ms);
    }
}

/* Returns false if the call is to be retried. */
static bool
check_chat_answer(struct tally *tally, const struct answer *answer,
                  const char *prompt)
{
    char *text;
    char *expected;

    if (answer->status != 200) {
        atomic_fetch_add(answer->status == 0 ? &tally->unreachable_attempts
                                             : &tally->refused_attempts,
                         1);
        return false;
    }
    text = stream_text(answer);
    expected = g_strdup_printf("%s: t1 t2", prompt);
    if (text == NULL) {
        atomic_fetch_add(&tally->incomplete, 1);
    }
    else if (!g_str_has_prefix(text, expected) ||
             g_strrstr(text, " t20") == NULL) {
        atomic_fetch_add(&tally->mismatched, 1);
    }
    else {
        atomic_fetch_add(&tally->complete, 1);
    }
    g_free(expected);
    g_free(text);
    return true;
}

static void
send_chat(struct client *client, struct answer *answer, int call)
{
    struct tally *tally = &client->chaos->tally;
    char *prompt = g_strdup_printf("caller-%d-%d", client->number, call);
    char *body = g_strdup_printf(
        "{\"model\": \"m%d\", \"stream\": true, \"max_tokens\": %d, "
        "\"messages\": [{\"role\": \"user\", \"content\": \"%s\"}]}",
        1 + (int)(next_random(&client->random) % MODELS), ANSWER_TOKENS,
        prompt);
    int64_t start_ms = clock_now_ms();
    bool answered = false;

    for (int i = 0; i < ATTEMPTS_MAX && !answered; i++) {
        request_send(random_entry(client), "POST", "/v1/chat/completions",
                     NULL, body, answer);
        answered = check_chat_answer(tally, answer, prompt);
        if (!answered) {
            wait_ms(250);
        }
    }
    if (!answered) {
        atomic_fetch_add(&tally->abandoned, 1);
    }
    record_latency(tally, start_ms);
    g_free(body);
    g_free(prompt);
}

static void *
run_chats(void *argument)
{
    struct client *client = argument;
    struct answer *answer = g_new0(struct answer, 1);

    for (int call = 0; !atomic_load(&client->chaos->stop); call++) {
        send_chat(client, answer, call);
    }
    g_free(answer);
    return NULL;
}

/* Retries an order only while the response says that it was not run. */
static void
place_order(struct client *client, struct answer *answer, int call)
{
    struct tally *tally = &client->chaos->tally;
    char key[64];
    const char *const headers[][2] = {{"Idempotency-Key", key}, {NULL, NULL}};

    snprintf(key, sizeof(key), "order-%d-%d", client->number, call);
    atomic_fetch_add(&tally->orders, 1);
    for (int i = 0; i < ATTEMPTS_MAX; i++) {
        request_send(random_entry(client), "POST",
                     "/v1/services/orders/orders", headers, "{}", answer);
        if (answer->status == 200) {
            atomic_fetch_add(&tally->confirmed, 1);
            return;
        }
        if (answer->status == 409) {
            atomic_fetch_add(&tally->duplicates, 1);
            return;
        }
        if (strstr(answer->text, "\"unknown\"") != NULL) {
            atomic_fetch_add(&tally->unknown, 1);
            return;
        }
        wait_ms(250);
    }
    atomic_fetch_add(&tally->abandoned, 1);
}

static void *
run_orders(void *argument)
{
    struct client *client = argument;
    struct answer *answer = g_new0(struct answer, 1);

    for (int call = 0; !atomic_load(&client->chaos->stop); call++) {
        place_order(client, answer, call);
        wait_ms(50);
    }
    g_free(answer);
    return NULL;
}

/* Copies the engine's replica history, which a kill would lose. Replicas on an
   engine that is about to be killed end now. */
static void
save_replica_history(struct chaos *chaos, struct process *engine,
                     bool being_killed)
{
    struct json_object *stats = process_get_stats(engine);
    struct json_object *history;

    if (stats == NULL ||
        !json_object_object_get_ex(stats, "history", &history)) {
        json_object_put(stats);
        return;
    }
    for (size_t i = 0; i < json_object_array_length(history); i++) {
        struct json_object *replica = json_object_array_get_idx(history, i);

        if (being_killed && json_get_int64(replica, "to_ms", 0) == 0) {
            json_object_object_add(replica, "to_ms",
                                   json_object_new_int64(clock_now_ms()));
        }
        json_object_array_add(chaos->history, json_object_get(replica));
    }
    json_object_put(stats);
}

static void
kill_and_restart(struct chaos *chaos, struct process *process)
{
    if (process->kind == PROCESS_ENGINE) {
        save_replica_history(chaos, process, true);
    }
    cluster_kill(process, SIGKILL);
    cluster_wait_exit(process);
    wait_ms(FAULT_DURATION_MS);
    cluster_restart(chaos->cluster, process);
}

static void
pause_and_resume(struct chaos *chaos, struct process *process)
{
    (void)chaos;
    cluster_kill(process, SIGSTOP);
    wait_ms(FAULT_DURATION_MS * 3);
    cluster_kill(process, SIGCONT);
}

static void
set_fault_temporarily(struct process *process, const char *fault,
                      const char *clear)
{
    process_set_faults(process, fault);
    wait_ms(FAULT_DURATION_MS);
    process_set_faults(process, clear);
}

static void
kill_entry(struct chaos *chaos, uint64_t random)
{
    kill_and_restart(chaos, cluster_find(chaos->cluster, PROCESS_ENTRY,
                                         1 + (int)(random % ENTRIES)));
}

static void
pause_entry(struct chaos *chaos, uint64_t random)
{
    pause_and_resume(chaos, cluster_find(chaos->cluster, PROCESS_ENTRY,
                                         1 + (int)(random % ENTRIES)));
}

static void
kill_engine(struct chaos *chaos, uint64_t random)
{
    kill_and_restart(chaos, cluster_find(chaos->cluster, PROCESS_ENGINE,
                                         1 + (int)(random % ENGINES)));
}

static void
drop_plain_responses(struct chaos *chaos, uint64_t random)
{
    set_fault_temporarily(cluster_find(chaos->cluster, PROCESS_PLAIN,
                                       1 + (int)(random % PLAINS)),
                          "{\"lose_answers\": 2}", "{\"lose_answers\": 0}");
}

static void
disable_kv(struct chaos *chaos, uint64_t random)
{
    (void)random;
    set_fault_temporarily(cluster_find(chaos->cluster, PROCESS_KV, 1),
                          "{\"down\": true}", "{\"down\": false}");
}

static void
drop_kv_responses(struct chaos *chaos, uint64_t random)
{
    (void)random;
    set_fault_temporarily(cluster_find(chaos->cluster, PROCESS_KV, 1),
                          "{\"lose_answers\": 10}", "{\"lose_answers\": 0}");
}

static void
slow_kv_responses(struct chaos *chaos, uint64_t random)
{
    (void)random;
    set_fault_temporarily(cluster_find(chaos->cluster, PROCESS_KV, 1),
                          "{\"slow_ms\": 300}", "{\"slow_ms\": 0}");
}

static const struct {
    const char *name;
    void (*run)(struct chaos *chaos, uint64_t random);
} fault_kinds[] = {
    {"entry_killed", kill_entry},
    {"entry_paused", pause_entry},
    {"engine_killed", kill_engine},
    {"plain_loses_answers", drop_plain_responses},
    {"kv_down", disable_kv},
    {"kv_loses_answers", drop_kv_responses},
    {"kv_slow", slow_kv_responses},
};

static void
run_faults(struct chaos *chaos, uint64_t seed, int seconds, const char *only)
{
    int64_t end_ms = clock_now_ms() + (int64_t)seconds * 1000;

    while (clock_now_ms() < end_ms) {
        uint64_t random = next_random(&seed);
        size_t kind = random % G_N_ELEMENTS(fault_kinds);

        if (only != NULL && strcmp(fault_kinds[kind].name, only) != 0) {
            continue;
        }
        printf("fault %s\n", fault_kinds[kind].name);
        fault_kinds[kind].run(chaos, random >> 8);
        chaos->faults++;
        wait_ms(FAULT_INTERVAL_MS - FAULT_DURATION_MS);
    }
}

static void
print_invariants(struct chaos *chaos)
{
    int64_t run_twice = 0;
    int64_t overcommits = 0;

    for (int i = 1; i <= PLAINS; i++) {
        run_twice += process_get_stat(
            cluster_find(chaos->cluster, PROCESS_PLAIN, i), "run_twice");
    }
    for (int i = 1; i <= ENGINES; i++) {
        struct process *engine =
            cluster_find(chaos->cluster, PROCESS_ENGINE, i);

        overcommits += process_get_stat(engine, "overcommits_refused");
        save_replica_history(chaos, engine, false);
    }
    printf("orders_run_twice=%lld overcommits=%lld\n", (long long)run_twice,
           (long long)overcommits);
    for (int i = 1; i <= MODELS; i++) {
        char *model = g_strdup_printf("chat/m%d", i);

        printf("model=%s most_replicas=%d limit=1\n", model,
               peak_replicas(chaos->history, model));
        g_free(model);
    }
}

static int
compare_int(const void *a, const void *b)
{
    return *(const int *)a - *(const int *)b;
}

static void
print_tally(struct tally *tally)
{
    int count = MIN(tally->latency_count, LATENCIES_MAX);

    printf("chats whole=%d broken=%d mixed_up=%d refused_tries=%d "
           "unreachable_tries=%d given_up=%d\n",
           tally->complete, tally->incomplete, tally->mismatched,
           tally->refused_attempts, tally->unreachable_attempts,
           tally->abandoned);
    printf("orders=%d confirmed=%d duplicates=%d unknown=%d\n", tally->orders,
           tally->confirmed, tally->duplicates, tally->unknown);
    qsort(tally->latencies_ms, (size_t)count, sizeof(int), compare_int);
    if (count > 0) {
        printf("chat_ms median=%d p95=%d p99=%d max=%d calls=%d\n",
               tally->latencies_ms[count / 2],
               tally->latencies_ms[count * 95 / 100],
               tally->latencies_ms[count * 99 / 100],
               tally->latencies_ms[count - 1], count);
    }
}

static void
start_callers(struct chaos *chaos, struct client *clients, uint64_t seed)
{
    for (int i = 0; i < CHAT_CALLERS + ORDER_CALLERS; i++) {
        clients[i].chaos = chaos;
        clients[i].number = i;
        clients[i].random = hash_pair(seed, (uint64_t)i);
        pthread_create(&clients[i].thread, NULL,
                       i < CHAT_CALLERS ? run_chats : run_orders, &clients[i]);
    }
}

int
main(int argc, char **argv)
{
    static const struct cluster_layout shape = {.engines = ENGINES,
                                                .engine_memory_mb = 4096,
                                                .load_ms = 200,
                                                .token_ms = 10,
                                                .plain_targets = PLAINS,
                                                .entries = ENTRIES,
                                                .tree = tree_edits};
    static struct chaos chaos;
    struct client clients[CHAT_CALLERS + ORDER_CALLERS];
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 20261204;
    int seconds = argc > 2 ? atoi(argv[2]) : SECONDS;

    printf("seed=%llu seconds=%d\n", (unsigned long long)seed, seconds);
    signal(SIGPIPE, SIG_IGN);
    cluster_set_program_directory(argv[0]);
    build_tree();
    chaos.cluster = cluster_start(&shape);
    chaos.history = json_object_new_array();
    start_callers(&chaos, clients, seed);
    run_faults(&chaos, seed, seconds, argc > 3 ? argv[3] : NULL);
    atomic_store(&chaos.stop, true);
    for (int i = 0; i < CHAT_CALLERS + ORDER_CALLERS; i++) {
        pthread_join(clients[i].thread, NULL);
    }
    printf("faults=%d\n", chaos.faults);
    print_tally(&chaos.tally);
    print_invariants(&chaos);
    cluster_stop(chaos.cluster);
    json_object_put(chaos.history);
    return 0;
}
