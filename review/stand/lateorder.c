/* An order that an engine left unanswered is carried out after the engine has
 * started again under its id and has been filled anew. */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    LATE_MS = 8000,
    CRASH_AFTER_MS = 400, /* from the order that is left unanswered */
    DOWN_MS = 2500,
    ASK_EACH_MS = 250,
    PATIENCE_MS = 2400, /* callers abandon a stream without an event then */
    END_MS = 5000,      /* after the order was carried out */
};

static const char *const models[] = {"daka510000", "rada7437b5", "ravo486f6a",
                                     "nymi57a71f", "gopu49ded4"};

static struct gate gate;
static atomic_int whole;
static atomic_int refused;
static atomic_int broken;
static atomic_int open_calls;
static atomic_int number;

struct call {
    const char *model;
};

static char *
make_config(void)
{
    char *text;
    size_t bytes;
    FILE *out = open_memstream(&text, &bytes);

    fputs("{\"version\":4,\"routes\":[{\"name\":\"r-chat\",\"host\":\"" HOST
          "\",\"path_prefix\":\"/chat/\",\"kind\":\"stream\","
          "\"timeout_ms\":12000,\"latency_goal_ms\":500,\"priority\":1,"
          "\"service\":\"dele69a\",\"max_attempts\":2,\"sticky\":true,"
          "\"resumable\":true,\"gap_aim_ms\":300}],\"services\":[{\"name\":"
          "\"dele69a\",\"health_path\":\"/health\",\"max_conns\":250,"
          "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":32,"
          "\"kv_capacity\":119151,\"models\":[",
          out);
    for (int i = 0; i < 5; i++) {
        fprintf(out,
                "%s{\"name\":\"%s\",\"weights_mb\":72700.0,\"load_s\":6.0,"
                "\"adapters\":0,\"adapter_mb\":66.0,\"warm_s\":0.4,"
                "\"disk_s\":1.2}",
                i > 0 ? "," : "", models[i]);
    }
    fputs(
        "],\"weights_mb\":200000.0,\"adapter_slots\":8,\"loads_per_s\":5.7}}"
        "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
        out);
    fclose(out);
    return text;
}

/* A caller; it leaves when nothing comes for its patience. */
static void *
run_call(void *data)
{
    struct call *call = data;
    struct answer answer;
    char attempt[32];
    char fields[128];
    int own = atomic_fetch_add(&number, 1);

    snprintf(attempt, sizeof(attempt), "9c41d07b%08x", own);
    snprintf(fields, sizeof(fields),
             "Model: %s\r\nToken-Count: 628,300\r\nPrompt-Prefix: "
             "5c1e07a2:198,%08x:430\r\n",
             call->model, 0xe4400000u + (unsigned)own);
    client_call(gate.front, "POST", "/chat/1", attempt, PATIENCE_MS, fields,
                "", 0, &answer);
    record("client: %s attempt %s -> %s", call->model, attempt,
           answer.status == 200   ? "200, whole"
           : answer.status == 503 ? "503, not run"
           : answer.status == 0   ? "broken off, or given up"
                                  : "a failure");
    atomic_fetch_add(answer.status == 200   ? &whole
                     : answer.status == 503 ? &refused
                                            : &broken,
                     1);
    atomic_fetch_sub(&open_calls, 1);
    free(call);
    return NULL;
}

static void
call_model(int index)
{
    struct call *call = calloc(1, sizeof(*call));
    pthread_t thread;

    call->model = models[index];
    atomic_fetch_add(&open_calls, 1);
    pthread_create(&thread, NULL, run_call, call);
    pthread_detach(thread);
}

static void
arrived(struct engine *engine, const char *attempt, const char *path)
{
    record("engine %s: runs %s attempt %s", engine->id, path, attempt);
}

static void
call_for(int64_t ms, int first, int second)
{
    int64_t until_ms = now_ms() + ms;

    while (now_ms() < until_ms) {
        call_model(first);
        if (second >= 0) {
            call_model(second);
        }
        pause_ms(ASK_EACH_MS);
    }
}

static void
wait_for_order(const char *volatile *left, int64_t ms)
{
    int64_t until_ms = now_ms() + ms;

    while (*left != NULL) {
        if (now_ms() > until_ms) {
            stand_cannot_run("the order did not come");
        }
        pause_ms(5);
    }
}

int
main(int argc, char **argv)
{
    struct engine *engine;
    char *config = make_config();
    int64_t late_at_ms;

    stand_init(argc, argv);
    store_start(stand_ip(1), 20000);
    store_put("op/config", config);
    engine = engine_new("i-cb0ad49367", "dele69a", 20);
    engine->slots = 32;
    engine->events = 20;
    engine->event_gap_ms = 25;
    engine->load_ms = 6000;
    engine->model_mb = 72700;
    engine->weights_mb = 200000;
    strcpy(engine->models[engine->model_count++], models[0]);
    for (int i = 0; i < 5; i++) {
        strcpy(engine->disk[engine->disk_count++], models[i]);
    }
    engine->arrived = arrived;
    engine_start(engine, stand_ip(2));
    gate_configure(&gate, "front-pos-a-1", stand_ip(10), store_address(), 520);
    gate_start(&gate);
    gate_wait_ready(&gate, 10000);
    pause_ms(1500);
    record("callers ask for %s, which the engine has room for", models[1]);
    call_for(2500, 1, -1);
    pause_ms(1500);
    if (stand_trouble()) {
        engine->late_model = models[2];
        engine->late_ms = LATE_MS;
    }
    record("callers ask for %s, which takes the place of another", models[2]);
    call_model(2);
    if (stand_trouble()) {
        wait_for_order((const char *volatile *)&engine->late_model, 5000);
        late_at_ms = now_ms() + LATE_MS;
        pause_ms(CRASH_AFTER_MS);
        engine_crash(engine);
        pause_ms(DOWN_MS);
        engine_start_again(engine);
        pause_ms(300);
    }
    else {
        late_at_ms = now_ms() + LATE_MS;
        pause_ms(CRASH_AFTER_MS + DOWN_MS + 300);
    }
    record("callers ask for %s and %s", models[3], models[4]);
    call_for(late_at_ms + END_MS - now_ms(), 3, 4);
    while (atomic_load(&open_calls) > 0) {
        pause_ms(20);
    }
    record("%d streams whole, %d refused, %d broken off or given up; loads "
           "beyond weights_mb: %d",
           atomic_load(&whole), atomic_load(&refused), atomic_load(&broken),
           engine->over_memory);
    stand_finish(engine->over_memory > 0 ? 1 : 0);
}
