/**
 * DOC: Handles reports of targets, placements and strikes.
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

enum { STRIKE_BATCH_MAX = 64 };

/**
 * target_add_strikes() - add strikes to requests that a target crashed on
 * @router: the router
 * @report: report of the target
 * @now_ms: current monotonic time
 *
 * Sends new strikes to the other instances.
 */
void
target_add_strikes(struct router *router, const struct target_report *report,
                   int64_t now_ms)
{
    uint64_t fingerprints[STRIKE_BATCH_MAX];
    uint64_t incarnations[STRIKE_BATCH_MAX];
    int count;

    do {
        count =
            strikes_apply_report(router->strikes, report, now_ms, fingerprints,
                                 incarnations, STRIKE_BATCH_MAX);
        for (int i = 0; i < count; i++) {
            if (strikes_add(router->strikes, fingerprints[i], report->id,
                            incarnations[i], now_ms)) {
                log_line(LOG_PRI_WARNING, "route",
                         "event=strike request=%016" PRIx64 " target=%s",
                         fingerprints[i], report->name);
                router->port->ops->broadcast_strike(
                    router->port, fingerprints[i], report->id,
                    incarnations[i]);
            }
        }
    } while (count == STRIKE_BATCH_MAX);
}

/**
 * target_log_holdoff_end() - log that a target is no longer held off
 * @target: the target
 * @source: what ended it
 * @now_ms: current monotonic time
 */
void
target_log_holdoff_end(const struct target *target, const char *source,
                       int64_t now_ms)
{
    const struct holdoff *holdoff = &target->holdoff;

    counter_add(CTR_HOLDOFF_ENDED, 1);
    log_line(LOG_PRI_INFO, "route",
             "event=holdoff_ended target=%s source=%s age_ms=%lld "
             "late_ms=%lld",
             target->report.name, source,
             (long long)(now_ms - holdoff->since_ms),
             (long long)(now_ms - holdoff->until_ms));
}

/**
 * router_handle_report() - handle a report of a target
 * @router: the router
 * @report: the report
 * @now_ms: current monotonic time
 */
void
router_handle_report(struct router *router, const struct target_report *report,
                     int64_t now_ms)
{
    struct target *target = fleet_update_target(&router->fleet, report);

    target_add_strikes(router, report, now_ms);
    if (report->kind == TARGET_PLAIN) {
        char path[NAME_MAX_BYTES + 2] = "/";

        g_strlcat(path, report->service, sizeof(path));
        leaf_dispatch(router, fleet_get_leaf(&router->fleet, hash_text(path)),
                      now_ms);
    }
    target_dispatch(router, target, now_ms);
    if (report->state == TARGET_GONE && target->holdoff.active) {
        target->holdoff.active = false;
        target_log_holdoff_end(target, "list", now_ms);
    }
    fleet_remove_gone(&router->fleet, target);
}

static bool
is_permanent(enum err_kind kind)
{
    return kind == ERR_DISABLED || kind == ERR_UNKNOWN_MODEL;
}

/**
 * router_handle_placement() - handle the answer to a load request
 * @router: the router
 * @placement: the answer of the instance that places the leaf
 * @now_ms: current monotonic time
 */
void
router_handle_placement(struct router *router,
                        const struct placement *placement, int64_t now_ms)
{
    struct leaf *leaf = fleet_get_leaf(&router->fleet, placement->leaf);
    struct target *target =
        fleet_find_target(&router->fleet, placement->target);
    struct err err = {0};

    leaf->placement_error = placement->kind;
    memcpy(leaf->placement_error_text, placement->text,
           sizeof(leaf->placement_error_text));
    if (placement->kind == ERR_NONE && target != NULL) {
        fleet_add_loaded(&router->fleet, target, placement->leaf);
    }
    if (is_permanent(placement->kind)) {
        err_set(&err, placement->kind, "%s", placement->text);
        leaf_refuse_queued(router, leaf, &err, now_ms);
    }
    leaf_dispatch(router, leaf, now_ms);
}

/**
 * router_handle_strike() - add a strike sent by another instance
 * @router: the router
 * @fingerprint: fingerprint of the request
 * @target: id of the target that went down
 * @incarnation: start number of the target's process when the request ran
 * @now_ms: current monotonic time
 */
void
router_handle_strike(struct router *router, uint64_t fingerprint,
                     uint64_t target, uint64_t incarnation, int64_t now_ms)
{
    strikes_add(router->strikes, fingerprint, target, incarnation, now_ms);
}

/**
 * router_handle_notice() - handle what an answer says of its target
 * @router: the router
 * @notice: the target wants no requests of this instance for some time
 *
 * The time begins when the answer came, so that a late message doesn't prolong
 * it.
 */
void
router_handle_notice(struct router *router, const struct target_notice *notice)
{
    struct target *target = fleet_find_target(&router->fleet, notice->target);

    if (target == NULL || !notice->holds_off) {
        return;
    }
    holdoff_begin(&target->holdoff, notice->holdoff_ms, target->inflight,
                  notice->heard_ms);
    counter_add(CTR_HOLDOFF_BEGUN, 1);
    log_line(LOG_PRI_INFO, "route",
             "event=holdoff target=%s source=answer holdoff_ms=%lld places=%u",
             target->report.name, (long long)notice->holdoff_ms,
             target->holdoff.places);
}
