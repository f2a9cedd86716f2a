/**
 * DOC: What an instance knows of requests that crash targets, and tells
 * others.
 *
 * Every instance collects the same evidence and comes to its own verdict, so
 * that none has to be there. Verdicts are repeated to some instances at a
 * time: one that has just started, or has lost messages, learns them soon.
 */
#include <glib.h>

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

enum {
    /* A closed connection is no crash unless the target proves to be gone. */
    UNCONFIRMED_MAX_MS = 10 * 1000,
    /* Most targets drop a request whose connection closes; the others have
     * begun it by then. */
    ABANDONED_MAX_MS = 2000,
    REPEAT_PERIOD_MS = 500,
    /* Reports of other instances on a crash arrive within some ms. */
    SETTLE_MS = 100,
    /* Later, crashes that counted against a trait may have been dropped. */
    REFUTABLE_MS = 60 * 1000,
    CERTAIN_CRASHES = 3,
    /* Evidence is repeated until a verdict is likely. */
    REPEAT_CRASH_MS = 10 * 1000,
    /* Another instance that has just started may blame a trait whose answers
     * it hasn't seen. */
    KNOWN_SOUND_MS = 10 * 1000,
};

/**
 * watch_new() - create a watch that knows nothing
 *
 * Return: to be released with watch_free().
 */
struct crash_watch *
watch_new(void)
{
    struct crash_watch *watch = g_new0(struct crash_watch, 1);

    sound_init(&watch->sound);
    crash_report_init(&watch->news);
    return watch;
}

/**
 * watch_free() - release a watch
 * @watch: the watch
 */
void
watch_free(struct crash_watch *watch)
{
    ledger_clear(&watch->crashes);
    ledger_clear(&watch->unconfirmed);
    sound_clear(&watch->sound);
    crash_report_clear(&watch->news);
    g_free(watch);
}

static void
extend_quarantine(struct crash_watch *watch, const struct crash *crash,
                  int64_t now_ms)
{
    for (int i = 0; i < watch->quarantine.count; i++) {
        struct trait_verdict *verdict = &watch->quarantine.verdicts[i];

        if (crash_may_be_by(crash, &verdict->traits) &&
            quarantine_probe_crashed(verdict, crash->at_ms, now_ms)) {
            g_array_append_val(watch->news.verdicts, *verdict);
        }
    }
}

static bool
may_have_begun(const struct abandoned_request *request,
               const struct crash *crash)
{
    return request->at_ms != 0 && request->target == crash->target &&
           request->started_ms == crash->started_ms &&
           crash->at_ms - request->at_ms <= ABANDONED_MAX_MS;
}

/* Adds requests that this instance has given up at a target shortly before it
 * crashed. Without them, those beside the cause would be the only suspects. */
static int
add_abandoned(struct crash_watch *watch, struct crash *known)
{
    struct crash single = {
        .target = known->target,
        .started_ms = known->started_ms,
        .at_ms = known->at_ms,
    };

    for (int i = 0; i < ABANDONED_MAX; i++) {
        const struct abandoned_request *request = &watch->abandoned[i];
        const struct trait_list *traits = &request->traits;

        if (may_have_begun(request, known) &&
            crash_add_suspect(known, traits->request, traits->traits,
                              traits->count)) {
            crash_add_suspect(&single, traits->request, traits->traits,
                              traits->count);
        }
    }
    if (single.suspect_count > 0) {
        crash_report_add_crash(&watch->news, &single);
    }
    crash_clear(&single);
    return single.suspect_count;
}

/* Adds what is new of a crash to the ledger. Returns the crash there, or NULL
 * when nothing was new. */
static const struct crash *
add_crash(struct crash_watch *watch, const struct crash *crash, int64_t now_ms)
{
    struct crash *known;
    int added;

    ledger_expire(&watch->crashes, now_ms);
    known = ledger_add(&watch->crashes, crash->target, crash->started_ms,
                       crash->at_ms);
    added = crash_add_suspects(known, crash);
    added += add_abandoned(watch, known);
    if (added == 0) {
        return NULL;
    }
    extend_quarantine(watch, crash, now_ms);
    watch->judge_ms = now_ms + SETTLE_MS;
    return known;
}

/**
 * watch_ended() - a target ended the connection of a new run
 * @watch: the watch
 * @end: target and time; without suspects
 * @traits: traits of the request
 * @now_ms: current time
 *
 * Return: whether it is unknown so far if the target has crashed.
 */
bool
watch_ended(struct crash_watch *watch, const struct crash *end,
            const struct trait_list *traits, int64_t now_ms)
{
    struct crash *known =
        ledger_find(&watch->crashes, end->target, end->started_ms);
    struct crash single = *end;

    ledger_expire_after(&watch->unconfirmed, UNCONFIRMED_MAX_MS, now_ms);
    if (known == NULL) {
        known = ledger_add(&watch->unconfirmed, end->target, end->started_ms,
                           end->at_ms);
        crash_add_suspect(known, traits->request, traits->traits,
                          traits->count);
        return true;
    }
    crash_add_suspect(&single, traits->request, traits->traits, traits->count);
    if (add_crash(watch, &single, now_ms) != NULL) {
        crash_report_add_crash(&watch->news, &single);
    }
    crash_clear(&single);
    return false;
}

/**
 * watch_abandoned() - this instance gave up a new run
 * @watch: the watch
 * @end: target and time; without suspects
 * @traits: traits of the request
 */
void
watch_abandoned(struct crash_watch *watch, const struct crash *end,
                const struct trait_list *traits)
{
    struct abandoned_request *request =
        &watch->abandoned[watch->abandoned_next];

    watch->abandoned_next = (watch->abandoned_next + 1) % ABANDONED_MAX;
    request->target = end->target;
    request->started_ms = end->started_ms;
    request->at_ms = end->at_ms;
    request->traits = *traits;
}

/**
 * watch_confirm() - a target has proved to be gone, or to be another start
 * @watch: the watch
 * @target: hash of the target's id
 * @started_ms: wall time of the start that is gone
 * @now_ms: current time
 *
 * Return: the crash with this instance's requests, valid until the next call;
 * NULL when no new run was cut off.
 */
const struct crash *
watch_confirm(struct crash_watch *watch, uint64_t target, int64_t started_ms,
              int64_t now_ms)
{
    struct crash *crash;
    const struct crash *added;

    ledger_expire_after(&watch->unconfirmed, UNCONFIRMED_MAX_MS, now_ms);
    crash = ledger_find(&watch->unconfirmed, target, started_ms);
    if (crash == NULL) {
        return NULL;
    }
    added = add_crash(watch, crash, now_ms);
    crash_report_add_crash(&watch->news, crash);
    ledger_remove(&watch->unconfirmed, crash);
    return added;
}

static int
acquit(struct crash_watch *watch, uint64_t key, int64_t now_ms)
{
    sound_record(&watch->sound, key, now_ms);
    return quarantine_lift(&watch->quarantine, key, now_ms);
}

/**
 * watch_survived() - a target goes on with a request, or has answered it
 * @watch: the watch
 * @traits: traits of the request
 * @now_ms: current time
 *
 * Return: number of verdicts that this ends.
 */
int
watch_survived(struct crash_watch *watch, const struct trait_list *traits,
               int64_t now_ms)
{
    int lifted = 0;

    for (int i = 0; i < traits->count; i++) {
        const struct trait *trait = &traits->traits[i];
        bool matters =
            quarantine_names(&watch->quarantine, trait->key) ||
            ledger_suspects(&watch->crashes, &watch->sound, trait->key);

        if (matters) {
            g_array_append_val(watch->news.sound, trait->key);
        }
        if (matters || trait->depth >= 0) {
            lifted += acquit(watch, trait->key, now_ms);
        }
    }
    return lifted;
}

static void
explain(const struct crash_watch *watch, struct explanations *explanations,
        int64_t now_ms)
{
    blame_find(&watch->crashes, &watch->sound, &watch->quarantine,
               now_ms - SETTLE_MS, explanations);
}

static bool
is_refuted(const struct crash_watch *watch,
           const struct explanations *explanations,
           const struct trait_verdict *verdict, int64_t now_ms)
{
    return now_ms - verdict->since_ms <= REFUTABLE_MS &&
           blame_is_refuted(&watch->crashes, explanations, verdict);
}

/* Leaves out what was sound here a moment before the verdict: an instance that
 * has missed an acquittal still sends its verdict. */
static void
leave_out_sound(struct crash_watch *watch, struct trait_verdict *verdict)
{
    for (int i = verdict->traits.count - 1; i >= 0; i--) {
        uint64_t key = verdict->traits.traits[i].key;
        int64_t sound_ms = sound_at_ms(&watch->sound, key);

        if (sound_ms > verdict->since_ms) {
            g_array_append_val(watch->news.sound, key);
        }
        if (sound_ms != 0 && sound_ms > verdict->since_ms - KNOWN_SOUND_MS) {
            trait_set_remove(&verdict->traits, key);
        }
    }
}

static bool
add_verdict(struct crash_watch *watch, const struct trait_verdict *foreign,
            int64_t now_ms)
{
    struct trait_verdict verdict = *foreign;
    struct explanations explanations;

    verdict.learnt = true;
    leave_out_sound(watch, &verdict);
    if (verdict.traits.count == 0) {
        return false;
    }
    explain(watch, &explanations, now_ms);
    return !is_refuted(watch, &explanations, &verdict, now_ms) &&
           quarantine_add(&watch->quarantine, &verdict);
}

/**
 * watch_apply() - apply the report of another instance
 * @watch: the watch
 * @report: the report
 * @now_ms: current time
 *
 * Return: number of verdicts that are new here.
 */
int
watch_apply(struct crash_watch *watch, const struct crash_report *report,
            int64_t now_ms)
{
    int added = 0;

    for (guint i = 0; i < report->crashes->len; i++) {
        add_crash(watch, &g_array_index(report->crashes, struct crash, i),
                  now_ms);
    }
    for (guint i = 0; i < report->sound->len; i++) {
        acquit(watch, g_array_index(report->sound, uint64_t, i), now_ms);
    }
    for (guint i = 0; i < report->verdicts->len; i++) {
        added += add_verdict(
            watch, &g_array_index(report->verdicts, struct trait_verdict, i),
            now_ms);
    }
    return added;
}

/* Ends verdicts that another explanation has replaced. */
static int
withdraw(struct crash_watch *watch, const struct explanations *explanations,
         int64_t now_ms)
{
    struct quarantine *quarantine = &watch->quarantine;
    int count = 0;

    for (int i = quarantine->count - 1; i >= 0; i--) {
        struct trait_verdict *verdict = &quarantine->verdicts[i];

        if (is_refuted(watch, explanations, verdict, now_ms)) {
            quarantine_remove(quarantine, verdict);
            count++;
        }
    }
    return count;
}

/* While nothing else was answered, the crashes may have another cause than the
 * requests. */
static bool
is_doubtful(const struct evidence *evidence)
{
    return evidence->known_sound || !evidence->contrasted ||
           evidence->crashes < CERTAIN_CRASHES;
}

static bool
begin_verdict(struct crash_watch *watch, const struct evidence *evidence,
              int64_t now_ms)
{
    if (!quarantine_begin(&watch->quarantine, &evidence->traits,
                          is_doubtful(evidence), now_ms)) {
        return false;
    }
    g_array_append_val(
        watch->news.verdicts,
        *quarantine_find(&watch->quarantine, &evidence->traits));
    return true;
}

/**
 * watch_judge() - adapt the verdicts to the evidence
 * @watch: the watch
 * @judgement: set to what has changed
 * @now_ms: current time
 */
void
watch_judge(struct crash_watch *watch, struct judgement *judgement,
            int64_t now_ms)
{
    struct explanations explanations;

    ledger_expire(&watch->crashes, now_ms);
    if (watch->judge_ms != 0 && now_ms >= watch->judge_ms) {
        watch->judge_ms = 0;
    }
    explain(watch, &explanations, now_ms);
    judgement->withdrawn = withdraw(watch, &explanations, now_ms);
    judgement->begun.count = 0;
    for (int i = 0; i < explanations.count; i++) {
        const struct evidence *evidence = &explanations.found[i];

        if (begin_verdict(watch, evidence, now_ms)) {
            judgement->begun.found[judgement->begun.count++] = *evidence;
        }
    }
}

/* Whether another part of a request may crash targets, too. */
static bool
has_other_suspect(const struct crash_watch *watch,
                  const struct trait_list *traits,
                  const struct trait_set *blamed)
{
    for (int i = 0; i < traits->count; i++) {
        const struct trait *trait = &traits->traits[i];

        if (trait->depth >= 0 && !trait_set_contains(blamed, trait->key) &&
            ledger_suspects(&watch->crashes, &watch->sound, trait->key)) {
            return true;
        }
    }
    return false;
}

/**
 * watch_decide() - whether a request may be sent to a target
 * @watch: the watch
 * @traits: traits of the request
 * @may_probe: this instance may let a request through
 * @now_ms: current time
 * @retry_ms: when refused, set to the time after which to try again
 *
 * A request with several verdicts, or with another suspected part, is no
 * probe: its crash would not tell which of them did it.
 */
enum quarantine_action
watch_decide(struct crash_watch *watch, const struct trait_list *traits,
             bool may_probe, int64_t now_ms, int64_t *retry_ms)
{
    int count;
    struct trait_verdict *verdict =
        quarantine_match(&watch->quarantine, traits, &count);

    if (verdict == NULL) {
        return QUARANTINE_PASS;
    }
    ledger_expire(&watch->crashes, now_ms);
    may_probe = may_probe && count == 1 &&
                !has_other_suspect(watch, traits, &verdict->traits);
    return quarantine_decide(verdict, may_probe, now_ms, retry_ms);
}

static bool
has_recent_crash(const struct crash_watch *watch, int64_t now_ms)
{
    const struct crash_ledger *ledger = &watch->crashes;

    return ledger->count > 0 &&
           now_ms - ledger->crashes[ledger->count - 1].at_ms <=
               REPEAT_CRASH_MS;
}

static int64_t
repeat_due_ms(const struct crash_watch *watch, int64_t now_ms)
{
    return watch->quarantine.count > 0 || has_recent_crash(watch, now_ms)
               ? watch->repeat_ms
               : INT64_MAX;
}

/**
 * watch_due_ms() - when watch_judge() or watch_repeat() is due
 * @watch: the watch
 * @now_ms: current time
 *
 * Return: the time; INT64_MAX while there is nothing to do.
 */
int64_t
watch_due_ms(const struct crash_watch *watch, int64_t now_ms)
{
    int64_t due_ms = repeat_due_ms(watch, now_ms);

    return watch->judge_ms != 0 ? MIN(due_ms, watch->judge_ms) : due_ms;
}

/* Adds a crash without what is acquitted of it, which the receiver may not
 * know. */
static void
add_open_suspects(const struct crash_watch *watch, struct crash_report *report,
                  const struct crash *crash)
{
    struct crash open = {
        .target = crash->target,
        .started_ms = crash->started_ms,
        .at_ms = crash->at_ms,
    };

    for (int i = 0; i < crash->suspect_count; i++) {
        const struct suspect *suspect = &crash->suspects[i];
        struct trait_list traits = {0};

        for (int j = 0; j < suspect->trait_count; j++) {
            if (sound_at_ms(&watch->sound, suspect->traits[j].key) <
                crash->at_ms) {
                trait_list_add(&traits, suspect->traits[j].key,
                               suspect->traits[j].depth);
            }
        }
        if (traits.count > 0) {
            crash_add_suspect(&open, suspect->request, traits.traits,
                              traits.count);
        }
    }
    if (open.suspect_count > 0) {
        crash_report_add_crash(report, &open);
    }
    crash_clear(&open);
}

static bool
is_explained(const struct crash_watch *watch, const struct crash *crash)
{
    const struct quarantine *quarantine = &watch->quarantine;

    for (int i = 0; i < quarantine->count; i++) {
        if (quarantine->verdicts[i].level >= 0 &&
            crash_may_be_by(crash, &quarantine->verdicts[i].traits)) {
            return true;
        }
    }
    return false;
}

/**
 * watch_repeat() - what others may have missed
 * @watch: the watch
 * @report: filled in; empty before
 * @now_ms: current time
 *
 * Return: whether the report is due.
 */
bool
watch_repeat(struct crash_watch *watch, struct crash_report *report,
             int64_t now_ms)
{
    if (now_ms < repeat_due_ms(watch, now_ms)) {
        return false;
    }
    watch->repeat_ms = now_ms + REPEAT_PERIOD_MS;
    for (int i = 0; i < watch->crashes.count; i++) {
        const struct crash *crash = &watch->crashes.crashes[i];

        if (now_ms - crash->at_ms <= REPEAT_CRASH_MS &&
            !is_explained(watch, crash)) {
            add_open_suspects(watch, report, crash);
        }
    }
    g_array_append_vals(report->verdicts, watch->quarantine.verdicts,
                        (guint)watch->quarantine.count);
    return true;
}
