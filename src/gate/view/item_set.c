/**
 * DOC: Sets of models and adapters.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"

enum { MODEL_NAME_USUAL_BYTES = 64 }; /* a longer name is copied to the heap */

/**
 * item_set_contains() - whether an item is in a set
 * @items: the set
 * @id: quark of the item
 */
bool
item_set_contains(const struct item_set *items, uint32_t id)
{
    for (int i = 0; i < items->count; i++) {
        if (items->ids[i] == id) {
            return true;
        }
    }
    return false;
}

/**
 * item_set_add() - add an item to a set
 * @items: the set
 * @id: quark of the item
 *
 * Return: false when the item was not added because the set is full.
 */
bool
item_set_add(struct item_set *items, uint32_t id)
{
    if (item_set_contains(items, id)) {
        return true;
    }
    if (items->count == TARGET_ITEMS_MAX) {
        return false;
    }
    items->ids[items->count++] = id;
    return true;
}

/**
 * item_set_remove() - remove an item, and with a model its adapters
 * @items: the set
 * @id: quark of the item
 *
 * Return: whether the item was in the set.
 */
bool
item_set_remove(struct item_set *items, uint32_t id)
{
    bool had = item_set_contains(items, id);
    int kept = 0;

    for (int i = 0; i < items->count; i++) {
        if (items->ids[i] != id && item_model(items->ids[i]) != id) {
            items->ids[kept++] = items->ids[i];
        }
    }
    items->count = kept;
    return had;
}

/**
 * item_set_equal() - whether two sets have the same items
 * @a: a set
 * @b: the other set
 */
bool
item_set_equal(const struct item_set *a, const struct item_set *b)
{
    if (a->count != b->count) {
        return false;
    }
    for (int i = 0; i < a->count; i++) {
        if (!item_set_contains(b, a->ids[i])) {
            return false;
        }
    }
    return true;
}

/**
 * item_is_adapter() - whether an item is an adapter
 * @item: quark of the item
 */
bool
item_is_adapter(uint32_t item)
{
    return item != 0 && strchr(g_quark_to_string(item), '/') != NULL;
}

/**
 * item_model() - the model that an item belongs to
 * @item: quark of a model or an adapter
 *
 * Return: quark of the model; @item itself when it is a model.
 */
uint32_t
item_model(uint32_t item)
{
    const char *name = item != 0 ? g_quark_to_string(item) : NULL;
    const char *slash = name != NULL ? strchr(name, '/') : NULL;
    char buffer[MODEL_NAME_USUAL_BYTES];
    char *model = buffer;
    uint32_t found;

    if (slash == NULL) {
        return item;
    }
    if (slash - name >= (long)sizeof(buffer)) {
        model = g_strndup(name, (gsize)(slash - name));
    }
    else {
        memcpy(buffer, name, (size_t)(slash - name));
        buffer[slash - name] = '\0';
    }
    found = g_quark_try_string(model);
    if (model != buffer) {
        g_free(model);
    }
    return found;
}
