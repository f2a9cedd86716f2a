/**
 * DOC: Commands that read: get, show, history, status, counters.
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

enum { NUMBER_TEXT_BYTES = 24, HISTORY_COUNT = 1000 };

static struct json_object *
get_effective(const struct ctl *ctl, const char *node, enum exit_code *code)
{
    char *encoded = ulfius_url_encode(node);
    char path[URL_MAX_BYTES];

    g_snprintf(path, sizeof(path), "/operator/v1/effective?node=%s", encoded);
    u_free(encoded);
    return client_get(ctl, path, code);
}

static const char *
value_text(struct json_object *value)
{
    return json_object_to_json_string_ext(
        json_object_object_get(value, "value"), JSON_C_TO_STRING_PLAIN);
}

static enum exit_code
print_one(const struct ctl *ctl, struct json_object *values, const char *key)
{
    for (size_t i = 0; i < json_object_array_length(values); i++) {
        struct json_object *value = json_object_array_get_idx(values, i);

        if (strcmp(member_text(value, "key"), key) != 0) {
            continue;
        }
        /* A program gets JSON, a person the bare text. */
        puts(ctl->json ? value_text(value) : member_text(value, "value"));
        return EXIT_DONE;
    }
    fprintf(stderr, "turmericctl: the schema has no key %s\n", key);
    return EXIT_REFUSED;
}

static void
print_values(struct json_object *values)
{
    struct rows rows;

    rows_init(&rows, 2, "KEY", "VALUE");
    for (size_t i = 0; i < json_object_array_length(values); i++) {
        struct json_object *value = json_object_array_get_idx(values, i);

        rows_add(&rows, member_text(value, "key"),
                 member_text(value, "value"));
    }
    rows_print(&rows);
}

/**
 * command_get() - print the values in force at a node, or one of them
 * @ctl: the command line
 */
enum exit_code
command_get(struct ctl *ctl)
{
    enum exit_code code = EXIT_DONE;
    struct json_object *json = get_effective(ctl, ctl->arguments[1], &code);
    struct json_object *values = json_object_object_get(json, "values");

    if (json == NULL) {
        return code;
    }
    if (ctl->argument_count > 2) {
        code = print_one(ctl, values, ctl->arguments[2]);
    }
    else if (ctl->json) {
        print_json(json);
    }
    else {
        print_values(values);
    }
    json_object_put(json);
    return code;
}

/* Leaves out what the node itself doesn't set. */
static void
keep_own(struct json_object *values, const char *node)
{
    for (size_t i = json_object_array_length(values); i > 0; i--) {
        struct json_object *value = json_object_array_get_idx(values, i - 1);

        if (strcmp(member_text(value, "source"), node) != 0) {
            json_object_array_del_idx(values, i - 1, 1);
        }
    }
}

/**
 * command_show() - print values of a node with the node each comes from
 * @ctl: the command line
 */
enum exit_code
command_show(struct ctl *ctl)
{
    enum exit_code code = EXIT_DONE;
    const char *node = ctl->arguments[1];
    struct json_object *json = get_effective(ctl, node, &code);
    struct json_object *values = json_object_object_get(json, "values");
    struct rows rows;

    if (json == NULL) {
        return code;
    }
    if (!ctl->effective) {
        keep_own(values, node);
    }
    if (ctl->json) {
        print_json(json);
        json_object_put(json);
        return EXIT_DONE;
    }
    rows_init(&rows, 3, "KEY", "VALUE", "FROM");
    for (size_t i = 0; i < json_object_array_length(values); i++) {
        struct json_object *value = json_object_array_get_idx(values, i);

        rows_add(&rows, member_text(value, "key"), member_text(value, "value"),
                 member_text(value, "source"));
    }
    rows_print(&rows);
    json_object_put(json);
    return EXIT_DONE;
}

static void
add_entry(struct rows *rows, struct json_object *entry)
{
    struct json_object *changes = json_object_object_get(entry, "changes");
    char revision[NUMBER_TEXT_BYTES];

    g_snprintf(revision, sizeof(revision), "%" PRId64,
               member_number(entry, "revision"));
    for (size_t i = 0; i < json_object_array_length(changes); i++) {
        struct json_object *change = json_object_array_get_idx(changes, i);
        bool unset = json_object_object_get_ex(change, "unset", NULL);

        rows_add(rows, i == 0 ? revision : "",
                 i == 0 ? member_text(entry, "author") : "",
                 member_text(change, "node"), member_text(change, "key"),
                 unset ? "(unset)" : member_text(change, "value"));
    }
}

/**
 * command_history() - print the accepted edits
 * @ctl: the command line
 */
enum exit_code
command_history(struct ctl *ctl)
{
    enum exit_code code = EXIT_DONE;
    char path[URL_MAX_BYTES];
    struct json_object *list;
    struct rows rows;

    g_snprintf(path, sizeof(path),
               "/operator/v1/history?after=%" PRId64 "&limit=%d", ctl->after,
               HISTORY_COUNT);
    list = client_get(ctl, path, &code);
    if (list == NULL) {
        return code;
    }
    if (ctl->json) {
        print_json(list);
    }
    else {
        rows_init(&rows, 5, "REVISION", "AUTHOR", "NODE", "KEY", "VALUE");
        for (size_t i = 0; i < json_object_array_length(list); i++) {
            add_entry(&rows, json_object_array_get_idx(list, i));
        }
        rows_print(&rows);
    }
    json_object_put(list);
    return EXIT_DONE;
}

static void
print_members(struct json_object *members)
{
    struct rows rows;

    rows_init(&rows, 4, "INSTANCE", "DATA CENTRE", "STATE", "REVISION");
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *member = json_object_array_get_idx(members, i);

        rows_add(&rows, member_text(member, "name"),
                 member_text(member, "data_centre"),
                 member_text(member, "state"),
                 member_text(member, "revision"));
    }
    rows_print(&rows);
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
           member_text(json, "name"), member_number(json, "revision"),
           member_number(json, "age_ms"), stale ? "stale" : "fresh",
           behind ? ", the key-value service holds older data" : "");
    if (json_object_object_get(json, "detail") != NULL) {
        printf("detail    %s\n", member_text(json, "detail"));
    }
    putchar('\n');
    print_members(json_object_object_get(json, "members"));
}

/**
 * command_status() - print the state of an instance and the members
 * @ctl: the command line
 */
enum exit_code
command_status(struct ctl *ctl)
{
    enum exit_code code = EXIT_DONE;
    struct json_object *json = client_get(ctl, "/operator/v1/status", &code);

    if (json == NULL) {
        return code;
    }
    if (ctl->json) {
        print_json(json);
    }
    else {
        print_status(json);
    }
    json_object_put(json);
    return EXIT_DONE;
}

/* Each line is "name value". */
static void
print_counters_json(const char *text)
{
    struct json_object *json = json_object_new_object();
    char **lines = g_strsplit(text, "\n", -1);

    for (int i = 0; lines[i] != NULL; i++) {
        char *blank = strrchr(lines[i], ' ');

        if (blank != NULL) {
            *blank = '\0';
            json_object_object_add(
                json, lines[i],
                json_object_new_int64(g_ascii_strtoll(blank + 1, NULL, 10)));
        }
    }
    print_json(json);
    json_object_put(json);
    g_strfreev(lines);
}

/**
 * command_counters() - print the counters of an instance
 * @ctl: the command line
 */
enum exit_code
command_counters(struct ctl *ctl)
{
    enum exit_code code = EXIT_DONE;
    char *text = client_get_text(ctl, "/operator/v1/counters", &code);

    if (text == NULL) {
        return code;
    }
    if (ctl->json) {
        print_counters_json(text);
    }
    else {
        fputs(text, stdout);
    }
    g_free(text);
    return EXIT_DONE;
}
