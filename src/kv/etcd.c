/**
 * DOC: Adapter for the etcd v3 JSON gateway.
 *
 * The gateway encodes keys and values in base64 and 64-bit numbers as strings,
 * and omits fields with default values from responses. A response is valid
 * only if it is complete JSON with etcd's header; after any other response it
 * is unknown whether the call took effect.
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
base64_string_new(const void *data, size_t bytes)
{
    gchar *text = g_base64_encode(data, bytes);
    struct json_object *object = json_object_new_string(text);

    g_free(text);
    return object;
}

static void
add_base64_key(struct json_object *object, const char *name, const char *key)
{
    json_object_object_add(object, name, base64_string_new(key, strlen(key)));
}

static void
add_number(struct json_object *object, const char *name, int64_t number)
{
    char text[32];

    snprintf(text, sizeof(text), "%lld", (long long)number);
    json_object_object_add(object, name, json_object_new_string(text));
}

static bool
set_malformed(struct err *err, const char *what)
{
    return err_set(err, ERR_KV_DOWN, "malformed response: %s", what);
}

/* Decodes a 64-bit number, sent as a string; an absent number is 0. */
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
        return set_malformed(err, name);
    }
    text = json_object_get_string(field);
    errno = 0;
    *number = strtoll(text, &end, 10);
    if (end == text || *end != '\0' || errno != 0 || *number < 0) {
        return set_malformed(err, name);
    }
    return true;
}

/* Checks the text first, as GLib's decoder skips invalid characters. */
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
        return set_malformed(err, "kvs");
    }
    key = read_base64(object, "key", &key_bytes);
    if (key == NULL || key_bytes == 0 || key_bytes >= KV_KEY_MAX_BYTES ||
        strlen(key) != key_bytes) {
        free(key);
        return set_malformed(err, "key");
    }
    memcpy(entry->key, key, key_bytes + 1);
    free(key);
    if (!read_number(object, "mod_revision", &entry->revision, err)) {
        return false;
    }
    if (entry->revision == 0) {
        return set_malformed(err, "mod_revision");
    }
    entry->value = read_base64(object, "value", &entry->value_bytes);
    return entry->value != NULL || set_malformed(err, "value");
}

/* Rejects a damaged or foreign response whose keys are outside the range or
 * out of order. */
static bool
check_entry(const struct kv_entries *entries, const char *from,
            const char *end, struct err *err)
{
    const struct kv_entry *last = &entries->items[entries->count - 1];

    if (strcmp(last->key, from) < 0 ||
        (end == NULL ? strcmp(last->key, from) != 0
                     : strcmp(last->key, end) >= 0)) {
        return set_malformed(err, "key outside the range");
    }
    if (entries->count > 1 && strcmp(last[-1].key, last->key) >= 0) {
        return set_malformed(err, "keys out of order");
    }
    return true;
}

static bool
read_entries(struct json_object *response, const char *from, const char *end,
             int limit, struct kv_entries *entries, struct err *err)
{
    struct json_object *list = NULL;
    struct json_object *more = NULL;
    size_t count = 0;

    if (json_object_object_get_ex(response, "kvs", &list)) {
        if (!json_object_is_type(list, json_type_array)) {
            return set_malformed(err, "kvs");
        }
        count = json_object_array_length(list);
    }
    if (count > (size_t)limit) {
        return set_malformed(err, "more keys than requested");
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
    json_object_object_get_ex(response, "more", &more);
    entries->more = more != NULL && json_object_get_boolean(more);
    return true;
}

static bool
has_header(struct json_object *response)
{
    struct json_object *header;

    return json_object_is_type(response, json_type_object) &&
           json_object_object_get_ex(response, "header", &header) &&
           json_object_is_type(header, json_type_object);
}

/* The HTTP client's timeout is in whole seconds, so it is rounded up. */
static int
timeout_seconds(const struct kv_etcd *etcd)
{
    return (etcd->timeout_ms + 999) / 1000;
}

/* Posts @request and releases it. Returns the response, or NULL on failure. */
static struct json_object *
post_request(struct kv_etcd *etcd, const char *path,
             struct json_object *request, struct err *err)
{
    char url[URL_MAX_BYTES];
    const char *body = json_object_to_json_string_ext(
        request, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
    struct json_object *response = NULL;
    struct err reason = {0};
    bool valid = false;
    int status;

    snprintf(url, sizeof(url), "%s%s", etcd->url, path);
    if (!http_call("POST", url, NULL, body, timeout_seconds(etcd), &status,
                   &response, &reason)) {
        err_set(err, ERR_KV_DOWN, "%s", reason.text);
    }
    else if (status != HTTP_OK) {
        err_set(err, ERR_KV_DOWN, "%s returned HTTP status %d", path, status);
    }
    else {
        valid = has_header(response) ||
                set_malformed(err, "no JSON object with a header");
    }
    json_object_put(request);
    if (!valid) {
        json_object_put(response);
        return NULL;
    }
    return response;
}

static struct kv_etcd *
etcd_of(struct kv *kv)
{
    return (struct kv_etcd *)kv;
}

/* Reads the single key @from when @end is NULL. */
static bool
read_range(struct kv_etcd *etcd, const char *from, const char *end, int limit,
           struct kv_entries *entries, struct err *err)
{
    struct json_object *request = json_object_new_object();
    struct json_object *response;
    bool done;

    add_base64_key(request, "key", from);
    if (end != NULL) {
        add_base64_key(request, "range_end", end);
    }
    add_number(request, "limit", limit);
    response = post_request(etcd, "/v3/kv/range", request, err);
    if (response == NULL) {
        return false;
    }
    done = read_entries(response, from, end, limit, entries, err);
    json_object_put(response);
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
single_item_array(struct json_object *item)
{
    struct json_object *array = json_object_new_array();

    json_object_array_add(array, item);
    return array;
}

static struct json_object *
cas_request_new(const char *key, int64_t expected_revision, const void *value,
                size_t value_bytes)
{
    struct json_object *request = json_object_new_object();
    struct json_object *compare = json_object_new_object();
    struct json_object *success = json_object_new_object();
    struct json_object *put = json_object_new_object();

    add_base64_key(compare, "key", key);
    json_object_object_add(compare, "target", json_object_new_string("MOD"));
    json_object_object_add(compare, "result", json_object_new_string("EQUAL"));
    add_number(compare, "mod_revision", expected_revision);
    add_base64_key(put, "key", key);
    json_object_object_add(put, "value",
                           base64_string_new(value, value_bytes));
    json_object_object_add(success, "request_put", put);
    json_object_object_add(request, "compare", single_item_array(compare));
    json_object_object_add(request, "success", single_item_array(success));
    return request;
}

/* The gateway omits "succeeded" when it is false. */
static bool
read_cas_response(struct json_object *response, const char *key,
                  int64_t *revision, struct err *err)
{
    struct json_object *succeeded = NULL;
    struct json_object *header = NULL;

    json_object_object_get_ex(response, "succeeded", &succeeded);
    if (succeeded != NULL &&
        !json_object_is_type(succeeded, json_type_boolean)) {
        return set_malformed(err, "succeeded");
    }
    if (succeeded == NULL || !json_object_get_boolean(succeeded)) {
        return err_set(err, ERR_KV_CONFLICT,
                       "%s was changed by another writer", key);
    }
    json_object_object_get_ex(response, "header", &header);
    if (!read_number(header, "revision", revision, err)) {
        return false;
    }
    return *revision > 0 || set_malformed(err, "revision");
}

static bool
etcd_cas(struct kv *kv, const char *key, int64_t expected_revision,
         const void *value, size_t value_bytes, int64_t *revision,
         struct err *err)
{
    struct json_object *response = post_request(
        etcd_of(kv), "/v3/kv/txn",
        cas_request_new(key, expected_revision, value, value_bytes), err);
    bool done;

    if (response == NULL) {
        return false;
    }
    done = read_cas_response(response, key, revision, err);
    json_object_put(response);
    return done;
}

static bool
etcd_remove(struct kv *kv, const char *from, const char *end, struct err *err)
{
    struct json_object *request = json_object_new_object();
    struct json_object *response;

    add_base64_key(request, "key", from);
    add_base64_key(request, "range_end", end);
    response = post_request(etcd_of(kv), "/v3/kv/deleterange", request, err);
    json_object_put(response);
    return response != NULL;
}

static const struct kv_ops etcd_ops = {
    .get = etcd_get,
    .range = etcd_range,
    .cas = etcd_cas,
    .remove = etcd_remove,
};

/**
 * kv_etcd_init() - set up the adapter, which opens a connection for each call
 * @etcd: the adapter
 * @url: base URL of the gateway, such as http://127.0.0.1:2379
 * @timeout_ms: timeout of a call, rounded up to whole seconds
 *
 * ulfius_global_init() must be called before the first call.
 */
void
kv_etcd_init(struct kv_etcd *etcd, const char *url, int timeout_ms)
{
    memset(etcd, 0, sizeof(*etcd));
    etcd->kv.ops = &etcd_ops;
    g_strlcpy(etcd->url, url, sizeof(etcd->url));
    etcd->timeout_ms = timeout_ms;
}
