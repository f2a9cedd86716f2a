/**
 * DOC: The supervisor tree of an instance on the platform.
 *
 * add_children() is the one place that gives the order in which everything
 * starts; it stops in the reverse order.
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

static void
add_children(struct gate *gate)
{
    supervisor_init(&gate->supervisor, "gate");
    supervisor_init(&gate->follow, "follow");
    supervisor_add(&gate->supervisor, peer_duty(gate->peer));
    supervisor_add(&gate->supervisor, &gate->place.supervisor.duty);
    supervisor_add(&gate->supervisor, relay_duty(gate->relay));
    supervisor_add(&gate->supervisor, &gate->follow.duty);
    supervisor_add(&gate->follow, &gate->tenure.duty);
    supervisor_add(&gate->follow, &gate->feed.duty);
}

static bool
create(struct gate *gate, const struct gate_platform *platform,
       struct err *err)
{
    const struct gate_settings *settings = gate->settings;

    gate->peer = peer_new(settings->peer_address, gate->self_id,
                          &gate->peer_port.port, err);
    gate->relay =
        relay_new(settings, platform->dialect, &gate->relay_port.port, err);
    return gate->peer != NULL && gate->relay != NULL &&
           place_gate_init(&gate->place, settings->name, &gate->term,
                           (struct gate_engine **)platform->engines,
                           &gate->place_port.port, err) &&
           tenure_init(&gate->tenure, platform->stores[0], settings,
                       &gate->term, err) &&
           feed_init(&gate->feed, platform->stores[1], platform->decode,
                     &gate->feed_port.port, err);
}

/**
 * gate_new() - create all duties of an instance
 * @settings: kept by reference
 * @platform: the adapter, kept by reference
 * @err: filled in on failure
 *
 * Return: the instance, or NULL; the process is to end then.
 */
struct gate *
gate_new(const struct gate_settings *settings,
         const struct gate_platform *platform, struct err *err)
{
    struct gate *gate = g_new0(struct gate, 1);

    gate->settings = settings;
    gate->self_id = hash_text(settings->name);
    gate->peers = g_array_new(FALSE, FALSE, sizeof(struct news_peer));
    pthread_mutex_init(&gate->peers_lock, NULL);
    gate_init_ports(gate);
    if (!create(gate, platform, err)) {
        return NULL;
    }
    add_children(gate);
    return gate;
}

/**
 * gate_free() - release an instance that has stopped
 * @gate: the instance
 */
void
gate_free(struct gate *gate)
{
    feed_clear(&gate->feed);
    tenure_clear(&gate->tenure);
    relay_free(gate->relay);
    place_gate_clear(&gate->place);
    peer_free(gate->peer);
    supervisor_free(&gate->follow);
    supervisor_free(&gate->supervisor);
    g_array_free(gate->peers, TRUE);
    pthread_mutex_destroy(&gate->peers_lock);
    g_free(gate);
}

/**
 * gate_run() - run all duties until gate_stop()
 * @gate: the instance
 * @err: filled in on failure
 *
 * Return: false when a duty failed too often.
 */
bool
gate_run(struct gate *gate, struct err *err)
{
    return supervisor_run(&gate->supervisor, err);
}

/**
 * gate_leave() - serve the requests that are there, then stop
 * @gate: the instance
 *
 * The right to order and the entry in the list go at once, so that callers and
 * other instances turn elsewhere while requests are still served.
 */
void
gate_leave(struct gate *gate)
{
    tenure_post_leave(&gate->tenure);
    relay_post_drain(gate->relay);
}

/**
 * gate_stop() - stop all duties
 * @gate: the instance
 */
void
gate_stop(struct gate *gate)
{
    supervisor_stop(&gate->supervisor);
}
