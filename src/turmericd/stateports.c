/**
 * DOC: Ports of the duties that keep state in the key-value store: config,
 * claim and place.
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

/* Number of members that poll the key-value store on behalf of their data
 * centre. */
enum { CONFIG_RELAYS = 2 };

static bool
config_port_is_relay(struct config_port *port)
{
    struct root *root = ((struct root_config_port *)port)->root;

    return member_rank(root->member, hash_text("config"),
                       root->self.data_centre) < CONFIG_RELAYS;
}

static void
config_port_broadcast(struct config_port *port, Turmeric__Envelope *envelope)
{
    struct root *root = ((struct root_config_port *)port)->root;

    root_broadcast(root, root->self.data_centre, envelope);
}

static bool
config_port_send(struct config_port *port, uint64_t member,
                 Turmeric__Envelope *envelope)
{
    return root_send(((struct root_config_port *)port)->root, member,
                     envelope);
}

static int
config_port_list_members(struct config_port *port, uint64_t *ids, int max)
{
    struct root *root = ((struct root_config_port *)port)->root;
    int count = member_live_ids(root->member, NULL, ids, max);
    int other_count = 0;

    for (int i = 0; i < count; i++) {
        if (ids[i] != root->self.id) {
            ids[other_count++] = ids[i];
        }
    }
    return other_count;
}

static void
config_port_revision_changed(struct config_port *port, int64_t revision)
{
    struct root *root = ((struct root_config_port *)port)->root;

    member_set_revision(root->member, revision);
}

static bool
config_is_fresh(struct root *root)
{
    struct config_state state;

    config_read_state(root->config, clock_now_ms(), &state);
    return state.ready && !state.stale;
}

static void
claim_port_report_result(struct claim_port *port,
                         const struct claim_result *result)
{
    struct root *root = ((struct root_claim_port *)port)->root;
    struct err err = {0};

    if (!route_post_claim_result(root->route, result, &err)) {
        refusal_add(err.kind);
    }
}

static uint64_t
claim_port_shard_owner(struct claim_port *port, int shard)
{
    struct root *root = ((struct root_claim_port *)port)->root;

    return member_owner(root->member,
                        hash_pair(hash_text("claim"), (uint64_t)shard));
}

static bool
claim_port_send(struct claim_port *port, uint64_t member,
                Turmeric__Envelope *envelope)
{
    return root_send(((struct root_claim_port *)port)->root, member, envelope);
}

static bool
claim_port_config_fresh(struct claim_port *port)
{
    return config_is_fresh(((struct root_claim_port *)port)->root);
}

static void
place_port_report_placement(struct place_port *port,
                            const struct placement *placement)
{
    struct root *root = ((struct root_place_port *)port)->root;
    struct err err = {0};

    if (!route_post_placement(root->route, placement, &err)) {
        refusal_add(err.kind);
    }
}

static uint64_t
place_port_owner(struct place_port *port, uint64_t leaf)
{
    return member_owner(((struct root_place_port *)port)->root->member, leaf);
}

static bool
place_port_send(struct place_port *port, uint64_t member,
                Turmeric__Envelope *envelope)
{
    return root_send(((struct root_place_port *)port)->root, member, envelope);
}

static struct tree *
place_port_tree_ref(struct place_port *port)
{
    return config_tree_ref(((struct root_place_port *)port)->root->config);
}

static bool
place_port_config_fresh(struct place_port *port)
{
    return config_is_fresh(((struct root_place_port *)port)->root);
}

/* A later start time under the same id means that the process which started at
 * @started_ms has ended. */
static bool
place_port_member_alive(struct place_port *port, uint64_t member,
                        uint64_t started_ms)
{
    struct root *root = ((struct root_place_port *)port)->root;
    struct member_info infos[MEMBERS_MAX];
    int count = member_list(root->member, infos, MEMBERS_MAX);

    if (member == root->self.id) {
        return started_ms == root->self.started_ms;
    }
    for (int i = 0; i < count; i++) {
        if (infos[i].id == member && infos[i].started_ms > started_ms) {
            return false;
        }
    }
    return !root_instance_gone(root, member);
}

static const struct config_port_ops config_ops = {
    config_port_is_relay, config_port_broadcast, config_port_send,
    config_port_list_members, config_port_revision_changed};
static const struct claim_port_ops claim_ops = {
    claim_port_report_result, claim_port_shard_owner, claim_port_send,
    claim_port_config_fresh};
static const struct place_port_ops place_ops = {place_port_report_placement,
                                                place_port_owner,
                                                place_port_send,
                                                place_port_tree_ref,
                                                place_port_config_fresh,
                                                place_port_member_alive};

/**
 * root_init_state_ports() - initialize the ports of config, claim and place
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
