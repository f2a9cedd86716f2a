/**
 * DOC: What an answer of a target means.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

enum {
    STATUS_TIMEOUT = 408,
    STATUS_MISDIRECTED = 421,
    STATUS_TOO_MANY = 429,
    STATUS_UNAVAILABLE = 503,
};

/* To callers these statuses promise that the request has not run. */
static bool
promises_not_run(int status)
{
    return status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED ||
           status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

/**
 * verdict_of() - judge the head of an answer
 * @facts: what it says
 */
enum verdict
verdict_of(const struct verdict_facts *facts)
{
    bool success = facts->status >= 200 && facts->status < 300;

    if (facts->not_run || facts->status == STATUS_MISDIRECTED) {
        return VERDICT_NOT_RUN;
    }
    if (success && facts->sealed) {
        return VERDICT_PASS;
    }
    if (facts->repeatable && (success || facts->status >= 500)) {
        return VERDICT_AGAIN;
    }
    /* A target's own refusal without the proof that it has not run the request
     * must not reach the caller as such a promise. */
    if (success || promises_not_run(facts->status)) {
        return VERDICT_FAILED;
    }
    return VERDICT_PASS;
}
