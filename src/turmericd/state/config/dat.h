#ifndef CONFIG_DAT_H
#define CONFIG_DAT_H

struct config_port;

/**
 * struct config_port_ops - what the configuration needs from the fleet
 * @relay: whether this instance reads the key-value service for its data
 *         centre
 * @share: sends a message to the other members of the data centre; the
 *         envelope stays the caller's
 * @send: sends a message to one member; the envelope stays the caller's
 * @members: ids of all live members other than this one
 * @changed: a new revision is in force here
 */
struct config_port_ops {
    bool (*relay)(struct config_port *port);
    void (*share)(struct config_port *port, Turmeric__Envelope *envelope);
    bool (*send)(struct config_port *port, uint64_t member,
                 Turmeric__Envelope *envelope);
    int (*members)(struct config_port *port, uint64_t *ids, int max);
    void (*changed)(struct config_port *port, int64_t revision);
};

struct config_port {
    const struct config_port_ops *ops;
};

/**
 * struct config_state - what an instance knows about its configuration
 * @revision: revision held; 0 when there is no tree
 * @ready: a tree is held
 * @age_ms: time since the key-value service last confirmed the revision
 * @stale: @age_ms is above the limit, so nothing may be decided with it
 * @behind: the key-value service holds an older revision than this instance
 */
struct config_state {
    int64_t revision;
    bool ready;
    int64_t age_ms;
    bool stale;
    bool behind;
};

/**
 * struct config - duty that follows the configuration journal
 */
struct config;

#endif
