#ifndef CALL_DAT_H
#define CALL_DAT_H

enum {
    CALL_BODY_MAX_BYTES = 1024 * 1024,
    CALL_OUTPUT_BUFFER_BYTES = 64 * 1024,
    CALL_TEXT_MAX_BYTES = 512 * 1024,
    CALL_URL_MAX_BYTES = 1024,
    CALL_METHOD_MAX_BYTES = 16,
    CALL_CONTENT_TYPE_MAX_BYTES = 128,
};

/**
 * struct call_request - a caller's request, validated and ready for routing
 * @service: name of the service in the settings tree
 * @leaf: id of the leaf; 0 for a plain service
 * @leaf_path: path of the leaf in the settings tree
 * @method: HTTP method
 * @url: path and query for the target
 * @content_type: content type of @body
 * @body: request body, owned by the call
 * @body_bytes: length of @body
 * @stream: the caller requested server-sent events
 * @idempotent: the request may be run more than once
 * @claim: claim on @idempotency_key, set when not @idempotent
 * @idempotency_key: value of the caller's Idempotency-Key; empty when there is
 *                   none
 * @priority: 0..9
 * @arrival_ms: monotonic time of arrival
 * @deadline_ms: monotonic time by which the first byte of the answer is due
 * @fingerprint: hash of the service and the body
 */
struct call_request {
    char service[NAME_MAX_BYTES];
    uint64_t leaf;
    char leaf_path[PATH_MAX_BYTES];
    char method[CALL_METHOD_MAX_BYTES];
    char url[CALL_URL_MAX_BYTES];
    char content_type[CALL_CONTENT_TYPE_MAX_BYTES];
    unsigned char *body;
    size_t body_bytes;
    bool stream;
    bool idempotent;
    struct claim_request claim;
    char idempotency_key[CLAIM_KEY_MAX_BYTES + 1];
    int priority;
    int64_t arrival_ms;
    int64_t deadline_ms;
    uint64_t fingerprint;
};

/**
 * enum call_phase - state of a call
 * @CALL_WAITING: no answer has started
 * @CALL_ANSWERING: the answer is in progress
 * @CALL_DONE: the answer is complete
 * @CALL_FAILED: the call was refused, or its answer was cut off
 */
enum call_phase { CALL_WAITING, CALL_ANSWERING, CALL_DONE, CALL_FAILED };

/**
 * struct call_answer_head - head of the answer to a call
 * @status: HTTP status from the target
 * @content_type: content type from the target; empty when it sent none
 */
struct call_answer_head {
    int status;
    char content_type[CALL_CONTENT_TYPE_MAX_BYTES];
};

/**
 * struct calls - table of the calls in progress
 *
 * Shared by frontend, route and forward. Every call_*() function takes a
 * handle and may be called from any thread. A stale handle is rejected and
 * counted, so that a late answer never reaches another caller.
 */
struct calls;

#endif
