/**
 * DOC: Calls to the operators' HTTP of an instance.
 */
#include <glib.h>
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

/* Longer than an instance needs for an edit with three unanswered writes. */
enum { CALL_TIMEOUT_S = 20 };

/**
 * client_read_token() - read the token file
 * @ctl: the command line
 * @err: filled in on failure
 */
bool
client_read_token(struct ctl *ctl, struct err *err)
{
    char *text = NULL;
    GError *error = NULL;
    bool fits;

    if (ctl->token_file == NULL) {
        return err_set(err, ERR_SETTINGS,
                       "give --token-file or set TURMERIC_TOKEN_FILE");
    }
    if (!g_file_get_contents(ctl->token_file, &text, NULL, &error)) {
        err_set(err, ERR_SETTINGS, "%s", error->message);
        g_error_free(error);
        return false;
    }
    g_strchomp(text);
    fits = g_snprintf(ctl->authorization, sizeof(ctl->authorization),
                      "Bearer %s", text) < (int)sizeof(ctl->authorization);
    if (text[0] == '\0' || !fits) {
        err_set(err, ERR_SETTINGS, "token file %s is empty or too long",
                ctl->token_file);
        fits = false;
    }
    g_free(text);
    return fits;
}

/**
 * client_call() - make one call
 * @ctl: the command line
 * @method: HTTP method
 * @path: path and query
 * @body: text of the body; may be NULL
 * @reply: filled in; released by reply_free()
 */
void
client_call(const struct ctl *ctl, const char *method, const char *path,
            const char *body, struct reply *reply)
{
    char url[URL_MAX_BYTES];
    const char *const headers[][2] = {{"Authorization", ctl->authorization},
                                      {NULL, NULL}};
    struct http_response answer;

    memset(reply, 0, sizeof(*reply));
    g_snprintf(url, sizeof(url), "http://%s%s", ctl->address, path);
    if (http_call_text(method, url, headers, body, CALL_TIMEOUT_S, &answer,
                       NULL)) {
        reply->status = answer.status;
        reply->text = answer.text;
    }
}

/**
 * reply_json() - body of a reply as JSON
 * @reply: the reply; it has a status
 *
 * Return: a value that the caller puts, or NULL when it is no JSON.
 */
struct json_object *
reply_json(const struct reply *reply)
{
    return json_parse(reply->text, strlen(reply->text), NULL);
}

/**
 * reply_free() - release a reply
 * @reply: the reply
 */
void
reply_free(struct reply *reply)
{
    g_clear_pointer(&reply->text, g_free);
}

/* A refusal that says "not_run" is one; anything else leaves doubt. */
static bool
is_refusal(struct json_object *problem)
{
    return strcmp(member_text(problem, "outcome"), "not_run") == 0;
}

/**
 * client_report() - tell the person why a call has failed
 * @ctl: the command line
 * @reply: the reply
 *
 * Return: the exit code; EXIT_DONE when the call has not failed.
 */
enum exit_code
client_report(const struct ctl *ctl, const struct reply *reply)
{
    struct json_object *problem;
    enum exit_code code;

    if (reply->status == 200) {
        return EXIT_DONE;
    }
    if (reply->status == 0) {
        fprintf(stderr, "turmericctl: no answer from %s%s\n", ctl->address,
                reply->unknown ? "; what became of the edit is unknown, look "
                                 "at the tree before repeating it"
                               : "");
        return EXIT_UNKNOWN;
    }
    problem = reply_json(reply);
    code =
        !reply->unknown && is_refusal(problem) ? EXIT_REFUSED : EXIT_UNKNOWN;
    fprintf(stderr, "turmericctl: %s: %s: %s\n",
            code == EXIT_REFUSED ? "refused" : "outcome unknown",
            problem == NULL ? "no problem document"
                            : member_text(problem, "title"),
            member_text(problem, "detail"));
    if (member_text(problem, "remedy")[0] != '\0') {
        fprintf(stderr, "turmericctl: remedy: %s\n",
                member_text(problem, "remedy"));
    }
    json_object_put(problem);
    return code;
}

/**
 * client_get_text() - read something, telling the person of a failure
 * @ctl: the command line
 * @path: path and query
 * @code: set to the exit code on failure
 *
 * Return: the body, freed with g_free(), or NULL.
 */
char *
client_get_text(const struct ctl *ctl, const char *path, enum exit_code *code)
{
    struct reply reply;
    char *text = NULL;

    client_call(ctl, "GET", path, NULL, &reply);
    *code = client_report(ctl, &reply);
    if (*code == EXIT_DONE) {
        text = g_steal_pointer(&reply.text);
    }
    reply_free(&reply);
    return text;
}

/**
 * client_get() - read JSON, telling the person of a failure
 * @ctl: the command line
 * @path: path and query
 * @code: set to the exit code on failure
 *
 * Return: the value, or NULL.
 */
struct json_object *
client_get(const struct ctl *ctl, const char *path, enum exit_code *code)
{
    char *text = client_get_text(ctl, path, code);
    struct json_object *json = NULL;

    if (text != NULL) {
        json = json_parse(text, strlen(text), NULL);
        if (json == NULL) {
            fprintf(stderr, "turmericctl: the answer of %s is not JSON\n",
                    ctl->address);
            *code = EXIT_UNKNOWN;
        }
    }
    g_free(text);
    return json;
}
