/* A store in memory with leases, for tests of what follows the store. */
#ifndef TEST_MEMSTORE_H
#define TEST_MEMSTORE_H

/**
 * struct memstore - the store, and how it misbehaves
 * @now_ms: its clock; leases end by it
 * @down: each call fails without effect
 * @lose_responses: the next writes are done but not answered
 * @drop_writes: the next writes are neither done nor answered
 * @compacted_revision: watches from this revision or before find no history
 */
struct memstore {
    struct store store;
    GPtrArray *items;
    GPtrArray *events;
    GHashTable *leases;
    int64_t revision;
    int64_t next_lease;
    int64_t now_ms;
    int64_t compacted_revision;
    bool down;
    int lose_responses;
    int drop_writes;
    int write_count;
};

void memstore_init(struct memstore *memory);
void memstore_clear(struct memstore *memory);
void memstore_put(struct memstore *memory, const char *key, const char *value,
                  int64_t lease);
void memstore_delete(struct memstore *memory, const char *key);
int64_t memstore_remaining_ms(struct memstore *memory, const char *key);
void memstore_set_time(struct memstore *memory, int64_t now_ms);

#endif
