/* A machine that was cut off from the store while configurations came in quick
 * succession goes on with the configuration from before the cut. */
#include "stand.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    /* Twice "big_config" with the count of the site's days. */
    IDLE_ROUTES = 740,
    /* "config_storm" of the site's days, twice. */
    STORM_CHANGES = 25,
    STORM_GAP_MS = 80,
    STORMS = 2,
    CUT_MS = 5500,
    CONTACT_MS = 3000,
    CONFIG_APPLY_MS = 2000,
    ASKED_MS = 14000,
    ASK_EACH_MS = 300,
};

struct operation {
    int version;
    int toggle;
    bool moved;
};

static void
add_route(FILE *out, bool first, const char *name, const char *path,
          const char *kind, const char *service, int timeout_ms)
{
    fprintf(out,
            "%s{\"name\":\"%s\",\"host\":\"" HOST "\",\"path_prefix\":\"%s\","
            "\"kind\":\"%s\",\"timeout_ms\":%d,\"latency_goal_ms\":100,"
            "\"priority\":2,\"service\":\"%s\",\"max_attempts\":2,"
            "\"sticky\":false,\"resumable\":false}",
            first ? "" : ",", name, path, kind, timeout_ms, service);
}

static char *
make_config(const struct operation *operation)
{
    char *text;
    size_t bytes;
    FILE *out = open_memstream(&text, &bytes);
    const char *service = operation->moved ? "wuno96b" : "xano55b";

    fprintf(out, "{\"version\":%d,\"routes\":[", operation->version);
    add_route(out, true, "r-confirm", "/confirm/", "non_idempotent", service,
              1000);
    if (operation->moved) {
        add_route(out, false, "r-added", "/added/", "idempotent", service,
                  1000);
    }
    else {
        add_route(out, false, "r-dropped", "/dropped/", "idempotent", service,
                  1000);
    }
    add_route(out, false, "r-toggled", "/toggled/", "idempotent", service,
              operation->toggle ? 900 : 1000);
    for (int i = 0; i < IDLE_ROUTES; i++) {
        char name[32];
        char path[32];

        snprintf(name, sizeof(name), "r-idle%05d", i);
        snprintf(path, sizeof(path), "/idle%05d/", i);
        add_route(out, false, name, path, "idempotent", "xano55b", 1000);
    }
    fprintf(
        out,
        "],\"services\":[{\"name\":\"xano55b\",\"health_path\":\"/health\","
        "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false},"
        "{\"name\":\"wuno96b\",\"health_path\":\"/health\","
        "\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"max_header_bytes\":16384,"
        "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000}}");
    fclose(out);
    return text;
}

static int64_t
write_config(struct operation *operation)
{
    char *text;
    int64_t acked_ms;

    operation->version += 3;
    operation->toggle = !operation->toggle;
    text = make_config(operation);
    acked_ms = store_put("op/config", text);
    free(text);
    return acked_ms;
}

static int old_handled;

static void
ask(struct gate *gate, int number, const char *method, const char *path,
    bool (*is_old)(const struct answer *answer))
{
    struct answer answer;
    char attempt[32];

    snprintf(attempt, sizeof(attempt), "%08x%08x", 0xa77e0000 + number,
             (unsigned)(uintptr_t)path);
    client_call(gate->front, method, path, attempt, 1000, "", "", 0, &answer);
    if (is_old(&answer)) {
        old_handled++;
    }
    record("client: %s %s attempt %s -> %d%s%s%s%s", method, path, attempt,
           answer.status, answer.sealed ? " sealed, " : " ",
           answer.sealed ? answer.body : "", answer.sealed ? "" : "own answer",
           is_old(&answer) ? "  <- as only the older version allows" : "");
}

static bool
ran_at_old_service(const struct answer *answer)
{
    return answer->sealed && strstr(answer->body, "of xano55b") != NULL;
}

static bool
is_served(const struct answer *answer)
{
    return answer->sealed;
}

static bool
is_not_found(const struct answer *answer)
{
    return answer->status == 404 && !answer->sealed;
}

static void
arrived(struct engine *engine, const char *attempt, const char *path)
{
    record("engine %s (%s): runs %s attempt %s", engine->id, engine->service,
           path, attempt);
}

int
main(int argc, char **argv)
{
    struct operation operation = {.version = 1};
    struct gate gate;
    struct link *link;
    struct engine *engine;
    int64_t begin_ms;
    int64_t acked_ms;
    int64_t from_ms;
    char *config;

    stand_init(argc, argv);
    store_start(stand_ip(1), 20000);
    link = link_start(stand_ip(1), store_address());
    config = make_config(&operation);
    record("operator: config of %zu bytes, %d routes", strlen(config),
           IDLE_ROUTES + 3);
    free(config);
    write_config(&operation);
    engine = engine_new("i-3df7fc1cdd", "xano55b", 15);
    engine->arrived = arrived;
    engine_start(engine, stand_ip(2));
    engine = engine_new("i-aace57a97e", "wuno96b", 15);
    engine->arrived = arrived;
    engine_start(engine, stand_ip(3));
    gate_configure(&gate, "front-pos-a-1", stand_ip(10), link->address, 520);
    gate_start(&gate);
    gate_wait_ready(&gate, 10000);
    pause_ms(CONTACT_MS + 500);
    begin_ms = now_ms();
    if (stand_trouble()) {
        record("link between the machine and the store: cut");
        atomic_store(&link->cut, true);
    }
    pause_ms(300);
    for (int storm = 0; storm < STORMS; storm++) {
        record("operator: %d changes, one each %d ms", STORM_CHANGES,
               STORM_GAP_MS);
        for (int i = 0; i < STORM_CHANGES; i++) {
            write_config(&operation);
            pause_ms(STORM_GAP_MS);
        }
    }
    operation.moved = true;
    acked_ms = write_config(&operation);
    record("operator: version %d acknowledged: /confirm/ moves to wuno96b, "
           "/dropped/ is dropped, /added/ is added",
           operation.version);
    pause_ms(begin_ms + CUT_MS - now_ms());
    if (stand_trouble()) {
        record("link between the machine and the store: healed");
        atomic_store(&link->cut, false);
    }
    from_ms = now_ms() + CONTACT_MS + 100;
    if (from_ms < acked_ms + CONFIG_APPLY_MS + 100) {
        from_ms = acked_ms + CONFIG_APPLY_MS + 100;
    }
    pause_ms(from_ms - now_ms());
    record("the machine is in touch; %lld ms since the acknowledgement",
           (long long)(now_ms() - acked_ms));
    for (int i = 0; now_ms() < from_ms + ASKED_MS; i++) {
        ask(&gate, i, "POST", "/confirm/1", ran_at_old_service);
        ask(&gate, i, "GET", "/added/1", is_not_found);
        ask(&gate, i, "GET", "/dropped/1", is_served);
        pause_ms(ASK_EACH_MS);
    }
    record("%d requests handled as only an older version allows", old_handled);
    stand_finish(old_handled > 0 ? 1 : 0);
}
