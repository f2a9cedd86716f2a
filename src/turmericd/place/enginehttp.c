/**
 * DOC: Orders to engines over HTTP.
 *
 * Only a JSON body is an engine's response: with status 200 a success, with an
 * error status a definite refusal. After anything else it is unknown whether
 * the engine executes the order. Each order has a connection of its own.
 */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"

enum {
    HTTP_OK = 200,
    HTTP_NOT_FOUND = 404,
    HTTP_CONFLICT = 409,
    URL_MAX_BYTES = 160,
    ERROR_TEXT_MAX = 120,
    /* Responses are short objects; a longer one is no response of an engine.
     */
    RESPONSE_MAX_BYTES = 64 * 1024,
};

/**
 * struct engine_http - engine_api over HTTP
 * @api: first member
 * @timeout_ms: timeout of a call
 */
struct engine_http {
    struct engine_api api;
    int timeout_ms;
};

/* Engines name a leaf by its path without the leading slash. */
static char *
order_body(const char *path, int64_t memory_mb, uint64_t fence)
{
    struct json_object *root = json_object_new_object();
    char *text;

    json_object_object_add(root, "model", json_object_new_string(path + 1));
    if (memory_mb > 0) {
        json_object_object_add(root, "memory_mb",
                               json_object_new_int64(memory_mb));
    }
    json_object_object_add(root, "fence",
                           json_object_new_int64((int64_t)fence));
    text = g_strdup(json_object_to_json_string_ext(
        root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
    json_object_put(root);
    return text;
}

/* Copies "error" from the body; returns false unless the body is an object. */
static bool
copy_error(const char *body, char *text, size_t bytes)
{
    struct json_object *root = json_tokener_parse(body);
    struct json_object *error;
    bool ok = json_object_is_type(root, json_type_object);

    text[0] = '\0';
    if (ok && json_object_object_get_ex(root, "error", &error) &&
        json_object_is_type(error, json_type_string)) {
        g_strlcpy(text, json_object_get_string(error), bytes);
    }
    json_object_put(root);
    return ok;
}

static bool
check_response(long status, const char *body, const char *url,
               bool not_found_is_success, struct err *err)
{
    char error[ERROR_TEXT_MAX];

    if ((status != HTTP_OK && status < 400) ||
        !copy_error(body, error, sizeof(error))) {
        return err_set(err, ERR_IO, "%s: unexpected status %ld or body", url,
                       status);
    }
    if (status == HTTP_OK) {
        return true;
    }
    if (status == HTTP_NOT_FOUND && not_found_is_success) {
        return true;
    }
    if (status == HTTP_CONFLICT && strcmp(error, "fence_old") == 0) {
        return err_set(err, ERR_FENCE_OLD, "%s: engine rejected the fence",
                       url);
    }
    return err_set(err, ERR_LOAD_FAILED, "%s: status %ld: %s", url, status,
                   error);
}

/* Returns less than @size * @count, which ends the transfer, when the body is
 * longer than a response can be. */
static size_t
append_body(char *bytes, size_t size, size_t count, void *data)
{
    GString *body = data;

    if (body->len + size * count > RESPONSE_MAX_BYTES) {
        return 0;
    }
    g_string_append_len(body, bytes, (gssize)(size * count));
    return size * count;
}

static CURLcode
perform_post(const char *url, const char *order, int timeout_ms, GString *body,
             struct http_head *head, long *status)
{
    CURL *curl = curl_easy_init();
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    CURLcode code;

    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, order);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, http_head_receive);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, head);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
    code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    return code;
}

static bool
post_order(const struct engine_http *http, const char *url, const char *order,
           bool not_found_is_success, struct err *err)
{
    GString *body = g_string_new(NULL);
    struct http_head head = {.fault = NULL};
    long status = 0;
    CURLcode code =
        perform_post(url, order, http->timeout_ms, body, &head, &status);
    bool ok;

    if (code == CURLE_OK && http_head_check_end(&head)) {
        ok = check_response(status, body->str, url, not_found_is_success, err);
    }
    else if (code == CURLE_OPERATION_TIMEDOUT) {
        ok = err_set(err, ERR_TIMEOUT, "%s: no response within %d ms", url,
                     http->timeout_ms);
    }
    else {
        ok = err_set(err, ERR_IO, "%s: no usable response: %s", url,
                     head.fault != NULL ? head.fault
                                        : curl_easy_strerror(code));
    }
    g_string_free(body, TRUE);
    return ok;
}

static bool
send_order(struct engine_api *api, const char *address, const char *verb,
           const char *path, int64_t memory_mb, uint64_t fence,
           struct err *err)
{
    char url[URL_MAX_BYTES];
    char *body = order_body(path, memory_mb, fence);
    bool ok;

    snprintf(url, sizeof(url), "http://%s/v1/%s", address, verb);
    ok = post_order((const struct engine_http *)api, url, body, memory_mb == 0,
                    err);
    g_free(body);
    return ok;
}

static bool
http_load(struct engine_api *api, const char *address, const char *path,
          int64_t memory_mb, uint64_t fence, struct err *err)
{
    return send_order(api, address, "load", path, memory_mb, fence, err);
}

static bool
http_unload(struct engine_api *api, const char *address, const char *path,
            uint64_t fence, struct err *err)
{
    return send_order(api, address, "unload", path, 0, fence, err);
}

static const struct engine_api_ops http_ops = {http_load, http_unload};

/**
 * engine_http_new() - create an engine API over HTTP
 * @load_timeout_ms: timeout of a load or unload
 *
 * Return: to be released with engine_http_free().
 */
struct engine_api *
engine_http_new(int load_timeout_ms)
{
    struct engine_http *http = g_new0(struct engine_http, 1);

    http->api.ops = &http_ops;
    http->timeout_ms = load_timeout_ms;
    return &http->api;
}

/**
 * engine_http_free() - release an engine API made by engine_http_new()
 * @api: may be NULL
 */
void
engine_http_free(struct engine_api *api)
{
    g_free(api);
}
