/**
 * DOC: Commands that edit the tree: set, unset, apply.
 *
 * An edit whose outcome is unknown is sent again with the same id, so that it
 * takes effect at most once.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericctl/dat.h"
#include "turmericctl/fns.h"

enum { EDIT_ATTEMPTS_MAX = 5, EDIT_RETRY_DELAY_MS = 500 };

/* Whether the edit may have taken effect although it was not confirmed. */
static bool
may_have_run(const struct response *response)
{
    struct json_object *problem;
    bool possible;

    if (response->status == 200 || response->status == 0) {
        return response->status == 0;
    }
    problem = response_json(response);
    possible = strcmp(json_member_text(problem, "outcome"), "not_run") != 0;
    json_object_put(problem);
    return possible;
}

/* Whether the response settles the outcome of all attempts. An invalid edit or
 * a conflict is found only after all entries so far were read, so an earlier
 * attempt that was accepted would have been found among them. */
static bool
is_definite(const struct response *response)
{
    struct json_object *problem;
    enum err_kind kind;

    if (response->status == 0 || response->status == 200) {
        return response->status == 200;
    }
    problem = response_json(response);
    kind = err_kind_by_name(json_member_text(problem, "title"));
    json_object_put(problem);
    return kind == ERR_EDIT_INVALID || kind == ERR_EDIT_CONFLICT;
}

static void
send_with_retries(const struct options *options, const char *body,
                  struct response *response)
{
    bool earlier_may_have_run = false;

    for (int i = 0; i < EDIT_ATTEMPTS_MAX; i++) {
        if (i > 0) {
            response_free(response);
        }
        client_request(options, "POST", "/operator/v1/edits", body, response);
        earlier_may_have_run = earlier_may_have_run || may_have_run(response);
        if (is_definite(response) || !earlier_may_have_run) {
            return;
        }
        if (i + 1 < EDIT_ATTEMPTS_MAX &&
            wait_for_signal(EDIT_RETRY_DELAY_MS)) {
            break;
        }
    }
    response->outcome_unknown = earlier_may_have_run;
}

/* Fills in the id and author of an edit and sends it. */
static enum exit_code
send_edit(const struct options *options, struct edit *edit, int64_t *revision)
{
    char *id = g_uuid_string_random();
    struct response response;
    struct json_object *json;
    enum exit_code code;
    char *body;

    /* From here on a signal must not end the process before the outcome of
     * the edit is printed. */
    wait_block_signals();
    g_strlcpy(edit->id, id, sizeof(edit->id));
    g_strlcpy(edit->author, options->author, sizeof(edit->author));
    g_free(id);
    body = edit_format(edit);
    send_with_retries(options, body, &response);
    free(body);
    code = client_print_failure(options, &response);
    if (code == EXIT_DONE) {
        json = response_json(&response);
        *revision = json_member_number(json, "revision");
        json_object_put(json);
    }
    response_free(&response);
    return code;
}

static enum exit_code
print_result(const struct options *options, int64_t revision, int edit_count)
{
    struct json_object *result = json_object_new_object();
    enum exit_code code = EXIT_DONE;

    json_object_object_add(result, "revision",
                           json_object_new_int64(revision));
    json_object_object_add(result, "edits", json_object_new_int(edit_count));
    if (options->wait_s > 0) {
        code = wait_until_in_force(options, revision, result);
    }
    if (options->json) {
        print_json(result);
    }
    else {
        printf("revision %" PRId64 "%s%s\n", revision,
               edit_count == 0 ? ", no differences" : "",
               options->wait_s > 0 && code == EXIT_DONE
                   ? ", in force everywhere"
                   : "");
    }
    json_object_put(result);
    return code;
}

/* Splits the edit, because an instance accepts at most EDIT_CHANGES_MAX
 * changes at once. */
static enum exit_code
send_in_parts(const struct options *options, const struct edit *edit)
{
    int64_t revision = edit->base_revision;
    enum exit_code code = EXIT_DONE;
    int edit_count = 0;

    for (int sent_count = 0;
         sent_count < edit->change_count && code == EXIT_DONE; edit_count++) {
        struct edit part = {.base_revision = revision,
                            .changes = edit->changes + sent_count};

        part.change_count =
            MIN(edit->change_count - sent_count, EDIT_CHANGES_MAX);
        sent_count += part.change_count;
        code = send_edit(options, &part, &revision);
    }
    if (code != EXIT_DONE) {
        if (edit_count > 1) {
            fprintf(stderr,
                    "turmericctl: accepted only the first %d edits, up to "
                    "revision %" PRId64 "\n",
                    edit_count - 1, revision);
        }
        return code;
    }
    return print_result(options, revision, edit_count);
}

static bool
fetch_revision(const struct options *options, int64_t *revision,
               enum exit_code *code)
{
    struct json_object *json =
        client_get_json(options, "/operator/v1/status", code);

    if (json == NULL) {
        return false;
    }
    *revision = json_member_number(json, "revision");
    json_object_put(json);
    return true;
}

/* A value that is no JSON number, boolean or string is taken as a string. */
static bool
parse_value(struct edit_change *change, const char *argument)
{
    struct json_object *json = json_tokener_parse(argument);
    const char *text;
    bool fits;

    if (!json_object_is_type(json, json_type_int) &&
        !json_object_is_type(json, json_type_double) &&
        !json_object_is_type(json, json_type_boolean) && argument[0] != '"') {
        json_object_put(json);
        json = json_object_new_string(argument);
    }
    text = json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
    fits = text[0] != '\0' && strlen(text) < sizeof(change->value);
    g_strlcpy(change->value, text, sizeof(change->value));
    json_object_put(json);
    return fits;
}

static bool
parse_assignment(const char *argument, struct edit_change *change)
{
    const char *equals = strchr(argument, '=');
    size_t bytes = equals == NULL ? 0 : (size_t)(equals - argument);

    if (bytes == 0 || bytes >= sizeof(change->key) ||
        !parse_value(change, equals + 1)) {
        fprintf(stderr, "turmericctl: %s is not KEY=VALUE\n", argument);
        return false;
    }
    memcpy(change->key, argument, bytes);
    return true;
}

static bool
parse_key(const char *argument, struct edit_change *change)
{
    if (g_strlcpy(change->key, argument, sizeof(change->key)) >=
        sizeof(change->key)) {
        fprintf(stderr, "turmericctl: key %s is too long\n", argument);
        return false;
    }
    return true;
}

/* Sends an edit with one change for each argument after the node. */
static enum exit_code
edit_node(struct options *options,
          bool (*parse_argument)(const char *, struct edit_change *))
{
    struct edit_change changes[ARGUMENTS_MAX] = {0};
    struct edit edit = {.changes = changes};
    enum exit_code code = EXIT_DONE;

    for (int i = 2; i < options->argument_count; i++) {
        struct edit_change *change = &changes[edit.change_count++];

        if (!parse_argument(options->arguments[i], change)) {
            return EXIT_USAGE;
        }
        if (g_strlcpy(change->node, options->arguments[1],
                      sizeof(change->node)) >= sizeof(change->node)) {
            fprintf(stderr, "turmericctl: the path of the node is too long\n");
            return EXIT_USAGE;
        }
    }
    if (!fetch_revision(options, &edit.base_revision, &code)) {
        return code;
    }
    return send_in_parts(options, &edit);
}

/**
 * command_set() - run the command set
 * @options: the command line
 */
enum exit_code
command_set(struct options *options)
{
    return edit_node(options, parse_assignment);
}

/**
 * command_unset() - run the command unset
 * @options: the command line
 */
enum exit_code
command_unset(struct options *options)
{
    return edit_node(options, parse_key);
}

static struct tree *
fetch_tree(const struct options *options, enum exit_code *code)
{
    char *text = client_get_text(options, "/operator/v1/tree", code);
    struct err err = {0};
    struct tree *tree = NULL;

    if (text != NULL) {
        tree = tree_parse(text, strlen(text), &err);
        if (tree == NULL) {
            fprintf(stderr, "turmericctl: can't decode the tree: %s\n",
                    err.text);
            *code = EXIT_UNKNOWN;
        }
    }
    g_free(text);
    return tree;
}

static enum exit_code
apply_document(const struct options *options, const char *text, size_t bytes)
{
    enum exit_code code = EXIT_DONE;
    struct tree *tree = fetch_tree(options, &code);
    struct edit edit = {0};
    struct err err = {0};

    if (tree == NULL) {
        return code;
    }
    if (tree_diff(tree, text, bytes, options->prune, &edit, &err)) {
        code = send_in_parts(options, &edit);
    }
    else {
        fprintf(stderr, "turmericctl: %s: %s: %s\n", options->arguments[1],
                err_info(err.kind)->name, err.text);
        code = EXIT_REFUSED;
    }
    edit_free(&edit);
    tree_unref(tree);
    return code;
}

/**
 * command_apply() - run the command apply: change the tree to match a file
 * @options: the command line
 */
enum exit_code
command_apply(struct options *options)
{
    char *text = NULL;
    gsize bytes = 0;
    GError *error = NULL;
    enum exit_code code;

    if (!g_file_get_contents(options->arguments[1], &text, &bytes, &error)) {
        fprintf(stderr, "turmericctl: %s\n", error->message);
        g_error_free(error);
        return EXIT_USAGE;
    }
    code = apply_document(options, text, bytes);
    g_free(text);
    return code;
}
