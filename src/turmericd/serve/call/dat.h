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
 * struct call_request - a caller's request, checked and ready to route
 * @service: service in the tree
 * @leaf: id of the leaf, 0 for a plain service
 * @leaf_path: its path
 * @method: HTTP method
 * @url: path and query at the target
 * @content_type: content type of the body
 * @body: owned by the call
 * @body_bytes: length
 * @stream: the caller asked for server-sent events
 * @idempotent: the call may be repeated
 * @claim: filled in when not @idempotent
 * @idempotency_key: the caller's Idempotency-Key, empty when there is none
 * @priority: 0..9
 * @arrival_ms: monotonic
 * @deadline_ms: monotonic; the first byte must have come by then
 * @fingerprint: hash of service and body
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

enum call_phase { CALL_WAITING, CALL_ANSWERING, CALL_DONE, CALL_FAILED };

/**
 * struct call_answer_head - head of an answer
 * @status: HTTP status of the target
 * @content_type: content type of the target's answer
 */
struct call_answer_head {
    int status;
    char content_type[CALL_CONTENT_TYPE_MAX_BYTES];
};

/**
 * struct calls - the calls in progress, shared by front, route and forward
 *
 * Every function takes a handle and is safe from any thread; a stale handle
 * is refused and counted, so a late answer never reaches another caller.
 */
struct calls;

#endif
