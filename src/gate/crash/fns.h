#ifndef CRASH_FNS_H
#define CRASH_FNS_H

/* trait.c */
void trait_list_add(struct trait_list *list, uint64_t key, int depth);
bool trait_list_contains(const struct trait_list *list, uint64_t key);
void trait_set_add(struct trait_set *set, const struct trait *trait);
bool trait_set_remove(struct trait_set *set, uint64_t key);
bool trait_set_contains(const struct trait_set *set, uint64_t key);
bool trait_set_includes(const struct trait_set *set,
                        const struct trait_set *other);
bool traits_include(const struct trait *traits, int count,
                    const struct trait_set *set);

/* sound.c */
void sound_init(struct sound_memory *sound);
void sound_clear(struct sound_memory *sound);
void sound_record(struct sound_memory *sound, uint64_t key, int64_t at_ms);
int64_t sound_at_ms(const struct sound_memory *sound, uint64_t key);

/* run.c */
bool run_is_new(int64_t began_ms, int events, int64_t now_ms);
bool run_has_survived(int64_t began_ms, int events, bool complete,
                      int64_t now_ms);

/* ledger.c */
void crash_clear(struct crash *crash);
bool crash_is_same(const struct crash *crash, uint64_t target,
                   int64_t started_ms);
int crash_add_suspects(struct crash *crash, const struct crash *from);
void ledger_clear(struct crash_ledger *ledger);
void ledger_remove(struct crash_ledger *ledger, struct crash *crash);
struct crash *ledger_find(struct crash_ledger *ledger, uint64_t target,
                          int64_t started_ms);
void ledger_expire_after(struct crash_ledger *ledger, int64_t ttl_ms,
                         int64_t now_ms);
struct crash *ledger_add(struct crash_ledger *ledger, uint64_t target,
                         int64_t started_ms, int64_t at_ms);
bool crash_add_suspect(struct crash *crash, uint64_t request,
                       const struct trait *traits, int trait_count);
void ledger_expire(struct crash_ledger *ledger, int64_t now_ms);
bool ledger_suspects(const struct crash_ledger *ledger,
                     const struct sound_memory *sound, uint64_t key);

/* inquiry.c */
bool crash_may_be_by(const struct crash *crash,
                     const struct trait_set *traits);
void inquiry_begin(struct inquiry *inquiry, const struct crash_ledger *ledger,
                   const struct sound_memory *sound, int64_t until_ms);
void inquiry_end(struct inquiry *inquiry);
struct evidence inquiry_weigh(const struct inquiry *inquiry,
                              const struct tally *tally, uint64_t mask);
uint64_t inquiry_crashes_by(const struct inquiry *inquiry,
                            const struct trait_set *traits);
bool inquiry_go_together(const struct inquiry *inquiry,
                         const struct trait *trait,
                         const struct trait_set *set, uint64_t mask);
bool inquiry_is_contrasted(const struct inquiry *inquiry,
                           const struct evidence *evidence);

/* blame.c */
void blame_find(const struct crash_ledger *ledger,
                const struct sound_memory *sound,
                const struct quarantine *quarantine, int64_t until_ms,
                struct explanations *explanations);
bool blame_is_refuted(const struct crash_ledger *ledger,
                      const struct explanations *explanations,
                      const struct trait_verdict *verdict);

/* quarantine.c */
bool quarantine_names(const struct quarantine *quarantine, uint64_t key);
struct trait_verdict *quarantine_find(struct quarantine *quarantine,
                                      const struct trait_set *traits);
bool quarantine_covers(const struct quarantine *quarantine,
                       const struct trait_set *traits);
struct trait_verdict *quarantine_match(struct quarantine *quarantine,
                                       const struct trait_list *traits,
                                       int *count);
bool quarantine_add(struct quarantine *quarantine,
                    const struct trait_verdict *verdict);
bool quarantine_begin(struct quarantine *quarantine,
                      const struct trait_set *traits, bool doubtful,
                      int64_t now_ms);
bool quarantine_probe_crashed(struct trait_verdict *verdict, int64_t at_ms,
                              int64_t now_ms);
void quarantine_remove(struct quarantine *quarantine,
                       struct trait_verdict *verdict);
int quarantine_lift(struct quarantine *quarantine, uint64_t key,
                    int64_t sound_ms);
int quarantine_probers(const struct trait_verdict *verdict, int64_t now_ms);
enum quarantine_action quarantine_decide(struct trait_verdict *verdict,
                                         bool may_probe, int64_t now_ms,
                                         int64_t *retry_ms);

/* report.c */
void crash_report_init(struct crash_report *report);
void crash_report_clear(struct crash_report *report);
struct crash_report *crash_report_new(void);
void crash_report_free(struct crash_report *report);
bool crash_report_is_empty(const struct crash_report *report);
void crash_report_add_crash(struct crash_report *report,
                            const struct crash *crash);

/* watch.c */
struct crash_watch *watch_new(void);
void watch_free(struct crash_watch *watch);
bool watch_ended(struct crash_watch *watch, const struct crash *end,
                 const struct trait_list *traits, int64_t now_ms);
void watch_abandoned(struct crash_watch *watch, const struct crash *end,
                     const struct trait_list *traits);
const struct crash *watch_confirm(struct crash_watch *watch, uint64_t target,
                                  int64_t started_ms, int64_t now_ms);
int watch_survived(struct crash_watch *watch, const struct trait_list *traits,
                   int64_t now_ms);
int watch_apply(struct crash_watch *watch, const struct crash_report *report,
                int64_t now_ms);
void watch_judge(struct crash_watch *watch, struct judgement *judgement,
                 int64_t now_ms);
enum quarantine_action watch_decide(struct crash_watch *watch,
                                    const struct trait_list *traits,
                                    bool may_probe, int64_t now_ms,
                                    int64_t *retry_ms);
int64_t watch_due_ms(const struct crash_watch *watch, int64_t now_ms);
bool watch_repeat(struct crash_watch *watch, struct crash_report *report,
                  int64_t now_ms);

#endif
