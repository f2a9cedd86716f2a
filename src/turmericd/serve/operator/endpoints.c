/**
 * DOC: HTTP endpoints of the operator API.
 *
 * The token is checked before the path, so that a client without the token
 * can't find out which paths exist.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/internal.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"

/**
 * struct endpoint - an entry of the endpoint table
 * @method: HTTP method
 * @path: path of the URL
 * @content_type: content type of a successful response
 * @handler: returns the response body, or NULL with err set
 */
struct endpoint {
    const char *method;
    const char *path;
    const char *content_type;
    char *(*handler)(struct operator_api *api,
                     const struct _u_request *request, struct err *err);
};

static char *
get_tree(struct operator_api *api, const struct _u_request *request,
         struct err *err)
{
    (void)request;
    return operator_get_tree(api->port, err);
}

static char *
get_effective(struct operator_api *api, const struct _u_request *request,
              struct err *err)
{
    return operator_get_effective(api->port,
                                  u_map_get(request->map_url, "node"), err);
}

static char *
post_edit(struct operator_api *api, const struct _u_request *request,
          struct err *err)
{
    const char *body = request->binary_body;

    return operator_post_edit(api->port, body == NULL ? "" : body,
                              request->binary_body_length, err);
}

static char *
get_history(struct operator_api *api, const struct _u_request *request,
            struct err *err)
{
    return operator_get_history(api->port,
                                u_map_get(request->map_url, "after"),
                                u_map_get(request->map_url, "limit"), err);
}

static char *
get_status(struct operator_api *api, const struct _u_request *request,
           struct err *err)
{
    (void)request;
    return operator_get_status(api->port, api->settings.name, err);
}

static char *
get_counters(struct operator_api *api, const struct _u_request *request,
             struct err *err)
{
    (void)api;
    (void)request;
    return operator_get_counters(err);
}

static const struct endpoint endpoints[] = {
    {"GET", "/operator/v1/tree", "application/json", get_tree},
    {"GET", "/operator/v1/effective", "application/json", get_effective},
    {"POST", "/operator/v1/edits", "application/json", post_edit},
    {"GET", "/operator/v1/history", "application/json", get_history},
    {"GET", "/operator/v1/status", "application/json", get_status},
    {"GET", "/operator/v1/counters", "text/plain", get_counters},
};

static const struct endpoint *
find_endpoint(const char *method, const char *path)
{
    for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++) {
        if (strcmp(endpoints[i].method, method) == 0 &&
            strcmp(endpoints[i].path, path) == 0) {
            return &endpoints[i];
        }
    }
    return NULL;
}

static void
send_body(struct _u_response *response, unsigned status,
          const char *content_type, char *body)
{
    ulfius_set_string_body_response(response, status, body);
    u_map_put(response->map_header, "Content-Type", content_type);
    free(body);
}

static void
send_problem(struct _u_response *response, const struct err *err)
{
    const struct err_info *info = err_info(err->kind);

    if (err->kind == ERR_UNAUTHORIZED) {
        u_map_put(response->map_header, "WWW-Authenticate", "Bearer");
    }
    send_body(response, (unsigned)info->status, "application/problem+json",
              problem_format(err, info->outcome));
}

static char *
dispatch_request(struct operator_api *api, const struct _u_request *request,
                 const char **content_type, struct err *err)
{
    const struct endpoint *endpoint =
        find_endpoint(request->http_verb, request->url_path);

    if (!operator_token_matches(api->token, u_map_get_case(request->map_header,
                                                           "Authorization"))) {
        err_set(err, ERR_UNAUTHORIZED, "the token is missing or wrong");
        return NULL;
    }
    if (endpoint == NULL) {
        err_set(err, ERR_NOT_FOUND, "no endpoint %.20s %.150s",
                request->http_verb, request->url_path);
        return NULL;
    }
    *content_type = endpoint->content_type;
    return endpoint->handler(api, request, err);
}

static int
on_request(const struct _u_request *request, struct _u_response *response,
           void *user_data)
{
    struct err err = {0};
    const char *content_type = NULL;
    char *text = dispatch_request(user_data, request, &content_type, &err);

    if (text != NULL) {
        send_body(response, 200, content_type, text);
    }
    else {
        send_problem(response, &err);
    }
    return U_CALLBACK_COMPLETE;
}

/**
 * operator_add_endpoints() - register the request handler with a server
 * @instance: ulfius server
 * @api: the duty
 *
 * Return: false when the handler could not be added.
 */
bool
operator_add_endpoints(struct _u_instance *instance, struct operator_api *api)
{
    return ulfius_set_default_endpoint(instance, on_request, api) == U_OK;
}
