/**
 * DOC: When the store has answered instances.
 *
 * A silence of the store towards this instance may be its own, or only that of
 * the path to it. Another instance that was answered meanwhile tells.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"

/**
 * contact_add() - add a time in which the store has answered
 * @contact: what is known; all 0 for nothing
 * @since_ms: beginning
 * @heard_ms: end
 * @silence_ms: from this length on a silence counts
 *
 * Of times with a silence between them the later one is kept.
 */
void
contact_add(struct store_contact *contact, int64_t since_ms, int64_t heard_ms,
            int64_t silence_ms)
{
    bool touches = since_ms < contact->heard_ms + silence_ms &&
                   contact->since_ms < heard_ms + silence_ms;

    if (contact->heard_ms != 0 && touches) {
        contact->since_ms = MIN(contact->since_ms, since_ms);
        contact->heard_ms = MAX(contact->heard_ms, heard_ms);
    }
    else if (heard_ms > contact->heard_ms) {
        contact->since_ms = since_ms;
        contact->heard_ms = heard_ms;
    }
}

/**
 * contact_covers() - whether the store was never silent for long in a time
 * @contact: when it has answered
 * @from_ms: beginning
 * @to_ms: end
 * @silence_ms: from this length on a silence counts
 */
bool
contact_covers(const struct store_contact *contact, int64_t from_ms,
               int64_t to_ms, int64_t silence_ms)
{
    return contact->heard_ms != 0 &&
           contact->since_ms < from_ms + silence_ms &&
           to_ms < contact->heard_ms + silence_ms;
}
