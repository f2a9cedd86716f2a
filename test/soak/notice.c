/* What engines say of themselves in their answers, that they leave or how long
 * they want no requests, and whether the gates that have read it keep to it.
 */
#include <glib.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "test/soak/dat.h"
#include "test/soak/fns.h"

enum {
    PAUSE_SLACK_MS = 500,   /* requests that are on their way */
    PAUSE_REQUESTS_MAX = 2, /* that reach a paused engine after it */
    NEVER_MS = -1,
};

/**
 * struct retry_after - a Retry-After and what it says
 * @for_ms: NEVER_MS when it says nothing
 */
struct retry_after {
    const char *text;
    int64_t for_ms;
};

static const struct retry_after retry_afters[] = {
    {"0", 0},         {"0.25", 250},      {"1", 1000},
    {"1.5", 1500},    {"2", 2000},        {"3", 3000},
    {"-1", NEVER_MS}, {"soon", NEVER_MS}, {"1000000000", NEVER_MS},
};

/* When an engine that leaves says so in its answers, and when in the store. */
struct leaving_case {
    int answers_after_ms;
    int store_after_ms;
};

static const struct leaving_case leaving_cases[] = {
    {0, 0},
    {800, 0},
    {0, DRAIN_BOUND_MS + 1500},
    {0, NEVER_MS},
};

/* A request of a caller, and the gate process that it was sent to. */
struct sent_request {
    int gate;
    int gate_start_count;
    int64_t sent_ms;
};

/**
 * struct notice - an answer of an engine
 * @seal: what a success or a failure is signed with; empty for a refusal
 * @engine_started_ms: start of the engine, which tells it from later ones
 * @sent: the request that it answers
 * @leaves: it says that the engine leaves
 * @pause_end_ms: until when the engine wants no requests; 0 if it says nothing
 * @read_ms: since when the gate is known to have read it; 0 while it is not
 * @reached: requests of this gate that have reached the engine in the pause
 */
struct notice {
    char attempt[NAME_MAX_BYTES];
    char seal[NAME_MAX_BYTES];
    const struct soak_engine *engine;
    int64_t engine_started_ms;
    struct sent_request sent;
    int64_t answered_ms;
    bool leaves;
    int64_t pause_end_ms;
    int64_t read_ms;
    int reached;
};

void
soak_notice_init(struct soak *soak)
{
    soak->sent =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    soak->notices = g_ptr_array_new_with_free_func(g_free);
}

void
soak_notice_free(struct soak *soak)
{
    int read = 0;

    for (guint i = 0; i < soak->notices->len; i++) {
        read += ((struct notice *)soak->notices->pdata[i])->read_ms != 0;
    }
    g_test_message("%u answers with a notice, %d known to be read",
                   soak->notices->len, read);
    g_hash_table_destroy(soak->sent);
    g_ptr_array_free(soak->notices, TRUE);
}

/* The engine leaves, and comes back as another one or as itself. */
void
soak_begin_leaving(struct soak_engine *engine, GRand *random)
{
    const struct leaving_case *way = &leaving_cases[g_rand_int_range(
        random, 0, G_N_ELEMENTS(leaving_cases))];
    int64_t now_ms = clock_now_ms();

    pthread_mutex_lock(&engine->soak->lock);
    engine->leaves_from_ms = now_ms + way->answers_after_ms;
    engine->drain_due_ms =
        way->store_after_ms != NEVER_MS ? now_ms + way->store_after_ms : 0;
    engine->keeps_id = g_rand_boolean(random);
    pthread_mutex_unlock(&engine->soak->lock);
}

void
soak_begin_turning_away(struct soak_engine *engine, GRand *random)
{
    pthread_mutex_lock(&engine->soak->lock);
    engine->retry_after =
        &retry_afters[g_rand_int_range(random, 0, G_N_ELEMENTS(retry_afters))];
    pthread_mutex_unlock(&engine->soak->lock);
}

void
soak_end_turning_away(struct soak_engine *engine)
{
    pthread_mutex_lock(&engine->soak->lock);
    engine->retry_after = NULL;
    pthread_mutex_unlock(&engine->soak->lock);
}

static bool
leaves(const struct soak_engine *engine, int64_t now_ms)
{
    return engine->leaves_from_ms != 0 && now_ms >= engine->leaves_from_ms;
}

/* Adds the fields that all answers have. Called with the lock held. */
void
soak_add_notice_fields(const struct soak_engine *engine, unsigned status,
                       struct _u_response *response, int64_t now_ms)
{
    if (leaves(engine, now_ms)) {
        ulfius_add_header_to_response(response, "Server-Leaving", "1");
    }
    if (status == 503 && engine->retry_after != NULL) {
        ulfius_add_header_to_response(response, "Retry-After",
                                      engine->retry_after->text);
    }
}

/* What the engine signs an answer with. Called with the lock held. */
void
soak_engine_seal(const struct soak_engine *engine, int64_t now_ms,
                 char out[static NAME_MAX_BYTES])
{
    g_snprintf(out, NAME_MAX_BYTES, "%s-%" G_GINT64_FORMAT "-%d", engine->id,
               (gint64)engine->started_ms, leaves(engine, now_ms));
}

/* Called with the lock held. */
void
soak_record_sent(struct soak *soak, const char *attempt,
                 const struct soak_gate *gate, int64_t now_ms)
{
    struct sent_request *sent = g_new0(struct sent_request, 1);

    sent->gate = gate->number;
    sent->gate_start_count = gate->start_count;
    sent->sent_ms = now_ms;
    g_hash_table_insert(soak->sent, g_strdup(attempt), sent);
}

/* The answer replaces what the engine has told the gate before. */
static void
shorten_pauses(const struct soak_engine *engine, int gate, int64_t end_ms)
{
    const GPtrArray *notices = engine->soak->notices;

    for (guint i = 0; i < notices->len; i++) {
        struct notice *notice = notices->pdata[i];

        if (notice->engine == engine && notice->sent.gate == gate) {
            notice->pause_end_ms = MIN(notice->pause_end_ms, end_ms);
        }
    }
}

/* Records what the engine says of itself in its answer. @refusal is the status
 * of a refusal, 0 if the request runs. Called with the lock held. */
void
soak_record_notice(struct soak_engine *engine, const char *attempt,
                   unsigned refusal, int64_t now_ms)
{
    const struct sent_request *sent =
        g_hash_table_lookup(engine->soak->sent, attempt);
    bool pauses = refusal == 503 && engine->retry_after != NULL &&
                  engine->retry_after->for_ms != NEVER_MS;
    struct notice *notice;

    if (sent == NULL || (!pauses && !leaves(engine, now_ms))) {
        return;
    }
    notice = g_new0(struct notice, 1);
    g_strlcpy(notice->attempt, attempt, sizeof(notice->attempt));
    if (refusal == 0) {
        soak_engine_seal(engine, now_ms, notice->seal);
    }
    notice->engine = engine;
    notice->engine_started_ms = engine->started_ms;
    notice->sent = *sent;
    notice->answered_ms = now_ms;
    notice->leaves = leaves(engine, now_ms);
    if (pauses) {
        notice->pause_end_ms = now_ms + engine->retry_after->for_ms;
        shorten_pauses(engine, sent->gate, notice->pause_end_ms);
    }
    g_ptr_array_add(engine->soak->notices, notice);
}

/* Returns the violated guarantee, to be freed with g_free(), or NULL. A pause
 * may be known to be read only after the requests that it forbids. */
static char *
check_pause(struct notice *notice)
{
    if (notice->read_ms == 0 || notice->reached <= PAUSE_REQUESTS_MAX) {
        return NULL;
    }
    return g_strdup_printf(
        "BUDGET: %d requests of gate %d reached %s in the pause of %d ms that "
        "it had told in its answer to %s",
        notice->reached, notice->sent.gate, notice->engine->id,
        (int)(notice->pause_end_ms - notice->answered_ms), notice->attempt);
}

/* Takes what a check has returned. Called without the lock. */
void
soak_report_violation(struct soak *soak, char *violation)
{
    if (violation != NULL) {
        soak_record_failure(soak, "%s", violation);
    }
    g_free(violation);
}

/* Records that the gate has read the answers to a request which carry @seal;
 * those are refusals if it is empty. */
static void
record_read(struct soak *soak, const char *attempt, const char *seal)
{
    char *violation = NULL;

    pthread_mutex_lock(&soak->lock);
    for (guint i = 0; i < soak->notices->len; i++) {
        struct notice *notice = soak->notices->pdata[i];

        if (notice->read_ms == 0 && strcmp(notice->attempt, attempt) == 0 &&
            strcmp(notice->seal, seal) == 0) {
            notice->read_ms = clock_now_ms();
            if (violation == NULL) {
                violation = check_pause(notice);
            }
        }
    }
    pthread_mutex_unlock(&soak->lock);
    soak_report_violation(soak, violation);
}

/* A request that may run once and that reaches another engine, or is refused
 * as not run: the gate has read that it was refused before. */
void
soak_record_refusal_read(struct soak *soak, const char *attempt)
{
    record_read(soak, attempt, "");
}

/* Records that a caller has received an answer with this seal. */
void
soak_record_answer_read(struct soak *soak, const char *attempt,
                        const char *seal)
{
    if (seal[0] != '\0') {
        record_read(soak, attempt, seal);
    }
}

/* A restart or a freeze since the notice excuses the gate. */
static bool
breaks_leaving(const struct notice *notice, const struct sent_request *sent,
               const struct soak_gate *gate)
{
    return notice->leaves && notice->read_ms != 0 &&
           sent->sent_ms > notice->read_ms + DRAIN_BOUND_MS &&
           gate->start_count == notice->sent.gate_start_count &&
           gate->resumed_ms < notice->sent.sent_ms;
}

/* A restart, freeze or cut of the gate since the notice excuses it; requests
 * may be held up on a link with a fault. */
static bool
counts_in_pause(const struct notice *notice, const struct soak_gate *gate,
                int64_t now_ms)
{
    return now_ms > notice->answered_ms + PAUSE_SLACK_MS &&
           now_ms <= notice->pause_end_ms &&
           gate->start_count == notice->sent.gate_start_count &&
           gate->fault_until_ms < notice->answered_ms &&
           notice->engine->link_fault_until_ms <
               notice->answered_ms - PAUSE_SLACK_MS;
}

/* Checks that a request may reach the engine after what it has said. @status
 * is that of a refusal, 0 if the request runs. Returns the violated guarantee,
 * to be freed with g_free(), or NULL. Called with the lock held. */
char *
soak_check_notices(struct soak_engine *engine, const char *attempt,
                   unsigned status, int64_t now_ms)
{
    const struct soak *soak = engine->soak;
    const struct sent_request *sent = g_hash_table_lookup(soak->sent, attempt);
    const struct soak_gate *gate;
    char *violation = NULL;

    if (sent == NULL) {
        return NULL;
    }
    gate = &soak->gates[sent->gate];
    for (guint i = 0; i < soak->notices->len && violation == NULL; i++) {
        struct notice *notice = soak->notices->pdata[i];

        if (notice->engine != engine || notice->sent.gate != sent->gate ||
            notice->engine_started_ms != engine->started_ms) {
            continue;
        }
        if (status != 421 && breaks_leaving(notice, sent, gate)) {
            violation = g_strdup_printf(
                "DRAIN: %s, which had told gate %d in its answer to %s that "
                "it leaves, received %s",
                engine->id, gate->number, notice->attempt, attempt);
        }
        else if (counts_in_pause(notice, gate, now_ms)) {
            notice->reached++;
            violation = check_pause(notice);
        }
    }
    return violation;
}
