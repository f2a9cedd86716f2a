/**
 * DOC: Who gets the notes of an instance.
 *
 * Notes to all from all grow with the square of the instances. Where there are
 * many, the holder of orders, which needs every note anyway, sums them up and
 * tells all; without a word from it, notes go to all again.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "gate/dat.h"
#include "gate/relay/dat.h"
#include "gate/news/dat.h"
#include "gate/news/fns.h"

enum { SUM_OLD_MS = 1200 }; /* some sums may be lost */

/**
 * circle_heard() - a sum came
 * @circle: what is known
 * @from: who sent it
 * @fence: of the sender's term
 * @now_ms: present time
 *
 * Return: false when it is of a former holder.
 */
bool
circle_heard(struct circle *circle, uint64_t from, int64_t fence,
             int64_t now_ms)
{
    if (fence < circle->fence && now_ms - circle->heard_ms <= SUM_OLD_MS) {
        return false;
    }
    circle->from = from;
    circle->fence = fence;
    circle->heard_ms = now_ms;
    return true;
}

/**
 * circle_note_to() - who gets the next note
 * @circle: what is known
 * @now_ms: present time
 *
 * Return: id of the only instance that needs it; 0 for all.
 */
uint64_t
circle_note_to(const struct circle *circle, int64_t now_ms)
{
    return circle->fence != 0 && now_ms - circle->heard_ms <= SUM_OLD_MS
               ? circle->from
               : 0;
}

/**
 * circle_has_sums() - whether there are so many instances that the holder of
 * orders sums up
 * @peers: number of other instances
 */
bool
circle_has_sums(int peers)
{
    return peers + 1 >= TOTAL_INSTANCES_MIN;
}
