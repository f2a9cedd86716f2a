#ifndef RELAY_DAT_H
#define RELAY_DAT_H

enum {
    PROMPT_PARTS_MAX = 32,
    TOKEN_MAX_BYTES = 128,
    /* From this number of instances on, the holder of orders sums up their
     * notes; below, notes from all to all are few, and known sooner. */
    TOTAL_INSTANCES_MIN = 9,
};

/**
 * struct prompt_part - part of a prompt that requests may share
 * @id: name of the part
 * @tokens: its length
 */
struct prompt_part {
    uint64_t id;
    int tokens;
};

/**
 * struct request_facts - what a request's head says to the system
 * @attempt_id: the caller's id of this attempt; empty when it sent none
 * @deadline_ms: time that the caller waits; -1 when it doesn't say
 * @item: model, or model and adapter, that it asks for; empty for none
 * @prompt_tokens: length of the prompt
 * @max_output_tokens: longest answer
 * @parts: the prompt, the last part belongs to the request or its session
 * @last_event_id: the caller has the events up to this one; -1 for none
 */
struct request_meta {
    char attempt_id[TOKEN_MAX_BYTES];
    int64_t deadline_ms;
    char item[TOKEN_MAX_BYTES];
    int prompt_tokens;
    int max_output_tokens;
    struct prompt_part parts[PROMPT_PARTS_MAX];
    int part_count;
    int64_t last_event_id;
};

/**
 * struct answer_facts - what an answer's head says to the system
 * @attempt_id: attempt that it answers; empty when it doesn't say
 * @signed_by_target: it bears the target's signature
 * @not_run: the target has not run the request
 * @target_id: the target that answers; empty when it doesn't say
 */
struct answer_meta {
    char attempt_id[TOKEN_MAX_BYTES];
    bool signed_by_target;
    bool not_run;
    char target_id[NAME_MAX_BYTES];
};

/**
 * struct send_facts - what the system adds to a request
 * @target_id: the only target that may run it
 * @left_ms: time that is left
 * @urgency: 0 for the most urgent to 9
 * @last_event_id: go on behind this event; -1 to begin at the start
 */
struct forward_meta {
    const char *target_id;
    int64_t left_ms;
    int urgency;
    int64_t last_event_id;
};

/**
 * enum field_use - what becomes of a header field
 */
enum field_action { FIELD_PASS, FIELD_DROP, FIELD_INVALID };

enum local_endpoint { LOCAL_NONE, LOCAL_READY, LOCAL_LOOKUP };

struct dialect;

/**
 * struct dialect_ops - names of header fields and of calls to the instance
 * @read_request_field: reads one field of a request; @value ends with a NUL
 * byte
 * @read_answer_field: reads one field of an answer
 * @write_request_fields: writes the fields that the system sets
 * @find_local_endpoint: which call to the instance itself a path is
 * @format_addresses: body of an answer with addresses; freed with g_free()
 */
struct dialect_ops {
    enum field_action (*read_request_field)(struct dialect *dialect,
                                            const char *name,
                                            const char *value,
                                            struct request_meta *facts);
    enum field_action (*read_answer_field)(struct dialect *dialect,
                                           const char *name, const char *value,
                                           struct answer_meta *facts);
    void (*write_request_fields)(struct dialect *dialect,
                                 const struct forward_meta *facts,
                                 struct _GString *head);
    enum local_endpoint (*find_local_endpoint)(struct dialect *dialect,
                                               const char *path);
    char *(*format_addresses)(struct dialect *dialect, char *const *addresses,
                              int count, int keep_s);
};

struct dialect {
    const struct dialect_ops *ops;
};

/**
 * struct item_activity - requests for a model or an adapter
 * @item: quark
 * @arrived: since the last note
 * @waiting: no target has it
 * @running: at targets
 * @oldest_wait_ms: longest wait
 */
struct item_activity {
    uint32_t item;
    int arrived;
    int waiting;
    int running;
    int64_t oldest_wait_ms;
};

/**
 * struct target_activity - requests of an instance, or of all, at a target
 * @target_hash: hash of its id
 * @intervals: between events of its streams, since the last note
 * @interval_sum_ms: their sum
 */
struct target_activity {
    uint64_t target_hash;
    int running;
    int intervals;
    int64_t interval_sum_ms;
};

/**
 * struct activity - what an instance has to do
 * @instance: id of the instance
 * @received_ms: when the receiver got it, set by it
 * @periodic: it comes at the usual time, with the pauses since the last such
 * @totals: the same as @targets for all instances that were heard
 * @instance_count: that @totals covers
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
};

/**
 * struct holdings - what a target holds by now
 * @target: its id
 * @sequence: orders that it has accepted by then
 * @store_loads_max: loads at a time that the weight store carries, as far as
 * the holder of orders knows; 0 when it does not say
 */
struct holdings {
    char target[NAME_MAX_BYTES];
    int64_t started_ms;
    int64_t sequence;
    struct target_items held;
    int store_loads_max;
};

/**
 * struct forecast - when an item that requests wait for can be used
 * @coming: it is being loaded, or room is made for it
 * @ready_ms: from now on; only if it is coming
 */
struct item_forecast {
    uint32_t item;
    bool coming;
    int64_t ready_ms;
};

/**
 * struct outlook - forecasts for all items that requests wait for
 */
struct load_forecast {
    struct item_forecast *items;
    int count;
};

struct relay_port;

/**
 * struct relay_port_ops - where the relay's news go
 * @activity: takes ownership of @activity; must not block
 * @drained: the last request is answered after relay_post_drain()
 */
struct relay_port_ops {
    void (*activity)(struct relay_port *port,
                     struct activity_report *activity);
    void (*drained)(struct relay_port *port);
};

struct relay_port {
    const struct relay_port_ops *ops;
};

struct relay;

#endif
