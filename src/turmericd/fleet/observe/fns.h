#ifndef OBSERVE_FNS_H
#define OBSERVE_FNS_H

struct observe *observe_new(const struct observe_settings *settings,
                            struct observe_port *port, struct err *err);
void observe_free(struct observe *observe);
struct duty *observe_duty(struct observe *observe);
/* Takes ownership of the envelope only when it returns true. */
bool observe_post_envelope(struct observe *observe,
                           Turmeric__Envelope *envelope, struct err *err);
/* status.c; pure, used for polls and by tests. */
bool status_parse(const char *text, size_t bytes, struct target_report *report,
                  struct err *err);
bool list_parse(const char *text, size_t bytes, struct list *list,
                struct err *err);
void list_free(struct list *list);

/* merge.c; pure. Those that return bool tell whether the report changed. */
void merge_init(struct observed *observed, struct target_report *report,
                int64_t now_ms);
bool merge_listed(struct observed *observed, const struct listed *listed);
bool merge_missing(struct observed *observed);
bool merge_status(struct observed *observed,
                  const struct target_report *status, int64_t now_ms);
bool merge_failed(struct observed *observed);
bool merge_peer(struct observed *observed, const struct target_report *report,
                bool load_only, int64_t now_ms);
bool merge_unknown(const struct observed *observed, int64_t now_ms);
enum share merge_share(const struct observed *observed, int64_t now_ms);
void merge_shared(struct observed *observed, enum share share, int64_t now_ms);

/* wire.c; pure. */
void report_pack(const struct target_report *report, bool load_only,
                 Turmeric__TargetReport *packed);
bool report_unpack(const Turmeric__TargetReport *packed,
                   struct target_report *report, struct err *err);

/* poll.c */
void poller_init(struct poller *poller, const char *name, struct ring *jobs,
                 struct ring *results, int timeout_ms);

#endif
