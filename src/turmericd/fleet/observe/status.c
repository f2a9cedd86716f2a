/**
 * DOC: Parses the JSON responses of targets and of the platform.
 *
 * The input is untrusted: the length and the characters of each string are
 * checked, and an invalid record is skipped and counted, so that one target
 * can't hide the others.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/fleet/observe/fns.h"

enum {
    JSON_DEPTH_MAX = 16,
    BYTES_PER_MB = 1024 * 1024,
    LIST_RECORDS_MAX = TARGETS_MAX + MEMBERS_MAX,
};

static const char name_characters[] = "abcdefghijklmnopqrstuvwxyz"
                                      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "0123456789._-";
static const char path_characters[] = "abcdefghijklmnopqrstuvwxyz"
                                      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "0123456789._-/";
static const char address_characters[] = "0123456789abcdefABCDEF.:[]";

static struct json_object *
parse_json(const char *text, size_t bytes, enum json_type type,
           struct err *err)
{
    struct json_tokener *tokener;
    struct json_object *root;

    if (bytes > INT32_MAX) {
        err_set(err, ERR_BODY_TOO_LARGE, "JSON text of %zu bytes is too long",
                bytes);
        return NULL;
    }
    tokener = json_tokener_new_ex(JSON_DEPTH_MAX);
    if (tokener == NULL) {
        err_set(err, ERR_NO_MEMORY, "cannot allocate a JSON parser");
        return NULL;
    }
    json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
    root = json_tokener_parse_ex(tokener, text, (int)bytes);
    if (json_tokener_get_error(tokener) != json_tokener_success) {
        err_set(err, ERR_BAD_JSON, "JSON: %s at byte %zu",
                json_tokener_error_desc(json_tokener_get_error(tokener)),
                json_tokener_get_parse_end(tokener));
        json_object_put(root);
        root = NULL;
    }
    else if (json_object_get_type(root) != type) {
        err_set(err, ERR_BAD_JSON, "the JSON value is not of type %s",
                json_type_to_name(type));
        json_object_put(root);
        root = NULL;
    }
    json_tokener_free(tokener);
    return root;
}

/* Returns NULL unless the value is a string of 1 to max_bytes - 1 bytes, all
 * of them in characters. */
static const char *
checked_text(struct json_object *value, size_t max_bytes,
             const char *characters)
{
    const char *text;
    size_t length;

    if (json_object_get_type(value) != json_type_string) {
        return NULL;
    }
    text = json_object_get_string(value);
    length = (size_t)json_object_get_string_len(value);
    if (length == 0 || length >= max_bytes ||
        strspn(text, characters) != length) {
        return NULL;
    }
    return text;
}

static bool
read_json_text(struct json_object *object, const char *key, char *out,
               size_t max_bytes, const char *characters)
{
    struct json_object *value = json_object_object_get(object, key);
    const char *text = checked_text(value, max_bytes, characters);

    if (text == NULL) {
        return false;
    }
    memcpy(out, text, strlen(text) + 1);
    return true;
}

/* A missing number is 0; anything but a non-negative integer is an error. */
static bool
read_json_number(struct json_object *object, const char *key, uint64_t *out,
                 struct err *err)
{
    struct json_object *value = json_object_object_get(object, key);

    *out = 0;
    if (value == NULL) {
        return true;
    }
    if (json_object_get_type(value) != json_type_int ||
        (json_object_get_int64(value) < 0)) {
        return err_set(err, ERR_BAD_JSON, "%s is not a non-negative integer",
                       key);
    }
    *out = json_object_get_uint64(value);
    return true;
}

static bool
read_json_flag(struct json_object *object, const char *key, bool *out,
               struct err *err)
{
    struct json_object *value = json_object_object_get(object, key);

    *out = false;
    if (value == NULL) {
        return true;
    }
    if (json_object_get_type(value) != json_type_boolean) {
        return err_set(err, ERR_BAD_JSON, "%s is not a boolean", key);
    }
    *out = json_object_get_boolean(value);
    return true;
}

static uint32_t
saturate_u32(uint64_t value)
{
    return value > UINT32_MAX ? UINT32_MAX : (uint32_t)value;
}

/* Engines name a leaf as the orders do, by its path without the leading
 * slash; the tree names it with the slash. Either is the same leaf. */
static uint64_t
leaf_id(const char *name)
{
    char path[PATH_MAX_BYTES + 1];

    if (name[0] == '/') {
        return hash_text(name);
    }
    snprintf(path, sizeof(path), "/%s", name);
    return hash_text(path);
}

/* Appends the id of a leaf; skips invalid names, and all once ids is full. */
static void
append_leaf(struct json_object *name, uint64_t *ids, uint16_t *count, int max)
{
    const char *text = checked_text(name, PATH_MAX_BYTES, path_characters);

    if (text == NULL || *count == max) {
        counter_add(CTR_POLLS_FAILED, 1);
        return;
    }
    ids[*count] = leaf_id(text);
    (*count)++;
}

static bool
read_leaves(struct json_object *object, const char *key, uint64_t *ids,
            uint16_t *count, int max, struct err *err)
{
    struct json_object *array = json_object_object_get(object, key);

    if (array == NULL) {
        return true;
    }
    if (json_object_get_type(array) != json_type_array) {
        return err_set(err, ERR_BAD_JSON, "%s is not an array", key);
    }
    for (size_t i = 0; i < json_object_array_length(array); i++) {
        append_leaf(json_object_array_get_idx(array, i), ids, count, max);
    }
    return true;
}

static bool
read_cached(struct json_object *root, struct target_report *report,
            struct err *err)
{
    struct json_object *cached = json_object_object_get(root, "cached");

    if (cached == NULL) {
        return true;
    }
    if (json_object_get_type(cached) != json_type_object) {
        return err_set(err, ERR_BAD_JSON, "cached is not an object");
    }
    return read_leaves(cached, "memory", report->cached_memory,
                       &report->cached_memory_count, REPORT_CACHED_MAX, err) &&
           read_leaves(cached, "disk", report->cached_disk,
                       &report->cached_disk_count, REPORT_CACHED_MAX, err);
}

static bool
read_numbers(struct json_object *root, struct target_report *report,
             struct err *err)
{
    uint64_t memory_bytes;
    uint64_t used_bytes;
    uint64_t running;
    uint64_t waiting;

    if (!read_json_number(root, "incarnation", &report->incarnation, err) ||
        !read_json_number(root, "memory_bytes", &memory_bytes, err) ||
        !read_json_number(root, "used_bytes", &used_bytes, err) ||
        !read_json_number(root, "running", &running, err) ||
        !read_json_number(root, "waiting", &waiting, err)) {
        return false;
    }
    /* Total rounded down and use rounded up, so that free memory is never
     * overstated. */
    report->memory_mb = saturate_u32(memory_bytes / BYTES_PER_MB);
    report->used_mb = saturate_u32(used_bytes / BYTES_PER_MB +
                                   (used_bytes % BYTES_PER_MB != 0));
    report->running = saturate_u32(running);
    report->waiting = saturate_u32(waiting);
    return true;
}

static bool
read_status(struct json_object *root, struct target_report *report,
            struct err *err)
{
    bool draining;

    if (!read_numbers(root, report, err) ||
        !read_json_flag(root, "leaving", &draining, err) ||
        !read_leaves(root, "loaded", report->loaded, &report->loaded_count,
                     REPORT_LOADED_MAX, err) ||
        !read_cached(root, report, err)) {
        return false;
    }
    report->state = draining ? TARGET_DRAINING : TARGET_LIVE;
    return true;
}

/**
 * status_parse() - parse a target's response to GET /status
 * @text: JSON object
 * @bytes: length of @text
 * @report: receives the status; the identity is left empty
 * @err: filled in on failure
 *
 * A missing key counts as 0, false or empty, because plain services have no
 * models. A value of the wrong type rejects the whole status.
 *
 * Return: false with ERR_BAD_JSON, ERR_BODY_TOO_LARGE or ERR_NO_MEMORY.
 */
bool
status_parse(const char *text, size_t bytes, struct target_report *report,
             struct err *err)
{
    struct json_object *root = parse_json(text, bytes, json_type_object, err);
    bool parsed;

    memset(report, 0, sizeof(*report));
    if (root == NULL) {
        return false;
    }
    parsed = read_status(root, report, err);
    json_object_put(root);
    return parsed;
}

/* Returns the index of the text in the table, or -1. */
static int
read_json_choice(struct json_object *object, const char *key,
                 const char *const *choices, int count)
{
    char text[NAME_MAX_BYTES];

    if (!read_json_text(object, key, text, sizeof(text), name_characters)) {
        return -1;
    }
    for (int i = 0; i < count; i++) {
        if (strcmp(text, choices[i]) == 0) {
            return i;
        }
    }
    return -1;
}

static bool
read_json_address(struct json_object *object, const char *key, char *out,
                  size_t max_bytes)
{
    return read_json_text(object, key, out, max_bytes, address_characters) &&
           socket_check_address(out, NULL);
}

static bool
read_identity(struct json_object *object, struct listed_instance *listed)
{
    bool entry = listed->kind == LISTED_ENTRY;

    return read_json_text(object, "name", listed->name, sizeof(listed->name),
                          name_characters) &&
           read_json_text(object, "data_centre", listed->data_centre,
                          sizeof(listed->data_centre), name_characters) &&
           read_json_address(object, "address", listed->address,
                             sizeof(listed->address)) &&
           (entry ||
            read_json_text(object, "service", listed->service,
                           sizeof(listed->service), name_characters)) &&
           (!entry ||
            read_json_address(object, "peer_address", listed->peer_address,
                              sizeof(listed->peer_address)));
}

static bool
read_listed(struct json_object *object, struct listed_instance *listed)
{
    static const char *const kinds[] = {"entry", "engine", "plain"};
    static const char *const states[] = {"live", "leaving"};
    int kind;
    int state;

    memset(listed, 0, sizeof(*listed));
    if (json_object_get_type(object) != json_type_object) {
        return false;
    }
    kind = read_json_choice(object, "kind", kinds, 3);
    state = read_json_choice(object, "state", states, 2);
    if (kind < 0 || state < 0) {
        return false;
    }
    listed->kind = (enum listed_kind)kind;
    listed->draining = state == 1;
    return read_identity(object, listed);
}

static void
read_records(struct json_object *array, size_t count,
             struct instance_list *list)
{
    for (size_t i = 0; i < count; i++) {
        if (read_listed(json_object_array_get_idx(array, i),
                        &list->records[list->count])) {
            list->count++;
        }
        else {
            list->skipped++;
            counter_add(CTR_POLLS_FAILED, 1);
        }
    }
}

/* A record that is nested too deeply must not cost the others. */
static struct json_object *
parse_list(const char *text, size_t bytes, struct err *err)
{
    struct json_object *root = parse_json(text, bytes, json_type_array, err);
    size_t pruned_bytes;
    char *pruned;

    if (root != NULL || bytes > INT32_MAX) {
        return root;
    }
    pruned = json_prune(text, bytes, JSON_DEPTH_MAX, &pruned_bytes);
    root = parse_json(pruned, pruned_bytes, json_type_array, err);
    g_free(pruned);
    if (root != NULL) {
        err_clear(err);
    }
    return root;
}

/**
 * instance_list_parse() - parse the platform's list of instances
 * @text: JSON array
 * @bytes: length of @text
 * @list: receives the valid records, to be freed with instance_list_free()
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON, ERR_BODY_TOO_LARGE, ERR_TABLE_FULL or
 * ERR_NO_MEMORY.
 */
bool
instance_list_parse(const char *text, size_t bytes, struct instance_list *list,
                    struct err *err)
{
    struct json_object *root = parse_list(text, bytes, err);
    size_t count;

    memset(list, 0, sizeof(*list));
    if (root == NULL) {
        return false;
    }
    count = json_object_array_length(root);
    if (count > LIST_RECORDS_MAX) {
        err_set(err, ERR_TABLE_FULL, "list of %zu instances is too long",
                count);
        json_object_put(root);
        return false;
    }
    list->records = calloc(count + 1, sizeof(*list->records));
    if (list->records == NULL) {
        err_set(err, ERR_NO_MEMORY, "cannot allocate a list of %zu instances",
                count);
        json_object_put(root);
        return false;
    }
    read_records(root, count, list);
    json_object_put(root);
    return true;
}

/**
 * instance_list_free() - free the records of a list
 * @list: the list
 */
void
instance_list_free(struct instance_list *list)
{
    free(list->records);
    memset(list, 0, sizeof(*list));
}
