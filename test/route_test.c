/* Tests of routing: admission, queues, picks, retries, claims, strikes.
 *
 * A case is a script of what the route duty is told, at times that the script
 * sets, and the trace of what it must do. Commands:
 *   +MS                            advance the time
 *   stale MS                       age of the tree, above 4000 is stale
 *   spend N                        spend N retries of the budget
 *   report T DC STATE INC [LEAF..] report of a target
 *   load T N                       requests running at T in its next report
 *   call N LEAF KIND [PRIO [MS]]   KIND: once (may not be repeated), idem,
 *                                  sse (a stream); deadline after MS
 *   same N M                       call N has the fingerprint of call M
 *   close N                        the caller of N goes away
 *   result N KIND [EVENTS]         the newest attempt of call N ended
 *   verdict N KIND                 verdict on the claim of call N
 *   place LEAF T KIND              answer to a want
 *   strike N T INC                 another instance struck the call's request
 *   full                           the forward duty is full from now on
 *   room                           and has room again
 *   stop                           the duty stops
 * A want that repeats the one before is not traced again.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"
#include "turmericd/serve/route/fns.h"
#include "turmericd/serve/route/core.h"
#include "serve.h"
#include "cases.h"

enum { CALLS_MAX = 400, START_MS = 1000000, WORDS_MAX = 8, SEED = 20261204 };

/* As many as the forward duty has workers at most. */
enum { RESULTS_AT_ONCE = 256 };

static const char tree_text[] =
    "/s type \"service\"; /s inflight_max 2; /s wait_max_ms 5000; "
    "/s/a type \"model\"; /s/b type \"model\"; /s/q type \"model\"; "
    "/s/q queue_max 2; /s/off type \"model\"; /s/off enabled false; "
    "/s/w type \"model\"; /s/w inflight_max 200; /s/w queue_max 500; "
    "/s/r type \"model\"; /s/r attempts_max 9; "
    "/p type \"service\"; /p kind \"plain\"";

struct scene {
    struct route_port port;
    struct calls *calls;
    struct core *core;
    struct tree *tree;
    int64_t now_ms;
    int64_t age_ms;
    bool full;
    GString *trace;
    struct handle call[CALLS_MAX];
    bool open[CALLS_MAX];
    uint64_t fingerprint[CALLS_MAX];
    struct attempt attempt[CALLS_MAX];
    struct claim_request claim[CALLS_MAX];
    uint32_t running;
    int uses;
};

static void trace(struct scene *scene, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
trace(struct scene *scene, const char *format, ...)
{
    va_list arguments;

    if (scene->trace->len > 0) {
        g_string_append_c(scene->trace, ' ');
    }
    va_start(arguments, format);
    g_string_append_vprintf(scene->trace, format, arguments);
    va_end(arguments);
}

static int
number_of(const struct scene *scene, struct handle call)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        if (scene->call[i].generation != 0 &&
            scene->call[i].index == call.index &&
            scene->call[i].generation == call.generation) {
            return i;
        }
    }
    return -1;
}

/* Targets have names of one letter and a digit, so the id shows the name. */
static uint64_t
target_id(const char *name)
{
    return (uint64_t)name[0] << 8 | (uint64_t)name[1];
}

static bool
on_attempt(struct route_port *port, const struct attempt *attempt,
           struct err *err)
{
    struct scene *scene = (struct scene *)port;
    int number = number_of(scene, attempt->call);

    if (scene->full) {
        return err_set(err, ERR_RING_FULL, "all workers are busy");
    }
    scene->attempt[number] = *attempt;
    trace(scene, "send(%d,%c%c", number, (char)(attempt->target >> 8),
          (char)attempt->target);
    if (attempt->resume_from > 0) {
        trace(scene, "%s:%u", attempt->resume_here ? "here" : "elsewhere",
              attempt->resume_from);
    }
    g_string_append_c(scene->trace, ')');
    return true;
}

static bool
on_want(struct route_port *port, const struct want *want, struct err *err)
{
    struct scene *scene = (struct scene *)port;
    char *text = g_strdup_printf("want(%s,%d,%d)", want->path, want->priority,
                                 want->waiting);

    (void)err;
    if (!g_str_has_suffix(scene->trace->str, text)) {
        trace(scene, "%s", text);
    }
    g_free(text);
    return true;
}

static void
on_use(struct route_port *port, uint64_t leaf)
{
    (void)leaf;
    ((struct scene *)port)->uses++;
}

static bool
on_claim(struct route_port *port, const struct claim_request *request,
         struct err *err)
{
    struct scene *scene = (struct scene *)port;
    int number = number_of(scene, request->call);

    (void)err;
    scene->claim[number] = *request;
    trace(scene, "claim(%d)", number);
    return true;
}

static void
on_release(struct route_port *port, const struct claim_request *request)
{
    struct scene *scene = (struct scene *)port;
    int number = number_of(scene, request->call);

    g_assert_cmpuint(request->token, ==, scene->claim[number].token);
    trace(scene, "release(%d)", number);
}

static void
on_strike(struct route_port *port, uint64_t fingerprint, uint64_t target,
          uint64_t incarnation)
{
    (void)fingerprint;
    trace((struct scene *)port, "strike(%c%c,%d)", (char)(target >> 8),
          (char)target, (int)incarnation);
}

static struct tree *
on_tree(struct route_port *port)
{
    return tree_ref(((struct scene *)port)->tree);
}

static void
on_state(struct route_port *port, struct config_state *state)
{
    struct scene *scene = (struct scene *)port;

    state->ready = true;
    state->age_ms = scene->age_ms;
    state->stale = scene->age_ms > 4000;
}

static const struct route_port_ops ops = {
    .attempt = on_attempt,
    .want = on_want,
    .use = on_use,
    .claim = on_claim,
    .release = on_release,
    .strike = on_strike,
    .tree = on_tree,
    .state = on_state,
};

static int
index_of(const char *const *names, int count, const char *name)
{
    for (int i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return i;
        }
    }
    g_error("unknown word %s", name);
}

static uint64_t
leaf_id(const char *name)
{
    char *path = g_strdup_printf("/s/%s", name);
    uint64_t id = hash_text(path);

    g_free(path);
    return id;
}

static void
do_report(struct scene *scene, char **words, int count)
{
    static const char *const states[] = {"live", "leaving", "down", "gone"};
    struct target_report report = {.id = target_id(words[1])};

    g_strlcpy(report.data_centre, words[2], sizeof(report.data_centre));
    report.state = (enum target_state)index_of(states, 4, words[3]);
    report.incarnation = strtoull(words[4], NULL, 10);
    report.running = scene->running;
    g_strlcpy(report.service, "s", sizeof(report.service));
    for (int i = 5; i < count; i++) {
        if (strcmp(words[i], "p") == 0) {
            report.kind = TARGET_PLAIN;
            g_strlcpy(report.service, "p", sizeof(report.service));
        }
        else {
            report.loaded[report.loaded_count++] = leaf_id(words[i]);
        }
    }
    scene->running = 0;
    core_report(scene->core, &report, scene->now_ms);
}

static void
do_call(struct scene *scene, char **words, int count)
{
    int number = atoi(words[1]);
    struct call_request request = {.priority = 5};

    request.idempotent = strcmp(words[3], "once") != 0;
    request.stream = strcmp(words[3], "sse") == 0;
    if (strcmp(words[2], "p") == 0) {
        g_strlcpy(request.service, "p", sizeof(request.service));
    }
    else {
        request.leaf = leaf_id(words[2]);
        g_strlcpy(request.service, "s", sizeof(request.service));
    }
    if (count > 4) {
        request.priority = atoi(words[4]);
    }
    request.deadline_ms = scene->now_ms + (count > 5 ? atoi(words[5]) : 5000);
    request.fingerprint = scene->fingerprint[number] != 0
                              ? scene->fingerprint[number]
                              : (uint64_t)number + 1;
    scene->fingerprint[number] = request.fingerprint;
    g_assert_true(
        call_open(scene->calls, &request, &scene->call[number], NULL));
    scene->open[number] = true;
    core_call(scene->core, scene->call[number], scene->now_ms);
}

static void
do_result(struct scene *scene, char **words, int count)
{
    static const char *const kinds[] = {
        "ok", "not_sent", "not_loaded", "busy", "broken", "timeout", "gone",
    };
    int number = atoi(words[1]);
    const struct attempt *attempt = &scene->attempt[number];
    struct attempt_result result = {
        .id = attempt->id,
        .call = attempt->call,
        .target = attempt->target,
        .kind = (enum attempt_result_kind)index_of(kinds, 7, words[2]),
        .events = attempt->resume_from,
    };

    if (count > 3 && strcmp(words[3], "unresumable") == 0) {
        result.events = ATTEMPT_EVENTS_NO_RESUME;
    }
    else if (count > 3) {
        result.events += (uint32_t)atoi(words[3]);
    }
    core_result(scene->core, &result, scene->now_ms);
}

static void
do_verdict(struct scene *scene, char **words)
{
    int number = atoi(words[1]);
    struct claim_verdict verdict = {
        .call = scene->call[number],
        .token = scene->claim[number].token,
        .kind = err_kind_by_name(words[2]),
    };

    core_verdict(scene->core, &verdict, scene->now_ms);
}

static void
do_place(struct scene *scene, char **words)
{
    struct placement placement = {
        .leaf = leaf_id(words[1]),
        .target = target_id(words[2]),
        .kind = err_kind_by_name(words[3]),
    };

    g_strlcpy(placement.text, "told by the owner", sizeof(placement.text));
    core_placement(scene->core, &placement, scene->now_ms);
}

/* Lets time pass in steps, so that every timer sees its own moment. */
static void
advance(struct scene *scene, int64_t ms)
{
    int64_t end_ms = scene->now_ms + ms;

    while (scene->now_ms < end_ms) {
        int64_t wait_ms = core_wait_ms(scene->core, scene->now_ms);

        if (wait_ms < 0 || scene->now_ms + wait_ms > end_ms) {
            scene->now_ms = end_ms;
        }
        else {
            scene->now_ms += MAX(wait_ms, 1);
        }
        core_tick(scene->core, scene->now_ms);
    }
}

static void
run_command(struct scene *scene, const char *command)
{
    char **words = g_strsplit(command, " ", -1);
    int count = (int)g_strv_length(words);

    if (words[0][0] == '+') {
        advance(scene, atoi(words[0] + 1));
    }
    else if (strcmp(words[0], "stale") == 0) {
        scene->age_ms = atoi(words[1]);
    }
    else if (strcmp(words[0], "spend") == 0) {
        for (int i = atoi(words[1]); i > 0; i--) {
            budget_spend(&scene->core->budget, scene->now_ms);
        }
    }
    else if (strcmp(words[0], "load") == 0) {
        scene->running = (uint32_t)atoi(words[1]);
    }
    else if (strcmp(words[0], "report") == 0) {
        do_report(scene, words, count);
    }
    else if (strcmp(words[0], "call") == 0) {
        do_call(scene, words, count);
    }
    else if (strcmp(words[0], "same") == 0) {
        scene->fingerprint[atoi(words[1])] =
            scene->fingerprint[atoi(words[2])];
    }
    else if (strcmp(words[0], "close") == 0) {
        call_close(scene->calls, scene->call[atoi(words[1])]);
        scene->open[atoi(words[1])] = false;
    }
    else if (strcmp(words[0], "result") == 0) {
        do_result(scene, words, count);
    }
    else if (strcmp(words[0], "verdict") == 0) {
        do_verdict(scene, words);
    }
    else if (strcmp(words[0], "place") == 0) {
        do_place(scene, words);
    }
    else if (strcmp(words[0], "strike") == 0) {
        core_strike(scene->core, scene->fingerprint[atoi(words[1])],
                    target_id(words[2]), strtoull(words[3], NULL, 10),
                    scene->now_ms);
    }
    else if (strcmp(words[0], "full") == 0 || strcmp(words[0], "room") == 0) {
        scene->full = words[0][0] == 'f';
    }
    else if (strcmp(words[0], "stop") == 0) {
        core_stop(scene->core);
    }
    else {
        g_error("unknown command %s", command);
    }
    g_strfreev(words);
}

static void
trace_refusals(struct scene *scene)
{
    struct err err;
    enum outcome outcome;

    for (int i = 0; i < CALLS_MAX; i++) {
        if (scene->open[i] &&
            call_get_failure(scene->calls, scene->call[i], &err, &outcome)) {
            trace(scene, "refuse(%d,%s,%s)", i, err_info(err.kind)->name,
                  outcome_name(outcome));
            if (strstr(err.text, "memory_full") != NULL) {
                trace(scene, "reason:memory_full");
            }
            scene->open[i] = false;
        }
    }
}

static void
scene_open(struct scene *scene)
{
    memset(scene, 0, sizeof(*scene));
    scene->port.ops = &ops;
    scene->calls = calls_new(CALLS_MAX, NULL);
    scene->tree = test_tree(tree_text);
    scene->now_ms = START_MS;
    scene->trace = g_string_new(NULL);
    scene->core = core_new(scene->calls, "x", SEED, &scene->port, NULL);
}

static void
scene_close(struct scene *scene)
{
    core_free(scene->core);
    calls_free(scene->calls);
    tree_unref(scene->tree);
    g_string_free(scene->trace, TRUE);
}

/* Three targets that are picked in the order e1, e2, e3. */
#define THREE                                                                 \
    "report e1 x live 1 a; load 1; report e2 x live 1 a; "                    \
    "report e3 y live 1 a; "

struct script_case {
    const char *name;
    const char *script;
    const char *trace;
};

static void
test_script(gconstpointer data)
{
    const struct script_case *c = data;
    static struct scene scene;
    char **commands = g_strsplit(c->script, "; ", -1);

    g_test_message("seed %d", SEED);
    scene_open(&scene);
    for (int i = 0; commands[i] != NULL; i++) {
        run_command(&scene, commands[i]);
        trace_refusals(&scene);
    }
    g_assert_cmpstr(scene.trace->str, ==, c->trace);
    g_strfreev(commands);
    scene_close(&scene);
}

/* Guards against calls that are taken although they must be refused, and
 * refused although they could be served. */
static const struct script_case admit_cases[] = {
    {"warm", "report e1 x live 1 a; call 0 a idem; result 0 ok", "send(0,e1)"},
    {"plain", "report p1 x live 1 p; call 0 p idem; result 0 ok",
     "send(0,p1)"},
    {"disabled", "call 0 off idem", "refuse(0,disabled,not_run)"},
    {"unknown", "call 0 nothing idem", "refuse(0,unknown_model,not_run)"},
    {"queue_full", "call 0 q idem; call 1 q idem; call 2 q idem",
     "want(/s/q,5,1) refuse(2,queue_full,not_run)"},
    {"stale_loaded", "report e1 x live 1 a; stale 5000; call 0 a idem",
     "send(0,e1)"},
    {"stale_cold", "stale 5000; call 0 a idem",
     "refuse(0,config_stale,not_run)"},
    {"stale_once", "report e1 x live 1 a; stale 5000; call 0 a once",
     "refuse(0,config_stale,not_run)"},
    {"stale_too_long", "report e1 x live 1 a; stale 3600001; call 0 a idem",
     "refuse(0,config_stale,not_run)"},
};

/* Guards against calls that wait past their deadline, that are overtaken by
 * others of less priority, and against leaves that nobody asks for. */
static const struct script_case queue_cases[] = {
    {"deadline_cold", "call 0 a idem 5 700; +699; +1",
     "want(/s/a,5,1) refuse(0,deadline,not_run)"},
    {"deadline_names_reason",
     "call 0 a idem 5 400; place a e1 memory_full; +400",
     "want(/s/a,5,1) refuse(0,deadline,not_run) reason:memory_full"},
    {"final_placement", "call 0 a idem; call 1 a idem; place a e1 disabled",
     "want(/s/a,5,1) refuse(0,disabled,not_run) refuse(1,disabled,not_run)"},
    {"wants_are_coalesced", "call 0 a idem; call 1 a idem 9; +499; +1",
     "want(/s/a,5,1) want(/s/a,9,2)"},
    {"placed_target_is_used_before_its_report",
     "report e1 x live 1; call 0 a idem; place a e1 none",
     "want(/s/a,5,1) send(0,e1)"},
    {"priority_then_arrival",
     "call 0 a idem 3; call 1 a idem 7; call 2 a idem 7; call 3 a idem 3; "
     "report e1 x live 1 a; result 1 ok; result 2 ok",
     "want(/s/a,3,1) send(1,e1) send(2,e1) send(0,e1) send(3,e1)"},
    {"inflight_max_asks_for_a_replica",
     "report e1 x live 1 a; call 0 a idem; call 1 a idem; call 2 a idem; "
     "result 0 ok",
     "send(0,e1) send(1,e1) want(/s/a,5,1) send(2,e1)"},
    {"another_leaf_of_the_target_gets_the_room",
     "report e1 x live 1 a b; call 0 a idem; call 1 a idem; call 2 b idem; "
     "result 0 ok",
     "send(0,e1) send(1,e1) want(/s/b,5,1) send(2,e1)"},
    {"full_pool_keeps_the_call",
     "report e1 x live 1 a; full; call 0 a idem; room; +50", "send(0,e1)"},
    {"full_pool_at_the_deadline",
     "report e1 x live 1 a; full; call 0 a idem 5 300; +300",
     "refuse(0,deadline,not_run)"},
    {"stop", "call 0 a idem; stop",
     "want(/s/a,5,1) refuse(0,stopped,not_run)"},
};

/* Guards against targets that must not get a request. */
static const struct script_case pick_cases[] = {
    {"own_data_centre",
     "report e1 y live 1 a; report e2 x live 1 a; call 0 a idem; "
     "call 1 a idem; call 2 a idem",
     "send(0,e2) send(1,e2) send(2,e1)"},
    {"leaving_down_gone",
     "report e1 x leaving 1 a; report e2 x down 1 a; report e3 x gone 1 a; "
     "call 0 a idem",
     "want(/s/a,5,1)"},
    {"less_loaded",
     "load 1; report e1 x live 1 a; report e2 x live 1 a; call 0 a idem",
     "send(0,e2)"},
    {"others_count_against_inflight_max",
     "load 2; report e1 x live 1 a; call 0 a idem", "want(/s/a,5,1)"},
    {"other_than_the_tried_one",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a idem; "
     "result 0 broken",
     "send(0,e1) send(0,e2)"},
    {"unreachable_sole_one_is_waited_for",
     "report e1 x live 1 a; call 0 a idem; result 0 not_sent; +999; +1",
     "send(0,e1) want(/s/a,5,1) send(0,e1)"},
    {"unreachable_one_is_avoided",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a idem; "
     "result 0 not_sent; call 1 a idem; +1000; call 2 a idem",
     "send(0,e1) send(0,e2) send(1,e2) send(2,e1)"},
};

/* Guards against a call that runs twice, and against a wrong "not run". */
static const struct script_case retry_cases[] = {
    {"not_loaded_waits_for_a_load",
     "report e1 x live 1 a; call 0 a idem; result 0 not_loaded; "
     "place a e1 none",
     "send(0,e1) want(/s/a,5,1) send(0,e1)"},
    {"busy_backs_off",
     "report e1 x live 1 a; call 0 a idem; result 0 busy; +24; +26",
     "send(0,e1) send(0,e1)"},
    {"attempts_max_not_run",
     "report e1 x live 1 a; call 0 a idem; result 0 busy; +50; "
     "result 0 busy; +100; result 0 busy",
     "send(0,e1) send(0,e1) send(0,e1) refuse(0,no_target,not_run)"},
    {"broken_idempotent_at_last_unknown",
     THREE "call 0 a idem 5 900; result 0 broken; result 0 not_sent; +100; "
           "full; result 0 not_sent; +900",
     "send(0,e1) send(0,e2) send(0,e3) refuse(0,deadline,unknown)"},
    {"refused_connections_are_no_attempts",
     THREE "call 0 a idem; result 0 not_sent; result 0 not_sent; +100; "
           "result 0 not_sent; +1100; +500; result 0 not_sent; +500; "
           "result 0 ok",
     "send(0,e1) send(0,e2) send(0,e3) want(/s/a,5,1) send(0,e1) "
     "send(0,e2)"},
    {"broken_then_deadline_is_unknown",
     "report e1 x live 1 a; call 0 a idem 5 900; full; result 0 broken; +900",
     "send(0,e1) refuse(0,deadline,unknown)"},
    {"timeout_is_unknown",
     "report e1 x live 1 a; call 0 a idem; result 0 timeout",
     "send(0,e1) refuse(0,timeout,unknown)"},
    {"caller_gone",
     "report e1 x live 1 a; call 0 a idem; close 0; "
     "result 0 gone; call 1 a idem; call 2 a idem",
     "send(0,e1) send(1,e1) send(2,e1)"},
    {"stale_result_is_ignored",
     "report e1 x live 1 a; call 0 a idem; result 0 ok; result 0 broken",
     "send(0,e1)"},
};

/* Guards against a stream that is given up or started anew although it can go
 * on, and against events that the caller gets twice or never. */
static const struct script_case resume_cases[] = {
    {"same_engine",
     "report e1 x live 1 a; call 0 a sse; result 0 broken 7; result 0 ok 3",
     "send(0,e1) send(0,e1 here:7)"},
    {"then_another_engine",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "result 0 broken 7; result 0 broken 2; result 0 ok 5",
     "send(0,e1) send(0,e1 here:7) send(0,e2 elsewhere:9)"},
    {"engine_down_at_once_elsewhere",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "report e1 x down 1 a; result 0 broken 4",
     "send(0,e1) strike(e1,1) send(0,e2 elsewhere:4)"},
    {"second_stream_counts_its_own_events",
     "report e1 x live 1 r; report e2 y live 1 r; call 0 r sse; "
     "result 0 broken 7; result 0 not_sent; result 0 broken 3; "
     "result 0 ok 2",
     "send(0,e1) send(0,e1 here:7) send(0,e2 elsewhere:7) "
     "send(0,e2 here:3)"},
    {"engine_killed_waits_for_a_load",
     "report e1 x live 1 a; call 0 a sse; result 0 broken 4; "
     "result 0 not_sent; +400; report e1 x down 1 a; "
     "report e2 x live 1 a; result 0 not_loaded; place a e2 none; result 0 ok",
     "send(0,e1) send(0,e1 here:4) want(/s/a,5,1) strike(e1,1) "
     "send(0,e2 elsewhere:4) send(0,e2 elsewhere:4)"},
    {"pays_once_however_often_it_is_refused",
     "report e1 x live 1 w; report e2 y live 1 w; call 0 w sse; call 1 w sse; "
     "call 2 w sse; report e1 x down 1 w; result 0 broken 1; "
     "result 0 not_sent; +1000; result 0 not_sent; +1000; "
     "result 1 broken 1; result 2 broken 1; call 3 off idem",
     "send(0,e1) send(1,e1) send(2,e1) strike(e1,1) "
     "send(0,e2 elsewhere:1) want(/s/w,5,1) send(0,e2 elsewhere:1) "
     "want(/s/w,5,1) send(0,e2 elsewhere:1) strike(e1,1) "
     "send(1,e2 elsewhere:1) strike(e1,1) send(2,e2 elsewhere:1) "
     "refuse(3,disabled,not_run)"},
    {"waits_for_the_budget",
     "spend 29; report e1 x live 1 w; report e2 y live 1 w; call 0 w sse; "
     "call 1 w sse; call 2 w sse; call 3 w sse; report e1 x down 1 w; "
     "result 0 broken 1; result 1 broken 1; result 2 broken 1; "
     "result 3 broken 1; +9000; call 4 off idem; +1200",
     "send(0,e1) send(1,e1) send(2,e1) send(3,e1) "
     "strike(e1,1) send(0,e2 elsewhere:1) strike(e1,1) "
     "send(1,e2 elsewhere:1) strike(e1,1) send(2,e2 elsewhere:1) "
     "strike(e1,1) refuse(4,disabled,not_run) send(3,e2 elsewhere:1)"},
    {"no_event_is_a_plain_retry",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "result 0 broken 0",
     "send(0,e1) send(0,e2)"},
    {"no_resume_of_what_may_not_be_repeated",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; result 0 broken 4",
     "claim(0) send(0,e1) refuse(0,target_failed,unknown)"},
    {"unresumable",
     "report e1 x live 1 a; call 0 a idem; result 0 broken unresumable",
     "send(0,e1) refuse(0,target_failed,unknown)"},
    {"nobody_goes_on",
     "report e1 x live 1 a; call 0 a sse; result 0 broken 4; "
     "report e1 x down 1 a; result 0 not_sent; +30000",
     "send(0,e1) send(0,e1 here:4) strike(e1,1) want(/s/a,5,1) "
     "refuse(0,target_failed,unknown)"},
};

/* Guards against a send without a claim, a second send of a claimed call that
 * may have run, and a claim that is kept or released wrongly. */
static const struct script_case claim_cases[] = {
    {"granted_then_sent",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; result 0 ok",
     "claim(0) send(0,e1)"},
    {"duplicate",
     "report e1 x live 1 a; call 0 a once; verdict 0 duplicate_request",
     "claim(0) refuse(0,duplicate_request,unknown)"},
    {"asked_again_until_the_deadline",
     "report e1 x live 1 a; call 0 a once 5 1200; "
     "verdict 0 claim_unavailable; +1200",
     "claim(0) claim(0) claim(0) refuse(0,claim_unavailable,not_run)"},
    {"late_grant_is_released",
     "report e1 x live 1 a; call 0 a once 5 300; +300; verdict 0 none",
     "claim(0) refuse(0,claim_unavailable,not_run) release(0)"},
    {"late_duplicate_is_not_released",
     "report e1 x live 1 a; call 0 a once 5 300; +300; "
     "verdict 0 duplicate_request",
     "claim(0) refuse(0,claim_unavailable,not_run)"},
    {"second_grant_sends_nothing",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; verdict 0 none",
     "claim(0) send(0,e1)"},
    {"same_claim_after_not_sent",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; "
     "result 0 not_sent; +1000; result 0 ok",
     "claim(0) send(0,e1) want(/s/a,5,1) send(0,e1)"},
    {"same_claim_after_not_loaded",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; "
     "result 0 not_loaded; place a e1 none",
     "claim(0) send(0,e1) want(/s/a,5,1) send(0,e1)"},
    {"broken_keeps_the_claim",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; result 0 broken",
     "claim(0) send(0,e1) refuse(0,target_failed,unknown)"},
    {"timeout_keeps_the_claim",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; result 0 timeout",
     "claim(0) send(0,e1) refuse(0,timeout,unknown)"},
    {"not_run_releases_the_claim",
     "report e1 x live 1 a; call 0 a once; verdict 0 none; result 0 busy; "
     "+50; result 0 busy; +100; result 0 busy",
     "claim(0) send(0,e1) send(0,e1) send(0,e1) release(0) "
     "refuse(0,no_target,not_run)"},
    {"deadline_releases_the_claim",
     "call 0 a once 5 300; verdict 0 none; +300",
     "claim(0) want(/s/a,5,1) release(0) refuse(0,deadline,not_run)"},
};

/* Guards against a request that brings down a third target, and against
 * blame for a target that still runs. */
static const struct script_case strike_cases[] = {
    {"two_targets_at_most",
     THREE "call 0 a idem; result 0 broken; result 0 broken; +500; "
           "report e1 x down 1 a; report e2 x live 2 a; +200",
     "send(0,e1) send(0,e2) strike(e1,1) strike(e2,1) "
     "refuse(0,request_crashes_targets,unknown)"},
    {"sent_again_by_the_caller",
     THREE "call 0 a idem; result 0 broken; result 0 broken; "
           "same 1 0; call 1 a idem; +400; report e1 x down 1 a; "
           "report e2 x down 1 a; +200; same 2 0; call 2 a idem",
     "send(0,e1) send(0,e2) strike(e1,1) strike(e2,1) "
     "refuse(0,request_crashes_targets,unknown) "
     "refuse(1,request_crashes_targets,not_run) "
     "refuse(2,request_crashes_targets,unknown)"},
    {"for_600_s",
     "report e1 x live 1 a; call 0 a idem; result 0 ok; strike 0 e8 1; "
     "strike 0 e9 1; +599999; same 1 0; call 1 a idem; +1; same 2 0; "
     "call 2 a idem",
     "send(0,e1) refuse(1,request_crashes_targets,unknown) send(2,e1)"},
    {"a_target_that_runs_clears",
     THREE "call 0 a idem 5 9000; result 0 broken; result 0 broken; +2900; "
           "report e1 x live 1 a; report e2 x live 1 a; +200; "
           "report e1 x live 1 a; +200",
     "send(0,e1) send(0,e2) send(0,e3)"},
    {"of_other_instances",
     "report e1 x live 1 a; call 0 a idem; result 0 ok; strike 0 e8 1; "
     "strike 0 e8 1; same 1 0; call 1 a idem; result 1 ok; strike 0 e9 1; "
     "same 2 0; call 2 a idem",
     "send(0,e1) send(1,e1) refuse(2,request_crashes_targets,unknown)"},
};

/* Guards against retries that multiply the load of a failing fleet. */
struct budget_case {
    const char *name;
    int requests;
    int retries_allowed;
};

static const struct budget_case budget_cases[] = {
    {"minimum", 0, 32},
    {"still_minimum", 329, 32},
    {"a_tenth", 400, 40},
};

static void
test_budget(gconstpointer data)
{
    const struct budget_case *c = data;
    struct budget budget = {0};
    int64_t now_ms = START_MS;
    int allowed = 0;

    for (int i = 0; i < c->requests; i++) {
        budget_request(&budget, now_ms + i * 9000 / c->requests);
    }
    now_ms += 9000;
    while (budget_has_room(&budget, now_ms) && allowed < 1000) {
        budget_spend(&budget, now_ms);
        allowed++;
    }
    g_assert_cmpint(allowed, ==, c->retries_allowed);
    g_assert_true(budget_has_room(&budget, now_ms + 10000));
}

/* Guards against a call that is refused for the budget as "not run" although
 * an attempt of it broke. */
static void
test_budget_outcome(void)
{
    static struct scene scene;
    char command[64];

    scene_open(&scene);
    run_command(&scene, "spend 29");
    run_command(&scene, "report e1 x live 1 w");
    run_command(&scene, "report e2 x live 1 w");
    for (int i = 0; i < 4; i++) {
        snprintf(command, sizeof(command), "call %d w idem", i);
        run_command(&scene, command);
    }
    for (int i = 0; i < 4; i++) {
        snprintf(command, sizeof(command), "result %d %s", i,
                 i == 3 ? "broken" : "busy");
        run_command(&scene, command);
        trace_refusals(&scene);
    }
    g_assert_nonnull(
        strstr(scene.trace->str, "refuse(3,retry_budget,unknown)"));
    scene_close(&scene);
}

/* Guards against a used leaf that is unloaded as idle, and against a message
 * for each of thousands of requests. */
static void
test_use(void)
{
    static const char *const script[] = {
        "report e1 x live 1 w",
        "report p1 x live 1 p",
        "call 0 w idem",
        "call 1 p idem",
        "+999",
        "call 2 w idem",
        "+1",
        "call 3 w idem",
    };
    static struct scene scene;

    scene_open(&scene);
    for (size_t i = 0; i < G_N_ELEMENTS(script); i++) {
        run_command(&scene, script[i]);
    }
    g_assert_cmpint(scene.uses, ==, 2);
    scene_close(&scene);
}

/* Guards against a timer that is lost when others are moved or removed. */
static void
test_heap(void)
{
    enum { TIMERS = 200 };
    static struct timer timers[TIMERS];
    struct heap heap;
    uint64_t random = SEED;
    int64_t last_ms = -1;
    int left = 0;

    g_test_message("seed %d", SEED);
    heap_init(&heap);
    for (int i = 0; i < TIMERS; i++) {
        heap_set(&heap, &timers[i], (int64_t)(random_next(&random) % 1000));
    }
    for (int i = 0; i < TIMERS; i += 3) {
        heap_set(&heap, &timers[i], (int64_t)(random_next(&random) % 1000));
    }
    for (int i = 0; i < TIMERS; i += 4) {
        heap_remove(&heap, &timers[i]);
    }
    while (heap_first(&heap) != NULL) {
        struct timer *first = heap_first(&heap);

        g_assert_cmpint(first->due_ms, >=, last_ms);
        last_ms = first->due_ms;
        heap_remove(&heap, first);
        left++;
    }
    g_assert_cmpint(left, ==, TIMERS - TIMERS / 4);
    heap_clear(&heap);
}

/* Guards against a table of strikes that grows without bound. */
static void
test_strikes_bounded(void)
{
    struct strikes *strikes = strikes_new();

    for (uint64_t i = 1; i <= STRIKE_ENTRIES_MAX + 10; i++) {
        strike_add(strikes, i, 1, 1, (int64_t)i);
        strike_add(strikes, i, 2, 1, (int64_t)i);
    }
    g_assert_cmpint(strikes_count(strikes), ==, STRIKE_ENTRIES_MAX);
    g_assert_cmpint(strike_check(strikes, 1, 100), ==, STRIKE_CLEAR);
    g_assert_cmpint(strike_check(strikes, STRIKE_ENTRIES_MAX + 10, 100), ==,
                    STRIKE_REFUSE);
    strikes_free(strikes);
}

static bool
flood_strike(struct route *route)
{
    return route_post_strike(route, 1, 2, 3, NULL);
}

static bool
flood_placement(struct route *route)
{
    struct placement placement = {.leaf = 1};

    return route_post_placement(route, &placement, NULL);
}

static bool
flood_report(struct route *route)
{
    struct target_report report = {.id = 1};

    return route_post_report(route, &report, NULL);
}

static bool
flood_call(struct route *route)
{
    return route_post_call(route, (struct handle){0, 1}, NULL);
}

/* Guards against a result that is lost, and with it the answer to its call,
 * because messages that are repeated or sent by others fill the ring. */
struct flood_case {
    const char *name;
    bool (*post)(struct route *route);
};

static const struct flood_case flood_cases[] = {
    {"strikes", flood_strike},
    {"placements", flood_placement},
    {"reports", flood_report},
    {"calls", flood_call},
};

static void
test_flood(gconstpointer data)
{
    const struct flood_case *c = data;
    struct calls *calls = calls_new(1, NULL);
    struct route_port port = {NULL};
    struct route *route = route_new(calls, "x", SEED, &port, NULL);
    struct attempt_result result = {.kind = ATTEMPT_OK};

    while (c->post(route)) {
    }
    for (int i = 0; i < RESULTS_AT_ONCE; i++) {
        g_assert_true(route_post_result(route, &result, NULL));
    }
    route_free(route);
    calls_free(calls);
}

static const struct cases groups[] = {
    CASES("/route/admit", admit_cases, test_script),
    CASES("/route/queue", queue_cases, test_script),
    CASES("/route/pick", pick_cases, test_script),
    CASES("/route/retry", retry_cases, test_script),
    CASES("/route/resume", resume_cases, test_script),
    CASES("/route/claim", claim_cases, test_script),
    CASES("/route/strike", strike_cases, test_script),
    CASES("/route/budget", budget_cases, test_budget),
    CASES("/route/flood", flood_cases, test_flood),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/route/budget_outcome", test_budget_outcome);
    g_test_add_func("/route/use", test_use);
    g_test_add_func("/route/heap", test_heap);
    g_test_add_func("/route/strikes_bounded", test_strikes_bounded);
    return g_test_run();
}
