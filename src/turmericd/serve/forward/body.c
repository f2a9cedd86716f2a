/**
 * DOC: Reads and rewrites JSON bodies between callers and engines.
 */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/forward/internal.h"

/* Limits the parser's stack for bodies that callers send. */
enum { JSON_DEPTH_MAX = 64 };

static struct json_object *
parse_json(const char *text, size_t bytes)
{
    struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    struct json_object *object = NULL;

    if (tokener != NULL) {
        object = json_tokener_parse_ex(tokener, text, (int)bytes);
        json_tokener_free(tokener);
    }
    return object;
}

static void
append_continuation(struct json_object *body, const char *text)
{
    struct json_object *messages;
    struct json_object *message = json_object_new_object();

    json_object_object_add(message, "role",
                           json_object_new_string("assistant"));
    json_object_object_add(message, "content", json_object_new_string(text));
    if (json_object_object_get_ex(body, "messages", &messages) &&
        json_object_is_type(messages, json_type_array)) {
        json_object_array_add(messages, message);
    }
    else {
        json_object_put(message);
    }
    json_object_object_add(body, "continue_final_message",
                           json_object_new_boolean(1));
    json_object_object_add(body, "add_generation_prompt",
                           json_object_new_boolean(0));
}

/**
 * body_build_for_engine() - rewrite the body of a chat request for an engine
 * @request: the request
 * @generated_text: text generated so far, which the engine continues; NULL
 *                  when the answer starts from the beginning
 * @bytes: set to the length of the body when one is returned
 *
 * Return: the body, freed with free(); NULL when the request's body is not a
 * JSON object or there is no memory.
 */
char *
body_build_for_engine(const struct call_request *request,
                      const char *generated_text, size_t *bytes)
{
    struct json_object *body =
        parse_json((const char *)request->body, request->body_bytes);
    char *result = NULL;

    if (body == NULL || !json_object_is_type(body, json_type_object)) {
        json_object_put(body);
        return NULL;
    }
    /* Engines identify a leaf by its path without the leading slash. */
    json_object_object_add(body, "model",
                           json_object_new_string(request->leaf_path + 1));
    json_object_object_add(body, "priority",
                           json_object_new_int(request->priority));
    if (generated_text != NULL) {
        append_continuation(body, generated_text);
    }
    result = strdup(json_object_to_json_string_ext(
        body, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    *bytes = result != NULL ? strlen(result) : 0;
    json_object_put(body);
    return result;
}

/* Delta of a chunk with exactly one choice; NULL for any other chunk. */
static struct json_object *
single_delta(struct json_object *chunk)
{
    struct json_object *choices;
    struct json_object *delta;

    if (!json_object_object_get_ex(chunk, "choices", &choices) ||
        !json_object_is_type(choices, json_type_array) ||
        json_object_array_length(choices) != 1 ||
        !json_object_object_get_ex(json_object_array_get_idx(choices, 0),
                                   "delta", &delta) ||
        !json_object_is_type(delta, json_type_object)) {
        return NULL;
    }
    return delta;
}

/**
 * body_parse_delta() - extract the text of one event of a chat stream
 * @data: data of the event
 * @text_only: set to false when the event holds more than plain text, so
 *             that another engine can't continue from the text alone
 * @text: set to the text, freed with free(); may be empty
 *
 * Return: true when the event holds a role and no text, as the first event of
 * a stream does.
 */
bool
body_parse_delta(const char *data, bool *text_only, char **text)
{
    struct json_object *chunk = parse_json(data, strlen(data));
    struct json_object *delta = chunk != NULL ? single_delta(chunk) : NULL;
    struct json_object *content = NULL;
    const char *string = "";
    bool role_only = false;

    *text_only = delta != NULL &&
                 !json_object_object_get_ex(delta, "tool_calls", NULL) &&
                 !json_object_object_get_ex(delta, "function_call", NULL);
    if (delta != NULL) {
        if (json_object_object_get_ex(delta, "content", &content) &&
            json_object_is_type(content, json_type_string)) {
            string = json_object_get_string(content);
        }
        role_only = string[0] == '\0' &&
                    json_object_object_get_ex(delta, "role", NULL);
    }
    *text = strdup(string);
    json_object_put(chunk);
    return role_only;
}

/**
 * body_has_member() - test a JSON object for a string member
 * @body: the body
 * @bytes: length of @body
 * @key: name of the member
 * @value: value of the member
 *
 * Return: true when the body is an object with the member and its value is
 * @value.
 */
bool
body_has_member(const char *body, size_t bytes, const char *key,
                const char *value)
{
    struct json_object *object = parse_json(body, bytes);
    struct json_object *member;
    bool matches = false;

    if (object != NULL && json_object_is_type(object, json_type_object) &&
        json_object_object_get_ex(object, key, &member) &&
        json_object_is_type(member, json_type_string)) {
        matches = strcmp(json_object_get_string(member), value) == 0;
    }
    json_object_put(object);
    return matches;
}
