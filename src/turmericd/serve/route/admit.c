/**
 * DOC: Admission of calls.
 */
#include <glib.h>
#include <inttypes.h>
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

/* With a stale configuration nothing is loaded or claimed, and loaded leaves
 * are served for at most stale_serve_s. */
static bool
check_config_age(const struct admission *admission, struct err *err)
{
    const struct config_state *state = admission->state;
    const struct node *node = admission->node;

    if (!state->stale) {
        return true;
    }
    if (!admission->idempotent) {
        return err_set(err, ERR_CONFIG_STALE,
                       "claims are suspended: the configuration was last "
                       "confirmed %" PRId64 " ms ago",
                       state->age_ms);
    }
    if (!admission->loaded) {
        return err_set(err, ERR_CONFIG_STALE,
                       "%s is not loaded and loads are suspended: the "
                       "configuration was last confirmed %" PRId64 " ms ago",
                       node->path, state->age_ms);
    }
    if (state->age_ms > node->settings.stale_serve_s * 1000) {
        return err_set(err, ERR_CONFIG_STALE,
                       "the configuration was last confirmed %" PRId64
                       " ms ago, longer than stale_serve_s",
                       state->age_ms);
    }
    return true;
}

/**
 * admission_check() - decide whether a call may wait for a target
 * @admission: the call and the state of its leaf
 * @err: set when the call is refused
 *
 * Return: false with ERR_DISABLED, ERR_CRASHES_TARGETS, ERR_CONFIG_STALE,
 * ERR_QUEUE_FULL or ERR_DEADLINE; the call has not run.
 */
bool
admission_check(const struct admission *admission, struct err *err)
{
    const struct node *node = admission->node;

    if (!node->settings.enabled) {
        return err_set(err, ERR_DISABLED, "%s is disabled", node->path);
    }
    if (admission->crashes_targets) {
        return err_set(err, ERR_CRASHES_TARGETS,
                       "%d targets went down while running this request",
                       STRIKES_MAX);
    }
    if (!check_config_age(admission, err)) {
        return false;
    }
    if (admission->waiting >= node->settings.queue_max) {
        return err_set(err, ERR_QUEUE_FULL,
                       "%" PRId64 " calls already wait for %s",
                       admission->waiting, node->path);
    }
    if (admission->now_ms >= admission->deadline_ms) {
        return err_set(err, ERR_DEADLINE,
                       "the deadline passed before the call was admitted");
    }
    return true;
}
