/**
 * DOC: HTTP client for short JSON calls, based on ulfius.
 */
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

enum {
    /* A page of 64 values of 1 MiB, in base64, and its keys. */
    RESPONSE_MAX_BYTES = 96 * 1024 * 1024,
};

/* Returns less than it was given, which ends the call, when the response is
 * longer than any can be. */
static size_t
append_response(void *bytes, size_t size, size_t count, void *data)
{
    GString *body = data;

    if (body->len + size * count > RESPONSE_MAX_BYTES) {
        return 0;
    }
    g_string_append_len(body, bytes, (gssize)(size * count));
    return size * count;
}

/**
 * http_call_text() - make a call and return the response as text
 * @method: HTTP method
 * @url: full URL
 * @headers: name and value pairs, ended by a NULL name; may be NULL
 * @body: text of the JSON body; may be NULL
 * @timeout_s: timeout of the whole call
 * @response: filled in on success; the caller frees its text with g_free()
 * @err: filled in on failure
 *
 * Return: false with ERR_IO when no complete response was received. A success
 * without a body is none: a connection that is closed within the head of a
 * response looks like one.
 */
bool
http_call_text(const char *method, const char *url,
               const char *const headers[][2], const char *body, int timeout_s,
               struct http_response *response, struct err *err)
{
    struct _u_request ulfius_request;
    struct _u_response ulfius_response;
    GString *text = g_string_new(NULL);
    bool done;

    ulfius_init_request(&ulfius_request);
    ulfius_init_response(&ulfius_response);
    ulfius_set_request_properties(
        &ulfius_request, U_OPT_HTTP_VERB, method, U_OPT_HTTP_URL, url,
        U_OPT_TIMEOUT, (unsigned long)timeout_s, U_OPT_HEADER_PARAMETER,
        "Content-Type", "application/json", U_OPT_NONE);
    for (int i = 0; headers != NULL && headers[i][0] != NULL; i++) {
        u_map_put(ulfius_request.map_header, headers[i][0], headers[i][1]);
    }
    if (body != NULL) {
        ulfius_set_string_body_request(&ulfius_request, body);
    }
    done =
        ulfius_send_http_streaming_request(&ulfius_request, &ulfius_response,
                                           append_response, text) == U_OK;
    if (done && text->len == 0 && ulfius_response.status < 300) {
        err_set(err, ERR_IO, "a response without a body from %s", url);
        g_string_free(text, TRUE);
        done = false;
    }
    else if (done) {
        response->status = (int)ulfius_response.status;
        response->bytes = text->len;
        response->text = g_string_free(text, FALSE);
    }
    else {
        err_set(err, ERR_IO, "no complete response from %s", url);
        g_string_free(text, TRUE);
    }
    ulfius_clean_response(&ulfius_response);
    ulfius_clean_request(&ulfius_request);
    return done;
}

/**
 * http_call() - make a call and parse the JSON response
 * @method: HTTP method
 * @url: full URL
 * @headers: name and value pairs, ended by a NULL name; may be NULL
 * @body: text of the JSON body; may be NULL
 * @timeout_s: timeout of the whole call
 * @status: set to the HTTP status code
 * @json: set to the body, which the caller releases with json_object_put(), or
 *        to NULL when the body is empty or isn't JSON; may be NULL
 * @err: filled in on failure
 *
 * Return: false with ERR_IO when no complete response was received.
 */
bool
http_call(const char *method, const char *url, const char *const headers[][2],
          const char *body, int timeout_s, int *status,
          struct json_object **json, struct err *err)
{
    struct http_response response;

    if (!http_call_text(method, url, headers, body, timeout_s, &response,
                        err)) {
        return false;
    }
    *status = response.status;
    if (json != NULL) {
        *json = json_parse(response.text, response.bytes, NULL);
    }
    g_free(response.text);
    return true;
}
