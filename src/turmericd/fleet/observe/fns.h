#ifndef OBSERVE_FNS_H
#define OBSERVE_FNS_H

/* observe.c */
struct observe *observe_new(const struct observe_settings *settings,
                            struct observe_port *port, struct err *err);
void observe_free(struct observe *observe);
struct duty *observe_duty(struct observe *observe);
/* Takes ownership of the envelope only when it returns true. */
bool observe_post_envelope(struct observe *observe,
                           Turmeric__Envelope *envelope, struct err *err);
bool observe_post_leaving(struct observe *observe, uint64_t target,
                          int64_t heard_ms, struct err *err);

/* status.c; no I/O. */
bool status_parse(const char *text, size_t bytes, struct target_report *report,
                  struct err *err);
bool instance_list_parse(const char *text, size_t bytes,
                         struct instance_list *list, struct err *err);
void instance_list_free(struct instance_list *list);

/* merge.c; no I/O. A bool result says whether the report changed. */
void merge_init(struct observed_target *observed, struct target_report *report,
                int64_t now_ms);
bool merge_list_record(struct observed_target *observed,
                       const struct listed_instance *record);
bool merge_list_absence(struct observed_target *observed);
bool merge_poll_status(struct observed_target *observed,
                       const struct target_report *status, int64_t now_ms);
bool merge_poll_failure(struct observed_target *observed);
bool merge_peer_report(struct observed_target *observed,
                       const struct target_report *report, bool load_only,
                       bool polled_here, int64_t now_ms);
bool merge_answer_leaving(struct observed_target *observed, int64_t heard_ms);
bool merge_keeps_gone(const struct observed_target *observed, int64_t now_ms);
bool merge_needs_own_poll(const struct observed_target *observed,
                          int64_t now_ms);
bool merge_is_stale(const struct observed_target *observed, int64_t now_ms);
enum broadcast_kind
merge_broadcast_needed(const struct observed_target *observed, int64_t now_ms);
void merge_broadcast_sent(struct observed_target *observed,
                          enum broadcast_kind kind, int64_t now_ms);

/* wire.c; no I/O. */
void report_pack(const struct target_report *report, bool load_only,
                 Turmeric__TargetReport *packed);
bool report_unpack(const Turmeric__TargetReport *packed,
                   struct target_report *report, struct err *err);

/* poll.c */
void poller_init(struct poller *poller, const char *name, struct ring *jobs,
                 struct ring *results, int timeout_ms);

#endif
