/* Tests of the gate's view of the system: routes, targets and item sets. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "cases.h"

/* Guards against a request that is sent to the service of another route. */
struct match_case {
    const char *name;
    const char *host;
    const char *path;
    const char *route;
};

static const struct match_case match_cases[] = {
    {"exact", "a.example", "/x/", "x"},
    {"longest", "a.example", "/x/y/z", "xy"},
    {"shorter", "a.example", "/x/yz", "x"},
    {"host_case", "A.Example", "/x/1", "x"},
    {"other_host", "b.example", "/x/1", "bx"},
    {"no_prefix", "a.example", "/z/", NULL},
    {"no_slash", "a.example", "/x", NULL},
    {"no_host", "c.example", "/x/", NULL},
};

static void
set_route(struct gate_route *route, const char *name, const char *host,
          const char *prefix)
{
    route->name = g_strdup(name);
    route->host = g_strdup(host);
    route->prefix = g_strdup(prefix);
    route->prefix_bytes = strlen(prefix);
}

static struct gate_config *
three_routes(void)
{
    struct gate_config *config = gate_config_new(3, 0);

    config->route_count = 3;
    set_route(&config->routes[0], "x", "a.example", "/x/");
    set_route(&config->routes[1], "bx", "b.example", "/x/");
    set_route(&config->routes[2], "xy", "a.example", "/x/y/");
    gate_config_sort_routes(config);
    return config;
}

static void
test_match(gconstpointer data)
{
    const struct match_case *c = data;
    struct gate_config *config = three_routes();
    const struct gate_route *route =
        gate_config_match_route(config, c->host, c->path);

    g_assert_cmpstr(route != NULL ? route->name : NULL, ==, c->route);
    gate_config_unref(config);
}

/* Guards against a service that gets more requests of a route than its weight
 * allows. */
struct share_case {
    const char *name;
    int weights[3];
    uint64_t random;
    int service;
};

static const struct share_case share_cases[] = {
    {"first", {90, 10, 0}, 0, 0},
    {"last_of_first", {90, 10, 0}, 89, 0},
    {"second", {90, 10, 0}, 90, 1},
    {"wraps", {90, 10, 0}, 100, 0},
    {"none_has_weight", {0, 0, 0}, 5, -1},
    {"skips_zero", {0, 1, 1}, 0, 1},
};

static void
test_share(gconstpointer data)
{
    const struct share_case *c = data;
    struct gate_share shares[3];
    struct gate_route route = {.shares = shares, .share_count = 3};

    for (int i = 0; i < 3; i++) {
        route.shares[i].service = i;
        route.shares[i].weight = c->weights[i];
    }
    g_assert_cmpint(gate_route_pick_service(&route, c->random), ==,
                    c->service);
}

/*
 * Guards against requests to a target that drains or has left, against the
 * loss of all targets when their entries expire while the store is down, and
 * against failed calls of this instance that are taken for an outage.
 *
 * Steps: p put, n put of an entry that was created anew, l put of a draining
 * target, d deleted; P, N and D the same of three other targets, e
 * the first of these is deleted; a a call
 * failed, b a call succeeded, h another instance was answered all the time, s
 * it was answered last at 1 s, r it is answered again, t drop missing targets,
 * [ and ] begin and end of a list, 0-9 time in seconds. Deletions in a row
 * come in one response. During an outage calls fail each 2.3 s at least.
 * Changes, of the first target only: C changed, M missing, G gone.
 */
struct registry_case {
    const char *name;
    const char *steps;
    const char *expected;
};

static const struct registry_case registry_cases[] = {
    {"new", "0p", "C"},
    {"unchanged", "0p1p", "C"},
    {"gone_immediately", "0p1d", "CG"},
    {"draining_then_gone", "0p1l2d", "CCG"},
    {"expired_and_back", "0p1a4a5b5d6p", "CMC"},
    {"expired_for_good", "0p1a4a5b5d8t", "CMG"},
    {"expired_within_grace", "0p1a4a5b5d6t", "CM"},
    {"grace_is_over", "0p1a2b6d", "CG"},
    {"expired_unlisted", "0p1a4a5b5[]6p", "CMC"},
    {"unlisted_without_outage", "0p1[]", "CG"},
    {"draining_has_no_grace", "0l1a4a5b5d", "CG"},
    {"nothing_dropped_while_down", "0p1a4a5b5d6a9t", "CM"},
    {"left_while_cut_off", "0pP1a4a5bd", "CG"},
    {"left_after_cut", "0pP1a4a5b6d", "CG"},
    {"left_while_cut_off_listed", "0pP1a4a5b[P]", "CG"},
    {"one_call_failed", "0p1a2bd", "CG"},
    {"half_vanished", "0pP1a4a5bed", "CG"},
    {"outage", "0pP1a4a5bDd6p", "CMC"},
    {"outage_listed", "0pP1a4a5b[]6p", "CMC"},
    {"others_back_before", "0pP1a4a5b[N]6p", "CMC"},
    {"outage_draining_target", "0plP1a4a5bDd", "CCG"},
    {"left_after_outage", "0pP1a4a5bD6pd", "CG"},
    {"back_then_left", "0pP1a4a5bDd6nd", "CMCG"},
    {"created_anew_then_left", "0pP1a4a5bDnd", "CG"},
    {"calls_fail_on", "0pP1a4a5bDd6a7b8t", "CMG"},
    {"others_heard", "0pP1a4ah5bDd", "CG"},
    {"others_heard_listed", "0pP1a4ah5b[]", "CG"},
    {"others_silent", "0pP1as4as5bDd6p", "CMC"},
    {"others_back_before_heard", "0pP1as4asr5bDd6p", "CMC"},
    {"others_heard_before", "0pP1ah4a5bDd6p", "CMC"},
    {"back_since_last_failure", "0pP1a3a5bDd6t", "CMG"},
    {"failed_long_ago", "0pP1a5bDd", "CG"},
    {"second_outage", "0pP1a4a5bDd6a9bt", "CMG"},
};

struct recorder_port {
    struct registry_port port;
    GString *changes;
};

static void
record_change(struct registry_port *port, const struct target_change *change)
{
    static const char letters[] = {'C', 'M', 'G'};

    if (strcmp(change->info.id, "i-1") == 0) {
        g_string_append_c(((struct recorder_port *)port)->changes,
                          letters[change->kind]);
    }
}

static const struct registry_port_ops recorder_ops = {record_change};

enum { OTHERS = 3, FIRST_CREATED = 1, CREATED_ANEW = 2, HEARTBEAT_MS = 1200 };

static void
target_step(struct registry *registry, const char *id, char step,
            int64_t now_ms)
{
    struct target_info info;

    memset(&info, 0, sizeof(info));
    g_strlcpy(info.id, id, sizeof(info.id));
    info.draining = step == 'l';
    if (step == 'd') {
        registry_delete(registry, id, now_ms);
    }
    else {
        registry_put(registry, &info,
                     step == 'n' ? CREATED_ANEW : FIRST_CREATED, now_ms);
    }
}

static void
note_others(struct registry *registry, int64_t since_ms, int64_t heard_ms,
            int64_t now_ms)
{
    struct store_contact contact = {since_ms, heard_ms};

    registry_note_others(registry, &contact, now_ms);
}

static void
registry_step(struct registry *registry, char step, int64_t now_ms)
{
    switch (step) {
    case 'p':
    case 'n':
    case 'l':
    case 'd':
        target_step(registry, "i-1", step, now_ms);
        break;
    case 'e':
        registry_delete(registry, "o-1", now_ms);
        break;
    case 'P':
    case 'N':
    case 'D':
        for (int i = 0; i < OTHERS; i++) {
            char id[] = {'o', '-', (char)('1' + i), '\0'};

            target_step(registry, id, g_ascii_tolower(step), now_ms);
        }
        break;
    case 'a':
        registry_store_down(registry, now_ms);
        break;
    case 'b':
        registry_store_up(registry, now_ms);
        break;
    case 'h':
        note_others(registry, 0, now_ms, now_ms);
        break;
    case 's':
        note_others(registry, 0, 1000, now_ms);
        break;
    case 'r':
        note_others(registry, now_ms, now_ms, now_ms);
        break;
    case 't':
        registry_drop_missing(registry, now_ms);
        break;
    case '[':
        registry_list_begin(registry);
        break;
    case ']':
        registry_list_end(registry, now_ms);
        break;
    default:
        g_assert_not_reached();
    }
}

static bool
is_deletion(char step)
{
    return step == 'd' || step == 'e' || step == 'D';
}

static void
test_registry(gconstpointer data)
{
    const struct registry_case *c = data;
    struct recorder_port port = {{&recorder_ops}, g_string_new(NULL)};
    struct registry registry;
    int64_t now_ms = 0;

    registry_init(&registry, &port.port, HEARTBEAT_MS);
    for (const char *step = c->steps; *step != '\0'; step++) {
        if (g_ascii_isdigit(*step)) {
            now_ms = (*step - '0') * 1000;
        }
        else {
            registry_step(&registry, *step, now_ms);
        }
        if (is_deletion(step[0]) && !is_deletion(step[1])) {
            registry_settle(&registry, now_ms);
        }
    }
    g_assert_cmpstr(port.changes->str, ==, c->expected);
    registry_clear(&registry);
    g_string_free(port.changes, TRUE);
}

/*
 * Guards against requests to a target that has left, because a write of its
 * entry that was sent before is carried out behind the others; and against one
 * that isn't used again after its entry had expired, or it was started again.
 * The copy from which a store was restored proves no more than such a write.
 *
 * Steps: rSW an entry that says ready, of start S and the Wth write, lSW one
 * that says it stops; d deleted; R the store was restored, [ and ] as above.
 * Changes as above.
 */
struct late_write_case {
    const char *name;
    const char *steps;
    const char *expected;
};

static const struct late_write_case late_write_cases[] = {
    {"behind_draining", "r15 l17 r16", "CC"},
    {"behind_draining_listed", "r15 l17 [r16]", "CCG"},
    {"behind_draining_and_gone", "r15 l17 d r16", "CCG"},
    {"behind_draining_and_gone_listed", "r15 l17 d [r16]", "CCG"},
    {"behind_gone", "r15 d r14", "CG"},
    {"expired_and_back_uncounted", "r15 d r15", "CGC"},
    {"behind_one_that_changed_nothing", "r15 r17 d r16", "CG"},
    {"draining_behind_draining", "r15 l17 l16", "CC"},
    {"draining_behind_gone", "r15 l17 d l16", "CCGC"},
    {"written_on", "r15 r16", "C"},
    {"expired_and_back", "r15 d r16", "CGC"},
    {"started_again", "r15 l17 d r21", "CCGC"},
    {"started_again_under_its_entry", "r15 l17 r21", "CCC"},
    {"started_again_by_an_earlier_clock", "r25 l27 d r11", "CCGC"},
    {"start_not_named", "r05 l07 r06", "CCC"},
    {"copy_of_gone", "r15 d R[r15]", "CG"},
    {"older_copy_of_gone", "r17 d R[r15]", "CG"},
    {"copy_of_gone_uncounted", "r10 d R[r10]", "CG"},
    {"copy_of_gone_then_written", "r15 d R[r15] r16", "CGC"},
    {"copy_of_gone_then_written_uncounted", "r10 d R[r10] r10", "CGC"},
    {"copy_of_gone_then_deleted", "r15 d R[r15] d", "CG"},
    {"copy_written_since", "r15 d R[r16]", "CGC"},
    {"copy_of_the_next_start", "r15 d R[r21]", "CGC"},
    {"copy_of_the_start_before", "r25 d R[r18]", "CG"},
    {"copy_of_one_that_stopped", "r15 l17 d R[r16]", "CCG"},
    {"copy_of_one_that_stops", "r15 l17 d R[l17]", "CCGC"},
    {"copy_of_one_in_use", "r17 R[r15]", "C"},
    {"copy_of_start_not_named", "r05 d R[r05]", "CGC"},
    {"late_write_behind_copy", "r15 d R[r15] r14", "CG"},
};

static void
late_write_step(struct registry *registry, const char *step)
{
    struct target_info info;

    if (*step == 'd') {
        registry_delete(registry, "i-1", 0);
        registry_settle(registry, 0);
        return;
    }
    memset(&info, 0, sizeof(info));
    g_strlcpy(info.id, "i-1", sizeof(info.id));
    info.draining = *step == 'l';
    info.started_ms = step[1] - '0';
    info.entry_writes = step[2] - '0';
    registry_put(registry, &info, FIRST_CREATED, 0);
}

static void
test_late_write(gconstpointer data)
{
    const struct late_write_case *c = data;
    struct recorder_port port = {{&recorder_ops}, g_string_new(NULL)};
    struct registry registry;

    registry_init(&registry, &port.port, HEARTBEAT_MS);
    for (const char *step = c->steps; *step != '\0'; step++) {
        if (*step == '[') {
            registry_list_begin(&registry);
        }
        else if (*step == ']') {
            registry_list_end(&registry, 0);
        }
        else if (*step == 'R') {
            registry_restored(&registry, 0);
        }
        else if (g_ascii_isalpha(*step)) {
            late_write_step(&registry, step);
        }
    }
    g_assert_cmpstr(port.changes->str, ==, c->expected);
    registry_clear(&registry);
    g_string_free(port.changes, TRUE);
}

/*
 * Guards against requests to a target that has left, later than the
 * deployments' bounds, by an instance whose path to the store was cut: a
 * target is gone by CONTACT_MS after the path has healed, or DRAIN_MS after
 * its entry was removed. The path heals at each moment of a call that fails.
 */
struct heal_case {
    const char *name;
    int failing_ms; /* how long a call lasts that fails */
    int left_ms;    /* after the path has healed */
    int others;     /* that leave during the cut */
    bool others_heard;
};

static const struct heal_case heal_cases[] = {
    {"one_left", 1000, 200, 0, false},
    {"most_left", 1000, 200, 2, false},
    {"all_left", 1000, 200, 3, false},
    {"left_just_before", 1000, -100, 3, false},
    {"left_at_the_cut", 1000, -5000, 3, false},
    {"left_later", 1000, 1000, 3, false},
    {"long_calls", 1500, 200, 3, false},
    {"refused_calls", 1, 200, 3, false},
    {"all_left_others_heard", 1500, 200, 3, true},
};

enum {
    CONTACT_MS = 3000,
    DRAIN_MS = 2000,
    CUT_MS = 3000,
    BACK_OFF_MS = 800,
    CALL_MS = 5,
    POLL_MS = 400,
    HEAL_FIRST_MS = CUT_MS + 5000,
    HEAL_LAST_MS = CUT_MS + 8000,
    HEAL_STEP_MS = 50,
};

struct cut_path {
    const struct heal_case *c;
    struct registry registry;
    int64_t heal_ms;
    int64_t call_ms; /* begin of the present call or the next one */
    int64_t end_ms;  /* its end */
    bool removed;    /* the instance has read that the first target has left */
};

static void
begin_call(struct cut_path *path, int64_t begin_ms)
{
    bool fails = begin_ms >= CUT_MS && begin_ms < path->heal_ms;

    path->call_ms = begin_ms;
    path->end_ms = begin_ms + (fails ? path->c->failing_ms : CALL_MS);
}

static void
fail_call(struct cut_path *path)
{
    registry_store_down(&path->registry, path->call_ms);
    if (path->c->others_heard) {
        note_others(&path->registry, 0, path->end_ms - POLL_MS, path->end_ms);
    }
    begin_call(path, path->end_ms + BACK_OFF_MS);
}

static void
read_changes(struct cut_path *path, int64_t now_ms)
{
    registry_store_up(&path->registry, now_ms);
    if (now_ms >= path->heal_ms) {
        for (int i = 0; i < path->c->others; i++) {
            char id[] = {'o', '-', (char)('1' + i), '\0'};

            registry_delete(&path->registry, id, now_ms);
        }
    }
    if (now_ms >= path->heal_ms + path->c->left_ms) {
        registry_delete(&path->registry, "i-1", now_ms);
    }
    registry_settle(&path->registry, now_ms);
    begin_call(path, now_ms + POLL_MS);
}

static int64_t
play_cut(struct cut_path *path, const GString *changes)
{
    int64_t now_ms = 0;

    registry_step(&path->registry, 'p', now_ms);
    registry_step(&path->registry, 'P', now_ms);
    begin_call(path, now_ms);
    while (strchr(changes->str, 'G') == NULL) {
        now_ms++;
        if (now_ms == path->end_ms) {
            if (path->end_ms - path->call_ms != CALL_MS) {
                fail_call(path);
            }
            else {
                read_changes(path, now_ms);
            }
        }
        registry_drop_missing(&path->registry, now_ms);
    }
    return now_ms;
}

static void
test_heal(gconstpointer data)
{
    const struct heal_case *c = data;

    for (int64_t heal_ms = HEAL_FIRST_MS; heal_ms < HEAL_LAST_MS;
         heal_ms += HEAL_STEP_MS) {
        struct recorder_port port = {{&recorder_ops}, g_string_new(NULL)};
        struct cut_path path = {.c = c, .heal_ms = heal_ms};
        int64_t gone_ms;

        registry_init(&path.registry, &port.port, HEARTBEAT_MS);
        gone_ms = play_cut(&path, port.changes);
        g_assert_cmpint(gone_ms, <=,
                        heal_ms + MAX(CONTACT_MS, c->left_ms + DRAIN_MS));
        registry_clear(&path.registry);
        g_string_free(port.changes, TRUE);
    }
}

/* Guards against adapters that stay in a set after their model is removed. */
struct items_case {
    const char *name;
    const char *removed;
    int count_after;
};

static const struct items_case items_cases[] = {
    {"model_with_adapters", "m", 1},
    {"adapter", "m/a1", 3},
    {"other", "n", 3},
    {"absent", "o", 4},
};

static void
test_items(gconstpointer data)
{
    static const char *const names[] = {"m", "m/a1", "m/a2", "n"};
    const struct items_case *c = data;
    struct item_set items = {.count = 0};

    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_assert_true(item_set_add(&items, g_quark_from_string(names[i])));
    }
    item_set_remove(&items, g_quark_from_string(c->removed));
    g_assert_cmpint(items.count, ==, c->count_after);
}

/* Guards against an adapter that is taken for a model, which is loaded and
 * unloaded by itself. */
struct model_case {
    const char *name;
    const char *item;
    const char *model;
};

#define TEXT_64                                                               \
    "1234567890123456789012345678901234567890123456789012345678901234"

static const struct model_case model_cases[] = {
    {"model", "m", "m"},
    {"adapter", "m/a1", "m"},
    {"adapter_of_long_name", TEXT_64 TEXT_64 "/a1", TEXT_64 TEXT_64},
};

static void
test_model(gconstpointer data)
{
    const struct model_case *c = data;
    uint32_t model = g_quark_from_string(c->model);

    g_assert_cmpint(item_model(g_quark_from_string(c->item)), ==, model);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/view/match", match_cases, test_match),
        CASES("/view/share", share_cases, test_share),
        CASES("/view/registry", registry_cases, test_registry),
        CASES("/view/late_write", late_write_cases, test_late_write),
        CASES("/view/heal", heal_cases, test_heal),
        CASES("/view/item_set", items_cases, test_items),
        CASES("/view/model", model_cases, test_model),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
