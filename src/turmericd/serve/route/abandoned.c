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

struct orphan {
    struct claim_request claim;
    int64_t expires_ms;
};

/**
 * orphans_init() - set up without claims
 * @orphans: the table
 */
void
orphans_init(struct orphans *orphans)
{
    orphans->by_token =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
}

/**
 * orphans_clear() - release the table
 * @orphans: the table
 */
void
orphans_clear(struct orphans *orphans)
{
    g_hash_table_destroy(orphans->by_token);
}

/**
 * orphans_full() - whether no further claim may be asked for
 * @orphans: the table
 */
bool
orphans_full(const struct orphans *orphans)
{
    return g_hash_table_size(orphans->by_token) >= ORPHANS_MAX;
}

/**
 * orphan_add() - a call was refused while its claim was asked for
 * @orphans: the table
 * @claim: the claim
 * @now_ms: present time
 */
void
orphan_add(struct orphans *orphans, const struct claim_request *claim,
           int64_t now_ms)
{
    struct orphan *orphan = g_new0(struct orphan, 1);

    orphan->claim = *claim;
    orphan->expires_ms = now_ms + ORPHAN_KEEP_MS;
    g_hash_table_replace(orphans->by_token, &orphan->claim.token, orphan);
}

/**
 * orphan_find() - claim with a token, or NULL
 * @orphans: the table
 * @token: token of the claim
 *
 * The claim stays in the table: repeats of one ask may be granted twice.
 */
const struct claim_request *
orphan_find(const struct orphans *orphans, uint64_t token)
{
    const struct orphan *orphan =
        g_hash_table_lookup(orphans->by_token, &token);

    return orphan != NULL ? &orphan->claim : NULL;
}

static gboolean
is_expired(gpointer key, gpointer value, gpointer data)
{
    const struct orphan *orphan = value;
    const int64_t *now_ms = data;

    (void)key;
    return orphan->expires_ms <= *now_ms;
}

/**
 * orphans_expire() - drop claims that can't be granted any more
 * @orphans: the table
 * @now_ms: present time
 */
void
orphans_expire(struct orphans *orphans, int64_t now_ms)
{
    g_hash_table_foreach_remove(orphans->by_token, is_expired, &now_ms);
}
