/**
 * DOC: Ports between the duties of an instance. Their callbacks post what one
 * duty has learned to the rings of the others.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/fns.h"
#include "gate/internal.h"

/* Instances that a message goes to which is repeated: after some repetitions
 * all have it. */
enum { PICKED = 3 };

static uint64_t
peer_id_at(const struct gate *gate, guint index)
{
    return g_array_index(gate->peers, struct peer_instance, index).id;
}

static struct gate *
gate_of_feed_port(struct feed_port *port)
{
    return ((struct gate_feed_port *)port)->gate;
}

static bool
feed_port_config_changed(struct feed_port *port, struct gate_config *config)
{
    struct gate *gate = gate_of_feed_port(port);

    return quota_post_config(&gate->quota, config) &&
           place_gate_post_config(&gate->place, config) &&
           relay_post_config(gate->relay, config);
}

static bool
feed_port_target_changed(struct feed_port *port,
                         const struct target_change *change)
{
    struct gate *gate = gate_of_feed_port(port);

    return place_gate_post_target_change(&gate->place, change) &&
           relay_post_target_change(gate->relay, change);
}

static bool
feed_port_targets_listed(struct feed_port *port)
{
    return relay_post_targets_listed(gate_of_feed_port(port)->relay);
}

static void
set_peer_addresses(struct gate *gate, const GArray *members)
{
    for (guint i = 0; i < members->len; i++) {
        struct gate_member *member =
            &g_array_index(members, struct gate_member, i);

        if (member->id != gate->self_id) {
            peer_set_address(gate->peer, member->id, member->peer_address);
        }
    }
}

static bool
feed_port_members_changed(struct feed_port *port, const GArray *members)
{
    struct gate *gate = gate_of_feed_port(port);

    pthread_mutex_lock(&gate->peers_lock);
    peer_list_update(gate->peers, members, gate->self_id,
                     gate->settings->limits.stop_grace_ms, clock_now_ms());
    set_peer_addresses(gate, members);
    pthread_mutex_unlock(&gate->peers_lock);
    return quota_post_members(&gate->quota, members) &&
           relay_post_members(gate->relay, members);
}

static bool
feed_port_holder_changed(struct feed_port *port, const struct holder *holder)
{
    struct gate *gate = gate_of_feed_port(port);

    log_line(LOG_PRI_INFO, "gate",
             "event=holder name=%s fence=%" G_GINT64_FORMAT, holder->name,
             (gint64)holder->fence);
    pthread_mutex_lock(&gate->peers_lock);
    gate->holder = *holder;
    pthread_mutex_unlock(&gate->peers_lock);
    if (holder->name[0] != '\0') {
        relay_post_holder(gate->relay);
    }
    return lease_keeper_post_holder(&gate->lease_keeper, holder);
}

/* A message that is lost is noticed by the next one, which does not connect,
 * or by the silence. */
static void
feed_port_changes_read(struct feed_port *port,
                       const struct store_changes *changes)
{
    struct gate *gate = gate_of_feed_port(port);
    struct err err = {0};

    pthread_mutex_lock(&gate->peers_lock);
    for (guint i = 0; i < gate->peers->len; i++) {
        const struct peer_instance *peer =
            &g_array_index(gate->peers, struct peer_instance, i);

        if (strcmp(peer->zone, gate->settings->zone) == 0 &&
            !peers_send_changes(gate->peer, peer->id, changes, &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
    pthread_mutex_unlock(&gate->peers_lock);
}

static void
feed_port_confirmed(struct feed_port *port,
                    const struct confirmation *confirmation)
{
    relay_post_confirmation(gate_of_feed_port(port)->relay, confirmation);
}

static void
feed_port_ask_fresh(struct feed_port *port, uint64_t member, int64_t sent_ms)
{
    struct err err = {0};

    if (!peers_send_ask(gate_of_feed_port(port)->peer, member, sent_ms,
                        &err)) {
        counter_add(CTR_PEER_DROPPED, 1);
    }
}

/* Whether a message that goes to a few instances at a time goes to the peer at
 * @index; the others get the next ones. */
static bool
is_picked(const struct gate *gate, uint64_t spread, guint index)
{
    guint first = (guint)(spread % gate->peers->len);

    return (index + gate->peers->len - first) % gate->peers->len < PICKED;
}

/* Several machines may be cut off from the store together, so each ask goes to
 * others. */
static void
feed_port_ask_contact(struct feed_port *port)
{
    struct gate *gate = gate_of_feed_port(port);
    int64_t now_ms = clock_now_ms();
    struct err err = {0};

    pthread_mutex_lock(&gate->peers_lock);
    gate->contact_asks++;
    for (guint i = 0; i < gate->peers->len; i++) {
        if (is_picked(gate, gate->contact_asks * PICKED, i) &&
            !peers_send_contact_ask(gate->peer, peer_id_at(gate, i), now_ms,
                                    &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
    pthread_mutex_unlock(&gate->peers_lock);
}

static const struct feed_port_ops feed_ops = {
    feed_port_config_changed, feed_port_target_changed,
    feed_port_targets_listed, feed_port_members_changed,
    feed_port_holder_changed, feed_port_changes_read,
    feed_port_confirmed,      feed_port_ask_fresh,
    feed_port_ask_contact,
};

/* Frames that can't be queued are dropped and counted; the next report
 * replaces them. */
static void
send_total(struct gate *gate, const struct activity_report *activity,
           int64_t fence)
{
    struct err err = {0};

    for (guint i = 0; i < gate->peers->len; i++) {
        if (!peers_send_total(gate->peer, peer_id_at(gate, i), activity, fence,
                              &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
}

static void
send_report(struct gate *gate, const struct activity_report *activity,
            uint64_t to)
{
    struct err err = {0};

    for (guint i = 0; i < gate->peers->len; i++) {
        if ((to == 0 || to == peer_id_at(gate, i)) &&
            !peers_send_activity(gate->peer, peer_id_at(gate, i), activity,
                                 &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
}

static void
send_activity(struct gate *gate, const struct activity_report *activity)
{
    int64_t now_ms = clock_now_ms();
    int64_t fence;

    pthread_mutex_lock(&gate->peers_lock);
    if (!term_is_valid(&gate->term, clock_boot_ms(), &fence)) {
        send_report(gate, activity,
                    aggregator_report_to(&gate->aggregator, now_ms));
    }
    else if (!aggregator_in_use((int)gate->peers->len)) {
        send_report(gate, activity, 0);
    }
    else if (activity->periodic) {
        send_total(gate, activity, fence);
    }
    pthread_mutex_unlock(&gate->peers_lock);
}

static void
relay_port_activity(struct relay_port *port, struct activity_report *activity)
{
    struct gate *gate = ((struct gate_relay_port *)port)->gate;

    send_activity(gate, activity);
    place_gate_post_activity(&gate->place, activity);
}

static void
relay_port_crashes(struct relay_port *port, const struct crash_report *report,
                   uint64_t spread)
{
    struct gate *gate = ((struct gate_relay_port *)port)->gate;
    Turmeric__GateCrashes *body = peers_encode_crashes(report, clock_now_ms());
    struct err err = {0};

    pthread_mutex_lock(&gate->peers_lock);
    for (guint i = 0; i < gate->peers->len; i++) {
        if ((spread == 0 || is_picked(gate, spread, i)) &&
            !peers_send_crashes(gate->peer, peer_id_at(gate, i), body, &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
    pthread_mutex_unlock(&gate->peers_lock);
    peers_free_crashes(body);
}

static void
relay_port_leaving(struct relay_port *port, const char *target, bool leaves)
{
    struct gate *gate = ((struct gate_relay_port *)port)->gate;

    place_gate_post_leaving(&gate->place, target, leaves);
}

static void
relay_port_paused(struct relay_port *port, const char *target,
                  int64_t until_ms)
{
    struct gate *gate = ((struct gate_relay_port *)port)->gate;

    place_gate_post_pause(&gate->place, target, until_ms);
}

static void
relay_port_drained(struct relay_port *port)
{
    gate_stop(((struct gate_relay_port *)port)->gate);
}

/* An ask that is lost is sent again. */
static void
relay_port_quota(struct relay_port *port, struct quota_ask *ask)
{
    struct gate *gate = ((struct gate_relay_port *)port)->gate;
    struct err err = {0};
    uint64_t holder;

    pthread_mutex_lock(&gate->peers_lock);
    holder = peer_list_find_holder(gate->peers, gate->self_id,
                                   gate->settings->name, gate->holder.name);
    pthread_mutex_unlock(&gate->peers_lock);

    if (holder == gate->self_id) {
        quota_post_ask(&gate->quota, holder, ask);
        return;
    }
    if (holder != 0 && !peers_send_quota_ask(gate->peer, holder, ask, &err)) {
        counter_add(CTR_PEER_DROPPED, 1);
    }
    quota_ask_free(ask);
}

static const struct relay_port_ops relay_ops = {
    relay_port_activity, relay_port_crashes, relay_port_leaving,
    relay_port_paused,   relay_port_drained, relay_port_quota};

static void
quota_port_grant(struct quota_port *port, uint64_t member,
                 const struct quota_grant *grant)
{
    struct gate *gate = ((struct gate_quota_port *)port)->gate;
    struct err err = {0};

    if (member == gate->self_id) {
        relay_post_quota_grant(gate->relay, grant);
    }
    else if (!peers_send_quota_grant(gate->peer, member, grant, &err)) {
        counter_add(CTR_PEER_DROPPED, 1);
    }
}

static const struct quota_port_ops quota_ops = {quota_port_grant};

static void
place_port_holdings(struct place_gate_port *port, struct holdings *holdings)
{
    struct gate *gate = ((struct gate_place_port *)port)->gate;
    struct err err = {0};

    pthread_mutex_lock(&gate->peers_lock);
    for (guint i = 0; i < gate->peers->len; i++) {
        if (!peers_send_holdings(gate->peer, peer_id_at(gate, i), holdings,
                                 &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
    pthread_mutex_unlock(&gate->peers_lock);
    relay_post_holdings(gate->relay, holdings);
}

static void
place_port_load_forecast(struct place_gate_port *port,
                         struct load_forecast *forecast)
{
    struct gate *gate = ((struct gate_place_port *)port)->gate;
    struct err err = {0};

    pthread_mutex_lock(&gate->peers_lock);
    for (guint i = 0; i < gate->peers->len; i++) {
        if (!peers_send_forecast(gate->peer, peer_id_at(gate, i), forecast,
                                 &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
    pthread_mutex_unlock(&gate->peers_lock);
    relay_post_forecast(gate->relay, forecast);
}

static const struct place_gate_port_ops place_ops = {place_port_holdings,
                                                     place_port_load_forecast};

static void
handle_total(struct gate *gate, const Turmeric__Envelope *envelope)
{
    bool current;
    bool changed;

    pthread_mutex_lock(&gate->peers_lock);
    changed = gate->aggregator.id != envelope->from;
    current = aggregator_accept_total(&gate->aggregator, envelope->from,
                                      envelope->gate_activity->sum_fence,
                                      clock_now_ms());
    pthread_mutex_unlock(&gate->peers_lock);
    if (current && changed) {
        log_line(LOG_PRI_INFO, "gate",
                 "event=sums_from member=%016" G_GINT64_MODIFIER
                 "x fence=%" G_GINT64_FORMAT " instances=%u",
                 envelope->from, (gint64)envelope->gate_activity->sum_fence,
                 envelope->gate_activity->instances);
    }
    if (current) {
        relay_post_activity_total(gate->relay, peers_decode_total(envelope));
    }
}

static void
handle_activity(struct gate *gate, const Turmeric__Envelope *envelope)
{
    if (envelope->gate_activity->sum_fence != 0) {
        handle_total(gate, envelope);
        return;
    }
    relay_post_activity(gate->relay, peers_decode_activity(envelope));
    place_gate_post_activity(&gate->place, peers_decode_activity(envelope));
}

static void
handle_holdings(struct gate *gate, const Turmeric__Envelope *envelope)
{
    relay_post_holdings(gate->relay, peers_decode_holdings(envelope));
    place_gate_post_holdings(&gate->place, peers_decode_holdings(envelope));
}

/* An instance that the store has not answered yet can't tell. */
static void
answer_contact_ask(struct gate *gate, const Turmeric__Envelope *envelope)
{
    struct store_contact contact = feed_contact(&gate->feed);
    Turmeric__GateContact body;
    struct err err = {0};

    if (contact.heard_ms == 0) {
        return;
    }
    peers_encode_contact(envelope->gate_contact_ask, &contact, clock_now_ms(),
                         &body);
    if (!peers_send_contact(gate->peer, envelope->from, &body, &err)) {
        counter_add(CTR_PEER_DROPPED, 1);
    }
}

static void
handle_contact(struct gate *gate, const Turmeric__Envelope *envelope)
{
    struct store_contact contact =
        peers_decode_contact(envelope->gate_contact, clock_now_ms());

    feed_post_contact(&gate->feed, &contact);
}

static void
handle_quota_grant(struct gate *gate, const Turmeric__Envelope *envelope)
{
    struct quota_grant grant;

    peers_decode_quota_grant(envelope, &grant);
    relay_post_quota_grant(gate->relay, &grant);
    quota_grant_clear(&grant);
}

static void
peer_port_deliver(struct peer_port *port, Turmeric__Envelope *envelope)
{
    struct gate *gate = ((struct gate_peer_port *)port)->gate;

    if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_ACTIVITY) {
        handle_activity(gate, envelope);
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_HOLDINGS) {
        handle_holdings(gate, envelope);
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_OUTLOOK) {
        relay_post_forecast(gate->relay, peers_decode_forecast(envelope));
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_CHANGES) {
        feed_post_changes(&gate->feed, peers_decode_changes(envelope));
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_FRESH_ASK) {
        struct fresh_ask ask = peers_decode_ask(envelope);

        feed_post_ask(&gate->feed, &ask);
    }
    else if (envelope->body_case ==
             TURMERIC__ENVELOPE__BODY_GATE_CONTACT_ASK) {
        answer_contact_ask(gate, envelope);
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_CONTACT) {
        handle_contact(gate, envelope);
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_CRASHES) {
        relay_post_crashes(gate->relay,
                           peers_decode_crashes(envelope, clock_now_ms()));
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_QUOTA_ASK) {
        quota_post_ask(&gate->quota, envelope->from,
                       peers_decode_quota_ask(envelope));
    }
    else if (envelope->body_case ==
             TURMERIC__ENVELOPE__BODY_GATE_QUOTA_GRANT) {
        handle_quota_grant(gate, envelope);
    }
    turmeric__envelope__free_unpacked(envelope, NULL);
}

static void
peer_port_connection_broken(struct peer_port *port, uint64_t member)
{
    (void)port;
    log_line(LOG_PRI_INFO, "gate",
             "event=peer_broken member=%016" G_GINT64_MODIFIER "x", member);
}

static const struct peer_port_ops peer_ops = {peer_port_deliver,
                                              peer_port_connection_broken};

/**
 * gate_init_ports() - set up the ports between the duties
 * @gate: the instance
 */
void
gate_init_ports(struct gate *gate)
{
    gate->feed_port = (struct gate_feed_port){{&feed_ops}, gate};
    gate->relay_port = (struct gate_relay_port){{&relay_ops}, gate};
    gate->place_port = (struct gate_place_port){{&place_ops}, gate};
    gate->quota_port = (struct gate_quota_port){{&quota_ops}, gate};
    gate->peer_port = (struct gate_peer_port){{&peer_ops}, gate};
}
