/**
 * DOC: Runs a table of cases, each on its own cluster.
 */
#include <glib.h>
#include <signal.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/cluster/dat.h"
#include "test/cluster/fns.h"

static void
run_case(gconstpointer data)
{
    const struct cluster_case *c = data;
    struct cluster *cluster = cluster_start(c->layout);

    c->run(cluster);
    cluster_stop(cluster);
}

/**
 * cluster_run_cases() - main function of a test program
 * @argc: argument count of main()
 * @argv: arguments of main()
 * @group: first part of the test paths
 * @cases: the table
 * @count: number of cases
 *
 * Return: exit code of the process.
 */
int
cluster_run_cases(int argc, char **argv, const char *group,
                  const struct cluster_case *cases, size_t count)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    signal(SIGPIPE, SIG_IGN);
    cluster_set_program_directory(argv[0]);
    for (size_t i = 0; i < count; i++) {
        char *path = g_strdup_printf("/%s/%s", group, cases[i].name);

        g_test_add_data_func(path, &cases[i], run_case);
        g_free(path);
    }
    return g_test_run();
}
