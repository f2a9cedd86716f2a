/**
 * DOC: The instance's side of the quotas: what it may spend, and when it asks.
 *
 * A grant is a cumulative limit and holds for a time that is counted from the
 * sending of its ask, by this instance's own clock, which also runs while the
 * machine is suspended.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"

enum {
    /* An ask that may be lost is sent again, several times before the holder
     * counts as unreachable. */
    RESEND_MS = 60,
    /* A team without requests for this long is no longer asked for. */
    IDLE_MS = 2000,
    /* Fewer requests in a second get no grants ahead. */
    BUSY_REQUESTS = 4,
    /* An instance gets grants ahead at any rate of requests where its share of
     * the quota is this many mean requests a second. */
    ROOMY_REQUESTS = 2,
    /* After an ask that was not granted, the next one for the team comes when
     * room is expected, but no later than this, as others may leave some. It
     * grows with the number of instances, so that the holder gets a few
     * hundred asks a second from any number of them. */
    ASK_PAUSE_MIN_MS = 100,
    ASK_PAUSE_PER_INSTANCE_MS = 4,
    /* An ask that was sent longer ago says nothing about the holder now. */
    ASKED_LATELY_MS = 2 * QUOTA_ASK_PERIOD_MS,
    /* Instances that start together are all in the member list by then. */
    LISTED_MS = 1000,
    /* The next holder begins at the latest when the lease of the former one
     * has ended. */
    HOLDER_RETURN_MS = 3500,
    /* A caller that waits longer has too little time left. */
    RETRY_TIME_DIVISOR = 3,
};

/* Part of what quotas may be exceeded by that instances without contact spend
 * at once, each a share of it. The rest allows for grants in flight. */
static const double CREDIT_PART = 0.6;

static const int64_t MS_PER_S = 1000;

/**
 * spend_init() - initialize without teams
 * @spend: the account
 * @start: tells this process apart from an earlier one of the instance
 */
void
spend_init(struct spend *spend, int64_t start)
{
    *spend = (struct spend){.start = start,
                            .instances = 1,
                            .begun_ms = -1,
                            .contact_ms = -1,
                            .asked_ms = -1,
                            .answered_ms = -1,
                            .unanswered_ms = -1};
    spend->teams =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/**
 * spend_set_bounds() - set by how much quotas may be exceeded
 * @spend: the account
 * @limits: limits of the deployment
 */
void
spend_set_bounds(struct spend *spend, const struct gate_limits *limits)
{
    spend->slack = limits->quota_slack;
    spend->over = limits->quota_over;
    spend->window_ms = limits->quota_window_ms;
}

/**
 * spend_set_members() - apply the member list
 * @spend: the account
 * @count: number of instances in it
 * @boot_ms: current time by clock_boot_ms()
 *
 * An instance that has not reached the holder since its start may spend a
 * fallback share soon after: all that started with it are then listed.
 */
void
spend_set_members(struct spend *spend, int count, int64_t boot_ms)
{
    spend->instances = MAX(spend->instances, count);
    if (spend->begun_ms < 0) {
        spend->begun_ms = boot_ms;
    }
    if (spend->contact_ms < 0 && count > 0) {
        spend->contact_ms = boot_ms + LISTED_MS - QUOTA_GRANT_MS;
    }
}

/**
 * spend_clear() - release
 * @spend: the account
 */
void
spend_clear(struct spend *spend)
{
    g_hash_table_destroy(spend->teams);
}

static struct spend_team *
get_team(struct spend *spend, uint64_t id)
{
    struct spend_team *team = g_hash_table_lookup(spend->teams, &id);

    if (team == NULL) {
        team = g_new0(struct spend_team, 1);
        team->id = id;
        team->granted_ms = -1;
        team->fallback_ms = -1;
        team->credit_ms = -1;
        g_hash_table_insert(spend->teams, &team->id, team);
    }
    return team;
}

/**
 * spend_set_config() - apply the quotas of a configuration
 * @spend: the account
 * @config: the configuration; not kept
 *
 * Counts of teams that are no longer limited are kept: the holder compares
 * them with those of the next ask.
 */
void
spend_set_config(struct spend *spend, const struct gate_config *config)
{
    GHashTableIter iter;
    struct spend_team *team;

    g_hash_table_iter_init(&iter, spend->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        team->limited = false;
    }
    for (int i = 0; i < config->team_count; i++) {
        if (config->teams[i].rate_per_s > 0.0) {
            team = get_team(spend, hash_text(config->teams[i].name));
            team->limited = true;
            team->room_at_ms = 0;
            team->ask_at_ms = 0;
            team->rate_per_s = config->teams[i].rate_per_s;
            team->burst = config->teams[i].burst;
        }
    }
    spend->config_version = config->version;
}

/**
 * spend_set_holder() - note that another instance grants from now on
 * @spend: the account
 *
 * It is asked at once, also by an instance that spends nothing: until then it
 * keeps the fallback share of this instance back.
 */
void
spend_set_holder(struct spend *spend)
{
    GHashTableIter iter;
    struct spend_team *team;

    g_hash_table_iter_init(&iter, spend->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        team->ask_at_ms = 0;
        spend->hello = spend->hello || team->limited;
    }
}

/**
 * spend_find() - a team's account
 * @spend: the accounts
 * @team: hash of its name
 *
 * Return: NULL for a team without a limit.
 */
struct spend_team *
spend_find(const struct spend *spend, uint64_t team)
{
    struct spend_team *found = g_hash_table_lookup(spend->teams, &team);

    return found != NULL && found->limited ? found : NULL;
}

/**
 * spend_meter() - count a request that has arrived
 * @team: its team
 * @units: of the request
 * @boot_ms: current time by clock_boot_ms()
 */
void
spend_meter(struct spend_team *team, int64_t units, int64_t boot_ms)
{
    struct spend_meter *meter = &team->meter;
    int64_t second = boot_ms / MS_PER_S;

    if (second != meter->second) {
        bool next = second == meter->second + 1;

        meter->units[1] = next ? meter->units[0] : 0;
        meter->count[1] = next ? meter->count[0] : 0;
        meter->units[0] = 0;
        meter->count[0] = 0;
        meter->second = second;
    }
    meter->units[0] += units;
    meter->count[0]++;
    team->used_ms = boot_ms;
}

/* Units and number of the requests of the last second, from those of the
 * present one and a part of those of the one before. */
static void
read_meter(const struct spend_meter *meter, int64_t boot_ms, int64_t *units,
           int64_t *count)
{
    int64_t age = boot_ms / MS_PER_S - meter->second;
    int64_t left_ms = MS_PER_S - boot_ms % MS_PER_S;

    *units = 0;
    *count = 0;
    if (age == 0) {
        *units = meter->units[0] + meter->units[1] * left_ms / MS_PER_S;
        *count = meter->count[0] + meter->count[1];
    }
    else if (age == 1) {
        *units = meter->units[0] * left_ms / MS_PER_S;
        *count = meter->count[0];
    }
}

/* Units that are asked for in a second. Where a second of the team's rate has
 * room for several requests of each instance, it is at least so much that a
 * grant ahead covers two. */
static int64_t
units_per_s(const struct spend *spend, const struct spend_team *team,
            int64_t boot_ms)
{
    int64_t units;
    int64_t count;
    int64_t mean;

    read_meter(&team->meter, boot_ms, &units, &count);
    if (count == 0) {
        return 0;
    }
    mean = (team->meter.units[0] + team->meter.units[1]) /
           (team->meter.count[0] + team->meter.count[1]);
    if (team->rate_per_s >=
        (double)(mean * ROOMY_REQUESTS) * (double)spend->instances) {
        return MAX(units, mean * ROOMY_REQUESTS * 2);
    }
    return count >= BUSY_REQUESTS ? units : 0;
}

static bool
has_grant(const struct spend_team *team, int64_t boot_ms)
{
    return team->granted_ms >= 0 &&
           boot_ms < team->granted_ms + QUOTA_GRANT_MS;
}

/* Whether an ask was answered that was sent since a request began to wait. */
static bool
is_answered(const struct spend_team *team, int64_t boot_ms)
{
    return team->granted_ms >= 0 &&
           boot_ms - team->granted_ms <= QUOTA_WAIT_MS;
}

/**
 * spend_is_cut() - whether the holder doesn't answer
 * @spend: the account
 * @boot_ms: current time by clock_boot_ms()
 */
bool
spend_is_cut(const struct spend *spend, int64_t boot_ms)
{
    return spend->open && spend->unanswered_ms >= 0 &&
           boot_ms - spend->unanswered_ms >= QUOTA_WAIT_MS &&
           boot_ms - spend->asked_ms <= ASKED_LATELY_MS;
}

/* Where an instance's share of what quotas may be exceeded by is less than the
 * request, so many instances may send one that these are together as much. */
static double
credit_for(const struct spend *spend, const struct spend_team *team,
           int64_t units)
{
    double window_s = (double)spend->window_ms / (double)MS_PER_S;
    double quota = team->rate_per_s * window_s + team->burst;
    double all = CREDIT_PART * (spend->slack + spend->over * quota);
    double share = all / spend->instances;
    uint64_t draw =
        hash_pair(team->id, hash_pair((uint64_t)spend->start,
                                      (uint64_t)team->fallback_ms));

    if (share >= (double)units) {
        return share;
    }
    return (double)(draw >> 11) / (double)(1ULL << 53) * (double)units < share
               ? (double)units
               : 0.0;
}

/* Once in a window; a process that has just started doesn't know what the one
 * before it had. */
static bool
may_have_credit(const struct spend *spend, const struct spend_team *team,
                int64_t boot_ms)
{
    return spend->begun_ms >= 0 &&
           boot_ms - spend->begun_ms >= spend->window_ms &&
           (team->credit_ms < 0 ||
            boot_ms - team->credit_ms >= spend->window_ms);
}

/* Begins the fallback after the last contact to the holder. */
static void
begin_fallback(const struct spend *spend, struct spend_team *team,
               int64_t units, int64_t boot_ms)
{
    if (team->fallback_ms == spend->contact_ms) {
        return;
    }
    team->fallback_ms = spend->contact_ms;
    team->fallback_spent = 0.0;
    team->credit = 0.0;
    if (may_have_credit(spend, team, boot_ms)) {
        team->credit = credit_for(spend, team, units);
        team->credit_ms = boot_ms;
    }
}

/* Answers the load of all callers while nobody grants: a share of the rate for
 * each instance, and once in a window a part of what quotas may be exceeded
 * by, as a share alone takes seconds to grow to a request. */
static enum spend_verdict
spend_fallback(const struct spend *spend, struct spend_team *team,
               int64_t units, int64_t boot_ms)
{
    int64_t from_ms = spend->contact_ms + QUOTA_GRANT_MS;
    double share_per_s = team->rate_per_s / spend->instances;
    double allowed;

    if (spend->contact_ms < 0 || boot_ms < from_ms ||
        boot_ms >= spend->contact_ms + QUOTA_FALLBACK_MS) {
        return SPEND_UNKNOWN;
    }
    begin_fallback(spend, team, units, boot_ms);
    allowed = team->credit +
              share_per_s * (double)(boot_ms - from_ms) / (double)MS_PER_S;
    if (team->fallback_spent + (double)units > allowed) {
        return SPEND_UNKNOWN;
    }
    team->fallback_spent += (double)units;
    team->spent += units;
    return SPEND_CHARGED;
}

/**
 * spend_try() - whether a request may be sent on now
 * @spend: the account
 * @team: its team
 * @units: of the request; spent if it may be sent
 * @boot_ms: current time by clock_boot_ms()
 *
 * Answers the load of a team over all instances: what is granted is spent
 * without a message, and what finds no room within QUOTA_ROOM_WAIT_MS is
 * refused at once.
 */
enum spend_verdict
spend_try(struct spend *spend, struct spend_team *team, int64_t units,
          int64_t boot_ms)
{
    if (!team->limited) {
        return SPEND_FREE;
    }
    if (has_grant(team, boot_ms) && team->spent + units <= team->limit) {
        team->spent += units;
        return SPEND_CHARGED;
    }
    if (spend_is_cut(spend, boot_ms)) {
        return has_grant(team, boot_ms)
                   ? SPEND_WAIT
                   : spend_fallback(spend, team, units, boot_ms);
    }
    return boot_ms < team->ask_at_ms &&
                   boot_ms + QUOTA_ROOM_WAIT_MS < team->room_at_ms
               ? SPEND_NO_ROOM
               : SPEND_WAIT;
}

/**
 * spend_try_last() - what becomes of a request that has waited long enough
 * @spend: the account
 * @team: its team
 * @units: of the request; spent if it may be sent
 * @boot_ms: current time by clock_boot_ms()
 *
 * Return: as spend_try(), but never SPEND_WAIT.
 */
enum spend_verdict
spend_try_last(struct spend *spend, struct spend_team *team, int64_t units,
               int64_t boot_ms)
{
    enum spend_verdict verdict = spend_try(spend, team, units, boot_ms);

    if (verdict != SPEND_WAIT) {
        return verdict;
    }
    return is_answered(team, boot_ms) ? SPEND_NO_ROOM : SPEND_UNKNOWN;
}

/**
 * spend_retry_ms() - when a caller may return that is refused
 * @team: its team
 * @verdict: SPEND_NO_ROOM or SPEND_UNKNOWN
 * @units: of its request
 * @left_ms: time until the caller gives up
 * @boot_ms: current time by clock_boot_ms()
 *
 * Callers that find no holder are to be spread over as long again. Those that
 * are refused before the next answer are sent away one behind the
 * other, at the team's rate.
 */
int64_t
spend_retry_ms(const struct spend_team *team, enum spend_verdict verdict,
               int64_t units, int64_t left_ms, int64_t boot_ms)
{
    int64_t room_ms;

    if (verdict == SPEND_UNKNOWN) {
        return MIN(HOLDER_RETURN_MS, left_ms / RETRY_TIME_DIVISOR) / 2;
    }
    room_ms = MAX(team->room_at_ms - boot_ms, 0) +
              (int64_t)((double)(team->turned_away + units) *
                        (double)MS_PER_S / team->rate_per_s);
    return MIN(room_ms, QUOTA_ROOM_MAX_MS);
}

/**
 * spend_turn_away() - note that a request was refused for want of room
 * @team: its team
 * @units: of the request
 */
void
spend_turn_away(struct spend_team *team, int64_t units)
{
    team->turned_away += units;
}

/**
 * spend_join() - note that a request waits for a grant
 * @spend: the account
 * @team: its team
 */
void
spend_join(struct spend *spend, struct spend_team *team)
{
    spend->waiting++;
    team->waiting++;
    spend->ask_soon = true;
}

/**
 * spend_leave() - note that a request no longer waits for a grant
 * @spend: the account
 * @team: its team
 */
void
spend_leave(struct spend *spend, struct spend_team *team)
{
    spend->waiting--;
    team->waiting--;
}

/**
 * spend_return() - take the units of a request back that has not run
 * @team: its team
 * @units: of the request
 * @charged_ms: when they were spent, by clock_boot_ms()
 * @boot_ms: current time by clock_boot_ms()
 */
void
spend_return(struct spend_team *team, int64_t units, int64_t charged_ms,
             int64_t boot_ms)
{
    if (boot_ms - charged_ms <= QUOTA_RETURN_MS) {
        team->spent -= units;
    }
    else {
        team->returned += units;
    }
}

/**
 * spend_ask_due_ms() - when the next ask is due
 * @spend: the account
 * @boot_ms: current time by clock_boot_ms()
 *
 * Return: a time; INT64_MAX when nothing is spent and no request waits.
 */
int64_t
spend_ask_due_ms(const struct spend *spend, int64_t boot_ms)
{
    bool repeats = spend->unanswered_ms >= 0 &&
                   boot_ms - spend->unanswered_ms < QUOTA_WAIT_MS;

    if (!spend->hello && !spend->open && !repeats && spend->waiting == 0) {
        return INT64_MAX;
    }
    if (spend->asked_ms < 0) {
        return boot_ms;
    }
    if (spend->hello || spend->ask_soon) {
        return spend->asked_ms + QUOTA_ASK_MIN_INTERVAL_MS;
    }
    if (spend->waiting > 0 || repeats) {
        return spend->asked_ms + RESEND_MS;
    }
    return spend->asked_ms + QUOTA_ASK_PERIOD_MS;
}

/**
 * spend_want() - name a waiting request in the ask that follows
 * @team: its team
 * @units: of the request
 *
 * To be called for all of them, the one that has waited longest first.
 */
void
spend_want(struct spend_team *team, int64_t units)
{
    if (team->wanted == 0) {
        team->first = units;
    }
    team->wanted += units;
}

static void
add_use(const struct spend *spend, struct quota_ask *ask,
        struct spend_team *team, int64_t boot_ms)
{
    struct quota_use use = {
        .team = team->id,
        .spent = team->spent,
        .returned = team->returned,
    };

    if (boot_ms >= team->ask_at_ms) {
        use.wanted = team->wanted;
        use.first = team->first;
        use.per_s = units_per_s(spend, team, boot_ms);
    }
    team->wanted = 0;
    team->first = 0;
    g_array_append_val(ask->uses, use);
}

static void
close_team(struct spend_team *team, int64_t boot_ms)
{
    team->closed_ms = boot_ms;
    team->granted_ms = -1;
    team->room_at_ms = 0;
    team->turned_away = 0;
}

static void
note_sent(struct spend *spend, bool was_open, int64_t boot_ms)
{
    if (spend->unanswered_ms < 0 || was_open != spend->open ||
        boot_ms - spend->asked_ms > ASKED_LATELY_MS) {
        spend->unanswered_ms = boot_ms;
    }
    spend->asked_ms = boot_ms;
    spend->hello = false;
    spend->ask_soon = false;
}

/**
 * spend_ask() - make an ask that is sent at once
 * @spend: the account
 * @boot_ms: current time by clock_boot_ms(); later than that of the last ask
 *
 * A team that is not named any more has neither a grant nor a fallback share
 * from now on, whether the ask arrives or not.
 *
 * Return: the ask, owned by the caller.
 */
struct quota_ask *
spend_ask(struct spend *spend, int64_t boot_ms)
{
    struct quota_ask *ask = quota_ask_new();
    bool was_open = spend->open;
    GHashTableIter iter;
    struct spend_team *team;

    ask->sent_ms = boot_ms;
    ask->start = spend->start;
    ask->config_version = spend->config_version;
    ask->fallback_instances =
        spend_is_cut(spend, boot_ms) ? spend->instances : 0;
    g_hash_table_iter_init(&iter, spend->teams);
    while (g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
        if (team->limited &&
            (team->waiting > 0 ||
             (team->used_ms > 0 && boot_ms - team->used_ms <= IDLE_MS))) {
            add_use(spend, ask, team, boot_ms);
        }
        else {
            close_team(team, boot_ms);
        }
    }
    spend->open = ask->uses->len > 0;
    note_sent(spend, was_open, boot_ms);
    return ask;
}

static void
apply_answer(struct spend *spend, struct spend_team *team,
             const struct quota_answer *answer, int64_t sent_ms,
             int64_t boot_ms)
{
    int64_t pause_ms =
        MAX(ASK_PAUSE_MIN_MS, ASK_PAUSE_PER_INSTANCE_MS * spend->instances);

    team->limit = answer->limit;
    team->granted_ms = sent_ms;
    if (answer->room_ms > 0) {
        team->room_at_ms = boot_ms + answer->room_ms;
        team->ask_at_ms = boot_ms + MIN(answer->room_ms, pause_ms);
        team->turned_away = 0;
    }
    else if (boot_ms >= team->ask_at_ms) {
        team->room_at_ms = 0;
    }
}

/**
 * spend_apply() - apply the holder's answer to an ask
 * @spend: the account
 * @grant: the answer
 * @boot_ms: current time by clock_boot_ms()
 *
 * Return: false when it answers no ask of this account, or an older one than
 * was answered before.
 */
bool
spend_apply(struct spend *spend, const struct quota_grant *grant,
            int64_t boot_ms)
{
    if (grant->start != spend->start || grant->sent_ms <= spend->answered_ms ||
        grant->sent_ms > spend->asked_ms || grant->fence < spend->fence) {
        return false;
    }
    spend->answered_ms = grant->sent_ms;
    /* A later answer doesn't begin the fallback anew. */
    if (boot_ms < grant->sent_ms + QUOTA_GRANT_MS) {
        spend->contact_ms = grant->sent_ms;
    }
    spend->unanswered_ms = spend->asked_ms > grant->sent_ms
                               ? grant->sent_ms + QUOTA_ASK_MIN_INTERVAL_MS
                               : -1;
    spend->fence = grant->fence;
    spend->instances = MAX(grant->instances, 1);
    for (guint i = 0; i < grant->answers->len; i++) {
        const struct quota_answer *answer =
            &g_array_index(grant->answers, struct quota_answer, i);
        struct spend_team *team = spend_find(spend, answer->team);

        if (team != NULL && grant->sent_ms > team->closed_ms) {
            apply_answer(spend, team, answer, grant->sent_ms, boot_ms);
        }
    }
    return true;
}
