/* An engine leaves: its entry is removed, and it goes on serving for some
 * seconds, with Server-Leaving in its answers. Then the store comes back from a
 * copy that is older than that. When the machine has been in touch again for
 * contact_ms, its next requests go to that engine. With TROUBLE=0 the store
 * stays as it is. */
#include "stand3.h"

#include <stdlib.h>
#include <string.h>

enum {
    CONTACT_MS = 3000,
    DRAIN_MS = 2000,
    HEARTBEATS_SILENT_MS = 3 * 1200, /* then an entry is removed */
    COPY_AGE_MS = 2500,
    AWAY_MS = 300,
    WORK_MS = 15, /* as on the site */
    CLIENTS = 6,
    CALM_MS = 200, /* before the engine leaves */
    JUDGED_AFTER_MS = 200,
};

static struct engine engines[2];
static struct gate gate;
static int64_t removed_ms = INT64_MAX / 2;
static int64_t judged_from_ms = INT64_MAX / 2;
static bool leaving;
static bool calm;
static bool done;
static int reached_late;
static int reached_within;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* "An engine that leaves says so in all its answers too". */
static bool
answer_leaving(struct engine *engine, struct wire *wire,
               const struct message *request)
{
    char *text = g_strdup_printf("HTTP/1.1 200 OK\r\n"
                                 "Attempt-Id: %s\r\n"
                                 "Server-Seal: seal.%s\r\n"
                                 "Server-Leaving: 1\r\n"
                                 "Connection: close\r\n"
                                 "Content-Length: 2\r\n\r\nok",
                                 message_field(request, "Attempt-Id"),
                                 engine->id);

    wire_write(wire, text, strlen(text));
    g_free(text);
    return false;
}

/* The time at which the client sent a request is the second part of its id. */
static bool
answer_after_work(struct engine *engine, struct wire *wire,
                  const struct message *request, int number)
{
    int64_t sent_ms = g_ascii_strtoll(
        message_field(request, "Attempt-Id") + 8, NULL, 16);

    (void)number;
    pthread_mutex_lock(&lock);
    if (engine == &engines[0] && sent_ms > removed_ms + DRAIN_MS) {
        if (sent_ms > judged_from_ms) {
            reached_late++;
            record("late     %s reaches %s, sent %.3f s after its entry was "
                   "removed, by a machine in touch",
                   message_field(request, "Attempt-Id"), engine->id,
                   (double)(sent_ms - removed_ms) / 1000.0);
        }
        else {
            reached_within++;
        }
    }
    pthread_mutex_unlock(&lock);
    sleep_ms(WORK_MS);
    if (engine == &engines[0] && leaving) {
        return answer_leaving(engine, wire, request);
    }
    return engine_answer_whole(engine, wire, request, "ok", 2);
}

static void *
client_main(void *argument)
{
    (void)argument;
    while (!done) {
        char *id;

        if (calm) {
            sleep_ms(1);
            continue;
        }
        id = g_strdup_printf("%08x%016" G_GINT64_MODIFIER "x", g_random_int(),
                             (guint64)now_ms());

        ask(&gate, "POST", "/slots/1", "", id, NULL);
        g_free(id);
        sleep_ms(20);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
    pthread_t clients[CLIENTS];
    int64_t back_ms;
    int store_port;

    if (argc != 3) {
        return 2;
    }
    record_open(argv[1]);
    store_port = free_port("127.0.0.1");
    store_start("127.0.0.1", store_port);
    store_name_era();
    store_put("op/config",
              "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,"
              "\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,"
              "\"idle_timeout_ms\":15000},"
              "\"services\":[{\"name\":\"ovenbook\",\"max_conns\":110}],"
              "\"routes\":[{\"name\":\"slots\",\"host\":\"a.example\","
              "\"path_prefix\":\"/slots/\",\"service\":\"ovenbook\","
              "\"kind\":\"non_idempotent\",\"timeout_ms\":1000,"
              "\"latency_goal_ms\":100,\"priority\":1,\"max_attempts\":1}]}");
    for (int i = 0; i < 2; i++) {
        char *id = g_strdup_printf("i-slot%d", i + 1);

        engines[i].answer = answer_after_work;
        engine_start(&engines[i], id, "ovenbook", "127.31.14.9");
        g_free(id);
    }
    gate_start(&gate, argv[2], "127.31.14.1", store_port, "");
    if (!gate_is_ready(&gate, 15000)) {
        record("the machine does not become ready");
        return 2;
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_create(&clients[i], NULL, client_main, NULL);
    }
    sleep_ms(4000); /* in touch */
    store_copy();
    record("note     the store is copied");
    sleep_ms(1000 - CALM_MS);
    calm = true; /* no customer for some seconds */
    sleep_ms(CALM_MS);
    engines[0].silent = true;
    leaving = true;
    store_remove("servers/i-slot1");
    removed_ms = now_ms();
    record("acked    the entry of i-slot1 is removed; it goes on serving");
    sleep_ms(COPY_AGE_MS - 1000 - AWAY_MS);
    if (trouble) {
        record("note     the store is away");
        store_restore(AWAY_MS);
        record("note     the store is back from the copy, in the next era");
    }
    else {
        sleep_ms(AWAY_MS);
    }
    back_ms = now_ms();
    judged_from_ms = back_ms + CONTACT_MS;
    sleep_ms(CONTACT_MS + JUDGED_AFTER_MS);
    calm = false;
    sleep_ms(HEARTBEATS_SILENT_MS - CONTACT_MS - JUDGED_AFTER_MS);
    store_remove("servers/i-slot1");
    record("note     three heartbeat intervals after the store's return the "
           "entry of i-slot1 is removed again");
    sleep_ms(1500);
    done = true;
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(clients[i], NULL);
    }
    record("result   requests sent to i-slot1 later than drain_ms after its "
           "entry was removed: %d while the machine was not in touch, %d while "
           "it was: DRAIN is %s",
           reached_within, reached_late, reached_late > 0 ? "broken" : "kept");
    gate_stop(&gate);
    return reached_late > 0 ? 1 : 0;
}
