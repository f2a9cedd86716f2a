/**
 * DOC: HTTP client of the operator API.
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

/* Above the time that an instance takes for an edit when three of its writes
 * to the key-value service time out. */
enum { REQUEST_TIMEOUT_S = 20 };

/**
 * client_read_token() - read the token file into the Authorization header
 * @options: the command line; @authorization is filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS when there is no usable token.
 */
bool
client_read_token(struct options *options, struct err *err)
{
    char *text = NULL;
    GError *error = NULL;
    bool fits;

    if (options->token_file == NULL) {
        return err_set(
            err, ERR_SETTINGS,
            "no token: give --token-file or set TURMERIC_TOKEN_FILE");
    }
    if (!g_file_get_contents(options->token_file, &text, NULL, &error)) {
        err_set(err, ERR_SETTINGS, "%s", error->message);
        g_error_free(error);
        return false;
    }
    g_strchomp(text);
    fits = g_snprintf(options->authorization, sizeof(options->authorization),
                      "Bearer %s", text) < (int)sizeof(options->authorization);
    if (text[0] == '\0' || !fits) {
        err_set(err, ERR_SETTINGS, "token file %s is empty or too long",
                options->token_file);
        fits = false;
    }
    g_free(text);
    return fits;
}

/**
 * client_request() - send one request and wait for the response
 * @options: the command line
 * @method: HTTP method
 * @path: path and query
 * @body: body, or NULL for none
 * @response: filled in; the caller frees it with response_free()
 */
void
client_request(const struct options *options, const char *method,
               const char *path, const char *body, struct response *response)
{
    char url[URL_MAX_BYTES];
    const char *const headers[][2] = {
        {"Authorization", options->authorization}, {NULL, NULL}};
    struct http_response answer;

    memset(response, 0, sizeof(*response));
    g_snprintf(url, sizeof(url), "http://%s%s", options->address, path);
    if (http_call_text(method, url, headers, body, REQUEST_TIMEOUT_S, &answer,
                       NULL)) {
        response->status = answer.status;
        response->body = answer.text;
    }
}

/**
 * response_json() - decode the body of a response as JSON
 * @response: the response; its status is not 0
 *
 * Return: the value, to be released with json_object_put(), or NULL when the
 * body is not JSON.
 */
struct json_object *
response_json(const struct response *response)
{
    return json_parse(response->body, strlen(response->body), NULL);
}

/**
 * response_free() - free the body of a response
 * @response: the response
 */
void
response_free(struct response *response)
{
    g_clear_pointer(&response->body, g_free);
}

/* Only the outcome "not_run" guarantees that the request changed nothing. */
static bool
is_not_run(struct json_object *problem)
{
    return strcmp(json_member_text(problem, "outcome"), "not_run") == 0;
}

/**
 * client_print_failure() - print why a request failed, if it did
 * @options: the command line
 * @response: the response
 *
 * Return: EXIT_DONE when the request succeeded, else the exit code.
 */
enum exit_code
client_print_failure(const struct options *options,
                     const struct response *response)
{
    struct json_object *problem;
    enum exit_code code;

    if (response->status == 200) {
        return EXIT_DONE;
    }
    if (response->status == 0) {
        fprintf(stderr, "turmericctl: no answer from %s%s\n", options->address,
                response->outcome_unknown
                    ? "; the outcome of the edit is unknown, check "
                      "the tree before repeating it"
                    : "");
        return EXIT_UNKNOWN;
    }
    problem = response_json(response);
    code = !response->outcome_unknown && is_not_run(problem) ? EXIT_REFUSED
                                                             : EXIT_UNKNOWN;
    fprintf(stderr, "turmericctl: %s: %s: %s\n",
            code == EXIT_REFUSED ? "refused" : "outcome unknown",
            problem == NULL ? "the answer is no problem document"
                            : json_member_text(problem, "title"),
            json_member_text(problem, "detail"));
    if (json_member_text(problem, "remedy")[0] != '\0') {
        fprintf(stderr, "turmericctl: remedy: %s\n",
                json_member_text(problem, "remedy"));
    }
    json_object_put(problem);
    return code;
}

/**
 * client_get_text() - send a GET request and print an error if it fails
 * @options: the command line
 * @path: path and query
 * @code: set to the exit code, EXIT_DONE on success
 *
 * Return: the body, to be freed with g_free(), or NULL on failure.
 */
char *
client_get_text(const struct options *options, const char *path,
                enum exit_code *code)
{
    struct response response;
    char *text = NULL;

    client_request(options, "GET", path, NULL, &response);
    *code = client_print_failure(options, &response);
    if (*code == EXIT_DONE) {
        text = g_steal_pointer(&response.body);
    }
    response_free(&response);
    return text;
}

/**
 * client_get_json() - get JSON and print an error if that fails
 * @options: the command line
 * @path: path and query
 * @code: set to the exit code, EXIT_DONE on success
 *
 * Return: the value, to be released with json_object_put(), or NULL on
 * failure.
 */
struct json_object *
client_get_json(const struct options *options, const char *path,
                enum exit_code *code)
{
    char *text = client_get_text(options, path, code);
    struct json_object *json = NULL;

    if (text != NULL) {
        json = json_parse(text, strlen(text), NULL);
        if (json == NULL) {
            fprintf(stderr, "turmericctl: the answer of %s is not JSON\n",
                    options->address);
            *code = EXIT_UNKNOWN;
        }
    }
    g_free(text);
    return json;
}
