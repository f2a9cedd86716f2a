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

enum target_state { TARGET_LIVE, TARGET_LEAVING, TARGET_DOWN, TARGET_GONE };

/**
 * struct target_report - what is known about a target at one moment
 * @id: hash_text() of the name
 * @name: name in the platform's list
 * @service: service that it belongs to
 * @data_centre: where it runs
 * @address: IP address and port
 * @kind: engine or plain service
 * @state: DOWN when it doesn't answer polls, GONE when it left the list
 * @incarnation: start number of the target's process; 0 when unknown
 * @memory_mb: memory for models
 * @used_mb: memory in use
 * @running: requests running
 * @waiting: requests waiting in the engine
 * @loaded_count: number of valid ids in @loaded
 * @cached_memory_count: number of valid ids in @cached_memory
 * @cached_disk_count: number of valid ids in @cached_disk
 * @loaded: ids of loaded leaves
 * @cached_memory: ids of leaves whose checkpoint is cached in host memory
 * @cached_disk: ids of leaves whose checkpoint is cached on disk
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
 * struct observe_port_ops - what observation needs and whom it tells
 * @report: a new report of a target, own or from a peer
 * @listed: an entry instance in the platform's list, with its state
 * @owns: whether this instance polls the target itself
 * @share: sends own reports to the members of a data centre
 */
struct observe_port_ops {
    void (*report)(struct observe_port *port,
                   const struct target_report *report);
    void (*listed)(struct observe_port *port, const struct member_info *info);
    bool (*owns)(struct observe_port *port, uint64_t target,
                 const char *data_centre);
    void (*share)(struct observe_port *port, const char *data_centre,
                  Turmeric__Envelope *envelope);
};

struct observe_port {
    const struct observe_port_ops *ops;
};

/**
 * struct observe_settings - where to look and how often
 */
struct observe_settings {
    char list_url[ADDRESS_MAX_BYTES];
    int list_interval_ms;
    int poll_interval_ms;
    int poll_timeout_ms;
};

enum listed_kind { LISTED_ENTRY, LISTED_ENGINE, LISTED_PLAIN };

/**
 * struct listed - one record of the platform's list
 * @kind: what kind of instance
 * @leaving: the platform will stop it
 * @name: unique name
 * @service: service of a target, empty for an entry instance
 * @data_centre: where it runs
 * @address: IP address and port
 * @peer_address: address for frames, only of an entry instance
 */
struct listed {
    enum listed_kind kind;
    bool leaving;
    char name[NAME_MAX_BYTES];
    char service[NAME_MAX_BYTES];
    char data_centre[NAME_MAX_BYTES];
    char address[ADDRESS_MAX_BYTES];
    char peer_address[ADDRESS_MAX_BYTES];
};

/**
 * struct list - a successful read of the platform's list
 * @records: owned
 * @count: number of records
 * @skipped: records that were not usable
 */
struct list {
    struct listed *records;
    int count;
    int skipped;
};

/**
 * enum share - what the members of the target's data centre must be told
 */
enum share { SHARE_NOTHING, SHARE_LOAD, SHARE_FULL };

/**
 * struct shared - what the other members were last told about a target
 * @content: hash of everything but the load; 0 when nothing was told
 * @state: state told
 * @running: load told
 * @waiting: load told
 * @told_ms: when anything was told
 * @full_ms: when a full report was told
 */
struct shared {
    uint64_t content;
    enum target_state state;
    uint32_t running;
    uint32_t waiting;
    int64_t told_ms;
    int64_t full_ms;
};

/**
 * struct observed - a target and where the knowledge about it comes from
 * @report: present report, owned
 * @listed_leaving: the list says that it leaves
 * @said_leaving: its own status, or a peer's report of it, says so
 * @down: it doesn't answer
 * @missing_reads: successful reads of the list in a row that lacked it
 * @failed_polls: own polls in a row that failed
 * @polling: a poll is in progress
 * @known_ms: when its content was last confirmed by a poll, own or a peer's
 * @polled_ms: when an own poll last succeeded
 * @poll_ms: when the next poll is due
 * @poll_started_ms: when the poll in progress began
 * @seen: number of the last list that named the target
 * @to_share: an own poll has ended since the last share
 * @shared: what the other members know from this instance
 */
struct observed {
    struct target_report *report;
    bool listed_leaving;
    bool said_leaving;
    bool down;
    int missing_reads;
    int failed_polls;
    bool polling;
    int64_t known_ms;
    int64_t polled_ms;
    int64_t poll_ms;
    int64_t poll_started_ms;
    uint32_t seen;
    bool to_share;
    struct shared shared;
};

/**
 * struct poll_job - one HTTP request for a poller
 * @list: a read of the list instead of a target's status
 * @target: id of the target
 * @url: what to read
 */
struct poll_job {
    bool list;
    uint64_t target;
    char url[ADDRESS_MAX_BYTES + 32];
};

enum observe_kind { OBSERVE_STATUS, OBSERVE_LIST, OBSERVE_ENVELOPE };

/**
 * struct observe_message - message to the duty that decides
 * @kind: which members are set
 * @target: target that was polled
 * @status: its status, or NULL when the poll failed; owned
 * @list: what was read; owned
 * @list_read: whether the list could be read
 * @envelope: Reports of a peer; owned
 */
struct observe_message {
    enum observe_kind kind;
    uint64_t target;
    struct target_report *status;
    struct list list;
    bool list_read;
    Turmeric__Envelope *envelope;
};

/**
 * struct poller - duty that makes HTTP requests, one at a time
 * @duty: first member
 * @jobs: requests to make; may be shared between pollers
 * @results: where the results go
 * @timeout_ms: longest time for an answer
 */
struct poller {
    struct duty duty;
    struct ring *jobs;
    struct ring *results;
    int timeout_ms;
};

/**
 * struct observe - duty that polls targets and the platform's list
 */
struct observe;

#endif
