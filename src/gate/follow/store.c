/**
 * DOC: Ownership of responses from the platform's store.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/follow/dat.h"
#include "gate/follow/fns.h"

/**
 * store_items_clear() - release the keys and values of a response
 * @items: the response; empty afterwards
 */
void
store_items_clear(struct store_items *items)
{
    for (int i = 0; i < items->count; i++) {
        g_free(items->items[i].key);
        g_free(items->items[i].value);
    }
    g_free(items->items);
    items->items = NULL;
    items->count = 0;
}

/**
 * store_items_keep_last() - drop the changes of keys that have later ones
 * @items: in the order of their revisions
 */
void
store_items_keep_last(struct store_items *items)
{
    GHashTable *later = g_hash_table_new(g_str_hash, g_str_equal);
    int first = items->count;

    for (int i = items->count - 1; i >= 0; i--) {
        struct store_item item = items->items[i];

        if (g_hash_table_contains(later, item.key)) {
            g_free(item.key);
            g_free(item.value);
            continue;
        }
        g_hash_table_add(later, item.key);
        items->items[--first] = item;
    }
    items->count -= first;
    if (first > 0) {
        memmove(items->items, items->items + first,
                (size_t)items->count * sizeof(items->items[0]));
    }
    g_hash_table_destroy(later);
}

/**
 * store_changes_free() - release changes
 * @changes: may be NULL
 */
void
store_changes_free(struct store_changes *changes)
{
    if (changes != NULL) {
        store_items_clear(&changes->items);
        if (changes->fresh != NULL) {
            g_array_free(changes->fresh, TRUE);
        }
        g_free(changes);
    }
}
