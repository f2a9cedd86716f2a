/**
 * DOC: Encoding of the instances' entries in the store's member list.
 */
#include <glib.h>
#include <json-c/json.h>
#include <stddef.h>
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

#define IN_MEMBER(field) offsetof(struct gate_member, field)
#define TEXT_SIZE(field) sizeof(((struct gate_member *)NULL)->field)

/* An entry without a start or a link is one of an older version. */
static const struct json_rule member_rules[] = {
    JSON_TEXT(text, "name", IN_MEMBER(name), TEXT_SIZE(name), JSON_REQUIRED),
    JSON_TEXT(text, "zone", IN_MEMBER(zone), TEXT_SIZE(zone), JSON_REQUIRED),
    JSON_TEXT(address, "front", IN_MEMBER(front_address),
              TEXT_SIZE(front_address), JSON_REQUIRED),
    JSON_TEXT(address, "peer", IN_MEMBER(peer_address),
              TEXT_SIZE(peer_address), JSON_REQUIRED),
    JSON_NUMBER(integer, "start", IN_MEMBER(started_ms), JSON_DECISIVE, 0.0,
                (double)STORE_REVISION_MAX, 1.0, JSON_ROUND_NONE),
    JSON_NUMBER(count, "link", IN_MEMBER(link_mbps), JSON_DECISIVE, 0.0,
                G_MAXINT32, 1.0, JSON_ROUND_DOWN),
};

/**
 * member_parse() - decode an instance's entry
 * @bytes: the entry
 * @count: its length in bytes
 * @member: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON if it isn't JSON, lacks a name, a data
 * centre or an address to connect to, or has a member that can't be read.
 */
bool
member_parse(const char *bytes, size_t count, struct gate_member *member,
             struct err *err)
{
    struct json_object *object = json_parse(bytes, count, err);
    struct json_faults faults = {0};
    bool usable;

    if (object == NULL) {
        return false;
    }
    memset(member, 0, sizeof(*member));
    usable = json_rules_read(object, NULL, member_rules,
                             G_N_ELEMENTS(member_rules), member, &faults);
    if (!usable) {
        err_set(err, ERR_BAD_JSON, "%s", faults.texts[0]);
    }
    member->id = hash_text(member->name);
    json_faults_clear(&faults);
    json_object_put(object);
    return usable;
}
