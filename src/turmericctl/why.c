/**
 * DOC: The command why, which prints the log lines that explain a request,
 * item or target.
 *
 * Merges the logs of any number of processes by time. For a request, also
 * prints events of the same time that affect it without naming it: orders for
 * its item, changes of the lease holder or of the limit of loads from the
 * weight store, outages and restores of the key-value store, and draining
 * instances.
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

/* An event this long before a request can still affect it, e.g. an unload. */
enum {
    CONTEXT_MS = 2000,
    /* After a restore of the store, nobody orders for a lease of 3 s, until
     * the free term is noticed and claimed. */
    RESTORED_CONTEXT_MS = 5000,
};

/**
 * struct log_record - decoded line of a log
 * @ms: time of the line in milliseconds, as logged
 * @source: last word in front of the line that starts with a letter, else the
 *          name of the file
 * @component: part of the program that logged the line
 * @fields: the line from "ms=" on
 */
struct log_record {
    int64_t ms;
    char *source;
    char *component;
    char *fields;
};

/* Events that affect requests which they don't name. */
static const char *const context_events[] = {
    "order",
    "term_begun",
    "term_ended",
    "store_lost",
    "store_regained",
    "store_restored",
    "store_loads",
    "leaving",
    "target_paused",
    "target_pause_ended",
    "target_leaves",
    "target_leaves_ended",
    "target_crashed",
    "quarantined",
    "quarantine_learnt",
    "quarantine_ended",
    "keys_unproven",
    "keys_accepted",
    "config",
    "quota_fallback",
    "quota_regained",
    "quota_grants",
    "quota_grants_end",
};

static void
record_free(void *data)
{
    struct log_record *record = data;

    g_free(record->source);
    g_free(record->component);
    g_free(record->fields);
    g_free(record);
}

/* Returns a copy of the field's value, or NULL when there is no such field. */
static char *
get_field(const char *text, const char *name)
{
    char *prefix = g_strdup_printf(" %s=", name);
    const char *position = strstr(text, prefix);
    char *value = NULL;

    if (position != NULL) {
        position += strlen(prefix);
        value = g_strndup(position, strcspn(position, " \n"));
    }
    g_free(prefix);
    return value;
}

static bool
field_equals(const char *text, const char *name, const char *value)
{
    char *actual = get_field(text, name);
    bool equal = actual != NULL && strcmp(actual, value) == 0;

    g_free(actual);
    return equal;
}

/* Parses "<6>component: ms=1 event=...". A log collector may have put words in
 * front, such as the name of the process. */
static struct log_record *
parse_record(const char *line, const char *file)
{
    const char *start = strchr(line, '<');
    const char *component = start != NULL ? strchr(start, '>') : NULL;
    const char *timestamp =
        component != NULL ? strstr(component, ": ms=") : NULL;
    struct log_record *record;
    char **words;

    if (timestamp == NULL) {
        return NULL;
    }
    record = g_new0(struct log_record, 1);
    record->ms = g_ascii_strtoll(timestamp + 5, NULL, 10);
    record->component =
        g_strndup(component + 1, (gsize)(timestamp - component - 1));
    record->fields = g_strdup(timestamp + 2);
    g_strchomp(record->fields);
    words = g_strsplit_set(line, " \t", -1);
    record->source = g_strdup(file);
    for (int i = 0; words[i] != NULL && words[i][0] != '<'; i++) {
        if (g_ascii_isalpha(words[i][0])) {
            g_free(record->source);
            record->source = g_strdup(words[i]);
        }
    }
    g_strfreev(words);
    return record;
}

static bool
is_context_event(const struct log_record *record)
{
    for (size_t i = 0; i < G_N_ELEMENTS(context_events); i++) {
        if (field_equals(record->fields, "event", context_events[i])) {
            return true;
        }
    }
    return false;
}

static int64_t
context_ms(const struct log_record *record)
{
    return field_equals(record->fields, "event", "store_restored")
               ? RESTORED_CONTEXT_MS
               : CONTEXT_MS;
}

static bool
mentions(const struct log_record *record, const char *subject)
{
    return field_equals(record->fields, "id", subject) ||
           field_equals(record->fields, "item", subject) ||
           field_equals(record->fields, "leaf", subject) ||
           field_equals(record->fields, "target", subject);
}

static bool
read_records(FILE *file, const char *name, const char *subject,
             GPtrArray *records)
{
    char *line = NULL;
    size_t bytes = 0;

    while (getline(&line, &bytes, file) >= 0) {
        struct log_record *record = parse_record(line, name);

        if (record != NULL &&
            (mentions(record, subject) || is_context_event(record))) {
            g_ptr_array_add(records, record);
        }
        else if (record != NULL) {
            record_free(record);
        }
    }
    free(line);
    return !ferror(file);
}

static bool
read_file(const char *path, const char *subject, GPtrArray *records)
{
    char *name = g_path_get_basename(path);
    FILE *file = strcmp(path, "-") == 0 ? stdin : fopen(path, "r");
    bool succeeded =
        file != NULL && read_records(file, name, subject, records);

    if (!succeeded) {
        fprintf(stderr, "turmericctl: can't read %s\n", path);
    }
    if (file != NULL && file != stdin) {
        fclose(file);
    }
    g_free(name);
    return succeeded;
}

static int
compare_records(const void *a, const void *b)
{
    const struct log_record *left = *(struct log_record *const *)a;
    const struct log_record *right = *(struct log_record *const *)b;

    return left->ms < right->ms ? -1 : left->ms > right->ms;
}

/**
 * struct time_span - time covered by the records that mention the subject
 * @from_ms: time of the first such record; INT64_MAX when there is none
 * @to_ms: time of the last such record
 * @item: item that the first such record with one names, or NULL
 * @is_request: the subject is the id of a request
 */
struct time_span {
    int64_t from_ms;
    int64_t to_ms;
    char *item;
    bool is_request;
};

static struct time_span
find_time_span(const GPtrArray *records, const char *subject)
{
    struct time_span span = {.from_ms = INT64_MAX, .to_ms = INT64_MIN};

    for (guint i = 0; i < records->len; i++) {
        const struct log_record *record = records->pdata[i];

        if (!mentions(record, subject)) {
            continue;
        }
        span.is_request =
            span.is_request || field_equals(record->fields, "id", subject);
        span.from_ms = MIN(span.from_ms, record->ms);
        span.to_ms = MAX(span.to_ms, record->ms);
        if (span.item == NULL) {
            span.item = get_field(record->fields, "item");
        }
    }
    return span;
}

/* An order for a model also affects its adapters, named "model/adapter". */
static bool
concerns_item(const char *text, const char *item)
{
    char *order_item = get_field(text, "item");
    bool concerned = order_item != NULL && item != NULL && item[0] != '\0' &&
                     (strcmp(order_item, item) == 0 ||
                      (g_str_has_prefix(item, order_item) &&
                       item[strlen(order_item)] == '/'));

    g_free(order_item);
    return concerned;
}

static bool
is_relevant(const struct log_record *record, const struct time_span *span,
            const char *subject)
{
    if (mentions(record, subject)) {
        return true;
    }
    if (!span->is_request || record->ms < span->from_ms - context_ms(record) ||
        record->ms > span->to_ms) {
        return false;
    }
    return !field_equals(record->fields, "event", "order") ||
           concerns_item(record->fields, span->item);
}

static void
remove_irrelevant(GPtrArray *records, const struct time_span *span,
                  const char *subject)
{
    for (guint i = records->len; i > 0; i--) {
        if (!is_relevant(records->pdata[i - 1], span, subject)) {
            g_ptr_array_remove_index(records, i - 1);
        }
    }
}

static void
print_records(const GPtrArray *records, const struct time_span *span)
{
    for (guint i = 0; i < records->len; i++) {
        const struct log_record *record = records->pdata[i];
        const char *fields = strchr(record->fields, ' ');

        printf("%+8lld ms  %-20s %-10s%s\n",
               (long long)(record->ms - span->from_ms), record->source,
               record->component, fields != NULL ? fields : "");
    }
}

static void
print_records_json(const GPtrArray *records)
{
    struct json_object *list = json_object_new_array();

    for (guint i = 0; i < records->len; i++) {
        const struct log_record *record = records->pdata[i];
        struct json_object *object = json_object_new_object();

        json_object_object_add(object, "ms",
                               json_object_new_int64(record->ms));
        json_object_object_add(object, "source",
                               json_object_new_string(record->source));
        json_object_object_add(object, "part",
                               json_object_new_string(record->component));
        json_object_object_add(object, "text",
                               json_object_new_string(record->fields));
        json_object_array_add(list, object);
    }
    print_json(list);
    json_object_put(list);
}

/**
 * command_why() - print the log lines that explain a request, item or target
 * @options: the command line; its arguments are the id of the request or the
 *           name, then log files; without files, reads standard input
 */
enum exit_code
command_why(struct options *options)
{
    const char *subject = options->arguments[1];
    GPtrArray *records = g_ptr_array_new_with_free_func(record_free);
    enum exit_code code = EXIT_DONE;
    struct time_span span;
    bool succeeded = true;

    for (int i = 2; i < options->argument_count; i++) {
        succeeded =
            read_file(options->arguments[i], subject, records) && succeeded;
    }
    if (options->argument_count == 2) {
        succeeded = read_file("-", subject, records);
    }
    g_ptr_array_sort(records, compare_records);
    span = find_time_span(records, subject);
    if (span.from_ms == INT64_MAX) {
        fprintf(stderr,
                "turmericctl: no log line names %s; pass the logs of all "
                "instances for that time\n",
                subject);
        code = EXIT_UNKNOWN;
    }
    else {
        remove_irrelevant(records, &span, subject);
        if (options->json) {
            print_records_json(records);
        }
        else {
            print_records(records, &span);
        }
    }
    g_free(span.item);
    g_ptr_array_free(records, TRUE);
    return succeeded ? code : EXIT_USAGE;
}
