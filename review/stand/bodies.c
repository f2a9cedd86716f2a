/* Clients send long requests, within the operator's limits, to one machine at
 * the same time: the process takes more memory than the machine has. */
#include "stand.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum {
    MEMORY_MB = 260, /* the smallest machine of the sheet */
    BODY_MAX_BYTES = 4194304,
    /* With the usual ones, the clients of the site: the loss of any number of
     * machines is to be borne, so one may have them all. */
    CLIENTS = 68,
    ENGINES = 4,
    WORK_MS = 30,
    DEADLINE_MS = 2500,
    WAVES = 3,
    WAVE_EACH_MS = 5000,
    USUAL_CLIENTS = 24, /* with short requests, all the while */
    USUAL_PAUSE_MS = 10,
    RAN_MAX = 20000,
};

static const char config[] =
    "{\"version\":4,\"routes\":[{\"name\":\"r-confirm\",\"host\":\"" HOST "\","
    "\"path_prefix\":\"/confirm/\",\"kind\":\"non_idempotent\","
    "\"timeout_ms\":2500,\"latency_goal_ms\":150,\"priority\":2,"
    "\"service\":\"order-desk\",\"max_attempts\":2,\"sticky\":false,"
    "\"resumable\":false}],\"services\":[{\"name\":\"order-desk\","
    "\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\","
    "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000}}";

static struct gate gate;
static char *body;
static size_t body_bytes;
static atomic_int wave;
static atomic_int done;
static atomic_int whole;
static atomic_int refused;
static atomic_int unanswered;
static atomic_int kills;
static atomic_int lost_runs;
static atomic_int usual_clients;
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

/* Each client keeps its connection, on which a short request was answered. */
static void *
run_client(void *data)
{
    int number = (int)(uintptr_t)data;

    for (int round = 1; round <= WAVES; round++) {
        struct answer answer = {0};
        char attempt[32];
        int fd = -1;

        for (int i = 0; i < 60 && answer.status != 200; i++) {
            if (fd >= 0) {
                close(fd);
            }
            snprintf(attempt, sizeof(attempt), "5%x%02x%04x", round, i,
                     number);
            fd = client_connect(gate.front);
            if (fd >= 0 && client_send(fd, "POST", HOST, "/confirm/1", attempt,
                                       DEADLINE_MS, "", "small", 5)) {
                client_read(fd, DEADLINE_MS, &answer);
            }
            if (answer.status != 200) {
                pause_ms(100);
            }
        }
        while (atomic_load(&wave) < round) {
            pause_ms(5);
        }
        snprintf(attempt, sizeof(attempt), "9%x%04x", round, number);
        memset(&answer, 0, sizeof(answer));
        if (fd >= 0 && client_send(fd, "POST", HOST, "/confirm/2", attempt,
                                   DEADLINE_MS, "", body, body_bytes)) {
            client_read(fd, DEADLINE_MS, &answer);
        }
        close(fd);
        if (answer.status == 200 && answer.sealed) {
            atomic_fetch_add(&whole, 1);
        }
        else if (answer.status != 0) {
            atomic_fetch_add(&refused, 1);
        }
        else {
            atomic_fetch_add(&unanswered, 1);
            if (has_run(attempt)) {
                atomic_fetch_add(&lost_runs, 1);
            }
        }
        record("client %d: attempt %s, %zu bytes -> %d%s", number, attempt,
               body_bytes, answer.status,
               answer.status == 0 && has_run(attempt)
                   ? "  <- an engine ran it, no answer"
                   : "");
        atomic_fetch_add(&done, 1);
    }
    return NULL;
}

/* Sends short requests on a connection that it keeps. */
static void *
run_usual_client(void *data)
{
    int number = (int)(uintptr_t)data;
    int fd = -1;

    for (int i = 0; atomic_load(&done) < WAVES * CLIENTS; i++) {
        struct answer answer = {0};
        char attempt[32];

        if (fd < 0) {
            fd = client_connect(gate.front);
        }
        snprintf(attempt, sizeof(attempt), "7%02x%06x", number, i);
        if (fd >= 0 && client_send(fd, "POST", HOST, "/confirm/3", attempt,
                                   DEADLINE_MS, "", "small", 5)) {
            client_read(fd, DEADLINE_MS, &answer);
            record("client u%d: attempt %s -> %d", number, attempt,
                   answer.status);
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
    atomic_fetch_sub(&usual_clients, 1);
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
    pthread_t thread;

    stand_init(argc, argv);
    stand_zone = "kovalam";
    stand_region = "kerala-south";
    body_bytes = stand_trouble() ? BODY_MAX_BYTES - 1024 : 600;
    body = malloc(body_bytes);
    memset(body, 'x', body_bytes);
    store_start(stand_ip(1), 20000);
    store_put("op/config", config);
    for (int i = 0; i < ENGINES; i++) {
        char id[32];
        struct engine *engine;

        snprintf(id, sizeof(id), "i-3df7fc1cd%d", i);
        engine = engine_new(id, "order-desk", WORK_MS);
        engine->arrived = arrived;
        engine_start(engine, stand_ip(2 + i));
    }
    gate_configure(&gate, "front-kovalam-1", stand_ip(10), store_address(),
                   MEMORY_MB);
    gate_start(&gate);
    gate_wait_ready(&gate, 10000);
    pause_ms(1000);
    pthread_create(&thread, NULL, watch_memory, NULL);
    pthread_detach(thread);
    atomic_store(&usual_clients, USUAL_CLIENTS);
    for (int i = 0; i < USUAL_CLIENTS; i++) {
        pthread_create(&thread, NULL, run_usual_client, (void *)(uintptr_t)i);
        pthread_detach(thread);
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&thread, NULL, run_client, (void *)(uintptr_t)i);
        pthread_detach(thread);
    }
    for (int i = 1; i <= WAVES; i++) {
        pause_ms(WAVE_EACH_MS);
        record("%d clients send %zu bytes each", CLIENTS, body_bytes);
        atomic_store(&wave, i);
    }
    while (atomic_load(&done) < WAVES * CLIENTS ||
           atomic_load(&usual_clients) > 0) {
        pause_ms(20);
    }
    record("of %d long requests: %d answered by an engine, %d answered by the "
           "gate, %d not answered; %d requests that engines ran were not "
           "answered; the process was killed %d times",
           WAVES * CLIENTS, atomic_load(&whole), atomic_load(&refused),
           atomic_load(&unanswered), atomic_load(&lost_runs),
           atomic_load(&kills));
    stand_finish(atomic_load(&kills) > 0 && atomic_load(&lost_runs) > 3 ? 1
                                                                        : 0);
}
