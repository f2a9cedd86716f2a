/* Tests of what follows the store: the feed, and the right to order. */
#include <curl/curl.h>
#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "platform/dat.h"
#include "platform/fns.h"
#include "cases.h"
#include "memstore.h"

#define TARGET(state)                                                         \
    "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\","          \
    "\"slots\":4,\"state\":\"" state "\"}"

/*
 * Guards against a configuration that goes back, entries of other writers that
 * end the feed, and changes that are missed while the store is away or has
 * forgotten its history.
 *
 * Guards as well against news that are lost when another duty's ring is full.
 *
 * Steps: C1 a configuration of version 1, X one that can't be read, T a
 * target, L the same leaving, D the target's entry removed, S an entry with a
 * state that is not known, A the store away, B it is back, F it forgets its
 * history, W rings are full, w they have room, r one round, 0-9 seconds.
 */
struct feed_case {
    const char *name;
    const char *steps;
    const char *told;
};

static const struct feed_case feed_cases[] = {
    {"first_list", "C1Tr", "c1 C l "},
    {"change", "C1rTr", "c1 l C "},
    {"newer_config", "C1rC2r", "c1 l c2 "},
    {"older_config", "C2rC1r", "c2 l "},
    {"unreadable_config", "C1rXrC2r", "c1 l c2 "},
    {"unreadable_target", "C1rSrTr", "c1 l C "},
    {"unreadable_keeps_target", "C1TrSr", "c1 C l "},
    {"leaving", "C1TrLr", "c1 C l C "},
    {"gone", "C1TrDr", "c1 C l G "},
    {"history_lost", "C1TrFrDrr", "c1 C l G "},
    {"gone_in_the_gap", "C1TrDFrr", "c1 C l G "},
    {"away_then_changed", "C1TrArC2Br", "c1 C l c2 "},
    {"lapsed_and_back", "C1Tr1Ar3DBr5Tr", "c1 C l M C "},
    {"lapsed_for_good", "C1Tr1Ar3DBr9r", "c1 C l M G "},
    {"down_at_first", "ArBC1r", "c1 l "},
    {"full_then_config", "C1rWC2rwr", "c1 l c2 "},
    {"full_twice", "C1rWC2rC3rwr", "c1 l c3 "},
    {"full_then_leaving", "C1TrWLrwr", "c1 C l C "},
    {"full_then_gone", "C1TrWDrwr", "c1 C l G "},
    {"full_at_first", "WC1Trwr", "c1 C l "},
    {"full_while_away", "C1TrWLrArwrBr", "c1 C l C "},
};

struct feed_bench {
    struct feed_port port;
    struct memstore memory;
    struct feed feed;
    GString *told;
    int64_t now_ms;
    bool full;
};

static struct feed_bench *
bench_of(struct feed_port *port)
{
    return (struct feed_bench *)port;
}

static bool
told_config(struct feed_port *port, struct gate_config *config)
{
    struct feed_bench *bench = bench_of(port);

    if (!bench->full) {
        g_string_append_printf(bench->told, "c%d ", (int)config->version);
    }
    return !bench->full;
}

static bool
told_change(struct feed_port *port, const struct target_change *change)
{
    static const char *const names[] = {"C ", "M ", "G "};
    struct feed_bench *bench = bench_of(port);

    if (!bench->full) {
        g_string_append(bench->told, names[change->kind]);
    }
    return !bench->full;
}

static bool
told_listed(struct feed_port *port)
{
    struct feed_bench *bench = bench_of(port);

    if (!bench->full) {
        g_string_append(bench->told, "l ");
    }
    return !bench->full;
}

static bool
told_members(struct feed_port *port, const GArray *members)
{
    (void)members;
    return !bench_of(port)->full;
}

static bool
told_holder(struct feed_port *port, const struct holder *holder)
{
    (void)holder;
    return !bench_of(port)->full;
}

static const struct feed_port_ops feed_ops = {
    told_config, told_change, told_listed, told_members, told_holder,
};

static void
put_config(struct feed_bench *bench, int version)
{
    char *text = g_strdup_printf(
        "{\"version\":%d,\"routes\":[],\"services\":[]}", version);

    memstore_put(&bench->memory, "op/config", text, 0);
    g_free(text);
}

static const char *
feed_step(struct feed_bench *bench, const char *step)
{
    static const char key[] = "servers/i-1";
    struct memstore *memory = &bench->memory;

    switch (*step) {
    case 'C':
        put_config(bench, step[1] - '0');
        return step + 2;
    case 'X':
        memstore_put(memory, "op/config", "{\"routes\":[{}]}", 0);
        break;
    case 'T':
        memstore_put(memory, key, TARGET("ready"), 0);
        break;
    case 'L':
        memstore_put(memory, key, TARGET("draining"), 0);
        break;
    case 'S':
        memstore_put(memory, key, TARGET("asleep"), 0);
        break;
    case 'D':
        memstore_delete(memory, key);
        break;
    case 'A':
        memory->down = true;
        break;
    case 'B':
        memory->down = false;
        break;
    case 'F':
        memory->forgotten = memory->revision;
        break;
    case 'W':
        bench->full = true;
        break;
    case 'w':
        bench->full = false;
        break;
    case 'r':
        feed_round(&bench->feed, bench->now_ms);
        break;
    default:
        g_assert_true(g_ascii_isdigit(*step));
        bench->now_ms = (*step - '0') * 1000;
        break;
    }
    return step + 1;
}

static void
test_feed(gconstpointer data)
{
    const struct feed_case *c = data;
    struct feed_bench bench = {.port = {&feed_ops}};
    const char *step = c->steps;
    struct err err = {0};

    memstore_init(&bench.memory);
    bench.told = g_string_new(NULL);
    g_assert_true(feed_init(&bench.feed, &bench.memory.store, &platform_decode,
                            &bench.port, &err));
    while (*step != '\0') {
        step = feed_step(&bench, step);
    }
    g_assert_cmpstr(bench.told->str, ==, c->told);
    feed_clear(&bench.feed);
    memstore_clear(&bench.memory);
    g_string_free(bench.told, TRUE);
}

/* Guards against calls to the store that grow with the instances, and against
 * changes that are seen late. */
struct gather_case {
    const char *name;
    int members;
    int64_t wait_ms;
};

static const struct gather_case gather_cases[] = {
    {"alone", 1, 400},
    {"some", 5, 400},
    {"dozens", 33, 825},
    {"hundreds", 340, 1000},
};

static void
test_gather(gconstpointer data)
{
    const struct gather_case *c = data;
    struct feed_bench bench = {.port = {&feed_ops}};
    struct err err = {0};

    memstore_init(&bench.memory);
    bench.told = g_string_new(NULL);
    g_assert_true(feed_init(&bench.feed, &bench.memory.store, &platform_decode,
                            &bench.port, &err));
    for (int i = 0; i < c->members; i++) {
        struct gate_member member = {.id = (uint64_t)i + 1, .started_ms = 1};
        char *key = g_strdup_printf("%sm%d", member_prefix, i);
        char *text;

        g_snprintf(member.name, sizeof(member.name), "m%d", i);
        g_strlcpy(member.front_address, "127.0.0.1:1", ADDRESS_MAX_BYTES);
        text = member_format(&member);
        memstore_put(&bench.memory, key, text, 0);
        g_free(text);
        g_free(key);
    }
    feed_round(&bench.feed, 1);
    g_assert_cmpint(feed_round(&bench.feed, 2), ==, c->wait_ms);
    feed_clear(&bench.feed);
    memstore_clear(&bench.memory);
    g_string_free(bench.told, TRUE);
}

/*
 * Guards against two holders at the same time, against none for long, and
 * against a term that ends too late for an order's call to end within the
 * lease.
 *
 * Two instances, a and b, share a store. Each step takes 100 ms, in which each
 * of them has a round unless it is frozen. Steps: "." nothing else, "A" or "B"
 * a or b can't reach the store from now on, "a" or "b" it can again, "F" a is
 * frozen, "f" it wakes, "L" a leaves, "x" the next write's answer is lost, "y"
 * the next write is not done, "n" the store is down, "u" it is back.
 */
struct tenure_case {
    const char *name;
    const char *steps;
    const char *holder; /* at the end */
};

#define SECOND ".........."

static const struct tenure_case tenure_cases[] = {
    {"one_takes_it", SECOND SECOND, "one"},
    {"keeps_it", SECOND SECOND SECOND SECOND SECOND SECOND, "one"},
    {"answer_lost", "x" SECOND SECOND SECOND, "one"},
    {"not_done", "y" SECOND SECOND SECOND, "one"},
    {"holder_cut_off",
     SECOND "AB" SECOND "b" SECOND SECOND SECOND SECOND SECOND SECOND, "b"},
    {"holder_frozen",
     SECOND "F" SECOND SECOND SECOND SECOND SECOND "f" SECOND SECOND, "one"},
    {"holder_leaves", SECOND SECOND "L" SECOND SECOND, "b"},
    {"store_down",
     SECOND "n" SECOND SECOND SECOND SECOND SECOND
            "u" SECOND SECOND SECOND SECOND,
     "one"},
    {"lost_twice", "xx" SECOND SECOND SECOND, "one"},
};

struct instance {
    struct tenure tenure;
    struct term term;
    struct gate_settings settings;
    bool cut;
    bool frozen;
    int64_t next_ms;
};

/* Both instances use one store; a cut one is told that it is down. */
static void
run_instance(struct memstore *memory, struct instance *instance,
             int64_t now_ms)
{
    struct holder holder = {.fence = 0};
    struct store_items items = {0};
    struct err err = {0};
    bool down = memory->down;

    if (instance->frozen) {
        return;
    }
    memory->down = down || instance->cut;
    if (instance->tenure.store->ops->list(instance->tenure.store, "", "",
                                          &items, &err)) {
        for (int i = 0; i < items.count; i++) {
            if (strcmp(items.items[i].key, holder_key) == 0) {
                g_strlcpy(holder.name, items.items[i].value,
                          sizeof(holder.name));
                holder.fence = items.items[i].create_revision;
            }
        }
        tenure_learn(&instance->tenure, &holder, now_ms);
        store_items_clear(&items);
    }
    if (now_ms >= instance->next_ms) {
        int64_t wait_ms = tenure_round(&instance->tenure, now_ms);

        instance->next_ms = now_ms + (wait_ms > 0 ? wait_ms : 100000);
    }
    memory->down = down;
}

static void
tenure_step(struct memstore *memory, struct instance *a, struct instance *b,
            char step)
{
    switch (step) {
    case 'A':
        a->cut = true;
        break;
    case 'a':
        a->cut = false;
        break;
    case 'B':
        b->cut = true;
        break;
    case 'b':
        b->cut = false;
        break;
    case 'F':
        a->frozen = true;
        break;
    case 'f':
        a->frozen = false;
        break;
    case 'L':
        tenure_leave(&a->tenure);
        break;
    case 'x':
        memory->lose++;
        break;
    case 'y':
        memory->refuse++;
        break;
    case 'n':
        memory->down = true;
        break;
    case 'u':
        memory->down = false;
        break;
    default:
        break;
    }
}

static void
start_instance(struct memstore *memory, struct instance *instance,
               const char *name)
{
    struct err err = {0};

    memset(instance, 0, sizeof(*instance));
    g_strlcpy(instance->settings.name, name, sizeof(instance->settings.name));
    g_strlcpy(instance->settings.front_address, "127.0.0.1:1",
              ADDRESS_MAX_BYTES);
    g_assert_true(tenure_init(&instance->tenure, &memory->store,
                              &instance->settings, &instance->term, &err));
}

static void
test_tenure(gconstpointer data)
{
    const struct tenure_case *c = data;
    struct memstore memory;
    struct instance a;
    struct instance b;
    int64_t now_ms = 0;
    bool a_holds = false;
    bool b_holds = false;

    memstore_init(&memory);
    start_instance(&memory, &a, "a");
    start_instance(&memory, &b, "b");
    for (const char *step = c->steps; *step != '\0'; step++) {
        tenure_step(&memory, &a, &b, *step);
        now_ms += 100;
        memstore_tick(&memory, now_ms);
        run_instance(&memory, &a, now_ms);
        run_instance(&memory, &b, now_ms);
        a_holds = term_holds(&a.term, now_ms, NULL);
        b_holds = term_holds(&b.term, now_ms, NULL);
        g_assert_false(a_holds && b_holds);
        if (a_holds || b_holds) {
            g_assert_cmpint(memstore_left_ms(&memory, holder_key), >=,
                            ORDER_TIMEOUT_MS);
        }
    }
    g_assert_true(a_holds || b_holds);
    if (strcmp(c->holder, "b") == 0) {
        g_assert_true(b_holds);
    }
    tenure_clear(&a.tenure);
    tenure_clear(&b.tenure);
    memstore_clear(&memory);
}

int
main(int argc, char **argv)
{
    static const struct cases groups[] = {
        CASES("/follow/feed", feed_cases, test_feed),
        CASES("/follow/gather", gather_cases, test_gather),
        CASES("/follow/tenure", tenure_cases, test_tenure),
    };

    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    return g_test_run();
}
