#ifndef BENCH_POLICY_DAT_H
#define BENCH_POLICY_DAT_H

enum {
    ENGINES = 20,
    MODELS = 110,
    LEAVES_MAX = 256,
    REPLICAS_MAX = 8,
    OWNERS = 5,
    DAY_MS = 24 * 3600 * 1000,
};

/**
 * struct call - a simulated request
 * @at_ms: arrival time
 * @leaf: index of the leaf
 * @run_ms: execution time on the engine
 * @end_ms: time at which the execution ends
 * @engine: index of the engine that runs it
 * @cold: no replica was ready on arrival
 */
struct call {
    int64_t at_ms;
    int leaf;
    int64_t run_ms;
    int64_t end_ms;
    int engine;
    bool cold;
};

/**
 * struct scenario - fleet and load of one deployment
 * @name: printed name
 * @data_centres: engines are assigned to them round robin
 * @adapters: number of adapters; their base models are the first five models
 * @replicas_max: of all leaves but model 0 and its adapters
 * @hot_replicas_min: replicas_min of model 0
 * @hot_burst_calls: calls to model 0 in the burst
 * @idle_unload_s: same value as in the deployment's example tree
 * @wait_max_ms: of all leaves but models 1 to 3 and their adapters
 * @store_loads_per_s: rate limit of loads from the weight store
 * @burst_start_ms: start of the morning burst
 * @burst_models: number of models called in the burst
 * @burst_calls_per_model: calls to each of these models
 * @burst_spread_ms: interval in which the first call to each model arrives
 * @day_end_ms: end of the daytime load
 * @job_priority: priority of the long jobs of models 1 to 3
 * @job_wait_max_ms: wait_max_ms of models 1 to 3 and their adapters
 * @job_start_ms: start of the interval in which the long jobs arrive
 * @job_count: number of long jobs
 * @batch_models: models with an overnight batch
 */
struct scenario {
    const char *name;
    int data_centres;
    int adapters;
    int replicas_max;
    int hot_replicas_min;
    int hot_burst_calls;
    int64_t idle_unload_s;
    int64_t wait_max_ms;
    int64_t store_loads_per_s;
    int64_t burst_start_ms;
    int burst_models;
    int burst_calls_per_model;
    int64_t burst_spread_ms;
    int64_t day_end_ms;
    int job_priority;
    int64_t job_wait_max_ms;
    int64_t job_start_ms;
    int job_count;
    int batch_models;
};

/**
 * struct day - requests of one day
 * @calls: struct call, sorted by arrival time
 * @used_day_before: models that the burst of the previous day used
 */
struct day {
    GArray *calls;
    bool used_day_before[LEAVES_MAX];
};

enum fault { FAULT_NONE, FAULT_ENGINE, FAULT_STORE, FAULT_DATA_CENTRE };

/* Models kept loaded by replicas_min: none, those of the previous day's burst
   all day, or the same models only around the time of the burst. */
enum preload { PRELOAD_NONE, PRELOAD_ALL_DAY, PRELOAD_AROUND_BURST };

struct policy;

/**
 * struct policy_ops - changes to the inputs of the production decisions
 * @adjust_view: adjusts a copy of an engine's view, which is then used to
 * choose an engine for a leaf of @mb, or an eviction; NULL for none
 * @adjust_candidates: adjusts the eviction candidates; NULL for none
 * @permit_priority: maps a leaf's priority to that of its load permit; NULL
 * for no change
 */
struct policy_ops {
    void (*adjust_view)(struct engine_view *view, int64_t mb, bool evicting);
    void (*adjust_candidates)(struct eviction_candidate *candidates,
                              int count);
    int (*permit_priority)(int priority);
};

/**
 * struct policy - a policy to compare
 * @ops: first member
 * @name: printed name
 * @idle_unload_s: overrides the scenario's value; 0 for no override
 * @preload: which models are kept loaded
 * @busy_protect_ms: leaves used within this time are not evicted from an
 * engine that runs requests; 0 for the production rule
 * @share_last_use: each owner knows the last use of all leaves, not only of
 * those it owns
 * @spread_replicas: prefers a data centre without a replica of the leaf for
 * the next replica
 */
struct policy {
    const struct policy_ops *ops;
    const char *name;
    int64_t idle_unload_s;
    enum preload preload;
    int64_t busy_protect_ms;
    bool spread_replicas;
    bool share_last_use;
};

enum replica_state { REPLICA_LOADING, REPLICA_LOADED, REPLICA_UNLOADING };

/**
 * struct replica - one replica of a leaf
 * @engine: index of the engine
 * @state: loading, loaded or unloading
 * @source: where the weights are loaded from
 * @remaining_ms: time until the load or unload ends, at full speed
 */
struct replica {
    int engine;
    enum replica_state state;
    enum weights_source source;
    double remaining_ms;
};

/**
 * struct sim_leaf - a leaf and its owner's state
 * @node: settings
 * @leaf: the owner's state, for leaf_unevictable()
 * @base_model: index of an adapter's base model; -1 for a model
 * @replicas: replicas in any state
 * @replica_count: number of valid @replicas
 * @running: number of running calls; a base model's count includes its
 * adapters
 * @waiting: number of waiting calls
 * @base_wanted_until_ms: a waiting adapter needs this base model until then
 */
struct sim_leaf {
    struct node node;
    struct leaf leaf;
    int base_model;
    struct replica replicas[REPLICAS_MAX];
    int replica_count;
    int running;
    int waiting;
    int64_t base_wanted_until_ms;
};

/**
 * struct sim - one simulated day
 * @scenario: simulated deployment
 * @policy: policy in use
 * @fault: fault injected during the burst
 * @day: requests of the day
 * @place: argument of leaf_unevictable(); only its time and leaves are used
 * @known_leaves: leaves by id: one table for each owner, then one of all
 * leaves
 * @now_ms: virtual time
 * @views: state of the engines
 * @leaves: models, then adapters
 * @leaf_count: number of valid @leaves
 * @load_permits: permits to load from the weight store
 * @waiting_calls: struct call, calls without a replica
 * @running_calls: struct call, calls on an engine
 * @store_speed: speed of the weight store, 1 for full speed
 * @transitions: number of replicas that load or unload, of all leaves
 * @idle_mb: memory of loaded leaves without a running call
 * @idle_mb_ms: integral of @idle_mb over time
 * @cold_waits_ms: double, waits of cold calls: [0] chats, [1] long jobs; a
 *                 refused call counts with the time it has waited
 * @refused_calls: calls refused at their deadline: [0] chats, [1] long jobs
 * @store_loads: number of model loads from the weight store
 * @limit_violations: number of times that replicas_max or an engine's memory
 * was exceeded
 */
struct sim {
    const struct scenario *scenario;
    const struct policy *policy;
    enum fault fault;
    const struct day *day;
    struct place place;
    GHashTable *known_leaves[OWNERS + 1];
    int64_t now_ms;
    struct engine_view views[ENGINES];
    struct sim_leaf leaves[LEAVES_MAX];
    int leaf_count;
    struct load_permits load_permits;
    GArray *waiting_calls;
    GArray *running_calls;
    double store_speed;
    int transitions;
    int64_t idle_mb;
    double idle_mb_ms;
    GArray *cold_waits_ms[2];
    int refused_calls[2];
    int store_loads;
    int limit_violations;
};

#endif
