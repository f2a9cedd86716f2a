/**
 * DOC: What follows from reports, placements and strikes.
 */
#include <glib.h>
#include <inttypes.h>
#include <string.h>
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
#include "turmericd/serve/route/router.h"

enum { RESOLVED_MAX = 64 };

/**
 * target_note_strikes() - count strikes of requests that brought a target down
 * @core: routing
 * @report: report of the target
 * @now_ms: present time
 */
void
target_note_strikes(struct core *core, const struct target_report *report,
                    int64_t now_ms)
{
    uint64_t fingerprints[RESOLVED_MAX];
    uint64_t incarnations[RESOLVED_MAX];
    int count;

    do {
        count = strike_report(core->strikes, report, now_ms, fingerprints,
                              incarnations, RESOLVED_MAX);
        for (int i = 0; i < count; i++) {
            if (strike_add(core->strikes, fingerprints[i], report->id,
                           incarnations[i], now_ms)) {
                log_line(LOG_PRI_WARNING, "route",
                         "event=strike request=%016" PRIx64 " target=%s",
                         fingerprints[i], report->name);
                core->port->ops->strike(core->port, fingerprints[i],
                                        report->id, incarnations[i]);
            }
        }
    } while (count == RESOLVED_MAX);
}

/**
 * core_report() - a report of a target came
 * @core: routing
 * @report: the report
 * @now_ms: present time
 */
void
core_report(struct core *core, const struct target_report *report,
            int64_t now_ms)
{
    struct target *target = fleet_report(&core->fleet, report);

    target_note_strikes(core, report, now_ms);
    if (report->kind == TARGET_PLAIN) {
        char path[NAME_MAX_BYTES + 2] = "/";

        g_strlcat(path, report->service, sizeof(path));
        leaf_dispatch(core, fleet_leaf(&core->fleet, hash_text(path)), now_ms);
    }
    target_dispatch(core, target, now_ms);
    fleet_forget_gone(&core->fleet, target);
}

static bool
is_final(enum err_kind kind)
{
    return kind == ERR_DISABLED || kind == ERR_UNKNOWN_MODEL;
}

/**
 * core_placement() - the owner of a leaf answered a want
 * @core: routing
 * @placement: its answer
 * @now_ms: present time
 */
void
core_placement(struct core *core, const struct placement *placement,
               int64_t now_ms)
{
    struct leaf *leaf = fleet_leaf(&core->fleet, placement->leaf);
    struct target *target = fleet_target(&core->fleet, placement->target);
    struct err err = {0};

    leaf->reason = placement->kind;
    memcpy(leaf->reason_text, placement->text, sizeof(leaf->reason_text));
    if (placement->kind == ERR_NONE && target != NULL) {
        fleet_add_loaded(&core->fleet, target, placement->leaf);
    }
    if (is_final(placement->kind)) {
        err_set(&err, placement->kind, "%s", placement->text);
        leaf_refuse_waiting(core, leaf, &err, now_ms);
    }
    leaf_dispatch(core, leaf, now_ms);
}

/**
 * core_strike() - another instance saw a request bring a target down
 * @core: routing
 * @fingerprint: the request
 * @target: the target
 * @incarnation: its start number
 * @now_ms: present time
 */
void
core_strike(struct core *core, uint64_t fingerprint, uint64_t target,
            uint64_t incarnation, int64_t now_ms)
{
    strike_add(core->strikes, fingerprint, target, incarnation, now_ms);
}
