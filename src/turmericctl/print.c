/**
 * DOC: Tables for people.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "turmericctl/dat.h"
#include "turmericctl/fns.h"

static void
add_cells(struct rows *rows, va_list arguments)
{
    for (int i = 0; i < rows->columns; i++) {
        g_ptr_array_add(rows->cells,
                        g_strdup(va_arg(arguments, const char *)));
    }
}

/**
 * rows_init() - start a table with its header
 * @rows: the table
 * @columns: number of columns, followed by as many texts
 */
void
rows_init(struct rows *rows, int columns, ...)
{
    va_list arguments;

    rows->columns = columns;
    rows->cells = g_ptr_array_new_with_free_func(g_free);
    va_start(arguments, columns);
    add_cells(rows, arguments);
    va_end(arguments);
}

/**
 * rows_add() - add a row
 * @rows: the table, followed by a text for each column
 */
void
rows_add(struct rows *rows, ...)
{
    va_list arguments;

    va_start(arguments, rows);
    add_cells(rows, arguments);
    va_end(arguments);
}

static int
column_width(const struct rows *rows, int column)
{
    size_t width = 0;

    for (guint i = (guint)column; i < rows->cells->len;
         i += (guint)rows->columns) {
        width = MAX(width, strlen(g_ptr_array_index(rows->cells, i)));
    }
    return (int)width;
}

/**
 * rows_print() - print and release a table
 * @rows: the table
 */
void
rows_print(struct rows *rows)
{
    int widths[TABLE_COLUMNS_MAX] = {0};

    for (int i = 0; i < rows->columns; i++) {
        /* No blanks at the end of a line. */
        widths[i] = i == rows->columns - 1 ? 0 : column_width(rows, i);
    }
    for (guint i = 0; i < rows->cells->len; i++) {
        int column = (int)i % rows->columns;

        printf("%-*s%s", widths[column],
               (const char *)g_ptr_array_index(rows->cells, i),
               column == rows->columns - 1 ? "\n" : "  ");
    }
    g_ptr_array_unref(rows->cells);
}

/**
 * member_text() - string member of an object
 * @json: the object
 * @name: name of the member
 *
 * Return: the text, empty when it is missing.
 */
const char *
member_text(struct json_object *json, const char *name)
{
    struct json_object *value = json_object_object_get(json, name);

    return value == NULL ? "" : json_object_get_string(value);
}

/**
 * member_number() - number member of an object
 * @json: the object
 * @name: name of the member
 *
 * Return: the number, 0 when it is missing.
 */
int64_t
member_number(struct json_object *json, const char *name)
{
    return json_object_get_int64(json_object_object_get(json, name));
}

/**
 * print_json() - print a JSON value for programs
 * @json: the value
 */
void
print_json(struct json_object *json)
{
    puts(json_object_to_json_string_ext(
        json, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
}
