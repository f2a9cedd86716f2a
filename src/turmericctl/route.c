/**
 * DOC: The command route: where a request would go now, and why.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "tree/dat.h"
#include "turmericctl/dat.h"
#include "turmericctl/fns.h"

enum { ROUTE_TIMEOUT_S = 5, NUMBER_MAX = 1000 * 1000 * 1000, CELL_BYTES = 32 };

struct parameter {
    const char *name;
    bool is_number;
};

static const struct parameter parameters[] = {
    {"model", false},        {"team", false},       {"prompt_tokens", true},
    {"output_tokens", true}, {"deadline_ms", true},
};

static bool
is_valid(const struct parameter *parameter, const char *value)
{
    return parameter->is_number
               ? g_ascii_string_to_signed(value, 10, 0, NUMBER_MAX, NULL, NULL)
               : value[0] != '\0';
}

static void
append(GString *url, const char *name, const char *value)
{
    char *encoded = g_uri_escape_string(value, NULL, FALSE);

    g_string_append_printf(url, "%s=%s", name, encoded);
    g_free(encoded);
}

/* Returns false when the argument is no valid KEY=VALUE. */
static bool
append_argument(GString *url, const char *argument)
{
    for (size_t i = 0; i < G_N_ELEMENTS(parameters); i++) {
        size_t bytes = strlen(parameters[i].name);

        if (strncmp(argument, parameters[i].name, bytes) == 0 &&
            argument[bytes] == '=' &&
            is_valid(&parameters[i], argument + bytes + 1)) {
            g_string_append_c(url, '&');
            append(url, parameters[i].name, argument + bytes + 1);
            return true;
        }
    }
    fprintf(stderr,
            "turmericctl: %s: give model=NAME, team=NAME, or prompt_tokens, "
            "output_tokens or deadline_ms=NUMBER up to %d\n",
            argument, NUMBER_MAX);
    return false;
}

/* Returns NULL when the command line is invalid. */
static char *
make_url(const struct options *options)
{
    GString *url = g_string_new(NULL);
    bool valid = options->arguments[2][0] == '/';

    if (!valid) {
        fprintf(stderr, "turmericctl: the path must begin with /\n");
    }
    g_string_printf(url, "http://%s/route?", options->address);
    append(url, "host", options->arguments[1]);
    g_string_append_c(url, '&');
    append(url, "path", options->arguments[2]);
    for (int i = 3; valid && i < options->argument_count; i++) {
        valid = append_argument(url, options->arguments[i]);
    }
    return g_string_free(url, !valid);
}

static struct json_object *
fetch(const struct options *options, const char *url)
{
    static const char *const headers[][2] = {{NULL, NULL}};
    struct http_response answer = {0};
    struct json_object *json = NULL;

    if (!http_call_text("GET", url, headers, NULL, ROUTE_TIMEOUT_S, &answer,
                        NULL)) {
        fprintf(stderr, "turmericctl: no answer from %s\n", options->address);
        return NULL;
    }
    if (answer.status == 200) {
        json = json_parse(answer.text, strlen(answer.text), NULL);
    }
    if (json == NULL || json_member_text(json, "verdict")[0] == '\0') {
        fprintf(stderr,
                "turmericctl: %s answers with status %d; --address must be "
                "the metrics address of a turmericgate\n",
                options->address, (int)answer.status);
        json_object_put(json);
        json = NULL;
    }
    g_free(answer.text);
    return json;
}

/* Why a target is not taken; to be freed with g_free(). */
static char *
reasons_of(struct json_object *target, bool sent)
{
    struct json_object *fails = json_object_object_get(target, "fails");
    GString *reasons = g_string_new(NULL);

    if (json_object_get_boolean(json_object_object_get(target, "chosen"))) {
        g_string_append(reasons, "chosen");
    }
    else if (json_object_array_length(fails) == 0) {
        g_string_append(reasons, sent ? "higher_cost" : "-");
    }
    for (size_t i = 0; i < json_object_array_length(fails); i++) {
        g_string_append_printf(
            reasons, "%s%s", i > 0 ? "," : "",
            json_object_get_string(json_object_array_get_idx(fails, i)));
    }
    return g_string_free(reasons, FALSE);
}

/* A negative number stands for one that is not known. */
static const char *
text_or_dash(struct json_object *json, const char *name)
{
    const char *text = json_member_text(json, name);

    return text[0] != '\0' && text[0] != '-' ? text : "-";
}

static void
add_row(struct text_table *table, struct json_object *target, bool sent)
{
    char *reasons = reasons_of(target, sent);
    char load[CELL_BYTES];

    g_snprintf(load, sizeof(load), "%" PRId64 "/%" PRId64,
               json_member_number(target, "running"),
               json_member_number(target, "slots"));
    text_table_add_row(table, json_member_text(target, "target"),
                       json_member_text(target, "data_centre"),
                       json_member_text(target, "cost"), load,
                       json_member_text(target, "tokens"),
                       text_or_dash(target, "late_share"), reasons);
    g_free(reasons);
}

static void
print_targets(struct json_object *json)
{
    struct json_object *targets = json_object_object_get(json, "targets");
    bool sent = strcmp(json_member_text(json, "verdict"), "sent") == 0;
    struct text_table table;

    text_table_init(&table, 7, "TARGET", "DATA CENTRE", "COST", "RUNNING",
                    "TOKENS", "LATE SHARE", "REASON");
    for (size_t i = 0; i < json_object_array_length(targets); i++) {
        add_row(&table, json_object_array_get_idx(targets, i), sent);
    }
    text_table_print(&table);
}

static void
print_queue(struct json_object *json)
{
    struct json_object *queue = json_object_object_get(json, "queue");
    struct json_object *forecast = json_object_object_get(json, "forecast");
    struct json_object *wait = json_object_object_get(json, "wait");

    printf("queue: length %s, ahead %s; load %s, ready in %s ms; without a "
           "target: %s, place expected in %s ms\n",
           json_member_text(queue, "length"), json_member_text(queue, "ahead"),
           json_member_text(forecast, "load"),
           json_member_text(forecast, "ready_in_ms"),
           json_member_text(wait, "decision"),
           text_or_dash(wait, "expected_ms"));
}

static void
print_circumstances(struct json_object *json)
{
    struct json_object *quota = json_object_object_get(json, "quota");

    printf("route %s, service %s, team %s, priority %s, left %s ms\n",
           text_or_dash(json, "route"), text_or_dash(json, "service"),
           text_or_dash(json, "team"), json_member_text(json, "priority"),
           json_member_text(json, "left_ms"));
    if (quota != NULL) {
        printf("quota: needs %s, left here %s, %s waiting, room in %s ms\n",
               json_member_text(quota, "units"),
               json_member_text(quota, "left"),
               json_member_text(quota, "waiting"),
               text_or_dash(quota, "room_ms"));
    }
    if (json_object_object_get(json, "queue") != NULL) {
        print_queue(json);
    }
}

static void
print_verdict(struct json_object *json)
{
    const char *verdict = json_member_text(json, "verdict");

    if (strcmp(verdict, "sent") == 0) {
        printf("verdict: sent to %s\n", json_member_text(json, "target"));
    }
    else if (strcmp(verdict, "refused") == 0) {
        printf("verdict: refused, %s, status %s, retry after %s ms; %s\n",
               json_member_text(json, "reason"),
               json_member_text(json, "status"),
               json_member_text(json, "retry_ms"),
               json_member_text(json, "remedy"));
    }
    else {
        printf("verdict: waits for a %s\n",
               strcmp(verdict, "waits") == 0 ? "target" : "grant");
    }
}

/**
 * command_route() - print where a request would go now, and why
 * @options: the command line; the arguments are the host, the path, and
 *           KEY=VALUE
 *
 * Return: EXIT_REFUSED when it would be refused, EXIT_DONE when it would be
 * sent or wait.
 */
enum exit_code
command_route(struct options *options)
{
    char *url = make_url(options);
    struct json_object *json;
    bool refused;

    if (url == NULL) {
        return EXIT_USAGE;
    }
    json = fetch(options, url);
    g_free(url);
    if (json == NULL) {
        return EXIT_UNKNOWN;
    }
    if (options->json) {
        print_json(json);
    }
    else {
        print_targets(json);
        print_circumstances(json);
        print_verdict(json);
    }
    refused = strcmp(json_member_text(json, "verdict"), "refused") == 0;
    json_object_put(json);
    return refused ? EXIT_REFUSED : EXIT_DONE;
}
