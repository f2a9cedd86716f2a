/**
 * DOC: Encoding of the instances' entries in the store's member list.
 */
#include <glib.h>
#include <json-c/json.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"
#include "http/dat.h"
#include "http/fns.h"

const char member_prefix[] = "turmeric/members/";
const char holder_key[] = "turmeric/holder";

/**
 * member_format() - encode an instance's entry as JSON
 * @member: the instance
 *
 * Return: the text, to be freed with g_free().
 */
char *
member_format(const struct gate_member *member)
{
    struct json_object *object = json_object_new_object();
    char *entry;

    json_object_object_add(object, "name",
                           json_object_new_string(member->name));
    json_object_object_add(object, "zone",
                           json_object_new_string(member->zone));
    json_object_object_add(object, "front",
                           json_object_new_string(member->front_address));
    json_object_object_add(object, "peer",
                           json_object_new_string(member->peer_address));
    json_object_object_add(object, "start",
                           json_object_new_int64(member->started_ms));
    json_object_object_add(object, "link",
                           json_object_new_int(member->link_mbps));
    entry = g_strdup(
        json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    json_object_put(object);
    return entry;
}

static bool
copy_text(struct json_object *object, const char *key, char *out, size_t bytes,
          struct err *err)
{
    const char *text = json_get_string(object, key, "");

    return (text[0] != '\0' && g_strlcpy(out, text, bytes) < bytes) ||
           err_set(err, ERR_BAD_JSON, "%s is missing or too long", key);
}

static bool
copy_address(struct json_object *object, const char *key, char *out,
             struct err *err)
{
    if (!copy_text(object, key, out, ADDRESS_MAX_BYTES, err)) {
        return false;
    }
    if (!socket_check_address(out, err)) {
        err->kind = ERR_BAD_JSON;
        return false;
    }
    return true;
}

/**
 * member_parse() - decode an instance's entry
 * @bytes: the entry
 * @count: its length in bytes
 * @member: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON if it isn't JSON, or lacks a name, a data
 * centre or an address to connect to.
 */
bool
member_parse(const char *bytes, size_t count, struct gate_member *member,
             struct err *err)
{
    struct json_object *object = json_parse(bytes, count, err);
    bool complete;

    if (object == NULL) {
        return false;
    }
    memset(member, 0, sizeof(*member));
    complete =
        copy_text(object, "name", member->name, sizeof(member->name), err) &&
        copy_text(object, "zone", member->zone, sizeof(member->zone), err) &&
        copy_address(object, "front", member->front_address, err) &&
        copy_address(object, "peer", member->peer_address, err);
    member->started_ms = json_get_int64(object, "start", 0);
    member->link_mbps =
        (int)CLAMP(json_get_int64(object, "link", 0), 0, G_MAXINT32);
    member->id = hash_text(member->name);
    json_object_put(object);
    return complete;
}
