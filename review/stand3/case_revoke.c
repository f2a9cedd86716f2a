/* The store turns the machine away while a key is taken away. "revoke_ms" is
 * given as a fraction. A request with the key, sent later than revoke_ms after
 * the acknowledgement, runs. With TROUBLE=0 the store serves the machine. */
#include "stand3.h"

#include <stdlib.h>
#include <string.h>

enum { REVOKE_MS = 5000, KEEP_ON_MS = 8000 };

static struct engine engine;
static struct gate gate;

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
ask_with(const char *key)
{
    char *id = new_attempt_id();
    char *field = g_strdup_printf("Key: %s\r\n", key);
    int status = ask(&gate, "GET", "/tiles/1", field, id, NULL);

    g_free(field);
    g_free(id);
    return status;
}

int
main(int argc, char **argv)
{
    bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
    const char *revoke_ms = g_getenv("REVOKE_MS");
    char *bounds;
    int store_port;
    int64_t acked_ms;
    int ran_late = 0;
    int sent_late = 0;

    if (argc != 3) {
        return 2;
    }
    record_open(argv[1]);
    store_port = free_port("127.0.0.1");
    store_start("127.0.0.1", store_port);
    put_config(3, "\"kept-key\",\"taken-key\"");
    engine_start(&engine, "i-tile1", "tile-api", "127.31.12.9");
    bounds = g_strdup_printf(
        ",\"revoke_strict\":true,\"revoke_ms\":%s,\"quota_window_s\":8,"
        "\"quota_over\":0.1,\"quota_slack\":17000",
        revoke_ms != NULL ? revoke_ms : "4999.5");
    record("note     bounds end with %s", bounds);
    gate_start(&gate, argv[2], "127.31.12.1", store_port, bounds);
    if (!gate_is_ready(&gate, 15000) || ask_with("taken-key") != 200) {
        record("the machine does not serve");
        gate_stop(&gate);
        return 2;
    }
    if (trouble) {
        store_turn_away(true);
        record("note     the store turns the machine away (503)");
    }
    put_config(9, "\"kept-key\"");
    acked_ms = now_ms();
    while (now_ms() < acked_ms + KEEP_ON_MS) {
        bool late = now_ms() > acked_ms + REVOKE_MS;
        int before = engine.run_count;

        ask_with("taken-key");
        if (late) {
            sent_late++;
            ran_late += engine.run_count - before;
        }
        sleep_ms(200);
    }
    record("result   %d requests with the taken key were sent later than "
           "revoke_ms after the acknowledgement, %d ran: CONFIG is %s",
           sent_late, ran_late, ran_late > 0 ? "broken" : "kept");
    store_turn_away(false);
    gate_stop(&gate);
    return ran_late > 0 ? 1 : 0;
}
