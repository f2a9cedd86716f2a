#ifndef CHOOSE_DAT_H
#define CHOOSE_DAT_H

enum { TRIED_MAX = 8, BUDGET_BUCKETS = 20 };

/**
 * struct target_health - recent results of requests to a target
 * @failure_rate: moving average of the failure rate, from 0 to 1
 * @backoff_until_ms: time until which the target gets no requests after a
 *                    failed connect
 * @connect_failures: number of consecutive failed connects
 */
struct target_health {
    double failure_rate;
    int64_t backoff_until_ms;
    int connect_failures;
};

/**
 * struct event_intervals - intervals between the events of a target's streams
 * @total_ms: sum of the intervals, with exponential decay
 * @count: number of intervals, with exponential decay
 * @usual_total_ms: sum of the intervals, with a slower decay
 * @usual_count: number of intervals, with a slower decay
 * @updated_ms: time of the last update
 */
struct event_intervals {
    double total_ms;
    double count;
    double usual_total_ms;
    double usual_count;
    int64_t updated_ms;
};

enum { FINISH_PARTS = 8 };

/**
 * struct finish_facts - what the forecast of a request's end needs; see
 *                       admit/finish.c
 * @deadline_ms: when its answer must have ended
 * @events_max: most events of its answer; 0 when unknown
 * @events_done: of these, events that its caller has got
 * @first_ms: mean time from the sending of such a request to the first event
 * @interval_ms: mean interval between the events of such answers
 * @longer: share of such answers that use more than (i + 1) / FINISH_PARTS of
 *          the longest output
 */
struct finish_facts {
    int64_t deadline_ms;
    double events_max;
    double events_done;
    double first_ms;
    double interval_ms;
    float longer[FINISH_PARTS];
};

/**
 * struct finish_history - answers to requests of one kind, for admit/finish.c
 * @counts: answers by the part of the longest output that they used, decayed
 * @total: sum of @counts
 * @events_per_token: most events for a token of the longest output, decayed
 * @first_total_ms: sum of the times to the first event, decayed
 * @interval_count: answers with a mean interval between events, decayed
 * @interval_total_ms: sum of these intervals, decayed
 * @updated_ms: when these were last decayed
 */
struct finish_history {
    double counts[FINISH_PARTS];
    double total;
    double events_per_token;
    double first_total_ms;
    double interval_count;
    double interval_total_ms;
    int64_t updated_ms;
};

/**
 * struct finish_answer - an answer that has ended whole
 * @events: its events
 * @max_tokens: longest output that its request allowed; 0 for no limit
 * @first_ms: time from the sending to the first event
 * @interval_ms: mean interval between its events
 */
struct finish_answer {
    int events;
    int max_tokens;
    int64_t first_ms;
    double interval_ms;
};

/**
 * struct target_identity - a start of a target
 * @id: its id
 * @address: where it takes requests
 * @started_ms: wall time of its start; TARGET_START_UNKNOWN when its entry has
 *              not been read
 */
struct target_identity {
    char id[TARGET_ID_BYTES];
    char address[ADDRESS_MAX_BYTES];
    int64_t started_ms;
};

enum { TARGET_START_UNKNOWN = -1 };

/**
 * struct leaving_notice - a target has said in an answer that it leaves
 * @target: the target
 * @learnt_ms: when the answer was read
 */
struct leaving_notice {
    struct target_identity target;
    int64_t learnt_ms;
};

/**
 * struct target_pause - a target has turned a request away and wants no more
 *                       for some time
 * @since_ms: when the answer was read; 0 for never
 * @until_ms: the end of that time
 * @kept: requests that this instance had there at the end
 */
struct target_pause {
    int64_t since_ms;
    int64_t until_ms;
    int kept;
};

/* After a pause, requests return to the target over this time. */
enum { PAUSE_RETURN_MS = 1000 };

/**
 * struct pause_notice - the pause of a target
 * @target: the target
 * @pause: the pause
 * @ended: its end was logged; requests still return
 */
struct pause_notice {
    struct target_identity target;
    struct target_pause pause;
    bool ended;
};

/**
 * enum leaving_end - what an entry means for the notice of a target
 * @LEAVING_HOLDS: nothing, the notice holds
 * @LEAVING_RESTARTED: the target itself has started again since
 * @LEAVING_REPLACED: another target has started at its address since
 */
enum leaving_end { LEAVING_HOLDS, LEAVING_RESTARTED, LEAVING_REPLACED };

/**
 * struct target_record - a target with its load, health and speed
 * @info: the target's description of itself
 * @running: requests that this instance has running there
 * @running_elsewhere: requests that other instances have running there, by
 *                     their last reports
 * @tokens: prompts and maximum outputs of the requests that this instance has
 *          running there
 * @tokens_elsewhere: the same of other instances, by their last reports
 * @missing: its entry expired while the store was unreachable
 * @pause: the time in which it wants no requests
 * @leaving_ms: when it said in an answer that it leaves; 0 when it has not
 * @health: recent results of requests
 * @intervals: recent intervals between events of its streams
 */
struct target_record {
    struct target_info info;
    int running;
    int running_elsewhere;
    int64_t tokens;
    int64_t tokens_elsewhere;
    bool missing;
    struct target_pause pause;
    int64_t leaving_ms;
    struct target_health health;
    struct event_intervals intervals;
};

/**
 * struct request_needs - what a request needs from a target
 * @service: name of the service; borrowed
 * @zone: data centre of this instance; borrowed
 * @model: quark of the model; 0 for a plain service
 * @adapter: quark of the adapter; 0 for none
 * @tokens: prompt and maximum output in tokens; 0 for unknown
 * @token_capacity: tokens that an engine of the service has room for; 0 for
 *                  unknown
 * @interval_goal_ms: longest interval between events that meets the objective;
 *                    0 when the response is not a stream
 * @finish: forecast of its end
 * @affinity: requests with the same value share a prompt; 0 for none
 * @tried: hashes of the ids of targets that must not be used again
 * @tried_count: number of @tried
 */
struct request_needs {
    const char *service;
    const char *zone;
    uint32_t model;
    uint32_t adapter;
    int64_t tokens;
    int64_t token_capacity;
    int64_t interval_goal_ms;
    struct finish_facts finish;
    uint64_t affinity;
    uint64_t tried[TRIED_MAX];
    int tried_count;
};

/**
 * struct token_view - what is known of the tokens of other instances
 * @unreported: tokens that this instance has added at the target since the
 *              report that the others know
 * @instances: instances that may send to it
 * @heard: of these, the ones whose reports are fresh, with this one
 */
struct token_view {
    int64_t unreported;
    int instances;
    int heard;
};

/**
 * enum status_kind - what a status says of the response that it begins
 * @STATUS_FINAL: it is the response
 * @STATUS_INTERIM: the response follows
 * @STATUS_NONE: no response; nothing that follows on the connection is one
 */
enum status_kind { STATUS_FINAL, STATUS_INTERIM, STATUS_NONE };

/**
 * enum verdict - what to do with a request, given the head of its response
 * @VERDICT_PASS: the response is passed on to the caller
 * @VERDICT_NOT_RUN: the target has not run the request and will not run it
 * @VERDICT_RETRY: the request failed and may be run again
 * @VERDICT_FAILED: the request may have run; its response can't be passed on
 */
enum verdict { VERDICT_PASS, VERDICT_NOT_RUN, VERDICT_RETRY, VERDICT_FAILED };

/**
 * struct response_facts - what determines the verdict on a response
 * @status: HTTP status
 * @not_run: the target states that it has not run the request
 * @signed_by_target: the response carries the target's signature
 * @retryable: the request may run more than once
 * @encoded: the body has an encoding, which no caller asks for
 */
struct response_facts {
    int status;
    bool not_run;
    bool signed_by_target;
    bool retryable;
    bool encoded;
};

/**
 * enum silence_choice - what to do with a request whose target is silent
 * @SILENCE_MOVE: it is taken back and sent to another target
 * @SILENCE_ONE_RUN: it stays, as it may not run once more
 * @SILENCE_BEGUN: it stays, as nothing can go on with what its caller has
 * @SILENCE_BLAMED: it stays, as it is known to crash targets
 * @SILENCE_NO_TARGET: it stays until another target has room
 * @SILENCE_WOULD_NOT_END: it stays, as its deadline comes, or this instance
 * stops, before another run would end
 * @SILENCE_NO_BUDGET: it stays until the retry budget has room
 */
enum silence_choice {
    SILENCE_MOVE,
    SILENCE_ONE_RUN,
    SILENCE_BEGUN,
    SILENCE_BLAMED,
    SILENCE_NO_TARGET,
    SILENCE_WOULD_NOT_END,
    SILENCE_NO_BUDGET,
};

/**
 * struct silence_facts - what determines whether a request stays at a silent
 *                        target
 * @may_run_again: its kind and its attempts allow another run
 * @has_begun: its caller has a part of the answer
 * @is_stream: that part is of a stream, which another run can go on with
 * @is_blamed: it has a trait that crashes targets
 * @target_has_room: another target can take it now
 * @would_not_end: its deadline comes, or this instance stops, before another
 * run would end
 * @budget_has_room: a retry may be sent now
 */
struct silence_facts {
    bool may_run_again;
    bool has_begun;
    bool is_stream;
    bool is_blamed;
    bool target_has_room;
    bool would_not_end;
    bool budget_has_room;
};

/**
 * enum body_type - what the head of a response says that its body is
 * @BODY_UNDECLARED: nothing
 * @BODY_EVENTS: an event stream
 * @BODY_OTHER: something else
 */
enum body_type { BODY_UNDECLARED, BODY_EVENTS, BODY_OTHER };

/**
 * struct stream_facts - what determines whether a response goes on with a
 *                       stream
 * @begun_status: HTTP status that the caller has
 * @status: HTTP status of the response
 * @body_type: type of its body
 */
struct stream_facts {
    int begun_status;
    int status;
    enum body_type body_type;
};

/**
 * struct stream_event - what stands before a blank line of an event stream
 * @valid: it consists of an event's fields and comments
 * @id: id of the event; -1 for none
 * @has_data: it brings the caller something
 */
struct stream_event {
    bool valid;
    int64_t id;
    bool has_data;
};

/**
 * enum event_verdict - what to do with an event
 * @EVENT_PASS: it is passed on to the caller
 * @EVENT_SKIP: the caller has it
 * @EVENT_INVALID: it is no event, or can't be told from another
 * @EVENT_GAP: an event before it is missing
 * @EVENT_REPEATED: its run has sent an event with this id, or a later one
 * @EVENT_TOO_LONG: it does not end
 *
 * From EVENT_INVALID on, the run counts as broken off before the event.
 */
enum event_verdict {
    EVENT_PASS,
    EVENT_SKIP,
    EVENT_INVALID,
    EVENT_GAP,
    EVENT_REPEATED,
    EVENT_TOO_LONG,
};

/**
 * struct body_scan - search for another response in a body that passes
 * @text: what may be a head that has begun, or a part of its first line; owned
 * @bytes: length of @text
 * @room: bytes that are allocated
 * @searched: of @text, bytes in which neither the id nor the end of a head is
 */
struct body_scan {
    char *text;
    size_t bytes;
    size_t room;
    size_t searched;
};

/**
 * enum answer_fault - why a response that has ended is not whole
 * @FAULT_NONE: it is whole
 * @FAULT_CUT_OFF: its stream ends within an event
 * @FAULT_ENDED_EARLY: its stream ends before the last event
 * @FAULT_SECOND_RESPONSE: another response stands in its body
 */
enum answer_fault {
    FAULT_NONE,
    FAULT_CUT_OFF,
    FAULT_ENDED_EARLY,
    FAULT_SECOND_RESPONSE,
};

/**
 * struct stream_end - the end of a run of a stream
 * @cut_off: it is within an event
 * @marked: by a length or a last chunk, not by the end of the connection
 * @declared: the response says that it is an event stream
 * @begun: the caller has the head of the stream
 * @last_id: id of the last event that the caller has; -1 for none
 * @run_id: id of the last event of the run; -1 for none
 */
struct stream_end {
    bool cut_off;
    bool marked;
    bool declared;
    bool begun;
    int64_t last_id;
    int64_t run_id;
};

/**
 * struct budget_bucket - counts for one interval of the window
 * @start_ms: start of the interval
 * @requests: requests from callers
 * @retries: requests that were sent again
 */
struct budget_bucket {
    int64_t start_ms;
    int requests;
    int retries;
};

/**
 * struct retry_budget - requests to a service and their retries in the window
 * @buckets: ring of consecutive intervals
 */
struct retry_budget {
    struct budget_bucket buckets[BUDGET_BUCKETS];
};

/* One more than in a window, so that a whole window is covered although the
 * current bucket is incomplete. */
enum { INSTANCE_COUNTS_BUCKETS = BUDGET_BUCKETS + 1 };

/**
 * struct instance_counts_bucket - largest count in an interval of the window
 * @number: number of the interval since the clock's start
 * @max: largest count
 */
struct instance_counts_bucket {
    int64_t number;
    int max;
};

/**
 * struct instance_counts - numbers of instances known within a window
 * @buckets: ring of consecutive intervals
 */
struct instance_counts {
    struct instance_counts_bucket buckets[INSTANCE_COUNTS_BUCKETS];
};

#endif
