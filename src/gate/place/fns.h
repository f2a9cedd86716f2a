#ifndef PLACE_PLAN_FNS_H
#define PLACE_PLAN_FNS_H

/* plan.c */
void plan_init(struct plan *plan);
void plan_clear(struct plan *plan);
void plan_set_config(struct plan *plan, struct gate_config *config);
void plan_apply_target_change(struct plan *plan,
                              const struct target_change *change,
                              int64_t now_ms);
void plan_apply_leaving(struct plan *plan, const struct place_leaving *news);
void plan_apply_pause(struct plan *plan, const struct place_pause *pause);
void plan_apply_holdings(struct plan *plan, const struct holdings *holdings);
void plan_set_term(struct plan *plan, int64_t fence, int64_t now_ms);
const struct gate_service *
plan_engine_service(const struct plan *plan, const struct plan_engine *engine);
const struct gate_model *plan_engine_model(const struct plan *plan,
                                           const struct plan_engine *engine,
                                           uint32_t item);

/* demand.c */
void plan_apply_activity(struct plan *plan, struct activity_report *activity,
                         int64_t now_ms);
void plan_expire_activities(struct plan *plan, int64_t now_ms);
struct item_demand *plan_demand(struct plan *plan, uint32_t item);
int64_t item_waited_ms(const struct item_demand *demand, int64_t now_ms);
bool item_is_starved(const struct item_demand *demand, int64_t now_ms);
double item_request_rate(const struct item_demand *demand, int64_t now_ms);

/* late.c */
void late_order_sent(struct plan *plan, const struct plan_step *step);
void late_order_done(struct plan *plan, const struct engine_call *call,
                     int64_t now_ms);
void late_orders_expire(struct plan *plan, int64_t now_ms);
void late_engine_departed(struct plan *plan, const struct plan_engine *engine,
                          int64_t now_ms);
bool late_engine_returned(struct plan *plan, const struct target_info *info);
bool late_order_expects(const struct plan *plan,
                        const struct plan_engine *engine, int64_t sequence,
                        int64_t now_ms);
bool late_orders_fit(const struct plan *plan, const struct plan_engine *engine,
                     uint32_t item, uint32_t evicted, int64_t now_ms);

int64_t late_hold_left_ms(const struct plan *plan,
                          const struct plan_engine *engine, int64_t now_ms);
bool late_next_hold(struct plan *plan, int64_t now_ms, struct late_hold *hold);

/* capacity.c */
double engine_item_mb(const struct plan *plan,
                      const struct plan_engine *engine, uint32_t item);
double engine_used_mb(const struct plan *plan,
                      const struct plan_engine *engine, uint32_t item);
int engine_adapter_count(const struct plan_engine *engine);
bool engine_has_room(const struct plan *plan, const struct plan_engine *engine,
                     uint32_t item, int64_t now_ms);
uint32_t engine_eviction_candidate(struct plan *plan,
                                   const struct plan_engine *engine,
                                   uint32_t item, int64_t idle_ms,
                                   int64_t now_ms);
int64_t engine_load_ms(const struct plan *plan,
                       const struct plan_engine *engine, uint32_t item,
                       bool *from_store);

/* store_limit.c */
void store_limit_init(struct plan *plan);
void store_limit_load_started(struct plan *plan, struct plan_engine *engine,
                              int64_t now_ms);
void store_limit_load_finished(struct plan *plan,
                               const struct plan_engine *engine,
                               int64_t load_ms, int64_t now_ms);

/* choice.c */
int plan_store_loads(const struct plan *plan, int64_t now_ms);
bool engine_can_load(struct plan *plan, const struct plan_engine *engine,
                     uint32_t item, int64_t now_ms);
bool engine_is_leaving(const struct plan_engine *engine);
bool engine_is_unresponsive(const struct plan_engine *engine, int64_t now_ms);
struct engine_choice choose_fastest_engine(struct plan *plan, uint32_t item,
                                           enum load_source source,
                                           int64_t idle_ms, int64_t now_ms);

/* replicas.c */
void plan_count_copies(struct plan *plan, int64_t now_ms);
double plan_hold_s(const struct plan *plan, const struct gate_service *service,
                   int64_t now_ms);
int replicas_needed(const struct item_demand *demand, double hold_s, int slots,
                    int64_t now_ms);
int copies_coming(const struct item_copies *copies);

/* step.c */
bool plan_next_step(struct plan *plan, int64_t now_ms, struct plan_step *step);

/* forecast.c */
struct load_forecast *plan_forecast_loads(struct plan *plan, int64_t now_ms);

/* results.c */
void plan_step_sent(struct plan *plan, const struct plan_step *step);
struct holdings *plan_assume_loaded(struct plan *plan, int64_t now_ms);
struct holdings *plan_step_done(struct plan *plan,
                                const struct engine_call *call,
                                int64_t now_ms);

/* place.c; the place_gate_post functions may be called from any thread. */
bool place_gate_init(struct place_gate *place, const char *name,
                     struct term *term, struct gate_engine *engines[],
                     struct place_gate_port *port, struct err *err);
void place_gate_clear(struct place_gate *place);
bool place_gate_post_config(struct place_gate *place,
                            struct gate_config *config);
bool place_gate_post_target_change(struct place_gate *place,
                                   const struct target_change *change);
void place_gate_post_activity(struct place_gate *place,
                              struct activity_report *activity);
void place_gate_post_leaving(struct place_gate *place, const char *target,
                             bool leaves);
void place_gate_post_pause(struct place_gate *place, const char *target,
                           int64_t until_ms);
void place_gate_post_holdings(struct place_gate *place,
                              struct holdings *holdings);

/* worker.c */
void order_worker_init(struct order_worker *worker, struct place_gate *place,
                       struct gate_engine *engine);

#endif
