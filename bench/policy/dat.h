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
 * struct call - one request of a caller
 * @at_ms: arrival
 * @leaf: index of the leaf
 * @run_ms: time that it runs on the engine
 * @end_ms: end of the run
 * @engine: index of the engine it runs on
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
 * struct scenario - fleet and callers of one deployment
 * @name: its name
 * @data_centres: engines are dealt to them in turn
 * @adapters: number of adapters, on the first five models
 * @replicas_max: of most models
 * @hot_min: replicas_min of model 0
 * @hot_calls: calls to model 0 in the burst
 * @idle_unload_s: as in the example tree
 * @wait_max_ms: of most models
 * @store_per_s: loads a second of the weight store
 * @dawn_ms: start of the burst
 * @dawn_models: models in the burst
 * @dawn_calls: calls to each of them
 * @dawn_spread_ms: time over which the first calls arrive
 * @day_end_ms: end of the daytime
 * @plan_priority: priority of the long jobs of models 1 to 3
 * @plan_wait_ms: their wait_max_ms
 * @plan_at_ms: when the long jobs start to arrive
 * @plans: number of long jobs
 * @batch_models: models with an overnight batch
 */
struct scenario {
    const char *name;
    int data_centres;
    int adapters;
    int replicas_max;
    int hot_min;
    int hot_calls;
    int64_t idle_unload_s;
    int64_t wait_max_ms;
    int64_t store_per_s;
    int64_t dawn_ms;
    int dawn_models;
    int dawn_calls;
    int64_t dawn_spread_ms;
    int64_t day_end_ms;
    int plan_priority;
    int64_t plan_wait_ms;
    int64_t plan_at_ms;
    int plans;
    int batch_models;
};

/**
 * struct day - callers of one day
 * @calls: struct call in order of arrival
 * @before: models that the burst of the day before used
 */
struct day {
    GArray *calls;
    bool before[LEAVES_MAX];
};

enum fault { FAULT_NONE, FAULT_ENGINE, FAULT_STORE, FAULT_DATA_CENTRE };

/* What is kept loaded: nothing, the models of the burst of the day before all
   day long, or those from shortly before the burst. */
enum keep { KEEP_NONE, KEEP_ALWAYS, KEEP_BEFORE };

struct policy;

/**
 * struct policy_ops - what a policy changes before the real functions decide
 * @view: alters the copy of an engine's view given to the choice of an engine
 *        for a leaf of so many MB, or of an eviction
 * @residents: alters what the eviction is chosen from
 * @priority: priority of a turn
 */
struct policy_ops {
    void (*view)(struct engine_view *view, int64_t mb, bool evicting);
    void (*residents)(struct eviction_candidate *residents, int count);
    int (*priority)(int priority);
};

/**
 * struct policy - one line of the table
 * @ops: first member
 * @name: its name
 * @idle_unload_s: 0 for that of the scenario
 * @keep: what is kept loaded
 * @busy_ms: leaves used within this time stay on an engine that runs
 *           requests; 0 for the present rule
 * @all_known: each owner knows the uses of all leaves, not only of its own
 * @spread: a further replica goes to another data centre where possible
 */
struct policy {
    const struct policy_ops *ops;
    const char *name;
    int64_t idle_unload_s;
    enum keep keep;
    int64_t busy_ms;
    bool spread;
    bool all_known;
};

enum replica_state { REPLICA_LOADING, REPLICA_LOADED, REPLICA_UNLOADING };

/**
 * struct replica - one replica of a leaf
 * @engine: index of the engine
 * @state: what happens to it
 * @from: where it is loaded from
 * @left_ms: time until the load or unload ends, at full speed
 */
struct replica {
    int engine;
    enum replica_state state;
    enum weights_source from;
    double left_ms;
};

/**
 * struct sim_leaf - a leaf and what the owner knows of it
 * @node: its settings
 * @leaf: the owner's state, for leaf_unevictable()
 * @base: index of the model of an adapter, else -1
 * @replicas: its replicas
 * @count: number of valid @replicas
 * @running: running calls, of a model also those of its adapters
 * @waiting: waiting calls
 * @base_until_ms: an adapter that waits wants the model until then
 */
struct sim_leaf {
    struct node node;
    struct leaf leaf;
    int base;
    struct replica replicas[REPLICAS_MAX];
    int count;
    int running;
    int waiting;
    int64_t base_until_ms;
};

/**
 * struct sim - one simulated day
 * @scenario: deployment
 * @policy: policy
 * @fault: what fails at dawn
 * @day: the callers
 * @place: only the time and the leaves in it are used, by leaf_unevictable()
 * @known: leaves by id, those of each owner and then all
 * @now_ms: virtual time
 * @views: engines
 * @leaves: leaves
 * @leaf_count: number of valid @leaves
 * @turns: turns at the weight store
 * @waiting: struct call
 * @running: struct call
 * @store_speed: 1 or less
 * @loads: replicas that load or unload, of all leaves
 * @idle_mb: memory of loaded leaves without a request
 * @idle_mb_ms: the same over time
 * @waits: cold starts in ms, double, of chats and of long jobs; a refused call
 *         counts with the time that it has waited
 * @refused: calls refused at their deadline, of chats and of long jobs
 * @remote: loads from the weight store
 * @broken: limits of replicas or memory that were exceeded
 */
struct sim {
    const struct scenario *scenario;
    const struct policy *policy;
    enum fault fault;
    const struct day *day;
    struct place place;
    GHashTable *known[OWNERS + 1];
    int64_t now_ms;
    struct engine_view views[ENGINES];
    struct sim_leaf leaves[LEAVES_MAX];
    int leaf_count;
    struct load_permits turns;
    GArray *waiting;
    GArray *running;
    double store_speed;
    int loads;
    int64_t idle_mb;
    double idle_mb_ms;
    GArray *waits[2];
    int refused[2];
    int remote;
    int broken;
};

#endif
