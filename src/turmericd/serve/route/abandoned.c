/**
 * DOC: Claims that may still be granted after their calls were refused.
 *
 * Such a claim must be released. The caller was told that the request did not
 * run, and with the claim in effect it could never send the request again.
 */
#include <glib.h>
#include <sys/types.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "tree/fns.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/state/claim/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/fleet/observe/dat.h"
#include "turmericd/place/dat.h"
#include "turmericd/serve/call/dat.h"
#include "turmericd/serve/call/fns.h"
#include "turmericd/serve/route/dat.h"
#include "turmericd/serve/route/internal.h"

struct abandoned_claim {
    struct claim_request claim;
    int64_t expires_ms;
};

/**
 * abandoned_claims_init() - initialize an empty table
 * @claims: the table
 */
void
abandoned_claims_init(struct abandoned_claims *claims)
{
    claims->by_token =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/**
 * abandoned_claims_clear() - release the table
 * @claims: the table
 */
void
abandoned_claims_clear(struct abandoned_claims *claims)
{
    g_hash_table_destroy(claims->by_token);
}

/**
 * abandoned_claims_full() - check whether the table is at its limit
 * @claims: the table
 *
 * Return: true when no further claim may be requested.
 */
bool
abandoned_claims_full(const struct abandoned_claims *claims)
{
    return g_hash_table_size(claims->by_token) >= ABANDONED_CLAIMS_MAX;
}

/**
 * abandoned_claims_add() - record the undecided claim of a refused call
 * @claims: the table
 * @claim: the claim, copied
 * @now_ms: current monotonic time
 */
void
abandoned_claims_add(struct abandoned_claims *claims,
                     const struct claim_request *claim, int64_t now_ms)
{
    struct abandoned_claim *abandoned = g_new0(struct abandoned_claim, 1);

    abandoned->claim = *claim;
    abandoned->expires_ms = now_ms + ABANDONED_CLAIM_TTL_MS;
    g_hash_table_replace(claims->by_token, &abandoned->claim.token, abandoned);
}

/**
 * abandoned_claims_find() - find a claim by its token
 * @claims: the table
 * @token: token of the claim
 *
 * The claim stays in the table, because repeated requests may be granted
 * twice.
 *
 * Return: the claim, owned by the table; NULL when it is unknown.
 */
const struct claim_request *
abandoned_claims_find(const struct abandoned_claims *claims, uint64_t token)
{
    const struct abandoned_claim *abandoned =
        g_hash_table_lookup(claims->by_token, &token);

    return abandoned != NULL ? &abandoned->claim : NULL;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    const struct abandoned_claim *abandoned = value;
    const int64_t *now_ms = data;

    (void)key;
    return abandoned->expires_ms <= *now_ms;
}

/**
 * abandoned_claims_expire() - remove claims that can't be granted any more
 * @claims: the table
 * @now_ms: current monotonic time
 */
void
abandoned_claims_expire(struct abandoned_claims *claims, int64_t now_ms)
{
    g_hash_table_foreach_remove(claims->by_token, is_expired, &now_ms);
}
