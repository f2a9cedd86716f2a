#ifndef VIEW_DAT_H
#define VIEW_DAT_H

/**
 * enum target_change_kind - kind of change of a target
 * @TARGET_CHANGED: it is new, or its description has changed
 * @TARGET_MISSING: its entry expired while the store was unreachable; the
 *                  target may still run
 * @TARGET_GONE: it takes no more requests
 */
enum target_change_kind { TARGET_CHANGED, TARGET_MISSING, TARGET_GONE };

/**
 * struct target_change - change of a target, for other duties
 * @kind: kind of the change
 * @info: the target; of one that is gone, only the id is to be used
 */
struct target_change {
    enum target_change_kind kind;
    struct target_info info;
};

struct registry_port;

struct registry_port_ops {
    void (*changed)(struct registry_port *port,
                    const struct target_change *change);
};

struct registry_port {
    const struct registry_port_ops *ops;
};

/**
 * struct registry_entry - a target in the registry
 * @info: the target's description of itself
 * @missing_until_ms: time at which an expired entry counts as gone; 0 while
 *                    the entry exists
 * @listed: present in the list that is being read
 */
struct registry_entry {
    struct target_info info;
    int64_t missing_until_ms;
    bool listed;
};

/**
 * struct registry - the targets that are registered in the store
 * @entries: id to struct registry_entry; owned
 * @port: receiver of changes; borrowed
 * @store_down: the store does not answer
 * @expiry_grace_until_ms: an entry that vanishes before this time may have
 *                         expired because the store was unreachable
 */
struct registry {
    struct _GHashTable *entries;
    struct registry_port *port;
    bool store_down;
    int64_t expiry_grace_until_ms;
};

#endif
