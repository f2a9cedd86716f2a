/**
 * DOC: Tables of slots that are referred to by handles.
 *
 * Allocating and freeing a slot increments its generation. A stale handle
 * therefore never matches a reused slot, and a late answer can't reach the
 * wrong request.
 */
#include <stdlib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"

/* An odd generation marks a slot in use. */
static bool
in_use(uint32_t generation)
{
    return generation % 2 == 1;
}

/**
 * table_init() - initialize a table
 * @table: the table
 * @capacity: number of slots
 * @slot_bytes: size of a slot
 * @err: filled in on failure
 *
 * Return: false with ERR_NO_MEMORY when an allocation fails.
 */
bool
table_init(struct table *table, uint32_t capacity, size_t slot_bytes,
           struct err *err)
{
    memset(table, 0, sizeof(*table));
    table->slots = calloc(capacity, slot_bytes);
    table->generations = calloc(capacity, sizeof(uint32_t));
    table->free_list = calloc(capacity, sizeof(uint32_t));
    if (table->slots == NULL || table->generations == NULL ||
        table->free_list == NULL) {
        table_destroy(table);
        return err_set(err, ERR_NO_MEMORY,
                       "cannot allocate a table of %u slots", capacity);
    }
    table->capacity = capacity;
    table->slot_bytes = slot_bytes;
    table->free_count = capacity;
    for (uint32_t i = 0; i < capacity; i++) {
        table->free_list[i] = capacity - 1 - i;
    }
    return true;
}

/**
 * table_destroy() - free the table's memory; all handles become invalid
 * @table: the table
 */
void
table_destroy(struct table *table)
{
    free(table->slots);
    free(table->generations);
    free(table->free_list);
    memset(table, 0, sizeof(*table));
}

/**
 * table_alloc() - allocate a slot
 * @table: the table
 * @handle: set to the slot's handle
 * @err: filled in on failure
 *
 * Return: the zeroed slot, or NULL with ERR_TABLE_FULL.
 */
void *
table_alloc(struct table *table, struct handle *handle, struct err *err)
{
    void *slot;

    if (table->free_count == 0) {
        err_set(err, ERR_TABLE_FULL, "all %u slots are in use",
                table->capacity);
        return NULL;
    }
    handle->index = table->free_list[--table->free_count];
    handle->generation = ++table->generations[handle->index];
    slot = table->slots + (size_t)handle->index * table->slot_bytes;
    memset(slot, 0, table->slot_bytes);
    return slot;
}

/**
 * table_get() - look up the slot of a handle
 * @table: the table
 * @handle: the handle
 *
 * Return: the slot, or NULL when the handle is stale or invalid.
 */
void *
table_get(const struct table *table, struct handle handle)
{
    if (handle.index >= table->capacity || !in_use(handle.generation) ||
        table->generations[handle.index] != handle.generation) {
        return NULL;
    }
    return table->slots + (size_t)handle.index * table->slot_bytes;
}

/**
 * table_free() - free a slot
 * @table: the table
 * @handle: the slot's handle
 *
 * Return: false, without any change, when the handle is stale or invalid.
 */
bool
table_free(struct table *table, struct handle handle)
{
    if (table_get(table, handle) == NULL) {
        return false;
    }
    table->generations[handle.index]++;
    table->free_list[table->free_count++] = handle.index;
    return true;
}

/**
 * table_count() - number of slots in use
 * @table: the table
 */
uint32_t
table_count(const struct table *table)
{
    return table->capacity - table->free_count;
}

/**
 * table_next() - iterate over the slots in use
 * @table: the table
 * @cursor: position of the iteration; initially 0
 * @handle: set to the slot's handle; may be NULL
 *
 * The returned slot may be freed during the iteration.
 *
 * Return: the next slot in use, or NULL at the end.
 */
void *
table_next(const struct table *table, uint32_t *cursor, struct handle *handle)
{
    while (*cursor < table->capacity) {
        uint32_t index = (*cursor)++;

        if (in_use(table->generations[index])) {
            if (handle != NULL) {
                handle->index = index;
                handle->generation = table->generations[index];
            }
            return table->slots + (size_t)index * table->slot_bytes;
        }
    }
    return NULL;
}
