/**
 * DOC: Keys of teams.
 *
 * Only digests are kept. They are found by their first bytes and compared in a
 * time that doesn't depend on where they differ.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/team/dat.h"
#include "gate/team/fns.h"

/* Bytes by which a digest is found: two of 10,000 keys have the same ones with
 * a probability below 1e-11. */
enum { LOOKUP_BYTES = 8 };

/**
 * key_digest_of() - digest of a key
 * @key: the key as its caller sends it
 */
struct key_digest
key_digest_of(const char *key)
{
    GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
    struct key_digest digest;
    gsize bytes = sizeof(digest.bytes);

    g_checksum_update(checksum, (const guchar *)key, (gssize)strlen(key));
    g_checksum_get_digest(checksum, digest.bytes, &bytes);
    g_checksum_free(checksum);
    return digest;
}

static bool
digest_equal(const struct key_digest *a, const struct key_digest *b)
{
    unsigned char difference = 0;

    for (int i = 0; i < KEY_DIGEST_BYTES; i++) {
        difference |= a->bytes[i] ^ b->bytes[i];
    }
    return difference == 0;
}

static int
compare_lookup(const struct key_digest *a, const struct key_digest *b)
{
    return memcmp(a->bytes, b->bytes, LOOKUP_BYTES);
}

/* Index of the first key whose lookup bytes don't sort before the digest's. */
static int
first_candidate(const struct gate_config *config,
                const struct key_digest *digest)
{
    int low = 0;
    int high = config->key_count;

    while (low < high) {
        int middle = (low + high) / 2;

        if (compare_lookup(&config->keys[middle].digest, digest) < 0) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return low;
}

/**
 * team_find() - the team of a key
 * @config: the configuration, with its keys sorted
 * @digest: digest of the key
 *
 * Return: index in @config->teams; -1 when no team has the key.
 */
int
team_find(const struct gate_config *config, const struct key_digest *digest)
{
    for (int i = first_candidate(config, digest);
         i < config->key_count &&
         compare_lookup(&config->keys[i].digest, digest) == 0;
         i++) {
        if (digest_equal(&config->keys[i].digest, digest)) {
            return config->keys[i].team;
        }
    }
    return -1;
}
