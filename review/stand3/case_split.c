/* A valid configuration splits a route over nine services, drops a route and
 * adds one. Later than config_apply_ms after its acknowledgement, requests are
 * handled as only the older version allows. With TROUBLE=0 no configuration
 * follows the first. */
#include "stand3.h"

#include <stdlib.h>
#include <string.h>

enum { CONFIG_APPLY_MS = 2000, SERVICES = 9, REQUESTS = 20 };

static struct engine engines[SERVICES + 1];
static struct gate gate;

static void
add_route(GString *text, const char *name, const char *prefix,
          const char *target)
{
    g_string_append_printf(
        text,
        "%s{\"name\":\"%s\",\"host\":\"a.example\",\"path_prefix\":\"%s\",%s,"
        "\"kind\":\"idempotent\",\"timeout_ms\":1000,\"latency_goal_ms\":100,"
        "\"priority\":1,\"max_attempts\":2}",
        text->str[text->len - 1] == '[' ? "" : ",", name, prefix, target);
}

static void
put_config(int version, bool split)
{
    GString *text = g_string_new(NULL);

    g_string_printf(text,
                    "{\"version\":%d,\"limits\":{\"max_header_bytes\":16384,"
                    "\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,"
                    "\"idle_timeout_ms\":15000},\"services\":[",
                    version);
    for (int i = 0; i <= SERVICES; i++) {
        g_string_append_printf(text, "%s{\"name\":\"book-%d\","
                                     "\"max_conns\":110}",
                               i > 0 ? "," : "", i);
    }
    g_string_append(text, "],\"routes\":[");
    if (split) {
        GString *shares = g_string_new("\"split\":[");

        for (int i = 1; i <= SERVICES; i++) {
            g_string_append_printf(
                shares, "%s{\"service\":\"book-%d\",\"weight\":1}",
                i > 1 ? "," : "", i);
        }
        g_string_append(shares, "]");
        add_route(text, "slots", "/slots/", shares->str);
        add_route(text, "added", "/added/", "\"service\":\"book-1\"");
        g_string_free(shares, TRUE);
    }
    else {
        add_route(text, "slots", "/slots/", "\"service\":\"book-0\"");
        add_route(text, "dropped", "/dropped/", "\"service\":\"book-0\"");
    }
    g_string_append(text, "]}");
    store_put("op/config", text->str);
    record("acked    configuration %d: %s", version, text->str);
    g_string_free(text, TRUE);
}

/* Sends requests one after the other; returns how many were run by book-0,
 * with @refused404 the number that got 404. */
static int
ask_some(const char *path, int *refused404)
{
    int before = engines[0].run_count;

    *refused404 = 0;
    for (int i = 0; i < REQUESTS; i++) {
        char *id = new_attempt_id();

        *refused404 += ask(&gate, "GET", path, "", id, NULL) == 404;
        g_free(id);
        sleep_ms(20);
    }
    return engines[0].run_count - before;
}

int
main(int argc, char **argv)
{
    bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
    int store_port;
    int refused;
    int slots_old;
    int dropped_old;
    int added_404;
    bool broken;

    if (argc != 3) {
        return 2;
    }
    record_open(argv[1]);
    store_port = free_port("127.0.0.1");
    store_start("127.0.0.1", store_port);
    put_config(3, false);
    for (int i = 0; i <= SERVICES; i++) {
        char *id = g_strdup_printf("i-book%d", i);
        char *service = g_strdup_printf("book-%d", i);

        engine_start(&engines[i], id, service, "127.31.11.9");
        g_free(id);
        g_free(service);
    }
    gate_start(&gate, argv[2], "127.31.11.1", store_port, "");
    if (!gate_is_ready(&gate, 15000)) {
        record("the machine does not become ready");
        return 2;
    }
    slots_old = ask_some("/slots/1", &refused);
    if (slots_old != REQUESTS) {
        record("the first configuration is not served");
        gate_stop(&gate);
        return 2;
    }
    if (trouble) {
        put_config(9, true);
        sleep_ms(CONFIG_APPLY_MS + 1000);
    }
    else {
        sleep_ms(CONFIG_APPLY_MS + 1000);
    }
    record("note     more than config_apply_ms after the acknowledgement");
    slots_old = ask_some("/slots/1", &refused);
    dropped_old = ask_some("/dropped/1", &refused);
    ask_some("/added/1", &added_404);
    broken =
        trouble && (slots_old > 0 || dropped_old > 0 || added_404 > 0);
    record("result   of %d each: /slots/ run by the old service %d, /dropped/ "
           "run %d, /added/ refused with 404 %d: CONFIG is %s",
           REQUESTS, slots_old, dropped_old, added_404,
           broken ? "broken" : "kept");
    gate_stop(&gate);
    if (broken) {
        gate_start(&gate, argv[2], "127.31.11.1", store_port, "");
        record("besides  the machine is started anew: %s",
               gate_is_ready(&gate, 12000) ? "it becomes ready"
                                           : "not ready after 12 s");
        ask(&gate, "GET", "/added/1", "", "00000000000000ff", NULL);
        gate_stop(&gate);
    }
    return broken ? 1 : 0;
}
