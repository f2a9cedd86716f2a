/**
 * DOC: Ports of the duties that serve callers and operators.
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
route_attempt(struct route_port *port, const struct attempt *attempt,
              struct err *err)
{
    struct root *root = ((struct root_route_port *)port)->root;

    return forward_post_attempt(root->forward, attempt, err);
}

static bool
route_want(struct route_port *port, const struct load_request *want,
           struct err *err)
{
    struct root *root = ((struct root_route_port *)port)->root;

    return place_post_load_request(root->place, want, err);
}

static void
route_use(struct route_port *port, uint64_t leaf)
{
    struct root *root = ((struct root_route_port *)port)->root;
    struct err err = {0};

    if (!place_post_use(root->place, leaf, &err)) {
        refusal_add(err.kind);
    }
}

static bool
route_claim(struct route_port *port, const struct claim_request *request,
            struct err *err)
{
    struct root *root = ((struct root_route_port *)port)->root;

    return claim_post_request(root->claim, request, err);
}

static void
route_release(struct route_port *port, const struct claim_request *request)
{
    struct root *root = ((struct root_route_port *)port)->root;
    struct err err = {0};

    if (!claim_post_release(root->claim, request, &err)) {
        refusal_add(err.kind);
    }
}

static void
route_strike(struct route_port *port, uint64_t fingerprint, uint64_t target,
             uint64_t incarnation)
{
    struct root *root = ((struct root_route_port *)port)->root;
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Strike strike = TURMERIC__STRIKE__INIT;

    strike.fingerprint = fingerprint;
    strike.target = target;
    strike.incarnation = incarnation;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_STRIKE;
    envelope.strike = &strike;
    root_share(root, NULL, &envelope);
}

static struct tree *
route_tree(struct route_port *port)
{
    return config_tree_ref(((struct root_route_port *)port)->root->config);
}

static void
route_state(struct route_port *port, struct config_state *state)
{
    config_read_state(((struct root_route_port *)port)->root->config,
                      clock_now_ms(), state);
}

static void
forward_done(struct forward_port *port, const struct attempt_result *result)
{
    struct root *root = ((struct root_forward_port *)port)->root;
    struct err err = {0};

    if (!route_post_result(root->route, result, &err)) {
        refusal_add(err.kind);
    }
}

static bool
front_submit(struct frontend_port *port, struct handle call, struct err *err)
{
    return route_post_call(((struct root_front_port *)port)->root->route, call,
                           err);
}

static struct tree *
front_tree(struct frontend_port *port)
{
    return config_tree_ref(((struct root_front_port *)port)->root->config);
}

static int
front_members(struct frontend_port *port, struct member_info *infos, int max)
{
    struct root *root = ((struct root_front_port *)port)->root;
    int count = member_list(root->member, infos, max);
    int usable = 0;

    for (int i = 0; i < count; i++) {
        if (infos[i].state == MEMBER_ALIVE) {
            infos[usable++] = infos[i];
        }
    }
    return usable;
}

static void
front_leave(struct frontend_port *port)
{
    member_announce_leaving(((struct root_front_port *)port)->root->member);
}

static struct tree *
desk_tree(struct operator_api_port *port)
{
    return config_tree_ref(((struct root_desk_port *)port)->root->config);
}

static void
desk_state(struct operator_api_port *port, struct config_state *state)
{
    config_read_state(((struct root_desk_port *)port)->root->config,
                      clock_now_ms(), state);
}

static bool
desk_edit(struct operator_api_port *port, const struct edit *edit,
          int64_t *revision, struct err *err)
{
    return config_edit(((struct root_desk_port *)port)->root->config, edit,
                       clock_now_ms(), revision, err);
}

static char *
desk_history(struct operator_api_port *port, int64_t after, int limit,
             struct err *err)
{
    return config_history(((struct root_desk_port *)port)->root->config, after,
                          limit, err);
}

static int
desk_members(struct operator_api_port *port, struct member_info *infos,
             int max)
{
    return member_list(((struct root_desk_port *)port)->root->member, infos,
                       max);
}

static char *
desk_status(struct operator_api_port *port)
{
    struct root *root = ((struct root_desk_port *)port)->root;
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
    route_attempt, route_want,   route_use,  route_claim,
    route_release, route_strike, route_tree, route_state};
static const struct forward_port_ops forward_ops = {forward_done};
static const struct frontend_port_ops front_ops = {front_submit, front_tree,
                                                   front_members, front_leave};
static const struct operator_api_port_ops desk_ops = {
    desk_tree, desk_state, desk_edit, desk_history, desk_members, desk_status};

/**
 * root_init_serve_ports() - set up the ports of route, forward, front, desk
 * @root: the root
 */
void
root_init_serve_ports(struct root *root)
{
    root->route_port.port.ops = &route_ops;
    root->route_port.root = root;
    root->forward_port.port.ops = &forward_ops;
    root->forward_port.root = root;
    root->front_port.port.ops = &front_ops;
    root->front_port.root = root;
    root->desk_port.port.ops = &desk_ops;
    root->desk_port.root = root;
}
