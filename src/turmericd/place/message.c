/**
 * DOC: Messages between the place duties of the instances.
 *
 * Decisions are elsewhere; this translates envelopes.
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

enum { TURN_REPEAT_MS = 1000 };

/**
 * place_send() - send a message, to this instance too
 * @place: placement
 * @member: receiver
 * @envelope: stays the caller's
 */
bool
place_send(struct place *place, uint64_t member, Turmeric__Envelope *envelope)
{
    envelope->version = PEER_PROTOCOL_VERSION;
    envelope->from = place->self;
    if (member == place->self) {
        place_envelope(place, envelope);
        return true;
    }
    return place->port->ops->send(place->port, member, envelope);
}

/**
 * send_want() - tell the owner that calls wait, or of a use
 * @place: placement
 * @leaf: the leaf
 * @waiting: number of calls; 0 for a use
 */
void
send_want(struct place *place, const struct leaf *leaf, int waiting)
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
 * send_answer() - answer a member's want
 * @place: placement
 * @member: who asked
 * @placement: the answer
 */
void
send_answer(struct place *place, uint64_t member,
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
 * send_settle() - ask a sender whether its order may still be in flight
 * @place: placement
 * @sender: the sender
 * @engine: id of the engine
 * @leaf: id of the leaf
 */
void
send_settle(struct place *place, const struct sender *sender, uint64_t engine,
            uint64_t leaf)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Settle settle = TURMERIC__SETTLE__INIT;

    settle.engine = engine;
    settle.leaf = leaf;
    settle.start = sender->start;
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
turn_granter(struct place *place)
{
    return place->port->ops->owner(place->port, hash_text("store"));
}

/**
 * turn_ask() - ask for a turn at the weight store, or repeat the question
 * @place: placement
 * @leaf: the leaf to load
 */
void
turn_ask(struct place *place, struct leaf *leaf)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__TurnAsk ask = TURMERIC__TURN_ASK__INIT;

    if (leaf->turn == 0) {
        leaf->turn =
            hash_pair(hash_pair(place->self, place->start), ++place->token);
        leaf->granted = false;
    }
    else if (place->now_ms - leaf->turn_ms < TURN_REPEAT_MS) {
        return;
    }
    leaf->turn_ms = place->now_ms;
    ask.leaf = leaf->id;
    ask.priority = (uint32_t)leaf->priority;
    ask.token = leaf->turn;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_TURN_ASK;
    envelope.turn_ask = &ask;
    place_send(place, turn_granter(place), &envelope);
}

/**
 * turn_end() - give a turn back
 * @place: placement
 * @leaf: the leaf; without a turn nothing happens
 */
void
turn_end(struct place *place, struct leaf *leaf)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__TurnDone done = TURMERIC__TURN_DONE__INIT;

    if (leaf->turn == 0) {
        return;
    }
    done.token = leaf->turn;
    leaf->turn = 0;
    leaf->granted = false;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_TURN_DONE;
    envelope.turn_done = &done;
    place_send(place, turn_granter(place), &envelope);
}

static void
send_grant(struct place *place, const struct turn *turn)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__TurnGrant grant = TURMERIC__TURN_GRANT__INIT;

    grant.leaf = turn->leaf;
    grant.token = turn->token;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_TURN_GRANT;
    envelope.turn_grant = &grant;
    place_send(place, turn->member, &envelope);
}

/**
 * turns_tick() - grant what the limits allow
 * @place: placement
 */
void
turns_tick(struct place *place)
{
    const struct node *root =
        place->tree == NULL ? NULL : tree_node(place->tree, "/");
    struct turn turn;

    turns_expire(&place->turns, place->now_ms);
    while (root != NULL &&
           turns_next(&place->turns, root->settings.store_loads_at_once,
                      root->settings.store_loads_per_s, place->now_ms,
                      &turn)) {
        send_grant(place, &turn);
    }
}

static void
got_want(struct place *place, uint64_t from, const Turmeric__Want *want)
{
    struct leaf *leaf;

    if (hash_text(want->path) != want->leaf ||
        strlen(want->path) >= PATH_MAX_BYTES) {
        return;
    }
    leaf = leaf_get(place, want->leaf, want->path);
    leaf->used_ms = place->now_ms;
    if (want->waiting == 0) {
        return;
    }
    leaf->owned = true;
    leaf_wanted(place, leaf, from, (int)want->priority);
    leaf_decide(place, leaf);
}

static void
got_want_reply(struct place *place, const Turmeric__WantReply *reply)
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
        base_ready(place, placement.leaf);
    }
    place->port->ops->placed(place->port, &placement);
}

/*
 * The order threads work on one order of a leaf at a time, so without one
 * every call of this process about the leaf has ended. An earlier process of
 * this instance can send nothing.
 */
static bool
is_settled(struct place *place, const Turmeric__Settle *settle)
{
    const struct leaf *leaf = leaf_find(place, settle->leaf);

    if (settle->start != place->start) {
        return settle->start < place->start;
    }
    return leaf == NULL || !leaf->busy;
}

static void
got_settle(struct place *place, uint64_t from, const Turmeric__Settle *settle)
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
got_settle_reply(struct place *place, uint64_t from,
                 const Turmeric__SettleReply *reply)
{
    struct leaf *leaf = leaf_find(place, reply->leaf);
    struct settled settled = {reply->engine,
                              {from, reply->start, reply->fence}};

    if (leaf == NULL) {
        return;
    }
    leaf->silent_ms = place->now_ms;
    if (!reply->settled) {
        return;
    }
    if (leaf->settled_count == ORDER_SETTLED_MAX) {
        leaf->settled_count = 0;
    }
    leaf->settled[leaf->settled_count++] = settled;
    /* The sender has written down how its order ended. */
    leaf->known = false;
    leaf->retry_ms = 0;
    leaf_decide(place, leaf);
}

static void
got_turn_ask(struct place *place, uint64_t from, const Turmeric__TurnAsk *ask)
{
    const struct node *node =
        place->tree == NULL ? NULL : tree_node_by_id(place->tree, ask->leaf);
    struct turn turn = {
        .token = ask->token,
        .leaf = ask->leaf,
        .member = from,
        .priority = (int)ask->priority,
        .adapter = node != NULL && node->type == NODE_ADAPTER,
    };
    struct err err = {0};

    if (turns_ask(&place->turns, &turn, place->now_ms, &err)) {
        turns_tick(place);
    }
    else {
        refusal_add(err.kind);
    }
    /* A grant may have been lost, so the repeated question is answered. */
    for (int i = 0; i < place->turns.count; i++) {
        if (place->turns.turns[i].token == ask->token &&
            place->turns.turns[i].granted) {
            turn = place->turns.turns[i];
            send_grant(place, &turn);
            return;
        }
    }
}

static void
got_turn_grant(struct place *place, const Turmeric__TurnGrant *grant)
{
    struct leaf *leaf = leaf_find(place, grant->leaf);

    if (leaf == NULL || leaf->turn != grant->token || leaf->granted) {
        return;
    }
    leaf->granted = true;
    leaf->retry_ms = 0;
    leaf_decide(place, leaf);
}

/**
 * place_envelope() - handle a message of a place duty
 * @place: placement
 * @envelope: stays the caller's
 */
void
place_envelope(struct place *place, const Turmeric__Envelope *envelope)
{
    uint64_t from = envelope->from;

    switch (envelope->body_case) {
    case TURMERIC__ENVELOPE__BODY_WANT:
        got_want(place, from, envelope->want);
        break;
    case TURMERIC__ENVELOPE__BODY_WANT_REPLY:
        got_want_reply(place, envelope->want_reply);
        break;
    case TURMERIC__ENVELOPE__BODY_SETTLE:
        got_settle(place, from, envelope->settle);
        break;
    case TURMERIC__ENVELOPE__BODY_SETTLE_REPLY:
        got_settle_reply(place, from, envelope->settle_reply);
        break;
    case TURMERIC__ENVELOPE__BODY_TURN_ASK:
        got_turn_ask(place, from, envelope->turn_ask);
        break;
    case TURMERIC__ENVELOPE__BODY_TURN_GRANT:
        got_turn_grant(place, envelope->turn_grant);
        break;
    case TURMERIC__ENVELOPE__BODY_TURN_DONE:
        turns_done(&place->turns, envelope->turn_done->token);
        turns_tick(place);
        break;
    case TURMERIC__ENVELOPE__BODY_EVICT:
        leaf_evict(place, envelope->evict->leaf, envelope->evict->engine);
        break;
    default:
        break;
    }
}
