/**
 * DOC: The route duty: one thread that handles messages from a ring.
 *
 * Calls, reports, placements and strikes are refused while the ring is at
 * least half full. The other half is kept for results of attempts and claims,
 * whose number is bounded by the calls admitted, so these always find space.
 */
#include <glib.h>
#include <stdlib.h>
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
#include "turmericd/serve/route/fns.h"

enum { MESSAGES_MAX = 8192, MESSAGES_DROPPABLE_MAX = MESSAGES_MAX / 2 };

enum message_kind {
    MESSAGE_CALL,
    MESSAGE_RESULT,
    MESSAGE_REPORT,
    MESSAGE_PLACEMENT,
    MESSAGE_CLAIM_RESULT,
    MESSAGE_STRIKE,
    MESSAGE_NOTICE,
};

struct strike_message {
    uint64_t fingerprint;
    uint64_t target;
    uint64_t incarnation;
};

/**
 * struct message - message to the route duty
 * @report: owned by the message; held by pointer because reports are large
 */
struct message {
    enum message_kind kind;
    union {
        struct handle call;
        struct attempt_result result;
        struct target_report *report;
        struct placement placement;
        struct claim_result claim_result;
        struct strike_message strike;
        struct target_notice notice;
    };
};

struct route {
    struct duty duty;
    struct ring ring;
    struct router *router;
};

static void
handle_message(struct route *route, struct message *message, int64_t now_ms)
{
    switch (message->kind) {
    case MESSAGE_CALL:
        router_handle_call(route->router, message->call, now_ms);
        break;
    case MESSAGE_RESULT:
        router_handle_result(route->router, &message->result, now_ms);
        break;
    case MESSAGE_REPORT:
        router_handle_report(route->router, message->report, now_ms);
        free(message->report);
        break;
    case MESSAGE_PLACEMENT:
        router_handle_placement(route->router, &message->placement, now_ms);
        break;
    case MESSAGE_CLAIM_RESULT:
        router_handle_claim_result(route->router, &message->claim_result,
                                   now_ms);
        break;
    case MESSAGE_STRIKE:
        router_handle_strike(route->router, message->strike.fingerprint,
                             message->strike.target,
                             message->strike.incarnation, now_ms);
        break;
    case MESSAGE_NOTICE:
        router_handle_notice(route->router, &message->notice);
        break;
    }
}

static bool
route_run(struct duty *duty, struct err *err)
{
    struct route *route = (struct route *)duty;
    struct message message;
    enum ring_result result;

    (void)err;
    do {
        int64_t wait_ms = router_wait_ms(route->router, clock_now_ms());

        result = ring_pop(&route->ring, &message, wait_ms);
        if (result == RING_OK) {
            handle_message(route, &message, clock_now_ms());
        }
        router_tick(route->router, clock_now_ms());
    } while (result != RING_CLOSED);
    router_stop(route->router);
    return true;
}

static void
route_stop(struct duty *duty)
{
    ring_close(&((struct route *)duty)->ring);
}

static const struct duty_ops route_ops = {route_run, route_stop};

/**
 * route_new() - create the duty without calls and targets
 * @calls: table of calls; must outlive the duty
 * @data_centre: data centre of this instance, copied
 * @seed: seed of the random number generator
 * @port: callbacks; must outlive the duty
 * @err: set on failure
 *
 * Return: the duty, owned by the caller; NULL with ERR_NO_MEMORY.
 */
struct route *
route_new(struct calls *calls, const char *data_centre, uint64_t seed,
          struct route_port *port, struct err *err)
{
    struct route *route = calloc(1, sizeof(*route));

    if (route == NULL) {
        err_set(err, ERR_NO_MEMORY, "route");
        return NULL;
    }
    route->duty.ops = &route_ops;
    route->duty.name = "route";
    if (!ring_init(&route->ring, MESSAGES_MAX, sizeof(struct message), err)) {
        free(route);
        return NULL;
    }
    route->router = router_new(calls, data_centre, seed, port, err);
    if (route->router == NULL) {
        ring_free(&route->ring);
        free(route);
        return NULL;
    }
    return route;
}

/**
 * route_free() - release a duty that has stopped
 * @route: the duty; may be NULL
 */
void
route_free(struct route *route)
{
    struct message message;

    if (route == NULL) {
        return;
    }
    while (ring_pop(&route->ring, &message, 0) == RING_OK) {
        if (message.kind == MESSAGE_REPORT) {
            free(message.report);
        }
    }
    router_free(route->router);
    ring_free(&route->ring);
    free(route);
}

/**
 * route_duty() - the duty for the supervisor
 * @route: the duty
 *
 * Return: the duty, owned by @route.
 */
struct duty *
route_duty(struct route *route)
{
    return &route->duty;
}

/* Keeps half of the ring for results of attempts and claims: a call whose
 * result is lost would never be answered. Other messages are repeated or can
 * be refused. */
static bool
push_bounded(struct route *route, const struct message *message,
             struct err *err)
{
    if (ring_count(&route->ring) >= MESSAGES_DROPPABLE_MAX) {
        return err_set(err, ERR_RING_FULL,
                       "the route duty has %d messages pending",
                       MESSAGES_DROPPABLE_MAX);
    }
    return ring_push(&route->ring, message, err);
}

/**
 * route_post_call() - post a new call
 * @route: the duty
 * @call: the call
 * @err: set on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
route_post_call(struct route *route, struct handle call, struct err *err)
{
    struct message message = {.kind = MESSAGE_CALL, .call = call};

    return push_bounded(route, &message, err);
}

/**
 * route_post_result() - post the result of an attempt
 * @route: the duty
 * @result: the result, copied
 * @err: set on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
route_post_result(struct route *route, const struct attempt_result *result,
                  struct err *err)
{
    struct message message = {.kind = MESSAGE_RESULT, .result = *result};

    return ring_push(&route->ring, &message, err);
}

/**
 * route_post_notice() - post what the head of an answer says of its target
 * @route: the duty
 * @notice: the notice, copied
 * @err: set on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
route_post_notice(struct route *route, const struct target_notice *notice,
                  struct err *err)
{
    struct message message = {.kind = MESSAGE_NOTICE, .notice = *notice};

    return ring_push(&route->ring, &message, err);
}

/**
 * route_post_report() - post a report of a target
 * @route: the duty
 * @report: the report, copied
 * @err: set on failure
 *
 * Return: false with ERR_RING_FULL, ERR_STOPPED or ERR_NO_MEMORY.
 */
bool
route_post_report(struct route *route, const struct target_report *report,
                  struct err *err)
{
    struct message message = {.kind = MESSAGE_REPORT};

    message.report = malloc(sizeof(*report));
    if (message.report == NULL) {
        return err_set(err, ERR_NO_MEMORY, "target report");
    }
    *message.report = *report;
    if (!push_bounded(route, &message, err)) {
        free(message.report);
        return false;
    }
    return true;
}

/**
 * route_post_placement() - post the answer to a load request
 * @route: the duty
 * @placement: the answer, copied
 * @err: set on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
route_post_placement(struct route *route, const struct placement *placement,
                     struct err *err)
{
    struct message message = {
        .kind = MESSAGE_PLACEMENT,
        .placement = *placement,
    };

    return push_bounded(route, &message, err);
}

/**
 * route_post_claim_result() - post the decision on a claim
 * @route: the duty
 * @result: the decision, copied
 * @err: set on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
route_post_claim_result(struct route *route, const struct claim_result *result,
                        struct err *err)
{
    struct message message = {.kind = MESSAGE_CLAIM_RESULT,
                              .claim_result = *result};

    return ring_push(&route->ring, &message, err);
}

/**
 * route_post_strike() - post a strike sent by another instance
 * @route: the duty
 * @fingerprint: fingerprint of the request
 * @target: id of the target that went down
 * @incarnation: start number of the target's process when the request ran
 * @err: set on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
route_post_strike(struct route *route, uint64_t fingerprint, uint64_t target,
                  uint64_t incarnation, struct err *err)
{
    struct message message = {
        .kind = MESSAGE_STRIKE,
        .strike = {fingerprint, target, incarnation},
    };

    return push_bounded(route, &message, err);
}
