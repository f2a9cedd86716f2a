/**
 * DOC: Ports of the fleet duties: peer, member and observe.
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

/* With at most this many live members, target reports go to the members of all
 * data centres; with more, only to those of the data centre given. */
enum { BROADCAST_ALL_MEMBERS_MAX = 32 };

/**
 * root_send() - send a message to one member
 * @root: the root
 * @member: id of the recipient
 * @envelope: the message; the caller keeps ownership
 *
 * Return: false when the message was not queued; peer_send() has counted it.
 */
bool
root_send(struct root *root, uint64_t member, Turmeric__Envelope *envelope)
{
    return peer_send(root->peer, member, envelope, NULL);
}

/**
 * root_broadcast() - send a message to the other members of a data centre
 * @root: the root
 * @data_centre: name of the data centre; NULL for all of them
 * @envelope: the message; the caller keeps ownership
 */
void
root_broadcast(struct root *root, const char *data_centre,
               Turmeric__Envelope *envelope)
{
    uint64_t ids[MEMBERS_MAX];
    int count = member_live_ids(root->member, data_centre, ids, MEMBERS_MAX);

    for (int i = 0; i < count; i++) {
        if (ids[i] != root->self.id) {
            root_send(root, ids[i], envelope);
        }
    }
}

static void
peer_port_deliver(struct peer_port *port, Turmeric__Envelope *envelope)
{
    root_dispatch(((struct root_peer_port *)port)->root, envelope);
}

/* If this notification is lost, the next regular probe detects the failure. */
static void
peer_port_connection_broken(struct peer_port *port, uint64_t member)
{
    struct root *root = ((struct root_peer_port *)port)->root;
    struct err err = {0};

    if (!member_post_connection_broken(root->member, member, &err)) {
        refusal_add(err.kind);
    }
}

static bool
member_port_send(struct member_port *port, uint64_t member,
                 Turmeric__Envelope *envelope)
{
    return root_send(((struct root_member_port *)port)->root, member,
                     envelope);
}

static void
member_port_set_address(struct member_port *port, uint64_t member,
                        const char *peer_address)
{
    struct root *root = ((struct root_member_port *)port)->root;

    peer_set_address(root->peer, member, peer_address);
}

static void
member_port_drop_peer(struct member_port *port, uint64_t member)
{
    peer_remove_member(((struct root_member_port *)port)->root->peer, member);
}

static void
observe_port_target_reported(struct observe_port *port,
                             const struct target_report *report)
{
    struct root *root = ((struct root_observe_port *)port)->root;
    struct err err = {0};

    if (!route_post_report(root->route, report, &err)) {
        refusal_add(err.kind);
    }
    if (report->kind == TARGET_ENGINE &&
        !place_post_report(root->place, report, &err)) {
        refusal_add(err.kind);
    }
}

static void
observe_port_entry_listed(struct observe_port *port,
                          const struct member_info *info)
{
    struct root *root = ((struct root_observe_port *)port)->root;
    struct err err = {0};

    root_record_listing(root, info->id, clock_now_ms());
    if (info->id != root->self.id &&
        !member_post_listed(root->member, info, &err)) {
        refusal_add(err.kind);
    }
}

/* Targets in a data centre without live instances are polled from another. */
static bool
observe_port_polls_target(struct observe_port *port, uint64_t target,
                          const char *data_centre)
{
    struct root *root = ((struct root_observe_port *)port)->root;
    uint64_t ids[MEMBERS_MAX];
    int count = member_live_ids(root->member, data_centre, ids, MEMBERS_MAX);
    int owner = rendezvous_pick(target, ids, count);

    if (owner < 0) {
        return member_owner(root->member, target) == root->self.id;
    }
    return ids[owner] == root->self.id;
}

static void
observe_port_broadcast(struct observe_port *port, const char *data_centre,
                       Turmeric__Envelope *envelope)
{
    struct root *root = ((struct root_observe_port *)port)->root;
    uint64_t ids[MEMBERS_MAX];

    if (member_live_ids(root->member, NULL, ids, MEMBERS_MAX) <=
        BROADCAST_ALL_MEMBERS_MAX) {
        data_centre = NULL;
    }
    root_broadcast(root, data_centre, envelope);
}

static const struct peer_port_ops peer_ops = {peer_port_deliver,
                                              peer_port_connection_broken};
static const struct member_port_ops member_ops = {
    member_port_send, member_port_set_address, member_port_drop_peer};
static const struct observe_port_ops observe_ops = {
    observe_port_target_reported, observe_port_entry_listed,
    observe_port_polls_target, observe_port_broadcast};

/**
 * root_init_fleet_ports() - initialize the ports of peer, member and observe
 * @root: the root
 */
void
root_init_fleet_ports(struct root *root)
{
    root->peer_port.port.ops = &peer_ops;
    root->peer_port.root = root;
    root->member_port.port.ops = &member_ops;
    root->member_port.root = root;
    root->observe_port.port.ops = &observe_ops;
    root->observe_port.root = root;
}
