/**
 * DOC: Duty that keeps the local configuration up to date.
 *
 * A relay polls the key-value store for its data centre. The other members
 * receive new entries from it and poll the store themselves only when no
 * peer confirms the revision for too long. While the store is unavailable,
 * the current tree stays in effect and becomes stale.
 */
#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/config/fns.h"
#include "turmericd/state/config/internal.h"

/* Reports a new revision to the port and broadcasts its entries if needed. */
void
config_announce(struct config *config, int64_t now_ms)
{
    int64_t revision = config_revision(config);

    if (revision == config->announced_revision) {
        return;
    }
    pthread_mutex_lock(&config->write_lock);
    for (GList *link = config->recent_entries.head; link != NULL;
         link = link->next) {
        const struct config_entry *entry = link->data;

        if (entry->revision > config->announced_revision && entry->broadcast) {
            config_broadcast_entry(config, entry, now_ms);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    config->announced_revision = revision;
    config->port->ops->revision_changed(config->port, revision);
}

/* Logs only when polls start to fail or succeed again. */
static void
log_poll_result(struct config *config, bool succeeded, const struct err *err)
{
    if (!succeeded && !config->poll_failing) {
        log_line(LOG_PRI_WARNING, "config",
                 "event=poll_failed error=%s detail=\"%s\"",
                 err_info(err->kind)->name, err->text);
    }
    if (succeeded && config->poll_failing) {
        log_line(LOG_PRI_INFO, "config", "event=poll_recovered revision=%ld",
                 (long)config_revision(config));
    }
    config->poll_failing = !succeeded;
}

static void
poll_store(struct config *config, bool relay, int64_t now_ms)
{
    struct err err = {0};
    struct config_state state;
    bool succeeded;

    schedule_record_poll(&config->schedule, now_ms);
    succeeded = config_poll(config, relay, now_ms, &err);
    log_poll_result(config, succeeded, &err);
    config_read_state(config, now_ms, &state);
    if (succeeded && !state.store_behind) {
        config->schedule.distrust_peers_until_ms = TIME_NEVER;
    }
    if (relay && succeeded && !state.store_behind) {
        config_broadcast_freshness(config, now_ms);
    }
    if (config->peer_fetch_rounds < STARTUP_FETCH_ROUNDS_MAX || !state.ready) {
        config_fetch_from_peers(config, now_ms);
    }
}

/**
 * config_tick() - perform the work that is due
 * @config: configuration duty
 * @now_ms: current monotonic time
 *
 * Return: latest monotonic time in ms of the next call.
 */
int64_t
config_tick(struct config *config, int64_t now_ms)
{
    bool relay = config->port->ops->is_relay(config->port);

    if (now_ms >= schedule_next_poll_ms(&config->schedule, relay)) {
        poll_store(config, relay, now_ms);
    }
    config_announce(config, now_ms);
    if (config->snapshot_check_due) {
        config->snapshot_check_due = false;
        config_write_snapshot_if_due(config);
    }
    return schedule_next_poll_ms(&config->schedule, relay);
}

/**
 * config_handle_message() - handle a message from the inbox
 * @config: configuration duty
 * @message: the message; its envelope is freed
 * @now_ms: current monotonic time
 */
void
config_handle_message(struct config *config, const struct message *message,
                      int64_t now_ms)
{
    if (message->kind == MESSAGE_EDIT_ACCEPTED) {
        config->snapshot_check_due = true;
    }
    else {
        config_handle_envelope(config, message->envelope, message->received_ms,
                               now_ms);
        turmeric__envelope__free_unpacked(message->envelope, NULL);
    }
    config_announce(config, now_ms);
}

static struct config *
config_from_duty(struct duty *duty)
{
    return (struct config *)duty;
}

/**
 * config_drain_inbox() - handle all messages that are in the inbox
 * @config: configuration duty
 * @now_ms: current monotonic time
 *
 * While the store is slow, a poll takes longer than the interval between
 * messages from peers. Handling one message per poll would fill the inbox.
 */
void
config_drain_inbox(struct config *config, int64_t now_ms)
{
    struct message message;

    for (int i = 0; i < INBOX_CAPACITY &&
                    ring_pop(&config->inbox, &message, 0) == RING_OK;
         i++) {
        config_handle_message(config, &message, now_ms);
    }
}

static bool
config_run(struct duty *duty, struct err *err)
{
    struct config *config = config_from_duty(duty);
    enum ring_result result = RING_OK;

    (void)err;
    while (result != RING_CLOSED) {
        struct message message;
        int64_t due_ms = config_tick(config, clock_now_ms());
        int64_t before_ms = clock_now_ms();
        int64_t wait_ms = CLAMP(due_ms - before_ms, 0, INBOX_WAIT_MAX_MS);
        int64_t after_ms;

        result = ring_pop(&config->inbox, &message, wait_ms);
        after_ms = clock_now_ms();
        schedule_detect_pause(&config->schedule, wait_ms, after_ms - before_ms,
                              after_ms);
        if (result == RING_OK) {
            config_handle_message(config, &message, after_ms);
            config_drain_inbox(config, after_ms);
        }
    }
    return true;
}

static void
config_stop(struct duty *duty)
{
    ring_close(&config_from_duty(duty)->inbox);
}

static const struct duty_ops config_duty_ops = {config_run, config_stop};

/**
 * config_new() - create the duty
 * @kv: key-value store; must outlive the duty
 * @seed: seed of the poll jitter
 * @port: interface to the fleet; must outlive the duty
 * @err: filled in on failure
 *
 * Return: a duty to be freed with config_free(), or NULL with ERR_NO_MEMORY.
 */
struct config *
config_new(struct kv *kv, uint64_t seed, struct config_port *port,
           struct err *err)
{
    struct config *config = calloc(1, sizeof(*config));

    if (config == NULL || !ring_init(&config->inbox, INBOX_CAPACITY,
                                     sizeof(struct message), err)) {
        free(config);
        err_set(err, ERR_NO_MEMORY, "configuration duty");
        return NULL;
    }
    config->duty.ops = &config_duty_ops;
    config->duty.name = "config";
    config->kv = kv;
    config->port = port;
    config->confirmed_ms = TIME_NEVER;
    config->tree = tree_new();
    schedule_init(&config->schedule, seed);
    g_queue_init(&config->recent_entries);
    pthread_mutex_init(&config->edit_lock, NULL);
    pthread_mutex_init(&config->write_lock, NULL);
    pthread_mutex_init(&config->state_lock, NULL);
    return config;
}

/**
 * config_free() - free a duty that has stopped
 * @config: configuration duty; may be NULL
 */
void
config_free(struct config *config)
{
    struct message message;

    if (config == NULL) {
        return;
    }
    while (ring_pop(&config->inbox, &message, 0) == RING_OK) {
        if (message.kind == MESSAGE_ENVELOPE) {
            turmeric__envelope__free_unpacked(message.envelope, NULL);
        }
    }
    ring_free(&config->inbox);
    snapshot_assembly_reset(&config->assembly);
    recent_entries_clear(config);
    tree_unref(config->tree);
    pthread_mutex_destroy(&config->edit_lock);
    pthread_mutex_destroy(&config->write_lock);
    pthread_mutex_destroy(&config->state_lock);
    free(config);
}

/**
 * config_duty() - the duty to add to a supervisor
 * @config: configuration duty
 *
 * Return: the embedded duty, valid as long as @config.
 */
struct duty *
config_duty(struct config *config)
{
    return &config->duty;
}

/**
 * config_post_envelope() - queue a message from a peer
 * @config: configuration duty
 * @envelope: the message; the duty takes ownership only on success
 * @err: filled in on failure
 *
 * Return: false with ERR_RING_FULL or ERR_STOPPED.
 */
bool
config_post_envelope(struct config *config, Turmeric__Envelope *envelope,
                     struct err *err)
{
    struct message message = {MESSAGE_ENVELOPE, envelope, clock_now_ms()};

    return ring_push(&config->inbox, &message, err);
}
