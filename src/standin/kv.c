/**
 * DOC: Simulated key-value store with etcd's v3 JSON gateway.
 *
 * Implements range, put, deleterange and txn, with comparisons of mod
 * revision, create revision and version. Values are stored in base64 as
 * received; keys are decoded, so that they sort by their bytes.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"
#include "standin/dat.h"
#include "standin/fns.h"

struct stored_value {
    char *value;
    int64_t create_revision;
    int64_t mod_revision;
    int64_t version;
};

struct kv_role {
    struct role role;
    GTree *entries;
    int64_t revision;
    int64_t reads;
    int64_t writes;
    int64_t value_bytes;
};

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
    (void)unused;
    return strcmp(a, b);
}

static void
free_stored_value(gpointer pointer)
{
    struct stored_value *stored = pointer;

    g_free(stored->value);
    g_free(stored);
}

/* The gateway accepts member names in snake_case and camelCase. */
static struct json_object *
get_member(struct json_object *object, const char *snake, const char *camel)
{
    struct json_object *value = NULL;

    if (!json_object_object_get_ex(object, snake, &value)) {
        json_object_object_get_ex(object, camel, &value);
    }
    return value;
}

static char *
decode_key(struct json_object *object, const char *snake, const char *camel)
{
    struct json_object *value = get_member(object, snake, camel);
    gsize bytes = 0;
    guchar *raw;
    char *key;

    if (value == NULL) {
        return NULL;
    }
    raw = g_base64_decode(json_object_get_string(value), &bytes);
    key = g_strndup((char *)raw, bytes);
    g_free(raw);
    return key;
}

static struct json_object *
int64_to_json(int64_t value)
{
    char text[32];

    snprintf(text, sizeof(text), "%" PRId64, value);
    return json_object_new_string(text);
}

static struct json_object *
response_header(const struct kv_role *kv)
{
    struct json_object *object = json_object_new_object();

    json_object_object_add(object, "revision", int64_to_json(kv->revision));
    return object;
}

static struct json_object *
entry_to_json(const char *key, const struct stored_value *stored)
{
    struct json_object *object = json_object_new_object();
    char *encoded = g_base64_encode((const guchar *)key, strlen(key));

    json_object_object_add(object, "key", json_object_new_string(encoded));
    json_object_object_add(object, "value",
                           json_object_new_string(stored->value));
    json_object_object_add(object, "create_revision",
                           int64_to_json(stored->create_revision));
    json_object_object_add(object, "mod_revision",
                           int64_to_json(stored->mod_revision));
    json_object_object_add(object, "version", int64_to_json(stored->version));
    g_free(encoded);
    return object;
}

/* A range end of one NUL byte means all keys from the start key on. */
static bool
is_before_end(const char *key, const char *end)
{
    return end[0] == '\0' || strcmp(key, end) < 0;
}

static struct json_object *
kv_range(struct kv_role *kv, struct json_object *body)
{
    struct json_object *reply = json_object_new_object();
    struct json_object *kvs = json_object_new_array();
    char *key = decode_key(body, "key", "key");
    char *end = decode_key(body, "range_end", "rangeEnd");
    int64_t limit = json_get_int64(body, "limit", 0);
    int64_t count = 0;
    GTreeNode *node;

    node = g_tree_lower_bound(kv->entries, key != NULL ? key : "");
    for (; node != NULL; node = g_tree_node_next(node)) {
        const char *entry_key = g_tree_node_key(node);

        if (end != NULL ? !is_before_end(entry_key, end)
                        : strcmp(entry_key, key) != 0) {
            break;
        }
        count++;
        if (limit == 0 || count <= limit) {
            json_object_array_add(
                kvs, entry_to_json(entry_key, g_tree_node_value(node)));
        }
    }
    json_object_object_add(reply, "header", response_header(kv));
    json_object_object_add(reply, "kvs", kvs);
    json_object_object_add(
        reply, "more", json_object_new_boolean(limit > 0 && count > limit));
    json_object_object_add(reply, "count", int64_to_json(count));
    g_free(key);
    g_free(end);
    kv->reads++;
    return reply;
}

static void
store_value(struct kv_role *kv, char *key, const char *value)
{
    struct stored_value *old = g_tree_lookup(kv->entries, key);
    struct stored_value stored = {.value = g_strdup(value)};

    stored.mod_revision = ++kv->revision;
    stored.create_revision =
        old != NULL ? old->create_revision : stored.mod_revision;
    stored.version = old != NULL ? old->version + 1 : 1;
    kv->value_bytes += (int64_t)strlen(value) * 3 / 4;
    g_tree_replace(kv->entries, key, g_memdup2(&stored, sizeof(stored)));
}

static struct json_object *
kv_put(struct kv_role *kv, struct json_object *body)
{
    struct json_object *reply = json_object_new_object();

    store_value(kv, decode_key(body, "key", "key"),
                json_get_string(body, "value", ""));
    json_object_object_add(reply, "header", response_header(kv));
    kv->writes++;
    return reply;
}

static struct json_object *
kv_delete_range(struct kv_role *kv, struct json_object *body)
{
    struct json_object *reply = json_object_new_object();
    char *key = decode_key(body, "key", "key");
    char *end = decode_key(body, "range_end", "rangeEnd");
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    GTreeNode *node = g_tree_lower_bound(kv->entries, key != NULL ? key : "");

    for (; node != NULL; node = g_tree_node_next(node)) {
        const char *entry_key = g_tree_node_key(node);

        if (end != NULL ? !is_before_end(entry_key, end)
                        : strcmp(entry_key, key) != 0) {
            break;
        }
        g_ptr_array_add(keys, g_strdup(entry_key));
    }
    if (keys->len > 0) {
        kv->revision++;
    }
    for (guint i = 0; i < keys->len; i++) {
        g_tree_remove(kv->entries, keys->pdata[i]);
    }
    json_object_object_add(reply, "header", response_header(kv));
    json_object_object_add(reply, "deleted", int64_to_json(keys->len));
    g_ptr_array_free(keys, TRUE);
    g_free(key);
    g_free(end);
    kv->writes++;
    return reply;
}

static bool
comparison_holds(struct kv_role *kv, struct json_object *comparison)
{
    char *key = decode_key(comparison, "key", "key");
    const struct stored_value *stored = g_tree_lookup(kv->entries, key);
    const char *target = json_get_string(comparison, "target", "VERSION");
    const char *result = json_get_string(comparison, "result", "EQUAL");
    struct json_object *expected_value;
    int64_t actual = 0;
    int64_t expected;

    g_free(key);
    if (strcmp(target, "MOD") == 0) {
        expected_value = get_member(comparison, "mod_revision", "modRevision");
        actual = stored != NULL ? stored->mod_revision : 0;
    }
    else if (strcmp(target, "CREATE") == 0) {
        expected_value =
            get_member(comparison, "create_revision", "createRevision");
        actual = stored != NULL ? stored->create_revision : 0;
    }
    else {
        expected_value = get_member(comparison, "version", "version");
        actual = stored != NULL ? stored->version : 0;
    }
    expected =
        expected_value != NULL ? json_object_get_int64(expected_value) : 0;
    if (strcmp(result, "GREATER") == 0) {
        return actual > expected;
    }
    if (strcmp(result, "LESS") == 0) {
        return actual < expected;
    }
    if (strcmp(result, "NOT_EQUAL") == 0) {
        return actual != expected;
    }
    return actual == expected;
}

static void
run_operation(struct kv_role *kv, struct json_object *operation,
              struct json_object *responses)
{
    struct json_object *reply = json_object_new_object();
    struct json_object *body;

    if ((body = get_member(operation, "request_put", "requestPut")) != NULL) {
        json_object_object_add(reply, "response_put", kv_put(kv, body));
    }
    else if ((body = get_member(operation, "request_range", "requestRange")) !=
             NULL) {
        json_object_object_add(reply, "response_range", kv_range(kv, body));
    }
    else if ((body = get_member(operation, "request_delete_range",
                                "requestDeleteRange")) != NULL) {
        json_object_object_add(reply, "response_delete_range",
                               kv_delete_range(kv, body));
    }
    json_object_array_add(responses, reply);
}

static struct json_object *
kv_txn(struct kv_role *kv, struct json_object *body)
{
    struct json_object *reply = json_object_new_object();
    struct json_object *responses = json_object_new_array();
    struct json_object *items;
    bool succeeded = true;

    if (json_object_object_get_ex(body, "compare", &items)) {
        for (size_t i = 0; i < json_object_array_length(items); i++) {
            succeeded =
                succeeded &&
                comparison_holds(kv, json_object_array_get_idx(items, i));
        }
    }
    if (json_object_object_get_ex(body, succeeded ? "success" : "failure",
                                  &items)) {
        for (size_t i = 0; i < json_object_array_length(items); i++) {
            run_operation(kv, json_object_array_get_idx(items, i), responses);
        }
    }
    if (!succeeded) {
        kv->writes++;
    }
    json_object_object_add(reply, "header", response_header(kv));
    json_object_object_add(reply, "succeeded",
                           json_object_new_boolean(succeeded));
    json_object_object_add(reply, "responses", responses);
    return reply;
}

static int
post_kv(const struct _u_request *request, struct _u_response *response,
        void *user_data)
{
    struct kv_role *kv = user_data;
    struct err err = {0};
    struct json_object *body = http_body_json(request, &err);
    struct json_object *reply = NULL;
    const char *operation = u_map_get(request->map_url, "call");
    bool drop_response;

    if (body == NULL) {
        reply_error(response, 400, err.text);
        return U_CALLBACK_COMPLETE;
    }
    role_begin_request(&kv->role, request);
    pthread_mutex_lock(&kv->role.lock);
    if (strcmp(operation, "range") == 0) {
        reply = kv_range(kv, body);
    }
    else if (strcmp(operation, "put") == 0) {
        reply = kv_put(kv, body);
    }
    else if (strcmp(operation, "deleterange") == 0) {
        reply = kv_delete_range(kv, body);
    }
    else if (strcmp(operation, "txn") == 0) {
        reply = kv_txn(kv, body);
    }
    /* Reads don't count, because polls would use up the dropped responses
     * before the write under test. */
    drop_response = strcmp(operation, "range") != 0 &&
                    kv->role.faults.drop_write_responses > 0;
    kv->role.faults.drop_write_responses -= drop_response ? 1 : 0;
    pthread_mutex_unlock(&kv->role.lock);
    json_object_put(body);
    if (reply == NULL) {
        reply_error(response, 404, "unknown call");
        return U_CALLBACK_COMPLETE;
    }
    http_reply_json(response, 200, reply);
    return drop_response ? role_drop_response(response)
                         : role_end_request(&kv->role, response);
}

static bool
kv_init(struct role *role, struct err *err)
{
    struct kv_role *kv = (struct kv_role *)role;

    (void)err;
    kv->entries =
        g_tree_new_full(compare_keys, NULL, g_free, free_stored_value);
    return role_add_endpoint(role, "POST", "/v3/kv/:call", post_kv);
}

static struct json_object *
kv_stats(struct role *role)
{
    struct kv_role *kv = (struct kv_role *)role;
    struct json_object *stats = json_object_new_object();

    json_object_object_add(stats, "reads", json_object_new_int64(kv->reads));
    json_object_object_add(stats, "writes", json_object_new_int64(kv->writes));
    json_object_object_add(stats, "value_bytes",
                           json_object_new_int64(kv->value_bytes));
    json_object_object_add(stats, "keys",
                           json_object_new_int(g_tree_nnodes(kv->entries)));
    return stats;
}

static const struct role_ops kv_ops = {"kv", kv_init, kv_stats};

/**
 * kv_role_new() - create a simulated key-value store
 * @options: command line
 * @err: filled in on failure
 *
 * Return: the role, or NULL.
 */
struct role *
kv_role_new(const struct standin_options *options, struct err *err)
{
    struct kv_role *kv = g_new0(struct kv_role, 1);

    return role_init(&kv->role, &kv_ops, options, err) ? &kv->role : NULL;
}
