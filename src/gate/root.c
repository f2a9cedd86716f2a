/**
 * DOC: The supervisor tree of an instance on the platform.
 *
 * add_children() alone determines the order in which the duties start; they
 * stop in reverse order.
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

static void
add_children(struct gate *gate)
{
    supervisor_init(&gate->supervisor, "gate");
    supervisor_init(&gate->store_supervisor, "follow");
    /* First, so that it stops last and callers are answered until then. */
    supervisor_add(&gate->supervisor, relay_duty(gate->relay));
    supervisor_add(&gate->supervisor, peer_duty(gate->peer));
    supervisor_add(&gate->supervisor, &gate->quota.duty);
    supervisor_add(&gate->supervisor, &gate->place.supervisor.duty);
    supervisor_add(&gate->supervisor, &gate->store_supervisor.duty);
    supervisor_add(&gate->store_supervisor, &gate->lease_keeper.duty);
    supervisor_add(&gate->store_supervisor, &gate->feed.duty);
}

static bool
create_duties(struct gate *gate, const struct gate_platform *platform,
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
           quota_duty_init(&gate->quota, &gate->term, &gate->quota_port.port,
                           err) &&
           lease_keeper_init(&gate->lease_keeper, platform->stores[0],
                             settings, &gate->term, err) &&
           feed_init(&gate->feed, settings, platform->stores[1],
                     platform->decode, &gate->feed_port.port, err);
}

/**
 * gate_new() - create all duties of an instance
 * @settings: borrowed; must outlive the instance
 * @platform: borrowed; must outlive the instance
 * @err: set on failure
 *
 * Return: the instance, to be released with gate_free(); NULL on failure,
 * after which the process must exit, since nothing is released.
 */
struct gate *
gate_new(const struct gate_settings *settings,
         const struct gate_platform *platform, struct err *err)
{
    struct gate *gate = g_new0(struct gate, 1);

    gate->settings = settings;
    gate->self_id = hash_text(settings->name);
    gate->peers = g_array_new(FALSE, FALSE, sizeof(struct peer_instance));
    pthread_mutex_init(&gate->peers_lock, NULL);
    gate_init_ports(gate);
    if (!create_duties(gate, platform, err)) {
        return NULL;
    }
    add_children(gate);
    return gate;
}

/**
 * gate_free() - release a stopped instance
 * @gate: the instance
 */
void
gate_free(struct gate *gate)
{
    feed_clear(&gate->feed);
    lease_keeper_clear(&gate->lease_keeper);
    relay_free(gate->relay);
    place_gate_clear(&gate->place);
    quota_duty_clear(&gate->quota);
    peer_free(gate->peer);
    supervisor_free(&gate->store_supervisor);
    supervisor_free(&gate->supervisor);
    g_array_free(gate->peers, TRUE);
    pthread_mutex_destroy(&gate->peers_lock);
    g_free(gate);
}

/**
 * gate_run() - run all duties until gate_stop()
 * @gate: the instance
 * @err: set on failure
 *
 * Return: false when a duty failed too often.
 */
bool
gate_run(struct gate *gate, struct err *err)
{
    return supervisor_run(&gate->supervisor, err);
}

/**
 * gate_drain() - finish the requests in progress, then stop
 * @gate: the instance
 *
 * The term is given up at once, and the entry in the member list as soon as
 * the lease keeper may revoke the lease, so that callers and other instances
 * turn to another instance while requests are still served.
 */
void
gate_drain(struct gate *gate)
{
    lease_keeper_post_shutdown(&gate->lease_keeper);
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
