/**
 * DOC: Claims that may still be granted after their calls were refused.
 *
 * Such a claim must be given back, or the caller, who was told that the
 * request did not run, could never send it again.
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
 * orphans_init() - set up without claims
 * @orphans: the table
 */
void
abandoned_claims_init(struct abandoned_claims *claims)
{
    claims->by_token =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/**
 * orphans_clear() - release the table
 * @orphans: the table
 */
void
abandoned_claims_clear(struct abandoned_claims *claims)
{
    g_hash_table_destroy(claims->by_token);
}

/**
 * orphans_full() - whether no further claim may be asked for
 * @orphans: the table
 */
bool
abandoned_claims_full(const struct abandoned_claims *claims)
{
    return g_hash_table_size(claims->by_token) >= ABANDONED_CLAIMS_MAX;
}

/**
 * orphan_add() - a call was refused while its claim was asked for
 * @orphans: the table
 * @claim: the claim
 * @now_ms: present time
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
 * orphan_find() - claim with a token, or NULL
 * @orphans: the table
 * @token: token of the claim
 *
 * The claim stays in the table: repeats of one ask may be granted twice.
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
 * orphans_expire() - drop claims that can't be granted any more
 * @orphans: the table
 * @now_ms: present time
 */
void
abandoned_claims_expire(struct abandoned_claims *claims, int64_t now_ms)
{
    g_hash_table_foreach_remove(claims->by_token, is_expired, &now_ms);
}
