/* The fault soak: real instances of the gate as processes, with the platform's
 * store, engines and callers in this process and a proxy on each link. */
#ifndef SOAK_DAT_H
#define SOAK_DAT_H

enum {
    GATES = 3,
    ENGINES = 7, /* the first three hold models, the others are plain */
    MODEL_ENGINES = 3,
    MODELS = 8, /* more than the engines have places for */
    CALLERS = 10,
    LINKS_MAX = 2 * GATES + ENGINES,
    FRONT_PORT = 8000,
    READY_PORT = 8001,
    LOOKUP_PORT = 8002,
    PEER_PORT = 7100,
    STREAM_EVENTS = 6,
    DRAIN_MS = 3000, /* the deployments' bounds of these rules */
    CONFIG_MS = 3000,
    REVERT_MS = 250,
    RECOVER_MS = 12000,
    CONTACT_MS = 4000, /* a fault's effects end this long after it */
    LEASE_TURN_MS = 3000,
    THAW_MS = 300, /* what a process sent as it was paused may come so late */
};

enum kind { KIND_ONCE, KIND_SAFE, KIND_STREAM, KIND_CHAT, KIND_CONFIG, KINDS };

/**
 * enum link_mode - what a link does to bytes
 * @LINK_RESET: connections are reset once, then it passes
 * @LINK_NO_FORTH: bytes to the server wait until the link heals
 * @LINK_NO_BACK: bytes to the client do
 * @LINK_SILENT: both do
 * @LINK_NO_ANSWER: connections are reset when the server answers
 */
enum link_mode {
    LINK_PASS,
    LINK_DELAY,
    LINK_RESET,
    LINK_NO_FORTH,
    LINK_NO_BACK,
    LINK_SILENT,
    LINK_NO_ANSWER,
    LINK_MODES,
};

/**
 * struct link - a listener of the proxy and the server behind it
 * @server: address, set while a process runs there
 */
struct link {
    int fd;
    int port;
    char server[ADDRESS_MAX_BYTES];
    enum link_mode mode;
};

struct proxy;
struct soak_store;

/**
 * struct soak_engine - an engine or a plain target
 * @id: of its present start
 * @held: names of models and adapters
 * @sequence: orders accepted since its start
 * @busy_until_ms: an order is being carried out
 * @leaving_ms: since when its entry says so; 0 for not
 * @holder: who ordered last, at @holder_ms
 * @holder_before: who did before, last at @holder_before_ms
 * @fence: highest that was seen
 */
struct soak_engine {
    struct soak *soak;
    struct http_server *server;
    int number;
    struct link *link;
    char id[NAME_MAX_BYTES];
    char service[NAME_MAX_BYTES];
    int64_t born_ms;
    int64_t lease;
    GPtrArray *held;
    GPtrArray *at_hand;
    int64_t sequence;
    char loading[NAME_MAX_BYTES];
    int64_t busy_until_ms;
    int64_t leaving_ms;
    bool down;
    char holder[NAME_MAX_BYTES];
    int64_t holder_ms;
    char holder_before[NAME_MAX_BYTES];
    int64_t holder_before_ms;
    int64_t fence;
};

/**
 * struct soak_gate - an instance of the gate
 * @pid: 0 while it does not run
 * @asked_to_end: a signal was sent that ends it
 * @starts: times that it was started
 * @thawed_ms: when it last woke from a pause
 * @trouble_ms: until when a fault touches it
 */
struct soak_gate {
    int number;
    char ip[ADDRESS_MAX_BYTES];
    char settings[PATH_MAX_BYTES];
    char log[PATH_MAX_BYTES];
    pid_t pid;
    bool asked_to_end;
    int starts;
    int64_t thawed_ms;
    int64_t trouble_ms;
    struct link *front;
    struct link *store;
};

/**
 * struct soak - one run
 * @lock: guards everything that several threads use
 * @failure: first promise that was broken; empty for none
 * @runs: attempt -> times that an engine has run it
 * @refused: attempts of requests that run once, refused as not run
 * @config_version: that the store has acknowledged
 * @config_ms: when it did
 * @store_trouble_ms: until when a fault touches the store
 * @recovered: gates and kinds that were served since @calm_ms
 * @calm_ms: when the last fault ended; 0 before
 */
struct soak {
    pthread_mutex_t lock;
    uint64_t seed;
    GRand *random;
    int64_t start_ms;
    int64_t end_ms;
    atomic_bool stopping;
    GString *failure;
    GHashTable *runs;
    GHashTable *refused;
    int64_t config_version;
    int64_t config_ms;
    int64_t store_trouble_ms;
    struct proxy *proxy;
    struct soak_store *store;
    struct soak_engine engines[ENGINES];
    struct soak_gate gates[GATES];
    char directory[PATH_MAX_BYTES];
    char program[PATH_MAX_BYTES];
    bool recovered[GATES][KINDS];
    int64_t calm_ms;
    int64_t asked;
    int64_t served;
    int faults;
};

/**
 * struct reply - what a caller got
 * @status: 0 when no whole head came
 * @whole: the answer ended as it should
 */
struct reply {
    int status;
    bool whole;
    bool sealed;
    bool keep;
    char attempt[NAME_MAX_BYTES];
    GString *body;
};

#endif
