#ifndef BASE_DAT_H
#define BASE_DAT_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <time.h>

enum {
    ERR_TEXT_MAX = 256,
    NAME_MAX_BYTES = 64,
    PATH_MAX_BYTES = 200,
    ADDRESS_MAX_BYTES = 64,
};

/**
 * enum outcome - whether a refused request was executed
 * @OUTCOME_NOT_RUN: no target started it; a retry is safe
 * @OUTCOME_RAN: a target executed it
 * @OUTCOME_UNKNOWN: a target may have executed it
 */
enum outcome { OUTCOME_NOT_RUN, OUTCOME_RAN, OUTCOME_UNKNOWN };

/**
 * ERR_KINDS - all error kinds
 *
 * Columns: enumerator, public name, HTTP status, outcome, remedy. The public
 * name is the "reason" label of refused_total and the last part of the problem
 * type's URN, so it must not change once released.
 */
#define ERR_KINDS(X)                                                          \
    X(ERR_NONE, "none", 200, OUTCOME_NOT_RUN, "")                             \
    X(ERR_INTERNAL, "internal", 500, OUTCOME_UNKNOWN,                         \
      "report this with the log of the instance")                             \
    X(ERR_NO_MEMORY, "no_memory", 503, OUTCOME_NOT_RUN,                       \
      "retry later; give the instance more memory")                           \
    X(ERR_IO, "io", 503, OUTCOME_UNKNOWN,                                     \
      "check the network path and the address in the settings")               \
    X(ERR_TIMEOUT, "timeout", 504, OUTCOME_UNKNOWN,                           \
      "check whether the other side is up, then retry")                       \
    X(ERR_RING_FULL, "ring_full", 503, OUTCOME_NOT_RUN,                       \
      "retry after the time in Retry-After, or use another address")          \
    X(ERR_TABLE_FULL, "table_full", 503, OUTCOME_NOT_RUN,                     \
      "retry after the time in Retry-After, or use another address")          \
    X(ERR_STOPPED, "stopped", 503, OUTCOME_NOT_RUN,                           \
      "ask /v1/address for another instance")                                 \
    X(ERR_KEY_UNKNOWN, "key_unknown", 401, OUTCOME_NOT_RUN,                   \
      "send a key that the configuration holds")                              \
    X(ERR_KEYS_UNPROVEN, "keys_unproven", 503, OUTCOME_NOT_RUN,               \
      "retry at another instance; this one can't reach the store")            \
    X(ERR_ROUTE_UNUSABLE, "route_unusable", 503, OUTCOME_NOT_RUN,             \
      "an operator corrects the route; config_part_unusable names the part")  \
    X(ERR_TEAM_UNUSABLE, "team_unusable", 503, OUTCOME_NOT_RUN,               \
      "an operator corrects the team; config_part_unusable names the part")   \
    X(ERR_QUOTA, "quota", 429, OUTCOME_NOT_RUN,                               \
      "retry after Retry-After; an operator can raise the team's quota")      \
    X(ERR_QUOTA_UNKNOWN, "quota_unknown", 503, OUTCOME_NOT_RUN,               \
      "retry after Retry-After or at another instance")                       \
    X(ERR_TOO_LATE, "too_late", 503, OUTCOME_NOT_RUN,                         \
      "retry after Retry-After, or allow more time")                          \
    X(ERR_SHED, "shed", 503, OUTCOME_NOT_RUN,                                 \
      "retry after Retry-After; requests of more value are served first")     \
    X(ERR_BAD_REQUEST, "bad_request", 400, OUTCOME_NOT_RUN,                   \
      "correct the request as the detail says")                               \
    X(ERR_BAD_JSON, "bad_json", 400, OUTCOME_NOT_RUN,                         \
      "send one complete JSON object")                                        \
    X(ERR_BODY_TOO_LARGE, "body_too_large", 413, OUTCOME_NOT_RUN,             \
      "send a smaller body or raise body_max_bytes")                          \
    X(ERR_NOT_FOUND, "not_found", 404, OUTCOME_NOT_RUN,                       \
      "check the path against the manual page")                               \
    X(ERR_UNKNOWN_MODEL, "unknown_model", 404, OUTCOME_NOT_RUN,               \
      "GET /v1/models lists the models; an operator adds one to the tree")    \
    X(ERR_UNKNOWN_SERVICE, "unknown_service", 404, OUTCOME_NOT_RUN,           \
      "use a service of the tree; an operator adds one to it")                \
    X(ERR_DISABLED, "disabled", 403, OUTCOME_NOT_RUN,                         \
      "an operator sets enabled to true on the node named in the detail")     \
    X(ERR_NO_TARGET, "no_target", 503, OUTCOME_NOT_RUN,                       \
      "retry later; check that targets of the service are in the list")       \
    X(ERR_QUEUE_FULL, "queue_full", 429, OUTCOME_NOT_RUN,                     \
      "retry after the time in Retry-After; an operator can raise queue_max") \
    X(ERR_DEADLINE, "deadline", 504, OUTCOME_NOT_RUN,                         \
      "retry later or allow more time in X-Deadline-Ms")                      \
    X(ERR_TARGET_FAILED, "target_failed", 502, OUTCOME_UNKNOWN,               \
      "look up whether the request took effect before sending it again")      \
    X(ERR_RETRY_BUDGET, "retry_budget", 503, OUTCOME_NOT_RUN,                 \
      "too many attempts fail at present; retry after Retry-After")           \
    X(ERR_CRASHES_TARGETS, "request_crashes_targets", 422, OUTCOME_UNKNOWN,   \
      "change the request; the same body broke several targets")              \
    X(ERR_QUARANTINED, "quarantined", 503, OUTCOME_NOT_RUN,                   \
      "change the prompt, a part of which crashes targets; or retry after "   \
      "Retry-After")                                                          \
    X(ERR_KEY_MISSING, "key_missing", 400, OUTCOME_NOT_RUN,                   \
      "send an Idempotency-Key header with this method")                      \
    X(ERR_KEY_BAD, "key_bad", 400, OUTCOME_NOT_RUN,                           \
      "use 1 to 255 printable characters, best a UUIDv7")                     \
    X(ERR_KEY_EXPIRED, "key_expired", 409, OUTCOME_UNKNOWN,                   \
      "look up whether the request took effect, then use a new key")          \
    X(ERR_KEY_IN_FUTURE, "key_in_future", 400, OUTCOME_NOT_RUN,               \
      "set the caller's clock; the UUIDv7 lies in the future")                \
    X(ERR_DUPLICATE, "duplicate_request", 409, OUTCOME_UNKNOWN,               \
      "look up the result of the first request with this key")                \
    X(ERR_CLAIMS_FULL, "claims_full", 507, OUTCOME_NOT_RUN,                   \
      "use UUIDv7 keys, whose claims expire")                                 \
    X(ERR_CLAIM_UNAVAILABLE, "claim_unavailable", 503, OUTCOME_NOT_RUN,       \
      "retry when the key-value service answers again")                       \
    X(ERR_NOT_READY, "not_ready", 503, OUTCOME_NOT_RUN,                       \
      "retry; the instance has no tree of settings yet")                      \
    X(ERR_CONFIG_STALE, "config_stale", 503, OUTCOME_NOT_RUN,                 \
      "retry at another instance or when the key-value service answers")      \
    X(ERR_KV_DOWN, "kv_down", 503, OUTCOME_UNKNOWN,                           \
      "check the key-value service; retry when it answers")                   \
    X(ERR_KV_CONFLICT, "kv_conflict", 409, OUTCOME_NOT_RUN,                   \
      "read the current value and try again")                                 \
    X(ERR_CONFIG_BEHIND, "config_store_behind", 503, OUTCOME_NOT_RUN,         \
      "restore the key-value service's newer data, then retry the edit")      \
    X(ERR_EDIT_CONFLICT, "edit_conflict", 409, OUTCOME_NOT_RUN,               \
      "read the tree again and repeat the edit")                              \
    X(ERR_EDIT_INVALID, "edit_invalid", 422, OUTCOME_NOT_RUN,                 \
      "correct the value as the detail says")                                 \
    X(ERR_UNAUTHORIZED, "unauthorized", 401, OUTCOME_NOT_RUN,                 \
      "send the operators' token as a Bearer token")                          \
    X(ERR_REPLICAS_FULL, "replicas_full", 503, OUTCOME_NOT_RUN,               \
      "retry; an operator can raise replicas_max")                            \
    X(ERR_MEMORY_FULL, "memory_full", 503, OUTCOME_NOT_RUN,                   \
      "retry when models fall idle, or add engines")                          \
    X(ERR_LOAD_FAILED, "load_failed", 503, OUTCOME_NOT_RUN,                   \
      "retry; check the weight store and the engine's log")                   \
    X(ERR_FENCE_OLD, "fence_old", 409, OUTCOME_NOT_RUN,                       \
      "read the engine's record again; another instance has taken over")      \
    X(ERR_BAD_FRAME, "bad_frame", 400, OUTCOME_NOT_RUN,                       \
      "run the same version of turmericd on all instances")                   \
    X(ERR_SETTINGS, "settings", 400, OUTCOME_NOT_RUN,                         \
      "correct the settings file as the detail says")

enum err_kind {
#define X(kind, name, status, outcome, remedy) kind,
    ERR_KINDS(X)
#undef X
        ERR_KIND_COUNT
};

/**
 * struct err - error returned through a parameter
 * @kind: error kind; ERR_NONE means no error
 * @retry_after_s: when it is known, the time after which a caller should try
 *                 again; 0 for the usual time of @kind
 * @text: what failed and why, without the remedy
 */
struct err {
    enum err_kind kind;
    int retry_after_s;
    char text[ERR_TEXT_MAX];
};

/**
 * struct err_info - properties of an error kind
 * @name: public name, also the label of its refusal counter
 * @status: HTTP status
 * @outcome: default outcome, used when the actual one isn't known
 * @remedy: suggested action for the caller or operator
 */
struct err_info {
    const char *name;
    int status;
    enum outcome outcome;
    const char *remedy;
};

/**
 * COUNTERS - counters; refusals are counted separately, by error kind
 */
#define COUNTERS(X)                                                           \
    X(CTR_CALLS, "calls_total")                                               \
    X(CTR_ANSWERS, "answers_total")                                           \
    X(CTR_ENDED_UNANSWERED, "target_ended_unanswered_total")                  \
    X(CTR_ENDED_AT_BEGIN, "target_ended_at_begin_total")                      \
    X(CTR_TARGET_CRASHES, "target_crashes_total")                             \
    X(CTR_QUARANTINED, "quarantine_begun_total")                              \
    X(CTR_QUARANTINE_ENDED, "quarantine_ended_total")                         \
    X(CTR_MEMORY_PAUSED, "memory_paused_total")                               \
    X(CTR_MEMORY_REFUSED, "memory_refused_total")                             \
    X(CTR_ANSWER_STALE, "answer_stale_total")                                 \
    X(CTR_ANSWER_EXTRA, "answer_extra_total")                                 \
    X(CTR_ANSWER_UNREAD, "answer_unread_total")                               \
    X(CTR_ANSWER_READ_ON, "answer_read_on_total")                             \
    X(CTR_ANSWER_ENCODED, "answer_encoded_total")                             \
    X(CTR_ANSWER_BAD_STATUS, "answer_bad_status_total")                       \
    X(CTR_TARGET_UNCHANGED, "target_unchanged_total")                         \
    X(CTR_TARGET_PAUSES, "target_pauses_total")                               \
    X(CTR_TARGET_PAUSES_ENDED, "target_pauses_ended_total")                   \
    X(CTR_TARGET_LEAVES, "target_leaves_total")                               \
    X(CTR_TARGET_LEAVES_ENDED, "target_leaves_ended_total")                   \
    X(CTR_HOLDINGS_UNCHANGED, "holdings_unchanged_total")                     \
    X(CTR_PARTS_CUT, "prompt_parts_cut_total")                                \
    X(CTR_TOKENS_TOO_MANY, "tokens_too_many_total")                           \
    X(CTR_TOKENS_HELD_UP, "tokens_held_up_total")                             \
    X(CTR_RETRY_CONNECT, "retry_connect_total")                               \
    X(CTR_RETRY_NOT_LOADED, "retry_not_loaded_total")                         \
    X(CTR_RETRY_BROKEN, "retry_broken_total")                                 \
    X(CTR_RETRY_BUSY, "retry_busy_total")                                     \
    X(CTR_RETRY_RESUME, "retry_resume_total")                                 \
    X(CTR_WAITS, "waits_total")                                               \
    X(CTR_WAITS_PROTECTED, "waits_protected_total")                           \
    X(CTR_SILENCE_STAYED, "silence_stayed_total")                             \
    X(CTR_STOP_TOO_LONG, "stop_too_long_total")                               \
    X(CTR_STREAM_CUT_OFF, "stream_cut_off_total")                             \
    X(CTR_STREAM_BAD_EVENT, "stream_bad_event_total")                         \
    X(CTR_STREAM_NOT_CONTINUED, "stream_not_continued_total")                 \
    X(CTR_RETRY_KV_CONFLICT, "retry_kv_conflict_total")                       \
    X(CTR_RETRY_KV_DOWN, "retry_kv_down_total")                               \
    X(CTR_KV_CALLS, "kv_calls_total")                                         \
    X(CTR_KV_FAILED, "kv_failed_total")                                       \
    X(CTR_ENTRIES_REJECTED, "entries_rejected_total")                         \
    X(CTR_STORE_RESTORED, "store_restored_total")                             \
    X(CTR_STORE_ERA_REJECTED, "store_era_rejected_total")                     \
    X(CTR_ITEMS_CUT, "items_cut_total")                                       \
    X(CTR_ITEMS_UNREADABLE, "items_unreadable_total")                         \
    X(CTR_CONFIG_APPLIED, "config_applied_total")                             \
    X(CTR_CONFIG_PARTS_UNUSABLE, "config_parts_unusable_total")               \
    X(CTR_CONFIG_OLDER_IGNORED, "config_older_ignored_total")                 \
    X(CTR_EDITS_ACCEPTED, "edits_accepted_total")                             \
    X(CTR_CLAIMS, "claims_total")                                             \
    X(CTR_CLAIMS_RELEASED, "claims_released_total")                           \
    X(CTR_CLAIM_APPENDS, "claim_appends_total")                               \
    X(CTR_LOADS, "loads_total")                                               \
    X(CTR_UNLOADS, "unloads_total")                                           \
    X(CTR_LOADS_ADOPTED, "loads_adopted_total")                               \
    X(CTR_LOADS_IN_DOUBT, "loads_doubt_total")                                \
    X(CTR_STRIKES, "strikes_total")                                           \
    X(CTR_PEER_FRAMES_IN, "peer_frames_in_total")                             \
    X(CTR_PEER_FRAMES_OUT, "peer_frames_out_total")                           \
    X(CTR_PEER_BYTES_IN, "peer_bytes_in_total")                               \
    X(CTR_PEER_BYTES_OUT, "peer_bytes_out_total")                             \
    X(CTR_PEER_DROPPED, "peer_dropped_total")                                 \
    X(CTR_MEMBER_DEAD, "member_dead_total")                                   \
    X(CTR_REPORTS, "reports_total")                                           \
    X(CTR_POLLS_FAILED, "polls_failed_total")                                 \
    X(CTR_LEAVING_BEGUN, "target_leaving_begun_total")                        \
    X(CTR_LEAVING_ENDED, "target_leaving_ended_total")                        \
    X(CTR_HOLDOFF_BEGUN, "target_holdoff_begun_total")                        \
    X(CTR_HOLDOFF_ENDED, "target_holdoff_ended_total")                        \
    X(CTR_HOLDOFF_INVALID, "target_holdoff_invalid_total")                    \
    X(CTR_DUTY_RESTARTS, "duty_restarts_total")                               \
    X(CTR_CONNECTS, "target_connects_total")                                  \
    X(CTR_ORDERS, "orders_total")                                             \
    X(CTR_ORDERS_FAILED, "orders_failed_total")                               \
    X(CTR_MEMORY_HOLDS, "engine_memory_holds_total")                          \
    X(CTR_REPORTS_FAILED, "engine_reports_failed_total")                      \
    X(CTR_KEY_LEASES, "key_leases_begun_total")                               \
    X(CTR_KEY_LEASES_ENDED, "key_leases_ended_total")                         \
    X(CTR_QUOTA_GRANTED, "quota_granted_total")                               \
    X(CTR_QUOTA_WAITED, "quota_waited_total")                                 \
    X(CTR_QUOTA_RETURNED, "quota_returned_total")                             \
    X(CTR_QUOTA_ASKS, "quota_asks_total")                                     \
    X(CTR_QUOTA_GRANTS, "quota_grants_total")                                 \
    X(CTR_QUOTA_ANSWERS, "quota_answers_total")                               \
    X(CTR_QUOTA_FALLBACKS, "quota_fallbacks_begun_total")                     \
    X(CTR_QUOTA_FALLBACKS_ENDED, "quota_fallbacks_ended_total")               \
    X(CTR_LOG_DROPPED, "log_lines_dropped_total")

enum counter {
#define X(id, name) id,
    COUNTERS(X)
#undef X
        COUNTER_COUNT
};

/**
 * HISTOGRAMS - latency histograms, in milliseconds
 */
#define HISTOGRAMS(X)                                                         \
    X(HIST_FIRST_BYTE, "request_first_byte_ms")                               \
    X(HIST_REQUEST_TOTAL, "request_whole_ms")                                 \
    X(HIST_QUEUE_WAIT, "request_wait_ms")                                     \
    X(HIST_STORE_CALL, "store_call_ms")                                       \
    X(HIST_ORDER, "order_ms")

enum histogram {
#define X(id, name) id,
    HISTOGRAMS(X)
#undef X
        HISTOGRAM_COUNT
};

/**
 * struct handle - reference to a slot of a table
 * @index: slot number
 * @generation: generation of the slot; 0 makes the handle invalid
 */
struct handle {
    uint32_t index;
    uint32_t generation;
};

/**
 * struct table - fixed number of fixed-size slots, referred to by handles
 *
 * Not thread-safe: only the duty that owns the table may use it.
 */
struct table {
    unsigned char *slots;
    uint32_t *generations;
    uint32_t *free_list;
    uint32_t free_count;
    uint32_t capacity;
    size_t slot_bytes;
};

/**
 * struct ring - bounded queue of fixed-size messages between threads
 *
 * Messages are copied by value. Several threads may push and pop at once.
 */
struct ring {
    pthread_mutex_t lock;
    pthread_cond_t not_empty;
    unsigned char *messages;
    size_t message_bytes;
    uint32_t capacity;
    uint32_t head;
    uint32_t count;
    bool closed;
};

/**
 * struct timer - timer embedded in its owner's struct
 * @due_ms: expiry, monotonic time
 * @heap_position: position in the heap, counted from 1; 0 when not in a heap
 * @kind: set by the owner; identifies the type of the enclosing struct
 */
struct timer {
    int64_t due_ms;
    uint32_t heap_position;
    int kind;
};

/**
 * struct heap - binary min-heap of timers by expiry; not thread-safe
 * @timers: GPtrArray of the timers, which their owners keep and free
 */
struct heap {
    struct _GPtrArray *timers;
};

enum ring_result { RING_OK, RING_TIMEOUT, RING_CLOSED };

struct duty;

/**
 * struct duty_ops - operations that a supervisor calls on a child
 * @run: body of the duty's thread; returns true after stop(), or false with
 *       an error when the duty failed and must be restarted
 * @stop: makes run() return; called from another thread; must not block
 */
struct duty_ops {
    bool (*run)(struct duty *duty, struct err *err);
    void (*stop)(struct duty *duty);
};

/**
 * struct duty - supervised thread; the first member of its implementations
 * @ops: operations; must be the first member
 * @name: name in log lines
 */
struct duty {
    const struct duty_ops *ops;
    const char *name;
};

enum { SUPERVISOR_CHILDREN_MAX = 16 };

struct supervisor;

/**
 * struct child - child of a supervisor, with its thread and restart count
 * @restarts: restarts since @window_start_ms
 * @window_start_ms: monotonic start of the window in which restarts count
 */
struct child {
    struct duty *duty;
    struct supervisor *supervisor;
    pthread_t thread;
    bool started;
    bool stopping;
    int restarts;
    int64_t window_start_ms;
};

/**
 * struct supervisor - starts, restarts and stops its children
 * @duty: makes the supervisor itself a child of another supervisor
 * @changed: signals a change of @stopping, @failed or a child's stopping flag
 *
 * A failed child is restarted after a growing delay. When a child exceeds its
 * restart limit, the supervisor stops all children and fails itself.
 */
struct supervisor {
    struct duty duty;
    struct child children[SUPERVISOR_CHILDREN_MAX];
    int child_count;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool stopping;
    bool failed;
    struct err err;
};

#endif
