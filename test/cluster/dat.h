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
 * struct process - a process of the system or of the platform
 * @port: its address on loopback
 * @control_port: control address of a stand-in, peer address of an entry
 * @operator_port: operators' address of an entry
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
 * struct shape - what a cluster consists of
 * @engines: number of engines, service "chat"
 * @engine_memory_mb: memory of each engine
 * @load_ms: time of a load
 * @token_ms: time of a token
 * @plain_targets: number of targets of the plain service "orders"
 * @entries: number of entry instances
 * @tree: changes applied at the start, JSON array of an edit's changes
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
 * struct cluster - running processes; ended by cluster_stop()
 * @sockets: keep the processes' ports reserved
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
 * struct answer - whole or broken answer of a request
 * @status: HTTP status; 0 when there was no answer
 * @complete: the transfer ended properly
 * @text: body
 * @on_data: called after each piece; may be NULL
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
 * struct caller - one caller's chat, run in a thread of its own
 */
struct caller {
    struct process *entry;
    char prompt[64];
    const char *model;
    int tokens;
    int deadline_ms; /* 0: the model's wait_max_ms */
    int64_t elapsed_ms;
    struct answer answer;
    pthread_t thread;
};

/**
 * struct order - one caller's order, may run in a thread of its own
 */
struct order {
    struct process *entry;
    const char *key;
    struct answer answer;
    pthread_t thread;
};

/**
 * struct cluster_case - a test on a running cluster
 */
struct cluster_case {
    const char *name;
    const struct cluster_layout *layout;
    void (*run)(struct cluster *cluster);
};

#endif
