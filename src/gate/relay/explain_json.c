/**
 * DOC: Query and answer of GET /route on the metrics address.
 */
#include <glib.h>
#include <http_parser.h>
#include <json-c/json.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/choose/dat.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
#include "gate/relay/dat.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"
#include "gate/relay/explain.h"

/* Keeps the sum of two numbers of tokens, and a time added to the present one,
 * within their types. */
enum { NUMBER_MAX = 1000 * 1000 * 1000 };

struct text_parameter {
    const char *name;
    size_t offset;
};

static const struct text_parameter text_parameters[] = {
    {"host", offsetof(struct explain_query, host)},
    {"path", offsetof(struct explain_query, path)},
    {"model", offsetof(struct explain_query, item)},
    {"team", offsetof(struct explain_query, team)},
};

static const struct text_parameter number_parameters[] = {
    {"prompt_tokens", offsetof(struct explain_query, prompt_tokens)},
    {"output_tokens", offsetof(struct explain_query, output_tokens)},
    {"deadline_ms", offsetof(struct explain_query, deadline_ms)},
};

static bool
set_text(struct explain_query *query, const char *name, const char *value)
{
    for (size_t i = 0; i < G_N_ELEMENTS(text_parameters); i++) {
        if (strcmp(text_parameters[i].name, name) == 0) {
            char **text = (char **)((char *)query + text_parameters[i].offset);

            g_free(*text);
            *text = g_strdup(value);
            return true;
        }
    }
    return false;
}

static bool
set_number(struct explain_query *query, const char *name, const char *value,
           struct err *err)
{
    for (size_t i = 0; i < G_N_ELEMENTS(number_parameters); i++) {
        gint64 number = 0;

        if (strcmp(number_parameters[i].name, name) != 0) {
            continue;
        }
        if (!g_ascii_string_to_signed(value, 10, 0, NUMBER_MAX, &number,
                                      NULL)) {
            return err_set(err, ERR_BAD_REQUEST,
                           "%s must be a number from 0 to %d", name,
                           NUMBER_MAX);
        }
        *(int64_t *)((char *)query + number_parameters[i].offset) = number;
        return true;
    }
    return err_set(err, ERR_BAD_REQUEST, "there is no parameter %.64s", name);
}

static bool
read_parameters(GHashTable *parameters, struct explain_query *query,
                struct err *err)
{
    GHashTableIter iter;
    void *name;
    void *value;

    g_hash_table_iter_init(&iter, parameters);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        if (!set_text(query, name, value) &&
            !set_number(query, name, value, err)) {
            return false;
        }
    }
    if (query->host[0] == '\0' || query->path[0] != '/') {
        return err_set(err, ERR_BAD_REQUEST,
                       "host and path are needed; path begins with /");
    }
    if (strlen(query->item) >= TOKEN_MAX_BYTES) {
        return err_set(err, ERR_BAD_REQUEST, "model is longer than %d bytes",
                       TOKEN_MAX_BYTES - 1);
    }
    return true;
}

/**
 * explain_query_read() - read a query string
 * @text: the query string, without "?"
 * @query: filled in; to be released with explain_query_clear() in any case
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_REQUEST when a parameter is unknown, missing or
 * invalid.
 */
bool
explain_query_read(const char *text, struct explain_query *query,
                   struct err *err)
{
    GHashTable *parameters =
        g_uri_parse_params(text, -1, "&", G_URI_PARAMS_NONE, NULL);
    bool valid;

    *query = (struct explain_query){.deadline_ms = -1};
    for (size_t i = 0; i < G_N_ELEMENTS(text_parameters); i++) {
        set_text(query, text_parameters[i].name, "");
    }
    if (parameters == NULL) {
        return err_set(err, ERR_BAD_REQUEST, "the query can't be decoded");
    }
    valid = read_parameters(parameters, query, err);
    g_hash_table_unref(parameters);
    return valid;
}

/**
 * explain_query_clear() - release a query
 * @query: the query
 */
void
explain_query_clear(struct explain_query *query)
{
    g_free(query->host);
    g_free(query->path);
    g_free(query->item);
    g_free(query->team);
}

static const char *const verdict_names[] = {
    [EXPLAIN_SENT] = "sent",
    [EXPLAIN_WAITS] = "waits",
    [EXPLAIN_WAITS_FOR_GRANT] = "waits_for_grant",
    [EXPLAIN_REFUSED] = "refused",
};

static const char *const test_names[] = {
    [TEST_SERVES] = "not_loaded", [TEST_BACKOFF] = "backoff",
    [TEST_CAPACITY] = "capacity", [TEST_MEMORY] = "memory",
    [TEST_PAUSE] = "pause",       [TEST_HOLD_OFF] = "hold_off",
};

static const char *const load_names[] = {
    [LOAD_UNKNOWN] = "unknown",
    [LOAD_EXPECTED] = "expected",
    [LOAD_NOT_EXPECTED] = "not_expected",
};

static const char *const wait_names[] = {
    [WAIT_NONE] = "wait",           [WAIT_NO_LOAD] = "no_load",
    [WAIT_NO_HOLDER] = "no_holder", [WAIT_TOO_LATE] = "too_late",
    [WAIT_OVERLOAD] = "overload",
};

static void
add_text(struct json_object *object, const char *name, const char *text)
{
    json_object_object_add(object, name, json_object_new_string(text));
}

static void
add_number(struct json_object *object, const char *name, int64_t number)
{
    json_object_object_add(object, name, json_object_new_int64(number));
}

static void
add_share(struct json_object *object, const char *name, double share)
{
    char text[32];

    g_ascii_formatd(text, sizeof(text), "%.3f", share);
    json_object_object_add(object, name,
                           json_object_new_double_s(share, text));
}

static void
add_bool(struct json_object *object, const char *name, bool value)
{
    json_object_object_add(object, name, json_object_new_boolean(value));
}

static struct json_object *
format_failed(const struct explained_target *target)
{
    struct json_object *failed = json_object_new_array();

    for (int test = 0; test < TARGET_TEST_COUNT; test++) {
        if (target->failed & (1U << test)) {
            json_object_array_add(
                failed,
                json_object_new_string(test == TEST_SERVES && target->leaving
                                           ? "leaving"
                                           : test_names[test]));
        }
    }
    return failed;
}

static struct json_object *
format_target(const struct explained_target *target)
{
    struct json_object *object = json_object_new_object();

    add_text(object, "target", target->id);
    add_text(object, "address", target->address);
    add_text(object, "data_centre", target->zone);
    add_share(object, "cost", target->cost);
    add_number(object, "running", target->running);
    add_number(object, "slots", target->slots);
    add_number(object, "tokens", target->tokens);
    add_share(object, "interval_ms", target->interval_ms);
    add_share(object, "late_share", target->late_share);
    add_share(object, "failure_rate", target->failure_rate);
    add_number(object, "backoff_ms", target->backoff_ms);
    add_number(object, "pause_ms", target->pause_ms);
    add_bool(object, "missing", target->missing);
    add_bool(object, "chosen", target->chosen);
    json_object_object_add(object, "fails", format_failed(target));
    return object;
}

static struct json_object *
format_targets(const GArray *targets)
{
    struct json_object *array = json_object_new_array();

    for (guint i = 0; i < targets->len; i++) {
        json_object_array_add(
            array, format_target(
                       &g_array_index(targets, struct explained_target, i)));
    }
    return array;
}

static struct json_object *
format_quota(const struct quota_view *quota)
{
    struct json_object *object = json_object_new_object();

    add_number(object, "units", quota->units);
    add_number(object, "left", quota->left);
    add_share(object, "rate_per_s", quota->rate_per_s);
    add_share(object, "burst", quota->burst);
    add_number(object, "waiting", quota->waiting);
    add_number(object, "grant_age_ms", quota->grant_age_ms);
    add_number(object, "room_ms", quota->room_ms);
    return object;
}

static struct json_object *
format_queue(const struct explanation *explanation)
{
    struct json_object *object = json_object_new_object();
    const struct queue_pace *pace = &explanation->pace;

    add_number(object, "length", explanation->queue_waiting_count);
    add_number(object, "ahead", explanation->wait.ahead);
    add_bool(object, "pace_known", pace_is_known(pace));
    add_share(object, "places_per_s",
              pace_is_known(pace) ? pace_places_per_s(pace) : 0.0);
    add_bool(object, "overloaded", pace_is_overloaded(pace));
    return object;
}

static struct json_object *
format_forecast(const struct wait_facts *wait)
{
    struct json_object *object = json_object_new_object();

    add_text(object, "load", load_names[wait->load]);
    add_number(object, "ready_in_ms", wait->ready_in_ms);
    add_number(object, "run_ms", wait->run_ms);
    add_share(object, "late_share", wait->late_share);
    add_number(object, "patience_ms", wait->patience_ms);
    add_number(object, "goal_ms", wait->goal_ms);
    add_bool(object, "all_paused", wait->all_paused);
    add_bool(object, "protected", wait->protected);
    return object;
}

static struct json_object *
format_decision(const struct wait_decision *decision)
{
    struct json_object *object = json_object_new_object();

    add_text(object, "decision", wait_names[decision->reason]);
    add_number(object, "expected_ms", decision->expected_ms);
    return object;
}

static void
add_request(struct json_object *object, const struct explanation *explanation)
{
    add_text(object, "route", explanation->route);
    add_text(object, "service", explanation->service);
    add_text(object, "team", explanation->team);
    add_number(object, "priority", explanation->priority);
    add_number(object, "version", explanation->config_version);
    add_number(object, "left_ms", explanation->left_ms);
    add_number(object, "tokens", explanation->tokens);
    add_number(object, "token_capacity", explanation->token_capacity);
}

static void
add_verdict(struct json_object *object, const struct explanation *explanation)
{
    add_text(object, "verdict", verdict_names[explanation->verdict]);
    if (explanation->verdict == EXPLAIN_SENT) {
        add_text(object, "target", explanation->target);
    }
    if (explanation->verdict == EXPLAIN_REFUSED) {
        add_text(object, "reason", err_info(explanation->refusal)->name);
        add_number(object, "status", explanation->status);
        add_number(object, "retry_ms", explanation->retry_ms);
        add_bool(object, "too_many_tokens", explanation->too_many_tokens);
        add_text(object, "remedy", err_info(explanation->refusal)->remedy);
    }
}

/**
 * explanation_format() - write an explanation as JSON
 * @explanation: the explanation
 *
 * Return: the text; to be freed with g_free().
 */
char *
explanation_format(const struct explanation *explanation)
{
    struct json_object *object = json_object_new_object();
    char *text;

    add_verdict(object, explanation);
    add_request(object, explanation);
    if (explanation->quota.limited) {
        json_object_object_add(object, "quota",
                               format_quota(&explanation->quota));
    }
    if (explanation->has_service) {
        json_object_object_add(object, "queue", format_queue(explanation));
        json_object_object_add(object, "forecast",
                               format_forecast(&explanation->wait));
        json_object_object_add(object, "wait",
                               format_decision(&explanation->decision));
    }
    json_object_object_add(object, "targets",
                           format_targets(explanation->targets));
    text = g_strdup(json_object_to_json_string_ext(
        object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(object);
    return text;
}
