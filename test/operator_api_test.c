/* Tests of the operator API over loopback, with a fake instance. */
#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/fns.h"
#include "turmericd/serve/operator/internal.h"
#include "cases.h"
#include "support.h"

#define TOKEN "s3cret-token"

static char *directory;

/**
 * struct fake_instance - port of the rest of an instance
 * @port: first member
 * @ready: there is a tree
 * @refusal: error that refuses edits; ERR_NONE accepts them
 * @edits: number of edits that reached the port
 * @last_id: id of the last edit
 * @history_after: revision of the last request for the history
 * @history_limit: limit of that request
 */
struct fake_instance {
    struct operator_api_port port;
    bool ready;
    enum err_kind refusal;
    int edits;
    char last_id[EDIT_ID_MAX_BYTES];
    int64_t history_after;
    int history_limit;
};

static struct tree *
fake_tree(struct operator_api_port *port)
{
    static const char text[] =
        "{\"revision\":7,\"nodes\":{\"/\":{\"type\":\"root\"},\"/om\":{"
        "\"type\":\"service\",\"priority\":3}}}";

    return ((struct fake_instance *)port)->ready
               ? tree_parse(text, sizeof(text) - 1, NULL)
               : NULL;
}

static void
fake_state(struct operator_api_port *port, struct config_state *state)
{
    (void)port;
    *state = (struct config_state){7, true, 120, false, false};
}

static bool
fake_edit(struct operator_api_port *port, const struct edit *edit,
          int64_t *revision, struct err *err)
{
    struct fake_instance *fake = (struct fake_instance *)port;

    fake->edits++;
    g_strlcpy(fake->last_id, edit->id, sizeof(fake->last_id));
    if (fake->refusal != ERR_NONE) {
        return err_set(err, fake->refusal, "refused by the fake");
    }
    *revision = 8;
    return true;
}

static char *
fake_history(struct operator_api_port *port, int64_t after, int limit,
             struct err *err)
{
    struct fake_instance *fake = (struct fake_instance *)port;

    (void)err;
    fake->history_after = after;
    fake->history_limit = limit;
    return strdup("[{\"revision\":7}]");
}

static int
fake_members(struct operator_api_port *port, struct member_info *infos,
             int max)
{
    (void)port;
    g_assert_cmpint(max, >=, 2);
    infos[0] = (struct member_info){.name = "entry-1",
                                    .data_centre = "kov",
                                    .state = MEMBER_ALIVE,
                                    .revision = 5};
    infos[1] = (struct member_info){.name = "entry-2",
                                    .data_centre = "nem",
                                    .state = MEMBER_SUSPECT,
                                    .revision = 6};
    return 2;
}

static char *
fake_status(struct operator_api_port *port)
{
    (void)port;
    return strdup("{\"calls_open\":4}");
}

static const struct operator_api_port_ops fake_ops = {
    fake_tree, fake_state, fake_edit, fake_history, fake_members, fake_status};

/* Guards against an API without protection: a token file that is missing,
 * empty or accessible to others. */
struct token_case {
    const char *name;
    const char *text;
    int mode;
    bool accepted;
    const char *detail;
};

static const struct token_case token_cases[] = {
    {"good", TOKEN, 0600, true, NULL},
    {"newline", TOKEN "\n", 0400, true, NULL},
    {"missing", NULL, 0, false, "No such file"},
    {"empty", "", 0600, false, "empty"},
    {"only_blanks", " \n\n", 0600, false, "empty"},
    {"blank_inside", "a b", 0600, false, "printable"},
    {"group_reads", TOKEN, 0640, false, "mode 640"},
    {"others_read", TOKEN, 0604, false, "mode 604"},
    {"others_write", TOKEN, 0602, false, "mode 602"},
};

static void
test_token_file(gconstpointer data)
{
    const struct token_case *c = data;
    struct fake_instance fake = {.port = {&fake_ops}};
    struct operator_api_settings settings = {.address = "127.0.0.1:0"};
    struct err err = {0};
    char *path = test_write_file(directory, "token",
                                 c->text == NULL ? "" : c->text, c->mode);
    struct operator_api *api;

    if (c->text == NULL) {
        g_unlink(path);
    }
    g_strlcpy(settings.token_file, path, sizeof(settings.token_file));
    api = operator_api_new(&settings, &fake.port, &err);
    g_assert_true((api != NULL) == c->accepted);
    if (!c->accepted) {
        g_assert_cmpint(err.kind, ==, ERR_SETTINGS);
        g_assert_nonnull(strstr(err.text, c->detail));
    }
    operator_api_free(api);
    g_free(path);
}

/* Guards against a wrong token that is accepted. */
struct token_match_case {
    const char *name;
    const char *authorization;
    bool matches;
};

static const struct token_match_case token_match_cases[] = {
    {"right", "Bearer " TOKEN, true},
    {"scheme_in_lower_case", "bearer " TOKEN, true},
    {"none", NULL, false},
    {"empty", "", false},
    {"only_scheme", "Bearer ", false},
    {"no_scheme", TOKEN, false},
    {"other_scheme", "Basic " TOKEN, false},
    {"prefix", "Bearer s3cret", false},
    {"longer", "Bearer " TOKEN "x", false},
    {"last_byte", "Bearer s3cret-tokem", false},
    {"first_byte", "Bearer x3cret-token", false},
    {"upper_case", "Bearer S3CRET-TOKEN", false},
};

static void
test_token_matches(gconstpointer data)
{
    const struct token_match_case *c = data;

    g_assert_true(operator_token_matches(TOKEN, c->authorization) ==
                  c->matches);
}

/* An operator API that runs in a thread. */
struct fixture {
    struct fake_instance fake;
    struct operator_api *api;
    pthread_t thread;
};

static void
start_api(struct fixture *fixture)
{
    struct operator_api_settings settings = {.address = "127.0.0.1:0",
                                             .name = "entry-1"};
    char *path = test_write_file(directory, "token", TOKEN, 0600);

    g_strlcpy(settings.token_file, path, sizeof(settings.token_file));
    g_free(path);
    fixture->fake.port.ops = &fake_ops;
    fixture->api = operator_api_new(&settings, &fixture->fake.port, NULL);
    g_assert_nonnull(fixture->api);
    test_duty_start(operator_api_duty(fixture->api), &fixture->thread);
}

static void
stop_api(struct fixture *fixture)
{
    test_duty_stop(operator_api_duty(fixture->api), fixture->thread);
    operator_api_free(fixture->api);
}

#define GOOD_EDIT                                                             \
    "{\"id\":\"e1\",\"author\":\"mira\",\"base_revision\":7,\"changes\":[{"   \
    "\"node\":\"/om\",\"key\":\"priority\",\"value\":4}]}"
#define AUTHORIZED "Bearer " TOKEN

/* Guards against a request that gets a wrong response, or one without the
 * token that is not refused. */
struct request_case {
    const char *name;
    const char *method;
    const char *path;
    const char *authorization;
    const char *body;
    size_t padding;
    enum err_kind refusal;
    bool not_ready;
    long status;
    const char *contains;
    const char *outcome;
    int edits;
};

static const struct request_case request_cases[] = {
    {.name = "tree",
     .path = "/operator/v1/tree",
     .status = 200,
     .contains = "\"/om\":{\"type\":\"service\",\"priority\":3}"},
    {.name = "tree_not_ready",
     .path = "/operator/v1/tree",
     .not_ready = true,
     .status = 503,
     .contains = "urn:turmericstall:refusal:not_ready",
     .outcome = "not_run"},
    {.name = "no_token",
     .path = "/operator/v1/tree",
     .authorization = "",
     .status = 401,
     .contains = "urn:turmericstall:refusal:unauthorized",
     .outcome = "not_run"},
    {.name = "wrong_token",
     .path = "/operator/v1/status",
     .authorization = "Bearer wrong",
     .status = 401,
     .contains = "unauthorized",
     .outcome = "not_run"},
    {.name = "counters_need_token",
     .path = "/operator/v1/counters",
     .authorization = "",
     .status = 401,
     .contains = "unauthorized",
     .outcome = "not_run"},
    {.name = "edit_without_token",
     .method = "POST",
     .path = "/operator/v1/edits",
     .authorization = "",
     .body = GOOD_EDIT,
     .status = 401,
     .contains = "unauthorized",
     .outcome = "not_run"},
    {.name = "unknown_path_without_token",
     .path = "/operator/v1/none",
     .authorization = "",
     .status = 401,
     .contains = "unauthorized",
     .outcome = "not_run"},
    {.name = "unknown_path",
     .path = "/operator/v1/none",
     .status = 404,
     .contains = "urn:turmericstall:refusal:not_found",
     .outcome = "not_run"},
    {.name = "root_path",
     .path = "/",
     .status = 404,
     .contains = "not_found",
     .outcome = "not_run"},
    {.name = "wrong_method",
     .method = "DELETE",
     .path = "/operator/v1/tree",
     .status = 404,
     .contains = "not_found",
     .outcome = "not_run"},
    {.name = "effective",
     .path = "/operator/v1/effective?node=/om",
     .status = 200,
     .contains = "{\"key\":\"priority\",\"value\":3,\"source\":\"/om\"}"},
    {.name = "effective_default",
     .path = "/operator/v1/effective?node=%2Fom",
     .status = 200,
     .contains =
         "{\"key\":\"queue_max\",\"value\":256,\"source\":\"default\"}"},
    {.name = "effective_no_node",
     .path = "/operator/v1/effective",
     .status = 400,
     .contains = "urn:turmericstall:refusal:bad_request",
     .outcome = "not_run"},
    {.name = "effective_unknown",
     .path = "/operator/v1/effective?node=/none",
     .status = 404,
     .contains = "not_found",
     .outcome = "not_run"},
    {.name = "edit",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = GOOD_EDIT,
     .status = 200,
     .contains = "\"revision\":8",
     .edits = 1},
    {.name = "edit_conflict",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = GOOD_EDIT,
     .refusal = ERR_EDIT_CONFLICT,
     .status = 409,
     .contains = "urn:turmericstall:refusal:edit_conflict",
     .outcome = "not_run",
     .edits = 1},
    {.name = "edit_outcome_unknown",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = GOOD_EDIT,
     .refusal = ERR_KV_DOWN,
     .status = 503,
     .contains = "urn:turmericstall:refusal:kv_down",
     .outcome = "unknown",
     .edits = 1},
    {.name = "edit_no_body",
     .method = "POST",
     .path = "/operator/v1/edits",
     .status = 400,
     .contains = "urn:turmericstall:refusal:bad_json",
     .outcome = "not_run"},
    {.name = "edit_truncated",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = "{\"id\":\"e1\",\"changes\":[",
     .status = 400,
     .contains = "bad_json",
     .outcome = "not_run"},
    {.name = "edit_not_json",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = "priority=4",
     .status = 400,
     .contains = "bad_json",
     .outcome = "not_run"},
    {.name = "edit_array",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = "[" GOOD_EDIT "]",
     .status = 400,
     .contains = "bad_json",
     .outcome = "not_run"},
    {.name = "edit_no_author",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = "{\"id\":\"e1\",\"base_revision\":7,\"changes\":[{\"node\":\"/\","
             "\"key\":\"priority\",\"value\":4}]}",
     .status = 422,
     .contains = "urn:turmericstall:refusal:edit_invalid",
     .outcome = "not_run"},
    {.name = "edit_at_limit",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = GOOD_EDIT,
     .padding = OPERATOR_BODY_MAX_BYTES,
     .status = 200,
     .contains = "\"revision\":8",
     .edits = 1},
    {.name = "edit_oversized",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = GOOD_EDIT,
     .padding = OPERATOR_BODY_MAX_BYTES + 1,
     .status = 413,
     .contains = "urn:turmericstall:refusal:body_too_large",
     .outcome = "not_run"},
    {.name = "edit_far_oversized",
     .method = "POST",
     .path = "/operator/v1/edits",
     .body = GOOD_EDIT,
     .padding = 8 * 1024 * 1024,
     .status = 413,
     .contains = "body_too_large",
     .outcome = "not_run"},
    {.name = "history",
     .path = "/operator/v1/history?after=5&limit=9",
     .status = 200,
     .contains = "[{\"revision\":7}]"},
    {.name = "history_negative",
     .path = "/operator/v1/history?after=-1",
     .status = 400,
     .contains = "bad_request",
     .outcome = "not_run"},
    {.name = "history_text",
     .path = "/operator/v1/history?after=5x",
     .status = 400,
     .contains = "bad_request",
     .outcome = "not_run"},
    {.name = "history_huge",
     .path = "/operator/v1/history?after=99999999999999999999",
     .status = 400,
     .contains = "bad_request",
     .outcome = "not_run"},
    {.name = "status_self",
     .path = "/operator/v1/status",
     .status = 200,
     .contains = "{\"name\":\"entry-1\",\"data_centre\":\"kov\",\"state\":"
                 "\"alive\",\"revision\":7}"},
    {.name = "status_other",
     .path = "/operator/v1/status",
     .status = 200,
     .contains = "{\"name\":\"entry-2\",\"data_centre\":\"nem\",\"state\":"
                 "\"suspect\",\"revision\":6}"},
    {.name = "status_detail",
     .path = "/operator/v1/status",
     .status = 200,
     .contains = "\"detail\":{\"calls_open\":4}"},
    {.name = "counters",
     .path = "/operator/v1/counters",
     .status = 200,
     .contains = "\nrefused_total{reason=\"edit_conflict\"} "},
};

/* Pads the body with leading blanks to the case's length. */
static char *
padded_body(const struct request_case *c)
{
    size_t bytes = c->body == NULL ? 0 : strlen(c->body);
    size_t blanks = c->padding > bytes ? c->padding - bytes : 0;
    char *text = g_malloc(blanks + bytes + 1);

    memset(text, ' ', blanks);
    memcpy(text + blanks, c->body == NULL ? "" : c->body, bytes + 1);
    return text;
}

static void
make_request(const struct request_case *c, int port,
             struct _u_request *request)
{
    char *url = g_strdup_printf("http://127.0.0.1:%d%s", port, c->path);
    const char *authorization =
        c->authorization == NULL ? AUTHORIZED : c->authorization;
    char *body = padded_body(c);

    ulfius_init_request(request);
    ulfius_set_request_properties(
        request, U_OPT_HTTP_VERB, c->method == NULL ? "GET" : c->method,
        U_OPT_HTTP_URL, url, U_OPT_TIMEOUT, 60UL, U_OPT_NONE);
    if (authorization[0] != '\0') {
        u_map_put(request->map_header, "Authorization", authorization);
    }
    if (c->body != NULL) {
        ulfius_set_binary_body_request(request, body, strlen(body));
    }
    g_free(body);
    g_free(url);
}

static void
check_problem(const char *text, const struct request_case *c)
{
    static const char *const required[] = {
        "type", "title", "status", "detail", "counter", "outcome", "remedy"};
    struct json_object *json = json_tokener_parse(text);

    for (size_t i = 0; i < G_N_ELEMENTS(required); i++) {
        g_assert_nonnull(json_object_object_get(json, required[i]));
    }
    g_assert_cmpint(
        json_object_get_int(json_object_object_get(json, "status")), ==,
        c->status);
    g_assert_cmpstr(
        json_object_get_string(json_object_object_get(json, "outcome")), ==,
        c->outcome);
    json_object_put(json);
}

static void
check_response(const struct request_case *c, struct _u_response *response)
{
    char *text =
        g_strndup(response->binary_body, response->binary_body_length);
    const char *type = u_map_get_case(response->map_header, "Content-Type");

    g_assert_cmpint(response->status, ==, c->status);
    if (strstr(text, c->contains) == NULL) {
        g_error("response without %s: %s", c->contains, text);
    }
    if (c->status != 200) {
        g_assert_cmpstr(type, ==, "application/problem+json");
        check_problem(text, c);
    }
    else {
        g_assert_cmpstr(type, !=, "application/problem+json");
    }
    g_free(text);
}

static void
test_request(gconstpointer data)
{
    const struct request_case *c = data;
    struct fixture fixture = {
        .fake = {.ready = !c->not_ready, .refusal = c->refusal}};
    struct _u_request request;
    struct _u_response response;

    start_api(&fixture);
    make_request(c, operator_api_listen_port(fixture.api), &request);
    ulfius_init_response(&response);
    g_assert_cmpint(ulfius_send_http_request(&request, &response), ==, U_OK);
    check_response(c, &response);
    stop_api(&fixture);
    g_assert_cmpint(fixture.fake.edits, ==, c->edits);
    if (strstr(c->path, "after=5&limit=9") != NULL) {
        g_assert_cmpint(fixture.fake.history_after, ==, 5);
        g_assert_cmpint(fixture.fake.history_limit, ==, 9);
    }
    ulfius_clean_request(&request);
    ulfius_clean_response(&response);
}

static int
try_connect(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int result;

    inet_pton(AF_INET, ip, &address.sin_addr);
    result = connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0
                 ? 0
                 : errno;
    close(fd);
    return result;
}

/* Guards against an API that listens on other addresses than the configured
 * one, or still listens after it stopped. */
static void
test_bound_address(void)
{
    struct fixture fixture = {.fake = {.ready = true}};
    int port;

    start_api(&fixture);
    port = operator_api_listen_port(fixture.api);
    g_assert_cmpint(try_connect("127.0.0.1", port), ==, 0);
    g_assert_cmpint(try_connect("127.0.0.2", port), ==, ECONNREFUSED);
    test_duty_stop(operator_api_duty(fixture.api), fixture.thread);
    g_assert_cmpint(try_connect("127.0.0.1", port), ==, ECONNREFUSED);
    operator_api_free(fixture.api);
}

/* Guards against an invalid address that is accepted as another one. */
struct address_case {
    const char *name;
    const char *address;
};

static const struct address_case address_cases[] = {
    {"no_port", "127.0.0.1"},          {"empty", ""},
    {"name", "localhost:80"},          {"port_text", "127.0.0.1:http"},
    {"port_range", "127.0.0.1:70000"},
};

static void
test_bad_address(gconstpointer data)
{
    const struct address_case *c = data;
    struct fake_instance fake = {.port = {&fake_ops}};
    struct operator_api_settings settings = {0};
    struct err err = {0};
    char *path = test_write_file(directory, "token", TOKEN, 0600);

    g_strlcpy(settings.address, c->address, sizeof(settings.address));
    g_strlcpy(settings.token_file, path, sizeof(settings.token_file));
    g_free(path);
    g_assert_null(operator_api_new(&settings, &fake.port, &err));
    g_assert_cmpint(err.kind, ==, ERR_SETTINGS);
}

static const struct cases case_groups[] = {
    CASES("/operator_api/token_file", token_cases, test_token_file),
    CASES("/operator_api/token_matches", token_match_cases,
          test_token_matches),
    CASES("/operator_api/request", request_cases, test_request),
    CASES("/operator_api/bad_address", address_cases, test_bad_address),
};

int
main(int argc, char **argv)
{
    char *token;
    int result;

    g_test_init(&argc, &argv, NULL);
    ulfius_global_init();
    directory = g_dir_make_tmp("operator-api-test-XXXXXX", NULL);
    g_assert_nonnull(directory);
    cases_add(case_groups, G_N_ELEMENTS(case_groups));
    g_test_add_func("/operator_api/bound_address", test_bound_address);
    result = g_test_run();
    token = g_build_filename(directory, "token", NULL);
    g_unlink(token);
    g_rmdir(directory);
    g_free(token);
    g_free(directory);
    ulfius_global_close();
    return result;
}
