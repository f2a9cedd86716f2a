/**
 * DOC: Ports of the duties that keep state: configuration, claims, placement.
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

/* Members of a data centre that read the key-value service for the others. */
enum { RELAYS = 2 };

static bool
config_relay(struct config_port *port)
{
    struct root *root = ((struct root_config_port *)port)->root;

    return member_rank(root->member, hash_text("config"),
                       root->self.data_centre) < RELAYS;
}

static void
config_share(struct config_port *port, Turmeric__Envelope *envelope)
{
    struct root *root = ((struct root_config_port *)port)->root;

    root_share(root, root->self.data_centre, envelope);
}

static bool
config_send(struct config_port *port, uint64_t member,
            Turmeric__Envelope *envelope)
{
    return root_send(((struct root_config_port *)port)->root, member,
                     envelope);
}

static int
config_members(struct config_port *port, uint64_t *ids, int max)
{
    struct root *root = ((struct root_config_port *)port)->root;
    int count = member_live_ids(root->member, NULL, ids, max);
    int others = 0;

    for (int i = 0; i < count; i++) {
        if (ids[i] != root->self.id) {
            ids[others++] = ids[i];
        }
    }
    return others;
}

static void
config_changed(struct config_port *port, int64_t revision)
{
    struct root *root = ((struct root_config_port *)port)->root;

    member_set_revision(root->member, revision);
}

static bool
is_fresh(struct root *root)
{
    struct config_state state;

    config_read_state(root->config, clock_now_ms(), &state);
    return state.ready && !state.stale;
}

static void
claim_verdict(struct claim_port *port, const struct claim_result *verdict)
{
    struct root *root = ((struct root_claim_port *)port)->root;
    struct err err = {0};

    if (!route_post_claim_result(root->route, verdict, &err)) {
        refusal_add(err.kind);
    }
}

static uint64_t
claim_owner(struct claim_port *port, int shard)
{
    struct root *root = ((struct root_claim_port *)port)->root;

    return member_owner(root->member,
                        hash_pair(hash_text("claim"), (uint64_t)shard));
}

static bool
claim_send(struct claim_port *port, uint64_t member,
           Turmeric__Envelope *envelope)
{
    return root_send(((struct root_claim_port *)port)->root, member, envelope);
}

static bool
claim_fresh(struct claim_port *port)
{
    return is_fresh(((struct root_claim_port *)port)->root);
}

static void
place_placed(struct place_port *port, const struct placement *placement)
{
    struct root *root = ((struct root_place_port *)port)->root;
    struct err err = {0};

    if (!route_post_placement(root->route, placement, &err)) {
        refusal_add(err.kind);
    }
}

static uint64_t
place_owner(struct place_port *port, uint64_t leaf)
{
    return member_owner(((struct root_place_port *)port)->root->member, leaf);
}

static bool
place_send(struct place_port *port, uint64_t member,
           Turmeric__Envelope *envelope)
{
    return root_send(((struct root_place_port *)port)->root, member, envelope);
}

static struct tree *
place_tree(struct place_port *port)
{
    return config_tree_ref(((struct root_place_port *)port)->root->config);
}

static bool
place_fresh(struct place_port *port)
{
    return is_fresh(((struct root_place_port *)port)->root);
}

/* A larger start number means that the earlier process has ended. */
static bool
place_member_alive(struct place_port *port, uint64_t member, uint64_t start)
{
    struct root *root = ((struct root_place_port *)port)->root;
    struct member_info infos[MEMBERS_MAX];
    int count = member_list(root->member, infos, MEMBERS_MAX);

    if (member == root->self.id) {
        return start == root->self.started_ms;
    }
    for (int i = 0; i < count; i++) {
        if (infos[i].id == member && infos[i].started_ms > start) {
            return false;
        }
    }
    return !root_member_gone(root, member);
}

static const struct config_port_ops config_ops = {
    config_relay, config_share, config_send, config_members, config_changed};
static const struct claim_port_ops claim_ops = {claim_verdict, claim_owner,
                                                claim_send, claim_fresh};
static const struct place_port_ops place_ops = {
    place_placed, place_owner, place_send,
    place_tree,   place_fresh, place_member_alive};

/**
 * root_init_state_ports() - set up the ports of config, claim and place
 * @root: the root
 */
void
root_init_state_ports(struct root *root)
{
    root->config_port.port.ops = &config_ops;
    root->config_port.root = root;
    root->claim_port.port.ops = &claim_ops;
    root->claim_port.root = root;
    root->place_port.port.ops = &place_ops;
    root->place_port.root = root;
}
