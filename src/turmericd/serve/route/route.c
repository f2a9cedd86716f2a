/**
 * DOC: The route duty: one thread that takes messages from one ring.
 *
 * Calls and reports are refused when the ring is half full. The rest of it
 * is kept for results, placements and verdicts, whose number is bounded by
 * the calls taken, so that these never find it full.
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
    MESSAGE_VERDICT,
    MESSAGE_STRIKE,
};

struct strike_message {
    uint64_t fingerprint;
    uint64_t target;
    uint64_t incarnation;
};

/**
 * struct message - what the duty is told
 * @report: owned by the message, because reports are large
 */
struct message {
    enum message_kind kind;
    union {
        struct handle call;
        struct attempt_result result;
        struct target_report *report;
        struct placement placement;
        struct claim_verdict verdict;
        struct strike_message strike;
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
    case MESSAGE_VERDICT:
        router_handle_verdict(route->router, &message->verdict, now_ms);
        break;
    case MESSAGE_STRIKE:
        router_handle_strike(route->router, message->strike.fingerprint,
                             message->strike.target,
                             message->strike.incarnation, now_ms);
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
 * route_new() - the duty without calls and targets
 * @calls: table of calls
 * @data_centre: own data centre
 * @seed: of the random numbers
 * @port: the rest of the instance
 * @err: filled in on failure
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
 * route_duty() - the duty
 * @route: the duty
 */
struct duty *
route_duty(struct route *route)
{
    return &route->duty;
}

/* Keeps half of the ring for results and verdicts. A lost result would leave
 * its call without an answer; all else is repeated or can be refused. */
static bool
push_bounded(struct route *route, const struct message *message,
             struct err *err)
{
    if (ring_count(&route->ring) >= MESSAGES_DROPPABLE_MAX) {
        return err_set(err, ERR_RING_FULL, "route has %d messages to handle",
                       MESSAGES_DROPPABLE_MAX);
    }
    return ring_push(&route->ring, message, err);
}

/**
 * route_post_call() - hand over an open call
 * @route: the duty
 * @call: the call
 * @err: filled in on failure
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
 * route_post_result() - an attempt ended
 * @route: the duty
 * @result: how
 * @err: filled in on failure
 */
bool
route_post_result(struct route *route, const struct attempt_result *result,
                  struct err *err)
{
    struct message message = {.kind = MESSAGE_RESULT, .result = *result};

    return ring_push(&route->ring, &message, err);
}

/**
 * route_post_report() - a report of a target came
 * @route: the duty
 * @report: the report, copied
 * @err: filled in on failure
 */
bool
route_post_report(struct route *route, const struct target_report *report,
                  struct err *err)
{
    struct message message = {.kind = MESSAGE_REPORT};

    message.report = malloc(sizeof(*report));
    if (message.report == NULL) {
        return err_set(err, ERR_NO_MEMORY, "report");
    }
    *message.report = *report;
    if (!push_bounded(route, &message, err)) {
        free(message.report);
        return false;
    }
    return true;
}

/**
 * route_post_placement() - the owner of a leaf answered a want
 * @route: the duty
 * @placement: its answer
 * @err: filled in on failure
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
 * route_post_verdict() - a claim was decided
 * @route: the duty
 * @verdict: the decision
 * @err: filled in on failure
 */
bool
route_post_verdict(struct route *route, const struct claim_verdict *verdict,
                   struct err *err)
{
    struct message message = {.kind = MESSAGE_VERDICT, .verdict = *verdict};

    return ring_push(&route->ring, &message, err);
}

/**
 * route_post_strike() - another instance saw a request bring a target down
 * @route: the duty
 * @fingerprint: the request
 * @target: the target
 * @incarnation: its start number
 * @err: filled in on failure
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
