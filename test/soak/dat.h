/* The fault soak: gate processes, with simulated store, engines and callers in
 * the test process and a fault-injecting proxy on each link. */
#ifndef SOAK_DAT_H
#define SOAK_DAT_H

enum {
    GATES = 3,
    ENGINES = 7, /* the first MODEL_ENGINES serve models, the rest is plain */
    MODEL_ENGINES = 3,
    MODELS = 8, /* more than fit into the engines' memory */
    CALLERS = 10,
    LINKS_MAX = 2 * GATES + ENGINES,
    FRONTEND_PORT = 8000,
    READINESS_PORT = 8001,
    DIRECTORY_PORT = 8002,
    PEER_PORT = 7100,
    STREAM_EVENTS = 6,
    /* Limits of the guarantees, as in deployments. */
    DRAIN_BOUND_MS = 3000,
    CONFIG_BOUND_MS = 3000,
    CONFIG_REVERT_BOUND_MS = 250,
    RECOVERY_BOUND_MS = 12000,
    FAULT_SETTLE_MS = 4000, /* the effects of a fault end this long after it */
    HOLDER_ALTERNATION_MS = 3000,
    /* An order sent before a pause may arrive this long after it. */
    RESUME_GRACE_MS = 300,
};

enum request_kind {
    KIND_AT_MOST_ONCE,
    KIND_IDEMPOTENT,
    KIND_STREAM,
    KIND_CHAT,
    KIND_CONFIG,
    KIND_COUNT
};

/**
 * enum link_mode - how a link treats its connections
 * @LINK_RESET: resets all connections once, then becomes LINK_PASS
 * @LINK_BLOCK_REQUESTS: bytes to the server are delayed until the mode changes
 * @LINK_BLOCK_RESPONSES: bytes to the client are delayed until then
 * @LINK_BLOCK_BOTH: bytes of both directions are delayed until then
 * @LINK_RESET_ON_RESPONSE: resets a connection when the server sends bytes
 */
enum link_mode {
    LINK_PASS,
    LINK_DELAY,
    LINK_RESET,
    LINK_BLOCK_REQUESTS,
    LINK_BLOCK_RESPONSES,
    LINK_BLOCK_BOTH,
    LINK_RESET_ON_RESPONSE,
    LINK_MODE_COUNT,
};

/**
 * struct link - listening socket of the proxy and the server behind it
 * @server: address of the server; empty while none runs
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
 * struct soak_engine - simulated model engine or plain target
 * @id: instance id, new at each start
 * @loaded: names of the loaded models and adapters
 * @local_copies: names of the models on its disk
 * @sequence: orders accepted since the last start
 * @busy_until_ms: when the order in progress ends
 * @draining_since_ms: when its entry was set to draining; 0 if it was not
 * @holder: sender of the last order, received at @holder_ms
 * @previous_holder: sender before @holder, last seen at @previous_holder_ms
 * @highest_fence: highest fencing token received
 */
struct soak_engine {
    struct soak *soak;
    struct http_server *server;
    int number;
    struct link *link;
    char id[NAME_MAX_BYTES];
    char service[NAME_MAX_BYTES];
    int64_t started_ms;
    int64_t lease;
    GPtrArray *loaded;
    GPtrArray *local_copies;
    int64_t sequence;
    char loading[NAME_MAX_BYTES];
    int64_t busy_until_ms;
    int64_t draining_since_ms;
    bool down;
    char holder[NAME_MAX_BYTES];
    int64_t holder_ms;
    char previous_holder[NAME_MAX_BYTES];
    int64_t previous_holder_ms;
    int64_t highest_fence;
};

/**
 * struct soak_gate - a gate process
 * @pid: 0 while it does not run
 * @termination_requested: SIGTERM or SIGKILL was sent
 * @start_count: number of starts
 * @resumed_ms: when it was last continued after a pause
 * @fault_until_ms: end of the last fault that affects it; INT64_MAX during one
 */
struct soak_gate {
    int number;
    char ip[ADDRESS_MAX_BYTES];
    char settings[PATH_MAX_BYTES];
    char log[PATH_MAX_BYTES];
    pid_t pid;
    bool termination_requested;
    int start_count;
    int64_t resumed_ms;
    int64_t fault_until_ms;
    struct link *frontend_link;
    struct link *store_link;
};

/**
 * struct soak - state of one run
 * @lock: guards all fields that several threads use
 * @failure: first violated guarantee; empty if there is none
 * @run_counts: attempt id -> number of times that an engine ran it
 * @refused: attempt ids of at-most-once requests that were refused as not run
 * @config_version: last configuration version that the store acknowledged
 * @config_acked_ms: when the store acknowledged it
 * @store_fault_until_ms: end of the last store fault; INT64_MAX during one
 * @recovered: gates and request kinds served since @faults_ended_ms
 * @faults_ended_ms: when the last fault ended; 0 before that
 */
struct soak {
    pthread_mutex_t lock;
    uint64_t seed;
    GRand *random;
    int64_t start_ms;
    int64_t end_ms;
    atomic_bool stopping;
    GString *failure;
    GHashTable *run_counts;
    GHashTable *refused;
    int64_t config_version;
    int64_t config_acked_ms;
    int64_t store_fault_until_ms;
    struct proxy *proxy;
    struct soak_store *store;
    struct soak_engine engines[ENGINES];
    struct soak_gate gates[GATES];
    char directory[PATH_MAX_BYTES];
    char program[PATH_MAX_BYTES];
    bool recovered[GATES][KIND_COUNT];
    int64_t faults_ended_ms;
    int64_t request_count;
    int64_t served_count;
    int fault_count;
};

/**
 * struct reply - response that a caller received
 * @status: 0 without a complete response head, -1 for invalid HTTP
 * @complete: the HTTP message was complete
 */
struct reply {
    int status;
    bool complete;
    bool signed_by_target;
    bool keep_alive;
    char attempt_id[NAME_MAX_BYTES];
    GString *body;
};

#endif
