/**
 * DOC: Recipients of an instance's activity reports.
 *
 * When every instance reports to every other, the messages grow with the
 * square of the number of instances. Where there are many, the holder, which
 * needs all reports anyway, adds them up and sends the total to all. While its
 * totals don't arrive, reports go to all instances again.
 */
#include <glib.h>

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

enum { TOTAL_MAX_AGE_MS = 1200 }; /* some totals may be lost */

/**
 * aggregator_accept_total() - accept or reject an activity total
 * @aggregator: state, updated when the total is accepted
 * @from: id of the sender
 * @fence: fencing token of the sender's term
 * @now_ms: current time
 *
 * Return: false when the sender is a former holder: a total with a newer token
 * arrived within TOTAL_MAX_AGE_MS.
 */
bool
aggregator_accept_total(struct aggregator *aggregator, uint64_t from,
                        int64_t fence, int64_t now_ms)
{
    if (fence < aggregator->fence &&
        now_ms - aggregator->received_ms <= TOTAL_MAX_AGE_MS) {
        return false;
    }
    aggregator->id = from;
    aggregator->fence = fence;
    aggregator->received_ms = now_ms;
    return true;
}

/**
 * aggregator_report_to() - recipient of the next activity report
 * @aggregator: state
 * @now_ms: current time
 *
 * Return: id of the only recipient; 0 for all instances.
 */
uint64_t
aggregator_report_to(const struct aggregator *aggregator, int64_t now_ms)
{
    return aggregator->fence != 0 &&
                   now_ms - aggregator->received_ms <= TOTAL_MAX_AGE_MS
               ? aggregator->id
               : 0;
}

/**
 * aggregator_in_use() - whether the holder sends activity totals
 * @peers: number of other instances
 */
bool
aggregator_in_use(int peers)
{
    return peers + 1 >= TOTAL_INSTANCES_MIN;
}
