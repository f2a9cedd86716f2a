/**
 * DOC: Chats of the stand-in engine.
 *
 * Answers in OpenAI's form, streamed or whole, with text that depends on the
 * question alone, so that a test can tell whose answer it holds and whether it
 * is whole after a resume.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "standin/dat.h"
#include "standin/fns.h"

enum { STREAM_CHUNK_BYTES = 4096, STREAMS_MAX = 4096 };

/* One streamed answer. */
struct answer {
    struct engine_role *engine;
    char *text;
    char *stream_id;
    char pending[STREAM_CHUNK_BYTES];
    size_t pending_bytes;
    size_t pending_sent;
    int64_t next_token;
    size_t text_at;
    int64_t skip_events;
    bool finished;
};

static int
post_cancel(const struct _u_request *request, struct _u_response *response,
            void *user_data)
{
    struct engine_role *engine = user_data;
    struct err err = {0};
    struct json_object *body = http_body_json(request, &err);

    if (body == NULL) {
        reply_error(response, 400, err.text);
        return U_CALLBACK_COMPLETE;
    }
    pthread_mutex_lock(&engine->role.lock);
    engine->cancels++;
    if (g_hash_table_size(engine->cancelled) < STREAMS_MAX) {
        g_hash_table_add(engine->cancelled,
                         g_strdup(json_get_string(body, "stream_id", "")));
    }
    pthread_mutex_unlock(&engine->role.lock);
    json_object_put(body);
    http_reply_json(response, 200, json_object_new_object());
    return U_CALLBACK_COMPLETE;
}

static struct json_object *
last_message(struct json_object *body, const char *role)
{
    struct json_object *messages;
    struct json_object *found = NULL;

    if (!json_object_object_get_ex(body, "messages", &messages) ||
        !json_object_is_type(messages, json_type_array)) {
        return NULL;
    }
    for (size_t i = 0; i < json_object_array_length(messages); i++) {
        struct json_object *message = json_object_array_get_idx(messages, i);

        if (strcmp(json_get_string(message, "role", ""), role) == 0) {
            found = message;
        }
    }
    return found;
}

/* The whole answer to a question, or what is left after the text so far. */
static char *
answer_text(struct engine_role *engine, struct json_object *body)
{
    GString *text = g_string_new(NULL);
    struct json_object *so_far = last_message(body, "assistant");
    int64_t tokens =
        json_get_int64(body, "max_tokens", engine->role.options->tokens);
    char *rest;

    g_string_printf(
        text,
        "%s:", json_get_string(last_message(body, "user"), "content", ""));
    for (int64_t i = 1; i <= tokens; i++) {
        g_string_append_printf(text, " t%lld", (long long)i);
    }
    if (!json_get_bool(body, "continue_final_message", false) ||
        so_far == NULL) {
        return g_string_free(text, FALSE);
    }
    rest = g_strdup(text->str + MIN(text->len, strlen(json_get_string(
                                                   so_far, "content", ""))));
    g_string_free(text, TRUE);
    return rest;
}

static struct json_object *
choice(const char *kind, const char *content, bool last)
{
    struct json_object *object = json_object_new_object();
    struct json_object *message = json_object_new_object();

    json_object_object_add(object, "index", json_object_new_int(0));
    if (content != NULL) {
        json_object_object_add(message, "role",
                               json_object_new_string("assistant"));
        json_object_object_add(message, "content",
                               json_object_new_string(content));
    }
    json_object_object_add(object, kind, message);
    json_object_object_add(object, "finish_reason",
                           last ? json_object_new_string("stop") : NULL);
    return object;
}

static struct json_object *
completion(const char *object_type, struct json_object *choice_object)
{
    struct json_object *object = json_object_new_object();
    struct json_object *choices = json_object_new_array();

    json_object_array_add(choices, choice_object);
    json_object_object_add(object, "object",
                           json_object_new_string(object_type));
    json_object_object_add(object, "choices", choices);
    return object;
}

/* Next token: up to and without the next blank. */
static char *
take_token(struct answer *answer)
{
    const char *start = answer->text + answer->text_at;
    const char *end = *start != '\0' ? strchr(start + 1, ' ') : NULL;
    size_t bytes = end != NULL ? (size_t)(end - start) : strlen(start);

    answer->text_at += bytes;
    return g_strndup(start, bytes);
}

static void
format_event(struct answer *answer)
{
    char *token = take_token(answer);
    struct json_object *object;

    if (token[0] == '\0') {
        answer->finished = true;
        answer->pending_bytes = (size_t)snprintf(
            answer->pending, sizeof(answer->pending), "data: [DONE]\n\n");
    }
    else {
        object =
            completion("chat.completion.chunk", choice("delta", token, false));
        answer->pending_bytes = (size_t)snprintf(
            answer->pending, sizeof(answer->pending), "data: %s\n\n",
            json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
        json_object_put(object);
    }
    answer->pending_bytes =
        MIN(answer->pending_bytes, sizeof(answer->pending) - 1);
    answer->pending_sent = 0;
    answer->next_token++;
    g_free(token);
}

static bool
is_cancelled(struct answer *answer)
{
    struct engine_role *engine = answer->engine;
    bool cancelled;

    pthread_mutex_lock(&engine->role.lock);
    cancelled = engine->role.stopping ||
                g_hash_table_contains(engine->cancelled, answer->stream_id);
    pthread_mutex_unlock(&engine->role.lock);
    return cancelled;
}

static ssize_t
read_answer(void *user_data, uint64_t offset, char *buffer, size_t max)
{
    struct answer *answer = user_data;
    size_t bytes;

    (void)offset;
    while (answer->pending_sent == answer->pending_bytes) {
        if (answer->finished) {
            return U_STREAM_END;
        }
        if (is_cancelled(answer)) {
            return U_STREAM_ERROR;
        }
        format_event(answer);
        if (answer->skip_events > 0 && !answer->finished) {
            answer->skip_events--;
            answer->pending_sent = answer->pending_bytes;
            continue;
        }
        role_delay(&answer->engine->role,
                   answer->engine->role.options->token_ms);
    }
    bytes = MIN(max, answer->pending_bytes - answer->pending_sent);
    memcpy(buffer, answer->pending + answer->pending_sent, bytes);
    answer->pending_sent += bytes;
    return (ssize_t)bytes;
}

static void
count_running(struct engine_role *engine, int64_t change)
{
    pthread_mutex_lock(&engine->role.lock);
    engine->running += change;
    pthread_mutex_unlock(&engine->role.lock);
}

static void
free_answer(void *user_data)
{
    struct answer *answer = user_data;

    count_running(answer->engine, -1);
    g_free(answer->text);
    g_free(answer->stream_id);
    g_free(answer);
}

/* Called with the lock held. */
static void
remember_stream(struct engine_role *engine, const char *stream_id)
{
    if (g_hash_table_size(engine->streams) >= STREAMS_MAX) {
        g_hash_table_remove_all(engine->streams);
    }
    g_hash_table_add(engine->streams, g_strdup(stream_id));
}

static void
stream_answer(struct engine_role *engine, const struct _u_request *request,
              struct _u_response *response, struct json_object *body)
{
    const char *stream_id = u_map_get_case(request->map_header, "X-Stream-Id");
    const char *resume = u_map_get_case(request->map_header, "X-Resume-From");
    struct answer *answer;
    bool known;

    stream_id = stream_id != NULL ? stream_id : "";
    pthread_mutex_lock(&engine->role.lock);
    known = g_hash_table_contains(engine->streams, stream_id);
    remember_stream(engine, stream_id);
    pthread_mutex_unlock(&engine->role.lock);
    if (resume != NULL && !known) {
        reply_error(response, 404, "unknown_stream");
        return;
    }
    answer = g_new0(struct answer, 1);
    answer->engine = engine;
    answer->text = answer_text(engine, body);
    answer->stream_id = g_strdup(stream_id);
    answer->skip_events = resume != NULL ? strtoll(resume, NULL, 10) : 0;
    count_running(engine, 1);
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    ulfius_set_stream_response(response, 200, read_answer, free_answer,
                               U_STREAM_SIZE_UNKNOWN, STREAM_CHUNK_BYTES,
                               answer);
}

static void
whole_answer(struct engine_role *engine, struct _u_response *response,
             struct json_object *body)
{
    char *text = answer_text(engine, body);
    int64_t tokens =
        json_get_int64(body, "max_tokens", engine->role.options->tokens);

    count_running(engine, 1);
    role_delay(&engine->role, engine->role.options->token_ms * tokens);
    count_running(engine, -1);
    http_reply_json(
        response, 200,
        completion("chat.completion", choice("message", text, true)));
    g_free(text);
}

static int
post_chat(const struct _u_request *request, struct _u_response *response,
          void *user_data)
{
    struct engine_role *engine = user_data;
    struct err err = {0};
    struct json_object *body = http_body_json(request, &err);
    bool loaded;

    if (body == NULL) {
        reply_error(response, 400, err.text);
        return U_CALLBACK_COMPLETE;
    }
    role_begin_call(&engine->role, request);
    pthread_mutex_lock(&engine->role.lock);
    loaded = g_hash_table_contains(engine->loaded,
                                   json_get_string(body, "model", ""));
    engine->chats += loaded ? 1 : 0;
    pthread_mutex_unlock(&engine->role.lock);
    if (!loaded) {
        reply_error(response, 404, "not_loaded");
    }
    else if (json_get_bool(body, "stream", false)) {
        stream_answer(engine, request, response, body);
    }
    else {
        whole_answer(engine, response, body);
    }
    json_object_put(body);
    return role_end_call(&engine->role, response);
}

/**
 * engine_add_chat() - add the endpoints of chats
 * @engine: the engine
 */
bool
engine_add_chat(struct engine_role *engine)
{
    return role_endpoint(&engine->role, "POST", "/v1/cancel", post_cancel) &&
           role_endpoint(&engine->role, "POST", "/v1/chat/completions",
                         post_chat);
}
