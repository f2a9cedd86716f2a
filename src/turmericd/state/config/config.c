/**
 * DOC: Duty that follows the configuration journal.
 *
 * A relay reads the service for its data centre; the other members listen and
 * read themselves only when they hear nothing fresh. Without the service, the
 * tree held stays in force and grows stale.
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

/* Tells the port, and the data centre where needed, the new revisions. */
void
config_announce(struct config *config, int64_t now_ms)
{
    int64_t revision = config_revision(config);

    if (revision == config->announced) {
        return;
    }
    pthread_mutex_lock(&config->write_lock);
    for (GList *link = config->window.head; link != NULL; link = link->next) {
        const struct entry *entry = link->data;

        if (entry->revision > config->announced && entry->share) {
            config_share_entry(config, entry, now_ms);
        }
    }
    pthread_mutex_unlock(&config->write_lock);
    config->announced = revision;
    config->port->ops->changed(config->port, revision);
}

/* A line only when reading begins to fail or to work again. */
static void
note_poll(struct config *config, bool done, const struct err *err)
{
    if (!done && !config->poll_failing) {
        log_line(LOG_PRI_WARNING, "config",
                 "event=poll_failed error=%s detail=\"%s\"",
                 err_info(err->kind)->name, err->text);
    }
    if (done && config->poll_failing) {
        log_line(LOG_PRI_INFO, "config", "event=poll_recovered revision=%ld",
                 (long)config_revision(config));
    }
    config->poll_failing = !done;
}

static void
read_service(struct config *config, bool relay, int64_t now_ms)
{
    struct err err = {0};
    struct config_state state;
    bool done;

    follow_note_read(&config->follow, now_ms);
    done = config_poll(config, relay, now_ms, &err);
    note_poll(config, done, &err);
    config_read_state(config, now_ms, &state);
    if (done && !state.behind) {
        config->follow.distrust_until_ms = TIME_NEVER;
    }
    if (relay && done && !state.behind) {
        config_share_fresh(config, now_ms);
    }
    if (config->peers_asked < PEERS_ASKED_MAX || !state.ready) {
        config_ask_peers(config, now_ms);
    }
}

/**
 * config_tick() - do what is due
 * @config: the duty
 * @now_ms: present time
 *
 * Return: when to call again at the latest.
 */
int64_t
config_tick(struct config *config, int64_t now_ms)
{
    bool relay = config->port->ops->relay(config->port);

    if (now_ms >= follow_next_read_ms(&config->follow, relay)) {
        read_service(config, relay, now_ms);
    }
    config_announce(config, now_ms);
    if (config->snapshot_due) {
        config->snapshot_due = false;
        config_archive(config);
    }
    return follow_next_read_ms(&config->follow, relay);
}

/**
 * config_handle() - handle one message of the inbox
 * @config: the duty
 * @message: the message; its envelope is released
 * @now_ms: present time
 */
void
config_handle(struct config *config, const struct message *message,
              int64_t now_ms)
{
    if (message->kind == MESSAGE_EDITED) {
        config->snapshot_due = true;
    }
    else {
        config_receive(config, message->envelope, message->posted_ms, now_ms);
        turmeric__envelope__free_unpacked(message->envelope, NULL);
    }
    config_announce(config, now_ms);
}

static struct config *
config_of(struct duty *duty)
{
    return (struct config *)duty;
}

/**
 * config_drain() - handle all messages that wait in the inbox
 * @config: the duty
 * @now_ms: present time
 *
 * A read of a slow service takes longer than the interval at which peers send,
 * so one message for each read would let the inbox grow.
 */
void
config_drain(struct config *config, int64_t now_ms)
{
    struct message message;

    for (int i = 0; i < INBOX_CAPACITY &&
                    ring_pop(&config->inbox, &message, 0) == RING_OK;
         i++) {
        config_handle(config, &message, now_ms);
    }
}

static bool
run(struct duty *duty, struct err *err)
{
    struct config *config = config_of(duty);
    enum ring_result result = RING_OK;

    (void)err;
    while (result != RING_CLOSED) {
        struct message message;
        int64_t due_ms = config_tick(config, clock_now_ms());
        int64_t before_ms = clock_now_ms();
        int64_t wait_ms = CLAMP(due_ms - before_ms, 0, IDLE_WAIT_MS);
        int64_t after_ms;

        result = ring_pop(&config->inbox, &message, wait_ms);
        after_ms = clock_now_ms();
        follow_note_wait(&config->follow, wait_ms, after_ms - before_ms,
                         after_ms);
        if (result == RING_OK) {
            config_handle(config, &message, after_ms);
            config_drain(config, after_ms);
        }
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&config_of(duty)->inbox);
}

static const struct duty_ops config_ops = {run, stop};

/**
 * config_new() - make the duty
 * @kv: the key-value service, kept by reference
 * @seed: seed of the jitter
 * @port: the fleet, kept by reference
 * @err: filled in on failure
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
    config->duty.ops = &config_ops;
    config->duty.name = "config";
    config->kv = kv;
    config->port = port;
    config->confirmed_ms = TIME_NEVER;
    config->tree = tree_new();
    follow_init(&config->follow, seed);
    g_queue_init(&config->window);
    pthread_mutex_init(&config->edit_lock, NULL);
    pthread_mutex_init(&config->write_lock, NULL);
    pthread_mutex_init(&config->lock, NULL);
    return config;
}

/**
 * config_free() - release a duty that has stopped
 * @config: the duty; may be NULL
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
    assembly_reset(&config->assembly);
    window_clear(config);
    tree_unref(config->tree);
    pthread_mutex_destroy(&config->edit_lock);
    pthread_mutex_destroy(&config->write_lock);
    pthread_mutex_destroy(&config->lock);
    free(config);
}

/**
 * config_duty() - the duty for a supervisor
 * @config: the duty
 */
struct duty *
config_duty(struct config *config)
{
    return &config->duty;
}

/**
 * config_post_envelope() - hand over a message of a peer
 * @config: the duty
 * @envelope: the message; owned by the duty only after success
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
