/**
 * DOC: Eras of the platform's store.
 *
 * A store that is restored from an older copy issues its revisions and lease
 * ids again, and names one era more in its answers.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"

enum { FENCE_REVISION_BITS = 40 }; /* 29 years at 1,200 writes a second */

/**
 * era_note() - compare the era of an answer with the highest one known
 * @known: highest era that the store has named; 0 for none; raised if the
 *         answer names a higher one
 * @answered: era that the answer names; 0 for none
 *
 * An answer that names no era says nothing about it: whatever stands between
 * may answer in place of the store. An era never falls in one store, so an
 * answer that names a lower one is not to be used.
 */
enum era_news
era_note(int64_t *known, int64_t answered)
{
    if (answered == 0 || answered == *known) {
        return ERA_SAME;
    }
    if (answered < *known) {
        counter_add(CTR_STORE_ERA_REJECTED, 1);
        return ERA_FALLEN;
    }
    *known = answered;
    return ERA_RISEN;
}

/**
 * era_fence() - fencing token that grows although revisions fall
 * @era: era of the store
 * @revision: revision in it
 */
int64_t
era_fence(int64_t era, int64_t revision)
{
    return (era << FENCE_REVISION_BITS) + revision;
}
