#ifndef RELAY_DAT_H
#define RELAY_DAT_H

enum {
    PARTS_MAX = 32,
    TOKEN_MAX_BYTES = 128,
    /* From this number of instances on, the holder of orders sums up their
     * notes; below, notes from all to all are few, and known sooner. */
    SUM_INSTANCES_MIN = 9,
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
 * @attempt: the caller's id of this attempt; empty when it sent none
 * @deadline_ms: time that the caller waits; -1 when it doesn't say
 * @item: model, or model and adapter, that it asks for; empty for none
 * @tokens_in: length of the prompt
 * @tokens_out: longest answer
 * @parts: the prompt, the last part belongs to the request or its session
 * @last_event: the caller has the events up to this one; -1 for none
 */
struct request_facts {
    char attempt[TOKEN_MAX_BYTES];
    int64_t deadline_ms;
    char item[TOKEN_MAX_BYTES];
    int tokens_in;
    int tokens_out;
    struct prompt_part parts[PARTS_MAX];
    int part_count;
    int64_t last_event;
};

/**
 * struct answer_facts - what an answer's head says to the system
 * @attempt: attempt that it answers; empty when it doesn't say
 * @sealed: it bears the target's signature
 * @not_run: the target has not run the request
 * @target: the target that answers; empty when it doesn't say
 */
struct answer_facts {
    char attempt[TOKEN_MAX_BYTES];
    bool sealed;
    bool not_run;
    char target[NAME_MAX_BYTES];
};

/**
 * struct send_facts - what the system adds to a request
 * @target: the only target that may run it
 * @left_ms: time that is left
 * @urgency: 0 for the most urgent to 9
 * @last_event: go on behind this event; -1 to begin at the start
 */
struct send_facts {
    const char *target;
    int64_t left_ms;
    int urgency;
    int64_t last_event;
};

/**
 * enum field_use - what becomes of a header field
 */
enum field_use { FIELD_PASS, FIELD_DROP, FIELD_BAD };

enum local_call { LOCAL_NONE, LOCAL_READY, LOCAL_LOOKUP };

struct dialect;

/**
 * struct dialect_ops - names of header fields and of calls to the instance
 * @request_field: reads one field of a request; @value ends with a NUL byte
 * @answer_field: reads one field of an answer
 * @send: writes the fields that the system sets
 * @local: which call to the instance itself a path is
 * @addresses: body of an answer with addresses; freed with g_free()
 */
struct dialect_ops {
    enum field_use (*request_field)(struct dialect *dialect, const char *name,
                                    const char *value,
                                    struct request_facts *facts);
    enum field_use (*answer_field)(struct dialect *dialect, const char *name,
                                   const char *value,
                                   struct answer_facts *facts);
    void (*send)(struct dialect *dialect, const struct send_facts *facts,
                 struct _GString *head);
    enum local_call (*local)(struct dialect *dialect, const char *path);
    char *(*addresses)(struct dialect *dialect, char *const *addresses,
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
 * @oldest_ms: longest wait
 */
struct item_activity {
    uint32_t item;
    int arrived;
    int waiting;
    int running;
    int64_t oldest_ms;
};

/**
 * struct target_activity - requests of an instance, or of all, at a target
 * @target: hash of its id
 * @pauses: between events of its streams, since the last note
 * @pause_ms: their sum
 */
struct target_activity {
    uint64_t target;
    int running;
    int pauses;
    int64_t pause_ms;
};

/**
 * struct activity - what an instance has to do
 * @instance: id of the instance
 * @heard_ms: when the receiver got it, set by it
 * @regular: it comes at the usual time, with the pauses since the last such
 * @sums: the same as @targets for all instances that were heard
 * @instances: that @sums covers
 */
struct activity {
    uint64_t instance;
    int64_t heard_ms;
    struct item_activity *items;
    int item_count;
    struct target_activity *targets;
    int target_count;
    struct target_activity *sums;
    int sum_count;
    int instances;
    bool regular;
};

/**
 * struct holdings - what a target holds by now
 * @target: its id
 * @sequence: orders that it has accepted by then
 * @store_loads: loads at a time that the weight store carries, as far as the
 *               holder of orders knows; 0 when it does not say
 */
struct holdings {
    char target[NAME_MAX_BYTES];
    int64_t born_ms;
    int64_t sequence;
    struct item_set held;
    int store_loads;
};

/**
 * struct forecast - when an item that requests wait for can be used
 * @coming: it is being loaded, or room is made for it
 * @ready_ms: from now on; only if it is coming
 */
struct forecast {
    uint32_t item;
    bool coming;
    int64_t ready_ms;
};

/**
 * struct outlook - forecasts for all items that requests wait for
 */
struct outlook {
    struct forecast *items;
    int count;
};

struct relay_port;

/**
 * struct relay_port_ops - where the relay's news go
 * @activity: takes ownership of @activity; must not block
 * @left: the last request is answered after relay_post_leave()
 */
struct relay_port_ops {
    void (*activity)(struct relay_port *port, struct activity *activity);
    void (*left)(struct relay_port *port);
};

struct relay_port {
    const struct relay_port_ops *ops;
};

struct relay;

#endif
