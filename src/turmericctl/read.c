/**
 * DOC: Commands that only read: get, show, history, status, counters.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "tree/dat.h"
#include "turmericctl/dat.h"
#include "turmericctl/fns.h"

enum { INT64_TEXT_BYTES = 24, HISTORY_ENTRIES_MAX = 1000 };

static struct json_object *
fetch_effective(const struct options *options, const char *node,
                enum exit_code *code)
{
    char *encoded = ulfius_url_encode(node);
    char path[URL_MAX_BYTES];

    g_snprintf(path, sizeof(path), "/operator/v1/effective?node=%s", encoded);
    u_free(encoded);
    return client_get_json(options, path, code);
}

static const char *
value_as_json(struct json_object *value)
{
    return json_object_to_json_string_ext(
        json_object_object_get(value, "value"), JSON_C_TO_STRING_PLAIN);
}

static enum exit_code
print_value(const struct options *options, struct json_object *values,
            const char *key)
{
    for (size_t i = 0; i < json_object_array_length(values); i++) {
        struct json_object *value = json_object_array_get_idx(values, i);

        if (strcmp(json_member_text(value, "key"), key) != 0) {
            continue;
        }
        /* Without --json, a string is printed without quotes. */
        puts(options->json ? value_as_json(value)
                           : json_member_text(value, "value"));
        return EXIT_DONE;
    }
    fprintf(stderr, "turmericctl: the schema has no key %s\n", key);
    return EXIT_REFUSED;
}

static void
print_values(struct json_object *values)
{
    struct text_table table;

    text_table_init(&table, 2, "KEY", "VALUE");
    for (size_t i = 0; i < json_object_array_length(values); i++) {
        struct json_object *value = json_object_array_get_idx(values, i);

        text_table_add_row(&table, json_member_text(value, "key"),
                           json_member_text(value, "value"));
    }
    text_table_print(&table);
}

/**
 * command_get() - print the effective values of a node, or one of them
 * @options: the command line
 */
enum exit_code
command_get(struct options *options)
{
    enum exit_code code = EXIT_DONE;
    struct json_object *json =
        fetch_effective(options, options->arguments[1], &code);
    struct json_object *values = json_object_object_get(json, "values");

    if (json == NULL) {
        return code;
    }
    if (options->argument_count > 2) {
        code = print_value(options, values, options->arguments[2]);
    }
    else if (options->json) {
        print_json(json);
    }
    else {
        print_values(values);
    }
    json_object_put(json);
    return code;
}

/* Removes the values that the node does not set itself. */
static void
remove_inherited(struct json_object *values, const char *node)
{
    for (size_t i = json_object_array_length(values); i > 0; i--) {
        struct json_object *value = json_object_array_get_idx(values, i - 1);

        if (strcmp(json_member_text(value, "source"), node) != 0) {
            json_object_array_del_idx(values, i - 1, 1);
        }
    }
}

/**
 * command_show() - print the values of a node with the node that sets each
 * @options: the command line
 */
enum exit_code
command_show(struct options *options)
{
    enum exit_code code = EXIT_DONE;
    const char *node = options->arguments[1];
    struct json_object *json = fetch_effective(options, node, &code);
    struct json_object *values = json_object_object_get(json, "values");
    struct text_table table;

    if (json == NULL) {
        return code;
    }
    if (!options->effective) {
        remove_inherited(values, node);
    }
    if (options->json) {
        print_json(json);
        json_object_put(json);
        return EXIT_DONE;
    }
    text_table_init(&table, 3, "KEY", "VALUE", "FROM");
    for (size_t i = 0; i < json_object_array_length(values); i++) {
        struct json_object *value = json_object_array_get_idx(values, i);

        text_table_add_row(&table, json_member_text(value, "key"),
                           json_member_text(value, "value"),
                           json_member_text(value, "source"));
    }
    text_table_print(&table);
    json_object_put(json);
    return EXIT_DONE;
}

static void
add_history_rows(struct text_table *table, struct json_object *entry)
{
    struct json_object *changes = json_object_object_get(entry, "changes");
    char revision[INT64_TEXT_BYTES];

    g_snprintf(revision, sizeof(revision), "%" PRId64,
               json_member_number(entry, "revision"));
    for (size_t i = 0; i < json_object_array_length(changes); i++) {
        struct json_object *change = json_object_array_get_idx(changes, i);
        bool unset = json_object_object_get_ex(change, "unset", NULL);

        text_table_add_row(
            table, i == 0 ? revision : "",
            i == 0 ? json_member_text(entry, "author") : "",
            json_member_text(change, "node"), json_member_text(change, "key"),
            unset ? "(unset)" : json_member_text(change, "value"));
    }
}

/**
 * command_history() - print the accepted edits
 * @options: the command line
 */
enum exit_code
command_history(struct options *options)
{
    enum exit_code code = EXIT_DONE;
    char path[URL_MAX_BYTES];
    struct json_object *entries;
    struct text_table table;

    g_snprintf(path, sizeof(path),
               "/operator/v1/history?after=%" PRId64 "&limit=%d",
               options->after_revision, HISTORY_ENTRIES_MAX);
    entries = client_get_json(options, path, &code);
    if (entries == NULL) {
        return code;
    }
    if (options->json) {
        print_json(entries);
    }
    else {
        text_table_init(&table, 5, "REVISION", "AUTHOR", "NODE", "KEY",
                        "VALUE");
        for (size_t i = 0; i < json_object_array_length(entries); i++) {
            add_history_rows(&table, json_object_array_get_idx(entries, i));
        }
        text_table_print(&table);
    }
    json_object_put(entries);
    return EXIT_DONE;
}

static void
print_members(struct json_object *members)
{
    struct text_table table;

    text_table_init(&table, 4, "INSTANCE", "DATA CENTRE", "STATE", "REVISION");
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *member = json_object_array_get_idx(members, i);

        text_table_add_row(&table, json_member_text(member, "name"),
                           json_member_text(member, "data_centre"),
                           json_member_text(member, "state"),
                           json_member_text(member, "revision"));
    }
    text_table_print(&table);
}

static void
print_status(struct json_object *json)
{
    bool stale =
        json_object_get_boolean(json_object_object_get(json, "stale"));
    bool behind =
        json_object_get_boolean(json_object_object_get(json, "behind"));

    printf("instance  %s\nrevision  %" PRId64 "\nage       %" PRId64
           " ms, %s%s\n",
           json_member_text(json, "name"),
           json_member_number(json, "revision"),
           json_member_number(json, "age_ms"), stale ? "stale" : "fresh",
           behind ? ", the key-value service holds older data" : "");
    if (json_object_object_get(json, "detail") != NULL) {
        printf("detail    %s\n", json_member_text(json, "detail"));
    }
    putchar('\n');
    print_members(json_object_object_get(json, "members"));
}

/**
 * command_status() - print the state of an instance and of all members
 * @options: the command line
 */
enum exit_code
command_status(struct options *options)
{
    enum exit_code code = EXIT_DONE;
    struct json_object *json =
        client_get_json(options, "/operator/v1/status", &code);

    if (json == NULL) {
        return code;
    }
    if (options->json) {
        print_json(json);
    }
    else {
        print_status(json);
    }
    json_object_put(json);
    return EXIT_DONE;
}

/* Each line of the text has the form "name value". */
static void
print_counters_json(const char *text)
{
    struct json_object *json = json_object_new_object();
    char **lines = g_strsplit(text, "\n", -1);

    for (int i = 0; lines[i] != NULL; i++) {
        char *separator = strrchr(lines[i], ' ');

        if (separator != NULL) {
            *separator = '\0';
            json_object_object_add(json, lines[i],
                                   json_object_new_int64(g_ascii_strtoll(
                                       separator + 1, NULL, 10)));
        }
    }
    print_json(json);
    json_object_put(json);
    g_strfreev(lines);
}

/**
 * command_counters() - print the counters of an instance
 * @options: the command line
 */
enum exit_code
command_counters(struct options *options)
{
    enum exit_code code = EXIT_DONE;
    char *text = client_get_text(options, "/operator/v1/counters", &code);

    if (text == NULL) {
        return code;
    }
    if (options->json) {
        print_counters_json(text);
    }
    else {
        fputs(text, stdout);
    }
    g_free(text);
    return EXIT_DONE;
}
