#ifndef RELAY_DAT_H
#define RELAY_DAT_H

enum {
    PROMPT_PARTS_MAX = 32,
    TOKEN_MAX_BYTES = 128,
    /* From this number of instances on, the lease holder adds up their
     * reports; below it, reports between all instances are few and arrive
     * sooner. */
    TOTAL_INSTANCES_MIN = 9,
};

/**
 * struct prompt_part - part of a prompt that several requests may share
 * @id: identifier of the part
 * @tokens: length in tokens
 */
struct prompt_part {
    uint64_t id;
    int tokens;
};

/**
 * struct request_meta - parameters from the header fields of a request
 * @attempt_id: the caller's id of this attempt; empty when it sent none
 * @deadline_ms: time that the caller waits from its sending on; -1 for unknown
 * @item: requested model, or model and adapter; empty for none
 * @prompt_tokens: length of the prompt in tokens
 * @max_output_tokens: longest response in tokens
 * @parts: the prompt; the last part belongs to the request or its session
 * @parts_cut: parts that could not be read, or for which there is no room,
 * follow those in @parts
 * @last_event_id: the caller has the events up to this one; -1 for none
 * @has_key: it carries a key
 * @key_repeated: it carries more than one
 * @key: digest of the key
 */
struct request_meta {
    char attempt_id[TOKEN_MAX_BYTES];
    int64_t deadline_ms;
    char item[TOKEN_MAX_BYTES];
    int prompt_tokens;
    int max_output_tokens;
    struct prompt_part parts[PROMPT_PARTS_MAX];
    int part_count;
    bool parts_cut;
    int64_t last_event_id;
    bool has_key;
    bool key_repeated;
    struct key_digest key;
};

/* A target that wants nothing for longer leaves the list. */
enum { TARGET_PAUSE_MAX_MS = 3600 * 1000 };

/**
 * struct answer_meta - parameters from the header fields of a response
 * @attempt_id: attempt that it belongs to; empty when not given
 * @has_two_ids: it names another attempt besides
 * @signed_by_target: it carries the target's signature
 * @not_run: the target has not run the request
 * @leaving: the target says that it is about to stop
 * @has_pause: the target says how long it wants no requests
 * @pause_ms: how long; not above TARGET_PAUSE_MAX_MS
 * @pause_invalid: it says so in a form that can't be used
 * @target_id: the target that responds; empty when not given
 */
struct answer_meta {
    char attempt_id[TOKEN_MAX_BYTES];
    bool has_two_ids;
    bool signed_by_target;
    bool not_run;
    bool leaving;
    bool has_pause;
    int64_t pause_ms;
    bool pause_invalid;
    char target_id[TARGET_ID_BYTES];
};

/**
 * struct forward_meta - parameters that the relay adds to a request
 * @target_id: the only target that may run it
 * @left_ms: time until the request's deadline
 * @urgency: 0 for the most urgent to 9
 * @last_event_id: resume the stream after this event; -1 to start it
 * @team: name of the caller's team; NULL for none
 */
struct forward_meta {
    const char *target_id;
    int64_t left_ms;
    int urgency;
    int64_t last_event_id;
    const char *team;
};

/**
 * enum field_action - what the relay does with a header field
 * @FIELD_PASS: forwards it
 * @FIELD_DROP: leaves it out
 * @FIELD_TEAM: leaves it out where the configuration has teams
 * @FIELD_INVALID: refuses the request
 */
enum field_action { FIELD_PASS, FIELD_DROP, FIELD_TEAM, FIELD_INVALID };

enum local_endpoint { LOCAL_NONE, LOCAL_READY, LOCAL_LOOKUP };

struct dialect;

/**
 * struct dialect_ops - the platform's header fields and local endpoints
 * @defines_field: whether the protocol defines a field, case-insensitively
 * @read_request_field: reads one field of a request; @value ends with a NUL
 * byte
 * @read_answer_field: reads one field of a response
 * @write_request_fields: appends the fields that the relay sets to @head
 * @find_local_endpoint: endpoint of the instance itself that @path names
 * @format_addresses: body of a lookup response; freed with g_free()
 */
struct dialect_ops {
    bool (*defines_field)(struct dialect *dialect, const char *name);
    enum field_action (*read_request_field)(struct dialect *dialect,
                                            const char *name,
                                            const char *value,
                                            struct request_meta *meta);
    enum field_action (*read_answer_field)(struct dialect *dialect,
                                           const char *name, const char *value,
                                           struct answer_meta *meta);
    void (*write_request_fields)(struct dialect *dialect,
                                 const struct forward_meta *meta,
                                 struct _GString *head);
    enum local_endpoint (*find_local_endpoint)(struct dialect *dialect,
                                               const char *path);
    char *(*format_addresses)(struct dialect *dialect, char *const *addresses,
                              int count, int ttl_s);
};

struct dialect {
    const struct dialect_ops *ops;
};

/**
 * struct item_activity - requests of an instance for a model or an adapter
 * @item: quark
 * @arrived: requests since the last report
 * @waiting: requests that wait for a target
 * @running: requests at targets
 * @oldest_wait_ms: time that the oldest waiting request has waited
 */
struct item_activity {
    uint32_t item;
    int arrived;
    int waiting;
    int running;
    int64_t oldest_wait_ms;
};

/**
 * struct target_activity - requests of one or all instances at a target
 * @target_hash: hash of the target's id
 * @running: requests at the target
 * @interval_count: number of event intervals of its streams since the last
 * periodic report
 * @interval_sum_ms: sum of these intervals
 * @tokens: prompts and maximum outputs of the running requests, in tokens
 */
struct target_activity {
    uint64_t target_hash;
    int running;
    int interval_count;
    int64_t interval_sum_ms;
    int64_t tokens;
};

/**
 * struct activity_report - requests of an instance, as it reports them
 * @instance: id of the instance
 * @received_ms: set by the receiver
 * @periodic: sent at the regular time, with the event intervals since the
 * previous periodic report
 * @totals: like @targets, summed over this instance and all that report to it
 * @instance_count: instances that @totals covers
 * @stopping: the instance leaves new requests to others
 */
struct activity_report {
    uint64_t instance;
    int64_t received_ms;
    struct item_activity *items;
    int item_count;
    struct target_activity *targets;
    int target_count;
    struct target_activity *totals;
    int total_count;
    int instance_count;
    bool periodic;
    bool stopping;
};

/**
 * struct holdings - models and adapters that a target has loaded
 * @target: id of the target
 * @started_ms: wall time of the target's start
 * @sequence: orders that it had accepted by then
 * @store_loads_max: concurrent loads that the weight store can take, as far
 * as the lease holder knows; 0 for unknown
 */
struct holdings {
    char target[TARGET_ID_BYTES];
    int64_t started_ms;
    int64_t sequence;
    struct item_set held;
    int store_loads_max;
};

/**
 * struct item_forecast - when a model or adapter will be ready
 * @item: quark
 * @expected: an engine holds it, is loading it, makes room for it, or has a
 * local copy of its model
 * @ready_ms: time until it is ready; only valid when @expected
 */
struct item_forecast {
    uint32_t item;
    bool expected;
    int64_t ready_ms;
};

/**
 * struct load_forecast - forecasts for all items that requests wait for
 */
struct load_forecast {
    struct item_forecast *items;
    int count;
};

struct relay_port;
struct crash_report;
struct quota_ask;

/**
 * struct relay_port_ops - callbacks of the relay
 * @activity: sends an activity report; takes ownership, must not block
 * @crashes: sends a report on crashes, which is valid during the call, to all
 * instances, or to a few that @spread picks unless it is 0; must not block
 * @leaving: a target has said that it leaves, or this no longer holds;
 * @target, its id, is valid during the call; must not block
 * @paused: a target wants no requests until @until_ms, which has passed when
 * it wants some again; @target, its id, is valid during the call; must not
 * block
 * @drained: after relay_post_drain(), all requests are finished or the grace
 * period ends
 * @quota: sends an ask to the holder; takes ownership, must not block
 */
struct relay_port_ops {
    void (*activity)(struct relay_port *port, struct activity_report *report);
    void (*crashes)(struct relay_port *port, const struct crash_report *report,
                    uint64_t spread);
    void (*leaving)(struct relay_port *port, const char *target, bool leaves);
    void (*paused)(struct relay_port *port, const char *target,
                   int64_t until_ms);
    void (*drained)(struct relay_port *port);
    void (*quota)(struct relay_port *port, struct quota_ask *ask);
};

struct relay_port {
    const struct relay_port_ops *ops;
};

struct relay;

#endif
