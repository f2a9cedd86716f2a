/**
 * DOC: Parsing of the Idempotency-Key header.
 *
 * A UUIDv7 (RFC 9562) contains its creation time, so its claim can be removed
 * once the key is too old to be accepted. Any other key is opaque, and its
 * claim is kept for ever.
 */
#include <glib.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "kv/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/state/claim/fns.h"

enum {
    UUID_TEXT_BYTES = 36,
    UUID_VERSION_INDEX = 14,
    UUID_VARIANT_INDEX = 19,
    UUID_TIME_HEX_DIGITS = 12,
    KEY_FUTURE_MAX_MS = 5 * 60 * 1000,
};

static bool
is_uuidv7(const char *key)
{
    if (strlen(key) != UUID_TEXT_BYTES) {
        return false;
    }
    for (int i = 0; i < UUID_TEXT_BYTES; i++) {
        bool dash_expected = i == 8 || i == 13 || i == 18 || i == 23;

        if (dash_expected ? key[i] != '-' : !g_ascii_isxdigit(key[i])) {
            return false;
        }
    }
    return key[UUID_VERSION_INDEX] == '7' &&
           strchr("89abAB", key[UUID_VARIANT_INDEX]) != NULL;
}

/* The first 48 bits are the creation time in milliseconds since 1970. */
static int64_t
uuidv7_time_ms(const char *key)
{
    int64_t time_ms = 0;
    int digits = 0;

    for (int i = 0; digits < UUID_TIME_HEX_DIGITS; i++) {
        if (key[i] != '-') {
            time_ms = time_ms * 16 + g_ascii_xdigit_value(key[i]);
            digits++;
        }
    }
    return time_ms;
}

static bool
check_characters(const char *key, struct err *err)
{
    size_t bytes = strlen(key);

    if (bytes == 0 || bytes > CLAIM_KEY_MAX_BYTES) {
        return err_set(err, ERR_KEY_BAD,
                       "key is empty or too long (%zu bytes)", bytes);
    }
    for (size_t i = 0; i < bytes; i++) {
        if (!g_ascii_isprint(key[i])) {
            return err_set(err, ERR_KEY_BAD,
                           "byte %zu of the key is not printable ASCII",
                           i + 1);
        }
    }
    return true;
}

static bool
check_key_time(int64_t time_ms, int64_t wall_ms, struct err *err)
{
    if (claim_key_time_expired(time_ms, wall_ms)) {
        return err_set(err, ERR_KEY_EXPIRED, "UUIDv7 key is older than 24 h");
    }
    if (time_ms - wall_ms > KEY_FUTURE_MAX_MS) {
        return err_set(err, ERR_KEY_IN_FUTURE,
                       "UUIDv7 key is more than 5 min in the future");
    }
    return true;
}

static void
hash_key(const char *service, const char *key, unsigned char hash[16])
{
    size_t service_bytes = strlen(service) + 1;
    size_t key_bytes = strlen(key);
    char *joined = g_malloc(service_bytes + key_bytes);

    memcpy(joined, service, service_bytes);
    memcpy(joined + service_bytes, key, key_bytes);
    hash_128(joined, service_bytes + key_bytes, hash);
    g_free(joined);
}

/**
 * claim_key_parse() - validate a key and fill in its hash, class and time
 * @service: service that the call is for; each service has its own keys
 * @key: value of the Idempotency-Key header
 * @wall_ms: current time, milliseconds since 1970
 * @request: key_hash, key_class and key_time_ms are filled in
 * @err: filled in on failure
 *
 * The case of a UUIDv7 is ignored.
 *
 * Return: false with ERR_KEY_BAD, ERR_KEY_EXPIRED or ERR_KEY_IN_FUTURE.
 */
bool
claim_key_parse(const char *service, const char *key, int64_t wall_ms,
                struct claim_request *request, struct err *err)
{
    if (!check_characters(key, err)) {
        return false;
    }
    request->key_class = CLAIM_KEY_OPAQUE;
    request->key_time_ms = 0;
    if (is_uuidv7(key)) {
        char lower[UUID_TEXT_BYTES + 1];

        request->key_class = CLAIM_KEY_UUIDV7;
        request->key_time_ms = uuidv7_time_ms(key);
        for (int i = 0; i <= UUID_TEXT_BYTES; i++) {
            lower[i] = g_ascii_tolower(key[i]);
        }
        hash_key(service, lower, request->key_hash);
        return check_key_time(request->key_time_ms, wall_ms, err);
    }
    hash_key(service, key, request->key_hash);
    return true;
}
