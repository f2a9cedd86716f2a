/**
 * DOC: The way of one request, or the fate of one item, from log lines.
 *
 * Lines of any number of processes are put in order. To the lines that name
 * the request come those of the same time that decided its fate elsewhere: the
 * orders for its item, who may order, and the store.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "turmericctl/dat.h"
#include "turmericctl/fns.h"

enum { CONTEXT_MS = 2000 }; /* what was ordered shortly before matters, too */

/**
 * struct log_row - a line of a log
 * @source: file, or the word in front of the line if there is one
 * @text: the fields after the time
 */
struct log_row {
    int64_t ms;
    char *source;
    char *part;
    char *text;
};

/* Events that decide the fate of requests that they don't name. */
static const char *const context_events[] = {
    "order",          "term_begun",  "term_ended", "store_lost",
    "store_regained", "store_loads", "leaving",
};

static void
row_free(void *data)
{
    struct log_row *row = data;

    g_free(row->source);
    g_free(row->part);
    g_free(row->text);
    g_free(row);
}

/* The value of a field; NULL when the line has none. */
static char *
field(const char *text, const char *name)
{
    char *wanted = g_strdup_printf(" %s=", name);
    const char *found = strstr(text, wanted);
    char *value = NULL;

    if (found != NULL) {
        found += strlen(wanted);
        value = g_strndup(found, strcspn(found, " \n"));
    }
    g_free(wanted);
    return value;
}

static bool
field_is(const char *text, const char *name, const char *value)
{
    char *found = field(text, name);
    bool same = found != NULL && strcmp(found, value) == 0;

    g_free(found);
    return same;
}

/* "<6>part: ms=1 event=...", with other words in front or not. */
static struct log_row *
parse(const char *line, const char *file)
{
    const char *start = strchr(line, '<');
    const char *part = start != NULL ? strchr(start, '>') : NULL;
    const char *time = part != NULL ? strstr(part, ": ms=") : NULL;
    struct log_row *row;
    char **words;

    if (time == NULL) {
        return NULL;
    }
    row = g_new0(struct log_row, 1);
    row->ms = g_ascii_strtoll(time + 5, NULL, 10);
    row->part = g_strndup(part + 1, (gsize)(time - part - 1));
    row->text = g_strdup(time + 2);
    g_strchomp(row->text);
    words = g_strsplit_set(line, " \t", -1);
    row->source = g_strdup(file);
    for (int i = 0; words[i] != NULL && words[i][0] != '<'; i++) {
        if (g_ascii_isalpha(words[i][0])) {
            g_free(row->source);
            row->source = g_strdup(words[i]);
        }
    }
    g_strfreev(words);
    return row;
}

static bool
is_context(const struct log_row *row)
{
    for (size_t i = 0; i < G_N_ELEMENTS(context_events); i++) {
        if (field_is(row->text, "event", context_events[i])) {
            return true;
        }
    }
    return false;
}

static bool
names(const struct log_row *row, const char *word)
{
    return field_is(row->text, "id", word) ||
           field_is(row->text, "item", word) ||
           field_is(row->text, "leaf", word) ||
           field_is(row->text, "target", word);
}

static bool
read_lines(FILE *file, const char *name, const char *word, GPtrArray *rows)
{
    char *line = NULL;
    size_t bytes = 0;

    while (getline(&line, &bytes, file) >= 0) {
        struct log_row *row = parse(line, name);

        if (row != NULL && (names(row, word) || is_context(row))) {
            g_ptr_array_add(rows, row);
        }
        else if (row != NULL) {
            row_free(row);
        }
    }
    free(line);
    return !ferror(file);
}

static bool
read_file(const char *path, const char *word, GPtrArray *rows)
{
    char *name = g_path_get_basename(path);
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    bool done = file != NULL && read_lines(file, name, word, rows);

    if (!done) {
        fprintf(stderr, "turmericctl: %s can't be read\n", path);
    }
    if (file != NULL && file != stdin) {
        fclose(file);
    }
    g_free(name);
    return done;
}

static int
compare_rows(const void *a, const void *b)
{
    const struct log_row *left = *(struct log_row *const *)a;
    const struct log_row *right = *(struct log_row *const *)b;

    return left->ms < right->ms ? -1 : left->ms > right->ms;
}

/* When the request was there, and the item that it asked for. */
struct span {
    int64_t from_ms;
    int64_t to_ms;
    char *item;
    bool request;
};

static struct span
span_of(const GPtrArray *rows, const char *word)
{
    struct span span = {.from_ms = INT64_MAX, .to_ms = INT64_MIN};

    for (guint i = 0; i < rows->len; i++) {
        const struct log_row *row = rows->pdata[i];

        if (!names(row, word)) {
            continue;
        }
        span.request = span.request || field_is(row->text, "id", word);
        span.from_ms = MIN(span.from_ms, row->ms);
        span.to_ms = MAX(span.to_ms, row->ms);
        if (span.item == NULL) {
            span.item = field(row->text, "item");
        }
    }
    return span;
}

/* An adapter's fate is its model's as well. */
static bool
same_item(const char *text, const char *item)
{
    char *other = field(text, "item");
    bool same = other != NULL && item != NULL && item[0] != '\0' &&
                (strcmp(other, item) == 0 || (g_str_has_prefix(item, other) &&
                                              item[strlen(other)] == '/'));

    g_free(other);
    return same;
}

static bool
belongs(const struct log_row *row, const struct span *span, const char *word)
{
    if (names(row, word)) {
        return true;
    }
    if (!span->request || row->ms < span->from_ms - CONTEXT_MS ||
        row->ms > span->to_ms) {
        return false;
    }
    return !field_is(row->text, "event", "order") ||
           same_item(row->text, span->item);
}

static void
keep_what_belongs(GPtrArray *rows, const struct span *span, const char *word)
{
    for (guint i = rows->len; i > 0; i--) {
        if (!belongs(rows->pdata[i - 1], span, word)) {
            g_ptr_array_remove_index(rows, i - 1);
        }
    }
}

static void
print_rows(const GPtrArray *rows, const struct span *span)
{
    for (guint i = 0; i < rows->len; i++) {
        const struct log_row *row = rows->pdata[i];
        const char *text = strchr(row->text, ' ');

        printf("%+8lld ms  %-20s %-10s%s\n",
               (long long)(row->ms - span->from_ms), row->source, row->part,
               text != NULL ? text : "");
    }
}

static void
print_rows_json(const GPtrArray *rows)
{
    struct json_object *list = json_object_new_array();

    for (guint i = 0; i < rows->len; i++) {
        const struct log_row *row = rows->pdata[i];
        struct json_object *object = json_object_new_object();

        json_object_object_add(object, "ms", json_object_new_int64(row->ms));
        json_object_object_add(object, "source",
                               json_object_new_string(row->source));
        json_object_object_add(object, "part",
                               json_object_new_string(row->part));
        json_object_object_add(object, "text",
                               json_object_new_string(row->text));
        json_object_array_add(list, object);
    }
    print_json(list);
    json_object_put(list);
}

/**
 * command_why() - the lines that explain one request, item or target
 * @ctl: command line: the word, then files; without files, standard input
 */
enum exit_code
command_why(struct ctl *ctl)
{
    const char *word = ctl->arguments[1];
    GPtrArray *rows = g_ptr_array_new_with_free_func(row_free);
    enum exit_code code = EXIT_DONE;
    struct span span;
    bool done = true;

    for (int i = 2; i < ctl->argument_count; i++) {
        done = read_file(ctl->arguments[i], word, rows) && done;
    }
    if (ctl->argument_count == 2) {
        done = read_file("-", word, rows);
    }
    g_ptr_array_sort(rows, compare_rows);
    span = span_of(rows, word);
    if (span.from_ms == INT64_MAX) {
        fprintf(stderr,
                "turmericctl: no line names %s; give the logs of all "
                "instances at that time\n",
                word);
        code = EXIT_UNKNOWN;
    }
    else {
        keep_what_belongs(rows, &span, word);
        if (ctl->json) {
            print_rows_json(rows);
        }
        else {
            print_rows(rows, &span);
        }
    }
    g_free(span.item);
    g_ptr_array_free(rows, TRUE);
    return done ? code : EXIT_USAGE;
}
