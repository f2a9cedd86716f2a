/*
 * Tests of the evidence against requests that crash targets, in virtual time
 * and without a network.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"
#include "cases.h"

enum {
    START_MS = 1000 * 1000,
    CONTACT_MS = 3000, /* the deployments' bound for what is learnt */
    MINUTE_MS = 60 * 1000,
};

/* Request "7" with the parts "fd" has the traits f, d, and 1007 as a whole. */
static void
parse_request(const char *text, struct trait_list *list)
{
    const char *parts = strchr(text, ':') + 1;

    memset(list, 0, sizeof(*list));
    list->request = (uint64_t)atoi(text);
    for (int i = 0; parts[i] != '\0'; i++) {
        trait_list_add(list, (uint64_t)parts[i], i);
    }
    trait_list_add(list, 1000 + list->request, WHOLE_REQUEST);
}

static void
append_trait(GString *text, const struct trait *trait)
{
    if (trait->depth == WHOLE_REQUEST) {
        g_string_append_printf(text, "#%d", (int)trait->key - 1000);
    }
    else {
        g_string_append_c(text, (char)trait->key);
    }
}

/* Traits that are blamed together are in brackets. */
static void
append_traits(GString *text, const struct trait_set *set)
{
    g_string_append(text, set->count > 1 ? "(" : "");
    for (int i = 0; i < set->count; i++) {
        append_trait(text, &set->traits[i]);
    }
    g_string_append(text, set->count > 1 ? ")" : "");
}

/* Returns the verdicts that are new, in order. */
static char *
judge(struct crash_watch *watch, int64_t now_ms)
{
    GString *found = g_string_new(NULL);
    struct judgement judgement;

    watch_judge(watch, &judgement, now_ms);
    for (int i = 0; i < judgement.begun.count; i++) {
        append_traits(found, &judgement.begun.found[i].traits);
    }
    return g_string_free(found, FALSE);
}

/* A start of a target in capitals ends under a request. */
static void
end_target(struct crash_watch *watch, char target, const char *request,
           int64_t now_ms)
{
    struct crash end = {.target = (uint64_t)target, .at_ms = now_ms};
    struct trait_list traits;

    parse_request(request, &traits);
    watch_ended(watch, &end, &traits, now_ms);
}

static void
give_up(struct crash_watch *watch, char target, const char *request,
        int64_t now_ms)
{
    struct crash end = {.target = (uint64_t)target, .at_ms = now_ms};
    struct trait_list traits;

    parse_request(request, &traits);
    watch_abandoned(watch, &end, &traits);
}

static void
crash_target(struct crash_watch *watch, char target, const char *requests,
             int64_t now_ms)
{
    char **list = g_strsplit(requests, ",", -1);

    for (int i = 0; list[i] != NULL; i++) {
        end_target(watch, target, list[i], now_ms);
    }
    watch_confirm(watch, (uint64_t)target, 0, now_ms);
    g_strfreev(list);
}

static void
survive(struct crash_watch *watch, const char *request, int64_t now_ms)
{
    struct trait_list traits;

    parse_request(request, &traits);
    watch_survived(watch, &traits, now_ms);
}

/*
 * Guards against a verdict that comes too late to save targets, and against
 * one on what sound requests have in common with those that crash targets.
 *
 * Steps: ms, then "A" and the requests that had not begun when target A
 * crashed, "a" when its connections ended without a crash, "-A" when the
 * instance gave up a request there, or "+" and a request that a target
 * survived. A request is its number, ":" and its parts.
 * Verdicts: parts, or "#" and the number of a request, in brackets those that
 * are blamed together; behind "/" the verdicts that are left at the end.
 */
struct blame_case {
    const char *name;
    const char *steps;
    const char *verdicts;
};

static const struct blame_case blame_cases[] = {
    {"one_crash", "0 A 1:fd", ""},
    {"two_requests", "0 A 1:fd|400 + 2:fx|500 B 3:fd", "d"},
    {"any_crash_counts_later", "0 A 1:fd|60000 + 2:fx|61000 B 3:fd", "d"},
    {"expired", "0 A 1:fd|130000 + 2:fx|131000 B 3:fd", ""},
    {"one_request_twice", "0 A 1:fd|400 + 2:fx|500 B 1:fd", ""},
    {"one_request_thrice", "0 A 1:fd|500 B 1:fd|900 + 2:fd|1000 C 1:fd", "#1"},
    {"one_request_then_others",
     "0 A 1:fd|500 B 1:fd|1000 C 1:fd|1400 + 2:f|"
     "1500 D 3:fd",
     "(#1df)d"},
    {"same_crash_again", "0 A 1:fd|500 A 1:fd|1000 A 1:fd", ""},
    {"same_crash_other_request", "0 A 1:fd|500 A 3:fd|900 A 5:fd", ""},
    {"power_loss", "0 A 1:fx|20 B 2:fx|60 C 3:fx|140 D 4:fx", ""},
    {"power_losses_with_answers",
     "0 A 1:fx|20 B 2:fx|400 + 9:fx|5000 C 3:fx|5020 D 4:fx", ""},
    {"connections_only", "0 a 1:fd|500 b 2:fd|1000 c 3:fd|1500 d 4:fd", ""},
    {"acquitted_between", "0 A 1:fd|100 + 2:fd|500 B 3:fd", ""},
    {"acquitted_each_time",
     "0 A 1:fd|100 + 2:fd|500 B 3:fd|600 + 2:fd|1000 C 4:fd|1100 + 2:fd|"
     "1500 D 5:fd|1600 + 2:fd|2000 E 6:fd",
     ""},
    {"acquitted_after_both", "0 A 1:f|40 B 2:f|60 + 3:f|500 C 4:f", ""},
    {"not_told_apart", "0 A 1:fgd|500 B 2:fgd|1000 C 3:fgd", "(dgf)"},
    {"shared_by_all_crashes", "0 A 1:fgd|500 B 2:fgd|1000 C 3:fg|1500 D 4:fg",
     "(dgf)(gf)/(gf)"},
    {"bystanders", "0 A 1:fd,2:fx|400 + 9:fy|500 B 3:fd,2:fx|1000 C 5:fd,2:fx",
     "d"},
    {"bystander_of_a_repeat",
     "0 A 1:fgd|300 + 9:f|400 B 1:fgd,2:fgx|900 C 3:fgd", "(#1dg)(dg)/(dg)"},
    {"two_causes", "0 A 1:fd|100 + 9:f|500 B 2:fe|1000 C 3:fd|1500 D 4:fe",
     "de"},
    {"whole_request_beside_others",
     "0 A 1:fx,2:fy|100 + 9:fxy|500 B 1:fx,3:fy|1000 C 1:fx,4:fy|1100 + 9:fxy",
     "#1"},
    {"sound_a_moment_before",
     "0 + 9:fx|100 A 1:fx|500 B 2:fx|1000 C 3:fx|1100 + 9:fx", ""},
    {"sound_before_it_changed",
     "0 + 9:d|100 A 1:d|500 B 2:d|1000 C 3:d|1500 D 4:d", "d"},
    {"no_parts", "0 A 1:|500 B 1:|1000 C 1:", "#1"},
    {"report_on_its_way", "0 A 1:fgd|300 + 9:f|400 B 3:fgx|430 B 5:fgd",
     "(dg)"},
    {"report_after_the_verdict", "0 A 1:fgd|300 + 9:f|400 B 3:fgx|600 B 5:fgd",
     "g(dg)/(dg)"},
    {"beside_a_repeated_request",
     "0 A 1:fg|300 + 9:f|400 B 1:fg,2:fg|900 C 1:fg", "(#1g)"},
    {"repeated_request_then_others",
     "0 A 1:fd|300 + 9:f|400 B 1:fd,2:fd|900 C 2:fd", "(#1d)d/d"},
    {"old_verdict_stays",
     "0 A 1:fg|300 + 9:f|400 B 3:fg|1000 + 9:f|121000 C 5:fgd", "g/g"},
    {"given_up_and_begun",
     "0 A 1:fd|200 + 9:f|300 B 2:fd|350 -C 3:fd|400 C 4:fx|700 -D 5:fd|"
     "800 D 6:fx",
     "d"},
    {"given_up_long_before",
     "0 -A 1:fd|3000 A 2:fx|3100 + 9:f|4000 -B 3:fd|7000 B 4:fy|7100 + 9:f",
     ""},
    {"both_are_deadly",
     "0 A 1:fg|300 + 9:f|400 B 3:fg|1000 C 5:fgd|1400 D 7:fd|1800 E 9:fd",
     "gd/gd"},
    {"sound_behind_bad",
     "0 + 9:fc|1000 + 9:fc|1500 A 1:fdc|1760 B 1:fdc|2020 C 3:fdc|2280 D 3:fdc",
     "d/d"},
    {"sound_before_bad",
     "0 + 9:fc|1000 + 9:fc|1500 A 1:fcd|1760 B 1:fcd|2020 C 3:fcd|2280 D 3:fcd",
     "d/d"},
    {"bad_first",
     "0 + 9:fc|1000 + 9:fc|1500 A 1:dfc|1760 B 1:dfc|2020 C 3:dfc|2280 D 3:dfc",
     "d/d"},
    {"answer_to_a_companion", "0 A 1:fdc|260 B 1:fdc|520 C 3:fdc|1500 + 9:fc",
     "(cdf)/d"},
    {"crash_of_a_companion",
     "0 A 1:fdc|260 B 1:fdc|520 C 3:fdc|1500 D 5:fc|1900 + 9:f",
     "(cdf)(cf)/c"},
    {"part_of_two_sessions",
     "0 A 1:fds|260 B 1:fds|520 C 3:fds|900 + 9:f|7000 D 5:fdt|7260 E 5:fdt",
     "(sdf)d/d"},
    {"session_was_sound_long_ago",
     "0 + 9:fs|14000 + 9:f|14500 A 1:fds|14760 B 1:fds|15020 C 3:fds", "d/d"},
    {"one_request_beside_others",
     "0 A 1:fd,2:fb|260 B 1:fd,3:fb|520 C 5:fd,4:fb|780 D 5:fd,6:fb",
     "(#1df)(df)/(df)"},
    {"many_requests_beside_one",
     "0 A 1:fd,2:fb,3:fb|260 B 1:fd,4:fb,5:fb|520 C 6:fd|600 + 9:fb",
     "(#1df)d/d"},
    {"bystander_at_fewer_crashes",
     "0 A 1:fd,2:fb|10 B 3:fd|70 C 5:fd,2:fb|280 D 5:fd,4:fb", "(df)"},
    {"beside_two_requests",
     "0 A 1:fd,2:fy|10 B 1:fd,4:fy|20 C 3:fd,2:fy|200 D 3:fd,4:fy|"
     "210 E 5:fd,2:fy,4:fy|250 + 9:f",
     "d/d"},
    {"other_requests_of_a_session", "0 A 7:fb,7:fd|300 + 9:f|500 B 3:fd",
     "d/d"},
    {"crashes_at_start", "0 A 1:f|200 B 2:f|600 + 3:f", "f/"},
    {"crashes_at_start_and_answers", "0 A 1:f|100 + 3:f|200 B 2:f|600 + 4:f",
     ""},
};

static void
play_step(struct crash_watch *watch, const char *text, GString *verdicts)
{
    char **fields = g_strsplit(text, " ", 3);
    int64_t now_ms = START_MS + atoi(fields[0]);
    char what = fields[1][0];
    char *found = judge(watch, now_ms);

    g_string_append(verdicts, found);
    g_free(found);
    if (what == '+') {
        survive(watch, fields[2], now_ms);
    }
    else if (what == '-') {
        give_up(watch, fields[1][1], fields[2], now_ms);
    }
    else if (g_ascii_isupper(what)) {
        crash_target(watch, what, fields[2], now_ms);
    }
    else {
        end_target(watch, what, fields[2], now_ms);
    }
    g_strfreev(fields);
}

static void
check_left(const struct crash_watch *watch, const char *left)
{
    GString *verdicts = g_string_new(NULL);

    for (int i = 0; i < watch->quarantine.count; i++) {
        append_traits(verdicts, &watch->quarantine.verdicts[i].traits);
    }
    g_assert_cmpstr(verdicts->str, ==, left);
    g_string_free(verdicts, TRUE);
}

static void
test_blame(gconstpointer data)
{
    const struct blame_case *c = data;
    struct crash_watch *watch = watch_new();
    GString *verdicts = g_string_new(NULL);
    char **steps = g_strsplit(c->steps, "|", -1);
    char **expected = g_strsplit(c->verdicts, "/", 2);
    int64_t end_ms = START_MS;
    char *last;

    for (int i = 0; steps[i] != NULL; i++) {
        play_step(watch, steps[i], verdicts);
        end_ms = START_MS + atoi(steps[i]) + 1000;
    }
    last = judge(watch, end_ms);
    g_string_append(verdicts, last);
    g_assert_cmpstr(verdicts->str, ==, expected[0] != NULL ? expected[0] : "");
    if (expected[0] != NULL && expected[1] != NULL) {
        check_left(watch, expected[1]);
    }
    g_strfreev(expected);
    g_free(last);
    g_strfreev(steps);
    g_string_free(verdicts, TRUE);
    watch_free(watch);
}

/*
 * Guards against a trait that is refused for ever, against several instances
 * or requests that try it out at once, and against callers of a sound part who
 * are refused for minutes on little evidence.
 *
 * Steps: seconds, then "?" for a request, "P" at the instance that may probe,
 * "x" for a crash under it, after which others with the part f are answered,
 * "+" for an answer to it. Expected: "." passes, "p"
 * probes, "r" is refused.
 */
enum verdict_kind { CERTAIN, FEW_CRASHES, NOTHING_ANSWERED, SOUND_BEFORE };

struct probe_case {
    const char *name;
    enum verdict_kind kind;
    const char *steps;
    const char *expected;
};

static const struct probe_case probe_cases[] = {
    {"refused", CERTAIN, "0 ?|1 P|119 P", "rrr"},
    {"one_probe_at_a_time", CERTAIN, "119 P|121 ?|121 P|122 P|123 ?", "rrprr"},
    {"lost_probe", CERTAIN, "121 P|140 P|152 P", "prp"},
    {"crashes_again", CERTAIN, "121 P|122 x|160 P|241 P|361 P|363 P", "prrrp"},
    {"in_flight_crash_is_no_probe", CERTAIN, "1 x|119 P|121 P", "rp"},
    {"answered", CERTAIN, "121 P|122 +|123 ?|124 P", "p.."},
    {"answered_elsewhere", CERTAIN, "5 +|6 ?", "."},
    {"doubtful", FEW_CRASHES, "4 P|5 ?|5 P|6 P|9 P|11 P", "rrprrp"},
    {"doubtful_answered", FEW_CRASHES, "5 P|7 +|8 ?", "p."},
    {"doubtful_crashes_again", FEW_CRASHES,
     "5 P|6 x|7 P|35 P|37 P|38 x|150 P|159 P", "prrprp"},
    {"nothing_answered", NOTHING_ANSWERED, "4 P|6 P", "rp"},
    {"sound_before", SOUND_BEFORE, "4 P|6 P", "rp"},
};

static char
decide(struct crash_watch *watch, bool may_probe, int64_t now_ms)
{
    struct trait_list traits;
    int64_t retry_ms = 0;

    parse_request("77:fd", &traits);
    switch (watch_decide(watch, &traits, may_probe, now_ms, &retry_ms)) {
    case QUARANTINE_PASS:
        return '.';
    case QUARANTINE_PROBE:
        return 'p';
    case QUARANTINE_REFUSE:
        break;
    }
    g_assert_cmpint(retry_ms, >, 0);
    return 'r';
}

static void
play_probe_step(struct crash_watch *watch, const char *text, GString *result)
{
    char **fields = g_strsplit(text, " ", 2);
    int64_t now_ms = START_MS + atoi(fields[0]) * 1000;

    switch (fields[1][0]) {
    case 'x':
        crash_target(watch, (char)('E' + atoi(fields[0]) % 20), "77:fd",
                     now_ms);
        survive(watch, "2:f", now_ms + 1);
        break;
    case '+':
        survive(watch, "77:fd", now_ms);
        break;
    default:
        g_string_append_c(result, decide(watch, fields[1][0] == 'P', now_ms));
    }
    g_strfreev(fields);
}

static struct crash_watch *
watch_with_verdict(enum verdict_kind kind)
{
    struct crash_watch *watch = watch_new();
    char *verdicts;

    if (kind == SOUND_BEFORE) {
        survive(watch, "9:d", START_MS - 2000);
        crash_target(watch, 'D', "7:fd", START_MS - 1300);
    }
    if (kind != FEW_CRASHES) {
        crash_target(watch, 'A', kind == NOTHING_ANSWERED ? "1:d" : "1:fd",
                     START_MS - 900);
    }
    crash_target(watch, 'B', kind == NOTHING_ANSWERED ? "3:d" : "3:fd",
                 START_MS - 500);
    crash_target(watch, 'C', kind == NOTHING_ANSWERED ? "5:d" : "5:fd",
                 START_MS - 100);
    survive(watch, "2:f", START_MS - 50);
    verdicts = judge(watch, START_MS);
    g_assert_cmpstr(verdicts, ==, "d");
    g_free(verdicts);
    return watch;
}

static void
test_probe(gconstpointer data)
{
    const struct probe_case *c = data;
    struct crash_watch *watch = watch_with_verdict(c->kind);
    GString *result = g_string_new(NULL);
    char **steps = g_strsplit(c->steps, "|", -1);

    for (int i = 0; steps[i] != NULL; i++) {
        play_probe_step(watch, steps[i], result);
    }
    g_assert_cmpstr(result->str, ==, c->expected);
    g_strfreev(steps);
    g_string_free(result, TRUE);
    watch_free(watch);
}

/* Guards against a probe whose crash could be by another part than the blamed
 * one: of another verdict, or a suspected one. */
static void
test_suspected_probe(void)
{
    struct crash_watch *watch = watch_with_verdict(FEW_CRASHES);
    struct trait_set other = {{{'e', 1}}, 1};
    int64_t now_ms = START_MS + MINUTE_MS;
    struct trait_list both;
    struct trait_list suspected;
    struct trait_list one;
    int64_t retry_ms;

    parse_request("8:fde", &both);
    parse_request("10:feg", &suspected);
    parse_request("9:fe", &one);
    crash_target(watch, 'Z', "11:g", START_MS);
    quarantine_begin(&watch->quarantine, &other, true, START_MS);
    g_assert_cmpint(watch_decide(watch, &both, true, now_ms, &retry_ms), ==,
                    QUARANTINE_REFUSE);
    g_assert_cmpint(watch_decide(watch, &suspected, true, now_ms, &retry_ms),
                    ==, QUARANTINE_REFUSE);
    g_assert_cmpint(watch_decide(watch, &one, true, now_ms, &retry_ms), ==,
                    QUARANTINE_PROBE);
    watch_free(watch);
}

/*
 * Guards against instances that don't learn a verdict: because messages were
 * lost, came twice or in another order, or because they have just started;
 * and against a verdict that stays at some after a target has survived.
 */
struct spread_case {
    const char *name;
    int instances;
    double loss;
    bool split; /* each crash is seen by another instance */
    bool starts_late;
    bool acquitted;
};

static const struct spread_case spread_cases[] = {
    {"two", 2, 0.0, false, false, false},
    {"two_lossy", 2, 0.4, true, false, false},
    {"five_see_one_each", 5, 0.0, true, false, false},
    {"five_lossy", 5, 0.4, true, false, false},
    {"five_one_starts_late", 5, 0.0, true, true, false},
    {"many", 60, 0.0, true, false, false},
    {"many_lossy", 60, 0.4, true, false, false},
    {"many_one_starts_late", 60, 0.2, true, true, false},
    {"five_acquitted", 5, 0.2, true, false, true},
    {"many_acquitted", 60, 0.2, true, false, true},
};

enum { SPREAD_MAX = 60, REPEATED_TO = 3, SEED = 20261205 };

struct group {
    struct crash_watch *watches[SPREAD_MAX];
    int count;
    double loss;
    GRand *random;
};

static void
deliver(struct group *group, int to, const struct crash_report *report,
        int64_t now_ms)
{
    char *verdicts;

    if (group->watches[to] == NULL ||
        g_rand_double(group->random) < group->loss) {
        return;
    }
    watch_apply(group->watches[to], report, now_ms);
    if (g_rand_double(group->random) < group->loss) {
        watch_apply(group->watches[to], report, now_ms);
    }
    verdicts = judge(group->watches[to], now_ms);
    g_free(verdicts);
}

static void
send_news(struct group *group, int from, int64_t now_ms)
{
    struct crash_watch *watch = group->watches[from];
    struct crash_report news = watch->news;
    char *verdicts = judge(watch, now_ms);

    g_free(verdicts);
    news = watch->news;
    crash_report_init(&watch->news);
    for (int i = 0; i < group->count; i++) {
        if (i != from) {
            deliver(group, i, &news, now_ms);
        }
    }
    crash_report_clear(&news);
}

static void
send_repeats(struct group *group, int64_t now_ms)
{
    for (int i = 0; i < group->count; i++) {
        struct crash_report report;

        if (group->watches[i] == NULL) {
            continue;
        }
        crash_report_init(&report);
        if (watch_repeat(group->watches[i], &report, now_ms)) {
            int first = g_rand_int_range(group->random, 0, group->count);

            for (int j = 0; j < REPEATED_TO; j++) {
                int to = (first + j) % group->count;

                deliver(group, to == i ? (to + 1) % group->count : to, &report,
                        now_ms);
            }
        }
        crash_report_clear(&report);
        send_news(group, i, now_ms);
    }
}

static int
verdict_count(const struct group *group, uint64_t key)
{
    int count = 0;

    for (int i = 0; i < group->count; i++) {
        count += group->watches[i] != NULL &&
                 quarantine_names(&group->watches[i]->quarantine, key);
    }
    return count;
}

/* Three crashes by one part, each at another target. */
static void
crash_targets(struct group *group, bool split, int64_t now_ms)
{
    static const char *const requests[] = {"1:fd", "2:fd", "3:fd"};

    for (int i = 0; i < 3; i++) {
        int at = split ? i % group->count : 0;

        crash_target(group->watches[at], (char)('A' + i), requests[i],
                     now_ms + i * 400);
        send_news(group, at, now_ms + i * 400);
        survive(group->watches[at], "9:fx", now_ms + i * 400 + 100);
        send_news(group, at, now_ms + i * 400 + 100);
    }
}

static void
test_spread(gconstpointer data)
{
    const struct spread_case *c = data;
    struct group group = {.count = c->instances, .loss = c->loss};
    int64_t now_ms = START_MS;
    int last = c->instances - 1;

    group.random = g_rand_new_with_seed(SEED);
    for (int i = 0; i < c->instances - (c->starts_late ? 1 : 0); i++) {
        group.watches[i] = watch_new();
    }
    crash_targets(&group, c->split, now_ms);
    now_ms += 1000;
    if (c->starts_late) {
        now_ms += MINUTE_MS;
        group.watches[last] = watch_new();
    }
    for (int passed_ms = 0; passed_ms < CONTACT_MS; passed_ms += 100) {
        send_repeats(&group, now_ms += 100);
    }
    g_assert_cmpint(verdict_count(&group, 'd'), ==, c->instances);
    g_assert_cmpint(verdict_count(&group, 'f'), ==, 0);
    if (c->acquitted) {
        survive(group.watches[last], "8:fd", now_ms += 100);
        send_news(&group, last, now_ms);
        for (int passed_ms = 0; passed_ms < CONTACT_MS; passed_ms += 100) {
            send_repeats(&group, now_ms += 100);
        }
        g_assert_cmpint(verdict_count(&group, 'd'), ==, 0);
    }
    for (int i = 0; i < group.count; i++) {
        watch_free(group.watches[i]);
    }
    g_rand_free(group.random);
}

/*
 * Guards against an instance that has just started, and so has seen no answer
 * to a common part, and makes the others refuse it.
 */
struct foreign_case {
    const char *name;
    int sound_s; /* before the other instance's verdict; below 0: after it */
    bool taken;
    bool answered; /* with an acquittal */
};

static const struct foreign_case foreign_cases[] = {
    {"never_sound", 1000, true, false},
    {"sound_long_before", 60, true, false},
    {"sound_a_moment_before", 1, false, false},
    {"sound_after", -1, false, true},
};

static void
test_foreign(gconstpointer data)
{
    const struct foreign_case *c = data;
    struct crash_watch *watch = watch_new();
    struct crash_report report;
    int64_t verdict_ms = START_MS - 2000;
    struct trait_verdict verdict = {
        .traits = {{{'f', 0}}, 1},
        .since_ms = verdict_ms,
        .probe_ms = START_MS + MINUTE_MS,
        .seen_ms = START_MS,
    };

    if (c->sound_s < 1000) {
        survive(watch, "1:f", verdict_ms - c->sound_s * 1000);
    }
    crash_report_init(&report);
    g_array_append_val(report.verdicts, verdict);
    g_assert_cmpint(watch_apply(watch, &report, START_MS), ==, c->taken);
    g_assert_cmpint(quarantine_names(&watch->quarantine, 'f'), ==, c->taken);
    g_assert_cmpuint(watch->news.sound->len, ==, c->answered ? 1 : 0);
    crash_report_clear(&report);
    watch_free(watch);
}

/* Guards against a caller that makes instances forget what crashes targets, or
 * use more and more memory, by many parts of its own choice. */
static void
test_bounds(void)
{
    struct crash_watch *watch = watch_with_verdict(CERTAIN);
    int64_t now_ms = START_MS;
    uint64_t last_key = 100000 + 10 * SOUND_GENERATION_MAX;
    struct trait_list traits;

    for (uint64_t key = 100000; key <= last_key; key++) {
        memset(&traits, 0, sizeof(traits));
        trait_list_add(&traits, 'f', 0);
        trait_list_add(&traits, key, 1);
        watch_survived(watch, &traits, ++now_ms);
    }
    g_assert_cmpint(sound_at_ms(&watch->sound, 'f'), ==, now_ms);
    g_assert_cmpint(sound_at_ms(&watch->sound, last_key - 100), !=, 0);
    g_assert_cmpuint(g_hash_table_size(watch->sound.recent), <=,
                     SOUND_GENERATION_MAX);
    for (int i = 0; i < 1000; i++) {
        struct crash end = {.target = 'Y', .at_ms = ++now_ms};

        memset(&traits, 0, sizeof(traits));
        traits.request = 5000 + (uint64_t)i;
        trait_list_add(&traits, 200000 + (uint64_t)i, 0);
        watch_ended(watch, &end, &traits, now_ms);
    }
    watch_confirm(watch, 'Y', 0, now_ms);
    for (int i = 0; i < 1000; i++) {
        struct trait_verdict verdict = {
            .traits = {{{300000 + (uint64_t)i, 0}}, 1},
            .since_ms = now_ms,
            .probe_ms = now_ms + MINUTE_MS,
            .seen_ms = now_ms,
        };

        decide(watch, false, ++now_ms);
        quarantine_add(&watch->quarantine, &verdict);
    }
    g_assert_cmpint(watch->quarantine.count, ==, VERDICTS_MAX);
    g_assert_true(quarantine_names(&watch->quarantine, 'd'));
    watch_free(watch);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/blame/verdict", blame_cases, test_blame),
        CASES("/blame/probe", probe_cases, test_probe),
        CASES("/blame/spread", spread_cases, test_spread),
        CASES("/blame/foreign", foreign_cases, test_foreign),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/blame/bounds", test_bounds);
    g_test_add_func("/blame/suspected_probe", test_suspected_probe);
    return g_test_run();
}
