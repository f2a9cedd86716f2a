#ifndef VIEW_DAT_H
#define VIEW_DAT_H

/**
 * enum target_change_kind - kind of change of a target
 * @TARGET_CHANGED: it is new, or its description has changed
 * @TARGET_MISSING: its entry expired while the store was down; the target may
 *                  still run
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
 * @create_revision: revision at which the entry was created; 0 if unknown
 * @missing_until_ms: time at which an expired entry counts as gone; 0 while
 *                    the entry exists
 * @listed: present in the list that is being read
 * @vanished: to be settled
 * @lapsed: vanished, or created anew, since the store was back
 * @written: by its target, since the store was back
 */
struct registry_entry {
    struct target_info info;
    int64_t create_revision;
    int64_t missing_until_ms;
    bool listed;
    bool vanished;
    bool lapsed;
    bool written;
};

/**
 * struct left_target - a target whose entry was removed
 * @started_ms: its start
 * @entry_writes: of its last entry
 * @draining: its last entry said that it stops
 * @left_ms: when it was removed
 */
struct left_target {
    int64_t started_ms;
    int64_t entry_writes;
    bool draining;
    int64_t left_ms;
};

/**
 * struct store_contact - a time in which the store has answered, without a
 * silence in which entries expire
 * @since_ms: beginning
 * @heard_ms: last answer; 0 for none
 */
struct store_contact {
    int64_t since_ms;
    int64_t heard_ms;
};

/**
 * struct registry - the targets that are registered in the store
 * @entries: id to struct registry_entry; owned
 * @left: id to struct left_target, of targets that are not in @entries
 * @port: receiver of changes; borrowed
 * @silence_min_ms: shortest outage of the store in which entries expire
 * @contact: when the store has answered this instance
 * @others: when it has answered others, as far as they were asked
 * @failed_ms: when the last failed call began
 * @returned_ms: when the store answered after a silence in which entries may
 *               have expired
 * @grace_end_ms: until when targets whose entries expired may write them again
 * @known: entries at @returned_ms, without those of draining targets
 * @lapsed: how many of @known have vanished, or were created anew, since
 * @restored: the store was restored from an older copy at @returned_ms
 * @lists_copy: its keys are being listed for the first time since
 * @store_down: the last call to the store has failed
 */
struct registry {
    struct _GHashTable *entries;
    struct _GHashTable *left;
    struct registry_port *port;
    int64_t silence_min_ms;
    struct store_contact contact;
    struct store_contact others;
    int64_t failed_ms;
    int64_t returned_ms;
    int64_t grace_end_ms;
    int known;
    int lapsed;
    bool restored;
    bool lists_copy;
    bool store_down;
};

#endif
