#ifndef ROUTE_CORE_H
#define ROUTE_CORE_H

/**
 * struct running - an attempt at the forward duty
 * @work: the work it belongs to
 * @target: id of the target
 * @incarnation: start number of the target when it began
 * @report_number: latest report of the target when it began
 * @resume_from: events passed to the caller before it
 * @resume_here: it resumes the stream at the same engine
 */
struct running {
    struct handle work;
    uint64_t target;
    uint64_t incarnation;
    uint64_t report_number;
    uint32_t resume_from;
    bool resume_here;
};

/**
 * struct core - routing
 * @calls: table of calls, shared with other duties
 * @port: the rest of the instance
 * @data_centre: own data centre
 * @random: state of the random numbers
 * @sequence: number of the last work
 * @works: table of struct work
 * @attempts: table of struct running
 * @by_call: works by their calls
 * @timers: what is due next
 * @fleet: targets and leaves
 * @orphans: claims asked for by calls refused since
 * @strikes: requests that bring targets down
 * @budget: retry budget
 * @waiting: works in queues
 * @forward_full: the forward duty took no more attempts in this dispatch
 */
struct core {
    struct calls *calls;
    struct route_port *port;
    char data_centre[NAME_MAX_BYTES];
    uint64_t random;
    uint64_t sequence;
    struct table works;
    struct table attempts;
    GHashTable *by_call;
    struct heap timers;
    struct fleet fleet;
    struct orphans orphans;
    struct strikes *strikes;
    struct budget budget;
    int waiting;
    bool forward_full;
};

/* works.c */
struct work *work_of_call(const struct core *core, struct handle call);
struct work *work_add(struct core *core, const struct call_request *request,
                      struct handle call, struct err *err);
void work_unqueue(struct core *core, struct work *work);
void work_free(struct core *core, struct work *work);
void work_refuse(struct core *core, struct work *work, const struct err *err,
                 enum outcome outcome, int64_t now_ms);
enum outcome work_idle_outcome(const struct work *work);
void work_enqueue(struct core *core, struct work *work);
void work_wait(struct core *core, struct work *work, int64_t until_ms);

/* attempts.c */
bool attempt_start(struct core *core, struct work *work, struct target *target,
                   int64_t now_ms, struct err *err);
void work_resume_elsewhere(struct core *core, struct work *work,
                           int64_t now_ms);
void work_resume_here(struct core *core, struct work *work, int64_t now_ms);

/* dispatch.c */
const struct node *leaf_find_node(const struct tree *tree,
                                  const struct leaf *leaf);
void leaf_refuse_waiting(struct core *core, struct leaf *leaf,
                         const struct err *err, int64_t now_ms);
void leaf_dispatch(struct core *core, struct leaf *leaf, int64_t now_ms);
void target_dispatch(struct core *core, const struct target *target,
                     int64_t now_ms);

/* reports.c */
void target_note_strikes(struct core *core, const struct target_report *report,
                         int64_t now_ms);

/* claims.c */
void claim_ask(struct core *core, struct work *work, int64_t now_ms);

#endif
