/* Tests of the route duty: admission, queues, target selection, retries,
 * resumed streams, claims and strikes.
 *
 * A case is a script of messages to the router at simulated times, and the
 * trace of the callbacks and refusals that must follow. Commands:
 *   +MS                            advance the time
 *   stale MS                       age of the configuration; stale above 4000
 *   spend N                        charge the retry budget for N retries
 *   report T DC STATE INC [LEAF..] report of a target with its incarnation
 *   running N                      requests running in the next report
 *   call N LEAF KIND [PRIO [MS]]   new call; KIND: once (may not be repeated),
 *                                  idem (may be) or sse (an event stream that
 *                                  may be); deadline after MS
 *   same N M                       call N gets the fingerprint of call M
 *   close N                        the caller of call N closes its connection
 *   result N KIND [EVENTS]         result of the latest attempt of call N; the
 *                                  KIND silent is broken because of silence
 *   decide N KIND                  decision on the claim of call N
 *   place LEAF T KIND              answer to a load request
 *   strike N T INC                 strike from another instance on the request
 *                                  of call N
 *   hold T MS                      target T wants no requests for MS
 *   partial N                      part of the answer to call N is no text
 *   limit N                        trace the limits of call N's attempt
 *   full                           the forward duty refuses attempts
 *   room                           the forward duty accepts attempts again
 *   stop                           stop the router
 * Traces:
 *   send(N,T)                      attempt of call N on target T
 *   send(N,T here:E)               the same engine resumes after E events
 *   send(N,T elsewhere:E)          another engine continues after E events
 *   load(LEAF,PRIO,N)              load request for N calls
 *   claim(N), release(N)           claim of call N requested, released
 *   strike(T,INC)                  strike sent to the other instances
 *   refuse(N,ERROR,OUTCOME)        call N refused
 *   limit(N,MS[ last])             time to the deadline of its attempt, and
 *                                  whether no other can follow
 *   after:S                        Retry-After of the refusal
 * A load request that equals the one before is not traced again.
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
#include "turmericd/serve/route/router.h"
#include "serve.h"
#include "cases.h"

enum { CALLS_MAX = 400, START_MS = 1000000, WORDS_MAX = 8, SEED = 20261204 };

/* Largest number of workers of the forward duty. */
enum { RESULTS_AT_ONCE = 256 };

static const char tree_text[] =
    "/s type \"service\"; /s inflight_max 2; /s wait_max_ms 5000; "
    "/s/a type \"model\"; /s/b type \"model\"; /s/q type \"model\"; "
    "/s/q queue_max 2; /s/off type \"model\"; /s/off enabled false; "
    "/s/w type \"model\"; /s/w inflight_max 200; /s/w queue_max 500; "
    "/s/r type \"model\"; /s/r attempts_max 9; "
    "/s/l type \"model\"; /s/l replicas_max 2; "
    "/p type \"service\"; /p kind \"plain\"";

struct fixture {
    struct route_port port;
    struct calls *calls;
    struct router *router;
    struct tree *tree;
    int64_t now_ms;
    int64_t config_age_ms;
    bool forward_full;
    GString *trace;
    struct handle call[CALLS_MAX];
    bool is_open[CALLS_MAX];
    uint64_t fingerprint[CALLS_MAX];
    struct attempt attempt[CALLS_MAX];
    struct claim_request claim[CALLS_MAX];
    uint32_t next_running;
    int use_reports;
};

static void trace(struct fixture *fixture, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

static void
trace(struct fixture *fixture, const char *format, ...)
{
    va_list arguments;

    if (fixture->trace->len > 0) {
        g_string_append_c(fixture->trace, ' ');
    }
    va_start(arguments, format);
    g_string_append_vprintf(fixture->trace, format, arguments);
    va_end(arguments);
}

static int
call_number(const struct fixture *fixture, struct handle call)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        if (fixture->call[i].generation != 0 &&
            fixture->call[i].index == call.index &&
            fixture->call[i].generation == call.generation) {
            return i;
        }
    }
    return -1;
}

/* Target names are a letter and a digit, which the trace reads from the id. */
static uint64_t
target_id(const char *name)
{
    return (uint64_t)name[0] << 8 | (uint64_t)name[1];
}

static bool
on_start_attempt(struct route_port *port, const struct attempt *attempt,
                 struct err *err)
{
    struct fixture *fixture = (struct fixture *)port;
    int number = call_number(fixture, attempt->call);

    if (fixture->forward_full) {
        return err_set(err, ERR_RING_FULL, "all workers are busy");
    }
    fixture->attempt[number] = *attempt;
    trace(fixture, "send(%d,%c%c", number, (char)(attempt->target >> 8),
          (char)attempt->target);
    if (attempt->resume_from > 0) {
        trace(fixture, "%s:%u",
              attempt->resume_same_engine ? "here" : "elsewhere",
              attempt->resume_from);
    }
    g_string_append_c(fixture->trace, ')');
    return true;
}

static bool
on_request_load(struct route_port *port, const struct load_request *want,
                struct err *err)
{
    struct fixture *fixture = (struct fixture *)port;
    char *text = g_strdup_printf("load(%s,%d,%d)", want->path, want->priority,
                                 want->waiting);

    (void)err;
    if (!g_str_has_suffix(fixture->trace->str, text)) {
        trace(fixture, "%s", text);
    }
    g_free(text);
    return true;
}

static void
on_report_use(struct route_port *port, uint64_t leaf)
{
    (void)leaf;
    ((struct fixture *)port)->use_reports++;
}

static bool
on_request_claim(struct route_port *port, const struct claim_request *request,
                 struct err *err)
{
    struct fixture *fixture = (struct fixture *)port;
    int number = call_number(fixture, request->call);

    (void)err;
    fixture->claim[number] = *request;
    trace(fixture, "claim(%d)", number);
    return true;
}

static void
on_release_claim(struct route_port *port, const struct claim_request *request)
{
    struct fixture *fixture = (struct fixture *)port;
    int number = call_number(fixture, request->call);

    g_assert_cmpuint(request->token, ==, fixture->claim[number].token);
    trace(fixture, "release(%d)", number);
}

static void
on_broadcast_strike(struct route_port *port, uint64_t fingerprint,
                    uint64_t target, uint64_t incarnation)
{
    (void)fingerprint;
    trace((struct fixture *)port, "strike(%c%c,%d)", (char)(target >> 8),
          (char)target, (int)incarnation);
}

static struct tree *
on_tree_ref(struct route_port *port)
{
    return tree_ref(((struct fixture *)port)->tree);
}

static void
on_get_config_state(struct route_port *port, struct config_state *state)
{
    struct fixture *fixture = (struct fixture *)port;

    state->ready = true;
    state->age_ms = fixture->config_age_ms;
    state->stale = fixture->config_age_ms > 4000;
}

static const struct route_port_ops ops = {
    .start_attempt = on_start_attempt,
    .request_load = on_request_load,
    .report_use = on_report_use,
    .request_claim = on_request_claim,
    .release_claim = on_release_claim,
    .broadcast_strike = on_broadcast_strike,
    .tree_ref = on_tree_ref,
    .get_config_state = on_get_config_state,
};

static int
word_index(const char *const *names, int count, const char *name)
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
do_report(struct fixture *fixture, char **words, int count)
{
    static const char *const states[] = {"live", "leaving", "down", "gone"};
    struct target_report report = {.id = target_id(words[1])};

    g_strlcpy(report.data_centre, words[2], sizeof(report.data_centre));
    report.state = (enum target_state)word_index(states, 4, words[3]);
    report.incarnation = strtoull(words[4], NULL, 10);
    report.running = fixture->next_running;
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
    fixture->next_running = 0;
    router_handle_report(fixture->router, &report, fixture->now_ms);
}

static void
do_call(struct fixture *fixture, char **words, int count)
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
    request.deadline_ms =
        fixture->now_ms + (count > 5 ? atoi(words[5]) : 5000);
    request.fingerprint = fixture->fingerprint[number] != 0
                              ? fixture->fingerprint[number]
                              : (uint64_t)number + 1;
    fixture->fingerprint[number] = request.fingerprint;
    g_assert_true(
        call_open(fixture->calls, &request, &fixture->call[number], NULL));
    fixture->is_open[number] = true;
    router_handle_call(fixture->router, fixture->call[number],
                       fixture->now_ms);
}

static void
do_result(struct fixture *fixture, char **words, int count)
{
    static const char *const kinds[] = {
        "ok", "not_sent", "not_loaded", "busy", "broken", "timeout", "gone",
    };
    int number = atoi(words[1]);
    bool silent = strcmp(words[2], "silent") == 0;
    const struct attempt *attempt = &fixture->attempt[number];
    struct attempt_result result = {
        .id = attempt->id,
        .call = attempt->call,
        .target = attempt->target,
        .kind = silent
                    ? ATTEMPT_BROKEN
                    : (enum attempt_result_kind)word_index(kinds, 7, words[2]),
        .silent = silent,
        .events = attempt->resume_from,
    };

    if (count > 3 && strcmp(words[3], "not_resumable") == 0) {
        result.events = ATTEMPT_EVENTS_NOT_RESUMABLE;
    }
    else if (count > 3) {
        result.events += (uint32_t)atoi(words[3]);
    }
    router_handle_result(fixture->router, &result, fixture->now_ms);
}

static void
do_claim_result(struct fixture *fixture, char **words)
{
    int number = atoi(words[1]);
    struct claim_result result = {
        .call = fixture->call[number],
        .token = fixture->claim[number].token,
        .kind = err_kind_by_name(words[2]),
    };

    router_handle_claim_result(fixture->router, &result, fixture->now_ms);
}

static void
do_place(struct fixture *fixture, char **words)
{
    struct placement placement = {
        .leaf = leaf_id(words[1]),
        .target = target_id(words[2]),
        .kind = err_kind_by_name(words[3]),
    };

    g_strlcpy(placement.text, "refused by the owner", sizeof(placement.text));
    router_handle_placement(fixture->router, &placement, fixture->now_ms);
}

static void
do_limit(struct fixture *fixture, char **words)
{
    int number = atoi(words[1]);
    const struct attempt *attempt = &fixture->attempt[number];

    trace(fixture, "limit(%d,%d%s)", number,
          (int)(attempt->deadline_ms - fixture->now_ms),
          attempt->is_last ? " last" : "");
}

static void
do_hold(struct fixture *fixture, char **words)
{
    struct target_notice notice = {
        .target = target_id(words[1]),
        .heard_ms = fixture->now_ms,
        .holds_off = true,
        .holdoff_ms = atoi(words[2]),
    };

    router_handle_notice(fixture->router, &notice);
}

/* Advances the time in steps, so that each timer runs when it is due. */
static void
advance(struct fixture *fixture, int64_t ms)
{
    int64_t end_ms = fixture->now_ms + ms;

    while (fixture->now_ms < end_ms) {
        int64_t wait_ms = router_wait_ms(fixture->router, fixture->now_ms);

        if (wait_ms < 0 || fixture->now_ms + wait_ms > end_ms) {
            fixture->now_ms = end_ms;
        }
        else {
            fixture->now_ms += MAX(wait_ms, 1);
        }
        router_tick(fixture->router, fixture->now_ms);
    }
}

static void
run_command(struct fixture *fixture, const char *command)
{
    char **words = g_strsplit(command, " ", -1);
    int count = (int)g_strv_length(words);

    if (words[0][0] == '+') {
        advance(fixture, atoi(words[0] + 1));
    }
    else if (strcmp(words[0], "stale") == 0) {
        fixture->config_age_ms = atoi(words[1]);
    }
    else if (strcmp(words[0], "spend") == 0) {
        for (int i = atoi(words[1]); i > 0; i--) {
            retry_budget_add_retry(&fixture->router->retry_budget,
                                   fixture->now_ms);
        }
    }
    else if (strcmp(words[0], "running") == 0) {
        fixture->next_running = (uint32_t)atoi(words[1]);
    }
    else if (strcmp(words[0], "report") == 0) {
        do_report(fixture, words, count);
    }
    else if (strcmp(words[0], "call") == 0) {
        do_call(fixture, words, count);
    }
    else if (strcmp(words[0], "same") == 0) {
        fixture->fingerprint[atoi(words[1])] =
            fixture->fingerprint[atoi(words[2])];
    }
    else if (strcmp(words[0], "close") == 0) {
        call_close(fixture->calls, fixture->call[atoi(words[1])]);
        fixture->is_open[atoi(words[1])] = false;
    }
    else if (strcmp(words[0], "result") == 0) {
        do_result(fixture, words, count);
    }
    else if (strcmp(words[0], "decide") == 0) {
        do_claim_result(fixture, words);
    }
    else if (strcmp(words[0], "place") == 0) {
        do_place(fixture, words);
    }
    else if (strcmp(words[0], "strike") == 0) {
        router_handle_strike(fixture->router,
                             fixture->fingerprint[atoi(words[1])],
                             target_id(words[2]), strtoull(words[3], NULL, 10),
                             fixture->now_ms);
    }
    else if (strcmp(words[0], "hold") == 0) {
        do_hold(fixture, words);
    }
    else if (strcmp(words[0], "partial") == 0) {
        call_append_text(fixture->calls, fixture->call[atoi(words[1])], NULL,
                         0);
    }
    else if (strcmp(words[0], "limit") == 0) {
        do_limit(fixture, words);
    }
    else if (strcmp(words[0], "full") == 0 || strcmp(words[0], "room") == 0) {
        fixture->forward_full = words[0][0] == 'f';
    }
    else if (strcmp(words[0], "stop") == 0) {
        router_stop(fixture->router);
    }
    else {
        g_error("unknown command %s", command);
    }
    g_strfreev(words);
}

static void
trace_refusals(struct fixture *fixture)
{
    struct err err;
    enum outcome outcome;

    for (int i = 0; i < CALLS_MAX; i++) {
        if (fixture->is_open[i] &&
            call_get_failure(fixture->calls, fixture->call[i], &err,
                             &outcome)) {
            trace(fixture, "refuse(%d,%s,%s)", i, err_info(err.kind)->name,
                  outcome_name(outcome));
            if (err.retry_after_s > 0) {
                trace(fixture, "after:%d", err.retry_after_s);
            }
            if (strstr(err.text, "memory_full") != NULL) {
                trace(fixture, "reason:memory_full");
            }
            fixture->is_open[i] = false;
        }
    }
}

static void
fixture_init(struct fixture *fixture)
{
    memset(fixture, 0, sizeof(*fixture));
    fixture->port.ops = &ops;
    fixture->calls = calls_new(CALLS_MAX, NULL);
    fixture->tree = test_tree(tree_text);
    fixture->now_ms = START_MS;
    fixture->trace = g_string_new(NULL);
    fixture->router =
        router_new(fixture->calls, "x", SEED, &fixture->port, NULL);
}

static void
fixture_clear(struct fixture *fixture)
{
    router_free(fixture->router);
    calls_free(fixture->calls);
    tree_unref(fixture->tree);
    g_string_free(fixture->trace, TRUE);
}

/* Three targets that are tried in the order e1, e2, e3. */
#define THREE_TARGETS                                                         \
    "report e1 x live 1 a; running 1; report e2 x live 1 a; "                 \
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
    static struct fixture fixture;
    char **commands = g_strsplit(c->script, "; ", -1);

    g_test_message("seed %d", SEED);
    fixture_init(&fixture);
    for (int i = 0; commands[i] != NULL; i++) {
        run_command(&fixture, commands[i]);
        trace_refusals(&fixture);
    }
    g_assert_cmpstr(fixture.trace->str, ==, c->trace);
    g_strfreev(commands);
    fixture_clear(&fixture);
}

/* Guards against admitting calls that must be refused, and against refusing
 * calls that can be served. */
static const struct script_case admit_cases[] = {
    {"loaded", "report e1 x live 1 a; call 0 a idem; result 0 ok",
     "send(0,e1)"},
    {"plain", "report p1 x live 1 p; call 0 p idem; result 0 ok",
     "send(0,p1)"},
    {"disabled", "call 0 off idem", "refuse(0,disabled,not_run)"},
    {"unknown", "call 0 nothing idem", "refuse(0,unknown_model,not_run)"},
    {"queue_full", "call 0 q idem; call 1 q idem; call 2 q idem",
     "load(/s/q,5,1) refuse(2,queue_full,not_run)"},
    {"stale_loaded", "report e1 x live 1 a; stale 5000; call 0 a idem",
     "send(0,e1)"},
    {"stale_not_loaded", "stale 5000; call 0 a idem",
     "refuse(0,config_stale,not_run)"},
    {"stale_not_idempotent", "report e1 x live 1 a; stale 5000; call 0 a once",
     "refuse(0,config_stale,not_run)"},
    {"stale_too_long", "report e1 x live 1 a; stale 3600001; call 0 a idem",
     "refuse(0,config_stale,not_run)"},
};

/* Guards against calls that wait past their deadline or are overtaken by calls
 * of lower priority, and against leaves that no load is requested for. */
static const struct script_case queue_cases[] = {
    {"deadline_not_loaded", "call 0 a idem 5 700; +699; +1",
     "load(/s/a,5,1) refuse(0,deadline,not_run)"},
    {"deadline_names_placement_error",
     "call 0 a idem 5 400; place a e1 memory_full; +400",
     "load(/s/a,5,1) refuse(0,deadline,not_run) reason:memory_full"},
    {"permanent_placement_error",
     "call 0 a idem; call 1 a idem; place a e1 disabled",
     "load(/s/a,5,1) refuse(0,disabled,not_run) refuse(1,disabled,not_run)"},
    {"load_requests_are_coalesced", "call 0 a idem; call 1 a idem 9; +499; +1",
     "load(/s/a,5,1) load(/s/a,9,2)"},
    {"loaded_target_is_used_before_its_report",
     "report e1 x live 1; call 0 a idem; place a e1 none",
     "load(/s/a,5,1) send(0,e1)"},
    {"priority_then_arrival",
     "call 0 a idem 3; call 1 a idem 7; call 2 a idem 7; call 3 a idem 3; "
     "report e1 x live 1 a; result 1 ok; result 2 ok",
     "load(/s/a,3,1) send(1,e1) send(2,e1) send(0,e1) send(3,e1)"},
    {"inflight_max_requests_a_replica",
     "report e1 x live 1 a; call 0 a idem; call 1 a idem; call 2 a idem; "
     "result 0 ok",
     "send(0,e1) send(1,e1) load(/s/a,5,1) send(2,e1)"},
    {"another_leaf_gets_the_capacity",
     "report e1 x live 1 a b; call 0 a idem; call 1 a idem; call 2 b idem; "
     "result 0 ok",
     "send(0,e1) send(1,e1) load(/s/b,5,1) send(2,e1)"},
    {"full_forward_duty_delays_the_call",
     "report e1 x live 1 a; full; call 0 a idem; room; +50", "send(0,e1)"},
    {"full_forward_duty_until_the_deadline",
     "report e1 x live 1 a; full; call 0 a idem 5 300; +300",
     "refuse(0,deadline,not_run)"},
    {"stop", "call 0 a idem; stop",
     "load(/s/a,5,1) refuse(0,stopped,not_run)"},
};

/* Guards against attempts on targets that are unavailable, at their limit or
 * worse than another one. */
static const struct script_case pick_cases[] = {
    {"own_data_centre",
     "report e1 y live 1 a; report e2 x live 1 a; call 0 a idem; "
     "call 1 a idem; call 2 a idem",
     "send(0,e2) send(1,e2) send(2,e1)"},
    {"leaving_down_gone",
     "report e1 x leaving 1 a; report e2 x down 1 a; report e3 x gone 1 a; "
     "call 0 a idem",
     "load(/s/a,5,1)"},
    {"less_loaded",
     "running 1; report e1 x live 1 a; report e2 x live 1 a; call 0 a idem",
     "send(0,e2)"},
    {"other_instances_count_against_inflight_max",
     "running 2; report e1 x live 1 a; call 0 a idem", "load(/s/a,5,1)"},
    {"untried_target_first",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a idem; "
     "result 0 broken",
     "send(0,e1) send(0,e2)"},
    {"only_target_unreachable",
     "report e1 x live 1 a; call 0 a idem; result 0 not_sent; +999; +1",
     "send(0,e1) load(/s/a,5,1) send(0,e1)"},
    {"unreachable_target_is_avoided",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a idem; "
     "result 0 not_sent; call 1 a idem; +1000; call 2 a idem",
     "send(0,e1) send(0,e2) send(1,e2) send(2,e1)"},
};

/* Guards against a call that runs twice, and against the outcome "not run" for
 * a call that may have run. */
static const struct script_case retry_cases[] = {
    {"not_loaded_waits_for_a_load",
     "report e1 x live 1 a; call 0 a idem; result 0 not_loaded; "
     "place a e1 none",
     "send(0,e1) load(/s/a,5,1) send(0,e1)"},
    {"busy_backs_off",
     "report e1 x live 1 a; call 0 a idem; result 0 busy; +24; +26",
     "send(0,e1) send(0,e1)"},
    {"attempts_max_not_run",
     "report e1 x live 1 a; call 0 a idem; result 0 busy; +50; "
     "result 0 busy; +100; result 0 busy",
     "send(0,e1) send(0,e1) send(0,e1) refuse(0,no_target,not_run)"},
    {"broken_then_unreachable_is_unknown",
     THREE_TARGETS
     "call 0 a idem 5 900; result 0 broken; result 0 not_sent; +100; "
     "full; result 0 not_sent; +900",
     "send(0,e1) send(0,e2) send(0,e3) refuse(0,deadline,unknown)"},
    {"refused_connections_do_not_count",
     THREE_TARGETS
     "call 0 a idem; result 0 not_sent; result 0 not_sent; +100; "
     "result 0 not_sent; +1100; +500; result 0 not_sent; +500; "
     "result 0 ok",
     "send(0,e1) send(0,e2) send(0,e3) load(/s/a,5,1) send(0,e1) "
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

/* Guards against a stream that is refused or restarted although it can be
 * resumed, and against events that are repeated or lost. */
static const struct script_case resume_cases[] = {
    {"same_engine",
     "report e1 x live 1 a; call 0 a sse; result 0 broken 7; result 0 ok 3",
     "send(0,e1) send(0,e1 here:7)"},
    {"then_another_engine",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "result 0 broken 7; result 0 broken 2; result 0 ok 5",
     "send(0,e1) send(0,e1 here:7) send(0,e2 elsewhere:9)"},
    {"engine_down_resumes_elsewhere",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "report e1 x down 1 a; result 0 broken 4",
     "send(0,e1) strike(e1,1) send(0,e2 elsewhere:4)"},
    {"second_stream_counts_its_own_events",
     "report e1 x live 1 r; report e2 y live 1 r; call 0 r sse; "
     "result 0 broken 7; result 0 not_sent; result 0 broken 3; "
     "result 0 ok 2",
     "send(0,e1) send(0,e1 here:7) send(0,e2 elsewhere:7) "
     "send(0,e2 here:3)"},
    {"engine_crashed_waits_for_a_load",
     "report e1 x live 1 a; call 0 a sse; result 0 broken 4; "
     "result 0 not_sent; +400; report e1 x down 1 a; "
     "report e2 x live 1 a; result 0 not_loaded; place a e2 none; result 0 ok",
     "send(0,e1) send(0,e1 here:4) load(/s/a,5,1) strike(e1,1) "
     "send(0,e2 elsewhere:4) send(0,e2 elsewhere:4)"},
    {"budget_charged_once_per_resume",
     "report e1 x live 1 w; report e2 y live 1 w; call 0 w sse; call 1 w sse; "
     "call 2 w sse; report e1 x down 1 w; result 0 broken 1; "
     "result 0 not_sent; +1000; result 0 not_sent; +1000; "
     "result 1 broken 1; result 2 broken 1; call 3 off idem",
     "send(0,e1) send(1,e1) send(2,e1) strike(e1,1) "
     "send(0,e2 elsewhere:1) load(/s/w,5,1) send(0,e2 elsewhere:1) "
     "load(/s/w,5,1) send(0,e2 elsewhere:1) strike(e1,1) "
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
    {"no_event_is_an_ordinary_retry",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "result 0 broken 0",
     "send(0,e1) send(0,e2)"},
    {"not_idempotent_is_not_resumed",
     "report e1 x live 1 a; call 0 a once; decide 0 none; result 0 broken 4",
     "claim(0) send(0,e1) refuse(0,target_failed,unknown)"},
    {"not_resumable",
     "report e1 x live 1 a; call 0 a idem; result 0 broken not_resumable",
     "send(0,e1) refuse(0,target_failed,unknown)"},
    {"no_engine_resumes",
     "report e1 x live 1 a; call 0 a sse; result 0 broken 4; "
     "report e1 x down 1 a; result 0 not_sent; +30000",
     "send(0,e1) send(0,e1 here:4) strike(e1,1) load(/s/a,5,1) "
     "refuse(0,target_failed,unknown)"},
};

/* Guards against an answer that is ended before its deadline because its
 * target is silent, although no other target can continue it. */
static const struct script_case silence_cases[] = {
    {"resume_waits_until_the_deadline",
     "report e1 x live 1 a; call 0 a sse 5 60000; result 0 broken 4; "
     "report e1 x down 1 a; result 0 not_sent; +40000; "
     "report e2 x live 1 a",
     "send(0,e1) send(0,e1 here:4) strike(e1,1) load(/s/a,5,1) "
     "send(0,e2 elsewhere:4)"},
    {"not_idempotent",
     "report e1 x live 1 a; call 0 a once 5 60000; decide 0 none; limit 0",
     "claim(0) send(0,e1) limit(0,60000 last)"},
    {"first_of_three",
     "report e1 x live 1 a; call 0 a sse 5 60000; limit 0; "
     "result 0 broken 4; limit 0; result 0 broken 1; limit 0",
     "send(0,e1) limit(0,60000) send(0,e1 here:4) limit(0,30000) "
     "send(0,e1 elsewhere:5) limit(0,60000 last)"},
    {"waits_for_the_budget",
     "spend 32; report e1 x live 1 a; report e2 y live 1 a; "
     "call 0 a idem 5 60000; result 0 silent; +9000; call 1 off idem; +1200",
     "send(0,e1) refuse(1,disabled,not_run) send(0,e2)"},
    {"waits_for_the_budget_until_the_deadline",
     "spend 32; report e1 x live 1 a; report e2 y live 1 a; "
     "call 0 a idem 5 900; result 0 silent; +899; call 1 off idem; +1",
     "send(0,e1) refuse(1,disabled,not_run) refuse(0,deadline,unknown)"},
    {"last_of_attempts_max_is_refused",
     "report e1 x live 1 a; call 0 a idem 5 60000; result 0 silent; "
     "result 0 silent; result 0 silent",
     "send(0,e1) send(0,e1) send(0,e1) refuse(0,target_failed,unknown)"},
    {"refused_connection_is_no_attempt",
     "report e1 x live 1 a; call 0 a idem 5 60000; result 0 not_sent; +1000; "
     "result 0 busy; +100; limit 0; result 0 busy; +200; limit 0",
     "send(0,e1) load(/s/a,5,1) send(0,e1) send(0,e1) limit(0,58900) "
     "send(0,e1) limit(0,58700 last)"},
};

/* Guards against a request that reaches a target while it wants none, against
 * callers that return all at once, and against a caller that waits although no
 * target wants its request before its deadline. /p is never loaded. */
static const struct script_case holdoff_cases[] = {
    {"other_target",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a idem; "
     "hold e1 9000; result 0 busy; +50; call 1 a idem",
     "send(0,e1) send(0,e2) send(1,e2)"},
    {"waits_until_its_end",
     "report p1 x live 1 p; call 0 p idem; hold p1 2000; result 0 busy; "
     "+1999; +1",
     "send(0,p1) send(0,p1)"},
    {"reports_do_not_end_it",
     "report p1 x live 1 p; call 0 p idem; result 0 ok; hold p1 2000; "
     "report p1 x live 1 p; call 1 p idem; report p1 x live 2 p; +1999; "
     "report p1 x live 2 p; call 2 off idem; +1",
     "send(0,p1) refuse(2,disabled,not_run) send(1,p1)"},
    {"replaced_not_added",
     "report p1 x live 1 p; hold p1 2000; +1000; hold p1 1500; "
     "call 0 p idem; +1499; call 1 off idem; +1",
     "refuse(1,disabled,not_run) send(0,p1)"},
    {"replaced_by_a_shorter_one",
     "report p1 x live 1 p; hold p1 9000; hold p1 10; call 0 p idem; +10",
     "send(0,p1)"},
    {"return_is_spread",
     "report p1 x live 1 p; call 0 p idem; call 1 p idem; hold p1 1000; "
     "result 0 ok; result 1 ok; call 2 p idem; call 3 p idem; call 4 p idem; "
     "+1000; result 2 ok; call 5 off idem; +499; call 6 off idem; +1; "
     "result 3 ok",
     "send(0,p1) send(1,p1) send(2,p1) refuse(5,disabled,not_run) "
     "refuse(6,disabled,not_run) send(3,p1) send(4,p1)"},
    {"places_of_a_replaced_time",
     "report p1 x live 1 p; call 0 p idem; call 1 p idem; hold p1 1000; "
     "result 0 ok; hold p1 1000; result 1 ok; call 2 p idem; call 3 p idem; "
     "+1000; +499; call 4 off idem; +1",
     "send(0,p1) send(1,p1) send(2,p1) refuse(4,disabled,not_run) "
     "send(3,p1)"},
    {"refused_when_it_is_too_late",
     "report p1 x live 1 p; hold p1 3100; call 0 p idem 5 3100; "
     "call 1 p idem 5 3101; +3100",
     "refuse(0,no_target,not_run) after:4 send(1,p1)"},
    {"waiting_calls_are_refused_too",
     "report p1 x live 1 p; hold p1 2000; call 0 p idem 5 9000; "
     "call 1 p idem; hold p1 6000; +500; +5500",
     "refuse(1,no_target,not_run) after:6 send(0,p1)"},
    {"earliest_of_all_targets",
     "report p1 x live 1 p; report p2 x live 1 p; report p3 x down 1 p; "
     "hold p1 9000; hold p2 7000; hold p3 10; call 0 p idem",
     "refuse(0,no_target,not_run) after:7"},
    {"turned_away_by_the_last",
     "report p1 x live 1 p; report p2 x live 1 p; report p3 x live 1 p; "
     "call 0 p idem; hold p1 9000; result 0 busy; +50; "
     "hold p3 8000; result 0 busy; +100; hold p2 7000; result 0 busy",
     "send(0,p1) send(0,p3) send(0,p2) refuse(0,no_target,not_run) after:7"},
    {"busy_target_is_waited_for",
     "report p1 x live 1 p; call 0 p idem; call 1 p idem; "
     "report p2 x live 1 p; hold p2 9000; call 2 p idem; result 0 ok",
     "send(0,p1) send(1,p1) send(2,p1)"},
    {"load_may_come",
     "report e1 x live 1 l; hold e1 9000; report e2 x live 1; call 0 l idem; "
     "place l e2 none",
     "load(/s/l,5,1) send(0,e2)"},
    {"no_load_comes",
     "report e1 x live 1 l; hold e1 9000; call 0 l idem; "
     "place l e1 memory_full",
     "load(/s/l,5,1) refuse(0,no_target,not_run) after:9"},
    {"all_replicas_are_held_off",
     "report e1 x live 1 a; hold e1 9000; call 0 a idem",
     "load(/s/a,5,1) refuse(0,no_target,not_run) after:9"},
    {"claim_is_released",
     "report p1 x live 1 p; hold p1 9000; call 0 p once; decide 0 none",
     "claim(0) release(0) refuse(0,no_target,not_run) after:9"},
    {"stream_resumes_elsewhere",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "hold e1 9000; result 0 broken 4",
     "send(0,e1) send(0,e2 elsewhere:4)"},
    {"stream_waits_for_the_only_engine_that_can",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; partial 0; "
     "hold e1 9000; result 0 broken 4; +8999; call 1 off idem; +1",
     "send(0,e1) refuse(1,disabled,not_run) send(0,e1 here:4)"},
    {"stream_is_kept",
     "report e1 x live 1 a; call 0 a sse; hold e1 29000; result 0 broken 4; "
     "+28999; report e1 x live 1 a; +1",
     "send(0,e1) load(/s/a,5,1) send(0,e1 elsewhere:4)"},
    {"target_of_no_attempt", "hold e9 1000", ""},
};

/* Guards against a request that is queued at a target that leaves, or resumed
 * there. */
static const struct script_case leaving_cases[] = {
    {"queued_goes_elsewhere",
     "report e1 x live 1 a; call 0 a idem; call 1 a idem; call 2 a idem; "
     "report e1 x leaving 1 a; report e2 y live 1 a; result 0 ok",
     "send(0,e1) send(1,e1) load(/s/a,5,1) send(2,e2)"},
    {"retry_goes_elsewhere",
     "report e1 x live 1 a; call 0 a idem; report e1 x leaving 1 a; "
     "result 0 busy; +50; report e2 y live 1 a",
     "send(0,e1) load(/s/a,5,1) send(0,e2)"},
    {"resume_goes_elsewhere",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "report e1 x leaving 1 a; result 0 broken 4",
     "send(0,e1) send(0,e2 elsewhere:4)"},
    {"resume_that_no_other_engine_can",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; partial 0; "
     "report e1 x leaving 1 a; result 0 broken 4",
     "send(0,e1) send(0,e1 here:4)"},
    {"what_runs_there_ends_there",
     "report e1 x live 1 a; call 0 a sse; report e1 x leaving 1 a; +4000; "
     "result 0 ok 4",
     "send(0,e1)"},
};

/* Guards against callers that return to a target all at once, and against one
 * that gets fewer for longer than HOLDOFF_RETURN_MS. A request starts as soon
 * as it is allowed, from @first_ms after the end on; @active says whether the
 * target is still getting its places back after them. */
struct return_case {
    const char *name;
    uint32_t places;
    int64_t first_ms;
    int64_t starts_ms[5];
    bool active;
};

static const struct return_case return_cases[] = {
    {"no_place", 0, 0, {0, 0, 0, 0, 0}, false},
    {"one", 1, 0, {0, 0, 0, 0, 0}, false},
    {"four", 4, 0, {0, 250, 500, 750, 750}, false},
    {"many", 100, 0, {0, 10, 20, 30, 40}, true},
    {"late", 4, 600, {600, 600, 600, 750, 750}, false},
    {"many_after_the_return",
     100,
     1000,
     {1000, 1000, 1000, 1000, 1000},
     false},
    {"after_the_return", 4, 1000, {1000, 1000, 1000, 1000, 1000}, false},
};

static void
test_return(gconstpointer data)
{
    const struct return_case *c = data;
    struct holdoff holdoff = {0};
    int64_t end_ms = START_MS + 700;
    int64_t now_ms = end_ms + c->first_ms;

    g_assert_cmpint(holdoff_allows_ms(&holdoff), ==, 0);
    holdoff_begin(&holdoff, 700, c->places, START_MS);
    for (size_t i = 0; i < G_N_ELEMENTS(c->starts_ms); i++) {
        now_ms = MAX(now_ms, holdoff_allows_ms(&holdoff));
        g_assert_cmpint(now_ms - end_ms, ==, c->starts_ms[i]);
        holdoff_count_start(&holdoff, now_ms);
    }
    g_assert_true(holdoff.active == c->active);
}

/* Guards against a belief about a target whose end is not logged and counted:
 * where all places are used again, and where the list drops the target. */
struct holdoff_end_case {
    const char *name;
    const char *script;
    uint64_t ended;
};

static const struct holdoff_end_case holdoff_end_cases[] = {
    {"runs", "report p1 x live 1 p; hold p1 100; +99", 0},
    {"time", "report p1 x live 1 p; hold p1 100; +100; call 0 p idem", 1},
    {"list", "report p1 x live 1 p; hold p1 100; report p1 x gone 1 p", 1},
    {"not_held_off", "report p1 x live 1 p; report p1 x gone 1 p", 0},
};

static void
test_holdoff_end(gconstpointer data)
{
    const struct holdoff_end_case *c = data;
    static struct fixture fixture;
    uint64_t before = counter_read(CTR_HOLDOFF_ENDED);
    char **commands = g_strsplit(c->script, "; ", -1);

    fixture_init(&fixture);
    for (int i = 0; commands[i] != NULL; i++) {
        run_command(&fixture, commands[i]);
    }
    g_assert_cmpuint(counter_read(CTR_HOLDOFF_ENDED) - before, ==, c->ended);
    g_strfreev(commands);
    fixture_clear(&fixture);
}

/* Guards against an attempt without a claim, a second attempt of a claimed
 * call that may have run, and a claim that is kept or released wrongly. */
static const struct script_case claim_cases[] = {
    {"granted_then_sent",
     "report e1 x live 1 a; call 0 a once; decide 0 none; result 0 ok",
     "claim(0) send(0,e1)"},
    {"duplicate",
     "report e1 x live 1 a; call 0 a once; decide 0 duplicate_request",
     "claim(0) refuse(0,duplicate_request,unknown)"},
    {"requested_again_until_the_deadline",
     "report e1 x live 1 a; call 0 a once 5 1200; "
     "decide 0 claim_unavailable; +1200",
     "claim(0) claim(0) claim(0) refuse(0,claim_unavailable,not_run)"},
    {"late_grant_is_released",
     "report e1 x live 1 a; call 0 a once 5 300; +300; decide 0 none",
     "claim(0) refuse(0,claim_unavailable,not_run) release(0)"},
    {"late_duplicate_is_not_released",
     "report e1 x live 1 a; call 0 a once 5 300; +300; "
     "decide 0 duplicate_request",
     "claim(0) refuse(0,claim_unavailable,not_run)"},
    {"second_grant_sends_nothing",
     "report e1 x live 1 a; call 0 a once; decide 0 none; decide 0 none",
     "claim(0) send(0,e1)"},
    {"same_claim_after_not_sent",
     "report e1 x live 1 a; call 0 a once; decide 0 none; "
     "result 0 not_sent; +1000; result 0 ok",
     "claim(0) send(0,e1) load(/s/a,5,1) send(0,e1)"},
    {"same_claim_after_not_loaded",
     "report e1 x live 1 a; call 0 a once; decide 0 none; "
     "result 0 not_loaded; place a e1 none",
     "claim(0) send(0,e1) load(/s/a,5,1) send(0,e1)"},
    {"broken_keeps_the_claim",
     "report e1 x live 1 a; call 0 a once; decide 0 none; result 0 broken",
     "claim(0) send(0,e1) refuse(0,target_failed,unknown)"},
    {"timeout_keeps_the_claim",
     "report e1 x live 1 a; call 0 a once; decide 0 none; result 0 timeout",
     "claim(0) send(0,e1) refuse(0,timeout,unknown)"},
    {"not_run_releases_the_claim",
     "report e1 x live 1 a; call 0 a once; decide 0 none; result 0 busy; "
     "+50; result 0 busy; +100; result 0 busy",
     "claim(0) send(0,e1) send(0,e1) send(0,e1) release(0) "
     "refuse(0,no_target,not_run)"},
    {"deadline_releases_the_claim", "call 0 a once 5 300; decide 0 none; +300",
     "claim(0) load(/s/a,5,1) release(0) refuse(0,deadline,not_run)"},
};

/* Guards against a request that crashes a third target, and against strikes
 * for a target that still runs. */
static const struct script_case strike_cases[] = {
    {"at_most_two_targets",
     THREE_TARGETS "call 0 a idem; result 0 broken; result 0 broken; +500; "
                   "report e1 x down 1 a; report e2 x live 2 a; +200",
     "send(0,e1) send(0,e2) strike(e1,1) strike(e2,1) "
     "refuse(0,request_crashes_targets,unknown)"},
    {"repeated_by_the_caller",
     THREE_TARGETS "call 0 a idem; result 0 broken; result 0 broken; "
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
    {"silent_targets_are_no_crashes",
     THREE_TARGETS "call 0 a idem; result 0 silent; result 0 silent; +500; "
                   "report e1 x down 1 a; report e2 x down 1 a; +200",
     "send(0,e1) send(0,e2) send(0,e3)"},
    {"stream_of_a_silent_target",
     "report e1 x live 1 a; report e2 y live 1 a; call 0 a sse; "
     "strike 0 e8 1; result 0 silent 4; report e1 x down 1 a; "
     "result 0 silent 0",
     "send(0,e1) send(0,e1 here:4) send(0,e2 elsewhere:4)"},
    {"running_target_clears_suspicion",
     THREE_TARGETS
     "call 0 a idem 5 9000; result 0 broken; result 0 broken; +2900; "
     "report e1 x live 1 a; report e2 x live 1 a; +200; "
     "report e1 x live 1 a; +200",
     "send(0,e1) send(0,e2) send(0,e3)"},
    {"strikes_of_other_instances",
     "report e1 x live 1 a; call 0 a idem; result 0 ok; strike 0 e8 1; "
     "strike 0 e8 1; same 1 0; call 1 a idem; result 1 ok; strike 0 e9 1; "
     "same 2 0; call 2 a idem",
     "send(0,e1) send(1,e1) refuse(2,request_crashes_targets,unknown)"},
};

/* Guards against retries that multiply the load while targets fail. */
struct budget_case {
    const char *name;
    int requests;
    int retries_allowed;
};

static const struct budget_case budget_cases[] = {
    {"minimum", 0, 32},
    {"below_minimum", 329, 32},
    {"ten_percent", 400, 40},
};

static void
test_retry_budget(gconstpointer data)
{
    const struct budget_case *c = data;
    struct retry_budget budget = {0};
    int64_t now_ms = START_MS;
    int allowed = 0;

    for (int i = 0; i < c->requests; i++) {
        retry_budget_add_request(&budget, now_ms + i * 9000 / c->requests);
    }
    now_ms += 9000;
    while (retry_budget_allows(&budget, now_ms) && allowed < 1000) {
        retry_budget_add_retry(&budget, now_ms);
        allowed++;
    }
    g_assert_cmpint(allowed, ==, c->retries_allowed);
    g_assert_true(retry_budget_allows(&budget, now_ms + 10000));
}

/* Guards against the outcome "not run" for a call that is refused because of
 * the retry budget after its connection broke. */
static void
test_retry_budget_outcome(void)
{
    static struct fixture fixture;
    char command[64];

    fixture_init(&fixture);
    run_command(&fixture, "spend 29");
    run_command(&fixture, "report e1 x live 1 w");
    run_command(&fixture, "report e2 x live 1 w");
    for (int i = 0; i < 4; i++) {
        snprintf(command, sizeof(command), "call %d w idem", i);
        run_command(&fixture, command);
    }
    for (int i = 0; i < 4; i++) {
        snprintf(command, sizeof(command), "result %d %s", i,
                 i == 3 ? "broken" : "busy");
        run_command(&fixture, command);
        trace_refusals(&fixture);
    }
    g_assert_nonnull(
        strstr(fixture.trace->str, "refuse(3,retry_budget,unknown)"));
    fixture_clear(&fixture);
}

/* Guards against unloading a leaf in use as idle, and against a use report for
 * each of thousands of requests. */
static void
test_use_reports(void)
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
    static struct fixture fixture;

    fixture_init(&fixture);
    for (size_t i = 0; i < G_N_ELEMENTS(script); i++) {
        run_command(&fixture, script[i]);
    }
    g_assert_cmpint(fixture.use_reports, ==, 2);
    fixture_clear(&fixture);
}

/* Guards against losing a timer when others are moved or removed. */
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

/* Guards against unbounded growth of the table of strikes. */
static void
test_strikes_bounded(void)
{
    struct strikes *strikes = strikes_new();

    for (uint64_t i = 1; i <= STRIKE_RECORDS_MAX + 10; i++) {
        strikes_add(strikes, i, 1, 1, (int64_t)i);
        strikes_add(strikes, i, 2, 1, (int64_t)i);
    }
    g_assert_cmpint(strikes_request_count(strikes), ==, STRIKE_RECORDS_MAX);
    g_assert_cmpint(strikes_check(strikes, 1, 100), ==, STRIKE_ALLOW);
    g_assert_cmpint(strikes_check(strikes, STRIKE_RECORDS_MAX + 10, 100), ==,
                    STRIKE_REFUSE);
    strikes_free(strikes);
}

static bool
post_strike(struct route *route)
{
    return route_post_strike(route, 1, 2, 3, NULL);
}

static bool
post_placement(struct route *route)
{
    struct placement placement = {.leaf = 1};

    return route_post_placement(route, &placement, NULL);
}

static bool
post_report(struct route *route)
{
    struct target_report report = {.id = 1};

    return route_post_report(route, &report, NULL);
}

static bool
post_call(struct route *route)
{
    return route_post_call(route, (struct handle){0, 1}, NULL);
}

/* Guards against a result that finds the ring full, so that its call is never
 * answered: repeated messages and those of others may fill only half of it. */
struct ring_full_case {
    const char *name;
    bool (*post)(struct route *route);
};

static const struct ring_full_case ring_full_cases[] = {
    {"strikes", post_strike},
    {"placements", post_placement},
    {"reports", post_report},
    {"calls", post_call},
};

static void
test_ring_full(gconstpointer data)
{
    const struct ring_full_case *c = data;
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
    CASES("/route/silence", silence_cases, test_script),
    CASES("/route/holdoff", holdoff_cases, test_script),
    CASES("/route/holdoff_end", holdoff_end_cases, test_holdoff_end),
    CASES("/route/leaving", leaving_cases, test_script),
    CASES("/route/return", return_cases, test_return),
    CASES("/route/claim", claim_cases, test_script),
    CASES("/route/strike", strike_cases, test_script),
    CASES("/route/retry_budget", budget_cases, test_retry_budget),
    CASES("/route/ring_full", ring_full_cases, test_ring_full),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/route/retry_budget_outcome", test_retry_budget_outcome);
    g_test_add_func("/route/use_reports", test_use_reports);
    g_test_add_func("/route/heap", test_heap);
    g_test_add_func("/route/strikes_bounded", test_strikes_bounded);
    return g_test_run();
}
