#ifndef CLUSTER_DAT_H
#define CLUSTER_DAT_H

enum {
    PROCESSES_MAX = 64,
    SOCKETS_MAX = 3 * PROCESSES_MAX,
    ANSWER_MAX_BYTES = 256 * 1024,
    CLUSTER_WAIT_MS = 30000,
};

enum process_kind {
    PROCESS_KV,
    PROCESS_LIST,
    PROCESS_STORE,
    PROCESS_ENGINE,
    PROCESS_PLAIN,
    PROCESS_ENTRY,
};

/**
 * struct process - a turmericd or stand-in process
 * @port: service port on loopback
 * @control_port: control port of a stand-in, peer port of an entry instance
 * @operator_port: port of an entry instance's operator API
 */
struct process {
    char name[NAME_MAX_BYTES];
    enum process_kind kind;
    pid_t pid;
    int port;
    int control_port;
    int operator_port;
};

/**
 * struct cluster_layout - size and settings of a cluster
 * @engines: number of engines, service "chat"
 * @engine_memory_mb: memory of each engine
 * @load_ms: duration of a load
 * @token_ms: interval between two tokens
 * @plain_targets: number of targets of plain service "orders"
 * @entries: number of entry instances
 * @tree: changes of the first edit, a JSON array
 */
struct cluster_layout {
    int engines;
    int engine_memory_mb;
    int load_ms;
    int token_ms;
    int plain_targets;
    int entries;
    const char *tree;
};

/**
 * struct cluster - running processes; freed by cluster_stop()
 * @sockets: bound sockets that reserve the processes' ports
 */
struct cluster {
    const struct cluster_layout *layout;
    char directory[PATH_MAX_BYTES];
    struct process processes[PROCESSES_MAX];
    int count;
    int sockets[SOCKETS_MAX];
    int socket_count;
};

/**
 * struct answer - complete or truncated HTTP response
 * @status: HTTP status; 0 without a response
 * @complete: the transfer ended without an error
 * @text: body
 * @on_data: called after each received part of the body; may be NULL
 */
struct answer {
    int status;
    bool complete;
    char text[ANSWER_MAX_BYTES];
    size_t bytes;
    void (*on_data)(struct answer *answer);
    void *context;
};

#define NODE(path, type)                                                      \
    "{\"node\": \"" path "\", \"key\": \"type\", \"value\": \"" type "\"},"
#define SET(path, key, value)                                                 \
    "{\"node\": \"" path "\", \"key\": \"" key "\", \"value\": " value "}"

/**
 * struct caller - a chat request, which may run in its own thread
 * @deadline_ms: 0 for the model's wait_max_ms
 * @elapsed_ms: time until the response ended
 */
struct caller {
    struct process *entry;
    char prompt[64];
    const char *model;
    int tokens;
    int deadline_ms;
    int64_t elapsed_ms;
    struct answer answer;
    pthread_t thread;
};

/**
 * struct order - a request to the plain service, which may run in its own
 * thread
 * @key: Idempotency-Key
 */
struct order {
    struct process *entry;
    const char *key;
    struct answer answer;
    pthread_t thread;
};

/**
 * struct cluster_case - a test that runs on its own cluster
 */
struct cluster_case {
    const char *name;
    const struct cluster_layout *layout;
    void (*run)(struct cluster *cluster);
};

#endif
