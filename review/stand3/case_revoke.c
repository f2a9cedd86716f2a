/* The store turns one of three machines away while a key is taken away. "revoke_ms" is
 * given as a fraction. A request with the key, sent later than revoke_ms after
 * the acknowledgement, runs there. With TROUBLE=0 the store serves all machines.
 */
#include "stand3.h"

#include <stdlib.h>
#include <string.h>

enum { REVOKE_MS = 5000, KEEP_ON_MS = 8000, MACHINES = 3 };

static struct engine engine;
static struct gate gates[MACHINES];
static bool away;

static void
put_config(int version, const char *keys)
{
    char *text = g_strdup_printf(
        "{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000},"
        "\"services\":[{\"name\":\"tile-api\",\"max_conns\":110}],"
        "\"routes\":[{\"name\":\"tiles\",\"host\":\"a.example\","
        "\"path_prefix\":\"/tiles/\",\"service\":\"tile-api\","
        "\"kind\":\"idempotent\",\"timeout_ms\":1000,\"latency_goal_ms\":300,"
        "\"priority\":1,\"max_attempts\":2}],"
        "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[%s],"
        "\"rate_per_s\":0,\"burst\":0}]}",
        version, keys);

    store_put("op/config", text);
    record("acked    configuration %d: %s", version, text);
    g_free(text);
}

static int
ask_with(int machine, const char *key)
{
    char *id = new_attempt_id();
    char *field = g_strdup_printf("Key: %s\r\n", key);
    int status = ask(&gates[machine], "GET", "/tiles/1", field, id, NULL);

    g_free(field);
    g_free(id);
    return status;
}

static void
stop_all(void)
{
    for (int i = 0; i < MACHINES; i++) {
        gate_stop(&gates[i]);
    }
}

/* Sends a request with the taken key; returns whether it ran. */
static bool
runs(int machine)
{
    int before = engine.run_count;

    ask_with(machine, "taken-key");
    return engine.run_count > before;
}

int
main(int argc, char **argv)
{
    bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
    const char *revoke_ms = g_getenv("REVOKE_MS");
    char *bounds;
    int ports[MACHINES];
    int64_t acked_ms;
    int sent_late = 0;
    int ran_late[MACHINES] = {0};
    int ran = 0;

    if (argc != 3) {
        return 2;
    }
    record_open(argv[1]);
    ports[0] = free_port("127.0.0.1");
    store_start("127.0.0.1", ports[0]);
    put_config(3, "\"kept-key\",\"taken-key\"");
    engine_start(&engine, "i-tile1", "tile-api", "127.31.12.9");
    bounds = g_strdup_printf(
        ",\"revoke_strict\":true,\"revoke_ms\":%s,\"quota_window_s\":8,"
        "\"quota_over\":0.1,\"quota_slack\":17000",
        revoke_ms != NULL ? revoke_ms : "4999.5");
    record("note     bounds end with %s", bounds);
    /* The last machine has a way of its own to the store. */
    ports[1] = ports[0];
    ports[2] = free_port("127.0.0.1");
    store_serve_at("127.0.0.1", ports[2], &away);
    for (int i = 0; i < MACHINES; i++) {
        char *ip = g_strdup_printf("127.31.12.%d", i + 1);

        gate_start(&gates[i], argv[2], ip, ports[i], bounds);
        g_free(ip);
    }
    for (int i = 0; i < MACHINES; i++) {
        if (!gate_is_ready(&gates[i], 15000) ||
            ask_with(i, "taken-key") != 200) {
            record("a machine does not serve");
            stop_all();
            return 2;
        }
    }
    if (trouble) {
        away = true;
        record("note     the store turns machine 3 away (503)");
    }
    put_config(9, "\"kept-key\"");
    acked_ms = now_ms();
    while (now_ms() < acked_ms + KEEP_ON_MS) {
        for (int i = 0; i < MACHINES; i++) {
            bool late = now_ms() > acked_ms + REVOKE_MS;
            bool has_run = runs(i);

            sent_late += late && i == 0;
            ran_late[i] += late && has_run;
        }
        sleep_ms(200);
    }
    for (int i = 0; i < MACHINES; i++) {
        ran += ran_late[i];
    }
    record("result   of %d requests with the taken key at each machine, sent "
           "later than revoke_ms after the acknowledgement, ran %d, %d and %d "
           "(machine 3): CONFIG is %s",
           sent_late, ran_late[0], ran_late[1], ran_late[2],
           ran > 0 ? "broken" : "kept");
    away = false;
    stop_all();
    return ran > 0 ? 1 : 0;
}
