/**
 * DOC: What instances and the holder tell each other about quotas.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/dat.h"
#include "gate/quota/dat.h"
#include "gate/quota/fns.h"

/**
 * quota_ask_new() - create an ask without teams
 *
 * Return: to be released with quota_ask_free().
 */
struct quota_ask *
quota_ask_new(void)
{
    struct quota_ask *ask = g_new0(struct quota_ask, 1);

    ask->uses = g_array_new(FALSE, FALSE, sizeof(struct quota_use));
    return ask;
}

/**
 * quota_ask_free() - release an ask
 * @ask: the ask
 */
void
quota_ask_free(struct quota_ask *ask)
{
    g_array_free(ask->uses, TRUE);
    g_free(ask);
}

/**
 * quota_grant_init() - initialize an answer without teams
 * @grant: the answer
 */
void
quota_grant_init(struct quota_grant *grant)
{
    *grant = (struct quota_grant){0};
    grant->answers = g_array_new(FALSE, FALSE, sizeof(struct quota_answer));
}

/**
 * quota_grant_clear() - release the answers of the teams
 * @grant: the answer
 */
void
quota_grant_clear(struct quota_grant *grant)
{
    g_array_free(grant->answers, TRUE);
}
