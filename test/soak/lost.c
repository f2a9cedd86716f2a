/* Requests whose connection ends without a complete answer. Each one is put
 * down to an exception of the guarantee LOST, or is a violation of it. */
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

/* Limits of the guarantee, as in deployments. */
enum {
    CONTACT_MS = 3000,
    CONFIG_APPLY_MS = 2000,
    AFTER_WORK_MS = 1000, /* planned work counts so long after its end */
    GRACE_MS = GRACE_S * 1000,
    LAST_SIXTH_MS = GRACE_MS * 5 / 6,
    SENT_AFTER_TERM_MS = 3000,
    CUTS_ALLOWED = 3,
    CONFIG_CUTS_RATIO = 3,
    CONFIG_USED_TENTHS = 7,
};

/* Index of struct soak_gate's ends and cuts. */
enum { AT_OTHER_TIMES, BESIDE_CONFIG };

void
soak_disruption_begin(struct soak *soak, struct disruption *disruption)
{
    if (disruption != NULL) {
        pthread_mutex_lock(&soak->lock);
        disruption->active++;
        pthread_mutex_unlock(&soak->lock);
    }
}

void
soak_disruption_end(struct soak *soak, struct disruption *disruption)
{
    if (disruption != NULL) {
        pthread_mutex_lock(&soak->lock);
        disruption->active--;
        disruption->ended_ms = clock_now_ms();
        pthread_mutex_unlock(&soak->lock);
    }
}

/* Records that an engine received a request. */
void
soak_work_begin(struct soak_engine *engine, const char *attempt)
{
    struct soak *soak = engine->soak;
    struct soak_work *work;

    pthread_mutex_lock(&soak->lock);
    work = g_hash_table_lookup(soak->works, attempt);
    if (work == NULL) {
        work = g_new0(struct soak_work, 1);
        g_hash_table_insert(soak->works, g_strdup(attempt), work);
    }
    work->engines |= 1u << engine->number;
    g_strlcpy(work->engine_id, engine->id, sizeof(work->engine_id));
    work->began_ms = clock_now_ms();
    work->ended_ms = 0;
    pthread_mutex_unlock(&soak->lock);
}

/* Records that an engine has written its whole response, or broke it off. */
void
soak_work_end(struct soak_engine *engine, const char *attempt, bool whole)
{
    struct soak *soak = engine->soak;
    struct soak_work *work;

    pthread_mutex_lock(&soak->lock);
    work = g_hash_table_lookup(soak->works, attempt);
    /* A run that is given up may end after the next one began elsewhere. */
    if (work != NULL && strcmp(work->engine_id, engine->id) == 0) {
        work->ended_ms = clock_now_ms();
        work->broke_off = work->broke_off || !whole;
    }
    pthread_mutex_unlock(&soak->lock);
}

/* An attempt that ended without a complete answer, and what engines did for
 * it; NULL when none received it. */
struct cut {
    const struct soak *soak;
    const struct soak_end *end;
    const struct soak_work *work;
};

static bool
is_disrupted(const struct disruption *disruption, const struct cut *cut)
{
    return disruption->active > 0 ||
           disruption->ended_ms > cut->end->sent_ms - CONTACT_MS;
}

static bool
was_disrupted(const struct cut *cut)
{
    const struct soak *soak = cut->soak;
    bool disrupted =
        is_disrupted(&cut->end->gate->disruption, cut) ||
        is_disrupted(&soak->response_disruption, cut) ||
        (cut->end->stream && is_disrupted(&soak->store_disruption, cut));

    for (int i = 0; i < ENGINES && cut->work != NULL; i++) {
        disrupted =
            disrupted || ((cut->work->engines >> i & 1u) != 0 &&
                          is_disrupted(&soak->engines[i].disruption, cut));
    }
    return disrupted;
}

/* Behind a proxy, a connection that no gate has accepted looks the same. */
static bool
crossed_close(const struct cut *cut)
{
    return cut->work == NULL && (!cut->end->sent || !cut->end->late ||
                                 cut->soak->kind != SOAK_PLANNED);
}

static bool
engine_broke_off(const struct cut *cut)
{
    return cut->work != NULL && cut->work->broke_off;
}

static bool
reached_deadline(const struct cut *cut)
{
    return cut->end->end_ms - cut->end->sent_ms >= cut->end->deadline_ms;
}

static bool
lasted_beyond_grace(const struct cut *cut)
{
    const struct soak_gate *gate = cut->end->gate;
    int64_t last_sixth_ms = gate->terminated_ms + LAST_SIXTH_MS;

    return cut->work != NULL && gate->terminated_start == cut->end->start &&
           cut->end->sent_ms <= gate->terminated_ms + SENT_AFTER_TERM_MS &&
           cut->end->end_ms >= last_sixth_ms &&
           (cut->work->ended_ms == 0 || cut->work->ended_ms >= last_sixth_ms);
}

/* The first that holds is the reason. */
static const struct {
    const char *name;
    bool (*holds)(const struct cut *cut);
} exceptions[] = {
    {"disrupted", was_disrupted},        {"crossed_close", crossed_close},
    {"broke_off", engine_broke_off},     {"deadline", reached_deadline},
    {"last_sixth", lasted_beyond_grace},
};

G_STATIC_ASSERT(G_N_ELEMENTS(exceptions) <= CUT_NAMES);

static bool
is_beside_stop(const struct soak_end *end)
{
    const struct soak_gate *gate = end->gate;

    return gate->terminated_start > 0 && end->end_ms >= gate->terminated_ms &&
           end->end_ms <= gate->terminated_ms + GRACE_MS + AFTER_WORK_MS;
}

static bool
is_beside_reload(const struct soak_end *end)
{
    const struct soak_gate *gate = end->gate;

    return gate->reloaded_ms > 0 && end->end_ms >= gate->reloaded_ms &&
           end->sent_ms <= gate->reloaded_ms + CONFIG_APPLY_MS;
}

static bool
is_beside_config(const struct soak *soak, const struct soak_end *end)
{
    return end->end_ms >= soak->config_sent_ms &&
           end->sent_ms <=
               soak->config_acked_ms + CONFIG_APPLY_MS + AFTER_WORK_MS;
}

/* Whether a cut beside a change of the configuration counts. */
static bool
has_time_left(const struct soak_end *end)
{
    return (end->end_ms - end->sent_ms) * 10 <
           end->deadline_ms * CONFIG_USED_TENTHS;
}

static const char *
cut_exception(struct soak *soak, const struct cut *cut)
{
    for (size_t i = 0; i < G_N_ELEMENTS(exceptions); i++) {
        if (exceptions[i].holds(cut)) {
            soak->excused[i]++;
            return exceptions[i].name;
        }
    }
    return NULL;
}

/* Time of an event, counted from @end_ms; 0 when there was none. */
static int
from_end(int64_t event_ms, int64_t end_ms)
{
    return event_ms != 0 ? (int)(event_ms - end_ms) : 0;
}

static void
print_cut(const struct cut *cut, const char *reason)
{
    const struct soak_end *end = cut->end;
    const struct soak_work *work = cut->work;

    g_test_message("%d ms: cut %s gate %d: %s; from its end: sent %d, SIGTERM "
                   "%d, SIGHUP %d, status %d; %s received it %d, ended %d",
                   (int)(end->end_ms - cut->soak->start_ms), end->attempt,
                   end->gate->number, reason,
                   from_end(end->sent_ms, end->end_ms),
                   from_end(end->gate->terminated_ms, end->end_ms),
                   from_end(end->gate->reloaded_ms, end->end_ms), end->status,
                   work != NULL ? work->engine_id : "no engine",
                   work != NULL ? from_end(work->began_ms, end->end_ms) : 0,
                   work != NULL ? from_end(work->ended_ms, end->end_ms) : 0);
}

/* Returns what a cut is beside, where each one counts; NULL where more of them
 * do. Called with the lock held. */
static const char *
judge_cut(struct soak *soak, const struct cut *cut, int index)
{
    const char *reason = cut_exception(soak, cut);
    const char *beside = NULL;

    if (reason == NULL) {
        beside = is_beside_stop(cut->end)     ? "a stop"
                 : is_beside_reload(cut->end) ? "a reload"
                                              : NULL;
        if (beside == NULL && cut->work != NULL &&
            (index == AT_OTHER_TIMES || has_time_left(cut->end))) {
            cut->end->gate->cuts[index]++;
        }
    }
    if (reason == NULL || soak->kind == SOAK_PLANNED) {
        print_cut(cut, reason != NULL ? reason : "no reason");
    }
    return beside;
}

/* Checks how an attempt ended at its caller. */
void
soak_request_ended(struct soak *soak, const struct soak_end *end)
{
    struct cut cut = {.soak = soak, .end = end};
    const char *beside = NULL;
    int index;

    pthread_mutex_lock(&soak->lock);
    cut.work = g_hash_table_lookup(soak->works, end->attempt);
    index = is_beside_config(soak, end) ? BESIDE_CONFIG : AT_OTHER_TIMES;
    if (!is_beside_stop(end) && !is_beside_reload(end)) {
        end->gate->ends[index]++;
    }
    if (!end->complete) {
        beside = judge_cut(soak, &cut, index);
    }
    pthread_mutex_unlock(&soak->lock);
    if (beside != NULL) {
        soak_record_failure(soak, "LOST: gate %d ended %s beside %s",
                            end->gate->number, end->attempt, beside);
    }
}

/* Prints the exceptions, and checks the cuts of which more than one count. */
void
soak_report_lost(struct soak *soak)
{
    GString *text = g_string_new("cut connections:");

    for (size_t i = 0; i < G_N_ELEMENTS(exceptions); i++) {
        g_string_append_printf(text, " %s %d", exceptions[i].name,
                               soak->excused[i]);
    }
    g_test_message("%s", text->str);
    g_string_free(text, TRUE);
    for (int i = 0; i < soak->gate_count; i++) {
        const int *cuts = soak->gates[i].cuts;
        const int *ends = soak->gates[i].ends;

        if (cuts[AT_OTHER_TIMES] + cuts[BESIDE_CONFIG] > CUTS_ALLOWED) {
            soak_record_failure(soak, "LOST: gate %d ended %d requests", i,
                                cuts[AT_OTHER_TIMES] + cuts[BESIDE_CONFIG]);
        }
        if (cuts[BESIDE_CONFIG] * ends[AT_OTHER_TIMES] >
            CONFIG_CUTS_RATIO * cuts[AT_OTHER_TIMES] * ends[BESIDE_CONFIG]) {
            soak_record_failure(soak,
                                "LOST: gate %d ended %d of %d requests beside "
                                "configurations, %d of %d at other times",
                                i, cuts[BESIDE_CONFIG], ends[BESIDE_CONFIG],
                                cuts[AT_OTHER_TIMES], ends[AT_OTHER_TIMES]);
        }
    }
}
