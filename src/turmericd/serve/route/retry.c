/**
 * DOC: What happens after an attempt that did not succeed.
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

static int
bucket(int64_t now_ms)
{
    return (int)(now_ms / 1000 % BUDGET_SECONDS);
}

static int
open_bucket(struct budget *budget, int64_t now_ms)
{
    int index = bucket(now_ms);

    if (budget->second[index] != now_ms / 1000) {
        budget->second[index] = now_ms / 1000;
        budget->requests[index] = 0;
        budget->retries[index] = 0;
    }
    return index;
}

/**
 * budget_request() - count a request that was taken
 * @budget: the budget
 * @now_ms: present time
 */
void
budget_request(struct budget *budget, int64_t now_ms)
{
    budget->requests[open_bucket(budget, now_ms)]++;
}

/**
 * budget_spend() - count a retry
 * @budget: the budget
 * @now_ms: present time
 */
void
budget_spend(struct budget *budget, int64_t now_ms)
{
    budget->retries[open_bucket(budget, now_ms)]++;
}

/**
 * budget_has_room() - whether another retry is allowed
 * @budget: the budget
 * @now_ms: present time
 *
 * Retries of the last BUDGET_SECONDS stay within BUDGET_PERCENT of the
 * requests of that time, as a failing fleet would otherwise get several times
 * its usual load. BUDGET_MIN are always allowed: where few requests run, one
 * lost engine breaks all its calls at once, and these few can't overload the
 * rest.
 */
bool
budget_has_room(const struct budget *budget, int64_t now_ms)
{
    uint64_t requests = 0;
    uint64_t retries = 0;
    uint64_t allowed;

    for (int i = 0; i < BUDGET_SECONDS; i++) {
        if (budget->second[i] > now_ms / 1000 - BUDGET_SECONDS) {
            requests += budget->requests[i];
            retries += budget->retries[i];
        }
    }
    allowed = requests * BUDGET_PERCENT / 100;
    return retries < (allowed > BUDGET_MIN ? allowed : BUDGET_MIN);
}

/**
 * backoff_ms() - wait before the next attempt
 * @attempts: attempts made, from 1
 * @random: state of the generator
 *
 * Doubles from BACKOFF_MIN_MS, with jitter over its upper half, so that
 * calls which failed together don't come back together.
 */
int64_t
backoff_ms(int attempts, uint64_t *random)
{
    int64_t wait = BACKOFF_MIN_MS;

    for (int i = 1; i < attempts && wait < BACKOFF_MAX_MS; i++) {
        wait *= 2;
    }
    wait = wait < BACKOFF_MAX_MS ? wait : BACKOFF_MAX_MS;
    return wait / 2 + (int64_t)(random_next(random) % (uint64_t)(wait / 2));
}

static struct retry
refuse(const struct failure *failure, enum err_kind kind)
{
    return (struct retry){
        .action = RETRY_REFUSE,
        .kind = kind,
        .outcome = failure->maybe_ran || failure->began ? OUTCOME_UNKNOWN
                                                        : OUTCOME_NOT_RUN,
    };
}

static struct retry
again(const struct failure *failure, struct retry wanted,
      enum err_kind exhausted)
{
    if (failure->sent >= failure->attempts_max) {
        return refuse(failure, exhausted);
    }
    if (wanted.spends && !failure->has_budget) {
        return refuse(failure, ERR_RETRY_BUDGET);
    }
    return wanted;
}

static struct retry
after_begin(const struct failure *failure)
{
    struct retry wanted = {.counter = CTR_RETRY_RESUME};

    if (!failure->idempotent || failure->no_resume) {
        return refuse(failure, ERR_TARGET_FAILED);
    }
    if (failure->kind == ATTEMPT_BROKEN && !failure->was_resume_here) {
        wanted.action = RETRY_RESUME_HERE;
    }
    else {
        wanted.action = RETRY_RESUME_ELSEWHERE;
    }
    return again(failure, wanted, ERR_TARGET_FAILED);
}

static struct retry
before_begin(const struct failure *failure)
{
    struct retry wanted = {.spends = true};

    switch (failure->kind) {
    case ATTEMPT_NOT_SENT:
        /* A refused connection costs the target nothing, and the target is
         * avoided afterwards. Neither the budget nor attempts_max counts
         * it: after a crash every call meets some until the target is
         * reported as down. The deadline bounds them. */
        wanted.spends = false;
        wanted.counter = CTR_RETRY_CONNECT;
        wanted.action = failure->attempts > 1 ? RETRY_BACKOFF : RETRY_QUEUE;
        return again(failure, wanted, ERR_NO_TARGET);
    case ATTEMPT_NOT_LOADED:
        /* Waits for a load, which is limited by itself: an unload under a
         * burst must not refuse the burst. */
        wanted.counter = CTR_RETRY_NOT_LOADED;
        wanted.spends = false;
        wanted.action = RETRY_QUEUE;
        return again(failure, wanted, ERR_NO_TARGET);
    case ATTEMPT_BUSY:
        wanted.counter = CTR_RETRY_BUSY;
        wanted.action = RETRY_BACKOFF;
        return again(failure, wanted, ERR_NO_TARGET);
    case ATTEMPT_BROKEN:
        if (!failure->idempotent) {
            return refuse(failure, ERR_TARGET_FAILED);
        }
        wanted.counter = CTR_RETRY_BROKEN;
        wanted.action = RETRY_QUEUE;
        return again(failure, wanted, ERR_TARGET_FAILED);
    case ATTEMPT_TIMEOUT:
    default:
        return refuse(failure, ERR_TIMEOUT);
    }
}

/**
 * retry_decide() - what to do after an attempt
 * @failure: the attempt and its call
 *
 * A call is sent again only when it provably did not run, or when it may be
 * repeated and its connection broke.
 *
 * Return: the action, with the reason and outcome when it is a refusal.
 */
struct retry
retry_decide(const struct failure *failure)
{
    if (failure->kind == ATTEMPT_OK || failure->kind == ATTEMPT_CALLER_GONE) {
        return (struct retry){.action = RETRY_DONE};
    }
    return failure->began ? after_begin(failure) : before_begin(failure);
}
