/**
 * DOC: Operators' HTTP endpoints.
 *
 * Every request is checked for the token first, also one for a path that does
 * not exist, so that nothing is learnt without it.
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
 * struct endpoint - one row of the table of endpoints
 * @method: HTTP method
 * @path: path of the URL
 * @type: content type of the answer
 * @answer: makes the answer; NULL with an error
 */
struct endpoint {
    const char *method;
    const char *path;
    const char *type;
    char *(*answer)(struct desk *desk, const struct _u_request *request,
                    struct err *err);
};

static char *
get_tree(struct desk *desk, const struct _u_request *request, struct err *err)
{
    (void)request;
    return answer_tree(desk->port, err);
}

static char *
get_effective(struct desk *desk, const struct _u_request *request,
              struct err *err)
{
    return answer_effective(desk->port, u_map_get(request->map_url, "node"),
                            err);
}

static char *
post_edit(struct desk *desk, const struct _u_request *request, struct err *err)
{
    const char *body = request->binary_body;

    return answer_edit(desk->port, body == NULL ? "" : body,
                       request->binary_body_length, err);
}

static char *
get_history(struct desk *desk, const struct _u_request *request,
            struct err *err)
{
    return answer_history(desk->port, u_map_get(request->map_url, "after"),
                          u_map_get(request->map_url, "limit"), err);
}

static char *
get_status(struct desk *desk, const struct _u_request *request,
           struct err *err)
{
    (void)request;
    return answer_status(desk->port, desk->settings.name, err);
}

static char *
get_counters(struct desk *desk, const struct _u_request *request,
             struct err *err)
{
    (void)desk;
    (void)request;
    return answer_counters(err);
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
reply(struct _u_response *response, unsigned status, const char *type,
      char *text)
{
    ulfius_set_string_body_response(response, status, text);
    u_map_put(response->map_header, "Content-Type", type);
    free(text);
}

static void
reply_problem(struct _u_response *response, const struct err *err)
{
    const struct err_info *info = err_info(err->kind);

    if (err->kind == ERR_UNAUTHORIZED) {
        u_map_put(response->map_header, "WWW-Authenticate", "Bearer");
    }
    reply(response, (unsigned)info->status, "application/problem+json",
          problem_format(err, info->outcome));
}

static char *
make_answer(struct desk *desk, const struct _u_request *request,
            const char **type, struct err *err)
{
    const struct endpoint *endpoint =
        find_endpoint(request->http_verb, request->url_path);

    if (!token_matches(desk->token,
                       u_map_get_case(request->map_header, "Authorization"))) {
        err_set(err, ERR_UNAUTHORIZED, "the token is missing or wrong");
        return NULL;
    }
    if (endpoint == NULL) {
        err_set(err, ERR_NOT_FOUND, "no endpoint %.20s %.150s",
                request->http_verb, request->url_path);
        return NULL;
    }
    *type = endpoint->type;
    return endpoint->answer(desk, request, err);
}

static int
handle(const struct _u_request *request, struct _u_response *response,
       void *user_data)
{
    struct err err = {0};
    const char *type = NULL;
    char *text = make_answer(user_data, request, &type, &err);

    if (text != NULL) {
        reply(response, 200, type, text);
    }
    else {
        reply_problem(response, &err);
    }
    return U_CALLBACK_COMPLETE;
}

/**
 * endpoints_add() - add the handler to a server
 * @instance: the server
 * @desk: the duty
 */
bool
endpoints_add(struct _u_instance *instance, struct desk *desk)
{
    return ulfius_set_default_endpoint(instance, handle, desk) == U_OK;
}
