/**
 * DOC: Queues of calls that wait for a target, one for each leaf.
 */
#include <glib.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"

static gint
compare_calls(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct routed_call *left = a;
    const struct routed_call *right = b;

    (void)data;
    if (left->request.priority != right->request.priority) {
        return left->request.priority > right->request.priority ? -1 : 1;
    }
    if (left->sequence != right->sequence) {
        return left->sequence < right->sequence ? -1 : 1;
    }
    return 0;
}

/**
 * call_queue_add() - add a call by its priority and original arrival order
 * @leaf: the leaf
 * @routed: the routed call
 */
void
call_queue_add(struct leaf *leaf, struct routed_call *routed)
{
    routed->queue_position =
        g_sequence_insert_sorted(leaf->queue, routed, compare_calls, NULL);
    routed->phase = ROUTED_QUEUED;
}

/**
 * call_queue_remove() - remove a call from its queue if it is in one
 * @routed: the routed call
 */
void
call_queue_remove(struct routed_call *routed)
{
    if (routed->queue_position != NULL) {
        g_sequence_remove(routed->queue_position);
        routed->queue_position = NULL;
    }
}

/**
 * queue_first() - first call of the highest priority
 * @leaf: the leaf
 *
 * Return: the call, which stays in the queue; NULL when the queue is empty.
 */
struct routed_call *
queue_first(const struct leaf *leaf)
{
    GSequenceIter *first = g_sequence_get_begin_iter(leaf->queue);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/**
 * queue_length() - number of waiting calls
 * @leaf: the leaf
 */
int
queue_length(const struct leaf *leaf)
{
    return g_sequence_get_length(leaf->queue);
}

/**
 * queue_priority() - highest priority in the queue
 * @leaf: the leaf
 *
 * Return: 0 when the queue is empty.
 */
int
queue_priority(const struct leaf *leaf)
{
    const struct routed_call *first = queue_first(leaf);

    return first != NULL ? first->request.priority : 0;
}
