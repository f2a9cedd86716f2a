#ifndef CONFIG_INTERNAL_H
#define CONFIG_INTERNAL_H

enum {
    RELAY_POLL_MS = 500,
    /* A follower reads itself after this time without freshness. */
    FOLLOWER_SILENCE_MS = 2000,
    FOLLOWER_POLL_MS = 1000,
    FOLLOWER_JITTER_MS = 250,
    STALE_AFTER_MS = 4000,
    /* Longest wait for a message, so that a pause of the process shows. */
    IDLE_WAIT_MS = 500,
    /* A wait that is longer by this much means that the process stood still.
     */
    PAUSE_MS = 1000,
    /* Time in which freshness sent before a pause may still arrive. */
    DISTRUST_MS = 2000,
    FETCH_INTERVAL_MS = 250,
    SNAPSHOT_INTERVAL = 256,
    SNAPSHOT_PART_MAX_BYTES = 256 * 1024,
    SNAPSHOT_PARTS_MAX = 64,
    /* Two snapshot intervals, as many as the journal keeps. */
    WINDOW_MAX = 2 * SNAPSHOT_INTERVAL,
    READ_LIMIT = 64,
    INBOX_CAPACITY = 1024,
    /* Above this many missing entries a peer gets the whole tree. */
    FETCH_ENTRIES_MAX = 64,
    FETCH_MEMBERS_MAX = 3,
    /* A single question or its reply may be lost. */
    PEERS_ASKED_MAX = 3,
};

#define CONFIG_LOG "/turmeric/config/log"
#define CONFIG_SNAPSHOT "/turmeric/config/snapshot"
#define CONFIG_BASE "/turmeric/config/base"
/* Before every point in time, without overflow in differences. */
#define TIME_NEVER (INT64_MIN / 4)

/**
 * struct follow - when an instance reads the service itself
 * @last_read_ms: start of the last own read
 * @last_fresh_ms: when the service last confirmed the revision to a peer
 * @distrust_until_ms: freshness from peers doesn't count before this time
 * @last_fetch_ms: last time a peer was asked for entries
 * @seed: seed of the jitter
 * @reads: number of own reads, the step of the jitter
 */
struct follow {
    int64_t last_read_ms;
    int64_t last_fresh_ms;
    int64_t distrust_until_ms;
    int64_t last_fetch_ms;
    uint64_t seed;
    uint64_t reads;
};

enum revision_order { REVISION_OLDER, REVISION_SAME, REVISION_NEWER };

/**
 * struct entry - an accepted edit that is kept in memory
 * @revision: its number
 * @text: JSON text as in the journal
 * @bytes: length of @text
 * @edit: the same, parsed
 * @share: this instance tells the members of its data centre
 */
struct entry {
    int64_t revision;
    char *text;
    size_t bytes;
    struct edit edit;
    bool share;
};

/**
 * struct assembly - parts of a snapshot that arrive from a peer
 * @from: the peer
 * @revision: revision of the snapshot; 0 when there is none
 * @parts: number of parts
 * @data: parts received; NULL where missing
 */
struct assembly {
    uint64_t from;
    int64_t revision;
    uint32_t parts;
    GBytes *data[SNAPSHOT_PARTS_MAX];
};

/**
 * struct config - see dat.h
 * @duty: first member
 * @inbox: messages of peers and wake-ups
 * @follow: used by the duty's thread only
 * @assembly: used by the duty's thread only
 * @announced: revision told to the port, used by the duty's thread only
 * @peers_asked: times that peers were asked for their tree since the start
 * @snapshot_due: entry accepted here since the last look at the snapshots
 * @poll_failing: the last own read failed
 * @edit_lock: one edit at a time
 * @write_lock: one new revision at a time; guards @window
 * @window: last entries, consecutive, the newest at the tail
 * @lock: guards the fields below; held for a few instructions only
 */
struct config {
    struct duty duty;
    struct kv *kv;
    struct config_port *port;
    struct ring inbox;
    struct follow follow;
    struct assembly assembly;
    int64_t announced;
    int peers_asked;
    bool snapshot_due;
    bool poll_failing;
    pthread_mutex_t edit_lock;
    pthread_mutex_t write_lock;
    GQueue window;
    pthread_mutex_t lock;
    struct tree *tree;
    bool ready;
    bool behind;
    int64_t confirmed_ms;
    uint64_t entry_hash;
};

/**
 * struct base - pointer to the last snapshot in the service
 * @revision: revision of the snapshot; 0 when there is none
 * @parts: number of its parts
 * @kv_revision: the service's revision of the pointer, for compare-and-swap
 */
struct base {
    int64_t revision;
    int parts;
    int64_t kv_revision;
};

enum message_kind { MESSAGE_ENVELOPE, MESSAGE_EDITED };

struct message {
    enum message_kind kind;
    Turmeric__Envelope *envelope;
    int64_t posted_ms;
};

/* schedule.c */
void follow_init(struct follow *follow, uint64_t seed);
int64_t follow_next_read_ms(const struct follow *follow, bool relay);
void follow_note_read(struct follow *follow, int64_t now_ms);
void follow_note_fresh(struct follow *follow, int64_t confirmed_ms);
void follow_note_wait(struct follow *follow, int64_t wanted_ms,
                      int64_t waited_ms, int64_t now_ms);
bool follow_trusts(const struct follow *follow, int64_t now_ms);
bool follow_may_fetch(struct follow *follow, int64_t now_ms);
enum revision_order follow_order(int64_t own, int64_t theirs);
bool config_is_stale(int64_t confirmed_ms, int64_t now_ms);
uint32_t config_age_ms(int64_t confirmed_ms, int64_t now_ms);

/* config.c */
int64_t config_tick(struct config *config, int64_t now_ms);
void config_handle(struct config *config, const struct message *message,
                   int64_t now_ms);
void config_drain(struct config *config, int64_t now_ms);
void config_announce(struct config *config, int64_t now_ms);

/* revision.c */
int64_t config_revision(struct config *config);
int64_t config_confirmed_ms(struct config *config);
bool config_adopt_entry(struct config *config, int64_t revision,
                        const char *text, size_t bytes, int64_t confirmed_ms,
                        bool share, struct err *err);
bool config_adopt_tree(struct config *config, const char *text, size_t bytes,
                       int64_t confirmed_ms, struct err *err);
void config_confirm(struct config *config, int64_t revision,
                    int64_t confirmed_ms);
void config_set_behind(struct config *config, bool behind);
bool config_check_entry(struct config *config, int64_t revision,
                        const char *text, size_t bytes);
struct entry *entry_new(int64_t revision, const char *text, size_t bytes,
                        bool share, struct err *err);
void window_clear(struct config *config);

/* poll.c */
bool config_poll(struct config *config, bool share, int64_t now_ms,
                 struct err *err);

/* snapshot.c */
bool base_read(struct kv *kv, struct base *base, struct err *err);
bool base_load(struct config *config, const struct base *base,
               struct err *err);
void config_archive(struct config *config);

/* peers.c */
void config_share_entry(struct config *config, const struct entry *entry,
                        int64_t now_ms);
void config_share_fresh(struct config *config, int64_t now_ms);
void config_ask_peers(struct config *config, int64_t now_ms);
void config_receive(struct config *config, const Turmeric__Envelope *envelope,
                    int64_t posted_ms, int64_t now_ms);
void assembly_reset(struct assembly *assembly);

#endif
