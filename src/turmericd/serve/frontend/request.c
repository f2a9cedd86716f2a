/**
 * DOC: Validates callers' requests and converts them into call requests.
 */
#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/frontend/internal.h"

enum { JSON_DEPTH_MAX = 64 };

static const char services_prefix[] = "/v1/services/";

/* Accepts exactly one JSON object; data after it is an error. */
static struct json_object *
parse_json_object(const struct incoming_request *incoming, struct err *err)
{
    struct json_tokener *tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    struct json_object *object;
    enum json_tokener_error result;

    json_tokener_set_flags(tokener,
                           JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
    object = json_tokener_parse_ex(
        tokener, incoming->body_bytes > 0 ? incoming->body : "",
        (int)incoming->body_bytes);
    result = json_tokener_get_error(tokener);
    if (result == json_tokener_success &&
        json_tokener_get_parse_end(tokener) < incoming->body_bytes) {
        result = json_tokener_error_parse_unexpected;
    }
    json_tokener_free(tokener);
    if (result != json_tokener_success) {
        json_object_put(object);
        err_set(
            err, ERR_BAD_JSON, "body of %zu bytes: %s", incoming->body_bytes,
            result == json_tokener_continue ? "the JSON is incomplete"
                                            : json_tokener_error_desc(result));
        return NULL;
    }
    if (!json_object_is_type(object, json_type_object)) {
        json_object_put(object);
        err_set(err, ERR_BAD_JSON, "the body is not a JSON object");
        return NULL;
    }
    return object;
}

static bool
parse_deadline(const struct incoming_request *incoming,
               const struct node *node, const struct clock_reading *now,
               struct call_request *request, struct err *err)
{
    int64_t wait_ms = node->settings.wait_max_ms;
    char *end = NULL;
    long long requested_ms;

    if (incoming->deadline != NULL) {
        errno = 0;
        requested_ms = strtoll(incoming->deadline, &end, 10);
        if (errno != 0 || end == incoming->deadline || *end != '\0' ||
            requested_ms < 1) {
            return err_set(err, ERR_BAD_REQUEST,
                           "X-Deadline-Ms must be a number of milliseconds "
                           "above 0");
        }
        wait_ms = requested_ms < wait_ms ? requested_ms : wait_ms;
    }
    request->arrival_ms = now->monotonic_ms;
    request->deadline_ms = now->monotonic_ms + wait_ms;
    return true;
}

static bool
parse_content_type(const struct incoming_request *incoming,
                   struct call_request *request, struct err *err)
{
    const char *content_type = incoming->content_type;

    if (content_type == NULL) {
        return true;
    }
    if (strlen(content_type) >= sizeof(request->content_type)) {
        return err_set(err, ERR_BAD_REQUEST,
                       "Content-Type is longer than %zu characters",
                       sizeof(request->content_type) - 1);
    }
    strcpy(request->content_type, content_type);
    return true;
}

static bool
method_modifies_state(const char *method)
{
    return strcmp(method, "POST") == 0 || strcmp(method, "PUT") == 0 ||
           strcmp(method, "PATCH") == 0 || strcmp(method, "DELETE") == 0;
}

/* A call with an Idempotency-Key must run at most once, whatever its method.
 */
static bool
parse_idempotency_key(const struct incoming_request *incoming,
                      const struct node *node, const struct clock_reading *now,
                      struct call_request *request, struct err *err)
{
    const char *key = incoming->idempotency_key;

    request->idempotent = key == NULL;
    if (key == NULL) {
        if (!node->settings.repeatable &&
            method_modifies_state(incoming->method)) {
            return err_set(err, ERR_KEY_MISSING,
                           "service %s requires an Idempotency-Key with %s",
                           node->service, incoming->method);
        }
        return true;
    }
    if (strlen(key) > CLAIM_KEY_MAX_BYTES) {
        return err_set(err, ERR_KEY_BAD,
                       "the key is longer than %d characters",
                       CLAIM_KEY_MAX_BYTES);
    }
    strcpy(request->idempotency_key, key);
    return claim_key_parse(request->service, key, now->wall_ms,
                           &request->claim, err);
}

static bool
copy_body(const struct incoming_request *incoming,
          struct call_request *request, struct err *err)
{
    request->body = malloc(incoming->body_bytes + 1);
    if (request->body == NULL) {
        return err_set(err, ERR_NO_MEMORY, "body of %zu bytes",
                       incoming->body_bytes);
    }
    if (incoming->body_bytes > 0) {
        memcpy(request->body, incoming->body, incoming->body_bytes);
    }
    request->body[incoming->body_bytes] = '\0';
    request->body_bytes = incoming->body_bytes;
    return true;
}

/* Includes the URL because requests to plain services may have no body. */
static uint64_t
request_fingerprint(const struct call_request *request)
{
    uint64_t body_hash = hash_bytes(request->body, request->body_bytes);

    return hash_pair(hash_text(request->service),
                     hash_pair(hash_text(request->url), body_hash));
}

static bool
parse_common_fields(const struct incoming_request *incoming,
                    const struct node *node, const struct clock_reading *now,
                    struct call_request *request, struct err *err)
{
    if (strlen(incoming->method) >= sizeof(request->method)) {
        return err_set(err, ERR_BAD_REQUEST, "unknown method");
    }
    strcpy(request->method, incoming->method);
    if (!parse_content_type(incoming, request, err) ||
        !parse_deadline(incoming, node, now, request, err) ||
        !parse_idempotency_key(incoming, node, now, request, err) ||
        !copy_body(incoming, request, err)) {
        return false;
    }
    request->fingerprint = request_fingerprint(request);
    return true;
}

/* A caller may lower the priority that operators configured, not raise it. */
static bool
parse_priority(struct json_object *body, const struct node *node,
               struct call_request *request, struct err *err)
{
    struct json_object *value;
    int64_t priority = node->settings.priority;
    int64_t requested;

    if (json_object_object_get_ex(body, "priority", &value)) {
        if (!json_object_is_type(value, json_type_int)) {
            return err_set(err, ERR_BAD_REQUEST,
                           "priority must be an integer");
        }
        requested = json_object_get_int64(value);
        requested = requested > 0 ? requested : 0;
        priority = requested < priority ? requested : priority;
    }
    request->priority = (int)priority;
    return true;
}

static const struct node *
parse_model(const struct tree *tree, struct json_object *body,
            struct call_request *request, struct err *err)
{
    struct json_object *value;
    const struct node *node;

    if (!json_object_object_get_ex(body, "model", &value) ||
        !json_object_is_type(value, json_type_string)) {
        err_set(err, ERR_BAD_REQUEST, "the body has no model string");
        return NULL;
    }
    node = tree_leaf(tree, json_object_get_string(value));
    if (node == NULL) {
        err_set(err, ERR_UNKNOWN_MODEL, "no model \"%.100s\" in the tree",
                json_object_get_string(value));
        return NULL;
    }
    request->leaf = node->id;
    memcpy(request->leaf_path, node->path, sizeof(request->leaf_path));
    memcpy(request->service, node->service, sizeof(request->service));
    return node;
}

static bool
parse_chat_body(const struct tree *tree, struct json_object *body,
                const struct incoming_request *incoming,
                const struct clock_reading *now, struct call_request *request,
                struct err *err)
{
    struct json_object *value;
    const struct node *node = parse_model(tree, body, request, err);

    if (node == NULL) {
        return false;
    }
    if (!json_object_object_get_ex(body, "messages", &value) ||
        !json_object_is_type(value, json_type_array)) {
        return err_set(err, ERR_BAD_REQUEST, "the body has no messages array");
    }
    if (json_object_object_get_ex(body, "stream", &value)) {
        if (!json_object_is_type(value, json_type_boolean)) {
            return err_set(err, ERR_BAD_REQUEST, "stream must be a boolean");
        }
        request->stream = json_object_get_boolean(value);
    }
    strcpy(request->url, "/v1/chat/completions");
    return parse_priority(body, node, request, err) &&
           parse_common_fields(incoming, node, now, request, err);
}

/**
 * request_parse_chat() - validate a chat completion request
 * @tree: the tree in force
 * @incoming: the request as received
 * @now: current time
 * @request: filled in; on success the caller frees request->body
 * @err: filled in when the request is refused
 */
bool
request_parse_chat(const struct tree *tree,
                   const struct incoming_request *incoming,
                   const struct clock_reading *now,
                   struct call_request *request, struct err *err)
{
    struct json_object *body = parse_json_object(incoming, err);
    bool parsed;

    memset(request, 0, sizeof(*request));
    if (body == NULL) {
        return false;
    }
    parsed = parse_chat_body(tree, body, incoming, now, request, err);
    json_object_put(body);
    if (parsed && request->content_type[0] == '\0') {
        strcpy(request->content_type, "application/json");
    }
    return parsed;
}

static bool
has_no_space_or_control(const char *url)
{
    for (const char *c = url; *c != '\0'; c++) {
        if ((unsigned char)*c <= ' ' || *c == 0x7f) {
            return false;
        }
    }
    return true;
}

/* Splits /v1/services/NAME/REST into the service and the target's URL. */
static bool
parse_service_url(const struct incoming_request *incoming,
                  struct call_request *request, struct err *err)
{
    const char *path = incoming->url;
    size_t name_bytes;

    if (strncmp(path, services_prefix, sizeof(services_prefix) - 1) != 0) {
        return err_set(err, ERR_NOT_FOUND, "no such path");
    }
    path += sizeof(services_prefix) - 1;
    name_bytes = strcspn(path, "/?");
    if (name_bytes == 0 || name_bytes >= sizeof(request->service)) {
        return err_set(err, ERR_UNKNOWN_SERVICE, "the path names no service");
    }
    memcpy(request->service, path, name_bytes);
    path += name_bytes;
    if (!has_no_space_or_control(path) ||
        strlen(path) + 2 > sizeof(request->url)) {
        return err_set(
            err, ERR_BAD_REQUEST,
            "the path has spaces or control characters or exceeds %d "
            "bytes",
            CALL_URL_MAX_BYTES - 2);
    }
    snprintf(request->url, sizeof(request->url), "%s%s",
             path[0] == '/' ? "" : "/", path);
    return true;
}

/**
 * request_parse_plain() - validate a request to a plain service
 * @tree: the tree in force
 * @incoming: the request as received
 * @now: current time
 * @request: filled in; on success the caller frees request->body
 * @err: filled in when the request is refused
 */
bool
request_parse_plain(const struct tree *tree,
                    const struct incoming_request *incoming,
                    const struct clock_reading *now,
                    struct call_request *request, struct err *err)
{
    const struct node *node;

    memset(request, 0, sizeof(*request));
    if (!parse_service_url(incoming, request, err)) {
        return false;
    }
    node = tree_service(tree, request->service);
    if (node == NULL || node->settings.kind != TARGET_PLAIN) {
        return err_set(err, ERR_UNKNOWN_SERVICE,
                       "no plain service \"%s\" in the tree",
                       request->service);
    }
    request->priority = (int)node->settings.priority;
    return parse_common_fields(incoming, node, now, request, err);
}
