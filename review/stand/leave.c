/* The store cuts a watch that waits, as it may. A machine goes on sending
 * requests to an engine that leaves half a second later. */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    CONTACT_MS = 3000,
    DRAIN_MS = 2000,
    LEAVES_AFTER_MS = 500, /* from the cut of the watch */
    /* The engine goes on for "drain_ms" and a little longer. */
    SERVES_ON_MS = 3400,
    ASK_FROM_MS = 2020, /* from the engine's leaving */
    ASK_UNTIL_MS = 3600,
    ASK_EACH_MS = 25,
};

static const char config[] =
    "{\"version\":%d,\"routes\":[{\"name\":\"r-chat\",\"host\":\"" HOST "\","
    "\"path_prefix\":\"/chat/\",\"kind\":\"stream\",\"timeout_ms\":12000,"
    "\"latency_goal_ms\":500,\"priority\":1,\"service\":\"dele69a\","
    "\"max_attempts\":2,\"sticky\":true,\"resumable\":true,"
    "\"gap_aim_ms\":300}],\"services\":[{\"name\":\"dele69a\","
    "\"health_path\":\"/health\",\"max_conns\":250,\"protocol\":\"h1\","
    "\"tls\":false,\"engine\":{\"slots\":32,\"kv_capacity\":119151,"
    "\"models\":[{\"name\":\"daka510000\",\"weights_mb\":72700.0,"
    "\"load_s\":6.0,\"adapters\":0,\"adapter_mb\":40.0,\"warm_s\":0.4,"
    "\"disk_s\":1.2},{\"name\":\"rada7437b5\",\"weights_mb\":72700.0,"
    "\"load_s\":6.0,\"adapters\":0,\"adapter_mb\":40.0,\"warm_s\":0.4,"
    "\"disk_s\":1.2}],\"weights_mb\":200000.0,\"adapter_slots\":8,"
    "\"loads_per_s\":5.7}}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000}}";

static struct gate gate;
static int64_t left_ms; /* when the store removed the entry */
static atomic_int late;
static atomic_int broken;
static atomic_int open_calls;

static void
arrived(struct engine *engine, const char *attempt, const char *path)
{
    bool counts = left_ms != 0 && now_ms() > left_ms + DRAIN_MS;

    record("engine %s: %s attempt %s arrives, %lld ms after its entry was "
           "removed%s",
           engine->id, path, attempt,
           left_ms != 0 ? (long long)(now_ms() - left_ms) : -1LL,
           counts ? "  <- later than drain_ms" : "");
    if (counts) {
        atomic_fetch_add(&late, 1);
    }
}

static void
arrived_at_other(struct engine *engine, const char *attempt, const char *path)
{
    record("engine %s: %s attempt %s arrives", engine->id, path, attempt);
}

static void *
call(void *data)
{
    char attempt[32];
    struct answer answer;

    snprintf(attempt, sizeof(attempt), "9c41d07b%08x",
             (unsigned)(uintptr_t)data);
    client_call(gate.front, "POST", "/chat/1", attempt, 12000,
                "Model: daka510000\r\nToken-Count: 628,300\r\n"
                "Prompt-Prefix: 5c1e07a2:198,e4402b7d:430\r\n",
                "", 0, &answer);
    record("client: attempt %s -> %s", attempt,
           answer.status == 200   ? "200, whole"
           : answer.status == 503 ? "503, not run"
           : answer.status == 0   ? "broken off"
                                  : "a failure");
    if (answer.status != 200 && answer.status != 503) {
        atomic_fetch_add(&broken, 1);
    }
    atomic_fetch_sub(&open_calls, 1);
    return NULL;
}

int
main(int argc, char **argv)
{
    struct engine *holder;
    struct engine *other;
    char text[4096];
    int number = 1;

    stand_init(argc, argv);
    store_start(stand_ip(1), 20000);
    snprintf(text, sizeof(text), config, 4);
    store_put("op/config", text);
    holder = engine_new("i-cb0ad49367", "dele69a", 20);
    strcpy(holder->models[holder->model_count++], "daka510000");
    holder->arrived = arrived;
    other = engine_new("i-31b174c273", "dele69a", 20);
    strcpy(other->models[other->model_count++], "rada7437b5");
    other->arrived = arrived_at_other;
    holder->slots = other->slots = 32;
    holder->events = other->events = 49;
    holder->event_gap_ms = other->event_gap_ms = 25;
    holder->load_ms = other->load_ms = 6000;
    engine_start(holder, stand_ip(2));
    engine_start(other, stand_ip(3));
    gate_configure(&gate, "front-pos-a-1", stand_ip(10), store_address(), 520);
    gate_start(&gate);
    gate_wait_ready(&gate, 10000);
    pause_ms(CONTACT_MS + 500);
    if (stand_trouble()) {
        store_cut_next_watch();
        while (store_watch_is_to_be_cut()) {
            pause_ms(2);
        }
    }
    pause_ms(LEAVES_AFTER_MS);
    engine_unlist(holder);
    left_ms = now_ms();
    record("engine %s leaves: its entry is removed", holder->id);
    pause_ms(left_ms + ASK_FROM_MS - now_ms());
    while (now_ms() < left_ms + ASK_UNTIL_MS) {
        pthread_t thread;

        atomic_fetch_add(&open_calls, 1);
        pthread_create(&thread, NULL, call, (void *)(uintptr_t)number++);
        pthread_detach(thread);
        pause_ms(ASK_EACH_MS);
        if (now_ms() >= left_ms + SERVES_ON_MS &&
            !atomic_load(&holder->stopped)) {
            record("engine %s exits", holder->id);
            engine_exit(holder);
        }
    }
    while (atomic_load(&open_calls) > 0) {
        pause_ms(20);
    }
    record("%d requests reached the engine later than drain_ms; %d streams "
           "were broken off or failed",
           atomic_load(&late), atomic_load(&broken));
    stand_finish(atomic_load(&late) > 0 ? 1 : 0);
}
