/**
 * DOC: JSON bodies of /v1/models and /v1/address.
 */
#include <json-c/json.h>
#include <string.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/frontend/dat.h"
#include "turmericd/serve/frontend/fns.h"
#include "turmericd/serve/frontend/internal.h"

static char *
serialize_json(struct json_object *object)
{
    char *text = strdup(json_object_to_json_string_ext(
        object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

    json_object_put(object);
    return text;
}

/**
 * list_models() - format the enabled leaves as OpenAI's list of models
 * @tree: the tree
 *
 * Return: JSON text, freed with free().
 */
char *
list_models(const struct tree *tree)
{
    struct json_object *list = json_object_new_object();
    struct json_object *data = json_object_new_array();
    int count = tree_node_count(tree);

    for (int i = 0; i < count; i++) {
        const struct node *node = tree_node_at(tree, i);
        struct json_object *model;

        if (!node_is_leaf(node) || !node->settings.enabled) {
            continue;
        }
        model = json_object_new_object();
        json_object_object_add(model, "id",
                               json_object_new_string(node->path + 1));
        json_object_object_add(model, "object",
                               json_object_new_string("model"));
        json_object_object_add(model, "owned_by",
                               json_object_new_string(node->service));
        json_object_array_add(data, model);
    }
    json_object_object_add(list, "object", json_object_new_string("list"));
    json_object_object_add(list, "data", data);
    return serialize_json(list);
}

static bool
is_available(const struct member_info *member, const char *excluded_address)
{
    return (member->state == MEMBER_ALIVE ||
            member->state == MEMBER_SUSPECT) &&
           member->address[0] != '\0' &&
           (excluded_address == NULL ||
            strcmp(member->address, excluded_address) != 0);
}

static void
add_addresses(struct json_object *addresses, const struct member_info *members,
              int count, const char *data_centre, const char *excluded_address,
              bool same_data_centre)
{
    for (int i = 0; i < count; i++) {
        bool matches = strcmp(members[i].data_centre, data_centre) == 0;

        if (matches == same_data_centre &&
            is_available(&members[i], excluded_address)) {
            json_object_array_add(addresses,
                                  json_object_new_string(members[i].address));
        }
    }
}

/**
 * list_addresses() - format the addresses that callers may send requests to
 * @members: instances
 * @count: number of @members
 * @data_centre: addresses in this data centre come first
 * @excluded_address: address of an instance to leave out, or NULL
 * @address_ttl_s: how long callers may cache the list
 *
 * Return: JSON text, freed with free().
 */
char *
list_addresses(const struct member_info *members, int count,
               const char *data_centre, const char *excluded_address,
               int64_t address_ttl_s)
{
    struct json_object *list = json_object_new_object();
    struct json_object *addresses = json_object_new_array();

    add_addresses(addresses, members, count, data_centre, excluded_address,
                  true);
    add_addresses(addresses, members, count, data_centre, excluded_address,
                  false);
    json_object_object_add(list, "addresses", addresses);
    json_object_object_add(list, "keep_s",
                           json_object_new_int64(address_ttl_s));
    return serialize_json(list);
}
