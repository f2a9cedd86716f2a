/* Registers tables of cases as GLib tests. */
#ifndef TEST_CASES_H
#define TEST_CASES_H

/**
 * struct cases - a table of cases and the test function that runs each case
 * @path: test path of the group
 * @data: the first case; the test receives a pointer to its case
 * @name: name of the first case, the last part of its path
 * @count: number of cases
 * @bytes: size of a case
 * @function: the test function
 */
struct cases {
    const char *path;
    const void *data;
    const char *const *name;
    size_t count;
    size_t bytes;
    GTestDataFunc function;
};

/* Initializer for a table whose cases have a member "name". */
#define CASES(path, table, function)                                          \
    {                                                                         \
        path, table, &(table)[0].name, G_N_ELEMENTS(table),                   \
            sizeof((table)[0]), function                                      \
    }

void cases_add(const struct cases *groups, size_t count);

#endif
