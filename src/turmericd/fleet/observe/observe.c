/**
 * DOC: Supervisor of observation: pollers, and the duty that decides.
 *
 * Targets that failed their last poll are polled by pollers of their own, and
 * so is the platform's list, so that one that doesn't answer delays only
 * others like it.
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
    INBOX_MESSAGES = 1024,
    JOBS_MAX = 256,
    POLLERS = 3,
    SLOW_POLLERS = 2,
    TICK_MS = 100,
    /* Reports wait this long for others to the same data centre; at 20
     * members a data centre each message costs 60 bytes of headers. */
    SHARE_WAIT_MS = 500,
    SHARE_REPORTS_MAX = 64,
    /* Polls a second of targets that nobody reports; bounds what a member
     * spends on other data centres to about 5 KB/s. */
    UNKNOWN_POLLS_PER_S = 8,
    UNKNOWN_RETRY_MS = 5000,
    /* A result that is this late was lost, because the inbox was full. */
    RESULT_LOST_MS = 30000,
};

/* The duty that decides; a child next to the pollers. */
struct core {
    struct duty duty;
    struct observe *observe;
};

struct observe {
    struct supervisor supervisor;
    struct core core;
    struct poller pollers[POLLERS];
    struct poller slow_pollers[SLOW_POLLERS];
    struct poller list_poller;
    struct observe_settings settings;
    struct observe_port *port;
    struct ring inbox;
    struct ring jobs;
    struct ring slow_jobs;
    struct ring list_jobs;
    struct table targets;
    GHashTable *by_id;
    atomic_bool stopping;
    int64_t list_due_ms;
    int64_t list_started_ms;
    bool list_reading;
    bool list_failed;
    uint32_t list_number;
    int64_t share_ms;
    int64_t allowance_ms;
    int unknown_polls;
};

static const char *
state_name(enum target_state state)
{
    static const char *const names[] = {"live", "leaving", "down", "gone"};

    return names[state];
}

static struct handle
handle_of(gpointer value)
{
    return *(struct handle *)value;
}

static struct observed *
target_find(struct observe *observe, uint64_t id)
{
    gpointer value = g_hash_table_lookup(observe->by_id, &id);

    return value == NULL ? NULL
                         : table_get(&observe->targets, handle_of(value));
}

static void
target_index(struct observe *observe, struct observed *observed,
             struct handle handle)
{
    struct handle *value = g_new(struct handle, 1);

    *value = handle;
    g_hash_table_insert(observe->by_id, &observed->report->id, value);
}

/* Returns NULL when the table is full; the next list tries again. */
static struct observed *
target_add(struct observe *observe, const char *name, int64_t now_ms)
{
    struct target_report *report;
    struct observed *observed;
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
    target_index(observe, observed, handle);
    return observed;
}

static void
target_remove(struct observe *observe, struct observed *observed,
              struct handle handle)
{
    g_hash_table_remove(observe->by_id, &observed->report->id);
    free(observed->report);
    table_free(&observe->targets, handle);
}

static void
tell(struct observe *observe, const struct observed *observed,
     enum target_state before)
{
    const struct target_report *report = observed->report;

    if (report->state != before) {
        log_line(LOG_PRI_INFO, "observe",
                 "event=target target=%s state=%s before=%s", report->name,
                 state_name(report->state), state_name(before));
    }
    counter_add(CTR_REPORTS, 1);
    observe->port->ops->report(observe->port, report);
}

static void
entry_listed(struct observe *observe, const struct listed *listed)
{
    struct member_info info = {0};

    info.id = hash_text(listed->name);
    memcpy(info.name, listed->name, sizeof(info.name));
    memcpy(info.data_centre, listed->data_centre, sizeof(info.data_centre));
    memcpy(info.address, listed->address, sizeof(info.address));
    memcpy(info.peer_address, listed->peer_address, sizeof(info.peer_address));
    info.state = listed->leaving ? MEMBER_LEAVING : MEMBER_ALIVE;
    observe->port->ops->listed(observe->port, &info);
}

static void
target_listed(struct observe *observe, const struct listed *listed,
              int64_t now_ms)
{
    struct observed *observed = target_find(observe, hash_text(listed->name));
    bool added = observed == NULL;
    enum target_state before;

    if (added) {
        observed = target_add(observe, listed->name, now_ms);
    }
    if (observed == NULL) {
        return;
    }
    observed->seen = observe->list_number;
    before = observed->report->state;
    if (merge_listed(observed, listed) || added) {
        tell(observe, observed, before);
    }
}

static void
targets_missing(struct observe *observe)
{
    uint32_t cursor = 0;
    struct handle handle;
    struct observed *observed;

    while ((observed = table_next(&observe->targets, &cursor, &handle)) !=
           NULL) {
        enum target_state before = observed->report->state;

        if (observed->seen == observe->list_number) {
            continue;
        }
        if (merge_missing(observed)) {
            tell(observe, observed, before);
        }
        if (observed->report->state == TARGET_GONE) {
            target_remove(observe, observed, handle);
        }
    }
}

static void
list_failed(struct observe *observe, bool failed)
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
list_ready(struct observe *observe, const struct observe_message *message,
           int64_t now_ms)
{
    observe->list_reading = false;
    list_failed(observe, !message->list_read);
    if (!message->list_read) {
        return;
    }
    observe->list_number++;
    for (int i = 0; i < message->list.count; i++) {
        const struct listed *listed = &message->list.records[i];

        if (listed->kind == LISTED_ENTRY) {
            entry_listed(observe, listed);
        }
        else {
            target_listed(observe, listed, now_ms);
        }
    }
    targets_missing(observe);
}

/* A full report or a change of state is shared at once. */
static void
share_later(struct observe *observe, struct observed *observed, int64_t now_ms)
{
    enum share share = merge_share(observed, now_ms);
    int64_t due_ms = now_ms + SHARE_WAIT_MS;

    if (share == SHARE_NOTHING) {
        return;
    }
    observed->to_share = true;
    if (share == SHARE_FULL ||
        observed->shared.state != observed->report->state) {
        due_ms = now_ms;
    }
    if (due_ms < observe->share_ms) {
        observe->share_ms = due_ms;
    }
}

static bool
owns(struct observe *observe, const struct observed *observed)
{
    return observe->port->ops->owns(observe->port, observed->report->id,
                                    observed->report->data_centre);
}

static void
status_ready(struct observe *observe, const struct observe_message *message,
             int64_t now_ms)
{
    struct observed *observed = target_find(observe, message->target);
    enum target_state before;
    bool changed;

    if (observed == NULL || !observed->polling) {
        return;
    }
    observed->polling = false;
    before = observed->report->state;
    if (message->status != NULL) {
        changed = merge_status(observed, message->status, now_ms);
    }
    else {
        counter_add(CTR_POLLS_FAILED, 1);
        changed = merge_failed(observed);
    }
    if (changed) {
        tell(observe, observed, before);
    }
    if (owns(observe, observed)) {
        share_later(observe, observed, now_ms);
    }
}

static void
peer_report(struct observe *observe, const Turmeric__TargetReport *packed,
            int64_t now_ms)
{
    struct target_report report;
    struct observed *observed;
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
    if (merge_peer(observed, &report, packed->load_only, now_ms)) {
        tell(observe, observed, before);
    }
}

static void
envelope_ready(struct observe *observe, const Turmeric__Envelope *envelope,
               int64_t now_ms)
{
    if (envelope->body_case != TURMERIC__ENVELOPE__BODY_REPORTS) {
        return;
    }
    for (size_t i = 0; i < envelope->reports->n_reports; i++) {
        peer_report(observe, envelope->reports->reports[i], now_ms);
    }
}

static void
message_free(struct observe_message *message)
{
    free(message->status);
    list_free(&message->list);
    if (message->envelope != NULL) {
        turmeric__envelope__free_unpacked(message->envelope, NULL);
    }
}

static void
message_ready(struct observe *observe, struct observe_message *message,
              int64_t now_ms)
{
    switch (message->kind) {
    case OBSERVE_STATUS:
        status_ready(observe, message, now_ms);
        break;
    case OBSERVE_LIST:
        list_ready(observe, message, now_ms);
        break;
    case OBSERVE_ENVELOPE:
        envelope_ready(observe, message->envelope, now_ms);
        break;
    }
    message_free(message);
}

static void
list_tick(struct observe *observe, int64_t now_ms)
{
    struct poll_job job = {.list = true};

    if (observe->list_reading &&
        now_ms - observe->list_started_ms >= RESULT_LOST_MS) {
        observe->list_reading = false;
    }
    if (observe->list_reading || now_ms < observe->list_due_ms) {
        return;
    }
    observe->list_due_ms = now_ms + observe->settings.list_interval_ms;
    snprintf(job.url, sizeof(job.url), "%s/instances",
             observe->settings.list_url);
    observe->list_reading = ring_push(&observe->list_jobs, &job, NULL);
    observe->list_started_ms = now_ms;
}

static void
poll_start(struct observe *observe, struct observed *observed, int64_t now_ms)
{
    bool slow = observed->failed_polls > 0;
    struct poll_job job = {.target = observed->report->id};

    snprintf(job.url, sizeof(job.url), "http://%s/status",
             observed->report->address);
    observed->polling =
        ring_push(slow ? &observe->slow_jobs : &observe->jobs, &job, NULL);
    observed->poll_started_ms = now_ms;
}

static bool
take_allowance(struct observe *observe)
{
    if (observe->unknown_polls == 0) {
        return false;
    }
    observe->unknown_polls--;
    return true;
}

static void
target_tick(struct observe *observe, struct observed *observed, int64_t now_ms)
{
    if (observed->polling &&
        now_ms - observed->poll_started_ms >= RESULT_LOST_MS) {
        observed->polling = false;
    }
    if (observed->polling || now_ms < observed->poll_ms) {
        return;
    }
    if (owns(observe, observed)) {
        observed->poll_ms = now_ms + observe->settings.poll_interval_ms;
        poll_start(observe, observed, now_ms);
    }
    else if (!merge_unknown(observed, now_ms)) {
        observed->poll_ms = now_ms + observe->settings.poll_interval_ms;
    }
    else if (take_allowance(observe)) {
        observed->poll_ms = now_ms + UNKNOWN_RETRY_MS;
        poll_start(observe, observed, now_ms);
    }
}

static void
targets_tick(struct observe *observe, int64_t now_ms)
{
    uint32_t cursor = 0;
    struct observed *observed;

    if (now_ms >= observe->allowance_ms) {
        observe->allowance_ms = now_ms + 1000;
        observe->unknown_polls = UNKNOWN_POLLS_PER_S;
    }
    while ((observed = table_next(&observe->targets, &cursor, NULL)) != NULL) {
        target_tick(observe, observed, now_ms);
    }
}

static void
share_send(struct observe *observe, const char *data_centre,
           Turmeric__TargetReport **reports, size_t count)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Reports body = TURMERIC__REPORTS__INIT;

    body.n_reports = count;
    body.reports = reports;
    envelope.body_case = TURMERIC__ENVELOPE__BODY_REPORTS;
    envelope.reports = &body;
    observe->port->ops->share(observe->port, data_centre, &envelope);
}

/* Shares the waiting reports of one data centre, the first one's. Returns
 * whether there may be more. */
static bool
share_data_centre(struct observe *observe, int64_t now_ms)
{
    Turmeric__TargetReport packed[SHARE_REPORTS_MAX];
    Turmeric__TargetReport *reports[SHARE_REPORTS_MAX];
    const char *data_centre = NULL;
    struct observed *observed;
    uint32_t cursor = 0;
    size_t count = 0;

    while (count < SHARE_REPORTS_MAX &&
           (observed = table_next(&observe->targets, &cursor, NULL)) != NULL) {
        const struct target_report *report = observed->report;
        enum share share;

        if (!observed->to_share ||
            (data_centre != NULL &&
             strcmp(data_centre, report->data_centre) != 0)) {
            continue;
        }
        data_centre = report->data_centre;
        observed->to_share = false;
        share = merge_share(observed, now_ms);
        if (share != SHARE_NOTHING) {
            report_pack(report, share == SHARE_LOAD, &packed[count]);
            reports[count] = &packed[count];
            merge_shared(observed, share, now_ms);
            count++;
        }
    }
    if (count > 0) {
        share_send(observe, data_centre, reports, count);
    }
    return data_centre != NULL;
}

static void
share_tick(struct observe *observe, int64_t now_ms)
{
    if (now_ms < observe->share_ms) {
        return;
    }
    while (share_data_centre(observe, now_ms)) {
    }
    observe->share_ms = INT64_MAX;
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
            message_ready(observe, &message, clock_now_ms());
        }
        now_ms = clock_now_ms();
        if (now_ms >= tick_ms) {
            tick_ms = now_ms + TICK_MS;
            list_tick(observe, now_ms);
            targets_tick(observe, now_ms);
        }
        share_tick(observe, now_ms);
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
    return ring_init(&observe->inbox, INBOX_MESSAGES,
                     sizeof(struct observe_message), err) &&
           ring_init(&observe->jobs, JOBS_MAX, sizeof(struct poll_job), err) &&
           ring_init(&observe->slow_jobs, JOBS_MAX, sizeof(struct poll_job),
                     err) &&
           ring_init(&observe->list_jobs, 1, sizeof(struct poll_job), err);
}

static void
children_init(struct observe *observe)
{
    int timeout_ms = observe->settings.poll_timeout_ms;

    supervisor_init(&observe->supervisor, "observe");
    for (int i = 0; i < POLLERS; i++) {
        poller_init(&observe->pollers[i], "poller", &observe->jobs,
                    &observe->inbox, timeout_ms);
        supervisor_add(&observe->supervisor, &observe->pollers[i].duty);
    }
    for (int i = 0; i < SLOW_POLLERS; i++) {
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
 * observe_new() - create the supervisor of observation
 * @settings: where to look and how often, copied
 * @port: what it needs and whom it tells; called in one thread
 * @err: filled in on failure
 */
struct observe *
observe_new(const struct observe_settings *settings, struct observe_port *port,
            struct err *err)
{
    struct observe *observe = calloc(1, sizeof(*observe));

    if (observe == NULL) {
        err_set(err, ERR_NO_MEMORY, "observe duty");
        return NULL;
    }
    observe->settings = *settings;
    observe->port = port;
    observe->share_ms = INT64_MAX;
    if (!rings_init(observe, err) ||
        !table_init(&observe->targets, TARGETS_MAX, sizeof(struct observed),
                    err)) {
        observe_free(observe);
        return NULL;
    }
    observe->by_id =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    children_init(observe);
    ulfius_global_init();
    return observe;
}

static void
ring_discard(struct ring *ring)
{
    if (ring->messages != NULL) {
        ring_free(ring);
    }
}

static void
targets_free(struct observe *observe)
{
    uint32_t cursor = 0;
    struct observed *observed;

    while ((observed = table_next(&observe->targets, &cursor, NULL)) != NULL) {
        free(observed->report);
    }
    g_hash_table_destroy(observe->by_id);
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
    if (observe->by_id != NULL) {
        while (ring_pop(&observe->inbox, &message, 0) == RING_OK) {
            message_free(&message);
        }
        targets_free(observe);
        supervisor_free(&observe->supervisor);
        ulfius_global_close();
    }
    ring_discard(&observe->inbox);
    ring_discard(&observe->jobs);
    ring_discard(&observe->slow_jobs);
    ring_discard(&observe->list_jobs);
    free(observe);
}

/**
 * observe_duty() - the supervisor as a duty
 * @observe: the supervisor
 */
struct duty *
observe_duty(struct observe *observe)
{
    return &observe->supervisor.duty;
}

/**
 * observe_post_envelope() - hand over Reports of a peer
 * @observe: the supervisor
 * @envelope: owned by it when the call returns true
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
