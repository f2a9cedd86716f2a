/**
 * DOC: JSON encoding of the replica and engine records.
 *
 * Ids are hexadecimal strings, because 64-bit JSON numbers are not portable.
 * The decoder rejects anything that the encoder does not write, because an
 * unreadable record must block decisions rather than count as empty.
 */
#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "kv/fns.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

enum { RECORD_VERSION = 1 };

static const char *const state_names[] = {"loading", "loaded", "unloading",
                                          "doubt"};

/**
 * record_key() - key of a record in the key-value store
 * @key: filled in
 * @bytes: size of @key
 * @kind: "replicas" or "engines"
 * @id: id of the leaf or engine
 */
void
record_key(char *key, size_t bytes, const char *kind, uint64_t id)
{
    snprintf(key, bytes, "/turmeric/%s/%016" PRIx64, kind, id);
}

static void
put_id(struct json_object *object, const char *name, uint64_t id)
{
    char text[17];

    snprintf(text, sizeof(text), "%016" PRIx64, id);
    json_object_object_add(object, name, json_object_new_string(text));
}

static void
put_number(struct json_object *object, const char *name, int64_t number)
{
    json_object_object_add(object, name, json_object_new_int64(number));
}

static bool
set_malformed(struct err *err, const char *name)
{
    return err_set(err, ERR_BAD_JSON, "record: \"%s\" is missing or malformed",
                   name);
}

static bool
get_id(struct json_object *object, const char *name, uint64_t *id,
       struct err *err)
{
    struct json_object *value;
    const char *text;
    char *end;

    if (!json_object_object_get_ex(object, name, &value) ||
        !json_object_is_type(value, json_type_string)) {
        return set_malformed(err, name);
    }
    text = json_object_get_string(value);
    if (strlen(text) != 16 || strspn(text, "0123456789abcdef") != 16) {
        return set_malformed(err, name);
    }
    *id = g_ascii_strtoull(text, &end, 16);
    return true;
}

static bool
get_number(struct json_object *object, const char *name, int64_t *number,
           struct err *err)
{
    struct json_object *value;

    if (!json_object_object_get_ex(object, name, &value) ||
        !json_object_is_type(value, json_type_int)) {
        return set_malformed(err, name);
    }
    *number = json_object_get_int64(value);
    return *number >= 0 || set_malformed(err, name);
}

static bool
get_fence(struct json_object *object, const char *name, uint64_t *number,
          struct err *err)
{
    int64_t value;

    if (!get_number(object, name, &value, err)) {
        return false;
    }
    *number = (uint64_t)value;
    return true;
}

static bool
get_path(struct json_object *object, uint64_t leaf, char *path,
         struct err *err)
{
    struct json_object *value;

    if (!json_object_object_get_ex(object, "path", &value) ||
        !json_object_is_type(value, json_type_string) ||
        json_object_get_string_len(value) >= PATH_MAX_BYTES) {
        return set_malformed(err, "path");
    }
    g_strlcpy(path, json_object_get_string(value), PATH_MAX_BYTES);
    return hash_text(path) == leaf || set_malformed(err, "path");
}

static bool
get_array(struct json_object *object, const char *name, size_t max,
          struct json_object **array, struct err *err)
{
    if (!json_object_object_get_ex(object, name, array) ||
        !json_object_is_type(*array, json_type_array) ||
        json_object_array_length(*array) > max) {
        return set_malformed(err, name);
    }
    return true;
}

static struct json_object *
parse_record(const char *text, struct err *err)
{
    struct json_object *root = json_tokener_parse(text);
    int64_t version;

    if (!json_object_is_type(root, json_type_object)) {
        json_object_put(root);
        set_malformed(err, "{");
        return NULL;
    }
    if (!get_number(root, "version", &version, err) ||
        version != RECORD_VERSION) {
        json_object_put(root);
        set_malformed(err, "version");
        return NULL;
    }
    return root;
}

static char *
to_text(struct json_object *root)
{
    char *text = g_strdup(json_object_to_json_string_ext(
        root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

    json_object_put(root);
    return text;
}

static struct json_object *
encode_sender(const struct sender *sender)
{
    struct json_object *object = json_object_new_object();

    put_id(object, "member", sender->member);
    put_id(object, "start", sender->started_ms);
    put_number(object, "fence", (int64_t)sender->fence);
    return object;
}

static bool
decode_sender(struct json_object *object, struct sender *sender,
              struct err *err)
{
    return get_id(object, "member", &sender->member, err) &&
           get_id(object, "start", &sender->started_ms, err) &&
           get_fence(object, "fence", &sender->fence, err);
}

/**
 * replica_encode() - encode a replica record
 * @record: the record
 *
 * Return: text to be released with g_free().
 */
char *
replica_encode(const struct replica_record *record)
{
    struct json_object *root = json_object_new_object();
    struct json_object *slots = json_object_new_array();

    put_number(root, "version", RECORD_VERSION);
    put_id(root, "leaf", record->leaf);
    json_object_object_add(root, "path", json_object_new_string(record->path));
    put_number(root, "revision", record->revision);
    for (int i = 0; i < record->slot_count; i++) {
        struct json_object *slot = encode_sender(&record->slots[i].sender);

        put_id(slot, "engine", record->slots[i].engine);
        json_object_array_add(slots, slot);
    }
    json_object_object_add(root, "slots", slots);
    return to_text(root);
}

static bool
decode_slots(struct json_object *root, struct replica_record *record,
             struct err *err)
{
    struct json_object *slots;

    if (!get_array(root, "slots", REPLICA_SLOTS_MAX, &slots, err)) {
        return false;
    }
    record->slot_count = 0;
    for (size_t i = 0; i < json_object_array_length(slots); i++) {
        struct json_object *object = json_object_array_get_idx(slots, i);
        struct replica_slot slot;

        if (!get_id(object, "engine", &slot.engine, err) ||
            !decode_sender(object, &slot.sender, err)) {
            return false;
        }
        if (slot_find(record, slot.engine) != NULL) {
            return set_malformed(err, "engine");
        }
        record->slots[record->slot_count++] = slot;
    }
    return true;
}

static bool
check_id(struct json_object *root, const char *name, uint64_t id,
         struct err *err)
{
    uint64_t found;

    return get_id(root, name, &found, err) &&
           (found == id || set_malformed(err, name));
}

/**
 * replica_decode() - decode a replica record
 * @text: text of the record
 * @leaf: id of the leaf in the key
 * @record: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON unless the record is complete and valid.
 */
bool
replica_decode(const char *text, uint64_t leaf, struct replica_record *record,
               struct err *err)
{
    struct json_object *root = parse_record(text, err);
    bool ok;

    if (root == NULL) {
        return false;
    }
    record->leaf = leaf;
    ok = check_id(root, "leaf", leaf, err) &&
         get_path(root, leaf, record->path, err) &&
         get_number(root, "revision", &record->revision, err) &&
         decode_slots(root, record, err);
    json_object_put(root);
    return ok;
}

static struct json_object *
encode_item(const struct item *item)
{
    struct json_object *object = json_object_new_object();
    struct json_object *senders = json_object_new_array();

    put_id(object, "leaf", item->leaf);
    json_object_object_add(object, "path", json_object_new_string(item->path));
    put_number(object, "mb", item->mb);
    json_object_object_add(object, "state",
                           json_object_new_string(state_names[item->state]));
    put_number(object, "fence", (int64_t)item->fence);
    json_object_object_add(object, "adopted",
                           json_object_new_boolean(item->adopted));
    for (int i = 0; i < item->sender_count; i++) {
        json_object_array_add(senders, encode_sender(&item->senders[i]));
    }
    json_object_object_add(object, "senders", senders);
    return object;
}

/**
 * engine_encode() - encode an engine record
 * @record: the record
 *
 * Return: text to be released with g_free().
 */
char *
engine_encode(const struct engine_record *record)
{
    struct json_object *root = json_object_new_object();
    struct json_object *items = json_object_new_array();

    put_number(root, "version", RECORD_VERSION);
    put_id(root, "engine", record->engine);
    put_number(root, "fence", (int64_t)record->fence);
    put_id(root, "incarnation", record->incarnation);
    put_number(root, "memory_mb", record->memory_mb);
    put_number(root, "foreign_mb", record->foreign_mb);
    for (int i = 0; i < record->item_count; i++) {
        json_object_array_add(items, encode_item(&record->items[i]));
    }
    json_object_object_add(root, "items", items);
    return to_text(root);
}

static bool
decode_state(struct json_object *object, enum item_state *state,
             struct err *err)
{
    struct json_object *value;

    if (!json_object_object_get_ex(object, "state", &value)) {
        return set_malformed(err, "state");
    }
    for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
        if (g_strcmp0(json_object_get_string(value), state_names[i]) == 0) {
            *state = (enum item_state)i;
            return true;
        }
    }
    return set_malformed(err, "state");
}

static bool
decode_senders(struct json_object *object, struct item *item, struct err *err)
{
    struct json_object *senders;

    if (!get_array(object, "senders", ITEM_SENDERS_MAX, &senders, err)) {
        return false;
    }
    item->sender_count = (int)json_object_array_length(senders);
    for (int i = 0; i < item->sender_count; i++) {
        if (!decode_sender(json_object_array_get_idx(senders, (size_t)i),
                           &item->senders[i], err)) {
            return false;
        }
    }
    return true;
}

static bool
decode_adopted(struct json_object *object, bool *adopted, struct err *err)
{
    struct json_object *value;

    if (!json_object_object_get_ex(object, "adopted", &value) ||
        !json_object_is_type(value, json_type_boolean)) {
        return set_malformed(err, "adopted");
    }
    *adopted = json_object_get_boolean(value);
    return true;
}

static bool
decode_item(struct json_object *object, struct item *item, struct err *err)
{
    memset(item, 0, sizeof(*item));
    return get_id(object, "leaf", &item->leaf, err) &&
           get_path(object, item->leaf, item->path, err) &&
           get_number(object, "mb", &item->mb, err) &&
           decode_state(object, &item->state, err) &&
           get_fence(object, "fence", &item->fence, err) &&
           decode_adopted(object, &item->adopted, err) &&
           decode_senders(object, item, err);
}

static bool
decode_items(struct json_object *root, struct engine_record *record,
             struct err *err)
{
    struct json_object *items;

    if (!get_array(root, "items", ENGINE_ITEMS_MAX, &items, err)) {
        return false;
    }
    record->item_count = 0;
    for (size_t i = 0; i < json_object_array_length(items); i++) {
        struct item *item = &record->items[record->item_count];

        if (!decode_item(json_object_array_get_idx(items, i), item, err)) {
            return false;
        }
        if (item_find(record, item->leaf) != NULL ||
            item->fence > record->fence) {
            return set_malformed(err, "items");
        }
        record->item_count++;
    }
    return true;
}

/**
 * engine_decode() - decode an engine record
 * @text: text of the record
 * @engine: id of the engine in the key
 * @record: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON unless the record is complete and valid.
 */
bool
engine_decode(const char *text, uint64_t engine, struct engine_record *record,
              struct err *err)
{
    struct json_object *root = parse_record(text, err);
    bool ok;

    if (root == NULL) {
        return false;
    }
    record->engine = engine;
    ok = check_id(root, "engine", engine, err) &&
         get_fence(root, "fence", &record->fence, err) &&
         get_id(root, "incarnation", &record->incarnation, err) &&
         get_number(root, "memory_mb", &record->memory_mb, err) &&
         get_number(root, "foreign_mb", &record->foreign_mb, err) &&
         decode_items(root, record, err);
    json_object_put(root);
    return ok;
}
