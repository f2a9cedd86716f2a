/**
 * DOC: Duty that renews this instance's lease, registers the instance, and
 * claims the term when there is no holder.
 *
 * At most one instance orders engines at a time, because most engines don't
 * check the fencing token. The holder's term ends by its own clock before the
 * store ends the lease, because it is counted from before the renewal was
 * sent. That clock also runs while the machine is suspended.
 *
 * Engines also mustn't get orders from two instances in turn within a lease.
 * The lease is therefore renewed before a claim and not revoked until a full
 * lease after it: the holder before has then been silent for that long when
 * the term is free again, even if it starts anew in between. Nor is it revoked
 * while an order of this instance may still be on its way.
 *
 * A store that is restored from an older copy has lost the lease, and may
 * issue its id again to another instance. The holder before may not have
 * noticed yet, so no term is claimed or found until a full lease after the
 * restore was seen: whatever it had renewed before has ended by then. A
 * process that starts in an era above 0 can't tell how old the era is.
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
    LEASE_TTL_MS = 3000,     /* a dead holder loses the term within it */
    RENEW_INTERVAL_MS = 900, /* a lease survives two lost renewals */
    /* An order sent at the end of the term arrives, or its call times out,
     * before the lease can end; 200 ms allow for the store's clock. */
    TERM_MARGIN_MS = ORDER_TIMEOUT_MS + 200,
    /* A call to the store has ended, or times out, within this. */
    STORE_CALL_MAX_MS = 1500,
    /* A grant of a quota is counted from its ask and starts nothing that takes
     * time, so only the store's clock has to be allowed for. */
    GRANTS_MARGIN_MS = 200,
    RETRY_DELAY_MS = 300,
    NEXT_TICK_MS = 1,
    /* Instances claim a free term one after the other, so that most find it
     * already taken. */
    STAGGER_MS = 120,
    STAGGER_STEPS = 5,
    /* All others have claimed a free term by then. */
    WEAK_DELAY_MS = 1500,
    ORDERS_CHECK_INTERVAL_MS = 50,
};

/* Taken from one deployment of 60 instances and 60 engines, see
 * docs/incidents/weak-holder.md. The need grows with both numbers, which this
 * fixed value doesn't follow. */
static const double HOLDER_CORES_MIN = 0.2;

static void
end_term(struct lease_keeper *keeper, const char *reason)
{
    int64_t fence = atomic_exchange(&keeper->term->fence, 0);

    atomic_store(&keeper->term->until_ms, 0);
    atomic_store(&keeper->term->grants_until_ms, 0);
    if (fence != 0) {
        log_line(LOG_PRI_WARNING, "tenure",
                 "event=term_ended fence=%" G_GINT64_FORMAT " reason=%s",
                 (gint64)fence, reason);
    }
}

static void
extend_term(struct lease_keeper *keeper)
{
    if (atomic_load(&keeper->term->fence) != 0) {
        atomic_store(&keeper->term->until_ms, keeper->renewal_sent_ms +
                                                  keeper->ttl_ms -
                                                  TERM_MARGIN_MS);
        atomic_store(&keeper->term->grants_until_ms, keeper->renewal_sent_ms +
                                                         keeper->ttl_ms -
                                                         GRANTS_MARGIN_MS);
    }
}

/**
 * term_is_valid() - whether this instance may order engines
 * @term: the term
 * @boot_ms: current time by clock_boot_ms()
 * @fence: set to the fencing token, 0 for none; may be NULL
 */
bool
term_is_valid(struct term *term, int64_t boot_ms, int64_t *fence)
{
    int64_t current_fence = atomic_load(&term->fence);

    if (fence != NULL) {
        *fence = current_fence;
    }
    return current_fence != 0 && boot_ms < atomic_load(&term->until_ms);
}

/**
 * term_grants_fence() - the term in which this instance may grant quotas
 * @term: the term
 * @boot_ms: current time by clock_boot_ms()
 *
 * Return: its fencing token; 0 when it may grant none.
 */
int64_t
term_grants_fence(struct term *term, int64_t boot_ms)
{
    int64_t fence = atomic_load(&term->fence);

    return boot_ms < atomic_load(&term->grants_until_ms) ? fence : 0;
}

/**
 * term_begin_order() - check the term for an order that is about to be sent
 * @term: the term
 * @boot_ms: current time by clock_boot_ms()
 * @fence: set to the fencing token
 *
 * Return: whether the order may be sent; then term_end_order() must follow
 *         when its call has ended.
 */
bool
term_begin_order(struct term *term, int64_t boot_ms, int64_t *fence)
{
    /* Counted before the check: the lease keeper ends the term before it looks
     * at the count. */
    atomic_fetch_add(&term->orders, 1);
    if (term_is_valid(term, boot_ms, fence)) {
        return true;
    }
    term_end_order(term);
    return false;
}

/**
 * term_end_order() - note the end of an order's call
 * @term: the term
 */
void
term_end_order(struct term *term)
{
    atomic_fetch_sub(&term->orders, 1);
}

/* The name includes the lease, so that a holder key left from an earlier lease
 * of this instance isn't taken for the current term. */
static void
format_holder_name(const struct lease_keeper *keeper, char *name)
{
    g_snprintf(name, NAME_MAX_BYTES, "%.*s#%" G_GINT64_FORMAT,
               HOLDER_NAME_BYTES, keeper->self.name, (gint64)keeper->lease_id);
}

static bool
is_own_term(const struct lease_keeper *keeper, const struct holder *holder)
{
    char name[NAME_MAX_BYTES];

    format_holder_name(keeper, name);
    return keeper->lease_id != 0 && holder->era == keeper->era &&
           strcmp(holder->name, name) == 0;
}

static void
drop_lease(struct lease_keeper *keeper, const char *reason)
{
    end_term(keeper, reason);
    keeper->lease_id = 0;
    keeper->registered = false;
}

/* The lease is neither renewed nor revoked any more. */
static void
begin_era(struct lease_keeper *keeper)
{
    bool knew_store = keeper->lease_id != 0 || keeper->holder_known;

    if (knew_store) {
        counter_add(CTR_STORE_RESTORED, 1);
    }
    log_line(knew_store ? LOG_PRI_WARNING : LOG_PRI_INFO, "tenure",
             "event=%s era=%" G_GINT64_FORMAT " lease=%" G_GINT64_FORMAT
             " fence=%" G_GINT64_FORMAT,
             knew_store ? "store_restored" : "store_era", (gint64)keeper->era,
             (gint64)keeper->lease_id,
             (gint64)atomic_load(&keeper->term->fence));
    drop_lease(keeper, "store_restored");
    keeper->claimed_lease_id = 0;
    keeper->holder_known = false;
    keeper->era_pending = true;
}

/* Whether the answer of a call is to be used. A failure may name an era as
 * well. */
static bool
accept_answer(struct lease_keeper *keeper, bool succeeded, struct err *err)
{
    switch (era_note(&keeper->era, keeper->store->era)) {
    case ERA_RISEN:
        begin_era(keeper);
        return err_set(err, ERR_KV_DOWN, "the store was restored");
    case ERA_FALLEN:
        return err_set(err, ERR_KV_DOWN,
                       "answer of era %" G_GINT64_FORMAT
                       " in era %" G_GINT64_FORMAT,
                       (gint64)keeper->store->era, (gint64)keeper->era);
    case ERA_SAME:
        break;
    }
    return succeeded;
}

/* Whether a holder of the earlier era may still act. */
static bool
earlier_term_may_last(const struct lease_keeper *keeper, int64_t boot_ms)
{
    return keeper->era != 0 &&
           (keeper->era_pending ||
            boot_ms - keeper->era_seen_ms < MAX(keeper->ttl_ms, LEASE_TTL_MS));
}

static bool
begin_lease(struct lease_keeper *keeper, int64_t boot_ms, struct err *err)
{
    int64_t ttl_ms = MAX(LEASE_TTL_MS, keeper->settings->lease_ttl_min_ms);
    int64_t lease_id = 0;
    bool succeeded = keeper->store->ops->lease_grant(keeper->store, &ttl_ms,
                                                     &lease_id, err);
    int64_t era = keeper->era;

    /* A lease that comes with a new era is a lease of it. */
    if (!accept_answer(keeper, succeeded, err) &&
        (!succeeded || keeper->era == era)) {
        return false;
    }
    keeper->lease_id = lease_id;
    keeper->renewal_sent_ms = boot_ms;
    keeper->ttl_ms = ttl_ms;
    log_line(LOG_PRI_INFO, "tenure",
             "event=lease lease=%" G_GINT64_FORMAT " ttl_ms=%" G_GINT64_FORMAT,
             (gint64)keeper->lease_id, (gint64)ttl_ms);
    return true;
}

static bool
renew_lease(struct lease_keeper *keeper, int64_t boot_ms, struct err *err)
{
    if (accept_answer(keeper,
                      keeper->store->ops->lease_renew(keeper->store,
                                                      keeper->lease_id, err),
                      err)) {
        keeper->renewal_sent_ms = boot_ms;
        extend_term(keeper);
        return true;
    }
    if (err->kind == ERR_NOT_FOUND) {
        drop_lease(keeper, "lease_ended");
    }
    return false;
}

static bool
renewal_is_due(const struct lease_keeper *keeper, int64_t boot_ms)
{
    return boot_ms - keeper->renewal_sent_ms >= RENEW_INTERVAL_MS;
}

static bool
write_member(struct lease_keeper *keeper, const struct store_write *write,
             struct err *err)
{
    int64_t revision;

    return accept_answer(
        keeper,
        keeper->store->ops->write(keeper->store, write, &revision, err), err);
}

/* Makes a write of this instance's entry replace the one that is stored. */
static bool
read_member_revision(struct lease_keeper *keeper, struct store_write *write,
                     struct err *err)
{
    struct store_items items = {0};
    bool succeeded = accept_answer(
        keeper,
        keeper->store->ops->list(keeper->store, write->key, "", &items, err),
        err);

    for (int i = 0; succeeded && i < items.count; i++) {
        if (strcmp(items.items[i].key, write->key) == 0) {
            write->expected_revision = items.items[i].revision;
        }
    }
    store_items_clear(&items);
    return succeeded;
}

/* A conflict counts as registered: the key includes this instance's start
 * time, so only an earlier write of this process can have created it. In a
 * store that was restored, that write may have used a lease which is gone or
 * another instance's; the entry is then written again. */
static bool
register_member(struct lease_keeper *keeper, struct err *err)
{
    char key[STORE_KEY_MAX_BYTES];
    char *entry = member_format(&keeper->self);
    struct store_write write = {.key = key,
                                .expected_revision = 0,
                                .value = entry,
                                .lease = keeper->lease_id};

    g_snprintf(key, sizeof(key), "%s%s#%" G_GINT64_FORMAT, member_prefix,
               keeper->self.name, (gint64)keeper->self.started_ms);
    keeper->registered = write_member(keeper, &write, err);
    if (!keeper->registered && err->kind == ERR_KV_CONFLICT) {
        keeper->registered =
            keeper->era == 0 || (read_member_revision(keeper, &write, err) &&
                                 write_member(keeper, &write, err));
    }
    if (!keeper->registered && err->kind == ERR_NOT_FOUND) {
        drop_lease(keeper, "lease_ended");
    }
    g_free(entry);
    return keeper->registered;
}

/* The holder hears of every request and engine of the deployment. On a machine
 * that can't keep up it would keep its lease and hold up everything else. */
static int64_t
weakness_delay_ms(const struct lease_keeper *keeper)
{
    double cores = keeper->settings->cpu_cores;

    return cores > 0.0 && cores < HOLDER_CORES_MIN ? WEAK_DELAY_MS : 0;
}

static bool
should_claim_term(struct lease_keeper *keeper, int64_t boot_ms)
{
    int64_t stagger_step =
        (int64_t)(hash_text(keeper->self.name) % STAGGER_STEPS);

    if (!keeper->holder_known || keeper->holder.name[0] != '\0' ||
        term_is_valid(keeper->term, boot_ms, NULL) ||
        earlier_term_may_last(keeper, boot_ms)) {
        return false;
    }
    return boot_ms - keeper->vacant_since_ms >=
           stagger_step * STAGGER_MS + weakness_delay_ms(keeper);
}

/* Begins a term whose claim was carried out, but whose response was lost. It
 * may have been carried out late, so the lease is renewed first. */
static void
begin_found_term(struct lease_keeper *keeper, int64_t boot_ms)
{
    struct err err = {0};

    if (!renew_lease(keeper, boot_ms, &err)) {
        return;
    }
    keeper->claimed_ms = boot_ms;
    keeper->claimed_lease_id = keeper->lease_id;
    atomic_store(&keeper->term->fence, keeper->holder.fence);
    extend_term(keeper);
    log_line(LOG_PRI_INFO, "tenure",
             "event=term_found fence=%" G_GINT64_FORMAT,
             (gint64)keeper->holder.fence);
}

static void
claim_term(struct lease_keeper *keeper, int64_t boot_ms)
{
    char name[NAME_MAX_BYTES];
    struct store_write write = {.key = holder_key,
                                .expected_revision = 0,
                                .value = name,
                                .lease = keeper->lease_id};
    struct err err = {0};
    int64_t revision;

    if (boot_ms > keeper->renewal_sent_ms &&
        !renew_lease(keeper, boot_ms, &err)) {
        keeper->vacant_since_ms = boot_ms;
        log_line(LOG_PRI_INFO, "tenure", "event=not_holder reason=\"%s\"",
                 err.text);
        return;
    }
    keeper->claimed_ms = boot_ms;
    keeper->claimed_lease_id = keeper->lease_id;
    format_holder_name(keeper, name);
    if (accept_answer(
            keeper,
            keeper->store->ops->write(keeper->store, &write, &revision, &err),
            &err)) {
        g_strlcpy(keeper->holder.name, name, sizeof(keeper->holder.name));
        keeper->holder.fence = era_fence(keeper->era, revision);
        keeper->holder.era = keeper->era;
        atomic_store(&keeper->term->fence, keeper->holder.fence);
        extend_term(keeper);
        log_line(LOG_PRI_INFO, "tenure",
                 "event=term_begun fence=%" G_GINT64_FORMAT,
                 (gint64)keeper->holder.fence);
        return;
    }
    if (err.kind == ERR_NOT_FOUND) {
        drop_lease(keeper, "lease_ended");
    }
    /* On a conflict the feed reports the holder. After a lost response the
     * write may not have been applied; then no change would be reported, so
     * the claim is retried. */
    if (err.kind == ERR_KV_CONFLICT) {
        keeper->holder_known = false;
        keeper->claimed_lease_id = 0;
    }
    keeper->vacant_since_ms = boot_ms;
    log_line(LOG_PRI_INFO, "tenure", "event=not_holder reason=\"%s\"",
             err.text);
}

/**
 * lease_keeper_set_holder() - apply the holder read from the store
 * @keeper: the duty
 * @holder: the current holder
 * @boot_ms: current time by clock_boot_ms()
 *
 * May come before or after the response to this instance's own claim. The next
 * tick begins a term of this instance that is found. A holder read in an
 * earlier era than the present one is ignored.
 */
void
lease_keeper_set_holder(struct lease_keeper *keeper,
                        const struct holder *holder, int64_t boot_ms)
{
    bool own;
    int64_t fence;

    if (era_note(&keeper->era, holder->era) == ERA_RISEN) {
        begin_era(keeper);
    }
    if (holder->era != keeper->era) {
        return;
    }
    own = is_own_term(keeper, holder);
    fence = atomic_load(&keeper->term->fence);
    keeper->holder = *holder;
    keeper->holder_known = !holder->unknown;
    if (holder->name[0] == '\0') {
        keeper->vacant_since_ms = boot_ms;
    }
    if (!own && fence != 0 && holder->fence > fence) {
        end_term(keeper, "other_holder");
    }
}

/* Milliseconds until the lease may be revoked. */
static int64_t
revocation_delay_ms(const struct lease_keeper *keeper, int64_t boot_ms)
{
    int64_t claimed_for_ms = boot_ms - keeper->claimed_ms;

    if (keeper->claimed_lease_id == keeper->lease_id &&
        claimed_for_ms < LEASE_TTL_MS) {
        return LEASE_TTL_MS - claimed_for_ms;
    }
    return atomic_load(&keeper->term->orders) > 0 &&
                   boot_ms - keeper->shut_down_ms < ORDER_TIMEOUT_MS
               ? ORDERS_CHECK_INTERVAL_MS
               : 0;
}

/* Whether the store may have been restored, unseen by this instance, so long
 * ago that another one has got this lease's id and a term with it when the
 * revocation arrives. */
static bool
lease_may_be_reissued(const struct lease_keeper *keeper, int64_t boot_ms)
{
    return keeper->store->names_era &&
           boot_ms - keeper->renewal_sent_ms + STORE_CALL_MAX_MS >=
               keeper->ttl_ms;
}

/* Revokes the lease if it may be. Returns milliseconds until the next try, -1
 * for none. */
static int64_t
revoke_lease(struct lease_keeper *keeper, int64_t boot_ms)
{
    struct err err = {0};
    int64_t delay_ms;

    if (keeper->lease_id == 0) {
        return -1;
    }
    delay_ms = revocation_delay_ms(keeper, boot_ms);
    if (delay_ms > 0) {
        return delay_ms;
    }
    if (lease_may_be_reissued(keeper, boot_ms)) {
        err_set(&err, ERR_NOT_FOUND, "left to expire");
    }
    else {
        accept_answer(keeper,
                      keeper->store->ops->lease_revoke(keeper->store,
                                                       keeper->lease_id, &err),
                      &err);
    }
    if (err.kind != ERR_NONE) {
        log_line(LOG_PRI_WARNING, "tenure",
                 "event=lease_not_ended reason=\"%s\"", err.text);
    }
    keeper->lease_id = 0;
    return -1;
}

/* Whether the holder's key is attached to this instance's lease, although
 * another instance wrote it. A claim that was sent before the store was
 * restored does that when it arrives late and the id was issued again. */
static bool
other_has_own_lease(const struct lease_keeper *keeper)
{
    char suffix[NAME_MAX_BYTES];

    g_snprintf(suffix, sizeof(suffix), "#%" G_GINT64_FORMAT,
               (gint64)keeper->lease_id);
    return keeper->era != 0 && keeper->lease_id != 0 && keeper->holder_known &&
           !is_own_term(keeper, &keeper->holder) &&
           g_str_has_suffix(keeper->holder.name, suffix);
}

/* Gives up a lease that would keep another instance's claim alive. */
static void
release_lease(struct lease_keeper *keeper)
{
    struct err err = {0};

    log_line(LOG_PRI_WARNING, "tenure",
             "event=lease_shared lease=%" G_GINT64_FORMAT " holder=%s",
             (gint64)keeper->lease_id, keeper->holder.name);
    accept_answer(keeper,
                  keeper->store->ops->lease_revoke(keeper->store,
                                                   keeper->lease_id, &err),
                  &err);
    drop_lease(keeper, "lease_shared");
}

/* Returns milliseconds until the next tick. */
static int64_t
tick_term(struct lease_keeper *keeper, int64_t boot_ms)
{
    if (other_has_own_lease(keeper)) {
        release_lease(keeper);
        return RETRY_DELAY_MS;
    }
    if (keeper->holder_known && is_own_term(keeper, &keeper->holder) &&
        atomic_load(&keeper->term->fence) == 0) {
        if (earlier_term_may_last(keeper, boot_ms)) {
            return STAGGER_MS;
        }
        begin_found_term(keeper, boot_ms);
    }
    else if (should_claim_term(keeper, boot_ms)) {
        claim_term(keeper, boot_ms);
    }
    else if (keeper->holder_known && keeper->holder.name[0] == '\0') {
        return STAGGER_MS;
    }
    return RENEW_INTERVAL_MS;
}

/* Returns milliseconds until the next tick. */
static int64_t
tick_lease(struct lease_keeper *keeper, int64_t boot_ms)
{
    struct err err = {0};

    if (keeper->lease_id != 0 && renewal_is_due(keeper, boot_ms) &&
        !renew_lease(keeper, boot_ms, &err)) {
        log_line(LOG_PRI_WARNING, "tenure", "event=not_renewed reason=\"%s\"",
                 err.text);
        return RETRY_DELAY_MS;
    }
    if (keeper->lease_id == 0 && !begin_lease(keeper, boot_ms, &err)) {
        return RETRY_DELAY_MS;
    }
    if (!keeper->registered && !register_member(keeper, &err)) {
        return RETRY_DELAY_MS;
    }
    return tick_term(keeper, boot_ms);
}

/**
 * lease_keeper_tick() - renew the lease, register, and claim a free term
 * @keeper: the duty
 * @boot_ms: current time by clock_boot_ms()
 *
 * After the shutdown, it revokes the lease when that is due.
 *
 * Return: milliseconds until the next tick; -1 for none.
 */
int64_t
lease_keeper_tick(struct lease_keeper *keeper, int64_t boot_ms)
{
    int64_t wait_ms;

    if (keeper->shut_down) {
        return revoke_lease(keeper, boot_ms);
    }
    /* The answer that named the era came after the time of the tick before. */
    if (keeper->era_pending) {
        keeper->era_pending = false;
        keeper->era_seen_ms = boot_ms;
    }
    wait_ms = tick_lease(keeper, boot_ms);
    return keeper->era_pending ? NEXT_TICK_MS : wait_ms;
}

/**
 * lease_keeper_shut_down() - end the term, and the lease as soon as it may end
 * @keeper: the duty
 * @boot_ms: current time by clock_boot_ms()
 */
void
lease_keeper_shut_down(struct lease_keeper *keeper, int64_t boot_ms)
{
    keeper->shut_down = true;
    keeper->shut_down_ms = boot_ms;
    end_term(keeper, "leaving");
    revoke_lease(keeper, boot_ms);
}

static bool
run(struct duty *duty, struct err *err)
{
    struct lease_keeper *keeper = (struct lease_keeper *)duty;
    struct lease_keeper_message message;
    enum ring_result result;
    int64_t wait_ms = 0;

    (void)err;
    while ((result = ring_pop(&keeper->ring, &message, wait_ms)) !=
           RING_CLOSED) {
        if (result == RING_OK && message.shut_down) {
            lease_keeper_shut_down(keeper, clock_boot_ms());
        }
        else if (result == RING_OK) {
            lease_keeper_set_holder(keeper, &message.holder, clock_boot_ms());
        }
        wait_ms = lease_keeper_tick(keeper, clock_boot_ms());
    }
    if (!keeper->shut_down) {
        lease_keeper_shut_down(keeper, clock_boot_ms());
    }
    return true;
}

static void
stop(struct duty *duty)
{
    ring_close(&((struct lease_keeper *)duty)->ring);
}

static const struct duty_ops duty_ops = {run, stop};

/**
 * lease_keeper_init() - initialize the duty
 * @keeper: the duty
 * @store: used by this duty only; kept by reference
 * @settings: kept by reference
 * @term: written by this duty; kept by reference
 * @err: filled in on failure
 */
bool
lease_keeper_init(struct lease_keeper *keeper, struct store *store,
                  const struct gate_settings *settings, struct term *term,
                  struct err *err)
{
    struct gate_member *self = &keeper->self;

    memset(keeper, 0, sizeof(*keeper));
    keeper->duty.ops = &duty_ops;
    keeper->duty.name = "tenure";
    keeper->store = store;
    keeper->settings = settings;
    keeper->term = term;
    self->id = hash_text(settings->name);
    self->started_ms = clock_wall_ms();
    self->link_mbps = settings->link_mbps;
    g_strlcpy(self->name, settings->name, sizeof(self->name));
    g_strlcpy(self->zone, settings->zone, sizeof(self->zone));
    g_strlcpy(self->front_address, settings->front_address,
              sizeof(self->front_address));
    g_strlcpy(self->peer_address, settings->peer_address,
              sizeof(self->peer_address));
    return ring_init(&keeper->ring, LEASE_KEEPER_MESSAGES_MAX,
                     sizeof(struct lease_keeper_message), err);
}

/**
 * lease_keeper_clear() - release the duty's resources after it has stopped
 * @keeper: the duty
 */
void
lease_keeper_clear(struct lease_keeper *keeper)
{
    ring_free(&keeper->ring);
}

static bool
post_message(struct lease_keeper *keeper,
             const struct lease_keeper_message *message)
{
    struct err err = {0};

    if (!ring_push(&keeper->ring, message, &err)) {
        refusal_add(err.kind);
        log_line(LOG_PRI_ERR, "tenure", "event=news_lost reason=\"%s\"",
                 err.text);
        return false;
    }
    return true;
}

/**
 * lease_keeper_post_holder() - queue a change of the holder; any thread
 * @keeper: the duty
 * @holder: copied
 *
 * Return: false when the ring is full.
 */
bool
lease_keeper_post_holder(struct lease_keeper *keeper,
                         const struct holder *holder)
{
    struct lease_keeper_message message = {.holder = *holder};

    return post_message(keeper, &message);
}

/**
 * lease_keeper_post_shutdown() - queue the end of the term and the lease; any
 * thread
 * @keeper: the duty
 */
void
lease_keeper_post_shutdown(struct lease_keeper *keeper)
{
    struct lease_keeper_message message = {.shut_down = true};

    post_message(keeper, &message);
}
