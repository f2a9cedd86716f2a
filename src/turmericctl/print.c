/**
 * DOC: Output as tables and as JSON, and access to members of JSON objects.
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
add_cells(struct text_table *table, va_list arguments)
{
    for (int i = 0; i < table->columns; i++) {
        g_ptr_array_add(table->cells,
                        g_strdup(va_arg(arguments, const char *)));
    }
}

/**
 * text_table_init() - initialize a table with its header
 * @table: the table; text_table_print() releases it
 * @columns: number of columns, followed by the title of each
 */
void
text_table_init(struct text_table *table, int columns, ...)
{
    va_list arguments;

    table->columns = columns;
    table->cells = g_ptr_array_new_with_free_func(g_free);
    va_start(arguments, columns);
    add_cells(table, arguments);
    va_end(arguments);
}

/**
 * text_table_add_row() - append a row
 * @table: the table, followed by a text for each column, which is copied
 */
void
text_table_add_row(struct text_table *table, ...)
{
    va_list arguments;

    va_start(arguments, table);
    add_cells(table, arguments);
    va_end(arguments);
}

static int
column_width(const struct text_table *table, int column)
{
    size_t width = 0;

    for (guint i = (guint)column; i < table->cells->len;
         i += (guint)table->columns) {
        width = MAX(width, strlen(g_ptr_array_index(table->cells, i)));
    }
    return (int)width;
}

/**
 * text_table_print() - print and release a table
 * @table: the table
 */
void
text_table_print(struct text_table *table)
{
    int widths[TABLE_COLUMNS_MAX] = {0};

    for (int i = 0; i < table->columns; i++) {
        /* The last column is not padded, so lines have no trailing spaces. */
        widths[i] = i == table->columns - 1 ? 0 : column_width(table, i);
    }
    for (guint i = 0; i < table->cells->len; i++) {
        int column = (int)i % table->columns;

        printf("%-*s%s", widths[column],
               (const char *)g_ptr_array_index(table->cells, i),
               column == table->columns - 1 ? "\n" : "  ");
    }
    g_ptr_array_unref(table->cells);
}

/**
 * json_member_text() - get a member of an object as text
 * @json: the object, or NULL
 * @name: name of the member
 *
 * Return: the text, owned by @json; empty when there is no such member.
 */
const char *
json_member_text(struct json_object *json, const char *name)
{
    struct json_object *value = json_object_object_get(json, name);

    return value == NULL ? "" : json_object_get_string(value);
}

/**
 * json_member_number() - get a member of an object as an integer
 * @json: the object, or NULL
 * @name: name of the member
 *
 * Return: the number; 0 when there is no such member.
 */
int64_t
json_member_number(struct json_object *json, const char *name)
{
    return json_object_get_int64(json_object_object_get(json, name));
}

/**
 * print_json() - print a JSON value to standard output
 * @json: the value
 */
void
print_json(struct json_object *json)
{
    puts(json_object_to_json_string_ext(
        json, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
}
