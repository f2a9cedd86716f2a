/**
 * DOC: When the relay must act next without an event.
 *
 * All waits of the relay's thread come from here. A time that is due but that
 * its duty doesn't yet act on would make the thread spin.
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
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    REPORT_PERIOD_MS = 250,
    /* Others select targets by the counts in the reports. They are off by the
     * requests that arrive within the period: a few for each target. */
    TOTALLED_REPORT_PERIOD_MS = 150,
    /* After a request has started to wait for a target. */
    REPORT_MIN_INTERVAL_MS = 20,
};

/**
 * report_period_ms() - time between two periodic activity reports
 * @relay: the relay
 *
 * Reports that the holder adds up are few, but reach others in two steps, so
 * they are sent more often.
 */
int64_t
report_period_ms(const struct relay *relay)
{
    return relay->members->len >= TOTAL_INSTANCES_MIN
               ? TOTALLED_REPORT_PERIOD_MS
               : REPORT_PERIOD_MS;
}

/**
 * report_due_ms() - when the next activity report is due
 * @relay: the relay
 */
int64_t
report_due_ms(const struct relay *relay)
{
    return relay->last_report_ms + (relay->report_soon
                                        ? REPORT_MIN_INTERVAL_MS
                                        : report_period_ms(relay));
}

/**
 * relay_next_due_ms() - when the relay must act next without an event
 * @relay: the relay
 * @now_ms: current time
 *
 * Return: a time; in the past when something is overdue.
 */
int64_t
relay_next_due_ms(const struct relay *relay, int64_t now_ms)
{
    const struct timer *timer = heap_first(&relay->timers);
    int64_t due_ms = MIN(report_due_ms(relay), drain_due_ms(relay, now_ms));

    due_ms = MIN(due_ms, crash_due_ms(relay, now_ms));
    due_ms = MIN(due_ms, team_due_ms(relay, now_ms));
    if (relay->memory.read_on_ms != 0) {
        due_ms = MIN(due_ms, relay->memory.read_on_ms);
    }
    due_ms = MIN(due_ms, quota_due_ms(relay, now_ms));
    if (relay->pause_due_ms != 0) {
        due_ms = MIN(due_ms, relay->pause_due_ms);
    }
    if (timer != NULL) {
        due_ms = MIN(due_ms, timer->due_ms);
    }
    if (!relay->front_open) {
        due_ms = MIN(due_ms, relay->first_event_ms + FRONT_HOLD_MS);
    }
    if (relay->accept_resume_ms != 0) {
        due_ms = MIN(due_ms, relay->accept_resume_ms);
    }
    return due_ms;
}
