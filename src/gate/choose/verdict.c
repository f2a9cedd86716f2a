/**
 * DOC: Classification of a target's response.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

enum {
    STATUS_REQUEST_TIMEOUT = 408,
    STATUS_MISDIRECTED = 421,
    STATUS_TOO_MANY_REQUESTS = 429,
    STATUS_UNAVAILABLE = 503,
};

/* Callers take these statuses as a guarantee that the request has not run. */
static bool
implies_not_run(int status)
{
    return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED ||
           status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
}

/**
 * response_verdict() - classify the head of a response
 * @facts: what the head states
 */
enum verdict
response_verdict(const struct response_facts *facts)
{
    bool success = facts->status >= 200 && facts->status < 300;
    bool own_body = facts->signed_by_target && !facts->encoded;

    if (!success && (facts->not_run || facts->status == STATUS_MISDIRECTED)) {
        return VERDICT_NOT_RUN;
    }
    /* A success that says that it has not run proves neither. */
    if (success && own_body && !facts->not_run) {
        return VERDICT_PASS;
    }
    if (facts->retryable && (success || facts->status >= 500)) {
        return VERDICT_RETRY;
    }
    /* A target that refuses a request without stating that it has not run it
     * must not make the caller believe so. */
    if (success || facts->encoded || implies_not_run(facts->status)) {
        return VERDICT_FAILED;
    }
    return VERDICT_PASS;
}
