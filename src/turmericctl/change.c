/**
 * DOC: Commands that change the tree: set, unset, apply.
 *
 * An edit whose answer is lost is sent again with the same id, so it is
 * accepted at most once.
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

enum { SEND_ATTEMPTS_MAX = 5, SEND_AGAIN_MS = 500 };

static bool
is_lost(const struct reply *reply)
{
    struct json_object *problem;
    bool lost;

    if (reply->status == 200 || reply->status == 0) {
        return reply->status == 0;
    }
    problem = reply_json(reply);
    lost = strcmp(member_text(problem, "outcome"), "not_run") != 0;
    json_object_put(problem);
    return lost;
}

/* These two are decided with all entries up to now, among which an earlier
 * attempt would have been found. */
static bool
is_final(const struct reply *reply)
{
    struct json_object *problem;
    enum err_kind kind;

    if (reply->status == 0 || reply->status == 200) {
        return reply->status == 200;
    }
    problem = reply_json(reply);
    kind = err_kind_by_name(member_text(problem, "title"));
    json_object_put(problem);
    return kind == ERR_EDIT_INVALID || kind == ERR_EDIT_CONFLICT;
}

static void
send_text(const struct ctl *ctl, const char *text, struct reply *reply)
{
    bool lost = false;

    for (int i = 0; i < SEND_ATTEMPTS_MAX; i++) {
        if (i > 0) {
            reply_free(reply);
        }
        client_call(ctl, "POST", "/operator/v1/edits", text, reply);
        lost = lost || is_lost(reply);
        if (is_final(reply) || !lost) {
            return;
        }
        if (i + 1 < SEND_ATTEMPTS_MAX && wait_ms(SEND_AGAIN_MS)) {
            break;
        }
    }
    reply->unknown = lost;
}

/* Sends one edit; its id and author are filled in here. */
static enum exit_code
send_edit(const struct ctl *ctl, struct edit *edit, int64_t *revision)
{
    char *id = g_uuid_string_random();
    struct reply reply;
    struct json_object *json;
    enum exit_code code;
    char *text;

    /* From here on an interrupt must not hide what became of the edit. */
    wait_init();
    g_strlcpy(edit->id, id, sizeof(edit->id));
    g_strlcpy(edit->author, ctl->author, sizeof(edit->author));
    g_free(id);
    text = edit_format(edit);
    send_text(ctl, text, &reply);
    free(text);
    code = client_report(ctl, &reply);
    if (code == EXIT_DONE) {
        json = reply_json(&reply);
        *revision = member_number(json, "revision");
        json_object_put(json);
    }
    reply_free(&reply);
    return code;
}

static enum exit_code
finish(const struct ctl *ctl, int64_t revision, int edits)
{
    struct json_object *result = json_object_new_object();
    enum exit_code code = EXIT_DONE;

    json_object_object_add(result, "revision",
                           json_object_new_int64(revision));
    json_object_object_add(result, "edits", json_object_new_int(edits));
    if (ctl->wait_s > 0) {
        code = wait_in_force(ctl, revision, result);
    }
    if (ctl->json) {
        print_json(result);
    }
    else {
        printf("revision %" PRId64 "%s%s\n", revision,
               edits == 0 ? ", no differences" : "",
               ctl->wait_s > 0 && code == EXIT_DONE ? ", in force everywhere"
                                                    : "");
    }
    json_object_put(result);
    return code;
}

/* An instance takes at most EDIT_CHANGES_MAX changes in one edit. */
static enum exit_code
send_changes(const struct ctl *ctl, const struct edit *edit)
{
    int64_t revision = edit->base_revision;
    enum exit_code code = EXIT_DONE;
    int edits = 0;

    for (int done = 0; done < edit->change_count && code == EXIT_DONE;
         edits++) {
        struct edit part = {.base_revision = revision,
                            .changes = edit->changes + done};

        part.change_count = MIN(edit->change_count - done, EDIT_CHANGES_MAX);
        done += part.change_count;
        code = send_edit(ctl, &part, &revision);
    }
    if (code != EXIT_DONE) {
        if (edits > 1) {
            fprintf(stderr,
                    "turmericctl: the first %d edits are accepted, up to "
                    "revision %" PRId64 "\n",
                    edits - 1, revision);
        }
        return code;
    }
    return finish(ctl, revision, edits);
}

static bool
read_revision(const struct ctl *ctl, int64_t *revision, enum exit_code *code)
{
    struct json_object *json = client_get(ctl, "/operator/v1/status", code);

    if (json == NULL) {
        return false;
    }
    *revision = member_number(json, "revision");
    json_object_put(json);
    return true;
}

/* A word that is no JSON number, truth value or string becomes a string. */
static bool
set_value(struct edit_change *change, const char *word)
{
    struct json_object *json = json_tokener_parse(word);
    const char *text;
    bool fits;

    if (!json_object_is_type(json, json_type_int) &&
        !json_object_is_type(json, json_type_double) &&
        !json_object_is_type(json, json_type_boolean) && word[0] != '"') {
        json_object_put(json);
        json = json_object_new_string(word);
    }
    text = json_object_to_json_string_ext(json, JSON_C_TO_STRING_PLAIN);
    fits = text[0] != '\0' && strlen(text) < sizeof(change->value);
    g_strlcpy(change->value, text, sizeof(change->value));
    json_object_put(json);
    return fits;
}

static bool
parse_assignment(const char *word, struct edit_change *change)
{
    const char *equals = strchr(word, '=');
    size_t bytes = equals == NULL ? 0 : (size_t)(equals - word);

    if (bytes == 0 || bytes >= sizeof(change->key) ||
        !set_value(change, equals + 1)) {
        fprintf(stderr, "turmericctl: %s is not KEY=VALUE\n", word);
        return false;
    }
    memcpy(change->key, word, bytes);
    return true;
}

static bool
parse_key(const char *word, struct edit_change *change)
{
    if (g_strlcpy(change->key, word, sizeof(change->key)) >=
        sizeof(change->key)) {
        fprintf(stderr, "turmericctl: key %s is too long\n", word);
        return false;
    }
    return true;
}

/* One change for each argument after the node. */
static enum exit_code
change_node(struct ctl *ctl, bool (*parse)(const char *, struct edit_change *))
{
    struct edit_change changes[ARGUMENTS_MAX] = {0};
    struct edit edit = {.changes = changes};
    enum exit_code code = EXIT_DONE;

    for (int i = 2; i < ctl->argument_count; i++) {
        struct edit_change *change = &changes[edit.change_count++];

        if (!parse(ctl->arguments[i], change)) {
            return EXIT_USAGE;
        }
        if (g_strlcpy(change->node, ctl->arguments[1], sizeof(change->node)) >=
            sizeof(change->node)) {
            fprintf(stderr, "turmericctl: the path of the node is too long\n");
            return EXIT_USAGE;
        }
    }
    if (!read_revision(ctl, &edit.base_revision, &code)) {
        return code;
    }
    return send_changes(ctl, &edit);
}

/**
 * command_set() - set keys of a node
 * @ctl: the command line
 */
enum exit_code
command_set(struct ctl *ctl)
{
    return change_node(ctl, parse_assignment);
}

/**
 * command_unset() - unset keys of a node
 * @ctl: the command line
 */
enum exit_code
command_unset(struct ctl *ctl)
{
    return change_node(ctl, parse_key);
}

static struct tree *
get_tree(const struct ctl *ctl, enum exit_code *code)
{
    char *text = client_get_text(ctl, "/operator/v1/tree", code);
    struct err err = {0};
    struct tree *tree = NULL;

    if (text != NULL) {
        tree = tree_parse(text, strlen(text), &err);
        if (tree == NULL) {
            fprintf(stderr, "turmericctl: the tree can't be read: %s\n",
                    err.text);
            *code = EXIT_UNKNOWN;
        }
    }
    g_free(text);
    return tree;
}

static enum exit_code
apply_text(const struct ctl *ctl, const char *text, size_t bytes)
{
    enum exit_code code = EXIT_DONE;
    struct tree *tree = get_tree(ctl, &code);
    struct edit edit = {0};
    struct err err = {0};

    if (tree == NULL) {
        return code;
    }
    if (tree_diff(tree, text, bytes, ctl->prune, &edit, &err)) {
        code = send_changes(ctl, &edit);
    }
    else {
        fprintf(stderr, "turmericctl: %s: %s: %s\n", ctl->arguments[1],
                err_info(err.kind)->name, err.text);
        code = EXIT_REFUSED;
    }
    edit_free(&edit);
    tree_unref(tree);
    return code;
}

/**
 * command_apply() - make the tree as a file says
 * @ctl: the command line
 */
enum exit_code
command_apply(struct ctl *ctl)
{
    char *text = NULL;
    gsize bytes = 0;
    GError *error = NULL;
    enum exit_code code;

    if (!g_file_get_contents(ctl->arguments[1], &text, &bytes, &error)) {
        fprintf(stderr, "turmericctl: %s\n", error->message);
        g_error_free(error);
        return EXIT_USAGE;
    }
    code = apply_text(ctl, text, bytes);
    g_free(text);
    return code;
}
