/**
 * DOC: Whether a request may be served, by its key.
 */
#include <stdbool.h>
#include <stdint.h>

#include "base/dat.h"
#include "gate/dat.h"
#include "gate/team/dat.h"
#include "gate/team/fns.h"

/**
 * team_decide() - whether a request may be served
 * @facts: the request, its route and the instance
 *
 * Without a valid lease an unknown key isn't refused for good, as it may be
 * newer than the configuration of this instance.
 */
enum team_verdict
team_decide(const struct team_facts *facts)
{
    if (!facts->has_teams || facts->public) {
        return TEAM_NOT_NEEDED;
    }
    if (!facts->lease_valid) {
        return TEAM_UNPROVEN;
    }
    if (!facts->has_key || facts->team < 0) {
        return TEAM_KEY_UNKNOWN;
    }
    return facts->unusable ? TEAM_UNUSABLE : TEAM_KNOWN;
}
