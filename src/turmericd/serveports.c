/**
 * DOC: Ports of the duties that serve callers and operators: route, forward,
 * frontend and operator API.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/member/fns.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/fns.h"
#include "turmericd/serve/forward/dat.h"
#include "turmericd/serve/forward/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/fns.h"
#include "turmericd/dat.h"
#include "turmericd/fns.h"

static bool
route_port_start_attempt(struct route_port *port,
                         const struct attempt *attempt, struct err *err)
{
    struct root *root = ((struct root_route_port *)port)->root;

    return forward_post_attempt(root->forward, attempt, err);
}

static bool
route_port_request_load(struct route_port *port,
                        const struct load_request *request, struct err *err)
{
    struct root *root = ((struct root_route_port *)port)->root;

    return place_post_load_request(root->place, request, err);
}

static void
route_port_report_use(struct route_port *port, uint64_t leaf)
{
    struct root *root = ((struct root_route_port *)port)->root;
    struct err err = {0};

    if (!place_post_use(root->place, leaf, &err)) {
        refusal_add(err.kind);
    }
}

static bool
route_port_request_claim(struct route_port *port,
                         const struct claim_request *request, struct err *err)
{
    struct root *root = ((struct root_route_port *)port)->root;

    return claim_post_request(root->claim, request, err);
}

static void
route_port_release_claim(struct route_port *port,
                         const struct claim_request *request)
{
    struct root *root = ((struct root_route_port *)port)->root;
    struct err err = {0};

    if (!claim_post_release(root->claim, request, &err)) {
        refusal_add(err.kind);
    }
}

static void
route_port_broadcast_strike(struct route_port *port, uint64_t fingerprint,
                            uint64_t target, uint64_t incarnation)
{
    struct root *root = ((struct root_route_port *)port)->root;
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Strike strike = TURMERIC__STRIKE__INIT;

    strike.fingerprint = fingerprint;
    strike.target = target;
    strike.incarnation = incarnation;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_STRIKE;
    envelope.strike = &strike;
    root_broadcast(root, NULL, &envelope);
}

static struct tree *
route_port_tree_ref(struct route_port *port)
{
    return config_tree_ref(((struct root_route_port *)port)->root->config);
}

static void
route_port_get_config_state(struct route_port *port,
                            struct config_state *state)
{
    config_read_state(((struct root_route_port *)port)->root->config,
                      clock_now_ms(), state);
}

static void
forward_port_report_result(struct forward_port *port,
                           const struct attempt_result *result)
{
    struct root *root = ((struct root_forward_port *)port)->root;
    struct err err = {0};

    if (!route_post_result(root->route, result, &err)) {
        refusal_add(err.kind);
    }
}

static void
forward_port_report_notice(struct forward_port *port,
                           const struct target_notice *notice)
{
    struct root *root = ((struct root_forward_port *)port)->root;
    struct err err = {0};

    if (notice->leaving && !observe_post_leaving(root->observe, notice->target,
                                                 notice->heard_ms, &err)) {
        refusal_add(err.kind);
    }
    if (notice->holds_off && !route_post_notice(root->route, notice, &err)) {
        refusal_add(err.kind);
    }
}

static bool
frontend_port_submit(struct frontend_port *port, struct handle call,
                     struct err *err)
{
    return route_post_call(((struct root_frontend_port *)port)->root->route,
                           call, err);
}

static struct tree *
frontend_port_tree_ref(struct frontend_port *port)
{
    return config_tree_ref(((struct root_frontend_port *)port)->root->config);
}

static int
frontend_port_list_members(struct frontend_port *port,
                           struct member_info *infos, int max)
{
    struct root *root = ((struct root_frontend_port *)port)->root;
    int count = member_list(root->member, infos, max);
    int alive_count = 0;

    for (int i = 0; i < count; i++) {
        if (infos[i].state == MEMBER_ALIVE) {
            infos[alive_count++] = infos[i];
        }
    }
    return alive_count;
}

static void
frontend_port_announce_drain(struct frontend_port *port)
{
    member_announce_leaving(((struct root_frontend_port *)port)->root->member);
}

static struct tree *
operator_api_port_tree_ref(struct operator_api_port *port)
{
    return config_tree_ref(
        ((struct root_operator_api_port *)port)->root->config);
}

static void
operator_api_port_get_config_state(struct operator_api_port *port,
                                   struct config_state *state)
{
    config_read_state(((struct root_operator_api_port *)port)->root->config,
                      clock_now_ms(), state);
}

static bool
operator_api_port_apply_edit(struct operator_api_port *port,
                             const struct edit *edit, int64_t *revision,
                             struct err *err)
{
    return config_edit(((struct root_operator_api_port *)port)->root->config,
                       edit, clock_now_ms(), revision, err);
}

static char *
operator_api_port_list_history(struct operator_api_port *port, int64_t after,
                               int limit, struct err *err)
{
    return config_history(
        ((struct root_operator_api_port *)port)->root->config, after, limit,
        err);
}

static int
operator_api_port_list_members(struct operator_api_port *port,
                               struct member_info *infos, int max)
{
    return member_list(((struct root_operator_api_port *)port)->root->member,
                       infos, max);
}

static char *
operator_api_port_get_status(struct operator_api_port *port)
{
    struct root *root = ((struct root_operator_api_port *)port)->root;
    struct json_object *object = json_object_new_object();
    char *text;

    json_object_object_add(object, "calls_open",
                           json_object_new_int64(calls_count(root->calls)));
    json_object_object_add(
        object, "start",
        json_object_new_int64((int64_t)root->self.started_ms));
    text = strdup(json_object_to_json_string(object));
    json_object_put(object);
    return text;
}

static const struct route_port_ops route_ops = {
    route_port_start_attempt, route_port_request_load,
    route_port_report_use,    route_port_request_claim,
    route_port_release_claim, route_port_broadcast_strike,
    route_port_tree_ref,      route_port_get_config_state};
static const struct forward_port_ops forward_ops = {
    forward_port_report_result, forward_port_report_notice};
static const struct frontend_port_ops frontend_ops = {
    frontend_port_submit, frontend_port_tree_ref, frontend_port_list_members,
    frontend_port_announce_drain};
static const struct operator_api_port_ops operator_api_ops = {
    operator_api_port_tree_ref,     operator_api_port_get_config_state,
    operator_api_port_apply_edit,   operator_api_port_list_history,
    operator_api_port_list_members, operator_api_port_get_status};

/**
 * root_init_serve_ports() - initialize the ports of the serve duties
 * @root: the root
 */
void
root_init_serve_ports(struct root *root)
{
    root->route_port.port.ops = &route_ops;
    root->route_port.root = root;
    root->forward_port.port.ops = &forward_ops;
    root->forward_port.root = root;
    root->frontend_port.port.ops = &frontend_ops;
    root->frontend_port.root = root;
    root->operator_api_port.port.ops = &operator_api_ops;
    root->operator_api_port.root = root;
}
