/**
 * DOC: Duty that keeps this instance's lease, lists it, and takes the right to
 * order engines when nobody has it.
 *
 * At most one instance orders at a time, because most engines don't check a
 * fence. Its term ends on its own clock before the store ends the lease, as
 * the time counts from before the renewal was sent; the clock goes on while
 * the machine is suspended.
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

enum {
    LEASE_MS = 3000, /* a dead holder is replaced within it */
    RENEW_MS = 900,  /* two renewals may be lost */
    /* An order that is sent at the end of the term arrives, or its call has
     * failed, before the lease can end; the rest is for the store's clock. */
    TERM_MARGIN_MS = ORDER_TIMEOUT_MS + 200,
    RETRY_MS = 300,
    /* Instances try one after the other, so that most find it taken. */
    STAGGER_MS = 120,
    STAGGER_STEPS = 5,
};

static void
end_term(struct tenure *tenure, const char *reason)
{
    int64_t fence = atomic_exchange(&tenure->term->fence, 0);

    atomic_store(&tenure->term->until_ms, 0);
    if (fence != 0) {
        log_line(LOG_PRI_WARNING, "tenure",
                 "event=term_ended fence=%" G_GINT64_FORMAT " reason=%s",
                 (gint64)fence, reason);
    }
}

static void
extend_term(struct tenure *tenure)
{
    if (atomic_load(&tenure->term->fence) != 0) {
        atomic_store(&tenure->term->until_ms,
                     tenure->sent_ms + tenure->ttl_ms - TERM_MARGIN_MS);
    }
}

/**
 * term_holds() - whether this instance may order engines
 * @term: the term
 * @boot_ms: present time by clock_boot_ms()
 * @fence: set to the fencing number; may be NULL
 */
bool
term_holds(struct term *term, int64_t boot_ms, int64_t *fence)
{
    int64_t number = atomic_load(&term->fence);

    if (fence != NULL) {
        *fence = number;
    }
    return number != 0 && boot_ms < atomic_load(&term->until_ms);
}

/* The lease is a part of the name, so that a key of an earlier lease that is
 * still there is not taken for a right of this one. */
static void
holder_name(const struct tenure *tenure, char *name)
{
    g_snprintf(name, NAME_MAX_BYTES, "%.30s#%" G_GINT64_FORMAT,
               tenure->self.name, (gint64)tenure->lease);
}

static bool
is_self(const struct tenure *tenure, const struct holder *holder)
{
    char name[NAME_MAX_BYTES];

    holder_name(tenure, name);
    return tenure->lease != 0 && strcmp(holder->name, name) == 0;
}

static void
lease_lost(struct tenure *tenure, const char *reason)
{
    end_term(tenure, reason);
    tenure->lease = 0;
    tenure->listed = false;
}

static bool
begin_lease(struct tenure *tenure, int64_t boot_ms, struct err *err)
{
    int64_t ttl_ms = MAX(LEASE_MS, tenure->settings->lease_min_ms);

    if (!tenure->store->ops->lease_grant(tenure->store, &ttl_ms,
                                         &tenure->lease, err)) {
        tenure->lease = 0;
        return false;
    }
    tenure->sent_ms = boot_ms;
    tenure->ttl_ms = ttl_ms;
    log_line(LOG_PRI_INFO, "tenure",
             "event=lease lease=%" G_GINT64_FORMAT " ttl_ms=%" G_GINT64_FORMAT,
             (gint64)tenure->lease, (gint64)ttl_ms);
    return true;
}

static bool
renew(struct tenure *tenure, int64_t boot_ms, struct err *err)
{
    if (boot_ms - tenure->sent_ms < RENEW_MS) {
        return true;
    }
    if (tenure->store->ops->lease_renew(tenure->store, tenure->lease, err)) {
        tenure->sent_ms = boot_ms;
        extend_term(tenure);
        return true;
    }
    if (err->kind == ERR_NOT_FOUND) {
        lease_lost(tenure, "lease_ended");
    }
    return false;
}

/* The key may be left from before a restart, so no revision is expected; a
 * write that conflicts is repeated after the feed has told the holder. */
static bool
list_self(struct tenure *tenure, struct err *err)
{
    char key[KEY_BYTES];
    char *text = member_format(&tenure->self);
    struct store_write write = {.key = key,
                                .expected_revision = 0,
                                .value = text,
                                .lease = tenure->lease};
    int64_t revision;

    g_snprintf(key, sizeof(key), "%s%s#%" G_GINT64_FORMAT, member_prefix,
               tenure->self.name, (gint64)tenure->self.started_ms);
    tenure->listed =
        tenure->store->ops->write(tenure->store, &write, &revision, err) ||
        err->kind == ERR_KV_CONFLICT;
    if (!tenure->listed && err->kind == ERR_NOT_FOUND) {
        lease_lost(tenure, "lease_ended");
    }
    g_free(text);
    return tenure->listed;
}

static bool
wants_to_hold(struct tenure *tenure, int64_t boot_ms)
{
    int64_t rank = (int64_t)(hash_text(tenure->self.name) % STAGGER_STEPS);

    if (!tenure->holder_known || tenure->holder.name[0] != '\0' ||
        term_holds(tenure->term, boot_ms, NULL)) {
        return false;
    }
    return boot_ms - tenure->vacant_ms >= rank * STAGGER_MS;
}

static void
take_hold(struct tenure *tenure, int64_t boot_ms)
{
    char name[NAME_MAX_BYTES];
    struct store_write write = {.key = holder_key,
                                .expected_revision = 0,
                                .value = name,
                                .lease = tenure->lease};
    struct err err = {0};
    int64_t revision;

    holder_name(tenure, name);
    if (tenure->store->ops->write(tenure->store, &write, &revision, &err)) {
        g_strlcpy(tenure->holder.name, name, sizeof(tenure->holder.name));
        tenure->holder.fence = revision;
        atomic_store(&tenure->term->fence, revision);
        extend_term(tenure);
        log_line(LOG_PRI_INFO, "tenure",
                 "event=term_begun fence=%" G_GINT64_FORMAT, (gint64)revision);
        return;
    }
    if (err.kind == ERR_NOT_FOUND) {
        lease_lost(tenure, "lease_ended");
    }
    /* The feed tells who holds it. When the answer was lost, nothing may have
     * been written, and nobody would tell. */
    tenure->holder_known = err.kind != ERR_KV_CONFLICT;
    tenure->vacant_ms = boot_ms;
    log_line(LOG_PRI_INFO, "tenure", "event=not_holder reason=\"%s\"",
             err.text);
}

/**
 * tenure_learn() - the store tells who may order, before or after this
 * instance's own calls are answered
 * @tenure: the duty
 * @holder: who it is
 * @boot_ms: present time by clock_boot_ms()
 */
void
tenure_learn(struct tenure *tenure, const struct holder *holder,
             int64_t boot_ms)
{
    bool mine = is_self(tenure, holder);
    int64_t fence = atomic_load(&tenure->term->fence);

    tenure->holder = *holder;
    tenure->holder_known = true;
    if (holder->name[0] == '\0') {
        tenure->vacant_ms = boot_ms;
    }
    if (mine && fence == 0 && tenure->lease != 0) {
        atomic_store(&tenure->term->fence, holder->fence);
        extend_term(tenure);
        log_line(LOG_PRI_INFO, "tenure",
                 "event=term_found fence=%" G_GINT64_FORMAT,
                 (gint64)holder->fence);
    }
    if (!mine && fence != 0 && holder->fence > fence) {
        end_term(tenure, "other_holder");
    }
}

/**
 * tenure_round() - renew, list and take what is missing
 * @tenure: the duty
 * @boot_ms: present time by clock_boot_ms()
 *
 * Return: time to wait before the next round.
 */
int64_t
tenure_round(struct tenure *tenure, int64_t boot_ms)
{
    struct err err = {0};

    if (tenure->leaving) {
        return -1;
    }
    if (tenure->lease != 0 && !renew(tenure, boot_ms, &err)) {
        log_line(LOG_PRI_WARNING, "tenure", "event=not_renewed reason=\"%s\"",
                 err.text);
        return RETRY_MS;
    }
    if (tenure->lease == 0 && !begin_lease(tenure, boot_ms, &err)) {
        return RETRY_MS;
    }
    if (!tenure->listed && !list_self(tenure, &err)) {
        return RETRY_MS;
    }
    if (wants_to_hold(tenure, boot_ms)) {
        take_hold(tenure, boot_ms);
    }
    else if (tenure->holder_known && tenure->holder.name[0] == '\0') {
        return STAGGER_MS;
    }
    return RENEW_MS;
}

/**
 * tenure_leave() - give the right and the lease back
 * @tenure: the duty
 */
void
tenure_leave(struct tenure *tenure)
{
    struct err err = {0};

    tenure->leaving = true;
    end_term(tenure, "leaving");
    if (tenure->lease != 0 && !tenure->store->ops->lease_revoke(
                                  tenure->store, tenure->lease, &err)) {
        log_line(LOG_PRI_WARNING, "tenure",
                 "event=lease_not_ended reason=\"%s\"", err.text);
    }
    tenure->lease = 0;
}

static bool
run(struct duty *duty, struct err *err)
{
    struct tenure *tenure = (struct tenure *)duty;
    struct tenure_message message;
    enum ring_result result;
    int64_t wait_ms = 0;

    (void)err;
    while ((result = ring_pop(&tenure->ring, &message, wait_ms)) !=
           RING_CLOSED) {
        if (result == RING_OK && message.leave) {
            tenure_leave(tenure);
        }
        else if (result == RING_OK) {
            tenure_learn(tenure, &message.holder, clock_boot_ms());
        }
        wait_ms = tenure_round(tenure, clock_boot_ms());
    }
    if (!tenure->leaving) {
        tenure_leave(tenure);
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&((struct tenure *)duty)->ring);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * tenure_init() - set the duty up
 * @tenure: the duty
 * @store: used by this duty only
 * @settings: kept by reference
 * @term: set by this duty, kept by reference
 * @err: filled in on failure
 */
bool
tenure_init(struct tenure *tenure, struct store *store,
            const struct gate_settings *settings, struct term *term,
            struct err *err)
{
    struct gate_member *self = &tenure->self;

    memset(tenure, 0, sizeof(*tenure));
    tenure->duty.ops = &duty_ops;
    tenure->duty.name = "tenure";
    tenure->store = store;
    tenure->settings = settings;
    tenure->term = term;
    self->id = hash_text(settings->name);
    self->started_ms = clock_wall_ms();
    g_strlcpy(self->name, settings->name, sizeof(self->name));
    g_strlcpy(self->zone, settings->zone, sizeof(self->zone));
    g_strlcpy(self->front_address, settings->front_address,
              sizeof(self->front_address));
    g_strlcpy(self->peer_address, settings->peer_address,
              sizeof(self->peer_address));
    return ring_init(&tenure->ring, HOLDERS_MAX, sizeof(struct tenure_message),
                     err);
}

/**
 * tenure_clear() - release the duty after it has stopped
 * @tenure: the duty
 */
void
tenure_clear(struct tenure *tenure)
{
    ring_free(&tenure->ring);
}

static bool
post(struct tenure *tenure, const struct tenure_message *message)
{
    struct err err = {0};

    if (!ring_push(&tenure->ring, message, &err)) {
        refusal_add(err.kind);
        log_line(LOG_PRI_ERR, "tenure", "event=news_lost reason=\"%s\"",
                 err.text);
        return false;
    }
    return true;
}

/**
 * tenure_post_holder() - the store tells who may order engines
 * @tenure: the duty
 * @holder: copied
 *
 * Return: false when the ring is full.
 */
bool
tenure_post_holder(struct tenure *tenure, const struct holder *holder)
{
    struct tenure_message message = {.holder = *holder};

    return post(tenure, &message);
}

/**
 * tenure_post_leave() - give the right and the lease back
 * @tenure: the duty
 */
void
tenure_post_leave(struct tenure *tenure)
{
    struct tenure_message message = {.leave = true};

    post(tenure, &message);
}
