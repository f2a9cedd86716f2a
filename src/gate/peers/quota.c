/**
 * DOC: Encoding and decoding of asks for quotas and their answers.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/follow/dat.h"
#include "gate/relay/dat.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"

static Turmeric__GateTeamUse *
encode_use(const struct quota_use *use)
{
    Turmeric__GateTeamUse *out = g_new(Turmeric__GateTeamUse, 1);

    turmeric__gate_team_use__init(out);
    out->team = use->team;
    out->spent = (uint64_t)use->spent;
    out->wanted = (uint64_t)use->wanted;
    out->first = (uint64_t)use->first;
    out->per_s = (uint64_t)use->per_s;
    out->returned = (uint64_t)use->returned;
    return out;
}

/**
 * peers_encode_quota_ask() - encode an ask
 * @ask: the ask
 *
 * Return: the body of a message, to be released with peers_free_quota_ask().
 */
Turmeric__GateQuotaAsk *
peers_encode_quota_ask(const struct quota_ask *ask)
{
    Turmeric__GateQuotaAsk *body = g_new(Turmeric__GateQuotaAsk, 1);

    turmeric__gate_quota_ask__init(body);
    body->sent_ms = ask->sent_ms;
    body->start = ask->start;
    body->config_version = ask->config_version;
    body->fallback_instances = (uint32_t)ask->fallback_instances;
    body->n_teams = ask->uses->len;
    body->teams = g_new(Turmeric__GateTeamUse *, body->n_teams);
    for (guint i = 0; i < ask->uses->len; i++) {
        body->teams[i] =
            encode_use(&g_array_index(ask->uses, struct quota_use, i));
    }
    return body;
}

/**
 * peers_free_quota_ask() - release an encoded ask
 * @body: the body of a message
 */
void
peers_free_quota_ask(Turmeric__GateQuotaAsk *body)
{
    for (size_t i = 0; i < body->n_teams; i++) {
        g_free(body->teams[i]);
    }
    g_free(body->teams);
    g_free(body);
}

/**
 * peers_send_quota_ask() - send an ask to the holder
 * @peer: duty that sends the message
 * @member: id of the holder
 * @ask: the ask
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_quota_ask(struct peer *peer, uint64_t member,
                     const struct quota_ask *ask, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    bool sent;

    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_QUOTA_ASK;
    envelope.gate_quota_ask = peers_encode_quota_ask(ask);
    sent = peer_send(peer, member, &envelope, err);
    peers_free_quota_ask(envelope.gate_quota_ask);
    return sent;
}

/* A number that no sender of this program sends counts as the largest one. */
static int64_t
decode_units(uint64_t units)
{
    return (int64_t)MIN(units, (uint64_t)STORE_REVISION_MAX);
}

/**
 * peers_decode_quota_ask() - decode an ask of another instance
 * @envelope: message with gate_quota_ask; borrowed
 *
 * Return: the ask, to be released with quota_ask_free().
 */
struct quota_ask *
peers_decode_quota_ask(const Turmeric__Envelope *envelope)
{
    const Turmeric__GateQuotaAsk *body = envelope->gate_quota_ask;
    struct quota_ask *ask = quota_ask_new();

    ask->sent_ms = body->sent_ms;
    ask->start = body->start;
    ask->config_version = body->config_version;
    ask->fallback_instances = (int)body->fallback_instances;
    for (size_t i = 0; i < body->n_teams; i++) {
        const Turmeric__GateTeamUse *in = body->teams[i];
        struct quota_use use = {
            .team = in->team,
            .spent = decode_units(in->spent),
            .wanted = decode_units(in->wanted),
            .first = decode_units(MIN(in->first, in->wanted)),
            .per_s = decode_units(in->per_s),
            .returned = decode_units(in->returned),
        };

        g_array_append_val(ask->uses, use);
    }
    return ask;
}

static Turmeric__GateTeamGrant *
encode_answer(const struct quota_answer *answer)
{
    Turmeric__GateTeamGrant *out = g_new(Turmeric__GateTeamGrant, 1);

    turmeric__gate_team_grant__init(out);
    out->team = answer->team;
    out->limit = (uint64_t)answer->limit;
    out->room_ms = (uint32_t)answer->room_ms;
    return out;
}

/**
 * peers_encode_quota_grant() - encode an answer
 * @grant: the answer
 *
 * Return: the body of a message, to be released with peers_free_quota_grant().
 */
Turmeric__GateQuotaGrant *
peers_encode_quota_grant(const struct quota_grant *grant)
{
    Turmeric__GateQuotaGrant *body = g_new(Turmeric__GateQuotaGrant, 1);

    turmeric__gate_quota_grant__init(body);
    body->sent_ms = grant->sent_ms;
    body->start = grant->start;
    body->fence = grant->fence;
    body->instances = (uint32_t)grant->instances;
    body->config_version = grant->config_version;
    body->n_teams = grant->answers->len;
    body->teams = g_new(Turmeric__GateTeamGrant *, body->n_teams);
    for (guint i = 0; i < grant->answers->len; i++) {
        body->teams[i] = encode_answer(
            &g_array_index(grant->answers, struct quota_answer, i));
    }
    return body;
}

/**
 * peers_free_quota_grant() - release an encoded answer
 * @body: the body of a message
 */
void
peers_free_quota_grant(Turmeric__GateQuotaGrant *body)
{
    for (size_t i = 0; i < body->n_teams; i++) {
        g_free(body->teams[i]);
    }
    g_free(body->teams);
    g_free(body);
}

/**
 * peers_send_quota_grant() - send an answer to an instance
 * @peer: duty that sends the message
 * @member: id of the instance
 * @grant: the answer
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_quota_grant(struct peer *peer, uint64_t member,
                       const struct quota_grant *grant, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    bool sent;

    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_QUOTA_GRANT;
    envelope.gate_quota_grant = peers_encode_quota_grant(grant);
    sent = peer_send(peer, member, &envelope, err);
    peers_free_quota_grant(envelope.gate_quota_grant);
    return sent;
}

/**
 * peers_decode_quota_grant() - decode the holder's answer to an ask
 * @envelope: message with gate_quota_grant; borrowed
 * @grant: set to the answer, to be released with quota_grant_clear()
 */
void
peers_decode_quota_grant(const Turmeric__Envelope *envelope,
                         struct quota_grant *grant)
{
    const Turmeric__GateQuotaGrant *body = envelope->gate_quota_grant;

    quota_grant_init(grant);
    grant->sent_ms = body->sent_ms;
    grant->start = body->start;
    grant->fence = body->fence;
    grant->instances = (int)MIN(body->instances, (uint32_t)G_MAXINT);
    grant->config_version = body->config_version;
    for (size_t i = 0; i < body->n_teams; i++) {
        struct quota_answer answer = {
            .team = body->teams[i]->team,
            .limit = decode_units(body->teams[i]->limit),
            .room_ms = body->teams[i]->room_ms,
        };

        g_array_append_val(grant->answers, answer);
    }
}
