#ifndef PLACE_INNER_FNS_H
#define PLACE_INNER_FNS_H

/* record.c */
void record_key(char *key, size_t bytes, const char *kind, uint64_t id);
char *replica_encode(const struct replica_record *record);
bool replica_decode(const char *text, uint64_t leaf,
                    struct replica_record *record, struct err *err);
char *engine_encode(const struct engine_record *record);
bool engine_decode(const char *text, uint64_t engine,
                   struct engine_record *record, struct err *err);

/* reserve.c: pure; @next may be the same record as @old */
const struct replica_slot *slot_find(const struct replica_record *record,
                                     uint64_t engine);
bool slot_add(const struct replica_record *old, uint64_t engine,
              const struct sender *by, int64_t limit, int64_t revision,
              struct replica_record *next, struct err *err);
bool slot_remove(const struct replica_record *old,
                 const struct replica_slot *slot, struct replica_record *next,
                 struct err *err);
const struct item *item_find(const struct engine_record *record,
                             uint64_t leaf);
bool item_sent_by(const struct item *item, const struct sender *sender);
int64_t reserved_mb(const struct engine_record *record);
bool reserve_restart(const struct engine_record *old, uint64_t incarnation,
                     int64_t memory_mb, struct engine_record *next);
bool reserve_add(const struct engine_record *old,
                 const struct reservation *want,
                 const struct target_report *report,
                 struct engine_record *next, struct err *err);
bool reserve_adopt(const struct engine_record *old,
                   const struct reservation *want, struct engine_record *next,
                   struct err *err);
bool reserve_loaded(const struct engine_record *old, uint64_t leaf,
                    const struct sender *sender, bool checks_fence,
                    struct engine_record *next, struct err *err);
bool reserve_refused(const struct engine_record *old, uint64_t leaf,
                     const struct sender *sender, struct engine_record *next,
                     struct err *err);
bool reserve_doubt(const struct engine_record *old, uint64_t leaf,
                   const struct sender *sender, struct engine_record *next,
                   struct err *err);
bool reserve_settle(const struct engine_record *old, uint64_t leaf,
                    const struct sender *settled, int settled_count,
                    struct engine_record *next, struct err *err);
bool reserve_unload(const struct engine_record *old, uint64_t leaf,
                    bool checks_fence, struct engine_record *next,
                    struct err *err);
bool reserve_unloaded(const struct engine_record *old, uint64_t leaf,
                      uint64_t fence, struct engine_record *next,
                      struct err *err);
bool reserve_release(const struct engine_record *old, uint64_t leaf,
                     struct engine_record *next, struct err *err);
bool reserve_pass(const struct engine_record *old, uint64_t leaf,
                  struct engine_record *next, struct err *err);

/* choose.c */
bool report_has(const uint64_t *ids, int count, uint64_t leaf);
enum checkpoint checkpoint_of(const struct target_report *report,
                              uint64_t leaf);
int64_t engine_free_mb(const struct engine_view *view, int64_t now_ms);
int choose_engine(const struct choice *choice,
                  struct engine_view *const *views, int count, int64_t now_ms,
                  struct err *err);
bool choose_eviction(const struct choice *choice,
                     struct engine_view *const *views, int count,
                     const struct resident *residents, int resident_count,
                     int64_t now_ms, struct eviction *eviction);

/* turn.c */
bool turns_ask(struct turns *turns, const struct turn *ask, int64_t now_ms,
               struct err *err);
bool turns_next(struct turns *turns, int64_t at_once, int64_t per_s,
                int64_t now_ms, struct turn *granted);
void turns_done(struct turns *turns, uint64_t token);
void turns_expire(struct turns *turns, int64_t now_ms);

/* order.c */
bool orders_init(struct orders *orders, struct kv *kv, struct engine_api *api,
                 struct orders_port *port, struct err *err);
void orders_free(struct orders *orders);
bool orders_push(struct orders *orders, struct order **order, struct err *err);
void order_free(struct order *order);
void order_execute(struct orders *orders, struct order *order);

/* step.c */
struct step leaf_step(const struct leaf_facts *leaf,
                      const struct slot_facts *slots, int count);
bool slot_usable(const struct slot_facts *slot);

/* leaf.c */
struct leaf *leaf_get(struct place *place, uint64_t id, const char *path);
struct leaf *leaf_find(struct place *place, uint64_t id);
void leaf_free(gpointer data);
const struct node *leaf_node(const struct place *place,
                             const struct leaf *leaf);
void leaf_wanted(struct place *place, struct leaf *leaf, uint64_t asker,
                 int priority);
void leaf_used(struct place *place, uint64_t id);
void leaf_tell_use(struct place *place, struct leaf *leaf);
void leaf_answer(struct place *place, struct leaf *leaf,
                 const struct placement *placement);
void leaf_refuse(struct place *place, struct leaf *leaf, enum err_kind kind,
                 const char *text);
GPtrArray *leaves_list(const struct place *place);

/* engine.c */
struct engine_view *engine_find(struct place *place, uint64_t id);
void engine_reported(struct place *place, const struct target_report *report);
void engine_add_loaded(struct place *place, uint64_t engine, uint64_t leaf);
void engine_drop_loaded(struct place *place, uint64_t engine, uint64_t leaf);
enum engine_fact engine_fact_of(struct place *place, uint64_t id);
void engines_expire(struct place *place);

/* facts.c */
bool leaf_checks_fence(const struct place *place, const char *path);
int64_t leaf_limit(const struct node *node);
bool sender_settled(struct place *place, const struct leaf *leaf,
                    uint64_t engine, const struct sender *sender);
struct slot_facts slot_facts_of(struct place *place, const struct leaf *leaf,
                                const struct slot_view *slot);
struct leaf_facts leaf_facts_of(const struct place *place,
                                const struct leaf *leaf,
                                const struct node *node);

/* issue.c */
struct order *order_new(struct place *place, const struct leaf *leaf,
                        enum order_kind kind);
bool order_issue(struct place *place, struct leaf *leaf, struct order **order);
void slot_order_issue(struct place *place, struct leaf *leaf,
                      enum order_kind kind, const struct slot_view *slot);
void senders_ask(struct place *place, struct leaf *leaf,
                 const struct slot_view *slot);
void leaf_scan(struct place *place, struct leaf *leaf);
void leaf_stray(struct place *place, struct leaf *leaf,
                const struct engine_view *engine);
void place_sweep(struct place *place);
bool leaf_has_slot(const struct leaf *leaf, uint64_t engine);

/* load.c */
void base_want(struct place *place, struct leaf *leaf,
               const struct node *node);
void load_start(struct place *place, struct leaf *leaf,
                const struct node *node);

/* done.c */
void order_loaded(struct place *place, uint64_t id, uint64_t engine);
void order_done(struct place *place, struct order *order);

/* decide.c */
void base_ready(struct place *place, uint64_t base);
void decide_waiting(struct place *place);
void leaf_decide(struct place *place, struct leaf *leaf);
void leaf_evict(struct place *place, uint64_t id, uint64_t engine);

/* evict.c */
bool leaf_fixed(struct place *place, const struct leaf *leaf,
                const struct engine_view *view, const struct node *node);
void evict_for(struct place *place, struct leaf *leaf,
               const struct choice *choice);

/* message.c */
bool place_send(struct place *place, uint64_t member,
                Turmeric__Envelope *envelope);
void place_envelope(struct place *place, const Turmeric__Envelope *envelope);
void send_want(struct place *place, const struct leaf *leaf, int waiting);
void send_answer(struct place *place, uint64_t member,
                 const struct placement *placement);
void send_settle(struct place *place, const struct sender *sender,
                 uint64_t engine, uint64_t leaf);
void send_evict(struct place *place, uint64_t engine, uint64_t leaf);
void turn_ask(struct place *place, struct leaf *leaf);
void turn_end(struct place *place, struct leaf *leaf);
void turns_tick(struct place *place);

#endif
