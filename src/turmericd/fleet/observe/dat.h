#ifndef OBSERVE_DAT_H
#define OBSERVE_DAT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
    REPORT_LOADED_MAX = 128,
    REPORT_CACHED_MAX = 64,
    TARGETS_MAX = 5632,
};

enum target_state { TARGET_LIVE, TARGET_DRAINING, TARGET_DOWN, TARGET_GONE };

/**
 * struct target_report - status of a target at one point in time
 * @id: hash_text() of the name
 * @name: name in the platform's list
 * @service: service that the target belongs to
 * @data_centre: data centre that the target runs in
 * @address: IP address and port
 * @kind: engine or plain service
 * @state: TARGET_DOWN when polls fail, TARGET_GONE when the list lacks it
 * @incarnation: number of the target's process, larger after each restart
 *               unless its clock was set back; 0 when unknown
 * @memory_mb: memory for models, in MiB
 * @used_mb: memory in use, in MiB
 * @running: requests in progress
 * @waiting: requests queued in the engine
 * @loaded_count: number of valid ids in @loaded
 * @cached_memory_count: number of valid ids in @cached_memory
 * @cached_disk_count: number of valid ids in @cached_disk
 * @loaded: ids of loaded leaves
 * @cached_memory: ids of leaves whose weights are cached in host memory
 * @cached_disk: ids of leaves whose weights are cached on disk
 */
struct target_report {
    uint64_t id;
    char name[NAME_MAX_BYTES];
    char service[NAME_MAX_BYTES];
    char data_centre[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    enum target_kind kind;
    enum target_state state;
    uint64_t incarnation;
    uint32_t memory_mb;
    uint32_t used_mb;
    uint32_t running;
    uint32_t waiting;
    uint16_t loaded_count;
    uint16_t cached_memory_count;
    uint16_t cached_disk_count;
    uint64_t loaded[REPORT_LOADED_MAX];
    uint64_t cached_memory[REPORT_CACHED_MAX];
    uint64_t cached_disk[REPORT_CACHED_MAX];
};

struct observe_port;

/**
 * struct observe_port_ops - callbacks of the observe supervisor
 * @target_reported: takes a new report of a target, from a local poll, a peer
 *                   or the list
 * @entry_listed: takes an entry instance named by the platform's list
 * @polls_target: returns whether this instance is the one to poll the target
 * @broadcast: sends reports of local polls to the members of a data centre
 */
struct observe_port_ops {
    void (*target_reported)(struct observe_port *port,
                            const struct target_report *report);
    void (*entry_listed)(struct observe_port *port,
                         const struct member_info *info);
    bool (*polls_target)(struct observe_port *port, uint64_t target,
                         const char *data_centre);
    void (*broadcast)(struct observe_port *port, const char *data_centre,
                      Turmeric__Envelope *envelope);
};

struct observe_port {
    const struct observe_port_ops *ops;
};

/**
 * struct observe_settings - what to poll and how often
 * @list_url: base URL of the platform
 * @list_interval_ms: time between reads of the platform's list
 * @poll_interval_ms: time between polls of a target
 * @poll_timeout_ms: longest time for a response
 */
struct observe_settings {
    char list_url[ADDRESS_MAX_BYTES];
    int list_interval_ms;
    int poll_interval_ms;
    int poll_timeout_ms;
};

enum listed_kind { LISTED_ENTRY, LISTED_ENGINE, LISTED_PLAIN };

/**
 * struct listed_instance - one record of the platform's list
 * @kind: entry instance, engine or plain service
 * @draining: the platform is about to stop the instance
 * @name: unique name
 * @service: service of a target, empty for an entry instance
 * @data_centre: data centre that the instance runs in
 * @address: IP address and port
 * @peer_address: address for messages between instances; empty for a target
 */
struct listed_instance {
    enum listed_kind kind;
    bool draining;
    char name[NAME_MAX_BYTES];
    char service[NAME_MAX_BYTES];
    char data_centre[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
};

/**
 * struct instance_list - decoded list of the platform
 * @records: valid records; owned
 * @count: number of records
 * @skipped: number of invalid records, which are left out
 */
struct instance_list {
    struct listed_instance *records;
    int count;
    int skipped;
};

/**
 * enum broadcast_kind - report to send to the target's data centre
 * @BROADCAST_NONE: no report
 * @BROADCAST_LOAD: state and load only
 * @BROADCAST_FULL: the whole report
 */
enum broadcast_kind { BROADCAST_NONE, BROADCAST_LOAD, BROADCAST_FULL };

/**
 * struct broadcast_state - last broadcast report of a target
 * @content_hash: hash of all but state and load; 0 before the first broadcast
 * @state: state in the last broadcast
 * @running: requests in progress in the last broadcast
 * @waiting: queued requests in the last broadcast
 * @sent_ms: time of the last broadcast
 * @full_sent_ms: time of the last full broadcast
 */
struct broadcast_state {
    uint64_t content_hash;
    enum target_state state;
    uint32_t running;
    uint32_t waiting;
    int64_t sent_ms;
    int64_t full_sent_ms;
};

/**
 * struct observed_target - a target and the sources of its report
 * @report: current report; owned
 * @listed_draining: the list says that the target is draining
 * @reported_draining: the last poll, local or of a peer, says so
 * @unreachable: polls fail
 * @leaving: an answer to a caller's request said that the target leaves, and
 * no poll of this instance that started later says otherwise
 * @leaving_since_ms: when the first such answer came
 * @leaving_heard_ms: when the last such answer came
 * @consecutive_missing: consecutive reads of the list without the target
 * @consecutive_failures: consecutive local polls that failed
 * @polling: a local poll is in progress
 * @confirmed_ms: when a poll, local or of a peer, last confirmed the report
 * @poll_succeeded_ms: when a local poll last succeeded
 * @next_poll_ms: when the next poll is due
 * @poll_started_ms: when the poll in progress started
 * @last_list_number: number of the last list that named the target
 * @broadcast_pending: a local poll ended since the last broadcast
 * @last_broadcast: last report that this instance broadcast
 */
struct observed_target {
    struct target_report *report;
    bool listed_draining;
    bool reported_draining;
    bool unreachable;
    bool leaving;
    int64_t leaving_since_ms;
    int64_t leaving_heard_ms;
    int consecutive_missing;
    int consecutive_failures;
    bool polling;
    int64_t confirmed_ms;
    int64_t poll_succeeded_ms;
    int64_t next_poll_ms;
    int64_t poll_started_ms;
    uint32_t last_list_number;
    bool broadcast_pending;
    struct broadcast_state last_broadcast;
};

/**
 * struct poll_job - one HTTP request for a poller
 * @reads_list: read the platform's list instead of a target's status
 * @target_id: id of the target
 * @url: URL to get
 */
struct poll_job {
    bool reads_list;
    uint64_t target_id;
    char url[ADDRESS_MAX_BYTES + 32];
};

enum observe_message_kind {
    OBSERVE_STATUS,
    OBSERVE_LIST,
    OBSERVE_ENVELOPE,
    OBSERVE_LEAVING,
};

/**
 * struct observe_message - message to the core duty
 * @kind: which of the other members are set
 * @target_id: target that was polled, or whose answer says that it leaves
 * @heard_ms: when that answer came
 * @status: status of the target, NULL when the poll failed; owned
 * @list: decoded list; owned
 * @list_valid: whether the list could be read and decoded
 * @envelope: Reports message of a peer; owned
 */
struct observe_message {
    enum observe_message_kind kind;
    uint64_t target_id;
    int64_t heard_ms;
    struct target_report *status;
    struct instance_list list;
    bool list_valid;
    Turmeric__Envelope *envelope;
};

/**
 * struct poller - duty that makes one HTTP request at a time
 * @duty: first member
 * @jobs: requests to make; may be shared between pollers
 * @results: inbox of the core duty, receives the results
 * @timeout_ms: longest time for a response
 */
struct poller {
    struct duty duty;
    struct ring *jobs;
    struct ring *results;
    int timeout_ms;
};

/**
 * struct observe - supervisor of the duties that poll targets and the list
 *
 * Opaque to others; observe_new() creates it.
 */
struct observe;

#endif
