/**
 * DOC: Requests that crash targets: evidence, verdicts and refusals.
 *
 * A request whose connection ends before its answer has begun, or just behind
 * its beginning, is suspected once its target proves to be gone. What the
 * suspects of several crashes have in common is decided in src/gate/crash.
 */
#include <glib.h>
#include <http_parser.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/view/fns.h"
#include "gate/choose/dat.h"
#include "gate/choose/fns.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"
#include "gate/relay/dat.h"
#include "gate/relay/fns.h"
#include "gate/team/dat.h"
#include "gate/relay/internal.h"

enum {
    /* When a target crashes, all its connections end within some ms. */
    ENDS_TOGETHER_MS = 20,
    /* A target that ends connections but goes on is not asked each time. */
    ASK_INTERVAL_MS = 1000,
};

/**
 * crash_fingerprint() - identify a request that a caller may repeat
 * @exchange: the request; its header fields were read
 */
uint64_t
crash_fingerprint(const struct exchange *exchange)
{
    const struct request_meta *meta = &exchange->meta;
    gsize body_bytes;
    const void *body = g_bytes_get_data(exchange->body, &body_bytes);
    uint64_t hash =
        hash_pair(hash_text(exchange->path), hash_text(meta->item));

    hash = hash_pair(hash, hash_bytes(body, body_bytes));
    for (int i = 0; i < meta->part_count; i++) {
        hash = hash_pair(hash, meta->parts[i].id);
    }
    return hash;
}

/* The last part belongs to the request or its session. */
static int
shared_part_count(const struct request_meta *meta)
{
    return meta->parts_cut ? meta->part_count : MAX(meta->part_count - 1, 0);
}

/* Differs from the key of the same part elsewhere in a prompt, where others
 * share it. */
static uint64_t
own_part_key(const struct prompt_part *part)
{
    return hash_pair(part->id, hash_text("own part"));
}

static void
collect_traits(const struct exchange *exchange, struct trait_list *list)
{
    const struct request_meta *meta = &exchange->meta;
    int shared = shared_part_count(meta);

    list->count = 0;
    list->request = shared < meta->part_count ? meta->parts[shared].id
                                              : exchange->fingerprint;
    for (int i = 0; i < shared; i++) {
        trait_list_add(list, meta->parts[i].id, i);
    }
    if (shared < meta->part_count) {
        trait_list_add(list, own_part_key(&meta->parts[shared]), OWN_PART);
    }
    trait_list_add(list, exchange->fingerprint, WHOLE_REQUEST);
}

static char *
format_parts(const struct request_meta *meta)
{
    GString *text = g_string_new(NULL);

    for (int i = 0; i < meta->part_count; i++) {
        g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
                               i > 0 ? "," : "", meta->parts[i].id);
    }
    return g_string_free(text, FALSE);
}

/* Whether the target has begun to answer in this run. */
static bool
run_has_begun(const struct exchange *exchange)
{
    return exchange->run_began_ms != 0;
}

static bool
is_new(const struct exchange *exchange, int64_t now_ms)
{
    return run_is_new(exchange->run_began_ms, exchange->run_events, now_ms);
}

static void
log_ended(const struct exchange *exchange, const struct relay_target *target,
          int64_t now_ms)
{
    char *parts = format_parts(&exchange->meta);
    bool begun = run_has_begun(exchange);

    counter_add(begun ? CTR_ENDED_AT_BEGIN : CTR_ENDED_UNANSWERED, 1);
    log_line(LOG_PRI_INFO, "relay",
             "event=%s id=%s target=%s born_ms=%" G_GINT64_FORMAT
             " since_sent_ms=%" G_GINT64_FORMAT
             " request=%016" G_GINT64_MODIFIER "x parts=%s",
             begun ? "ended_at_begin" : "ended_unanswered",
             exchange->meta.attempt_id, target->record.info.id,
             (gint64)target->record.info.started_ms,
             (gint64)(now_ms - exchange->sent_ms), exchange->fingerprint,
             parts);
    g_free(parts);
}

static void
schedule_check(struct relay *relay, int64_t at_ms)
{
    if (relay->crash_check_ms == 0 || at_ms < relay->crash_check_ms) {
        relay->crash_check_ms = at_ms;
    }
}

/* A target that leaves ends its connections, too. */
static bool
is_expected_to_stay(const struct relay_target *target)
{
    return !target_is_leaving(&target->record) && !target->record.missing;
}

/**
 * crash_connection_closed() - handle a connection that the relay closes
 * @relay: the relay
 * @upstream: the connection
 *
 * Its request may still begin, or go on, at the target.
 */
void
crash_connection_closed(struct relay *relay, const struct upstream *upstream)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    const struct relay_target *target =
        table_get(&relay->targets, upstream->target);
    struct trait_list traits;

    if (exchange != NULL && target != NULL && upstream->connected &&
        is_new(exchange, relay->event_ms)) {
        struct crash end = {
            .target = target->id_hash,
            .started_ms = target->record.info.started_ms,
            .at_ms = relay->event_ms,
        };

        collect_traits(exchange, &traits);
        watch_abandoned(relay->crashes, &end, &traits);
    }
}

/**
 * crash_connection_ended() - handle a connection that a target has ended
 * @relay: the relay
 * @upstream: the connection, still with its request
 * @now_ms: current time
 */
void
crash_connection_ended(struct relay *relay, const struct upstream *upstream,
                       int64_t now_ms)
{
    const struct exchange *exchange =
        table_get(&relay->exchanges, upstream->exchange);
    struct relay_target *target = table_get(&relay->targets, upstream->target);
    struct crash end = {.at_ms = now_ms};
    struct trait_list traits;

    if (exchange == NULL || target == NULL || !is_new(exchange, now_ms)) {
        return;
    }
    log_ended(exchange, target, now_ms);
    if (!is_expected_to_stay(target)) {
        return;
    }
    end.target = target->id_hash;
    end.started_ms = target->record.info.started_ms;
    collect_traits(exchange, &traits);
    if (watch_ended(relay->crashes, &end, &traits, now_ms)) {
        target->doubt_ms = now_ms;
        schedule_check(relay, now_ms);
    }
    relay->crash_news = true;
}

static void
confirm(struct relay *relay, struct relay_target *target, const char *evidence,
        int64_t now_ms)
{
    const struct target_info *info = &target->record.info;
    const struct crash *crash = watch_confirm(relay->crashes, target->id_hash,
                                              info->started_ms, now_ms);

    target->doubt_ms = 0;
    if (crash == NULL) {
        return;
    }
    counter_add(CTR_TARGET_CRASHES, 1);
    relay->crash_news = true;
    log_line(LOG_PRI_WARNING, "relay",
             "event=target_crashed target=%s born_ms=%" G_GINT64_FORMAT
             " evidence=%s age_ms=%" G_GINT64_FORMAT " suspects=%d",
             info->id, (gint64)info->started_ms, evidence,
             (gint64)(now_ms - crash->at_ms), crash->suspect_count);
}

/**
 * crash_connection_refused() - handle a target that refuses a connection
 * @relay: the relay
 * @target: the target; may be NULL
 * @now_ms: current time
 *
 * It has no listener, or more connections than it takes.
 */
void
crash_connection_refused(struct relay *relay, struct relay_target *target,
                         int64_t now_ms)
{
    if (target != NULL && !upstream_exists_to(relay, target)) {
        confirm(relay, target, "refused", now_ms);
    }
}

/**
 * crash_connection_made() - handle a target that takes a connection
 * @target: the target; may be NULL
 */
void
crash_connection_made(struct relay_target *target)
{
    if (target != NULL) {
        target->doubt_ms = 0;
    }
}

/**
 * crash_target_restarted() - handle a target that has started again
 * @relay: the relay
 * @target: the target, still with what is known of its last start
 * @now_ms: current time
 */
void
crash_target_restarted(struct relay *relay, struct relay_target *target,
                       int64_t now_ms)
{
    if (is_expected_to_stay(target)) {
        confirm(relay, target, "restarted", now_ms);
    }
}

/* @id is the request that a target has survived; "-" when another instance
 * says so, or other verdicts explain the crashes. */
static void
log_ended_verdicts(const char *id, int count)
{
    if (count > 0) {
        counter_add(CTR_QUARANTINE_ENDED, (uint64_t)count);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=quarantine_ended id=%s count=%d", id, count);
    }
}

/**
 * crash_run_went_on() - handle an answer that goes on, or has ended
 * @relay: the relay
 * @exchange: the request
 * @complete: the response is complete, whatever happens to its target
 * @now_ms: current time
 */
void
crash_run_went_on(struct relay *relay, struct exchange *exchange,
                  bool complete, int64_t now_ms)
{
    struct trait_list traits;
    int ended;

    if (exchange->run_survived ||
        !run_has_survived(exchange->run_began_ms, exchange->run_events,
                          complete, now_ms)) {
        return;
    }
    exchange->run_survived = true;
    collect_traits(exchange, &traits);
    ended = watch_survived(relay->crashes, &traits, now_ms);
    log_ended_verdicts(exchange->meta.attempt_id, ended);
    relay->crash_news |= !crash_report_is_empty(&relay->crashes->news);
}

/* Whether this instance may let a request through to see whether its traits
 * still crash targets; others wait for what it finds. */
static bool
is_prober(const struct relay *relay, const struct trait_verdict *verdict,
          int64_t now_ms)
{
    uint64_t key = verdict->traits.traits[0].key;
    guint count = relay->members->len;
    uint64_t *ids = g_new(uint64_t, count);
    int rank;

    for (guint i = 0; i < count; i++) {
        ids[i] = g_array_index(relay->members, struct gate_member, i).id;
    }
    rank =
        count > 0 ? rendezvous_rank(key, ids, (int)count, relay->self_id) : 0;
    g_free(ids);
    return rank < quarantine_probers(verdict, now_ms);
}

static bool
has_verdicts(const struct relay *relay)
{
    return relay->crashes->quarantine.count > 0;
}

/**
 * crash_is_blamed() - whether a request has traits that crash targets
 * @relay: the relay
 * @exchange: the request
 */
bool
crash_is_blamed(struct relay *relay, const struct exchange *exchange)
{
    struct trait_list traits;

    if (!has_verdicts(relay)) {
        return false;
    }
    collect_traits(exchange, &traits);
    return quarantine_match(&relay->crashes->quarantine, &traits, NULL) !=
           NULL;
}

static bool
is_probe_for(const struct exchange *exchange,
             const struct trait_verdict *verdict)
{
    return exchange->probe_key != 0 && exchange->runs == 0 &&
           trait_set_contains(&verdict->traits, exchange->probe_key);
}

/* Returns the verdict that is known by now. */
static enum quarantine_action
decide(struct relay *relay, struct exchange *exchange,
       const struct trait_list *traits, int64_t now_ms, int64_t *retry_ms)
{
    const struct trait_verdict *verdict =
        quarantine_match(&relay->crashes->quarantine, traits, NULL);
    enum quarantine_action action;

    if (verdict == NULL || is_probe_for(exchange, verdict)) {
        return QUARANTINE_PASS;
    }
    action = watch_decide(relay->crashes, traits,
                          is_prober(relay, verdict, now_ms), now_ms, retry_ms);
    if (action == QUARANTINE_PROBE) {
        exchange->probe_key = verdict->traits.traits[0].key;
    }
    return action;
}

/**
 * crash_would_refuse() - whether crash_refuses() would refuse a request
 * @relay: the relay
 * @exchange: the request, with its fingerprint
 * @now_ms: current time
 * @retry_ms: when it would be refused, set to the time after which to try
 * again
 */
bool
crash_would_refuse(struct relay *relay, const struct exchange *exchange,
                   int64_t now_ms, int64_t *retry_ms)
{
    struct trait_list traits;
    const struct trait_verdict *known;
    struct trait_verdict verdict;

    collect_traits(exchange, &traits);
    known = quarantine_match(&relay->crashes->quarantine, &traits, NULL);
    if (known == NULL) {
        return false;
    }
    verdict = *known;
    return quarantine_decide(&verdict, is_prober(relay, known, now_ms), now_ms,
                             retry_ms) == QUARANTINE_REFUSE;
}

/* The first trait and its depth, and the keys of the others. */
static char *
format_traits(const struct trait_set *set)
{
    GString *text = g_string_new(NULL);

    g_string_append_printf(text,
                           "trait=%" G_GINT64_MODIFIER "x depth=%d with=",
                           set->traits[0].key, set->traits[0].depth);
    for (int i = 1; i < set->count; i++) {
        g_string_append_printf(text, "%s%" G_GINT64_MODIFIER "x",
                               i > 1 ? "," : "", set->traits[i].key);
    }
    g_string_append(text, set->count == 1 ? "-" : "");
    return g_string_free(text, FALSE);
}

static void
log_decision(const struct relay *relay, const struct exchange *exchange,
             const struct trait_list *traits, enum quarantine_action action)
{
    const struct trait_verdict *verdict =
        quarantine_match(&relay->crashes->quarantine, traits, NULL);
    char *text = format_traits(&verdict->traits);

    log_line(LOG_PRI_INFO, "relay", "event=%s id=%s %s level=%d",
             action == QUARANTINE_PROBE ? "quarantine_probe" : "has_trait",
             exchange->meta.attempt_id, text, verdict->level);
    g_free(text);
}

/**
 * crash_refuses() - refuse a request that would crash its target
 * @relay: the relay
 * @exchange: the request; invalid afterwards when it is refused
 * @now_ms: current time
 *
 * Return: whether it was refused.
 */
bool
crash_refuses(struct relay *relay, struct exchange *exchange, int64_t now_ms)
{
    enum quarantine_action action;
    struct trait_list traits;
    int64_t retry_ms = 0;

    if (!has_verdicts(relay)) {
        return false;
    }
    collect_traits(exchange, &traits);
    action = decide(relay, exchange, &traits, now_ms, &retry_ms);
    if (action == QUARANTINE_PASS) {
        return false;
    }
    log_decision(relay, exchange, &traits, action);
    if (action == QUARANTINE_REFUSE) {
        refuse(relay, exchange, ERR_QUARANTINED, retry_ms, now_ms);
        return true;
    }
    return false;
}

/* A run that has reached its target before a doubtful verdict shows whether it
 * is right. */
static bool
may_go_on(struct relay *relay, const struct exchange *exchange)
{
    const struct trait_verdict *verdict;
    struct trait_list traits;

    if (run_has_begun(exchange)) {
        return true;
    }
    if (exchange->stage != STAGE_SENT) {
        return false;
    }
    collect_traits(exchange, &traits);
    verdict = quarantine_match(&relay->crashes->quarantine, &traits, NULL);
    return verdict == NULL || verdict->level < 0;
}

/* Requests that wait, and those whose target has not begun to answer: it would
 * crash when it does. */
static void
refuse_pending(struct relay *relay, int64_t now_ms)
{
    struct exchange *exchange;
    uint32_t cursor = 0;

    while ((exchange = table_next(&relay->exchanges, &cursor, NULL)) != NULL) {
        if (exchange->route != NULL && exchange->fingerprint != 0 &&
            exchange->probe_key == 0 && !may_go_on(relay, exchange)) {
            crash_refuses(relay, exchange, now_ms);
        }
    }
}

static void
log_verdict(const struct evidence *evidence)
{
    char *text = format_traits(&evidence->traits);

    counter_add(CTR_QUARANTINED, 1);
    log_line(LOG_PRI_WARNING, "relay",
             "event=quarantined %s crashes=%d moments=%d requests=%d "
             "known_sound=%d",
             text, evidence->crashes, evidence->moments, evidence->requests,
             evidence->known_sound);
    g_free(text);
}

/* Returns whether there are new verdicts. */
static bool
judge(struct relay *relay, int64_t now_ms)
{
    struct judgement judgement;

    watch_judge(relay->crashes, &judgement, now_ms);
    log_ended_verdicts("-", judgement.withdrawn);
    for (int i = 0; i < judgement.begun.count; i++) {
        log_verdict(&judgement.begun.found[i]);
    }
    return judgement.begun.count > 0;
}

/**
 * crash_apply_report() - apply another instance's report on crashes
 * @relay: the relay
 * @report: takes ownership
 * @now_ms: current time
 */
void
crash_apply_report(struct relay *relay, struct crash_report *report,
                   int64_t now_ms)
{
    const struct quarantine *quarantine = &relay->crashes->quarantine;
    int before = quarantine->count;
    int added = watch_apply(relay->crashes, report, now_ms);

    log_ended_verdicts("-", before + added - quarantine->count);
    if (added > 0) {
        counter_add(CTR_QUARANTINED, (uint64_t)added);
        log_line(LOG_PRI_WARNING, "relay",
                 "event=quarantine_learnt count=%d all=%d", added,
                 quarantine->count);
        refuse_pending(relay, now_ms);
    }
    relay->crash_news = true;
    crash_report_free(report);
}

static void
send_news(struct relay *relay)
{
    struct crash_report *news = &relay->crashes->news;

    if (!crash_report_is_empty(news)) {
        relay->port->ops->crashes(relay->port, news, 0);
        crash_report_clear(news);
        crash_report_init(news);
    }
}

static void
repeat(struct relay *relay, int64_t now_ms)
{
    struct crash_report report;

    crash_report_init(&report);
    if (watch_repeat(relay->crashes, &report, now_ms)) {
        relay->port->ops->crashes(relay->port, &report,
                                  relay_random(relay) | 1);
    }
    crash_report_clear(&report);
}

/* A target with another connection may have ended only one, or its other ends
 * are still on their way. */
static void
look_at(struct relay *relay, struct relay_target *target, int64_t now_ms)
{
    int64_t wait_until_ms = target->doubt_ms + ENDS_TOGETHER_MS;

    if (upstream_exists_to(relay, target)) {
        if (now_ms < wait_until_ms) {
            schedule_check(relay, wait_until_ms);
        }
        else {
            target->doubt_ms = 0;
        }
        return;
    }
    target->doubt_ms = 0;
    if (target->asked_ms == 0 ||
        now_ms - target->asked_ms >= ASK_INTERVAL_MS) {
        target->asked_ms = now_ms;
        upstream_ask(relay, target, now_ms);
    }
}

static void
look_at_targets(struct relay *relay, int64_t now_ms)
{
    struct relay_target *target;
    uint32_t cursor = 0;

    if (relay->crash_check_ms == 0 || now_ms < relay->crash_check_ms) {
        return;
    }
    relay->crash_check_ms = 0;
    while ((target = table_next(&relay->targets, &cursor, NULL)) != NULL) {
        if (target->doubt_ms != 0) {
            look_at(relay, target, now_ms);
        }
    }
}

static bool
is_judge_due(const struct relay *relay, int64_t now_ms)
{
    int64_t due_ms = relay->crashes->judge_ms;

    return due_ms != 0 && now_ms >= due_ms;
}

/**
 * crash_work() - look at doubts, come to verdicts, and tell other instances
 * @relay: the relay
 * @now_ms: current time
 */
void
crash_work(struct relay *relay, int64_t now_ms)
{
    look_at_targets(relay, now_ms);
    if (relay->crash_news || is_judge_due(relay, now_ms)) {
        relay->crash_news = false;
        if (judge(relay, now_ms)) {
            refuse_pending(relay, now_ms);
        }
        send_news(relay);
    }
    repeat(relay, now_ms);
}

/**
 * crash_due_ms() - when crash_work() is due
 * @relay: the relay
 * @now_ms: current time
 */
int64_t
crash_due_ms(const struct relay *relay, int64_t now_ms)
{
    int64_t due_ms = watch_due_ms(relay->crashes, now_ms);

    return relay->crash_check_ms != 0 ? MIN(due_ms, relay->crash_check_ms)
                                      : due_ms;
}
