/**
 * DOC: Calls that wait for a target, one queue a leaf.
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
compare(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct work *left = a;
    const struct work *right = b;

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
 * queue_add() - let a work wait; a retried one keeps its place by arrival
 * @leaf: the leaf
 * @work: the work
 */
void
queue_add(struct leaf *leaf, struct work *work)
{
    work->place = g_sequence_insert_sorted(leaf->queue, work, compare, NULL);
    work->phase = WORK_QUEUED;
}

/**
 * queue_remove() - take a work out of its queue, when it is in one
 * @work: the work
 */
void
queue_remove(struct work *work)
{
    if (work->place != NULL) {
        g_sequence_remove(work->place);
        work->place = NULL;
    }
}

/**
 * queue_first() - work with the highest priority that has waited longest
 * @leaf: the leaf
 *
 * Return: the work, which stays in the queue; NULL when nothing waits.
 */
struct work *
queue_first(const struct leaf *leaf)
{
    GSequenceIter *first = g_sequence_get_begin_iter(leaf->queue);

    return g_sequence_iter_is_end(first) ? NULL : g_sequence_get(first);
}

/**
 * queue_length() - number of waiting works
 * @leaf: the leaf
 */
int
queue_length(const struct leaf *leaf)
{
    return g_sequence_get_length(leaf->queue);
}

/**
 * queue_priority() - highest priority that waits
 * @leaf: the leaf
 */
int
queue_priority(const struct leaf *leaf)
{
    const struct work *first = queue_first(leaf);

    return first != NULL ? first->request.priority : 0;
}
