/**
 * DOC: Adapter for the etcd v3 JSON gateway.
 *
 * Keys and values travel in base64, 64-bit numbers as strings, and fields
 * with default values are left out of answers. An answer counts only when it
 * is complete JSON with the service's header; whatever else arrives leaves
 * open whether the call took effect.
 */
#include <errno.h>
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
#include "kv/dat.h"
#include "kv/fns.h"

enum { HTTP_OK = 200, URL_MAX_BYTES = 160 };

static struct json_object *
base64_new(const void *data, size_t bytes)
{
    gchar *text = g_base64_encode(data, bytes);
    struct json_object *object = json_object_new_string(text);

    g_free(text);
    return object;
}

static void
add_key(struct json_object *object, const char *name, const char *key)
{
    json_object_object_add(object, name, base64_new(key, strlen(key)));
}

static void
add_number(struct json_object *object, const char *name, int64_t number)
{
    char text[32];

    snprintf(text, sizeof(text), "%lld", (long long)number);
    json_object_object_add(object, name, json_object_new_string(text));
}

static bool
malformed(struct err *err, const char *what)
{
    return err_set(err, ERR_KV_DOWN, "malformed answer: %s", what);
}

/* Numbers of 64 bits arrive as strings; an absent number is 0. */
static bool
read_number(struct json_object *object, const char *name, int64_t *number,
            struct err *err)
{
    struct json_object *field;
    const char *text;
    char *end;

    *number = 0;
    if (!json_object_object_get_ex(object, name, &field)) {
        return true;
    }
    if (!json_object_is_type(field, json_type_string) &&
        !json_object_is_type(field, json_type_int)) {
        return malformed(err, name);
    }
    text = json_object_get_string(field);
    errno = 0;
    *number = strtoll(text, &end, 10);
    if (end == text || *end != '\0' || errno != 0 || *number < 0) {
        return malformed(err, name);
    }
    return true;
}

/* g_base64_decode() skips what is no base64, so the text is checked first. */
static bool
is_base64(const char *text, size_t bytes)
{
    static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "abcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t data = strspn(text, alphabet);
    size_t padding = strspn(text + data, "=");

    return bytes % 4 == 0 && padding <= 2 && data + padding == bytes;
}

/* Returns a new buffer with a NUL byte after the data, or NULL. */
static char *
read_base64(struct json_object *object, const char *name, size_t *bytes)
{
    struct json_object *field;
    const char *text = "";
    size_t text_bytes = 0;
    char *data;

    if (json_object_object_get_ex(object, name, &field)) {
        if (!json_object_is_type(field, json_type_string)) {
            return NULL;
        }
        text = json_object_get_string(field);
        text_bytes = (size_t)json_object_get_string_len(field);
    }
    if (!is_base64(text, text_bytes)) {
        return NULL;
    }
    data = calloc(1, text_bytes / 4 * 3 + 1);
    if (data != NULL) {
        gint state = 0;
        guint save = 0;

        *bytes = g_base64_decode_step(text, text_bytes, (guchar *)data, &state,
                                      &save);
        data[*bytes] = '\0';
    }
    return data;
}

static bool
read_entry(struct json_object *object, struct kv_entry *entry, struct err *err)
{
    size_t key_bytes = 0;
    char *key;

    if (!json_object_is_type(object, json_type_object)) {
        return malformed(err, "kvs");
    }
    key = read_base64(object, "key", &key_bytes);
    if (key == NULL || key_bytes == 0 || key_bytes >= KV_KEY_MAX_BYTES ||
        strlen(key) != key_bytes) {
        free(key);
        return malformed(err, "key");
    }
    memcpy(entry->key, key, key_bytes + 1);
    free(key);
    if (!read_number(object, "mod_revision", &entry->revision, err)) {
        return false;
    }
    if (entry->revision == 0) {
        return malformed(err, "mod_revision");
    }
    entry->value = read_base64(object, "value", &entry->value_bytes);
    return entry->value != NULL || malformed(err, "value");
}

/* Checks what a damaged or foreign answer would break: order and bounds. */
static bool
check_entry(const struct kv_entries *entries, const char *from,
            const char *end, struct err *err)
{
    const struct kv_entry *last = &entries->items[entries->count - 1];

    if (strcmp(last->key, from) < 0 ||
        (end == NULL ? strcmp(last->key, from) != 0
                     : strcmp(last->key, end) >= 0)) {
        return malformed(err, "key outside the range");
    }
    if (entries->count > 1 && strcmp(last[-1].key, last->key) >= 0) {
        return malformed(err, "keys out of order");
    }
    return true;
}

static bool
read_entries(struct json_object *answer, const char *from, const char *end,
             int limit, struct kv_entries *entries, struct err *err)
{
    struct json_object *list = NULL;
    struct json_object *more = NULL;
    size_t count = 0;

    if (json_object_object_get_ex(answer, "kvs", &list)) {
        if (!json_object_is_type(list, json_type_array)) {
            return malformed(err, "kvs");
        }
        count = json_object_array_length(list);
    }
    if (count > (size_t)limit) {
        return malformed(err, "more keys than asked for");
    }
    entries->items = calloc(count + 1, sizeof(*entries->items));
    if (entries->items == NULL) {
        return err_set(err, ERR_NO_MEMORY, "%zu entries", count);
    }
    for (size_t i = 0; i < count; i++) {
        entries->count++;
        if (!read_entry(json_object_array_get_idx(list, i), &entries->items[i],
                        err) ||
            !check_entry(entries, from, end, err)) {
            return false;
        }
    }
    json_object_object_get_ex(answer, "more", &more);
    entries->more = more != NULL && json_object_get_boolean(more);
    return true;
}

static bool
has_header(struct json_object *answer)
{
    struct json_object *header;

    return json_object_is_type(answer, json_type_object) &&
           json_object_object_get_ex(answer, "header", &header) &&
           json_object_is_type(header, json_type_object);
}

/* The client's timeout has whole seconds; a part of one counts as one. */
static int
timeout_seconds(const struct kv_etcd *etcd)
{
    return (etcd->timeout_ms + 999) / 1000;
}

/* Posts @question, which it releases. Returns NULL with an error. */
static struct json_object *
post(struct kv_etcd *etcd, const char *path, struct json_object *question,
     struct err *err)
{
    char url[URL_MAX_BYTES];
    const char *body = json_object_to_json_string_ext(
        question, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
    struct json_object *answer = NULL;
    struct err reason = {0};
    bool valid = false;
    int status;

    snprintf(url, sizeof(url), "%s%s", etcd->url, path);
    if (!http_call("POST", url, NULL, body, timeout_seconds(etcd), &status,
                   &answer, &reason)) {
        err_set(err, ERR_KV_DOWN, "%s", reason.text);
    }
    else if (status != HTTP_OK) {
        err_set(err, ERR_KV_DOWN, "%s answered status %d", path, status);
    }
    else {
        valid = has_header(answer) ||
                malformed(err, "no JSON object with a header");
    }
    json_object_put(question);
    if (!valid) {
        json_object_put(answer);
        return NULL;
    }
    return answer;
}

static struct kv_etcd *
etcd_of(struct kv *kv)
{
    return (struct kv_etcd *)kv;
}

/* Reads one key when @end is NULL. */
static bool
read_range(struct kv_etcd *etcd, const char *from, const char *end, int limit,
           struct kv_entries *entries, struct err *err)
{
    struct json_object *question = json_object_new_object();
    struct json_object *answer;
    bool done;

    add_key(question, "key", from);
    if (end != NULL) {
        add_key(question, "range_end", end);
    }
    add_number(question, "limit", limit);
    answer = post(etcd, "/v3/kv/range", question, err);
    if (answer == NULL) {
        return false;
    }
    done = read_entries(answer, from, end, limit, entries, err);
    json_object_put(answer);
    if (!done) {
        kv_entries_free(entries);
    }
    return done;
}

static bool
etcd_range(struct kv *kv, const char *from, const char *end, int limit,
           struct kv_entries *entries, struct err *err)
{
    return read_range(etcd_of(kv), from, end, limit, entries, err);
}

static bool
etcd_get(struct kv *kv, const char *key, struct kv_entry *entry,
         struct err *err)
{
    struct kv_entries entries = {0};

    if (!read_range(etcd_of(kv), key, NULL, 1, &entries, err)) {
        return false;
    }
    g_strlcpy(entry->key, key, sizeof(entry->key));
    if (entries.count == 1) {
        *entry = entries.items[0];
        entries.count = 0;
    }
    kv_entries_free(&entries);
    return true;
}

static struct json_object *
array_of(struct json_object *item)
{
    struct json_object *array = json_object_new_array();

    json_object_array_add(array, item);
    return array;
}

static struct json_object *
cas_question(const char *key, int64_t expected, const void *value,
             size_t value_bytes)
{
    struct json_object *question = json_object_new_object();
    struct json_object *compare = json_object_new_object();
    struct json_object *success = json_object_new_object();
    struct json_object *put = json_object_new_object();

    add_key(compare, "key", key);
    json_object_object_add(compare, "target", json_object_new_string("MOD"));
    json_object_object_add(compare, "result", json_object_new_string("EQUAL"));
    add_number(compare, "mod_revision", expected);
    add_key(put, "key", key);
    json_object_object_add(put, "value", base64_new(value, value_bytes));
    json_object_object_add(success, "request_put", put);
    json_object_object_add(question, "compare", array_of(compare));
    json_object_object_add(question, "success", array_of(success));
    return question;
}

/* The gateway leaves out succeeded when it is false. */
static bool
read_cas_answer(struct json_object *answer, const char *key, int64_t *revision,
                struct err *err)
{
    struct json_object *succeeded = NULL;
    struct json_object *header = NULL;

    json_object_object_get_ex(answer, "succeeded", &succeeded);
    if (succeeded != NULL &&
        !json_object_is_type(succeeded, json_type_boolean)) {
        return malformed(err, "succeeded");
    }
    if (succeeded == NULL || !json_object_get_boolean(succeeded)) {
        return err_set(err, ERR_KV_CONFLICT, "%s was written by another", key);
    }
    json_object_object_get_ex(answer, "header", &header);
    if (!read_number(header, "revision", revision, err)) {
        return false;
    }
    return *revision > 0 || malformed(err, "revision");
}

static bool
etcd_cas(struct kv *kv, const char *key, int64_t expected, const void *value,
         size_t value_bytes, int64_t *revision, struct err *err)
{
    struct json_object *answer =
        post(etcd_of(kv), "/v3/kv/txn",
             cas_question(key, expected, value, value_bytes), err);
    bool done;

    if (answer == NULL) {
        return false;
    }
    done = read_cas_answer(answer, key, revision, err);
    json_object_put(answer);
    return done;
}

static bool
etcd_remove(struct kv *kv, const char *from, const char *end, struct err *err)
{
    struct json_object *question = json_object_new_object();
    struct json_object *answer;

    add_key(question, "key", from);
    add_key(question, "range_end", end);
    answer = post(etcd_of(kv), "/v3/kv/deleterange", question, err);
    json_object_put(answer);
    return answer != NULL;
}

static const struct kv_ops etcd_ops = {
    .get = etcd_get,
    .range = etcd_range,
    .cas = etcd_cas,
    .remove = etcd_remove,
};

/**
 * kv_etcd_init() - set up the adapter; it connects with each call
 * @etcd: the adapter
 * @url: base URL, such as http://127.0.0.1:2379
 * @timeout_ms: longest wait of a call, rounded up to whole seconds
 *
 * The process calls ulfius_global_init() before the first call.
 */
void
kv_etcd_init(struct kv_etcd *etcd, const char *url, int timeout_ms)
{
    memset(etcd, 0, sizeof(*etcd));
    etcd->kv.ops = &etcd_ops;
    g_strlcpy(etcd->url, url, sizeof(etcd->url));
    etcd->timeout_ms = timeout_ms;
}
