#ifndef FOLLOW_DAT_H
#define FOLLOW_DAT_H

#include <stdatomic.h>

/* A longer name of an instance is cut in the holder's name. */
enum { HOLDER_NAME_BYTES = 30 };

/**
 * struct holder - the instance that may order engines
 * @name: holder's name as stored under holder_key; empty for no holder
 * @fence: fencing token, era_fence() of the store revision at which it became
 *         the holder
 * @era: era of the store in which it was read
 * @unknown: the store was restored, and not yet read since
 */
struct holder {
    char name[NAME_MAX_BYTES];
    int64_t fence;
    int64_t era;
    bool unknown;
};

/**
 * enum era_news - what the era of an answer says
 * @ERA_SAME: nothing
 * @ERA_RISEN: the store was restored from an older copy
 * @ERA_FALLEN: the answer is late, or another store's
 */
enum era_news { ERA_SAME, ERA_RISEN, ERA_FALLEN };

/**
 * struct fresh_ask - question whether the configuration is still the newest
 * @member: instance that asks
 * @sent_ms: when it did, by its clock_boot_ms()
 */
struct fresh_ask {
    uint64_t member;
    int64_t sent_ms;
};

/**
 * struct store_changes - changes of the store, as a watch returned them
 * @from: instance that read them; 0 for this one
 * @after: revision after which they were read
 * @items: the changes, complete up to their revision
 * @fresh: struct fresh_ask that the call has answered, since it began after
 * they had arrived; NULL for none
 * @era: era of the store; 0 where it names none
 * @config_version: configuration that the reader knows after them
 */
struct store_changes {
    uint64_t from;
    int64_t after;
    struct store_items items;
    GArray *fresh;
    int64_t era;
    int64_t config_version;
};

/**
 * struct fresh - what proves that the configuration is the newest
 * @asks: struct fresh_ask of other instances, not yet answered
 * @source: instance that passes changes on to this one; 0 for none
 * @source_heard_ms: when it last did
 * @asked_ms: when it was last asked; 0 for never
 * @version_max: newest configuration that any instance is known to have
 */
struct fresh {
    GArray *asks;
    uint64_t source;
    int64_t source_heard_ms;
    int64_t asked_ms;
    int64_t version_max;
};

enum feed_message_kind { FEED_CHANGES, FEED_FRESH_ASK, FEED_CONTACT };

/**
 * struct feed_message - message of another instance to the feed
 * @kind: which of the members below is set
 * @changes: changes that it has read; owned
 * @ask: whether the configuration is the newest
 * @contact: when the store has answered it
 */
struct feed_message {
    enum feed_message_kind kind;
    struct store_changes *changes;
    struct fresh_ask ask;
    struct store_contact contact;
};

/**
 * struct share - how the feeds of a data centre share the calls to the store
 * @sharing: there are enough instances for it
 * @rank: position of this instance in its data centre, by link and id; the
 *        first one calls the store
 * @zone_members: number of instances in this data centre
 * @data_centres: number of data centres with instances
 * @heard_ms: when another instance last passed on changes that connect to what
 *            this one knows; 0 for never
 * @proven_ms: for which time all changes are known, by clock_boot_ms(); 0 for
 *             none
 * @proof_max_ms: age of that time from which on this instance calls the store
 *                itself; 0 for no limit
 */
struct share {
    bool sharing;
    int rank;
    int zone_members;
    int data_centres;
    int64_t heard_ms;
    int64_t proven_ms;
    int64_t proof_max_ms;
};

struct feed_port;

/**
 * struct feed_port_ops - callbacks for changes read from the store
 * @config_changed: a newer configuration was read
 * @target_changed: a target was added, changed or removed
 * @targets_listed: the list of targets has been read for the first time
 * @members_changed: all instances, an array of struct gate_member
 * @holder_changed: another instance, or none, may order engines
 * @changes_read: changes were read, for the others of the data centre; may be
 *                lost
 * @confirmed: a configuration that was delivered was the newest
 * @ask_fresh: asks another instance whether the configuration is the newest;
 *             may be lost
 * @ask_contact: asks some instances when the store has answered them; may be
 *               lost
 *
 * Called in the feed's thread; must not block. The caller keeps ownership of
 * the arguments. A callback returns false when a receiver's ring was full; the
 * change is then delivered again, also to receivers that had accepted it.
 */
struct feed_port_ops {
    bool (*config_changed)(struct feed_port *port, struct gate_config *config);
    bool (*target_changed)(struct feed_port *port,
                           const struct target_change *change);
    bool (*targets_listed)(struct feed_port *port);
    bool (*members_changed)(struct feed_port *port, const GArray *members);
    bool (*holder_changed)(struct feed_port *port,
                           const struct holder *holder);
    void (*changes_read)(struct feed_port *port,
                         const struct store_changes *changes);
    void (*confirmed)(struct feed_port *port,
                      const struct confirmation *confirmation);
    void (*ask_fresh)(struct feed_port *port, uint64_t member,
                      int64_t sent_ms);
    void (*ask_contact)(struct feed_port *port);
};

struct feed_port {
    const struct feed_port_ops *ops;
};

/**
 * struct outbox - changes that are not yet delivered to other duties
 * @config: owned reference; NULL if unchanged
 * @target_changes: target id -> its latest struct target_change
 * @members: array of struct gate_member; NULL if unchanged
 * @targets_listed: the first list is read, and this is not yet delivered
 * @holder_changed: @holder is not yet delivered
 */
struct outbox {
    struct gate_config *config;
    GHashTable *target_changes;
    GArray *members;
    struct holder holder;
    bool targets_listed;
    bool holder_changed;
};

/**
 * struct shared_contact - struct store_contact that other threads read
 * @since_ms: beginning
 * @heard_ms: last answer; 0 for none
 */
struct shared_contact {
    atomic_int_fast64_t since_ms;
    atomic_int_fast64_t heard_ms;
};

/**
 * struct feed - duty that watches the store for changes
 * @store: used by this duty only
 * @decode: decodes keys, configuration and targets
 * @port: receives the changes
 * @self: this instance: its id, data centre and link
 * @inbox: struct feed_message from other instances; closing it ends the duty
 * @members: store key -> struct gate_member
 * @rejected: set of keys whose entries can't be read
 * @partial: set of keys of targets with items that can't be known
 * @share: how the calls to the store are shared
 * @calling: this instance calls the store although others pass changes on
 * @key_revocation_ms: of the deployment; 0 when nothing need be proven
 * @fresh: what proves that the configuration is the newest
 * @boot_offset_ms: by how much clock_boot_ms() is ahead of clock_now_ms()
 * @era: highest era that the store has named; 0 for none
 * @restored: the store was restored, and its keys are not yet listed since
 * @stored_version: configuration that the store has, in @era
 * @config_unreadable: the newest configuration can't be read
 * @confirmed_ms: for which time the configuration is proven to be the newest,
 *                not yet delivered; -1 for none
 * @known_revision: revision from which the next watch continues; 0 to list all
 *                  keys first
 * @backoff_ms: delay after the last failed poll
 * @targets_listed: the first list has been read
 * @contact: that of @registry, for other threads
 */
struct feed {
    struct duty duty;
    struct store *store;
    const struct gate_decode_ops *decode;
    struct feed_port *port;
    struct registry_port registry_port;
    struct registry registry;
    struct gate_member self;
    struct ring inbox;
    GHashTable *members;
    GHashTable *rejected;
    GHashTable *partial;
    struct share share;
    bool calling;
    int64_t key_revocation_ms;
    struct fresh fresh;
    int64_t boot_offset_ms;
    int64_t era;
    bool restored;
    int64_t stored_version;
    bool config_unreadable;
    int64_t confirmed_ms;
    struct outbox outbox;
    int64_t config_version;
    int64_t known_revision;
    int64_t backoff_ms;
    bool targets_listed;
    bool members_changed;
    struct shared_contact contact;
};

/**
 * struct term - period in which this instance may order engines
 * @fence: fencing token of the term; 0 while this instance isn't the holder
 * @until_ms: end by clock_boot_ms(); no order is sent after it
 * @grants_until_ms: end for grants of quotas, which take no time to carry out
 * @orders: orders in progress
 */
struct term {
    atomic_int_fast64_t fence;
    atomic_int_fast64_t until_ms;
    atomic_int_fast64_t grants_until_ms;
    atomic_int orders;
};

enum { LEASE_KEEPER_MESSAGES_MAX = 64, STORE_KEY_MAX_BYTES = 200 };

/**
 * struct lease_keeper_message - message to the lease keeper
 * @shut_down: this instance stops; give up the term and the lease
 * @holder: the current holder; unused if @shut_down is set
 */
struct lease_keeper_message {
    bool shut_down;
    struct holder holder;
};

/**
 * struct lease_keeper - duty that keeps this instance's lease and term
 * @store: used by this duty only
 * @self: this instance's entry in the member list
 * @term: written by this duty, read by those that order engines
 * @ring: struct lease_keeper_message
 * @holder: the current holder, valid if @holder_known
 * @shut_down: the term was given up; no new lease is requested
 * @lease_id: 0 for none
 * @claimed_lease_id: lease of the last claim of the term; 0 for none
 * @claimed_ms: when the lease was renewed for that claim, by clock_boot_ms()
 * @shut_down_ms: when the term was given up, by clock_boot_ms()
 * @ttl_ms: the lease's time to live as the store granted it
 * @renewal_sent_ms: when the last successful grant or renewal was sent, by
 *                   clock_boot_ms()
 * @vacant_since_ms: when the term was last seen free or a claim failed, by
 *                   clock_boot_ms()
 * @registered: this instance's entry is written
 * @era: highest era that the store has named; 0 for none
 * @era_pending: it has risen, and @era_seen_ms is not set since
 * @era_seen_ms: when this instance saw that it had risen, by clock_boot_ms()
 *
 * Its name in the log is "tenure".
 */
struct lease_keeper {
    struct duty duty;
    struct store *store;
    const struct gate_settings *settings;
    struct gate_member self;
    struct term *term;
    struct ring ring;
    struct holder holder;
    bool holder_known;
    bool shut_down;
    int64_t lease_id;
    int64_t claimed_lease_id;
    int64_t claimed_ms;
    int64_t shut_down_ms;
    int64_t ttl_ms;
    int64_t renewal_sent_ms;
    int64_t vacant_since_ms;
    bool registered;
    int64_t era;
    bool era_pending;
    int64_t era_seen_ms;
};

#endif
