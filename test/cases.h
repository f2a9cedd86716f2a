/* Adds tables of cases to GLib's tests. */
#ifndef TEST_CASES_H
#define TEST_CASES_H

/**
 * struct cases - a table of cases and the test that runs each of them
 * @path: path of the group of tests
 * @data: the first case, which the test gets
 * @name: name of the first case, the last part of its path
 * @count: number of cases
 * @bytes: size of a case
 * @function: the test
 */
struct cases {
    const char *path;
    const void *data;
    const char *const *name;
    size_t count;
    size_t bytes;
    GTestDataFunc function;
};

/* A row for a table whose cases have a member "name". */
#define CASES(path, table, function)                                          \
    {                                                                         \
        path, table, &(table)[0].name, G_N_ELEMENTS(table),                   \
            sizeof((table)[0]), function                                      \
    }

void cases_add(const struct cases *groups, size_t count);

#endif
