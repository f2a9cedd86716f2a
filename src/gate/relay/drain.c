/**
 * DOC: Planned stop.
 *
 * The relay goes on serving while callers still hold its address. What it has
 * accepted by then is answered, if only with a refusal that another instance
 * can act on, before the process ends.
 */
#include <glib.h>
#include <http_parser.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/admit/dat.h"
#include "gate/admit/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    /* A grace period for which the times below are meant; in a shorter one
     * they are shorter in proportion. */
    FULL_GRACE_MS = 8000,
    /* Later requests may not finish before the process is killed. */
    ADMIT_MS = 3000,
    /* The platform has noticed the drain by then, as it polls readiness once a
     * second, and most callers, whose addresses are valid for 2 s. */
    ACCEPT_MS = 3500,
    /* Times before the end of the grace period: queued requests are refused
     * while another instance still has time to serve them, then all others,
     * then the process stops by itself before it is killed. */
    REFUSE_QUEUED_MS = 3000,
    REFUSE_ALL_MS = 1100,
    EXIT_MS = 900,
};

static int64_t
in_proportion(int64_t time_ms, int64_t grace_ms)
{
    return MIN(time_ms, time_ms * grace_ms / FULL_GRACE_MS);
}

/**
 * drain_schedule() - steps of a planned stop
 * @grace_ms: time from the request to stop to the kill
 */
struct drain_schedule
drain_schedule(int64_t grace_ms)
{
    struct drain_schedule schedule = {
        .admit_ms = in_proportion(ADMIT_MS, grace_ms),
        .accept_ms = in_proportion(ACCEPT_MS, grace_ms),
        .refuse_queued_ms =
            grace_ms - in_proportion(REFUSE_QUEUED_MS, grace_ms),
        .refuse_all_ms = grace_ms - in_proportion(REFUSE_ALL_MS, grace_ms),
        .exit_ms = grace_ms - in_proportion(EXIT_MS, grace_ms),
    };

    return schedule;
}

static struct drain_schedule
schedule_of(const struct relay *relay)
{
    return drain_schedule(relay->settings->limits.stop_grace_ms);
}

/**
 * drain_admits() - whether a request that arrives now is still taken
 * @relay: the relay
 * @now_ms: current time
 */
bool
drain_admits(const struct relay *relay, int64_t now_ms)
{
    return !relay->draining ||
           now_ms - relay->drain_started_ms <= schedule_of(relay).admit_ms;
}

static bool
is_served_elsewhere(const struct relay *relay)
{
    for (guint i = 0; i < relay->members->len; i++) {
        const struct gate_member *member =
            &g_array_index(relay->members, struct gate_member, i);

        if (!member_is_self(relay, member) &&
            !member_is_stopping(relay, member)) {
            return true;
        }
    }
    return false;
}

/* A target whose interval is unknown says nothing of the end. */
static double
late_share_at(const struct exchange *exchange,
              const struct relay_target *target, int64_t left_ms,
              int64_t now_ms)
{
    double interval_ms =
        event_intervals_expected_ms(&target->record.intervals, now_ms);

    return interval_ms > 0.0 ? finish_late_share(&exchange->needs.finish,
                                                 interval_ms, (double)left_ms)
                             : -1.0;
}

/**
 * drain_decide() - whether a stopping instance leaves a request to others
 * @relay: the relay
 * @exchange: a request that is at no target
 * @target: the target that can take it; NULL while it waits for one
 * @wait_ms: expected time until it can be sent
 * @now_ms: current time
 */
struct stop_decision
drain_decide(struct relay *relay, const struct exchange *exchange,
             const struct relay_target *target, int64_t wait_ms,
             int64_t now_ms)
{
    struct stop_facts facts = {
        .begun = exchange->answer.head_sent,
        .may_have_run = exchange->runs > 0,
        .wait_ms = wait_ms,
        .left_ms = relay->drain_started_ms + schedule_of(relay).refuse_all_ms -
                   now_ms,
        .late_share = -1.0,
    };

    if (!relay->draining) {
        return (struct stop_decision){.late_share = -1.0};
    }
    facts.elsewhere = is_served_elsewhere(relay);
    if (target != NULL && exchange->route->stream) {
        facts.interval_ms =
            event_intervals_mean_ms(&target->record.intervals, now_ms);
        facts.late_share =
            late_share_at(exchange, target, facts.left_ms - wait_ms, now_ms);
    }
    return stop_decide(&facts, lengths_of(relay, exchange, now_ms), now_ms);
}

/**
 * drain_start() - start to stop, unless the relay is stopping already
 * @relay: the relay
 * @now_ms: current time
 */
void
drain_start(struct relay *relay, int64_t now_ms)
{
    if (!relay->draining) {
        relay->draining = true;
        relay->drain_started_ms = now_ms;
        relay->report_soon = true;
        log_line(LOG_PRI_INFO, "relay", "event=leaving clients=%u requests=%u",
                 table_count(&relay->clients), table_count(&relay->exchanges));
    }
}

static bool
is_unanswered(const struct client *client)
{
    return client->request_started || client->exchange.generation != 0 ||
           client->output.waiting > 0;
}

static bool
has_unanswered_clients(struct relay *relay)
{
    struct client *client;
    uint32_t cursor = 0;

    while ((client = table_next(&relay->clients, &cursor, NULL)) != NULL) {
        if (is_unanswered(client)) {
            return true;
        }
    }
    return false;
}

/* Connections that the kernel has accepted would be reset with the listener,
 * together with the requests on them. */
static void
accept_last(struct relay *relay, int64_t now_ms)
{
    if (relay->listeners[LISTEN_FRONT] >= 0) {
        client_accept(relay, LISTEN_FRONT, now_ms);
        relay_stop_listening(relay, LISTEN_FRONT);
        relay->last_accept_ms = now_ms;
    }
}

/**
 * drain_due_ms() - when the stop reaches its next step
 * @relay: the relay
 * @now_ms: current time
 *
 * Return: a time; INT64_MAX when no step is to come.
 */
int64_t
drain_due_ms(const struct relay *relay, int64_t now_ms)
{
    struct drain_schedule schedule = schedule_of(relay);
    const int64_t steps_ms[] = {
        schedule.accept_ms,        schedule.accept_ms + DRAIN_READ_MS,
        schedule.refuse_queued_ms, schedule.refuse_all_ms,
        schedule.exit_ms,
    };
    int64_t elapsed_ms = now_ms - relay->drain_started_ms;
    int64_t next_ms = INT64_MAX;

    if (!relay->draining) {
        return INT64_MAX;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(steps_ms); i++) {
        if (steps_ms[i] > elapsed_ms) {
            next_ms = MIN(next_ms, relay->drain_started_ms + steps_ms[i]);
        }
    }
    return next_ms;
}

/**
 * drain_continue() - refuse what can no longer be served before the end
 * @relay: the relay
 * @now_ms: current time
 *
 * Return: true when the process may end.
 */
bool
drain_continue(struct relay *relay, int64_t now_ms)
{
    int64_t elapsed_ms = now_ms - relay->drain_started_ms;
    struct drain_schedule schedule = schedule_of(relay);

    if (!relay->draining) {
        return false;
    }
    if (elapsed_ms >= schedule.accept_ms) {
        accept_last(relay, now_ms);
    }
    if (elapsed_ms >= schedule.refuse_all_ms) {
        exchange_refuse_all(relay, false, now_ms);
    }
    else if (elapsed_ms >= schedule.refuse_queued_ms) {
        exchange_refuse_all(relay, true, now_ms);
    }
    return (relay->listeners[LISTEN_FRONT] < 0 &&
            now_ms - relay->last_accept_ms >= DRAIN_READ_MS &&
            !has_unanswered_clients(relay)) ||
           elapsed_ms >= schedule.exit_ms;
}
