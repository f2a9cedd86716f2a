/**
 * DOC: Chat completions of the simulated engine.
 *
 * Answers in OpenAI's format, streamed or complete. The text depends only on
 * the request, so that a test can check that an answer belongs to its request
 * and is complete after a resume.
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

/* Streamed answer; event is the server-sent event being sent. */
struct answer_stream {
    struct engine_role *engine;
    char *text;
    char *stream_id;
    char event[STREAM_CHUNK_BYTES];
    size_t event_bytes;
    size_t event_sent_bytes;
    int64_t next_token;
    size_t text_offset;
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
    if (g_hash_table_size(engine->cancelled_streams) < STREAMS_MAX) {
        g_hash_table_add(engine->cancelled_streams,
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

/* Complete answer, or the rest of it when the request continues a partial
 * answer. The caller frees it. */
static char *
make_answer_text(struct engine_role *engine, struct json_object *body)
{
    GString *text = g_string_new(NULL);
    struct json_object *partial_message = last_message(body, "assistant");
    int64_t tokens = json_get_int64(body, "max_tokens",
                                    engine->role.options->answer_tokens);
    char *remaining_text;

    g_string_printf(
        text,
        "%s:", json_get_string(last_message(body, "user"), "content", ""));
    for (int64_t i = 1; i <= tokens; i++) {
        g_string_append_printf(text, " t%lld", (long long)i);
    }
    if (!json_get_bool(body, "continue_final_message", false) ||
        partial_message == NULL) {
        return g_string_free(text, FALSE);
    }
    remaining_text =
        g_strdup(text->str +
                 MIN(text->len,
                     strlen(json_get_string(partial_message, "content", ""))));
    g_string_free(text, TRUE);
    return remaining_text;
}

static struct json_object *
make_choice(const char *member_name, const char *content, bool is_last)
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
    json_object_object_add(object, member_name, message);
    json_object_object_add(object, "finish_reason",
                           is_last ? json_object_new_string("stop") : NULL);
    return object;
}

static struct json_object *
make_completion(const char *object_type, struct json_object *choice_object)
{
    struct json_object *object = json_object_new_object();
    struct json_object *choices = json_object_new_array();

    json_object_array_add(choices, choice_object);
    json_object_object_add(object, "object",
                           json_object_new_string(object_type));
    json_object_object_add(object, "choices", choices);
    return object;
}

/* Returns the text up to the next blank, or "" at the end; the caller frees
 * it. */
static char *
read_token(struct answer_stream *answer)
{
    const char *start = answer->text + answer->text_offset;
    const char *end = *start != '\0' ? strchr(start + 1, ' ') : NULL;
    size_t bytes = end != NULL ? (size_t)(end - start) : strlen(start);

    answer->text_offset += bytes;
    return g_strndup(start, bytes);
}

static void
format_next_event(struct answer_stream *answer)
{
    char *token = read_token(answer);
    struct json_object *object;

    if (token[0] == '\0') {
        answer->finished = true;
        answer->event_bytes = (size_t)snprintf(
            answer->event, sizeof(answer->event), "data: [DONE]\n\n");
    }
    else {
        object = make_completion("chat.completion.chunk",
                                 make_choice("delta", token, false));
        answer->event_bytes = (size_t)snprintf(
            answer->event, sizeof(answer->event), "data: %s\n\n",
            json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
        json_object_put(object);
    }
    answer->event_bytes = MIN(answer->event_bytes, sizeof(answer->event) - 1);
    answer->event_sent_bytes = 0;
    answer->next_token++;
    g_free(token);
}

static bool
is_cancelled(struct answer_stream *answer)
{
    struct engine_role *engine = answer->engine;
    bool cancelled;

    pthread_mutex_lock(&engine->role.lock);
    cancelled =
        engine->role.stopping ||
        g_hash_table_contains(engine->cancelled_streams, answer->stream_id);
    pthread_mutex_unlock(&engine->role.lock);
    return cancelled;
}

static ssize_t
read_answer_stream(void *user_data, uint64_t offset, char *buffer, size_t max)
{
    struct answer_stream *answer = user_data;
    size_t bytes;

    (void)offset;
    while (answer->event_sent_bytes == answer->event_bytes) {
        if (answer->finished) {
            return U_STREAM_END;
        }
        if (is_cancelled(answer)) {
            return U_STREAM_ERROR;
        }
        format_next_event(answer);
        if (answer->skip_events > 0 && !answer->finished) {
            answer->skip_events--;
            answer->event_sent_bytes = answer->event_bytes;
            continue;
        }
        role_delay(&answer->engine->role,
                   answer->engine->role.options->token_ms);
    }
    bytes = MIN(max, answer->event_bytes - answer->event_sent_bytes);
    memcpy(buffer, answer->event + answer->event_sent_bytes, bytes);
    answer->event_sent_bytes += bytes;
    return (ssize_t)bytes;
}

static void
add_running(struct engine_role *engine, int64_t change)
{
    pthread_mutex_lock(&engine->role.lock);
    engine->running_requests += change;
    pthread_mutex_unlock(&engine->role.lock);
}

static void
free_answer_stream(void *user_data)
{
    struct answer_stream *answer = user_data;

    add_running(answer->engine, -1);
    g_free(answer->text);
    g_free(answer->stream_id);
    g_free(answer);
}

/* Called with the lock held. */
static void
remember_stream(struct engine_role *engine, const char *stream_id)
{
    if (g_hash_table_size(engine->known_streams) >= STREAMS_MAX) {
        g_hash_table_remove_all(engine->known_streams);
    }
    g_hash_table_add(engine->known_streams, g_strdup(stream_id));
}

static void
send_streamed_answer(struct engine_role *engine,
                     const struct _u_request *request,
                     struct _u_response *response, struct json_object *body)
{
    const char *stream_id = u_map_get_case(request->map_header, "X-Stream-Id");
    const char *resume = u_map_get_case(request->map_header, "X-Resume-From");
    struct answer_stream *answer;
    bool known;

    stream_id = stream_id != NULL ? stream_id : "";
    pthread_mutex_lock(&engine->role.lock);
    known = g_hash_table_contains(engine->known_streams, stream_id);
    remember_stream(engine, stream_id);
    pthread_mutex_unlock(&engine->role.lock);
    if (resume != NULL && !known) {
        reply_error(response, 404, "unknown_stream");
        return;
    }
    answer = g_new0(struct answer_stream, 1);
    answer->engine = engine;
    answer->text = make_answer_text(engine, body);
    answer->stream_id = g_strdup(stream_id);
    answer->skip_events = resume != NULL ? strtoll(resume, NULL, 10) : 0;
    add_running(engine, 1);
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    ulfius_set_stream_response(response, 200, read_answer_stream,
                               free_answer_stream, U_STREAM_SIZE_UNKNOWN,
                               STREAM_CHUNK_BYTES, answer);
}

static void
send_complete_answer(struct engine_role *engine, struct _u_response *response,
                     struct json_object *body)
{
    char *text = make_answer_text(engine, body);
    int64_t tokens = json_get_int64(body, "max_tokens",
                                    engine->role.options->answer_tokens);

    add_running(engine, 1);
    role_delay(&engine->role, engine->role.options->token_ms * tokens);
    add_running(engine, -1);
    http_reply_json(response, 200,
                    make_completion("chat.completion",
                                    make_choice("message", text, true)));
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
    role_begin_request(&engine->role, request);
    pthread_mutex_lock(&engine->role.lock);
    loaded = g_hash_table_contains(engine->loaded,
                                   json_get_string(body, "model", ""));
    engine->chats += loaded ? 1 : 0;
    pthread_mutex_unlock(&engine->role.lock);
    if (role_turn_away(&engine->role, response)) {
        json_object_put(body);
        return role_end_request(&engine->role, response);
    }
    if (!loaded) {
        reply_error(response, 404, "not_loaded");
    }
    else if (json_get_bool(body, "stream", false)) {
        send_streamed_answer(engine, request, response, body);
    }
    else {
        send_complete_answer(engine, response, body);
    }
    json_object_put(body);
    return role_end_request(&engine->role, response);
}

/**
 * engine_add_chat() - add the chat endpoints
 * @engine: the engine
 */
bool
engine_add_chat(struct engine_role *engine)
{
    return role_add_endpoint(&engine->role, "POST", "/v1/cancel",
                             post_cancel) &&
           role_add_endpoint(&engine->role, "POST", "/v1/chat/completions",
                             post_chat);
}
