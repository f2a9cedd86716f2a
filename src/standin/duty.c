/**
 * DOC: Duty that runs a role.
 */
#include <json-c/json.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "standin/dat.h"
#include "standin/fns.h"

static bool
standin_run(struct duty *duty, struct err *err)
{
    struct standin *standin = (struct standin *)duty;
    char message;

    if (!role_start(standin->role, err)) {
        return false;
    }
    while (ring_pop(&standin->stop_ring, &message, -1) != RING_CLOSED) {
    }
    role_stop(standin->role);
    return true;
}

static void
standin_stop(struct duty *duty)
{
    ring_close(&((struct standin *)duty)->stop_ring);
}

static const struct duty_ops standin_ops = {standin_run, standin_stop};

/**
 * standin_init() - initialize the duty of a role
 * @standin: the duty
 * @role: the role; kept by reference
 * @err: filled in on failure
 */
bool
standin_init(struct standin *standin, struct role *role, struct err *err)
{
    standin->duty.ops = &standin_ops;
    standin->duty.name = role->ops->name;
    standin->role = role;
    return ring_init(&standin->stop_ring, 1, sizeof(char), err);
}
