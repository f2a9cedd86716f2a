#ifndef OBSERVE_DAT_H
#define OBSERVE_DAT_H

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

/**
 * struct observe - duty that polls targets and the platform's list
 */
struct observe;

#endif
