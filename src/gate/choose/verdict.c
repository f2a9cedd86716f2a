/**
 * DOC: Classification of a target's response.
 */
#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"

enum {
    STATUS_FIRST = 100,
    STATUS_SWITCHING_PROTOCOLS = 101,
    STATUS_FIRST_FINAL = 200,
    STATUS_LAST = 599,
    /* A server sends 100 once and 103 for each batch of hints; of a target
     * that sends nothing else, the request would wait until its deadline. */
    INTERIM_MAX = 16,
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
 * status_kind() - what a response with a status is
 * @status: the status, any number
 * @interim_count: interim responses that came before it to the same request
 *
 * Load: targets that fail answer with status 000 and a body that may quote
 * a whole response. A status outside 100 to 599 is no response (RFC 9110, 15),
 * and where one message ends can't be known then. 101 is one only to a request
 * to switch the protocol, which is never sent.
 */
enum status_kind
status_kind(int status, int interim_count)
{
    if (status < STATUS_FIRST || status > STATUS_LAST ||
        status == STATUS_SWITCHING_PROTOCOLS) {
        return STATUS_NONE;
    }
    if (status >= STATUS_FIRST_FINAL) {
        return STATUS_FINAL;
    }
    return interim_count < INTERIM_MAX ? STATUS_INTERIM : STATUS_NONE;
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
