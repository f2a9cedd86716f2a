/* An engine's answers have no length and end with their connection. One in
 * fifty is followed by a second answer. The client gets both as one success.
 * With TROUBLE=0 no second answer follows. */
#include "stand3.h"

#include <stdlib.h>
#include <string.h>

enum { REQUESTS = 200, SPOIL_EACH = 50, BODY_DEFAULT_BYTES = 150 * 1000 };

static struct engine engines[2];
static struct gate gate;
static size_t body_bytes = BODY_DEFAULT_BYTES;
static char *body;

/* Half of the engines spoil answers: the one that gets the first request. */
static struct engine *spoiler;

static bool
answer_without_length(struct engine *engine, struct wire *wire,
                      const struct message *request, int number)
{
    bool trouble = g_strcmp0(g_getenv("TROUBLE"), "0") != 0;
    bool spoils;
    char *head = g_strdup_printf("HTTP/1.1 200 OK\r\n"
                                 "Attempt-Id: %s\r\n"
                                 "Server-Seal: seal.%s\r\n"
                                 "Content-Type: application/octet-stream\r\n"
                                 "Connection: close\r\n\r\n",
                                 message_field(request, "Attempt-Id"),
                                 engine->id);

    if (spoiler == NULL) {
        spoiler = engine;
    }
    spoils = trouble && engine == spoiler && number % SPOIL_EACH == 0;
    for (int i = 0; i < (spoils ? 2 : 1); i++) {
        if (!wire_write(wire, head, strlen(head)) ||
            !wire_write(wire, body, body_bytes)) {
            break;
        }
    }
    if (spoils) {
        record("spoilt   %s at %s: a second answer follows the first",
               message_field(request, "Attempt-Id"), engine->id);
    }
    g_free(head);
    return false;
}

int
main(int argc, char **argv)
{
    const char *size = g_getenv("BODY_BYTES");
    int store_port;
    int wrong = 0;

    if (argc != 3) {
        return 2;
    }
    if (size != NULL) {
        body_bytes = strtoul(size, NULL, 10);
    }
    body = g_malloc(body_bytes);
    memset(body, 'r', body_bytes);
    record_open(argv[1]);
    store_port = free_port("127.0.0.1");
    store_start("127.0.0.1", store_port);
    store_put("op/config",
              "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,"
              "\"max_body_bytes\":1048576,\"header_timeout_ms\":3000,"
              "\"idle_timeout_ms\":15000},"
              "\"services\":[{\"name\":\"ovenbook\",\"max_conns\":110}],"
              "\"routes\":[{\"name\":\"reels\",\"host\":\"a.example\","
              "\"path_prefix\":\"/reels/\",\"service\":\"ovenbook\","
              "\"kind\":\"idempotent\",\"timeout_ms\":1000,"
              "\"latency_goal_ms\":100,\"priority\":1,\"max_attempts\":2}]}");
    for (int i = 0; i < 2; i++) {
        char *id = g_strdup_printf("i-reel%d", i + 1);

        engines[i].answer = answer_without_length;
        engine_start(&engines[i], id, "ovenbook", "127.31.13.9");
        g_free(id);
    }
    gate_start(&gate, argv[2], "127.31.13.1", store_port, "");
    if (!gate_is_ready(&gate, 15000)) {
        record("the machine does not become ready");
        return 2;
    }
    for (int i = 0; i < REQUESTS; i++) {
        char *id = new_attempt_id();
        GByteArray *got = g_byte_array_new();
        int status = ask(&gate, "GET", "/reels/1", "", id, got);

        if (status == 200 && (got->len != body_bytes ||
                              memcmp(got->data, body, body_bytes) != 0)) {
            wrong++;
            record("wrong    %s: success with %u bytes, the engine's body has "
                   "%zu",
                   id, got->len, body_bytes);
        }
        g_byte_array_free(got, TRUE);
        g_free(id);
        sleep_ms(20);
    }
    record("result   %d of %d successes are not the engine's whole body: MIXED "
           "is %s",
           wrong, REQUESTS, wrong > 0 ? "broken" : "kept");
    gate_stop(&gate);
    return wrong > 0 ? 1 : 0;
}
