#ifndef CONFIG_DAT_H
#define CONFIG_DAT_H

struct config_port;

/**
 * struct config_port_ops - what the configuration duty needs from the fleet
 * @is_relay: whether this instance polls the key-value store on behalf of
 *            its data centre
 * @broadcast: sends a message to the other members of the data centre; the
 *             caller keeps ownership of the envelope
 * @send: sends a message to one member; the caller keeps ownership of the
 *        envelope
 * @list_members: stores the ids of up to @max live members, without this
 *                instance, and returns their number
 * @revision_changed: called when a new revision takes effect on this instance
 */
struct config_port_ops {
    bool (*is_relay)(struct config_port *port);
    void (*broadcast)(struct config_port *port, Turmeric__Envelope *envelope);
    bool (*send)(struct config_port *port, uint64_t member,
                 Turmeric__Envelope *envelope);
    int (*list_members)(struct config_port *port, uint64_t *ids, int max);
    void (*revision_changed)(struct config_port *port, int64_t revision);
};

struct config_port {
    const struct config_port_ops *ops;
};

/**
 * struct config_state - state of the configuration on an instance
 * @revision: current revision; 0 for an empty tree
 * @ready: a tree was loaded, or the key-value store was found to be empty
 * @age_ms: time since the key-value store last confirmed that @revision is
 *          the newest
 * @stale: @age_ms is above the limit, so no decision may be based on the tree
 * @store_behind: the key-value store lacks @revision or has another entry
 *                there
 */
struct config_state {
    int64_t revision;
    bool ready;
    int64_t age_ms;
    bool stale;
    bool store_behind;
};

/**
 * struct config - duty that keeps the local configuration up to date
 */
struct config;

#endif
