/**
 * DOC: Messages from other duties to the relay; safe from any thread.
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
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "gate/relay/internal.h"

/* Returns false when the ring is full; the caller then still owns @data. */
static bool
post(struct relay *relay, enum relay_message_kind kind, void *data)
{
    struct relay_message message = {.kind = kind, .data = data};
    struct err err = {0};

    if (!ring_push(&relay->ring, &message, &err)) {
        refusal_add(err.kind);
        log_line(LOG_PRI_ERR, "relay", "event=news_lost kind=%d reason=%s",
                 kind, err.text);
        return false;
    }
    relay_wake(relay);
    return true;
}

/**
 * relay_post_config() - post a new configuration
 * @relay: the relay
 * @config: a reference is taken
 *
 * Return: false when the ring is full.
 */
bool
relay_post_config(struct relay *relay, struct gate_config *config)
{
    bool posted = post(relay, RELAY_CONFIG, gate_config_ref(config));

    if (!posted) {
        gate_config_unref(config);
    }
    return posted;
}

/**
 * relay_post_target_change() - post a change of the list of targets
 * @relay: the relay
 * @change: copied
 *
 * Return: false when the ring is full.
 */
bool
relay_post_target_change(struct relay *relay,
                         const struct target_change *change)
{
    struct target_change *copy = g_memdup2(change, sizeof(*change));
    bool posted = post(relay, RELAY_TARGET_CHANGE, copy);

    if (!posted) {
        g_free(copy);
    }
    return posted;
}

/**
 * relay_post_targets_listed() - post that all targets have been read once
 * @relay: the relay
 *
 * Return: false when the ring is full.
 */
bool
relay_post_targets_listed(struct relay *relay)
{
    return post(relay, RELAY_TARGETS_LISTED, NULL);
}

/**
 * relay_post_holdings() - post the holder's view of what a target has loaded
 * @relay: the relay
 * @holdings: takes ownership
 */
void
relay_post_holdings(struct relay *relay, struct holdings *holdings)
{
    if (!post(relay, RELAY_HOLDINGS, holdings)) {
        g_free(holdings);
    }
}

/**
 * relay_post_forecast() - post a load forecast of the lease holder
 * @relay: the relay
 * @forecast: takes ownership
 */
void
relay_post_forecast(struct relay *relay, struct load_forecast *forecast)
{
    if (!post(relay, RELAY_FORECAST, forecast)) {
        load_forecast_free(forecast);
    }
}

/**
 * relay_post_activity() - post another instance's activity report
 * @relay: the relay
 * @report: takes ownership
 */
void
relay_post_activity(struct relay *relay, struct activity_report *report)
{
    if (!post(relay, RELAY_ACTIVITY, report)) {
        activity_report_free(report);
    }
}

/**
 * relay_post_activity_total() - post the holder's total over all instances
 * @relay: the relay
 * @total: with @totals only; takes ownership
 */
void
relay_post_activity_total(struct relay *relay, struct activity_report *total)
{
    if (!post(relay, RELAY_ACTIVITY_TOTAL, total)) {
        activity_report_free(total);
    }
}

/**
 * relay_post_crashes() - post another instance's report on crashes
 * @relay: the relay
 * @report: takes ownership
 */
void
relay_post_crashes(struct relay *relay, struct crash_report *report)
{
    if (!post(relay, RELAY_CRASHES, report)) {
        crash_report_free(report);
    }
}

/**
 * relay_post_confirmation() - post that a configuration was the newest
 * @relay: the relay
 * @confirmation: copied; lost when the ring is full, as another one follows
 */
void
relay_post_confirmation(struct relay *relay,
                        const struct confirmation *confirmation)
{
    struct confirmation *copy = g_memdup2(confirmation, sizeof(*confirmation));

    if (!post(relay, RELAY_CONFIRMED, copy)) {
        g_free(copy);
    }
}

/**
 * relay_post_quota_grant() - post the holder's answer to an ask
 * @relay: the relay
 * @grant: copied; lost when the ring is full, as the ask is sent again
 */
void
relay_post_quota_grant(struct relay *relay, const struct quota_grant *grant)
{
    struct quota_grant *copy = g_memdup2(grant, sizeof(*grant));

    copy->answers = g_array_copy(grant->answers);
    if (!post(relay, RELAY_QUOTA_GRANT, copy)) {
        quota_grant_clear(copy);
        g_free(copy);
    }
}

/**
 * relay_post_holder() - post that another instance grants quotas
 * @relay: the relay
 */
void
relay_post_holder(struct relay *relay)
{
    post(relay, RELAY_HOLDER, NULL);
}

/**
 * relay_post_members() - post the list of instances that serve callers
 * @relay: the relay
 * @members: struct gate_member; copied
 *
 * Return: false when the ring is full.
 */
bool
relay_post_members(struct relay *relay, const GArray *members)
{
    GArray *copy = g_array_sized_new(FALSE, FALSE, sizeof(struct gate_member),
                                     members->len);
    bool posted;

    g_array_append_vals(copy, members->data, members->len);
    posted = post(relay, RELAY_MEMBERS, copy);
    if (!posted) {
        g_array_free(copy, TRUE);
    }
    return posted;
}

/**
 * relay_post_drain() - finish the requests in progress, then stop
 * @relay: the relay
 *
 * relay_port_ops.drained is called at the end.
 */
void
relay_post_drain(struct relay *relay)
{
    atomic_store(&relay->drain_requested, true);
    relay_wake(relay);
}
