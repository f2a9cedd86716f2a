/**
 * DOC: Connects the duties of an instance: what one learns goes to the rings
 * of those that need it.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "gate/dat.h"
#include "gate/belief/dat.h"
#include "gate/belief/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/place/dat.h"
#include "gate/place/fns.h"
#include "gate/news/dat.h"
#include "gate/news/fns.h"
#include "gate/fns.h"
#include "gate/internal.h"

static uint64_t
peer_at(const struct gate *gate, guint index)
{
    return g_array_index(gate->peers, struct news_peer, index).id;
}

static struct gate *
feed_gate(struct feed_port *port)
{
    return ((struct gate_feed_port *)port)->gate;
}

static bool
feed_config(struct feed_port *port, struct gate_config *config)
{
    struct gate *gate = feed_gate(port);

    return place_gate_post_config(&gate->place, config) &&
           relay_post_config(gate->relay, config);
}

static bool
feed_change(struct feed_port *port, const struct target_change *change)
{
    struct gate *gate = feed_gate(port);

    return place_gate_post_change(&gate->place, change) &&
           relay_post_target_change(gate->relay, change);
}

static bool
feed_listed(struct feed_port *port)
{
    return relay_post_targets_listed(feed_gate(port)->relay);
}

static void
set_addresses(struct gate *gate, const GArray *members)
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
feed_members(struct feed_port *port, const GArray *members)
{
    struct gate *gate = feed_gate(port);

    pthread_mutex_lock(&gate->peers_lock);
    roster_update(gate->peers, members, gate->self_id,
                  gate->settings->limits.grace_ms, clock_now_ms());
    set_addresses(gate, members);
    pthread_mutex_unlock(&gate->peers_lock);
    return relay_post_members(gate->relay, members);
}

static bool
feed_holder(struct feed_port *port, const struct holder *holder)
{
    log_line(LOG_PRI_INFO, "gate",
             "event=holder name=%s fence=%" G_GINT64_FORMAT, holder->name,
             (gint64)holder->fence);
    return tenure_post_holder(&feed_gate(port)->tenure, holder);
}

static const struct feed_port_ops feed_ops = {
    feed_config, feed_change, feed_listed, feed_members, feed_holder,
};

/* Frames that can't be queued are counted; the next ones tell the same. */
static void
send_sum(struct gate *gate, const struct activity_report *activity,
         int64_t fence)
{
    struct err err = {0};

    for (guint i = 0; i < gate->peers->len; i++) {
        if (!news_send_sum(gate->peer, peer_at(gate, i), activity, fence,
                           &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
}

static void
send_note(struct gate *gate, const struct activity_report *activity,
          uint64_t to)
{
    struct err err = {0};

    for (guint i = 0; i < gate->peers->len; i++) {
        if ((to == 0 || to == peer_at(gate, i)) &&
            !news_send_activity(gate->peer, peer_at(gate, i), activity,
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
    if (!term_holds(&gate->term, clock_boot_ms(), &fence)) {
        send_note(gate, activity, circle_note_to(&gate->circle, now_ms));
    }
    else if (!circle_has_sums((int)gate->peers->len)) {
        send_note(gate, activity, 0);
    }
    else if (activity->periodic) {
        send_sum(gate, activity, fence);
    }
    pthread_mutex_unlock(&gate->peers_lock);
}

static void
relay_activity(struct relay_port *port, struct activity_report *activity)
{
    struct gate *gate = ((struct gate_relay_port *)port)->gate;

    send_activity(gate, activity);
    place_gate_post_activity(&gate->place, activity);
}

static void
relay_left(struct relay_port *port)
{
    gate_stop(((struct gate_relay_port *)port)->gate);
}

static const struct relay_port_ops relay_ops = {relay_activity, relay_left};

static void
place_holdings(struct place_gate_port *port, struct holdings *holdings)
{
    struct gate *gate = ((struct gate_place_port *)port)->gate;
    struct err err = {0};

    pthread_mutex_lock(&gate->peers_lock);
    for (guint i = 0; i < gate->peers->len; i++) {
        if (!news_send_holdings(gate->peer, peer_at(gate, i), holdings,
                                &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
    pthread_mutex_unlock(&gate->peers_lock);
    relay_post_holdings(gate->relay, holdings);
}

static void
place_outlook(struct place_gate_port *port, struct load_forecast *outlook)
{
    struct gate *gate = ((struct gate_place_port *)port)->gate;
    struct err err = {0};

    pthread_mutex_lock(&gate->peers_lock);
    for (guint i = 0; i < gate->peers->len; i++) {
        if (!news_send_outlook(gate->peer, peer_at(gate, i), outlook, &err)) {
            counter_add(CTR_PEER_DROPPED, 1);
        }
    }
    pthread_mutex_unlock(&gate->peers_lock);
    relay_post_forecast(gate->relay, outlook);
}

static const struct place_gate_port_ops place_ops = {place_holdings,
                                                     place_outlook};

static void
got_sum(struct gate *gate, const Turmeric__Envelope *envelope)
{
    bool current;
    bool changed;

    pthread_mutex_lock(&gate->peers_lock);
    changed = gate->circle.from != envelope->from;
    current = circle_heard(&gate->circle, envelope->from,
                           envelope->gate_activity->sum_fence, clock_now_ms());
    pthread_mutex_unlock(&gate->peers_lock);
    if (current && changed) {
        log_line(LOG_PRI_INFO, "gate",
                 "event=sums_from member=%016" G_GINT64_MODIFIER
                 "x fence=%" G_GINT64_FORMAT " instances=%u",
                 envelope->from, (gint64)envelope->gate_activity->sum_fence,
                 envelope->gate_activity->instances);
    }
    if (current) {
        relay_post_activity_total(gate->relay, news_read_sum(envelope));
    }
}

static void
got_activity(struct gate *gate, const Turmeric__Envelope *envelope)
{
    if (envelope->gate_activity->sum_fence != 0) {
        got_sum(gate, envelope);
        return;
    }
    relay_post_activity(gate->relay, news_read_activity(envelope));
    place_gate_post_activity(&gate->place, news_read_activity(envelope));
}

static void
got_holdings(struct gate *gate, const Turmeric__Envelope *envelope)
{
    relay_post_holdings(gate->relay, news_read_holdings(envelope));
    place_gate_post_holdings(&gate->place, news_read_holdings(envelope));
}

static void
peer_message(struct peer_port *port, Turmeric__Envelope *envelope)
{
    struct gate *gate = ((struct gate_peer_port *)port)->gate;

    if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_ACTIVITY) {
        got_activity(gate, envelope);
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_HOLDINGS) {
        got_holdings(gate, envelope);
    }
    else if (envelope->body_case == TURMERIC__ENVELOPE__BODY_GATE_OUTLOOK) {
        relay_post_forecast(gate->relay, news_read_outlook(envelope));
    }
    turmeric__envelope__free_unpacked(envelope, NULL);
}

static void
peer_broken(struct peer_port *port, uint64_t member)
{
    (void)port;
    log_line(LOG_PRI_INFO, "gate",
             "event=peer_broken member=%016" G_GINT64_MODIFIER "x", member);
}

static const struct peer_port_ops peer_ops = {peer_message, peer_broken};

/**
 * gate_init_ports() - connect the duties
 * @gate: the instance
 */
void
gate_init_ports(struct gate *gate)
{
    gate->feed_port = (struct gate_feed_port){{&feed_ops}, gate};
    gate->relay_port = (struct gate_relay_port){{&relay_ops}, gate};
    gate->place_port = (struct gate_place_port){{&place_ops}, gate};
    gate->peer_port = (struct gate_peer_port){{&peer_ops}, gate};
}
