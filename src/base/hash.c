/**
 * DOC: Hashes and rendezvous order.
 */
#include <string.h>
#include <xxhash.h>

#include "base/dat.h"
#include "base/fns.h"

/**
 * hash_bytes() - 64-bit hash
 * @data: bytes
 * @bytes: how many
 */
uint64_t
hash_bytes(const void *data, size_t bytes)
{
    return XXH3_64bits(data, bytes);
}

/**
 * hash_text() - 64-bit hash of a string
 * @text: the string
 */
uint64_t
hash_text(const char *text)
{
    return hash_bytes(text, strlen(text));
}

/**
 * hash_pair() - hash of two hashes
 * @a: first
 * @b: second
 */
uint64_t
hash_pair(uint64_t a, uint64_t b)
{
    uint64_t pair[2] = {a, b};

    return hash_bytes(pair, sizeof(pair));
}

/**
 * hash_128() - 128-bit hash in canonical byte order
 * @data: bytes
 * @bytes: how many
 * @out: the hash
 */
void
hash_128(const void *data, size_t bytes, unsigned char out[16])
{
    XXH128_canonical_t canonical;

    XXH128_canonicalFromHash(&canonical, XXH3_128bits(data, bytes));
    memcpy(out, canonical.digest, sizeof(canonical.digest));
}

/**
 * rendezvous_pick() - first member in the rendezvous order of a key
 * @key: hash of what is to be placed
 * @ids: members
 * @count: how many
 *
 * Return: index of the member, or -1 when there are none.
 */
int
rendezvous_pick(uint64_t key, const uint64_t *ids, int count)
{
    int best = -1;
    uint64_t best_weight = 0;

    for (int i = 0; i < count; i++) {
        uint64_t weight = hash_pair(key, ids[i]);

        if (best < 0 || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

/**
 * rendezvous_rank() - place of a member in the rendezvous order of a key
 * @key: hash of what is to be placed
 * @ids: members
 * @count: how many
 * @self: the member
 *
 * Return: number of members before @self.
 */
int
rendezvous_rank(uint64_t key, const uint64_t *ids, int count, uint64_t self)
{
    uint64_t own_weight = hash_pair(key, self);
    int rank = 0;

    for (int i = 0; i < count; i++) {
        if (ids[i] != self && hash_pair(key, ids[i]) > own_weight) {
            rank++;
        }
    }
    return rank;
}
