/**
 * DOC: The holder's side of the quotas: which instance may spend how much.
 *
 * Whatever an instance may still spend is taken from the bucket first. An
 * instance keeps its last limit when an answer is lost, so a lowered limit
 * counts only when the earlier one has expired by the instance's own clock,
 * as its next asks show. What an instance without contact may spend as its
 * fallback share is kept back meanwhile.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"

enum {
    SWEEP_PERIOD_MS = 50,
    /* Asks come every 250 ms. An instance may have missed the answer to the
     * last one that was heard, so its fallback can begin 350 ms later. */
    SILENT_MS = 300,
    /* All its grants have expired. */
    SETTLE_MS = QUOTA_GRANT_MS + 300,
    FALLBACK_END_MS = QUOTA_FALLBACK_MS + 100,
    /* An instance that lost its lease may have been answered until then. */
    UNLISTED_KEEP_MS = 10 * 1000,
    BEHIND_MAX_MS = 3000,
};

static const double MS_PER_S = 1000.0;

/* Grants ahead of requests cover this time of an instance's demand: two
 * periods of its asks. */
static const double AHEAD_S = 0.5;

/* Below this share of the capacity nothing is granted ahead, as others may
 * have requests waiting. */
static const double AHEAD_LEVEL_MIN = 0.25;

static void
free_instance(void *data)
{
    struct granter_instance *instance = data;

    g_array_free(instance->pairs, TRUE);
    g_free(instance);
}

/**
 * granter_init() - initialize without teams, instances and a term
 * @granter: the granter
 */
void
granter_init(struct granter *granter)
{
    *granter = (struct granter){0};
    granter->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    granter->instances = g_hash_table_new_full(g_int64_hash, g_int64_equal,
                                               NULL, free_instance);
}

/**
 * granter_clear() - release
 * @granter: the granter
 */
void
granter_clear(struct granter *granter)
{
    g_hash_table_destroy(granter->teams);
    g_hash_table_destroy(granter->instances);
}

static struct granter_pair *
pair_at(const struct granter_instance *instance, guint index)
{
    return &g_array_index(instance->pairs, struct granter_pair, index);
}

static double
held_by(const struct granter_pair *pair)
{
    return (double)(pair->charged - pair->spent);
}

static bool
is_reserving(const struct granter *granter,
             const struct granter_instance *instance, int64_t now_ms)
{
    if (instance->heard_ms == 0) {
        return now_ms < granter->term_ms + FALLBACK_END_MS;
    }
    return now_ms >= instance->heard_ms + SILENT_MS &&
           now_ms < instance->answered_ms + FALLBACK_END_MS;
}

/* What was granted and not reported counts as spent: nobody knows better. */
static void
settle(struct granter_instance *instance)
{
    for (guint i = 0; i < instance->pairs->len; i++) {
        struct granter_pair *pair = pair_at(instance, i);

        pair->settled = true;
        pair->waiting = 0;
        pair->spent = pair->charged;
        pair->now.ask_ms = -1;
        pair->before.ask_ms = -1;
    }
}

/* Keeps the fallback shares of a silent instance back, also for the time
 * since the last sweep in which it may have begun to spend them. It may spend
 * those of all teams. */
static void
reserve(struct granter *granter, struct granter_instance *instance,
        int64_t now_ms)
{
    int64_t from_ms = MAX(granter->swept_ms, instance->heard_ms + SILENT_MS);
    double seconds = (double)(now_ms - from_ms) / MS_PER_S;
    int instances = MAX(instance->instances, 1);
    GHashTableIter iter;
    struct granter_team *team;

    g_hash_table_iter_init(&iter, granter->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        double share_per_s = team->bucket.rate_per_s / instances;

        if (team->limited) {
            team->reserved_per_s += share_per_s;
            if (!instance->reserving) {
                bucket_take(&team->bucket, share_per_s * seconds);
            }
        }
    }
    for (guint i = 0; i < instance->pairs->len; i++) {
        struct granter_pair *pair = pair_at(instance, i);

        team = g_hash_table_lookup(granter->teams, &pair->team);
        if (team != NULL && team->limited) {
            pair->reserved += team->bucket.rate_per_s / instances * seconds;
        }
    }
    instance->reserving = true;
}

/* Returns whether the instance can be forgotten. */
static bool
sweep_instance(struct granter *granter, struct granter_instance *instance,
               int64_t now_ms)
{
    bool reserving = is_reserving(granter, instance, now_ms);

    if (instance->heard_ms != 0 && now_ms >= instance->heard_ms + SETTLE_MS) {
        settle(instance);
    }
    if (instance->heard_ms != 0 && reserving) {
        reserve(granter, instance, now_ms);
    }
    else if (instance->heard_ms != 0 &&
             now_ms >= instance->heard_ms + FALLBACK_END_MS) {
        g_array_set_size(instance->pairs, 0);
    }
    return !instance->listed && !reserving &&
           now_ms >= instance->unlisted_ms + UNLISTED_KEEP_MS &&
           now_ms >= instance->heard_ms + FALLBACK_END_MS;
}

static void
begin_sweep(struct granter *granter, int64_t now_ms)
{
    GHashTableIter iter;
    struct granter_team *team;

    g_hash_table_iter_init(&iter, granter->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        bucket_advance(&team->bucket, team->reserved_per_s, team->held,
                       now_ms);
        team->reserved_per_s = 0.0;
        team->held = 0.0;
        team->waiting = 0.0;
    }
}

/* All teams count for an instance that was not heard in this term: it is not
 * known which ones it uses. */
static void
reserve_for_unheard(struct granter *granter, int unheard)
{
    GHashTableIter iter;
    struct granter_team *team;

    g_hash_table_iter_init(&iter, granter->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        team->reserved_per_s +=
            team->bucket.rate_per_s * unheard / MAX(granter->members, 1);
    }
}

static void
add_held(struct granter *granter, const struct granter_instance *instance)
{
    for (guint i = 0; i < instance->pairs->len; i++) {
        const struct granter_pair *pair = pair_at(instance, i);
        struct granter_team *team =
            g_hash_table_lookup(granter->teams, &pair->team);

        if (team != NULL) {
            team->held += held_by(pair);
            team->waiting += (double)pair->waiting;
        }
    }
}

static void
sweep(struct granter *granter, int64_t now_ms)
{
    GHashTableIter iter;
    struct granter_instance *instance;
    int unheard = 0;

    begin_sweep(granter, now_ms);
    g_hash_table_iter_init(&iter, granter->instances);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&instance)) {
        if (sweep_instance(granter, instance, now_ms)) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        unheard +=
            instance->heard_ms == 0 && is_reserving(granter, instance, now_ms);
        add_held(granter, instance);
    }
    reserve_for_unheard(granter, unheard);
    granter->swept_ms = now_ms;
}

/**
 * granter_set_config() - apply the quotas of a configuration
 * @granter: the granter
 * @config: the configuration; not kept
 * @now_ms: current time
 *
 * A team that was not limited before starts with an empty bucket.
 */
void
granter_set_config(struct granter *granter, const struct gate_config *config,
                   int64_t now_ms)
{
    GHashTableIter iter;
    struct granter_team *team;

    sweep(granter, now_ms);
    g_hash_table_iter_init(&iter, granter->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        team->limited = false;
    }
    granter->limits = false;
    for (int i = 0; i < config->team_count; i++) {
        uint64_t id = hash_text(config->teams[i].name);

        team = g_hash_table_lookup(granter->teams, &id);
        if (team == NULL) {
            team = g_new0(struct granter_team, 1);
            team->id = id;
            bucket_init(&team->bucket, now_ms);
            g_hash_table_insert(granter->teams, &team->id, team);
        }
        team->limited = config->teams[i].rate_per_s > 0.0;
        granter->limits = granter->limits || team->limited;
        bucket_set(&team->bucket, config->teams[i].rate_per_s,
                   config->teams[i].burst);
    }
    granter->config_version = config->version;
}

static struct granter_instance *
get_instance(struct granter *granter, uint64_t id)
{
    struct granter_instance *instance =
        g_hash_table_lookup(granter->instances, &id);

    if (instance == NULL) {
        instance = g_new0(struct granter_instance, 1);
        instance->id = id;
        instance->asked_ms = -1;
        instance->pairs =
            g_array_new(FALSE, FALSE, sizeof(struct granter_pair));
        g_hash_table_insert(granter->instances, &instance->id, instance);
    }
    return instance;
}

/**
 * granter_set_members() - apply the member list
 * @granter: the granter
 * @ids: ids of the instances in it, this one included
 * @count: their number
 * @now_ms: current time
 */
void
granter_set_members(struct granter *granter, const uint64_t *ids, int count,
                    int64_t now_ms)
{
    GHashTableIter iter;
    struct granter_instance *instance;

    sweep(granter, now_ms);
    g_hash_table_iter_init(&iter, granter->instances);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&instance)) {
        if (instance->listed) {
            instance->listed = false;
            instance->unlisted_ms = now_ms;
        }
    }
    for (int i = 0; i < count; i++) {
        get_instance(granter, ids[i])->listed = true;
    }
    granter->members = count;
}

/**
 * granter_set_term() - begin or end a term
 * @granter: the granter
 * @fence: fencing token of the term; 0 when this instance is not the holder
 * @now_ms: current time
 *
 * The buckets are empty at the beginning, since the holder before may have
 * granted all that they held.
 */
void
granter_set_term(struct granter *granter, int64_t fence, int64_t now_ms)
{
    GHashTableIter iter;
    struct granter_instance *instance;
    struct granter_team *team;

    if (fence == granter->fence) {
        return;
    }
    granter->fence = fence;
    granter->term_ms = now_ms;
    g_hash_table_iter_init(&iter, granter->instances);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&instance)) {
        if (!instance->listed &&
            now_ms >= instance->unlisted_ms + UNLISTED_KEEP_MS) {
            g_hash_table_iter_remove(&iter);
            continue;
        }
        instance->heard_ms = 0;
        instance->answered_ms = 0;
        instance->asked_ms = -1;
        instance->behind_ms = 0;
        instance->reserving = false;
        g_array_set_size(instance->pairs, 0);
    }
    g_hash_table_iter_init(&iter, granter->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        bucket_empty(&team->bucket, now_ms);
    }
    sweep(granter, now_ms);
}

static struct granter_pair *
find_pair(struct granter_instance *instance, const struct quota_use *use)
{
    struct granter_pair added = {
        .team = use->team,
        .spent = use->spent,
        .charged = use->spent,
        .returned = use->returned,
        .now.ask_ms = -1,
        .before.ask_ms = -1,
    };

    for (guint i = 0; i < instance->pairs->len; i++) {
        if (pair_at(instance, i)->team == use->team) {
            return pair_at(instance, i);
        }
    }
    g_array_append_val(instance->pairs, added);
    return pair_at(instance, instance->pairs->len - 1);
}

static void
expire(struct granter_limit *limit, int64_t ask_ms)
{
    if (limit->ask_ms >= 0 && ask_ms >= limit->ask_ms + QUOTA_GRANT_MS) {
        limit->ask_ms = -1;
    }
}

/* Up to which the instance may spend, or has. */
static int64_t
charge_of(const struct granter_pair *pair)
{
    int64_t charge = pair->spent;

    if (pair->now.ask_ms >= 0) {
        charge = MAX(charge, pair->now.limit);
    }
    if (pair->before.ask_ms >= 0) {
        charge = MAX(charge, pair->before.limit);
    }
    return charge;
}

/* Brings the bucket in line with what the instance may still spend.
 * @team->held is without @pair. */
static void
charge(struct granter_team *team, struct granter_pair *pair)
{
    int64_t change = charge_of(pair) - pair->charged;
    double from_reserve = CLAMP((double)change, 0.0, pair->reserved);

    pair->charged += change;
    pair->reserved -= from_reserve;
    if (change > 0) {
        bucket_take(&team->bucket, (double)change - from_reserve);
    }
    else if (change < 0 && !pair->settled) {
        bucket_put_back(&team->bucket, (double)-change,
                        team->held + held_by(pair));
    }
}

static void
take_returned(struct granter_team *team, struct granter_pair *pair,
              const struct quota_use *use)
{
    if (use->returned > pair->returned) {
        team->bucket.returned = MIN(
            team->bucket.returned + (double)(use->returned - pair->returned),
            bucket_capacity(&team->bucket));
    }
    pair->returned = use->returned;
}

/* What an instance reports as spent, and which of its grants are over. */
static void
apply_use(struct granter_team *team, struct granter_pair *pair,
          const struct quota_use *use, int64_t ask_ms)
{
    team->held -= held_by(pair);
    expire(&pair->now, ask_ms);
    expire(&pair->before, ask_ms);
    pair->spent = use->spent;
    charge(team, pair);
    pair->settled = false;
    if (pair->reserved > 0.0) {
        bucket_put_back(&team->bucket, pair->reserved,
                        team->held + held_by(pair));
        pair->reserved = 0.0;
    }
    take_returned(team, pair, use);
    team->held += held_by(pair);
}

static void
set_limit(struct granter_pair *pair, int64_t limit, int64_t ask_ms)
{
    if (pair->now.ask_ms >= 0 && pair->now.limit > limit) {
        pair->before.limit = pair->before.ask_ms >= 0
                                 ? MAX(pair->before.limit, pair->now.limit)
                                 : pair->now.limit;
        pair->before.ask_ms = pair->now.ask_ms;
    }
    pair->now = (struct granter_limit){limit, ask_ms};
}

/* Units to grant for requests that wait. The first one decides, so that small
 * requests don't keep a large one out. */
static double
grant_waiting(const struct bucket *bucket, const struct quota_use *use,
              double available)
{
    if (use->wanted <= 0 || available < bucket_needed(bucket, use->first)) {
        return 0.0;
    }
    return CLAMP(available, (double)use->first, (double)use->wanted);
}

static double
grant_ahead(const struct bucket *bucket, const struct quota_use *use,
            double held, double granted)
{
    double level = bucket->level - MAX(granted - held, 0.0);
    double spare = level - bucket_capacity(bucket) * AHEAD_LEVEL_MIN;
    double most = MAX(held - granted, 0.0) + MAX(spare, 0.0) / 2;

    return MIN((double)use->per_s * AHEAD_S, most);
}

/* Requests that are told to wait for room count as long as they do; those that
 * are sent away count until their callers may return. */
static int64_t
find_room_ms(struct granter_team *team, struct granter_pair *pair,
             const struct quota_use *use, double granted)
{
    struct bucket *bucket = &team->bucket;
    int64_t missing = use->wanted - (int64_t)granted;
    double needed;
    int64_t room_ms;

    team->waiting -= (double)pair->waiting;
    pair->waiting = 0;
    if (missing <= 0) {
        return 0;
    }
    needed = bucket_needed(bucket, granted > 0.0 ? missing : use->first);
    room_ms =
        bucket_room_ms(bucket, team->reserved_per_s, team->waiting + needed);
    if (room_ms > QUOTA_ROOM_WAIT_MS) {
        bucket_promise(bucket, (double)missing);
    }
    else {
        pair->waiting = missing;
        team->waiting += (double)missing;
    }
    return room_ms;
}

static struct quota_answer
answer_team(struct granter_team *team, struct granter_pair *pair,
            const struct quota_use *use, int64_t ask_ms)
{
    struct quota_answer answer = {.team = use->team};
    double held = held_by(pair);
    double granted =
        grant_waiting(&team->bucket, use, team->bucket.level + held);
    double ahead = use->wanted > 0 && granted == 0.0
                       ? 0.0
                       : grant_ahead(&team->bucket, use, held, granted);

    answer.limit = use->spent + (int64_t)granted + (int64_t)ahead;
    team->held -= held;
    set_limit(pair, answer.limit, ask_ms);
    charge(team, pair);
    team->held += held_by(pair);
    answer.room_ms = find_room_ms(team, pair, use, granted);
    return answer;
}

/* A team that this configuration doesn't limit gets what its instance, with
 * another one, asks for. */
static struct quota_answer
answer_unlimited(const struct quota_use *use)
{
    return (struct quota_answer){
        .team = use->team, .limit = use->spent + use->wanted + use->per_s};
}

static void
drop_unseen(struct granter *granter, struct granter_instance *instance)
{
    for (guint i = instance->pairs->len; i > 0; i--) {
        struct granter_pair *pair = pair_at(instance, i - 1);
        struct granter_team *team =
            g_hash_table_lookup(granter->teams, &pair->team);

        if (pair->seen) {
            pair->seen = false;
            continue;
        }
        if (team != NULL) {
            team->held -= held_by(pair);
            team->waiting -= (double)pair->waiting;
        }
        g_array_remove_index_fast(instance->pairs, i - 1);
    }
}

/* Whether an instance has a configuration that the granter doesn't have yet,
 * which may limit other teams. The granter has it within seconds. */
static bool
knows_newer(const struct granter *granter, const struct quota_ask *ask)
{
    return granter->config_version != 0 &&
           ask->config_version > granter->config_version;
}

static void
apply_uses(struct granter *granter, struct granter_instance *instance,
           const struct quota_ask *ask, int64_t now_ms,
           struct quota_grant *grant)
{
    for (guint i = 0; i < ask->uses->len; i++) {
        const struct quota_use *use =
            &g_array_index(ask->uses, struct quota_use, i);
        struct granter_team *team =
            g_hash_table_lookup(granter->teams, &use->team);
        struct granter_pair *pair;
        struct quota_answer answer;

        if (team == NULL && !knows_newer(granter, ask)) {
            continue;
        }
        if (team == NULL || !team->limited) {
            answer = answer_unlimited(use);
            g_array_append_val(grant->answers, answer);
            continue;
        }
        bucket_advance(&team->bucket, team->reserved_per_s, team->held,
                       now_ms);
        pair = find_pair(instance, use);
        pair->seen = true;
        apply_use(team, pair, use, ask->sent_ms);
        if (instance->behind_ms == 0 ||
            now_ms - instance->behind_ms <= BEHIND_MAX_MS) {
            answer = answer_team(team, pair, use, ask->sent_ms);
            g_array_append_val(grant->answers, answer);
        }
    }
}

/* Returns false for an ask that was overtaken by a later one. */
static bool
accept_ask(struct granter *granter, struct granter_instance *instance,
           const struct quota_ask *ask, int64_t now_ms)
{
    if (instance->start != ask->start) {
        drop_unseen(granter, instance);
        instance->start = ask->start;
        instance->behind_ms = 0;
    }
    else if (ask->sent_ms <= instance->asked_ms) {
        return false;
    }
    instance->asked_ms = ask->sent_ms;
    instance->heard_ms = now_ms;
    instance->reserving = false;
    if (ask->config_version >= granter->config_version) {
        instance->behind_ms = 0;
    }
    else if (instance->behind_ms == 0) {
        instance->behind_ms = now_ms;
    }
    return true;
}

/**
 * granter_tick() - look at instances that have fallen silent
 * @granter: the granter
 * @now_ms: current time
 */
void
granter_tick(struct granter *granter, int64_t now_ms)
{
    if (granter->fence != 0 && now_ms - granter->swept_ms >= SWEEP_PERIOD_MS) {
        sweep(granter, now_ms);
    }
}

/**
 * granter_answer() - answer an instance's ask
 * @granter: the granter
 * @member: the instance
 * @ask: its ask
 * @now_ms: current time
 * @grant: set to the answer; initialized by the caller
 *
 * Answers the loads of several instances that spend one quota. An instance
 * whose configuration has been older for longer than BEHIND_MAX_MS gets no
 * answer, as it would spend by quotas that no longer hold.
 *
 * Return: whether there is an answer.
 */
bool
granter_answer(struct granter *granter, uint64_t member,
               const struct quota_ask *ask, int64_t now_ms,
               struct quota_grant *grant)
{
    struct granter_instance *instance;
    bool is_new;

    if (granter->fence == 0) {
        return false;
    }
    granter_tick(granter, now_ms);
    instance = get_instance(granter, member);
    is_new = instance->heard_ms == 0;
    if (!accept_ask(granter, instance, ask, now_ms)) {
        return false;
    }
    if (is_new) {
        sweep(granter, now_ms);
    }
    apply_uses(granter, instance, ask, now_ms, grant);
    drop_unseen(granter, instance);
    if (instance->behind_ms != 0 &&
        now_ms - instance->behind_ms > BEHIND_MAX_MS) {
        return false;
    }
    instance->answered_ms = now_ms;
    instance->instances = MAX(granter->members, 1);
    grant->sent_ms = ask->sent_ms;
    grant->start = ask->start;
    grant->fence = granter->fence;
    grant->instances = instance->instances;
    grant->config_version = granter->config_version;
    return true;
}
