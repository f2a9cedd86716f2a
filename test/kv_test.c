/* Tests of the key-value store's client: memory adapter, etcd responses and
 * journal. */
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "cases.h"

/* Guards against overwriting a value that the writer has not read. */
struct cas_case {
    const char *name;
    bool exists;
    int64_t expected_offset;
    int fail_calls;
    int lose_responses;
    enum err_kind kind;
    const char *value;
};

static const struct cas_case cas_cases[] = {
    {"create", false, 0, 0, 0, ERR_NONE, "new"},
    {"create_present", true, -1, 0, 0, ERR_KV_CONFLICT, "old"},
    {"replace", true, 0, 0, 0, ERR_NONE, "new"},
    {"replace_changed", true, 7, 0, 0, ERR_KV_CONFLICT, "old"},
    {"replace_absent", false, 7, 0, 0, ERR_KV_CONFLICT, NULL},
    {"down", true, 0, 1, 0, ERR_KV_DOWN, "old"},
    {"response_lost", true, 0, 0, 1, ERR_KV_DOWN, "new"},
};

static void
test_cas(gconstpointer data)
{
    const struct cas_case *c = data;
    struct kv_memory memory;
    struct kv_entry entry;
    struct err err = {0};
    int64_t revision = 0;

    kv_memory_init(&memory);
    if (c->exists) {
        g_assert_true(kv_cas(&memory.kv, "k", 0, "old", 3, &revision, &err));
    }
    memory.fail_calls = c->fail_calls;
    memory.lose_responses = c->lose_responses;
    kv_cas(&memory.kv, "k", revision + c->expected_offset, "new", 3, NULL,
           &err);
    g_assert_cmpint(err.kind, ==, c->kind);
    g_assert_true(kv_get(&memory.kv, "k", &entry, NULL));
    g_assert_cmpstr(entry.value, ==, c->value);
    kv_entry_free(&entry);
    kv_memory_free(&memory);
}

/* Guards against accepting a key, value or range that the store can't take. */
static void
test_lengths(void)
{
    struct kv_memory memory;
    struct kv_entries entries;
    struct err err = {0};
    char key[KV_KEY_MAX_BYTES + 1];
    char *value = g_malloc0(KV_VALUE_MAX_BYTES + 1);

    kv_memory_init(&memory);
    memset(key, 'k', sizeof(key) - 1);
    key[KV_KEY_MAX_BYTES] = '\0';
    g_assert_false(kv_cas(&memory.kv, key, 0, "v", 1, NULL, &err));
    g_assert_cmpint(err.kind, ==, ERR_BAD_REQUEST);
    g_assert_false(kv_cas(&memory.kv, "", 0, "v", 1, NULL, &err));
    key[KV_KEY_MAX_BYTES - 1] = '\0';
    g_assert_true(kv_cas(&memory.kv, key, 0, "v", 1, NULL, &err));
    g_assert_false(
        kv_cas(&memory.kv, "v", 0, value, KV_VALUE_MAX_BYTES + 1, NULL, &err));
    g_assert_true(
        kv_cas(&memory.kv, "v", 0, value, KV_VALUE_MAX_BYTES, NULL, &err));
    g_assert_false(kv_range(&memory.kv, "b", "a", 1, &entries, &err));
    g_assert_cmpint(memory.writes, ==, 2);
    g_free(value);
    kv_memory_free(&memory);
}

/* Guards against a range read that loses keys or doesn't report that the limit
 * was reached. */
static void
test_range(void)
{
    struct kv_memory memory;
    struct kv_entries entries;
    const char *keys[] = {"p/3", "p/1", "q/1", "p/2", "o/9"};

    kv_memory_init(&memory);
    for (size_t i = 0; i < G_N_ELEMENTS(keys); i++) {
        g_assert_true(kv_cas(&memory.kv, keys[i], 0, "v", 1, NULL, NULL));
    }
    g_assert_true(kv_range(&memory.kv, "p/", "p0", 2, &entries, NULL));
    g_assert_cmpint(entries.count, ==, 2);
    g_assert_true(entries.more);
    g_assert_cmpstr(entries.items[0].key, ==, "p/1");
    kv_entries_free(&entries);
    g_assert_true(kv_remove(&memory.kv, "p/1", "p/3", NULL));
    g_assert_true(kv_range(&memory.kv, "p/", "p0", 2, &entries, NULL));
    g_assert_cmpint(entries.count, ==, 1);
    g_assert_false(entries.more);
    g_assert_cmpstr(entries.items[0].key, ==, "p/3");
    kv_entries_free(&entries);
    kv_memory_free(&memory);
}

/* Guards against calls and failures that aren't counted, and conflicts that
 * are counted as failures. */
static void
test_counters(void)
{
    struct kv_memory memory;
    struct kv_entry entry;
    uint64_t calls = counter_read(CTR_KV_CALLS);
    uint64_t failed = counter_read(CTR_KV_FAILED);

    kv_memory_init(&memory);
    g_assert_true(kv_cas(&memory.kv, "k", 0, "v", 1, NULL, NULL));
    g_assert_false(kv_cas(&memory.kv, "k", 0, "v", 1, NULL, NULL));
    memory.fail_calls = 1;
    g_assert_false(kv_get(&memory.kv, "k", &entry, NULL));
    g_assert_cmpuint(counter_read(CTR_KV_CALLS) - calls, ==, 3);
    g_assert_cmpuint(counter_read(CTR_KV_FAILED) - failed, ==, 1);
    kv_memory_free(&memory);
}

/* Guards against two writers that are both told that they appended an entry,
 * and against a writer that doesn't recognise its own entry. */
struct append_case {
    const char *name;
    const char *existing;
    int fail_calls;
    int lose_responses;
    enum journal_append_result result;
    enum journal_append_result repeat_result;
    int64_t next_number;
};

static const struct append_case append_cases[] = {
    {"absent", NULL, 0, 0, JOURNAL_APPENDED, JOURNAL_APPENDED, 3},
    {"other_entry_exists", "other", 0, 0, JOURNAL_CONFLICT, JOURNAL_CONFLICT,
     1},
    {"response_lost", NULL, 0, 1, JOURNAL_APPENDED, JOURNAL_APPENDED, 3},
    {"own_entry_exists", "mine", 0, 0, JOURNAL_APPENDED, JOURNAL_APPENDED, 3},
    {"write_lost", NULL, 1, 0, JOURNAL_IN_DOUBT, JOURNAL_APPENDED, 2},
    {"down", NULL, 2, 0, JOURNAL_IN_DOUBT, JOURNAL_APPENDED, 2},
    {"down_other_entry_exists", "other", 2, 0, JOURNAL_IN_DOUBT,
     JOURNAL_CONFLICT, 1},
    {"response_lost_then_down", "mine", 2, 0, JOURNAL_IN_DOUBT,
     JOURNAL_APPENDED, 2},
};

static void
test_append(gconstpointer data)
{
    const struct append_case *c = data;
    struct kv_memory memory;
    struct journal journal;
    struct err err = {0};

    kv_memory_init(&memory);
    journal_init(&journal, &memory.kv, "j");
    if (c->existing != NULL) {
        g_assert_true(kv_cas(&memory.kv, "j/000000000001", 0, c->existing,
                             strlen(c->existing), NULL, NULL));
    }
    memory.fail_calls = c->fail_calls;
    memory.lose_responses = c->lose_responses;
    g_assert_cmpint(journal_append(&journal, "mine", 4, &err), ==, c->result);
    g_assert_cmpint(err.kind == ERR_NONE, ==, c->result == JOURNAL_APPENDED);
    g_assert_cmpint(journal_append(&journal, "mine", 4, NULL), ==,
                    c->repeat_result);
    g_assert_cmpint(journal.next_number, ==, c->next_number);
    kv_memory_free(&memory);
}

/* Guards against a reader that silently skips removed entries. */
struct read_case {
    const char *name;
    const char *numbers;
    int first_count;
    enum err_kind first_kind;
    enum err_kind second_kind;
    int64_t next_number;
};

static const struct read_case read_cases[] = {
    {"empty", "", 0, ERR_NONE, ERR_NONE, 1},
    {"in_order", "123", 3, ERR_NONE, ERR_NONE, 4},
    {"removed_first", "23", 0, ERR_NOT_FOUND, ERR_NOT_FOUND, 1},
    {"removed_middle", "124", 2, ERR_NONE, ERR_NOT_FOUND, 3},
    {"cut_by_limit", "12345", 4, ERR_NONE, ERR_NONE, 6},
};

static void
test_read(gconstpointer data)
{
    const struct read_case *c = data;
    struct kv_memory memory;
    struct journal journal;
    struct kv_entries entries;
    struct err err = {0};

    kv_memory_init(&memory);
    journal_init(&journal, &memory.kv, "j");
    for (const char *number = c->numbers; *number != '\0'; number++) {
        char key[32];

        snprintf(key, sizeof(key), "j/%012d", *number - '0');
        g_assert_true(kv_cas(&memory.kv, key, 0, number, 1, NULL, NULL));
    }
    journal_read(&journal, 4, &entries, &err);
    g_assert_cmpint(err.kind, ==, c->first_kind);
    g_assert_cmpint(entries.count, ==, c->first_count);
    kv_entries_free(&entries);
    err_clear(&err);
    journal_read(&journal, 4, &entries, &err);
    g_assert_cmpint(err.kind, ==, c->second_kind);
    g_assert_cmpint(journal.next_number, ==, c->next_number);
    kv_entries_free(&entries);
    kv_memory_free(&memory);
}

/* Guards against a damaged response that counts as success, that counts as a
 * definite failure of a write, or that crashes the process. The server sends
 * one fixed response and closes the connection. */
/* Stands for status 200 with a connection that closes one byte too early. */
enum { STATUS_CLOSED_EARLY = 1 };

enum etcd_call { CALL_GET, CALL_RANGE, CALL_CAS, CALL_REMOVE };

struct etcd_case {
    const char *name;
    enum etcd_call call;
    unsigned int status;
    const char *response;
    enum err_kind kind;
    const char *value;
};

/* "aw==" is "k", "bA==" is "l", "dg==" is "v", "eg==" is "z". */
static const struct etcd_case etcd_cases[] = {
    {"get", CALL_GET, 200,
     "{\"header\":{\"revision\":\"9\"},\"kvs\":[{\"key\":\"aw==\","
     "\"mod_revision\":\"5\",\"value\":\"dg==\"}],\"count\":\"1\"}",
     ERR_NONE, "v"},
    {"get_empty_value", CALL_GET, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"aw==\",\"mod_revision\":\"5\"}]}",
     ERR_NONE, ""},
    {"get_absent", CALL_GET, 200, "{\"header\":{}}", ERR_NONE, NULL},
    {"get_other_key", CALL_GET, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"bA==\",\"mod_revision\":\"5\"}]}",
     ERR_KV_DOWN, NULL},
    {"get_bad_base64", CALL_GET, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"aw==\",\"mod_revision\":\"5\","
     "\"value\":\"d*==\"}]}",
     ERR_KV_DOWN, NULL},
    {"get_bad_revision", CALL_GET, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"aw==\",\"mod_revision\":\"x\"}]}",
     ERR_KV_DOWN, NULL},
    {"get_no_revision", CALL_GET, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"aw==\",\"value\":\"dg==\"}]}",
     ERR_KV_DOWN, NULL},
    {"get_kvs_not_a_list", CALL_GET, 200, "{\"header\":{},\"kvs\":7}",
     ERR_KV_DOWN, NULL},
    {"get_kvs_of_null", CALL_GET, 200, "{\"header\":{},\"kvs\":[null]}",
     ERR_KV_DOWN, NULL},
    {"range_out_of_order", CALL_RANGE, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"bA==\",\"mod_revision\":\"5\"},"
     "{\"key\":\"aw==\",\"mod_revision\":\"6\"}]}",
     ERR_KV_DOWN, NULL},
    {"range_too_many", CALL_RANGE, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"aw==\",\"mod_revision\":\"5\"},"
     "{\"key\":\"azE=\",\"mod_revision\":\"5\"},"
     "{\"key\":\"azI=\",\"mod_revision\":\"5\"},"
     "{\"key\":\"bA==\",\"mod_revision\":\"5\"}]}",
     ERR_KV_DOWN, NULL},
    {"range_out_of_bounds", CALL_RANGE, 200,
     "{\"header\":{},\"kvs\":[{\"key\":\"eg==\",\"mod_revision\":\"5\"}]}",
     ERR_KV_DOWN, NULL},
    {"cas", CALL_CAS, 200,
     "{\"header\":{\"revision\":\"9\"},\"succeeded\":true}", ERR_NONE, NULL},
    {"cas_conflict", CALL_CAS, 200, "{\"header\":{\"revision\":\"9\"}}",
     ERR_KV_CONFLICT, NULL},
    {"cas_conflict_explicit", CALL_CAS, 200,
     "{\"header\":{\"revision\":\"9\"},\"succeeded\":false}", ERR_KV_CONFLICT,
     NULL},
    {"cas_succeeded_not_boolean", CALL_CAS, 200,
     "{\"header\":{},\"succeeded\":\"yes\"}", ERR_KV_DOWN, NULL},
    {"cas_no_header", CALL_CAS, 200, "{}", ERR_KV_DOWN, NULL},
    {"cas_header_not_object", CALL_CAS, 200,
     "{\"header\":7,\"succeeded\":false}", ERR_KV_DOWN, NULL},
    {"cas_truncated_json", CALL_CAS, 200,
     "{\"header\":{\"revision\":\"9\"},\"succ", ERR_KV_DOWN, NULL},
    {"cas_closed_early", CALL_CAS, STATUS_CLOSED_EARLY,
     "{\"header\":{\"revision\":\"9\"},\"succeeded\":true}", ERR_KV_DOWN,
     NULL},
    {"cas_empty", CALL_CAS, 200, "", ERR_KV_DOWN, NULL},
    {"cas_not_json", CALL_CAS, 200, "<html>", ERR_KV_DOWN, NULL},
    {"cas_list", CALL_CAS, 200, "[]", ERR_KV_DOWN, NULL},
    {"cas_status", CALL_CAS, 503, "{\"header\":{},\"succeeded\":true}",
     ERR_KV_DOWN, NULL},
    {"remove", CALL_REMOVE, 200, "{\"header\":{},\"deleted\":\"2\"}", ERR_NONE,
     NULL},
    {"remove_status", CALL_REMOVE, 500, "{\"header\":{}}", ERR_KV_DOWN, NULL},
};

/* HTTP server that reads one request and sends the response of the case. */
struct canned_server {
    const struct etcd_case *response;
    int listener;
};

static void
read_request(int connection)
{
    char request[4096] = "";
    size_t used = 0;
    const char *body = NULL;
    size_t body_bytes = 0;

    while (body == NULL || used < (size_t)(body - request) + body_bytes) {
        ssize_t count =
            read(connection, request + used, sizeof(request) - 1 - used);

        g_assert_cmpint(count, >, 0);
        used += (size_t)count;
        request[used] = '\0';
        body = strstr(request, "\r\n\r\n");
        if (body != NULL) {
            const char *field = strcasestr(request, "content-length:");

            g_assert_nonnull(field);
            body_bytes = strtoul(field + strlen("content-length:"), NULL, 10);
            body += 4;
        }
    }
}

static void *
serve_once(void *argument)
{
    struct canned_server *server = argument;
    const struct etcd_case *c = server->response;
    int connection = accept(server->listener, NULL, NULL);
    char *response = g_strdup_printf(
        "HTTP/1.1 %u X\r\nContent-Length: %zu\r\n\r\n%s",
        c->status == STATUS_CLOSED_EARLY ? 200 : c->status,
        strlen(c->response) + (c->status == STATUS_CLOSED_EARLY ? 1 : 0),
        c->response);

    read_request(connection);
    g_assert_cmpint(write(connection, response, strlen(response)), ==,
                    strlen(response));
    close(connection);
    g_free(response);
    return NULL;
}

/* Listens on a port chosen by the kernel and returns it. */
static int
listen_on_free_port(struct canned_server *server)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    socklen_t bytes = sizeof(address);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(
        bind(server->listener, (struct sockaddr *)&address, sizeof(address)),
        ==, 0);
    g_assert_cmpint(listen(server->listener, 4), ==, 0);
    getsockname(server->listener, (struct sockaddr *)&address, &bytes);
    return ntohs(address.sin_port);
}

static void
call_etcd(struct kv *kv, enum etcd_call call, struct kv_entry *entry,
          struct err *err)
{
    struct kv_entries entries = {0};

    switch (call) {
    case CALL_GET:
        kv_get(kv, "k", entry, err);
        break;
    case CALL_RANGE:
        kv_range(kv, "k", "m", 3, &entries, err);
        kv_entries_free(&entries);
        break;
    case CALL_CAS:
        kv_cas(kv, "k", 0, "v", 1, NULL, err);
        break;
    case CALL_REMOVE:
        kv_remove(kv, "k", "m", err);
        break;
    }
}

static void
test_etcd(gconstpointer data)
{
    const struct etcd_case *c = data;
    struct canned_server server = {.response = c};
    struct kv_etcd etcd;
    struct kv_entry entry = {0};
    struct err err = {0};
    char url[ADDRESS_MAX_BYTES];
    pthread_t thread;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d",
             listen_on_free_port(&server));
    pthread_create(&thread, NULL, serve_once, &server);
    kv_etcd_init(&etcd, url, 30000);
    call_etcd(&etcd.kv, c->call, &entry, &err);
    g_assert_cmpint(err.kind, ==, c->kind);
    if (c->call == CALL_GET) {
        g_assert_cmpstr(entry.value, ==, c->value);
    }
    kv_entry_free(&entry);
    pthread_join(thread, NULL);
    close(server.listener);
}

enum {
    /* More than the longest response and the buffers of the sockets. */
    ENDLESS_MAX_BYTES = 160 * 1024 * 1024,
};

/**
 * struct endless_server - HTTP server whose response goes on
 * @sent_bytes: bytes written until the client closed the connection
 */
struct endless_server {
    struct canned_server base;
    size_t sent_bytes;
};

static void *
serve_endless(void *argument)
{
    static const char head[] = "HTTP/1.1 200 X\r\n\r\n{\"header\":\"";
    static char block[64 * 1024];
    struct endless_server *server = argument;
    int connection = accept(server->base.listener, NULL, NULL);
    ssize_t count = 1;

    memset(block, 'x', sizeof(block));
    read_request(connection);
    send(connection, head, strlen(head), MSG_NOSIGNAL);
    while (server->sent_bytes < ENDLESS_MAX_BYTES && count > 0) {
        count = send(connection, block, sizeof(block), MSG_NOSIGNAL);
        server->sent_bytes += count > 0 ? (size_t)count : 0;
    }
    close(connection);
    return NULL;
}

/* Guards against a response that goes on until it has taken all memory. */
static void
test_endless(void)
{
    struct endless_server server = {.sent_bytes = 0};
    struct kv_etcd etcd;
    struct kv_entry entry = {0};
    struct err err = {0};
    char url[ADDRESS_MAX_BYTES];
    pthread_t thread;

    snprintf(url, sizeof(url), "http://127.0.0.1:%d",
             listen_on_free_port(&server.base));
    pthread_create(&thread, NULL, serve_endless, &server);
    kv_etcd_init(&etcd, url, 30000);
    g_assert_false(kv_get(&etcd.kv, "k", &entry, &err));
    g_assert_cmpint(err.kind, ==, ERR_KV_DOWN);
    pthread_join(thread, NULL);
    g_assert_cmpuint(server.sent_bytes, <, ENDLESS_MAX_BYTES);
    close(server.base.listener);
}

static const struct cases groups[] = {
    CASES("/kv/cas", cas_cases, test_cas),
    CASES("/kv/append", append_cases, test_append),
    CASES("/kv/read", read_cases, test_read),
    CASES("/kv/etcd", etcd_cases, test_etcd),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/kv/lengths", test_lengths);
    g_test_add_func("/kv/range", test_range);
    g_test_add_func("/kv/counters", test_counters);
    g_test_add_func("/kv/endless", test_endless);
    return g_test_run();
}
