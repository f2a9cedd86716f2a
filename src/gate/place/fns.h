#ifndef PLACE_PLAN_FNS_H
#define PLACE_PLAN_FNS_H

/* plan.c */
void plan_init(struct plan *plan);
void plan_clear(struct plan *plan);
void plan_config(struct plan *plan, struct gate_config *config);
void plan_change(struct plan *plan, const struct target_change *change,
                 int64_t now_ms);
void plan_holdings(struct plan *plan, const struct holdings *holdings);
void plan_begin(struct plan *plan, int64_t now_ms);
const struct gate_service *plan_service(const struct plan *plan,
                                        const struct plan_engine *engine);
const struct gate_model *plan_model(const struct plan *plan,
                                    const struct plan_engine *engine,
                                    uint32_t item);

/* demand.c */
void plan_activity(struct plan *plan, struct activity_report *activity,
                   int64_t now_ms);
void plan_forget_notes(struct plan *plan, int64_t now_ms);
struct plan_item *plan_item(struct plan *plan, uint32_t item);
double plan_rate(const struct plan_item *item, int64_t now_ms);

/* room.c */
double room_used_mb(const struct plan *plan, const struct plan_engine *engine,
                    uint32_t item);
int room_adapters(const struct plan_engine *engine);
bool room_for(const struct plan *plan, const struct plan_engine *engine,
              uint32_t item);
uint32_t room_victim(struct plan *plan, const struct plan_engine *engine,
                     uint32_t item, int64_t idle_ms, int64_t now_ms);
int64_t room_load_ms(const struct plan *plan, const struct plan_engine *engine,
                     uint32_t item, bool *from_store);

/* loads.c */
void loads_init(struct plan *plan);
void loads_began(struct plan *plan, struct plan_engine *engine,
                 int64_t now_ms);
void loads_ended(struct plan *plan, const struct plan_engine *engine,
                 int64_t load_ms, int64_t now_ms);

/* choice.c */
int choice_store_loads(const struct plan *plan, int64_t now_ms);
bool choice_suits(struct plan *plan, const struct plan_engine *engine,
                  uint32_t item, int64_t now_ms);
bool choice_is_silent(const struct plan_engine *engine, int64_t now_ms);
struct choice choice_make(struct plan *plan, uint32_t item,
                          enum choice_source source, int64_t idle_ms,
                          int64_t now_ms);

/* step.c */
bool plan_next(struct plan *plan, int64_t now_ms, struct plan_step *step);

/* outlook.c */
struct load_forecast *plan_outlook(struct plan *plan, int64_t now_ms);

/* done.c */
void plan_sent(struct plan *plan, const struct plan_step *step);
struct holdings *plan_assumed(struct plan *plan, int64_t now_ms);
struct holdings *plan_done(struct plan *plan, const struct work *work,
                           int64_t now_ms);

/* place.c; the place_gate_post functions are safe from any thread. */
bool place_gate_init(struct place_gate *place, const char *name,
                     struct term *term, struct gate_engine *engines[],
                     struct place_gate_port *port, struct err *err);
void place_gate_clear(struct place_gate *place);
bool place_gate_post_config(struct place_gate *place,
                            struct gate_config *config);
bool place_gate_post_change(struct place_gate *place,
                            const struct target_change *change);
void place_gate_post_activity(struct place_gate *place,
                              struct activity_report *activity);
void place_gate_post_holdings(struct place_gate *place,
                              struct holdings *holdings);

/* worker.c */
void order_worker_init(struct order_worker *worker, struct place_gate *place,
                       struct gate_engine *engine);

#endif
