/**
 * DOC: Messages between the placement duties of the instances.
 *
 * Encodes and decodes envelopes; decisions are made elsewhere.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/fns.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum { PERMIT_REQUEST_REPEAT_MS = 1000 };

/**
 * place_send() - send a message to a member, which may be this instance
 * @place: placement
 * @member: receiver
 * @envelope: completed with version and sender; stays the caller's
 */
bool
place_send(struct place *place, uint64_t member, Turmeric__Envelope *envelope)
{
    envelope->version = PEER_PROTOCOL_VERSION;
    envelope->from = place->self_id;
    if (member == place->self_id) {
        place_handle_envelope(place, envelope);
        return true;
    }
    return place->port->ops->send(place->port, member, envelope);
}

/**
 * send_load_request() - send a load request or a use to the owner of a leaf
 * @place: placement
 * @leaf: the leaf
 * @waiting: number of waiting calls; 0 for a use
 */
void
send_load_request(struct place *place, const struct leaf *leaf, int waiting)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Want want = TURMERIC__WANT__INIT;

    want.leaf = leaf->id;
    want.path = (char *)leaf->path;
    want.priority = (uint32_t)leaf->priority;
    want.waiting = (uint32_t)waiting;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_WANT;
    envelope.want = &want;
    place_send(place, place->port->ops->owner(place->port, leaf->id),
               &envelope);
}

/**
 * send_placement() - reply to a load request of a member
 * @place: placement
 * @member: requester
 * @placement: the reply
 */
void
send_placement(struct place *place, uint64_t member,
               const struct placement *placement)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__WantReply reply = TURMERIC__WANT_REPLY__INIT;

    reply.leaf = placement->leaf;
    reply.target = placement->target;
    reply.error = (uint32_t)placement->kind;
    reply.text = (char *)placement->text;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_WANT_REPLY;
    envelope.want_reply = &reply;
    place_send(place, member, &envelope);
}

/**
 * send_settle_query() - query a sender whether its order may be in flight
 * @place: placement
 * @sender: the sender
 * @engine: id of the engine
 * @leaf: id of the leaf
 */
void
send_settle_query(struct place *place, const struct sender *sender,
                  uint64_t engine, uint64_t leaf)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Settle settle = TURMERIC__SETTLE__INIT;

    settle.engine = engine;
    settle.leaf = leaf;
    settle.start = sender->started_ms;
    settle.fence = sender->fence;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_SETTLE;
    envelope.settle = &settle;
    place_send(place, sender->member, &envelope);
}

/**
 * send_evict() - ask the owner of a leaf to unload it if it is idle
 * @place: placement
 * @engine: id of the engine
 * @leaf: id of the leaf
 */
void
send_evict(struct place *place, uint64_t engine, uint64_t leaf)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Evict evict = TURMERIC__EVICT__INIT;

    evict.engine = engine;
    evict.leaf = leaf;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_EVICT;
    envelope.evict = &evict;
    place_send(place, place->port->ops->owner(place->port, leaf), &envelope);
}

static uint64_t
permit_granter(struct place *place)
{
    return place->port->ops->owner(place->port, hash_text("store"));
}

/**
 * leaf_request_permit() - request a load permit, or repeat the request
 * @place: placement
 * @leaf: the leaf to load
 */
void
leaf_request_permit(struct place *place, struct leaf *leaf)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__TurnAsk ask = TURMERIC__TURN_ASK__INIT;

    if (leaf->permit_token == 0) {
        leaf->permit_token =
            hash_pair(hash_pair(place->self_id, place->started_ms),
                      ++place->last_permit_token);
        leaf->permit_granted = false;
    }
    else if (place->now_ms - leaf->permit_requested_ms <
             PERMIT_REQUEST_REPEAT_MS) {
        return;
    }
    leaf->permit_requested_ms = place->now_ms;
    ask.leaf = leaf->id;
    ask.priority = (uint32_t)leaf->priority;
    ask.token = leaf->permit_token;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_TURN_ASK;
    envelope.turn_ask = &ask;
    place_send(place, permit_granter(place), &envelope);
}

/**
 * leaf_release_permit() - release the load permit of a leaf, if it has one
 * @place: placement
 * @leaf: the leaf
 */
void
leaf_release_permit(struct place *place, struct leaf *leaf)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__TurnDone done = TURMERIC__TURN_DONE__INIT;

    if (leaf->permit_token == 0) {
        return;
    }
    done.token = leaf->permit_token;
    leaf->permit_token = 0;
    leaf->permit_granted = false;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_TURN_DONE;
    envelope.turn_done = &done;
    place_send(place, permit_granter(place), &envelope);
}

static void
send_grant(struct place *place, const struct load_permit *permit)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__TurnGrant grant = TURMERIC__TURN_GRANT__INIT;

    grant.leaf = permit->leaf;
    grant.token = permit->token;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_TURN_GRANT;
    envelope.turn_grant = &grant;
    place_send(place, permit->member, &envelope);
}

/**
 * place_grant_permits() - grant load permits within the limits of the tree
 * @place: placement
 */
void
place_grant_permits(struct place *place)
{
    const struct node *root =
        place->tree == NULL ? NULL : tree_node(place->tree, "/");
    struct load_permit permit;

    load_permits_expire(&place->load_permits, place->now_ms);
    while (root != NULL &&
           load_permits_grant_next(
               &place->load_permits, root->settings.store_loads_at_once,
               root->settings.store_loads_per_s, place->now_ms, &permit)) {
        send_grant(place, &permit);
    }
}

static void
receive_load_request(struct place *place, uint64_t from,
                     const Turmeric__Want *want)
{
    struct leaf *leaf;

    if (hash_text(want->path) != want->leaf ||
        strlen(want->path) >= PATH_MAX_BYTES) {
        return;
    }
    leaf = leaf_get(place, want->leaf, want->path);
    leaf->last_used_ms = place->now_ms;
    if (want->waiting == 0) {
        return;
    }
    leaf->owned = true;
    leaf_add_requester(place, leaf, from, (int)want->priority);
    leaf_decide(place, leaf);
}

static void
receive_placement(struct place *place, const Turmeric__WantReply *reply)
{
    struct placement placement = {
        .leaf = reply->leaf,
        .target = reply->target,
        .kind = reply->error < ERR_KIND_COUNT ? (enum err_kind)reply->error
                                              : ERR_INTERNAL,
    };

    g_strlcpy(placement.text, reply->text, sizeof(placement.text));
    if (placement.kind == ERR_NONE) {
        engine_add_loaded(place, placement.target, placement.leaf);
        decide_adapters(place, placement.leaf);
    }
    place->port->ops->report_placement(place->port, &placement);
}

/*
 * Each leaf has at most one order in the order threads. Without one, all calls
 * of this process for the leaf have ended. An earlier process of this instance
 * no longer exists and cannot send anything.
 */
static bool
is_settled(struct place *place, const Turmeric__Settle *settle)
{
    const struct leaf *leaf = leaf_find(place, settle->leaf);

    if (settle->start != place->started_ms) {
        return settle->start < place->started_ms;
    }
    return leaf == NULL || !leaf->order_running;
}

static void
receive_settle_query(struct place *place, uint64_t from,
                     const Turmeric__Settle *settle)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__SettleReply reply = TURMERIC__SETTLE_REPLY__INIT;

    reply.engine = settle->engine;
    reply.leaf = settle->leaf;
    reply.start = settle->start;
    reply.fence = settle->fence;
    reply.settled = is_settled(place, settle);
    envelope.body_case = TURMERIC__ENVELOPE__BODY_SETTLE_REPLY;
    envelope.settle_reply = &reply;
    place_send(place, from, &envelope);
}

static void
receive_settle_reply(struct place *place, uint64_t from,
                     const Turmeric__SettleReply *reply)
{
    struct leaf *leaf = leaf_find(place, reply->leaf);
    struct settled_sender settled = {reply->engine,
                                     {from, reply->start, reply->fence}};

    if (leaf == NULL) {
        return;
    }
    leaf->unresponsive_since_ms = place->now_ms;
    if (!reply->settled) {
        return;
    }
    if (leaf->settled_count == ORDER_SETTLED_MAX) {
        leaf->settled_count = 0;
    }
    leaf->settled[leaf->settled_count++] = settled;
    /* The sender has recorded the result of its order. */
    leaf->views_valid = false;
    leaf->retry_at_ms = 0;
    leaf_decide(place, leaf);
}

static void
receive_permit_request(struct place *place, uint64_t from,
                       const Turmeric__TurnAsk *ask)
{
    const struct node *node =
        place->tree == NULL ? NULL : tree_node_by_id(place->tree, ask->leaf);
    struct load_permit permit = {
        .token = ask->token,
        .leaf = ask->leaf,
        .member = from,
        .priority = (int)ask->priority,
        .adapter = node != NULL && node->type == NODE_ADAPTER,
    };
    struct err err = {0};

    if (load_permits_request(&place->load_permits, &permit, place->now_ms,
                             &err)) {
        place_grant_permits(place);
    }
    else {
        refusal_add(err.kind);
    }
    /* Repeats the grant, as the previous one may have been lost. */
    for (int i = 0; i < place->load_permits.count; i++) {
        if (place->load_permits.permits[i].token == ask->token &&
            place->load_permits.permits[i].granted) {
            permit = place->load_permits.permits[i];
            send_grant(place, &permit);
            return;
        }
    }
}

static void
receive_permit_grant(struct place *place, const Turmeric__TurnGrant *grant)
{
    struct leaf *leaf = leaf_find(place, grant->leaf);

    if (leaf == NULL || leaf->permit_token != grant->token ||
        leaf->permit_granted) {
        return;
    }
    leaf->permit_granted = true;
    leaf->retry_at_ms = 0;
    leaf_decide(place, leaf);
}

/**
 * place_handle_envelope() - handle a message of a placement duty
 * @place: placement
 * @envelope: stays the caller's
 */
void
place_handle_envelope(struct place *place, const Turmeric__Envelope *envelope)
{
    uint64_t from = envelope->from;

    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_WANT:
        receive_load_request(place, from, envelope->want);
        break;
    case TURMERIC__ENVELOPE__BODY_WANT_REPLY:
        receive_placement(place, envelope->want_reply);
        break;
    case TURMERIC__ENVELOPE__BODY_SETTLE:
        receive_settle_query(place, from, envelope->settle);
        break;
    case TURMERIC__ENVELOPE__BODY_SETTLE_REPLY:
        receive_settle_reply(place, from, envelope->settle_reply);
        break;
    case TURMERIC__ENVELOPE__BODY_TURN_ASK:
        receive_permit_request(place, from, envelope->turn_ask);
        break;
    case TURMERIC__ENVELOPE__BODY_TURN_GRANT:
        receive_permit_grant(place, envelope->turn_grant);
        break;
    case TURMERIC__ENVELOPE__BODY_TURN_DONE:
        load_permits_release(&place->load_permits, envelope->turn_done->token);
        place_grant_permits(place);
        break;
    case TURMERIC__ENVELOPE__BODY_EVICT:
        leaf_evict(place, envelope->evict->leaf, envelope->evict->engine);
        break;
    default:
        break;
    }
}
