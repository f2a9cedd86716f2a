/**
 * DOC: State of leaves: members that wait for them, replies and last uses.
 */
#include <glib.h>
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
#include "turmericd/place/fns.h"
#include "turmericd/place/inner/dat.h"
#include "turmericd/place/inner/fns.h"

/* Uses are reported to the owner at most this often in idle_unload_s, so that
   the idle time known to the owner is wrong by at most a quarter of it. */
enum { USE_REPORTS_PER_IDLE_TIME = 4 };

/**
 * leaf_find() - find the state of a leaf
 * @place: placement
 * @id: id of the leaf
 *
 * Return: the state, kept by @place, or NULL.
 */
struct leaf *
leaf_find(struct place *place, uint64_t id)
{
    return g_hash_table_lookup(place->leaves, &id);
}

/**
 * leaf_get() - find or create the state of a leaf
 * @place: placement
 * @id: id of the leaf
 * @path: path of the leaf
 *
 * Return: the state, kept by @place.
 */
struct leaf *
leaf_get(struct place *place, uint64_t id, const char *path)
{
    struct leaf *leaf = leaf_find(place, id);

    if (leaf == NULL) {
        leaf = g_new0(struct leaf, 1);
        leaf->id = id;
        g_strlcpy(leaf->path, path, PATH_MAX_BYTES);
        leaf->last_used_ms = place->now_ms;
        leaf->use_reported_ms = place->now_ms;
        g_hash_table_insert(place->leaves, &leaf->id, leaf);
    }
    return leaf;
}

/**
 * leaf_free() - release the state of a leaf
 * @data: struct leaf
 */
void
leaf_free(gpointer data)
{
    struct leaf *leaf = data;

    g_free(leaf->views);
    g_free(leaf);
}

/**
 * leaf_node() - settings of a leaf
 * @place: placement
 * @leaf: the leaf
 *
 * Return: NULL when the leaf is not in the tree.
 */
const struct node *
leaf_node(const struct place *place, const struct leaf *leaf)
{
    const struct node *node;

    if (place->tree == NULL) {
        return NULL;
    }
    node = tree_node_by_id(place->tree, leaf->id);
    return node != NULL && node_is_leaf(node) ? node : NULL;
}

/**
 * leaf_add_requester() - record that calls of a member wait for the leaf
 * @place: placement
 * @leaf: the leaf
 * @requester: the member; listed once however often it repeats its request
 * @priority: highest priority of the waiting calls
 */
void
leaf_add_requester(struct place *place, struct leaf *leaf, uint64_t requester,
                   int priority)
{
    if (leaf->requested_ms == 0) {
        leaf->waiting_since_ms = place->now_ms;
        leaf->priority = priority;
    }
    leaf->requested_ms = place->now_ms;
    leaf->last_used_ms = place->now_ms;
    if (priority > leaf->priority) {
        leaf->priority = priority;
    }
    /* A requester that does not fit in the table repeats its request. */
    if (leaf->requester_count < LEAF_REQUESTERS_MAX &&
        !report_has(leaf->requesters, leaf->requester_count, requester)) {
        leaf->requesters[leaf->requester_count++] = requester;
    }
}

/**
 * leaf_report_use() - report a use to the owner, unless one was just reported
 * @place: placement
 * @leaf: the leaf
 */
void
leaf_report_use(struct place *place, struct leaf *leaf)
{
    const struct node *node = leaf_node(place, leaf);
    int64_t pause_ms;

    if (leaf->owned || node == NULL ||
        leaf->last_used_ms <= leaf->use_reported_ms) {
        return;
    }
    pause_ms = node->settings.idle_unload_s * 1000 / USE_REPORTS_PER_IDLE_TIME;
    if (place->now_ms - leaf->use_reported_ms >= pause_ms) {
        leaf->use_reported_ms = place->now_ms;
        send_load_request(place, leaf, 0);
    }
}

static void
record_use(struct place *place, const struct node *node)
{
    struct leaf *leaf = leaf_get(place, node->id, node->path);

    leaf->last_used_ms = place->now_ms;
    leaf_report_use(place, leaf);
}

/**
 * leaf_record_use() - record a use of the leaf, and of the model of an adapter
 * @place: placement
 * @id: id of the leaf
 */
void
leaf_record_use(struct place *place, uint64_t id)
{
    const struct node *node =
        place->tree == NULL ? NULL : tree_node_by_id(place->tree, id);

    if (node == NULL || !node_is_leaf(node)) {
        return;
    }
    record_use(place, node);
    if (node->base_model_id != 0) {
        node = tree_node_by_id(place->tree, node->base_model_id);
        if (node != NULL) {
            record_use(place, node);
        }
    }
}

/**
 * leaf_answer() - reply to all members that wait for the leaf
 * @place: placement
 * @leaf: the leaf
 * @placement: the reply
 */
void
leaf_answer(struct place *place, struct leaf *leaf,
            const struct placement *placement)
{
    for (int i = 0; i < leaf->requester_count; i++) {
        if (leaf->requesters[i] == place->self_id) {
            place->port->ops->report_placement(place->port, placement);
        }
        else {
            send_placement(place, leaf->requesters[i], placement);
        }
    }
    leaf->requester_count = 0;
    leaf->requested_ms = 0;
    if (placement->kind == ERR_NONE) {
        leaf->answered_ms = place->now_ms;
    }
}

/**
 * leaves_list() - list all leaves, for loops that may add leaves
 * @place: placement
 *
 * Return: array of struct leaf, to be released with g_ptr_array_unref().
 */
GPtrArray *
leaves_list(const struct place *place)
{
    GPtrArray *list = g_ptr_array_sized_new(g_hash_table_size(place->leaves));
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, place->leaves);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        g_ptr_array_add(list, value);
    }
    return list;
}

/**
 * leaf_refuse() - refuse the load request of all members that wait
 * @place: placement
 * @leaf: the leaf
 * @kind: reason
 * @text: detail
 */
void
leaf_refuse(struct place *place, struct leaf *leaf, enum err_kind kind,
            const char *text)
{
    struct placement placement = {.leaf = leaf->id, .kind = kind};

    g_strlcpy(placement.text, text, sizeof(placement.text));
    leaf_answer(place, leaf, &placement);
}
