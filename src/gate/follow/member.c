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
    entry = g_strdup(
        json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
    json_object_put(object);
    return entry;
}

/**
 * member_parse() - decode an instance's entry
 * @bytes: the entry
 * @count: its length in bytes
 * @member: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON if it isn't JSON or lacks the name or the
 * front address.
 */
bool
member_parse(const char *bytes, size_t count, struct gate_member *member,
             struct err *err)
{
    struct json_object *object = json_parse(bytes, count, err);

    if (object == NULL) {
        return false;
    }
    memset(member, 0, sizeof(*member));
    g_strlcpy(member->name, json_get_string(object, "name", ""),
              sizeof(member->name));
    g_strlcpy(member->zone, json_get_string(object, "zone", ""),
              sizeof(member->zone));
    g_strlcpy(member->front_address, json_get_string(object, "front", ""),
              sizeof(member->front_address));
    g_strlcpy(member->peer_address, json_get_string(object, "peer", ""),
              sizeof(member->peer_address));
    member->started_ms = json_get_int64(object, "start", 0);
    member->id = hash_text(member->name);
    json_object_put(object);
    if (member->name[0] == '\0' || member->front_address[0] == '\0') {
        return err_set(err, ERR_BAD_JSON, "name or front is missing");
    }
    return true;
}
