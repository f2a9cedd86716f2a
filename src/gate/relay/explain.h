#ifndef RELAY_EXPLAIN_H
#define RELAY_EXPLAIN_H

/**
 * struct explain_query - a request that is asked about, and not sent
 * @host: its host
 * @path: its path
 * @item: model, or model and adapter; empty for none
 * @team: name of its team; empty for a request without a key
 * @prompt_tokens: length of its prompt; 0 for unknown
 * @output_tokens: longest response; 0 for unknown
 * @deadline_ms: time that its caller waits; -1 for unknown
 *
 * The strings are owned.
 */
struct explain_query {
    char *host;
    char *path;
    char *item;
    char *team;
    int64_t prompt_tokens;
    int64_t output_tokens;
    int64_t deadline_ms;
};

/**
 * struct explained_target - a target of the request's service
 * @failed: bit for each enum target_test that it fails; 0 when it can take the
 * request now
 * @leaving: it is about to stop
 * @missing: its entry expired while the store was unreachable
 * @chosen: the request would go to it
 * @running: requests there, of all instances
 * @tokens: their tokens
 * @interval_ms: mean interval between the events of its streams
 * @late_share: share of answers like the request's that would end late there;
 * -1 when unknown
 * @backoff_ms: time until it is tried again after failed connects
 * @pause_ms: time until it wants requests again
 */
struct explained_target {
    char id[TARGET_ID_BYTES];
    char address[ADDRESS_MAX_BYTES];
    char zone[NAME_MAX_BYTES];
    unsigned failed;
    bool leaving;
    bool missing;
    bool chosen;
    double cost;
    int running;
    int slots;
    int64_t tokens;
    double interval_ms;
    double late_share;
    double failure_rate;
    int64_t backoff_ms;
    int64_t pause_ms;
};

/**
 * enum explain_verdict - what would become of the request now
 * @EXPLAIN_SENT: it would be sent to a target
 * @EXPLAIN_WAITS: it would wait for a target
 * @EXPLAIN_WAITS_FOR_GRANT: it would wait for a grant of its team's quota
 * @EXPLAIN_REFUSED: it would be refused
 */
enum explain_verdict {
    EXPLAIN_SENT,
    EXPLAIN_WAITS,
    EXPLAIN_WAITS_FOR_GRANT,
    EXPLAIN_REFUSED,
};

/**
 * struct explanation - where a request would go now, and why
 * @refusal: with EXPLAIN_REFUSED, why
 * @status: with EXPLAIN_REFUSED, the HTTP status
 * @retry_ms: with EXPLAIN_REFUSED, the time after which its caller may try
 * again; 0 for no advice
 * @too_many_tokens: no engine has room for it
 * @target: id of the target that it would be sent to; empty for none
 * @route: name of its route; empty when there is none
 * @service: name of its service; empty when there is none
 * @team: name of its team; empty for none
 * @has_service: its service is known; what follows is only valid then
 * @queue_waiting_count: requests that wait for the same item
 * @pace: of that queue, with this request
 * @wait: facts for decide_wait()
 * @decision: of decide_wait(); it counts only when no target takes the request
 * @targets: struct explained_target, the lowest cost first; owned
 */
struct explanation {
    enum explain_verdict verdict;
    enum err_kind refusal;
    int status;
    int64_t retry_ms;
    bool too_many_tokens;
    char target[TARGET_ID_BYTES];
    char route[NAME_MAX_BYTES];
    char service[SERVICE_NAME_BYTES];
    char team[NAME_MAX_BYTES];
    int priority;
    int64_t config_version;
    int64_t left_ms;
    int64_t tokens;
    int64_t token_capacity;
    struct quota_view quota;
    bool has_service;
    int queue_waiting_count;
    struct queue_pace pace;
    struct wait_facts wait;
    struct wait_decision decision;
    struct _GArray *targets;
};

/* explain.c */
void explain_request(struct relay *relay, const struct explain_query *query,
                     int64_t now_ms, struct explanation *explanation);
void explanation_clear(struct explanation *explanation);

/* explain_json.c */
bool explain_query_read(const char *text, struct explain_query *query,
                        struct err *err);
void explain_query_clear(struct explain_query *query);
char *explanation_format(const struct explanation *explanation);

#endif
