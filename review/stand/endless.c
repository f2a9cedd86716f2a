/* An engine sends a stream without an end to callers that read it steadily:
 * the process keeps all that it has passed on. */
#include "stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
    MEMORY_MB = 260, /* the smallest machine of the sheet */
    READERS = 48,
    READ_BYTES_PER_MS = 2500, /* 20 Mbit/s */
    WINDOW_BYTES = 8 * 1024,
    DEADLINE_MS = 12000,
    USUAL_CLIENTS = 24,
    USUAL_PAUSE_MS = 10,
    USUAL_DEADLINE_MS = 2500,
    END_MS = 14000,
    MIND_ENGINES = 2,
    DESK_ENGINES = 4,
    RAN_MAX = 20000,
};

static const char config[] =
    "{\"version\":4,\"routes\":[{\"name\":\"r-draft\",\"host\":\"" HOST "\","
    "\"path_prefix\":\"/draft/\",\"kind\":\"stream\",\"timeout_ms\":12000,"
    "\"latency_goal_ms\":500,\"priority\":1,\"service\":\"oven-mind\","
    "\"max_attempts\":2,\"sticky\":false,\"resumable\":true,"
    "\"gap_aim_ms\":300},{\"name\":\"r-confirm\",\"host\":\"" HOST "\","
    "\"path_prefix\":\"/confirm/\",\"kind\":\"non_idempotent\","
    "\"timeout_ms\":2500,\"latency_goal_ms\":150,\"priority\":2,"
    "\"service\":\"order-desk\",\"max_attempts\":2,\"sticky\":false,"
    "\"resumable\":false}],\"services\":[{\"name\":\"oven-mind\","
    "\"health_path\":\"/health\",\"max_conns\":230,\"protocol\":\"h1\","
    "\"tls\":false},{\"name\":\"order-desk\",\"health_path\":\"/health\","
    "\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
    "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static struct gate gate;
static int64_t end_ms;
static atomic_int open_clients;
static atomic_int kills;
static atomic_int lost_runs;
static atomic_int served;
static char ran[RAN_MAX][24];
static atomic_int ran_count;

static void
arrived(struct engine *engine, const char *attempt, const char *path)
{
    int index = atomic_fetch_add(&ran_count, 1);

    if (index < RAN_MAX) {
        snprintf(ran[index], sizeof(ran[index]), "%s", attempt);
    }
    record("engine %s: runs %s attempt %s", engine->id, path, attempt);
}

static bool
has_run(const char *attempt)
{
    int count = atomic_load(&ran_count);

    for (int i = 0; i < count && i < RAN_MAX; i++) {
        if (strcmp(ran[i], attempt) == 0) {
            return true;
        }
    }
    return false;
}

/* Sends short orders on a connection that it keeps. */
static void *
run_usual_client(void *data)
{
    int number = (int)(uintptr_t)data;
    int fd = -1;

    for (int i = 0; now_ms() < end_ms; i++) {
        struct answer answer = {0};
        char attempt[32];

        if (fd < 0) {
            fd = client_connect(gate.front);
        }
        snprintf(attempt, sizeof(attempt), "7%02x%06x", number, i);
        if (fd >= 0 && client_send(fd, "POST", HOST, "/confirm/1", attempt,
                                   USUAL_DEADLINE_MS, "", "small", 5)) {
            client_read(fd, USUAL_DEADLINE_MS, &answer);
            record("client u%d: attempt %s -> %d", number, attempt,
                   answer.status);
        }
        if (answer.status == 200) {
            atomic_fetch_add(&served, 1);
        }
        if (answer.status == 0 && fd >= 0) {
            if (has_run(attempt)) {
                atomic_fetch_add(&lost_runs, 1);
                record("client u%d: attempt %s  <- an engine ran it, no "
                       "answer",
                       number, attempt);
            }
            close(fd);
            fd = -1;
        }
        pause_ms(USUAL_PAUSE_MS + number * 2); /* not all at a time */
    }
    atomic_fetch_sub(&open_clients, 1);
    return NULL;
}

static void *
run_reader(void *data)
{
    int number = (int)(uintptr_t)data;
    char attempt[32];
    long bytes = 0;
    int fd = client_connect_small(gate.front, WINDOW_BYTES);

    snprintf(attempt, sizeof(attempt), "9c41d07b%08x", number);
    if (fd >= 0) {
        client_send(fd, "POST", HOST, "/draft/1", attempt, DEADLINE_MS, "", "",
                    0);
        bytes = client_read_slowly(fd, DEADLINE_MS, READ_BYTES_PER_MS);
        close(fd);
    }
    record("client r%d: attempt %s, %ld bytes of the stream read", number,
           attempt, bytes);
    atomic_fetch_sub(&open_clients, 1);
    return NULL;
}

/* The platform kills a process that exceeds its memory and starts it again. */
static void *
watch_memory(void *data)
{
    long most_kb = 0;

    (void)data;
    for (;;) {
        long kb = gate_rss_kb(&gate);

        if (kb > most_kb + 20 * 1024) {
            most_kb = kb;
            record("platform: the process has %ld MB", kb / 1024);
        }
        if (kb > MEMORY_MB * 1024L) {
            record("platform: the process has %ld MB of %d MB: killed",
                   kb / 1024, MEMORY_MB);
            kill(gate.pid, SIGKILL);
            gate_reap(&gate);
            atomic_fetch_add(&kills, 1);
            most_kb = 0;
            pause_ms(300);
            gate_start(&gate);
        }
        pause_ms(5);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    struct engine *engine;
    pthread_t thread;

    stand_init(argc, argv);
    stand_zone = "kovalam";
    stand_region = "kerala-south";
    store_start(stand_ip(1), 20000);
    store_put("op/config", config);
    for (int i = 0; i < DESK_ENGINES; i++) {
        char id[32];

        snprintf(id, sizeof(id), "i-3df7fc1cd%d", i);
        engine = engine_new(id, "order-desk", 30);
        engine->arrived = arrived;
        engine_start(engine, stand_ip(4 + i));
    }
    for (int i = 0; i < MIND_ENGINES; i++) {
        char id[32];

        snprintf(id, sizeof(id), "i-cb0ad4936%d", i);
        engine = engine_new(id, "oven-mind", 20);
        engine->slots = 32;
        engine->events = 49;
        engine->event_gap_ms = 25;
        engine->endless = stand_trouble();
        engine->arrived = arrived;
        engine_start(engine, stand_ip(2 + i));
    }
    gate_configure(&gate, "front-kovalam-1", stand_ip(10), store_address(),
                   MEMORY_MB);
    gate_start(&gate);
    gate_wait_ready(&gate, 10000);
    pause_ms(1000);
    end_ms = now_ms() + END_MS;
    pthread_create(&thread, NULL, watch_memory, NULL);
    pthread_detach(thread);
    atomic_store(&open_clients, USUAL_CLIENTS + READERS);
    for (int i = 0; i < USUAL_CLIENTS; i++) {
        pthread_create(&thread, NULL, run_usual_client, (void *)(uintptr_t)i);
        pthread_detach(thread);
    }
    pause_ms(1000);
    record("%d callers ask for a stream", READERS);
    for (int i = 0; i < READERS; i++) {
        pthread_create(&thread, NULL, run_reader, (void *)(uintptr_t)i);
        pthread_detach(thread);
    }
    while (atomic_load(&open_clients) > 0) {
        pause_ms(20);
    }
    record("%d orders answered by an engine; %d orders that an "
           "engine ran were not answered; the process was killed %d times",
           atomic_load(&served), atomic_load(&lost_runs), atomic_load(&kills));
    stand_finish(atomic_load(&kills) > 0 && atomic_load(&lost_runs) > 3 ? 1
                                                                        : 0);
}
