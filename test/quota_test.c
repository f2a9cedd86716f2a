/*
 * Tests of the quotas in virtual time and without a network: the bucket, the
 * holder's and the instance's side, and all of it with instances that are
 * killed, frozen, cut off and restarted.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "gate/relay/dat.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"
#include "cases.h"
#include "memstore.h"
#include "quota_sim.h"

/* Bounds of the deployment that has quotas (docs/hard-load.md). */
enum { WINDOW_MS = 8000 };
static const double OVER = 0.1;
static const double SLACK = 17000.0;

/* A bucket over time: each step advances to at_ms, takes or puts back units,
 * and expects a level. */
struct bucket_step {
    int64_t at_ms;
    double held;
    double reserved_per_s;
    double take;
    double put_back;
    double level;
};

static const struct bucket_case {
    const char *name;
    double rate_per_s;
    double burst;
    struct bucket_step steps[4];
} bucket_cases[] = {
    /* A bucket that starts full would repeat what a former holder granted. */
    {"starts-empty", 1000, 500, {{0, 0, 0, 0, 0, 0}, {100, 0, 0, 0, 0, 100}}},
    /* One that has no bound lets an idle team spend hours of its rate. */
    {"is-bounded", 1000, 500, {{60000, 0, 0, 0, 0, 600}}},
    /* Units in flight on top of a full bucket would exceed the burst. */
    {"counts-held", 1000, 500, {{60000, 400, 0, 0, 0, 200}}},
    {"held-more-than-it-has", 1000, 500, {{60000, 900, 0, 0, 0, 0}}},
    {"reserved-for-others", 1000, 500, {{100, 0, 750, 0, 0, 25}}},
    {"all-reserved", 1000, 500, {{100, 0, 2000, 0, 0, 0}}},
    {"below-zero",
     1000,
     500,
     {{100, 0, 0, 300, 0, -200}, {300, 0, 0, 0, 0, 0}}},
    {"put-back-up-to-the-bound",
     1000,
     500,
     {{100, 0, 0, 100, 0, 0}, {100, 0, 0, 0, 5000, 600}}},
    /* A clock that steps back must not take units away. */
    {"time-goes-back",
     1000,
     500,
     {{500, 0, 0, 0, 0, 500}, {100, 0, 0, 0, 0, 500}, {550, 0, 0, 0, 0, 550}}},
};

static void
test_bucket(const void *data)
{
    const struct bucket_case *test = data;
    struct bucket bucket;

    bucket_init(&bucket, 0);
    bucket_set(&bucket, test->rate_per_s, test->burst);
    for (size_t i = 0; i < G_N_ELEMENTS(test->steps); i++) {
        const struct bucket_step *step = &test->steps[i];

        if (i > 0 && step->at_ms == 0) {
            break;
        }
        bucket_advance(&bucket, step->reserved_per_s, step->held, step->at_ms);
        bucket_take(&bucket, step->take);
        bucket_put_back(&bucket, step->put_back, step->held);
        g_assert_cmpfloat_with_epsilon(bucket.level, step->level, 0.001);
    }
}

/* Guards against a quota that is lowered and still spends its old burst. */
static void
test_bucket_lowered(void)
{
    struct bucket bucket;

    bucket_init(&bucket, 0);
    bucket_set(&bucket, 10000, 10000);
    bucket_advance(&bucket, 0, 0, 60000);
    bucket_set(&bucket, 100, 50);
    g_assert_cmpfloat_with_epsilon(bucket.level, 60, 0.001);
}

/* Guards against returned units that fill a bucket which lost them anyway. */
static void
test_bucket_returned_slowly(void)
{
    struct bucket bucket;

    bucket_init(&bucket, 0);
    bucket_set(&bucket, 1000, 5000);
    bucket.returned = 1000;
    bucket_advance(&bucket, 1000, 0, 1000);
    g_assert_cmpfloat_with_epsilon(bucket.level, 20, 0.001);
    g_assert_cmpfloat_with_epsilon(bucket.returned, 980, 0.001);
}

static const struct room_case {
    const char *name;
    double level;
    double promised;
    double reserved_per_s;
    double units;
    int64_t room_ms;
} room_cases[] = {
    {"missing-half-a-second", 500, 0, 0, 1000, 500},
    /* Callers that are all sent away for the same time return together. */
    {"behind-others", 500, 2000, 0, 1000, 2500},
    {"at-a-lower-rate", 500, 0, 500, 1000, 1000},
    {"not-at-once", 999, 0, 0, 1000, 20},
    {"not-for-ever", -50000, 0, 0, 1000, 8000},
    {"all-reserved", 500, 0, 1000, 1000, 5000},
};

static void
test_room(const void *data)
{
    const struct room_case *test = data;
    struct bucket bucket = {.rate_per_s = 1000,
                            .burst = 2000,
                            .level = test->level,
                            .promised = test->promised};

    g_assert_cmpint(bucket_room_ms(&bucket, test->reserved_per_s, test->units),
                    ==, test->room_ms);
}

/* The holder's side: two instances and one team, 1,000 units per second and a
 * burst of 1,000. */
struct fixture {
    struct granter granter;
    struct gate_team team;
    struct gate_config config;
};

static const uint64_t MEMBERS[] = {1, 2, 3, 4};

static void
fixture_set_quota(struct fixture *fixture, int64_t version, double rate_per_s,
                  double burst, int64_t now_ms)
{
    fixture->team.name = "a";
    fixture->team.rate_per_s = rate_per_s;
    fixture->team.burst = burst;
    fixture->config = (struct gate_config){
        .version = version, .teams = &fixture->team, .team_count = 1};
    granter_set_config(&fixture->granter, &fixture->config, now_ms);
}

/* The term begins at 0. Two instances are heard, so that they don't count as
 * silent, and the team's bucket is full at 10000. */
static void
fixture_start(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    granter_init(&fixture->granter);
    fixture_set_quota(fixture, 1, 1000, 1000, 0);
    granter_set_members(&fixture->granter, MEMBERS, 4, 0);
    granter_set_term(&fixture->granter, 7, 0);
    granter_tick(&fixture->granter, 6000);
}

/* Returns the units that the instance gets; -1 for no answer. */
static int64_t
ask(struct fixture *fixture, uint64_t member, int64_t sent_ms, int64_t spent,
    int64_t wanted, int64_t now_ms)
{
    struct quota_ask *message = quota_ask_new();
    struct quota_use use = {.team = hash_text("a"),
                            .spent = spent,
                            .wanted = wanted,
                            .first = wanted};
    struct quota_grant grant;
    int64_t units = -1;

    message->sent_ms = sent_ms;
    message->start = 5;
    message->config_version = 1;
    g_array_append_val(message->uses, use);
    quota_grant_init(&grant);
    if (granter_answer(&fixture->granter, member, message, now_ms, &grant)) {
        g_assert_cmpint(grant.sent_ms, ==, sent_ms);
        g_assert_cmpint(grant.start, ==, message->start);
        g_assert_cmpint(grant.fence, ==, 7);
        g_assert_cmpint(grant.instances, ==, fixture->granter.members);
        units =
            g_array_index(grant.answers, struct quota_answer, 0).limit - spent;
    }
    quota_grant_clear(&grant);
    quota_ask_free(message);
    return units;
}

/* Expects that the instance gets some units; -1 for no answer. */
static void
expect(struct fixture *fixture, uint64_t member, int64_t sent_ms,
       int64_t spent, int64_t wanted, int64_t now_ms, int64_t units)
{
    int64_t granted = ask(fixture, member, sent_ms, spent, wanted, now_ms);

    g_assert_cmpint(granted, ==, units);
}

static double
level_of(const struct fixture *fixture)
{
    uint64_t id = hash_text("a");
    const struct granter_team *team =
        g_hash_table_lookup(fixture->granter.teams, &id);

    return team->bucket.level;
}

struct ask_step {
    int64_t now_ms; /* arrival; 0 ends the steps */
    uint64_t member;
    int64_t sent_ms;
    int64_t spent;
    int64_t wanted;
    int64_t units; /* granted */
};

static const struct granter_case {
    const char *name;
    struct ask_step steps[5];
} granter_cases[] = {
    {"grants-what-it-has",
     {{10000, 1, 50, 0, 600, 600},
      {10000, 2, 50, 0, 600, 0},
      {10050, 1, 100, 600, 0, 0},
      {10100, 2, 150, 0, 550, 550}}},
    /* The instance may have the first grant, whether it got the second or
     * not: both together are 600, not 300. */
    {"answer-may-be-lost",
     {{10000, 1, 50, 0, 600, 600},
      {10001, 1, 51, 0, 300, 300},
      {10001, 2, 50, 0, 600, 0},
      {10002, 2, 51, 0, 500, 500}}},
    /* By its own clock, the first grant has expired, unspent. */
    {"unspent-comes-back",
     {{10000, 1, 50, 0, 1000, 1000},
      {10700, 1, 650, 0, 0, 0},
      {10700, 2, 50, 0, 1000, 1000}}},
    /* The ask was sent before the grant had expired, and came late. */
    {"late-ask-proves-nothing",
     {{10000, 1, 50, 0, 1000, 1000},
      {10700, 1, 600, 0, 0, 0},
      {10700, 2, 50, 0, 1000, 0}}},
    {"spent-does-not-come-back",
     {{10000, 1, 50, 0, 1000, 1000},
      {10700, 1, 650, 1000, 0, 0},
      {10700, 2, 50, 0, 1000, 0},
      {12300, 2, 950, 0, 700, 700}}},
    /* Spent beyond the grant, as its fallback share. */
    {"more-than-granted",
     {{10000, 1, 50, 0, 600, 600},
      {10000, 1, 51, 1000, 0, 0},
      {10000, 2, 50, 0, 300, 0},
      {10000, 2, 51, 0, 90, 90}}},
    {"not-run",
     {{10000, 1, 50, 0, 1000, 1000},
      {10001, 1, 51, 1000, 0, 0},
      {10002, 1, 700, 0, 0, 0},
      {10003, 2, 50, 0, 1000, 1000}}},
    {"overtaken-ask",
     {{10000, 1, 50, 0, 100, 100}, {10001, 1, 50, 0, 100, -1}}},
    {"larger-than-the-burst",
     {{10000, 1, 50, 0, 5000, 5000},
      {10001, 1, 51, 5000, 100, 0},
      {13000, 1, 3000, 5000, 100, 0},
      {14500, 1, 4500, 5000, 100, 100}}},
};

static void
test_granter(const void *data)
{
    const struct granter_case *test = data;
    struct fixture fixture;

    fixture_start(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(test->steps); i++) {
        const struct ask_step *step = &test->steps[i];

        if (step->now_ms == 0) {
            break;
        }
        g_test_message("step %zu", i);
        expect(&fixture, step->member, step->sent_ms, step->spent,
               step->wanted, step->now_ms, step->units);
    }
    granter_clear(&fixture.granter);
}

/* Guards against a new holder that grants what the one before granted, or what
 * instances that don't know it spend meanwhile. */
static void
test_new_term(void)
{
    struct fixture fixture;

    fixture_start(&fixture);
    granter_set_term(&fixture.granter, 0, 10000);
    expect(&fixture, 1, 50, 0, 100, 10000, -1);
    granter_set_term(&fixture.granter, 7, 10000);
    expect(&fixture, 1, 51, 0, 100, 10000, 0);
    expect(&fixture, 1, 551, 0, 100, 10500, 100);
    /* Three of four were not heard: a quarter of the rate, less 100. */
    g_assert_cmpfloat(level_of(&fixture), <=, 30);
    granter_clear(&fixture.granter);
}

/* Guards against a new holder that forgets instances which have just lost
 * their entries, and may spend their fallback shares. */
static void
test_unlisted(void)
{
    struct fixture fixture;

    fixture_start(&fixture);
    granter_set_members(&fixture.granter, MEMBERS, 2, 10000);
    granter_set_term(&fixture.granter, 0, 12000);
    granter_set_term(&fixture.granter, 7, 12000);
    ask(&fixture, 1, 50, 0, 0, 12000);
    ask(&fixture, 2, 50, 0, 0, 12000);
    granter_tick(&fixture.granter, 12200);
    g_assert_cmpfloat(level_of(&fixture), ==, 0.0);
    granter_clear(&fixture.granter);
}

/* Guards against an instance that has to ask for each request of a busy team,
 * and against one that takes all there is for requests to come. */
static const struct ahead_case {
    const char *name;
    int64_t per_s;
    int64_t wanted;
    int64_t units;
} ahead_cases[] = {
    {"two-periods-of-asks", 400, 100, 300},
    {"half-of-what-is-spare", 10000, 100, 100 + (1000 - 275) / 2},
    {"rarely-requested", 0, 100, 100},
    {"not-while-others-may-wait", 10000, 900, 900},
};

static void
test_ahead(const void *data)
{
    const struct ahead_case *test = data;
    struct fixture fixture;
    struct quota_ask *message = quota_ask_new();
    struct quota_use use = {.team = hash_text("a"),
                            .wanted = test->wanted,
                            .first = test->wanted,
                            .per_s = test->per_s};
    struct quota_grant grant;

    fixture_start(&fixture);
    message->sent_ms = 50;
    message->config_version = 1;
    g_array_append_val(message->uses, use);
    quota_grant_init(&grant);
    g_assert_true(granter_answer(&fixture.granter, 1, message, 10000, &grant));
    g_assert_cmpint(g_array_index(grant.answers, struct quota_answer, 0).limit,
                    ==, test->units);
    quota_grant_clear(&grant);
    quota_ask_free(message);
    granter_clear(&fixture.granter);
}

/* Guards against granting what a silent instance spends as its fallback. */
static void
test_silent(void)
{
    struct fixture fixture;
    double level;

    fixture_start(&fixture);
    expect(&fixture, 1, 50, 0, 1100, 10000, 1100);
    expect(&fixture, 1, 51, 1100, 0, 10000, 0);
    for (int64_t now_ms = 10000; now_ms <= 10800; now_ms += 50) {
        granter_tick(&fixture.granter, now_ms);
    }
    /* 800 ms, 500 of them at three quarters of the rate. */
    level = level_of(&fixture);
    g_assert_cmpfloat(level, >=, 300 + 375 - 1);
    g_assert_cmpfloat(level, <=, 300 + 375 + 15);
    /* It has spent 100 of 125; the rest comes back. */
    ask(&fixture, 1, 851, 1200, 0, 10800);
    g_assert_cmpfloat_with_epsilon(level_of(&fixture), level + 25, 15);
    granter_clear(&fixture.granter);
}

/* Guards against grants by a quota that was lowered: to an instance that keeps
 * its old configuration. */
static void
test_older_config(void)
{
    struct fixture fixture;

    fixture_start(&fixture);
    fixture_set_quota(&fixture, 2, 1000, 1000, 10000);
    expect(&fixture, 1, 50, 0, 100, 10000, 100);
    expect(&fixture, 1, 3050, 100, 100, 13000, 100);
    expect(&fixture, 1, 3051, 200, 100, 13001, -1);
    granter_clear(&fixture.granter);
}

/* Guards against requests that are refused because the holder doesn't have the
 * configuration yet that limits their team, and against a holder that grants
 * what no configuration of its own names otherwise. */
static const struct newer_case {
    const char *name;
    int64_t version; /* of the instance; the holder has 1 */
    guint answers;
} newer_cases[] = {
    {"same", 1, 0},
    {"newer", 2, 1},
};

static void
test_newer_config(const void *data)
{
    const struct newer_case *test = data;
    struct quota_ask *message = quota_ask_new();
    struct quota_use use = {
        .team = hash_text("new"), .wanted = 100, .first = 100};
    struct quota_grant grant;
    struct fixture fixture;

    fixture_start(&fixture);
    message->sent_ms = 50;
    message->start = 5;
    message->config_version = test->version;
    g_array_append_val(message->uses, use);
    quota_grant_init(&grant);
    g_assert_true(granter_answer(&fixture.granter, 1, message, 10000, &grant));
    g_assert_cmpuint(grant.answers->len, ==, test->answers);
    quota_grant_clear(&grant);
    quota_ask_free(message);
    granter_clear(&fixture.granter);
}

/* Guards against a restarted instance that gets its units a second time. */
static void
test_restarted(void)
{
    struct fixture fixture;
    struct quota_ask *message = quota_ask_new();
    struct quota_grant grant;
    struct quota_use use = {
        .team = hash_text("a"), .wanted = 500, .first = 500};

    fixture_start(&fixture);
    expect(&fixture, 1, 50, 0, 1100, 10000, 1100);
    message->sent_ms = 1;
    message->start = 6;
    message->config_version = 1;
    g_array_append_val(message->uses, use);
    quota_grant_init(&grant);
    g_assert_true(granter_answer(&fixture.granter, 1, message, 10001, &grant));
    g_assert_cmpint(g_array_index(grant.answers, struct quota_answer, 0).limit,
                    ==, 0);
    quota_grant_clear(&grant);
    quota_ask_free(message);
    granter_clear(&fixture.granter);
}

enum { ACCOUNT_START = 5 };

/* The instance's side. */
struct account {
    struct spend spend;
    struct spend_team *team;
};

static void
account_start(struct account *account)
{
    struct gate_team team = {.name = "a", .rate_per_s = 1000, .burst = 1000};
    struct gate_config config = {
        .version = 1, .teams = &team, .team_count = 1};

    spend_init(&account->spend, ACCOUNT_START);
    spend_set_config(&account->spend, &config);
    account->team = spend_find(&account->spend, hash_text("a"));
    g_assert_nonnull(account->team);
}

static void
give_to(struct account *account, int64_t start, int64_t sent_ms, int64_t limit,
        int64_t room_ms, int64_t now_ms, bool accepted)
{
    struct quota_answer answer = {hash_text("a"), limit, room_ms};
    struct quota_grant grant;
    bool applied;

    quota_grant_init(&grant);
    grant.sent_ms = sent_ms;
    grant.start = start;
    grant.fence = 7;
    grant.instances = 4;
    g_array_append_val(grant.answers, answer);
    applied = spend_apply(&account->spend, &grant, now_ms);
    g_assert_true(applied == accepted);
    quota_grant_clear(&grant);
}

static void
give(struct account *account, int64_t sent_ms, int64_t limit, int64_t room_ms,
     int64_t now_ms, bool accepted)
{
    give_to(account, ACCOUNT_START, sent_ms, limit, room_ms, now_ms, accepted);
}

enum spend_action { ASK = 1, GIVE, GIVE_VOID, TRY, LAST };

/* For ASK, @value is ignored; for GIVE, it is the limit and @sent_ms the time
 * of the ask; for TRY and LAST, the units. */
struct spend_step {
    enum spend_action action;
    int64_t now_ms;
    int64_t value;
    int64_t sent_ms;
    int64_t room_ms;
    enum spend_verdict verdict;
};

static const struct spend_case {
    const char *name;
    struct spend_step steps[10];
} spend_cases[] = {
    {"asks-first", {{TRY, 1000, 10, 0, 0, SPEND_WAIT}}},
    {"spends-up-to-the-limit",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1002, 100, 1000, 0, 0},
      {TRY, 1002, 60, 0, 0, SPEND_CHARGED},
      {TRY, 1002, 40, 0, 0, SPEND_CHARGED},
      {TRY, 1002, 1, 0, 0, SPEND_WAIT}}},
    /* The time counts from the ask: the answer may have been delayed, or read
     * late by a machine that was frozen. */
    {"expires-from-the-ask",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1500, 100, 1000, 0, 0},
      {TRY, 1599, 10, 0, 0, SPEND_CHARGED},
      {TRY, 1600, 10, 0, 0, SPEND_WAIT}}},
    {"answer-of-another-time",
     {{ASK, 1000, 0, 0, 0, 0},
      {ASK, 1100, 0, 0, 0, 0},
      {GIVE, 1101, 100, 1100, 0, 0},
      {GIVE_VOID, 1102, 500, 1000, 0, 0},
      {GIVE_VOID, 1102, 500, 1101, 0, 0},
      {TRY, 1102, 101, 0, 0, SPEND_WAIT}}},
    {"no-room",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1002, 0, 1000, 900, 0},
      {TRY, 1002, 10, 0, 0, SPEND_NO_ROOM},
      {TRY, 1101, 10, 0, 0, SPEND_NO_ROOM},
      {TRY, 1102, 10, 0, 0, SPEND_WAIT},
      {LAST, 1102, 10, 0, 0, SPEND_NO_ROOM}}},
    /* Room is expected while the request may still wait. */
    {"room-soon",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1002, 0, 1000, 100, 0},
      {TRY, 1002, 10, 0, 0, SPEND_WAIT}}},
    {"fallback-share",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1002, 0, 1000, 0, 0},
      {ASK, 1250, 0, 0, 0, 0},
      {ASK, 1500, 0, 0, 0, 0},
      {ASK, 1750, 0, 0, 0, 0},
      {ASK, 2000, 0, 0, 0, 0},
      /* 400 ms of a quarter of the rate */
      {TRY, 2000, 101, 0, 0, SPEND_UNKNOWN},
      {TRY, 2000, 60, 0, 0, SPEND_CHARGED},
      {TRY, 2000, 41, 0, 0, SPEND_UNKNOWN},
      {TRY, 2000, 40, 0, 0, SPEND_CHARGED}}},
    {"fallback-ends",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1002, 0, 1000, 0, 0},
      {ASK, 5500, 0, 0, 0, 0},
      {ASK, 5800, 0, 0, 0, 0},
      {TRY, 5999, 10, 0, 0, SPEND_CHARGED},
      {ASK, 6000, 0, 0, 0, 0},
      {TRY, 6000, 10, 0, 0, SPEND_UNKNOWN}}},
    /* A process that was neither answered nor has a member list has no share.
     */
    {"fallback-goes-on-with-late-answers",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1002, 0, 1000, 0, 0},
      {ASK, 1250, 0, 0, 0, 0},
      {ASK, 1700, 0, 0, 0, 0},
      {ASK, 2000, 0, 0, 0, 0},
      {TRY, 2000, 100, 0, 0, SPEND_CHARGED},
      {GIVE, 2000, 0, 1250, 0, 0},
      {TRY, 2000, 1, 0, 0, SPEND_UNKNOWN},
      {TRY, 2040, 10, 0, 0, SPEND_CHARGED}}},
    {"no-fallback-at-the-start",
     {{ASK, 1000, 0, 0, 0, 0},
      {ASK, 1250, 0, 0, 0, 0},
      {TRY, 1260, 1, 0, 0, SPEND_UNKNOWN},
      {LAST, 1260, 1, 0, 0, SPEND_UNKNOWN}}},
    /* The silence of an instance that has not asked says nothing. */
    /* A grant is still valid, but the asks since are not answered. */
    {"unknown-before-the-grant-ends",
     {{ASK, 1000, 0, 0, 0, 0},
      {GIVE, 1002, 0, 1000, 0, 0},
      {ASK, 1250, 0, 0, 0, 0},
      {LAST, 1250, 10, 0, 0, SPEND_NO_ROOM},
      {LAST, 1361, 10, 0, 0, SPEND_UNKNOWN}}},
    {"not-cut-when-idle",
     {{ASK, 1000, 0, 0, 0, 0}, {TRY, 9000, 1, 0, 0, SPEND_WAIT}}},
};

static void
test_spend(const void *data)
{
    const struct spend_case *test = data;
    struct account account;

    account_start(&account);
    for (size_t i = 0; i < G_N_ELEMENTS(test->steps); i++) {
        const struct spend_step *step = &test->steps[i];
        enum spend_verdict verdict;

        g_test_message("step %zu", i);
        switch (step->action) {
        case ASK:
            spend_meter(account.team, 1, step->now_ms);
            quota_ask_free(spend_ask(&account.spend, step->now_ms));
            break;
        case GIVE:
        case GIVE_VOID:
            give(&account, step->sent_ms, step->value, step->room_ms,
                 step->now_ms, step->action == GIVE);
            break;
        case TRY:
            verdict = spend_try(&account.spend, account.team, step->value,
                                step->now_ms);
            g_assert_cmpint(verdict, ==, step->verdict);
            break;
        case LAST:
            verdict = spend_try_last(&account.spend, account.team, step->value,
                                     step->now_ms);
            g_assert_cmpint(verdict, ==, step->verdict);
            break;
        }
    }
    spend_clear(&account.spend);
}

/* Guards against a grant that arrives after its team was left out of an ask,
 * for which the holder keeps nothing back. */
static void
test_closed_team(void)
{
    struct account account;
    enum spend_verdict verdict;

    account_start(&account);
    spend_meter(account.team, 1, 1000);
    quota_ask_free(spend_ask(&account.spend, 2990));
    quota_ask_free(spend_ask(&account.spend, 3010));
    give(&account, 2990, 100, 0, 3011, true);
    verdict = spend_try(&account.spend, account.team, 10, 3011);
    g_assert_cmpint(verdict, ==, SPEND_WAIT);
    spend_clear(&account.spend);
}

/* Guards against an answer to the process before: its limit counts from what
 * that one had spent since its own start, so a new process would have as much
 * again. It reaches the new one because frames wait for a connection. */
static void
test_answer_to_earlier_start(void)
{
    struct account account;
    enum spend_verdict verdict;

    account_start(&account);
    spend_meter(account.team, 1, 1300);
    quota_ask_free(spend_ask(&account.spend, 1300));
    give_to(&account, ACCOUNT_START - 1, 1000, 1000000, 0, 1310, false);
    verdict = spend_try(&account.spend, account.team, 500000, 1310);
    g_assert_cmpint(verdict, ==, SPEND_WAIT);
    spend_clear(&account.spend);
}

/* Guards against a message for each request, and against messages of an
 * instance that spends nothing. */
static void
test_ask_times(void)
{
    struct account account;

    account_start(&account);
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 1000), ==, INT64_MAX);
    spend_join(&account.spend, account.team);
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 1000), ==, 1000);
    quota_ask_free(spend_ask(&account.spend, 1000));
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 1001), ==, 1060);
    spend_join(&account.spend, account.team);
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 1001), ==, 1020);
    spend_leave(&account.spend, account.team);
    spend_leave(&account.spend, account.team);
    spend_meter(account.team, 1, 1000);
    quota_ask_free(spend_ask(&account.spend, 1020));
    /* Not answered yet, then answered, then without requests. */
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 1021), ==, 1080);
    give(&account, 1020, 0, 0, 1022, true);
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 1022), ==, 1270);
    quota_ask_free(spend_ask(&account.spend, 3100));
    give(&account, 3100, 0, 0, 3102, true);
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 3102), ==, INT64_MAX);
    spend_set_holder(&account.spend);
    g_assert_cmpint(spend_ask_due_ms(&account.spend, 3102), ==, 3120);
    spend_clear(&account.spend);
}

/* Guards against teams that get nothing while the holder is away because their
 * share is less than a request or they were idle, and against what is spent
 * without a holder twice: credit more than once in a window, or by a process
 * that doesn't know what the one before it had. The quota is 4,200 units a
 * second at 28 instances; what it may be exceeded by is 20,780 units. Each try
 * is of 1,100 units. */
struct fallback_case {
    const char *name;
    int64_t listed_ms;  /* -1 for never */
    int64_t contact_ms; /* answered ask; -1 for never */
    int64_t other_ms;   /* an earlier contact after which one was tried */
    int64_t start;      /* of the process: decides who has credit */
    int64_t now_ms;
    enum spend_verdict verdict;
    int instances;
};

static const struct fallback_case fallback_cases[] = {
    {"credit", 10000, 90000, -1, 4, 90600, SPEND_CHARGED, 28},
    {"no-credit-here", 10000, 90000, -1, 2, 90600, SPEND_UNKNOWN, 28},
    {"share-below-a-request", 10000, 90000, -1, 2, 94999, SPEND_UNKNOWN, 28},
    {"grant-not-over", 10000, 90000, -1, 4, 90599, SPEND_UNKNOWN, 28},
    {"few-and-grant-not-over", 10000, 90000, -1, 4, 90599, SPEND_UNKNOWN, 4},
    {"few-and-grant-over", 10000, 90000, -1, 4, 90600, SPEND_CHARGED, 4},
    {"too-late", 10000, 90000, -1, 4, 95000, SPEND_UNKNOWN, 28},
    {"credit-again-in-the-window", 10000, 90000, 85000, 4, 90600,
     SPEND_UNKNOWN, 28},
    {"new-process", 89000, 90000, -1, 4, 90600, SPEND_UNKNOWN, 28},
    {"never-answered", 90000, -1, -1, 4, 91100, SPEND_UNKNOWN, 28},
};

static enum spend_verdict
try_fallback(const struct fallback_case *test)
{
    static const struct gate_limits limits = {
        .quota_window_ms = 8000, .quota_over = 0.1, .quota_slack = 17000};
    struct gate_team team = {.name = "a", .rate_per_s = 4200, .burst = 4200};
    struct gate_config config = {
        .version = 1, .teams = &team, .team_count = 1};
    enum spend_verdict verdict;
    struct spend spend;
    struct spend_team *account;

    spend_init(&spend, test->start);
    spend_set_bounds(&spend, &limits);
    spend_set_config(&spend, &config);
    account = spend_find(&spend, hash_text("a"));
    if (test->listed_ms >= 0) {
        spend_set_members(&spend, test->instances, test->listed_ms);
    }
    spend.open = true;
    if (test->other_ms >= 0) {
        spend.contact_ms = test->other_ms;
        spend.unanswered_ms = test->other_ms;
        spend.asked_ms = test->other_ms + QUOTA_GRANT_MS;
        spend_try(&spend, account, 1100, test->other_ms + QUOTA_GRANT_MS);
    }
    if (test->contact_ms >= 0) {
        spend.contact_ms = test->contact_ms;
    }
    spend.unanswered_ms = test->now_ms - QUOTA_WAIT_MS;
    spend.asked_ms = test->now_ms;
    verdict = spend_try(&spend, account, 1100, test->now_ms);
    spend_clear(&spend);
    return verdict;
}

static void
test_fallback(const void *data)
{
    const struct fallback_case *test = data;

    g_assert_cmpint(try_fallback(test), ==, test->verdict);
}

/* Guards against credit of all instances together beyond what a quota may be
 * exceeded by, and against none. */
static void
test_credit_sum(void)
{
    int charged = 0;

    for (int i = 0; i < 28; i++) {
        struct fallback_case instance = {.listed_ms = 10000,
                                         .contact_ms = 90000,
                                         .other_ms = -1,
                                         .start = 1000 + i,
                                         .now_ms = 90600,
                                         .instances = 28};

        charged += try_fallback(&instance) == SPEND_CHARGED;
    }
    g_test_message("%d of 28 instances", charged);
    g_assert_cmpint(charged, >, 0);
    g_assert_cmpint(charged * 1100, <=, 20780);
}

/* Guards against callers that are sent away for the same time and return
 * together. */
static void
test_retry(void)
{
    struct account account;

    account_start(&account);
    spend_meter(account.team, 1, 1000);
    quota_ask_free(spend_ask(&account.spend, 1000));
    give(&account, 1000, 0, 500, 1000, true);
    g_assert_cmpint(
        spend_retry_ms(account.team, SPEND_NO_ROOM, 100, 9000, 1000), ==, 600);
    spend_turn_away(account.team, 100);
    g_assert_cmpint(
        spend_retry_ms(account.team, SPEND_NO_ROOM, 100, 9000, 1000), ==, 700);
    spend_turn_away(account.team, 50000);
    g_assert_cmpint(
        spend_retry_ms(account.team, SPEND_NO_ROOM, 100, 9000, 1000), ==,
        QUOTA_ROOM_MAX_MS);
    spend_clear(&account.spend);
}

/* Guards against fields that get lost on their way. */
static Turmeric__Envelope *
transmit(Turmeric__Envelope *envelope)
{
    size_t count = turmeric__envelope__get_packed_size(envelope);
    uint8_t *bytes = g_malloc(count);
    Turmeric__Envelope *received;

    turmeric__envelope__pack(envelope, bytes);
    received = turmeric__envelope__unpack(NULL, count, bytes);
    g_assert_nonnull(received);
    g_free(bytes);
    return received;
}

static void
test_ask_message(void)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Envelope *received;
    struct quota_ask *sent = quota_ask_new();
    struct quota_ask *got;
    struct quota_use uses[] = {{1, 2, 9, 4, 5, 6},
                               {G_MAXUINT64, 0, 0, 0, 0, 0}};

    sent->sent_ms = 11;
    sent->start = 12;
    sent->config_version = 13;
    sent->fallback_instances = 14;
    g_array_append_vals(sent->uses, uses, G_N_ELEMENTS(uses));
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_QUOTA_ASK;
    envelope.gate_quota_ask = peers_encode_quota_ask(sent);
    received = transmit(&envelope);
    got = peers_decode_quota_ask(received);
    g_assert_cmpint(got->sent_ms, ==, 11);
    g_assert_cmpint(got->start, ==, 12);
    g_assert_cmpint(got->config_version, ==, 13);
    g_assert_cmpint(got->fallback_instances, ==, 14);
    g_assert_cmpmem(got->uses->data, got->uses->len * sizeof(uses[0]), uses,
                    sizeof(uses));
    peers_free_quota_ask(envelope.gate_quota_ask);
    turmeric__envelope__free_unpacked(received, NULL);
    quota_ask_free(sent);
    quota_ask_free(got);
}

static void
test_grant_message(void)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;
    Turmeric__Envelope *received;
    struct quota_grant sent;
    struct quota_grant got;
    struct quota_answer answers[] = {{1, 2, 3}, {4, 5, 0}};

    quota_grant_init(&sent);
    sent.sent_ms = 11;
    sent.start = 15;
    sent.fence = 12;
    sent.instances = 13;
    sent.config_version = 14;
    g_array_append_vals(sent.answers, answers, G_N_ELEMENTS(answers));
    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_QUOTA_GRANT;
    envelope.gate_quota_grant = peers_encode_quota_grant(&sent);
    received = transmit(&envelope);
    peers_decode_quota_grant(received, &got);
    g_assert_cmpint(got.sent_ms, ==, 11);
    g_assert_cmpint(got.start, ==, 15);
    g_assert_cmpint(got.fence, ==, 12);
    g_assert_cmpint(got.instances, ==, 13);
    g_assert_cmpint(got.config_version, ==, 14);
    g_assert_cmpmem(got.answers->data, got.answers->len * sizeof(answers[0]),
                    answers, sizeof(answers));
    peers_free_quota_grant(envelope.gate_quota_grant);
    turmeric__envelope__free_unpacked(received, NULL);
    quota_grant_clear(&sent);
    quota_grant_clear(&got);
}

/* Guards against grants after the lease, and against none in its last
 * second, in which no orders are sent. */
static void
test_term(void)
{
    struct gate_settings settings = {.name = "a", .front_address = "1:1"};
    struct holder nobody = {0};
    struct memstore store;
    struct lease_keeper keeper;
    struct term term = {0};
    struct err err = {0};
    int64_t fence;
    int64_t now_ms = 0;

    memstore_init(&store);
    g_assert_true(
        lease_keeper_init(&keeper, &store.store, &settings, &term, &err));
    lease_keeper_set_holder(&keeper, &nobody, 0);
    for (; term.fence == 0; now_ms += 100) {
        memstore_set_time(&store, now_ms);
        lease_keeper_tick(&keeper, now_ms);
        g_assert_cmpint(now_ms, <, 2000);
    }
    now_ms = keeper.renewal_sent_ms + 3000;
    fence = term_grants_fence(&term, now_ms - 201);
    g_assert_cmpint(fence, ==, term.fence);
    g_assert_false(term_is_valid(&term, now_ms - 201, NULL));
    g_assert_cmpint(term_grants_fence(&term, now_ms - 200), ==, 0);
    lease_keeper_shut_down(&keeper, keeper.renewal_sent_ms + 1);
    g_assert_cmpint(term_grants_fence(&term, keeper.renewal_sent_ms + 1), ==,
                    0);
    lease_keeper_clear(&keeper);
    memstore_clear(&store);
}

/* Guards against a duty that answers while it has no term, or not at all. */
struct duty_fixture {
    struct quota_port port;
    struct ring answers; /* struct quota_answer */
};

static void
keep_answer(struct quota_port *port, uint64_t member,
            const struct quota_grant *message)
{
    struct duty_fixture *fixture = (struct duty_fixture *)port;
    struct err err = {0};

    g_assert_cmpuint(member, ==, 1);
    g_assert_true(ring_push(&fixture->answers, message->answers->data, &err));
}

static void *
run_duty(void *argument)
{
    struct duty *duty = argument;
    struct err err = {0};

    g_assert_true(duty->ops->run(duty, &err));
    return NULL;
}

static void
post_duty_ask(struct quota_duty *quota, int64_t sent_ms)
{
    struct quota_ask *message = quota_ask_new();
    struct quota_use use = {.team = hash_text("a"), .wanted = 1, .first = 1};

    message->sent_ms = sent_ms;
    message->config_version = 1;
    g_array_append_val(message->uses, use);
    quota_post_ask(quota, 1, message);
}

static struct gate_config *
duty_config(void)
{
    struct gate_config *config = g_new0(struct gate_config, 1);

    config->reference_count = 1;
    config->version = 1;
    config->teams = g_new0(struct gate_team, 1);
    config->team_count = 1;
    config->teams[0].name = g_strdup("a");
    config->teams[0].rate_per_s = 1e9;
    config->teams[0].burst = 1e9;
    return config;
}

/* Sends asks until one is granted; the first may find an empty bucket. */
static void
expect_duty_grant(struct duty_fixture *fixture, struct quota_duty *quota)
{
    int64_t limit = 0;

    for (int64_t sent_ms = 2; limit == 0; sent_ms++) {
        struct quota_answer answer = {0};

        post_duty_ask(quota, sent_ms);
        ring_pop(&fixture->answers, &answer, -1);
        limit = answer.limit;
    }
    g_assert_cmpint(limit, >=, 1);
}

static void
run_duty_test(bool has_term)
{
    static const struct quota_port_ops port_ops = {keep_answer};
    struct duty_fixture fixture = {.port = {&port_ops}};
    struct quota_answer answer;
    struct gate_member member = {.id = 1};
    struct gate_config *config = duty_config();
    GArray *members = g_array_new(FALSE, FALSE, sizeof(struct gate_member));
    struct term term = {.fence = 3, .grants_until_ms = INT64_MAX};
    struct quota_duty quota;
    struct err err = {0};
    pthread_t thread;

    if (!has_term) {
        term.grants_until_ms = 1;
    }
    g_array_append_val(members, member);
    g_assert_true(
        ring_init(&fixture.answers, 8, sizeof(struct quota_answer), &err));
    g_assert_true(quota_duty_init(&quota, &term, &fixture.port, &err));
    g_assert_true(quota_post_config(&quota, config));
    g_assert_true(quota_post_members(&quota, members));
    post_duty_ask(&quota, 1);
    g_assert_cmpint(pthread_create(&thread, NULL, run_duty, &quota.duty), ==,
                    0);
    if (has_term) {
        ring_pop(&fixture.answers, &answer, -1);
        expect_duty_grant(&fixture, &quota);
    }
    quota.duty.ops->stop(&quota.duty);
    pthread_join(thread, NULL);
    g_assert_cmpint(ring_count(&fixture.answers), ==, 0);
    quota_duty_clear(&quota);
    ring_free(&fixture.answers);
    g_array_free(members, TRUE);
    gate_config_unref(config);
}

static void
test_duty(void)
{
    run_duty_test(true);
}

static void
test_duty_without_term(void)
{
    run_duty_test(false);
}

/* The whole, with teams of very unequal size. */
static const struct gate_team teams[] = {
    {.name = "large", .rate_per_s = 60000, .burst = 60000},
    {.name = "middle", .rate_per_s = 12000, .burst = 24000},
    {.name = "small", .rate_per_s = 4200, .burst = 8400},
    {.name = "tiny", .rate_per_s = 4200, .burst = 4200},
};

enum { TEAM_LARGE, TEAM_MIDDLE, TEAM_SMALL, TEAM_TINY, TEAMS };

/* Requests of a team: how often, how large, and at which instances. */
struct load {
    int team;
    double per_s;
    int units_min;
    int units_max;
    int first_instance;
    int instances;
};

static void
send_load(struct sim *sim, const struct load *load)
{
    double count = load->per_s * SIM_STEP_MS / 1000.0;

    while (count > 0.0 && g_rand_double(sim->random) < count) {
        sim_request(sim,
                    load->first_instance +
                        g_rand_int_range(sim->random, 0, load->instances),
                    load->team,
                    g_rand_int_range(sim->random, load->units_min,
                                     load->units_max + 1));
        count -= 1.0;
    }
}

static void
run_load(struct sim *sim, const struct load *loads, int count,
         int64_t duration_ms)
{
    for (int64_t end_ms = sim->now_ms + duration_ms; sim->now_ms < end_ms;) {
        for (int i = 0; i < count; i++) {
            send_load(sim, &loads[i]);
        }
        sim_step(sim);
    }
}

static void
check_bounds(const struct sim *sim)
{
    for (int i = 0; i < sim->team_count; i++) {
        double excess = sim_excess(sim, i, WINDOW_MS, OVER, SLACK);

        g_test_message("team=%s served=%u refused=%d unknown=%d waited=%d "
                       "returned=%d ideal_refused=%d excess=%.0f",
                       sim->teams[i].name, sim->results[i].served->len,
                       sim->results[i].refused, sim->results[i].unknown,
                       sim->results[i].waited, sim->results[i].returned,
                       sim->results[i].ideal_refused, excess);
        g_assert_cmpfloat(excess, <=, 0.0);
    }
}

/* Guards against more than the quota in any window when messages are lost and
 * instances and holders change at random. */
static void
random_fault(struct sim *sim)
{
    int victim = g_rand_int_range(sim->random, 0, sim->count);
    struct sim_instance *instance = &sim->instances[victim];

    switch (g_rand_int_range(sim->random, 0, 10)) {
    case 0:
        instance->cut_in = !instance->cut_in;
        break;
    case 1:
        instance->cut_out = !instance->cut_out;
        break;
    case 2:
        instance->side = !instance->side;
        break;
    case 3:
        if (instance->frozen) {
            sim_thaw(sim, victim);
        }
        else if (!instance->dead && victim != sim->holder) {
            instance->frozen = true;
        }
        break;
    case 4:
        if (instance->dead) {
            sim_restart(sim, victim);
        }
        else {
            sim_kill(sim, victim);
        }
        break;
    case 5:
        sim->loss = g_rand_int_range(sim->random, 0, 4) * 0.1;
        break;
    case 6:
        sim->delay_max_ms = g_rand_int_range(sim->random, 2, 2000);
        break;
    case 7:
        sim_end_term(sim);
        break;
    case 8:
        sim->loss = 0.0;
        sim->delay_max_ms = 4;
        for (int i = 0; i < sim->count; i++) {
            sim->instances[i].cut_in = false;
            sim->instances[i].cut_out = false;
            sim->instances[i].side = 0;
        }
        break;
    default:
        if (sim->holder < 0 && !instance->dead && !instance->frozen) {
            sim_begin_term(sim, victim);
        }
        break;
    }
}

static const struct seed_case {
    const char *name;
    uint32_t seed;
    double overload;
} seed_cases[] = {
    {"seed-1", 1, 3},   {"seed-2", 2, 8},   {"seed-3", 3, 1},
    {"seed-4", 4, 5},   {"seed-5", 5, 0.6}, {"seed-6", 6, 7},
    {"seed-7", 7, 3},   {"seed-8", 8, 8},   {"seed-9", 9, 1},
    {"seed-10", 10, 5}, {"seed-11", 11, 2}, {"seed-12", 12, 7},
};

static void
test_random(const void *data)
{
    const struct seed_case *test = data;
    struct load loads[] = {
        {TEAM_LARGE, 60 * test->overload, 400, 1600, 0, 12},
        {TEAM_MIDDLE, 10 * test->overload, 400, 2000, 0, 12},
        {TEAM_SMALL, 2.4 * test->overload, 1100, 2400, 0, 12},
        {TEAM_TINY, 2.4 * test->overload, 1100, 2400, 0, 1},
    };
    struct sim sim;

    g_test_message("seed %u", test->seed);
    sim_init(&sim, test->seed, 12, teams, TEAMS);
    sim.return_percent = 10;
    sim.return_max_ms = 3000;
    sim_begin_term(&sim, 0);
    for (int i = 0; i < 150; i++) {
        run_load(&sim, loads, G_N_ELEMENTS(loads),
                 g_rand_int_range(sim.random, 20, 1200));
        random_fault(&sim);
    }
    check_bounds(&sim);
    sim_clear(&sim);
}

/* Worst cases by hand. All instances have full grants and a full bucket when
 * the fault begins, and more requests than they may serve from then on. */
enum fault {
    CUT_ALL = 1,
    ANSWERS_LOST,
    ASKS_LOST,
    HOLDER_DIES,
    HALF_BEYOND_PARTITION,
    ALL_FREEZE,
    ALL_RESTART,
    HOLDER_CHANGES_OFTEN,
    QUEUED_RETURNED,
    SLOW_LINKS,
};

static const struct worst_case {
    const char *name;
    enum fault fault;
} worst_cases[] = {
    {"all-cut-off", CUT_ALL},
    {"answers-lost", ANSWERS_LOST},
    {"asks-lost", ASKS_LOST},
    {"holder-dies", HOLDER_DIES},
    {"half-beyond-a-partition", HALF_BEYOND_PARTITION},
    {"all-freeze", ALL_FREEZE},
    {"all-restart", ALL_RESTART},
    {"holder-changes-often", HOLDER_CHANGES_OFTEN},
    {"queued-requests-returned", QUEUED_RETURNED},
    /* Each answer comes when its grant is over. */
    {"slow-links", SLOW_LINKS},
};

static void
begin_fault(struct sim *sim, enum fault fault)
{
    for (int i = 0; i < sim->count; i++) {
        struct sim_instance *instance = &sim->instances[i];

        instance->side = fault == CUT_ALL                 ? i
                         : fault == HALF_BEYOND_PARTITION ? i % 2
                                                          : 0;
        instance->cut_in = fault == ANSWERS_LOST && i != sim->holder;
        instance->cut_out = fault == ASKS_LOST && i != sim->holder;
        instance->frozen = fault == ALL_FREEZE && i != sim->holder;
        if (fault == ALL_RESTART && i != sim->holder) {
            sim_kill(sim, i);
            sim_restart(sim, i);
        }
    }
    sim->delay_max_ms = fault == SLOW_LINKS ? 3000 : 4;
    sim->return_percent = fault == QUEUED_RETURNED ? 50 : 0;
    sim->return_max_ms = 6000;
    if (fault == HOLDER_DIES) {
        sim_kill(sim, sim->holder);
    }
}

static void
go_on(struct sim *sim, enum fault fault, const struct load *loads, int count)
{
    for (int i = 0; i < 8; i++) {
        if (fault == HOLDER_CHANGES_OFTEN) {
            sim_end_term(sim);
        }
        run_load(sim, loads, count, 250);
        if (sim->holder < 0 && (i >= 3 || fault == HOLDER_CHANGES_OFTEN)) {
            sim_begin_term(sim, 1 + i % 3);
        }
        run_load(sim, loads, count, 750);
    }
}

static void
test_worst(const void *data)
{
    const struct worst_case *test = data;
    static const struct load quiet[] = {
        {TEAM_LARGE, 30, 400, 1600, 0, 12},
        {TEAM_MIDDLE, 5, 400, 2000, 0, 12},
        {TEAM_SMALL, 1.2, 1100, 2400, 0, 12},
        {TEAM_TINY, 1.2, 1100, 2400, 0, 12},
    };
    static const struct load busy[] = {
        {TEAM_LARGE, 400, 400, 1600, 0, 12},
        {TEAM_MIDDLE, 80, 400, 2000, 0, 12},
        {TEAM_SMALL, 20, 1100, 2400, 0, 12},
        {TEAM_TINY, 20, 1100, 2400, 0, 12},
    };
    struct sim sim;

    g_test_message("seed 99");
    sim_init(&sim, 99, 12, teams, TEAMS);
    sim_begin_term(&sim, 0);
    run_load(&sim, quiet, G_N_ELEMENTS(quiet), 20000);
    begin_fault(&sim, test->fault);
    go_on(&sim, test->fault, busy, G_N_ELEMENTS(busy));
    for (int i = 0; i < sim.count; i++) {
        sim.instances[i].cut_in = false;
        sim.instances[i].cut_out = false;
        sim.instances[i].side = 0;
        if (sim.instances[i].frozen) {
            sim_thaw(&sim, i);
        }
    }
    go_on(&sim, 0, busy, G_N_ELEMENTS(busy));
    check_bounds(&sim);
    sim_clear(&sim);
}

/* Guards against a lowered quota that goes on as before: from one window after
 * all instances know it. */
static void
test_lowered(void)
{
    static const struct load load = {TEAM_LARGE, 300, 400, 1600, 0, 12};
    struct sim sim;

    g_test_message("seed 5");
    sim_init(&sim, 5, 12, teams, TEAMS);
    sim_begin_term(&sim, 0);
    run_load(&sim, &load, 1, 20000);
    sim.config.version = 2;
    sim.teams[TEAM_LARGE].rate_per_s = 2000;
    sim.teams[TEAM_LARGE].burst = 2000;
    for (int i = 0; i < sim.count; i++) {
        sim_apply_config(&sim, i);
    }
    run_load(&sim, &load, 1, WINDOW_MS);
    g_array_set_size(sim.results[TEAM_LARGE].served, 0);
    run_load(&sim, &load, 1, 30000);
    check_bounds(&sim);
    g_assert_cmpuint(sim.results[TEAM_LARGE].served->len, >, 40);
    sim_clear(&sim);
}

/* The other side: a team that keeps within its quota is not refused, wherever
 * its callers are. */
static const struct within_case {
    const char *name;
    int instances;
    double loss;
    struct load load;
    int unknown_max;
} within_cases[] = {
    {"evenly", 28, 0, {TEAM_LARGE, 33, 400, 1600, 0, 28}, 0},
    {"at-one-instance", 28, 0, {TEAM_LARGE, 33, 400, 1600, 27, 1}, 0},
    {"at-the-holder", 28, 0, {TEAM_LARGE, 33, 400, 1600, 0, 1}, 0},
    {"at-two-of-340", 340, 0, {TEAM_MIDDLE, 5.5, 400, 2000, 100, 2}, 0},
    {"small-team", 28, 0, {TEAM_SMALL, 1, 1100, 2400, 0, 28}, 0},
    {"small-team-at-one-instance",
     28,
     0,
     {TEAM_SMALL, 1.3, 1100, 2400, 5, 1},
     0},
    {"small-team-of-340", 340, 0, {TEAM_SMALL, 1.3, 1100, 2400, 0, 340}, 0},
    {"messages-lost", 28, 0.02, {TEAM_LARGE, 33, 400, 1600, 0, 28}, 0},
};

static void
test_within(const void *data)
{
    const struct within_case *test = data;
    struct sim sim;

    g_test_message("seed 17");
    sim_init(&sim, 17, test->instances, teams, TEAMS);
    sim.loss = test->loss;
    sim_begin_term(&sim, 0);
    run_load(&sim, NULL, 0, 6000);
    run_load(&sim, &test->load, 1, 60000);
    check_bounds(&sim);
    g_assert_cmpint(sim.results[test->load.team].refused, <=,
                    sim.results[test->load.team].ideal_refused);
    g_assert_cmpint(sim.results[test->load.team].unknown, <=,
                    test->unknown_max);
    sim_clear(&sim);
}

/* Guards against a team that loses its quota when its callers move to another
 * instance, or when idle instances count as silent. */
static void
test_moves(void)
{
    struct sim sim;
    struct load load = {TEAM_LARGE, 33, 400, 1600, 0, 1};

    g_test_message("seed 23");
    sim_init(&sim, 23, 28, teams, TEAMS);
    sim_begin_term(&sim, 0);
    run_load(&sim, NULL, 0, 6000);
    for (int i = 0; i < 20; i++) {
        load.first_instance = (load.first_instance + 9) % 28;
        run_load(&sim, &load, 1, 1500);
    }
    check_bounds(&sim);
    g_assert_cmpint(sim.results[TEAM_LARGE].refused, ==, 0);
    g_assert_cmpint(sim.results[TEAM_LARGE].unknown, ==, 0);
    sim_clear(&sim);
}

/* Guards against a team far over its quota that gets much less than it, or
 * takes room from another team. */
static void
test_over(void)
{
    static const struct load loads[] = {
        {TEAM_LARGE, 420, 400, 1600, 0, 28},
        {TEAM_SMALL, 1, 1100, 2400, 0, 28},
    };
    struct sim sim;
    double units = 0.0;

    g_test_message("seed 31");
    sim_init(&sim, 31, 28, teams, TEAMS);
    sim_begin_term(&sim, 0);
    run_load(&sim, NULL, 0, 6000);
    run_load(&sim, loads, G_N_ELEMENTS(loads), 40000);
    check_bounds(&sim);
    for (guint i = 0; i < sim.results[TEAM_LARGE].served->len; i++) {
        units += (double)g_array_index(sim.results[TEAM_LARGE].served,
                                       struct sim_served, i)
                     .units;
    }
    g_test_message("share of the quota: %.3f", units / (60000.0 * 40));
    g_assert_cmpfloat(units, >=, 0.9 * 60000 * 40);
    g_assert_cmpint(sim.results[TEAM_SMALL].refused, <=,
                    sim.results[TEAM_SMALL].ideal_refused);
    g_assert_cmpint(sim.results[TEAM_LARGE].unknown, ==, 0);
    g_assert_cmpint(sim.results[TEAM_SMALL].unknown, ==, 0);
    sim_clear(&sim);
}

/* Guards against a Retry-After at which a team has no room: a burst that is
 * three times what the bucket has, and callers that return as they are told.
 */
static const struct retry_case {
    const char *name;
    int team;
    int requests;
    int units;
    int instances;
} retry_cases[] = {
    {"small-at-one-instance", TEAM_SMALL, 15, 1700, 1},
    {"small-everywhere", TEAM_SMALL, 15, 1700, 28},
    {"large-everywhere", TEAM_LARGE, 200, 900, 28},
    {"large-at-one-instance", TEAM_LARGE, 200, 900, 1},
};

static void
test_retry_burst(const void *data)
{
    const struct retry_case *test = data;
    const struct sim_team *result;
    struct sim sim;

    g_test_message("seed 41");
    sim_init(&sim, 41, 28, teams, TEAMS);
    sim.callers_retry = true;
    sim_begin_term(&sim, 0);
    run_load(&sim, NULL, 0, 20000);
    for (int i = 0; i < test->requests; i++) {
        sim_request(&sim, i % test->instances, test->team, test->units);
    }
    run_load(&sim, NULL, 0, 20000);
    result = &sim.results[test->team];
    g_test_message("served=%u refused=%d unknown=%d attempts=%d most=%d",
                   result->served->len, result->refused, result->unknown,
                   sim.attempts, sim.attempts_max);
    g_assert_cmpint((int)result->served->len, ==, test->requests);
    g_assert_cmpint(sim.attempts_max, <=, 3);
    g_assert_cmpint(sim.attempts, <=, 2 * test->requests);
    sim_clear(&sim);
}

int
main(int argc, char **argv)
{
    const struct cases groups[] = {
        CASES("/quota/bucket", bucket_cases, test_bucket),
        CASES("/quota/room", room_cases, test_room),
        CASES("/quota/granter", granter_cases, test_granter),
        CASES("/quota/ahead", ahead_cases, test_ahead),
        CASES("/quota/spend", spend_cases, test_spend),
        CASES("/quota/newer-config", newer_cases, test_newer_config),
        CASES("/quota/fallback", fallback_cases, test_fallback),
        CASES("/quota/random", seed_cases, test_random),
        CASES("/quota/worst", worst_cases, test_worst),
        CASES("/quota/retry-burst", retry_cases, test_retry_burst),
        CASES("/quota/within", within_cases, test_within),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/quota/bucket-lowered", test_bucket_lowered);
    g_test_add_func("/quota/bucket-returned", test_bucket_returned_slowly);
    g_test_add_func("/quota/new-term", test_new_term);
    g_test_add_func("/quota/unlisted", test_unlisted);
    g_test_add_func("/quota/silent", test_silent);
    g_test_add_func("/quota/older-config", test_older_config);
    g_test_add_func("/quota/restarted", test_restarted);
    g_test_add_func("/quota/closed-team", test_closed_team);
    g_test_add_func("/quota/answer-to-earlier-start",
                    test_answer_to_earlier_start);
    g_test_add_func("/quota/ask-times", test_ask_times);
    g_test_add_func("/quota/credit-sum", test_credit_sum);
    g_test_add_func("/quota/retry", test_retry);
    g_test_add_func("/quota/ask-message", test_ask_message);
    g_test_add_func("/quota/grant-message", test_grant_message);
    g_test_add_func("/quota/term", test_term);
    g_test_add_func("/quota/duty", test_duty);
    g_test_add_func("/quota/duty-without-term", test_duty_without_term);
    g_test_add_func("/quota/lowered", test_lowered);
    g_test_add_func("/quota/moves", test_moves);
    g_test_add_func("/quota/over", test_over);
    return g_test_run();
}
