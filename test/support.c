/**
 * DOC: Helpers that tests of several duties share.
 */
#include <glib.h>
#include <glib/gstdio.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/support.h"

static void *
run_duty(void *argument)
{
    struct duty *duty = argument;
    struct err err = {0};

    g_assert_true(duty->ops->run(duty, &err));
    return NULL;
}

/**
 * test_duty_start() - run a duty in a thread and check that it succeeds
 * @duty: the duty
 * @thread: set to the thread
 */
void
test_duty_start(struct duty *duty, pthread_t *thread)
{
    g_assert_cmpint(pthread_create(thread, NULL, run_duty, duty), ==, 0);
}

/**
 * test_duty_stop() - stop a duty and wait for its thread
 * @duty: the duty
 * @thread: set by test_duty_start()
 */
void
test_duty_stop(struct duty *duty, pthread_t thread)
{
    duty->ops->stop(duty);
    pthread_join(thread, NULL);
}

/**
 * test_write_file() - create a file, replacing an existing one
 * @directory: directory of the file
 * @name: name of the file
 * @text: its content
 * @mode: its permissions
 *
 * Return: path of the file, freed with g_free().
 */
char *
test_write_file(const char *directory, const char *name, const char *text,
                int mode)
{
    char *path = g_build_filename(directory, name, NULL);

    g_unlink(path);
    g_assert_true(g_file_set_contents(path, text, -1, NULL));
    g_assert_cmpint(g_chmod(path, mode), ==, 0);
    return path;
}
