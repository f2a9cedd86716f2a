/* Tests of rings, tables, errors, rendezvous hashing and supervisors. */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "cases.h"

/* Guards against a full or closed ring that drops messages without an error.
 */
struct ring_case {
    const char *name;
    uint32_t capacity;
    int pushes;
    bool close_first;
    enum err_kind last_error;
    uint32_t expected_count;
};

static const struct ring_case ring_cases[] = {
    {"below_capacity", 4, 3, false, ERR_NONE, 3},
    {"at_capacity", 4, 4, false, ERR_NONE, 4},
    {"above_capacity", 4, 5, false, ERR_RING_FULL, 4},
    {"closed", 4, 1, true, ERR_STOPPED, 0},
};

static void
test_ring_push(gconstpointer data)
{
    const struct ring_case *c = data;
    struct ring ring;
    struct err err = {0};

    g_assert_true(ring_init(&ring, c->capacity, sizeof(int), &err));
    if (c->close_first) {
        ring_close(&ring);
    }
    for (int i = 0; i < c->pushes; i++) {
        err_clear(&err);
        ring_push(&ring, &i, &err);
    }
    g_assert_cmpint(err.kind, ==, c->last_error);
    g_assert_cmpuint(ring_count(&ring), ==, c->expected_count);
    for (uint32_t i = 0; i < c->expected_count; i++) {
        int message = -1;

        g_assert_cmpint(ring_pop(&ring, &message, 0), ==, RING_OK);
        g_assert_cmpint(message, ==, (int)i);
    }
    ring_free(&ring);
}

/* Guards against a lost wake-up between a pushing and a popping thread. */
enum { TRANSFERS = 20000, CREDITS = 64 };

/* Each message to rings[0] needs a credit from rings[1], so that no push finds
 * a full ring. */
static void *
push_all(void *argument)
{
    struct ring *rings = argument;
    int credit;

    for (int i = 0; i < TRANSFERS; i++) {
        g_assert_cmpint(ring_pop(&rings[1], &credit, -1), ==, RING_OK);
        g_assert_true(ring_push(&rings[0], &i, NULL));
    }
    ring_close(&rings[0]);
    return NULL;
}

static void
test_ring_threads(void)
{
    struct ring rings[2];
    pthread_t thread;
    int message;
    int expected = 0;

    g_assert_true(ring_init(&rings[0], CREDITS, sizeof(int), NULL));
    g_assert_true(ring_init(&rings[1], CREDITS, sizeof(int), NULL));
    for (int i = 0; i < CREDITS; i++) {
        ring_push(&rings[1], &i, NULL);
    }
    pthread_create(&thread, NULL, push_all, rings);
    while (ring_pop(&rings[0], &message, -1) == RING_OK) {
        g_assert_cmpint(message, ==, expected);
        expected++;
        ring_push(&rings[1], &message, NULL);
    }
    g_assert_cmpint(expected, ==, TRANSFERS);
    pthread_join(thread, NULL);
    ring_free(&rings[0]);
    ring_free(&rings[1]);
}

/* Guards against a stale handle that refers to the next user of its slot. */
static void
test_table_stale_handle(void)
{
    struct table table;
    struct handle first = {0};
    struct handle second = {0};
    struct handle none = {0};
    struct err err = {0};

    g_assert_true(table_init(&table, 1, sizeof(int), &err));
    g_assert_null(table_get(&table, none));
    g_assert_nonnull(table_alloc(&table, &first, &err));
    g_assert_null(table_alloc(&table, &second, &err));
    g_assert_cmpint(err.kind, ==, ERR_TABLE_FULL);
    g_assert_true(table_free(&table, first));
    g_assert_nonnull(table_alloc(&table, &second, &err));
    g_assert_cmpuint(first.index, ==, second.index);
    g_assert_null(table_get(&table, first));
    g_assert_false(table_free(&table, first));
    g_assert_nonnull(table_get(&table, second));
    table_destroy(&table);
}

/* Guards against an error kind without a unique name, an HTTP error status or
 * a remedy. */
static void
test_err_infos(void)
{
    for (int i = ERR_NONE + 1; i < ERR_KIND_COUNT; i++) {
        const struct err_info *info = err_info((enum err_kind)i);

        g_assert_nonnull(info->name);
        g_assert_cmpuint(strlen(info->remedy), >, 10);
        g_assert_cmpint(info->status, >=, 400);
        g_assert_cmpint(err_kind_by_name(info->name), ==, i);
    }
}

/* Guards against a key that changes its owner although the owner remains. */
static void
test_rendezvous_stability(void)
{
    uint64_t ids[] = {11, 22, 33, 44, 55};
    const int gone = 2;
    uint64_t rest[] = {11, 22, 44, 55};

    for (uint64_t key = 0; key < 1000; key++) {
        int before = rendezvous_pick(key, ids, 5);
        int after = rendezvous_pick(key, rest, 4);

        if (before != gone) {
            g_assert_cmpuint(ids[before], ==, rest[after]);
        }
        g_assert_cmpint(rendezvous_rank(key, ids, 5, ids[before]), ==, 0);
    }
    g_assert_cmpint(rendezvous_pick(1, ids, 0), ==, -1);
}

/* Duty that fails a number of times and then runs until it is stopped. */
struct failing_duty {
    struct duty duty;
    int failures;
    int runs;
    struct ring stop_ring;
    struct ring *started_ring;
};

static bool
failing_run(struct duty *duty, struct err *err)
{
    struct failing_duty *failing = (struct failing_duty *)duty;
    int message;

    failing->runs++;
    if (failing->runs <= failing->failures) {
        return err_set(err, ERR_IO, "failure %d", failing->runs);
    }
    ring_push(failing->started_ring, &failing->runs, NULL);
    while (ring_pop(&failing->stop_ring, &message, -1) != RING_CLOSED) {
    }
    return true;
}

static void
failing_stop(struct duty *duty)
{
    ring_close(&((struct failing_duty *)duty)->stop_ring);
}

static const struct duty_ops failing_ops = {failing_run, failing_stop};

static void *
run_supervisor(void *argument)
{
    struct err err = {0};

    return supervisor_run(argument, &err) ? argument : NULL;
}

/* Guards against a failed duty that isn't restarted, or is restarted without
 * a limit. */
struct restart_case {
    const char *name;
    int failures;
    bool expect_running;
};

static const struct restart_case restart_cases[] = {
    {"no_failure", 0, true},
    {"one_failure", 1, true},
    {"too_many_failures", 100, false},
};

static void
test_supervisor_restart(gconstpointer data)
{
    const struct restart_case *c = data;
    struct supervisor supervisor;
    struct failing_duty failing = {.duty = {&failing_ops, "failing"},
                                   .failures = c->failures};
    struct ring started;
    pthread_t thread;
    void *result;
    int runs = 0;

    ring_init(&started, 4, sizeof(int), NULL);
    ring_init(&failing.stop_ring, 4, sizeof(int), NULL);
    failing.started_ring = &started;
    supervisor_init(&supervisor, "test");
    supervisor_add(&supervisor, &failing.duty);
    pthread_create(&thread, NULL, run_supervisor, &supervisor);
    if (c->expect_running) {
        g_assert_cmpint(ring_pop(&started, &runs, -1), ==, RING_OK);
        supervisor_stop(&supervisor);
    }
    pthread_join(thread, &result);
    g_assert_true((result != NULL) == c->expect_running);
    if (c->expect_running) {
        g_assert_cmpint(runs, ==, c->failures + 1);
    }
    supervisor_free(&supervisor);
    ring_free(&started);
    ring_free(&failing.stop_ring);
}

static const struct cases groups[] = {
    CASES("/base/ring_push", ring_cases, test_ring_push),
    CASES("/base/supervisor", restart_cases, test_supervisor_restart),
};

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    cases_add(groups, G_N_ELEMENTS(groups));
    g_test_add_func("/base/ring_threads", test_ring_threads);
    g_test_add_func("/base/table_stale_handle", test_table_stale_handle);
    g_test_add_func("/base/err_infos", test_err_infos);
    g_test_add_func("/base/rendezvous_stability", test_rendezvous_stability);
    return g_test_run();
}
