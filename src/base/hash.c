/**
 * DOC: Hashes and rendezvous hashing.
 */
#include <string.h>
#include <xxhash.h>

#include "base/dat.h"
#include "base/fns.h"

/**
 * hash_bytes() - 64-bit hash of a buffer
 * @data: the buffer
 * @bytes: its size
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
 * hash_128() - 128-bit hash of a buffer, in canonical (big-endian) byte order
 * @data: the buffer
 * @bytes: its size
 * @out: set to the hash
 */
void
hash_128(const void *data, size_t bytes, unsigned char out[16])
{
    XXH128_canonical_t canonical;

    XXH128_canonicalFromHash(&canonical, XXH3_128bits(data, bytes));
    memcpy(out, canonical.digest, sizeof(canonical.digest));
}

/**
 * rendezvous_pick() - owner of a key by rendezvous hashing
 * @key: hash of the key
 * @member_ids: ids of the members
 * @count: number of members
 *
 * Return: index of the member with the highest weight, or -1 when @count is 0.
 */
int
rendezvous_pick(uint64_t key, const uint64_t *member_ids, int count)
{
    int best = -1;
    uint64_t best_weight = 0;

    for (int i = 0; i < count; i++) {
        uint64_t weight = hash_pair(key, member_ids[i]);

        if (best < 0 || weight > best_weight) {
            best = i;
            best_weight = weight;
        }
    }
    return best;
}

/**
 * rendezvous_rank() - rank of a member for a key by rendezvous hashing
 * @key: hash of the key
 * @member_ids: ids of the members
 * @count: number of members
 * @member_id: the member
 *
 * Return: number of members with a higher weight; 0 for the owner.
 */
int
rendezvous_rank(uint64_t key, const uint64_t *member_ids, int count,
                uint64_t member_id)
{
    uint64_t member_weight = hash_pair(key, member_id);
    int rank = 0;

    for (int i = 0; i < count; i++) {
        if (member_ids[i] != member_id &&
            hash_pair(key, member_ids[i]) > member_weight) {
            rank++;
        }
    }
    return rank;
}
