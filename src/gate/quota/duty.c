/**
 * DOC: Duty that answers asks for quotas while this instance is the holder.
 *
 * It is a thread of its own: the relay's thread may be busy for longer than a
 * request waits for a grant.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"

enum {
    MESSAGES_MAX = 4096,
    /* Kept free for changes, which must not be lost; a lost ask is sent
     * again. */
    CHANGES_RESERVE = 64,
    /* The buckets fill from the beginning of the term, and fallback shares are
     * kept back in time, also while no ask comes. */
    TICK_MS = 100,
};

static void
set_members(struct quota_duty *quota, const GArray *members, int64_t boot_ms)
{
    uint64_t *ids = g_new(uint64_t, members->len);

    for (guint i = 0; i < members->len; i++) {
        ids[i] = g_array_index(members, struct gate_member, i).id;
    }
    granter_set_members(&quota->granter, ids, (int)members->len, boot_ms);
    g_free(ids);
}

static void
answer(struct quota_duty *quota, uint64_t member, const struct quota_ask *ask,
       int64_t boot_ms)
{
    struct quota_grant grant;

    quota_grant_init(&grant);
    if (granter_answer(&quota->granter, member, ask, boot_ms, &grant)) {
        counter_add(CTR_QUOTA_ANSWERS, 1);
        quota->port->ops->grant(quota->port, member, &grant);
    }
    quota_grant_clear(&grant);
}

static void
set_term(struct quota_duty *quota, int64_t boot_ms)
{
    int64_t fence = term_grants_fence(quota->term, boot_ms);

    if (fence != quota->granter.fence) {
        log_line(LOG_PRI_INFO, "quota",
                 "event=%s fence=%" G_GINT64_FORMAT " instances=%d",
                 fence != 0 ? "quota_grants" : "quota_grants_end",
                 (gint64)(fence != 0 ? fence : quota->granter.fence),
                 quota->granter.members);
        granter_set_term(&quota->granter, fence, boot_ms);
    }
}

static void
free_message(struct quota_message *message)
{
    switch (message->kind) {
    case QUOTA_CONFIG:
        gate_config_unref(message->data);
        break;
    case QUOTA_MEMBERS:
        g_array_free(message->data, TRUE);
        break;
    case QUOTA_ASK:
        quota_ask_free(message->data);
        break;
    }
}

static void
handle_message(struct quota_duty *quota, struct quota_message *message,
               int64_t boot_ms)
{
    switch (message->kind) {
    case QUOTA_CONFIG:
        granter_set_config(&quota->granter, message->data, boot_ms);
        break;
    case QUOTA_MEMBERS:
        set_members(quota, message->data, boot_ms);
        break;
    case QUOTA_ASK:
        answer(quota, message->member, message->data, boot_ms);
        break;
    }
    free_message(message);
}

static bool
run(struct duty *duty, struct err *err)
{
    struct quota_duty *quota = (struct quota_duty *)duty;
    struct quota_message message;
    enum ring_result result;

    (void)err;
    while ((result = ring_pop(&quota->ring, &message,
                              quota->granter.limits ? TICK_MS : -1)) !=
           RING_CLOSED) {
        int64_t boot_ms = clock_boot_ms();

        set_term(quota, boot_ms);
        granter_tick(&quota->granter, boot_ms);
        if (result == RING_OK) {
            handle_message(quota, &message, boot_ms);
        }
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&((struct quota_duty *)duty)->ring);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * quota_duty_init() - initialize the duty
 * @quota: the duty
 * @term: of this instance, kept by reference
 * @port: callbacks, kept by reference
 * @err: set on failure
 */
bool
quota_duty_init(struct quota_duty *quota, struct term *term,
                struct quota_port *port, struct err *err)
{
    memset(quota, 0, sizeof(*quota));
    quota->duty.ops = &duty_ops;
    quota->duty.name = "quota";
    quota->term = term;
    quota->port = port;
    granter_init(&quota->granter);
    return ring_init(&quota->ring, MESSAGES_MAX, sizeof(struct quota_message),
                     err);
}

/**
 * quota_duty_clear() - release the duty's resources after it has stopped
 * @quota: the duty
 */
void
quota_duty_clear(struct quota_duty *quota)
{
    struct quota_message message;

    while (ring_pop(&quota->ring, &message, 0) == RING_OK) {
        free_message(&message);
    }
    granter_clear(&quota->granter);
    ring_free(&quota->ring);
}

static bool
post(struct quota_duty *quota, const struct quota_message *message)
{
    struct err err = {0};
    bool has_room = message->kind != QUOTA_ASK ||
                    ring_count(&quota->ring) < MESSAGES_MAX - CHANGES_RESERVE;

    if (!has_room) {
        err_set(&err, ERR_RING_FULL, "queue is full (%d messages)",
                MESSAGES_MAX);
    }
    if (!has_room || !ring_push(&quota->ring, message, &err)) {
        refusal_add(err.kind);
        log_line(LOG_PRI_ERR, "quota", "event=news_lost kind=%d reason=\"%s\"",
                 message->kind, err.text);
        return false;
    }
    return true;
}

/**
 * quota_post_config() - post a new configuration; any thread
 * @quota: the duty
 * @config: a reference is taken
 *
 * Return: false when the ring is full.
 */
bool
quota_post_config(struct quota_duty *quota, struct gate_config *config)
{
    struct quota_message message = {.kind = QUOTA_CONFIG,
                                    .data = gate_config_ref(config)};
    bool posted = post(quota, &message);

    if (!posted) {
        free_message(&message);
    }
    return posted;
}

/**
 * quota_post_members() - post the list of instances; any thread
 * @quota: the duty
 * @members: struct gate_member; copied
 *
 * Return: false when the ring is full.
 */
bool
quota_post_members(struct quota_duty *quota, const GArray *members)
{
    struct quota_message message = {.kind = QUOTA_MEMBERS,
                                    .data = g_array_copy((GArray *)members)};
    bool posted = post(quota, &message);

    if (!posted) {
        free_message(&message);
    }
    return posted;
}

/**
 * quota_post_ask() - post an ask of an instance; any thread
 * @quota: the duty
 * @member: the instance
 * @ask: ownership is taken; dropped when the ring is full
 */
void
quota_post_ask(struct quota_duty *quota, uint64_t member,
               struct quota_ask *ask)
{
    struct quota_message message = {
        .kind = QUOTA_ASK, .member = member, .data = ask};

    if (!post(quota, &message)) {
        free_message(&message);
    }
}
