/**
 * DOC: Targets that say in their answers that they leave.
 *
 * The word of the target itself is newer than any entry that still lists it,
 * and the store, a list, a watch or another instance may deliver such an entry
 * long after. So only a later start ends a notice. Starts are compared by the
 * wall time that targets give in their entries.
 */
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

/**
 * target_is_leaving() - whether a target takes no new requests, as its entry
 *                       or one of its answers says
 * @target: the target
 */
bool
target_is_leaving(const struct target_record *target)
{
    return target->info.draining || target->leaving_ms != 0;
}

/**
 * leaving_apply_entry() - whether a target's entry ends a notice
 * @notice: the notice; an unknown start is taken from the target's own entry
 * @entry: the entry of any target
 */
enum leaving_end
leaving_apply_entry(struct leaving_notice *notice,
                    const struct target_info *entry)
{
    struct target_identity *target = &notice->target;
    bool same_target = strcmp(target->id, entry->id) == 0;

    if (same_target && target->started_ms == TARGET_START_UNKNOWN) {
        target->started_ms = entry->started_ms;
        return LEAVING_HOLDS;
    }
    if (target->started_ms == TARGET_START_UNKNOWN ||
        entry->started_ms <= target->started_ms) {
        return LEAVING_HOLDS;
    }
    if (same_target) {
        return LEAVING_RESTARTED;
    }
    return strcmp(target->address, entry->address) == 0 ? LEAVING_REPLACED
                                                        : LEAVING_HOLDS;
}
