/**
 * DOC: Traits of requests that targets have survived.
 *
 * A part that crashes each target never gets here, so one answer acquits all
 * parts of its prompt of the crashes before it.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

static GHashTable *
new_generation(void)
{
    return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

/**
 * sound_init() - create an empty memory
 * @sound: the memory, to be released with sound_clear()
 */
void
sound_init(struct sound_memory *sound)
{
    sound->recent = new_generation();
    sound->older = new_generation();
}

/**
 * sound_clear() - release a memory
 * @sound: the memory
 */
void
sound_clear(struct sound_memory *sound)
{
    g_hash_table_destroy(sound->recent);
    g_hash_table_destroy(sound->older);
}

/**
 * sound_at_ms() - when a target last survived a request with a trait
 * @sound: the memory
 * @key: key of a trait of the request
 *
 * Return: the time; 0 when none is remembered.
 */
int64_t
sound_at_ms(const struct sound_memory *sound, uint64_t key)
{
    const int64_t *at_ms = g_hash_table_lookup(sound->recent, &key);

    if (at_ms == NULL) {
        at_ms = g_hash_table_lookup(sound->older, &key);
    }
    return at_ms != NULL ? *at_ms : 0;
}

/**
 * sound_record() - remember that a target survived a request with a trait
 * @sound: the memory
 * @key: key of a trait of the request
 * @at_ms: when; an older time than the known one is ignored
 */
void
sound_record(struct sound_memory *sound, uint64_t key, int64_t at_ms)
{
    int64_t *known = g_hash_table_lookup(sound->recent, &key);

    if (known != NULL) {
        *known = MAX(*known, at_ms);
        return;
    }
    if (g_hash_table_size(sound->recent) >= SOUND_GENERATION_MAX) {
        g_hash_table_destroy(sound->older);
        sound->older = sound->recent;
        sound->recent = new_generation();
    }
    at_ms = MAX(at_ms, sound_at_ms(sound, key));
    g_hash_table_insert(sound->recent, g_memdup2(&key, sizeof(key)),
                        g_memdup2(&at_ms, sizeof(at_ms)));
}
