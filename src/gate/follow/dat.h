#ifndef FOLLOW_DAT_H
#define FOLLOW_DAT_H

#include <stdatomic.h>

/**
 * struct holder - who may order engines
 * @name: instance, as it wrote itself; empty when nobody may
 * @fence: revision at which it became the holder
 */
struct holder {
    char name[NAME_MAX_BYTES];
    int64_t fence;
};

struct feed_port;

/**
 * struct feed_port_ops - what the store tells
 * @config: a newer configuration
 * @change: the list of targets has changed
 * @listed: the list of targets was read once
 * @members: all instances, as struct gate_member
 * @holder: who may order engines
 *
 * Called in the feed's thread; must not block. Arguments stay the caller's.
 * Each returns false when it could not be taken; it is offered again then,
 * also to those that had taken it.
 */
struct feed_port_ops {
    bool (*config)(struct feed_port *port, struct gate_config *config);
    bool (*change)(struct feed_port *port, const struct target_change *change);
    bool (*listed)(struct feed_port *port);
    bool (*members)(struct feed_port *port, const GArray *members);
    bool (*holder)(struct feed_port *port, const struct holder *holder);
};

struct feed_port {
    const struct feed_port_ops *ops;
};

/**
 * struct outbox - news that other duties have yet to take
 * @config: owned reference; NULL for none
 * @changes: id of a target -> its last struct target_change
 * @members: struct gate_member; NULL for no news
 * @listed: the first list was read
 */
struct outbox {
    struct gate_config *config;
    GHashTable *changes;
    GArray *members;
    struct holder holder;
    bool listed;
    bool holder_changed;
};

/**
 * struct feed - duty that follows the store
 * @store: used by this duty only
 * @wait: nothing is sent on it; closed to end a wait
 * @members: key -> struct gate_member
 * @after: revision that is known; 0 before the first list
 */
struct feed {
    struct duty duty;
    struct store *store;
    const struct gate_decode_ops *decode;
    struct feed_port *port;
    struct registry_port registry_port;
    struct registry registry;
    struct ring wait;
    GHashTable *members;
    struct outbox outbox;
    int64_t config_version;
    int64_t after;
    int64_t backoff_ms;
    bool listed;
    bool members_changed;
};

/**
 * struct term - right of this instance to order engines
 * @fence: of the present holding; 0 while another or nobody holds it
 * @until_ms: on the clock of clock_boot_ms(); no order is sent later
 */
struct term {
    atomic_int_fast64_t fence;
    atomic_int_fast64_t until_ms;
};

enum { HOLDERS_MAX = 64, KEY_BYTES = 200 };

/**
 * struct tenure_message - news for the tenure
 * @leave: this instance stops
 * @holder: else, who may order engines
 */
struct tenure_message {
    bool leave;
    struct holder holder;
};

/**
 * struct tenure - duty that keeps this instance's lease
 * @store: used by this duty only
 * @self: how this instance is listed
 * @term: read by those who order
 * @ring: struct holder, from the feed
 * @lease: 0 for none
 * @sent_ms: when the lease was last renewed, by clock_boot_ms()
 */
struct tenure {
    struct duty duty;
    struct store *store;
    const struct gate_settings *settings;
    struct gate_member self;
    struct term *term;
    struct ring ring;
    struct holder holder;
    bool holder_known;
    bool leaving;
    int64_t lease;
    int64_t ttl_ms;
    int64_t sent_ms;
    int64_t vacant_ms;
    bool listed;
};

#endif
