/**
 * DOC: Encoding and decoding of reports on crashes of targets.
 */
#include <glib.h>

#include "base/dat.h"
#include "base/fns.h"
#include "proto/peer.pb-c.h"
#include "turmericd/fleet/peer/dat.h"
#include "turmericd/fleet/peer/fns.h"
#include "gate/dat.h"
#include "gate/view/dat.h"
#include "gate/follow/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"
#include "gate/relay/dat.h"
#include "gate/peers/dat.h"
#include "gate/peers/fns.h"

static uint32_t
age_ms(int64_t at_ms, int64_t now_ms)
{
    return (uint32_t)CLAMP(now_ms - at_ms, 0, G_MAXINT32);
}

static Turmeric__GateTrait *
encode_trait(const struct trait *trait)
{
    Turmeric__GateTrait *out = g_new(Turmeric__GateTrait, 1);

    turmeric__gate_trait__init(out);
    out->key = trait->key;
    out->depth = trait->depth;
    return out;
}

static Turmeric__GateSuspect *
encode_suspect(const struct suspect *suspect)
{
    Turmeric__GateSuspect *out = g_new(Turmeric__GateSuspect, 1);

    turmeric__gate_suspect__init(out);
    out->request = suspect->request;
    out->n_traits = (size_t)suspect->trait_count;
    out->traits = g_new(Turmeric__GateTrait *, out->n_traits);
    for (size_t i = 0; i < out->n_traits; i++) {
        out->traits[i] = encode_trait(&suspect->traits[i]);
    }
    return out;
}

static Turmeric__GateCrash *
encode_crash(const struct crash *crash, int64_t now_ms)
{
    Turmeric__GateCrash *out = g_new(Turmeric__GateCrash, 1);

    turmeric__gate_crash__init(out);
    out->target = crash->target;
    out->born_ms = crash->started_ms;
    out->age_ms = age_ms(crash->at_ms, now_ms);
    out->n_suspects = (size_t)crash->suspect_count;
    out->suspects = g_new(Turmeric__GateSuspect *, out->n_suspects);
    for (size_t i = 0; i < out->n_suspects; i++) {
        out->suspects[i] = encode_suspect(&crash->suspects[i]);
    }
    return out;
}

static Turmeric__GateVerdict *
encode_verdict(const struct trait_verdict *verdict, int64_t now_ms)
{
    Turmeric__GateVerdict *out = g_new(Turmeric__GateVerdict, 1);

    turmeric__gate_verdict__init(out);
    out->trait = encode_trait(&verdict->traits.traits[0]);
    out->n_others = (size_t)MAX(verdict->traits.count - 1, 0);
    out->others = g_new(Turmeric__GateTrait *, out->n_others);
    for (size_t i = 0; i < out->n_others; i++) {
        out->others[i] = encode_trait(&verdict->traits.traits[i + 1]);
    }
    out->age_ms = age_ms(verdict->since_ms, now_ms);
    out->probe_ms = age_ms(now_ms, verdict->probe_ms);
    out->level = (uint32_t)MAX(verdict->level, 0);
    out->early_probes = (uint32_t)MAX(-verdict->level, 0);
    return out;
}

static void
free_verdict(Turmeric__GateVerdict *verdict)
{
    for (size_t i = 0; i < verdict->n_others; i++) {
        g_free(verdict->others[i]);
    }
    g_free(verdict->others);
    g_free(verdict->trait);
    g_free(verdict);
}

static void
free_suspect(Turmeric__GateSuspect *suspect)
{
    for (size_t i = 0; i < suspect->n_traits; i++) {
        g_free(suspect->traits[i]);
    }
    g_free(suspect->traits);
    g_free(suspect);
}

static void
free_crash(Turmeric__GateCrash *crash)
{
    for (size_t i = 0; i < crash->n_suspects; i++) {
        free_suspect(crash->suspects[i]);
    }
    g_free(crash->suspects);
    g_free(crash);
}

/**
 * peers_encode_crashes() - encode a report on crashes
 * @report: the report
 * @now_ms: current time
 *
 * Return: to be released with peers_free_crashes(); borrows from @report.
 */
Turmeric__GateCrashes *
peers_encode_crashes(const struct crash_report *report, int64_t now_ms)
{
    Turmeric__GateCrashes *body = g_new(Turmeric__GateCrashes, 1);

    turmeric__gate_crashes__init(body);
    body->n_crashes = report->crashes->len;
    body->crashes = g_new(Turmeric__GateCrash *, body->n_crashes);
    for (size_t i = 0; i < body->n_crashes; i++) {
        body->crashes[i] = encode_crash(
            &g_array_index(report->crashes, struct crash, i), now_ms);
    }
    body->n_verdicts = report->verdicts->len;
    body->verdicts = g_new(Turmeric__GateVerdict *, body->n_verdicts);
    for (size_t i = 0; i < body->n_verdicts; i++) {
        body->verdicts[i] = encode_verdict(
            &g_array_index(report->verdicts, struct trait_verdict, i), now_ms);
    }
    body->n_sound = report->sound->len;
    body->sound = (uint64_t *)report->sound->data;
    return body;
}

/**
 * peers_free_crashes() - release an encoded report
 * @body: the report
 */
void
peers_free_crashes(Turmeric__GateCrashes *body)
{
    for (size_t i = 0; i < body->n_crashes; i++) {
        free_crash(body->crashes[i]);
    }
    for (size_t i = 0; i < body->n_verdicts; i++) {
        free_verdict(body->verdicts[i]);
    }
    g_free(body->crashes);
    g_free(body->verdicts);
    g_free(body);
}

/**
 * peers_send_crashes() - send a report on crashes
 * @peer: duty that sends the message
 * @member: id of the recipient
 * @body: the encoded report
 * @err: set on failure
 *
 * Return: false when the message can't be queued.
 */
bool
peers_send_crashes(struct peer *peer, uint64_t member,
                   Turmeric__GateCrashes *body, struct err *err)
{
    Turmeric__Envelope envelope = TURMERIC__ENVELOPE__INIT;

    envelope.body_case = TURMERIC__ENVELOPE__BODY_GATE_CRASHES;
    envelope.gate_crashes = body;
    return peer_send(peer, member, &envelope, err);
}

static void
decode_suspect(const Turmeric__GateSuspect *in, struct crash *crash)
{
    struct trait traits[TRAITS_MAX];
    int count = (int)MIN(in->n_traits, TRAITS_MAX);

    for (int i = 0; i < count; i++) {
        traits[i].key = in->traits[i]->key;
        traits[i].depth = in->traits[i]->depth;
    }
    crash_add_suspect(crash, in->request, traits, count);
}

static void
decode_crash(const Turmeric__GateCrash *in, struct crash_report *report,
             int64_t now_ms)
{
    struct crash crash = {
        .target = in->target,
        .started_ms = in->born_ms,
        .at_ms = now_ms - in->age_ms,
    };

    for (size_t i = 0; i < in->n_suspects; i++) {
        decode_suspect(in->suspects[i], &crash);
    }
    g_array_append_val(report->crashes, crash);
}

static void
decode_trait(const Turmeric__GateTrait *in, struct trait_set *set)
{
    struct trait trait = {in->key, in->depth};

    trait_set_add(set, &trait);
}

/* A set that is cut would refuse more requests. */
static bool
is_whole(const Turmeric__GateVerdict *in)
{
    return in->trait != NULL && in->n_others < TRAIT_SET_MAX;
}

static void
decode_verdict(const Turmeric__GateVerdict *in, struct crash_report *report,
               int64_t now_ms)
{
    struct trait_verdict verdict = {
        .since_ms = now_ms - in->age_ms,
        .probe_ms = now_ms + in->probe_ms,
        .seen_ms = now_ms,
        .level = (int)MIN(in->level, G_MAXINT8) -
                 (int)MIN(in->early_probes, G_MAXINT8),
    };

    if (!is_whole(in)) {
        return;
    }
    decode_trait(in->trait, &verdict.traits);
    for (size_t i = 0; i < in->n_others; i++) {
        decode_trait(in->others[i], &verdict.traits);
    }
    g_array_append_val(report->verdicts, verdict);
}

/**
 * peers_decode_crashes() - decode a report on crashes
 * @envelope: message with gate_crashes; borrowed
 * @now_ms: current time
 *
 * Return: the report, to be released with crash_report_free(); what exceeds
 * the bounds of an instance's own reports is left out.
 */
struct crash_report *
peers_decode_crashes(const Turmeric__Envelope *envelope, int64_t now_ms)
{
    const Turmeric__GateCrashes *body = envelope->gate_crashes;
    struct crash_report *report = crash_report_new();

    for (size_t i = 0; i < MIN(body->n_crashes, CRASHES_MAX); i++) {
        decode_crash(body->crashes[i], report, now_ms);
    }
    for (size_t i = 0; i < MIN(body->n_verdicts, VERDICTS_MAX); i++) {
        decode_verdict(body->verdicts[i], report, now_ms);
    }
    if (body->n_sound > 0) {
        g_array_append_vals(report->sound, body->sound, (guint)body->n_sound);
    }
    return report;
}
