/**
 * DOC: Registers tables of cases as GLib tests.
 */
#include <glib.h>

#include "cases.h"

static void
add_group(const struct cases *group)
{
    const char *data = group->data;
    const char *name = (const char *)group->name;

    for (size_t i = 0; i < group->count; i++) {
        size_t offset = i * group->bytes;
        char *path = g_strdup_printf("%s/%s", group->path,
                                     *(const char *const *)(name + offset));

        g_test_add_data_func(path, data + offset, group->function);
        g_free(path);
    }
}

/**
 * cases_add() - register each case as a separate test
 * @groups: tables of cases
 * @count: number of tables
 */
void
cases_add(const struct cases *groups, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        add_group(&groups[i]);
    }
}
