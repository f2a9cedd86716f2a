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

/**
 * items_have() - whether a set has an item
 * @items: the set
 * @id: quark of the item
 */
bool
items_have(const struct target_items *items, uint32_t id)
{
    for (int i = 0; i < items->count; i++) {
        if (items->ids[i] == id) {
            return true;
        }
    }
    return false;
}

/**
 * items_add() - add an item once
 * @items: the set
 * @id: quark of the item
 *
 * Return: false when the set is full.
 */
bool
items_add(struct target_items *items, uint32_t id)
{
    if (items_have(items, id)) {
        return true;
    }
    if (items->count == TARGET_ITEMS_MAX) {
        return false;
    }
    items->ids[items->count++] = id;
    return true;
}

/**
 * items_remove() - take an item out; with a model, its adapters go too
 * @items: the set
 * @id: quark of the item
 *
 * Return: whether the set had it.
 */
bool
items_remove(struct target_items *items, uint32_t id)
{
    bool had = items_have(items, id);
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
 * items_equal() - whether two sets have the same items
 * @a: a set
 * @b: another
 */
bool
items_equal(const struct target_items *a, const struct target_items *b)
{
    if (a->count != b->count) {
        return false;
    }
    for (int i = 0; i < a->count; i++) {
        if (!items_have(b, a->ids[i])) {
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
 * item_model() - the model that an item needs
 * @item: quark of a model or an adapter
 *
 * Return: quark of the model; @item itself when it is one.
 */
uint32_t
item_model(uint32_t item)
{
    const char *name = item != 0 ? g_quark_to_string(item) : NULL;
    const char *slash = name != NULL ? strchr(name, '/') : NULL;
    char model[NAME_MAX_BYTES];

    if (slash == NULL || slash - name >= (long)sizeof(model)) {
        return item;
    }
    memcpy(model, name, (size_t)(slash - name));
    model[slash - name] = '\0';
    return g_quark_try_string(model);
}
