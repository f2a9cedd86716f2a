/**
 * DOC: The instances that messages are sent to.
 *
 * An instance that drains has left the member list but still serves requests,
 * so it needs to know what engines hold until its last request is answered.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/follow/dat.h"
#include "gate/relay/dat.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"

static bool
is_listed(const GArray *members, uint64_t id)
{
    for (guint i = 0; i < members->len; i++) {
        if (g_array_index(members, struct gate_member, i).id == id) {
            return true;
        }
    }
    return false;
}

static struct peer_instance *
find_peer(GArray *peers, uint64_t id)
{
    for (guint i = 0; i < peers->len; i++) {
        struct peer_instance *peer =
            &g_array_index(peers, struct peer_instance, i);

        if (peer->id == id) {
            return peer;
        }
    }
    return NULL;
}

/**
 * peer_list_update() - update the recipients from the member list
 * @peers: array of struct peer_instance, updated
 * @members: array of struct gate_member, the listed instances
 * @self_id: id of this instance, which is left out
 * @keep_ms: time for which an instance stays after it has left the list
 * @now_ms: current time; not 0
 */
void
peer_list_update(GArray *peers, const GArray *members, uint64_t self_id,
                 int64_t keep_ms, int64_t now_ms)
{
    for (guint i = peers->len; i > 0; i--) {
        struct peer_instance *peer =
            &g_array_index(peers, struct peer_instance, i - 1);

        if (is_listed(members, peer->id)) {
            peer->unlisted_since_ms = 0;
        }
        else if (peer->unlisted_since_ms == 0) {
            peer->unlisted_since_ms = now_ms;
        }
        else if (now_ms - peer->unlisted_since_ms >= keep_ms) {
            g_array_remove_index_fast(peers, i - 1);
        }
    }
    for (guint i = 0; i < members->len; i++) {
        const struct gate_member *member =
            &g_array_index(members, struct gate_member, i);
        struct peer_instance peer = {.id = member->id};

        g_strlcpy(peer.name, member->name, sizeof(peer.name));
        g_strlcpy(peer.zone, member->zone, sizeof(peer.zone));
        if (peer.id != self_id && find_peer(peers, peer.id) == NULL) {
            g_array_append_val(peers, peer);
        }
    }
}

/* The holder's name is the beginning of an instance's, '#' and its lease. */
static bool
is_holder(const char *holder, const char *name)
{
    size_t bytes = strcspn(holder, "#");

    return bytes > 0 && strncmp(holder, name, bytes) == 0 &&
           (name[bytes] == '\0' || bytes >= HOLDER_NAME_BYTES);
}

/**
 * peer_list_find_holder() - the instance that is the holder
 * @peers: array of struct peer_instance
 * @self_id: id of this instance
 * @self_name: its name
 * @holder: name of the holder, as it is stored
 *
 * Return: its id; 0 for none that is known.
 */
uint64_t
peer_list_find_holder(const GArray *peers, uint64_t self_id,
                      const char *self_name, const char *holder)
{
    if (is_holder(holder, self_name)) {
        return self_id;
    }
    for (guint i = 0; i < peers->len; i++) {
        const struct peer_instance *peer =
            &g_array_index(peers, struct peer_instance, i);

        if (is_holder(holder, peer->name)) {
            return peer->id;
        }
    }
    return 0;
}
