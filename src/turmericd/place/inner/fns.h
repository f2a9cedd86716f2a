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

/* reserve.c: pure functions; @next and @old may be the same record */
const struct replica_slot *slot_find(const struct replica_record *record,
                                     uint64_t engine);
bool slot_add(const struct replica_record *old, uint64_t engine,
              const struct sender *sender, int64_t limit, int64_t revision,
              struct replica_record *next, struct err *err);
bool slot_remove(const struct replica_record *old,
                 const struct replica_slot *slot, struct replica_record *next,
                 struct err *err);
const struct item *item_find(const struct engine_record *record,
                             uint64_t leaf);
bool item_has_sender(const struct item *item, const struct sender *sender);
int64_t reserved_mb(const struct engine_record *record);
bool reserve_update_engine(const struct engine_record *old,
                           uint64_t incarnation, int64_t memory_mb,
                           struct engine_record *next);
bool reserve_add(const struct engine_record *old,
                 const struct reservation_request *request,
                 const struct target_report *report,
                 struct engine_record *next, struct err *err);
bool reserve_adopt(const struct engine_record *old,
                   const struct reservation_request *request,
                   struct engine_record *next, struct err *err);
bool reserve_loaded(const struct engine_record *old, uint64_t leaf,
                    const struct sender *sender, bool checks_fence,
                    struct engine_record *next, struct err *err);
bool reserve_refused(const struct engine_record *old, uint64_t leaf,
                     const struct sender *sender, struct engine_record *next,
                     struct err *err);
bool reserve_in_doubt(const struct engine_record *old, uint64_t leaf,
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
bool reserve_block_announced(const struct engine_record *old, uint64_t leaf,
                             struct engine_record *next, struct err *err);

/* choose.c */
bool report_has(const uint64_t *ids, int count, uint64_t leaf);
enum weights_source weights_source_of(const struct target_report *report,
                                      uint64_t leaf);
int64_t engine_free_mb(const struct engine_view *view, int64_t now_ms);
int choose_engine(const struct engine_requirements *required,
                  struct engine_view *const *views, int count, int64_t now_ms,
                  struct err *err);
bool choose_eviction(const struct engine_requirements *required,
                     struct engine_view *const *views, int count,
                     const struct eviction_candidate *candidates,
                     int candidate_count, int64_t now_ms,
                     struct eviction *eviction);

/* permit.c */
bool load_permits_request(struct load_permits *permits,
                          const struct load_permit *request, int64_t now_ms,
                          struct err *err);
bool load_permits_grant_next(struct load_permits *permits, int64_t at_once,
                             int64_t per_s, int64_t now_ms,
                             struct load_permit *granted);
void load_permits_release(struct load_permits *permits, uint64_t token);
void load_permits_expire(struct load_permits *permits, int64_t now_ms);

/* order.c */
bool orders_init(struct orders *orders, struct kv *kv, struct engine_api *api,
                 struct orders_port *port, struct err *err);
void orders_free(struct orders *orders);
bool orders_submit(struct orders *orders, struct order **order,
                   struct err *err);
void order_free(struct order *order);
void order_execute(struct orders *orders, struct order *order);

/* action.c */
struct leaf_action leaf_next_action(const struct leaf_status *leaf,
                                    const struct slot_status *slots,
                                    int count);
bool slot_usable(const struct slot_status *slot);

/* leaf.c */
struct leaf *leaf_get(struct place *place, uint64_t id, const char *path);
struct leaf *leaf_find(struct place *place, uint64_t id);
void leaf_free(gpointer data);
const struct node *leaf_node(const struct place *place,
                             const struct leaf *leaf);
void leaf_add_requester(struct place *place, struct leaf *leaf,
                        uint64_t requester, int priority);
void leaf_record_use(struct place *place, uint64_t id);
void leaf_report_use(struct place *place, struct leaf *leaf);
void leaf_answer(struct place *place, struct leaf *leaf,
                 const struct placement *placement);
void leaf_refuse(struct place *place, struct leaf *leaf, enum err_kind kind,
                 const char *text);
GPtrArray *leaves_list(const struct place *place);

/* engine.c */
struct engine_view *engine_find(struct place *place, uint64_t id);
void engine_update(struct place *place, const struct target_report *report);
void engine_add_loaded(struct place *place, uint64_t engine, uint64_t leaf);
void engine_drop_loaded(struct place *place, uint64_t engine, uint64_t leaf);
enum engine_state engine_state_of(struct place *place, uint64_t id);
void engines_expire(struct place *place);

/* status.c */
bool leaf_checks_fence(const struct place *place, const char *path);
int64_t leaf_replica_limit(const struct node *node);
bool sender_settled(struct place *place, const struct leaf *leaf,
                    uint64_t engine, const struct sender *sender);
struct slot_status slot_status_of(struct place *place, const struct leaf *leaf,
                                  const struct slot_view *slot);
struct leaf_status leaf_status_of(const struct place *place,
                                  const struct leaf *leaf,
                                  const struct node *node);

/* submit.c */
struct order *order_new(struct place *place, const struct leaf *leaf,
                        enum order_kind kind);
bool order_submit(struct place *place, struct leaf *leaf,
                  struct order **order);
void slot_order_submit(struct place *place, struct leaf *leaf,
                       enum order_kind kind, const struct slot_view *slot);
void slot_query_senders(struct place *place, struct leaf *leaf,
                        const struct slot_view *slot);
void leaf_scan(struct place *place, struct leaf *leaf);
void leaf_handle_stray(struct place *place, struct leaf *leaf,
                       const struct engine_view *engine);
void place_sweep(struct place *place);
bool leaf_has_slot(const struct leaf *leaf, uint64_t engine);

/* load.c */
void base_request(struct place *place, struct leaf *leaf,
                  const struct node *node);
void leaf_load(struct place *place, struct leaf *leaf,
               const struct node *node);

/* result.c */
void order_loaded(struct place *place, uint64_t id, uint64_t engine);
void order_done(struct place *place, struct order *order);

/* decide.c */
void decide_adapters(struct place *place, uint64_t base_model_id);
void decide_waiting(struct place *place);
void leaf_decide(struct place *place, struct leaf *leaf);
void leaf_evict(struct place *place, uint64_t id, uint64_t engine);

/* evict.c */
bool leaf_unevictable(struct place *place, const struct leaf *leaf,
                      const struct engine_view *view, const struct node *node);
void evict_for_leaf(struct place *place, struct leaf *leaf,
                    const struct engine_requirements *required);

/* message.c */
bool place_send(struct place *place, uint64_t member,
                Turmeric__Envelope *envelope);
void place_handle_envelope(struct place *place,
                           const Turmeric__Envelope *envelope);
void send_load_request(struct place *place, const struct leaf *leaf,
                       int waiting);
void send_placement(struct place *place, uint64_t member,
                    const struct placement *placement);
void send_settle_query(struct place *place, const struct sender *sender,
                       uint64_t engine, uint64_t leaf);
void send_evict(struct place *place, uint64_t engine, uint64_t leaf);
void leaf_request_permit(struct place *place, struct leaf *leaf);
void leaf_release_permit(struct place *place, struct leaf *leaf);
void place_grant_permits(struct place *place);

#endif
