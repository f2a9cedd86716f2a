/**
 * DOC: Supervisor of the pollers and of the duty that merges their results.
 *
 * Targets whose last poll failed, and the platform's list, have separate
 * pollers, so that waiting for an unresponsive server does not delay the polls
 * of the other targets.
 */
#include <glib.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"

enum {
    INBOX_MESSAGES_MAX = 1024,
    POLL_JOBS_MAX = 256,
    POLLER_COUNT = 3,
    SLOW_POLLER_COUNT = 2,
    TICK_MS = 100,
    /* Delay in which reports for the same data centre are collected into one
     * message; with 20 members per data centre, each message costs 60 bytes
     * of headers. */
    BROADCAST_DELAY_MS = 500,
    BROADCAST_REPORTS_MAX = 64,
    /* Polls per second of targets that other members should poll, but are
     * stale or said here that they leave; this limits the traffic to other
     * data centres to about 5 KB/s. */
    STALE_POLLS_PER_S = 8,
    STALE_RETRY_MS = 5000,
    /* A result this late was lost because the inbox was full. */
    RESULT_TIMEOUT_MS = 30000,
};

/* Duty that merges the results of its siblings, the pollers. */
struct core {
    struct duty duty;
    struct observe *observe;
};

struct observe {
    struct supervisor supervisor;
    struct core core;
    struct poller pollers[POLLER_COUNT];
    struct poller slow_pollers[SLOW_POLLER_COUNT];
    struct poller list_poller;
    struct observe_settings settings;
    struct observe_port *port;
    struct ring inbox;
    struct ring jobs;
    struct ring slow_jobs;
    struct ring list_jobs;
    struct table targets;
    GHashTable *target_index;
    atomic_bool stopping;
    int64_t next_list_read_ms;
    int64_t list_started_ms;
    bool list_read_pending;
    bool list_failed;
    uint32_t list_number;
    int64_t broadcast_due_ms;
    int64_t stale_budget_reset_ms;
    int stale_polls_left;
};

static const char *
state_name(enum target_state state)
{
    static const char *const names[] = {"live", "leaving", "down", "gone"};

    return names[state];
}

static struct handle
stored_handle(gpointer value)
{
    return *(struct handle *)value;
}

static struct observed_target *
target_find(struct observe *observe, uint64_t id)
{
    gpointer value = g_hash_table_lookup(observe->target_index, &id);

    return value == NULL ? NULL
                         : table_get(&observe->targets, stored_handle(value));
}

static void
index_target(struct observe *observe, struct observed_target *observed,
             struct handle handle)
{
    struct handle *value = g_new(struct handle, 1);

    *value = handle;
    g_hash_table_insert(observe->target_index, &observed->report->id, value);
}

/* Returns NULL when the table is full; the next list retries. */
static struct observed_target *
target_add(struct observe *observe, const char *name, int64_t now_ms)
{
    struct target_report *report;
    struct observed_target *observed;
    struct handle handle;
    struct err err = {0};

    observed = table_alloc(&observe->targets, &handle, &err);
    if (observed == NULL) {
        refusal_add(err.kind);
        return NULL;
    }
    report = calloc(1, sizeof(*report));
    if (report == NULL) {
        refusal_add(ERR_NO_MEMORY);
        table_free(&observe->targets, handle);
        return NULL;
    }
    snprintf(report->name, sizeof(report->name), "%s", name);
    report->id = hash_text(name);
    merge_init(observed, report, now_ms);
    index_target(observe, observed, handle);
    return observed;
}

static void
target_remove(struct observe *observe, struct observed_target *observed,
              struct handle handle)
{
    g_hash_table_remove(observe->target_index, &observed->report->id);
    free(observed->report);
    table_free(&observe->targets, handle);
}

static void
publish_report(struct observe *observe, const struct observed_target *observed,
               enum target_state before)
{
    const struct target_report *report = observed->report;

    if (report->state != before) {
        log_line(LOG_PRI_INFO, "observe",
                 "event=target target=%s state=%s before=%s", report->name,
                 state_name(report->state), state_name(before));
    }
    counter_add(CTR_REPORTS, 1);
    observe->port->ops->target_reported(observe->port, report);
}

/* Logs the end of what an answer said, if it ended. */
static void
log_leaving_end(const struct observed_target *observed, bool was_leaving,
                const char *source, int64_t now_ms)
{
    if (was_leaving && !observed->leaving) {
        counter_add(CTR_LEAVING_ENDED, 1);
        log_line(LOG_PRI_INFO, "observe",
                 "event=leaving_ended target=%s source=%s age_ms=%lld "
                 "state=%s",
                 observed->report->name, source,
                 (long long)(now_ms - observed->leaving_since_ms),
                 state_name(observed->report->state));
    }
}

static void
apply_listed_entry(struct observe *observe,
                   const struct listed_instance *listed)
{
    struct member_info info = {0};

    info.id = hash_text(listed->name);
    memcpy(info.name, listed->name, sizeof(info.name));
    memcpy(info.data_centre, listed->data_centre, sizeof(info.data_centre));
    memcpy(info.address, listed->address, sizeof(info.address));
    memcpy(info.peer_address, listed->peer_address, sizeof(info.peer_address));
    info.state = listed->draining ? MEMBER_LEAVING : MEMBER_ALIVE;
    observe->port->ops->entry_listed(observe->port, &info);
}

static void
apply_listed_target(struct observe *observe,
                    const struct listed_instance *listed, int64_t now_ms)
{
    struct observed_target *observed =
        target_find(observe, hash_text(listed->name));
    bool added = observed == NULL;
    enum target_state before;

    if (added) {
        observed = target_add(observe, listed->name, now_ms);
    }
    if (observed == NULL) {
        return;
    }
    observed->last_list_number = observe->list_number;
    before = observed->report->state;
    if (merge_list_record(observed, listed) || added) {
        publish_report(observe, observed, before);
    }
}

static void
apply_missing_targets(struct observe *observe, int64_t now_ms)
{
    uint32_t cursor = 0;
    struct handle handle;
    struct observed_target *observed;

    while ((observed = table_next(&observe->targets, &cursor, &handle)) !=
           NULL) {
        enum target_state before = observed->report->state;

        if (observed->last_list_number == observe->list_number) {
            continue;
        }
        if (merge_list_absence(observed)) {
            publish_report(observe, observed, before);
        }
        if (observed->report->state == TARGET_GONE &&
            !merge_keeps_gone(observed, now_ms)) {
            bool was_leaving = observed->leaving;

            observed->leaving = false;
            log_leaving_end(observed, was_leaving, "list", now_ms);
            target_remove(observe, observed, handle);
        }
    }
}

static void
set_list_failed(struct observe *observe, bool failed)
{
    if (failed) {
        counter_add(CTR_POLLS_FAILED, 1);
    }
    if (failed != observe->list_failed) {
        observe->list_failed = failed;
        log_line(failed ? LOG_PRI_WARNING : LOG_PRI_INFO, "observe",
                 "event=list readable=%s url=%s", failed ? "no" : "yes",
                 observe->settings.list_url);
    }
}

static void
handle_list(struct observe *observe, const struct observe_message *message,
            int64_t now_ms)
{
    observe->list_read_pending = false;
    set_list_failed(observe, !message->list_valid);
    if (!message->list_valid) {
        return;
    }
    observe->list_number++;
    for (int i = 0; i < message->list.count; i++) {
        const struct listed_instance *listed = &message->list.records[i];

        if (listed->kind == LISTED_ENTRY) {
            apply_listed_entry(observe, listed);
        }
        else {
            apply_listed_target(observe, listed, now_ms);
        }
    }
    apply_missing_targets(observe, now_ms);
}

/* A full report or a change of state is broadcast without delay. */
static void
schedule_broadcast(struct observe *observe, struct observed_target *observed,
                   int64_t now_ms)
{
    enum broadcast_kind kind = merge_broadcast_needed(observed, now_ms);
    int64_t due_ms = now_ms + BROADCAST_DELAY_MS;

    if (kind == BROADCAST_NONE) {
        return;
    }
    observed->broadcast_pending = true;
    if (kind == BROADCAST_FULL ||
        observed->last_broadcast.state != observed->report->state) {
        due_ms = now_ms;
    }
    if (due_ms < observe->broadcast_due_ms) {
        observe->broadcast_due_ms = due_ms;
    }
}

static bool
polls_target(struct observe *observe, const struct observed_target *observed)
{
    return observe->port->ops->polls_target(
        observe->port, observed->report->id, observed->report->data_centre);
}

/* Each status of an engine has an incarnation; any JSON object would do as
 * that of a plain service. */
static bool
is_status_of(const struct observed_target *observed,
             const struct target_report *status)
{
    return status != NULL && (observed->report->kind != TARGET_ENGINE ||
                              status->incarnation != 0);
}

static void
handle_poll_result(struct observe *observe,
                   const struct observe_message *message, int64_t now_ms)
{
    struct observed_target *observed =
        target_find(observe, message->target_id);
    enum target_state before;
    bool was_leaving;
    bool changed;

    if (observed == NULL || !observed->polling) {
        return;
    }
    observed->polling = false;
    before = observed->report->state;
    was_leaving = observed->leaving;
    if (is_status_of(observed, message->status)) {
        changed = merge_poll_status(observed, message->status, now_ms);
    }
    else {
        counter_add(CTR_POLLS_FAILED, 1);
        changed = merge_poll_failure(observed);
    }
    log_leaving_end(observed, was_leaving, "poll", now_ms);
    if (changed) {
        publish_report(observe, observed, before);
    }
    if (polls_target(observe, observed)) {
        schedule_broadcast(observe, observed, now_ms);
    }
}

static void
handle_leaving(struct observe *observe, uint64_t target_id, int64_t heard_ms,
               int64_t now_ms)
{
    struct observed_target *observed = target_find(observe, target_id);
    enum target_state before;

    if (observed == NULL) {
        return;
    }
    before = observed->report->state;
    if (merge_answer_leaving(observed, heard_ms)) {
        counter_add(CTR_LEAVING_BEGUN, 1);
        log_line(LOG_PRI_INFO, "observe",
                 "event=leaving target=%s source=answer age_ms=%lld",
                 observed->report->name, (long long)(now_ms - heard_ms));
    }
    if (observed->report->state != before) {
        publish_report(observe, observed, before);
        if (polls_target(observe, observed)) {
            schedule_broadcast(observe, observed, now_ms);
        }
    }
}

static void
handle_peer_report(struct observe *observe,
                   const Turmeric__TargetReport *packed, int64_t now_ms)
{
    struct target_report report;
    struct observed_target *observed;
    struct err err = {0};
    enum target_state before;

    if (!report_unpack(packed, &report, &err)) {
        refusal_add(err.kind);
        return;
    }
    observed = target_find(observe, report.id);
    if (observed == NULL && !packed->load_only) {
        observed = target_add(observe, report.name, now_ms);
        if (observed != NULL) {
            *observed->report = report;
        }
    }
    if (observed == NULL) {
        return;
    }
    before = observed->report->state;
    if (merge_peer_report(observed, &report, packed->load_only,
                          polls_target(observe, observed), now_ms)) {
        publish_report(observe, observed, before);
    }
}

static void
handle_envelope(struct observe *observe, const Turmeric__Envelope *envelope,
                int64_t now_ms)
{
    if (envelope->body_case != TURMERIC__ENVELOPE__BODY_REPORTS) {
        return;
    }
    for (size_t i = 0; i < envelope->reports->n_reports; i++) {
        handle_peer_report(observe, envelope->reports->reports[i], now_ms);
    }
}

static void
message_free(struct observe_message *message)
{
    free(message->status);
    instance_list_free(&message->list);
    if (message->envelope != NULL) {
        turmeric__envelope__free_unpacked(message->envelope, NULL);
    }
}

static void
handle_message(struct observe *observe, struct observe_message *message,
               int64_t now_ms)
{
    switch (message->kind) {
    case OBSERVE_STATUS:
        handle_poll_result(observe, message, now_ms);
        break;
    case OBSERVE_LIST:
        handle_list(observe, message, now_ms);
        break;
    case OBSERVE_ENVELOPE:
        handle_envelope(observe, message->envelope, now_ms);
        break;
    case OBSERVE_LEAVING:
        handle_leaving(observe, message->target_id, message->heard_ms, now_ms);
        break;
    }
    message_free(message);
}

static void
poll_list_when_due(struct observe *observe, int64_t now_ms)
{
    struct poll_job job = {.reads_list = true};

    if (observe->list_read_pending &&
        now_ms - observe->list_started_ms >= RESULT_TIMEOUT_MS) {
        observe->list_read_pending = false;
    }
    if (observe->list_read_pending || now_ms < observe->next_list_read_ms) {
        return;
    }
    observe->next_list_read_ms = now_ms + observe->settings.list_interval_ms;
    snprintf(job.url, sizeof(job.url), "%s/instances",
             observe->settings.list_url);
    observe->list_read_pending = ring_push(&observe->list_jobs, &job, NULL);
    observe->list_started_ms = now_ms;
}

static void
start_poll(struct observe *observe, struct observed_target *observed,
           int64_t now_ms)
{
    bool slow = observed->consecutive_failures > 0;
    struct poll_job job = {.target_id = observed->report->id};

    snprintf(job.url, sizeof(job.url), "http://%s/status",
             observed->report->address);
    observed->polling =
        ring_push(slow ? &observe->slow_jobs : &observe->jobs, &job, NULL);
    observed->poll_started_ms = now_ms;
}

static bool
take_stale_poll(struct observe *observe)
{
    if (observe->stale_polls_left == 0) {
        return false;
    }
    observe->stale_polls_left--;
    return true;
}

static void
poll_target_when_due(struct observe *observe, struct observed_target *observed,
                     int64_t now_ms)
{
    if (observed->polling &&
        now_ms - observed->poll_started_ms >= RESULT_TIMEOUT_MS) {
        observed->polling = false;
    }
    if (observed->polling || now_ms < observed->next_poll_ms ||
        observed->report->state == TARGET_GONE) {
        return;
    }
    if (polls_target(observe, observed)) {
        observed->next_poll_ms = now_ms + observe->settings.poll_interval_ms;
        start_poll(observe, observed, now_ms);
    }
    else if (!merge_needs_own_poll(observed, now_ms)) {
        observed->next_poll_ms = now_ms + observe->settings.poll_interval_ms;
    }
    else if (take_stale_poll(observe)) {
        observed->next_poll_ms = now_ms + STALE_RETRY_MS;
        start_poll(observe, observed, now_ms);
    }
}

static void
poll_targets_when_due(struct observe *observe, int64_t now_ms)
{
    uint32_t cursor = 0;
    struct observed_target *observed;

    if (now_ms >= observe->stale_budget_reset_ms) {
        observe->stale_budget_reset_ms = now_ms + 1000;
        observe->stale_polls_left = STALE_POLLS_PER_S;
    }
    while ((observed = table_next(&observe->targets, &cursor, NULL)) != NULL) {
        poll_target_when_due(observe, observed, now_ms);
    }
}

static void
send_reports(struct observe *observe, const char *data_centre,
             Turmeric__TargetReport **reports, size_t count)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Reports body = TURMERIC__REPORTS__INIT;

    body.n_reports = count;
    body.reports = reports;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_REPORTS;
    envelope.reports = &body;
    observe->port->ops->broadcast(observe->port, data_centre, &envelope);
}

/* Broadcasts the pending reports of the data centre of the first one found.
 * Returns whether there may be more. */
static bool
broadcast_data_centre(struct observe *observe, int64_t now_ms)
{
    Turmeric__TargetReport packed[BROADCAST_REPORTS_MAX];
    Turmeric__TargetReport *reports[BROADCAST_REPORTS_MAX];
    const char *data_centre = NULL;
    struct observed_target *observed;
    uint32_t cursor = 0;
    size_t count = 0;

    while (count < BROADCAST_REPORTS_MAX &&
           (observed = table_next(&observe->targets, &cursor, NULL)) != NULL) {
        const struct target_report *report = observed->report;
        enum broadcast_kind kind;

        if (!observed->broadcast_pending ||
            (data_centre != NULL &&
             strcmp(data_centre, report->data_centre) != 0)) {
            continue;
        }
        data_centre = report->data_centre;
        observed->broadcast_pending = false;
        kind = merge_broadcast_needed(observed, now_ms);
        if (kind != BROADCAST_NONE) {
            report_pack(report, kind == BROADCAST_LOAD, &packed[count]);
            reports[count] = &packed[count];
            merge_broadcast_sent(observed, kind, now_ms);
            count++;
        }
    }
    if (count > 0) {
        send_reports(observe, data_centre, reports, count);
    }
    return data_centre != NULL;
}

static void
broadcast_when_due(struct observe *observe, int64_t now_ms)
{
    if (now_ms < observe->broadcast_due_ms) {
        return;
    }
    while (broadcast_data_centre(observe, now_ms)) {
    }
    observe->broadcast_due_ms = INT64_MAX;
}

static bool
core_run(struct duty *duty, struct err *err)
{
    struct observe *observe = ((struct core *)duty)->observe;
    int64_t tick_ms = 0;

    (void)err;
    while (!atomic_load(&observe->stopping)) {
        struct observe_message message;
        int64_t now_ms = clock_now_ms();
        int64_t wait_ms = tick_ms > now_ms ? tick_ms - now_ms : 0;

        if (ring_pop(&observe->inbox, &message, wait_ms) == RING_OK) {
            handle_message(observe, &message, clock_now_ms());
        }
        now_ms = clock_now_ms();
        if (now_ms >= tick_ms) {
            tick_ms = now_ms + TICK_MS;
            poll_list_when_due(observe, now_ms);
            poll_targets_when_due(observe, now_ms);
        }
        broadcast_when_due(observe, now_ms);
    }
    return true;
}

static void
core_stop(struct duty *duty)
{
    struct observe *observe = ((struct core *)duty)->observe;

    atomic_store(&observe->stopping, true);
    ring_close(&observe->inbox);
}

static const struct duty_ops core_ops = {core_run, core_stop};

static bool
rings_init(struct observe *observe, struct err *err)
{
    return ring_init(&observe->inbox, INBOX_MESSAGES_MAX,
                     sizeof(struct observe_message), err) &&
           ring_init(&observe->jobs, POLL_JOBS_MAX, sizeof(struct poll_job),
                     err) &&
           ring_init(&observe->slow_jobs, POLL_JOBS_MAX,
                     sizeof(struct poll_job), err) &&
           ring_init(&observe->list_jobs, 1, sizeof(struct poll_job), err);
}

static void
children_init(struct observe *observe)
{
    int timeout_ms = observe->settings.poll_timeout_ms;

    supervisor_init(&observe->supervisor, "observe");
    for (int i = 0; i < POLLER_COUNT; i++) {
        poller_init(&observe->pollers[i], "poller", &observe->jobs,
                    &observe->inbox, timeout_ms);
        supervisor_add(&observe->supervisor, &observe->pollers[i].duty);
    }
    for (int i = 0; i < SLOW_POLLER_COUNT; i++) {
        poller_init(&observe->slow_pollers[i], "slow_poller",
                    &observe->slow_jobs, &observe->inbox, timeout_ms);
        supervisor_add(&observe->supervisor, &observe->slow_pollers[i].duty);
    }
    poller_init(&observe->list_poller, "list_poller", &observe->list_jobs,
                &observe->inbox, timeout_ms);
    supervisor_add(&observe->supervisor, &observe->list_poller.duty);
    observe->core.duty.ops = &core_ops;
    observe->core.duty.name = "core";
    observe->core.observe = observe;
    supervisor_add(&observe->supervisor, &observe->core.duty);
}

/**
 * observe_new() - create the observe supervisor
 * @settings: settings, copied
 * @port: callbacks, called in the core duty's thread
 * @err: filled in on failure
 */
struct observe *
observe_new(const struct observe_settings *settings, struct observe_port *port,
            struct err *err)
{
    struct observe *observe = calloc(1, sizeof(*observe));

    if (observe == NULL) {
        err_set(err, ERR_NO_MEMORY, "cannot allocate the observe supervisor");
        return NULL;
    }
    observe->settings = *settings;
    observe->port = port;
    observe->broadcast_due_ms = INT64_MAX;
    if (!rings_init(observe, err) ||
        !table_init(&observe->targets, TARGETS_MAX,
                    sizeof(struct observed_target), err)) {
        observe_free(observe);
        return NULL;
    }
    observe->target_index =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    children_init(observe);
    ulfius_global_init();
    return observe;
}

static void
ring_free_if_created(struct ring *ring)
{
    if (ring->messages != NULL) {
        ring_free(ring);
    }
}

static void
targets_free(struct observe *observe)
{
    uint32_t cursor = 0;
    struct observed_target *observed;

    while ((observed = table_next(&observe->targets, &cursor, NULL)) != NULL) {
        free(observed->report);
    }
    g_hash_table_destroy(observe->target_index);
    table_destroy(&observe->targets);
}

/**
 * observe_free() - release the supervisor after it has stopped
 * @observe: the supervisor; may be NULL
 */
void
observe_free(struct observe *observe)
{
    struct observe_message message;

    if (observe == NULL) {
        return;
    }
    if (observe->target_index != NULL) {
        while (ring_pop(&observe->inbox, &message, 0) == RING_OK) {
            message_free(&message);
        }
        targets_free(observe);
        supervisor_free(&observe->supervisor);
        ulfius_global_close();
    }
    ring_free_if_created(&observe->inbox);
    ring_free_if_created(&observe->jobs);
    ring_free_if_created(&observe->slow_jobs);
    ring_free_if_created(&observe->list_jobs);
    free(observe);
}

/**
 * observe_duty() - the duty for the parent supervisor
 * @observe: the supervisor
 */
struct duty *
observe_duty(struct observe *observe)
{
    return &observe->supervisor.duty;
}

/**
 * observe_post_envelope() - queue a message of a peer for the core duty
 * @observe: the supervisor
 * @envelope: Reports message; @observe owns it when the call returns true
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
observe_post_envelope(struct observe *observe, Turmeric__Envelope *envelope,
                      struct err *err)
{
    struct observe_message message = {.kind = OBSERVE_ENVELOPE,
                                      .envelope = envelope};

    return ring_push(&observe->inbox, &message, err);
}

/**
 * observe_post_leaving() - queue that an answer says its target leaves
 * @observe: the supervisor
 * @target: id of the target
 * @heard_ms: monotonic; when the answer came
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
observe_post_leaving(struct observe *observe, uint64_t target,
                     int64_t heard_ms, struct err *err)
{
    struct observe_message message = {
        .kind = OBSERVE_LEAVING,
        .target_id = target,
        .heard_ms = heard_ms,
    };

    return ring_push(&observe->inbox, &message, err);
}
