/**
 * DOC: Which instances get news.
 *
 * An instance that leaves is not listed any more but goes on serving, and
 * needs to know what engines hold until its last request is answered.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "gate/dat.h"
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

static struct news_peer *
find(GArray *peers, uint64_t id)
{
    for (guint i = 0; i < peers->len; i++) {
        struct news_peer *peer = &g_array_index(peers, struct news_peer, i);

        if (peer->id == id) {
            return peer;
        }
    }
    return NULL;
}

/**
 * roster_update() - the list of instances has changed
 * @peers: struct news_peer, brought up to date
 * @members: struct gate_member that are listed
 * @self: id of this instance, which gets no news
 * @keep_ms: how long one that is not listed goes on getting news
 * @now_ms: present time; not 0
 */
void
roster_update(GArray *peers, const GArray *members, uint64_t self,
              int64_t keep_ms, int64_t now_ms)
{
    for (guint i = peers->len; i > 0; i--) {
        struct news_peer *peer =
            &g_array_index(peers, struct news_peer, i - 1);

        if (is_listed(members, peer->id)) {
            peer->gone_ms = 0;
        }
        else if (peer->gone_ms == 0) {
            peer->gone_ms = now_ms;
        }
        else if (now_ms - peer->gone_ms >= keep_ms) {
            g_array_remove_index_fast(peers, i - 1);
        }
    }
    for (guint i = 0; i < members->len; i++) {
        struct news_peer peer = {
            .id = g_array_index(members, struct gate_member, i).id};

        if (peer.id != self && find(peers, peer.id) == NULL) {
            g_array_append_val(peers, peer);
        }
    }
}
