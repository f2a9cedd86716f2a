#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

enum {
    RELAY_POLL_INTERVAL_MS = 500,
    /* A follower polls the store itself when no peer has confirmed the
     * revision for this long. */
    PEER_CONFIRMATION_TIMEOUT_MS = 2000,
    FOLLOWER_POLL_INTERVAL_MS = 1000,
    FOLLOWER_POLL_JITTER_MS = 250,
    STALE_AFTER_MS = 4000,
    /* Upper bound for one wait, so that a much longer one reveals that the
     * process was paused. */
    INBOX_WAIT_MAX_MS = 500,
    /* A wait that exceeds its timeout by this much counts as a pause. */
    PAUSE_THRESHOLD_MS = 1000,
    /* How long freshness messages sent before a pause may keep arriving. */
    PEER_DISTRUST_MS = 2000,
    FETCH_INTERVAL_MIN_MS = 250,
    SNAPSHOT_INTERVAL_ENTRIES = 256,
    SNAPSHOT_PART_MAX_BYTES = 256 * 1024,
    SNAPSHOT_PARTS_MAX = 64,
    /* Two snapshot intervals: as many entries as the journal keeps. */
    RECENT_ENTRIES_MAX = 2 * SNAPSHOT_INTERVAL_ENTRIES,
    READ_ENTRIES_MAX = 64,
    INBOX_CAPACITY = 1024,
    /* A peer that lacks more entries than this gets a whole snapshot. */
    FETCH_ENTRIES_MAX = 64,
    FETCH_MEMBERS_MAX = 3,
    /* Several rounds, because a request or its response may be lost. */
    STARTUP_FETCH_ROUNDS_MAX = 3,
};

#define CONFIG_LOG_PREFIX "/turmeric/config/log"
#define CONFIG_SNAPSHOT_PREFIX "/turmeric/config/snapshot"
#define CONFIG_SNAPSHOT_POINTER_KEY "/turmeric/config/base"
/* Earlier than any timestamp; differences to it don't overflow. */
#define TIME_NEVER (INT64_MIN / 4)

/**
 * struct poll_schedule - when an instance polls the key-value store itself
 * @last_poll_ms: start of this instance's last poll
 * @last_peer_confirmed_ms: last time at which the store confirmed the
 *                          current revision to a peer
 * @distrust_peers_until_ms: freshness reported by peers is ignored before this
 *                           time
 * @last_fetch_ms: last time entries were requested from a peer
 * @jitter_seed: seed of the jitter
 * @poll_count: number of polls of this instance; varies the jitter
 */
struct poll_schedule {
    int64_t last_poll_ms;
    int64_t last_peer_confirmed_ms;
    int64_t distrust_peers_until_ms;
    int64_t last_fetch_ms;
    uint64_t jitter_seed;
    uint64_t poll_count;
};

enum revision_order { REVISION_OLDER, REVISION_SAME, REVISION_NEWER };

/**
 * struct config_entry - accepted edit, kept in memory
 * @revision: revision that the edit created
 * @json: text of the edit as stored in the journal
 * @json_bytes: length of @json
 * @edit: @json, parsed
 * @broadcast: this instance broadcasts the entry to its data centre
 */
struct config_entry {
    int64_t revision;
    char *json;
    size_t json_bytes;
    struct edit edit;
    bool broadcast;
};

/**
 * struct snapshot_assembly - snapshot that a peer is sending in parts
 * @sender: member id of the peer
 * @revision: revision of the snapshot; 0 when none is in progress
 * @part_count: number of parts
 * @parts: parts received so far; NULL where missing
 */
struct snapshot_assembly {
    uint64_t sender;
    int64_t revision;
    uint32_t part_count;
    GBytes *parts[SNAPSHOT_PARTS_MAX];
};

/**
 * struct config - see dat.h
 * @duty: first member
 * @kv: key-value store, not owned
 * @port: interface to the fleet, not owned
 * @inbox: messages from peers and notices of accepted edits
 * @schedule: used by the duty's thread only
 * @assembly: used by the duty's thread only
 * @announced_revision: last revision reported to the port; used by the duty's
 *                      thread only
 * @peer_fetch_rounds: number of times since the start that newer entries
 *                     were requested from peers
 * @snapshot_check_due: an edit was accepted here since the last check whether
 *                      a snapshot is due
 * @poll_failing: the last poll failed
 * @edit_lock: serializes edits made on this instance
 * @write_lock: serializes changes of the revision; guards @recent_entries
 * @recent_entries: newest journal entries, consecutive, the newest at the tail
 * @state_lock: guards the fields below; held for a few instructions only
 * @tree: current tree; never NULL
 * @ready: see struct config_state
 * @store_behind: see struct config_state
 * @confirmed_ms: when the store last confirmed that the current revision is
 *                the newest; TIME_NEVER when it has not
 * @last_entry_hash: hash of the entry of the current revision; 0 when unknown
 */
struct config {
    struct duty duty;
    struct kv *kv;
    struct config_port *port;
    struct ring inbox;
    struct poll_schedule schedule;
    struct snapshot_assembly assembly;
    int64_t announced_revision;
    int peer_fetch_rounds;
    bool snapshot_check_due;
    bool poll_failing;
    pthread_mutex_t edit_lock;
    pthread_mutex_t write_lock;
    GQueue recent_entries;
    pthread_mutex_t state_lock;
    struct tree *tree;
    bool ready;
    bool store_behind;
    int64_t confirmed_ms;
    uint64_t last_entry_hash;
};

/**
 * struct snapshot_pointer - value of the key that names the last snapshot
 * @revision: revision of the snapshot; 0 when there is none
 * @part_count: number of its parts
 * @kv_revision: the store's revision of the key, for compare-and-swap
 */
struct snapshot_pointer {
    int64_t revision;
    int part_count;
    int64_t kv_revision;
};

enum message_kind { MESSAGE_ENVELOPE, MESSAGE_EDIT_ACCEPTED };

struct message {
    enum message_kind kind;
    Turmeric__Envelope *envelope;
    int64_t received_ms;
};

/* schedule.c */
void schedule_init(struct poll_schedule *schedule, uint64_t seed);
int64_t schedule_next_poll_ms(const struct poll_schedule *schedule,
                              bool relay);
void schedule_record_poll(struct poll_schedule *schedule, int64_t now_ms);
void schedule_record_peer_confirmation(struct poll_schedule *schedule,
                                       int64_t confirmed_ms);
void schedule_detect_pause(struct poll_schedule *schedule, int64_t timeout_ms,
                           int64_t waited_ms, int64_t now_ms);
bool schedule_trusts_peers(const struct poll_schedule *schedule,
                           int64_t now_ms);
bool schedule_try_fetch(struct poll_schedule *schedule, int64_t now_ms);
enum revision_order revision_compare(int64_t local, int64_t remote);
bool config_is_stale(int64_t confirmed_ms, int64_t now_ms);
uint32_t config_age_ms(int64_t confirmed_ms, int64_t now_ms);

/* config.c */
int64_t config_tick(struct config *config, int64_t now_ms);
void config_handle_message(struct config *config,
                           const struct message *message, int64_t now_ms);
void config_drain_inbox(struct config *config, int64_t now_ms);
void config_announce(struct config *config, int64_t now_ms);

/* revision.c */
int64_t config_revision(struct config *config);
int64_t config_confirmed_ms(struct config *config);
bool config_apply_entry(struct config *config, int64_t revision,
                        const char *json, size_t json_bytes,
                        int64_t confirmed_ms, bool broadcast, struct err *err);
bool config_install_snapshot(struct config *config, const char *json,
                             size_t json_bytes, int64_t confirmed_ms,
                             struct err *err);
void config_confirm_revision(struct config *config, int64_t revision,
                             int64_t confirmed_ms);
void config_set_store_behind(struct config *config, bool store_behind);
bool config_entry_matches(struct config *config, int64_t revision,
                          const char *json, size_t json_bytes);
struct config_entry *config_entry_new(int64_t revision, const char *json,
                                      size_t json_bytes, bool broadcast,
                                      struct err *err);
void recent_entries_clear(struct config *config);

/* poll.c */
bool config_poll(struct config *config, bool broadcast, int64_t now_ms,
                 struct err *err);

/* snapshot.c */
bool snapshot_pointer_read(struct kv *kv, struct snapshot_pointer *pointer,
                           struct err *err);
bool config_load_snapshot(struct config *config,
                          const struct snapshot_pointer *pointer,
                          struct err *err);
void config_write_snapshot_if_due(struct config *config);

/* peers.c */
void config_broadcast_entry(struct config *config,
                            const struct config_entry *entry, int64_t now_ms);
void config_broadcast_freshness(struct config *config, int64_t now_ms);
void config_fetch_from_peers(struct config *config, int64_t now_ms);
void config_handle_envelope(struct config *config,
                            const Turmeric__Envelope *envelope,
                            int64_t received_ms, int64_t now_ms);
void snapshot_assembly_reset(struct snapshot_assembly *assembly);

#endif
