/*
 * Plays requests of which one part crashes targets against the decisions on
 * crashes, in virtual time and without a network: instances, targets, retries,
 * reports and callers, and counts what callers and targets see.
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
    STEP_MS = 10,
    START_MS = 1000 * 1000,
    CONTACT_MS = 3000, /* the deployments' bounds */
    DEADLY_AFTER_MAX = 3,
    SOUND_COUNT_MIN = 20,
    INSTANCES = 4,
    TARGETS = 10,
    RUNS_MAX = 1024,
    PREFILL_MS = 260,
    STREAM_EVENTS = 20,
    DEADLY_STREAM_EVENTS = 6,
    RESTART_MS = 3000,
    PLAY_MS = 60 * 1000,
    ENDS_MAX = 4,
};

/*
 * Guards against callers of sound parts who are refused for what another part
 * does (LOST), and against requests that go on to crash targets (BUDGET).
 *
 * A prompt lists its shared parts; "%" is a part of its own for each two
 * requests in a row, as of a session. A target crashes under a prompt with
 * "d". Sound requests come from the start, deadly ones from @warm_ms on: two,
 * 520 ms apart, and then one each @deadly_ms. The target sends some events
 * before it crashes; the next one may then have less than that to send.
 */
struct play_case {
    const char *name;
    const char *deadly; /* NULL for none */
    const char *sound;
    int sound_ms; /* between two of them */
    int deadly_ms;
    int warm_ms;
    bool same_own_part;    /* of the deadly requests */
    int deadly_events;     /* that a target sends before it crashes */
    int ends_ms[ENDS_MAX]; /* a target with a new sound run ends by itself */
    int attempts_max;
    int event_ms; /* between two events of a stream */
};

static const struct play_case play_cases[] = {
    {"bad_first", "dac", "ac", 1500, 3000, 33000, false, 0, {0}, 2, 100},
    {"bad_between", "adc", "ac", 1500, 3000, 33000, false, 0, {0}, 2, 100},
    {"bad_behind", "acd", "ac", 1500, 3000, 33000, false, 0, {0}, 2, 100},
    {"bad_alone", "d", "ac", 1500, 3000, 33000, false, 0, {0}, 2, 100},
    {"bad_in_short", "ad", "ac", 1500, 3000, 33000, false, 0, {0}, 2, 100},
    {"bad_between_many",
     "abdce",
     "abce",
     1500,
     3000,
     33000,
     false,
     0,
     {0},
     2,
     100},
    {"bad_first_young", "dac", "ac", 1500, 3000, 0, false, 0, {0}, 2, 100},
    {"bad_between_young", "adc", "ac", 1500, 3000, 0, false, 0, {0}, 2, 100},
    {"bad_behind_young", "acd", "ac", 1500, 3000, 0, false, 0, {0}, 2, 100},
    {"bad_between_many_young",
     "abdce",
     "abce",
     1500,
     3000,
     0,
     false,
     0,
     {0},
     2,
     100},
    {"sound_is_shorter", "adc", "a", 1500, 3000, 33000, false, 0, {0}, 2, 100},
    {"sound_is_shorter_young",
     "adc",
     "a",
     1500,
     3000,
     0,
     false,
     0,
     {0},
     2,
     100},
    {"sound_is_rare", "adc", "ac", 1900, 400, 20000, false, 0, {0}, 2, 100},
    {"sound_is_rare_young", "adc", "ac", 1900, 400, 0, false, 0, {0}, 2, 100},
    {"busy", "adc", "ac", 50, 300, 10000, false, 0, {0}, 2, 100},
    {"busy_young", "adc", "ac", 50, 300, 0, false, 0, {0}, 2, 100},
    {"busy_other_parts_young", "ad", "ab", 50, 700, 0, false, 0, {0}, 2, 100},
    {"sessions", "ad%", "ab", 700, 1500, 20000, false, 0, {0}, 2, 100},
    {"sessions_young", "ad%", "ab", 700, 1500, 0, false, 0, {0}, 2, 100},
    {"sessions_before", "a%d", "ab", 700, 1500, 20000, false, 0, {0}, 2, 100},
    {"sessions_alone_young", "%d", "ab", 1500, 1500, 0, false, 0, {0}, 2, 100},
    {"sessions_seldom", "ad%", "ab", 1200, 7000, 20000, false, 0, {0}, 2, 100},
    {"one_session", "adc", "ac", 1500, 3000, 33000, true, 0, {0}, 2, 100},
    {"one_session_young", "adc", "ac", 1500, 3000, 0, true, 0, {0}, 2, 100},
    {"first_event", "ad", "ab", 500, 3000, 0, false, 1, {0}, 2, 100},
    {"first_event_warm", "ad", "ab", 500, 3000, 33000, false, 1, {0}, 2, 100},
    {"first_event_sessions", "ad%", "ab", 700, 1500, 0, false, 1, {0}, 2, 100},
    {"second_event", "adc", "ac", 1500, 3000, 33000, false, 2, {0}, 2, 100},
    {"second_event_young", "adc", "ac", 1500, 3000, 0, false, 2, {0}, 2, 100},
    {"third_event_busy", "adc", "ac", 50, 700, 10000, false, 3, {0}, 2, 100},
    {"third_event_busy_young", "adc", "ac", 50, 700, 0, false, 3, {0}, 2, 100},
    {"fifth_event", "adc", "ac", 900, 3000, 20000, false, 5, {0}, 2, 100},
    {"fifth_event_slow", "adc", "ac", 900, 3000, 20000, false, 5, {0}, 2, 250},
    {"ends_young", NULL, "a", 900, 0, 0, false, 0, {1000, 1400}, 2, 100},
    {"ends_thrice_young",
     NULL,
     "a",
     900,
     0,
     0,
     false,
     0,
     {1000, 1400, 2000},
     2,
     100},
    {"ends_busy_young",
     NULL,
     "a",
     100,
     0,
     0,
     false,
     0,
     {300, 600, 900, 1200},
     2,
     100},
    {"ends_later",
     NULL,
     "a",
     900,
     0,
     0,
     false,
     0,
     {30000, 31000, 32000, 33000},
     2,
     100},
    {"ends_beside", "adc", "ac", 900, 3000, 0, false, 0, {1000, 1300}, 2, 100},
    {"ends_beside_once",
     "adc",
     "ac",
     900,
     3000,
     0,
     false,
     0,
     {1000, 1300},
     1,
     100},
    {"ends_once_young",
     NULL,
     "a",
     900,
     0,
     0,
     false,
     0,
     {1000, 1400, 2000},
     1,
     100},
    {"sent_once", "adc", "ac", 1500, 3000, 0, false, 1, {0}, 1, 100},
};

struct request {
    struct trait_list traits;
    bool deadly;
    bool begun;
    bool refused;
    bool probing;
    int64_t sent_ms;
    int attempts;
    int events; /* that its caller has */
};

struct run {
    bool used;
    int request;
    int instance;
    int target;
    int64_t sent_ms;
    int64_t began_ms;
    bool resumed;
    bool survived;
    int events;
};

struct play {
    const struct play_case *c;
    struct crash_watch *watches[INSTANCES];
    int64_t back_ms[TARGETS]; /* above the present: it is down */
    int starts[TARGETS];
    struct run runs[RUNS_MAX];
    GArray *requests; /* struct request */
    GArray *crashes;  /* int64_t; when deadly requests crashed targets */
    int deadly_after;
    GRand *random;
    int64_t now_ms;
};

static struct request *
request_of(const struct play *play, const struct run *run)
{
    return &g_array_index(play->requests, struct request, run->request);
}

static void
tell_others(struct play *play, int from)
{
    struct crash_report news = play->watches[from]->news;

    if (crash_report_is_empty(&news)) {
        return;
    }
    crash_report_init(&play->watches[from]->news);
    for (int i = 0; i < INSTANCES; i++) {
        if (i != from) {
            watch_apply(play->watches[i], &news, play->now_ms);
        }
    }
    crash_report_clear(&news);
}

static void
judge_all(struct play *play)
{
    struct judgement judgement;

    for (int i = 0; i < INSTANCES; i++) {
        watch_judge(play->watches[i], &judgement, play->now_ms);
        tell_others(play, i);
    }
}

static bool
may_probe(const struct play *play, const struct trait_list *traits,
          int instance)
{
    const struct trait_verdict *verdict =
        quarantine_match(&play->watches[instance]->quarantine, traits, NULL);

    return verdict != NULL &&
           instance < quarantine_probers(verdict, play->now_ms);
}

/* Whether the request may go to a target, as the relay decides. */
static bool
is_let_through(struct play *play, struct request *request, int instance)
{
    int64_t retry_ms;

    switch (watch_decide(play->watches[instance], &request->traits,
                         may_probe(play, &request->traits, instance),
                         play->now_ms, &retry_ms)) {
    case QUARANTINE_PASS:
        return true;
    case QUARANTINE_PROBE:
        request->probing = true;
        return request->attempts == 0;
    case QUARANTINE_REFUSE:
        break;
    }
    return false;
}

static int
choose_target(struct play *play)
{
    int first = g_rand_int_range(play->random, 0, TARGETS);

    for (int i = 0; i < TARGETS; i++) {
        if (play->back_ms[(first + i) % TARGETS] <= play->now_ms) {
            return (first + i) % TARGETS;
        }
    }
    return -1;
}

static int64_t
fifth_crash_ms(const struct play *play)
{
    return play->crashes->len < 5 ? INT64_MAX / 2
                                  : g_array_index(play->crashes, int64_t, 4);
}

static void
send_run(struct play *play, int index, int instance)
{
    struct request *request =
        &g_array_index(play->requests, struct request, index);
    int target = choose_target(play);
    int place = 0;

    if (request->attempts == play->c->attempts_max || target < 0 ||
        !is_let_through(play, request, instance)) {
        request->refused = request->attempts == 0;
        return;
    }
    while (play->runs[place].used) {
        place++;
        g_assert_cmpint(place, <, RUNS_MAX);
    }
    play->runs[place] = (struct run){.used = true,
                                     .request = index,
                                     .instance = instance,
                                     .target = target,
                                     .sent_ms = play->now_ms,
                                     .resumed = request->events > 0};
    request->attempts++;
    if (request->deadly &&
        request->sent_ms > fifth_crash_ms(play) + CONTACT_MS) {
        play->deadly_after++;
    }
}

static void
end_runs(struct play *play, int target, int *ended, int *count)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        struct run *run = &play->runs[i];
        struct crash end = {
            .target = (uint64_t)target,
            .started_ms = play->starts[target],
            .at_ms = play->now_ms,
        };

        if (!run->used || run->target != target) {
            continue;
        }
        if (run_is_new(run->began_ms, run->events, play->now_ms)) {
            watch_ended(play->watches[run->instance], &end,
                        &request_of(play, run)->traits, play->now_ms);
        }
        ended[(*count)++] = i;
    }
}

/* All connections end, new ones are refused, and the runs are sent again. */
static void
crash_target(struct play *play, int target)
{
    int ended[RUNS_MAX];
    int count = 0;

    end_runs(play, target, ended, &count);
    play->back_ms[target] = play->now_ms + RESTART_MS;
    for (int i = 0; i < INSTANCES; i++) {
        watch_confirm(play->watches[i], (uint64_t)target, play->starts[target],
                      play->now_ms);
        tell_others(play, i);
    }
    play->starts[target]++;
    for (int i = 0; i < count; i++) {
        struct run run = play->runs[ended[i]];

        play->runs[ended[i]].used = false;
        send_run(play, run.request, run.instance);
    }
}

static void
go_on(struct play *play, struct run *run)
{
    const struct request *request = request_of(play, run);
    bool complete = request->events ==
                    (request->deadly ? DEADLY_STREAM_EVENTS : STREAM_EVENTS);

    run->used = !complete;
    if (run->survived ||
        !run_has_survived(run->began_ms, run->events,
                          complete && !run->resumed, play->now_ms)) {
        return;
    }
    run->survived = true;
    watch_survived(play->watches[run->instance], &request->traits,
                   play->now_ms);
    tell_others(play, run->instance);
}

static void
write_event(struct play *play, struct run *run)
{
    struct request *request = request_of(play, run);

    if (request->deadly && run->events == play->c->deadly_events) {
        g_array_append_val(play->crashes, play->now_ms);
        crash_target(play, run->target);
        return;
    }
    request->begun |= request->attempts == 1;
    run->began_ms = run->events++ == 0 ? play->now_ms : run->began_ms;
    request->events++;
    go_on(play, run);
}

static void
work(struct play *play)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        struct run *run = &play->runs[i];

        if (run->used && play->now_ms >= run->sent_ms + PREFILL_MS +
                                             run->events * play->c->event_ms) {
            write_event(play, run);
        }
    }
}

static void
parse_prompt(const struct play *play, const char *prompt, bool deadly,
             struct trait_list *list)
{
    uint64_t number = play->requests->len + 1;

    memset(list, 0, sizeof(*list));
    list->request = deadly && play->c->same_own_part ? 7 : 100000 + number;
    for (int i = 0; prompt[i] != '\0'; i++) {
        trait_list_add(
            list, prompt[i] == '%' ? 200000 + number / 2 : (uint64_t)prompt[i],
            i);
    }
    trait_list_add(list, 300000 + list->request, OWN_PART);
    trait_list_add(list, 400000 + number, WHOLE_REQUEST);
}

static void
arrive(struct play *play, const char *prompt, bool deadly)
{
    struct request request = {.deadly = deadly, .sent_ms = play->now_ms};

    parse_prompt(play, prompt, deadly, &request.traits);
    g_array_append_val(play->requests, request);
    send_run(play, (int)play->requests->len - 1,
             (int)(play->requests->len % INSTANCES));
}

static bool
is_deadly_due(const struct play_case *c, int64_t passed_ms)
{
    int64_t since_ms = passed_ms - c->warm_ms - 300;

    return c->deadly != NULL && since_ms >= 0 &&
           (since_ms == 520 || since_ms % c->deadly_ms == 0);
}

/* A target at which a request has not begun. */
static void
end_a_target(struct play *play)
{
    for (int i = 0; i < RUNS_MAX; i++) {
        const struct run *run = &play->runs[i];

        if (run->used && run->events == 0 && !request_of(play, run)->deadly) {
            crash_target(play, run->target);
            return;
        }
    }
}

static void
step(struct play *play, int64_t passed_ms)
{
    const struct play_case *c = play->c;

    work(play);
    if (passed_ms % c->sound_ms == 0) {
        arrive(play, c->sound, false);
    }
    if (is_deadly_due(c, passed_ms)) {
        arrive(play, c->deadly, true);
    }
    for (int i = 0; i < ENDS_MAX; i++) {
        if (c->ends_ms[i] != 0 && c->ends_ms[i] == passed_ms) {
            end_a_target(play);
        }
    }
    judge_all(play);
}

/* Sound requests from a time on: all, and those that began at their first
 * attempt. */
static void
count_sound(const struct play *play, int64_t from_ms, int *all, int *begun)
{
    *all = 0;
    *begun = 0;
    for (guint i = 0; i < play->requests->len; i++) {
        const struct request *request =
            &g_array_index(play->requests, struct request, i);

        if (!request->deadly && request->sent_ms >= from_ms &&
            request->sent_ms < play->now_ms - 1000) {
            (*all)++;
            *begun += request->begun ? 1 : 0;
        }
    }
}

static int64_t
last_counted_ms(const struct play *play)
{
    guint count = MIN(play->crashes->len, 5);

    if (count == 0) {
        return START_MS + play->c->ends_ms[0];
    }
    return g_array_index(play->crashes, int64_t, count - 1);
}

static void
play_init(struct play *play, const struct play_case *c)
{
    play->c = c;
    play->requests = g_array_new(FALSE, FALSE, sizeof(struct request));
    play->crashes = g_array_new(FALSE, FALSE, sizeof(int64_t));
    play->random = g_rand_new_with_seed(20261207);
    for (int i = 0; i < INSTANCES; i++) {
        play->watches[i] = watch_new();
    }
}

static void
play_clear(struct play *play)
{
    for (int i = 0; i < INSTANCES; i++) {
        watch_free(play->watches[i]);
    }
    g_array_free(play->requests, TRUE);
    g_array_free(play->crashes, TRUE);
    g_rand_free(play->random);
    g_free(play);
}

static void
test_play(gconstpointer data)
{
    struct play *play = g_new0(struct play, 1);
    int64_t end_ms;
    int all;
    int begun;

    play_init(play, data);
    end_ms = START_MS + play->c->warm_ms + PLAY_MS;
    for (play->now_ms = START_MS; play->now_ms < end_ms;
         play->now_ms += STEP_MS) {
        step(play, play->now_ms - START_MS);
    }
    count_sound(play, last_counted_ms(play) + 2 * CONTACT_MS, &all, &begun);
    g_test_message("%u crashes, %d deadly requests later, %d of %d begun",
                   play->crashes->len, play->deadly_after, begun, all);
    g_assert_cmpint(all, >=, SOUND_COUNT_MIN);
    g_assert_cmpint(begun * 2, >=, all);
    g_assert_cmpint(play->deadly_after, <=, DEADLY_AFTER_MAX);
    play_clear(play);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/blame_play", play_cases, test_play),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
