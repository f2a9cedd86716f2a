/**
 * DOC: Short HTTP calls that answer with JSON, by ulfius.
 */
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

/**
 * http_call_text() - make a call and read its answer as text
 * @method: HTTP method
 * @url: full URL
 * @headers: name and value pairs, ended by a NULL name; may be NULL
 * @body: text of the JSON body; may be NULL
 * @timeout_s: longest time of the call
 * @answer: filled in; its text is freed with g_free()
 * @err: filled in on failure
 *
 * Return: false with ERR_IO when no whole answer came.
 */
bool
http_call_text(const char *method, const char *url,
               const char *const headers[][2], const char *body, int timeout_s,
               struct http_response *answer, struct err *err)
{
    struct _u_request request;
    struct _u_response response;
    bool done;

    ulfius_init_request(&request);
    ulfius_init_response(&response);
    ulfius_set_request_properties(
        &request, U_OPT_HTTP_VERB, method, U_OPT_HTTP_URL, url, U_OPT_TIMEOUT,
        (unsigned long)timeout_s, U_OPT_HEADER_PARAMETER, "Content-Type",
        "application/json", U_OPT_NONE);
    for (int i = 0; headers != NULL && headers[i][0] != NULL; i++) {
        u_map_put(request.map_header, headers[i][0], headers[i][1]);
    }
    if (body != NULL) {
        ulfius_set_string_body_request(&request, body);
    }
    done = ulfius_send_http_request(&request, &response) == U_OK;
    if (done) {
        answer->status = (int)response.status;
        answer->bytes = response.binary_body_length;
        answer->text = g_malloc0(answer->bytes + 1);
        if (answer->bytes > 0) {
            memcpy(answer->text, response.binary_body, answer->bytes);
        }
    }
    else {
        err_set(err, ERR_IO, "no answer from %s", url);
    }
    ulfius_clean_response(&response);
    ulfius_clean_request(&request);
    return done;
}

/**
 * http_call() - make a call and read its JSON answer
 * @method: HTTP method
 * @url: full URL
 * @headers: name and value pairs, ended by a NULL name; may be NULL
 * @body: text of the JSON body; may be NULL
 * @timeout_s: longest time of the call
 * @status: set to the HTTP status
 * @json: set to the answer, which the caller puts; NULL when the body is
 *        empty or no JSON. May be NULL.
 * @err: filled in on failure
 *
 * Return: false with ERR_IO when no whole answer came.
 */
bool
http_call(const char *method, const char *url, const char *const headers[][2],
          const char *body, int timeout_s, int *status,
          struct json_object **json, struct err *err)
{
    struct http_response answer;

    if (!http_call_text(method, url, headers, body, timeout_s, &answer, err)) {
        return false;
    }
    *status = answer.status;
    if (json != NULL) {
        *json = json_parse(answer.text, answer.bytes, NULL);
    }
    g_free(answer.text);
    return true;
}
