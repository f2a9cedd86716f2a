/**
 * DOC: Retry decisions, the retry budget and backoff times.
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
bucket_index(int64_t now_ms)
{
    return (int)(now_ms / 1000 % RETRY_BUDGET_WINDOW_S);
}

static int
open_bucket(struct retry_budget *budget, int64_t now_ms)
{
    int index = bucket_index(now_ms);

    if (budget->bucket_s[index] != now_ms / 1000) {
        budget->bucket_s[index] = now_ms / 1000;
        budget->requests[index] = 0;
        budget->retries[index] = 0;
    }
    return index;
}

/**
 * retry_budget_add_request() - count an admitted request
 * @budget: the retry budget
 * @now_ms: current monotonic time
 */
void
retry_budget_add_request(struct retry_budget *budget, int64_t now_ms)
{
    budget->requests[open_bucket(budget, now_ms)]++;
}

/**
 * retry_budget_add_retry() - count a retry
 * @budget: the retry budget
 * @now_ms: current monotonic time
 */
void
retry_budget_add_retry(struct retry_budget *budget, int64_t now_ms)
{
    budget->retries[open_bucket(budget, now_ms)]++;
}

/**
 * retry_budget_allows() - check whether another retry is allowed
 * @budget: the retry budget
 * @now_ms: current monotonic time
 *
 * Retries of the last RETRY_BUDGET_WINDOW_S stay within RETRY_BUDGET_PERCENT
 * of the requests of that time; otherwise failing targets would get several
 * times their usual load. RETRY_BUDGET_MIN retries are always allowed: at low
 * load one lost engine breaks all its calls at once, and so few retries can't
 * overload the other engines.
 */
bool
retry_budget_allows(const struct retry_budget *budget, int64_t now_ms)
{
    uint64_t requests = 0;
    uint64_t retries = 0;
    uint64_t allowed;

    for (int i = 0; i < RETRY_BUDGET_WINDOW_S; i++) {
        if (budget->bucket_s[i] > now_ms / 1000 - RETRY_BUDGET_WINDOW_S) {
            requests += budget->requests[i];
            retries += budget->retries[i];
        }
    }
    allowed = requests * RETRY_BUDGET_PERCENT / 100;
    return retries < (allowed > RETRY_BUDGET_MIN ? allowed : RETRY_BUDGET_MIN);
}

/**
 * retry_backoff_ms() - delay before the next attempt
 * @attempts: attempts made, from 1
 * @random: state of the random number generator
 *
 * Doubles from BACKOFF_MIN_MS up to BACKOFF_MAX_MS. The upper half is random,
 * so that calls which failed together are not retried together.
 */
int64_t
retry_backoff_ms(int attempts, uint64_t *random)
{
    int64_t wait_ms = BACKOFF_MIN_MS;

    for (int i = 1; i < attempts && wait_ms < BACKOFF_MAX_MS; i++) {
        wait_ms *= 2;
    }
    wait_ms = wait_ms < BACKOFF_MAX_MS ? wait_ms : BACKOFF_MAX_MS;
    return wait_ms / 2 +
           (int64_t)(random_next(random) % (uint64_t)(wait_ms / 2));
}

static struct retry
refuse(const struct failure *failure, enum err_kind kind)
{
    return (struct retry){
        .action = RETRY_REFUSE,
        .kind = kind,
        .outcome = failure->maybe_ran || failure->response_started
                       ? OUTCOME_UNKNOWN
                       : OUTCOME_NOT_RUN,
    };
}

static struct retry
retry_or_refuse(const struct failure *failure, struct retry retry,
                enum err_kind exhausted)
{
    if (failure->attempts_sent >= failure->attempts_max) {
        return refuse(failure, exhausted);
    }
    if (retry.uses_budget && !failure->budget_available) {
        return refuse(failure, ERR_RETRY_BUDGET);
    }
    return retry;
}

static struct retry
decide_after_start(const struct failure *failure)
{
    struct retry retry = {.counter = CTR_RETRY_RESUME};

    if (!failure->idempotent || failure->not_resumable) {
        return refuse(failure, ERR_TARGET_FAILED);
    }
    if (failure->kind == ATTEMPT_BROKEN && !failure->resumed_same_engine) {
        retry.action = RETRY_RESUME_SAME_ENGINE;
    }
    else {
        retry.action = RETRY_RESUME_OTHER_ENGINE;
    }
    return retry_or_refuse(failure, retry, ERR_TARGET_FAILED);
}

static struct retry
decide_before_start(const struct failure *failure)
{
    struct retry retry = {.uses_budget = true};

    switch (failure->kind) {
    case ATTEMPT_NOT_SENT:
        /* Counts neither against the retry budget nor attempts_max: after
         * a crash many calls get refused connections until the target is
         * reported as down. They put no load on the target, which is
         * avoided for CONNECT_BACKOFF_MS, and the deadline limits them. */
        retry.uses_budget = false;
        retry.counter = CTR_RETRY_CONNECT;
        retry.action = failure->attempts > 1 ? RETRY_BACKOFF : RETRY_QUEUE;
        return retry_or_refuse(failure, retry, ERR_NO_TARGET);
    case ATTEMPT_NOT_LOADED:
        /* Uses no retry budget, so that an unload during a burst of calls
         * doesn't get them refused. They wait for a load, and loads have a
         * limit of their own. */
        retry.counter = CTR_RETRY_NOT_LOADED;
        retry.uses_budget = false;
        retry.action = RETRY_QUEUE;
        return retry_or_refuse(failure, retry, ERR_NO_TARGET);
    case ATTEMPT_BUSY:
        retry.counter = CTR_RETRY_BUSY;
        retry.action = RETRY_BACKOFF;
        return retry_or_refuse(failure, retry, ERR_NO_TARGET);
    case ATTEMPT_BROKEN:
        if (!failure->idempotent) {
            return refuse(failure, ERR_TARGET_FAILED);
        }
        retry.counter = CTR_RETRY_BROKEN;
        retry.action = RETRY_QUEUE;
        if (failure->silent && !failure->budget_available) {
            /* The target might have gone on, so its silence ends the call no
             * sooner than the deadline. The budget is charged later. */
            retry.action = RETRY_AWAIT_BUDGET;
            retry.uses_budget = false;
        }
        return retry_or_refuse(failure, retry, ERR_TARGET_FAILED);
    case ATTEMPT_TIMEOUT:
    default:
        return refuse(failure, ERR_TIMEOUT);
    }
}

/**
 * retry_decide() - decide what follows an attempt
 * @failure: the attempt and the state of its call
 *
 * A call is sent again only when it provably did not run, or when it is
 * idempotent and its connection broke.
 *
 * Return: the action; for a refusal with its reason and outcome.
 */
struct retry
retry_decide(const struct failure *failure)
{
    if (failure->kind == ATTEMPT_OK || failure->kind == ATTEMPT_CALLER_GONE) {
        return (struct retry){.action = RETRY_DONE};
    }
    return failure->response_started ? decide_after_start(failure)
                                     : decide_before_start(failure);
}
